"""A copy of a site with one day on it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from scripts.custom_days.site_files import Site

# Seconds after which a controller that ended is started again
RESTART_DELAYS_S = (0.1, 0.2, 0.3, 0.5, 1.0, 3.0, 6.0)


@dataclass(frozen=True)
class Day:
    """A copy of a site with one day on it."""

    name: str
    description: str  # what was changed, in a few words
    site: Site


def day_table(name: str, seed: int, **more: Any) -> dict[str, Any]:
    """A day as a site file lists it; `more` follows in its order: faults, jobs, variation."""
    return {"name": name, "slot": "scale", "light": True, "seed": seed, **more}
