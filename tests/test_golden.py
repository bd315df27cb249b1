"""Check that messages, stored data and operator output equal the golden files.

tests/golden/make.py writes them.
"""

from __future__ import annotations

import json
from typing import Any

from .golden import make

MAX_SHOWN = 20


def differences(golden: Any, now: Any, where: str = "") -> list[str]:
    """Return the differences of two JSON values, each with its path."""
    if isinstance(golden, dict) and isinstance(now, dict):
        out = [f"{where}/{k}: gone" for k in golden if k not in now] + [
            f"{where}/{k}: new" for k in now if k not in golden
        ]
        for key in golden:
            if key in now:
                out += differences(golden[key], now[key], f"{where}/{key}")
        if not out and list(golden) != list(now):
            out.append(f"{where}: another order of keys")
        return out
    if isinstance(golden, list) and isinstance(now, list):
        if where.endswith("/shape"):
            gone = [f"{where}: gone: {line}" for line in golden if line not in now]
            return gone + [f"{where}: new: {line}" for line in now if line not in golden]
        if len(golden) == len(now):
            pairs = enumerate(zip(golden, now, strict=True))
            return [line for i, (a, b) in pairs for line in differences(a, b, f"{where}[{i}]")]
    if golden == now and type(golden) is type(now):
        return []
    return [f"{where}: was {golden!r}, is {now!r}"]


def test_messages_and_stored_data_equal_the_golden_files() -> None:
    """One test covers all files, so that the scenes run only once."""
    found: list[str] = []
    for name in make.FILES:
        kept, now = make.path(name).read_text(), make.text(name)
        new = differences(json.loads(kept), json.loads(now), name)
        found += new if new or kept == now else [f"{name}: same data, but formatted differently"]
    assert not found, "\n".join([f"{len(found)} differences", *found[:MAX_SHOWN]])


def test_a_difference_is_named_by_its_path() -> None:
    golden = {"a": [1, {"b": 2}], "c": {"shape": ["x", "y"]}}
    now = {"a": [1, {"b": 2.0}], "c": {"shape": ["x", "z"]}}
    assert differences(golden, now) == [
        "/a[1]/b: was 2, is 2.0",
        "/c/shape: gone: y",
        "/c/shape: new: z",
    ]
    assert differences({"a": 1, "b": 2}, {"b": 2, "a": 1}) == [": another order of keys"]
