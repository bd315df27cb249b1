"""Three complete controllers in virtual time, with a fake key-value store, cloud and machines."""

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
from .gone_verdict_check import GoneVerdictCheck
from .model_agent import ModelAgent
from .simulated_network import SimulatedNetwork

HTTP_PORT = 80
PEER_PORT = 81
FIRST_AGENT_PORT = 9000
HEARTBEAT_S = 1.0
MACHINE_ZONES = ("a", "b")
WALL_CLOCK_OFFSET_S = 1.7e9  # added to virtual time to give the controllers a wall-clock time
UNANSWERED_S = 20.0  # a request held this long counts as unanswered: its sender has timed out


class SimulatedDeployment:
    """Controllers as `serve` runs them, with fakes of the services that they call.

    HTTP, the peer links and the loops run unchanged over a simulated network.
    """

    zones = ("a", "b", "a")  # of the controllers, in order
    list_lag_s = 0.5  # of the cloud, as given in the settings

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
        self.refused: set[str] = set()  # controllers whose requests the store refuses
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
        self.broken: list[str] = []  # descriptions of the rules that were broken
        self.gone_verdicts = GoneVerdictCheck()
        # Share of transactions that get no answer and are executed 2 to 12 s later
        self.late_writes = 0.0
        self.late_rng = Random(seed + 9)
        # Share of transactions that are executed at once and whose answer is lost
        self.lost_answers = 0.0
        self.lost_rng = Random(seed + 11)

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.loop.time()

    @property
    def workers(self) -> dict[str, ModelAgent]:
        """Return the agents by machine name."""
        return self.fleet.workers

    @property
    def specs(self) -> dict[str, jobs.Job]:
        """Return every submitted job by its id."""
        return self.fleet.specs

    def settings(self, me: str) -> settings.Settings:
        """Return the settings of the controller `me`."""
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
        self.fleet.rentals["at the start"] = [
            self.fleet.boot({"marsh": MACHINE_ZONES[i % 2], "driftwood": False})
            for i in range(self.machines)
        ]

    async def all_machines_known(self) -> None:
        """Wait until the shards' holders know every machine."""
        while self._known_machines() < self.machines:
            await anyio.sleep(0.1)

    def _known_machines(self) -> int:
        return sum(
            len(held.owner.machines)
            for controller in self.nodes.values()
            for held in controller.context.held_shards.values()
        )

    def boot(self, name: str) -> None:
        """Start a controller process."""
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
        """Stop a controller, and start it again after s seconds.

        Does nothing if the controller is already down.
        """
        if name in self.down:
            return  # only one process per controller name at a time
        self.down.add(name)
        self.scopes[name].cancel()
        await anyio.sleep(s)
        self.down.discard(name)
        self.boot(name)

    # -- the key-value store -------------------------------------------------------------------

    def _store_handler(self, name: str) -> Callable[[Request], Awaitable[Reply]]:
        """Return the handler of one controller's requests to the store."""

        async def handle(request: Request) -> Reply:
            if name in self.refused:
                return Reply(503, {"error": "trouble"})
            if self._is_write(request) and self.late_rng.random() < self.late_writes:
                self.tasks.start_soon(self._write_late, request)
                await anyio.sleep(UNANSWERED_S)
            if self._is_write(request) and self.lost_rng.random() < self.lost_answers:
                await self.state.handle(request)
                await anyio.sleep(UNANSWERED_S)
            return await self.state.handle(request)

        return handle

    def _is_write(self, request: Request) -> bool:
        return request.path == "/multi" and not self.state.down

    async def _write_late(self, request: Request) -> None:
        await anyio.sleep(2.0 + 10.0 * self.late_rng.random())
        await self.state.handle(request)

    async def outage(self, s: float) -> None:
        """Let the store refuse all requests for s seconds.

        Afterwards every lease is renewed for its full time to live.
        """
        self.state.down_until = max(self.state.down_until, self.now + s)
        while self.now < self.state.down_until:
            self.state.down = True
            await anyio.sleep(self.state.down_until - self.now)
        self.state.end_outage()

    def claims(self) -> int:
        """Return how often shards were claimed, without the first claim of each."""
        claimed = sum(
            1
            for event in self.state.store.log
            if event.key.startswith(SHARD_PREFIX) and event.value is not None
        )
        return claimed - len(self.names)

    def workers_of(self, name: str) -> list[str]:
        """Return the machines of the shard whose preferred controller is `name`."""
        layout = next(iter(self.nodes.values())).context.shard_map
        return [
            agent.name
            for agent in self.fleet.workers.values()
            if layout.shard_of_machine(agent.zone, agent.name) == layout.controller_indices[name]
        ]
