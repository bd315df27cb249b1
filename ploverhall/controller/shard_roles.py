"""The shards held here: taken, lost, and told what has changed in the store."""

from __future__ import annotations

from collections.abc import Callable

from ploverhall import log
from ploverhall.controller.context import Held, Shared
from ploverhall.controller.routing import Routing
from ploverhall.scheduling.shard_owner import Owner
from ploverhall.storage.store_cache import TYPES


class Roles:
    """Owners and sources, from the claim to the loss."""

    def __init__(self, shared: Shared, routing: Routing, begin: Callable[[Held], None]) -> None:
        self.shared, self.routing = shared, routing
        self.begin = begin  # starts what reads and writes for a shard that has just been taken

    def take(self, shard: int, epoch: int) -> None:
        """A shard is held from now on: serve its workers at once, its teams when their cells are read."""
        shared, s = self.shared, self.shared.settings
        owner = Owner(
            shard,
            epoch,
            len(shared.layout.nodes),
            s.lease_s,
            s.report_s,
            s.options.hold_s,
            s.options.sample,
            shared.rng,
            shared.clock(),
            shared.me,
        )
        owner.types = shared.types or {}
        owner.fleet.job_vec = shared.job_vec
        owner.job_over = shared.replica.ended.__contains__
        held = shared.held[shard] = Held(shard, epoch, owner)
        log.info("shard taken", shard=shard, epoch=epoch)
        self.routing.route()
        self.routing.replay(shard, ("s", "r"))
        self.begin(held)
        shared.poke()

    def lose(self, shard: int, why: str) -> None:
        """A shard is not held any more."""
        held = self.shared.held.pop(shard, None)
        if held is not None:
            held.lost = True
            held.scope.cancel()
            held.image_scope.cancel()
            self.shared.outbox.drop(("s", "o", "d", "m", "c"), shard)
            self.routing.route()
            log.info("shard lost", shard=shard, epoch=held.epoch, why=why)

    def deposed(self, epochs: dict[int, int], by: str) -> None:
        """Another controller says what it holds: the state service may not be reached from here."""
        for shard, epoch in epochs.items():
            held = self.shared.held.get(shard)
            if held is not None and epoch > held.epoch:
                self.lose(shard, f"{by} holds it")

    def proved(self, begun: float) -> None:
        """A read of the store begun then has shown who holds what."""
        for h in self.shared.held.values():
            if self.shared.replica.holder(h.shard)[1] == h.epoch:
                h.owner.proved = max(h.owner.proved, begun)

    def stood_still(self, s: float, now: float) -> None:
        """A step came far later than it was due: what was believed before is old, and what came meanwhile is unread."""
        log.warn(
            "stood still", seconds=round(s, 1), shards=",".join(map(str, self.shared.held)) or "-"
        )
        self.shared.stood_at, self.shared.stood_s = now, s
        for h in self.shared.held.values():
            h.owner.stood_still(s, now)

    def changed(self, now: float) -> None:
        """The copy of the store has changed: types, jobs that came, jobs that are over."""
        shared, r = self.shared, self.shared.replica
        if shared.types is None or TYPES in r.keys:
            types = r.types()
            if types is not None and types != shared.types:
                shared.types = types
                for h in shared.held.values():
                    h.owner.types = types
                    if h.source is not None:
                        h.source.types = types
        changed, r.changed_jobs = r.changed_jobs, []
        for jid in changed:
            known = r.live.get(jid)
            if known is not None:
                if shared.renter is not None and jid not in shared.renter.arrivals:
                    shared.renter.on_job(known[0], now)
                held = shared.held.get(shared.layout.team_shard.get(known[0].team, -1))
                if held is not None and held.source is not None:
                    held.source.on_job(known[0], jid, known[1], now)
                    held.wake.set()
            else:
                for held in shared.held.values():
                    held.owner.job_ended(jid)
                    if (
                        held.source is not None
                        and jid in held.source.jobs
                        and held.source.jobs[jid].job is not None
                    ):
                        held.source.on_job(None, jid, 0, now)
                        held.wake.set()
