"""Faults of machines, of the messages that they send, and of the messages sent to them."""

from __future__ import annotations

import anyio

from .command_copies import CommandCopies
from .fault_context import FaultContext
from .parameters import DEPLOYED_LEASE_S
from .simulated_network import HOLD


class AgentFaults(FaultContext):
    """Faults of late heartbeats and commands, hung machines, and one-way partitions."""

    async def late_heartbeats(self) -> None:
        """Deliver a share of the heartbeats a second time, up to 2.2 leases later."""
        share = self.rng.choice([0.1, 0.4])
        self.cluster.duplicate_heartbeats(self.rng, share, 2.0, 2.2 * DEPLOYED_LEASE_S)
        await self._remove_hook_after(self.seconds(8.0, 25.0))

    async def heartbeats_for_next_leader(self) -> None:
        """Replay old heartbeats to every controller when a shard changes its holder.

        They arrive when the new holder begins, and again after it has acted.
        """
        self.cluster.replay_heartbeats_on_claim(
            self.rng.choice([0.3, 1.0]), self.rng.choice([1, 3])
        )
        await self._remove_hook_after(self.seconds(15.0, 40.0))

    async def copied_commands(self) -> None:
        """Deliver copies of a share of the direct commands, up to a minute after their answers."""
        copies = CommandCopies(self.cluster, self.rng, self.rng.choice([0.1, 0.5, 1.0]))
        self.cluster.fleet.command_hook = copies.on_command

    async def _remove_hook_after(self, s: float) -> None:
        """Remove the heartbeat hook after s seconds, unless another fault has replaced it."""
        installed_hook = self.cluster.fleet.heartbeat_hook
        await anyio.sleep(s)
        if self.cluster.fleet.heartbeat_hook is installed_hook:
            self.cluster.fleet.heartbeat_hook = None

    async def block_deliveries(self) -> None:
        """Block the delivery of answers and commands to some machines."""
        machines = self.some_machines()
        self.cluster.block_deliveries(
            machines,
            self.seconds(0.4 * DEPLOYED_LEASE_S, DEPLOYED_LEASE_S, 2.0 * DEPLOYED_LEASE_S),
        )

    async def block_connections(self) -> None:
        """Stop some machines, or all of zone b, from opening connections to any controller."""
        zone = [agent.name for agent in self.cluster.workers.values() if agent.zone == "b"]
        machines = zone if self.rng.random() < 0.3 else self.some_machines()
        self.cluster.block_connections(
            machines,
            self.seconds(0.7 * DEPLOYED_LEASE_S, 1.5 * DEPLOYED_LEASE_S, 3.0 * DEPLOYED_LEASE_S),
        )

    def _hang_s(self) -> float:
        """Return a duration that is shorter or longer than a machine's lease."""
        return self.seconds(0.5 * DEPLOYED_LEASE_S, 0.9 * DEPLOYED_LEASE_S, 2.0 * DEPLOYED_LEASE_S)

    async def hang(self) -> None:
        """Let some machines hang, for less or more than their lease."""
        machines = self.some_machines()
        self.cluster.hang(machines, self._hang_s())

    async def cancel_and_hang(self) -> None:
        """Cancel all jobs of up to four machines, which hang within the next 0.2 s."""
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
        """Hold messages between controllers and some machines, and deliver them later.

        Each link is held in both directions or only towards the machine.
        """
        s = self.seconds(3.0, 8.0, 0.9 * DEPLOYED_LEASE_S, 2.0 * DEPLOYED_LEASE_S)
        for machine in self.some_machines():
            for name in self.cluster.names:
                both = self.rng.random() < 0.5
                self.cluster.net.cut(name, machine, HOLD, s, both=both)

    async def held_commands(self) -> None:
        """Hold only the commands to some machines, or only the answers to those commands."""
        until = self.cluster.now + self.seconds(3.0, 8.0, 20.0)
        hold_answers = self.rng.random() < 0.5
        held = dict.fromkeys(self.some_machines(), (until, hold_answers))
        self.cluster.fleet.command_holds.update(held)
