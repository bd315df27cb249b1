"""The link between controllers: one cbor2 stream each way, framed, batched, bounded and versioned.

Each node dials every other and only sends on that connection; the other side answers with a byte now and
then, so a silent cut is noticed. Nothing is queued across a loss: what is sent is the
newest state of keyed boards, and a new connection starts with all of it (see coordination.boards).
"""

from __future__ import annotations

import struct
import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import cbor2

from ploverhall.transport.network import TCP_NETWORK, Network

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024
FEATURE_SPARSE_ACKS = "some"  # in a greeting: not every frame has to be answered
ACK_INTERVAL_S = 0.4  # least time between two answers
PEER_TIMEOUT_S = 3.0  # no answer for so long: the connection is broken
BATCH_DELAY_S = 0.01
_CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.IncompleteRead,
    OSError,
    TimeoutError,
)


class PeerLink:
    """The sending side towards one peer. `generation` rises with every new connection."""

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
        self.network = network
        self.clock = clock
        self.own_name = own_name
        self.name = name
        self.host = host
        self.port = port
        self.collect = collect
        self.generation = 0
        self.connected = False
        self.wake = anyio.Event()
        self.last_ack_at = 0.0  # when the other side last answered

    def notify(self) -> None:
        """There is something to send."""
        self.wake.set()

    async def run(self) -> None:
        """Dial, send, dial again."""
        while True:
            try:
                with anyio.fail_after(2.0):
                    stream = await self.network.connect(self.host, self.port)
                async with stream, anyio.create_task_group() as task_group:
                    self.generation += 1
                    self.last_ack_at = self.clock()
                    await self._send(
                        stream,
                        {"v": PROTOCOL_VERSION, "from": self.own_name, "acks": FEATURE_SPARSE_ACKS},
                    )
                    task_group.start_soon(self._receive_acks, stream)
                    self.connected = True
                    await self._send_batches(stream)
            except* _CONNECTION_ERRORS:
                pass
            finally:
                self.connected = False
            await anyio.sleep(0.3)

    async def _receive_acks(self, stream: anyio.abc.ByteStream) -> None:
        while True:
            await stream.receive()
            self.last_ack_at = self.clock()

    async def _send_batches(self, stream: anyio.abc.ByteStream) -> None:
        last_sent_at = 0.0
        while True:
            self.wake = anyio.Event()
            batch = self.collect(self.name, self.generation)
            now = self.clock()
            if now - self.last_ack_at > PEER_TIMEOUT_S:
                raise TimeoutError  # a cut without a word: frames go out every second, and the other side answers
            if batch or now - last_sent_at > 1.0:
                last_sent_at = now
                await self._send(stream, batch)
            with anyio.move_on_after(0.5):
                await self.wake.wait()
                await anyio.sleep(BATCH_DELAY_S)  # what is decided together travels together

    async def _send(self, stream: anyio.abc.ByteStream, value: Any) -> None:
        data = cbor2.dumps(value)
        with anyio.fail_after(PEER_TIMEOUT_S):
            await stream.send(struct.pack(">I", len(data)) + data)


class PeerListener:
    """The receiving side: checks the greeting, hands every batch on, answers with a byte now and then."""

    def __init__(
        self,
        deliver: Callable[[str, list[Any]], None],
        network: Network = TCP_NETWORK,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.deliver = deliver
        self.network = network
        self.clock = clock

    async def run(self, host: str, port: int) -> None:
        """Listen until cancelled."""
        await self.network.serve(host, port, self._serve)

    async def _serve(self, stream: anyio.abc.ByteStream) -> None:
        try:
            async with stream:
                buffer = bytearray()
                greeting = await self._read_frame(stream, buffer)
                if (
                    not isinstance(greeting, dict)
                    or greeting.get("v") != PROTOCOL_VERSION
                    or not isinstance(greeting.get("from"), str)
                ):
                    return
                await stream.send(b".")
                sparse_acks, last_ack_at = greeting.get("acks") == FEATURE_SPARSE_ACKS, 0.0
                while True:
                    batch = await self._read_frame(stream, buffer)
                    if isinstance(batch, list) and batch:
                        self.deliver(greeting["from"], batch)
                    now = self.clock()
                    if not sparse_acks or now - last_ack_at > ACK_INTERVAL_S:
                        # an answer for every frame doubled the packets and the turns of both processes; a release that
                        # waits for each (it sends no "acks") still gets them
                        last_ack_at = now
                        await stream.send(b".")
        except (cbor2.CBORDecodeError, ValueError, *_CONNECTION_ERRORS):
            pass

    async def _read_frame(self, stream: anyio.abc.ByteStream, buffer: bytearray) -> Any:
        size = -1
        while True:
            if size < 0 and len(buffer) >= 4:
                (size,) = struct.unpack(">I", buffer[:4])
                if size > MAX_FRAME_BYTES:
                    raise ValueError("frame too large")
            if size >= 0 and len(buffer) >= 4 + size:
                value = cbor2.loads(bytes(buffer[4 : 4 + size]))
                del buffer[: 4 + size]
                return value
            with anyio.fail_after(10.0):
                buffer += await stream.receive(65536)
