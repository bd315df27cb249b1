"""Route HTTP requests of users, agents, operators and the load balancer to their handlers.

The HTTP server calls `HttpRoutes.handle` for every request, and `is_heartbeat_request` to tell
agents' connections from others. `/healthz` is answered here.
"""

from __future__ import annotations

from ploverhall import log
from ploverhall.controller.cancellation_state import CancellationState
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.heartbeat_requests import HeartbeatRequests
from ploverhall.controller.job_requests import JobRequests
from ploverhall.controller.maintenance_requests import MaintenanceRequests
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.status_report import StatusReport
from ploverhall.coordination.job_answers import JobStatus, Unavailable
from ploverhall.log import raised_at
from ploverhall.protocol import jobs
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply

HEARTBEAT_PATH = "/v1/report"
JOBS_PATH = "/api/jobs"
MAINTENANCE_PATH = "/upkeep"
STATUS_FILTERS = ("job", "team", "machine")
# A healthy controller's last response of the key-value store, direct or relayed, is no older
STORE_ANSWER_MAX_AGE_S = 2.5


def is_heartbeat_request(request: Request) -> bool:
    """Return whether a request is a heartbeat; its agent keeps the connection for the next one."""
    return request.path == HEARTBEAT_PATH


class HttpRoutes:
    """Routes one controller's HTTP requests."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        cancellation_state: CancellationState,
        status_report: StatusReport,
        job_requests: JobRequests,
        heartbeat_requests: HeartbeatRequests,
        maintenance_requests: MaintenanceRequests,
    ) -> None:
        self.context = context
        self.peer_liveness = peer_liveness
        self.cancellation_state = cancellation_state
        self.status_report = status_report
        self.job_requests = job_requests
        self.heartbeat_requests = heartbeat_requests
        self.maintenance_requests = maintenance_requests

    async def handle(self, request: Request) -> Reply:
        """Answer one request; a fault in a handler is logged and answered with 503."""
        try:
            return await self._route(request)
        except Exception as error:  # one faulty request must not end the process
            log.error("request failed", path=request.path, error=repr(error), at=raised_at(error))
            return Reply(503, {"error": "internal"}, 1.0)

    async def _route(self, request: Request) -> Reply:
        """Call the handler of the request's path and method, and return its reply."""
        path = request.path
        if path == HEARTBEAT_PATH:
            if request.method != "POST":
                return _method_not_allowed()
            return await self.heartbeat_requests.receive(request)
        if path == "/healthz":
            return Reply(200, {"ok": True}) if self.healthy() else Reply(503, {"ok": False})
        if path == JOBS_PATH:
            if request.method != "POST":
                return _method_not_allowed()
            return await self.job_requests.submit(request.body)
        if path.startswith(f"{JOBS_PATH}/"):
            job_id, _, verb = path[len(JOBS_PATH) + 1 :].partition("/")
            if request.method == "GET" and not verb:
                return await self.job_requests.poll(job_id)
            if request.method == "POST" and verb == "withdraw":
                return await self.job_requests.cancel(job_id)
        if path == "/status" and request.method == "GET":
            return await self._status(
                {
                    key: value
                    for key, value in request.query.items()
                    if key in STATUS_FILTERS and value
                }
            )
        if path == MAINTENANCE_PATH or path.startswith(f"{MAINTENANCE_PATH}/"):
            return await self.maintenance_requests.handle(request)
        return Reply(404, {"error": "no such path"})

    def healthy(self) -> bool:
        """Return whether the load balancer should send requests here.

        A healthy controller is ready and not isolated, and either the key-value store has answered
        it lately, or the store answers no live peer either.
        """
        now = self.context.clock()
        if (
            not self.context.store_cache.ready
            or self.context.machine_types is None
            or self.cancellation_state.isolated_redirects.isolated_since is not None
        ):
            return False
        return (
            now - self.context.store.last_answer_at < STORE_ANSWER_MAX_AGE_S
            or not self.peer_liveness.peers_reach_store(now)
        )

    async def _status(self, selection: dict[str, str]) -> Reply:
        """Answer GET /status with the reports of all controllers.

        If a job is selected, the answer also has what its user is told now, or why the state is
        unavailable.
        """
        reports = await self.status_report.answer(selection)
        answer = (
            await self.job_requests.answer_for(selection["job"])
            if jobs.JOB_ID_PATTERN.match(selection.get("job", ""))
            else None
        )
        return Reply(
            200,
            {
                **reports,
                "told": answer.body if isinstance(answer, JobStatus) else None,
                "untold": answer.reason if isinstance(answer, Unavailable) else None,
            },
        )


def _method_not_allowed() -> Reply:
    """Return the reply to a request with a method that its path does not have."""
    return Reply(405, {"error": "method"})
