"""Users who submit and cancel jobs at any controller, and check the answers that they get."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from ploverhall.protocol import jobs
from scripts.mixed_versions.clients import ControllerClients
from scripts.mixed_versions.controllers import NAMES
from tests import test_loopback
from tests.simulation.fake_agents import FakeAgents

JOB_EVERY_S = 0.2
CANCELLED_SHARE = 0.25
RETRY_S = 0.5
SERVICES = 2  # the first jobs are services, which run until the end
RUN_TIMES_S = (0.5, 3.0)
# Kinds of jobs in the users' interface, where a gang is `group` and a service is `daemon`
SERVICE_KIND = "daemon"
OTHER_KINDS = ("array", "array", "group")
ACCEPTED = (200, 201)
# Statuses that a request about an accepted job must not get
FORGOTTEN = (201, 400, 404, 422)


@dataclass
class SubmittedJob:
    """One user's job, and the last state that the user was told."""

    accepted: bool = False
    final_state: str | None = None


class Users:
    """Simulates the users, and collects violations in the answers about their jobs."""

    def __init__(self, clients: ControllerClients, fleet: FakeAgents, rng: Random) -> None:
        self.clients = clients
        self.fleet = fleet
        self.rng = rng
        self.jobs: dict[str, SubmittedJob] = {}
        self.violations: list[str] = []
        # When a user was first told that a job is cancelled, by job
        self.cancelled_at: dict[str, float] = {}

    async def request(self, job: str, name: str, method: str, path: str, body: Any = None) -> int:
        """Send one request about a job, check the answer, and return its status.

        A violation is recorded if the answer contradicts an earlier one: the job is no longer
        known, or its final state has changed.
        """
        submitted = self.jobs[job]
        was_accepted = submitted.accepted
        earlier_state = submitted.final_state
        status, answer = await self.clients.request(name, method, path, body)
        if was_accepted and status in FORGOTTEN:
            self.violations.append(
                f"accepted job forgotten: {job} by {name}: {method} {status} {answer}"
            )
        if status not in ACCEPTED:
            return status
        state = answer["stance"]
        if earlier_state is not None and state != earlier_state:
            self.violations.append(
                f"final state of {job} changed: was {earlier_state}, is {state} by {name}"
            )
        submitted.accepted = True
        if state in (jobs.DONE, jobs.CANCELLED):
            submitted.final_state = state
        if state == jobs.CANCELLED:
            self.cancelled_at.setdefault(job, self.fleet.now)
        return status

    async def submit_jobs(self, tasks: TaskGroup) -> None:
        """Submit a small job every `JOB_EVERY_S`, until cancelled."""
        number = 0
        while True:
            number += 1
            kind = SERVICE_KIND if number <= SERVICES else self.rng.choice(OTHER_KINDS)
            run_s = self.rng.choice(RUN_TIMES_S)
            tasks.start_soon(self.submit, f"j-{number:06d}", kind, run_s)
            await anyio.sleep(JOB_EVERY_S)

    async def submit(self, job: str, kind: str, run_s: float) -> None:
        """Submit a job of two tasks at any controller; some jobs are cancelled soon after."""
        body = test_loopback.spec(job, kind, 2, flightS=run_s)
        self.fleet.specs[job] = jobs.parse_submission(body, 0.0)
        self.jobs[job] = SubmittedJob()
        while await self.request(job, self._any_controller(), "POST", "/api/jobs", body) not in (
            ACCEPTED
        ):
            await anyio.sleep(RETRY_S)
        if kind != SERVICE_KIND and self.rng.random() < CANCELLED_SHARE:
            await anyio.sleep(self.rng.random())
            await self.cancel(job)

    async def cancel(self, job: str) -> None:
        """Repeat the cancellation of a job until a controller confirms it."""
        path = f"/api/jobs/{job}/withdraw"
        while await self.request(job, self._any_controller(), "POST", path, {}) != 200:
            await anyio.sleep(RETRY_S)

    def _any_controller(self) -> str:
        return self.rng.choice(NAMES)

    async def unanswered(self, within_s: float) -> list[tuple[str, str]]:
        """Return the accepted jobs that a controller does not answer, with its name.

        Every controller is asked again about its unanswered jobs until it answers for all of them
        or `within_s` seconds have passed.
        """
        left = [
            (job, name)
            for job, submitted in self.jobs.items()
            if submitted.accepted
            for name in NAMES
        ]
        with anyio.move_on_after(within_s):
            while left:
                left = [
                    (job, name)
                    for job, name in left
                    if await self.request(job, name, "GET", f"/api/jobs/{job}") != 200
                ]
                if left:
                    await anyio.sleep(0.2)
        return left

    def unfinished(self) -> list[str]:
        """Return the jobs whose users were not told of an end; services are left out."""
        return [
            job
            for job, submitted in self.jobs.items()
            if submitted.final_state is None and self.fleet.specs[job].kind != "service"
        ]
