"""Stops that are asked for and granted: a stop by choice is permitted like a start.

An owner asks (its machine is to be emptied), the team's source grants within the team's budget, and the grant is written
before it is used: a new source finds what was granted, counts it, and stops it again if it still runs; so two sources
never spend the same budget. A grant that is not needed any more leaves the value with the next one.
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
from ploverhall.scheduling.allocations import (
    MAX_TRANSACTION_BYTES,
    Allocation,
    JobState,
    PendingWrite,
)
from ploverhall.scheduling.store_writer import StoreWriter
from ploverhall.settings import Team
from ploverhall.storage.schema import SHARD_PREFIX, grants_key

GRANT_INTERVAL_S = 0.5
MAX_GRANTS_PER_TEAM = 48  # of one team in one value
GRANT_BYTES = 40


class EvictionGrants(StoreWriter):
    """What owners have asked for, and what was granted."""

    def __init__(
        self,
        shard: int,
        epoch: int,
        teams: list[Team],
        zones: tuple[str, ...],
        value_bytes: int,
        txn_ops: int,
    ) -> None:
        super().__init__(shard, epoch, teams, zones, value_bytes, txn_ops)
        self.budgets = DisruptionBudgets()
        self.max_grants = min(MAX_GRANTS_PER_TEAM, int(value_bytes * 0.9) // GRANT_BYTES)
        self.requested_since: dict[AttemptId, float] = {}  # since when
        self.denial_reasons: dict[AttemptId, str] = {}  # why it is not granted yet, for people
        # By team; True: it is written
        self.grants_by_team: dict[str, dict[AttemptId, bool]] = {team.name: {} for team in teams}
        self.grant_versions: dict[str, int] = {team.name: 0 for team in teams}
        self.teams_with_unwritten_grants: set[str] = set()
        self.recent_disruptions: dict[str, RecentDisruptions] = {
            team.name: RecentDisruptions() for team in teams
        }
        self.next_grant_at = 0.0

    # -- asking ------------------------------------------------------------------------------

    def request_eviction(self, allocation: Allocation, requested: bool, now: float) -> None:
        """An owner wants a start gone from its machine, or not any more."""
        key = (allocation.job_id, allocation.task, allocation.attempt)
        if requested:
            self.requested_since.setdefault(key, now)
        elif self.requested_since.pop(key, None) is not None:
            self.denial_reasons.pop(key, None)
            team = self.jobs[allocation.job_id].team
            if self.grants_by_team[team].get(key) is False:
                del self.grants_by_team[team][
                    key
                ]  # not written yet: the order was taken back in time

    # -- granting ----------------------------------------------------------------------------

    def grant_evictions(self, now: float, wall_time: float) -> None:
        """Hold what is asked for against the budgets, replicas that have waited for longest first."""
        if not self.requested_since or now < self.next_grant_at:
            return
        self.next_grant_at = now + GRANT_INTERVAL_S
        downs: dict[str, int] = {}
        for key in sorted(
            self.requested_since,
            key=lambda attempt_id: (self.requested_since[attempt_id], attempt_id),
        ):
            job_state = self.jobs.get(key[0])
            allocation = job_state.allocations.get(key[1]) if job_state is not None else None
            if (
                job_state is None
                or allocation is None
                or job_state.job is None
                or allocation.finished
                or allocation.attempt != key[2]
                or allocation.stop_grace_s is not None
            ):
                del self.requested_since[key]  # it is over, or stops already
                self.denial_reasons.pop(key, None)
                continue
            granted = self.grants_by_team[job_state.team]
            if key in granted:
                continue
            if job_state.team not in downs:
                downs[job_state.team] = sum(
                    self._unavailable_replicas(other_state)
                    for other_state in self.jobs.values()
                    if other_state.team == job_state.team and other_state.fully_ran
                )
            rule = self.budgets.for_job(job_state.team, job_state.job.job_class, job_state.id)
            facts = self._eviction_request(job_state, allocation, downs[job_state.team], now)
            members = (
                [other for other in job_state.allocations.values() if not other.finished]
                if job_state.job.kind == "gang"
                else [allocation]
            )
            why = denial_reason(
                rule, facts, self.recent_disruptions[job_state.team].last_minute(now), wall_time
            )
            if not why and len(granted) + len(members) > self.max_grants:
                why = "so many of its team are being stopped"
            if why:
                self.denial_reasons[key] = why
                continue
            self.denial_reasons.pop(key, None)
            for other in members:
                granted[other.job_id, other.task, other.attempt] = False
            self.recent_disruptions[job_state.team].record(
                int(job_state.job.kind == "gang"), facts.lost_work_s, now
            )
            if job_state.job.kind == "service":
                downs[job_state.team] += 1
            self.teams_with_unwritten_grants.add(job_state.team)

    def _unavailable_replicas(self, job_state: JobState) -> int:
        """Replicas of a service that do not serve, or will not in a moment."""
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
            and (allocation.job_id, allocation.task, allocation.attempt) not in granted
        )

    def _eviction_request(
        self, job_state: JobState, allocation: Allocation, team_down: int, now: float
    ) -> EvictionRequest:
        job = job_state.job
        assert job is not None
        ran = now - allocation.running_since if allocation.running_since is not None else 0.0
        size = job_state.task_count if job.kind == "gang" else 1
        lost = 0.0 if job.checkpoint_s > 0 or job.kind == "service" else ran * size
        left = max(0.0, job.estimate_s - ran) if job.kind != "service" else float("inf")
        return EvictionRequest(
            job.kind,
            job_state.task_count,
            self._available_replicas(job_state),
            team_down,
            lost,
            left,
            now - self.requested_since[allocation.job_id, allocation.task, allocation.attempt],
        )

    def _stop_granted(self, job_state: JobState, allocation: Allocation) -> None:
        """A grant is written: stop it, saving where it can; a gang's tasks all with the same time to save."""
        job = job_state.job
        if not allocation.finished and allocation.stop_grace_s is None and allocation.committed:
            self._request_stop(
                allocation, job.save_s + 1.0 if job is not None and job.checkpoint_s > 0 else 0.0
            )

    # -- writing -----------------------------------------------------------------------------

    def next_write(self, max_operations: int | None = None) -> PendingWrite | None:
        """The next write, with the grants that wait for one."""
        txn = super().next_write(max_operations)
        if not self.teams_with_unwritten_grants or self.chunks_to_fence:
            return txn
        if txn is None:
            txn = PendingWrite({f"{SHARD_PREFIX}{self.shard}": self.epoch}, {}, [])
        for team in sorted(self.teams_with_unwritten_grants):
            granted, key = self.grants_by_team[team], grants_key(team)
            size = GRANT_BYTES * len(granted) + 100
            if (
                txn.operation_count + 1 > self.write_operation_limit
                or len(txn.compare) + 1 > self._max_comparisons
                or txn.size_bytes + size > MAX_TRANSACTION_BYTES
            ):
                break
            for attempt_id in [
                attempt_id for attempt_id in granted if not self._is_outstanding(attempt_id)
            ]:
                del granted[attempt_id]
            if not granted and not self.grant_versions[team]:
                self.teams_with_unwritten_grants.discard(
                    team
                )  # nothing is written, and nothing has to be
                continue
            txn.compare[key] = self.grant_versions[team]
            if granted:
                txn.puts[key] = [list(attempt_id) for attempt_id in sorted(granted)]
            elif self.grant_versions[team]:
                txn.deletes.append(key)
            txn.eviction_grants[team] = sorted(granted)
            txn.size_bytes += size
        return txn if txn.operation_count else None

    def _is_outstanding(self, key: AttemptId) -> bool:
        job_state = self.jobs.get(key[0])
        allocation = job_state.allocations.get(key[1]) if job_state is not None else None
        return allocation is not None and allocation.attempt == key[2] and not allocation.finished

    def on_committed(self, txn: PendingWrite, revision: int, now: float) -> None:
        """The write is in: what was granted may be stopped."""
        super().on_committed(txn, revision, now)
        for team, keys in txn.eviction_grants.items():
            self.grant_versions[team] = revision if grants_key(team) in txn.puts else 0
            if sorted(self.grants_by_team[team]) == keys:
                self.teams_with_unwritten_grants.discard(team)
            self._apply_grants(team, keys)

    def _apply_grants(self, team: str, keys: list[AttemptId]) -> None:
        for key in keys:
            job_state = self.jobs.get(key[0])
            allocation = job_state.allocations.get(key[1]) if job_state is not None else None
            if job_state is not None and allocation is not None and allocation.attempt == key[2]:
                self.grants_by_team[team][key] = True
                self._stop_granted(job_state, allocation)

    def install_grants(self, team: str, value: Any, version: int) -> None:
        """What is written of a team's grants, as read: at the start, and after a write of unknown outcome. Its cell must be known."""
        self.grant_versions[team] = version
        for key in [
            attempt_id for attempt_id, written in self.grants_by_team[team].items() if written
        ]:
            del self.grants_by_team[team][key]
        self._apply_grants(team, [(str(j), int(t), int(a)) for j, t, a in value or []])
        if self.grants_by_team[team] or value:
            self.teams_with_unwritten_grants.add(team)
