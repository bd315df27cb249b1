"""Parse HTTP/1.1 messages from bytes, without I/O, and limit their sizes.

Used by `http_server` and `http_client`. httptools (llhttp) parses. It is used rather than h11
because h11, with a time limit for every read, took six times the processor time on agents' short
requests (docs/measurements.md,
`python -m scripts.benchmark_hot_paths --base a7ed42e --part request`), and a controller of 180
agents answers ninety requests a second.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from urllib.parse import parse_qsl

import httptools

from ploverhall.errors import InvalidHttpError

MAX_BODY = 64 * 1024  # bytes of a request's body
MAX_HEAD = 16 * 1024  # bytes of a message's head
# Requests read before earlier ones are answered; this project's own clients send none
MAX_PIPELINED_REQUESTS = 16
# The response to a watch has no smaller limit; this one bounds the memory that a faulty service
# can use up
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
    """Parses successive messages, and limits the sizes of head and body.

    The parser calls the `on_` methods; `feed` raises the errors that they raise.
    """

    max_body_bytes: int

    def __init__(self) -> None:
        self.body = bytearray()
        self.head_bytes = 0  # of the head's complete lines
        self.bytes_fed = 0  # since the message began, while its head is incomplete
        self.in_head = True
        self.message_begun = False  # a message has begun and is not complete

    def on_message_begin(self) -> None:
        """Reset the state for a new message."""
        self.body.clear()
        self.head_bytes = 0
        self.bytes_fed = 0
        self.in_head = True
        self.message_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count the bytes of a header."""
        self._count_head_bytes(len(name) + len(value) + HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Record that the head is complete and the body follows."""
        self.in_head = False

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; raises `InvalidHttpError` if the body is too large."""
        if len(self.body) + len(data) > self.max_body_bytes:
            raise InvalidHttpError(413, "body too large")
        self.body += data

    def _count_head_bytes(self, count: int) -> None:
        """Count bytes of the head; raises `InvalidHttpError` if the head is too large."""
        self.head_bytes += count
        if self.head_bytes > MAX_HEAD:
            raise InvalidHttpError(431, "head too large")

    def _feed(
        self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes
    ) -> None:
        """Parse bytes; raises `InvalidHttpError` if they are not HTTP or over a limit."""
        try:
            parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise (
                cause if isinstance(cause, InvalidHttpError) else InvalidHttpError(400, "bad http")
            ) from error
        except httptools.HttpParserUpgrade:
            pass  # ignored: the request is answered without an upgrade, and the connection closed
        except httptools.HttpParserError as error:
            raise InvalidHttpError(400, "bad http") from error
        self._check_unfinished_head(len(data))

    def _check_unfinished_head(self, count: int) -> None:
        """Limit the size of an unfinished head.

        The parser reports a line only once it is complete, so a line without an end is not counted
        by `_count_head_bytes`.
        """
        if not self.message_begun or not self.in_head:
            return
        self.bytes_fed += count
        # The first bytes may belong to the previous message, so the limit leaves room for its body
        if self.bytes_fed > MAX_HEAD + MAX_BODY:
            raise InvalidHttpError(431, "head too large")


class RequestReader(_Reader):
    """Parses requests, and queues the complete ones in `ready` in the order of arrival."""

    max_body_bytes = MAX_BODY

    def __init__(self) -> None:
        super().__init__()
        self.ready: deque[Request] = deque()
        # The client waits for "100 Continue" before it sends the body
        self.expects_continue = False
        self._url = b""
        self._has_host = False
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes, and append complete requests to `ready`.

        Raises `InvalidHttpError` if the bytes are not HTTP or over a limit. No more bytes can be
        parsed after that, but requests that were complete before are still in `ready`.
        """
        self._feed(self._parser, data)
        if len(self.ready) > MAX_PIPELINED_REQUESTS:
            raise InvalidHttpError(400, "too many requests at once")

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        super().on_message_begin()
        self._url = b""
        self._has_host = False
        self.expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._count_head_bytes(len(url))
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Check the Host header, and record whether the client waits for 100 Continue.

        Raises `InvalidHttpError` on a second Host header.
        """
        super().on_header(name, value)
        if len(name) == 4 and name.lower() == b"host":
            if self._has_host:
                raise InvalidHttpError(400, "two hosts")
            self._has_host = True
        elif len(name) == 6 and name.lower() == b"expect":
            self.expects_continue = value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        """Require a Host header of an HTTP/1.1 request."""
        super().on_headers_complete()
        if not self._has_host and self._parser.get_http_version() == "1.1":
            raise InvalidHttpError(400, "no host")

    def on_message_complete(self) -> None:
        """Append the complete request to `ready`."""
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
        self.message_begun = self.expects_continue = False


class ResponseReader(_Reader):
    """Parses the responses to successive requests on one connection."""

    max_body_bytes = MAX_RESPONSE_BODY

    def __init__(self) -> None:
        super().__init__()
        self.done = False  # the response is complete: `status` and `body` are final
        self.keep_alive = False  # the connection may be reused
        self._has_length = False  # the head has the body's length or encoding
        self._parser = httptools.HttpResponseParser(self)

    @property
    def status(self) -> int:
        """Return the status code of the current response."""
        return int(self._parser.get_status_code())

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises `InvalidHttpError` if they are not HTTP or over a limit."""
        self._feed(self._parser, data)

    def eof(self) -> bool:
        """Return whether the response is complete, given that the server closed the connection."""
        return self.message_begun and not self.in_head and not self._has_length

    def start_next(self) -> None:
        """Prepare for the response to the next request on the same connection."""
        self.done = False

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        super().on_message_begin()
        self._has_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record whether the head says where the body ends."""
        super().on_header(name, value)
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_message_complete(self) -> None:
        """Mark the response as complete unless it is informational."""
        self.message_begun = False
        # Below 200 the response is informational, and the final one follows
        if self._parser.get_status_code() >= 200:
            self.done = True
            self.keep_alive = self._parser.should_keep_alive()
