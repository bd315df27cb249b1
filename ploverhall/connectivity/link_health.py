"""Measure the health of one link, with hysteresis.

A link becomes unhealthy quickly, since requests on a failed link hang. To become healthy again it
must answer for some time, and for longer if it keeps flapping, since its callers pay for every
return to a link that fails again. Used by `controller.outbound` for each external service.
"""

from __future__ import annotations

from dataclasses import dataclass

# Failures or silence for this time make a link unhealthy; an answer takes a few hundred ms at most
MIN_FAILURE_S = 0.6
# The time is also at least this multiple of the typical latency: a slow service is no partition
FAILURE_RTT_MULTIPLE = 4.0
INITIAL_RECOVERY_S = 1.5  # answers without failures for this time make a link healthy again
FLAP_WINDOW_S = 30.0  # a failure within this time of the last recovery doubles the recovery time
MAX_RECOVERY_S = 24.0
MAX_LATENCY_SAMPLE_S = 2.0
LATENCY_WEIGHT = 0.1  # weight of a new sample in the moving average


@dataclass(slots=True)
class LinkHealth:
    """State of a link, derived from its requests and their answers; all times are of one clock."""

    typical_latency_s: float = 0.02  # moving average
    healthy: bool = True
    changed_at: float = -1e9  # when `healthy` last changed
    last_answer_at: float = -1e9
    failing_since: float | None = None  # start of the current failures or silence
    answering_since: float | None = None  # first answer since the last failure
    recovery_s: float = INITIAL_RECOVERY_S  # seconds of answers needed to become healthy
    failure_count: int = 0  # number of times it became unhealthy

    @property
    def failure_threshold_s(self) -> float:
        """Return the seconds of failures or silence after which the link becomes unhealthy."""
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
        """Record that a request is overdue.

        `oldest_due_at` is the earliest time at which an unanswered request should have been
        answered.
        """
        if now - max(oldest_due_at, self.last_answer_at) > self.failure_threshold_s:
            self.answering_since = None
            self._extend_failure(oldest_due_at, now)

    def _extend_failure(self, started_at: float, now: float) -> None:
        """Extend the current failure back to `started_at`, or start one there."""
        # An answer after `started_at` shows that the link was up until that answer
        since = max(started_at, self.last_answer_at)
        self.failing_since = since if self.failing_since is None else min(self.failing_since, since)
        self._update_state(now)

    def _update_state(self, now: float) -> None:
        """Mark the link unhealthy once it has failed for `failure_threshold_s`."""
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
