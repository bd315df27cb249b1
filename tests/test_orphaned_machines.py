"""A controller that keeps its lease but loses its agents."""

from __future__ import annotations

from ploverhall.coordination.orphaned_machines import OrphanedMachines


def test_two_machines_of_a_silent_holder_are_enough() -> None:
    s = OrphanedMachines()
    s.record(1, "n-1", True, 10.0)
    assert not s.should_acquire(1, False, 10.1), "one odd worker moves nothing"
    s.record(1, "n-2", True, 10.5)
    assert s.should_acquire(1, False, 10.6)
    assert not s.should_acquire(1, True, 10.6), "the holder can be heard: they are sent to it first"


def test_two_machines_returning_from_a_live_holder_move_the_shard() -> None:
    s = OrphanedMachines()
    for m in ("n-1", "n-2"):
        s.record(1, m, True, 10.0)
        s.record(1, m, True, 15.0)
    assert s.should_acquire(1, True, 15.1)


def test_old_heartbeats_of_orphaned_machines_do_not_count() -> None:
    s = OrphanedMachines()
    for m in ("n-1", "n-2"):
        s.record(1, m, True, 10.0)
    assert not s.should_acquire(1, False, 23.0)
    for m in ("n-1", "n-2"):
        s.record(1, m, True, 26.0)
    assert not s.should_acquire(1, True, 26.1), "they came once, long after"


def test_machines_never_served_count_at_the_preferred_controller_while_the_holder_is_silent() -> (
    None
):
    """After a failover beyond a partition no machine was served, and all stayed away until it was
    over.
    """
    s = OrphanedMachines()
    for at in (10.0, 13.0):
        for m in ("n-1", "n-2"):
            s.record(1, m, False, at)
        assert not s.should_acquire(1, False, at + 0.1), "they may be on their way to a new holder"
        assert not s.should_acquire(1, True, at + 0.1, is_preferred=True)
        assert s.should_acquire(1, False, at + 0.1, is_preferred=True)


def test_holder_without_heartbeats_of_two_machines_loses_its_shard_without_further_proof() -> None:
    """Redirected to the holder each agent hung for 4 s, and its tasks were lost with its lease."""
    s = OrphanedMachines()
    s.record(1, "n-1", True, 10.0)
    assert not s.should_acquire(1, True, 10.1, holder_without_heartbeats=True), (
        "one odd worker moves nothing"
    )
    s.record(1, "n-2", False, 10.1)
    assert not s.should_acquire(1, True, 10.2, holder_without_heartbeats=True), (
        "one that it never served may be on its way to it"
    )
    s.record(1, "n-3", True, 10.2)
    assert s.should_acquire(1, True, 10.3, holder_without_heartbeats=True) and not s.should_acquire(
        1, True, 10.3
    )


def test_machine_that_came_once_has_not_returned() -> None:
    """A holder restarted within a second: two agents met its closed port, came here once, and were
    served by it again.
    """
    s = OrphanedMachines()
    for name in ("n-1", "n-2"):
        s.record(0, name, True, 10.0)
    assert not any(s.should_acquire(0, True, 10.0 + 0.1 * i) for i in range(60))
    for name in ("n-1", "n-2"):
        s.record(0, name, True, 15.0)
    assert s.should_acquire(0, True, 15.1), "sent back, and here again: they can't reach it"
