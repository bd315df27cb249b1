"""Test commands, cancellations and leases with unresponsive agents.

The agents hang, receive messages late or not at all, or reach no controller. A scene without the
guard that it tests must break a rule.
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


def count_command_answers_as_heartbeats(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove the guard: an answered command counts as a heartbeat that has renewed the lease."""
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
        pytest.param(
            25.0,
            False,
            count_command_answers_as_heartbeats,
            id="25.0-False-an_answer_to_a_command_is_a_report",
        ),
    ],
)
def test_agent_without_heartbeats_gets_no_new_task_although_commands_reach_it(
    s: float, change: bool, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Cancelled tasks on such agents end by command. An answered command renews no lease, so no
    task starts there until the agents send heartbeats again.
    """
    if without is not None:
        without(monkeypatch)
    late_starts: list[Any] = []

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
        late_starts.extend(
            x for x in cluster.fleet.started_on if x[1] in machines and x[0] > at + 5.0
        )
        await anyio.sleep(15.0)
        assert not cluster.starts_after_cancellation()
        assert any(x[1] in machines and x[0] > at + s for x in cluster.fleet.started_on), (
            "the machines were not used again"
        )
        assert not await cluster.left_waiting(30.0)

    if without is None:
        play(scene, machines=12)
    else:
        with contextlib.suppress(AssertionError):
            play(scene, machines=12)
    assert bool(late_starts) == (without is not None), (
        "tasks started on machines that reach no controller"
    )


@pytest.mark.parametrize("disconnected", [True, False])
def test_lost_kill_command_is_sent_again(
    disconnected: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The kill is sent as a command as soon as the machine is reachable again, without waiting for
    a heartbeat or for the lease.
    """
    monkeypatch.setattr(parameters, "LEASE_S", 16.0)
    monkeypatch.setattr(parameters, "CANCEL_S", 46.0)
    seconds_until_gone: list[float] = []

    async def scene(cluster: SimulatedCluster) -> None:
        await cluster.submit(cluster.spec(900, gait="daemon", chicks=8))
        await anyio.sleep(6.0)
        machines = {w.name for w in cluster.fleet.workers.values() if w.tasks}
        if disconnected:
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
        assert not cluster.state.store.permits(), "the tasks were not proved gone"

    play(scene, machines=6)
    assert seconds_until_gone[0] < 9.0, seconds_until_gone


def confirm_gone_without_token(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove the guard: an attempt that the newest list omits is gone, without a raised token.

    Its run command may still arrive.
    """
    monkeypatch.setattr(PermitTable, "check_gone", check_gone_without_fencing_tokens)
    monkeypatch.setattr(ShardState, "raise_token", lambda self, m: True)


def send_no_kill(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove the guard that owners send kill commands.

    An agent that hung within its lease then continues, and the checks must report it.
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
        pytest.param(
            "command",
            6.0,
            confirm_gone_without_token,
            "started late",
            id="command-6.0-no_run_is_fenced-started late",
        ),
        pytest.param(
            "hang",
            7.0,
            send_no_kill,
            "ran_cancelled",
            id="hang-7.0-nothing_is_stopped-ran_cancelled",
        ),
    ],
)
def test_cancelled_tasks_end_in_time_when_agents_hang_or_receive_late(
    how: str, s: float, without: Any, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Some tasks run on the agents, some have just been sent; a lease is 10 s. With command and
    answer, only commands or their answers are delayed, and heartbeats work.

    The tasks are gone in time after the acknowledgement, also where the machine continues with its
    tasks. No two attempts of a task run at once.
    """
    if without is not None:
        without(monkeypatch)

    async def scene(cluster: SimulatedCluster) -> None:
        for n in range(900, 904):
            await cluster.submit(cluster.spec(n, gait="daemon", chicks=4))
        await anyio.sleep(6.0)  # all machines have the image
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
            for n in sent:  # their tasks are sent to these machines, too
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
        )  # runs that were in flight at that moment may still start
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
