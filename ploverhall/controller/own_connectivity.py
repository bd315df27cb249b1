"""Reports this controller's own connectivity to its peers and in the status report.

`relay` sends `gossip` to the peers, which choose their relays by it (`connectivity.relay_routes`);
`shard_status` shows `status` to operators.
"""

from __future__ import annotations

from ploverhall.connectivity import relay_routes
from ploverhall.connectivity.pending_relays import PendingRelays
from ploverhall.controller.agent_commands import AgentCommands
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.outbound import ExternalService
from ploverhall.controller.status_fields import ConnectivityFields


class OwnConnectivity:
    """Reports this controller's connectivity to services and agents, directly or through peers."""

    def __init__(
        self,
        context: ControllerContext,
        services: tuple[ExternalService, ...],
        agent_commands: AgentCommands,
        pending_relays: PendingRelays,
    ) -> None:
        self.context = context
        self.services = services
        self.agent_commands = agent_commands
        self.pending_relays = pending_relays

    def _service_relays(self) -> dict[str, str]:
        """Return the peer through which each service is reached, by service.

        Services that are reached directly are left out.
        """
        return {
            service.service: relay_peer
            for service in self.services
            if (relay_peer := service.current_relay()) is not None
        }

    def status(self) -> ConnectivityFields:
        """Return this controller's connectivity for the status report."""
        return {
            "through": self._service_relays(),
            "away": len(self.agent_commands.failback.relayed_agents),
            "carried": self.pending_relays.relayed_count,
            "not_carried": self.pending_relays.refused_count,
        }

    def gossip(self) -> dict[str, object]:
        """Return this controller's connectivity in the form that its peers receive."""
        relays = self._service_relays()
        return {
            relay_routes.REACHABLE_SERVICES_FIELD: [
                service.service for service in self.services if service.health.healthy
            ],
            relay_routes.RELAYS_IN_USE_FIELD: relays,
            relay_routes.UNREACHABLE_SHARDS_FIELD: self.agent_commands.unreachable_shards(
                self.context.clock()
            ),
        }
