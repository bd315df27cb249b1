"""What a user may be told of a job: the only place where a job's state becomes an answer.

Three things go in: the store cache, a fresh read that shows it to be current, and, for a
cancellation, whether it may be acknowledged (`cancellation_barrier`). No controller gives an older
answer than any controller before it; docs/design.md, "What a user is told", shows why.
`controller.job_requests` asks, makes the fresh reads and looks into the archive. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from ploverhall.protocol import jobs
from ploverhall.storage.schema import ARCHIVE_MARKER_KEY, EndedJob, ended_from_record
from ploverhall.storage.store_cache import StoreCache


class FreshRead(NamedTuple):
    """A read of the store, begun at this time of the steady clock, that updated the store cache."""

    started_at: float


class JobStatus(NamedTuple):
    """The body of the answer, and whether the state is final."""

    body: dict[str, Any]
    final: bool


class Unavailable(NamedTuple):
    """Nothing may be said of the job at the moment: the user is to ask again."""

    reason: str


class UnknownJob(NamedTuple):
    """Nobody has submitted the job."""


class ArchiveLookupNeeded(NamedTuple):
    """Only the archive can say whether there was such a job."""


JobAnswer = JobStatus | Unavailable | UnknownJob
CANCELLATION_NOT_ACKNOWLEDGED = Unavailable("not known to all controllers yet")
STATE_UNKNOWN = Unavailable("state unknown")


class JobAnswers:
    """One controller's answers."""

    def __init__(
        self,
        store_cache: StoreCache,
        may_acknowledge: Callable[[EndedJob], bool],
        progress: Callable[[jobs.Job], tuple[int, int]],
    ) -> None:
        self.store_cache = store_cache
        self.may_acknowledge = may_acknowledge
        # A live job's numbers of completed and running tasks, for display
        self.progress = progress

    def final(self, job_id: str) -> JobStatus | Unavailable | None:
        """Return how a job ended, or Unavailable; None: it has not, as far as the cache knows.

        It needs no fresh read: nothing overrules an end that has been written.
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
        """Return what is certain about a job that was asked about at `asked_at` (steady clock).

        A fresh read that began before the question shows nothing about what was written since.
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
        """Return the answer by an archive lookup that began after the fresh read.

        `value` is the archived record, None where there is none, and `version` that of its key.
        """
        if value is None:
            return UnknownJob()
        end = ended_from_record(value, version)
        return JobStatus(jobs.status_body(job_id, end.outcome, end.tasks_done), True)

    def accepted(self, job_id: str) -> JobStatus:
        """Return the answer to a submission that this controller has written."""
        return JobStatus({"id": job_id, "stance": jobs.QUEUED}, False)

    def live_version(self, job_id: str) -> int | None:
        """Return the key's version of a job that is not over, which a cancellation compares.

        None where the cache has no such job.
        """
        live = self.store_cache.live_jobs.get(job_id)
        return live[1] if live is not None else None

    def is_live(self, job_id: str) -> bool:
        """Return whether the cache has the job as accepted and not over.

        This decides what to do next; it is not certain enough to be told.
        """
        return job_id in self.store_cache.live_jobs or job_id in self.store_cache.unreadable_jobs
