"""A job waits for replicas of its team that no machine can run, beside a machine with room."""

from __future__ import annotations

import time
from pathlib import Path

import anyio

from review.lab import lab

# ardgael-loans
TIMES = {
    "report_s": 2.5,
    "lease_s": 16.0,
    "gang_wait_s": 30.0,
    "gang_peer_s": 4.0,
    "cancel_s": 46.0,
}
STATE = {"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 48}
LIMITS = {"core_share": 1.0, "mem_mb": 266.0, "max_sockets": 1800}
LIMIT_GPUS = 18.0
TEAMS = [
    {"name": f"team-{index}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": LIMIT_GPUS}
    for index in range(3)
]
OTHER, ARRAY = "j-000001", "j-000100"
SERVICES = [f"j-{number:06d}" for number in range(2, 12)]  # of two replicas each
TASK = {"gpus": 1.0, "cores": 5.0, "ramGb": 38.0}
WAIT_S = 90.0
MACHINE_GPUS = 4.0


def gpus_used(here: lab.Lab, team: str) -> float:
    """Return the GPUs of a team's tasks that are on a machine or fetch their image."""
    return sum(
        here.fleet.specs[job].gpus
        for agent in here.fleet.workers.values()
        for (job, _, _), task in agent.tasks.items()
        if task.state != "ended" and here.fleet.specs[job].team == team
    )


def machines_with_room(here: lab.Lab) -> list[str]:
    """Return the machines that have room for the array's task, as its agents see it."""
    return [name for name, agent in here.fleet.workers.items() if agent.used() + 1 <= MACHINE_GPUS]


async def case(folder: Path) -> list[str]:
    """Run the case and return what was broken."""
    async with lab.running(folder, TIMES, state=STATE, limits=LIMITS, teams=TEAMS) as here:
        if here.trouble:
            here.full_zones.add("b")
            here.note("the cloud has no machine in zone b")
        service = {"rank": "production", **TASK}
        await here.submit("c0", here.job(OTHER, "daemon", 1, keeper="team-1", marsh="a", **service))
        await here.until(
            "a service of another team runs", lambda: bool(here.on_machines(OTHER)), 40.0
        )
        for job in SERVICES:
            await here.submit("c1", here.job(job, "daemon", 2, marsh="b", **service))
        await anyio.sleep(3.0)
        await here.submit("c2", here.job(ARRAY, "array", 1, flightS=5.0, **TASK))
        accepted_at = time.monotonic()
        waiting_since = accepted_at
        while time.monotonic() - waiting_since <= WAIT_S + 1.0:
            used, room = gpus_used(here, "team-0"), machines_with_room(here)
            if (ARRAY, 0) in here.fleet.first_starts:
                here.note("the array's task was started")
                break
            if not room or used + 1 > LIMIT_GPUS:
                waiting_since = time.monotonic()  # it waits rightly
            if time.monotonic() - accepted_at > WAIT_S + 5.0:
                break
            await anyio.sleep(1.0)
        else:
            await here.call("c0", "GET", f"/api/jobs/{ARRAY}")
            here.rule_broken(
                f"{ARRAY} waited for {time.monotonic() - waiting_since:.0f} s while team-0 used"
                f" {used} of {LIMIT_GPUS} GPUs and {', '.join(room)} had room"
            )
        here.note(
            f"team-0 uses {gpus_used(here, 'team-0')} GPUs; room on {machines_with_room(here)}"
        )
    return here.broken


if __name__ == "__main__":
    lab.main(case)
