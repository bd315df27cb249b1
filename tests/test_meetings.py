"""Two or three troubles at once, drawn (tests/meetings.py): every rule holds, and every job is answered for when they are over.

Hundreds are played by `python -m tests.meetings --seeds 300`.
"""

from __future__ import annotations

import pytest

from .meetings import meet


@pytest.mark.parametrize("seed", range(10))
def test_troubles_that_meet(seed: int) -> None:
    meet(seed)


@pytest.mark.parametrize("seed", range(100, 106))
def test_writes_and_reports_that_are_late_in_the_middle_of_ends_and_cuts(seed: int) -> None:
    meet(seed, ("late_writes", "late_reports", "crash", "alone", "outage", "roll"))


@pytest.mark.parametrize("seed", range(200, 206))
def test_machines_that_hear_late_or_nothing_while_their_leader_changes(seed: int) -> None:
    meet(seed, ("deaf", "held_up", "crash", "pause", "no_workers", "late_reports"))
