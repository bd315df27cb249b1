"""When users may be told that a job is cancelled, and for how long a controller that reads nothing may answer its workers.

The rule: once a user has been told, every task of the job must be gone within `cancel_s`. A controller that doesn't know of a
cancellation keeps its workers' leases alive, so the two questions are one, and both are answered here by one statement:

    A controller P confirms a cancellation to a user only when every other controller M knows of it, or when P has owed M nothing
    for `patience`. P owes M: while P sees M's key in the store, and from each word of M's that P has answered.
    M answers workers only while, for every other P, its own last sign that P owes it is no older than `fence`: a read of the store
    and a renewal of its lease (for all of them), or the sending of the newest word that P has answered.

*Known* is a watermark: a revision of the store up to which a controller knows every cancellation, because it has read so far, or
because another that has read so far has named the cancellations in between. A word carries the sender's watermark, the
cancellations that the receiver does not know as far as the sender can tell, and an echo of the receiver's newest word. M counts an
echo only if the word that brings it leaves M with no cancellation to learn that P knew then. So at the time `t` at which M sent the
word that came back, P owed it, and what P had confirmed before is known to M. P owes for `patience` after that; whatever it confirms
later without M's knowledge it confirms after `t + patience`. M stops answering at `t + fence`, its workers' leases end `lease_s` later,
and `patience` is chosen so that this is before `t + patience + cancel_s`. None of this asks whether the state service is up: in an
outage words alone keep a controller going, a cut-off one stops, and whoever is told first of a cancellation stops its tasks first.

- *A copy of the store that is old* says only what it says: what P knows, M read if M has read later than P.
- *A pause*: what P forgets to count while it stands still it owes longer; what M forgets it has no echo for.
- *A restart of P*: the new life owes everybody from its start. Until it has read the store it confirms nothing, so its echo may go on
  from the earlier life's, if that one ended while it still owed M. Then all that it may have confirmed is known.
- *A restart of M*: what it knew it has stopped, and its new life holds nothing until it has read (coordination.afterlife).
- *Drift*: `DRIFT` allows for four times the platform's bound.
- *A member of a release without words* goes on in an outage for as long as it hears everybody: whatever is heard of it is owed.

Without a sign for longer than `fence` and a lease (`over`) only a read of the store makes a controller answer again (`lapsed`): what
it does not know by then the others need not keep for it.

No I/O: what members show and say is passed in, times are this process's steady clock.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

from ploverhall.protocol.peer_messages import Cancellation, CancellationGossip

# The feature in a member's key: it waits with telling, so others may go on for longer
FEATURE_CANCELLATION_ACK = "told"
CLOCK_DRIFT = 1.002  # steady clocks of two hosts differ by up to 0.05% each; four times that
IN_FLIGHT_MARGIN_S = 2.0  # answers on their way, steps that come late
# Nobody waits for longer to be told, whatever the times are; no question goes unanswered for 75 s
MAX_ACK_DELAY_S = 60.0
LEGACY_EARLY_STOP_S = 8.0  # how much earlier than it had to the old rule let go
MAX_CANCELLATIONS_PER_MESSAGE = 400  # cancellations in one word; the next one goes on from there


@dataclass(slots=True)
class PeerKnowledge:
    """What is known of another controller."""

    supports_ack: bool = False  # it waits with telling
    known_revision: int = 0  # its watermark; what it has known stays known, by its next life too
    # Since when its key has been seen to be gone; None: it is there
    absent_since: float | None = None
    # The revision at which its key went, as far as this controller has seen
    absent_revision: int = -1
    acknowledged_at: float = -1e9  # when its newest word came that has been answered
    confirmed_contact_at: float = -1e9  # when the newest own word left that it has answered
    # Its newest word, to be answered: its life, and its clock then
    last_gossip: tuple[str, float] | None = None
    last_gossip_at: float = -1e9  # when that came


class CancellationBarrier:
    """The other controllers, what each knows, and what passes between them."""

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
        # a controller that has just started does not know for how long a key has been gone
        self.peers = {
            name: PeerKnowledge(absent_since=now, acknowledged_at=now) for name in peer_names
        }
        # This one's own contact with the store: it had read all, and its key was there
        self.store_contact_at = -1e9
        # Cancellations that not all are known to know, by revision
        self.unconfirmed: list[Cancellation] = []
        self.informed_revision = 0  # this one's watermark, as far as others have brought it
        # It was without contact for so long that others may have forgotten what it does not know
        self.lapsed = False

    # -- what is seen in the store -------------------------------------------------------------

    def peer_present(self, name: str, supports_ack: bool, known_revision: int) -> None:
        """A member's key is in the store, and says this of it."""
        if (peer := self.peers.get(name)) is not None:
            peer.supports_ack = supports_ack
            peer.absent_since = None
            peer.known_revision = max(peer.known_revision, known_revision)

    def peer_absent(self, name: str, now: float, revision: int = 0) -> None:
        """A member's key is not in the store; it went at that revision. (Between two looks it may have come and gone again.)"""
        if (peer := self.peers.get(name)) is not None and (
            peer.absent_since is None or peer.absent_revision != revision
        ):
            peer.absent_since = now
            peer.absent_revision = revision

    def store_contacted(self, received_at: float) -> None:
        """At that time this controller had read the whole store, and its key was there."""
        if received_at > self.store_contact_at:
            self.store_contact_at = received_at
            self.lapsed = False

    def record_cancellation(self, job: str, version: int) -> None:
        """A job has been cancelled."""
        cancellation = Cancellation(version, job)
        position = bisect_left(self.unconfirmed, cancellation)
        if self.unconfirmed[position : position + 1] != [cancellation] and any(
            peer.known_revision < version for peer in self.peers.values()
        ):
            self.unconfirmed.insert(position, cancellation)

    # -- words ---------------------------------------------------------------------------------

    def gossip_for(self, name: str, read_revision: int, now: float) -> CancellationGossip:
        """What a member is told now; `read`: the revision that this controller has read up to, 0 before it has read at all."""
        peer, known_revision = self.peers[name], max(read_revision, self.informed_revision)
        cancellations, echo = (
            self.unconfirmed[
                bisect_right(self.unconfirmed, Cancellation(peer.known_revision, "~")) :
            ]
            if read_revision
            else [],
            peer.last_gossip,
        )
        if len(cancellations) > MAX_CANCELLATIONS_PER_MESSAGE:
            cancellations, echo = cancellations[:MAX_CANCELLATIONS_PER_MESSAGE], None
            known_revision = min(known_revision, cancellations[-1].revision)
        if echo is not None:
            # Not from now on: the same word may come back to its sender many times
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
        """A member's word has come: the cancellations that it names. They are to be acted on before anything else is sent."""
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
            # Of a release without words: it may take it for contact that it is heard and hears
            peer.acknowledged_at = now
        if gossip.has_read_store:
            self.informed_revision = max(self.informed_revision, gossip.known_revision)
        if now - self.last_contact(now) > self.all_leases_expired_s / CLOCK_DRIFT:
            self.lapsed = True
        if gossip.echo is not None and gossip.echo[0] == self.incarnation and gossip.echo[1] <= now:
            # one that has not read the store has confirmed nothing in this life, nor its last one if that ended while it owed
            if (
                gossip.has_read_store
                or now - gossip.uptime_s
                <= max(self.store_contact_at, peer.confirmed_contact_at)
                + self.ack_delay_s / CLOCK_DRIFT
            ):
                peer.confirmed_contact_at = max(peer.confirmed_contact_at, gossip.echo[1])
        return gossip.cancellations

    def _prune(self, now: float) -> None:
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
            del self.unconfirmed[: bisect_right(self.unconfirmed, Cancellation(lowest_known, "~"))]

    # -- the answerer's side -------------------------------------------------------------------

    def last_contact(self, now: float) -> float:
        """The newest time at which every other controller owed this one."""
        return min(
            (max(self.store_contact_at, peer.confirmed_contact_at) for peer in self.peers.values()),
            default=now,
        )

    def isolated(self, now: float) -> bool:
        """Whether others may have told a user of a cancellation that this one does not know: it must not answer workers."""
        return self.lapsed or now - self.last_contact(now) >= self.max_contact_age_s

    @property
    def legacy_answer_s(self) -> float:
        """Seconds after its last contact at which a controller had to stop answering by the old rule."""
        return max(1.0, self.cancel_s - self.lease_s - LEGACY_EARLY_STOP_S)

    @property
    def max_contact_age_s(self) -> float:
        """Seconds after its last contact at which this controller stops answering workers.

        The long time only if every other controller waits with telling: during a rolling upgrade the old rule holds.
        """
        return (
            self.longest_answer_s
            if all(peer.supports_ack for peer in self.peers.values())
            else self.legacy_answer_s
        )

    @property
    def longest_answer_s(self) -> float:
        """What any controller's `fence` can be."""
        return max(self.legacy_answer_s, self.cut_off_s)

    @property
    def all_leases_expired_s(self) -> float:
        """Seconds after its last contact at which all workers that a controller has answered have given up their tasks."""
        return (self.longest_answer_s + self.lease_s) * CLOCK_DRIFT + IN_FLIGHT_MARGIN_S

    # -- the teller's side ---------------------------------------------------------------------

    @property
    def ack_delay_s(self) -> float:
        """Seconds for which a controller must have been owed nothing before what it does not know may be told.

        It answers for at most `fence` after its last sign of that, a worker's lease runs on from there, and all of that must be over
        `cancel_s` after the telling.
        """
        return max(0.0, self.all_leases_expired_s - self.cancel_s)

    def may_acknowledge(self, version: int, now: float) -> bool:
        """Whether a user may be told of a cancellation written at this revision."""
        return not self.waiting_for(version, now)

    def waiting_for(self, version: int, now: float) -> list[str]:
        """Whom the telling of a cancellation waits for, for people."""
        return sorted(
            name
            for name, peer in self.peers.items()
            # who is there and tells at once itself stops by the old time: nothing has to wait for it
            if peer.known_revision < version
            and (
                peer.supports_ack
                if peer.absent_since is None
                else now - self._last_obligation(peer) < self.ack_delay_s
            )
        )

    def may_forget(self, version: int, now: float) -> bool:
        """Whether nobody can need to be told of a cancellation any more who has not read the store since."""
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
        """When a member whose key is gone was last owed something."""
        return max(peer.absent_since or 0.0, peer.acknowledged_at)
