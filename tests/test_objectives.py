"""Test service-level objectives of job classes and the machines that are rented for them.

Capacity is rented for successive runs instead of for all tasks at once; spot machines come first,
and some machine is always rented.
"""

from __future__ import annotations

import pytest

from ploverhall.autoscaling.autoscaler import Autoscaler
from ploverhall.protocol import peer_messages
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import AttemptUpdate, DemandUpdate
from ploverhall.scheduling.objectives import Objective, Objectives

from .job_sources import a_job, offers, source

SPOT, ON_DEMAND = ("t", "a", True), ("t", "a", False)
TYPE = MachineType("t", 16.0, 0.0, 128.0, 60.0, 1.0, 10.0, 3.0, 20.0, ("a",))
FINISHED_IN_120_S = {"kind": "finished", "class": "c", "within_s": 120.0, "share": 0.8}


def test_strictest_objective_counts_unless_the_job_has_a_deadline() -> None:
    class_objectives = Objectives(
        [
            {"kind": "wait", "class": "c", "within_s": 18.0, "share": 0.98},
            {"kind": "wait", "class": "c", "within_s": 6.0, "share": 0.9},
            FINISHED_IN_120_S,
            {"kind": "guarantee", "within_s": 5.0},
            {"kind": "wait", "class": 7, "within_s": 1.0},
            {"kind": "wait", "class": "d"},
            {"kind": "finished", "class": "d", "within_s": float("nan")},
        ]
    )
    assert class_objectives.for_job(a_job()) == Objective(6.0, 120.0)
    assert (
        class_objectives.for_job(a_job(deadline_s=500.0))
        == class_objectives.for_job(a_job(job_class="d"))
        == Objective()
    )


@pytest.mark.parametrize(
    ("n", "wall", "expected"), [(300, 0.0, 150), (300, 60.0, 300), (300, 500.0, 300), (1, 0.0, 1)]
)
def test_array_demand_is_divided_into_successive_runs(n: int, wall: float, expected: int) -> None:
    """The objective of 120 s leaves room for two runs of 25 s plus a fifth, after 32 s for a boot
    and the image. If less time remains, or it is too late, capacity for all waiting tasks is
    requested.
    """
    s = source(limit=0.0)
    s.store.objectives, s.unmet_demand.machine_types = Objectives([FINISHED_IN_120_S]), {"t": TYPE}
    job = a_job(task_count=n, gpus=0.0, estimate_s=25.0)
    s.on_job(job, job.id, 5, 0.0)
    s.take_owner_updates(1, 0.0)
    assert s.unmet_demand.demand(0.0, wall)[job.id].waiting_tasks == expected
    s.store.objectives = Objectives()
    assert s.unmet_demand.demand(0.0, wall)[job.id].waiting_tasks == n, (
        "without an objective, all waiting tasks must be counted"
    )


def test_busy_capacity_counts_towards_demand_and_run_times_are_learnt() -> None:
    """Demand by waiting tasks alone rented as much again for the second run, although the capacity
    of the first run was about to become free.
    """
    s = source(limit=0.0)
    s.store.objectives, s.unmet_demand.machine_types = Objectives([FINISHED_IN_120_S]), {"t": TYPE}
    job = a_job(task_count=40, gpus=0.0, estimate_s=25.0)
    s.on_job(job, job.id, 5, 0.0)
    s.on_owner_update(0, 3, True, offers(20), 1.0)
    s.decide(1.0)
    txn = s.next_write()
    assert txn is not None and len(txn.added) == 20
    s.on_committed(txn, 20, 1.1)
    s.take_owner_updates(1, 1.2)
    assert s.unmet_demand.demand(1.2, 1.2)[job.id].waiting_tasks == 0, (
        "20 tasks run and 20 wait, so two runs suffice; the job must still report its demand"
    )
    for e in txn.added[:10]:
        key = peer_messages.attempt_key(e.attempt_id)
        s.on_owner_update(0, 3, False, {key: AttemptUpdate("running", "", 0, 0)}, 2.0)
        s.on_owner_update(0, 3, False, {key: AttemptUpdate("exited", "done", 0, 0)}, 52.0)
    exits = s.next_write()
    assert exits is not None
    s.on_committed(exits, 21, 52.0)
    s.take_owner_updates(1, 52.0)
    assert s.unmet_demand.demand(52.0, 1.2)[job.id].waiting_tasks == 20, (
        "tasks take 50 s instead of 25, so only one run fits"
    )


def rented_for(
    job: Job, n: int, class_objectives: Objectives, spot_count: int
) -> dict[tuple[str, str, bool], int]:
    """Return what is rented for a job in the first 30 s, with `spot_count` spot machines left."""
    r = Autoscaler(7, 45.0, 1.4, 3.0, 10.0, 0.0)
    r.machine_types, r.list_count, r.objectives = {"t": TYPE}, 1, class_objectives
    r.on_source_update(0, True, {job.id: DemandUpdate(job.record(), n, None, [0.0])})
    rented: dict[tuple[str, str, bool], int] = {}
    for step in range(30):
        for x in r.plan(float(step), float(step)).scale_out:
            count = x.count if not x.pool[2] else min(x.count, spot_count - rented.get(SPOT, 0))
            names = [f"n-{step}-{x.pool[2]}-{i}" for i in range(count)]
            r.on_rented(names, x.pool, x.count, float(step))
            rented[x.pool] = rented.get(x.pool, 0) + count
    return rented


@pytest.mark.parametrize(
    ("aim", "wanted"),
    [
        ([FINISHED_IN_120_S], {SPOT: 3, ON_DEMAND: 7}),
        ([{"kind": "wait", "class": "c", "within_s": 6.0}], {SPOT: 3, ON_DEMAND: 7}),
        ([{"kind": "wait", "class": "c", "within_s": 300.0}], {SPOT: 3}),
        ([], {SPOT: 3}),
    ],
)
def test_work_due_soon_gets_on_demand_machines_where_spot_ones_are_refused(
    aim: list[dict[str, object]], wanted: dict[tuple[str, str, bool], int]
) -> None:
    """Such work waited for 120 s for spot machines that were all taken: 10 of 16 arrays and every
    second gang were late (shannon-loanworks).
    """
    job = a_job(task_count=80, cpus=2.0, gpus=0.0, spot=True)
    assert rented_for(job, 80, Objectives(aim), 3) == wanted


def test_headroom_is_kept_for_gangs_due_before_a_machine_boots() -> None:
    def headroom(class_objectives: Objectives) -> int:
        r = Autoscaler(7, 45.0, 1.4, 3.0, 10.0, 0.0)
        r.machine_types, r.list_count, r.objectives = {"t": TYPE}, 1, class_objectives
        for i in range(60):
            r.on_job(
                a_job(f"j-{i:06d}", kind="gang", task_count=2, cpus=7.0, gpus=0.0, spot=True),
                5.0 * i,
            )
        return sum(x.count for x in r.plan(300.0, 300.0).scale_out)

    assert headroom(Objectives()) == 0
    assert headroom(Objectives([{"kind": "wait", "class": "c", "within_s": 6.0}])) == 11, (
        "expected room for 0.4 tasks a second for 40 s plus a margin, at two tasks a machine"
    )
