"""Machines that the cloud's list does not show yet, or not any more: living ones are not taken for gone, gone ones are announced."""

from __future__ import annotations

import contextlib
from typing import Any

import anyio
import pytest

from ploverhall.autoscaling.autoscaler import Autoscaler

from .simulation.cluster import SimulatedCluster, play


def taken_for_gone(p: SimulatedCluster) -> set[str]:
    """Machines that live and that somebody believes to be gone for certain."""
    alive = p.fleet.workers.keys()
    return {
        m
        for n in p.nodes.values()
        for h in n.context.held_shards.values()
        for m in h.owner.inventory.proven_gone & alive
    }


def no_margin(monkeypatch: pytest.MonkeyPatch) -> None:
    """What a list doesn't have is gone, however old the list may be."""
    real = Autoscaler.on_cloud_list

    def on_list(self: Autoscaler, items: Any, asked_at: float, now: float) -> None:
        lag, self.list_lag_s = self.list_lag_s, -1e9
        real(self, items, asked_at, now)
        self.list_lag_s = lag

    monkeypatch.setattr(Autoscaler, "on_cloud_list", on_list)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("without", [None, no_margin])
def test_new_machines_missing_from_cloud_lists_are_not_taken_for_gone(
    seed: int, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Rentals are executed and not answered, or late; lists lag. Nothing that lives is taken for gone; all is used or returned."""
    if without is not None:
        without(monkeypatch)
    monkeypatch.setattr(SimulatedCluster, "list_lag_s", 3.0)
    gone: set[str] = set()

    async def scene(p: SimulatedCluster) -> None:
        f = p.fleet
        f.boots, f.list_lag_s, f.lost_answers, f.late_requests = (0.2, 2.0), 3.0, 0.1, 0.1
        p.late_writes = 0.2
        for wave in range(6):
            before = len(f.machines)
            for n in range(4):
                spec = p.spec(4 * wave + n, gait="array", chicks=4, flightS=12.0, pullGb=0.1)
                p.tasks.start_soon(p.submit, spec)
            with anyio.move_on_after(8.0):
                while len(f.machines) <= before:
                    await anyio.sleep(0.05)
            await anyio.sleep(1.5)
            if wave in (2, 4):  # new machines have had their first starts
                holder = max(
                    p.nodes,
                    key=lambda n: sum(
                        len(h.owner.permits) for h in p.nodes[n].context.held_shards.values()
                    ),
                )
                p.tasks.start_soon(p.crash, holder, 5.0)
            for _ in range(15):
                await anyio.sleep(0.2)
                gone.update(taken_for_gone(p))
        p.late_writes = f.lost_answers = f.late_requests = 0.0
        await anyio.sleep(25.0)
        gone.update(taken_for_gone(p))
        assert len(f.pleas) > 1, "nothing was rented"
        assert not await p.left_waiting()
        renter = next(
            n.context.autoscaler for n in p.nodes.values() if n.context.autoscaler is not None
        )
        assert f.machines.keys() <= renter.machines.keys(), "each is used, or on its way back"

    if without is None:
        play(scene, seed, machines=3)
        assert not gone, f"living machines taken for gone: {sorted(gone)}"
    else:
        with contextlib.suppress(AssertionError, BaseExceptionGroup):
            play(scene, seed, machines=3)
        assert gone, "the scene must be able to fail"


def told_by_name(self: Autoscaler, part: int) -> list[str]:
    """As it was: the last by name."""
    return sorted(self.deleted)[-300:]


@pytest.mark.parametrize("mended", [True, False])
def test_new_leader_learns_that_a_machine_unknown_to_it_was_deleted(
    mended: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its tasks start again elsewhere. Where the last 300 by name were told, it counted for its team's limit for ever."""
    if not mended:
        monkeypatch.setattr(Autoscaler, "deleted_for", told_by_name, raising=False)
    back: list[bool] = []

    async def scene(p: SimulatedCluster) -> None:
        for n in range(900, 904):
            await p.submit(p.spec(n, gait="daemon", chicks=8))
        await anyio.sleep(5.0)
        renting = next(name for name, n in p.nodes.items() if n.context.autoscaler is not None)
        renter = p.nodes[renting].context.autoscaler
        assert renter is not None
        renter.deleted.update(
            {f"n-9{i:05d}": p.now for i in range(400)}
        )  # a long day's machines, newer by name
        leader = next(c for c in p.names if c != renting)
        dead = next(w for w in p.workers_of(leader) if p.fleet.workers[w].tasks)
        lost = {k[:2] for k in p.fleet.workers[dead].tasks}
        p.tasks.start_soon(p.crash, leader, 60.0)
        p.fleet.machines.pop(dead)[2].cancel()
        with anyio.move_on_after(55.0):
            while lost - {k[:2] for w in p.fleet.workers.values() for k in w.on_machine()}:
                await anyio.sleep(0.2)
        back.append(not lost - {k[:2] for w in p.fleet.workers.values() for k in w.on_machine()})

    play(scene, machines=14)
    assert back == [mended]
