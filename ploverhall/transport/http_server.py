"""HTTP/1.1 server for many small requests on kept-alive connections.

Owns the accepted connections of one listener. `controller.controller` starts one for users, agents,
operators and the load balancer; `controller.http_routes` handles its requests.
"""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import anyio.abc
import orjson

from ploverhall.errors import InvalidHttpError
from ploverhall.transport.connection_limit import Connection, ConnectionLimiter
from ploverhall.transport.http_parser import Request, RequestReader
from ploverhall.transport.network import CONNECTION_ERRORS, READ_BYTES, TCP_NETWORK, Network

SWEEP_INTERVAL_S = 0.1  # how often connections are checked for passed deadlines
BUSY_RETRY_S = 1.0  # told to clients that are over a limit
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

REASON_PHRASES = {
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
    """What a handler answers."""

    status: int
    body: object = None  # JSON; None is sent as an empty object
    retry_after: float | None = None  # seconds, sent as Retry-After
    close: bool = False  # close the connection after it
    sent: Callable[[], None] | None = None  # called once it has been sent


Handler = Callable[[Request], Awaitable[Reply]]


def encode(reply: Reply, head_only: bool = False) -> bytes:
    """Return a reply's bytes; `head_only` for a HEAD request, whose answer has no body."""
    body = orjson.dumps(reply.body) if reply.body is not None else b"{}"
    head = (
        f"HTTP/1.1 {reply.status} {REASON_PHRASES.get(reply.status, '')}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n"
    )
    if reply.retry_after is not None:
        head += f"retry-after: {max(1, round(reply.retry_after))}\r\n"
    if reply.close:
        head += "connection: close\r\n"
    return head.encode() + b"\r\n" + (b"" if head_only else body)


def _busy() -> Reply:
    return Reply(503, {"error": "busy"}, BUSY_RETRY_S, True)


class Server:
    """Serves one listener."""

    def __init__(
        self,
        handler: Handler,
        cap: int,
        idle_s: float = 120.0,
        slow_s: float = 10.0,
        network: Network = TCP_NETWORK,
        clock: Callable[[], float] = time.monotonic,
        limiter: ConnectionLimiter | None = None,
    ) -> None:
        """`handler` answers the requests, one at a time for each connection.

        More than `cap` connections are answered 503 and closed. A connection is closed after
        `idle_s` seconds between two requests, and after `slow_s` seconds in which a client did not
        finish sending a request or receiving an answer. A `limiter` shares the connections in time
        where agents hold too many of them.
        """
        self.network = network
        self.clock = clock
        self.handler = handler
        self.cap = cap
        self.idle_s = idle_s
        self.slow_s = slow_s
        self.limiter = limiter
        # By time of acceptance. No set: its order would differ from run to run
        self.connections: dict[Connection, None] = {}

    async def run(self, host: str, port: int) -> None:
        """Listen and serve until cancelled. Raises OSError if the address can't be listened on."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._sweep)
            await self.network.serve(host, port, self._serve)

    async def _sweep(self) -> None:
        """Close connections that are past their time; cheaper than a time limit for every read."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            now = self.clock()
            for connection in self.connections:
                if now > connection.due:
                    connection.scope.cancel()
            if self.limiter is not None:
                # Connections that fell idle since the last answer, while others still wait for theirs
                self.limiter.evict(now)

    async def _serve(self, stream: anyio.abc.ByteStream) -> None:
        connection = Connection(self.clock() + self.idle_s)
        self.connections[connection] = None
        if self.limiter is not None:
            self.limiter.opened(connection)
        try:
            with connection.scope:
                async with stream:
                    if len(self.connections) <= self.cap or self._evict():
                        await self._serve_requests(stream, connection)
                    else:
                        await self._send(stream, connection, _busy())
        except CONNECTION_ERRORS:
            pass
        finally:
            self.connections.pop(connection, None)
            if self.limiter is not None:
                self.limiter.closed(connection)

    def _evict(self) -> bool:
        """Close unused connections of agents; False where there is none."""
        return self.limiter is not None and self.limiter.evict(self.clock()) > 0

    async def _answer(self, request: Request, connection: Connection) -> Reply:
        """Return the answer to a request, with `close` as the limiter decides."""
        if self.limiter is None:
            return await self.handler(request)
        if not self.limiter.admit(connection, request):
            return _busy()
        reply = await self.handler(request)
        reply.close = reply.close or self.limiter.must_close(connection, self.clock())
        return reply

    async def _serve_requests(self, stream: anyio.abc.ByteStream, connection: Connection) -> None:
        """Answer one request after another until one side wants the connection closed."""
        reader = RequestReader()
        while True:
            in_message = reader.message_begun
            error = _feed(reader, await stream.receive(READ_BYTES))
            while reader.ready:
                reply = await self._serve_request(stream, connection, reader.ready.popleft())
                if reply.close:
                    return
                in_message = False
            if error is not None:
                reply = Reply(error.status, {"error": str(error)}, close=True)
                await self._send(stream, connection, reply)
                return
            if reader.message_begun and not in_message:
                connection.due = self.clock() + self.slow_s  # for the rest of this request
            if reader.expects and not reader.in_head:
                reader.expects = False
                await stream.send(CONTINUE)

    async def _serve_request(
        self, stream: anyio.abc.ByteStream, connection: Connection, request: Request
    ) -> Reply:
        """Answer one request, and return the reply that was sent."""
        connection.due = math.inf  # the handler sets its own time limits
        reply = await self._answer(request, connection)
        reply.close = reply.close or request.close
        await self._send(stream, connection, reply, request.method == "HEAD")
        if reply.sent is not None:
            reply.sent()
        if not reply.close:
            connection.due = self.clock() + self.idle_s
            if self.limiter is not None:
                self.limiter.answered(connection, self.clock())
        return reply

    async def _send(
        self,
        stream: anyio.abc.ByteStream,
        connection: Connection,
        reply: Reply,
        head_only: bool = False,
    ) -> None:
        connection.due = self.clock() + self.slow_s
        await stream.send(encode(reply, head_only))


def _feed(reader: RequestReader, data: bytes) -> InvalidHttpError | None:
    """Parse bytes; an error is returned, to be answered after the requests that came before it."""
    try:
        reader.feed(data)
    except InvalidHttpError as error:
        return error
    return None
