"""Decide when to acknowledge cancellations, and how long an isolated controller answers agents.

Once a user has been told of a cancellation, every task of the job must be gone within `cancel_s`.
But a controller that doesn't know of the cancellation keeps its agents' leases alive. Controllers
therefore gossip what they know: a revision of the store up to which they know every cancellation,
the cancellations that the receiver may lack, and an echo of the receiver's newest gossip. A
controller takes on an obligation to a peer while it sees the peer's membership key, and whenever it
echoes the peer's gossip: for `ack_delay_s` from then on it acknowledges no cancellation that the
peer does not know. So a controller acknowledges a cancellation only when each peer either knows it
or has been owed nothing for `ack_delay_s`. It answers agents only while every peer's newest known
obligation to it is no older than `max_contact_age_s`.

docs/design.md, "Cancellation barrier", defines the terms and shows that the two rules fit together;
change neither rule without checking that section. `controller.cancellation_state`,
`controller.peer_links` and `controller.job_requests` call this module. No I/O: the caller passes in
peers' membership keys and gossip, and times are seconds of the process's steady clock.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

from ploverhall.protocol.peer_messages import Cancellation, CancellationGossip

# Feature in the membership key of a controller that delays acknowledgements, so that its peers may
# answer agents for longer
FEATURE_CANCELLATION_ACK = "told"
CLOCK_DRIFT = 1.002  # four times the 0.05% by which a host's steady clock may drift
IN_FLIGHT_MARGIN_S = 2.0  # for answers in flight, and for steps that run late
# Limits every wait for an acknowledgement, so that no user waits 75 s for an answer
MAX_ACK_DELAY_S = 60.0
LEGACY_EARLY_STOP_S = 8.0  # margin of the releases that acknowledge without delay
MAX_CANCELLATIONS_PER_MESSAGE = 400  # the next message holds the following ones
NEVER = -1e9  # earlier than any time of the steady clock
AFTER_ALL_JOB_IDS = "~"  # sorts after every job id: the position after all of a revision


@dataclass(slots=True)
class PeerKnowledge:
    """What this controller knows of one peer."""

    supports_ack: bool = False  # the peer delays acknowledgements
    # Revision up to which the peer knows every cancellation, and its next incarnation does as well
    known_revision: int = 0
    # Time since which the peer's membership key has been seen to be absent; None if the key exists
    absent_since: float | None = None
    # Revision at which the peer's key was deleted, as far as this controller has seen
    absent_revision: int = -1
    acknowledged_at: float = NEVER  # arrival time of the newest gossip that was echoed to the peer
    confirmed_contact_at: float = NEVER  # send time of the newest own gossip that the peer echoed
    # The peer's newest gossip, to be echoed: incarnation and send time by the peer's clock
    last_gossip: tuple[str, float] | None = None
    last_gossip_at: float = NEVER  # arrival time of that gossip


class CancellationBarrier:
    """One controller's view of its peers: the cancellations each knows, and obligations to it."""

    def __init__(
        self,
        peer_names: Iterable[str],
        cancel_s: float,
        lease_s: float,
        cut_off_s: float,
        now: float,
        incarnation: str = "",
    ) -> None:
        self.cancel_s = cancel_s
        self.lease_s = lease_s
        self.incarnation = incarnation
        self.started = now
        self.cut_off_s = min(
            cut_off_s, MAX_ACK_DELAY_S + cancel_s - lease_s * CLOCK_DRIFT - IN_FLIGHT_MARGIN_S
        )
        # A controller that has just started does not know how long a key has been absent
        self.peers = {
            name: PeerKnowledge(absent_since=now, acknowledged_at=now) for name in peer_names
        }
        # When this controller had last read the whole store with its own membership key in it
        self.store_contact_at = NEVER
        # Cancellations that some peer may not know, sorted by revision
        self.unconfirmed: list[Cancellation] = []
        # Revision up to which this controller knows every cancellation from its peers' gossip
        self.informed_revision = 0
        # Set after so long without contact that peers may have forgotten cancellations that this
        # controller does not know
        self.lapsed = False

    # -- changes seen in the store -------------------------------------------------------------

    def peer_present(self, name: str, supports_ack: bool, known_revision: int) -> None:
        """Record that a peer's membership key exists, and what it states."""
        if (peer := self.peers.get(name)) is not None:
            peer.supports_ack = supports_ack
            peer.absent_since = None
            peer.known_revision = max(peer.known_revision, known_revision)

    def peer_absent(self, name: str, now: float, revision: int = 0) -> None:
        """Record that a peer's membership key has not existed since `revision`.

        A revision that differs from the recorded one means that the key was written and deleted
        again in between, so the time of absence starts anew.
        """
        if (peer := self.peers.get(name)) is not None and (
            peer.absent_since is None or peer.absent_revision != revision
        ):
            peer.absent_since = now
            peer.absent_revision = revision

    def store_contacted(self, received_at: float) -> None:
        """Record contact with the store.

        At `received_at` this controller had read the whole store, with its own membership key.
        """
        if received_at > self.store_contact_at:
            self.store_contact_at = received_at
            self.lapsed = False

    def record_cancellation(self, job: str, version: int) -> None:
        """Record a job's cancellation, written at revision `version`, to be gossiped to peers."""
        cancellation = Cancellation(version, job)
        position = bisect_left(self.unconfirmed, cancellation)
        if self.unconfirmed[position : position + 1] != [cancellation] and any(
            peer.known_revision < version for peer in self.peers.values()
        ):
            self.unconfirmed.insert(position, cancellation)

    # -- gossip --------------------------------------------------------------------------------

    def gossip_for(self, name: str, read_revision: int, now: float) -> CancellationGossip:
        """Return the gossip to send to a peer now, and record the echo it carries.

        `read_revision` is the revision up to which this controller has read the store, 0 before its
        first read. Raises KeyError if `name` is not a peer.
        """
        peer = self.peers[name]
        known_revision = max(read_revision, self.informed_revision)
        cancellations: list[Cancellation] = []
        echo = peer.last_gossip
        if read_revision:
            first_unknown = bisect_right(
                self.unconfirmed, Cancellation(peer.known_revision, AFTER_ALL_JOB_IDS)
            )
            cancellations = self.unconfirmed[first_unknown:]
        if len(cancellations) > MAX_CANCELLATIONS_PER_MESSAGE:
            # Only the last message carries the echo, since to the peer it confirms all of them
            cancellations = cancellations[:MAX_CANCELLATIONS_PER_MESSAGE]
            echo = None
            known_revision = min(known_revision, cancellations[-1].revision)
        if echo is not None:
            # Not `now`, since the same gossip may be echoed many times
            peer.acknowledged_at = peer.last_gossip_at
        return CancellationGossip(
            known_revision,
            self.incarnation,
            now,
            now - self.started,
            read_revision > 0,
            echo,
            cancellations,
        )

    def receive_gossip(
        self, name: str, gossip: CancellationGossip, now: float
    ) -> list[Cancellation]:
        """Process a peer's gossip and return the cancellations that it names.

        The caller must act on them before it sends anything else: the echo in its next message
        tells the peer that it has done so.
        """
        peer = self.peers.get(name)
        if peer is None:
            return []
        previously_known = peer.known_revision
        peer.known_revision = max(peer.known_revision, gossip.known_revision)
        if previously_known < peer.known_revision:
            self._prune(now)
        if gossip.incarnation:
            peer.last_gossip = (gossip.incarnation, gossip.sent_at)
            peer.last_gossip_at = now
        else:
            # A release without echoes may count it as contact that messages pass in both
            # directions
            peer.acknowledged_at = now
        if gossip.has_read_store:
            self.informed_revision = max(self.informed_revision, gossip.known_revision)
        if now - self.last_contact(now) > self.all_leases_expired_s / CLOCK_DRIFT:
            self.lapsed = True
        self._receive_echo(peer, gossip, now)
        return gossip.cancellations

    def _receive_echo(self, peer: PeerKnowledge, gossip: CancellationGossip, now: float) -> None:
        """Record contact with a peer if it echoes gossip of this incarnation."""
        if gossip.echo is None:
            return
        echoed_incarnation, echoed_at = gossip.echo
        if echoed_incarnation != self.incarnation or echoed_at > now:
            return
        # A peer that has not read the store has acknowledged nothing in this incarnation. Nor did
        # its previous incarnation, if that ended while it had an obligation to this controller
        last_contact_at = max(self.store_contact_at, peer.confirmed_contact_at)
        peer_started_at = now - gossip.uptime_s
        if (
            gossip.has_read_store
            or peer_started_at <= last_contact_at + self.ack_delay_s / CLOCK_DRIFT
        ):
            peer.confirmed_contact_at = max(peer.confirmed_contact_at, echoed_at)

    def _prune(self, now: float) -> None:
        """Drop the cancellations that no peer needs to be told of any more."""
        lowest_known = min(
            (
                peer.known_revision
                for peer in self.peers.values()
                if not self._leases_expired(peer, now)
            ),
            default=None,
        )
        if lowest_known is None:
            self.unconfirmed.clear()
        else:
            position = bisect_right(self.unconfirmed, Cancellation(lowest_known, AFTER_ALL_JOB_IDS))
            del self.unconfirmed[:position]

    # -- answering agents ----------------------------------------------------------------------

    def last_contact(self, now: float) -> float:
        """Return the latest time at which every peer is known to have owed this controller."""
        return min(
            (max(self.store_contact_at, peer.confirmed_contact_at) for peer in self.peers.values()),
            default=now,
        )

    def isolated(self, now: float) -> bool:
        """Return whether this controller must not answer agents.

        Without recent contact, peers may have told a user of a cancellation that this controller
        does not know.
        """
        return self.lapsed or now - self.last_contact(now) >= self.max_contact_age_s

    @property
    def legacy_answer_s(self) -> float:
        """Return the `max_contact_age_s` of a controller with peers of older releases, in seconds.

        It is never less than 1.
        """
        return max(1.0, self.cancel_s - self.lease_s - LEGACY_EARLY_STOP_S)

    @property
    def max_contact_age_s(self) -> float:
        """Return how many seconds after its last contact this controller stops answering agents.

        It is `longest_answer_s` only if every peer delays acknowledgements, so not during a rolling
        upgrade.
        """
        return (
            self.longest_answer_s
            if all(peer.supports_ack for peer in self.peers.values())
            else self.legacy_answer_s
        )

    @property
    def longest_answer_s(self) -> float:
        """Return the largest `max_contact_age_s` of any controller, in seconds."""
        return max(self.legacy_answer_s, self.cut_off_s)

    @property
    def all_leases_expired_s(self) -> float:
        """Return the seconds from a controller's last contact to the end of its agents' leases."""
        return (self.longest_answer_s + self.lease_s) * CLOCK_DRIFT + IN_FLIGHT_MARGIN_S

    # -- acknowledging cancellations -----------------------------------------------------------

    @property
    def ack_delay_s(self) -> float:
        """Return the seconds that an absent peer must be owed nothing before it can be ignored.

        A peer answers agents for at most `longest_answer_s` after its last contact, and its agents'
        leases last on from there. All of that must be over `cancel_s` after the acknowledgement.
        """
        return max(0.0, self.all_leases_expired_s - self.cancel_s)

    def may_acknowledge(self, version: int, now: float) -> bool:
        """Return whether a user may be told of a cancellation written at revision `version`."""
        return not self.waiting_for(version, now)

    def waiting_for(self, version: int, now: float) -> list[str]:
        """Return the names, sorted, of the peers that an acknowledgement waits for."""
        return sorted(
            name
            for name, peer in self.peers.items()
            # A peer of an older release stops answering early, so nothing has to wait for it
            if peer.known_revision < version
            and (
                peer.supports_ack
                if peer.absent_since is None
                else now - self._last_obligation(peer) < self.ack_delay_s
            )
        )

    def may_forget(self, version: int, now: float) -> bool:
        """Return whether a cancellation need not be kept for any peer.

        That is so if each peer either knows it or must read the store before it answers agents.
        """
        return all(
            peer.known_revision >= version or self._leases_expired(peer, now)
            for peer in self.peers.values()
        )

    def _leases_expired(self, peer: PeerKnowledge, now: float) -> bool:
        """Return whether all leases that an absent peer has renewed must have expired."""
        return (
            peer.absent_since is not None
            and now - self._last_obligation(peer) > self.all_leases_expired_s
        )

    def _last_obligation(self, peer: PeerKnowledge) -> float:
        """Return the last time at which a peer whose membership key is absent was owed anything."""
        return max(peer.absent_since or 0.0, peer.acknowledged_at)
