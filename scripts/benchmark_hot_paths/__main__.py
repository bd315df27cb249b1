"""Measure the processor time of a heartbeat, a permit and a user's request, at several fleet sizes.

    python -m scripts.benchmark_hot_paths --base REVISION [--sizes 500,5000]

Each figure is processor time in microseconds, the lowest of several rounds. With `--base` an
earlier revision is extracted from git and measured in turn with this tree. Each tree is measured
by its own copy of this script (`scripts/cost.py` in revisions that have no
`scripts/benchmark_hot_paths`) and in separate processes; the dependencies of the revision must be
installed. Parts:

- request: an agent's POST and its answer through the HTTP server, over loopback, 200 connections
  in turn
- report: a heartbeat without changes: its validation, the owner's work and the encoded answer; no
  HTTP
- permit: a task from waiting to its exit, source and owner together, no I/O; the fleet is two
  thirds full of work that some of the waiting tasks may preempt
- crowd: the same on a full fleet, behind waiting jobs for which there is no room
- poll, resubmission: a user asks for a waiting job, or submits it again, over loopback, with as
  many known ended jobs as the size says; a whole controller with its reads of the key-value store,
  minus its idle cost. Store, cloud and user are fakes in a process of their own
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
    """Return the option parser; options without help are for processes that this script starts."""
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
    """Measure this tree, and beside it the revision `base` if it is given."""
    with tempfile.TemporaryDirectory() as folder:
        trees = {"this": ROOT}
        if base:
            trees = {base[:REVISION_CHARACTERS]: extract(base, folder), "this": ROOT}
        print_table(trees, operations, sizes)


def main() -> int:
    """Measure and print a table, or, as a child process, run one operation or the load."""
    args = option_parser().parse_args()
    if args.beside:
        request_kind, size, *ports = args.beside
        anyio.run(serve_load, request_kind, int(size), LoadPorts(*map(int, ports)))
    elif args.child:
        operation, size = args.child
        print(OPERATIONS[operation](int(size)))
    else:
        sizes = [int(size) for size in args.sizes.split(",")]
        compare(args.base, args.part or list(OPERATIONS), sizes)
    return 0


if __name__ == "__main__":
    sys.exit(main())
