"""Test the status report.

It combines all controllers' views in one answer, lists problems first, and is bounded in size.
"""

from __future__ import annotations

import time
from typing import Any

import anyio
import orjson
import pytest

from ploverhall import log, settings, status
from ploverhall.controller.context import HeldShard
from ploverhall.controller.controller import Controller
from ploverhall.protocol import peer_messages
from ploverhall.protocol.peer_messages import AttemptUpdate
from ploverhall.scheduling.shard_owner import ShardOwner

from .job_sources import a_job, play_outcomes, source
from .shard_owners import failed_on
from .test_loopback import config


def three_controllers() -> list[Controller]:
    """Return three controllers that know of one another."""
    nodes = []
    for me in range(3):
        data = config([1, 2, 3, 4])
        data["host_name"] = f"c{me}"
        data["siblings"] = [
            {"host_name": f"c{i}", "site": "a", "addr": f"127.0.0.1:{5 + i}"}
            for i in range(3)
            if i != me
        ]
        nodes.append(Controller(settings.parse(data)))
    return nodes


def hold(node: Controller, shard: int) -> HeldShard:
    s = node.settings
    owner = ShardOwner(
        shard,
        7,
        3,
        s.lease_s,
        s.heartbeat_interval_s,
        5.0,
        5,
        node.context.random,
        time.monotonic(),
    )

    async def make() -> HeldShard:
        return HeldShard(shard, 7, owner, source(30.0))

    held = node.context.held_shards[shard] = anyio.run(make)
    return held


def exchange_status_messages(a: Controller, b: Controller) -> None:
    now = time.monotonic()
    for one, other in ((a, b), (b, a)):
        for m in one.status_report.collect(other.settings.name, now):
            other.status_report.deliver(one.settings.name, m)


def request_status(a: Controller, b: Controller, filters: dict[str, str]) -> Any:
    async def run() -> Any:
        out: list[Any] = []
        for link in a.peer_links.links.values():
            link.connected = link.name == b.settings.name

        async def request_answer() -> None:
            out.append(await a.status_report.answer(filters))

        async with anyio.create_task_group() as tg:
            tg.start_soon(request_answer)
            while not out:
                exchange_status_messages(a, b)
                await anyio.sleep(0.01)
        return orjson.loads(orjson.dumps(out[0]))

    return anyio.run(run)


def test_any_controller_reports_the_whole_fleet_and_marks_stale_views() -> None:
    a, b, c = three_controllers()
    held = hold(b, 1)
    assert held.source is not None
    held.source.on_job(a_job("j-000001", task_count=12), "j-000001", 5, 0.0)
    play_outcomes(held.source, 20, lambda job, task, machine, now: "error")
    held.source.on_job(
        a_job("j-000002", kind="gang", task_count=3, job_class="g"),
        "j-000002",
        6,
        time.monotonic() - 300.0,
    )
    hold(c, 2)
    a.status_report.peer_reports["c2"] = (time.monotonic() - 34.0, c.shard_status.report())
    data = request_status(a, b, {})
    lines = status.format_text(data, {})
    assert lines[0].startswith("wrong now:")
    shown = "\n".join(lines)
    first = shown[: shown.index("machines:")]
    assert (
        "j-000001 (t) fails on all machines" in first
        and "c2 can't be asked: what it held is as of 3" in first
    )
    assert "gang j-000002 (t) has waited 300 s: no machine has room" in first
    assert (
        "shard 0 is held by no controller that can be reached" in first and "shard 2" not in first
    )
    assert "died lately:" in shown and "error" in shown[shown.index("died lately:") :]
    filtered = "\n".join(
        status.format_text(request_status(a, b, {"job": "j-000002"}), {"job": "j-000002"})
    )
    assert "job j-000002" in filtered and "job j-000001 (array" not in filtered


def test_shard_status_is_bounded_whatever_is_waiting() -> None:
    (node, *_) = three_controllers()
    held = hold(node, 0)
    assert held.source is not None
    for i in range(3000):
        held.source.on_job(
            a_job(f"j-{i:06d}", task_count=40, submitted_at=float(i)), f"j-{i:06d}", 5, 0.0
        )
        if i < 400:
            failed_on(held.owner, f"j-{i}", f"n-{i}", i + 1)
            failed_on(held.owner, f"k-{i}", f"n-{i}", i + 2)
    view = node.shard_status.report()
    assert len(orjson.dumps(view)) < 40_000 and view["left_out"] > 2900
    assert sum(jobs for jobs, _ in view["queue"].values()) == 3000


def test_condition_is_reported_while_it_holds_and_not_after() -> None:
    (node, *_) = three_controllers()
    held = hold(node, 0)
    assert held.source is not None
    held.source.on_job(a_job("j-000001", task_count=4), "j-000001", 5, 0.0)
    play_outcomes(held.source, 5, lambda job, task, machine, now: "error")
    before = status.conditions(node.shard_status.report())
    assert "broken j-000001" in before
    play_outcomes(held.source, 60, lambda job, task, machine, now: "done", first=60)
    after = status.conditions(node.shard_status.report())
    assert "broken j-000001" not in after and set(after) <= set(before)


def test_failed_attempt_records_its_machine_and_reason() -> None:
    s = source()
    s.on_job(a_job(task_count=1, kind="service"), "j-000001", 5, 0.0)
    play_outcomes(s, 3, lambda job, task, machine, now: "running")
    (e,) = s.jobs["j-000001"].allocations.values()
    s.on_owner_update(
        0,
        3,
        False,
        {
            peer_messages.attempt_key(e.attempt_id): AttemptUpdate(
                "gone", "its machine is gone", 0, 0
            )
        },
        9.0,
    )
    assert [(d.at, d.job_id, d.machine, d.reason) for d in s.store.failed_attempts] == [
        (9.0, "j-000001", e.machine, "its machine is gone")
    ]


def test_unhealthy_links_are_reported_with_their_relays() -> None:
    a, b, _ = three_controllers()
    b.store_service.health.healthy, a_now = False, time.monotonic()
    b.relay_routes.update(
        "c0", {"life": "x", "can": ["state"], "good": ["state"], "hears": []}, a_now
    )
    b.agent_commands.failback.heartbeat_relayed("n-1", "c0", a_now)
    lines = status.format_text(request_status(a, b, {}), {})
    assert any("c1 reaches the key-value store through c0 only" in line for line in lines)
    assert any("c1: 1 agents reach it through another controller only" in line for line in lines)
    old = {**b.shard_status.report()}
    del old["reach"]
    assert not any("through" in t for t in status.conditions(old).values()), (
        "an earlier release sends no `reach`, so no relay must be reported"
    )


def test_line_break_in_a_value_forges_no_log_line(capsys: pytest.CaptureFixture[str]) -> None:
    log.error(
        "accepted",
        klass="x\nerror lease lost lease=9",
        machine="n\u2028\x1b[2J",
        job="j-000001",
        who="Áine b",
    )
    out = capsys.readouterr().err
    assert (
        out
        == "error accepted klass=x\\nerror lease lost lease=9 machine=n\\u2028\\x1b[2J job=j-000001 who=Áine b\n"
    )
