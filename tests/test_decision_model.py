"""Test the real decision code in a simulated environment with seeded faults.

Every rule is checked after each step.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.scheduling.quota import TeamQuotas
from ploverhall.scheduling.shard_owner import ShardOwner

from .decision_model_runs import any_seed_breaks, run_with_faults
from .simulation.decision_model import DecisionModel, draw_job
from .simulation.task_rules import RuleBrokenError


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_and_everything_finishes(seed: int) -> None:
    w = run_with_faults(seed)
    left = w.live()
    assert not left, f"not finished: {left}"
    left_over = w.store.permits()
    assert not left_over, f"permits left over: {left_over}"
    assert not any(x.tasks for x in w.workers.values()), "agents still hold tasks"
    assert w.starts > 10


@pytest.mark.parametrize("seed", range(40, 46))
def test_stalled_controllers_break_no_rule(seed: int) -> None:
    """Any step may stall for a second up to three leases, and watches may hang.

    Every rule holds, and all jobs finish.
    """
    w = run_with_faults(seed, kinds=(4, 5))
    assert not w.live() and not w.store.permits()


@pytest.mark.parametrize("seed", range(100, 106))
def test_small_values_are_chunked(seed: int) -> None:
    """With many chunks per team, a late write must not add a second permit for a task whose permit
    is in another chunk.
    """
    w = run_with_faults(seed, value_bytes=400, txn_ops=4)
    assert not w.live()
    assert not w.store.permits()


@pytest.mark.parametrize("guard", ["silence counts as gone", "no limit", "no zones"])
def test_decision_model_reports_a_missing_guard(
    guard: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without one guard the model must report a broken rule; otherwise it checks nothing."""
    if guard == "silence counts as gone":
        real = ShardOwner.advance_time

        def tick(self: ShardOwner, now: float) -> None:
            for m in self.machines.values():
                if now - m.last_heartbeat_at > 3.0:
                    for p in m.permits.values():
                        p.gone = True
                        self.changed_attempts.add(p.attempt_id)
            real(self, now)

        monkeypatch.setattr(ShardOwner, "advance_time", tick)
    elif guard == "no limit":
        monkeypatch.setattr(TeamQuotas, "quota_headroom", lambda self, js: 1000)
    else:
        monkeypatch.setattr(TeamQuotas, "zone_limits", lambda self, js: None)
    assert any_seed_breaks()


@pytest.mark.parametrize("guarded", [True, False])
def test_resumed_controller_proves_nothing_by_its_clock(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A controller stalls, another one acquires its shard and keeps its tasks alive, and the source
    learns of neither. Without the guard this breaks `ran_twice`.
    """
    if not guarded:
        real = ShardOwner.advance_time

        def advance_time_with_confirmed_epoch(self: ShardOwner, now: float) -> None:
            self.epoch_confirmed_at = now
            real(self, now)

        monkeypatch.setattr(ShardOwner, "advance_time", advance_time_with_confirmed_epoch)
        monkeypatch.setattr(ShardOwner, "on_event_loop_stall", lambda self, s, now: None)
    w = DecisionModel(3, machines=16, fault_intensity=0.0)
    team = next(t for t, shard in w.layout.team_shard.items() if shard == 2)
    for i in range(3):
        job = draw_job(Random(1), f"j-{i:06d}", 0.0)
        w.submit(
            replace(
                job,
                team=team,
                kind="service",
                task_count=3,
                gpus=1.0,
                spread_zones=False,
                single_zone=False,
                spot=False,
                zone="a",
            )
        )
    w.run(10.0)
    first, source = w.nodes[0], w.nodes[2]
    assert any(
        w.layout.shard_of_machine(x.zone, x.name) == 0 and x.tasks for x in w.workers.values()
    ), "no task runs on shard 0"
    w.fault_intensity = 1e-9  # watches may hang; nothing else goes wrong
    w.kinds = ()
    first.stalled_until, first.watch_hangs_until, source.watch_hangs_until = (
        w.now + 13.0,
        w.now + 40.0,
        w.now + 40.0,
    )
    w.cuts["c1", "c2"] = w.now + 40.0
    if guarded:
        w.run(60.0)
        assert w.starts == 9
    else:
        with pytest.raises(RuleBrokenError, match="ran_twice"):
            w.run(60.0)


def cancel_in_partitioned_zone(guarded: bool) -> DecisionModel:
    """Partition a controller with its zone for longer than `cancel_s`, and cancel a job there."""
    w = DecisionModel(5, machines=16, fault_intensity=0.0, cut_off=100.0)
    job = replace(
        draw_job(Random(1), "j-000001", 0.0),
        team="team-0",
        kind="service",
        task_count=4,
        gpus=1.0,
        spread_zones=True,
        single_zone=False,
        spot=False,
    )
    w.submit(job)
    w.run(10.0)
    w.fault_intensity, w.kinds = 1e-9, ()
    w.partition_zone(w.nodes[1], 80.0)
    w.run(15.0)
    w.withdraw(job.id)
    w.run(18.0)
    assert guarded == (job.id not in w.cancelled), (
        "acknowledged while a controller that could still run it has not read of it"
    )
    w.run(60.0)
    assert any(k[0] == job.id for x in w.workers.values() for k in x.on_machine()), (
        "the partitioned zone can't know of the cancellation and runs on"
    )
    return w


def test_cancellation_is_acknowledged_once_a_partitioned_controller_must_have_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    w = cancel_in_partitioned_zone(True)
    w.run(200.0)
    assert w.cancelled and not any(x.on_machine() for x in w.workers.values())
    monkeypatch.setattr(CancellationBarrier, "may_acknowledge", lambda self, version, now: True)
    with pytest.raises(RuleBrokenError, match="ran_cancelled"):
        cancel_in_partitioned_zone(False).run(200.0)


@pytest.mark.parametrize("seed", range(200, 206))
def test_partitioned_zones_break_no_rule(seed: int) -> None:
    w = run_with_faults(seed, kinds=(0, 2, 7, 7))
    assert not w.live() and not w.store.permits()


@pytest.mark.parametrize("seed", range(300, 306))
def test_a_refused_controller_and_then_an_outage_break_no_rule(seed: int) -> None:
    """Jobs cancelled before the outage may be acknowledged during it, with crashes in between."""
    w = run_with_faults(seed, kinds=(9, 9, 0))
    assert not w.live() and not w.store.permits()
