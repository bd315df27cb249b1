"""This node's copy of the store: kept by watch, and proven current for those who must know."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.bookkeeping.replica import (
    PREFIX,
)  # fmt: skip
from ploverhall.protocol.state import Event, Refused, Unknown

if TYPE_CHECKING:
    from ploverhall.control.node import Node


class Following:
    """This node's copy of the store: kept by watch, and proven current for those who must know."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.waiters: list[tuple[anyio.Event, list[bool]]] = []
        self.prove_wake = anyio.Event()
        self.read_at = 0.0  # when the newest read began that brought the copy up to date

    async def watch_loop(self) -> None:
        """Follow everything under the prefix."""
        while True:
            try:
                if not self.node.replica.ready or self.node.replica.rev == 0:
                    await self._load()
                begun = time.monotonic()
                answer = await self.node.store.watch(PREFIX, self.node.replica.rev, 5_000)
            except Refused:
                await anyio.sleep(0.2)
                continue
            except Unknown:
                await anyio.sleep(0.05)
                continue
            if answer is None:
                self.node.replica.ready = False
                continue
            self._took(begun, *answer)
            await anyio.sleep(self._pause(0.03))  # changes that come together are read together

    def _pause(self, least: float) -> float:
        """Between two reads: longer when requests run short, so that leases and permits never wait for those who ask."""
        requests = self.node.store.requests
        return least if requests.free() > requests.rate / 2 else max(least, 4.0 / requests.rate)

    def _took(self, begun: float, rev: int, events: list[Event]) -> None:
        """What a read begun then has brought: the copy is as new as that."""
        self.read_at = max(self.read_at, begun)
        if self.node.replica.apply(rev, events):
            self.node.replica_news()

    async def _load(self) -> None:
        begun = time.monotonic()
        found, rev = await self.node.store.read(PREFIX)
        self.node.replica.load(found, rev)
        answer = await self.node.store.watch(PREFIX, rev, 0)
        if answer is None:
            raise Refused("watch too old")
        self.node.replica.apply(*answer)
        self.node.replica.ready = True
        self.read_at = max(self.read_at, begun)
        log.info("state read", rev=self.node.replica.rev, live=len(self.node.replica.live), ended=len(self.node.replica.ended))
        self.node.replica_news()

    async def current(self) -> bool:
        """Whether the copy was proven current by a read begun after this call."""
        done, result = anyio.Event(), [False]
        self.waiters.append((done, result))
        self.prove_wake.set()
        with anyio.move_on_after(1.5):
            await done.wait()
        return result[0]

    def ask(self) -> None:
        """A read is wanted soon, by nobody who waits for it."""
        if not self.waiters:
            self.waiters.append((anyio.Event(), [False]))
        self.prove_wake.set()

    async def prove_loop(self) -> None:
        """One shared read for all polls that wait."""
        while True:
            if not self.waiters:
                self.prove_wake = anyio.Event()
                await self.prove_wake.wait()
            batch, self.waiters = self.waiters, []
            ok = False
            begun = time.monotonic()
            try:
                if self.node.replica.ready:
                    answer = await self.node.store.watch(PREFIX, self.node.replica.rev, 0)
                    if answer is None:
                        self.node.replica.ready = False
                    else:
                        ok = True
                        self._took(begun, *answer)
                        self.node.proved(begun)
            except (Refused, Unknown):
                pass
            for done, result in batch:
                result[0] = ok
                done.set()
            await anyio.sleep(self._pause(0.04))
