"""Case 1: one array of many small tasks hangs every controller."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from review.standins.cluster import CannotRunError, Cluster, Deployment, job, play, trouble
from review.standins.fleet import Breed
from review.standins.wire import ask

TEAM = "matching-core-00"
GUEST = "skills-survey-unit"
SERVICE, ARRAY, LATER = "j-000001", "j-000002", "j-000003"
REPLICAS = 5
MACHINES = 4
CHICKS = 20_000  # as many as `district-census` has; the pages allow 100,000
WATCH_S = 80.0

ZONES = ("dar-harbour", "arusha-hill")
DEPLOYMENT = Deployment(
    zones=("dar-harbour", "arusha-hill", "dar-harbour"),
    teams=((TEAM, 16.0, 48.0), (GUEST, 0.0, 0.0)),
    breed=Breed("g8", 96.0, 8.0, 768.0, 1.0, ZONES),  # the type of PROTOCOL, GET /flavors
)


class Watch:
    """What users, the load balancer and the workers see while the array waits or runs."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.unanswered = dict.fromkeys(cluster.names, 0)
        self.silent_since: dict[str, float] = {}
        self.longest_silence_s = dict.fromkeys(cluster.names, 0.0)
        self.probes = 0
        self.fewest_replicas = REPLICAS
        self.most_chicks = 0

    async def look(self) -> None:
        """Probe every controller as the load balancer does, and count the running tasks."""
        cluster = self.cluster
        began = time.monotonic()
        answers = await asyncio.gather(
            *(ask(cluster.user_ports[name], "GET", "/healthz", None, 1.0) for name in cluster.names)
        )
        self.probes += 1
        for name, answer in zip(cluster.names, answers, strict=True):
            if answer.status:
                self.silent_since.pop(name, None)
                continue
            self.unanswered[name] += 1
            since = self.silent_since.setdefault(name, began)
            self.longest_silence_s[name] = max(
                self.longest_silence_s[name], round(time.monotonic() - since, 1)
            )
        replicas, chicks = cluster.fleet.running(SERVICE), cluster.fleet.running(ARRAY)
        self.fewest_replicas = min(self.fewest_replicas, replicas)
        self.most_chicks = max(self.most_chicks, chicks)
        cluster.record(
            f"healthz {[answer.status for answer in answers]}, replicas of {SERVICE}: {replicas}, "
            f"tasks of {ARRAY}: {chicks}"
        )


async def scenario(cluster: Cluster) -> list[str]:
    """Run a production service; then a guest submits the array; watch the service."""
    fleet = cluster.fleet
    fleet.capacity = MACHINES
    for index in range(MACHINES):
        await fleet.boot(ZONES[index % 2], False, 0.2)
    service = job(SERVICE, TEAM, "daemon", REPLICAS, cores=5.0, ramGb=38.0, rank="production")
    service["flock"] = "shortlist-ranker"
    if (await cluster.submit(service, "roost-0")).status != 201:
        raise CannotRunError("the service was not accepted")
    if not await cluster.until(lambda: fleet.running(SERVICE) == REPLICAS, 20.0):
        raise CannotRunError("the service did not start")
    cluster.record(f"all replicas of {SERVICE} run")
    if trouble():
        array = job(ARRAY, GUEST, "array", CHICKS, cores=0.01, gpus=0.0, ramGb=0.05)
        array.update(flock="district-census", rank="best_effort", driftwood=True, flightS=4.0)
        if (await cluster.submit(array, "roost-1")).status != 201:
            raise CannotRunError("the array was not accepted")
    watch = Watch(cluster)
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        await asyncio.sleep(0.5)
        await watch.look()
    return verdict(cluster, watch)


def verdict(cluster: Cluster, watch: Watch) -> list[str]:
    """Return how the rule was broken.

    Replicas run until the job is cancelled; here nobody cancels or preempts them, and no machine,
    process or link fails. They may end only by a lease that no controller has renewed.
    """
    fleet = cluster.fleet
    lease_s = cluster.deployment.timing.lease_s
    cluster.record(
        f"of {watch.probes} probes without an answer within 1 s: {watch.unanswered}; longest time "
        f"without any answer, in s: {watch.longest_silence_s}; leases that ran out: "
        f"{fleet.leases_lost}; replicas killed by that: {fleet.lost_replicas}; fewest replicas: "
        f"{watch.fewest_replicas}; most tasks of {ARRAY}: {watch.most_chicks}; tasks of it that "
        f"are done: {len(fleet.results)}; largest report: {fleet.largest_report} bytes"
    )
    if not fleet.lost_replicas:
        return []
    return [
        f"accepted job: {fleet.lost_replicas} running replicas of the service {SERVICE} were "
        f"killed, since no controller answered their workers for {lease_s:g} s; down to "
        f"{watch.fewest_replicas} of {REPLICAS}; unanswered probes: {watch.unanswered} of "
        f"{watch.probes}; longest silence, in s: {watch.longest_silence_s}"
    ]


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, DEPLOYMENT, scenario))
