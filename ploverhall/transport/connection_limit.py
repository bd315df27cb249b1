"""Limit the connections of users and agents, so that each and the controller itself have sockets.

Agents keep their connections open between two heartbeats. Where there are more agents than sockets,
agents take turns with them: once agents hold more than `keepalive_agents` connections, the next
agent that is answered is told to close its connection (`Connection: close`) and connects again for
its next heartbeat. The reconnects are thus spread over the heartbeat interval, as the heartbeats
are. Idle connections of agents that now report elsewhere are closed, the longest idle first. Near
the limit of accepted connections, users' connections are closed after their answers, too.

Used by `transport.http_server.Server` for the connections that it accepts, and by
`transport.client_pool.ClientPool` for the connections to agents. No connection is closed before a
limit is reached.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ploverhall.transport.http_parser import Request

# Shares of all sockets of the process
ACCEPTED_SHARE = 0.8  # accepted connections; any more are answered with 503
NO_KEEPALIVE_SHARE = 0.75  # accepted connections; above this, all are closed after their answers
AGENTS_SHARE = 0.7  # agents' connections; more are answered with 503, so that users find a socket
KEEPALIVE_AGENTS_SHARE = 0.6  # agents' connections that are kept open between two heartbeats
TOTAL_SHARE = 0.9  # accepted plus kept outgoing connections; the rest is for store, cloud, peers
MIN_ACCEPTED = 8  # accepted connections, even if the platform allows very few sockets


@dataclass(slots=True, frozen=True)
class SocketLimits:
    """Limits on open connections, from the shares above; each states what happens beyond it."""

    accepted: int
    no_keepalive: int
    agents: int
    keepalive_agents: int
    total: int

    @classmethod
    def of_platform(cls, max_sockets: int) -> SocketLimits:
        """Return the limits on a platform that allows a process `max_sockets` sockets."""
        accepted = max(MIN_ACCEPTED, int(max_sockets * ACCEPTED_SHARE))
        return cls(
            accepted=accepted,
            no_keepalive=min(accepted, max(MIN_ACCEPTED, int(max_sockets * NO_KEEPALIVE_SHARE))),
            agents=min(accepted - 1, max(2, int(max_sockets * AGENTS_SHARE))),
            keepalive_agents=min(accepted - 2, max(1, int(max_sockets * KEEPALIVE_AGENTS_SHARE))),
            total=max(accepted + 1, int(max_sockets * TOTAL_SHARE)),
        )


@dataclass(slots=True, eq=False)
class Connection:
    """An accepted connection."""

    deadline: float  # when it is closed unless something arrives (steady clock, seconds)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)  # cancelled to close it


class ConnectionLimiter:
    """Counts the accepted connections, and decides which of them to close."""

    def __init__(
        self, limits: SocketLimits, is_agent: Callable[[Request], bool], stale_s: float
    ) -> None:
        """Create a limiter without connections.

        Args:
            limits: How many connections may be open.
            is_agent: Returns whether a connection's first request comes from an agent.
            stale_s: Seconds of silence after which an agent no longer uses its connection.
        """
        self.limits = limits
        self.is_agent = is_agent
        self.stale_s = stale_s
        self.accepted: dict[Connection, bool] = {}  # whether each has sent a request yet
        self.agents: dict[Connection, None] = {}
        # Agents' idle connections, and since when they are idle; the longest idle first
        self.idle: dict[Connection, float] = {}

    def opened(self, connection: Connection) -> None:
        """Count a connection that has been accepted."""
        self.accepted[connection] = False

    def closed(self, connection: Connection) -> None:
        """Remove a connection that has ended, whichever side closed it."""
        self.accepted.pop(connection, None)
        self.agents.pop(connection, None)
        self.idle.pop(connection, None)

    def admit(self, connection: Connection, request: Request) -> bool:
        """Return whether to handle a request; False if it is from an agent over the limit."""
        self.idle.pop(connection, None)
        if not self.accepted.get(connection, True):
            self.accepted[connection] = True
            if self.is_agent(request):
                self.agents[connection] = None
        return connection not in self.agents or len(self.agents) <= self.limits.agents

    def must_close(self, connection: Connection, now: float) -> bool:
        """Return whether to close a connection after the answer that is about to be sent on it.

        First closes connections of agents that stopped sending heartbeats, in favour of this one.
        """
        if len(self.accepted) > self.limits.no_keepalive:
            return True
        if connection not in self.agents:
            return False
        self.evict(now)
        return len(self.agents) > self.limits.keepalive_agents

    def answered(self, connection: Connection, now: float) -> None:
        """Record that an answer was sent at `now`, and that the connection stays open."""
        if connection in self.agents:
            self.idle[connection] = now

    def evict(self, now: float) -> int:
        """Close stale connections of agents while too many are open; return how many were closed.

        The longest idle connections are closed first.
        """
        evicted = 0
        excess = max(
            len(self.agents) - self.limits.keepalive_agents,
            len(self.accepted) - self.limits.accepted,
        )
        while evicted < excess and self.idle:
            connection = next(iter(self.idle))
            if now - self.idle[connection] <= self.stale_s:
                break
            self.closed(connection)
            connection.scope.cancel()
            evicted += 1
        return evicted

    def outgoing_capacity(self) -> int:
        """Return how many connections to agents may be kept open besides the accepted ones."""
        return max(1, self.limits.total - len(self.accepted))
