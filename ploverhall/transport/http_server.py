"""HTTP/1.1 server for many small requests on kept-alive connections.

Owns the accepted connections of one listener. `controller.controller` starts one for users, agents,
operators and the load balancer; `controller.http_routes` handles its requests.
"""

from __future__ import annotations

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
    """What the handler answers: a JSON value, and when to come back if it says no."""

    status: int
    body: object = None
    retry_after: float | None = None
    close: bool = False
    sent: Callable[[], None] | None = None


Handler = Callable[[Request], Awaitable[Reply]]


def encode(reply: Reply, head_only: bool = False) -> bytes:
    """A reply as it goes out."""
    body = orjson.dumps(reply.body) if reply.body is not None else b"{}"
    head = f"HTTP/1.1 {reply.status} {REASON_PHRASES.get(reply.status, '')}\r\ncontent-type: application/json\r\ncontent-length: {len(body)}\r\n"
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
        network: Network = TCP_NETWORK,
        clock: Callable[[], float] = time.monotonic,
        limiter: ConnectionLimiter | None = None,
    ) -> None:
        self.network = network
        self.clock = clock
        self.handler = handler
        self.cap = cap
        self.idle_s = idle_s
        self.slow_s = slow_s
        self.limiter = limiter
        # In the order they came: a set's would be that of their addresses in memory
        self.connections: dict[Connection, None] = {}

    async def run(self, host: str, port: int) -> None:
        """Listen and serve until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._sweep)
            await self.network.serve(host, port, self._serve)

    async def _sweep(self) -> None:
        """End the connections that are too slow: one look at all of them instead of a time limit for every read."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            now = self.clock()
            for connection in self.connections:
                if now > connection.due:
                    connection.scope.cancel()
            if self.limiter is not None:
                self.limiter.evict(now)

    async def _serve(self, stream: anyio.abc.ByteStream) -> None:
        connection = Connection(self.clock() + self.idle_s)
        self.connections[connection] = None
        if self.limiter is not None:
            self.limiter.opened(connection)
        try:
            with connection.scope:
                async with stream:
                    if len(self.connections) > self.cap and not self._evict():
                        connection.due = self.clock() + self.slow_s
                        await stream.send(encode(Reply(503, {"error": "busy"}, 1.0, True)))
                        return
                    await self._serve_requests(stream, connection)
        except CONNECTION_ERRORS:
            pass
        finally:
            self.connections.pop(connection, None)
            if self.limiter is not None:
                self.limiter.closed(connection)

    def _evict(self) -> bool:
        """Make room for a new connection; False where there is none to be made."""
        return self.limiter is not None and self.limiter.evict(self.clock()) > 0

    async def _answer(self, request: Request, connection: Connection) -> Reply:
        """What a request is answered, and whether its connection is closed after that."""
        if self.limiter is None:
            return await self.handler(request)
        if not self.limiter.admit(connection, request):
            return Reply(503, {"error": "busy"}, 1.0, True)
        reply = await self.handler(request)
        reply.close = reply.close or self.limiter.must_close(connection, self.clock())
        return reply

    async def _serve_requests(self, stream: anyio.abc.ByteStream, connection: Connection) -> None:
        reader = RequestReader()
        while True:
            invalid: InvalidHttpError | None = None
            message_begun = reader.message_begun
            data = await stream.receive(READ_BYTES)
            try:
                reader.feed(data)
            except InvalidHttpError as error:
                invalid = error
            while reader.ready:
                request = reader.ready.popleft()
                connection.due = float("inf")  # the handler keeps its own time
                reply = await self._answer(request, connection)
                reply.close = reply.close or request.close
                connection.due = self.clock() + self.slow_s
                await stream.send(encode(reply, request.method == "HEAD"))
                if reply.sent is not None:
                    reply.sent()
                if reply.close:
                    return
                message_begun = False
                connection.due = self.clock() + self.idle_s
                if self.limiter is not None:
                    self.limiter.answered(connection, self.clock())
            if invalid is not None:
                connection.due = self.clock() + self.slow_s
                await stream.send(
                    encode(Reply(invalid.status, {"error": str(invalid)}, None, True))
                )
                return
            if reader.message_begun and not message_begun:
                # A slow client gets this long for the rest of it
                connection.due = self.clock() + self.slow_s
            if reader.expects and not reader.in_head:
                reader.expects = False
                await stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
