"""Disruption budgets: how many evictions are granted, and what counts against that.

Losses by failure count: evictions stop while machines fail, since a replica that is down is down
whatever the cause. Termination notices, cancellations and preemption for a guaranteed quota are not
bound by a budget, but what they take down counts against it like a failure. Used by
`scheduling.eviction_grants`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from functools import lru_cache
from typing import Any

MINUTE_S = 60.0
RULES_KEPT = 16_384  # jobs whose budgets are cached
MINUTES_PER_DAY = 1440


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """The budget of one job."""

    max_unavailable: int = 2  # replicas of the job that are down at once, whatever the cause
    max_unavailable_share: float = 0.34  # and at most this share of them, but always one
    min_available: int = 0  # replicas of the job that must stay available
    team_max_unavailable: int = 12  # replicas of its team that are down at once
    gangs_per_min: float = 4.0  # gangs of its team evicted in a minute
    # Task seconds of its team lost in a minute; the first eviction is granted whatever it loses
    lost_s_per_min: float = 1800.0
    # A task that should end within so many seconds is not evicted, but for no longer than that
    let_finish_s: float = 120.0
    # From and to which minute of the day (UTC) nothing is evicted
    quiet_hours: tuple[tuple[int, int], ...] = ()


# Names in the operators' options file
QUIET_HOURS_OPTION = "quiet"
OPTION_NAMES = {
    "down": "max_unavailable",
    "share": "max_unavailable_share",
    "floor": "min_available",
    "team_down": "team_max_unavailable",
    "gangs_per_min": "gangs_per_min",
    "lost_s_per_min": "lost_s_per_min",
    "finish_s": "let_finish_s",
}


class DisruptionBudgets:
    """All budgets: a job's own option goes before its class's, its team's and the default."""

    def __init__(self, given: dict[str, Any] | None = None) -> None:
        """`given`: the options file's tables `default`, `teams`, `classes` and `jobs`.

        `for_job` returns the budget of a team, job class and job id.
        """
        given = given or {}
        self.default = _with_overrides(DisruptionBudget(), given.get("default", {}))
        self.overrides = given
        self.for_job = lru_cache(maxsize=RULES_KEPT)(self._for_job)

    def _for_job(self, team: str, job_class: str, job: str) -> DisruptionBudget:
        rule = self.default
        for kind, name in (("teams", team), ("classes", job_class), ("jobs", job)):
            rule = _with_overrides(rule, self.overrides.get(kind, {}).get(name, {}))
        return rule


def _with_overrides(budget: DisruptionBudget, overrides: dict[str, Any]) -> DisruptionBudget:
    changes: dict[str, Any] = {
        OPTION_NAMES[option]: value for option, value in overrides.items() if option in OPTION_NAMES
    }
    if QUIET_HOURS_OPTION in overrides:
        changes["quiet_hours"] = tuple(
            (_minute(start), _minute(end)) for start, end in overrides[QUIET_HOURS_OPTION]
        )
    return replace(budget, **changes)


def _minute(text: str) -> int:
    """Return a time of day like 22:30 in minutes."""
    return int(text[:2]) * 60 + int(text[3:])


@dataclass(slots=True)
class RecentDisruptions:
    """What one team has lost by evictions in the last minute."""

    # Time, gangs, task seconds lost
    evictions: deque[tuple[float, int, float]] = field(default_factory=deque)

    def last_minute(self, now: float) -> tuple[int, float]:
        """Return the gangs and the task seconds lost in the last minute."""
        while self.evictions and now - self.evictions[0][0] > MINUTE_S:
            self.evictions.popleft()
        gangs = sum(eviction_gangs for _, eviction_gangs, _ in self.evictions)
        return gangs, sum(lost_s for _, _, lost_s in self.evictions)

    def record(self, gangs: int, lost_s: float, now: float) -> None:
        """Record a granted eviction."""
        if gangs or lost_s > 0:
            self.evictions.append((now, gangs, lost_s))


@dataclass(frozen=True, slots=True)
class EvictionRequest:
    """A requested eviction, as the source of the team's jobs sees it."""

    kind: str  # array, gang, service
    task_count: int  # tasks of the job
    available: int  # replicas of the job that run and are not to be stopped
    team_unavailable: int  # replicas of the team that are down
    lost_work_s: float  # task seconds lost by it
    remaining_s: float  # seconds until the task should end by itself
    requested_for_s: float  # seconds since the eviction was first requested


def denial_reason(
    budget: DisruptionBudget, request: EvictionRequest, recent: tuple[int, float], wall_time: float
) -> str:
    """Return why an eviction is not granted now, shown to operators; empty if it is granted.

    `recent`: the team's `RecentDisruptions.last_minute`.
    """
    if _in_quiet_hours(budget, wall_time):
        return "nothing is stopped at this hour"
    if request.kind == "service":
        return _service_denial_reason(budget, request)
    return _batch_denial_reason(budget, request, recent)


def _in_quiet_hours(budget: DisruptionBudget, wall_time: float) -> bool:
    minute = int(wall_time // MINUTE_S) % MINUTES_PER_DAY
    for start, end in budget.quiet_hours:
        over_midnight = start > end
        if over_midnight and (minute >= start or minute < end):
            return True
        if start <= minute < end:
            return True
    return False


def _service_denial_reason(budget: DisruptionBudget, request: EvictionRequest) -> str:
    if request.available - 1 < budget.min_available:
        return "its floor of replicas that serve"
    share = int(budget.max_unavailable_share * request.task_count)
    max_unavailable = max(1, min(budget.max_unavailable, share))
    if request.task_count - request.available + 1 > max_unavailable:
        return "too many of its replicas are down"
    if request.team_unavailable + 1 > budget.team_max_unavailable:
        return "too many of its team's replicas are down"
    return ""


def _batch_denial_reason(
    budget: DisruptionBudget, request: EvictionRequest, recent: tuple[int, float]
) -> str:
    if request.remaining_s <= budget.let_finish_s and request.requested_for_s < budget.let_finish_s:
        return "it ends by itself soon"
    gangs, lost_s = recent
    if request.kind == "gang" and gangs + 1 > budget.gangs_per_min:
        return "its team's gangs a minute"
    total_lost_s = lost_s + request.lost_work_s
    if request.lost_work_s > 0 and lost_s > 0 and total_lost_s > budget.lost_s_per_min:
        return "its team's lost work a minute"
    return ""
