"""HTTP/1.1 client that keeps connections to one address and reuses them.

Used for the key-value store, the cloud, and (through `client_pool`) the agents.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

import anyio
import anyio.abc
import orjson

from ploverhall.errors import InvalidHttpError, UnreachableError
from ploverhall.transport.http_parser import ResponseReader
from ploverhall.transport.network import CONNECTION_ERRORS, READ_BYTES, TCP_NETWORK, Network

IDLE_CONNECTION_S = 50.0  # a connection that has been idle for longer is not reused


class Caller(Protocol):
    """Interface for sending requests to one service, directly or with relays as a fallback."""

    async def call(
        self, method: str, target: str, body: object = None, timeout: float = 3.0, hold: float = 0.0
    ) -> tuple[int, object]:
        """Send one request; return the HTTP status and the decoded JSON.

        `timeout` and `hold` are in seconds. `hold` is added to `timeout` for a watch, which the
        service may hold for so long before it answers. Raises `UnreachableError` if no complete
        response arrives within that time.
        """
        ...


class _IdleConnection(NamedTuple):
    """A connection that can be reused, and since when it is idle."""

    stream: anyio.abc.ByteStream
    reader: ResponseReader
    since: float


class Client:
    """HTTP client of one address, with a pool of connections for one request at a time each."""

    def __init__(
        self,
        host: str,
        port: int,
        max_idle: int = 8,
        network: Network = TCP_NETWORK,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a client without connections; it keeps up to `max_idle` idle ones."""
        self.network = network
        self.clock = clock
        self.host = host
        self.port = port
        self.idle: deque[_IdleConnection] = deque()  # the most recently used last
        self.max_idle = max_idle

    async def call(
        self, method: str, target: str, body: object = None, timeout: float = 3.0, hold: float = 0.0
    ) -> tuple[int, object]:
        """Send one request as described in `Caller.call`."""
        data = orjson.dumps(body) if body is not None else b""
        try:
            with anyio.fail_after(timeout + hold):
                status, response = await self._request(method, target, data)
        except (TimeoutError, InvalidHttpError, *CONNECTION_ERRORS) as error:
            raise UnreachableError(f"{method} {target!r:.200}: {error!r}") from error
        try:
            return status, (orjson.loads(response) if response else None)
        except orjson.JSONDecodeError as error:
            raise UnreachableError(f"{method} {target!r:.200}: the response is not JSON") from error

    async def _request(self, method: str, target: str, data: bytes) -> tuple[int, bytes]:
        """Send a request, on an idle connection if there is one; return status and body.

        The server may have closed an idle connection in the meantime. A read is then repeated; a
        write is not, since it may have been executed.
        """
        while True:
            is_new = not self.idle
            stream, reader = await self._acquire_connection()
            try:
                status, response = await self._exchange(stream, reader, method, target, data)
            except BaseException as error:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)
                if method == "GET" and not is_new and isinstance(error, CONNECTION_ERRORS):
                    continue
                raise
            await self._release_connection(stream, reader)
            return status, response

    async def aclose(self) -> None:
        """Close the idle connections; the client can still be used and connects again."""
        while self.idle:
            await anyio.aclose_forcefully(self.idle.pop().stream)

    async def _acquire_connection(self) -> tuple[anyio.abc.ByteStream, ResponseReader]:
        """Return an idle connection that is fresh enough to reuse, or a new one."""
        while self.idle:
            stream, reader, since = self.idle.pop()
            if self.clock() - since < IDLE_CONNECTION_S:
                return stream, reader
            await anyio.aclose_forcefully(stream)
        return await self.network.connect(self.host, self.port), ResponseReader()

    async def _release_connection(
        self, stream: anyio.abc.ByteStream, reader: ResponseReader
    ) -> None:
        """Keep a connection for the next request, or close it if it cannot or need not be kept."""
        if reader.keep_alive and len(self.idle) < self.max_idle:
            reader.start_next()
            self.idle.append(_IdleConnection(stream, reader, self.clock()))
        else:
            await anyio.aclose_forcefully(stream)

    async def _exchange(
        self,
        stream: anyio.abc.ByteStream,
        reader: ResponseReader,
        method: str,
        target: str,
        data: bytes,
    ) -> tuple[int, bytes]:
        """Send one request and read its response; return status and body."""
        # Part of a target may come from a user: a line end in it would begin another request
        if not target.isascii() or not target.isprintable() or " " in target:
            raise InvalidHttpError(400, "request target is not printable ASCII without spaces")
        head = (
            f"{method} {target} HTTP/1.1\r\n"
            f"host: {self.host}\r\n"
            f"content-length: {len(data)}\r\n"
            "\r\n"
        )
        await stream.send(head.encode("ascii") + data)
        while not reader.done:
            try:
                reader.feed(await stream.receive(READ_BYTES))
            except anyio.EndOfStream:
                if not reader.eof():
                    raise
                reader.done = True
                reader.keep_alive = False
        return reader.status, bytes(reader.body)
