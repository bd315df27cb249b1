"""The protocol's rules on tasks, checked against what is on the machines."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.jobs import Job
from ploverhall.settings import Team

from . import parameters
from .model_agent import RUNNING, WAITING, ModelAgent, ModelTask

ROUNDING = 1e-6


class RuleBrokenError(AssertionError):
    """A rule of the protocol was broken."""


class Machines(Protocol):
    """The machines and jobs of a simulation."""

    @property
    def now(self) -> float:
        """Return the time in seconds."""

    @property
    def workers(self) -> Mapping[str, ModelAgent]:
        """Return the agents by machine name."""

    @property
    def specs(self) -> dict[str, Job]:
        """Return every submitted job by its id."""


class CheckedMachines(Machines, Protocol):
    """The machines and jobs, with the acknowledged cancellations and the teams' limits."""

    @property
    def cancelled(self) -> dict[str, float]:
        """Return when users were told of each cancellation, by job id."""

    @property
    def teams(self) -> Mapping[str, Team]:
        """Return the teams by name."""


class GangMachines(Machines, Protocol):
    """The machines and jobs, with the results to which finished gangs are added."""

    @property
    def results(self) -> set[Any]:
        """Return the tasks that are done, each as job id and index."""


def check_start(machines: Machines, agent: ModelAgent, attempt: AttemptId) -> None:
    """Check that a started task runs on no other machine, and only where its job allows.

    Raises:
        RuleBrokenError: it runs elsewhere too, or its machine does not suit the job.
    """
    job = machines.specs[attempt[0]]
    zones: dict[str, int] = {}
    for other in machines.workers.values():
        for running in other.on_machine():
            if running[:2] == attempt[:2] and other is not agent:
                raise RuleBrokenError(
                    f"ran_twice: {attempt} on {agent.name} while {running} is on {other.name}"
                    f" at {machines.now}"
                )
            if running[0] == attempt[0]:
                zones[other.zone] = zones.get(other.zone, 0) + 1
    if (
        (agent.spot and not job.spot)
        or (job.zone and job.zone != agent.zone)
        or (job.single_zone and len(zones) > 1)
    ):
        raise RuleBrokenError(f"wrong_place: {attempt} on {agent.name}")
    if job.spread_zones and zones[agent.zone] > job.max_tasks_per_zone:
        raise RuleBrokenError(f"wrong_place: {attempt} on {agent.name}: {zones}")


def check_machines(machines: CheckedMachines) -> None:
    """Check the teams' limits, and that cancelled jobs end within `CANCEL_S`.

    Raises:
        RuleBrokenError: a team exceeds its limit, or a cancelled job still runs.
    """
    used: dict[str, float] = {}
    for agent in machines.workers.values():
        for attempt in agent.on_machine():
            job = machines.specs[attempt[0]]
            used[job.team] = used.get(job.team, 0.0) + job.gpus
            _check_not_cancelled(machines, agent, attempt)
    for team, gpus in used.items():
        if gpus > machines.teams[team].max_gpus + ROUNDING:
            raise RuleBrokenError(f"quota: {team} uses {gpus} at {machines.now}")


def _check_not_cancelled(machines: CheckedMachines, agent: ModelAgent, attempt: AttemptId) -> None:
    """Check that an attempt's job was not cancelled more than `CANCEL_S` ago.

    Hung machines are not exempt: one may resume within its lease, and beyond the lease no task
    counts as being on it.
    """
    job_id = attempt[0]
    if (
        job_id in machines.cancelled
        and machines.now - machines.cancelled[job_id] > parameters.CANCEL_S
    ):
        raise RuleBrokenError(f"ran_cancelled: {attempt} on {agent.name} at {machines.now}")


GangMember = tuple[ModelAgent, AttemptId, ModelTask]


def advance_gangs(machines: GangMachines) -> None:
    """Start, advance and end the gangs' tasks on the machines, as their agents do together."""
    gangs: dict[tuple[str, int], list[GangMember]] = {}
    for agent in machines.workers.values():
        for attempt, task in agent.tasks.items():
            if machines.specs[attempt[0]].kind == "gang" and task.state in (WAITING, RUNNING):
                gangs.setdefault((attempt[0], attempt[2]), []).append((agent, attempt, task))
    for (job_id, _), members in gangs.items():
        _advance_gang(machines, machines.specs[job_id], members)


def _advance_gang(machines: GangMachines, job: Job, members: list[GangMember]) -> None:
    now, complete = machines.now, len(members) == job.task_count
    if complete and all(task.state == WAITING for _, _, task in members):
        for _, _, task in members:
            task.state, task.until, task.lost = RUNNING, now + job.estimate_s, None
    for agent, _, task in members:
        if now < agent.hung_until:
            continue
        if task.state == WAITING and now - task.since > parameters.GANG_WAIT_S:
            task.end("alone")
        elif task.state == RUNNING and len(members) < job.task_count:
            task.lost = task.lost or now
            if now - task.lost > parameters.GANG_PEER_S:
                task.end("peers")
        elif task.state == RUNNING and now >= task.until:
            for _, attempt, member in members:
                member.end("done")
                machines.results.add(attempt[:2])
            break
