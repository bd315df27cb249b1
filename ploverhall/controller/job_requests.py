"""What users ask of their jobs. What they are told is decided in `coordination.answers`, and nowhere else."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import orjson

from ploverhall import log
from ploverhall.controller.context import Shared
from ploverhall.controller.store_watch import Following
from ploverhall.coordination.job_answers import (
    UNPROVED,
    UNTOLD,
    Answer,
    Answers,
    InArchive,
    Known,
    NeverAccepted,
    NotNow,
)
from ploverhall.protocol import jobs
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.key_value_store import Refused, Unknown
from ploverhall.scheduling.inventory import fits
from ploverhall.storage.store_cache import ARCHIVE, JOB, end_record
from ploverhall.transport.http import Reply

AGAIN_S = (
    1.5  # a change whose outcome is not known so soon is written again: its user waits for 5 s
)
SETTLE_S = 1.0  # how long a cancellation's answer waits for the other controllers' word before its user is sent away
PUT_OFF_S, MOST_PUT_OFF = 20.0, 1000  # a question is sent away for so long at most
WAIT_S, GUEST_WAIT_S = (
    1.5,
    0.5,
)  # a submission that would wait for longer is refused at once, and told when to come back


def _reply(answer: Answer) -> Reply:
    """An answer as it goes out."""
    if isinstance(answer, Known):
        return Reply(200, answer.view)
    return (
        Reply(503, {"error": answer.why}, 1.0)
        if isinstance(answer, NotNow)
        else Reply(404, {"error": "no such job"})
    )


def _refused(status: int, why: str, **known: str) -> Reply:
    """A submission that is not retried. Nothing of what was sent is shown or told, but an id that is well formed."""
    log.info("refused", status=status, **known, why=why)
    return Reply(status, {"error": why})


class Users:
    """What users ask."""

    def __init__(
        self, shared: Shared, following: Following, answers: Answers, news: Callable[[], None]
    ) -> None:
        self.shared, self.following, self.answers, self.news = shared, following, answers, news
        self.put_off: dict[
            str, float
        ] = {}  # old or unknown jobs that were not looked up, and since when
        self.storing = 0  # submissions that wait to be written

    def why_never(self, job: Job) -> str | None:
        """Why a job can never run; None if it can."""
        team = self.shared.teams.get(job.team)
        if team is None:
            return "unknown team"
        types = self.shared.types or {}
        allowed = [
            t
            for t in types.values()
            if fits(job.vec, t.vec) and (job.types is None or t.name in job.types)
        ]
        zones = {z for t in allowed for z in t.zones if job.zone in (None, z)}
        if not zones:
            return "no machine type fits a task"
        if job.kind == "gang" and job.n > job.zone_cap * (1 if job.one_zone else len(zones)):
            # of an array the others run after these, of a service half the replicas do
            return "no machine type fits a task in a zone that the gang's other tasks leave to it"
        n = 1 if job.kind == "array" else job.n
        if (team.cpus_max > 0 and n * job.cpus > team.cpus_max + 1e-6) or (
            team.gpus_max > 0 and n * job.gpus > team.gpus_max + 1e-6
        ):
            return "more than the team's limit"
        return None

    async def submit(self, body: bytes) -> Reply:
        """POST /api/jobs."""
        try:
            job = jobs.parse(orjson.loads(body), self.shared.wall())
        except (orjson.JSONDecodeError, jobs.Malformed) as e:
            return _refused(400, str(e))
        if (end := self.answers.final(job.id)) is not None:
            return _reply(end)
        if not self.shared.replica.ready or self.shared.types is None:
            return Reply(503, {"error": "not ready"}, 1.0)
        if self.answers.is_live(job.id):
            return _reply(await self.known(job.id))
        if (why := self.why_never(job)) is not None:
            # what was accepted once stays accepted, whatever the cloud sells by now
            known = await self.known(job.id)
            return (
                _refused(422, why, job=job.id)
                if isinstance(known, NeverAccepted)
                else _reply(known)
            )
        record = job.record()
        if len(orjson.dumps(record)) > self.shared.settings.value_bytes - 64:
            return _refused(400, "description too long to be kept", job=job.id)
        writes, team = self.shared.store.writes, self.shared.teams[job.team]
        guest = team.cpus <= 0 and team.gpus <= 0
        wait = writes.wait(1) + self.storing / writes.rate
        if wait > (GUEST_WAIT_S if guest else WAIT_S):
            return Reply(429, {"error": "busy"}, wait + 1)
        self.storing += 1
        try:
            rev, failed = await self._write(
                {JOB + job.id: 0, ARCHIVE + job.id: 0}, JOB + job.id, record
            )
        except (Refused, Unknown):
            return Reply(503, {"error": "not stored"}, 1.0)
        finally:
            self.storing -= 1
        if failed:
            known = await self.known(job.id)
            return _reply(UNPROVED if isinstance(known, NeverAccepted) else known)
        log.info("accepted", job=job.id, team=job.team, kind=job.kind, tasks=job.n, klass=job.klass)
        self.shared.replica.put_own(JOB + job.id, record, rev)
        self.news()
        return Reply(201, self.answers.accepted(job.id).view)

    async def _write(self, guards: dict[str, int], key: str, record: Any) -> tuple[int, list[str]]:
        """One guarded change. Of unknown outcome it is written again, once: if it landed after all, its guard fails now.

        A link that is cut takes the request that finds it out with it; its user would come again after a second at the soonest.
        """
        begun = self.shared.clock()
        try:
            return await self.shared.store.txn(guards, {key: record}, [])
        except Unknown:
            if self.shared.clock() - begun > AGAIN_S:
                raise
            return await self.shared.store.txn(guards, {key: record}, [])

    async def poll(self, jid: str) -> Reply:
        """GET /api/jobs/{id}."""
        if not jobs.ID.match(jid):
            return _reply(
                NeverAccepted()
            )  # nobody can have submitted it; and it goes into no request of ours
        return _reply(await self.known(jid))

    async def known(self, jid: str) -> Answer:
        """What may be told of a job, proved where it has to be."""
        asked = self.shared.clock()
        answer = self.answers.final(jid) or self.answers.proved(
            jid, asked, await self.following.proof()
        )
        if answer is UNTOLD:
            self.following.ask()  # it may be the copy that is behind
        if not isinstance(answer, InArchive):
            return answer
        if self.shared.store.requests.wait(self.shared.store.requests.rate / 2) > 0:
            # who asks for old or unknown jobs does not delay a lease or a permit; but nobody is sent away for ever
            now = self.shared.clock()
            if now - self.put_off.setdefault(jid, now) < PUT_OFF_S:
                while len(self.put_off) > MOST_PUT_OFF:
                    del self.put_off[next(iter(self.put_off))]
                return NotNow("busy")
        self.put_off.pop(jid, None)
        try:
            return self.answers.archived(jid, *await self.shared.store.get(ARCHIVE + jid))
        except (Refused, Unknown):
            return UNPROVED

    async def _settled(self, jid: str) -> Reply:
        """How a job ended, waiting a moment for the other controllers' word."""
        with anyio.move_on_after(SETTLE_S):
            while self.answers.final(jid) is UNTOLD:
                self.following.ask()
                await anyio.sleep(0.03)
        return _reply(await self.known(jid))

    async def withdraw(self, jid: str) -> Reply:
        """POST /api/jobs/{id}/withdraw."""
        if not jobs.ID.match(jid):
            return _reply(NeverAccepted())
        for _ in range(3):
            if self.answers.final(jid) is not None:
                return await self._settled(jid)
            if (version := self.answers.live_at(jid)) is not None:
                record = end_record(jobs.WITHDRAWN, 0)
                try:
                    rev, failed = await self._write({JOB + jid: version}, JOB + jid, record)
                except (Refused, Unknown):
                    return Reply(503, {"error": "not stored"}, 1.0)
                if not failed:
                    log.info("withdrawn", job=jid)
                    self.shared.replica.put_own(JOB + jid, record, rev)
                    self.news()
                    return await self._settled(jid)
            answer = await self.known(jid)
            if not isinstance(answer, Known) or answer.over:
                return _reply(answer)
        return _reply(UNPROVED)
