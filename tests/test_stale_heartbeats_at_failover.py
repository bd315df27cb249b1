"""Stale heartbeats that reach every controller while a new leader takes over."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from ploverhall.protocol.agents import Heartbeat
from ploverhall.scheduling.machines import Permit
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.shard_owner import ShardOwner

from .removed_guards import (
    copies_are_news,
)
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.simulated_network import RESET, SILENT


def believes_a_stranger(monkeypatch: pytest.MonkeyPatch) -> None:
    """What a list omits is gone though the machine has not accepted this owner's token."""
    real = PermitTable.check_gone

    def check(self: PermitTable, p: Permit) -> None:
        m = self.machines.get(p.machine)
        took = m.accepted_token if m is not None else False
        if m is not None:
            m.accepted_token = True
        real(self, p)
        if m is not None:
            m.accepted_token = took

    monkeypatch.setattr(PermitTable, "check_gone", check)


def silence_of_a_stranger(monkeypatch: pytest.MonkeyPatch) -> None:
    """Silence proves tasks gone though the machine has not accepted this owner's token: another may
    be answering it.
    """
    real = ShardOwner.on_heartbeat

    def on_report(self: ShardOwner, r: Heartbeat, *a: Any, **kw: Any) -> Any:
        m = real(self, r, *a, **kw)
        if m is not None:
            m.accepted_token = True
        return m

    monkeypatch.setattr(ShardOwner, "on_heartbeat", on_report)


@pytest.mark.parametrize(
    ("where", "without"),
    [
        ("unreached", None),
        ("unreached", believes_a_stranger),
        ("zone", None),
        ("zone", silence_of_a_stranger),
        ("heard", None),
        ("heard", copies_are_news),
        ("session", None),
        ("session", copies_are_news),
    ],
)
def test_stale_heartbeats_during_failover_break_no_rule(
    where: str, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Heartbeats of before its starts, and of its newest list; to all controllers, from the claim
    until the new leader has acted, before any fresh one or after.

    unreached: its machines can reach no controller for as long as they keep their tasks. zone: they
    go on with their old leader, partitioned together. heard: they arrive at once. session: the
    copies are of an earlier incarnation, and other attempts run there by now. Copies alone cost no
    task its lease.
    """
    if without is not None:
        without(monkeypatch)
    lost: list[int] = []

    async def scene(cluster: SimulatedCluster) -> None:
        cluster.replay_heartbeats_on_claim()
        await anyio.sleep(4.0)
        for n in range(900, 904):
            await cluster.submit(cluster.spec(n, gait="daemon", chicks=6))
        await anyio.sleep(6.0)
        if where == "zone":
            cluster.cut_zone("b", RESET, 45.0)
            await anyio.sleep(45.0)
        else:
            mine = cluster.workers_of("c0")
            if where == "session":
                for w in mine:
                    for c in cluster.names:
                        cluster.net.cut(w, c, SILENT, 13.0)
                await anyio.sleep(20.0)
                for n in range(904, 906):
                    await cluster.submit(cluster.spec(n, gait="daemon", chicks=6))
                await anyio.sleep(6.0)
                assert all(cluster.fleet.workers[w].incarnation > 1 for w in mine) and any(
                    cluster.fleet.workers[w].tasks for w in mine
                )
            before = cluster.fleet.killed_by_lease
            cluster.tasks.start_soon(cluster.crash, "c0", 25.0)
            for w in mine if where == "unreached" else ():
                for c in cluster.names:
                    cluster.net.cut(w, c, SILENT, 9.0)
            await anyio.sleep(30.0)
            lost.append(cluster.fleet.killed_by_lease - before)
        await anyio.sleep(25.0)
        assert cluster.claims() > 0 and cluster.copies > 200
        assert not await cluster.left_waiting(30.0)

    if without is None:
        play(scene, machines=9)
        assert where not in ("heard", "session") or lost == [0], (
            "a copy has kept a machine from being answered"
        )
    else:
        with pytest.raises(AssertionError, match="ran_twice"):
            play(scene, machines=9)
