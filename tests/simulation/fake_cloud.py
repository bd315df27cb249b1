"""A fake cloud that speaks the published protocol: machine types, lists, rentals and deletions."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import anyio
import anyio.abc
import orjson

from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply

from .model_agent import ModelAgent

LIST_HISTORY_SIZE = 400  # earlier lists from which a lagging list is taken
UNANSWERED_S = 20.0  # a request held this long counts as unanswered: its sender has timed out


@dataclass
class RentedMachine:
    """A machine in the cloud's records, with the agent on it."""

    agent: ModelAgent
    listed: dict[str, Any]  # its entry in the machine list
    scope: anyio.CancelScope  # of the agent's process


class FakeCloud(ABC):
    """A cloud whose machines can be listed, rented and deleted.

    Its faults are drawn from a random generator of their own.
    """

    def __init__(self, clock: Callable[[], float], zones: tuple[str, ...]) -> None:
        self.clock, self.zones = clock, zones
        self.tasks: anyio.abc.TaskGroup
        self.machines: dict[str, RentedMachine] = {}
        self.rentals: dict[str, list[str]] = {}  # machines by the idempotency key of their rental
        self.max_machines = 10_000  # capacity of the cloud, in machines
        self.rented_at: dict[str, float] = {}  # when each machine was rented
        # Range of the drawn boot time: seconds from the rental to the agent's first heartbeat
        self.boot_range_s = (0.0, 0.0)
        # A list shows the state up to twice this long ago, possibly an earlier state than the
        # previous list
        self.list_lag_s = 0.0
        # Share of rentals and deletions that are executed and not answered
        self.lost_answers = 0.0
        self.late_requests = 0.0  # share not answered and executed 2 to 12 s later
        self.cloud_rng = Random(17)
        # States of the machine list without a lag, each with the time from which it holds
        self.list_history: list[tuple[float, dict[str, dict[str, Any]]]] = []
        self.listed_once: set[str] = set()

    @property
    def now(self) -> float:
        """Return the time in seconds."""
        return self.clock()

    @property
    def workers(self) -> dict[str, ModelAgent]:
        """Return the agents by machine name."""
        return {name: machine.agent for name, machine in self.machines.items()}

    @abstractmethod
    def boot(self, body: dict[str, Any]) -> str:
        """Start a machine as the rental `body` requests; returns its name."""

    async def handle(self, request: Request) -> Reply:
        """Answer a controller's request."""
        if request.path == "/flavors":
            return Reply(200, {"breeds": [self._machine_type()]})
        if request.path == "/hosts" and request.method == "GET":
            after = request.query.get("from", "")
            listed = [machine for machine in self._list() if machine["id"] > after]
            return Reply(200, {"perches": listed, "hasNext": False})
        body = orjson.loads(request.body)
        unanswered = self.lost_answers + self.late_requests
        fate = self.cloud_rng.random() if unanswered else 1.0
        if fate < unanswered:
            if fate >= self.lost_answers:
                self.tasks.start_soon(self._execute_late, request.path, body)
            else:
                self._execute(request.path, body)
            await anyio.sleep(UNANSWERED_S)
        return self._execute(request.path, body)

    def _machine_type(self) -> dict[str, Any]:
        return {
            "name": "t",
            "cores": 16,
            "gpus": 4,
            "ramGb": 128,
            "localGb": 60,
            "pullGbPerS": 1.0,
            "price": 10.0,
            "lowPrice": 3.0,
            "startupS": 1,
            "marshes": list(self.zones),
        }

    def _execute(self, path: str, body: dict[str, Any]) -> Reply:
        """Execute a deletion, or a rental; a repeated rental key returns the same machines."""
        if path == "/hosts":
            if body["plea"] not in self.rentals:
                if len(self.machines) + body["count"] > self.max_machines:
                    return Reply(503, {"error": "no capacity"})
                self.rentals[body["plea"]] = [self.boot(body) for _ in range(body["count"])]
            return Reply(200, {"perches": self.rentals[body["plea"]]})
        for name in body["perches"]:
            if name in self.machines:
                self.machines.pop(name).scope.cancel()
        self._record_list()
        return Reply(200, {})

    async def _execute_late(self, path: str, body: dict[str, Any]) -> None:
        await anyio.sleep(2.0 + 10.0 * self.cloud_rng.random())
        self._execute(path, body)

    def _add(self, name: str, machine: RentedMachine) -> None:
        self.machines[name] = machine
        self.rented_at[name] = self.now
        self._record_list()

    # -- lists ---------------------------------------------------------------------------------

    def _list(self) -> list[dict[str, Any]]:
        if self.list_lag_s:
            return self._lagging_list()
        return [machine.listed for machine in self.machines.values()]

    def _record_list(self) -> None:
        """Record the current machine list, for lists with a lag."""
        if self.list_lag_s:
            listed = {name: machine.listed for name, machine in self.machines.items()}
            self.list_history = [*self.list_history[-LIST_HISTORY_SIZE:], (self.now, listed)]

    def _lagging_list(self) -> list[dict[str, Any]]:
        """Return the list as it was at a random moment within twice the lag.

        A machine that was listed once stays in the list until it is deleted.
        """
        self._record_list()
        as_of = self.now - 2.0 * self.list_lag_s * self.cloud_rng.random()
        then = next(
            (listed for at, listed in reversed(self.list_history) if at <= as_of),
            self.list_history[0][1],
        )
        still_listed = {
            name: machine.listed
            for name, machine in self.machines.items()
            if name in self.listed_once
        }
        shown = {**still_listed, **then}
        self.listed_once |= shown.keys()
        return [
            {**machine, "heldS": max(0.0, as_of - self.rented_at[name])}
            for name, machine in sorted(shown.items())
        ]

    async def _boot_time(self, agent: ModelAgent, listed: dict[str, Any]) -> None:
        """Wait until a rented machine has booted."""
        if self.boot_range_s[1] > 0.0:
            listed["stance"] = "booting"
            await anyio.sleep(self.cloud_rng.uniform(*self.boot_range_s))
            listed["stance"] = "running"
            agent.answered_sent = self.now  # its lease starts at the end of the boot
