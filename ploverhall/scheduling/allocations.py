"""The jobs of one shard's teams, their allocations, and the record chunks that store these.

`AllocationStore` only holds this state and keeps its totals and indexes up to date. `JobSource`
creates it and passes it to the components that make decisions: `StoreWriter` plans the writes,
`EvictionGrants` adds the granted evictions to them, and `TeamQuotas` computes how many tasks may be
permitted. No I/O.
"""

from __future__ import annotations

import heapq
from bisect import insort
from collections import deque
from collections.abc import Callable

from ploverhall.protocol import peer_messages
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import PermitUpdate
from ploverhall.scheduling.job_history import EndedJobEntry, FailedAttempt
from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.objectives import Objectives
from ploverhall.scheduling.pending_write import MAX_TRANSACTION_BYTES
from ploverhall.scheduling.record_chunks import Allocation, RecordChunk
from ploverhall.scheduling.resources import ResourceVector, add_scaled
from ploverhall.scheduling.step_queue import StepQueue
from ploverhall.settings import Team
from ploverhall.storage.schema import progress_prefix

# Share of the store's limit for a value that a chunk may fill; the rest is a margin for JSON's
# overhead
CHUNK_FILL_FACTOR = 0.92
# A chunk is full if no more than this share of its size is free: about one allocation
FULL_CHUNK_FRACTION = 0.015
# A large array queues behind smaller arrays that arrived up to this much later
MAX_LARGE_ARRAY_DELAY_S = 120.0
# A job that has not started for this long goes ahead of higher priorities, in every second interval
# of this length until it starts (see `AllocationStore.queue_order`)
OVERDUE_START_S = 120.0
# A job without deadline or objective is due this long after its submission, so it queues behind
# urgent jobs that arrive within this time
DEFAULT_DUE_S = 600.0
MAX_HISTORY = 200  # failed attempts, and ended jobs, that are kept for the status pages
OUTCOME_DONE = "done"  # outcomes of an ended job, as shown by /status
OUTCOME_CANCELLED = "withdrawn"
WORK_AVERAGE_WEIGHT = 0.2  # weight of the newest array in the average of its class


class AllocationStore:
    """The jobs of one shard's teams, and the allocations of all attempts that may be on a machine.

    `max_value_bytes` is the key-value store's limit for a value.
    """

    def __init__(self, teams: list[Team], max_value_bytes: int) -> None:
        self.teams = {team.name: team for team in teams}
        self.max_chunk_bytes = min(
            int(max_value_bytes * CHUNK_FILL_FACTOR), MAX_TRANSACTION_BYTES // 2
        )
        self.min_chunk_room_bytes = int(self.max_chunk_bytes * FULL_CHUNK_FRACTION)

        # Jobs, and the resources that their teams use
        self.jobs: dict[str, JobState] = {}
        self.used: dict[str, ResourceVector] = {team.name: (0.0, 0.0, 0.0) for team in teams}
        # By team: (time of submission, job id) of its live jobs, oldest first
        self.jobs_by_age: dict[str, list[tuple[float, str]]] = {team.name: [] for team in teams}
        self.jobs_within_guarantee: dict[str, set[str]] = {team.name: set() for team in teams}
        # By team and job id: jobs with waiting tasks
        self.waiting_jobs: dict[str, dict[str, JobState]] = {team.name: {} for team in teams}
        self.job_by_offer: dict[tuple[int, int], str] = {}
        # By team: the part of its limit that is reserved for waiting replicas of services
        self.reserved_for_services: dict[str, ResourceVector] = {}

        # State to be written to the key-value store
        self.chunks: dict[str, dict[int, RecordChunk]] = {team.name: {} for team in teams}
        # By team: the chunks that are not full, so that a search for room skips the others
        self.chunks_with_room: dict[str, dict[int, RecordChunk]] = {team.name: {} for team in teams}
        # Chunks to be written; True: the chunk holds permits that are not sent before it is written
        self.dirty_chunks: dict[RecordChunk, bool] = {}
        # Complete jobs whose end has not been written yet
        self.jobs_to_end: dict[str, JobState] = {}
        self.uncommitted_count = 0  # permits that have not been written yet
        self.last_chunk: dict[str, RecordChunk] = {}  # by team: the chunk that was last chosen
        self.obsolete_keys: list[str] = []  # keys of ended jobs' progress values, to be deleted

        # Work queued for decisions, and updates to be sent
        self.changed_jobs: set[str] = set()  # jobs to be sent to the shard owners
        # Jobs of which the counts of done and running tasks, as shown to users, have changed
        self.jobs_with_changed_counts: set[str] = set()
        # By shard and key on the state channel; None: the key is to be deleted
        self.permit_updates: dict[tuple[int, str], PermitUpdate | None] = {}
        self.jobs_to_decide: set[str] = set()  # jobs whose offers are to be evaluated
        self.teams_with_changed_usage: set[str] = set()
        # Teams whose jobs within the guarantee must be determined again
        self.teams_with_stale_guarantees: set[str] = set(self.teams)
        # Attempts of ended jobs that are still to be stopped
        self.attempts_to_stop = StepQueue(self._stop_if_job_ended)
        self.timers: list[tuple[float, str]] = []  # a heap of (time of the next check, job id)

        # History
        self.failed_attempts: deque[FailedAttempt] = deque(maxlen=MAX_HISTORY)
        self.recently_ended: deque[EndedJobEntry] = deque(maxlen=MAX_HISTORY)
        # Moving averages by job class: how long its gangs and services wait until all tasks run,
        # and the total task seconds of its arrays
        self.typical_wait_s: dict[str, float] = {}
        self.typical_work_s: dict[str, float] = {}
        # Jobs and allocations visited so far, for the tests of how the work grows with their number
        self.visit_count = 0

        # Replaced by the controller
        self.objectives = Objectives()
        self.log_debug: Callable[..., None] = lambda *args, **fields: None
        self.log_info: Callable[..., None] = lambda *args, **fields: None

    # -- jobs --------------------------------------------------------------------------------

    def on_job(
        self, job: Job | None, job_id: str, version: int, now: float, age: float = 0.0
    ) -> None:
        """Add or update a job submitted `age` seconds ago, or end it if `job` is None.

        Called for the jobs that are read at the start, for those that the watch delivers, and by
        `StoreWriter` when it has written the end of a job.
        """
        self.changed_jobs.add(job_id)
        self.jobs_with_changed_counts.add(job_id)
        if job is not None:
            self._install_job(job, job_id, version, now, age)
        elif (job_state := self.jobs.get(job_id)) is not None:
            self._end_job(job_state, now)

    def _install_job(self, job: Job, job_id: str, version: int, now: float, age: float) -> None:
        self.teams_with_stale_guarantees.add(job.team)
        job_state = self.jobs.get(job_id)
        if job_state is None:
            job_state = self.jobs[job_id] = JobState(
                job_id, job.team, job.resources, waiting_since=now, arrived_at=now - age
            )
        if job_state.job is None:
            insort(self.jobs_by_age[job.team], (job.submitted_at, job_id))
            for allocation in job_state.allocations.values():
                allocation.stop_grace_s = None
                self.update_permit(allocation)
        job_state.job = job
        job_state.version = version
        job_state.resources = job.resources
        job_state.blocked = False
        if job_state.due_at is None:
            job_state.due_at = self._due_time(job)
            job_state.overdue_check_at = max(now, job_state.arrived_at + OVERDUE_START_S)
            heapq.heappush(self.timers, (job_state.overdue_check_at, job_id))

    def _end_job(self, job_state: JobState, now: float) -> None:
        """End a job: stop its allocations, or remove it at once if it has none."""
        job_id = job_state.id
        if job_state.job is not None:
            self.recently_ended.append(
                EndedJobEntry(
                    now,
                    job_id,
                    job_state.team,
                    OUTCOME_DONE if job_state.complete else OUTCOME_CANCELLED,
                    job_state.task_count if job_state.complete else job_state.done_count,
                    job_state.task_count,
                    job_state.failure_count,
                    job_state.last_failure,
                )
            )
            self.jobs_by_age[job_state.team].remove((job_state.job.submitted_at, job_id))
            self.obsolete_keys += [
                f"{progress_prefix(job_state.team)}{job_id}/{value_index}"
                for value_index in job_state.stored_progress | job_state.dirty_progress
            ]
        self.teams_with_stale_guarantees.add(job_state.team)
        self.jobs_to_end.pop(job_id, None)
        job_state.job = None
        job_state.version = 0
        self._drop_offers(job_state)
        self.attempts_to_stop.add(job_state.allocations.values(), now)
        if not job_state.allocations:
            del self.jobs[job_id]

    def _stop_if_job_ended(self, allocation: Allocation, now: float) -> None:
        """Stop an attempt, unless it has been removed or its job is live again."""
        job_state = self.jobs.get(allocation.job_id)
        if (
            job_state is not None
            and job_state.job is None
            and job_state.allocations.get(allocation.task) is allocation
        ):
            self.request_stop(allocation, 0.0)

    # -- allocations -------------------------------------------------------------------------

    def insert(self, job_state: JobState, allocation: Allocation) -> None:
        """Add an allocation to its job, its chunk and the team's usage."""
        job_state.allocations[allocation.task] = allocation
        job_state.allocations_per_zone[allocation.zone] = (
            job_state.allocations_per_zone.get(allocation.zone, 0) + 1
        )
        job_state.used_reservations.add(
            (allocation.shard, allocation.epoch, allocation.reservation_id)
        )
        if not allocation.committed:
            self.uncommitted_count += 1
            job_state.uncommitted_per_shard[allocation.shard] = (
                job_state.uncommitted_per_shard.get(allocation.shard, 0) + 1
            )
        self.used[job_state.team] = add_scaled(self.used[job_state.team], job_state.resources)
        allocation.chunk.add(allocation, job_state.resources)
        self.update_room(allocation.chunk)
        self.changed_jobs.add(job_state.id)
        self.teams_with_changed_usage.add(job_state.team)

    def remove(self, job_state: JobState, allocation: Allocation) -> None:
        """Undo `insert`; an ended job is removed together with its last allocation."""
        del job_state.allocations[allocation.task]
        job_state.allocations_per_zone[allocation.zone] -= 1
        if not job_state.allocations_per_zone[allocation.zone]:
            del job_state.allocations_per_zone[allocation.zone]
        job_state.used_reservations.discard(
            (allocation.shard, allocation.epoch, allocation.reservation_id)
        )
        if not allocation.committed:
            self._decrement_uncommitted(job_state, allocation)
        else:
            self.permit_updates[
                allocation.shard,
                peer_messages.permit_key(allocation.attempt_id),
            ] = None
        self.used[job_state.team] = add_scaled(self.used[job_state.team], job_state.resources, -1)
        allocation.chunk.remove(allocation, job_state.resources)
        if self.chunks[allocation.chunk.team].get(allocation.chunk.index) is allocation.chunk:
            self.update_room(allocation.chunk)
        job_state.running_count -= allocation.running
        self.changed_jobs.add(job_state.id)
        self.jobs_with_changed_counts.add(job_state.id)
        self.teams_with_changed_usage.add(job_state.team)
        if job_state.offers:
            self.jobs_to_decide.add(job_state.id)
        if job_state.job is None and not job_state.allocations:
            self.jobs.pop(job_state.id, None)

    def _decrement_uncommitted(self, job_state: JobState, allocation: Allocation) -> None:
        self.uncommitted_count -= 1
        job_state.uncommitted_per_shard[allocation.shard] -= 1
        if not job_state.uncommitted_per_shard[allocation.shard]:
            del job_state.uncommitted_per_shard[allocation.shard]

    def mark_committed(self, job_state: JobState, allocation: Allocation) -> None:
        """Record that a permit has been written, so that it may be sent to its shard owner."""
        if not allocation.committed:
            self._decrement_uncommitted(job_state, allocation)
            allocation.committed = True
            self.changed_jobs.add(job_state.id)
            if job_state.offers:
                self.jobs_to_decide.add(job_state.id)
        if job_state.job is None and not allocation.finished:
            allocation.stop_grace_s = 0.0  # the job ended during the write
        self.update_permit(allocation)

    def update_permit(self, allocation: Allocation) -> None:
        """Queue a written permit, as it now is, for its shard owner; do nothing if unwritten."""
        if allocation.committed:
            self.permit_updates[
                allocation.shard,
                peer_messages.permit_key(allocation.attempt_id),
            ] = PermitUpdate(
                allocation.machine,
                allocation.epoch,
                allocation.reservation_id,
                allocation.stop_grace_s,
            )

    def request_stop(self, allocation: Allocation, grace_s: float) -> None:
        """Request the stop of an attempt; it has `grace_s` seconds to save before it is killed."""
        if allocation.stop_grace_s != grace_s:
            allocation.stop_grace_s = grace_s
            self.update_permit(allocation)

    def chunk_for(self, team: str, size_bytes: int) -> RecordChunk:
        """Return a chunk that can take `size_bytes` more: a dirty one, else any, else a new one."""
        chunks = self.chunks[team]
        last = self.last_chunk.get(team)
        if (
            last is not None
            and last in self.dirty_chunks
            and chunks.get(last.index) is last
            and last.size_bytes + size_bytes <= self.max_chunk_bytes
        ):
            return last  # without a search for each of many allocations
        self.last_chunk[team] = self._find_chunk(team, size_bytes)
        return self.last_chunk[team]

    def _find_chunk(self, team: str, size_bytes: int) -> RecordChunk:
        """Search for a chunk of a team that can take `size_bytes` more; add one if needed."""
        best: RecordChunk | None = None
        for chunk in self.chunks_with_room[team].values():
            self.visit_count += 1
            if chunk.size_bytes + size_bytes <= self.max_chunk_bytes:
                if chunk in self.dirty_chunks:
                    return chunk
                best = best or chunk
        return best or self._add_chunk(team)

    def _add_chunk(self, team: str) -> RecordChunk:
        chunks = self.chunks[team]
        index = len(chunks)
        while index in chunks:
            index += 1
        chunk = chunks[index] = RecordChunk(team, index)
        self.chunks_with_room[team][index] = chunk
        return chunk

    def chunk_at(self, team: str, index: int) -> RecordChunk:
        """Return a team's chunk by its index; add an empty one if it is not there."""
        chunk = self.chunks[team].get(index)
        if chunk is None:
            chunk = self.chunks[team][index] = RecordChunk(team, index)
            self.update_room(chunk)
        return chunk

    def drop_chunk(self, chunk: RecordChunk) -> None:
        """Forget a chunk that holds nothing and was never written."""
        self.chunks[chunk.team].pop(chunk.index, None)
        self.chunks_with_room[chunk.team].pop(chunk.index, None)

    def update_room(self, chunk: RecordChunk) -> None:
        """Note whether a chunk has room for another allocation, after its size has changed."""
        if chunk.size_bytes + self.min_chunk_room_bytes <= self.max_chunk_bytes:
            self.chunks_with_room[chunk.team].setdefault(chunk.index, chunk)
        else:
            self.chunks_with_room[chunk.team].pop(chunk.index, None)

    def drop_offer(self, key: tuple[int, int]) -> None:
        """Remove an offer, given as (shard, reservation id); do nothing if it is unknown."""
        job_id = self.job_by_offer.pop(key, None)
        if job_id is not None and (job_state := self.jobs.get(job_id)) is not None:
            job_state.offers.pop(key, None)

    def _drop_offers(self, job_state: JobState) -> None:
        for key in list(job_state.offers):
            self.drop_offer(key)

    def mark_complete(self, job_state: JobState) -> None:
        """Record that every task of a job is done, and queue the job's end for writing."""
        job_state.complete = True
        self.jobs_to_end[job_state.id] = job_state
        self.changed_jobs.add(job_state.id)

    def _due_time(self, job: Job) -> float:
        """Return the wall-clock time by which a job should be done.

        Among the arrays of a class with an objective, a small one goes before a large one that
        arrived a little sooner: in order of arrival, the large array would make all small ones miss
        the objective. A large array is delayed by no more than its objective allows.
        """
        if job.deadline_s is not None:
            return job.submitted_at + job.deadline_s
        if job.kind != "array" or (finish_s := self.objectives.for_job(job).finish_s) is None:
            return job.submitted_at + DEFAULT_DUE_S
        work_s = job.task_count * max(1.0, job.estimate_s)
        typical_s = self.typical_work_s.get(job.job_class, work_s)
        self.typical_work_s[job.job_class] = typical_s + WORK_AVERAGE_WEIGHT * (work_s - typical_s)
        return job.submitted_at + min(finish_s, MAX_LARGE_ARRAY_DELAY_S) * min(
            1.0, 0.5 * work_s / typical_s
        )

    def queue_order(self, job_state: JobState) -> tuple[float, ...]:
        """Return a job's sort key in every queue; lower keys go first.

        Jobs of priority 0 (production) come first, then jobs within their team's guarantee, then
        the others by priority and due time; jobs that fail on every machine come last. An overdue
        job goes ahead of all other priorities, because a large gang would otherwise lose the
        reservations that it has gathered to every arriving task of a higher priority. It does not
        go ahead of production jobs and jobs within a guarantee.
        """
        job = job_state.job
        assert job is not None
        priority = 0.0 if job_state.overdue and not job_state.started else float(job.priority)
        return (
            2.0 if job_state.failing_everywhere else 0.0 if job.priority == 0 else 1.0,
            0.0 if job_state.within_guarantee else 1.0,
            priority,
            job_state.due_at or 0.0,
        )
