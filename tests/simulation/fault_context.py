"""The base class of the faults in a schedule: the cluster and the fault's own random numbers."""

from __future__ import annotations

from random import Random

import anyio

from .cluster import SimulatedCluster


class FaultContext:
    """A fault that begins at once and ends by itself.

    It also ends when it is cancelled and `SimulatedCluster.end_all_faults` is called. It has a
    random generator of its own, so that leaving it out of a schedule does not change the other
    faults.
    """

    def __init__(self, cluster: SimulatedCluster, rng: Random) -> None:
        self.cluster, self.rng = cluster, rng

    def some_controllers(self, count: int = 1) -> list[str]:
        """Draw `count` controllers."""
        return self.rng.sample(self.cluster.names, count)

    def some_machines(self) -> list[str]:
        """Draw four machines."""
        return self.rng.sample(sorted(self.cluster.workers), 4)

    def leader(self) -> str:
        """Draw a controller that holds a shard, or any controller if none does."""
        cluster = self.cluster
        holders = [
            name
            for name in cluster.names
            if name not in cluster.down and cluster.nodes[name].context.held_shards
        ]
        return self.rng.choice(holders or cluster.names)

    def seconds(self, *choices: float) -> float:
        """Draw one of these durations, varied by up to 20%."""
        return self.rng.choice(choices) * self.rng.uniform(0.8, 1.2)

    async def crash_and_wait(self, name: str, s: float) -> None:
        """Crash a controller for s seconds; it restarts even if the fault is cancelled earlier."""
        self.cluster.tasks.start_soon(self.cluster.crash, name, s)
        await anyio.sleep(s)
