"""Moves records of jobs that ended long ago into the archive, out of every controller's memory.

The store cache holds every job record, so without an archive its memory would grow with each job.
`controller` runs one `Archiver.loop` per process; each controller archives a fixed share of jobs.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from zlib import crc32

import anyio

from ploverhall.controller.context import ControllerContext
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.storage.schema import (
    ARCHIVE_MARKER_KEY,
    ARCHIVE_PREFIX,
    JOB_PREFIX,
    EndedJob,
    end_record,
)

ARCHIVE_INTERVAL_S = 1.0


class Archiver:
    """Archives the oldest ended jobs beyond `options.keep_ended`."""

    def __init__(
        self, context: ControllerContext, *, may_archive: Callable[[EndedJob], bool]
    ) -> None:
        """`may_archive`: whether no controller needs to be told any more how a job ended."""
        self.context = context
        self.may_archive = may_archive

    async def loop(self) -> None:
        """Archive one batch per interval while the write allowance is otherwise unused."""
        writes = self.context.store.writes
        while True:
            await anyio.sleep(ARCHIVE_INTERVAL_S)
            surplus = self._surplus()
            if surplus <= 0 or writes.delay(writes.burst) > 0:
                continue
            batch = self._next_batch(surplus)
            if batch:
                await self._archive(batch)

    def _surplus(self) -> int:
        """Return how many ended jobs there are too many; 0 while the cache is not loaded."""
        store_cache = self.context.store_cache
        if not store_cache.ready:
            return 0
        return len(store_cache.ended_jobs) - self.context.settings.options.keep_ended

    def _next_batch(self, surplus: int) -> dict[str, EndedJob]:
        """Return the oldest jobs of this controller's share, as many as a transaction takes.

        An archived job's end may be acknowledged by any controller that reads it there, and is
        gossiped no more: hence only jobs that `may_archive` allows.
        """
        oldest = islice(self.context.store_cache.ended_jobs.items(), surplus)
        candidates = (
            (job_id, ended)
            for job_id, ended in oldest
            if self._is_own_share(job_id) and self.may_archive(ended)
        )
        # a put and a delete per job, and the marker
        batch_size = max(1, self.context.settings.max_transaction_ops // 2 - 1)
        return dict(islice(candidates, batch_size))

    def _is_own_share(self, job_id: str) -> bool:
        controller_count = len(self.context.settings.controllers)
        return crc32(job_id.encode()) % controller_count == self.context.controller_index

    async def _archive(self, batch: dict[str, EndedJob]) -> None:
        """Move the records in one transaction; if it fails, a later round selects them again.

        Only the watch removes them from the cache, together with the archive's marker: removed
        sooner, a poll would be answered that there is no such job.
        """
        puts: dict[str, object] = {
            ARCHIVE_PREFIX + job_id: end_record(ended.outcome, ended.tasks_done)
            for job_id, ended in batch.items()
        }
        if ARCHIVE_MARKER_KEY not in self.context.store_cache.entries:
            puts[ARCHIVE_MARKER_KEY] = 1
        compare = {JOB_PREFIX + job_id: ended.version for job_id, ended in batch.items()}
        try:
            await self.context.store.compare_and_swap(compare, puts, list(compare))
        except (RequestRefusedError, OutcomeUnknownError):
            return
