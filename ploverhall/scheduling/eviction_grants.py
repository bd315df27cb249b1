"""Grants evictions from machines under maintenance, within each team's disruption budget.

A shard owner requests an eviction. The source grants it within the budget, writes the grant to the
key-value store, and stops the attempt once the write is committed. After a failover, the new source
reads the grants, counts them against the budget, and stops the attempts again if they still run;
otherwise two sources could spend the same budget. The grant of an attempt that has ended is removed
when the team's grants are next written. `JobSource` calls this.
"""

from __future__ import annotations

from typing import Any

from ploverhall.maintenance.disruption_budget import (
    DisruptionBudgets,
    EvictionRequest,
    RecentDisruptions,
    denial_reason,
)
from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.allocations import AllocationStore
from ploverhall.scheduling.job_state import JobState, save_grace_s
from ploverhall.scheduling.pending_write import MAX_TRANSACTION_BYTES, PendingWrite
from ploverhall.scheduling.record_chunks import Allocation
from ploverhall.scheduling.store_writer import StoreWriter
from ploverhall.storage.schema import grants_key

GRANT_INTERVAL_S = 0.5  # minimum time between two rounds of granting
MAX_GRANTS_PER_TEAM = 48  # all grants of a team are stored in one value
GRANT_BYTES = 40  # assumed size of one grant in a team's value
GRANTS_OVERHEAD_BYTES = 100  # assumed size besides the grants
VALUE_FILL_FACTOR = 0.9  # share of the limit for a value that the grants may fill
REASON_TOO_MANY_GRANTS = "so many of its team are being stopped"


class EvictionGrants:
    """The evictions that shard owners have requested and those that have been granted."""

    def __init__(self, store: AllocationStore, writer: StoreWriter, max_value_bytes: int) -> None:
        self.store = store
        self.writer = writer
        self.budgets = DisruptionBudgets()
        self.max_grants = min(
            MAX_GRANTS_PER_TEAM, int(max_value_bytes * VALUE_FILL_FACTOR) // GRANT_BYTES
        )
        self.requested_since: dict[AttemptId, float] = {}
        self.denial_reasons: dict[AttemptId, str] = {}  # shown in the maintenance status
        # By team and attempt; True: the grant has been written
        self.grants_by_team: dict[str, dict[AttemptId, bool]] = {team: {} for team in store.teams}
        self.grant_versions: dict[str, int] = dict.fromkeys(store.teams, 0)
        self.teams_with_unwritten_grants: set[str] = set()
        self.recent_disruptions: dict[str, RecentDisruptions] = {
            team: RecentDisruptions() for team in store.teams
        }
        self.next_grant_at = 0.0

    # -- requests ----------------------------------------------------------------------------

    def request_eviction(self, allocation: Allocation, requested: bool, now: float) -> None:
        """Record that a shard owner requests an attempt's eviction, or withdraws the request."""
        attempt_id = allocation.attempt_id
        if requested:
            self.requested_since.setdefault(attempt_id, now)
        elif self.requested_since.pop(attempt_id, None) is not None:
            self.denial_reasons.pop(attempt_id, None)
            granted = self.grants_by_team[self.store.jobs[allocation.job_id].team]
            if granted.get(attempt_id) is False:
                del granted[attempt_id]  # a grant that has not been written yet is withdrawn

    # -- granting ----------------------------------------------------------------------------

    def grant_evictions(self, now: float, wall_time: float) -> None:
        """Grant the requests that the budgets allow, oldest first, at most every half second.

        `wall_time` determines which maintenance windows of a budget are open.
        """
        if not self.requested_since or now < self.next_grant_at:
            return
        self.next_grant_at = now + GRANT_INTERVAL_S
        unavailable_per_team: dict[str, int] = {}
        for attempt_id in sorted(
            self.requested_since,
            key=lambda requested: (self.requested_since[requested], requested),
        ):
            job_state = self.store.jobs.get(attempt_id.job_id)
            allocation = self._outstanding_allocation(attempt_id)
            if (
                job_state is None
                or job_state.job is None
                or allocation is None
                or allocation.stop_grace_s is not None
            ):
                del self.requested_since[attempt_id]  # the attempt has ended or is stopping already
                self.denial_reasons.pop(attempt_id, None)
            elif attempt_id not in self.grants_by_team[job_state.team]:
                if job_state.team not in unavailable_per_team:
                    unavailable_per_team[job_state.team] = self._team_unavailable(job_state.team)
                self._grant_or_deny(
                    job_state, job_state.job, allocation, unavailable_per_team, now, wall_time
                )

    def _grant_or_deny(
        self,
        job_state: JobState,
        job: Job,
        allocation: Allocation,
        unavailable_per_team: dict[str, int],
        now: float,
        wall_time: float,
    ) -> None:
        """Grant one eviction, for a gang that of all its attempts, or record why it is denied."""
        attempt_id = allocation.attempt_id
        team = job_state.team
        granted = self.grants_by_team[team]
        disruptions = self.recent_disruptions[team]
        request = self._eviction_request(job_state, allocation, unavailable_per_team[team], now)
        attempts = (
            [other for other in job_state.allocations.values() if not other.finished]
            if job.kind == "gang"
            else [allocation]
        )
        reason = denial_reason(
            self.budgets.for_job(team, job.job_class, job_state.id),
            request,
            disruptions.last_minute(now),
            wall_time,
        )
        if not reason and len(granted) + len(attempts) > self.max_grants:
            reason = REASON_TOO_MANY_GRANTS
        if reason:
            self.denial_reasons[attempt_id] = reason
            return
        self.denial_reasons.pop(attempt_id, None)
        for other in attempts:
            granted[other.attempt_id] = False
        disruptions.record(int(job.kind == "gang"), request.lost_work_s, now)
        if job.kind == "service":
            unavailable_per_team[team] += 1
        self.teams_with_unwritten_grants.add(team)

    def _team_unavailable(self, team: str) -> int:
        """Return how many replicas of a team are unavailable, in services that once ran fully."""
        return sum(
            self._unavailable_replicas(job_state)
            for job_state in self.store.jobs.values()
            if job_state.team == team and job_state.all_tasks_ran
        )

    def _unavailable_replicas(self, job_state: JobState) -> int:
        """Return how many replicas of a service are not running or will stop; 0 for other jobs."""
        return (
            job_state.task_count - self._available_replicas(job_state)
            if job_state.job is not None and job_state.job.kind == "service"
            else 0
        )

    def _available_replicas(self, job_state: JobState) -> int:
        granted = self.grants_by_team[job_state.team]
        return sum(
            1
            for allocation in job_state.allocations.values()
            if allocation.running
            and allocation.stop_grace_s is None
            and allocation.attempt_id not in granted
        )

    def _eviction_request(
        self, job_state: JobState, allocation: Allocation, team_unavailable: int, now: float
    ) -> EvictionRequest:
        job = job_state.job
        assert job is not None
        ran_s = now - allocation.running_since if allocation.running_since is not None else 0.0
        stopped_tasks = job_state.task_count if job.kind == "gang" else 1
        is_service = job.kind == "service"
        lost_work_s = 0.0 if job.checkpoint_s > 0 or is_service else ran_s * stopped_tasks
        remaining_s = float("inf") if is_service else max(0.0, job.estimate_s - ran_s)
        return EvictionRequest(
            job.kind,
            job_state.task_count,
            self._available_replicas(job_state),
            team_unavailable,
            lost_work_s,
            remaining_s,
            now - self.requested_since[allocation.attempt_id],
        )

    def _stop_granted(self, job_state: JobState, allocation: Allocation) -> None:
        """Stop an attempt whose grant has been written, with time to save if its job can save."""
        job = job_state.job
        if not allocation.finished and allocation.stop_grace_s is None and allocation.committed:
            self.store.request_stop(allocation, save_grace_s(job) if job is not None else 0.0)

    # -- writing -----------------------------------------------------------------------------

    def add_to_write(self, txn: PendingWrite | None) -> PendingWrite | None:
        """Return the next transaction, with unwritten grants; None if there is nothing to write.

        `txn` is the transaction that `StoreWriter.next_write` has just returned. Nothing is added
        while chunks are being fenced.
        """
        if not self.teams_with_unwritten_grants or self.writer.chunks_to_fence:
            return txn
        if txn is None:
            txn = self.writer.empty_write()
        for team in sorted(self.teams_with_unwritten_grants):
            if not self._add_grants(txn, team):
                break
        return txn if txn.operation_count else None

    def _add_grants(self, txn: PendingWrite, team: str) -> bool:
        """Add a team's grants, except those of ended attempts; return False if they don't fit."""
        granted = self.grants_by_team[team]
        key = grants_key(team)
        size_bytes = GRANT_BYTES * len(granted) + GRANTS_OVERHEAD_BYTES
        if (
            txn.operation_count + 1 > self.writer.write_operation_limit
            or len(txn.compare) + 1 > self.writer.max_comparisons
            or txn.size_bytes + size_bytes > MAX_TRANSACTION_BYTES
        ):
            return False
        ended = [
            attempt_id for attempt_id in granted if self._outstanding_allocation(attempt_id) is None
        ]
        for attempt_id in ended:
            del granted[attempt_id]
        if not granted and not self.grant_versions[team]:
            self.teams_with_unwritten_grants.discard(team)  # the key-value store holds none either
            return True
        txn.compare[key] = self.grant_versions[team]
        if granted:
            txn.puts[key] = [list(attempt_id) for attempt_id in sorted(granted)]
        else:
            txn.deletes.append(key)
        txn.eviction_grants[team] = sorted(granted)
        txn.size_bytes += size_bytes
        return True

    def _known_allocation(self, attempt_id: AttemptId) -> Allocation | None:
        """Return the allocation of an attempt, finished or not; None if it has none."""
        job_state = self.store.jobs.get(attempt_id.job_id)
        if job_state is None:
            return None
        allocation = job_state.allocations.get(attempt_id.task)
        if allocation is None or allocation.attempt != attempt_id.attempt:
            return None
        return allocation

    def _outstanding_allocation(self, attempt_id: AttemptId) -> Allocation | None:
        """Return the allocation of an attempt; None if it has none or has finished."""
        allocation = self._known_allocation(attempt_id)
        return allocation if allocation is not None and not allocation.finished else None

    def on_committed(self, txn: PendingWrite, revision: int) -> None:
        """Handle a committed transaction: stop the attempts whose grants it contains."""
        for team, attempt_ids in txn.eviction_grants.items():
            self.grant_versions[team] = revision if grants_key(team) in txn.puts else 0
            if sorted(self.grants_by_team[team]) == attempt_ids:
                self.teams_with_unwritten_grants.discard(team)
            self._apply_grants(team, attempt_ids)

    def _apply_grants(self, team: str, attempt_ids: list[AttemptId]) -> None:
        for attempt_id in attempt_ids:
            allocation = self._known_allocation(attempt_id)
            if allocation is not None:
                self.grants_by_team[team][attempt_id] = True
                self._stop_granted(self.store.jobs[allocation.job_id], allocation)

    def install_grants(self, team: str, value: Any, version: int) -> None:
        """Replace a team's written grants by those read from the key-value store.

        Called when the source starts and after a write of unknown outcome. The team's allocations
        must have been installed before.
        """
        self.grant_versions[team] = version
        granted = self.grants_by_team[team]
        for attempt_id in [attempt_id for attempt_id, written in granted.items() if written]:
            del granted[attempt_id]
        self._apply_grants(
            team,
            [
                AttemptId(str(job_id), int(task), int(attempt))
                for job_id, task, attempt in value or []
            ],
        )
        if granted or value:
            self.teams_with_unwritten_grants.add(team)
