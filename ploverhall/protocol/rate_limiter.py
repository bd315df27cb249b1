"""A token bucket for requests and writes to a service that refuses what is above its rate.

Owned by the key-value store's client (one for requests, one for writes) and by the relay, which
gives each peer a bucket of its own.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

WAKE_MARGIN_S = 0.001  # a sleep may end slightly early
RESERVE_POLL_S = 0.02
USAGE_INTERVAL_S = 0.5  # least time over which usage is counted
USAGE_SMOOTHING_S = 2.0


@dataclass(slots=True)
class RateLimiter:
    """A token bucket. Urgent callers may overdraw it: leases never wait behind other traffic."""

    rate: float  # tokens a second
    clock: Callable[[], float] = time.monotonic
    tokens: float = 0.0
    refilled_at: float = 0.0
    queue: anyio.Lock = field(default_factory=anyio.Lock)
    taken: float = 0.0  # tokens since usage_counted_at
    usage_counted_at: float = 0.0
    usage_rate: float = 0.0  # smoothed, tokens a second
    burst: float = 0.0  # most tokens in the bucket, also after `rate` has been changed

    def __post_init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = self.burst = self.rate
        self.refilled_at = self.usage_counted_at = self.clock()

    def _refill(self) -> None:
        now = self.clock()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def delay(self, count: float) -> float:
        """Return the seconds until `count` tokens may be taken."""
        self._refill()
        return max(0.0, (min(count, self.burst) - self.tokens) / self.rate)

    def available(self) -> float:
        """Return the tokens that may be taken at once; below zero while overdrawn."""
        self._refill()
        return self.tokens

    async def acquire(
        self, count: float, urgent: bool = False, reserve: float = 0.0, patience: float = math.inf
    ) -> None:
        """Take `count` tokens, waiting for them unless `urgent`.

        Callers take turns: without that, small requests, for which there are always enough tokens,
        would keep larger ones waiting for ever. With a `reserve` the caller lets all others go
        first until `count + reserve` tokens are there, for `patience` seconds at most.
        """
        if reserve and not await self._reserve_available(count + reserve, patience):
            reserve = 0.0
        if not reserve and not urgent:
            async with self.queue:
                while (delay := self.delay(count)) > 0:
                    await anyio.sleep(delay + WAKE_MARGIN_S)
        self.consume(count)

    async def _reserve_available(self, count: float, patience: float) -> bool:
        """Wait for `count` tokens and an empty queue; False after `patience` seconds."""
        deadline = self.clock() + patience
        while (delay := self.delay(count)) > 0 or self.queue.statistics().tasks_waiting:
            if (remaining_s := deadline - self.clock()) <= 0:
                return False
            await anyio.sleep(min(delay + RESERVE_POLL_S, remaining_s))
        return True

    def consume(self, count: float) -> None:
        """Take `count` tokens now, even when fewer are left."""
        self._refill()
        self.tokens -= count
        self.taken += count

    def recent_usage(self) -> float:
        """Return the tokens a second that were taken lately, smoothed."""
        now = self.clock()
        if (passed := now - self.usage_counted_at) >= USAGE_INTERVAL_S:
            weight = min(1.0, passed / USAGE_SMOOTHING_S)
            self.usage_rate += (self.taken / passed - self.usage_rate) * weight
            self.taken = 0.0
            self.usage_counted_at = now
        return self.usage_rate
