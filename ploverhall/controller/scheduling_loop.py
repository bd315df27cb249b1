"""Steps the shard owners and job sources held here, and sends what they tell other controllers.

`controller` runs `SchedulingLoop.loop`; it wakes for `ControllerContext.wake_scheduling` and at
least every `IDLE_INTERVAL_S`. A step that comes far too late is reported as event-loop stall.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ploverhall import log
from ploverhall.autoscaling.autoscaler import Autoscaler
from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.routing import Routing
from ploverhall.coordination import state_channel
from ploverhall.protocol import peer_messages
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.permitting import JobSource
from ploverhall.scheduling.shard_owner import ShardOwner

STEP_INTERVAL_S = 0.01  # pause between two steps
IDLE_INTERVAL_S = 0.1  # a step comes at least this often
STALL_THRESHOLD_S = 1.0  # a step that is this much too late shows an event-loop stall
DRAIN_QUEUE_S = 0.1  # after a stall, queued messages are read for so long
SLOW_UPDATE_INTERVAL_S = 0.5
SHORTAGE_LOG_INTERVAL_S = 10.0
REPORTED_LAG_S = 0.25  # smaller delays are not reported
MAX_LOCAL_ROUNDS = 4  # rounds per step in which roles held here answer one another


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
        send_direct_command: Callable[[ShardOwner, Machine, dict[str, object]], None],
    ) -> None:
        """Compose the loop.

        `notify_peers`: called with names of peers for which messages are queued;
        `request_read`: asks for a fresh read of the store;
        `on_stall`: called with the seconds of an event-loop stall and the time;
        `renewal_grant`: what fencing tokens sent at a time grant
        (`CancellationState.renewal_grant`);
        `send_direct_command`: sends a command to an agent without waiting for its heartbeat.
        """
        self.context = context
        self.peer_liveness = peer_liveness
        self.routing = routing
        self.notify_peers = notify_peers
        self.request_read = request_read
        self.on_stall = on_stall
        self.renewal_grant = renewal_grant
        self.send_direct_command = send_direct_command
        self.slow_update_at = 0.0
        self.last_step_lag_s = 0.0  # by how much the newest step came late
        self.max_lag_s = 0.0  # by how much a step came late at most, since the last shortage log
        self.next_shortage_log_at = 0.0

    async def loop(self) -> None:
        """Step whenever there is something to decide, and at regular intervals."""
        last_step_at = self.context.clock()
        while True:
            await self._wait_for_work()
            last_step_at = now = await self._measure_lag(last_step_at)
            if now - self.slow_update_at > SLOW_UPDATE_INTERVAL_S:
                self.slow_update_at = now
                self._slow_updates(now)
            if now > self.next_shortage_log_at:
                self._log_shortages(now)
            self._step_all()
            self._notify_peers_of_pending()
            await anyio.sleep(STEP_INTERVAL_S)

    async def _wait_for_work(self) -> None:
        """Wait until woken, or for the idle interval; half of it while offers are held back."""
        holding_back = any(
            held.source is not None and held.source.holding_back_offers
            for held in self.context.held_shards.values()
        )
        with anyio.move_on_after(IDLE_INTERVAL_S / 2 if holding_back else IDLE_INTERVAL_S):
            await self.context.scheduling_wake.wait()
        self.context.scheduling_wake = anyio.Event()

    async def _measure_lag(self, last_step_at: float) -> float:
        """Measure how late this step is, and handle a stall; return the time of the step."""
        now = self.context.clock()
        lag_s = now - last_step_at - IDLE_INTERVAL_S - STEP_INTERVAL_S
        if lag_s > STALL_THRESHOLD_S:
            self.on_stall(lag_s, now)
            # queued messages are read first: heartbeats among them would count as missing
            await anyio.sleep(DRAIN_QUEUE_S)
            now = self.context.clock()
        self.last_step_lag_s = lag_s
        self.max_lag_s = max(self.max_lag_s, lag_s)
        return now

    def _log_shortages(self, now: float) -> None:
        """Log once per interval what this controller is short of, but not before the first one."""
        if self.next_shortage_log_at and (shortages := self.capacity_shortages()):
            log.info("insufficient capacity", **shortages)
        self.next_shortage_log_at = now + SHORTAGE_LOG_INTERVAL_S
        self.max_lag_s = 0.0

    def _step_all(self) -> None:
        """Step every held shard, and again while roles held here have messages for one another."""
        for _ in range(MAX_LOCAL_ROUNDS):
            now = self.context.clock()
            for held in list(self.context.held_shards.values()):
                self._step(held, now)
            local_messages = self.routing.collect(self.context.settings.name, 0)
            for message in local_messages:
                self.routing.accept(message)
            if not local_messages:
                break

    def _notify_peers_of_pending(self) -> None:
        """Notify the holders of the endpoints for which messages are queued, each once."""
        endpoints = [destination for _, _, destination in sorted(self.context.outbound.pending)]
        holders = dict.fromkeys(self.routing.holders.get(endpoint) for endpoint in endpoints)
        self.notify_peers(*holders)

    def _step(self, held: HeldShard, now: float) -> None:
        self._step_owner(held, now)
        if held.source is not None:
            self._step_source(held, held.source, now)

    def _step_owner(self, held: HeldShard, now: float) -> None:
        """Place candidates, send direct commands, and queue what sources have to hear."""
        owner = held.owner
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
        for (source_shard, key), value in owner.take_source_updates().items():
            channel = self.context.outbound.channel(
                peer_messages.OWNER_TO_SOURCE, held.shard, source_shard, held.epoch
            )
            channel.put(key, value)

    def _step_source(self, held: HeldShard, source: JobSource, now: float) -> None:
        """Decide on candidates and evictions, wake the writer, and queue what owners must hear."""
        source.decide(now)
        source.grants.grant_evictions(now, self.context.wall_clock())
        if (
            source.store.dirty_chunks
            or source.store.jobs_to_end
            or source.grants.teams_with_unwritten_grants
        ):
            held.write_wake.set()
        self.routing.update_owners(held, source, now)

    def _slow_updates(self, now: float) -> None:
        """Do what is due less often than a step."""
        self.routing.update_routes()  # a peer's claims to shards are believed for a limited time
        self.peer_liveness.update_write_share(now)
        for held in self.context.held_shards.values():
            self._update_autoscaler(held, now)
            if held.source is not None:
                self._update_from_source(held, held.source, now)
        if self.context.autoscaler is not None:
            self._update_from_autoscaler(self.context.autoscaler)

    def _update_autoscaler(self, held: HeldShard, now: float) -> None:
        """Queue what the autoscaler has to hear of a shard's machines."""
        channel = self.context.outbound.channel(
            peer_messages.OWNER_TO_AUTOSCALER,
            held.shard,
            state_channel.AUTOSCALER_ENDPOINT,
            held.epoch,
        )
        channel.update(held.owner.take_machine_updates(now))
        channel.put(
            peer_messages.UNPROVABLE_MACHINES_KEY, held.owner.unprovable_machines(now) or None
        )

    def _update_from_source(self, held: HeldShard, source: JobSource, now: float) -> None:
        """Queue a source's demand for the autoscaler, and its task counts for every shard."""
        outbound = self.context.outbound
        demand_channel = outbound.channel(
            peer_messages.SOURCE_TO_AUTOSCALER,
            held.shard,
            state_channel.AUTOSCALER_ENDPOINT,
            held.epoch,
        )
        demand_channel.replace(source.unmet_demand.demand(now, self.context.wall_clock()))
        task_counts = source.take_task_counts()
        for shard in range(len(self.context.shard_map.controllers)):
            outbound.channel(
                peer_messages.SOURCE_TASK_COUNTS, held.shard, shard, held.epoch
            ).update(task_counts)

    def _update_from_autoscaler(self, autoscaler: Autoscaler) -> None:
        """Queue for every shard which of its machines are drained, maintained, or deleted."""
        for shard in range(len(self.context.shard_map.controllers)):
            channel = self.context.outbound.channel(
                peer_messages.AUTOSCALER_TO_OWNER,
                state_channel.AUTOSCALER_ENDPOINT,
                shard,
                autoscaler.epoch,
            )
            channel.put(peer_messages.DRAIN_KEY, autoscaler.draining_machines(shard))
            if autoscaler.orders_evaluated:
                channel.put(peer_messages.CORDON_KEY, autoscaler.machines_under_maintenance(shard))
            channel.put(peer_messages.DELETED_KEY, autoscaler.deleted_for(shard))

    def capacity_shortages(self) -> dict[str, float]:
        """Return what this controller is short of, and by how much; without what it has enough of.

        Keys are those of the status report; times are in seconds, the others are counts.
        """
        now = self.context.clock()
        sources = [
            held.source for held in self.context.held_shards.values() if held.source is not None
        ]
        write_delay_s = self.context.store.writes.delay(1)
        backlog = sum(
            len(source.store.dirty_chunks) + len(source.store.jobs_to_end) for source in sources
        )
        max_backlog = self.context.settings.max_transaction_ops
        shortages = {
            "processor_lag_s": _reported_lag(self.max_lag_s),
            "changes_wait_s": _reported_lag(write_delay_s),
            "values_to_write": float(backlog) if backlog > max_backlog else 0.0,
            "tasks_waiting": float(_waiting_task_count(sources)),
            "kinds_refused": float(self._refused_pool_count(now)),
        }
        return {name: amount for name, amount in shortages.items() if amount}

    def _refused_pool_count(self, now: float) -> int:
        """Return for how many machine pools the cloud has no capacity, as far as known here."""
        if self.context.autoscaler is None:
            return 0
        refused_pools = self.context.autoscaler.refused_pools
        return sum(1 for until, _ in refused_pools.values() if until > now)


def _reported_lag(lag_s: float) -> float:
    """Return a delay in rounded seconds; 0 where it is too small to be reported."""
    return round(lag_s, 2) if lag_s > REPORTED_LAG_S else 0.0


def _waiting_task_count(sources: list[JobSource]) -> int:
    return sum(
        job_state.waiting_count()
        for source in sources
        for waiting in source.store.waiting_jobs.values()
        for job_state in waiting.values()
    )
