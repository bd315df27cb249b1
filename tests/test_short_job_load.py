"""Test a load of many short jobs, some of them cancelled.

All are served, few bytes are sent, and ended jobs leave memory.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import anyio
import pytest

from ploverhall import settings
from ploverhall.controller.archiver import Archiver
from ploverhall.scheduling.allocations import AllocationStore

from .memory_inspection import job_ids_in_memory
from .simulation.cluster import SimulatedCluster
from .simulation.fault_schedules import ANSWERED_WITHIN_S
from .simulation.scene import play
from .simulation.simulated_network import SimulatedNetwork

KEPT_ENDED_JOBS = 20  # ended jobs that stay in memory


# Attributes that keep a bounded number of job ids
BOUNDED_MEMORIES = {
    "recently_ended": 200,
    "arrivals": 500,
    "own_report": 200,
    "peer_reports": 200,
    "channels": 60,
    "failed_attempts": 200,
}
# (channels: the last messages to a shard that was held here for a while and released)


def short_job_scene(
    seed: int, duration_s: float, crash: bool, seen: dict[str, Any]
) -> Callable[[SimulatedCluster], Any]:
    """Return a scene with four jobs a second for `duration_s`, which records its results in `seen`.

    Users cancel some jobs at once, during placement or as they end; a leader may crash midway.
    """

    async def submit_one(cluster: SimulatedCluster, rng: Random, n: int) -> None:
        spec = cluster.spec(n, gait="array", chicks=1, flightS=rng.choice([1.0, 3.0]))
        after = rng.choice([0.0, 0.02, 0.3, 2.5, 4.0])
        cancelled = rng.random() < 0.25
        await cluster.submit(spec)
        if cancelled and cluster.asked[spec["id"]].accepted is not None:
            await anyio.sleep(after)
            await cluster.withdraw(spec["id"])

    async def scene(cluster: SimulatedCluster) -> None:
        rng, begun = Random(seed), cluster.now
        real = cluster.fleet.started

        def started(w: Any, key: Any) -> None:
            if key[0] in cluster.cancelled:
                seen.setdefault("started after its cancellation", []).append(key)
            real(w, key)

        cluster.fleet.started = started  # type: ignore[method-assign]
        for n in range(1, int(4 * duration_s) + 1):
            cluster.tasks.start_soon(submit_one, cluster, rng, n)
            if crash and n == int(2 * duration_s):
                cluster.tasks.start_soon(cluster.crash, rng.choice(cluster.names), 6.0)
            await anyio.sleep(0.25)
        await anyio.sleep(30.0)
        assert not await cluster.all_answered(ANSWERED_WITHIN_S)
        store = cluster.state.store
        seen["changes"] = Counter(e.key.split("/")[0] for e in store.log)
        seen["bytes"] = bytes_sent[0]
        archived = {k[2:] for k in store.kv if k.startswith("e/")}
        await anyio.sleep(
            max(0.0, 130.0 - (cluster.now - begun - duration_s))
        )  # the latest time at which the newest job could have had to start
        over = {
            name: Counter({k: len(ids & archived) for k, ids in job_ids_in_memory(node).items()})
            for name, node in cluster.nodes.items()
        }
        seen["over"] = {
            k: max(c[k] for c in over.values()) for c in over.values() for k in c if c[k]
        }
        seen["ended"] = max(
            len(node.context.store_cache.ended_jobs) for node in cluster.nodes.values()
        )

    bytes_sent = [0]
    real_transmit = SimulatedNetwork.transmit

    def count_and_transmit(self: SimulatedNetwork, stream: Any, data: bytes | None) -> None:
        bytes_sent[0] += len(data or b"")
        real_transmit(self, stream, data)

    seen["carry"] = count_and_transmit
    return scene


def assert_short_job_load(
    seed: int, duration_s: float, crash: bool, monkeypatch: pytest.MonkeyPatch
) -> dict[str, Any]:
    """Run the load, and assert what must hold for it with any seed."""
    seen: dict[str, Any] = {}
    scene = short_job_scene(seed, duration_s, crash, seen)
    monkeypatch.setattr(SimulatedNetwork, "transmit", seen.pop("carry"))
    cluster = play(scene, seed, options=settings.Options(keep_ended=KEPT_ENDED_JOBS))
    assert all(a.accepted is not None for a in cluster.asked.values()), "a job was not accepted"
    rest = [j for j in cluster.specs if j not in cluster.cancelled]
    assert all(cluster.served(j) for j in rest) and len(rest) >= 0.7 * len(cluster.specs), (
        "a job that was not cancelled is not done"
    )
    assert len(cluster.cancelled) > 0.05 * len(cluster.specs)
    assert not cluster.state.store.permits() and not any(
        w.tasks for w in cluster.workers.values()
    ), "permits or tasks are left over"
    assert "started after its cancellation" not in seen
    assert seen["ended"] <= KEPT_ENDED_JOBS, "ended jobs must leave the memory"
    assert {k: n for k, n in seen["over"].items() if n > BOUNDED_MEMORIES.get(k, 0)} == {}, (
        "nothing else remembers them"
    )
    changes = sum(seen["changes"].values()) / len(cluster.specs)
    assert changes <= 7.5, (
        "expected: submission, end, archive (two), the key rewritten, and shares of chunk writes"
    )
    assert seen["bytes"] / len(cluster.specs) <= 16_000.0, (
        "more bytes per job on all links, idle time and its polls included"
    )
    return seen


@pytest.mark.parametrize(("seed", "s", "crash"), [(1, 30.0, False), (2, 120.0, True)])
def test_short_jobs_are_served_and_leave_memory(
    seed: int, s: float, crash: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert_short_job_load(seed, s, crash, monkeypatch)


def stop_archiver(monkeypatch: pytest.MonkeyPatch) -> None:
    """Stop the archiver."""

    async def idle(self: Archiver) -> None:
        await anyio.sleep_forever()

    monkeypatch.setattr(Archiver, "loop", idle)


def keep_ended_job_ids(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make a source keep the ids of ended jobs."""
    real = AllocationStore.on_job

    def on_job(self: AllocationStore, job: Any, job_id: str, *a: Any, **kw: Any) -> None:
        self.__dict__.setdefault("kept", set()).add(job_id)
        real(self, job, job_id, *a, **kw)

    monkeypatch.setattr(AllocationStore, "on_job", on_job)


@pytest.mark.parametrize(
    ("without", "message"),
    [
        pytest.param(stop_archiver, "leave the memory", id="never_archived-leave the memory"),
        pytest.param(
            keep_ended_job_ids, "nothing else remembers", id="remembered-nothing else remembers"
        ),
    ],
)
def test_short_job_load_detects_jobs_that_stay_in_memory(
    without: Callable[[pytest.MonkeyPatch], None], message: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    without(monkeypatch)
    with pytest.raises(AssertionError, match=message):
        assert_short_job_load(3, 20.0, False, monkeypatch)
