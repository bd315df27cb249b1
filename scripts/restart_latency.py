"""Measure how soon a killed controller serves again, with a real process on loopback.

    python -m scripts.restart_latency [--after 0.1 0.3 1 3.9 4.1]
        [--times 3] [--machines 12] [--heartbeat 1.0]

There is only one controller, so no other one answers in the meantime. The new process starts
`--after` seconds after the old one was killed. Measured are the seconds from its start until it
listens (a connection is accepted), is healthy (GET /healthz returns 200), has answered the first
agent (worker), the first task has started, and all agents have been answered. The table shows the
lowest and the highest values of `--times` restarts. The fake agents and the fake key-value store
are those of the tests. An agent whose heartbeat is refused a connection retries after 1 s, as the
protocol requires. `--report` is an earlier name of `--heartbeat`.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
from contextlib import suppress
from dataclasses import astuple, dataclass
from pathlib import Path

import anyio
import tomli_w

from ploverhall import settings
from ploverhall.errors import UnreachableError
from ploverhall.protocol import jobs
from ploverhall.transport.http_client import Client
from ploverhall.transport.http_server import Server
from scripts.git_revisions import ROOT
from tests import test_loopback
from tests.simulation.fake_agents import FakeAgents
from tests.simulation.fake_key_value_store import FakeKeyValueStore

CONTROLLER = "c0"
FIRST_AGENT_PORT = 31_000
JOB_EVERY_S = 0.05
FIRST_START_POLL_S = 0.05
MARKS_POLL_S = 0.005
ALL_MARKS_WITHIN_S = 30.0
SETTLE_S = 2.5  # between a measured restart and the next one
RECENT_STARTS = 200
COLUMNS = ("listening", "healthy", "first worker", "first start", "all workers")


@dataclass
class RestartMarks:
    """Seconds from the start of a process until each milestone, in the order of `COLUMNS`."""

    listening: float | None = None
    healthy: float | None = None
    first_agent_answered: float | None = None
    first_task_started: float | None = None
    all_agents_answered: float | None = None

    def times(self) -> tuple[float | None, ...]:
        """Return the times in the order of `COLUMNS`; None for one not reached yet."""
        return astuple(self)

    @property
    def complete(self) -> bool:
        """Return whether all milestones were reached."""
        return None not in self.times()


@dataclass(frozen=True)
class RestartDelay:
    """The measured restarts with one delay."""

    delay_s: float
    restarts: list[RestartMarks]


@dataclass(frozen=True)
class ProcessStart:
    """The state of the fake agents and jobs when a new process was started."""

    at: float
    next_job: str  # this id and higher ones are submitted after the start
    answered_at: dict[str, float]  # send time of each agent's last answered heartbeat, by machine


class RestartBenchmark:
    """Runs the fakes in this process and the controller in another one."""

    def __init__(self, machine_count: int, heartbeat_s: float) -> None:
        ports = test_loopback.free_ports(8)
        data = test_loopback.config(ports)
        data["deployment"]["workers"]["report_s"] = heartbeat_s
        data["deployment"]["teams"][0].update(gpus=400, gpus_max=400)
        self.settings = settings.parse(data)
        self.key_value_store = FakeKeyValueStore()
        self.machine_count = machine_count
        self.fleet = FakeAgents(
            {CONTROLLER: self.settings.bind}, FIRST_AGENT_PORT, every=heartbeat_s
        )
        self.settings_file = Path(tempfile.mkdtemp()) / "node.toml"
        self.settings_file.write_text(tomli_w.dumps(data))
        self.process: subprocess.Popen[bytes] | None = None
        self.job_count = 0

    async def run(self, delays_s: list[float], repetitions: int) -> list[RestartDelay]:
        """Measure all delays, each several times, while jobs are submitted."""
        measured = []
        async with anyio.create_task_group() as tasks:
            self.fleet.tasks = tasks
            tasks.start_soon(Server(self.key_value_store.handle, 100).run, *self.settings.store)
            tasks.start_soon(Server(self.fleet.handle, 100).run, *self.settings.cloud)
            self.start_process()
            try:
                while not await self.is_healthy():
                    await anyio.sleep(FIRST_START_POLL_S)
                self.fleet.rentals["here"] = [
                    self.fleet.boot({"marsh": "a", "driftwood": False})
                    for _ in range(self.machine_count)
                ]
                tasks.start_soon(self.submit_jobs)
                await anyio.sleep(3.0)
                for delay_s in delays_s:
                    measured.append(await self.measure_delay(delay_s, repetitions))
            finally:
                self.kill_process()
                tasks.cancel_scope.cancel()
        return measured

    async def measure_delay(self, delay_s: float, repetitions: int) -> RestartDelay:
        """Measure several restarts with one delay."""
        restarts = []
        for _ in range(repetitions):
            restarts.append(await self.measure_restart(delay_s))
            await anyio.sleep(SETTLE_S)
        return RestartDelay(delay_s, restarts)

    async def measure_restart(self, delay_s: float) -> RestartMarks:
        """Kill the process, start a new one after the delay, and time its milestones.

        Raises:
            TimeoutError: If not all milestones are reached within `ALL_MARKS_WITHIN_S`.
        """
        self.kill_process()
        await anyio.sleep(delay_s)
        answered_at = {name: agent.answered_sent for name, agent in self.fleet.workers.items()}
        process_start = ProcessStart(self.fleet.now, f"j-{self.job_count + 1:06d}", answered_at)
        self.start_process()
        marks = RestartMarks()
        with anyio.fail_after(ALL_MARKS_WITHIN_S):
            while not marks.complete:
                await self._update_marks(marks, process_start)
                await anyio.sleep(MARKS_POLL_S)
        return marks

    async def _update_marks(self, marks: RestartMarks, process_start: ProcessStart) -> None:
        """Record the milestones that the new process has reached since the last check."""
        elapsed_s = self.fleet.now - process_start.at
        if marks.listening is None and await self.is_listening():
            marks.listening = elapsed_s
        if marks.healthy is None and marks.listening is not None and await self.is_healthy():
            marks.healthy = elapsed_s
        answered = self._agents_answered_since(process_start)
        if answered and marks.first_agent_answered is None:
            marks.first_agent_answered = elapsed_s
        if answered == len(self.fleet.workers) and marks.all_agents_answered is None:
            marks.all_agents_answered = elapsed_s
        if marks.first_task_started is None and self._new_job_started_since(process_start):
            marks.first_task_started = elapsed_s

    def _agents_answered_since(self, process_start: ProcessStart) -> int:
        """Return how many agents have been answered by the new process.

        Only heartbeats that were sent after the start of the process count.
        """
        return sum(
            agent.answered_sent > max(process_start.answered_at.get(name, 0.0), process_start.at)
            for name, agent in self.fleet.workers.items()
        )

    def _new_job_started_since(self, process_start: ProcessStart) -> bool:
        """Return whether a task has started that only the new process can have permitted.

        The job of such a task was submitted after the start of the process.
        """
        return any(
            at > process_start.at and attempt_id[0] >= process_start.next_job
            for at, attempt_id, _ in self.fleet.start_records[-RECENT_STARTS:]
        )

    def start_process(self) -> None:
        """Start a new controller process, as the platform does."""
        command = [sys.executable, str(ROOT / "run.py"), "--config", str(self.settings_file)]
        self.process = subprocess.Popen(command, stderr=subprocess.DEVNULL)

    def kill_process(self) -> None:
        """Kill the process and wait until it has ended."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    async def is_healthy(self) -> bool:
        """Return whether the controller reports itself as healthy."""
        return await self._status("/healthz") == 200

    async def is_listening(self) -> bool:
        """Return whether the controller gives any answer."""
        return await self._status("/") is not None

    async def _status(self, path: str) -> int | None:
        """Request a path over a new connection; return the status, None without an answer."""
        client = Client(*self.settings.bind, max_idle=0)
        try:
            status, _ = await client.call("GET", path, None, 1.0)
        except UnreachableError:
            return None
        return status

    async def submit_jobs(self) -> None:
        """Submit a small job every 50 ms, whether or not it is accepted."""
        client = Client(*self.settings.bind)
        while True:
            self.job_count += 1
            job_id = f"j-{self.job_count:06d}"
            body = test_loopback.spec(job_id, "array", 1, flightS=0.05, pullGb=0.01)
            self.fleet.specs[job_id] = jobs.parse_submission(body, 0.0)
            with suppress(UnreachableError):
                await client.call("POST", "/api/jobs", body, 1.0)
            await anyio.sleep(JOB_EVERY_S)


def print_table(measured: list[RestartDelay]) -> None:
    """Print a row for each delay with the lowest and highest time of each milestone."""
    print("| back after s | " + " | ".join(COLUMNS) + " |\n| --- |" + " --- |" * len(COLUMNS))
    for delay in measured:
        times_by_mark = zip(*(marks.times() for marks in delay.restarts), strict=True)
        cells = []
        for times in times_by_mark:
            known = [time for time in times if time is not None]
            cells.append(f"{min(known):.2f} to {max(known):.2f}")
        print(f"| {delay.delay_s:g} | " + " | ".join(cells) + " |")


def option_parser() -> argparse.ArgumentParser:
    """Return the parser for the options of this script."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--after", type=float, nargs="+", default=[0.1, 0.3, 1.0, 3.9, 4.1])
    parser.add_argument("--times", type=int, default=3)
    parser.add_argument("--machines", type=int, default=12)
    parser.add_argument("--heartbeat", "--report", type=float, default=1.0)
    return parser


def main() -> int:
    """Print the table; return 1 if a rule was broken."""
    args = option_parser().parse_args()
    benchmark = RestartBenchmark(args.machines, args.heartbeat)
    print_table(anyio.run(benchmark.run, args.after, args.times))
    print(
        f"rules broken, as counted by the fake agents: {len(benchmark.fleet.broken)}; "
        f"killed by a lease: {benchmark.fleet.killed_by_lease}"
    )
    return 1 if benchmark.fleet.broken else 0


if __name__ == "__main__":
    sys.exit(main())
