"""How much of a team may be stopped by choice, and what counts against it.

Losses by failure count: a drain stops while machines die, since what is down is down, whoever did it. Notices, cancellations and
preemption for a guarantee aren't bound by it, but what they take down counts against it like a failure.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from functools import lru_cache
from typing import Any

MINUTE_S = 60.0
RULES_KEPT = 16_384  # jobs whose rules are kept as looked up


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """What holds for a job: the defaults, and what its team, its class or it itself has instead."""

    max_unavailable: int = 2  # replicas of one job that are down at once, whatever the cause
    max_unavailable_share: float = 0.34  # and at most this share of them, but always one
    min_available: int = 0  # replicas of one job that serve at any time
    team_max_unavailable: int = 12  # replicas of a team that are down at once
    gangs_per_min: float = 4.0  # gangs of a team stopped in a minute
    # Task seconds of a team lost in a minute; one stop is granted whatever it loses
    lost_s_per_min: float = 1800.0
    # A task that should end within this is let finish, and for no longer
    let_finish_s: float = 120.0
    # Minutes of the day (UTC) from and to which nothing is stopped
    quiet_hours: tuple[tuple[int, int], ...] = ()


# Names in the operators' options file.
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
    """Operators' budgets: `default`, `teams`, `classes` and `jobs`, the more particular one first."""

    def __init__(self, given: dict[str, Any] | None = None) -> None:
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
    out = replace(
        budget,
        **{OPTION_NAMES[key]: value for key, value in overrides.items() if key in OPTION_NAMES},
    )
    if "quiet" in overrides:
        out = replace(
            out, quiet_hours=tuple((_minute(a), _minute(b)) for a, b in overrides["quiet"])
        )
    return out


def _minute(text: str) -> int:
    """A time of day like 22:30, in minutes."""
    return int(text[:2]) * 60 + int(text[3:])


@dataclass(slots=True)
class RecentDisruptions:
    """What one team has had stopped by choice in the last minute."""

    # When, gangs, task seconds lost
    evictions: deque[tuple[float, int, float]] = field(default_factory=deque)

    def last_minute(self, now: float) -> tuple[int, float]:
        """Gangs and task seconds of the last minute."""
        while self.evictions and now - self.evictions[0][0] > MINUTE_S:
            self.evictions.popleft()
        return sum(g for _, g, _ in self.evictions), sum(
            seconds for _, _, seconds in self.evictions
        )

    def record(self, gangs: int, lost_s: float, now: float) -> None:
        """A stop was granted."""
        if gangs or lost_s > 0:
            self.evictions.append((now, gangs, lost_s))


@dataclass(frozen=True, slots=True)
class EvictionRequest:
    """One stop that is asked for, as the team's source sees it."""

    kind: str  # array, gang, service
    task_count: int  # tasks of the job
    available: int  # replicas of the job that run and are not to be stopped
    team_unavailable: int  # replicas of the team that are down
    lost_work_s: float  # task seconds lost by it
    remaining_s: float  # seconds until it should end by itself
    requested_for_s: float  # seconds since it was first asked for


def denial_reason(
    budget: DisruptionBudget, request: EvictionRequest, recent: tuple[int, float], wall_time: float
) -> str:
    """Why a stop is not granted now; nothing if it is."""
    minute = int(wall_time // 60) % 1440
    for a, b in budget.quiet_hours:
        if (a <= minute < b) if a <= b else (minute >= a or minute < b):
            return "nothing is stopped at this hour"
    if request.kind == "service":
        if request.available - 1 < budget.min_available:
            return "its floor of replicas that serve"
        if request.task_count - request.available + 1 > max(
            1, min(budget.max_unavailable, int(budget.max_unavailable_share * request.task_count))
        ):
            return "too many of its replicas are down"
        if request.team_unavailable + 1 > budget.team_max_unavailable:
            return "too many of its team's replicas are down"
        return ""
    if request.remaining_s <= budget.let_finish_s and request.requested_for_s < budget.let_finish_s:
        return "it ends by itself soon"
    gangs, lost = recent
    if request.kind == "gang" and gangs + 1 > budget.gangs_per_min:
        return "its team's gangs a minute"
    if request.lost_work_s > 0 and lost > 0 and lost + request.lost_work_s > budget.lost_s_per_min:
        return "its team's lost work a minute"
    return ""
