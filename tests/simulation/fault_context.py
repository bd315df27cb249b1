"""What every fault of a schedule has: the cluster, and random numbers of its own."""

from __future__ import annotations

from random import Random

import anyio

from .cluster import SimulatedCluster


class FaultContext:
    """A fault that begins at once and is over by itself, or when it is cancelled and `SimulatedCluster.calm` is called.

    Its draws are its own, so that a schedule without it has the same others.
    """

    def __init__(self, cluster: SimulatedCluster, rng: Random) -> None:
        self.cluster, self.rng = cluster, rng

    def some_controllers(self, count: int = 1) -> list[str]:
        """So many controllers."""
        return self.rng.sample(self.cluster.names, count)

    def some_machines(self) -> list[str]:
        """Four machines."""
        return self.rng.sample(sorted(self.cluster.workers), 4)

    def leader(self) -> str:
        """A controller, more likely one with much to lose: a holder of a shard."""
        cluster = self.cluster
        holders = [
            name
            for name in cluster.names
            if name not in cluster.down and cluster.nodes[name].context.held_shards
        ]
        return self.rng.choice(holders or cluster.names)

    def seconds(self, *choices: float) -> float:
        """About one of these times."""
        return self.rng.choice(choices) * self.rng.uniform(0.8, 1.2)

    async def crash_and_wait(self, name: str, s: float) -> None:
        """End a controller; it is back even when the fault is cancelled before that."""
        self.cluster.tasks.start_soon(self.cluster.crash, name, s)
        await anyio.sleep(s)
