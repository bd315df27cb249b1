"""Composes one controller process: creates its parts, connects them, and runs their loops.

`cli` creates a `Controller` and runs it. No other module imports this one: each part receives its
dependencies through its constructor.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.connectivity.relay_routes import RelayRoutes
from ploverhall.controller.agent_commands import AgentCommands
from ploverhall.controller.allocation_writer import AllocationWriter
from ploverhall.controller.archiver import Archiver
from ploverhall.controller.autoscaling_loop import AutoscalingLoop
from ploverhall.controller.cancellation_state import CancellationState
from ploverhall.controller.context import (
    STORE_CONNECTIONS,
    STORE_LIMIT_SHARE,
    ControllerContext,
    HeldShard,
)
from ploverhall.controller.controller_lease import ControllerLease
from ploverhall.controller.heartbeat_relay import HeartbeatRelay
from ploverhall.controller.heartbeat_requests import HeartbeatRequests
from ploverhall.controller.http_routes import HttpRoutes, is_heartbeat_request
from ploverhall.controller.image_writer import ImageWriter
from ploverhall.controller.job_requests import JobRequests
from ploverhall.controller.maintenance_requests import MaintenanceRequests
from ploverhall.controller.outbound import ExternalService
from ploverhall.controller.own_connectivity import OwnConnectivity
from ploverhall.controller.peer_links import PeerLinks
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.relay import Relay
from ploverhall.controller.routing import Routing
from ploverhall.controller.scheduling_loop import SchedulingLoop
from ploverhall.controller.shard_claims import ShardClaims
from ploverhall.controller.shard_roles import ShardRoles
from ploverhall.controller.shard_status import ShardStatus
from ploverhall.controller.status_report import StatusReport
from ploverhall.controller.step_timer import MeasuredStep
from ploverhall.controller.store_changes import StoreChanges
from ploverhall.controller.store_reader import StoreReader
from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.coordination.job_answers import JobAnswers
from ploverhall.log import raised_at
from ploverhall.protocol import relay_messages
from ploverhall.protocol.relay_messages import RelayRequest
from ploverhall.runtime import Runtime
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.settings import Settings
from ploverhall.storage.schema import AUTOSCALER_KEY
from ploverhall.transport.connection_limit import ConnectionLimiter, SocketLimits
from ploverhall.transport.http_server import Server

CLOUD_CONNECTIONS = 2  # idle connections to the cloud that are kept open
LOOP_RESTART_DELAY_S = 0.5


class Controller:
    """One controller process: creates its parts and handles events that concern several of them."""

    def __init__(self, settings: Settings, runtime: Runtime | None = None) -> None:
        """Create and connect the parts.

        `runtime` defaults to the real clock, randomness and network.
        """
        self.settings = settings
        self.context = ControllerContext(settings, runtime or Runtime())
        self.tasks: anyio.abc.TaskGroup
        self._compose_relay()
        self._compose_external_services()
        self._compose_agent_links()
        self._compose_coordination()
        self._compose_shard_claims()
        self._compose_store_writers()
        self._compose_status()
        self._compose_peer_links()
        self._compose_scheduling()
        self._compose_request_handlers()
        self._connect_relay()

    def _compose_relay(self) -> None:
        context = self.context
        self.peer_liveness = PeerLiveness(context)
        self.routing = Routing(context, self.peer_liveness)
        self.relay_routes = RelayRoutes([peer.name for peer in self.settings.peers])
        self.relay = Relay(
            context,
            self.peer_liveness,
            self.relay_routes,
            lambda name: self.peer_links.notify(name),
            self._is_connected,
            self._serve_relay,
        )

    def _compose_external_services(self) -> None:
        """Create the clients of the key-value store and the cloud, direct or relayed by a peer."""
        settings, context = self.settings, self.context
        self.store_service = ExternalService(
            context,
            self.relay,
            relay_messages.STORE,
            context.client(*settings.store, max_idle=STORE_CONNECTIONS),
            probe_target=f"/kv/{AUTOSCALER_KEY}",
            rate=settings.store_rps * STORE_LIMIT_SHARE / len(settings.controllers),
            refuses_with_503=True,
            repeatable=("/grants",),
        )
        context.store.caller = self.store_service
        self.cloud_service = ExternalService(
            context,
            self.relay,
            relay_messages.CLOUD,
            context.client(*settings.cloud, max_idle=CLOUD_CONNECTIONS),
            probe_target="/flavors",
            rate=settings.cloud_rps,
            refuses_with_503=False,
            repeatable=("/hosts",),
        )

    def _compose_agent_links(self) -> None:
        self.limiter = ConnectionLimiter(
            SocketLimits.of_platform(self.settings.max_sockets),
            is_heartbeat_request,
            stale_s=self.settings.lease_s,
        )
        self.agent_commands = AgentCommands(
            self.context, self.relay, self._probe_agent, self.limiter.outgoing_capacity
        )
        self.own_connectivity = OwnConnectivity(
            self.context,
            (self.store_service, self.cloud_service),
            self.agent_commands,
            self.relay.pending,
        )

    def _compose_coordination(self) -> None:
        """Create the lease, the roles, and the parts that decide on acknowledging cancellations."""
        settings, context = self.settings, self.context
        self.cancellation_barrier = CancellationBarrier(
            [peer.name for peer in settings.peers],
            settings.cancel_s,
            settings.lease_s,
            settings.options.cut_off_s,
            context.clock(),
            self.relay.pending.incarnation,
        )
        self.store_watch = StoreWatch(
            context,
            lambda: self.store_changes.on_store_changed(),
            lambda read_started_at: self.shard_roles.confirm_epochs(read_started_at),
        )
        self.shard_roles = ShardRoles(context, self.routing, self._start_shard_tasks)
        self.controller_lease = ControllerLease(
            context,
            self.store_watch,
            self.shard_roles,
            self.cancellation_barrier,
            all_peers_connected=lambda: len(self.peer_links.connected()) == len(settings.peers),
            on_granted=lambda: self.shard_claims.wake.set(),
        )
        self.cancellation_state = CancellationState(
            context,
            self.peer_liveness,
            self.store_watch,
            self.controller_lease,
            self.cancellation_barrier,
        )

    def _compose_shard_claims(self) -> None:
        """Create the parts that claim shards and that pass on store changes."""
        context = self.context
        self.shard_claims = ShardClaims(
            context,
            self.peer_liveness,
            self.shard_roles,
            self.controller_lease,
            self.cancellation_state,
            self.relay_routes,
            self.agent_commands,
        )
        self.store_changes = StoreChanges(
            context,
            self.routing,
            self.shard_roles,
            self.cancellation_barrier,
            self.cancellation_state,
            self.shard_claims,
            notify_all_peers=lambda: self.peer_links.notify(*self.peer_links.links),
        )

    def _compose_store_writers(self) -> None:
        context = self.context
        store_reader = StoreReader(context.store)
        self.allocation_writer = AllocationWriter(
            context,
            self.routing,
            store_reader,
            is_current=self.store_watch.is_current,
            on_store_changed=self.store_changes.on_store_changed,
            on_superseded=self._on_superseded,
        )
        self.image_writer = ImageWriter(context, store_reader)
        self.archiver = Archiver(context, may_archive=self.cancellation_state.may_archive)

    def _compose_status(self) -> None:
        self.shard_status = ShardStatus(
            self.context,
            self.peer_liveness,
            lambda: self.scheduling_loop.capacity_shortages(),
            self.own_connectivity.status,
        )
        self.status_report = StatusReport(
            self.context,
            self.shard_status,
            lambda: self.peer_links.connected(),
            lambda name: self.peer_links.notify(name),
        )

    def _compose_peer_links(self) -> None:
        self.peer_links = PeerLinks(
            self.context,
            self.peer_liveness,
            self.routing,
            self.shard_roles,
            self.status_report,
            self.cancellation_barrier,
            self.relay,
            self.store_changes.on_cancellations,
        )

    def _compose_scheduling(self) -> None:
        self.autoscaling_loop = AutoscalingLoop(
            self.context, self.routing, lambda: self.controller_lease.lease_id, self.cloud_service
        )
        self.scheduling_loop = SchedulingLoop(
            self.context,
            self.peer_liveness,
            self.routing,
            notify_peers=self.peer_links.notify,
            request_read=self.store_watch.request_read,
            on_stall=self._on_event_loop_stall,
            renewal_grant=self.cancellation_state.renewal_grant,
            send_direct_command=self._send_direct_command,
        )

    def _compose_request_handlers(self) -> None:
        """Create the handlers of requests from users, operators and agents."""
        context = self.context
        answers = JobAnswers(
            context.store_cache, self.cancellation_state.may_acknowledge, self.routing.task_counts
        )
        self.job_requests = JobRequests(
            context, self.store_watch, answers, self.store_changes.on_store_changed
        )
        self.heartbeat_requests = HeartbeatRequests(
            context,
            self.peer_liveness,
            self.routing,
            self.cancellation_state,
            self.shard_claims,
            self.relay_routes,
            HeartbeatRelay(context, self.relay_routes, self.relay),
            self.agent_commands,
        )
        maintenance_requests = MaintenanceRequests(
            context, self.store_watch, self.status_report, self.store_changes.on_store_changed
        )
        self.http_routes = HttpRoutes(
            context,
            self.peer_liveness,
            self.cancellation_state,
            self.status_report,
            self.job_requests,
            self.heartbeat_requests,
            maintenance_requests,
        )

    def _connect_relay(self) -> None:
        """Connect the relay to the state that it reports and the handlers of relayed requests."""
        self.relay.own_connectivity = self.own_connectivity.gossip
        self.relay.scheduling_lag = lambda: self.scheduling_loop.last_step_lag_s
        self.relay.handlers = {
            relay_messages.STORE: self.store_service.serve_relayed,
            relay_messages.CLOUD: self.cloud_service.serve_relayed,
            relay_messages.HEARTBEAT: self.heartbeat_requests.serve_relayed,
            relay_messages.AGENT_COMMAND: self.agent_commands.serve_relayed,
        }

    async def run(self) -> None:
        """Serve and run all loops until cancelled."""
        settings = self.settings
        async with anyio.create_task_group() as task_group:
            self.tasks = task_group
            task_group.start_soon(self._http_server().run, *settings.bind)
            task_group.start_soon(self.peer_links.listener.run, *settings.peer_listen)
            for link in self.peer_links.links.values():
                task_group.start_soon(link.run)
            for loop in self._loops():
                task_group.start_soon(self._run_restarting, loop)
            log.info(
                "started",
                controller=settings.name,
                zone=settings.zone,
                shards=len(settings.controllers),
            )

    def _http_server(self) -> Server:
        runtime = self.context.runtime
        return Server(
            self.http_routes.handle,
            self.limiter.limits.accepted,
            network=runtime.network,
            clock=runtime.clock,
            limiter=self.limiter,
        )

    def _loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops that run for the lifetime of the process."""
        return [
            self.controller_lease.lease_loop,
            self.store_watch.watch_loop,
            self.store_watch.fresh_read_loop,
            self.shard_claims.shard_loop,
            self.scheduling_loop.loop,
            self.autoscaling_loop.loop,
            self.status_report.loop,
            self.archiver.loop,
            self.store_service.loop,
            self.cloud_service.loop,
            self.agent_commands.probe_loop,
        ]

    async def _run_restarting(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop and restart it after any exception, so that one fault doesn't end the others.

        Waits `LOOP_RESTART_DELAY_S` after an exception before the restart.
        """
        while True:
            try:
                await loop()
            except Exception as error:
                log.error(
                    "loop failed",
                    loop=getattr(loop, "__qualname__", "?"),
                    error=repr(error),
                    at=raised_at(error),
                )
                await anyio.sleep(LOOP_RESTART_DELAY_S)

    # Tasks that parts start

    def _start_shard_tasks(self, held: HeldShard) -> None:
        """Start the writers of an acquired shard's allocations and image index."""
        self.tasks.start_soon(self.allocation_writer.run, held)
        self.tasks.start_soon(self.image_writer.run, held)

    def _send_direct_command(
        self, owner: ShardOwner, machine: Machine, body: dict[str, object]
    ) -> None:
        self.tasks.start_soon(self.agent_commands.send, owner, machine, body)

    def _probe_agent(self, name: str, addr: str) -> None:
        self.tasks.start_soon(self.agent_commands.probe, name, addr)

    def _serve_relay(self, peer: str, request: RelayRequest) -> None:
        self.tasks.start_soon(self.relay.serve, peer, request)

    # Connectivity

    def _is_connected(self, name: str) -> bool:
        return self.peer_links.links[name].connected

    # Events that concern several parts

    def _on_superseded(self, shard: int) -> None:
        """Release a shard after a write failed because its key has changed."""
        self.shard_roles.release(shard, "compare-and-swap failed")
        self.shard_claims.wake.set()

    def _on_event_loop_stall(
        self, seconds: float, now: float, longest_step: MeasuredStep | None
    ) -> None:
        """Notify the roles and the autoscaling loop of a stall, and request a fresh read."""
        self.shard_roles.on_event_loop_stall(seconds, now, longest_step)
        self.autoscaling_loop.on_event_loop_stall()
        self.store_watch.request_read()
