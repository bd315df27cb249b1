"""The source of one shard's teams: says which ready candidate starts, within limit, zone and spread.

Every outstanding permit stands in the team's cell in the state service before an owner hears of it,
and leaves the cell only when that start is proven gone. No I/O: transactions come out as values and
their outcomes are passed in.
"""

from __future__ import annotations

import base64
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from ploverhall.bookkeeping.replica import END, JOB, SHARD, cell_prefix, progress_prefix
from ploverhall.coordination.owner import EPS, Vec, add
from ploverhall.protocol.jobs import Job
from ploverhall.settings import Team

ATTEMPT_BITS = 28
PROGRESS_TASKS = 8192  # tasks whose bits share one value: about 1.4 KB
PATIENCE_S = 0.06  # how long a worse answer waits for a better one: a few round trips between controllers
ENTRY_BYTES = 150  # more than any entry takes with an ordinary name


@dataclass(slots=True)
class Entry:
    """One outstanding permit."""

    job: str
    task: int
    attempt: int
    machine: str
    part: int
    zone: str
    epoch: int  # of the owner whose offer this is
    ticket: int
    chunk: int
    landed: bool = False
    state: str = "permitted"
    why: str = ""
    saved: bool = False
    notice: int = 0  # 1: its machine goes, 2: its room is needed
    stop: float | None = None
    over: bool = False  # exited and recorded here, or proven gone: to be taken out of the cell
    since: float = 0.0


@dataclass(slots=True)
class Offer:
    """Room that an owner holds for a candidate."""

    part: int
    epoch: int
    ticket: int
    machine: str
    zone: str
    cost: float
    victims: int


@dataclass
class JobState:
    """A job while it is live or has tasks somewhere."""

    id: str
    team: str
    vec: Vec
    job: Job | None = None  # None: over, only its tasks remain
    version: int = 0
    entries: dict[int, Entry] = field(default_factory=dict)  # by task; one start of a task at a time
    done: bytearray = field(default_factory=bytearray)
    done_count: int = 0
    dirty_progress: set[int] = field(default_factory=set)
    stored_progress: set[int] = field(default_factory=set)
    fresh: int = 0  # tasks from here on were never permitted by this source
    again: list[int] = field(default_factory=list)
    offers: dict[tuple[int, int], Offer] = field(default_factory=dict)
    not_before: float = 0.0
    failed_on: dict[str, float] = field(default_factory=dict)
    failures: int = 0
    last_failure: str = ""
    complete: bool = False  # every task done; the record of it is still to be written
    blocked: bool = False  # its key changed under a write: wait for the watch
    within: bool = True
    since: float = 0.0

    @property
    def n(self) -> int:
        """Number of tasks."""
        return self.job.n if self.job else 0

    def is_done(self, task: int) -> bool:
        """Whether a task's result is recorded."""
        return bool(self.done) and bool(self.done[task >> 3] & (1 << (task & 7)))

    def mark(self, task: int) -> None:
        """Record a result."""
        if not self.done:
            self.done = bytearray((self.n + 7) // 8)
        if not self.is_done(task):
            self.done[task >> 3] |= 1 << (task & 7)
            self.done_count += 1
            self.dirty_progress.add(task // PROGRESS_TASKS)

    def waiting(self) -> int:
        """Tasks with no start outstanding and no result."""
        if self.job is None or self.complete:
            return 0
        return self.n - self.done_count - len(self.entries)

    def take(self) -> int | None:
        """The next task to permit."""
        while self.again:
            task = heapq.heappop(self.again)
            if task not in self.entries and not self.is_done(task):
                return task
        while self.fresh < self.n:
            task = self.fresh
            self.fresh += 1
            if task not in self.entries and not self.is_done(task):
                return task
        return None

    def put_back(self, task: int) -> None:
        """A task that had a start waits again."""
        if task < self.fresh:
            heapq.heappush(self.again, task)


@dataclass(slots=True)
class Txn:
    """One write: what it guards on, what it changes, and what it means here when it lands."""

    guards: dict[str, int]
    puts: dict[str, Any]
    deletes: list[str]
    teams: list[str] = field(default_factory=list)
    adds: list[Entry] = field(default_factory=list)
    removes: list[Entry] = field(default_factory=list)
    progress: list[tuple[JobState, int]] = field(default_factory=list)
    ends: list[JobState] = field(default_factory=list)


class Source:
    """Decides for the jobs of one shard's teams."""

    def __init__(self, shard: int, epoch: int, teams: list[Team], zones: tuple[str, ...], value_bytes: int, txn_ops: int) -> None:
        self.shard, self.epoch = shard, epoch
        self.teams = {t.name: t for t in teams}
        self.zones = zones
        self.txn_ops = txn_ops
        self.per_chunk = max(1, int(value_bytes * 0.85) // ENTRY_BYTES)
        self.jobs: dict[str, JobState] = {}
        self.chunks: dict[str, dict[int, int]] = {t.name: {} for t in teams}  # team -> chunk -> version
        self.chunk_entries: dict[str, dict[int, set[tuple[str, int]]]] = {t.name: {} for t in teams}
        self.dirty_chunks: dict[str, set[int]] = {t.name: set() for t in teams}
        self.used: dict[str, Vec] = {t.name: (0.0, 0.0, 0.0) for t in teams}
        self.changed: set[str] = set()  # jobs whose board entries must be made anew
        self.reorder: set[str] = set(self.teams)
        self.attempts = 0
        self.impatient = False  # a worse answer is being held back for a moment
        self.dirty = True
        self.note: Callable[..., None] = lambda *a, **k: None

    # -- starting ----------------------------------------------------------------------------

    def install_cell(self, team: str, found: dict[str, tuple[Any, int]], now: float) -> None:
        """Take in a team's cell as read: at the start, and whenever a write's outcome is unknown."""
        seen: set[tuple[str, int, int]] = set()
        self.chunks[team] = {}
        for key, (value, version) in found.items():
            chunk = int(key.rsplit("/", 1)[1])
            self.chunks[team][chunk] = version
            for jid, (vec, entries) in value.items():
                js = self.jobs.get(jid)
                if js is None:
                    js = self.jobs[jid] = JobState(jid, team, (vec[0], vec[1], vec[2]), since=now)
                for task, attempt, machine, part, zone, epoch, ticket in entries:
                    seen.add((jid, task, attempt))
                    e = js.entries.get(task)
                    if e is not None and e.attempt == attempt:
                        if not e.landed:
                            e.landed = True
                            self.changed.add(jid)
                        continue
                    if e is not None:
                        self._remove(js, e)
                        self.jobs[jid] = js
                    e = Entry(jid, task, attempt, machine, part, zone, epoch, ticket, chunk, landed=True, since=now)
                    if js.job is None:
                        e.stop = 0.0
                    self._insert(js, e)
                    self.changed.add(jid)
        for js in list(self.jobs.values()):
            if js.team == team:
                for e in list(js.entries.values()):
                    if (e.job, e.task, e.attempt) not in seen:
                        self._remove(js, e)  # it never landed, or its removal did
                        js.put_back(e.task)
        self.dirty_chunks[team] = {e.chunk for js in self.jobs.values() if js.team == team for e in js.entries.values() if e.over}
        self.dirty = True

    def install_progress(self, team: str, found: dict[str, tuple[Any, int]]) -> None:
        """Take in what is recorded of a team's unfinished arrays. Live jobs must be known by now."""
        for key, (value, _) in found.items():
            jid, _, chunk = key[len(progress_prefix(team)) :].rpartition("/")
            js = self.jobs.get(jid)
            if js is None or js.job is None:
                continue
            base = int(chunk) * PROGRESS_TASKS
            js.stored_progress.add(int(chunk))
            for i, byte in enumerate(base64.b64decode(value)):
                for bit in range(8):
                    task = base + i * 8 + bit
                    if byte & (1 << bit) and task < js.n:
                        js.mark(task)
            js.dirty_progress.clear()

    def on_job(self, job: Job | None, jid: str, version: int, now: float) -> None:
        """The watch brought a job of this shard's teams, or its end (None)."""
        js = self.jobs.get(jid)
        self.dirty = True
        self.changed.add(jid)
        if job is None:
            if js is None:
                return
            self.reorder.add(js.team)
            js.job, js.version, js.offers = None, 0, {}
            for e in js.entries.values():
                e.stop = 0.0
            if not js.entries:
                del self.jobs[jid]
            return
        self.reorder.add(job.team)
        if js is None:
            js = self.jobs[jid] = JobState(jid, job.team, job.vec, since=now)
        if js.job is None:
            for e in js.entries.values():
                e.stop = None
        js.job, js.version, js.vec, js.blocked = job, version, job.vec, False

    # -- entries -----------------------------------------------------------------------------

    def _insert(self, js: JobState, e: Entry) -> None:
        js.entries[e.task] = e
        self.used[js.team] = add(self.used[js.team], js.vec)
        self.chunk_entries[js.team].setdefault(e.chunk, set()).add((e.job, e.task))

    def _remove(self, js: JobState, e: Entry) -> None:
        del js.entries[e.task]
        self.used[js.team] = add(self.used[js.team], js.vec, -1)
        self.chunk_entries[js.team][e.chunk].discard((e.job, e.task))
        self.changed.add(js.id)
        self.dirty = True
        if js.job is None and not js.entries:
            self.jobs.pop(js.id, None)

    def _room_chunk(self, team: str) -> int:
        c = 0
        while len(self.chunk_entries[team].get(c, ())) >= self.per_chunk:
            c += 1
        return c

    # -- what owners tell --------------------------------------------------------------------

    def on_owner(self, part: int, epoch: int, full: bool, changes: dict[str, Any], now: float) -> None:
        """An owner's board: offers, and what became of permits."""
        if full:
            for js in self.jobs.values():
                if js.id not in changes:
                    js.offers = {k: o for k, o in js.offers.items() if k[0] != part}
        for jid, view in changes.items():
            known = self.jobs.get(jid)
            if known is None:
                continue
            js = known
            js.offers = {k: o for k, o in js.offers.items() if k[0] != part}
            if view is None:
                continue
            for ticket, machine, zone, cost, victims in view["o"]:
                js.offers[part, ticket] = Offer(part, epoch, ticket, machine, zone, cost, victims)
            for task, attempt, state, why, saved, notice in view["t"]:
                e = js.entries.get(task)
                if e is not None and e.attempt == attempt and e.part == part and e.landed and epoch >= e.epoch:
                    self._status(js, e, state, why, bool(saved), int(notice), now)
        self.dirty = True

    def _status(self, js: JobState, e: Entry, state: str, why: str, saved: bool, notice: int, now: float) -> None:
        if e.over or (state == e.state and why == e.why and notice == e.notice):
            return
        self.note("task", job=e.job, task=e.task, attempt=e.attempt, machine=e.machine, state=state, why=why or "-")
        e.state, e.why, e.saved, e.notice = state, why, saved, notice
        self.changed.add(js.id)
        if state not in ("exited", "gone"):
            if notice and js.job is not None:
                self._leave(js, e, notice)
            return
        e.over = True
        js.since = now
        self.dirty_chunks[js.team].add(e.chunk)
        if js.job is None:
            return
        if state == "exited" and why == "done" and js.job.kind != "service":
            if js.job.kind == "gang":
                js.complete = True  # a gang completes together
            else:
                js.mark(e.task)
                js.complete = js.done_count == js.n
            self.reorder.add(js.team)
            return
        if state == "exited" and why in ("error", "unknown", "no_room", "in_use"):
            self._failed(js, e, why, now)
        if js.job.kind == "gang":
            # the attempt is broken: the rest leaves, saving where that still helps, and it begins anew
            for other in js.entries.values():
                if not other.over and other.stop is None:
                    other.stop = 0.0

    def _leave(self, js: JobState, e: Entry, notice: int) -> None:
        """Its machine goes away or its room is needed: save what can be saved, a gang's tasks all together."""
        job = js.job
        assert job is not None
        grace = job.save_s + 1.0 if job.checkpoint_s > (0.0 if notice == 1 else 2.0 * job.save_s + 15.0) else 0.0
        if job.kind == "gang":
            for other in js.entries.values():
                if not other.over and other.stop is None:
                    other.stop = grace
        elif e.stop is None and (notice == 2 or grace > 0 or job.kind == "service"):
            e.stop = grace
        self.changed.add(js.id)

    def _failed(self, js: JobState, e: Entry, why: str, now: float) -> None:
        js.failures += 1
        js.last_failure = f"{why} on {e.machine}"
        self.note("failed", job=e.job, task=e.task, machine=e.machine, why=why, times=js.failures)
        js.failed_on = {m: t for m, t in js.failed_on.items() if now - t < 120}
        if why == "error":
            js.failed_on[e.machine] = now
            if len(js.failed_on) >= 3 or js.failures >= 6:
                js.not_before = now + min(60.0, 2.0 * js.failures)  # it fails everywhere: try it now and then
        else:
            js.not_before = now + (1.0 if why == "unknown" else 0.3)

    # -- deciding ----------------------------------------------------------------------------

    def headroom(self, js: JobState) -> int:
        """How many more tasks of this job the team's limit allows."""
        team, used = self.teams[js.team], self.used[js.team]
        n = 1 << 30
        if team.cpus_max > 0 and js.vec[0] > 0:
            n = min(n, int((team.cpus_max - used[0] + EPS) / js.vec[0]))
        if team.gpus_max > 0 and js.vec[1] > 0:
            n = min(n, int((team.gpus_max - used[1] + EPS) / js.vec[1]))
        return max(0, n)

    def zone_room(self, js: JobState) -> dict[str, int] | None:
        """How many more tasks each zone may take; None: no bound."""
        job = js.job
        if job is None or not (job.spread or job.one_zone or job.zone):
            return None
        here: dict[str, int] = {}
        for e in js.entries.values():
            here[e.zone] = here.get(e.zone, 0) + 1
        out = {}
        for z in self.zones:
            n = job.zone_cap - here.get(z, 0) if job.spread else job.n
            if (job.one_zone and here and z not in here) or (job.zone and z != job.zone):
                n = 0
            out[z] = max(0, n)
        return out

    def _order(self) -> None:
        """Which jobs fit the team's guarantee together with the earlier unfinished ones."""
        for name in self.reorder:
            team = self.teams[name]
            total = (0.0, 0.0, 0.0)
            for js in sorted((j for j in self.jobs.values() if j.team == name and j.job), key=lambda j: (j.job.at, j.id)):  # type: ignore[union-attr]
                total = add(total, js.vec, js.n - js.done_count)
                within = (team.cpus > 0 or team.gpus > 0) and (team.cpus <= 0 or total[0] <= team.cpus + EPS) and (
                    team.gpus <= 0 or total[1] <= team.gpus + EPS)
                if within != js.within:
                    js.within = within
                    self.changed.add(js.id)
        self.reorder.clear()

    def order(self, js: JobState) -> tuple[float, ...]:
        """Place in every queue: services, then work within its guarantee, then by rank and time."""
        job = js.job
        assert job is not None
        due = job.at + (job.deadline_s if job.deadline_s is not None else 600.0)
        return (0.0 if job.rank == 0 else 1.0, 0.0 if js.within else 1.0, float(job.rank), due)

    def wanted(self, js: JobState, now: float) -> int:
        """How many candidates to keep in every part."""
        if js.job is None or js.blocked or js.complete or now < js.not_before:
            return 0
        n = min(js.waiting(), self.headroom(js))
        if js.job.kind == "gang" and (js.entries or n < js.n):
            return 0  # all or nothing, and not while an old attempt's task is somewhere
        return max(0, n)

    def decide(self, now: float) -> None:
        """Permit ready candidates, in memory; they go out when the write has landed."""
        self._order()
        self.impatient = False
        ready = [js for js in self.jobs.values() if js.offers and js.job is not None]
        for js in sorted(ready, key=self.order):
            n = self.wanted(js, now)
            if n <= 0:
                continue
            zones = self.zone_room(js)
            taken = {(e.part, e.ticket, e.epoch) for e in js.entries.values()}
            offers = sorted(
                (o for o in js.offers.values() if (o.part, o.ticket, o.epoch) not in taken and o.machine not in js.failed_on),
                key=lambda o: (o.victims, o.cost, o.ticket),
            )
            if now - js.since < PATIENCE_S:
                # room by preemption, or without the image, is a worse answer: let the other owners speak first,
                # or the owner next door wins every race (the paper's optional scoring, cut to a blink)
                waited = [o for o in offers if not o.victims and o.cost <= 1.0]
                self.impatient = self.impatient or len(waited) < len(offers)
                offers = waited
            chosen = self._gang(js, offers) if js.job.kind == "gang" else offers  # type: ignore[union-attr]
            attempt = self._attempt()
            new: list[Entry] = []
            for o in chosen:
                if n <= 0:
                    break
                if zones is not None:
                    if zones.get(o.zone, 0) <= 0:
                        continue
                    zones[o.zone] -= 1
                    if js.job.one_zone:  # type: ignore[union-attr]
                        zones = {z: (v if z == o.zone else 0) for z, v in zones.items()}
                task = js.take()
                if task is None:
                    break
                chunk = self._room_chunk(js.team)
                e = Entry(js.id, task, attempt, o.machine, o.part, o.zone, o.epoch, o.ticket, chunk, since=now)
                self._insert(js, e)
                new.append(e)
                self.dirty_chunks[js.team].add(chunk)
                self.changed.add(js.id)
                n -= 1
            if js.job.kind == "gang" and len(new) < js.n:  # type: ignore[union-attr]
                for e in new:  # never a part of a gang
                    self._remove(js, e)
                    js.put_back(e.task)

    def _attempt(self) -> int:
        self.attempts += 1
        return (self.epoch << ATTEMPT_BITS) + self.attempts

    def _gang(self, js: JobState, offers: list[Offer]) -> list[Offer]:
        """A whole gang or nothing: from one part if one has it all, else from pieces of several."""
        job = js.job
        assert job is not None
        best: list[Offer] = []
        groups: dict[Any, list[Offer]] = {}
        for o in offers:
            groups.setdefault((o.part, o.zone), []).append(o)
        for o in offers:
            groups.setdefault(o.zone, []).append(o)
        if not job.one_zone:
            groups["all"] = offers
        for group in groups.values():
            picked: list[Offer] = []
            count: dict[str, int] = {}
            for o in group:
                if count.get(o.zone, 0) < job.zone_cap and len(picked) < job.n:
                    picked.append(o)
                    count[o.zone] = count.get(o.zone, 0) + 1
            if len(picked) == job.n and (not best or max(o.cost for o in picked) < max(o.cost for o in best)):
                best = picked
        return best

    # -- writing -----------------------------------------------------------------------------

    def cell_key(self, team: str, chunk: int) -> str:
        """Where one chunk of a cell is kept."""
        return f"{cell_prefix(team)}{chunk}"

    def plan(self) -> Txn | None:
        """The next write: as many dirty cells, results and ends as the limits allow in one transaction."""
        txn = Txn({f"{SHARD}{self.shard}": self.epoch}, {}, [])
        ops, size = 0, 400
        max_guards = 4 * self.txn_ops - 1
        for js in self.jobs.values():
            if not (js.complete and js.job is not None and not js.blocked):
                continue
            if ops + 2 > self.txn_ops - 2 or len(txn.guards) + 4 > max_guards:
                break
            txn.guards[JOB + js.id] = js.version
            txn.deletes.append(JOB + js.id)
            txn.puts[END + js.id] = {"s": "done", "n": js.n}
            txn.ends.append(js)
            ops += 2
            size += 300
        for team, dirty in self.dirty_chunks.items():
            for chunk in sorted(dirty):
                if ops + 1 > self.txn_ops or len(txn.guards) + 2 > max_guards or size > 40_000:
                    return txn if ops else None
                got = self._plan_chunk(txn, team, chunk, self.txn_ops - ops - 1, max_guards - len(txn.guards) - 1)
                ops += got[0]
                size += got[1]
        return txn if ops else None

    def _plan_chunk(self, txn: Txn, team: str, chunk: int, spare_ops: int, spare_guards: int) -> tuple[int, int]:
        value: dict[str, Any] = {}
        ops, left = 1, False
        adds: list[Entry] = []
        removes: list[Entry] = []
        for jid, task in sorted(self.chunk_entries[team].get(chunk, ())):
            js = self.jobs[jid]
            e = js.entries[task]
            if e.over and e.landed:
                part = task // PROGRESS_TASKS
                if js.job is not None and not js.complete and part in js.dirty_progress:
                    key = f"{progress_prefix(team)}{jid}/{part}"
                    if key not in txn.puts:
                        if spare_ops <= 0:
                            left = True
                            self._put(value, js, e)
                            continue
                        spare_ops -= 1
                        ops += 1
                        lo = part * PROGRESS_TASKS // 8
                        txn.puts[key] = base64.b64encode(bytes(js.done[lo : lo + PROGRESS_TASKS // 8])).decode()
                        txn.progress.append((js, part))
                removes.append(e)
                continue
            if not e.landed:
                key = JOB + jid
                if js.job is None or js.blocked or key in txn.deletes:
                    removes.append(e)  # never written: it just goes
                    continue
                if key not in txn.guards:
                    if spare_guards <= 0:
                        left = True
                        continue
                    spare_guards -= 1
                    txn.guards[key] = js.version
                adds.append(e)
            self._put(value, js, e)
        key = self.cell_key(team, chunk)
        version = self.chunks[team].get(chunk, 0)
        txn.guards[key] = version
        if value:
            txn.puts[key] = value
        elif version:
            txn.deletes.append(key)
        else:
            ops -= 1
        if not left:
            txn.teams.append(f"{team}\n{chunk}")
        elif team not in txn.teams:
            txn.teams.append(f"{team}\n{chunk}\n+")
        txn.adds += adds
        txn.removes += removes
        return ops, len(orjson.dumps(value)) + 200 + 2000 * max(0, ops - 1)

    def _put(self, value: dict[str, Any], js: JobState, e: Entry) -> None:
        value.setdefault(e.job, [list(js.vec), []])[1].append([e.task, e.attempt, e.machine, e.part, e.zone, e.epoch, e.ticket])

    def _touched(self, txn: Txn) -> list[tuple[str, int, bool]]:
        out = []
        for t in txn.teams:
            parts = t.split("\n")
            out.append((parts[0], int(parts[1]), len(parts) == 3))
        return out

    def landed(self, txn: Txn, revision: int, now: float) -> None:
        """The write is in: permits go out, exits may be forgotten by the workers."""
        for team, chunk, left in self._touched(txn):
            key = self.cell_key(team, chunk)
            if key in txn.puts:
                self.chunks[team][chunk] = revision
            else:
                self.chunks[team].pop(chunk, None)
            if not left:
                self.dirty_chunks[team].discard(chunk)
        for js, part in txn.progress:
            js.dirty_progress.discard(part)
            js.stored_progress.add(part)
        for e in txn.adds:
            js2 = self.jobs.get(e.job)
            e.landed = True
            e.since = now
            if js2 is not None and js2.job is None:
                e.stop = 0.0  # its job ended while the write was on its way
            self.changed.add(e.job)
            self.note("permit", job=e.job, task=e.task, attempt=e.attempt, machine=e.machine, part=e.part)
        for e in txn.removes:
            js3 = self.jobs.get(e.job)
            if js3 is not None and js3.entries.get(e.task) is e:
                self._remove(js3, e)
                if not js3.is_done(e.task):
                    js3.put_back(e.task)
        for js in txn.ends:
            self.note("done", job=js.id)
            self.on_job(None, js.id, 0, now)
        for team in self.teams:
            # what became over or was added while the write was on its way still has to be written
            for cid, members in self.chunk_entries[team].items():
                for jid, task in members:
                    e = self.jobs[jid].entries[task]
                    if e.over or not e.landed:
                        self.dirty_chunks[team].add(cid)
                        break
        self.dirty = True

    def refused(self, txn: Txn, failed: list[str]) -> list[str]:
        """A guard did not hold. Returns the teams whose cells must be read again."""
        for key in failed:
            if key.startswith(JOB):
                js = self.jobs.get(key[len(JOB) :])
                if js is not None:
                    js.blocked = True
                    self.changed.add(js.id)
                    for e in [e for e in js.entries.values() if not e.landed]:
                        self._remove(js, e)
                        js.put_back(e.task)
        return [t for t in self.teams if any(k.startswith(cell_prefix(t)) for k in failed)]

    def teams_of(self, txn: Txn) -> list[str]:
        """The teams whose cells a write touches."""
        return sorted({t for t, _, _ in self._touched(txn)})

    # -- what owners and the renter are told ---------------------------------------------------

    def board(self, jid: str, part: int, now: float) -> dict[str, Any] | None:
        """One job's entry on the board for one part."""
        js = self.jobs.get(jid)
        if js is None:
            return None
        # a permit that is being written still needs the room that is held for it: wanting less at once
        # made owners cancel that room, and refuse the permit a moment later (kazi-bodi steady)
        want = self.wanted(js, now) + sum(1 for e in js.entries.values() if e.part == part and not e.landed)
        permits = [
            [e.task, e.attempt, e.machine, e.epoch, e.ticket, e.stop] for e in js.entries.values() if e.part == part and e.landed
        ]
        if not want and not permits:
            return None
        running = sum(1 for e in js.entries.values() if e.state in ("running", "saving") and not e.over)
        out: dict[str, Any] = {"v": list(js.vec), "w": want, "p": permits, "c": [js.done_count, running]}
        if js.job is not None:
            out["j"] = js.job.record()
            out["o"] = list(self.order(js))
            if (zones := self.zone_room(js)) is not None:
                out["z"] = zones
            if js.failed_on:
                out["x"] = sorted(js.failed_on)
        return out

    def demand(self, now: float) -> dict[str, Any]:
        """Waiting tasks, each once, for the renter."""
        out: dict[str, Any] = {}
        left = {t: (team.cpus_max - self.used[t][0] if team.cpus_max > 0 else 1e18,
                    team.gpus_max - self.used[t][1] if team.gpus_max > 0 else 1e18) for t, team in self.teams.items()}  # fmt: skip
        for js in sorted((j for j in self.jobs.values() if j.job is not None), key=self.order):
            n = 0 if js.not_before > now + 5 else js.waiting()
            cpus, gpus = left[js.team]
            if js.vec[0] > 0:
                n = min(n, int(max(0.0, cpus) / js.vec[0] + EPS))
            if js.vec[1] > 0:
                n = min(n, int(max(0.0, gpus) / js.vec[1] + EPS))
            if js.job is not None and js.job.kind == "gang" and n < js.n:
                n = 0
            if n > 0:
                left[js.team] = (cpus - n * js.vec[0], gpus - n * js.vec[1])
                out[js.id] = [js.job.record() if js.job else None, n, self.zone_room(js), list(self.order(js))]
        return out

    def progress(self, jid: str) -> tuple[int, int]:
        """(done, running) for display."""
        js = self.jobs.get(jid)
        if js is None:
            return 0, 0
        return js.done_count, sum(1 for e in js.entries.values() if e.state in ("running", "saving") and not e.over)
