"""The whole simulated cluster: controllers with all their parts, the services around them, faults and users.

Nothing of a controller is left out or replaced: HTTP, the peer links and the loops run as in
`serve`, in virtual time over a simulated network. The fakes speak the published protocol; the rules
are judged from the machines' and the users' side only.
"""

from __future__ import annotations

import anyio
import anyio.abc

from ploverhall import settings

from . import task_rules
from .machine_faults import MachineFaults
from .users import SimulatedUsers
from .waiting_jobs import startable_jobs

JUDGE_INTERVAL_S = 0.25


class SimulatedCluster(MachineFaults, SimulatedUsers):
    """Three controllers and everything around them."""

    def __init__(
        self,
        seed: int = 1,
        options: settings.Options | None = None,
        machines: int = 12,
        teams: int = 4,
        asks: bool = True,
    ) -> None:
        super().__init__(seed, options, machines, teams)
        self.asks = asks  # users ask about accepted jobs now and then
        self.settled_at = 0.0

    async def start(self, tg: anyio.abc.TaskGroup) -> None:
        """Start everything; returns when every shard is served."""
        await self.start_services(tg)
        tg.start_soon(self._judge)
        if self.asks:
            tg.start_soon(self.ask_now_and_then)
        await self.all_machines_known()
        await anyio.sleep(1.0)
        self.settled_at = self.now

    async def _judge(self) -> None:
        """Judge what is on the machines, again and again."""
        while True:
            await anyio.sleep(JUDGE_INTERVAL_S)
            try:
                task_rules.check_machines(self)
            except task_rules.RuleBrokenError as error:
                self.broken.append(str(error))

    def calm(self) -> None:
        """All faults are over from now on."""
        self.refused.clear()
        self.net.cuts.clear()
        self.late_writes, self.lost_answers = 0.0, 0.0
        self.closely = None
        self.fleet.sent = None
        self.fleet.lost_answers = self.fleet.late_requests = 0.0
        self.fleet.held_do.clear()
        for agent in self.fleet.workers.values():
            agent.hung_until = min(agent.hung_until, self.now)
        self.state.down_until = min(self.state.down_until, self.now)
        self.state.up_again()

    async def left_waiting(self, s: float = 90.0) -> set[str]:
        """Faults are over: the jobs that could have begun during all of the next s seconds, and did not."""
        until, left = self.now + s, startable_jobs(self)
        while left and self.now < until:
            await anyio.sleep(0.5)
            left &= startable_jobs(self)
        return left
