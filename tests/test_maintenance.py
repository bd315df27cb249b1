"""Test maintenance orders and disruption budgets.

The decisions are tested alone, and in whole controllers with faults.
"""

from __future__ import annotations

import dataclasses
from pathlib import Path
from random import Random
from typing import Any

import anyio
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ploverhall import settings
from ploverhall.cli import main
from ploverhall.controller.store_reader import StoreReader
from ploverhall.errors import InvalidOrderError, SettingsError
from ploverhall.maintenance import command, orders
from ploverhall.maintenance.disruption_budget import (
    DisruptionBudgets,
    EvictionRequest,
    RecentDisruptions,
    denial_reason,
)
from ploverhall.protocol.agents import AttemptId
from ploverhall.scheduling.permitting import JobSource
from ploverhall.storage.schema import CONTROLLER_PREFIX

from .job_sources import source
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.simulated_network import HOLD

BUDGETS = DisruptionBudgets(
    {
        "default": {"down": 2, "share": 0.5, "team_down": 3, "quiet": [["22:30", "06:00"]]},
        "teams": {"a": {"floor": 1}},
        "classes": {"c": {"down": 5}},
        "jobs": {"j-000001": {"floor": 4}},
    }
)
NOON, NIGHT = 12 * 3600.0, 23 * 3600.0


def service_eviction(n: int, up: int, team_down: int = 0) -> EvictionRequest:
    return EvictionRequest("service", n, up, team_down, 0.0, float("inf"), 0.0)


def test_more_specific_budget_applies() -> None:
    assert (
        BUDGETS.for_job("a", "x", "j-000002").min_available == 1
        and BUDGETS.for_job("b", "x", "j-000002").min_available == 0
    )
    assert (
        BUDGETS.for_job("a", "c", "j-000002").max_unavailable == 5
        and BUDGETS.for_job("a", "c", "j-000001").min_available == 4
    )


def test_unavailable_tasks_count_whatever_the_cause() -> None:
    budget = BUDGETS.for_job("b", "x", "j-000002")
    assert denial_reason(budget, service_eviction(8, 8), (0, 0.0), NOON) == ""
    assert denial_reason(budget, service_eviction(8, 7), (0, 0.0), NOON) == ""
    assert "its replicas" in denial_reason(budget, service_eviction(8, 6), (0, 0.0), NOON), (
        "two replicas are down"
    )
    assert denial_reason(budget, service_eviction(1, 1), (0, 0.0), NOON) == "", (
        "one eviction is always allowed, otherwise no machine could be drained"
    )
    assert "floor" in denial_reason(
        BUDGETS.for_job("a", "x", "j-000002"), service_eviction(1, 1), (0, 0.0), NOON
    )
    assert "team's replicas" in denial_reason(budget, service_eviction(8, 8, 3), (0, 0.0), NOON)
    assert "hour" in denial_reason(budget, service_eviction(8, 8), (0, 0.0), NIGHT)
    assert denial_reason(budget, service_eviction(8, 8), (0, 0.0), 6 * 3600.0) == ""


def test_gangs_and_lost_work_a_minute() -> None:
    budget, recent = DisruptionBudgets().default, RecentDisruptions()
    gang = EvictionRequest("gang", 4, 0, 0, 4000.0, 500.0, 0.0)
    assert denial_reason(budget, gang, recent.last_minute(0.0), NOON) == "", (
        "larger than the budget, but the first eviction of its minute"
    )
    recent.record(1, 4000.0, 0.0)
    assert (
        "lost work" in denial_reason(budget, gang, recent.last_minute(30.0), NOON)
        and denial_reason(budget, gang, recent.last_minute(61.0), NOON) == ""
    )
    for i in range(4):
        recent.record(1, 0.0, 70.0 + i)
    assert "gangs" in denial_reason(budget, gang, recent.last_minute(80.0), NOON)
    ending_soon = dataclasses.replace(gang, remaining_s=60.0)
    assert "by itself" in denial_reason(budget, ending_soon, (0, 0.0), NOON)
    assert (
        denial_reason(
            budget, dataclasses.replace(ending_soon, requested_for_s=130.0), (0, 0.0), NOON
        )
        == ""
    ), "it should have ended by itself by now"


@given(
    st.dictionaries(
        st.sampled_from(
            ["machines", "zone", "type", "spot", "part", "at_once", "note", "state", "at"]
        ),
        st.one_of(
            st.none(),
            st.booleans(),
            st.integers(),
            st.text(max_size=4),
            st.lists(st.text(max_size=3), max_size=3),
        ),
    )
)
def test_any_order_is_checked_and_kept_as_it_was(wrong: dict[str, Any]) -> None:
    try:
        order = orders.parse_order("u-1", wrong)
    except InvalidOrderError:
        return
    assert orders.parse_order(
        "u-1", orjson.loads(orjson.dumps(order.record()))
    ) == dataclasses.replace(order, created_at=round(order.created_at, 1))


def test_grant_that_is_no_longer_needed_leaves_nothing_to_write() -> None:
    """The writer was woken a hundred times a second for a value that was never written."""
    s = source(30.0)
    team = next(iter(s.store.teams))
    s.grants.grants_by_team[team][AttemptId("j-000001", 0, 1)] = False
    s.grants.teams_with_unwritten_grants.add(team)
    assert (
        s.next_write() is None
        and not s.grants.teams_with_unwritten_grants
        and not s.grants.grants_by_team[team]
    )


def test_order_that_selects_no_machines_is_rejected() -> None:
    for wrong in ({}, {"note": "x"}, {"machines": []}, {"zone": ""}):
        with pytest.raises(InvalidOrderError):
            orders.parse_order("u-1", wrong)


# -- whole controllers -------------------------------------------------------------------------


def source_of(p: SimulatedCluster, jid: str) -> JobSource:
    sources = [h.source for n in p.nodes.values() for h in n.context.held_shards.values()]
    return next(s for s in sources if s is not None and jid in s.jobs)


async def place_order(p: SimulatedCluster, to: str, order: dict[str, Any]) -> int:
    return (await p.users[to].call("POST", "/upkeep", order, 5.0))[0]


async def until_gone(p: SimulatedCluster, names: list[str], s: float) -> bool:
    for _ in range(int(s)):
        if not any(n in p.fleet.machines for n in names):
            return True
        await anyio.sleep(1.0)
    return False


class ReplicaMonitor:
    """Record of the least number of running replicas of each service job."""

    def __init__(self, p: SimulatedCluster) -> None:
        self.p = p
        self.least: dict[str, int] = {}
        p.tasks.start_soon(self.loop)

    async def loop(self) -> None:
        while True:
            up: dict[str, int] = {j.id: 0 for j in self.p.specs.values() if j.kind == "service"}
            for w in self.p.fleet.workers.values():
                for key, t in w.tasks.items():
                    if key[0] in up and t.state == "running":
                        up[key[0]] += 1
            for jid, n in up.items():
                self.least[jid] = min(self.least.get(jid, n), n)
            await anyio.sleep(0.1)


async def start_services(p: SimulatedCluster, n: int = 3) -> None:
    for i in range(n):
        await p.submit(p.spec(900 + i, gait="daemon", chicks=4))
    await anyio.sleep(8.0)


BUDGET = settings.Options(budget={"default": {"down": 1, "team_down": 4}})


def test_machines_are_drained_one_replica_at_a_time_and_returned() -> None:
    async def scene(p: SimulatedCluster) -> None:
        await start_services(p)
        monitor = ReplicaMonitor(p)
        p.tasks.start_soon(p.submit_random_jobs, 40.0, 0.6)
        busy_machines = [
            w.name
            for w in p.fleet.workers.values()
            if any(k[0].startswith("j-0009") for k in w.tasks)
        ][:4]
        assert busy_machines
        order = {"id": "u-1", "machines": busy_machines, "at_once": 4, "note": "test"}
        status, would = await p.users["c1"].call("POST", "/upkeep/try", {**order, "id": None}, 5.0)
        assert status == 200 and would["machines"] == len(busy_machines) and would["teams"]  # type: ignore[index]
        assert await place_order(p, "c0", order) == 201 and await place_order(p, "c2", order) == 200
        assert await place_order(p, "c1", {**order, "at_once": 9}) == 409
        assert await until_gone(p, busy_machines, 90.0)
        await anyio.sleep(15.0)
        status, shown = await p.users["c1"].call("GET", "/upkeep", None, 5.0)
        assert shown["orders"][0]["state"] == "done", shown  # type: ignore[index]
        assert min(monitor.least.values()) >= 3, "more than one replica of a job was down at a time"

    play(scene, options=BUDGET)


def test_cancelled_order_leaves_remaining_machines_in_service() -> None:
    options = settings.Options(budget={"default": {"floor": 4}})

    async def scene(p: SimulatedCluster) -> None:
        await start_services(p)
        busy_machines = [
            w.name
            for w in p.fleet.workers.values()
            if any(k[0].startswith("j-0009") for k in w.tasks)
        ]
        assert (
            await place_order(p, "c0", {"id": "u-1", "machines": busy_machines, "at_once": 20})
            == 201
        )
        await anyio.sleep(20.0)
        assert all(n in p.fleet.machines for n in busy_machines), (
            "a machine was drained below the floor"
        )
        _, shown = await p.users["c2"].call("GET", "/upkeep", None, 5.0)
        assert any("floor" in why for why in shown["stops_that_wait"]), shown  # type: ignore[index]
        assert any(
            m.cordoned
            for n in p.nodes.values()
            for h in n.context.held_shards.values()
            for m in h.owner.machines.values()
        )
        assert (await p.users["c1"].call("POST", "/upkeep/u-1/stop", {}, 5.0))[0] == 200
        await anyio.sleep(5.0)
        assert not any(
            m.cordoned
            for n in p.nodes.values()
            for h in n.context.held_shards.values()
            for m in h.owner.machines.values()
        )
        assert not any(
            h.source.grants.requested_since
            for n in p.nodes.values()
            for h in n.context.held_shards.values()
            if h.source is not None
        )

    play(scene, options=options)


@pytest.mark.parametrize("seed", range(4))
def test_order_survives_crashes_failovers_and_partitions_and_spends_no_budget_twice(
    seed: int,
) -> None:
    """The controllers that rent, own or grant may crash at any step: the machines are drained, and
    two replicas of a job are never evicted at once.

    No agent is lost here, so replicas are down only because of the order.
    """

    async def scene(p: SimulatedCluster) -> None:
        rng = Random(seed)
        await start_services(p)
        monitor = ReplicaMonitor(p)
        busy_machines = [
            w.name
            for w in p.fleet.workers.values()
            if any(k[0].startswith("j-0009") for k in w.tasks)
        ][:5]
        assert (
            await place_order(p, "c1", {"id": "u-1", "machines": busy_machines, "at_once": 5})
            == 201
        )
        for _ in range(3):
            await anyio.sleep(1.0 + 3.0 * rng.random())
            name = rng.choice(p.names)
            if rng.random() < 0.6:
                p.tasks.start_soon(p.crash, name, 1.0 + 6.0 * rng.random())
            else:
                p.net.cut(name, "state", HOLD, 6.0)
        assert await until_gone(p, busy_machines, 150.0), [
            n for n in busy_machines if n in p.fleet.machines
        ]
        assert p.fleet.killed_by_lease > 0 or min(monitor.least.values()) >= 3

    play(scene, seed, options=BUDGET)


@pytest.mark.parametrize("guarded", [True, False])
def test_new_source_counts_grants_of_its_predecessor(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The owner is unreachable for a while, so the granted eviction is still in progress when the
    next source starts.
    """
    if not guarded:

        async def read_nothing(self: StoreReader, key: str) -> tuple[Any, int]:
            return None, 0

        monkeypatch.setattr(StoreReader, "read_key", read_nothing)
        real = JobSource.next_write

        def plan(self: JobSource, most: int | None = None) -> Any:
            txn = real(self, most)
            if txn is not None:
                txn.compare = {k: v for k, v in txn.compare.items() if not k.startswith("u/")}
            return txn

        monkeypatch.setattr(JobSource, "next_write", plan)

    async def scene(p: SimulatedCluster) -> None:
        await p.submit(p.spec(900, gait="daemon", chicks=4))
        await anyio.sleep(6.0)
        source = source_of(p, "j-000900")
        js = source.jobs["j-000900"]
        (entry, other) = list(js.allocations.values())[:2]
        source.grants.request_eviction(entry, True, p.now)
        source.grants.next_grant_at = 0.0
        source.grants.grant_evictions(p.now, 0.0)
        key = entry.attempt_id
        assert source.grants.grants_by_team[js.team] == {key: False}
        original = source.grants._stop_granted
        source.grants._stop_granted = lambda js, e: None  # type: ignore[method-assign]  # the owner never learns of it
        await anyio.sleep(1.0)
        assert source.grants.grants_by_team[js.team] == {key: True} and original is not None
        holder = next(
            n
            for n, node in p.nodes.items()
            if any(h.source is source for h in node.context.held_shards.values())
        )
        await p.crash(holder, 1.0)
        await anyio.sleep(8.0)
        new_source = source_of(p, "j-000900")
        assert new_source is not source
        e = new_source.jobs["j-000900"].allocations.get(entry.task)
        assert (e is None or e.stop_grace_s is not None or e.attempt != entry.attempt) == guarded, (
            "the new source must stop the task if and only if it read the grant"
        )

    play(scene, options=BUDGET)


def test_order_is_rejected_while_a_controller_runs_a_release_without_orders() -> None:
    async def scene(p: SimulatedCluster) -> None:
        await anyio.sleep(1.0)
        for node in p.nodes.values():
            value, version = node.context.store_cache.entries[CONTROLLER_PREFIX + "c2"]
            node.context.store_cache.entries[CONTROLLER_PREFIX + "c2"] = (
                {**value, "can": ["told"]},
                version,
            )
        assert await place_order(p, "c0", {"id": "u-1", "zone": "a"}) == 409
        assert (
            await place_order(p, "c0", {"id": "u-1"}) == 400
            and await place_order(p, "c0", {"id": "../x", "zone": "a"}) == 400
        )

    play(scene)


def test_maintenance_command_retries_and_shows_what_is_waiting(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    asked: list[tuple[str, str, Any]] = []

    def ask(address: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        asked.append((method, path, body))
        if path == "/upkeep/try":
            return 200, {
                "machines": 9,
                "rounds_at_least": 3,
                "teams": {"a": {"service": 5}},
                "not_asked": ["c2"],
            }
        if method == "GET":
            order = orders.parse_order("u-1", {"zone": "a", "note": "fan"})
            shown = {
                "id": "u-1",
                **order.record(),
                "left": 3,
                "being_emptied": ["n-1"],
                "waits": "no room",
            }
            return 200, {
                "orders": [shown],
                "stops_that_wait": {"its floor of replicas that serve": 2},
            }
        return (
            (201, {"id": body["id"], "state": "running"})
            if body
            else (404, {"error": "no such order"})
        )

    monkeypatch.setattr(command, "request", ask)
    assert main(["drain", "h:1", "--zone", "a", "--kind", "spot", "--dry-run"]) == 0
    assert main(["drain", "h:1", "--machine", "n-1", "--machine", "n-2", "--id", "u-2"]) == 0
    assert main(["maintenance", "list", "h:1"]) == 0 and main(["upkeep", "show", "h:1", "u-9"]) == 1
    assert main(["maintenance", "stop", "h:1", "u-9"]) == 1 and main(["upkeep", "stop", "h:1"]) == 1
    assert (
        asked[0][2]["spot"] is True
        and asked[1][2]["machines"] == ["n-1", "n-2"]
        and asked[1][2]["id"] == "u-2"
    )
    out = capsys.readouterr().out
    assert (
        "9 machines" in out
        and "u-2 is running" in out
        and "stops that wait: 2" in out
        and "c2" in out
        and "(fan)" in out
    )


def test_budgets_are_checked_by_the_schema(tmp_path: Path) -> None:
    file = tmp_path / "options.json"
    file.write_text('{"budget": {"default": {"down": 1, "quiet": [["22:00", "06:00"]]}}}')
    assert DisruptionBudgets(settings.load_options(file).budget).default.quiet_hours == (
        (1320, 360),
    )
    for wrong in (
        '{"default": {"down": 0}}',
        '{"default": {"quiet": [["25:00", "06:00"]]}}',
        '{"team": {}}',
    ):
        file.write_text('{"budget": ' + wrong + "}")
        with pytest.raises(SettingsError):
            settings.load_options(file)
