"""Two versions of the controller side by side: whether an upgrade or the way back breaks rules.

    python -m scripts.mixed_versions --base REVISION

Three real controller processes on loopback, beside stand-ins for the state service, the cloud and
the agents. The cluster begins with the old version (REVISION, taken out of git) on all three.
With each proportion of versions every controller is killed and started again; then the next one
is brought to the new version. At last one is brought back to the old version. Jobs are submitted
and cancelled all along.

Checked: no task runs twice or on a wrong machine, no team is over its limit, nothing cancelled
runs `cancel_s` after its user was told; every accepted job is answered by every controller, and
no final state changes; what was not cancelled ends; after each step every controller hears every
other; no controller logs an error or an invalid response, and none ends by itself. The exit code
is 1 with the reasons if one of these fails, or if the run takes longer than three minutes.

Both versions need the libraries in target/deps, or in the running interpreter.
"""

from __future__ import annotations

import argparse
import io
import subprocess
import sys
import tarfile
import tempfile
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

import anyio
import tomli_w

from ploverhall import settings
from ploverhall.errors import UnreachableError
from ploverhall.protocol import jobs
from ploverhall.transport.http_client import Client
from ploverhall.transport.http_server import Server
from tests import test_loopback
from tests.simulation import parameters
from tests.simulation.fake_agents import FakeAgents
from tests.simulation.fake_key_value_store import FakeKeyValueStore
from tests.simulation.model_agent import ModelAgent
from tests.simulation.task_rules import RuleBrokenError, check_machines

ROOT = Path(__file__).resolve().parent.parent
OLD = "old"
NEW = "new"
NAMES = ("c0", "c1", "c2")
ZONES = ("a", "b", "a")
MACHINES = 9
FIRST_AGENT_PORT = 27_000
# A shard's lease is 4 s: the last one's shard is taken over meanwhile
AWAY_S = {
    "c0": 0.3,
    "c1": 1.0,
    "c2": 5.0,
}
CANCEL_S = 30.0
JOB_EVERY_S = 0.2
CANCELLED_SHARE = 0.25
HEALTHY_WITHIN_S = 15.0
ANSWERED_WITHIN_S = 20.0
ENDED_WITHIN_S = 30.0
WHOLE_RUN_S = 175.0
# Beginnings of log lines that no controller may write
FAULTY_LINES = (
    "error ",
    "warning state service: odd answer",  # older releases
    "warning key-value store: invalid response",
)


@dataclass
class Submitted:
    """One user's job, and the last that the user was told of it."""

    accepted: bool = False
    cancelling: bool = False
    final: str | None = None


def extract(revision: str, folder: Path) -> None:
    """Unpack a revision, with the libraries that this tree has."""
    archive = subprocess.run(
        ["git", "archive", revision], cwd=ROOT, check=True, capture_output=True
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    if (ROOT / "target" / "deps").exists():
        (folder / "target").mkdir()
        (folder / "target" / "deps").symlink_to(ROOT / "target" / "deps")


def node_settings(name: str, ports: list[int]) -> dict[str, Any]:
    """One controller's settings; the first six ports are the controllers'."""
    data = test_loopback.config(ports[4:])
    listen = {n: f"127.0.0.1:{ports[3 + i]}" for i, n in enumerate(NAMES)}
    zones = dict(zip(NAMES, ZONES, strict=True))
    data.update(
        host_name=name,
        site=zones[name],
        bind=f"127.0.0.1:{ports[NAMES.index(name)]}",
        peer_listen=listen[name],
        siblings=[
            {"host_name": n, "site": zones[n], "addr": listen[n]} for n in NAMES if n != name
        ],
    )
    deployment = data["deployment"]
    deployment["zones"] = sorted(set(ZONES))
    deployment["workers"].update(report_s=0.5, cancel_s=CANCEL_S)
    deployment["teams"][0].update(gpus=30, gpus_max=30)
    return data


class Controllers:
    """The controller processes, each in one of two versions."""

    def __init__(self, trees: dict[str, Path], folder: Path, ports: list[int]) -> None:
        self.trees = trees
        self.folder = folder
        self.settings: dict[str, settings.Settings] = {}
        self.version: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        for name in NAMES:
            data = node_settings(name, ports)
            self.settings[name] = settings.parse(data)
            self._file(name).write_text(tomli_w.dumps(data))

    def _file(self, name: str) -> Path:
        return self.folder / f"{name}.toml"

    def _log(self, name: str) -> Path:
        return self.folder / f"{name}.log"

    def start(self, name: str, version: str) -> None:
        """Start a controller; its log goes on where the last process ended."""
        command = [
            sys.executable,
            str(self.trees[version] / "run.py"),
            "--config",
            str(self._file(name)),
        ]
        with self._log(name).open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, cwd=self.folder
            )
        self.version[name] = version

    def kill(self, name: str) -> None:
        """End a controller at once."""
        self.processes[name].kill()
        self.processes[name].wait()

    def kill_all(self) -> None:
        """End whatever still runs."""
        for name in self.processes:
            self.kill(name)

    def ended(self) -> list[str]:
        """Controllers that have ended by themselves."""
        return [name for name, process in self.processes.items() if process.poll() is not None]

    def faulty_lines(self) -> list[str]:
        """What the controllers' logs hold of errors."""
        return [
            f"{name}: {line}"
            for name in NAMES
            for line in self._log(name).read_text(errors="replace").splitlines()
            if line.startswith((*FAULTY_LINES, "Traceback"))
        ]


class Upgrade:
    """The cluster, its users, and what was found wrong."""

    def __init__(self, controllers: Controllers, seed: int) -> None:
        self.controllers = controllers
        self.rng = Random(seed)
        self.state = FakeKeyValueStore()
        addresses = {name: s.bind for name, s in controllers.settings.items()}
        self.fleet = FakeAgents(
            addresses, FIRST_AGENT_PORT, every=0.5, zones=tuple(sorted(set(ZONES)))
        )
        self.clients = {name: Client(*address) for name, address in addresses.items()}
        self.submitted: dict[str, Submitted] = {}
        self.wrong: list[str] = []
        self.restarts = 0
        # read by task_rules.check_machines
        self.cancelled: dict[str, float] = {}
        self.teams = {team.name: team for team in controllers.settings["c0"].teams}

    @property
    def now(self) -> float:
        """Seconds on the stand-ins' clock."""
        return self.fleet.now

    @property
    def workers(self) -> dict[str, ModelAgent]:
        """The agents, by machine."""
        return self.fleet.workers

    @property
    def specs(self) -> dict[str, jobs.Job]:
        """The submitted jobs, by id."""
        return self.fleet.specs

    # -- users ---------------------------------------------------------------------------------

    async def call(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """One request; status 0 without an answer."""
        try:
            return await self.clients[name].call(method, path, body, 3.0)
        except UnreachableError:
            return 0, None

    async def ask_about(self, job: str, name: str, method: str, path: str, body: Any = None) -> int:
        """One request about a job; its answer must say no less than earlier answers said."""
        submitted = self.submitted[job]
        accepted = submitted.accepted
        final = submitted.final
        status, answer = await self.call(name, method, path, body)
        if accepted and status in (201, 400, 404, 422):
            self.wrong.append(f"forgotten: {job} by {name}: {method} {status} {answer}")
        if status not in (200, 201):
            return status
        told = answer["stance"]
        if final is not None and told != final:
            self.wrong.append(f"went back: {job} was {final}, is {told} by {name}")
        submitted.accepted = True
        if told in (jobs.DONE, jobs.CANCELLED):
            submitted.final = told
        if told == jobs.CANCELLED:
            self.cancelled.setdefault(job, self.now)
        return status

    async def submit(self, job: str, kind: str, run_s: float) -> None:
        """Submit a job of two tasks, at any controller; some are cancelled soon after."""
        body = test_loopback.spec(job, kind, 2, flightS=run_s)
        self.fleet.specs[job] = jobs.parse_submission(body, 0.0)
        self.submitted[job] = Submitted()
        while await self.ask_about(job, self.rng.choice(NAMES), "POST", "/api/jobs", body) not in (
            200,
            201,
        ):
            await anyio.sleep(0.5)
        if kind != "daemon" and self.rng.random() < CANCELLED_SHARE:
            await anyio.sleep(self.rng.random())
            await self.cancel(job)

    async def cancel(self, job: str) -> None:
        """Cancel until told how the job has ended."""
        self.submitted[job].cancelling = True
        while (
            await self.ask_about(
                job, self.rng.choice(NAMES), "POST", f"/api/jobs/{job}/withdraw", {}
            )
            != 200
        ):
            await anyio.sleep(0.5)

    async def submit_jobs(self, tasks: anyio.abc.TaskGroup) -> None:
        """A small job now and then; the first two are services that stay."""
        number = 0
        while True:
            number += 1
            job = f"j-{number:06d}"
            kind = "daemon" if number <= 2 else self.rng.choice(["array", "array", "group"])
            tasks.start_soon(self.submit, job, kind, self.rng.choice([0.5, 3.0]))
            await anyio.sleep(JOB_EVERY_S)

    # -- checks --------------------------------------------------------------------------------

    async def judge(self) -> None:
        """Look at what is on the machines, several times a second."""
        while True:
            await anyio.sleep(0.25)
            try:
                check_machines(self)
            except RuleBrokenError as e:
                self.wrong.append(str(e))

    async def healthy(self, name: str) -> None:
        """Wait until a controller serves."""
        with anyio.move_on_after(HEALTHY_WITHIN_S):
            while (await self.call(name, "GET", "/healthz"))[0] != 200:
                await anyio.sleep(0.1)
            return
        self.wrong.append(
            f"{name} ({self.controllers.version[name]}) not healthy within {HEALTHY_WITHIN_S:g} s"
        )

    async def all_hear_each_other(self) -> None:
        """Wait until every controller's own view names nobody whom it can't hear."""
        deaf: list[str] = []
        with anyio.move_on_after(HEALTHY_WITHIN_S):
            while True:
                deaf = [name for name in NAMES if not await self._hears_all(name)]
                if not deaf:
                    return
                await anyio.sleep(0.2)
        self.wrong.append(f"can't hear all others: {deaf} with {self.controllers.version}")

    async def _hears_all(self, name: str) -> bool:
        status, answer = await self.call(name, "GET", "/status")
        if status != 200:
            return False
        views = [answer["controllers"][n]["view"] for n in NAMES]
        return all(view is not None and not view["unheard"] for view in views)

    async def all_answered(self) -> None:
        """Every accepted job must be answered by every controller."""
        left = [
            (job, name) for job, told in self.submitted.items() if told.accepted for name in NAMES
        ]
        with anyio.move_on_after(ANSWERED_WITHIN_S):
            while left:
                left = [
                    (job, name)
                    for job, name in left
                    if await self.ask_about(job, name, "GET", f"/api/jobs/{job}") != 200
                ]
                if left:
                    await anyio.sleep(0.2)
        if left:
            self.wrong.append(
                f"not answered with {self.controllers.version}: {len(left)}, as {left[:3]}"
            )

    async def all_ended(self) -> None:
        """What was submitted must be accepted and end; services run on."""
        unfinished: list[str] = []
        with anyio.move_on_after(ENDED_WITHIN_S):
            while True:
                await self.all_answered()
                unfinished = [
                    j
                    for j, told in self.submitted.items()
                    if told.final is None and self.specs[j].kind != "service"
                ]
                if not unfinished:
                    return
                await anyio.sleep(0.5)
        self.wrong.append(f"not ended: {len(unfinished)}, as {unfinished[:3]}")

    # -- the course ----------------------------------------------------------------------------

    async def restart(self, name: str, version: str) -> None:
        """Kill a controller and start it in a version."""
        self.wrong += [f"ended by itself: {ended}" for ended in self.controllers.ended()]
        self.controllers.kill(name)
        await anyio.sleep(AWAY_S[name])
        self.controllers.start(name, version)
        self.restarts += 1
        await self.healthy(name)

    async def restart_each(self) -> None:
        """Kill and restart every controller in its version, and look whether all is well."""
        for name in NAMES:
            await self.restart(name, self.controllers.version[name])
        await self.all_hear_each_other()
        await self.all_answered()
        versions = " ".join(self.controllers.version[name] for name in NAMES)
        print(
            f"{versions}: {self.restarts} restarts, {len(self.submitted)} jobs, "
            f"{len(self.wrong)} wrong so far",
            flush=True,
        )

    async def upgrade(self) -> None:
        """From the old version to the new one, and one controller back."""
        await self.restart_each()
        for name in NAMES:
            await self.restart(name, NEW)
            await self.restart_each()
        await self.restart(NAMES[0], OLD)
        await self.all_hear_each_other()

    async def run(self) -> list[str]:
        """The whole run; what was found wrong."""
        async with anyio.create_task_group() as tasks:
            self.fleet.tasks = tasks
            any_settings = self.controllers.settings["c0"]
            tasks.start_soon(Server(self.state.handle, 100).run, *any_settings.store)
            tasks.start_soon(Server(self.fleet.handle, 100).run, *any_settings.cloud)
            try:
                with anyio.move_on_after(WHOLE_RUN_S) as whole:
                    await self._play(tasks)
                if whole.cancelled_caught:
                    self.wrong.append(f"not over within {WHOLE_RUN_S:g} s")
                self.wrong += [f"ended by itself: {name}" for name in self.controllers.ended()]
            finally:
                self.controllers.kill_all()
                tasks.cancel_scope.cancel()
        return [*self.wrong, *self.fleet.broken, *self.controllers.faulty_lines()]

    async def _play(self, tasks: anyio.abc.TaskGroup) -> None:
        for name in NAMES:
            self.controllers.start(name, OLD)
        for name in NAMES:
            await self.healthy(name)
        machines = [
            self.fleet.boot({"marsh": ZONES[i % 2], "driftwood": False}) for i in range(MACHINES)
        ]
        self.fleet.pleas["at the start"] = machines
        tasks.start_soon(self.judge)
        users = anyio.CancelScope()

        async def submit_jobs() -> None:
            with users:
                await self.submit_jobs(tasks)

        tasks.start_soon(submit_jobs)
        await anyio.sleep(3.0)
        await self.upgrade()
        users.cancel()
        await self.all_ended()
        if self.cancelled:
            await anyio.sleep(max(0.0, max(self.cancelled.values()) + CANCEL_S + 1.0 - self.now))


def main() -> int:
    """Run it; 1 with the reasons if anything is wrong."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--base", required=True, metavar="REVISION", help="the old version")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="mixed-") as name:
        folder = Path(name)
        old = folder / "old"
        old.mkdir()
        extract(args.base, old)
        ports = test_loopback.free_ports(8)
        cluster = Upgrade(Controllers({OLD: old, NEW: ROOT}, folder, ports), args.seed)
        with mock.patch.object(parameters, "CANCEL_S", CANCEL_S):
            wrong = anyio.run(cluster.run)
    for line in wrong[:20]:
        print(f"wrong: {line}")
    told = [submitted.final for submitted in cluster.submitted.values()]
    print(
        f"{len(told)} jobs: {told.count(jobs.DONE)} done, {told.count(jobs.CANCELLED)} cancelled; "
        f"{cluster.fleet.starts} tasks started, "
        f"{cluster.fleet.killed_by_lease} killed by a lease; "
        f"{cluster.restarts} restarts; {len(wrong)} wrong"
    )
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
