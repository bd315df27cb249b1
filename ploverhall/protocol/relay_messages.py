"""What controllers carry for one another: questions in, answers out, in the form of boards' messages.

A release that does not know these words takes them for boards of nobody; and is never asked, since it does not say that it
can carry. What is carried is JSON as bytes: its size is known, and nothing is taken apart on the way.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ploverhall.errors import InvalidRelayMessageError

REQUEST = "x"
RESPONSE = "y"
CONNECTIVITY = "h"
STORE = "state"
CLOUD = "cloud"
HEARTBEAT = "report"
AGENT_COMMAND = "do"
KINDS = (STORE, CLOUD, HEARTBEAT, AGENT_COMMAND)
# Bytes of one question or answer: a watch answers with all changes since it was last asked
MAX_BODY_BYTES = 4 * 1024 * 1024
ALLOWED_TARGETS = {
    STORE: ("/kv", "/multi", "/grants", "/watch"),
    CLOUD: ("/flavors", "/hosts"),
    AGENT_COMMAND: ("/do", "/show"),
}


# Field names on the link between controllers, in the order of the types below.
REQUEST_WIRE_NAMES = (
    "life",
    "number",
    "what",
    "until",
    "hops",
    "to",
    "method",
    "target",
    "hold",
    "body",
)
RESPONSE_WIRE_NAMES = ("life", "number", "status", "refused", "body")


class RelayRequest(NamedTuple):
    """Something to be done for the member that asks."""

    incarnation: str
    number: int
    kind: str
    deadline: float  # time of day after which nobody waits for the answer
    hops: int  # how many members it may still go through, this one included
    destination: str  # the member that it is meant for, or nothing: whoever reaches the service
    method: str
    target: str  # of a request; the worker's address before it, with a space between, for `do`
    hold_s: float  # seconds for which the service may keep the answer back
    body: bytes


class RelayResponse(NamedTuple):
    """What came of it: a status and a body, or why there is none."""

    incarnation: str
    number: int
    status: int  # 0: there is none
    refused: bool  # without a status: surely not executed; else that is not known
    body: bytes


def encode(kind: str, controller_index: int, value: RelayRequest | RelayResponse) -> list[Any]:
    """A message for a link."""
    names = REQUEST_WIRE_NAMES if isinstance(value, RelayRequest) else RESPONSE_WIRE_NAMES
    fields = dict(zip(names, value, strict=True))
    return [kind, controller_index, 0, 0, True, fields, value.number]


def decode_request(value: Any) -> RelayRequest:
    """Check a question. Raises Malformed, naming the field."""
    request = RelayRequest(
        *_read_fields(
            REQUEST_WIRE_NAMES,
            value,
            {"number": int, "until": float, "hops": int, "hold": float, "body": bytes},
        )
    )
    if request.kind not in KINDS:
        raise InvalidRelayMessageError("what")
    if request.kind in ALLOWED_TARGETS:
        path = (
            request.target.rpartition(" ")[2] if request.kind == AGENT_COMMAND else request.target
        )
        if not path.startswith(ALLOWED_TARGETS[request.kind]) or request.method not in (
            "GET",
            "POST",
            "DELETE",
        ):
            raise InvalidRelayMessageError("target")
    if not 0 <= request.hold_s <= 60 or not 0 <= request.hops <= 4:
        raise InvalidRelayMessageError("hold")
    return request


def decode_response(value: Any) -> RelayResponse:
    """Check an answer. Raises Malformed, naming the field."""
    return RelayResponse(
        *_read_fields(
            RESPONSE_WIRE_NAMES,
            value,
            {"number": int, "status": int, "refused": bool, "body": bytes},
        )
    )


def _read_fields(names: tuple[str, ...], value: Any, types: dict[str, type]) -> list[Any]:
    if not isinstance(value, dict):
        raise InvalidRelayMessageError(problem="not a table")
    fields: list[Any] = []
    for name in names:
        field_value, expected_type = value.get(name), types.get(name, str)
        if expected_type is float and isinstance(field_value, int):
            field_value = float(field_value)
        if type(field_value) is not expected_type or (
            isinstance(field_value, (str, bytes)) and len(field_value) > MAX_BODY_BYTES
        ):
            raise InvalidRelayMessageError(name)
        fields.append(field_value)
    return fields
