"""Computes for which waiting tasks of one shard's teams the autoscaler should add machines."""

from __future__ import annotations

from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import DemandUpdate
from ploverhall.scheduling.allocations import AllocationStore
from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.quota import UNLIMITED, TeamQuotas
from ploverhall.scheduling.resources import EPSILON, fits, max_count

DEFAULT_READY_S = 60.0  # time to boot and fetch the image if no known machine type fits
# Safety factors on expected boot, fetch and task times
BOOT_TIME_MARGIN = 1.5
FETCH_TIME_MARGIN = 2.0
TASK_TIME_MARGIN = 1.2
MIN_FETCH_GB_S = 0.01
RETRY_SOON_S = 5  # a job in backoff counts as waiting if it is retried within this time


class UnmetDemand:
    """The waiting tasks that fit within their teams' limits."""

    def __init__(self, store: AllocationStore, quotas: TeamQuotas) -> None:
        self.store = store
        self.quotas = quotas
        self.machine_types: dict[str, MachineType] = {}  # by name, as the cloud offers them

    def demand(self, now: float, wall_time: float) -> dict[str, DemandUpdate]:
        """Return the waiting tasks, by job, for which the autoscaler should provide machines.

        Tasks beyond the team's limit are left out, and so are gangs of which not all tasks fit.
        """
        demand: dict[str, DemandUpdate] = {}
        unused: dict[str, tuple[float, float]] = {}  # cpus and gpus within the team's limit
        for name, team in self.store.teams.items():
            used_cpus, used_gpus, _ = self.store.used[name]
            unused[name] = (
                team.max_cpus - used_cpus if team.max_cpus > 0 else UNLIMITED,
                team.max_gpus - used_gpus if team.max_gpus > 0 else UNLIMITED,
            )
        waiting = (
            job_state
            for team_jobs in self.store.waiting_jobs.values()
            for job_state in team_jobs.values()
            if job_state.job is not None
        )
        for job_state in sorted(waiting, key=self.store.queue_order):
            cpus, gpus = unused[job_state.team]
            count = self._waiting_within(job_state, cpus, gpus, now)
            if count > 0 and job_state.job is not None:
                task_cpus, task_gpus, _ = job_state.resources
                unused[job_state.team] = (cpus - count * task_cpus, gpus - count * task_gpus)
                demand[job_state.id] = DemandUpdate(
                    job_state.job.record(),
                    self._concurrent_tasks_needed(job_state, count, wall_time),
                    self.quotas.zone_limits(job_state),
                    list(self.store.queue_order(job_state)),
                )
        return demand

    def _waiting_within(self, job_state: JobState, cpus: float, gpus: float, now: float) -> int:
        """Return how many of a job's waiting tasks fit within the rest of the team's limit."""
        if job_state.failing_everywhere or job_state.retry_at > now + RETRY_SOON_S:
            return 0
        task_cpus, task_gpus, _ = job_state.resources
        count = min(
            job_state.waiting_count(),
            max_count(task_cpus, max(0.0, cpus) + EPSILON * task_cpus),
            max_count(task_gpus, max(0.0, gpus) + EPSILON * task_gpus),
        )
        is_gang = job_state.job is not None and job_state.job.kind == "gang"
        return 0 if is_gang and count < job_state.task_count else count

    def _concurrent_tasks_needed(self, job_state: JobState, waiting: int, wall_time: float) -> int:
        """Return how many waiting tasks must start now for the job to meet its objective.

        Each slot runs tasks of an array one after another. A slot for every task would cost a
        machine boot for each short task; no slots until the job is late would miss most objectives.
        """
        job = job_state.job
        assert job is not None
        if job.kind != "array" or (finish_s := self.store.objectives.for_job(job).finish_s) is None:
            return waiting
        duration_s = TASK_TIME_MARGIN * max(
            1.0, job.estimate_s if job_state.task_duration_s is None else job_state.task_duration_s
        )
        time_left_s = job.submitted_at + finish_s - wall_time - self._time_to_ready_s(job)
        rounds = int(time_left_s / duration_s)
        if rounds <= 1:
            return waiting
        active = sum(1 for allocation in job_state.allocations.values() if not allocation.finished)
        slots = -(-(waiting + active) // rounds)  # division rounded up
        return max(0, min(waiting, slots - active))

    def _time_to_ready_s(self, job: Job) -> float:
        """Return the seconds in which the fastest suitable machine boots and fetches the image."""
        return min(
            (
                BOOT_TIME_MARGIN * machine_type.boot_s
                + FETCH_TIME_MARGIN * job.image_gb / max(machine_type.fetch_gb_s, MIN_FETCH_GB_S)
                for machine_type in self.machine_types.values()
                if fits(job.resources, machine_type.resources)
            ),
            default=DEFAULT_READY_S,
        )
