"""Handles the states of attempts that shard owners send: results, failures and evictions.

`JobSource` calls it for each update of an attempt that still has an allocation.
"""

from __future__ import annotations

import heapq

from ploverhall.protocol.peer_messages import NOTICE_EVICTION_REQUESTED, AttemptUpdate
from ploverhall.scheduling.allocations import AllocationStore
from ploverhall.scheduling.eviction_grants import EvictionGrants
from ploverhall.scheduling.failure_attribution import FAILURE_REASONS, JobFailureTracker
from ploverhall.scheduling.job_history import FailedAttempt
from ploverhall.scheduling.job_state import (
    HEALTHY_RUN_S,
    JobState,
    min_worthwhile_checkpoint_s,
    save_grace_s,
)
from ploverhall.scheduling.record_chunks import Allocation

# Values of `AttemptUpdate.notice`
NOTICE_MACHINE_TERMINATION = 1
NOTICE_PREEMPTION = 2

STATE_RUNNING = "running"
STATE_EXITED = "exited"
FINISHED_STATES = (STATE_EXITED, "gone")
REASON_DONE = "done"

HEALTH_CHECK_MARGIN_S = 0.1  # beyond `HEALTHY_RUN_S`, so that the check finds the job healthy
WAIT_AVERAGE_WEIGHT = 0.2  # weight of the newest job in the average of its class
DURATION_AVERAGE_WEIGHT = 0.1  # weight of the newest task in the average of its job


class AttemptUpdates:
    """Applies the reported states of attempts to their jobs and allocations."""

    def __init__(
        self, store: AllocationStore, failures: JobFailureTracker, grants: EvictionGrants
    ) -> None:
        self.store = store
        self.failures = failures
        self.grants = grants

    def update(
        self, job_state: JobState, allocation: Allocation, update: AttemptUpdate, now: float
    ) -> None:
        """Apply the state of an attempt that its shard owner reports; ignore it if nothing changed.

        An attempt that has finished keeps its state.
        """
        state = update.state
        if allocation.finished or (
            state == allocation.state
            and update.reason == allocation.reason
            and update.notice == allocation.notice
        ):
            return
        self.store.log_debug(
            "task",
            job=allocation.job_id,
            task=allocation.task,
            attempt=allocation.attempt,
            machine=allocation.machine,
            state=state,
            reason=update.reason or "-",
        )
        job_state.running_count -= allocation.running
        if NOTICE_EVICTION_REQUESTED in (update.notice, allocation.notice):
            self.grants.request_eviction(
                allocation, update.notice == NOTICE_EVICTION_REQUESTED, now
            )
        allocation.state = state
        allocation.reason = update.reason
        allocation.notice = update.notice
        allocation.finished = state in FINISHED_STATES
        job_state.running_count += allocation.running
        if state == STATE_RUNNING and allocation.running_since is None:
            allocation.running_since = now
            self._on_attempt_running(job_state, now)
        self.store.jobs_with_changed_counts.add(job_state.id)
        if allocation.finished:
            self._on_attempt_finished(job_state, allocation, bool(update.machine_suspect), now)
        elif job_state.job is not None and update.notice in (
            NOTICE_MACHINE_TERMINATION,
            NOTICE_PREEMPTION,
        ):
            self._evict(job_state, allocation, update.notice)

    def _on_attempt_running(self, job_state: JobState, now: float) -> None:
        """Update a job when one of its attempts is first reported as running."""
        job = job_state.job
        all_running = job_state.running_count == job_state.task_count
        if not job_state.started and (job is None or job.kind != "gang" or all_running):
            job_state.started = True
            self.store.changed_jobs.add(job_state.id)
        if job is not None and all_running and job.kind != "array" and not job_state.all_tasks_ran:
            job_state.all_tasks_ran = True
            typical_s = self.store.typical_wait_s.get(job.job_class)
            self.store.typical_wait_s[job.job_class] = moving_average(
                typical_s, now - job_state.arrived_at, WAIT_AVERAGE_WEIGHT
            )
        if job_state.failing_everywhere:
            heapq.heappush(
                self.store.timers, (now + HEALTHY_RUN_S + HEALTH_CHECK_MARGIN_S, job_state.id)
            )

    def _on_attempt_finished(
        self, job_state: JobState, allocation: Allocation, machine_suspect: bool, now: float
    ) -> None:
        """Record the outcome of a finished attempt: done, failed or stopped."""
        job = job_state.job
        reason = allocation.reason
        exited = allocation.state == STATE_EXITED
        job_state.waiting_since = now
        self.store.dirty_chunks.setdefault(allocation.chunk, False)
        if job is None:
            return
        if reason != REASON_DONE:
            self.store.failed_attempts.append(
                FailedAttempt(
                    now,
                    allocation.job_id,
                    allocation.task,
                    allocation.machine,
                    reason or allocation.state,
                )
            )
        if exited and reason == REASON_DONE and job.kind != "service":
            if job.kind == "gang":
                self.store.mark_complete(job_state)  # a gang completes as a whole
            else:
                self._on_task_done(job_state, allocation, now)
            self.store.teams_with_stale_guarantees.add(job_state.team)
            return
        if exited and reason in FAILURE_REASONS:
            self.failures.record_failure(job_state, allocation, reason, machine_suspect, now)
        if job.kind == "gang":
            self._stop_gang(job_state, 0.0)  # it is restarted as a whole

    def _on_task_done(self, job_state: JobState, allocation: Allocation, now: float) -> None:
        job_state.mark_done(allocation.task)
        if allocation.running_since is not None:
            job_state.task_duration_s = moving_average(
                job_state.task_duration_s, now - allocation.running_since, DURATION_AVERAGE_WEIGHT
            )
        if job_state.failing_everywhere:
            self.failures.set_failing_everywhere(job_state, False, now)
        if job_state.done_count == job_state.task_count:
            self.store.mark_complete(job_state)

    def _stop_gang(self, job_state: JobState, grace_s: float) -> None:
        """Stop the attempts of a gang that are not stopping yet; each may save for `grace_s`."""
        for allocation in job_state.allocations.values():
            if not allocation.finished and allocation.stop_grace_s is None:
                self.store.request_stop(allocation, grace_s)

    def _evict(self, job_state: JobState, allocation: Allocation, notice: int) -> None:
        """Stop an attempt that is preempted or whose machine is being terminated.

        It gets time to save if its job makes checkpoints; a preempted attempt only if saving is
        worthwhile. All attempts of a gang are stopped together. If the machine is being terminated,
        an array task that can't save is not stopped.
        """
        job = job_state.job
        assert job is not None
        terminated = notice == NOTICE_MACHINE_TERMINATION
        grace_s = save_grace_s(job, 0.0 if terminated else min_worthwhile_checkpoint_s(job))
        if job.kind == "gang":
            self._stop_gang(job_state, grace_s)
        elif allocation.stop_grace_s is None and (
            notice == NOTICE_PREEMPTION or grace_s > 0 or job.kind == "service"
        ):
            self.store.request_stop(allocation, grace_s)


def moving_average(average: float | None, value: float, weight: float) -> float:
    """Return the average updated with `value`; `value` itself if there is no average yet."""
    return value if average is None else (1.0 - weight) * average + weight * value
