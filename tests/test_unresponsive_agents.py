"""Agents that hang, receive late or not at all, or reach no controller: commands, cancellations and leases.

A scene that is played without the guard it is there for has to break a rule.
"""

from __future__ import annotations

import contextlib
from typing import Any

import anyio
import pytest

from ploverhall.protocol.agents import Heartbeat
from ploverhall.scheduling.command_builder import CommandBuilder
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.scheduling.shard_state import ShardState

from .removed_guards import (
    check_gone_without_fencing_tokens,
)
from .simulation import parameters
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.simulated_network import HOLD, SILENT


def an_answer_to_a_command_is_a_report(monkeypatch: pytest.MonkeyPatch) -> None:
    """The answer to a command counts as a heartbeat whose lease has just been renewed."""
    real = ShardOwner.on_heartbeat

    def on_report(
        self: ShardOwner, r: Heartbeat, now: float, direct: bool = False, relayed: bool = False
    ) -> Any:
        return real(self, r, now, False, relayed)

    monkeypatch.setattr(ShardOwner, "on_heartbeat", on_report)


@pytest.mark.parametrize(
    ("s", "change", "without"),
    [
        (6.0, False, None),
        (25.0, False, None),
        (25.0, True, None),
        (25.0, False, an_answer_to_a_command_is_a_report),
    ],
)
def test_agent_that_cannot_report_gets_no_new_task_although_commands_reach_it(
    s: float, change: bool, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Cancelled tasks there end by command; an answered command renews no lease, so nothing new
    starts there until they report.
    """
    if without is not None:
        without(monkeypatch)
    given: list[Any] = []

    async def scene(cluster: SimulatedCluster) -> None:
        for n in range(900, 904):
            await cluster.submit(cluster.spec(n, gait="daemon", chicks=6))
        cluster.tasks.start_soon(cluster.submit_random_jobs, 60.0, 0.7)
        await anyio.sleep(7.0)
        machines = [w for c in cluster.names for w in cluster.workers_of(c)[:2]]
        cluster.block_connections(machines, s)
        at = cluster.now
        for n in (900, 901):
            await cluster.withdraw(f"j-{n:06d}")
        await anyio.sleep(1.0)
        assert not [
            k
            for w in cluster.fleet.workers.values()
            for k in w.on_machine()
            if k[0] in cluster.cancelled
        ]
        if change:
            cluster.tasks.start_soon(cluster.crash, "c0", 20.0)
        await anyio.sleep(at + s - cluster.now)
        given.extend(x for x in cluster.fleet.started_on if x[1] in machines and x[0] > at + 5.0)
        await anyio.sleep(15.0)
        assert not cluster.starts_after_cancellation()
        assert any(x[1] in machines and x[0] > at + s for x in cluster.fleet.started_on), (
            "they are used again"
        )
        assert not await cluster.left_waiting(30.0)

    if without is None:
        play(scene, machines=12)
    else:
        with contextlib.suppress(AssertionError):
            play(scene, machines=12)
    assert bool(given) == (without is not None), "starts on machines that report to nobody"


@pytest.mark.parametrize("mute", [True, False])
def test_lost_kill_command_is_sent_again(mute: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """By command where that reaches the machine again: it waits neither for a heartbeat nor for the
    lease.
    """
    monkeypatch.setattr(parameters, "LEASE_S", 16.0)
    monkeypatch.setattr(parameters, "CANCEL_S", 46.0)
    seconds_until_gone: list[float] = []

    async def scene(cluster: SimulatedCluster) -> None:
        await cluster.submit(cluster.spec(900, gait="daemon", chicks=8))
        await anyio.sleep(6.0)
        machines = {w.name for w in cluster.fleet.workers.values() if w.tasks}
        if mute:
            cluster.block_connections(machines, 30.0)
        for w in machines:
            for c in cluster.names:
                cluster.net.cut(c, w, SILENT, 2.5, both=False)
        at = cluster.now
        cluster.tasks.start_soon(cluster.withdraw, "j-000900")
        while any(w.on_machine() for w in cluster.fleet.workers.values()):
            await anyio.sleep(0.1)
        seconds_until_gone.append(cluster.now - at)
        await anyio.sleep(30.0)
        assert not cluster.state.store.permits(), "and is proved gone"

    play(scene, machines=6)
    assert seconds_until_gone[0] < 9.0, seconds_until_gone


def no_run_is_fenced(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the newest list omits is gone, though its run may still arrive: its token is not raised."""
    monkeypatch.setattr(PermitTable, "check_gone", check_gone_without_fencing_tokens)
    monkeypatch.setattr(ShardState, "raise_token", lambda self, m: True)


def nothing_is_stopped(monkeypatch: pytest.MonkeyPatch) -> None:
    """No kill is sent: an agent that hung within its lease goes on, and the simulation has to
    report it.
    """
    real = CommandBuilder.commands_for

    def commands(self: CommandBuilder, *a: Any, **kw: Any) -> Any:
        return [c for c in real(self, *a, **kw) if c["call"] != "kill"]

    monkeypatch.setattr(CommandBuilder, "commands_for", commands)


@pytest.mark.parametrize(
    ("how", "s", "without", "rule"),
    [
        ("hang", 7.0, None, ""),
        ("hang", 9.3, None, ""),
        ("hang", 16.0, None, ""),
        ("hold", 9.3, None, ""),
        ("deaf", 9.3, None, ""),
        ("command", 6.0, None, ""),
        ("answer", 6.0, None, ""),
        ("command", 6.0, no_run_is_fenced, "started late"),
        ("hang", 7.0, nothing_is_stopped, "ran_cancelled"),
    ],
)
def test_cancelled_tasks_end_in_time_when_agents_hang_or_receive_late(
    how: str, s: float, without: Any, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Some tasks run there, some have just been sent; a lease is 10 s. command, answer: only those
    are delayed, heartbeats come and go.

    The tasks are gone in time from the acknowledgement, also where the machine goes on with what it
    had; no attempt runs beside another.
    """
    if without is not None:
        without(monkeypatch)

    async def scene(cluster: SimulatedCluster) -> None:
        for n in range(900, 904):
            await cluster.submit(cluster.spec(n, gait="daemon", chicks=4))
        await anyio.sleep(6.0)  # all have the image
        for wave in range(2):
            running = [f"j-{900 + 2 * wave + i:06d}" for i in range(2)]
            machines = sorted(
                w.name
                for w in cluster.fleet.workers.values()
                if any(k[0] in running for k in w.tasks)
            )[:8]
            if how == "hang":
                cluster.hang(machines, s)
            elif how in ("command", "answer"):
                cluster.fleet.command_holds.update(
                    dict.fromkeys(machines, (cluster.now + s, how == "answer"))
                )
            elif how == "deaf":
                cluster.block_deliveries(machines, s)
            else:
                for w in machines:
                    for c in cluster.names:
                        cluster.net.cut(c, w, HOLD, s)
            at, sent = cluster.now, range(910 + 10 * wave, 918 + 10 * wave)
            for n in sent:  # they are sent to these machines, too
                cluster.tasks.start_soon(
                    cluster.submit,
                    cluster.spec(n, gait="daemon" if n % 2 else "array", chicks=2, flightS=8.0),
                )
            for job_id in running:
                cluster.tasks.start_soon(cluster.withdraw, job_id)
            await anyio.sleep(0.6)
            for n in list(sent)[::3]:
                cluster.tasks.start_soon(cluster.withdraw, f"j-{n:06d}")
            await anyio.sleep(at + s + 4.0 - cluster.now)
            if without is None:
                assert not [
                    k
                    for w in cluster.fleet.workers.values()
                    for k in w.on_machine()
                    if k[0] in cluster.cancelled
                ]
        late_starts.extend(
            x for x in cluster.starts_after_cancellation() if x[1] > 0.5
        )  # what was on its way in that moment may still start
        await anyio.sleep(45.0 if without is not None else 8.0)
        assert len(cluster.cancelled) == 10 and not await cluster.left_waiting(30.0)

    late_starts: list[Any] = []
    try:
        play(scene, machines=12)
        failure = ""
    except AssertionError as e:
        failure = str(e)
    failure += f"started late: {late_starts}" if late_starts else ""
    assert rule in failure if rule else not failure, failure
