"""The state that a source keeps of one job: its task queue, its allocations, and its offers.

A `JobState` exists until its job has ended and none of the job's tasks can still be on a machine.
`AllocationStore` holds it; `permitting` makes the decisions.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.record_chunks import Allocation
from ploverhall.scheduling.resources import ResourceVector

TASKS_PER_PROGRESS_VALUE = 8192  # tasks whose done bits share one value, of about 1.4 KB
# A task that has run for this long is healthy: a faulty task fails as soon as its image has been
# fetched
HEALTHY_RUN_S = 5.0
SAVE_MARGIN_S = 1.0  # added to the time that a job states its tasks need to save
SAVE_OVERHEAD_S = 15.0  # time to stop, move and restore a task, besides twice its save time


@dataclass(slots=True, eq=False)
class Offer:
    """A reservation on one machine that a shard owner has made for a candidate task."""

    shard: int
    epoch: int  # of the shard owner
    reservation_id: int
    machine: str
    zone: str
    cost: float
    victim_count: int  # attempts that would be preempted


@dataclass(eq=False)
class JobState:
    """A live job, or an ended job that may still have tasks on machines."""

    id: str
    team: str
    resources: ResourceVector
    job: Job | None = None  # None: the job has ended and only its allocations remain
    version: int = 0  # of the job's key in the key-value store
    # By task; a task has at most one attempt at a time
    allocations: dict[int, Allocation] = field(default_factory=dict)
    allocations_per_zone: dict[str, int] = field(default_factory=dict)
    # By shard: number of permits that have not been written yet
    uncommitted_per_shard: dict[int, int] = field(default_factory=dict)
    # (Shard, epoch, reservation id) of its allocations
    used_reservations: set[tuple[int, int, int]] = field(default_factory=set)
    running_count: int = 0
    done_bits: bytearray = field(default_factory=bytearray)  # one bit per task; empty: none is done
    done_count: int = 0
    # Indexes of the progress values to be written, and of those that are in the key-value store
    dirty_progress: set[int] = field(default_factory=set)
    stored_progress: set[int] = field(default_factory=set)
    next_new_task: int = 0  # this source has not permitted any task from this one on
    retry_tasks: list[int] = field(default_factory=list)  # a heap of tasks to permit again
    # By (shard, reservation id)
    offers: dict[tuple[int, int], Offer] = field(default_factory=dict)
    retry_at: float = 0.0  # no task is permitted before this time
    # Machines that the job avoids -> time of its last failure there
    failed_on: dict[str, float] = field(default_factory=dict)
    task_failures: dict[int, int] = field(default_factory=dict)  # exits with an error, by task
    # Failed tasks -> time from which they may be retried
    task_retry_at: dict[int, float] = field(default_factory=dict)
    # It fails on every machine, so the job itself is at fault and not the machines
    failing_everywhere: bool = False
    failing_attempts: int = 0  # backoffs since `failing_everywhere` was set
    failure_count: int = 0  # total, shown in the status
    last_failure: str = ""
    complete: bool = False  # every task is done, but the job's end may not be written yet
    blocked: bool = False  # its key has changed: nothing is permitted until the watch sends it
    # It fits within its team's guarantee, together with the team's earlier jobs
    within_guarantee: bool = False
    waiting_since: float = 0.0  # when it arrived, or when one of its attempts last ended
    arrived_at: float = 0.0  # time of its submission, on this source's clock
    all_tasks_ran: bool = False  # all of its tasks have run at the same time
    started: bool = False  # one of its tasks (for a gang, all of them) has run
    # It has waited too long to start and now goes ahead of other jobs
    overdue: bool = False
    overdue_check_at: float = 0.0
    # Wall-clock time by which it should be done; determines its place in the queue
    due_at: float | None = None
    task_duration_s: float | None = None  # moving average of its completed tasks

    @property
    def task_count(self) -> int:
        """Return the number of tasks; 0 once the job has ended."""
        return self.job.task_count if self.job else 0

    @property
    def uncommitted_count(self) -> int:
        """Return the number of permits that have not been written yet."""
        return sum(self.uncommitted_per_shard.values())

    def is_done(self, task: int) -> bool:
        """Return whether a task has completed."""
        return bool(self.done_bits) and bool(self.done_bits[task >> 3] & (1 << (task & 7)))

    def mark_done(self, task: int) -> None:
        """Record that a task has completed."""
        if not self.done_bits:
            self.done_bits = bytearray((self.task_count + 7) // 8)
        if not self.is_done(task):
            self.done_bits[task >> 3] |= 1 << (task & 7)
            self.done_count += 1
            self.dirty_progress.add(task // TASKS_PER_PROGRESS_VALUE)

    def waiting_count(self) -> int:
        """Return the number of tasks with neither an allocation nor a result."""
        if self.job is None or self.complete:
            return 0
        return self.task_count - self.done_count - len(self.allocations)

    def next_task(self) -> int | None:
        """Remove and return the next task to permit, retries first; None if no task waits."""
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
        """Put a task whose attempt has ended back into the queue, unless it is in backoff.

        A task that is not below `next_new_task` is still in the queue.
        """
        if task < self.next_new_task and task not in self.task_retry_at:
            heapq.heappush(self.retry_tasks, task)

    def release_backoff(self, now: float) -> None:
        """Requeue the failed tasks whose backoff has expired."""
        for task in [task for task, retry_at in self.task_retry_at.items() if retry_at <= now]:
            del self.task_retry_at[task]
            if task not in self.allocations:
                self.requeue(task)

    def is_healthy(self, now: float) -> bool:
        """Return whether any task has completed, or has run for more than `HEALTHY_RUN_S`."""
        return self.done_count > 0 or any(
            allocation.running
            and allocation.running_since is not None
            and now - allocation.running_since > HEALTHY_RUN_S
            for allocation in self.allocations.values()
        )


def save_grace_s(job: Job, min_checkpoint_s: float = 0.0) -> float:
    """Return the seconds that a task gets to save before it is stopped.

    0 if its job makes no checkpoints, or if its checkpoint interval is at most `min_checkpoint_s`.
    """
    return job.save_s + SAVE_MARGIN_S if job.checkpoint_s > min_checkpoint_s else 0.0


def min_worthwhile_checkpoint_s(job: Job) -> float:
    """Return the checkpoint interval, in seconds, above which a preempted task should save."""
    return 2.0 * job.save_s + SAVE_OVERHEAD_S
