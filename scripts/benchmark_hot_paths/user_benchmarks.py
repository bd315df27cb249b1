"""Measure the processor time of a user's request in a whole controller, with its store reads.

Store, cloud and user are fakes in a process of their own (`user_load`). It prints a line at each
change of phase: `idle`, `asked` when the requests begin, and `over` when they end.
"""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from typing import Any, NamedTuple

import anyio
import anyio.to_thread

from ploverhall import settings
from ploverhall.controller.controller import Controller
from ploverhall.runtime import Runtime
from scripts.benchmark_hot_paths.revisions import MODULE
from scripts.benchmark_hot_paths.user_load import POLL, REQUESTS, RESUBMISSION, LoadPorts
from scripts.git_revisions import ROOT


class TimeMark(NamedTuple):
    """Processor time and clock of this process, in seconds."""

    processor_s: float
    clock_s: float


def poll_cost(size: int) -> float:
    """Return the microseconds of a request for a waiting job."""
    return user_request_cost(size, POLL)


def resubmission_cost(size: int) -> float:
    """Return the microseconds of a repeated submission of a waiting job."""
    return user_request_cost(size, RESUBMISSION)


def user_request_cost(size: int, request_kind: str) -> float:
    """Return the controller's processor time for one request and its answer, in microseconds.

    The idle cost of the controller is subtracted.
    """
    ports = _free_ports()
    controller = Controller(settings.parse(_controller_settings(ports)), Runtime())
    args = [sys.executable, "-m", MODULE, "--beside", request_kind, str(size), *map(str, ports)]
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    with subprocess.Popen(args, cwd=ROOT, env=env, stdout=subprocess.PIPE) as load:
        try:
            idle, asked, over = anyio.run(
                _run_controller, controller, load, backend_options={"use_uvloop": True}
            )
        finally:
            load.kill()
    idle_rate = (asked.processor_s - idle.processor_s) / (asked.clock_s - idle.clock_s)
    idle_s = idle_rate * (over.clock_s - asked.clock_s)
    return (over.processor_s - asked.processor_s - idle_s) / REQUESTS * 1e6


async def _run_controller(controller: Controller, load: subprocess.Popen[bytes]) -> list[TimeMark]:
    """Run the controller beside the load; return the times of `idle`, `asked` and `over`."""
    assert load.stdout is not None
    marks = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(controller.run)
        for _ in range(3):
            line = await anyio.to_thread.run_sync(load.stdout.readline)
            assert line, "the load process ended before it printed all phases"
            marks.append(TimeMark(time.process_time(), time.monotonic()))
        tasks.cancel_scope.cancel()
    return marks


def _free_ports() -> LoadPorts:
    """Return four free ports, for the controller, its peers, the store and the cloud."""
    with ExitStack() as stack:
        listeners = [stack.enter_context(socket.socket()) for _ in LoadPorts._fields]
        for listener in listeners:
            listener.bind(("127.0.0.1", 0))
        return LoadPorts(*(listener.getsockname()[1] for listener in listeners))


def _controller_settings(ports: LoadPorts) -> dict[str, Any]:
    """Return the settings of the only controller of a deployment."""
    return {
        "host_name": "c0",
        "site": "a",
        "bind": f"127.0.0.1:{ports.controller}",
        "peer_listen": f"127.0.0.1:{ports.peers}",
        "siblings": [],
        "external": {"state": f"127.0.0.1:{ports.store}", "cloud": f"127.0.0.1:{ports.cloud}"},
        "deployment": {
            "zones": ["a"],
            "teams": [{"name": "t", "cpus": 0, "cpus_max": 0, "gpus": 8, "gpus_max": 8}],
            "workers": {
                "report_s": 2.0,
                "lease_s": 13.0,
                "gang_wait_s": 30.0,
                "gang_peer_s": 4.0,
                "cancel_s": 38.0,
            },
            "state": {"rps": 1e6, "write_rps": 1e6, "value_kb": 16.0, "txn_ops": 48},
            "cloud": {"rps": 10.0, "list_lag_s": 3.0},
            "limits": {"core_share": 1.0, "mem_mb": 400.0, "max_sockets": 500},
        },
    }
