"""Keeps this controller's store cache up to date, and refreshes it on request.

`controller` runs `watch_loop` and `fresh_read_loop`. Code that needs a current cache (answers to
users, the start of a source, maintenance requests) awaits `fresh_read` or `is_current`.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ploverhall import log
from ploverhall.controller.context import ControllerContext
from ploverhall.coordination.job_answers import FreshRead
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.protocol.key_value_store import WatchEvent
from ploverhall.storage.schema import WATCHED_PREFIX

FRESH_READ_TIMEOUT_S = 1.5  # how long a caller waits for a fresh read
WATCH_HOLD_MS = 5_000  # how long the store holds a watch request open without events
REFUSED_PAUSE_S = 0.2
# Minimum pauses between two reads, so that changes made at about the same time are read together
WATCH_PAUSE_S = 0.03
WATCH_RETRY_PAUSE_S = 0.05
FRESH_READ_PAUSE_S = 0.04
# Pause once half of the request allowance is used, in multiples of the interval at its rate
PAUSE_REQUESTS = 4.0


class StoreWatch:
    """Updates the store cache by a continuous watch, and by fresh reads that callers share."""

    def __init__(
        self,
        context: ControllerContext,
        on_changed: Callable[[], None],
        on_fresh_read: Callable[[float], None],
    ) -> None:
        """Create the watch; nothing is read until its loops run.

        `on_changed`: called after the cache has changed;
        `on_fresh_read`: called with the start time of a fresh read, once the cache contains it.
        """
        self.context = context
        self.on_changed = on_changed
        self.on_fresh_read = on_fresh_read
        # One entry per caller that waits for a fresh read: an event that is set when the read has
        # ended, and a list that then holds the result if the read succeeded
        self.waiters: list[tuple[anyio.Event, list[FreshRead]]] = []
        self.fresh_read_wake = anyio.Event()
        self.read_at = 0.0  # start of the newest read that the cache contains

    async def watch_loop(self) -> None:
        """Load everything under the watched prefix and follow its changes; never returns."""
        while True:
            try:
                await self._watch_once()
            except RequestRefusedError:
                await anyio.sleep(REFUSED_PAUSE_S)
            except OutcomeUnknownError:
                await anyio.sleep(self._read_pause_s(WATCH_RETRY_PAUSE_S))

    async def _watch_once(self) -> None:
        """Load the cache if necessary, then apply the next events.

        Raises:
            RequestRefusedError: The store did not execute a request.
            OutcomeUnknownError: The outcome of a request is unknown.
        """
        store_cache = self.context.store_cache
        if not store_cache.ready or store_cache.revision == 0:
            await self._load()
        started_at = self.context.clock()
        answer = await self.context.store.watch(WATCHED_PREFIX, store_cache.revision, WATCH_HOLD_MS)
        if answer is None:
            store_cache.ready = False  # the store no longer has the events: reload everything
            return
        self._apply_events(started_at, *answer)
        await anyio.sleep(self._read_pause_s(WATCH_PAUSE_S))

    def _read_pause_s(self, minimum_s: float) -> float:
        """Return the pause between two reads in seconds.

        The pause is longer once half of the request allowance is used, so that lease renewals and
        permits need not wait.
        """
        requests = self.context.store.requests
        if requests.available() > requests.rate / 2:
            return minimum_s
        return max(minimum_s, PAUSE_REQUESTS / requests.rate)

    def _apply_events(self, started_at: float, revision: int, events: list[WatchEvent]) -> None:
        """Apply the events of a read that began at `started_at`, the new date of the cache."""
        self.read_at = max(self.read_at, started_at)
        if self.context.store_cache.apply(revision, events):
            self.on_changed()

    async def _load(self) -> None:
        """Replace the content of the cache by what the store holds.

        Raises:
            RequestRefusedError: The store did not execute a request, or compacted the events
                since the list was read.
            OutcomeUnknownError: The outcome of a request is unknown.
        """
        store_cache = self.context.store_cache
        started_at = self.context.clock()
        found, revision = await self.context.store.list_prefix(WATCHED_PREFIX)
        answer = await self.context.store.watch(WATCHED_PREFIX, revision, 0)
        if answer is None:
            raise RequestRefusedError(
                f"the store has no events of {WATCHED_PREFIX!r} since revision {revision} any more"
            )
        # There must be no await between loading the cache and calling `on_changed`: if the cache's
        # revision were ahead of what has been passed on, the gossip would claim knowledge of
        # cancellations that it doesn't name
        store_cache.load(found, revision)
        store_cache.apply(*answer)
        store_cache.ready = True
        self.read_at = max(self.read_at, started_at)
        log.info(
            "store read",
            revision=store_cache.revision,
            live=len(store_cache.live_jobs),
            ended=len(store_cache.ended_jobs),
        )
        self.on_changed()

    async def fresh_read(self) -> FreshRead | None:
        """Wait until the cache contains a read that began after this call.

        Returns None if that takes longer than `FRESH_READ_TIMEOUT_S` or the read fails.
        """
        done = anyio.Event()
        result: list[FreshRead] = []
        self.waiters.append((done, result))
        self.fresh_read_wake.set()
        with anyio.move_on_after(FRESH_READ_TIMEOUT_S):
            await done.wait()
        return result[0] if result else None

    async def is_current(self) -> bool:
        """Request a fresh read and wait for it; return whether it succeeded in time."""
        return await self.fresh_read() is not None

    def request_read(self) -> None:
        """Request a fresh read without waiting for it."""
        if not self.waiters:
            self.waiters.append((anyio.Event(), []))
        self.fresh_read_wake.set()

    async def fresh_read_loop(self) -> None:
        """Make one shared read for all waiting callers at a time; never returns."""
        while True:
            if not self.waiters:
                self.fresh_read_wake = anyio.Event()
                await self.fresh_read_wake.wait()
            batch = self.waiters
            self.waiters = []
            fresh_read = await self._read_afresh()
            for done, result in batch:
                if fresh_read is not None:
                    result.append(fresh_read)
                done.set()
            await anyio.sleep(self._read_pause_s(FRESH_READ_PAUSE_S))

    async def _read_afresh(self) -> FreshRead | None:
        """Bring the cache up to date by one read.

        Returns None if the cache is not loaded, if the store did not execute or answer the request,
        or if it no longer has the events since the cache's revision.
        """
        started_at = self.context.clock()
        store_cache = self.context.store_cache
        if not store_cache.ready:
            return None
        try:
            answer = await self.context.store.watch(WATCHED_PREFIX, store_cache.revision, 0)
        except (RequestRefusedError, OutcomeUnknownError):
            return None
        if answer is None:
            store_cache.ready = False
            return None
        self._apply_events(started_at, *answer)
        self.on_fresh_read(started_at)
        return FreshRead(started_at)
