"""Days on which most machines lose their leases in a burst of services, and send no heartbeats.

The connections between controllers and machines are reset for about a lease. Most machines then
reach no controller for some more seconds, while direct commands reach them.
"""

from __future__ import annotations

from pathlib import Path
from random import Random

from scripts.custom_days.day import Day, day_table
from scripts.custom_days.faults import FaultSchedule, after, duration_s, fault
from scripts.custom_days.site_files import Site, job_class, load_site_without_days

FIRST_DAY_SEED = 4000
LEASE_LOSSES_A_DAY = 4
FILL_S = 30.0  # until the arrays have filled the machines, so that services preempt them
PAUSE_S = 15.0  # between two lease losses


def lease_loss(site: Site, rng: Random) -> FaultSchedule:
    """Reset all agents' connections in a burst of services, then block the agents' own.

    The reset ends when most agents have just begun a new incarnation.
    """
    reset_s = site["workers"]["lease_s"] + rng.choice([-1.0, -0.5, 0.0])
    silent_s = reset_s + rng.choice([4.0, 8.0, 12.0])
    arrays, services = ({"class": job_class(site, kind)["name"]} for kind in ("array", "service"))
    controllers = {"count": site["nodes"]["count"], "from_workers": True}
    return [
        after(0.0, fault("job_burst", **arrays, factor=6.0, for_s=FILL_S)),
        after(FILL_S, fault("job_burst", **services, factor=rng.choice([8.0, 16.0]), for_s=12.0)),
        after(FILL_S + 3.0, fault("node_cut", **controllers, mode="reset", for_s=reset_s)),
        after(FILL_S + 3.0, fault("machine_mute", share=rng.choice([0.7, 0.9]), for_s=silent_s)),
    ]


def lease_loss_day(site_file: Path, seed: int, index: int) -> Day:
    """Return day number `index` of a seed, with several lease losses."""
    rng = Random(f"lease loss {seed} {index}")
    site = load_site_without_days(site_file)
    faults = []
    begin_s = site["warmup_s"]
    for _ in range(LEASE_LOSSES_A_DAY):
        schedule = lease_loss(site, rng)
        faults += [
            scheduled.fault.to_toml(round(begin_s + scheduled.offset_s, 1))
            for scheduled in schedule
        ]
        begin_s += duration_s(schedule) + PAUSE_S
    name = f"lease-loss-{seed}-{index}"
    site["day"] = [day_table(name, FIRST_DAY_SEED + 100 * seed + index, faults=faults)]
    return Day(name, f"{LEASE_LOSSES_A_DAY} lease losses in bursts of services", site)
