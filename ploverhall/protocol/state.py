"""The state service's words, with this node's share of its limits."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote

import anyio

from ploverhall.transport.http import Caller, Unreachable


class Unknown(Exception):
    """A request whose outcome is not known."""


class Refused(Exception):
    """The state service did not execute the request (outage, or over its limits)."""


@dataclass(slots=True)
class Budget:
    """A token bucket. Urgent takers may go below zero, so leases never wait behind ordinary traffic."""

    rate: float
    clock: Callable[[], float] = time.monotonic
    level: float = 0.0
    at: float = 0.0
    line: anyio.Lock = field(default_factory=anyio.Lock)
    taken: float = 0.0  # since counted
    counted: float = 0.0
    usual: float = 0.0
    burst: float = 0.0  # at most so much at once, whatever the rate is by now

    def __post_init__(self) -> None:
        self.level = self.burst = self.rate
        self.at = self.counted = self.clock()

    def _fill(self) -> None:
        now = self.clock()
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now

    def wait(self, n: float) -> float:
        """Seconds until n may be taken."""
        self._fill()
        return max(0.0, (min(n, self.burst) - self.level) / self.rate)

    def free(self) -> float:
        """What may be taken at once."""
        self._fill()
        return self.level

    async def take(self, n: float, urgent: bool = False, reserve: float = 0.0, patience: float = math.inf) -> None:
        """Take n unless urgent in turn: else small takers, for whom there is always enough, kept larger ones waiting for ever.

        With a reserve it waits aside until so much more is left, and lets everybody else go first, as long as its patience lasts.
        """
        until = self.clock() + patience
        while reserve and ((w := self.wait(n + reserve)) > 0 or self.line.statistics().tasks_waiting):
            if (left := until - self.clock()) <= 0:
                reserve = 0.0
                break
            await anyio.sleep(min(w + 0.02, left))
        if not reserve and not urgent:
            async with self.line:
                while (w := self.wait(n)) > 0:
                    await anyio.sleep(w + 0.001)
        self.spend(n)

    def spend(self, n: float) -> None:
        """Take n now, whatever is left."""
        self._fill()
        self.level -= n
        self.taken += n

    def used(self) -> float:
        """What was taken a second, lately."""
        now = self.clock()
        if (passed := now - self.counted) >= 0.5:
            self.usual += (self.taken / passed - self.usual) * min(1.0, passed / 2.0)
            self.taken, self.counted = 0.0, now
        return self.usual


@dataclass(slots=True)
class Event:
    """One change: value None means deleted."""

    key: str
    value: Any
    version: int


class Store:
    """Typed calls to the state service."""

    def __init__(self, caller: Caller, rps: float, write_rps: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.caller, self.clock = caller, clock
        self.requests = Budget(rps, clock)
        self.writes = Budget(write_rps, clock)
        self.last_ok = 0.0

    async def _call(self, method: str, target: str, body: Any = None, timeout: float = 2.0, urgent: bool = False,
                    hold: float = 0.0) -> tuple[int, Any]:
        await self.requests.take(1, urgent)
        try:
            status, out = await self.caller.call(method, target, body, timeout, hold)
        except Unreachable as e:
            raise Unknown(str(e)) from e
        if status in (429, 503):
            raise Refused(f"{method} {target}: {status}")
        self.last_ok = self.clock()
        return status, out

    async def get(self, key: str) -> tuple[Any, int]:
        """Value and version; (None, 0) when there is none."""
        status, out = await self._call("GET", f"/kv/{quote(key, safe='/')}")
        return (out["v"], out["feather"]) if status == 200 else (None, 0)

    async def read(self, prefix: str) -> tuple[dict[str, tuple[Any, int]], int]:
        """All keys with a prefix, and the revision of the first page."""
        found: dict[str, tuple[Any, int]] = {}
        after, first = "", -1
        while True:
            target = f"/kv?starts={quote(prefix, safe='/')}&limit=1000" + (f"&from={quote(after, safe='/')}" if after else "")
            status, out = await self._call("GET", target, timeout=5.0)
            if status != 200:
                raise Refused(f"list {prefix}: {status}")
            for item in out["items"]:
                found[item["path"]] = (item["v"], item["feather"])
                after = item["path"]
            if first < 0:
                first = out["moult"]
            if not out.get("hasNext"):
                return found, first

    async def txn(self, guards: dict[str, int], puts: dict[str, Any], deletes: list[str], lease: int | None = None,
                  leased: frozenset[str] = frozenset(), urgent: bool = False, reserve: float = 0.0,
                  patience: float = math.inf) -> tuple[int, list[str]]:
        """(new revision, []) when it landed, (0, failed keys) when a guard did not hold."""
        apply: list[dict[str, Any]] = []
        for key, value in puts.items():
            op = {"put": key, "v": value}
            if key in leased:
                op["tether"] = lease
            apply.append(op)
        apply += [{"delete": k} for k in deletes]
        body = {"guards": [{"path": k, "feather": v} for k, v in guards.items()], "apply": apply}
        await self.writes.take(len(apply), urgent, reserve, patience)
        status, out = await self._call("POST", "/multi", body, urgent=urgent)
        if status == 200:
            return out["moult"], []
        if status == 409:
            return 0, list(out["failed"]) or ["?"]
        if status == 400 and isinstance(out, dict) and "lease" in str(out.get("error")):
            return 0, ["no such lease"]
        raise Refused(f"multi: {status} {out}")

    async def watch(self, prefix: str, since: int, hold_ms: int, urgent: bool = False) -> tuple[int, list[Event]] | None:
        """Changes after a revision; None when that is too old and the keys must be read again."""
        target = f"/watch?starts={quote(prefix, safe='/')}&from={since}&holdMs={hold_ms}"
        status, out = await self._call("GET", target, urgent=urgent, hold=hold_ms / 1000)
        if status == 410:
            return None
        if status != 200:
            raise Refused(f"watch: {status}")
        return out["moult"], [
            Event(e["put"], e["v"], e["feather"]) if "put" in e else Event(e["delete"], None, e["feather"]) for e in out["news"]
        ]

    async def grant(self, ttl_s: float) -> int:
        """A new lease."""
        status, out = await self._call("POST", "/grants", {"lifeMs": int(ttl_s * 1000)}, urgent=True)
        if status != 200:
            raise Refused(f"grants: {status}")
        return int(out["tether"])

    async def renew(self, lease: int) -> bool:
        """False when the lease has ended."""
        status, _ = await self._call("POST", f"/grants/{lease}/extend", {}, timeout=1.0, urgent=True)
        return status == 200
