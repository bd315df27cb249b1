"""Where a request of users, workers, operators or the load balancer goes."""

from __future__ import annotations

from ploverhall import log
from ploverhall.controller.context import Shared
from ploverhall.controller.heartbeat_requests import Reports
from ploverhall.controller.job_requests import Users
from ploverhall.controller.maintenance_requests import Upkeep
from ploverhall.controller.peer_liveness import Hearing
from ploverhall.controller.shard_leases import Membership
from ploverhall.controller.status_report import Telling
from ploverhall.coordination.job_answers import Known, NotNow
from ploverhall.log import where
from ploverhall.protocol import jobs
from ploverhall.transport.http import Reply
from ploverhall.transport.http_parser import Request

REPORT_PATH = "/v1/report"
STATE_S = 2.5  # the state service's last answer, by whichever way, is no older


def is_report(request: Request) -> bool:
    """Whether a request is a worker's: its agent keeps the connection for the next report."""
    return request.path == REPORT_PATH


class Requests:
    """One controller's front door."""

    def __init__(
        self,
        shared: Shared,
        hearing: Hearing,
        membership: Membership,
        telling: Telling,
        users: Users,
        reports: Reports,
        upkeep: Upkeep,
    ) -> None:
        self.shared, self.hearing, self.membership, self.telling = (
            shared,
            hearing,
            membership,
            telling,
        )
        self.users, self.reports, self.upkeep = users, reports, upkeep

    async def handle(self, q: Request) -> Reply:
        """Route one request."""
        try:
            if q.path == REPORT_PATH:
                return (
                    await self.reports.report(q)
                    if q.method == "POST"
                    else Reply(405, {"error": "method"})
                )
            if q.path == "/healthz":
                return Reply(200, {"ok": True}) if self.healthy() else Reply(503, {"ok": False})
            if q.path == "/api/jobs":
                return (
                    await self.users.submit(q.body)
                    if q.method == "POST"
                    else Reply(405, {"error": "method"})
                )
            if q.path.startswith("/api/jobs/"):
                jid, _, verb = q.path[len("/api/jobs/") :].partition("/")
                if q.method == "GET" and not verb:
                    return await self.users.poll(jid)
                if q.method == "POST" and verb == "withdraw":
                    return await self.users.withdraw(jid)
            if q.path == "/status" and q.method == "GET":
                return await self._status(
                    {k: v for k, v in q.query.items() if k in ("job", "team", "machine") and v}
                )
            if q.path == "/upkeep" or q.path.startswith("/upkeep/"):
                return await self.upkeep.handle(q)
            return Reply(404, {"error": "no such path"})
        except Exception as e:
            log.error("request failed", path=q.path, error=repr(e), at=where(e))
            return Reply(503, {"error": "internal"}, 1.0)

    def healthy(self) -> bool:
        """Ready, not the only one that the state service refuses, and not alone with its workers."""
        now = self.shared.clock()
        if (
            not self.shared.replica.ready
            or self.shared.types is None
            or self.membership.alone.since is not None
        ):
            return False
        return now - self.shared.store.last_ok < STATE_S or not self.hearing.others_reach_state(now)

    async def _status(self, chosen: dict[str, str]) -> Reply:
        """What controllers see, for people; of one job also what its user is told now, or why nothing."""
        out = await self.telling.answer(chosen)
        told = (
            await self.users.known(chosen["job"]) if jobs.ID.match(chosen.get("job", "")) else None
        )
        return Reply(
            200,
            {
                **out,
                "told": told.view if isinstance(told, Known) else None,
                "untold": told.why if isinstance(told, NotNow) else None,
            },
        )
