"""The renter's role: held by lease, played by calls to the cloud."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.autoscaling.autoscaler import Autoscaler, RentalRequest
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.routing import Routing
from ploverhall.coordination import state_channel
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError, UnreachableError
from ploverhall.maintenance import orders
from ploverhall.protocol import cloud
from ploverhall.protocol.cloud import MachineType
from ploverhall.storage.store_cache import (
    AUTOSCALER_KEY,
    MACHINE_TYPE_COUNT_KEY,
    MACHINE_TYPE_PREFIX,
)
from ploverhall.transport.http_client import Caller

MACHINE_TYPES_INTERVAL_S = 60.0
MACHINE_TYPES_RETRY_S = 2.0
LIST_EVERY_S = 2.0  # between two reads of the machine list, or longer where it has many pages
LIST_SHARE = 0.5  # of the cloud's limit of requests that reading the list may use


class AutoscalingLoop:
    """The renter's role: held by lease, played by calls to the cloud."""

    def __init__(
        self,
        context: ControllerContext,
        routing: Routing,
        current_lease: Callable[[], int | None],
        cloud: Caller,
    ) -> None:
        self.context = context
        self.routing = routing
        self.cloud = cloud
        self.current_lease = current_lease  # this controller's, while it has one
        self.unheld_since = 0.0
        self.pending: list[tuple[str, RentalRequest]] = []
        self.list_every_s = LIST_EVERY_S

    def on_event_loop_stall(self) -> None:
        """What was to be rented was wanted then; others may rent by now."""
        self.pending.clear()

    async def loop(self) -> None:
        """Hold the renter's role if nobody does, and play it."""
        pending = self.pending
        last_list = last_types = last_plan = 0.0
        while True:
            await anyio.sleep(0.25)
            now = self.context.clock()
            if not self.context.store_cache.ready or self.current_lease() is None:
                continue
            holder, version = self.context.store_cache.autoscaler()
            if self.context.autoscaler is not None and version > self.context.autoscaler.epoch:
                self.context.autoscaler = None
            if self.context.autoscaler is None:
                self.context.outbound.drop(("r",), state_channel.AUTOSCALER_ENDPOINT)
                pending.clear()
                if holder is None:
                    self.unheld_since = self.unheld_since or now
                    if now - self.unheld_since < 0.1 + 0.5 * (
                        (self.context.controller_index + version)
                        % len(self.context.shard_map.controllers)
                    ):
                        continue
                elif holder != self.context.settings.name:
                    self.unheld_since = 0.0
                    continue
                if not await self._claim(version, now):
                    continue
                last_list = last_types = 0.0
            autoscaler = self.context.autoscaler
            if autoscaler is None:
                continue
            try:
                if now - last_types > MACHINE_TYPES_INTERVAL_S or not autoscaler.machine_types:
                    status, answer = await self.cloud.call("GET", "/flavors", timeout=3)
                    if status == 200:
                        autoscaler.machine_types = cloud.decode_machine_types(answer)
                        # until all are written nobody can take a job: what is not known to have landed is written again soon
                        last_types = (
                            now
                            if await self._store_machine_types(autoscaler.machine_types)
                            else now - MACHINE_TYPES_INTERVAL_S + MACHINE_TYPES_RETRY_S
                        )
                    elif self.context.machine_types and not autoscaler.machine_types:
                        autoscaler.machine_types = self.context.machine_types
                if now - last_list > self.list_every_s:
                    last_list = now
                    await self._list_machines(autoscaler, now)
                if now - last_plan > 1.0:
                    last_plan = now
                    autoscaler.orders = [
                        order
                        for order in orders.orders_in(self.context.store_cache.entries)
                        if not order.finished
                    ]
                    await self._finish_orders(autoscaler, now)
                    plan = autoscaler.plan(now, self.context.wall_clock())
                    if not pending:
                        pending += [
                            (autoscaler.next_request_id(), rental) for rental in plan.scale_out
                        ]
                    for i in range(0, len(plan.scale_in), 100):
                        await self._delete_machines(autoscaler, plan.scale_in[i : i + 100])
                while pending and self.context.autoscaler is autoscaler:
                    request_id, rental = pending[0]
                    status, answer = await self.cloud.call(
                        "POST",
                        "/hosts",
                        cloud.rental_request(request_id, *rental.pool, rental.count),
                        timeout=3,
                    )
                    if status == 200:
                        names = list(answer["perches"])  # type: ignore[index]
                        log.info(
                            "scaled out",
                            type=rental.pool[0],
                            zone=rental.pool[1],
                            spot=int(rental.pool[2]),
                            requested=rental.count,
                            received=len(names),
                        )
                        autoscaler.on_rented(names, rental.pool, rental.count, self.context.clock())
                    elif (
                        status == 503
                        and isinstance(answer, dict)
                        and answer.get("error") == "no capacity"
                    ):
                        log.info(
                            "no capacity",
                            type=rental.pool[0],
                            zone=rental.pool[1],
                            spot=int(rental.pool[2]),
                        )
                        autoscaler.on_refused(rental.pool, self.context.clock())
                    elif status in (429, 503):
                        break
                    if pending and pending[0][0] == request_id:
                        pending.pop(0)
                    await anyio.sleep(1.2 / self.context.settings.cloud_rps)
            except UnreachableError:
                continue  # asked again under the same name: it gives the same answer

    async def _claim(self, version: int, now: float) -> bool:
        try:
            epoch, failed = await self.context.store.compare_and_swap(
                {AUTOSCALER_KEY: version},
                {AUTOSCALER_KEY: {"node": self.context.settings.name}},
                [],
                self.current_lease(),
                frozenset({AUTOSCALER_KEY}),
                urgent=True,
            )
        except (RequestRefusedError, OutcomeUnknownError):
            return False
        if failed:
            return False
        settings = self.context.settings
        self.context.store_cache.apply_own_write(AUTOSCALER_KEY, {"node": settings.name}, epoch)
        self.context.autoscaler = Autoscaler(
            epoch,
            settings.options.idle_return_s,
            settings.options.spare,
            settings.list_lag_s,
            settings.lease_s,
            now,
        )
        self.context.autoscaler.machine_types = self.context.machine_types or {}
        self.context.autoscaler.objectives = self.context.objectives
        self.unheld_since = 0.0
        for job, _ in self.context.store_cache.live_jobs.values():
            self.context.autoscaler.on_job(
                job, now - max(0.0, self.context.wall_clock() - job.submitted_at)
            )
        log.info("autoscaler acquired", epoch=epoch)
        self.routing.update_routes()
        self.routing.replay(state_channel.AUTOSCALER_ENDPOINT, ("d", "m"))
        self.context.wake_scheduling()
        return True

    async def _finish_orders(self, autoscaler: Autoscaler, now: float) -> None:
        """Write which orders are done, one a round, and forget those that were over long ago."""
        wall = self.context.wall_clock()
        over = [
            order
            for order in orders.orders_in(self.context.store_cache.entries)
            if order.finished and wall - order.created_at > orders.RETENTION_S
        ]
        try:
            for order in autoscaler.finished_orders(now)[:1]:
                done = replace(order, state=orders.DONE, created_at=wall)
                await self.context.store.compare_and_swap(
                    {orders.ORDER_PREFIX + order.id: order.version},
                    {orders.ORDER_PREFIX + order.id: done.record()},
                    [],
                )
                log.info("maintenance order completed", order=order.id)
            for order in over[:1]:
                await self.context.store.compare_and_swap(
                    {orders.ORDER_PREFIX + order.id: order.version},
                    {},
                    [orders.ORDER_PREFIX + order.id],
                )
        except (RequestRefusedError, OutcomeUnknownError):
            pass  # the next round looks again at what is there

    async def _store_machine_types(self, types: dict[str, MachineType]) -> bool:
        """Keep the machine types for starts while the cloud is down; whether they are known to be there."""
        stored = self.context.store_cache.machine_types()
        if stored is not None and {
            name: machine_type.resources for name, machine_type in stored.items()
        } == {name: machine_type.resources for name, machine_type in types.items()}:
            return True
        try:
            for machine_type in types.values():
                await self.context.store.compare_and_swap(
                    {}, {MACHINE_TYPE_PREFIX + machine_type.name: machine_type.record()}, []
                )
            await self.context.store.compare_and_swap(
                {}, {MACHINE_TYPE_COUNT_KEY: {"n": len(types)}}, []
            )
        except (RequestRefusedError, OutcomeUnknownError):
            return False
        return True

    async def _list_machines(self, autoscaler: Autoscaler, now: float) -> None:
        items: list[cloud.CloudMachine] = []
        after = ""
        pages = 0
        rps = self.context.settings.cloud_rps
        while True:
            status, answer = await self.cloud.call(
                "GET", f"/hosts?limit=500{'&from=' + after if after else ''}", timeout=3
            )
            if status != 200:
                return
            page, more = cloud.decode_machine_page(answer)
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
        autoscaler.on_cloud_list(items, now, self.context.clock())

    async def _delete_machines(self, autoscaler: Autoscaler, names: list[str]) -> None:
        for name in names:
            if name in autoscaler.machines:
                autoscaler.machines[name].returning = True
        status, _ = await self.cloud.call("POST", "/hosts/return", {"perches": names}, timeout=3)
        if status == 200:
            log.info("scaled in", machines=",".join(names))
            autoscaler.on_deleted(names, self.context.clock())
        await anyio.sleep(1.2 / self.context.settings.cloud_rps)
