"""Scenes of the golden files: three whole controllers in virtual time, from a fixed seed."""

from __future__ import annotations

import copy
import logging
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import cbor2
import orjson

from ploverhall import settings
from ploverhall.errors import UnreachableError
from ploverhall.transport.http_client import Client
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.simulated_network import NO_DELIVERY, SILENT
from tests.simulation.virtual_time import VirtualTimeLoop

from . import inputs
from .traffic import Recording, http_messages

CONTROLLERS = ("c0", "c1", "c2")
SEED = 47


def run(
    scene: Callable[[SimulatedCluster], Awaitable[None]],
    before: Callable[[SimulatedCluster], None] = lambda cluster: None,
    **kwargs: Any,
) -> tuple[SimulatedCluster, Recording]:
    """Run a scene and record the traffic from its first packet on."""
    made: list[SimulatedCluster] = []
    recording = Recording(CONTROLLERS)
    logging.getLogger("asyncio").setLevel(logging.ERROR)

    async def main() -> None:
        played = SimulatedCluster(SEED, **kwargs)
        made.append(played)
        before(played)
        async with anyio.create_task_group() as tg:
            await played.start(tg)
            await scene(played)
            tg.cancel_scope.cancel()

    with recording.record():
        anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})
    return made[0], recording


async def call(
    cluster: SimulatedCluster,
    sender: str,
    method: str,
    path: str,
    body: object = None,
    at: str = "c0",
) -> Any:
    """Send one request as a user or operator; return [status, body], or None if unreachable."""
    client = Client(at, 80, 1, cluster.net.of(sender), cluster.loop.time)
    try:
        return list(await client.call(method, path, body, 6.0))
    except UnreachableError:
        return None


async def send_raw(cluster: SimulatedCluster, port: int, data: bytes) -> str:
    """Send raw bytes and return the response.

    The response is one whole HTTP message, or everything that arrives within two seconds.
    """
    stream = await cluster.net.connect("raw", "c0", port)
    received = b""
    await stream.send(data)
    with anyio.move_on_after(2.0) as scope:
        try:
            while True:
                received += await stream.receive()
                if any(http_messages(received)):
                    scope.deadline = cluster.now + 0.05  # shows whether the connection closes
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            received += b"(closed)"
    await stream.aclose()
    return received.decode("latin-1")


# -- ordinary work and faults -------------------------------------------------------------------


async def _submit_work(cluster: SimulatedCluster) -> None:
    """Submit jobs of each kind, resubmit and cancel some; machines are rented and returned."""
    plain = {"breeds": ["t"], "marsh": "a", "duskS": 500.0, "nestS": 2.0, "tuckS": 1.0}
    await cluster.submit(cluster.spec(1, gait="array", chicks=12, flightS=6.0), "c0")
    await cluster.submit(
        cluster.spec(2, gait="daemon", chicks=6, rank="production", scatter=True), "c1"
    )
    await cluster.submit(
        cluster.spec(3, gait="group", chicks=4, rank="urgent", together=True, **plain), "c2"
    )
    await cluster.submit(
        cluster.spec(4, gait="array", chicks=2, rank="best_effort", driftwood=True), "c0"
    )
    for n in range(5, 9):
        await cluster.submit(cluster.spec(n, gait="array", chicks=9, gpus=4.0, flightS=8.0), "c1")
    await cluster.submit(cluster.spec(9, gait="daemon", chicks=2), "c0")
    await anyio.sleep(4.0)
    await cluster.resubmit("j-000001", "c1")
    await cluster.withdraw("j-000009", "c2")
    cluster.tasks.start_soon(
        cluster.submit, cluster.spec(15, gait="array"), "c0"
    )  # submitted twice at once: the second write finds the first
    await call(cluster, "user", "POST", "/api/jobs", cluster.spec(15, gait="array"), "c1")
    await cluster.ask("j-000009", "c0")


async def _run_maintenance_orders(cluster: SimulatedCluster) -> None:
    """Drain a zone, pause and resume its order; stop another order."""
    order = {
        "id": "u-zone",
        "machines": None,
        "zone": "b",
        "type": "t",
        "spot": None,
        "part": None,
        "at_once": 2,
        "note": "new racks",
    }
    await call(cluster, "operator", "POST", "/upkeep/try", order)
    for at in CONTROLLERS[:2]:
        await call(cluster, "operator", "POST", "/upkeep", order, at)
    machine = min(cluster.fleet.workers)
    await call(
        cluster,
        "operator",
        "POST",
        "/upkeep",
        {"id": "u-one", "machines": [machine], "spot": False},
    )
    await anyio.sleep(3.0)
    await call(cluster, "operator", "GET", "/upkeep")
    await _request_status_views(cluster)
    for verb in ("pause", "resume"):
        await call(cluster, "operator", "POST", f"/upkeep/u-zone/{verb}", None, "c1")
    await call(cluster, "operator", "POST", "/upkeep/u-one/stop")
    await anyio.sleep(6.0)
    await call(cluster, "operator", "GET", "/upkeep", None, "c2")
    await call(cluster, "operator", "POST", "/upkeep/u-zone/stop")


async def _partition_controllers(cluster: SimulatedCluster) -> None:
    """Cut controllers from store, cloud or workers, force a failover, isolate a controller."""
    cluster.net.cut("c0", "state", SILENT, 5.0)
    cluster.cut_workers("c2", NO_DELIVERY, 7.0)
    for c in CONTROLLERS[:2]:
        cluster.net.cut(c, "cloud", SILENT, 7.0)
    for n in range(10, 14):
        cluster.tasks.start_soon(
            cluster.submit, cluster.spec(n, gait="array", chicks=9, gpus=4.0, flightS=3.0)
        )
    cluster.tasks.start_soon(cluster.submit, cluster.spec(14, gait="daemon", chicks=3))
    await anyio.sleep(4.0)
    cluster.cut_workers("c1", SILENT, 6.0)
    cluster.hang([max(cluster.fleet.workers)], 9.0)
    await _request_status_views(cluster, "c1")
    await anyio.sleep(7.0)
    await _request_status_views(cluster)
    await cluster.crash("c1", 9.0)
    cluster.tasks.start_soon(cluster.submit_random_jobs, 5.0, 0.5, 20)
    await anyio.sleep(6.0)
    cluster.tasks.start_soon(cluster.withdraw, "j-000014")
    await cluster.outage(3.0)
    await anyio.sleep(3.0)
    for there in ("state", "cloud", "c1", "c2"):
        cluster.net.cut("c0", there, SILENT, 9.0)
    cluster.cut_workers("c0", SILENT, 9.0)
    await anyio.sleep(7.0)
    await call(cluster, "user", "GET", "/healthz")
    cluster.tasks.start_soon(cluster.submit, cluster.spec(50, gait="array"), "c0")
    await call(cluster, "user", "GET", "/api/jobs/j-000001")
    await anyio.sleep(7.0)


async def _request_status_views(cluster: SimulatedCluster, at: str = "c0") -> None:
    """Request the status views for people, and the health of a controller."""
    for query in ("", "?job=j-000002", "?team=team-2", f"?machine={max(cluster.fleet.workers)}"):
        await call(cluster, "operator", "GET", f"/status{query}", None, at)
    await call(cluster, "user", "GET", "/healthz", at="c1")


def ordinary_operation() -> tuple[SimulatedCluster, Recording]:
    """Run the whole scene of ordinary work, maintenance and faults."""

    async def scene(cluster: SimulatedCluster) -> None:
        await _submit_work(cluster)
        await _request_status_views(cluster)
        await _run_maintenance_orders(cluster)
        await _partition_controllers(cluster)
        await _request_status_views(cluster)

    options = settings.Options(keep_ended=4, idle_return_s=5.0, budget={"default": {"down": 1}})
    played, recording = run(scene, options=options, asks=False)
    assert not (played.broken + played.fleet.broken), (played.broken + played.fleet.broken)[:3]
    return played, recording


def refusals() -> tuple[dict[str, Any], dict[str, Any]]:
    """Send bad or odd HTTP requests and link greetings to a controller without work.

    Returns:
        The answers to the requests, and the greetings with their answers, both by name.
    """
    http: dict[str, Any] = {}
    link: dict[str, Any] = {}

    async def scene(cluster: SimulatedCluster) -> None:
        for name, data in inputs.bad_requests().items():
            http[name] = await send_raw(cluster, 80, data)
        for name, value in inputs.GREETINGS.items():
            frame = cbor2.dumps(value)
            data = struct.pack(">I", len(frame)) + frame + struct.pack(">I", 1) + cbor2.dumps([])
            link[name] = {"sent": data.hex(), "answer": await send_raw(cluster, 81, data)}

    run(scene, asks=False, machines=2)
    return http, link


# -- stored values of earlier releases and processes --------------------------------------------


def from_stored() -> dict[str, Any]:
    """Return what controllers that start on given stored values tell users and operators."""
    out: dict[str, Any] = {}

    def before(cluster: SimulatedCluster) -> None:
        for key, value in inputs.STORED.items():
            cluster.state.store.txn({}, {key: copy.deepcopy(value)}, [])
        for job in inputs.RUNNABLE_JOBS:
            cluster.fleet.specs[job] = inputs.job_of_record(inputs.STORED[f"p/job/{job}"])

    async def scene(cluster: SimulatedCluster) -> None:
        out["first"] = await _query_jobs_and_orders(cluster)
        await anyio.sleep(25.0)
        out["later"] = await _query_jobs_and_orders(cluster)
        kept = {
            k: v
            for k, (v, _) in cluster.state.store.kv.items()
            if k.startswith(inputs.KEPT_PREFIXES)
        }
        out["stored later"] = {k: orjson.dumps(v).decode() for k, v in sorted(kept.items())}

    run(scene, before, options=settings.Options(keep_ended=6), asks=False, machines=4)
    return out


async def _query_jobs_and_orders(cluster: SimulatedCluster) -> dict[str, Any]:
    answers = {
        job: await call(cluster, "user", "GET", f"/api/jobs/{job}") for job in inputs.QUERIED_JOBS
    }
    answers["orders"] = await call(cluster, "operator", "GET", "/upkeep")
    return answers
