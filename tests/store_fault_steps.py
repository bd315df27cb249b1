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


async def poll_job_status(cluster: SimulatedCluster) -> None:
    """Users ask every controller about new and old jobs, and submit them again, for ever."""
    while True:
        await anyio.sleep(1.0)
        accepted = [j for j, a in cluster.asked.items() if a.accepted is not None]
        if not accepted:
            continue
        for job_id in dict.fromkeys(
            [*accepted[-2:], *sorted(cluster.withdrawing)[-1:], cluster.asker.choice(accepted)]
        ):  # one seed, one course
            for name in cluster.names:
                cluster.tasks.start_soon(cluster.ask, job_id, name)
            cluster.tasks.start_soon(cluster.resubmit, job_id, cluster.asker.choice(cluster.names))


async def place_maintenance_order(cluster: SimulatedCluster, order_id: str, **what: Any) -> None:
    """Place an operator's order, and repeat the request until it is known to be placed."""
    while True:
        for name in ("c2", "c0", "c1"):
            with contextlib.suppress(UnreachableError):
                if (
                    await cluster.users[name].call("POST", "/upkeep", {"id": order_id, **what}, 5.0)
                )[0] in (
                    200,
                    201,
                ):
                    return
        await anyio.sleep(1.0)


def assert_nothing_lost(cluster: SimulatedCluster, kills: bool) -> None:
    """Every shard has one holder, every job and order is as its user was told, and no lease
    expired. With `kills` tasks may have lost their lease: claims were lost while two of three
    controllers were down.
    """
    assert sorted(s for n in cluster.nodes.values() for s in n.context.held_shards) == [0, 1, 2], (
        "nobody holds a part, or two do"
    )
    assert all(f"p/node/{n}" in cluster.state.store.kv for n in cluster.names)
    assert all(a.accepted is not None for a in cluster.asked.values()), "not accepted"
    order = cluster.state.store.kv.get("p/upkeep/u-1")
    assert order is None or order[0]["state"] != "paused", (
        "u-1 is paused, though its operator was told that it goes on"
    )
    assert len(cluster.cancelled) + sum(
        cluster.told.get(j) == "done" for j in cluster.withdrawing
    ) >= len(cluster.withdrawing)
    over = {j for j in cluster.asked if cluster.told.get(j) in ("done", "withdrawn")}
    left = [
        k for k, (v, _) in cluster.state.store.kv.items() if k.startswith("c/") and over & set(v)
    ]
    assert not left, f"entries of jobs that are over: {left}"
    assert kills or cluster.fleet.killed_by_lease == 0
