"""Test one controller over real sockets: submit, run, outage, cancel, and repeated requests."""

from __future__ import annotations

import os
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio

from ploverhall import settings
from ploverhall.controller.controller import Controller
from ploverhall.protocol import jobs
from ploverhall.status import format_text
from ploverhall.transport.http_client import Client
from ploverhall.transport.http_server import Server

from .simulation.fake_agents import FakeAgents
from .simulation.fake_key_value_store import FakeKeyValueStore
from .simulation.sample_submission import SUBMISSION


def free_ports(n: int) -> list[int]:
    """Return free ports below the range of outgoing connections.

    A port of that range was taken by a connection before the server was up. Parallel test processes
    draw from ranges of their own.
    """
    ports: list[int] = []
    first = 15_000 + 1000 * (int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:]) % 15)
    while len(ports) < n:
        port = random.randrange(first, first + 1000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def config(ports: list[int]) -> dict[str, Any]:
    node, peer, state, cloud = ports[:4]
    return {
        "host_name": "c0",
        "site": "a",
        "bind": f"127.0.0.1:{node}",
        "peer_listen": f"127.0.0.1:{peer}",
        "external": {"cloud": f"127.0.0.1:{cloud}", "state": f"127.0.0.1:{state}"},
        "deployment": {
            "zones": ["a"],
            "teams": [{"name": "team", "cpus": 0, "cpus_max": 0, "gpus": 4, "gpus_max": 8}],
            "workers": {
                "report_s": 0.2,
                "lease_s": 10.0,
                "gang_wait_s": 5.0,
                "gang_peer_s": 2.0,
                "cancel_s": 30.0,
            },
            "state": {"rps": 500.0, "write_rps": 200.0, "value_kb": 4.0, "txn_ops": 8},
            "cloud": {"rps": 20.0, "list_lag_s": 0.1},
            "limits": {"core_share": 1.0, "mem_mb": 200.0, "max_sockets": 200},
        },
    }


def spec(jid: str, gait: str, n: int, **kw: Any) -> dict[str, Any]:
    job_fields = {"id": jid, "gait": gait, "chicks": n}
    return {**SUBMISSION, "flock": "f", "keeper": "team", "flightS": 0.3, **job_fields, **kw}


@dataclass
class RunningController:
    """A controller over real sockets, with simulated services."""

    s: settings.Settings
    state: FakeKeyValueStore
    fleet: FakeAgents
    user: Client

    async def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        return await self.user.call(method, path, body, 5.0)

    async def until(self, jid: str, stance: str) -> None:
        with anyio.fail_after(20):
            while True:
                status, answer = await self.call("GET", f"/api/jobs/{jid}")
                if status == 200 and answer["stance"] == stance:
                    return
                await anyio.sleep(0.05)

    async def submit(self, w: dict[str, Any]) -> int:
        self.fleet.specs[w["id"]] = jobs.parse_submission(w, 0.0)
        return (await self.call("POST", "/api/jobs", w))[0]


@asynccontextmanager
async def running(options: settings.Options | None = None) -> AsyncIterator[RunningController]:
    ports = free_ports(40)
    s = settings.parse(config(ports), options)
    env = RunningController(
        s, FakeKeyValueStore(), FakeAgents({"c0": s.bind}, max(ports) + 1), Client(*s.bind)
    )
    async with anyio.create_task_group() as tg:
        env.fleet.tasks = tg
        tg.start_soon(Server(env.state.handle, 100).run, *s.store)
        tg.start_soon(Server(env.fleet.handle, 100).run, *s.cloud)
        tg.start_soon(Controller(s).run)
        with anyio.fail_after(20):
            while True:
                try:
                    if (await env.call("GET", "/healthz"))[0] == 200:
                        break
                except Exception:
                    pass
                await anyio.sleep(0.05)
        yield env
        tg.cancel_scope.cancel()


def test_controller_on_loopback() -> None:
    anyio.run(_submit_and_cancel)


def test_archived_jobs_leave_memory_and_are_still_known() -> None:
    anyio.run(_archive)


async def _archive() -> None:
    async with running(settings.Options(keep_ended=1)) as env:
        for i in range(6):
            assert await env.submit(spec(f"j-{i:06d}", "array", 1)) == 201
        for i in range(6):
            await env.until(f"j-{i:06d}", "done")
        with anyio.fail_after(20):
            while sum(k.startswith("e/") for k in env.state.store.kv) < 5:
                await anyio.sleep(0.05)
        assert sum(k.startswith("p/job/") for k in env.state.store.kv) == 1, (
            "more than one ended job is among the records that every controller reads at its start"
        )
        for i in range(6):
            path = f"/api/jobs/j-{i:06d}"
            assert (await env.call("GET", path))[1]["stance"] == "done"
            assert (await env.call("POST", "/api/jobs", spec(f"j-{i:06d}", "array", 1)))[
                0
            ] == 200, "a late repeat was taken as a new job"
            assert (await env.call("POST", f"{path}/withdraw"))[1]["stance"] == "done"
        assert (await env.call("GET", "/api/jobs/j-000099"))[0] == 404
        assert (await env.call("POST", "/api/jobs/j-000099/withdraw"))[0] == 404


async def _submit_and_cancel() -> None:
    async with running() as env:
        s, state, fleet, call, until = env.s, env.state, env.fleet, env.call, env.until
        submissions = [
            spec("j-000001", "array", 5),
            spec("j-000002", "group", 2),
            spec("j-000003", "daemon", 1),
        ]
        for w in submissions:
            fleet.specs[w["id"]] = jobs.parse_submission(w, 0.0)
            assert (await call("POST", "/api/jobs", w))[0] == 201
        assert (await call("POST", "/api/jobs", submissions[0]))[0] == 200, (
            "a repeat was not recognized"
        )
        assert (await call("POST", "/api/jobs", {**submissions[0], "chicks": 0}))[0] == 400
        assert (await call("POST", "/api/jobs", spec("j-000009", "group", 99)))[0] == 422
        assert (await call("GET", "/api/jobs/j-000099"))[0] == 404
        await until("j-000001", "done")
        await until("j-000002", "done")
        await until("j-000003", "running")
        state.down = True
        assert (await call("GET", "/api/jobs/j-000001"))[1]["stance"] == "done", (
            "a final state must be answered without the state service"
        )
        assert (await call("GET", "/api/jobs/j-000003"))[0] == 503
        assert (await call("POST", "/api/jobs", spec("j-000004", "array", 1)))[0] == 503
        state.down = False
        with anyio.fail_after(10):
            while (answer := await call("POST", "/api/jobs/j-000003/withdraw"))[0] != 200:
                await anyio.sleep(0.1)
        assert answer[1]["stance"] == "withdrawn"
        with anyio.fail_after(10):
            while any(w.tasks for w in fleet.workers.values()):
                await anyio.sleep(0.05)
        assert (await call("GET", "/api/jobs/j-000003"))[1]["stance"] == "withdrawn"
        status = (await call("GET", "/status"))[1]
        one = "\n".join(
            format_text((await call("GET", "/status?job=j-000001"))[1], {"job": "j-000001"})
        )
        assert "users are told: j-000001 is done, 5 tasks done" in one and "j-000003" not in one
        (view,) = (c["view"] for c in status["controllers"].values())
        assert view["teams"]["team"]["gpus"] == 0 and view["machines"]
        shown = "\n".join(format_text(status, {}))
        assert (
            shown.startswith("wrong now: nothing")
            and "ended lately:" in shown
            and "team team:" in shown
        )
        huge = spec("j-000005", "array", 100_000, flightS=0.2)
        fleet.specs["j-000005"] = jobs.parse_submission(huge, 0.0)
        assert (await call("POST", "/api/jobs", huge))[0] == 201
        with anyio.fail_after(20):
            while (answer := await call("GET", "/api/jobs/j-000005"))[1].get("done", 0) < 16:
                await anyio.sleep(0.05)
        assert (await call("POST", "/api/jobs/j-000005/withdraw"))[0] == 200
        raw = await anyio.connect_tcp(*s.bind)
        await raw.send(b"NONSENSE\r\n\r\n")
        assert b"400" in await raw.receive()
        await raw.aclose()
        big = await anyio.connect_tcp(*s.bind)
        await big.send(
            b"POST /api/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 70000\r\n\r\n" + b"x" * 70000
        )
        assert b"413" in await big.receive()
        await big.aclose()
        assert not fleet.broken and fleet.starts >= 8
