"""Check that at least half of each class and team is served, from a day's report and debug logs.

    fleetbench run SITE DAY --log debug --report day.json > day.log
    python -m scripts.served_by_class day.json day.log

A job is *served* if it is an array or gang that completed, or a service whose replicas all ran
at some time. Jobs that their users cancelled before that are not counted at all. Classes are
counted over all submissions, from the bench's report; there a job has completed whether or not
its user was told so. Teams are counted over the jobs that a controller accepted, from the logs,
since a submission that nobody accepted leaves no record of its team. Tasks are shown beside jobs,
so that a starving large job is visible among small ones. Exits with status 1 if a class or team
has less than half of its jobs or tasks served, and prints "near" below 0.65.

The *largest* jobs of a class are the tenth of its jobs with the most tasks, at least three, from
the logs. The day fails if less than half of them are served, or if one has not begun within
240 s of its acceptance. A gang has begun when all its tasks run, any other job when one does.
"""

from __future__ import annotations

import argparse
import json
import math
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from scripts.job_log import JobRecord, read_jobs

FAILING_SHARE = 0.5
NEAR_SHARE = 0.65
MAX_WAIT_S = 240.0
FAILS_MARK = "FAILS"
NEAR_MARK = "near"
LARGEST_PART = 10  # the largest jobs are one tenth of a class
LARGEST_AT_LEAST = 3


@dataclass(frozen=True)
class ServedCounts:
    """Counts of the jobs and tasks of a class or team; `cancelled` jobs are left out."""

    submitted: int
    accepted: int
    started: int
    cancelled: int
    served: int
    tasks: int
    tasks_served: int

    @property
    def job_share(self) -> float:
        """Return the share of jobs that were served; 1 if there are none."""
        counted = self.submitted - self.cancelled
        return self.served / counted if counted > 0 else 1.0

    @property
    def task_share(self) -> float:
        """Return the share of tasks that were served; 1 if there are none."""
        return self.tasks_served / self.tasks if self.tasks else 1.0


@dataclass(frozen=True)
class ServedRow:
    """A row of the table: the counts of one class or team."""

    name: str
    counts: ServedCounts

    @property
    def least_share(self) -> float:
        """Return the lower of the shares of served jobs and of served tasks."""
        return min(self.counts.job_share, self.counts.task_share)

    def text(self) -> str:
        """Return the row as a line of the table."""
        counts = self.counts
        mark = ""
        if self.least_share < FAILING_SHARE:
            mark = FAILS_MARK
        elif self.least_share < NEAR_SHARE:
            mark = NEAR_MARK
        tasks = f"{'-':>8} {'-':>8} {'-':>6}"
        if counts.tasks:
            tasks = f"{counts.tasks:8} {counts.tasks_served:8} {counts.task_share:6.3f}"
        return (
            f"{self.name:24} {counts.submitted:6} {counts.accepted:8} {counts.started:7} "
            f"{counts.cancelled:9} {counts.served:6} {counts.job_share:6.3f} {tasks} {mark}"
        ).rstrip()


@dataclass(frozen=True)
class LargestJobs:
    """The served share of a class's largest jobs, and the longest wait until one began."""

    class_name: str
    most_tasks: int
    served_share: float
    longest_wait_s: float

    @property
    def fails(self) -> bool:
        """Return whether too few of the jobs were served, or one began too late."""
        return self.served_share < FAILING_SHARE or self.longest_wait_s > MAX_WAIT_S

    def text(self) -> str:
        """Return the row as a line of the table."""
        mark = FAILS_MARK if self.fails else ""
        return (
            f"largest {self.class_name} (up to {self.most_tasks} tasks): "
            f"served {self.served_share:.3f}, begun within {self.longest_wait_s:.0f} s {mark}"
        ).rstrip()


@dataclass(frozen=True)
class Table:
    """All lines of the table, and the lowest share of any class, team or group of largest jobs.

    The lowest share is 0 if one of the largest jobs began too late.
    """

    lines: list[str]
    least_share: float


def class_row(name: str, reported: dict[str, Any], jobs: list[JobRecord]) -> ServedRow:
    """Return the row of a class, counted from the bench's report.

    Its tasks are counted from the logs, if those name classes.
    """
    is_service = "up" in reported
    counts = ServedCounts(
        submitted=reported["jobs"],
        accepted=reported["accepted"],
        started=reported["started"],
        cancelled=0 if is_service else reported["cancelled"],
        served=reported["started"] if is_service else reported["done"],
        tasks=_task_count(jobs),
        tasks_served=_tasks_served(jobs),
    )
    return ServedRow(f"class {name}", counts)


def team_row(name: str, jobs: list[JobRecord]) -> ServedRow:
    """Return the row of a team, counted from the logs."""
    counts = ServedCounts(
        submitted=len(jobs),
        accepted=len(jobs),
        started=sum(job.started for job in jobs),
        cancelled=sum(not job.counts for job in jobs),
        served=sum(job.served for job in jobs),
        tasks=_task_count(jobs),
        tasks_served=_tasks_served(jobs),
    )
    return ServedRow(f"team {name}", counts)


def _task_count(jobs: list[JobRecord]) -> int:
    return sum(job.task_count for job in jobs if job.counts)


def _tasks_served(jobs: list[JobRecord]) -> int:
    return sum(job.tasks_served for job in jobs if job.counts)


def largest_jobs(class_name: str, jobs: list[JobRecord]) -> LargestJobs:
    """Return the row of the largest jobs of a class, which must have at least one job.

    Jobs that were cancelled before they were served are left out.
    """
    ranked = sorted(jobs, key=lambda job: (-job.task_count, job.accepted_at))
    count = max(LARGEST_AT_LEAST, math.ceil(len(ranked) / LARGEST_PART))
    largest = [job for job in ranked[:count] if job.counts]
    served = sum(job.served for job in largest)
    return LargestJobs(
        class_name,
        most_tasks=ranked[0].task_count,
        served_share=served / len(largest) if largest else 1.0,
        longest_wait_s=max((job.wait_s for job in largest), default=0.0),
    )


def largest_jobs_rows(jobs: dict[str, JobRecord]) -> list[LargestJobs]:
    """Return the row of the largest jobs of each class."""
    names = sorted({job.class_name for job in jobs.values()})
    return [
        largest_jobs(name, [job for job in jobs.values() if job.class_name == name])
        for name in names
    ]


def served_rows(report: dict[str, Any], jobs: dict[str, JobRecord]) -> list[ServedRow]:
    """Return a row for each class, followed by a row for each team."""
    records = list(jobs.values())
    rows = [
        class_row(name, reported, [job for job in records if job.class_name == name])
        for name, reported in report["classes"].items()
    ]
    for name in sorted({job.team for job in records}):
        rows.append(team_row(name, [job for job in records if job.team == name]))
    return rows


def table(report: dict[str, Any], jobs: dict[str, JobRecord]) -> Table:
    """Return the table of all classes, teams and largest jobs."""
    head = (
        f"{'':24} {'asked':>6} {'accepted':>8} {'started':>7} {'cancelled':>9} {'served':>6} "
        f"{'share':>6} "
        f"{'tasks':>8} {'served':>8} {'share':>6}"
    )
    rows = served_rows(report, jobs)
    largest = largest_jobs_rows(jobs)
    shares = [row.least_share for row in rows]
    for row in largest:
        shares.append(0.0 if row.longest_wait_s > MAX_WAIT_S else row.served_share)
    lines = [head, *(row.text() for row in rows), *(row.text() for row in largest)]
    return Table(lines, min(shares, default=1.0))


def main() -> int:
    """Print the table; return 1 if a class or team got less than half."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("report", type=Path)
    parser.add_argument("log", type=Path)
    args = parser.parse_args()
    with args.log.open(errors="replace") as log:
        jobs = read_jobs(log)
    printed = table(json.loads(args.report.read_text()), jobs)
    print("\n".join(printed.lines))
    return 1 if printed.least_share < FAILING_SHARE else 0


if __name__ == "__main__":
    sys.exit(main())
