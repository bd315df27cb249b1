"""Test that the largest job of a class starts despite a steady stream of small urgent tasks.

No machine is left to rent.
"""

from __future__ import annotations

import anyio
import pytest

from ploverhall.scheduling import allocations, permitting

from .simulation.cluster import SimulatedCluster
from .simulation.scene import play


@pytest.mark.parametrize("guarded", [True, False])
def test_gang_of_whole_machines_starts(guarded: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """The gang needs four of a zone's six machines at once, and a controller crashes in between.

    Without the guard, the next urgent task takes each machine that becomes free.
    """
    for module in (allocations, permitting):
        monkeypatch.setattr(module, "OVERDUE_START_S", 30.0 if guarded else 1e9)
    waits_s: list[float] = []

    async def scene(p: SimulatedCluster) -> None:
        p.fleet.max_machines = 12
        at, n = p.now, 1
        gang = p.spec(
            900,
            gait="group",
            chicks=4,
            gpus=4.0,
            together=True,
            marsh="a",
            keeper="team-4",
            flightS=5.0,
        )
        while p.now - at < 85.0 and not waits_s:
            spec = p.spec(
                n, gait="array", chicks=3, rank="urgent", keeper=f"team-{n % 4}", flightS=9.0
            )
            p.tasks.start_soon(p.submit, spec)
            if n == 60:
                p.tasks.start_soon(p.submit, gang)
                since = p.now
            if n == 100:
                p.tasks.start_soon(p.crash, "c1", 0.3)
            n += 1
            await anyio.sleep(0.45)
            running_tasks = [
                k
                for w in p.fleet.workers.values()
                for k, t in w.tasks.items()
                if k[0] == "j-000900" and t.state == "running"
            ]
            if len(running_tasks) == 4:
                waits_s.append(p.now - since)
        await anyio.sleep(12.0)  # it was preempted after 3 s by the tasks that it had overtaken

    if guarded:
        play(scene, teams=5)
        assert waits_s[0] < 55.0
    else:
        with pytest.raises(AssertionError, match="team-4: 0 of 1 served"):
            play(scene, teams=5)
