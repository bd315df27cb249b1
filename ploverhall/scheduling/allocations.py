"""The jobs of one shard's teams, their allocations, and the record chunks that hold these.

`AllocationStore` holds state and its bookkeeping only. `JobSource` has one, and hands it to the
components that decide on that state: `StoreWriter` plans what is written, `EvictionGrants` adds the
granted evictions, `TeamQuotas` says how much may be permitted. No I/O.
"""

from __future__ import annotations

import heapq
from bisect import insort
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ploverhall.protocol import peer_messages
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import PermitUpdate
from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.objectives import Objectives
from ploverhall.scheduling.pending_write import MAX_TRANSACTION_BYTES
from ploverhall.scheduling.record_chunks import Allocation, RecordChunk
from ploverhall.scheduling.resources import ResourceVector, add_scaled
from ploverhall.settings import Team
from ploverhall.storage.schema import progress_prefix

# Share of a value's limit that a chunk may fill; the rest is for what JSON may add
CHUNK_FILL_FACTOR = 0.92
# A large array queues behind smaller ones that arrived up to this much later
MAX_LARGE_ARRAY_DELAY_S = 120.0
# A job of which no task has run for this long goes ahead of others of its kind until it starts
OVERDUE_START_S = 120.0
# Assumed for a job without deadline or objective: it queues behind what arrives within this time
DEFAULT_DUE_S = 600.0
MAX_HISTORY = 200  # failed attempts and ended jobs kept for the status pages
OUTCOME_DONE = "done"  # outcomes of an ended job, as /status shows them
OUTCOME_CANCELLED = "withdrawn"
WORK_AVERAGE_WEIGHT = 0.2  # of the newest array in its class's average


class FailedAttempt(NamedTuple):
    """An attempt that ended without completing its task."""

    at: float
    job_id: str
    task: int
    machine: str
    reason: str


class EndedJobEntry(NamedTuple):
    """A job that has ended."""

    at: float
    job_id: str
    team: str
    outcome: str
    tasks_done: int
    task_count: int
    failure_count: int
    last_failure: str


class AllocationStore:
    """The jobs of one shard's teams, and each of their attempts that may be on a machine.

    `max_value_bytes` is the key-value store's limit for a value.
    """

    def __init__(self, teams: list[Team], max_value_bytes: int) -> None:
        self.teams = {team.name: team for team in teams}
        self.max_chunk_bytes = min(
            int(max_value_bytes * CHUNK_FILL_FACTOR), MAX_TRANSACTION_BYTES // 2
        )

        # Jobs and what their teams use
        self.jobs: dict[str, JobState] = {}
        self.used: dict[str, ResourceVector] = {team.name: (0.0, 0.0, 0.0) for team in teams}
        # Live jobs by time of submission, oldest first
        self.jobs_by_age: dict[str, list[tuple[float, str]]] = {team.name: [] for team in teams}
        self.jobs_within_guarantee: dict[str, set[str]] = {team.name: set() for team in teams}
        # Jobs with waiting tasks
        self.waiting_jobs: dict[str, dict[str, JobState]] = {team.name: {} for team in teams}
        self.job_by_offer: dict[tuple[int, int], str] = {}
        # The share of a team's limit that is kept for waiting replicas
        self.reserved_for_services: dict[str, ResourceVector] = {}

        # What is to be written
        self.chunks: dict[str, dict[int, RecordChunk]] = {team.name: {} for team in teams}
        # Chunks to be written; True: it holds permits that wait for that
        self.dirty_chunks: dict[RecordChunk, bool] = {}
        # Complete jobs whose end is still to be written
        self.jobs_to_end: dict[str, JobState] = {}
        self.obsolete_keys: list[str] = []  # progress values of ended jobs

        # What is to be decided or sent
        self.changed_jobs: set[str] = set()  # jobs that shard owners must be sent
        self.changed_counts: set[str] = set()  # jobs whose task counts for users have changed
        # By shard and key on the state channel
        self.permit_updates: dict[tuple[int, str], PermitUpdate | None] = {}
        self.jobs_to_decide: set[str] = set()  # jobs whose offers are to be looked at
        self.teams_with_changed_usage: set[str] = set()
        self.teams_to_reorder: set[str] = set(self.teams)  # their guarantees are to be divided anew
        self.timers: list[tuple[float, str]] = []  # a heap of times at which a job is looked at

        # History
        self.failed_attempts: deque[FailedAttempt] = deque(maxlen=MAX_HISTORY)
        self.recently_ended: deque[EndedJobEntry] = deque(maxlen=MAX_HISTORY)
        # Moving averages by job class: the wait of its gangs and services until all tasks run, and
        # the task seconds of its arrays
        self.typical_wait_s: dict[str, float] = {}
        self.typical_work_s: dict[str, float] = {}
        # Jobs and allocations looked at, for the tests of how the work grows
        self.visit_count = 0

        # Set by the controller
        self.objectives = Objectives()
        self.log_debug: Callable[..., None] = lambda *args, **fields: None
        self.log_info: Callable[..., None] = lambda *args, **fields: None

    # -- jobs --------------------------------------------------------------------------------

    def on_job(
        self, job: Job | None, job_id: str, version: int, now: float, age: float = 0.0
    ) -> None:
        """Take in a job from the watch, submitted `age` seconds ago, or its end (`job` is None)."""
        self.changed_jobs.add(job_id)
        self.changed_counts.add(job_id)
        if job is not None:
            self._install_job(job, job_id, version, now, age)
        elif (job_state := self.jobs.get(job_id)) is not None:
            self._end_job(job_state, now)

    def _install_job(self, job: Job, job_id: str, version: int, now: float, age: float) -> None:
        self.teams_to_reorder.add(job.team)
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
        """Forget a job; where it has allocations, stop these first."""
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
        self.teams_to_reorder.add(job_state.team)
        self.jobs_to_end.pop(job_id, None)
        job_state.job = None
        job_state.version = 0
        self._drop_offers(job_state)
        for allocation in job_state.allocations.values():
            self.request_stop(allocation, 0.0)
        if not job_state.allocations:
            del self.jobs[job_id]

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
            job_state.uncommitted_per_shard[allocation.shard] = (
                job_state.uncommitted_per_shard.get(allocation.shard, 0) + 1
            )
        self.used[job_state.team] = add_scaled(self.used[job_state.team], job_state.resources)
        allocation.chunk.add(allocation, job_state.resources)
        self.changed_jobs.add(job_state.id)
        self.teams_with_changed_usage.add(job_state.team)

    def remove(self, job_state: JobState, allocation: Allocation) -> None:
        """Undo `insert`; a job that has ended goes with its last allocation."""
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
        job_state.running_count -= allocation.running
        self.changed_jobs.add(job_state.id)
        self.changed_counts.add(job_state.id)
        self.teams_with_changed_usage.add(job_state.team)
        if job_state.offers:
            self.jobs_to_decide.add(job_state.id)
        if job_state.job is None and not job_state.allocations:
            self.jobs.pop(job_state.id, None)

    def _decrement_uncommitted(self, job_state: JobState, allocation: Allocation) -> None:
        job_state.uncommitted_per_shard[allocation.shard] -= 1
        if not job_state.uncommitted_per_shard[allocation.shard]:
            del job_state.uncommitted_per_shard[allocation.shard]

    def mark_committed(self, job_state: JobState, allocation: Allocation) -> None:
        """A permit is written: its shard owner may be sent it."""
        if not allocation.committed:
            self._decrement_uncommitted(job_state, allocation)
            allocation.committed = True
            self.changed_jobs.add(job_state.id)
        if job_state.job is None and not allocation.finished:
            allocation.stop_grace_s = 0.0  # the job ended while the write was in flight
        self.update_permit(allocation)

    def update_permit(self, allocation: Allocation) -> None:
        """Send a written permit, with what has changed in it, to its shard owner."""
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
        """Stop an attempt, with this much time to save before it is killed."""
        if allocation.stop_grace_s != grace_s:
            allocation.stop_grace_s = grace_s
            self.update_permit(allocation)

    def chunk_for(self, team: str, size_bytes: int) -> RecordChunk:
        """Return a chunk with that much space: a dirty one, else any, else a new one."""
        chunks = self.chunks[team]
        best: RecordChunk | None = None
        for chunk in chunks.values():
            if chunk.size_bytes + size_bytes <= self.max_chunk_bytes:
                if chunk in self.dirty_chunks:
                    return chunk
                best = best or chunk
        if best is None:
            index = 0
            while index in chunks:
                index += 1
            best = chunks[index] = RecordChunk(team, index)
        return best

    def drop_offer(self, key: tuple[int, int]) -> None:
        """Forget an offer, given by shard and reservation id, if it is known."""
        job_id = self.job_by_offer.pop(key, None)
        if job_id is not None and (job_state := self.jobs.get(job_id)) is not None:
            job_state.offers.pop(key, None)

    def _drop_offers(self, job_state: JobState) -> None:
        for key in list(job_state.offers):
            self.drop_offer(key)

    def mark_complete(self, job_state: JobState) -> None:
        """Every task of a job is done: its end is to be written."""
        job_state.complete = True
        self.jobs_to_end[job_state.id] = job_state
        self.changed_jobs.add(job_state.id)

    def _due_time(self, job: Job) -> float:
        """Return the wall-clock time by which a job should be done.

        Among arrays of a class with an objective, small ones go before large ones that arrived a
        little sooner: in the order of arrival a large array makes all of them miss the objective.
        A large one is delayed by no more than its objective allows.
        """
        if job.deadline_s is not None:
            return job.submitted_at + job.deadline_s
        if job.kind != "array" or (finish_s := self.objectives.of(job).finish_s) is None:
            return job.submitted_at + DEFAULT_DUE_S
        work_s = job.task_count * max(1.0, job.estimate_s)
        typical_s = self.typical_work_s.get(job.job_class, work_s)
        self.typical_work_s[job.job_class] = typical_s + WORK_AVERAGE_WEIGHT * (work_s - typical_s)
        return job.submitted_at + min(finish_s, MAX_LARGE_ARRAY_DELAY_S) * min(
            1.0, 0.5 * work_s / typical_s
        )

    def queue_order(self, job_state: JobState) -> tuple[float, ...]:
        """Return a job's place in every queue, as a tuple to sort by.

        Services come first, then work within its guarantee, then by priority and due time. An
        overdue job goes ahead of all priorities, but not of services and work within a guarantee:
        else a large gang would lose the reservations it has gathered to each task of a higher
        priority that arrives.
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
