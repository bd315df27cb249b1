"""An event queue in virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class EventQueue:
    """Calls functions at their scheduled times.

    Functions that are due at the same time are called in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._scheduled = 0
        self._queue: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []

    def schedule(self, after: float, call: Callable[..., Any], *args: Any) -> None:
        """Schedule a call of a function in `after` seconds."""
        self._scheduled += 1
        heapq.heappush(self._queue, (self.now + after, self._scheduled, call, args))

    def run(self, until: float) -> None:
        """Advance to the time `until`, making all calls that are due by then."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._queue)
            call(*args)
        self.now = until
