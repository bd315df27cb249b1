"""Late copies of direct commands that were carried out and answered before."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

import anyio

from ploverhall.protocol import agents
from ploverhall.protocol.agents import AttemptId

from .model_agent import ENDED, ModelAgent
from .users import SimulatedUsers

COPIES = 2  # of each command that is copied
FIRST_COPY_S, LAST_COPY_S = 0.3, 60.0  # after the answer


class CommandCopies:
    """Delivers copies of run commands, and counts what they meet and what they start."""

    def __init__(self, cluster: SimulatedUsers, rng: Random, share: float = 1.0) -> None:
        self.cluster, self.rng, self.share = cluster, rng, share
        self.met: Counter[str] = Counter()  # copied runs, by the state of their task
        self.started: Counter[str] = Counter()  # those of them that were started, likewise

    def on_command(self, agent: ModelAgent, body: dict[str, Any]) -> None:
        """Schedule the copies of a command that was carried out; the hook of `FakeAgents`."""
        if not any(call["call"] == "run" for call in body["calls"]):
            return
        if self.rng.random() >= self.share:
            return
        for _ in range(COPIES):
            after = FIRST_COPY_S * (LAST_COPY_S / FIRST_COPY_S) ** self.rng.random()
            self.cluster.tasks.start_soon(self._deliver, agent.name, body, after)

    async def _deliver(self, machine: str, body: dict[str, Any], after: float) -> None:
        await anyio.sleep(after)
        agent = self.cluster.workers.get(machine)
        if agent is None or agent.hung_until > self.cluster.now:
            return
        agent.tick()
        runs = [_attempt(call) for call in body["calls"] if call["call"] == "run"]
        states = {attempt: self._state(agent, attempt) for attempt in runs}
        known = set(agent.tasks)
        agent.on_commands(body)
        for attempt, state in states.items():
            self.met[state] += 1
            self.started[state] += attempt in agent.tasks and attempt not in known

    def _state(self, agent: ModelAgent, attempt: AttemptId) -> str:
        """Return what has become of a copied attempt's task."""
        if (task := agent.tasks.get(attempt)) is not None:
            return "exited" if task.state == ENDED else "runs on"
        if attempt.job_id in self.cluster.cancelled:
            return "cancelled"
        return "done" if attempt[:2] in self.cluster.fleet.results else "moved"


def _attempt(call: dict[str, Any]) -> AttemptId:
    job_id, task = agents.split_task(call["chick"])
    return AttemptId(job_id, task, call["hatch"])
