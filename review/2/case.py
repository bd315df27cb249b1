"""Case 2: a job never runs again on a machine that once failed its task."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from review.standins.cluster import CannotRunError, Cluster, Deployment, job, play, trouble
from review.standins.fleet import Breed, Timing
from review.standins.state import Limits

TEAM = "apprentice-credit"
ZONES = ("ennis-yard", "galway-docks", "limerick-weir", "sligo-bay")
FIRST, SECOND = "j-000001", "j-000002"  # the same work in the same zone, before and after
SICK_S = 6.0
WAIT_S = 90.0

DEPLOYMENT = Deployment(
    zones=("ennis-yard", "galway-docks", "limerick-weir"),
    teams=((TEAM, 0.0, 0.0),),
    limits=Limits(120.0, 25.0, 8.0, 16),
    timing=Timing(report_s=4.0, lease_s=26.0),
    breed=Breed("burren-c16", 16.0, 0.0, 64.0, 20.0, ZONES),
    cancel_s=46.0,
    cloud_rps=3.0,
    list_lag_s=4.0,
)


def sweep(job_id: str) -> dict[str, object]:
    """Return a job of one task."""
    return job(
        job_id,
        TEAM,
        "array",
        1,
        flock="eligibility-sweep",
        cores=2.0,
        gpus=0.0,
        ramGb=5.3,
        flightS=4.0,
    )


async def scenario(cluster: Cluster) -> list[str]:
    """Let the machine be sick for some seconds, and wait for the job that it has failed."""
    fleet = cluster.fleet
    fleet.capacity = 20  # the cloud has 19 more
    machine = await fleet.boot(ZONES[0], False, 0.2)
    if not await cluster.until(lambda: len(fleet.workers()) == 1, 10.0):
        raise CannotRunError("the machine did not come up")
    await asyncio.sleep(3.0)
    if trouble():
        fleet.sick.add(machine)
        cluster.record(f"{machine} is sick: it fails every task that it starts")
    if (await cluster.submit(sweep(FIRST), "roost-0")).status != 201:
        raise CannotRunError(f"{FIRST} was not accepted")
    await asyncio.sleep(SICK_S)
    fleet.sick.clear()
    over_at = time.monotonic()
    cluster.record("no machine is sick")
    if (await cluster.submit(sweep(SECOND), "roost-1")).status != 201:
        raise CannotRunError(f"{SECOND} was not accepted")
    while time.monotonic() < over_at + WAIT_S + 1.0:
        await asyncio.sleep(2.0)
        stances = [
            (await cluster.request("roost-2", "GET", f"/api/jobs/{name}")).body["stance"]
            for name in (FIRST, SECOND)
        ]
        if stances == ["done", "done"]:
            break
    return verdict(cluster, machine, over_at)


def verdict(cluster: Cluster, machine: str, over_at: float) -> list[str]:
    """Return how the rule was broken: a job was left waiting although a machine had room."""
    fleet = cluster.fleet
    rows = {
        name: [
            (round(at - over_at, 1), where) for at, where, _ in fleet.starts.get(f"{name}/0", [])
        ]
        for name in (FIRST, SECOND)
    }
    cluster.record(
        f"starts, in s from the end of the trouble: {rows}; machines: {list(fleet.machines)}"
    )
    waited_s = time.monotonic() - over_at
    worker = fleet.machines[machine].worker if machine in fleet.machines else None
    if f"{FIRST}/0" in fleet.results or waited_s < WAIT_S or worker is None:
        return []
    if not any(where == machine for _, where in rows[SECOND]):
        return []
    return [
        f"{FIRST} was left waiting for {waited_s:.1f} s after the trouble, while {machine} was empty "
        f"and sound and ran {SECOND}, the same work"
    ]


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, DEPLOYMENT, scenario))
