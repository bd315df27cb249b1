"""Print the table: a row for each operation and size, a column for each tree."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from scripts.benchmark_hot_paths.operations import REQUEST
from scripts.benchmark_hot_paths.revisions import measure

ROUNDS = 3


def print_table(trees: dict[str, Path], operations: Iterable[str], sizes: list[int]) -> None:
    """Measure the trees in turn, and print the lowest figure of several rounds for each."""
    columns = "".join(f"{name:>14}" for name in trees)
    print(f"{'part':<13}{'size':>9}  {columns}   us of processor time, least of {ROUNDS}")
    for operation in operations:
        for size in [0] if operation == REQUEST else sizes:
            figures = _measure_in_turn(trees, operation, size)
            cells = "".join(f"{min(rounds):>14.1f}" for rounds in figures.values())
            print(f"{operation:<13}{size or '-':>9}  {cells}", flush=True)


def _measure_in_turn(trees: dict[str, Path], operation: str, size: int) -> dict[str, list[float]]:
    """Return the figures of all rounds by tree."""
    figures: dict[str, list[float]] = {name: [] for name in trees}
    for _ in range(ROUNDS):
        for name, tree in trees.items():
            figures[name].append(measure(tree, operation, size))
    return figures
