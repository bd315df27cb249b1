"""Test zone-bound jobs that lose machines while capacity is short and the leader changes."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.permitting import ATTEMPT_BITS, JobSource
from ploverhall.scheduling.preemption import PreemptionPlanner
from ploverhall.scheduling.quota import TeamQuotas

from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.simulated_network import SILENT, SLOW


def count_only_own_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove the guard: a new source counts only its own starts towards a job's zones."""
    epochs: dict[TeamQuotas, int] = {}
    real_init = JobSource.__init__

    def init(self: JobSource, shard: int, epoch: int, *rest: Any) -> None:
        real_init(self, shard, epoch, *rest)
        epochs[self.quotas] = epoch

    real = TeamQuotas.zone_limits

    def zone_limits_of_own_starts(self: TeamQuotas, js: JobState) -> Any:
        before = js.allocations_per_zone
        own_zones = [
            e.zone for e in js.allocations.values() if e.attempt >> ATTEMPT_BITS == epochs[self]
        ]
        js.allocations_per_zone = {z: own_zones.count(z) for z in own_zones}
        found = real(self, js)
        js.allocations_per_zone = before
        return found

    monkeypatch.setattr(JobSource, "__init__", init)
    monkeypatch.setattr(TeamQuotas, "zone_limits", zone_limits_of_own_starts)


def allow_cyclic_preemption(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove the guard: preemption is cyclic, by priority in a guarantee, by guarantee above it."""
    real = PreemptionPlanner.may_preempt
    monkeypatch.setattr(
        PreemptionPlanner, "may_preempt", lambda self, w, c: real(self, w, (*c[:4], False))
    )


@pytest.mark.parametrize(
    ("seed", "can_rent", "without", "rule"),
    [
        (2, False, None, ""),
        (3, False, None, ""),
        (3, True, None, ""),
        pytest.param(
            2, False, allow_cyclic_preemption, "to and fro", id="2-False-by_the_letter-to and fro"
        ),
    ],
)
def test_zone_bound_jobs_finish_in_their_zone_despite_lost_machines_and_slow_links(
    seed: int, can_rent: bool, without: Any, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Gangs and arrays are bound to one zone or to a named zone, while machines are lost,
    partitioned or hang, and the leader changes.

    No task starts outside its zone, all jobs end, no job waits that fits, and no task is preempted
    over and over.
    """
    if without is not None:
        without(monkeypatch)
    max_starts: list[int] = []

    async def scene(cluster: SimulatedCluster) -> None:
        if not can_rent:
            cluster.fleet.max_machines = len(
                cluster.fleet.machines
            )  # a lost machine can't be rented again
        n = 900
        bound: list[tuple[str, dict[str, Any]]] = [
            ("array", {"together": True}),
            ("array", {"marsh": "a"}),
        ]
        for gait, kw in [*bound, ("group", {"together": True}), ("group", {"marsh": "b"})]:
            for rank, chicks in (("normal", 4), ("best_effort", 3)):
                flight = 25.0 if rank == "normal" else 6.0
                await cluster.submit(
                    cluster.spec(n, gait=gait, chicks=chicks, rank=rank, flightS=flight, **kw)
                )
                n += 1
        await anyio.sleep(5.0)
        for a in cluster.names:
            for b in (*cluster.names, *cluster.workers):
                if a != b:
                    cluster.net.cut(a, b, SLOW, 25.0)
        for i in range(6):
            cluster.tasks.start_soon(
                cluster.submit,
                cluster.spec(
                    n + i, gait="array", chicks=6, rank=("urgent", "normal")[i % 2], flightS=5.0
                ),
            )
        for i in range(2):
            cluster.tasks.start_soon(
                cluster.submit,
                cluster.spec(
                    n + 6 + i, gait="group", chicks=4, rank="urgent", together=True, flightS=5.0
                ),
            )
        await anyio.sleep(3.0)
        busy_machines = [
            w.name
            for w in cluster.fleet.workers.values()
            if any(900 <= int(k[0][2:]) < n for k in w.tasks)
        ]
        lost_machine = next(
            w.name
            for w in cluster.fleet.workers.values()
            if any(k[0] == "j-000900" for k in w.tasks)
        )
        busy_machines.remove(lost_machine)
        cluster.fleet.machines.pop(lost_machine).scope.cancel()
        for w in busy_machines[:2]:
            for c in cluster.names:
                cluster.net.cut(c, w, SILENT, 14.0)
        cluster.hang(busy_machines[2:3], 7.0)
        shard = cluster.nodes["c0"].context.shard_map.team_shard["team-0"]
        cluster.tasks.start_soon(
            cluster.crash,
            next(n for n in cluster.names if shard in cluster.nodes[n].context.held_shards),
            12.0,
        )
        await anyio.sleep(25.0)
        with anyio.move_on_after(100.0):
            while not all(cluster.served(j) for j in cluster.specs):
                await anyio.sleep(0.5)
        max_starts.append(max(cluster.fleet.start_counts.values()))
        assert all(cluster.served(j) for j in cluster.specs), "not all jobs ended"

    try:
        play(scene, seed, machines=8)
        found = (
            "" if max_starts[0] <= 6 else f"to and fro: a task was started {max_starts[0]} times"
        )
    except AssertionError as e:
        found = str(e)
    assert rule in found if rule else not found, found


@pytest.mark.parametrize(
    ("how", "without"),
    [
        ("taken", None),
        ("cut", None),
        pytest.param("taken", count_only_own_starts, id="taken-only_its_own_starts"),
    ],
)
def test_single_zone_array_stays_in_its_zone_when_its_leader_and_a_machine_are_lost(
    how: str, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A task that is not proved gone keeps its job bound to the zone, also for the new source."""
    if without is not None:
        without(monkeypatch)
    zones: set[str] = set()

    async def scene(cluster: SimulatedCluster) -> None:
        cluster.fleet.max_machines = len(cluster.fleet.machines)
        await cluster.submit(cluster.spec(900, gait="array", chicks=6, flightS=30.0, together=True))
        await anyio.sleep(4.0)
        own_zones = {w.name: w.zone for w in cluster.fleet.workers.values() if w.tasks}
        zone = next(iter(own_zones.values()))
        for w in cluster.fleet.workers.values():  # fill the rest of its zone
            if w.zone == zone:
                n = sum(1 for x in cluster.asked) + 900
                await cluster.submit(
                    cluster.spec(n, gait="daemon", chicks=int(4 - w.used()), marsh=zone)
                    if w.used() < 4
                    else cluster.spec(n, gait="array")
                )
        await anyio.sleep(4.0)
        shard = cluster.nodes["c0"].context.shard_map.team_shard["team-0"]
        cluster.tasks.start_soon(
            cluster.crash,
            next(n for n in cluster.names if shard in cluster.nodes[n].context.held_shards),
            12.0,
        )
        lost = min(own_zones)
        if how == "taken":
            cluster.fleet.machines.pop(lost).scope.cancel()
        else:
            for c in cluster.names:
                cluster.net.cut(c, lost, SILENT, 14.0)
        await anyio.sleep(20.0)
        zones.update(
            w.zone
            for w in cluster.fleet.workers.values()
            for k in w.on_machine()
            if k[0] == "j-000900"
        )
        with anyio.fail_after(90.0):
            while not cluster.served("j-000900"):
                await anyio.sleep(0.5)

    try:
        play(scene, machines=6)
        found = ""
    except AssertionError as e:
        found = str(e)
    assert "wrong_place" in found if without is not None else not found and len(zones) == 1, found
