"""What a source knows of its teams' jobs: entries, offers, and the chunks of the cells that hold the entries.

Only state and its bookkeeping: who is permitted is decided in `source`, what is written and when in `writes`.
"""

from __future__ import annotations

import base64
import heapq
from bisect import insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson

from ploverhall.protocol import peer_messages
from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import PermitUpdate
from ploverhall.scheduling.objectives import Objectives
from ploverhall.scheduling.resources import ResourceVector, add_scaled
from ploverhall.settings import Team
from ploverhall.storage.store_cache import allocation_prefix, progress_prefix

TASKS_PER_PROGRESS_VALUE = 8192  # tasks whose bits share one value: about 1.4 KB
# Of a value's limit that a chunk may take; the rest is room for what json may add
CHUNK_FILL_FACTOR = 0.92
MAX_TRANSACTION_BYTES = 56_000  # of the 64 KiB a transaction may take
# A large array stands behind smaller ones that came so much later at most
MAX_LARGE_ARRAY_DELAY_S = 120.0
# A job of which nothing has run for so long comes before others of its kind until it begins
OVERDUE_START_S = 120.0
DEFAULT_DUE_S = 600.0  # nobody has said by when: it stands behind what came within so long
MAX_HISTORY = 200  # starts that died and jobs that ended, for people who ask
# A task that has run for so long works: what fails by its own mistake fails as soon as it has its
# image
HEALTHY_RUN_S = 5.0


@dataclass(slots=True, eq=False)
class Allocation:
    """One outstanding permit."""

    job_id: str
    task: int
    attempt: int
    machine: str
    shard: int
    zone: str
    epoch: int  # of the owner whose offer this is
    reservation_id: int
    chunk: RecordChunk
    committed: bool = False
    state: str = "permitted"
    reason: str = ""
    notice: int = 0  # 1: its machine goes, 2: its room is needed, 3: its machine is to be emptied
    stop_grace_s: float | None = None
    running_since: float | None = None  # when it was first told to be running
    finished: bool = False  # exited and recorded here, or proven gone: to be taken out of the cell

    def record(self) -> list[Any]:
        """The form kept in the cell."""
        return [
            self.task,
            self.attempt,
            self.machine,
            self.shard,
            self.zone,
            self.epoch,
            self.reservation_id,
        ]

    @property
    def running(self) -> bool:
        """Whether users are told that it runs."""
        return not self.finished and self.state in ("running", "saving")


@dataclass(slots=True, eq=False)
class RecordChunk:
    """One value of a team's cell, with its size as it will be encoded.

    Its key is never deleted, only written empty. Else its version would be 0 again, and a write that found none, and is carried out
    late or once more, would land a permit that nobody knows of.
    """

    team: str
    index: int
    version: int = 0
    allocations: dict[tuple[str, int], Allocation] = field(default_factory=dict)
    allocations_per_job: dict[str, int] = field(default_factory=dict)  # entries by job
    size_bytes: int = 2

    @property
    def key(self) -> str:
        """Where it is kept."""
        return f"{allocation_prefix(self.team)}{self.index}"

    def add(self, allocation: Allocation, resources: ResourceVector) -> None:
        """Take an entry in."""
        self.allocations[allocation.job_id, allocation.task] = allocation
        if allocation.job_id not in self.allocations_per_job:
            self.size_bytes += header_bytes(allocation.job_id, resources)
        self.allocations_per_job[allocation.job_id] = (
            self.allocations_per_job.get(allocation.job_id, 0) + 1
        )
        self.size_bytes += allocation_bytes(allocation)
        allocation.chunk = self

    def remove(self, allocation: Allocation, resources: ResourceVector) -> None:
        """Take an entry out."""
        if self.allocations.get((allocation.job_id, allocation.task)) is not allocation:
            return
        del self.allocations[allocation.job_id, allocation.task]
        self.size_bytes -= allocation_bytes(allocation)
        self.allocations_per_job[allocation.job_id] -= 1
        if not self.allocations_per_job[allocation.job_id]:
            del self.allocations_per_job[allocation.job_id]
            self.size_bytes -= header_bytes(allocation.job_id, resources)


def allocation_bytes(allocation: Allocation) -> int:
    """What an entry takes in its chunk's value, as encoded."""
    return len(orjson.dumps(allocation.record())) + 1


def header_bytes(job_id: str, resources: ResourceVector) -> int:
    """What a job takes in a chunk's value besides its entries."""
    return len(orjson.dumps({job_id: [list(resources), []]}))


@dataclass(slots=True, eq=False)
class Offer:
    """Room that an owner holds for a candidate."""

    shard: int
    epoch: int
    reservation_id: int
    machine: str
    zone: str
    cost: float
    victim_count: int


@dataclass(eq=False)
class JobState:
    """A job while it is live or has tasks somewhere."""

    id: str
    team: str
    resources: ResourceVector
    job: Job | None = None  # None: over, only its tasks remain
    version: int = 0
    # By task; one start of a task at a time
    allocations: dict[int, Allocation] = field(default_factory=dict)
    allocations_per_zone: dict[str, int] = field(default_factory=dict)  # entries by zone
    # Permits being written, by part
    uncommitted_per_shard: dict[int, int] = field(default_factory=dict)
    # Part, epoch and ticket of its entries
    used_reservations: set[tuple[int, int, int]] = field(default_factory=set)
    running_count: int = 0
    done_bits: bytearray = field(default_factory=bytearray)
    done_count: int = 0
    dirty_progress: set[int] = field(default_factory=set)
    stored_progress: set[int] = field(default_factory=set)
    next_new_task: int = 0  # tasks from here on were never permitted by this source
    retry_tasks: list[int] = field(default_factory=list)
    offers: dict[tuple[int, int], Offer] = field(default_factory=dict)
    retry_at: float = 0.0
    # Machines that are avoided, and since when
    failed_on: dict[str, float] = field(default_factory=dict)
    task_failures: dict[int, int] = field(default_factory=dict)
    # Tasks that failed, and when they may be tried again
    task_retry_at: dict[int, float] = field(default_factory=dict)
    # It fails wherever it starts: its own fault, not the machines'
    failing_everywhere: bool = False
    failing_attempts: int = 0  # since it has been taken for broken
    failure_count: int = 0  # in all, for display
    last_failure: str = ""
    complete: bool = False  # every task done; the record of it is still to be written
    blocked: bool = False  # its key changed under a write: wait for the watch
    within_guarantee: bool = False  # of its team's guarantee, together with the team's earlier jobs
    waiting_since: float = 0.0  # when it came, or a start of it last ended
    arrived_at: float = 0.0  # when this source first knew of it
    fully_ran: bool = False  # all of its tasks have run at once
    started: bool = False  # a task of it has run; of a gang, all of them
    overdue: bool = False  # it has waited for that for too long, and comes before others just now
    overdue_check_at: float = 0.0  # when that is looked at
    # By when it should be done, for its place in the queue (wall clock)
    due_at: float | None = None
    task_duration_s: float | None = None  # how long its tasks have run that have completed, lately

    @property
    def task_count(self) -> int:
        """Number of tasks."""
        return self.job.task_count if self.job else 0

    def is_done(self, task: int) -> bool:
        """Whether a task's result is recorded."""
        return bool(self.done_bits) and bool(self.done_bits[task >> 3] & (1 << (task & 7)))

    def mark_done(self, task: int) -> None:
        """Record a result."""
        if not self.done_bits:
            self.done_bits = bytearray((self.task_count + 7) // 8)
        if not self.is_done(task):
            self.done_bits[task >> 3] |= 1 << (task & 7)
            self.done_count += 1
            self.dirty_progress.add(task // TASKS_PER_PROGRESS_VALUE)

    def waiting_count(self) -> int:
        """Tasks with no start outstanding and no result."""
        if self.job is None or self.complete:
            return 0
        return self.task_count - self.done_count - len(self.allocations)

    def next_task(self) -> int | None:
        """The next task to permit."""
        while self.retry_tasks:
            task = heapq.heappop(self.retry_tasks)
            if task not in self.allocations and not self.is_done(task):
                return task
        while self.next_new_task < self.task_count:
            task = self.next_new_task
            self.next_new_task += 1
            if task not in self.allocations and not self.is_done(task):
                return task
        return None

    def requeue(self, task: int) -> None:
        """A task that had a start waits again."""
        if task < self.next_new_task and task not in self.task_retry_at:
            heapq.heappush(self.retry_tasks, task)

    def release_backoff(self, now: float) -> None:
        """Tasks that may be tried again wait like any other."""
        for task in [t for t, until in self.task_retry_at.items() if until <= now]:
            del self.task_retry_at[task]
            if task not in self.allocations:
                self.requeue(task)

    def is_healthy(self, now: float) -> bool:
        """Whether any of its tasks has been seen to do what it should: it completed, or it runs on."""
        return self.done_count > 0 or any(
            allocation.running
            and allocation.running_since is not None
            and now - allocation.running_since > HEALTHY_RUN_S
            for allocation in self.allocations.values()
        )


@dataclass(slots=True)
class ChunkWrite:
    """What one write does to one chunk."""

    chunk: RecordChunk
    added: list[Allocation] = field(default_factory=list)
    removed: list[Allocation] = field(default_factory=list)


@dataclass(slots=True)
class PendingWrite:
    """One write: what it guards on, what it changes, and what it means here when it lands."""

    compare: dict[str, int]
    puts: dict[str, Any]
    deletes: list[str]
    chunks: list[ChunkWrite] = field(default_factory=list)
    progress_parts: list[tuple[JobState, int]] = field(default_factory=list)
    ended_jobs: list[JobState] = field(default_factory=list)
    # By team: the stops that it lands
    eviction_grants: dict[str, list[AttemptId]] = field(default_factory=dict)
    size_bytes: int = 400

    @property
    def operation_count(self) -> int:
        """Puts and deletes."""
        return len(self.puts) + len(self.deletes)

    @property
    def added(self) -> list[Allocation]:
        """The permits that this write lands."""
        return [allocation for write in self.chunks for allocation in write.added]


class FailedAttempt(NamedTuple):
    """A start that ended without completing."""

    at: float
    job_id: str
    task: int
    machine: str
    reason: str


class EndedJobEntry(NamedTuple):
    """A job that is over."""

    at: float
    job_id: str
    team: str
    outcome: str
    tasks_done: int
    task_count: int
    failure_count: int
    last_failure: str


def append_allocation(value: dict[str, Any], job_state: JobState, allocation: Allocation) -> None:
    """Put an entry into a chunk's value, under its job's header."""
    value.setdefault(allocation.job_id, [list(job_state.resources), []])[1].append(
        allocation.record()
    )


class AllocationStore:
    """The jobs of one shard's teams, and every start of theirs that may be somewhere."""

    def __init__(
        self,
        shard: int,
        epoch: int,
        teams: list[Team],
        zones: tuple[str, ...],
        max_value_bytes: int,
        max_transaction_ops: int,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.teams = {team.name: team for team in teams}
        self.zones = zones
        self.max_transaction_ops = max_transaction_ops
        self.max_chunk_bytes = min(
            int(max_value_bytes * CHUNK_FILL_FACTOR), MAX_TRANSACTION_BYTES // 2
        )
        self.jobs: dict[str, JobState] = {}
        self.chunks: dict[str, dict[int, RecordChunk]] = {team.name: {} for team in teams}
        # To be written; True: holds permits that wait for it
        self.dirty_chunks: dict[RecordChunk, bool] = {}
        # Chunks that a write of unknown outcome may still change
        self.chunks_to_fence: set[tuple[str, int]] = set()
        # Complete, the record of it is still to be written
        self.jobs_to_end: dict[str, JobState] = {}
        self.obsolete_keys: list[str] = []  # progress records of jobs that are over
        self.used: dict[str, ResourceVector] = {team.name: (0.0, 0.0, 0.0) for team in teams}
        # Live jobs, oldest first
        self.jobs_by_age: dict[str, list[tuple[float, str]]] = {team.name: [] for team in teams}
        self.jobs_within_guarantee: dict[str, set[str]] = {team.name: set() for team in teams}
        # Jobs with tasks that wait
        self.waiting_jobs: dict[str, dict[str, JobState]] = {team.name: {} for team in teams}
        self.job_by_offer: dict[tuple[int, int], str] = {}
        self.changed_jobs: set[str] = set()  # jobs that owners must hear of
        self.changed_counts: set[str] = set()  # jobs whose numbers for display have changed
        self.permit_updates: dict[tuple[int, str], PermitUpdate | None] = {}
        self.jobs_to_decide: set[str] = set()  # jobs to decide
        self.teams_with_changed_usage: set[str] = set()  # teams whose use has changed
        self.teams_to_reorder: set[str] = set(self.teams)
        self.timers: list[tuple[float, str]] = []
        # Of a team's limit, for replicas that wait
        self.reserved_for_services: dict[str, ResourceVector] = {}
        self.next_team_check_at = self.next_revisit_at = self.next_service_check_at = 0.0
        self.attempt_count = 0
        self.write_operation_limit = max_transaction_ops  # of the write being planned
        self.crowded_writes = 0  # writes that could not take all that waited
        self.holding_back_offers = False  # a worse answer is being held back for a moment
        self.failed_attempts: deque[FailedAttempt] = deque(maxlen=MAX_HISTORY)
        self.recently_ended: deque[EndedJobEntry] = deque(maxlen=MAX_HISTORY)
        # By class: how long its gangs and services wait until all their tasks run, lately
        self.typical_wait_s: dict[str, float] = {}
        self.typical_work_s: dict[str, float] = {}  # by class: task seconds of its arrays, lately
        self.visit_count = 0  # jobs and entries looked at: what the tests of growth count
        self.objectives = Objectives()
        self.machine_types: dict[str, MachineType] = {}  # what the cloud sells
        self.log_debug: Callable[..., None] = lambda *a, **k: None  # what was decided on the way
        self.log_info: Callable[..., None] = lambda *a, **k: None  # what a person should know

    # -- starting ----------------------------------------------------------------------------

    def install_allocations(self, team: str, found: dict[str, tuple[Any, int]], now: float) -> None:
        """Take in a team's cell as read: at the start, and whenever a write's outcome is unknown."""
        seen: set[tuple[str, int, int]] = set()
        old = self.chunks[team]
        for chunk in old.values():
            self.dirty_chunks.pop(chunk, None)
        self.chunks[team] = {}
        for key, (value, version) in found.items():
            chunk = RecordChunk(team, int(key.rsplit("/", 1)[1]), version)
            self.chunks[team][chunk.index] = chunk
            for job_id, (resources, entries) in value.items():
                for task, attempt, machine, part, zone, epoch, ticket in entries:
                    job_state = self.jobs.get(job_id)
                    if job_state is None:
                        job_state = self.jobs[job_id] = JobState(
                            job_id,
                            team,
                            (resources[0], resources[1], resources[2]),
                            waiting_since=now,
                            arrived_at=now,
                        )
                    seen.add((job_id, task, attempt))
                    allocation = job_state.allocations.get(task)
                    if allocation is not None and allocation.attempt == attempt:
                        chunk.add(allocation, job_state.resources)
                        self._mark_committed(job_state, allocation)
                    else:
                        if allocation is not None:
                            self._remove(job_state, allocation)
                            self.jobs[job_id] = job_state
                        allocation = Allocation(
                            job_id,
                            task,
                            attempt,
                            machine,
                            part,
                            zone,
                            epoch,
                            ticket,
                            chunk,
                            committed=True,
                        )
                        if job_state.job is None:
                            allocation.stop_grace_s = 0.0
                        self._insert(job_state, allocation)
                        self._update_permit(allocation)
                    if allocation.finished:
                        self.dirty_chunks.setdefault(chunk, False)
        for chunk in old.values():
            for allocation in list(chunk.allocations.values()):
                job_state = self.jobs.get(allocation.job_id)
                if (
                    job_state is not None
                    and job_state.allocations.get(allocation.task) is allocation
                    and (allocation.job_id, allocation.task, allocation.attempt) not in seen
                ):
                    self._remove(job_state, allocation)  # it never landed, or its removal did
                    job_state.requeue(allocation.task)

    def install_progress(self, team: str, found: dict[str, tuple[Any, int]]) -> None:
        """Take in what is recorded of a team's unfinished arrays. Live jobs must be known by now."""
        for key, (value, _) in found.items():
            job_id, _, chunk = key[len(progress_prefix(team)) :].rpartition("/")
            job_state = self.jobs.get(job_id)
            if job_state is None or job_state.job is None:
                self.obsolete_keys.append(key)
                continue
            base = int(chunk) * TASKS_PER_PROGRESS_VALUE
            job_state.stored_progress.add(int(chunk))
            for i, byte in enumerate(base64.b64decode(value)):
                for bit in range(8):
                    task = base + i * 8 + bit
                    if byte & (1 << bit) and task < job_state.task_count:
                        job_state.mark_done(task)
            job_state.dirty_progress.clear()
            if job_state.job.kind == "array" and job_state.done_count == job_state.task_count:
                self._mark_complete(job_state)

    def on_job(
        self, job: Job | None, job_id: str, version: int, now: float, age: float = 0.0
    ) -> None:
        """The watch brought a job of this shard's teams, submitted so long ago, or its end (None)."""
        job_state = self.jobs.get(job_id)
        self.changed_jobs.add(job_id)
        self.changed_counts.add(job_id)
        if job is None:
            if job_state is None:
                return
            if job_state.job is not None:
                how = "done" if job_state.complete else "withdrawn"
                self.recently_ended.append(
                    EndedJobEntry(
                        now,
                        job_id,
                        job_state.team,
                        how,
                        job_state.task_count if job_state.complete else job_state.done_count,
                        job_state.task_count,
                        job_state.failure_count,
                        job_state.last_failure,
                    )
                )
                self.jobs_by_age[job_state.team].remove((job_state.job.submitted_at, job_id))
                self.obsolete_keys += [
                    f"{progress_prefix(job_state.team)}{job_id}/{k}"
                    for k in job_state.stored_progress | job_state.dirty_progress
                ]
            self.teams_to_reorder.add(job_state.team)
            self.jobs_to_end.pop(job_id, None)
            job_state.job = None
            job_state.version = 0
            self._drop_offers(job_state)
            for allocation in job_state.allocations.values():
                self._request_stop(allocation, 0.0)
            if not job_state.allocations:
                del self.jobs[job_id]
            return
        self.teams_to_reorder.add(job.team)
        if job_state is None:
            job_state = self.jobs[job_id] = JobState(
                job_id, job.team, job.resources, waiting_since=now, arrived_at=now - age
            )
        if job_state.job is None:
            insort(self.jobs_by_age[job.team], (job.submitted_at, job_id))
            for allocation in job_state.allocations.values():
                allocation.stop_grace_s = None
                self._update_permit(allocation)
        job_state.job = job
        job_state.version = version
        job_state.resources = job.resources
        job_state.blocked = False
        if job_state.due_at is None:
            job_state.due_at = self._due_time(job)
            job_state.overdue_check_at = max(now, job_state.arrived_at + OVERDUE_START_S)
            heapq.heappush(self.timers, (job_state.overdue_check_at, job_id))

    # -- entries -----------------------------------------------------------------------------

    def _insert(self, job_state: JobState, allocation: Allocation) -> None:
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

    def _remove(self, job_state: JobState, allocation: Allocation) -> None:
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
                peer_messages.permit_key((allocation.job_id, allocation.task, allocation.attempt)),
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

    def _mark_committed(self, job_state: JobState, allocation: Allocation) -> None:
        """A permit is in the cell: its owner may hear of it."""
        if not allocation.committed:
            self._decrement_uncommitted(job_state, allocation)
            allocation.committed = True
            self.changed_jobs.add(job_state.id)
        if job_state.job is None and not allocation.finished:
            allocation.stop_grace_s = 0.0  # its job ended while the write was on its way
        self._update_permit(allocation)

    def _update_permit(self, allocation: Allocation) -> None:
        """The owner of a permit must hear of it."""
        if allocation.committed:
            self.permit_updates[
                allocation.shard,
                peer_messages.permit_key((allocation.job_id, allocation.task, allocation.attempt)),
            ] = PermitUpdate(
                allocation.machine,
                allocation.epoch,
                allocation.reservation_id,
                allocation.stop_grace_s,
            )

    def _request_stop(self, allocation: Allocation, grace_s: float) -> None:
        if allocation.stop_grace_s != grace_s:
            allocation.stop_grace_s = grace_s
            self._update_permit(allocation)

    def _chunk_for(self, team: str, size: int) -> RecordChunk:
        """A chunk with that much room: one that is to be written anyway, else any, else a new one."""
        chunks = self.chunks[team]
        best: RecordChunk | None = None
        for chunk in chunks.values():
            if chunk.size_bytes + size <= self.max_chunk_bytes:
                if chunk in self.dirty_chunks:
                    return chunk
                best = best or chunk
        if best is None:
            index = 0
            while index in chunks:
                index += 1
            best = chunks[index] = RecordChunk(team, index)
        return best

    def _drop_offer(self, key: tuple[int, int]) -> None:
        job_id = self.job_by_offer.pop(key, None)
        if job_id is not None and (job_state := self.jobs.get(job_id)) is not None:
            job_state.offers.pop(key, None)

    def _drop_offers(self, job_state: JobState) -> None:
        for key in list(job_state.offers):
            self._drop_offer(key)

    def _mark_complete(self, job_state: JobState) -> None:
        job_state.complete = True
        self.jobs_to_end[job_state.id] = job_state
        self.changed_jobs.add(job_state.id)

    def _due_time(self, job: Job) -> float:
        """By when it should be done. Of arrays of a class with an aim, small ones come before large ones that came a little sooner.

        Where there is not room for all in time, the order in which they came has all of them late: one of 1,630 tasks, and two
        smaller ones behind it (shannon-loanworks steady, 365 to 390 s). A large one is put off by no more than what the aim allows.
        """
        if job.deadline_s is not None:
            return job.submitted_at + job.deadline_s
        if job.kind != "array" or (within := self.objectives.of(job).finish_s) is None:
            return job.submitted_at + DEFAULT_DUE_S
        work = job.task_count * max(1.0, job.estimate_s)
        usual = self.typical_work_s.get(job.job_class, work)
        self.typical_work_s[job.job_class] = usual + 0.2 * (work - usual)
        return job.submitted_at + min(within, MAX_LARGE_ARRAY_DELAY_S) * min(
            1.0, 0.5 * work / usual
        )

    def queue_order(self, job_state: JobState) -> tuple[float, ...]:
        """Place in every queue: services, then work within its guarantee, then by rank and time.

        What has waited for too long to begin comes before all ranks, but not before services and work within a guarantee. A large
        gang lost the pieces of room that it held to each task of a higher rank that came, for as long as such tasks came.
        """
        job = job_state.job
        assert job is not None
        rank = 0.0 if job_state.overdue and not job_state.started else float(job.priority)
        return (
            2.0 if job_state.failing_everywhere else 0.0 if job.priority == 0 else 1.0,
            0.0 if job_state.within_guarantee else 1.0,
            rank,
            job_state.due_at or 0.0,
        )
