"""Three whole controllers in virtual time with the services around them: key-value store, cloud and machines."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import anyio
import anyio.abc

from ploverhall import settings
from ploverhall.controller.controller import Controller
from ploverhall.protocol import jobs
from ploverhall.runtime import Runtime
from ploverhall.storage.schema import SHARD_PREFIX
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply, Server

from . import parameters
from .fake_agents import FakeAgents
from .fake_key_value_store import FakeKeyValueStore
from .model_agent import ModelAgent
from .simulated_network import SimulatedNetwork

HTTP_PORT = 80
PEER_PORT = 81
FIRST_AGENT_PORT = 9000
HEARTBEAT_S = 1.0
MACHINE_ZONES = ("a", "b")
WALL_CLOCK_OFFSET_S = 1.7e9  # between virtual time and what controllers take for the time of day
UNANSWERED_S = 20.0  # a request that is held for so long gets no answer: its sender has given up


class SimulatedDeployment:
    """Controllers as in `serve`, with HTTP, peer links and loops, over a simulated network, and fakes of what they call."""

    zones = ("a", "b", "a")  # of the controllers
    list_lag_s = 0.5  # of the cloud, as the settings say

    def __init__(
        self,
        seed: int = 1,
        options: settings.Options | None = None,
        machines: int = 12,
        teams: int = 4,
    ) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.seed = seed
        self.rng = Random(seed)
        self.net = SimulatedNetwork(self.rng, self.loop.time)
        self.names = [f"c{i}" for i in range(len(self.zones))]
        self.state = FakeKeyValueStore(self.loop.time)
        self.refused: set[str] = set()  # controllers that the key-value store refuses
        self.fleet = FakeAgents(
            {name: (name, HTTP_PORT) for name in self.names},
            FIRST_AGENT_PORT,
            self.loop.time,
            self.net.of,
            None,
            HEARTBEAT_S,
            MACHINE_ZONES,
            self.rng,
        )
        self.machines = machines
        self.options = options
        self.tasks: anyio.abc.TaskGroup
        self.nodes: dict[str, Controller] = {}  # the running controllers, by name
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.down: set[str] = set()
        self.teams = {f"team-{i}": settings.Team(f"team-{i}", 0, 0, 4, 16) for i in range(teams)}
        self.broken: list[str] = []  # rules that were broken
        # The share of transactions that get no answer and are carried out 2 to 12 s later
        self.late_writes = 0.0
        self.late = Random(seed + 9)
        # The share of transactions that are carried out at once, and only their answer is lost
        self.lost_answers = 0.0
        self.lost = Random(seed + 11)

    @property
    def now(self) -> float:
        """The virtual time."""
        return self.loop.time()

    @property
    def workers(self) -> dict[str, ModelAgent]:
        """The agents, by their machines' names."""
        return self.fleet.workers

    @property
    def specs(self) -> dict[str, jobs.Job]:
        """Every submitted job, by its id."""
        return self.fleet.specs

    def settings(self, me: str) -> settings.Settings:
        """A controller's settings."""
        listen = {name: f"{name}:{PEER_PORT}" for name in self.names}
        store_port = 1 + self.names.index(me)
        return settings.parse(
            {
                "host_name": me,
                "site": self.zones[self.names.index(me)],
                "bind": f"{me}:{HTTP_PORT}",
                "peer_listen": listen[me],
                "siblings": [
                    {"host_name": name, "site": zone, "addr": listen[name]}
                    for name, zone in zip(self.names, self.zones, strict=True)
                    if name != me
                ],
                "external": {"cloud": "cloud:1", "state": f"state:{store_port}"},
                "deployment": self._deployment_settings(),
            },
            self.options,
        )

    def _deployment_settings(self) -> dict[str, Any]:
        return {
            "zones": list(MACHINE_ZONES),
            "teams": [
                {
                    "name": team.name,
                    "cpus": 0,
                    "cpus_max": 0,
                    "gpus": team.guaranteed_gpus,
                    "gpus_max": team.max_gpus,
                }
                for team in self.teams.values()
            ],
            "workers": {
                "report_s": HEARTBEAT_S,
                "lease_s": parameters.LEASE_S,
                "gang_wait_s": parameters.GANG_WAIT_S,
                "gang_peer_s": parameters.GANG_PEER_S,
                "cancel_s": parameters.CANCEL_S,
            },
            "state": {"rps": 300.0, "write_rps": 150.0, "value_kb": 4.0, "txn_ops": 8},
            "cloud": {"rps": 20.0, "list_lag_s": self.list_lag_s},
            "limits": {"core_share": 1.0, "mem_mb": 200.0, "max_sockets": 500},
        }

    # -- start ---------------------------------------------------------------------------------

    async def start_services(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the store, the cloud, the controllers and the first machines."""
        self.fleet.tasks = self.tasks = tasks
        for i, name in enumerate(self.names):
            handle = self._store_handler(name)
            store = Server(handle, 200, network=self.net.of("state"), clock=self.loop.time)
            tasks.start_soon(store.run, "state", 1 + i)
        cloud = Server(self.fleet.handle, 100, network=self.net.of("cloud"), clock=self.loop.time)
        tasks.start_soon(cloud.run, "cloud", 1)
        for name in self.names:
            self.boot(name)
        await anyio.sleep(0.1)
        self.fleet.pleas["at the start"] = [
            self.fleet.boot({"marsh": MACHINE_ZONES[i % 2], "driftwood": False})
            for i in range(self.machines)
        ]

    async def all_machines_known(self) -> None:
        """Wait until the holders of the shards know every machine."""
        while self._known_machines() < self.machines:
            await anyio.sleep(0.1)

    def _known_machines(self) -> int:
        return sum(
            len(held.owner.machines)
            for controller in self.nodes.values()
            for held in controller.context.held_shards.values()
        )

    def boot(self, name: str) -> None:
        """Start a controller."""
        self.tasks.start_soon(self._run_controller, name)

    async def _run_controller(self, name: str) -> None:
        runtime = Runtime(
            self.loop.time,
            lambda: WALL_CLOCK_OFFSET_S + self.loop.time(),
            Random(self.rng.random()),
            self.net.of(name),
        )
        controller = self.nodes[name] = Controller(self.settings(name), runtime)
        with anyio.CancelScope() as self.scopes[name]:
            await controller.run()

    async def crash(self, name: str, s: float) -> None:
        """End a controller, and start it again after s seconds."""
        if name in self.down:
            return  # there is one process of a name at a time
        self.down.add(name)
        self.scopes[name].cancel()
        await anyio.sleep(s)
        self.down.discard(name)
        self.boot(name)

    # -- the key-value store -------------------------------------------------------------------

    def _store_handler(self, name: str) -> Callable[[Request], Awaitable[Reply]]:
        """What answers one controller's requests to the store."""

        async def handle(request: Request) -> Reply:
            if name in self.refused:
                return Reply(503, {"error": "trouble"})
            if self._is_write(request) and self.late.random() < self.late_writes:
                self.tasks.start_soon(self._write_late, request)
                await anyio.sleep(UNANSWERED_S)
            if self._is_write(request) and self.lost.random() < self.lost_answers:
                await self.state.handle(request)
                await anyio.sleep(UNANSWERED_S)
            return await self.state.handle(request)

        return handle

    def _is_write(self, request: Request) -> bool:
        return request.path == "/multi" and not self.state.down

    async def _write_late(self, request: Request) -> None:
        await anyio.sleep(2.0 + 10.0 * self.late.random())
        await self.state.handle(request)

    async def outage(self, s: float) -> None:
        """The store refuses everybody for s seconds.

        After that every lease has its full time again.
        """
        self.state.down_until = max(self.state.down_until, self.now + s)
        while self.now < self.state.down_until:
            self.state.down = True
            await anyio.sleep(self.state.down_until - self.now)
        self.state.up_again()

    def claims(self) -> int:
        """How often a shard was claimed since everything was up."""
        claimed = sum(
            1
            for event in self.state.store.log
            if event.key.startswith(SHARD_PREFIX) and event.value is not None
        )
        return claimed - len(self.names)

    def workers_of(self, name: str) -> list[str]:
        """The machines of the shard that prefers a controller."""
        layout = next(iter(self.nodes.values())).context.shard_map
        return [
            agent.name
            for agent in self.fleet.workers.values()
            if layout.shard_of_machine(agent.zone, agent.name) == layout.controller_indices[name]
        ]
