"""What users ask of their jobs. What they are told is decided in `coordination.answers`, and nowhere else."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import orjson

from ploverhall import log
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.job_answers import (
    CANCELLATION_NOT_ACKNOWLEDGED,
    STATE_UNKNOWN,
    ArchiveLookupNeeded,
    JobAnswer,
    JobAnswers,
    JobStatus,
    Unavailable,
    UnknownJob,
)
from ploverhall.errors import InvalidJobError, OutcomeUnknownError, RequestRefusedError
from ploverhall.protocol import jobs
from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.resources import fits
from ploverhall.storage.store_cache import ARCHIVE_PREFIX, JOB_PREFIX, end_record
from ploverhall.transport.http_server import Reply

# A change whose outcome is not known so soon is written again: its user waits for 5 s
WRITE_RETRY_S = 1.5
# How long a cancellation's answer waits for the other controllers' word before its user is sent
# away
ACK_WAIT_S = 1.0
# a question is sent away for so long at most
MAX_LOOKUP_DELAY_S = 20.0
MAX_DELAYED_LOOKUPS = 1000
# A submission that would wait for longer is refused at once, and told when to come back
MAX_SUBMISSION_WAIT_S = 1.5
MAX_UNGUARANTEED_WAIT_S = 0.5


def _reply(answer: JobAnswer) -> Reply:
    """An answer as it goes out."""
    if isinstance(answer, JobStatus):
        return Reply(200, answer.body)
    return (
        Reply(503, {"error": answer.reason}, 1.0)
        if isinstance(answer, Unavailable)
        else Reply(404, {"error": "no such job"})
    )


def _rejected(status: int, reason: str, **known: str) -> Reply:
    """A submission that is not retried. Nothing of what was sent is shown or told, but an id that is well formed."""
    log.info("refused", status=status, **known, why=reason)
    return Reply(status, {"error": reason})


class JobRequests:
    """What users ask."""

    def __init__(
        self,
        context: ControllerContext,
        store_watch: StoreWatch,
        answers: JobAnswers,
        on_store_changed: Callable[[], None],
    ) -> None:
        self.context = context
        self.store_watch = store_watch
        self.answers = answers
        self.on_store_changed = on_store_changed
        # Old or unknown jobs that were not looked up, and since when
        self.delayed_lookups: dict[str, float] = {}
        self.pending_submissions = 0  # submissions that wait to be written

    def rejection_reason(self, job: Job) -> str | None:
        """Why a job can never run; None if it can."""
        team = self.context.teams.get(job.team)
        if team is None:
            return "unknown team"
        types = self.context.machine_types or {}
        allowed = [
            machine_type
            for machine_type in types.values()
            if fits(job.resources, machine_type.resources)
            and (job.machine_types is None or machine_type.name in job.machine_types)
        ]
        zones = {
            zone
            for machine_type in allowed
            for zone in machine_type.zones
            if job.zone in (None, zone)
        }
        if not zones:
            return "no machine type fits a task"
        if job.kind == "gang" and job.task_count > job.max_tasks_per_zone * (
            1 if job.single_zone else len(zones)
        ):
            # of an array the others run after these, of a service half the replicas do
            return "no machine type fits a task in a zone that the gang's other tasks leave to it"
        count = 1 if job.kind == "array" else job.task_count
        if (team.max_cpus > 0 and count * job.cpus > team.max_cpus + 1e-6) or (
            team.max_gpus > 0 and count * job.gpus > team.max_gpus + 1e-6
        ):
            return "more than the team's limit"
        return None

    async def submit(self, body: bytes) -> Reply:
        """POST /api/jobs."""
        try:
            job = jobs.parse_submission(orjson.loads(body), self.context.wall_clock())
        except (orjson.JSONDecodeError, InvalidJobError) as error:
            return _rejected(400, str(error))
        if (end := self.answers.final(job.id)) is not None:
            return _reply(end)
        if not self.context.store_cache.ready or self.context.machine_types is None:
            return Reply(503, {"error": "not ready"}, 1.0)
        if self.answers.is_live(job.id):
            return _reply(await self.answer_for(job.id))
        if (reason := self.rejection_reason(job)) is not None:
            # what was accepted once stays accepted, whatever the cloud sells by now
            known = await self.answer_for(job.id)
            return (
                _rejected(422, reason, job=job.id)
                if isinstance(known, UnknownJob)
                else _reply(known)
            )
        record = job.record()
        if len(orjson.dumps(record)) > self.context.settings.max_value_bytes - 64:
            return _rejected(400, "description too long to be kept", job=job.id)
        writes, team = self.context.store.writes, self.context.teams[job.team]
        unguaranteed = team.guaranteed_cpus <= 0 and team.guaranteed_gpus <= 0
        wait = writes.delay(1) + self.pending_submissions / writes.rate
        if wait > (MAX_UNGUARANTEED_WAIT_S if unguaranteed else MAX_SUBMISSION_WAIT_S):
            return Reply(429, {"error": "busy"}, wait + 1)
        self.pending_submissions += 1
        try:
            revision, failed = await self._write(
                {JOB_PREFIX + job.id: 0, ARCHIVE_PREFIX + job.id: 0}, JOB_PREFIX + job.id, record
            )
        except (RequestRefusedError, OutcomeUnknownError):
            return Reply(503, {"error": "not stored"}, 1.0)
        finally:
            self.pending_submissions -= 1
        if failed:
            known = await self.answer_for(job.id)
            return _reply(STATE_UNKNOWN if isinstance(known, UnknownJob) else known)
        log.info(
            "accepted",
            job=job.id,
            team=job.team,
            kind=job.kind,
            tasks=job.task_count,
            klass=job.job_class,
        )
        self.context.store_cache.apply_own_write(JOB_PREFIX + job.id, record, revision)
        self.on_store_changed()
        return Reply(201, self.answers.accepted(job.id).body)

    async def _write(self, compare: dict[str, int], key: str, record: Any) -> tuple[int, list[str]]:
        """One guarded change. Of unknown outcome it is written again, once: if it landed after all, its guard fails now.

        A link that is cut takes the request that finds it out with it; its user would come again after a second at the soonest.
        """
        started_at = self.context.clock()
        try:
            return await self.context.store.compare_and_swap(compare, {key: record}, [])
        except OutcomeUnknownError:
            if self.context.clock() - started_at > WRITE_RETRY_S:
                raise
            return await self.context.store.compare_and_swap(compare, {key: record}, [])

    async def poll(self, job_id: str) -> Reply:
        """GET /api/jobs/{id}."""
        if not jobs.JOB_ID_PATTERN.match(job_id):
            return _reply(
                UnknownJob()
            )  # nobody can have submitted it; and it goes into no request of ours
        return _reply(await self.answer_for(job_id))

    async def answer_for(self, job_id: str) -> JobAnswer:
        """What may be told of a job, proved where it has to be."""
        asked_at = self.context.clock()
        answer = self.answers.final(job_id) or self.answers.verified(
            job_id, asked_at, await self.store_watch.fresh_read()
        )
        if answer is CANCELLATION_NOT_ACKNOWLEDGED:
            self.store_watch.request_read()  # it may be the copy that is behind
        if not isinstance(answer, ArchiveLookupNeeded):
            return answer
        if self.context.store.requests.delay(self.context.store.requests.rate / 2) > 0:
            # who asks for old or unknown jobs does not delay a lease or a permit; but nobody is sent away for ever
            now = self.context.clock()
            if now - self.delayed_lookups.setdefault(job_id, now) < MAX_LOOKUP_DELAY_S:
                while len(self.delayed_lookups) > MAX_DELAYED_LOOKUPS:
                    del self.delayed_lookups[next(iter(self.delayed_lookups))]
                return Unavailable("busy")
        self.delayed_lookups.pop(job_id, None)
        try:
            return self.answers.archived(
                job_id, *await self.context.store.get(ARCHIVE_PREFIX + job_id)
            )
        except (RequestRefusedError, OutcomeUnknownError):
            return STATE_UNKNOWN

    async def _final_answer(self, job_id: str) -> Reply:
        """How a job ended, waiting a moment for the other controllers' word."""
        with anyio.move_on_after(ACK_WAIT_S):
            while self.answers.final(job_id) is CANCELLATION_NOT_ACKNOWLEDGED:
                self.store_watch.request_read()
                await anyio.sleep(0.03)
        return _reply(await self.answer_for(job_id))

    async def cancel(self, job_id: str) -> Reply:
        """POST /api/jobs/{id}/withdraw."""
        if not jobs.JOB_ID_PATTERN.match(job_id):
            return _reply(UnknownJob())
        for _ in range(3):
            if self.answers.final(job_id) is not None:
                return await self._final_answer(job_id)
            if (version := self.answers.live_version(job_id)) is not None:
                record = end_record(jobs.CANCELLED, 0)
                try:
                    revision, failed = await self._write(
                        {JOB_PREFIX + job_id: version}, JOB_PREFIX + job_id, record
                    )
                except (RequestRefusedError, OutcomeUnknownError):
                    return Reply(503, {"error": "not stored"}, 1.0)
                if not failed:
                    log.info("withdrawn", job=job_id)
                    self.context.store_cache.apply_own_write(JOB_PREFIX + job_id, record, revision)
                    self.on_store_changed()
                    return await self._final_answer(job_id)
            answer = await self.answer_for(job_id)
            if not isinstance(answer, JobStatus) or answer.final:
                return _reply(answer)
        return _reply(STATE_UNKNOWN)
