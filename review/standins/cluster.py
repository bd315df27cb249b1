"""The controllers, as separate processes started by the command of the deploy file."""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .fleet import Breed, Fleet, Timing
from .state import Limits, StateService
from .wire import LOOPBACK, Answer, HttpServer, PortSource, ask

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CannotRunError(Exception):
    """The case could not run."""


@dataclass
class Deployment:
    """What the settings of a small deployment say; the defaults are those of `kazi-bodi`."""

    zones: tuple[str, ...] = ("dar-harbour", "arusha-hill", "dar-harbour")  # of each controller
    teams: tuple[tuple[str, float, float], ...] = (("matching-core-00", 16.0, 48.0),)
    limits: Limits = field(default_factory=Limits)
    timing: Timing = field(default_factory=Timing)
    breed: Breed = field(default_factory=Breed)
    cancel_s: float = 35.0
    gang_wait_s: float = 30.0
    gang_peer_s: float = 4.0
    cloud_rps: float = 5.0
    list_lag_s: float = 3.0
    extra_state: str = ""  # further lines of the table `deployment.state`


class Record:
    """Writes `record.txt` of a case, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)
        self.started = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started:8.2f} {text}\n")


class Cluster:
    """Three controllers beside the stand-ins of everything that they talk to."""

    def __init__(self, deployment: Deployment, record: Record, folder: Path) -> None:
        self.deployment = deployment
        self.record = record
        self.folder = folder
        self.ports = PortSource()
        self.names = [f"roost-{index}" for index in range(len(deployment.zones))]
        take = self.ports.take
        self.user_ports = {name: take() for name in self.names}
        self.peer_ports = {name: take() for name in self.names}
        self.state_ports = {name: take() for name in self.names}
        self.cloud_ports = {name: take() for name in self.names}
        self.state = StateService(deployment.limits)
        self.fleet = Fleet(
            self.user_ports,
            deployment.breed,
            deployment.timing,
            self.ports,
            record,
            list_lag_s=deployment.list_lag_s,
        )
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        self.command = shlex.split(deploy["run"])

    # -- settings ----------------------------------------------------------------------------

    def settings(self, name: str) -> str:
        """Return the settings file of one controller."""
        deployment = self.deployment
        zones = dict(zip(self.names, deployment.zones, strict=True))
        limits, timing = deployment.limits, deployment.timing
        lines = [
            f'host_name = "{name}"',
            f'site = "{zones[name]}"',
            f'bind = "{LOOPBACK}:{self.user_ports[name]}"',
            f'peer_listen = "{LOOPBACK}:{self.peer_ports[name]}"',
        ]
        for peer in self.names:
            if peer != name:
                address = f"{LOOPBACK}:{self.peer_ports[peer]}"
                lines += ["[[siblings]]", f'host_name = "{peer}"', f'site = "{zones[peer]}"']
                lines += [f'addr = "{address}"']
        lines += [
            "[external]",
            f'cloud = "{LOOPBACK}:{self.cloud_ports[name]}"',
            f'state = "{LOOPBACK}:{self.state_ports[name]}"',
            "[deployment]",
            f"count = {len(self.names)}",
            f"zones = {sorted(set(deployment.zones))}".replace("'", '"'),
            "skew_ms = 25.0",
        ]
        for team, guaranteed, most in deployment.teams:
            lines += ["[[deployment.teams]]", f'name = "{team}"', "cpus = 0.0", "cpus_max = 0.0"]
            lines += [f"gpus = {guaranteed}", f"gpus_max = {most}"]
        lines += [
            "[deployment.workers]",
            f"report_s = {timing.report_s}",
            f"lease_s = {timing.lease_s}",
            f"gang_wait_s = {deployment.gang_wait_s}",
            f"gang_peer_s = {deployment.gang_peer_s}",
            f"cancel_s = {deployment.cancel_s}",
            "[deployment.state]",
            f"rps = {limits.rps}",
            f"write_rps = {limits.write_rps}",
            f"value_kb = {limits.value_kb}",
            f"txn_ops = {limits.txn_ops}",
            deployment.extra_state,
            "[deployment.cloud]",
            f"rps = {deployment.cloud_rps}",
            f"list_lag_s = {deployment.list_lag_s}",
            "[deployment.limits]",
            "core_share = 0.5",
            "mem_mb = 146.0",
            "max_sockets = 700",
        ]
        return "\n".join(lines) + "\n"

    # -- processes ---------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Start one controller."""
        path = self.folder / f"{name}.toml"
        path.write_text(self.settings(name), encoding="utf-8")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*self.command, str(path)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )
        self.record(f"started {name}")

    def ended_by_themselves(self) -> list[str]:
        """Return the controllers that have ended although nobody ended them."""
        return [
            f"{name} ended by itself with {process.returncode}"
            for name, process in self.processes.items()
            if process.poll() is not None
        ]

    async def run(self, scenario: Callable[[Cluster], Awaitable[list[str]]], limit_s: float) -> int:
        """Start everything, play a scenario, end everything; return the exit code of the case."""
        servers = [
            *(HttpServer(port, self.state.handle) for port in self.state_ports.values()),
            *(
                HttpServer(port, self.fleet.handler(name))
                for name, port in self.cloud_ports.items()
            ),
        ]
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        this_task = asyncio.current_task()
        assert this_task is not None
        loop.add_signal_handler(signal.SIGTERM, this_task.cancel)
        loop.add_signal_handler(signal.SIGINT, this_task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                for server in servers:
                    await server.start()
                self.fleet.start_loop(self.fleet.keep_history())
                for name in self.names:
                    self.start(name)
                await self.until_healthy(30.0)
                broken = await scenario(self)
                broken = [*broken, *self.fleet.broken, *self.ended_by_themselves()]
        except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
            self.record(f"the case could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            for process in self.processes.values():
                process.kill()
                process.wait()
        for line in broken:
            self.record(f"BROKEN {line}")
        self.record(f"verdict: {'broken' if broken else 'held'}")
        return BROKEN if broken else HELD

    # -- what users and the load balancer see --------------------------------------------------

    async def until_healthy(self, within_s: float) -> None:
        """Wait until every controller is healthy; raise `CannotRunError` if one isn't in time."""
        end = time.monotonic() + within_s
        for name in self.names:
            while (await ask(self.user_ports[name], "GET", "/healthz", None, 1.0)).status != 200:
                if time.monotonic() > end:
                    raise CannotRunError(f"{name} is not healthy after {within_s} s")
                await asyncio.sleep(0.2)
        self.record("all controllers are healthy")

    async def until(self, condition: Callable[[], bool], within_s: float) -> bool:
        """Wait until a condition holds; return whether it does in time."""
        end = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.05)
        return True

    async def request(
        self, name: str, method: str, path: str, body: Any = None, timeout_s: float = 2.0
    ) -> Answer:
        """Send one user's request to a controller."""
        answer = await ask(self.user_ports[name], method, path, body, timeout_s)
        self.record(f"{method} {path} at {name}: {answer.status} {answer.body}")
        return answer

    async def submit(self, job: dict[str, Any], name: str, within_s: float = 60.0) -> Answer:
        """Submit a job as a user does, with retries, and return the last answer."""
        self.fleet.jobs[job["id"]] = job
        end = time.monotonic() + within_s
        while True:
            answer = await self.request(name, "POST", "/api/jobs", job, 5.0)
            if answer.status in (200, 201, 400, 422) or time.monotonic() > end:
                return answer
            await asyncio.sleep(1.0)


def job(
    job_id: str, keeper: str, gait: str = "array", chicks: int = 1, **fields: Any
) -> dict[str, Any]:
    """Return a submission; `fields` replace the defaults."""
    return {
        "id": job_id,
        "flock": "profile-embed",
        "keeper": keeper,
        "gait": gait,
        "rank": "normal",
        "chicks": chicks,
        "cores": 6.0,
        "gpus": 1.0,
        "ramGb": 48.0,
        "plumage": "img-01",
        "pullGb": 1.0,
        "breeds": None,
        "marsh": None,
        "together": False,
        "scatter": False,
        "driftwood": False,
        "flightS": 0.0 if gait == "daemon" else 5.0,
        "nestS": 0.0,
        "tuckS": 0.0,
        "duskS": None,
        **fields,
    }


def play(
    folder: Path,
    deployment: Deployment,
    scenario: Callable[[Cluster], Awaitable[list[str]]],
    limit_s: float = 115.0,
) -> int:
    """Play one case in a temporary folder, and return its exit code."""
    record = Record(folder)
    record(f"TROUBLE={os.environ.get('TROUBLE', '1')}")
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        cluster = Cluster(deployment, record, Path(name))
        try:
            return asyncio.run(cluster.run(scenario, limit_s))
        finally:
            if keep := os.environ.get("KEEP_LOGS"):
                for log in Path(name).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())


def trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"
