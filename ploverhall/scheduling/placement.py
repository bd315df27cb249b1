"""The placement pass: reserves free capacity for the candidates of one shard, best fit first.

A pass costs what has changed: new candidates look at a sample of the machines with free capacity,
waiting ones only at machines that have gained some since. Gangs are placed all or nothing. Called
by the shard owner, which also hands in the candidate requests (`request`, `cancel`).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import CandidateUpdate
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.kept_machines import KeptMachines
from ploverhall.scheduling.machines import Machine, MachinePool, Reservation
from ploverhall.scheduling.preemption import PreemptionPlanner
from ploverhall.scheduling.reservations import CandidateRequest, ReservationTable
from ploverhall.scheduling.resources import ResourceVector, fits
from ploverhall.scheduling.scoring import score_machine

# How often a waiting candidate is matched anew against work that may be stopped
PREEMPTION_INTERVAL_S = 0.25
MAX_PREEMPTION_SEARCHES = 24  # candidates matched in one pass
# A start that is slower than this is worth the question whether a machine that holds the image is
# better
WARM_SEARCH_THRESHOLD_S = 2.0
# How often every waiting candidate is looked at anew, whatever has been seen to change
REVISIT_INTERVAL_S = 2.0


class TaskShape(NamedTuple):
    """What decides where a task without further limits fits."""

    resources: ResourceVector
    machine_types: tuple[str, ...] | None
    zone: str | None
    spot: bool


@dataclass(slots=True)
class PlacementPass:
    """The state of one pass over the queue."""

    now: float
    preempt: bool  # waiting candidates may look for work to stop
    gained: dict[str, Machine]  # machines with more free capacity than before the pass
    # May fall below zero, since a new gang's search counts also when none is left
    searches_left: int = MAX_PREEMPTION_SEARCHES
    gang_waits: bool = False  # a gang further ahead in the queue has not found all it needs
    failed_shapes: list[TaskShape] = field(default_factory=list)


@dataclass(slots=True)
class MachineSearch:
    """Where the tasks of one request may go."""

    pools: list[MachinePool]
    zone_limits: dict[str, int] | None  # how many more each zone may take
    avoided: frozenset[str]
    gained: dict[str, Machine] | None  # only these machines; None: all
    zone: str | None  # only this zone; None: all

    @property
    def unlimited(self) -> bool:
        """Whether it depends on nothing but the shape of the task."""
        return (
            self.gained is None
            and self.zone is None
            and self.zone_limits is None
            and not self.avoided
        )

    def open_pools(self) -> list[MachinePool]:
        """The pools whose zone may take another task."""
        limits = self.zone_limits
        return [pool for pool in self.pools if limits is None or limits.get(pool[1], 0) > 0]


class Placement:
    """Reserves free capacity for the candidates of one shard."""

    def __init__(self, inventory: Inventory, hold_s: float, sample: int, random: Random) -> None:
        self.inventory = inventory
        self.sample = sample
        self.random = random
        self.reservations = ReservationTable(inventory, hold_s)
        self.kept_machines = KeptMachines(inventory, self.reservations)
        self.preemption = PreemptionPlanner(
            inventory, self.reservations, self.kept_machines, random
        )
        # The one gang that may hold reservations for less than all of its tasks
        self.partial_gang: str | None = None
        self.next_preemption_at = 0.0
        self.next_revisit_at = 0.0

    def request(
        self, source_shard: int, job: Job, update: CandidateUpdate, within_guarantee: bool
    ) -> None:
        """Replace a source's request for candidates of a job."""
        self.preemption.forget_search(job.id)
        self.reservations.update_request(source_shard, job, update, within_guarantee)

    def cancel(self, job_id: str) -> None:
        """Forget the request for a job, and give back what is reserved for it."""
        self.preemption.forget_search(job_id)
        self.reservations.cancel_request(job_id)

    # -- the pass ----------------------------------------------------------------------------

    def place_waiting(self, now: float) -> None:
        """One pass: new candidates anywhere, waiting ones on machines that have gained capacity."""
        inventory, queue = self.inventory, self.reservations.queue
        preempt = now >= self.next_preemption_at
        nothing_changed = not (queue.new_jobs or inventory.machines_with_gains or preempt)
        if nothing_changed or not queue.entries:
            inventory.machines_with_gains.clear()
            return
        if preempt:
            self.next_preemption_at = now + PREEMPTION_INTERVAL_S
        if now >= self.next_revisit_at:
            self.next_revisit_at = now + REVISIT_INTERVAL_S
            self._revisit_all(now)
        current = PlacementPass(now, preempt, inventory.machines_with_gains)
        inventory.machines_with_gains = {}
        waiting = []
        for position, entry in enumerate(queue.entries):
            if self._is_finished(current):
                waiting += queue.entries[position:]
                # Not all were seen: the partial gang may still be among the rest
                current.gang_waits = True
                break
            if self._place_job(entry[1], current):
                waiting.append(entry)
        queue.entries = waiting
        if not current.gang_waits:
            self.partial_gang = None

    def _revisit_all(self, now: float) -> None:
        """Treat every waiting job as new, and choose the machines to keep for an overdue gang."""
        self.preemption.forget_all_searches()
        for job_id in self.reservations.requests:
            self.reservations.enqueue_if_missing(job_id)
        self.kept_machines.update(now)

    def _is_finished(self, current: PlacementPass) -> bool:
        """Whether there is nothing left to try for the rest of the queue."""
        return not (
            self.reservations.queue.new_jobs
            or current.gained
            or (current.preempt and current.searches_left)
        )

    def _place_job(self, job_id: str, current: PlacementPass) -> bool:
        """Place what a job misses; whether it goes on waiting."""
        request = self.reservations.requests.get(job_id)
        if request is None:
            return False
        new_jobs = self.reservations.queue.new_jobs
        is_new = job_id in new_jobs
        missing = self.reservations.missing(request)
        if missing > 0:
            if request.job.kind == "gang":
                missing = self._place_gang(request, missing, is_new, current)
            else:
                missing = self._place_tasks(request, missing, is_new, current)
        new_jobs.discard(job_id)
        return missing > 0

    # -- tasks -------------------------------------------------------------------------------

    def _place_tasks(
        self, request: CandidateRequest, missing: int, is_new: bool, current: PlacementPass
    ) -> int:
        """Place tasks that don't depend on one another; how many are still missing."""
        if is_new:
            missing = self._reserve_free(request, missing, current, None)
        elif current.gained:
            missing = self._reserve_free(request, missing, current, current.gained)
        if (
            missing > 0
            and current.searches_left
            and (is_new or current.preempt)
            and self.preemption.could_preempt(request)
        ):
            current.searches_left -= 1
            missing -= self.preemption.reserve(request, missing, current.now)
        return missing

    def _reserve_free(
        self,
        request: CandidateRequest,
        missing: int,
        current: PlacementPass,
        gained: dict[str, Machine] | None,
        zone: str | None = None,
    ) -> int:
        """Reserve free capacity for up to `missing` candidates; how many are still missing."""
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
            if not self._reserve_one(request, search, current.now):
                if search.unlimited:
                    current.failed_shapes.append(shape)
                break
            missing -= 1
        return missing

    def _pools(self, job: Job, zone: str | None) -> list[MachinePool]:
        """Where a job may run; with a zone, only there."""
        pools = self.inventory.allowed_pools(job)
        return [pool for pool in pools if zone is None or pool[1] == zone]

    def _reserve_one(self, request: CandidateRequest, search: MachineSearch, now: float) -> bool:
        """Reserve for one candidate on the machine that fits best; whether any was found."""
        job = request.job
        pools = search.open_pools()
        found = [
            machine
            for machine in self._find_machines(job, search, pools)
            if not self.inventory.unusable(machine, now)
        ]
        if not found:
            return False
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
            plan = self.preemption.find_warm_plan(request, pools, now)
        if plan is not None and plan.cost_s < cost_s:
            machine = plan.machine
            self.reservations.reserve(request, machine, plan.cost_s, now, plan.victims)
        else:
            self.reservations.reserve(request, machine, cost_s, now)
        self._count_against(search, machine)
        return True

    def _find_machines(
        self, job: Job, search: MachineSearch, pools: list[MachinePool]
    ) -> list[Machine]:
        """A sample of the machines in these pools with free capacity for a task."""
        if search.gained is None:
            return self.inventory.find_machines(
                job, pools, search.avoided, self.sample, self.random
            )
        gained = search.gained
        for name in [name for name, machine in gained.items() if machine.index_bucket is None]:
            del gained[name]
        found = [
            machine
            for machine in gained.values()
            if machine.pool in pools
            and fits(job.resources, machine.free)
            and machine.name not in search.avoided
        ]
        most = 2 * self.sample
        return found if len(found) <= most else self.random.sample(found, most)

    def _count_against(self, search: MachineSearch, machine: Machine) -> None:
        """A candidate was placed on a machine: it counts against the limits of the search."""
        if search.gained is not None:
            machine_type = self.inventory.machine_types[machine.type]
            if self.inventory.whole_units(machine.free, machine_type) == 0:
                search.gained.pop(machine.name, None)
        if search.zone_limits is not None:
            search.zone_limits[machine.zone] -= 1

    # -- gangs -------------------------------------------------------------------------------

    def _place_gang(
        self, request: CandidateRequest, missing: int, is_new: bool, current: PlacementPass
    ) -> int:
        """Place a gang if anything has changed for it; how many tasks are still missing."""
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
        """Place the whole gang or none of it; the first in the queue may keep a part of it.

        Gangs that hold parts of what the others need never run. The first keeps what it finds, so
        that it does not starve, and the others take what it leaves. Returns how many tasks are
        still missing.
        """
        is_first = not current.gang_waits
        if is_first:
            self._become_partial_gang(request)
        pools = self._open_pools(request)
        if not pools:
            return missing
        of_job = self.reservations.by_job.get(request.job.id, {})
        preempt = may_preempt and self.preemption.could_preempt(request)
        zone = None
        if request.job.single_zone:
            zone = self._gang_zone(request, missing, of_job, pools, preempt)
        bound = self.inventory.max_tasks(
            request.job.resources, [pool for pool in pools if zone is None or pool[1] == zone]
        )
        if bound < missing and not is_first and not preempt:
            return missing
        earlier = set(of_job)
        if bound > 0:
            missing = self._reserve_free(request, missing, current, None, zone)
        if missing > 0 and preempt:
            missing -= self.preemption.reserve(request, missing, current.now, zone)
        if missing > 0 and not is_first:
            self._release_since(request, earlier, current.now)
        return missing

    def _become_partial_gang(self, request: CandidateRequest) -> None:
        """Give this gang the right to hold reservations for a part of its tasks."""
        if self.partial_gang == request.job.id:
            return
        previous = self.partial_gang or ""
        held = self.reservations.by_job.get(previous, {})
        previous_request = self.reservations.requests.get(previous)
        # A complete set is being permitted together with another shard's: if it were given away,
        # the permits would be refused and the queue would change under the pass
        if previous_request is not None and len(held) < previous_request.count:
            for reservation in list(held.values()):
                self.reservations.release(reservation, requeue=False)  # it waits already
        self.partial_gang = request.job.id

    def _open_pools(self, request: CandidateRequest) -> list[MachinePool]:
        """Where a gang may run, without the zones that may take no more of it."""
        pools = self.inventory.allowed_pools(request.job)
        limits = self.reservations.remaining_zone_limits(request)
        if limits is None:
            return pools
        return [pool for pool in pools if limits.get(pool[1], 0) > 0]

    def _gang_zone(
        self,
        request: CandidateRequest,
        missing: int,
        of_job: dict[int, Reservation],
        pools: list[MachinePool],
        preempt: bool,
    ) -> str:
        """The zone for a gang that has to stay in one: where it is already, else the best one."""
        if of_job:
            return next(iter(of_job.values())).zone
        bounds = {
            zone: self.inventory.max_tasks(
                request.job.resources, [pool for pool in pools if pool[1] == zone]
            )
            for zone in {pool[1] for pool in pools}
        }
        preemptible: Counter[str] = Counter()
        if preempt and max(bounds.values()) < missing:
            # Machines with work to stop count, too: else, with no free capacity anywhere, the last
            # zone by name is chosen each time, and gangs wait although work elsewhere may stop
            preemptible = Counter(
                machine.zone
                for machine in self.inventory.preemption_candidates.values()
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
        """Release a gang's reservations but for the earlier ones."""
        of_job = self.reservations.by_job.get(request.job.id, {})
        added = [reservation for reservation in of_job.values() if reservation.id not in earlier]
        for reservation in added:
            self.reservations.release(reservation, requeue=False)
            machine = self.inventory.machines.get(reservation.machine)
            if machine is not None:
                self.inventory.refresh(machine, now)
                # Nothing was gained: trying again at once would find the same
                self.inventory.machines_with_gains.pop(reservation.machine, None)


def _has_failed(shape: TaskShape, failed_shapes: list[TaskShape]) -> bool:
    """Whether something no larger has found no free capacity in this pass."""
    return any(
        failed[1:] == shape[1:] and fits(failed.resources, shape.resources)
        for failed in failed_shapes
    )
