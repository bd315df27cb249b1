"""What controllers relay for one another: requests, responses, and which links each one has.

These travel on the links between controllers, in the form of a state channel's messages. A release
that does not know their kinds takes them for channels without a holder; it is never asked to relay,
since it does not announce that it can. Bodies are JSON as bytes: their size is known, and they are
not decoded on the way. Called by `controller.relay`.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ploverhall.errors import InvalidRelayMessageError

# Kinds of messages
REQUEST = "x"
RESPONSE = "y"
CONNECTIVITY = "h"  # which services and peers the sender reaches; see connectivity.relay_routes

# Kinds of relayed requests, as announced between controllers
STORE = "state"
CLOUD = "cloud"
HEARTBEAT = "report"
AGENT_COMMAND = "do"
KINDS = (STORE, CLOUD, HEARTBEAT, AGENT_COMMAND)

# Bytes of one request or response: a watch answers with all changes since it was last asked
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HOLD_S = 60
MAX_HOPS = 4
ALLOWED_METHODS = ("GET", "POST", "DELETE")
ALLOWED_TARGETS = {
    STORE: ("/kv", "/multi", "/grants", "/watch"),
    CLOUD: ("/flavors", "/hosts"),
    AGENT_COMMAND: ("/do", "/show"),
}

# Field names on the link between controllers, in the order of the types below
KIND_FIELD = "what"
TARGET_FIELD = "target"
HOLD_FIELD = "hold"
REQUEST_WIRE_NAMES = (
    "life",
    "number",
    KIND_FIELD,
    "until",
    "hops",
    "to",
    "method",
    TARGET_FIELD,
    HOLD_FIELD,
    "body",
)
RESPONSE_WIRE_NAMES = ("life", "number", "status", "refused", "body")
# Types of the fields; a field that is not named here is a string
REQUEST_FIELD_TYPES = {"number": int, "until": float, "hops": int, HOLD_FIELD: float, "body": bytes}
RESPONSE_FIELD_TYPES = {"number": int, "status": int, "refused": bool, "body": bytes}


class RelayRequest(NamedTuple):
    """A request to be relayed for the peer that sends it."""

    incarnation: str  # of the sender's process
    number: int  # counted by the sender
    kind: str  # one of KINDS
    deadline: float  # wall clock time after which nobody waits for the response
    hops: int  # peers that it may still go through, the receiver included
    destination: str  # name of the peer that it is meant for; empty: any that reaches the service
    method: str
    target: str  # path and query; for AGENT_COMMAND the agent's address and a space before them
    hold_s: float  # seconds for which the service may hold the response back
    body: bytes


class RelayResponse(NamedTuple):
    """The outcome of a relayed request: the service's response, or that there is none."""

    incarnation: str  # of the request, as is `number`
    number: int
    status: int  # HTTP status; 0: no response
    refused: bool  # without a response: True if certainly not executed, False if that is unknown
    body: bytes


def encode(kind: str, controller_index: int, value: RelayRequest | RelayResponse) -> list[Any]:
    """Return a message for a link, from the controller with that index."""
    names = REQUEST_WIRE_NAMES if isinstance(value, RelayRequest) else RESPONSE_WIRE_NAMES
    fields = dict(zip(names, value, strict=True))
    return [kind, controller_index, 0, 0, True, fields, value.number]


def decode_request(value: Any) -> RelayRequest:
    """Check a request. Raises InvalidRelayMessageError, which names the field."""
    request = RelayRequest(*_read_fields(REQUEST_WIRE_NAMES, value, REQUEST_FIELD_TYPES))
    if request.kind not in KINDS:
        raise InvalidRelayMessageError(KIND_FIELD)
    if request.kind in ALLOWED_TARGETS and not _is_allowed(request):
        raise InvalidRelayMessageError(TARGET_FIELD)
    if not 0 <= request.hold_s <= MAX_HOLD_S or not 0 <= request.hops <= MAX_HOPS:
        raise InvalidRelayMessageError(HOLD_FIELD)
    return request


def _is_allowed(request: RelayRequest) -> bool:
    """Whether method and path are ones that controllers relay: a peer cannot ask for any other."""
    path = request.target
    if request.kind == AGENT_COMMAND:
        path = request.target.rpartition(" ")[2]
    return path.startswith(ALLOWED_TARGETS[request.kind]) and request.method in ALLOWED_METHODS


def decode_response(value: Any) -> RelayResponse:
    """Check a response. Raises InvalidRelayMessageError, which names the field."""
    return RelayResponse(*_read_fields(RESPONSE_WIRE_NAMES, value, RESPONSE_FIELD_TYPES))


def _read_fields(names: tuple[str, ...], value: Any, types: dict[str, type]) -> list[Any]:
    """Return the values of the named fields in that order, each of its type."""
    if not isinstance(value, dict):
        raise InvalidRelayMessageError(problem="not a table")
    return [_read_field(name, value.get(name), types.get(name, str)) for name in names]


def _read_field(name: str, value: Any, expected_type: type) -> Any:
    if expected_type is float and isinstance(value, int):
        value = float(value)
    if type(value) is not expected_type:
        raise InvalidRelayMessageError(name)
    if isinstance(value, (str, bytes)) and len(value) > MAX_BODY_BYTES:
        raise InvalidRelayMessageError(name)
    return value
