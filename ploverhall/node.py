"""One controller: connects the decisions to the wire, and runs the loops that carry them out."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio
import anyio.abc
import orjson

from ploverhall import log
from ploverhall.bookkeeping.replica import (
    END,
    JOB,
    NODE,
    PREFIX,
    RENTER,
    SHARD,
    TYPE,
    TYPES,
    Replica,
    cell_prefix,
    progress_prefix,
)  # fmt: skip
from ploverhall.coordination import boards
from ploverhall.coordination.boards import Inbox, Message, Outbox
from ploverhall.coordination.fleet import Machine, fits
from ploverhall.coordination.owner import TOKEN_BITS, Owner
from ploverhall.coordination.renter import Rent, Renter
from ploverhall.coordination.shards import Layout
from ploverhall.coordination.source import Source, Txn
from ploverhall.coordination.stranded import Stranded
from ploverhall.protocol import cloud, jobs, workers
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.state import Refused, Store, Unknown
from ploverhall.settings import Settings
from ploverhall.transport.http import Client, Reply, Request, Server, Unreachable
from ploverhall.transport.peer import Link, Listener

ENGINE_EVERY_S = 0.01
VIEWS_EVERY_S = 0.5


@dataclass
class Held:
    """A shard held here: the owner of its part, and the source of its teams once the cells are read."""

    shard: int
    epoch: int
    owner: Owner
    source: Source | None = None
    wake: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    lost: bool = False


class Node:
    """The process's state and loops."""

    def __init__(self, settings: Settings) -> None:
        s = self.settings = settings
        self.layout = Layout(s.nodes, [t.name for t in s.teams])
        self.teams = {t.name: t for t in s.teams}
        self.me = self.layout.index[s.name]
        share = 0.92 / len(s.nodes)
        self.store = Store(*s.state, rps=s.state_rps * share, write_rps=s.state_write_rps * share)
        self.cloud = Client(*s.cloud, keep=2)
        self.replica = Replica()
        self.outbox, self.inbox = Outbox(), Inbox()
        self.links = [Link(s.name, p.name, p.host, p.port, self.collect) for p in s.peers]
        self.held: dict[int, Held] = {}
        self.lease: int | None = None
        self.lease_at = 0.0
        self.renter: Renter | None = None
        self.types: dict[str, MachineType] | None = None
        self.rng = Random()
        self.wake = anyio.Event()
        self.shard_wake = anyio.Event()
        self.waiters: list[tuple[anyio.Event, list[bool]]] = []
        self.prove_wake = anyio.Event()
        self.direct_clients: dict[str, Client] = {}
        self.peer_news: dict[str, tuple[float, float, dict[int, int]]] = {}  # node -> heard, age of its last answer, epochs
        self.orphans: dict[int, float] = {}
        self.home_alive: dict[int, tuple[int, float]] = {}
        self.gossip_at: dict[str, float] = {}
        self.stranded = Stranded()
        self.taken_at: dict[int, float] = {}  # shards taken from a live holder
        self.views_at = 0.0
        self.renter_orphan = 0.0
        self.tasks: anyio.abc.TaskGroup
        self.started = time.monotonic()

    # -- running -----------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until cancelled."""
        s = self.settings
        async with anyio.create_task_group() as tg:
            self.tasks = tg
            server = Server(self.handle, cap=max(8, int(s.max_sockets * 0.8)))
            tg.start_soon(server.run, *s.bind)
            tg.start_soon(Listener(self.deliver).run, *s.peer_listen)
            for link in self.links:
                tg.start_soon(link.run)
            for loop in (self.lease_loop, self.watch_loop, self.prove_loop, self.shard_loop, self.engine_loop, self.renter_loop):
                tg.start_soon(self.guarded, loop)
            log.info("started", node=s.name, zone=s.zone, shards=len(s.nodes))

    async def guarded(self, loop: Any) -> None:
        """A fault in one loop must not end the others; it is logged and the loop begins again."""
        while True:
            try:
                await loop()
            except Exception as e:
                log.error("loop failed", loop=loop.__name__, error=repr(e), at=_where(e))
                await anyio.sleep(0.5)

    def poke(self) -> None:
        """There is something to decide."""
        self.wake.set()

    # -- lease and shards --------------------------------------------------------------------

    async def lease_loop(self) -> None:
        """Keep a lease and the key that shows this node is up."""
        ttl = self.settings.options.shard_lease_s
        while True:
            try:
                if self.lease is None:
                    lease = await self.store.grant(ttl)
                    key = NODE + self.settings.name
                    rev, failed = await self.store.txn({}, {key: {"zone": self.settings.zone}}, [], lease, frozenset({key}), urgent=True)
                    if not failed:
                        self.lease = lease
                        log.info("lease", lease=lease)
                        self.shard_wake.set()
                elif not await self.store.renew(self.lease):
                    log.error("lease lost", lease=self.lease)
                    self.lease = None
                    for shard in list(self.held):
                        self.lose(shard, "lease")
                    self.renter = None
                    continue
                await anyio.sleep(ttl / 4)
            except (Refused, Unknown):
                await anyio.sleep(0.25)

    async def shard_loop(self) -> None:
        """Hold the shards that this node should hold."""
        while True:
            self.shard_wake = anyio.Event()
            if self.replica.ready and self.lease is not None:
                now = time.monotonic()
                for shard in range(len(self.layout.nodes)):
                    await self._shard(shard, now)
            with anyio.move_on_after(0.2):
                await self.shard_wake.wait()

    async def _shard(self, shard: int, now: float) -> None:
        name = self.settings.name
        holder, version = self.replica.holder(shard)
        held = self.held.get(shard)
        if held is not None and version > held.epoch:
            self.lose(shard, "taken over")
            held = None
        home = self.layout.nodes[shard]
        _, home_version = self.replica.keys.get(NODE + home, (None, 0))
        # -1: not even its absence has been seen yet (a home that was down at the start left no entry: KeyError)
        if self.home_alive.get(shard, (-1, 0.0))[0] != home_version:
            self.home_alive[shard] = (home_version, now)
        if held is not None:
            steady = now - self.home_alive[shard][1] > self.settings.options.handback_s and self.heard(home, now)
            if shard != self.me and home_version and steady and now - self.taken_at.get(shard, -1e9) > 30.0:
                await self._hand_back(held)
            return
        if holder == name:
            await self._claim(shard, version)  # an earlier life of this process, or a claim of unknown outcome
        elif holder is None:
            since = self.orphans.setdefault(shard, now)
            alive = [n for n in self.layout.nodes if self.replica.alive(n) and n != home] or [name]
            delay = self.layout.claim_delay(name, shard, alive, len(self.held))
            if shard != self.me and home_version:
                delay += 3.0  # its home is up and will claim it
            if now - since >= delay:
                await self._claim(shard, 0)
            return
        elif self.stranded.should_take(shard, self.heard(holder, now), now, home=shard == self.me):
            log.info("workers can't reach their controller", shard=shard, holder=holder)
            self.taken_at[shard] = now
            await self._claim(shard, version)
        self.orphans.pop(shard, None)

    def heard(self, node: str, now: float) -> bool:
        """Whether a peer has spoken lately."""
        return now - self.peer_news.get(node, (-1e9, 0.0, {}))[0] < 2.5

    async def _claim(self, shard: int, version: int) -> None:
        key = f"{SHARD}{shard}"
        try:
            epoch, failed = await self.store.txn(
                {key: version}, {key: {"node": self.settings.name}}, [], self.lease, frozenset({key}), urgent=True
            )
        except (Refused, Unknown):
            return
        if failed == ["no such lease"]:
            self.lease = None
        if failed:
            return
        self.replica.put_own(key, {"node": self.settings.name}, epoch)
        self.orphans.pop(shard, None)
        self.take(shard, epoch)

    async def _hand_back(self, held: Held) -> None:
        key = f"{SHARD}{held.shard}"
        self.lose(held.shard, "handed back")
        try:
            await self.store.txn({key: held.epoch}, {}, [key], urgent=True)
        except (Refused, Unknown):
            pass  # if it has not landed, the next round finds this node as the holder and claims again

    def take(self, shard: int, epoch: int) -> None:
        """A shard is held from now on: serve its workers at once, its teams when their cells are read."""
        s, now = self.settings, time.monotonic()
        owner = Owner(shard, epoch, len(self.layout.nodes), s.lease_s, s.report_s, s.options.hold_s, s.options.sample, self.rng, now)
        owner.types = self.types or {}
        owner.fleet.job_vec = self.job_vec
        owner.job_over = self.replica.ended.__contains__
        held = Held(shard, epoch, owner)
        self.held[shard] = held
        log.info("shard taken", shard=shard, epoch=epoch)
        for (kind, src, dst), (e, state) in self.inbox.boards.items():
            if dst == shard and kind in ("s", "r"):
                self.dispatch([kind, src, e, dst, True, dict(state)])
        self.tasks.start_soon(self._source, held)
        self.poke()

    def lose(self, shard: int, why: str) -> None:
        """A shard is not held any more."""
        held = self.held.pop(shard, None)
        if held is not None:
            held.lost = True
            held.scope.cancel()
            self.outbox.drop(("s", "o", "d", "m", "c"), shard)
            log.info("shard lost", shard=shard, epoch=held.epoch, why=why)

    def job_vec(self, jid: str) -> tuple[float, float, float] | None:
        """What a task of a live job takes."""
        known = self.replica.live.get(jid)
        return known[0].vec if known else None

    async def _source(self, held: Held) -> None:
        """Read the cells, then permit: the new source knows every start that may be anywhere."""
        s = self.settings
        teams = [self.teams[t] for t in self.layout.teams(held.shard)]
        with held.scope:
            source = Source(held.shard, held.epoch, teams, s.zones, s.value_bytes, s.txn_ops)
            source.note = log.debug
            cells: dict[str, Any] = {}
            progress: dict[str, Any] = {}
            for t in teams:
                cells[t.name] = await self._read(cell_prefix(t.name))
                progress[t.name] = await self._read(progress_prefix(t.name))
            while not await self.current():
                await anyio.sleep(0.2)
            now = time.monotonic()
            for jid, (job, version) in self.replica.live.items():
                if self.layout.team_shard.get(job.team) == held.shard:
                    source.on_job(job, jid, version, now)
            for t in teams:
                source.install_cell(t.name, cells[t.name], now)
                source.install_progress(t.name, progress[t.name])
            held.source = source
            self._tell_owners(held, source, now)
            self._owners_again(held)
            log.info("source ready", shard=held.shard, epoch=held.epoch, jobs=len(source.jobs))
            self.poke()
            await self._writer(held, source)

    def _owners_again(self, held: Held) -> None:
        """Hand the source all that owners have said: it may not have known the starts that it was about."""
        for (kind, src, dst), (e, state) in list(self.inbox.boards.items()):
            if dst == held.shard and kind == "o":
                self.dispatch([kind, src, e, dst, True, dict(state)])

    async def _read(self, prefix: str) -> dict[str, tuple[Any, int]]:
        while True:
            try:
                return (await self.store.read(prefix))[0]
            except (Refused, Unknown):
                await anyio.sleep(0.2)

    async def _writer(self, held: Held, source: Source) -> None:
        """Write what the source has decided, one transaction at a time."""
        while not held.lost:
            txn = source.plan()
            if txn is None:
                held.wake = anyio.Event()
                with anyio.move_on_after(0.5):
                    await held.wake.wait()
                continue
            try:
                revision, failed = await self.store.txn(txn.guards, txn.puts, txn.deletes)
            except Refused:
                await anyio.sleep(0.15 + 0.15 * self.rng.random())
                continue
            except Unknown:
                source.unknown(txn)
                await self._reread(held, source, txn, source.teams_of(txn))
                continue
            now = time.monotonic()
            if failed:
                log.info("write refused", shard=held.shard, failed=",".join(failed))
                if f"{SHARD}{held.shard}" in failed:
                    self.lose(held.shard, "write refused")
                    self.shard_wake.set()
                    return
                again = source.refused(txn, failed)
                await self._reread(held, source, txn, again)
            else:
                for key, value in txn.puts.items():
                    if key.startswith(END):
                        self.replica.put_own(key, value, revision)
                source.landed(txn, revision, now)
            self.replica_news()
            self.poke()
            await anyio.sleep(self.settings.options.write_every_s)

    async def _reread(self, held: Held, source: Source, txn: Txn, teams: list[str]) -> None:
        """After a write of unknown outcome: what the cells hold is what counts; a late one fails its guards."""
        for team in teams:
            found = await self._read(cell_prefix(team))
            source.install_cell(team, found, time.monotonic())
        self._owners_again(held)
        if txn.ends:
            await self.current()
        self.replica_news()
        self.poke()

    # -- following the store -----------------------------------------------------------------

    async def watch_loop(self) -> None:
        """Follow everything under the prefix."""
        while True:
            try:
                if not self.replica.ready or self.replica.rev == 0:
                    await self._load()
                answer = await self.store.watch(PREFIX, self.replica.rev, 5_000)
            except Refused:
                await anyio.sleep(0.2)
                continue
            except Unknown:
                await anyio.sleep(0.05)
                continue
            if answer is None:
                self.replica.ready = False
                continue
            if self.replica.apply(*answer):
                self.replica_news()
            await anyio.sleep(0.03)  # changes that come together are read together

    async def _load(self) -> None:
        found, rev = await self.store.read(PREFIX)
        self.replica.load(found, rev)
        answer = await self.store.watch(PREFIX, rev, 0)
        if answer is None:
            raise Refused("watch too old")
        self.replica.apply(*answer)
        self.replica.ready = True
        log.info("state read", rev=self.replica.rev, live=len(self.replica.live), ended=len(self.replica.ended))
        self.replica_news()

    def replica_news(self) -> None:
        """Hand on what has changed."""
        r = self.replica
        if self.types is None or TYPES in r.keys:
            types = r.types()
            if types is not None and types != self.types:
                self.types = types
                for h in self.held.values():
                    h.owner.types = types
        changed, r.changed_jobs = r.changed_jobs, []
        now = time.monotonic()
        for jid in changed:
            known = r.live.get(jid)
            if known is not None:
                if self.renter is not None and jid not in self.renter.arrivals:
                    self.renter.on_job(known[0], now)
                held = self.held.get(self.layout.team_shard.get(known[0].team, -1))
                if held is not None and held.source is not None:
                    held.source.on_job(known[0], jid, known[1], now)
                    held.wake.set()
            else:
                for held in self.held.values():
                    held.owner.job_ended(jid)
                    if held.source is not None and jid in held.source.jobs and held.source.jobs[jid].job is not None:
                        held.source.on_job(None, jid, 0, now)
                        held.wake.set()
        self.shard_wake.set()
        self.poke()

    async def current(self) -> bool:
        """Whether the copy was proven current by a read begun after this call."""
        done, result = anyio.Event(), [False]
        self.waiters.append((done, result))
        self.prove_wake.set()
        with anyio.move_on_after(1.5):
            await done.wait()
        return result[0]

    async def prove_loop(self) -> None:
        """One shared read for all polls that wait."""
        while True:
            if not self.waiters:
                self.prove_wake = anyio.Event()
                await self.prove_wake.wait()
            batch, self.waiters = self.waiters, []
            ok = False
            try:
                if self.replica.ready:
                    answer = await self.store.watch(PREFIX, self.replica.rev, 0)
                    if answer is None:
                        self.replica.ready = False
                    else:
                        ok = True
                        if self.replica.apply(*answer):
                            self.replica_news()
            except (Refused, Unknown):
                pass
            for done, result in batch:
                result[0] = ok
                done.set()
            await anyio.sleep(0.04)

    # -- between controllers -----------------------------------------------------------------

    def holder(self, role: int) -> str | None:
        """The node that holds a role, as far as is known here."""
        if role == boards.RENTER:
            return self.replica.renter()[0]
        if role in self.held:
            return self.settings.name
        node, epoch = self.replica.holder(role)
        for name, (heard, _, epochs) in self.peer_news.items():
            if epochs.get(role, 0) > epoch and time.monotonic() - heard < 5:
                node, epoch = name, epochs[role]
        return node

    def collect(self, node: str, generation: int) -> list[Message]:
        """What goes to a peer now."""
        out = self.outbox.collect(node, generation, self.holder)
        now = time.monotonic()
        if now - self.gossip_at.get(node, 0.0) > 0.5:
            self.gossip_at[node] = now
            epochs = {h.shard: h.epoch for h in self.held.values()}
            out.append(["n", self.me, 0, 0, True, {"age": now - self.store.last_ok, "held": epochs}, 0])
        return out

    def deliver(self, node: str, batch: list[Message]) -> None:
        """A peer's messages."""
        for message in batch:
            if message[0] == "n":
                news = message[5]
                self.peer_news[node] = (time.monotonic(), float(news["age"]), dict(news["held"]))
                for shard, epoch in news["held"].items():
                    held = self.held.get(shard)
                    if held is not None and epoch > held.epoch:
                        self.lose(shard, f"{node} holds it")  # the state service may not be reached from here
            elif self.inbox.take(message):
                self.dispatch(message)
        self.poke()

    def dispatch(self, message: Message) -> None:
        """Give a board's news to the role it is meant for, if it is held here."""
        kind, src, epoch, dst, full, changes = message[:6]
        now = time.monotonic()
        if src >= 0 and epoch < self.replica.holder(src)[1]:
            return  # from a holder that has been deposed
        if dst == boards.RENTER:
            if self.renter is not None:
                if kind == "d":
                    self.renter.on_source(src, full, changes)
                else:
                    self.renter.on_owner(src, full, changes, now)
            return
        held = self.held.get(dst)
        if held is None:
            return
        if kind == "s":
            held.owner.on_source(src, full, changes, now)
        elif kind == "o" and held.source is not None:
            held.source.on_owner(src, epoch, full, changes, now)
            held.wake.set()
        elif kind == "r":
            state = self.inbox.boards[kind, src, dst][1] if (kind, src, dst) in self.inbox.boards else changes
            held.owner.set_drain(state.get("drain") or [])
            held.owner.machine_gone(state.get("gone") or [])

    # -- the engine --------------------------------------------------------------------------

    async def engine_loop(self) -> None:
        """Owners place, sources decide, boards go out."""
        while True:
            with anyio.move_on_after(0.05 if any(h.source is not None and h.source.impatient for h in self.held.values()) else 0.1):
                await self.wake.wait()
            self.wake = anyio.Event()
            now = time.monotonic()
            if now - self.views_at > VIEWS_EVERY_S:
                self.views_at = now
                self._views(now)
            for _ in range(4):  # what roles here tell one another is answered in the same breath
                now = time.monotonic()
                for held in list(self.held.values()):
                    self._step(held, now)
                local = self.outbox.collect(self.settings.name, 0, self.holder)
                for message in local:
                    if self.inbox.take(message):
                        self.dispatch(message)
                if not local:
                    break
            for link in self.links:
                link.poke()
            await anyio.sleep(ENGINE_EVERY_S)

    def _step(self, held: Held, now: float) -> None:
        owner, source = held.owner, held.source
        owner.tick(now)
        owner.dirty = False
        owner.place(now)
        if self.settings.options.direct:
            for m, body in owner.direct_work(now):
                self.tasks.start_soon(self._direct, owner, m, body)
        for (src, key), value in owner.take_news().items():
            self.outbox.board("o", held.shard, src, held.epoch).put(key, value)
        if source is not None:
            source.decide(now)
            if source.dirty_chunks or source.ending:
                held.wake.set()
            self._tell_owners(held, source, now)

    def _tell_owners(self, held: Held, source: Source, now: float) -> None:
        """What owners must hear goes on their boards.

        A new source's boards are filled in the same breath in which they are made: an owner that got an empty one
        first took every permit as taken back, forgot which runs it had sent, and refused the permits when they came
        again as if it had never started them (kazi-bodi-grown rough: ran_twice).
        """
        news = source.take_news(len(self.layout.nodes), now)
        for part in range(len(self.layout.nodes)):
            # a board that is empty still has to be sent once, so that the owner knows this source is heard
            self.outbox.board("s", held.shard, part, held.epoch)
        for (part, key), value in news.items():
            self.outbox.board("s", held.shard, part, held.epoch).put(key, value)

    def _views(self, now: float) -> None:
        """What is told at a slower pace: machines and demand to the renter, numbers for display, what the renter wants."""
        shards = range(len(self.layout.nodes))
        for h in self.held.values():
            to_renter = self.outbox.board("m", h.shard, boards.RENTER, h.epoch)
            to_renter.update(h.owner.take_machine_news(now))
            to_renter.put("?", h.owner.suspects(now) or None)
            if h.source is not None:
                self.outbox.board("d", h.shard, boards.RENTER, h.epoch).replace(h.source.demand(now))
                counts = h.source.take_counts()
                for part in shards:
                    self.outbox.board("c", h.shard, part, h.epoch).update(counts)
        if self.renter is not None:
            for part in shards:
                b = self.outbox.board("r", boards.RENTER, part, self.renter.epoch)
                b.put("drain", self.renter.drains(part))
                b.put("gone", sorted(self.renter.gone)[-300:])

    async def _direct(self, owner: Owner, m: Machine, body: dict[str, Any]) -> None:
        client = self.direct_clients.get(m.addr)
        if client is None:
            host, _, port = m.addr.rpartition(":")
            client = self.direct_clients[m.addr] = Client(host, int(port), keep=1)
        report = None
        try:
            status, answer = await client.call("POST", "/do", body, timeout=1.5)
            if status in (200, 409):
                report = workers.parse(answer)
        except (Unreachable, workers.Malformed):
            pass
        owner.direct_done(m, report, time.monotonic())
        self.poke()

    # -- renting -----------------------------------------------------------------------------

    async def renter_loop(self) -> None:
        """Hold the renter's role if nobody does, and play it."""
        pending: list[tuple[str, Rent]] = []
        last_list = last_types = last_plan = 0.0
        while True:
            await anyio.sleep(0.25)
            now = time.monotonic()
            if not self.replica.ready or self.lease is None:
                continue
            holder, version = self.replica.renter()
            if self.renter is not None and version > self.renter.epoch:
                self.renter = None
            if self.renter is None:
                self.outbox.drop(("r",), boards.RENTER)
                pending = []
                if holder is None:
                    self.renter_orphan = self.renter_orphan or now
                    if now - self.renter_orphan < 0.1 + 0.5 * ((self.me + version) % len(self.layout.nodes)):
                        continue
                elif holder != self.settings.name:
                    self.renter_orphan = 0.0
                    continue
                if not await self._claim_renter(version, now):
                    continue
                last_list = last_types = 0.0
            renter = self.renter
            if renter is None:
                continue
            try:
                if now - last_types > 60 or not renter.types:
                    status, answer = await self.cloud.call("GET", "/flavors", timeout=3)
                    if status == 200:
                        last_types = now
                        renter.types = cloud.types(answer)
                        await self._store_types(renter.types)
                    elif self.types and not renter.types:
                        renter.types = self.types
                if now - last_list > 2.0:
                    last_list = now
                    await self._list(renter, now)
                if now - last_plan > 1.0:
                    last_plan = now
                    plan = renter.plan(now, time.time())
                    if not pending:
                        pending = [(renter.plea(), r) for r in plan.rent]
                    for i in range(0, len(plan.give_back), 100):
                        await self._return(renter, plan.give_back[i : i + 100])
                while pending and self.renter is renter:
                    plea, r = pending[0]
                    status, answer = await self.cloud.call("POST", "/hosts", cloud.rent(plea, *r.kind, r.count), timeout=3)
                    if status == 200:
                        names = list(answer["perches"])  # type: ignore[index]
                        log.info("rented", type=r.kind[0], zone=r.kind[1], spot=int(r.kind[2]), asked=r.count, got=len(names))
                        renter.on_rented(names, r.kind, r.count, time.monotonic())
                    elif status == 503 and isinstance(answer, dict) and answer.get("error") == "no capacity":
                        log.info("no capacity", type=r.kind[0], zone=r.kind[1], spot=int(r.kind[2]))
                        renter.on_refused(r.kind, time.monotonic())
                    elif status in (429, 503):
                        break
                    pending.pop(0)
                    await anyio.sleep(1.2 / self.settings.cloud_rps)
            except Unreachable:
                continue  # asked again under the same name: it gives the same answer

    async def _claim_renter(self, version: int, now: float) -> bool:
        try:
            epoch, failed = await self.store.txn(
                {RENTER: version}, {RENTER: {"node": self.settings.name}}, [], self.lease, frozenset({RENTER}), urgent=True
            )
        except (Refused, Unknown):
            return False
        if failed:
            return False
        s = self.settings
        self.replica.put_own(RENTER, {"node": s.name}, epoch)
        self.renter = Renter(epoch, s.options.idle_return_s, s.options.spare, s.list_lag_s, s.lease_s, now)
        self.renter.types = self.types or {}
        self.renter_orphan = 0.0
        for job, _ in self.replica.live.values():
            self.renter.on_job(job, now - max(0.0, time.time() - job.at))
        log.info("renter", epoch=epoch)
        for (kind, src, dst), (e, state) in list(self.inbox.boards.items()):
            if dst == boards.RENTER:
                self.dispatch([kind, src, e, dst, True, state])
        self.poke()
        return True

    async def _store_types(self, types: dict[str, MachineType]) -> None:
        """Keep the machine types for starts while the cloud is down."""
        stored = self.replica.types()
        if stored is not None and {n: t.vec for n, t in stored.items()} == {n: t.vec for n, t in types.items()}:
            return
        try:
            for t in types.values():
                await self.store.txn({}, {TYPE + t.name: t.record()}, [])
            await self.store.txn({}, {TYPES: {"n": len(types)}}, [])
        except (Refused, Unknown):
            pass

    async def _list(self, renter: Renter, now: float) -> None:
        items: list[cloud.Listed] = []
        after = ""
        while True:
            status, answer = await self.cloud.call("GET", f"/hosts?limit=500{'&from=' + after if after else ''}", timeout=3)
            if status != 200:
                return
            page, more = cloud.listed(answer)
            items += page
            if not more or not page:
                break
            after = page[-1].name
        renter.on_list(items, now, time.monotonic())

    async def _return(self, renter: Renter, names: list[str]) -> None:
        for n in names:
            if n in renter.machines:
                renter.machines[n].returning = True
        status, _ = await self.cloud.call("POST", "/hosts/return", {"perches": names}, timeout=3)
        if status == 200:
            log.info("returned", machines=",".join(names))
            renter.on_gone(names, time.monotonic())
        await anyio.sleep(1.2 / self.settings.cloud_rps)

    # -- requests ----------------------------------------------------------------------------

    async def handle(self, q: Request) -> Reply:
        """Route one request."""
        try:
            if q.path == "/v1/report":
                return self.report(q) if q.method == "POST" else Reply(405, {"error": "method"})
            if q.path == "/healthz":
                return Reply(200, {"ok": True}) if self.healthy() else Reply(503, {"ok": False})
            if q.path == "/api/jobs":
                return await self.submit(q) if q.method == "POST" else Reply(405, {"error": "method"})
            if q.path.startswith("/api/jobs/"):
                jid, _, verb = q.path[len("/api/jobs/") :].partition("/")
                if q.method == "GET" and not verb:
                    return await self.poll(jid)
                if q.method == "POST" and verb == "withdraw":
                    return await self.withdraw(jid)
            if q.path == "/status" and q.method == "GET":
                return Reply(200, self.status())
            return Reply(404, {"error": "no such path"})
        except Exception as e:
            log.error("request failed", path=q.path, error=repr(e), at=_where(e))
            return Reply(503, {"error": "internal"}, 1.0)

    def healthy(self) -> bool:
        """Ready, and not the only one that the state service refuses."""
        now = time.monotonic()
        if not self.replica.ready or self.types is None:
            return False
        mine = now - self.store.last_ok
        others = [age + now - heard for heard, age, _ in self.peer_news.values() if now - heard < 3]
        return mine < 2.5 or not any(age < 1.5 for age in others)

    def isolated(self, now: float) -> bool:
        """Whether others may have taken over and answered cancellations without this node hearing of it.

        Then it must stop answering workers early enough for their leases to run out within the time
        a cancellation has. In an outage that every controller confirms, nobody can cancel: go on.
        """
        s = self.settings
        if now - self.store.last_ok < max(1.0, s.cancel_s - s.lease_s - 8.0):
            return False
        heard = sum(1 for at, _, _ in self.peer_news.values() if now - at < 3.0)
        return heard < len(s.peers)

    def report(self, q: Request) -> Reply:
        """A worker's report."""
        try:
            r = workers.parse(orjson.loads(q.body))
        except (orjson.JSONDecodeError, workers.Malformed) as e:
            return Reply(400, {"error": str(e)})
        part = self.layout.part(r.zone, r.machine)
        held = self.held.get(part)
        if held is None:
            node = self.holder(part)
            holder, epoch = self.replica.holder(part)
            if holder is not None and holder != self.settings.name and r.token >> TOKEN_BITS <= epoch:
                self.stranded.note(part, r.machine, r.token >> TOKEN_BITS == epoch, time.monotonic())
                self.shard_wake.set()
            return Reply(421, workers.homing(node if node != self.settings.name else None))
        now = time.monotonic()
        if self.isolated(now):
            return Reply(421, {})
        m = held.owner.on_report(r, now)
        if m is None:
            log.info("deposed", shard=part, epoch=held.epoch, by=held.owner.deposed_by)
            node = self.replica.holder(part)[0]
            return Reply(421, workers.homing(node if node != self.settings.name else None))
        calls = held.owner.commands(m, now)
        m.last_answer = now

        def sent() -> None:
            m.last_answer = time.monotonic()

        if held.owner.dirty or held.owner.changed:
            self.poke()
        return Reply(200, workers.answer(m.token, calls), sent=sent)

    def state_of(self, jid: str) -> dict[str, Any] | None:
        """What users are told of a job, from the copy."""
        if (end := self.replica.ended.get(jid)) is not None:
            return jobs.view(jid, end[0], end[1])
        known = self.replica.live.get(jid)
        if known is None:
            return None
        shard = self.layout.team_shard.get(known[0].team, -1)
        held = self.held.get(shard)
        done, running = 0, 0
        if held is not None and held.source is not None:
            done, running = held.source.progress(jid)
        else:
            for (kind, src, _), (_, state) in self.inbox.boards.items():
                if kind == "c" and src == shard and jid in state:
                    done, running = state[jid]
                    break
        return jobs.view(jid, jobs.RUNNING if running else jobs.QUEUED, done, running)

    def why_never(self, job: Job) -> str | None:
        """Why a job can never run; None if it can."""
        team = self.teams.get(job.team)
        if team is None:
            return "unknown team"
        types = self.types or {}
        if not any(
            fits(job.vec, t.vec) and (job.types is None or t.name in job.types) and (job.zone is None or job.zone in t.zones)
            for t in types.values()
        ):
            return "no machine type fits a task"
        n = 1 if job.kind == "array" else job.n
        if (team.cpus_max > 0 and n * job.cpus > team.cpus_max + 1e-6) or (team.gpus_max > 0 and n * job.gpus > team.gpus_max + 1e-6):
            return "more than the team's limit"
        return None

    async def submit(self, q: Request) -> Reply:
        """POST /api/jobs."""
        try:
            job = jobs.parse(orjson.loads(q.body), time.time())
        except (orjson.JSONDecodeError, jobs.Malformed) as e:
            return Reply(400, {"error": str(e)})
        if (end := self.replica.ended.get(job.id)) is not None:
            return Reply(200, jobs.view(job.id, *end))
        if not self.replica.ready or self.types is None:
            return Reply(503, {"error": "not ready"}, 1.0)
        if job.id in self.replica.live:
            return Reply(200, self.state_of(job.id)) if await self.current() else Reply(503, {"error": "state unknown"}, 1.0)
        if (why := self.why_never(job)) is not None:
            return Reply(422, {"error": why})
        record = job.record()
        if len(orjson.dumps(record)) > self.settings.value_bytes - 64:
            return Reply(400, {"error": "description too long to be kept"})
        if (wait := self.store.writes.wait(1)) > 1.5:
            return Reply(429, {"error": "busy"}, wait + 1)
        try:
            rev, failed = await self.store.txn({JOB + job.id: 0, END + job.id: 0}, {JOB + job.id: record}, [])
        except (Refused, Unknown):
            return Reply(503, {"error": "not stored"}, 1.0)
        if failed:
            if await self.current() and (known := self.state_of(job.id)) is not None:
                return Reply(200, known)
            return Reply(503, {"error": "state unknown"}, 1.0)
        log.info("accepted", job=job.id, team=job.team, kind=job.kind, tasks=job.n)
        self.replica.put_own(JOB + job.id, record, rev)
        self.replica_news()
        return Reply(201, {"id": job.id, "stance": jobs.QUEUED})

    async def poll(self, jid: str) -> Reply:
        """GET /api/jobs/{id}."""
        if jid not in self.replica.ended and not await self.current():
            return Reply(503, {"error": "state unknown"}, 1.0)
        known = self.state_of(jid)
        return Reply(200, known) if known is not None else Reply(404, {"error": "no such job"})

    async def withdraw(self, jid: str) -> Reply:
        """POST /api/jobs/{id}/withdraw."""
        for _ in range(3):
            if (end := self.replica.ended.get(jid)) is not None:
                return Reply(200, jobs.view(jid, *end))
            known = self.replica.live.get(jid)
            if known is not None:
                record = {"s": "withdrawn"}
                try:
                    rev, failed = await self.store.txn({JOB + jid: known[1]}, {END + jid: record}, [JOB + jid])
                except (Refused, Unknown):
                    return Reply(503, {"error": "not stored"}, 1.0)
                if not failed:
                    log.info("withdrawn", job=jid)
                    self.replica.put_own(END + jid, record, rev)
                    self.replica_news()
                    return Reply(200, jobs.view(jid, jobs.WITHDRAWN))
            if not await self.current():
                return Reply(503, {"error": "state unknown"}, 1.0)
            if jid not in self.replica.live and jid not in self.replica.ended:
                return Reply(404, {"error": "no such job"})
        return Reply(503, {"error": "state unknown"}, 1.0)

    def status(self) -> dict[str, Any]:
        """What an operator wants to see."""
        from ploverhall.status import status  # only when somebody asks

        return status(self)


def _where(e: BaseException) -> str:
    tb = e.__traceback__
    out = "?"
    while tb is not None:
        out = f"{tb.tb_frame.f_code.co_filename.rsplit('/', 1)[-1]}:{tb.tb_lineno}"
        tb = tb.tb_next
    return out
