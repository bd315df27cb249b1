"""The interface between a controller and the network, and its implementation with TCP.

HTTP and the links between controllers are written against `Network`. Tests run whole clusters over
a simulated one in virtual time, where every directed link has a state (tests/simulation/simulated_network.py).
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
from anyio.abc import ByteStream

BACKLOG = 4096  # connections that wait to be accepted: every agent comes at once after a pause
READ_BYTES = 65_536  # most bytes read from a stream at once
# What reading from and writing to a stream raise when the connection is lost
CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
Handler = Callable[[Any], Awaitable[None]]


class Network(Protocol):
    """Connections to addresses, and listeners on them."""

    async def connect(self, host: str, port: int) -> ByteStream:
        """Return a new connection. Raises OSError when it is refused or reset.

        It may hang for ever: callers set a time limit.
        """
        ...

    async def serve(self, host: str, port: int, handler: Handler, backlog: int = BACKLOG) -> None:
        """Accept connections until cancelled, and call `handler` with each, concurrently.

        Raises OSError when the address cannot be listened on.
        """
        ...


class TcpNetwork:
    """TCP sockets of this host."""

    async def connect(self, host: str, port: int) -> ByteStream:
        """See Network."""
        return await anyio.connect_tcp(host, port)

    async def serve(self, host: str, port: int, handler: Handler, backlog: int = BACKLOG) -> None:
        """See Network."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=backlog
        )
        await listener.serve(handler)


TCP_NETWORK = TcpNetwork()
