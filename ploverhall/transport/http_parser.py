"""HTTP/1.1 messages from bytes, without I/O: httptools (llhttp) reads them, the limits are kept here.

The house's library for HTTP is h11. On the short requests of workers it cost more than all decisions together: one
request and its answer took six times the processor time with h11 and a time limit for every read than it takes with httptools
and uvloop below anyio (`python -m scripts.cost --base a7ed42e --part request`, docs/measurements.md), and a controller of 180
workers answers ninety a second. So its nearest kin that is written in C took its place.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from urllib.parse import parse_qsl

import httptools

from ploverhall.errors import InvalidHttpError

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
MAX_PIPELINED_REQUESTS = 16  # requests read ahead of their answers; the protocol has none


@dataclass(slots=True)
class Request:
    """One request, its body read. `close`: the client wants the connection closed after the answer."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    close: bool = False


class _Reader:
    """What both directions share: the sizes of head and body."""

    max_body_bytes: int

    def __init__(self) -> None:
        self.body = bytearray()
        self.head = 0  # bytes of the message's head in its whole lines
        self.bytes_fed = 0  # bytes that came while the head was not complete
        self.in_head = True
        self.message_begun = False  # a message has begun and is not complete

    def on_message_begin(self) -> None:
        self.body.clear()
        self.head = 0
        self.bytes_fed = 0
        self.in_head = True
        self.message_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        self.in_head = False

    def on_body(self, data: bytes) -> None:
        if len(self.body) + len(data) > self.max_body_bytes:
            raise InvalidHttpError(413, "body too large")
        self.body += data

    def _grow(self, count: int) -> None:
        self.head += count
        if self.head > MAX_HEAD:
            raise InvalidHttpError(431, "head too large")

    def _feed(
        self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes
    ) -> None:
        try:
            parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise (
                cause if isinstance(cause, InvalidHttpError) else InvalidHttpError(400, "bad http")
            ) from error
        except httptools.HttpParserUpgrade:
            pass  # not taken up: the request is answered as it stands, and the connection closed
        except httptools.HttpParserError as error:
            raise InvalidHttpError(400, "bad http") from error
        if self.message_begun and self.in_head:
            self.bytes_fed += len(data)  # the parser does not tell of a line until it is complete
            if (
                self.bytes_fed > MAX_HEAD + MAX_BODY
            ):  # (what a body before it may have brought along is allowed for)
                raise InvalidHttpError(431, "head too large")


class RequestReader(_Reader):
    """Requests in the order they came. Raises Bad where the stream can't be trusted any more."""

    max_body_bytes = MAX_BODY

    def __init__(self) -> None:
        super().__init__()
        self.ready: deque[Request] = deque()
        self.expects = False  # the client waits to be told to go on (100-continue)
        self._url = b""
        self._host = False
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Take in bytes; whole requests stand in `ready`."""
        self._feed(self._parser, data)
        if len(self.ready) > MAX_PIPELINED_REQUESTS:
            raise InvalidHttpError(400, "too many requests at once")

    def on_message_begin(self) -> None:
        """Called by the parser."""
        super().on_message_begin()
        self._url = b""
        self._host = False
        self.expects = False

    def on_url(self, url: bytes) -> None:
        """Called by the parser, with a part of the target."""
        self._grow(len(url))
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        super().on_header(name, value)
        if len(name) == 4 and name.lower() == b"host":
            if self._host:
                raise InvalidHttpError(400, "two hosts")
            self._host = True
        elif len(name) == 6 and name.lower() == b"expect":
            self.expects = value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        super().on_headers_complete()
        if not self._host and self._parser.get_http_version() == "1.1":
            raise InvalidHttpError(400, "no host")

    def on_message_complete(self) -> None:
        """Called by the parser."""
        path, _, query = self._url.decode("latin-1").partition("?")
        self.ready.append(
            Request(
                self._parser.get_method().decode("latin-1"),
                path,
                dict(parse_qsl(query)) if query else {},
                bytes(self.body),
                self._parser.should_upgrade() or not self._parser.should_keep_alive(),
            )
        )
        self.message_begun = self.expects = False


class ResponseReader(_Reader):
    """One response after the other, each asked for by one request."""

    # A watch's answer has no limit of its own; this one only bounds what a broken service can do
    max_body_bytes = 256 * 1024 * 1024

    def __init__(self) -> None:
        super().__init__()
        self.done = False
        self.keep = False  # the connection may be used again
        self._sized = False
        self._parser = httptools.HttpResponseParser(self)

    @property
    def status(self) -> int:
        """Of the response being read."""
        return int(self._parser.get_status_code())

    def feed(self, data: bytes) -> None:
        """Take in bytes; `done` once the response is whole."""
        self._feed(self._parser, data)

    def eof(self) -> bool:
        """The other side has closed: whether that completes the response."""
        return self.message_begun and not self.in_head and not self._sized

    def next(self) -> None:
        """Another request goes out on this connection."""
        self.done = False

    def on_message_begin(self) -> None:
        """Called by the parser."""
        super().on_message_begin()
        self._sized = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        super().on_header(name, value)
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._sized = True

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self.message_begun = False
        if self._parser.get_status_code() >= 200:
            self.done, self.keep = True, self._parser.should_keep_alive()
