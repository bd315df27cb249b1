"""Random and chosen histories of the cancellation barrier's model: with every guard no task outlives
`cancel_s`, and without each of them one does.
"""

from __future__ import annotations

import pytest

from ploverhall.coordination.cancellation_barrier import (
    CancellationBarrier,
)

from .cancellation_barrier_model import run_guard_history, run_random_history

SEEDS, GUARD_HISTORIES = 60, ("left", "echo", "lives")


def test_no_task_outlives_cancel_time_in_random_histories() -> None:
    """Refusals, outages, lost or held messages, pauses, restarts and clock drift over three
    controllers.

    When a cancellation may be acknowledged and when agents may be answered follow from one
    statement (coordination.cancellation_barrier); this is what it has to guarantee.
    """
    told = sum(len(run_random_history(seed).acknowledged) for seed in range(SEEDS))
    assert told > 4 * SEEDS, "hardly anything was told: nothing was judged"


@pytest.mark.parametrize("guard", GUARD_HISTORIES)
def test_no_task_outlives_cancel_time_in_histories_that_need_a_guard(guard: str) -> None:
    run_guard_history(guard)


def remove_guard(guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Take one guard out of the barrier."""
    real_word, real_take, real_gone = (
        CancellationBarrier.gossip_for,
        CancellationBarrier.receive_gossip,
        CancellationBarrier.peer_absent,
    )
    if guard == "owed":  # answered, and not counted
        monkeypatch.setattr(CancellationBarrier, "_last_obligation", lambda self, m: m.absent_since)
    elif guard == "named":  # answered without the cancellations
        monkeypatch.setattr(
            CancellationBarrier, "gossip_for", lambda *a: real_word(*a)._replace(cancellations=[])
        )
    elif guard == "echo":  # what came back counts from when it came
        monkeypatch.setattr(
            CancellationBarrier,
            "receive_gossip",
            lambda s, n, w, now: real_take(s, n, w._replace(echo=w.echo and (w.echo[0], now)), now),
        )
    elif guard == "all heard":  # as it was: in an outage, who hears everybody goes on

        def isolated(self: CancellationBarrier, now: float) -> bool:
            return now - self.store_contact_at >= self.max_contact_age_s and any(
                now - m.last_gossip_at > 2.5 for m in self.peers.values()
            )

        monkeypatch.setattr(CancellationBarrier, "isolated", isolated)
        monkeypatch.setattr(CancellationBarrier, "_last_obligation", lambda self, m: m.absent_since)
        monkeypatch.setattr(
            CancellationBarrier,
            "gossip_for",
            lambda *a: real_word(*a)._replace(cancellations=[], echo=None),
        )
    elif guard == "lives":  # a new life's echo counts, whatever its last one may have told
        monkeypatch.setattr(
            CancellationBarrier,
            "receive_gossip",
            lambda s, n, w, now: real_take(s, n, w._replace(uptime_s=1e9), now),
        )
    elif guard == "left":
        monkeypatch.setattr(
            CancellationBarrier, "peer_absent", lambda s, n, now, left=0: real_gone(s, n, now, -1)
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
    pytest.fail(f"{guard}: nothing broke")
