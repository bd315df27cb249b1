"""Read a site file of the bench, and change the site's size and zones."""

from __future__ import annotations

import tomllib
from pathlib import Path
from random import Random
from typing import Any

Site = dict[str, Any]  # a parsed site file of the bench

COUNT_KEYS = ("count", "spot")
MACHINE_TABLES = ("capacity", "machines")


def load_site_without_days(path: Path) -> Site:
    """Read a site file and drop its own days."""
    site = tomllib.loads(path.read_text())
    site.pop("day", None)
    return site


def zone_names(site: Site) -> list[str]:
    """Return the zones that have machines, sorted."""
    return sorted({capacity["zone"] for capacity in site["capacity"]})


def machine_count(site: Site) -> int:
    """Return the maximum number of machines of the site."""
    return sum(capacity["count"] for capacity in site["capacity"])


def job_class(site: Site, kind: str) -> dict[str, Any]:
    """Return the first class of jobs of a kind.

    Raises:
        StopIteration: If the site has no class of that kind.
    """
    found: dict[str, Any] = next(job for job in site["jobs"] if job["kind"] == kind)
    return found


def scale_site(site: Site, factor: float) -> None:
    """Multiply the machines, the initial jobs and the arrivals by a factor."""
    for entry in site.get("capacity", []) + site.get("machines", []):
        for key in COUNT_KEYS:
            if type(entry.get(key)) is int:
                entry[key] = max(1, round(entry[key] * factor))
    for job in site["jobs"]:
        job["initial"] = round(job.get("initial", 0) * factor)
        job["arrivals"]["rate"] *= factor


def redistribute_zones(
    site: Site,
    controller_count: int,
    zone_count: int,
    zone_without_controller: bool,
    rng: Random,
) -> None:
    """Move the machines of the site to other zones, unevenly.

    The last zone has no controller if `zone_without_controller` is set and there is more than one
    zone.
    """
    zones = [f"zone-{chr(ord('a') + index)}" for index in range(zone_count)]
    site["nodes"]["count"] = controller_count
    site["nodes"]["zones"] = zones[:-1] if zone_without_controller and zone_count > 1 else zones
    weights = [0.4 + rng.random() for _ in zones]
    for table in MACHINE_TABLES:
        if table in site:
            site[table] = _spread(site[table], table == "machines", zones, weights)
    for job in site["jobs"]:
        job.pop("zone", None)


def _spread(
    entries: list[dict[str, Any]], keep_spot: bool, zones: list[str], weights: list[float]
) -> list[dict[str, Any]]:
    """Spread the entries over the zones by weight.

    The totals by type (and by `spot`, if `keep_spot`) stay the same, except for rounding.
    """
    totals: dict[tuple[str, Any], dict[str, int]] = {}
    for entry in entries:
        group = (entry["type"], entry["spot"] if keep_spot else None)
        total = totals.setdefault(group, {})
        for key in COUNT_KEYS:
            if type(entry.get(key)) is int:
                total[key] = total.get(key, 0) + entry[key]
    spread = []
    for (machine_type, spot), total in totals.items():
        for zone, weight in zip(zones, weights, strict=True):
            entry = {"type": machine_type, "zone": zone}
            if spot is not None:
                entry["spot"] = spot
            for key, count in total.items():
                entry[key] = max(1, round(count * weight / sum(weights)))
            spread.append(entry)
    return spread
