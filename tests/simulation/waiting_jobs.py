"""Finds jobs that wait although machines have room for them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ploverhall.protocol.jobs import Job

from . import parameters
from .model_agent import ModelAgent
from .users import SimulatedUsers

ROUNDING = 1e-6


@dataclass
class _Usage:
    """The tasks that are on the machines now."""

    gpus: dict[str, float] = field(default_factory=dict)  # by team
    tasks: dict[str, set[int]] = field(default_factory=dict)  # by job
    zones: dict[str, set[str]] = field(default_factory=dict)  # by job


def startable_jobs(cluster: SimulatedUsers) -> set[str]:
    """Return the waiting jobs that fit on the machines and within their team's limit."""
    usage = _usage(cluster)
    return {job_id for job_id in cluster.asked if _is_startable(cluster, usage, job_id)}


def _usage(cluster: SimulatedUsers) -> _Usage:
    usage = _Usage()
    for agent in cluster.workers.values():
        for (job_id, index, _), task in agent.tasks.items():
            if task.state != "ended":
                job = cluster.specs[job_id]
                usage.gpus[job.team] = usage.gpus.get(job.team, 0.0) + job.gpus
                usage.tasks.setdefault(job_id, set()).add(index)
                usage.zones.setdefault(job_id, set()).add(agent.zone)
    return usage


def _is_startable(cluster: SimulatedUsers, usage: _Usage, job_id: str) -> bool:
    job = cluster.specs[job_id]
    if cluster.asked[job_id].accepted is None or job_id in cluster.withdrawing:
        return False
    on_machines = usage.tasks.get(job_id, set())
    waiting = any(
        (job_id, i) not in cluster.fleet.results and i not in on_machines
        for i in range(job.task_count)
    )
    if not waiting or (job.kind == "gang" and on_machines):
        return False
    needed = job.task_count if job.kind == "gang" else 1
    limit = cluster.teams[job.team].max_gpus
    if limit and usage.gpus.get(job.team, 0.0) + needed * job.gpus > limit:
        return False
    agents = [agent for agent in cluster.workers.values() if cluster.now >= agent.hung_until]
    return _free_slots(job, agents, usage.zones.get(job_id)) >= needed


def _free_slots(job: Job, agents: Iterable[ModelAgent], zones: set[str] | None) -> int:
    """Return how many more tasks of a job fit on the machines.

    Only one zone counts if the job requires a single zone.
    """
    slots: dict[str, int] = {}
    for agent in agents:
        if (agent.spot and not job.spot) or job.zone not in (None, agent.zone):
            continue
        if job.single_zone and zones is not None and zones != {agent.zone}:
            continue
        together = agent.zone if job.single_zone else "any"
        free_gpus = parameters.MACHINE_TYPE.gpus - agent.used()
        slots[together] = slots.get(together, 0) + int(free_gpus / job.gpus + ROUNDING)
    return max(slots.values(), default=0)
