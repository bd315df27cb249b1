"""Test that a source's work in one step stays bounded with large arrays and many jobs.

The tests count jobs and allocations visited, not time.
"""

from __future__ import annotations

from ploverhall.protocol.peer_messages import CandidateUpdate, candidate_key
from ploverhall.scheduling.permitting import (
    MAX_PERMITS_PER_DECISION,
    MAX_UNCOMMITTED_PERMITS,
    JobSource,
)
from ploverhall.scheduling.quota import MAX_CANDIDATES_PER_JOB
from ploverhall.settings import Team

from .job_sources import EPOCH, a_job, offers

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
