"""One controller: the only place that knows all its parts, and gives each what it uses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.connectivity.relay_routes import Ways
from ploverhall.controller.agent_commands import Workers
from ploverhall.controller.autoscaling_loop import Renting
from ploverhall.controller.context import SHARE, Held, Shared
from ploverhall.controller.heartbeat_requests import Reports
from ploverhall.controller.http_routes import Requests, is_report
from ploverhall.controller.job_requests import Users
from ploverhall.controller.maintenance_requests import Upkeep
from ploverhall.controller.outbound import Wire
from ploverhall.controller.peer_links import Links
from ploverhall.controller.peer_liveness import Hearing
from ploverhall.controller.relay import Carrying
from ploverhall.controller.routing import Routing
from ploverhall.controller.scheduling_loop import Engine
from ploverhall.controller.shard_leases import Membership
from ploverhall.controller.shard_roles import Roles
from ploverhall.controller.shard_status import View
from ploverhall.controller.status_report import Telling
from ploverhall.controller.store_watch import Following
from ploverhall.controller.store_writing import Writing
from ploverhall.coordination.cancellation_barrier import Cancellations
from ploverhall.coordination.job_answers import Answers
from ploverhall.log import where
from ploverhall.protocol import relay_messages
from ploverhall.protocol.jobs import WITHDRAWN
from ploverhall.protocol.peer_messages import Cancelled
from ploverhall.protocol.relay_messages import Question
from ploverhall.runtime import Seams
from ploverhall.scheduling.inventory import Machine
from ploverhall.scheduling.shard_owner import Owner
from ploverhall.settings import Settings
from ploverhall.storage.store_cache import JOB, RENTER, end_record
from ploverhall.transport.connection_limit import ConnectionLimiter, SocketLimits
from ploverhall.transport.http import Server


class Node:
    """The process's parts and loops."""

    def __init__(self, settings: Settings, seams: Seams | None = None) -> None:
        s, shared = settings, Shared(settings, seams or Seams())
        self.settings, self.shared = s, shared
        self.tasks: anyio.abc.TaskGroup
        self.named: set[str] = set()  # jobs whose records can't be read, and that the log has named
        self.hearing = Hearing(shared)
        self.routing = Routing(shared, self.hearing)
        self.ways = Ways([p.name for p in s.peers])
        self.carrying = Carrying(
            shared,
            self.hearing,
            self.ways,
            lambda name: self.links.poke(name),
            self._up,
            self._serve,
        )
        self.state = Wire(
            shared,
            self.carrying,
            relay_messages.STATE,
            shared.client(*s.state, keep=12),
            probe=f"/kv/{RENTER}",
            rate=s.state_rps * SHARE / len(s.nodes),
            refusals=True,
            repeatable=("/grants",),
        )
        shared.store.caller = self.state
        self.cloud = Wire(
            shared,
            self.carrying,
            relay_messages.CLOUD,
            shared.client(*s.cloud, keep=2),
            probe="/flavors",
            rate=s.cloud_rps,
            refusals=False,
            repeatable=("/hosts",),
        )
        self.limiter = ConnectionLimiter(
            SocketLimits.of_platform(s.max_sockets), is_report, stale_s=s.lease_s
        )
        self.workers = Workers(shared, self.carrying, self._probe, self.limiter.room_for_outgoing)
        self.cancellations = Cancellations(
            [p.name for p in s.peers],
            s.cancel_s,
            s.lease_s,
            s.options.cut_off_s,
            shared.clock(),
            self.carrying.calls.life,
        )
        self.following = Following(shared, self.news, lambda begun: self.roles.proved(begun))
        self.roles = Roles(shared, self.routing, self._begin)
        self.membership = Membership(
            shared,
            self.hearing,
            self.following,
            self.roles,
            self.cancellations,
            self.ways,
            self.workers,
            lambda: len(self.links.up()) == len(s.peers),
        )
        self.writing = Writing(
            shared,
            self.routing,
            current=self.following.current,
            news=self.news,
            may_archive=self.membership.may_archive,
            deposed=self._deposed,
        )
        self.renting = Renting(shared, self.routing, lambda: self.membership.lease, self.cloud)
        self.view = View(shared, self.hearing, lambda: self.engine.short(), self._reach_view)
        self.telling = Telling(
            shared, self.view, lambda: self.links.up(), lambda name: self.links.poke(name)
        )
        self.links = Links(
            shared,
            self.hearing,
            self.routing,
            self.roles,
            self.telling,
            self.cancellations,
            self.carrying,
            self._cancelled,
        )
        self.engine = Engine(
            shared,
            self.hearing,
            self.routing,
            poke=self.links.poke,
            ask=self.following.ask,
            stood_still=self._stood_still,
            right=self.membership.right,
            direct=self._direct,
        )
        answers = Answers(shared.replica, self.membership.may_tell, self.routing.progress)
        self.users = Users(shared, self.following, answers, self.news)
        self.reports = Reports(
            shared,
            self.hearing,
            self.routing,
            self.membership,
            self.ways,
            self.carrying,
            self.workers,
        )
        self.requests = Requests(
            shared,
            self.hearing,
            self.membership,
            self.telling,
            self.users,
            self.reports,
            Upkeep(shared, self.following, self.telling, self.news),
        )
        self.carrying.reached, self.carrying.late = self._reached, lambda: self.engine.late
        self.carrying.handlers = {
            relay_messages.STATE: self.state.carried,
            relay_messages.CLOUD: self.cloud.carried,
            relay_messages.REPORT: self.reports.carried,
            relay_messages.DO: self.workers.carried,
        }

    async def run(self) -> None:
        """Serve until cancelled."""
        s, seams = self.settings, self.shared.seams
        async with anyio.create_task_group() as tg:
            self.tasks = tg
            cap = self.limiter.limits.accepted
            server = Server(
                self.requests.handle, cap, net=seams.net, clock=seams.clock, limiter=self.limiter
            )
            tg.start_soon(server.run, *s.bind)
            tg.start_soon(self.links.listener.run, *s.peer_listen)
            for link in self.links.links.values():
                tg.start_soon(link.run)
            for loop in (
                self.membership.lease_loop,
                self.following.watch_loop,
                self.following.prove_loop,
                self.membership.shard_loop,
                self.engine.loop,
                self.renting.loop,
                self.telling.loop,
                self.writing.archive_loop,
                self.state.loop,
                self.cloud.loop,
                self.workers.probe_loop,
            ):
                tg.start_soon(self._guarded, loop)
            log.info("started", node=s.name, zone=s.zone, shards=len(s.nodes))

    async def _guarded(self, loop: Callable[[], Awaitable[None]]) -> None:
        """A fault in one loop must not end the others; it is logged and the loop begins again."""
        while True:
            try:
                await loop()
            except Exception as e:
                log.error(
                    "loop failed",
                    loop=getattr(loop, "__qualname__", "?"),
                    error=repr(e),
                    at=where(e),
                )
                await anyio.sleep(0.5)

    def _begin(self, held: Held) -> None:
        """A shard has just been taken: read its cells and images, then write."""
        self.tasks.start_soon(self.writing.source, held)
        self.tasks.start_soon(self.writing.images, held)

    def _deposed(self, shard: int) -> None:
        """A write was refused because another controller holds the shard."""
        self.roles.lose(shard, "write refused")
        self.membership.shard_wake.set()

    def _direct(self, owner: Owner, m: Machine, body: dict[str, Any]) -> None:
        self.tasks.start_soon(self.workers.send, owner, m, body)

    def _probe(self, name: str, addr: str) -> None:
        self.tasks.start_soon(self.workers.probe, name, addr)

    def _cancelled(self, named: list[Cancelled]) -> None:
        """Another controller has named jobs that are cancelled: they are over here, too, before the store has been read."""
        replica = self.shared.replica
        new = [c for c in named if c.version > replica.rev and c.job not in replica.ended]
        for c in new:
            replica.put_own(JOB + c.job, end_record(WITHDRAWN, 0), c.version)
        if new:
            log.info(
                "cancelled jobs named by another controller", jobs=len(new), to=new[-1].version
            )
            self.news()

    def _up(self, name: str) -> bool:
        return self.links.links[name].up

    def _serve(self, by: str, q: Question) -> None:
        self.tasks.start_soon(self.carrying.serve, by, q)

    def _reach_view(self) -> dict[str, Any]:
        """What people are told of this controller's links."""
        through = {w.service: via for w in (self.state, self.cloud) if (via := w.way()) is not None}
        calls = self.carrying.calls
        return {
            "through": through,
            "away": len(self.workers.homing.away),
            "carried": calls.carried,
            "not_carried": calls.refused,
        }

    def _reached(self) -> dict[str, Any]:
        """What this controller tells the others of its links."""
        wires = (self.state, self.cloud)
        through = {w.service: via for w in wires if (via := w.way()) is not None}
        return {
            "good": [w.service for w in wires if w.gauge.good],
            "through": through,
            "cut": self.workers.cut(self.shared.clock()),
        }

    def _stood_still(self, s: float, now: float) -> None:
        self.roles.stood_still(s, now)
        self.renting.stood_still()
        self.following.ask()

    def news(self) -> None:
        """The copy of the store has changed: hand on what is new."""
        shared, now = self.shared, self.shared.clock()
        ended, changed = shared.replica.ended, shared.replica.changed_jobs
        self.membership.notice(now)
        cancelled = 0
        for j in changed:
            if (e := ended.get(j)) is not None and e.how == WITHDRAWN:
                self.cancellations.note(j, e.version)
                log.debug("withdrawn", job=j)  # whoever wrote it may not know that it has landed
                cancelled = max(cancelled, e.version)
        if cancelled > shared.cancelled_rev:
            shared.cancelled_rev = (
                cancelled  # the users' answers wait for everybody's word that it has been read
            )
            self.links.poke(*self.links.links)
        for jid in sorted(shared.replica.unreadable - self.named):
            self.named.add(jid)
            log.error("job's record can't be read", job=jid)
        self.roles.changed(now)
        self.routing.route()
        self.membership.shard_wake.set()
        shared.poke()
