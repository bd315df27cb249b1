"""Relay heartbeats of agents that can't reach the holder of their shard.

`heartbeat_requests` decides which heartbeats are relayed, and answers those for shards held here.
"""

from __future__ import annotations

from typing import Any

import orjson

from ploverhall.connectivity.relay_routes import RelayRoutes
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.relay import MAX_HOPS, Relay
from ploverhall.coordination import fencing_tokens
from ploverhall.errors import RelayRefusedError, UnreachableError
from ploverhall.protocol import agents
from ploverhall.protocol.agents import Heartbeat
from ploverhall.protocol.relay_messages import HEARTBEAT, RelayRequest
from ploverhall.transport.http_server import Reply

# An agent waits 4 s for an answer, and has to be told within that time that there is none
RELAY_TIMEOUT_S = 2.4
RELAYED_STATUSES = (200, 421)  # the only answers that a shard's holder gives to a heartbeat


class HeartbeatRelay:
    """Relays heartbeats through peers to the holder of their shard."""

    def __init__(
        self, context: ControllerContext, relay_routes: RelayRoutes, relay_requests: Relay
    ) -> None:
        self.context = context
        self.relay_routes = relay_routes
        self.relay_requests = relay_requests

    async def relay(
        self,
        body: bytes,
        heartbeat: Heartbeat,
        shard: int,
        controller: str,
        avoided_relays: frozenset[str] = frozenset(),
        hops: int = MAX_HOPS,
    ) -> Reply | None:
        """Relay a heartbeat to its shard's holder and return the holder's answer.

        Returns None if relaying is turned off, there is no route, or no valid answer came.
        `controller` is the holder; `avoided_relays` are peers that the heartbeat must not pass
        through, and `hops` is the most peers that it may pass through.
        """
        if not self.context.settings.options.carry:
            return None
        via = self.relay_routes.route_to_peer(
            controller, HEARTBEAT, self.context.clock(), avoided_relays, hops
        )
        if via is None:
            return None
        try:
            status, raw = await self.relay_requests.send(
                via,
                HEARTBEAT,
                timeout=RELAY_TIMEOUT_S * hops / MAX_HOPS,
                destination=controller,
                body=body,
                hops=hops,
            )
            answer = orjson.loads(raw)
        except (RelayRefusedError, UnreachableError, orjson.JSONDecodeError):
            return None
        if status not in RELAYED_STATUSES or not isinstance(answer, dict):
            return None
        if status == 200 and self._answer_superseded(answer, shard):
            return None
        return Reply(status, answer)

    async def relay_further(
        self, peer: str, request: RelayRequest, heartbeat: Heartbeat, shard: int
    ) -> Reply:
        """Relay a peer's heartbeat by one more hop.

        Raises `RelayRefusedError` if no hop is left, the heartbeat is for this controller, or no
        answer came.
        """
        if request.hops < 2 or request.destination in ("", self.context.settings.name):
            raise RelayRefusedError(
                f"shard {shard} is not held here, and its heartbeat cannot be relayed further"
            )
        reply = await self.relay(
            request.body,
            heartbeat,
            shard,
            request.destination,
            frozenset((peer,)),
            request.hops - 1,
        )
        if reply is None:
            raise RelayRefusedError(f"no answer for shard {shard} through another peer")
        return reply

    def _answer_superseded(self, answer: dict[str, Any], shard: int) -> bool:
        """Return whether a relayed answer came from a holder that has been superseded since.

        The agent would drop such an answer, and keep reporting here until its lease expires.
        """
        token = agents.token_of_answer(answer)
        return fencing_tokens.epoch_of(token) < self.context.store_cache.holder(shard)[1]
