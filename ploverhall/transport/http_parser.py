"""HTTP/1.1 messages from bytes, without I/O: httptools (llhttp) parses, the limits are kept here.

Used by `http_server` and `http_client`. httptools rather than h11: on agents' short requests h11,
with a time limit for every read, took six times the processor time (docs/measurements.md, `python
-m scripts.benchmark_hot_paths --base a7ed42e --part request`), and a controller of 180 agents answers ninety
requests a second.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from urllib.parse import parse_qsl

import httptools

from ploverhall.errors import InvalidHttpError

MAX_BODY = 64 * 1024  # bytes of a request's body
MAX_HEAD = 16 * 1024  # bytes of a message's head
MAX_PIPELINED_REQUESTS = 16  # requests read ahead of their answers; no client of ours sends any
# A watch's answer has no limit of its own; this one bounds what a broken service can use up
MAX_RESPONSE_BODY = 256 * 1024 * 1024
HEADER_OVERHEAD_BYTES = 4  # colon, space and line end


@dataclass(slots=True)
class Request:
    """One complete request."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    close: bool = False  # the client wants the connection closed after the answer


class _Reader:
    """Collects one message after another, and bounds the sizes of head and body.

    The `on_` methods are called by the parser. Errors that they raise come out of `feed`.
    """

    max_body_bytes: int

    def __init__(self) -> None:
        self.body = bytearray()
        self.head = 0  # bytes of the head's complete lines
        self.bytes_fed = 0  # bytes received while the head was not complete
        self.in_head = True
        self.message_begun = False  # a message has begun and is not complete

    def on_message_begin(self) -> None:
        """Start with a new message."""
        self.body.clear()
        self.head = 0
        self.bytes_fed = 0
        self.in_head = True
        self.message_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count the bytes of a header."""
        self._grow(len(name) + len(value) + HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Note that the body follows."""
        self.in_head = False

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
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
            pass  # not accepted: the request is answered as it is, and the connection closed
        except httptools.HttpParserError as error:
            raise InvalidHttpError(400, "bad http") from error
        self._check_unfinished_head(len(data))

    def _check_unfinished_head(self, count: int) -> None:
        """Bound a head whose line does not end: the parser reports a line once it is complete."""
        if not self.message_begun or not self.in_head:
            return
        self.bytes_fed += count
        # The first bytes may belong to the message before it, so its body is allowed for
        if self.bytes_fed > MAX_HEAD + MAX_BODY:
            raise InvalidHttpError(431, "head too large")


class RequestReader(_Reader):
    """Reads requests, and keeps the complete ones in `ready` in the order they came."""

    max_body_bytes = MAX_BODY

    def __init__(self) -> None:
        super().__init__()
        self.ready: deque[Request] = deque()
        self.expects = False  # the client waits for "100 Continue" before it sends the body
        self._url = b""
        self._host = False
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; complete requests are in `ready` afterwards.

        Raises InvalidHttpError for bytes that are no HTTP or over a limit. Nothing more can be read
        then, but requests that were complete before are still in `ready`.
        """
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
    """Reads the response to one request after another."""

    max_body_bytes = MAX_RESPONSE_BODY

    def __init__(self) -> None:
        super().__init__()
        self.done = False  # the response is complete: `status` and `body` hold
        self.keep = False  # the connection may be used again
        self._sized = False  # the head says where the body ends
        self._parser = httptools.HttpResponseParser(self)

    @property
    def status(self) -> int:
        """The status of the response that is being read."""
        return int(self._parser.get_status_code())

    def feed(self, data: bytes) -> None:
        """Parse received bytes. Raises InvalidHttpError when they are no HTTP or over a limit."""
        self._feed(self._parser, data)

    def eof(self) -> bool:
        """Return whether the response is complete now that the other side has closed."""
        return self.message_begun and not self.in_head and not self._sized

    def next(self) -> None:
        """Prepare for the response to another request on the same connection."""
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
        if self._parser.get_status_code() >= 200:  # below: informational, the response follows
            self.done = True
            self.keep = self._parser.should_keep_alive()
