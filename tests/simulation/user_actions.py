"""User actions besides ordinary submissions: cancellations, polling and invalid requests."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable

import anyio

from ploverhall.errors import UnreachableError
from ploverhall.protocol.agents import AttemptId

from .fault_context import FaultContext
from .model_agent import RUNNING

AROUND_END_S = 0.05
FIRST_INVALID_JOB_NUMBER = 990_000


class UserActions(FaultContext):
    """Cancellations at critical moments, and invalid requests."""

    async def cancels(self, after: float = 0.0) -> None:
        """Let users cancel up to three running jobs after some seconds."""
        await anyio.sleep(after)
        on_machines = {
            attempt[0] for agent in self.cluster.workers.values() for attempt in agent.on_machine()
        }
        running = sorted(on_machines - self.cluster.withdrawing)
        for job_id in self.rng.sample(running, min(3, len(running))):
            self.cluster.tasks.start_soon(self.cluster.withdraw, job_id)

    async def cancel_at_end(self) -> None:
        """Cancel 60% of the jobs between 50 ms before and 40 ms after their last task ends."""
        cluster = self.cluster
        until, seen = cluster.now + self.seconds(15.0, 40.0), set[str]()
        while cluster.now < until:
            await anyio.sleep(0.02)
            for job_id, index, _ in self._about_to_end():
                if job_id in seen or job_id not in cluster.asked:
                    continue
                if cluster.specs[job_id].kind != "gang" and not self._is_last(job_id, index):
                    continue
                seen.add(job_id)
                if self.rng.random() < 0.6:
                    after = 0.07 * self.rng.random()
                    cluster.tasks.start_soon(self._call_after, after, cluster.withdraw, job_id)

    def _about_to_end(self) -> list[AttemptId]:
        return [
            attempt
            for agent in self.cluster.workers.values()
            for attempt, task in agent.tasks.items()
            if task.state == RUNNING and 0.0 <= task.until - self.cluster.now < AROUND_END_S
        ]

    def _is_last(self, job_id: str, index: int) -> bool:
        """Return whether all other tasks of a job are done."""
        return all(
            (job_id, i) in self.cluster.fleet.results
            for i in range(self.cluster.specs[job_id].task_count)
            if i != index
        )

    async def _call_after(
        self, s: float, call: Callable[[str], Awaitable[None]], job_id: str
    ) -> None:
        """Call a user's action in s seconds, even if the fault is over by then."""
        await anyio.sleep(s)
        await call(job_id)

    async def poll_changed_jobs(self) -> None:
        """Let users poll all controllers at every change of a job."""
        await self.cluster.poll_changed_jobs(self.seconds(15.0, 40.0))

    async def invalid_requests(self) -> None:
        """Send requests that are repeated, too late or invalid.

        These are repeated submissions of accepted jobs, cancellations of jobs that are done, and
        submissions that fit no machine, name an unknown team or lack a field.
        """
        cluster, rng = self.cluster, self.rng
        until = cluster.now + self.seconds(15.0, 40.0)
        while cluster.now < until:
            await anyio.sleep(0.5 * rng.random())
            accepted = sorted(
                job_id for job_id, job in cluster.asked.items() if job.accepted is not None
            )
            if accepted:
                cluster.tasks.start_soon(
                    cluster.resubmit, rng.choice(accepted), rng.choice(cluster.names)
                )
            done = sorted(job_id for job_id, state in cluster.told.items() if state == "done")
            if done:
                cluster.tasks.start_soon(cluster.withdraw, rng.choice(done))
            await self._submit_invalid()

    async def _submit_invalid(self) -> None:
        cluster, rng = self.cluster, self.rng
        fields: dict[str, object] = rng.choice(
            [{"gpus": 64.0}, {"keeper": "nobody"}, {"cores": None}]
        )
        invalid = {
            **cluster.spec(FIRST_INVALID_JOB_NUMBER + rng.randrange(100), gait="array"),
            **fields,
        }
        with contextlib.suppress(UnreachableError):
            name = rng.choice(cluster.names)
            status, _ = await cluster.users[name].call("POST", "/api/jobs", invalid, 5.0)
            if status in (200, 201):
                cluster.broken.append(f"accepted though it can't run: {invalid}")
