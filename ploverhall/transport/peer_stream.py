"""Links between controllers: one stream of CBOR frames each way, batched and limited in size.

Each controller connects to every other one and sends messages only on that connection. The receiver
acknowledges with one byte from time to time, so that the sender detects a connection that delivers
nothing. Nothing is queued across a lost connection: the messages are the newest state of keyed
channels, and a new connection starts with the full state (`coordination.state_channel`). Used by
`controller.peer_links`.
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
FRAME_LENGTH = struct.Struct(">I")  # length prefix of every frame
READ_BYTES = 65_536

# Fields of the greeting, the first frame of a connection
VERSION_FIELD = "v"
SENDER_FIELD = "from"
ACKS_FIELD = "acks"  # missing in older releases, which wait for the acknowledgement of each frame
FEATURE_SPARSE_ACKS = "some"  # value of ACKS_FIELD: not every frame has to be acknowledged
ACK = b"."

ACK_INTERVAL_S = 0.4  # minimum time between two acknowledgements
PEER_TIMEOUT_S = 3.0  # without an acknowledgement for longer, the connection counts as broken
KEEPALIVE_INTERVAL_S = 1.0  # an empty batch is sent after this time without another batch
READ_TIMEOUT_S = 10.0  # without any bytes for this time, the receiver closes the connection
CONNECT_TIMEOUT_S = 2.0
RECONNECT_DELAY_S = 0.3
COLLECT_INTERVAL_S = 0.5  # how often messages are collected without a call of `notify`
BATCH_DELAY_S = 0.01  # messages that arise within this time are sent in one frame
_CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.IncompleteRead,
    OSError,
    TimeoutError,
)


class Greeting(NamedTuple):
    """The first frame of a connection, in which the sender identifies itself."""

    sender: str  # name of the sending controller
    # Not every frame has to be acknowledged. Acknowledging each one doubles the packets, and only
    # older releases wait for that
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
        """Create an unconnected link; `run` connects it.

        Args:
            own_name: Name of this controller.
            name: Name of the peer.
            host: Host on which the peer listens.
            port: Port on which the peer listens.
            collect: Returns the messages to send now, given the peer's name and the connection's
                generation.
            network: Opens the connections.
            clock: Steady clock, in seconds.
        """
        self.network = network
        self.clock = clock
        self.own_name = own_name
        self.name = name
        self.host = host
        self.port = port
        self.collect = collect
        self.generation = 0  # incremented with every new connection
        self.connected = False
        self.wake = anyio.Event()
        self.last_ack_at = 0.0  # when the peer last acknowledged (steady clock, seconds)

    def notify(self) -> None:
        """Wake the link to collect and send messages soon."""
        self.wake.set()

    async def run(self) -> None:
        """Connect, send until the connection is lost, and reconnect, until cancelled."""
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
        """Send the first frame, which identifies this controller."""
        greeting = {
            VERSION_FIELD: PROTOCOL_VERSION,
            SENDER_FIELD: self.own_name,
            ACKS_FIELD: FEATURE_SPARSE_ACKS,
        }
        await self._send(stream, greeting)

    async def _receive_acks(self, stream: anyio.abc.ByteStream) -> None:
        """Record the time of each acknowledgement until the connection is lost."""
        while True:
            await stream.receive()
            self.last_ack_at = self.clock()

    async def _send_batches(self, stream: anyio.abc.ByteStream) -> None:
        """Send messages as they arise; raises `TimeoutError` if the peer stops acknowledging."""
        last_sent_at = 0.0
        while True:
            self.wake = anyio.Event()
            batch = self.collect(self.name, self.generation)
            now = self.clock()
            # A network partition does not close a connection. A frame is sent every second, and a
            # reachable peer acknowledges it
            if now - self.last_ack_at > PEER_TIMEOUT_S:
                raise TimeoutError
            if batch or now - last_sent_at > KEEPALIVE_INTERVAL_S:
                last_sent_at = now
                await self._send(stream, batch)
            with anyio.move_on_after(COLLECT_INTERVAL_S):
                await self.wake.wait()
                await anyio.sleep(BATCH_DELAY_S)

    async def _send(self, stream: anyio.abc.ByteStream, value: Any) -> None:
        """Send one frame; raises `TimeoutError` after `PEER_TIMEOUT_S`."""
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
        """Create a listener; `run` starts it.

        Args:
            deliver: Called with the sender's name and each non-empty batch of messages.
            network: Accepts the connections.
            clock: Steady clock, in seconds.
        """
        self.deliver = deliver
        self.network = network
        self.clock = clock

    async def run(self, host: str, port: int) -> None:
        """Listen until cancelled; raises `OSError` if it cannot listen on the address."""
        await self.network.serve(host, port, self._serve)

    async def _serve(self, stream: anyio.abc.ByteStream) -> None:
        """Receive batches on one connection until it ends; close it if a frame is invalid."""
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
        """Deliver each batch, and acknowledge the frames as the sender expects it."""
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
        """Return the value of the next frame; `buffer` keeps the bytes received after it.

        Raises `ValueError` for a frame that is too large.
        """
        await self._fill(stream, buffer, FRAME_LENGTH.size)
        (size,) = FRAME_LENGTH.unpack_from(buffer)
        if size > MAX_FRAME_BYTES:
            raise ValueError(
                f"peer frame of {size} bytes is larger than the limit of {MAX_FRAME_BYTES}"
            )
        end = FRAME_LENGTH.size + size
        await self._fill(stream, buffer, end)
        value = cbor2.loads(bytes(buffer[FRAME_LENGTH.size : end]))
        del buffer[:end]
        return value

    async def _fill(self, stream: anyio.abc.ByteStream, buffer: bytearray, size: int) -> None:
        """Read until the buffer holds at least `size` bytes.

        Raises `TimeoutError` if no bytes arrive for `READ_TIMEOUT_S`.
        """
        while len(buffer) < size:
            with anyio.fail_after(READ_TIMEOUT_S):
                buffer += await stream.receive(READ_BYTES)


def _decode_greeting(value: Any) -> Greeting | None:
    """Return the decoded greeting; None if it is malformed or of another protocol version."""
    if not isinstance(value, dict) or value.get(VERSION_FIELD) != PROTOCOL_VERSION:
        return None
    sender = value.get(SENDER_FIELD)
    if not isinstance(sender, str):
        return None
    return Greeting(sender, value.get(ACKS_FIELD) == FEATURE_SPARSE_ACKS)
