"""Extract a revision from git, and measure a tree with its own copy of this script."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from scripts import git_revisions

MODULE = "scripts.benchmark_hot_paths"
MODULE_BEFORE_RENAME = "scripts.cost"
# The package, its scripts, and the tests' fakes
MEASURED_FOLDERS = ("ploverhall", "scripts", "tests")


def module_name(tree: Path) -> str:
    """Return the module name of this script in a tree.

    Trees from before the rename use the earlier name.
    """
    path = tree / MODULE.replace(".", "/")
    exists = path.is_dir() or path.with_suffix(".py").exists()
    return MODULE if exists else MODULE_BEFORE_RENAME


def extract(revision: str, folder: str) -> Path:
    """Extract the measured folders of an earlier revision and return the root of the tree."""
    git_revisions.extract(revision, Path(folder), *MEASURED_FOLDERS)
    return Path(folder)


def measure(tree: Path, operation: str, size: int) -> float:
    """Measure one operation of a tree in a separate process.

    All trees have the same `--child` option.

    Raises:
        SystemExit: If the process fails, with its error output.
    """
    args = [sys.executable, "-m", module_name(tree), "--child", operation, str(size)]
    env = {**os.environ, "PYTHONPATH": str(tree)}
    result = subprocess.run(args, env=env, cwd=tree, capture_output=True, text=True, check=False)
    if result.returncode:
        raise SystemExit(result.stderr)
    return float(result.stdout)
