"""Check that the files and functions named in docs/architecture.md exist.

    python -m scripts.doc_references

A path in backquotes that ends in `.py` must exist in the package or at the root. Names in
backquotes after a path and a colon (`controller/http_routes.py`: `healthy`) must be defined in
that file. Exits with status 1 and prints the missing ones if there are any.
"""

from __future__ import annotations

import ast
import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "architecture.md"
# A path, optionally followed by a colon and names defined in that file
REFERENCE = re.compile(r"`((?:\w+/)*\w+\.py)`(:(?: `\w+`,?)+)?")


def find(path: str) -> Path | None:
    """Return the file that a path in the page refers to; None if there is none."""
    candidates = (ROOT / "ploverhall" / path, ROOT / path)
    return next((file for file in candidates if file.exists()), None)


def defined_names(file: Path) -> set[str]:
    """Return the names of all functions, methods and classes of a module."""
    kinds = ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef
    return {node.name for node in ast.walk(ast.parse(file.read_text())) if isinstance(node, kinds)}


def missing(text: str) -> list[str]:
    """Return the references in a page's text to files or names that do not exist."""
    found = []
    for path, names in REFERENCE.findall(text):
        # a module may be named by its file name alone
        file = find(path) if "/" in path else next((ROOT / "ploverhall").rglob(path), None)
        if file is None:
            found.append(path)
            continue
        defined = defined_names(file)
        found += [
            f"{path}: {name}" for name in re.findall(r"`(\w+)`", names) if name not in defined
        ]
    return found


def main() -> int:
    """Print the missing references and return the exit status."""
    wrong = missing(PAGE.read_text())
    for reference in wrong:
        print(f"{PAGE.name}: no such file or name: {reference}")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
