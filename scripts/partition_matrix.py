"""Every partial network cut on a deployment of the users' bench: its cost, by version.

    python -m scripts.partition_matrix --bench FLEETBENCH --site SITE.toml --out DIR
        [--tree CHECKOUT]... [--only WORDS] [--at 150] [--jobs 4]

One day a cut: a controller (the busiest or another) loses the state service, the workers or the
whole network, in every mode the bench has for it, for 10, 40 and 90 s, from `--at` on. Days are
played in each checkout given (`--tree`, the first is "before"), without charging the processor,
so that a day mostly repeats; a day whose report lies in DIR already is not played again. `--pairs
N` plays N days with two or three overlapping cuts drawn from a seed instead.

What is counted, of a played day: tasks killed by their lease; the replicas' worst 30 s; the
longest time between two permits in the cut and 20 s after it; the slowest accepted submission;
answers of 503 to users; shards taken after the cut began.
"""

from __future__ import annotations

import json
import re
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from scripts import side_by_side

KINDS = {
    "state": ("hold", "reset", "refuse"),
    "workers": ("hold", "reset"),
    "network": ("hold", "reset"),
}
LASTS = (10, 40, 90)
AFTER_S = 20.0
COLUMNS = (
    "killed by lease",
    "worst 30 s",
    "no permit s",
    "slowest submit s",
    "503",
    "taken",
    "rules",
)


@dataclass(frozen=True)
class Day:
    """One day with its cuts."""

    name: str
    faults: tuple[str, ...]
    begin: float
    end: float

    def toml(self) -> str:
        """As the bench wants it."""
        faults = ",\n  ".join(self.faults)
        return (
            f'[[day]]\nname = "{self.name}"\nslot = "scale"\nlight = true\nseed = 901\n'
            f"faults = [\n  {faults},\n]\n"
        )


def fault(kind: str, mode: str, busiest: bool, lasts: float, at: float) -> str:
    """One cut as the bench's days name it."""
    which = {"state": "from_state = true, ", "workers": "from_workers = true, ", "network": ""}[
        kind
    ]
    return (
        f'{{ at_s = {at:.1f}, kind = "node_cut", count = 1, '
        f"busiest = {str(busiest).lower()}, {which}"
        f'for_s = {lasts:.1f}, mode = "{mode}" }}'
    )


def singles(at: float) -> list[Day]:
    """Every kind, mode, place and time."""
    return [
        Day(
            f"{kind}-{mode}-{'busiest' if busiest else 'other'}-{lasts}",
            (fault(kind, mode, busiest, lasts, at),),
            at,
            at + lasts,
        )
        for kind, modes in KINDS.items()
        for mode in modes
        for busiest in (True, False)
        for lasts in LASTS
    ]


def drawn(n: int, at: float) -> list[Day]:
    """Pairs and triples that overlap, the same for the same number."""
    out = []
    for i in range(n):
        rng = Random(i)
        cuts = []
        for _ in range(rng.choice([2, 2, 3])):
            kind = rng.choice(["state", "state", "workers", "workers", "network"])
            cuts.append(
                (
                    kind,
                    rng.choice(KINDS[kind]),
                    rng.random() < 0.6,
                    rng.choice([8.0, 20.0, 40.0]),
                    at + 15.0 * rng.random(),
                )
            )
        faults = [fault(*c) for c in sorted(cuts, key=lambda c: c[4])]
        if rng.random() < 0.3:
            faults.append(
                f'{{ at_s = {at + 20 * rng.random():.1f}, kind = "peers_refuse", '
                f"for_s = {rng.choice([5.0, 20.0])} }}"
            )
        out.append(Day(f"drawn-{i}", tuple(faults), at, max(c[4] + c[3] for c in cuts)))
    return out


def play(bench: str, site: str, tree: Path, day: Day, out: Path) -> dict[str, Any]:
    """Play one day in a checkout, unless its figures lie there already."""
    found = out / f"{day.name}.json"
    if found.exists():
        return json.loads(found.read_text())  # type: ignore[no-any-return]
    out.mkdir(parents=True, exist_ok=True)
    file, report, logs = (
        out / f"{day.name}.toml",
        out / f"{day.name}.report",
        out / f"{day.name}.log",
    )
    file.write_text(day.toml())
    command = [bench, "run", site, str(file), "--no-cpu", "--log", "debug", "--report", str(report)]
    command += ["--until", f"{day.end + 2 * AFTER_S:.0f}"]
    with logs.open("wb") as f:
        subprocess.run(command, cwd=tree, stdout=f, stderr=subprocess.STDOUT, check=False)
    if not report.exists():
        return {"failed": logs.read_text(errors="replace")[-400:]}
    figures = read(json.loads(report.read_text()), logs, day)
    found.write_text(json.dumps(figures))
    logs.unlink()
    return figures


def read(report: dict[str, Any], logs: Path, day: Day) -> dict[str, Any]:
    """The figures of a played day, from its report and its controllers' logs."""
    permits = [day.begin]
    taken = 0
    end = day.end + AFTER_S
    line = re.compile(rb" *([0-9.]+) \S+ \w+ (permit|shard acquired|shard taken) ")
    with logs.open("rb") as f:
        for text in f:
            m = line.match(text)
            if m and day.begin <= (at := float(m[1])) <= end:
                if m[2] == b"permit":
                    permits.append(at)
                else:
                    taken += 1
    permits.append(end)
    up = [t["value"] for t in report["targets"] if t["kind"] == "up" and t.get("worst_s")]
    return {
        "killed by lease": report["fleet"]["tasks_killed_by_lease"],
        "worst 30 s": min(up, default=1.0),
        "no permit s": round(max(b - a for a, b in zip(permits, permits[1:], strict=False)), 1),
        "slowest submit s": round((report["users"]["submit_ms"].get("max") or 0.0) / 1000, 1),
        "503": sum(n for code, n in report["users"]["errors"].items() if code == "503"),
        "taken": taken,
        "rules": report["rules_broken"]["total"],
    }


def main() -> int:
    """Play what is asked for and print the table."""
    p = side_by_side.options(__doc__, 4)
    p.add_argument(
        "--pairs",
        type=int,
        default=0,
        help="drawn days with overlapping cuts instead of single ones",
    )
    p.add_argument("--at", type=float, default=150.0)
    args = p.parse_args()
    bench, site = str(Path(args.bench).resolve()), str(args.site.resolve())
    days = [
        d
        for d in (drawn(args.pairs, args.at) if args.pairs else singles(args.at))
        if args.only in d.name
    ]
    played = side_by_side.compare(
        args,
        days,
        {"day": lambda d: d.name},
        COLUMNS,
        lambda d, t, out: play(bench, site, t, d, out),
    )
    return 1 if any(r.get("rules", 1) for rows in played for r in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
