"""Record everything that crosses the simulated network, and split it into messages.

The messages are HTTP exchanges and link frames. This module works on bytes only and uses none of
the package's own parsers, so that a fault in one of them is visible.
"""

from __future__ import annotations

import contextlib
import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

import cbor2
import orjson

from tests.simulation.simulated_network import SimulatedNetwork, SimulatedStream

from .shapes import MessageKinds, pattern

# Keys of stored records in messages of the state service; store.json describes the records
STORED_VALUE_KEYS = frozenset(("v",))
TEXT_MESSAGES = ("v", "q", "a")  # kinds of link messages that contain the status views for people


@dataclass
class HttpMessage:
    """One request or answer as it was sent on a connection."""

    start: str
    body: bytes
    raw: bytes

    @property
    def value(self) -> Any:
        """Return the body as JSON, the text "not JSON" if it is none, or None if it is empty."""
        try:
            return orjson.loads(self.body) if self.body else None
        except orjson.JSONDecodeError:
            return "not JSON"


def http_messages(data: bytes) -> Iterator[HttpMessage]:
    """Yield the complete messages at the start of a connection's bytes."""
    while (end := data.find(b"\r\n\r\n")) >= 0:
        head = data[:end].decode("latin-1").split("\r\n")
        length = next(
            (
                int(line.split(":")[1])
                for line in head
                if line.lower().startswith("content-length:")
            ),
            0,
        )
        size = end + 4 + length
        if len(data) < size:
            return
        yield HttpMessage(head[0], data[end + 4 : size], data[:size])
        data = data[size:]


def frames(data: bytes) -> Iterator[bytes]:
    """Yield the complete frames at the start of a link's bytes, without their length prefixes."""
    while len(data) >= 4:
        (size,) = struct.unpack(">I", data[:4])
        if len(data) < 4 + size:
            return
        yield data[4 : 4 + size]
        data = data[4 + size :]


@dataclass
class Recording:
    """All bytes of every connection, in the order in which the connections were opened."""

    controllers: tuple[str, ...]
    sent: dict[SimulatedStream, bytearray] = field(default_factory=dict)

    @contextlib.contextmanager
    def record(self) -> Iterator[None]:
        """Record all transmissions while the context is active."""
        transmit = SimulatedNetwork.transmit

        def recorded(net: SimulatedNetwork, stream: SimulatedStream, data: bytes | None) -> None:
            self.sent.setdefault(stream, bytearray()).extend(data or b"")
            transmit(net, stream, data)

        with mock.patch.object(SimulatedNetwork, "transmit", recorded):
            yield

    def _connections(self) -> Iterator[tuple[SimulatedStream, bytes, bytes]]:
        for stream, data in self.sent.items():
            if stream.opened:
                yield stream, bytes(data), bytes(self.sent.get(stream.other, b""))

    def _connection_kind(self, stream: SimulatedStream) -> str:
        here, there = stream.here, stream.there
        if there not in self.controllers:
            return there if there in ("state", "cloud") else "agent"
        return {"user": "user", "operator": "operator", "raw": "raw"}.get(here, "agent report")

    def interfaces(self) -> tuple[MessageKinds, MessageKinds]:
        """Return the messages of the published interfaces, and those of operators."""
        published, operator = MessageKinds(), MessageKinds()
        for stream, out, back in self._connections():
            connection_kind = self._connection_kind(stream)
            if (
                stream.here in self.controllers and stream.there in self.controllers
            ) or connection_kind == "raw":
                continue
            answers = list(http_messages(back))
            for index, request in enumerate(http_messages(out)):
                method, target, _ = request.start.split(" ")
                kinds = operator if connection_kind == "operator" else published
                name = f"{connection_kind}: {method} {pattern(target)}"
                opaque = STORED_VALUE_KEYS if connection_kind == "state" else frozenset()
                kinds.add(f"{name} request", request.value, request.raw, opaque=opaque)
                if index < len(answers):
                    status = answers[index].start.split(" ")[1]
                    kinds.add(
                        f"{name} answer {status}",
                        answers[index].value,
                        None if connection_kind == "operator" else answers[index].raw,
                        opaque=opaque,
                        words=connection_kind != "operator",
                    )
        return published, operator

    def link(self) -> MessageKinds:
        """Return the messages on the links between controllers."""
        kinds = MessageKinds()
        for stream, out, back in self._connections():
            if stream.here not in self.controllers or stream.there not in self.controllers:
                continue
            kinds.add("answers", None, back[:1] or None)
            for index, frame in enumerate(frames(out)):
                value = cbor2.loads(frame)
                assert cbor2.dumps(value) == frame, (
                    "a frame must be the plain encoding of its value"
                )
                if index == 0:
                    kinds.add("greeting", value, struct.pack(">I", len(frame)) + frame)
                    continue
                for message in value:
                    self._message(kinds, message)
        return kinds

    @staticmethod
    def _message(kinds: MessageKinds, message: list[Any]) -> None:
        texts = message[0] in TEXT_MESSAGES
        name = f"message {message[0]}"
        if message[0] in ("x", "y"):  # relay requests by what they ask for, and answers
            name += f" {message[5].get('what', 'answer')}"
        kinds.add(name, message, None if texts else cbor2.dumps(message), words=not texts)


def written_kinds(log: list[Any]) -> MessageKinds:
    """Return the keys and values written to the state service, grouped by the form of the key."""
    kinds = MessageKinds()
    for event in log:
        name = pattern(event.key)
        if event.value is None:
            kinds.add(f"{name} deleted", None, None)
        else:
            kinds.add(
                f"{name} {type(event.value).__name__}", event.value, orjson.dumps(event.value)
            )
    return kinds
