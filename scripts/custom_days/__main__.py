"""Own days on copies of a site: other machines, zones, controllers, and faults drawn from a seed.

    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        [--tree CHECKOUT]... [--random 30] [--seed 1] [--jobs 6]
    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        --fixed [--tree BEFORE --tree AFTER]
    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        --overlapping-faults 20 [--only gap]
    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        --scenarios 20 [--seed 1]

`--random N` makes N copies of the site, each with 2 to 7 controllers, 1 to 4 zones (at least 2
where jobs are spread; uneven ones, sometimes one without a controller), 0.5 to 1.5 times the
machines and arrivals, processes back after 0.1 to 6 s, and one day on each. Number I of a seed is
always the same copy and day. `--fixed` plays the fixed days that fast restarts were first
measured by (1.5 times the machines, back in 0.3 s, or 0.2 s where many end).
`--overlapping-faults N` makes N days on which two or three faults overlap, three times a day,
while half to four fifths of an array class is cancelled: every third day, named `gap`, a
controller is refused or cut off, and then the key-value store is down for everybody for longer
than `cancel_s`. `--scenarios N` makes N days with the operators' further faults, three of
`scripts.custom_days.scenarios` a day. Days are played without charging the processor unless
`--charge` is given, so that a day mostly repeats; a day whose figures lie in DIR already is not
played again. Earlier names of the options still work: `--drawn`, `--table`, `--meetings`,
`--further`.

What is judged, of a played day: rules; the least share of any class or team, and of any class's
largest jobs, that is served, and how soon those begin (`scripts.served_by_class`); restarts by
themselves. What is shown besides: the bench's figure, tasks killed by their lease, the replicas'
worst 30 s, processor seconds of all controllers, the highest memory and sockets as shares of what
a controller has. Ends with status 1 where a day fails.
"""

from __future__ import annotations

import argparse
import shutil
import sys
from collections.abc import Callable
from pathlib import Path

import tomli_w

from scripts import side_by_side
from scripts.custom_days.day import Day
from scripts.custom_days.fixed_days import fixed_days
from scripts.custom_days.overlapping_faults import overlapping_day
from scripts.custom_days.random_days import random_day
from scripts.custom_days.results import DayFigures, has_failed, read_figures
from scripts.custom_days.scenario_days import scenario_day
from scripts.custom_days.site_files import load_site_without_days
from scripts.day_runs import DayFiles, FailedRun, play_day

DEFAULT_JOBS = 6


def option_parser() -> argparse.ArgumentParser:
    """The options of this script."""
    parser = side_by_side.option_parser(__doc__, DEFAULT_JOBS)
    parser.prog = "python -m scripts.custom_days"
    parser.add_argument(
        "--random", "--drawn", type=int, default=0, help="so many days with random faults"
    )
    parser.add_argument("--first", type=int, default=0, help="from this number on")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fixed", "--table", action="store_true", help="the fixed days")
    parser.add_argument(
        "--overlapping-faults",
        "--meetings",
        type=int,
        default=0,
        help="so many days on which faults overlap",
    )
    parser.add_argument(
        "--scenarios", "--further", type=int, default=0, help="so many days with fault scenarios"
    )
    parser.add_argument(
        "--charge", action="store_true", help="charge the processor, as a score does"
    )
    return parser


def selected_days(args: argparse.Namespace) -> list[Day]:
    """The days that the options ask for."""

    def numbered_days(make_day: Callable[[Path, int, int], Day], count: int) -> list[Day]:
        indexes = range(args.first, args.first + count)
        return [make_day(args.site, args.seed, index) for index in indexes]

    days = numbered_days(random_day, args.random)
    if args.fixed:
        days += fixed_days(args.site)
    days += numbered_days(overlapping_day, args.overlapping_faults)
    days += numbered_days(scenario_day, args.scenarios)
    return [day for day in days if args.only in day.name]


def play(
    bench: Path, wire_file: Path, charge: bool, day: Day, checkout: Path, folder: Path
) -> DayFigures | FailedRun:
    """Play a day in a checkout, and keep its figures; the log of a failed one stays."""
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copy(wire_file, folder / wire_file.name)
    files = DayFiles(folder, day.name)
    command = [str(bench), "run", str(files.input), day.name]
    if not charge:
        command.append("--no-cpu")
    outcome = play_day(
        files,
        tomli_w.dumps(day.site),
        command,
        checkout,
        DayFigures,
        lambda report: read_figures(report, files.log, day),
    )
    if not has_failed(outcome):
        files.log.unlink(missing_ok=True)
    return outcome


def main() -> int:
    """Play what is asked for and print the table."""
    args = option_parser().parse_args()
    bench = Path(args.bench).resolve()
    wire_file = args.site.resolve().parent / load_site_without_days(args.site)["wire"]
    played = side_by_side.compare(
        args,
        selected_days(args),
        {"day": lambda day: day.name, "copy": lambda day: day.description},
        DayFigures,
        lambda day, checkout, folder: play(bench, wire_file, args.charge, day, checkout, folder),
    )
    return 1 if any(has_failed(outcomes[-1]) for outcomes in played) else 0


if __name__ == "__main__":
    sys.exit(main())
