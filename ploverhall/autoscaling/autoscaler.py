"""The autoscaler: one role for the whole fleet, held by a lease.

It rents machines for waiting and expected tasks, and returns machines that are not needed. The
autoscaling loop passes in the sources' demand, the shard owners' machines and the cloud's list, and
carries out what `plan` returns. No I/O.
"""

from __future__ import annotations

from ploverhall.autoscaling.fleet_state import ScalingPlan
from ploverhall.autoscaling.machine_maintenance import MaintenancePlanning
from ploverhall.autoscaling.scale_in import ScaleIn


class Autoscaler(ScaleIn, MaintenancePlanning):
    """Decides what to rent, what to drain and what to return."""

    def plan(self, now: float, wall_time: float) -> ScalingPlan:
        """Return what to rent and what to return now, and mark the machines to be drained.

        Nothing is rented before the cloud's list and its machine types are known.
        """
        plan = ScalingPlan()
        self.wall_time = wall_time
        self.now = now
        self._plan_scale_in(now, plan)
        if self.list_count and self.machine_types:
            self._plan_scale_out(now, plan)
            self._advance_maintenance(plan)
        return plan
