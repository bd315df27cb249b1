"""A model of an agent: one machine and its tasks, as the protocol describes them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from ploverhall.protocol import agents
from ploverhall.protocol.jobs import Job

from . import parameters

CACHED_FETCH_S = 0.1
FETCH_S = 2.0
FOREVER_S = 1e9
LEASE_TOLERANCE_S = 0.1  # interval at which agents check their lease

FETCHING, WAITING, RUNNING, ENDED = "pulling", "waiting", "running", "ended"
NOT_ON_MACHINE = (FETCHING, ENDED)


class AgentWorld(Protocol):
    """The part of a simulation that its agents use."""

    @property
    def now(self) -> float:
        """Return the time in seconds."""

    @property
    def rng(self) -> Random:
        """Return the source of random numbers."""

    @property
    def nodes(self) -> Sequence[Any]:
        """Return the controllers."""

    @property
    def specs(self) -> dict[str, Job]:
        """Return every submitted job by its id."""

    @property
    def results(self) -> set[tuple[str, int]]:
        """Return the tasks that are done, each as job id and index."""

    @property
    def extra_s(self) -> dict[tuple[str, int], float]:
        """Return the additional running time of some tasks, in seconds."""

    def started(self, agent: ModelAgent, attempt: agents.AttemptId) -> None:
        """Report that a task is on its machine from now on."""


@dataclass
class ModelTask:
    """A task attempt that the agent knows."""

    state: str
    ready: float  # when its image has been fetched
    why: str = ""  # the reason why it has ended
    since: float = 0.0  # when it came onto the machine
    until: float = 0.0  # when it is done
    lost: float | None = None  # since when another task of its gang is missing

    def end(self, why: str) -> None:
        """End the task, for one of the protocol's reasons."""
        self.state, self.why = ENDED, why


class ModelAgent:
    """One machine with its agent, which follows the protocol exactly."""

    def __init__(self, world: AgentWorld, name: str, zone: str, spot: bool) -> None:
        self.world, self.name, self.zone, self.spot = world, name, zone, spot
        self.incarnation, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[agents.AttemptId, ModelTask] = {}
        self.controller_index = world.rng.randrange(len(world.nodes))  # it sends heartbeats to it
        self.answered_sent = world.now  # when the last answered heartbeat was sent
        self.hung_until = 0.0
        self.not_receiving_until = 0.0  # until then its heartbeats arrive, but nothing reaches it
        self.images: set[str] = set()

    def report(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "perch": self.name,
            "endpoint": "x:1",
            "breed": "t",
            "marsh": self.zone,
            "driftwood": self.spot,
            "tide": self.incarnation,
            "peep": self.sequence,
            "crest": self.token,
            "warningS": None,
            "chicks": [self._listed(attempt, task) for attempt, task in self.tasks.items()],
        }

    @staticmethod
    def _listed(attempt: agents.AttemptId, task: ModelTask) -> dict[str, Any]:
        job_id, index, number = attempt
        listed = {"chick": f"{job_id}/{index}", "hatch": number, "stance": task.state}
        return {**listed, "cause": task.why} if task.state == ENDED else listed

    def tick(self) -> None:
        """Kill all tasks if the lease has expired, and advance image fetches and tasks."""
        if self.world.now - self.answered_sent > parameters.LEASE_S:
            self.tasks.clear()
            self.incarnation += 1
            self.answered_sent = self.world.now
        for attempt, task in list(self.tasks.items()):
            job = self.world.specs[attempt[0]]
            if task.state == FETCHING and self.world.now >= task.ready:
                self._start(attempt, task, job)
            elif task.state == RUNNING and job.kind != "gang" and self.world.now >= task.until:
                task.end("done")
                self.world.results.add((attempt[0], attempt[1]))

    def _start(self, attempt: agents.AttemptId, task: ModelTask, job: Job) -> None:
        now = self.world.now
        self.images.add(job.image)
        task.state = WAITING if job.kind == "gang" else RUNNING
        task.since = now
        if job.kind == "service":
            task.until = now + FOREVER_S
        else:
            task.until = now + (job.estimate_s + self.world.extra_s.get(attempt[:2], 0.0))
        self.world.started(self, attempt)

    def execute(self, calls: list[dict[str, Any]]) -> None:
        """Execute a controller's commands."""
        for call in calls:
            job_id, index = agents.split_task(call["chick"])
            attempt = agents.AttemptId(job_id, index, call["hatch"])
            if call["call"] == "run":
                self._run(attempt)
            elif call["call"] == "kill":
                if attempt in self.tasks and self.tasks[attempt].state != ENDED:
                    self.tasks[attempt].end("halted")
            elif attempt in self.tasks and self.tasks[attempt].state == ENDED:
                del self.tasks[attempt]

    def _run(self, attempt: agents.AttemptId) -> None:
        if attempt in self.tasks:
            return
        job = self.world.specs[attempt[0]]
        fetch_s = CACHED_FETCH_S if job.image in self.images else FETCH_S
        task = ModelTask(FETCHING, ready=self.world.now + fetch_s)
        if any(
            known[:2] == attempt[:2] and other.state != ENDED for known, other in self.tasks.items()
        ):
            task.end("in_use")
        elif self.used() + job.gpus > parameters.MACHINE_TYPE.gpus:
            task.end("no_room")
        elif attempt[:2] in self.world.results:
            task.end("done")
        self.tasks[attempt] = task

    def used(self) -> float:
        """Return the GPUs of the tasks that have not ended."""
        return sum(
            self.world.specs[attempt[0]].gpus
            for attempt, task in self.tasks.items()
            if task.state != ENDED
        )

    def restart(self) -> None:
        """Lose all tasks, as when the machine is back within a fraction of a second.

        The token and the incarnation are kept on the machine, and the next incarnation begins.
        """
        self.tasks.clear()
        self.incarnation += 1
        self.answered_sent = self.world.now

    def on_answer(self, body: dict[str, Any], sent: float, incarnation: int) -> None:
        """Handle the answer to a heartbeat that incarnation `incarnation` sent at time `sent`."""
        self.tick()
        if body.get("crest", -1) < self.token or incarnation != self.incarnation:
            return
        self.token = body["crest"]
        self.answered_sent = sent
        self.execute(body["calls"])

    def on_commands(self, body: dict[str, Any]) -> dict[str, Any]:
        """Execute commands that a controller sent directly; returns a heartbeat as the answer."""
        self.tick()
        if body["crest"] >= self.token and body["tide"] == self.incarnation:
            self.token = body["crest"]
            self.execute(body["calls"])
        return self.report()

    def on_machine(self) -> list[agents.AttemptId]:
        """Return the attempts that are on the machine, waiting or running."""
        if self.world.now - self.answered_sent > parameters.LEASE_S + LEASE_TOLERANCE_S:
            return []  # it hangs beyond its lease: when it resumes, its tasks are killed first
        return [attempt for attempt, task in self.tasks.items() if task.state not in NOT_ON_MACHINE]
