"""Pytest plugin for CI: tests listed in KNOWN-RED.txt run, but may fail.

    python -m pytest -q -p scripts.known_red -rxX

Each line of the file is `TEST | CAUSE | ISSUE`, where TEST is the complete node id as pytest
prints it. Empty lines and lines that begin with `#` are skipped. At most three tests may be
listed. A listed test that does not exist, or a malformed line, ends the run with an error.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_TESTS = 3


class KnownRed(NamedTuple):
    """A test that fails because of a real fault that is not fixed yet."""

    node_id: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Return the listed tests.

    Raises:
        ValueError: If a line is malformed or too many tests are listed.
    """
    tests = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != len(KnownRed._fields) or not all(fields):
            raise ValueError(f"{FILE_NAME}: expected `TEST | CAUSE | ISSUE`, got: {line}")
        tests.append(KnownRed(*fields))
    if len(tests) > MAX_TESTS:
        raise ValueError(f"{FILE_NAME}: {len(tests)} tests listed, at most {MAX_TESTS} allowed")
    return tests


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark exactly the listed tests as expected to fail; they still run."""
    path = Path(config.rootpath) / FILE_NAME
    try:
        listed = {test.node_id: test for test in parse(path.read_text())}
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    for item in items:
        test = listed.pop(item.nodeid, None)
        if test is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{test.cause} ({test.issue})", strict=False))
    if listed:
        raise pytest.UsageError(f"{FILE_NAME}: listed test does not exist: {', '.join(listed)}")
