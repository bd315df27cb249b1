"""How soon a controller that was killed serves again: a real process on loopback.

    python -m scripts.restart_latency [--after 0.1 0.3 1 3.9 4.1]
        [--times 3] [--machines 12] [--report 1.0]

One controller, so nobody else answers meanwhile. Seconds from the start of the new process (which
is `after` seconds after the end of the old one) to: listening (a connection is accepted), healthy
(GET /healthz gives 200), the first worker answered, the first start after the end, all workers
answered. The lowest and the highest of `--times` ends. The stand-ins are the tests' own; a worker
whose report meets a refused connection tries again after 1 s, as the protocol has it.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import tomli_w

from ploverhall import settings
from ploverhall.errors import UnreachableError
from ploverhall.protocol import jobs
from ploverhall.transport.http_client import Client
from ploverhall.transport.http_server import Server
from tests import test_loopback
from tests.simulation.fake_agents import FakeAgents
from tests.simulation.fake_key_value_store import FakeKeyValueStore

COLUMNS = ("listening", "healthy", "first worker", "first start", "all workers")


class Bench:
    """Stand-ins in this process, a controller in another."""

    def __init__(self, machines: int, report_s: float) -> None:
        ports = test_loopback.free_ports(8)
        data = test_loopback.config(ports)
        data["deployment"]["workers"]["report_s"] = report_s
        data["deployment"]["teams"][0].update(gpus=400, gpus_max=400)
        self.settings = settings.parse(data)
        self.state, self.machines, self.answered = FakeKeyValueStore(), machines, dict[str, float]()
        self.fleet = FakeAgents({"c0": self.settings.bind}, 31_000, every=report_s)
        self.file = Path(tempfile.mkdtemp()) / "node.toml"
        self.file.write_text(tomli_w.dumps(data))
        self.process: subprocess.Popen[bytes] | None = None
        self.jobs = 0
        self.starts: list[tuple[float, str]] = []  # of tasks: when, and of which job
        began = self.fleet.started

        def started(agent: Any, attempt: Any) -> None:
            self.starts.append((self.fleet.clock(), attempt[0]))
            began(agent, attempt)

        self.fleet.started = started  # type: ignore[method-assign]

    def start(self) -> None:
        """A new process, as the platform starts it."""
        run = Path(__file__).resolve().parent.parent / "run.py"
        self.process = subprocess.Popen(
            [sys.executable, str(run), "--config", str(self.file)], stderr=subprocess.DEVNULL
        )

    def end(self) -> None:
        """End it at once."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    async def healthy(self, path: str = "/healthz") -> bool:
        """Whether it answers; any answer counts for another path."""
        try:
            status, _ = await Client(*self.settings.bind, keep=0).call("GET", path, None, 1.0)
        except UnreachableError:
            return False
        return status == 200 or path != "/healthz"

    async def flow(self) -> None:
        """A small job every 50 ms, whether it is accepted or not."""
        client = Client(*self.settings.bind)
        while True:
            self.jobs += 1
            spec = test_loopback.spec(f"j-{self.jobs:06d}", "array", 1, flightS=0.05, pullGb=0.01)
            self.fleet.specs[spec["id"]] = jobs.parse_submission(spec, 0.0)
            with suppress(UnreachableError):
                await client.call("POST", "/api/jobs", spec, 1.0)
            await anyio.sleep(0.05)

    async def measure(self, after: float) -> tuple[float, ...]:
        """One end and one start."""
        clock = self.fleet.clock
        self.end()
        await anyio.sleep(after)
        begun, first = clock(), f"j-{self.jobs + 1:06d}"
        seen = {n: w.answered_sent for n, w in self.fleet.workers.items()}
        self.start()
        found: dict[str, float] = {}
        with anyio.fail_after(30):
            while len(found) < len(COLUMNS):
                now = clock() - begun
                if "listening" not in found and await self.healthy("/"):
                    found["listening"] = now
                if "healthy" not in found and "listening" in found and await self.healthy():
                    found["healthy"] = now
                fresh = [
                    n
                    for n, w in self.fleet.workers.items()
                    if w.answered_sent > max(seen.get(n, 0.0), begun)
                ]
                if fresh:
                    found.setdefault("first worker", now)
                if len(fresh) == len(self.fleet.workers):
                    found.setdefault("all workers", now)
                if any(
                    t > begun and jid >= first for t, jid in self.starts[-200:]
                ):  # permitted by the new life
                    found.setdefault("first start", now)
                await anyio.sleep(0.005)
        return tuple(found[c] for c in COLUMNS)

    async def run(
        self, afters: list[float], times: int
    ) -> list[tuple[float, list[tuple[float, ...]]]]:
        """All of it."""
        out: list[tuple[float, list[tuple[float, ...]]]] = []
        async with anyio.create_task_group() as tg:
            self.fleet.tasks = tg
            tg.start_soon(Server(self.state.handle, 100).run, *self.settings.store)
            tg.start_soon(Server(self.fleet.handle, 100).run, *self.settings.cloud)
            self.start()
            try:
                while not await self.healthy():
                    await anyio.sleep(0.05)
                self.fleet.pleas["here"] = [
                    self.fleet.boot({"marsh": "a", "driftwood": False})
                    for _ in range(self.machines)
                ]
                tg.start_soon(self.flow)
                await anyio.sleep(3.0)
                for after in afters:
                    rows: list[tuple[float, ...]] = []
                    for _ in range(times):
                        rows.append(await self.measure(after))
                        await anyio.sleep(2.5)
                    out.append((after, rows))
            finally:
                self.end()
                tg.cancel_scope.cancel()
        return out


def main() -> int:
    """Print the table."""
    p = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    p.add_argument("--after", type=float, nargs="+", default=[0.1, 0.3, 1.0, 3.9, 4.1])
    p.add_argument("--times", type=int, default=3)
    p.add_argument("--machines", type=int, default=12)
    p.add_argument("--report", type=float, default=1.0)
    args = p.parse_args()
    bench = Bench(args.machines, args.report)
    found: list[Any] = anyio.run(bench.run, args.after, args.times)
    print("| back after s | " + " | ".join(COLUMNS) + " |\n| --- |" + " --- |" * len(COLUMNS))
    for after, rows in found:
        cells = [
            f"{min(r[i] for r in rows):.2f} to {max(r[i] for r in rows):.2f}"
            for i in range(len(COLUMNS))
        ]
        print(f"| {after:g} | " + " | ".join(cells) + " |")
    print(
        f"rules broken, by the workers' own account: {len(bench.fleet.broken)}; "
        f"killed by a lease: {bench.fleet.killed_by_lease}"
    )
    return 1 if bench.fleet.broken else 0


if __name__ == "__main__":
    sys.exit(main())
