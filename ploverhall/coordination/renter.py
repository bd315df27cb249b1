"""The renter: one role for the whole fleet, held by lease. Rents for what waits, returns what is idle.

No I/O: the sources' demand, the owners' machines and the cloud's list are passed in; actions come out.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from ploverhall.coordination.owner import Vec, add, fits
from ploverhall.protocol.cloud import Listed, MachineType
from ploverhall.protocol.jobs import Job, from_record

SLOT_S = 15.0  # arrivals are counted in slots of this length
Kind = tuple[str, str, bool]  # type, zone, spot
Bins = list[tuple[Kind, list[float]]]  # machines by kind, with the room left in each


@dataclass(slots=True)
class Rented:
    """A machine as far as the renter knows."""

    name: str
    kind: Kind
    since: float
    listed: str = ""  # the cloud's state for it
    age_s: float = 0.0
    view: list[Any] | None = None  # an owner's, while a worker reports
    view_at: float = 0.0
    part: int = -1
    idle_since: float | None = None
    returning: bool = False
    drain: bool = False


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

    def __init__(self, epoch: int, idle_s: float, spare: float, lag_s: float, lease_s: float, now: float) -> None:
        self.epoch = epoch
        self.idle_s, self.spare, self.lag_s, self.lease_s = idle_s, spare, lag_s, lease_s
        self.started = now
        self.types: dict[str, MachineType] = {}
        self.machines: dict[str, Rented] = {}
        self.demand: dict[int, dict[str, Any]] = {}
        self.views: dict[int, dict[str, Any]] = {}
        self.suspects: dict[str, float] = {}
        self.refused: dict[Kind, tuple[float, float]] = {}  # until, length of the last pause
        self.gone: dict[str, float] = {}
        self.lists = 0  # complete lists taken since this renter began
        self.pleas = 0
        self.arrivals: dict[str, tuple[float, Job]] = {}  # jobs of the last minutes, for the spare room
        self.wall = 0.0

    def plea(self) -> str:
        """A request name, used once."""
        self.pleas += 1
        return f"r-{self.epoch}-{self.pleas}"

    # -- inputs ------------------------------------------------------------------------------

    def on_source(self, src: int, state: dict[str, Any]) -> None:
        """A source's waiting tasks."""
        self.demand[src] = state

    def on_owner(self, part: int, state: dict[str, Any], now: float) -> None:
        """An owner's machines, and those it can't prove anything about ("?")."""
        asked = set(state.get("?") or ())
        for name in asked:
            self.suspects.setdefault(name, now)
        view = {k: v for k, v in state.items() if k != "?"}
        for name in self.views.get(part, {}):
            if name not in view and name in self.machines and self.machines[name].part == part:
                self.machines[name].view = None
                self.machines[name].view_at = now
                self.machines[name].idle_since = None
        self.views[part] = view
        for name, v in view.items():
            m = self.machines.get(name)
            if m is None:
                if name in self.gone:
                    continue
                m = self.machines[name] = Rented(name, (v[0], v[1], bool(v[2])), now)
            m.view, m.part, m.view_at = v, part, now
            if v[4]:
                m.idle_since = m.idle_since if m.idle_since is not None else now
            else:
                m.idle_since = None

    def on_job(self, job: Job, now: float) -> None:
        """A job was accepted: what comes often needs room that is ready."""
        self.arrivals[job.id] = (now, job)
        while len(self.arrivals) > 500:
            del self.arrivals[next(iter(self.arrivals))]

    def on_rented(self, names: list[str], kind: Kind, asked: int, now: float) -> None:
        """The cloud's answer to a request."""
        for name in names:
            if name not in self.machines:
                self.machines[name] = Rented(name, kind, now)
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
                m = self.machines[it.name] = Rented(it.name, (it.type, it.zone, it.spot), now - it.age_s)
            m.listed, m.age_s = it.state, it.age_s
        old = 2.0 * self.lag_s + 1.0
        for name, m in list(self.machines.items()):
            # it existed, and a list that is surely younger does not have it: it was taken or deleted
            if name not in seen and asked_at - max(m.since, m.view_at if m.view is None else asked_at) > old and m.view is None:
                self.on_gone([name], now)
        for name, since in list(self.suspects.items()):
            if name not in seen and asked_at - since > old:
                self.on_gone([name], now)

    def on_gone(self, names: list[str], now: float) -> None:
        """These machines are gone for certain."""
        for name in names:
            self.machines.pop(name, None)
            self.suspects.pop(name, None)
            self.gone[name] = now
        while len(self.gone) > 2000:
            del self.gone[next(iter(self.gone))]

    # -- decisions ---------------------------------------------------------------------------

    def plan(self, now: float, wall: float) -> Plan:
        """The difference between what is wanted and what is."""
        out = Plan()
        self.wall = wall
        self._returns(now, out)
        if self.lists and self.types:
            self._rents(now, out)
        return out

    def _returns(self, now: float, out: Plan) -> None:
        for m in self.machines.values():
            kind = self.types.get(m.kind[0])
            boot = kind.boot_s if kind else 60.0
            silent = now - max(m.since, m.view_at)
            if m.returning or m.listed == "failed":
                out.give_back.append(m.name)
            elif m.view is None and m.listed == "booting" and m.age_s > 3.5 * boot + 20:
                out.give_back.append(m.name)  # it never comes up, and is charged until it is deleted
            elif m.view is None and m.listed == "running" and silent > 60 + 2 * self.lease_s and now - self.started > 60:
                out.give_back.append(m.name)  # up, charged, and no worker reports
            elif m.view is not None and m.view[4] and m.view[5]:
                out.give_back.append(m.name)  # drained
            elif m.view is not None and m.view[7]:
                m.drain = True  # faulty: used up, then replaced
        needed = any(self._urgent(from_record(v[0])) for state in self.demand.values() for v in state.values())
        out_of_use = [
            m for m in self.machines.values()
            if m.view is not None and not m.drain and not m.returning and now - m.since > 60.0
            and ((m.idle_since is not None and now - m.idle_since > self.idle_s) or (not m.kind[2] and not m.view[8] and not needed))
        ]  # fmt: skip
        for m in sorted(out_of_use, key=lambda m: (m.idle_since is None, -self._price(m.kind), m.since)):
            # an ordinary machine that only runs work that could be on cheap ones is let go when that ends,
            # unless what is likely to come soon would miss it
            if m.kind[2] or self._enough(now, but=m.name):
                m.drain = True

    def _price(self, kind: Kind) -> float:
        t = self.types.get(kind[0])
        return 0.0 if t is None else t.spot_price if kind[2] else t.price

    def _share(self, vec: Vec, kind: MachineType) -> float:
        return max((x / c for x, c in zip(vec, kind.vec, strict=True) if c > 0), default=0.0)

    def _forecast(self, now: float) -> list[tuple[Job, int]]:
        """Tasks to keep room for: of each class that can't use cheap machines, what usually comes while one boots."""
        since = max(self.started, now - 300.0)
        span = max(60.0, now - since)
        biggest: dict[str, Job] = {}
        slots: dict[str, dict[int, int]] = {}
        for at, job in self.arrivals.values():
            if at >= since and not job.spot:
                if job.klass not in biggest or job.vec > biggest[job.klass].vec:
                    biggest[job.klass] = job
                slot = slots.setdefault(job.klass, {})
                slot[int(at / SLOT_S)] = slot.get(int(at / SLOT_S), 0) + min(job.n, 50)
        out = []
        for klass, job in biggest.items():
            # the busiest moment is left out: a lump (everyone submits when the service starts) is no rate,
            # and taking it for one rented a fleet's worth of idle machines (kazi-bodi, first minute)
            n = sum(slots[klass].values()) - max(slots[klass].values())
            boot = min((t.boot_s for t in self.types.values() if fits(job.vec, t.vec)), default=0.0)
            mean = n / span * (boot + 20.0)
            out.append((job, max(1, math.ceil(mean + self.spare * math.sqrt(mean)))))
        return sorted(out, key=lambda x: -max(x[0].vec))

    def _bins(self, now: float, but: str = "") -> tuple[Bins, Bins]:
        """Free and coming room; and the same with the room of work that may be stopped."""
        bins: Bins = []
        firm: Bins = []
        for m in self.machines.values():
            t = self.types.get(m.kind[0])
            if t is None or m.drain or m.returning or m.name == but:
                continue
            if m.view is not None:
                if not (m.view[5] or m.view[6] or m.view[7]):
                    bins.append((m.kind, list(m.view[3])))
                    firm.append((m.kind, list(m.view[9])))
            elif self._coming(m, now):
                room = list(t.vec)
                bins.append((m.kind, room))
                firm.append((m.kind, room))  # the same room, whoever takes it
        return bins, firm

    def _items(self) -> list[tuple[Any, Job, int, dict[str, int] | None]]:
        """What waits, most important first."""
        items = [(v[3], from_record(v[0]), v[1], v[2]) for state in self.demand.values() for v in state.values()]
        return sorted(items, key=lambda x: x[0])

    def _enough(self, now: float, but: str) -> bool:
        """Whether what waits and what is likely to come has room without one machine."""
        _, firm = self._bins(now, but)
        firm = [(k, r) for k, r in firm if not k[2]]
        wanted = [(job, n) for _, job, n, _ in self._items() if not job.spot] + self._forecast(now)
        return all(self._into(job, n, None, firm)[0] == 0 for job, n in wanted)

    def _urgent(self, job: Job) -> bool:
        """Whether work that may use cheap machines can't wait for one: its deadline would be missed."""
        if job.deadline_s is None:
            return self.wall - job.at > 120.0
        return self.wall + 1.3 * job.estimate_s + 60.0 > job.at + job.deadline_s

    def _coming(self, m: Rented, now: float) -> bool:
        t = self.types.get(m.kind[0])
        boot = t.boot_s if t else 60.0
        return m.view is None and not m.returning and m.listed != "failed" and (
            now - m.since < 2.5 * boot + 15 and m.view_at == 0.0)

    def _rents(self, now: float, out: Plan) -> None:
        bins, firm = self._bins(now)
        new: dict[Kind, int] = {}
        work = [(job, n, dict(z) if z is not None else None) for _, job, n, z in self._items()]
        for job, n, zones in work + [(job, n, None) for job, n in self._forecast(now)]:
            mine, other = (bins, firm) if job.spot else (firm, bins)
            before = len(mine)
            self._fill(job, n, zones, mine, new, now)
            other += mine[before:]
        out.rent = [Rent(kind, min(n, 50)) for kind, n in new.items()]

    def _paused(self, kind: Kind, now: float) -> bool:
        return self.refused.get(kind, (0.0, 0.0))[0] > now

    def _into(self, job: Job, n: int, zones: dict[str, int] | None, bins: Bins) -> tuple[int, dict[str, int] | None]:
        """Put up to n tasks into bins; what is left over, and how much each zone may still take."""
        for kind, room in bins:
            if not self._ok(job, kind):
                continue
            while n > 0 and fits(job.vec, (room[0], room[1], room[2])) and (zones is None or zones.get(kind[1], 0) > 0):
                room[:] = add((room[0], room[1], room[2]), job.vec, -1)
                n -= 1
                if zones is not None:
                    zones[kind[1]] -= 1
                    if job.one_zone:
                        zones = {z: (c if z == kind[1] else 0) for z, c in zones.items()}
        return n, zones

    def _fill(self, job: Job, n: int, zones: dict[str, int] | None, bins: Bins,
              new: dict[Kind, int], now: float) -> None:
        """Put waiting tasks into free and coming room first, then into machines to be rented."""
        n, zones = self._into(job, min(n, 2000), zones, bins)
        while n > 0:
            kind = self._choose(job, zones, new, now)
            if kind is None:
                return
            new[kind] = new.get(kind, 0) + 1
            fresh = (kind, list(self.types[kind[0]].vec))
            left, zones = self._into(job, n, zones, [fresh])
            if left == n:
                return
            n = left
            bins.append(fresh)

    def _ok(self, job: Job, kind: Kind) -> bool:
        return (job.types is None or kind[0] in job.types) and (job.zone is None or job.zone == kind[1]) and (job.spot or not kind[2])

    def _choose(self, job: Job, zones: dict[str, int] | None, new: dict[Kind, int], now: float) -> Kind | None:
        options = []
        for t in self.types.values():
            if (job.types is not None and t.name not in job.types) or not fits(job.vec, t.vec):
                continue
            per = self._share(job.vec, t)
            for z in t.zones:
                if (job.zone is not None and z != job.zone) or (zones is not None and zones.get(z, 0) <= 0):
                    continue
                for spot in (True, False) if job.spot and self._urgent(job) else (job.spot,):
                    if self._paused((t.name, z, spot), now):
                        continue
                    price = (t.spot_price if spot else t.price) * per
                    load = sum(1 for m in self.machines.values() if m.kind == (t.name, z, spot)) + new.get((t.name, z, spot), 0)
                    options.append((price, load, (t.name, z, spot)))
        return min(options)[2] if options else None

    def drains(self, part: int) -> list[str]:
        """Machines of a part that should be empty."""
        return sorted(m.name for m in self.machines.values() if m.part == part and (m.drain or m.returning))
