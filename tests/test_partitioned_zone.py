"""A zone or a leader is partitioned while jobs are cancelled through the other controllers."""

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


def acknowledge_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Acknowledge each cancellation as soon as it is written."""
    monkeypatch.setattr(CancellationBarrier, "may_acknowledge", lambda self, version, now: True)


def answer_from_stale_cache(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answer from a store cache that may be stale, without a fresh read."""
    monkeypatch.setattr(StoreWatch, "fresh_read", fresh_read_without_reading)


@pytest.mark.parametrize(
    ("how", "mode", "without", "rule"),
    [
        ("zone", HOLD, None, ""),
        ("zone", RESET, None, ""),
        ("leader", HOLD, None, ""),
        ("leader", RESET, None, ""),
        pytest.param(
            "zone",
            RESET,
            acknowledge_at_once,
            "ran_cancelled",
            id="zone-reset-told_at_once-ran_cancelled",
        ),
        pytest.param(
            "leader",
            RESET,
            answer_from_stale_cache,
            "forgotten",
            id="leader-reset-answers_from_an_old_copy-forgotten",
        ),
    ],
)
def test_partitioned_controller_keeps_work_running_while_others_cancel_jobs(
    how: str, mode: str, without: Any, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The partition lasts for six leases (lease 10 s, `cancel_s` 35 s), with frequent polls.

    No answer is older than an earlier one, and cancelled tasks end in time. In the zone no task
    loses its lease; no cancelled task starts after the acknowledgement; in the end no task is left
    waiting.
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

    failure = ""
    try:
        play(scene, machines=9)
    except AssertionError as e:
        failure = str(e)
    assert rule in failure if rule else not failure, failure
