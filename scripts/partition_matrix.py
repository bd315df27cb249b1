"""Measure the cost of every partial network partition on a deployment of the bench, by version.

    python -m scripts.partition_matrix --bench FLEETBENCH --site SITE.toml --out DIR
        [--tree CHECKOUT]... [--only WORDS] [--at 150] [--jobs 4]

Each day has one cut: a controller (the busiest or another) loses the state service, the workers
or the whole network, in every mode that the bench has for it, for 10, 40 and 90 s, starting at
`--at`. Days are played in each given checkout (`--tree`; the first is "before"), without charging
the processor, so that a day is mostly repeatable. A day whose figures are already in DIR is not
played again. `--pairs N` plays N days with two or three overlapping cuts drawn from a seed
instead.

Measured on each played day: tasks killed by their lease; the replicas' worst 30 s; the longest
time between two permits during the cut and the 20 s after it; the slowest accepted submission;
answers of 503 to users; shards acquired after the cut began.
"""

from __future__ import annotations

import re
import sys
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path
from random import Random

from scripts import side_by_side
from scripts.day_runs import (
    DayFiles,
    FailedRun,
    Figures,
    Report,
    column,
    play_day,
    rules_broken,
    tasks_killed_by_lease,
    worst_service_availability,
)

DEFAULT_JOBS = 4
# The connections that a controller may lose, and the bench's modes for each
CUT_MODES = {
    "state": ("hold", "reset", "refuse"),
    "workers": ("hold", "reset"),
    "network": ("hold", "reset"),
}
LOST_CONNECTIONS = {
    "state": "from_state = true, ",
    "workers": "from_workers = true, ",
    "network": "",
}
DURATIONS_S = (10, 40, 90)
RECOVERY_S = 20.0  # still measured after the last cut has ended
# Older releases wrote `shard taken` for `shard acquired`
EVENT_LINE = re.compile(rb" *([0-9.]+) \S+ \w+ (permit|shard acquired|shard taken) ")
PERMIT_EVENT = b"permit"


@dataclass(frozen=True)
class ControllerCut:
    """A fault in which one controller loses one kind of connections."""

    kind: str
    mode: str
    busiest: bool
    duration_s: float
    at_s: float

    @property
    def end_s(self) -> float:
        """Return the time of the day at which the cut ends."""
        return self.at_s + self.duration_s

    def to_toml(self) -> str:
        """Return the fault in the TOML form that the bench reads."""
        return (
            f'{{ at_s = {self.at_s:.1f}, kind = "node_cut", count = 1, '
            f"busiest = {str(self.busiest).lower()}, {LOST_CONNECTIONS[self.kind]}"
            f'for_s = {self.duration_s:.1f}, mode = "{self.mode}" }}'
        )


@dataclass(frozen=True)
class CutDay:
    """One day with its faults, each in the TOML form that the bench reads."""

    name: str
    faults: tuple[str, ...]
    begins_at_s: float
    ends_at_s: float

    def to_toml(self) -> str:
        """Return the day in the TOML form that the bench reads."""
        faults = ",\n  ".join(self.faults)
        return (
            f'[[day]]\nname = "{self.name}"\nslot = "scale"\nlight = true\nseed = 901\n'
            f"faults = [\n  {faults},\n]\n"
        )


@dataclass(frozen=True)
class CutFigures(Figures):
    """The figures of a played day."""

    tasks_killed_by_lease: int = column("killed by lease")
    worst_availability: float = column("worst 30 s")
    longest_without_permit_s: float = column("no permit s")
    slowest_submission_s: float = column("slowest submit s")
    unavailable_answers: int = column("503")
    shards_acquired: int = column("taken")
    rules_broken: int = column("rules")


def single_cut_days(at_s: float) -> list[CutDay]:
    """Return one day for each kind, mode, choice of controller and duration."""
    days = []
    for kind, modes in CUT_MODES.items():
        for mode in modes:
            for busiest in (True, False):
                for duration_s in DURATIONS_S:
                    cut = ControllerCut(kind, mode, busiest, duration_s, at_s)
                    place = "busiest" if busiest else "other"
                    name = f"{kind}-{mode}-{place}-{duration_s}"
                    days.append(CutDay(name, (cut.to_toml(),), at_s, cut.end_s))
    return days


def overlapping_cut_days(count: int, at_s: float) -> list[CutDay]:
    """Return days with two or three overlapping cuts.

    Day number I is the same in every call with the same `at_s`.
    """
    return [_overlapping_cut_day(index, at_s) for index in range(count)]


def _overlapping_cut_day(index: int, at_s: float) -> CutDay:
    """Return day number `index`, which also seeds its random choices."""
    rng = Random(index)
    cuts = [_random_cut(rng, at_s) for _ in range(rng.choice([2, 2, 3]))]
    faults = [cut.to_toml() for cut in sorted(cuts, key=lambda cut: cut.at_s)]
    if rng.random() < 0.3:
        faults.append(
            f'{{ at_s = {at_s + 20 * rng.random():.1f}, kind = "peers_refuse", '
            f"for_s = {rng.choice([5.0, 20.0])} }}"
        )
    return CutDay(f"drawn-{index}", tuple(faults), at_s, max(cut.end_s for cut in cuts))


def _random_cut(rng: Random, at_s: float) -> ControllerCut:
    """Draw a cut that begins within 15 s of `at_s`."""
    kind = rng.choice(["state", "state", "workers", "workers", "network"])
    return ControllerCut(
        kind,
        mode=rng.choice(CUT_MODES[kind]),
        busiest=rng.random() < 0.6,
        duration_s=rng.choice([8.0, 20.0, 40.0]),
        at_s=at_s + 15.0 * rng.random(),
    )


def play(
    bench: Path, site: Path, day: CutDay, checkout: Path, folder: Path
) -> CutFigures | FailedRun:
    """Play one day in a checkout, unless its figures are stored already."""
    files = DayFiles(folder, day.name)
    until_s = day.ends_at_s + 2 * RECOVERY_S
    command = [str(bench), "run", str(site), str(files.input)]
    command += ["--no-cpu", "--until", f"{until_s:.0f}"]
    outcome = play_day(
        files,
        day.to_toml(),
        command,
        checkout,
        CutFigures,
        lambda report: read_figures(report, files.log, day),
    )
    if not isinstance(outcome, FailedRun):
        files.log.unlink(missing_ok=True)
    return outcome


def read_figures(report: Report, log: Path, day: CutDay) -> CutFigures:
    """Return the figures of a played day, from its report and its controllers' logs."""
    permits_at = [day.begins_at_s]
    shards_acquired = 0
    end_s = day.ends_at_s + RECOVERY_S
    with log.open("rb") as lines:
        for line in lines:
            match = EVENT_LINE.match(line)
            if match is None or not day.begins_at_s <= float(match[1]) <= end_s:
                continue
            if match[2] == PERMIT_EVENT:
                permits_at.append(float(match[1]))
            else:
                shards_acquired += 1
    permits_at.append(end_s)
    gaps_s = [later - earlier for earlier, later in pairwise(permits_at)]
    users = report["users"]
    return CutFigures(
        tasks_killed_by_lease=tasks_killed_by_lease(report),
        worst_availability=worst_service_availability(report),
        longest_without_permit_s=round(max(gaps_s), 1),
        slowest_submission_s=round((users["submit_ms"].get("max") or 0.0) / 1000, 1),
        unavailable_answers=sum(
            count for status, count in users["errors"].items() if status == "503"
        ),
        shards_acquired=shards_acquired,
        rules_broken=rules_broken(report),
    )


def main() -> int:
    """Play the selected days and print the table."""
    parser = side_by_side.option_parser(__doc__, DEFAULT_JOBS)
    parser.add_argument(
        "--pairs",
        type=int,
        default=0,
        help="number of random days with overlapping cuts, played instead of the single cuts",
    )
    parser.add_argument("--at", type=float, default=150.0)
    args = parser.parse_args()
    bench = Path(args.bench).resolve()
    site = args.site.resolve()
    days = overlapping_cut_days(args.pairs, args.at) if args.pairs else single_cut_days(args.at)
    played = side_by_side.compare(
        args,
        [day for day in days if args.only in day.name],
        {"day": lambda day: day.name},
        CutFigures,
        lambda day, checkout, folder: play(bench, site, day, checkout, folder),
    )
    failed = any(
        isinstance(outcome, FailedRun) or outcome.rules_broken
        for outcomes in played
        for outcome in outcomes
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
