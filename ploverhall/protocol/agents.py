"""The workers' words: reports in, commands out."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import Annotated, Any

import msgspec

from ploverhall.errors import InvalidHeartbeatError

# task states as they are called inside
TASK_STATES = {
    "pulling": "fetching",
    "waiting": "waiting",
    "running": "running",
    "flushing": "saving",
    "ended": "exited",
}
EXITED = "exited"
TASK_NAMES = 65_536  # names kept as parsed: 16 tasks on each of 4,000 machines
AttemptId = tuple[str, int, int]  # job, task, attempt


@dataclass(slots=True)
class TaskStatus:
    """One task as a machine reports it."""

    state: str
    reason: str
    checkpoint_saved: bool


LISTED_TASK_WIRE_NAMES = {
    "task_name": "chick",
    "attempt": "hatch",
    "state": "stance",
    "exit_reason": "cause",
    "checkpoint_saved": "kept",
}
HEARTBEAT_WIRE_NAMES = {
    "machine": "perch",
    "address": "endpoint",
    "machine_type": "breed",
    "zone": "marsh",
    "incarnation": "tide",
    "sequence": "peep",
    "token": "crest",
    "spot": "driftwood",
    "termination_notice_s": "warningS",
    "tasks": "chicks",
}


class ListedTask(msgspec.Struct, gc=False, rename=LISTED_TASK_WIRE_NAMES):
    """One task as it stands in a heartbeat."""

    task_name: str
    attempt: Annotated[int, msgspec.Meta(ge=0)]
    state: str = ""
    exit_reason: str | None = None
    checkpoint_saved: bool | None = None


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=500)]
Count = Annotated[int, msgspec.Meta(ge=0)]


class _HeartbeatBody(msgspec.Struct, gc=False, rename=HEARTBEAT_WIRE_NAMES):
    """A heartbeat's body; unknown fields are ignored."""

    machine: Name
    address: Name
    machine_type: Name
    zone: Name
    incarnation: Count
    sequence: Count
    token: Count
    spot: bool | None = None
    termination_notice_s: float | None = None
    tasks: list[ListedTask] | None = None


@dataclass(slots=True)
class Heartbeat:
    """One worker's report, from its own mouth or as the body of a /do answer.

    Most reports list what the one before listed: `listed` is compared with that one, and only what differs is taken apart.
    """

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    incarnation: int
    sequence: int
    token: int
    termination_notice_s: float | None
    listed_tasks: list[ListedTask]

    def tasks(self) -> dict[AttemptId, TaskStatus]:
        """The listed tasks by key."""
        tasks: dict[AttemptId, TaskStatus] = {}
        for listed in self.listed_tasks:
            job, index = split_task(listed.task_name)
            tasks[job, index, listed.attempt] = TaskStatus(
                TASK_STATES.get(listed.state, "running"),
                listed.exit_reason or "",
                bool(listed.checkpoint_saved),
            )
        return tasks


@lru_cache(maxsize=TASK_NAMES)
def split_task(name: str) -> tuple[str, int]:
    """`j-000412/3` -> ("j-000412", 3)."""
    job, _, index = name.rpartition("/")
    if not job or not index.isascii() or not index.isdigit() or len(index) > 9:
        raise InvalidHeartbeatError("chick")
    return job, int(index)


_decoder = msgspec.json.Decoder(_HeartbeatBody)


def _validated(body: _HeartbeatBody) -> Heartbeat:
    listed_tasks = body.tasks or []
    for listed in listed_tasks:
        split_task(listed.task_name)
        if listed.attempt >= 1 << 64:
            raise InvalidHeartbeatError("hatch")
    if body.incarnation >= 1 << 64 or body.sequence >= 1 << 64 or body.token >= 1 << 64:
        raise InvalidHeartbeatError(problem="a count of 2^64 or more")
    return Heartbeat(
        body.machine,
        body.address,
        body.machine_type,
        body.zone,
        bool(body.spot),
        body.incarnation,
        body.sequence,
        body.token,
        body.termination_notice_s,
        listed_tasks,
    )


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Check a report as it came. Raises Malformed, naming the field."""
    try:
        return _validated(_decoder.decode(body))
    except msgspec.MsgspecError as error:
        raise InvalidHeartbeatError(problem=str(error)) from error
    except UnicodeDecodeError as error:
        raise InvalidHeartbeatError(problem="not UTF-8") from error


def heartbeat_from_json(d: Any) -> Heartbeat:
    """Check a report that is JSON already."""
    try:
        return _validated(msgspec.convert(d, _HeartbeatBody))
    except msgspec.MsgspecError as error:
        raise InvalidHeartbeatError(problem=str(error)) from error


def run_command(attempt_id: AttemptId) -> dict[str, Any]:
    """Start a task."""
    return {"call": "run", "chick": f"{attempt_id[0]}/{attempt_id[1]}", "hatch": attempt_id[2]}


def kill_command(attempt_id: AttemptId, grace: float) -> dict[str, Any]:
    """Stop a task, giving it time to save."""
    return {
        "call": "kill",
        "chick": f"{attempt_id[0]}/{attempt_id[1]}",
        "hatch": attempt_id[2],
        "settleS": grace,
    }


def reap_command(attempt_id: AttemptId) -> dict[str, Any]:
    """Forget an exited task."""
    return {"call": "reap", "chick": f"{attempt_id[0]}/{attempt_id[1]}", "hatch": attempt_id[2]}


def heartbeat_answer(token: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """The answer to a report."""
    return {"crest": token, "calls": commands}


def direct_request(token: int, incarnation: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """The body of /do."""
    return {"crest": token, "tide": incarnation, "calls": commands}


def redirect(controller: str | None) -> dict[str, Any]:
    """The body of a 421."""
    return {"homing": controller} if controller else {}
