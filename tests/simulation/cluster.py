"""The whole simulated cluster: complete controllers, fake services, faults and users.

No part of a controller is left out or replaced: HTTP, the peer links and the loops run as in
`serve`, in virtual time over a simulated network. The fakes speak the published protocol. The rules
are checked only against what machines and users observe, never against a controller's state.
"""

from __future__ import annotations

import anyio
import anyio.abc

from ploverhall import settings

from . import task_rules
from .machine_faults import MachineFaults
from .users import SimulatedUsers
from .waiting_jobs import startable_jobs

RULE_CHECK_INTERVAL_S = 0.25


class SimulatedCluster(MachineFaults, SimulatedUsers):
    """Three controllers with fake services, machines and users."""

    def __init__(
        self,
        seed: int = 1,
        options: settings.Options | None = None,
        machines: int = 12,
        teams: int = 4,
        asks: bool = True,
    ) -> None:
        super().__init__(seed, options, machines, teams)
        self.asks = asks  # whether users regularly ask about accepted jobs
        self.settled_at = 0.0

    async def start(self, tg: anyio.abc.TaskGroup) -> None:
        """Start everything; returns 1 s after the holders of the shards know every machine."""
        await self.start_services(tg)
        tg.start_soon(self._check_rules)
        if self.asks:
            tg.start_soon(self.ask_regularly)
        await self.all_machines_known()
        await anyio.sleep(1.0)
        self.settled_at = self.now

    async def _check_rules(self) -> None:
        """Check the tasks on the machines against the rules, every `RULE_CHECK_INTERVAL_S`."""
        while True:
            await anyio.sleep(RULE_CHECK_INTERVAL_S)
            try:
                task_rules.check_machines(self)
            except task_rules.RuleBrokenError as error:
                self.broken.append(str(error))

    def end_all_faults(self) -> None:
        """End all faults that are in force."""
        self.refused.clear()
        self.net.cuts.clear()
        self.late_writes, self.lost_answers = 0.0, 0.0
        self.polling_rng = None
        self.fleet.heartbeat_hook = None
        self.fleet.command_hook = None
        self.fleet.lost_answers = self.fleet.late_requests = 0.0
        self.fleet.command_holds.clear()
        for agent in self.fleet.workers.values():
            agent.hung_until = min(agent.hung_until, self.now)
        self.state.down_until = min(self.state.down_until, self.now)
        self.state.end_outage()

    async def left_waiting(self, s: float = 90.0) -> set[str]:
        """Return the jobs that are startable during all of the next s seconds and do not start.

        To be called when all faults are over.
        """
        until, left = self.now + s, startable_jobs(self)
        while left and self.now < until:
            await anyio.sleep(0.5)
            left &= startable_jobs(self)
        return left
