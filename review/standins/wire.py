"""A small HTTP/1.1 server and client for the stand-ins."""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

# A loopback address of this run's own, so that runs side by side don't take one another's ports
LOOPBACK = "127." + ".".join(str(random.SystemRandom().randrange(2, 250)) for _ in range(3))
FIRST_PORT = 20_000  # the ports stay below the range of outgoing connections
MAX_LINE = 64 * 1024  # of the pages: bytes of a request's body, and of a line of a response


@dataclass
class Request:
    """One received request."""

    method: str
    path: str
    query: dict[str, str]
    raw: bytes

    @property
    def body(self) -> Any:
        """Return the decoded JSON body; None if there is none."""
        return json.loads(self.raw) if self.raw else None


@dataclass
class Answer:
    """One answer; a status of 0 means that none came (or, at a server, that none is sent)."""

    status: int
    body: Any = None
    size: int = 0  # bytes of the body as received
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Answer]]


class PortSource:
    """Hands out loopback ports that nobody listens on; none is handed out twice."""

    def __init__(self) -> None:
        self.next_port = FIRST_PORT

    def take(self) -> int:
        """Return a free port."""
        while True:
            self.next_port += 1
            with socket.socket() as probe:
                try:
                    probe.bind((LOOPBACK, self.next_port))
                except OSError:
                    continue
            return self.next_port


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message; return its first line, its headers and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return lines[0], headers, await reader.readexactly(length) if length else b""


class HttpServer:
    """Serves one loopback port."""

    def __init__(self, port: int, handler: Handler) -> None:
        self.port = port
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on the port."""
        self.server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, limit=1 << 22, backlog=1024
        )

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, _, raw = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                request = Request(method, parts.path, dict(parse_qsl(parts.query)), raw)
                answer = await self.handler(request)
                if answer.status:
                    writer.write(encode_answer(answer))
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


def encode_answer(answer: Answer) -> bytes:
    """Return the bytes of an answer."""
    data = json.dumps(answer.body if answer.body is not None else {}).encode()
    head = f"HTTP/1.1 {answer.status} X\r\ncontent-type: application/json\r\n"
    return f"{head}content-length: {len(data)}\r\n\r\n".encode() + data


class Client:
    """One kept connection to one address, for one request at a time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def call(self, method: str, path: str, body: Any, timeout_s: float) -> Answer:
        """Send one request; the status of the answer is 0 if none came in time."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, path, body)
        except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError, ValueError):
            self.close()
            return Answer(0)

    async def _exchange(self, method: str, path: str, body: Any) -> Answer:
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                LOOPBACK, self.port, limit=1 << 22
            )
        assert self.reader is not None
        data = json.dumps(body, separators=(",", ":")).encode() if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: {LOOPBACK}\r\ncontent-length: {len(data)}\r\n\r\n"
        )
        self.writer.write(head.encode() + data)
        await self.writer.drain()
        first, headers, raw = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        decoded = json.loads(raw) if raw else None
        return Answer(int(first.split(" ", 2)[1]), decoded, len(raw), headers)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


async def ask(
    port: int, method: str, path: str, body: Any = None, timeout_s: float = 2.0
) -> Answer:
    """Send one request on a connection of its own."""
    client = Client(port)
    try:
        return await client.call(method, path, body, timeout_s)
    finally:
        client.close()
