"""Measures the steps that the event loop runs without a pause, and names those that stall it.

Nothing else runs during such a step: no lease is renewed and no request is answered. The parts of
the controller wrap their longer steps in `StepTimer.measure`; the scheduling loop detects stalls
and asks for the longest step meanwhile, `shard_status` reports the longest recent one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from ploverhall import log

SLOW_STEP_S = 0.25  # a longer step is logged


class MeasuredStep(NamedTuple):
    """A step that has ended."""

    name: str
    seconds: float
    ended_at: float  # seconds of the steady clock


class StepTimer:
    """Measures the steps of one controller."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.longest: MeasuredStep | None = None  # since the last call of `take_longest`
        self.slowest: MeasuredStep | None = None  # the longest of the recent slow steps

    @contextmanager
    def measure(self, name: str) -> Iterator[None]:
        """Measure the enclosed step, which must not await anything; log it if it is slow."""
        started_at = self.clock()
        try:
            yield
        finally:
            ended_at = self.clock()
            self._record(MeasuredStep(name, ended_at - started_at, ended_at))

    def _record(self, step: MeasuredStep) -> None:
        if self.longest is None or step.seconds > self.longest.seconds:
            self.longest = step
        if step.seconds <= SLOW_STEP_S:
            return
        log.warn("slow step", step=step.name, seconds=round(step.seconds, 2))
        if self.slowest is None or step.seconds >= self.slowest.seconds:
            self.slowest = step

    def take_longest(self) -> MeasuredStep | None:
        """Return the longest step since the previous call; None if there was none."""
        longest, self.longest = self.longest, None
        return longest

    def slowest_since(self, earliest: float) -> MeasuredStep | None:
        """Return the longest slow step; None if it ended before `earliest`, which forgets it."""
        if self.slowest is not None and self.slowest.ended_at < earliest:
            self.slowest = None
        return self.slowest
