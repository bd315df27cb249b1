"""Run a scene, a test's scenario, on a simulated cluster and check the outcome."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import anyio

from ploverhall import log

from .cluster import SimulatedCluster
from .gone_verdict_check import checking_gone_verdicts
from .verdicts import check
from .virtual_time import SceneError, VirtualTimeLoop

Scene = Callable[[SimulatedCluster], Awaitable[None]]
# A logged error with one of these prefixes is a programming error, not a reaction to a fault
PROGRAMMING_ERRORS = (
    "TypeError(",
    "AttributeError(",
    "NameError(",
    "UnboundLocalError(",
    "ImportError(",
)


def play(scene: Scene, seed: int = 1, **kwargs: Any) -> SimulatedCluster:
    """Run a scene in virtual time; check the rules throughout and the served jobs at its end.

    The keyword arguments are those of SimulatedCluster.

    Raises:
        AssertionError: a rule was broken or too few jobs were served.
        SceneError: see `run`.
    """
    cluster = run(scene, seed, **kwargs)
    check(cluster)
    return cluster


def run(scene: Scene, seed: int = 1, **kwargs: Any) -> SimulatedCluster:
    """Run a scene in virtual time, without the check at its end.

    Raises:
        SceneError: the scene does not end, or a controller logs a programming error. In that case
            the outcome results from that error and not from the guard under test.
    """
    made: list[SimulatedCluster] = []
    programming_errors: list[str] = []
    logging.getLogger("asyncio").setLevel(logging.ERROR)

    async def main() -> None:
        cluster = SimulatedCluster(seed, **kwargs)
        made.append(cluster)
        async with anyio.create_task_group() as tasks:
            with (
                _recording_programming_errors(programming_errors, tasks.cancel_scope.cancel),
                checking_gone_verdicts(
                    cluster.gone_verdicts, lambda name: cluster.workers.get(name)
                ),
            ):
                await cluster.start(tasks)
                await scene(cluster)
                tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})
    if programming_errors:
        raise SceneError(f"a controller logged a programming error: {programming_errors[:3]}")
    return made[0]


@contextlib.contextmanager
def _recording_programming_errors(
    programming_errors: list[str], end_scene: Callable[[], None]
) -> Iterator[None]:
    """Record programming errors that a controller logs, and end the scene at the first one.

    Errors raised in a test's own code do not count: the earlier version of a guard that a test
    installs may raise them.
    """
    write = log.error

    def error(event: str, **fields: Any) -> None:
        write(event, **fields)
        in_package = not str(fields.get("at", "")).startswith("test_")
        if in_package and any(
            str(value).startswith(PROGRAMMING_ERRORS) for value in fields.values()
        ):
            programming_errors.append(f"{event} {fields}")
            end_scene()

    log.error = error
    try:
        yield
    finally:
        log.error = write
