"""Play days in one or more checkouts side by side and print a table with a row for each day."""

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
    """Return a parser for the shared options.

    These are the bench, the site, the checkouts, the selection of days, and how many runs are
    played at the same time.
    """
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
        help="a checkout to play; may be given twice, to compare before and after",
    )
    parser.add_argument("--only", default="", help="only days whose names contain this text")
    parser.add_argument("--jobs", type=int, default=default_jobs)
    return parser


def compare(
    args: argparse.Namespace,
    days: Sequence[DayType],
    day_columns: dict[str, Callable[[DayType], str]],
    figures_type: type[FiguresType],
    play: Callable[[DayType, Path, Path], FiguresType | FailedRun],
) -> list[list[FiguresType | FailedRun]]:
    """Play all days in all checkouts and print each row of the table once it is complete.

    Args:
        args: The parsed options of `option_parser`.
        days: The days to play, one row each.
        day_columns: Functions that return the cells describing the day, by column title.
        figures_type: The figures of a played day, which make up the other columns.
        play: Plays a day in a checkout and stores its figures in a folder.

    Returns:
        For each day its outcomes in all checkouts, in the order of the checkouts.
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
    """Return one cell for each title, holding the figures of all checkouts."""
    rows = [{} if isinstance(outcome, FailedRun) else outcome.to_row() for outcome in outcomes]
    return [", ".join(str(row.get(title, UNKNOWN_CELL)) for row in rows) for title in titles]
