"""When the cancellation barrier lets a cancellation be acknowledged, and what controllers tell one another for it."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ploverhall.coordination.cancellation_barrier import (
    MAX_CANCELLATIONS_PER_MESSAGE,
    CancellationBarrier,
)
from ploverhall.errors import InvalidPeerMessageError
from ploverhall.protocol.peer_messages import (
    Cancellation,
    CancellationGossip,
    decode_gossip,
    encode_gossip,
)

CANCEL_S, LEASE_S, CUT_OFF_S = 46.0, 16.0, 60.0


def new_barrier(now: float = 0.0) -> CancellationBarrier:
    return CancellationBarrier(["c1", "c2"], CANCEL_S, LEASE_S, CUT_OFF_S, now, "me")


def gossip_up_to(name: str, upto: int) -> CancellationGossip:
    """Gossip of a peer that says no more than up to which revision it has read."""
    return CancellationGossip(upto, "its life", 0.0, 100.0, True, None, [])


def test_cancellation_is_not_acknowledged_while_a_peer_may_not_know_of_it() -> None:
    barrier = new_barrier()
    assert not barrier.may_acknowledge(7, 1.0), "a controller that has just started knows nobody"
    for name in ("c1", "c2"):
        barrier.peer_present(name, True, 0)
    barrier.receive_gossip("c1", gossip_up_to("c1", 9), 1.0)
    assert barrier.waiting_for(7, 1.0) == ["c2"] and not barrier.may_acknowledge(7, 1.0)
    for upto in (6, 8, 3):
        barrier.receive_gossip("c2", gossip_up_to("c2", upto), 1.0)
    assert (
        barrier.may_acknowledge(7, 1.0)
        and barrier.may_acknowledge(8, 1.0)
        and not barrier.may_acknowledge(9, 1.0)
    )
    barrier.peer_absent("c2", 10.0, 20)
    barrier.peer_absent("c2", 30.0, 20)
    assert barrier.may_acknowledge(8, 10.0), "what it knew before it went stays known"
    assert not barrier.may_acknowledge(
        9, 10.0 + barrier.ack_delay_s - 0.1
    ) and barrier.may_acknowledge(9, 10.0 + barrier.ack_delay_s)
    barrier.peer_present("c2", True, 0)
    assert not barrier.may_acknowledge(9, 60.0), "it is back, and has not said what it knows"


def test_peer_that_rejoined_and_left_between_two_reads_counts_as_newly_absent() -> None:
    """A controller that reads seldom sees the key absent before and after; in between the peer was
    a member, and may have read nothing since.
    """
    barrier = new_barrier()
    barrier.receive_gossip("c1", gossip_up_to("c1", 9), 0.0)
    barrier.peer_absent("c2", 0.0, 5)
    assert barrier.may_acknowledge(9, barrier.ack_delay_s + 0.1)
    barrier.peer_absent("c2", 100.0, 8)
    assert not barrier.may_acknowledge(9, 100.1) and barrier.may_acknowledge(
        9, 100.1 + barrier.ack_delay_s
    )


def test_peer_in_contact_delays_acknowledgement_until_it_knows_of_the_cancellation() -> None:
    """In an outage its key is gone and it goes on; only gossip that names the cancellation ends the
    wait.
    """
    sender, receiver = (
        CancellationBarrier(["m"], CANCEL_S, LEASE_S, CUT_OFF_S, 0.0, "p"),
        CancellationBarrier(["p"], CANCEL_S, LEASE_S, CUT_OFF_S, 0.0, "m"),
    )
    for one, other in ((sender, "m"), (receiver, "p")):
        one.peer_present(other, True, 5)
        one.store_contacted(1.0)
    sender.peer_absent("m", 4.0, 6)
    sender.record_cancellation("j-000001", 7)
    for now in range(10, 200):
        sender.receive_gossip("m", receiver.gossip_for("p", 5, float(now)), float(now))
        said = sender.gossip_for("m", 7, float(now))
        assert not sender.may_acknowledge(7, float(now)), "it answers, so it is owed"
        assert said.cancellations == [Cancellation(7, "j-000001")]
    assert receiver.isolated(200.0)
    assert receiver.receive_gossip("p", said, 200.0) == [Cancellation(7, "j-000001")]
    assert receiver.lapsed, (
        "for longer than a lease after its fence: the other may have forgotten what it should know"
    )
    receiver.store_contacted(199.5)
    assert not receiver.isolated(200.0)
    sender.receive_gossip("m", receiver.gossip_for("p", 5, 200.0), 200.0)
    assert sender.may_acknowledge(7, 200.0) and not sender.unconfirmed, (
        "it knows, so the user is told at once, and nobody has to be named it any more"
    )


def test_restarted_peer_without_a_read_confirms_contact_only_for_a_limited_time() -> None:
    barrier = CancellationBarrier(["p"], CANCEL_S, LEASE_S, CUT_OFF_S, 0.0, "m")
    barrier.peer_present("p", True, 0)
    barrier.store_contacted(10.0)

    def echo(now: float, up: float, read: bool) -> None:
        barrier.receive_gossip(
            "p", CancellationGossip(0, "p2", 1.0, up, read, ("m", now - 0.1), []), now
        )

    echo(35.0, 5.0, False)
    assert barrier.last_contact(35.0) == 34.9, (
        "it ended within patience: whatever it had confirmed is known here"
    )
    echo(75.0, 5.0, False)
    assert barrier.last_contact(75.0) == 34.9, (
        "its last life may have confirmed something after it owed nothing more"
    )
    echo(80.0, 10.0, True)
    assert barrier.last_contact(80.0) == 79.9, (
        "it has read, so all that was confirmed has been named"
    )
    barrier.receive_gossip(
        "p", CancellationGossip(0, "p2", 1.0, 50.0, True, ("an earlier life of m", 89.0), []), 90.0
    )
    barrier.receive_gossip("p", CancellationGossip(0, "p2", 1.0, 50.0, True, ("m", 95.0), []), 90.0)
    assert barrier.last_contact(90.0) == 79.9, (
        "neither an earlier life's word nor one that was never sent"
    )


def test_many_cancellations_are_sent_in_batches_and_only_the_last_batch_echoes() -> None:
    sender, receiver = (
        CancellationBarrier(["m"], CANCEL_S, LEASE_S, CUT_OFF_S, 0.0, "p"),
        CancellationBarrier(["p"], CANCEL_S, LEASE_S, CUT_OFF_S, 0.0, "m"),
    )
    n = 2 * MAX_CANCELLATIONS_PER_MESSAGE + 5
    for i in range(n, 0, -1):
        sender.record_cancellation(f"j-{i:06d}", 10 + i)
        sender.record_cancellation(f"j-{i:06d}", 10 + i)
    named: list[Cancellation] = []
    for now in (1.0, 2.0, 3.0):
        sender.receive_gossip("m", receiver.gossip_for("p", 5, now), now)
        said = sender.gossip_for("m", 10 + n, now)
        assert (said.echo is None) == (now < 3.0)
        named += receiver.receive_gossip("p", said, now)
    assert [c.revision for c in named] == [11 + i for i in range(n)]
    assert receiver.informed_revision == 10 + n and receiver.peers["p"].confirmed_contact_at == 3.0


def test_batch_claims_no_revision_beyond_what_was_read() -> None:
    """Own writes are named before the watch has reached them: there may be others in between that
    this controller does not know.
    """
    barrier = CancellationBarrier(["m"], CANCEL_S, LEASE_S, CUT_OFF_S, 0.0, "p")
    for i in range(MAX_CANCELLATIONS_PER_MESSAGE + 1):
        barrier.record_cancellation(f"j-{i:06d}", 100 + i)
    assert barrier.gossip_for("m", 50, 1.0).known_revision == 50
    assert (
        barrier.gossip_for("m", 50 + 2 * MAX_CANCELLATIONS_PER_MESSAGE, 1.0).known_revision
        == 100 + MAX_CANCELLATIONS_PER_MESSAGE - 1
    )


def test_legacy_contact_age_holds_while_a_peer_acknowledges_at_once() -> None:
    barrier = new_barrier()
    barrier.peer_present("c1", True, 0)
    assert barrier.max_contact_age_s == barrier.legacy_answer_s == CANCEL_S - LEASE_S - 8.0, (
        "c2 has never been seen"
    )
    barrier.peer_present("c2", False, 0)
    assert barrier.max_contact_age_s == barrier.legacy_answer_s
    barrier.receive_gossip("c1", gossip_up_to("c1", 5), 1.0)
    assert barrier.may_acknowledge(5, 2.0), (
        "and that one stops by the old time: nothing has to wait for it"
    )
    barrier.peer_present("c2", True, 0)
    assert barrier.max_contact_age_s == CUT_OFF_S and not barrier.may_acknowledge(5, 2.0)


def test_peer_of_an_older_release_delays_acknowledgement_while_its_gossip_arrives() -> None:
    barrier = new_barrier()
    barrier.receive_gossip("c1", gossip_up_to("c1", 9), 0.0)
    barrier.peer_absent("c2", 0.0, 5)
    for now in range(1, 100):
        barrier.receive_gossip("c2", decode_gossip({"seen": 3}), float(now))
    assert not barrier.may_acknowledge(
        9, 99.0 + barrier.ack_delay_s - 0.1
    ) and barrier.may_acknowledge(9, 99.1 + barrier.ack_delay_s)


@pytest.mark.parametrize(
    "value",
    [
        None,
        [],
        "x",
        {},
        {"seen": -1},
        {"seen": True},
        {"seen": 1 << 64},
        {"seen": 5, "life": 3},
        {"seen": 5, "life": "x" * 65},
        {"seen": 5, "at": float("nan")},
        {"seen": 5, "at": "1"},
        {"seen": 5, "up": -1.0},
        {"seen": 5, "up": float("inf")},
        {"seen": 5, "read": 1},
        {"seen": 5, "echo": ["x"]},
        {"seen": 5, "echo": [1, 2.0]},
        {"seen": 5, "echo": ["x", None]},
        {"seen": 5, "cancelled": [[1 << 64, "j-000001"]]},
        {"seen": 5, "cancelled": [[True, "j-000001"]]},
        {"seen": 5, "cancelled": [[0, "j-000001"]]},
        {"seen": 5, "cancelled": [[3, "x"]]},
        {"seen": 5, "cancelled": [[3, "j-000001\nforged"]]},
        {"seen": 5, "cancelled": [3]},
        {"seen": 5, "cancelled": {"a": 1}},
        {"seen": 5000, "cancelled": [[3, "j-000001"]] * 1001},
    ],
)
def test_malformed_gossip_is_rejected(value: Any) -> None:
    with pytest.raises(InvalidPeerMessageError):
        decode_gossip(value)


@given(
    st.integers(0, 1 << 40),
    st.lists(st.integers(1, 999_999), max_size=5),
    st.booleans(),
    st.booleans(),
)
def test_a_word_comes_as_it_was_sent(upto: int, jobs: list[int], read: bool, echoes: bool) -> None:
    named = [Cancellation(upto, f"j-{j:06d}") for j in jobs] if upto else []
    w = CancellationGossip(upto, "life", 1.5, 2.5, read, ("other", 0.5) if echoes else None, named)
    assert decode_gossip(encode_gossip(w)) == w
