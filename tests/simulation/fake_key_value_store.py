"""A fake key-value store with the published protocol: transactions, pages, watches and leases."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import anyio
import orjson

from ploverhall.protocol.key_value_store import KeyValueStore
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply

from .model_store import ModelStore

PAGE_ITEMS = 2  # small, so that reads need several pages
WATCH_POLL_S = 0.01
OUTAGE_POLL_S = 0.1


class FakeKeyValueStore:
    """The store, with outages, and with leases whose keys are deleted when they expire."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.store = ModelStore()
        self.leases: dict[int, tuple[float, float]] = {}  # time to live and expiry, by lease
        self.lease_of: dict[str, int] = {}  # by key
        self.down = False
        self.down_until = 0.0

    def end_outage(self) -> None:
        """End an outage: each lease is renewed for its full time to live."""
        if self.down:
            self.down = False
            now = self.clock()
            self.leases = {lease: (ttl, now + ttl) for lease, (ttl, _) in self.leases.items()}

    def expire(self) -> None:
        """Delete the keys of the leases that have expired."""
        now = self.clock()
        for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
            del self.leases[lease]
            gone = [key for key, tied_to in self.lease_of.items() if tied_to == lease]
            if gone:
                self.store.txn({}, {}, gone)
            for key in gone:
                del self.lease_of[key]

    async def handle(self, request: Request) -> Reply:
        """Answer a controller's request."""
        if self.down:
            return Reply(503, {"error": "trouble"})
        self.expire()
        path = request.path
        if path == "/multi":
            return self._transaction(orjson.loads(request.body))
        if path == "/kv":
            return self._page(request)
        if path.startswith("/kv/") and path[4:] in self.store.kv:
            value, version = self.store.kv[path[4:]]
            return Reply(200, {"path": path[4:], "v": value, "feather": version})
        if path == "/watch":
            return await self._watch(request)
        if path == "/grants":
            return self._grant_lease(orjson.loads(request.body))
        if path.startswith("/grants/"):
            return self._renew_lease(int(path.split("/")[2]))
        return Reply(404, {"moult": self.store.rev})

    def _transaction(self, body: dict[str, Any]) -> Reply:
        operations = body.get("apply", ())
        puts = {o["put"]: o["v"] for o in operations if "put" in o}
        deletes = [o["delete"] for o in operations if "delete" in o]
        for operation in operations:
            lease = operation.get("tether")
            if lease is not None and lease not in self.leases:
                return Reply(400, {"error": "no such lease"})
        compared = {guard["path"]: guard["feather"] for guard in body["guards"]}
        revision, failed = self.store.txn(compared, puts, deletes)
        if failed:
            return Reply(409, {"failed": failed, "moult": self.store.rev})
        for operation in operations:
            if "put" in operation:
                self.lease_of.pop(operation["put"], None)
                if operation.get("tether") is not None:
                    self.lease_of[operation["put"]] = operation["tether"]
        return Reply(200, {"moult": revision})

    def _page(self, request: Request) -> Reply:
        after = request.query.get("from", "")
        items = [
            {"path": key, "v": value, "feather": version}
            for key, (value, version) in self.store.read(request.query["starts"]).items()
            if key > after
        ]
        return Reply(
            200,
            {
                "items": items[:PAGE_ITEMS],
                "hasNext": len(items) > PAGE_ITEMS,
                "moult": self.store.rev,
            },
        )

    async def _watch(self, request: Request) -> Reply:
        """Wait for changes of keys with a prefix, at most for the time that the request gives."""
        since, prefix = int(request.query["from"]), request.query["starts"]
        until = self.clock() + int(request.query.get("holdMs", 0)) / 1000
        while True:
            changes = [
                event
                for event in self.store.log
                if event.version > since and event.key.startswith(prefix)
            ]
            if changes or self.clock() >= until:
                break
            await anyio.sleep(WATCH_POLL_S)
            while self.down:  # an open watch stays open, and no lease expires
                await anyio.sleep(OUTAGE_POLL_S)
            self.expire()
        news = [
            {"put": event.key, "v": event.value, "feather": event.version}
            if event.value is not None
            else {"delete": event.key, "feather": event.version}
            for event in changes
        ]
        return Reply(200, {"moult": self.store.rev, "news": news})

    def _grant_lease(self, body: dict[str, Any]) -> Reply:
        ttl = body["lifeMs"] / 1000
        lease = len(self.leases) + 1 + self.store.rev * 100
        self.leases[lease] = (ttl, self.clock() + ttl)
        return Reply(200, {"tether": lease})

    def _renew_lease(self, lease: int) -> Reply:
        if lease not in self.leases:
            return Reply(404, {})
        ttl, _ = self.leases[lease]
        self.leases[lease] = (ttl, self.clock() + ttl)
        return Reply(200, {})


def unguarded(*prefixes: str) -> tuple[type, str, Any]:
    """Return arguments for monkeypatch.setattr that stop writes from comparing such keys."""
    real = KeyValueStore.compare_and_swap

    async def compare_and_swap(
        self: KeyValueStore, compare: dict[str, int], *args: Any, **kwargs: Any
    ) -> Any:
        left = {key: version for key, version in compare.items() if not key.startswith(prefixes)}
        return await real(self, left, *args, **kwargs)

    return KeyValueStore, "compare_and_swap", compare_and_swap
