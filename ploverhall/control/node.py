"""One controller: connects the decisions to the wire, and runs the loops that carry them out."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.bookkeeping.replica import (
    TYPES,
    Replica,
)  # fmt: skip
from ploverhall.control.following import Following
from ploverhall.control.membership import Membership
from ploverhall.control.renting import Renting
from ploverhall.control.requests import Requests
from ploverhall.control.telling import Telling
from ploverhall.control.writing import Writing
from ploverhall.coordination import boards
from ploverhall.coordination.boards import Inbox, Message, Outbox
from ploverhall.coordination.fleet import Machine
from ploverhall.coordination.owner import Owner
from ploverhall.coordination.renter import Renter
from ploverhall.coordination.shards import Layout
from ploverhall.coordination.source import Source
from ploverhall.log import where
from ploverhall.protocol import workers
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import WITHDRAWN
from ploverhall.protocol.peers import NodeNews
from ploverhall.protocol.state import Store
from ploverhall.settings import Settings
from ploverhall.transport.http import Client, Server, Unreachable
from ploverhall.transport.peer import Link, Listener

ENGINE_EVERY_S = 0.01
ENGINE_IDLE_S = 0.1  # a step comes at least this often
STOOD_S = 1.0  # a step later than this by so much: the process has stood still
READ_FIRST_S = 0.1  # then what has queued up is read for so long
VIEWS_EVERY_S = 0.5
SHORT_EVERY_S = 10.0
HEARD_S = 2.5  # a peer that has said nothing for longer can't be heard
SHARE = 0.92  # of the state service's limits that the controllers use together
LENT = 0.7  # of what another controller leaves unused: the rest is room for its next burst
LAG_S = 0.25  # what is late by less is not worth a word


@dataclass
class Held:
    """A shard held here: the owner of its part, and the source of its teams once the cells are read."""

    shard: int
    epoch: int
    owner: Owner
    source: Source | None = None
    wake: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    image_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    lost: bool = False


class Node:
    """The process's state and loops."""

    def __init__(self, settings: Settings) -> None:
        s = self.settings = settings
        self.layout = Layout(s.nodes, [t.name for t in s.teams])
        self.teams = {t.name: t for t in s.teams}
        self.me = self.layout.index[s.name]
        share = SHARE / len(s.nodes)
        self.store = Store(*s.state, rps=s.state_rps * share, write_rps=s.state_write_rps * share)
        self.replica = Replica()
        self.outbox, self.inbox = Outbox(), Inbox()
        self.links = [Link(s.name, p.name, p.host, p.port, self.collect) for p in s.peers]
        self.held: dict[int, Held] = {}
        self.holders: dict[int, str | None] = {}  # by role, as of the last event that may have changed it
        self.routing = 0  # rises with every change of `holders`
        self.renter: Renter | None = None
        self.types: dict[str, MachineType] | None = None
        self.rng = Random()
        self.wake = anyio.Event()
        self.direct_clients: dict[str, Client] = {}
        self.peer_news: dict[str, tuple[float, NodeNews]] = {}  # node -> when heard, and what it said
        self.gossip_at: dict[str, float] = {}
        self.cancelled_rev = 0  # the newest revision at which a job was cancelled, as far as is known here
        self.seen_sent: dict[str, int] = {}  # per peer: the revision it was told this node has read up to
        self.numbers = 0
        self.views_at = 0.0
        self.tasks: anyio.abc.TaskGroup
        self.lag = 0.0  # longest that a step of the engine has come late, since it was last told
        self.next_short = 0.0
        self.membership = Membership(self)
        self.following = Following(self)
        self.writing = Writing(self)
        self.renting = Renting(self)
        self.requests = Requests(self)
        self.telling = Telling(self)
        self.started = time.monotonic()
        self.stood_at, self.stood_s = -1e9, 0.0  # when this process last stood still, and for how long

    async def run(self) -> None:
        """Serve until cancelled."""
        s = self.settings
        async with anyio.create_task_group() as tg:
            self.tasks = tg
            server = Server(self.requests.handle, cap=max(8, int(s.max_sockets * 0.8)))
            tg.start_soon(server.run, *s.bind)
            tg.start_soon(Listener(self.deliver).run, *s.peer_listen)
            for link in self.links:
                tg.start_soon(link.run)
            for loop in (
                self.membership.lease_loop, self.following.watch_loop, self.following.prove_loop, self.membership.shard_loop,
                self.engine_loop, self.renting.loop, self.telling.loop, self.writing.archive_loop,
            ):  # fmt: skip
                tg.start_soon(self.guarded, loop)
            log.info("started", node=s.name, zone=s.zone, shards=len(s.nodes))

    async def guarded(self, loop: Any) -> None:
        """A fault in one loop must not end the others; it is logged and the loop begins again."""
        while True:
            try:
                await loop()
            except Exception as e:
                log.error("loop failed", loop=loop.__name__, error=repr(e), at=where(e))
                await anyio.sleep(0.5)

    def poke(self) -> None:
        """There is something to decide."""
        self.wake.set()

    def heard(self, node: str, now: float) -> bool:
        """Whether a peer has spoken lately."""
        return node in self.peer_news and now - self.peer_news[node][0] < HEARD_S

    def quiet(self, node: str, shard: int, now: float) -> bool:
        """Whether a shard's holder can be heard, and says that none of its workers reports to it any more."""
        return self.heard(node, now) and self.peer_news[node][1].quiet.get(shard, 0.0) > 1.3 * self.settings.report_s + 0.3

    def quiet_for(self, now: float) -> dict[int, float]:
        """How long no worker of a shard held here has reported."""
        return {h.shard: now - h.owner.reported for h in self.held.values() if h.owner.reported and h.owner.machines}

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
        self.route()
        self.replay(shard, ("s", "r"))
        self.tasks.start_soon(self.writing.source, held)
        self.tasks.start_soon(self.writing.images, held)
        self.poke()

    def lose(self, shard: int, why: str) -> None:
        """A shard is not held any more."""
        held = self.held.pop(shard, None)
        if held is not None:
            held.lost = True
            held.scope.cancel()
            held.image_scope.cancel()
            self.outbox.drop(("s", "o", "d", "m", "c"), shard)
            self.route()
            log.info("shard lost", shard=shard, epoch=held.epoch, why=why)

    def share(self, now: float) -> None:
        """This controller's slice of the state service's changes: its own, and part of what the others leave unused."""
        own = self.settings.state_write_rps * SHARE / len(self.layout.nodes)
        left = sum(max(0.0, own - news.writes) for name, (_, news) in self.peer_news.items() if self.heard(name, now))
        self.store.writes.rate = own + LENT * left / max(1, len(self.settings.peers))

    def proved(self, begun: float) -> None:
        """A read of the store begun then has shown who holds what."""
        for h in self.held.values():
            if self.replica.holder(h.shard)[1] == h.epoch:
                h.owner.proved = max(h.owner.proved, begun)

    def stood_still(self, s: float, now: float) -> None:
        """A step came far later than it was due: what was believed before is old, and what came meanwhile is unread."""
        log.warn("stood still", seconds=round(s, 1), shards=",".join(map(str, self.held)) or "-")
        self.stood_at, self.stood_s = now, s
        for h in self.held.values():
            h.owner.stood_still(s, now)
        self.renting.stood_still()
        self.following.ask()

    def job_vec(self, jid: str) -> tuple[float, float, float] | None:
        """What a task of a live job takes."""
        known = self.replica.live.get(jid)
        return known[0].vec if known else None

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
        self.membership.notice(now)
        cancelled = max((e.version for j in changed if (e := r.ended.get(j)) is not None and e.how == WITHDRAWN), default=0)
        if cancelled > self.cancelled_rev:
            self.cancelled_rev = cancelled  # the users' answers wait for everybody's word that it has been read
            for link in self.links:
                link.poke()
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
        self.route()
        self.membership.shard_wake.set()
        self.poke()

    def route(self) -> None:
        """Who holds what may have changed.

        Asked anew for every board, every link and every step of the engine, it was called 330,000 times in 240 s of a calm day.
        """
        holders = {role: self.holder(role) for role in (*range(len(self.layout.nodes)), boards.RENTER)}
        if holders != self.holders:
            self.holders = holders
            self.routing += 1

    def holder(self, role: int) -> str | None:
        """The node that holds a role, as far as is known here."""
        if role == boards.RENTER:
            return self.replica.renter()[0]
        if role in self.held:
            return self.settings.name
        node, epoch = self.replica.holder(role)
        for name, (heard, news) in self.peer_news.items():
            if news.epochs.get(role, 0) > epoch and time.monotonic() - heard < 2 * HEARD_S:
                node, epoch = name, news.epochs[role]
        return node

    def collect(self, node: str, generation: int) -> list[Message]:
        """What goes to a peer now."""
        out = self.outbox.collect(node, generation, self.holders.get, self.routing)
        now = time.monotonic()
        gossip = now - self.gossip_at.get(node, 0.0) > 0.5
        if gossip:
            self.gossip_at[node] = now
            news = NodeNews(
                now - self.store.last_ok, {h.shard: h.epoch for h in self.held.values()},
                self.quiet_for(now), self.store.writes.used(),
            )  # fmt: skip
            out.append(["n", self.me, 0, 0, True, news, 0])
        if self.replica.ready and (gossip or self.seen_sent.get(node, 0) < min(self.cancelled_rev, self.replica.rev)):
            # a message of its own, in the form of a board: a release that does not know it takes it for one of nobody's
            self.seen_sent[node] = self.replica.rev
            self.numbers += 1
            out.append(["k", self.me, 0, 0, True, {"seen": self.replica.rev}, self.numbers])
        return out + self.telling.collect(node, now)

    def deliver(self, node: str, batch: list[Message]) -> None:
        """A peer's messages."""
        news = False
        for message in batch:
            if message[0] == "n":
                told = NodeNews(*message[5])
                self.peer_news[node] = (time.monotonic(), told)
                for shard, epoch in told.epochs.items():
                    held = self.held.get(shard)
                    if held is not None and epoch > held.epoch:
                        self.lose(shard, f"{node} holds it")  # the state service may not be reached from here
                self.route()
            elif message[0] == "k":
                if isinstance(seen := message[5].get("seen"), int):
                    self.membership.told.read(node, seen)
            elif message[0] in ("v", "q", "a"):
                self.telling.deliver(node, message)
            elif self.inbox.take(message):
                self.dispatch(message)
                news = True
        if news:
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

    def replay(self, role: int, kinds: tuple[str, ...]) -> None:
        """Hand a role all that it has been told so far."""
        for (kind, src, dst), (epoch, state) in list(self.inbox.boards.items()):
            if dst == role and kind in kinds:
                self.dispatch([kind, src, epoch, dst, True, dict(state)])

    async def engine_loop(self) -> None:
        """Owners place, sources decide, boards go out."""
        last = time.monotonic()
        while True:
            impatient = any(h.source is not None and h.source.impatient for h in self.held.values())
            with anyio.move_on_after(ENGINE_IDLE_S / 2 if impatient else ENGINE_IDLE_S):
                await self.wake.wait()
            self.wake = anyio.Event()
            now = time.monotonic()
            late = now - last - ENGINE_IDLE_S - ENGINE_EVERY_S
            if late > STOOD_S:
                self.stood_still(late, now)
                await anyio.sleep(READ_FIRST_S)  # what has queued up is read before time passes for others
                now = time.monotonic()
            self.lag = max(self.lag, late)
            last = now
            if now - self.views_at > VIEWS_EVERY_S:
                self.views_at = now
                self.route()  # what a peer said of its shards holds for a while only
                self.share(now)
                self._views(now)
            if now > self.next_short:
                if self.next_short and (short := self.short()):
                    log.info("short of", **short)
                self.next_short, self.lag = now + SHORT_EVERY_S, 0.0
            for _ in range(4):  # what roles here tell one another is answered in the same breath
                now = time.monotonic()
                for held in list(self.held.values()):
                    self._step(held, now)
                local = self.outbox.collect(self.settings.name, 0, self.holders.get, self.routing)
                for message in local:
                    if self.inbox.take(message):
                        self.dispatch(message)
                if not local:
                    break
            waits = {self.holders.get(key[2]) for key in self.outbox.fresh}
            for link in self.links:
                if link.name in waits:
                    link.poke()
            await anyio.sleep(ENGINE_EVERY_S)

    def _step(self, held: Held, now: float) -> None:
        owner, source = held.owner, held.source
        owner.tick(now)
        owner.dirty = False
        if owner.unproved:
            owner.unproved = False
            self.following.ask()
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
            self.tell_owners(held, source, now)

    def tell_owners(self, held: Held, source: Source, now: float) -> None:
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

    def short(self) -> dict[str, float]:
        """What this controller is short of, and by how much; what it has enough of is left out."""
        sources = [h.source for h in self.held.values() if h.source is not None]
        now = time.monotonic()
        backlog = sum(len(s.dirty_chunks) + len(s.ending) for s in sources)
        found = {
            "processor_lag_s": round(self.lag, 2) if self.lag > LAG_S else 0.0,
            "changes_wait_s": round(w, 2) if (w := self.store.writes.wait(1)) > LAG_S else 0.0,
            "values_to_write": float(backlog) if backlog > self.settings.txn_ops else 0.0,
            "tasks_waiting": float(sum(js.waiting() for s in sources for w in s.waits.values() for js in w.values())),
            "kinds_refused": float(sum(1 for until, _ in self.renter.refused.values() if until > now)) if self.renter is not None else 0.0,
        }  # fmt: skip
        return {k: v for k, v in found.items() if v}

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
