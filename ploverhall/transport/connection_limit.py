"""How one controller's sockets are shared between users, agents and its own calls.

Agents keep their connections open between two heartbeats. Where there are more agents than sockets,
the connections are shared in time: once agents hold `shared` connections, an agent that is answered
on top of them is told to close (`Connection: close`) and connects again for its next heartbeat. The
reconnects are thus spread over the heartbeat interval, as the heartbeats are. Idle connections of
agents that have gone elsewhere are closed, the longest idle first. Near the limit of accepted
connections users' connections are closed after their answers, too.

Used by `transport.http_server.Server` for the connections that it accepts, and by
`transport.client_pool.ClientPool` for the connections to agents. Nothing is done before a limit is
reached.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ploverhall.transport.http_parser import Request

# Shares of all sockets of the process
ACCEPTED_SHARE = 0.8  # accepted connections; any more are answered 503
CROWDED_SHARE = 0.75  # accepted connections; over that, all are closed after their answers
AGENTS_SHARE = 0.7  # agents' connections; any more are answered 503, so that users find a socket
SHARED_SHARE = 0.6  # agents' connections that are kept open between two heartbeats
TOTAL_SHARE = 0.9  # accepted and kept outgoing ones; the rest is for store, cloud and peers
LEAST_ACCEPTED = 8  # connections, also where the platform allows very few sockets


@dataclass(slots=True, frozen=True)
class SocketLimits:
    """Numbers of open connections; the shares above say what holds beyond each of them."""

    accepted: int
    crowded: int
    agents: int
    shared: int
    total: int

    @classmethod
    def of_platform(cls, max_sockets: int) -> SocketLimits:
        """Return the limits where the platform allows a process `max_sockets` sockets."""
        accepted = max(LEAST_ACCEPTED, int(max_sockets * ACCEPTED_SHARE))
        return cls(
            accepted=accepted,
            crowded=min(accepted, max(LEAST_ACCEPTED, int(max_sockets * CROWDED_SHARE))),
            agents=min(accepted - 1, max(2, int(max_sockets * AGENTS_SHARE))),
            shared=min(accepted - 2, max(1, int(max_sockets * SHARED_SHARE))),
            total=max(accepted + 1, int(max_sockets * TOTAL_SHARE)),
        )


@dataclass(slots=True, eq=False)
class Connection:
    """An accepted connection."""

    due: float  # time at which it is closed unless something comes
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)  # cancelled to close it


class ConnectionLimiter:
    """Counts the accepted connections, and decides which of them are closed."""

    def __init__(
        self, limits: SocketLimits, is_agent: Callable[[Request], bool], stale_s: float
    ) -> None:
        """`is_agent` tells whose a connection is by its first request.

        An agent that has sent nothing for `stale_s` seconds does not use its connection any more.
        """
        self.limits = limits
        self.is_agent = is_agent
        self.stale_s = stale_s
        self.accepted: dict[Connection, bool] = {}  # whether it has sent a request yet
        self.agents: dict[Connection, None] = {}
        self.idle: dict[Connection, float] = {}  # agents' connections, the longest idle first

    def opened(self, connection: Connection) -> None:
        """Count a connection that has been accepted."""
        self.accepted[connection] = False

    def closed(self, connection: Connection) -> None:
        """Forget a connection that has ended, whoever closed it."""
        self.accepted.pop(connection, None)
        self.agents.pop(connection, None)
        self.idle.pop(connection, None)

    def admit(self, connection: Connection, request: Request) -> bool:
        """Return whether a request is handled: False from an agent that is over the limit."""
        self.idle.pop(connection, None)
        if not self.accepted.get(connection, True):
            self.accepted[connection] = True
            if self.is_agent(request):
                self.agents[connection] = None
        return connection not in self.agents or len(self.agents) <= self.limits.agents

    def must_close(self, connection: Connection, now: float) -> bool:
        """Return whether a connection is closed after the answer that is about to be sent on it.

        An agent that sends heartbeats takes the place of one that does not any more.
        """
        if len(self.accepted) > self.limits.crowded:
            return True
        if connection not in self.agents:
            return False
        self.evict(now)
        return len(self.agents) > self.limits.shared

    def answered(self, connection: Connection, now: float) -> None:
        """Record that an answer was sent at `now`, and that the connection stays open."""
        if connection in self.agents:
            self.idle[connection] = now

    def evict(self, now: float) -> int:
        """Close agents' connections that are not used any more while too many are open.

        The longest idle ones go first. Returns how many were closed.
        """
        evicted = 0
        excess = max(
            len(self.agents) - self.limits.shared, len(self.accepted) - self.limits.accepted
        )
        while evicted < excess and self.idle:
            connection = next(iter(self.idle))
            if now - self.idle[connection] <= self.stale_s:
                break
            self.closed(connection)
            connection.scope.cancel()
            evicted += 1
        return evicted

    def room_for_outgoing(self) -> int:
        """Return how many connections to agents may be kept open beside the accepted ones."""
        return max(1, self.limits.total - len(self.accepted))
