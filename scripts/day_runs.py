"""Play simulated days on the users' bench and store what was measured.

Shared by the scripts that play days. The figures of a day are a dataclass derived from `Figures`.
They are stored as JSON beside the day's report, so that a day that was played before is not
played again.
"""

from __future__ import annotations

import json
import subprocess
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any, Self, TypeVar

LOG_TAIL_CHARACTERS = 600

Report = dict[str, Any]  # the bench's report as parsed JSON


def column(title: str) -> Any:
    """Return a field of `Figures` with its title in the table and in the stored JSON."""
    return field(metadata={"title": title})


@dataclass(frozen=True)
class Figures:
    """Figures measured on a played day; each field is declared with `column`."""

    @classmethod
    def titles(cls) -> list[str]:
        """Return the titles of all columns, in order."""
        return [figure.metadata["title"] for figure in fields(cls)]

    @classmethod
    def from_row(cls, row: dict[str, Any]) -> Self:
        """Build the figures from a row that maps column titles to values."""
        return cls(**{figure.name: row[figure.metadata["title"]] for figure in fields(cls)})

    def to_row(self) -> dict[str, Any]:
        """Return the values keyed by their column titles."""
        return {figure.metadata["title"]: getattr(self, figure.name) for figure in fields(self)}


FiguresType = TypeVar("FiguresType", bound=Figures)


@dataclass(frozen=True)
class FailedRun:
    """A run of the bench that wrote no report, with the end of its output."""

    output_tail: str


@dataclass(frozen=True)
class DayFiles:
    """The files of one played day in its output folder."""

    folder: Path
    day_name: str

    @property
    def input(self) -> Path:
        """Return the path of the site or day file that the bench reads."""
        return self.folder / f"{self.day_name}.toml"

    @property
    def report(self) -> Path:
        """Return the path of the bench's report."""
        return self.folder / f"{self.day_name}.report"

    @property
    def log(self) -> Path:
        """Return the path of the bench's output, which includes the logs of all controllers."""
        return self.folder / f"{self.day_name}.log"

    @property
    def figures(self) -> Path:
        """Return the path of the stored figures, which come from the report and the log."""
        return self.folder / f"{self.day_name}.json"


def play_day(
    files: DayFiles,
    input_text: str,
    command: Sequence[str],
    checkout: Path,
    figures_type: type[FiguresType],
    read_figures: Callable[[Report], FiguresType],
) -> FiguresType | FailedRun:
    """Play one day in a checkout, unless its figures are stored already.

    `command` is the bench's command line without the options for log and report. The log file is
    kept; the caller removes it.

    Returns:
        The figures, or a `FailedRun` if the bench wrote no report.
    """
    if files.figures.exists():
        return figures_type.from_row(json.loads(files.figures.read_text()))
    files.folder.mkdir(parents=True, exist_ok=True)
    files.input.write_text(input_text)
    whole_command = [*command, "--log", "debug", "--report", str(files.report)]
    with files.log.open("wb") as log:
        subprocess.run(whole_command, cwd=checkout, stdout=log, stderr=log, check=False)
    if not files.report.exists():
        return FailedRun(files.log.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:])
    figures = read_figures(json.loads(files.report.read_text()))
    files.figures.write_text(json.dumps(figures.to_row()))
    return figures


def worst_service_availability(report: Report) -> float:
    """Return the lowest share of a service's replicas that ran in any 30 s.

    The result is 1 if the day has no services.
    """
    shares = [
        target["value"]
        for target in report["targets"]
        if target["kind"] == "up" and target.get("worst_s")
    ]
    return min(shares, default=1.0)


def tasks_killed_by_lease(report: Report) -> int:
    """Return the number of tasks that ended because their machine's lease expired."""
    return int(report["fleet"]["tasks_killed_by_lease"])


def rules_broken(report: Report) -> int:
    """Return the number of violations of the bench's rules."""
    return int(report["rules_broken"]["total"])
