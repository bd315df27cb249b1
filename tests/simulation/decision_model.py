"""A slow, plain world in virtual time: state service, workers and network as the protocol describes them.

It runs the real decision code (Owner, Source, boards, Replica) under seeded losses, delays, crashes,
cuts and late messages, and notices every broken rule itself, from the workers' side only.
"""

from __future__ import annotations

import heapq
from random import Random
from typing import Any

from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.coordination.shard_map import ShardMap
from ploverhall.coordination.state_channel import InboundChannels, OutboundChannels
from ploverhall.protocol import agents, peer_messages
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import CANCELLED, Job
from ploverhall.protocol.key_value_store import WatchEvent
from ploverhall.scheduling.permitting import JobSource
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.settings import Team
from ploverhall.storage.schema import (
    JOB_PREFIX,
    SHARD_PREFIX,
    WATCHED_PREFIX,
    allocation_prefix,
    end_record,
    progress_prefix,
)
from ploverhall.storage.store_cache import StoreCache

LEASE, REPORT, GANG_WAIT, GANG_PEER, CANCEL = 10.0, 1.0, 30.0, 4.0, 35.0
TYPE = MachineType("t", 16.0, 4.0, 128.0, 60.0, 1.0, 10.0, 3.0, 20.0, ("a", "b"))


class RuleBrokenError(AssertionError):
    """A rule of the protocol was broken."""


class ModelStore:
    """The state service."""

    def __init__(self) -> None:
        self.rev = 1
        self.kv: dict[str, tuple[Any, int]] = {}
        self.log: list[WatchEvent] = []

    def txn(
        self, guards: dict[str, int], puts: dict[str, Any], deletes: list[str], limit: int = 48
    ) -> tuple[int, list[str]]:
        assert len(puts) + len(deletes) <= limit and len(guards) <= 4 * limit, (
            "over the limits of a transaction"
        )
        failed = [k for k, v in guards.items() if self.kv.get(k, (None, 0))[1] != v]
        if failed:
            return 0, failed
        self.rev += 1
        for k, v in puts.items():
            self.kv[k] = (v, self.rev)
            self.log.append(WatchEvent(k, v, self.rev))
        for k in deletes:
            if self.kv.pop(k, None) is not None:
                self.log.append(WatchEvent(k, None, self.rev))
        return self.rev, []

    def since(self, rev: int) -> list[WatchEvent]:
        """What was changed after a revision, as the controllers watch it."""
        out = []
        for e in reversed(self.log):
            if e.version <= rev:
                break
            if e.key.startswith(WATCHED_PREFIX):
                out.append(e)
        return out[::-1]

    def permits(self) -> dict[str, Any]:
        """The cells that hold a permit."""
        return {k: v for k, (v, _) in self.kv.items() if k.startswith("c/") and v}

    def read(self, prefix: str) -> dict[str, tuple[Any, int]]:
        return {k: v for k, v in sorted(self.kv.items()) if k.startswith(prefix)}


class ModelAgent:
    """One machine, to the letter of the protocol."""

    def __init__(self, world: DecisionModel, name: str, zone: str, spot: bool) -> None:
        self.w, self.name, self.zone, self.spot = world, name, zone, spot
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[agents.AttemptId, dict[str, Any]] = {}
        self.home = world.rng.randrange(len(world.nodes))
        self.answered_sent = world.now  # when the last answered report was sent
        self.dead = False
        self.hung_until = 0.0
        self.deaf_until = 0.0  # it is heard, and hears nothing
        self.images: set[str] = set()

    def report(self) -> dict[str, Any]:
        self.seq += 1
        return {
            "perch": self.name,
            "endpoint": "x:1",
            "breed": "t",
            "marsh": self.zone,
            "driftwood": self.spot,
            "tide": self.session,
            "peep": self.seq,
            "crest": self.token,
            "warningS": None,
            "chicks": [
                {
                    "chick": f"{k[0]}/{k[1]}",
                    "hatch": k[2],
                    "stance": t["state"],
                    **({"cause": t["why"]} if t["state"] == "ended" else {}),
                }
                for k, t in self.tasks.items()
            ],
        }

    def tick(self) -> None:
        """Lease, image fetches, progress."""
        if self.w.now - self.answered_sent > LEASE:
            self.tasks.clear()
            self.session += 1
            self.answered_sent = self.w.now
        for key, t in list(self.tasks.items()):
            job = self.w.specs[key[0]]
            if t["state"] == "pulling" and self.w.now >= t["ready"]:
                self.images.add(job.image)
                t["state"] = "waiting" if job.kind == "gang" else "running"
                t["since"] = self.w.now
                t["until"] = self.w.now + (
                    1e9
                    if job.kind == "service"
                    else job.estimate_s + self.w.longer.get(key[:2], 0.0)
                )
                self.w.started(self, key)
            elif t["state"] == "running" and job.kind != "gang" and self.w.now >= t["until"]:
                t["state"], t["why"] = "ended", "done"
                self.w.results.add((key[0], key[1]))

    def execute(self, calls: list[dict[str, Any]]) -> None:
        for c in calls:
            job, index = agents.split_task(c["chick"])
            key = agents.AttemptId(job, index, c["hatch"])
            if c["call"] == "run":
                if key in self.tasks:
                    continue
                fetch = 0.1 if self.w.specs[job].image in self.images else 2.0
                t: dict[str, Any] = {"state": "pulling", "why": "", "ready": self.w.now + fetch}
                if any(k[:2] == key[:2] and o["state"] != "ended" for k, o in self.tasks.items()):
                    t.update(state="ended", why="in_use")
                elif self.used() + self.w.specs[job].gpus > TYPE.gpus:
                    t.update(state="ended", why="no_room")
                elif (job, index) in self.w.results:
                    t.update(state="ended", why="done")
                self.tasks[key] = t
            elif c["call"] == "kill":
                if key in self.tasks and self.tasks[key]["state"] != "ended":
                    self.tasks[key].update(state="ended", why="halted")
            elif key in self.tasks and self.tasks[key]["state"] == "ended":
                del self.tasks[key]

    def used(self) -> float:
        return sum(self.w.specs[k[0]].gpus for k, t in self.tasks.items() if t["state"] != "ended")

    def on_answer(self, body: dict[str, Any], sent: float, session: int) -> None:
        self.tick()
        if body.get("crest", -1) < self.token or session != self.session:
            return
        self.token = body["crest"]
        self.answered_sent = sent
        self.execute(body["calls"])

    def on_do(self, body: dict[str, Any]) -> dict[str, Any]:
        self.tick()
        if body["crest"] >= self.token and body["tide"] == self.session:
            self.token = body["crest"]
            self.execute(body["calls"])
        return self.report()

    def on_machine(self) -> list[agents.AttemptId]:
        if self.w.now - self.answered_sent > LEASE + 0.1:
            return []  # hung beyond its lease: whatever it wakes with, its tasks are killed first
        return [k for k, t in self.tasks.items() if t["state"] not in ("pulling", "ended")]


class ModelShard:
    """A shard held by a node in the world."""

    def __init__(self, node: ModelController, shard: int, epoch: int) -> None:
        w = node.w
        self.node, self.shard, self.epoch = node, shard, epoch
        self.owner = ShardOwner(shard, epoch, len(w.nodes), LEASE, REPORT, 5.0, 5, w.rng, w.now)
        self.owner.machine_types = {"t": TYPE}
        self.owner.inventory.resources_of_job = lambda jid: (
            node.replica.live_jobs[jid][0].resources if jid in node.replica.live_jobs else None
        )
        self.owner.job_ended_in_store = node.replica.ended_jobs.__contains__
        teams = [w.teams[t] for t in w.layout.teams_of(shard)]
        # the cells are read after the claim: from here on no earlier holder can write them
        self.source = JobSource(shard, epoch, teams, ("a", "b"), w.value_bytes, w.txn_ops)
        node.replica.apply(w.store.rev, w.store.since(node.replica.revision))
        for jid, (job, version) in node.replica.live_jobs.items():
            if w.layout.team_shard[job.team] == shard:
                self.source.on_job(job, jid, version, w.now)
        for t in teams:
            self.source.records.install_allocations(
                t.name, w.store.read(allocation_prefix(t.name)), w.now
            )
            self.source.records.install_progress(t.name, w.store.read(progress_prefix(t.name)))
        for part in range(len(w.nodes)):
            node.outbox.channel("s", shard, part, epoch)
        self.busy = False


class ModelController:
    """One controller, with its crash and its copy of the store."""

    def __init__(self, world: DecisionModel, index: int, zone: str) -> None:
        self.w, self.index, self.zone, self.name = world, index, zone, f"c{index}"
        self.boot()

    frozen_until = 0.0  # it stands still: nothing is read, done or sent, and its clock runs on
    blind_until = 0.0  # its watch of the store hangs
    dark_until = 0.0  # nothing reaches it but its workers, and it reaches nothing else
    refused_until = 0.0  # the store refuses it alone
    out_since: float | None = None  # since when its lease has not been renewed

    def boot(self) -> None:
        self.up_at = 0.0
        others = [f"c{i}" for i in range(3) if i != self.index]
        self.told = CancellationBarrier(
            others, CANCEL, LEASE, self.w.cut_off, self.w.now, f"{self.name} {self.lives}"
        )
        self.stepped = self.w.now
        self.replica = StoreCache()
        if self.reaches_store:
            self.load()
        self.inbox, self.outbox = InboundChannels(), OutboundChannels()
        self.held: dict[int, ModelShard] = {}
        self.generation: dict[str, int] = {}
        self.wires: dict[tuple[str, int, int], float] = {}
        self.spoke: dict[str, float] = {}

    def load(self) -> None:
        """Its first read of the store."""
        self.replica.load(self.w.store.read(WATCHED_PREFIX), self.w.store.rev)
        self.replica.ready = True
        self.told.store_contacted(self.w.now)
        for jid, end in self.replica.ended_jobs.items():
            if end.outcome == CANCELLED:
                self.told.record_cancellation(jid, end.version)
        self.replica.changed_jobs.clear()

    @property
    def reaches_store(self) -> bool:
        return not self.dark and self.w.now >= max(self.w.down_until, self.refused_until)

    @property
    def up(self) -> bool:
        return self.w.now >= self.up_at

    @property
    def dark(self) -> bool:
        return self.w.now < self.dark_until

    @property
    def isolated(self) -> bool:
        return self.told.isolated(self.w.now)

    def notice(self) -> None:
        """Whose key is in the store: a lease outlives its controller by 4 s, and no lease ends in an outage."""
        for n in self.w.nodes:
            if n is not self and self.reaches_store:
                if (
                    n.out_since is not None
                    and self.w.now - max(n.out_since, self.w.down_until) > 4.0
                ):
                    self.told.peer_absent(n.name, self.w.now)
                else:
                    self.told.peer_present(n.name, True, 0)

    def speak(self) -> None:
        """Words to the others, twice a second."""
        for n in self.w.nodes:
            if (
                n is not self
                and not self.w.cut(self, n)
                and self.w.now >= self.spoke.get(n.name, 0.0)
            ):
                self.spoke[n.name] = self.w.now + 0.5
                word = peer_messages.encode_gossip(
                    self.told.gossip_for(
                        n.name, self.replica.revision if self.replica.ready else 0, self.w.now
                    )
                )
                self.w.later(self.w.delay(self.w.speaking), n.listen, self.name, word, n.lives)

    def listen(self, by: str, word: dict[str, Any], lives: int) -> None:
        if (
            lives == self.lives
            and self.up
            and not self.w.asleep(self, self.listen, by, word, lives)
        ):
            for c in self.told.receive_gossip(by, peer_messages.decode_gossip(word), self.w.now):
                if c.revision > self.replica.revision and c.job_id not in self.replica.ended_jobs:
                    self.replica.apply_own_write(
                        JOB_PREFIX + c.job_id, end_record(CANCELLED, 0), c.revision
                    )
            self.news()

    def holder(self, role: int) -> str | None:
        return self.name if role in self.held else self.replica.holder(role)[0]

    def news(self) -> None:
        changed, self.replica.changed_jobs = self.replica.changed_jobs, []
        for jid in changed:
            known = self.replica.live_jobs.get(jid)
            if (end := self.replica.ended_jobs.get(jid)) is not None and end.outcome == CANCELLED:
                self.told.record_cancellation(jid, end.version)
            for h in self.held.values():
                if known is not None:
                    if self.w.layout.team_shard[known[0].team] == h.shard:
                        h.source.on_job(known[0], jid, known[1], self.w.now)
                else:
                    h.owner.job_ended(jid)
                    if jid in h.source.jobs and h.source.jobs[jid].job is not None:
                        h.source.on_job(None, jid, 0, self.w.now)
        for h in list(self.held.values()):
            if self.replica.holder(h.shard)[1] > h.epoch:
                del self.held[h.shard]
                self.outbox.drop(("s", "o"), h.shard)

    def take(self, shard: int, epoch: int) -> None:
        self.held[shard] = ModelShard(self, shard, epoch)
        for (kind, src, dst), (e, state) in list(self.inbox.channels.items()):
            if dst == shard:
                self.dispatch([kind, src, e, dst, True, dict(state)])

    def owners_again(self, h: ModelShard) -> None:
        for (kind, src, dst), (e, state) in list(self.inbox.channels.items()):
            if dst == h.shard and kind == "o":
                self.dispatch([kind, src, e, dst, True, dict(state)])

    def dispatch(self, message: list[Any]) -> None:
        kind, src, epoch, dst, full, changes = message[:6]
        h = self.held.get(dst)
        if h is None or epoch < self.replica.holder(src)[1]:
            return
        if kind == "s":
            h.owner.on_source_update(src, full, changes, self.w.now)
        else:
            h.source.on_owner_update(src, epoch, full, changes, self.w.now)

    def step(self) -> None:
        now = self.w.now
        if now - self.stepped > 1.0:
            for h in self.held.values():
                h.owner.on_event_loop_stall(now - self.stepped, now)
        self.stepped = now
        self.notice()
        self.speak()
        for _ in range(3):
            for h in list(self.held.values()):
                self._step(h, now)
            for m in self.outbox.collect(self.name, 0, self.holder):
                if self.inbox.accept(m):
                    self.dispatch(m)
        for other in self.w.nodes:
            if other is not self:
                if self.w.cut(self, other) or (self.w.chaos > 0 and self.w.rng.random() < 0.01):
                    # A new connection follows
                    self.generation[other.name] = self.generation.get(other.name, 0) + 1
                    continue
                batch = self.outbox.collect(
                    other.name, self.generation.get(other.name, 0) * 1000 + other.lives, self.holder
                )
                if batch:
                    # in order on one connection; what an old connection still holds may come after a newer one's
                    wire = (other.name, self.generation.get(other.name, 0), other.lives)
                    at = max(self.wires.get(wire, 0.0) + 0.0001, self.w.now + self.w.delay())
                    self.wires[wire] = at
                    self.w.later(at - self.w.now, other.receive, _copy(batch), other.lives)

    lives = 0

    def receive(self, batch: list[Any], lives: int) -> None:
        if lives == self.lives and self.up and not self.w.asleep(self, self.receive, batch, lives):
            for m in batch:
                if self.inbox.accept(m):
                    self.dispatch(m)

    def prove(self, lives: int, begun: float) -> None:
        """A read of the store has shown who holds what."""
        if not self.reaches_store:
            return
        if lives != self.lives or self.w.asleep(self, self.prove, lives, begun):
            return
        self.replica.apply(self.w.store.rev, self.w.store.since(self.replica.revision))
        self.told.store_contacted(self.w.now)
        self.news()
        for h in self.held.values():
            h.owner.epoch_confirmed_at = max(h.owner.epoch_confirmed_at, begun)

    def _step(self, h: ModelShard, now: float) -> None:
        o, s = h.owner, h.source
        o.advance_time(now)
        if o.confirmation_needed:
            o.confirmation_needed = False
            self.w.later(self.w.delay(), self.prove, self.lives, now)
        o.place_candidates(now)
        for m, body in o.direct_commands(now):
            self.w.direct(self, h, m, _copy(body))
        for (src, key), value in o.take_source_updates().items():
            self.outbox.channel("o", h.shard, src, h.epoch).put(key, _copy(value))
        s.decide(now)
        for (part, key), value in s.take_owner_updates(len(self.w.nodes), now).items():
            self.outbox.channel("s", h.shard, part, h.epoch).put(key, _copy(value))
        if not h.busy and (txn := s.next_write()) is not None:
            h.busy = True
            self.w.write(self, h, txn)


def _copy(x: Any) -> Any:
    if isinstance(x, dict):
        return {k: _copy(v) for k, v in x.items()}
    return [_copy(v) for v in x] if isinstance(x, (list, tuple)) else x


class DecisionModel:
    """Everything, and the judge of the rules."""

    def __init__(
        self,
        seed: int,
        machines: int = 9,
        value_bytes: int = 4096,
        txn_ops: int = 8,
        chaos: float = 1.0,
        kinds: tuple[int, ...] = tuple(range(8)),
        cut_off: float = 60.0,
        copies: float = 0.0,
    ) -> None:
        self.cut_off = cut_off
        # The share of reports that come again, from seconds to three leases later
        self.copies = copies
        self.down_until = 0.0  # the store refuses everybody
        # By how much some tasks run longer than others of their job
        self.longer: dict[tuple[str, int], float] = {}
        # Words change nothing else that is drawn
        self.rng, self.speaking = (
            Random(seed),
            Random(seed + 1_000_000),
        )
        self.chaos, self.kinds = chaos, kinds
        self.now = 0.0
        self.n = 0
        self.queue: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self.store = ModelStore()
        self.value_bytes, self.txn_ops = value_bytes, txn_ops
        self.teams = {f"team-{i}": Team(f"team-{i}", 0, 0, 4, 10) for i in range(4)}
        self.layout = ShardMap([("c0", "a"), ("c1", "b"), ("c2", "a")], list(self.teams))
        self.specs: dict[str, Job] = {}
        self.results: set[tuple[str, int]] = set()
        self.cancelled: dict[str, float] = {}
        self.cuts: dict[tuple[str, str], float] = {}
        self.nodes: list[ModelController] = []
        for i, z in enumerate("aba"):
            self.nodes.append(ModelController(self, i, z))
        self.orphan: dict[int, float] = {}
        self.workers = {
            f"n-{i}": ModelAgent(self, f"n-{i}", "ab"[i % 2], i % 4 == 3) for i in range(machines)
        }
        self.starts = 0
        for w in self.workers.values():
            self.later(self.rng.random(), self.report, w)
        self.later(0.0, self.tick)
        self.later(3.0, self.trouble)

    # -- time and troubles -------------------------------------------------------------------

    def later(self, after: float, what: Any, *args: Any) -> None:
        self.n += 1
        heapq.heappush(self.queue, (self.now + after, self.n, what, args))

    def delay(self, rng: Random | None = None) -> float:
        return 0.002 + ((rng or self.rng).random() ** 6) * 0.5 * self.chaos

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self.queue)
            what(*args)
        self.now = until

    def asleep(self, node: ModelController, what: Any, *args: Any) -> bool:
        """What reaches a controller that stands still lies unread until it wakes; in which order it goes on is not said."""
        if self.now < node.frozen_until:
            self.later(node.frozen_until - self.now + 0.06 * self.rng.random(), what, *args)
            return True
        return False

    def cut(self, a: Any, b: Any) -> bool:
        if isinstance(a, ModelController) and isinstance(b, ModelController) and (a.dark or b.dark):
            return True
        return self.cuts.get((min(a.name, b.name), max(a.name, b.name)), 0.0) > self.now

    def trouble(self) -> None:
        self.later(2.0 + 6.0 * self.rng.random(), self.trouble)
        if self.chaos <= 0 or not self.kinds:
            return
        kind = self.rng.choice(self.kinds)
        if kind == 0:
            self.crash(self.rng.choice(self.nodes), self.rng.choice([0.5, 3.0, 15.0]))
        elif kind == 1:
            for n in self.nodes:
                if self.rng.random() < 0.5:
                    self.crash(n, 3.0)
        elif kind == 2:
            pair: list[Any] = self.rng.sample([*self.nodes, *self.workers.values()], 2)
            names = sorted(x.name for x in pair)
            self.cuts[names[0], names[1]] = self.now + self.rng.choice([2.0, 8.0, 20.0])
        elif kind == 3:
            w = self.rng.choice(list(self.workers.values()))
            w.hung_until = self.now + self.rng.choice([3.0, 8.0, 25.0])
        elif kind == 4:
            for node in self.nodes:
                if self.rng.random() < 0.4:
                    node.frozen_until = self.now + self.rng.choice([1.0, 3.0, 8.0, 14.0, 30.0])
                elif self.rng.random() < 0.5:
                    node.blind_until = self.now + 20.0
        elif kind == 5:
            self.rng.choice(self.nodes).blind_until = self.now + self.rng.choice([2.0, 8.0, 20.0])
        elif kind == 7:
            self.darken(self.rng.choice(self.nodes), self.rng.choice([8.0, 20.0, 45.0, 80.0]))
        elif kind == 9:
            self.gap(
                self.rng.choice(self.nodes),
                self.rng.choice([0.5, 3.0, 7.0]),
                self.rng.choice([15.0, CANCEL + 12.0]),
            )
        elif kind == 8:
            for w in self.rng.sample(list(self.workers.values()), 3):
                w.deaf_until = self.now + self.rng.choice([3.0, 8.0, 12.0, 40.0])
        else:
            node = self.rng.choice(self.nodes)
            for w in self.workers.values():
                self.cuts[min(node.name, w.name), max(node.name, w.name)] = self.now + 6.0

    def gap(self, node: ModelController, before: float, s: float) -> None:
        """The store refuses one controller, and then everybody; an outage gives every lease its full time again."""
        if self.now >= self.down_until:
            node.refused_until = self.now + before + self.rng.choice([0.0, 10.0])
            self.later(before, lambda: setattr(self, "down_until", self.now + s))

    def darken(self, node: ModelController, s: float) -> None:
        """A zone is cut off, this controller in it: only its zone's workers reach it, and they reach nobody else."""
        if any(n.dark for n in self.nodes):
            return
        node.dark_until = self.now + s
        for w in self.workers.values():
            for n in self.nodes:
                if (n is node) != (w.zone == node.zone):
                    self.cuts[min(n.name, w.name), max(n.name, w.name)] = self.now + s

    def crash(self, node: ModelController, down: float) -> None:
        node.lives += 1
        node.held.clear()
        node.up_at = self.now + down

        def back(lives: int) -> None:
            if node.lives == lives:
                node.boot()

        self.later(down, back, node.lives)

    # -- the parts in between ------------------------------------------------------------------

    def tick(self) -> None:
        self.later(0.05, self.tick)
        for w in self.workers.values():
            if not w.dead and self.now >= w.hung_until:
                w.tick()
        self.gangs()
        for n in self.nodes:
            if n.up and self.now >= n.frozen_until:
                if n.reaches_store and (
                    (self.rng.random() < 0.7 and self.now >= n.blind_until) or self.chaos <= 0
                ):
                    if n.replica.ready:
                        n.replica.apply(self.store.rev, self.store.since(n.replica.revision))
                        n.told.store_contacted(self.now)
                    else:
                        n.load()
                n.news()
                if n.reaches_store and n.replica.ready:
                    self.shards(n)
                n.step()
            out = not n.up or self.now < n.frozen_until or not n.reaches_store
            n.out_since = (n.out_since if n.out_since is not None else self.now) if out else None
        self.judge()

    def shards(self, n: ModelController) -> None:
        for i in range(len(self.nodes)):
            value, version = self.store.kv.get(f"{SHARD_PREFIX}{i}", (None, 0))
            holder = value["node"] if value else None
            if holder == n.name and (i not in n.held or n.held[i].epoch != version):
                self.claim(n, i, version)
            elif (
                holder is None
                or not (other := self.nodes[int(holder[1])]).up
                or other.frozen_until > self.now
                or not other.reaches_store
            ):
                since = self.orphan.setdefault(i, self.now)
                if i == n.index or self.now - since > 3.0:
                    self.claim(n, i, version)
            elif i == n.index and self.rng.random() < 0.003:
                self.claim(
                    n, i, version
                )  # as if its holder's lease had ended: it is deposed unawares

    def claim(self, n: ModelController, shard: int, version: int) -> None:
        rev, failed = self.store.txn(
            {f"{SHARD_PREFIX}{shard}": version}, {f"{SHARD_PREFIX}{shard}": {"node": n.name}}, []
        )
        if not failed:
            self.orphan.pop(shard, None)
            n.take(shard, rev)

    def write(self, node: ModelController, h: ModelShard, txn: Any) -> None:
        # What a cut holds back of it is not played: unknown, and not executed
        fate = self.rng.random() if node.reaches_store else 1.0
        lives = node.lives

        def outcome(rev: int, failed: list[str], unknown: bool) -> None:
            if (
                node.lives != lives
                or node.held.get(h.shard) is not h
                or self.asleep(node, outcome, rev, failed, unknown)
            ):
                return
            if not node.reaches_store:  # neither written nor read again before that
                self.later(0.5, outcome, rev, failed, unknown)
                return
            h.busy = False
            if unknown:
                h.source.writer.on_outcome_unknown(txn)
                for t in h.source.writer.teams_of(txn):
                    h.source.records.install_allocations(
                        t, self.store.read(allocation_prefix(t)), self.now
                    )
                node.owners_again(h)
            elif failed:
                if f"{SHARD_PREFIX}{h.shard}" in failed:
                    del node.held[h.shard]
                    node.outbox.drop(("s", "o"), h.shard)
                    return
                for t in h.source.writer.on_compare_failed(txn, failed):
                    h.source.records.install_allocations(
                        t, self.store.read(allocation_prefix(t)), self.now
                    )
                node.owners_again(h)
            else:
                h.source.on_committed(txn, rev, self.now)

        def apply(answer: bool) -> None:
            rev, failed = self.store.txn(
                txn.compare, _copy(txn.puts), list(txn.deletes), self.txn_ops
            )
            if not failed:
                for k in txn.puts:
                    if k.startswith(JOB_PREFIX):
                        self.check_done(k[len(JOB_PREFIX) :])
            if answer:
                self.later(self.delay(), outcome, rev, failed, False)

        if fate < 0.85 or self.chaos <= 0:
            self.later(self.delay(), apply, True)
        elif fate < 0.95:  # executed late or at once, and the answer is lost
            self.later(self.rng.choice([0.0, 0.5, 5.0, 30.0]), apply, False)
            self.later(1.0, outcome, 0, [], True)
        else:
            self.later(1.0, outcome, 0, [], True)

    def report(self, w: ModelAgent) -> None:
        if w.dead:
            return
        self.later(REPORT * (0.75 + 0.5 * self.rng.random()), self.report, w)
        if self.now < w.hung_until:
            return
        node = self.nodes[w.home]
        body, sent, session = w.report(), self.now, w.session
        if self.copies and self.rng.random() < self.copies:
            to = node if self.rng.random() < 0.6 else self.rng.choice(self.nodes)
            self.later(
                self.rng.choice([1.0, 4.0, 9.0, 14.0, 30.0]),
                self.answer,
                to,
                w,
                body,
                sent,
                session,
                True,
            )
        if not node.up or self.cut(node, w):
            w.home = (w.home + 1) % len(self.nodes)
            if self.rng.random() < 0.3:  # held back, delivered late
                self.later(
                    self.rng.choice([3.0, 12.0, 25.0]),
                    self.answer,
                    node,
                    w,
                    body,
                    sent,
                    session,
                    True,
                )
            return
        self.answer(node, w, body, sent, session, False)

    def answer(
        self,
        node: ModelController,
        w: ModelAgent,
        body: dict[str, Any],
        sent: float,
        session: int,
        late: bool,
    ) -> None:
        if not node.up:
            return
        if self.asleep(node, self.answer, node, w, body, sent, session, True):
            w.home = (w.home + 1) % len(self.nodes)
            return
        r = agents.heartbeat_from_json(body)
        h = (
            node.held.get(self.layout.shard_of_machine(r.zone, r.machine))
            if not node.isolated
            else None
        )
        m = h.owner.on_heartbeat(r, self.now) if h is not None else None
        if h is None or m is None:
            if not late:
                holder = node.replica.holder(self.layout.shard_of_machine(r.zone, r.machine))[0]
                w.home = (
                    int(holder[1])
                    if holder and holder != node.name
                    else (w.home + 1) % len(self.nodes)
                )
            return
        if m.stale_heartbeat:
            return  # as in controller.heartbeat_requests: an answer without commands, for which nobody waits
        reply = _copy(agents.heartbeat_answer(m.token, h.owner.commands_for(m, self.now)))
        m.last_answer_at = self.now
        if self.now < w.deaf_until:
            w.home = (w.home + 1) % len(self.nodes)
        elif (
            not late
            and not w.dead
            and self.now >= w.hung_until
            and not (self.chaos > 0 and self.rng.random() < 0.03)
        ):
            w.on_answer(reply, sent, session)

    def direct(self, node: ModelController, h: ModelShard, m: Any, body: dict[str, Any]) -> None:
        w = self.workers[m.name]
        lives = node.lives
        fate = self.rng.random() if self.chaos > 0 else 0.0

        def done(report: dict[str, Any] | None) -> None:
            if (
                node.lives == lives
                and node.held.get(h.shard) is h
                and not self.asleep(node, done, report)
            ):
                h.owner.on_direct_answer(
                    m, agents.heartbeat_from_json(report) if report else None, self.now
                )

        def arrive(answer: bool) -> None:
            if w.dead:
                return
            if self.now < w.hung_until:
                self.later(w.hung_until - self.now + 0.01, arrive, False)
                return
            report = w.on_do(body)
            if answer:
                self.later(self.delay(), done, report)

        if self.cut(node, w) or fate > 0.9 or self.now < max(w.hung_until, w.deaf_until):
            self.later(
                self.rng.choice([0.2, 4.0, 15.0, 40.0]), arrive, False
            )  # held back, executed late
            self.later(1.5, done, None)
        else:
            self.later(self.delay(), arrive, True)

    # -- gangs ---------------------------------------------------------------------------------

    def gangs(self) -> None:
        groups: dict[
            tuple[str, int], list[tuple[ModelAgent, agents.AttemptId, dict[str, Any]]]
        ] = {}
        for w in self.workers.values():
            for k, t in w.tasks.items():
                if self.specs[k[0]].kind == "gang" and t["state"] in ("waiting", "running"):
                    groups.setdefault((k[0], k[2]), []).append((w, k, t))
        for (job, _), members in groups.items():
            n = self.specs[job].task_count
            if len(members) == n and all(t["state"] == "waiting" for _, _, t in members):
                for _, _, t in members:
                    t.update(
                        state="running", until=self.now + self.specs[job].estimate_s, lost=None
                    )
            for w, _, t in members:
                if self.now < w.hung_until:
                    continue
                if t["state"] == "waiting" and self.now - t["since"] > GANG_WAIT:
                    t.update(state="ended", why="alone")
                elif t["state"] == "running" and len(members) < n:
                    t["lost"] = t.get("lost") or self.now
                    if self.now - t["lost"] > GANG_PEER:
                        t.update(state="ended", why="peers")
                elif t["state"] == "running" and self.now >= t["until"]:
                    for _, k2, t2 in members:
                        t2.update(state="ended", why="done")
                        self.results.add(k2[:2])
                    break

    # -- users and rules -----------------------------------------------------------------------

    def submit(self, job: Job) -> None:
        if self.now < self.down_until:
            self.later(1.0, self.submit, job)
            return
        self.specs[job.id] = job
        self.store.txn({JOB_PREFIX + job.id: 0}, {JOB_PREFIX + job.id: job.record()}, [])

    def live(self) -> list[str]:
        """Keys of jobs that are not over."""
        return [
            k
            for k, (v, _) in self.store.kv.items()
            if k.startswith(JOB_PREFIX) and isinstance(v, list)
        ]

    def withdraw(self, jid: str) -> None:
        """A user asks any controller that can be reached, again and again until it is told."""
        value, version = self.store.kv.get(JOB_PREFIX + jid, (None, 0))
        if isinstance(value, list) and self.now < self.down_until:
            self.later(1.0, self.withdraw, jid)
            return
        if isinstance(value, list):
            version, _ = self.store.txn(
                {JOB_PREFIX + jid: version}, {JOB_PREFIX + jid: end_record("withdrawn", 0)}, []
            )
        elif value is None or value["s"] != "withdrawn":
            return
        asked = [n for n in self.nodes if n.up and not n.dark and self.now >= n.frozen_until]
        node = self.rng.choice(asked) if asked else None
        # what one has read it tells from its memory, in an outage, too
        if (
            node is not None
            and node.replica.ready
            and node.replica.revision >= version
            and node.told.may_acknowledge(version, self.now)
        ):
            self.cancelled.setdefault(jid, self.now)
        else:
            self.later(1.0, self.withdraw, jid)

    def check_done(self, jid: str) -> None:
        if any((jid, i) not in self.results for i in range(self.specs[jid].task_count)):
            raise RuleBrokenError(f"not_done: {jid} at {self.now}")

    def started(self, w: ModelAgent, key: agents.AttemptId) -> None:
        """A task is on its machine from now on."""
        self.starts += 1
        job = self.specs[key[0]]
        zones: dict[str, int] = {}
        for other in self.workers.values():
            for k in other.on_machine():
                if k[:2] == key[:2] and other is not w:
                    raise RuleBrokenError(
                        f"ran_twice: {key} on {w.name} while {k} is on {other.name} at {self.now}"
                    )
                if k[0] == key[0]:
                    zones[other.zone] = zones.get(other.zone, 0) + 1
        if (
            (w.spot and not job.spot)
            or (job.zone and job.zone != w.zone)
            or (job.single_zone and len(zones) > 1)
        ):
            raise RuleBrokenError(f"wrong_place: {key} on {w.name}")
        if job.spread_zones and zones[w.zone] > job.max_tasks_per_zone:
            raise RuleBrokenError(f"wrong_place: {key} on {w.name}: {zones}")

    def judge(self) -> None:
        used: dict[str, float] = {}
        for w in self.workers.values():
            if w.dead:
                continue
            for k in w.on_machine():
                job = self.specs[k[0]]
                used[job.team] = used.get(job.team, 0.0) + job.gpus
                # hanging excuses nothing: within its lease the machine may go on, and beyond it there is nothing on it
                if k[0] in self.cancelled and self.now - self.cancelled[k[0]] > CANCEL:
                    raise RuleBrokenError(f"ran_cancelled: {k} on {w.name} at {self.now}")
        for team, gpus in used.items():
            if gpus > self.teams[team].max_gpus + 1e-6:
                raise RuleBrokenError(f"quota: {team} uses {gpus} at {self.now}")


def job(rng: Random, jid: str, at: float) -> Job:
    """A job of any kind."""
    kind = rng.choice(["array", "array", "gang", "service"])
    n = rng.choice([1, 2, 5, 9]) if kind == "array" else rng.choice([1, 2, 3])
    one_zone = kind == "gang" and rng.random() < 0.5
    return Job(
        id=jid,
        job_class=kind,
        team=f"team-{rng.randrange(4)}",
        kind=kind,
        priority=rng.randrange(4),
        task_count=n,
        cpus=2.0,
        gpus=rng.choice([1.0, 2.0]),
        memory_gb=8.0,
        image=f"i{rng.randrange(3)}",
        image_gb=2.0,
        machine_types=None,
        zone=None,
        single_zone=one_zone,
        spread_zones=kind == "service" and rng.random() < 0.5,
        spot=kind == "array",
        estimate_s=rng.choice([2.0, 8.0, 20.0]),
        checkpoint_s=0.0,
        save_s=0.0,
        deadline_s=None,
        submitted_at=at,
    )
