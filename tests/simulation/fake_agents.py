"""Agents on a fake cloud's machines, which send heartbeats to the controllers over a given network.

They run on loopback sockets in real time (tests/test_loopback.py), and in virtual time over a
simulated network (`deployment`).
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import anyio
import orjson

from ploverhall.errors import UnreachableError
from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.jobs import Job
from ploverhall.transport.http_client import Client
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply, Server
from ploverhall.transport.network import TCP_NETWORK, Network

from . import parameters, task_rules
from .fake_cloud import FakeCloud, RentedMachine
from .model_agent import ModelAgent, ModelTask

HEARTBEAT_TIMEOUT_S = 4.0
POLL_S = 0.1
NEVER = -1e9


class FakeAgents(FakeCloud):
    """The fake cloud, with agents on its machines that follow the protocol."""

    def __init__(
        self,
        controllers: dict[str, tuple[str, int]],
        ports: int,
        clock: Callable[[], float] = time.monotonic,
        net: Callable[[str], Network] = lambda host: TCP_NETWORK,
        host: str | None = "127.0.0.1",
        every: float = 0.1,
        zones: tuple[str, ...] = ("a",),
        rng: Random | None = None,
    ) -> None:
        super().__init__(clock, zones)
        self.controllers = controllers
        self.next_port = ports
        self.net, self.host = net, host
        self.every = every  # seconds between two heartbeats
        self.rng = rng or Random(1)
        self.nodes = list(controllers)
        self.specs: dict[str, Job] = {}
        self.results: set[tuple[str, int]] = set()
        # Additional running time of some tasks, in seconds
        self.extra_s: dict[tuple[str, int], float] = {}
        self.broken: list[str] = []  # descriptions of the rules that were broken
        self.killed_by_lease = 0
        # The starts of tasks: their count, times, machines, attempts and tasks
        self.starts = 0
        self.started_at: list[float] = []
        self.started_on: list[tuple[float, str]] = []
        self.start_records: list[tuple[float, Any, str]] = []
        self.first_starts: set[tuple[str, int]] = set()
        # When each task was first on a machine, and how often it was started
        self.first_started_at: dict[tuple[str, int], float] = {}
        self.start_counts: Counter[tuple[str, int]] = Counter()
        # Called with every heartbeat that is sent: the agent, the controller's name, the body
        self.heartbeat_hook: Callable[[ModelAgent, str, dict[str, Any]], None] | None = None
        # Called with every direct command that was carried out: the agent and the body
        self.command_hook: Callable[[ModelAgent, dict[str, Any]], None] | None = None
        # By machine: until when commands to it are held; if True, the answers are held instead
        self.command_holds: dict[str, tuple[float, bool]] = {}

    def started(self, agent: ModelAgent, attempt: AttemptId) -> None:
        """Record that a task starts on its machine, and check that it may run there."""
        task = attempt[:2]
        self.started_at.append(self.now)
        self.started_on.append((self.now, agent.name))
        self.first_starts.add(task)
        self.start_counts[task] += 1
        self.first_started_at.setdefault(task, self.now)
        self.start_records.append((self.now, attempt, agent.name))
        self.starts += 1
        try:
            task_rules.check_start(self, agent, attempt)
        except task_rules.RuleBrokenError as error:
            self.broken.append(str(error))

    def boot(self, body: dict[str, Any]) -> str:
        """Start a machine with its agent; returns the machine's name."""
        name, port = f"n-{len(self.rentals):03d}{self.next_port}", self.next_port
        self.next_port += 1
        agent = ModelAgent(self, name, body["marsh"], body["driftwood"])
        endpoint = f"{self.host or name}:{port}"
        listed = {
            "id": name,
            "endpoint": endpoint,
            "breed": "t",
            "marsh": body["marsh"],
            "driftwood": body["driftwood"],
            "stance": "running",
            "heldS": 1.0,
        }
        machine = RentedMachine(agent, listed, anyio.CancelScope())
        self._add(name, machine)
        self.tasks.start_soon(self._run_machine, machine, port, endpoint)
        return name

    async def _run_machine(self, machine: RentedMachine, port: int, endpoint: str) -> None:
        agent = machine.agent
        network = self.net(self.host or agent.name)
        handle = self._command_handler(agent, endpoint)
        with machine.scope:
            await self._boot_time(agent, machine.listed)
            async with anyio.create_task_group() as tasks:
                server = Server(handle, 10, network=network, clock=self.clock)
                tasks.start_soon(server.run, self.host or agent.name, port)
                clients = {
                    name: Client(*address, max_idle=1, network=network, clock=self.clock)
                    for name, address in self.controllers.items()
                }
                tasks.start_soon(self._run_tasks, agent)
                await self._send_heartbeats(agent, endpoint, clients)

    # -- commands and tasks --------------------------------------------------------------------

    def _command_handler(self, agent: ModelAgent, endpoint: str) -> Any:
        async def handle(request: Request) -> Reply:
            await self.wait_while_hung(agent)
            if request.path == "/show":
                agent.tick()
                return Reply(200, {**agent.report(), "endpoint": endpoint})
            until, hold_answers = self.command_holds.get(agent.name, (0.0, False))
            if not hold_answers:
                await anyio.sleep(max(0.0, until - self.now))
            token_before = agent.token
            body = orjson.loads(request.body)
            report = agent.on_commands(body)
            if hold_answers:
                await anyio.sleep(max(0.0, until - self.now))
            accepted = body["crest"] >= token_before and body["tide"] == agent.incarnation
            if accepted and self.command_hook is not None:
                self.command_hook(agent, body)
            return Reply(200 if accepted else 409, {**report, "endpoint": endpoint})

        return handle

    async def wait_while_hung(self, agent: ModelAgent) -> bool:
        """Wait while a machine hangs; returns whether it did."""
        hung = self.now < agent.hung_until
        while self.now < agent.hung_until:  # the hang may be ended early
            await anyio.sleep(min(POLL_S, agent.hung_until - self.now))
        return hung

    def tick(self, agent: ModelAgent) -> None:
        """Advance a machine's tasks, unless it hangs."""
        incarnation, tasks = agent.incarnation, len(agent.tasks)
        if self.now < agent.hung_until:
            return  # it executes nothing; when it resumes, an expired lease first kills its tasks
        agent.tick()
        if agent.incarnation != incarnation:
            self.killed_by_lease += tasks

    async def _run_tasks(self, agent: ModelAgent) -> None:
        while True:
            await anyio.sleep(min(POLL_S, self.every))
            self.tick(agent)
            if agent is next(iter(self.workers.values()), None):
                task_rules.advance_gangs(self)

    # -- heartbeats ----------------------------------------------------------------------------

    async def _send_heartbeats(
        self, agent: ModelAgent, endpoint: str, clients: dict[str, Client]
    ) -> None:
        """Send heartbeats at intervals of about `every` seconds, and earlier after a change."""
        names = list(clients)
        # When a heartbeat was last sent only for a higher token: at most once in half a lease
        token_reported_at = NEVER
        while True:
            if await self.wait_while_hung(agent):
                self.tick(agent)
            token, sent, incarnation = agent.token, self.now, agent.incarnation
            body = {**agent.report(), "endpoint": endpoint}
            name = names[agent.controller_index]
            if self.heartbeat_hook is not None:
                self.heartbeat_hook(agent, name, body)
            listed = self._tasks_of(agent)
            status, answer = await self._call(agent, clients[name], body, sent)
            if status == 200 and isinstance(answer, dict):
                agent.on_answer(answer, sent, incarnation)
            else:
                await self._find_controller(agent, names, status, answer)
                continue
            token_reported_at = await self._wait_for_next(agent, token, listed, token_reported_at)

    async def _call(
        self, agent: ModelAgent, client: Client, body: dict[str, Any], sent: float
    ) -> tuple[int, Any]:
        """Send a heartbeat; returns its status and answer, or status 0 without an answer."""
        try:
            status, answer = await client.call("POST", "/v1/report", body, HEARTBEAT_TIMEOUT_S)
        except UnreachableError:
            status, answer = 0, None
        if await self.wait_while_hung(agent) and self.now - sent > HEARTBEAT_TIMEOUT_S:
            return 0, None  # the machine hung until after the timeout
        return status, answer

    async def _find_controller(
        self, agent: ModelAgent, names: list[str], status: int, answer: Any
    ) -> None:
        """Switch to the controller that the answer names, or else to the next one."""
        named = answer.get("homing") if status == 421 and isinstance(answer, dict) else None
        if named in names and named != names[agent.controller_index]:
            agent.controller_index = names.index(named)
            await anyio.sleep(0.5 * self.rng.random() * min(1.0, self.every))
        else:
            agent.controller_index = (agent.controller_index + 1) % len(names)
            await anyio.sleep(min(1.0, 5 * self.every))

    async def _wait_for_next(
        self, agent: ModelAgent, token: int, listed: list[ModelTask], token_reported_at: float
    ) -> float:
        """Wait until the next heartbeat is due.

        Returns the time at which a heartbeat was last sent only for a higher token.
        """
        due = self.now + self.every * (0.75 + 0.5 * self.rng.random())
        soon = self.now + min(0.5, self.every)
        while self.now < due:
            may_send = self.now >= soon
            token_unreported = self.now - token_reported_at > parameters.LEASE_S / 2
            if may_send and agent.token > token and token_unreported:
                return self.now
            if may_send and self._tasks_of(agent) != listed:
                return token_reported_at
            await anyio.sleep(min(POLL_S, self.every))
        return token_reported_at

    @staticmethod
    def _tasks_of(agent: ModelAgent) -> list[ModelTask]:
        return [replace(task) for task in agent.tasks.values()]
