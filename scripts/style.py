"""Counts of what makes code hard to read, in this tree or a revision; two side by side.

    python -m scripts.style [--base REVISION] [REVISION]

Counted over all Python files under version control: lines over 100 columns, files over 400 lines,
functions over 40 lines, arguments and assigned names of one or two letters, `dict[str, Any]` and
`list[Any]`, `fmt: skip`, and exception classes of the package outside `ploverhall/errors.py`. The
package is shown by itself, then the whole tree. Nothing is judged.
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
SHORT_NAME = 2
BARE_TYPES = ("dict[str, Any]", "list[Any]")

LONG_LINES = f"lines over {MAX_COLUMNS} columns"
LONG_FILES = f"files over {MAX_FILE_LINES} lines"
LONG_FUNCTIONS = f"functions over {MAX_FUNCTION_LINES} lines"
SHORT_NAMES = "names of one or two letters"
BARE = "bare dict[str, Any] and list[Any]"
SKIPS = "fmt: skip"
ERRORS = "exceptions outside errors.py"
KINDS = (LONG_LINES, LONG_FILES, LONG_FUNCTIONS, SHORT_NAMES, BARE, SKIPS, ERRORS)


def sources(revision: str | None) -> dict[str, str]:
    """The Python files under version control, by path: of a revision, or as they are now."""
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
    """The counts of some files together."""
    counts: Counter[str] = Counter()
    for path, text in files.items():
        lines = text.splitlines()
        counts[LONG_LINES] += sum(len(line) > MAX_COLUMNS for line in lines)
        counts[LONG_FILES] += len(lines) > MAX_FILE_LINES
        counts[SKIPS] += sum("# fmt: skip" in line for line in lines)
        tree = ast.parse(text)
        counts[LONG_FUNCTIONS] += sum(length > MAX_FUNCTION_LINES for length in functions(tree))
        counts[SHORT_NAMES] += sum(is_short(name) for name in bound_names(tree))
        counts[BARE] += sum(
            isinstance(node, ast.Subscript) and ast.unparse(node) in BARE_TYPES
            for node in ast.walk(tree)
        )
        if path.startswith(PACKAGE) and path != ERRORS_MODULE:
            counts[ERRORS] += sum(is_exception(node) for node in ast.walk(tree))
    return counts


def functions(tree: ast.AST) -> Iterator[int]:
    """The length of each function in lines, its signature and docstring included."""
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            yield (node.end_lineno or node.lineno) - node.lineno + 1


def bound_names(tree: ast.AST) -> Iterator[str]:
    """Arguments, and names that are assigned, targets of loops and comprehensions included."""
    for node in ast.walk(tree):
        if isinstance(node, ast.arg):
            yield node.arg
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
            yield node.id


def is_short(name: str) -> bool:
    """Whether a name has one or two letters; `_` is no name."""
    return len(name) <= SHORT_NAME and name.strip("_") != ""


def is_exception(node: ast.AST) -> bool:
    """Whether this is a class derived from an exception, by the name of its base."""
    return isinstance(node, ast.ClassDef) and any(
        ast.unparse(base).endswith(("Error", "Exception")) for base in node.bases
    )


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("revision", nargs="?", help="instead of the files as they are now")
    parser.add_argument("--base", metavar="REVISION", help="a revision to show beside it")
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
