"""The controller processes, each in the old or the new version."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import tomli_w

from ploverhall import settings
from scripts import git_revisions
from tests import test_loopback

OLD = "old"
NEW = "new"
NAMES = ("c0", "c1", "c2")
ZONES = ("a", "b", "a")
CANCEL_S = 30.0
HEARTBEAT_S = 0.5
# Prefixes of log lines that no controller may write
ERROR_LINES = (
    "error ",
    "warning state service: odd answer",  # older releases
    "warning key-value store: invalid response",
)


def extract_with_libraries(revision: str, folder: Path) -> None:
    """Unpack a revision and link the libraries of this tree into it."""
    git_revisions.extract(revision, folder)
    libraries = git_revisions.ROOT / "target" / "deps"
    if libraries.exists():
        (folder / "target").mkdir()
        (folder / "target" / "deps").symlink_to(libraries)


def controller_settings(name: str, ports: list[int]) -> dict[str, Any]:
    """Return the settings of one controller.

    The first six ports are used by the controllers, the others by the fakes.
    """
    data = test_loopback.config(ports[4:])
    listen = {peer: f"127.0.0.1:{ports[3 + index]}" for index, peer in enumerate(NAMES)}
    zones = dict(zip(NAMES, ZONES, strict=True))
    data.update(
        host_name=name,
        site=zones[name],
        bind=f"127.0.0.1:{ports[NAMES.index(name)]}",
        peer_listen=listen[name],
        siblings=[
            {"host_name": peer, "site": zones[peer], "addr": listen[peer]}
            for peer in NAMES
            if peer != name
        ],
    )
    deployment = data["deployment"]
    deployment["zones"] = sorted(set(ZONES))
    deployment["workers"].update(report_s=HEARTBEAT_S, cancel_s=CANCEL_S)
    deployment["teams"][0].update(gpus=30, gpus_max=30)
    return data


class Controllers:
    """Manages the controller processes, each in one of two versions."""

    def __init__(self, trees: dict[str, Path], folder: Path, ports: list[int]) -> None:
        self.trees = trees
        self.folder = folder
        self.settings: dict[str, settings.Settings] = {}
        self.versions: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        for name in NAMES:
            data = controller_settings(name, ports)
            self.settings[name] = settings.parse(data)
            self._file(name).write_text(tomli_w.dumps(data))

    def _file(self, name: str) -> Path:
        return self.folder / f"{name}.toml"

    def _log(self, name: str) -> Path:
        return self.folder / f"{name}.log"

    def start(self, name: str, version: str) -> None:
        """Start a controller; its output is appended to the log of its previous process."""
        command = [
            sys.executable,
            str(self.trees[version] / "run.py"),
            "--config",
            str(self._file(name)),
        ]
        with self._log(name).open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, cwd=self.folder
            )
        self.versions[name] = version

    def kill(self, name: str) -> None:
        """Kill a controller and wait until it has ended."""
        self.processes[name].kill()
        self.processes[name].wait()

    def kill_all(self) -> None:
        """Kill all controllers that are still running."""
        for name in self.processes:
            self.kill(name)

    def ended_by_themselves(self) -> list[str]:
        """Return the controllers that have exited by themselves."""
        return [name for name, process in self.processes.items() if process.poll() is not None]

    def error_lines(self) -> list[str]:
        """Return the error lines of the controllers' logs."""
        return [
            f"{name}: {line}"
            for name in NAMES
            for line in self._log(name).read_text(errors="replace").splitlines()
            if line.startswith((*ERROR_LINES, "Traceback"))
        ]
