"""What is expected of each class of jobs, as the platform's settings restate it: by when a job should start and be done.

A job's own deadline comes before its class's aim. Where there is neither, there is no hurry that anybody knows of.

No I/O. Times are seconds from a job's submission.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from ploverhall.protocol.jobs import Job


@dataclass(frozen=True, slots=True)
class Objective:
    """By when the jobs of a class should start, and be done; None: not said."""

    start_s: float | None = None
    finish_s: float | None = None


NO_OBJECTIVE = Objective()


class Objectives:
    """The aims of all classes; of several for one class the strictest counts."""

    def __init__(self, objectives: Iterable[Mapping[str, Any]] = ()) -> None:
        self.by_class: dict[str, Objective] = {}
        for objective in objectives:
            kind, klass, within = (
                objective.get("kind"),
                objective.get("class"),
                objective.get("within_s"),
            )
            if (
                not isinstance(klass, str)
                or isinstance(within, bool)
                or not isinstance(within, (int, float))
                or not within > 0
            ):
                continue
            known = self.by_class.get(klass, NO_OBJECTIVE)
            if kind == "wait":
                self.by_class[klass] = Objective(
                    min(within, known.start_s or within), known.finish_s
                )
            elif kind == "finished":
                self.by_class[klass] = Objective(
                    known.start_s, min(within, known.finish_s or within)
                )

    def of(self, job: Job) -> Objective:
        """What is expected of a job that has no deadline of its own."""
        return (
            self.by_class.get(job.job_class, NO_OBJECTIVE)
            if job.deadline_s is None
            else NO_OBJECTIVE
        )
