"""Runs a scene (a test's course of events) on a simulated cluster, and judges it."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import anyio

from ploverhall import log

from .cluster import SimulatedCluster
from .verdicts import check
from .virtual_time import SceneError, VirtualTimeLoop

Scene = Callable[[SimulatedCluster], Awaitable[None]]
# A logged error that begins so is a mistake in code, not a controller's answer to a fault
MISTAKES = ("TypeError(", "AttributeError(", "NameError(", "UnboundLocalError(", "ImportError(")


def play(scene: Scene, seed: int = 1, **kwargs: Any) -> SimulatedCluster:
    """Run a scene in virtual time and judge it: the rules all along, service at its end.

    The keyword arguments are those of SimulatedCluster. Raises AssertionError, or what `run`
    raises.
    """
    cluster = run(scene, seed, **kwargs)
    check(cluster)
    return cluster


def run(scene: Scene, seed: int = 1, **kwargs: Any) -> SimulatedCluster:
    """Run a scene in virtual time, without the verdict at its end.

    Raises SceneError if the scene never ends, or if a controller logs an error that is a mistake in
    code: then whatever the test sees comes from that mistake and not from the guard that it is
    about.
    """
    made: list[SimulatedCluster] = []
    mistakes: list[str] = []
    logging.getLogger("asyncio").setLevel(logging.ERROR)

    async def main() -> None:
        cluster = SimulatedCluster(seed, **kwargs)
        made.append(cluster)
        async with anyio.create_task_group() as tasks:
            with _mistakes_noted(mistakes, tasks.cancel_scope.cancel):
                await cluster.start(tasks)
                await scene(cluster)
                tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})
    if mistakes:
        raise SceneError(f"a mistake in code: {mistakes[:3]}")
    return made[0]


@contextlib.contextmanager
def _mistakes_noted(mistakes: list[str], end_scene: Callable[[], None]) -> Iterator[None]:
    """Within this, an error logged by a controller that is a mistake in code is noted and ends the scene.

    Not one raised by a test's own code: an earlier version put in place of a guard may be wrong so.
    """
    write = log.error

    def error(event: str, **fields: Any) -> None:
        write(event, **fields)
        in_package = not str(fields.get("at", "")).startswith("test_")
        if in_package and any(str(value).startswith(MISTAKES) for value in fields.values()):
            mistakes.append(f"{event} {fields}")
            end_scene()

    log.error = error
    try:
        yield
    finally:
        log.error = write
