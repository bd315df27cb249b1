"""Plays days on the users' bench and keeps what was measured; shared by scripts that play days.

The figures of a day are a dataclass derived from `Figures`. They are kept as JSON beside the
day's report, so that a day that was played before is not played again.
"""

from __future__ import annotations

import json
import subprocess
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any, Self, TypeVar

LOG_TAIL_CHARACTERS = 600

Report = dict[str, Any]  # the bench's report, as it writes it


def column(title: str) -> Any:
    """A field of `Figures` with its title in the table and in the kept JSON."""
    return field(metadata={"title": title})


@dataclass(frozen=True)
class Figures:
    """What was measured of a played day; each field is made by `column`."""

    @classmethod
    def titles(cls) -> list[str]:
        """The titles of all columns, in order."""
        return [figure.metadata["title"] for figure in fields(cls)]

    @classmethod
    def from_row(cls, row: dict[str, Any]) -> Self:
        """The figures from their titles and values."""
        return cls(**{figure.name: row[figure.metadata["title"]] for figure in fields(cls)})

    def to_row(self) -> dict[str, Any]:
        """The values by the titles of their columns."""
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
        """The site or day that the bench reads."""
        return self.folder / f"{self.day_name}.toml"

    @property
    def report(self) -> Path:
        """The bench's report."""
        return self.folder / f"{self.day_name}.report"

    @property
    def log(self) -> Path:
        """The output of the bench and the logs of all controllers."""
        return self.folder / f"{self.day_name}.log"

    @property
    def figures(self) -> Path:
        """The figures that were read from report and log."""
        return self.folder / f"{self.day_name}.json"


def play_day(
    files: DayFiles,
    input_text: str,
    command: Sequence[str],
    checkout: Path,
    figures_type: type[FiguresType],
    read_figures: Callable[[Report], FiguresType],
) -> FiguresType | FailedRun:
    """Play one day in a checkout, unless its figures were kept before.

    `command` is the bench's command line without the options for log and report. The log stays:
    who calls removes it.
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
    """The least share of a service's replicas that ran in any 30 s; 1 without services."""
    shares = [
        target["value"]
        for target in report["targets"]
        if target["kind"] == "up" and target.get("worst_s")
    ]
    return min(shares, default=1.0)


def tasks_killed_by_lease(report: Report) -> int:
    """How many tasks ended because their machine's lease expired."""
    return int(report["fleet"]["tasks_killed_by_lease"])


def rules_broken(report: Report) -> int:
    """How many rules of the bench were broken."""
    return int(report["rules_broken"]["total"])
