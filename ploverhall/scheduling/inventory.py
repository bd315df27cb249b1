"""The machines of one part: what is known of each, and an index of those that have room.

Finding room must not cost a walk over the fleet: machines stand in buckets by place (type, zone,
kind) and whole units free, and only machines that something happened to are looked at again.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from ploverhall.protocol.agents import EXITED, Key, Listed, Task
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job

Vec = tuple[float, float, float]
Place = tuple[str, str, bool]  # type, zone, spot
Class = tuple[
    int, bool, str, str, bool
]  # what decides who may stop a task: rank, within its team's guarantee, team, kind, called
Level = tuple[int, int]  # whole units free, and the free cores' power of two
EPS = 1e-6
MANY = 1 << 30  # as often as anybody asks
NOTHING: Vec = (0.0, 0.0, 0.0)


def fits(need: Vec, room: Vec) -> bool:
    """Whether a task goes into that room."""
    return need[0] <= room[0] + EPS and need[1] <= room[1] + EPS and need[2] <= room[2] + EPS


def times(need: float, room: float) -> int:
    """How often an amount goes into a room: MANY where it takes nothing, or next to nothing (room / need may be infinite)."""
    return MANY if need <= 0 or need * MANY <= room else max(0, int(room / need))


def add(a: Vec, b: Vec, k: float = 1.0) -> Vec:
    """a + k*b."""
    return (a[0] + k * b[0], a[1] + k * b[1], a[2] + k * b[2])


@dataclass(slots=True)
class Permit:
    """A start that a source has written and sent here; the wanted state of one task on one machine."""

    key: Key
    src: int
    machine: str
    epoch: int  # of the owner that offered the room
    ticket: int
    vec: Vec
    image: str
    image_gb: float
    stop: float | None = None  # None: should run; else the grace it is stopped with
    run_token: int = 0  # of the last run that left, 0: none has
    run_session: int = 0
    direct: bool = False  # a run has been tried on the direct path
    killed: float | None = None  # grace of the last kill sent directly
    refused: bool = False
    gone: bool = False
    why: str = ""  # it is gone, for people
    victims: tuple[Key, ...] = ()
    ran_at: float | None = None  # when it was first seen running
    late: bool = (
        False  # it began in its job's turn, after a long wait: higher ranks don't stop it again
    )
    evict: bool = (
        False  # a gang's task whose room is needed: its source stops the whole gang in order
    )


@dataclass(slots=True)
class Ticket:
    """Room held for a candidate until it is permitted, cancelled or the hold time is over."""

    id: int
    src: int
    job: str
    machine: str
    zone: str
    until: float
    vec: Vec
    image: str
    cost: float
    victims: tuple[Key, ...] = ()
    late: bool = False  # its job has waited for long, and has its turn


@dataclass(slots=True)
class Info:
    """What is known of a job with tasks here: what stopping one of them would mean."""

    rank: int
    within: bool  # of its team's guarantee
    team: str
    kind: str
    checkpoint_s: float
    save_s: float
    spot: bool  # could be on a cheap machine
    broken: bool = False  # fails wherever it starts
    called: bool = False  # it has had work of another team stopped for its team's guarantee

    @property
    def grace(self) -> float:
        """Time to save when stopped for others: only where saving costs less than what it keeps.

        Waiting 6 s for a task that saves by itself every 10 s kept replicas from their room (ardgael-loans rough).
        """
        return self.save_s + 1.0 if self.checkpoint_s > 2.0 * self.save_s + 15.0 else 0.0

    @property
    def stop_class(self) -> Class:
        """What decides who may stop its tasks."""
        return (self.rank, self.within, self.team, self.kind, self.within and self.called)

    @property
    def yields(self) -> bool:
        """Whether its room counts as free for services."""
        return self.rank > 0 and self.spot and self.kind == "array"


@dataclass(slots=True, eq=False)
class Machine:
    """One worker as last reported, and what has been answered to it."""

    name: str
    addr: str
    type: str
    zone: str
    spot: bool
    token: int
    session: int = 0
    seq: int = 0
    seen_token: int = 0
    took: bool = False  # it has reported this owner's token
    notice_s: float | None = None
    tasks: dict[Key, Task] = field(default_factory=dict)
    listed: list[Listed] | None = None  # the list that `tasks` was made of
    last_report: float = 0.0
    last_answer: float = 0.0
    expired: bool = False  # silent for longer than its lease
    images: dict[str, float] = field(default_factory=dict)  # image -> GB, least recent first
    draining: bool = False
    cordoned: bool = False  # to be emptied by order: nothing new goes there while the order holds
    faulty_until: float = 0.0
    faulty_since: float = 0.0
    condemned: bool = False  # faulty for long enough to be given back
    faults: dict[str, float] = field(
        default_factory=dict
    )  # job -> when it failed here; without jobs that fail everywhere
    inflight: set[Key] = field(default_factory=set)  # keys of runs in an unanswered /do
    busy: bool = False  # a /do is unanswered
    direct_after: float = 0.0
    unanswered: int = 0  # direct commands in a row that it has not answered
    reported: tuple[int, int] = (
        0,
        0,
    )  # session and number of the newest report, which answers to commands may have overtaken
    copy: bool = False  # the last message was no newer than that
    sent: set[Key] = field(default_factory=set)  # keys of runs in the answer to its newest report
    doubt: int = 0  # the token that it has to show before it counts as hearing again; 0: nothing speaks against that
    doubted_at: float = 0.0
    deaf: bool = False  # it has not shown it for so long that it is taken to hear nothing
    heard_again: float = -1e9  # when that was last over
    rest_s: float = 0.0  # one that hears now and then is used again ever later
    permits: dict[Key, Permit] = field(default_factory=dict)
    tickets: dict[int, Ticket] = field(default_factory=dict)
    free: Vec = NOTHING  # as of the last look
    firm: Vec = NOTHING
    bucket: list[Machine] | None = None  # where it stands in the index
    spot_in_bucket: int = 0
    stops: dict[Key, Class] = field(
        default_factory=dict
    )  # its tasks that somebody might stop, as of the last look
    stop_classes: frozenset[Class] = frozenset()
    stop_at: int = 0  # of the fleet's counter, when it last gained such a task or room besides them

    @property
    def place(self) -> Place:
        """What it is and where."""
        return (self.type, self.zone, self.spot)


def occupies(p: Permit, t: Task | None) -> bool:
    """Whether a permit takes room on its machine, given what the machine lists of it."""
    return not p.gone and not (t.state == EXITED if t is not None else p.refused)


class Fleet:
    """Machines by name, and by room."""

    def __init__(self, report_s: float) -> None:
        self.report_s = report_s
        self.silent_s = 2.0 * report_s + 1.5  # who has said nothing for longer gets nothing new
        self.types: dict[str, MachineType] = {}
        self.machines: dict[str, Machine] = {}
        self.permits: dict[str, dict[Key, Permit]] = {}  # by machine, known or not yet
        self.proven_gone: set[str] = set()
        self.info: dict[str, Info] = {}
        self.job_vec: Callable[[str], Vec | None] = lambda jid: None
        self.index: dict[Place, dict[Level, list[Machine]]] = {}
        self.warm: dict[
            tuple[Place, str], dict[str, Machine]
        ] = {}  # machines in the index that hold an image and have a unit free
        self.holders: dict[str, dict[str, Machine]] = {}  # image -> all machines that hold it
        self.stoppable: Counter[Class] = (
            Counter()
        )  # usable machines with tasks of that class that could be stopped; none is no key
        self.stop_order: dict[
            str, Machine
        ] = {}  # these machines, the one that gained something last at the end
        self.stop_count = 0  # rises with every such gain
        self.touched: dict[str, Machine] = {}
        self.gained: dict[str, Machine] = {}  # machines with more room than at the last look
        self.remembered: dict[
            str, dict[str, float]
        ] = {}  # images that an earlier owner knew of, on machines not yet seen
        self.images_changed = False
        self.looks = self.tries = (
            0  # machines looked at, and asked for room: what the tests of growth count
        )

    # -- room --------------------------------------------------------------------------------

    def touch(self, m: Machine | None) -> None:
        """Something happened to a machine: it is looked at again before the next decision."""
        if m is not None:
            self.touched[m.name] = m

    def room(self, m: Machine) -> Vec:
        """What is free: listed, permitted and held room counted."""
        kind = self.types.get(m.type)
        if kind is None:
            return NOTHING
        free = kind.vec
        for key, p in m.permits.items():
            if occupies(p, m.tasks.get(key)):
                free = add(free, p.vec, -1)
        for key, t in m.tasks.items():
            if key not in m.permits and t.state != EXITED:
                free = add(free, self.job_vec(key[0]) or kind.vec, -1)
        for ticket in m.tickets.values():
            free = add(free, ticket.vec, -1)
        return free

    def firm_room(self, m: Machine, room: Vec) -> Vec:
        """What services could have: the room of work that may be stopped for them counts as free."""
        for key, p in m.permits.items():
            info = self.info.get(key[0])
            t = m.tasks.get(key)
            if (
                info is not None
                and info.yields
                and not p.gone
                and not p.refused
                and (t is None or t.state != EXITED)
            ):
                room = add(room, p.vec)
        return room

    def unusable(self, m: Machine, now: float) -> bool:
        """Whether nothing new may go there."""
        return (
            m.expired
            or m.draining
            or m.cordoned
            or m.notice_s is not None
            or not m.took
            or m.faulty_until > now
            or now - m.last_report > self.silent_s
            or m.name in self.proven_gone
            or m.doubt > 0
            or now < m.heard_again + m.rest_s
        )

    # -- the index ---------------------------------------------------------------------------

    def units(self, vec: Vec, kind: MachineType) -> int:
        """Whole units in an amount: accelerators where the type has them, else cores."""
        return max(0, int(vec[1] + EPS if kind.gpus > 0 else vec[0] + EPS))

    def cores(self, vec: Vec) -> int:
        """The power of two of an amount of cores, in quarters: work without accelerators walked over machines with no core free."""
        return int(max(0.0, vec[0]) * 4 + EPS).bit_length()

    def look(self, m: Machine, now: float) -> None:
        """Bring the index up to date with one machine."""
        self.looks += 1
        before, indexed = m.free, m.bucket is not None
        m.free = self.room(m)
        m.firm = self.firm_room(m, m.free)
        kind = self.types.get(m.type)
        if kind is None or self.machines.get(m.name) is not m or self.unusable(m, now):
            self._unindex(m)
            self._set_stops(m, {}, False)
            return
        units = self.units(m.free, kind)
        bucket = self.index.setdefault(m.place, {}).setdefault((units, self.cores(m.free)), [])
        if m.bucket is not bucket:
            self._unindex(m)
            m.bucket, m.spot_in_bucket = bucket, len(bucket)
            bucket.append(m)
            if units > 0:
                for image in m.images:
                    self.warm.setdefault((m.place, image), {})[m.name] = m
        grew = not indexed or any(a > b + EPS for a, b in zip(m.free, before, strict=True))
        if grew:
            self.gained[m.name] = m
        self._set_stops(m, self._stops(m), grew)

    def _stops(self, m: Machine) -> dict[Key, Class]:
        """The tasks on a machine that somebody might stop to make room."""
        out: dict[Key, Class] = {}
        for key, p in m.permits.items():
            info = self.info.get(key[0])
            if info is None or info.rank == 0 or info.kind == "service":
                continue  # a replica is never stopped for others: its user feels it at once
            t = m.tasks.get(key)
            if (
                t is not None
                and t.state in ("running", "fetching")
                and not (p.gone or p.refused or p.stop is not None or p.evict)
            ):
                out[key] = (0, *info.stop_class[1:]) if p.late else info.stop_class
        return out

    def _set_stops(self, m: Machine, stops: dict[Key, Class], grew: bool) -> None:
        """Keep the index of what could be stopped; who found no way is asked again only for machines that gained."""
        if stops != m.stops:
            grew = grew or any(m.stops.get(k) != c for k, c in stops.items())
            classes = frozenset(stops.values())
            for c in m.stop_classes - classes:
                self.stoppable[c] -= 1
                if not self.stoppable[c]:
                    del self.stoppable[c]
            self.stoppable.update(classes - m.stop_classes)
            m.stops, m.stop_classes = stops, classes
        if not stops:
            self.stop_order.pop(m.name, None)
        elif grew or m.name not in self.stop_order:
            self.stop_count += 1
            m.stop_at = self.stop_count
            self.stop_order.pop(m.name, None)
            self.stop_order[m.name] = m

    def _unindex(self, m: Machine) -> None:
        if m.bucket is None:
            return
        last = m.bucket.pop()
        if last is not m:
            m.bucket[m.spot_in_bucket] = last
            last.spot_in_bucket = m.spot_in_bucket
        m.bucket = None
        for image in m.images:
            self._cool(m, image)

    def _cool(self, m: Machine, image: str) -> None:
        key = (m.place, image)
        if (holders := self.warm.get(key)) is not None:
            holders.pop(m.name, None)
            if not holders:
                del self.warm[key]

    def _unhold(self, m: Machine, image: str) -> None:
        if (holders := self.holders.get(image)) is not None:
            holders.pop(m.name, None)
            if not holders:
                del self.holders[image]

    def settle(self, now: float) -> list[Machine]:
        """Look at every machine that something happened to."""
        touched, self.touched = list(self.touched.values()), {}
        for m in touched:
            self.look(m, now)
        return touched

    def remove(self, m: Machine) -> None:
        """The machine is not known any more."""
        self._unindex(m)
        self._set_stops(m, {}, False)
        for image in m.images:
            self._unhold(m, image)
        self.machines.pop(m.name, None)
        self.touched.pop(m.name, None)
        self.gained.pop(m.name, None)

    # -- images ------------------------------------------------------------------------------

    def has_image(self, m: Machine, image: str, gb: float) -> None:
        """A machine was seen with an image: the most recent one it holds."""
        new = image not in m.images
        self.images_changed = self.images_changed or new
        m.images.pop(image, None)
        m.images[image] = gb
        self.holders.setdefault(image, {})[m.name] = m
        kind = self.types.get(m.type)
        if new and m.bucket is not None and kind is not None and self.units(m.free, kind) > 0:
            self.warm.setdefault((m.place, image), {})[m.name] = m
        while m.images and sum(m.images.values()) > (kind.cache_gb if kind else 0.0):
            old = next(iter(m.images))
            del m.images[old]
            self._cool(m, old)
            self._unhold(m, old)

    def remember(self, images: dict[str, dict[str, float]]) -> None:
        """What an earlier owner knew: older than what has been seen since."""
        for name, held in images.items():
            m = self.machines.get(name)
            if m is None:
                self.remembered[name] = held
            else:
                self._unindex(m)
                self.stock(
                    m, {**{i: gb for i, gb in held.items() if i not in m.images}, **m.images}
                )
                self.touch(m)

    def stock(self, m: Machine, images: dict[str, float]) -> None:
        """These are a machine's images; it is not in the index."""
        m.images = images
        for image in images:
            self.holders.setdefault(image, {})[m.name] = m

    # -- finding room ------------------------------------------------------------------------

    def places(self, job: Job) -> list[Place]:
        """Where a job may run, as the workers themselves report type, zone and kind."""
        return [
            p
            for p in self.index
            if (job.types is None or p[0] in job.types)
            and (job.zone is None or job.zone == p[1])
            and (job.spot or not p[2])
        ]

    def at_most(self, vec: Vec, places: Iterable[Place]) -> int:
        """No more tasks than this fit there: a bound read off the index, without looking at a machine."""
        n = 0
        for place in places:
            kind = self.types[place[0]]
            need, cores = self.units(vec, kind), self.cores(vec)
            for (units, level), bucket in self.index[place].items():
                if units >= need and level >= cores:
                    each = units // need if need else 1000
                    n += len(bucket) * min(each, times(vec[0], 2.0**level / 4 + EPS * vec[0]))
        return n

    def find(
        self, job: Job, places: list[Place], avoid: frozenset[str], sample: int, rng: Random
    ) -> list[Machine]:
        """A sample of the machines with room for a task, the fullest first, and of those that hold its image besides."""
        vec = job.vec
        out: list[Machine] = []
        seen: set[str] = set()

        def take(pool: list[Machine], most: int) -> None:
            """Up to `most` that fit; all are tried only when the first tries found nothing."""
            start = rng.randrange(len(pool))
            found = 0
            for i in range(len(pool)):
                m = pool[(start + i) % len(pool)]
                self.tries += 1
                if m.name not in seen and fits(vec, m.free) and m.name not in avoid:
                    seen.add(m.name)
                    out.append(m)
                    found += 1
                if found >= most or (found and i >= 4 * most):
                    return

        for place in places:
            if (warm := self.warm.get((place, job.image))) is not None:
                take(list(warm.values()), sample)
        for place in places:
            need, cores = self.units(vec, self.types[place[0]]), self.cores(vec)
            levels = self.index[place]
            before = len(out)
            for level in sorted(levels):
                if level[0] >= need and level[1] >= cores and levels[level]:
                    take(levels[level], sample)
                    if len(out) - before >= 2 * sample:
                        break
        return out
