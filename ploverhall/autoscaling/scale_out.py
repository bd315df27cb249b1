"""Scale-out: plans which machines to rent for the tasks that find no free capacity.

Waiting and expected tasks are first packed into the free capacity of running and booting machines.
No I/O.
"""

from __future__ import annotations

from ploverhall.autoscaling.bin_packing import FreeSlots
from ploverhall.autoscaling.demand_forecast import DemandForecast
from ploverhall.autoscaling.fleet_state import RentalRequest, ScalingPlan
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.machines import MachinePool
from ploverhall.scheduling.resources import ResourceVector, fits

MAX_MACHINES_PER_REQUEST = 50
MAX_TASKS_PLANNED_PER_JOB = 2000  # in one plan; the remaining tasks of a larger job come later


class ScaleOut(DemandForecast):
    """Plans which machines to rent."""

    def _plan_scale_out(self, now: float, plan: ScalingPlan) -> None:
        """Add to the plan the machines to rent for tasks that find no free capacity.

        Both waiting and expected tasks are planned for.
        """
        free, free_for_services = self._free_slots(now, set())
        new_machines: dict[MachinePool, int] = {}
        work: list[tuple[Job, int, dict[str, int] | None]] = [
            (
                demand.job,
                demand.count,
                dict(demand.zone_limits) if demand.zone_limits is not None else None,
            )
            for demand in self._demand_by_priority()
        ]
        work += [(job, count, None) for job, count in self._forecast(now)]
        for job, task_count, zone_limits in work:
            # Like services, jobs that should start at once may preempt less important tasks
            used, other = (
                (free, free_for_services)
                if job.spot and not self._starts_before_boot(job)
                else (free_for_services, free)
            )
            rented = self._pack_or_rent(job, task_count, zone_limits, used, new_machines, now)
            for pool, count in rented.items():
                other.add(pool, self.machine_types[pool[0]].resources, count)
        plan.scale_out = [
            RentalRequest(pool, min(MAX_MACHINES_PER_REQUEST, total - requested))
            for pool, total in new_machines.items()
            for requested in range(0, total, MAX_MACHINES_PER_REQUEST)
        ]

    def _free_slots(self, now: float, excluded: set[str]) -> tuple[FreeSlots, FreeSlots]:
        """Return the free capacity of running and booting machines, without the excluded ones.

        Returns:
            The free capacity, and the free capacity for services, which includes the capacity that
            preemptible tasks use.
        """
        free = FreeSlots()
        free_for_services = FreeSlots()
        expected_boots = self._expected_boots(now)
        for machine in self.machines.values():
            machine_type = self.machine_types.get(machine.pool[0])
            if (
                machine_type is None
                or machine.draining
                or machine.returning
                or machine.order_id is not None
                or machine.name in excluded
            ):
                continue
            if (update := machine.update) is not None:
                if not (update.draining or update.notice or update.faulty):
                    cpus, gpus, memory = update.free
                    free.add(machine.pool, (cpus, gpus, memory))
                    cpus, gpus, memory = update.free_for_services
                    free_for_services.add(machine.pool, (cpus, gpus, memory))
            elif expected_boots.get(machine.name):
                free.add(machine.pool, machine_type.resources)
                free_for_services.add(machine.pool, machine_type.resources)
        return free, free_for_services

    def _pack_into(
        self,
        job: Job,
        count: int,
        zone_limits: dict[str, int] | None,
        slots: FreeSlots,
        spot: bool = True,
    ) -> tuple[int, dict[str, int] | None]:
        """Place up to `count` tasks of a job on machines with free capacity.

        Spot machines are filled first; without `spot` they are not used at all.

        Returns:
            The number of tasks that were not placed, and the updated `zone_limits`: how many more
            tasks each zone may take (None: no limit).
        """
        pools = sorted(
            (pool for pool in slots.slots if self._is_allowed(job, pool) and (spot or not pool[2])),
            key=lambda pool: (not pool[2], pool),
        )
        for pool in pools:
            zone = pool[1]
            limit = count if zone_limits is None else min(count, zone_limits.get(zone, 0))
            placed = slots.pack(job.resources, limit, pool) if limit > 0 else 0
            count -= placed
            if zone_limits is not None and placed:
                zone_limits = reduced_zone_limits(job, zone_limits, zone, placed)
            if count <= 0:
                break
        return count, zone_limits

    def _pack_or_rent(
        self,
        job: Job,
        count: int,
        zone_limits: dict[str, int] | None,
        slots: FreeSlots,
        new_machines: dict[MachinePool, int],
        now: float,
    ) -> dict[MachinePool, int]:
        """Place a job's tasks on existing machines, and the remaining ones on new machines.

        Returns:
            The number of new machines by pool. They are added to `new_machines` as well.
        """
        count, zone_limits = self._pack_into(
            job, min(count, MAX_TASKS_PLANNED_PER_JOB), zone_limits, slots
        )
        rented: dict[MachinePool, int] = {}
        while count > 0:
            pool = self._choose_pool(job, zone_limits, new_machines, now)
            if pool is None:
                break
            zone = pool[1]
            slots.add(pool, self.machine_types[pool[0]].resources)
            limit = count if zone_limits is None else min(count, zone_limits.get(zone, 0))
            placed = slots.pack(job.resources, limit, pool)
            if not placed:
                break
            new_machines[pool] = new_machines.get(pool, 0) + 1
            rented[pool] = rented.get(pool, 0) + 1
            count -= placed
            if zone_limits is not None:
                zone_limits = reduced_zone_limits(job, zone_limits, zone, placed)
        return rented

    def _is_allowed(self, job: Job, pool: MachinePool) -> bool:
        """Return whether a job's tasks may run on machines of this pool."""
        return (
            (job.machine_types is None or pool[0] in job.machine_types)
            and (job.zone is None or job.zone == pool[1])
            and (job.spot or not pool[2])
        )

    def _choose_pool(
        self,
        job: Job,
        zone_limits: dict[str, int] | None,
        new_machines: dict[MachinePool, int],
        now: float,
    ) -> MachinePool | None:
        """Return the pool to rent a machine from for a job; None if none can be rented from.

        The pool that is cheapest for one task of the job is chosen; among equally cheap ones, a
        pool that boots on time comes first, then the pool with the fewest machines.
        """
        options = []
        spot_choices = (
            (True, False) if job.spot and self._cannot_wait_for_spot(job) else (job.spot,)
        )
        for machine_type in self.machine_types.values():
            if (
                job.machine_types is not None and machine_type.name not in job.machine_types
            ) or not fits(job.resources, machine_type.resources):
                continue
            share = machine_share(job.resources, machine_type)
            for zone in machine_type.zones:
                if (job.zone is not None and zone != job.zone) or (
                    zone_limits is not None and zone_limits.get(zone, 0) <= 0
                ):
                    continue
                for spot in spot_choices:
                    pool = (machine_type.name, zone, spot)
                    if (
                        self._backing_off(pool, now)
                        or self._blocked_by_order(pool)
                        or self._too_many_overdue(machine_type.name, zone, new_machines)
                    ):
                        continue
                    price = (machine_type.spot_price if spot else machine_type.price) * share
                    late = self._boots_late((machine_type.name, zone), now)
                    machine_count = self.machines_per_pool.get(pool, 0) + new_machines.get(pool, 0)
                    options.append((price, late, machine_count, pool))
        return min(options)[3] if options else None

    def _too_many_overdue(
        self, type_name: str, zone: str, new_machines: dict[MachinePool, int]
    ) -> bool:
        """Return whether enough machines of a type and zone boot to replace the overdue ones.

        If any machines come up there, no more of them are needed.
        """
        overdue = self.overdue.get((type_name, zone), 0)
        if not overdue:
            return False
        booting = self.booting_on_time.get((type_name, zone), 0) + sum(
            new_machines.get((type_name, zone, spot), 0) for spot in (True, False)
        )
        return booting > 2 * overdue + 10

    def _blocked_by_order(self, pool: MachinePool) -> bool:
        """Return whether a maintenance order forbids renting machines of this pool."""
        return any(order.blocks_rental(pool) for order in self.orders)


def machine_share(resources: ResourceVector, machine_type: MachineType) -> float:
    """Return the largest share of any of a machine's resources that a task needs."""
    return max(
        (
            needed / capacity
            for needed, capacity in zip(resources, machine_type.resources, strict=True)
            if capacity > 0
        ),
        default=0.0,
    )


def reduced_zone_limits(
    job: Job, zone_limits: dict[str, int], used_zone: str, placed: int
) -> dict[str, int]:
    """Return how many more tasks of a job each zone may take after `placed` went to `used_zone`.

    A job that must run in a single zone may use no other zone from then on.
    """
    return {
        zone: limit - placed if zone == used_zone else 0 if job.single_zone else limit
        for zone, limit in zone_limits.items()
    }
