"""The scenes of the golden files: three whole controllers in virtual time, from a fixed seed."""

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
    before: Callable[[SimulatedCluster], None] = lambda p: None,
    **kwargs: Any,
) -> tuple[SimulatedCluster, Recording]:
    """Play a scene from the first packet on, with everything recorded."""
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

    with recording.on():
        anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})
    return made[0], recording


async def call(
    p: SimulatedCluster, who: str, method: str, path: str, body: object = None, at: str = "c0"
) -> Any:
    """One request of a user or operator; (status, body), or nothing."""
    client = Client(at, 80, 1, p.net.of(who), p.loop.time)
    try:
        return list(await client.call(method, path, body, 6.0))
    except UnreachableError:
        return None


async def raw(p: SimulatedCluster, port: int, data: bytes) -> str:
    """Send raw bytes; what comes back: one whole HTTP message, or all within two seconds."""
    stream = await p.net.connect("raw", "c0", port)
    back = b""
    await stream.send(data)
    with anyio.move_on_after(2.0) as scope:
        try:
            while True:
                back += await stream.receive()
                if any(http_messages(back)):
                    scope.deadline = p.now + 0.05  # whether the connection is closed after it
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            back += b"(closed)"
    await stream.aclose()
    return back.decode("latin-1")


# -- ordinary work and its troubles -------------------------------------------------------------


async def _work(p: SimulatedCluster) -> None:
    """Jobs of each kind, a resubmission, a cancellation, machines rented and given back."""
    plain = {"breeds": ["t"], "marsh": "a", "duskS": 500.0, "nestS": 2.0, "tuckS": 1.0}
    await p.submit(p.spec(1, gait="array", chicks=12, flightS=6.0), "c0")
    await p.submit(p.spec(2, gait="daemon", chicks=6, rank="production", scatter=True), "c1")
    await p.submit(p.spec(3, gait="group", chicks=4, rank="urgent", together=True, **plain), "c2")
    await p.submit(p.spec(4, gait="array", chicks=2, rank="best_effort", driftwood=True), "c0")
    for n in range(5, 9):
        await p.submit(p.spec(n, gait="array", chicks=9, gpus=4.0, flightS=8.0), "c1")
    await p.submit(p.spec(9, gait="daemon", chicks=2), "c0")
    await anyio.sleep(4.0)
    await p.resubmit("j-000001", "c1")
    await p.withdraw("j-000009", "c2")
    p.tasks.start_soon(
        p.submit, p.spec(15, gait="array"), "c0"
    )  # twice at once: the second write finds the first
    await call(p, "user", "POST", "/api/jobs", p.spec(15, gait="array"), "c1")
    await p.ask("j-000009", "c0")


async def _order(p: SimulatedCluster) -> None:
    """A zone is drained, paused, resumed; another order is stopped."""
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
    await call(p, "operator", "POST", "/upkeep/try", order)
    for at in CONTROLLERS[:2]:
        await call(p, "operator", "POST", "/upkeep", order, at)
    machine = min(p.fleet.workers)
    await call(
        p, "operator", "POST", "/upkeep", {"id": "u-one", "machines": [machine], "spot": False}
    )
    await anyio.sleep(3.0)
    await call(p, "operator", "GET", "/upkeep")
    await _looks(p)
    for verb in ("pause", "resume"):
        await call(p, "operator", "POST", f"/upkeep/u-zone/{verb}", None, "c1")
    await call(p, "operator", "POST", "/upkeep/u-one/stop")
    await anyio.sleep(6.0)
    await call(p, "operator", "GET", "/upkeep", None, "c2")
    await call(p, "operator", "POST", "/upkeep/u-zone/stop")


async def _cuts(p: SimulatedCluster) -> None:
    """Controllers cut from store, cloud or workers; a failover; an isolated controller."""
    p.net.cut("c0", "state", SILENT, 5.0)
    p.cut_workers("c2", NO_DELIVERY, 7.0)
    for c in CONTROLLERS[:2]:
        p.net.cut(c, "cloud", SILENT, 7.0)
    for n in range(10, 14):
        p.tasks.start_soon(p.submit, p.spec(n, gait="array", chicks=9, gpus=4.0, flightS=3.0))
    p.tasks.start_soon(p.submit, p.spec(14, gait="daemon", chicks=3))
    await anyio.sleep(4.0)
    p.cut_workers("c1", SILENT, 6.0)
    p.hang([max(p.fleet.workers)], 9.0)
    await _looks(p, "c1")
    await anyio.sleep(7.0)
    await _looks(p)
    await p.crash("c1", 9.0)
    p.tasks.start_soon(p.submit_random_jobs, 5.0, 0.5, 20)
    await anyio.sleep(6.0)
    p.tasks.start_soon(p.withdraw, "j-000014")
    await p.outage(3.0)
    await anyio.sleep(3.0)
    for there in ("state", "cloud", "c1", "c2"):
        p.net.cut("c0", there, SILENT, 9.0)
    p.cut_workers("c0", SILENT, 9.0)
    await anyio.sleep(7.0)
    await call(p, "user", "GET", "/healthz")
    p.tasks.start_soon(p.submit, p.spec(50, gait="array"), "c0")
    await call(p, "user", "GET", "/api/jobs/j-000001")
    await anyio.sleep(7.0)


async def _looks(p: SimulatedCluster, at: str = "c0") -> None:
    """What a person is shown."""
    for query in ("", "?job=j-000002", "?team=team-2", f"?machine={max(p.fleet.workers)}"):
        await call(p, "operator", "GET", f"/status{query}", None, at)
    await call(p, "user", "GET", "/healthz", at="c1")


def everyday() -> tuple[SimulatedCluster, Recording]:
    """The whole scene of work and troubles."""

    async def scene(p: SimulatedCluster) -> None:
        await _work(p)
        await _looks(p)
        await _order(p)
        await _cuts(p)
        await _looks(p)

    options = settings.Options(keep_ended=4, idle_return_s=5.0, budget={"default": {"down": 1}})
    played, recording = run(scene, options=options, asks=False)
    assert not (played.broken + played.fleet.broken), (played.broken + played.fleet.broken)[:3]
    return played, recording


def refusals() -> tuple[dict[str, Any], dict[str, Any]]:
    """Answers to bad or odd HTTP requests and link greetings, from a controller without work."""
    http: dict[str, Any] = {}
    link: dict[str, Any] = {}

    async def scene(p: SimulatedCluster) -> None:
        for name, data in inputs.bad_requests().items():
            http[name] = await raw(p, 80, data)
        for name, value in inputs.GREETINGS.items():
            frame = cbor2.dumps(value)
            data = struct.pack(">I", len(frame)) + frame + struct.pack(">I", 1) + cbor2.dumps([])
            link[name] = {"sent": data.hex(), "answer": await raw(p, 81, data)}

    run(scene, asks=False, machines=2)
    return http, link


# -- what earlier releases and processes have left ---------------------------------------------


def from_stored() -> dict[str, Any]:
    """What users and operators are told by controllers that start on given stored values."""
    out: dict[str, Any] = {}

    def before(p: SimulatedCluster) -> None:
        for key, value in inputs.STORED.items():
            p.state.store.txn({}, {key: copy.deepcopy(value)}, [])
        for job in inputs.RUNNABLE:
            p.fleet.specs[job] = inputs.job_of_record(inputs.STORED[f"p/job/{job}"])

    async def scene(p: SimulatedCluster) -> None:
        out["first"] = await _told(p)
        await anyio.sleep(25.0)
        out["later"] = await _told(p)
        kept = {k: v for k, (v, _) in p.state.store.kv.items() if k.startswith(inputs.KEPT)}
        out["stored later"] = {k: orjson.dumps(v).decode() for k, v in sorted(kept.items())}

    run(scene, before, options=settings.Options(keep_ended=6), asks=False, machines=4)
    return out


async def _told(p: SimulatedCluster) -> dict[str, Any]:
    told = {job: await call(p, "user", "GET", f"/api/jobs/{job}") for job in inputs.ASKED}
    told["orders"] = await call(p, "operator", "GET", "/upkeep")
    return told
