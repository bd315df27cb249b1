"""Test settings: invalid fields are named in the error, and unknown ones are ignored."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from ploverhall import settings
from ploverhall.errors import SettingsError

from .test_loopback import config


def test_unknown_fields_are_ignored_and_invalid_ones_named() -> None:
    good = config([1, 2, 3, 4])
    assert settings.parse({**good, "new": 1}).name == "c0"
    for path, value in (
        ("bind", "nowhere"),
        ("deployment.workers.lease_s", -1),
        ("deployment.state.rps", "many"),
    ):
        bad = json.loads(json.dumps(good))
        *parents, last = path.split(".")
        at = bad
        for w in parents:
            at = at[w]
        at[last] = value
        with pytest.raises(SettingsError, match=path.replace(".", r"\.")):
            settings.parse(bad)


def test_options_are_checked_by_the_schema(tmp_path: Path) -> None:
    file = tmp_path / "o.json"
    file.write_text('{"hold_s": 3}')
    assert settings.load_options(file).hold_s == 3
    for wrong in ('{"hold_s": "long"}', '{"hold": 3}', "nonsense"):
        file.write_text(wrong)
        with pytest.raises(SettingsError):
            settings.load_options(file)


def test_every_option_is_in_the_schema() -> None:
    schema = json.loads((Path(settings.__file__).parent / "options.schema.json").read_text())
    assert set(schema["properties"]) == set(settings.Options.__dataclass_fields__)
