"""What was asked through other members and is still open, and what waits to be sent to them: both bounded.

A question carries the name of the process's life: a controller that starts anew counts from the beginning again, and an
answer to its earlier life's question must not be taken for one to its own (a read that is older than the question, a
transaction that never landed).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

MAX_OPEN_REQUESTS = 4096  # questions asked and not answered: a report of each of 4,000 workers
MAX_QUEUED_MESSAGES = 2048  # messages for one member that have not gone out
MAX_QUEUED_BYTES = 8 * 1024 * 1024  # of them
# Questions of one member that are worked on here: a frame may bring a report of each worker of a
# shard
MAX_CONCURRENT_PER_PEER = 2048
# By how much times of day may differ: a question that comes so late after its end is dropped
# unread
CLOCK_SKEW_S = 2.0


@dataclass(slots=True)
class OpenRequest:
    """A question that was asked."""

    peer: str
    deadline: float


@dataclass(slots=True)
class QueuedMessage:
    """A message for a member."""

    message: list[Any]
    size_bytes: int
    deadline: float


@dataclass
class PendingRelays:
    """Open questions, and each member's queue."""

    incarnation: str
    last_number: int = 0
    open_requests: dict[int, OpenRequest] = field(default_factory=dict)
    queues: dict[str, deque[QueuedMessage]] = field(default_factory=dict)
    queued_bytes: dict[str, int] = field(default_factory=dict)
    in_progress: dict[str, int] = field(default_factory=dict)
    relayed_count: int = 0  # for others, since the start
    refused_count: int = 0  # for others: no room, no time left, no way

    def open_request(self, peer: str, deadline: float) -> int | None:
        """A number for a new question; None while too many are open."""
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            return None
        self.last_number += 1
        self.open_requests[self.last_number] = OpenRequest(peer, deadline)
        return self.last_number

    def complete(self, incarnation: str, number: int, peer: str) -> bool:
        """Whether an answer is to an open question of this life, from whom it was asked; it is closed then."""
        request = self.open_requests.get(number)
        if incarnation != self.incarnation or request is None or request.peer != peer:
            return False
        del self.open_requests[number]
        return True

    def close(self, number: int) -> None:
        """Nobody waits for the answer any more."""
        self.open_requests.pop(number, None)

    def enqueue(self, peer: str, message: list[Any], size_bytes: int, deadline: float) -> bool:
        """Queue a message; False when there is no room for it."""
        queue = self.queues.setdefault(peer, deque())
        if (
            len(queue) >= MAX_QUEUED_MESSAGES
            or self.queued_bytes.get(peer, 0) + size_bytes > MAX_QUEUED_BYTES
        ):
            return False
        queue.append(QueuedMessage(message, size_bytes, deadline))
        self.queued_bytes[peer] = self.queued_bytes.get(peer, 0) + size_bytes
        return True

    def drain(self, peer: str, now: float) -> list[list[Any]]:
        """What goes out to a member now; what is too late to be of use does not."""
        queue = self.queues.get(peer)
        if not queue:
            return []
        out = [queued.message for queued in queue if queued.deadline > now]
        queue.clear()
        self.queued_bytes[peer] = 0
        return out

    def begin_work(self, peer: str) -> bool:
        """A member's question comes in; False when as many of its questions are worked on as may be."""
        if self.in_progress.get(peer, 0) >= MAX_CONCURRENT_PER_PEER:
            self.refused_count += 1
            return False
        self.in_progress[peer] = self.in_progress.get(peer, 0) + 1
        return True

    def end_work(self, peer: str) -> None:
        """One of its questions was answered."""
        self.in_progress[peer] -= 1
        self.relayed_count += 1


def deadline_passed(deadline: float, wall_time: float) -> bool:
    """Whether a question's time (of day) is over here. It may have been held back for minutes on its way."""
    return wall_time > deadline + CLOCK_SKEW_S
