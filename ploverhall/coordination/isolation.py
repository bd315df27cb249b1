"""A controller that has lost the state service and every other controller, but not its workers: are they better off elsewhere?

It may go on answering them for `cut_off_s` (`cancellations`), and whoever has claimed its part meanwhile could serve them in full:
start, stop, hear what has ended. But in a zone that is cut off nobody else can be reached, and a worker that tries two silent
controllers is back after 11 s, which is longer than some leases. So a few scouts are sent first, to the controller after which
workers try this one again: they are back within 6 s. If none of them comes back, somebody answers them, and the others follow with
their next reports. One that comes back with this controller's token has found nobody: all stay, and scouts go again ever later, to
each of the others in turn where their leases last for that, or where they have nothing to lose.

Sending a worker on gives nobody a right: it is what a crashed controller does to all of them. Whoever answers it has a token of its
own, and what this controller has granted is fenced by that (docs/design.md, *Alone with its workers*).

No I/O. Times are this process's steady clock, seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

TIMEOUT_S, PAUSE_S = (
    4.0,
    1.0,
)  # a worker waits so long for an answer, and then so long before it tries the next controller
SCOUTS, BUSY_SCOUTS = 3, 1  # one that is busy loses its tasks if this controller ends just then
AGAIN_S, MOST_AGAIN_S = 15.0, 60.0


@dataclass(slots=True)
class Alone:
    """The scouts of one spell of being alone."""

    others: list[
        str
    ]  # the other controllers; the one after which a worker tries this one comes first, then the one before that
    report_s: float
    lease_s: float
    since: float | None = None
    away: dict[str, float] = field(default_factory=dict)  # scouts, and when each was sent
    turn: int = 0  # where the scouts are sent
    next_round: float = 0.0
    again_s: float = AGAIN_S
    served: bool = False  # scouts have stayed away: somebody answers them

    @property
    def back_s(self) -> float:
        """A scout that nobody answers has reported here again after this."""
        return 0.5 + (self.turn + 1) * (TIMEOUT_S + PAUSE_S) + 1.0

    def look(self, alone: bool, now: float) -> None:
        """Whether this controller reaches nobody but its workers."""
        if not alone:
            if self.since is not None:
                self.since, self.served, self.turn, self.next_round, self.again_s = (
                    None,
                    False,
                    0,
                    0.0,
                    AGAIN_S,
                )
                self.away.clear()
        elif self.since is None:
            self.since = now

    def sends_to(self, machine: str, answered_s: float | None, now: float) -> str | None:
        """A worker has come: to whom it is sent instead of being answered.

        `answered_s`: how long ago it was last answered here; None where nothing on it can be lost.
        """
        if self.since is None or not self.others:
            return None
        if self.served:
            return self.others[self.turn]
        if machine in self.away:  # nobody has answered it
            self.away.clear()
            self.next_round, self.again_s = (
                now + self.again_s,
                min(MOST_AGAIN_S, 2.0 * self.again_s),
            )
            self.turn = (self.turn + 1) % len(self.others)
            return None
        if self.away and now - max(self.away.values()) > self.back_s:
            self.served = True
            return self.others[self.turn]
        fresh = not self.away or now - min(self.away.values()) < self.report_s
        if (
            now >= self.next_round
            and fresh
            and len(self.away) < (SCOUTS if answered_s is None else BUSY_SCOUTS)
        ):
            if answered_s is None or answered_s + self.back_s < self.lease_s:
                self.away[machine] = now
                return self.others[self.turn]
        return None
