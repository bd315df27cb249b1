"""Test that an owner handles changes of very many tasks over several steps."""

from __future__ import annotations

from typing import Any

from ploverhall.protocol import agents, peer_messages
from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.peer_messages import JobUpdate, PermitUpdate
from ploverhall.scheduling.inventory import MAX_REFRESH_WORK
from ploverhall.scheduling.shard_owner import (
    MAX_ATTEMPT_UPDATES_PER_STEP,
    TOKEN_BITS,
    ShardOwner,
)
from ploverhall.scheduling.step_queue import MAX_ITEMS_PER_STEP

from .job_sources import a_job
from .shard_owners import EPOCH, owner

JOB = "j-000001"
TASKS = 3 * MAX_ITEMS_PER_STEP


def full_sync(task_count: int) -> dict[str, Any]:
    job = a_job(JOB, task_count=task_count, cpus=0.001, gpus=0.0, memory_gb=0.001)
    changes: dict[str, Any] = {
        peer_messages.job_key(JOB): JobUpdate(job.record(), list(job.resources), 0, 0)
    }
    for task in range(task_count):
        permit = PermitUpdate("n-1", EPOCH - 1, task, None)
        changes[peer_messages.permit_key(AttemptId(JOB, task, 1))] = permit
    return changes


def finish(o: ShardOwner) -> list[int]:
    """Step an owner until no operation waits; return the numbers of operations of the steps."""
    steps = []
    while o.source_requests.pending:
        assert o.has_unfinished_work
        before = len(o.source_requests.pending)
        o.advance_time(1.0)
        steps.append(before - len(o.source_requests.pending))
        assert len(steps) < 100
    return steps


def test_full_sync_is_applied_in_bounded_steps() -> None:
    """A new owner applied all 100,000 permits of a source in one step."""
    o = owner()
    o.on_source_update(0, True, full_sync(TASKS), 1.0)
    assert len(o.permits) < MAX_ITEMS_PER_STEP
    assert 0 not in o.synced_sources, "tasks of permits that are still waiting would be killed"
    late_key = peer_messages.permit_key(AttemptId(JOB, TASKS - 1, 1))
    o.on_source_update(0, False, {late_key: None}, 1.0)
    assert max(finish(o)) <= MAX_ITEMS_PER_STEP
    assert 0 in o.synced_sources
    assert len(o.permits) == TASKS - 1, "the deletion that came later was applied last"


def test_small_update_is_applied_at_once() -> None:
    o = owner()
    o.on_source_update(0, True, full_sync(10), 1.0)
    assert len(o.permits) == 10 and 0 in o.synced_sources and not o.has_unfinished_work


def test_kinds_of_later_releases_are_ignored() -> None:
    o = owner()
    o.on_source_update(0, False, {"xj-000001": [1], "stop": [2], "synced": None}, 1.0)
    assert not o.permits and not o.synced_sources and not o.has_unfinished_work


def test_end_of_a_large_array_stops_its_tasks_in_bounded_steps() -> None:
    """The end of an array stopped all of its 100,000 tasks in one step of every controller."""
    o = owner()
    o.on_source_update(0, True, full_sync(TASKS), 1.0)
    finish(o)
    o.job_ended(JOB, 1.0)
    stopped = [permit for permit in o.permits.values() if permit.stop_grace_s == 0.0]
    assert 0 < len(stopped) <= MAX_ITEMS_PER_STEP
    assert max(finish(o)) <= MAX_ITEMS_PER_STEP
    assert all(permit.stop_grace_s == 0.0 for permit in o.permits.values())


def owner_with_machines(count: int, tasks_each: int) -> tuple[ShardOwner, int]:
    """Return an owner after heartbeats of machines that run permitted tasks, and their number."""
    o = owner()
    changes = full_sync(1)
    for index in range(count):
        for task in range(index * tasks_each, (index + 1) * tasks_each):
            permit = PermitUpdate(f"n-{index}", EPOCH - 1, task, None)
            changes[peer_messages.permit_key(AttemptId(JOB, task, 1))] = permit
    o.on_source_update(0, True, changes, 1.0)
    finish(o)
    for index in range(count):
        heartbeat = agents.heartbeat_from_json(
            {
                "perch": f"n-{index}",
                "endpoint": "x:1",
                "breed": "t",
                "marsh": "a",
                "tide": 1,
                "peep": 1,
                "crest": EPOCH << TOKEN_BITS,
                "chicks": [
                    {"chick": f"{JOB}/{task}", "hatch": 1, "stance": "running"}
                    for task in range(index * tasks_each, (index + 1) * tasks_each)
                ],
            }
        )
        assert o.on_heartbeat(heartbeat, 1.0) is not None
    return o, count * tasks_each


def test_heartbeats_that_arrive_together_are_followed_up_in_bounded_steps() -> None:
    """After a failover or a stall, one step read all attempts of all machines, and sent an update
    of each.
    """
    o, task_count = owner_with_machines(60, 400)
    inventory = o.inventory
    visits, sent = [], []
    while True:
        before = inventory.usage.visit_count
        o.place_candidates(1.0)
        visits.append(inventory.usage.visit_count - before)
        sent.append(len(o.take_source_updates()))
        assert len(sent) < 100
        for machine in inventory.machines.values():
            if machine.name in inventory.changed_machines:
                assert machine.index_bucket is None, "its free capacity is not known yet"
        if not o.has_unfinished_work:
            break
    # The machines are read twice in a step, the second time those with expired reservations
    assert max(visits) <= 2 * (MAX_REFRESH_WORK + 2 * 400)
    assert max(sent) <= MAX_ATTEMPT_UPDATES_PER_STEP
    assert sum(sent) >= task_count
    assert all(machine.index_bucket is not None for machine in inventory.machines.values())
