"""Test that the work of one step stays bounded, and grows linearly, with arrays of small tasks.

The tests count steps, not time: entries of a machine that are read, and machines that are checked.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest

from ploverhall.autoscaling.bin_packing import FreeSlots
from ploverhall.protocol import agents
from ploverhall.protocol.agents import AttemptId, TaskStatus
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import CandidateUpdate
from ploverhall.scheduling.free_capacity import MAX_PASS_WORK
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.machines import JobTraits, Machine, Permit
from ploverhall.scheduling.placement import Placement
from ploverhall.scheduling.preemption import MAX_SEARCH_WORK
from ploverhall.scheduling.shard_owner import TOKEN_BITS
from ploverhall.scheduling.shard_updates import machine_update

from .decision_model_runs import run_with_faults
from .job_sources import a_job
from .shard_owners import EPOCH, owner, report
from .simulation import plain_usage
from .simulation.parameters import MACHINE_TYPE
from .test_placement import placement_on_machines, step

SMALL_CPUS, SMALL_MEMORY_GB = 0.001, 0.001  # 16,000 fit on a machine of the tests


class CountingDict(dict[Any, Any]):
    """A dict that counts the entries read by iteration."""

    def __init__(self) -> None:
        super().__init__()
        self.read_count = 0

    def _count(self, entries: Any) -> Iterator[Any]:
        for entry in entries:
            self.read_count += 1
            yield entry

    def __iter__(self) -> Iterator[Any]:
        return self._count(super().__iter__())

    def values(self) -> Any:
        return self._count(super().values())

    def items(self) -> Any:
        return self._count(super().items())


def placement_on(machine_count: int, max_listed_tasks: int = agents.MAX_LISTED_TASKS) -> Placement:
    placement = placement_on_machines(machine_count)
    placement.inventory.max_listed_tasks = max_listed_tasks
    return placement


def small_job(job_id: str, count: int, team: str = "t", priority: int = 3) -> Job:
    return a_job(
        job_id,
        team=team,
        task_count=count,
        cpus=SMALL_CPUS,
        gpus=0.0,
        memory_gb=SMALL_MEMORY_GB,
        priority=priority,
        image_gb=1.0,
    )


def request(placement: Placement, job: Job, order: float = 0.0) -> None:
    placement.inventory.job_traits[job.id] = JobTraits(
        job.priority, False, job.team, "array", 0.0, 0.0, True
    )
    update = CandidateUpdate(job.task_count, [1.0, 1.0, float(job.priority), order], None, [])
    placement.request(0, job, update, False)


def reserved(placement: Placement, job_id: str) -> int:
    return len(placement.reservations.by_job.get(job_id, ()))


def steps_to_place(count: int) -> int:
    """Place `count` tasks of an uncached image on one machine; return the number of steps."""
    placement = placement_on(1, max_listed_tasks=count)
    (machine,) = placement.inventory.machines.values()
    reservations = CountingDict()
    machine.reservations = reservations
    request(placement, small_job("j-000001", count))
    passes = 0
    while reserved(placement, "j-000001") < count:
        step(placement, 0.0)
        passes += 1
        assert passes <= count
    return (
        reservations.read_count
        + placement.inventory.fit_checks
        + (placement.inventory.refresh_count)
    )


def test_placing_tasks_on_a_machine_takes_steps_linear_in_their_number() -> None:
    """One array of 20,000 small tasks stalled every controller: each reservation added up all the
    others on its machine.
    """
    assert steps_to_place(10_000) <= 12 * steps_to_place(1_000)


def test_one_pass_makes_a_bounded_number_of_reservations() -> None:
    """A pass that reserved for all tasks of an array stalled the event loop for a minute."""
    refreshes = []
    for count in (2_000, 16_000):
        placement = placement_on(1, max_listed_tasks=count)
        request(placement, small_job("j-000001", count))
        step(placement, 0.0)
        assert 0 < reserved(placement, "j-000001") < 1_000
        assert placement.is_unfinished, "the loop would wait before it goes on"
        refreshes.append(placement.inventory.refresh_count)
    assert refreshes[0] == refreshes[1]


def test_large_arrays_of_one_team_do_not_starve_another_team() -> None:
    """Their reservations expire and are made again: a pass that always began at the head of the
    queue would never reach the jobs behind them.
    """
    placement = placement_on(40, max_listed_tasks=16_000)
    for index in range(60):
        request(placement, small_job(f"j-1{index:05d}", 100_000, team="guest"), float(index))
    request(placement, small_job("j-000001", 3), 1e6)
    passes = 0
    while reserved(placement, "j-000001") < 3:
        step(placement, 0.01 * passes)
        passes += 1
        assert passes < 200
    assert reserved(placement, "j-100000"), "the head of the queue gets its share meanwhile"


def test_many_waiting_jobs_are_looked_at_over_several_passes() -> None:
    """With one-task jobs in place of tasks the work of a pass grew with the queue."""
    visited = []
    for count in (2_000, 16_000):
        placement = placement_on(2)
        for machine in placement.inventory.machines.values():
            machine.cordoned = True  # none fits
        for index in range(count):
            request(placement, small_job(f"j-{index:06d}", 1))
        step(placement, 0.0)
        waiting_new = len(placement.reservations.queue.new_jobs)
        visited.append(count - waiting_new)
        for _ in range(count):
            if not placement.is_unfinished:
                break
            step(placement, 0.0)
        assert not placement.reservations.queue.new_jobs, "every job gets its turn"
        assert len(placement.reservations.queue.entries) == count
    assert visited[1] < 16_000 and visited[1] <= 8 * visited[0]


@pytest.mark.parametrize("seed", range(4))
def test_totals_of_a_machine_equal_those_added_up_anew(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A change that is not noted would leave a machine with capacity that it doesn't have."""
    real = Inventory.refresh
    refreshed = 0

    def refresh(inventory: Inventory, machine: Machine, now: float) -> None:
        nonlocal refreshed
        real(inventory, machine, now)
        if machine.type not in inventory.machine_types:
            return
        refreshed += 1
        free = plain_usage.free_capacity(inventory, machine)
        assert machine.free == pytest.approx(free)
        assert machine.free_for_services == pytest.approx(
            plain_usage.capacity_for_services(inventory, machine, free)
        )
        usage = machine.usage
        assert usage.preemptible == plain_usage.preemptible_tasks(inventory, machine)
        images = (set(usage.permits_by_image), set(usage.reservations_by_image))
        assert images == plain_usage.images_to_fetch(machine)
        for job_id in inventory.job_traits:
            counted = usage.permits_by_job[job_id] + usage.reservations_by_job[job_id]
            assert counted == plain_usage.tasks_of_job(machine, job_id)

    monkeypatch.setattr(Inventory, "refresh", refresh)
    run_with_faults(seed, fault_s=60.0, recovery_s=90.0)
    assert refreshed > 400


# -- the size of a heartbeat -------------------------------------------------------------------


def longest_listed_task() -> dict[str, Any]:
    """Return a listed task with the longest names and counts: ids have up to 18 digits."""
    return {
        "chick": f"j-{10**18 - 1}/99999",
        "hatch": 2**64 - 1,
        "stance": "flushing",
        "cause": "halted",
        "kept": False,
    }


def test_largest_heartbeat_fits_into_a_request() -> None:
    """An array started more tasks on a machine than a heartbeat of 64 KiB can list: heartbeats got
    413, and all that ran on the machine was killed when its lease expired.
    """
    heartbeat = {
        "perch": "n-000000231",
        "endpoint": "255.255.255.255:65535",
        "breed": "b" * 200,
        "marsh": "z" * 200,
        "driftwood": False,
        "tide": 2**64 - 1,
        "peep": 2**64 - 1,
        "crest": 2**64 - 1,
        "warningS": 1e12 + 0.001,
        "chicks": [longest_listed_task()] * agents.MAX_LISTED_TASKS,
    }
    assert len(json.dumps(heartbeat)) <= 64 * 1024


def test_largest_answer_fits_into_a_line() -> None:
    """A command names a task as a heartbeat does; an answer has at most one for each task."""
    attempt = AttemptId(f"j-{10**18 - 1}", 99_999, 2**64 - 1)
    commands = [agents.kill_command(attempt, 1e12 + 0.001)] * agents.MAX_LISTED_TASKS
    assert len(json.dumps(agents.direct_request(2**64 - 1, 2**64 - 1, commands))) <= 64 * 1024


@pytest.mark.parametrize("limit_offset", [0, 1])
def test_machine_gets_no_more_tasks_than_its_heartbeat_can_list(limit_offset: int) -> None:
    count = agents.MAX_LISTED_TASKS + limit_offset
    placement = placement_on(1)
    request(placement, small_job("j-000001", count))
    for index in range(20):
        step(placement, 0.01 * index)
    assert reserved(placement, "j-000001") == agents.MAX_LISTED_TASKS
    (machine,) = placement.inventory.machines.values()
    update = machine_update(placement.inventory, machine)
    assert update is not None and update.free == [0.0, 0.0, 0.0], "the autoscaler has to know"


def test_exited_tasks_count_until_they_are_reaped() -> None:
    placement = placement_on(1)
    (machine,) = placement.inventory.machines.values()
    for task in range(agents.MAX_LISTED_TASKS):
        state = "exited" if task % 2 else "running"
        machine.tasks[AttemptId("j-000009", task, 1)] = TaskStatus(state, "done", False)
    placement.inventory.usage.resources_of_job = lambda job_id: (SMALL_CPUS, 0.0, SMALL_MEMORY_GB)
    placement.inventory.mark_changed(machine)
    request(placement, small_job("j-000001", 5))
    step(placement, 0.0)
    assert not reserved(placement, "j-000001")
    for task in (1, 3):
        del machine.tasks[AttemptId("j-000009", task, 1)]
    placement.inventory.mark_changed(machine)
    step(placement, 0.1)
    assert reserved(placement, "j-000001") == 2


def fill_with_small_tasks(placement: Placement, machine: Machine) -> None:
    """Let a machine run as many tasks of a preemptible array as its heartbeat can list."""
    placement.inventory.job_traits["j-000009"] = JobTraits(3, False, "u", "array", 0.0, 0.0, True)
    for task in range(agents.MAX_LISTED_TASKS):
        attempt_id = AttemptId("j-000009", task, 1)
        resources = (SMALL_CPUS, 0.0, SMALL_MEMORY_GB)
        machine.permits[attempt_id] = Permit(
            attempt_id, 0, machine.name, 1, 1, resources, "k", 1.0, run_token=1, running_since=0.0
        )
        machine.tasks[attempt_id] = TaskStatus("running", "", False)
    placement.inventory.mark_changed(machine)


def test_production_task_preempts_where_only_the_list_of_tasks_is_full() -> None:
    """The machine has capacity, but its heartbeat is full: one small task makes way."""
    placement = placement_on(1)
    (machine,) = placement.inventory.machines.values()
    fill_with_small_tasks(placement, machine)
    job = a_job("j-000001", kind="service", task_count=1, priority=0)
    placement.inventory.job_traits[job.id] = JobTraits(0, True, "t", "service", 0.0, 0.0, False)
    placement.request(0, job, CandidateUpdate(1, [0.0], None, []), True)
    step(placement, 0.0)
    (reservation,) = placement.reservations.by_job["j-000001"].values()
    assert len(reservation.victims) == 1


def test_run_waits_until_the_machine_can_list_another_task() -> None:
    """A new owner learns of permits and listed tasks from others: together they may be too many."""
    o = owner()
    token = EPOCH << TOKEN_BITS
    listed = [
        {"chick": f"j-000009/{task}", "hatch": 1, "stance": "ended", "cause": "done"}
        for task in range(agents.MAX_LISTED_TASKS - 1)
    ]
    machine = o.on_heartbeat(report(1, token, listed), 1.0)
    assert machine is not None
    for task in range(3):
        attempt_id = AttemptId("j-000001", task, 5)
        machine.permits[attempt_id] = Permit(
            attempt_id, 0, "n-1", EPOCH, 1, (1.0, 0.0, 1.0), "k", 1.0
        )
    runs = [command for command in o.commands_for(machine, 1.0) if command["call"] == "run"]
    assert len(runs) == 1
    again = [command for command in o.commands_for(machine, 1.1) if command["call"] == "run"]
    assert again == runs, "the run that was sent may be sent again, but no other"
    assert o.on_heartbeat(report(2, token, listed[:-2]), 2.0) is machine
    assert len([c for c in o.commands_for(machine, 2.0) if c["call"] == "run"]) == 3


def test_new_machines_are_planned_with_the_limit_of_tasks() -> None:
    slots = FreeSlots()
    pool = ("t", "a", False)
    slots.add(pool, MACHINE_TYPE.resources, 1)
    small = (SMALL_CPUS, 0.0, SMALL_MEMORY_GB)
    assert slots.pack(small, 2_000, pool) == agents.MAX_LISTED_TASKS


# -- preemption --------------------------------------------------------------------------------


def test_searches_for_preemptible_work_are_bounded_in_a_pass() -> None:
    """Each search looked at every task of every machine, up to 24 times in a pass."""
    work = []
    for machine_count in (60, 240):
        placement = placement_on(machine_count)
        for machine in placement.inventory.machines.values():
            fill_with_small_tasks(placement, machine)
        placement.inventory.refresh_changed(0.0)
        while placement.inventory.changed_machines:
            placement.inventory.refresh_changed(0.0)
        for index in range(40):
            # Wants a whole accelerator more than there is: no plan is found
            job = a_job(f"j-{index:06d}", task_count=1, priority=1, gpus=MACHINE_TYPE.gpus + 1)
            traits = JobTraits(1, True, "t", "array", 0.0, 0.0, True)
            placement.inventory.job_traits[job.id] = traits
            order = [1.0, 0.0, 1.0, float(index)]
            placement.request(0, job, CandidateUpdate(1, order, None, []), True)
        before = placement.preemption.work
        placement.place_waiting(0.0)
        work.append(placement.preemption.work - before)
        searches = placement.preemption.checks
        for _ in range(60):
            if not placement.is_unfinished:
                break
            placement.place_waiting(0.0)
        assert not placement.is_unfinished
        assert placement.preemption.checks <= 60 * machine_count + searches
    assert max(work) <= MAX_PASS_WORK + 2 * MAX_SEARCH_WORK
