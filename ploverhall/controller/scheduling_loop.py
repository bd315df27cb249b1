"""Steps this controller's shard owners and job sources, and queues their messages to others.

`controller` runs `SchedulingLoop.loop`, which wakes on `ControllerContext.wake_scheduling` and at
least every `IDLE_INTERVAL_S`. A step that is more than `STALL_THRESHOLD_S` late is reported as an
event-loop stall.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ploverhall import log
from ploverhall.autoscaling.autoscaler import Autoscaler
from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.gone_verdict_log import GoneVerdictLog
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.routing import Routing
from ploverhall.controller.step_timer import MeasuredStep
from ploverhall.coordination import state_channel
from ploverhall.protocol import peer_messages
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.permitting import JobSource
from ploverhall.scheduling.shard_owner import ShardOwner

STEP_INTERVAL_S = 0.01  # pause between two steps
IDLE_INTERVAL_S = 0.1  # longest wait for a wake-up between two steps
STALL_THRESHOLD_S = 1.0  # a step that is later than this indicates an event-loop stall
DRAIN_QUEUE_S = 0.1  # time for reading queued messages after a stall
PERIODIC_UPDATE_INTERVAL_S = 0.5
SHORTAGE_LOG_INTERVAL_S = 10.0
REPORTED_LAG_S = 0.25  # delays up to this are not reported
MAX_LOCAL_ROUNDS = 4  # rounds per step in which this controller's roles exchange messages


class SchedulingLoop:
    """Steps all roles that this controller holds."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        routing: Routing,
        *,
        notify_peers: Callable[..., None],
        request_read: Callable[[], None],
        on_stall: Callable[[float, float, MeasuredStep | None], None],
        renewal_grant: Callable[[float], int],
        send_direct_command: Callable[[ShardOwner, Machine, dict[str, object]], None],
    ) -> None:
        """Create the loop.

        `notify_peers`: called with the names of peers for which messages are queued;
        `request_read`: requests a fresh read of the store;
        `on_stall`: called with the length of an event-loop stall in seconds, the current time, and
        the longest step that was measured meanwhile;
        `renewal_grant`: returns the renewal grant for fencing tokens sent at the given time
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
        self.gone_verdict_log = GoneVerdictLog()
        self.periodic_update_at = 0.0
        self.last_step_lag_s = 0.0  # how late the newest step was
        self.max_lag_s = 0.0  # the greatest lag of a step since the last shortage check
        self.next_shortage_log_at = 0.0

    async def loop(self) -> None:
        """Step all roles on each wake-up and at regular intervals; never returns."""
        last_step_at = self.context.clock()
        while True:
            await self._wait_for_work()
            last_step_at = now = await self._measure_lag(last_step_at)
            if now - self.periodic_update_at > PERIODIC_UPDATE_INTERVAL_S:
                self.periodic_update_at = now
                with self.context.step_timer.measure("periodic updates"):
                    self._periodic_updates(now)
            if now > self.next_shortage_log_at:
                self._log_shortages(now)
            await self._step_all()
            self._notify_peers_of_pending()
            await anyio.sleep(STEP_INTERVAL_S)

    async def _wait_for_work(self) -> None:
        """Wait for a wake-up, at most for the idle interval.

        The limit is half the interval while a source holds back offers. If the previous step has
        left work over, there is no wait.
        """
        if any(held.has_unfinished_work for held in self.context.held_shards.values()):
            return
        holding_back = any(
            held.source is not None and held.source.holding_back_offers
            for held in self.context.held_shards.values()
        )
        with anyio.move_on_after(IDLE_INTERVAL_S / 2 if holding_back else IDLE_INTERVAL_S):
            await self.context.scheduling_wake.wait()
        self.context.scheduling_wake = anyio.Event()

    async def _measure_lag(self, last_step_at: float) -> float:
        """Measure the lag of this step, handle a stall, and return the time of the step.

        `last_step_at` is the time that the previous call returned, or the start of the loop.
        """
        now = self.context.clock()
        longest_step = self.context.step_timer.take_longest()
        lag_s = now - last_step_at - IDLE_INTERVAL_S - STEP_INTERVAL_S
        if lag_s > STALL_THRESHOLD_S:
            self.on_stall(lag_s, now, longest_step)
            # Read queued messages first: heartbeats among them would be counted as missing
            await anyio.sleep(DRAIN_QUEUE_S)
            now = self.context.clock()
        self.last_step_lag_s = lag_s
        self.max_lag_s = max(self.max_lag_s, lag_s)
        return now

    def _log_shortages(self, now: float) -> None:
        """Log this controller's shortages once per interval, but not at the first call."""
        if self.next_shortage_log_at and (shortages := self.capacity_shortages()):
            log.info("insufficient capacity", **shortages)
        self.next_shortage_log_at = now + SHORTAGE_LOG_INTERVAL_S
        self.max_lag_s = 0.0

    async def _step_all(self) -> None:
        """Step every held shard, and repeat while its roles have messages for each other.

        There are at most `MAX_LOCAL_ROUNDS` rounds; the roles concerned are those of this
        controller. Behind a step that has left work over, other tasks get a turn: leases are
        renewed and requests answered in the meantime.
        """
        for _ in range(MAX_LOCAL_ROUNDS):
            now = self.context.clock()
            for held in list(self.context.held_shards.values()):
                if held.released:
                    continue
                self._step(held, now)
                if held.has_unfinished_work:
                    await anyio.lowlevel.checkpoint()
                    now = self.context.clock()
            local_messages = self.routing.collect(self.context.settings.name, 0)
            with self.context.step_timer.measure("local messages"):
                for message in local_messages:
                    self.routing.accept(message)
            if not local_messages:
                break

    def _notify_peers_of_pending(self) -> None:
        """Notify each peer that holds an endpoint for which messages are queued, once."""
        endpoints = [destination for _, _, destination in sorted(self.context.outbound.pending)]
        holders = dict.fromkeys(self.routing.holders.get(endpoint) for endpoint in endpoints)
        self.notify_peers(*holders)

    def _step(self, held: HeldShard, now: float) -> None:
        """Step a held shard's owner, and its source if that is loaded."""
        self._step_owner(held, now)
        if held.source is not None:
            self._step_source(held, held.source, now)

    def _step_owner(self, held: HeldShard, now: float) -> None:
        """Place candidates, send direct commands, and queue the owner's updates for sources."""
        owner = held.owner
        measure = self.context.step_timer.measure
        with measure("lease sweep"):
            owner.advance_time(now)
        owner.needs_step = False
        if owner.confirmation_needed:
            owner.confirmation_needed = False
            self.request_read()
        with measure("placement"):
            owner.place_candidates(now)
        if self.context.settings.options.direct:
            owner.renewal_grant = self.renewal_grant(now)
            with measure("direct commands"):
                for machine, body in owner.direct_commands(now):
                    self.send_direct_command(owner, machine, body)
        with measure("owner updates"):
            self._queue_owner_updates(held)
        self.gone_verdict_log.write(owner, now)

    def _queue_owner_updates(self, held: HeldShard) -> None:
        """Queue a shard owner's updates for the sources."""
        for (source_shard, key), value in held.owner.take_source_updates().items():
            channel = self.context.outbound.channel(
                peer_messages.OWNER_TO_SOURCE, held.shard, source_shard, held.epoch
            )
            channel.put(key, value)

    def _step_source(self, held: HeldShard, source: JobSource, now: float) -> None:
        """Decide on candidates and evictions, wake the writer, and queue updates for owners."""
        measure = self.context.step_timer.measure
        with measure("permitting"):
            source.decide(now)
        with measure("evictions"):
            source.grants.grant_evictions(now, self.context.wall_clock())
        if (
            source.store.dirty_chunks
            or source.store.jobs_to_end
            or source.grants.teams_with_unwritten_grants
        ):
            held.write_wake.set()
        with measure("source updates"):
            self.routing.update_owners(held, source, now)

    def _periodic_updates(self, now: float) -> None:
        """Update routes, the write share and the autoscaler's channels."""
        # A peer's statement that it holds a shard is trusted only for a limited time
        self.routing.update_routes()
        self.peer_liveness.update_write_share(now)
        for held in self.context.held_shards.values():
            self._update_autoscaler(held, now)
            if held.source is not None:
                self._update_from_source(held, held.source, now)
        if self.context.autoscaler is not None:
            self._update_from_autoscaler(self.context.autoscaler)

    def _update_autoscaler(self, held: HeldShard, now: float) -> None:
        """Queue a shard's machine updates and unobserved machines for the autoscaler."""
        channel = self.context.outbound.channel(
            peer_messages.OWNER_TO_AUTOSCALER,
            held.shard,
            state_channel.AUTOSCALER_ENDPOINT,
            held.epoch,
        )
        channel.update(held.owner.take_machine_updates(now))
        channel.put(
            peer_messages.UNOBSERVED_MACHINES_KEY, held.owner.unobserved_machines(now) or None
        )

    def _update_from_source(self, held: HeldShard, source: JobSource, now: float) -> None:
        """Queue a source's unmet demand for the autoscaler, and its task counts for every shard."""
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
        """Queue for every shard its machines to drain, under maintenance, and deleted."""
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
        """Return the amount of each shortage; resources without a shortage are left out.

        The keys are those of the status report. Keys that end in `_s` are seconds, the others
        counts.
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
        """Return the number of machine pools for which the cloud has refused capacity.

        It is 0 unless this controller holds the autoscaler role.
        """
        if self.context.autoscaler is None:
            return 0
        refused_pools = self.context.autoscaler.refused_pools
        return sum(1 for until, _ in refused_pools.values() if until > now)


def _reported_lag(lag_s: float) -> float:
    """Return a delay in seconds, rounded to hundredths; 0 if it is too small to report."""
    return round(lag_s, 2) if lag_s > REPORTED_LAG_S else 0.0


def _waiting_task_count(sources: list[JobSource]) -> int:
    return sum(
        job_state.waiting_count()
        for source in sources
        for waiting in source.store.waiting_jobs.values()
        for job_state in waiting.values()
    )
