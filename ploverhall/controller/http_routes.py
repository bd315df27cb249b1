"""Where a request of users, workers, operators or the load balancer goes."""

from __future__ import annotations

from ploverhall import log
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.heartbeat_requests import HeartbeatRequests
from ploverhall.controller.job_requests import JobRequests
from ploverhall.controller.maintenance_requests import MaintenanceRequests
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.shard_leases import ShardLeases
from ploverhall.controller.status_report import StatusReport
from ploverhall.coordination.job_answers import JobStatus, Unavailable
from ploverhall.log import raised_at
from ploverhall.protocol import jobs
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply

REPORT_PATH = "/v1/report"
STORE_ANSWER_MAX_AGE_S = 2.5  # the state service's last answer, by whichever way, is no older


def is_report(request: Request) -> bool:
    """Whether a request is a worker's: its agent keeps the connection for the next report."""
    return request.path == REPORT_PATH


class HttpRoutes:
    """One controller's front door."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        shard_leases: ShardLeases,
        status_report: StatusReport,
        job_requests: JobRequests,
        heartbeat_requests: HeartbeatRequests,
        maintenance_requests: MaintenanceRequests,
    ) -> None:
        self.context = context
        self.peer_liveness = peer_liveness
        self.shard_leases = shard_leases
        self.status_report = status_report
        self.job_requests = job_requests
        self.heartbeat_requests = heartbeat_requests
        self.maintenance_requests = maintenance_requests

    async def handle(self, request: Request) -> Reply:
        """Route one request."""
        try:
            if request.path == REPORT_PATH:
                return (
                    await self.heartbeat_requests.receive(request)
                    if request.method == "POST"
                    else Reply(405, {"error": "method"})
                )
            if request.path == "/healthz":
                return Reply(200, {"ok": True}) if self.healthy() else Reply(503, {"ok": False})
            if request.path == "/api/jobs":
                return (
                    await self.job_requests.submit(request.body)
                    if request.method == "POST"
                    else Reply(405, {"error": "method"})
                )
            if request.path.startswith("/api/jobs/"):
                job_id, _, verb = request.path[len("/api/jobs/") :].partition("/")
                if request.method == "GET" and not verb:
                    return await self.job_requests.poll(job_id)
                if request.method == "POST" and verb == "withdraw":
                    return await self.job_requests.cancel(job_id)
            if request.path == "/status" and request.method == "GET":
                return await self._status(
                    {
                        key: value
                        for key, value in request.query.items()
                        if key in ("job", "team", "machine") and value
                    }
                )
            if request.path == "/upkeep" or request.path.startswith("/upkeep/"):
                return await self.maintenance_requests.handle(request)
            return Reply(404, {"error": "no such path"})
        except Exception as error:
            log.error("request failed", path=request.path, error=repr(error), at=raised_at(error))
            return Reply(503, {"error": "internal"}, 1.0)

    def healthy(self) -> bool:
        """Ready, not the only one that the state service refuses, and not alone with its workers."""
        now = self.context.clock()
        if (
            not self.context.store_cache.ready
            or self.context.machine_types is None
            or self.shard_leases.isolated_redirects.isolated_since is not None
        ):
            return False
        return (
            now - self.context.store.last_answer_at < STORE_ANSWER_MAX_AGE_S
            or not self.peer_liveness.peers_reach_store(now)
        )

    async def _status(self, selection: dict[str, str]) -> Reply:
        """What controllers see, for people; of one job also what its user is told now, or why nothing."""
        out = await self.status_report.answer(selection)
        answer = (
            await self.job_requests.answer_for(selection["job"])
            if jobs.JOB_ID_PATTERN.match(selection.get("job", ""))
            else None
        )
        return Reply(
            200,
            {
                **out,
                "told": answer.body if isinstance(answer, JobStatus) else None,
                "untold": answer.reason if isinstance(answer, Unavailable) else None,
            },
        )
