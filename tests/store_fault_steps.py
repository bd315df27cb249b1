"""Steps and checks of the tests in which requests to the state service fail, lose their answers or come late."""

from __future__ import annotations

import contextlib
from typing import Any

import anyio
import orjson

from ploverhall.errors import UnreachableError

from .simulation.cluster import SimulatedCluster

# Kinds of write that the prefix of a key tells; jobs and shards need the value, too
KIND_BY_PREFIX = {
    "c/": "permits",
    "d/": "progress",
    "p/node/": "member",
    "p/renter": "renter",
    "p/type": "types",
    "u/": "grants",
    "p/upkeep/": "order",
    "i/": "images",
    "e/": "archive",
}


def write_kinds(request: Any) -> set[str]:
    """Which rows of the table of writes in docs/design.md a request is about."""
    if request.path != "/multi":
        return set()
    kinds: set[str] = set()
    for operation in orjson.loads(request.body).get("apply", ()):
        key = operation.get("put") or operation["delete"]
        if key.startswith("p/job/") and "put" in operation:
            kinds.add(job_write_kind(operation.get("v")))
        elif key.startswith("p/shard/"):
            kinds.add("claim" if "put" in operation else "hand-back")
        else:
            kinds.update(kind for prefix, kind in KIND_BY_PREFIX.items() if key.startswith(prefix))
    return kinds


def job_write_kind(value: Any) -> str:
    """The kind of a write to a job's key: a live job's record is a list, an ended one's a map."""
    if not isinstance(value, dict):
        return "submission"
    return "end" if value["s"] == "done" else "cancellation"


async def poll_job_status(p: SimulatedCluster) -> None:
    """Users ask at all controllers, and submit again, soon after one another, about what is new and what is old."""
    while True:
        await anyio.sleep(1.0)
        accepted = [j for j, a in p.asked.items() if a.accepted is not None]
        if not accepted:
            continue
        for jid in dict.fromkeys(
            [*accepted[-2:], *sorted(p.withdrawing)[-1:], p.asker.choice(accepted)]
        ):  # one seed, one course
            for name in p.names:
                p.tasks.start_soon(p.ask, jid, name)
            p.tasks.start_soon(p.resubmit, jid, p.asker.choice(p.names))


async def place_maintenance_order(p: SimulatedCluster, jid: str, **what: Any) -> None:
    """An operator has machines emptied, and repeats that until it is known to be placed."""
    while True:
        for name in ("c2", "c0", "c1"):
            with contextlib.suppress(UnreachableError):
                if (await p.users[name].call("POST", "/upkeep", {"id": jid, **what}, 5.0))[0] in (
                    200,
                    201,
                ):
                    return
        await anyio.sleep(1.0)


def assert_nothing_lost(p: SimulatedCluster, kills: bool) -> None:
    """Nothing is lost by it. Only where claims are lost while two of three controllers are down may a part be without one for a lease."""
    assert sorted(s for n in p.nodes.values() for s in n.context.held_shards) == [0, 1, 2], (
        "nobody holds a part, or two do"
    )
    assert all(f"p/node/{n}" in p.state.store.kv for n in p.names)
    assert all(a.accepted is not None for a in p.asked.values()), "not accepted"
    order = p.state.store.kv.get("p/upkeep/u-1")
    assert order is None or order[0]["state"] != "paused", (
        "u-1 is paused, though its operator was told that it goes on"
    )
    assert len(p.cancelled) + sum(p.told.get(j) == "done" for j in p.withdrawing) >= len(
        p.withdrawing
    )
    over = {j for j in p.asked if p.told.get(j) in ("done", "withdrawn")}
    left = [k for k, (v, _) in p.state.store.kv.items() if k.startswith("c/") and over & set(v)]
    assert not left, f"entries of jobs that are over: {left}"
    assert kills or p.fleet.killed_by_lease == 0
