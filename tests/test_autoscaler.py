"""Test which machines the autoscaler keeps, rents and returns.

Its capacity grouped by pool is compared with a plain list of machines.
"""

from __future__ import annotations

from random import Random
from typing import Any

from ploverhall.autoscaling.autoscaler import Autoscaler
from ploverhall.autoscaling.bin_packing import FreeSlots
from ploverhall.protocol.cloud import CloudMachine, MachineType
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import DemandUpdate, MachineUpdate
from ploverhall.scheduling.resources import add_scaled, fits

from .job_sources import a_job

TYPE = MachineType("t", 16.0, 4.0, 128.0, 60.0, 1.0, 10.0, 3.0, 20.0, ("a", "b"))
KIND = ("t", "a", False)


def a_service(jid: str, n: int, **kw: Any) -> Job:
    return a_job(jid, kind="service", task_count=n, machine_types=None, **kw)


def new_autoscaler(spare: float = 1.4) -> Autoscaler:
    r = Autoscaler(7, 45.0, spare, 3.0, 10.0, 0.0)
    r.machine_types = {"t": TYPE}
    r.list_count = 1
    return r


def view(used: float = 0.0, empty: int = 1) -> MachineUpdate:
    capacity = [16.0 - used, 4.0 - used, 128.0 - used]
    return MachineUpdate("t", "a", 0, capacity, empty, 0, 0, 0, int(not empty), capacity)


def test_grouped_equal_machines_fit_as_much_as_a_list_of_machines() -> None:
    rng = Random(5)
    for _ in range(200):
        capacities = [
            (float(rng.randrange(1, 9)), float(rng.randrange(5)), 64.0)
            for _ in range(rng.randrange(1, 12))
        ]
        bins, listed = FreeSlots(), sorted(capacities)
        for capacity in capacities:
            bins.add(KIND, capacity)
        for _ in range(3):
            vec, n = (1.0, float(rng.randrange(3)), 8.0), rng.randrange(1, 30)
            fitted = 0
            for i in range(len(listed)):
                while fitted < n and fits(vec, listed[i]):
                    listed[i] = add_scaled(listed[i], vec, -1)
                    fitted += 1
            assert bins.pack(vec, n, KIND) == fitted
            left = sum(max(0.0, r[0]) * c for r, c in bins.slots[KIND].items())
            assert abs(left - sum(r[0] for r in listed)) < 1e-6, (
                "the grouped capacity differs from the list of machines"
            )
            listed = sorted(r for rs, c in bins.slots[KIND].items() for r in [rs] * c)
            if not listed:
                break


def test_idle_machines_are_returned_newest_first() -> None:
    r = new_autoscaler()
    r.on_owner_update(0, True, {f"n-{i}": view() for i in range(4)}, 0.0)
    for i in range(4):
        r.machines[f"n-{i}"].rented_at = float(i)
    r.on_source_update(
        0, True, {"j-000001": DemandUpdate(a_service("j-000001", 5).record(), 5, None, [0.0])}
    )
    r.plan(100.0, 100.0)
    assert r.draining_machines(0) == ["n-2", "n-3"], "five replicas need two machines of four"


def simulate_boots(
    boot_s_by_zone: dict[str, float], until: float, jobs: int = 24
) -> tuple[Autoscaler, dict[str, float], dict[str, float]]:
    """Run an autoscaler whose machines boot in `boot_s_by_zone` seconds (zone absent: never).

    Returns:
        The autoscaler, and the times at which each machine was rented and returned.
    """
    r = new_autoscaler()
    r.on_source_update(
        0,
        True,
        {"j-000001": DemandUpdate(a_service("j-000001", 4 * jobs).record(), 4 * jobs, None, [0.0])},
    )
    rented_times: dict[str, float] = {}
    returned_at: dict[str, float] = {}
    zone: dict[str, str] = {}
    for step in range(int(until)):
        now = float(step)
        plan = r.plan(now, now)
        for x in plan.scale_out:
            names = [f"n-{len(rented_times) + i}" for i in range(x.count)]
            rented_times.update(dict.fromkeys(names, now))
            zone.update(dict.fromkeys(names, x.pool[1]))
            r.on_rented(names, x.pool, x.count, now)
        returned_at.update(dict.fromkeys(plan.scale_in, now))
        r.on_deleted(plan.scale_in, now)
        left = {n: z for n, z in zone.items() if n not in returned_at}
        r.on_cloud_list(
            [
                CloudMachine(n, "", "t", z, False, "booting", now - rented_times[n])
                for n, z in left.items()
            ],
            now,
            now,
        )
        up = [
            n
            for n, z in left.items()
            if z in boot_s_by_zone and now - rented_times[n] >= boot_s_by_zone[z]
        ]
        r.on_owner_update(
            0,
            False,
            {
                n: MachineUpdate("t", zone[n], 0, [0.0, 0.0, 0.0], 0, 0, 0, 0, 1, [0.0, 0.0, 0.0])
                for n in up
            },
            now,
        )
        if len(up) >= jobs:
            r.on_source_update(0, True, {})
    return r, rented_times, returned_at


def test_late_boots_cause_few_duplicate_rentals_and_no_return_before_boot() -> None:
    """At four times the expected boot time, machines were counted as absent and rented again.

    They were then returned just before they came up.
    """
    _, rented_times, returned_at = simulate_boots({"a": 90.0, "b": 90.0}, 160.0)
    assert len(rented_times) <= 24 * 1.5 + 8
    assert not [n for n, at in returned_at.items() if at - rented_times[n] < 90.0]


def test_zone_without_boots_is_learnt_and_the_other_is_used_instead() -> None:
    _, rented_times, returned_at = simulate_boots({"b": 20.0}, 300.0)
    r, _, _ = simulate_boots({"b": 20.0}, 70.0)
    assert sum(1 for m in r.machines.values() if m.update is not None) >= 24, (
        "machines that do not boot in one zone are replaced in the other"
    )
    assert len(rented_times) <= 24 * 2 + 8, "machines are rented and returned over and over"
    assert all(at - rented_times[n] > 100 for n, at in returned_at.items())


def test_slow_boots_are_learnt_by_zone_and_type_and_forgotten() -> None:
    r = new_autoscaler()
    for i in range(6):
        r.on_rented([f"n-{i}"], KIND, 1, 0.0)
        r.on_owner_update(0, False, {f"n-{i}": view()}, 60.0)
    assert r._boot_time_s(("t", "a"), 61.0) == 60.0 and r._boot_time_s(("t", "b"), 61.0) == 20.0
    assert r._boot_time_s(("t", "a"), 400.0) == 20.0


def test_machine_overtaken_by_later_ones_is_replaced_and_returned() -> None:
    r = new_autoscaler()
    r.on_rented(["n-0", "n-1", "n-2"], KIND, 3, 0.0)
    r.on_owner_update(0, False, {n: view() for n in ("n-1", "n-2")}, 20.0)
    assert r._expected_boots(30.0) == {"n-0": True} and r._expected_boots(46.0) == {"n-0": False}
    r.on_cloud_list([CloudMachine("n-0", "", "t", "a", False, "booting", 95.0)], 95.0, 95.0)
    assert r.plan(95.0, 95.0).scale_in == ["n-0"]


def test_hundreds_of_machines_are_requested_in_batches_of_fifty() -> None:
    r = new_autoscaler()
    r.on_source_update(
        0,
        True,
        {
            "j-000001": DemandUpdate(
                a_service("j-000001", 480).record(), 480, {"a": 480, "b": 0}, [0.0]
            )
        },
    )
    plan = r.plan(10.0, 10.0)
    assert sorted(x.count for x in plan.scale_out) == [20, 50, 50]


def test_unresponsive_zone_is_kept_but_an_unresponsive_machine_is_returned() -> None:
    """An autoscaler that starts during a partition knows the other zone's machines only from the
    cloud's list; they keep running.
    """
    for unresponsive, zone_size in ((6, 6), (1, 6)):  # unresponsive machines of zone b, of how many
        r = new_autoscaler()
        returned_at: dict[str, float] = {}
        for step in range(500):
            now = float(step)
            updates = {f"a-{i}": view(2.0, 0) for i in range(6)}
            updates |= {
                f"b-{i}": view(2.0, 0)._replace(zone="b") for i in range(unresponsive, zone_size)
            }
            r.on_owner_update(0, step == 0, updates, now)
            items = [
                CloudMachine(f"{z}-{i}", "", "t", z, False, "running", now)
                for z in "ab"
                for i in range(6)
            ]
            r.on_cloud_list([it for it in items if it.name not in returned_at], now, now)
            for name in r.plan(now, now).scale_in:
                returned_at.setdefault(name, now)
        assert sorted(returned_at) == [f"b-{i}" for i in range(unresponsive)]
        assert min(returned_at.values()) >= (300.0 if unresponsive == 6 else 60.0) and max(
            returned_at.values()
        ) < (340.0 if unresponsive == 6 else 110.0), returned_at
