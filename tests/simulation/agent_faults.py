"""Faults of machines, of what they send and of what is sent to them."""

from __future__ import annotations

import anyio

from .fault_context import FaultContext
from .parameters import DEPLOYED_LEASE_S
from .simulated_network import HOLD


class AgentFaults(FaultContext):
    """Heartbeats are late, commands are held up, machines hang or are partitioned one way."""

    async def late_heartbeats(self) -> None:
        """Some heartbeats come a second time, up to two leases later."""
        share = self.rng.choice([0.1, 0.4])
        self.cluster.copy_reports(self.rng, share, 2.0, 2.2 * DEPLOYED_LEASE_S)
        await self._until_replaced(self.seconds(8.0, 25.0))

    async def heartbeats_for_next_leader(self) -> None:
        """Old heartbeats are kept for the next leader, and reach every controller as it begins and when it has acted."""
        self.cluster.keep_for_next(self.rng.choice([0.3, 1.0]), self.rng.choice([1, 3]))
        await self._until_replaced(self.seconds(15.0, 40.0))

    async def _until_replaced(self, s: float) -> None:
        """What is done with heartbeats that leave ends after s seconds, unless another fault does something else with them by then."""
        mine = self.cluster.fleet.sent
        await anyio.sleep(s)
        if self.cluster.fleet.sent is mine:
            self.cluster.fleet.sent = None

    async def not_receiving(self) -> None:
        """Some machines receive neither answers nor commands."""
        machines = self.some_machines()
        self.cluster.deafen(
            machines,
            self.seconds(0.4 * DEPLOYED_LEASE_S, DEPLOYED_LEASE_S, 2.0 * DEPLOYED_LEASE_S),
        )

    async def not_connecting(self) -> None:
        """Some machines, or a zone's, can open no connection to any controller."""
        zone = [agent.name for agent in self.cluster.workers.values() if agent.zone == "b"]
        machines = zone if self.rng.random() < 0.3 else self.some_machines()
        self.cluster.mute(
            machines,
            self.seconds(0.7 * DEPLOYED_LEASE_S, 1.5 * DEPLOYED_LEASE_S, 3.0 * DEPLOYED_LEASE_S),
        )

    def _hang_s(self) -> float:
        """A time within a machine's lease or beyond it."""
        return self.seconds(0.5 * DEPLOYED_LEASE_S, 0.9 * DEPLOYED_LEASE_S, 2.0 * DEPLOYED_LEASE_S)

    async def hang(self) -> None:
        """Some machines hang, within their lease or beyond it."""
        machines = self.some_machines()
        self.cluster.hang(machines, self._hang_s())

    async def cancel_and_hang(self) -> None:
        """Many jobs are cancelled within a fifth of a second, and some of their machines hang at once."""
        cluster = self.cluster
        running = {
            agent.name: {attempt[0] for attempt in agent.on_machine()} - cluster.withdrawing
            for agent in cluster.workers.values()
        }
        busy = sorted(name for name, job_ids in running.items() if job_ids)
        machines = self.rng.sample(busy, min(4, len(busy)))
        for job_id in sorted({job_id for name in machines for job_id in running[name]}):
            cluster.tasks.start_soon(cluster.withdraw, job_id)
        await anyio.sleep(0.2 * self.rng.random())
        still_there = [name for name in machines if name in cluster.workers]
        cluster.hang(still_there, self._hang_s())

    async def held_connections(self) -> None:
        """Commands and answers to some machines are held up, and then delivered."""
        s = self.seconds(3.0, 8.0, 0.9 * DEPLOYED_LEASE_S, 2.0 * DEPLOYED_LEASE_S)
        for machine in self.some_machines():
            for name in self.cluster.names:
                both = self.rng.random() < 0.5
                self.cluster.net.cut(name, machine, HOLD, s, both=both)

    async def held_commands(self) -> None:
        """Only commands, or only their answers, are held up."""
        until = self.cluster.now + self.seconds(3.0, 8.0, 20.0)
        hold_answers = self.rng.random() < 0.5
        held = dict.fromkeys(self.some_machines(), (until, hold_answers))
        self.cluster.fleet.held_do.update(held)
