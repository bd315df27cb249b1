"""Call an external service (key-value store, cloud) directly, or relayed through a peer.

`ExternalService` has the interface of a plain client (`call`). Requests use this controller's own
link while it is healthy; otherwise they go through a peer that reaches the service.

There are two kinds of failure. A request that the service refused was not executed, and may be sent
again by another route at once. A request without a response may still be executed: only reads and
repeatable requests are sent again, and all others end with an unknown outcome.
"""

from __future__ import annotations

import anyio
import orjson

from ploverhall import log
from ploverhall.connectivity.link_health import LinkHealth
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.relay import MAX_HOPS, Relay
from ploverhall.errors import RelayRefusedError, UnreachableError
from ploverhall.protocol.rate_limiter import RateLimiter
from ploverhall.protocol.relay_messages import RelayRequest
from ploverhall.runtime import NEVER
from ploverhall.transport.http_client import Client

CHECK_INTERVAL_S = 0.1
# A check that is late by more than this shows a stall of the event loop here; the service's silence
# in that time does not count against the link
STALL_S = 0.5
PROBE_INTERVAL_S = 0.5
MAX_RELAYED_HOLD_S = 1.0  # longest hold of a relayed watch
# Least timeout through a relay, for a request that was cancelled on the own link
MIN_RELAY_TIMEOUT_S = 0.8
MIN_SERVED_TIMEOUT_S = 0.1  # least timeout of a peer's request that arrived late


class ExternalService:
    """Client of one external service, for this controller and the peers that relay through it."""

    def __init__(
        self,
        context: ControllerContext,
        relay: Relay,
        service: str,
        client: Client,
        *,
        probe_target: str,
        rate: float,
        refuses_with_503: bool,
        repeatable: tuple[str, ...],
    ) -> None:
        """Create a client of a service whose own link counts as healthy.

        Args:
            context: This controller's shared state.
            relay: Sends requests through peers.
            service: Name of the service in messages between controllers.
            client: Client on this controller's own link.
            probe_target: Target of a cheap read that tests the link.
            rate: Requests per second that each peer may send through this controller.
            refuses_with_503: Whether a 503 means that the service executed nothing, and any other
                5xx that a gateway in between has failed.
            repeatable: Prefixes of targets whose requests may be sent twice.
        """
        self.context = context
        self.relay = relay
        self.service = service
        self.client = client
        self.probe_target = probe_target
        self.refuses_with_503 = refuses_with_503
        self.repeatable = repeatable
        self.health = LinkHealth()
        # By number of the call: when its response is due (steady clock, seconds), and the scope
        # that cancels it
        self.in_flight: dict[int, tuple[float, anyio.CancelScope]] = {}
        self.last_number = 0  # of a call
        self.peer_limiters = {
            peer.name: RateLimiter(rate, context.clock) for peer in context.settings.peers
        }
        self.probed_at = NEVER  # steady clock, seconds

    # -- calling -------------------------------------------------------------------------------

    def current_relay(
        self, avoid: frozenset[str] = frozenset(), hops: int = MAX_HOPS
    ) -> str | None:
        """Return the peer to call through; None if the own link is healthy or no peer can relay."""
        if self.health.healthy or not self.context.settings.options.carry:
            return None
        return self._find_relay(avoid, hops)

    def _find_relay(self, avoid: frozenset[str] = frozenset(), hops: int = MAX_HOPS) -> str | None:
        """Return a peer that reaches the service; None if there is none or relaying is off."""
        if not self.context.settings.options.carry:
            return None
        return self.relay.routes.route_to_service(
            self.service, self.service, self.context.clock(), avoid, hops
        )

    async def call(
        self, method: str, target: str, body: object = None, timeout: float = 3.0, hold: float = 0.0
    ) -> tuple[int, object]:
        """Send one request; return the HTTP status and the decoded JSON.

        `timeout` (seconds) is added to `hold`, the time for which a watch may be held. Raises
        `UnreachableError` if there was no usable response: the request may have been executed, or
        may be executed later.
        """
        deadline = self.context.clock() + timeout + hold
        via = self.current_relay()
        if via is None:
            try:
                status, response = await self._call_directly(method, target, body, timeout, hold)
            except UnreachableError:
                via = self.current_relay()
                if via is None or not self._is_repeatable(method, target):
                    raise
            else:
                via = self._relay_after_response(status, method, target)
                if via is None:
                    return status, response
        return await self._call_through(via, method, target, body, timeout, hold, deadline)

    def _is_repeatable(self, method: str, target: str) -> bool:
        """Return whether a request may be sent again although it may have been executed."""
        return method == "GET" or target.startswith(self.repeatable)

    def _relay_after_response(self, status: int, method: str, target: str) -> str | None:
        """Return the peer to send a request through again after this response; None to accept it.

        A request refused with 503 was certainly not executed. After another 5xx, for example from a
        gateway, the request may have been executed.
        """
        may_repeat = status == 503 or self._is_repeatable(method, target)
        return self._find_relay() if self._indicates_failure(status) and may_repeat else None

    async def _call_through(
        self,
        via: str,
        method: str,
        target: str,
        body: object,
        timeout: float,
        hold_s: float,
        deadline: float,
    ) -> tuple[int, object]:
        """Relay one request through a peer; a refusal is returned as a 503 of the service."""
        remaining_s = max(MIN_RELAY_TIMEOUT_S, deadline - self.context.clock())
        hold_s = min(hold_s, MAX_RELAYED_HOLD_S)
        data = orjson.dumps(body) if body is not None else b""
        target = target if not hold_s else _with_hold(target, hold_s)
        try:
            status, raw = await self.relay.send(
                via,
                self.service,
                timeout=min(timeout, remaining_s),
                method=method,
                target=target,
                hold_s=hold_s,
                body=data,
            )
        except RelayRefusedError:
            return 503, {"error": "no way"}
        try:
            return status, orjson.loads(raw) if raw else None
        except orjson.JSONDecodeError as error:
            raise UnreachableError(
                f"{method} {target!r:.200} through {via}: the response is not JSON"
            ) from error

    async def _call_directly(
        self, method: str, target: str, body: object, timeout: float, hold: float
    ) -> tuple[int, object]:
        """Call the service on the own link, and record the outcome in `health`.

        Raises `UnreachableError` if there was no response, or if `loop` cancelled the call because
        a peer can relay it.
        """
        started_at = self.context.clock()
        self.last_number += 1
        number, scope = self.last_number, anyio.CancelScope()
        self.in_flight[number] = (started_at + hold, scope)
        try:
            with scope:
                status, response = await self.client.call(method, target, body, timeout, hold)
                self._record_response(status, started_at, hold)
                return status, response
            raise UnreachableError(
                f"{method} {target!r:.200}: cancelled on the own link, as it is unhealthy"
            )
        except UnreachableError:
            self.health.record_failure(started_at + hold, self.context.clock())
            raise
        finally:
            del self.in_flight[number]

    def _record_response(self, status: int, started_at: float, hold_s: float = 0.0) -> None:
        """Record in `health` a response on the own link: its latency, or a failure."""
        now = self.context.clock()
        if self._indicates_failure(status):
            self.health.record_failure(started_at, now)
            return
        latency_s = max(0.0, now - started_at - hold_s) if hold_s else now - started_at
        self.health.record_answer(latency_s, now)

    def _indicates_failure(self, status: int) -> bool:
        """Return whether a status means that the link cannot be used.

        Every 5xx means that, for a service that refuses with 503. For other services none does.
        """
        return self.refuses_with_503 and status >= 500

    # -- monitoring the own link ---------------------------------------------------------------

    async def loop(self) -> None:
        """Record overdue calls, and probe the own link while it is unhealthy; never returns."""
        last_check_at = self.context.clock()
        was_healthy = True
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = self.context.clock()
            if self.health.healthy != was_healthy:
                was_healthy = self.health.healthy
                self._log_health()
            if now - last_check_at > CHECK_INTERVAL_S + STALL_S:
                self.health.last_answer_at = now
            last_check_at = now
            self._record_overdue(now)
            if self.health.healthy:
                continue
            self._cancel_in_flight_calls()
            if now - self.probed_at > PROBE_INTERVAL_S:
                self.probed_at = now
                await self._probe()
                last_check_at = self.context.clock()

    def _log_health(self) -> None:
        """Log that the own link has become healthy or unhealthy."""
        log.info(
            "link healthy" if self.health.healthy else "link unhealthy",
            service=self.service,
            via=self.current_relay() or "-",
            failures=self.health.failure_count,
        )

    def _record_overdue(self, now: float) -> None:
        """Record in `health` the call whose response is overdue for longest, if there is one."""
        if not self.in_flight:
            return
        oldest_due_at = min(due_at for due_at, _ in self.in_flight.values())
        if oldest_due_at < now:
            self.health.record_overdue(oldest_due_at, now)

    def _cancel_in_flight_calls(self) -> None:
        """Cancel the calls on the own link if a peer can relay them instead."""
        if self.current_relay() is not None:
            for _, scope in self.in_flight.values():
                scope.cancel()

    async def _probe(self) -> None:
        """Make one cheap read on the own link to test whether it works."""
        started_at = self.context.clock()
        try:
            status, _ = await self.client.call("GET", self.probe_target, None, PROBE_INTERVAL_S)
        except UnreachableError:
            self.health.record_failure(started_at, self.context.clock())
            return
        self._record_response(status, started_at)

    # -- serving peers -------------------------------------------------------------------------

    async def serve_relayed(self, peer: str, request: RelayRequest) -> tuple[int, bytes]:
        """Execute a peer's request, or relay it further; return the HTTP status and the body.

        The request counts against the peer's own share of the rate, so that it never delays this
        controller's requests. Raises `RelayRefusedError` if it was certainly not executed, and
        `UnreachableError` if it may have been executed.
        """
        limiter = self.peer_limiters.get(peer)
        if limiter is None or limiter.delay(1) > 0:
            raise RelayRefusedError(
                f"peer {peer} is unknown or over its rate of {self.service} requests"
            )
        limiter.consume(1)
        remaining_s = request.deadline - self.context.wall_clock() - request.hold_s
        if not self.health.healthy:
            return await self._relay_further(peer, request, remaining_s)
        try:
            body = orjson.loads(request.body) if request.body else None
        except orjson.JSONDecodeError as error:
            raise RelayRefusedError(
                f"the body of the request that peer {peer} relays is not JSON"
            ) from error
        status, response = await self._call_directly(
            request.method,
            request.target,
            body,
            max(MIN_SERVED_TIMEOUT_S, remaining_s),
            request.hold_s,
        )
        if status == 503 and self.refuses_with_503:
            raise RelayRefusedError(f"{self.service} refused the request with 503")
        return status, orjson.dumps(response)

    async def _relay_further(
        self, peer: str, request: RelayRequest, remaining_s: float
    ) -> tuple[int, bytes]:
        """Relay a peer's request by one more hop.

        Raises `RelayRefusedError` if no hop is left or no other peer reaches the service.
        """
        via = self.current_relay(frozenset((peer,)), request.hops - 1)
        if request.hops < 2 or via is None:
            raise RelayRefusedError(
                f"{self.service} is unreachable from here, and no peer can relay"
            )
        return await self.relay.send(
            via,
            self.service,
            timeout=remaining_s,
            method=request.method,
            target=request.target,
            hold_s=request.hold_s,
            body=request.body,
            hops=request.hops - 1,
        )


def _with_hold(target: str, hold_s: float) -> str:
    """Return the target of a watch with its hold replaced by `hold_s` seconds."""
    head, _, _ = target.partition("&holdMs=")
    return f"{head}&holdMs={int(hold_s * 1000)}"
