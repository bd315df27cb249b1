"""Users of a simulated deployment, who submit, cancel and ask about jobs.

They check that the answers they get agree with each other.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

import anyio

from ploverhall import settings
from ploverhall.errors import UnreachableError
from ploverhall.protocol import jobs
from ploverhall.transport.http_client import Client

from .deployment import HTTP_PORT, SimulatedDeployment
from .sample_submission import SUBMISSION
from .submission_rules import rejection_reason

SUBMIT_FOR_S = 60.0  # a user gives up if a job is not accepted within this time
RETRY_S = 1.0
FINAL_STATES = (jobs.DONE, jobs.CANCELLED)
STATES = (jobs.QUEUED, jobs.RUNNING, *FINAL_STATES)


@dataclass
class SubmittedJob:
    """The state of one user's submission."""

    at: float  # time of the first attempt
    accepted: float | None = None
    refusals: int = 0


class SimulatedUsers(SimulatedDeployment):
    """A deployment with users, who remember the answers that they received."""

    def __init__(
        self,
        seed: int = 1,
        options: settings.Options | None = None,
        machines: int = 12,
        teams: int = 4,
    ) -> None:
        super().__init__(seed, options, machines, teams)
        network = self.net.of("user")
        self.users = {
            name: Client(name, HTTP_PORT, 2, network, self.loop.time) for name in self.names
        }
        self.asked: dict[str, SubmittedJob] = {}
        self.bodies: dict[str, dict[str, Any]] = {}  # the submissions, by job id
        # Set while users poll changed jobs: the source of their random delays
        self.polling_rng: Random | None = None
        self.cancelled: dict[str, float] = {}  # when users were told of each cancellation
        self.withdrawing: set[str] = set()  # jobs whose users have asked for a cancellation
        self.told: dict[str, str] = {}  # final states that users were told
        self.asker = Random(seed + 7)  # separate, so that asking does not change other draws

    # -- submissions ---------------------------------------------------------------------------

    def spec(self, n: int, **fields: Any) -> dict[str, Any]:
        """Draw a submission; `fields` override the drawn values."""
        kind = fields.pop("gait", None) or self.rng.choice(["array", "array", "group"])
        return {
            **SUBMISSION,
            "id": f"j-{n:06d}",
            "flock": kind,
            "keeper": f"team-{n % len(self.teams)}",
            "gait": kind,
            "chicks": self.rng.choice([1, 2, 3]) if kind == "array" else 2,
            "flightS": self.rng.choice([1.0, 3.0]),
            **fields,
        }

    async def submit_random_jobs(self, s: float, every: float = 1.0, first: int = 1) -> None:
        """Submit arrays and gangs at random intervals of about `every` seconds, for s seconds."""
        until, number = self.now + s, first
        while self.now < until:
            self.tasks.start_soon(self.submit, self.spec(number))
            number += 1
            await anyio.sleep(every * (0.5 + self.rng.random()))

    async def submit(self, spec: dict[str, Any], to: str | None = None) -> None:
        """Submit a job until it is accepted, for up to `SUBMIT_FOR_S`.

        Each attempt goes to a random controller, or to the controller `to`.
        """
        job_id = spec["id"]
        submitted = self.asked[job_id] = SubmittedJob(self.now)
        self.bodies[job_id] = spec
        self.fleet.specs[job_id] = jobs.parse_submission(spec, 0.0)
        while submitted.accepted is None and self.now - submitted.at < SUBMIT_FOR_S:
            name = to or self.rng.choice(self.names)
            status = await self.call(name, "POST", "/api/jobs", job_id, spec)
            if status in (200, 201):
                return
            submitted.refusals += 1
            await anyio.sleep(RETRY_S)

    async def resubmit(self, jid: str, name: str) -> bool:
        """Repeat a submission; returns whether the answer says that it was accepted before."""
        return await self.call(name, "POST", "/api/jobs", jid, self.bodies[jid]) == 200

    async def withdraw(self, jid: str, to: str | None = None) -> None:
        """Cancel a job, and retry until the answer says that it is cancelled or done."""
        self.withdrawing.add(jid)
        while True:
            name = to or self.rng.choice(self.names)
            if await self.call(name, "POST", f"/api/jobs/{jid}/withdraw", jid, {}) == 200:
                return
            await anyio.sleep(RETRY_S)

    async def submit_invalid(self, body: dict[str, Any], name: str) -> int:
        """Submit an invalid job; returns the status, or 0 without an answer."""
        try:
            status, answer = await self.users[name].call("POST", "/api/jobs", body, 5.0)
        except UnreachableError:
            return 0
        if status in (200, 201):
            reason = self.rejection_reason(body) or "reason unknown"
            self.broken.append(
                f"accepted though invalid ({reason}): {body} by {name} at {self.now}: {answer}"
            )
        return status

    def rejection_reason(self, body: dict[str, Any]) -> str | None:
        """Return why a submission must not be accepted, or None if it may be."""
        return rejection_reason(body, self.teams)

    # -- questions -----------------------------------------------------------------------------

    async def ask(self, jid: str, name: str) -> bool:
        """Ask a controller about a job that was accepted.

        Returns whether there was an answer. It must not be older than the previous one.
        """
        return await self.call(name, "GET", f"/api/jobs/{jid}", jid, None, 2.0) == 200

    async def ask_regularly(self) -> None:
        """Ask about one accepted job a second, until cancelled."""
        while True:
            await anyio.sleep(1.0)
            accepted = self._accepted()
            if accepted:
                job_id, name = self.asker.choice(accepted), self.asker.choice(self.names)
                self.tasks.start_soon(self.ask, job_id, name)

    async def all_answered(self, within: float) -> list[str]:
        """Ask every controller for every accepted job until each has answered.

        Returns the answers that are missing after `within` seconds.
        """
        until = self.now + within
        left = [(job_id, name) for job_id in self._accepted() for name in self.names]
        while left and self.now < until:
            left = [(job_id, name) for job_id, name in left if not await self.ask(job_id, name)]
            await anyio.sleep(0.5)
        return [f"{job_id} by {name}" for job_id, name in left]

    def _accepted(self) -> list[str]:
        return [job_id for job_id, job in self.asked.items() if job.accepted is not None]

    async def poll_changed_jobs(self, s: float) -> None:
        """Poll all controllers about each job that changes, for s seconds.

        They are polled after a job's acceptance, after the end of its last task, and after a final
        state was told. Of the accepted jobs 30% are cancelled at once.
        """
        self.polling_rng, until, seen = Random(self.late_rng.random()), self.now + s, set(self.told)
        while self.now < until and self.polling_rng is not None:
            await anyio.sleep(0.01)
            ended = {job_id for job_id, _ in self.fleet.results} - seen
            for job_id in sorted(job_id for job_id in ended if self._all_tasks_done(job_id)):
                seen.add(job_id)
                self.poll_all_controllers(job_id)
        self.polling_rng = None

    def poll_all_controllers(self, jid: str) -> None:
        """Ask every controller about a job, and repeat its submission, within the next 50 ms.

        Does nothing unless `poll_changed_jobs` is active.
        """
        if (rng := self.polling_rng) is None:
            return

        async def look(name: str, after: float, again: bool) -> None:
            await anyio.sleep(after)
            await (self.resubmit if again else self.ask)(jid, name)

        for name in self.names:
            for again in (False, True, rng.random() < 0.5):
                self.tasks.start_soon(look, name, 0.05 * rng.random(), again)

    # -- answers -------------------------------------------------------------------------------

    async def call(
        self, name: str, method: str, path: str, jid: str, body: object, s: float = 5.0
    ) -> int:
        """Make a request about a job; returns its status, or 0 without an answer.

        All answers to users are checked here. An answer must not be older than what the user knew
        when the request was sent. The time of `cancel_s` starts with the first answer that says
        that the job is cancelled, whichever request it answers.
        """
        earlier_state, accepted = self.told.get(jid), self.asked[jid].accepted is not None
        try:
            status, answer = await self.users[name].call(method, path, body, s)
        except UnreachableError:
            return 0
        where = f"{jid} by {name} at {self.now:.3f} ({method} {path}: {status} {answer})"
        if status in (400, 404, 422) and accepted:
            self.broken.append(f"forgotten: {where}")
        if status == 201 and accepted:
            self.broken.append(f"went_back: accepted once more, {where}")
        if status not in (200, 201):
            return status
        state = answer.get("stance") if isinstance(answer, dict) else None
        if state not in STATES or answer["id"] != jid:  # type: ignore[index]
            self.broken.append(f"no answer: {where}")
            return 0
        if path.endswith("/withdraw") and state not in FINAL_STATES:
            self.broken.append(f"no answer to a cancellation: {where}")
        self._check_state(jid, state, earlier_state, where)
        if not accepted and self.asked[jid].accepted is None:
            self._accept(jid)
        if state in FINAL_STATES and self.told.get(jid) is None:
            self._remember_final_state(jid, state)
        return status

    def _check_state(self, jid: str, state: str, earlier_state: str | None, where: str) -> None:
        """Check a job's state in an answer against earlier answers and the finished tasks."""
        told = self.told.get(jid)
        went_back = earlier_state is not None and state != earlier_state
        if went_back or (state in FINAL_STATES and told not in (None, state)):
            self.broken.append(f"went_back: was {told}, {where}")
        if state == jobs.CANCELLED and jid not in self.withdrawing:
            self.broken.append(f"went_back: nobody cancelled {where}")
        if state == jobs.DONE and not self._all_tasks_done(jid):
            self.broken.append(f"not_done: {where}")

    def _accept(self, jid: str) -> None:
        self.asked[jid].accepted = self.now
        self.poll_all_controllers(jid)
        if self.polling_rng and self.polling_rng.random() < 0.3:
            self.tasks.start_soon(self.withdraw, jid)

    def _remember_final_state(self, jid: str, state: str) -> None:
        self.told[jid] = state
        if state == jobs.CANCELLED:
            self.cancelled[jid] = self.now
        self.poll_all_controllers(jid)

    # -- what became of the jobs ---------------------------------------------------------------

    def _all_tasks_done(self, jid: str) -> bool:
        return all((jid, i) in self.fleet.results for i in range(self.specs[jid].task_count))

    def served(self, jid: str) -> bool:
        """Return whether a job is complete; of a service, whether all replicas were started."""
        spec = self.specs[jid]
        done = self.fleet.first_starts if spec.kind == "service" else self.fleet.results
        return all((jid, i) in done for i in range(spec.task_count))

    def begun_at(self, jid: str) -> float | None:
        """Return when a job first had a task on a machine, or a gang all of its tasks.

        Returns None if it has not begun.
        """
        spec, started = self.specs[jid], self.fleet.first_started_at
        times = [started[jid, i] for i in range(spec.task_count) if (jid, i) in started]
        if spec.kind == "gang":
            return max(times) if len(times) == spec.task_count else None
        return min(times, default=None)

    def services(self) -> set[str]:
        """Return the teams with services that are not cancelled."""
        return {
            spec.team
            for spec in self.specs.values()
            if spec.kind == "service" and spec.id not in self.cancelled
        }

    def starts_after_cancellation(self) -> list[tuple[str, float]]:
        """Return the starts of jobs whose users had been told of the cancellation.

        Each is a job id and the seconds since the user was told. More than `parameters.CANCEL_S`
        breaks a rule.
        """
        return [
            (attempt[0], at - self.cancelled[attempt[0]])
            for at, attempt, _ in self.fleet.start_records
            if at > self.cancelled.get(attempt[0], 1e18)
        ]

    def longest_pause(self, since: float, until: float) -> float:
        """Return the longest time without a start, in seconds."""
        starts = [at for at in self.fleet.started_at if since <= at <= until]
        times = [since, *starts, until]
        return max(later - earlier for earlier, later in zip(times, times[1:], strict=False))

    def slowest_accepted(self) -> float:
        """Return the longest time from a submission's first attempt to its acceptance, in s."""
        return max((job.accepted or 1e9) - job.at for job in self.asked.values())
