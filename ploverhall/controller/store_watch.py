"""This node's copy of the store: kept by watch, and proven current for those who must know."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.controller.context import ControllerContext
from ploverhall.coordination.job_answers import FreshRead
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.protocol.key_value_store import WatchEvent
from ploverhall.storage.store_cache import WATCHED_PREFIX

FRESH_READ_TIMEOUT_S = 1.5  # how long a question waits for the read that proves its answer


class StoreWatch:
    """This node's copy of the store: kept by watch, and proven current for those who must know."""

    def __init__(
        self,
        context: ControllerContext,
        on_changed: Callable[[], None],
        on_fresh_read: Callable[[float], None],
    ) -> None:
        self.context = context
        self.on_changed = on_changed  # the copy has changed
        self.on_fresh_read = on_fresh_read  # a read begun then has shown who holds what
        self.waiters: list[tuple[anyio.Event, list[FreshRead]]] = []
        self.fresh_read_wake = anyio.Event()
        self.read_at = 0.0  # when the newest read began that brought the copy up to date

    async def watch_loop(self) -> None:
        """Follow everything under the prefix."""
        while True:
            try:
                if not self.context.store_cache.ready or self.context.store_cache.revision == 0:
                    await self._load()
                started_at = self.context.clock()
                answer = await self.context.store.watch(
                    WATCHED_PREFIX, self.context.store_cache.revision, 5_000
                )
            except RequestRefusedError:
                await anyio.sleep(0.2)
                continue
            except OutcomeUnknownError:
                await anyio.sleep(self._read_pause(0.05))
                continue
            if answer is None:
                self.context.store_cache.ready = False
                continue
            self._apply_events(started_at, *answer)
            await anyio.sleep(
                self._read_pause(0.03)
            )  # changes that come together are read together

    def _read_pause(self, minimum_s: float) -> float:
        """Between two reads: longer when requests run short, so that leases and permits never wait for those who ask."""
        requests = self.context.store.requests
        return (
            minimum_s
            if requests.available() > requests.rate / 2
            else max(minimum_s, 4.0 / requests.rate)
        )

    def _apply_events(self, started_at: float, revision: int, events: list[WatchEvent]) -> None:
        """What a read begun then has brought: the copy is as new as that."""
        self.read_at = max(self.read_at, started_at)
        if self.context.store_cache.apply(revision, events):
            self.on_changed()

    async def _load(self) -> None:
        started_at = self.context.clock()
        found, revision = await self.context.store.list_prefix(WATCHED_PREFIX)
        answer = await self.context.store.watch(WATCHED_PREFIX, revision, 0)
        if answer is None:
            raise RequestRefusedError("watch too old")
        # in one step, and handed on in the same: a copy whose revision says more than what has been handed on from it would have its
        # words to the other controllers claim cancellations that they do not name
        self.context.store_cache.load(found, revision)
        self.context.store_cache.apply(*answer)
        self.context.store_cache.ready = True
        self.read_at = max(self.read_at, started_at)
        log.info(
            "store read",
            revision=self.context.store_cache.revision,
            live=len(self.context.store_cache.live_jobs),
            ended=len(self.context.store_cache.ended_jobs),
        )
        self.on_changed()

    async def fresh_read(self) -> FreshRead | None:
        """That the copy has been brought up to date by a read begun after this call; None where there is no such read in time."""
        done, result = anyio.Event(), list[FreshRead]()
        self.waiters.append((done, result))
        self.fresh_read_wake.set()
        with anyio.move_on_after(FRESH_READ_TIMEOUT_S):
            await done.wait()
        return result[0] if result else None

    async def is_current(self) -> bool:
        """Whether there is such a proof."""
        return await self.fresh_read() is not None

    def request_read(self) -> None:
        """A read is wanted soon, by nobody who waits for it."""
        if not self.waiters:
            self.waiters.append((anyio.Event(), []))
        self.fresh_read_wake.set()

    async def fresh_read_loop(self) -> None:
        """One shared read for all polls that wait."""
        while True:
            if not self.waiters:
                self.fresh_read_wake = anyio.Event()
                await self.fresh_read_wake.wait()
            batch = self.waiters
            self.waiters = []
            fresh_read: FreshRead | None = None
            started_at = self.context.clock()
            try:
                if self.context.store_cache.ready:
                    answer = await self.context.store.watch(
                        WATCHED_PREFIX, self.context.store_cache.revision, 0
                    )
                    if answer is None:
                        self.context.store_cache.ready = False
                    else:
                        fresh_read = FreshRead(started_at)
                        self._apply_events(started_at, *answer)
                        self.on_fresh_read(started_at)
            except (RequestRefusedError, OutcomeUnknownError):
                pass
            for done, result in batch:
                if fresh_read is not None:
                    result.append(fresh_read)
                done.set()
            await anyio.sleep(self._read_pause(0.04))
