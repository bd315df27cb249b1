"""Test HTTP parsing: compared with h11, with data split anywhere, and with malformed input."""

from __future__ import annotations

import contextlib

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ploverhall.errors import InvalidHeartbeatError, InvalidHttpError
from ploverhall.protocol import agents
from ploverhall.transport.http_parser import (
    MAX_BODY,
    MAX_HEAD,
    Request,
    RequestReader,
    ResponseReader,
)

TOKEN = st.text("abcdefghijklmnopqrstuvwxyz-", min_size=1, max_size=12)
VALUE = st.text("abcXYZ 0123456789,;=/", max_size=20).map(str.strip)
HEADERS = st.lists(
    st.tuples(
        TOKEN.filter(
            lambda t: (
                t
                not in (
                    "host",
                    "content-length",
                    "transfer-encoding",
                    "connection",
                    "upgrade",
                    "expect",
                )
            )
        ),
        VALUE,
    ),
    max_size=4,
)
REQUEST = st.tuples(
    st.sampled_from(["GET", "POST", "PUT"]),
    st.text("abc/-09._~%25", max_size=20),
    HEADERS,
    st.binary(max_size=200),
    st.booleans(),
)


def encoded(
    method: str, path: str, headers: list[tuple[str, str]], body: bytes, chunked: bool
) -> bytes:
    head = f"{method} /{path}?x=1 HTTP/1.1\r\nHost: h\r\n" + "".join(
        f"{k}: {v}\r\n" for k, v in headers
    )
    if chunked:
        chunks = b"".join(
            b"%x\r\n%s\r\n" % (len(body[i : i + 7]), body[i : i + 7])
            for i in range(0, len(body), 7)
        )
        return head.encode() + b"transfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    return head.encode() + b"content-length: %d\r\n\r\n" % len(body) + body


def by_h11(data: bytes) -> tuple[str, str, bytes]:
    """Parse one whole request with h11, as the reference."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(data)
    head, body = conn.next_event(), b""
    assert isinstance(head, h11.Request)
    while not isinstance(event := conn.next_event(), h11.EndOfMessage):
        assert isinstance(event, h11.Data)
        body += event.data
    return head.method.decode(), head.target.decode(), body


def fed(data: bytes, cuts: list[int]) -> list[Request]:
    reader = RequestReader()
    edges = sorted({c % (len(data) + 1) for c in cuts} | {0, len(data)})
    for a, b in zip(edges, edges[1:], strict=False):
        reader.feed(data[a:b])
    return list(reader.ready)


@settings(max_examples=150)
@given(st.lists(REQUEST, min_size=1, max_size=3), st.lists(st.integers(0, 4000), max_size=12))
def test_whole_requests_are_read_as_h11_reads_them_wherever_they_are_cut(
    made: list[tuple], cuts: list[int]
) -> None:
    parts = [encoded(*m) for m in made]
    got = [(q.method, q.path + "?x=1", q.body) for q in fed(b"".join(parts), cuts)]
    assert got == [by_h11(p) for p in parts]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /x HTTP/1.1\r\n\r\n", 400),  # no Host header
        (b"GET /x HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", 400),
        (
            b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n", 400),
        (b"GET /a\nb HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00", 400),  # a TLS handshake
        (b"GET /x HTTP/1.1\r\nhost: a\r\nx: " + b"y" * (MAX_HEAD + MAX_BODY), 431),
        (b"GET /" + b"x" * (MAX_HEAD + 1), 431),
        (b"GET /x HTTP/1.1\r\nhost: a\r\n" + b"a: b\r\n" * 5000, 431),
        (
            b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % (MAX_BODY + 1)
            + b"z" * (MAX_BODY + 1),
            413,
        ),
        (
            b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n" * 40,
            400,
        ),  # pipelining is unsupported; a few requests are tolerated
    ],
    ids=range(12),
)
def test_unacceptable_request_is_refused(data: bytes, status: int) -> None:
    for size in (len(data), 997):
        reader = RequestReader()
        with pytest.raises(InvalidHttpError) as e:
            for i in range(0, len(data), size):
                reader.feed(data[i : i + size])
        assert e.value.status == status


@settings(max_examples=150)
@given(st.binary(max_size=300), st.lists(st.integers(0, 300), max_size=5))
def test_garbage_is_refused_or_waited_for_never_a_fault(data: bytes, cuts: list[int]) -> None:
    with contextlib.suppress(InvalidHttpError):
        fed(data, cuts)


def test_a_response_without_a_length_ends_with_its_connection() -> None:
    r = ResponseReader()
    r.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n{}")
    assert not r.done and r.eof() and bytes(r.body) == b"{}"
    r = ResponseReader()
    r.feed(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}")
    assert not r.done and not r.eof(), "a truncated response must not count as complete"
    r.feed(b"1234567HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")
    assert r.status == 404


GOOD = {
    "perch": "n-1",
    "endpoint": "x:1",
    "breed": "t",
    "marsh": "a",
    "driftwood": True,
    "tide": 1,
    "peep": 2,
    "crest": 0,
    "chicks": [],
}


@pytest.mark.parametrize(
    "wrong",
    [
        {"chicks": 3},
        {"chicks": [3]},
        {"chicks": [{"chick": 3, "hatch": 1}]},
        {"chicks": [{"chick": "j-1/x", "hatch": 1}]},
        {"chicks": [{"chick": "j-1/0", "hatch": -1}]},
        {"chicks": [{"chick": "j-1/0", "hatch": 1, "stance": ["running"]}]},
        {"chicks": [{"chick": "j-1/0", "hatch": 1 << 64}]},
        {"chicks": [{"chick": "j-1/\u0663", "hatch": 1}]},
        {"driftwood": "yes"},
        {"perch": ""},
        {"perch": None},
        {"perch": "x" * 501},
        {"tide": True},
        {"tide": 1.5},
        {"peep": -1},
        {"crest": 1 << 64},
        {"warningS": "soon"},
    ],
)
def test_malformed_heartbeat_is_rejected_without_another_exception(
    wrong: dict[str, object],
) -> None:
    """A number for `chicks` or a list for `stance` raised an exception and gave 503.

    Any value of `driftwood` was taken as true or false.
    """
    import orjson

    with pytest.raises(InvalidHeartbeatError):
        agents.heartbeat_from_json({**GOOD, **wrong})
    if not any(
        isinstance(v, int) and v >= 1 << 64 for v in wrong.values()
    ) and "18446744073709551616" not in str(wrong):
        with pytest.raises(InvalidHeartbeatError):
            agents.decode_heartbeat(orjson.dumps({**GOOD, **wrong}))


ANY = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda x: (
        st.lists(x, max_size=3)
        | st.dictionaries(st.sampled_from([*GOOD, "chick", "hatch", "stance"]), x, max_size=5)
    ),
    max_leaves=12,
)


@settings(max_examples=200)
@given(ANY)
def test_no_json_is_a_fault(d: object) -> None:
    for value in (d, {**GOOD, **d} if isinstance(d, dict) else d):
        with contextlib.suppress(InvalidHeartbeatError):
            agents.heartbeat_from_json(value).tasks()
