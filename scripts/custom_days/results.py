"""Read the figures of a played day from its report and logs, and decide whether the day failed."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

from scripts import served_by_class
from scripts.custom_days.day import Day
from scripts.day_runs import (
    FailedRun,
    Figures,
    Report,
    column,
    rules_broken,
    tasks_killed_by_lease,
    worst_service_availability,
)
from scripts.job_log import read_jobs


@dataclass(frozen=True)
class DayFigures(Figures):
    """The figures of a played day."""

    score: float | None = column("figure")
    rules_broken: int = column("rules")
    wrong_verdicts: int = column("wrong verdicts")
    verdicts: int = column("verdicts")
    least_served_share: float = column("least served")
    least_served_name: str = column("who")
    largest_served_share: float = column("largest served")
    largest_wait_s: float = column("begun in s")
    unplanned_restarts: int = column("by themselves")
    tasks_killed_by_lease: int = column("killed by lease")
    worst_availability: float = column("worst 30 s")
    processor_s: float = column("processor s")
    memory_share: float = column("memory")
    connection_share: float = column("sockets")


def read_figures(report: Report, log: Path, day: Day) -> DayFigures:
    """Return the figures of a played day, from its report and its controllers' logs."""
    with log.open(errors="replace") as lines:
        jobs = read_jobs(lines)
    served = served_by_class.served_rows(report, jobs)
    least = min(served, key=lambda row: row.least_share, default=None)
    largest = served_by_class.largest_jobs_rows(jobs)
    controllers = report["node_stats"]
    limits = day.site["nodes"]
    memory_mb = max(controller["memory_peak_mb"] for controller in controllers)
    connections = max(controller["connections_peak"] for controller in controllers)
    return DayFigures(
        score=_score(log, day.name),
        rules_broken=rules_broken(report),
        wrong_verdicts=_count_lines(log, b" unsupported gone verdict "),
        verdicts=_count_lines(log, b" attempt gone "),
        least_served_share=round(least.least_share if least else 1.0, 2),
        least_served_name=least.name if least else "",
        largest_served_share=round(min((row.served_share for row in largest), default=1.0), 2),
        largest_wait_s=round(max((row.longest_wait_s for row in largest), default=0.0), 1),
        unplanned_restarts=_unplanned_restarts(report),
        tasks_killed_by_lease=tasks_killed_by_lease(report),
        worst_availability=worst_service_availability(report),
        processor_s=round(sum(report["spent"]["processes"]), 1),
        memory_share=round(memory_mb / limits["memory_mb"], 2),
        connection_share=round(connections / limits["max_connections"], 2),
    )


def _count_lines(log: Path, event: bytes) -> int:
    """Return the number of lines of a log that contain an event."""
    with log.open("rb") as lines:
        return sum(event in line for line in lines)


def _score(log: Path, day_name: str) -> float | None:
    """Return the bench's figure from its output line about the day; None without such a line."""
    pattern = rb"^%s +\d+ +([0-9.]+) " % re.escape(day_name).encode()
    line = re.search(pattern, log.read_bytes(), re.MULTILINE)
    return float(line[1]) if line else None


def _unplanned_restarts(report: Report) -> int:
    """Return how often controllers ended for another reason than a fault of the day."""
    unplanned = 0
    for controller in report["node_stats"]:
        unplanned += int(controller["panics"])
        unplanned += sum(restart["why"] != "fault" for restart in controller["restarts"])
    return unplanned


def has_failed(outcome: DayFigures | FailedRun) -> bool:
    """Return whether a day counts as failed."""
    if isinstance(outcome, FailedRun):
        return True
    if outcome.rules_broken or outcome.wrong_verdicts or outcome.unplanned_restarts:
        return True
    if outcome.largest_wait_s > served_by_class.MAX_WAIT_S:
        return True
    least_share = min(outcome.least_served_share, outcome.largest_served_share)
    return least_share < served_by_class.FAILING_SHARE
