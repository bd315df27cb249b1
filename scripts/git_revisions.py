"""Takes revisions of this checkout out of git."""

from __future__ import annotations

import io
import subprocess
import tarfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def git_output(*args: str) -> bytes:
    """The output of a git command in this checkout."""
    return subprocess.run(["git", *args], cwd=ROOT, check=True, capture_output=True).stdout


def open_archive(revision: str, *paths: str) -> tarfile.TarFile:
    """The files of a revision, all or those under the paths; to be closed."""
    return tarfile.open(fileobj=io.BytesIO(git_output("archive", revision, *paths)))


def extract(revision: str, folder: Path, *paths: str) -> None:
    """Unpack a revision, or what it has under the paths, into a folder."""
    with open_archive(revision, *paths) as archive:
        archive.extractall(folder, filter="data")
