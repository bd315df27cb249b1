"""Faults of machines and their links: partitions, hangs, and late or duplicate heartbeats."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from random import Random
from typing import Any

import anyio

from ploverhall import settings
from ploverhall.errors import UnreachableError
from ploverhall.storage.schema import SHARD_PREFIX
from ploverhall.transport.http_client import Client

from .deployment import HTTP_PORT, SimulatedDeployment
from .model_agent import ModelAgent
from .simulated_network import NO_CONNECT, NO_DELIVERY

# Recorded heartbeats are sent when a shard is claimed, and again after each of these further
# delays: at the moment at which its holder begins, and when it has acted
RESENT_AFTER_S = (0.0, 0.02, 0.1, 0.3, 1.0, 3.0)


class MachineFaults(SimulatedDeployment):
    """A deployment with partitions and hangs of machines, and with replayed heartbeats."""

    def __init__(
        self,
        seed: int = 1,
        options: settings.Options | None = None,
        machines: int = 12,
        teams: int = 4,
    ) -> None:
        super().__init__(seed, options, machines, teams)
        self.copies = 0  # heartbeats that were delivered again

    def cut_workers(self, name: str, mode: str, s: float, both: bool = True) -> None:
        """Partition a controller from all machines."""
        for machine in self.fleet.workers:
            self.net.cut(name, machine, mode, s, both)

    def cut_zone(self, zone: str, mode: str, s: float) -> None:
        """Partition a zone from everything outside it; links within the zone stay up."""
        inside = {name for name, z in zip(self.names, self.zones, strict=True) if z == zone}
        inside |= {agent.name for agent in self.fleet.workers.values() if agent.zone == zone}
        outside = {"state", "cloud", "user", *self.names, *self.fleet.workers} - inside
        for other in sorted(outside):
            for name in sorted(inside):
                self.net.cut(name, other, mode, s)

    def block_deliveries(self, machines: Iterable[str], s: float) -> None:
        """Block answers and commands to these machines; what they send still arrives."""
        for machine in machines:
            for name in self.names:
                self.net.cut(name, machine, NO_DELIVERY, s, both=False)

    def block_connections(self, machines: Iterable[str], s: float) -> None:
        """Stop these machines from opening connections to any controller.

        Commands that a controller sends directly to them arrive and are answered.
        """
        for machine in machines:
            for name in self.names:
                self.net.cut(machine, name, NO_CONNECT, s, both=False)

    def hang(self, machines: Iterable[str], s: float) -> None:
        """Let these machines execute and answer nothing for s seconds.

        Then they handle what has arrived meanwhile.
        """
        for machine in machines:
            agent = self.fleet.workers[machine]
            agent.hung_until = max(agent.hung_until, self.now + s)

    def duplicate_heartbeats(
        self,
        rng: Random,
        share: float,
        least: float,
        most: float,
        machines: Iterable[str] | None = None,
    ) -> None:
        """Deliver a share of the heartbeats a second time from now on.

        The copy arrives `least` to `most` seconds later, at the controller that the heartbeat was
        sent to or at another.
        """
        chosen = None if machines is None else set(machines)

        async def send_again(machine: str, name: str, body: dict[str, Any], after: float) -> None:
            await anyio.sleep(after)
            await self._send_copy(machine, name, body)

        def on_heartbeat_sent(agent: ModelAgent, receiver: str, body: dict[str, Any]) -> None:
            if rng.random() < share and (chosen is None or agent.name in chosen):
                name = receiver if rng.random() < 0.6 else rng.choice(self.names)
                after = least + (most - least) * rng.random()
                self.tasks.start_soon(send_again, agent.name, name, body, after)

        self.fleet.heartbeat_hook = on_heartbeat_sent

    def replay_heartbeats_on_claim(
        self, share: float = 1.0, each: int = 3, machines: Iterable[str] | None = None
    ) -> None:
        """Replay old heartbeats to every controller at the moment when a shard is claimed.

        A share of the heartbeats is recorded; of each machine, the first `each` of these and the
        newest are kept. They have older incarnations, task lists and fencing tokens than the
        machine has by then, and a current heartbeat need not follow.
        """
        chosen = None if machines is None else set(machines)
        kept: dict[str, list[dict[str, Any]]] = {}

        def on_heartbeat_sent(agent: ModelAgent, receiver: str, body: dict[str, Any]) -> None:
            if (chosen is None or agent.name in chosen) and self.late_rng.random() < share:
                of_machine = kept.setdefault(agent.name, [])
                of_machine[each:] = [body]

        async def send_kept() -> None:
            for after in RESENT_AFTER_S:
                await anyio.sleep(after)
                for bodies in kept.values():
                    for body in bodies:
                        for name in self.names:
                            self.tasks.start_soon(self._send_copy, body["perch"], name, body)

        async def watch_claims() -> None:
            seen = len(self.state.store.log)
            while self.fleet.heartbeat_hook is on_heartbeat_sent:
                await anyio.sleep(0.01)
                new, seen = self.state.store.log[seen:], len(self.state.store.log)
                if any(e.key.startswith(SHARD_PREFIX) and e.value is not None for e in new):
                    await send_kept()

        self.fleet.heartbeat_hook = on_heartbeat_sent
        self.tasks.start_soon(watch_claims)

    async def _send_copy(self, machine: str, name: str, body: dict[str, Any]) -> None:
        """Deliver a heartbeat again, from a separate simulated host."""
        network = self.net.of(f"copy of {machine}")
        client = Client(name, HTTP_PORT, 1, network, self.loop.time)
        with contextlib.suppress(UnreachableError):
            await client.call("POST", "/v1/report", body, 2.0)
            self.copies += 1
