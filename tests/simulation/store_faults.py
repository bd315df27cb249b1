"""Faults of the key-value store and of the cloud."""

from __future__ import annotations

import anyio

from .fault_context import FaultContext
from .parameters import DEPLOYED_CANCEL_S
from .simulated_network import SLOW

REQUESTED_MACHINES = 6


class StoreFaults(FaultContext):
    """The store or the cloud refuses, is slow, or leaves requests without an answer."""

    async def refuse_one(self) -> None:
        """The store refuses one controller alone."""
        name = self.leader()
        self.cluster.refused.add(name)
        await anyio.sleep(self.seconds(3.0, 8.0, 20.0))
        self.cluster.refused.discard(name)

    async def outage(self) -> None:
        """The store refuses everybody."""
        await self.cluster.outage(self.seconds(3.0, 12.0, DEPLOYED_CANCEL_S + 12.0))

    async def slow_store(self) -> None:
        """The store answers everybody slowly."""
        for name in self.cluster.names:
            self.cluster.net.cut(name, "state", SLOW, self.seconds(10.0, 25.0))

    async def late_writes(self) -> None:
        """Transactions are carried out late, and not answered."""
        self.cluster.late_writes = self.rng.choice([0.1, 0.3, 0.6])
        await anyio.sleep(self.seconds(8.0, 25.0))
        self.cluster.late_writes = 0.0

    async def lost_answers(self) -> None:
        """Transactions are carried out at once, and only their answers are lost."""
        self.cluster.lost_answers = self.rng.choice([0.1, 0.3, 0.6])
        await anyio.sleep(self.seconds(8.0, 25.0))
        self.cluster.lost_answers = 0.0

    def _disturb_cloud(self, share: float) -> None:
        fleet = self.cluster.fleet
        fleet.lost_answers = fleet.late_requests = share
        fleet.list_lag_s = self.cluster.list_lag_s
        fleet.boots = (0.2, 2.0)

    def _calm_cloud(self) -> None:
        self.cluster.fleet.lost_answers = self.cluster.fleet.late_requests = 0.0

    async def disturbed_cloud(self) -> None:
        """Rentals and deletions are late or not answered, lists lag, and new machines are up within two seconds."""
        self._disturb_cloud(0.2)
        try:
            await anyio.sleep(self.seconds(15.0, 40.0))
        finally:
            self._calm_cloud()

    async def new_machines(self) -> None:
        """Machines are up at once; lists lag, rentals are not answered, or late; more is rented."""
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
            self._calm_cloud()
