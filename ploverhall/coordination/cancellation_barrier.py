"""Decides when users are told of cancellations, and how long isolated controllers answer agents.

Once a user has been told, every task of the job must be gone within `cancel_s`; a controller that
doesn't know of a cancellation keeps its agents' leases alive. Controllers therefore gossip what
they know: a revision of the store up to which they know every cancellation, the cancellations that
the receiver may lack, and an echo of the receiver's newest gossip. A controller acknowledges a
cancellation only when each peer knows it or has been owed nothing for `ack_delay_s`; it answers
agents only while every peer's obligation to it is no older than `max_contact_age_s`.

docs/design.md, "Cancellation barrier", defines the terms and shows that the two rules fit together;
change neither without it. `controller.cancellation_state`, `controller.peer_links` and
`controller.job_requests` call this module. No I/O: what peers show and send is passed in, and times
are seconds of the process's steady clock.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

from ploverhall.protocol.peer_messages import Cancellation, CancellationGossip

# A feature in a controller's membership key: it delays acknowledgements, so that its peers may
# answer agents for longer
FEATURE_CANCELLATION_ACK = "told"
CLOCK_DRIFT = 1.002  # steady clocks of two hosts differ by 0.05% each; four times that
IN_FLIGHT_MARGIN_S = 2.0  # for answers on their way, and for steps that come late
# Bounds every wait for an acknowledgement: users must not go without an answer for 75 s
MAX_ACK_DELAY_S = 60.0
LEGACY_EARLY_STOP_S = 8.0  # the margin of releases that acknowledge at once
MAX_CANCELLATIONS_PER_MESSAGE = 400  # the next message goes on from there
NEVER = -1e9  # a time before all others
AFTER_ALL_JOB_IDS = "~"  # sorts behind every job id, for positions behind a whole revision


@dataclass(slots=True)
class PeerKnowledge:
    """What is known of another controller."""

    supports_ack: bool = False  # it delays acknowledgements
    # Up to which it knows every cancellation; its next incarnation does, too
    known_revision: int = 0
    # Since when its membership key has been seen to be gone; None: it exists
    absent_since: float | None = None
    # The revision at which its key was deleted, as far as this controller has seen
    absent_revision: int = -1
    acknowledged_at: float = NEVER  # when its newest echoed gossip came
    confirmed_contact_at: float = NEVER  # when the newest own gossip left that it has echoed
    # Its newest gossip, to be echoed: its incarnation, and its clock then
    last_gossip: tuple[str, float] | None = None
    last_gossip_at: float = NEVER  # when that came


class CancellationBarrier:
    """One controller's view of its peers: what each knows of cancellations, and what it is owed."""

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
        # A controller that has just started does not know for how long a key has been gone
        self.peers = {
            name: PeerKnowledge(absent_since=now, acknowledged_at=now) for name in peer_names
        }
        # When this controller had last read the whole store, and its key was in it
        self.store_contact_at = NEVER
        # Cancellations that some peer may not know, by revision
        self.unconfirmed: list[Cancellation] = []
        # Up to which this controller knows every cancellation from its peers' gossip
        self.informed_revision = 0
        # It was without contact for so long that peers may have forgotten what it does not know
        self.lapsed = False

    # -- what is seen in the store -------------------------------------------------------------

    def peer_present(self, name: str, supports_ack: bool, known_revision: int) -> None:
        """Note that a peer's membership key exists, and what it says."""
        if (peer := self.peers.get(name)) is not None:
            peer.supports_ack = supports_ack
            peer.absent_since = None
            peer.known_revision = max(peer.known_revision, known_revision)

    def peer_absent(self, name: str, now: float, revision: int = 0) -> None:
        """Note that a peer's membership key does not exist since that revision.

        Another revision than before means that the key was written and deleted again meanwhile.
        """
        if (peer := self.peers.get(name)) is not None and (
            peer.absent_since is None or peer.absent_revision != revision
        ):
            peer.absent_since = now
            peer.absent_revision = revision

    def store_contacted(self, received_at: float) -> None:
        """Note that at `received_at` this controller had read the whole store, its key included."""
        if received_at > self.store_contact_at:
            self.store_contact_at = received_at
            self.lapsed = False

    def record_cancellation(self, job: str, version: int) -> None:
        """Note a job's cancellation, written at the revision `version`, to be named to peers."""
        cancellation = Cancellation(version, job)
        position = bisect_left(self.unconfirmed, cancellation)
        if self.unconfirmed[position : position + 1] != [cancellation] and any(
            peer.known_revision < version for peer in self.peers.values()
        ):
            self.unconfirmed.insert(position, cancellation)

    # -- gossip --------------------------------------------------------------------------------

    def gossip_for(self, name: str, read_revision: int, now: float) -> CancellationGossip:
        """Return what to send to a peer now.

        `read_revision` is what this controller has read up to, 0 before its first read. Raises
        KeyError for a name that is no peer.
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
            # Only the last portion carries the echo: the peer counts it for all of them
            cancellations = cancellations[:MAX_CANCELLATIONS_PER_MESSAGE]
            echo = None
            known_revision = min(known_revision, cancellations[-1].revision)
        if echo is not None:
            # Not from now on: the same gossip may be echoed many times
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

        The caller acts on them before it sends anything else, since an echo says that it has.
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
            # A release without echoes may take it for contact that it is heard and hears
            peer.acknowledged_at = now
        if gossip.has_read_store:
            self.informed_revision = max(self.informed_revision, gossip.known_revision)
        if now - self.last_contact(now) > self.all_leases_expired_s / CLOCK_DRIFT:
            self.lapsed = True
        self._receive_echo(peer, gossip, now)
        return gossip.cancellations

    def _receive_echo(self, peer: PeerKnowledge, gossip: CancellationGossip, now: float) -> None:
        if gossip.echo is None:
            return
        echoed_incarnation, echoed_at = gossip.echo
        if echoed_incarnation != self.incarnation or echoed_at > now:
            return
        # A peer that has not read the store has acknowledged nothing in this incarnation, nor in
        # its last one if that ended while it owed this controller
        last_contact_at = max(self.store_contact_at, peer.confirmed_contact_at)
        peer_started_at = now - gossip.uptime_s
        if (
            gossip.has_read_store
            or peer_started_at <= last_contact_at + self.ack_delay_s / CLOCK_DRIFT
        ):
            peer.confirmed_contact_at = max(peer.confirmed_contact_at, echoed_at)

    def _prune(self, now: float) -> None:
        """Drop the cancellations that nobody needs to be told of any more."""
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
        """Return the newest time at which every peer is known to have owed this controller."""
        return min(
            (max(self.store_contact_at, peer.confirmed_contact_at) for peer in self.peers.values()),
            default=now,
        )

    def isolated(self, now: float) -> bool:
        """Return whether this controller must not answer agents.

        Peers may have told a user of a cancellation that it does not know.
        """
        return self.lapsed or now - self.last_contact(now) >= self.max_contact_age_s

    @property
    def legacy_answer_s(self) -> float:
        """Seconds from its last contact to its stop, for a controller beside older releases."""
        return max(1.0, self.cancel_s - self.lease_s - LEGACY_EARLY_STOP_S)

    @property
    def max_contact_age_s(self) -> float:
        """Seconds after its last contact at which this controller stops answering agents.

        The long time only if every peer delays acknowledgements: not during a rolling upgrade.
        """
        return (
            self.longest_answer_s
            if all(peer.supports_ack for peer in self.peers.values())
            else self.legacy_answer_s
        )

    @property
    def longest_answer_s(self) -> float:
        """The largest `max_contact_age_s` of any controller, in seconds."""
        return max(self.legacy_answer_s, self.cut_off_s)

    @property
    def all_leases_expired_s(self) -> float:
        """Seconds after a controller's last contact at which its agents' leases are over."""
        return (self.longest_answer_s + self.lease_s) * CLOCK_DRIFT + IN_FLIGHT_MARGIN_S

    # -- acknowledging cancellations -----------------------------------------------------------

    @property
    def ack_delay_s(self) -> float:
        """Seconds for which a peer must have been owed nothing before what it knows is irrelevant.

        It answers for at most `longest_answer_s` after its last contact, its agents' leases run on
        from there, and all of that must be over `cancel_s` after the acknowledgement.
        """
        return max(0.0, self.all_leases_expired_s - self.cancel_s)

    def may_acknowledge(self, version: int, now: float) -> bool:
        """Return whether a user may be told of a cancellation written at this revision."""
        return not self.waiting_for(version, now)

    def waiting_for(self, version: int, now: float) -> list[str]:
        """Return the peers that the acknowledgement of a cancellation waits for, by name."""
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
        """Return whether each peer knows a cancellation or must read the store before answering."""
        return all(
            peer.known_revision >= version or self._leases_expired(peer, now)
            for peer in self.peers.values()
        )

    def _leases_expired(self, peer: PeerKnowledge, now: float) -> bool:
        return (
            peer.absent_since is not None
            and now - self._last_obligation(peer) > self.all_leases_expired_s
        )

    def _last_obligation(self, peer: PeerKnowledge) -> float:
        """Return when a peer whose membership key is gone was last owed something."""
        return max(peer.absent_since or 0.0, peer.acknowledged_at)
