"""Scale-in: plans which unneeded machines to drain and which machines to return to the cloud.

No I/O.
"""

from __future__ import annotations

from ploverhall.autoscaling.boot_tracking import DEFAULT_BOOT_S
from ploverhall.autoscaling.fleet_state import (
    CLOUD_BOOTING,
    CLOUD_FAILED,
    CLOUD_RUNNING,
    DRAINING_BY_ORDER,
    DRAINING_UNTIL_DELETED,
    RentedMachine,
    ScalingPlan,
)
from ploverhall.autoscaling.scale_out import ScaleOut
from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.machines import MachinePool

# A running machine without heartbeats is returned after this time plus two shard leases
UNRESPONSIVE_S = 60.0
# The time after which it is returned if most machines of its zone are unresponsive, too
ZONE_UNRESPONSIVE_S = 300.0
MIN_ZONE_SAMPLE = 4  # with fewer running machines, nothing is concluded about their zone
MIN_RENTAL_S = 60.0  # a machine is not drained as unneeded within this time of its rental


class ScaleIn(ScaleOut):
    """Plans which machines to drain and to return."""

    def _plan_scale_in(self, now: float, plan: ScalingPlan) -> None:
        """Add the machines to return to the plan, and mark the machines to be drained."""
        unresponsive_zones = self._unresponsive_zones()
        for machine in self.machines.values():
            if self._should_return(machine, unresponsive_zones, now):
                plan.scale_in.append(machine.name)
            elif machine.update is not None and machine.update.faulty:
                machine.draining = True
        self._drain_unneeded(now)

    def _unresponsive_zones(self) -> set[str]:
        """Return the zones where most running machines send no heartbeats.

        In such a zone the network has failed, not the machines. Without this check, a partition
        would make the autoscaler return a whole zone with all tasks that run in it. Machines that
        have really failed are soon marked as failed in the cloud's list.
        """
        running: dict[str, int] = {}
        responsive: dict[str, int] = {}
        for machine in self.machines.values():
            if machine.cloud_state == CLOUD_RUNNING and not machine.returning:
                zone = machine.pool[1]
                running[zone] = running.get(zone, 0) + 1
                if machine.update is not None:
                    responsive[zone] = responsive.get(zone, 0) + 1
        return {
            zone
            for zone, count in running.items()
            if count >= MIN_ZONE_SAMPLE and 2 * responsive.get(zone, 0) < count
        }

    def _should_return(
        self, machine: RentedMachine, unresponsive_zones: set[str], now: float
    ) -> bool:
        """Return whether a machine is to be returned to the cloud.

        It is returned if it has failed, never came up, is unresponsive, or is drained and idle.
        """
        update = machine.update
        if machine.returning or machine.cloud_state == CLOUD_FAILED:
            return True
        if update is not None:
            return bool(update.idle) and (
                update.draining == DRAINING_UNTIL_DELETED
                or (update.draining == DRAINING_BY_ORDER and machine.order_id is not None)
            )
        if machine.cloud_state == CLOUD_BOOTING:
            # A booting machine is charged for until it is deleted
            machine_type = self.machine_types.get(machine.pool[0])
            nominal_s = machine_type.boot_s if machine_type else DEFAULT_BOOT_S
            return machine.age_s > self._boot_timeout_s(machine, nominal_s, now)
        return machine.cloud_state == CLOUD_RUNNING and self._is_unresponsive(
            machine, unresponsive_zones, now
        )

    def _is_unresponsive(
        self, machine: RentedMachine, unresponsive_zones: set[str], now: float
    ) -> bool:
        """Return whether a running machine has sent no heartbeats for too long."""
        silent_s = now - max(machine.rented_at, machine.updated_at)
        observed_s = now - self.started
        if silent_s <= UNRESPONSIVE_S + 2 * self.lease_s or observed_s <= UNRESPONSIVE_S:
            return False
        return (
            machine.pool[1] not in unresponsive_zones
            or min(silent_s, observed_s) > ZONE_UNRESPONSIVE_S
        )

    def _drain_unneeded(self, now: float) -> None:
        """Mark unneeded machines for draining.

        Unneeded machines are idle, or are on-demand machines that run only tasks which spot
        machines could run. Spot machines are drained at once, others only as far as neither
        waiting nor expected tasks need them.
        """
        has_urgent_demand = any(
            self._cannot_wait_for_spot(demand.job) for demand in self.demand.values()
        )
        unneeded = [
            machine
            for machine in self.machines.values()
            if self._is_unneeded(machine, has_urgent_demand, now)
        ]
        on_demand: dict[MachinePool, list[RentedMachine]] = {}
        for machine in sorted(unneeded, key=self._drain_order):
            if machine.pool[2]:
                machine.draining = True
            else:
                on_demand.setdefault(machine.pool, []).append(machine)
        if not on_demand:
            return
        surplus = self._surplus_machines(
            now, {machine.name for machines in on_demand.values() for machine in machines}
        )
        for pool, machines in on_demand.items():
            for machine in machines[: surplus.get(pool, 0)]:
                machine.draining = True

    def _is_unneeded(self, machine: RentedMachine, has_urgent_demand: bool, now: float) -> bool:
        """Return whether a machine is idle too long or runs only tasks for spot machines."""
        update = machine.update
        if (
            update is None
            or machine.draining
            or machine.returning
            or now - machine.rented_at <= MIN_RENTAL_S
        ):
            return False
        if machine.idle_since is not None and now - machine.idle_since > self.idle_s:
            return True
        return not machine.pool[2] and not update.on_demand_work and not has_urgent_demand

    def _drain_order(self, machine: RentedMachine) -> tuple[bool, float, float, str]:
        """Return the sort key for draining: idle, then costliest, then newest machines first.

        The newest machines have the fewest images cached.
        """
        return (
            machine.idle_since is None,
            -self._price(machine.pool),
            -machine.rented_at,
            machine.name,
        )

    def _surplus_machines(self, now: float, candidates: set[str]) -> dict[MachinePool, int]:
        """Return by pool how many of the candidates neither waiting nor expected tasks need."""
        _, free = self._free_slots(now, candidates)
        surplus: dict[MachinePool, int] = {}
        # Sorted by name, since the order of the pools decides which is used first
        for name in sorted(candidates):
            pool = self.machines[name].pool
            surplus[pool] = surplus.get(pool, 0) + 1
        wanted: list[tuple[Job, int, dict[str, int] | None]] = [
            (demand.job, demand.count, demand.zone_limits)
            for demand in self._demand_by_priority()
            if not demand.job.spot
        ]
        wanted += [(job, count, None) for job, count in self._forecast(now)]
        for job, count, zone_limits in wanted:
            left = self._pack_into(job, count, zone_limits, free, spot=job.spot)[0]
            for pool in surplus:
                if left <= 0 or not self._is_allowed(job, pool):
                    continue
                while left > 0 and surplus[pool] > 0:
                    surplus[pool] -= 1
                    free.add(pool, self.machine_types[pool[0]].resources)
                    left = self._pack_into(job, left, zone_limits, free, spot=job.spot)[0]
        return surplus
