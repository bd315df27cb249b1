"""Operators' orders over HTTP, at any controller: placed, changed, shown. They live in the state service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import orjson

from ploverhall import log
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.status_report import StatusReport
from ploverhall.controller.store_watch import StoreWatch
from ploverhall.errors import InvalidOrderError, OutcomeUnknownError, RequestRefusedError
from ploverhall.maintenance import orders
from ploverhall.maintenance.disruption_budget import DisruptionBudgets
from ploverhall.maintenance.orders import ORDER_PREFIX, STATE_BY_VERB, MaintenanceOrder
from ploverhall.storage.store_cache import CONTROLLER_PREFIX
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply


class MaintenanceRequests:
    """What an operator asks."""

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
        """GET /upkeep; POST /upkeep (an order), /upkeep/try (what it would be about), /upkeep/ID/pause, resume, stop."""
        path = [part for part in request.path.split("/") if part][1:]
        if request.method == "GET" and not path:
            return await self._list()
        if request.method != "POST" or len(path) > 2:
            return Reply(405, {"error": "method"})
        try:
            if not path or path == ["try"]:
                try:
                    body = orjson.loads(request.body)
                except orjson.JSONDecodeError as error:
                    raise InvalidOrderError(problem="not JSON") from error
                if not isinstance(body, dict):
                    raise InvalidOrderError(problem="not an object")
                return await (self._preview(body) if path else self._create(body))
            return await self._change(path[0], path[1] if len(path) > 1 else "")
        except InvalidOrderError as error:
            return Reply(400, {"error": str(error)})
        except (RequestRefusedError, OutcomeUnknownError):
            return Reply(
                503, {"error": "not stored: ask again, the same order is placed once"}, 1.0
            )

    def _all_orders(self) -> list[MaintenanceOrder]:
        return orders.orders_in(self.context.store_cache.entries)

    async def _create(self, body: dict[str, Any]) -> Reply:
        order = replace(
            orders.parse_order(
                body.get("id"),
                {entry_key: value for entry_key, value in body.items() if entry_key != "state"},
            ),
            created_at=self.context.wall_clock(),
        )
        if not self.context.store_cache.ready or not await self.store_watch.is_current():
            return Reply(503, {"error": "state unknown"}, 1.0)
        known = next(
            (
                maintenance_order
                for maintenance_order in self._all_orders()
                if maintenance_order.id == order.id
            ),
            None,
        )
        if known is not None:
            same = replace(known, created_at=0.0, state=order.state, version=0) == replace(
                order, created_at=0.0
            )
            return (
                Reply(200, {"id": known.id, **known.record()})
                if same
                else Reply(409, {"error": "another order has this id"})
            )
        if older := self._controllers_without_support():
            return Reply(
                409,
                {"error": f"{', '.join(older)} can't carry out orders: a release before this one"},
            )
        if (
            sum(1 for maintenance_order in self._all_orders() if not maintenance_order.finished)
            >= orders.MAX_ACTIVE_ORDERS
        ):
            return Reply(429, {"error": f"{orders.MAX_ACTIVE_ORDERS} orders are not over"}, 30.0)
        if len(orjson.dumps(order.record())) > self.context.settings.max_value_bytes - 64:
            return Reply(400, {"error": "too long to be kept: fewer machines in one order"})
        key = ORDER_PREFIX + order.id
        revision, failed = await self.context.store.compare_and_swap(
            {key: 0}, {key: order.record()}, []
        )
        if failed:
            return Reply(503, {"error": "state unknown"}, 1.0)
        log.info(
            "maintenance order created",
            order=order.id,
            **{
                entry_key: value
                for entry_key, value in order.record().items()
                if value not in (None, "")
            },
        )
        self.context.store_cache.apply_own_write(key, order.record(), revision)
        self.on_store_changed()
        return Reply(201, {"id": order.id, **order.record()})

    def _controllers_without_support(self) -> list[str]:
        """Members that don't know orders: their owners and sources would not keep to the budgets."""
        out = []
        for name in self.context.shard_map.controllers:
            value, _ = self.context.store_cache.entries.get(CONTROLLER_PREFIX + name, (None, 0))
            can = value.get("can") if isinstance(value, dict) else None
            if value is not None and not (
                isinstance(can, list) and orders.FEATURE_MAINTENANCE in can
            ):
                out.append(name)
        return out

    async def _change(self, order_id: str, verb: str) -> Reply:
        if verb not in STATE_BY_VERB:
            return Reply(404, {"error": "pause, resume or stop"})
        if not await self.store_watch.is_current():
            return Reply(503, {"error": "state unknown"}, 1.0)
        order = next(
            (
                maintenance_order
                for maintenance_order in self._all_orders()
                if maintenance_order.id == order_id
            ),
            None,
        )
        if order is None:
            return Reply(404, {"error": "no such order"})
        if order.finished:
            same = order.state == STATE_BY_VERB[verb]
            return (
                Reply(200, {"id": order_id, **order.record()})
                if same
                else Reply(409, {"error": f"it is {order.state}"})
            )
        # written where nothing changes, too: a change asked for before, of unknown outcome, could land after this answer
        changed = replace(
            order,
            state=STATE_BY_VERB[verb],
            created_at=self.context.wall_clock() if verb == "stop" else order.created_at,
        )
        key = ORDER_PREFIX + order_id
        revision, failed = await self.context.store.compare_and_swap(
            {key: order.version}, {key: changed.record()}, []
        )
        if failed:
            return Reply(503, {"error": "it has just been changed"}, 1.0)
        log.info("maintenance order changed", order=order_id, state=changed.state)
        self.context.store_cache.apply_own_write(key, changed.record(), revision)
        self.on_store_changed()
        return Reply(200, {"id": order_id, **changed.record()})

    async def _controller_reports(self, selection: dict[str, str]) -> dict[str, Any]:
        answer = await self.status_report.answer(selection)
        return {name: c["view"] for name, c in answer["controllers"].items() if c["view"]}

    async def _list(self) -> Reply:
        views = await self._controller_reports({})
        how_far: dict[str, Any] = {}
        asked: dict[str, int] = {}
        for value in views.values():
            how_far.update(value.get("orders") or {})
            for why, n in (value.get("asked") or {}).items():
                asked[why] = asked.get(why, 0) + n
        shown = [
            {"id": order.id, **order.record(), **how_far.get(order.id, {})}
            for order in self._all_orders()
        ]
        return Reply(200, {"orders": shown, "stops_that_wait": asked})

    async def _preview(self, body: dict[str, Any]) -> Reply:
        """What would be emptied and stopped, and at least how long that takes by the budgets."""
        order = orders.parse_order(
            "u-0", {key: value for key, value in body.items() if key not in ("id", "state")}
        )
        views = await self._controller_reports({"would": orjson.dumps(order.record()).decode()})
        machines, teams = 0, dict[str, dict[str, int]]()
        for value in views.values():
            would = value.get("would") or {}
            machines += would.get("machines", 0)
            for team, kinds in (would.get("teams") or {}).items():
                mine = teams.setdefault(team, {})
                for kind, n in kinds.items():
                    mine[kind] = mine.get(kind, 0) + n
        rounds = -(-machines // order.max_concurrent)
        for team, kinds in teams.items():
            rounds = max(
                rounds,
                -(
                    -kinds.get("service", 0)
                    // max(1, self.budgets.for_job(team, "", "").team_max_unavailable)
                ),
            )
        unheard = sorted(set(self.context.shard_map.controllers) - views.keys())
        return Reply(
            200,
            {"machines": machines, "teams": teams, "rounds_at_least": rounds, "not_asked": unheard},
        )
