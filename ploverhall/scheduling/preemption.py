"""Preemption: which less important work is stopped to free capacity for a candidate.

`PreemptionPlanner` applies the published rules (`may_preempt`), makes the cheapest plan for a
machine, and reserves capacity by the best plans found. It remembers which searches found too
little, so that they are repeated only after a machine has gained something. Called by the placement
pass; the victims themselves are stopped by the shard owner, once the source permits the start.
"""

from __future__ import annotations

import heapq
from random import Random
from typing import NamedTuple

from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.jobs import PRIORITIES
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.kept_machines import KeptMachines
from ploverhall.scheduling.machines import (
    JobTraits,
    Machine,
    MachinePool,
    Permit,
    PreemptionClass,
    occupies,
)
from ploverhall.scheduling.reservations import CandidateRequest, ReservationTable
from ploverhall.scheduling.resources import ResourceVector, add_scaled, fits
from ploverhall.scheduling.scoring import score_machine

LOWEST_PRIORITY = max(PRIORITIES.values())
PREEMPTION_DELAY_S = 1.0  # what stopping others takes, until their capacity is free
LOST_WORK_WEIGHT = 0.2  # seconds of waiting that a second of lost work is worth
GANG_VICTIM_COST_S = 1000.0  # a gang's task takes its whole gang with it: only as a last resort
# Machines searched for a plan: at least so many, and so many a task
PREEMPTION_SAMPLE = 64
PREEMPTION_SAMPLE_PER_TASK = 4
PLANS_PER_TASK = 2  # a search ends after its sample when it has so many plans a task
WARM_SAMPLE = 24  # machines that hold the image, searched for a plan


class PreemptionPlan(NamedTuple):
    """What to stop on one machine for one candidate; orders by cost, then by name."""

    cost_s: float
    machine_name: str
    machine: Machine
    victims: tuple[AttemptId, ...]


# A task attempt that may be stopped: seconds of work lost with it, which orders them, the attempt,
# and its resources. A plain tuple, since a search makes one for every task that it looks at.
PossibleVictim = tuple[float, AttemptId, ResourceVector]


class ExhaustedSearch(NamedTuple):
    """A search that found fewer plans than it needed."""

    generation: int  # `PreemptionIndex.generation` at the time
    found: int
    zone: str | None


class GangShape(NamedTuple):
    """What two gangs have in common when a search finds the same for both."""

    resources: ResourceVector
    machine_types: tuple[str, ...] | None
    job_zone: str | None
    spot: bool
    zone: str | None
    classes: frozenset[PreemptionClass]


NO_SEARCH = ExhaustedSearch(0, 0, None)


class PreemptionPlanner:
    """Finds work to stop on the machines of one shard."""

    def __init__(
        self,
        inventory: Inventory,
        reservations: ReservationTable,
        kept_machines: KeptMachines,
        random: Random,
    ) -> None:
        self.inventory = inventory
        self.reservations = reservations
        self.kept_machines = kept_machines
        self.random = random
        # What permits that are being carried out stop already; the shard owner sets it
        self.victims: set[AttemptId] = set()
        # Machines searched for a plan: what the tests of growth count
        self.checks = 0
        self._exhausted_by_job: dict[str, ExhaustedSearch] = {}
        self._exhausted_by_shape: dict[GangShape, ExhaustedSearch] = {}

    def forget_search(self, job_id: str) -> None:
        """A job's request has changed: what its last search found no longer holds."""
        self._exhausted_by_job.pop(job_id, None)

    def forget_all_searches(self) -> None:
        """Let every job search all machines again."""
        self._exhausted_by_job.clear()
        self._exhausted_by_shape.clear()

    # -- who may stop whom -------------------------------------------------------------------

    def could_preempt(self, request: CandidateRequest) -> bool:
        """Whether there is any work in this shard that this candidate may stop."""
        traits = self.inventory.job_traits.get(request.job.id)
        if request.job.priority >= LOWEST_PRIORITY and not request.within_guarantee:
            return False
        if traits is not None and traits.failing_everywhere:
            return False
        return any(
            self.may_preempt(request, preemption_class)
            for preemption_class in self.inventory.preemption_index.classes
        )

    def may_preempt(self, request: CandidateRequest, preemption_class: PreemptionClass) -> bool:
        """Whether a candidate may stop work of this class, by the rules without their circle.

        By rank an urgent array beyond its team's guarantee may stop another team's lower work
        within its own, which may stop it in turn for the guarantee: without the exception for work
        that has claimed its guarantee, both are started and stopped over and over. What is of the
        highest rank is never stopped itself, and so stands in no circle.
        """
        priority, within_guarantee, team, kind, claimed = preemption_class
        if priority > request.job.priority:
            return not claimed or request.within_guarantee or request.job.priority == 0
        # To give a team its guarantee: only where little is lost, not a whole gang
        return (
            request.within_guarantee
            and not within_guarantee
            and team != request.job.team
            and kind == "array"
        )

    def victims_in_progress(self) -> set[AttemptId]:
        """The task attempts that are stopped for others already, as a new set."""
        return {
            attempt_id
            for reservation in self.reservations.preempting.values()
            for attempt_id in reservation.victims
        } | self.victims

    # -- reserving by preemption -------------------------------------------------------------

    def reserve(
        self, request: CandidateRequest, missing: int, now: float, zone: str | None = None
    ) -> int:
        """Reserve for up to `missing` candidates where stopping others is enough; how many it were.

        The least lost work first, from a sample of the machines with such work, and from all of
        them only while it is not enough. A search that found too little looks only at machines that
        have gained something since: else the searches grow with the square of the fleet.
        """
        classes = {
            preemption_class
            for preemption_class in self.inventory.preemption_index.classes
            if self.may_preempt(request, preemption_class)
        }
        if not classes or self._job_is_exhausted(request, missing, zone):
            return 0
        shape = _gang_shape(request, zone, classes)
        if shape is not None and self._shape_is_exhausted(shape, missing):
            return 0
        machines = self._machines_to_search(request, classes, zone)
        victims_in_progress = self.victims_in_progress()
        plans = self._make_plans(request, machines, missing, victims_in_progress, now)
        found = self._reserve_by_plans(request, plans, missing, victims_in_progress, now)
        if found < missing:
            search = ExhaustedSearch(self.inventory.preemption_index.generation, found, zone)
            self._exhausted_by_job[request.job.id] = search
            if shape is not None:
                self._exhausted_by_shape[shape] = search
        return found

    def _job_is_exhausted(self, request: CandidateRequest, missing: int, zone: str | None) -> bool:
        """Whether the job's last search found too little, and nothing has been gained since."""
        last = self._exhausted_by_job.get(request.job.id, NO_SEARCH)
        if last.generation < self.inventory.preemption_index.generation:
            return False
        return request.job.kind != "gang" or (last.found < missing and last.zone == zone)

    def _shape_is_exhausted(self, shape: GangShape, missing: int) -> bool:
        """Whether a gang like this one has just found fewer plans than this one needs."""
        last = self._exhausted_by_shape.get(shape)
        return (
            last is not None
            and last.generation == self.inventory.preemption_index.generation
            and last.found < missing
        )

    def _machines_to_search(
        self, request: CandidateRequest, classes: set[PreemptionClass], zone: str | None
    ) -> list[Machine]:
        """Machines with work of these classes, from a random one on; for a gang, all of them."""
        since = 0
        if request.job.kind != "gang":
            since = self._exhausted_by_job.get(request.job.id, NO_SEARCH).generation
        pools = {
            pool
            for pool in self.inventory.allowed_pools(request.job)
            if zone is None or pool[1] == zone
        }
        machines: list[Machine] = []
        for machine in reversed(self.inventory.preemption_index.candidates.values()):
            if machine.preemptible_since <= since:
                break  # and all that follow have gained nothing for longer
            if machine.pool in pools and not machine.preemptible_classes.isdisjoint(classes):
                machines.append(machine)
        start = self.random.randrange(len(machines)) if machines else 0
        return machines[start:] + machines[:start]

    def _make_plans(
        self,
        request: CandidateRequest,
        machines: list[Machine],
        missing: int,
        victims_in_progress: set[AttemptId],
        now: float,
    ) -> list[PreemptionPlan]:
        """Plans for a sample of the machines, and for all of them while there are too few.

        Every machine that holds the image is searched first: a sample of all machines misses them
        in a large fleet, and the task starts late because it has to fetch.
        """
        avoided = self.kept_machines.avoided_machines(request)
        holders = self.inventory.image_holders.get(request.job.image, {})
        warm = [machine for machine in machines if machine.name in holders]
        if warm:
            machines = [*warm, *(machine for machine in machines if machine.name not in holders)]
        sample = len(warm) + max(PREEMPTION_SAMPLE, PREEMPTION_SAMPLE_PER_TASK * missing)
        plans: list[PreemptionPlan] = []
        for position, machine in enumerate(machines):
            if machine.name in avoided or self.inventory.unusable(machine, now):
                continue
            plan = self._plan(machine, request, victims_in_progress, now)
            if plan is not None:
                plans.append(plan)
                if position >= sample and len(plans) >= PLANS_PER_TASK * missing:
                    break
        return plans

    def _reserve_by_plans(
        self,
        request: CandidateRequest,
        plans: list[PreemptionPlan],
        missing: int,
        victims_in_progress: set[AttemptId],
        now: float,
    ) -> int:
        """Carry out the cheapest plans, and plan again for each machine used; how many it were."""
        zone_limits = self.reservations.remaining_zone_limits(request)
        heapq.heapify(plans)
        found = 0
        while plans and found < missing:
            plan = heapq.heappop(plans)
            machine = plan.machine
            if zone_limits is not None:
                if zone_limits.get(machine.zone, 0) <= 0:
                    continue
                zone_limits[machine.zone] -= 1
            victims_in_progress.update(plan.victims)
            self.reservations.reserve(request, machine, plan.cost_s, now, plan.victims)
            found += 1
            next_plan = self._plan(machine, request, victims_in_progress, now)
            if next_plan is not None:
                heapq.heappush(plans, next_plan)
        return found

    def find_warm_plan(
        self, request: CandidateRequest, pools: list[MachinePool], now: float
    ) -> PreemptionPlan | None:
        """The cheapest plan on a sample of the machines that hold the image; None without any.

        Free capacity is mostly on machines that have just come and hold nothing. There a task
        fetches for longer than its user waits, while a machine that holds the image often runs work
        that has hardly begun.
        """
        holders = self.inventory.image_holders.get(request.job.image)
        if not holders or not self.could_preempt(request):
            return None
        sample = list(holders.values())
        if len(sample) > WARM_SAMPLE:
            sample = self.random.sample(sample, WARM_SAMPLE)
        victims_in_progress = self.victims_in_progress()
        avoided = self.kept_machines.avoided_machines(request)
        plans = [
            plan
            for machine in sample
            if machine.permits
            and machine.pool in pools
            and machine.name not in avoided
            and not self.inventory.unusable(machine, now)
            and (plan := self._plan(machine, request, victims_in_progress, now)) is not None
        ]
        return min(plans, default=None)

    # -- the plan for one machine ------------------------------------------------------------

    def _plan(
        self,
        machine: Machine,
        request: CandidateRequest,
        victims_in_progress: set[AttemptId],
        now: float,
    ) -> PreemptionPlan | None:
        """The cheapest plan on a machine; None if nothing has to stop, or it is not enough."""
        self.checks += 1
        need = request.job.resources
        free = self._free_after_victims_in_progress(machine, victims_in_progress)
        chosen: list[AttemptId] = []
        lost_work_s = 0.0
        victims = self._possible_victims(machine, request, victims_in_progress, now)
        for victim_cost_s, attempt_id, resources in sorted(victims):
            if fits(need, free):
                break
            free = add_scaled(free, resources)
            chosen.append(attempt_id)
            lost_work_s += victim_cost_s
        if not chosen or not fits(need, free):
            return None
        start_cost_s, _ = score_machine(self.inventory, request.job, machine)
        cost_s = PREEMPTION_DELAY_S + LOST_WORK_WEIGHT * lost_work_s + start_cost_s
        return PreemptionPlan(cost_s, machine.name, machine, tuple(chosen))

    def _free_after_victims_in_progress(
        self, machine: Machine, victims_in_progress: set[AttemptId]
    ) -> ResourceVector:
        """Free capacity once the victims leave; what they leave for is counted already."""
        free = machine.free
        if victims_in_progress.isdisjoint(machine.permits):
            return free
        for attempt_id, permit in machine.permits.items():
            if attempt_id in victims_in_progress and occupies(
                permit, machine.tasks.get(attempt_id)
            ):
                free = add_scaled(free, permit.resources)
        return free

    def _possible_victims(
        self,
        machine: Machine,
        request: CandidateRequest,
        victims_in_progress: set[AttemptId],
        now: float,
    ) -> list[PossibleVictim]:
        """The task attempts on a machine that the candidate may stop, and nobody stops yet."""
        victims: list[PossibleVictim] = []
        for attempt_id, permit in machine.permits.items():
            preemption_class = machine.preemptible.get(attempt_id)
            if (
                preemption_class is None
                or attempt_id in victims_in_progress
                or permit.gone
                or permit.refused
                or permit.stop_grace_s is not None
                or permit.evict_requested
                or not self.may_preempt(request, preemption_class)
            ):
                continue
            traits = self.inventory.job_traits.get(attempt_id.job_id)
            if traits is not None:
                cost_s = _lost_work_s(permit, traits, now)
                if traits.kind == "gang":
                    cost_s += GANG_VICTIM_COST_S
                victims.append((cost_s, attempt_id, permit.resources))
        return victims


def _gang_shape(
    request: CandidateRequest, zone: str | None, classes: set[PreemptionClass]
) -> GangShape | None:
    """The shape of a gang's request; None if it is no gang, or is limited in a way of its own."""
    job = request.job
    if job.kind != "gang" or request.zone_limits is not None or request.avoided_machines:
        return None
    return GangShape(job.resources, job.machine_types, job.zone, job.spot, zone, frozenset(classes))


def _lost_work_s(permit: Permit, traits: JobTraits, now: float) -> float:
    """Seconds of work lost if a task attempt is stopped."""
    ran_s = now - permit.running_since if permit.running_since is not None else 0.0
    if traits.checkpoint_s <= 0:
        return ran_s
    return min(ran_s, traits.preemption_grace_s or 0.5 * traits.checkpoint_s)
