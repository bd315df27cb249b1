"""The cluster, the order in which its controllers are restarted, and the checks during the run."""

from __future__ import annotations

from random import Random

import anyio
from anyio.abc import TaskGroup

from ploverhall.protocol import jobs
from ploverhall.transport.http_server import Server
from scripts.mixed_versions.clients import ControllerClients
from scripts.mixed_versions.controllers import (
    CANCEL_S,
    HEARTBEAT_S,
    NAMES,
    NEW,
    OLD,
    ZONES,
    Controllers,
)
from scripts.mixed_versions.users import Users
from tests.simulation.fake_agents import FakeAgents
from tests.simulation.fake_key_value_store import FakeKeyValueStore
from tests.simulation.model_agent import ModelAgent
from tests.simulation.task_rules import RuleBrokenError, check_machines

MACHINES = 9
FIRST_AGENT_PORT = 27_000
# A shard's lease is 4 s, so c2's shard is taken over while c2 is down
DOWN_S = {"c0": 0.3, "c1": 1.0, "c2": 5.0}
CHECK_INTERVAL_S = 0.25
HEALTHY_WITHIN_S = 15.0
ANSWERED_WITHIN_S = 20.0
ENDED_WITHIN_S = 30.0
WHOLE_RUN_S = 175.0


class RollingUpgrade:
    """Runs the cluster and its users, and collects the violations of the checks."""

    def __init__(self, controllers: Controllers, seed: int) -> None:
        self.controllers = controllers
        addresses = {name: parsed.bind for name, parsed in controllers.settings.items()}
        self.key_value_store = FakeKeyValueStore()
        self.fleet = FakeAgents(
            addresses, FIRST_AGENT_PORT, every=HEARTBEAT_S, zones=tuple(sorted(set(ZONES)))
        )
        self.clients = ControllerClients(addresses)
        self.users = Users(self.clients, self.fleet, Random(seed))
        self.violations: list[str] = []
        self.restarts = 0
        # Read by task_rules.check_machines, like the three properties below
        self.cancelled = self.users.cancelled_at
        self.teams = {team.name: team for team in controllers.settings["c0"].teams}

    @property
    def now(self) -> float:
        """Return the seconds on the fakes' clock."""
        return self.fleet.now

    @property
    def workers(self) -> dict[str, ModelAgent]:
        """Return the agents by machine."""
        return self.fleet.workers

    @property
    def specs(self) -> dict[str, jobs.Job]:
        """Return the submitted jobs by id."""
        return self.fleet.specs

    async def run(self) -> list[str]:
        """Run the whole upgrade and return all violations."""
        async with anyio.create_task_group() as tasks:
            self.fleet.tasks = tasks
            any_settings = self.controllers.settings["c0"]
            tasks.start_soon(Server(self.key_value_store.handle, 100).run, *any_settings.store)
            tasks.start_soon(Server(self.fleet.handle, 100).run, *any_settings.cloud)
            try:
                with anyio.move_on_after(WHOLE_RUN_S) as time_limit:
                    await self._run_cluster(tasks)
                if time_limit.cancelled_caught:
                    self.violations.append(f"the run has not finished within {WHOLE_RUN_S:g} s")
                self._check_processes()
            finally:
                self.controllers.kill_all()
                tasks.cancel_scope.cancel()
        return [
            *self.violations,
            *self.users.violations,
            *self.fleet.broken,
            *self.controllers.error_lines(),
        ]

    async def _run_cluster(self, tasks: TaskGroup) -> None:
        """Start everything, upgrade while jobs run, and wait until the jobs have ended."""
        for name in NAMES:
            self.controllers.start(name, OLD)
        for name in NAMES:
            await self._wait_until_healthy(name)
        self.fleet.rentals["at the start"] = [
            self.fleet.boot({"marsh": ZONES[index % 2], "driftwood": False})
            for index in range(MACHINES)
        ]
        tasks.start_soon(self._check_machines_periodically)
        submissions = anyio.CancelScope()

        async def submit_jobs() -> None:
            with submissions:
                await self.users.submit_jobs(tasks)

        tasks.start_soon(submit_jobs)
        await anyio.sleep(3.0)
        await self._upgrade()
        submissions.cancel()
        await self._check_all_ended()
        if self.cancelled:
            check_until = max(self.cancelled.values()) + CANCEL_S + 1.0
            await anyio.sleep(max(0.0, check_until - self.now))

    # -- order of restarts ---------------------------------------------------------------------

    async def _upgrade(self) -> None:
        """Bring all controllers to the new version, and one back to the old version."""
        await self._restart_each()
        for name in NAMES:
            await self._restart(name, NEW)
            await self._restart_each()
        await self._restart(NAMES[0], OLD)
        await self._check_connectivity()

    async def _restart_each(self) -> None:
        """Kill and restart every controller in its version, and check the cluster."""
        for name in NAMES:
            await self._restart(name, self.controllers.versions[name])
        await self._check_connectivity()
        await self._check_all_answered()
        versions = " ".join(self.controllers.versions[name] for name in NAMES)
        violations = len(self.violations) + len(self.users.violations)
        print(
            f"{versions}: {self.restarts} restarts, {len(self.users.jobs)} jobs, "
            f"{violations} wrong so far",
            flush=True,
        )

    async def _restart(self, name: str, version: str) -> None:
        """Kill a controller and start it in a version."""
        self._check_processes()
        self.controllers.kill(name)
        await anyio.sleep(DOWN_S[name])
        self.controllers.start(name, version)
        self.restarts += 1
        await self._wait_until_healthy(name)

    # -- checks --------------------------------------------------------------------------------

    def _check_processes(self) -> None:
        """Record a violation for each controller that has exited by itself."""
        ended = self.controllers.ended_by_themselves()
        self.violations += [f"controller exited by itself: {name}" for name in ended]

    async def _check_machines_periodically(self) -> None:
        """Check what runs on the machines, several times a second."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            try:
                check_machines(self)
            except RuleBrokenError as error:
                self.violations.append(str(error))

    async def _wait_until_healthy(self, name: str) -> None:
        """Wait until a started controller is healthy; record a violation if it takes too long."""
        with anyio.move_on_after(HEALTHY_WITHIN_S):
            while (await self.clients.request(name, "GET", "/healthz")).status != 200:
                await anyio.sleep(0.1)
            return
        version = self.controllers.versions[name]
        self.violations.append(f"{name} ({version}) not healthy within {HEALTHY_WITHIN_S:g} s")

    async def _check_connectivity(self) -> None:
        """Wait until every controller receives the heartbeats of all others, in its own view.

        Record a violation if that takes too long.
        """
        not_receiving: list[str] = []
        with anyio.move_on_after(HEALTHY_WITHIN_S):
            while True:
                not_receiving = [name for name in NAMES if not await self._receives_all(name)]
                if not not_receiving:
                    return
                await anyio.sleep(0.2)
        self.violations.append(
            f"controllers without heartbeats from all others: {not_receiving}, "
            f"versions {self.controllers.versions}"
        )

    async def _receives_all(self, name: str) -> bool:
        """Return whether a controller reports that it receives heartbeats from all others."""
        status, answer = await self.clients.request(name, "GET", "/status")
        if status != 200:
            return False
        views = [answer["controllers"][peer]["view"] for peer in NAMES]
        return all(view is not None and not view["unheard"] for view in views)

    async def _check_all_answered(self) -> None:
        """Record a violation if a controller does not answer for an accepted job."""
        left = await self.users.unanswered(ANSWERED_WITHIN_S)
        if left:
            self.violations.append(
                f"accepted jobs not answered, versions {self.controllers.versions}: "
                f"{len(left)}, such as {left[:3]}"
            )

    async def _check_all_ended(self) -> None:
        """Wait until all submitted jobs are accepted and have ended.

        Services run on and are left out. Record a violation if that takes too long.
        """
        unfinished: list[str] = []
        with anyio.move_on_after(ENDED_WITHIN_S):
            while True:
                await self._check_all_answered()
                unfinished = self.users.unfinished()
                if not unfinished:
                    return
                await anyio.sleep(0.5)
        self.violations.append(f"jobs not ended: {len(unfinished)}, such as {unfinished[:3]}")
