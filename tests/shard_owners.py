"""Build shard owners and heartbeats for tests of proofs and fencing tokens, without any I/O."""

from __future__ import annotations

from random import Random
from typing import Any

from ploverhall.protocol import agents, peer_messages
from ploverhall.protocol.peer_messages import JobUpdate, PermitUpdate
from ploverhall.scheduling.shard_owner import TOKEN_BITS, ShardOwner

from .job_sources import a_job
from .simulation.parameters import MACHINE_TYPE

EPOCH = 7


def owner(epoch: int = EPOCH) -> ShardOwner:
    o = ShardOwner(0, epoch, 1, 10.0, 1.0, 5.0, 5, Random(1), 0.0)
    o.machine_types = {"t": MACHINE_TYPE}
    return o


def report(
    seq: int, token: int, tasks: list[dict[str, Any]] | None = None, session: int = 1
) -> agents.Heartbeat:
    return agents.heartbeat_from_json(
        {
            "perch": "n-1",
            "endpoint": "x:1",
            "breed": "t",
            "marsh": "a",
            "driftwood": False,
            "tide": session,
            "peep": seq,
            "crest": token,
            "warningS": None,
            "chicks": tasks or [],
        }
    )


def failed_on(
    o: ShardOwner, job: str, machine: str, seq: int, broken: int = 0, stance: str = "ended"
) -> None:
    """Report a task of a job as ended with an error on a machine, or as in state `stance` there."""
    record = a_job(job, spot=True).record()
    source_entries: dict[str, Any] = {
        peer_messages.job_key(job): JobUpdate(record, [1.0, 1.0, 1.0], 0, broken)
    }
    source_entries[peer_messages.permit_key(agents.AttemptId(job, 0, seq))] = PermitUpdate(
        machine, EPOCH, 0, None
    )
    o.on_source_update(0, False, source_entries, float(seq))
    o.on_heartbeat(
        agents.heartbeat_from_json(
            {
                "perch": machine,
                "endpoint": "x:1",
                "breed": "t",
                "marsh": "a",
                "driftwood": False,
                "tide": 1,
                "peep": seq,
                "crest": EPOCH << TOKEN_BITS,
                "warningS": None,
                "chicks": [{"chick": f"{job}/0", "hatch": seq, "stance": stance, "cause": "error"}],
            }
        ),
        float(seq),
    )
