"""Many short jobs, some of them cancelled: all are served, few bytes are sent, and ended jobs leave memory."""

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

from .memory_inspection import held_ids
from .simulation.cluster import Network, SimulatedCluster, play
from .simulation.fault_schedules import KNOWN_S

KEPT = 20  # jobs that are over and stay in memory


# Remember a bounded number
BY_DESIGN = {
    "recently_ended": 200,
    "arrivals": 500,
    "own_report": 200,
    "peer_reports": 200,
    "channels": 60,
    "failed_attempts": 200,
}
# (channels: what was last said to a shard that was held here for a while and let go)


def swarm(
    seed: int, s: float, crash: bool, seen: dict[str, Any]
) -> Callable[[SimulatedCluster], Any]:
    """For `s` seconds; some are cancelled at once, some while they are placed, some as they end. A leader ends in the middle."""

    async def one(p: SimulatedCluster, rng: Random, n: int) -> None:
        spec = p.spec(n, gait="array", chicks=1, flightS=rng.choice([1.0, 3.0]))
        after = rng.choice([0.0, 0.02, 0.3, 2.5, 4.0])
        cancelled = rng.random() < 0.25
        await p.submit(spec)
        if cancelled and p.asked[spec["id"]].accepted is not None:
            await anyio.sleep(after)
            await p.withdraw(spec["id"])

    async def scene(p: SimulatedCluster) -> None:
        rng, begun = Random(seed), p.now
        real = p.fleet.started

        def started(w: Any, key: Any) -> None:
            if key[0] in p.cancelled:
                seen.setdefault("started after the telling", []).append(key)
            real(w, key)

        p.fleet.started = started  # type: ignore[method-assign]
        for n in range(1, int(4 * s) + 1):
            p.tasks.start_soon(one, p, rng, n)
            if crash and n == int(2 * s):
                p.tasks.start_soon(p.crash, rng.choice(p.names), 6.0)
            await anyio.sleep(0.25)
        await anyio.sleep(30.0)
        assert not await p.all_answered(KNOWN_S)
        store = p.state.store
        seen["changes"] = Counter(e.key.split("/")[0] for e in store.log)
        seen["bytes"] = carried[0]
        archived = {k[2:] for k in store.kv if k.startswith("e/")}
        await anyio.sleep(
            max(0.0, 130.0 - (p.now - begun - s))
        )  # when the newest one could have had to begin at last
        over = {
            name: Counter({k: len(ids & archived) for k, ids in held_ids(node).items()})
            for name, node in p.nodes.items()
        }
        seen["over"] = {
            k: max(c[k] for c in over.values()) for c in over.values() for k in c if c[k]
        }
        seen["ended"] = max(len(node.context.store_cache.ended_jobs) for node in p.nodes.values())

    carried = [0]
    real_carry = Network.carry

    def carry(self: Network, stream: Any, data: bytes | None) -> None:
        carried[0] += len(data or b"")
        real_carry(self, stream, data)

    seen["carry"] = carry
    return scene


def swarmed(seed: int, s: float, crash: bool, monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    """Play it, and hold what every swarm must come to."""
    seen: dict[str, Any] = {}
    scene = swarm(seed, s, crash, seen)
    monkeypatch.setattr(Network, "carry", seen.pop("carry"))
    p = play(scene, seed, options=settings.Options(keep_ended=KEPT))
    assert all(a.accepted is not None for a in p.asked.values()), "every one is accepted"
    rest = [j for j in p.specs if j not in p.cancelled]
    assert all(p.served(j) for j in rest) and len(rest) >= 0.7 * len(p.specs), (
        "all that nobody cancelled is done"
    )
    assert len(p.cancelled) > 0.05 * len(p.specs)
    assert not p.state.store.permits() and not any(w.tasks for w in p.workers.values()), (
        "nothing is left of any"
    )
    assert "started after the telling" not in seen
    assert seen["ended"] <= KEPT, "jobs that are over leave the memory"
    assert {k: n for k, n in seen["over"].items() if n > BY_DESIGN.get(k, 0)} == {}, (
        "nothing else remembers them"
    )
    changes = sum(seen["changes"].values()) / len(p.specs)
    assert changes <= 7.5, (
        "submission, end, archive (two), and shares of a chunk: for one job, and its key anew"
    )
    assert seen["bytes"] / len(p.specs) <= 16_000.0, (
        "on all links together, the quiet time and its questions included"
    )
    return seen


@pytest.mark.parametrize(("seed", "s", "crash"), [(1, 30.0, False), (2, 120.0, True)])
def test_short_jobs_are_served_and_leave_memory(
    seed: int, s: float, crash: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    swarmed(seed, s, crash, monkeypatch)


def never_archived(monkeypatch: pytest.MonkeyPatch) -> None:
    async def idle(self: Archiver) -> None:
        await anyio.sleep_forever()

    monkeypatch.setattr(Archiver, "loop", idle)


def remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    """A source that keeps what it knew of a job that is over."""
    real = AllocationStore.on_job

    def on_job(self: AllocationStore, job: Any, jid: str, *a: Any, **kw: Any) -> None:
        self.__dict__.setdefault("kept", set()).add(jid)
        real(self, job, jid, *a, **kw)

    monkeypatch.setattr(AllocationStore, "on_job", on_job)


@pytest.mark.parametrize(
    ("without", "says"),
    [(never_archived, "leave the memory"), (remembered, "nothing else remembers")],
)
def test_short_job_load_detects_jobs_that_stay_in_memory(
    without: Callable[[pytest.MonkeyPatch], None], says: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    without(monkeypatch)
    with pytest.raises(AssertionError, match=says):
        swarmed(3, 20.0, False, monkeypatch)
