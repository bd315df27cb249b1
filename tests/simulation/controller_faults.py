"""Faults of controllers: crashes, stalls and partitions."""

from __future__ import annotations

import anyio

from ploverhall.storage.schema import CONTROLLER_PREFIX

from .parameters import DEPLOYED_CANCEL_S, DEPLOYED_LEASE_S
from .simulated_network import HOLD, NO_DELIVERY, REFUSE, RESET, SILENT
from .user_actions import UserActions

KEY_EXPIRY_TIMEOUT_S = 8.0


class ControllerFaults(UserActions):
    """Faults in which controllers crash, stall or are partitioned."""

    async def crash(self) -> None:
        """Crash one, two or all controllers for 0.1 to 6 s; in 30% of cases twice in a row."""
        names = self.some_controllers(self.rng.choice([1, 1, 2, 3]))
        again = self.rng.random() < 0.3
        for _ in range(2 if again else 1):
            for name in names:
                down_s = self.rng.choice([0.1, 0.3, 1.0, 3.0, 6.0])
                self.cluster.tasks.start_soon(self.cluster.crash, name, down_s)
            await anyio.sleep(self.seconds(1.0, 7.0))

    async def roll(self) -> None:
        """Restart all controllers one after another."""
        every = self.rng.choice([0.5, 2.0, 10.0])
        for name in self.cluster.names:
            await self.crash_and_wait(name, self.rng.choice([0.1, 1.0, 6.0]))
            await anyio.sleep(every)

    async def stall(self) -> None:
        """Stall a controller's event loop: it sends nothing, and messages to it wait."""
        name, s = self.leader(), self.seconds(3.0, 12.0, 22.0)
        cluster = self.cluster
        for other in ("state", "cloud", "user", *cluster.names, *cluster.workers):
            if other != name:
                cluster.net.cut(name, other, HOLD, s)

    async def isolate(self) -> None:
        """Partition a controller from the store and the other controllers.

        Its machines and users still reach it.
        """
        name, s = self.leader(), self.seconds(6.0, 14.0, 40.0, 80.0)
        mode = self.rng.choice([HOLD, RESET, SILENT])
        for other in ("state", *self.cluster.names):
            if other != name:
                self.cluster.net.cut(name, other, mode, s)

    async def partition_zone(self) -> None:
        """Partition a zone with its machines and its controller, for longer than a lease.

        In 40% of cases that controller also crashes during the partition.
        """
        s = self.seconds(1.5 * DEPLOYED_LEASE_S, 4.0 * DEPLOYED_LEASE_S, 8.0 * DEPLOYED_LEASE_S)
        self.cluster.cut_zone("b", self.rng.choice([HOLD, RESET, SILENT]), s)
        if self.rng.random() < 0.4:
            await anyio.sleep(self.seconds(4.0, 12.0))
            name = self.cluster.names[self.cluster.zones.index("b")]
            await self.crash_and_wait(name, self.rng.choice([0.3, 3.0]))

    async def no_machines(self) -> None:
        """Partition a controller from all machines, in one or both directions."""
        self.cluster.cut_workers(
            self.leader(),
            self.rng.choice([HOLD, RESET, SILENT, NO_DELIVERY]),
            self.seconds(8.0, 25.0),
            self.rng.random() < 0.7,
        )

    async def refuse_peers(self) -> None:
        """Refuse new connections between two controllers."""
        a, b = self.some_controllers(2)
        self.cluster.net.cut(a, b, REFUSE, self.seconds(8.0, 25.0))

    async def refused_then_outage(self) -> None:
        """Let the store refuse one controller until its key has expired or nearly so.

        In 70% of cases the controller is also partitioned from its peers. Then the store is down
        for all controllers.
        """
        cluster, rng = self.cluster, self.rng
        name, outage_s = self.leader(), DEPLOYED_CANCEL_S + rng.choice([12.0, 30.0])
        cut_off = rng.random() < 0.7
        cluster.refused.add(name)
        if cut_off:
            self._cut_from_peers(name)
        cluster.tasks.start_soon(self.cancels, rng.uniform(0.0, 3.0))
        await self._wait_for_expiry(name)
        cluster.tasks.start_soon(cluster.outage, outage_s)
        if rng.random() < 0.4:
            await anyio.sleep(outage_s * rng.random())
            await self.crash()
        await anyio.sleep(1.0)
        cluster.refused.discard(name)

    def _cut_from_peers(self, name: str) -> None:
        mode = self.rng.choice([HOLD, RESET, SILENT])
        for other in self.cluster.names:
            if other != name:
                s = self.rng.choice([5.0, 9.0, 30.0, 70.0])
                self.cluster.net.cut(name, other, mode, s)

    async def _wait_for_expiry(self, name: str) -> None:
        """Wait some seconds, or until the controller's key expires, before its shard is claimed."""
        cluster = self.cluster
        began_at = cluster.now
        wait_s = self.rng.choice([1.5, 3.0, 6.0, 12.0])
        until_gone = self.rng.random() < 0.5
        while cluster.now - began_at < wait_s or (
            until_gone and cluster.now - began_at < KEY_EXPIRY_TIMEOUT_S
        ):
            if until_gone and f"{CONTROLLER_PREFIX}{name}" not in cluster.state.store.kv:
                break
            await anyio.sleep(0.05)
