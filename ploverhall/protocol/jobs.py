"""The users' words: a submitted job checked field by field, and its compact record form."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from ploverhall.errors import InvalidJobError

JOB_ID_PATTERN = re.compile(r"j-[0-9]{1,18}\Z")
KINDS = {"array": "array", "group": "gang", "daemon": "service"}
PRIORITIES = {"production": 0, "urgent": 1, "normal": 2, "best_effort": 3}
QUEUED = "queued"
RUNNING = "running"
DONE = "done"
CANCELLED = "withdrawn"
MAX_TASKS = 100_000


@dataclass(slots=True)
class Job:
    """A job as its user described it, in standard words."""

    id: str
    job_class: str
    team: str
    kind: str
    priority: int
    task_count: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    machine_types: tuple[str, ...] | None
    zone: str | None
    single_zone: bool
    spread_zones: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None
    submitted_at: float  # wall clock when accepted

    @property
    def resources(self) -> tuple[float, float, float]:
        """What each task takes."""
        return (self.cpus, self.gpus, self.memory_gb)

    @property
    def max_tasks_per_zone(self) -> int:
        """How many tasks may be in one zone."""
        return (self.task_count + 1) // 2 if self.spread_zones else self.task_count

    def record(self) -> list[Any]:
        """The compact form kept in the state service and sent between controllers."""
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
    """The inverse of Job.record; later fields are ignored."""
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


def _amount(fields: dict[str, Any], key: str, positive: bool = False) -> float:
    value = fields.get(key)
    if (
        isinstance(value, bool)
        or not isinstance(value, (int, float))
        or not 0 <= value < 1e12
        or (positive and value <= 0)
    ):
        raise InvalidJobError(key, "must be an amount")
    return float(value)


def _text(fields: dict[str, Any], key: str) -> str:
    value = fields.get(key)
    if not isinstance(value, str) or not value or len(value) > 500:
        raise InvalidJobError(key, "must be a name")
    return value


def _flag(fields: dict[str, Any], key: str) -> bool:
    value = fields.get(key)
    if not isinstance(value, bool):
        raise InvalidJobError(key, "must be true or false")
    return value


def parse_submission(fields: Any, submitted_at: float) -> Job:
    """Check a submission; Malformed names the field."""
    if not isinstance(fields, dict):
        raise InvalidJobError(problem="not an object")
    job_id = fields.get("id")
    if not isinstance(job_id, str) or not JOB_ID_PATTERN.match(job_id):
        raise InvalidJobError("id", "must be like j-000412")
    kind, priority, task_count = fields.get("gait"), fields.get("rank"), fields.get("chicks")
    if not isinstance(kind, str) or kind not in KINDS:
        raise InvalidJobError("gait", "must be array, group or daemon")
    if not isinstance(priority, str) or priority not in PRIORITIES:
        raise InvalidJobError("rank", "unknown")
    if (
        isinstance(task_count, bool)
        or not isinstance(task_count, int)
        or not 1 <= task_count <= MAX_TASKS
    ):
        raise InvalidJobError("chicks", "must be 1 to 100000")
    machine_types = fields.get("breeds")
    if machine_types is not None and not (
        isinstance(machine_types, list)
        and all(isinstance(t, str) and len(t) <= 500 for t in machine_types)
    ):
        raise InvalidJobError("breeds", "must be null or a list of names")
    zone = fields.get("marsh")
    if zone is not None and (not isinstance(zone, str) or len(zone) > 500):
        raise InvalidJobError("marsh", "must be null or a name")
    deadline = _amount(fields, "duskS") if fields.get("duskS") is not None else None
    return Job(
        id=job_id,
        job_class=_text(fields, "flock"),
        team=_text(fields, "keeper"),
        kind=KINDS[kind],
        priority=PRIORITIES[priority],
        task_count=task_count,
        cpus=_amount(fields, "cores"),
        gpus=_amount(fields, "gpus"),
        memory_gb=_amount(fields, "ramGb"),
        image=_text(fields, "plumage"),
        image_gb=_amount(fields, "pullGb"),
        machine_types=tuple(sorted(set(machine_types))) if machine_types is not None else None,
        zone=zone,
        single_zone=_flag(fields, "together"),
        spread_zones=_flag(fields, "scatter"),
        spot=_flag(fields, "driftwood"),
        estimate_s=_amount(fields, "flightS"),
        checkpoint_s=_amount(fields, "nestS"),
        save_s=_amount(fields, "tuckS"),
        deadline_s=deadline,
        submitted_at=round(submitted_at, 3),
    )


def status_body(job_id: str, state: str, done: int = 0, running: int = 0) -> dict[str, Any]:
    """What users are answered."""
    return {"id": job_id, "stance": state, "done": done, "running": running}
