"""Jobs as the controllers' debug logs of a played day tell of them.

*Served*: a job of an array or gang that completed, a service all of whose replicas ran at some
time.
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
    """One accepted job, from the controllers' logs; times in seconds of the day."""

    team: str
    kind: str
    class_name: str
    task_count: int
    accepted_at: float = 0.0
    began_at: float | None = None  # when its first task ran; of a gang, its last
    tasks_run: set[str] = field(default_factory=set)
    tasks_completed: set[str] = field(default_factory=set)
    done: bool = False
    cancelled: bool = False

    def record_running(self, task: str, at_s: float) -> None:
        """A task of it runs."""
        self.tasks_run.add(task)
        if self.began_at is None and (
            self.kind != "gang" or len(self.tasks_run) >= self.task_count
        ):
            self.began_at = at_s

    @property
    def started(self) -> bool:
        """Whether any task ran."""
        return bool(self.tasks_run)

    @property
    def served(self) -> bool:
        """Whether its users got what they asked for."""
        return len(self.tasks_run) >= self.task_count if self.kind == "service" else self.done

    @property
    def counts(self) -> bool:
        """Whether it is counted: not if it was cancelled before it was served."""
        return self.served or not self.cancelled

    @property
    def tasks_served(self) -> int:
        """How many of its tasks were of use."""
        if self.kind == "service":
            return len(self.tasks_run)
        return self.task_count if self.done else len(self.tasks_completed)

    @property
    def wait_s(self) -> float:
        """Seconds from its acceptance until it began; infinite if it never did."""
        return float("inf") if self.began_at is None else self.began_at - self.accepted_at


def read_jobs(lines: Iterable[str]) -> dict[str, JobRecord]:
    """All accepted jobs by id, from the log lines of all controllers."""
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
    """The job of a line about an acceptance."""
    class_name = fields.get("class", fields.get("klass", fields["kind"]))
    return JobRecord(fields["team"], fields["kind"], class_name, int(fields["tasks"]), at_s)


def _record_event(job: JobRecord, event: str, fields: dict[str, str], at_s: float) -> None:
    """Take a line about a known job into its record."""
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
