"""Tests of moving a shard whose holder keeps its lease but loses its agents."""

from __future__ import annotations

from ploverhall.coordination.orphaned_machines import OrphanedMachines


def test_two_machines_of_a_silent_holder_are_enough() -> None:
    s = OrphanedMachines()
    s.record(1, "n-1", True, 10.0)
    assert not s.should_acquire(1, False, 10.1), "a single agent moves no shard"
    s.record(1, "n-2", True, 10.5)
    assert s.should_acquire(1, False, 10.6)
    assert not s.should_acquire(1, True, 10.6), (
        "the holder is alive: its agents are redirected to it first"
    )


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
    assert not s.should_acquire(1, True, 26.1), "each came once, long after its earlier heartbeat"


def test_machines_never_served_count_at_the_preferred_controller_while_the_holder_is_silent() -> (
    None
):
    """After a failover to the far side of a partition the new holder served no machine.

    All machines stayed unserved until the partition was over.
    """
    s = OrphanedMachines()
    for at in (10.0, 13.0):
        for m in ("n-1", "n-2"):
            s.record(1, m, False, at)
        assert not s.should_acquire(1, False, at + 0.1), "they may be on their way to a new holder"
        assert not s.should_acquire(1, True, at + 0.1, is_preferred=True)
        assert s.should_acquire(1, False, at + 0.1, is_preferred=True)


def test_holder_without_heartbeats_of_two_machines_loses_its_shard_without_further_proof() -> None:
    """Redirected to such a holder, each agent hung for 4 s, and lost its tasks with its lease."""
    s = OrphanedMachines()
    s.record(1, "n-1", True, 10.0)
    assert not s.should_acquire(1, True, 10.1, holder_without_heartbeats=True), (
        "a single agent moves no shard"
    )
    s.record(1, "n-2", False, 10.1)
    assert not s.should_acquire(1, True, 10.2, holder_without_heartbeats=True), (
        "a machine that the holder never served may be on its way to it"
    )
    s.record(1, "n-3", True, 10.2)
    assert s.should_acquire(1, True, 10.3, holder_without_heartbeats=True) and not s.should_acquire(
        1, True, 10.3
    )


def test_machine_that_came_once_has_not_returned() -> None:
    """A single heartbeat at another controller after a restart of the holder moves no shard.

    The holder restarted within a second: two agents met its closed port, came to this controller
    once, and were served by the holder again.
    """
    s = OrphanedMachines()
    for name in ("n-1", "n-2"):
        s.record(0, name, True, 10.0)
    assert not any(s.should_acquire(0, True, 10.0 + 0.1 * i) for i in range(60))
    for name in ("n-1", "n-2"):
        s.record(0, name, True, 15.0)
    assert s.should_acquire(0, True, 15.1), (
        "redirected and here again: the machines can't reach the holder"
    )
