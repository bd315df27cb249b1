"""The autoscaler, a role that one controller at a time holds for the whole fleet by a lease.

The autoscaler rents machines for waiting and expected tasks, and returns machines that are not
needed. The autoscaling loop passes in the waiting tasks from the sources, the machines from the
shard owners and the cloud's list of machines, and carries out the plan that `Autoscaler.plan`
returns. No I/O.
"""

from __future__ import annotations

from ploverhall.autoscaling.fleet_state import ScalingPlan
from ploverhall.autoscaling.machine_maintenance import MaintenancePlanning
from ploverhall.autoscaling.scale_in import ScaleIn


class Autoscaler(ScaleIn, MaintenancePlanning):
    """Decides which machines to rent, to drain and to return."""

    def plan(self, now: float, wall_time: float) -> ScalingPlan:
        """Return the machines to rent and to return now, and mark machines to be drained.

        Nothing is rented before a complete list of the cloud's machines and the cloud's machine
        types are known. `now` is in seconds by the controller's monotonic clock, `wall_time` in
        seconds since the epoch.
        """
        plan = ScalingPlan()
        self.wall_time = wall_time
        self.now = now
        self._plan_scale_in(now, plan)
        if self.list_count and self.machine_types:
            self._plan_scale_out(now, plan)
            self._advance_maintenance(plan)
        return plan
