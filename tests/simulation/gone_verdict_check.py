"""Check every verdict that an attempt is gone against what is on the machine at that moment."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

from ploverhall.scheduling.gone_verdicts import GoneVerdict, GoneVerdicts

from . import parameters
from .model_agent import ENDED, LEASE_TOLERANCE_S, ModelAgent

MAX_WRONG_VERDICTS = 20  # that are described; all are counted


class GoneVerdictCheck:
    """Counts the verdicts of a simulation, and describes the wrong ones."""

    def __init__(self) -> None:
        self.verdict_count = 0
        self.wrong_count = 0
        self.wrong: list[str] = []

    def check(self, agent: ModelAgent | None, verdict: GoneVerdict, now: float) -> None:
        """Count a verdict; it is wrong if its evidence is older or the attempt is still there."""
        self.verdict_count += 1
        fault = "" if verdict.is_supported else "without evidence"
        if agent is not None and _may_run_on(agent, verdict, now):
            fault = "but is on its machine"
        if fault:
            self.wrong_count += 1
            if len(self.wrong) < MAX_WRONG_VERDICTS:
                self.wrong.append(f"gone {fault}: {verdict} at {now}")


def _may_run_on(agent: ModelAgent, verdict: GoneVerdict, now: float) -> bool:
    """Return whether an attempt fetches, waits or runs on a machine whose lease is not over."""
    if now - agent.answered_sent > parameters.LEASE_S + LEASE_TOLERANCE_S:
        return False
    task = agent.tasks.get(verdict.attempt_id)
    return task is not None and task.state != ENDED


@contextlib.contextmanager
def checking_gone_verdicts(
    check: GoneVerdictCheck, agent_of: Callable[[str], ModelAgent | None]
) -> Iterator[None]:
    """Check the verdicts of all shard owners while the context lasts.

    `agent_of` returns a machine's agent by its name; None if the machine is gone.
    """
    record = GoneVerdicts.record

    def record_and_check(self: GoneVerdicts, verdict: GoneVerdict) -> None:
        record(self, verdict)
        agent = agent_of(verdict.machine)
        check.check(agent, verdict, agent.world.now if agent is not None else 0.0)

    with mock.patch.object(GoneVerdicts, "record", record_and_check):
        yield
