"""The source of one shard's teams: says which ready candidate starts, within limit, zone and spread.

Every outstanding permit stands in the team's cell in the state service before an owner hears of it,
and leaves the cell only when that start is proven gone. No I/O: transactions come out as values and
their outcomes are passed in. Work follows what has changed: a job with news, a chunk that is dirty,
a team whose use moved; never all jobs or all entries.
"""

from __future__ import annotations

import base64
import heapq
from bisect import insort
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson

from ploverhall.bookkeeping.replica import JOB, SHARD, cell_prefix, end_record, progress_prefix
from ploverhall.coordination.fleet import EPS, Vec, add
from ploverhall.protocol import peers
from ploverhall.protocol.jobs import DONE, Job
from ploverhall.protocol.peers import Candidate, DemandNews, JobNews, OfferNews, PermitNews, StartNews
from ploverhall.settings import Team

ATTEMPT_BITS = 28
PROGRESS_TASKS = 8192  # tasks whose bits share one value: about 1.4 KB
PATIENCE_S = 0.06  # how long a worse answer waits for a better one: a few round trips between controllers
FILL = 0.92  # of a value's limit that a chunk may take; the rest is room for what json may add
TXN_BYTES = 56_000  # of the 64 KiB a transaction may take
TEAM_EVERY_S = 0.2  # how often a team's waiting jobs are held against its limit anew
REMEMBERED = 200  # starts that died and jobs that ended, for people who ask
WORKED_S = 10.0  # a task that has run for so long works: what fails by its own mistake fails as soon as it has its image
AVOID_S = 120.0  # how long a machine is avoided by a job that failed there
TRY_S, TRY_MOST_S = 5.0, 90.0  # first and longest pause between two tries of a job that fails everywhere
REST_S, REST_MOST_S = 1.0, 60.0  # the same for one task that fails while its job works
REVISIT_S = 1.0  # how often every job with offers is decided anew, whatever has been seen to change


@dataclass(slots=True, eq=False)
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
    chunk: Chunk
    landed: bool = False
    state: str = "permitted"
    why: str = ""
    saved: bool = False
    notice: int = 0  # 1: its machine goes, 2: its room is needed
    stop: float | None = None
    ran_at: float | None = None  # when it was first told to be running
    over: bool = False  # exited and recorded here, or proven gone: to be taken out of the cell

    def record(self) -> list[Any]:
        """The form kept in the cell."""
        return [self.task, self.attempt, self.machine, self.part, self.zone, self.epoch, self.ticket]

    @property
    def running(self) -> bool:
        """Whether users are told that it runs."""
        return not self.over and self.state in ("running", "saving")


@dataclass(slots=True, eq=False)
class Chunk:
    """One value of a team's cell, with its size as it will be encoded."""

    team: str
    index: int
    version: int = 0
    entries: dict[tuple[str, int], Entry] = field(default_factory=dict)
    jobs: dict[str, int] = field(default_factory=dict)  # entries by job
    size: int = 2

    @property
    def key(self) -> str:
        """Where it is kept."""
        return f"{cell_prefix(self.team)}{self.index}"

    def put(self, e: Entry, vec: Vec) -> None:
        """Take an entry in."""
        self.entries[e.job, e.task] = e
        if e.job not in self.jobs:
            self.size += header_bytes(e.job, vec)
        self.jobs[e.job] = self.jobs.get(e.job, 0) + 1
        self.size += entry_bytes(e)
        e.chunk = self

    def drop(self, e: Entry, vec: Vec) -> None:
        """Take an entry out."""
        if self.entries.get((e.job, e.task)) is not e:
            return
        del self.entries[e.job, e.task]
        self.size -= entry_bytes(e)
        self.jobs[e.job] -= 1
        if not self.jobs[e.job]:
            del self.jobs[e.job]
            self.size -= header_bytes(e.job, vec)


def entry_bytes(e: Entry) -> int:
    """What an entry takes in its chunk's value, as encoded."""
    return len(orjson.dumps(e.record())) + 1


def header_bytes(job: str, vec: Vec) -> int:
    """What a job takes in a chunk's value besides its entries."""
    return len(orjson.dumps({job: [list(vec), []]}))


@dataclass(slots=True, eq=False)
class Offer:
    """Room that an owner holds for a candidate."""

    part: int
    epoch: int
    ticket: int
    machine: str
    zone: str
    cost: float
    victims: int


@dataclass(eq=False)
class JobState:
    """A job while it is live or has tasks somewhere."""

    id: str
    team: str
    vec: Vec
    job: Job | None = None  # None: over, only its tasks remain
    version: int = 0
    entries: dict[int, Entry] = field(default_factory=dict)  # by task; one start of a task at a time
    zones: dict[str, int] = field(default_factory=dict)  # entries by zone
    unlanded: dict[int, int] = field(default_factory=dict)  # permits being written, by part
    tickets: set[tuple[int, int, int]] = field(default_factory=set)  # part, epoch and ticket of its entries
    running: int = 0
    done: bytearray = field(default_factory=bytearray)
    done_count: int = 0
    dirty_progress: set[int] = field(default_factory=set)
    stored_progress: set[int] = field(default_factory=set)
    fresh: int = 0  # tasks from here on were never permitted by this source
    again: list[int] = field(default_factory=list)
    offers: dict[tuple[int, int], Offer] = field(default_factory=dict)
    not_before: float = 0.0
    failed_on: dict[str, float] = field(default_factory=dict)  # machines that are avoided, and since when
    task_failures: dict[int, int] = field(default_factory=dict)
    resting: dict[int, float] = field(default_factory=dict)  # tasks that failed, and when they may be tried again
    broken: bool = False  # it fails wherever it starts: its own fault, not the machines'
    tries: int = 0  # since it has been taken for broken
    failures: int = 0  # in all, for display
    last_failure: str = ""
    complete: bool = False  # every task done; the record of it is still to be written
    blocked: bool = False  # its key changed under a write: wait for the watch
    within: bool = False  # of its team's guarantee, together with the team's earlier jobs
    since: float = 0.0  # when it came, or a start of it last ended
    came: float = 0.0  # when this source first knew of it
    ran: bool = False  # all of its tasks have run at once

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
        if task < self.fresh and task not in self.resting:
            heapq.heappush(self.again, task)

    def rested(self, now: float) -> None:
        """Tasks that may be tried again wait like any other."""
        for task in [t for t, until in self.resting.items() if until <= now]:
            del self.resting[task]
            if task not in self.entries:
                self.put_back(task)

    def works(self, now: float) -> bool:
        """Whether any of its tasks has been seen to do what it should: it completed, or it runs on."""
        return self.done_count > 0 or any(e.running and e.ran_at is not None and now - e.ran_at > WORKED_S for e in self.entries.values())


@dataclass(slots=True)
class ChunkWrite:
    """What one write does to one chunk."""

    chunk: Chunk
    adds: list[Entry] = field(default_factory=list)
    removes: list[Entry] = field(default_factory=list)


@dataclass(slots=True)
class Txn:
    """One write: what it guards on, what it changes, and what it means here when it lands."""

    guards: dict[str, int]
    puts: dict[str, Any]
    deletes: list[str]
    chunks: list[ChunkWrite] = field(default_factory=list)
    progress: list[tuple[JobState, int]] = field(default_factory=list)
    ends: list[JobState] = field(default_factory=list)
    size: int = 400

    @property
    def ops(self) -> int:
        """Puts and deletes."""
        return len(self.puts) + len(self.deletes)

    @property
    def adds(self) -> list[Entry]:
        """The permits that this write lands."""
        return [e for c in self.chunks for e in c.adds]


class Death(NamedTuple):
    """A start that ended without completing."""

    at: float
    job: str
    task: int
    machine: str
    why: str


class End(NamedTuple):
    """A job that is over."""

    at: float
    job: str
    team: str
    how: str
    done: int
    tasks: int
    failures: int
    last_failure: str


class Source:
    """Decides for the jobs of one shard's teams."""

    def __init__(self, shard: int, epoch: int, teams: list[Team], zones: tuple[str, ...], value_bytes: int, txn_ops: int) -> None:
        self.shard, self.epoch = shard, epoch
        self.teams = {t.name: t for t in teams}
        self.zones = zones
        self.txn_ops = txn_ops
        self.chunk_bytes = min(int(value_bytes * FILL), TXN_BYTES // 2)
        self.jobs: dict[str, JobState] = {}
        self.chunks: dict[str, dict[int, Chunk]] = {t.name: {} for t in teams}
        self.dirty_chunks: dict[Chunk, bool] = {}  # to be written; True: holds permits that wait for it
        self.fences: set[tuple[str, int]] = set()  # chunks that a write of unknown outcome may still change
        self.ending: dict[str, JobState] = {}  # complete, the record of it is still to be written
        self.garbage: list[str] = []  # progress records of jobs that are over
        self.used: dict[str, Vec] = {t.name: (0.0, 0.0, 0.0) for t in teams}
        self.by_age: dict[str, list[tuple[float, str]]] = {t.name: [] for t in teams}  # live jobs, oldest first
        self.within: dict[str, set[str]] = {t.name: set() for t in teams}
        self.waits: dict[str, dict[str, JobState]] = {t.name: {} for t in teams}  # jobs with tasks that wait
        self.offer_job: dict[tuple[int, int], str] = {}
        self.changed: set[str] = set()  # jobs that owners must hear of
        self.counted: set[str] = set()  # jobs whose numbers for display have changed
        self.permit_news: dict[tuple[int, str], PermitNews | None] = {}
        self.hot: set[str] = set()  # jobs to decide
        self.moved: set[str] = set()  # teams whose use has changed
        self.reorder: set[str] = set(self.teams)
        self.retries: list[tuple[float, str]] = []
        self.next_team = self.next_revisit = 0.0
        self.attempts = 0
        self.most_ops = txn_ops  # of the write being planned
        self.crowded = 0  # writes that could not take all that waited
        self.impatient = False  # a worse answer is being held back for a moment
        self.deaths: deque[Death] = deque(maxlen=REMEMBERED)
        self.ends: deque[End] = deque(maxlen=REMEMBERED)
        self.usual: dict[str, float] = {}  # by class: how long its gangs and services wait until all their tasks run, lately
        self.visits = 0  # jobs and entries looked at: what the tests of growth count
        self.note: Callable[..., None] = lambda *a, **k: None  # what was decided on the way
        self.report: Callable[..., None] = lambda *a, **k: None  # what a person should know

    # -- starting ----------------------------------------------------------------------------

    def install_cell(self, team: str, found: dict[str, tuple[Any, int]], now: float) -> None:
        """Take in a team's cell as read: at the start, and whenever a write's outcome is unknown."""
        seen: set[tuple[str, int, int]] = set()
        old = self.chunks[team]
        for chunk in old.values():
            self.dirty_chunks.pop(chunk, None)
        self.chunks[team] = {}
        for key, (value, version) in found.items():
            chunk = Chunk(team, int(key.rsplit("/", 1)[1]), version)
            self.chunks[team][chunk.index] = chunk
            if not value:
                self.dirty_chunks.setdefault(chunk, False)  # written empty by a fence: to be deleted
            for jid, (vec, entries) in value.items():
                for task, attempt, machine, part, zone, epoch, ticket in entries:
                    js = self.jobs.get(jid)
                    if js is None:
                        js = self.jobs[jid] = JobState(jid, team, (vec[0], vec[1], vec[2]), since=now, came=now)
                    seen.add((jid, task, attempt))
                    e = js.entries.get(task)
                    if e is not None and e.attempt == attempt:
                        chunk.put(e, js.vec)
                        self._land(js, e)
                    else:
                        if e is not None:
                            self._remove(js, e)
                            self.jobs[jid] = js
                        e = Entry(jid, task, attempt, machine, part, zone, epoch, ticket, chunk, landed=True)
                        if js.job is None:
                            e.stop = 0.0
                        self._insert(js, e)
                        self._tell(e)
                    if e.over:
                        self.dirty_chunks.setdefault(chunk, False)
        for chunk in old.values():
            for e in list(chunk.entries.values()):
                js = self.jobs.get(e.job)
                if js is not None and js.entries.get(e.task) is e and (e.job, e.task, e.attempt) not in seen:
                    self._remove(js, e)  # it never landed, or its removal did
                    js.put_back(e.task)

    def install_progress(self, team: str, found: dict[str, tuple[Any, int]]) -> None:
        """Take in what is recorded of a team's unfinished arrays. Live jobs must be known by now."""
        for key, (value, _) in found.items():
            jid, _, chunk = key[len(progress_prefix(team)) :].rpartition("/")
            js = self.jobs.get(jid)
            if js is None or js.job is None:
                self.garbage.append(key)
                continue
            base = int(chunk) * PROGRESS_TASKS
            js.stored_progress.add(int(chunk))
            for i, byte in enumerate(base64.b64decode(value)):
                for bit in range(8):
                    task = base + i * 8 + bit
                    if byte & (1 << bit) and task < js.n:
                        js.mark(task)
            js.dirty_progress.clear()
            if js.job.kind == "array" and js.done_count == js.n:
                self._complete(js)

    def on_job(self, job: Job | None, jid: str, version: int, now: float) -> None:
        """The watch brought a job of this shard's teams, or its end (None)."""
        js = self.jobs.get(jid)
        self.changed.add(jid)
        self.counted.add(jid)
        if job is None:
            if js is None:
                return
            if js.job is not None:
                how = "done" if js.complete else "withdrawn"
                self.ends.append(End(now, jid, js.team, how, js.n if js.complete else js.done_count, js.n, js.failures, js.last_failure))
                self.by_age[js.team].remove((js.job.at, jid))
                self.garbage += [f"{progress_prefix(js.team)}{jid}/{k}" for k in js.stored_progress | js.dirty_progress]
            self.reorder.add(js.team)
            self.ending.pop(jid, None)
            js.job, js.version = None, 0
            self._drop_offers(js)
            for e in js.entries.values():
                self._stop(e, 0.0)
            if not js.entries:
                del self.jobs[jid]
            return
        self.reorder.add(job.team)
        if js is None:
            js = self.jobs[jid] = JobState(jid, job.team, job.vec, since=now, came=now)
        if js.job is None:
            insort(self.by_age[job.team], (job.at, jid))
            for e in js.entries.values():
                e.stop = None
                self._tell(e)
        js.job, js.version, js.vec, js.blocked = job, version, job.vec, False

    # -- entries -----------------------------------------------------------------------------

    def _insert(self, js: JobState, e: Entry) -> None:
        js.entries[e.task] = e
        js.zones[e.zone] = js.zones.get(e.zone, 0) + 1
        js.tickets.add((e.part, e.epoch, e.ticket))
        if not e.landed:
            js.unlanded[e.part] = js.unlanded.get(e.part, 0) + 1
        self.used[js.team] = add(self.used[js.team], js.vec)
        e.chunk.put(e, js.vec)
        self.changed.add(js.id)
        self.moved.add(js.team)

    def _remove(self, js: JobState, e: Entry) -> None:
        del js.entries[e.task]
        js.zones[e.zone] -= 1
        if not js.zones[e.zone]:
            del js.zones[e.zone]
        js.tickets.discard((e.part, e.epoch, e.ticket))
        if not e.landed:
            self._landed_one(js, e)
        else:
            self.permit_news[e.part, peers.permit_key((e.job, e.task, e.attempt))] = None
        self.used[js.team] = add(self.used[js.team], js.vec, -1)
        e.chunk.drop(e, js.vec)
        js.running -= e.running
        self.changed.add(js.id)
        self.counted.add(js.id)
        self.moved.add(js.team)
        if js.offers:
            self.hot.add(js.id)
        if js.job is None and not js.entries:
            self.jobs.pop(js.id, None)

    def _landed_one(self, js: JobState, e: Entry) -> None:
        js.unlanded[e.part] -= 1
        if not js.unlanded[e.part]:
            del js.unlanded[e.part]

    def _land(self, js: JobState, e: Entry) -> None:
        """A permit is in the cell: its owner may hear of it."""
        if not e.landed:
            self._landed_one(js, e)
            e.landed = True
            self.changed.add(js.id)
        if js.job is None and not e.over:
            e.stop = 0.0  # its job ended while the write was on its way
        self._tell(e)

    def _tell(self, e: Entry) -> None:
        """The owner of a permit must hear of it."""
        if e.landed:
            self.permit_news[e.part, peers.permit_key((e.job, e.task, e.attempt))] = PermitNews(e.machine, e.epoch, e.ticket, e.stop)

    def _stop(self, e: Entry, grace: float) -> None:
        if e.stop != grace:
            e.stop = grace
            self._tell(e)

    def _chunk_for(self, team: str, size: int) -> Chunk:
        """A chunk with that much room: one that is to be written anyway, else any, else a new one."""
        chunks = self.chunks[team]
        best: Chunk | None = None
        for chunk in chunks.values():
            if chunk.size + size <= self.chunk_bytes:
                if chunk in self.dirty_chunks:
                    return chunk
                best = best or chunk
        if best is None:
            index = 0
            while index in chunks:
                index += 1
            best = chunks[index] = Chunk(team, index)
        return best

    # -- what owners tell --------------------------------------------------------------------

    def on_owner(self, part: int, epoch: int, full: bool, changes: dict[str, Any], now: float) -> None:
        """An owner's board: offers, and what became of permits."""
        if full:
            for k in [k for k in self.offer_job if k[0] == part and peers.offer_key(k[1]) not in changes]:
                self._drop_offer(k)
        for key, value in changes.items():
            if key[0] == peers.OFFER:
                self._offer(part, epoch, int(key[1:]), OfferNews(*value) if value is not None else None)
            elif key[0] == peers.START and value is not None:
                job, task, attempt = peers.split_key(key)
                js = self.jobs.get(job)
                e = js.entries.get(task) if js is not None else None
                if js is not None and e is not None and e.attempt == attempt and e.part == part and e.landed and epoch >= e.epoch:
                    self._status(js, e, StartNews(*value), now)

    def _offer(self, part: int, epoch: int, ticket: int, news: OfferNews | None) -> None:
        self._drop_offer((part, ticket))
        js = self.jobs.get(news.job) if news is not None else None
        if news is not None and js is not None and js.job is not None and (part, epoch, ticket) not in js.tickets:
            js.offers[part, ticket] = Offer(part, epoch, ticket, news.machine, news.zone, news.cost, news.victims)
            self.offer_job[part, ticket] = js.id
            self.hot.add(js.id)

    def _drop_offer(self, key: tuple[int, int]) -> None:
        jid = self.offer_job.pop(key, None)
        if jid is not None and (js := self.jobs.get(jid)) is not None:
            js.offers.pop(key, None)

    def _drop_offers(self, js: JobState) -> None:
        for key in list(js.offers):
            self._drop_offer(key)

    def _status(self, js: JobState, e: Entry, news: StartNews, now: float) -> None:
        state, why = news.state, news.why
        if e.over or (state == e.state and why == e.why and news.notice == e.notice):
            return
        self.note("task", job=e.job, task=e.task, attempt=e.attempt, machine=e.machine, state=state, why=why or "-")
        js.running -= e.running
        e.state, e.why, e.saved, e.notice = state, why, bool(news.saved), news.notice
        e.over = state in ("exited", "gone")
        js.running += e.running
        if state == "running" and e.ran_at is None:
            e.ran_at = now
            if js.job is not None and js.running == js.n and js.job.kind != "array" and not js.ran:
                js.ran = True
                known = self.usual.get(js.job.klass)
                waited = now - js.came
                self.usual[js.job.klass] = waited if known is None else 0.8 * known + 0.2 * waited
            if js.broken:
                heapq.heappush(self.retries, (now + WORKED_S + 0.1, js.id))
        self.counted.add(js.id)
        if not e.over:
            if news.notice and js.job is not None:
                self._leave(js, e, news.notice)
            return
        js.since = now
        self.dirty_chunks.setdefault(e.chunk, False)
        if js.job is None:
            return
        if why != "done":
            self.deaths.append(Death(now, e.job, e.task, e.machine, why or state))
        if state == "exited" and why == "done" and js.job.kind != "service":
            if js.job.kind == "gang":
                self._complete(js)  # a gang completes together
            else:
                js.mark(e.task)
                if js.broken:
                    self._blame(js, False, now)
                if js.done_count == js.n:
                    self._complete(js)
            self.reorder.add(js.team)
            return
        if state == "exited" and why in ("error", "unknown", "no_room", "in_use"):
            self._failed(js, e, why, bool(news.suspect), now)
        if js.job.kind == "gang":
            # the attempt is broken: the rest leaves, saving where that still helps, and it begins anew
            for other in js.entries.values():
                if not other.over and other.stop is None:
                    self._stop(other, 0.0)

    def _complete(self, js: JobState) -> None:
        js.complete = True
        self.ending[js.id] = js
        self.changed.add(js.id)

    def _leave(self, js: JobState, e: Entry, notice: int) -> None:
        """Its machine goes away or its room is needed: save what can be saved, a gang's tasks all together."""
        job = js.job
        assert job is not None
        grace = job.save_s + 1.0 if job.checkpoint_s > (0.0 if notice == 1 else 2.0 * job.save_s + 15.0) else 0.0
        if job.kind == "gang":
            for other in js.entries.values():
                if not other.over and other.stop is None:
                    self._stop(other, grace)
        elif e.stop is None and (notice == 2 or grace > 0 or job.kind == "service"):
            self._stop(e, grace)

    def _failed(self, js: JobState, e: Entry, why: str, suspect: bool, now: float) -> None:
        """A start failed: by the machine's fault, or by the job's own if it fails on machines that nothing else speaks against.

        One failing task rests while the others go on; only a job that works nowhere is held back as a whole.
        """
        js.failures += 1
        js.last_failure = f"{why} on {e.machine}"
        self.note("failed", job=e.job, task=e.task, machine=e.machine, why=why, times=js.failures)
        rest = 1.0 if why == "unknown" else 0.3
        if why == "error":
            js.failed_on = {m: t for m, t in js.failed_on.items() if now - t < AVOID_S}
            known = e.machine in js.failed_on
            if not suspect:
                js.failed_on[e.machine] = now
            times = js.task_failures[e.task] = js.task_failures.get(e.task, 0) + 1
            rest = 0.0 if times < 2 else min(REST_MOST_S, REST_S * 2.0 ** min(times - 2, 10))
            if js.broken:
                self._hold_back(js, now)
            elif len(js.failed_on) >= 2 and not known and not js.works(now):
                self._blame(js, True, now)
        if rest > 0 and js.job is not None and js.job.kind == "gang":
            js.not_before = max(js.not_before, now + rest)
        elif rest > 0:
            js.resting[e.task] = now + rest
        if rest > 0 or js.not_before > now:
            heapq.heappush(self.retries, (max(now + rest, js.not_before), js.id))
        self.changed.add(js.id)

    def _blame(self, js: JobState, broken: bool, now: float) -> None:
        """The job itself is taken for broken, or has shown that it works."""
        if js.broken == broken or js.job is None:
            return
        js.broken = broken
        self.report("job fails everywhere" if broken else "job works again", job=js.id, team=js.team,
                    machines=",".join(sorted(js.failed_on)), failures=js.failures)  # fmt: skip
        self.changed.add(js.id)
        self.hot.add(js.id)
        self.reorder.add(js.team)
        if broken:
            js.tries = 0
            self._hold_back(js, now)
            for other in js.entries.values():
                if not other.over and other.stop is None and other.state in ("permitted", "fetching"):
                    self._stop(other, 0.0)
        else:
            js.not_before = 0.0
            js.failed_on.clear()
            js.task_failures.clear()
            for task in js.resting:
                js.resting[task] = now
            js.rested(now)

    def _hold_back(self, js: JobState, now: float) -> None:
        """It is tried now and then, ever more seldom: one task, or one whole gang."""
        if now >= js.not_before:
            js.not_before = now + min(TRY_MOST_S, TRY_S * 2.0 ** min(js.tries, 10))
            js.tries += 1
            heapq.heappush(self.retries, (js.not_before, js.id))

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
        out = {}
        for z in self.zones:
            n = job.zone_cap - js.zones.get(z, 0) if job.spread else job.n
            if (job.one_zone and js.zones and z not in js.zones) or (job.zone and z != job.zone):
                n = 0
            out[z] = max(0, n)
        return out

    def _order(self) -> None:
        """Which jobs fit the team's guarantee together with the earlier unfinished ones."""
        for name in self.reorder:
            team = self.teams[name]
            total = (0.0, 0.0, 0.0)
            now_within: set[str] = set()
            for _, jid in self.by_age[name] if team.cpus > 0 or team.gpus > 0 else ():
                js = self.jobs[jid]
                self.visits += 1
                if js.broken:
                    continue  # it keeps nobody's guarantee
                total = add(total, js.vec, js.n - js.done_count)
                if (team.cpus > 0 and total[0] > team.cpus + EPS) or (team.gpus > 0 and total[1] > team.gpus + EPS):
                    break  # and so are all later ones
                now_within.add(jid)
            for jid in now_within ^ self.within[name]:
                if (known := self.jobs.get(jid)) is not None:
                    known.within = jid in now_within
                    self.changed.add(jid)
            self.within[name] = now_within
        self.reorder.clear()

    def order(self, js: JobState) -> tuple[float, ...]:
        """Place in every queue: services, then work within its guarantee, then by rank and time."""
        job = js.job
        assert job is not None
        due = job.at + (job.deadline_s if job.deadline_s is not None else 600.0)
        return (2.0 if js.broken else 0.0 if job.rank == 0 else 1.0, 0.0 if js.within else 1.0, float(job.rank), due)

    def wanted(self, js: JobState, now: float) -> int:
        """How many candidates to keep in every part."""
        if js.job is None or js.blocked or js.complete or now < js.not_before:
            return 0
        n = min(js.waiting() - sum(1 for t in js.resting if t not in js.entries), self.headroom(js))
        if js.broken and js.job.kind != "gang":
            n = min(n, 0 if js.entries else 1)
        if js.job.kind == "gang" and (js.entries or n < js.n):
            return 0  # all or nothing, and not while an old attempt's task is somewhere
        return max(0, n)

    def _revisit(self, now: float) -> None:
        """What time brings: jobs that may be tried again, and teams whose use has moved."""
        while self.retries and self.retries[0][0] <= now:
            _, jid = heapq.heappop(self.retries)
            self.changed.add(jid)
            self.hot.add(jid)
            if (js := self.jobs.get(jid)) is not None:
                js.rested(now)
                if js.broken and js.works(now):
                    self._blame(js, False, now)
        if self.moved and now >= self.next_team:
            self.next_team = now + TEAM_EVERY_S
            for team in self.moved:
                self.changed.update(self.waits[team])
                self.hot.update(jid for jid, js in self.waits[team].items() if js.offers)
            self.moved.clear()
        if now >= self.next_revisit:
            self.next_revisit = now + REVISIT_S
            self.hot.update(self.offer_job.values())

    def decide(self, now: float) -> None:
        """Permit ready candidates, in memory; they go out when the write has landed."""
        self._revisit(now)
        if self.reorder:
            self._order()
        self.impatient = False
        if not self.hot:
            return
        hot, self.hot = self.hot, set()
        ready = [js for jid in hot if (js := self.jobs.get(jid)) is not None and js.offers and js.job is not None]
        for js in sorted(ready, key=self.order):
            self._decide(js, now)

    def _decide(self, js: JobState, now: float) -> None:
        job = js.job
        assert job is not None
        self.visits += 1
        n = self.wanted(js, now)
        if n <= 0:
            return
        zones = self.zone_room(js)
        # an owner's cost counts what is lost by stopping others; work that could be anywhere takes plain room first all the same
        offers = sorted(
            (o for o in js.offers.values() if o.machine not in js.failed_on),
            key=lambda o: (o.victims if job.spot else 0, o.cost, o.victims, o.ticket),
        )
        if now - js.since < PATIENCE_S:
            # room by preemption, or without the image, is a worse answer: let the other owners speak first,
            # or the owner next door wins every race (the paper's optional scoring, cut to a blink)
            waited = [o for o in offers if not o.victims and o.cost <= 1.0]
            if len(waited) < len(offers):
                self.impatient = True
                self.hot.add(js.id)
            offers = waited
        if job.kind == "gang":
            offers = self._gang(job, [o for o in offers if zones is None or zones.get(o.zone, 0) > 0])
        chosen: list[Offer] = []
        for o in offers:
            if len(chosen) >= n:
                break
            if zones is not None:
                if zones.get(o.zone, 0) <= 0:
                    continue
                zones[o.zone] -= 1
                if job.one_zone:
                    zones = {z: (v if z == o.zone else 0) for z, v in zones.items()}
            chosen.append(o)
        if not chosen or (job.kind == "gang" and len(chosen) < js.n):
            return  # never a part of a gang
        self._permit(js, chosen)

    def _permit(self, js: JobState, chosen: list[Offer]) -> None:
        attempt = self._attempt()
        new: list[Entry] = []
        nowhere = Chunk(js.team, -1)
        for o in chosen:
            task = js.take()
            if task is None:
                break
            new.append(Entry(js.id, task, attempt, o.machine, o.part, o.zone, o.epoch, o.ticket, nowhere))
            self._drop_offer((o.part, o.ticket))
        sizes = [entry_bytes(e) for e in new]
        header = header_bytes(js.id, js.vec)
        total = header + sum(sizes)
        # a gang's permits stand in one chunk where one can hold them, so that they land together
        whole = self._chunk_for(js.team, total) if js.job is not None and js.job.kind == "gang" and total + 2 <= self.chunk_bytes else None
        for e, size in zip(new, sizes, strict=True):
            e.chunk = whole or self._chunk_for(js.team, header + size)
            self._insert(js, e)
            self.dirty_chunks[e.chunk] = True

    def _attempt(self) -> int:
        self.attempts += 1
        return (self.epoch << ATTEMPT_BITS) + self.attempts

    def _gang(self, job: Job, offers: list[Offer]) -> list[Offer]:
        """A whole gang or nothing: from one part if one has it all, else from pieces of several."""
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

    def plan(self, most: int | None = None) -> Txn | None:
        """The next write: permits first, then ends, then exits; as many as one transaction takes, or `most` changes.

        Where more waits than that, the most important jobs' changes go first: permits of replicas stood behind those of
        a guest's many tiny tasks. Every fourth such write takes what has waited longest, so that the rest goes on, too.
        """
        txn = Txn({f"{SHARD}{self.shard}": self.epoch}, {}, [])
        if self.fences:
            return self._fence(txn)
        self.most_ops = self.txn_ops if most is None else max(2, min(self.txn_ops, most))
        work: list[Chunk | JobState] = [c for c, permits in self.dirty_chunks.items() if permits]
        work += self.ending.values()
        work += [c for c, permits in self.dirty_chunks.items() if not permits]
        if len(work) > self.most_ops:
            self.crowded += 1
            if self.crowded % 4:
                work.sort(key=self._urgency)
        for item in work:
            if not (self._plan_chunk(txn, item) if isinstance(item, Chunk) else self._plan_end(txn, item)):
                break
        while self.garbage and txn.ops < self.most_ops and txn.ops > 0 and txn.size < TXN_BYTES:
            key = self.garbage.pop()
            if key not in txn.puts:
                txn.deletes.append(key)  # of no use to anybody: if this write fails, the next source finds it
                txn.size += len(key) + 40
        return txn if txn.ops else None

    def _urgency(self, item: Chunk | JobState) -> tuple[float, ...]:
        """Whose change is the more important one; of one job first its permits, then its end, then its exits."""
        if isinstance(item, JobState):
            return (*self.order(item)[:3], 1.0) if item.job is not None else (9.0,)
        permits = self.dirty_chunks[item]
        jobs = [js for jid in item.jobs if (js := self.jobs[jid]).job is not None and (not permits or js.unlanded)]
        return (*min((self.order(js)[:3] for js in jobs), default=(9.0,)), 0.0 if permits else 2.0)

    def _plan_end(self, txn: Txn, js: JobState) -> bool:
        """Add a job's end to a write; False when there was no room for it."""
        if js.blocked or js.job is None or JOB + js.id in txn.guards:
            return True
        if txn.ops + 1 > self.most_ops or len(txn.guards) + 1 > self._max_guards or txn.size > TXN_BYTES:
            return False
        txn.guards[JOB + js.id] = js.version
        txn.puts[JOB + js.id] = end_record(DONE, js.n)
        txn.ends.append(js)
        txn.size += 150
        return True

    def unknown(self, txn: Txn) -> None:
        """A write's outcome is not known: it may land at any later time, until its chunks have been written anew.

        Reading the cell again is not enough. A permit that has not landed may be given anew in another chunk; if the
        late write lands after that, one task has two permits (kazi-bodi-grown rough, state service slow: ran_twice).
        """
        self.fences.update((w.chunk.team, w.chunk.index) for w in txn.chunks)

    def _fence(self, txn: Txn) -> Txn:
        """Write chunks again as they were read, alone and before all else: the late write fails their guards."""
        for team, index in sorted(self.fences):
            chunk = self.chunks[team].setdefault(index, Chunk(team, index))
            if txn.ops >= self.txn_ops or (txn.ops and txn.size + chunk.size + 300 > TXN_BYTES):
                break
            value: dict[str, Any] = {}
            for _, e in sorted(chunk.entries.items()):
                if e.landed:
                    _put(value, self.jobs[e.job], e)
            txn.guards[chunk.key] = chunk.version
            txn.puts[chunk.key] = value
            txn.chunks.append(ChunkWrite(chunk))
            txn.size += chunk.size + 2 * len(chunk.key) + 100
        return txn

    @property
    def _max_guards(self) -> int:
        return 4 * self.txn_ops

    def _plan_chunk(self, txn: Txn, chunk: Chunk) -> bool:
        """Add one chunk's value to a write, with what it depends on; False when there was no room for it."""
        if txn.ops + 1 > self.most_ops or len(txn.guards) + 2 > self._max_guards or txn.size + chunk.size + 300 > TXN_BYTES:
            return False
        value: dict[str, Any] = {}
        write = ChunkWrite(chunk)
        spare = self.most_ops - txn.ops - 1
        for (jid, task), e in sorted(chunk.entries.items()):
            self.visits += 1
            js = self.jobs[jid]
            if e.over and e.landed:
                part = task // PROGRESS_TASKS
                if js.job is not None and not js.complete and part in js.dirty_progress:
                    key = f"{progress_prefix(chunk.team)}{jid}/{part}"
                    if key not in txn.puts:
                        if spare <= 0 or txn.size + chunk.size > TXN_BYTES:
                            _put(value, js, e)
                            continue
                        spare -= 1
                        lo = part * PROGRESS_TASKS // 8
                        txn.puts[key] = base64.b64encode(bytes(js.done[lo : lo + PROGRESS_TASKS // 8])).decode()
                        txn.progress.append((js, part))
                        txn.size += len(txn.puts[key]) + len(key) + 40
                write.removes.append(e)
                continue
            if not e.landed:
                key = JOB + jid
                if js.job is None or js.blocked or key in txn.puts:
                    write.removes.append(e)  # never written: it just goes
                    continue
                if key not in txn.guards:
                    if len(txn.guards) + 2 > self._max_guards:
                        continue
                    txn.guards[key] = js.version
                    txn.size += len(key) + 40
                write.adds.append(e)
            _put(value, js, e)
        txn.guards[chunk.key] = chunk.version
        if value:
            txn.puts[chunk.key] = value
        elif chunk.version:
            txn.deletes.append(chunk.key)
        txn.chunks.append(write)
        txn.size += chunk.size + 2 * len(chunk.key) + 100
        return True

    def landed(self, txn: Txn, revision: int, now: float) -> None:
        """The write is in: permits go out, exits may be forgotten by the workers."""
        for js, part in txn.progress:
            js.dirty_progress.discard(part)
            js.stored_progress.add(part)
        for write in txn.chunks:
            chunk = write.chunk
            self.fences.discard((chunk.team, chunk.index))
            if chunk.key in txn.puts:
                chunk.version = revision
            else:
                chunk.version = 0
            for e in write.adds:
                known = self.jobs.get(e.job)
                if known is not None:
                    self._land(known, e)
                self.note("permit", job=e.job, task=e.task, attempt=e.attempt, machine=e.machine, part=e.part)
            self._clear(write.removes)
            self._redo(chunk)
        for js in txn.ends:
            self.note("done", job=js.id)
            self.on_job(None, js.id, 0, now)

    def _clear(self, entries: Iterable[Entry]) -> None:
        for e in entries:
            js = self.jobs.get(e.job)
            if js is not None and js.entries.get(e.task) is e:
                self._remove(js, e)
                if not js.is_done(e.task):
                    js.put_back(e.task)

    def _redo(self, chunk: Chunk) -> None:
        """What became over or was added while the write was on its way still has to be written."""
        self.dirty_chunks.pop(chunk, None)
        for e in chunk.entries.values():
            self.visits += 1
            if e.over or not e.landed:
                self.dirty_chunks[chunk] = self.dirty_chunks.get(chunk, False) or not e.landed
        if not chunk.entries and chunk.version:
            self.dirty_chunks.setdefault(chunk, False)  # an empty value: to be deleted
        elif not chunk.entries:
            self.chunks[chunk.team].pop(chunk.index, None)

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
        return sorted({w.chunk.team for w in txn.chunks})

    # -- what owners and the renter are told ---------------------------------------------------

    def take_news(self, parts: int, now: float) -> dict[tuple[int, str], Any]:
        """What has changed for the owners since the last time: (part, key) -> value."""
        out: dict[tuple[int, str], Any] = dict(self.permit_news)
        self.permit_news.clear()
        for jid in self.changed:
            self.visits += 1
            js = self.jobs.get(jid)
            if js is None:
                for part in range(parts):
                    out[part, peers.job_key(jid)] = out[part, peers.candidate_key(jid)] = None
                for waits in self.waits.values():
                    waits.pop(jid, None)
                continue
            if js.waiting() > 0:
                self.waits[js.team][jid] = js
            else:
                self.waits[js.team].pop(jid, None)
            news = JobNews(js.job.record() if js.job is not None else None, list(js.vec), int(js.within), int(js.broken))
            n = self.wanted(js, now)
            zones = self.zone_room(js) if n or js.unlanded else None
            for part in range(parts):
                # a permit that is being written still needs the room that is held for it: wanting less at once
                # made owners cancel that room, and refuse the permit a moment later (kazi-bodi steady)
                want = n + js.unlanded.get(part, 0)
                out[part, peers.job_key(jid)] = news
                out[part, peers.candidate_key(jid)] = (
                    Candidate(want, list(self.order(js)), zones, sorted(js.failed_on)) if want and js.job is not None else None
                )
        self.changed.clear()
        return out

    def take_counts(self) -> dict[str, list[int] | None]:
        """What users are shown of jobs, as far as it has changed."""
        counted, self.counted = self.counted, set()
        return {jid: [js.done_count, js.running] if (js := self.jobs.get(jid)) is not None and js.job else None for jid in counted}

    def demand(self, now: float) -> dict[str, DemandNews]:
        """Waiting tasks, each once, for the renter."""
        out: dict[str, DemandNews] = {}
        left = {t: (team.cpus_max - self.used[t][0] if team.cpus_max > 0 else 1e18,
                    team.gpus_max - self.used[t][1] if team.gpus_max > 0 else 1e18) for t, team in self.teams.items()}  # fmt: skip
        for js in sorted((j for w in self.waits.values() for j in w.values() if j.job is not None), key=self.order):
            n = 0 if js.broken or js.not_before > now + 5 else js.waiting()
            cpus, gpus = left[js.team]
            if js.vec[0] > 0:
                n = min(n, int(max(0.0, cpus) / js.vec[0] + EPS))
            if js.vec[1] > 0:
                n = min(n, int(max(0.0, gpus) / js.vec[1] + EPS))
            if js.job is not None and js.job.kind == "gang" and n < js.n:
                n = 0
            if n > 0 and js.job is not None:
                left[js.team] = (cpus - n * js.vec[0], gpus - n * js.vec[1])
                out[js.id] = DemandNews(js.job.record(), n, self.zone_room(js), list(self.order(js)))
        return out

    def progress(self, jid: str) -> tuple[int, int]:
        """(done, running) for display."""
        js = self.jobs.get(jid)
        return (js.done_count, js.running) if js is not None else (0, 0)


def _put(value: dict[str, Any], js: JobState, e: Entry) -> None:
    value.setdefault(e.job, [list(js.vec), []])[1].append(e.record())
