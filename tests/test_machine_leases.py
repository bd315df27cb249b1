"""Test that the lease of one incarnation of an agent says nothing about attempts of the next."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from ploverhall.protocol import agents, peer_messages
from ploverhall.protocol.peer_messages import JobUpdate, PermitUpdate
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.shard_owner import TOKEN_BITS, ShardOwner

from .job_sources import a_job
from .shard_owners import EPOCH, owner, report
from .simulation import parameters
from .simulation.cluster import SimulatedCluster
from .simulation.scene import run
from .simulation.simulated_network import RESET
from .simulation.verdicts import check_rules

VICTIM = agents.AttemptId("j-000002", 0, 3)
SUCCESSOR = agents.AttemptId("j-000001", 0, 5)
BASE_TOKEN = EPOCH << TOKEN_BITS


def listed(attempt_id: agents.AttemptId, state: str) -> list[dict[str, Any]]:
    task = f"{attempt_id.job_id}/{attempt_id.task}"
    return [{"chick": task, "hatch": attempt_id.attempt, "stance": state}]


def permits(stop_victim: bool = False) -> dict[str, Any]:
    entries: dict[str, Any] = {}
    for attempt_id, grace_s in ((VICTIM, 0.0 if stop_victim else None), (SUCCESSOR, None)):
        record = a_job(attempt_id.job_id).record()
        entries[peer_messages.job_key(attempt_id.job_id)] = JobUpdate(record, [1.0, 1.0, 1.0], 0)
        entries[peer_messages.permit_key(attempt_id)] = PermitUpdate("n-1", EPOCH, 0, grace_s)
    return entries


def owner_with_a_successor_that_waits_for_its_victim() -> tuple[ShardOwner, Machine]:
    """Return an owner whose machine was last answered at 1 s and then sends no heartbeats.

    Its lease is 10 s. The victim runs there and its kill got no answer.
    """
    shard_owner = owner()
    machine = shard_owner.on_heartbeat(report(1, BASE_TOKEN), 0.0)
    assert machine is not None
    shard_owner.on_source_update(0, True, permits(), 0.0)
    shard_owner.permits[SUCCESSOR].victims = (VICTIM,)
    assert len(shard_owner.commands_for(machine, 0.0)) == 1
    shard_owner.on_heartbeat(report(2, BASE_TOKEN, listed(VICTIM, "running")), 1.0)
    machine.last_answer_at = 1.0
    shard_owner.on_source_update(0, False, permits(stop_victim=True), 1.1)
    assert len(shard_owner.direct_commands(1.2)) == 1
    shard_owner.on_direct_answer(machine, None, 2.7)
    return shard_owner, machine


def test_attempt_sent_to_a_new_incarnation_is_not_gone_with_the_lease_of_the_earlier_one() -> None:
    shard_owner, machine = owner_with_a_successor_that_waits_for_its_victim()
    assert len(shard_owner.direct_commands(11.9)) == 1
    refused = report(3, BASE_TOKEN, session=2)  # its lease ran out at 11.0
    shard_owner.on_direct_answer(machine, refused, 11.95)
    runs = shard_owner.direct_commands(11.96)
    if runs:
        fetching = report(4, machine.token, listed(SUCCESSOR, "pulling"), session=2)
        shard_owner.on_direct_answer(machine, fetching, 11.97)
    shard_owner.epoch_confirmed_at = 12.05
    shard_owner.advance_time(12.1)
    is_gone = shard_owner.attempt_update(shard_owner.permits[SUCCESSOR]).state == "gone"
    assert not (runs and is_gone), "it runs on n-1, and may be started elsewhere"


async def reset_connections_in_a_burst(
    cluster: SimulatedCluster, job_count: int, **submission: Any
) -> None:
    """Reset most machines' connections for a lease in a burst of jobs that preempt arrays.

    Their heartbeats then stay out for 8 s, while commands arrive.
    """
    for number in range(900, 906):
        await cluster.submit(
            cluster.spec(number, gait="array", chicks=8, flightS=400.0, rank="best_effort")
        )
    await anyio.sleep(8.0)
    machines = sorted(cluster.workers)[:9]
    for machine in machines:
        for name in cluster.names:
            cluster.net.cut(name, machine, RESET, parameters.LEASE_S)
    for number in range(910, 910 + job_count):
        cluster.tasks.start_soon(
            cluster.submit, cluster.spec(number, rank="production", **submission)
        )
        await anyio.sleep(0.1)
    cluster.block_connections(machines, parameters.LEASE_S + 8.0)
    await anyio.sleep(40.0)


@pytest.mark.parametrize(
    ("seed", "job_count", "submission"),
    [
        (1, 15, {"gait": "daemon", "chicks": 4}),
        (2, 20, {"gait": "group", "chicks": 2, "together": True, "flightS": 60.0}),
    ],
    ids=["services", "gangs_in_one_zone"],
)
def test_machines_whose_connections_are_reset_for_a_lease_run_no_task_twice(
    seed: int, job_count: int, submission: dict[str, Any]
) -> None:
    async def scene(cluster: SimulatedCluster) -> None:
        await reset_connections_in_a_burst(cluster, job_count, **submission)

    cluster = run(scene, seed)
    assert cluster.fleet.killed_by_lease > 20 and cluster.gone_verdicts.verdict_count > 20
    check_rules(cluster)


def test_no_run_is_sent_to_an_incarnation_that_has_sent_no_heartbeat() -> None:
    shard_owner, machine = owner_with_a_successor_that_waits_for_its_victim()
    shard_owner.direct_commands(11.9)
    shard_owner.on_direct_answer(machine, report(3, BASE_TOKEN, session=2), 11.95)
    assert not shard_owner.direct_commands(11.96)
    shard_owner.on_heartbeat(report(4, machine.token, session=2), 12.0)
    assert [command["call"] for command in shard_owner.commands_for(machine, 12.0)] == ["run"]


def test_unsupported_verdict_leaves_the_attempt_known_and_its_capacity_occupied() -> None:
    shard_owner, machine = owner_with_a_successor_that_waits_for_its_victim()
    successor = shard_owner.permits[SUCCESSOR]
    successor.run_token, successor.run_incarnation = machine.token, 2
    free_before = shard_owner.inventory.free_capacity(machine)
    shard_owner.epoch_confirmed_at = 12.05
    shard_owner.advance_time(12.1)
    assert machine.lease_expired and shard_owner.permits[VICTIM].gone and not successor.gone
    assert shard_owner.inventory.free_capacity(machine)[1] == free_before[1] + 1.0
    (unsupported,) = (v for v in shard_owner.gone_verdicts.take() if not v.is_supported)
    assert unsupported.attempt_id == SUCCESSOR and unsupported.incarnation == 1
