"""Plans which machines are drained next for maintenance orders, and reports their progress.

A machine is drained only once its tasks fit on other machines; if they do not fit, replacement
machines are rented first. No I/O.
"""

from __future__ import annotations

import math
from typing import TypedDict

from ploverhall.autoscaling.fleet_state import (
    DRAINING_BY_ORDER,
    RentalRequest,
    RentedMachine,
    ScalingPlan,
)
from ploverhall.autoscaling.scale_out import ScaleOut
from ploverhall.maintenance.orders import RUNNING, MaintenanceOrder
from ploverhall.scheduling.machines import MachinePool
from ploverhall.scheduling.resources import EPSILON

MAX_MACHINES_SHOWN = 20  # names of machines in an order's progress


class OrderProgress(TypedDict):
    """The progress of a maintenance order, as shown to operators."""

    left: int  # number of matching machines that still exist
    being_emptied: list[str]  # names of the machines being drained now
    waits: str  # why no more machines are drained; empty: draining is not held up


class MaintenancePlanning(ScaleOut):
    """Plans the draining of machines for maintenance orders."""

    def _advance_maintenance(self, plan: ScalingPlan) -> None:
        """Choose the machines to drain next for all running orders."""
        running = {order.id: order for order in self.orders if order.state == RUNNING}
        for machine in self.machines.values():
            if (
                machine.order_id is not None
                and machine.order_id not in running
                and not machine.returning
            ):
                machine.order_id = None  # its order is paused or stopped
        draining = [machine for machine in self.machines.values() if machine.order_id is not None]
        self.order_wait_reasons = {}
        for order in running.values():
            self._advance_order(order, draining, plan)
        self.orders_evaluated = True

    def _advance_order(
        self, order: MaintenanceOrder, draining: list[RentedMachine], plan: ScalingPlan
    ) -> None:
        """Drain machines of one order up to its limit, or until their tasks do not fit elsewhere.

        Adds the machines to `draining`, and the replacements that have to be rented to `plan`.
        """
        draining_count = sum(1 for machine in draining if machine.order_id == order.id)
        for machine in self._undrained_machines(order):
            if draining_count >= order.max_concurrent:
                self.order_wait_reasons[order.id] = (
                    f"{draining_count} machines are being emptied, as many as it allows at once"
                )
                break
            missing, unrented = self._missing_machines(machine, [*draining, machine])
            if missing > 0:
                # Tasks stopped before there is capacity for them would wait for a machine to boot
                pool = self._replacement_pool(machine.pool)
                if pool is not None and unrented > 0:
                    plan.scale_out.append(RentalRequest(pool, min(unrented, order.max_concurrent)))
                self.order_wait_reasons[order.id] = (
                    f"what runs on {machine.name} has no room elsewhere"
                    + (", machines are rented" if pool else "")
                )
                break
            machine.order_id = order.id
            draining.append(machine)
            draining_count += 1

    def _undrained_machines(self, order: MaintenanceOrder) -> list[RentedMachine]:
        """Return the machines that an order still has to drain, in the order of draining."""
        machines = [
            machine
            for machine in self.machines.values()
            if machine.order_id is None
            and not machine.returning
            and not machine.draining
            and machine.update is not None
            and order.matches(machine.name, machine.pool, machine.shard)
        ]
        machines.sort(key=self._eviction_order)
        return machines

    def _eviction_order(self, machine: RentedMachine) -> tuple[bool, bool, float, str]:
        """Return the sort key for draining.

        Machines that an earlier autoscaler has begun to drain come first, then idle ones, then
        those with the smallest used share.
        """
        update = machine.update
        return (
            update is not None and update.draining != DRAINING_BY_ORDER,
            update is not None and not update.idle,
            self._used_share(machine),
            machine.name,
        )

    def _used_share(self, machine: RentedMachine) -> float:
        """Return the used share (0 to 1) of the machine's most used resource; 0 if unknown."""
        machine_type = self.machine_types.get(machine.pool[0])
        if machine_type is None or machine.update is None:
            return 0.0
        return max(
            (
                1.0 - free / capacity
                for free, capacity in zip(machine.update.free, machine_type.resources, strict=True)
                if capacity > 0
            ),
            default=0.0,
        )

    def _missing_machines(
        self, machine: RentedMachine, machines_to_drain: list[RentedMachine]
    ) -> tuple[int, int]:
        """Return how many machines are missing to take the tasks of the machines to drain.

        Only machines of the type of `machine` are counted. The work and the free capacity are
        added up in units of whole machines.

        Returns:
            The number of machines missing among the running ones, and the number that is still
            missing when the booting ones are counted as well.
        """
        needed = sum(
            self._used_share(drained)
            for drained in machines_to_drain
            if drained.pool[0] == machine.pool[0]
        )
        names = {drained.name for drained in machines_to_drain}
        running = 0.0
        booting = 0.0
        for other in self.machines.values():
            if (
                other.pool[0] != machine.pool[0]
                or other.name in names
                or other.draining
                or other.returning
                or self._matches_running_order(other)
            ):
                continue
            if other.update is not None and not (
                other.update.draining or other.update.notice or other.update.faulty
            ):
                running += 1.0 - self._used_share(other)
            elif self._is_booting(other):
                booting += 1.0
        missing = max(0, math.ceil(needed - running - EPSILON))
        return missing, max(0, math.ceil(needed - running - booting - EPSILON))

    def _matches_running_order(self, machine: RentedMachine) -> bool:
        """Return whether a running order drains this machine now or later."""
        return any(
            order.state == RUNNING and order.matches(machine.name, machine.pool, machine.shard)
            for order in self.orders
        )

    def _replacement_pool(self, pool: MachinePool) -> MachinePool | None:
        """Return the pool to rent a replacement from, preferably `pool` itself.

        None means that no pool of this machine type can be rented from.
        """
        machine_type = self.machine_types.get(pool[0])
        if machine_type is None:
            return None
        pools = [
            (pool[0], zone, spot)
            for spot in (pool[2], False)
            for zone in (pool[1], *machine_type.zones)
            if zone in machine_type.zones
        ]
        return next(
            (
                candidate
                for candidate in pools
                if not self._blocked_by_order(candidate)
                and not self._backing_off(candidate, self.now)
            ),
            None,
        )

    def machines_under_maintenance(self, shard: int) -> list[str]:
        """Return the machines of a shard that are being drained for an order, sorted by name."""
        return sorted(
            machine.name
            for machine in self.machines.values()
            if machine.shard == shard and machine.order_id is not None
        )

    def order_progress(self) -> dict[str, OrderProgress]:
        """Return the progress of all orders by order id, as shown to operators."""
        progress: dict[str, OrderProgress] = {}
        for order in self.orders:
            matching = [
                machine
                for machine in self.machines.values()
                if order.matches(machine.name, machine.pool, machine.shard)
            ]
            progress[order.id] = {
                "left": len(matching),
                "being_emptied": sorted(
                    machine.name for machine in matching if machine.order_id == order.id
                )[:MAX_MACHINES_SHOWN],
                "waits": self.order_wait_reasons.get(order.id, ""),
            }
        return progress

    def finished_orders(self, now: float) -> list[MaintenanceOrder]:
        """Return the running orders that name machines of which none is left.

        An order for a zone or type is never finished here; it holds until an operator stops it.
        """
        if not self.list_count or now - self.started < 2.0 * self.list_lag_s + 5.0:
            return []  # some machines may not have been listed yet
        return [
            order
            for order in self.orders
            if order.state == RUNNING
            and order.machines is not None
            and not any(name in self.machines for name in order.machines)
        ]
