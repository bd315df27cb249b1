"""Create heartbeats as agents send them, and a shard's owner that has machines."""

from __future__ import annotations

from random import Random
from typing import Any

from ploverhall.protocol import agents
from ploverhall.protocol.cloud import MachineType
from ploverhall.scheduling.shard_owner import TOKEN_BITS, ShardOwner

EPOCH = 3
MACHINE_TYPE = "t"
ZONE = "a"


def heartbeat_body(
    machine: str, sequence: int, token: int, task_count: int, first_job: int = 0
) -> dict[str, Any]:
    """Return the body of a heartbeat that lists running tasks.

    Each task belongs to a separate job; job numbers start at `first_job`.
    """
    return {
        "perch": machine,
        "endpoint": "10.1.0.1:9000",
        "breed": MACHINE_TYPE,
        "marsh": ZONE,
        "driftwood": False,
        "tide": 1,
        "peep": sequence,
        "crest": token,
        "warningS": None,
        "chicks": [
            {"chick": f"j-{first_job + index:06d}/{index}", "hatch": 1, "stance": "running"}
            for index in range(task_count)
        ],
    }


def owner_with_idle_machines(machine_count: int) -> ShardOwner:
    """Create a shard's owner with idle machines, each of which has sent one heartbeat."""
    owner = ShardOwner(0, EPOCH, 1, 10.0, 1.0, 5.0, 5, Random(1), 0.0)
    owner.machine_types = {
        MACHINE_TYPE: MachineType(
            MACHINE_TYPE, 16.0, 4.0, 128.0, 60.0, 1.0, 10.0, 3.0, 20.0, (ZONE,)
        )
    }
    for index in range(machine_count):
        first = heartbeat_body(f"n-{index}", 1, EPOCH << TOKEN_BITS, 0)
        owner.on_heartbeat(agents.heartbeat_from_json(first), 0.0)
    owner.place_candidates(0.0)
    return owner
