"""The source of one shard's teams: says which ready candidate starts, within limit, zone and spread.

Every outstanding permit stands in the team's cell in the state service before an owner hears of it,
and leaves the cell only when that start is proven gone. No I/O: transactions come out as values and
their outcomes are passed in. Work follows what has changed: a job with news, a chunk that is dirty,
a team whose use moved; never all jobs or all entries.
"""

from __future__ import annotations

import heapq
from typing import Any

from ploverhall.protocol import peer_messages
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import (
    NOTICE_EVICTION_REQUESTED,
    AttemptUpdate,
    CandidateUpdate,
    DemandUpdate,
    JobUpdate,
    OfferUpdate,
)
from ploverhall.scheduling.allocations import (
    HEALTHY_RUN_S,
    OVERDUE_START_S,
    Allocation,
    FailedAttempt,
    JobState,
    Offer,
    RecordChunk,
    allocation_bytes,
    header_bytes,
)
from ploverhall.scheduling.eviction_grants import EvictionGrants
from ploverhall.scheduling.resources import (
    EPSILON,
    NO_RESOURCES,
    UNBOUNDED,
    add_scaled,
    fits,
    max_count,
)

ATTEMPT_BITS = 28
# How long a worse answer waits for a better one: a few round trips between controllers
OFFER_WAIT_S = 0.06
TEAM_CHECK_INTERVAL_S = 0.2  # how often a team's waiting jobs are held against its limit anew
AVOID_MACHINE_S = 120.0  # how long a machine is avoided by a job that failed there
# First and longest pause between two tries of a job that fails everywhere
INITIAL_JOB_BACKOFF_S = 5.0
MAX_JOB_BACKOFF_S = 90.0
# The same for one task that fails while its job works
INITIAL_TASK_BACKOFF_S = 1.0
MAX_TASK_BACKOFF_S = 60.0
# How often replicas that wait for their team's limit are held against its arrays
SERVICE_CHECK_INTERVAL_S = 0.5
# How often every job with offers is decided anew, whatever has been seen to change
REVISIT_INTERVAL_S = 1.0


class JobSource(EvictionGrants):
    """Decides for the jobs of one shard's teams."""

    # -- what owners tell --------------------------------------------------------------------

    def on_owner_update(
        self, shard: int, epoch: int, full: bool, changes: dict[str, Any], now: float
    ) -> None:
        """An owner's board: offers, and what became of permits."""
        if full:
            for k in [
                k
                for k in self.job_by_offer
                if k[0] == shard and peer_messages.offer_key(k[1]) not in changes
            ]:
                self._drop_offer(k)
        for key, value in changes.items():
            if key[0] == peer_messages.OFFER:
                self._update_offer(
                    shard, epoch, int(key[1:]), OfferUpdate(*value) if value is not None else None
                )
            elif key[0] == peer_messages.ATTEMPT and value is not None:
                job, task, attempt = peer_messages.attempt_id_of_key(key)
                job_state = self.jobs.get(job)
                allocation = job_state.allocations.get(task) if job_state is not None else None
                if (
                    job_state is not None
                    and allocation is not None
                    and allocation.attempt == attempt
                    and allocation.shard == shard
                    and allocation.committed
                    and epoch >= allocation.epoch
                ):
                    self._update_attempt(job_state, allocation, AttemptUpdate(*value), now)

    def _update_offer(
        self, shard: int, epoch: int, reservation_id: int, update: OfferUpdate | None
    ) -> None:
        self._drop_offer((shard, reservation_id))
        job_state = self.jobs.get(update.job) if update is not None else None
        if (
            update is not None
            and job_state is not None
            and job_state.job is not None
            and (shard, epoch, reservation_id) not in job_state.used_reservations
        ):
            job_state.offers[shard, reservation_id] = Offer(
                shard,
                epoch,
                reservation_id,
                update.machine,
                update.zone,
                update.cost,
                update.victim_count,
            )
            self.job_by_offer[shard, reservation_id] = job_state.id
            self.jobs_to_decide.add(job_state.id)

    def _update_attempt(
        self, job_state: JobState, allocation: Allocation, update: AttemptUpdate, now: float
    ) -> None:
        state = update.state
        reason = update.reason
        if allocation.finished or (
            state == allocation.state
            and reason == allocation.reason
            and update.notice == allocation.notice
        ):
            return
        self.log_debug(
            "task",
            job=allocation.job_id,
            task=allocation.task,
            attempt=allocation.attempt,
            machine=allocation.machine,
            state=state,
            why=reason or "-",
        )
        job_state.running_count -= allocation.running
        if NOTICE_EVICTION_REQUESTED in (update.notice, allocation.notice):
            self.request_eviction(allocation, update.notice == NOTICE_EVICTION_REQUESTED, now)
        allocation.state = state
        allocation.reason = reason
        allocation.notice = update.notice
        allocation.finished = state in ("exited", "gone")
        job_state.running_count += allocation.running
        if state == "running" and allocation.running_since is None:
            allocation.running_since = now
            if not job_state.started and (
                job_state.job is None
                or job_state.job.kind != "gang"
                or job_state.running_count == job_state.task_count
            ):
                job_state.started = True
                self.changed_jobs.add(job_state.id)
            if (
                job_state.job is not None
                and job_state.running_count == job_state.task_count
                and job_state.job.kind != "array"
                and not job_state.fully_ran
            ):
                job_state.fully_ran = True
                known = self.typical_wait_s.get(job_state.job.job_class)
                waited = now - job_state.arrived_at
                self.typical_wait_s[job_state.job.job_class] = (
                    waited if known is None else 0.8 * known + 0.2 * waited
                )
            if job_state.failing_everywhere:
                heapq.heappush(self.timers, (now + HEALTHY_RUN_S + 0.1, job_state.id))
        self.changed_counts.add(job_state.id)
        if not allocation.finished:
            if update.notice in (1, 2) and job_state.job is not None:
                self._evict(job_state, allocation, update.notice)
            return
        job_state.waiting_since = now
        self.dirty_chunks.setdefault(allocation.chunk, False)
        if job_state.job is None:
            return
        if reason != "done":
            self.failed_attempts.append(
                FailedAttempt(
                    now, allocation.job_id, allocation.task, allocation.machine, reason or state
                )
            )
        if state == "exited" and reason == "done" and job_state.job.kind != "service":
            if job_state.job.kind == "gang":
                self._mark_complete(job_state)  # a gang completes together
            else:
                job_state.mark_done(allocation.task)
                if allocation.running_since is not None:
                    ran = now - allocation.running_since
                    job_state.task_duration_s = (
                        ran
                        if job_state.task_duration_s is None
                        else 0.9 * job_state.task_duration_s + 0.1 * ran
                    )
                if job_state.failing_everywhere:
                    self._set_failing_everywhere(job_state, False, now)
                if job_state.done_count == job_state.task_count:
                    self._mark_complete(job_state)
            self.teams_to_reorder.add(job_state.team)
            return
        if state == "exited" and reason in ("error", "unknown", "no_room", "in_use"):
            self._record_failure(job_state, allocation, reason, bool(update.machine_suspect), now)
        if job_state.job.kind == "gang":
            # the attempt is broken: the rest leaves, saving where that still helps, and it begins anew
            for other in job_state.allocations.values():
                if not other.finished and other.stop_grace_s is None:
                    self._request_stop(other, 0.0)

    def _evict(self, job_state: JobState, allocation: Allocation, notice: int) -> None:
        """Its machine goes away or its room is needed: save what can be saved, a gang's tasks all together."""
        job = job_state.job
        assert job is not None
        grace = (
            job.save_s + 1.0
            if job.checkpoint_s > (0.0 if notice == 1 else 2.0 * job.save_s + 15.0)
            else 0.0
        )
        if job.kind == "gang":
            for other in job_state.allocations.values():
                if not other.finished and other.stop_grace_s is None:
                    self._request_stop(other, grace)
        elif allocation.stop_grace_s is None and (
            notice == 2 or grace > 0 or job.kind == "service"
        ):
            self._request_stop(allocation, grace)

    def _record_failure(
        self,
        job_state: JobState,
        allocation: Allocation,
        reason: str,
        machine_suspect: bool,
        now: float,
    ) -> None:
        """A start failed: by the machine's fault, or by the job's own if it fails on machines that nothing else speaks against.

        One failing task rests while the others go on; only a job that works nowhere is held back as a whole.
        """
        job_state.failure_count += 1
        job_state.last_failure = f"{reason} on {allocation.machine}"
        self.log_debug(
            "failed",
            job=allocation.job_id,
            task=allocation.task,
            machine=allocation.machine,
            why=reason,
            times=job_state.failure_count,
        )
        rest = 1.0 if reason == "unknown" else 0.3
        if reason == "error":
            job_state.failed_on = {
                m: at for m, at in job_state.failed_on.items() if now - at < AVOID_MACHINE_S
            }
            known = allocation.machine in job_state.failed_on
            if not machine_suspect:
                job_state.failed_on[allocation.machine] = now
            times = job_state.task_failures[allocation.task] = (
                job_state.task_failures.get(allocation.task, 0) + 1
            )
            rest = (
                0.0
                if times < 2
                else min(MAX_TASK_BACKOFF_S, INITIAL_TASK_BACKOFF_S * 2.0 ** min(times - 2, 10))
            )
            if job_state.failing_everywhere:
                self._back_off(job_state, now)
            elif len(job_state.failed_on) >= 2 and not known and not job_state.is_healthy(now):
                self._set_failing_everywhere(job_state, True, now)
        if rest > 0 and job_state.job is not None and job_state.job.kind == "gang":
            job_state.retry_at = max(job_state.retry_at, now + rest)
        elif rest > 0:
            job_state.task_retry_at[allocation.task] = now + rest
        if rest > 0 or job_state.retry_at > now:
            heapq.heappush(self.timers, (max(now + rest, job_state.retry_at), job_state.id))
        self.changed_jobs.add(job_state.id)

    def _set_failing_everywhere(self, job_state: JobState, failing: bool, now: float) -> None:
        """The job itself is taken for broken, or has shown that it works."""
        if job_state.failing_everywhere == failing or job_state.job is None:
            return
        job_state.failing_everywhere = failing
        self.log_info(
            "job fails everywhere" if failing else "job works again",
            job=job_state.id,
            team=job_state.team,
            machines=",".join(sorted(job_state.failed_on)),
            failures=job_state.failure_count,
        )
        self.changed_jobs.add(job_state.id)
        self.jobs_to_decide.add(job_state.id)
        self.teams_to_reorder.add(job_state.team)
        if failing:
            job_state.failing_attempts = 0
            self._back_off(job_state, now)
            for other in job_state.allocations.values():
                if (
                    not other.finished
                    and other.stop_grace_s is None
                    and other.state in ("permitted", "fetching")
                ):
                    self._request_stop(other, 0.0)
        else:
            job_state.retry_at = 0.0
            job_state.failed_on.clear()
            job_state.task_failures.clear()
            for task in job_state.task_retry_at:
                job_state.task_retry_at[task] = now
            job_state.release_backoff(now)

    def _back_off(self, job_state: JobState, now: float) -> None:
        """It is tried now and then, ever more seldom: one task, or one whole gang."""
        if now >= job_state.retry_at:
            job_state.retry_at = now + min(
                MAX_JOB_BACKOFF_S,
                INITIAL_JOB_BACKOFF_S * 2.0 ** min(job_state.failing_attempts, 10),
            )
            job_state.failing_attempts += 1
            heapq.heappush(self.timers, (job_state.retry_at, job_state.id))

    # -- deciding ----------------------------------------------------------------------------

    def quota_headroom(self, job_state: JobState) -> int:
        """How many more tasks of this job the team's limit allows."""
        team, used = self.teams[job_state.team], self.used[job_state.team]
        if job_state.job is not None and job_state.job.kind != "service":
            used = add_scaled(used, self.reserved_for_services.get(job_state.team, NO_RESOURCES))
        count = UNBOUNDED
        for most, have, need in (
            (team.max_cpus, used[0], job_state.resources[0]),
            (team.max_gpus, used[1], job_state.resources[1]),
        ):
            if most > 0:
                count = min(count, max_count(need, most - have + EPSILON))
        return count

    def zone_limits(self, job_state: JobState) -> dict[str, int] | None:
        """How many more tasks each zone may take; None: no bound."""
        job = job_state.job
        if job is None or not (job.spread_zones or job.single_zone or job.zone):
            return None
        out = {}
        for zone in self.zones:
            count = (
                job.max_tasks_per_zone - job_state.allocations_per_zone.get(zone, 0)
                if job.spread_zones
                else job.task_count
            )
            if (
                job.single_zone
                and job_state.allocations_per_zone
                and zone not in job_state.allocations_per_zone
            ) or (job.zone and zone != job.zone):
                count = 0
            out[zone] = max(0, count)
        return out

    def _update_guarantees(self) -> None:
        """Which jobs fit the team's guarantee together with the earlier unfinished ones."""
        for name in sorted(self.teams_to_reorder):
            team = self.teams[name]
            total = (0.0, 0.0, 0.0)
            now_within: set[str] = set()
            for _, job_id in (
                self.jobs_by_age[name]
                if team.guaranteed_cpus > 0 or team.guaranteed_gpus > 0
                else ()
            ):
                job_state = self.jobs[job_id]
                self.visit_count += 1
                if job_state.failing_everywhere:
                    continue  # it keeps nobody's guarantee
                total = add_scaled(
                    total, job_state.resources, job_state.task_count - job_state.done_count
                )
                if (team.guaranteed_cpus > 0 and total[0] > team.guaranteed_cpus + EPSILON) or (
                    team.guaranteed_gpus > 0 and total[1] > team.guaranteed_gpus + EPSILON
                ):
                    break  # and so are all later ones
                now_within.add(job_id)
            for job_id in sorted(now_within ^ self.jobs_within_guarantee[name]):
                if (known := self.jobs.get(job_id)) is not None:
                    known.within_guarantee = job_id in now_within
                    self.changed_jobs.add(job_id)
            self.jobs_within_guarantee[name] = now_within
        self.teams_to_reorder.clear()

    def candidate_count(self, job_state: JobState, now: float) -> int:
        """How many candidates to keep in every part."""
        if (
            job_state.job is None
            or job_state.blocked
            or job_state.complete
            or now < job_state.retry_at
        ):
            return 0
        count = min(
            job_state.waiting_count()
            - sum(1 for t in job_state.task_retry_at if t not in job_state.allocations),
            self.quota_headroom(job_state),
        )
        if job_state.overdue and not job_state.started and job_state.job.kind == "array":
            count = min(count, 1)  # the first one, before others; the rest in its turn
        if job_state.failing_everywhere and job_state.job.kind != "gang":
            count = min(count, 0 if job_state.allocations else 1)
        if job_state.job.kind == "gang" and (job_state.allocations or count < job_state.task_count):
            return 0  # all or nothing, and not while an old attempt's task is somewhere
        return max(0, count)

    def _make_room_for_services(self, now: float) -> None:
        """Within a team's limit its replicas come before its arrays: these are stopped for them, the least lost work first.

        A replica waited for 124 s because an array of its own team, which had come a moment earlier, held what was left
        of the limit (ardgael-loans-ops, inc-4b3c). What is made free is kept for it.
        """
        for name, team in self.teams.items():
            before = self.reserved_for_services.pop(name, NO_RESOURCES)
            if team.max_cpus <= 0 and team.max_gpus <= 0:
                continue
            need = NO_RESOURCES
            for job_state in self.waiting_jobs[name].values():
                if (
                    job_state.job is not None
                    and job_state.job.kind == "service"
                    and not job_state.failing_everywhere
                    and not job_state.blocked
                    and job_state.retry_at <= now
                ):
                    need = add_scaled(need, job_state.resources, job_state.waiting_count())
            if need == NO_RESOURCES:
                if before != NO_RESOURCES:
                    self.teams_with_changed_usage.add(name)
                continue
            used, limit = (
                add_scaled(self.used[name], need),
                (team.max_cpus or 1e18, team.max_gpus or 1e18, 1e18),
            )
            if all(
                used_amount <= most + EPSILON for used_amount, most in zip(used, limit, strict=True)
            ):
                continue
            self.reserved_for_services[name] = need
            going = NO_RESOURCES
            arrays = [
                job_state
                for job_state in self.jobs.values()
                if job_state.team == name
                and job_state.allocations
                and job_state.job is not None
                and job_state.job.kind == "array"
            ]
            ways: list[tuple[float, int, Allocation, JobState]] = []
            for job_state in arrays:
                assert job_state.job is not None
                for allocation in job_state.allocations.values():
                    self.visit_count += 1
                    if allocation.finished or not allocation.committed:
                        continue
                    if allocation.stop_grace_s is not None:
                        going = add_scaled(going, job_state.resources)
                    elif job_state.job.priority > 0:
                        ways.append(
                            (
                                now - allocation.running_since
                                if allocation.running_since is not None
                                else 0.0,
                                allocation.task,
                                allocation,
                                job_state,
                            )
                        )
            for _, _, allocation, job_state in sorted(ways, key=lambda w: w[:2]):
                short = add_scaled(used, going, -1)
                if all(
                    used_amount <= most + EPSILON
                    for used_amount, most in zip(short, limit, strict=True)
                ):
                    break
                assert job_state.job is not None
                saves = job_state.job.checkpoint_s > 2.0 * job_state.job.save_s + 15.0
                self._request_stop(allocation, job_state.job.save_s + 1.0 if saves else 0.0)
                going = add_scaled(going, job_state.resources)

    def _run_timers(self, now: float) -> None:
        """What time brings: jobs that may be tried again, and teams whose use has moved."""
        while self.timers and self.timers[0][0] <= now:
            _, job_id = heapq.heappop(self.timers)
            if (job_state := self.jobs.get(job_id)) is None:
                continue
            self.changed_jobs.add(job_id)
            self.jobs_to_decide.add(job_id)
            job_state.release_backoff(now)
            if (
                not job_state.started
                and job_state.job is not None
                and now >= job_state.overdue_check_at
            ):
                self._toggle_overdue(job_state, now)
            if job_state.failing_everywhere and job_state.is_healthy(now):
                self._set_failing_everywhere(job_state, False, now)
        if now >= self.next_service_check_at:
            self.next_service_check_at = now + SERVICE_CHECK_INTERVAL_S
            self._make_room_for_services(now)
        if self.teams_with_changed_usage and now >= self.next_team_check_at:
            self.next_team_check_at = now + TEAM_CHECK_INTERVAL_S
            for team in self.teams_with_changed_usage:
                self.changed_jobs.update(self.waiting_jobs[team])
                self.jobs_to_decide.update(
                    job_id
                    for job_id, job_state in self.waiting_jobs[team].items()
                    if job_state.offers
                )
            self.teams_with_changed_usage.clear()
        if now >= self.next_revisit_at:
            self.next_revisit_at = now + REVISIT_INTERVAL_S
            self.jobs_to_decide.update(self.job_by_offer.values())

    def _toggle_overdue(self, job_state: JobState, now: float) -> None:
        """Nothing of a job has run for long: by turns it comes before others for a while, and then not.

        By turns, since one that never finds room would keep what it holds from everybody else for ever.
        """
        job_state.overdue_check_at = now + OVERDUE_START_S
        job_state.overdue = (
            not job_state.overdue
            and not job_state.allocations
            and not job_state.done_count
            and not job_state.failing_everywhere
        )
        heapq.heappush(self.timers, (job_state.overdue_check_at, job_state.id))
        if job_state.overdue and job_state.job is not None:
            self.log_info(
                "has not begun for long",
                job=job_state.id,
                team=job_state.team,
                kind=job_state.job.kind,
                tasks=job_state.task_count,
                waits=round(now - job_state.arrived_at),
            )

    def decide(self, now: float) -> None:
        """Permit ready candidates, in memory; they go out when the write has landed."""
        self._run_timers(now)
        if self.teams_to_reorder:
            self._update_guarantees()
        self.holding_back_offers = False
        if not self.jobs_to_decide:
            return
        hot, self.jobs_to_decide = self.jobs_to_decide, set()
        ready = [
            job_state
            for job_id in sorted(hot)
            if (job_state := self.jobs.get(job_id)) is not None
            and job_state.offers
            and job_state.job is not None
        ]
        for job_state in sorted(ready, key=self.queue_order):
            self._decide_job(job_state, now)

    def _decide_job(self, job_state: JobState, now: float) -> None:
        job = job_state.job
        assert job is not None
        self.visit_count += 1
        count = self.candidate_count(job_state, now)
        if count <= 0:
            return
        zones = self.zone_limits(job_state)
        # an owner's cost counts what is lost by stopping others; work that could be anywhere takes plain room first all the same
        offers = sorted(
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
        if now - job_state.waiting_since < OFFER_WAIT_S:
            # room by preemption, or without the image, is a worse answer: let the other owners speak first,
            # or the owner next door wins every race (the paper's optional scoring, cut to a blink)
            waited = [offer for offer in offers if not offer.victim_count and offer.cost <= 1.0]
            if len(waited) < len(offers):
                self.holding_back_offers = True
                self.jobs_to_decide.add(job_state.id)
            offers = waited
        if job.kind == "gang":
            offers = self._pick_gang_offers(
                job, [offer for offer in offers if zones is None or zones.get(offer.zone, 0) > 0]
            )
        chosen: list[Offer] = []
        for offer in offers:
            if len(chosen) >= count:
                break
            if zones is not None:
                if zones.get(offer.zone, 0) <= 0:
                    continue
                zones[offer.zone] -= 1
                if job.single_zone:
                    zones = {
                        zone: (value if zone == offer.zone else 0) for zone, value in zones.items()
                    }
            chosen.append(offer)
        if not chosen or (job.kind == "gang" and len(chosen) < job_state.task_count):
            return  # never a part of a gang
        self._permit_offers(job_state, chosen)

    def _permit_offers(self, job_state: JobState, chosen: list[Offer]) -> None:
        attempt = self._next_attempt()
        new: list[Allocation] = []
        nowhere = RecordChunk(job_state.team, -1)
        for offer in chosen:
            task = job_state.next_task()
            if task is None:
                break
            new.append(
                Allocation(
                    job_state.id,
                    task,
                    attempt,
                    offer.machine,
                    offer.shard,
                    offer.zone,
                    offer.epoch,
                    offer.reservation_id,
                    nowhere,
                )
            )
            self._drop_offer((offer.shard, offer.reservation_id))
        sizes = [allocation_bytes(allocation) for allocation in new]
        header = header_bytes(job_state.id, job_state.resources)
        total = header + sum(sizes)
        # a gang's permits stand in one chunk where one can hold them, so that they land together
        whole = (
            self._chunk_for(job_state.team, total)
            if job_state.job is not None
            and job_state.job.kind == "gang"
            and total + 2 <= self.max_chunk_bytes
            else None
        )
        for allocation, size in zip(new, sizes, strict=True):
            allocation.chunk = whole or self._chunk_for(job_state.team, header + size)
            self._insert(job_state, allocation)
            self.dirty_chunks[allocation.chunk] = True

    def _next_attempt(self) -> int:
        self.attempt_count += 1
        return (self.epoch << ATTEMPT_BITS) + self.attempt_count

    def _pick_gang_offers(self, job: Job, offers: list[Offer]) -> list[Offer]:
        """A whole gang or nothing: from one part if one has it all, else from pieces of several."""
        best: list[Offer] = []
        groups: dict[Any, list[Offer]] = {}
        for offer in offers:
            groups.setdefault((offer.shard, offer.zone), []).append(offer)
        for offer in offers:
            groups.setdefault(offer.zone, []).append(offer)
        if not job.single_zone:
            groups["all"] = offers
        for group in groups.values():
            picked: list[Offer] = []
            count: dict[str, int] = {}
            for offer in group:
                if (
                    count.get(offer.zone, 0) < job.max_tasks_per_zone
                    and len(picked) < job.task_count
                ):
                    picked.append(offer)
                    count[offer.zone] = count.get(offer.zone, 0) + 1
            if len(picked) == job.task_count and (
                not best or max(offer.cost for offer in picked) < max(offer.cost for offer in best)
            ):
                best = picked
        return best

    # -- what owners and the renter are told ---------------------------------------------------

    def take_owner_updates(self, shard_count: int, now: float) -> dict[tuple[int, str], Any]:
        """What has changed for the owners since the last time: (part, key) -> value."""
        out: dict[tuple[int, str], Any] = dict(self.permit_updates)
        self.permit_updates.clear()
        for job_id in sorted(self.changed_jobs):
            self.visit_count += 1
            job_state = self.jobs.get(job_id)
            if job_state is None:
                for part in range(shard_count):
                    out[part, peer_messages.job_key(job_id)] = out[
                        part, peer_messages.candidate_key(job_id)
                    ] = None
                for waits in self.waiting_jobs.values():
                    waits.pop(job_id, None)
                continue
            if job_state.waiting_count() > 0:
                self.waiting_jobs[job_state.team][job_id] = job_state
            else:
                self.waiting_jobs[job_state.team].pop(job_id, None)
            news = JobUpdate(
                job_state.job.record() if job_state.job is not None else None,
                list(job_state.resources),
                int(job_state.within_guarantee),
                int(job_state.failing_everywhere),
            )
            count = self.candidate_count(job_state, now)
            zones = (
                self.zone_limits(job_state) if count or job_state.uncommitted_per_shard else None
            )
            for part in range(shard_count):
                # a permit that is being written still needs the room that is held for it: wanting less at once
                # made owners cancel that room, and refuse the permit a moment later (kazi-bodi steady)
                want = count + job_state.uncommitted_per_shard.get(part, 0)
                out[part, peer_messages.job_key(job_id)] = news
                out[part, peer_messages.candidate_key(job_id)] = (
                    CandidateUpdate(
                        want, list(self.queue_order(job_state)), zones, sorted(job_state.failed_on)
                    )
                    if want and job_state.job is not None
                    else None
                )
        self.changed_jobs.clear()
        return out

    def take_task_counts(self) -> dict[str, list[int] | None]:
        """What users are shown of jobs, as far as it has changed."""
        counted, self.changed_counts = self.changed_counts, set()
        return {
            job_id: [job_state.done_count, job_state.running_count]
            if (job_state := self.jobs.get(job_id)) is not None and job_state.job
            else None
            for job_id in sorted(counted)
        }

    def _concurrent_tasks_needed(self, job_state: JobState, waiting: int, wall_time: float) -> int:
        """How many more tasks of an array have to find room now for it to be done when its class expects it.

        A slot serves one task after the other. Renting for every task at once gave each machine one task of 25 s to run and 60 s to
        be paid for; renting for none until the job was late had 9 in 10 of them late (shannon-loanworks, untouched).
        """
        job = job_state.job
        assert job is not None
        if job.kind != "array" or (within := self.objectives.of(job).finish_s) is None:
            return waiting
        kinds = [
            machine_type
            for machine_type in self.machine_types.values()
            if fits(job.resources, machine_type.resources)
        ]
        ready = min(
            (
                1.5 * machine_type.boot_s + 2.0 * job.image_gb / max(machine_type.fetch_gb_s, 0.01)
                for machine_type in kinds
            ),
            default=60.0,
        )
        takes = 1.2 * max(
            1.0, job.estimate_s if job_state.task_duration_s is None else job_state.task_duration_s
        )
        turns = int((job.submitted_at + within - wall_time - ready) / takes)
        busy = sum(1 for allocation in job_state.allocations.values() if not allocation.finished)
        return waiting if turns <= 1 else max(0, min(waiting, -(-(waiting + busy) // turns) - busy))

    def demand(self, now: float, wall_time: float) -> dict[str, DemandUpdate]:
        """Waiting tasks, each once, for the renter; 0 where enough room is at work already."""
        out: dict[str, DemandUpdate] = {}
        left = {
            team_name: (
                team.max_cpus - self.used[team_name][0] if team.max_cpus > 0 else 1e18,
                team.max_gpus - self.used[team_name][1] if team.max_gpus > 0 else 1e18,
            )
            for team_name, team in self.teams.items()
        }
        for job_state in sorted(
            (
                other_state
                for w in self.waiting_jobs.values()
                for other_state in w.values()
                if other_state.job is not None
            ),
            key=self.queue_order,
        ):
            count = (
                0
                if job_state.failing_everywhere or job_state.retry_at > now + 5
                else job_state.waiting_count()
            )
            cpus, gpus = left[job_state.team]
            count = min(
                count,
                max_count(
                    job_state.resources[0], max(0.0, cpus) + EPSILON * job_state.resources[0]
                ),
                max_count(
                    job_state.resources[1], max(0.0, gpus) + EPSILON * job_state.resources[1]
                ),
            )
            if (
                job_state.job is not None
                and job_state.job.kind == "gang"
                and count < job_state.task_count
            ):
                count = 0
            if count > 0 and job_state.job is not None:
                left[job_state.team] = (
                    cpus - count * job_state.resources[0],
                    gpus - count * job_state.resources[1],
                )
                out[job_state.id] = DemandUpdate(
                    job_state.job.record(),
                    self._concurrent_tasks_needed(job_state, count, wall_time),
                    self.zone_limits(job_state),
                    list(self.queue_order(job_state)),
                )
        return out

    def task_counts(self, job_id: str) -> tuple[int, int]:
        """(done, running) for display."""
        job_state = self.jobs.get(job_id)
        return (job_state.done_count, job_state.running_count) if job_state is not None else (0, 0)
