"""Relay requests through other controllers, and serve the requests that they relay here.

`Relay` owns the pending relayed requests of both directions. `outbound`, `heartbeat_requests` and
`agent_commands` send requests through it and register as handlers; `peer_links` transfers its
messages. `connectivity.relay_routes` decides which peer can relay which kind of request.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from ploverhall import log
from ploverhall.connectivity import relay_routes
from ploverhall.connectivity.pending_relays import PendingRelays, deadline_passed
from ploverhall.connectivity.relay_routes import RelayRoutes
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.coordination import state_channel
from ploverhall.coordination.state_channel import Message
from ploverhall.errors import InvalidRelayMessageError, RelayRefusedError, UnreachableError
from ploverhall.log import raised_at
from ploverhall.protocol import relay_messages
from ploverhall.protocol.relay_messages import RelayRequest, RelayResponse
from ploverhall.runtime import NEVER

CONNECTIVITY_INTERVAL_S = 0.5
# A controller whose scheduling lags by more than this refuses to relay: its own work comes first
MAX_LAG_S = 0.5
# How often a waiting request checks that the connection its response would use is still up
CONNECTION_CHECK_S = 0.25
MAX_HOPS = 2  # most peers that a request may pass through
REQUEST_OVERHEAD_BYTES = 200  # encoded size of a request without its body and target
RESPONSE_OVERHEAD_BYTES = 100  # encoded size of a response without its body
Handler = Callable[[str, RelayRequest], Awaitable[tuple[int, bytes]]]


@dataclass(slots=True)
class ResponseWaiter:
    """A sent request that waits for its response; `responses` holds at most one response."""

    arrived: anyio.Event = field(default_factory=anyio.Event)
    responses: list[RelayResponse] = field(default_factory=list)


class Relay:
    """Sends requests through peers, and serves the requests that peers send."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        routes: RelayRoutes,
        notify_peer: Callable[[str], None],
        is_connected: Callable[[str], bool],
        start_serving: Callable[[str, RelayRequest], None],
    ) -> None:
        """Create a relay without handlers.

        Args:
            context: This controller's shared state.
            peer_liveness: Tells which peers are alive.
            routes: Tells which peers can relay requests.
            notify_peer: Wakes the link to a peer, as there is something to send.
            is_connected: Returns whether there is a connection to a peer.
            start_serving: Starts `serve` as a separate task.
        """
        self.context = context
        self.peer_liveness = peer_liveness
        self.routes = routes
        self.notify_peer = notify_peer
        self.is_connected = is_connected
        self.start_serving = start_serving
        self.pending = PendingRelays(f"{context.random.getrandbits(64):x}")
        self.response_waiters: dict[int, ResponseWaiter] = {}
        self.handlers: dict[str, Handler] = {}  # by kind of request
        # Returns the lag of this controller's own scheduling (seconds)
        self.scheduling_lag: Callable[[], float] = float
        # Returns what this controller reaches, as fields of its connectivity message
        self.own_connectivity: Callable[[], dict[str, object]] = dict
        # By peer: when a connectivity message was last sent (steady clock, seconds)
        self.connectivity_sent_at: dict[str, float] = {}

    # -- sending -------------------------------------------------------------------------------

    async def send(
        self,
        via: str,
        kind: str,
        *,
        timeout: float,
        method: str = "",
        target: str = "",
        hold_s: float = 0.0,
        body: bytes = b"",
        destination: str = "",
        hops: int = MAX_HOPS,
    ) -> tuple[int, bytes]:
        """Send one request through the peer `via`; return the HTTP status and the body.

        `timeout` (seconds) is added to `hold_s`, the time for which a watch may be held. Raises
        `RelayRefusedError` if the request was certainly not executed, and `UnreachableError` if it
        may have been executed.
        """
        deadline = self.context.clock() + timeout + hold_s
        number = self._open_request(via, deadline)
        request = RelayRequest(
            self.pending.incarnation,
            number,
            kind,
            self.context.wall_clock() + timeout + hold_s,
            hops,
            destination,
            method,
            target,
            hold_s,
            body,
        )
        waiter = ResponseWaiter()
        self.response_waiters[number] = waiter
        try:
            self._enqueue_request(via, request, deadline)
            await self._wait_for_response(via, waiter, deadline)
        finally:
            del self.response_waiters[number]
            self.pending.close(number)
        return self._result(via, kind, waiter.responses)

    def _open_request(self, via: str, deadline: float) -> int:
        """Return a number for a new request; raises `RelayRefusedError` if it cannot be sent."""
        if not self.is_connected(via):
            self.routes.record_failure(via, self.context.clock())
            raise RelayRefusedError(f"not connected to peer {via}")
        number = self.pending.open_request(via, deadline)
        if number is None:
            raise RelayRefusedError(f"too many open relayed requests to open one to peer {via}")
        return number

    def _enqueue_request(self, via: str, request: RelayRequest, deadline: float) -> None:
        """Queue a request for a peer; raises `RelayRefusedError` if the queue is full."""
        message = relay_messages.encode(
            relay_messages.REQUEST, self.context.controller_index, request
        )
        size_bytes = len(request.body) + len(request.target) + REQUEST_OVERHEAD_BYTES
        if not self.pending.enqueue(via, message, size_bytes, deadline):
            raise RelayRefusedError(f"the outbound queue to peer {via} is full")
        self.notify_peer(via)

    async def _wait_for_response(self, via: str, waiter: ResponseWaiter, deadline: float) -> None:
        """Wait until the response arrives, the deadline passes or the connection is lost."""
        while (
            (remaining_s := deadline - self.context.clock()) > 0
            and not waiter.responses
            and self.is_connected(via)
        ):
            with anyio.move_on_after(min(remaining_s, CONNECTION_CHECK_S)):
                await waiter.arrived.wait()

    def _result(self, via: str, kind: str, responses: list[RelayResponse]) -> tuple[int, bytes]:
        """Return the status and body of the response.

        Raises `RelayRefusedError` if the peer refused the request, and `UnreachableError` if there
        is no response or the peer does not know the outcome.
        """
        if not responses:
            self.routes.record_failure(via, self.context.clock())
            raise UnreachableError(
                f"{kind} through {via}: no response by the deadline, or connection lost"
            )
        response = responses[0]
        if response.status == 0:
            self.routes.record_failure(via, self.context.clock())
            if response.refused:
                raise RelayRefusedError(f"{kind} through {via}: the peer refused the request")
            raise UnreachableError(f"{kind} through {via}: the peer does not know the outcome")
        self.routes.record_success(via)
        return response.status, response.body

    # -- serving -------------------------------------------------------------------------------

    async def serve(self, peer: str, request: RelayRequest) -> None:
        """Execute a peer's request, and queue the response."""
        status = 0
        refused = True
        body = b""
        try:
            status, body = await self.handlers[request.kind](peer, request)
            if len(body) > relay_messages.MAX_BODY_BYTES:
                # Not refused: the request has been executed, and only its response is not relayed
                status = 0
                refused = False
                body = b""
        except RelayRefusedError:
            pass
        except UnreachableError:
            refused = False
        except Exception as error:  # one faulty request must not end the process
            refused = False
            log.error(
                "relay failed",
                kind=request.kind,
                peer=peer,
                error=repr(error),
                at=raised_at(error),
            )
        finally:
            self.pending.end_work(peer, request.kind)
        self._respond(peer, request, status, refused, body)

    def _respond(
        self, peer: str, request: RelayRequest, status: int, refused: bool, body: bytes
    ) -> None:
        """Queue a response; if the queue is full, drop it, and the peer's request times out."""
        remaining_s = request.deadline - self.context.wall_clock()
        response = RelayResponse(request.incarnation, request.number, status, refused, body)
        self.pending.enqueue(
            peer,
            relay_messages.encode(relay_messages.RESPONSE, self.context.controller_index, response),
            len(body) + RESPONSE_OVERHEAD_BYTES,
            self.context.clock() + remaining_s,
        )
        self.notify_peer(peer)

    # -- messages on the links -----------------------------------------------------------------

    def collect(self, controller: str, now: float) -> list[Message]:
        """Return the relay's messages to send to a peer now."""
        messages = self.pending.drain(controller, now)
        if now - self.connectivity_sent_at.get(controller, NEVER) > CONNECTIVITY_INTERVAL_S:
            self.connectivity_sent_at[controller] = now
            messages.append(self._connectivity_message(now))
        return messages

    def _connectivity_message(self, now: float) -> Message:
        """Return a message that says what this controller reaches and relays."""
        receives_from = [
            name for name in self.routes.peers if self.peer_liveness.is_alive(name, now)
        ]
        relay_kinds = list(relay_messages.KINDS) if self.context.settings.options.carry else []
        value = {
            relay_routes.INCARNATION_FIELD: self.pending.incarnation,
            relay_routes.RELAY_KINDS_FIELD: relay_kinds,
            relay_routes.RECEIVES_FROM_FIELD: receives_from,
            **self.own_connectivity(),
        }
        return state_channel.peer_message(
            relay_messages.CONNECTIVITY, self.context.controller_index, value
        )

    def deliver(self, controller: str, message: Message) -> None:
        """Handle a peer's connectivity message, request or response; drop a malformed one."""
        kind, value = message[0], message[5]
        if controller not in self.routes.peers:
            return
        try:
            if kind == relay_messages.CONNECTIVITY and isinstance(value, dict):
                self.routes.update(controller, value, self.context.clock())
            elif kind == relay_messages.REQUEST:
                self._receive_request(controller, relay_messages.decode_request(value))
            elif kind == relay_messages.RESPONSE:
                self._receive_response(controller, relay_messages.decode_response(value))
        except InvalidRelayMessageError:
            pass  # the sender stops waiting at the request's own deadline

    def _receive_request(self, controller: str, request: RelayRequest) -> None:
        """Start serving a peer's request, refuse it, or drop it if its deadline has passed."""
        if deadline_passed(request.deadline, self.context.wall_clock()):
            # Delayed on the way: the sender no longer waits, and executing it now would be too late
            self.pending.refused_count += 1
        elif (
            request.kind not in self.handlers
            or self.scheduling_lag() > MAX_LAG_S
            or not self.pending.begin_work(controller, request.kind)
        ):
            self._respond(controller, request, 0, True, b"")
        else:
            self.start_serving(controller, request)

    def _receive_response(self, controller: str, response: RelayResponse) -> None:
        """Pass a response to the request that waits for it, if one still does."""
        waiter = self.response_waiters.get(response.number)
        completed = self.pending.complete(response.incarnation, response.number, controller)
        if completed and waiter is not None:
            waiter.responses.append(response)
            waiter.arrived.set()
