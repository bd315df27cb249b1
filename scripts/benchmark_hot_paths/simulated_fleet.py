"""Simulate a job source, a shard's owner and their agents in one process, without I/O."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

from ploverhall.protocol import agents
from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.permitting import JobSource
from ploverhall.settings import Team
from scripts.benchmark_hot_paths.messages import (
    EPOCH,
    ZONE,
    heartbeat_body,
    owner_with_idle_machines,
)

TEAMS = 8
# States and exit reasons of a task in a heartbeat
RUNNING = "running"
ENDED = "ended"
DONE = "done"
HALTED = "halted"


@dataclass
class SimulatedTask:
    """A task on an agent."""

    ends_at: float
    state: str = RUNNING
    exit_reason: str = ""

    def end(self, reason: str) -> None:
        """End the task with an exit reason."""
        self.state = ENDED
        self.exit_reason = reason


class SimulatedFleet:
    """One source, one owner, and agents that execute commands immediately; no I/O."""

    def __init__(self, size: int) -> None:
        self.now = 0.0
        self.spent_s = 0.0  # processor time of the source and the owner
        self.permit_count = 0
        self.job_count = 0
        self.owner = owner_with_idle_machines(size)
        teams = [Team(f"t{index}", 0.0, 0.0, float(size), 4.0 * size) for index in range(TEAMS)]
        self.source = JobSource(0, EPOCH, teams, (ZONE,), 4096, 48)
        self.tasks: dict[str, dict[AttemptId, SimulatedTask]] = {
            name: {} for name in self.owner.machines
        }
        self.sequence = dict.fromkeys(self.owner.machines, 1)
        self.duration_s: dict[str, float] = {}

    def submit(self, kind: str, priority: int, count: int, gpus: float, duration_s: float) -> None:
        """Submit a job to the source."""
        self.job_count += 1
        job_id = f"j-{self.job_count:06d}"
        job = Job(
            job_id,
            kind,
            f"t{self.job_count % TEAMS}",
            kind,
            priority,
            count,
            4.0 * gpus,
            gpus,
            8.0 * gpus,
            f"i{self.job_count % 5}",
            4.0,
            None,
            None,
            False,
            False,
            False,
            9.0,
            0.0,
            0.0,
            None,
            self.now,
        )
        self.duration_s[job_id] = duration_s
        self.source.on_job(job, job_id, self.job_count, self.now)

    def heartbeat(self, name: str) -> agents.Heartbeat:
        """Return the next heartbeat of a machine's agent."""
        self.sequence[name] += 1
        token = self.owner.machines[name].token
        listed = [
            {
                "chick": f"{job}/{index}",
                "hatch": attempt,
                "stance": task.state,
                "cause": task.exit_reason,
            }
            for (job, index, attempt), task in self.tasks[name].items()
        ]
        return agents.heartbeat_from_json(
            {**heartbeat_body(name, self.sequence[name], token, 0), "chicks": listed}
        )

    def execute(self, name: str, commands: list[Any]) -> None:
        """Execute commands on a machine's agent."""
        tasks = self.tasks[name]
        for command in commands:
            attempt_id = AttemptId(*agents.split_task(command["chick"]), command["hatch"])
            if command["call"] == "run":
                ends_at = self.now + self.duration_s[attempt_id.job_id]
                tasks.setdefault(attempt_id, SimulatedTask(ends_at))
            elif command["call"] == "reap":
                tasks.pop(attempt_id, None)
            elif attempt_id in tasks:
                tasks[attempt_id].end(HALTED)

    def reset_measurement(self) -> None:
        """Reset the counts of processor time and permits."""
        self.spent_s = 0.0
        self.permit_count = 0

    @property
    def microseconds_a_permit(self) -> float:
        """Return the processor time for each permit, in microseconds."""
        return self.spent_s / max(1, self.permit_count) * 1e6

    def step(self) -> None:
        """Advance by a tenth of a second.

        Tasks end, agents with ended tasks send heartbeats, and source and owner decide three times.
        """
        self.now += 0.1
        for machine in self.owner.machines.values():
            machine.last_heartbeat_at = self.now
        for name, tasks in self.tasks.items():
            for task in tasks.values():
                if task.state == RUNNING and task.ends_at <= self.now:
                    task.end(DONE)
            if any(task.state == ENDED for task in tasks.values()):
                self._send_heartbeat(name)
        for _ in range(3):
            self._decide()

    def _send_heartbeat(self, name: str) -> None:
        """Send a machine's heartbeat to the owner and execute the commands in the answer."""
        heartbeat = self.heartbeat(name)
        begun = time.process_time()
        self.owner.on_heartbeat(heartbeat, self.now)
        commands = self.owner.commands_for(self.owner.machines[name], self.now)
        self.spent_s += time.process_time() - begun
        self.execute(name, commands)

    def _decide(self) -> None:
        """Run one round of decisions.

        The source writes permits; the owner places tasks, sends commands and updates the source.
        """
        begun = time.process_time()
        self.source.decide(self.now)
        while (write := self.source.next_write()) is not None:
            self.permit_count += len(write.added)
            self.source.on_committed(write, 1000 + int(self.now * 10), self.now)
        updates = self.source.take_owner_updates(1, self.now)
        self.owner.on_source_update(
            0, False, {key: value for (_, key), value in updates.items()}, self.now
        )
        self.owner.advance_time(self.now)
        self.owner.place_candidates(self.now)
        sent = self.owner.direct_commands(self.now)
        self.spent_s += time.process_time() - begun
        for machine, body in sent:
            self.execute(machine.name, body["calls"])
            heartbeat = self.heartbeat(machine.name)
            begun = time.process_time()
            self.owner.on_direct_answer(machine, heartbeat, self.now)
            self.spent_s += time.process_time() - begun
        begun = time.process_time()
        owner_updates = self.owner.take_source_updates()
        self.source.on_owner_update(
            0, EPOCH, False, {key: value for (_, key), value in owner_updates.items()}, self.now
        )
        self.spent_s += time.process_time() - begun
