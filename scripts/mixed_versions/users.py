"""Users who submit and cancel jobs at any controller, and check what they are told."""

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
SERVICES = 2  # the first jobs are services, which stay
RUN_TIMES_S = (0.5, 3.0)
# Kinds of jobs as the users' interface names them: gangs are groups, services daemons
SERVICE_KIND = "daemon"
OTHER_KINDS = ("array", "array", "group")
ACCEPTED = (200, 201)
# Answers that a job which was accepted may not get
FORGOTTEN = (201, 400, 404, 422)


@dataclass
class SubmittedJob:
    """One user's job, and the last that the user was told of it."""

    accepted: bool = False
    final_state: str | None = None


class Users:
    """The users, their jobs, and what they were told that was wrong."""

    def __init__(self, clients: ControllerClients, fleet: FakeAgents, rng: Random) -> None:
        self.clients = clients
        self.fleet = fleet
        self.rng = rng
        self.jobs: dict[str, SubmittedJob] = {}
        self.violations: list[str] = []
        # When the first user was told that a job is cancelled
        self.cancelled_at: dict[str, float] = {}

    async def request(self, job: str, name: str, method: str, path: str, body: Any = None) -> int:
        """One request about a job; its answer must say no less than earlier answers said."""
        submitted = self.jobs[job]
        was_accepted = submitted.accepted
        earlier_state = submitted.final_state
        status, answer = await self.clients.request(name, method, path, body)
        if was_accepted and status in FORGOTTEN:
            self.violations.append(f"forgotten: {job} by {name}: {method} {status} {answer}")
        if status not in ACCEPTED:
            return status
        state = answer["stance"]
        if earlier_state is not None and state != earlier_state:
            self.violations.append(f"went back: {job} was {earlier_state}, is {state} by {name}")
        submitted.accepted = True
        if state in (jobs.DONE, jobs.CANCELLED):
            submitted.final_state = state
        if state == jobs.CANCELLED:
            self.cancelled_at.setdefault(job, self.fleet.now)
        return status

    async def submit_jobs(self, tasks: TaskGroup) -> None:
        """Submit a small job now and then, until cancelled."""
        number = 0
        while True:
            number += 1
            kind = SERVICE_KIND if number <= SERVICES else self.rng.choice(OTHER_KINDS)
            run_s = self.rng.choice(RUN_TIMES_S)
            tasks.start_soon(self.submit, f"j-{number:06d}", kind, run_s)
            await anyio.sleep(JOB_EVERY_S)

    async def submit(self, job: str, kind: str, run_s: float) -> None:
        """Submit a job of two tasks, at any controller; some are cancelled soon after."""
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
        """Cancel until told how the job has ended."""
        path = f"/api/jobs/{job}/withdraw"
        while await self.request(job, self._any_controller(), "POST", path, {}) != 200:
            await anyio.sleep(RETRY_S)

    def _any_controller(self) -> str:
        return self.rng.choice(NAMES)

    async def unanswered(self, within_s: float) -> list[tuple[str, str]]:
        """The accepted jobs that some controller does not answer for so long, and by whom."""
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
        """The jobs whose users were not told of an end; services run on."""
        return [
            job
            for job, submitted in self.jobs.items()
            if submitted.final_state is None and self.fleet.specs[job].kind != "service"
        ]
