"""Decides whether a failed attempt is the fault of its machine, of its task, or of the whole job.

A failed task is retried after a backoff while the job's other tasks go on. A job that fails on
several machines, with no healthy task, is taken to be at fault itself: it is retried rarely, and
its failures count against no machine. `AttemptUpdates` calls this for each failed attempt.
"""

from __future__ import annotations

import heapq

from ploverhall.scheduling.allocations import AllocationStore
from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.record_chunks import Allocation

# Exit reasons of an attempt that failed; all others are stops
FAILURE_REASONS = ("error", "unknown", "no_room", "in_use")
REASON_ERROR = "error"
REASON_UNKNOWN = "unknown"
AVOID_MACHINE_S = 120.0  # how long a job avoids a machine on which it failed
MIN_FAILED_MACHINES = 2  # failures on this many machines are the job's own fault
# First and longest pause between two retries of a job that fails everywhere
INITIAL_JOB_BACKOFF_S = 5.0
MAX_JOB_BACKOFF_S = 90.0
# The same for one failing task of a job that works otherwise
INITIAL_TASK_BACKOFF_S = 1.0
MAX_TASK_BACKOFF_S = 60.0
UNKNOWN_FAILURE_BACKOFF_S = 1.0
MACHINE_FAILURE_BACKOFF_S = 0.3  # the machine could not take the task
MAX_BACKOFF_DOUBLINGS = 10
ATTEMPT_STATES_BEFORE_RUNNING = ("permitted", "fetching")


class FailureAttribution:
    """Failure counts and backoff of the jobs of one shard's teams."""

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
        """Count a failed attempt, and set when its task, or a gang as a whole, may be retried.

        `machine_suspect` says that the machine fails for other jobs as well.
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
        """Attribute an exit with an error; return the task's backoff in seconds."""
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
        """Record that a job is at fault itself, or that it has shown that it works."""
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
        self.store.teams_to_reorder.add(job_state.team)
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
        """Set the next retry of a job that fails everywhere, later each time."""
        if now >= job_state.retry_at:
            doublings = min(job_state.failing_attempts, MAX_BACKOFF_DOUBLINGS)
            job_state.retry_at = now + min(
                MAX_JOB_BACKOFF_S, INITIAL_JOB_BACKOFF_S * 2.0**doublings
            )
            job_state.failing_attempts += 1
            heapq.heappush(self.store.timers, (job_state.retry_at, job_state.id))


def task_backoff_s(failures: int) -> float:
    """Return the pause in seconds before a task's retry; the first failure is retried at once."""
    if failures < 2:
        return 0.0
    doublings = min(failures - 2, MAX_BACKOFF_DOUBLINGS)
    return min(MAX_TASK_BACKOFF_S, INITIAL_TASK_BACKOFF_S * 2.0**doublings)
