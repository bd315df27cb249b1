"""Play custom days on modified copies of a site, with faults drawn from a seed.

    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        [--tree CHECKOUT]... [--random 30] [--seed 1] [--jobs 6]
    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        --fixed [--tree BEFORE --tree AFTER]
    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        --overlapping-faults 20 [--only gap]
    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        --scenarios 20 [--seed 1]
    python -m scripts.custom_days --bench FLEETBENCH --site SITE.toml --out DIR
        --lease-losses 6 [--seed 1]

`--random N` makes N copies of the site with one day on each. A copy has 2 to 7 controllers, 1 to
4 zones (at least 2 if jobs are spread; of uneven size, sometimes one without a controller), 0.5
to 1.5 times the machines and arrivals, and processes that restart after 0.1 to 6 s. Number I of a
seed is always the same copy and day. `--fixed` plays the fixed days on which fast restarts were
first measured (1.5 times the machines, restart after 0.3 s, or after 0.2 s where many controllers
crash). `--overlapping-faults N` makes N days on which two or three faults overlap, three times a
day, while half to four fifths of an array class is cancelled. On every third day, named `gap`,
one controller is refused or cut off from the key-value store, and then the store is down for all
controllers for longer than `cancel_s`. `--scenarios N` makes N days with the operators' further
faults, three of `scripts.custom_days.scenarios` a day. `--lease-losses N` makes N days on which
most machines lose their leases in bursts of new services, and then send no heartbeats. Days are played without charging the
processor unless `--charge` is given, so that a day is mostly repeatable. A day whose figures are
already in DIR is not played again. Earlier names of the options still work: `--drawn`, `--table`,
`--meetings`, `--further`.

A day fails by its broken rules, by verdicts without evidence that an attempt is gone, by the lowest
served share of any class or team or of any class's largest jobs, by how late those begin
(`scripts.served_by_class`), or by unplanned restarts. Also shown: the bench's figure, tasks killed
by their lease, the replicas' worst 30 s, processor seconds of all controllers, and the highest
memory and sockets as shares of a controller's limits. Exits with status 1 if a day failed.
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
from scripts.custom_days.lease_loss_days import lease_loss_day
from scripts.custom_days.overlapping_faults import overlapping_day
from scripts.custom_days.random_days import random_day
from scripts.custom_days.results import DayFigures, has_failed, read_figures
from scripts.custom_days.scenario_days import scenario_day
from scripts.custom_days.site_files import load_site_without_days
from scripts.day_runs import DayFiles, FailedRun, play_day

DEFAULT_JOBS = 6


def option_parser() -> argparse.ArgumentParser:
    """Return the parser for the options of this script."""
    parser = side_by_side.option_parser(__doc__, DEFAULT_JOBS)
    parser.prog = "python -m scripts.custom_days"
    parser.add_argument(
        "--random", "--drawn", type=int, default=0, help="number of days with random faults"
    )
    parser.add_argument("--first", type=int, default=0, help="number of the first day")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fixed", "--table", action="store_true", help="play the fixed days")
    parser.add_argument(
        "--overlapping-faults",
        "--meetings",
        type=int,
        default=0,
        help="number of days with overlapping faults",
    )
    parser.add_argument(
        "--scenarios", "--further", type=int, default=0, help="number of days with fault scenarios"
    )
    parser.add_argument(
        "--lease-losses", type=int, default=0, help="number of days with lost leases"
    )
    parser.add_argument(
        "--charge", action="store_true", help="charge the processor, as a scored run does"
    )
    return parser


def selected_days(args: argparse.Namespace) -> list[Day]:
    """Return the days that the options select."""

    def numbered_days(make_day: Callable[[Path, int, int], Day], count: int) -> list[Day]:
        indexes = range(args.first, args.first + count)
        return [make_day(args.site, args.seed, index) for index in indexes]

    days = numbered_days(random_day, args.random)
    if args.fixed:
        days += fixed_days(args.site)
    days += numbered_days(overlapping_day, args.overlapping_faults)
    days += numbered_days(scenario_day, args.scenarios)
    days += numbered_days(lease_loss_day, args.lease_losses)
    return [day for day in days if args.only in day.name]


def play(
    bench: Path, wire_file: Path, charge: bool, day: Day, checkout: Path, folder: Path
) -> DayFigures | FailedRun:
    """Play a day in a checkout and store its figures.

    The log is removed unless the day failed.
    """
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
    """Play the selected days and print the table."""
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
