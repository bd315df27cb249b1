"""State channels between controllers: full sync, then deltas."""

from __future__ import annotations

from ploverhall.coordination.state_channel import InboundChannels, OutboundChannels


def test_what_an_old_connection_delivers_late_is_dropped() -> None:
    out, inbox = OutboundChannels(), InboundChannels()
    b = out.channel("s", 0, 1, 5)
    b.put("j", {"p": [1]})
    old = out.collect("c1", 1, lambda shard: "c1")
    b.put("j", None)
    new = out.collect("c1", 2, lambda shard: "c1")  # a new connection: everything anew
    assert new[0][4] and inbox.accept(new[0])
    assert not inbox.accept(old[0]) and inbox.channels["s", 0, 1][1] == {}


def test_a_delta_without_what_comes_before_it_is_not_taken() -> None:
    out, inbox = OutboundChannels(), InboundChannels()
    b = out.channel("s", 0, 1, 5)
    b.put("a", 1)
    out.collect("c1", 1, lambda shard: "c1")  # lost
    b.put("b", 2)
    assert not inbox.accept(out.collect("c1", 1, lambda shard: "c1")[0])
    assert inbox.accept(out.collect("c1", 2, lambda shard: "c1")[0])
    assert inbox.channels["s", 0, 1][1] == {"a": 1, "b": 2}


def test_a_new_epoch_starts_anew_and_an_old_one_is_over() -> None:
    out, inbox = OutboundChannels(), InboundChannels()
    out.channel("s", 0, 1, 5).put("a", 1)
    first = out.collect("c1", 1, lambda shard: "c1")[0]
    out.channel("s", 0, 1, 6).put("b", 2)
    assert inbox.accept(out.collect("c1", 1, lambda shard: "c1")[0])
    assert not inbox.accept(first)
    assert inbox.channels["s", 0, 1] == (6, {"b": 2})
