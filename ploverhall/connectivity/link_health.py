"""One link as this process measures it: good, or bad, with hysteresis.

Going bad is quick, since what is asked meanwhile hangs; becoming good again takes answers for a while, and longer for a
link that keeps failing, since every return costs those who trust it.
"""

from __future__ import annotations

from dataclasses import dataclass

BAD_S = 0.6  # an answer takes tens of milliseconds, now and then a few hundred; nothing at all for so long is a cut
TIMES = 4.0  # and for so many times what an answer usually takes: a slow service is no cut
GOOD_S = 1.5  # answers for so long, and nothing else, before a link that was bad is trusted
FLAP_S = 30.0  # bad again so soon after it was good: the next return takes twice as long
LONGEST_S = 24.0  # at most


@dataclass(slots=True)
class Gauge:
    """Fed with what was asked and answered; `good` is what is believed."""

    usual: float = 0.02  # seconds from a question to its answer
    good: bool = True
    since: float = -1e9  # of the present state
    last: float = -1e9  # newest answer
    failing: float | None = None  # since when nothing but failures came, or silence
    answering: float | None = None  # since when nothing but answers came
    pause: float = GOOD_S  # answers for so long make it good again
    turns: int = 0  # how often it went bad

    @property
    def patience(self) -> float:
        """Seconds of nothing but failures or silence that make it bad."""
        return max(BAD_S, TIMES * self.usual)

    def answered(self, took: float, now: float) -> None:
        """A question was answered after so long."""
        self.usual += (min(took, 2.0) - self.usual) * 0.1
        self.failing, self.last = None, now
        if self.answering is None:
            self.answering = now
        if not self.good and now - self.answering >= self.pause:
            self.good, self.since = True, now

    def failed(self, begun: float, now: float) -> None:
        """A question asked then was refused, or got no answer in time."""
        self.answering = None
        self._fails(begun, now)

    def waits(self, oldest: float, now: float) -> None:
        """The oldest question that should have been answered by now was asked then."""
        if now - max(oldest, self.last) > self.patience:
            self.answering = None
            self._fails(oldest, now)

    def _fails(self, begun: float, now: float) -> None:
        since = max(
            begun, self.last
        )  # an answer to another question, later than this one, says that the link was up
        self.failing = since if self.failing is None else min(self.failing, since)
        self._judge(now)

    def _judge(self, now: float) -> None:
        if self.good and self.failing is not None and now - self.failing >= self.patience:
            again = now - self.since < FLAP_S and self.turns > 0
            self.pause = min(LONGEST_S, self.pause * 2) if again else GOOD_S
            self.good, self.since = False, now
            self.turns += 1
