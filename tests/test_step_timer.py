"""Test that operators are told how long the event loop stalled, and in which step."""

from __future__ import annotations

import pytest

from ploverhall.controller.step_timer import SLOW_STEP_S, StepTimer
from ploverhall.status import RECENT_STALL_S, conditions

from .test_controller_loops import new_controller


class SteppedClock:
    """A clock that tests move by hand."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def test_longest_step_is_taken_once() -> None:
    clock = SteppedClock()
    timer = StepTimer(clock)
    for name, seconds in (("placement", 0.1), ("permitting", 0.2), ("evictions", 0.05)):
        with timer.measure(name):
            clock.now += seconds
    longest = timer.take_longest()
    assert longest is not None and longest.name == "permitting"
    assert longest.seconds == pytest.approx(0.2)
    assert timer.take_longest() is None
    assert timer.slowest_since(0.0) is None, "none was slow"


def test_step_that_fails_is_measured() -> None:
    clock = SteppedClock()
    timer = StepTimer(clock)
    with pytest.raises(ValueError), timer.measure("placement"):
        clock.now += 1.0
        raise ValueError
    longest = timer.take_longest()
    assert longest is not None and longest.seconds == pytest.approx(1.0)


def test_stall_and_its_step_are_logged_and_reported(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A placement pass stalled the loop for a minute; the log named a host without processor time
    as the only cause, and nothing named the step.
    """
    controller = new_controller()
    clock = SteppedClock()
    monkeypatch.setattr(controller.context, "clock", clock)
    timer = StepTimer(clock)
    controller.context.step_timer = timer
    with timer.measure("placement"):
        clock.now += 12.0
    assert clock.now - 1000.0 > SLOW_STEP_S
    controller._on_event_loop_stall(12.0, clock.now, timer.take_longest())
    logged = capsys.readouterr().err
    assert "warning slow step step=placement seconds=12.0\n" in logged
    assert "event loop stalled seconds=12.0 shards=- step=placement step_s=12.0\n" in logged
    clock.now += 3.0
    report = controller.shard_status.report()
    assert report["stood_still"] == [3.0, 12.0]
    assert report["slow_step"] == [3.0, 12.0, "placement"]
    assert (
        "one step of its event loop, placement, took 12.00 s, 3 s ago"
        in (conditions(report)["~slow"])
    )
    clock.now += RECENT_STALL_S
    assert "slow_step" not in controller.shard_status.report()
