"""Count style problems in this tree or a revision, or compare two revisions.

    python -m scripts.style [--base REVISION] [REVISION]

Counted over all Python files under version control: lines over 100 columns, files over 400 lines,
functions over 40 lines, arguments and assigned names of one or two letters, `dict[str, Any]` and
`list[Any]`, `fmt: skip`, and exception classes of the package outside `ploverhall/errors.py`.
Prints the counts of the package, then those of the whole tree. No count fails the run.
"""

from __future__ import annotations

import argparse
import ast
import sys
from collections import Counter
from collections.abc import Iterator

from scripts.git_revisions import ROOT, git_output, open_archive

PACKAGE = "ploverhall/"
ERRORS_MODULE = "ploverhall/errors.py"
MAX_COLUMNS = 100
MAX_FILE_LINES = 400
MAX_FUNCTION_LINES = 40
MAX_SHORT_NAME_LETTERS = 2
BARE_TYPES = ("dict[str, Any]", "list[Any]")

LONG_LINES = f"lines over {MAX_COLUMNS} columns"
LONG_FILES = f"files over {MAX_FILE_LINES} lines"
LONG_FUNCTIONS = f"functions over {MAX_FUNCTION_LINES} lines"
SHORT_NAMES = "names of one or two letters"
BARE_CONTAINERS = "bare dict[str, Any] and list[Any]"
FORMAT_SKIPS = "fmt: skip"
MISPLACED_ERRORS = "exceptions outside errors.py"
KINDS = (
    LONG_LINES,
    LONG_FILES,
    LONG_FUNCTIONS,
    SHORT_NAMES,
    BARE_CONTAINERS,
    FORMAT_SKIPS,
    MISPLACED_ERRORS,
)


def sources(revision: str | None) -> dict[str, str]:
    """Return the Python files under version control by path: of a revision, or as they are now."""
    if revision is None:
        listed = git_output(
            "ls-files", "--cached", "--others", "--exclude-standard", "*.py"
        ).decode()
        paths = [path for path in listed.splitlines() if (ROOT / path).exists()]
        return {path: (ROOT / path).read_text() for path in paths}
    found = {}
    with open_archive(revision) as archive:
        for member in archive:
            file = archive.extractfile(member) if member.name.endswith(".py") else None
            if file is not None:
                found[member.name] = file.read().decode()
    return found


def count(files: dict[str, str]) -> Counter[str]:
    """Count all kinds of problems over the given files."""
    counts: Counter[str] = Counter()
    for path, text in files.items():
        lines = text.splitlines()
        counts[LONG_LINES] += sum(len(line) > MAX_COLUMNS for line in lines)
        counts[LONG_FILES] += len(lines) > MAX_FILE_LINES
        counts[FORMAT_SKIPS] += sum("# fmt: skip" in line for line in lines)
        tree = ast.parse(text)
        counts[LONG_FUNCTIONS] += sum(
            length > MAX_FUNCTION_LINES for length in function_lengths(tree)
        )
        counts[SHORT_NAMES] += sum(is_short(name) for name in bound_names(tree))
        counts[BARE_CONTAINERS] += sum(
            isinstance(node, ast.Subscript) and ast.unparse(node) in BARE_TYPES
            for node in ast.walk(tree)
        )
        if path.startswith(PACKAGE) and path != ERRORS_MODULE:
            counts[MISPLACED_ERRORS] += sum(is_exception(node) for node in ast.walk(tree))
    return counts


def function_lengths(tree: ast.AST) -> Iterator[int]:
    """Yield the length of each function in lines, including signature and docstring."""
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            yield (node.end_lineno or node.lineno) - node.lineno + 1


def bound_names(tree: ast.AST) -> Iterator[str]:
    """Yield arguments and assigned names, including targets of loops and comprehensions."""
    for node in ast.walk(tree):
        if isinstance(node, ast.arg):
            yield node.arg
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
            yield node.id


def is_short(name: str) -> bool:
    """Return whether a name has one or two letters; `_` does not count as a name."""
    return len(name) <= MAX_SHORT_NAME_LETTERS and name.strip("_") != ""


def is_exception(node: ast.AST) -> bool:
    """Return whether the node is an exception class, judged by the names of its bases."""
    return isinstance(node, ast.ClassDef) and any(
        ast.unparse(base).endswith(("Error", "Exception")) for base in node.bases
    )


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "revision", nargs="?", help="revision to count instead of the current files"
    )
    parser.add_argument(
        "--base", metavar="REVISION", help="another revision to show for comparison"
    )
    args = parser.parse_args()
    columns = {args.revision or "this tree": sources(args.revision)}
    if args.base:
        columns = {args.base: sources(args.base), **columns}
    for title, prefix in (("package", PACKAGE), ("whole tree", "")):
        counts = [
            count({path: text for path, text in files.items() if path.startswith(prefix)})
            for files in columns.values()
        ]
        print(f"{title:<36}" + "".join(f"{name[:12]:>14}" for name in columns))
        for kind in KINDS:
            print(f"  {kind:<34}" + "".join(f"{column[kind]:>14}" for column in counts))
    return 0


if __name__ == "__main__":
    sys.exit(main())
