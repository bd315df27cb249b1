"""Run the store, the cloud and one user of a measured controller in a process of their own.

The process prints a line at each change of phase: `idle`, `asked` when the requests begin, and
`over` when they end.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from ploverhall.errors import UnreachableError
from ploverhall.storage.schema import JOB_PREFIX, end_record
from ploverhall.transport.http_client import Client
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply, Server
from tests.simulation.sample_submission import SUBMISSION

POLL = "poll"
RESUBMISSION = "resubmission"
# Requests in a round; concurrent requests share a read of the key-value store
REQUESTS = 6000
CONCURRENT_REQUESTS = 40
MAX_FAILED_SHARE = 0.01
STORE_PAGE = 1000  # the largest page that the key-value store returns
NO_ANSWER = 0
HOST = "127.0.0.1"
JOB_ID = "j-999999"
JOB: dict[str, Any] = {
    **SUBMISSION,
    "id": JOB_ID,
    "flock": "f",
    "keeper": "t",
    "chicks": 4,
    "flightS": 9.0,
}


class LoadPorts(NamedTuple):
    """Ports of the controller and of the services that it connects to."""

    controller: int
    peers: int
    store: int
    cloud: int


class UserLoad:
    """Serves the fakes, and sends requests for one waiting job as a user."""

    def __init__(self, request_kind: str, ended_jobs: int, ports: LoadPorts) -> None:
        from tests.simulation.fake_key_value_store import FakeKeyValueStore

        self.request_kind = request_kind
        self.ports = ports
        self.key_value_store = FakeKeyValueStore()
        self.key_value_store.store.kv = {
            f"{JOB_PREFIX}j-{number:06d}": (end_record("withdrawn", 0), 1)
            for number in range(1, ended_jobs + 1)
        }
        self.user = Client(HOST, ports.controller, CONCURRENT_REQUESTS)
        self.failed_statuses: list[int] = []  # statuses other than 200

    async def run(self) -> None:
        """Serve the fakes and send the requests; run until the process is killed.

        Raises:
            TimeoutError: If the controller does not accept the job within 60 s.
        """
        async with anyio.create_task_group() as tasks:
            self._start_fakes(tasks)
            with anyio.fail_after(60.0):
                while await self._request("POST", "/api/jobs", JOB) not in (200, 201):
                    await anyio.sleep(0.2)
            await anyio.sleep(1.0)
            print("idle", flush=True)
            await anyio.sleep(2.0)
            print("asked", flush=True)
            async with anyio.create_task_group() as users:
                for _ in range(CONCURRENT_REQUESTS):
                    users.start_soon(self._send_requests_in_turn)
            assert len(self.failed_statuses) < REQUESTS * MAX_FAILED_SHARE, self.failed_statuses[:3]
            print("over", flush=True)
            await anyio.sleep_forever()

    def _start_fakes(self, tasks: TaskGroup) -> None:
        """Serve store and cloud; no machine is ever rented."""
        from tests.simulation.fake_agents import FakeAgents

        fleet = FakeAgents({}, 0)
        fleet.tasks = tasks
        fleet.max_machines = 0
        tasks.start_soon(Server(self._handle_store, 100).run, HOST, self.ports.store)
        tasks.start_soon(Server(fleet.handle, 100).run, HOST, self.ports.cloud)

    async def _handle_store(self, request: Request) -> Reply:
        """Answer a request to the store; lists are returned in pages."""
        if request.path != "/kv":
            return await self.key_value_store.handle(request)
        store = self.key_value_store.store
        after_key = request.query.get("from", "")
        found = [
            (key, entry)
            for key, entry in store.read(request.query["starts"]).items()
            if key > after_key
        ]
        items = [
            {"path": key, "v": value, "feather": version}
            for key, (value, version) in found[:STORE_PAGE]
        ]
        has_next = len(found) > STORE_PAGE
        return Reply(200, {"items": items, "hasNext": has_next, "moult": store.rev})

    async def _send_requests_in_turn(self) -> None:
        """Send requests one after the other, as one of the user's connections."""
        for _ in range(REQUESTS // CONCURRENT_REQUESTS):
            status = await self._send_measured_request()
            if status != 200:
                # On a busy machine a read may take longer than the request waits for it
                self.failed_statuses.append(status)
                await anyio.sleep(0.1)

    async def _send_measured_request(self) -> int:
        """Send the measured request and return its status."""
        if self.request_kind == POLL:
            return await self._request("GET", f"/api/jobs/{JOB_ID}", None)
        return await self._request("POST", "/api/jobs", JOB)

    async def _request(self, method: str, path: str, body: Any) -> int:
        """Send a request to the controller; return its status, `NO_ANSWER` without an answer."""
        try:
            return (await self.user.call(method, path, body, 5.0))[0]
        except UnreachableError:
            return NO_ANSWER


async def serve_load(request_kind: str, ended_jobs: int, ports: LoadPorts) -> None:
    """Serve a measured controller and send it requests until the process is killed."""
    await UserLoad(request_kind, ended_jobs, ports).run()
