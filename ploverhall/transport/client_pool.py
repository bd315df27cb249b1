"""Pool of HTTP clients for many addresses, with a limit on their open connections.

Used by `controller.agent_commands`, with one kept connection to each address. Without a limit the
kept connections to all agents that were ever sent a command, including agents that are gone, would
use up the process's sockets.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ploverhall.transport.http_client import Client


@dataclass(slots=True)
class PooledClient:
    """A client and the number of its calls in progress."""

    client: Client
    calls: int = 0


class ClientPool:
    """Creates clients on demand, and closes the least recently used ones over the limit."""

    def __init__(self, make: Callable[[str, int], Client], capacity: Callable[[], int]) -> None:
        """Create an empty pool.

        Args:
            make: Returns a client of a host and port.
            capacity: Returns how many connections may be kept at the moment.
        """
        self.make = make
        self.capacity = capacity
        self.clients: dict[tuple[str, int], PooledClient] = {}  # least recently used first

    async def call(
        self, host: str, port: int, method: str, target: str, body: object, timeout: float
    ) -> tuple[int, object]:
        """Send one request; return the HTTP status and the decoded JSON.

        `timeout` is in seconds. Raises `UnreachableError` like `Client.call`.
        """
        key = (host, port)
        pooled = self.clients.pop(key, None)
        if pooled is None:
            pooled = PooledClient(self.make(host, port))
        self.clients[key] = pooled
        pooled.calls += 1
        try:
            await self.trim()
            return await pooled.client.call(method, target, body, timeout)
        finally:
            pooled.calls -= 1

    async def trim(self) -> None:
        """Close the least recently used connections over the limit, except those in use."""
        excess = len(self.clients) - self.capacity()
        if excess <= 0:
            return
        unused = [key for key, pooled in self.clients.items() if pooled.calls == 0][:excess]
        # All are removed before the first await: otherwise a call could use a client that is
        # being closed
        removed = [self.clients.pop(key) for key in unused]
        for pooled in removed:
            await pooled.client.aclose()
