"""The state service: a key-value store with transactions, leases, watches and limits."""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

from .wire import Answer, Request

KEPT_CHANGES = 10_000
MAX_ITEMS = 1_000
MAX_PAGE_BYTES = 512 * 1024
MAX_TRANSACTION_BYTES = 64 * 1024


@dataclass
class Limits:
    """The limits of the service, as in `deployment.state` of the settings."""

    rps: float = 120.0
    write_rps: float = 25.0
    value_kb: float = 4.0
    txn_ops: int = 8


@dataclass
class Entry:
    """The value, the revision and the lease of one key."""

    value: Any
    revision: int
    lease: int | None


class Bucket:
    """A rate limit that allows a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate = self.tokens = rate
        self.at = time.monotonic()

    def take(self, count: float) -> bool:
        """Take tokens; return False if there are not enough."""
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if count > self.tokens:
            return False
        self.tokens -= count
        return True


class StateService:
    """The state service; `handle` answers the controllers."""

    def __init__(self, limits: Limits) -> None:
        self.set_limits(limits)
        self.keys: dict[str, Entry] = {}
        self.revision = 1
        self.changes: deque[tuple[int, str, Any]] = deque(maxlen=KEPT_CHANGES)
        self.leases: dict[int, tuple[float, float]] = {}  # time to live and end, by lease
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.delay_s = 0.003
        self.statuses: dict[int, int] = {}  # answers to transactions, by status
        self.too_large = 0  # transactions refused with 400 for their size

    def set_limits(self, limits: Limits) -> None:
        """Replace the limits from now on; what is stored stays readable."""
        self.limits = limits
        self.requests = Bucket(limits.rps)
        self.writes = Bucket(limits.write_rps)

    async def handle(self, request: Request) -> Answer:
        """Answer a controller's request."""
        await asyncio.sleep(self.delay_s)
        if not self.requests.take(1):
            return Answer(429, {"error": "rate"})
        self.expire()
        return await self._route(request)

    def expire(self) -> None:
        """Delete the keys of ended leases."""
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        gone = [key for key, entry in self.keys.items() if entry.lease == lease]
        if gone:
            self.revision += 1
        for key in gone:
            del self.keys[key]
            self.changes.append((self.revision, key, None))
        if gone:
            self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _route(self, request: Request) -> Answer:
        path = request.path
        if path == "/multi":
            answer = self._transaction(request)
            self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
            return answer
        if path == "/kv":
            return self._page(request)
        if path.startswith("/kv/"):
            entry = self.keys.get(path[4:])
            if entry is None:
                return Answer(404, {"moult": self.revision})
            return Answer(200, _item(path[4:], entry))
        if path == "/watch":
            return await self._watch(request)
        if path == "/grants":
            lease = self.next_lease
            self.next_lease += 1
            ttl = request.body["lifeMs"] / 1000
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return Answer(200, {"tether": lease})
        return self._lease(request)

    def _lease(self, request: Request) -> Answer:
        lease = int(request.path.split("/")[2])
        if lease not in self.leases:
            return Answer(404, {"error": "no such lease"})
        if request.method == "DELETE":
            self._end_lease(lease)
            return Answer(200, {})
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl)
        return Answer(200, {"tether": lease})

    def _transaction(self, request: Request) -> Answer:
        body = request.body
        operations = body.get("apply") or []
        guards = body.get("guards") or []
        limits = self.limits
        too_large = (
            len(operations) > limits.txn_ops
            or len(guards) > 4 * limits.txn_ops
            or len(request.raw) > MAX_TRANSACTION_BYTES
            or any(
                len(json.dumps(operation["v"], separators=(",", ":"))) > limits.value_kb * 1024
                for operation in operations
                if "put" in operation
            )
        )
        if too_large:
            self.too_large += 1
            return Answer(400, {"error": "too large"})
        if operations and not self.writes.take(len(operations)):
            return Answer(429, {"error": "rate"})
        for operation in operations:
            if operation.get("tether") is not None and operation["tether"] not in self.leases:
                return Answer(400, {"error": "no such lease"})
        failed = [
            guard["path"]
            for guard in guards
            if (entry.revision if (entry := self.keys.get(guard["path"])) else 0)
            != guard["feather"]
        ]
        if failed:
            return Answer(409, {"failed": failed, "moult": self.revision})
        self._apply(operations)
        return Answer(200, {"moult": self.revision})

    def _apply(self, operations: list[dict[str, Any]]) -> None:
        if not operations:
            return
        self.revision += 1
        for operation in operations:
            if "put" in operation:
                key = operation["put"]
                self.keys[key] = Entry(operation["v"], self.revision, operation.get("tether"))
                self.changes.append((self.revision, key, operation["v"]))
            elif self.keys.pop(operation["delete"], None) is not None:
                self.changes.append((self.revision, operation["delete"], None))
        self._wake()

    def _page(self, request: Request) -> Answer:
        prefix, after = request.query["starts"], request.query.get("from", "")
        limit = min(MAX_ITEMS, int(request.query.get("limit", MAX_ITEMS)))
        items: list[dict[str, Any]] = []
        size = 0
        more = False
        for key in sorted(key for key in self.keys if key.startswith(prefix) and key > after):
            item = _item(key, self.keys[key])
            size += len(json.dumps(item))
            if len(items) >= limit or size > MAX_PAGE_BYTES:
                more = True
                break
            items.append(item)
        return Answer(200, {"items": items, "hasNext": more, "moult": self.revision})

    async def _watch(self, request: Request) -> Answer:
        prefix, since = request.query["starts"], int(request.query["from"])
        end = time.monotonic() + int(request.query.get("holdMs", "0")) / 1000
        if len(self.changes) == KEPT_CHANGES and self.changes[0][0] > since + 1:
            return Answer(410, {"error": "too old"})
        while True:
            news = [
                {"put": key, "v": value, "feather": revision}
                if value is not None
                else {"delete": key, "feather": revision}
                for revision, key, value in self.changes
                if revision > since and key.startswith(prefix)
            ]
            if news or time.monotonic() >= end:
                return Answer(200, {"moult": self.revision, "news": news})
            wait_s = min(0.2, max(0.001, end - time.monotonic()))
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except TimeoutError:
                self.expire()


def _item(key: str, entry: Entry) -> dict[str, Any]:
    """Return a key as it is listed."""
    item = {"path": key, "v": entry.value, "feather": entry.revision}
    return {**item, "tether": entry.lease} if entry.lease is not None else item
