"""A copy of a site with one day on it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from scripts.custom_days.site_files import Site

# Seconds after which a controller that has ended is restarted
RESTART_DELAYS_S = (0.1, 0.2, 0.3, 0.5, 1.0, 3.0, 6.0)


@dataclass(frozen=True)
class Day:
    """A copy of a site with one day on it."""

    name: str
    description: str  # short summary of the changes to the site
    site: Site


def day_table(name: str, seed: int, **more: Any) -> dict[str, Any]:
    """Return a day as a site file lists it.

    The keys of `more` (faults, jobs, variation) follow in the given order.
    """
    return {"name": name, "slot": "scale", "light": True, "seed": seed, **more}
