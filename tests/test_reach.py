"""Links measured, ways chosen, workers sent home, shards moved: each against what it must not do."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ploverhall.connectivity.failback_backoff import Moves
from ploverhall.connectivity.heartbeat_failback import AGAIN_S, PROBES, Homing
from ploverhall.connectivity.link_health import BAD_S, GOOD_S, Gauge
from ploverhall.connectivity.pending_relays import (
    MOST_BYTES,
    MOST_OPEN,
    MOST_WAITING,
    Calls,
    too_late,
)
from ploverhall.connectivity.relay_routes import Ways
from ploverhall.protocol import relay_messages


def test_a_link_goes_bad_after_silence_and_is_trusted_after_answers_for_a_while() -> None:
    g = Gauge()
    g.answered(0.01, 10.0)
    g.waits(10.1, 10.4)
    assert g.good, "an answer may take a few hundred milliseconds"
    g.waits(10.1, 10.1 + BAD_S + 0.1)
    assert not g.good
    g.answered(0.01, 12.0)
    g.failed(12.5, 13.0)
    g.answered(0.01, 13.5)
    g.answered(0.01, 13.5 + GOOD_S - 0.1)
    assert not g.good, "one failure among the answers begins it anew"
    g.answered(0.01, 13.5 + GOOD_S)
    assert g.good


def test_one_slow_request_among_answered_ones_is_no_cut_and_a_slow_service_neither() -> None:
    g = Gauge()
    for i in range(20):
        g.answered(0.01, 10.0 + 0.1 * i)
        g.waits(9.0, 10.0 + 0.1 * i + 0.05)
    g.failed(9.0, 12.0)
    assert g.good
    slow = Gauge()
    for i in range(60):
        slow.answered(0.5, 10.0 + i)
    slow.waits(69.1, 70.5)
    assert slow.good, "it always takes so long"


def test_a_link_that_flaps_is_trusted_ever_later() -> None:
    g, now, took = Gauge(), 100.0, []
    for _ in range(4):
        g.answered(0.01, now)
        g.failed(now + 0.1, now + 1.0)
        assert not g.good
        now = back = now + 2.0
        while not g.good:
            g.answered(0.01, now)
            now += 0.1
        took.append(now - back)
    assert all(b > 1.8 * a for a, b in zip(took, took[1:], strict=False))


def said(
    ways: Ways,
    name: str,
    now: float,
    good: list[str] | None = None,
    hears: list[str] | None = None,
    can: list[str] | None = None,
) -> None:
    ways.heard(
        name,
        {
            "life": "x",
            "can": ["state", "report"] if can is None else can,
            "good": good or [],
            "hears": hears or [],
        },
        now,
    )


def test_ways_lead_only_through_who_says_so_just_now() -> None:
    w = Ways(["c1", "c2"])
    assert w.to_service("state", "state", 10.0) is None
    said(w, "c1", 10.0, ["state"], can=[])
    assert w.to_service("state", "state", 10.0) is None, "an older release"
    said(w, "c2", 10.0, ["state"])
    assert (
        w.to_service("state", "state", 10.5) == "c2"
        and w.to_service("state", "state", 12.0) is None
    )
    said(w, "c1", 12.0, [], ["c2"])
    said(w, "c2", 12.0, ["state"])
    w.failed("c2", 12.1)
    assert w.to_service("state", "state", 12.2) == "c1", "over two members"
    assert w.to_service("state", "state", 12.2, hops=1) is None
    assert w.to_service("state", "state", 12.2, avoid=frozenset({"c1"})) is None
    said(w, "c2", 13.2, ["state"])
    assert w.to_service("state", "state", 13.2) == "c2", "not blamed for ever"


def test_a_way_that_keeps_failing_is_left_alone_for_longer() -> None:
    w, now, gaps = Ways(["c1"]), 10.0, []
    for _ in range(4):
        said(w, "c1", now, ["state"])
        w.failed("c1", now)
        begun = now
        while w.to_service("state", "state", now) is None:
            now += 0.1
            said(w, "c1", now, ["state"])
        gaps.append(now - begun)
    assert gaps == sorted(gaps) and gaps[-1] > 4 * gaps[0]


ODD = st.one_of(
    st.none(),
    st.integers(),
    st.text(max_size=5),
    st.lists(st.one_of(st.integers(), st.text(max_size=3))),
)


@given(
    st.dictionaries(
        st.sampled_from(["life", "can", "good", "through", "hears", "cut"]),
        st.one_of(ODD, st.dictionaries(st.integers(), st.text())),
    )
)
def test_any_word_of_a_member_is_read_or_passed_over(word: dict[str, object]) -> None:
    w = Ways(["c1"])
    w.heard("c1", word, 10.0)
    w.to_service("state", "state", 10.0)
    w.to_member("c1", "report", 10.0)
    w.well("c1", 10.0)


GOOD = relay_messages.Question("life", 1, relay_messages.STATE, 5.0, 2, "", "GET", "/kv/a", 0.0, b"")


@given(
    st.dictionaries(
        st.sampled_from(relay_messages.Question._fields),
        st.one_of(
            st.none(),
            st.booleans(),
            st.integers(),
            st.floats(),
            st.text(max_size=4),
            st.binary(max_size=4),
            st.lists(st.integers(), max_size=2),
        ),
    )
)
def test_any_question_is_checked(wrong: dict[str, object]) -> None:
    try:
        q = relay_messages.question({**GOOD._asdict(), **wrong})
    except relay_messages.Malformed:
        return
    assert (
        q.what in relay_messages.KINDS
        and isinstance(q.body, bytes)
        and 0 <= q.hold <= 60
        and isinstance(q.number, int)
    )


def test_a_question_asks_for_nothing_but_what_is_carried() -> None:
    assert relay_messages.question(GOOD._asdict()) == GOOD
    reboot = {"what": relay_messages.DO, "target": "h:1 /reboot"}
    for wrong in (
        {"target": "/admin"},
        {"what": "shell"},
        {"method": "PUT"},
        reboot,
        {"hops": 9},
        {"body": "x"},
    ):
        with pytest.raises(relay_messages.Malformed):
            relay_messages.question({**GOOD._asdict(), **wrong})


def test_what_is_open_and_what_waits_is_bounded() -> None:
    c = Calls("a")
    assert all(c.ask("c1", 5.0) for _ in range(MOST_OPEN)) and c.ask("c1", 5.0) is None
    assert (
        c.answered("a", 1, "c1") and not c.answered("a", 1, "c1") and c.ask("c1", 5.0) is not None
    )
    assert all(c.put("c1", ["x"], 10, 5.0) for _ in range(MOST_WAITING)) and not c.put(
        "c1", ["x"], 10, 5.0
    )
    assert (
        not c.put("c2", ["x"], MOST_BYTES + 1, 5.0)
        and c.put("c2", ["late"], 10, 1.0)
        and c.put("c2", ["x"], 10, 5.0)
    )
    assert c.take("c2", 2.0) == [["x"]] and c.take("c2", 2.0) == []
    assert len(c.take("c1", 2.0)) == MOST_WAITING and c.put("c1", ["x"], 10, 5.0)
    assert too_late(10.0, 100.0) and not too_late(10.0, 11.0)


def test_workers_are_sent_home_once_they_answer_and_ever_more_seldom_when_they_come_back() -> None:
    h, now = Homing(), 100.0
    assert not h.carried("n-1", "c1", now) and h.via("n-1", now, 3.0) == "c1"
    gaps, last = [], now
    for _ in range(4):
        while not (found := h.to_probe(now)):
            now += 0.5
            assert not h.carried("n-1", "c1", now)
        assert found == ["n-1"] and h.to_probe(now) == []
        h.probed("n-1", True, now)
        gaps.append(now - last)
        assert h.carried("n-1", "c1", now), "it answers: home"
        assert h.via("n-1", now, 3.0) is None
        now = last = now + 2.0
        assert not h.carried("n-1", "c1", now), "back again: it could not reach home"
    assert gaps[1] > 5.0 and gaps[-1] > 3 * gaps[1]
    h.probed("n-1", True, now) if h.to_probe(now + 200.0) else None
    h.carried("n-1", "c1", now + 200.0)
    h.direct("n-1", now + 200.0 + AGAIN_S + 1.0)
    assert "n-1" not in h.away


def test_only_so_many_workers_are_asked_at_once() -> None:
    h = Homing()
    for i in range(100):
        h.carried(f"n-{i}", "c1", 10.0)
    assert len(h.to_probe(10.0)) == PROBES and not h.to_probe(10.0)
    h.probed("n-0", False, 11.0)
    assert len(h.to_probe(11.0)) == 1


def test_a_home_that_comes_and_goes_gets_its_shard_back_ever_later() -> None:
    m, now, waits = Moves(6.0), 0.0, []
    for _ in range(4):
        m.left(1, now)
        assert not m.home_is(1, False, now)
        begun = now = now + 1.0
        while not m.home_is(1, True, now):
            now += 0.5
        waits.append(now - begun)
        m.well.clear()
    assert 6.0 <= waits[0] < 7.0 and all(
        b > 1.8 * a for a, b in zip(waits, waits[1:], strict=False)
    )
    now += 1000.0
    m.left(1, now)
    assert m.pause(1, now) == 6.0, "long forgotten"
    m.home_is(1, True, now)
    m.home_is(1, False, now + 5.0)
    assert not m.home_is(1, True, now + 8.0) and not m.home_is(1, True, now + 13.0), (
        "well only since then"
    )
