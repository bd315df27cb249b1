"""What each member says that it reaches, and so: through whom something can be reached that this one can't reach itself.

A way is worth trying only while the one it leads through says that its own link is good, has said so just now, and has
not just failed. Over two members where no single one has both links: the first then asks the second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

REPORT_MAX_AGE_S = 1.6  # members speak twice a second; what is older may be over
# A way that has just failed is left alone for so long, and twice as long each time
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
OUTSIDE_SERVICES = frozenset(("state", "cloud"))


@dataclass(slots=True)
class PeerConnectivity:
    """One member's newest word on its links."""

    received_at: float = -1e9  # when it was heard
    incarnation: str = ""  # changes when its process starts anew
    # What it carries; nothing if it is of a release that doesn't
    relay_kinds: frozenset[str] = frozenset()
    reachable_services: frozenset[str] = frozenset()  # which outside services it reaches by itself
    # Others: through whom it reaches them now
    relays_in_use: dict[str, str] = field(default_factory=dict)
    heard_peers: frozenset[str] = frozenset()  # members that it hears
    # Shards held whose workers don't reach it, and their epochs
    unreachable_shards: dict[int, int] = field(default_factory=dict)
    backoff_until: float = -1e9  # until when it is left alone
    backoff_s: float = INITIAL_BACKOFF_S


class RelayRoutes:
    """What the other members say, and the ways that follow from it."""

    def __init__(self, peer_names: list[str]) -> None:
        self.peers = {name: PeerConnectivity() for name in sorted(peer_names)}
        # Per service: the member that was asked last; kept while it serves
        self.chosen_relays: dict[str, str] = {}

    def update(self, name: str, report: dict[str, Any], now: float) -> None:
        """A member has spoken. What is not in the known form counts as not said."""
        peer = self.peers.get(name)
        if peer is None:
            return
        through, cut = report.get("through"), report.get("cut")
        peer.received_at, peer.incarnation = now, str(report.get("life"))[:40]
        peer.relay_kinds, peer.reachable_services, peer.heard_peers = (
            _string_set(report.get("can")),
            _string_set(report.get("good")),
            _string_set(report.get("hears")),
        )
        peer.relays_in_use = (
            {
                k: value
                for k, value in through.items()
                if isinstance(k, str) and isinstance(value, str)
            }
            if isinstance(through, dict)
            else {}
        )
        peer.unreachable_shards = (
            {k: value for k, value in cut.items() if isinstance(k, int) and isinstance(value, int)}
            if isinstance(cut, dict)
            else {}
        )

    def is_fresh(self, name: str, now: float) -> bool:
        """Whether a member has spoken just now."""
        return name in self.peers and now - self.peers[name].received_at < REPORT_MAX_AGE_S

    def can_relay_now(self, name: str, kind: str, now: float) -> bool:
        """Whether a member can be asked to carry something of that kind."""
        return (
            self.is_fresh(name, now)
            and kind in self.peers[name].relay_kinds
            and now >= self.peers[name].backoff_until
        )

    def supports_relay(self, name: str, kind: str) -> bool:
        """Whether a member has ever said, in its present life, that it carries that kind."""
        return name in self.peers and kind in self.peers[name].relay_kinds

    def route_to_service(
        self,
        service: str,
        kind: str,
        now: float,
        avoid: frozenset[str] = frozenset(),
        hops: int = 2,
    ) -> str | None:
        """Through whom an outside service is reached: one that reaches it by itself, else (two hops) one that hears such a one."""
        relays = [
            name
            for name in self.peers
            if name not in avoid
            and self.can_relay_now(name, kind, now)
            and service in self.peers[name].reachable_services
        ]
        if not relays and hops > 1:
            relays = [
                name
                for name in self.peers
                if name not in avoid
                and self.can_relay_now(name, kind, now)
                and self._hears_direct_relay(name, service, kind, avoid)
            ]
        if not relays:
            return None
        if self.chosen_relays.get(service) not in relays:
            self.chosen_relays[service] = relays[0]
        return self.chosen_relays[service]

    def _hears_direct_relay(
        self, name: str, service: str, kind: str, avoid: frozenset[str]
    ) -> bool:
        """Whether a member hears another that reaches the service, by what both say."""
        return any(
            controller_name not in avoid
            and controller_name != name
            and controller_name in self.peers[name].heard_peers
            and kind in said.relay_kinds
            and service in said.reachable_services
            for controller_name, said in self.peers.items()
        )

    def route_to_peer(
        self, name: str, kind: str, now: float, avoid: frozenset[str] = frozenset(), hops: int = 2
    ) -> str | None:
        """Whom to hand something for a member: itself if it is heard, else one that hears it."""
        if self.can_relay_now(name, kind, now):
            return name
        if hops > 1:
            for controller_name, said in self.peers.items():
                if (
                    controller_name != name
                    and controller_name not in avoid
                    and self.can_relay_now(controller_name, kind, now)
                    and name in said.heard_peers
                ):
                    return controller_name
        return None

    def reports_unreachable_shard(self, name: str, shard: int) -> bool:
        """Whether a member says that no worker of a shard it holds reaches it."""
        return name in self.peers and shard in self.peers[name].unreachable_shards

    def all_services_reachable(self, name: str, now: float) -> bool:
        """Whether a member says that it reaches all outside services by itself. One of a release that says nothing counts as well."""
        peer = self.peers.get(name)
        return (
            peer is None
            or peer.received_at < 0
            or (self.is_fresh(name, now) and peer.reachable_services >= OUTSIDE_SERVICES)
        )

    def record_success(self, name: str) -> None:
        """A way has served."""
        peer = self.peers[name]
        peer.backoff_s = INITIAL_BACKOFF_S
        peer.backoff_until = -1000000000.0

    def record_failure(self, name: str, now: float) -> None:
        """A way has not served: the next one, or none, for a while."""
        peer = self.peers[name]
        if now >= peer.backoff_until:
            peer.backoff_until, peer.backoff_s = (
                now + peer.backoff_s,
                min(MAX_BACKOFF_S, 2 * peer.backoff_s),
            )


def _string_set(value: Any) -> frozenset[str]:
    return (
        frozenset(item for item in value if isinstance(item, str))
        if isinstance(value, (list, tuple))
        else frozenset()
    )
