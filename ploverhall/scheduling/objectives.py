"""Service-level objectives of job classes: by when a job should start, and be done.

A job's own deadline goes before its class's objective; a job with neither is not urgent. The source
orders its queue by them, and the autoscaler provides machines for them. Times are seconds from a
job's submission. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from ploverhall.protocol.jobs import Job

KIND_WAIT = "wait"  # kinds of objectives as the settings call them
KIND_FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class Objective:
    """By when the jobs of a class should start, and be done; None: no objective."""

    start_s: float | None = None
    finish_s: float | None = None


NO_OBJECTIVE = Objective()


class Objectives:
    """The objectives of all classes; of several for one class the strictest counts.

    Takes them as they stand in the settings, and ignores those that it does not understand.
    """

    def __init__(self, objectives: Iterable[Mapping[str, Any]] = ()) -> None:
        self.by_class: dict[str, Objective] = {}
        for objective in objectives:
            kind = objective.get("kind")
            job_class = objective.get("class")
            within_s = objective.get("within_s")
            if (
                not isinstance(job_class, str)
                or isinstance(within_s, bool)
                or not isinstance(within_s, (int, float))
                or not within_s > 0
            ):
                continue
            known = self.by_class.get(job_class, NO_OBJECTIVE)
            if kind == KIND_WAIT:
                self.by_class[job_class] = Objective(
                    min(within_s, known.start_s or within_s), known.finish_s
                )
            elif kind == KIND_FINISHED:
                self.by_class[job_class] = Objective(
                    known.start_s, min(within_s, known.finish_s or within_s)
                )

    def of(self, job: Job) -> Objective:
        """Return the objective of a job's class; none for a job with a deadline of its own."""
        return (
            self.by_class.get(job.job_class, NO_OBJECTIVE)
            if job.deadline_s is None
            else NO_OBJECTIVE
        )
