"""Decide which evictions a team's disruption budget allows.

Losses by failure count against the budget, since a replica that is down is down whatever the cause;
so evictions stop while machines fail. A budget does not restrict termination notices,
cancellations and preemption for a guaranteed quota, but the replicas that these take down count
against it like failures. Used by `scheduling.eviction_grants`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from functools import lru_cache
from typing import Any

MINUTE_S = 60.0
MAX_CACHED_BUDGETS = 16_384  # one for each job
MINUTES_PER_DAY = 1440


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """The disruption budget of one job."""

    max_unavailable: int = 2  # replicas of the job that may be down at once, whatever the cause
    # Also limits them to this share of the job's replicas, but one may always be down
    max_unavailable_share: float = 0.34
    min_available: int = 0  # replicas of the job that must stay available
    team_max_unavailable: int = 12  # replicas of the job's team that may be down at once
    gangs_per_min: float = 4.0  # gangs of the job's team that may be evicted in a minute
    # Task seconds that the job's team may lose in a minute; the first eviction is granted however
    # many it loses
    lost_s_per_min: float = 1800.0
    # A task that should end within this time is not evicted, unless its eviction has already been
    # requested for this time
    let_finish_s: float = 120.0
    # Start and end minutes of the day (UTC) between which nothing is evicted
    quiet_hours: tuple[tuple[int, int], ...] = ()


# Option names in the operators' options file, with the fields of DisruptionBudget
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
    """The disruption budgets of all jobs.

    Options for the job take precedence over those for its class, then those for its team, then the
    defaults.
    """

    def __init__(self, tables: dict[str, Any] | None = None) -> None:
        """Take the options file's tables `default`, `teams`, `classes` and `jobs`.

        `for_job` returns the budget for a team, job class and job id.
        """
        tables = tables or {}
        self.default = _with_overrides(DisruptionBudget(), tables.get("default", {}))
        self.overrides = tables
        self.for_job = lru_cache(maxsize=MAX_CACHED_BUDGETS)(self._for_job)

    def _for_job(self, team: str, job_class: str, job: str) -> DisruptionBudget:
        """Return the budget of a job, from the defaults and all overrides that apply to it."""
        budget = self.default
        for table, name in (("teams", team), ("classes", job_class), ("jobs", job)):
            budget = _with_overrides(budget, self.overrides.get(table, {}).get(name, {}))
        return budget


def _with_overrides(budget: DisruptionBudget, overrides: dict[str, Any]) -> DisruptionBudget:
    """Return a copy of a budget with the given options; unknown options are ignored."""
    changes: dict[str, Any] = {
        OPTION_NAMES[option]: value for option, value in overrides.items() if option in OPTION_NAMES
    }
    if QUIET_HOURS_OPTION in overrides:
        changes["quiet_hours"] = tuple(
            (_minute_of_day(start), _minute_of_day(end))
            for start, end in overrides[QUIET_HOURS_OPTION]
        )
    return replace(budget, **changes)


def _minute_of_day(text: str) -> int:
    """Return the minute of the day of a time such as 22:30."""
    return int(text[:2]) * 60 + int(text[3:])


@dataclass(slots=True)
class RecentDisruptions:
    """The evictions of one team that were granted in the last minute."""

    # Time, number of gangs and lost task seconds of each eviction
    evictions: deque[tuple[float, int, float]] = field(default_factory=deque)

    def last_minute(self, now: float) -> tuple[int, float]:
        """Return the gangs and the task seconds lost in the last minute."""
        while self.evictions and now - self.evictions[0][0] > MINUTE_S:
            self.evictions.popleft()
        gangs = sum(eviction_gangs for _, eviction_gangs, _ in self.evictions)
        return gangs, sum(lost_s for _, _, lost_s in self.evictions)

    def record(self, gangs: int, lost_s: float, now: float) -> None:
        """Record a granted eviction, unless it evicts no gang and loses no work."""
        if gangs or lost_s > 0:
            self.evictions.append((now, gangs, lost_s))


@dataclass(frozen=True, slots=True)
class EvictionRequest:
    """A requested eviction, with what the source of the team's jobs knows of the job and team."""

    kind: str  # array, gang, service
    task_count: int  # number of tasks of the job
    available: int  # replicas of the job that run and are not to be evicted
    team_unavailable: int  # replicas of the team that are down
    lost_work_s: float  # task seconds lost by the eviction
    remaining_s: float  # seconds until the task is expected to end
    requested_for_s: float  # seconds since the eviction was first requested


def denial_reason(
    budget: DisruptionBudget, request: EvictionRequest, recent: tuple[int, float], wall_time: float
) -> str:
    """Return why an eviction is not granted now, for operators; an empty string if it is granted.

    `recent` is the result of the team's `RecentDisruptions.last_minute`.
    """
    if _in_quiet_hours(budget, wall_time):
        return "nothing is stopped at this hour"
    if request.kind == "service":
        return _service_denial_reason(budget, request)
    return _batch_denial_reason(budget, request, recent)


def _in_quiet_hours(budget: DisruptionBudget, wall_time: float) -> bool:
    """Return whether a wall-clock time lies within quiet hours, which may span midnight."""
    minute = int(wall_time // MINUTE_S) % MINUTES_PER_DAY
    for start, end in budget.quiet_hours:
        over_midnight = start > end
        if over_midnight and (minute >= start or minute < end):
            return True
        if start <= minute < end:
            return True
    return False


def _service_denial_reason(budget: DisruptionBudget, request: EvictionRequest) -> str:
    """Return why a service's replica may not be evicted now; empty if it may be."""
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
    """Return why a task of an array or a gang may not be evicted now; empty if it may be."""
    if request.remaining_s <= budget.let_finish_s and request.requested_for_s < budget.let_finish_s:
        return "it ends by itself soon"
    gangs, lost_s = recent
    if request.kind == "gang" and gangs + 1 > budget.gangs_per_min:
        return "its team's gangs a minute"
    total_lost_s = lost_s + request.lost_work_s
    if request.lost_work_s > 0 and lost_s > 0 and total_lost_s > budget.lost_s_per_min:
        return "its team's lost work a minute"
    return ""
