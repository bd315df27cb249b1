"""Everything that crosses the simulated network, taken apart into HTTP exchanges and link frames.

Written against bytes only: none of the package's own readers is used, so a fault in one shows.
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

from .shapes import Kinds, pattern

# A stored record inside a message of the state service: see the golden file of the store
STORED = frozenset(("v",))
TEXTS = ("v", "q", "a")  # link messages that hold the views for people


@dataclass
class HttpMessage:
    """One request or answer as it stood on a connection."""

    start: str
    body: bytes
    raw: bytes

    @property
    def value(self) -> Any:
        """The body as JSON, or as text."""
        try:
            return orjson.loads(self.body) if self.body else None
        except orjson.JSONDecodeError:
            return "not JSON"


def http_messages(data: bytes) -> Iterator[HttpMessage]:
    """The whole messages at the head of a connection's bytes."""
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
    """The whole frames at the head of a link's bytes, without their lengths."""
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
    def on(self) -> Iterator[None]:
        """Record until left."""
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

    def _side(self, stream: SimulatedStream) -> str:
        here, there = stream.here, stream.there
        if there not in self.controllers:
            return there if there in ("state", "cloud") else "agent"
        return {"user": "user", "operator": "operator", "raw": "raw"}.get(here, "agent report")

    def interfaces(self) -> tuple[Kinds, Kinds]:
        """Messages of the published interfaces, and those of operators."""
        published, operator = Kinds(), Kinds()
        for stream, out, back in self._connections():
            side = self._side(stream)
            if (
                stream.here in self.controllers and stream.there in self.controllers
            ) or side == "raw":
                continue
            answers = list(http_messages(back))
            for index, request in enumerate(http_messages(out)):
                method, target, _ = request.start.split(" ")
                kinds = operator if side == "operator" else published
                name = f"{side}: {method} {pattern(target)}"
                opaque = STORED if side == "state" else frozenset()
                kinds.add(f"{name} request", request.value, request.raw, opaque=opaque)
                if index < len(answers):
                    status = answers[index].start.split(" ")[1]
                    kinds.add(
                        f"{name} answer {status}",
                        answers[index].value,
                        None if side == "operator" else answers[index].raw,
                        opaque=opaque,
                        words=side != "operator",
                    )
        return published, operator

    def link(self) -> Kinds:
        """Messages on the links between controllers."""
        kinds = Kinds()
        for stream, out, back in self._connections():
            if stream.here not in self.controllers or stream.there not in self.controllers:
                continue
            kinds.add("answers", None, back[:1] or None)
            for index, frame in enumerate(frames(out)):
                value = cbor2.loads(frame)
                assert cbor2.dumps(value) == frame, "a frame is the plain encoding of its value"
                if index == 0:
                    kinds.add("greeting", value, struct.pack(">I", len(frame)) + frame)
                    continue
                for message in value:
                    self._message(kinds, message)
        return kinds

    @staticmethod
    def _message(kinds: Kinds, message: list[Any]) -> None:
        texts = message[0] in TEXTS
        name = f"message {message[0]}"
        if message[0] in ("x", "y"):  # what is asked, and whether the receiver answers with one
            name += f" {message[5].get('what', 'answer')}"
        kinds.add(name, message, None if texts else cbor2.dumps(message), words=not texts)


def stored(log: list[Any]) -> Kinds:
    """Keys and values written to the state service, by the form of the key."""
    kinds = Kinds()
    for event in log:
        name = pattern(event.key)
        if event.value is None:
            kinds.add(f"{name} deleted", None, None)
        else:
            kinds.add(
                f"{name} {type(event.value).__name__}", event.value, orjson.dumps(event.value)
            )
    return kinds
