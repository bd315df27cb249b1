"""Steps and checks for tests in which store requests fail, arrive late or lose their answers."""

from __future__ import annotations

import contextlib
from typing import Any

import anyio
import orjson

from ploverhall.errors import UnreachableError

from .simulation.cluster import SimulatedCluster

# Key prefix -> kind of write; for jobs and shards the kind also depends on the operation or value
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
    """Return the kinds of write in a request: rows of the table of writes in docs/design.md."""
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
    """Return the kind of a write to a job's key.

    The record of a live job is a list, that of an ended job a map.
    """
    if not isinstance(value, dict):
        return "submission"
    return "end" if value["s"] == "done" else "cancellation"


async def poll_job_status(cluster: SimulatedCluster) -> None:
    """Ask every controller about new and old jobs and repeat their submissions, without end."""
    while True:
        await anyio.sleep(1.0)
        accepted = [j for j, a in cluster.asked.items() if a.accepted is not None]
        if not accepted:
            continue
        for job_id in dict.fromkeys(
            [*accepted[-2:], *sorted(cluster.withdrawing)[-1:], cluster.asker.choice(accepted)]
        ):  # dict.fromkeys keeps the order, so that a seed always gives the same run
            for name in cluster.names:
                cluster.tasks.start_soon(cluster.ask, job_id, name)
            cluster.tasks.start_soon(cluster.resubmit, job_id, cluster.asker.choice(cluster.names))


async def place_maintenance_order(cluster: SimulatedCluster, order_id: str, **what: Any) -> None:
    """Place a maintenance order, and repeat the request until a controller confirms it."""
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
    """Assert that each shard has one holder, and that jobs and orders are as their users were told.

    No lease of a task may have expired, except with `kills`: there, claims were lost while two of
    three controllers were down.
    """
    assert sorted(s for n in cluster.nodes.values() for s in n.context.held_shards) == [0, 1, 2], (
        "nobody holds a shard, or two controllers hold the same one"
    )
    assert all(f"p/node/{n}" in cluster.state.store.kv for n in cluster.names)
    assert all(a.accepted is not None for a in cluster.asked.values()), (
        "not accepted: a submitted job"
    )
    order = cluster.state.store.kv.get("p/upkeep/u-1")
    assert order is None or order[0]["state"] != "paused", (
        "order u-1 is paused, though its operator was told that it had been resumed"
    )
    assert len(cluster.cancelled) + sum(
        cluster.told.get(j) == "done" for j in cluster.withdrawing
    ) >= len(cluster.withdrawing)
    ended = {j for j in cluster.asked if cluster.told.get(j) in ("done", "withdrawn")}
    left = [
        k for k, (v, _) in cluster.state.store.kv.items() if k.startswith("c/") and ended & set(v)
    ]
    assert not left, f"permits of jobs that have ended: {left}"
    assert kills or cluster.fleet.killed_by_lease == 0
