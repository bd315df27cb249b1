"""Questions put through other members, and theirs worked on here: the sending side of `reach`."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from ploverhall import log
from ploverhall.connectivity.pending_relays import PendingRelays, deadline_passed
from ploverhall.connectivity.relay_routes import RelayRoutes
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.coordination.state_channel import Message
from ploverhall.errors import InvalidRelayMessageError, RelayRefusedError, UnreachableError
from ploverhall.log import raised_at
from ploverhall.protocol import relay_messages
from ploverhall.protocol.relay_messages import RelayRequest, RelayResponse

CONNECTIVITY_INTERVAL_S = 0.5
MAX_LAG_S = 0.5  # its own work comes first: so far behind it carries nothing
# How soon it is seen that there is no connection any more over which it could be answered
CONNECTION_CHECK_S = 0.25
Handler = Callable[[str, RelayRequest], Awaitable[tuple[int, bytes]]]


class Relay:
    """Both sides: what is asked of others, and what others ask."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        routes: RelayRoutes,
        notify_peer: Callable[[str], None],
        is_connected: Callable[[str], bool],
        start_serving: Callable[[str, RelayRequest], None],
    ) -> None:
        (
            self.context,
            self.peer_liveness,
            self.routes,
            self.notify_peer,
            self.is_connected,
            self.start_serving,
        ) = (
            context,
            peer_liveness,
            routes,
            notify_peer,
            is_connected,
            start_serving,
        )
        self.pending = PendingRelays(f"{context.random.getrandbits(64):x}")
        self.response_waiters: dict[int, tuple[anyio.Event, list[RelayResponse]]] = {}
        self.handlers: dict[str, Handler] = {}
        # By how much this controller's own work is behind
        self.scheduling_lag: Callable[[], float] = float
        # What this member reaches, for its word
        self.own_connectivity: Callable[[], dict[str, Any]] = dict
        self.connectivity_sent_at: dict[str, float] = {}

    # -- asking --------------------------------------------------------------------------------

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
        hops: int = 2,
    ) -> tuple[int, bytes]:
        """One question to a member: (status, body). NotCarried: surely not executed; UnreachableError: that is not known."""
        shared = self.context
        deadline = shared.clock() + timeout + hold_s
        if not self.is_connected(via):
            self.routes.record_failure(via, shared.clock())
            raise RelayRefusedError(f"no connection to {via}")
        number = self.pending.open_request(via, deadline)
        if number is None:
            raise RelayRefusedError("too many open questions")
        request = RelayRequest(
            self.pending.incarnation,
            number,
            kind,
            shared.wall_clock() + timeout + hold_s,
            hops,
            destination,
            method,
            target,
            hold_s,
            body,
        )
        waiter: tuple[anyio.Event, list[RelayResponse]] = (anyio.Event(), [])
        self.response_waiters[number] = waiter
        try:
            if not self.pending.enqueue(
                via,
                relay_messages.encode(relay_messages.REQUEST, shared.controller_index, request),
                len(body) + len(target) + 200,
                deadline,
            ):
                raise RelayRefusedError("too much waits for it")
            self.notify_peer(via)
            while (
                (remaining_s := deadline - shared.clock()) > 0
                and not waiter[1]
                and self.is_connected(via)
            ):
                with anyio.move_on_after(min(remaining_s, CONNECTION_CHECK_S)):
                    await waiter[0].wait()
        finally:
            del self.response_waiters[number]
            self.pending.close(number)
        if not waiter[1]:
            self.routes.record_failure(via, shared.clock())
            raise UnreachableError(f"{kind} through {via}: no answer")
        response = waiter[1][0]
        if response.status == 0:
            self.routes.record_failure(via, shared.clock())
            if response.refused:
                raise RelayRefusedError(f"{kind} through {via}: refused")
            raise UnreachableError(f"{kind} through {via}: outcome not known")
        self.routes.record_success(via)
        return response.status, response.body

    # -- being asked ---------------------------------------------------------------------------

    async def serve(self, peer: str, request: RelayRequest) -> None:
        """Work on a member's question, and answer."""
        status = 0
        refused = True
        body = b""
        try:
            status, body = await self.handlers[request.kind](peer, request)
            if len(body) > relay_messages.MAX_BODY_BYTES:
                # It has been executed: only its answer can't be carried
                status = 0
                refused = False
                body = b""
        except RelayRefusedError:
            pass
        except UnreachableError:
            refused = False
        except Exception as error:  # one question must not end the process
            refused = False
            log.error(
                "relay failed",
                kind=request.kind,
                peer=peer,
                error=repr(error),
                at=raised_at(error),
            )
        finally:
            self.pending.end_work(peer)
        self._respond(peer, request, status, refused, body)

    def _respond(
        self, peer: str, request: RelayRequest, status: int, refused: bool, body: bytes
    ) -> None:
        """Put an answer in the member's queue; where there is no room for it, it will have to ask again."""
        remaining_s = request.deadline - self.context.wall_clock()
        response = RelayResponse(request.incarnation, request.number, status, refused, body)
        self.pending.enqueue(
            peer,
            relay_messages.encode(relay_messages.RESPONSE, self.context.controller_index, response),
            len(body) + 100,
            self.context.clock() + remaining_s,
        )
        self.notify_peer(peer)

    # -- on the links --------------------------------------------------------------------------

    def collect(self, controller: str, now: float) -> list[Message]:
        """What goes to a peer now."""
        out = self.pending.drain(controller, now)
        if now - self.connectivity_sent_at.get(controller, -1e9) > CONNECTIVITY_INTERVAL_S:
            self.connectivity_sent_at[controller] = now
            heard = [name for name in self.routes.peers if self.peer_liveness.is_alive(name, now)]
            can = list(relay_messages.KINDS) if self.context.settings.options.carry else []
            out.append(
                [
                    relay_messages.CONNECTIVITY,
                    self.context.controller_index,
                    0,
                    0,
                    True,
                    {
                        "life": self.pending.incarnation,
                        "can": can,
                        "hears": heard,
                        **self.own_connectivity(),
                    },
                    0,
                ]
            )
        return out

    def deliver(self, controller: str, message: Message) -> None:
        """A peer's word, question or answer; one that is not in the form is nobody's."""
        kind, value = message[0], message[5]
        if controller not in self.routes.peers:
            return
        try:
            if kind == relay_messages.CONNECTIVITY and isinstance(value, dict):
                self.routes.update(controller, value, self.context.clock())
            elif kind == relay_messages.REQUEST:
                request = relay_messages.decode_request(value)
                if deadline_passed(request.deadline, self.context.wall_clock()):
                    self.pending.refused_count += (
                        1  # held back on its way: whoever asked has long gone on
                    )
                elif (
                    request.kind not in self.handlers
                    or self.scheduling_lag() > MAX_LAG_S
                    or not self.pending.begin_work(controller)
                ):
                    self._respond(controller, request, 0, True, b"")
                else:
                    self.start_serving(controller, request)
            elif kind == relay_messages.RESPONSE:
                response = relay_messages.decode_response(value)
                waiting = self.response_waiters.get(response.number)
                if (
                    self.pending.complete(response.incarnation, response.number, controller)
                    and waiting is not None
                ):
                    waiting[1].append(response)
                    waiting[0].set()
        except InvalidRelayMessageError:
            pass
