"""HTTP clients of many addresses, each with one kept connection, within a number of open sockets.

Used by `controller.agent_commands`. Without a bound the kept connections of all agents that were
ever sent a command, gone ones included, fill the process's sockets.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ploverhall.transport.http_client import Client


@dataclass(slots=True)
class PooledClient:
    """A client, and the number of calls that use it now."""

    client: Client
    calls: int = 0


class ClientPool:
    """Makes clients as they are needed, and closes the least recently used ones over the limit."""

    def __init__(self, make: Callable[[str, int], Client], room: Callable[[], int]) -> None:
        """`make` returns a client of a host and port.

        `room` returns how many connections may be kept at the moment.
        """
        self.make = make
        self.room = room
        self.clients: dict[tuple[str, int], PooledClient] = {}  # least recently used first

    async def call(
        self, host: str, port: int, method: str, target: str, body: object, timeout: float
    ) -> tuple[int, object]:
        """Send one request and return status and JSON. Raises UnreachableError like `Client.call`.

        `timeout` is in seconds.
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
        """Close the least recently used connections over the limit, but none that is in use."""
        excess = len(self.clients) - self.room()
        if excess <= 0:
            return
        unused = [key for key, pooled in self.clients.items() if pooled.calls == 0][:excess]
        # All are removed before the first wait: else a call could take one that is being closed
        removed = [self.clients.pop(key) for key in unused]
        for pooled in removed:
            await pooled.client.aclose()
