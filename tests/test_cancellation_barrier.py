"""Tests of when the barrier lets a cancellation be acknowledged, and of the gossip it needs."""

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
    """Return gossip of a peer that states only the revision up to which it has read."""
    return CancellationGossip(upto, "its life", 0.0, 100.0, True, None, [])


def test_cancellation_is_not_acknowledged_while_a_peer_may_not_know_of_it() -> None:
    barrier = new_barrier()
    assert not barrier.may_acknowledge(7, 1.0), "a controller that has just started knows no peer"
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
    assert barrier.may_acknowledge(8, 10.0), "what an absent peer knew before it left still counts"
    assert not barrier.may_acknowledge(
        9, 10.0 + barrier.ack_delay_s - 0.1
    ) and barrier.may_acknowledge(9, 10.0 + barrier.ack_delay_s)
    barrier.peer_present("c2", True, 0)
    assert not barrier.may_acknowledge(9, 60.0), (
        "c2 is back, and has not stated up to where it has read"
    )


def test_peer_that_rejoined_and_left_between_two_reads_counts_as_newly_absent() -> None:
    """Between two reads that find the peer's key absent, the peer may have rejoined and left again.

    It may have read nothing since, so its absence counts from the second read.
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
    """In an outage a peer's key expires, but the peer goes on and still answers gossip.

    The acknowledgement waits until the peer has received gossip that names the cancellation.
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
        gossip = sender.gossip_for("m", 7, float(now))
        assert not sender.may_acknowledge(7, float(now)), (
            "the peer still answers, so its confirmation is required"
        )
        assert gossip.cancellations == [Cancellation(7, "j-000001")]
    assert receiver.isolated(200.0)
    assert receiver.receive_gossip("p", gossip, 200.0) == [Cancellation(7, "j-000001")]
    assert receiver.lapsed, (
        "isolated for longer than a lease: the peer may have dropped cancellations it still needs"
    )
    receiver.store_contacted(199.5)
    assert not receiver.isolated(200.0)
    sender.receive_gossip("m", receiver.gossip_for("p", 5, 200.0), 200.0)
    assert sender.may_acknowledge(7, 200.0) and not sender.unconfirmed, (
        "the peer knows: acknowledged at once, and no further gossip has to name the cancellation"
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
        "it restarted within the contact age limit: whatever it had confirmed is known here"
    )
    echo(75.0, 5.0, False)
    assert barrier.last_contact(75.0) == 34.9, (
        "its earlier incarnation may have confirmed something after its obligation had ended"
    )
    echo(80.0, 10.0, True)
    assert barrier.last_contact(80.0) == 79.9, (
        "it has read the store, so everything confirmed before has been named"
    )
    barrier.receive_gossip(
        "p", CancellationGossip(0, "p2", 1.0, 50.0, True, ("an earlier life of m", 89.0), []), 90.0
    )
    barrier.receive_gossip("p", CancellationGossip(0, "p2", 1.0, 50.0, True, ("m", 95.0), []), 90.0)
    assert barrier.last_contact(90.0) == 79.9, (
        "an echo of an earlier incarnation's message or of one never sent must not count"
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
        gossip = sender.gossip_for("m", 10 + n, now)
        assert (gossip.echo is None) == (now < 3.0)
        named += receiver.receive_gossip("p", gossip, now)
    assert [c.revision for c in named] == [11 + i for i in range(n)]
    assert receiver.informed_revision == 10 + n and receiver.peers["p"].confirmed_contact_at == 3.0


def test_batch_claims_no_revision_beyond_what_was_read() -> None:
    """Own writes are named before the watch has reached them.

    There may be cancellations in between that this controller does not know.
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
        "a peer of an older release stops by the legacy time: nothing has to wait for it"
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
def test_gossip_is_unchanged_by_encoding_and_decoding(
    upto: int, jobs: list[int], read: bool, echoes: bool
) -> None:
    named = [Cancellation(upto, f"j-{j:06d}") for j in jobs] if upto else []
    gossip = CancellationGossip(
        upto, "life", 1.5, 2.5, read, ("other", 0.5) if echoes else None, named
    )
    assert decode_gossip(encode_gossip(gossip)) == gossip
