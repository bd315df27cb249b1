"""Days with three overlaps of two or three faults each, while array jobs are cancelled.

On every third day one controller loses the store before a store outage for all controllers; the
other days have overlaps drawn from a fixed list.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from scripts.custom_days.day import RESTART_DELAYS_S, Day, day_table
from scripts.custom_days.faults import (
    CONTROLLER_CUT_MODES,
    CUT_MODES,
    Fault,
    FaultSampler,
    FaultSchedule,
    after,
    duration_s,
    fault,
)
from scripts.custom_days.scenario_days import cancelled_jobs
from scripts.custom_days.site_files import Site, load_site_without_days, scale_site

FIRST_DAY_SEED = 2000
STORE_OUTAGE_EVERY_DAYS = 3
LAST_OVERLAP_SHARE = 0.62  # of the day: cancelled jobs must end within the day


@dataclass(frozen=True)
class OverlapKind:
    """A kind of overlap: the name prefix of its days, and the function that draws its faults."""

    day_prefix: str
    sample: Callable[[Site, Random], FaultSchedule]


def controller_cut(rng: Random, **parameters: Any) -> Fault:
    """Cut connections of one controller, in a random mode unless `mode` is given.

    Unlike `FaultSampler.controller_cut`, this draws the controller before the mode.
    """
    busiest = rng.random() < 0.8
    mode = rng.choice(CONTROLLER_CUT_MODES)
    return Fault("node_cut", {"count": 1, "busiest": busiest, "mode": mode, **parameters})


def store_outage_after_isolation(site: Site, rng: Random) -> FaultSchedule:
    """Cut one controller from the store, maybe also its peers, then take the store down.

    The outage lasts longer than `cancel_s`.
    """
    outage_begin_s = rng.choice([1.5, 2.0, 3.5, 5.0, 6.0, 8.0, 12.0, 20.0])
    outage_s = site["workers"]["cancel_s"] + rng.choice([4.0, 12.0, 20.0])
    peers = {"from_peers": True} if rng.random() < 0.5 else {}
    cut_s = outage_begin_s + rng.choice([0.5, 3.0, 12.0])
    cut = controller_cut(rng, from_state=True, for_s=cut_s, **peers)
    if peers and cut.parameters["mode"] == "refuse":
        cut.parameters["mode"] = "hold"
    schedule = [after(0.0, cut), after(outage_begin_s, fault("state_outage", for_s=outage_s))]
    if rng.random() < 0.4:
        crash_s = outage_begin_s + outage_s * rng.random()
        count = rng.choice([1, 1, 2])
        crash = fault("node_crash", count=count, busiest=rng.random() < 0.5)
        schedule.append(after(crash_s, crash))
    return schedule


def overlap(site: Site, rng: Random) -> FaultSchedule:
    """Draw one of the operators' other overlaps.

    All faults are drawn, including those that are not used.
    """
    # A zone is listed once for each type of machine that it has
    sample = FaultSampler(site, rng, [capacity["zone"] for capacity in site["capacity"]])
    seconds = rng.choice([8.0, 20.0, 40.0])
    soon_s = 6.0 * rng.random()
    crash = sample.controller_crash()
    not_receiving = sample.machines_not_receiving()
    late = rng.choice([sample.late_writes, sample.late_heartbeats])(seconds + 10.0)
    hang = sample.machine_hang()
    isolated = controller_cut(
        rng, from_state=True, from_peers=True, for_s=seconds, mode=rng.choice(CUT_MODES)
    )
    outage = sample.store_outage()
    freeze = sample.controller_freeze()
    roll = sample.rolling_restart()
    agents_cut = controller_cut(rng, from_workers=True, for_s=seconds, mode="hold")
    return rng.choice(
        [
            [after(0.0, roll), after(soon_s, crash)],
            [after(0.0, crash), after(soon_s, crash), after(soon_s + 3.0, outage)],
            [after(0.0, late), after(soon_s, crash)],
            [after(0.0, late), after(soon_s, isolated)],
            [after(0.0, late), after(soon_s, outage), after(soon_s + 4.0, crash)],
            [after(0.0, isolated), after(soon_s, agents_cut)],
            [after(0.0, isolated), after(soon_s, crash)],
            [after(0.0, not_receiving), after(soon_s, crash)],
            [after(0.0, not_receiving), after(soon_s, late)],
            [after(0.0, hang), after(soon_s, crash), after(soon_s + 4.0, freeze)],
            [after(0.0, freeze), after(soon_s, late), after(soon_s + 2.0, crash)],
        ]
    )


STORE_OUTAGE = OverlapKind("gap", store_outage_after_isolation)
OVERLAP = OverlapKind("meeting", overlap)


def overlapping_day(site_file: Path, seed: int, index: int) -> Day:
    """Return day number `index` of a seed.

    It has three overlaps while many array jobs are cancelled.
    """
    rng = Random(f"met {seed} {index}")
    site = load_site_without_days(site_file)
    factor = rng.choice([0.5, 1.0, 1.0, 1.5])
    delay_s = rng.choice(RESTART_DELAYS_S)
    scale_site(site, factor)
    site["nodes"]["restart_delay_s"] = delay_s
    kind = STORE_OUTAGE if index % STORE_OUTAGE_EVERY_DAYS == 0 else OVERLAP
    faults = _schedule_faults(site, kind, rng)
    jobs = [cancelled_jobs(site, rng.choice([0.5, 0.8]))]
    name = f"{kind.day_prefix}-{seed}-{index}"
    site["day"] = [day_table(name, FIRST_DAY_SEED + index, jobs=jobs, faults=faults)]
    fault_kinds = " ".join(listed["kind"] for listed in faults)
    return Day(name, f"x{factor:g}, back in {delay_s:g} s: {fault_kinds}", site)


def _schedule_faults(site: Site, kind: OverlapKind, rng: Random) -> list[dict[str, Any]]:
    """Return the faults of a day, one overlap after the other."""
    faults: list[dict[str, Any]] = []
    begin_s = site["warmup_s"] * rng.uniform(0.6, 1.0)
    while begin_s < LAST_OVERLAP_SHARE * site["duration_s"]:
        schedule = kind.sample(site, rng)
        faults += [
            scheduled.fault.to_toml(round(begin_s + scheduled.offset_s, 1))
            for scheduled in schedule
        ]
        begin_s += duration_s(schedule) + rng.uniform(15.0, 45.0)
    return faults
