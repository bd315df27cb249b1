"""The renter: one role for the whole fleet, held by lease. Rents for what waits, returns what is idle.

No I/O: the sources' demand, the owners' machines and the cloud's list are passed in; actions come out.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from ploverhall.maintenance.orders import RUNNING, Order
from ploverhall.protocol.cloud import Listed, MachineType
from ploverhall.protocol.jobs import Job, from_record
from ploverhall.protocol.peer_messages import DemandNews, MachineNews
from ploverhall.scheduling.inventory import Place as Kind
from ploverhall.scheduling.inventory import Vec, add, fits
from ploverhall.scheduling.objectives import Aims

USUAL = 1.6  # times the nominal boot time: what the cloud's machines usually need at most
BOOTS_S = 300.0  # boots seen within this time count
SILENT_S = 60.0  # a machine that is up and whose worker nobody hears is given back after this and two leases
UNHEARD_S = 300.0  # where most of its zone is not heard, after this: nothing runs there any more
SOME = 4  # so many machines of a zone say something about the zone
GONE_TOLD = 300  # machines that went last: owners are told without asking
GONE_KEPT = (
    10_000  # machines known to be gone: a list that lags may still name every one of a whole fleet
)
SLOT_S = 15.0  # arrivals are counted in slots of this length


@dataclass(slots=True)
class Rented:
    """A machine as far as the renter knows."""

    name: str
    kind: Kind
    since: float
    listed: str = ""  # the cloud's state for it
    age_s: float = 0.0
    view: MachineNews | None = None  # an owner's, while a worker reports
    view_at: float = 0.0
    part: int = -1
    idle_since: float | None = None
    returning: bool = False
    drain: bool = False
    order: str | None = None  # the order that it is being emptied by


@dataclass(slots=True)
class Demand:
    """A job's tasks that wait."""

    job: Job
    n: int
    zones: dict[str, int] | None
    order: tuple[float, ...]


class Bins:
    """Room by kind of machine, alike rooms counted as one: what is put in costs by how many rooms differ."""

    def __init__(self) -> None:
        self.rooms: dict[Kind, dict[Vec, int]] = {}

    def add(self, kind: Kind, room: Vec, n: int = 1) -> None:
        """n more rooms of this size."""
        rooms = self.rooms.setdefault(kind, {})
        rooms[room] = rooms.get(room, 0) + n
        if not rooms[room]:
            del rooms[room]

    def put(self, vec: Vec, n: int, kind: Kind) -> int:
        """Put up to n alike tasks into rooms of one kind, the smallest first; how many went in."""
        rooms = self.rooms.get(kind)
        left = n
        while left > 0 and rooms:
            room = min((r for r in rooms if fits(vec, r)), default=None)
            if room is None:
                break
            # as many rooms at once as are alike and each takes all it can
            each = 1
            rest = add(room, vec, -1)
            while each < left and fits(vec, rest):
                rest = add(rest, vec, -1)
                each += 1
            times = min(rooms[room], left // each) or 1
            self.add(kind, room, -times)
            if any(x > 1e-3 for x in rest):
                self.add(kind, rest, times)
            left -= times * each
        return n - left


@dataclass(slots=True)
class Rent:
    """Rent up to count machines."""

    kind: Kind
    count: int


@dataclass(slots=True)
class Plan:
    """What the renter does now."""

    rent: list[Rent] = field(default_factory=list)
    give_back: list[str] = field(default_factory=list)


class Renter:
    """Decides what to rent and what to return."""

    def __init__(
        self, epoch: int, idle_s: float, spare: float, lag_s: float, lease_s: float, now: float
    ) -> None:
        self.epoch = epoch
        self.idle_s, self.spare, self.lag_s, self.lease_s = idle_s, spare, lag_s, lease_s
        self.started = now
        self.types: dict[str, MachineType] = {}
        self.aims = Aims()
        self.machines: dict[str, Rented] = {}
        self.demand: dict[tuple[int, str], Demand] = {}
        self.load: dict[Kind, int] = {}  # machines by kind
        self.suspects: dict[str, float] = {}
        self.asked: dict[
            int, tuple[str, ...]
        ] = {}  # by part: the machines that its owner can't prove anything about just now
        self.refused: dict[Kind, tuple[float, float]] = {}  # until, length of the last pause
        self.gone: dict[str, float] = {}
        self.lists = 0  # complete lists taken since this renter began
        self.pleas = 0
        self.arrivals: dict[
            str, tuple[float, Job]
        ] = {}  # jobs of the last minutes, for the spare room
        self.wall = self.now = 0.0
        self.orders: list[Order] = []  # to empty machines, as the store has them
        self.order_waits: dict[str, str] = {}
        self.looked = False  # it has looked at the orders, with the cloud's list at hand
        self.boots: dict[
            tuple[str, str], deque[tuple[float, float]]
        ] = {}  # by type and zone: rented and up, newest last
        self.young: dict[tuple[str, str], int] = {}  # machines that boot and are not overdue yet
        self.overdue: dict[
            tuple[str, str], int
        ] = {}  # machines that should be up, where none rented after them has come

    def plea(self) -> str:
        """A request name, used once."""
        self.pleas += 1
        return f"r-{self.epoch}-{self.pleas}"

    # -- inputs ------------------------------------------------------------------------------

    def on_source(self, src: int, full: bool, changes: dict[str, Any]) -> None:
        """A source's waiting tasks."""
        if full:
            for key in [k for k in self.demand if k[0] == src and k[1] not in changes]:
                del self.demand[key]
        for jid, value in changes.items():
            if value is None:
                self.demand.pop((src, jid), None)
            else:
                news = DemandNews(*value)
                old = self.demand.get((src, jid))
                job = old.job if old is not None else from_record(news.record)
                self.demand[src, jid] = Demand(job, news.n, news.zones, tuple(news.order))

    def on_owner(self, part: int, full: bool, changes: dict[str, Any], now: float) -> None:
        """An owner's machines, and those it can't prove anything about ("?")."""
        if full or "?" in changes:
            self.asked[part] = tuple(changes.get("?") or ())
        for name in changes.get("?") or ():
            if name not in self.gone:
                self.suspects.setdefault(name, now)
        if full:
            for m in [
                m
                for m in self.machines.values()
                if m.part == part and m.view is not None and m.name not in changes
            ]:
                self._unseen(m, now)
        for name, value in changes.items():
            if name == "?":
                continue
            known = self.machines.get(name)
            if value is None:
                if known is not None and known.part == part:
                    self._unseen(known, now)
                continue
            view = MachineNews(*value)
            if known is None:
                if name in self.gone:
                    continue
                known = self._add(Rented(name, (view.type, view.zone, bool(view.spot)), now))
            if known.view is None and not known.view_at:
                seen = self.boots.setdefault(known.kind[:2], deque(maxlen=64))
                seen.append((known.since, now))
            known.view, known.part, known.view_at = view, part, now
            if not view.empty:
                known.idle_since = None
            elif known.idle_since is None:
                known.idle_since = now

    def _unseen(self, m: Rented, now: float) -> None:
        """No worker reports from it any more."""
        if m.view is not None:
            m.view, m.view_at, m.idle_since = None, now, None

    def _add(self, m: Rented) -> Rented:
        self.machines[m.name] = m
        self.load[m.kind] = self.load.get(m.kind, 0) + 1
        return m

    def on_job(self, job: Job, now: float) -> None:
        """A job was accepted: what comes often needs room that is ready."""
        self.arrivals[job.id] = (now, job)
        while len(self.arrivals) > 500:
            del self.arrivals[next(iter(self.arrivals))]

    def on_rented(self, names: list[str], kind: Kind, asked: int, now: float) -> None:
        """The cloud's answer to a request."""
        for name in names:
            if name not in self.machines:
                self._add(Rented(name, kind, now))
        if len(names) < asked:
            self.on_refused(kind, now)
        else:
            self.refused.pop(kind, None)

    def on_refused(self, kind: Kind, now: float) -> None:
        """No capacity: remembered for a while, longer each time, and forgotten again."""
        pause = min(60.0, self.refused.get(kind, (0.0, 5.0))[1] * 1.6)
        self.refused[kind] = (now + pause, pause)

    def on_list(self, items: list[Listed], asked_at: float, now: float) -> None:
        """One complete list of the cloud; it may describe the fleet as it was up to twice the lag ago."""
        self.lists += 1
        seen = set()
        for it in items:
            seen.add(it.name)
            if it.name in self.gone:
                continue
            m = self.machines.get(it.name)
            if m is None:
                m = self._add(Rented(it.name, (it.type, it.zone, it.spot), now - it.age_s))
            m.listed, m.age_s = it.state, it.age_s
        old = 2.0 * self.lag_s + 1.0
        for name, m in list(self.machines.items()):
            # it existed, and a list that is surely younger does not have it: it was taken or deleted
            if (
                name not in seen
                and asked_at - max(m.since, m.view_at if m.view is None else asked_at) > old
                and m.view is None
            ):
                self.on_gone([name], now)
        for name, since in list(self.suspects.items()):
            if name not in seen and asked_at - since > old:
                self.on_gone([name], now)

    def on_gone(self, names: list[str], now: float) -> None:
        """These machines are gone for certain."""
        for name in names:
            m = self.machines.pop(name, None)
            if m is not None:
                self.load[m.kind] -= 1
            self.suspects.pop(name, None)
            self.gone.pop(name, None)  # the newest stand last
            self.gone[name] = now
        while len(self.gone) > GONE_KEPT:
            del self.gone[next(iter(self.gone))]

    # -- decisions ---------------------------------------------------------------------------

    def plan(self, now: float, wall: float) -> Plan:
        """The difference between what is wanted and what is."""
        out = Plan()
        self.wall, self.now = wall, now
        self._returns(now, out)
        if self.lists and self.types:
            self._rents(now, out)
            self._empty(out)
        return out

    # -- orders to empty machines ------------------------------------------------------------

    def _empty(self, out: Plan) -> None:
        """Pick the machines that are emptied next: only where what they carry has room elsewhere, else rent that room first."""
        running = {o.id: o for o in self.orders if o.state == RUNNING}
        for m in self.machines.values():
            if m.order is not None and m.order not in running and not m.returning:
                m.order = None  # paused or stopped: what has not gone back stays
        going = [m for m in self.machines.values() if m.order is not None]
        waits: dict[str, str] = {}
        for order in running.values():
            mine = sum(1 for m in going if m.order == order.id)
            left = [
                m
                for m in self.machines.values()
                if m.order is None
                and not m.returning
                and not m.drain
                and m.view is not None
                and order.matches(m.name, m.kind, m.part)
            ]
            # what another renter has begun with first, then what is empty or nearly so
            left.sort(key=self._first)
            for m in left:
                if mine >= order.at_once:
                    waits[order.id] = (
                        f"{mine} machines are being emptied, as many as it allows at once"
                    )
                    break
                missing, unrented = self._short(m, [*going, m])
                if missing > 0:
                    # work that is stopped before there is room for it waits for a machine's boot
                    kind = self._elsewhere(m.kind)
                    if kind is not None and unrented > 0:
                        out.rent.append(Rent(kind, min(unrented, order.at_once)))
                    waits[order.id] = f"what runs on {m.name} has no room elsewhere" + (
                        ", machines are rented" if kind else ""
                    )
                    break
                m.order = order.id
                going.append(m)
                mine += 1
        self.order_waits, self.looked = waits, True

    def _first(self, m: Rented) -> tuple[bool, bool, float, str]:
        v = m.view
        return (
            v is not None and v.draining != 2,
            v is not None and not v.empty,
            self._used(m),
            m.name,
        )

    def _used(self, m: Rented) -> float:
        sold = self.types.get(m.kind[0])
        if sold is None or m.view is None:
            return 0.0
        return max(
            (
                1.0 - free / all_of
                for free, all_of in zip(m.view.room, sold.vec, strict=True)
                if all_of > 0
            ),
            default=0.0,
        )

    def _short(self, m: Rented, going: list[Rented]) -> tuple[int, int]:
        """How many machines are missing for what runs on those that are being emptied, and how many of these don't boot yet.

        This one with them; whole machines' worth of room is compared, of the same type.
        """
        need = sum(self._used(g) for g in going if g.kind[0] == m.kind[0])
        names = {g.name for g in going}
        up = coming = 0.0
        for o in self.machines.values():
            if (
                o.kind[0] != m.kind[0]
                or o.name in names
                or o.drain
                or o.returning
                or self._ordered(o)
            ):
                continue
            if o.view is not None and not (o.view.draining or o.view.notice or o.view.faulty):
                up += 1.0 - self._used(o)
            elif self._booting(o):
                coming += 1.0
        missing = max(0, math.ceil(need - up - 1e-6))
        return missing, max(0, math.ceil(need - up - coming - 1e-6))

    def _ordered(self, m: Rented) -> bool:
        """Whether some order wants it empty, now or later."""
        return any(o.state == RUNNING and o.matches(m.name, m.kind, m.part) for o in self.orders)

    def _elsewhere(self, kind: Kind) -> Kind | None:
        """Where to rent room for what is moved: the same kind first, nowhere that an order closes or the cloud refuses."""
        sold = self.types.get(kind[0])
        if sold is None:
            return None
        kinds = [
            (kind[0], z, s)
            for s in (kind[2], False)
            for z in (kind[1], *sold.zones)
            if z in sold.zones
        ]
        return next(
            (k for k in kinds if not self._closed(k) and not self._paused(k, self.now)), None
        )

    def _closed(self, kind: Kind) -> bool:
        return any(o.closes(kind) for o in self.orders)

    def emptying(self, part: int) -> list[str]:
        """Machines of a part that are being emptied by order."""
        return sorted(
            m.name for m in self.machines.values() if m.part == part and m.order is not None
        )

    def progress(self) -> dict[str, dict[str, Any]]:
        """For people: how far each order is."""
        out = {}
        for o in self.orders:
            mine = [m for m in self.machines.values() if o.matches(m.name, m.kind, m.part)]
            out[o.id] = {
                "left": len(mine),
                "being_emptied": sorted(m.name for m in mine if m.order == o.id)[:20],
                "waits": self.order_waits.get(o.id, ""),
            }
        return out

    def finished(self, now: float) -> list[Order]:
        """Orders that name machines none of which is there any more. One that names a place holds until it is stopped."""
        if not self.lists or now - self.started < 2.0 * self.lag_s + 5.0:
            return []  # not all that is there has been seen yet
        return [
            o
            for o in self.orders
            if o.state == RUNNING
            and o.machines is not None
            and not any(n in self.machines for n in o.machines)
        ]

    def _unheard(self) -> set[str]:
        """Zones most of whose running machines nobody hears of: it is the way there that is broken, not the machines.

        A renter that had begun in the cut gave a whole zone back after 60 s, 230 machines with all that ran on them, five seconds before
        the cut was over (ardgael-loans-fleet, a zone cut off for 70 s: 0.57 of the replicas up in the worst 30 s). Machines that have
        died are listed as failed soon, and are given back for that.
        """
        heard: dict[str, list[int]] = {}
        for m in self.machines.values():
            if m.listed == "running" and not m.returning:
                n = heard.setdefault(m.kind[1], [0, 0])
                n[0] += 1
                n[1] += m.view is not None
        return {z for z, (n, known) in heard.items() if n >= SOME and 2 * known < n}

    def _returns(self, now: float, out: Plan) -> None:
        unheard = self._unheard()
        for m in self.machines.values():
            sold = self.types.get(m.kind[0])
            boot = sold.boot_s if sold else 60.0
            silent = now - max(m.since, m.view_at)
            if m.returning or m.listed == "failed":
                out.give_back.append(m.name)
            elif (
                m.view is None and m.listed == "booting" and m.age_s > self._patience(m, boot, now)
            ):
                out.give_back.append(
                    m.name
                )  # it never comes up, and is charged until it is deleted
            elif (
                m.view is None
                and m.listed == "running"
                and silent > SILENT_S + 2 * self.lease_s
                and now - self.started > SILENT_S
            ):
                if m.kind[1] not in unheard or min(silent, now - self.started) > UNHEARD_S:
                    out.give_back.append(m.name)  # up, charged, and no worker reports
            elif (
                m.view is not None
                and m.view.empty
                and (m.view.draining == 1 or (m.view.draining == 2 and m.order is not None))
            ):
                out.give_back.append(m.name)  # drained
            elif m.view is not None and m.view.faulty:
                m.drain = True  # faulty: used up, then replaced
        needed = any(self._urgent(d.job) for d in self.demand.values())
        out_of_use = [
            m
            for m in self.machines.values()
            if m.view is not None
            and not m.drain
            and not m.returning
            and now - m.since > 60.0
            and (
                (m.idle_since is not None and now - m.idle_since > self.idle_s)
                or (not m.kind[2] and not m.view.firm and not needed)
            )
        ]
        ordinary: dict[Kind, list[Rented]] = {}
        for m in sorted(
            out_of_use, key=lambda m: (m.idle_since is None, -self._price(m.kind), -m.since, m.name)
        ):
            # the newest go first: the others have had more time to gather images
            if m.kind[2]:
                m.drain = True
            else:
                ordinary.setdefault(m.kind, []).append(m)
        if ordinary:
            # an ordinary machine that only runs work that could be on cheap ones is let go when that ends,
            # unless what is likely to come soon would miss it
            spare = self._spare(now, {m.name for ms in ordinary.values() for m in ms})
            for kind, ms in ordinary.items():
                for m in ms[: spare.get(kind, 0)]:
                    m.drain = True

    def _price(self, kind: Kind) -> float:
        t = self.types.get(kind[0])
        return 0.0 if t is None else t.spot_price if kind[2] else t.price

    def _share(self, vec: Vec, kind: MachineType) -> float:
        return max((x / c for x, c in zip(vec, kind.vec, strict=True) if c > 0), default=0.0)

    def _prompt(self, job: Job) -> bool:
        """Whether it is expected to start sooner than a machine boots."""
        start = self.aims.of(job).start_s
        return start is not None and start < min(
            (t.boot_s for t in self.types.values()), default=0.0
        )

    def _forecast(self, now: float) -> list[tuple[Job, int]]:
        """Tasks to keep room for: of each class that can't wait for a cheap machine, what usually comes while one boots."""
        since = max(self.started, now - 300.0)
        span = max(60.0, now - since)
        biggest: dict[str, Job] = {}
        slots: dict[str, dict[int, int]] = {}
        for at, job in self.arrivals.values():
            if at >= since and (not job.spot or self._prompt(job)):
                if job.klass not in biggest or job.vec > biggest[job.klass].vec:
                    biggest[job.klass] = job
                slot = slots.setdefault(job.klass, {})
                slot[int(at / SLOT_S)] = slot.get(int(at / SLOT_S), 0) + min(job.n, 50)
        out = []
        for klass, job in biggest.items():
            # the busiest moment is left out: a lump (everyone submits when the service starts) is no rate,
            # and taking it for one rented a fleet's worth of idle machines (kazi-bodi, first minute)
            n = sum(slots[klass].values()) - max(slots[klass].values())
            boots = [
                min(self._boot((t.name, z), now) for z in t.zones)
                for t in self.types.values()
                if t.zones and fits(job.vec, t.vec)
            ]
            boot = min(boots, default=0.0)
            mean = n / span * (boot + 20.0)
            out.append((job, max(1, math.ceil(mean + self.spare * math.sqrt(mean)))))
        return sorted(out, key=lambda x: -max(x[0].vec))

    def _bins(self, now: float, but: set[str]) -> tuple[Bins, Bins]:
        """Free and coming room; and the same with the room of work that may be stopped."""
        bins, firm = Bins(), Bins()
        coming = self._count_booting(now)
        for m in self.machines.values():
            t = self.types.get(m.kind[0])
            if t is None or m.drain or m.returning or m.order is not None or m.name in but:
                continue
            if (v := m.view) is not None:
                if not (v.draining or v.notice or v.faulty):
                    bins.add(m.kind, (v.room[0], v.room[1], v.room[2]))
                    firm.add(m.kind, (v.firm_room[0], v.firm_room[1], v.firm_room[2]))
            elif coming.get(m.name):
                bins.add(m.kind, t.vec)
                firm.add(m.kind, t.vec)  # the same room, whoever takes it
        return bins, firm

    def _items(self) -> list[Demand]:
        """What waits, most important first."""
        return sorted(self.demand.values(), key=lambda d: d.order)

    def _spare(self, now: float, but: set[str]) -> dict[Kind, int]:
        """How many of these machines are in nobody's way, by kind: what waits and what is likely to come has room without them."""
        _, firm = self._bins(now, but)
        have: dict[Kind, int] = {}
        for name in sorted(
            but
        ):  # in one order in every process: it decides which kind is asked first
            place = self.machines[name].kind
            have[place] = have.get(place, 0) + 1
        wanted = [(d.job, d.n, d.zones) for d in self._items() if not d.job.spot] + [
            (job, n, None) for job, n in self._forecast(now)
        ]
        for job, n, zones in wanted:
            left = self._into(job, n, zones, firm, spot=job.spot)[0]
            for kind in have:
                if left > 0 and have[kind] > 0 and self._ok(job, kind):
                    # the machines in question take what finds no room elsewhere: so many of them stay
                    while left > 0 and have[kind] > 0:
                        have[kind] -= 1
                        firm.add(kind, self.types[kind[0]].vec)
                        left = self._into(job, left, zones, firm, spot=job.spot)[0]
        return have

    def _urgent(self, job: Job) -> bool:
        """Whether work that may use cheap machines can't wait for one: its deadline, or what its class expects, would be missed."""
        if job.deadline_s is None:
            # of an array that has time no more is asked for than has to run now, so that can't wait either
            return (
                self._prompt(job)
                or self.aims.of(job).finish_s is not None
                or self.wall - job.at > 120.0
            )
        return self.wall + 1.3 * job.estimate_s + 60.0 > job.at + job.deadline_s

    def _boot(self, place: tuple[str, str], now: float) -> float:
        """How long a machine of this type takes to come up there: the nominal time, longer where that was seen lately."""
        sold = self.types.get(place[0])
        nominal = sold.boot_s if sold else 60.0
        lately = sorted(
            up - since for since, up in list(self.boots.get(place, ()))[-8:] if now - up < BOOTS_S
        )
        return (
            nominal * min(6.0, max(1.0, lately[len(lately) // 2] / max(nominal, 1.0)))
            if lately
            else nominal
        )

    def _overtaken(self, m: Rented) -> bool:
        """Machines rented after this one have come: it is this one that is late, not all of them."""
        return sum(1 for since, _ in self.boots.get(m.kind[:2], ()) if since >= m.since - 1.0) >= 2

    def _patience(self, m: Rented, nominal: float, now: float) -> float:
        """At this age a machine that still boots is given back.

        Where nothing comes any more it is the cloud that is late, and what is given back now might have come in the next
        moment; what replaces it would come no sooner.
        """
        return (
            3.5 * self._boot(m.kind[:2], now) + 20.0 if self._overtaken(m) else 6.0 * nominal + 60.0
        )

    def _booting(self, m: Rented) -> bool:
        return m.view is None and not m.returning and m.listed != "failed" and m.view_at == 0.0

    def _late(self, place: tuple[str, str], now: float) -> bool:
        """Whether machines there come late or not at all just now."""
        sold = self.types.get(place[0])
        return self.overdue.get(place, 0) > 0 or (
            sold is not None and self._boot(place, now) > 2.0 * sold.boot_s
        )

    def late(self, now: float) -> list[tuple[str, int, float]]:
        """For people: where machines should be up and are not, how many, and the age of the oldest."""
        out: dict[str, tuple[int, float]] = {}
        for m in self.machines.values():
            if self._booting(m) and now - m.since > 2.0 * self._boot(m.kind[:2], now) + 5.0:
                n, age = out.get(f"{m.kind[0]} in {m.kind[1]}", (0, 0.0))
                out[f"{m.kind[0]} in {m.kind[1]}"] = (n + 1, max(age, now - m.since))
        return [(place, n, round(age, 1)) for place, (n, age) in sorted(out.items())]

    def _count_booting(self, now: float) -> dict[str, bool]:
        """Which booting machines to count on.

        A late one is not counted where others have overtaken it, or where another zone's machines come in time. Where all
        are late, every second one is counted as missing, so that what is rented twice stays bounded.
        """
        self.young, self.overdue = {}, {}
        late: list[tuple[Rented, float]] = []
        out: dict[str, bool] = {}
        for m in self.machines.values():
            if not self._booting(m):
                continue
            place = m.kind[:2]
            boot = self._boot(place, now)
            age = now - m.since
            if age <= USUAL * boot + 5.0:
                out[m.name] = True
                self.young[place] = self.young.get(place, 0) + 1
            elif self._overtaken(m):
                out[m.name] = age <= 2.0 * boot + 5.0
            else:
                self.overdue[place] = self.overdue.get(place, 0) + 1
                late.append((m, age / boot))
        missing = 0.0
        for m, times in late:
            elsewhere = any(
                p[0] == m.kind[0]
                and p != m.kind[:2]
                and not self._late(p, now)
                and seen
                and now - seen[-1][1] < BOOTS_S
                for p, seen in self.boots.items()
            )
            missing += 1.0 if elsewhere or times > 8.0 else 0.5
            out[m.name] = missing < 1.0
            if missing >= 1.0:
                missing -= 1.0
        return out

    def _rents(self, now: float, out: Plan) -> None:
        bins, firm = self._bins(now, set())
        new: dict[Kind, int] = {}
        work = [(d.job, d.n, dict(d.zones) if d.zones is not None else None) for d in self._items()]
        for job, n, zones in work + [(job, n, None) for job, n in self._forecast(now)]:
            # what should start at once may stop less important work, as services may
            mine, other = (bins, firm) if job.spot and not self._prompt(job) else (firm, bins)
            for kind, count in self._fill(job, n, zones, mine, new, now).items():
                other.add(kind, self.types[kind[0]].vec, count)
        out.rent = [Rent(kind, min(50, n - i)) for kind, n in new.items() for i in range(0, n, 50)]

    def _paused(self, kind: Kind, now: float) -> bool:
        return self.refused.get(kind, (0.0, 0.0))[0] > now

    def _into(
        self, job: Job, n: int, zones: dict[str, int] | None, bins: Bins, spot: bool = True
    ) -> tuple[int, dict[str, int] | None]:
        """Put up to n tasks into bins; what is left over, and how much each zone may still take."""
        kinds = sorted(
            (k for k in bins.rooms if self._ok(job, k) and (spot or not k[2])),
            key=lambda k: (not k[2], k),
        )
        for kind in kinds:
            most = n if zones is None else min(n, zones.get(kind[1], 0))
            got = bins.put(job.vec, most, kind) if most > 0 else 0
            n -= got
            if zones is not None and got:
                zones = {
                    z: c - got if z == kind[1] else 0 if job.one_zone else c
                    for z, c in zones.items()
                }
            if n <= 0:
                break
        return n, zones

    def _fill(
        self,
        job: Job,
        n: int,
        zones: dict[str, int] | None,
        bins: Bins,
        new: dict[Kind, int],
        now: float,
    ) -> dict[Kind, int]:
        """Put waiting tasks into free and coming room first, then into machines to be rented: these, by kind."""
        n, zones = self._into(job, min(n, 2000), zones, bins)
        rented: dict[Kind, int] = {}
        while n > 0:
            kind = self._choose(job, zones, new, now)
            if kind is None:
                break
            bins.add(kind, self.types[kind[0]].vec)
            got = bins.put(job.vec, n if zones is None else min(n, zones.get(kind[1], 0)), kind)
            if not got:
                break
            new[kind] = new.get(kind, 0) + 1
            rented[kind] = rented.get(kind, 0) + 1
            n -= got
            if zones is not None:
                zones = {
                    z: c - got if z == kind[1] else 0 if job.one_zone else c
                    for z, c in zones.items()
                }
        return rented

    def _ok(self, job: Job, kind: Kind) -> bool:
        return (
            (job.types is None or kind[0] in job.types)
            and (job.zone is None or job.zone == kind[1])
            and (job.spot or not kind[2])
        )

    def _choose(
        self, job: Job, zones: dict[str, int] | None, new: dict[Kind, int], now: float
    ) -> Kind | None:
        options = []
        kinds = (True, False) if job.spot and self._urgent(job) else (job.spot,)
        for t in self.types.values():
            if (job.types is not None and t.name not in job.types) or not fits(job.vec, t.vec):
                continue
            per = self._share(job.vec, t)
            for z in t.zones:
                if (job.zone is not None and z != job.zone) or (
                    zones is not None and zones.get(z, 0) <= 0
                ):
                    continue
                for spot in kinds:
                    if self._paused((t.name, z, spot), now) or self._closed((t.name, z, spot)):
                        continue
                    late = self._late((t.name, z), now)
                    missing = self.overdue.get((t.name, z), 0)
                    fresh = self.young.get((t.name, z), 0) + sum(
                        new.get((t.name, z, s), 0) for s in (True, False)
                    )
                    if missing and fresh > 2 * missing + 10:
                        continue  # more of what does not come is no help
                    price = (t.spot_price if spot else t.price) * per
                    load = self.load.get((t.name, z, spot), 0) + new.get((t.name, z, spot), 0)
                    options.append((price, late, load, (t.name, z, spot)))
        return min(options)[3] if options else None

    def gone_for(self, part: int) -> list[str]:
        """What a part's owner is told to be gone: what went last, and all of what it asks about.

        They were the last by name: the newest machines, also when they had gone long before. So where more than these had gone, an
        owner that had never heard an old machine asked for ever, and what it had run counted for its team's limit for ever.
        """
        return sorted(
            {
                *list(self.gone)[-GONE_TOLD:],
                *(n for n in self.asked.get(part, ()) if n in self.gone),
            }
        )

    def drains(self, part: int) -> list[str]:
        """Machines of a part that should be empty."""
        return sorted(
            m.name for m in self.machines.values() if m.part == part and (m.drain or m.returning)
        )
