"""Tests of state channels between controllers: a full sync, then deltas."""

from __future__ import annotations

from ploverhall.coordination.state_channel import InboundChannels, OutboundChannels


def test_late_message_of_an_old_connection_is_dropped() -> None:
    out, inbox = OutboundChannels(), InboundChannels()
    b = out.channel("s", 0, 1, 5)
    b.put("j", {"p": [1]})
    old = out.collect("c1", 1, lambda shard: "c1")
    b.put("j", None)
    new = out.collect("c1", 2, lambda shard: "c1")  # a new connection: a full sync
    assert new[0][4] and inbox.accept(new[0])
    assert not inbox.accept(old[0]) and inbox.channels["s", 0, 1][1] == {}


def test_delta_without_its_predecessor_is_rejected() -> None:
    out, inbox = OutboundChannels(), InboundChannels()
    b = out.channel("s", 0, 1, 5)
    b.put("a", 1)
    out.collect("c1", 1, lambda shard: "c1")  # lost
    b.put("b", 2)
    assert not inbox.accept(out.collect("c1", 1, lambda shard: "c1")[0])
    assert inbox.accept(out.collect("c1", 2, lambda shard: "c1")[0])
    assert inbox.channels["s", 0, 1][1] == {"a": 1, "b": 2}


def test_new_epoch_starts_with_a_full_sync_and_ends_the_old_epoch() -> None:
    out, inbox = OutboundChannels(), InboundChannels()
    out.channel("s", 0, 1, 5).put("a", 1)
    first = out.collect("c1", 1, lambda shard: "c1")[0]
    out.channel("s", 0, 1, 6).put("b", 2)
    assert inbox.accept(out.collect("c1", 1, lambda shard: "c1")[0])
    assert not inbox.accept(first)
    assert inbox.channels["s", 0, 1] == (6, {"b": 2})
