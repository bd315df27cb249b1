"""A token bucket that keeps requests and writes below the rate above which a service refuses them.

The key-value store's client has one bucket for requests and one for writes. The relay has one
bucket for each peer.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

WAKE_MARGIN_S = 0.001  # a sleep may end slightly early
RESERVE_POLL_S = 0.02  # poll interval of callers that leave a reserve
USAGE_INTERVAL_S = 0.5  # minimum interval between two measurements of the usage
USAGE_SMOOTHING_S = 2.0  # time constant of the smoothed usage


@dataclass(slots=True)
class RateLimiter:
    """A token bucket that urgent callers may overdraw.

    Overdrawing keeps lease renewals from waiting behind other traffic.
    """

    rate: float  # tokens per second
    clock: Callable[[], float] = time.monotonic
    tokens: float = 0.0
    refilled_at: float = 0.0
    queue: anyio.Lock = field(default_factory=anyio.Lock)
    consumed: float = 0.0  # tokens consumed since usage_counted_at
    usage_counted_at: float = 0.0
    usage_rate: float = 0.0  # smoothed, in tokens per second
    burst: float = 0.0  # capacity of the bucket; stays the same when `rate` is changed

    def __post_init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = self.burst = self.rate
        self.refilled_at = self.usage_counted_at = self.clock()

    def _refill(self) -> None:
        now = self.clock()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def delay(self, count: float) -> float:
        """Return the time in seconds until `count` tokens are available."""
        self._refill()
        return max(0.0, (min(count, self.burst) - self.tokens) / self.rate)

    def available(self) -> float:
        """Return the number of available tokens; negative while the bucket is overdrawn."""
        self._refill()
        return self.tokens

    async def acquire(
        self, count: float, urgent: bool = False, reserve: float = 0.0, max_wait_s: float = math.inf
    ) -> None:
        """Take `count` tokens, after waiting for them unless `urgent`.

        Callers are served in order. Otherwise small requests, for which there are always enough
        tokens, would starve larger ones. With a `reserve`, the caller lets all others go first
        until `count + reserve` tokens are available, for at most `max_wait_s` seconds; after that
        it queues like the others.
        """
        if reserve and not await self._reserve_available(count + reserve, max_wait_s):
            reserve = 0.0
        if not reserve and not urgent:
            async with self.queue:
                while (delay := self.delay(count)) > 0:
                    await anyio.sleep(delay + WAKE_MARGIN_S)
        self.consume(count)

    async def _reserve_available(self, count: float, max_wait_s: float) -> bool:
        """Wait for `count` tokens and an empty queue.

        Returns:
            True if both were reached, False if `max_wait_s` seconds have passed.
        """
        deadline = self.clock() + max_wait_s
        while (delay := self.delay(count)) > 0 or self.queue.statistics().tasks_waiting:
            if (remaining_s := deadline - self.clock()) <= 0:
                return False
            await anyio.sleep(min(delay + RESERVE_POLL_S, remaining_s))
        return True

    def consume(self, count: float) -> None:
        """Take `count` tokens now, even if fewer are available."""
        self._refill()
        self.tokens -= count
        self.consumed += count

    def recent_usage(self) -> float:
        """Return the smoothed rate of recently consumed tokens, in tokens per second."""
        now = self.clock()
        if (elapsed_s := now - self.usage_counted_at) >= USAGE_INTERVAL_S:
            weight = min(1.0, elapsed_s / USAGE_SMOOTHING_S)
            self.usage_rate += (self.consumed / elapsed_s - self.usage_rate) * weight
            self.consumed = 0.0
            self.usage_counted_at = now
        return self.usage_rate
