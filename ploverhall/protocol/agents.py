"""Decodes the heartbeats of agents and builds the commands that are sent to them.

Defines the published names of the agents' interface. `controller.heartbeat_requests` decodes the
heartbeats, `scheduling.shard_owner` and `coordination.restart_recovery` build the commands, and
`controller.agent_commands` sends the commands that cannot wait for a heartbeat.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import Annotated, Any, NamedTuple

import msgspec

from ploverhall.errors import InvalidHeartbeatError
from ploverhall.transport.http_parser import MAX_BODY

# Task states: published name -> name used in this package
TASK_STATES = {
    "pulling": "fetching",
    "waiting": "waiting",
    "running": "running",
    "flushing": "saving",
    "ended": "exited",
}
RUNNING = "running"
EXITED = "exited"
# Cached results of split_task: enough for 16 tasks on each of 4,000 machines
TASK_NAME_CACHE_SIZE = 65_536
MAX_TASK_INDEX_DIGITS = 9
COUNT_LIMIT = 1 << 64  # counters on the wire are unsigned 64-bit integers
# A heartbeat is a request of at most MAX_BODY bytes. It lists every task on the machine, also the
# exited ones that have not been reaped. The sizes are upper bounds for the longest names and counts,
# in bytes; a command is no larger than a listed task
HEARTBEAT_HEAD_BYTES = 1_536  # a heartbeat without its tasks
LISTED_TASK_BYTES = 128
MAX_LISTED_TASKS = (MAX_BODY - HEARTBEAT_HEAD_BYTES) // LISTED_TASK_BYTES

# Published field names that occur in more than one message
TASK_NAME_FIELD = "chick"
ATTEMPT_FIELD = "hatch"
INCARNATION_FIELD = "tide"
TOKEN_FIELD = "crest"

LISTED_TASK_WIRE_NAMES = {
    "task_name": TASK_NAME_FIELD,
    "attempt": ATTEMPT_FIELD,
    "state": "stance",
    "exit_reason": "cause",
    "checkpoint_saved": "kept",
}
HEARTBEAT_WIRE_NAMES = {
    "machine": "perch",
    "address": "endpoint",
    "machine_type": "breed",
    "zone": "marsh",
    "incarnation": INCARNATION_FIELD,
    "sequence": "peep",
    "token": TOKEN_FIELD,
    "spot": "driftwood",
    "termination_notice_s": "warningS",
    "tasks": "chicks",
}

# Fields and verbs of the commands
COMMANDS_FIELD = "calls"
COMMAND_FIELD = "call"
GRACE_FIELD = "settleS"  # seconds
RUN_COMMAND = "run"
KILL_COMMAND = "kill"
REAP_COMMAND = "reap"
REDIRECT_FIELD = "homing"  # name of the controller to send heartbeats to

AgentCommand = dict[str, str | int | float]  # one command as JSON


class AttemptId(NamedTuple):
    """Identifies one attempt to run one task of a job.

    As a tuple it sorts by job, task and attempt, and is written into stored records and peer
    messages as an array. `orjson` refuses named tuples, so an AttemptId must be converted to a
    plain list before it is sent as JSON.
    """

    job_id: str
    task: int
    attempt: int


@dataclass(slots=True)
class TaskStatus:
    """The state of one task as reported by its agent."""

    state: str  # one of the values of TASK_STATES
    reason: str  # why the task exited; empty while it has not exited
    checkpoint_saved: bool


class ListedTask(msgspec.Struct, gc=False, rename=LISTED_TASK_WIRE_NAMES):
    """One task in a heartbeat, with its state still under the published name."""

    task_name: str
    attempt: Annotated[int, msgspec.Meta(ge=0)]
    state: str = ""
    exit_reason: str | None = None
    checkpoint_saved: bool | None = None


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=500)]
Count = Annotated[int, msgspec.Meta(ge=0)]


class _HeartbeatBody(msgspec.Struct, gc=False, rename=HEARTBEAT_WIRE_NAMES):
    """The body of a heartbeat; unknown fields are ignored."""

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
    """A heartbeat that an agent sent on its own or as the body of its answer to a direct request.

    Most heartbeats list the same tasks as the previous one, so callers compare `listed_tasks` with
    the previous value and call `tasks` only if the two differ.
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
        """Return the listed tasks by attempt.

        A state that only a later release knows counts as running.
        """
        tasks: dict[AttemptId, TaskStatus] = {}
        for listed in self.listed_tasks:
            job, index = split_task(listed.task_name)
            tasks[AttemptId(job, index, listed.attempt)] = TaskStatus(
                TASK_STATES.get(listed.state, RUNNING),
                listed.exit_reason or "",
                bool(listed.checkpoint_saved),
            )
        return tasks


@lru_cache(maxsize=TASK_NAME_CACHE_SIZE)
def split_task(name: str) -> tuple[str, int]:
    """Split a task's name into job id and task index: `j-000412/3` gives ("j-000412", 3).

    Raises:
        InvalidHeartbeatError: The name has another form.
    """
    job, _, index = name.rpartition("/")
    is_number = index.isascii() and index.isdigit() and len(index) <= MAX_TASK_INDEX_DIGITS
    if not job or not is_number:
        raise InvalidHeartbeatError(TASK_NAME_FIELD)
    return job, int(index)


_decoder = msgspec.json.Decoder(_HeartbeatBody)


def _validated(body: _HeartbeatBody) -> Heartbeat:
    """Check task names and counts, which the decoder does not, and return the heartbeat."""
    listed_tasks = body.tasks or []
    for listed in listed_tasks:
        split_task(listed.task_name)
        if listed.attempt >= COUNT_LIMIT:
            raise InvalidHeartbeatError(ATTEMPT_FIELD)
    if max(body.incarnation, body.sequence, body.token) >= COUNT_LIMIT:
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
    """Decode a heartbeat from JSON.

    Raises:
        InvalidHeartbeatError: The body is not a heartbeat; the error names the problem.
    """
    try:
        return _validated(_decoder.decode(body))
    except msgspec.MsgspecError as error:
        raise InvalidHeartbeatError(problem=str(error)) from error
    except UnicodeDecodeError as error:
        raise InvalidHeartbeatError(problem="not UTF-8") from error


def heartbeat_from_json(value: Any) -> Heartbeat:
    """Convert parsed JSON to a heartbeat.

    Raises:
        InvalidHeartbeatError: The value is not a heartbeat; the error names the problem.
    """
    try:
        return _validated(msgspec.convert(value, _HeartbeatBody))
    except msgspec.MsgspecError as error:
        raise InvalidHeartbeatError(problem=str(error)) from error


def _task_command(command: str, attempt_id: AttemptId) -> AgentCommand:
    return {
        COMMAND_FIELD: command,
        TASK_NAME_FIELD: f"{attempt_id.job_id}/{attempt_id.task}",
        ATTEMPT_FIELD: attempt_id.attempt,
    }


def run_command(attempt_id: AttemptId) -> AgentCommand:
    """Return the command that starts a task."""
    return _task_command(RUN_COMMAND, attempt_id)


def kill_command(attempt_id: AttemptId, grace: float) -> AgentCommand:
    """Return the command that stops a task, which gets `grace` seconds to save a checkpoint."""
    return {**_task_command(KILL_COMMAND, attempt_id), GRACE_FIELD: grace}


def reap_command(attempt_id: AttemptId) -> AgentCommand:
    """Return the command that makes the agent stop listing a task that has exited."""
    return _task_command(REAP_COMMAND, attempt_id)


def heartbeat_answer(token: int, commands: list[AgentCommand]) -> dict[str, object]:
    """Return the answer to a heartbeat.

    Agents drop commands whose fencing token is lower than the highest one they have seen.
    """
    return {TOKEN_FIELD: token, COMMANDS_FIELD: commands}


def token_of_answer(answer: dict[str, Any]) -> int:
    """Return the fencing token in an answer to a heartbeat; 0 if the answer has none."""
    token: int = answer.get(TOKEN_FIELD, 0)
    return token


def direct_request(token: int, incarnation: int, commands: list[AgentCommand]) -> dict[str, object]:
    """Return the body of a direct request (POST /do) to one incarnation of an agent."""
    return {TOKEN_FIELD: token, INCARNATION_FIELD: incarnation, COMMANDS_FIELD: commands}


def redirect(controller: str | None) -> dict[str, str]:
    """Return the body of a 421 response, which names the controller to send heartbeats to.

    The body is empty if `controller` is None, which means that no such controller is known.
    """
    return {REDIRECT_FIELD: controller} if controller else {}
