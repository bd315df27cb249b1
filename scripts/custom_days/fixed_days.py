"""The fixed days on which fast restarts were first measured, with 1.5 times the machines."""

from __future__ import annotations

import tomllib
from copy import deepcopy
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from scripts.custom_days.day import Day, day_table
from scripts.custom_days.faults import Fault, FaultSchedule, after, fault
from scripts.custom_days.site_files import Site, scale_site, zone_names

SCALE = 1.5
RESTART_DELAY_S = 0.3
SHORT_RESTART_DELAY_S = 0.2  # on days on which many controllers crash
DAY_SEED = 940
SITE_DAYS = ("zone", "restart", "loss")
CRASH_COUNTS = (1, 1, 2, 3, 1, 2, 1, 3, 2, 1, 3, 1)


@dataclass(frozen=True)
class FixedDay:
    """A fixed day that has not been applied to a site yet."""

    name: str
    schedule: FaultSchedule
    restart_delay_s: float = RESTART_DELAY_S


def fixed_days(site_file: Path) -> list[Day]:
    """Return those of the site's own days that `SITE_DAYS` names, and the fixed days."""
    site = tomllib.loads(site_file.read_text())
    own = {day["name"]: day for day in site.pop("day")}
    scale_site(site, SCALE)
    days = [
        _put_day(site, name, own[name]["faults"], RESTART_DELAY_S)
        for name in SITE_DAYS
        if name in own
    ]
    first_s = site["warmup_s"] + 30.0
    for day in _schedules(site):
        faults = [
            scheduled.fault.to_toml(first_s + scheduled.offset_s) for scheduled in day.schedule
        ]
        days.append(_put_day(site, day.name, faults, day.restart_delay_s))
    return days


def _put_day(site: Site, name: str, faults: list[dict[str, Any]], delay_s: float) -> Day:
    """Return a copy of the site with the given day on it."""
    copy = deepcopy(site)
    copy["nodes"]["restart_delay_s"] = delay_s
    copy["day"] = [day_table(name, DAY_SEED, faults=faults)]
    return Day(name, f"x{SCALE:g}, back in {delay_s:g} s", copy)


def _crash(count: int = 1, busiest: bool = True) -> Fault:
    return fault("node_crash", count=count, busiest=busiest)


def _zone_cut(zone: str, seconds: float) -> Fault:
    return fault("zone_cut", zone=zone, for_s=seconds, mode="hold")


def _schedules(site: Site) -> list[FixedDay]:
    """Return the fixed days that are no site's own; offsets start 30 s after the warm-up."""
    zones = zone_names(site)
    last_zone = zones[-1]
    crashes = [
        after(21.0 * index, _crash(count, busiest=index % 2 == 0))
        for index, count in enumerate(CRASH_COUNTS)
    ]
    crashes_in_a_cut = [after(12.0, _crash(3)), after(16.0, _crash(3))]
    outage = fault("state_outage", for_s=15.0)
    return [
        FixedDay("cuts", _zone_cuts(zones)),
        FixedDay("crashes", crashes, SHORT_RESTART_DELAY_S),
        FixedDay("ends in the cut", [after(0.0, _zone_cut(last_zone, 38.0)), *crashes_in_a_cut]),
        FixedDay(
            "ends in the outage",
            [after(0.0, outage), after(6.0, _crash(3)), after(9.0, _crash(3))],
            SHORT_RESTART_DELAY_S,
        ),
        FixedDay("storm", _mixed_faults(last_zone, site["jobs"][0]["name"])),
    ]


def _zone_cuts(zones: list[str]) -> FaultSchedule:
    """Return long and short zone cuts, a crash, and a partition between two zones."""
    partition = fault("zone_partition", zones=zones[:2], for_s=50.0, mode="hold")
    return [
        after(0.0, _zone_cut(zones[-1], 70.0)),
        after(90, _zone_cut(zones[-1], 8.0)),
        after(105, _zone_cut(zones[-1], 8.0)),
        after(130, _zone_cut(zones[0], 60.0)),
        after(140, _crash()),
        after(210, partition),
    ]


def _mixed_faults(zone: str, burst_class: str) -> FaultSchedule:
    """Return eight kinds of faults, one after the other."""
    burst = fault("job_burst", **{"class": burst_class}, factor=3.0, for_s=60.0)
    return [
        after(0.0, _zone_cut(zone, 30.0)),
        after(8, fault("node_freeze", count=1, busiest=True, for_s=12.0)),
        after(40, fault("machine_die", count=60)),
        after(60, _crash(3)),
        after(80, fault("state_outage", for_s=10.0)),
        after(100, burst),
        after(110, fault("machine_hang", count=60, for_s=20.0)),
        after(150, fault("node_roll", every_s=20.0)),
    ]
