"""Tests of how the key-value store client reads responses: unlisted ones are unknown outcomes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.protocol.key_value_store import KeyValueStore, WatchEvent


class FixedResponse:
    """A transport that returns the same response to every call."""

    def __init__(self, status: int, body: Any) -> None:
        self.answer = status, body

    async def call(
        self, method: str, target: str, body: object = None, timeout: float = 3.0, hold: float = 0.0
    ) -> tuple[int, object]:
        return self.answer


CALLS: dict[str, Callable[[KeyValueStore], Awaitable[Any]]] = {
    "get": lambda s: s.get("e/j-000001"),
    "read": lambda s: s.list_prefix("c/"),
    "txn": lambda s: s.compare_and_swap({"a": 1}, {"a": 2}, []),
    "watch": lambda s: s.watch("p/", 3, 0),
    "grant": lambda s: s.grant_lease(4.0),
    "renew": lambda s: s.renew_lease(7),
}


# Call -> status -> a response that the protocol lists, and the result of the call
LISTED_RESPONSES: dict[str, dict[int, tuple[Any, Any]]] = {
    "get": {
        200: ({"path": "e/j-000001", "v": {"s": "done"}, "feather": 3}, ({"s": "done"}, 3)),
        404: ({"moult": 4}, (None, 0)),
    },
    "read": {
        200: (
            {"items": [{"path": "c/x", "v": {}, "feather": 3}], "hasNext": False, "moult": 4},
            ({"c/x": ({}, 3)}, 4),
        )
    },
    "txn": {
        200: ({"moult": 4}, (4, [])),
        409: ({"failed": ["a"], "moult": 4}, (0, ["a"])),
        400: ({"error": "no such lease"}, (0, ["no such lease"])),
    },
    "watch": {
        200: (
            {"moult": 4, "news": [{"delete": "p/x", "feather": 4}]},
            (4, [WatchEvent("p/x", None, 4)]),
        ),
        410: ({}, None),
    },
    "grant": {200: ({"tether": 7}, 7)},
    "renew": {200: ({}, True), 404: ({}, False)},
}


def outcome_of(call: str, status: int, body: Any) -> Any:
    """Return the result of a call that gets this response, or the name of the error it raises."""
    try:
        return anyio.run(CALLS[call], KeyValueStore(FixedResponse(status, body), 100.0, 100.0))
    except (RequestRefusedError, OutcomeUnknownError) as e:
        return type(e).__name__


@pytest.mark.parametrize("call", CALLS)
def test_unlisted_status_is_an_unknown_outcome(call: str) -> None:
    """No conclusion is drawn from a status that the protocol does not list.

    A 502 was taken for "not executed" (write), "no such key" (read of one key) and "ended" (lease).
    """
    listed = LISTED_RESPONSES[call]
    for status, (body, expected) in listed.items():
        assert outcome_of(call, status, body) == expected
    for status in (429, 503):
        assert outcome_of(call, status, {"error": "trouble"}) == "RequestRefusedError"
    for status in {201, 204, 301, 400, 403, 404, 408, 409, 410, 500, 502, 504} - listed.keys():
        assert outcome_of(call, status, {"error": "bad gateway"}) == "OutcomeUnknownError", status
    assert outcome_of(call, 400, {"error": "malformed"}) == "OutcomeUnknownError"


@pytest.mark.parametrize(
    ("call", "bodies"),
    [
        ("get", [{"v": 1}, {"v": 1, "feather": "3"}, {"feather": 3}]),
        (
            "read",
            [
                {"items": None, "moult": 1},
                {"items": [{}], "moult": 1},
                {"items": [], "hasNext": True, "moult": 1},
                {"items": []},
                {"items": [{"path": 5, "v": 1, "feather": 1}], "moult": 1},
            ],
        ),
        (
            "txn",
            [{}, {"moult": None}, {"moult": "7"}, {"moult": -1}, {"moult": True}, {"moult": 7.0}],
        ),
        (
            "watch",
            [
                {"moult": 4},
                {"moult": 4, "news": [{}]},
                {"moult": 4, "news": [{"put": "p/x", "feather": 4}]},
                {"moult": 4, "news": {"a": 1}},
            ],
        ),
        ("grant", [{}, {"tether": None}, {"tether": "7"}]),
    ],
)
def test_malformed_success_response_is_an_unknown_outcome(call: str, bodies: list[Any]) -> None:
    """A missing field raised KeyError inside the writer, and ended the process."""
    for body in [None, [], "ok", 7, [1], *bodies]:
        assert outcome_of(call, 200, body) == "OutcomeUnknownError", body
    assert (
        outcome_of("txn", 409, {})
        == outcome_of("txn", 409, {"failed": [3]})
        == outcome_of("txn", 409, None)
        == "OutcomeUnknownError"
    )


def test_invalid_responses_are_logged_at_a_limited_rate(capfd: pytest.CaptureFixture[str]) -> None:
    now = [100.0]
    store = KeyValueStore(FixedResponse(200, "x" * 100_000), 1e6, 1e6, lambda: now[0])

    async def get_often() -> None:
        for _ in range(300):
            now[0] += 0.1
            with pytest.raises(OutcomeUnknownError):
                await store.get("k")

    anyio.run(get_often)
    lines = [line for line in capfd.readouterr().err.splitlines() if "invalid response" in line]
    assert (
        len(lines) == 3 and all(len(line) < 400 for line in lines) and store.last_answer_at == 0.0
    )
