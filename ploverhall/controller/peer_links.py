"""The links to the other controllers: what goes out on each, and what is done with what comes in."""

from __future__ import annotations

from collections.abc import Callable

from ploverhall import log
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.relay import Relay
from ploverhall.controller.routing import Routing
from ploverhall.controller.shard_roles import ShardRoles
from ploverhall.controller.status_report import StatusReport
from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.coordination.state_channel import Message
from ploverhall.errors import InvalidPeerMessageError
from ploverhall.protocol import relay_messages
from ploverhall.protocol.peer_messages import Cancellation, PeerStatus, decode_gossip, encode_gossip
from ploverhall.transport.peer_stream import PeerLink, PeerListener

STATUS_INTERVAL_S = 0.5
REJECTED_LOG_INTERVAL_S = 60.0


class PeerLinks:
    """One link to each peer, and the listener for theirs."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        routing: Routing,
        shard_roles: ShardRoles,
        status_report: StatusReport,
        cancellation_barrier: CancellationBarrier,
        relay: Relay,
        on_cancellations: Callable[[list[Cancellation]], None],
    ) -> None:
        self.context = context
        self.peer_liveness = peer_liveness
        self.routing = routing
        self.shard_roles = shard_roles
        self.status_report = status_report
        self.cancellation_barrier = cancellation_barrier
        self.relay = relay
        self.on_cancellations = on_cancellations  # acts on what a peer says has been cancelled
        settings = context.settings
        seams = context.runtime
        self.links = {
            peer.name: PeerLink(
                settings.name,
                peer.name,
                peer.host,
                peer.port,
                self.collect,
                seams.network,
                seams.clock,
            )
            for peer in settings.peers
        }
        self.listener = PeerListener(self.deliver, seams.network, seams.clock)
        self.status_sent_at: dict[str, float] = {}
        self.gossiped_revision: dict[str, int] = {}  # per peer: the watermark that it was told
        # Per peer: when a word of its that is in no form was last named in the log
        self.rejection_logged_at: dict[str, float] = {}
        self.gossip_sequence = 0

    def connected(self) -> list[str]:
        """The peers to which there is a connection."""
        return [name for name, link in self.links.items() if link.connected]

    def notify(self, *names: str | None) -> None:
        """There is something for these peers."""
        for name in names:
            if name is not None and name in self.links:
                self.links[name].notify()

    def collect(self, controller: str, generation: int) -> list[Message]:
        """What goes to a peer now."""
        out = self.routing.collect(controller, generation)
        shared, now = self.context, self.context.clock()
        status_due = now - self.status_sent_at.get(controller, -1e9) > STATUS_INTERVAL_S
        if status_due:
            self.status_sent_at[controller] = now
            out.append(
                ["n", shared.controller_index, 0, 0, True, self.peer_liveness.own_status(now), 0]
            )
        if status_due or self.gossiped_revision.get(controller, 0) < min(
            shared.cancelled_revision,
            max(shared.store_cache.revision, self.cancellation_barrier.informed_revision),
        ):
            # a message of its own, in the form of a board: a release that does not know it takes it for one of nobody's
            gossip = self.cancellation_barrier.gossip_for(
                controller, shared.store_cache.revision, now
            )
            self.gossiped_revision[controller] = gossip.known_revision
            self.gossip_sequence += 1
            out.append(
                [
                    "k",
                    shared.controller_index,
                    0,
                    0,
                    True,
                    encode_gossip(gossip),
                    self.gossip_sequence,
                ]
            )
        return (
            out + self.status_report.collect(controller, now) + self.relay.collect(controller, now)
        )

    def deliver(self, controller: str, batch: list[Message]) -> None:
        """A peer's messages."""
        changed = False
        for message in batch:
            if message[0] == "n":
                status = PeerStatus(*message[5])
                self.peer_liveness.record(controller, status)
                self.shard_roles.release_superseded(status.epochs, controller)
                self.routing.update_routes()
            elif message[0] == "k":
                self._receive_gossip(controller, message[5])
            elif message[0] in (
                relay_messages.CONNECTIVITY,
                relay_messages.REQUEST,
                relay_messages.RESPONSE,
            ):
                self.relay.deliver(controller, message)
            elif message[0] in ("v", "q", "a"):
                self.status_report.deliver(controller, message)
            elif self.routing.accept(message):
                changed = True
        if changed:
            self.context.wake_scheduling()

    def _receive_gossip(self, controller: str, value: object) -> None:
        """What a peer knows of cancellations; one that is in no form changes nothing."""
        now = self.context.clock()
        try:
            gossip = decode_gossip(value)
        except InvalidPeerMessageError as error:
            if now - self.rejection_logged_at.get(controller, -1e9) > REJECTED_LOG_INTERVAL_S:
                self.rejection_logged_at[controller] = now
                log.error("peer message rejected", peer=controller, field=error)
            return
        if named := self.cancellation_barrier.receive_gossip(controller, gossip, now):
            self.on_cancellations(named)
