"""The largest job of a class against a steady stream of small tasks of a higher priority, with no
machine left to rent.
"""

from __future__ import annotations

import anyio
import pytest

from ploverhall.scheduling import allocations, permitting

from .simulation.cluster import SimulatedCluster
from .simulation.scene import play


@pytest.mark.parametrize("guarded", [True, False])
def test_a_gang_of_whole_machines_begins(guarded: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Four of six machines of a zone at once; each time one was free, the next urgent task took it.
    A controller crashes in between.
    """
    for module in (allocations, permitting):
        monkeypatch.setattr(module, "OVERDUE_START_S", 30.0 if guarded else 1e9)
    began: list[float] = []

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
        while p.now - at < 85.0 and not began:
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
            on = [
                k
                for w in p.fleet.workers.values()
                for k, t in w.tasks.items()
                if k[0] == "j-000900" and t.state == "running"
            ]
            if len(on) == 4:
                began.append(p.now - since)
        await anyio.sleep(12.0)  # it was stopped again after 3 s by what it had been put before

    if guarded:
        play(scene, teams=5)
        assert began[0] < 55.0
    else:
        with pytest.raises(AssertionError, match="team-4: 0 of 1 served"):
            play(scene, teams=5)
