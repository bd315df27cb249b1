"""Serve users' requests about jobs: submit, poll and cancel.

`http_routes` calls `JobRequests`, which validates them, writes to the key-value store and replies.
Only `coordination.job_answers` decides what a user may be told of a job.
"""

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
from ploverhall.storage.schema import ARCHIVE_PREFIX, JOB_PREFIX, end_record
from ploverhall.transport.http_server import Reply

# A write of unknown outcome is repeated only within this time: its user waits for 5 s
WRITE_RETRY_S = 1.5
# How long the reply to a cancellation waits for the other controllers' acknowledgements
ACK_WAIT_S = 1.0
ACK_POLL_INTERVAL_S = 0.03
MAX_CANCEL_ATTEMPTS = 3  # compare-and-swap attempts of one cancellation
RETRY_AFTER_S = 1.0
# Archive lookups are delayed while the store is busy, each for at most this time
MAX_LOOKUP_DELAY_S = 20.0
MAX_DELAYED_LOOKUPS = 1000
# A submission whose write would wait for longer is refused at once, with the time to retry after
MAX_SUBMISSION_WAIT_S = 1.5
MAX_UNGUARANTEED_SUBMISSION_WAIT_S = 0.5  # of a team without guaranteed CPUs or GPUs
RECORD_OVERHEAD_BYTES = 64  # part of the store's limit for a value that is kept free
LIMIT_TOLERANCE = 1e-6  # for sums of floating-point amounts


def _reply(answer: JobAnswer) -> Reply:
    """Return the HTTP reply for an answer about a job."""
    if isinstance(answer, JobStatus):
        return Reply(200, answer.body)
    if isinstance(answer, Unavailable):
        return Reply(503, {"error": answer.reason}, RETRY_AFTER_S)
    return Reply(404, {"error": "no such job"})


def _not_stored() -> Reply:
    """Return the reply when the key-value store did not execute a write, or may not have."""
    return Reply(503, {"error": "not stored"}, RETRY_AFTER_S)


def _rejected(status: int, reason: str, **known: str) -> Reply:
    """Log an invalid submission and return the reply to it.

    `known` holds fields of the log line. Of the submission's own values only a well-formed id may
    be among them, since a submission is untrusted.
    """
    log.info("submission rejected", status=status, **known, reason=reason)
    return Reply(status, {"error": reason})


def _exceeds(limit: float, amount: float) -> bool:
    """Return whether an amount is above a team's limit; a limit of 0 means none."""
    return limit > 0 and amount > limit + LIMIT_TOLERANCE


class JobRequests:
    """Serves users' requests about jobs."""

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
        # By job id: since when its archive lookup is delayed (steady clock, seconds)
        self.delayed_lookups: dict[str, float] = {}
        self.pending_submissions = 0  # submissions being written

    # -- submitting ----------------------------------------------------------------------------

    def rejection_reason(self, job: Job) -> str | None:
        """Return why a job can never run; None if it can."""
        team = self.context.teams.get(job.team)
        if team is None:
            return "unknown team"
        zones = self._feasible_zones(job)
        if not zones:
            return "no machine type fits a task"
        # Only a gang must fit as a whole: an array's other tasks run later, and half the replicas
        # are enough for a service
        if job.kind == "gang":
            zone_count = 1 if job.single_zone else len(zones)
            if job.task_count > job.max_tasks_per_zone * zone_count:
                return (
                    "no machine type fits a task in a zone that the gang's other tasks leave to it"
                )
        count = 1 if job.kind == "array" else job.task_count
        if _exceeds(team.max_cpus, count * job.cpus) or _exceeds(team.max_gpus, count * job.gpus):
            return "more than the team's limit"
        return None

    def _feasible_zones(self, job: Job) -> set[str]:
        """Return the zones that offer a machine type on which a task of this job fits."""
        types = self.context.machine_types or {}
        return {
            zone
            for machine_type in types.values()
            if fits(job.resources, machine_type.resources)
            and (job.machine_types is None or machine_type.name in job.machine_types)
            for zone in machine_type.zones
            if job.zone in (None, zone)
        }

    async def submit(self, body: bytes) -> Reply:
        """Answer POST /api/jobs.

        The status is 201 if the job is accepted now, 200 if it is known, 400 if it is malformed,
        422 if it can never run, 429 if its write would wait for too long, and 503 if this
        controller is not ready, the job is not stored, or its state is not known.
        """
        try:
            job = jobs.parse_submission(orjson.loads(body), self.context.wall_clock())
        except (orjson.JSONDecodeError, InvalidJobError) as error:
            return _rejected(400, str(error))
        if (end := self.answers.final(job.id)) is not None:
            return _reply(end)
        if not self.context.store_cache.ready or self.context.machine_types is None:
            return Reply(503, {"error": "not ready"}, RETRY_AFTER_S)
        if self.answers.is_live(job.id):
            return _reply(await self.answer_for(job.id))
        if (reason := self.rejection_reason(job)) is not None:
            return await self._reply_infeasible(job, reason)
        record = job.record()
        max_bytes = self.context.settings.max_value_bytes - RECORD_OVERHEAD_BYTES
        if len(orjson.dumps(record)) > max_bytes:
            return _rejected(400, "description too long to be kept", job=job.id)
        if (wait_s := self._excessive_wait_s(job)) is not None:
            return Reply(429, {"error": "busy"}, wait_s + 1)
        return await self._store_submission(job, record)

    async def _reply_infeasible(self, job: Job, reason: str) -> Reply:
        """Reject a job that can never run, unless it has been accepted before.

        An accepted job stays accepted even if the cloud no longer offers a machine type for it.
        """
        known = await self.answer_for(job.id)
        if isinstance(known, UnknownJob):
            return _rejected(422, reason, job=job.id)
        return _reply(known)

    def _excessive_wait_s(self, job: Job) -> float | None:
        """Return how many seconds a submission's write would wait; None if that is acceptable."""
        writes, team = self.context.store.writes, self.context.teams[job.team]
        unguaranteed = team.guaranteed_cpus <= 0 and team.guaranteed_gpus <= 0
        wait_s = writes.delay(1) + self.pending_submissions / writes.rate
        max_wait_s = MAX_UNGUARANTEED_SUBMISSION_WAIT_S if unguaranteed else MAX_SUBMISSION_WAIT_S
        return wait_s if wait_s > max_wait_s else None

    async def _store_submission(self, job: Job, record: Any) -> Reply:
        """Write a new job's record unless another controller has written one; return the reply."""
        key = JOB_PREFIX + job.id
        self.pending_submissions += 1
        try:
            revision, failed = await self._write({key: 0, ARCHIVE_PREFIX + job.id: 0}, key, record)
        except (RequestRefusedError, OutcomeUnknownError):
            return _not_stored()
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
            **{"class": job.job_class},
        )
        self.context.store_cache.apply_own_write(key, record, revision)
        self.on_store_changed()
        return Reply(201, self.answers.accepted(job.id).body)

    async def _write(self, compare: dict[str, int], key: str, record: Any) -> tuple[int, list[str]]:
        """Write one key if the versions of the keys in `compare` match.

        Returns the revision, and the keys whose versions did not match. A write of unknown outcome
        is repeated once: if the first one was executed after all, the comparison of the second one
        fails. The first request on a link that was cut is lost, and without the repetition its user
        would retry after a second at the soonest. Raises `RequestRefusedError` if the store did not
        execute the write, and `OutcomeUnknownError` if it may have executed it.
        """
        started_at = self.context.clock()
        try:
            return await self.context.store.compare_and_swap(compare, {key: record}, [])
        except OutcomeUnknownError:
            if self.context.clock() - started_at > WRITE_RETRY_S:
                raise
            return await self.context.store.compare_and_swap(compare, {key: record}, [])

    # -- polling -------------------------------------------------------------------------------

    async def poll(self, job_id: str) -> Reply:
        """Answer GET /api/jobs/{id}: 200, 404 for an unknown job, 503 for an unknown state."""
        if not jobs.JOB_ID_PATTERN.match(job_id):
            # No job can have such an id, and it must not get into a request to the store
            return _reply(UnknownJob())
        return _reply(await self.answer_for(job_id))

    async def answer_for(self, job_id: str) -> JobAnswer:
        """Return what a user may be told of a job, verified by a fresh read if needed."""
        asked_at = self.context.clock()
        answer = self.answers.final(job_id) or self.answers.verified(
            job_id, asked_at, await self.store_watch.fresh_read()
        )
        if answer is CANCELLATION_NOT_ACKNOWLEDGED:
            self.store_watch.request_read()  # this controller's own store cache may be outdated
        if not isinstance(answer, ArchiveLookupNeeded):
            return answer
        if self._lookup_delayed(job_id):
            return Unavailable("busy")
        self.delayed_lookups.pop(job_id, None)
        try:
            return self.answers.archived(
                job_id, *await self.context.store.get(ARCHIVE_PREFIX + job_id)
            )
        except (RequestRefusedError, OutcomeUnknownError):
            return STATE_UNKNOWN

    def _lookup_delayed(self, job_id: str) -> bool:
        """Return whether to delay an archive lookup, so that it does not delay a lease or a permit.

        After `MAX_LOOKUP_DELAY_S` the lookup is made whatever the load.
        """
        requests = self.context.store.requests
        if requests.delay(requests.rate / 2) <= 0:
            return False
        now = self.context.clock()
        if now - self.delayed_lookups.setdefault(job_id, now) >= MAX_LOOKUP_DELAY_S:
            return False
        while len(self.delayed_lookups) > MAX_DELAYED_LOOKUPS:
            del self.delayed_lookups[next(iter(self.delayed_lookups))]
        return True

    # -- cancelling ----------------------------------------------------------------------------

    async def cancel(self, job_id: str) -> Reply:
        """Answer POST /api/jobs/{id}/withdraw.

        The status is 200 once the job has certainly ended, 404 for an unknown job, and 503 if the
        cancellation is not stored or the job's state is not known.
        """
        if not jobs.JOB_ID_PATTERN.match(job_id):
            return _reply(UnknownJob())
        for _ in range(MAX_CANCEL_ATTEMPTS):
            if self.answers.final(job_id) is not None:
                return await self._final_answer(job_id)
            if (version := self.answers.live_version(job_id)) is not None:
                try:
                    cancelled = await self._store_cancellation(job_id, version)
                except (RequestRefusedError, OutcomeUnknownError):
                    return _not_stored()
                if cancelled:
                    return await self._final_answer(job_id)
            answer = await self.answer_for(job_id)
            if not isinstance(answer, JobStatus) or answer.final:
                return _reply(answer)
        return _reply(STATE_UNKNOWN)

    async def _store_cancellation(self, job_id: str, version: int) -> bool:
        """Write that a job is cancelled; return False if its record no longer has this version.

        Raises `RequestRefusedError` and `OutcomeUnknownError` like `_write`.
        """
        key = JOB_PREFIX + job_id
        record = end_record(jobs.CANCELLED, 0)
        revision, failed = await self._write({key: version}, key, record)
        if failed:
            return False
        log.info("cancelled", job=job_id)
        self.context.store_cache.apply_own_write(key, record, revision)
        self.on_store_changed()
        return True

    async def _final_answer(self, job_id: str) -> Reply:
        """Return how a job ended, after waiting for the other controllers to acknowledge it.

        The wait takes `ACK_WAIT_S` at most.
        """
        with anyio.move_on_after(ACK_WAIT_S):
            while self.answers.final(job_id) is CANCELLATION_NOT_ACKNOWLEDGED:
                self.store_watch.request_read()
                await anyio.sleep(ACK_POLL_INTERVAL_S)
        return _reply(await self.answer_for(job_id))
