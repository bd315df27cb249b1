"""Client of the consensus-backed key-value store, limited to this controller's share of its rates.

Defines the published names of the store's interface. `controller.store_watch` and
`controller.controller_lease` use it for reads, watches and leases, and the controller's writers use
it for writes.
"""

from __future__ import annotations

import contextlib
import math
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from ploverhall import log
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError, UnreachableError
from ploverhall.protocol.rate_limiter import RateLimiter
from ploverhall.transport.http_client import Caller

INVALID_RESPONSE_LOG_INTERVAL_S = 10.0  # minimum interval between log lines about invalid responses

# Timeouts of requests; the one of renewals is short, so that they are repeated well within the
# duration of a lease
REQUEST_TIMEOUT_S = 2.0
LIST_TIMEOUT_S = 5.0
RENEWAL_TIMEOUT_S = 1.0
PAGE_SIZE = 1000  # keys on one page of a list

# Published field names
KEY_FIELD = "path"
VALUE_FIELD = "v"
VERSION_FIELD = "feather"
REVISION_FIELD = "moult"
LEASE_FIELD = "tether"
LEASE_TIME_FIELD = "lifeMs"
ITEMS_FIELD = "items"
MORE_PAGES_FIELD = "hasNext"
COMPARE_FIELD = "guards"
OPERATIONS_FIELD = "apply"
PUT_FIELD = "put"
DELETE_FIELD = "delete"
FAILED_KEYS_FIELD = "failed"
EVENTS_FIELD = "news"
ERROR_FIELD = "error"

# Returned in place of the keys whose comparison failed if the store names no keys
UNNAMED_KEY = "?"
NO_SUCH_LEASE = "no such lease"


@dataclass(slots=True)
class WatchEvent:
    """One change of a key; a value of None means that the key was deleted."""

    key: str
    value: Any
    version: int


class KeyValueStore:
    """Provides typed calls to the key-value store.

    All calls raise RequestRefusedError if the request was certainly not executed and never will
    be. They raise OutcomeUnknownError if it is unknown whether the request has been or will be
    executed: there was no response, or the response had an unexpected status (a gateway's 502 or
    504 says nothing about what the store has done) or did not have the published form.
    """

    def __init__(
        self,
        caller: Caller,
        rps: float,
        write_rps: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a client with this controller's share of the store's rate limits.

        `rps` is in requests per second, `write_rps` in changed keys per second.
        """
        self.caller = caller
        self.clock = clock
        self.requests = RateLimiter(rps, clock)
        self.writes = RateLimiter(write_rps, clock)
        self.last_answer_at = 0.0  # by `clock`
        # Invalid responses since the last log line about them, and the time of that log line
        self.invalid_responses = 0
        self.invalid_logged_at = -math.inf

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout: float = REQUEST_TIMEOUT_S,
        urgent: bool = False,
        hold: float = 0.0,
    ) -> tuple[int, Any]:
        """Send a request within the rate limit, and return the response's status and JSON body.

        The store may hold back the response for `hold` seconds in addition to `timeout`.

        Raises:
            RequestRefusedError: The store answered with status 429 or 503.
            OutcomeUnknownError: No complete response was received.
        """
        await self.requests.acquire(1, urgent)
        try:
            status, response = await self.caller.call(method, target, body, timeout, hold)
        except UnreachableError as error:
            raise OutcomeUnknownError(str(error)) from error
        if status in (429, 503):
            raise RequestRefusedError(
                f"{method} {target}: refused by the key-value store with status {status}"
            )
        return status, response

    @contextlib.contextmanager
    def _expecting_valid_response(self, request: str, status: int, response: Any) -> Iterator[None]:
        """Provide a context for decoding a response, and record the time of a valid response.

        Raises:
            OutcomeUnknownError: The decoding has failed, so the response has no published form.
        """
        try:
            yield
        except (TypeError, KeyError, ValueError) as error:
            self._count_invalid_response(request, status, response)
            raise OutcomeUnknownError(
                f"{request}: invalid response with status {status}: {error!r}"
            ) from error
        self.last_answer_at = self.clock()

    def _count_invalid_response(self, request: str, status: int, response: Any) -> None:
        self.invalid_responses += 1
        now = self.clock()
        if now - self.invalid_logged_at <= INVALID_RESPONSE_LOG_INTERVAL_S:
            return
        log.warn(
            "key-value store: invalid response",
            request=request[:80],
            status=status,
            response=repr(response)[:120],
            times=self.invalid_responses,
        )
        self.invalid_responses = 0
        self.invalid_logged_at = now

    async def get(self, key: str) -> tuple[Any, int]:
        """Return the value and version of a key, or (None, 0) if the key does not exist.

        Only a response with status 404 means that the key does not exist.
        """
        status, response = await self._call("GET", f"/kv/{quote(key, safe='/')}")
        with self._expecting_valid_response(f"get {key}", status, response):
            if status == 404:
                return None, 0
            _require_status(status, 200)
            return response[VALUE_FIELD], _checked_count(response[VERSION_FIELD])

    async def list_prefix(self, prefix: str) -> tuple[dict[str, tuple[Any, int]], int]:
        """Return values and versions of all keys with a prefix, and the first page's revision.

        Later pages may be newer than that revision. A watch from that revision on misses no change.
        """
        entries: dict[str, tuple[Any, int]] = {}
        last_key = ""
        first_revision = -1
        while True:
            target = _list_target(prefix, last_key)
            status, response = await self._call("GET", target, timeout=LIST_TIMEOUT_S)
            with self._expecting_valid_response(f"list {prefix}", status, response):
                _require_status(status, 200)
                page = response[ITEMS_FIELD]
                for item in page:
                    entry = item[VALUE_FIELD], _checked_count(item[VERSION_FIELD])
                    last_key = _checked_key(item[KEY_FIELD])
                    entries[last_key] = entry
                if first_revision < 0:
                    first_revision = _checked_count(response[REVISION_FIELD])
                if not response.get(MORE_PAGES_FIELD):
                    return entries, first_revision
                if not page:
                    raise ValueError("the page has no items although more pages follow")

    async def compare_and_swap(
        self,
        compare: dict[str, int],
        puts: Mapping[str, object],
        deletes: list[str],
        lease: int | None = None,
        leased: frozenset[str] = frozenset(),
        urgent: bool = False,
        reserve: float = 0.0,
        max_wait_s: float = math.inf,
    ) -> tuple[int, list[str]]:
        """Write all of `puts` and `deletes` if every key of `compare` has the version given there.

        Returns (new revision, []) if written, else (0, keys that have another version); the keys
        are [UNNAMED_KEY] if the store names none, and [NO_SUCH_LEASE] if `lease` does not exist.
        The store deletes the keys of `leased` once `lease` has expired. `urgent`, `reserve` and
        `max_wait_s`: see RateLimiter.acquire.
        """
        operations = _put_operations(puts, lease, leased)
        operations += [{DELETE_FIELD: key} for key in deletes]
        body = {
            COMPARE_FIELD: [
                {KEY_FIELD: key, VERSION_FIELD: version} for key, version in compare.items()
            ],
            OPERATIONS_FIELD: operations,
        }
        await self.writes.acquire(len(operations), urgent, reserve, max_wait_s)
        status, response = await self._call("POST", "/multi", body, urgent=urgent)
        request = f"multi {', '.join([*puts, *deletes])}"
        with self._expecting_valid_response(request, status, response):
            if status == 409:
                failed = [_checked_key(key) for key in response[FAILED_KEYS_FIELD]]
                return 0, failed or [UNNAMED_KEY]
            if status == 400 and _is_lease_error(response):
                return 0, [NO_SUCH_LEASE]
            _require_status(status, 200)
            return _checked_count(response[REVISION_FIELD]), []

    async def watch(
        self, prefix: str, since: int, hold_ms: int, urgent: bool = False
    ) -> tuple[int, list[WatchEvent]] | None:
        """Return the newest revision and the changes after revision `since`.

        The store answers at the first change, and after `hold_ms` milliseconds at the latest. None
        means that `since` is too old and the keys must be listed again.
        """
        target = f"/watch?starts={quote(prefix, safe='/')}&from={since}&holdMs={hold_ms}"
        status, response = await self._call("GET", target, urgent=urgent, hold=hold_ms / 1000)
        with self._expecting_valid_response(f"watch {prefix}", status, response):
            if status == 410:
                return None
            _require_status(status, 200)
            revision = _checked_count(response[REVISION_FIELD])
            return revision, [_decode_event(event) for event in response[EVENTS_FIELD]]

    async def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease, which expires `ttl_s` seconds after its last renewal."""
        body = {LEASE_TIME_FIELD: int(ttl_s * 1000)}
        status, response = await self._call("POST", "/grants", body, urgent=True)
        with self._expecting_valid_response("grants", status, response):
            _require_status(status, 200)
            return _checked_count(response[LEASE_FIELD])

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease, and return whether it still existed.

        Only a response with status 404 means that the lease has expired.
        """
        status, response = await self._call(
            "POST", f"/grants/{lease}/extend", {}, timeout=RENEWAL_TIMEOUT_S, urgent=True
        )
        with self._expecting_valid_response(f"extend {lease}", status, response):
            if status == 404:
                return False
            _require_status(status, 200)
            return True


def _list_target(prefix: str, last_key: str) -> str:
    """Return the request target of the page after `last_key`; empty: of the first page."""
    target = f"/kv?starts={quote(prefix, safe='/')}&limit={PAGE_SIZE}"
    return f"{target}&from={quote(last_key, safe='/')}" if last_key else target


def _put_operations(
    puts: Mapping[str, object], lease: int | None, leased: frozenset[str]
) -> list[dict[str, object]]:
    operations: list[dict[str, object]] = []
    for key, value in puts.items():
        operation: dict[str, object] = {PUT_FIELD: key, VALUE_FIELD: value}
        if key in leased:
            operation[LEASE_FIELD] = lease
        operations.append(operation)
    return operations


def _decode_event(event: dict[str, Any]) -> WatchEvent:
    if PUT_FIELD in event:
        key, value = _checked_key(event[PUT_FIELD]), event[VALUE_FIELD]
    else:
        key, value = _checked_key(event[DELETE_FIELD]), None
    return WatchEvent(key, value, _checked_count(event[VERSION_FIELD]))


def _is_lease_error(response: Any) -> bool:
    """Return whether the error text of a response is about the lease of the request."""
    return isinstance(response, dict) and "lease" in str(response.get(ERROR_FIELD))


def _require_status(status: int, expected: int) -> None:
    """Raise ValueError if a response does not have the expected status."""
    if status != expected:
        raise ValueError(f"expected status {expected}, got {status}")


def _checked_count(value: Any) -> int:
    """Return a version, revision or lease id; raise TypeError if the value cannot be one."""
    if type(value) is not int or value < 0:
        raise TypeError(f"expected an integer >= 0: {value!r}"[:60])
    return value


def _checked_key(value: Any) -> str:
    """Return a key; raise TypeError if the value is not a string."""
    if not isinstance(value, str):
        raise TypeError(f"expected a key (string): {value!r}"[:60])
    return value
