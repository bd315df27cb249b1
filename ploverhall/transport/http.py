"""HTTP/1.1 on anyio streams: a server for many small requests and a pooled client."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import anyio
import anyio.abc
import orjson

from ploverhall.errors import InvalidHttpError, UnreachableError
from ploverhall.transport.connection_limit import Connection, ConnectionLimiter
from ploverhall.transport.http_parser import Request, RequestReader, ResponseReader
from ploverhall.transport.network import TCP_NETWORK, Network

READ = 65536
SWEEP_S = 0.1  # how often connections are looked at whose time is over

REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Too Large",
    421: "Misdirected",
    422: "Unprocessable",
    429: "Too Many",
    431: "Header Too Large",
    503: "Unavailable",
}


@dataclass(slots=True)
class Reply:
    """What the handler answers: a JSON value, and when to come back if it says no."""

    status: int
    body: object = None
    retry_after: float | None = None
    close: bool = False
    sent: Callable[[], None] | None = None


Handler = Callable[[Request], Awaitable[Reply]]
_BROKEN = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


def encode(reply: Reply, head_only: bool = False) -> bytes:
    """A reply as it goes out."""
    body = orjson.dumps(reply.body) if reply.body is not None else b"{}"
    head = f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, '')}\r\ncontent-type: application/json\r\ncontent-length: {len(body)}\r\n"
    if reply.retry_after is not None:
        head += f"retry-after: {max(1, round(reply.retry_after))}\r\n"
    if reply.close:
        head += "connection: close\r\n"
    return head.encode() + b"\r\n" + (b"" if head_only else body)


class Server:
    """Serves one listener. Connections over the cap are told 503 and closed, so others keep their sockets.

    A `limiter` shares the connections in time where agents hold too many of them.
    """

    def __init__(
        self,
        handler: Handler,
        cap: int,
        idle_s: float = 120.0,
        slow_s: float = 10.0,
        net: Network = TCP_NETWORK,
        clock: Callable[[], float] = time.monotonic,
        limiter: ConnectionLimiter | None = None,
    ) -> None:
        self.net, self.clock = net, clock
        self.handler = handler
        self.cap = cap
        self.idle_s = idle_s
        self.slow_s = slow_s
        self.limiter = limiter
        self.connections: dict[
            Connection, None
        ] = {}  # in the order they came: a set's would be that of their addresses in memory

    async def run(self, host: str, port: int) -> None:
        """Listen and serve until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._sweep)
            await self.net.serve(host, port, self._serve)

    async def _sweep(self) -> None:
        """End the connections that are too slow: one look at all of them instead of a time limit for every read."""
        while True:
            await anyio.sleep(SWEEP_S)
            now = self.clock()
            for c in self.connections:
                if now > c.due:
                    c.scope.cancel()
            if self.limiter is not None:
                self.limiter.evict(now)

    async def _serve(self, stream: anyio.abc.ByteStream) -> None:
        c = Connection(self.clock() + self.idle_s)
        self.connections[c] = None
        if self.limiter is not None:
            self.limiter.opened(c)
        try:
            with c.scope:
                async with stream:
                    if len(self.connections) > self.cap and not self._evict():
                        c.due = self.clock() + self.slow_s
                        await stream.send(encode(Reply(503, {"error": "busy"}, 1.0, True)))
                        return
                    await self._talk(stream, c)
        except _BROKEN:
            pass
        finally:
            self.connections.pop(c, None)
            if self.limiter is not None:
                self.limiter.closed(c)

    def _evict(self) -> bool:
        """Make room for a new connection; False where there is none to be made."""
        return self.limiter is not None and self.limiter.evict(self.clock()) > 0

    async def _answer(self, request: Request, c: Connection) -> Reply:
        """What a request is answered, and whether its connection is closed after that."""
        if self.limiter is None:
            return await self.handler(request)
        if not self.limiter.admit(c, request):
            return Reply(503, {"error": "busy"}, 1.0, True)
        reply = await self.handler(request)
        reply.close = reply.close or self.limiter.must_close(c, self.clock())
        return reply

    async def _talk(self, stream: anyio.abc.ByteStream, c: Connection) -> None:
        reader = RequestReader()
        while True:
            bad: InvalidHttpError | None = None
            begun = reader.message_begun
            data = await stream.receive(READ)
            try:
                reader.feed(data)
            except InvalidHttpError as error:
                bad = error
            while reader.ready:
                request = reader.ready.popleft()
                c.due = float("inf")  # the handler keeps its own time
                reply = await self._answer(request, c)
                reply.close = reply.close or request.close
                c.due = self.clock() + self.slow_s
                await stream.send(encode(reply, request.method == "HEAD"))
                if reply.sent is not None:
                    reply.sent()
                if reply.close:
                    return
                begun = False
                c.due = self.clock() + self.idle_s
                if self.limiter is not None:
                    self.limiter.answered(c, self.clock())
            if bad is not None:
                c.due = self.clock() + self.slow_s
                await stream.send(encode(Reply(bad.status, {"error": str(bad)}, None, True)))
                return
            if reader.message_begun and not begun:
                c.due = (
                    self.clock() + self.slow_s
                )  # a slow client gets this long for the rest of it
            if reader.expects and not reader.in_head:
                reader.expects = False
                await stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")


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
        net: Network = TCP_NETWORK,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.net, self.clock = net, clock
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
                        if method == "GET" and not fresh and isinstance(error, _BROKEN):
                            continue
                        raise
                    await self._give(stream, reader)
                    break
        except (TimeoutError, InvalidHttpError, *_BROKEN) as error:
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
            if self.clock() - since < 50:
                return stream, reader
            await anyio.aclose_forcefully(stream)
        return await self.net.connect(self.host, self.port), ResponseReader()

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
                reader.feed(await stream.receive(READ))
            except anyio.EndOfStream:
                if not reader.eof():
                    raise
                reader.done, reader.keep = True, False
        return reader.status, bytes(reader.body)
