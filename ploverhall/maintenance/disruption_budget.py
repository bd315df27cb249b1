"""How much of a team may be stopped by choice, and what counts against it.

Losses by failure count: a drain stops while machines die, since what is down is down, whoever did it. Notices, cancellations and
preemption for a guarantee aren't bound by it, but what they take down counts against it like a failure.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, fields, replace
from functools import lru_cache
from typing import Any

MINUTE_S = 60.0
RULES_KEPT = 16_384  # jobs whose rules are kept as looked up


@dataclass(frozen=True, slots=True)
class Rule:
    """What holds for a job: the defaults, and what its team, its class or it itself has instead."""

    down: int = 2  # replicas of one job that are down at once, whatever the cause
    share: float = 0.34  # and at most this share of them, but always one
    floor: int = 0  # replicas of one job that serve at any time
    team_down: int = 12  # replicas of a team that are down at once
    gangs_per_min: float = 4.0  # gangs of a team stopped in a minute
    lost_s_per_min: float = (
        1800.0  # task seconds of a team lost in a minute; one stop is granted whatever it loses
    )
    finish_s: float = 120.0  # a task that should end within this is let finish, and for no longer
    quiet: tuple[
        tuple[int, int], ...
    ] = ()  # minutes of the day (UTC) from and to which nothing is stopped


class Rules:
    """Operators' budgets: `default`, `teams`, `classes` and `jobs`, the more particular one first."""

    def __init__(self, given: dict[str, Any] | None = None) -> None:
        given = given or {}
        self.default = _with(Rule(), given.get("default", {}))
        self.given = given
        self.of = lru_cache(maxsize=RULES_KEPT)(self._of)

    def _of(self, team: str, klass: str, job: str) -> Rule:
        rule = self.default
        for kind, name in (("teams", team), ("classes", klass), ("jobs", job)):
            rule = _with(rule, self.given.get(kind, {}).get(name, {}))
        return rule


def _with(rule: Rule, given: dict[str, Any]) -> Rule:
    known = {f.name for f in fields(Rule)} - {"quiet"}
    out = replace(rule, **{k: v for k, v in given.items() if k in known})
    if "quiet" in given:
        out = replace(out, quiet=tuple((_minute(a), _minute(b)) for a, b in given["quiet"]))
    return out


def _minute(text: str) -> int:
    """A time of day like 22:30, in minutes."""
    return int(text[:2]) * 60 + int(text[3:])


@dataclass(slots=True)
class Spent:
    """What one team has had stopped by choice in the last minute."""

    stops: deque[tuple[float, int, float]] = field(
        default_factory=deque
    )  # when, gangs, task seconds lost

    def lately(self, now: float) -> tuple[int, float]:
        """Gangs and task seconds of the last minute."""
        while self.stops and now - self.stops[0][0] > MINUTE_S:
            self.stops.popleft()
        return sum(g for _, g, _ in self.stops), sum(s for _, _, s in self.stops)

    def add(self, gangs: int, lost_s: float, now: float) -> None:
        """A stop was granted."""
        if gangs or lost_s > 0:
            self.stops.append((now, gangs, lost_s))


@dataclass(frozen=True, slots=True)
class Facts:
    """One stop that is asked for, as the team's source sees it."""

    kind: str  # array, gang, service
    n: int  # tasks of the job
    up: int  # replicas of the job that run and are not to be stopped
    team_down: int  # replicas of the team that are down
    lost_s: float  # task seconds lost by it
    left_s: float  # seconds until it should end by itself
    asked_s: float  # seconds since it was first asked for


def why_not(rule: Rule, f: Facts, spent: tuple[int, float], wall: float) -> str:
    """Why a stop is not granted now; nothing if it is."""
    minute = int(wall // 60) % 1440
    for a, b in rule.quiet:
        if (a <= minute < b) if a <= b else (minute >= a or minute < b):
            return "nothing is stopped at this hour"
    if f.kind == "service":
        if f.up - 1 < rule.floor:
            return "its floor of replicas that serve"
        if f.n - f.up + 1 > max(1, min(rule.down, int(rule.share * f.n))):
            return "too many of its replicas are down"
        if f.team_down + 1 > rule.team_down:
            return "too many of its team's replicas are down"
        return ""
    if f.left_s <= rule.finish_s and f.asked_s < rule.finish_s:
        return "it ends by itself soon"
    gangs, lost = spent
    if f.kind == "gang" and gangs + 1 > rule.gangs_per_min:
        return "its team's gangs a minute"
    if f.lost_s > 0 and lost > 0 and lost + f.lost_s > rule.lost_s_per_min:
        return "its team's lost work a minute"
    return ""
