"""Places gangs: all tasks of a gang or none, except for the first gang in the queue.

If several gangs held parts of the capacity that they need, they would block each other forever. So
only one gang at a time may hold reservations for less than all of its tasks. The placement pass
calls this module in the order of the queue.
"""

from __future__ import annotations

from collections import Counter

from ploverhall.scheduling.free_capacity import FreeCapacity, PlacementPass
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.machines import MachinePool, Reservation
from ploverhall.scheduling.preemption import PreemptionPlanner
from ploverhall.scheduling.reservations import CandidateRequest, ReservationTable

# A larger gang is placed over several passes, and only as the first gang in the queue: all of a
# smaller one is placed in one pass, whatever work that pass has left
MAX_GANG_TASKS_PER_PASS = 1_000


class GangPlacement:
    """Reserves capacity for whole gangs."""

    def __init__(
        self,
        inventory: Inventory,
        reservations: ReservationTable,
        preemption: PreemptionPlanner,
        free_capacity: FreeCapacity,
    ) -> None:
        self.inventory = inventory
        self.reservations = reservations
        self.preemption = preemption
        self.free_capacity = free_capacity
        # The one gang that may hold reservations for less than all of its tasks
        self.partial_gang: str | None = None

    def place(
        self, request: CandidateRequest, missing: int, is_new: bool, current: PlacementPass
    ) -> int:
        """Place a gang if anything has changed for it; return how many tasks are still missing."""
        may_search = is_new or current.preempt
        if is_new or current.gained or (current.preempt and current.searches_left):
            may_preempt = may_search and current.searches_left > 0
            missing = self._place_all_or_nothing(request, missing, may_preempt, current)
            if may_search:
                current.searches_left -= 1
        if missing > 0:
            current.gang_waits = True
        elif self.partial_gang == request.job.id:
            self.partial_gang = None
        return missing

    def _place_all_or_nothing(
        self, request: CandidateRequest, missing: int, may_preempt: bool, current: PlacementPass
    ) -> int:
        """Place the whole gang or none of it; the first gang in the queue may be placed in part.

        Gangs that each hold a part of what the others need would never run. The first gang keeps
        what it finds, so that it does not starve; the others use the capacity that is left. Returns
        how many tasks are still missing.
        """
        is_first = not current.gang_waits
        at_once = request.count <= MAX_GANG_TASKS_PER_PASS
        if not at_once and not is_first:
            return missing
        if is_first:
            self._become_partial_gang(request)
        pools = self._open_pools(request)
        if not pools:
            return missing
        job_reservations = self.reservations.by_job.get(request.job.id, {})
        preempt = may_preempt and self.preemption.could_preempt(request)
        zone = None
        if request.job.single_zone:
            zone = self._gang_zone(request, missing, job_reservations, pools, preempt)
        bound = self.inventory.max_tasks(
            request.job.resources, [pool for pool in pools if zone is None or pool[1] == zone]
        )
        if bound < missing and not is_first and not preempt:
            return missing
        earlier = set(job_reservations)
        if bound > 0:
            missing = self.free_capacity.reserve(request, missing, current, None, zone, at_once)
        if missing > 0 and preempt and (at_once or not current.work_exhausted):
            missing -= self.free_capacity.preempt(request, missing, current, zone)
        if missing > 0 and not is_first:
            self._release_since(request, earlier, current.now)
        return missing

    def _become_partial_gang(self, request: CandidateRequest) -> None:
        """Make this gang the one that may hold reservations for a part of its tasks."""
        if self.partial_gang == request.job.id:
            return
        previous = self.partial_gang or ""
        held = self.reservations.by_job.get(previous, {})
        previous_request = self.reservations.requests.get(previous)
        # A complete set of reservations is being permitted, together with those of another shard.
        # Releasing it would get the permits refused and change the queue during the pass.
        if previous_request is not None and len(held) < previous_request.count:
            for reservation in list(held.values()):
                self.reservations.release(reservation, requeue=False)  # it is queued already
        self.partial_gang = request.job.id

    def _open_pools(self, request: CandidateRequest) -> list[MachinePool]:
        """Return the pools for a gang, without those in zones that may take no more of it."""
        pools = self.inventory.allowed_pools(request.job)
        limits = self.reservations.remaining_zone_limits(request)
        if limits is None:
            return pools
        return [pool for pool in pools if limits.get(pool[1], 0) > 0]

    def _gang_zone(
        self,
        request: CandidateRequest,
        missing: int,
        job_reservations: dict[int, Reservation],
        pools: list[MachinePool],
        preempt: bool,
    ) -> str:
        """Return the zone for a single-zone gang: that of its reservations, else the best one."""
        if job_reservations:
            return next(iter(job_reservations.values())).zone
        bounds = {
            zone: self.inventory.max_tasks(
                request.job.resources, [pool for pool in pools if pool[1] == zone]
            )
            for zone in {pool[1] for pool in pools}
        }
        preemptible: Counter[str] = Counter()
        if preempt and max(bounds.values()) < missing:
            # Count machines with preemptible work, too. Otherwise, with no free capacity anywhere,
            # the last zone by name would be chosen each time, and gangs would wait although work in
            # other zones may be stopped.
            preemptible = Counter(
                machine.zone
                for machine in self.inventory.preemption_index.candidates.values()
                if machine.pool in pools
            )
        return max(
            bounds,
            key=lambda zone: (
                min(bounds[zone] + preemptible[zone], missing),
                min(bounds[zone], missing),
                preemptible[zone],
                zone,
            ),
        )

    def _release_since(self, request: CandidateRequest, earlier: set[int], now: float) -> None:
        """Release a gang's reservations, except for those with the ids in `earlier`."""
        job_reservations = self.reservations.by_job.get(request.job.id, {})
        added = [
            reservation
            for reservation in job_reservations.values()
            if reservation.id not in earlier
        ]
        for reservation in added:
            self.reservations.release(reservation, requeue=False)
            machine = self.inventory.machines.get(reservation.machine)
            if machine is not None:
                self.inventory.refresh(machine, now)
                # This is no gain: a new search would only find the same capacity again
                self.inventory.machines_with_gains.pop(reservation.machine, None)
