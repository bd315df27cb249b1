"""Moves the records of jobs that ended long ago to the archive.

The store cache of every controller holds all job records but not the archive; without archiving,
its memory would grow with each job. `controller` runs one `Archiver.loop` per process; each
controller archives a fixed share of the jobs.
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
        """Create an archiver.

        `may_archive`: returns whether no controller still needs to be informed of a job's end.
        """
        self.context = context
        self.may_archive = may_archive

    async def loop(self) -> None:
        """Archive one batch per interval if the write allowance is unused; never returns."""
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
        """Return by how many the ended jobs exceed `keep_ended`; 0 while the cache isn't loaded.

        The result is negative if there are fewer ended jobs than that.
        """
        store_cache = self.context.store_cache
        if not store_cache.ready:
            return 0
        return len(store_cache.ended_jobs) - self.context.settings.options.keep_ended

    def _next_batch(self, surplus: int) -> dict[str, EndedJob]:
        """Return the oldest ended jobs of this controller's share that fit into one transaction.

        Only jobs that `may_archive` allows are returned: any controller that reads an archived
        job's end may acknowledge it, and the end is no longer gossiped.
        """
        oldest = islice(self.context.store_cache.ended_jobs.items(), surplus)
        candidates = (
            (job_id, ended)
            for job_id, ended in oldest
            if self._is_own_share(job_id) and self.may_archive(ended)
        )
        # One put and one delete per job, and one put for the archive marker
        batch_size = max(1, self.context.settings.max_transaction_ops // 2 - 1)
        return dict(islice(candidates, batch_size))

    def _is_own_share(self, job_id: str) -> bool:
        controller_count = len(self.context.settings.controllers)
        return crc32(job_id.encode()) % controller_count == self.context.controller_index

    async def _archive(self, batch: dict[str, EndedJob]) -> None:
        """Move the records in one transaction; if it fails, a later round selects them again.

        Only the watch removes the jobs from the cache, when it also brings the archive marker. If
        they were removed here, a poll for one would be answered that the job doesn't exist.
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
