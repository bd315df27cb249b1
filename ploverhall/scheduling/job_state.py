"""What the source knows of one job: its queue of tasks, its allocations, and the offers for it.

A `JobState` lives as long as its job, or as any task of it may still be on a machine. It is kept by
`AllocationStore`; the decisions are made in `permitting`.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.record_chunks import Allocation
from ploverhall.scheduling.resources import ResourceVector

TASKS_PER_PROGRESS_VALUE = 8192  # tasks whose result bits share one value: about 1.4 KB
# A task that has run for this long is healthy: one with a fault of its own fails as soon as it has
# its image
HEALTHY_RUN_S = 5.0
SAVE_MARGIN_S = 1.0  # beyond the time that a job says its tasks need to save
SAVE_OVERHEAD_S = 15.0  # what stopping, moving and restoring a task takes besides two saves


@dataclass(slots=True, eq=False)
class Offer:
    """Resources on one machine that a shard owner has reserved for a candidate task."""

    shard: int
    epoch: int  # of the shard owner
    reservation_id: int
    machine: str
    zone: str
    cost: float
    victim_count: int  # attempts that would be preempted


@dataclass(eq=False)
class JobState:
    """A job that is live, or has ended and may still have tasks on machines."""

    id: str
    team: str
    resources: ResourceVector
    job: Job | None = None  # None: it has ended, only its allocations remain
    version: int = 0  # of the job's key in the key-value store
    # By task: at most one attempt of a task at a time
    allocations: dict[int, Allocation] = field(default_factory=dict)
    allocations_per_zone: dict[str, int] = field(default_factory=dict)
    # Permits that are not written yet
    uncommitted_per_shard: dict[int, int] = field(default_factory=dict)
    # Shard, epoch and reservation id of its allocations
    used_reservations: set[tuple[int, int, int]] = field(default_factory=set)
    running_count: int = 0
    done_bits: bytearray = field(default_factory=bytearray)  # one bit a task; empty: none is done
    done_count: int = 0
    # Indexes of the progress values that are to be written, and of those in the key-value store
    dirty_progress: set[int] = field(default_factory=set)
    stored_progress: set[int] = field(default_factory=set)
    next_new_task: int = 0  # tasks from here on were never permitted by this source
    retry_tasks: list[int] = field(default_factory=list)  # a heap
    # By shard and reservation id
    offers: dict[tuple[int, int], Offer] = field(default_factory=dict)
    retry_at: float = 0.0
    # Machines that it avoids, and since when
    failed_on: dict[str, float] = field(default_factory=dict)
    task_failures: dict[int, int] = field(default_factory=dict)
    # Tasks that failed -> when they may be retried
    task_retry_at: dict[int, float] = field(default_factory=dict)
    # It fails on every machine: the fault is its own, not the machines'
    failing_everywhere: bool = False
    failing_attempts: int = 0  # since `failing_everywhere` was set
    failure_count: int = 0  # in all, for display
    last_failure: str = ""
    complete: bool = False  # every task is done; its end is still to be written
    blocked: bool = False  # its key has changed: no permits until the watch brings it
    # It fits its team's guarantee together with the team's earlier jobs
    within_guarantee: bool = False
    waiting_since: float = 0.0  # when it arrived, or an attempt of it last ended
    arrived_at: float = 0.0  # when this source first knew of it
    fully_ran: bool = False  # all of its tasks have run at once
    started: bool = False  # a task of it has run; of a gang, all of them
    # It has waited too long to start, and goes ahead of other jobs just now
    overdue: bool = False
    overdue_check_at: float = 0.0
    # Wall-clock time by which it should be done, for its place in the queue
    due_at: float | None = None
    task_duration_s: float | None = None  # moving average of its completed tasks

    @property
    def task_count(self) -> int:
        """Number of tasks; 0 once the job has ended."""
        return self.job.task_count if self.job else 0

    def is_done(self, task: int) -> bool:
        """Whether a task has completed."""
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
        """Remove and return the next task to permit: retries first; None where no task waits."""
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
        """Put a task whose attempt has ended back into the queue, unless it is in backoff."""
        if task < self.next_new_task and task not in self.task_retry_at:
            heapq.heappush(self.retry_tasks, task)

    def release_backoff(self, now: float) -> None:
        """Requeue the failed tasks whose backoff is over."""
        for task in [task for task, retry_at in self.task_retry_at.items() if retry_at <= now]:
            del self.task_retry_at[task]
            if task not in self.allocations:
                self.requeue(task)

    def is_healthy(self, now: float) -> bool:
        """Whether any of its tasks has completed, or has run for `HEALTHY_RUN_S`."""
        return self.done_count > 0 or any(
            allocation.running
            and allocation.running_since is not None
            and now - allocation.running_since > HEALTHY_RUN_S
            for allocation in self.allocations.values()
        )


def save_grace_s(job: Job, min_checkpoint_s: float = 0.0) -> float:
    """Return the seconds that a task gets to save before it is stopped.

    0 where its job makes no checkpoints, or none for at least `min_checkpoint_s` of work.
    """
    return job.save_s + SAVE_MARGIN_S if job.checkpoint_s > min_checkpoint_s else 0.0


def min_worthwhile_checkpoint_s(job: Job) -> float:
    """Return the checkpoint interval in seconds above which a preempted task should save first."""
    return 2.0 * job.save_s + SAVE_OVERHEAD_S
