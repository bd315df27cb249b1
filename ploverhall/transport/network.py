"""Interface between a controller and the network, and its implementation with TCP.

HTTP and the links between controllers use `Network`. Tests run whole clusters in virtual time over
a simulated network, in which every directed link has its own state
(tests/simulation/simulated_network.py).
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
from anyio.abc import ByteStream

BACKLOG = 4096  # connections waiting to be accepted: after a pause all agents connect at once
READ_BYTES = 65_536  # most bytes read from a stream at once
# Errors that reading from and writing to a stream raise when the connection is lost
CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
Handler = Callable[[Any], Awaitable[None]]


class Network(Protocol):
    """Interface that opens connections to addresses and listens on them."""

    async def connect(self, host: str, port: int) -> ByteStream:
        """Return a new connection; raises `OSError` if it is refused or reset.

        Connecting may hang for ever, so callers set a time limit.
        """
        ...

    async def serve(self, host: str, port: int, handler: Handler, backlog: int = BACKLOG) -> None:
        """Accept connections until cancelled, and call `handler` with each, concurrently.

        Raises `OSError` if it cannot listen on the address.
        """
        ...


class TcpNetwork:
    """Network of TCP sockets on this host."""

    async def connect(self, host: str, port: int) -> ByteStream:
        """Open a TCP connection as described in `Network.connect`."""
        return await anyio.connect_tcp(host, port)

    async def serve(self, host: str, port: int, handler: Handler, backlog: int = BACKLOG) -> None:
        """Accept TCP connections as described in `Network.serve`."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=backlog
        )
        await listener.serve(handler)


TCP_NETWORK = TcpNetwork()
