"""Decides which waiting task of one shard's teams starts next, and where.

`JobSource` handles the offers and task states from the shard owners, permits tasks within the
limits, zone rules and gang rules, and returns the updates for the shard owners and the autoscaler.
A permit is written to the team's allocation record before it is sent to its shard owner, and is
removed only when the attempt has exited or is proven gone.

No I/O: the controller passes in what it has received and sends what is returned. Only what has
changed is processed (a job, a dirty chunk, a team's usage), never all jobs or all allocations.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Any

from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.allocations import OVERDUE_START_S, AllocationStore
from ploverhall.scheduling.attempt_updates import AttemptUpdates
from ploverhall.scheduling.eviction_grants import EvictionGrants
from ploverhall.scheduling.failure_attribution import JobFailureTracker
from ploverhall.scheduling.gangs import pick_gang_offers
from ploverhall.scheduling.job_state import JobState, Offer
from ploverhall.scheduling.owner_changes import OwnerChanges
from ploverhall.scheduling.pending_write import PendingWrite
from ploverhall.scheduling.quota import TeamQuotas
from ploverhall.scheduling.record_chunks import (
    Allocation,
    RecordChunk,
    allocation_bytes,
    header_bytes,
)
from ploverhall.scheduling.record_loader import RecordLoader
from ploverhall.scheduling.resources import UNBOUNDED
from ploverhall.scheduling.source_updates import SourceUpdates
from ploverhall.scheduling.store_writer import StoreWriter
from ploverhall.scheduling.unmet_demand import UnmetDemand
from ploverhall.settings import Team

ATTEMPT_BITS = 28  # low bits of an attempt's number; the bits above hold the source's epoch
# How long a costlier offer is held back for a better one: a few round trips between controllers
OFFER_WAIT_S = 0.06
MAX_IMMEDIATE_COST = 1.0  # an offer up to this cost is accepted at once
TEAM_CHECK_INTERVAL_S = 0.2  # between checks of teams' waiting jobs against their limits
SERVICE_CHECK_INTERVAL_S = 0.5  # between checks for replicas that wait for their team's limit
# Permits that one call of `decide` issues before the remaining jobs wait for the next call
MAX_PERMITS_PER_DECISION = 1_024
# While so many permits are unwritten, an array gets a permit only if none of its own is unwritten,
# and only a few: they could not be written before their reservations expire
MAX_UNCOMMITTED_PERMITS = 4_096
MIN_PERMITS_PER_JOB = 16
REVISIT_INTERVAL_S = 1.0  # between decisions on all jobs with offers, changed or not


class JobSource:
    """Permits the tasks of one shard's teams.

    Its components are the jobs and allocations (`store`), the loader of stored records
    (`record_loader`), the planner of transactions (`writer`), the eviction grants (`grants`), the
    teams' limits (`quotas`), the handlers of owners' changes (`owner_changes`) and attempt states
    (`attempt_updates`), the failure counts (`failures`), the updates to be sent (`source_updates`)
    and the demand for machines (`unmet_demand`). `max_value_bytes` and `max_transaction_ops` are
    limits of the key-value store.
    """

    def __init__(
        self,
        shard: int,
        epoch: int,
        teams: list[Team],
        zones: tuple[str, ...],
        max_value_bytes: int,
        max_transaction_ops: int,
    ) -> None:
        self.epoch = epoch
        self.store = AllocationStore(teams, max_value_bytes)
        self.writer = StoreWriter(self.store, shard, epoch, max_transaction_ops)
        self.grants = EvictionGrants(self.store, self.writer, max_value_bytes)
        self.quotas = TeamQuotas(self.store, zones)
        self.failures = JobFailureTracker(self.store)
        self.unmet_demand = UnmetDemand(self.store, self.quotas)
        self.attempt_updates = AttemptUpdates(self.store, self.failures, self.grants)
        self.owner_changes = OwnerChanges(self.store, self.attempt_updates)
        self.record_loader = RecordLoader(self.store)
        self.source_updates = SourceUpdates(self.store, self.quotas)
        self.attempt_count = 0  # attempt numbers that this source has assigned
        self.holding_back_offers = False  # costlier offers wait for better ones
        self.is_unfinished = False  # the last call of `decide` has left jobs for the next one
        self.next_team_check_at = 0.0
        self.next_revisit_at = 0.0
        self.next_service_check_at = 0.0

    @property
    def jobs(self) -> dict[str, JobState]:
        """Return the shard's live jobs, and ended jobs that may still have tasks on machines."""
        return self.store.jobs

    def on_job(
        self, job: Job | None, job_id: str, version: int, now: float, age: float = 0.0
    ) -> None:
        """Add or update a job submitted `age` seconds ago, or end it if `job` is None.

        Called for the jobs that are read at the start and for those that the watch delivers.
        """
        self.store.on_job(job, job_id, version, now, age)

    # -- writing -----------------------------------------------------------------------------

    def next_write(self, max_operations: int | None = None) -> PendingWrite | None:
        """Return the next transaction, of at most `max_operations` changes, or None.

        None means that there is nothing to write.
        """
        return self.grants.add_to_write(self.writer.next_write(max_operations))

    def on_committed(self, txn: PendingWrite, revision: int, now: float) -> None:
        """Handle a transaction that was committed at `revision`."""
        self.writer.on_committed(txn, revision, now)
        self.grants.on_committed(txn, revision)

    # -- updates from shard owners -----------------------------------------------------------

    def on_owner_update(
        self, shard: int, epoch: int, full: bool, changes: dict[str, Any], now: float
    ) -> None:
        """Handle changes on a shard owner's state channel: its offers and its attempts' states.

        If `full`, `changes` holds the complete state, and offers that are not in it are dropped. Of
        a large update only the first part is handled at once; `decide` goes on with it, and later
        updates wait their turn.
        """
        self.owner_changes.update(shard, epoch, full, changes, now)

    # -- deciding ----------------------------------------------------------------------------

    def decide(self, now: float) -> None:
        """Permit tasks in memory; permits are sent to shard owners once they have been written."""
        self.owner_changes.pending.run_step(now)
        self._run_timers(now)
        if self.store.teams_with_stale_guarantees:
            self.quotas.update_guarantees()
        self.store.attempts_to_stop.run_step(now)
        self.holding_back_offers = False
        self.is_unfinished = bool(self.store.attempts_to_stop or self.owner_changes.pending)
        if not self.store.jobs_to_decide:
            return
        jobs_to_decide, self.store.jobs_to_decide = self.store.jobs_to_decide, set()
        with_offers = [
            job_state
            for job_id in sorted(jobs_to_decide)
            if (job_state := self.store.jobs.get(job_id)) is not None
            and job_state.offers
            and job_state.job is not None
        ]
        in_order = sorted(with_offers, key=self.store.queue_order)
        max_uncommitted = self.store.uncommitted_count + MAX_PERMITS_PER_DECISION
        for position, job_state in enumerate(in_order):
            if self.store.uncommitted_count >= max_uncommitted:
                self.store.jobs_to_decide.update(later.id for later in in_order[position:])
                self.is_unfinished = True
                break
            self._decide_job(job_state, now)

    def _run_timers(self, now: float) -> None:
        """Queue decisions for jobs with expired timers and for teams whose usage has changed."""
        while self.store.timers and self.store.timers[0][0] <= now:
            _, job_id = heapq.heappop(self.store.timers)
            if (job_state := self.store.jobs.get(job_id)) is not None:
                self._on_timer(job_state, now)
        if now >= self.next_service_check_at:
            self.next_service_check_at = now + SERVICE_CHECK_INTERVAL_S
            self.quotas.free_quota_for_services(now)
        if self.store.teams_with_changed_usage and now >= self.next_team_check_at:
            self.next_team_check_at = now + TEAM_CHECK_INTERVAL_S
            for team in self.store.teams_with_changed_usage:
                self.store.changed_jobs.update(self.store.waiting_jobs[team])
                self.store.jobs_to_decide.update(
                    job_id
                    for job_id, job_state in self.store.waiting_jobs[team].items()
                    if job_state.offers
                )
            self.store.teams_with_changed_usage.clear()
        if now >= self.next_revisit_at:
            self.next_revisit_at = now + REVISIT_INTERVAL_S
            self.store.jobs_to_decide.update(self.store.job_by_offer.values())

    def _on_timer(self, job_state: JobState, now: float) -> None:
        self.store.changed_jobs.add(job_state.id)
        self.store.jobs_to_decide.add(job_state.id)
        job_state.release_backoff(now)
        if (
            not job_state.started
            and job_state.job is not None
            and now >= job_state.overdue_check_at
        ):
            self._toggle_overdue(job_state, now)
        if job_state.failing_everywhere and job_state.is_healthy(now):
            self.failures.set_failing_everywhere(job_state, False, now)

    def _toggle_overdue(self, job_state: JobState, now: float) -> None:
        """Put a job that waits too long to start ahead of others, in every second interval.

        If it were ahead all the time, a job that never finds enough free capacity would hold its
        reservations forever, and no other job could use them.
        """
        job_state.overdue_check_at = now + OVERDUE_START_S
        job_state.overdue = (
            not job_state.overdue
            and not job_state.allocations
            and not job_state.done_count
            and not job_state.failing_everywhere
        )
        heapq.heappush(self.store.timers, (job_state.overdue_check_at, job_state.id))
        if job_state.overdue and job_state.job is not None:
            self.store.log_info(
                "job start overdue",
                job=job_state.id,
                team=job_state.team,
                kind=job_state.job.kind,
                tasks=job_state.task_count,
                waited_s=round(now - job_state.arrived_at),
            )

    def _decide_job(self, job_state: JobState, now: float) -> None:
        """Permit as many of a job's waiting tasks as its offers, limits and zones allow."""
        job = job_state.job
        assert job is not None
        self.store.visit_count += 1
        count = min(self.quotas.candidate_count(job_state, now), self._write_allowance(job_state))
        if count <= 0:
            return
        zone_limits = self.quotas.zone_limits(job_state)
        offers = self._offers_by_preference(job_state, job)
        if now - job_state.waiting_since < OFFER_WAIT_S:
            offers = self._without_costly_offers(job_state, offers)
        if job.kind == "gang":
            offers = pick_gang_offers(
                job,
                [
                    offer
                    for offer in offers
                    if zone_limits is None or zone_limits.get(offer.zone, 0) > 0
                ],
            )
        chosen = choose_within_zones(job, offers, count, zone_limits)
        if not chosen or (job.kind == "gang" and len(chosen) < job_state.task_count):
            return
        self._permit_offers(job_state, chosen)

    def _write_allowance(self, job_state: JobState) -> int:
        """Return how many more permits of a job may wait to be written."""
        job = job_state.job
        if self.store.uncommitted_count < MAX_UNCOMMITTED_PERMITS or (
            job is not None and job.kind != "array"
        ):
            return UNBOUNDED
        return 0 if job_state.uncommitted_count else MIN_PERMITS_PER_JOB

    def _offers_by_preference(self, job_state: JobState, job: Job) -> list[Offer]:
        """Return a job's offers, best first, except those on machines that the job avoids.

        An offer's cost includes the work lost by preemption. A spot job can run on any machine, so
        it prefers offers without victims, whatever their cost.
        """
        return sorted(
            (
                offer
                for offer in job_state.offers.values()
                if offer.machine not in job_state.failed_on
            ),
            key=lambda offer: (
                offer.victim_count if job.spot else 0,
                offer.cost,
                offer.victim_count,
                offer.reservation_id,
            ),
        )

    def _without_costly_offers(self, job_state: JobState, offers: list[Offer]) -> list[Offer]:
        """Return the offers that may be accepted at once; the others are decided on later.

        Offers that preempt tasks, or are on machines without the image, wait for the offers of
        other shards. Otherwise the shard owner on the same controller would always win.
        """
        immediate = [
            offer for offer in offers if not offer.victim_count and offer.cost <= MAX_IMMEDIATE_COST
        ]
        if len(immediate) < len(offers):
            self.holding_back_offers = True
            self.store.jobs_to_decide.add(job_state.id)
        return immediate

    def _permit_offers(self, job_state: JobState, chosen: list[Offer]) -> None:
        """Permit a job's next tasks, one for each chosen offer."""
        attempt = self._next_attempt()
        permitted: list[Allocation] = []
        unassigned_chunk = RecordChunk(job_state.team, -1)
        for offer in chosen:
            task = job_state.next_task()
            if task is None:
                break
            permitted.append(
                Allocation(
                    job_state.id,
                    task,
                    attempt,
                    offer.machine,
                    offer.shard,
                    offer.zone,
                    offer.epoch,
                    offer.reservation_id,
                    unassigned_chunk,
                )
            )
            self.store.drop_offer((offer.shard, offer.reservation_id))
        self._assign_chunks(job_state, permitted)

    def _assign_chunks(self, job_state: JobState, permitted: list[Allocation]) -> None:
        """Assign allocations to chunks; a gang's to one chunk if possible, to commit together."""
        sizes = [allocation_bytes(allocation) for allocation in permitted]
        header = header_bytes(job_state.id, job_state.resources)
        total = header + sum(sizes)
        is_gang = job_state.job is not None and job_state.job.kind == "gang"
        shared_chunk = (
            self.store.chunk_for(job_state.team, total)
            if is_gang and total + 2 <= self.store.max_chunk_bytes
            else None
        )
        for allocation, size in zip(permitted, sizes, strict=True):
            allocation.chunk = shared_chunk or self.store.chunk_for(job_state.team, header + size)
            self.store.insert(job_state, allocation)
            self.store.dirty_chunks[allocation.chunk] = True

    def _next_attempt(self) -> int:
        """Return an attempt number that no source has used: it contains the epoch."""
        self.attempt_count += 1
        return (self.epoch << ATTEMPT_BITS) + self.attempt_count

    # -- updates for shard owners and users --------------------------------------------------

    def take_owner_updates(self, shard_count: int, now: float) -> dict[tuple[int, str], Any]:
        """Return the updates for the shard owners since the last call.

        Maps (shard, key on the state channel) to the new value; None deletes the key.
        """
        return self.source_updates.take_owner_updates(shard_count, now)

    def take_task_counts(self) -> dict[str, list[int] | None]:
        """Return the changed counts [done, running] by job since the last call; None: job ended."""
        return self.source_updates.take_task_counts()

    def task_counts(self, job_id: str) -> tuple[int, int]:
        """Return a job's counts of done and running tasks; zeros for an unknown job."""
        return self.source_updates.task_counts(job_id)


def choose_within_zones(
    job: Job, offers: Iterable[Offer], count: int, zone_limits: dict[str, int] | None
) -> list[Offer]:
    """Return the first offers, up to `count`, that respect the zone limits.

    A job that must stay within one zone takes offers from the first chosen offer's zone only.
    """
    chosen: list[Offer] = []
    for offer in offers:
        if len(chosen) >= count:
            break
        if zone_limits is not None:
            if zone_limits.get(offer.zone, 0) <= 0:
                continue
            zone_limits[offer.zone] -= 1
            if job.single_zone:
                zone_limits = {
                    zone: limit if zone == offer.zone else 0 for zone, limit in zone_limits.items()
                }
        chosen.append(offer)
    return chosen
