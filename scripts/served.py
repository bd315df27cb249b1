"""Is at least half of everyone served? Per class and per team, from a played day's report and its controllers' debug logs.

    fleetbench run SITE DAY --log debug --report day.json > day.log
    python -m scripts.served day.json day.log

How it is counted. *Served*: a job of an array or gang that completed, a service all of whose replicas ran at some time. Jobs
that their users cancelled before that count neither way. Classes are counted over all submissions, by the bench's report
(completed: told so or not); teams over the jobs that a controller accepted, by the logs, since a submission that nobody
accepted leaves its team's name nowhere: those are listed apart. Tasks are shown beside jobs, so that a large job that
starves shows among small ones. Ends with status 1 where a class or team has less than half of its jobs or tasks served, and
says "near" below 0.65.
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

HALF, NEAR = 0.5, 0.65
LINE = re.compile(r" *[0-9.]+ \S+ \w+ (accepted|task|done|withdrawn) (.*)")


@dataclass
class Counted:
    """One job as the logs tell of it."""

    team: str
    kind: str
    klass: str
    tasks: int
    ran: set[str] = field(default_factory=set)
    completed: set[str] = field(default_factory=set)
    done: bool = False
    withdrawn: bool = False

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
        return len(self.ran) if self.kind == "service" else self.tasks if self.done else len(self.completed)


def jobs(lines: Iterable[str]) -> dict[str, Counted]:
    """All accepted jobs, from the log lines of all controllers."""
    out: dict[str, Counted] = {}
    for text in lines:
        m = LINE.match(text)
        if m is None:
            continue
        f = dict(p.split("=", 1) for p in m[2].split() if "=" in p)
        job = out.get(f.get("job", ""))
        if m[1] == "accepted" and job is None:
            out[f["job"]] = Counted(f["team"], f["kind"], f.get("klass", f["kind"]), int(f["tasks"]))
        elif job is not None and m[1] == "task":
            if f.get("state") == "running":
                job.ran.add(f["task"])
            elif f.get("why") == "done":
                job.ran.add(f["task"])
                job.completed.add(f["task"])
        elif job is not None:
            job.done, job.withdrawn = job.done or m[1] == "done", job.withdrawn or m[1] == "withdrawn"
    return out


def row(name: str, found: list[Counted], unaccepted: int = 0) -> tuple[str, float]:
    """A line of the table, and the lower of the two shares."""
    counted = [j for j in found if j.served or not j.withdrawn]
    served = sum(j.served for j in counted)
    tasks, tasks_served = sum(j.tasks for j in counted), sum(j.tasks_served for j in counted)
    share = served / (len(counted) + unaccepted) if counted or unaccepted else 1.0
    task_share = tasks_served / tasks if tasks else 1.0
    least = min(share, task_share)
    mark = "FAILS" if least < HALF else "near" if least < NEAR else ""
    return (
        f"{name:24} {len(found) + unaccepted:6} {len(found):8} {sum(j.started for j in found):7} {len(found) - len(counted):9} "
        f"{served:6} {share:6.3f} {tasks:8} {tasks_served:8} {task_share:6.3f} {mark}"
    ), least


def table(report: dict[str, Any], found: dict[str, Counted]) -> tuple[list[str], float]:
    """All lines, and the least share of any class or team."""
    out = [f"{'':24} {'asked':>6} {'accepted':>8} {'started':>7} {'cancelled':>9} {'served':>6} {'share':>6} "
           f"{'tasks':>8} {'served':>8} {'share':>6}"]  # fmt: skip
    least = 1.0
    groups = [
        (f"class {name}", [j for j in found.values() if j.klass == name], max(0, c["jobs"] - c["accepted"]))
        for name, c in report["classes"].items()
    ]  # fmt: skip
    groups += [(f"team {t}", [j for j in found.values() if j.team == t], 0) for t in sorted({j.team for j in found.values()})]
    for name, members, unaccepted in groups:
        text, share = row(name, members, unaccepted)
        out.append(text)
        least = min(least, share)
    return out, least


def main() -> int:
    """Print the table; status 1 where somebody got less than a half."""
    p = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
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
