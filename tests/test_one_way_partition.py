"""Agents whose heartbeats arrive, but that receive neither answers nor commands.

The partition lasts a few seconds, for about a lease, or longer. The agent's lease expires, its
incarnation rises and it tries each controller in turn, while its heartbeats make it look alive.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import anyio
import pytest

from ploverhall import status
from ploverhall.scheduling.shard_owner import TOKEN_BITS

from .scenarios import start_background_load
from .shard_owners import EPOCH, owner, report
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play


def current_permits(p: SimulatedCluster, machines: Iterable[str]) -> set[Any]:
    """Return the permits on these machines that are known to the holders of their shards."""
    return {
        key
        for n in p.nodes.values()
        for h in n.context.held_shards.values()
        for m in machines
        for key, pm in h.owner.inventory.permits_by_machine.get(m, {}).items()
        if not pm.gone
    }


async def new_permits(p: SimulatedCluster, machines: list[str], s: float) -> set[Any]:
    """Return the permits that these machines get within the next `s` seconds."""
    before, seen = current_permits(p, machines), set()
    until = p.now + s
    while p.now < until:
        await anyio.sleep(0.25)
        seen |= current_permits(p, machines) - before
        before |= seen
    return seen


def unreachable(p: SimulatedCluster) -> set[str]:
    """Return the machines that the controllers report as unreachable."""
    return {
        m["name"]
        for n in p.nodes.values()
        for m in n.shard_status.report()["trouble_machines"]
        if m["state"] == "unreachable"
    }


@pytest.mark.parametrize(("count", "s"), [(1, 5.0), (1, 10.0), (1, 60.0), (6, 60.0)])
def test_non_receiving_agent_gets_no_work_until_it_receives_again(count: int, s: float) -> None:
    """Each expired lease was followed by new starts on the same machine: 9 to 40 in a minute."""

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 110.0)
        all_agents = [w for c in p.names for w in p.workers_of(c)]
        partitioned = all_agents[:: max(1, len(all_agents) // count)][:count]
        p.block_deliveries(partitioned, s)
        if s > 30.0:
            await anyio.sleep(15.0)
            assert unreachable(p) == set(partitioned)
            assert any(
                "receives nothing" in t
                for n in p.nodes.values()
                for t in status.conditions(n.shard_status.report()).values()
            )
            late = await new_permits(p, partitioned, s - 15.0)
            assert not late, f"{len(late)} permits were given to machines that receive nothing"
        else:
            await anyio.sleep(s)
        await anyio.sleep(15.0)
        assert not unreachable(p)
        used = await new_permits(p, partitioned, 25.0)
        assert used or not p.fleet.machines.keys() & set(partitioned), (
            "the machines are used again, or were returned as idle"
        )
        assert p.claims() == 0, "no shard has moved because of these agents"

    play(scene, machines=16)


def test_agents_that_switch_controllers_move_no_shard_during_a_crash() -> None:
    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 90.0)
        partitioned = [w for c in ("c0", "c1", "c2") for w in p.workers_of(c)[:4]]
        p.block_deliveries(partitioned, 50.0)
        await anyio.sleep(20.0)
        assert p.claims() == 0
        p.tasks.start_soon(p.crash, "c1", 0.3)
        await anyio.sleep(15.0)
        assert p.claims() == 1
        await anyio.sleep(50.0)
        assert sorted(s for n in p.nodes.values() for s in n.context.held_shards) == [0, 1, 2]

    play(scene, machines=24)


def test_gang_does_not_wait_for_a_task_on_a_non_receiving_agent() -> None:
    """The other tasks of a gang stop as soon as one agent is known not to receive.

    They used to hold their reservations until the lease of that machine had expired.
    """
    stopped_after_s: list[float] = []

    async def scene(p: SimulatedCluster) -> None:
        await anyio.sleep(3.0)
        name = p.workers_of("c0")[0]
        for c in p.names:  # it gets no answers, but its heartbeats arrive
            p.net.cut(c, name, "deaf", 90.0, both=False)
        at = p.now
        for n in range(1, 9):
            p.tasks.start_soon(p.submit, p.spec(n, gait="group", chicks=3, gpus=4.0))
        gang = None
        with anyio.fail_after(30):
            while gang is None:
                await anyio.sleep(0.05)
                gang = next((k for k in current_permits(p, [name])), None)
        others = [w for w in p.fleet.workers.values() if w.name != name]
        with anyio.fail_after(30):
            while not any(k[0] == gang[0] and k[2] == gang[2] for w in others for k in w.tasks):
                await anyio.sleep(0.05)
        with anyio.fail_after(30):
            while any(
                k[0] == gang[0] and k[2] == gang[2] and t.state != "ended"
                for w in others
                for k, t in w.tasks.items()
            ):
                await anyio.sleep(0.05)
        stopped_after_s.append(p.now - at)
        await anyio.sleep(70.0)

    play(scene, machines=8)
    assert stopped_after_s[0] < 7.0


@pytest.mark.parametrize("known", [True, False])
def test_job_cancelled_on_a_non_receiving_agent_ends_in_time_and_a_new_one_gets_no_work(
    known: bool,
) -> None:
    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 40.0)
        if known:
            partitioned = [
                w.name for w in p.fleet.workers.values() if any(k[0] == "j-000900" for k in w.tasks)
            ]
            assert partitioned
            p.block_deliveries(partitioned, 100.0)
            p.tasks.start_soon(p.withdraw, "j-000900")
            await anyio.sleep(60.0)
            assert "j-000900" in p.cancelled
        else:
            new = p.fleet.boot({"marsh": "a", "driftwood": False})
            p.block_deliveries([new], 100.0)
            p.fleet.rentals["late"] = [new]
            assert not await new_permits(p, [new], 40.0)
            renter = next(
                n.context.autoscaler for n in p.nodes.values() if n.context.autoscaler is not None
            )
            view = renter.machines[new].update
            assert view is None or view.notice, "its capacity counts for no scale-out decision"

    play(scene)


def test_agent_that_receives_intermittently_is_used_again_after_growing_delays() -> None:
    """The machine is used again at the end of its quarantine, without any further event."""
    o, now, seq = owner(), 0.0, 0

    def heartbeat(token: int, session: int, s: float = 1.0) -> None:
        nonlocal now, seq
        for _ in range(int(s / 0.25)):
            now += 0.25
            o.advance_time(now)
            o.place_candidates(now)
        seq += 1
        o.on_heartbeat(report(seq, token, session=session), now)

    heartbeat(EPOCH << TOKEN_BITS, 1)
    m = o.machines["n-1"]
    quarantines = []
    for session in (2, 3, 4, 5):
        for _ in range(8):  # its lease has expired, and it goes on without an answer
            heartbeat(m.seen_token, session)
        assert (
            m.not_receiving
            and m.index_bucket is None
            and m.name in o.reception.unconfirmed_machines
        )
        heartbeat(m.token, session)
        received_at = now
        while m.index_bucket is None:
            heartbeat(m.token, session)
            assert now - received_at < 60.0
        quarantines.append(now - received_at)
        assert not o.reception.unconfirmed_machines and not o.inventory.unusable(m, now)
    assert quarantines[0] <= 1.0 and quarantines == sorted(quarantines) and quarantines[-1] >= 20.0
