"""A small deployment on loopback: three controller processes among stand-ins.

The controllers are started with the command of `deploy/service.toml`. The key-value store, the
cloud and the agents are the project's stand-ins of `tests/simulation`. Every controller has a door
of its own to the store, and every link between controllers has a proxy, so a case can disturb one
of them at a time.
"""

from __future__ import annotations

import json
import os
import random
import resource
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from ploverhall.errors import UnreachableError
from ploverhall.protocol import jobs
from ploverhall.transport.http_client import Client
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply, Server
from tests.simulation import fake_key_value_store, parameters
from tests.simulation.fake_agents import FakeAgents
from tests.simulation.fake_key_value_store import FakeKeyValueStore
from tests.simulation.sample_submission import SUBMISSION

ROOT = Path(__file__).resolve().parents[2]
NAMES = ("c0", "c1", "c2")
ZONES = ("a", "b", "a")
FIRST_PORT, LAST_PORT = 12_000, 20_000  # below the range of outgoing connections
AGENT_PORTS = 300  # consecutive ports, one for each machine that is ever rented
PORT_BLOCKS = 40
SILENT_S = 3600.0
START_TIMEOUT_S = 30.0
# Exit statuses of a case; Python itself ends with 1 after an exception. `run.sh` turns BROKEN into 1
HELD, NOT_RUN, BROKEN = 0, 2, 10


class NotRunError(Exception):
    """The case could not run, so it shows nothing."""


def free_ports(count: int) -> list[int]:
    """Return free ports on the loopback address."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def free_port_range() -> int:
    """Return the first of `AGENT_PORTS` consecutive free ports."""
    while True:
        first = LAST_PORT + AGENT_PORTS * random.randrange(PORT_BLOCKS)
        try:
            for port in range(first, first + AGENT_PORTS):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return first


def _toml(data: dict[str, Any], prefix: str = "") -> str:
    """Return a table as TOML; nested tables and lists of tables come after the plain values."""
    lines = []
    nested = []
    for key, value in data.items():
        path = f"{prefix}{key}"
        if isinstance(value, dict):
            nested.append(f"[{path}]\n{_toml(value, f'{path}.')}")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            nested += [f"[[{path}]]\n{_toml(item, f'{path}.')}" for item in value]
        else:
            lines.append(f"{key} = {json.dumps(value)}")
    return "\n".join([*lines, *nested]) + "\n"


class StoreDoor:
    """One controller's way to the store; while `silent`, its requests get no answer."""

    def __init__(self, store: FakeKeyValueStore) -> None:
        self.store = store
        self.silent = False

    async def handle(self, request: Request) -> Reply:
        """Answer one request of the controller."""
        if self.silent:
            await anyio.sleep(SILENT_S)
        return await self.store.handle(request)


class Proxy:
    """A TCP proxy that passes bytes on, or holds them back while `cut`."""

    def __init__(self, port: int, target: int) -> None:
        self.port, self.target = port, target
        self.cut = False

    async def run(self) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        await listener.serve(self._serve)

    async def _serve(self, near: anyio.abc.SocketStream) -> None:
        with suppress(OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            async with near:
                await self._wait()
                async with (
                    await anyio.connect_tcp("127.0.0.1", self.target) as far,
                    anyio.create_task_group() as tasks,
                ):
                    tasks.start_soon(self._pump, near, far, tasks.cancel_scope)
                    tasks.start_soon(self._pump, far, near, tasks.cancel_scope)

    async def _wait(self) -> None:
        while self.cut:
            await anyio.sleep(0.05)

    async def _pump(self, source: Any, target: Any, scope: anyio.CancelScope) -> None:
        with suppress(
            OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            while True:
                data = await source.receive()
                await self._wait()
                await target.send(data)
        scope.cancel()


class Lab:
    """The deployment of one run of a case."""

    def __init__(
        self,
        folder: Path,
        times: dict[str, float],
        *,
        names: tuple[str, ...] = NAMES,
        state: dict[str, Any] | None = None,
        limits: dict[str, Any] | None = None,
        teams: list[dict[str, Any]] | None = None,
        max_files: int | None = None,
    ) -> None:
        self.folder, self.names, self.max_files = folder, names, max_files
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self.record_file = (Path(sys.argv[0]).resolve().parent / "record.txt").open("w")
        self.broken: list[str] = []
        self.full_zones: set[str] = set()  # zones in which the cloud has no machine to rent
        self.without_cloud: set[str] = set()  # controllers that the cloud does not answer
        # Called with each request that changes something at the cloud: controller, path, body
        self.cloud_hook: Callable[[str, str, Any], None] | None = None
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        parameters.LEASE_S = times["lease_s"]
        parameters.GANG_WAIT_S = times["gang_wait_s"]
        parameters.GANG_PEER_S = times["gang_peer_s"]
        parameters.CANCEL_S = times["cancel_s"]
        fake_key_value_store.PAGE_ITEMS = 1000
        self.store = FakeKeyValueStore()
        self.doors = {name: StoreDoor(self.store) for name in names}
        ports = iter(free_ports(6 * len(names) + len(names) ** 2))
        self.binds = {name: next(ports) for name in names}
        self.peer_ports = {name: next(ports) for name in names}
        self.store_ports = {name: next(ports) for name in names}
        self.agent_doors = {name: Proxy(next(ports), self.binds[name]) for name in names}
        self.cloud_ports = {name: next(ports) for name in names}
        self.links = {
            (near, far): Proxy(next(ports), self.peer_ports[far])
            for near in names
            for far in names
            if near != far
        }
        self.fleet = FakeAgents(
            {name: ("127.0.0.1", door.port) for name, door in self.agent_doors.items()},
            free_port_range(),
            every=times["report_s"],
            zones=tuple(sorted(set(ZONES[: len(names)]))),
        )
        self.clients = {name: Client("127.0.0.1", port) for name, port in self.binds.items()}
        for name in names:
            data = {
                "host_name": name,
                "site": ZONES[NAMES.index(name)],
                "bind": f"127.0.0.1:{self.binds[name]}",
                "peer_listen": f"127.0.0.1:{self.peer_ports[name]}",
                "siblings": [
                    {
                        "host_name": far,
                        "site": ZONES[NAMES.index(far)],
                        "addr": f"127.0.0.1:{self.links[name, far].port}",
                    }
                    for far in names
                    if far != name
                ],
                "external": {
                    "cloud": f"127.0.0.1:{self.cloud_ports[name]}",
                    "state": f"127.0.0.1:{self.store_ports[name]}",
                },
                "deployment": {
                    "count": len(names),
                    "zones": sorted(set(ZONES[: len(names)])),
                    "skew_ms": 25.0,
                    "teams": teams
                    or [
                        {
                            "name": f"team-{index}",
                            "cpus": 0.0,
                            "cpus_max": 0.0,
                            "gpus": 8.0,
                            "gpus_max": 400.0,
                        }
                        for index in range(len(names))
                    ],
                    "workers": times,
                    "state": state
                    or {"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 48},
                    "cloud": {"rps": 4.0, "list_lag_s": 3.0},
                    "limits": limits or {"core_share": 1.0, "mem_mb": 266.0, "max_sockets": 1800},
                },
            }
            (folder / f"{name}.toml").write_text(_toml(data))

    # -- the record ----------------------------------------------------------------------------

    def note(self, text: str) -> None:
        """Write one line to `record.txt`, with the seconds since the start."""
        self.record_file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.record_file.flush()

    def rule_broken(self, text: str) -> None:
        """Record that the rule was broken."""
        self.broken.append(text)
        self.note(f"BROKEN {text}")

    # -- controllers ---------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Start a controller with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(self.folder / f"{name}.toml")]
        command[1] = str(ROOT / command[1])
        files = self.max_files

        def limit_files() -> None:
            if files is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))

        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(  # noqa: PLW1509
                command, stdout=log, stderr=log, cwd=self.folder, preexec_fn=limit_files
            )
        self.note(f"started {name}")

    def open_files(self, name: str) -> int:
        """Return how many files and sockets a controller has open."""
        return len(list(Path(f"/proc/{self.processes[name].pid}/fd").iterdir()))

    def ended_by_themselves(self) -> dict[str, int]:
        """Return the exit status of every controller that has ended without a signal of ours."""
        return {
            name: status
            for name, process in self.processes.items()
            if (status := process.poll()) is not None and status != -signal.SIGKILL
        }

    def cut_off(self, name: str, cut: bool) -> None:
        """Cut a controller from agents, store, cloud and peers, or end that.

        Its users are not affected: a case sends no requests to it.
        """
        if cut:
            self.without_cloud.add(name)
        else:
            self.without_cloud.discard(name)
        self.agent_doors[name].cut = cut
        self.doors[name].silent = cut
        for link, proxy in self.links.items():
            if name in link:
                proxy.cut = cut
        self.note(f"{name} {'cut from' if cut else 'back on'} the network")

    def log_of(self, name: str) -> str:
        """Return what a controller has written to its log."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def cloud_door(self, name: str) -> Callable[[Request], Any]:
        """Return the handler of a controller's requests to the cloud."""

        async def handle(request: Request) -> Reply:
            if name in self.without_cloud:
                await anyio.sleep(SILENT_S)
            body = json.loads(request.body) if request.method == "POST" else {}
            if self.cloud_hook is not None and body:
                self.cloud_hook(name, request.path, body)
            if body.get("marsh") in self.full_zones:
                return Reply(503, {"error": "no capacity"})
            return await self.fleet.handle(request)

        return handle

    # -- users ---------------------------------------------------------------------------------

    async def call(
        self, name: str, method: str, path: str, body: Any = None, timeout: float = 5.0
    ) -> tuple[int, Any]:
        """Send one request to a controller; the status is 0 if there was no answer."""
        try:
            status, answer = await self.clients[name].call(method, path, body, timeout)
        except UnreachableError:
            status, answer = 0, None
        self.note(f"{name} {method} {path} -> {status} {json.dumps(answer)[:200]}")
        return status, answer

    def job(self, job_id: str, kind: str, tasks: int, **fields: Any) -> dict[str, Any]:
        """Return a submission, and let the agents know the job."""
        body = {
            **SUBMISSION,
            "id": job_id,
            "flock": "f",
            "gait": kind,
            "chicks": tasks,
            "keeper": "team-0",
            **fields,
        }
        self.fleet.specs[job_id] = jobs.parse_submission(body, 0.0)
        return body

    async def submit(self, name: str, body: dict[str, Any], within_s: float = 60.0) -> None:
        """Submit a job, repeating the request until it is accepted."""
        with anyio.move_on_after(within_s):
            while (await self.call(name, "POST", "/api/jobs", body))[0] not in (200, 201):
                await anyio.sleep(1.0)
            return
        raise NotRunError(f"{body['id']} was not accepted")

    async def until(self, what: str, condition: Callable[[], bool], within_s: float) -> None:
        """Wait for a condition; raises `NotRunError` if it is not met in time."""
        with anyio.move_on_after(within_s):
            while not condition():
                await anyio.sleep(0.05)
            self.note(f"reached: {what}")
            return
        raise NotRunError(f"not reached: {what}")

    def on_machines(self, job_id: str) -> list[tuple[str, Any]]:
        """Return the attempts of a job that are on a machine, each with the machine."""
        return [
            (name, attempt)
            for name, agent in self.fleet.workers.items()
            for attempt in agent.on_machine()
            if attempt[0] == job_id
        ]


@asynccontextmanager
async def running(folder: Path, times: dict[str, float], **options: Any) -> AsyncIterator[Lab]:
    """Run the stand-ins and the controllers; all of them end with the context."""
    lab = Lab(folder, times, **options)
    async with anyio.create_task_group() as tasks:
        lab.fleet.tasks = tasks
        for name in lab.names:
            tasks.start_soon(
                Server(lab.doors[name].handle, 1000).run, "127.0.0.1", lab.store_ports[name]
            )
            tasks.start_soon(lab.agent_doors[name].run)
            tasks.start_soon(
                Server(lab.cloud_door(name), 1000).run, "127.0.0.1", lab.cloud_ports[name]
            )
        for link in lab.links.values():
            tasks.start_soon(link.run)
        await anyio.sleep(0.3)
        try:
            for name in lab.names:
                lab.start(name)
            with anyio.move_on_after(START_TIMEOUT_S):
                for name in lab.names:
                    while (await lab.call(name, "GET", "/healthz", timeout=1.0))[0] != 200:
                        await anyio.sleep(0.2)
            yield lab
        finally:
            for process in lab.processes.values():
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
            tasks.cancel_scope.cancel()


def main(case: Callable[[Path], Any]) -> None:
    """Run a case in a temporary folder, and exit with its result."""

    async def run() -> int:
        with tempfile.TemporaryDirectory() as folder:
            broken: list[str] = []
            not_run = False
            try:
                broken = await case(Path(folder))
            except* NotRunError as group:
                print(f"could not run: {group.exceptions}")
                not_run = True
        if not_run:
            return NOT_RUN
        print("rule broken: " + "; ".join(broken) if broken else "rule held")
        return BROKEN if broken else HELD

    sys.exit(anyio.run(run))
