"""The machines of one part: what is known of each, and an index of those that have room.

Finding room must not cost a walk over the fleet: machines stand in buckets by place (type, zone,
kind) and whole units free, and only machines that something happened to are looked at again.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from ploverhall.protocol.agents import EXITED, AttemptId, ListedTask, TaskStatus
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job

ResourceVector = tuple[float, float, float]
MachinePool = tuple[str, str, bool]  # type, zone, spot
# What decides who may stop a task: rank, within its team's guarantee, team, kind, called
PreemptionClass = tuple[int, bool, str, str, bool]
CapacityLevel = tuple[int, int]  # whole units free, and the free cores' power of two
EPSILON = 1e-6
UNBOUNDED = 1 << 30  # as often as anybody asks
NO_RESOURCES: ResourceVector = (0.0, 0.0, 0.0)


def fits(need: ResourceVector, free: ResourceVector) -> bool:
    """Whether a task goes into that room."""
    return (
        need[0] <= free[0] + EPSILON
        and need[1] <= free[1] + EPSILON
        and need[2] <= free[2] + EPSILON
    )


def max_count(need: float, free: float) -> int:
    """How often an amount goes into a room: MANY where it takes nothing, or next to nothing (room / need may be infinite)."""
    return UNBOUNDED if need <= 0 or need * UNBOUNDED <= free else max(0, int(free / need))


def add_scaled(a: ResourceVector, b: ResourceVector, factor: float = 1.0) -> ResourceVector:
    """a + k*b."""
    return (a[0] + factor * b[0], a[1] + factor * b[1], a[2] + factor * b[2])


@dataclass(slots=True)
class Permit:
    """A start that a source has written and sent here; the wanted state of one task on one machine."""

    attempt_id: AttemptId
    source_shard: int
    machine: str
    epoch: int  # of the owner that offered the room
    reservation_id: int
    resources: ResourceVector
    image: str
    image_gb: float
    stop_grace_s: float | None = None  # None: should run; else the grace it is stopped with
    run_token: int = 0  # of the last run that left, 0: none has
    run_incarnation: int = 0
    run_sent_directly: bool = False  # a run has been tried on the direct path
    kill_sent_grace_s: float | None = None  # grace of the last kill sent directly
    refused: bool = False
    gone: bool = False
    gone_reason: str = ""  # it is gone, for people
    victims: tuple[AttemptId, ...] = ()
    running_since: float | None = None  # when it was first seen running
    # It began in its job's turn, after a long wait: higher ranks don't stop it again
    overdue: bool = False
    # A gang's task whose room is needed: its source stops the whole gang in order
    evict_requested: bool = False


@dataclass(slots=True)
class Reservation:
    """Room held for a candidate until it is permitted, cancelled or the hold time is over."""

    id: int
    source_shard: int
    job_id: str
    machine: str
    zone: str
    expires_at: float
    resources: ResourceVector
    image: str
    cost: float
    victims: tuple[AttemptId, ...] = ()
    overdue: bool = False  # its job has waited for long, and has its turn


@dataclass(slots=True)
class JobTraits:
    """What is known of a job with tasks here: what stopping one of them would mean."""

    priority: int
    within_guarantee: bool  # of its team's guarantee
    team: str
    kind: str
    checkpoint_s: float
    save_s: float
    spot_allowed: bool  # could be on a cheap machine
    failing_everywhere: bool = False  # fails wherever it starts
    # It has had work of another team stopped for its team's guarantee
    claimed_guarantee: bool = False

    @property
    def preemption_grace_s(self) -> float:
        """Time to save when stopped for others: only where saving costs less than what it keeps.

        Waiting 6 s for a task that saves by itself every 10 s kept replicas from their room (ardgael-loans rough).
        """
        return self.save_s + 1.0 if self.checkpoint_s > 2.0 * self.save_s + 15.0 else 0.0

    @property
    def preemption_class(self) -> PreemptionClass:
        """What decides who may stop its tasks."""
        return (
            self.priority,
            self.within_guarantee,
            self.team,
            self.kind,
            self.within_guarantee and self.claimed_guarantee,
        )

    @property
    def yields_to_services(self) -> bool:
        """Whether its room counts as free for services."""
        return self.priority > 0 and self.spot_allowed and self.kind == "array"


@dataclass(slots=True, eq=False)
class Machine:
    """One worker as last reported, and what has been answered to it."""

    name: str
    address: str
    type: str
    zone: str
    spot: bool
    token: int
    incarnation: int = 0
    sequence: int = 0
    seen_token: int = 0
    accepted_token: bool = False  # it has reported this owner's token
    termination_notice_s: float | None = None
    tasks: dict[AttemptId, TaskStatus] = field(default_factory=dict)
    listed_tasks: list[ListedTask] | None = None  # the list that `tasks` was made of
    last_heartbeat_at: float = 0.0
    last_answer_at: float = 0.0
    lease_expired: bool = False  # silent for longer than its lease
    images: dict[str, float] = field(default_factory=dict)  # image -> GB, least recent first
    draining: bool = False
    cordoned: bool = False  # to be emptied by order: nothing new goes there while the order holds
    quarantined_until: float = 0.0
    quarantined_since: float = 0.0
    replacement_due: bool = False  # faulty for long enough to be given back
    # Job -> when it failed here; without jobs that fail everywhere
    failures_by_job: dict[str, float] = field(default_factory=dict)
    inflight_runs: set[AttemptId] = field(default_factory=set)  # keys of runs in an unanswered /do
    command_pending: bool = False  # a /do is unanswered
    next_command_at: float = 0.0
    unanswered_commands: int = 0  # direct commands in a row that it has not answered
    # Session and number of the newest report, which answers to commands may have overtaken
    newest_heartbeat: tuple[int, int] = (
        0,
        0,
    )
    stale_heartbeat: bool = False  # the last message was no newer than that
    # Keys of runs in the answer to its newest report
    runs_in_answer: set[AttemptId] = field(default_factory=set)
    # The token that it has to show before it counts as hearing again; 0: nothing speaks against
    # that
    awaited_token: int = 0
    awaited_since: float = 0.0
    not_receiving: bool = False  # it has not shown it for so long that it is taken to hear nothing
    receiving_again_at: float = -1e9  # when that was last over
    flap_backoff_s: float = 0.0  # one that hears now and then is used again ever later
    permits: dict[AttemptId, Permit] = field(default_factory=dict)
    reservations: dict[int, Reservation] = field(default_factory=dict)
    free: ResourceVector = NO_RESOURCES  # as of the last look
    free_for_services: ResourceVector = NO_RESOURCES
    index_bucket: list[Machine] | None = None  # where it stands in the index
    index_position: int = 0
    # Its tasks that somebody might stop, as of the last look
    preemptible: dict[AttemptId, PreemptionClass] = field(default_factory=dict)
    preemptible_classes: frozenset[PreemptionClass] = frozenset()
    # Of the fleet's counter, when it last gained such a task or room besides them
    preemptible_since: int = 0

    @property
    def pool(self) -> MachinePool:
        """What it is and where."""
        return (self.type, self.zone, self.spot)


def occupies(permit: Permit, task: TaskStatus | None) -> bool:
    """Whether a permit takes room on its machine, given what the machine lists of it."""
    return not permit.gone and not (task.state == EXITED if task is not None else permit.refused)


class Inventory:
    """Machines by name, and by room."""

    def __init__(self, heartbeat_interval_s: float) -> None:
        self.heartbeat_interval_s = heartbeat_interval_s
        # Who has said nothing for longer gets nothing new
        self.unresponsive_after_s = 2.0 * heartbeat_interval_s + 1.5
        self.machine_types: dict[str, MachineType] = {}
        self.machines: dict[str, Machine] = {}
        # By machine, known or not yet
        self.permits_by_machine: dict[str, dict[AttemptId, Permit]] = {}
        self.proven_gone: set[str] = set()
        self.job_traits: dict[str, JobTraits] = {}
        self.resources_of_job: Callable[[str], ResourceVector | None] = lambda job_id: None
        self.capacity_index: dict[MachinePool, dict[CapacityLevel, list[Machine]]] = {}
        # Machines in the index that hold an image and have a unit free
        self.warm_machines: dict[tuple[MachinePool, str], dict[str, Machine]] = {}
        self.image_holders: dict[str, dict[str, Machine]] = {}  # image -> all machines that hold it
        # Usable machines with tasks of that class that could be stopped; none is no key
        self.preemptible_classes: Counter[PreemptionClass] = Counter()
        # These machines, the one that gained something last at the end
        self.preemption_candidates: dict[str, Machine] = {}
        self.preemption_generation = 0  # rises with every such gain
        self.changed_machines: dict[str, Machine] = {}
        # Machines with more room than at the last look
        self.machines_with_gains: dict[str, Machine] = {}
        # Images that an earlier owner knew of, on machines not yet seen
        self.remembered_images: dict[str, dict[str, float]] = {}
        self.images_changed = False
        # Machines looked at, and asked for room: what the tests of growth count
        self.refresh_count = self.fit_checks = 0

    # -- room --------------------------------------------------------------------------------

    def mark_changed(self, machine: Machine | None) -> None:
        """Something happened to a machine: it is looked at again before the next decision."""
        if machine is not None:
            self.changed_machines[machine.name] = machine

    def free_capacity(self, machine: Machine) -> ResourceVector:
        """What is free: listed, permitted and held room counted."""
        machine_type = self.machine_types.get(machine.type)
        if machine_type is None:
            return NO_RESOURCES
        free = machine_type.resources
        for key, permit in machine.permits.items():
            if occupies(permit, machine.tasks.get(key)):
                free = add_scaled(free, permit.resources, -1)
        for key, task in machine.tasks.items():
            if key not in machine.permits and task.state != EXITED:
                free = add_scaled(free, self.resources_of_job(key[0]) or machine_type.resources, -1)
        for ticket in machine.reservations.values():
            free = add_scaled(free, ticket.resources, -1)
        return free

    def capacity_for_services(self, machine: Machine, free: ResourceVector) -> ResourceVector:
        """What services could have: the room of work that may be stopped for them counts as free."""
        for key, permit in machine.permits.items():
            info = self.job_traits.get(key[0])
            task = machine.tasks.get(key)
            if (
                info is not None
                and info.yields_to_services
                and not permit.gone
                and not permit.refused
                and (task is None or task.state != EXITED)
            ):
                free = add_scaled(free, permit.resources)
        return free

    def unusable(self, machine: Machine, now: float) -> bool:
        """Whether nothing new may go there."""
        return (
            machine.lease_expired
            or machine.draining
            or machine.cordoned
            or machine.termination_notice_s is not None
            or not machine.accepted_token
            or machine.quarantined_until > now
            or now - machine.last_heartbeat_at > self.unresponsive_after_s
            or machine.name in self.proven_gone
            or machine.awaited_token > 0
            or now < machine.receiving_again_at + machine.flap_backoff_s
        )

    # -- the index ---------------------------------------------------------------------------

    def whole_units(self, resources: ResourceVector, machine_type: MachineType) -> int:
        """Whole units in an amount: accelerators where the type has them, else cores."""
        return max(
            0, int(resources[1] + EPSILON if machine_type.gpus > 0 else resources[0] + EPSILON)
        )

    def core_level(self, resources: ResourceVector) -> int:
        """The power of two of an amount of cores, in quarters: work without accelerators walked over machines with no core free."""
        return int(max(0.0, resources[0]) * 4 + EPSILON).bit_length()

    def refresh(self, machine: Machine, now: float) -> None:
        """Bring the index up to date with one machine."""
        self.refresh_count += 1
        before, indexed = machine.free, machine.index_bucket is not None
        machine.free = self.free_capacity(machine)
        machine.free_for_services = self.capacity_for_services(machine, machine.free)
        machine_type = self.machine_types.get(machine.type)
        if (
            machine_type is None
            or self.machines.get(machine.name) is not machine
            or self.unusable(machine, now)
        ):
            self._unindex(machine)
            self._update_preemptible(machine, {}, False)
            return
        units = self.whole_units(machine.free, machine_type)
        bucket = self.capacity_index.setdefault(machine.pool, {}).setdefault(
            (units, self.core_level(machine.free)), []
        )
        if machine.index_bucket is not bucket:
            self._unindex(machine)
            machine.index_bucket, machine.index_position = bucket, len(bucket)
            bucket.append(machine)
            if units > 0:
                for image in machine.images:
                    self.warm_machines.setdefault((machine.pool, image), {})[machine.name] = machine
        grew = not indexed or any(
            a > b + EPSILON for a, b in zip(machine.free, before, strict=True)
        )
        if grew:
            self.machines_with_gains[machine.name] = machine
        self._update_preemptible(machine, self._preemptible_tasks(machine), grew)

    def _preemptible_tasks(self, machine: Machine) -> dict[AttemptId, PreemptionClass]:
        """The tasks on a machine that somebody might stop to make room."""
        out: dict[AttemptId, PreemptionClass] = {}
        for key, permit in machine.permits.items():
            info = self.job_traits.get(key[0])
            if info is None or info.priority == 0 or info.kind == "service":
                continue  # a replica is never stopped for others: its user feels it at once
            task = machine.tasks.get(key)
            if (
                task is not None
                and task.state in ("running", "fetching")
                and not (
                    permit.gone
                    or permit.refused
                    or permit.stop_grace_s is not None
                    or permit.evict_requested
                )
            ):
                out[key] = (
                    (0, *info.preemption_class[1:]) if permit.overdue else info.preemption_class
                )
        return out

    def _update_preemptible(
        self, machine: Machine, preemptible: dict[AttemptId, PreemptionClass], gained: bool
    ) -> None:
        """Keep the index of what could be stopped; who found no way is asked again only for machines that gained."""
        if preemptible != machine.preemptible:
            gained = gained or any(
                machine.preemptible.get(attempt_id) != preemption_class
                for attempt_id, preemption_class in preemptible.items()
            )
            classes = frozenset(preemptible.values())
            for preemption_class in machine.preemptible_classes - classes:
                self.preemptible_classes[preemption_class] -= 1
                if not self.preemptible_classes[preemption_class]:
                    del self.preemptible_classes[preemption_class]
            self.preemptible_classes.update(classes - machine.preemptible_classes)
            machine.preemptible = preemptible
            machine.preemptible_classes = classes
        if not preemptible:
            self.preemption_candidates.pop(machine.name, None)
        elif gained or machine.name not in self.preemption_candidates:
            self.preemption_generation += 1
            machine.preemptible_since = self.preemption_generation
            self.preemption_candidates.pop(machine.name, None)
            self.preemption_candidates[machine.name] = machine

    def _unindex(self, machine: Machine) -> None:
        if machine.index_bucket is None:
            return
        last = machine.index_bucket.pop()
        if last is not machine:
            machine.index_bucket[machine.index_position] = last
            last.index_position = machine.index_position
        machine.index_bucket = None
        for image in machine.images:
            self._remove_warm(machine, image)

    def _remove_warm(self, machine: Machine, image: str) -> None:
        key = (machine.pool, image)
        if (holders := self.warm_machines.get(key)) is not None:
            holders.pop(machine.name, None)
            if not holders:
                del self.warm_machines[key]

    def _remove_holder(self, machine: Machine, image: str) -> None:
        if (holders := self.image_holders.get(image)) is not None:
            holders.pop(machine.name, None)
            if not holders:
                del self.image_holders[image]

    def refresh_changed(self, now: float) -> list[Machine]:
        """Look at every machine that something happened to."""
        touched, self.changed_machines = list(self.changed_machines.values()), {}
        for machine in touched:
            self.refresh(machine, now)
        return touched

    def remove(self, machine: Machine) -> None:
        """The machine is not known any more."""
        self._unindex(machine)
        self._update_preemptible(machine, {}, False)
        for image in machine.images:
            self._remove_holder(machine, image)
        self.machines.pop(machine.name, None)
        self.changed_machines.pop(machine.name, None)
        self.machines_with_gains.pop(machine.name, None)

    # -- images ------------------------------------------------------------------------------

    def record_image(self, machine: Machine, image: str, gb: float) -> None:
        """A machine was seen with an image: the most recent one it holds."""
        new = image not in machine.images
        self.images_changed = self.images_changed or new
        machine.images.pop(image, None)
        machine.images[image] = gb
        self.image_holders.setdefault(image, {})[machine.name] = machine
        machine_type = self.machine_types.get(machine.type)
        if (
            new
            and machine.index_bucket is not None
            and machine_type is not None
            and self.whole_units(machine.free, machine_type) > 0
        ):
            self.warm_machines.setdefault((machine.pool, image), {})[machine.name] = machine
        while machine.images and sum(machine.images.values()) > (
            machine_type.image_cache_gb if machine_type else 0.0
        ):
            old = next(iter(machine.images))
            del machine.images[old]
            self._remove_warm(machine, old)
            self._remove_holder(machine, old)

    def restore_images(self, images: dict[str, dict[str, float]]) -> None:
        """What an earlier owner knew: older than what has been seen since."""
        for name, held in images.items():
            machine = self.machines.get(name)
            if machine is None:
                self.remembered_images[name] = held
            else:
                self._unindex(machine)
                self.set_images(
                    machine,
                    {
                        **{i: gb for i, gb in held.items() if i not in machine.images},
                        **machine.images,
                    },
                )
                self.mark_changed(machine)

    def set_images(self, machine: Machine, images: dict[str, float]) -> None:
        """These are a machine's images; it is not in the index."""
        machine.images = images
        for image in images:
            self.image_holders.setdefault(image, {})[machine.name] = machine

    # -- finding room ------------------------------------------------------------------------

    def allowed_pools(self, job: Job) -> list[MachinePool]:
        """Where a job may run, as the workers themselves report type, zone and kind."""
        return [
            pool
            for pool in self.capacity_index
            if (job.machine_types is None or pool[0] in job.machine_types)
            and (job.zone is None or job.zone == pool[1])
            and (job.spot or not pool[2])
        ]

    def max_tasks(self, resources: ResourceVector, pools: Iterable[MachinePool]) -> int:
        """No more tasks than this fit there: a bound read off the index, without looking at a machine."""
        count = 0
        for place in pools:
            machine_type = self.machine_types[place[0]]
            need, cores = self.whole_units(resources, machine_type), self.core_level(resources)
            for (units, level), bucket in self.capacity_index[place].items():
                if units >= need and level >= cores:
                    each = units // need if need else 1000
                    count += len(bucket) * min(
                        each, max_count(resources[0], 2.0**level / 4 + EPSILON * resources[0])
                    )
        return count

    def find_machines(
        self, job: Job, pools: list[MachinePool], avoided: frozenset[str], sample: int, rng: Random
    ) -> list[Machine]:
        """A sample of the machines with room for a task, the fullest first, and of those that hold its image besides."""
        resources = job.resources
        out: list[Machine] = []
        seen: set[str] = set()

        def take(pool: list[Machine], most: int) -> None:
            """Up to `most` that fit; all are tried only when the first tries found nothing."""
            start = rng.randrange(len(pool))
            found = 0
            for i in range(len(pool)):
                machine = pool[(start + i) % len(pool)]
                self.fit_checks += 1
                if (
                    machine.name not in seen
                    and fits(resources, machine.free)
                    and machine.name not in avoided
                ):
                    seen.add(machine.name)
                    out.append(machine)
                    found += 1
                if found >= most or (found and i >= 4 * most):
                    return

        for place in pools:
            if (warm := self.warm_machines.get((place, job.image))) is not None:
                take(list(warm.values()), sample)
        for place in pools:
            need, cores = (
                self.whole_units(resources, self.machine_types[place[0]]),
                self.core_level(resources),
            )
            levels = self.capacity_index[place]
            before = len(out)
            for level in sorted(levels):
                if level[0] >= need and level[1] >= cores and levels[level]:
                    take(levels[level], sample)
                    if len(out) - before >= 2 * sample:
                        break
        return out
