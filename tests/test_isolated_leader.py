"""Cancellations while one leader is isolated from the store, before an outage of the store for all.

The isolated leader can't read the cancellations that another controller acknowledges, and its
agents go on reporting to it. The scenes run whole controllers and check from the agents' side that
`cancel_s` after the acknowledgement no machine runs a task of the job
(coordination/cancellation_barrier.py).
"""

from __future__ import annotations

import anyio
import pytest

from ploverhall import settings
from ploverhall.coordination.cancellation_barrier import CancellationBarrier

from .scenarios import start_background_load
from .simulation import parameters
from .simulation.cluster import SimulatedCluster
from .simulation.fault_schedules import run_schedule
from .simulation.scene import play
from .simulation.simulated_network import HOLD, RESET, SILENT

LEASE, CANCEL = 16.0, 46.0


@pytest.fixture(autouse=True)
def lease_and_cancel_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(parameters, "LEASE_S", LEASE)
    monkeypatch.setattr(parameters, "CANCEL_S", CANCEL)


def isolated_without_gossip_from_all_peers(self: CancellationBarrier, now: float) -> bool:
    """Replace `isolated` by an earlier rule: gossip from all peers is enough in an outage."""
    return now - self.store_contact_at >= self.max_contact_age_s and any(
        now - m.last_gossip_at > 2.5 for m in self.peers.values()
    )


@pytest.mark.parametrize("mode", [SILENT, RESET, HOLD])
@pytest.mark.parametrize("mended", [True, False])
def test_cancellation_acknowledged_in_an_outage_ends_tasks_of_an_isolated_leader(
    mode: str, mended: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The leader's key has expired, and its shard has no new holder yet.

    It has read none of the cancellations, and receives gossip again 9 s after it was isolated.
    """
    if not mended:
        monkeypatch.setattr(CancellationBarrier, "isolated", isolated_without_gossip_from_all_peers)
        real_receive_gossip, real_gossip_for = (
            CancellationBarrier.receive_gossip,
            CancellationBarrier.gossip_for,
        )
        monkeypatch.setattr(
            CancellationBarrier,
            "receive_gossip",
            lambda s, n, w, now: real_receive_gossip(s, n, w._replace(cancellations=[]), now),
        )
        monkeypatch.setattr(
            CancellationBarrier,
            "gossip_for",
            lambda s, n, read, now: real_gossip_for(s, n, read, now)._replace(echo=None),
        )
        monkeypatch.setattr(
            CancellationBarrier, "_last_obligation", lambda self, m: m.absent_since or 0.0
        )

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 10.0)
        layout = p.nodes["c0"].context.shard_map
        # Jobs whose source is c0, too: no other controller stops their tasks
        own_jobs = [n for n in range(800, 830) if layout.team_shard[f"team-{n % 4}"] == 0][:3]
        for n in own_jobs:
            await p.submit(p.spec(n, gait="daemon", chicks=4))
        await anyio.sleep(6.0)
        at, back = p.now, 5.0
        p.net.cut("c0", "state", mode, 130.0)
        for other in ("c1", "c2"):
            p.net.cut("c0", other, mode, 9.0)
        for n in own_jobs:
            p.tasks.start_soon(p.withdraw, f"j-{n:06d}")
        while "p/node/c0" in p.state.store.kv:
            await anyio.sleep(0.05)
        await anyio.sleep(0.1)
        assert p.now - at < back and p.nodes["c0"].context.held_shards
        p.tasks.start_soon(p.outage, 125.0)
        await anyio.sleep(100.0)
        if mended:
            delays = sorted(t - at for t in p.cancelled.values())
            assert delays and delays[-1] < 14.0, (
                "acknowledged once the link is back and gossip has named the cancellations to c0"
            )
            assert p.nodes["c0"].context.held_shards and p.fleet.killed_by_lease == 0, (
                "c0 goes on with all other tasks"
            )
            assert any(w.tasks for w in p.workers.values())
        await anyio.sleep(45.0)

    if mended:
        play(scene)
    else:
        with pytest.raises(AssertionError, match="ran_cancelled"):
            play(scene)


def test_outage_without_a_cancellation_kills_nothing() -> None:
    """The outage lasts longer than an isolated controller may go on.

    Gossip among the controllers keeps all of them going.
    """

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 10.0)
        await p.outage(130.0)
        assert p.fleet.killed_by_lease == 0
        await anyio.sleep(20.0)
        assert p.fleet.killed_by_lease == 0 and all(
            len(n.context.held_shards) == 1 for n in p.nodes.values()
        )

    play(scene)


@pytest.mark.parametrize("after", [0.2, 6.0])
def test_controller_crash_in_an_outage_stops_no_other_controller(after: float) -> None:
    """The restarted controller has read nothing, but its gossip confirms contact.

    It does so for as long as its earlier incarnation had obligations; its agents go on by their
    fencing tokens for that time.
    """

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 10.0)
        p.tasks.start_soon(p.outage, 120.0)
        await anyio.sleep(20.0)
        await p.crash("c1", after)
        await anyio.sleep(95.0)
        now = p.now
        for name in ("c0", "c2"):
            node = p.nodes[name]
            assert (
                node.context.held_shards
                and not node.cancellation_state.isolated(now)
                and now - node.cancellation_barrier.last_contact(now) < 3.0
            )
        await anyio.sleep(25.0)

    play(scene)


@pytest.mark.parametrize("after", [0.2, 3.0])
def test_restarted_leader_without_a_read_stops_cancelled_tasks_that_peers_name(
    after: float,
) -> None:
    """The leader restarts during the outage.

    Cancellations that peers name in gossip end tasks of its earlier incarnation, too.
    """

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 10.0)
        at = p.now
        p.refused.add("c0")
        for other in ("c1", "c2"):
            p.net.cut("c0", other, SILENT, 6.0)
        await anyio.sleep(1.0)
        for n in (900, 901, 902):
            p.tasks.start_soon(p.withdraw, f"j-{n:06d}")
        await anyio.sleep(1.0)
        p.tasks.start_soon(p.outage, 110.0)
        await p.crash("c0", after)
        await anyio.sleep(100.0)
        assert p.cancelled and min(p.cancelled.values()) - at < 60.0
        p.refused.clear()
        await anyio.sleep(30.0)

    play(scene)


@pytest.mark.parametrize("older", [0, 1])
def test_cancellations_reach_a_refused_controller_without_relay(older: int) -> None:
    """The controller reads nothing, but gossip from its peers names the cancellations."""

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 10.0)
        p.refused.add(f"c{older}")
        await anyio.sleep(1.0)
        for n in (900, 901, 902):
            p.tasks.start_soon(p.withdraw, f"j-{n:06d}")
        await anyio.sleep(2.0)
        await p.outage(60.0)
        p.refused.clear()
        await anyio.sleep(50.0)
        assert len(p.cancelled) == 3

    play(scene, options=settings.Options(carry=False))


@pytest.mark.parametrize("seed", range(6))
def test_random_isolation_before_an_outage_breaks_no_rule(seed: int) -> None:
    """Draw at random which controllers are refused, partitioned or crash, and when.

    The start of the outage and the cancelled jobs are random, too.
    """
    run_schedule(seed, ("gap", "crash", "peers"))
