"""Decide what a user may be told of a job; no other module turns a job's state into an answer.

An answer depends on the store cache, on a fresh read that proves the cache to be current, and, for
a cancellation, on whether it may be acknowledged (`cancellation_barrier`). No controller gives an
answer older than one that any controller gave before; docs/design.md, "What a user is told", shows
why. `controller.job_requests` calls this module, makes the fresh reads and reads the archive. No
I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from ploverhall.protocol import jobs
from ploverhall.storage.schema import ARCHIVE_MARKER_KEY, EndedJob, ended_from_record
from ploverhall.storage.store_cache import StoreCache


class FreshRead(NamedTuple):
    """A read that updated the store cache; `started_at` is its start by the steady clock."""

    started_at: float


class JobStatus(NamedTuple):
    """A job's state: the body of the answer, and whether the state is final."""

    body: dict[str, Any]
    final: bool


class Unavailable(NamedTuple):
    """The answer that nothing certain is known of the job now; the user should ask again."""

    reason: str


class UnknownJob(NamedTuple):
    """The answer that no such job has been submitted."""


class ArchiveLookupNeeded(NamedTuple):
    """The result that only the archive can tell whether the job exists."""


JobAnswer = JobStatus | Unavailable | UnknownJob
CANCELLATION_NOT_ACKNOWLEDGED = Unavailable("not known to all controllers yet")
STATE_UNKNOWN = Unavailable("state unknown")


class JobAnswers:
    """The answers that one controller gives to users who ask about jobs."""

    def __init__(
        self,
        store_cache: StoreCache,
        may_acknowledge: Callable[[EndedJob], bool],
        progress: Callable[[jobs.Job], tuple[int, int]],
    ) -> None:
        self.store_cache = store_cache
        self.may_acknowledge = may_acknowledge
        # Returns the numbers of completed and running tasks of a live job, for display
        self.progress = progress

    def final(self, job_id: str) -> JobStatus | Unavailable | None:
        """Return how a job ended; None if the cache knows of no end.

        Returns Unavailable for a cancellation that may not be acknowledged yet. Needs no fresh
        read, since nothing overrides an end that has been written.
        """
        end = self.store_cache.ended_jobs.get(job_id)
        if end is None:
            return None
        if not self.may_acknowledge(end):
            return CANCELLATION_NOT_ACKNOWLEDGED
        return JobStatus(jobs.status_body(job_id, end.outcome, end.tasks_done), True)

    def verified(
        self, job_id: str, asked_at: float, fresh_read: FreshRead | None
    ) -> JobAnswer | ArchiveLookupNeeded:
        """Return what is certain about a job that a user asked about at `asked_at` (steady clock).

        A fresh read that began before the request arrived is not enough, since it shows nothing
        that was written in between.
        """
        if (end := self.final(job_id)) is not None:
            return end
        if fresh_read is None or fresh_read.started_at < asked_at:
            return STATE_UNKNOWN
        if (live := self.store_cache.live_jobs.get(job_id)) is not None:
            done, running = self.progress(live[0])
            return JobStatus(
                jobs.status_body(job_id, jobs.RUNNING if running else jobs.QUEUED, done, running),
                False,
            )
        if job_id in self.store_cache.unreadable_jobs:
            return JobStatus(jobs.status_body(job_id, jobs.QUEUED), False)
        if ARCHIVE_MARKER_KEY in self.store_cache.entries:
            return ArchiveLookupNeeded()
        return UnknownJob()

    def archived(
        self, job_id: str, value: dict[str, Any] | None, version: int
    ) -> JobStatus | UnknownJob:
        """Return the answer that follows from an archive lookup that began after the fresh read.

        `value` is the archived record, None if there is none; `version` is the version of its key.
        """
        if value is None:
            return UnknownJob()
        end = ended_from_record(value, version)
        return JobStatus(jobs.status_body(job_id, end.outcome, end.tasks_done), True)

    def accepted(self, job_id: str) -> JobStatus:
        """Return the answer to a submission that this controller has written to the store."""
        return JobStatus({"id": job_id, "stance": jobs.QUEUED}, False)

    def live_version(self, job_id: str) -> int | None:
        """Return the version of a live job's key, for a cancellation's compare-and-swap.

        None if the cache has no such live job.
        """
        live = self.store_cache.live_jobs.get(job_id)
        return live[1] if live is not None else None

    def is_live(self, job_id: str) -> bool:
        """Return whether the cache holds the job as accepted and not ended.

        Use this to decide what to do next, not to answer a user: the cache may be outdated.
        """
        return job_id in self.store_cache.live_jobs or job_id in self.store_cache.unreadable_jobs
