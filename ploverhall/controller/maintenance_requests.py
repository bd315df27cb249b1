"""Serve operators' maintenance orders over HTTP: create, change, list and preview them.

Any controller can serve them. `http_routes` calls `MaintenanceRequests.handle`. Orders are kept in
the key-value store; the autoscaler and the shard owners execute them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import orjson

from ploverhall import log
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.status_fields import Selection
from ploverhall.controller.status_report import Report, StatusReport
from ploverhall.controller.store_watch import StoreWatch
from ploverhall.errors import InvalidOrderError, OutcomeUnknownError, RequestRefusedError
from ploverhall.maintenance import orders
from ploverhall.maintenance.disruption_budget import DisruptionBudgets
from ploverhall.maintenance.orders import ORDER_PREFIX, STATE_BY_VERB, MaintenanceOrder
from ploverhall.storage.schema import controller_from_record, controller_key
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply

RETRY_AFTER_S = 1.0
RETRY_AFTER_TOO_MANY_S = 30.0
RECORD_OVERHEAD_BYTES = 64  # part of the store's limit for a value that is kept free
PREVIEW_ID = "u-0"


class MaintenanceRequests:
    """Serves operators' requests about maintenance orders."""

    def __init__(
        self,
        context: ControllerContext,
        store_watch: StoreWatch,
        status_report: StatusReport,
        on_store_changed: Callable[[], None],
    ) -> None:
        self.context = context
        self.store_watch = store_watch
        self.status_report = status_report
        self.on_store_changed = on_store_changed
        self.budgets = DisruptionBudgets(context.settings.options.budget)

    async def handle(self, request: Request) -> Reply:
        """Answer a request below `/upkeep`.

        GET lists the orders. POST creates an order, POST to `/upkeep/try` previews one, and POST to
        `/upkeep/ID/VERB` changes one (pause, resume, stop). A malformed order is answered with 400,
        and a write that was refused or has an unknown outcome with 503.
        """
        path = [part for part in request.path.split("/") if part][1:]
        if request.method == "GET" and not path:
            return await self._list()
        if request.method != "POST" or len(path) > 2:
            return Reply(405, {"error": "method"})
        try:
            if not path:
                return await self._create(_decode_body(request))
            if path == ["try"]:
                return await self._preview(_decode_body(request))
            return await self._change(path[0], path[1] if len(path) > 1 else "")
        except InvalidOrderError as error:
            return Reply(400, {"error": str(error)})
        except (RequestRefusedError, OutcomeUnknownError):
            return Reply(
                503,
                {"error": "not stored: ask again, the same order is placed once"},
                RETRY_AFTER_S,
            )

    def _all_orders(self) -> list[MaintenanceOrder]:
        """Return all orders in the store cache."""
        return orders.orders_in(self.context.store_cache.entries)

    def _find(self, order_id: str) -> MaintenanceOrder | None:
        """Return the order with an id; None if there is none."""
        return next((order for order in self._all_orders() if order.id == order_id), None)

    # -- creating ------------------------------------------------------------------------------

    async def _create(self, body: dict[str, Any]) -> Reply:
        """Store a new order; reply 201, or 200 if the same order is stored already."""
        fields = {key: value for key, value in body.items() if key != "state"}
        order = replace(
            orders.parse_order(body.get("id"), fields), created_at=self.context.wall_clock()
        )
        if not self.context.store_cache.ready or not await self.store_watch.is_current():
            return _state_unknown()
        if (known := self._find(order.id)) is not None:
            return _reply_known(known, order)
        if (reply := self._rejection(order)) is not None:
            return reply
        key = ORDER_PREFIX + order.id
        revision, failed = await self.context.store.compare_and_swap(
            {key: 0}, {key: order.record()}, []
        )
        if failed:
            return _state_unknown()
        _log_created(order)
        self.context.store_cache.apply_own_write(key, order.record(), revision)
        self.on_store_changed()
        return Reply(201, {"id": order.id, **order.record()})

    def _rejection(self, order: MaintenanceOrder) -> Reply | None:
        """Return the reply if a new order cannot be accepted; None if it can."""
        if older := self._controllers_without_support():
            return Reply(
                409,
                {"error": f"{', '.join(older)} can't carry out orders: a release before this one"},
            )
        active_count = sum(1 for other in self._all_orders() if not other.finished)
        if active_count >= orders.MAX_ACTIVE_ORDERS:
            return Reply(
                429,
                {"error": f"{orders.MAX_ACTIVE_ORDERS} orders are not over"},
                RETRY_AFTER_TOO_MANY_S,
            )
        max_bytes = self.context.settings.max_value_bytes - RECORD_OVERHEAD_BYTES
        if len(orjson.dumps(order.record())) > max_bytes:
            return Reply(400, {"error": "too long to be kept: fewer machines in one order"})
        return None

    def _controllers_without_support(self) -> list[str]:
        """Return the controllers whose release has no support for orders.

        Their shards would not keep to the disruption budgets.
        """
        unsupported = []
        for name in self.context.shard_map.controllers:
            value, _ = self.context.store_cache.entries.get(controller_key(name), (None, 0))
            record = controller_from_record(value)
            supported = record is not None and orders.FEATURE_MAINTENANCE in record.features
            if value is not None and not supported:
                unsupported.append(name)
        return unsupported

    # -- changing ------------------------------------------------------------------------------

    async def _change(self, order_id: str, verb: str) -> Reply:
        """Pause, resume or stop an order.

        The status is 200, 404 for an unknown verb or order, 409 if the order has ended in another
        state, and 503 if the store is not current or the order has just been changed.
        """
        if verb not in STATE_BY_VERB:
            return Reply(404, {"error": "pause, resume or stop"})
        if not await self.store_watch.is_current():
            return _state_unknown()
        order = self._find(order_id)
        if order is None:
            return Reply(404, {"error": "no such order"})
        if order.finished:
            if order.state != STATE_BY_VERB[verb]:
                return Reply(409, {"error": f"it is {order.state}"})
            return Reply(200, {"id": order_id, **order.record()})
        changed = replace(
            order,
            state=STATE_BY_VERB[verb],
            created_at=self.context.wall_clock() if verb == "stop" else order.created_at,
        )
        # Written even if nothing changes: otherwise an earlier change of unknown outcome could
        # still be executed after this answer
        key = ORDER_PREFIX + order_id
        revision, failed = await self.context.store.compare_and_swap(
            {key: order.version}, {key: changed.record()}, []
        )
        if failed:
            return Reply(503, {"error": "it has just been changed"}, RETRY_AFTER_S)
        log.info("maintenance order changed", order=order_id, state=changed.state)
        self.context.store_cache.apply_own_write(key, changed.record(), revision)
        self.on_store_changed()
        return Reply(200, {"id": order_id, **changed.record()})

    # -- listing and previewing ----------------------------------------------------------------

    async def _controller_reports(self, selection: Selection) -> dict[str, Report]:
        """Return, by controller name, the reports of all controllers that have one."""
        answer = await self.status_report.answer(selection)
        return {
            name: controller["view"]
            for name, controller in answer["controllers"].items()
            if controller["view"]
        }

    async def _list(self) -> Reply:
        """Answer GET /upkeep with all orders, their progress, and why evictions wait."""
        reports = await self._controller_reports({})
        progress: dict[str, Any] = {}
        denial_counts: dict[str, int] = {}
        for report in reports.values():
            progress.update(report.get("orders") or {})
            for reason, count in (report.get("asked") or {}).items():
                denial_counts[reason] = denial_counts.get(reason, 0) + count
        shown = [
            {"id": order.id, **order.record(), **progress.get(order.id, {})}
            for order in self._all_orders()
        ]
        return Reply(200, {"orders": shown, "stops_that_wait": denial_counts})

    async def _preview(self, body: dict[str, Any]) -> Reply:
        """Return what an order would drain, and the least rounds by the disruption budgets."""
        fields = {key: value for key, value in body.items() if key not in ("id", "state")}
        order = orders.parse_order(PREVIEW_ID, fields)
        reports = await self._controller_reports({"would": orjson.dumps(order.record()).decode()})
        machine_count = 0
        teams: dict[str, dict[str, int]] = {}
        for report in reports.values():
            preview = report.get("would") or {}
            machine_count += preview.get("machines", 0)
            _add_task_counts(teams, preview.get("teams") or {})
        return Reply(
            200,
            {
                "machines": machine_count,
                "teams": teams,
                "rounds_at_least": self._min_rounds(order, machine_count, teams),
                "not_asked": sorted(set(self.context.shard_map.controllers) - reports.keys()),
            },
        )

    def _min_rounds(
        self, order: MaintenanceOrder, machine_count: int, teams: dict[str, dict[str, int]]
    ) -> int:
        """Return the least number of rounds that draining takes.

        It follows from the order's limit of concurrent machines and from each team's budget.
        """
        rounds = _ceil_div(machine_count, order.max_concurrent)
        for team, kinds in teams.items():
            max_unavailable = max(1, self.budgets.for_job(team, "", "").team_max_unavailable)
            rounds = max(rounds, _ceil_div(kinds.get("service", 0), max_unavailable))
        return rounds


def _decode_body(request: Request) -> dict[str, Any]:
    """Return the JSON object in a request; raises `InvalidOrderError` if the body is not one."""
    try:
        body = orjson.loads(request.body)
    except orjson.JSONDecodeError as error:
        raise InvalidOrderError(problem="not JSON") from error
    if not isinstance(body, dict):
        raise InvalidOrderError(problem="not an object")
    return body


def _state_unknown() -> Reply:
    """Return the reply when the state of the orders is not known here at the moment."""
    return Reply(503, {"error": "state unknown"}, RETRY_AFTER_S)


def _reply_known(known: MaintenanceOrder, order: MaintenanceOrder) -> Reply:
    """Return the reply to an order with a stored id: 200 for the same order, else 409."""
    stored = replace(known, created_at=0.0, state=order.state, version=0)
    if stored != replace(order, created_at=0.0):
        return Reply(409, {"error": "another order has this id"})
    return Reply(200, {"id": known.id, **known.record()})


def _log_created(order: MaintenanceOrder) -> None:
    """Log a new order with its non-empty fields."""
    fields = {key: value for key, value in order.record().items() if value not in (None, "")}
    log.info("maintenance order created", order=order.id, **fields)


def _add_task_counts(teams: dict[str, dict[str, int]], added: dict[str, dict[str, int]]) -> None:
    """Add one controller's task counts to `teams`, by team and kind of job."""
    for team, kinds in added.items():
        counts = teams.setdefault(team, {})
        for kind, count in kinds.items():
            counts[kind] = counts.get(kind, 0) + count


def _ceil_div(dividend: int, divisor: int) -> int:
    """Return the quotient rounded up."""
    return -(-dividend // divisor)
