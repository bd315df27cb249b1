"""A pytest plugin for CI: tests listed in KNOWN-RED.txt run, and may fail.

    python -m pytest -q -p scripts.known_red -rxX

Each line of the file is `TEST | CAUSE | ISSUE`, TEST being the whole node id as pytest prints it;
empty lines and lines that begin with `#` are skipped. At most three tests may be listed. A listed
test that does not exist, or a line in another form, ends the run with an error.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_TESTS = 3


class KnownRed(NamedTuple):
    """One test that fails for a real fault which is not mended yet."""

    node_id: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """The listed tests. Raises ValueError for a line in another form, or too many tests."""
    tests = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != len(KnownRed._fields) or not all(fields):
            raise ValueError(f"{FILE_NAME}: not `TEST | CAUSE | ISSUE`: {line}")
        tests.append(KnownRed(*fields))
    if len(tests) > MAX_TESTS:
        raise ValueError(f"{FILE_NAME}: {len(tests)} tests, at most {MAX_TESTS} may be listed")
    return tests


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark exactly the listed tests as expected to fail; they run all the same."""
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
        raise pytest.UsageError(f"{FILE_NAME}: no such test: {', '.join(listed)}")
