"""Is at least half of each class and team served? From a played day's report and its debug logs.

    fleetbench run SITE DAY --log debug --report day.json > day.log
    python -m scripts.served_by_class day.json day.log

How it is counted. *Served*: a job of an array or gang that completed, a service all of whose
replicas ran at some time. Jobs that their users cancelled before that count neither way. Classes
are counted over all submissions, by the bench's report (completed: told so or not); teams over
the jobs that a controller accepted, by the logs, since a submission that nobody accepted leaves
its team's name nowhere. Tasks are shown beside jobs, so that a large job that starves shows among
small ones. Ends with status 1 where a class or team has less than half of its jobs or tasks
served, and says "near" below 0.65.

*Largest*: of each class the tenth of its jobs with the most tasks, three at least, by the logs.
Less than half of them served is a failed day, and so is one that has not begun within 240 s of
its acceptance: a gang with all its tasks, any other job with one.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

HALF = 0.5
NEAR = 0.65
BEGIN_S = 240.0
# Older releases wrote `withdrawn`, `klass=` and `why=` for `cancelled`, `class=` and `reason=`
CANCELLED_EVENTS = ("cancelled", "withdrawn")
LINE = re.compile(r" *([0-9.]+) \S+ \w+ (accepted|task|done|cancelled|withdrawn) (.*)")


@dataclass
class Counted:
    """One job as the logs tell of it."""

    team: str
    kind: str
    klass: str
    tasks: int
    at: float = 0.0  # when it was accepted
    began: float | None = None  # when its first task ran; of a gang, its last
    ran: set[str] = field(default_factory=set)
    completed: set[str] = field(default_factory=set)
    done: bool = False
    cancelled: bool = False

    def runs(self, task: str, at: float) -> None:
        """A task of it runs."""
        self.ran.add(task)
        if self.began is None and (self.kind != "gang" or len(self.ran) >= self.tasks):
            self.began = at

    @property
    def started(self) -> bool:
        """Whether any task ran."""
        return bool(self.ran)

    @property
    def served(self) -> bool:
        """Whether its users got what they asked for."""
        return len(self.ran) >= self.tasks if self.kind == "service" else self.done

    @property
    def tasks_served(self) -> int:
        """How many of its tasks were of use."""
        return (
            len(self.ran)
            if self.kind == "service"
            else self.tasks
            if self.done
            else len(self.completed)
        )


def jobs(lines: Iterable[str]) -> dict[str, Counted]:
    """All accepted jobs, from the log lines of all controllers."""
    out: dict[str, Counted] = {}
    for text in lines:
        m = LINE.match(text)
        if m is None:
            continue
        at, what = float(m[1]), m[2]
        f = dict(p.split("=", 1) for p in m[3].split() if "=" in p)
        job = out.get(f.get("job", ""))
        if what == "accepted" and job is None:
            out[f["job"]] = Counted(
                f["team"], f["kind"], f.get("class", f.get("klass", f["kind"])), int(f["tasks"]), at
            )
        elif job is not None and what == "task":
            if f.get("state") == "running":
                job.runs(f["task"], at)
            elif f.get("reason", f.get("why")) == "done":
                job.runs(f["task"], at)
                job.completed.add(f["task"])
        elif job is not None:
            job.done, job.cancelled = (
                job.done or what == "done",
                job.cancelled or what in CANCELLED_EVENTS,
            )
            if job.done and job.began is None:
                job.began = at
    return out


def line(
    name: str,
    asked: int,
    accepted: int,
    started: int,
    cancelled: int,
    served: int,
    tasks: int,
    tasks_served: int,
) -> tuple[str, float]:
    """A line of the table, and the lower of the two shares; `cancelled` ones count neither way."""
    share = served / (asked - cancelled) if asked > cancelled else 1.0
    task_share = tasks_served / tasks if tasks else 1.0
    least = min(share, task_share)
    mark = "FAILS" if least < HALF else "near" if least < NEAR else ""
    of_tasks = (
        f"{tasks:8} {tasks_served:8} {task_share:6.3f}" if tasks else f"{'-':>8} {'-':>8} {'-':>6}"
    )
    return (
        (
            f"{name:24} {asked:6} {accepted:8} {started:7} {cancelled:9} {served:6} "
            f"{share:6.3f} {of_tasks} {mark}"
        ).rstrip(),
        least,
    )


def of_class(name: str, c: dict[str, Any], found: list[Counted]) -> tuple[str, float]:
    """A class, by the bench's report; its tasks by the logs, if they name classes."""
    tasks, tasks_served = of_tasks(found)
    if "up" in c:
        return line(
            f"class {name}",
            c["jobs"],
            c["accepted"],
            c["started"],
            0,
            c["started"],
            tasks,
            tasks_served,
        )
    return line(
        f"class {name}",
        c["jobs"],
        c["accepted"],
        c["started"],
        c["cancelled"],
        c["done"],
        tasks,
        tasks_served,
    )


def of_team(name: str, found: list[Counted]) -> tuple[str, float]:
    """A team, by the logs."""
    cancelled = sum(j.cancelled and not j.served for j in found)
    n, started = len(found), sum(j.started for j in found)
    return line(
        f"team {name}", n, n, started, cancelled, sum(j.served for j in found), *of_tasks(found)
    )


def of_tasks(found: list[Counted]) -> tuple[int, int]:
    """Tasks, and those of use, of all jobs that count."""
    counted = [j for j in found if j.served or not j.cancelled]
    return sum(j.tasks for j in counted), sum(j.tasks_served for j in counted)


def largest(found: list[Counted]) -> tuple[float, float]:
    """Of a class's largest jobs: the share served, and the longest that one took to begin.

    One that never began counts as infinite; those cancelled before they were served don't count.
    """
    ranked = sorted(found, key=lambda j: (-j.tasks, j.at))
    some = [j for j in ranked[: max(3, -(-len(ranked) // 10))] if j.served or not j.cancelled]
    begin = [(j.began - j.at) if j.began is not None else float("inf") for j in some]
    return (sum(j.served for j in some) / len(some) if some else 1.0), max(begin, default=0.0)


def of_largest(found: dict[str, Counted]) -> list[tuple[str, float, float]]:
    """Every class: a line on its largest jobs, the share served, and the longest wait."""
    out = []
    for name in sorted({j.klass for j in found.values()}):
        mine = [j for j in found.values() if j.klass == name]
        share, begin = largest(mine)
        mark = "FAILS" if share < HALF or begin > BEGIN_S else ""
        most = max(j.tasks for j in mine)
        out.append(
            (
                (
                    f"largest {name} (up to {most} tasks): served {share:.3f}, "
                    f"begun within {begin:.0f} s {mark}"
                ).rstrip(),
                share,
                begin,
            )
        )
    return out


def rows(report: dict[str, Any], found: dict[str, Counted]) -> list[tuple[str, float]]:
    """Every class and team: its line, and its lower share."""
    out = [
        of_class(name, c, [j for j in found.values() if j.klass == name])
        for name, c in report["classes"].items()
    ]
    return out + [
        of_team(t, [j for j in found.values() if j.team == t])
        for t in sorted({j.team for j in found.values()})
    ]


def table(report: dict[str, Any], found: dict[str, Counted]) -> tuple[list[str], float]:
    """All lines, and the least share of any class or team."""
    head = (
        f"{'':24} {'asked':>6} {'accepted':>8} {'started':>7} {'cancelled':>9} {'served':>6} "
        f"{'share':>6} "
        f"{'tasks':>8} {'served':>8} {'share':>6}"
    )
    lines = rows(report, found)
    big = of_largest(found)
    least = min(
        [share for _, share in lines]
        + [0.0 if begin > BEGIN_S else share for _, share, begin in big],
        default=1.0,
    )
    return [head, *(text for text, _ in lines), *(text for text, _, _ in big)], least


def main() -> int:
    """Print the table; status 1 where somebody got less than a half."""
    p = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    p.add_argument("report", type=Path)
    p.add_argument("log", type=Path)
    args = p.parse_args()
    with args.log.open(errors="replace") as f:
        found = jobs(f)
    lines, least = table(json.loads(args.report.read_text()), found)
    print("\n".join(lines))
    return 1 if least < HALF else 0


if __name__ == "__main__":
    sys.exit(main())
