"""Tests of stale heartbeats that reach every controller while a new leader takes over a shard."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from ploverhall.protocol.agents import Heartbeat
from ploverhall.scheduling.machines import Permit
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.shard_owner import ShardOwner

from .removed_guards import (
    accept_stale_heartbeats,
)
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.simulated_network import RESET, SILENT


def trust_task_list_without_accepted_token(monkeypatch: pytest.MonkeyPatch) -> None:
    """Take tasks that a heartbeat omits for gone, without an accepted token.

    The machine has not accepted this owner's fencing token.
    """
    real = PermitTable.check_gone

    def check(self: PermitTable, p: Permit) -> None:
        m = self.machines.get(p.machine)
        previous = m.accepted_token if m is not None else False
        if m is not None:
            m.accepted_token = True
        real(self, p)
        if m is not None:
            m.accepted_token = previous

    monkeypatch.setattr(PermitTable, "check_gone", check)


def trust_silence_without_accepted_token(monkeypatch: pytest.MonkeyPatch) -> None:
    """Take tasks of a silent machine for gone, without an accepted token.

    The machine has not accepted this owner's fencing token: another owner may be answering it.
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
        pytest.param(
            "unreached", trust_task_list_without_accepted_token, id="unreached-believes_a_stranger"
        ),
        ("zone", None),
        pytest.param("zone", trust_silence_without_accepted_token, id="zone-silence_of_a_stranger"),
        ("heard", None),
        pytest.param("heard", accept_stale_heartbeats, id="heard-copies_are_news"),
        ("session", None),
        pytest.param("session", accept_stale_heartbeats, id="session-copies_are_news"),
    ],
)
def test_stale_heartbeats_during_failover_break_no_rule(
    where: str, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Copies of heartbeats reach all controllers from the claim until the new leader has acted.

    They are copies of heartbeats from before the starts of the tasks, and of the newest ones, and
    arrive before or after any fresh heartbeat. No task loses its lease because of copies alone.

    unreached: the machines can reach no controller for as long as they keep their tasks.
    zone: the machines stay with their old leader, in the same partition.
    heard: fresh heartbeats arrive at once.
    session: the copies are of an earlier incarnation, and other attempts run there by now.
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
            agents = cluster.workers_of("c0")
            if where == "session":
                for w in agents:
                    for c in cluster.names:
                        cluster.net.cut(w, c, SILENT, 13.0)
                await anyio.sleep(20.0)
                for n in range(904, 906):
                    await cluster.submit(cluster.spec(n, gait="daemon", chicks=6))
                await anyio.sleep(6.0)
                assert all(cluster.fleet.workers[w].incarnation > 1 for w in agents) and any(
                    cluster.fleet.workers[w].tasks for w in agents
                )
            before = cluster.fleet.killed_by_lease
            cluster.tasks.start_soon(cluster.crash, "c0", 25.0)
            for w in agents if where == "unreached" else ():
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
            "a stale copy has kept a machine from being answered"
        )
    else:
        with pytest.raises(AssertionError, match="ran_twice"):
            play(scene, machines=9)
