"""Service-level objectives of job classes: how soon a job should start and be done.

A job's own deadline overrides the objective of its class; a job with neither is not urgent. The
source orders its queue by objectives, and the autoscaler provides machines to meet them. Times are
in seconds from a job's submission. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from ploverhall.protocol.jobs import Job

KIND_WAIT = "wait"  # kinds of objectives, as named in the settings
KIND_FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class Objective:
    """The times within which the jobs of a class should start and be done; None: no objective."""

    start_s: float | None = None
    finish_s: float | None = None


NO_OBJECTIVE = Objective()


class Objectives:
    """The objectives of all classes; if a class has several of one kind, the strictest applies.

    `objectives` are the entries of the settings; unknown kinds and invalid entries are ignored.
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
            existing = self.by_class.get(job_class, NO_OBJECTIVE)
            if kind == KIND_WAIT:
                self.by_class[job_class] = Objective(
                    min(within_s, existing.start_s or within_s), existing.finish_s
                )
            elif kind == KIND_FINISHED:
                self.by_class[job_class] = Objective(
                    existing.start_s, min(within_s, existing.finish_s or within_s)
                )

    def for_job(self, job: Job) -> Objective:
        """Return the objective of a job's class; `NO_OBJECTIVE` if the job has its own deadline."""
        return (
            self.by_class.get(job.job_class, NO_OBJECTIVE)
            if job.deadline_s is None
            else NO_OBJECTIVE
        )
