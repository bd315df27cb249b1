"""Track which peers are alive, and build the status that this controller sends to them.

`PeerLiveness` owns the last status of every peer. `peer_links` records statuses here and sends
`own_status`; leases, routing and the relay look up which peers are alive.
"""

from __future__ import annotations

from ploverhall.controller.context import STORE_LIMIT_SHARE, ControllerContext
from ploverhall.protocol.peer_messages import PeerStatus

PEER_TIMEOUT_S = 2.5  # a peer without a status for longer is not alive
# A peer's last claim of shards counts for longer: it is still newer than the store cache
SHARD_CLAIM_MAX_AGE_S = 5.0
# Of the key-value store's last answer to a peer: a peer with an older one may not reach the store
STORE_ANSWER_MAX_AGE_S = 1.5
# Share of the peers' unused write rate that is borrowed; the rest is left for their next burst
BORROWED_SHARE = 0.7


class PeerLiveness:
    """The last status of each peer, and the queries based on it."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        # By controller: when its last status was received (steady clock, seconds), and the status
        self.peer_status: dict[str, tuple[float, PeerStatus]] = {}

    def record(self, controller: str, status: PeerStatus) -> None:
        """Record a status that a peer has just sent."""
        self.peer_status[controller] = (self.context.clock(), status)

    def is_alive(self, controller: str, now: float) -> bool:
        """Return whether a peer has sent a status within `PEER_TIMEOUT_S`."""
        return (
            controller in self.peer_status
            and now - self.peer_status[controller][0] < PEER_TIMEOUT_S
        )

    def peers_reach_store(self, now: float) -> bool:
        """Return whether the key-value store has just answered a live peer."""
        return any(
            self.is_alive(name, now)
            and status.store_age_s + now - received_at < STORE_ANSWER_MAX_AGE_S
            for name, (received_at, status) in self.peer_status.items()
        )

    def holder_without_heartbeats(self, controller: str, shard: int, now: float) -> bool:
        """Return whether a shard's holder is alive but reports that it receives no heartbeats."""
        return (
            self.is_alive(controller, now)
            and self.peer_status[controller][1].without_heartbeats_s.get(shard, 0.0)
            > 1.3 * self.context.settings.heartbeat_interval_s + 0.3
        )

    def without_heartbeats_s(self, now: float) -> dict[int, float]:
        """Return, by shard held here, the seconds since the last heartbeat of any of its agents."""
        return {
            held.shard: now - held.owner.last_heartbeat_at
            for held in self.context.held_shards.values()
            if held.owner.last_heartbeat_at and held.owner.machines
        }

    def own_status(self, now: float) -> PeerStatus:
        """Return the status that this controller sends to its peers."""
        store = self.context.store
        held_shards = self.context.held_shards.values()
        return PeerStatus(
            now - store.last_answer_at,
            {held.shard: held.epoch for held in held_shards},
            self.without_heartbeats_s(now),
            store.writes.recent_usage(),
        )

    def update_write_share(self, now: float) -> None:
        """Set the rate of this controller's writes to the key-value store (per second).

        The rate is its own share of the limit, plus a part of what live peers leave unused.
        """
        settings = self.context.settings
        own_rate = settings.store_write_rps * STORE_LIMIT_SHARE / len(settings.controllers)
        unused_rate = sum(
            max(0.0, own_rate - status.write_rate)
            for name, (_, status) in self.peer_status.items()
            if self.is_alive(name, now)
        )
        borrowed_rate = BORROWED_SHARE * unused_rate / max(1, len(settings.peers))
        self.context.store.writes.rate = own_rate + borrowed_rate
