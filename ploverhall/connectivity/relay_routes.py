"""Choose routes through peers from the connectivity that each peer reports.

A route through a peer is tried only if the peer's latest report is fresh and says that the peer's
own link is healthy, and if the route is not in backoff after a failure. If no single peer has both
links, a route leads through two peers: the first relays to the second. Used by `controller.relay`
and the modules that relay through it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

REPORT_MAX_AGE_S = 1.6  # peers report twice a second; an older report may be outdated
# Time for which a route is not used after a failure; doubles with every further failure
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
NEVER = -1e9  # earlier than any time of the steady clock
MAX_INCARNATION_LENGTH = 40
EXTERNAL_SERVICES = frozenset(("state", "cloud"))  # equal to relay_messages.STORE and CLOUD

# Field names of a connectivity report
INCARNATION_FIELD = "life"
RELAY_KINDS_FIELD = "can"
REACHABLE_SERVICES_FIELD = "good"
RECEIVES_FROM_FIELD = "hears"
RELAYS_IN_USE_FIELD = "through"
UNREACHABLE_SHARDS_FIELD = "cut"


@dataclass(slots=True)
class PeerConnectivity:
    """One peer's newest connectivity report, and the backoff of routes through it."""

    received_at: float = NEVER
    incarnation: str = ""  # of the peer's process
    relay_kinds: frozenset[str] = frozenset()  # kinds of requests that it relays
    reachable_services: frozenset[str] = frozenset()  # external services that it reaches directly
    relays_in_use: dict[str, str] = field(default_factory=dict)  # by service: the relay it uses
    receives_from: frozenset[str] = frozenset()  # peers whose messages it receives
    # By shard: the epoch at which the peer holds it while no agent of the shard reaches the peer
    unreachable_shards: dict[int, int] = field(default_factory=dict)
    backoff_until: float = NEVER  # no route uses the peer before this time
    backoff_s: float = INITIAL_BACKOFF_S


class RelayRoutes:
    """The newest report of every peer, and the routes that follow from them."""

    def __init__(self, peer_names: list[str]) -> None:
        self.peers = {name: PeerConnectivity() for name in sorted(peer_names)}
        # By service: the chosen relay, kept while it remains usable so that routes don't alternate
        self.chosen_relays: dict[str, str] = {}

    def update(self, name: str, report: dict[str, Any], now: float) -> None:
        """Record a peer's report; malformed fields are treated as missing."""
        peer = self.peers.get(name)
        if peer is None:
            return
        peer.received_at = now
        peer.incarnation = str(report.get(INCARNATION_FIELD))[:MAX_INCARNATION_LENGTH]
        peer.relay_kinds = _string_set(report.get(RELAY_KINDS_FIELD))
        peer.reachable_services = _string_set(report.get(REACHABLE_SERVICES_FIELD))
        peer.receives_from = _string_set(report.get(RECEIVES_FROM_FIELD))
        peer.relays_in_use = _string_table(report.get(RELAYS_IN_USE_FIELD))
        peer.unreachable_shards = _integer_table(report.get(UNREACHABLE_SHARDS_FIELD))

    def is_fresh(self, name: str, now: float) -> bool:
        """Return whether a peer's latest report is recent enough to be relied on."""
        return name in self.peers and now - self.peers[name].received_at < REPORT_MAX_AGE_S

    def can_relay_now(self, name: str, kind: str, now: float) -> bool:
        """Return whether a peer can be asked now to relay a request of the given kind."""
        return (
            self.is_fresh(name, now)
            and kind in self.peers[name].relay_kinds
            and now >= self.peers[name].backoff_until
        )

    def supports_relay(self, name: str, kind: str) -> bool:
        """Return whether a peer's last report, however old, lists this kind as relayed."""
        return name in self.peers and kind in self.peers[name].relay_kinds

    def route_to_service(
        self,
        service: str,
        kind: str,
        now: float,
        avoid: frozenset[str] = frozenset(),
        hops: int = 2,
    ) -> str | None:
        """Return the peer through which to relay requests to an external service; None if none can.

        Prefers a peer that reaches the service directly. If there is none and `hops` is 2, chooses
        a peer that receives the messages of such a peer. Peers in `avoid` are excluded from both
        hops.
        """
        candidates = [
            name for name in self.peers if name not in avoid and self.can_relay_now(name, kind, now)
        ]
        relays = [name for name in candidates if service in self.peers[name].reachable_services]
        if not relays and hops > 1:
            relays = [
                name
                for name in candidates
                if self._receives_from_direct_relay(name, service, kind, avoid)
            ]
        if not relays:
            return None
        if self.chosen_relays.get(service) not in relays:
            self.chosen_relays[service] = relays[0]
        return self.chosen_relays[service]

    def _receives_from_direct_relay(
        self, name: str, service: str, kind: str, avoid: frozenset[str]
    ) -> bool:
        """Return whether a peer receives the messages of another one that reaches the service.

        Relies on the latest reports of both.
        """
        return any(
            other not in avoid
            and other != name
            and other in self.peers[name].receives_from
            and kind in connectivity.relay_kinds
            and service in connectivity.reachable_services
            for other, connectivity in self.peers.items()
        )

    def route_to_peer(
        self, name: str, kind: str, now: float, avoid: frozenset[str] = frozenset(), hops: int = 2
    ) -> str | None:
        """Return the peer to which to send a request meant for `name`; None if there is no route.

        Prefers `name` itself if it can be asked directly. If it cannot and `hops` is 2, chooses a
        peer that receives the messages of `name` and is not in `avoid`.
        """
        if self.can_relay_now(name, kind, now):
            return name
        if hops <= 1:
            return None
        for other, connectivity in self.peers.items():
            if other == name or other in avoid or name not in connectivity.receives_from:
                continue
            if self.can_relay_now(other, kind, now):
                return other
        return None

    def reports_unreachable_shard(self, name: str, shard: int) -> bool:
        """Return whether a peer reports that no agent of a shard that it holds reaches the peer."""
        return name in self.peers and shard in self.peers[name].unreachable_shards

    def all_services_reachable(self, name: str, now: float) -> bool:
        """Return whether a peer reaches all external services directly.

        True as well for a peer that has never reported: its release may not send reports.
        """
        peer = self.peers.get(name)
        if peer is None or peer.received_at < 0:
            return True
        return self.is_fresh(name, now) and peer.reachable_services >= EXTERNAL_SERVICES

    def record_success(self, name: str) -> None:
        """Record that a route through a peer worked, and reset the peer's backoff."""
        peer = self.peers[name]
        peer.backoff_s = INITIAL_BACKOFF_S
        peer.backoff_until = NEVER

    def record_failure(self, name: str, now: float) -> None:
        """Record that a route through a peer failed, and start the peer's backoff."""
        peer = self.peers[name]
        if now >= peer.backoff_until:  # otherwise the request was sent before the last failure
            peer.backoff_until = now + peer.backoff_s
            peer.backoff_s = min(MAX_BACKOFF_S, 2 * peer.backoff_s)


def _string_set(value: Any) -> frozenset[str]:
    """Return the strings of a list; empty if the value is not a list."""
    if not isinstance(value, (list, tuple)):
        return frozenset()
    return frozenset(item for item in value if isinstance(item, str))


def _string_table(value: Any) -> dict[str, str]:
    """Return the entries with string keys and values; empty if the value is not a dict."""
    if not isinstance(value, dict):
        return {}
    return {
        key: item for key, item in value.items() if isinstance(key, str) and isinstance(item, str)
    }


def _integer_table(value: Any) -> dict[int, int]:
    """Return the entries with integer keys and values; empty if the value is not a dict."""
    if not isinstance(value, dict):
        return {}
    return {
        key: item for key, item in value.items() if isinstance(key, int) and isinstance(item, int)
    }
