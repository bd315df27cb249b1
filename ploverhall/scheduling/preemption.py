"""Preemption: selects less important work to stop, to free capacity for a candidate.

`PreemptionPlanner` applies the published rules (`may_preempt`), makes the cheapest plan for a
machine, and reserves capacity by the best plans found. It remembers which searches found too
little, and repeats them only after a machine has gained free capacity or preemptible work. The
placement pass calls it. The permit table stops the victims, once the source permits the attempt.
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
PREEMPTION_DELAY_S = 1.0  # time from stopping victims until their capacity is free
LOST_WORK_WEIGHT = 0.2  # seconds of waiting that weigh as much as a second of lost work
GANG_VICTIM_COST_S = 1000.0  # stopping one task of a gang stops all of it: a last resort
# Machines searched for a plan: the larger of a minimum and a number for each task
PREEMPTION_SAMPLE = 64
PREEMPTION_SAMPLE_PER_TASK = 4
PLANS_PER_TASK = 2  # a search ends after its sample once it has this many
WARM_SAMPLE = 24  # machines holding the image that are searched for a plan
# A search ends after this much work (machines and possible victims looked at); the next one starts
# at another machine
MAX_SEARCH_WORK = 20_000


class PreemptionPlan(NamedTuple):
    """The victims on one machine for one candidate; sorts by cost, then by machine name."""

    cost_s: float
    machine_name: str
    machine: Machine
    victims: tuple[AttemptId, ...]


# A task attempt that may be stopped: the cost in seconds of lost work, by which victims are sorted,
# the attempt and its resources. A plain tuple, since a search makes one for every task it looks at.
PossibleVictim = tuple[float, AttemptId, ResourceVector]


class ExhaustedSearch(NamedTuple):
    """The result of a search that found fewer plans than it needed."""

    generation: int  # `PreemptionIndex.generation` at the time of the search
    found: int
    zone: str | None


class GangShape(NamedTuple):
    """The properties that determine the result of a gang's search."""

    resources: ResourceVector
    machine_types: tuple[str, ...] | None
    job_zone: str | None
    spot: bool
    zone: str | None
    classes: frozenset[PreemptionClass]


NO_SEARCH = ExhaustedSearch(0, 0, None)


class PreemptionPlanner:
    """Finds work to preempt on the machines of one shard."""

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
        # Victims of admitted permits that have not left yet; the shard owner sets it
        self.victims: set[AttemptId] = set()
        # Number of machines searched for a plan; tests of how the cost scales read it
        self.checks = 0
        self.work = 0  # number of machines and possible victims looked at
        self._exhausted_by_job: dict[str, ExhaustedSearch] = {}
        self._exhausted_by_shape: dict[GangShape, ExhaustedSearch] = {}

    def forget_search(self, job_id: str) -> None:
        """Discard the result of a job's last search, because its request has changed."""
        self._exhausted_by_job.pop(job_id, None)

    def forget_all_searches(self) -> None:
        """Discard all search results, so that every job searches all machines again."""
        self._exhausted_by_job.clear()
        self._exhausted_by_shape.clear()

    # -- preemption rules --------------------------------------------------------------------

    def could_preempt(self, request: CandidateRequest) -> bool:
        """Return whether this shard has any work that the candidate may preempt."""
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
        """Return whether a candidate may preempt work of this class.

        Work that has claimed its team's guarantee is excepted from preemption by priority, unless
        the candidate is within its own team's guarantee or has the highest priority. Without the
        exception two jobs could preempt each other forever: an urgent array beyond its team's
        guarantee stops another team's work of lower priority that is within its guarantee, and that
        work then stops the array by its guarantee. Work of the highest priority is never preempted,
        so it can't be part of such a cycle.
        """
        priority, within_guarantee, team, kind, claimed = preemption_class
        if priority > request.job.priority:
            return not claimed or request.within_guarantee or request.job.priority == 0
        # To fulfil a team's guarantee only arrays are stopped, where little work is lost: stopping
        # a gang's task would stop the whole gang
        return (
            request.within_guarantee
            and not within_guarantee
            and team != request.job.team
            and kind == "array"
        )

    def victims_in_progress(self) -> set[AttemptId]:
        """Return the task attempts that are already being stopped for others, as a new set."""
        victims = {
            attempt_id
            for reservation in self.reservations.preempting.values()
            for attempt_id in reservation.victims
        } | self.victims
        self.work += len(victims)
        return victims

    # -- reserving by preemption -------------------------------------------------------------

    def reserve(
        self, request: CandidateRequest, missing: int, now: float, zone: str | None = None
    ) -> int:
        """Reserve capacity for up to `missing` candidates by preemption, and return how many.

        The cheapest plans are used first. They come from a sample of the machines with preemptible
        work, and from all of them only while the sample yields too few. After a search that found
        too little, the next one considers only machines that have gained something since: otherwise
        the cost of searches would grow with the square of the fleet.
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
        max_work = self.work + MAX_SEARCH_WORK
        plans = self._make_plans(request, machines, missing, victims_in_progress, max_work, now)
        searched_all = self.work < max_work
        max_work = self.work + MAX_SEARCH_WORK
        found = self._reserve_by_plans(request, plans, missing, victims_in_progress, max_work, now)
        if found < missing and searched_all:
            search = ExhaustedSearch(self.inventory.preemption_index.generation, found, zone)
            self._exhausted_by_job[request.job.id] = search
            if shape is not None:
                self._exhausted_by_shape[shape] = search
        return found

    def _job_is_exhausted(self, request: CandidateRequest, missing: int, zone: str | None) -> bool:
        """Return whether the job's last search found too little and no machine has gained since."""
        last = self._exhausted_by_job.get(request.job.id, NO_SEARCH)
        if last.generation < self.inventory.preemption_index.generation:
            return False
        return request.job.kind != "gang" or (last.found < missing and last.zone == zone)

    def _shape_is_exhausted(self, shape: GangShape, missing: int) -> bool:
        """Return whether a search for the same shape has just found fewer plans than needed."""
        last = self._exhausted_by_shape.get(shape)
        return (
            last is not None
            and last.generation == self.inventory.preemption_index.generation
            and last.found < missing
        )

    def _machines_to_search(
        self, request: CandidateRequest, classes: set[PreemptionClass], zone: str | None
    ) -> list[Machine]:
        """Return machines with work of these classes, rotated to start at a random one.

        For a gang these are all such machines; for other jobs, those that have gained something
        since the job's last exhausted search.
        """
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
            self.work += 1
            if machine.preemptible_since <= since:
                break  # the machines that follow have gained nothing for even longer
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
        max_work: int,
        now: float,
    ) -> list[PreemptionPlan]:
        """Return plans for a sample of the machines, and for more while there are too few plans.

        The search ends when `work` reaches `max_work`.

        Every machine that holds the image is searched first: in a large fleet a sample of all
        machines misses them, and the task would start late because it has to fetch the image.
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
            if self.work >= max_work:
                break
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
        max_work: int,
        now: float,
    ) -> int:
        """Reserve by the cheapest plans until `work` reaches `max_work`; return how many were used.

        A machine that was used is planned again, since it may have room for another candidate.
        """
        zone_limits = self.reservations.remaining_zone_limits(request)
        heapq.heapify(plans)
        found = 0
        while plans and found < missing and self.work < max_work:
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
        """Return the cheapest plan on a sample of the machines that hold the image, or None.

        Free capacity is mostly on new machines with an empty image cache. There the task fetches
        its image for longer than its user waits, while a machine that holds the image often runs
        work that has hardly begun.
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
        """Return the cheapest plan on a machine.

        None if the task fits without stopping anything, or not even by stopping all victims.
        """
        self.checks += 1
        self.work += 1 + len(machine.usage.preemptible)
        need = request.job.resources
        free, task_slots = self._free_after_victims_in_progress(machine, victims_in_progress)
        chosen: list[AttemptId] = []
        lost_work_s = 0.0
        victims = self._possible_victims(machine, request, victims_in_progress, now)
        for victim_cost_s, attempt_id, resources in sorted(victims):
            if fits(need, free) and task_slots > 0:
                break
            free = add_scaled(free, resources)
            task_slots += 1
            chosen.append(attempt_id)
            lost_work_s += victim_cost_s
        if not chosen or not fits(need, free) or task_slots <= 0:
            return None
        start_cost_s, _ = score_machine(self.inventory, request.job, machine)
        cost_s = PREEMPTION_DELAY_S + LOST_WORK_WEIGHT * lost_work_s + start_cost_s
        return PreemptionPlan(cost_s, machine.name, machine, tuple(chosen))

    def _free_after_victims_in_progress(
        self, machine: Machine, victims_in_progress: set[AttemptId]
    ) -> tuple[ResourceVector, int]:
        """Return a machine's free capacity and task slots once the victims in progress have left.

        The reservations and permits that they are stopped for are counted as used already.
        """
        free, task_slots = machine.free, machine.free_task_slots
        if victims_in_progress.isdisjoint(machine.permits):
            return free, task_slots
        for attempt_id, permit in machine.permits.items():
            if attempt_id in victims_in_progress and occupies(
                permit, machine.tasks.get(attempt_id)
            ):
                free = add_scaled(free, permit.resources)
                task_slots += 1
        return free, task_slots

    def _possible_victims(
        self,
        machine: Machine,
        request: CandidateRequest,
        victims_in_progress: set[AttemptId],
        now: float,
    ) -> list[PossibleVictim]:
        """Return the attempts on a machine that the candidate may preempt.

        Attempts that are already being stopped are left out.
        """
        victims: list[PossibleVictim] = []
        if machine.name not in self.inventory.preemption_index.candidates:
            return victims  # it was not usable at its last refresh
        for attempt_id, preemption_class in machine.usage.preemptible.items():
            permit = machine.permits[attempt_id]
            if (
                attempt_id in victims_in_progress
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
    """Return the shape of a gang's request; None for other kinds and for further limits."""
    job = request.job
    if job.kind != "gang" or request.zone_limits is not None or request.avoided_machines:
        return None
    return GangShape(job.resources, job.machine_types, job.zone, job.spot, zone, frozenset(classes))


def _lost_work_s(permit: Permit, traits: JobTraits, now: float) -> float:
    """Return the seconds of work lost if a task attempt is stopped."""
    ran_s = now - permit.running_since if permit.running_since is not None else 0.0
    if traits.checkpoint_s <= 0:
        return ran_s
    return min(ran_s, traits.preemption_grace_s or 0.5 * traits.checkpoint_s)
