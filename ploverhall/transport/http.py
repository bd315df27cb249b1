"""HTTP/1.1 on anyio streams with h11: a server for many small requests and a pooled client."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl

import anyio
import anyio.abc
import h11
import orjson

MAX_BODY = 64 * 1024
READ = 65536

REASONS = {200: b"OK", 201: b"Created", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
           413: b"Too Large", 421: b"Misdirected", 422: b"Unprocessable", 429: b"Too Many", 503: b"Unavailable"}


class Unreachable(Exception):
    """No whole response came; the request may or may not have been carried out."""


@dataclass(slots=True)
class Request:
    """One request, its body read."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


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


class Server:
    """Serves one listener. Connections over the cap are told 503 and closed, so others keep their sockets."""

    def __init__(self, handler: Handler, cap: int, idle_s: float = 120.0, slow_s: float = 10.0) -> None:
        self.handler = handler
        self.cap = cap
        self.idle_s = idle_s
        self.slow_s = slow_s
        self.open = 0

    async def run(self, host: str, port: int) -> None:
        """Listen and serve until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=512)
        await listener.serve(self._serve)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        self.open += 1
        try:
            async with stream:
                if self.open > self.cap:
                    await self._send(stream, h11.Connection(h11.SERVER), Reply(503, {"error": "busy"}, 1.0, True))
                    return
                await self._talk(stream)
        except _BROKEN:
            pass
        except TimeoutError:
            pass
        finally:
            self.open -= 1

    async def _talk(self, stream: anyio.abc.SocketStream) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=16384)
        while True:
            try:
                request = await self._read(stream, conn)
            except h11.RemoteProtocolError as e:
                if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await self._send(stream, conn, Reply(e.error_status_hint or 400, {"error": "bad http"}, None, True))
                return
            if request is None:
                return
            reply = request if isinstance(request, Reply) else await self.handler(request)
            await self._send(stream, conn, reply)
            if reply.sent is not None:
                reply.sent()
            if reply.close or conn.our_state is h11.MUST_CLOSE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _read(self, stream: anyio.abc.SocketStream, conn: h11.Connection) -> Request | Reply | None:
        head: h11.Request | None = None
        body = bytearray()
        deadline = time.monotonic() + self.idle_s
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if conn.they_are_waiting_for_100_continue:
                    await stream.send(conn.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
                with anyio.fail_after(max(0.001, deadline - time.monotonic())):
                    try:
                        data = await stream.receive(READ)
                    except anyio.EndOfStream:
                        data = b""
                if head is None and conn.trailing_data[0] == b"" and data:
                    # a request has begun: a slow client gets this long for the rest of it
                    deadline = time.monotonic() + self.slow_s
                conn.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY:
                    return Reply(413, {"error": "body over 64 KiB"}, None, True)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                path, _, query = head.target.decode("latin-1").partition("?")
                return Request(head.method.decode("latin-1"), path, dict(parse_qsl(query)), bytes(body))
            else:
                return None

    async def _send(self, stream: anyio.abc.SocketStream, conn: h11.Connection, reply: Reply) -> None:
        body = orjson.dumps(reply.body) if reply.body is not None else b"{}"
        headers = [(b"content-type", b"application/json"), (b"content-length", str(len(body)).encode())]
        if reply.retry_after is not None:
            headers.append((b"retry-after", str(max(1, round(reply.retry_after))).encode()))
        if reply.close:
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=reply.status, headers=headers, reason=REASONS.get(reply.status, b""))
        out = (conn.send(head) or b"") + (conn.send(h11.Data(data=body)) or b"") + (conn.send(h11.EndOfMessage()) or b"")
        with anyio.fail_after(self.slow_s):
            await stream.send(out)


class Client:
    """Keeps connections to one address and lends them to one request at a time."""

    def __init__(self, host: str, port: int, keep: int = 8) -> None:
        self.host = host
        self.port = port
        self.idle: deque[tuple[anyio.abc.SocketStream, h11.Connection, float]] = deque()
        self.keep = keep

    async def call(self, method: str, target: str, body: object = None, timeout: float = 3.0) -> tuple[int, object]:
        """One request; Unreachable when no whole response came in time."""
        data = orjson.dumps(body) if body is not None else b""
        try:
            with anyio.fail_after(timeout):
                while True:
                    fresh = not self.idle
                    stream, conn = await self._take()
                    try:
                        status, raw = await self._exchange(stream, conn, method, target, data)
                    except BaseException as e:
                        with anyio.CancelScope(shield=True):
                            await anyio.aclose_forcefully(stream)
                        # an idle connection may have been closed meanwhile; only reads are asked again
                        # (h11 says RemoteProtocolError when one ends before its first byte)
                        if method == "GET" and not fresh and isinstance(e, (h11.RemoteProtocolError, *_BROKEN)):
                            continue
                        raise
                    self._give(stream, conn)
                    break
        except (TimeoutError, h11.ProtocolError, *_BROKEN) as e:
            raise Unreachable(f"{method} {target}: {e!r}") from e
        try:
            return status, (orjson.loads(raw) if raw else None)
        except orjson.JSONDecodeError as e:
            raise Unreachable(f"{method} {target}: not JSON") from e

    async def _take(self) -> tuple[anyio.abc.SocketStream, h11.Connection]:
        while self.idle:
            stream, conn, since = self.idle.pop()
            if time.monotonic() - since < 50:
                return stream, conn
            await anyio.aclose_forcefully(stream)
        stream = await anyio.connect_tcp(self.host, self.port)
        return stream, h11.Connection(h11.CLIENT)

    def _give(self, stream: anyio.abc.SocketStream, conn: h11.Connection) -> None:
        if conn.our_state is h11.DONE and conn.their_state is h11.DONE and len(self.idle) < self.keep:
            conn.start_next_cycle()
            self.idle.append((stream, conn, time.monotonic()))
        else:
            stream._transport.abort()  # type: ignore[attr-defined]

    async def _exchange(
        self, stream: anyio.abc.SocketStream, conn: h11.Connection, method: str, target: str, data: bytes
    ) -> tuple[int, bytes]:
        headers = [(b"host", self.host.encode()), (b"content-length", str(len(data)).encode())]
        out = conn.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if data:
            out += conn.send(h11.Data(data=data)) or b""
        out += conn.send(h11.EndOfMessage()) or b""
        await stream.send(out)
        status, raw = 0, bytearray()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                try:
                    conn.receive_data(await stream.receive(READ))
                except anyio.EndOfStream:
                    conn.receive_data(b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                raw += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, bytes(raw)
            elif isinstance(event, h11.InformationalResponse):
                continue
            else:
                raise anyio.EndOfStream
