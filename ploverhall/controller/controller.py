"""One controller: the only place that knows all its parts, and gives each what it uses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.connectivity.relay_routes import RelayRoutes
from ploverhall.controller.agent_commands import AgentCommands
from ploverhall.controller.autoscaling_loop import AutoscalingLoop
from ploverhall.controller.context import STORE_LIMIT_SHARE, ControllerContext, HeldShard
from ploverhall.controller.heartbeat_requests import HeartbeatRequests
from ploverhall.controller.http_routes import HttpRoutes, is_report
from ploverhall.controller.job_requests import JobRequests
from ploverhall.controller.maintenance_requests import MaintenanceRequests
from ploverhall.controller.outbound import OutsideService
from ploverhall.controller.peer_links import PeerLinks
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.relay import Relay
from ploverhall.controller.routing import Routing
from ploverhall.controller.scheduling_loop import SchedulingLoop
from ploverhall.controller.shard_leases import ShardLeases
from ploverhall.controller.shard_roles import ShardRoles
from ploverhall.controller.shard_status import ShardStatus
from ploverhall.controller.status_report import StatusReport
from ploverhall.controller.store_watch import StoreWatch
from ploverhall.controller.store_writing import StoreWriting
from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.coordination.job_answers import JobAnswers
from ploverhall.log import raised_at
from ploverhall.protocol import relay_messages
from ploverhall.protocol.jobs import CANCELLED
from ploverhall.protocol.peer_messages import Cancellation
from ploverhall.protocol.relay_messages import RelayRequest
from ploverhall.runtime import Runtime
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.settings import Settings
from ploverhall.storage.store_cache import AUTOSCALER_KEY, JOB_PREFIX, end_record
from ploverhall.transport.connection_limit import ConnectionLimiter, SocketLimits
from ploverhall.transport.http_server import Server


class Controller:
    """The process's parts and loops."""

    def __init__(self, settings: Settings, runtime: Runtime | None = None) -> None:
        settings, shared = settings, ControllerContext(settings, runtime or Runtime())
        self.settings = settings
        self.context = shared
        self.tasks: anyio.abc.TaskGroup
        # Jobs whose records can't be read, and that the log has named
        self.logged_unreadable_jobs: set[str] = set()
        self.peer_liveness = PeerLiveness(shared)
        self.routing = Routing(shared, self.peer_liveness)
        self.relay_routes = RelayRoutes([peer.name for peer in settings.peers])
        self.relay = Relay(
            shared,
            self.peer_liveness,
            self.relay_routes,
            lambda name: self.peer_links.notify(name),
            self._is_connected,
            self._serve_relay,
        )
        self.store_service = OutsideService(
            shared,
            self.relay,
            relay_messages.STORE,
            shared.client(*settings.store, keep=12),
            probe_target=f"/kv/{AUTOSCALER_KEY}",
            rate=settings.store_rps * STORE_LIMIT_SHARE / len(settings.controllers),
            refuses_with_503=True,
            repeatable=("/grants",),
        )
        shared.store.caller = self.store_service
        self.cloud_service = OutsideService(
            shared,
            self.relay,
            relay_messages.CLOUD,
            shared.client(*settings.cloud, keep=2),
            probe_target="/flavors",
            rate=settings.cloud_rps,
            refuses_with_503=False,
            repeatable=("/hosts",),
        )
        self.limiter = ConnectionLimiter(
            SocketLimits.of_platform(settings.max_sockets), is_report, stale_s=settings.lease_s
        )
        self.agent_commands = AgentCommands(
            shared, self.relay, self._probe_agent, self.limiter.room_for_outgoing
        )
        self.cancellation_barrier = CancellationBarrier(
            [peer.name for peer in settings.peers],
            settings.cancel_s,
            settings.lease_s,
            settings.options.cut_off_s,
            shared.clock(),
            self.relay.pending.incarnation,
        )
        self.store_watch = StoreWatch(
            shared, self.on_store_changed, lambda begun: self.shard_roles.confirm_epochs(begun)
        )
        self.shard_roles = ShardRoles(shared, self.routing, self._start_shard_tasks)
        self.shard_leases = ShardLeases(
            shared,
            self.peer_liveness,
            self.store_watch,
            self.shard_roles,
            self.cancellation_barrier,
            self.relay_routes,
            self.agent_commands,
            lambda: len(self.peer_links.connected()) == len(settings.peers),
        )
        self.store_writing = StoreWriting(
            shared,
            self.routing,
            is_current=self.store_watch.is_current,
            on_store_changed=self.on_store_changed,
            may_archive=self.shard_leases.may_archive,
            on_superseded=self._on_superseded,
        )
        self.autoscaling_loop = AutoscalingLoop(
            shared, self.routing, lambda: self.shard_leases.lease_id, self.cloud_service
        )
        self.shard_status = ShardStatus(
            shared,
            self.peer_liveness,
            lambda: self.scheduling_loop.capacity_shortages(),
            self._connectivity_status,
        )
        self.status_report = StatusReport(
            shared,
            self.shard_status,
            lambda: self.peer_links.connected(),
            lambda name: self.peer_links.notify(name),
        )
        self.peer_links = PeerLinks(
            shared,
            self.peer_liveness,
            self.routing,
            self.shard_roles,
            self.status_report,
            self.cancellation_barrier,
            self.relay,
            self._on_cancellations,
        )
        self.scheduling_loop = SchedulingLoop(
            shared,
            self.peer_liveness,
            self.routing,
            notify_peers=self.peer_links.notify,
            request_read=self.store_watch.request_read,
            on_stall=self._on_event_loop_stall,
            renewal_grant=self.shard_leases.renewal_grant,
            send_direct_command=self._send_direct_command,
        )
        answers = JobAnswers(
            shared.store_cache, self.shard_leases.may_acknowledge, self.routing.task_counts
        )
        self.job_requests = JobRequests(shared, self.store_watch, answers, self.on_store_changed)
        self.heartbeat_requests = HeartbeatRequests(
            shared,
            self.peer_liveness,
            self.routing,
            self.shard_leases,
            self.relay_routes,
            self.relay,
            self.agent_commands,
        )
        self.http_routes = HttpRoutes(
            shared,
            self.peer_liveness,
            self.shard_leases,
            self.status_report,
            self.job_requests,
            self.heartbeat_requests,
            MaintenanceRequests(
                shared, self.store_watch, self.status_report, self.on_store_changed
            ),
        )
        self.relay.own_connectivity, self.relay.scheduling_lag = (
            self._connectivity_gossip,
            lambda: self.scheduling_loop.last_step_lag_s,
        )
        self.relay.handlers = {
            relay_messages.STORE: self.store_service.serve_relayed,
            relay_messages.CLOUD: self.cloud_service.serve_relayed,
            relay_messages.HEARTBEAT: self.heartbeat_requests.serve_relayed,
            relay_messages.AGENT_COMMAND: self.agent_commands.serve_relayed,
        }

    async def run(self) -> None:
        """Serve until cancelled."""
        settings = self.settings
        seams = self.context.runtime
        async with anyio.create_task_group() as task_group:
            self.tasks = task_group
            cap = self.limiter.limits.accepted
            server = Server(
                self.http_routes.handle,
                cap,
                network=seams.network,
                clock=seams.clock,
                limiter=self.limiter,
            )
            task_group.start_soon(server.run, *settings.bind)
            task_group.start_soon(self.peer_links.listener.run, *settings.peer_listen)
            for link in self.peer_links.links.values():
                task_group.start_soon(link.run)
            for loop in (
                self.shard_leases.lease_loop,
                self.store_watch.watch_loop,
                self.store_watch.fresh_read_loop,
                self.shard_leases.shard_loop,
                self.scheduling_loop.loop,
                self.autoscaling_loop.loop,
                self.status_report.loop,
                self.store_writing.archive_loop,
                self.store_service.loop,
                self.cloud_service.loop,
                self.agent_commands.probe_loop,
            ):
                task_group.start_soon(self._run_restarting, loop)
            log.info(
                "started", node=settings.name, zone=settings.zone, shards=len(settings.controllers)
            )

    async def _run_restarting(self, loop: Callable[[], Awaitable[None]]) -> None:
        """A fault in one loop must not end the others; it is logged and the loop begins again."""
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
                await anyio.sleep(0.5)

    def _start_shard_tasks(self, held: HeldShard) -> None:
        """A shard has just been taken: read its cells and images, then write."""
        self.tasks.start_soon(self.store_writing.run_source, held)
        self.tasks.start_soon(self.store_writing.run_image_index, held)

    def _on_superseded(self, shard: int) -> None:
        """A write was refused because another controller holds the shard."""
        self.shard_roles.release(shard, "write refused")
        self.shard_leases.wake.set()

    def _send_direct_command(
        self, owner: ShardOwner, machine: Machine, body: dict[str, Any]
    ) -> None:
        self.tasks.start_soon(self.agent_commands.send, owner, machine, body)

    def _probe_agent(self, name: str, addr: str) -> None:
        self.tasks.start_soon(self.agent_commands.probe, name, addr)

    def _on_cancellations(self, named: list[Cancellation]) -> None:
        """Another controller has named jobs that are cancelled: they are over here, too, before the store has been read."""
        replica = self.context.store_cache
        new = [
            cancellation
            for cancellation in named
            if cancellation.revision > replica.revision
            and cancellation.job_id not in replica.ended_jobs
        ]
        for cancellation in new:
            replica.apply_own_write(
                JOB_PREFIX + cancellation.job_id, end_record(CANCELLED, 0), cancellation.revision
            )
        if new:
            log.info(
                "cancelled jobs named by another controller", jobs=len(new), to=new[-1].revision
            )
            self.on_store_changed()

    def _is_connected(self, name: str) -> bool:
        return self.peer_links.links[name].connected

    def _serve_relay(self, peer: str, request: RelayRequest) -> None:
        self.tasks.start_soon(self.relay.serve, peer, request)

    def _connectivity_status(self) -> dict[str, Any]:
        """What people are told of this controller's links."""
        through = {
            service.service: via
            for service in (self.store_service, self.cloud_service)
            if (via := service.current_relay()) is not None
        }
        calls = self.relay.pending
        return {
            "through": through,
            "away": len(self.agent_commands.failback.relayed_agents),
            "carried": calls.relayed_count,
            "not_carried": calls.refused_count,
        }

    def _connectivity_gossip(self) -> dict[str, Any]:
        """What this controller tells the others of its links."""
        wires = (self.store_service, self.cloud_service)
        through = {
            service.service: via
            for service in wires
            if (via := service.current_relay()) is not None
        }
        return {
            "good": [service.service for service in wires if service.health.healthy],
            "through": through,
            "cut": self.agent_commands.unreachable_shards(self.context.clock()),
        }

    def _on_event_loop_stall(self, seconds: float, now: float) -> None:
        self.shard_roles.on_event_loop_stall(seconds, now)
        self.autoscaling_loop.on_event_loop_stall()
        self.store_watch.request_read()

    def on_store_changed(self) -> None:
        """The copy of the store has changed: hand on what is new."""
        shared, now = self.context, self.context.clock()
        ended = shared.store_cache.ended_jobs
        changed = shared.store_cache.changed_jobs
        self.shard_leases.update_peers(now)
        cancelled = 0
        for job_id in changed:
            if (ended_job := ended.get(job_id)) is not None and ended_job.outcome == CANCELLED:
                self.cancellation_barrier.record_cancellation(job_id, ended_job.version)
                log.debug(
                    "withdrawn", job=job_id
                )  # whoever wrote it may not know that it has landed
                cancelled = max(cancelled, ended_job.version)
        if cancelled > shared.cancelled_revision:
            # The users' answers wait for everybody's word that it has been read
            shared.cancelled_revision = cancelled
            self.peer_links.notify(*self.peer_links.links)
        for other_id in sorted(shared.store_cache.unreadable_jobs - self.logged_unreadable_jobs):
            self.logged_unreadable_jobs.add(other_id)
            log.error("job's record can't be read", job=other_id)
        self.shard_roles.on_store_changed(now)
        self.routing.update_routes()
        self.shard_leases.wake.set()
        shared.wake_scheduling()
