"""Decides whether a failed attempt is the fault of its machine, of its task, or of the whole job.

A failed task is retried after a backoff, and the job's other tasks keep running. A job that fails
on several machines and has no healthy task is considered faulty itself: it is retried rarely, and
its failures do not count against any machine. `AttemptUpdates` calls this for each failed attempt.
"""

from __future__ import annotations

import heapq

from ploverhall.scheduling.allocations import AllocationStore
from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.record_chunks import Allocation

# Exit reasons that count as failures; all other reasons mean that the attempt was stopped
FAILURE_REASONS = ("error", "unknown", "no_room", "in_use")
REASON_ERROR = "error"
REASON_UNKNOWN = "unknown"
AVOID_MACHINE_S = 120.0  # how long a job avoids a machine on which it failed
MIN_FAILED_MACHINES = 2  # a job that fails on this many machines is faulty itself
# First and longest backoff of a job that fails on every machine
INITIAL_JOB_BACKOFF_S = 5.0
MAX_JOB_BACKOFF_S = 90.0
# First and longest backoff of a failing task in a job whose other tasks work
INITIAL_TASK_BACKOFF_S = 1.0
MAX_TASK_BACKOFF_S = 60.0
UNKNOWN_FAILURE_BACKOFF_S = 1.0
MACHINE_FAILURE_BACKOFF_S = 0.3  # the machine could not take the task
MAX_BACKOFF_DOUBLINGS = 10
ATTEMPT_STATES_BEFORE_RUNNING = ("permitted", "fetching")


class JobFailureTracker:
    """Failure counts and retry backoff of the jobs of one shard's teams."""

    def __init__(self, store: AllocationStore) -> None:
        self.store = store

    def record_failure(
        self,
        job_state: JobState,
        allocation: Allocation,
        reason: str,
        machine_suspect: bool,
        now: float,
    ) -> None:
        """Count a failed attempt, and set when its task (for a gang, the job) may be retried.

        `machine_suspect` is True if other jobs have failed on the machine as well.
        """
        job_state.failure_count += 1
        job_state.last_failure = f"{reason} on {allocation.machine}"
        self.store.log_debug(
            "failed",
            job=allocation.job_id,
            task=allocation.task,
            machine=allocation.machine,
            reason=reason,
            failures=job_state.failure_count,
        )
        if reason == REASON_ERROR:
            backoff_s = self._attribute_error(job_state, allocation, machine_suspect, now)
        elif reason == REASON_UNKNOWN:
            backoff_s = UNKNOWN_FAILURE_BACKOFF_S
        else:
            backoff_s = MACHINE_FAILURE_BACKOFF_S
        if backoff_s > 0 and job_state.job is not None and job_state.job.kind == "gang":
            job_state.retry_at = max(job_state.retry_at, now + backoff_s)
        elif backoff_s > 0:
            job_state.task_retry_at[allocation.task] = now + backoff_s
        if backoff_s > 0 or job_state.retry_at > now:
            heapq.heappush(
                self.store.timers, (max(now + backoff_s, job_state.retry_at), job_state.id)
            )
        self.store.changed_jobs.add(job_state.id)

    def _attribute_error(
        self, job_state: JobState, allocation: Allocation, machine_suspect: bool, now: float
    ) -> float:
        """Attribute an exit with an error, and return the task's backoff in seconds.

        A failure on a suspect machine does not count towards `MIN_FAILED_MACHINES`.
        """
        job_state.failed_on = {
            machine: failed_at
            for machine, failed_at in job_state.failed_on.items()
            if now - failed_at < AVOID_MACHINE_S
        }
        failed_there_before = allocation.machine in job_state.failed_on
        if not machine_suspect:
            job_state.failed_on[allocation.machine] = now
        failures = job_state.task_failures.get(allocation.task, 0) + 1
        job_state.task_failures[allocation.task] = failures
        if job_state.failing_everywhere:
            self._back_off(job_state, now)
        elif (
            len(job_state.failed_on) >= MIN_FAILED_MACHINES
            and not failed_there_before
            and not job_state.is_healthy(now)
        ):
            self.set_failing_everywhere(job_state, True, now)
        return task_backoff_s(failures)

    def set_failing_everywhere(self, job_state: JobState, failing: bool, now: float) -> None:
        """Mark a job as failing on every machine, or clear the mark once one of its tasks works."""
        if job_state.failing_everywhere == failing or job_state.job is None:
            return
        job_state.failing_everywhere = failing
        self.store.log_info(
            "job failing on all machines" if failing else "job recovered",
            job=job_state.id,
            team=job_state.team,
            machines=",".join(sorted(job_state.failed_on)),
            failures=job_state.failure_count,
        )
        self.store.changed_jobs.add(job_state.id)
        self.store.jobs_to_decide.add(job_state.id)
        self.store.teams_with_stale_guarantees.add(job_state.team)
        if failing:
            job_state.failing_attempts = 0
            self._back_off(job_state, now)
            self._stop_attempts_before_running(job_state)
        else:
            job_state.retry_at = 0.0
            job_state.failed_on.clear()
            job_state.task_failures.clear()
            for task in job_state.task_retry_at:
                job_state.task_retry_at[task] = now
            job_state.release_backoff(now)

    def _stop_attempts_before_running(self, job_state: JobState) -> None:
        for allocation in job_state.allocations.values():
            if (
                not allocation.finished
                and allocation.stop_grace_s is None
                and allocation.state in ATTEMPT_STATES_BEFORE_RUNNING
            ):
                self.store.request_stop(allocation, 0.0)

    def _back_off(self, job_state: JobState, now: float) -> None:
        """Set the next retry of a job that fails on every machine, with exponential backoff."""
        if now >= job_state.retry_at:
            doublings = min(job_state.failing_attempts, MAX_BACKOFF_DOUBLINGS)
            job_state.retry_at = now + min(
                MAX_JOB_BACKOFF_S, INITIAL_JOB_BACKOFF_S * 2.0**doublings
            )
            job_state.failing_attempts += 1
            heapq.heappush(self.store.timers, (job_state.retry_at, job_state.id))


def task_backoff_s(failures: int) -> float:
    """Return the backoff in seconds before a task is retried; 0 after its first failure."""
    if failures < 2:
        return 0.0
    doublings = min(failures - 2, MAX_BACKOFF_DOUBLINGS)
    return min(MAX_TASK_BACKOFF_S, INITIAL_TASK_BACKOFF_S * 2.0**doublings)
