"""How one controller's sockets are shared between users, agents and its own calls.

Agents (the workers' report clients) keep their connections open. Where there are more agents than
sockets, the connections are shared in time: once agents hold `shared` connections, an agent that is
answered on top of them is told to close (`Connection: close`) and connects again for its next
report. The reconnects are thus spread over the report interval, as the reports are. Idle connections
of agents that have gone elsewhere are closed, the longest idle first. Near the limit of accepted
connections users' connections are closed after their answers, too.

Used by `transport.http_server.Server` for the connections that it accepts, and by
`transport.client_pool.ClientPool` for the connections to workers. Nothing is done before a limit is
reached.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ploverhall.transport.http_parser import Request

ACCEPTED_SHARE = 0.8  # of all sockets: accepted connections; beyond that they are told 503
CROWDED_SHARE = 0.75  # accepted connections; beyond that all are closed after their answers
AGENTS_SHARE = 0.7  # agents' connections; beyond that they are told 503, so users find a socket
SHARED_SHARE = 0.6  # agents' connections that are kept open between two reports
TOTAL_SHARE = 0.9  # accepted and kept outgoing ones; the rest is for state, cloud and peers
LEAST_ACCEPTED = 8


@dataclass(slots=True, frozen=True)
class SocketLimits:
    """Numbers of open connections."""

    accepted: int
    crowded: int
    agents: int
    shared: int
    total: int

    @classmethod
    def of_platform(cls, max_sockets: int) -> SocketLimits:
        """Shares of the sockets that the platform allows a process."""
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
    """An accepted connection: when it is closed unless something comes, and what closes it."""

    due: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class ConnectionLimiter:
    """Counts the accepted connections, and says which agents' connections are to be closed."""

    def __init__(
        self, limits: SocketLimits, is_agent: Callable[[Request], bool], stale_s: float
    ) -> None:
        """`is_agent` classifies a connection by its first request.

        An agent that has sent nothing for `stale_s` seconds does not use its connection any more.
        """
        self.limits = limits
        self.is_agent = is_agent
        self.stale_s = stale_s
        self.accepted: dict[Connection, bool] = {}  # whether it has sent a request yet
        self.agents: dict[Connection, None] = {}
        self.idle: dict[Connection, float] = {}  # agents' connections, the longest idle first

    def opened(self, connection: Connection) -> None:
        """A connection has been accepted."""
        self.accepted[connection] = False

    def closed(self, connection: Connection) -> None:
        """A connection has ended, whoever closed it."""
        self.accepted.pop(connection, None)
        self.agents.pop(connection, None)
        self.idle.pop(connection, None)

    def admit(self, connection: Connection, request: Request) -> bool:
        """Whether a request is handled; False when it comes from an agent that is over the limit."""
        self.idle.pop(connection, None)
        if not self.accepted.get(connection, True):
            self.accepted[connection] = True
            if self.is_agent(request):
                self.agents[connection] = None
        return connection not in self.agents or len(self.agents) <= self.limits.agents

    def must_close(self, connection: Connection, now: float) -> bool:
        """Whether a connection is closed after the answer that is about to be sent on it.

        An agent that reports takes the place of one that does not any more.
        """
        if len(self.accepted) > self.limits.crowded:
            return True
        if connection not in self.agents:
            return False
        self.evict(now)
        return len(self.agents) > self.limits.shared

    def answered(self, connection: Connection, now: float) -> None:
        """An answer has been sent, and the connection stays open."""
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
        """How many connections to workers may be kept open beside the accepted ones."""
        return max(1, self.limits.total - len(self.accepted))
