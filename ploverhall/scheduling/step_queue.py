"""A queue whose items are handled in order, a bounded number in each step of the event loop.

One valid submission may change as much as 100,000 tasks at once. `source_requests`, `owner_changes`
and `allocations` put such changes into a queue; what is too much for one step waits for the next.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

MAX_ITEMS_PER_STEP = 4_000

Item = TypeVar("Item")


class StepQueue(Generic[Item]):
    """Items that wait to be handled."""

    def __init__(self, handle: Callable[[Item, float], None]) -> None:
        """Create an empty queue; `handle` is called with an item and the current time."""
        self._handle = handle
        self._items: deque[Item] = deque()

    def __len__(self) -> int:
        """Return the number of items that wait."""
        return len(self._items)

    def add(self, items: Iterable[Item], now: float) -> None:
        """Add items, and handle the first ones at once unless earlier items are waiting."""
        others_wait = bool(self._items)
        self._items.extend(items)
        if not others_wait:
            self.run_step(now)

    def run_step(self, now: float) -> None:
        """Handle the items that wait, also those added meanwhile, up to the bound for one step."""
        for _ in range(MAX_ITEMS_PER_STEP):
            if not self._items:
                break
            self._handle(self._items.popleft(), now)
