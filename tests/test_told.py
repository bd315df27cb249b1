"""Cancellations are told when nobody who does not know of them can still be answering workers."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from ploverhall.coordination.told import Told

CANCEL, LEASE, CUT_OFF = 46.0, 16.0, 60.0


def told(now: float = 0.0) -> Told:
    return Told(["c1", "c2"], CANCEL, LEASE, CUT_OFF, now)


def test_everybody_must_have_read_it_or_be_gone_for_long_enough() -> None:
    t = told()
    assert not t.may_tell(7, 1.0), "a controller that has just started knows nobody"
    for name in ("c1", "c2"):
        t.present(name, True, 0, 1.0)
    t.read("c1", 9)
    assert t.waits_for(7, 1.0) == ["c2"] and not t.may_tell(7, 1.0)
    t.read("c2", 6)
    t.read("c2", 8)
    t.read("c2", 3)
    assert t.may_tell(7, 1.0) and t.may_tell(8, 1.0) and not t.may_tell(9, 1.0)
    t.gone("c2", 10.0)
    t.gone("c2", 30.0)
    assert t.may_tell(8, 10.0), "what it has read before it went stays read"
    assert not t.may_tell(9, 10.0 + t.patience - 0.1) and t.may_tell(9, 10.0 + t.patience)
    t.present("c2", True, 0, 60.0)
    assert not t.may_tell(9, 60.0), "it is back, and has not said what it has read"


def test_while_a_release_that_tells_at_once_is_about_the_old_time_holds() -> None:
    t = told()
    t.present("c1", True, 0, 1.0)
    assert t.fence == t.early == CANCEL - LEASE - 8.0, "c2 has never been seen"
    t.present("c2", False, 0, 1.0)
    assert t.fence == t.early
    t.read("c1", 5)
    assert t.may_tell(5, 1.0), "and that one stops by the old time: nothing has to wait for it"
    t.present("c2", True, 0, 2.0)
    assert t.fence == CUT_OFF and not t.may_tell(5, 2.0)


@given(st.integers(0, 10_000))
def test_no_task_outlives_its_time_whenever_the_cut_and_the_cancellation_come(seed: int) -> None:
    """The plain model: a controller loses all but its workers, and the last answered worker's lease runs out."""
    rng = Random(seed)
    cancel, lease = rng.choice([(46.0, 16.0), (38.0, 13.0), (30.0, 25.0)])
    cut_off = rng.choice([1.0, 20.0, 60.0, 300.0])
    t = Told(["c1"], cancel, lease, cut_off, 0.0)
    t.present("c1", True, 0, 0.0)
    contact = rng.uniform(0.0, 50.0)  # its last sure contact
    t.gone("c1", contact + rng.uniform(2.0, 6.0))  # its lease ends after that, and this is seen
    dead = contact + (t.fence + lease) * 1.001 + 0.5  # by slow clocks, with an answer on its way
    now = contact
    while not t.may_tell(1, now):
        now += 0.25
    assert dead <= now + cancel
    assert now <= contact + 6.5 + max(0.0, (max(cut_off, t.early) + lease) * 1.002 + 2.0 - cancel), "and no later than it has to be"
