"""Keeps this controller's store cache up to date, and reads the store afresh on request.

`controller` runs `watch_loop` and `fresh_read_loop`. Whoever must know that the cache is current
(answers to users, a new source, maintenance) awaits `fresh_read` or `is_current`.
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
WATCH_HOLD_MS = 5_000  # how long the store holds a watch without events
REFUSED_PAUSE_S = 0.2
# Least pauses between two reads, so that changes that come together are read together
WATCH_PAUSE_S = 0.03
WATCH_RETRY_PAUSE_S = 0.05
FRESH_READ_PAUSE_S = 0.04
PAUSE_REQUESTS = 4.0  # pause when the request allowance is half used, in requests at its rate


class StoreWatch:
    """The store cache's readers: a continuous watch, and fresh reads shared by all who wait."""

    def __init__(
        self,
        context: ControllerContext,
        on_changed: Callable[[], None],
        on_fresh_read: Callable[[float], None],
    ) -> None:
        """Compose the readers.

        `on_changed`: called after the cache has changed;
        `on_fresh_read`: called with the time at which a fresh read began, once it is in the cache.
        """
        self.context = context
        self.on_changed = on_changed
        self.on_fresh_read = on_fresh_read
        # Callers that wait for a fresh read: set when it is over, with its result if it succeeded
        self.waiters: list[tuple[anyio.Event, list[FreshRead]]] = []
        self.fresh_read_wake = anyio.Event()
        self.read_at = 0.0  # when the newest read began that is in the cache

    async def watch_loop(self) -> None:
        """Load everything under the watched prefix, then follow its changes."""
        while True:
            try:
                await self._watch_once()
            except RequestRefusedError:
                await anyio.sleep(REFUSED_PAUSE_S)
            except OutcomeUnknownError:
                await anyio.sleep(self._read_pause_s(WATCH_RETRY_PAUSE_S))

    async def _watch_once(self) -> None:
        """Apply the next events; raises RequestRefusedError or OutcomeUnknownError."""
        store_cache = self.context.store_cache
        if not store_cache.ready or store_cache.revision == 0:
            await self._load()
        started_at = self.context.clock()
        answer = await self.context.store.watch(WATCHED_PREFIX, store_cache.revision, WATCH_HOLD_MS)
        if answer is None:
            store_cache.ready = False  # the store no longer has the events: all is loaded again
            return
        self._apply_events(started_at, *answer)
        await anyio.sleep(self._read_pause_s(WATCH_PAUSE_S))

    def _read_pause_s(self, minimum_s: float) -> float:
        """Return the pause between two reads in seconds.

        Longer when the request allowance runs short, so that leases and permits need not wait.
        """
        requests = self.context.store.requests
        if requests.available() > requests.rate / 2:
            return minimum_s
        return max(minimum_s, PAUSE_REQUESTS / requests.rate)

    def _apply_events(self, started_at: float, revision: int, events: list[WatchEvent]) -> None:
        """Apply the events of a read that began then: the cache is as new as that."""
        self.read_at = max(self.read_at, started_at)
        if self.context.store_cache.apply(revision, events):
            self.on_changed()

    async def _load(self) -> None:
        """Replace the cache's content; raises RequestRefusedError or OutcomeUnknownError."""
        store_cache = self.context.store_cache
        started_at = self.context.clock()
        found, revision = await self.context.store.list_prefix(WATCHED_PREFIX)
        answer = await self.context.store.watch(WATCHED_PREFIX, revision, 0)
        if answer is None:
            raise RequestRefusedError("watch too old")
        # Loaded and passed on without an await between: a cache with a revision above what was
        # passed on would make the gossip claim cancellations that it does not name
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
        """Wait for a read begun after this call to be in the cache; None if it isn't in time."""
        done = anyio.Event()
        result: list[FreshRead] = []
        self.waiters.append((done, result))
        self.fresh_read_wake.set()
        with anyio.move_on_after(FRESH_READ_TIMEOUT_S):
            await done.wait()
        return result[0] if result else None

    async def is_current(self) -> bool:
        """Read afresh; return whether that succeeded in time."""
        return await self.fresh_read() is not None

    def request_read(self) -> None:
        """Ask for a fresh read soon, without waiting for it."""
        if not self.waiters:
            self.waiters.append((anyio.Event(), []))
        self.fresh_read_wake.set()

    async def fresh_read_loop(self) -> None:
        """Make one shared read for all callers that wait."""
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
        """Bring the cache up to date; None if it is not loaded or the store did not answer."""
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
