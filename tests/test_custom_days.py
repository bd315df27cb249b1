"""Test the days of scripts/custom_days/scenario_days.py.

Each kind of fault is on every fourth day, and a seed always gives the same days.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

import pytest

from scripts.custom_days import scenario_days

SITE: dict[str, Any] = {
    "nodes": {"count": 3},
    "workers": {"lease_s": 13.0, "cancel_s": 38.0},
    "warmup_s": 120.0,
    "duration_s": 500.0,
    "capacity": [{"count": 100, "zone": "a"}, {"count": 80, "zone": "b"}],
    "jobs": [{"name": "ranker", "kind": "service"}, {"name": "embed", "kind": "array"}],
}
EXPECTED_FAULTS = (
    "late_writes",
    "late_writes at_once",
    "late_reports",
    "late_reports for_next",
    "machine_deaf",
    "node_cut from_peers",
    "cancel_now",
    "cancel_now hang_s",
    "cancel_at_end",
    "machine_mute",
    "odd_requests",
    "close_looks",
)


@pytest.mark.parametrize("seed", range(1, 40))
@pytest.mark.parametrize("first", [0, 20, 40])
def test_each_kind_of_fault_is_on_five_of_twenty_scenario_days(seed: int, first: int) -> None:
    on: Counter[str] = Counter()
    for i in range(first, first + 20):
        day = scenario_days.schedule_faults(SITE, seed, i, Random(f"{seed} {i}"))
        faults = day.faults
        again = scenario_days.schedule_faults(SITE, seed, i, Random(f"{seed} {i}"))
        assert faults == again.faults and len(set(day.scenario_names)) > 1
        assert all(f["at_s"] < 0.81 * SITE["duration_s"] for f in faults)
        on.update(
            {
                " ".join(
                    [
                        f["kind"],
                        *(k for k in ("at_once", "for_next", "from_peers", "hang_s") if k in f),
                    ]
                )
                for f in faults
            }
        )
    assert all(on[w] >= 5 for w in EXPECTED_FAULTS), {
        w: on[w] for w in EXPECTED_FAULTS if on[w] < 5
    }
