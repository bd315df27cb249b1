"""The link between controllers: one stream of CBOR frames each way, batched and bounded.

Each controller connects to every other one and only sends on that connection; the receiver answers
with a byte now and then, so that a connection which delivers nothing is noticed. Nothing is queued
across a lost connection: what is sent is the newest state of keyed channels, and a new connection
starts with all of it (`coordination.state_channel`). Used by `controller.peer_links`.
"""

from __future__ import annotations

import struct
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
import anyio.abc
import cbor2

from ploverhall.transport.network import TCP_NETWORK, Network

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024
FRAME_LENGTH = struct.Struct(">I")  # stands before every frame
READ_BYTES = 65_536

# The greeting, the first frame of a connection
VERSION_FIELD = "v"
SENDER_FIELD = "from"
ACKS_FIELD = "acks"  # missing in older releases, which wait for an acknowledgement of each frame
FEATURE_SPARSE_ACKS = "some"  # value of ACKS_FIELD: not every frame has to be acknowledged
ACK = b"."

ACK_INTERVAL_S = 0.4  # least time between two acknowledgements
PEER_TIMEOUT_S = 3.0  # without an acknowledgement for so long, the connection is broken
KEEPALIVE_INTERVAL_S = 1.0  # an empty batch is sent after so long without another
READ_TIMEOUT_S = 10.0  # without any bytes for so long, the receiver closes the connection
CONNECT_TIMEOUT_S = 2.0
RECONNECT_DELAY_S = 0.3
COLLECT_INTERVAL_S = 0.5  # messages are collected so often without a call of `notify`
BATCH_DELAY_S = 0.01  # what is decided in this time goes out in one frame
_CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.IncompleteRead,
    OSError,
    TimeoutError,
)


class Greeting(NamedTuple):
    """What the sender says of itself at the beginning of a connection."""

    sender: str  # name of the controller
    # Acknowledging every frame doubles the packets; only older releases wait for that
    sparse_acks: bool


class PeerLink:
    """The sending side of the link to one peer."""

    def __init__(
        self,
        own_name: str,
        name: str,
        host: str,
        port: int,
        collect: Callable[[str, int], list[Any]],
        network: Network = TCP_NETWORK,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`name`, `host`, `port`: the peer's.

        `collect` is called with the peer's name and the connection's generation, and returns the
        messages to send now.
        """
        self.network = network
        self.clock = clock
        self.own_name = own_name
        self.name = name
        self.host = host
        self.port = port
        self.collect = collect
        self.generation = 0  # raised with every new connection
        self.connected = False
        self.wake = anyio.Event()
        self.last_ack_at = 0.0  # time of the peer's last acknowledgement

    def notify(self) -> None:
        """Have messages collected and sent soon."""
        self.wake.set()

    async def run(self) -> None:
        """Connect, send until the connection is lost, and connect again; until cancelled."""
        while True:
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    stream = await self.network.connect(self.host, self.port)
                async with stream, anyio.create_task_group() as task_group:
                    self.generation += 1
                    self.last_ack_at = self.clock()
                    await self._send_greeting(stream)
                    task_group.start_soon(self._receive_acks, stream)
                    self.connected = True
                    await self._send_batches(stream)
            except* _CONNECTION_ERRORS:
                pass
            finally:
                self.connected = False
            await anyio.sleep(RECONNECT_DELAY_S)

    async def _send_greeting(self, stream: anyio.abc.ByteStream) -> None:
        greeting = {
            VERSION_FIELD: PROTOCOL_VERSION,
            SENDER_FIELD: self.own_name,
            ACKS_FIELD: FEATURE_SPARSE_ACKS,
        }
        await self._send(stream, greeting)

    async def _receive_acks(self, stream: anyio.abc.ByteStream) -> None:
        while True:
            await stream.receive()
            self.last_ack_at = self.clock()

    async def _send_batches(self, stream: anyio.abc.ByteStream) -> None:
        """Send messages as they come. Raises TimeoutError when the peer acknowledges nothing."""
        last_sent_at = 0.0
        while True:
            self.wake = anyio.Event()
            batch = self.collect(self.name, self.generation)
            now = self.clock()
            # A partition closes no connection. Frames go out every second and are acknowledged
            if now - self.last_ack_at > PEER_TIMEOUT_S:
                raise TimeoutError
            if batch or now - last_sent_at > KEEPALIVE_INTERVAL_S:
                last_sent_at = now
                await self._send(stream, batch)
            with anyio.move_on_after(COLLECT_INTERVAL_S):
                await self.wake.wait()
                await anyio.sleep(BATCH_DELAY_S)

    async def _send(self, stream: anyio.abc.ByteStream, value: Any) -> None:
        data = cbor2.dumps(value)
        with anyio.fail_after(PEER_TIMEOUT_S):
            await stream.send(FRAME_LENGTH.pack(len(data)) + data)


class PeerListener:
    """The receiving side of the links from all peers."""

    def __init__(
        self,
        deliver: Callable[[str, list[Any]], None],
        network: Network = TCP_NETWORK,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`deliver` is called with the sender's name and each batch that is not empty."""
        self.deliver = deliver
        self.network = network
        self.clock = clock

    async def run(self, host: str, port: int) -> None:
        """Listen until cancelled. Raises OSError when the address cannot be listened on."""
        await self.network.serve(host, port, self._serve)

    async def _serve(self, stream: anyio.abc.ByteStream) -> None:
        try:
            async with stream:
                buffer = bytearray()
                greeting = _decode_greeting(await self._read_frame(stream, buffer))
                if greeting is not None:
                    await stream.send(ACK)
                    await self._receive_batches(stream, buffer, greeting)
        except (cbor2.CBORDecodeError, ValueError, *_CONNECTION_ERRORS):
            pass

    async def _receive_batches(
        self, stream: anyio.abc.ByteStream, buffer: bytearray, greeting: Greeting
    ) -> None:
        last_ack_at = 0.0
        while True:
            batch = await self._read_frame(stream, buffer)
            if isinstance(batch, list) and batch:
                self.deliver(greeting.sender, batch)
            now = self.clock()
            if not greeting.sparse_acks or now - last_ack_at > ACK_INTERVAL_S:
                last_ack_at = now
                await stream.send(ACK)

    async def _read_frame(self, stream: anyio.abc.ByteStream, buffer: bytearray) -> Any:
        """Return the next frame's value; `buffer` holds bytes that came after the last frame."""
        await self._fill(stream, buffer, FRAME_LENGTH.size)
        (size,) = FRAME_LENGTH.unpack_from(buffer)
        if size > MAX_FRAME_BYTES:
            raise ValueError("frame too large")
        end = FRAME_LENGTH.size + size
        await self._fill(stream, buffer, end)
        value = cbor2.loads(bytes(buffer[FRAME_LENGTH.size : end]))
        del buffer[:end]
        return value

    async def _fill(self, stream: anyio.abc.ByteStream, buffer: bytearray, size: int) -> None:
        """Read until the buffer holds at least `size` bytes."""
        while len(buffer) < size:
            with anyio.fail_after(READ_TIMEOUT_S):
                buffer += await stream.receive(READ_BYTES)


def _decode_greeting(value: Any) -> Greeting | None:
    """Return the greeting; None if it is none, or of another protocol version."""
    if not isinstance(value, dict) or value.get(VERSION_FIELD) != PROTOCOL_VERSION:
        return None
    sender = value.get(SENDER_FIELD)
    if not isinstance(sender, str):
        return None
    return Greeting(sender, value.get(ACKS_FIELD) == FEATURE_SPARSE_ACKS)
