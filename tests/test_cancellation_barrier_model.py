"""Random and chosen histories of the cancellation barrier's model.

With every guard no task outlives `cancel_s`; without any one of the guards a task does.
"""

from __future__ import annotations

import pytest

from ploverhall.coordination.cancellation_barrier import (
    CancellationBarrier,
)

from .cancellation_barrier_model import run_guard_history, run_random_history

SEEDS, GUARD_HISTORIES = 60, ("left", "echo", "lives")


def test_no_task_outlives_cancel_time_in_random_histories() -> None:
    """Refusals, outages, lost or delayed messages, pauses, restarts and clock drift.

    This is the guarantee of coordination.cancellation_barrier, from which it follows when a
    cancellation may be acknowledged and when agents may be answered.
    """
    acknowledged_count = sum(len(run_random_history(seed).acknowledged) for seed in range(SEEDS))
    assert acknowledged_count > 4 * SEEDS, (
        "too few cancellations were acknowledged to check anything"
    )


@pytest.mark.parametrize("guard", GUARD_HISTORIES)
def test_no_task_outlives_cancel_time_in_histories_that_need_a_guard(guard: str) -> None:
    run_guard_history(guard)


def remove_guard(guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove one guard from the barrier."""
    real_gossip_for, real_receive_gossip, real_peer_absent = (
        CancellationBarrier.gossip_for,
        CancellationBarrier.receive_gossip,
        CancellationBarrier.peer_absent,
    )
    if guard == "owed":  # contact after the peer became absent is not counted
        monkeypatch.setattr(CancellationBarrier, "_last_obligation", lambda self, m: m.absent_since)
    elif guard == "named":  # gossip leaves out the cancellations
        monkeypatch.setattr(
            CancellationBarrier,
            "gossip_for",
            lambda *a: real_gossip_for(*a)._replace(cancellations=[]),
        )
    elif guard == "echo":  # an echo counts from its arrival, not from when it was sent
        monkeypatch.setattr(
            CancellationBarrier,
            "receive_gossip",
            lambda s, n, w, now: real_receive_gossip(
                s, n, w._replace(echo=w.echo and (w.echo[0], now)), now
            ),
        )
    # An earlier rule: in an outage, a controller that receives gossip from all peers goes on
    elif guard == "all heard":

        def isolated(self: CancellationBarrier, now: float) -> bool:
            return now - self.store_contact_at >= self.max_contact_age_s and any(
                now - m.last_gossip_at > 2.5 for m in self.peers.values()
            )

        monkeypatch.setattr(CancellationBarrier, "isolated", isolated)
        monkeypatch.setattr(CancellationBarrier, "_last_obligation", lambda self, m: m.absent_since)
        monkeypatch.setattr(
            CancellationBarrier,
            "gossip_for",
            lambda *a: real_gossip_for(*a)._replace(cancellations=[], echo=None),
        )
    # The echo of a restarted peer counts, whatever its earlier incarnation may have confirmed
    elif guard == "lives":
        monkeypatch.setattr(
            CancellationBarrier,
            "receive_gossip",
            lambda s, n, w, now: real_receive_gossip(s, n, w._replace(uptime_s=1e9), now),
        )
    elif guard == "left":
        monkeypatch.setattr(
            CancellationBarrier,
            "peer_absent",
            lambda s, n, now, left=0: real_peer_absent(s, n, now, -1),
        )
    else:
        monkeypatch.setattr(CancellationBarrier, "may_forget", lambda *a: True)
        monkeypatch.setattr(
            CancellationBarrier, "_leases_expired", lambda s, m, now: m.absent_since is not None
        )
        monkeypatch.setattr(
            CancellationBarrier,
            "lapsed",
            property(lambda s: False, lambda s, v: None),
            raising=False,
        )


@pytest.mark.parametrize("guard", ["owed", "named", "echo", "all heard", "lives", "left", "lapsed"])
def test_model_reports_a_violation_without_each_guard(
    guard: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    remove_guard(guard, monkeypatch)
    for seed in range(1 if guard in GUARD_HISTORIES else 8 * SEEDS):
        try:
            run_guard_history(guard) if guard in GUARD_HISTORIES else run_random_history(seed)
        except AssertionError as e:
            assert "were answered at" in str(e)
            return
    pytest.fail(f"no history broke the rule without the guard {guard}")
