"""The real composition in virtual time: three controllers with all their parts, over links that each have a state of their own.

Nothing of a controller is left out or replaced: HTTP, the links, the loops run as in `serve`, on an event loop whose clock
jumps to the next timer, over a network that knows for every directed pair of hosts how their packets fare. The stand-ins
(tests/simulation/fakes.py) speak the published protocol; the rules are judged from the workers' side only.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import math
import selectors
import zlib
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio
import anyio.abc
from anyio._backends import _asyncio as backend

from ploverhall import log, settings
from ploverhall.controller.controller import Controller
from ploverhall.errors import UnreachableError
from ploverhall.protocol import jobs
from ploverhall.runtime import Runtime
from ploverhall.storage.schema import SHARD_PREFIX
from ploverhall.transport.http_client import Client
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply, Server

from . import decision_model
from .fakes import FakeAgents, FakeStoreAndCloud

SILENT, HOLD, RESET, REFUSE, SLOW, LOSSY = "silent", "hold", "reset", "refuse", "slow", "lossy"
DEAF = "deaf"  # like silent, but the other side can still connect and be heard
# No connection can be opened that way; those that the other side opens carry both ways
MUTE = "mute"
MODES = (SILENT, HOLD, RESET, REFUSE, SLOW, LOSSY)
FINISHED_S = 30.0  # a job asked for so long ago should be served
START = 1000.0  # the clock's first value: nothing may take 0 for "never"


SCENE_LIMIT_S = 1_800.0


class SceneError(Exception):
    """A scene could not be played to its end: no AssertionError, so no test takes it for the failure that it expects."""


class _Selector(selectors.DefaultSelector):  # type: ignore[valid-type, misc]
    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> Any:
        found = super().select(0)
        if not found:
            if timeout is None:
                raise RuntimeError("nothing will ever happen again")
            self.loop.at += max(0.0, timeout)
            if self.loop.at > self.loop.limit:
                # Not by a timer: one more in the loop's heap changes the order of those that are due together
                self.loop.limit = math.inf  # what the scene has begun may end
                raise SceneError(f"the scene has not ended after {SCENE_LIMIT_S} s")
        return found


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that never waits, and does the same every time.

    anyio keeps tasks and scopes in sets and cancels them in the sets' order: by address, unless they are counted. So the order in
    which a controller's parts ended (what was still sent, which draw came next) differed from run to run of one seed.
    """

    def __init__(self) -> None:
        self.at = START
        self.limit = START + SCENE_LIMIT_S
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)
        _Task.count = _Scope.count = itertools.count()
        self.set_task_factory(lambda loop, coro, **kw: _Task(coro, loop=loop, **kw))  # type: ignore[arg-type]

    def time(self) -> float:
        return self.at


class _Task(asyncio.Task):  # type: ignore[type-arg]
    count = itertools.count()

    def __init__(self, *a: Any, **kw: Any) -> None:
        self.number = next(self.count)
        super().__init__(*a, **kw)

    def __hash__(self) -> int:
        return self.number


class _Scope(backend.CancelScope):
    """Counted, too: see Loop."""

    count = itertools.count()

    def __new__(cls, *a: Any, **kw: Any) -> _Scope:
        scope = object.__new__(cls)
        scope.number = next(cls.count)
        return scope

    def __hash__(self) -> int:
        return self.number  # type: ignore[no-any-return]


backend.CancelScope = _Scope  # type: ignore[misc]


@dataclass(slots=True)
class Cut:
    """How packets from one host to another fare, and until when."""

    mode: str
    until: float


class Stream(anyio.abc.ByteStream):
    """One end of a connection."""

    def __init__(self, net: Network, here: str, there: str) -> None:
        self.net, self.here, self.there = net, here, there
        self.buf, self.news = bytearray(), anyio.Event()
        self.ended = self.broken = self.closed = False
        # When the last of what was sent arrives: what follows does not overtake it
        self.after = 0.0
        self.opened = False  # this side opened it
        self.other: Stream

    async def send(self, item: bytes) -> None:
        await anyio.lowlevel.checkpoint()
        if self.closed:
            raise anyio.ClosedResourceError
        if self.broken:
            raise anyio.BrokenResourceError
        self.net.carry(self, bytes(item))

    async def receive(self, max_bytes: int = 65536) -> bytes:
        await anyio.lowlevel.checkpoint()
        while not self.buf:
            if self.closed:
                raise anyio.ClosedResourceError
            if self.broken:
                raise anyio.BrokenResourceError
            if self.ended:
                raise anyio.EndOfStream
            self.news = anyio.Event()
            await self.news.wait()
        out = bytes(self.buf[:max_bytes])
        del self.buf[:max_bytes]
        return out

    async def send_eof(self) -> None:
        self.net.carry(self, None)

    async def aclose(self) -> None:
        if not self.closed:
            self.closed = True
            self.net.carry(self, None)
            self.news.set()

    def arrive(self, data: bytes | None, silent: bool) -> None:
        """A packet from the other side: data, or its end."""
        if silent and self.other.closed:
            return  # nobody sends it again any more
        if data is None:
            self.ended = True
        else:
            self.buf += data
        self.news.set()

    def reset(self) -> None:
        self.broken = True
        self.news.set()


@dataclass
class Network:
    """All hosts' packets, and the state of every directed link."""

    rng: Random
    clock: Callable[[], float]
    cuts: dict[tuple[str, str], Cut] = field(default_factory=dict)
    listeners: dict[tuple[str, int], Callable[[Stream], Awaitable[None]]] = field(
        default_factory=dict
    )
    groups: dict[tuple[str, int], anyio.abc.TaskGroup] = field(default_factory=dict)
    streams: list[Stream] = field(default_factory=list)
    trace: list[str] | None = None  # every packet, where somebody wants to compare
    checksum: int = 0  # of all packets so far: two runs of one seed end with the same

    def of(self, host: str) -> Host:
        return Host(self, host)

    def cut(self, a: str, b: str, mode: str, s: float, both: bool = True) -> None:
        """From now on, and for so long, packets from a to b (and back) fare like this."""
        until = self.clock() + s
        for src, dst in ((a, b), (b, a))[: 2 if both else 1]:
            self.cuts[src, dst] = Cut(mode, until)
            if mode == RESET:
                for stream in self.streams:
                    if (stream.here, stream.there) == (src, dst):
                        stream.reset()
                        stream.other.reset()
            if mode == MUTE:
                for stream in self.streams:
                    if stream.opened and (stream.here, stream.there) == (src, dst):
                        stream.reset()
                        stream.other.reset()

    def state(self, src: str, dst: str) -> Cut | None:
        cut = self.cuts.get((src, dst))
        return cut if cut is not None and cut.until > self.clock() else None

    def arrival(self, src: str, dst: str) -> float:
        """When a packet that leaves now is there."""
        at, cut = self.clock() + 0.0005 + 0.002 * self.rng.random(), self.state(src, dst)
        if cut is not None:
            if cut.mode in (SILENT, HOLD, DEAF):
                at = cut.until + 0.002 * self.rng.random()
            elif cut.mode == SLOW:
                at += 0.3 + 0.5 * self.rng.random()
            elif cut.mode == LOSSY and self.rng.random() < 0.3:
                at += self.rng.choice([0.2, 0.4, 1.2])  # lost, and sent again
        return at

    def carry(self, stream: Stream, data: bytes | None) -> None:
        cut = self.state(stream.here, stream.there)
        if cut is not None and cut.mode == RESET:
            stream.reset()
            stream.other.reset()
            return
        stream.after = max(stream.after + 1e-6, self.arrival(stream.here, stream.there))
        arrival = f"{stream.here}>{stream.there} {stream.after!r}".encode()
        self.checksum = zlib.crc32(
            self.checked_content(stream, data), zlib.crc32(arrival, self.checksum)
        )
        if self.trace is not None:
            self.trace.append(f"{self.clock():.6f} {stream.here}>{stream.there} {data!r}")
        silent = cut is not None and cut.mode in (SILENT, DEAF)
        asyncio.get_running_loop().call_at(stream.after, stream.other.arrive, data, silent)

    def checked_content(self, stream: Stream, data: bytes | None) -> bytes:
        """What of a packet's content enters the checksum: all of it."""
        return data or b""

    async def connect(self, src: str, dst: str, port: int) -> Stream:
        for a, b in ((src, dst), (dst, src)):
            while True:
                cut = self.state(a, b)
                if cut is not None and cut.mode == DEAF and a == dst:
                    break  # whoever connects is heard, and hears nothing of what is answered
                if cut is not None and cut.mode == MUTE and a == src:
                    await anyio.sleep(min(1.0, cut.until - self.clock()))
                    continue
                if cut is not None and cut.mode == RESET:
                    raise ConnectionResetError
                if cut is not None and cut.mode == REFUSE:
                    raise ConnectionRefusedError
                await anyio.sleep(min(1.0, self.arrival(a, b) - self.clock()))
                if (cut := self.state(a, b)) is None or cut.mode not in (SILENT, HOLD, DEAF):
                    break
        handler, group = self.listeners.get((dst, port)), self.groups.get((dst, port))
        if handler is None or group is None:
            raise ConnectionRefusedError
        here, there = Stream(self, src, dst), Stream(self, dst, src)
        here.other, there.other = there, here
        here.opened = True
        self.streams = [s for s in self.streams if not s.closed]
        self.streams += [here, there]
        group.start_soon(handler, there)
        return here


@dataclass
class Host:
    """The network as one host has it."""

    net: Network
    name: str

    async def connect(self, host: str, port: int) -> Any:
        return await self.net.connect(self.name, host, port)

    async def serve(self, host: str, port: int, handler: Any, backlog: int = 512) -> None:
        async with anyio.create_task_group() as tg:
            self.net.listeners[host, port], self.net.groups[host, port] = handler, tg
            try:
                await anyio.sleep_forever()
            finally:
                self.net.listeners.pop((host, port), None)


@dataclass
class SubmittedJob:
    """One user's job."""

    at: float
    accepted: float | None = None
    refusals: int = 0


class SimulatedCluster:
    """Three controllers and everything around them."""

    zones = ("a", "b", "a")
    list_lag_s = 0.5  # of the cloud, as the settings say

    def __init__(
        self,
        seed: int = 1,
        options: settings.Options | None = None,
        machines: int = 12,
        teams: int = 4,
        asks: bool = True,
    ) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.seed = seed
        self.rng = Random(seed)
        self.net = Network(self.rng, self.loop.time)
        self.names = [f"c{i}" for i in range(len(self.zones))]
        self.state = FakeStoreAndCloud(self.loop.time)
        self.refused: set[str] = set()  # whom the state service refuses
        self.fleet = FakeAgents(
            {n: (n, 80) for n in self.names},
            9000,
            self.loop.time,
            self.net.of,
            None,
            1.0,
            ("a", "b"),
            self.rng,
        )
        self.machines, self.asks = machines, asks
        self.options = options
        self.nodes: dict[str, Controller] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.down: set[str] = set()
        self.users = {n: Client(n, 80, 2, self.net.of("user"), self.loop.time) for n in self.names}
        self.teams = {f"team-{i}": settings.Team(f"team-{i}", 0, 0, 4, 16) for i in range(teams)}
        self.asked: dict[str, SubmittedJob] = {}
        self.bodies: dict[str, dict[str, Any]] = {}  # what was submitted
        # While users look closely: what their moments are drawn from
        self.closely: Random | None = None
        self.cancelled: dict[str, float] = {}
        self.withdrawing: set[str] = set()  # whose users have asked to cancel them
        self.told: dict[str, str] = {}  # final states that users have been told
        self.asker = Random(seed + 7)  # draws of its own: asking changes nothing else that is drawn
        self.broken: list[str] = []
        self.settled_at = 0.0
        self.copies = 0  # reports that came a second time
        # The share of transactions that get no answer and are carried out 2 to 12 s later
        self.late_writes = 0.0
        self.late = Random(seed + 9)
        # The share of transactions that are carried out at once, and only their answer is lost
        self.lost_answers = 0.0
        self.lost = Random(seed + 11)

    @property
    def now(self) -> float:
        return self.loop.time()

    def settings(self, me: str) -> settings.Settings:
        listen = {n: f"{n}:81" for n in self.names}
        return settings.parse(
            {
                "host_name": me,
                "site": self.zones[self.names.index(me)],
                "bind": f"{me}:80",
                "peer_listen": listen[me],
                "siblings": [
                    {"host_name": n, "site": z, "addr": listen[n]}
                    for n, z in zip(self.names, self.zones, strict=True)
                    if n != me
                ],
                "external": {"cloud": "cloud:1", "state": f"state:{1 + self.names.index(me)}"},
                "deployment": {
                    "zones": ["a", "b"],
                    "teams": [
                        {
                            "name": t.name,
                            "cpus": 0,
                            "cpus_max": 0,
                            "gpus": t.guaranteed_gpus,
                            "gpus_max": t.max_gpus,
                        }
                        for t in self.teams.values()
                    ],
                    "workers": {
                        "report_s": 1.0,
                        "lease_s": decision_model.LEASE,
                        "gang_wait_s": decision_model.GANG_WAIT,
                        "gang_peer_s": decision_model.GANG_PEER,
                        "cancel_s": decision_model.CANCEL,
                    },
                    "state": {"rps": 300.0, "write_rps": 150.0, "value_kb": 4.0, "txn_ops": 8},
                    "cloud": {"rps": 20.0, "list_lag_s": self.list_lag_s},
                    "limits": {"core_share": 1.0, "mem_mb": 200.0, "max_sockets": 500},
                },
            },
            self.options,
        )

    async def start(self, tg: anyio.abc.TaskGroup) -> None:
        """Everything up, and every part served."""
        self.fleet.tasks = self.tasks = tg
        for i, name in enumerate(self.names):
            tg.start_soon(
                Server(
                    self._state_for(name), 200, network=self.net.of("state"), clock=self.loop.time
                ).run,
                "state",
                1 + i,
            )
        tg.start_soon(
            Server(self.fleet.handle, 100, network=self.net.of("cloud"), clock=self.loop.time).run,
            "cloud",
            1,
        )
        for name in self.names:
            self.boot(name)
        await anyio.sleep(0.1)
        self.fleet.pleas["at the start"] = [
            self.fleet.boot({"marsh": "ab"[i % 2], "driftwood": False})
            for i in range(self.machines)
        ]
        tg.start_soon(self._judge)
        if self.asks:
            tg.start_soon(self._asks)
        while (
            sum(
                len(h.owner.machines)
                for n in self.nodes.values()
                for h in n.context.held_shards.values()
            )
            < self.machines
        ):
            await anyio.sleep(0.1)
        await anyio.sleep(1.0)
        self.settled_at = self.now

    def _state_for(self, name: str) -> Callable[[Request], Awaitable[Reply]]:
        async def handle(q: Request) -> Reply:
            if name in self.refused:
                return Reply(503, {"error": "trouble"})
            if q.path == "/multi" and not self.state.down and self.late.random() < self.late_writes:
                self.tasks.start_soon(self._write_late, q)
                await anyio.sleep(20.0)  # no answer: whoever asked has given up by then
            if (
                q.path == "/multi"
                and not self.state.down
                and self.lost.random() < self.lost_answers
            ):
                await self.state.handle(q)
                await anyio.sleep(20.0)
            return await self.state.handle(q)

        return handle

    async def _write_late(self, q: Request) -> None:
        await anyio.sleep(2.0 + 10.0 * self.late.random())
        await self.state.handle(q)

    async def outage(self, s: float) -> None:
        """The state service refuses everybody for so long; after that every lease has its full time again."""
        self.state.down_until = max(self.state.down_until, self.now + s)
        while self.now < self.state.down_until:
            self.state.down = True
            await anyio.sleep(self.state.down_until - self.now)
        self.state.up_again()

    def calm(self) -> None:
        """All troubles are over from now on."""
        self.refused.clear()
        self.net.cuts.clear()
        self.late_writes, self.lost_answers, self.fleet.sent, self.closely = 0.0, 0.0, None, None
        self.fleet.lost_answers = self.fleet.late_requests = 0.0
        self.fleet.held_do.clear()
        for w in self.fleet.workers.values():
            w.hung_until = min(w.hung_until, self.now)
        self.state.down_until = min(self.state.down_until, self.now)
        self.state.up_again()

    def boot(self, name: str) -> None:
        """Start a controller."""
        self.tasks.start_soon(self._live, name)

    async def _live(self, name: str) -> None:
        seams = Runtime(
            self.loop.time,
            lambda: 1.7e9 + self.loop.time(),
            Random(self.rng.random()),
            self.net.of(name),
        )
        node = self.nodes[name] = Controller(self.settings(name), seams)
        with anyio.CancelScope() as self.scopes[name]:
            await node.run()

    async def crash(self, name: str, s: float) -> None:
        """End a controller, and start it again later."""
        if name in self.down:
            return  # there is one process of a name at a time
        self.down.add(name)
        self.scopes[name].cancel()
        await anyio.sleep(s)
        self.down.discard(name)
        self.boot(name)

    def workers_of(self, name: str) -> list[str]:
        """The machines of a controller's own part."""
        layout = next(iter(self.nodes.values())).context.shard_map
        return [
            w.name
            for w in self.fleet.workers.values()
            if layout.shard_of_machine(w.zone, w.name) == layout.controller_indices[name]
        ]

    def cut_workers(self, name: str, mode: str, s: float, both: bool = True) -> None:
        """A controller loses all workers."""
        for w in self.fleet.workers:
            self.net.cut(name, w, mode, s, both)

    def deafen(self, machines: Iterable[str], s: float) -> None:
        """These machines are heard, and hear nothing: neither answers nor commands."""
        for w in machines:
            for c in self.names:
                self.net.cut(c, w, DEAF, s, both=False)

    def copy_reports(
        self,
        rng: Random,
        share: float,
        least: float,
        most: float,
        machines: Iterable[str] | None = None,
    ) -> None:
        """From now on some reports come a second time, so much later, to the controller they were sent to or to another."""
        some = None if machines is None else set(machines)

        async def again(machine: str, name: str, body: dict[str, Any], after: float) -> None:
            await anyio.sleep(after)
            with contextlib.suppress(UnreachableError):
                await Client(name, 80, 1, self.net.of(f"copy of {machine}"), self.loop.time).call(
                    "POST", "/v1/report", body, 2.0
                )
                self.copies += 1

        def sent(w: decision_model.ModelAgent, home: str, body: dict[str, Any]) -> None:
            if rng.random() < share and (some is None or w.name in some):
                to = home if rng.random() < 0.6 else rng.choice(self.names)
                self.tasks.start_soon(
                    again, w.name, to, body, least + (most - least) * rng.random()
                )

        self.fleet.sent = sent

    def cut_zone(self, zone: str, mode: str, s: float) -> None:
        """A zone loses everything that lies outside of it; what is inside goes on."""
        inside = {n for n, z in zip(self.names, self.zones, strict=True) if z == zone}
        inside |= {w.name for w in self.fleet.workers.values() if w.zone == zone}
        for other in sorted({"state", "cloud", "user", *self.names, *self.fleet.workers} - inside):
            for name in sorted(inside):
                self.net.cut(name, other, mode, s)

    def claims(self) -> int:
        """How often a shard was claimed since everything was up."""
        return sum(
            1
            for e in self.state.store.log
            if e.key.startswith(SHARD_PREFIX) and e.value is not None
        ) - len(self.names)

    # -- the machines' side --------------------------------------------------------------------

    def mute(self, machines: Iterable[str], s: float) -> None:
        """These machines can open no connection to any controller; what is sent straight to them arrives, and is answered."""
        for w in machines:
            for c in self.names:
                self.net.cut(w, c, MUTE, s, both=False)

    def hang(self, machines: Iterable[str], s: float) -> None:
        """These machines execute and answer nothing for so long; then they go on with what has come meanwhile."""
        for name in machines:
            self.fleet.workers[name].hung_until = max(
                self.fleet.workers[name].hung_until, self.now + s
            )

    def keep_for_next(
        self, share: float = 1.0, each: int = 3, machines: Iterable[str] | None = None
    ) -> None:
        """Old reports (the first `each` of a machine and its newest) reach every controller in the moment in which a shard is claimed.

        They bear older sessions, lists and tokens than what the machine says by then; no report of its own need ever follow.
        """
        some = None if machines is None else set(machines)
        kept: dict[str, list[dict[str, Any]]] = {}

        def sent(w: decision_model.ModelAgent, home: str, body: dict[str, Any]) -> None:
            if (some is None or w.name in some) and self.late.random() < share:
                mine = kept.setdefault(w.name, [])
                mine[each:] = [body]

        async def come(body: dict[str, Any], name: str) -> None:
            with contextlib.suppress(UnreachableError):
                await Client(
                    name, 80, 1, self.net.of(f"copy of {body['perch']}"), self.loop.time
                ).call("POST", "/v1/report", body, 2.0)
                self.copies += 1

        async def watch() -> None:
            seen = len(self.state.store.log)
            while self.fleet.sent is sent:
                await anyio.sleep(0.01)
                new, seen = self.state.store.log[seen:], len(self.state.store.log)
                if any(e.key.startswith(SHARD_PREFIX) and e.value is not None for e in new):
                    for after in (
                        0.0,
                        0.02,
                        0.1,
                        0.3,
                        1.0,
                        3.0,
                    ):  # in the moment in which it begins, and when it has acted
                        await anyio.sleep(after)
                        for bodies in kept.values():
                            for body in bodies:
                                for name in self.names:
                                    self.tasks.start_soon(come, body, name)

        self.fleet.sent = sent
        self.tasks.start_soon(watch)

    def starts_after_told(self) -> list[tuple[str, float]]:
        """Starts of a job after its user was told that it is cancelled, and how long after; those later than CANCEL break a rule."""
        return [
            (k[0], at - self.cancelled[k[0]])
            for at, k, _ in self.fleet.starts_of
            if at > self.cancelled.get(k[0], 1e18)
        ]

    def waits_with_room(self) -> set[str]:
        """Jobs that wait though machines that fit have room for them and their team is under its limit, by what is on the machines."""
        used: dict[str, float] = {}
        there: dict[str, set[int]] = {}
        zones: dict[str, set[str]] = {}
        for w in self.fleet.workers.values():
            for k, t in w.tasks.items():
                if t["state"] != "ended":
                    used[self.specs[k[0]].team] = (
                        used.get(self.specs[k[0]].team, 0.0) + self.specs[k[0]].gpus
                    )
                    there.setdefault(k[0], set()).add(k[1])
                    zones.setdefault(k[0], set()).add(w.zone)
        out = set()
        for jid, asked in self.asked.items():
            job = self.specs[jid]
            left = [
                i
                for i in range(job.task_count)
                if (jid, i) not in self.fleet.results and i not in there.get(jid, ())
            ]
            if (
                asked.accepted is None
                or jid in self.withdrawing
                or not left
                or (job.kind == "gang" and jid in there)
            ):
                continue
            need = job.task_count if job.kind == "gang" else 1
            limit = self.teams[job.team].max_gpus
            if limit and used.get(job.team, 0.0) + need * job.gpus > limit:
                continue
            room: dict[str, int] = {}
            for w in self.fleet.workers.values():
                fits = (
                    self.now >= w.hung_until
                    and (job.spot or not w.spot)
                    and job.zone in (None, w.zone)
                )
                if fits and (not job.single_zone or zones.get(jid, {w.zone}) == {w.zone}):
                    key = w.zone if job.single_zone else "any"
                    room[key] = room.get(key, 0) + int(
                        (decision_model.TYPE.gpus - w.used()) / job.gpus + 1e-6
                    )
            if max(room.values(), default=0) >= need:
                out.add(jid)
        return out

    async def left_waiting(self, s: float = 90.0) -> set[str]:
        """Troubles are over: the jobs that could have begun all that time, and did not."""
        until, left = self.now + s, self.waits_with_room()
        while left and self.now < until:
            await anyio.sleep(0.5)
            left &= self.waits_with_room()
        return left

    async def _judge(self) -> None:
        while True:
            await anyio.sleep(0.25)
            try:
                decision_model.DecisionModel.judge(self)  # type: ignore[arg-type]
            except decision_model.RuleBrokenError as e:
                self.broken.append(str(e))

    @property
    def workers(self) -> dict[str, decision_model.ModelAgent]:
        return self.fleet.workers

    @property
    def specs(self) -> dict[str, jobs.Job]:
        return self.fleet.specs

    # -- users ---------------------------------------------------------------------------------

    async def submit(self, spec: dict[str, Any], to: str | None = None) -> None:
        """A user submits until it is accepted, at any controller that takes it."""
        asked = self.asked[spec["id"]] = SubmittedJob(self.now)
        self.bodies[spec["id"]] = spec
        self.fleet.specs[spec["id"]] = jobs.parse_submission(spec, 0.0)
        while asked.accepted is None and self.now - asked.at < 60.0:
            if await self.call(
                to or self.rng.choice(self.names), "POST", "/api/jobs", spec["id"], spec
            ) in (200, 201):
                return
            asked.refusals += 1
            await anyio.sleep(1.0)

    async def withdraw(self, jid: str, to: str | None = None) -> None:
        """A user cancels until told so."""
        self.withdrawing.add(jid)
        while (
            await self.call(
                to or self.rng.choice(self.names), "POST", f"/api/jobs/{jid}/withdraw", jid, {}
            )
            != 200
        ):
            await anyio.sleep(1.0)

    async def ask(self, jid: str, name: str) -> bool:
        """A user asks a controller about a job that was accepted; whether there was an answer, which must be no older than the last."""
        return await self.call(name, "GET", f"/api/jobs/{jid}", jid, None, 2.0) == 200

    async def resubmit(self, jid: str, name: str) -> bool:
        """A user repeats a submission that may have been accepted."""
        return await self.call(name, "POST", "/api/jobs", jid, self.bodies[jid]) == 200

    async def call(
        self, name: str, method: str, path: str, jid: str, body: object, s: float = 5.0
    ) -> int:
        """One request about a job, whatever it is: its status, or 0. The one place that judges what users are told.

        What was told before the request left must not be older in its answer; the first answer that says that the job is
        cancelled, whichever request brought it, is the telling that `cancel_s` counts from.
        """
        before, accepted = self.told.get(jid), self.asked[jid].accepted is not None
        try:
            status, answer = await self.users[name].call(method, path, body, s)
        except UnreachableError:
            return 0
        where = f"{jid} by {name} at {self.now:.3f} ({method} {path}: {status} {answer})"
        if status in (400, 404, 422) and accepted:
            self.broken.append(f"forgotten: {where}")
        if status == 201 and accepted:
            self.broken.append(f"went_back: accepted once more, {where}")
        if status not in (200, 201):
            return status
        stance = answer.get("stance") if isinstance(answer, dict) else None
        if (
            stance not in (jobs.QUEUED, jobs.RUNNING, jobs.DONE, jobs.CANCELLED)
            or answer["id"] != jid
        ):  # type: ignore[index, call-overload]
            self.broken.append(f"no answer: {where}")
            return 0
        final, now = stance in (jobs.DONE, jobs.CANCELLED), self.told.get(jid)
        if path.endswith("/withdraw") and not final:
            self.broken.append(f"no answer to a cancellation: {where}")
        if (before is not None and stance != before) or (final and now not in (None, stance)):
            self.broken.append(f"went_back: was {now}, {where}")
        if stance == jobs.CANCELLED and jid not in self.withdrawing:
            self.broken.append(f"went_back: nobody cancelled {where}")
        if stance == jobs.DONE and any(
            (jid, i) not in self.fleet.results for i in range(self.specs[jid].task_count)
        ):
            self.broken.append(f"not_done: {where}")
        if not accepted and self.asked[jid].accepted is None:
            self.asked[jid].accepted = self.now
            self.look_closely(jid)
            if self.closely and self.closely.random() < 0.3:
                self.tasks.start_soon(self.withdraw, jid)
        if final and now is None:
            self.told[jid] = stance
            if stance == jobs.CANCELLED:
                self.cancelled[jid] = self.now
            self.look_closely(jid)
        return status

    def look_closely(self, jid: str) -> None:
        """Where close looks are on: every controller is asked, and the submission repeated, at moments of the next 50 ms."""
        if (rng := self.closely) is None:
            return

        async def look(name: str, after: float, again: bool) -> None:
            await anyio.sleep(after)
            await (self.resubmit if again else self.ask)(jid, name)

        for name in self.names:
            for again in (False, True, rng.random() < 0.5):
                self.tasks.start_soon(look, name, 0.05 * rng.random(), again)

    async def close_looks(self, s: float) -> None:
        """For so long, users look closely after each acceptance, end (the last task's, too) and cancellation; some cancel at once."""
        self.closely, until, seen = Random(self.late.random()), self.now + s, set(self.told)
        while self.now < until and self.closely is not None:
            await anyio.sleep(0.01)
            ends = {j for j, _ in self.fleet.results} - seen
            for jid in sorted(
                j
                for j in ends
                if all((j, i) in self.fleet.results for i in range(self.specs[j].task_count))
            ):
                seen.add(jid)
                self.look_closely(jid)
        self.closely = None

    async def _asks(self) -> None:
        while True:
            await anyio.sleep(1.0)
            accepted = [j for j, a in self.asked.items() if a.accepted is not None]
            if accepted:
                self.tasks.start_soon(
                    self.ask, self.asker.choice(accepted), self.asker.choice(self.names)
                )

    async def all_answered(self, within: float) -> list[str]:
        """Every accepted job is asked for at every controller until each has answered; what is missing after that time."""
        until = self.now + within
        left = [(j, n) for j, a in self.asked.items() if a.accepted is not None for n in self.names]
        while left and self.now < until:
            left = [(j, n) for j, n in left if not await self.ask(j, n)]
            await anyio.sleep(0.5)
        return [f"{j} by {n}" for j, n in left]

    async def flow(self, s: float, every: float = 1.0, first: int = 1) -> None:
        """Jobs of all kinds, for so long: replicas that stay, arrays and gangs that come and go."""
        until, n = self.now + s, first
        while self.now < until:
            self.tasks.start_soon(self.submit, self.spec(n))
            n += 1
            await anyio.sleep(every * (0.5 + self.rng.random()))

    def spec(self, n: int, **kw: Any) -> dict[str, Any]:
        """One job, drawn."""
        gait = kw.pop("gait", None) or self.rng.choice(["array", "array", "group"])
        return {
            "id": f"j-{n:06d}",
            "flock": gait,
            "keeper": f"team-{n % len(self.teams)}",
            "gait": gait,
            "rank": "normal",
            "chicks": self.rng.choice([1, 2, 3]) if gait == "array" else 2,
            "cores": 1.0,
            "gpus": 1.0,
            "ramGb": 1.0,
            "plumage": "i",
            "pullGb": 0.1,
            "breeds": None,
            "marsh": None,
            "together": False,
            "scatter": False,
            "driftwood": False,
            "flightS": self.rng.choice([1.0, 3.0]),
            "nestS": 0.0,
            "tuckS": 0.0,
            "duskS": None,
            **kw,
        }

    def services(self) -> set[str]:
        """Teams whose replicas still run."""
        return {
            s.team
            for s in self.specs.values()
            if s.kind == "service" and s.id not in self.cancelled
        }

    def longest_pause(self, since: float, until: float) -> float:
        """The longest time in which nothing started."""
        at = [since, *(t for t in self.fleet.started_at if since <= t <= until), until]
        return max(b - a for a, b in zip(at, at[1:], strict=False))

    def slowest_accepted(self) -> float:
        """Seconds from a submission's first attempt to its acceptance, at most."""
        return max((a.accepted or 1e9) - a.at for a in self.asked.values())

    def check(self) -> None:
        """No rule was broken, and at least half of every team and of every class was served."""
        assert not (self.broken + self.fleet.broken), (self.broken + self.fleet.broken)[:3]
        for group in ("team", "job_class"):
            shares: dict[str, list[bool]] = {}
            for jid, spec in self.specs.items():
                if self.now - self.asked[jid].at > FINISHED_S and jid not in self.cancelled:
                    shares.setdefault(getattr(spec, group), []).append(self.served(jid))
            for name, served in shares.items():
                assert 2 * sum(served) >= len(served), (
                    f"{group} {name}: {sum(served)} of {len(served)} served"
                )
        self.check_accepted()
        self.check_largest()

    def served(self, jid: str) -> bool:
        """Whether a job is complete; of a service, whether all replicas were started."""
        spec = self.specs[jid]
        done = self.fleet.first_starts if spec.kind == "service" else self.fleet.results
        return all((jid, i) in done for i in range(spec.task_count))

    # -- judges of what is accepted, and of the largest ------------------------------------------

    def never(self, body: dict[str, Any]) -> str | None:
        """Why a submission must not be accepted, by the protocol's lines on 400 and 422; None if it may be."""
        missing = sorted(FIELDS - body.keys())
        if missing:
            return f"lacks {missing[0]}"
        team, kind = self.teams.get(body["keeper"]), decision_model.TYPE
        zones = {z for z in kind.zones if body.get("marsh") in (None, z)}
        if team is None:
            return "unknown team"
        if (
            any(
                body[k] > have
                for k, have in zip(("cores", "gpus", "ramGb"), kind.resources, strict=True)
            )
            or not zones
        ):
            return "fits no machine"
        if body.get("breeds") is not None and kind.name not in body["breeds"]:
            return "fits no allowed type"
        if body["gpus"] * (1 if body["gait"] == "array" else body["chicks"]) > team.max_gpus:
            return "more than the team's limit"
        apart = body["gait"] == "group" and body["scatter"] and body["chicks"] > 1
        return (
            "a gang that no zones can hold"
            if apart and (body["together"] or len(zones) < 2)
            else None
        )

    async def try_odd(self, body: dict[str, Any], name: str) -> int:
        """A user submits what must not be accepted; the status."""
        try:
            status, answer = await self.users[name].call("POST", "/api/jobs", body, 5.0)
        except UnreachableError:
            return 0
        if status in (200, 201):
            self.broken.append(
                f"accepted though it {self.never(body) or 'is odd'}: {body} by {name} at {self.now}: {answer}"
            )
        return status

    def check_accepted(self) -> None:
        """Nothing was accepted that lacks a field or can't run."""
        odd = [
            (j, why)
            for j, a in self.asked.items()
            if a.accepted is not None and (why := self.never(self.bodies[j])) is not None
        ]
        assert not odd, f"accepted though it can't run: {odd[:3]}"

    def began(self, jid: str) -> float | None:
        """When a job first had a task on a machine, a gang all of them; None: it has not begun."""
        spec, at = self.specs[jid], self.fleet.first_at
        times = [at[jid, i] for i in range(spec.task_count) if (jid, i) in at]
        return (
            None
            if len(times) < (spec.task_count if spec.kind == "gang" else 1)
            else (max if spec.kind == "gang" else min)(times)
        )

    def check_largest(self) -> None:
        """Of each class's accepted jobs the tenth with the most tasks, three at least: half of them served, each begun within 240 s.

        As scripts.served_by_class counts them; users who gave up in an outage before they were
        accepted are counted with their class and team.
        """
        classes: dict[str, list[str]] = {}
        for jid, spec in self.specs.items():
            if jid not in self.cancelled and self.asked[jid].accepted is not None:
                classes.setdefault(spec.job_class, []).append(jid)
        for name, found in classes.items():
            ranked = sorted(found, key=lambda j: (-self.specs[j].task_count, self.asked[j].at))[
                : max(3, -(-len(found) // 10))
            ]
            asked = [j for j in ranked if self.now - self.asked[j].at > FINISHED_S]
            served = sum(self.served(j) for j in asked)
            assert 2 * served >= len(asked), f"largest of {name}: {served} of {len(asked)} served"
            for jid in ranked:
                at, began = self.asked[jid].accepted, self.began(jid)
                late = (
                    at is not None and (self.now if began is None else began) - at > LARGEST_BEGIN_S
                )
                assert not late, f"largest of {name}: {jid} accepted at {at} began at {began}"


FIELDS = frozenset(
    (
        "id",
        "flock",
        "keeper",
        "gait",
        "rank",
        "chicks",
        "cores",
        "gpus",
        "ramGb",
        "plumage",
        "pullGb",
        "together",
        "scatter",
        "driftwood",
        "flightS",
        "nestS",
        "tuckS",
    )
)
LARGEST_BEGIN_S = 240.0


def play(
    scene: Callable[[SimulatedCluster], Awaitable[None]], seed: int = 1, **kw: Any
) -> SimulatedCluster:
    """Run a scene in virtual time; the rules are judged all along."""
    played = run(scene, seed, **kw)
    played.check()
    return played


def run(
    scene: Callable[[SimulatedCluster], Awaitable[None]], seed: int = 1, **kw: Any
) -> SimulatedCluster:
    """Run a scene in virtual time, without the verdict at its end.

    Raises SceneError if the scene never ends, or if a controller logs an error that is a mistake in
    code: then whatever the test sees comes from that mistake and not from the guard that it is about.
    """
    out: list[SimulatedCluster] = []
    mistakes: list[str] = []
    logging.getLogger("asyncio").setLevel(logging.ERROR)

    async def main() -> None:
        p = SimulatedCluster(seed, **kw)
        out.append(p)
        async with anyio.create_task_group() as tg:
            with _mistakes_noted(mistakes, tg.cancel_scope.cancel):
                await p.start(tg)
                await scene(p)
                tg.cancel_scope.cancel()

    anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})
    if mistakes:
        raise SceneError(f"a mistake in code: {mistakes[:3]}")
    return out[0]


MISTAKES = ("TypeError(", "AttributeError(", "NameError(", "UnboundLocalError(", "ImportError(")


@contextlib.contextmanager
def _mistakes_noted(mistakes: list[str], end_scene: Callable[[], None]) -> Iterator[None]:
    """Within this, an error logged by a controller that is a mistake in code is noted and ends the scene.

    Not one raised by a test's own code: an earlier version put in place of a guard may be wrong so.
    """
    write = log.error

    def error(event: str, **fields: Any) -> None:
        write(event, **fields)
        in_package = not str(fields.get("at", "")).startswith("test_")
        if in_package and any(str(value).startswith(MISTAKES) for value in fields.values()):
            mistakes.append(f"{event} {fields}")
            end_scene()

    log.error = error
    try:
        yield
    finally:
        log.error = write
