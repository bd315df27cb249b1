"""Tracks the demand for machines: waiting tasks, their urgency, and a forecast of new tasks.

The sources send the waiting tasks; the controller reports the accepted jobs. No I/O.
"""

from __future__ import annotations

import math
from typing import Any

from ploverhall.autoscaling.boot_tracking import BootTracking
from ploverhall.autoscaling.fleet_state import Demand
from ploverhall.protocol.jobs import Job, from_record
from ploverhall.protocol.peer_messages import DemandUpdate
from ploverhall.scheduling.resources import fits

MAX_ARRIVALS = 500  # most recently accepted jobs that are kept for the forecast
ARRIVAL_SLOT_S = 15.0  # arrivals are counted in slots of this length
FORECAST_S = 300.0  # the forecast uses the arrivals of this period
MIN_FORECAST_SPAN_S = 60.0  # shortest period that the arrival rate is averaged over
MAX_TASKS_PER_ARRIVAL = 50  # further tasks of one job say nothing about the arrival rate
ARRIVAL_MARGIN_S = 20.0  # added to a machine's boot time
ESTIMATE_MARGIN = 1.3  # factor on a task's estimated run time when compared with the deadline
DEADLINE_MARGIN_S = 60.0
MAX_SPOT_WAIT_S = 120.0  # longest wait for a spot machine of a job without a deadline


class DemandForecast(BootTracking):
    """Keeps the waiting tasks and forecasts the tasks that will arrive."""

    def on_source_update(self, source_shard: int, full: bool, changes: dict[str, Any]) -> None:
        """Apply a source's update of its waiting tasks by job.

        A value of None removes a job. With `full`, `changes` holds all of the source's jobs, and
        any other job of that source is removed.
        """
        if full:
            for key in [
                key for key in self.demand if key[0] == source_shard and key[1] not in changes
            ]:
                del self.demand[key]
        for job_id, value in changes.items():
            key = (source_shard, job_id)
            if value is None:
                self.demand.pop(key, None)
                continue
            update = DemandUpdate(*value)
            known = self.demand.get(key)
            job = known.job if known is not None else from_record(update.record)
            self.demand[key] = Demand(
                job, update.waiting_tasks, update.zone_limits, tuple(update.queue_order)
            )

    def on_job(self, job: Job, now: float) -> None:
        """Record an accepted job for the forecast."""
        self.arrivals[job.id] = (now, job)
        while len(self.arrivals) > MAX_ARRIVALS:
            del self.arrivals[next(iter(self.arrivals))]

    def _demand_by_priority(self) -> list[Demand]:
        """Return the waiting tasks of all jobs in queue order, the most important job first."""
        return sorted(self.demand.values(), key=lambda demand: demand.queue_order)

    def _starts_before_boot(self, job: Job) -> bool:
        """Return whether a job's objective is to start sooner than any machine type boots."""
        start_s = self.objectives.for_job(job).start_s
        return start_s is not None and start_s < min(
            (machine_type.boot_s for machine_type in self.machine_types.values()), default=0.0
        )

    def _cannot_wait_for_spot(self, job: Job) -> bool:
        """Return whether waiting for a spot machine would break a job's deadline or objective."""
        if job.deadline_s is None:
            # The demand of an array job with an objective holds only the tasks that must run now
            return (
                self._starts_before_boot(job)
                or self.objectives.for_job(job).finish_s is not None
                or self.wall_time - job.submitted_at > MAX_SPOT_WAIT_S
            )
        return (
            self.wall_time + ESTIMATE_MARGIN * job.estimate_s + DEADLINE_MARGIN_S
            > job.submitted_at + job.deadline_s
        )

    def _forecast(self, now: float) -> list[tuple[Job, int]]:
        """Return the expected tasks to keep capacity free for, as (job, task count) by class.

        The job is the one with the largest tasks of its class. The count is the number of tasks
        that usually arrive while a machine boots. Classes whose jobs can wait for a spot machine
        are left out.
        """
        since = max(self.started, now - FORECAST_S)
        span_s = max(MIN_FORECAST_SPAN_S, now - since)
        largest: dict[str, Job] = {}
        tasks_per_slot: dict[str, dict[int, int]] = {}
        for received_at, job in self.arrivals.values():
            if received_at < since or (job.spot and not self._starts_before_boot(job)):
                continue
            job_class = job.job_class
            if job_class not in largest or job.resources > largest[job_class].resources:
                largest[job_class] = job
            slots = tasks_per_slot.setdefault(job_class, {})
            slot = int(received_at / ARRIVAL_SLOT_S)
            slots[slot] = slots.get(slot, 0) + min(job.task_count, MAX_TASKS_PER_ARRIVAL)
        forecast = []
        for job_class, job in largest.items():
            # The busiest slot is left out: jobs that are all submitted at the start are a burst and
            # not an arrival rate, and would make the autoscaler rent machines for the whole burst
            # a second time
            task_counts = tasks_per_slot[job_class].values()
            count = sum(task_counts) - max(task_counts)
            mean = count / span_s * (self._fastest_boot_s(job, now) + ARRIVAL_MARGIN_S)
            forecast.append((job, max(1, math.ceil(mean + self.headroom * math.sqrt(mean)))))
        return sorted(forecast, key=lambda expected: -max(expected[0].resources))

    def _fastest_boot_s(self, job: Job, now: float) -> float:
        """Return the shortest boot time in seconds of a machine that fits one of the job's tasks.

        0 means that no machine type fits.
        """
        return min(
            (
                self._boot_time_s((machine_type.name, zone), now)
                for machine_type in self.machine_types.values()
                if fits(job.resources, machine_type.resources)
                for zone in machine_type.zones
            ),
            default=0.0,
        )
