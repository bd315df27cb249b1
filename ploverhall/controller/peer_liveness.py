"""What the other controllers say of themselves, and what this one says."""

from __future__ import annotations

from ploverhall.controller.context import STORE_LIMIT_SHARE, ControllerContext
from ploverhall.protocol.peer_messages import PeerStatus

PEER_TIMEOUT_S = 2.5  # a peer that has said nothing for longer can't be heard
# But what it last said of its shards is still better than the store's older word
SHARD_CLAIM_MAX_AGE_S = 5.0
STORE_ANSWER_MAX_AGE_S = 1.5  # an answer of the state service that is no older
# Of what another controller leaves unused: the rest is room for its next burst
BORROWED_SHARE = 0.7


class PeerLiveness:
    """Who can be heard, and how each stands."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        # Node -> when heard, and what it said
        self.peer_status: dict[str, tuple[float, PeerStatus]] = {}

    def record(self, controller: str, status: PeerStatus) -> None:
        """A peer has spoken."""
        self.peer_status[controller] = (self.context.clock(), status)

    def is_alive(self, controller: str, now: float) -> bool:
        """Whether a peer has spoken lately."""
        return (
            controller in self.peer_status
            and now - self.peer_status[controller][0] < PEER_TIMEOUT_S
        )

    def peers_reach_store(self, now: float) -> bool:
        """Whether the state service has just answered a peer."""
        return any(
            self.is_alive(name, now)
            and news.store_age_s + now - received_at < STORE_ANSWER_MAX_AGE_S
            for name, (received_at, news) in self.peer_status.items()
        )

    def holder_without_heartbeats(self, controller: str, shard: int, now: float) -> bool:
        """Whether a shard's holder can be heard, and says that none of its workers reports to it any more."""
        return (
            self.is_alive(controller, now)
            and self.peer_status[controller][1].without_heartbeats_s.get(shard, 0.0)
            > 1.3 * self.context.settings.heartbeat_interval_s + 0.3
        )

    def without_heartbeats_s(self, now: float) -> dict[int, float]:
        """How long no worker of a shard held here has reported."""
        return {
            held.shard: now - held.owner.last_heartbeat_at
            for held in self.context.held_shards.values()
            if held.owner.last_heartbeat_at and held.owner.machines
        }

    def own_status(self, now: float) -> PeerStatus:
        """What this controller says of itself."""
        store, held = self.context.store, self.context.held_shards.values()
        return PeerStatus(
            now - store.last_answer_at,
            {held_shard.shard: held_shard.epoch for held_shard in held},
            self.without_heartbeats_s(now),
            store.writes.recent_usage(),
        )

    def update_write_share(self, now: float) -> None:
        """This controller's slice of the state service's changes: its own, and part of what the others leave unused."""
        settings = self.context.settings
        own = settings.store_write_rps * STORE_LIMIT_SHARE / len(settings.controllers)
        unused = sum(
            max(0.0, own - news.write_rate)
            for name, (_, news) in self.peer_status.items()
            if self.is_alive(name, now)
        )
        self.context.store.writes.rate = own + BORROWED_SHARE * unused / max(1, len(settings.peers))
