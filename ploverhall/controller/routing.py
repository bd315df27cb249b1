"""Route state channels: find each endpoint's holder, and dispatch messages to the roles held here.

An endpoint is a shard's index or `state_channel.AUTOSCALER_ENDPOINT`. `scheduling_loop` and
`peer_links` collect and accept messages here; `heartbeat_requests` looks up the holder of a shard.
"""

from __future__ import annotations

from typing import Any

from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.peer_liveness import SHARD_CLAIM_MAX_AGE_S, PeerLiveness
from ploverhall.coordination import state_channel
from ploverhall.coordination.state_channel import Message
from ploverhall.protocol import peer_messages
from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.permitting import JobSource
from ploverhall.scheduling.shard_owner import ShardOwner

# An agent that is redirected to a holder it can't reach waits 4 s for an answer, and tries the next
# controller 1 s later. After this time a shard's holder counts as stable.
STABLE_HOLDER_S = 4.5
UNKNOWN_EPOCH = -1


class Routing:
    """Holders of all endpoints, and the dispatch of messages to the roles held here."""

    def __init__(self, context: ControllerContext, peer_liveness: PeerLiveness) -> None:
        """Create an empty routing table; `update_routes` fills it."""
        self.context = context
        self.peer_liveness = peer_liveness
        # Holder by endpoint, as of the last call of `update_routes`
        self.holders: dict[int, str | None] = {}
        # By shard: its epoch in the store, and when that was first seen (steady clock, seconds)
        self.epochs: dict[int, tuple[int, float]] = {}
        self.version = 0  # increased with every change of `holders`

    def update_routes(self) -> None:
        """Recompute the holders of all endpoints.

        Called only on events that may change a holder. If it were called for every message,
        connection and scheduling step, it would run more than a thousand times a second.
        """
        now = self.context.clock()
        shards = range(len(self.context.shard_map.controllers))
        for shard in shards:
            epoch = self.context.store_cache.holder(shard)[1]
            if self.epochs.get(shard, (UNKNOWN_EPOCH, 0.0))[0] != epoch:
                self.epochs[shard] = (epoch, now)
        endpoints = (*shards, state_channel.AUTOSCALER_ENDPOINT)
        holders = {endpoint: self.holder(endpoint) for endpoint in endpoints}
        if holders != self.holders:
            self.holders = holders
            self.version += 1

    def has_stable_holder(self, shard: int, now: float) -> bool:
        """Return whether agents have had the time to find a shard's present holder."""
        return now - self.epochs.get(shard, (0, now))[1] > STABLE_HOLDER_S

    def holder(self, endpoint: int) -> str | None:
        """Return the controller known to hold an endpoint; None if no holder is known."""
        if endpoint == state_channel.AUTOSCALER_ENDPOINT:
            return self.context.store_cache.autoscaler()[0]
        if endpoint in self.context.held_shards:
            return self.context.settings.name
        controller, epoch = self.context.store_cache.holder(endpoint)
        for peer, (received_at, status) in self.peer_liveness.peer_status.items():
            if (
                status.epochs.get(endpoint, 0) > epoch
                and self.context.clock() - received_at < SHARD_CLAIM_MAX_AGE_S
            ):
                controller, epoch = peer, status.epochs[endpoint]
        return controller

    def collect(self, controller: str, generation: int) -> list[Message]:
        """Return the messages to send to a controller now.

        `generation` is the number of the connection; on a new one all channels are sent in full.
        """
        return self.context.outbound.collect(controller, generation, self.holders.get, self.version)

    def accept(self, message: Message) -> bool:
        """Apply a received message; return False if it is a duplicate or outdated."""
        if not self.context.inbound.accept(message):
            return False
        self.dispatch(message)
        return True

    def dispatch(self, message: Message) -> None:
        """Pass a message's changes to its destination role, if this controller holds that role."""
        kind, source, epoch, destination, full, changes = message[:6]
        if source >= 0 and epoch < self.context.store_cache.holder(source)[1]:
            return  # from a superseded holder
        if destination == state_channel.AUTOSCALER_ENDPOINT:
            self._dispatch_to_autoscaler(kind, source, full, changes)
            return
        held = self.context.held_shards.get(destination)
        if held is None:
            return
        now = self.context.clock()
        if kind == peer_messages.SOURCE_TO_OWNER:
            held.owner.on_source_update(source, full, changes, now)
        elif kind == peer_messages.OWNER_TO_SOURCE and held.source is not None:
            held.source.on_owner_update(source, epoch, full, changes, now)
            held.write_wake.set()
        elif kind == peer_messages.AUTOSCALER_TO_OWNER:
            channel = self.context.inbound.channels.get((kind, source, destination))
            self._apply_autoscaler_state(held.owner, channel[1] if channel else changes)

    def _dispatch_to_autoscaler(
        self, kind: str, source: int, full: bool, changes: dict[str, Any]
    ) -> None:
        """Pass a source's or an owner's changes to the autoscaler, if it runs here."""
        autoscaler = self.context.autoscaler
        if autoscaler is None:
            return
        if kind == peer_messages.SOURCE_TO_AUTOSCALER:
            autoscaler.on_source_update(source, full, changes)
        else:
            autoscaler.on_owner_update(source, full, changes, self.context.clock())

    def _apply_autoscaler_state(self, owner: ShardOwner, state: dict[str, Any]) -> None:
        """Pass an owner the machines that the autoscaler drains, cordons or has deleted."""
        owner.set_draining(state.get(peer_messages.DRAIN_KEY) or [])
        # The field is missing while a new autoscaler does not know yet which machines are cordoned
        if peer_messages.CORDON_KEY in state:
            owner.set_cordoned(state[peer_messages.CORDON_KEY])
        owner.on_machines_deleted(state.get(peer_messages.DELETED_KEY) or [])

    def task_counts(self, job: Job) -> tuple[int, int]:
        """Return the known numbers of done and of running tasks of a live job.

        They come from the job's source if it is held here, else from the counts that the source
        sent. Both are 0 if nothing is known.
        """
        shard = self.context.shard_map.team_shard.get(job.team, -1)
        held = self.context.held_shards.get(shard)
        if held is not None and held.source is not None:
            return held.source.task_counts(job.id)
        # Read only channels to shards still held here: those to a released shard are outdated
        for destination in self.context.held_shards:
            counts = self.context.inbound.channels.get(
                (peer_messages.SOURCE_TASK_COUNTS, shard, destination)
            )
            if counts is not None and job.id in counts[1]:
                done, running = counts[1][job.id]
                return done, running
        return 0, 0

    def replay(self, endpoint: int, kinds: tuple[str, ...]) -> None:
        """Dispatch the full state of an endpoint's received channels of these kinds again."""
        channels = list(self.context.inbound.channels.items())
        for (kind, source, destination), (epoch, state) in channels:
            if destination == endpoint and kind in kinds:
                self.dispatch([kind, source, epoch, destination, True, dict(state)])

    def update_owners(self, held: HeldShard, source: JobSource, now: float) -> None:
        """Queue a source's updates for the owners of all shards.

        A new source's channels are created and filled without an await in between. An owner that
        received an empty channel first would treat the source's permits as revoked, and their tasks
        would run a second time.
        """
        shard_count = len(self.context.shard_map.controllers)
        outbound = self.context.outbound
        updates = source.take_owner_updates(shard_count, now)
        for shard in range(shard_count):
            # An empty channel is sent once, too: it shows the owner that this source is connected
            outbound.channel(peer_messages.SOURCE_TO_OWNER, held.shard, shard, held.epoch)
        for (shard, key), value in updates.items():
            outbound.channel(peer_messages.SOURCE_TO_OWNER, held.shard, shard, held.epoch).put(
                key, value
            )
