"""The state service's words, with this node's share of its limits."""

from __future__ import annotations

import contextlib
import math
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote

import anyio

from ploverhall import log
from ploverhall.transport.http import Caller, Unreachable

ODD_EVERY_S = 10.0  # answers in no published form are worth a line so often at most


class Unknown(Exception):
    """A request whose outcome is not known: no answer, one with a status of no list, or one in no published form.

    A write may have been executed, or may be executed later; a read says nothing of what is there.
    """


class Refused(Exception):
    """The state service did not execute the request (outage, or over its limits): only its 503 and 429 say so."""


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

    async def take(
        self, n: float, urgent: bool = False, reserve: float = 0.0, patience: float = math.inf
    ) -> None:
        """Take n unless urgent in turn: else small takers, for whom there is always enough, kept larger ones waiting for ever.

        With a reserve it waits aside until so much more is left, and lets everybody else go first, as long as its patience lasts.
        """
        until = self.clock() + patience
        while reserve and (
            (w := self.wait(n + reserve)) > 0 or self.line.statistics().tasks_waiting
        ):
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

    def __init__(
        self,
        caller: Caller,
        rps: float,
        write_rps: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.caller, self.clock = caller, clock
        self.requests = Budget(rps, clock)
        self.writes = Budget(write_rps, clock)
        self.last_ok = 0.0
        self.odd, self.odd_at = (
            0,
            -math.inf,
        )  # answers in no published form since the last line about them, and when that was

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout: float = 2.0,
        urgent: bool = False,
        hold: float = 0.0,
    ) -> tuple[int, Any]:
        await self.requests.take(1, urgent)
        try:
            status, out = await self.caller.call(method, target, body, timeout, hold)
        except Unreachable as e:
            raise Unknown(str(e)) from e
        if status in (429, 503):
            raise Refused(f"{method} {target}: {status}")
        return status, out

    @contextlib.contextmanager
    def _form(self, what: str, status: int, out: Any) -> Iterator[None]:
        """Take an answer apart: whatever is not in the published form says nothing, neither "landed" nor "not executed"."""
        try:
            yield
        except (TypeError, KeyError, ValueError) as e:
            self.odd += 1
            now = self.clock()
            if now - self.odd_at > ODD_EVERY_S:
                log.warn(
                    "state service: odd answer",
                    request=what[:80],
                    status=status,
                    answer=repr(out)[:120],
                    times=self.odd,
                )
                self.odd, self.odd_at = 0, now
            raise Unknown(f"{what}: {status}, {e!r}") from e
        self.last_ok = self.clock()

    async def get(self, key: str) -> tuple[Any, int]:
        """Value and version; (None, 0) when there is none: only 404 says so."""
        status, out = await self._call("GET", f"/kv/{quote(key, safe='/')}")
        with self._form(f"get {key}", status, out):
            if status == 404:
                return None, 0
            _expect(status, 200)
            return out["v"], _count(out["feather"])

    async def read(self, prefix: str) -> tuple[dict[str, tuple[Any, int]], int]:
        """All keys with a prefix, and the revision of the first page."""
        found: dict[str, tuple[Any, int]] = {}
        after, first = "", -1
        while True:
            target = f"/kv?starts={quote(prefix, safe='/')}&limit=1000" + (
                f"&from={quote(after, safe='/')}" if after else ""
            )
            status, out = await self._call("GET", target, timeout=5.0)
            with self._form(f"list {prefix}", status, out):
                _expect(status, 200)
                for item in out["items"]:
                    found[_key(item["path"])] = (item["v"], _count(item["feather"]))
                    after = item["path"]
                if first < 0:
                    first = _count(out["moult"])
                if not out.get("hasNext"):
                    return found, first
                if not out["items"]:
                    raise ValueError("more to come, and nothing listed")

    async def txn(
        self,
        guards: dict[str, int],
        puts: dict[str, Any],
        deletes: list[str],
        lease: int | None = None,
        leased: frozenset[str] = frozenset(),
        urgent: bool = False,
        reserve: float = 0.0,
        patience: float = math.inf,
    ) -> tuple[int, list[str]]:
        """(new revision, []) when it landed, (0, failed keys) when a guard did not hold.

        Refused: surely not executed, now or later. Unknown: anything else, an answer of another status included (a gateway's 502
        or 504 says nothing of what the service has done).
        """
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
        with self._form(f"multi {', '.join([*puts, *deletes])}", status, out):
            if status == 409:
                return 0, [_key(k) for k in out["failed"]] or ["?"]
            if status == 400 and isinstance(out, dict) and "lease" in str(out.get("error")):
                return 0, ["no such lease"]
            _expect(status, 200)
            return _count(out["moult"]), []

    async def watch(
        self, prefix: str, since: int, hold_ms: int, urgent: bool = False
    ) -> tuple[int, list[Event]] | None:
        """Changes after a revision; None when that is too old and the keys must be read again."""
        target = f"/watch?starts={quote(prefix, safe='/')}&from={since}&holdMs={hold_ms}"
        status, out = await self._call("GET", target, urgent=urgent, hold=hold_ms / 1000)
        with self._form(f"watch {prefix}", status, out):
            if status == 410:
                return None
            _expect(status, 200)
            return _count(out["moult"]), [
                Event(_key(e["put"]), e["v"], _count(e["feather"]))
                if "put" in e
                else Event(_key(e["delete"]), None, _count(e["feather"]))
                for e in out["news"]
            ]

    async def grant(self, ttl_s: float) -> int:
        """A new lease."""
        status, out = await self._call(
            "POST", "/grants", {"lifeMs": int(ttl_s * 1000)}, urgent=True
        )
        with self._form("grants", status, out):
            _expect(status, 200)
            return _count(out["tether"])

    async def renew(self, lease: int) -> bool:
        """False when the lease has ended: only 404 says so."""
        status, out = await self._call(
            "POST", f"/grants/{lease}/extend", {}, timeout=1.0, urgent=True
        )
        with self._form(f"extend {lease}", status, out):
            if status == 404:
                return False
            _expect(status, 200)
            return True


def _expect(status: int, wanted: int) -> None:
    if status != wanted:
        raise ValueError(f"status {status}")


def _count(value: Any) -> int:
    """A version, revision or lease."""
    if type(value) is not int or value < 0:
        raise TypeError(f"not a count: {value!r}"[:60])
    return value


def _key(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a key: {value!r}"[:60])
    return value
