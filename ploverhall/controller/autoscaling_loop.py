"""Runs the autoscaler while this controller holds its role, and makes its requests to the cloud.

All requests to the cloud are made here: reading machine types and machines, renting and returning
machines. `autoscaler_role` claims the role; `controller` runs `AutoscalingLoop.loop`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.autoscaling.autoscaler import Autoscaler
from ploverhall.autoscaling.fleet_state import RentalRequest
from ploverhall.controller.autoscaler_role import AutoscalerRole
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.routing import Routing
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError, UnreachableError
from ploverhall.maintenance import orders
from ploverhall.protocol import cloud
from ploverhall.protocol.cloud import MachineType
from ploverhall.storage.schema import (
    MACHINE_TYPE_COUNT_KEY,
    MACHINE_TYPE_PREFIX,
    machine_type_count_record,
)
from ploverhall.transport.http_client import Caller

STEP_INTERVAL_S = 0.25
PLAN_INTERVAL_S = 1.0
MACHINE_TYPES_INTERVAL_S = 60.0
MACHINE_TYPES_RETRY_S = 2.0
LIST_EVERY_S = 2.0  # between two reads of the machine list; longer if the list has many pages
LIST_SHARE = 0.5  # share of the cloud's request limit that reading the list may use
LIST_PAGE_SIZE = 500
MAX_RETURNS_PER_REQUEST = 100
CLOUD_TIMEOUT_S = 3
CLOUD_PAUSE_REQUESTS = 1.2  # pause after a change, in multiples of the interval at the rate limit


class AutoscalingLoop:
    """Executes the autoscaler's plans while this controller holds its role."""

    def __init__(
        self,
        context: ControllerContext,
        routing: Routing,
        current_lease: Callable[[], int | None],
        cloud: Caller,
    ) -> None:
        """Start without the role.

        `current_lease`: returns the id of this controller's lease, or None if it has none;
        `cloud`: makes requests to the cloud.
        """
        self.context = context
        self.cloud = cloud
        self.current_lease = current_lease
        self.role = AutoscalerRole(context, routing, current_lease)
        # Rental requests to be made, each with the request id under which it is retried
        self.pending: list[tuple[str, RentalRequest]] = []
        self.list_every_s = LIST_EVERY_S
        # Times of the last reads and the last plan, in seconds of the context's clock
        self.listed_at = 0.0
        self.types_read_at = 0.0
        self.planned_at = 0.0

    def on_event_loop_stall(self) -> None:
        """Drop pending rentals: the demand is stale, and another autoscaler may have taken over."""
        self.pending.clear()

    async def loop(self) -> None:
        """Claim the autoscaler role when it is free, and run the autoscaler while it is held."""
        self.listed_at = self.types_read_at = self.planned_at = 0.0
        while True:
            await anyio.sleep(STEP_INTERVAL_S)
            now = self.context.clock()
            if not self.context.store_cache.ready or self.current_lease() is None:
                continue
            if not await self._ensure_role_held(now):
                continue
            autoscaler = self.context.autoscaler
            if autoscaler is None:
                continue
            try:
                await self._step(autoscaler, now)
            except UnreachableError:
                continue  # retried with the same request id, for which the cloud answers the same

    async def _ensure_role_held(self, now: float) -> bool:
        """Keep the role or claim it; return whether this controller holds it now."""
        if self.role.keep_if_current():
            return True
        self.pending.clear()
        if not await self.role.claim_if_due(now):
            return False
        self.listed_at = self.types_read_at = 0.0
        return True

    async def _step(self, autoscaler: Autoscaler, now: float) -> None:
        """Read machine types and machines, plan, and make rental requests, as far as they are due.

        Raises:
            UnreachableError: The cloud did not answer.
        """
        if now - self.types_read_at > MACHINE_TYPES_INTERVAL_S or not autoscaler.machine_types:
            await self._read_machine_types(autoscaler, now)
        if now - self.listed_at > self.list_every_s:
            self.listed_at = now
            await self._list_machines(autoscaler, now)
        if now - self.planned_at > PLAN_INTERVAL_S:
            self.planned_at = now
            await self._plan(autoscaler, now)
        while self.pending and self.context.autoscaler is autoscaler:
            if not await self._request_next_rental(autoscaler):
                break

    async def _read_machine_types(self, autoscaler: Autoscaler, now: float) -> None:
        status, answer = await self.cloud.call("GET", "/flavors", timeout=CLOUD_TIMEOUT_S)
        if status == HTTPStatus.OK:
            autoscaler.machine_types = cloud.decode_machine_types(answer)
            if await self._store_machine_types(autoscaler.machine_types):
                self.types_read_at = now
            else:
                # No job is accepted before all types are stored, so the write is retried soon
                self.types_read_at = now - MACHINE_TYPES_INTERVAL_S + MACHINE_TYPES_RETRY_S
        elif self.context.machine_types and not autoscaler.machine_types:
            autoscaler.machine_types = self.context.machine_types

    async def _plan(self, autoscaler: Autoscaler, now: float) -> None:
        """Update maintenance orders, make a plan, queue its rentals, and return surplus machines.

        Raises:
            UnreachableError: The cloud did not answer.
        """
        autoscaler.orders = [
            order
            for order in orders.orders_in(self.context.store_cache.entries)
            if not order.finished
        ]
        await self._finish_orders(autoscaler, now)
        with self.context.step_timer.measure("autoscaling plan"):
            plan = autoscaler.plan(now, self.context.wall_clock())
        if not self.pending:
            self.pending += [(autoscaler.next_request_id(), rental) for rental in plan.scale_out]
        for start in range(0, len(plan.scale_in), MAX_RETURNS_PER_REQUEST):
            names = plan.scale_in[start : start + MAX_RETURNS_PER_REQUEST]
            await self._delete_machines(autoscaler, names)

    async def _request_next_rental(self, autoscaler: Autoscaler) -> bool:
        """Make the first pending rental request.

        Returns false, and leaves the request pending, if the cloud limits requests or is
        unavailable. A request that the cloud refuses for lack of capacity, or with any other
        status, is dropped.

        Raises:
            UnreachableError: The cloud did not answer; the request stays pending.
        """
        request_id, rental = self.pending[0]
        body = cloud.rental_request(request_id, *rental.pool, rental.count)
        status, answer = await self.cloud.call("POST", "/hosts", body, timeout=CLOUD_TIMEOUT_S)
        if status == HTTPStatus.OK:
            self._on_rented(autoscaler, rental, cloud.decode_rented_names(answer))
        elif status == HTTPStatus.SERVICE_UNAVAILABLE and cloud.says_no_capacity(answer):
            self._on_no_capacity(autoscaler, rental)
        elif status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            return False
        # `pending` may have been cleared during the request
        if self.pending and self.pending[0][0] == request_id:
            self.pending.pop(0)
        await self._pause_after_change()
        return True

    def _on_rented(self, autoscaler: Autoscaler, rental: RentalRequest, names: list[str]) -> None:
        machine_type, zone, spot = rental.pool
        log.info(
            "scaled out",
            type=machine_type,
            zone=zone,
            spot=int(spot),
            requested=rental.count,
            received=len(names),
        )
        autoscaler.on_rented(names, rental.pool, rental.count, self.context.clock())

    def _on_no_capacity(self, autoscaler: Autoscaler, rental: RentalRequest) -> None:
        machine_type, zone, spot = rental.pool
        log.info("no capacity", type=machine_type, zone=zone, spot=int(spot))
        autoscaler.on_refused(rental.pool, self.context.clock())

    async def _pause_after_change(self) -> None:
        await anyio.sleep(CLOUD_PAUSE_REQUESTS / self.context.settings.cloud_rps)

    async def _finish_orders(self, autoscaler: Autoscaler, now: float) -> None:
        """Mark one completed maintenance order as done, and delete one past its retention."""
        wall_time = self.context.wall_clock()
        expired = [
            order
            for order in orders.orders_in(self.context.store_cache.entries)
            if order.finished and wall_time - order.created_at > orders.RETENTION_S
        ]
        try:
            for order in autoscaler.finished_orders(now)[:1]:
                done = replace(order, state=orders.DONE, created_at=wall_time)
                key = orders.ORDER_PREFIX + order.id
                await self.context.store.compare_and_swap(
                    {key: order.version}, {key: done.record()}, []
                )
                log.info("maintenance order completed", order=order.id)
            for order in expired[:1]:
                key = orders.ORDER_PREFIX + order.id
                await self.context.store.compare_and_swap({key: order.version}, {}, [key])
        except (RequestRefusedError, OutcomeUnknownError):
            pass  # the next plan reads the stored orders again

    async def _store_machine_types(self, types: dict[str, MachineType]) -> bool:
        """Store the machine types, so that controllers can start while the cloud is down.

        Returns whether the types are known to be stored.
        """
        stored = self.context.store_cache.machine_types()
        if stored is not None and _resources_by_type(stored) == _resources_by_type(types):
            return True
        try:
            for machine_type in types.values():
                await self.context.store.compare_and_swap(
                    {}, {MACHINE_TYPE_PREFIX + machine_type.name: machine_type.record()}, []
                )
            await self.context.store.compare_and_swap(
                {}, {MACHINE_TYPE_COUNT_KEY: machine_type_count_record(len(types))}, []
            )
        except (RequestRefusedError, OutcomeUnknownError):
            return False
        return True

    async def _list_machines(self, autoscaler: Autoscaler, now: float) -> None:
        """Read all pages of the cloud's machine list and pass the list to the autoscaler.

        Passes on nothing if the cloud refuses a page.

        Raises:
            UnreachableError: The cloud did not answer.
        """
        machines: list[cloud.CloudMachine] = []
        page_count = 0
        requests_per_s = self.context.settings.cloud_rps
        last_name = ""
        while True:
            after = f"&from={last_name}" if last_name else ""
            status, answer = await self.cloud.call(
                "GET", f"/hosts?limit={LIST_PAGE_SIZE}{after}", timeout=CLOUD_TIMEOUT_S
            )
            if status != HTTPStatus.OK:
                return
            page, more = cloud.decode_machine_page(answer)
            machines += page
            page_count += 1
            if not more or not page:
                break
            last_name = page[-1].name
            if page_count >= requests_per_s:
                # The cloud refuses requests over its limit, and an incomplete list can't be used
                await anyio.sleep(1.0 / requests_per_s)
        self.list_every_s = max(LIST_EVERY_S, page_count / (LIST_SHARE * requests_per_s))
        autoscaler.on_cloud_list(machines, now, self.context.clock())

    async def _delete_machines(self, autoscaler: Autoscaler, names: list[str]) -> None:
        """Return machines to the cloud.

        Raises:
            UnreachableError: The cloud did not answer.
        """
        for name in names:
            if name in autoscaler.machines:
                autoscaler.machines[name].returning = True
        status, _ = await self.cloud.call(
            "POST", "/hosts/return", cloud.return_request(names), timeout=CLOUD_TIMEOUT_S
        )
        if status == HTTPStatus.OK:
            log.info("scaled in", machines=",".join(names))
            autoscaler.on_deleted(names, self.context.clock())
        await self._pause_after_change()


def _resources_by_type(types: dict[str, MachineType]) -> dict[str, tuple[float, float, float]]:
    return {name: machine_type.resources for name, machine_type in types.items()}
