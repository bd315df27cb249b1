"""Test that a source's work in one step stays bounded with large arrays and many jobs.

The tests count jobs and allocations visited, not time.
"""

from __future__ import annotations

from itertools import pairwise

import anyio

from ploverhall.controller.context import HeldShard
from ploverhall.protocol.peer_messages import (
    AttemptUpdate,
    CandidateUpdate,
    attempt_key,
    candidate_key,
)
from ploverhall.scheduling.permitting import (
    MAX_PERMITS_PER_DECISION,
    MAX_UNCOMMITTED_PERMITS,
    JobSource,
)
from ploverhall.scheduling.quota import MAX_CANDIDATES_PER_JOB
from ploverhall.scheduling.record_loader import MAX_RECORDS_PER_STEP
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.scheduling.step_queue import MAX_ITEMS_PER_STEP
from ploverhall.settings import Team

from .job_sources import EPOCH, a_job, offers
from .test_controller_loops import new_controller

FIRST_REVISION = 50


def source_with_jobs(job_count: int, task_count: int) -> JobSource:
    source = JobSource(0, EPOCH, [Team("t", 0, 0, 0, 0)], ("a",), 4096, 8)
    for index in range(job_count):
        job_id = f"j-{index:06d}"
        source.on_job(a_job(job_id, task_count=task_count), job_id, 5, 0.0)
    return source


def candidates(source: JobSource, job_id: str, now: float) -> int:
    """Return the number of candidates that a source requests for a job from each shard."""
    update = source.take_owner_updates(1, now)[0, candidate_key(job_id)]
    return CandidateUpdate(*update).waiting_tasks if update is not None else 0


def commit_all(source: JobSource, revision: int, now: float) -> int:
    """Commit all writes of a source, and return the last revision."""
    while (write := source.next_write()) is not None:
        revision += 1
        source.on_committed(write, revision, now)
    return revision


def test_job_has_a_bounded_number_of_candidates_until_its_permits_are_written() -> None:
    """All tasks of an array of 20,000 were requested, offered and decided on at once."""
    source = source_with_jobs(1, 20_000)
    assert candidates(source, "j-000000", 1.0) == MAX_CANDIDATES_PER_JOB
    source.on_owner_update(0, 3, False, offers(400, job="j-000000"), 1.0)
    source.decide(1.0)
    assert len(source.jobs["j-000000"].allocations) == 400
    unwritten_and_new = candidates(source, "j-000000", 1.0)
    assert unwritten_and_new == MAX_CANDIDATES_PER_JOB, "reservations of unwritten permits stay"
    commit_all(source, FIRST_REVISION, 1.1)
    source.on_owner_update(0, 3, False, offers(600, first=1000, job="j-000000"), 1.2)
    source.decide(1.2)
    assert len(source.jobs["j-000000"].allocations) == 400 + MAX_CANDIDATES_PER_JOB


def test_one_decision_issues_a_bounded_number_of_permits() -> None:
    """Offers for many jobs that arrived together were all decided on in one step."""
    source = source_with_jobs(40, 1_000)
    for index in range(40):
        job_id = f"j-{index:06d}"
        source.on_owner_update(0, 3, False, offers(200, first=1000 * index, job=job_id), 1.0)
    permitted = 0
    for _ in range(40):
        source.decide(1.0)
        before, permitted = permitted, source.store.uncommitted_count
        assert permitted - before <= MAX_PERMITS_PER_DECISION + MAX_CANDIDATES_PER_JOB
        if not source.is_unfinished:
            break
    shares = [len(job_state.allocations) for job_state in source.jobs.values()]
    assert permitted <= MAX_UNCOMMITTED_PERMITS + 40 * MAX_CANDIDATES_PER_JOB
    assert min(shares) > 0, "no job waits for all the permits of the others to be written"


def test_replicas_are_permitted_however_many_permits_of_arrays_are_unwritten() -> None:
    source = source_with_jobs(40, 1_000)
    for index in range(40):
        job_id = f"j-{index:06d}"
        source.on_owner_update(0, 3, False, offers(400, first=1000 * index, job=job_id), 1.0)
    while source.decide(1.0) or source.is_unfinished:
        pass
    assert source.store.uncommitted_count >= MAX_UNCOMMITTED_PERMITS
    service = a_job("j-900000", kind="service", task_count=50, priority=0)
    source.on_job(service, service.id, 5, 1.0)
    source.on_owner_update(0, 3, False, offers(50, first=90_000, job=service.id), 1.0)
    source.decide(1.0)
    assert len(source.jobs[service.id].allocations) == 50


def visits_to_permit(task_count: int) -> int:
    """Let an array's tasks all be permitted and written; return the number of visits."""
    source = source_with_jobs(1, task_count)
    revision, now, first = FIRST_REVISION, 1.0, 1
    before = source.store.visit_count
    job_state = source.jobs["j-000000"]
    while len(job_state.allocations) < task_count:
        source.on_owner_update(0, 3, False, offers(500, first=first, job="j-000000"), now)
        first += 500
        now += 0.1
        source.decide(now)
        revision = commit_all(source, revision, now)
        source.take_owner_updates(3, now)
    return source.store.visit_count - before


def test_permitting_an_array_takes_steps_linear_in_its_tasks() -> None:
    """Every permit searched all chunks of its team for one with room."""
    assert visits_to_permit(10_000) <= 12 * visits_to_permit(1_000)


def permitted_source(task_count: int, job_count: int = 1) -> JobSource:
    """Return a source of jobs with so many written permits each."""
    source = source_with_jobs(job_count, task_count)
    stored = {}
    per_chunk = 50
    for job_id in source.jobs:
        for first in range(0, task_count, per_chunk):
            records = [
                [task, 1, f"n-{task % 20}", 0, "a", 3, task]
                for task in range(first, first + per_chunk)
            ]
            stored[f"c/t/{len(stored)}"] = ({job_id: [[1.0, 1.0, 1.0], records]}, 20)
    source.record_loader.install_allocations("t", stored, 1.0)
    assert len(source.jobs["j-000000"].allocations) == task_count
    return source


def test_end_of_a_large_array_stops_its_attempts_in_bounded_steps() -> None:
    source = permitted_source(2 * MAX_ITEMS_PER_STEP)
    source.take_owner_updates(1, 1.0)
    source.on_job(None, "j-000000", 0, 1.0)
    steps = 0
    stopped = 0
    while True:
        updates = source.take_owner_updates(1, 1.0)
        now_stopped = sum(key[0] == "p" for _, key in updates)
        assert now_stopped <= MAX_ITEMS_PER_STEP
        stopped += now_stopped
        if not source.store.attempts_to_stop:
            break
        steps += 1
        source.decide(1.0)
        assert steps < 10
    assert stopped == 2 * MAX_ITEMS_PER_STEP
    attempts = source.jobs["j-000000"].allocations.values()
    assert all(allocation.stop_grace_s == 0.0 for allocation in attempts)


def test_attempts_of_a_job_that_is_live_again_are_not_stopped() -> None:
    """The watch may deliver a job again while its attempts are still queued to be stopped."""
    source = permitted_source(2 * MAX_ITEMS_PER_STEP)
    source.on_job(None, "j-000000", 0, 1.0)
    job = a_job("j-000000", task_count=2 * MAX_ITEMS_PER_STEP)
    source.on_job(job, job.id, 9, 1.0)
    for _ in range(3):
        source.decide(1.0)
    attempts = source.jobs["j-000000"].allocations.values()
    assert all(allocation.stop_grace_s is None for allocation in attempts)


def test_stored_allocations_are_installed_in_bounded_steps() -> None:
    """A takeover installed all allocations of a team in one step, before which no other ran."""
    source = source_with_jobs(1, 10_000)
    stored = {
        f"c/t/{index}": (
            {
                "j-000000": [
                    [1.0, 1.0, 1.0],
                    [[100 * index + n, 1, "n-1", 0, "a", 3, n] for n in range(100)],
                ]
            },
            20,
        )
        for index in range(100)
    }
    installed = [0]
    for _ in source.record_loader.install_in_steps("t", stored, 1.0):
        installed.append(len(source.jobs["j-000000"].allocations))
    assert len(source.jobs["j-000000"].allocations) == 10_000
    steps = [after - before for before, after in pairwise([*installed, 10_000])]
    assert max(steps) < MAX_RECORDS_PER_STEP + 100


def test_jobs_that_change_while_records_are_installed_are_not_missed() -> None:
    """Between two steps the watch delivers changes, but not to a source that is not published."""
    anyio.run(change_jobs_between_two_steps)


async def change_jobs_between_two_steps() -> None:
    controller = new_controller()
    context = controller.context
    team = context.settings.teams[0].name
    shard = context.shard_map.team_shard[team]
    source = JobSource(shard, EPOCH, [context.teams[team]], ("a",), 4096, 8)
    rng = context.random
    owner = ShardOwner(shard, EPOCH, 1, 10.0, 1.0, 5.0, 5, rng, 0.0)
    held = HeldShard(shard, EPOCH, owner)
    live_jobs = context.store_cache.live_jobs
    jobs = {job_id: a_job(job_id, team=team) for job_id in ("j-000001", "j-000002", "j-000003")}
    live_jobs["j-000001"] = (jobs["j-000001"], 5)
    live_jobs["j-000002"] = (jobs["j-000002"], 6)
    controller.allocation_writer._add_live_jobs(held, source, 1.0)
    del live_jobs["j-000001"]
    live_jobs["j-000003"] = (jobs["j-000003"], 7)
    controller.allocation_writer._add_live_jobs(held, source, 1.0)
    assert sorted(source.jobs) == ["j-000002", "j-000003"]
    assert source.jobs["j-000003"].version == 7


def test_full_sync_of_an_owner_is_handled_in_bounded_steps() -> None:
    """A source that took over handled the states of all attempts in one step."""
    task_count = 3 * MAX_ITEMS_PER_STEP
    source = permitted_source(task_count)
    states = {
        attempt_key(allocation.attempt_id): AttemptUpdate("running", "", 0, 0)
        for allocation in source.jobs["j-000000"].allocations.values()
    }
    source.on_owner_update(0, 3, True, states, 1.0)
    counts = [source.jobs["j-000000"].running_count]
    last = next(reversed(states))
    source.on_owner_update(0, 3, False, {last: AttemptUpdate("exited", "done", 0, 0)}, 1.0)
    while source.decide(1.0) or source.is_unfinished:
        counts.append(source.jobs["j-000000"].running_count)
        assert len(counts) < 10
    counts.append(source.jobs["j-000000"].running_count)
    assert max(after - before for before, after in pairwise([0, *counts])) <= MAX_ITEMS_PER_STEP
    assert counts[-1] == task_count - 1, "the exit that came later was handled last"
    assert source.jobs["j-000000"].done_count == 1


def test_jobs_that_end_together_share_the_bound_of_a_step() -> None:
    """Each of the jobs that ended in one step stopped as many attempts as the bound allows."""
    source = permitted_source(2 * MAX_ITEMS_PER_STEP, job_count=2)
    source.take_owner_updates(1, 1.0)
    for job_id in list(source.jobs):
        source.on_job(None, job_id, 0, 1.0)
    updates = source.take_owner_updates(1, 1.0)
    assert sum(key[0] == "p" for _, key in updates) <= MAX_ITEMS_PER_STEP
