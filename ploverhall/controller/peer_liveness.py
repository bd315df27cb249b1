"""What the other controllers say of themselves, and what this one says."""

from __future__ import annotations

from ploverhall.controller.context import SHARE, Shared
from ploverhall.protocol.peer_messages import NodeNews

HEARD_S = 2.5  # a peer that has said nothing for longer can't be heard
BELIEVED_S = 5.0  # but what it last said of its shards is still better than the store's older word
FRESH_S = 1.5  # an answer of the state service that is no older
LENT = 0.7  # of what another controller leaves unused: the rest is room for its next burst


class Hearing:
    """Who can be heard, and how each stands."""

    def __init__(self, shared: Shared) -> None:
        self.shared = shared
        self.peer_news: dict[
            str, tuple[float, NodeNews]
        ] = {}  # node -> when heard, and what it said

    def take(self, node: str, news: NodeNews) -> None:
        """A peer has spoken."""
        self.peer_news[node] = (self.shared.clock(), news)

    def heard(self, node: str, now: float) -> bool:
        """Whether a peer has spoken lately."""
        return node in self.peer_news and now - self.peer_news[node][0] < HEARD_S

    def others_reach_state(self, now: float) -> bool:
        """Whether the state service has just answered a peer."""
        return any(
            self.heard(n, now) and news.age + now - at < FRESH_S
            for n, (at, news) in self.peer_news.items()
        )

    def quiet(self, node: str, shard: int, now: float) -> bool:
        """Whether a shard's holder can be heard, and says that none of its workers reports to it any more."""
        return (
            self.heard(node, now)
            and self.peer_news[node][1].quiet.get(shard, 0.0)
            > 1.3 * self.shared.settings.report_s + 0.3
        )

    def quiet_for(self, now: float) -> dict[int, float]:
        """How long no worker of a shard held here has reported."""
        return {
            h.shard: now - h.owner.reported
            for h in self.shared.held.values()
            if h.owner.reported and h.owner.machines
        }

    def own(self, now: float) -> NodeNews:
        """What this controller says of itself."""
        store, held = self.shared.store, self.shared.held.values()
        return NodeNews(
            now - store.last_ok,
            {h.shard: h.epoch for h in held},
            self.quiet_for(now),
            store.writes.used(),
        )

    def share(self, now: float) -> None:
        """This controller's slice of the state service's changes: its own, and part of what the others leave unused."""
        s = self.shared.settings
        own = s.state_write_rps * SHARE / len(s.nodes)
        left = sum(
            max(0.0, own - news.writes)
            for name, (_, news) in self.peer_news.items()
            if self.heard(name, now)
        )
        self.shared.store.writes.rate = own + LENT * left / max(1, len(s.peers))
