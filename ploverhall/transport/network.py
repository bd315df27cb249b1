"""What carries bytes: the one seam between a controller and the network.

Everything above (HTTP, the links between controllers) is written against `Net`. The real one is TCP; the tests play the
whole composition over one of their own, in virtual time, where every directed link has a state (tests/played.py).
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
from anyio.abc import ByteStream

BACKLOG = 4096  # connections that wait to be accepted: every agent comes at once after a pause
READ_BYTES = 65_536  # read from a stream at once
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
        """A new connection; OSError when it is refused or reset. It may hang: the caller keeps the time."""
        ...

    async def serve(self, host: str, port: int, handler: Handler, backlog: int = BACKLOG) -> None:
        """Accept connections until cancelled, each with a handler of its own."""
        ...


class TcpNetwork:
    """The machine's own TCP."""

    async def connect(self, host: str, port: int) -> ByteStream:
        """See Net."""
        return await anyio.connect_tcp(host, port)

    async def serve(self, host: str, port: int, handler: Handler, backlog: int = BACKLOG) -> None:
        """See Net."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=backlog
        )
        await listener.serve(handler)


TCP_NETWORK = TcpNetwork()
