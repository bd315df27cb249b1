"""Test that the simulated cluster's own checks report the intended faults and nothing else."""

from __future__ import annotations

import anyio
import pytest

from ploverhall.scheduling.quota import TeamQuotas

from .simulation.cluster import SimulatedCluster
from .simulation.scene import play


def test_largest_jobs_check_fails_for_unserved_and_for_late_jobs() -> None:
    """Thirty small gangs are served. Three of the four largest are not, because their team's limit
    is used up, or start only after 240 s.
    """
    for late, message in ((False, "largest of group: 1 of 4 served"), (True, "began at")):

        async def scene(cluster: SimulatedCluster, late: bool = late) -> None:
            await cluster.submit(
                cluster.spec(900, gait="daemon", chicks=12, keeper="team-3", flock="service")
            )
            await anyio.sleep(5.0)
            for n in range(30):
                cluster.tasks.start_soon(
                    cluster.submit,
                    cluster.spec(n, gait="group", flightS=1.0, keeper=f"team-{n % 4}"),
                )
            for n in range(4):
                cluster.tasks.start_soon(
                    cluster.submit,
                    cluster.spec(
                        800 + n,
                        gait="group",
                        chicks=6,
                        flightS=1.0,
                        keeper="team-3" if n else "team-0",
                    ),
                )
            await anyio.sleep(250.0 if late else 50.0)
            if late:
                await cluster.withdraw("j-000900")
                await anyio.sleep(50.0)

        with pytest.raises(AssertionError, match=message):
            play(scene)


def test_left_waiting_reports_only_jobs_that_limits_and_capacity_allow(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Jobs held back by their team's limit, jobs that fit only in a full zone, and gangs without
    enough capacity must not be reported.
    """
    real = TeamQuotas.candidate_count
    monkeypatch.setattr(
        TeamQuotas,
        "candidate_count",
        lambda self, js, now: 0 if js.id == "j-000901" else real(self, js, now),
    )

    async def scene(cluster: SimulatedCluster) -> None:
        cluster.fleet.max_machines = len(cluster.fleet.machines)
        await cluster.submit(
            cluster.spec(900, gait="daemon", chicks=12, marsh="a")
        )  # zone a is full
        await anyio.sleep(4.0)
        await cluster.submit(cluster.spec(901, gait="array", chicks=1))
        await cluster.submit(cluster.spec(902, gait="daemon", chicks=1, marsh="a"))
        await cluster.submit(
            cluster.spec(904, gait="daemon", chicks=8, marsh="b")
        )  # together with 900 over the limit of 16
        await cluster.submit(
            cluster.spec(903, gait="group", chicks=9, together=True, flightS=100.0)
        )
        await anyio.sleep(4.0)
        assert await cluster.left_waiting(20.0) == {"j-000901"}
        for job_id in cluster.specs:
            cluster.tasks.start_soon(cluster.withdraw, job_id)
        await anyio.sleep(3.0)

    play(scene, machines=6)
