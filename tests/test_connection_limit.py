"""Test the connection limit with more agents than sockets.

Agents take turns with connections, and users are still answered.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any

import anyio
import anyio.abc
import orjson
import pytest

from ploverhall.controller.autoscaling_loop import AutoscalingLoop
from ploverhall.controller.http_routes import HEARTBEAT_PATH, is_heartbeat_request
from ploverhall.errors import UnreachableError
from ploverhall.protocol import cloud
from ploverhall.storage import image_index
from ploverhall.transport.client_pool import ClientPool
from ploverhall.transport.connection_limit import Connection, ConnectionLimiter, SocketLimits
from ploverhall.transport.http_client import Client
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply, Server

from .simulation.simulated_network import SimulatedNetwork
from .simulation.virtual_time import VirtualTimeLoop

MAX_SOCKETS = 200
REPORT_S = 2.0
LEASE_S = 8.0
LIMITS = SocketLimits.of_platform(MAX_SOCKETS)


@dataclass
class Controller:
    """A simulated controller's server with its agents and users."""

    tasks: anyio.abc.TaskGroup
    loop: VirtualTimeLoop
    net: SimulatedNetwork
    limiter: ConnectionLimiter | None
    most_open: int = 0
    answered: dict[str, int] = field(default_factory=dict)
    failed: dict[str, int] = field(default_factory=dict)

    async def start(self) -> None:
        self.server = Server(
            self._handle,
            LIMITS.accepted,
            network=self.net.of("c0"),
            clock=self.loop.time,
            limiter=self.limiter,
        )
        self.tasks.start_soon(self.server.run, "c0", 80)
        await anyio.sleep(0.01)

    async def _handle(self, request: Request) -> Reply:
        self.most_open = max(self.most_open, len(self.server.connections))
        await anyio.sleep(0.01)
        return Reply(200, {"path": request.path})

    async def agent(self, name: str, reports: int = 1_000_000) -> None:
        """Send a heartbeat every REPORT_S, plus or minus a quarter, on one kept connection."""
        rng = Random(name)
        client = Client("c0", 80, max_idle=1, network=self.net.of(name), clock=self.loop.time)
        await anyio.sleep(REPORT_S * rng.random())
        for _ in range(reports):
            await self.ask(client, name, "POST", HEARTBEAT_PATH)
            await anyio.sleep(REPORT_S * (0.75 + 0.5 * rng.random()))

    async def ask(self, client: Client, name: str, method: str, path: str) -> None:
        try:
            status, _ = await client.call(method, path, {}, 2.0)
        except UnreachableError:
            status = 0
        counted = self.answered if status == 200 else self.failed
        counted[name] = counted.get(name, 0) + 1

    async def users(self, count: int) -> None:
        """Send `count` requests of users, each on a new connection."""
        for i in range(count):
            name = f"user-{i}"
            client = Client("c0", 80, network=self.net.of(name), clock=self.loop.time)
            await self.ask(client, name, "GET", "/api/jobs/j-1")
            await client.aclose()
            await anyio.sleep(0.3)

    def count(self, prefix: str) -> tuple[int, int]:
        """Return the numbers of answered and failed requests of the names with a prefix."""
        return tuple(  # type: ignore[return-value]
            sum(n for name, n in counted.items() if name.startswith(prefix))
            for counted in (self.answered, self.failed)
        )


def run(scene: Callable[[Controller], Awaitable[None]], limited: bool = True) -> Controller:
    """Run a scene in virtual time, and return its controller."""
    out: list[Controller] = []

    async def main() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        async with anyio.create_task_group() as tasks:
            limiter = ConnectionLimiter(LIMITS, is_heartbeat_request, LEASE_S) if limited else None
            controller = Controller(tasks, loop, SimulatedNetwork(Random(1), loop.time), limiter)
            out.append(controller)
            await controller.start()
            await scene(controller)
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})
    return out[0]


@pytest.mark.parametrize("agents", [MAX_SOCKETS, 3 * MAX_SOCKETS])
def test_users_and_all_agents_are_answered_with_more_agents_than_sockets(agents: int) -> None:
    async def scene(controller: Controller) -> None:
        for i in range(agents):
            controller.tasks.start_soon(controller.agent, f"agent-{i}")
        await anyio.sleep(2 * REPORT_S)
        await controller.users(60)

    controller = run(scene)
    assert controller.count("user") == (60, 0)
    assert controller.count("agent")[1] == 0
    assert min(controller.answered[f"agent-{i}"] for i in range(agents)) >= 7
    assert controller.most_open < LIMITS.accepted


def test_reconnects_are_spread_over_the_report_interval() -> None:
    connects: list[float] = []

    async def scene(controller: Controller) -> None:
        real = controller.net.connect

        async def connect(src: str, dst: str, port: int) -> object:
            connects.append(controller.loop.time())
            return await real(src, dst, port)

        for i in range(4 * MAX_SOCKETS):
            controller.tasks.start_soon(controller.agent, f"agent-{i}")
        await anyio.sleep(5 * REPORT_S)
        controller.net.connect = connect  # type: ignore[method-assign, assignment]
        await anyio.sleep(10 * REPORT_S)

    controller = run(scene)
    slots = [0] * 40
    for at in connects:
        slots[int((at - connects[0]) / (10 * REPORT_S) * 40) % 40] += 1
    excess = 4 * MAX_SOCKETS - LIMITS.keepalive_agents
    assert 0.9 * 10 * excess <= len(connects) <= 1.1 * 10 * excess, (
        "agents within the limit reconnect, or others more than once per heartbeat"
    )
    assert max(slots) < 2 * sum(slots) / len(slots)
    assert controller.count("agent")[1] == 0, "an agent was refused"


@pytest.mark.parametrize("agents", [1, LIMITS.keepalive_agents])
def test_limiter_changes_no_packet_below_the_limit(agents: int) -> None:
    async def scene(controller: Controller) -> None:
        for i in range(agents):
            controller.tasks.start_soon(controller.agent, f"agent-{i}")
        await controller.users(30)

    assert run(scene).net.checksum == run(scene, limited=False).net.checksum


def test_idle_connections_of_agents_that_moved_away_are_closed() -> None:
    """Otherwise active agents would reconnect each time while unused connections are idle."""

    async def scene(controller: Controller) -> None:
        for i in range(LIMITS.keepalive_agents):
            controller.tasks.start_soon(controller.agent, f"gone-{i}", 1)
        await anyio.sleep(2 * REPORT_S)
        for i in range(LIMITS.keepalive_agents):
            controller.tasks.start_soon(controller.agent, f"agent-{i}")
        await anyio.sleep(LEASE_S + 4 * REPORT_S)
        assert controller.limiter is not None
        assert len(controller.limiter.idle) > 0.9 * LIMITS.keepalive_agents
        assert min(controller.limiter.idle.values()) > controller.loop.time() - 1.5 * REPORT_S

    controller = run(scene)
    assert controller.count("agent")[1] == 0


def test_agents_that_wait_for_answers_leave_a_reserve_for_users() -> None:
    async def scene(controller: Controller) -> None:
        async def slow(request: Request) -> Reply:
            await anyio.sleep(30.0 if is_heartbeat_request(request) else 0.0)
            return Reply(200)

        controller.server.handler = slow
        for i in range(2 * MAX_SOCKETS):
            controller.tasks.start_soon(controller.agent, f"agent-{i}")
        await anyio.sleep(1.25 * REPORT_S)
        await controller.users(5)

    controller = run(scene)
    assert controller.count("user") == (5, 0)
    assert controller.limiter is not None
    assert len(controller.limiter.agents) <= LIMITS.agents + 1


def test_users_connections_are_closed_after_their_answers_near_the_limit() -> None:
    async def scene(controller: Controller) -> None:
        clients = [
            Client("c0", 80, network=controller.net.of(f"user-{i}"), clock=controller.loop.time)
            for i in range(MAX_SOCKETS)
        ]
        for i, client in enumerate(clients):
            await controller.ask(client, f"user-{i}", "GET", "/api/jobs/j-1")
            await anyio.sleep(0.1)

    controller = run(scene)
    assert controller.count("user") == (MAX_SOCKETS, 0)


def test_limits_leave_sockets_for_the_controllers_own_calls() -> None:
    for sockets in (10, 16, 50, 200, 500, 1686, 2377, 7600):
        limits = SocketLimits.of_platform(sockets)
        assert (
            0 < limits.keepalive_agents < limits.agents < limits.accepted < limits.total < sockets
        )
        assert limits.agents < limits.no_keepalive <= limits.accepted == max(8, int(0.8 * sockets))
    for sockets in (50, 200, 500, 1686, 2377, 7600):
        limits = SocketLimits.of_platform(sockets)
        assert limits.no_keepalive < limits.accepted
        assert 0.1 * sockets <= sockets - limits.total < 0.1 * sockets + 1


def test_accepted_connections_reduce_outgoing_capacity() -> None:
    async def scene(controller: Controller) -> None:
        limiter = ConnectionLimiter(LIMITS, is_heartbeat_request, LEASE_S)
        assert limiter.outgoing_capacity() == LIMITS.total
        for _ in range(LIMITS.accepted):
            limiter.opened(Connection(0.0))
        assert limiter.outgoing_capacity() == LIMITS.total - LIMITS.accepted
        for _ in range(MAX_SOCKETS):
            limiter.opened(Connection(0.0))
        assert limiter.outgoing_capacity() == 1

    run(scene)


def test_least_recently_used_connections_to_agents_are_closed_over_the_limit() -> None:
    async def scene(controller: Controller) -> None:
        max_clients = 5

        def make(host: str, port: int) -> Client:
            return Client(
                host,
                port,
                max_idle=1,
                network=controller.net.of("caller"),
                clock=controller.loop.time,
            )

        for i in range(20):
            server = Server(
                controller._handle,
                10,
                network=controller.net.of(f"w{i}"),
                clock=controller.loop.time,
            )
            controller.tasks.start_soon(server.run, f"w{i}", 9)
        await anyio.sleep(0.01)
        pool = ClientPool(make, lambda: max_clients)
        for i in range(20):
            assert (await pool.call(f"w{i}", 9, "GET", "/show", None, 1.0))[0] == 200
        assert [host for host, _ in pool.clients] == [f"w{i}" for i in range(15, 20)]
        max_clients = 2
        await pool.trim()
        assert [host for host, _ in pool.clients] == ["w18", "w19"]
        await anyio.sleep(0.1)
        kept = [s for s in controller.net.streams if s.here == "caller" and not s.closed]
        assert len(kept) == 2

    run(scene)


class RateLimitedCloud:
    """A cloud with `page_count` pages of machines that answers 429 above `rps` requests a second."""

    def __init__(self, page_count: int, rps: int, clock: Callable[[], float]) -> None:
        self.page_count = page_count
        self.rps = rps
        self.clock = clock
        self.tokens = float(rps)
        self.refilled_at = clock()
        self.refused = 0

    async def call(
        self, method: str, target: str, body: object = None, timeout: float = 3.0, hold: float = 0.0
    ) -> tuple[int, object]:
        await anyio.sleep(0.01)
        now = self.clock()
        self.tokens = min(float(self.rps), self.tokens + (now - self.refilled_at) * self.rps)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.refused += 1
            return 429, {"error": "too many requests"}
        self.tokens -= 1.0
        _, _, last = target.partition("&from=n-")
        page = int(last) + 1 if last else 0
        machine = {"id": f"n-{page}", "breed": "t", "marsh": "a", "stance": "ready"}
        return 200, {"perches": [machine], "hasNext": page + 1 < self.page_count}


def test_machine_list_with_more_pages_than_the_clouds_rate_is_read_completely() -> None:
    rps = 5
    pages = 6 * rps
    listed: list[cloud.CloudMachine] = []

    async def scene(controller: Controller) -> None:
        clock = controller.loop.time
        service = RateLimitedCloud(pages, rps, clock)
        context: Any = SimpleNamespace(settings=SimpleNamespace(cloud_rps=rps), clock=clock)
        routing: Any = None
        autoscaler: Any = SimpleNamespace(
            on_cloud_list=lambda machines, asked_at, now: listed.extend(machines)
        )
        autoscaling = AutoscalingLoop(context, routing, lambda: 1, service)
        await autoscaling._list_machines(autoscaler, clock())
        assert service.refused == 0
        assert autoscaling.list_every_s >= 2 * pages / rps, (
            "less than half of the rate is left for rentals"
        )

    run(scene)
    assert [machine.name for machine in listed] == [f"n-{i}" for i in range(pages)]


def test_images_of_a_shard_of_4000_machines_fit_into_transactions() -> None:
    """The key-value store refuses transactions of more than 64 KiB, so retries never help."""
    known = {f"n-{i:06d}": {f"img-{(i + k) % 60:02d}": 2.5 for k in range(12)} for i in range(1334)}
    values = {f"i/0/{i}": v for i, v in enumerate(image_index.pack(known, 16 * 1024))}
    groups = image_index.batches(values, 24, 56_000)
    assert len(groups) > 1 and {k: v for g in groups for k, v in g.items()} == values
    assert all(len(orjson.dumps(g)) < 60_000 for g in groups)
    assert image_index.batches({}, 24, 56_000) == [{}]
