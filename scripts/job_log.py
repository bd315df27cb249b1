"""Read jobs from the controllers' debug logs of a played day.

A job is *served* if it is an array or gang that completed, or a service whose replicas all ran
at some time.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

# Older releases wrote `withdrawn`, `klass=` and `why=` for `cancelled`, `class=` and `reason=`
CANCELLED_EVENTS = ("cancelled", "withdrawn")
LOG_LINE = re.compile(r" *([0-9.]+) \S+ \w+ (accepted|task|done|cancelled|withdrawn) (.*)")


@dataclass
class JobRecord:
    """One accepted job, read from the controllers' logs; times are seconds of the day."""

    team: str
    kind: str
    class_name: str
    task_count: int
    accepted_at: float = 0.0
    began_at: float | None = None  # when its first task ran; for a gang, when its last task did
    tasks_run: set[str] = field(default_factory=set)
    tasks_completed: set[str] = field(default_factory=set)
    done: bool = False
    cancelled: bool = False

    def record_running(self, task: str, at_s: float) -> None:
        """Record that a task of the job runs."""
        self.tasks_run.add(task)
        if self.began_at is None and (
            self.kind != "gang" or len(self.tasks_run) >= self.task_count
        ):
            self.began_at = at_s

    @property
    def started(self) -> bool:
        """Return whether any task of the job ran."""
        return bool(self.tasks_run)

    @property
    def served(self) -> bool:
        """Return whether the job was served, as the module's docstring defines it."""
        return len(self.tasks_run) >= self.task_count if self.kind == "service" else self.done

    @property
    def counts(self) -> bool:
        """Return whether the job is counted.

        A job that was cancelled before it was served is not counted.
        """
        return self.served or not self.cancelled

    @property
    def tasks_served(self) -> int:
        """Return how many tasks of the job were served.

        For a service these are the tasks that ran; for other jobs all tasks if the job completed,
        otherwise the tasks that completed.
        """
        if self.kind == "service":
            return len(self.tasks_run)
        return self.task_count if self.done else len(self.tasks_completed)

    @property
    def wait_s(self) -> float:
        """Return the seconds from acceptance until the job began; infinite if it never did."""
        return float("inf") if self.began_at is None else self.began_at - self.accepted_at


def read_jobs(lines: Iterable[str]) -> dict[str, JobRecord]:
    """Return all accepted jobs by id, read from the log lines of all controllers."""
    jobs: dict[str, JobRecord] = {}
    for line in lines:
        match = LOG_LINE.match(line)
        if match is None:
            continue
        at_s, event = float(match[1]), match[2]
        fields = dict(word.split("=", 1) for word in match[3].split() if "=" in word)
        job = jobs.get(fields.get("job", ""))
        if job is not None:
            _record_event(job, event, fields, at_s)
        elif event == "accepted":
            jobs[fields["job"]] = _accepted_job(fields, at_s)
    return jobs


def _accepted_job(fields: dict[str, str], at_s: float) -> JobRecord:
    """Create the record of a job from the fields of its `accepted` log line."""
    class_name = fields.get("class", fields.get("klass", fields["kind"]))
    return JobRecord(fields["team"], fields["kind"], class_name, int(fields["tasks"]), at_s)


def _record_event(job: JobRecord, event: str, fields: dict[str, str], at_s: float) -> None:
    """Update the record of a known job from one log line about it."""
    if event == "task":
        if fields.get("state") == "running":
            job.record_running(fields["task"], at_s)
        elif fields.get("reason", fields.get("why")) == "done":
            job.record_running(fields["task"], at_s)
            job.tasks_completed.add(fields["task"])
        return
    if event in CANCELLED_EVENTS:
        job.cancelled = True
    if event == "done":
        job.done = True
    if job.done and job.began_at is None:
        job.began_at = at_s
