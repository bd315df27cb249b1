"""Requests to peers that are not answered yet, and messages that wait to be sent: both bounded.

Requests are numbered within an incarnation of the process: a restarted controller counts from the
beginning again, and an answer to a request of the earlier process must not be taken for one to its
own (it could be a read that is older than the request, or a write that never happened). Used by
`controller.relay`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from ploverhall.protocol.relay_messages import AGENT_COMMAND, HEARTBEAT

MAX_OPEN_REQUESTS = 4096  # a heartbeat of each of 4,000 agents
MAX_QUEUED_MESSAGES = 2048  # to one peer
MAX_QUEUED_BYTES = 8 * 1024 * 1024  # to one peer

# One peer's requests that are worked on at once. Agents' messages come in frames with one for each
# machine of a shard; requests to the services are few, and its own come before a peer's.
MAX_CONCURRENT_AGENT_MESSAGES = 2048
MAX_CONCURRENT_SERVICE_REQUESTS = 64
AGENT_KINDS = (HEARTBEAT, AGENT_COMMAND)
CLOCK_SKEW_S = 2.0  # by which wall clocks of controllers may differ


@dataclass(slots=True)
class OpenRequest:
    """A request that was sent to a peer."""

    peer: str
    deadline: float


@dataclass(slots=True)
class QueuedMessage:
    """A message that waits to be sent."""

    message: list[Any]
    size_bytes: int
    deadline: float  # not sent after it


@dataclass
class PendingRelays:
    """Open requests, and the outbound queue of each peer."""

    incarnation: str  # of this process
    last_number: int = 0
    open_requests: dict[int, OpenRequest] = field(default_factory=dict)
    queues: dict[str, deque[QueuedMessage]] = field(default_factory=dict)
    queued_bytes: dict[str, int] = field(default_factory=dict)
    # By peer and kind
    in_progress: dict[tuple[str, str], int] = field(default_factory=dict)
    relayed_count: int = 0  # peers' requests that were answered
    refused_count: int = 0  # peers' requests that were refused: over a limit, too late, no route

    def open_request(self, peer: str, deadline: float) -> int | None:
        """Return the number of a new request to a peer; None while too many are open."""
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            return None
        self.last_number += 1
        self.open_requests[self.last_number] = OpenRequest(peer, deadline)
        return self.last_number

    def complete(self, incarnation: str, number: int, peer: str) -> bool:
        """Close the request that a response belongs to; False if there is none.

        It must be open, of this incarnation, and sent to the peer that answers.
        """
        request = self.open_requests.get(number)
        if incarnation != self.incarnation or request is None or request.peer != peer:
            return False
        del self.open_requests[number]
        return True

    def close(self, number: int) -> None:
        """Close a request whose answer is not waited for any more."""
        self.open_requests.pop(number, None)

    def enqueue(self, peer: str, message: list[Any], size_bytes: int, deadline: float) -> bool:
        """Queue a message to a peer; False when its queue is full."""
        queue = self.queues.setdefault(peer, deque())
        total_bytes = self.queued_bytes.get(peer, 0) + size_bytes
        if len(queue) >= MAX_QUEUED_MESSAGES or total_bytes > MAX_QUEUED_BYTES:
            return False
        queue.append(QueuedMessage(message, size_bytes, deadline))
        self.queued_bytes[peer] = total_bytes
        return True

    def drain(self, peer: str, now: float) -> list[list[Any]]:
        """Empty a peer's queue, and return the messages whose deadline has not passed."""
        queue = self.queues.get(peer)
        if not queue:
            return []
        messages = [queued.message for queued in queue if queued.deadline > now]
        queue.clear()
        self.queued_bytes[peer] = 0
        return messages

    def begin_work(self, peer: str, kind: str) -> bool:
        """Count a peer's request as in progress; False when too many of its kind are."""
        limit = (
            MAX_CONCURRENT_AGENT_MESSAGES
            if kind in AGENT_KINDS
            else MAX_CONCURRENT_SERVICE_REQUESTS
        )
        open_requests = self.in_progress.get((peer, kind), 0)
        if open_requests >= limit:
            self.refused_count += 1
            return False
        self.in_progress[peer, kind] = open_requests + 1
        return True

    def end_work(self, peer: str, kind: str) -> None:
        """Count one of a peer's requests as answered."""
        self.in_progress[peer, kind] -= 1
        self.relayed_count += 1


def deadline_passed(deadline: float, wall_time: float) -> bool:
    """Return whether a request has come too late to be executed; links may delay it by minutes."""
    return wall_time > deadline + CLOCK_SKEW_S
