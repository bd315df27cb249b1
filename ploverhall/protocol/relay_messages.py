"""Defines the messages for relaying: requests, responses, and the links that a controller has.

The messages use the links between controllers and have the form of a state channel's messages. A
release that does not know their kinds treats them as channels without a holder. It is never asked
to relay, since it does not announce that it can. Bodies are JSON as bytes, so that their size is
known and no controller on the way decodes them. Called by `controller.relay`.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ploverhall.errors import InvalidRelayMessageError

# Kinds of messages
REQUEST = "x"
RESPONSE = "y"
CONNECTIVITY = "h"  # services and peers that the sender reaches; see connectivity.relay_routes

# Kinds of relayed requests, as announced between controllers
STORE = "state"
CLOUD = "cloud"
HEARTBEAT = "report"
AGENT_COMMAND = "do"
KINDS = (STORE, CLOUD, HEARTBEAT, AGENT_COMMAND)

# Limit for one request or response; the response to a watch holds all changes since the last one
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
# Types of the fields; a field that is not listed here is a string
REQUEST_FIELD_TYPES = {"number": int, "until": float, "hops": int, HOLD_FIELD: float, "body": bytes}
RESPONSE_FIELD_TYPES = {"number": int, "status": int, "refused": bool, "body": bytes}


class RelayRequest(NamedTuple):
    """A request that the receiver is to relay for the sending peer."""

    incarnation: str  # of the sender's process
    number: int  # sequence number, counted by the sender
    kind: str  # one of KINDS
    deadline: float  # wall clock time after which the sender no longer waits for the response
    hops: int  # number of peers that may still relay the request, including the receiver
    destination: str  # name of the peer that is to serve it; empty: any that reaches the service
    method: str
    target: str  # path and query; for AGENT_COMMAND preceded by the agent's address and a space
    hold_s: float  # time for which the service may hold back the response
    body: bytes


class RelayResponse(NamedTuple):
    """The outcome of a relayed request: the service's response, or the fact that there is none."""

    incarnation: str  # copied from the request, like `number`
    number: int
    status: int  # HTTP status; 0: no response
    refused: bool  # if status is 0: whether the request was certainly not executed
    body: bytes


def encode(kind: str, controller_index: int, value: RelayRequest | RelayResponse) -> list[Any]:
    """Return the wire form of a request or response from the controller with the given index."""
    names = REQUEST_WIRE_NAMES if isinstance(value, RelayRequest) else RESPONSE_WIRE_NAMES
    fields = dict(zip(names, value, strict=True))
    return [kind, controller_index, 0, 0, True, fields, value.number]


def decode_request(value: Any) -> RelayRequest:
    """Validate and convert a request.

    Raises:
        InvalidRelayMessageError: A field is not valid; the error names the field.
    """
    request = RelayRequest(*_read_fields(REQUEST_WIRE_NAMES, value, REQUEST_FIELD_TYPES))
    if request.kind not in KINDS:
        raise InvalidRelayMessageError(KIND_FIELD)
    if request.kind in ALLOWED_TARGETS and not _is_allowed(request):
        raise InvalidRelayMessageError(TARGET_FIELD)
    if not 0 <= request.hold_s <= MAX_HOLD_S or not 0 <= request.hops <= MAX_HOPS:
        raise InvalidRelayMessageError(HOLD_FIELD)
    return request


def _is_allowed(request: RelayRequest) -> bool:
    """Return whether controllers relay requests with this method and path.

    The check keeps a peer from sending any other request through this controller.
    """
    path = request.target
    if request.kind == AGENT_COMMAND:
        path = request.target.rpartition(" ")[2]
    return path.startswith(ALLOWED_TARGETS[request.kind]) and request.method in ALLOWED_METHODS


def decode_response(value: Any) -> RelayResponse:
    """Validate and convert a response.

    Raises:
        InvalidRelayMessageError: A field is not valid; the error names the field.
    """
    return RelayResponse(*_read_fields(RESPONSE_WIRE_NAMES, value, RESPONSE_FIELD_TYPES))


def _read_fields(names: tuple[str, ...], value: Any, types: dict[str, type]) -> list[Any]:
    """Return the values of the named fields in the order of `names`, after checking their types."""
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
