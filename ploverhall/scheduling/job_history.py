"""What a source remembers of failed attempts and ended jobs, for the status pages."""

from __future__ import annotations

from typing import NamedTuple


class FailedAttempt(NamedTuple):
    """An attempt that ended without completing its task."""

    at: float
    job_id: str
    task: int
    machine: str
    reason: str


class EndedJobEntry(NamedTuple):
    """A job that has ended, as shown on the status pages."""

    at: float
    job_id: str
    team: str
    outcome: str
    tasks_done: int
    task_count: int
    failure_count: int
    last_failure: str
