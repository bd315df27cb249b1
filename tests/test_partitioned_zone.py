"""A zone, or a leader, is partitioned from the others while jobs are cancelled through them."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.cancellation_barrier import CancellationBarrier

from .removed_guards import (
    fresh_read_without_reading,
)
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.simulated_network import HOLD, RESET


def told_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A cancellation is acknowledged as soon as it is written."""
    monkeypatch.setattr(CancellationBarrier, "may_acknowledge", lambda self, version, now: True)


def answers_from_an_old_copy(monkeypatch: pytest.MonkeyPatch) -> None:
    """A controller that can't read the state service takes its store cache for current."""
    monkeypatch.setattr(StoreWatch, "fresh_read", fresh_read_without_reading)


@pytest.mark.parametrize(
    ("how", "mode", "without", "rule"),
    [
        ("zone", HOLD, None, ""),
        ("zone", RESET, None, ""),
        ("leader", HOLD, None, ""),
        ("leader", RESET, None, ""),
        ("zone", RESET, told_at_once, "ran_cancelled"),
        ("leader", RESET, answers_from_an_old_copy, "forgotten"),
    ],
)
def test_partitioned_controller_keeps_work_running_while_others_cancel_jobs(
    how: str, mode: str, without: Any, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """For six leases (10 s; `cancel_s` 35 s) with frequent status requests: no answer is older, and
    cancelled tasks are gone in time.

    In the zone no task loses its lease; nothing starts after the acknowledgement; in the end
    nothing is left waiting.
    """
    if without is not None:
        without(monkeypatch)

    async def scene(cluster: SimulatedCluster) -> None:
        for n in range(900, 908):
            await cluster.submit(
                cluster.spec(n, gait="daemon", chicks=2, marsh=("a", "b", None)[n % 3])
            )
        cluster.tasks.start_soon(cluster.submit_random_jobs, 90.0, 3.0)
        await anyio.sleep(6.0)
        cluster.tasks.start_soon(cluster.poll_changed_jobs, 90.0)
        if how == "zone":
            cluster.cut_zone("b", mode, 60.0)
        else:
            for other in ("state", "c1", "c2"):
                cluster.net.cut("c0", other, mode, 60.0)
        for n in range(900, 904):
            cluster.tasks.start_soon(
                cluster.withdraw, f"j-{n:06d}", ("c1" if how == "leader" else "c0")
            )
        await anyio.sleep(12.0)
        if how == "zone":
            assert any(w.zone == "b" and w.on_machine() for w in cluster.fleet.workers.values())
        await anyio.sleep(70.0)
        assert (
            cluster.cancelled.keys() >= {f"j-{n:06d}" for n in range(900, 904)}
            and not cluster.starts_after_cancellation()
        )
        assert cluster.fleet.killed_by_lease == 0
        assert not await cluster.left_waiting(60.0)
        assert not await cluster.all_answered(30.0)

    found = ""
    try:
        play(scene, machines=9)
    except AssertionError as e:
        found = str(e)
    assert rule in found if rule else not found, found
