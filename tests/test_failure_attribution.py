"""Test the attribution of failures to a job, a single task or a single machine."""

from __future__ import annotations

from ploverhall.protocol import agents, peer_messages
from ploverhall.protocol.peer_messages import (
    CandidateUpdate,
    JobUpdate,
)

from .job_sources import a_job, play_outcomes, source
from .shard_owners import failed_on, owner


def test_job_that_fails_on_two_machines_is_retried_with_growing_delays() -> None:
    s = source(limit=30.0)
    s.on_job(a_job("j-000001", task_count=12, submitted_at=0.0), "j-000001", 5, 0.0)
    starts = play_outcomes(s, 300, lambda job, task, machine, now: "error")
    js = s.jobs["j-000001"]
    assert js.failing_everywhere and not s.unmet_demand.demand(300.0, 300.0), (
        "machines are rented for a job that fails everywhere"
    )
    assert len({m for at, _, _, m in starts if at < 5.0}) >= 2
    assert len([at for at, *_ in starts if at > 5.0]) <= 7, (
        "expected one task at a time with growing delays"
    )
    assert s.store.queue_order(js)[0] == 2.0, "expected the end of the queue for a failing job"


def test_job_that_works_again_resumes_at_once() -> None:
    s = source(limit=30.0)
    s.on_job(a_job("j-000001", task_count=12), "j-000001", 5, 0.0)
    play_outcomes(s, 30, lambda job, task, machine, now: "error")
    starts = play_outcomes(s, 100, lambda job, task, machine, now: "done", first=30)
    assert "j-000001" in s.store.jobs_to_end or "j-000001" not in s.jobs
    assert len(starts) == 12 and starts[-1][0] - starts[0][0] < 5.0, (
        "once one task has succeeded, the rest must start"
    )


def test_one_bad_task_and_one_bad_machine_do_not_slow_a_long_array() -> None:
    s = source(limit=30.0)
    s.on_job(a_job("j-000001", task_count=60), "j-000001", 5, 0.0)
    starts = play_outcomes(
        s, 60, lambda job, task, machine, now: "error" if task == 7 or machine == "n-3" else "done"
    )
    js = s.jobs["j-000001"]
    assert js.done_count == 59 and not js.failing_everywhere
    assert max(at for at, _, task, _ in starts if task != 7) < 10.0, (
        "other tasks waited for the failing one"
    )
    assert 4 <= sum(1 for _, _, task, _ in starts if task == 7) <= 9, (
        "expected a growing delay for the failing task"
    )


def test_failing_job_leaves_the_guarantee_to_others() -> None:
    s = source(limit=30.0)
    s.on_job(a_job("j-000001", task_count=4, submitted_at=0.0), "j-000001", 5, 0.0)
    s.on_job(a_job("j-000002", task_count=4, submitted_at=1.0), "j-000002", 6, 0.0)
    s.decide(0.0)
    assert s.jobs["j-000001"].within_guarantee and not s.jobs["j-000002"].within_guarantee, (
        "both jobs together exceed the guarantee"
    )
    play_outcomes(s, 5, lambda job, task, machine, now: "error" if job == "j-000001" else "running")
    assert not s.jobs["j-000001"].within_guarantee and s.jobs["j-000002"].within_guarantee


def test_two_failing_jobs_quarantine_no_healthy_machine() -> None:
    o = owner()
    for seq, (job, machine) in enumerate(
        [("j-1", "n-1"), ("j-1", "n-2"), ("j-2", "n-1"), ("j-2", "n-3")], 1
    ):
        failed_on(o, job, machine, seq)
    one = o.machines["n-1"]
    assert o.inventory.unusable(one, 5.0), "a suspect machine must get no new tasks"
    assert not o.machine_update(one, 5.0).faulty, "a suspect machine must not be returned yet"  # type: ignore[union-attr]
    for job in ("j-1", "j-2"):
        o.on_source_update(
            0,
            False,
            {peer_messages.job_key(job): JobUpdate(a_job(job).record(), [1.0, 1.0, 1.0], 0, 1)},
            5.0,
        )
    assert not one.quarantined_until and not one.failures_by_job
    failed_on(o, "j-1", "n-1", 9, broken=1)
    assert not one.failures_by_job, (
        "a later failure of a broken job must not count against the machine"
    )


def test_machine_on_which_two_healthy_jobs_fail_is_returned() -> None:
    o = owner()
    failed_on(o, "j-1", "n-1", 1)
    failed_on(o, "j-2", "n-1", 2)
    assert o.attempt_update(o.permits[agents.AttemptId("j-2", 0, 2)]).machine_suspect, (
        "the failure must not count against the job"
    )
    o.epoch_confirmed_at = 99.0
    o.advance_time(30.0)
    assert o.machine_update(o.machines["n-1"], 30.0) is None or o.machines["n-1"].replacement_due


def test_failing_job_preempts_nothing() -> None:
    o = owner()
    failed_on(o, "j-1", "n-1", 1)
    failed_on(o, "j-2", "n-1", 2, stance="running")
    o.place_candidates(2.0)
    for broken in (0, 1):
        news = JobUpdate(a_job("j-9", priority=0).record(), [1.0, 1.0, 1.0], 1, broken)
        o.on_source_update(
            0,
            False,
            {
                peer_messages.job_key("j-9"): news,
                peer_messages.candidate_key("j-9"): CandidateUpdate(
                    1, [0.0, 0.0, 0.0, 0.0], None, []
                ),
            },
            2.0,
        )
        assert o.placement.preemption.could_preempt(
            o.placement.reservations.requests["j-9"]
        ) is not bool(broken)
