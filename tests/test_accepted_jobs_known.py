"""Every accepted job is known to every controller, also long after it has ended.

The simulated cluster polls accepted jobs in every scene and fails on a 404 or an older answer. The
tests below ask every controller about every job once all faults are over; each has to answer within
75 s.
"""

from __future__ import annotations

from random import Random
from typing import Any

import anyio
import orjson
import pytest

from ploverhall import settings
from ploverhall.controller import job_requests
from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.storage.schema import JOB_PREFIX
from ploverhall.storage.store_cache import StoreCache

from .scenarios import start_background_load
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.simulated_network import HOLD, RESET

KNOWN_S = 75.0


@pytest.mark.parametrize("seed", range(4))
def test_every_controller_answers_for_every_job_once_all_faults_are_over(seed: int) -> None:
    """Crash one or all controllers, cut links, stop the store and cancel jobs.

    Only a few ended jobs are kept in memory; the others are read from the archive.
    """

    async def scene(p: SimulatedCluster) -> None:
        rng = Random(seed)
        await start_background_load(p, 70.0)
        for i in range(8):
            what, name = (
                rng.choice(["crash", "all", "cut", "zone", "outage", "refused", "peers"]),
                rng.choice(p.names),
            )
            if what in ("crash", "all"):
                for n in p.names if what == "all" else [name]:
                    p.tasks.start_soon(p.crash, n, rng.choice([0.2, 3.0]))
            elif what == "cut":
                p.net.cut(name, "state", rng.choice([HOLD, RESET]), 8.0)
            elif what == "zone":
                p.cut_zone("b", HOLD, 9.0)
            elif what == "peers":
                p.net.cut(name, rng.choice([n for n in p.names if n != name]), RESET, 8.0)
            else:
                p.state.down, p.refused = what == "outage", {name} if what == "refused" else set()
            p.tasks.start_soon(p.withdraw, f"j-{5 * i + 3:06d}")
            await anyio.sleep(2.0 + 6.0 * rng.random())
            p.state.down, p.refused = False, set()
        await anyio.sleep(10.0)
        assert await p.all_answered(KNOWN_S - 10.0) == []
        again = [j for j, a in p.asked.items() if a.accepted is not None]
        for jid in rng.sample(again, 12):
            spec = p.spec(int(jid[2:]), gait="array", chicks=1)
            status = 0
            with anyio.fail_after(20):
                while status not in (200, 201, 400, 422):
                    status, _ = await p.users[rng.choice(p.names)].call(
                        "POST", "/api/jobs", spec, 5.0
                    )
            assert status == 200, "an accepted job is known, whatever its state"

    play(scene, seed, options=settings.Options(keep_ended=10))


def test_controller_that_never_returns_delays_no_answer() -> None:
    """A cancellation is acknowledged once the lost controller must have stopped its tasks.

    This holds for every tested pair of cancellation time and lease.
    """

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 20.0)
        p.tasks.start_soon(p.crash, "c2", 1e6)
        await anyio.sleep(2.0)
        for n in (900, 901):
            p.tasks.start_soon(p.withdraw, f"j-{n:06d}")
        p.names.remove("c2")
        await anyio.sleep(KNOWN_S)
        assert {"j-000900", "j-000901"} <= p.cancelled.keys()
        assert await p.all_answered(5.0) == []

    play(scene)
    for cancel, lease in [(35.0, 10.0), (46.0, 26.0), (20.0, 19.0), (300.0, 10.0)]:
        assert CancellationBarrier(["x"], cancel, lease, 60.0, 0.0).ack_delay_s + 4.0 < KNOWN_S


def test_unreadable_job_record_leaves_other_jobs_answered() -> None:
    """The watch failed on it for ever, and every controller answered 503 to every request."""

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 30.0)
        p.state.store.txn({}, {JOB_PREFIX + "j-000777": ["of a later release"]}, [])
        await anyio.sleep(5.0)
        await p.crash("c0", 0.2)
        await anyio.sleep(5.0)
        for name in p.names:
            status, answer = await p.users[name].call("GET", "/api/jobs/j-000777", None, 2.0)
            assert status == 200 and isinstance(answer, dict) and answer["stance"] == "queued"
        assert await p.all_answered(10.0) == []

    play(scene)
    r = StoreCache()
    r.load(
        {JOB_PREFIX + "j-000001": ("?", 3), JOB_PREFIX + "j-000002": ({"s": "done", "n": 1}, 4)}, 5
    )
    assert r.unreadable_jobs == {"j-000001"} and "j-000002" in r.ended_jobs
    r.load({JOB_PREFIX + "j-000002": ({"s": "done", "n": 1}, 4)}, 9)
    assert not r.unreadable_jobs


def test_archived_jobs_are_looked_up_when_the_request_budget_is_short(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(job_requests, "MAX_LOOKUP_DELAY_S", 5.0)

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 20.0, services=0)
        await anyio.sleep(30.0)
        node = p.nodes["c0"]
        old = next(k[2:] for k in p.state.store.kv if k.startswith("e/j-"))
        budget = node.context.store.requests
        real = type(budget).delay
        monkeypatch.setattr(type(budget), "delay", lambda self, n: 0.01 if n > 1 else real(self, n))
        asked: list[Any] = []
        with anyio.fail_after(10.0):
            while not asked or asked[-1] != 200:
                asked.append((await p.users["c0"].call("GET", f"/api/jobs/{old}", None, 2.0))[0])
                await anyio.sleep(0.5)
        assert asked[0] == 503

    play(scene, options=settings.Options(keep_ended=3))


def test_accepted_job_stays_accepted_when_it_can_no_longer_run() -> None:
    async def scene(p: SimulatedCluster) -> None:
        await p.submit(p.spec(1, gait="array", chicks=1))
        await anyio.sleep(20.0)
        shared = p.nodes["c0"].context
        shared.store_cache.ended_jobs.clear()  # as if the job had been archived
        assert shared.machine_types is not None
        shared.machine_types = {}
        shared.store_cache.entries["p/archived"] = (1, 1)
        p.state.store.txn({}, {"e/j-000001": {"s": "done", "n": 1}}, [])
        status, answer = await p.users["c0"].call(
            "POST", "/api/jobs", p.spec(1, gait="array", chicks=1), 5.0
        )
        assert status == 200, answer
        assert (
            await p.users["c0"].call("POST", "/api/jobs", p.spec(2, gait="array", chicks=1), 5.0)
        )[0] == 422

    play(scene)


def test_simulation_reports_an_answer_older_than_the_last_one() -> None:
    """The older answer says that a job is running, after it was reported as done."""

    async def scene(p: SimulatedCluster) -> None:
        await p.submit(p.spec(1, gait="array", chicks=1))
        await anyio.sleep(20.0)
        assert await p.ask("j-000001", "c0") and p.told["j-000001"] == "done"
        node = p.nodes["c1"]
        real = node.job_requests.poll

        async def poll_with_older_answer(jid: str) -> Any:
            reply = await real(jid)
            return type(reply)(200, {**orjson.loads(orjson.dumps(reply.body)), "stance": "running"})

        node.job_requests.poll = poll_with_older_answer  # type: ignore[method-assign]
        await p.ask("j-000001", "c1")

    with pytest.raises(AssertionError, match="went_back"):
        play(scene)
