"""Validates job submissions of users field by field, and builds the answers about jobs.

Defines the published names of the users' interface. `controller.job_requests` decodes submissions.
The record of a job is its form in the key-value store and in messages between controllers.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any, NamedTuple

from ploverhall.errors import InvalidJobError

JOB_ID_PATTERN = re.compile(r"j-[0-9]{1,18}\Z")
# Kinds and priorities: published name -> value used in this package
KINDS = {"array": "array", "group": "gang", "daemon": "service"}
PRIORITIES = {"production": 0, "urgent": 1, "normal": 2, "best_effort": 3}
QUEUED = "queued"
RUNNING = "running"
DONE = "done"
CANCELLED = "withdrawn"
MAX_TASKS = 100_000
MAX_NAME_LENGTH = 500
AMOUNT_LIMIT = 1e12  # amounts must be below this limit

# Published names of a submission's fields
ID_FIELD = "id"
JOB_CLASS_FIELD = "flock"
TEAM_FIELD = "keeper"
KIND_FIELD = "gait"
PRIORITY_FIELD = "rank"
TASK_COUNT_FIELD = "chicks"
CPUS_FIELD = "cores"
GPUS_FIELD = "gpus"
MEMORY_FIELD = "ramGb"
IMAGE_FIELD = "plumage"
IMAGE_SIZE_FIELD = "pullGb"
MACHINE_TYPES_FIELD = "breeds"
ZONE_FIELD = "marsh"
SINGLE_ZONE_FIELD = "together"
SPREAD_ZONES_FIELD = "scatter"
SPOT_FIELD = "driftwood"
ESTIMATE_FIELD = "flightS"
CHECKPOINT_FIELD = "nestS"
SAVE_FIELD = "tuckS"
DEADLINE_FIELD = "duskS"

# Published names of an answer's fields
STATE_FIELD = "stance"
DONE_FIELD = "done"
RUNNING_FIELD = "running"


@dataclass(slots=True)
class Job:
    """A job as described by its user."""

    id: str
    job_class: str
    team: str
    kind: str
    priority: int
    task_count: int
    cpus: float  # of each task, like gpus and memory_gb
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    machine_types: tuple[str, ...] | None  # sorted; None: any
    zone: str | None  # None: any
    single_zone: bool
    spread_zones: bool
    spot: bool  # may run on spot machines
    estimate_s: float  # estimated run time of a task
    checkpoint_s: float  # time between two checkpoints
    save_s: float  # time that saving a checkpoint takes
    deadline_s: float | None  # time after the submission; None: no deadline
    submitted_at: float  # wall clock time at which the job was accepted

    @property
    def resources(self) -> tuple[float, float, float]:
        """Return the CPUs, GPUs and memory in GB that each task uses."""
        return (self.cpus, self.gpus, self.memory_gb)

    @property
    def max_tasks_per_zone(self) -> int:
        """Return the maximum number of tasks in one zone."""
        return (self.task_count + 1) // 2 if self.spread_zones else self.task_count

    def record(self) -> list[Any]:
        """Return the compact form that is stored and sent between controllers."""
        return [
            self.id,
            self.job_class,
            self.team,
            self.kind,
            self.priority,
            self.task_count,
            self.cpus,
            self.gpus,
            self.memory_gb,
            self.image,
            self.image_gb,
            list(self.machine_types) if self.machine_types is not None else None,
            self.zone,
            int(self.single_zone),
            int(self.spread_zones),
            int(self.spot),
            self.estimate_s,
            self.checkpoint_s,
            self.save_s,
            self.deadline_s,
            self.submitted_at,
        ]


def from_record(record: list[Any]) -> Job:
    """Return the job of a record made by `Job.record`.

    Fields that later releases append are ignored.
    """
    return Job(
        record[0],
        record[1],
        record[2],
        record[3],
        record[4],
        record[5],
        record[6],
        record[7],
        record[8],
        record[9],
        record[10],
        tuple(record[11]) if record[11] is not None else None,
        record[12],
        bool(record[13]),
        bool(record[14]),
        bool(record[15]),
        record[16],
        record[17],
        record[18],
        record[19],
        record[20],
    )


def _amount(fields: dict[str, Any], field: str) -> float:
    value = fields.get(field)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise InvalidJobError(field, "must be an amount")
    if not 0 <= value < AMOUNT_LIMIT:
        raise InvalidJobError(field, "must be an amount")
    return float(value)


def _text(fields: dict[str, Any], field: str) -> str:
    value = fields.get(field)
    if not isinstance(value, str) or not value or len(value) > MAX_NAME_LENGTH:
        raise InvalidJobError(field, "must be a name")
    return value


def _flag(fields: dict[str, Any], field: str) -> bool:
    value = fields.get(field)
    if not isinstance(value, bool):
        raise InvalidJobError(field, "must be true or false")
    return value


def _job_id(fields: dict[str, Any]) -> str:
    job_id = fields.get(ID_FIELD)
    if not isinstance(job_id, str) or not JOB_ID_PATTERN.match(job_id):
        raise InvalidJobError(ID_FIELD, "must be like j-000412")
    return job_id


def _kind(fields: dict[str, Any]) -> str:
    kind = fields.get(KIND_FIELD)
    if not isinstance(kind, str) or kind not in KINDS:
        raise InvalidJobError(KIND_FIELD, "must be array, group or daemon")
    return KINDS[kind]


def _priority(fields: dict[str, Any]) -> int:
    priority = fields.get(PRIORITY_FIELD)
    if not isinstance(priority, str) or priority not in PRIORITIES:
        raise InvalidJobError(PRIORITY_FIELD, "unknown")
    return PRIORITIES[priority]


def _task_count(fields: dict[str, Any]) -> int:
    count = fields.get(TASK_COUNT_FIELD)
    if isinstance(count, bool) or not isinstance(count, int) or not 1 <= count <= MAX_TASKS:
        raise InvalidJobError(TASK_COUNT_FIELD, "must be 1 to 100000")
    return count


def _machine_types(fields: dict[str, Any]) -> tuple[str, ...] | None:
    names = fields.get(MACHINE_TYPES_FIELD)
    if names is None:
        return None
    if not isinstance(names, list) or not all(
        isinstance(name, str) and len(name) <= MAX_NAME_LENGTH for name in names
    ):
        raise InvalidJobError(MACHINE_TYPES_FIELD, "must be null or a list of names")
    return tuple(sorted(set(names)))


def _zone(fields: dict[str, Any]) -> str | None:
    zone = fields.get(ZONE_FIELD)
    if zone is not None and (not isinstance(zone, str) or len(zone) > MAX_NAME_LENGTH):
        raise InvalidJobError(ZONE_FIELD, "must be null or a name")
    return zone


class _FirstCheckedFields(NamedTuple):
    """The fields of a submission that are checked before all others.

    If several fields of a submission are invalid, the error names the first one of these.
    """

    job_id: str
    kind: str
    priority: int
    task_count: int
    machine_types: tuple[str, ...] | None
    zone: str | None
    deadline_s: float | None


def _parse_first_checked_fields(fields: dict[str, Any]) -> _FirstCheckedFields:
    return _FirstCheckedFields(
        job_id=_job_id(fields),
        kind=_kind(fields),
        priority=_priority(fields),
        task_count=_task_count(fields),
        machine_types=_machine_types(fields),
        zone=_zone(fields),
        deadline_s=(
            _amount(fields, DEADLINE_FIELD) if fields.get(DEADLINE_FIELD) is not None else None
        ),
    )


def parse_submission(fields: Any, submitted_at: float) -> Job:
    """Return the job of a submission that was accepted at `submitted_at` (wall clock, seconds).

    Raises:
        InvalidJobError: A field is not in the published form; the error names the first such field.
    """
    if not isinstance(fields, dict):
        raise InvalidJobError(problem="not an object")
    first_checked = _parse_first_checked_fields(fields)
    return Job(
        id=first_checked.job_id,
        job_class=_text(fields, JOB_CLASS_FIELD),
        team=_text(fields, TEAM_FIELD),
        kind=first_checked.kind,
        priority=first_checked.priority,
        task_count=first_checked.task_count,
        cpus=_amount(fields, CPUS_FIELD),
        gpus=_amount(fields, GPUS_FIELD),
        memory_gb=_amount(fields, MEMORY_FIELD),
        image=_text(fields, IMAGE_FIELD),
        image_gb=_amount(fields, IMAGE_SIZE_FIELD),
        machine_types=first_checked.machine_types,
        zone=first_checked.zone,
        single_zone=_flag(fields, SINGLE_ZONE_FIELD),
        spread_zones=_flag(fields, SPREAD_ZONES_FIELD),
        spot=_flag(fields, SPOT_FIELD),
        estimate_s=_amount(fields, ESTIMATE_FIELD),
        checkpoint_s=_amount(fields, CHECKPOINT_FIELD),
        save_s=_amount(fields, SAVE_FIELD),
        deadline_s=first_checked.deadline_s,
        submitted_at=round(submitted_at, 3),
    )


def status_body(job_id: str, state: str, done: int = 0, running: int = 0) -> dict[str, object]:
    """Return the answer to users about a job: its state and its numbers of tasks."""
    return {ID_FIELD: job_id, STATE_FIELD: state, DONE_FIELD: done, RUNNING_FIELD: running}
