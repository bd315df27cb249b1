"""Provide steps and checks for simulated clusters that several test modules share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import orjson
import pytest

from ploverhall.storage.schema import SHARD_PREFIX

from .simulation.cluster import SimulatedCluster
from .simulation.scene import play

# States of an ended job, as users see them
DONE, CANCELLED = "done", "withdrawn"

Scene = Callable[[SimulatedCluster], Awaitable[None]]


async def start_background_load(
    cluster: SimulatedCluster, duration_s: float = 60.0, services: int = 3
) -> float:
    """Start services with replicas on every shard, and jobs that arrive and finish.

    Jobs arrive for `duration_s`.

    Returns:
        The time, 12 s later, at which the load is running and faults may begin.
    """
    for i in range(services):
        cluster.tasks.start_soon(cluster.submit, cluster.spec(900 + i, gait="daemon", chicks=4))
    cluster.tasks.start_soon(cluster.submit_random_jobs, duration_s, 0.6)
    await anyio.sleep(12.0)
    return cluster.now


def seconds_to_first_start(cluster: SimulatedCluster, name: str, since: float) -> float:
    """Return the seconds from `since` to the first start on a machine of a controller's shard.

    1e9 means that none has started.
    """
    machines = set(cluster.workers_of(name))
    return min(
        (
            at - since
            for at, machine in cluster.fleet.started_on
            if at > since and machine in machines
        ),
        default=1e9,
    )


def assert_scene_breaks(scene: Scene, rule: str, **options: Any) -> None:
    """Run a scene that must break `rule` because a guard has been removed."""
    with pytest.raises(AssertionError, match=rule):
        play(scene, **options)


def innermost_exception(error: BaseException) -> BaseException:
    """Return the first leaf of nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def describe_innermost_exception(error: BaseException) -> str:
    """Return the type and text of the first leaf of nested exception groups."""
    innermost = innermost_exception(error)
    return f"{type(innermost).__name__}: {innermost}"


class ClaimHook:
    """Hold the store's answer back while a claim of shard 0 is at `step`, until `go_on` is set."""

    def __init__(self, cluster: SimulatedCluster, step: str) -> None:
        self.p, self.step, self.claimant = cluster, step, ""
        self.reached, self.go_on = anyio.Event(), anyio.Event()
        self.handle = cluster.state.handle
        cluster.state.handle = self  # type: ignore[assignment, method-assign]

    async def __call__(self, request: Any) -> Any:
        if request.path == "/multi":
            put = next(
                (
                    o
                    for o in orjson.loads(request.body).get("apply", ())
                    if o.get("put") == f"{SHARD_PREFIX}0"
                ),
                None,
            )
            if put is not None:
                self.claimant = put["v"]["node"]
                if self.step == "claim sent" and not self.reached.is_set():
                    self.reached.set()
                    await self.go_on.wait()  # executed only now; its sender may have ended
                answer = await self.handle(request)
                if self.step == "claim landed" and not self.reached.is_set():
                    self.reached.set()
                    await self.go_on.wait()
                return answer
        reads_chunks = (
            self.claimant and request.path == "/kv" and request.query["starts"].startswith("c/")
        )
        if self.step == "cells read" and reads_chunks and not self.reached.is_set():
            self.reached.set()
            await self.go_on.wait()
        return await self.handle(request)
