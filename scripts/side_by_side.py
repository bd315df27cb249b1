"""Days played in one checkout or several side by side: shared options, and a table row a day."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

D = TypeVar("D")


def options(doc: str | None, jobs: int) -> argparse.ArgumentParser:
    """The options: bench, site, checkouts, which days, and how many at once."""
    p = argparse.ArgumentParser(
        description=doc, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    p.add_argument("--bench", required=True)
    p.add_argument("--site", required=True, type=Path)
    p.add_argument("--out", required=True, type=Path)
    p.add_argument(
        "--tree",
        action="append",
        type=Path,
        help="a checkout to play; may be given twice, before and after",
    )
    p.add_argument("--only", default="", help="days whose names hold this")
    p.add_argument("--jobs", type=int, default=jobs)
    return p


def compare(
    args: argparse.Namespace,
    days: Sequence[D],
    heads: dict[str, Callable[[D], str]],
    columns: Sequence[str],
    play: Callable[[D, Path, Path], dict[str, Any]],
) -> list[list[dict[str, Any]]]:
    """Play all days in all checkouts and print the table as it comes; returns each day's figures.

    `heads`: the cells that are the day's, by title; `columns`: figures; `play`: plays a day in a
    checkout and keeps its figures in a folder.
    """
    trees = [t.resolve() for t in args.tree or [Path.cwd()]]
    out: list[list[dict[str, Any]]] = []
    with ThreadPoolExecutor(args.jobs) as pool:
        waiting = [
            [pool.submit(play, d, t, args.out.resolve() / t.name) for t in trees] for d in days
        ]
        titles = [*heads, *columns]
        print("| " + " | ".join(titles) + " |\n|" + " --- |" * len(titles))
        for d, played in zip(days, waiting, strict=True):
            rows = [w.result() for w in played]
            cells = [head(d) for head in heads.values()] + [
                ", ".join(str(r.get(c, "?")) for r in rows) for c in columns
            ]
            print("| " + " | ".join(cells) + " |", flush=True)
            for r in rows:
                if "failed" in r:
                    print(r["failed"], file=sys.stderr)
            out.append(rows)
    return out
