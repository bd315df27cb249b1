"""Days with faults at random times, on copies of a site of other size, zones and controllers."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

from scripts.custom_days.day import RESTART_DELAYS_S, Day, day_table
from scripts.custom_days.faults import CUT_MODES, Fault, fault
from scripts.custom_days.site_files import (
    Site,
    load_site_without_days,
    machine_count,
    redistribute_zones,
    scale_site,
    zone_names,
)

FIRST_DAY_SEED = 1000
LAST_FAULT_SHARE = 0.8  # of the day
OVERLAP_SHARE = 0.5  # of the faults begin within `OVERLAP_WITHIN_S` of the previous one
OVERLAP_WITHIN_S = 12.0
# Kinds that are listed more than once are drawn more often
FAULT_NAMES = (
    "crash",
    "crash",
    "crash",
    "roll",
    "zone cut",
    "zone cut",
    "controller cut",
    "freeze",
    "slow controllers",
    "peers refuse",
    "machines hang",
    "machine loss",
    "store outage",
    "zone partition",
    "arrival burst",
    "slow machines",
)


def random_fault(site: Site, rng: Random) -> Fault:
    """Draw one fault.

    The parameters of all kinds are drawn, including those of the kinds not chosen.
    """
    seconds = rng.choice([3.0, 8.0, 20.0, 40.0])
    busiest = rng.random() < 0.6
    mode = rng.choice(CUT_MODES)
    name = rng.choice(FAULT_NAMES)
    candidates = {
        **_controller_faults(site, rng, seconds, busiest, mode),
        **_other_faults(site, rng, seconds, mode),
    }
    if name == "zone partition" and len(zone_names(site)) == 1:
        name = "crash"
    return candidates[name]


def _controller_faults(
    site: Site, rng: Random, seconds: float, busiest: bool, mode: str
) -> dict[str, Fault]:
    """Draw the faults of controllers and their zones, by name.

    The order of the draws decides which day a seed gives.
    """
    controllers = site["nodes"]["count"]
    one = {"count": 1, "busiest": busiest}
    crashed = rng.choice([1, 1, 2, controllers])
    interval_s = rng.choice([2.0, 10.0, 25.0])
    zone = rng.choice(zone_names(site))
    lost = rng.choice([{"from_state": True}, {"from_workers": True}, {}])
    slowed = rng.randint(1, controllers)
    return {
        "crash": fault("node_crash", count=crashed, busiest=busiest),
        "roll": fault("node_roll", every_s=interval_s),
        "zone cut": fault("zone_cut", zone=zone, for_s=seconds, mode=mode),
        "controller cut": fault("node_cut", **one, **lost, for_s=seconds, mode=mode),
        "freeze": fault("node_freeze", **one, for_s=min(20.0, seconds)),
        "slow controllers": fault(
            "node_slow", count=slowed, busiest=busiest, factor=3.0, for_s=seconds
        ),
        "peers refuse": fault("peers_refuse", for_s=seconds),
    }


def _other_faults(site: Site, rng: Random, seconds: float, mode: str) -> dict[str, Fault]:
    """Draw the faults of machines, store, zones and arrivals, by name.

    The order of the draws decides which day a seed gives.
    """
    machines = machine_count(site)
    zones = zone_names(site)
    hung = max(1, machines // 12)
    parted = rng.sample(zones, 2) if len(zones) > 1 else zones
    burst_class = rng.choice(site["jobs"])["name"]
    return {
        "machines hang": fault("machine_hang", count=hung, for_s=seconds),
        "machine loss": fault("machine_die", count=max(1, machines // 15)),
        "store outage": fault("state_outage", for_s=min(15.0, seconds)),
        "zone partition": fault("zone_partition", zones=parted, for_s=seconds, mode=mode),
        "arrival burst": fault("job_burst", **{"class": burst_class}, factor=2.5, for_s=60.0),
        "slow machines": fault("machine_slow", count=hung, factor=2.0, for_s=60.0),
    }


def random_faults(site: Site, rng: Random) -> list[dict[str, Any]]:
    """Draw four to nine faults at random times, alone and overlapping."""
    begin_s = site["warmup_s"] + 20.0
    last_s = LAST_FAULT_SHARE * site["duration_s"]
    faults: list[dict[str, Any]] = []
    for _ in range(rng.randint(4, 9)):
        if faults and rng.random() < OVERLAP_SHARE:
            at_s = faults[-1]["at_s"] + OVERLAP_WITHIN_S * rng.random()
        else:
            at_s = begin_s + (last_s - begin_s) * rng.random()
        faults.append(random_fault(site, rng).to_toml(round(min(at_s, last_s), 1)))
    return sorted(faults, key=lambda listed: listed["at_s"])


def random_day(site_file: Path, seed: int, index: int) -> Day:
    """Return day number `index` of a seed."""
    rng = Random(f"{seed} {index}")
    site = load_site_without_days(site_file)
    controllers = rng.choice([2, 3, 3, 3, 4, 5, 7])
    zones = rng.choice([1, 2, 2, 3, 4])
    zone_without_controller = rng.random() < 0.3
    if any(job.get("spread") for job in site["jobs"]):
        # In a single zone no more than half of such a job can ever run, so the day would be invalid
        zones = max(2, zones)
    zones = min(zones, controllers + 1)
    factor = rng.choice([0.5, 0.75, 1.0, 1.25, 1.5, 1.5])
    delay_s = rng.choice(RESTART_DELAYS_S)
    scale_site(site, factor)
    redistribute_zones(site, controllers, zones, zone_without_controller and zones > 1, rng)
    site["nodes"]["restart_delay_s"] = delay_s
    name = f"drawn-{seed}-{index}"
    faults = random_faults(site, rng)
    site["day"] = [day_table(name, FIRST_DAY_SEED + index, faults=faults)]
    without = " one without" if len(site["nodes"]["zones"]) < zones else ""
    description = f"{controllers} in {zones} zones{without}, x{factor:g}, back in {delay_s:g} s"
    return Day(name, description, site)
