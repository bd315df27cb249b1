"""The loop in which owners place, sources decide, and boards go out."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from ploverhall import log
from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.routing import Routing
from ploverhall.coordination import state_channel
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.shard_owner import ShardOwner

STEP_INTERVAL_S = 0.01
IDLE_INTERVAL_S = 0.1  # a step comes at least this often
STALL_THRESHOLD_S = 1.0  # a step later than this by so much: the process has stood still
DRAIN_QUEUE_S = 0.1  # then what has queued up is read for so long
SLOW_UPDATE_INTERVAL_S = 0.5
SHORTAGE_LOG_INTERVAL_S = 10.0
REPORTED_LAG_S = 0.25  # what is late by less is not worth a word


class SchedulingLoop:
    """Steps of all roles held here."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        routing: Routing,
        *,
        notify_peers: Callable[..., None],
        request_read: Callable[[], None],
        on_stall: Callable[[float, float], None],
        renewal_grant: Callable[[float], int],
        send_direct_command: Callable[[ShardOwner, Machine, dict[str, Any]], None],
    ) -> None:
        self.context = context
        self.peer_liveness = peer_liveness
        self.routing = routing
        (
            self.notify_peers,
            self.request_read,
            self.on_stall,
            self.renewal_grant,
            self.send_direct_command,
        ) = (
            notify_peers,
            request_read,
            on_stall,
            renewal_grant,
            send_direct_command,
        )
        self.slow_update_at = 0.0
        self.last_step_lag_s = 0.0  # by how much the newest step came late
        self.max_lag_s = 0.0  # longest that a step has come late, since it was last told
        self.next_shortage_log_at = 0.0

    async def loop(self) -> None:
        """Step whenever there is something to decide, and now and then."""
        shared = self.context
        last = shared.clock()
        while True:
            impatient = any(
                held_shard.source is not None and held_shard.source.holding_back_offers
                for held_shard in shared.held_shards.values()
            )
            with anyio.move_on_after(IDLE_INTERVAL_S / 2 if impatient else IDLE_INTERVAL_S):
                await shared.scheduling_wake.wait()
            shared.scheduling_wake = anyio.Event()
            now = shared.clock()
            late = now - last - IDLE_INTERVAL_S - STEP_INTERVAL_S
            if late > STALL_THRESHOLD_S:
                self.on_stall(late, now)
                await anyio.sleep(
                    DRAIN_QUEUE_S
                )  # what has queued up is read before time passes for others
                now = shared.clock()
            self.last_step_lag_s, self.max_lag_s = late, max(self.max_lag_s, late)
            last = now
            if now - self.slow_update_at > SLOW_UPDATE_INTERVAL_S:
                self.slow_update_at = now
                self.routing.update_routes()  # what a peer said of its shards holds for a while only
                self.peer_liveness.update_write_share(now)
                self._slow_updates(now)
            if now > self.next_shortage_log_at:
                if self.next_shortage_log_at and (short := self.capacity_shortages()):
                    log.info("short of", **short)
                self.next_shortage_log_at = now + SHORTAGE_LOG_INTERVAL_S
                self.max_lag_s = 0.0
            for _ in range(4):  # what roles here tell one another is answered in the same breath
                now = shared.clock()
                for held in list(shared.held_shards.values()):
                    self._step(held, now)
                local = self.routing.collect(shared.settings.name, 0)
                for message in local:
                    self.routing.accept(message)
                if not local:
                    break
            self.notify_peers(
                *dict.fromkeys(
                    self.routing.holders.get(key[2]) for key in sorted(shared.outbound.pending)
                )
            )
            await anyio.sleep(STEP_INTERVAL_S)

    def _step(self, held: HeldShard, now: float) -> None:
        owner = held.owner
        source = held.source
        owner.advance_time(now)
        owner.needs_step = False
        if owner.confirmation_needed:
            owner.confirmation_needed = False
            self.request_read()
        owner.place_candidates(now)
        if self.context.settings.options.direct:
            owner.renewal_grant = self.renewal_grant(now)
            for machine, body in owner.direct_commands(now):
                self.send_direct_command(owner, machine, body)
        for (src, key), value in owner.take_source_updates().items():
            self.context.outbound.channel("o", held.shard, src, held.epoch).put(key, value)
        if source is not None:
            source.decide(now)
            source.grant_evictions(now, self.context.wall_clock())
            if source.dirty_chunks or source.jobs_to_end or source.teams_with_unwritten_grants:
                held.write_wake.set()
            self.routing.update_owners(held, source, now)

    def _slow_updates(self, now: float) -> None:
        """What is told at a slower pace: machines and demand to the renter, numbers for display, what the renter wants."""
        shared = self.context
        shards, outbox, renter = (
            range(len(shared.shard_map.controllers)),
            shared.outbound,
            shared.autoscaler,
        )
        for held in shared.held_shards.values():
            to_renter = outbox.channel(
                "m", held.shard, state_channel.AUTOSCALER_ENDPOINT, held.epoch
            )
            to_renter.update(held.owner.take_machine_updates(now))
            to_renter.put("?", held.owner.unprovable_machines(now) or None)
            if held.source is not None:
                outbox.channel(
                    "d", held.shard, state_channel.AUTOSCALER_ENDPOINT, held.epoch
                ).replace(held.source.demand(now, shared.wall_clock()))
                counts = held.source.take_task_counts()
                for part in shards:
                    outbox.channel("c", held.shard, part, held.epoch).update(counts)
        if renter is not None:
            for part in shards:
                channel = outbox.channel("r", state_channel.AUTOSCALER_ENDPOINT, part, renter.epoch)
                channel.put("drain", renter.draining_machines(part))
                if renter.orders_evaluated:
                    channel.put("empty", renter.machines_under_maintenance(part))
                channel.put("gone", renter.deleted_for(part))

    def capacity_shortages(self) -> dict[str, float]:
        """What this controller is short of, and by how much; what it has enough of is left out."""
        shared = self.context
        sources = [held.source for held in shared.held_shards.values() if held.source is not None]
        now = shared.clock()
        refused = shared.autoscaler.refused_pools if shared.autoscaler is not None else {}
        backlog = sum(len(source.dirty_chunks) + len(source.jobs_to_end) for source in sources)
        found = {
            "processor_lag_s": round(self.max_lag_s, 2) if self.max_lag_s > REPORTED_LAG_S else 0.0,
            "changes_wait_s": round(wait_s, 2)
            if (wait_s := shared.store.writes.delay(1)) > REPORTED_LAG_S
            else 0.0,
            "values_to_write": float(backlog)
            if backlog > shared.settings.max_transaction_ops
            else 0.0,
            "tasks_waiting": float(
                sum(
                    job_state.waiting_count()
                    for source in sources
                    for w in source.waiting_jobs.values()
                    for job_state in w.values()
                )
            ),
            "kinds_refused": float(sum(1 for until, _ in refused.values() if until > now)),
        }
        return {key: value for key, value in found.items() if value}
