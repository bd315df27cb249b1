"""The renter's role: held by lease, played by calls to the cloud."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.autoscaling.autoscaler import Rent, Renter
from ploverhall.controller.context import Shared
from ploverhall.controller.routing import Routing
from ploverhall.coordination import state_channel
from ploverhall.maintenance import orders
from ploverhall.protocol import cloud
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.key_value_store import Refused, Unknown
from ploverhall.storage.store_cache import RENTER, TYPE, TYPES
from ploverhall.transport.http import Caller, Unreachable

TYPES_EVERY_S, TYPES_AGAIN_S = 60.0, 2.0
LIST_EVERY_S = 2.0  # between two reads of the machine list, or longer where it has many pages
LIST_SHARE = 0.5  # of the cloud's limit of requests that reading the list may use


class Renting:
    """The renter's role: held by lease, played by calls to the cloud."""

    def __init__(
        self, shared: Shared, routing: Routing, lease: Callable[[], int | None], cloud: Caller
    ) -> None:
        self.shared, self.routing, self.cloud = shared, routing, cloud
        self.lease = lease  # this controller's, while it has one
        self.renter_orphan = 0.0
        self.pending: list[tuple[str, Rent]] = []
        self.list_every_s = LIST_EVERY_S

    def stood_still(self) -> None:
        """What was to be rented was wanted then; others may rent by now."""
        self.pending.clear()

    async def loop(self) -> None:
        """Hold the renter's role if nobody does, and play it."""
        pending = self.pending
        last_list = last_types = last_plan = 0.0
        while True:
            await anyio.sleep(0.25)
            now = self.shared.clock()
            if not self.shared.replica.ready or self.lease() is None:
                continue
            holder, version = self.shared.replica.renter()
            if self.shared.renter is not None and version > self.shared.renter.epoch:
                self.shared.renter = None
            if self.shared.renter is None:
                self.shared.outbox.drop(("r",), state_channel.RENTER)
                pending.clear()
                if holder is None:
                    self.renter_orphan = self.renter_orphan or now
                    if now - self.renter_orphan < 0.1 + 0.5 * (
                        (self.shared.me + version) % len(self.shared.layout.nodes)
                    ):
                        continue
                elif holder != self.shared.settings.name:
                    self.renter_orphan = 0.0
                    continue
                if not await self._claim_renter(version, now):
                    continue
                last_list = last_types = 0.0
            renter = self.shared.renter
            if renter is None:
                continue
            try:
                if now - last_types > TYPES_EVERY_S or not renter.types:
                    status, answer = await self.cloud.call("GET", "/flavors", timeout=3)
                    if status == 200:
                        renter.types = cloud.types(answer)
                        # until all are written nobody can take a job: what is not known to have landed is written again soon
                        last_types = (
                            now
                            if await self._store_types(renter.types)
                            else now - TYPES_EVERY_S + TYPES_AGAIN_S
                        )
                    elif self.shared.types and not renter.types:
                        renter.types = self.shared.types
                if now - last_list > self.list_every_s:
                    last_list = now
                    await self._list(renter, now)
                if now - last_plan > 1.0:
                    last_plan = now
                    renter.orders = [
                        o for o in orders.all_of(self.shared.replica.keys) if not o.over
                    ]
                    await self._finish(renter, now)
                    plan = renter.plan(now, self.shared.wall())
                    if not pending:
                        pending += [(renter.plea(), r) for r in plan.rent]
                    for i in range(0, len(plan.give_back), 100):
                        await self._return(renter, plan.give_back[i : i + 100])
                while pending and self.shared.renter is renter:
                    plea, r = pending[0]
                    status, answer = await self.cloud.call(
                        "POST", "/hosts", cloud.rent(plea, *r.kind, r.count), timeout=3
                    )
                    if status == 200:
                        names = list(answer["perches"])  # type: ignore[index]
                        log.info(
                            "rented",
                            type=r.kind[0],
                            zone=r.kind[1],
                            spot=int(r.kind[2]),
                            asked=r.count,
                            got=len(names),
                        )
                        renter.on_rented(names, r.kind, r.count, self.shared.clock())
                    elif (
                        status == 503
                        and isinstance(answer, dict)
                        and answer.get("error") == "no capacity"
                    ):
                        log.info("no capacity", type=r.kind[0], zone=r.kind[1], spot=int(r.kind[2]))
                        renter.on_refused(r.kind, self.shared.clock())
                    elif status in (429, 503):
                        break
                    if pending and pending[0][0] == plea:
                        pending.pop(0)
                    await anyio.sleep(1.2 / self.shared.settings.cloud_rps)
            except Unreachable:
                continue  # asked again under the same name: it gives the same answer

    async def _claim_renter(self, version: int, now: float) -> bool:
        try:
            epoch, failed = await self.shared.store.txn(
                {RENTER: version},
                {RENTER: {"node": self.shared.settings.name}},
                [],
                self.lease(),
                frozenset({RENTER}),
                urgent=True,
            )
        except (Refused, Unknown):
            return False
        if failed:
            return False
        s = self.shared.settings
        self.shared.replica.put_own(RENTER, {"node": s.name}, epoch)
        self.shared.renter = Renter(
            epoch, s.options.idle_return_s, s.options.spare, s.list_lag_s, s.lease_s, now
        )
        self.shared.renter.types = self.shared.types or {}
        self.shared.renter.aims = self.shared.aims
        self.renter_orphan = 0.0
        for job, _ in self.shared.replica.live.values():
            self.shared.renter.on_job(job, now - max(0.0, self.shared.wall() - job.at))
        log.info("renter", epoch=epoch)
        self.routing.route()
        self.routing.replay(state_channel.RENTER, ("d", "m"))
        self.shared.poke()
        return True

    async def _finish(self, renter: Renter, now: float) -> None:
        """Write which orders are done, one a round, and forget those that were over long ago."""
        wall = self.shared.wall()
        over = [
            o
            for o in orders.all_of(self.shared.replica.keys)
            if o.over and wall - o.at > orders.KEPT_S
        ]
        try:
            for o in renter.finished(now)[:1]:
                done = replace(o, state=orders.DONE, at=wall)
                await self.shared.store.txn(
                    {orders.ORDER + o.id: o.version}, {orders.ORDER + o.id: done.record()}, []
                )
                log.info("order done", order=o.id)
            for o in over[:1]:
                await self.shared.store.txn(
                    {orders.ORDER + o.id: o.version}, {}, [orders.ORDER + o.id]
                )
        except (Refused, Unknown):
            pass  # the next round looks again at what is there

    async def _store_types(self, types: dict[str, MachineType]) -> bool:
        """Keep the machine types for starts while the cloud is down; whether they are known to be there."""
        stored = self.shared.replica.types()
        if stored is not None and {n: t.vec for n, t in stored.items()} == {
            n: t.vec for n, t in types.items()
        }:
            return True
        try:
            for t in types.values():
                await self.shared.store.txn({}, {TYPE + t.name: t.record()}, [])
            await self.shared.store.txn({}, {TYPES: {"n": len(types)}}, [])
        except (Refused, Unknown):
            return False
        return True

    async def _list(self, renter: Renter, now: float) -> None:
        items: list[cloud.Listed] = []
        after, pages = "", 0
        rps = self.shared.settings.cloud_rps
        while True:
            status, answer = await self.cloud.call(
                "GET", f"/hosts?limit=500{'&from=' + after if after else ''}", timeout=3
            )
            if status != 200:
                return
            page, more = cloud.listed(answer)
            items += page
            pages += 1
            if not more or not page:
                break
            after = page[-1].name
            if pages >= rps:
                await anyio.sleep(
                    1.0 / rps
                )  # the cloud refuses more, and a list that breaks off is of no use
        self.list_every_s = max(LIST_EVERY_S, pages / (LIST_SHARE * rps))
        renter.on_list(items, now, self.shared.clock())

    async def _return(self, renter: Renter, names: list[str]) -> None:
        for n in names:
            if n in renter.machines:
                renter.machines[n].returning = True
        status, _ = await self.cloud.call("POST", "/hosts/return", {"perches": names}, timeout=3)
        if status == 200:
            log.info("returned", machines=",".join(names))
            renter.on_gone(names, self.shared.clock())
        await anyio.sleep(1.2 / self.shared.settings.cloud_rps)
