"""Tests of link health, relay routes, and failback of agents and shards."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ploverhall.connectivity.failback_backoff import FailbackBackoff
from ploverhall.connectivity.heartbeat_failback import (
    FAILED_FAILBACK_S,
    MAX_CONCURRENT_PROBES,
    HeartbeatFailback,
)
from ploverhall.connectivity.link_health import INITIAL_RECOVERY_S, MIN_FAILURE_S, LinkHealth
from ploverhall.connectivity.pending_relays import (
    MAX_OPEN_REQUESTS,
    MAX_QUEUED_BYTES,
    MAX_QUEUED_MESSAGES,
    PendingRelays,
    deadline_passed,
)
from ploverhall.connectivity.relay_routes import RelayRoutes
from ploverhall.errors import InvalidRelayMessageError
from ploverhall.protocol import relay_messages


def test_link_is_unhealthy_after_silence_and_healthy_after_sustained_answers() -> None:
    g = LinkHealth()
    g.record_answer(0.01, 10.0)
    g.record_overdue(10.1, 10.4)
    assert g.healthy, "an answer delayed by a few hundred milliseconds is no failure"
    g.record_overdue(10.1, 10.1 + MIN_FAILURE_S + 0.1)
    assert not g.healthy
    g.record_answer(0.01, 12.0)
    g.record_failure(12.5, 13.0)
    g.record_answer(0.01, 13.5)
    g.record_answer(0.01, 13.5 + INITIAL_RECOVERY_S - 0.1)
    assert not g.healthy, "a failure between two answers restarts the recovery time"
    g.record_answer(0.01, 13.5 + INITIAL_RECOVERY_S)
    assert g.healthy


def test_slow_request_or_slow_service_is_not_taken_for_a_partition() -> None:
    g = LinkHealth()
    for i in range(20):
        g.record_answer(0.01, 10.0 + 0.1 * i)
        g.record_overdue(9.0, 10.0 + 0.1 * i + 0.05)
    g.record_failure(9.0, 12.0)
    assert g.healthy
    slow = LinkHealth()
    for i in range(60):
        slow.record_answer(0.5, 10.0 + i)
    slow.record_overdue(69.1, 70.5)
    assert slow.healthy, "the service is always this slow"


def test_flapping_link_is_trusted_after_growing_delays() -> None:
    g, now, took = LinkHealth(), 100.0, []
    for _ in range(4):
        g.record_answer(0.01, now)
        g.record_failure(now + 0.1, now + 1.0)
        assert not g.healthy
        now = back = now + 2.0
        while not g.healthy:
            g.record_answer(0.01, now)
            now += 0.1
        took.append(now - back)
    assert all(b > 1.8 * a for a, b in zip(took, took[1:], strict=False))


def update_status(
    routes: RelayRoutes,
    name: str,
    now: float,
    good: list[str] | None = None,
    hears: list[str] | None = None,
    can: list[str] | None = None,
) -> None:
    routes.update(
        name,
        {
            "life": "x",
            "can": ["state", "report"] if can is None else can,
            "good": good or [],
            "hears": hears or [],
        },
        now,
    )


def test_routes_use_only_peers_with_fresh_status() -> None:
    w = RelayRoutes(["c1", "c2"])
    assert w.route_to_service("state", "state", 10.0) is None
    update_status(w, "c1", 10.0, ["state"], can=[])
    assert w.route_to_service("state", "state", 10.0) is None, (
        "a peer of an older release relays nothing"
    )
    update_status(w, "c2", 10.0, ["state"])
    assert (
        w.route_to_service("state", "state", 10.5) == "c2"
        and w.route_to_service("state", "state", 12.0) is None
    )
    update_status(w, "c1", 12.0, [], ["c2"])
    update_status(w, "c2", 12.0, ["state"])
    w.record_failure("c2", 12.1)
    assert w.route_to_service("state", "state", 12.2) == "c1", "the route over two peers"
    assert w.route_to_service("state", "state", 12.2, hops=1) is None
    assert w.route_to_service("state", "state", 12.2, avoid=frozenset({"c1"})) is None
    update_status(w, "c2", 13.2, ["state"])
    assert w.route_to_service("state", "state", 13.2) == "c2", "a failed route is used again"


def test_route_that_keeps_failing_backs_off() -> None:
    w, now, gaps = RelayRoutes(["c1"]), 10.0, []
    for _ in range(4):
        update_status(w, "c1", now, ["state"])
        w.record_failure("c1", now)
        begun = now
        while w.route_to_service("state", "state", now) is None:
            now += 0.1
            update_status(w, "c1", now, ["state"])
        gaps.append(now - begun)
    assert gaps == sorted(gaps) and gaps[-1] > 4 * gaps[0]


MALFORMED = st.one_of(
    st.none(),
    st.integers(),
    st.text(max_size=5),
    st.lists(st.one_of(st.integers(), st.text(max_size=3))),
)


@given(
    st.dictionaries(
        st.sampled_from(["life", "can", "good", "through", "hears", "cut"]),
        st.one_of(MALFORMED, st.dictionaries(st.integers(), st.text())),
    )
)
def test_malformed_relay_status_of_a_peer_raises_no_error(peer_status: dict[str, object]) -> None:
    w = RelayRoutes(["c1"])
    w.update("c1", peer_status, 10.0)
    w.route_to_service("state", "state", 10.0)
    w.route_to_peer("c1", "report", 10.0)
    w.all_services_reachable("c1", 10.0)


VALID_REQUEST = relay_messages.RelayRequest(
    "life", 1, relay_messages.STORE, 5.0, 2, "", "GET", "/kv/a", 0.0, b""
)
VALID_MESSAGE = dict(zip(relay_messages.REQUEST_WIRE_NAMES, VALID_REQUEST, strict=True))


@given(
    st.dictionaries(
        st.sampled_from(relay_messages.REQUEST_WIRE_NAMES),
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
def test_malformed_relay_request_is_rejected_or_valid(wrong: dict[str, object]) -> None:
    try:
        q = relay_messages.decode_request({**VALID_MESSAGE, **wrong})
    except InvalidRelayMessageError:
        return
    assert (
        q.kind in relay_messages.KINDS
        and isinstance(q.body, bytes)
        and 0 <= q.hold_s <= 60
        and isinstance(q.number, int)
    )


def test_relay_request_outside_the_relayable_calls_is_rejected() -> None:
    assert relay_messages.decode_request(VALID_MESSAGE) == VALID_REQUEST
    reboot = {"what": relay_messages.AGENT_COMMAND, "target": "h:1 /reboot"}
    for wrong in (
        {"target": "/admin"},
        {"what": "shell"},
        {"method": "PUT"},
        reboot,
        {"hops": 9},
        {"body": "x"},
    ):
        with pytest.raises(InvalidRelayMessageError):
            relay_messages.decode_request({**VALID_MESSAGE, **wrong})


def test_pending_and_queued_relay_requests_are_bounded() -> None:
    c = PendingRelays("a")
    assert (
        all(c.open_request("c1", 5.0) for _ in range(MAX_OPEN_REQUESTS))
        and c.open_request("c1", 5.0) is None
    )
    assert (
        c.complete("a", 1, "c1")
        and not c.complete("a", 1, "c1")
        and c.open_request("c1", 5.0) is not None
    )
    assert all(
        c.enqueue("c1", ["x"], 10, 5.0) for _ in range(MAX_QUEUED_MESSAGES)
    ) and not c.enqueue("c1", ["x"], 10, 5.0)
    assert (
        not c.enqueue("c2", ["x"], MAX_QUEUED_BYTES + 1, 5.0)
        and c.enqueue("c2", ["late"], 10, 1.0)
        and c.enqueue("c2", ["x"], 10, 5.0)
    )
    assert c.drain("c2", 2.0) == [["x"]] and c.drain("c2", 2.0) == []
    assert len(c.drain("c1", 2.0)) == MAX_QUEUED_MESSAGES and c.enqueue("c1", ["x"], 10, 5.0)
    assert deadline_passed(10.0, 100.0) and not deadline_passed(10.0, 11.0)


def test_agents_fail_back_once_they_answer_and_less_often_when_they_return() -> None:
    h, now = HeartbeatFailback(), 100.0
    assert not h.heartbeat_relayed("n-1", "c1", now) and h.relay_for("n-1", now, 3.0) == "c1"
    gaps, last = [], now
    for _ in range(4):
        while not (found := h.due_probes(now)):
            now += 0.5
            assert not h.heartbeat_relayed("n-1", "c1", now)
        assert found == ["n-1"] and h.due_probes(now) == []
        h.probe_finished("n-1", True, now)
        gaps.append(now - last)
        assert h.heartbeat_relayed("n-1", "c1", now), "the probe was answered: the agent fails back"
        assert h.relay_for("n-1", now, 3.0) is None
        now = last = now + 2.0
        assert not h.heartbeat_relayed("n-1", "c1", now), (
            "relayed again: the agent could not reach its controller"
        )
    assert gaps[1] > 5.0 and gaps[-1] > 3 * gaps[1]
    h.probe_finished("n-1", True, now) if h.due_probes(now + 200.0) else None
    h.heartbeat_relayed("n-1", "c1", now + 200.0)
    h.heartbeat_direct("n-1", now + 200.0 + FAILED_FAILBACK_S + 1.0)
    assert "n-1" not in h.relayed_agents


def test_concurrent_failback_probes_are_bounded() -> None:
    h = HeartbeatFailback()
    for i in range(100):
        h.heartbeat_relayed(f"n-{i}", "c1", 10.0)
    assert len(h.due_probes(10.0)) == MAX_CONCURRENT_PROBES and not h.due_probes(10.0)
    h.probe_finished("n-0", False, 11.0)
    assert len(h.due_probes(11.0)) == 1


def test_unstable_preferred_controller_gets_its_shard_back_after_growing_delays() -> None:
    m, now, waits = FailbackBackoff(6.0), 0.0, []
    for _ in range(4):
        m.record_loss(1, now)
        assert not m.should_fail_back(1, False, now)
        begun = now = now + 1.0
        while not m.should_fail_back(1, True, now):
            now += 0.5
        waits.append(now - begun)
        m.healthy_since.clear()
    assert 6.0 <= waits[0] < 7.0 and all(
        b > 1.8 * a for a, b in zip(waits, waits[1:], strict=False)
    )
    now += 1000.0
    m.record_loss(1, now)
    assert m.delay_s(1, now) == 6.0, "an old loss no longer adds to the delay"
    m.should_fail_back(1, True, now)
    m.should_fail_back(1, False, now + 5.0)
    assert not m.should_fail_back(1, True, now + 8.0) and not m.should_fail_back(
        1, True, now + 13.0
    ), "the healthy time restarts after an interruption"
