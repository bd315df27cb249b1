"""List the scripts: `python -m scripts --help`.

Each script is run as `python -m scripts.NAME` and has its own `--help`.
"""

from __future__ import annotations

import argparse
import ast
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
NOT_RUN_ALONE = ("day_runs", "git_revisions", "job_log", "known_red", "side_by_side")


def runnable() -> dict[str, str]:
    """Return the names of the scripts, each with the first line of its docstring."""
    paths = [path for path in FOLDER.glob("*.py") if not path.stem.startswith("__")]
    paths += FOLDER.glob("*/__main__.py")
    found = {}
    for path in paths:
        name = path.stem if path.parent == FOLDER else path.parent.name
        if name not in NOT_RUN_ALONE:
            doc = ast.get_docstring(ast.parse(path.read_text())) or ""
            found[name] = doc.partition("\n")[0]
    return dict(sorted(found.items()))


def main() -> int:
    """Print the list of scripts."""
    lines = [f"  scripts.{name:<22}{first}" for name, first in runnable().items()]
    parser = argparse.ArgumentParser(
        prog="python -m scripts",
        description="Measurements and test runs, each started by one command.",
        epilog="\n".join(["scripts:", *lines, "", "python -m scripts.NAME --help says more."]),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.parse_args()
    parser.print_help()
    return 0


if __name__ == "__main__":
    sys.exit(main())
