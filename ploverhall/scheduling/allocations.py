"""What a source knows of its teams' jobs: entries, offers, and the chunks of the cells that hold the entries.

Only state and its bookkeeping: who is permitted is decided in `source`, what is written and when in `writes`.
"""

from __future__ import annotations

import base64
import heapq
from bisect import insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson

from ploverhall.protocol import peer_messages
from ploverhall.protocol.agents import Key
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import PermitNews
from ploverhall.scheduling.inventory import Vec, add
from ploverhall.scheduling.objectives import Aims
from ploverhall.settings import Team
from ploverhall.storage.store_cache import cell_prefix, progress_prefix

PROGRESS_TASKS = 8192  # tasks whose bits share one value: about 1.4 KB
FILL = 0.92  # of a value's limit that a chunk may take; the rest is room for what json may add
TXN_BYTES = 56_000  # of the 64 KiB a transaction may take
PUT_OFF_S = 120.0  # a large array stands behind smaller ones that came so much later at most
BEGIN_S = 120.0  # a job of which nothing has run for so long comes before others of its kind until it begins
NO_AIM_S = 600.0  # nobody has said by when: it stands behind what came within so long
REMEMBERED = 200  # starts that died and jobs that ended, for people who ask
WORKED_S = 5.0  # a task that has run for so long works: what fails by its own mistake fails as soon as it has its image


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
    notice: int = 0  # 1: its machine goes, 2: its room is needed, 3: its machine is to be emptied
    stop: float | None = None
    ran_at: float | None = None  # when it was first told to be running
    over: bool = False  # exited and recorded here, or proven gone: to be taken out of the cell

    def record(self) -> list[Any]:
        """The form kept in the cell."""
        return [
            self.task,
            self.attempt,
            self.machine,
            self.part,
            self.zone,
            self.epoch,
            self.ticket,
        ]

    @property
    def running(self) -> bool:
        """Whether users are told that it runs."""
        return not self.over and self.state in ("running", "saving")


@dataclass(slots=True, eq=False)
class Chunk:
    """One value of a team's cell, with its size as it will be encoded.

    Its key is never deleted, only written empty. Else its version would be 0 again, and a write that found none, and is carried out
    late or once more, would land a permit that nobody knows of.
    """

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
    entries: dict[int, Entry] = field(
        default_factory=dict
    )  # by task; one start of a task at a time
    zones: dict[str, int] = field(default_factory=dict)  # entries by zone
    unlanded: dict[int, int] = field(default_factory=dict)  # permits being written, by part
    tickets: set[tuple[int, int, int]] = field(
        default_factory=set
    )  # part, epoch and ticket of its entries
    running: int = 0
    done: bytearray = field(default_factory=bytearray)
    done_count: int = 0
    dirty_progress: set[int] = field(default_factory=set)
    stored_progress: set[int] = field(default_factory=set)
    fresh: int = 0  # tasks from here on were never permitted by this source
    again: list[int] = field(default_factory=list)
    offers: dict[tuple[int, int], Offer] = field(default_factory=dict)
    not_before: float = 0.0
    failed_on: dict[str, float] = field(
        default_factory=dict
    )  # machines that are avoided, and since when
    task_failures: dict[int, int] = field(default_factory=dict)
    resting: dict[int, float] = field(
        default_factory=dict
    )  # tasks that failed, and when they may be tried again
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
    began: bool = False  # a task of it has run; of a gang, all of them
    overdue: bool = False  # it has waited for that for too long, and comes before others just now
    begin_by: float = 0.0  # when that is looked at
    due: float | None = None  # by when it should be done, for its place in the queue (wall clock)
    took_s: float | None = None  # how long its tasks have run that have completed, lately

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
        return self.done_count > 0 or any(
            e.running and e.ran_at is not None and now - e.ran_at > WORKED_S
            for e in self.entries.values()
        )


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
    grants: dict[str, list[Key]] = field(default_factory=dict)  # by team: the stops that it lands
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


def put_entry(value: dict[str, Any], js: JobState, e: Entry) -> None:
    """Put an entry into a chunk's value, under its job's header."""
    value.setdefault(e.job, [list(js.vec), []])[1].append(e.record())


class Ledger:
    """The jobs of one shard's teams, and every start of theirs that may be somewhere."""

    def __init__(
        self,
        shard: int,
        epoch: int,
        teams: list[Team],
        zones: tuple[str, ...],
        value_bytes: int,
        txn_ops: int,
    ) -> None:
        self.shard, self.epoch = shard, epoch
        self.teams = {t.name: t for t in teams}
        self.zones = zones
        self.txn_ops = txn_ops
        self.chunk_bytes = min(int(value_bytes * FILL), TXN_BYTES // 2)
        self.jobs: dict[str, JobState] = {}
        self.chunks: dict[str, dict[int, Chunk]] = {t.name: {} for t in teams}
        self.dirty_chunks: dict[
            Chunk, bool
        ] = {}  # to be written; True: holds permits that wait for it
        self.fences: set[tuple[str, int]] = (
            set()
        )  # chunks that a write of unknown outcome may still change
        self.ending: dict[str, JobState] = {}  # complete, the record of it is still to be written
        self.garbage: list[str] = []  # progress records of jobs that are over
        self.used: dict[str, Vec] = {t.name: (0.0, 0.0, 0.0) for t in teams}
        self.by_age: dict[str, list[tuple[float, str]]] = {
            t.name: [] for t in teams
        }  # live jobs, oldest first
        self.within: dict[str, set[str]] = {t.name: set() for t in teams}
        self.waits: dict[str, dict[str, JobState]] = {
            t.name: {} for t in teams
        }  # jobs with tasks that wait
        self.offer_job: dict[tuple[int, int], str] = {}
        self.changed: set[str] = set()  # jobs that owners must hear of
        self.counted: set[str] = set()  # jobs whose numbers for display have changed
        self.permit_news: dict[tuple[int, str], PermitNews | None] = {}
        self.hot: set[str] = set()  # jobs to decide
        self.moved: set[str] = set()  # teams whose use has changed
        self.reorder: set[str] = set(self.teams)
        self.retries: list[tuple[float, str]] = []
        self.reserved: dict[str, Vec] = {}  # of a team's limit, for replicas that wait
        self.next_team = self.next_revisit = self.next_way = 0.0
        self.attempts = 0
        self.most_ops = txn_ops  # of the write being planned
        self.crowded = 0  # writes that could not take all that waited
        self.impatient = False  # a worse answer is being held back for a moment
        self.deaths: deque[Death] = deque(maxlen=REMEMBERED)
        self.ends: deque[End] = deque(maxlen=REMEMBERED)
        self.usual: dict[
            str, float
        ] = {}  # by class: how long its gangs and services wait until all their tasks run, lately
        self.usual_work: dict[str, float] = {}  # by class: task seconds of its arrays, lately
        self.visits = 0  # jobs and entries looked at: what the tests of growth count
        self.aims = Aims()
        self.types: dict[str, MachineType] = {}  # what the cloud sells
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
            for jid, (vec, entries) in value.items():
                for task, attempt, machine, part, zone, epoch, ticket in entries:
                    js = self.jobs.get(jid)
                    if js is None:
                        js = self.jobs[jid] = JobState(
                            jid, team, (vec[0], vec[1], vec[2]), since=now, came=now
                        )
                    seen.add((jid, task, attempt))
                    e = js.entries.get(task)
                    if e is not None and e.attempt == attempt:
                        chunk.put(e, js.vec)
                        self._land(js, e)
                    else:
                        if e is not None:
                            self._remove(js, e)
                            self.jobs[jid] = js
                        e = Entry(
                            jid,
                            task,
                            attempt,
                            machine,
                            part,
                            zone,
                            epoch,
                            ticket,
                            chunk,
                            landed=True,
                        )
                        if js.job is None:
                            e.stop = 0.0
                        self._insert(js, e)
                        self._tell(e)
                    if e.over:
                        self.dirty_chunks.setdefault(chunk, False)
        for chunk in old.values():
            for e in list(chunk.entries.values()):
                js = self.jobs.get(e.job)
                if (
                    js is not None
                    and js.entries.get(e.task) is e
                    and (e.job, e.task, e.attempt) not in seen
                ):
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

    def on_job(self, job: Job | None, jid: str, version: int, now: float, age: float = 0.0) -> None:
        """The watch brought a job of this shard's teams, submitted so long ago, or its end (None)."""
        js = self.jobs.get(jid)
        self.changed.add(jid)
        self.counted.add(jid)
        if job is None:
            if js is None:
                return
            if js.job is not None:
                how = "done" if js.complete else "withdrawn"
                self.ends.append(
                    End(
                        now,
                        jid,
                        js.team,
                        how,
                        js.n if js.complete else js.done_count,
                        js.n,
                        js.failures,
                        js.last_failure,
                    )
                )
                self.by_age[js.team].remove((js.job.at, jid))
                self.garbage += [
                    f"{progress_prefix(js.team)}{jid}/{k}"
                    for k in js.stored_progress | js.dirty_progress
                ]
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
            js = self.jobs[jid] = JobState(jid, job.team, job.vec, since=now, came=now - age)
        if js.job is None:
            insort(self.by_age[job.team], (job.at, jid))
            for e in js.entries.values():
                e.stop = None
                self._tell(e)
        js.job, js.version, js.vec, js.blocked = job, version, job.vec, False
        if js.due is None:
            js.due = self._due(job)
            js.begin_by = max(now, js.came + BEGIN_S)
            heapq.heappush(self.retries, (js.begin_by, jid))

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
            self.permit_news[e.part, peer_messages.permit_key((e.job, e.task, e.attempt))] = None
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
            self.permit_news[e.part, peer_messages.permit_key((e.job, e.task, e.attempt))] = PermitNews(
                e.machine, e.epoch, e.ticket, e.stop
            )

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

    def _drop_offer(self, key: tuple[int, int]) -> None:
        jid = self.offer_job.pop(key, None)
        if jid is not None and (js := self.jobs.get(jid)) is not None:
            js.offers.pop(key, None)

    def _drop_offers(self, js: JobState) -> None:
        for key in list(js.offers):
            self._drop_offer(key)

    def _complete(self, js: JobState) -> None:
        js.complete = True
        self.ending[js.id] = js
        self.changed.add(js.id)

    def _due(self, job: Job) -> float:
        """By when it should be done. Of arrays of a class with an aim, small ones come before large ones that came a little sooner.

        Where there is not room for all in time, the order in which they came has all of them late: one of 1,630 tasks, and two
        smaller ones behind it (shannon-loanworks steady, 365 to 390 s). A large one is put off by no more than what the aim allows.
        """
        if job.deadline_s is not None:
            return job.at + job.deadline_s
        if job.kind != "array" or (within := self.aims.of(job).finish_s) is None:
            return job.at + NO_AIM_S
        work = job.n * max(1.0, job.estimate_s)
        usual = self.usual_work.get(job.klass, work)
        self.usual_work[job.klass] = usual + 0.2 * (work - usual)
        return job.at + min(within, PUT_OFF_S) * min(1.0, 0.5 * work / usual)

    def order(self, js: JobState) -> tuple[float, ...]:
        """Place in every queue: services, then work within its guarantee, then by rank and time.

        What has waited for too long to begin comes before all ranks, but not before services and work within a guarantee. A large
        gang lost the pieces of room that it held to each task of a higher rank that came, for as long as such tasks came.
        """
        job = js.job
        assert job is not None
        rank = 0.0 if js.overdue and not js.began else float(job.rank)
        return (
            2.0 if js.broken else 0.0 if job.rank == 0 else 1.0,
            0.0 if js.within else 1.0,
            rank,
            js.due or 0.0,
        )
