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

KEPT_LISTS = 400  # earlier lists that one with a lag may be
UNANSWERED_S = 20.0  # a request that is held for so long gets no answer: its sender has given up


@dataclass
class RentedMachine:
    """A machine, as the cloud has it, with the agent on it."""

    agent: ModelAgent
    listed: dict[str, Any]  # as the list shows it
    scope: anyio.CancelScope  # of the agent's process


class FakeCloud(ABC):
    """Machines that are listed, rented and deleted; the draws of its faults are its own."""

    def __init__(self, clock: Callable[[], float], zones: tuple[str, ...]) -> None:
        self.clock, self.zones = clock, zones
        self.tasks: anyio.abc.TaskGroup
        self.machines: dict[str, RentedMachine] = {}
        self.pleas: dict[str, list[str]] = {}  # machines by the key of their rental
        self.most = 10_000  # machines that are to be had
        self.hours: dict[str, float] = {}  # when a machine was asked for
        # Seconds from a rental to its agent's first heartbeat, drawn between these
        self.boots = (0.0, 0.0)
        # Its list describes a moment up to twice that ago, also an earlier one than the list
        # before it
        self.list_lag_s = 0.0
        # The share of rentals and deletions that are executed, and not answered
        self.lost_answers = 0.0
        self.late_requests = 0.0  # the share that are not answered and executed 2 to 12 s later
        self.cloud_rng = Random(17)
        # What a list without a lag would have shown, from then on
        self.was: list[tuple[float, dict[str, dict[str, Any]]]] = []
        self.listed_once: set[str] = set()

    @property
    def now(self) -> float:
        """The time."""
        return self.clock()

    @property
    def workers(self) -> dict[str, ModelAgent]:
        """The agents, by machine."""
        return {name: machine.agent for name, machine in self.machines.items()}

    @abstractmethod
    def boot(self, body: dict[str, Any]) -> str:
        """Start a machine that was rented so; its name."""

    async def handle(self, request: Request) -> Reply:
        """Answer a request."""
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
        """Carry out a rental, once for each key, or a deletion."""
        if path == "/hosts":
            if body["plea"] not in self.pleas:
                if len(self.machines) + body["count"] > self.most:
                    return Reply(503, {"error": "no capacity"})
                self.pleas[body["plea"]] = [self.boot(body) for _ in range(body["count"])]
            return Reply(200, {"perches": self.pleas[body["plea"]]})
        for name in body["perches"]:
            if name in self.machines:
                self.machines.pop(name).scope.cancel()
        self._note()
        return Reply(200, {})

    async def _execute_late(self, path: str, body: dict[str, Any]) -> None:
        await anyio.sleep(2.0 + 10.0 * self.cloud_rng.random())
        self._execute(path, body)

    def _add(self, name: str, machine: RentedMachine) -> None:
        self.machines[name] = machine
        self.hours[name] = self.now
        self._note()

    # -- lists ---------------------------------------------------------------------------------

    def _list(self) -> list[dict[str, Any]]:
        if self.list_lag_s:
            return self._lagging_list()
        return [machine.listed for machine in self.machines.values()]

    def _note(self) -> None:
        """Remember what the cloud has from now on."""
        if self.list_lag_s:
            listed = {name: machine.listed for name, machine in self.machines.items()}
            self.was = [*self.was[-KEPT_LISTS:], (self.now, listed)]

    def _lagging_list(self) -> list[dict[str, Any]]:
        """A list as it was some time ago.

        A machine that has been listed stays so until it is gone.
        """
        self._note()
        as_of = self.now - 2.0 * self.list_lag_s * self.cloud_rng.random()
        then = next((listed for at, listed in reversed(self.was) if at <= as_of), self.was[0][1])
        still_listed = {
            name: machine.listed
            for name, machine in self.machines.items()
            if name in self.listed_once
        }
        shown = {**still_listed, **then}
        self.listed_once |= shown.keys()
        return [
            {**machine, "heldS": max(0.0, as_of - self.hours[name])}
            for name, machine in sorted(shown.items())
        ]

    async def _boot_time(self, agent: ModelAgent, listed: dict[str, Any]) -> None:
        """Wait until a rented machine is up."""
        if self.boots[1] > 0.0:
            listed["stance"] = "booting"
            await anyio.sleep(self.cloud_rng.uniform(*self.boots))
            listed["stance"] = "running"
            agent.answered_sent = self.now  # its lease counts from when it began
