"""Agents on a fake cloud's machines, which report to the controllers over whatever network they are given.

On loopback sockets in real time (tests/test_loopback.py), and in virtual time over a simulated
network (deployment).
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
    """The cloud, with agents that run on its machines as the protocol has it."""

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
        # By how much some tasks run longer than others of their job
        self.longer: dict[tuple[str, int], float] = {}
        self.broken: list[str] = []  # rules that were broken
        self.killed_by_lease = 0
        # Starts: how many, when, on which machine, which attempt, of which task
        self.starts = 0
        self.started_at: list[float] = []
        self.started_on: list[tuple[float, str]] = []
        self.starts_of: list[tuple[float, Any, str]] = []
        self.first_starts: set[tuple[str, int]] = set()
        self.first_at: dict[tuple[str, int], float] = {}  # when each task first was on a machine
        self.begun: Counter[tuple[str, int]] = Counter()  # how often each task was started
        # Told of every heartbeat that leaves
        self.sent: Callable[[ModelAgent, str, dict[str, Any]], None] | None = None
        # Until when commands to a machine (True: their answers) are held up
        self.held_do: dict[str, tuple[float, bool]] = {}

    def started(self, agent: ModelAgent, attempt: AttemptId) -> None:
        """Note and judge that a task is on its machine from now on."""
        task = attempt[:2]
        self.started_at.append(self.now)
        self.started_on.append((self.now, agent.name))
        self.first_starts.add(task)
        self.begun[task] += 1
        self.first_at.setdefault(task, self.now)
        self.starts_of.append((self.now, attempt, agent.name))
        self.starts += 1
        try:
            task_rules.check_start(self, agent, attempt)
        except task_rules.RuleBrokenError as error:
            self.broken.append(str(error))

    def boot(self, body: dict[str, Any]) -> str:
        """Start a machine with its agent; the machine's name."""
        name, port = f"n-{len(self.pleas):03d}{self.next_port}", self.next_port
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
            await self.awake(agent)
            if request.path == "/show":
                agent.tick()
                return Reply(200, {**agent.report(), "endpoint": endpoint})
            until, hold_answers = self.held_do.get(agent.name, (0.0, False))
            if not hold_answers:
                await anyio.sleep(max(0.0, until - self.now))
            token_before = agent.token
            body = orjson.loads(request.body)
            report = agent.on_do(body)
            if hold_answers:
                await anyio.sleep(max(0.0, until - self.now))
            accepted = body["crest"] >= token_before and body["tide"] == agent.incarnation
            return Reply(200 if accepted else 409, {**report, "endpoint": endpoint})

        return handle

    async def awake(self, agent: ModelAgent) -> bool:
        """Wait until a machine that hangs goes on; whether it hung."""
        hung = self.now < agent.hung_until
        while self.now < agent.hung_until:  # it may end sooner than it was to
            await anyio.sleep(min(POLL_S, agent.hung_until - self.now))
        return hung

    def tick(self, agent: ModelAgent) -> None:
        """Let a machine go on with its tasks, if it does not hang."""
        incarnation, tasks = agent.incarnation, len(agent.tasks)
        if self.now < agent.hung_until:
            return  # nothing is executed; what its lease has ended is killed first when it goes on
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
        """Send a heartbeat now and then, and at once when there is something to tell."""
        names = list(clients)
        # When a higher token was last told of by itself: no more than once in half a lease
        token_told_at = NEVER
        while True:
            if await self.awake(agent):
                self.tick(agent)
            token, sent, incarnation = agent.token, self.now, agent.incarnation
            body = {**agent.report(), "endpoint": endpoint}
            name = names[agent.controller_index]
            if self.sent is not None:
                self.sent(agent, name, body)
            listed = self._tasks_of(agent)
            status, answer = await self._call(agent, clients[name], body, sent)
            if status == 200 and isinstance(answer, dict):
                agent.on_answer(answer, sent, incarnation)
            else:
                await self._find_controller(agent, names, status, answer)
                continue
            token_told_at = await self._wait_for_next(agent, token, listed, token_told_at)

    async def _call(
        self, agent: ModelAgent, client: Client, body: dict[str, Any], sent: float
    ) -> tuple[int, Any]:
        """The status and answer of a heartbeat; status 0 without an answer."""
        try:
            status, answer = await client.call("POST", "/v1/report", body, HEARTBEAT_TIMEOUT_S)
        except UnreachableError:
            status, answer = 0, None
        if await self.awake(agent) and self.now - sent > HEARTBEAT_TIMEOUT_S:
            return 0, None  # it has hung over an answer
        return status, answer

    async def _find_controller(
        self, agent: ModelAgent, names: list[str], status: int, answer: Any
    ) -> None:
        """Go to the controller that the answer names, or else to the next."""
        named = answer.get("homing") if status == 421 and isinstance(answer, dict) else None
        if named in names and named != names[agent.controller_index]:
            agent.controller_index = names.index(named)
            await anyio.sleep(0.5 * self.rng.random() * min(1.0, self.every))
        else:
            agent.controller_index = (agent.controller_index + 1) % len(names)
            await anyio.sleep(min(1.0, 5 * self.every))

    async def _wait_for_next(
        self, agent: ModelAgent, token: int, listed: list[ModelTask], token_told_at: float
    ) -> float:
        """Wait until the next heartbeat is due; when a higher token was last told of by itself."""
        due = self.now + self.every * (0.75 + 0.5 * self.rng.random())
        soon = self.now + min(0.5, self.every)
        while self.now < due:
            may_send = self.now >= soon
            token_untold = self.now - token_told_at > parameters.LEASE_S / 2
            if may_send and agent.token > token and token_untold:
                return self.now
            if may_send and self._tasks_of(agent) != listed:
                return token_told_at
            await anyio.sleep(min(POLL_S, self.every))
        return token_told_at

    @staticmethod
    def _tasks_of(agent: ModelAgent) -> list[ModelTask]:
        return [replace(task) for task in agent.tasks.values()]
