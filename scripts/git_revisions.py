"""Extract revisions of this checkout from git."""

from __future__ import annotations

import io
import subprocess
import tarfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def git_output(*args: str) -> bytes:
    """Run a git command in this checkout and return its output."""
    return subprocess.run(["git", *args], cwd=ROOT, check=True, capture_output=True).stdout


def open_archive(revision: str, *paths: str) -> tarfile.TarFile:
    """Open a tar archive of a revision: all its files, or only those under the paths.

    The caller closes the archive.
    """
    return tarfile.open(fileobj=io.BytesIO(git_output("archive", revision, *paths)))


def extract(revision: str, folder: Path, *paths: str) -> None:
    """Unpack a revision, or only its files under the paths, into a folder."""
    with open_archive(revision, *paths) as archive:
        archive.extractall(folder, filter="data")
