"""What was asked through other members and is still open, and what waits to be sent to them: both bounded.

A question carries the name of the process's life: a controller that starts anew counts from the beginning again, and an
answer to its earlier life's question must not be taken for one to its own (a read that is older than the question, a
transaction that never landed).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

MOST_OPEN = 4096  # questions asked and not answered: a report of each of 4,000 workers
MOST_WAITING = 2048  # messages for one member that have not gone out
MOST_BYTES = 8 * 1024 * 1024  # of them
MOST_AT_ONCE = 2048  # questions of one member that are worked on here: a frame may bring a report of each worker of a shard
SKEW_S = 2.0  # by how much times of day may differ: a question that comes so late after its end is dropped unread


@dataclass(slots=True)
class Open:
    """A question that was asked."""

    to: str
    until: float


@dataclass(slots=True)
class Waiting:
    """A message for a member."""

    message: list[Any]
    size: int
    until: float


@dataclass
class Calls:
    """Open questions, and each member's queue."""

    life: str
    number: int = 0
    open: dict[int, Open] = field(default_factory=dict)
    queues: dict[str, deque[Waiting]] = field(default_factory=dict)
    bytes: dict[str, int] = field(default_factory=dict)
    working: dict[str, int] = field(default_factory=dict)
    carried: int = 0  # for others, since the start
    refused: int = 0  # for others: no room, no time left, no way

    def ask(self, to: str, until: float) -> int | None:
        """A number for a new question; None while too many are open."""
        if len(self.open) >= MOST_OPEN:
            return None
        self.number += 1
        self.open[self.number] = Open(to, until)
        return self.number

    def answered(self, life: str, number: int, by: str) -> bool:
        """Whether an answer is to an open question of this life, from whom it was asked; it is closed then."""
        known = self.open.get(number)
        if life != self.life or known is None or known.to != by:
            return False
        del self.open[number]
        return True

    def close(self, number: int) -> None:
        """Nobody waits for the answer any more."""
        self.open.pop(number, None)

    def put(self, to: str, message: list[Any], size: int, until: float) -> bool:
        """Queue a message; False when there is no room for it."""
        queue = self.queues.setdefault(to, deque())
        if len(queue) >= MOST_WAITING or self.bytes.get(to, 0) + size > MOST_BYTES:
            return False
        queue.append(Waiting(message, size, until))
        self.bytes[to] = self.bytes.get(to, 0) + size
        return True

    def take(self, to: str, now: float) -> list[list[Any]]:
        """What goes out to a member now; what is too late to be of use does not."""
        queue = self.queues.get(to)
        if not queue:
            return []
        out = [w.message for w in queue if w.until > now]
        queue.clear()
        self.bytes[to] = 0
        return out

    def begin(self, member: str) -> bool:
        """A member's question comes in; False when as many of its questions are worked on as may be."""
        if self.working.get(member, 0) >= MOST_AT_ONCE:
            self.refused += 1
            return False
        self.working[member] = self.working.get(member, 0) + 1
        return True

    def end(self, member: str) -> None:
        """One of its questions was answered."""
        self.working[member] -= 1
        self.carried += 1


def too_late(until: float, wall: float) -> bool:
    """Whether a question's time (of day) is over here. It may have been held back for minutes on its way."""
    return wall > until + SKEW_S
