"""This node's copy of the store: kept by watch, and proven current for those who must know."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.controller.context import Shared
from ploverhall.coordination.job_answers import Proof
from ploverhall.protocol.key_value_store import Event, Refused, Unknown
from ploverhall.storage.store_cache import PREFIX

PROOF_S = 1.5  # how long a question waits for the read that proves its answer


class Following:
    """This node's copy of the store: kept by watch, and proven current for those who must know."""

    def __init__(
        self, shared: Shared, news: Callable[[], None], proved: Callable[[float], None]
    ) -> None:
        self.shared = shared
        self.news = news  # the copy has changed
        self.proved = proved  # a read begun then has shown who holds what
        self.waiters: list[tuple[anyio.Event, list[Proof]]] = []
        self.prove_wake = anyio.Event()
        self.read_at = 0.0  # when the newest read began that brought the copy up to date

    async def watch_loop(self) -> None:
        """Follow everything under the prefix."""
        while True:
            try:
                if not self.shared.replica.ready or self.shared.replica.rev == 0:
                    await self._load()
                begun = self.shared.clock()
                answer = await self.shared.store.watch(PREFIX, self.shared.replica.rev, 5_000)
            except Refused:
                await anyio.sleep(0.2)
                continue
            except Unknown:
                await anyio.sleep(self._pause(0.05))
                continue
            if answer is None:
                self.shared.replica.ready = False
                continue
            self._took(begun, *answer)
            await anyio.sleep(self._pause(0.03))  # changes that come together are read together

    def _pause(self, least: float) -> float:
        """Between two reads: longer when requests run short, so that leases and permits never wait for those who ask."""
        requests = self.shared.store.requests
        return least if requests.free() > requests.rate / 2 else max(least, 4.0 / requests.rate)

    def _took(self, begun: float, rev: int, events: list[Event]) -> None:
        """What a read begun then has brought: the copy is as new as that."""
        self.read_at = max(self.read_at, begun)
        if self.shared.replica.apply(rev, events):
            self.news()

    async def _load(self) -> None:
        begun = self.shared.clock()
        found, rev = await self.shared.store.read(PREFIX)
        answer = await self.shared.store.watch(PREFIX, rev, 0)
        if answer is None:
            raise Refused("watch too old")
        # in one step, and handed on in the same: a copy whose revision says more than what has been handed on from it would have its
        # words to the other controllers claim cancellations that they do not name
        self.shared.replica.load(found, rev)
        self.shared.replica.apply(*answer)
        self.shared.replica.ready = True
        self.read_at = max(self.read_at, begun)
        log.info(
            "state read",
            rev=self.shared.replica.rev,
            live=len(self.shared.replica.live),
            ended=len(self.shared.replica.ended),
        )
        self.news()

    async def proof(self) -> Proof | None:
        """That the copy has been brought up to date by a read begun after this call; None where there is no such read in time."""
        done, result = anyio.Event(), list[Proof]()
        self.waiters.append((done, result))
        self.prove_wake.set()
        with anyio.move_on_after(PROOF_S):
            await done.wait()
        return result[0] if result else None

    async def current(self) -> bool:
        """Whether there is such a proof."""
        return await self.proof() is not None

    def ask(self) -> None:
        """A read is wanted soon, by nobody who waits for it."""
        if not self.waiters:
            self.waiters.append((anyio.Event(), []))
        self.prove_wake.set()

    async def prove_loop(self) -> None:
        """One shared read for all polls that wait."""
        while True:
            if not self.waiters:
                self.prove_wake = anyio.Event()
                await self.prove_wake.wait()
            batch, self.waiters = self.waiters, []
            proof: Proof | None = None
            begun = self.shared.clock()
            try:
                if self.shared.replica.ready:
                    answer = await self.shared.store.watch(PREFIX, self.shared.replica.rev, 0)
                    if answer is None:
                        self.shared.replica.ready = False
                    else:
                        proof = Proof(begun)
                        self._took(begun, *answer)
                        self.proved(begun)
            except (Refused, Unknown):
                pass
            for done, result in batch:
                if proof is not None:
                    result.append(proof)
                done.set()
            await anyio.sleep(self._pause(0.04))
