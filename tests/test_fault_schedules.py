"""Test random overlapping faults: every rule holds, and every job is answered once they are over.

Run more with `python -m tests.simulation.fault_schedules --seeds 300`.
"""

from __future__ import annotations

import contextlib
from random import Random
from typing import Any

import anyio
import pytest

from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.coordination.restart_recovery import RenewalGrants
from ploverhall.errors import UnreachableError
from ploverhall.protocol.key_value_store import KeyValueStore
from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.permit_table import PermitTable

from .removed_guards import check_gone_without_fencing_tokens, fresh_read_without_reading
from .simulation.active_fault import MACHINE_KINDS, ActiveFault
from .simulation.cluster import SimulatedCluster
from .simulation.fault_schedules import (
    ANSWERED_WITHIN_S,
    Fault,
    FaultSchedule,
    broken_rule,
    draw_schedule,
    minimize_schedule,
    run_faults,
    run_schedule,
)
from .simulation.scene import play
from .simulation.simulated_network import HOLD, RESET


@pytest.mark.parametrize("seed", range(10))
def test_random_overlapping_faults_break_no_rule(seed: int) -> None:
    run_schedule(seed)


@pytest.mark.parametrize("seed", range(100, 106))
def test_late_writes_and_heartbeats_during_crashes_and_partitions_break_no_rule(seed: int) -> None:
    run_schedule(seed, ("late_writes", "late_reports", "crash", "alone", "outage", "roll"))


@pytest.mark.parametrize("seed", range(200, 206))
def test_agents_that_receive_late_or_nothing_during_leader_changes_break_no_rule(seed: int) -> None:
    run_schedule(seed, ("deaf", "held_up", "crash", "pause", "no_workers", "late_reports"))


@pytest.mark.parametrize("seed", range(300, 304))
def test_slow_state_service_gives_no_stale_or_early_answer(seed: int) -> None:
    """No controller reverts "done" or "withdrawn", or acknowledges early, and every request is
    answered once the faults are over.
    """
    run_schedule(seed, ("slow", "refuse", "outage", "late_writes"))


@pytest.mark.parametrize("seed", range(400, 406))
def test_lost_answers_frequent_polls_and_unresponsive_agents_break_no_rule(seed: int) -> None:
    run_schedule(
        seed,
        (
            "for_next",
            "lost_answers",
            "cloud",
            "mute",
            "hang",
            "cancel_and_hang",
            "cancel_at_end",
            "close_looks",
            "odd_requests",
            "crash",
        ),
    )


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("kept", [True, False])
def test_tasks_that_end_under_different_leaders_are_counted_once(
    seed: int, kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One of three tasks ends under each of three leaders, with late writes in between.

    No task whose end is recorded starts again, and the job is done when all tasks have ended. If an
    end is counted twice, the simulation must report it.
    """
    if not kept:
        real = JobState.mark_done

        def count_first_end_twice(
            self: JobState, task: int
        ) -> None:  # counts the first end once more
            before = self.done_count
            real(self, task)
            self.done_count += before == 0 and self.task_count == 3

        monkeypatch.setattr(JobState, "mark_done", count_first_end_twice)

    async def scene(cluster: SimulatedCluster) -> None:
        rng, jobs = Random(seed), [f"j-{700 + i:06d}" for i in range(8)]
        for job_id in jobs:
            cluster.fleet.extra_s.update({(job_id, 0): 0.0, (job_id, 1): 22.0, (job_id, 2): 50.0})
            await cluster.submit(
                cluster.spec(int(job_id[2:]), gait="array", chicks=3, flightS=2.0, pullGb=0.1)
            )
        await anyio.sleep(7.0 + 3.0 * rng.random())
        for _ in range(3):
            cluster.late_writes = rng.choice([0.0, 0.5])
            for name in rng.sample(cluster.names, rng.choice([1, 2, 3])):
                cluster.tasks.start_soon(cluster.crash, name, rng.choice([0.1, 1.0, 6.0]))
            await anyio.sleep(6.0)
            cluster.late_writes = 0.0
            await anyio.sleep(12.0)
        await anyio.sleep(45.0)
        missing = await cluster.all_answered(ANSWERED_WITHIN_S)
        assert not missing
        assert all(cluster.told.get(j) == "done" for j in jobs), "a job was not reported as done"
        assert all(cluster.fleet.start_counts[j, 0] == 1 for j in jobs), (
            "a task that had ended was started again"
        )

    if kept:
        play(scene, seed)
    else:
        with pytest.raises(AssertionError, match="not_done"):
            play(scene, seed)


@pytest.mark.parametrize("mode", [HOLD, RESET])
def test_partitioned_leader_gives_no_stale_answer_and_accepts_nothing(mode: str) -> None:
    """Only agents and users reach the leader; jobs are cancelled through the others, and the
    leader's cancelled tasks end in time.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        for n in range(800, 808):
            await cluster.submit(cluster.spec(n, gait="daemon", chicks=2))
        await anyio.sleep(8.0)
        for other in ("state", "c1", "c2"):
            cluster.net.cut("c0", other, mode, 110.0)
        for n in range(800, 804):
            cluster.tasks.start_soon(cluster.withdraw, f"j-{n:06d}")
        at, i = cluster.now, 0
        while cluster.now - at < 100.0:
            i += 1
            job_id = f"j-{800 + i % 8:06d}"
            with contextlib.suppress(UnreachableError):
                status, answer = await cluster.users["c0"].call(
                    "GET", f"/api/jobs/{job_id}", None, 2.0
                )
                assert status != 404 and (
                    job_id not in cluster.cancelled
                    or status != 200
                    or answer["stance"] == "withdrawn"
                )  # type: ignore[index]
            with contextlib.suppress(UnreachableError):
                status, _ = await cluster.users["c0"].call(
                    "POST", "/api/jobs", cluster.spec(950, gait="array"), 4.0
                )
                assert status in (429, 503), "accepted a job that can't be written"
            await anyio.sleep(1.5)
        assert len(cluster.cancelled) == 4, (
            "not acknowledged by the others once the leader must have stopped"
        )
        await anyio.sleep(50.0)
        assert not await cluster.all_answered(ANSWERED_WITHIN_S)

    play(scene)


@pytest.mark.parametrize("own", [True, False])
@pytest.mark.parametrize(("kind", "seed"), [("gap", "1"), ("gap", "2"), ("roll", "1")])
def test_faults_that_have_not_begun_end_with_the_schedule(own: bool, kind: str, seed: str) -> None:
    """A fault drawn late began its outage after all faults had been ended, and the schedule failed
    as `forgotten`. That still happens when the faults have no task group of their own.
    """
    after: list[str] = []

    async def scene(cluster: SimulatedCluster) -> None:
        day = FaultSchedule([Fault(0.0, kind, seed)], 1.0)
        if own:
            await run_faults(cluster, day)
        else:
            cluster.tasks.start_soon(ActiveFault(cluster, Random(seed)).begin, kind)
            await anyio.sleep(day[1])
            cluster.end_all_faults()
            while cluster.down:
                await anyio.sleep(0.1)
        at = cluster.now
        while cluster.now - at < 90.0:
            after.extend(["outage"] if cluster.state.down else sorted(cluster.down))
            await anyio.sleep(0.1)

    play(scene)
    assert bool(after) is not own, after[:3]


def test_failing_schedule_is_shrunk_to_the_fewest_faults_that_still_fail() -> None:
    """Two of fourteen faults break a rule together; other rules that fewer of them break must not
    count.
    """
    faults, until = draw_schedule(1000, times=3)
    a, b, c = faults[1], faults[-2], faults[4]

    def broken(days: list[FaultSchedule]) -> list[str]:
        return [
            "AssertionError: ['quota: x']"
            if c in d and b not in d
            else "Broken: ['ran_twice: x']"
            if a in d and b in d
            else ""
            for d, _ in days
        ]

    assert minimize_schedule(
        FaultSchedule(faults, until), broken, broken_rule("['ran_twice: j-1']")
    ) == ([a, b], until)


def compare_and_swap_without(*keys: str) -> Any:
    """Return a `compare_and_swap` without the guards on known keys with these prefixes."""
    real = KeyValueStore.compare_and_swap

    async def txn(self: KeyValueStore, guards: dict[str, int], *a: Any, **kw: Any) -> Any:
        return await real(
            self, {k: v for k, v in guards.items() if not (k.startswith(keys) and v)}, *a, **kw
        )

    return txn


def always_true(*_: Any) -> bool:
    return True


def always_false(*_: Any) -> bool:
    return False


def long_renewal_grant(*_: Any) -> float:
    return 100.0


@pytest.mark.parametrize(
    ("seed", "kinds", "rule", "where", "name", "without"),
    [
        (
            501,
            ("held_up", "deaf", "crash", "pause"),
            "ran_twice",
            PermitTable,
            "check_gone",
            check_gone_without_fencing_tokens,
        ),
        (
            505,
            ("late_writes", "slow", "crash"),
            "ran_twice",
            KeyValueStore,
            "compare_and_swap",
            compare_and_swap_without("c/", "p/shard/"),
        ),
        (
            501,
            ("late_writes", "cancel_at_end", "slow"),
            "went_back",
            KeyValueStore,
            "compare_and_swap",
            compare_and_swap_without("p/job/"),
        ),
        (
            501,
            ("alone", "gap", "pause", "slow"),
            "forgotten",
            StoreWatch,
            "fresh_read",
            fresh_read_without_reading,
        ),
        (
            503,
            ("zone", "alone", "gap"),
            "ran_cancelled",
            CancellationBarrier,
            "may_acknowledge",
            always_true,
        ),
        (
            503,
            ("zone", "alone", "gap"),
            "ran_cancelled",
            CancellationBarrier,
            "isolated",
            always_false,
        ),
        (505, ("zone", "crash"), "ran_cancelled", RenewalGrants, "remaining_s", long_renewal_grant),
        (
            502,
            ("alone", "late_reports", "no_workers"),
            "ran_twice",
            Machine,
            "accepted_token",
            property(always_true, lambda *_: None),
        ),
    ],
    ids=[
        "token",
        "chunk and epoch",
        "job's version",
        "proof",
        "telling at once",
        "answering without a sign",
        "right in the token",
        "took",
    ],
)
def test_random_schedule_breaks_a_rule_without_each_guard(
    seed: int,
    kinds: tuple[str, ...],
    rule: str,
    where: type,
    name: str,
    without: Any,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each row removes one of these guards.

    An attempt that a task list omits is gone only under a raised token, and silence proves it gone
    only for an agent that accepted this owner's token. Writes are compare-and-swap. No user gets an
    answer from a stale cache or an early acknowledgement. No agent is kept alive by an isolated
    controller, or for longer than its token allows. The seeds were found without copied commands.
    """
    monkeypatch.setattr(where, name, without)
    schedule = draw_schedule(seed, kinds, copied_commands=False)
    with pytest.raises(AssertionError, match=rule):
        run_schedule(seed, kinds, schedule=schedule)


@pytest.mark.parametrize("seed", [5002])
def test_random_machine_faults_leave_no_job_waiting(seed: int) -> None:
    """No job is left waiting at the end of any random schedule.

    Run more with `python -m tests.simulation.fault_schedules --only mute --only hang ...`.
    """
    run_schedule(seed, (*MACHINE_KINDS, "crash", "alone", "late_writes"))
