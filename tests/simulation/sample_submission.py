"""A valid submission; tests and benchmarks override the fields that they concern."""

from __future__ import annotations

from typing import Any

SUBMISSION: dict[str, Any] = {
    "id": "j-000900",
    "flock": "c",
    "keeper": "team-0",
    "gait": "array",
    "rank": "normal",
    "chicks": 2,
    "cores": 1.0,
    "gpus": 1.0,
    "ramGb": 1.0,
    "plumage": "i",
    "pullGb": 0.1,
    "breeds": None,
    "marsh": None,
    "together": False,
    "scatter": False,
    "driftwood": False,
    "flightS": 1.0,
    "nestS": 0.0,
    "tuckS": 0.0,
    "duskS": None,
}
