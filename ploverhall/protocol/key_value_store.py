"""The state service's words, with this node's share of its limits."""

from __future__ import annotations

import contextlib
import math
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from ploverhall import log
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError, UnreachableError
from ploverhall.protocol.rate_limiter import RateLimiter
from ploverhall.transport.http_client import Caller

# Answers in no published form are worth a line so often at most
INVALID_RESPONSE_LOG_INTERVAL_S = 10.0


@dataclass(slots=True)
class WatchEvent:
    """One change: value None means deleted."""

    key: str
    value: Any
    version: int


class KeyValueStore:
    """Typed calls to the state service."""

    def __init__(
        self,
        caller: Caller,
        rps: float,
        write_rps: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.caller = caller
        self.clock = clock
        self.requests = RateLimiter(rps, clock)
        self.writes = RateLimiter(write_rps, clock)
        self.last_answer_at = 0.0
        # Answers in no published form since the last line about them, and when that was
        self.invalid_responses = 0
        self.invalid_logged_at = -math.inf

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout: float = 2.0,
        urgent: bool = False,
        hold: float = 0.0,
    ) -> tuple[int, Any]:
        await self.requests.acquire(1, urgent)
        try:
            status, out = await self.caller.call(method, target, body, timeout, hold)
        except UnreachableError as error:
            raise OutcomeUnknownError(str(error)) from error
        if status in (429, 503):
            raise RequestRefusedError(f"{method} {target}: {status}")
        return status, out

    @contextlib.contextmanager
    def _expecting_valid_response(self, what: str, status: int, out: Any) -> Iterator[None]:
        """Take an answer apart: whatever is not in the published form says nothing, neither "landed" nor "not executed"."""
        try:
            yield
        except (TypeError, KeyError, ValueError) as error:
            self.invalid_responses += 1
            now = self.clock()
            if now - self.invalid_logged_at > INVALID_RESPONSE_LOG_INTERVAL_S:
                log.warn(
                    "key-value store: invalid response",
                    request=what[:80],
                    status=status,
                    response=repr(out)[:120],
                    times=self.invalid_responses,
                )
                self.invalid_responses = 0
                self.invalid_logged_at = now
            raise OutcomeUnknownError(f"{what}: {status}, {error!r}") from error
        self.last_answer_at = self.clock()

    async def get(self, key: str) -> tuple[Any, int]:
        """Value and version; (None, 0) when there is none: only 404 says so."""
        status, out = await self._call("GET", f"/kv/{quote(key, safe='/')}")
        with self._expecting_valid_response(f"get {key}", status, out):
            if status == 404:
                return None, 0
            _require_status(status, 200)
            return out["v"], _checked_count(out["feather"])

    async def list_prefix(self, prefix: str) -> tuple[dict[str, tuple[Any, int]], int]:
        """All keys with a prefix, and the revision of the first page."""
        found: dict[str, tuple[Any, int]] = {}
        after = ""
        first = -1
        while True:
            target = f"/kv?starts={quote(prefix, safe='/')}&limit=1000" + (
                f"&from={quote(after, safe='/')}" if after else ""
            )
            status, out = await self._call("GET", target, timeout=5.0)
            with self._expecting_valid_response(f"list {prefix}", status, out):
                _require_status(status, 200)
                for item in out["items"]:
                    found[_checked_key(item["path"])] = (item["v"], _checked_count(item["feather"]))
                    after = item["path"]
                if first < 0:
                    first = _checked_count(out["moult"])
                if not out.get("hasNext"):
                    return found, first
                if not out["items"]:
                    raise ValueError("more to come, and nothing listed")

    async def compare_and_swap(
        self,
        compare: dict[str, int],
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
            operation = {"put": key, "v": value}
            if key in leased:
                operation["tether"] = lease
            apply.append(operation)
        apply += [{"delete": entry_key} for entry_key in deletes]
        body = {
            "guards": [{"path": entry_key, "feather": item} for entry_key, item in compare.items()],
            "apply": apply,
        }
        await self.writes.acquire(len(apply), urgent, reserve, patience)
        status, out = await self._call("POST", "/multi", body, urgent=urgent)
        with self._expecting_valid_response(f"multi {', '.join([*puts, *deletes])}", status, out):
            if status == 409:
                return 0, [_checked_key(k) for k in out["failed"]] or ["?"]
            if status == 400 and isinstance(out, dict) and "lease" in str(out.get("error")):
                return 0, ["no such lease"]
            _require_status(status, 200)
            return _checked_count(out["moult"]), []

    async def watch(
        self, prefix: str, since: int, hold_ms: int, urgent: bool = False
    ) -> tuple[int, list[WatchEvent]] | None:
        """Changes after a revision; None when that is too old and the keys must be read again."""
        target = f"/watch?starts={quote(prefix, safe='/')}&from={since}&holdMs={hold_ms}"
        status, out = await self._call("GET", target, urgent=urgent, hold=hold_ms / 1000)
        with self._expecting_valid_response(f"watch {prefix}", status, out):
            if status == 410:
                return None
            _require_status(status, 200)
            return _checked_count(out["moult"]), [
                WatchEvent(_checked_key(e["put"]), e["v"], _checked_count(e["feather"]))
                if "put" in e
                else WatchEvent(_checked_key(e["delete"]), None, _checked_count(e["feather"]))
                for e in out["news"]
            ]

    async def grant_lease(self, ttl_s: float) -> int:
        """A new lease."""
        status, out = await self._call(
            "POST", "/grants", {"lifeMs": int(ttl_s * 1000)}, urgent=True
        )
        with self._expecting_valid_response("grants", status, out):
            _require_status(status, 200)
            return _checked_count(out["tether"])

    async def renew_lease(self, lease: int) -> bool:
        """False when the lease has ended: only 404 says so."""
        status, out = await self._call(
            "POST", f"/grants/{lease}/extend", {}, timeout=1.0, urgent=True
        )
        with self._expecting_valid_response(f"extend {lease}", status, out):
            if status == 404:
                return False
            _require_status(status, 200)
            return True


def _require_status(status: int, expected: int) -> None:
    if status != expected:
        raise ValueError(f"status {status}")


def _checked_count(value: Any) -> int:
    """A version, revision or lease."""
    if type(value) is not int or value < 0:
        raise TypeError(f"not a count: {value!r}"[:60])
    return value


def _checked_key(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a key: {value!r}"[:60])
    return value
