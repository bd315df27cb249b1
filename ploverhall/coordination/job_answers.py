"""What a user may be told of a job: the only place where a job's state becomes an answer.

Three things are needed: this controller's copy of the store, a proof that the copy is current, and, for a cancellation, the
teller's right (`coordination.cancellations`). What may be said, and why no controller gives an older answer after it:

- *done*: from the copy, without a proof. It was written in the place of the job's description, guarded on its version, so nothing
  overrules it; and whoever has it in his copy has it from a write that landed.
- *withdrawn*: the same, and only with the right to tell. Without it nothing is said of the job: neither that it is over nor, since
  the copy says that it is over, that it is not.
- *queued* or *running*: only with a proof, a read of the store begun after the question came. What any controller had told by then
  had been written before it was told (an acceptance, an end, a cancellation), so the copy holds it.
- *never accepted*: with a proof, and where there is an archive, only after a look into it that began after the proof: what leaves
  the followed keys gets there in the same transaction. What is archived may be told by anybody (`Cancellations.may_forget`).
- *accepted*, by the controller that wrote it: its write has landed. If the write's answer was lost, what landed is found by a proof.

A proof has an age: a read shared by many questions proves nothing to one that came after it had begun. A copy that is read anew
meanwhile is no older than that: a listing begins only after a watch has been refused, and until it is whole no proof is begun.

No I/O: `control.users` asks for proofs and looks into the archive.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from ploverhall.protocol import jobs
from ploverhall.storage.store_cache import (
    ARCHIVE_MARKER_KEY,
    EndedJob,
    StoreCache,
    ended_from_record,
)


class FreshRead(NamedTuple):
    """A read of the store that began at this time of the steady clock has brought the copy up to date."""

    started_at: float


class JobStatus(NamedTuple):
    """May be said: the answer's body, and whether it is final."""

    body: dict[str, Any]
    final: bool


class Unavailable(NamedTuple):
    """Nothing may be said of the job at the moment."""

    reason: str


class UnknownJob(NamedTuple):
    """Nobody has submitted the job."""


class ArchiveLookupNeeded(NamedTuple):
    """Only the archive can say whether there was such a job."""


JobAnswer = JobStatus | Unavailable | UnknownJob
CANCELLATION_NOT_ACKNOWLEDGED = Unavailable("not known to all controllers yet")
STATE_UNKNOWN = Unavailable("state unknown")


class JobAnswers:
    """One controller's."""

    def __init__(
        self,
        store_cache: StoreCache,
        may_acknowledge: Callable[[EndedJob], bool],
        progress: Callable[[jobs.Job], tuple[int, int]],
    ) -> None:
        self.store_cache = store_cache
        self.may_acknowledge = may_acknowledge
        self.progress = progress  # a live job's tasks done and running, for display

    def final(self, job_id: str) -> JobStatus | Unavailable | None:
        """How a job ended, as far as may be told, whenever it was read; None: not over as far as the copy knows."""
        end = self.store_cache.ended_jobs.get(job_id)
        if end is None:
            return None
        return (
            JobStatus(jobs.status_body(job_id, end.outcome, end.tasks_done), True)
            if self.may_acknowledge(end)
            else CANCELLATION_NOT_ACKNOWLEDGED
        )

    def verified(
        self, job_id: str, asked_at: float, fresh_read: FreshRead | None
    ) -> JobAnswer | ArchiveLookupNeeded:
        """What is known for certain of a job that was asked about at that time."""
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
        return (
            ArchiveLookupNeeded()
            if ARCHIVE_MARKER_KEY in self.store_cache.entries
            else UnknownJob()
        )

    def archived(
        self, job_id: str, value: dict[str, Any] | None, version: int
    ) -> JobStatus | UnknownJob:
        """What a look into the archive has brought, begun after the proof."""
        if value is None:
            return UnknownJob()
        end = ended_from_record(value, version)
        return JobStatus(jobs.status_body(job_id, end.outcome, end.tasks_done), True)

    def accepted(self, job_id: str) -> JobStatus:
        """This controller's own submission has landed, and nothing of the job had been there before."""
        return JobStatus({"id": job_id, "stance": jobs.QUEUED}, False)

    def live_version(self, job_id: str) -> int | None:
        """The version under which the copy holds a job that is not over: what a cancellation is guarded on."""
        live = self.store_cache.live_jobs.get(job_id)
        return live[1] if live is not None else None

    def is_live(self, job_id: str) -> bool:
        """Whether the copy holds a job as accepted and not over. (For what to do next, not for what to say.)"""
        return job_id in self.store_cache.live_jobs or job_id in self.store_cache.unreadable_jobs
