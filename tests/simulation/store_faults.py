"""Faults of the key-value store and of the cloud."""

from __future__ import annotations

import anyio

from .fault_context import FaultContext
from .parameters import DEPLOYED_CANCEL_S
from .simulated_network import SLOW

REQUESTED_MACHINES = 6


class StoreFaults(FaultContext):
    """Faults in which the store or the cloud refuses requests, is slow or does not answer."""

    async def refuse_controller(self) -> None:
        """Let the store refuse one controller."""
        name = self.leader()
        self.cluster.refused.add(name)
        await anyio.sleep(self.seconds(3.0, 8.0, 20.0))
        self.cluster.refused.discard(name)

    async def outage(self) -> None:
        """Let the store refuse all requests."""
        await self.cluster.outage(self.seconds(3.0, 12.0, DEPLOYED_CANCEL_S + 12.0))

    async def slow_store(self) -> None:
        """Slow down the links from all controllers to the store."""
        for name in self.cluster.names:
            self.cluster.net.cut(name, "state", SLOW, self.seconds(10.0, 25.0))

    async def late_writes(self) -> None:
        """Execute a share of the transactions late, without an answer."""
        self.cluster.late_writes = self.rng.choice([0.1, 0.3, 0.6])
        await anyio.sleep(self.seconds(8.0, 25.0))
        self.cluster.late_writes = 0.0

    async def lost_answers(self) -> None:
        """Execute a share of the transactions at once, and lose their answers."""
        self.cluster.lost_answers = self.rng.choice([0.1, 0.3, 0.6])
        await anyio.sleep(self.seconds(8.0, 25.0))
        self.cluster.lost_answers = 0.0

    def _disturb_cloud(self, share: float) -> None:
        fleet = self.cluster.fleet
        fleet.lost_answers = fleet.late_requests = share
        fleet.list_lag_s = self.cluster.list_lag_s
        fleet.boot_range_s = (0.2, 2.0)

    def _end_cloud_faults(self) -> None:
        self.cluster.fleet.lost_answers = self.cluster.fleet.late_requests = 0.0

    async def disturbed_cloud(self) -> None:
        """Let rentals and deletions be late or unanswered, lists lag, and boots take up to 2 s."""
        self._disturb_cloud(0.2)
        try:
            await anyio.sleep(self.seconds(15.0, 40.0))
        finally:
            self._end_cloud_faults()

    async def new_machines(self) -> None:
        """Disturb the cloud while jobs that need more machines are submitted.

        Lists lag, rentals are late or not answered, and machines boot within 2 s.
        """
        self._disturb_cloud(0.15)
        cluster = self.cluster
        try:
            for i in range(REQUESTED_MACHINES):
                earlier = sum(1 for jid in cluster.asked if "j-000800" <= jid < "j-000900")
                spec = cluster.spec(800 + 10 * earlier + i, gait="array", chicks=6, flightS=10.0)
                cluster.tasks.start_soon(cluster.submit, spec)
                await anyio.sleep(1.0)
            await anyio.sleep(self.seconds(8.0, 20.0))
        finally:
            self._end_cloud_faults()
