"""Health of one link as this process measures it, with hysteresis.

A link turns unhealthy quickly, since requests hang meanwhile. To turn healthy again it must answer
for a while, and for longer if it keeps failing, since each return costs those who trust it. Used by
`controller.outbound` for each outside service.
"""

from __future__ import annotations

from dataclasses import dataclass

# Failures or silence for so long make a link unhealthy; an answer takes a few hundred ms at most
MIN_FAILURE_S = 0.6
FAILURE_RTT_MULTIPLE = 4.0  # and so many times the usual latency: a slow service is no partition
INITIAL_RECOVERY_S = 1.5  # answers, and no failures, for so long make it healthy again
FLAP_WINDOW_S = 30.0  # failing again so soon after it recovered doubles that time
MAX_RECOVERY_S = 24.0
MAX_LATENCY_SAMPLE_S = 2.0
LATENCY_WEIGHT = 0.1  # of a new sample in the average


@dataclass(slots=True)
class LinkHealth:
    """State of a link, from the requests sent on it and their answers; all times by one clock."""

    typical_latency_s: float = 0.02  # moving average
    healthy: bool = True
    changed_at: float = -1e9  # when `healthy` last changed
    last_answer_at: float = -1e9
    failing_since: float | None = None  # beginning of the present failures or silence
    answering_since: float | None = None  # first answer since the last failure
    recovery_s: float = INITIAL_RECOVERY_S  # what it now takes to become healthy again
    failure_count: int = 0  # how often it became unhealthy

    @property
    def failure_threshold_s(self) -> float:
        """Seconds of failures or silence that make the link unhealthy."""
        return max(MIN_FAILURE_S, FAILURE_RTT_MULTIPLE * self.typical_latency_s)

    def record_answer(self, latency_s: float, now: float) -> None:
        """Record that a request was answered after `latency_s` seconds."""
        sample_s = min(latency_s, MAX_LATENCY_SAMPLE_S)
        self.typical_latency_s += (sample_s - self.typical_latency_s) * LATENCY_WEIGHT
        self.failing_since = None
        self.last_answer_at = now
        if self.answering_since is None:
            self.answering_since = now
        if not self.healthy and now - self.answering_since >= self.recovery_s:
            self.healthy = True
            self.changed_at = now

    def record_failure(self, started_at: float, now: float) -> None:
        """Record that a request sent at `started_at` failed or timed out."""
        self.answering_since = None
        self._extend_failure(started_at, now)

    def record_overdue(self, oldest_due_at: float, now: float) -> None:
        """Record that the oldest request that should be answered by now was sent at that time."""
        if now - max(oldest_due_at, self.last_answer_at) > self.failure_threshold_s:
            self.answering_since = None
            self._extend_failure(oldest_due_at, now)

    def _extend_failure(self, started_at: float, now: float) -> None:
        # A later answer to another request shows that the link was up until then
        since = max(started_at, self.last_answer_at)
        self.failing_since = since if self.failing_since is None else min(self.failing_since, since)
        self._update_state(now)

    def _update_state(self, now: float) -> None:
        if not self.healthy or self.failing_since is None:
            return
        if now - self.failing_since < self.failure_threshold_s:
            return
        if now - self.changed_at < FLAP_WINDOW_S and self.failure_count > 0:
            self.recovery_s = min(MAX_RECOVERY_S, self.recovery_s * 2)
        else:
            self.recovery_s = INITIAL_RECOVERY_S
        self.healthy = False
        self.changed_at = now
        self.failure_count += 1
