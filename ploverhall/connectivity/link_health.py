"""One link as this process measures it: good, or bad, with hysteresis.

Going bad is quick, since what is asked meanwhile hangs; becoming good again takes answers for a while, and longer for a
link that keeps failing, since every return costs those who trust it.
"""

from __future__ import annotations

from dataclasses import dataclass

# An answer takes tens of milliseconds, now and then a few hundred; nothing at all for so long is
# a cut
MIN_FAILURE_S = 0.6
# And for so many times what an answer usually takes: a slow service is no cut
FAILURE_RTT_MULTIPLE = 4.0
# Answers for so long, and nothing else, before a link that was bad is trusted
INITIAL_RECOVERY_S = 1.5
FLAP_WINDOW_S = 30.0  # bad again so soon after it was good: the next return takes twice as long
MAX_RECOVERY_S = 24.0  # at most


@dataclass(slots=True)
class LinkHealth:
    """Fed with what was asked and answered; `good` is what is believed."""

    typical_latency_s: float = 0.02  # seconds from a question to its answer
    healthy: bool = True
    changed_at: float = -1e9  # of the present state
    last_answer_at: float = -1e9  # newest answer
    failing_since: float | None = None  # since when nothing but failures came, or silence
    answering_since: float | None = None  # since when nothing but answers came
    recovery_s: float = INITIAL_RECOVERY_S  # answers for so long make it good again
    failure_count: int = 0  # how often it went bad

    @property
    def failure_threshold_s(self) -> float:
        """Seconds of nothing but failures or silence that make it bad."""
        return max(MIN_FAILURE_S, FAILURE_RTT_MULTIPLE * self.typical_latency_s)

    def record_answer(self, latency_s: float, now: float) -> None:
        """A question was answered after so long."""
        self.typical_latency_s += (min(latency_s, 2.0) - self.typical_latency_s) * 0.1
        self.failing_since = None
        self.last_answer_at = now
        if self.answering_since is None:
            self.answering_since = now
        if not self.healthy and now - self.answering_since >= self.recovery_s:
            self.healthy = True
            self.changed_at = now

    def record_failure(self, started_at: float, now: float) -> None:
        """A question asked then was refused, or got no answer in time."""
        self.answering_since = None
        self._extend_failure(started_at, now)

    def record_overdue(self, oldest_due_at: float, now: float) -> None:
        """The oldest question that should have been answered by now was asked then."""
        if now - max(oldest_due_at, self.last_answer_at) > self.failure_threshold_s:
            self.answering_since = None
            self._extend_failure(oldest_due_at, now)

    def _extend_failure(self, started_at: float, now: float) -> None:
        # An answer to another question, later than this one, says that the link was up
        since = max(started_at, self.last_answer_at)
        self.failing_since = since if self.failing_since is None else min(self.failing_since, since)
        self._update_state(now)

    def _update_state(self, now: float) -> None:
        if (
            self.healthy
            and self.failing_since is not None
            and now - self.failing_since >= self.failure_threshold_s
        ):
            flapping = now - self.changed_at < FLAP_WINDOW_S and self.failure_count > 0
            self.recovery_s = (
                min(MAX_RECOVERY_S, self.recovery_s * 2) if flapping else INITIAL_RECOVERY_S
            )
            self.healthy = False
            self.changed_at = now
            self.failure_count += 1
