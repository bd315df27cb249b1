"""Limits and guarantees of teams: how many tasks of a job may be permitted now, and where.

A team's limit bounds the total resources that its jobs use; within the limit, replicas of services
have precedence over arrays. A team's guarantee puts its oldest jobs ahead of other teams' jobs.
`JobSource` calls this before it permits tasks.
"""

from __future__ import annotations

from ploverhall.scheduling.allocations import AllocationStore
from ploverhall.scheduling.job_state import (
    JobState,
    min_worthwhile_checkpoint_s,
    save_grace_s,
)
from ploverhall.scheduling.record_chunks import Allocation
from ploverhall.scheduling.resources import (
    EPSILON,
    NO_RESOURCES,
    UNBOUNDED,
    ResourceVector,
    add_scaled,
    max_count,
)
from ploverhall.settings import Team

UNLIMITED = 1e18  # limit of a resource for which the team has none
# Candidates and unwritten permits that a job may have at a time. The rest of a large job waits for
# the store's writes; its offers would expire before
MAX_CANDIDATES_PER_JOB = 512


class TeamQuotas:
    """Applies limits, guarantees and zone limits to the jobs of one shard's teams."""

    def __init__(self, store: AllocationStore, zones: tuple[str, ...]) -> None:
        self.store = store
        self.zones = zones

    def quota_headroom(self, job_state: JobState) -> int:
        """Return how many more tasks of a job its team's limit allows.

        Only services may use the part of the limit that is reserved for services.
        """
        team = self.store.teams[job_state.team]
        used = self.store.used[job_state.team]
        if job_state.job is not None and job_state.job.kind != "service":
            used = add_scaled(
                used, self.store.reserved_for_services.get(job_state.team, NO_RESOURCES)
            )
        used_cpus, used_gpus, _ = used
        needed_cpus, needed_gpus, _ = job_state.resources
        count = UNBOUNDED
        for limit, used_amount, needed in (
            (team.max_cpus, used_cpus, needed_cpus),
            (team.max_gpus, used_gpus, needed_gpus),
        ):
            if limit > 0:
                count = min(count, max_count(needed, limit - used_amount + EPSILON))
        return count

    def zone_limits(self, job_state: JobState) -> dict[str, int] | None:
        """Return how many more tasks of a job each zone may run; None if zones are not limited."""
        job = job_state.job
        if job is None or not (job.spread_zones or job.single_zone or job.zone):
            return None
        occupied_zones = job_state.allocations_per_zone
        limits = {}
        for zone in self.zones:
            count = (
                job.max_tasks_per_zone - occupied_zones.get(zone, 0)
                if job.spread_zones
                else job.task_count
            )
            if (job.single_zone and occupied_zones and zone not in occupied_zones) or (
                job.zone and zone != job.zone
            ):
                count = 0
            limits[zone] = max(0, count)
        return limits

    def candidate_count(self, job_state: JobState, now: float) -> int:
        """Return how many tasks of a job may be permitted now and therefore need offers."""
        job = job_state.job
        if job is None or job_state.blocked or job_state.complete or now < job_state.retry_at:
            return 0
        tasks_in_backoff = sum(
            1 for task in job_state.task_retry_at if task not in job_state.allocations
        )
        count = min(
            job_state.waiting_count() - tasks_in_backoff,
            self.quota_headroom(job_state),
        )
        if job_state.overdue and not job_state.started and job.kind == "array":
            count = min(count, 1)  # only the first task goes ahead of other jobs
        if job_state.failing_everywhere and job.kind != "gang":
            count = min(count, 0 if job_state.allocations else 1)
        if job.kind == "gang":
            # All tasks or none, and only once no task of an earlier attempt is left
            return 0 if job_state.allocations or count < job_state.task_count else count
        return max(0, min(count, MAX_CANDIDATES_PER_JOB - job_state.uncommitted_count))

    # -- guarantees --------------------------------------------------------------------------

    def update_guarantees(self) -> None:
        """Determine, for teams with changes, which of their jobs are within the guarantee."""
        for team_name in sorted(self.store.teams_with_stale_guarantees):
            within = self._jobs_that_fit_guarantee(self.store.teams[team_name])
            for job_id in sorted(within ^ self.store.jobs_within_guarantee[team_name]):
                if (job_state := self.store.jobs.get(job_id)) is not None:
                    job_state.within_guarantee = job_id in within
                    self.store.changed_jobs.add(job_id)
            self.store.jobs_within_guarantee[team_name] = within
        self.store.teams_with_stale_guarantees.clear()

    def _jobs_that_fit_guarantee(self, team: Team) -> set[str]:
        """Return the oldest unfinished jobs of a team that fit within its guarantee together."""
        within: set[str] = set()
        if team.guaranteed_cpus <= 0 and team.guaranteed_gpus <= 0:
            return within
        total = NO_RESOURCES
        for _, job_id in self.store.jobs_by_age[team.name]:
            job_state = self.store.jobs[job_id]
            self.store.visit_count += 1
            if job_state.failing_everywhere:
                continue  # otherwise a faulty job would use up the guarantee of the others
            unfinished = job_state.task_count - job_state.done_count
            total = add_scaled(total, job_state.resources, unfinished)
            cpus, gpus, _ = total
            exceeds_cpus = team.guaranteed_cpus > 0 and cpus > team.guaranteed_cpus + EPSILON
            exceeds_gpus = team.guaranteed_gpus > 0 and gpus > team.guaranteed_gpus + EPSILON
            if exceeds_cpus or exceeds_gpus:
                break  # all later jobs exceed the guarantee too
            within.add(job_id)
        return within

    # -- services within a limit -------------------------------------------------------------

    def free_quota_for_services(self, now: float) -> None:
        """Stop array tasks where replicas wait for their team's limit, least lost work first.

        The freed part of the limit is reserved for the replicas. Otherwise a replica would wait for
        as long as an array of its team that arrived a moment earlier uses the rest of the limit.
        """
        for team_name, team in self.store.teams.items():
            reserved_before = self.store.reserved_for_services.pop(team_name, NO_RESOURCES)
            if team.max_cpus <= 0 and team.max_gpus <= 0:
                continue
            needed = self._resources_of_waiting_replicas(team_name, now)
            if needed == NO_RESOURCES:
                if reserved_before != NO_RESOURCES:
                    self.store.teams_with_changed_usage.add(team_name)
                continue
            used = add_scaled(self.store.used[team_name], needed)
            limit = (team.max_cpus or UNLIMITED, team.max_gpus or UNLIMITED, UNLIMITED)
            if within_limit(used, limit):
                continue
            self.store.reserved_for_services[team_name] = needed
            self._stop_array_tasks(team_name, used, limit, now)

    def _resources_of_waiting_replicas(self, team_name: str, now: float) -> ResourceVector:
        needed = NO_RESOURCES
        for job_state in self.store.waiting_jobs[team_name].values():
            if (
                job_state.job is not None
                and job_state.job.kind == "service"
                and not job_state.failing_everywhere
                and not job_state.blocked
                and job_state.retry_at <= now
            ):
                needed = add_scaled(needed, job_state.resources, job_state.waiting_count())
        return needed

    def _stop_array_tasks(
        self, team_name: str, used: ResourceVector, limit: ResourceVector, now: float
    ) -> None:
        """Stop tasks of a team's arrays until `used`, less what they use, is within the limit."""
        stopping, candidates = self._stoppable_array_tasks(team_name, now)
        for _, _, allocation, job_state in sorted(candidates, key=lambda task: task[:2]):
            if within_limit(add_scaled(used, stopping, -1), limit):
                break
            job = job_state.job
            assert job is not None
            self.store.request_stop(allocation, save_grace_s(job, min_worthwhile_checkpoint_s(job)))
            stopping = add_scaled(stopping, job_state.resources)

    def _stoppable_array_tasks(
        self, team_name: str, now: float
    ) -> tuple[ResourceVector, list[tuple[float, int, Allocation, JobState]]]:
        """Return the resources of a team's stopping array tasks, and the tasks that may be stopped.

        Each task that may be stopped is given as (seconds run, task, allocation, job).
        """
        stopping = NO_RESOURCES
        candidates: list[tuple[float, int, Allocation, JobState]] = []
        for job_state in self.store.jobs.values():
            job = job_state.job
            if job_state.team != team_name or job is None or job.kind != "array":
                continue
            for allocation in job_state.allocations.values():
                self.store.visit_count += 1
                if allocation.finished or not allocation.committed:
                    continue
                if allocation.stop_grace_s is not None:
                    stopping = add_scaled(stopping, job_state.resources)
                elif job.priority > 0:
                    since = allocation.running_since
                    ran_s = now - since if since is not None else 0.0
                    candidates.append((ran_s, allocation.task, allocation, job_state))
        return stopping, candidates


def within_limit(used: ResourceVector, limit: ResourceVector) -> bool:
    """Return whether no resource exceeds its limit."""
    return all(amount <= maximum + EPSILON for amount, maximum in zip(used, limit, strict=True))
