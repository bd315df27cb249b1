"""Calls to an outside service: by this controller's own link while it is good, through another member while it isn't.

Stands where a plain client stood (`call`). What it must keep apart: a request that the service refused was not executed, and
may be put through another at once; one that got no answer may still be executed, and only reads and repeatable requests are
asked again, all others end in an unknown outcome, as they did before.
"""

from __future__ import annotations

import anyio
import orjson

from ploverhall import log
from ploverhall.connectivity.link_health import LinkHealth
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.relay import Relay
from ploverhall.errors import RelayRefusedError, UnreachableError
from ploverhall.protocol.rate_limiter import RateLimiter
from ploverhall.protocol.relay_messages import RelayRequest
from ploverhall.transport.http_client import Client

CHECK_INTERVAL_S = 0.1
STALL_S = 0.5  # a tick so late: this process stood still, and nobody else was silent for that time
PROBE_INTERVAL_S = 0.5
MAX_RELAYED_HOLD_S = 1.0  # a watch is held for so long at most where another carries it
MIN_RELAY_TIMEOUT_S = 0.8  # a request that was given up here has at least so long through another


class OutsideService:
    """One outside service."""

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
        self.context = context
        self.relay = relay
        self.service = service
        self.client = client
        self.probe_target = probe_target  # a cheap read
        # Its 503 says that it executed nothing, and any other 5xx that something between is in
        # trouble
        self.refuses_with_503 = refuses_with_503
        self.repeatable = repeatable  # targets that may be asked twice
        self.health = LinkHealth()
        # When each should have been answered, and what gives it up
        self.in_flight: dict[int, tuple[float, anyio.CancelScope]] = {}
        self.last_number = 0
        # What each may ask here: its own slice
        self.peer_limiters = {
            peer.name: RateLimiter(rate, context.clock) for peer in context.settings.peers
        }
        self.probed_at = -1e9

    def current_relay(self, avoid: frozenset[str] = frozenset(), hops: int = 2) -> str | None:
        """Through whom to ask; None: by the own link, there is no better."""
        if self.health.healthy or not self.context.settings.options.carry:
            return None
        return self._find_relay(avoid, hops)

    def _find_relay(self, avoid: frozenset[str] = frozenset(), hops: int = 2) -> str | None:
        if not self.context.settings.options.carry:
            return None
        return self.relay.routes.route_to_service(
            self.service, self.service, self.context.clock(), avoid, hops
        )

    async def call(
        self, method: str, target: str, body: object = None, timeout: float = 3.0, hold: float = 0.0
    ) -> tuple[int, object]:
        """One request: (status, JSON). UnreachableError: it may or may not have been executed, now or later."""
        until = self.context.clock() + timeout + hold
        via = self.current_relay()
        if via is None:
            try:
                status, out = await self._call_directly(method, target, body, timeout, hold)
            except UnreachableError:
                via = self.current_relay()
                if via is None or not (method == "GET" or target.startswith(self.repeatable)):
                    raise
            else:
                # refused: surely not executed; another 5xx (a gateway's, say) does not tell, and only reads are put again
                again = status == 503 or method == "GET" or target.startswith(self.repeatable)
                via = self._find_relay() if self._indicates_failure(status) and again else None
                if via is None:
                    return status, out
        left = max(MIN_RELAY_TIMEOUT_S, until - self.context.clock())
        hold = min(hold, MAX_RELAYED_HOLD_S)
        data = orjson.dumps(body) if body is not None else b""
        target = target if not hold else _with_hold(target, hold)
        try:
            status, raw = await self.relay.send(
                via,
                self.service,
                timeout=min(timeout, left),
                method=method,
                target=target,
                hold_s=hold,
                body=data,
            )
        except RelayRefusedError:
            return 503, {"error": "no way"}
        try:
            return status, orjson.loads(raw) if raw else None
        except orjson.JSONDecodeError as error:
            raise UnreachableError(f"{method} {target}: not JSON") from error

    async def _call_directly(
        self, method: str, target: str, body: object, timeout: float, hold: float
    ) -> tuple[int, object]:
        """By the own link, measured; given up when the link turns out to be bad and there is a way."""
        clock = self.context.clock
        started_at = clock()
        self.last_number += 1
        number, scope = self.last_number, anyio.CancelScope()
        self.in_flight[number] = (started_at + hold, scope)
        try:
            with scope:
                status, out = await self.client.call(method, target, body, timeout, hold)
                now = clock()
                if self._indicates_failure(status):
                    self.health.record_failure(started_at, now)
                else:
                    self.health.record_answer(
                        max(0.0, now - started_at - hold) if hold else now - started_at, now
                    )
                return status, out
            raise UnreachableError(f"{method} {target}: given up")
        except UnreachableError:
            self.health.record_failure(started_at + hold, clock())
            raise
        finally:
            del self.in_flight[number]

    def _indicates_failure(self, status: int) -> bool:
        """Whether an answer says that the link does not serve: of a service whose 503 is a refusal, every 5xx does."""
        return self.refuses_with_503 and status >= 500

    async def loop(self) -> None:
        """Look at what has no answer yet, and try a link that is bad."""
        last, good = self.context.clock(), True
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = self.context.clock()
            if self.health.healthy != good:
                good = self.health.healthy
                log.info(
                    "link healthy" if good else "link unhealthy",
                    service=self.service,
                    via=self.current_relay() or "-",
                    failures=self.health.failure_count,
                )
            if now - last > CHECK_INTERVAL_S + STALL_S:
                self.health.last_answer_at = now
            last = now
            if self.in_flight and (oldest := min(due for due, _ in self.in_flight.values())) < now:
                self.health.record_overdue(oldest, now)
            if self.health.healthy:
                continue
            if self.current_relay() is not None:
                for _, scope in self.in_flight.values():
                    scope.cancel()
            if now - self.probed_at > PROBE_INTERVAL_S:
                self.probed_at = now
                await self._probe()
                last = self.context.clock()

    async def _probe(self) -> None:
        """One cheap read by the own link, which nobody waits for."""
        started_at = self.context.clock()
        try:
            status, _ = await self.client.call("GET", self.probe_target, None, PROBE_INTERVAL_S)
        except UnreachableError:
            self.health.record_failure(started_at, self.context.clock())
            return
        now = self.context.clock()
        if self._indicates_failure(status):
            self.health.record_failure(started_at, now)
        else:
            self.health.record_answer(now - started_at, now)

    async def serve_relayed(self, peer: str, request: RelayRequest) -> tuple[int, bytes]:
        """A member asks through this one. Its requests come out of its own slice, and never before this one's own."""
        lent = self.peer_limiters.get(peer)
        if lent is None or lent.delay(1) > 0:
            raise RelayRefusedError("more than its share")
        lent.consume(1)
        left = request.deadline - self.context.wall_clock() - request.hold_s
        if not self.health.healthy:
            via = self.current_relay(frozenset((peer,)), request.hops - 1)
            if request.hops < 2 or via is None:
                raise RelayRefusedError("not reached from here either")
            return await self.relay.send(
                via,
                self.service,
                timeout=left,
                method=request.method,
                target=request.target,
                hold_s=request.hold_s,
                body=request.body,
                hops=request.hops - 1,
            )
        try:
            body = orjson.loads(request.body) if request.body else None
        except orjson.JSONDecodeError as error:
            raise RelayRefusedError("not JSON") from error
        status, out = await self._call_directly(
            request.method, request.target, body, max(0.1, left), request.hold_s
        )
        if status == 503 and self.refuses_with_503:
            raise RelayRefusedError("refused here, too")
        return status, orjson.dumps(out)


def _with_hold(target: str, hold_s: float) -> str:
    """A watch's target with a shorter hold."""
    head, _, _ = target.partition("&holdMs=")
    return f"{head}&holdMs={int(hold_s * 1000)}"
