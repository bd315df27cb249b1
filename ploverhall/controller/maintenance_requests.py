"""Operators' orders over HTTP, at any controller: placed, changed, shown. They live in the state service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import orjson

from ploverhall import log
from ploverhall.controller.context import Shared
from ploverhall.controller.status_report import Telling
from ploverhall.controller.store_watch import Following
from ploverhall.maintenance import orders
from ploverhall.maintenance.disruption_budget import Rules
from ploverhall.maintenance.orders import ORDER, VERBS, Malformed, Order
from ploverhall.protocol.key_value_store import Refused, Unknown
from ploverhall.storage.store_cache import NODE
from ploverhall.transport.http import Reply
from ploverhall.transport.http_parser import Request


class Upkeep:
    """What an operator asks."""

    def __init__(
        self, shared: Shared, following: Following, telling: Telling, news: Callable[[], None]
    ) -> None:
        self.shared, self.following, self.telling, self.news = shared, following, telling, news
        self.rules = Rules(shared.settings.options.budget)

    async def handle(self, q: Request) -> Reply:
        """GET /upkeep; POST /upkeep (an order), /upkeep/try (what it would be about), /upkeep/ID/pause, resume, stop."""
        path = [p for p in q.path.split("/") if p][1:]
        if q.method == "GET" and not path:
            return await self._show()
        if q.method != "POST" or len(path) > 2:
            return Reply(405, {"error": "method"})
        try:
            if not path or path == ["try"]:
                try:
                    body = orjson.loads(q.body)
                except orjson.JSONDecodeError as e:
                    raise Malformed("not JSON") from e
                if not isinstance(body, dict):
                    raise Malformed("not an object")
                return await (self._try(body) if path else self._place(body))
            return await self._change(path[0], path[1] if len(path) > 1 else "")
        except Malformed as e:
            return Reply(400, {"error": str(e)})
        except (Refused, Unknown):
            return Reply(
                503, {"error": "not stored: ask again, the same order is placed once"}, 1.0
            )

    def _known(self) -> list[Order]:
        return orders.all_of(self.shared.replica.keys)

    async def _place(self, body: dict[str, Any]) -> Reply:
        order = replace(
            orders.parse(body.get("id"), {k: v for k, v in body.items() if k != "state"}),
            at=self.shared.wall(),
        )
        if not self.shared.replica.ready or not await self.following.current():
            return Reply(503, {"error": "state unknown"}, 1.0)
        known = next((o for o in self._known() if o.id == order.id), None)
        if known is not None:
            same = replace(known, at=0.0, state=order.state, version=0) == replace(order, at=0.0)
            return (
                Reply(200, {"id": known.id, **known.record()})
                if same
                else Reply(409, {"error": "another order has this id"})
            )
        if older := self._older():
            return Reply(
                409,
                {"error": f"{', '.join(older)} can't carry out orders: a release before this one"},
            )
        if sum(1 for o in self._known() if not o.over) >= orders.MOST:
            return Reply(429, {"error": f"{orders.MOST} orders are not over"}, 30.0)
        if len(orjson.dumps(order.record())) > self.shared.settings.value_bytes - 64:
            return Reply(400, {"error": "too long to be kept: fewer machines in one order"})
        key = ORDER + order.id
        rev, failed = await self.shared.store.txn({key: 0}, {key: order.record()}, [])
        if failed:
            return Reply(503, {"error": "state unknown"}, 1.0)
        log.info(
            "order placed",
            order=order.id,
            **{k: v for k, v in order.record().items() if v not in (None, "")},
        )
        self.shared.replica.put_own(key, order.record(), rev)
        self.news()
        return Reply(201, {"id": order.id, **order.record()})

    def _older(self) -> list[str]:
        """Members that don't know orders: their owners and sources would not keep to the budgets."""
        out = []
        for name in self.shared.layout.nodes:
            value, _ = self.shared.replica.keys.get(NODE + name, (None, 0))
            can = value.get("can") if isinstance(value, dict) else None
            if value is not None and not (isinstance(can, list) and orders.CAN in can):
                out.append(name)
        return out

    async def _change(self, jid: str, verb: str) -> Reply:
        if verb not in VERBS:
            return Reply(404, {"error": "pause, resume or stop"})
        if not await self.following.current():
            return Reply(503, {"error": "state unknown"}, 1.0)
        order = next((o for o in self._known() if o.id == jid), None)
        if order is None:
            return Reply(404, {"error": "no such order"})
        if order.over:
            same = order.state == VERBS[verb]
            return (
                Reply(200, {"id": jid, **order.record()})
                if same
                else Reply(409, {"error": f"it is {order.state}"})
            )
        # written where nothing changes, too: a change asked for before, of unknown outcome, could land after this answer
        changed = replace(
            order, state=VERBS[verb], at=self.shared.wall() if verb == "stop" else order.at
        )
        key = ORDER + jid
        rev, failed = await self.shared.store.txn({key: order.version}, {key: changed.record()}, [])
        if failed:
            return Reply(503, {"error": "it has just been changed"}, 1.0)
        log.info("order changed", order=jid, state=changed.state)
        self.shared.replica.put_own(key, changed.record(), rev)
        self.news()
        return Reply(200, {"id": jid, **changed.record()})

    async def _views(self, chosen: dict[str, str]) -> dict[str, Any]:
        answer = await self.telling.answer(chosen)
        return {name: c["view"] for name, c in answer["controllers"].items() if c["view"]}

    async def _show(self) -> Reply:
        views = await self._views({})
        how_far: dict[str, Any] = {}
        asked: dict[str, int] = {}
        for v in views.values():
            how_far.update(v.get("orders") or {})
            for why, n in (v.get("asked") or {}).items():
                asked[why] = asked.get(why, 0) + n
        shown = [{"id": o.id, **o.record(), **how_far.get(o.id, {})} for o in self._known()]
        return Reply(200, {"orders": shown, "stops_that_wait": asked})

    async def _try(self, body: dict[str, Any]) -> Reply:
        """What would be emptied and stopped, and at least how long that takes by the budgets."""
        order = orders.parse("u-0", {k: v for k, v in body.items() if k not in ("id", "state")})
        views = await self._views({"would": orjson.dumps(order.record()).decode()})
        machines, teams = 0, dict[str, dict[str, int]]()
        for v in views.values():
            would = v.get("would") or {}
            machines += would.get("machines", 0)
            for team, kinds in (would.get("teams") or {}).items():
                mine = teams.setdefault(team, {})
                for kind, n in kinds.items():
                    mine[kind] = mine.get(kind, 0) + n
        rounds = -(-machines // order.at_once)
        for team, kinds in teams.items():
            rounds = max(
                rounds, -(-kinds.get("service", 0) // max(1, self.rules.of(team, "", "").team_down))
            )
        unheard = sorted(set(self.shared.layout.nodes) - views.keys())
        return Reply(
            200,
            {"machines": machines, "teams": teams, "rounds_at_least": rounds, "not_asked": unheard},
        )
