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

from ploverhall.protocol.peer_messages import Cancelled, Word

CAN = "told"  # the feature in a member's key: it waits with telling, so others may go on for longer
DRIFT = 1.002  # steady clocks of two hosts differ by up to 0.05% each; four times that
MARGIN_S = 2.0  # answers on their way, steps that come late
MOST_PATIENCE_S = 60.0  # nobody waits for longer to be told, whatever the times are; no question goes unanswered for 75 s
EARLY_S = 8.0  # how much earlier than it had to the old rule let go
MOST_NAMED = 400  # cancellations in one word; the next one goes on from there


@dataclass(slots=True)
class Member:
    """What is known of another controller."""

    can: bool = False  # it waits with telling
    known: int = 0  # its watermark; what it has known stays known, by its next life too
    absent: float | None = None  # since when its key has been seen to be gone; None: it is there
    left: int = -1  # the revision at which its key went, as far as this controller has seen
    owed: float = -1e9  # when its newest word came that has been answered
    sure: float = -1e9  # when the newest own word left that it has answered
    word: tuple[str, float] | None = (
        None  # its newest word, to be answered: its life, and its clock then
    )
    heard: float = -1e9  # when that came


class Cancellations:
    """The other controllers, what each knows, and what passes between them."""

    def __init__(
        self,
        others: Iterable[str],
        cancel_s: float,
        lease_s: float,
        cut_off_s: float,
        now: float,
        life: str = "",
    ) -> None:
        self.cancel_s, self.lease_s, self.life, self.started = cancel_s, lease_s, life, now
        self.cut_off_s = min(cut_off_s, MOST_PATIENCE_S + cancel_s - lease_s * DRIFT - MARGIN_S)
        # a controller that has just started does not know for how long a key has been gone
        self.members = {name: Member(absent=now, owed=now) for name in others}
        self.read_at = (
            -1e9
        )  # this one's own contact with the store: it had read all, and its key was there
        self.own: list[Cancelled] = []  # cancellations that not all are known to know, by revision
        self.informed = 0  # this one's watermark, as far as others have brought it
        self.lapsed = False  # it was without contact for so long that others may have forgotten what it does not know

    # -- what is seen in the store -------------------------------------------------------------

    def present(self, name: str, can: bool, known: int) -> None:
        """A member's key is in the store, and says this of it."""
        if (m := self.members.get(name)) is not None:
            m.can, m.absent = can, None
            m.known = max(m.known, known)

    def gone(self, name: str, now: float, left: int = 0) -> None:
        """A member's key is not in the store; it went at that revision. (Between two looks it may have come and gone again.)"""
        if (m := self.members.get(name)) is not None and (m.absent is None or m.left != left):
            m.absent, m.left = now, left

    def contacted(self, at: float) -> None:
        """At that time this controller had read the whole store, and its key was there."""
        if at > self.read_at:
            self.read_at, self.lapsed = at, False

    def note(self, job: str, version: int) -> None:
        """A job has been cancelled."""
        one = Cancelled(version, job)
        at = bisect_left(self.own, one)
        if self.own[at : at + 1] != [one] and any(m.known < version for m in self.members.values()):
            self.own.insert(at, one)

    # -- words ---------------------------------------------------------------------------------

    def word(self, name: str, read: int, now: float) -> Word:
        """What a member is told now; `read`: the revision that this controller has read up to, 0 before it has read at all."""
        m, known = self.members[name], max(read, self.informed)
        news, echo = (
            self.own[bisect_right(self.own, Cancelled(m.known, "~")) :] if read else [],
            m.word,
        )
        if len(news) > MOST_NAMED:
            news, echo = news[:MOST_NAMED], None
            known = min(known, news[-1].version)
        if echo is not None:
            m.owed = (
                m.heard
            )  # not from now on: the same word may come back to its sender many times
        return Word(known, self.life, now, now - self.started, read > 0, echo, news)

    def take(self, name: str, word: Word, now: float) -> list[Cancelled]:
        """A member's word has come: the cancellations that it names. They are to be acted on before anything else is sent."""
        m = self.members.get(name)
        if m is None:
            return []
        before = m.known
        m.known = max(m.known, word.known)
        if before < m.known:
            self._prune(now)
        if word.life:
            m.word, m.heard = (word.life, word.at), now
        else:
            m.owed = now  # of a release without words: it may take it for contact that it is heard and hears
        if word.read:
            self.informed = max(self.informed, word.known)
        if now - self.contact(now) > self.over / DRIFT:
            self.lapsed = True
        if word.echo is not None and word.echo[0] == self.life and word.echo[1] <= now:
            # one that has not read the store has confirmed nothing in this life, nor its last one if that ended while it owed
            if word.read or now - word.up <= max(self.read_at, m.sure) + self.patience / DRIFT:
                m.sure = max(m.sure, word.echo[1])
        return word.cancelled

    def _prune(self, now: float) -> None:
        least = min(
            (m.known for m in self.members.values() if not self._over(m, now)), default=None
        )
        if least is None:
            self.own.clear()
        else:
            del self.own[: bisect_right(self.own, Cancelled(least, "~"))]

    # -- the answerer's side -------------------------------------------------------------------

    def contact(self, now: float) -> float:
        """The newest time at which every other controller owed this one."""
        return min((max(self.read_at, m.sure) for m in self.members.values()), default=now)

    def isolated(self, now: float) -> bool:
        """Whether others may have told a user of a cancellation that this one does not know: it must not answer workers."""
        return self.lapsed or now - self.contact(now) >= self.fence

    @property
    def early(self) -> float:
        """Seconds after its last contact at which a controller had to stop answering by the old rule."""
        return max(1.0, self.cancel_s - self.lease_s - EARLY_S)

    @property
    def fence(self) -> float:
        """Seconds after its last contact at which this controller stops answering workers.

        The long time only if every other controller waits with telling: during a rolling upgrade the old rule holds.
        """
        return self.longest if all(m.can for m in self.members.values()) else self.early

    @property
    def longest(self) -> float:
        """What any controller's `fence` can be."""
        return max(self.early, self.cut_off_s)

    @property
    def over(self) -> float:
        """Seconds after its last contact at which all workers that a controller has answered have given up their tasks."""
        return (self.longest + self.lease_s) * DRIFT + MARGIN_S

    # -- the teller's side ---------------------------------------------------------------------

    @property
    def patience(self) -> float:
        """Seconds for which a controller must have been owed nothing before what it does not know may be told.

        It answers for at most `fence` after its last sign of that, a worker's lease runs on from there, and all of that must be over
        `cancel_s` after the telling.
        """
        return max(0.0, self.over - self.cancel_s)

    def may_tell(self, version: int, now: float) -> bool:
        """Whether a user may be told of a cancellation written at this revision."""
        return not self.waits_for(version, now)

    def waits_for(self, version: int, now: float) -> list[str]:
        """Whom the telling of a cancellation waits for, for people."""
        return sorted(
            n
            for n, m in self.members.items()
            # who is there and tells at once itself stops by the old time: nothing has to wait for it
            if m.known < version
            and (m.can if m.absent is None else now - self._owed(m) < self.patience)
        )

    def may_forget(self, version: int, now: float) -> bool:
        """Whether nobody can need to be told of a cancellation any more who has not read the store since."""
        return all(m.known >= version or self._over(m, now) for m in self.members.values())

    def _over(self, m: Member, now: float) -> bool:
        return m.absent is not None and now - self._owed(m) > self.over

    def _owed(self, m: Member) -> float:
        """When a member whose key is gone was last owed something."""
        return max(m.absent or 0.0, m.owed)
