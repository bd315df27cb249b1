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


@dataclass(slots=True)
class RateLimiter:
    """A token bucket. Urgent takers may go below zero, so leases never wait behind ordinary traffic."""

    rate: float
    clock: Callable[[], float] = time.monotonic
    tokens: float = 0.0
    refilled_at: float = 0.0
    queue: anyio.Lock = field(default_factory=anyio.Lock)
    taken: float = 0.0  # since counted
    usage_counted_at: float = 0.0
    usage_rate: float = 0.0
    burst: float = 0.0  # at most so much at once, whatever the rate is by now

    def __post_init__(self) -> None:
        self.tokens = self.burst = self.rate
        self.refilled_at = self.usage_counted_at = self.clock()

    def _refill(self) -> None:
        now = self.clock()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def delay(self, count: float) -> float:
        """Seconds until n may be taken."""
        self._refill()
        return max(0.0, (min(count, self.burst) - self.tokens) / self.rate)

    def available(self) -> float:
        """What may be taken at once."""
        self._refill()
        return self.tokens

    async def acquire(
        self, count: float, urgent: bool = False, reserve: float = 0.0, patience: float = math.inf
    ) -> None:
        """Take n unless urgent in turn: else small takers, for whom there is always enough, kept larger ones waiting for ever.

        With a reserve it waits aside until so much more is left, and lets everybody else go first, as long as its patience lasts.
        """
        deadline = self.clock() + patience
        while reserve and (
            (delay := self.delay(count + reserve)) > 0 or self.queue.statistics().tasks_waiting
        ):
            if (remaining_s := deadline - self.clock()) <= 0:
                reserve = 0.0
                break
            await anyio.sleep(min(delay + 0.02, remaining_s))
        if not reserve and not urgent:
            async with self.queue:
                while (delay := self.delay(count)) > 0:
                    await anyio.sleep(delay + 0.001)
        self.consume(count)

    def consume(self, count: float) -> None:
        """Take n now, whatever is left."""
        self._refill()
        self.tokens -= count
        self.taken += count

    def recent_usage(self) -> float:
        """What was taken a second, lately."""
        now = self.clock()
        if (passed := now - self.usage_counted_at) >= 0.5:
            self.usage_rate += (self.taken / passed - self.usage_rate) * min(1.0, passed / 2.0)
            self.taken = 0.0
            self.usage_counted_at = now
        return self.usage_rate
