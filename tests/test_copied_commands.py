"""Test that a late copy of a run command, answered before, starts no task again."""

from __future__ import annotations

from random import Random

import anyio
import pytest

from ploverhall.scheduling.run_fence import RunFence

from .decision_model_runs import run_with_faults
from .simulation.cluster import SimulatedCluster
from .simulation.command_copies import CommandCopies
from .simulation.scene import run
from .simulation.verdicts import check_rules

BACK_AFTER_S = 0.3
TAKEOVER_S = 20.0


async def disturb(cluster: SimulatedCluster, disturbance: str) -> None:
    """Restart a controller or machines within 0.3 s, or let another controller take over."""
    if disturbance == "controller back":
        cluster.tasks.start_soon(cluster.crash, "c0", BACK_AFTER_S)
    elif disturbance == "takeover":
        cluster.tasks.start_soon(cluster.crash, "c0", TAKEOVER_S)
    elif disturbance == "machines back":
        machines = sorted(cluster.workers)[::3]
        cluster.hang(machines, BACK_AFTER_S)
        for machine in machines:
            cluster.workers[machine].restart()


def run_with_copies(disturbance: str, seed: int) -> tuple[SimulatedCluster, CommandCopies]:
    """Copy the runs of tasks that end, run on, are cancelled and are moved by preemption."""
    copies: list[CommandCopies] = []

    async def scene(cluster: SimulatedCluster) -> None:
        copies.append(CommandCopies(cluster, Random(seed)))
        cluster.fleet.command_hook = copies[0].on_command
        cluster.tasks.start_soon(cluster.submit_random_jobs, 60.0, 0.7)
        for number in range(900, 906):
            submission = cluster.spec(
                number, gait="array", chicks=8, flightS=400.0, rank="best_effort"
            )
            await cluster.submit(submission)
        await anyio.sleep(5.0)
        for number in range(910, 920):
            submission = cluster.spec(number, gait="daemon", chicks=4, rank="production")
            cluster.tasks.start_soon(cluster.submit, submission)
        await anyio.sleep(4.0)
        for number in (901, 911, 912):
            cluster.tasks.start_soon(cluster.withdraw, f"j-{number:06d}")
        await anyio.sleep(3.0)
        await disturb(cluster, disturbance)
        for number in (902, 913, 914):
            cluster.tasks.start_soon(cluster.withdraw, f"j-{number:06d}")
        await anyio.sleep(70.0)
        for job_id in set(cluster.specs) - cluster.withdrawing:
            if cluster.specs[job_id].kind == "service" or cluster.specs[job_id].estimate_s > 100:
                cluster.tasks.start_soon(cluster.withdraw, job_id)
        await anyio.sleep(45.0)

    cluster = run(scene, seed)
    return cluster, copies[0]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("disturbance", ["none", "controller back", "machines back", "takeover"])
def test_late_copy_of_an_answered_run_starts_no_task_again(disturbance: str, seed: int) -> None:
    cluster, counts = run_with_copies(disturbance, seed)
    assert all(counts.met[state] > 10 for state in ("runs on", "cancelled", "done", "moved"))
    assert not counts.started["cancelled"] + counts.started["moved"], counts.started
    check_rules(cluster)


@pytest.mark.parametrize("seed", range(500, 506))
def test_copied_commands_break_no_rule_in_the_decision_model(seed: int) -> None:
    model = run_with_faults(seed, kinds=(0, 2, 3, 4, 8), copies=0.2, command_copies=0.7)
    assert not model.live() and not model.store.permits()


def test_copies_start_tasks_again_if_a_reap_fences_no_run(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RunFence, "may_reap", lambda self, attempt_id, task, machine: True)
    cluster, counts = run_with_copies("none", 0)
    assert counts.started["cancelled"] > 10 and counts.started["moved"] > 10
    assert any("ran_twice" in broken for broken in cluster.fleet.broken)
