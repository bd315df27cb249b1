"""Calls to an outside service: by this controller's own link while it is good, through another member while it isn't.

Stands where a plain client stood (`call`). What it must keep apart: a request that the service refused was not executed, and
may be put through another at once; one that got no answer may still be executed, and only reads and repeatable requests are
asked again, all others end in an unknown outcome, as they did before.
"""

from __future__ import annotations

import anyio
import orjson

from ploverhall import log
from ploverhall.connectivity.link_health import Gauge
from ploverhall.controller.context import Shared
from ploverhall.controller.relay import Carrying, NotCarried
from ploverhall.protocol.key_value_store import Budget
from ploverhall.protocol.relay_messages import Question
from ploverhall.transport.http import Client, Unreachable

TICK_S = 0.1
LATE_S = 0.5  # a tick so late: this process stood still, and nobody else was silent for that time
PROBE_S = 0.5
HOLD_S = 1.0  # a watch is held for so long at most where another carries it
LEAST_S = 0.8  # a request that was given up here has at least so long through another


class Wire:
    """One outside service."""

    def __init__(
        self,
        shared: Shared,
        carrying: Carrying,
        service: str,
        client: Client,
        *,
        probe: str,
        rate: float,
        refusals: bool,
        repeatable: tuple[str, ...],
    ) -> None:
        self.shared, self.carrying, self.service, self.client = shared, carrying, service, client
        self.probe = probe  # a cheap read
        self.refusals = refusals  # its 503 says that it executed nothing, and any other 5xx that something between is in trouble
        self.repeatable = repeatable  # targets that may be asked twice
        self.gauge = Gauge()
        self.flying: dict[
            int, tuple[float, anyio.CancelScope]
        ] = {}  # when each should have been answered, and what gives it up
        self.number = 0
        self.lent = {
            p.name: Budget(rate, shared.clock) for p in shared.settings.peers
        }  # what each may ask here: its own slice
        self.probed = -1e9

    def way(self, avoid: frozenset[str] = frozenset(), hops: int = 2) -> str | None:
        """Through whom to ask; None: by the own link, there is no better."""
        if self.gauge.good or not self.shared.settings.options.carry:
            return None
        return self._another(avoid, hops)

    def _another(self, avoid: frozenset[str] = frozenset(), hops: int = 2) -> str | None:
        if not self.shared.settings.options.carry:
            return None
        return self.carrying.ways.to_service(
            self.service, self.service, self.shared.clock(), avoid, hops
        )

    async def call(
        self, method: str, target: str, body: object = None, timeout: float = 3.0, hold: float = 0.0
    ) -> tuple[int, object]:
        """One request: (status, JSON). Unreachable: it may or may not have been executed, now or later."""
        until = self.shared.clock() + timeout + hold
        via = self.way()
        if via is None:
            try:
                status, out = await self._direct(method, target, body, timeout, hold)
            except Unreachable:
                via = self.way()
                if via is None or not (method == "GET" or target.startswith(self.repeatable)):
                    raise
            else:
                # refused: surely not executed; another 5xx (a gateway's, say) does not tell, and only reads are put again
                again = status == 503 or method == "GET" or target.startswith(self.repeatable)
                via = self._another() if self._fails(status) and again else None
                if via is None:
                    return status, out
        left = max(LEAST_S, until - self.shared.clock())
        hold = min(hold, HOLD_S)
        data = orjson.dumps(body) if body is not None else b""
        target = target if not hold else _held(target, hold)
        try:
            status, raw = await self.carrying.ask(
                via,
                self.service,
                timeout=min(timeout, left),
                method=method,
                target=target,
                hold=hold,
                body=data,
            )
        except NotCarried:
            return 503, {"error": "no way"}
        try:
            return status, orjson.loads(raw) if raw else None
        except orjson.JSONDecodeError as e:
            raise Unreachable(f"{method} {target}: not JSON") from e

    async def _direct(
        self, method: str, target: str, body: object, timeout: float, hold: float
    ) -> tuple[int, object]:
        """By the own link, measured; given up when the link turns out to be bad and there is a way."""
        clock = self.shared.clock
        begun = clock()
        self.number += 1
        number, scope = self.number, anyio.CancelScope()
        self.flying[number] = (begun + hold, scope)
        try:
            with scope:
                status, out = await self.client.call(method, target, body, timeout, hold)
                now = clock()
                if self._fails(status):
                    self.gauge.failed(begun, now)
                else:
                    self.gauge.answered(max(0.0, now - begun - hold) if hold else now - begun, now)
                return status, out
            raise Unreachable(f"{method} {target}: given up")
        except Unreachable:
            self.gauge.failed(begun + hold, clock())
            raise
        finally:
            del self.flying[number]

    def _fails(self, status: int) -> bool:
        """Whether an answer says that the link does not serve: of a service whose 503 is a refusal, every 5xx does."""
        return self.refusals and status >= 500

    async def loop(self) -> None:
        """Look at what has no answer yet, and try a link that is bad."""
        last, good = self.shared.clock(), True
        while True:
            await anyio.sleep(TICK_S)
            now = self.shared.clock()
            if self.gauge.good != good:
                good = self.gauge.good
                log.info(
                    "link good" if good else "link bad",
                    to=self.service,
                    through=self.way() or "-",
                    turns=self.gauge.turns,
                )
            if now - last > TICK_S + LATE_S:
                self.gauge.last = now
            last = now
            if self.flying and (oldest := min(due for due, _ in self.flying.values())) < now:
                self.gauge.waits(oldest, now)
            if self.gauge.good:
                continue
            if self.way() is not None:
                for _, scope in self.flying.values():
                    scope.cancel()
            if now - self.probed > PROBE_S:
                self.probed = now
                await self._try()
                last = self.shared.clock()

    async def _try(self) -> None:
        """One cheap read by the own link, which nobody waits for."""
        begun = self.shared.clock()
        try:
            status, _ = await self.client.call("GET", self.probe, None, PROBE_S)
        except Unreachable:
            self.gauge.failed(begun, self.shared.clock())
            return
        now = self.shared.clock()
        if self._fails(status):
            self.gauge.failed(begun, now)
        else:
            self.gauge.answered(now - begun, now)

    async def carried(self, by: str, q: Question) -> tuple[int, bytes]:
        """A member asks through this one. Its requests come out of its own slice, and never before this one's own."""
        lent = self.lent.get(by)
        if lent is None or lent.wait(1) > 0:
            raise NotCarried("more than its share")
        lent.spend(1)
        left = q.until - self.shared.wall() - q.hold
        if not self.gauge.good:
            via = self.way(frozenset((by,)), q.hops - 1)
            if q.hops < 2 or via is None:
                raise NotCarried("not reached from here either")
            return await self.carrying.ask(
                via,
                self.service,
                timeout=left,
                method=q.method,
                target=q.target,
                hold=q.hold,
                body=q.body,
                hops=q.hops - 1,
            )
        try:
            body = orjson.loads(q.body) if q.body else None
        except orjson.JSONDecodeError as e:
            raise NotCarried("not JSON") from e
        status, out = await self._direct(q.method, q.target, body, max(0.1, left), q.hold)
        if status == 503 and self.refusals:
            raise NotCarried("refused here, too")
        return status, orjson.dumps(out)


def _held(target: str, hold: float) -> str:
    """A watch's target with a shorter hold."""
    head, _, _ = target.partition("&holdMs=")
    return f"{head}&holdMs={int(hold * 1000)}"
