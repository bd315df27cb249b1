"""Processor time of a heartbeat, a permit and a user's question, at several sizes of fleet.

    python -m scripts.benchmark_hot_paths --base REVISION [--sizes 500,5000]

Each figure is processor time in microseconds, the least of several rounds. With `--base` an
earlier revision is taken out of git and measured in turn with this tree, each by its own copy of
this script (`scripts/cost.py` in revisions that have no `scripts/benchmark_hot_paths`) and in
processes of its own; what the revision needs must be installed. Parts:

- request: an agent's POST and its answer through the HTTP server, over loopback, 200 connections
  in turn
- report: a heartbeat that says nothing new: the checks, the owner's work, the encoded answer; no
  HTTP
- permit: a task from waiting to its exit, source and owner together, no I/O; the fleet is two
  thirds full of work that a part of the waiting tasks may preempt
- crowd: the same on a full fleet, behind jobs that wait and find no room
- poll, resubmission: a user asks for a job that waits, or submits it again, over loopback, with
  so many ended jobs known: a whole controller, its reads of the key-value store included, less
  what it does when nobody asks. Store, cloud and user are stand-ins in a process of their own
"""

from __future__ import annotations

import argparse
import sys
import tempfile

import anyio

from scripts.benchmark_hot_paths.operations import OPERATIONS
from scripts.benchmark_hot_paths.revisions import MODULE, extract
from scripts.benchmark_hot_paths.table import print_table
from scripts.benchmark_hot_paths.user_load import LoadPorts, serve_load
from scripts.git_revisions import ROOT

REVISION_CHARACTERS = 12


def option_parser() -> argparse.ArgumentParser:
    """The options; those without help are for processes that this script starts."""
    parser = argparse.ArgumentParser(
        prog=f"python -m {MODULE}",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--base", help="an earlier revision, measured beside this tree")
    parser.add_argument("--sizes", default="500,5000")
    parser.add_argument("--part", choices=OPERATIONS, action="append")
    parser.add_argument("--child", nargs=2, metavar=("PART", "SIZE"), help=argparse.SUPPRESS)
    parser.add_argument("--beside", nargs="+", help=argparse.SUPPRESS)
    return parser


def compare(base: str | None, operations: list[str], sizes: list[int]) -> None:
    """Measure this tree, and the revision `base` beside it."""
    with tempfile.TemporaryDirectory() as folder:
        trees = {"this": ROOT}
        if base:
            trees = {base[:REVISION_CHARACTERS]: extract(base, folder), "this": ROOT}
        print_table(trees, operations, sizes)


def main() -> int:
    """Measure and print a table; as a child, measure one operation."""
    args = option_parser().parse_args()
    if args.beside:
        question, size, *ports = args.beside
        anyio.run(serve_load, question, int(size), LoadPorts(*map(int, ports)))
    elif args.child:
        operation, size = args.child
        print(OPERATIONS[operation](int(size)))
    else:
        sizes = [int(size) for size in args.sizes.split(",")]
        compare(args.base, args.part or list(OPERATIONS), sizes)
    return 0


if __name__ == "__main__":
    sys.exit(main())
