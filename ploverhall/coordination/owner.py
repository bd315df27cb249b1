"""The owner of one part of the fleet: holds room for candidates, starts what is permitted, tells what became of it.

No I/O: reports, boards and the clock are passed in; commands and boards come out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ploverhall.protocol import workers
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job, from_record
from ploverhall.protocol.workers import EXITED, Key, Report, Task

TOKEN_BITS = 20
Vec = tuple[float, float, float]
EPS = 1e-6


def fits(need: Vec, room: Vec) -> bool:
    """Whether a task goes into that room."""
    return need[0] <= room[0] + EPS and need[1] <= room[1] + EPS and need[2] <= room[2] + EPS


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
    victims: tuple[Key, ...] = ()
    ran_at: float | None = None  # when it was first seen running
    evict: bool = False  # a gang's task whose room is needed: its source stops the whole gang in order


@dataclass(slots=True)
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
    last_report: float = 0.0
    last_answer: float = 0.0
    first: float = 0.0
    expired: bool = False  # silent for longer than its lease
    images: dict[str, float] = field(default_factory=dict)  # image -> GB, least recent first
    draining: bool = False
    faulty_until: float = 0.0
    faults: dict[str, float] = field(default_factory=dict)  # job -> when it failed here
    inflight: set[Key] = field(default_factory=set)  # keys of runs in an unanswered /do
    busy: bool = False  # a /do is unanswered
    direct_after: float = 0.0
    permits: dict[Key, Permit] = field(default_factory=dict)
    tickets: dict[int, Ticket] = field(default_factory=dict)


@dataclass(slots=True)
class Ticket:
    """Room held for a candidate until it is permitted, cancelled or the hold time is over."""

    id: int
    job: str
    machine: str
    until: float
    vec: Vec
    image: str
    cost: float
    victims: tuple[Key, ...] = ()


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

    @property
    def grace(self) -> float:
        """Time to save when stopped for others: only where saving costs less than what it keeps.

        Waiting 6 s for a task that saves by itself every 10 s kept replicas from their room (ardgael-loans rough).
        """
        return self.save_s + 1.0 if self.checkpoint_s > 2.0 * self.save_s + 15.0 else 0.0


@dataclass(slots=True)
class Want:
    """What a source wants placed: a candidate for each waiting task of a job."""

    src: int
    job: Job
    n: int
    zones: dict[str, int] | None
    order: tuple[float, ...]
    avoid: frozenset[str]
    within: bool


class Owner:
    """Decides for the machines of one part."""

    def __init__(self, part: int, epoch: int, sources: int, lease_s: float, report_s: float, hold_s: float, sample: int,
                 rng: Random, now: float) -> None:
        self.part, self.epoch, self.sources = part, epoch, sources
        self.lease_s, self.report_s, self.hold_s, self.sample = lease_s, report_s, hold_s, sample
        self.rng = rng
        self.started = now
        self.machines: dict[str, Machine] = {}
        self.types: dict[str, MachineType] = {}
        self.wants: dict[str, Want] = {}
        self.permits: dict[Key, Permit] = {}
        self.by_job: dict[str, dict[Key, Permit]] = {}
        self.tickets: dict[str, dict[int, Ticket]] = {}
        self.info: dict[str, Info] = {}
        self.synced: set[int] = set()
        self.drain: set[str] = set()
        self.proven_gone: set[str] = set()
        self.next_ticket = 1
        self.dirty_jobs: set[str] = set()
        self.dirty = True
        self.deposed_by = 0
        self.job_over: Callable[[str], bool] = lambda jid: False  # by this node's own copy of the store
        self.job_vec: Callable[[str], Vec | None] = lambda jid: None

    # -- what sources want -------------------------------------------------------------------

    def on_source(self, src: int, full: bool, changes: dict[str, Any], now: float) -> None:
        """A source's board: per job the wanted number, the permits here and how they should stop."""
        if full:
            self.synced.add(src)
            mine = {j for j, w in self.wants.items() if w.src == src}
            mine |= {p.key[0] for p in self.permits.values() if p.src == src}
            for job in mine - changes.keys():
                self._job(src, job, None, now)
        for job, state in changes.items():
            self._job(src, job, state, now)
        self.dirty = True

    def _job(self, src: int, jid: str, state: dict[str, Any] | None, now: float) -> None:
        self.dirty_jobs.add(jid)
        old = self.by_job.get(jid, {})
        keep: set[Key] = set()
        job = from_record(state["j"]) if state and state.get("j") else None
        if job is not None and state is not None:
            self.info[jid] = Info(job.rank, state["o"][1] == 0, job.team, job.kind, job.checkpoint_s, job.save_s, job.spot)
        if state:
            vec: Vec = (state["v"][0], state["v"][1], state["v"][2])
            for task, attempt, machine, epoch, ticket, stop in state["p"]:
                key = (jid, task, attempt)
                keep.add(key)
                p = old.get(key)
                if p is None:
                    p = Permit(key, src, machine, epoch, ticket, vec, job.image if job else "", job.image_gb if job else 0.0)
                    self._admit(p, stop, now)
                    if self.job_over(jid):
                        p.stop = 0.0  # it was over before this owner heard of the permit
                if stop is not None and (p.stop is None or stop < p.stop or not state.get("j")):
                    p.stop = stop if p.stop is None else min(stop, p.stop)
        for key in [k for k in old if k not in keep]:
            # the entry has left the source's cell: the start is over or was proven gone
            p = self.permits.pop(key)
            del self.by_job[jid][key]
            if (m := self.machines.get(p.machine)) is not None:
                m.permits.pop(key, None)
        if jid in self.by_job and not self.by_job[jid]:
            del self.by_job[jid]
        if not state:
            self.info.pop(jid, None)
        if state and job is not None and state["w"] > 0:
            self.wants[jid] = Want(src, job, state["w"], state.get("z"), tuple(state["o"]), frozenset(state.get("x", ())),
                                   state["o"][1] == 0)
        else:
            self.wants.pop(jid, None)
        self._trim(jid)

    def _trim(self, jid: str) -> None:
        """Cancelled candidates give their room back."""
        held = self.tickets.get(jid)
        if not held:
            return
        want = self.wants.get(jid)
        n = want.n if want else 0
        for t in sorted(held.values(), key=lambda t: (-t.cost, -t.id))[: max(0, len(held) - n)]:
            self._free(t)

    def _free(self, t: Ticket) -> None:
        if (m := self.machines.get(t.machine)) is not None:
            m.tickets.pop(t.id, None)
        held = self.tickets.get(t.job)
        if held is not None:
            held.pop(t.id, None)
            if not held:
                del self.tickets[t.job]
        self.dirty_jobs.add(t.job)
        self.dirty = True

    def _admit(self, p: Permit, stop: float | None, now: float) -> None:
        """Take a permit that is new here. Held room becomes its room; without room it is refused (un-reserve)."""
        self.permits[p.key] = p
        self.by_job.setdefault(p.key[0], {})[p.key] = p
        m = self.machines.get(p.machine)
        ticket = self.tickets.get(p.key[0], {}).get(p.ticket) if p.epoch == self.epoch else None
        if ticket is not None:
            self._free(ticket)
        if p.epoch == self.epoch and (
            m is None or m.expired or self._unusable(m, now) or stop is not None
            or not (ticket is not None or fits(p.vec, self.room(m)))
        ):  # fmt: skip
            p.refused = True
        if m is not None:
            if ticket is not None and not p.refused:
                self._evict(p, ticket, m)
            m.permits[p.key] = p

    def _evict(self, p: Permit, ticket: Ticket, m: Machine) -> None:
        """Room was ready only by preemption: stop what is in the way, now that the start is permitted."""
        p.victims = ticket.victims
        for key in ticket.victims:
            v = m.permits.get(key)
            info = self.info.get(key[0])
            if v is None or v.gone or info is None:
                continue
            if info.kind == "gang":
                v.evict = True
            elif v.stop is None:
                v.stop = info.grace
            self.dirty_jobs.add(key[0])

    def job_ended(self, jid: str) -> None:
        """The state service says the job is over: stop what is here even if the source can't be heard."""
        for p in self.by_job.get(jid, {}).values():
            if p.stop != 0.0:
                p.stop = 0.0
                self.dirty = True
                self.dirty_jobs.add(jid)
        if self.wants.pop(jid, None) is not None:
            self._trim(jid)

    # -- what workers report -----------------------------------------------------------------

    def on_report(self, r: Report, now: float, direct: bool = False) -> Machine | None:
        """Take in a report. None: its token is above this owner's, so this owner has been deposed."""
        if r.token >> TOKEN_BITS > self.epoch:
            self.deposed_by = max(self.deposed_by, r.token >> TOKEN_BITS)
            return None
        m = self.machines.get(r.machine)
        if m is None:
            m = Machine(r.machine, r.addr, r.type, r.zone, r.spot, self.epoch << TOKEN_BITS, first=now)
            m.draining = r.machine in self.drain
            self.machines[r.machine] = m
            for p in self.permits.values():
                if p.machine == m.name:
                    m.permits[p.key] = p
            self.dirty = True
        m.token = max(m.token, r.token)
        if not direct:
            m.last_report = now
        if (r.session, r.seq) <= (m.session, m.seq):
            return m  # an old message: its list is older than what is known
        if r.session != m.session or r.tasks != m.tasks or r.notice_s is not None or m.expired or not m.took:
            self.dirty = True
        if not direct:
            m.expired = False
        m.addr = r.addr
        m.session, m.seq, m.seen_token, m.notice_s = r.session, r.seq, r.token, r.notice_s
        m.took = m.took or r.token >> TOKEN_BITS == self.epoch
        for key, t in r.tasks.items():
            old = m.tasks.get(key)
            if old is None or old != t:
                self.dirty_jobs.add(key[0])
                if t.state == "running" and key in m.permits and m.permits[key].ran_at is None:
                    m.permits[key].ran_at = now
                if t.state == EXITED and t.why == "error" and (old is None or old.state != EXITED):
                    self._fault(m, key[0], now)
        for key in m.tasks:
            if key not in r.tasks:
                self.dirty_jobs.add(key[0])
        m.tasks = r.tasks
        for key, t in r.tasks.items():
            if t.state not in (EXITED, "fetching") and (held := m.permits.get(key)) is not None and held.image:
                m.images.pop(held.image, None)
                m.images[held.image] = held.image_gb
        self._evict_images(m)
        for p in m.permits.values():
            self._check_gone(p, m)
        return m

    def _evict_images(self, m: Machine) -> None:
        cache = self.types[m.type].cache_gb if m.type in self.types else 0.0
        while m.images and sum(m.images.values()) > cache:
            del m.images[next(iter(m.images))]

    def _fault(self, m: Machine, jid: str, now: float) -> None:
        """A job that fails here may be at fault itself; two different jobs failing point at the machine."""
        m.faults = {j: t for j, t in m.faults.items() if now - t < 300}
        m.faults[jid] = now
        if len(m.faults) >= 2:
            m.faulty_until = now + 600

    def _check_gone(self, p: Permit, m: Machine | None) -> None:
        """The proofs that a start is not on its machine and can't get there any more."""
        if p.gone:
            return
        if p.machine in self.proven_gone:
            p.gone = True
        elif p.refused and p.run_token == 0 and p.epoch == self.epoch:
            p.gone = True  # this owner offered the room and has never sent the run
        elif m is not None and p.key not in m.tasks and m.took:
            if p.run_token:
                # the newest list omits it under a token raised since the last run left, or the session rose
                p.gone = m.seen_token > p.run_token or m.session > p.run_session
            elif p.epoch < self.epoch:
                p.gone = True  # earlier owners' runs bear tokens below the one the worker has taken
            elif p.stop is not None and p.epoch == self.epoch:
                p.gone = True  # never sent
        if p.gone:
            self.dirty_jobs.add(p.key[0])
            self.dirty = True

    def tick(self, now: float) -> None:
        """Time passes: silent machines lose their lease, held room is freed."""
        for m in self.machines.values():
            if m.took and not m.expired and now - max(m.last_answer, m.last_report) > self.lease_s * 1.002 + 1.0:
                # it took this owner's token, and its lease has not been renewed since: it has killed everything
                m.expired = True
                m.busy = False
                self.dirty = True
                for p in m.permits.values():
                    if p.run_token or p.epoch < self.epoch or p.key in m.tasks:
                        p.gone = True
                    else:
                        p.refused = True
                        self._check_gone(p, m)
                    self.dirty_jobs.add(p.key[0])
                m.tasks = {}
            elif m.expired and now - m.last_report > 900 and not m.permits:
                m.first = -1.0
        for name in [n for n, m in self.machines.items() if m.first < 0]:
            del self.machines[name]
        for held in list(self.tickets.values()):
            for t in list(held.values()):
                if t.until <= now or self._unusable(self.machines[t.machine], now):
                    self._free(t)

    def machine_gone(self, names: list[str]) -> None:
        """The cloud confirmed that these machines are gone."""
        for name in names:
            if name in self.proven_gone:
                continue
            self.proven_gone.add(name)
            m = self.machines.pop(name, None)
            if m is not None:
                for t in list(m.tickets.values()):
                    self._free(t)
            for p in self.permits.values():
                if p.machine == name:
                    self._check_gone(p, None)
            self.dirty = True

    # -- placing -----------------------------------------------------------------------------

    def room(self, m: Machine) -> Vec:
        """What is free: listed, permitted and held room counted."""
        kind = self.types.get(m.type)
        if kind is None:
            return (0.0, 0.0, 0.0)
        free = kind.vec
        for key, p in m.permits.items():
            t = m.tasks.get(key)
            if not p.gone and not (t is not None and t.state == EXITED) and not (t is None and p.refused):
                free = add(free, p.vec, -1)
        for key, t in m.tasks.items():
            if key not in m.permits and t.state != EXITED:
                free = add(free, self.job_vec(key[0]) or kind.vec, -1)
        for ticket in m.tickets.values():
            free = add(free, ticket.vec, -1)
        return free

    def _unusable(self, m: Machine, now: float) -> bool:
        return (
            m.expired or m.draining or m.notice_s is not None or not m.took or m.faulty_until > now
            or now - m.last_report > 2.0 * self.report_s + 1.5 or m.name in self.proven_gone
        )  # fmt: skip

    def allowed(self, job: Job, m: Machine) -> bool:
        """Type, zone and kind of machine, as the worker itself reports them."""
        return (
            (job.types is None or m.type in job.types)
            and (job.zone is None or m.zone == job.zone)
            and (job.spot or not m.spot)
        )

    def place(self, now: float) -> None:
        """Hold room for every candidate that fits; the others wait here until room appears or they are cancelled."""
        usable = [m for m in self.machines.values() if not self._unusable(m, now)]
        rooms = {m.name: self.room(m) for m in usable}
        for jid, w in sorted(self.wants.items(), key=lambda kv: kv[1].order):
            held = self.tickets.get(jid, {})
            missing = w.n - len(held)
            if missing <= 0:
                continue
            by_zone: dict[str, int] = {}
            for t in held.values():
                z = self.machines[t.machine].zone
                by_zone[z] = by_zone.get(z, 0) + 1
            can = [m for m in usable if m.name not in w.avoid and self.allowed(w.job, m)]
            while missing > 0:
                open_ = [
                    m for m in can
                    if fits(w.job.vec, rooms[m.name])
                    and (w.zones is None or by_zone.get(m.zone, 0) < w.zones.get(m.zone, 0))
                ]  # fmt: skip
                if not open_:
                    missing -= self._preempt(jid, w, can, rooms, by_zone, missing, now)
                    break
                if len(open_) > self.sample:
                    # a sample of what has room, and of what has the image besides: a sample without it
                    # made replicas fetch what the machine next door had (ardgael-loans, waits of 5 s)
                    warm = [m for m in open_ if w.job.image in m.images]
                    open_ = self.rng.sample(open_, self.sample) + self.rng.sample(warm, min(len(warm), self.sample))
                cost, _, m = min(((*self._score(w.job, m, rooms[m.name]), m) for m in open_), key=lambda x: x[:2])
                self._hold(jid, w.job, m, cost, now)
                rooms[m.name] = add(rooms[m.name], w.job.vec, -1)
                by_zone[m.zone] = by_zone.get(m.zone, 0) + 1
                missing -= 1

    def _hold(self, jid: str, job: Job, m: Machine, cost: float, now: float, victims: tuple[Key, ...] = ()) -> None:
        """Keep room for one candidate until the hold time is over."""
        t = Ticket(self.next_ticket, jid, m.name, now + self.hold_s, job.vec, job.image, cost, victims)
        self.next_ticket += 1
        m.tickets[t.id] = t
        self.tickets.setdefault(jid, {})[t.id] = t
        self.dirty_jobs.add(jid)

    def firm_room(self, m: Machine) -> Vec:
        """What services could have: the room of work that may be stopped for them counts as free."""
        room = self.room(m)
        for key, p in m.permits.items():
            info = self.info.get(key[0])
            t = m.tasks.get(key)
            if info is not None and info.rank > 0 and info.spot and info.kind == "array" and not p.gone and not p.refused and (
                t is None or t.state != EXITED
            ):
                room = add(room, p.vec)
        return room

    def _loss(self, p: Permit, info: Info, now: float) -> float:
        """Seconds of work lost if it is stopped."""
        ran = now - p.ran_at if p.ran_at is not None else 0.0
        return min(ran, info.grace or 0.5 * info.checkpoint_s) if info.checkpoint_s > 0 else ran

    def _may_stop(self, w: Want, info: Info) -> bool:
        """The published rules of preemption."""
        if info.rank == 0 or info.kind == "service":
            return False  # allowed beyond a guarantee, but a replica's user feels it at once
        if info.rank > w.job.rank:
            return True
        # to give a team its guarantee: only where little is lost, not a whole gang
        return w.within and not info.within and info.team != w.job.team and info.kind == "array"

    def _preempt(self, jid: str, w: Want, can: list[Machine], rooms: dict[str, Vec], by_zone: dict[str, int],
                 missing: int, now: float) -> int:
        """Room ready only by stopping less important work: the least lost work first, and only where it is enough."""
        taken: set[Key] = {v for held in self.tickets.values() for t in held.values() for v in t.victims}
        taken |= {v for p in self.permits.values() if not p.gone for v in p.victims}
        found = 0
        while found < missing:
            best: tuple[float, Machine, list[Permit]] | None = None
            for m in can:
                if w.zones is not None and by_zone.get(m.zone, 0) >= w.zones.get(m.zone, 0):
                    continue
                options = []
                for key, p in m.permits.items():
                    info = self.info.get(key[0])
                    if info is None or key in taken or p.gone or p.refused or p.stop is not None or p.evict:
                        continue
                    if self._may_stop(w, info) and key in m.tasks and m.tasks[key].state in ("running", "fetching"):
                        options.append((self._loss(p, info, now) + (1000.0 if info.kind == "gang" else 0.0), key, p))
                room, chosen, loss = rooms[m.name], [], 0.0
                for cost, _, p in sorted(options, key=lambda x: x[:2]):
                    if fits(w.job.vec, room):
                        break
                    room = add(room, p.vec)
                    chosen.append(p)
                    loss += cost
                if chosen and fits(w.job.vec, room):
                    loss += 0.3 * self._score(w.job, m, room)[0]
                    if best is None or loss < best[0]:
                        best = (loss, m, chosen)
            if best is None:
                break
            _, m, chosen = best
            victims = tuple(p.key for p in chosen)
            taken.update(victims)
            self._hold(jid, w.job, m, best[0], now, victims)
            room = rooms[m.name]
            for p in chosen:
                room = add(room, p.vec)
            rooms[m.name] = add(room, w.job.vec, -1)
            by_zone[m.zone] = by_zone.get(m.zone, 0) + 1
            found += 1
        return found

    def _score(self, job: Job, m: Machine, room: Vec) -> tuple[float, float]:
        """Best fit: seconds until it could run, then the room left over; replicas of one job keep apart."""
        kind = self.types[m.type]
        fetch = 0.0
        if job.image not in m.images:
            coming = sum(1 for p in m.permits.values() if p.image == job.image and not p.gone)
            held = sum(1 for t in m.tickets.values() if t.image == job.image)
            fetch = job.image_gb / max(kind.fetch_gb_s, 0.01) * (0.5 if coming else 0.8 if held else 1.0)
        same = 0
        if job.kind == "service":
            # services stay long: pack them by what other services leave, so that whole machines fall empty
            room = self.firm_room(m)
            same = sum(1 for k, p in m.permits.items() if k[0] == job.id and not p.gone)
            same += sum(1 for t in m.tickets.values() if t.job == job.id)
        left = add(room, job.vec, -1)
        share = sum(x / c for x, c in zip(left, kind.vec, strict=True) if c > 0)
        if job.spot and not m.spot:
            fetch += 20.0  # leave ordinary machines to work that needs them
        if job.kind == "service":
            return fetch + 30.0 * same + 4.0 * share, share
        return fetch, share

    # -- commands ----------------------------------------------------------------------------

    def _runnable(self, p: Permit, m: Machine) -> bool:
        return (
            not p.gone and not p.refused and p.stop is None and p.epoch == self.epoch
            and p.key not in m.tasks and m.took and not any(v in m.permits and not m.permits[v].gone and not (
                (t := m.tasks.get(v)) is not None and t.state == EXITED) for v in p.victims)
        )  # fmt: skip

    def commands(self, m: Machine, now: float, direct: bool = False) -> list[dict[str, Any]]:
        """What the worker has to do for the wanted state; marks runs as sent under the machine's token."""
        out: list[dict[str, Any]] = []
        runs: list[Permit] = []
        for p in m.permits.values():
            t = m.tasks.get(p.key)
            if t is not None:
                if p.stop is not None and t.state != EXITED and (t.state != "saving" or p.stop == 0.0):
                    if not direct or p.killed != p.stop:
                        out.append(workers.kill(p.key, p.stop))
                        p.killed = p.stop
            elif self._runnable(p, m):
                if p.run_token and m.session > p.run_session:
                    continue  # it ran in a session that is over; the source decides what follows
                if not direct or not p.direct:
                    runs.append(p)
            elif p.run_token and not p.gone and p.key not in m.tasks and p.stop is not None and m.token <= p.run_token:
                # a run may be on its way: only a list under a higher token proves that it is not there
                m.token = p.run_token + 1
        if not direct:
            for key, t in m.tasks.items():
                if key in m.permits:
                    continue
                if len(self.synced) < self.sources:
                    # its source has not been heard yet; but a job that is over needs no source to be stopped:
                    # seen when an owner that had just taken over was cut from the source of a cancelled job
                    if t.state != EXITED and self.job_over(key[0]):
                        out.append(workers.kill(key, 0.0))
                    continue
                if t.state != EXITED:
                    out.append(workers.kill(key, 0.0))  # nobody has permitted it
                else:
                    if key in m.inflight:
                        m.token += 1  # a run of it may still arrive; after reap it would start again
                        m.inflight.clear()
                    out.append(workers.reap(key))
        for p in runs:
            out.append(workers.run(p.key))
            p.run_token, p.run_session = m.token, m.session
            if direct:
                p.direct = True
                m.inflight.add(p.key)
        return out

    def direct_work(self, now: float) -> list[tuple[Machine, dict[str, Any]]]:
        """Commands worth sending straight to a worker, one unanswered request a machine."""
        out = []
        for m in self.machines.values():
            if m.busy or m.expired or not m.took or now < m.direct_after or not m.permits:
                continue
            calls = self.commands(m, now, direct=True)
            if calls:
                m.busy = True
                out.append((m, workers.direct(m.token, m.session, calls)))
        return out

    def direct_done(self, m: Machine, r: Report | None, now: float) -> None:
        """The answer to a /do, or None: it may still be executed, so the token is raised to fence it."""
        m.busy = False
        m.inflight.clear()
        if r is None:
            m.token += 1
            m.direct_after = now + 5.0
            self.dirty = True
        else:
            self.on_report(r, now, direct=True)

    # -- what sources and the renter are told ------------------------------------------------

    def view(self, jid: str) -> tuple[set[int], dict[str, Any] | None]:
        """The board entry of one job: offers (room held) and what became of every permit."""
        srcs: set[int] = set()
        offers = []
        if jid in self.wants:
            srcs.add(self.wants[jid].src)
            for t in self.tickets.get(jid, {}).values():
                m = self.machines[t.machine]
                offers.append([t.id, t.machine, m.zone, round(t.cost, 2), len(t.victims)])
        tasks = []
        for p in self.by_job.get(jid, {}).values():
            srcs.add(p.src)
            at = self.machines.get(p.machine)
            task = at.tasks.get(p.key) if at is not None else None
            if task is not None and not p.gone:
                tasks.append([p.key[1], p.key[2], task.state, task.why, int(task.saved), _flag(p, at)])
            else:
                tasks.append([p.key[1], p.key[2], "gone" if p.gone else "permitted", "", 0, 0])
        return srcs, ({"o": offers, "t": tasks} if offers or tasks else None)

    def suspects(self, now: float) -> list[str]:
        """Machines that permits name and that this owner can't prove anything about: the cloud may."""
        if now - self.started < self.lease_s:
            return []
        out = set()
        for p in self.permits.values():
            m = self.machines.get(p.machine)
            if not p.gone and (m is None or (not m.took and now - m.last_report > self.lease_s)):
                out.add(p.machine)
        return sorted(out)

    def machine_views(self, now: float) -> dict[str, Any]:
        """Per machine what the renter needs to know."""
        out: dict[str, Any] = {}
        for m in self.machines.values():
            if m.expired:
                continue
            empty = not m.tasks and not m.tickets and all(p.gone for p in m.permits.values()) and not m.busy
            firm = any(i is not None and not i.spot for i in (self.info.get(k[0]) for k in m.permits))
            out[m.name] = [
                m.type, m.zone, int(m.spot), [round(x, 3) for x in self.room(m)], int(empty), int(m.draining),
                int(m.notice_s is not None), int(m.faulty_until > now), int(firm), [round(x, 3) for x in self.firm_room(m)],
            ]  # fmt: skip
        return out

    def set_drain(self, names: list[str]) -> None:
        """The renter wants these machines empty."""
        new = set(names)
        if new != self.drain:
            self.drain = new
            for m in self.machines.values():
                # a return whose outcome is unknown may still be executed: draining is never taken back
                if m.name in new and not m.draining:
                    m.draining = True
                    self.dirty = True


def _flag(p: Permit, m: Machine | None) -> int:
    """1: the machine is to be taken away; 2: the room is needed for more important work."""
    return 1 if m is not None and m.notice_s is not None else 2 if p.evict else 0
