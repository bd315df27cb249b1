"""A controller that keeps its lease but not its workers."""

from __future__ import annotations

from ploverhall.coordination.stranded import Stranded


def test_two_machines_of_a_silent_holder_are_enough() -> None:
    s = Stranded()
    s.note(1, "n-1", True, 10.0)
    assert not s.should_take(1, False, 10.1), "one odd worker moves nothing"
    s.note(1, "n-2", True, 10.5)
    assert s.should_take(1, False, 10.6)
    assert not s.should_take(1, True, 10.6), "the holder can be heard: they are sent to it first"


def test_machines_that_come_back_from_a_holder_that_is_heard() -> None:
    s = Stranded()
    for m in ("n-1", "n-2"):
        s.note(1, m, True, 10.0)
        s.note(1, m, True, 15.0)
    assert s.should_take(1, True, 15.1)


def test_old_visits_do_not_count() -> None:
    s = Stranded()
    for m in ("n-1", "n-2"):
        s.note(1, m, True, 10.0)
    assert not s.should_take(1, False, 23.0)
    for m in ("n-1", "n-2"):
        s.note(1, m, True, 26.0)
    assert not s.should_take(1, True, 26.1), "they came once, long after"


def test_machines_the_holder_never_served_count_once_they_are_back_from_it() -> None:
    """After a takeover beyond a cut nobody was served, and all stayed away until the cut was over."""
    s = Stranded()
    for m in ("n-1", "n-2"):
        s.note(1, m, False, 10.0)
    assert not s.should_take(1, False, 10.1), "they are on their way to a new holder"
    assert s.should_take(1, False, 10.1, home=True)
    for m in ("n-1", "n-2"):
        s.note(1, m, False, 13.0)
    assert s.should_take(1, False, 13.1)
