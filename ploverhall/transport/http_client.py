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

IDLE_CONNECTION_S = 50.0  # a connection that was idle for longer is not used again


class Caller(Protocol):
    """Whatever sends requests to one service: a client, or one that falls back to relays."""

    async def call(
        self, method: str, target: str, body: object = None, timeout: float = 3.0, hold: float = 0.0
    ) -> tuple[int, object]:
        """Send one request and return status and JSON.

        `timeout` is in seconds; `hold` is added to it where the service may wait that long before
        it answers. Raises UnreachableError when no complete response came in that time.
        """
        ...


class _IdleConnection(NamedTuple):
    """A connection that waits for its next request."""

    stream: anyio.abc.ByteStream
    reader: ResponseReader
    since: float


class Client:
    """Keeps connections to one address, each for one request at a time."""

    def __init__(
        self,
        host: str,
        port: int,
        keep: int = 8,
        network: Network = TCP_NETWORK,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`keep`: idle connections that are kept at most."""
        self.network = network
        self.clock = clock
        self.host = host
        self.port = port
        self.idle: deque[_IdleConnection] = deque()  # the most recently used last
        self.keep = keep

    async def call(
        self, method: str, target: str, body: object = None, timeout: float = 3.0, hold: float = 0.0
    ) -> tuple[int, object]:
        """See Caller."""
        data = orjson.dumps(body) if body is not None else b""
        try:
            with anyio.fail_after(timeout + hold):
                status, response = await self._request(method, target, data)
        except (TimeoutError, InvalidHttpError, *CONNECTION_ERRORS) as error:
            raise UnreachableError(f"{method} {target}: {error!r}") from error
        try:
            return status, (orjson.loads(response) if response else None)
        except orjson.JSONDecodeError as error:
            raise UnreachableError(f"{method} {target}: not JSON") from error

    async def _request(self, method: str, target: str, data: bytes) -> tuple[int, bytes]:
        """Return status and body, from an idle connection if there is one.

        An idle connection may have been closed by the other side meanwhile. A read is repeated
        then; a write is not, since it may have been executed.
        """
        while True:
            is_new = not self.idle
            stream, reader = await self._take()
            try:
                status, response = await self._exchange(stream, reader, method, target, data)
            except BaseException as error:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)
                if method == "GET" and not is_new and isinstance(error, CONNECTION_ERRORS):
                    continue
                raise
            await self._give(stream, reader)
            return status, response

    async def aclose(self) -> None:
        """Close the idle connections. The client can still be used: it connects again."""
        while self.idle:
            await anyio.aclose_forcefully(self.idle.pop().stream)

    async def _take(self) -> tuple[anyio.abc.ByteStream, ResponseReader]:
        """Return an idle connection, or a new one."""
        while self.idle:
            stream, reader, since = self.idle.pop()
            if self.clock() - since < IDLE_CONNECTION_S:
                return stream, reader
            await anyio.aclose_forcefully(stream)
        return await self.network.connect(self.host, self.port), ResponseReader()

    async def _give(self, stream: anyio.abc.ByteStream, reader: ResponseReader) -> None:
        """Keep a connection for the next request, or close it."""
        if reader.keep and len(self.idle) < self.keep:
            reader.next()
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
        # Part of a target may come from a user: a line end in it would begin another request
        if not target.isascii() or not target.isprintable() or " " in target:
            raise InvalidHttpError(400, "not a target")
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
                reader.keep = False
        return reader.status, bytes(reader.body)
