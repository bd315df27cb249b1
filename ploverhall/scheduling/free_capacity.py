"""Reserves free capacity for the candidates of one request, best fit first.

The placement pass calls it for independent tasks, `gang_placement` for the tasks of a gang. Task
shapes that fit on no machine are remembered for the rest of the pass (`PlacementPass`).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.kept_machines import KeptMachines
from ploverhall.scheduling.machines import Machine, MachinePool
from ploverhall.scheduling.preemption import PreemptionPlanner
from ploverhall.scheduling.reservations import CandidateRequest, ReservationTable
from ploverhall.scheduling.resources import ResourceVector, fits
from ploverhall.scheduling.scoring import score_machine

MAX_PREEMPTION_SEARCHES = 24  # preemption searches in one pass
# The work of one pass is counted in checks of one machine, about half a microsecond each
MAX_PASS_WORK = 30_000
RESERVATION_WORK = 100  # of a search that ends with a reservation, besides its checks
QUEUE_ENTRY_WORK = 4
# If a start would take longer than this, machines that hold the image are searched for a cheaper
# preemption plan
WARM_SEARCH_THRESHOLD_S = 2.0


class TaskShape(NamedTuple):
    """The properties that determine where a task without further limits fits."""

    resources: ResourceVector
    machine_types: tuple[str, ...] | None
    zone: str | None
    spot: bool


@dataclass(slots=True)
class PlacementPass:
    """The state of one pass over the queue.

    A pass ends when `work_left` is used up, since nothing else runs in the meantime; the next pass
    goes on where it ended.
    """

    now: float
    preempt: bool  # waiting candidates may search for work to preempt
    gained: dict[str, Machine]  # machines with more free capacity than before the pass
    # May fall below zero: a new gang's search is counted even when none is left
    searches_left: int = MAX_PREEMPTION_SEARCHES
    gang_waits: bool = False  # a gang earlier in the queue lacks capacity
    failed_shapes: list[TaskShape] = field(default_factory=list)
    work_left: int = MAX_PASS_WORK
    interrupted: bool = False  # the job that is being placed has more to try, but no work is left

    @property
    def work_exhausted(self) -> bool:
        """Return whether the pass has to end before it has looked at the whole queue."""
        return self.work_left <= 0


@dataclass(slots=True)
class MachineSearch:
    """The machines on which the tasks of one request may be placed."""

    pools: list[MachinePool]
    zone_limits: dict[str, int] | None  # how many more each zone may take
    avoided: frozenset[str]
    gained: dict[str, Machine] | None  # search only these machines; None: all
    zone: str | None  # search only this zone; None: all

    @property
    def depends_only_on_shape(self) -> bool:
        """Return whether the result of the search depends only on the shape of the task."""
        return (
            self.gained is None
            and self.zone is None
            and self.zone_limits is None
            and not self.avoided
        )

    def open_pools(self) -> list[MachinePool]:
        """Return the pools whose zone may take another task."""
        limits = self.zone_limits
        return [pool for pool in self.pools if limits is None or limits.get(pool[1], 0) > 0]


class FreeCapacity:
    """Finds machines with free capacity and reserves it."""

    def __init__(
        self,
        inventory: Inventory,
        reservations: ReservationTable,
        kept_machines: KeptMachines,
        preemption: PreemptionPlanner,
        sample: int,
        random: Random,
    ) -> None:
        self.inventory = inventory
        self.reservations = reservations
        self.kept_machines = kept_machines
        self.preemption = preemption
        self.sample = sample
        self.random = random

    def reserve(
        self,
        request: CandidateRequest,
        missing: int,
        current: PlacementPass,
        gained: dict[str, Machine] | None,
        zone: str | None = None,
        at_once: bool = False,
    ) -> int:
        """Reserve free capacity for up to `missing` candidates; return how many still lack it.

        Ends early when the work of the pass is exhausted, unless `at_once` is set.
        """
        job = request.job
        shape = TaskShape(job.resources, job.machine_types, job.zone, job.spot)
        if (
            gained is None
            and zone is None
            and request.zone_limits is None
            and not request.avoided_machines
            and _has_failed(shape, current.failed_shapes)
        ):
            return missing
        search = MachineSearch(
            self._pools(job, zone),
            self.reservations.remaining_zone_limits(request),
            self.kept_machines.avoided_machines(request),
            gained,
            zone,
        )
        while missing > 0:
            if current.work_exhausted and not at_once:
                current.interrupted = True
                break
            if not self._reserve_one(request, search, current):
                if search.depends_only_on_shape:
                    current.failed_shapes.append(shape)
                break
            missing -= 1
        return missing

    def preempt(
        self,
        request: CandidateRequest,
        missing: int,
        current: PlacementPass,
        zone: str | None = None,
    ) -> int:
        """Reserve capacity for up to `missing` candidates by preemption, and return how many."""
        work_before = self.preemption.work
        found = self.preemption.reserve(request, missing, current.now, zone)
        current.work_left -= self.preemption.work - work_before + found * RESERVATION_WORK
        return found

    def _pools(self, job: Job, zone: str | None) -> list[MachinePool]:
        """Return the pools in which a job may run, restricted to `zone` unless it is None."""
        pools = self.inventory.allowed_pools(job)
        return [pool for pool in pools if zone is None or pool[1] == zone]

    def _reserve_one(
        self, request: CandidateRequest, search: MachineSearch, current: PlacementPass
    ) -> bool:
        """Reserve for one candidate on the machine that fits best; return False if none fits."""
        job = request.job
        now = current.now
        pools = search.open_pools()
        checks_before = self.inventory.fit_checks
        found = [
            machine
            for machine in self._find_machines(job, search, pools)
            if not self.inventory.unusable(machine, now)
        ]
        current.work_left -= 1 + self.inventory.fit_checks - checks_before
        if not found:
            return False
        current.work_left -= RESERVATION_WORK
        cost_s, _, _, machine = min(
            (*score_machine(self.inventory, job, machine), machine.name, machine)
            for machine in found
        )
        plan = None
        if (
            job.image not in machine.images
            and cost_s > WARM_SEARCH_THRESHOLD_S
            and search.gained is None
            and (job.kind != "gang" or request.count == 1)
        ):
            work_before = self.preemption.work
            plan = self.preemption.find_warm_plan(request, pools, now)
            current.work_left -= self.preemption.work - work_before
        if plan is not None and plan.cost_s < cost_s:
            machine = plan.machine
            self.reservations.reserve(request, machine, plan.cost_s, now, plan.victims)
        else:
            self.reservations.reserve(request, machine, cost_s, now)
        self._update_search_limits(search, machine)
        return True

    def _find_machines(
        self, job: Job, search: MachineSearch, pools: list[MachinePool]
    ) -> list[Machine]:
        """Return a sample of the machines in these pools with free capacity for a task."""
        if search.gained is None:
            return self.inventory.find_machines(
                job, pools, search.avoided, self.sample, self.random
            )
        gained = search.gained
        self.inventory.fit_checks += len(gained)
        for name in [name for name, machine in gained.items() if machine.index_bucket is None]:
            del gained[name]
        found = [
            machine
            for machine in gained.values()
            if machine.pool in pools
            and fits(job.resources, machine.free)
            and machine.name not in search.avoided
        ]
        max_found = 2 * self.sample
        return found if len(found) <= max_found else self.random.sample(found, max_found)

    def _update_search_limits(self, search: MachineSearch, machine: Machine) -> None:
        """Update the limits of a search after a candidate was placed on a machine."""
        if search.gained is not None:
            machine_type = self.inventory.machine_types[machine.type]
            if self.inventory.whole_units(machine.free, machine_type) == 0:
                search.gained.pop(machine.name, None)
        if search.zone_limits is not None:
            search.zone_limits[machine.zone] -= 1


def _has_failed(shape: TaskShape, failed_shapes: list[TaskShape]) -> bool:
    """Return whether an equal or smaller shape has found no free capacity in this pass."""
    return any(
        failed[1:] == shape[1:] and fits(failed.resources, shape.resources)
        for failed in failed_shapes
    )
