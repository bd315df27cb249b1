"""The simulated cluster's own checks report what they are there for, and nothing else."""

from __future__ import annotations

import anyio
import pytest

from .simulation.cluster import SimulatedCluster, play


def test_the_judge_notices_largest_jobs_that_are_not_served_or_begin_late() -> None:
    """Thirty small gangs are served; of the four largest three can't be (their team's limit is used up), or begin after 240 s."""
    for hours, says in ((False, "largest of group: 1 of 4 served"), (True, "began at")):

        async def scene(p: SimulatedCluster, hours: bool = hours) -> None:
            await p.submit(p.spec(900, gait="daemon", chicks=12, keeper="team-3", flock="service"))
            await anyio.sleep(5.0)
            for n in range(30):
                p.tasks.start_soon(
                    p.submit, p.spec(n, gait="group", flightS=1.0, keeper=f"team-{n % 4}")
                )
            for n in range(4):
                p.tasks.start_soon(
                    p.submit,
                    p.spec(
                        800 + n,
                        gait="group",
                        chicks=6,
                        flightS=1.0,
                        keeper="team-3" if n else "team-0",
                    ),
                )
            await anyio.sleep(250.0 if hours else 50.0)
            if hours:
                await p.withdraw("j-000900")
                await anyio.sleep(50.0)

        with pytest.raises(AssertionError, match=says):
            play(scene)
