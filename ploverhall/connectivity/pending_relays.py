"""Keep bounded lists of unanswered requests to peers and of messages queued for them.

Requests are numbered within one incarnation of the process. A restarted controller counts from the
beginning again, and must not match an answer to a request of its earlier incarnation with a new
request of the same number: the answer could hold a read that is older than the new request, or
confirm a write that the new request never made. Used by `controller.relay`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from ploverhall.protocol.relay_messages import AGENT_COMMAND, HEARTBEAT

MAX_OPEN_REQUESTS = 4096  # enough for one heartbeat of each of 4,000 agents
MAX_QUEUED_MESSAGES = 2048  # per peer
MAX_QUEUED_BYTES = 8 * 1024 * 1024  # per peer

# Limits on the requests of one peer that are in progress at the same time. Agents' messages arrive
# in frames that hold one for each machine of a shard. Requests to the services are few, and this
# controller's own take precedence over a peer's.
MAX_CONCURRENT_AGENT_MESSAGES = 2048
MAX_CONCURRENT_SERVICE_REQUESTS = 64
AGENT_KINDS = (HEARTBEAT, AGENT_COMMAND)
CLOCK_SKEW_S = 2.0  # maximum difference between the wall clocks of two controllers


@dataclass(slots=True)
class OpenRequest:
    """A request that was sent to a peer."""

    peer: str
    deadline: float


@dataclass(slots=True)
class QueuedMessage:
    """A message that waits to be sent to a peer."""

    message: list[Any]
    size_bytes: int
    deadline: float  # the message is dropped after this time


@dataclass
class PendingRelays:
    """The open requests and the outbound queue of each peer."""

    incarnation: str  # of this process
    last_number: int = 0
    open_requests: dict[int, OpenRequest] = field(default_factory=dict)
    queues: dict[str, deque[QueuedMessage]] = field(default_factory=dict)
    queued_bytes: dict[str, int] = field(default_factory=dict)
    # Number of requests in progress, by peer and kind
    in_progress: dict[tuple[str, str], int] = field(default_factory=dict)
    relayed_count: int = 0  # requests of peers that were answered
    refused_count: int = 0  # requests of peers that were refused: over a limit, late, no route

    def open_request(self, peer: str, deadline: float) -> int | None:
        """Open a request to a peer and return its number; None while too many are open."""
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            return None
        self.last_number += 1
        self.open_requests[self.last_number] = OpenRequest(peer, deadline)
        return self.last_number

    def complete(self, incarnation: str, number: int, peer: str) -> bool:
        """Close the request that a response belongs to; return False if there is none.

        The request must be open, belong to this incarnation, and have been sent to `peer`.
        """
        request = self.open_requests.get(number)
        if incarnation != self.incarnation or request is None or request.peer != peer:
            return False
        del self.open_requests[number]
        return True

    def close(self, number: int) -> None:
        """Close a request whose answer is no longer awaited."""
        self.open_requests.pop(number, None)

    def enqueue(self, peer: str, message: list[Any], size_bytes: int, deadline: float) -> bool:
        """Queue a message to a peer; return False if the peer's queue is full."""
        queue = self.queues.setdefault(peer, deque())
        total_bytes = self.queued_bytes.get(peer, 0) + size_bytes
        if len(queue) >= MAX_QUEUED_MESSAGES or total_bytes > MAX_QUEUED_BYTES:
            return False
        queue.append(QueuedMessage(message, size_bytes, deadline))
        self.queued_bytes[peer] = total_bytes
        return True

    def drain(self, peer: str, now: float) -> list[list[Any]]:
        """Empty a peer's queue and return the messages whose deadlines have not passed."""
        queue = self.queues.get(peer)
        if not queue:
            return []
        messages = [queued.message for queued in queue if queued.deadline > now]
        queue.clear()
        self.queued_bytes[peer] = 0
        return messages

    def begin_work(self, peer: str, kind: str) -> bool:
        """Count a peer's request as in progress; return False if too many of its kind are."""
        limit = (
            MAX_CONCURRENT_AGENT_MESSAGES
            if kind in AGENT_KINDS
            else MAX_CONCURRENT_SERVICE_REQUESTS
        )
        in_progress_count = self.in_progress.get((peer, kind), 0)
        if in_progress_count >= limit:
            self.refused_count += 1
            return False
        self.in_progress[peer, kind] = in_progress_count + 1
        return True

    def end_work(self, peer: str, kind: str) -> None:
        """Count one of a peer's requests as answered."""
        self.in_progress[peer, kind] -= 1
        self.relayed_count += 1


def deadline_passed(deadline: float, wall_time: float) -> bool:
    """Return whether a request arrived too late to be executed.

    Links may delay requests by minutes.
    """
    return wall_time > deadline + CLOCK_SKEW_S
