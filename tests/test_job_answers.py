"""Tests that answers never go back and report a cancellation only when the barrier permits it."""

from __future__ import annotations

import ast
from pathlib import Path
from random import Random

import anyio
import pytest

from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.job_answers import (
    JobAnswers,
    UnknownJob,
)

from .removed_guards import final_without_barrier, fresh_read_without_reading
from .simulation import parameters
from .simulation.cluster import SimulatedCluster
from .simulation.fault_schedules import ANSWERED_WITHIN_S
from .simulation.parameters import DEPLOYED_CANCEL_S, DEPLOYED_LEASE_S
from .simulation.scene import play
from .simulation.simulated_network import HOLD, RESET


@pytest.fixture
def platform_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Use the lease and the cancellation time of the deployments."""
    monkeypatch.setattr(parameters, "LEASE_S", DEPLOYED_LEASE_S)
    monkeypatch.setattr(parameters, "CANCEL_S", DEPLOYED_CANCEL_S)


@pytest.mark.parametrize("guarded", [True, False])
@pytest.mark.parametrize("mode", [HOLD, RESET])
def test_repeated_submission_acknowledges_no_cancellation_early(
    mode: str, guarded: bool, platform_times: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A zone is partitioned for 110 s with its controller, and jobs are cancelled outside it.

    Meanwhile their submissions are repeated. Without the guard such a request was answered from the
    store cache, which had learnt of the cancellation while the request waited for its read: the
    cancellation was acknowledged within milliseconds, and tasks in the zone ran on for 73 s
    (`ran_cancelled`).
    """
    if not guarded:
        monkeypatch.setattr(JobAnswers, "final", final_without_barrier)

    async def scene(cluster: SimulatedCluster) -> None:
        wanted = [cluster.spec(n, gait="daemon", chicks=3) for n in range(1, 7)]
        for spec in wanted:
            await cluster.submit(spec)
        await anyio.sleep(8.0)
        cluster.cut_zone("b", mode, 110.0)
        await anyio.sleep(1.0)
        for i, spec in enumerate(wanted):
            cluster.tasks.start_soon(cluster.withdraw, spec["id"], ("c0", "c2")[i % 2])
        at = cluster.now
        while cluster.now - at < 1.2:
            for spec in wanted:
                for name in ("c0", "c2"):
                    cluster.tasks.start_soon(cluster.resubmit, spec["id"], name)
            await anyio.sleep(0.01)
        early = [j for j in cluster.cancelled if cluster.now - cluster.cancelled[j] < 2.0]
        await anyio.sleep(109.0)
        assert not early or not guarded
        assert len(cluster.cancelled) == len(wanted), (
            "acknowledged once the zone must have stopped the tasks"
        )
        assert not await cluster.all_answered(ANSWERED_WITHIN_S)

    if guarded:
        play(scene)
    else:
        with pytest.raises(AssertionError, match="ran_cancelled"):
            play(scene)


@pytest.mark.parametrize("seed", range(4))
def test_frequent_status_requests_get_no_older_answer(seed: int) -> None:
    """Poll all controllers and repeat submissions around each acceptance, end and cancellation.

    The requests come within 50 ms of the event; some jobs are cancelled at once.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        rng = Random(seed)
        cluster.tasks.start_soon(cluster.poll_changed_jobs, 60.0)
        cluster.tasks.start_soon(cluster.submit_random_jobs, 45.0, 0.8)
        for i in range(6):
            cluster.tasks.start_soon(cluster.submit, cluster.spec(900 + i, gait="daemon"))
        await anyio.sleep(10.0)
        if seed % 2:
            cluster.tasks.start_soon(
                cluster.crash, rng.choice(cluster.names), rng.choice([0.3, 3.0])
            )
        for i in range(6):
            cluster.tasks.start_soon(cluster.withdraw, f"j-{900 + i:06d}")
            await anyio.sleep(2.0)
        await anyio.sleep(45.0)
        assert not await cluster.all_answered(ANSWERED_WITHIN_S)
        assert len(cluster.told) > 30

    play(scene, seed)


@pytest.mark.parametrize("without", ["proof", "archive"])
def test_frequent_status_requests_detect_an_older_answer_without_a_guard(
    without: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without the fresh read or the archive lookup, an accepted job is reported as unknown."""
    if without == "proof":
        monkeypatch.setattr(StoreWatch, "fresh_read", fresh_read_without_reading)
    else:
        monkeypatch.setattr(
            JobAnswers, "archived", lambda self, job_id, value, version: UnknownJob()
        )

    async def scene(cluster: SimulatedCluster) -> None:
        for n in cluster.nodes.values():
            object.__setattr__(n.settings.options, "keep_ended", 3)
        cluster.tasks.start_soon(cluster.poll_changed_jobs, 40.0)
        for i in range(20):
            await cluster.submit(cluster.spec(1 + i, gait="array", chicks=1, flightS=1.0))
        await anyio.sleep(25.0)
        await cluster.all_answered(20.0)

    with pytest.raises(AssertionError, match="forgotten"):
        play(scene)


def test_only_job_answers_determines_the_reported_job_state() -> None:
    """Handlers of users' requests get job states only from coordination.job_answers.

    They neither read jobs from the store cache nor build a status themselves.
    """
    for name in ("job_requests", "http_routes"):
        tree = ast.parse(
            (Path(__file__).parent.parent / "ploverhall/controller" / f"{name}.py").read_text()
        )
        used = {n.attr for n in ast.walk(tree) if isinstance(n, ast.Attribute)} | {
            n.id for n in ast.walk(tree) if isinstance(n, ast.Name)
        }
        assert not used & {
            "live_jobs",
            "ended_jobs",
            "unreadable_jobs",
            "status_body",
            "RUNNING",
            "DONE",
            "QUEUED",
            "EndedJob",
        }, name
        calls = [
            n
            for n in ast.walk(tree)
            if isinstance(n, ast.Call)
            and ast.unparse(n.func) in ("Reply", "jobs.status_body", "status_body")
        ]
        for call in calls:
            assert ast.unparse(call.func) == "Reply"
            if ast.unparse(call.args[0]) in ("200", "201") and name == "job_requests":
                assert ast.unparse(call.args[1]).endswith(".body"), ast.unparse(call)


def test_former_shard_holder_shows_current_job_counts() -> None:
    """A former holder must not show the counts that it last received as the holder.

    It did so for as long as the job was live.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        n = next(
            n
            for n in range(900, 930)
            if cluster.nodes["c0"].context.shard_map.team_shard[f"team-{n % 4}"] == 0
        )
        job_id = f"j-{n:06d}"
        cluster.fleet.extra_s.update({(job_id, 0): 50.0, (job_id, 1): 80.0})
        await cluster.submit(cluster.spec(n, gait="array", chicks=2, flightS=1.0))
        await anyio.sleep(6.0)
        await cluster.crash("c0", 7.0)
        while (job_id, 0) not in cluster.fleet.results or cluster.nodes[
            "c0"
        ].context.held_shards.keys() != {0}:
            await anyio.sleep(0.5)
        await anyio.sleep(3.0)
        shown = [
            (await cluster.users[name].call("GET", f"/api/jobs/{job_id}", None, 2.0))[1]
            for name in cluster.names
        ]
        assert shown == [{"id": job_id, "stance": "running", "done": 1, "running": 1}] * 3
        await anyio.sleep(40.0)

    play(scene)
