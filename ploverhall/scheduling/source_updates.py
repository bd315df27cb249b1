"""Collects a source's updates for the shard owners, and the task counts shown to users.

Each call returns only what has changed since the previous one. The scheduling loop fetches the
updates through `JobSource`.
"""

from __future__ import annotations

from typing import Any

from ploverhall.protocol import peer_messages
from ploverhall.protocol.peer_messages import CandidateUpdate, JobUpdate
from ploverhall.scheduling.allocations import AllocationStore
from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.quota import TeamQuotas


class SourceUpdates:
    """The changed jobs, candidates and permits of one source."""

    def __init__(self, store: AllocationStore, quotas: TeamQuotas) -> None:
        self.store = store
        self.quotas = quotas

    def take_owner_updates(self, shard_count: int, now: float) -> dict[tuple[int, str], Any]:
        """Return the updates for the shard owners since the last call.

        Maps (shard, key on the state channel) to the new value; None deletes the key.
        """
        updates: dict[tuple[int, str], Any] = dict(self.store.permit_updates)
        self.store.permit_updates.clear()
        for job_id in sorted(self.store.changed_jobs):
            self.store.visit_count += 1
            job_state = self.store.jobs.get(job_id)
            if job_state is None:
                for shard in range(shard_count):
                    updates[shard, peer_messages.job_key(job_id)] = None
                    updates[shard, peer_messages.candidate_key(job_id)] = None
                for waiting in self.store.waiting_jobs.values():
                    waiting.pop(job_id, None)
                continue
            if job_state.waiting_count() > 0:
                self.store.waiting_jobs[job_state.team][job_id] = job_state
            else:
                self.store.waiting_jobs[job_state.team].pop(job_id, None)
            self._add_job_updates(updates, job_state, shard_count, now)
        self.store.changed_jobs.clear()
        return updates

    def _add_job_updates(
        self,
        updates: dict[tuple[int, str], Any],
        job_state: JobState,
        shard_count: int,
        now: float,
    ) -> None:
        """Add the updates of a job, and of its number of candidate tasks, for every shard."""
        job_update = JobUpdate(
            job_state.job.record() if job_state.job is not None else None,
            list(job_state.resources),
            int(job_state.within_guarantee),
            int(job_state.failing_everywhere),
        )
        count = self.quotas.candidate_count(job_state, now)
        zone_limits = (
            self.quotas.zone_limits(job_state) if count or job_state.uncommitted_per_shard else None
        )
        job_key = peer_messages.job_key(job_state.id)
        candidate_key = peer_messages.candidate_key(job_state.id)
        for shard in range(shard_count):
            # Permits that are being written still need their reservations: if they were not
            # counted, shard owners would release the reservations and then refuse the permits
            waiting_tasks = count + job_state.uncommitted_per_shard.get(shard, 0)
            updates[shard, job_key] = job_update
            updates[shard, candidate_key] = (
                CandidateUpdate(
                    waiting_tasks,
                    list(self.store.queue_order(job_state)),
                    zone_limits,
                    sorted(job_state.failed_on),
                )
                if waiting_tasks and job_state.job is not None
                else None
            )

    def take_task_counts(self) -> dict[str, list[int] | None]:
        """Return the changed counts [done, running] by job since the last call; None: job ended."""
        changed, self.store.jobs_with_changed_counts = self.store.jobs_with_changed_counts, set()
        return {
            job_id: [job_state.done_count, job_state.running_count]
            if (job_state := self.store.jobs.get(job_id)) is not None and job_state.job
            else None
            for job_id in sorted(changed)
        }

    def task_counts(self, job_id: str) -> tuple[int, int]:
        """Return a job's counts of done and running tasks; zeros for an unknown job."""
        job_state = self.store.jobs.get(job_id)
        return (job_state.done_count, job_state.running_count) if job_state is not None else (0, 0)
