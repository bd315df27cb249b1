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

from ploverhall.transport.network import TCP, Net

VERSION = 1
MAX_FRAME = 16 * 1024 * 1024
SPARSE = "some"  # in a greeting: not every frame has to be answered
ANSWER_S = 0.4  # least time between two answers
SILENT_S = 3.0  # no answer for so long: the connection is broken
TOGETHER_S = 0.01
_BROKEN = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.IncompleteRead,
    OSError,
    TimeoutError,
)


class Link:
    """The sending side towards one peer. `generation` rises with every new connection."""

    def __init__(
        self,
        me: str,
        name: str,
        host: str,
        port: int,
        collect: Callable[[str, int], list[Any]],
        net: Net = TCP,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.net, self.clock = net, clock
        self.me, self.name, self.host, self.port = me, name, host, port
        self.collect = collect
        self.generation = 0
        self.up = False
        self.wake = anyio.Event()
        self.heard = 0.0  # when the other side last answered

    def poke(self) -> None:
        """There is something to send."""
        self.wake.set()

    async def run(self) -> None:
        """Dial, send, dial again."""
        while True:
            try:
                with anyio.fail_after(2.0):
                    stream = await self.net.connect(self.host, self.port)
                async with stream, anyio.create_task_group() as tg:
                    self.generation += 1
                    self.heard = self.clock()
                    await self._send(stream, {"v": VERSION, "from": self.me, "acks": SPARSE})
                    tg.start_soon(self._answers, stream)
                    self.up = True
                    await self._pump(stream)
            except* _BROKEN:
                pass
            finally:
                self.up = False
            await anyio.sleep(0.3)

    async def _answers(self, stream: anyio.abc.ByteStream) -> None:
        while True:
            await stream.receive()
            self.heard = self.clock()

    async def _pump(self, stream: anyio.abc.ByteStream) -> None:
        beat = 0.0
        while True:
            self.wake = anyio.Event()
            batch = self.collect(self.name, self.generation)
            now = self.clock()
            if now - self.heard > SILENT_S:
                raise TimeoutError  # a cut without a word: frames go out every second, and the other side answers
            if batch or now - beat > 1.0:
                beat = now
                await self._send(stream, batch)
            with anyio.move_on_after(0.5):
                await self.wake.wait()
                await anyio.sleep(TOGETHER_S)  # what is decided together travels together

    async def _send(self, stream: anyio.abc.ByteStream, value: Any) -> None:
        data = cbor2.dumps(value)
        with anyio.fail_after(SILENT_S):
            await stream.send(struct.pack(">I", len(data)) + data)


class Listener:
    """The receiving side: checks the greeting, hands every batch on, answers with a byte now and then."""

    def __init__(
        self,
        deliver: Callable[[str, list[Any]], None],
        net: Net = TCP,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.deliver = deliver
        self.net, self.clock = net, clock

    async def run(self, host: str, port: int) -> None:
        """Listen until cancelled."""
        await self.net.serve(host, port, self._serve)

    async def _serve(self, stream: anyio.abc.ByteStream) -> None:
        try:
            async with stream:
                buf = bytearray()
                hello = await self._frame(stream, buf)
                if (
                    not isinstance(hello, dict)
                    or hello.get("v") != VERSION
                    or not isinstance(hello.get("from"), str)
                ):
                    return
                await stream.send(b".")
                sparse, answered = hello.get("acks") == SPARSE, 0.0
                while True:
                    batch = await self._frame(stream, buf)
                    if isinstance(batch, list) and batch:
                        self.deliver(hello["from"], batch)
                    now = self.clock()
                    if not sparse or now - answered > ANSWER_S:
                        # an answer for every frame doubled the packets and the turns of both processes; a release that
                        # waits for each (it sends no "acks") still gets them
                        answered = now
                        await stream.send(b".")
        except (cbor2.CBORDecodeError, ValueError, *_BROKEN):
            pass

    async def _frame(self, stream: anyio.abc.ByteStream, buf: bytearray) -> Any:
        size = -1
        while True:
            if size < 0 and len(buf) >= 4:
                (size,) = struct.unpack(">I", buf[:4])
                if size > MAX_FRAME:
                    raise ValueError("frame too large")
            if size >= 0 and len(buf) >= 4 + size:
                value = cbor2.loads(bytes(buf[4 : 4 + size]))
                del buf[: 4 + size]
                return value
            with anyio.fail_after(10.0):
                buf += await stream.receive(65536)
