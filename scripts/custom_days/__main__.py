"""Own days on copies of a site: other machines, zones, controllers, and faults drawn from a seed.

    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        [--tree CHECKOUT]... [--drawn 30] [--seed 1] [--jobs 6]
    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        --table [--tree BEFORE --tree AFTER]
    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        --meetings 20 [--only gap]
    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        --further 20 [--seed 1]

`--drawn N` makes N copies of the site, each with 2 to 7 controllers, 1 to 4 zones (at least 2
where jobs are spread; uneven ones, sometimes one without a controller), 0.5 to 1.5 times the
machines and arrivals, processes back after 0.1 to 6 s, and one day on each. Number I of a seed is
always the same copy and day. `--table` plays the fixed days that fast restarts were first
measured by (1.5 times the machines, back in 0.3 s). `--meetings N` makes N days on which two or
three troubles meet, three times a day, while half to four fifths of an array class is cancelled:
every third one the gap (a controller is refused or cut off, and then the state service is down
for everybody for longer than `cancel_s`), the others drawn by `meeting`. `--further N` makes N
days with the operators' further troubles, the meetings of `scripts.custom_days.further` one after
the other. Days are played without charging the processor unless `--charge` is given, so that a
day mostly repeats; a day whose figures lie in DIR already is not played again.

What is judged, of a played day: rules; the least share of any class or team, and of any class's
largest jobs, that is served, and how soon those begin (`scripts.served_by_class`); restarts by
themselves. What is shown besides: the bench's figure, tasks killed by their lease, the replicas'
worst 30 s, processor seconds of all controllers, the highest memory and sockets as shares of what
a controller has. Ends with status 1 where a day fails.
"""

from __future__ import annotations

import json
import re
import shutil
import subprocess
import sys
import tomllib
from copy import deepcopy
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import tomli_w

from scripts import served_by_class, side_by_side
from scripts.custom_days import further

COLUMNS = (
    "figure",
    "rules",
    "least served",
    "who",
    "largest served",
    "begun in s",
    "by themselves",
    "killed by lease",
    "worst 30 s",
    "processor s",
    "memory",
    "sockets",
)
DELAYS = (0.1, 0.2, 0.3, 0.5, 1.0, 3.0, 6.0)
MODES = ("hold", "reset")


@dataclass(frozen=True)
class Day:
    """A copy of a site with one day on it."""

    name: str
    copy: str  # what was changed, in a few words
    site: dict[str, Any]


def scaled(site: dict[str, Any], times: float) -> None:
    """Machines, what is up at the start, and what arrives, times a factor."""
    for c in site.get("capacity", []) + site.get("machines", []):
        for k in ("count", "spot"):
            if type(c.get(k)) is int:
                c[k] = max(1, round(c[k] * times))
    for job in site["jobs"]:
        job["initial"] = round(job.get("initial", 0) * times)
        job["arrivals"]["rate"] *= times


def rezoned(site: dict[str, Any], nodes: int, zones: int, without: bool, rng: Random) -> None:
    """The same machines in other zones, unevenly; the last one without a controller, if wanted."""
    names = [f"zone-{chr(97 + i)}" for i in range(zones)]
    site["nodes"]["count"] = nodes
    site["nodes"]["zones"] = names[:-1] if without and zones > 1 else names
    weights = [0.4 + rng.random() for _ in names]
    for kind in ("capacity", "machines"):
        if kind not in site:
            continue
        total: dict[tuple[str, Any], dict[str, int]] = {}
        for c in site[kind]:
            t = total.setdefault((c["type"], c["spot"] if kind == "machines" else None), {})
            for k in ("count", "spot"):
                if type(c.get(k)) is int:
                    t[k] = t.get(k, 0) + c[k]
        site[kind] = [
            {
                "type": type_,
                "zone": z,
                **({"spot": spot} if spot is not None else {}),
                **{k: max(1, round(n * w / sum(weights))) for k, n in t.items()},
            }
            for (type_, spot), t in total.items()
            for z, w in zip(names, weights, strict=True)
        ]
    for job in site["jobs"]:
        job.pop("zone", None)


def trouble(site: dict[str, Any], rng: Random) -> list[dict[str, Any]]:
    """Four to nine troubles at moments drawn, alone and on top of one another."""
    zones = sorted({c["zone"] for c in site["capacity"]})
    nodes, machines = site["nodes"]["count"], sum(c["count"] for c in site["capacity"])
    begin, end = site["warmup_s"] + 20.0, 0.8 * site["duration_s"]
    out: list[dict[str, Any]] = []
    for _ in range(rng.randint(4, 9)):
        at = (
            out[-1]["at_s"] + 12.0 * rng.random()
            if out and rng.random() < 0.5
            else begin + (end - begin) * rng.random()
        )
        s, busiest, mode = rng.choice([3.0, 8.0, 20.0, 40.0]), rng.random() < 0.6, rng.choice(MODES)
        kind = rng.choice(
            [
                "crash",
                "crash",
                "crash",
                "roll",
                "zone",
                "zone",
                "cut",
                "freeze",
                "slow",
                "refuse",
                "hang",
                "die",
                "outage",
                "partition",
                "burst",
                "crawl",
            ]
        )
        made: dict[str, dict[str, Any]] = {
            "crash": {
                "kind": "node_crash",
                "count": rng.choice([1, 1, 2, nodes]),
                "busiest": busiest,
            },
            "roll": {"kind": "node_roll", "every_s": rng.choice([2.0, 10.0, 25.0])},
            "zone": {"kind": "zone_cut", "zone": rng.choice(zones), "for_s": s, "mode": mode},
            "cut": {
                "kind": "node_cut",
                "count": 1,
                "busiest": busiest,
                **rng.choice([{"from_state": True}, {"from_workers": True}, {}]),
                "for_s": s,
                "mode": mode,
            },
            "freeze": {
                "kind": "node_freeze",
                "count": 1,
                "busiest": busiest,
                "for_s": min(20.0, s),
            },
            "slow": {
                "kind": "node_slow",
                "count": rng.randint(1, nodes),
                "busiest": busiest,
                "factor": 3.0,
                "for_s": s,
            },
            "refuse": {"kind": "peers_refuse", "for_s": s},
            "hang": {"kind": "machine_hang", "count": max(1, machines // 12), "for_s": s},
            "die": {"kind": "machine_die", "count": max(1, machines // 15)},
            "outage": {"kind": "state_outage", "for_s": min(15.0, s)},
            "partition": {
                "kind": "zone_partition",
                "zones": rng.sample(zones, 2) if len(zones) > 1 else zones,
                "for_s": s,
                "mode": mode,
            },
            "burst": {
                "kind": "job_burst",
                "class": rng.choice(site["jobs"])["name"],
                "factor": 2.5,
                "for_s": 60.0,
            },
            "crawl": {
                "kind": "machine_slow",
                "count": max(1, machines // 12),
                "factor": 2.0,
                "for_s": 60.0,
            },
        }
        if kind == "partition" and len(zones) == 1:
            kind = "crash"
        out.append({"at_s": round(min(at, end), 1), **made[kind]})
    return sorted(out, key=lambda f: f["at_s"])


def _cut(rng: Random, **more: Any) -> dict[str, Any]:
    """One controller loses something."""
    return {
        "kind": "node_cut",
        "count": 1,
        "busiest": rng.random() < 0.8,
        "mode": rng.choice(["refuse", "hold", "reset"]),
        **more,
    }


def gap(site: dict[str, Any], rng: Random) -> list[tuple[float, dict[str, Any]]]:
    """The store refuses one controller, or it is cut off; then an outage longer than `cancel_s`."""
    before, s = (
        rng.choice([1.5, 2.0, 3.5, 5.0, 6.0, 8.0, 12.0, 20.0]),
        site["workers"]["cancel_s"] + rng.choice([4.0, 12.0, 20.0]),
    )
    peers = {"from_peers": True} if rng.random() < 0.5 else {}
    first = _cut(rng, from_state=True, for_s=before + rng.choice([0.5, 3.0, 12.0]), **peers)
    if peers and first["mode"] == "refuse":
        first["mode"] = "hold"
    out = [(0.0, first), (before, {"kind": "state_outage", "for_s": s})]
    if rng.random() < 0.4:
        out.append(
            (
                before + s * rng.random(),
                {
                    "kind": "node_crash",
                    "count": rng.choice([1, 1, 2]),
                    "busiest": rng.random() < 0.5,
                },
            )
        )
    return out


def meeting(site: dict[str, Any], rng: Random) -> list[tuple[float, dict[str, Any]]]:
    """One of the operators' other meetings: seconds from its begin, and the trouble."""
    nodes, machines, lease = (
        site["nodes"]["count"],
        sum(c["count"] for c in site["capacity"]),
        site["workers"]["lease_s"],
    )
    s, soon = rng.choice([8.0, 20.0, 40.0]), 6.0 * rng.random()
    crash = {
        "kind": "node_crash",
        "count": rng.choice([1, 1, 2, nodes]),
        "busiest": rng.random() < 0.7,
    }
    deaf = {
        "kind": "machine_deaf",
        "for_s": rng.choice([0.7, 1.5, 3.0]) * lease,
        **rng.choice(
            [
                {"share": 0.15},
                {"count": max(1, machines // 10)},
                {"zone": rng.choice(site["capacity"])["zone"]},
            ]
        ),
    }
    late = {
        "kind": rng.choice(["late_writes", "late_reports"]),
        "share": rng.choice([0.1, 0.3, 0.6]),
        "for_s": s + 10.0,
    }
    hang = {
        "kind": "machine_hang",
        "count": max(1, machines // 12),
        "for_s": rng.choice([0.5, 0.9, 2.0]) * lease,
    }
    alone = _cut(rng, from_state=True, from_peers=True, for_s=s, mode=rng.choice(["hold", "reset"]))
    outage = {"kind": "state_outage", "for_s": rng.choice([5.0, 15.0, 30.0])}
    freeze = {
        "kind": "node_freeze",
        "count": 1,
        "busiest": rng.random() < 0.8,
        "for_s": rng.choice([3.0, 12.0, 22.0]),
    }
    return rng.choice(
        [
            [(0.0, {"kind": "node_roll", "every_s": rng.choice([2.0, 10.0])}), (soon, crash)],
            [(0.0, crash), (soon, crash), (soon + 3.0, outage)],
            [(0.0, late), (soon, crash)],
            [(0.0, late), (soon, alone)],
            [(0.0, late), (soon, outage), (soon + 4.0, crash)],
            [(0.0, alone), (soon, {**_cut(rng, from_workers=True, for_s=s), "mode": "hold"})],
            [(0.0, alone), (soon, crash)],
            [(0.0, deaf), (soon, crash)],
            [(0.0, deaf), (soon, late)],
            [(0.0, hang), (soon, crash), (soon + 4.0, freeze)],
            [(0.0, freeze), (soon, late), (soon + 2.0, crash)],
        ]
    )


def met(file: Path, seed: int, i: int) -> Day:
    """Day I of a seed: three meetings while many arrays are cancelled; every third day has gaps."""
    rng, site = Random(f"met {seed} {i}"), bare(file)
    times, delay = rng.choice([0.5, 1.0, 1.0, 1.5]), rng.choice(DELAYS)
    scaled(site, times)
    site["nodes"]["restart_delay_s"] = delay
    cancel, draw = site["workers"]["cancel_s"], gap if i % 3 == 0 else meeting
    faults: list[dict[str, Any]] = []
    at = site["warmup_s"] * rng.uniform(0.6, 1.0)
    while at < 0.62 * site["duration_s"]:
        here = draw(site, rng)
        faults += [{"at_s": round(at + after, 1), **f} for after, f in here]
        at += max(after + f.get("for_s", 0.0) for after, f in here) + rng.uniform(15.0, 45.0)
    array = next(j for j in site["jobs"] if j["kind"] == "array")
    jobs = [
        {
            "name": array["name"],
            "cancelled": rng.choice([0.5, 0.8]),
            "run_s": {"median": 2.4 * cancel, "p95": 3.0 * cancel, "max": 3.4 * cancel},
        }
    ]
    name = f"{draw.__name__}-{seed}-{i}"
    site["day"] = [
        {
            "name": name,
            "slot": "scale",
            "light": True,
            "seed": 2000 + i,
            "jobs": jobs,
            "faults": faults,
        }
    ]
    kinds = " ".join(f["kind"] for f in faults)
    return Day(name, f"x{times:g}, back in {delay:g} s: {kinds}", site)


def later(file: Path, seed: int, i: int) -> Day:
    """Day I of a seed: three of the further meetings, on a day of one shape (`further.shaped`)."""
    rng, site = Random(f"further {seed} {i}"), bare(file)
    delay = rng.choice(DELAYS)
    shape, more = further.shaped(site, i, rng)
    site["nodes"]["restart_delay_s"] = delay
    faults, names = further.faults(site, seed, i, rng)
    name = f"further-{seed}-{i}"
    site["day"] = [
        {"name": name, "slot": "scale", "light": True, "seed": 3000 + i, "faults": faults, **more}
    ]
    return Day(name, f"{shape}, back in {delay:g} s: {', '.join(names)}", site)


def bare(file: Path) -> dict[str, Any]:
    """A site without its own days."""
    site = tomllib.loads(file.read_text())
    site.pop("day", None)
    return site


def drawn(file: Path, seed: int, i: int) -> Day:
    """Number i of a seed."""
    rng, site = Random(f"{seed} {i}"), bare(file)
    nodes, zones, without = (
        rng.choice([2, 3, 3, 3, 4, 5, 7]),
        rng.choice([1, 2, 2, 3, 4]),
        rng.random() < 0.3,
    )
    if any(j.get("spread") for j in site["jobs"]):
        # In a single zone no more than half of such a job can ever run: that is no day
        zones = max(2, zones)
    zones = min(zones, nodes + 1)
    times, delay = rng.choice([0.5, 0.75, 1.0, 1.25, 1.5, 1.5]), rng.choice(DELAYS)
    scaled(site, times)
    rezoned(site, nodes, zones, without and zones > 1, rng)
    site["nodes"]["restart_delay_s"] = delay
    name = f"drawn-{seed}-{i}"
    site["day"] = [
        {
            "name": name,
            "slot": "scale",
            "light": True,
            "seed": 1000 + i,
            "faults": trouble(site, rng),
        }
    ]
    empty = " one without" if len(site["nodes"]["zones"]) < zones else ""
    return Day(name, f"{nodes} in {zones} zones{empty}, x{times:g}, back in {delay:g} s", site)


def table(file: Path) -> list[Day]:
    """The fixed days: 1.5 times the machines, back in 0.3 s (0.2 s where many end)."""
    site = tomllib.loads(file.read_text())
    own = {d["name"]: d for d in site.pop("day")}
    zones = sorted({c["zone"] for c in site["capacity"]})
    first, last = site["warmup_s"] + 30.0, zones[-1]
    scaled(site, 1.5)

    def day(name: str, faults: list[dict[str, Any]], delay: float) -> Day:
        copy = deepcopy(site)
        copy["nodes"]["restart_delay_s"] = delay
        copy["day"] = [
            {"name": name, "slot": "scale", "light": True, "seed": 940, "faults": faults}
        ]
        return Day(name, f"x1.5, back in {delay:g} s", copy)

    def crash(at: float, count: int = 1, busiest: bool = True) -> dict[str, Any]:
        return {"at_s": at, "kind": "node_crash", "count": count, "busiest": busiest}

    def cut(at: float, zone: str, s: float) -> dict[str, Any]:
        return {"at_s": at, "kind": "zone_cut", "zone": zone, "for_s": s, "mode": "hold"}

    days = [
        day(name, own[name]["faults"], 0.3) for name in ("zone", "restart", "loss") if name in own
    ]
    days.append(
        day(
            "cuts",
            [
                cut(first, last, 70.0),
                cut(first + 90, last, 8.0),
                cut(first + 105, last, 8.0),
                cut(first + 130, zones[0], 60.0),
                crash(first + 140),
                {
                    "at_s": first + 210,
                    "kind": "zone_partition",
                    "zones": zones[:2],
                    "for_s": 50.0,
                    "mode": "hold",
                },
            ],
            0.3,
        )
    )
    many = [1, 1, 2, 3, 1, 2, 1, 3, 2, 1, 3, 1]
    days.append(
        day("crashes", [crash(first + 21.0 * i, n, i % 2 == 0) for i, n in enumerate(many)], 0.2)
    )
    days.append(
        day(
            "ends in the cut",
            [cut(first, last, 38.0), *(crash(first + 12.0 + 4.0 * i, 3) for i in range(2))],
            0.3,
        )
    )
    days.append(
        day(
            "ends in the outage",
            [
                {"at_s": first, "kind": "state_outage", "for_s": 15.0},
                crash(first + 6.0, 3),
                crash(first + 9.0, 3),
            ],
            0.2,
        )
    )
    days.append(
        day(
            "storm",
            [
                cut(first, last, 30.0),
                {
                    "at_s": first + 8,
                    "kind": "node_freeze",
                    "count": 1,
                    "busiest": True,
                    "for_s": 12.0,
                },
                {"at_s": first + 40, "kind": "machine_die", "count": 60},
                crash(first + 60, 3),
                {"at_s": first + 80, "kind": "state_outage", "for_s": 10.0},
                {
                    "at_s": first + 100,
                    "kind": "job_burst",
                    "class": site["jobs"][0]["name"],
                    "factor": 3.0,
                    "for_s": 60.0,
                },
                {"at_s": first + 110, "kind": "machine_hang", "count": 60, "for_s": 20.0},
                {"at_s": first + 150, "kind": "node_roll", "every_s": 20.0},
            ],
            0.3,
        )
    )
    return days


def play(bench: str, tree: Path, day: Day, wire: Path, out: Path, charge: bool) -> dict[str, Any]:
    """Play one day in a checkout, unless its figures lie there already."""
    found = out / f"{day.name}.json"
    if found.exists():
        return json.loads(found.read_text())  # type: ignore[no-any-return]
    out.mkdir(parents=True, exist_ok=True)
    site, report, logs = (
        out / f"{day.name}.toml",
        out / f"{day.name}.report",
        out / f"{day.name}.log",
    )
    site.write_text(tomli_w.dumps(day.site))
    shutil.copy(wire, out / wire.name)
    command = [bench, "run", str(site), day.name, "--log", "debug", "--report", str(report)] + (
        [] if charge else ["--no-cpu"]
    )
    with logs.open("wb") as f:
        subprocess.run(command, cwd=tree, stdout=f, stderr=subprocess.STDOUT, check=False)
    if not report.exists():
        return {"failed": logs.read_text(errors="replace")[-600:]}
    figures = read(json.loads(report.read_text()), logs, day)
    found.write_text(json.dumps(figures))
    if not fails(figures):
        logs.unlink()
    return figures


def read(report: dict[str, Any], logs: Path, day: Day) -> dict[str, Any]:
    """The figures of a played day, from its report and its controllers' logs."""
    with logs.open(errors="replace") as f:
        jobs = served_by_class.read_jobs(f)
    served = served_by_class.served_rows(report, jobs)
    worst = min(served, key=lambda row: row.least_share, default=None)
    largest = served_by_class.largest_jobs_rows(jobs)
    line = re.search(
        rb"^%s +\d+ +([0-9.]+) " % re.escape(day.name).encode(), logs.read_bytes(), re.MULTILINE
    )
    up = [t["value"] for t in report["targets"] if t["kind"] == "up" and t.get("worst_s")]
    nodes, own = report["node_stats"], day.site["nodes"]
    ended = sum(r["why"] != "fault" for n in nodes for r in n["restarts"]) + sum(
        n["panics"] for n in nodes
    )
    return {
        "figure": float(line[1]) if line else None,
        "rules": report["rules_broken"]["total"],
        "least served": round(worst.least_share if worst else 1.0, 2),
        "who": worst.name if worst else "",
        "largest served": round(min((row.served_share for row in largest), default=1.0), 2),
        "begun in s": round(max((row.longest_wait_s for row in largest), default=0.0), 1),
        "by themselves": ended,
        "killed by lease": report["fleet"]["tasks_killed_by_lease"],
        "worst 30 s": min(up, default=1.0),
        "processor s": round(sum(report["spent"]["processes"]), 1),
        "memory": round(max(n["memory_peak_mb"] for n in nodes) / own["memory_mb"], 2),
        "sockets": round(max(n["connections_peak"] for n in nodes) / own["max_connections"], 2),
    }


def fails(figures: dict[str, Any]) -> bool:
    """Whether a day counts as failed."""
    if (
        "failed" in figures
        or figures["rules"]
        or figures["by themselves"]
        or figures["begun in s"] > served_by_class.MAX_WAIT_S
    ):
        return True
    return bool(
        min(figures["least served"], figures["largest served"]) < served_by_class.FAILING_SHARE
    )


def main() -> int:
    """Play what is asked for and print the table."""
    p = side_by_side.options(__doc__, 6)
    p.add_argument("--drawn", type=int, default=0, help="so many drawn days")
    p.add_argument("--first", type=int, default=0, help="from this number on")
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--table", action="store_true", help="the fixed days")
    p.add_argument("--meetings", type=int, default=0, help="so many days on which troubles meet")
    p.add_argument("--further", type=int, default=0, help="so many days with the further troubles")
    p.add_argument("--charge", action="store_true", help="charge the processor, as a score does")
    args = p.parse_args()
    bench, wire = (
        str(Path(args.bench).resolve()),
        args.site.resolve().parent / bare(args.site)["wire"],
    )
    days = [drawn(args.site, args.seed, i) for i in range(args.first, args.first + args.drawn)] + (
        table(args.site) if args.table else []
    )
    days += [met(args.site, args.seed, i) for i in range(args.first, args.first + args.meetings)]
    days += [later(args.site, args.seed, i) for i in range(args.first, args.first + args.further)]
    days = [d for d in days if args.only in d.name]
    heads = {"day": lambda d: d.name, "copy": lambda d: d.copy}
    played = side_by_side.compare(
        args, days, heads, COLUMNS, lambda d, t, out: play(bench, t, d, wire, out, args.charge)
    )
    return 1 if any(fails(rows[-1]) for rows in played) else 0


if __name__ == "__main__":
    sys.exit(main())
