"""Test machines that the cloud's list does not show yet, or no longer shows.

Live machines must not count as gone, and deleted ones must be announced to the shard owners.
"""

from __future__ import annotations

import contextlib
from typing import Any

import anyio
import pytest

from ploverhall.autoscaling.autoscaler import Autoscaler

from .simulation.cluster import SimulatedCluster
from .simulation.scene import play


def live_machines_counted_as_gone(cluster: SimulatedCluster) -> set[str]:
    """Return the live machines that some shard owner counts as proved gone."""
    alive = cluster.fleet.workers.keys()
    return {
        m
        for n in cluster.nodes.values()
        for h in n.context.held_shards.values()
        for m in h.owner.inventory.deleted_machines & alive
    }


def ignore_list_lag(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove the guard: a machine missing from a list counts as gone, however old the list is."""
    real = Autoscaler.on_cloud_list

    def on_list(self: Autoscaler, items: Any, asked_at: float, now: float) -> None:
        lag, self.list_lag_s = self.list_lag_s, -1e9
        real(self, items, asked_at, now)
        self.list_lag_s = lag

    monkeypatch.setattr(Autoscaler, "on_cloud_list", on_list)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("without", [None, pytest.param(ignore_list_lag, id="no_margin")])
def test_new_machines_missing_from_cloud_lists_do_not_count_as_gone(
    seed: int, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Rentals are executed late or without an answer, lists lag, writes are late and the leader
    crashes. No live machine may count as gone, and each one is used or returned.
    """
    if without is not None:
        without(monkeypatch)
    monkeypatch.setattr(SimulatedCluster, "list_lag_s", 3.0)
    gone: set[str] = set()

    async def scene(cluster: SimulatedCluster) -> None:
        f = cluster.fleet
        f.boot_range_s, f.list_lag_s, f.lost_answers, f.late_requests = (0.2, 2.0), 3.0, 0.1, 0.1
        cluster.late_writes = 0.2
        for wave in range(6):
            before = len(f.machines)
            for n in range(4):
                spec = cluster.spec(4 * wave + n, gait="array", chicks=4, flightS=12.0, pullGb=0.1)
                cluster.tasks.start_soon(cluster.submit, spec)
            with anyio.move_on_after(8.0):
                while len(f.machines) <= before:
                    await anyio.sleep(0.05)
            await anyio.sleep(1.5)
            if wave in (2, 4):  # new machines have had their first starts
                holder = max(
                    cluster.nodes,
                    key=lambda n: sum(
                        len(h.owner.permits) for h in cluster.nodes[n].context.held_shards.values()
                    ),
                )
                cluster.tasks.start_soon(cluster.crash, holder, 5.0)
            for _ in range(15):
                await anyio.sleep(0.2)
                gone.update(live_machines_counted_as_gone(cluster))
        cluster.late_writes = f.lost_answers = f.late_requests = 0.0
        await anyio.sleep(25.0)
        gone.update(live_machines_counted_as_gone(cluster))
        assert len(f.rentals) > 1, "nothing was rented"
        assert not await cluster.left_waiting()
        leading_autoscaler = next(
            n.context.autoscaler for n in cluster.nodes.values() if n.context.autoscaler is not None
        )
        assert f.machines.keys() <= leading_autoscaler.machines.keys(), (
            "each machine is used or being returned"
        )

    if without is None:
        play(scene, seed, machines=3)
        assert not gone, f"live machines counted as gone: {sorted(gone)}"
    else:
        with contextlib.suppress(AssertionError, BaseExceptionGroup):
            play(scene, seed, machines=3)
        assert gone, "without the guard, no live machine was counted as gone"


def deleted_for_by_name(self: Autoscaler, shard: int) -> list[str]:
    """Replace `Autoscaler.deleted_for`: announce only the last 300 by name, as it once did."""
    return sorted(self.deleted)[-300:]


@pytest.mark.parametrize("fixed", [True, False])
def test_new_leader_learns_that_a_machine_unknown_to_it_was_deleted(
    fixed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The machine's tasks restart elsewhere, although 400 others were deleted meanwhile.

    When only the last 300 by name were announced, its tasks counted towards the team's limit for
    ever.
    """
    if not fixed:
        monkeypatch.setattr(Autoscaler, "deleted_for", deleted_for_by_name, raising=False)
    restarted: list[bool] = []

    async def scene(cluster: SimulatedCluster) -> None:
        for n in range(900, 904):
            await cluster.submit(cluster.spec(n, gait="daemon", chicks=8))
        await anyio.sleep(5.0)
        renting_controller = next(
            name for name, n in cluster.nodes.items() if n.context.autoscaler is not None
        )
        leading_autoscaler = cluster.nodes[renting_controller].context.autoscaler
        assert leading_autoscaler is not None
        leading_autoscaler.deleted.update(
            {f"n-9{i:05d}": cluster.now for i in range(400)}
        )  # machines of a long day, later by name
        leader = next(c for c in cluster.names if c != renting_controller)
        dead = next(w for w in cluster.workers_of(leader) if cluster.fleet.workers[w].tasks)
        lost = {k[:2] for k in cluster.fleet.workers[dead].tasks}
        cluster.tasks.start_soon(cluster.crash, leader, 60.0)
        cluster.fleet.machines.pop(dead).scope.cancel()
        with anyio.move_on_after(55.0):
            while lost - {k[:2] for w in cluster.fleet.workers.values() for k in w.on_machine()}:
                await anyio.sleep(0.2)
        restarted.append(
            not lost - {k[:2] for w in cluster.fleet.workers.values() for k in w.on_machine()}
        )

    play(scene, machines=14)
    assert restarted == [fixed]
