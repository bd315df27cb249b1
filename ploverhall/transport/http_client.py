"""HTTP/1.1 client that keeps connections to one address and reuses them.

Used for the key-value store, the cloud, and the agents' direct commands.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

import anyio
import anyio.abc
import orjson

from ploverhall.errors import InvalidHttpError, UnreachableError
from ploverhall.transport.http_parser import ResponseReader
from ploverhall.transport.network import CONNECTION_ERRORS, READ_BYTES, TCP_NETWORK, Network

IDLE_CONNECTION_S = 50.0  # a connection that was idle for longer is not used again


class Caller(Protocol):
    """Whatever takes requests to one address: a client, or something that finds another way."""

    async def call(
        self, method: str, target: str, body: object = None, timeout: float = 3.0, hold: float = 0.0
    ) -> tuple[int, object]:
        """One request: status and JSON; UnreachableError when no whole response came in time."""
        ...


class Client:
    """Keeps connections to one address and lends them to one request at a time."""

    def __init__(
        self,
        host: str,
        port: int,
        keep: int = 8,
        network: Network = TCP_NETWORK,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.network = network
        self.clock = clock
        self.host = host
        self.port = port
        self.idle: deque[tuple[anyio.abc.ByteStream, ResponseReader, float]] = deque()
        self.keep = keep

    async def call(
        self, method: str, target: str, body: object = None, timeout: float = 3.0, hold: float = 0.0
    ) -> tuple[int, object]:
        """One request; UnreachableError when no whole response came in `timeout` seconds, and `hold` more where the other side may wait."""
        data = orjson.dumps(body) if body is not None else b""
        try:
            with anyio.fail_after(timeout + hold):
                while True:
                    fresh = not self.idle
                    stream, reader = await self._take()
                    try:
                        status, raw = await self._exchange(stream, reader, method, target, data)
                    except BaseException as error:
                        with anyio.CancelScope(shield=True):
                            await anyio.aclose_forcefully(stream)
                        # an idle connection may have been closed meanwhile; only reads are asked again
                        if method == "GET" and not fresh and isinstance(error, CONNECTION_ERRORS):
                            continue
                        raise
                    await self._give(stream, reader)
                    break
        except (TimeoutError, InvalidHttpError, *CONNECTION_ERRORS) as error:
            raise UnreachableError(f"{method} {target}: {error!r}") from error
        try:
            return status, (orjson.loads(raw) if raw else None)
        except orjson.JSONDecodeError as error:
            raise UnreachableError(f"{method} {target}: not JSON") from error

    async def aclose(self) -> None:
        """Close the kept connections. The client can still be used: it connects again."""
        while self.idle:
            await anyio.aclose_forcefully(self.idle.pop()[0])

    async def _take(self) -> tuple[anyio.abc.ByteStream, ResponseReader]:
        while self.idle:
            stream, reader, since = self.idle.pop()
            if self.clock() - since < IDLE_CONNECTION_S:
                return stream, reader
            await anyio.aclose_forcefully(stream)
        return await self.network.connect(self.host, self.port), ResponseReader()

    async def _give(self, stream: anyio.abc.ByteStream, reader: ResponseReader) -> None:
        if reader.keep and len(self.idle) < self.keep:
            reader.next()
            self.idle.append((stream, reader, self.clock()))
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
        if not target.isascii() or not target.isprintable() or " " in target:
            raise InvalidHttpError(400, "not a target")  # part of it may come from a user
        head = f"{method} {target} HTTP/1.1\r\nhost: {self.host}\r\ncontent-length: {len(data)}\r\n\r\n"
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
