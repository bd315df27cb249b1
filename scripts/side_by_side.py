"""Days played in one checkout or several side by side: shared options, and a table row a day."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TypeVar

from scripts.day_runs import FailedRun, Figures, FiguresType

DayType = TypeVar("DayType")
UNKNOWN_CELL = "?"


def option_parser(description: str | None, default_jobs: int) -> argparse.ArgumentParser:
    """The shared options: bench, site, checkouts, which days, and how many at once."""
    parser = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True, type=Path)
    parser.add_argument("--out", required=True, type=Path)
    parser.add_argument(
        "--tree",
        action="append",
        type=Path,
        help="a checkout to play; may be given twice, before and after",
    )
    parser.add_argument("--only", default="", help="days whose names hold this")
    parser.add_argument("--jobs", type=int, default=default_jobs)
    return parser


def compare(
    args: argparse.Namespace,
    days: Sequence[DayType],
    day_columns: dict[str, Callable[[DayType], str]],
    figures_type: type[FiguresType],
    play: Callable[[DayType, Path, Path], FiguresType | FailedRun],
) -> list[list[FiguresType | FailedRun]]:
    """Play all days in all checkouts and print the table as it comes.

    Args:
        args: the values of the options of `option_parser`.
        days: what is played, a row each.
        day_columns: the cells that describe the day, by title.
        figures_type: the figures of a played day, which give the other columns.
        play: plays a day in a checkout and keeps its figures in a folder.

    Returns:
        Of each day the outcomes in all checkouts, in their order.
    """
    checkouts = [checkout.resolve() for checkout in args.tree or [Path.cwd()]]
    output = args.out.resolve()
    titles = [*day_columns, *figures_type.titles()]
    played: list[list[FiguresType | FailedRun]] = []
    with ThreadPoolExecutor(args.jobs) as pool:
        pending = [
            [pool.submit(play, day, checkout, output / checkout.name) for checkout in checkouts]
            for day in days
        ]
        print("| " + " | ".join(titles) + " |\n|" + " --- |" * len(titles))
        for day, runs in zip(days, pending, strict=True):
            outcomes = [run.result() for run in runs]
            day_cells = [describe(day) for describe in day_columns.values()]
            cells = day_cells + _figure_cells(figures_type.titles(), outcomes)
            print("| " + " | ".join(cells) + " |", flush=True)
            for outcome in outcomes:
                if isinstance(outcome, FailedRun):
                    print(outcome.output_tail, file=sys.stderr)
            played.append(outcomes)
    return played


def _figure_cells(titles: Sequence[str], outcomes: Sequence[Figures | FailedRun]) -> list[str]:
    """A cell for each title with the figures of all checkouts."""
    rows = [{} if isinstance(outcome, FailedRun) else outcome.to_row() for outcome in outcomes]
    return [", ".join(str(row.get(title, UNKNOWN_CELL)) for row in rows) for title in titles]
