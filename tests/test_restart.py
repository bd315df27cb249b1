"""A controller restarts before its lease expires, or just after: what its last incarnation left.

The lease and the key of the earlier incarnation last for up to 4 s, its connections break, its
answers may be half sent, its watches stay open in the store, and one of its writes may be executed
after the restart.
"""

from __future__ import annotations

from random import Random
from typing import Any

import anyio
import pytest

from ploverhall.storage.schema import CONTROLLER_PREFIX, SHARD_PREFIX

from .scenarios import seconds_to_first_start, start_background_load
from .simulation.cluster import SimulatedCluster
from .simulation.fake_key_value_store import unguarded
from .simulation.scene import play


@pytest.mark.parametrize("after", [0.1, 0.3, 1.0, 3.9, 4.1])
def test_restarted_controller_soon_starts_tasks_in_its_shard(after: float) -> None:
    """The first task starts within a heartbeat interval and a half.

    A controller that restarts at once keeps its shard: its agents met a closed port only once. Two
    agents that had come to another controller once counted as returning 2 s later, though the
    preferred controller had long served them.
    """

    async def scene(p: SimulatedCluster) -> None:
        p.tasks.start_soon(p.submit, p.spec(900, gait="daemon", chicks=4))
        p.tasks.start_soon(p.submit_random_jobs, 40.0, 0.15)
        await anyio.sleep(10.0)
        await p.crash("c0", after)
        at, claims = p.now, p.claims()
        await anyio.sleep(25.0)
        assert p.fleet.killed_by_lease == 0 and all(
            a.accepted is not None for a in p.asked.values()
        )
        assert seconds_to_first_start(p, "c0", at) < 2.6
        assert sorted(s for n in p.nodes.values() for s in n.context.held_shards) == [0, 1, 2]
        if after < 2.0:
            assert (
                p.state.store.kv[f"{SHARD_PREFIX}0"][0]["node"] == "c0" and p.claims() - claims == 1
            )

    play(scene)


@pytest.mark.parametrize("which", [["c0"], ["c0", "c1"], ["c0", "c1", "c2"]])
def test_controllers_that_crash_five_times_in_a_row_lose_no_lease(which: list[str]) -> None:
    async def scene(p: SimulatedCluster) -> None:
        rng = Random(len(which))
        await start_background_load(p, 60.0)
        for _ in range(5):
            for name in which:
                p.tasks.start_soon(p.crash, name, rng.choice([0.1, 0.3]))
            await anyio.sleep(0.4 + 0.5 * rng.random())
        await anyio.sleep(30.0)
        assert p.fleet.killed_by_lease == 0 and all(
            a.accepted is not None for a in p.asked.values()
        )
        assert sorted(s for n in p.nodes.values() for s in n.context.held_shards) == [0, 1, 2]
        assert all(f"{CONTROLLER_PREFIX}{n}" in p.state.store.kv for n in p.names)

    play(scene)


@pytest.mark.parametrize("seed", range(3))
def test_restart_during_another_claim_leaves_one_holder(seed: int) -> None:
    """The lease of c0 has just expired, so that c0 and another controller claim the shard at once.

    One of the two claims fails its compare.
    """

    async def scene(p: SimulatedCluster) -> None:
        rng = Random(seed)
        await start_background_load(p, 60.0)
        for _ in range(3):
            await p.crash("c0", 4.0 + 0.6 * rng.random())
            await anyio.sleep(8.0)
            holders = [n for n, node in p.nodes.items() if 0 in node.context.held_shards]
            assert (
                len(holders) == 1 and p.state.store.kv[f"{SHARD_PREFIX}0"][0]["node"] == holders[0]
            )
        await anyio.sleep(20.0)
        assert p.fleet.killed_by_lease == 0 and all(
            a.accepted is not None for a in p.asked.values()
        )

    play(scene, seed)


@pytest.mark.parametrize("guarded", [True, False])
def test_write_of_an_earlier_incarnation_that_lands_after_the_restart_fails(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The write of a permit is delayed in the network while its controller restarts.

    The new incarnation starts the replicas elsewhere before the write is executed.
    """
    if not guarded:
        monkeypatch.setattr(*unguarded("p/shard/", "c/"))
    late: list[Any] = []

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 6.0)
        handle = p.state.handle

        async def delay_first_write(q: Any) -> Any:
            if not late and q.path == "/multi" and b'"c/team-0/' in q.body:
                late.append(q)
                await anyio.sleep_forever()
            return await handle(q)

        p.state.handle = delay_first_write  # type: ignore[method-assign]
        p.tasks.start_soon(p.submit, p.spec(903, gait="daemon", chicks=3), "c1")
        with anyio.fail_after(30):
            while not late:
                await anyio.sleep(0.01)
        await p.crash("c0", 0.1)
        with anyio.fail_after(30):
            while len([k for k in p.fleet.first_starts if k[0] == "j-000903"]) < 3:
                await anyio.sleep(0.1)
        status = (await handle(late[0])).status
        assert status == (409 if guarded else 200)
        await p.crash("c0", 0.1)  # the next holder reads what the late write has left
        await anyio.sleep(40.0)

    if guarded:
        play(scene, teams=3)
    else:
        with pytest.raises(AssertionError, match="ran_twice"):
            play(scene, teams=3)
