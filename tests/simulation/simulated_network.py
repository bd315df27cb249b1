"""A network in virtual time whose directed links can be partitioned, slow or lossy."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio
import anyio.abc

# What a link does with its packets while the partition lasts:
SILENT = "silent"  # they arrive at its end, unless the sender has closed the connection by then
HOLD = "hold"  # they arrive at its end
RESET = "reset"  # they reset their connection
REFUSE = "refuse"  # no connection can be opened; open ones keep working
SLOW = "slow"
LOSSY = "lossy"  # some are lost and retransmitted
NO_DELIVERY = "deaf"  # like silent, but the receiver can still connect, and its packets arrive
# No connection can be opened in this direction; those opened by the other side work in both
NO_CONNECT = "mute"
MODES = (SILENT, HOLD, RESET, REFUSE, SLOW, LOSSY)

MIN_DELAY_S = 0.0005
DELAY_SPREAD_S = 0.002
SLOW_DELAY_S = 0.3
SLOW_SPREAD_S = 0.5
LOSS_SHARE = 0.3
RETRANSMISSION_DELAYS_S = (0.2, 0.4, 1.2)
PACKET_ORDER_STEP_S = 1e-6  # minimum time between the arrivals of two packets
CONNECT_POLL_S = 1.0


@dataclass(slots=True)
class NetworkPartition:
    """The mode of a directed link, and the time at which it ends."""

    mode: str
    until: float


class SimulatedStream(anyio.abc.ByteStream):
    """One end of a connection."""

    def __init__(self, network: SimulatedNetwork, here: str, there: str) -> None:
        self.network, self.here, self.there = network, here, there
        self.received, self.changed = bytearray(), anyio.Event()
        self.ended = self.broken = self.closed = False
        self.last_arrival = 0.0  # of the packets sent so far; later ones do not overtake them
        self.opened = False  # this side opened the connection
        self.other: SimulatedStream

    async def send(self, item: bytes) -> None:
        """Send bytes; raises anyio's errors if the connection is closed or was reset."""
        await anyio.lowlevel.checkpoint()
        if self.closed:
            raise anyio.ClosedResourceError
        if self.broken:
            raise anyio.BrokenResourceError
        self.network.transmit(self, bytes(item))

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Wait for and return the next bytes; raises anyio's errors if none can follow."""
        await anyio.lowlevel.checkpoint()
        while not self.received:
            if self.closed:
                raise anyio.ClosedResourceError
            if self.broken:
                raise anyio.BrokenResourceError
            if self.ended:
                raise anyio.EndOfStream
            self.changed = anyio.Event()
            await self.changed.wait()
        taken = bytes(self.received[:max_bytes])
        del self.received[:max_bytes]
        return taken

    async def send_eof(self) -> None:
        """End this direction of the connection."""
        self.network.transmit(self, None)

    async def aclose(self) -> None:
        """Close this end; the other end can still read everything that was sent."""
        if not self.closed:
            self.closed = True
            self.network.transmit(self, None)
            self.changed.set()

    def deliver(self, data: bytes | None, silent: bool) -> None:
        """Receive a packet from the other side: data, or None for the end of the stream."""
        if silent and self.other.closed:
            return  # the sender no longer retransmits it
        if data is None:
            self.ended = True
        else:
            self.received += data
        self.changed.set()

    def reset(self) -> None:
        """Reset this end."""
        self.broken = True
        self.changed.set()

    def reset_both_ends(self) -> None:
        """Reset the connection."""
        self.reset()
        self.other.reset()


Handler = Callable[[SimulatedStream], Coroutine[Any, Any, None]]


@dataclass
class SimulatedNetwork:
    """The connections of all hosts, and the state of every directed link."""

    rng: Random
    clock: Callable[[], float]
    cuts: dict[tuple[str, str], NetworkPartition] = field(default_factory=dict)
    listeners: dict[tuple[str, int], Handler] = field(default_factory=dict)
    groups: dict[tuple[str, int], anyio.abc.TaskGroup] = field(default_factory=dict)
    streams: list[SimulatedStream] = field(default_factory=list)
    trace: list[str] | None = None  # every packet, if a test needs it
    checksum: int = 0  # of all packets so far; equal in two runs of one seed

    def of(self, host: str) -> SimulatedHost:
        """Return the network as one host sees it."""
        return SimulatedHost(self, host)

    def cut(self, a: str, b: str, mode: str, s: float, both: bool = True) -> None:
        """Partition the link from a to b (and, with `both`, back) for s seconds from now."""
        until = self.clock() + s
        for source, target in ((a, b), (b, a))[: 2 if both else 1]:
            self.cuts[source, target] = NetworkPartition(mode, until)
            if mode not in (RESET, NO_CONNECT):
                continue
            for stream in self.streams:
                if (stream.here, stream.there) == (source, target) and (
                    mode == RESET or stream.opened
                ):
                    stream.reset_both_ends()

    def partition(self, source: str, target: str) -> NetworkPartition | None:
        """Return the partition of a directed link that is in force now, or None."""
        found = self.cuts.get((source, target))
        return found if found is not None and found.until > self.clock() else None

    def arrival(self, source: str, target: str) -> float:
        """Draw the arrival time of a packet that is sent now."""
        at = self.clock() + MIN_DELAY_S + DELAY_SPREAD_S * self.rng.random()
        partition = self.partition(source, target)
        if partition is None:
            return at
        if partition.mode in (SILENT, HOLD, NO_DELIVERY):
            return partition.until + DELAY_SPREAD_S * self.rng.random()
        if partition.mode == SLOW:
            return at + (SLOW_DELAY_S + SLOW_SPREAD_S * self.rng.random())
        if partition.mode == LOSSY and self.rng.random() < LOSS_SHARE:
            return at + self.rng.choice(RETRANSMISSION_DELAYS_S)
        return at

    def transmit(self, stream: SimulatedStream, data: bytes | None) -> None:
        """Send a packet to the other end of a connection: data, or None for the end."""
        partition = self.partition(stream.here, stream.there)
        if partition is not None and partition.mode == RESET:
            stream.reset_both_ends()
            return
        stream.last_arrival = max(
            stream.last_arrival + PACKET_ORDER_STEP_S, self.arrival(stream.here, stream.there)
        )
        self._add_to_checksum(stream, data)
        if self.trace is not None:
            self.trace.append(f"{self.clock():.6f} {stream.here}>{stream.there} {data!r}")
        silent = partition is not None and partition.mode in (SILENT, NO_DELIVERY)
        asyncio.get_running_loop().call_at(stream.last_arrival, stream.other.deliver, data, silent)

    def _add_to_checksum(self, stream: SimulatedStream, data: bytes | None) -> None:
        arrival = f"{stream.here}>{stream.there} {stream.last_arrival!r}".encode()
        with_arrival = zlib.crc32(arrival, self.checksum)
        self.checksum = zlib.crc32(self.checked_content(stream, data), with_arrival)

    def checked_content(self, stream: SimulatedStream, data: bytes | None) -> bytes:
        """Return the part of a packet's content that enters the checksum: all of it."""
        return data or b""

    async def connect(self, source: str, target: str, port: int) -> SimulatedStream:
        """Open a connection.

        Returns the end at `source`. Raises ConnectionError like the operating system.
        """
        await self._handshake_packet(source, target, source)
        await self._handshake_packet(target, source, source)
        handler, group = self.listeners.get((target, port)), self.groups.get((target, port))
        if handler is None or group is None:
            raise ConnectionRefusedError
        here, there = SimulatedStream(self, source, target), SimulatedStream(self, target, source)
        here.other, there.other = there, here
        here.opened = True
        self.streams = [stream for stream in self.streams if not stream.closed]
        self.streams += [here, there]
        group.start_soon(handler, there)
        return here

    async def _handshake_packet(self, sender: str, receiver: str, opener: str) -> None:
        """Wait until a packet of a connection's handshake has arrived."""
        while True:
            partition = self.partition(sender, receiver)
            if partition is not None:
                if partition.mode == NO_DELIVERY and sender != opener:
                    return  # the connection opens, and its answers do not arrive
                if partition.mode == NO_CONNECT and sender == opener:
                    await anyio.sleep(min(CONNECT_POLL_S, partition.until - self.clock()))
                    continue
                if partition.mode == RESET:
                    raise ConnectionResetError
                if partition.mode == REFUSE:
                    raise ConnectionRefusedError
            await anyio.sleep(min(CONNECT_POLL_S, self.arrival(sender, receiver) - self.clock()))
            partition = self.partition(sender, receiver)
            if partition is None or partition.mode not in (SILENT, HOLD, NO_DELIVERY):
                return


@dataclass
class SimulatedHost:
    """The network as one host sees it, as a `ploverhall.transport.network.Network`."""

    network: SimulatedNetwork
    name: str

    async def connect(self, host: str, port: int) -> Any:
        """Open a connection from this host."""
        return await self.network.connect(self.name, host, port)

    async def serve(self, host: str, port: int, handler: Any, backlog: int = 512) -> None:
        """Accept connections until cancelled."""
        async with anyio.create_task_group() as connections:
            self.network.listeners[host, port] = handler
            self.network.groups[host, port] = connections
            try:
                await anyio.sleep_forever()
            finally:
                self.network.listeners.pop((host, port), None)
