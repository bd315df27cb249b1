"""HTTP/1.1 server for many small requests on persistent connections.

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

SWEEP_INTERVAL_S = 0.1  # how often connections are checked for expired deadlines
BUSY_RETRY_S = 1.0  # Retry-After in answers to clients over a limit
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
    """A handler's reply to a request."""

    status: int
    body: object = None  # JSON; None is sent as an empty object
    retry_after: float | None = None  # seconds, sent as Retry-After
    close: bool = False  # close the connection after this reply
    on_sent: Callable[[], None] | None = None  # called once the reply has been sent


Handler = Callable[[Request], Awaitable[Reply]]


def encode(reply: Reply, head_only: bool = False) -> bytes:
    """Return the bytes of a reply; without the body if `head_only`, as for a HEAD request."""
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
    """Return the reply to a client that is over a limit; its connection is closed."""
    return Reply(503, {"error": "busy"}, BUSY_RETRY_S, True)


class Server:
    """HTTP server of one listener."""

    def __init__(
        self,
        handler: Handler,
        max_connections: int,
        idle_s: float = 120.0,
        slow_s: float = 10.0,
        network: Network = TCP_NETWORK,
        clock: Callable[[], float] = time.monotonic,
        limiter: ConnectionLimiter | None = None,
    ) -> None:
        """Create a server; `run` starts it.

        Args:
            handler: Answers the requests, one at a time for each connection.
            max_connections: Any more connections are answered with 503 and closed.
            idle_s: Seconds between two requests after which a connection is closed.
            slow_s: Seconds after which a connection is closed if the client has not finished
                sending a request or receiving an answer.
            network: Accepts the connections.
            clock: Steady clock, in seconds.
            limiter: Makes agents take turns if they hold too many connections; None for no limit.
        """
        self.network = network
        self.clock = clock
        self.handler = handler
        self.max_connections = max_connections
        self.idle_s = idle_s
        self.slow_s = slow_s
        self.limiter = limiter
        # In order of acceptance. Not a set, as its order would differ from run to run
        self.connections: dict[Connection, None] = {}

    async def run(self, host: str, port: int) -> None:
        """Listen and serve until cancelled; raises `OSError` if it cannot listen on the address."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._sweep)
            await self.network.serve(host, port, self._serve)

    async def _sweep(self) -> None:
        """Close connections past their deadline; cheaper than a time limit for every read."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            now = self.clock()
            for connection in self.connections:
                if now > connection.deadline:
                    connection.scope.cancel()
            if self.limiter is not None:
                # Also closes connections that became idle since the last answer, while other
                # connections still wait for theirs
                self.limiter.evict(now)

    async def _serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serve one accepted connection until it ends; reply 503 if there are too many."""
        connection = Connection(self.clock() + self.idle_s)
        self.connections[connection] = None
        if self.limiter is not None:
            self.limiter.opened(connection)
        try:
            with connection.scope:
                async with stream:
                    if len(self.connections) <= self.max_connections or self._evict():
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
        """Close stale connections of agents; return whether any was closed."""
        return self.limiter is not None and self.limiter.evict(self.clock()) > 0

    async def _answer(self, request: Request, connection: Connection) -> Reply:
        """Return the reply to a request; the limiter may refuse the request or set `close`."""
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
            error = _parse_received(reader, await stream.receive(READ_BYTES))
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
                connection.deadline = self.clock() + self.slow_s  # for the rest of this request
            if reader.expects_continue and not reader.in_head:
                reader.expects_continue = False
                await stream.send(CONTINUE)

    async def _serve_request(
        self, stream: anyio.abc.ByteStream, connection: Connection, request: Request
    ) -> Reply:
        """Answer one request, and return the reply that has been sent."""
        connection.deadline = math.inf  # none: the handler has its own time limits
        reply = await self._answer(request, connection)
        reply.close = reply.close or request.close
        await self._send(stream, connection, reply, request.method == "HEAD")
        if reply.on_sent is not None:
            reply.on_sent()
        if not reply.close:
            connection.deadline = self.clock() + self.idle_s
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
        """Send a reply; the connection is closed if that takes longer than `slow_s`."""
        connection.deadline = self.clock() + self.slow_s
        await stream.send(encode(reply, head_only))


def _parse_received(reader: RequestReader, data: bytes) -> InvalidHttpError | None:
    """Parse received bytes; return an error to answer after the complete requests before it."""
    try:
        reader.feed(data)
    except InvalidHttpError as error:
        return error
    return None
