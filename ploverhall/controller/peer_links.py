"""Send and receive messages on the links to the other controllers.

`PeerLinks` owns one outgoing link to each peer, and the listener for the links from the peers. The
`Controller` starts them. A component that has messages for a peer calls `notify`; when the link is
ready to send, `collect` gathers the messages from all components.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ploverhall import log
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.relay import Relay
from ploverhall.controller.routing import Routing
from ploverhall.controller.shard_roles import ShardRoles
from ploverhall.controller.status_report import StatusReport
from ploverhall.coordination import state_channel
from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.coordination.state_channel import Message
from ploverhall.errors import InvalidPeerMessageError
from ploverhall.protocol import peer_messages, relay_messages
from ploverhall.protocol.peer_messages import Cancellation, PeerStatus, decode_gossip, encode_gossip
from ploverhall.runtime import NEVER
from ploverhall.transport.peer_stream import PeerLink, PeerListener

STATUS_INTERVAL_S = 0.5
REJECTED_LOG_INTERVAL_S = 60.0  # at most one log line per peer in this time

RELAY_KINDS = (relay_messages.CONNECTIVITY, relay_messages.REQUEST, relay_messages.RESPONSE)


class PeerLinks:
    """Sends and receives all messages between this controller and its peers."""

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
        # Applies cancellations that a peer reports
        self.on_cancellations = on_cancellations
        settings = context.settings
        runtime = context.runtime
        self.links = {
            peer.name: PeerLink(
                settings.name,
                peer.name,
                peer.host,
                peer.port,
                self.collect,
                runtime.network,
                runtime.clock,
            )
            for peer in settings.peers
        }
        self.listener = PeerListener(self.deliver, runtime.network, runtime.clock)
        # By peer: times of the steady clock (seconds)
        self.status_sent_at: dict[str, float] = {}
        self.rejection_logged_at: dict[str, float] = {}
        # By peer: the revision up to which all cancellations have been sent to it
        self.gossiped_revision: dict[str, int] = {}
        self.gossip_sequence = 0

    def connected(self) -> list[str]:
        """Return the names of the peers to which there is a connection."""
        return [name for name, link in self.links.items() if link.connected]

    def notify(self, *names: str | None) -> None:
        """Wake the links to these peers to send messages. None and unknown names are ignored."""
        for name in names:
            if name is not None and name in self.links:
                self.links[name].notify()

    # -- sending -------------------------------------------------------------------------------

    def collect(self, controller: str, generation: int) -> list[Message]:
        """Return the messages to send to a peer on its connection number `generation`."""
        with self.context.step_timer.measure("collecting peer messages"):
            messages = self.routing.collect(controller, generation)
        now = self.context.clock()
        status_due = now - self.status_sent_at.get(controller, NEVER) > STATUS_INTERVAL_S
        if status_due:
            self.status_sent_at[controller] = now
            own_status = self.peer_liveness.own_status(now)
            messages.append(
                state_channel.peer_message(
                    peer_messages.PEER_STATUS, self.context.controller_index, own_status
                )
            )
        if status_due or self._gossip_due(controller):
            messages.append(self._gossip_message(controller, now))
        return (
            messages
            + self.status_report.collect(controller, now)
            + self.relay.collect(controller, now)
        )

    def _gossip_due(self, controller: str) -> bool:
        """Return whether there are known cancellations that have not been sent to this peer."""
        known_revision = max(
            self.context.store_cache.revision, self.cancellation_barrier.informed_revision
        )
        return self.gossiped_revision.get(controller, 0) < min(
            self.context.cancelled_revision, known_revision
        )

    def _gossip_message(self, controller: str, now: float) -> Message:
        """Return a message with the cancellations that this controller knows, for one peer."""
        gossip = self.cancellation_barrier.gossip_for(
            controller, self.context.store_cache.revision, now
        )
        self.gossiped_revision[controller] = gossip.known_revision
        self.gossip_sequence += 1
        return state_channel.peer_message(
            peer_messages.CANCELLATION_GOSSIP,
            self.context.controller_index,
            encode_gossip(gossip),
            self.gossip_sequence,
        )

    # -- receiving -----------------------------------------------------------------------------

    def deliver(self, controller: str, batch: list[Message]) -> None:
        """Pass a peer's messages to the components that handle them."""
        with self.context.step_timer.measure("peer messages"):
            channels_changed = self._deliver_all(controller, batch)
        if channels_changed:
            self.context.wake_scheduling()

    def _deliver_all(self, controller: str, batch: list[Message]) -> bool:
        """Handle a peer's messages; return whether any of them has changed a state channel."""
        channels_changed = False
        for message in batch:
            kind = message[0]
            if kind == peer_messages.PEER_STATUS:
                self._receive_status(controller, message[5])
            elif kind == peer_messages.CANCELLATION_GOSSIP:
                self._receive_gossip(controller, message[5])
            elif kind in RELAY_KINDS:
                self.relay.deliver(controller, message)
            elif kind in peer_messages.STATUS_KINDS:
                self.status_report.deliver(controller, message)
            elif self.routing.accept(message):
                channels_changed = True
        return channels_changed

    def _receive_status(self, controller: str, value: Any) -> None:
        """Record a peer's status; release shards that it holds at a later epoch; update routes."""
        status = PeerStatus(*value)
        self.peer_liveness.record(controller, status)
        self.shard_roles.release_superseded(status.epochs, controller)
        self.routing.update_routes()

    def _receive_gossip(self, controller: str, value: object) -> None:
        """Apply the cancellations that a peer knows; a malformed message is logged and ignored."""
        now = self.context.clock()
        try:
            gossip = decode_gossip(value)
        except InvalidPeerMessageError as error:
            self._log_rejection(controller, error, now)
            return
        if named := self.cancellation_barrier.receive_gossip(controller, gossip, now):
            self.on_cancellations(named)

    def _log_rejection(self, controller: str, error: InvalidPeerMessageError, now: float) -> None:
        """Log a malformed message.

        Logged rarely for each peer, as a peer of another release sends malformed messages all the
        time.
        """
        if now - self.rejection_logged_at.get(controller, NEVER) > REJECTED_LOG_INTERVAL_S:
            self.rejection_logged_at[controller] = now
            log.error("peer message rejected", peer=controller, field=error)
