"""The loop in which owners place, sources decide, and boards go out."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from ploverhall import log
from ploverhall.controller.context import Held, Shared
from ploverhall.controller.peer_liveness import Hearing
from ploverhall.controller.routing import Routing
from ploverhall.coordination import state_channel
from ploverhall.scheduling.inventory import Machine
from ploverhall.scheduling.shard_owner import Owner

ENGINE_EVERY_S = 0.01
ENGINE_IDLE_S = 0.1  # a step comes at least this often
STOOD_S = 1.0  # a step later than this by so much: the process has stood still
READ_FIRST_S = 0.1  # then what has queued up is read for so long
VIEWS_EVERY_S = 0.5
SHORT_EVERY_S = 10.0
LAG_S = 0.25  # what is late by less is not worth a word


class Engine:
    """Steps of all roles held here."""

    def __init__(
        self,
        shared: Shared,
        hearing: Hearing,
        routing: Routing,
        *,
        poke: Callable[..., None],
        ask: Callable[[], None],
        stood_still: Callable[[float, float], None],
        right: Callable[[float], int],
        direct: Callable[[Owner, Machine, dict[str, Any]], None],
    ) -> None:
        self.shared, self.hearing, self.routing = shared, hearing, routing
        self.poke_peers, self.ask, self.stood_still, self.right, self.direct = (
            poke,
            ask,
            stood_still,
            right,
            direct,
        )
        self.views_at = 0.0
        self.late = 0.0  # by how much the newest step came late
        self.lag = 0.0  # longest that a step has come late, since it was last told
        self.next_short = 0.0

    async def loop(self) -> None:
        """Step whenever there is something to decide, and now and then."""
        shared = self.shared
        last = shared.clock()
        while True:
            impatient = any(
                h.source is not None and h.source.impatient for h in shared.held.values()
            )
            with anyio.move_on_after(ENGINE_IDLE_S / 2 if impatient else ENGINE_IDLE_S):
                await shared.wake.wait()
            shared.wake = anyio.Event()
            now = shared.clock()
            late = now - last - ENGINE_IDLE_S - ENGINE_EVERY_S
            if late > STOOD_S:
                self.stood_still(late, now)
                await anyio.sleep(
                    READ_FIRST_S
                )  # what has queued up is read before time passes for others
                now = shared.clock()
            self.late, self.lag = late, max(self.lag, late)
            last = now
            if now - self.views_at > VIEWS_EVERY_S:
                self.views_at = now
                self.routing.route()  # what a peer said of its shards holds for a while only
                self.hearing.share(now)
                self._views(now)
            if now > self.next_short:
                if self.next_short and (short := self.short()):
                    log.info("short of", **short)
                self.next_short, self.lag = now + SHORT_EVERY_S, 0.0
            for _ in range(4):  # what roles here tell one another is answered in the same breath
                now = shared.clock()
                for held in list(shared.held.values()):
                    self._step(held, now)
                local = self.routing.collect(shared.settings.name, 0)
                for message in local:
                    self.routing.take(message)
                if not local:
                    break
            self.poke_peers(
                *dict.fromkeys(
                    self.routing.holders.get(key[2]) for key in sorted(shared.outbox.fresh)
                )
            )
            await anyio.sleep(ENGINE_EVERY_S)

    def _step(self, held: Held, now: float) -> None:
        owner, source = held.owner, held.source
        owner.tick(now)
        owner.dirty = False
        if owner.unproved:
            owner.unproved = False
            self.ask()
        owner.place(now)
        if self.shared.settings.options.direct:
            owner.right = self.right(now)
            for m, body in owner.direct_work(now):
                self.direct(owner, m, body)
        for (src, key), value in owner.take_news().items():
            self.shared.outbox.board("o", held.shard, src, held.epoch).put(key, value)
        if source is not None:
            source.decide(now)
            source.grant(now, self.shared.wall())
            if source.dirty_chunks or source.ending or source.dirty_grants:
                held.wake.set()
            self.routing.tell_owners(held, source, now)

    def _views(self, now: float) -> None:
        """What is told at a slower pace: machines and demand to the renter, numbers for display, what the renter wants."""
        shared = self.shared
        shards, outbox, renter = range(len(shared.layout.nodes)), shared.outbox, shared.renter
        for h in shared.held.values():
            to_renter = outbox.board("m", h.shard, state_channel.RENTER, h.epoch)
            to_renter.update(h.owner.take_machine_news(now))
            to_renter.put("?", h.owner.suspects(now) or None)
            if h.source is not None:
                outbox.board("d", h.shard, state_channel.RENTER, h.epoch).replace(
                    h.source.demand(now, shared.wall())
                )
                counts = h.source.take_counts()
                for part in shards:
                    outbox.board("c", h.shard, part, h.epoch).update(counts)
        if renter is not None:
            for part in shards:
                b = outbox.board("r", state_channel.RENTER, part, renter.epoch)
                b.put("drain", renter.drains(part))
                if renter.looked:
                    b.put("empty", renter.emptying(part))
                b.put("gone", renter.gone_for(part))

    def short(self) -> dict[str, float]:
        """What this controller is short of, and by how much; what it has enough of is left out."""
        shared = self.shared
        sources = [h.source for h in shared.held.values() if h.source is not None]
        now = shared.clock()
        refused = shared.renter.refused if shared.renter is not None else {}
        backlog = sum(len(s.dirty_chunks) + len(s.ending) for s in sources)
        found = {
            "processor_lag_s": round(self.lag, 2) if self.lag > LAG_S else 0.0,
            "changes_wait_s": round(w, 2) if (w := shared.store.writes.wait(1)) > LAG_S else 0.0,
            "values_to_write": float(backlog) if backlog > shared.settings.txn_ops else 0.0,
            "tasks_waiting": float(
                sum(js.waiting() for s in sources for w in s.waits.values() for js in w.values())
            ),
            "kinds_refused": float(sum(1 for until, _ in refused.values() if until > now)),
        }
        return {k: v for k, v in found.items() if v}
