"""An event loop in virtual time: it never waits, and runs the same way every time."""

from __future__ import annotations

import asyncio
import itertools
import math
import selectors
from typing import Any

from anyio._backends import _asyncio as anyio_backend

START = 1000.0  # the clock's first value, not 0: nothing may take 0 for "never"
SCENE_LIMIT_S = 1_800.0  # of virtual time; a scene that is still running then fails


class SceneError(Exception):
    """A scene could not be run to its end: no AssertionError, so no test takes it for the failure that it expects."""


class _Selector(selectors.DefaultSelector):
    """Advances the loop's clock to the next timer where a real selector would wait for it."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> Any:
        found = super().select(0)
        if not found:
            if timeout is None:
                raise RuntimeError("no timer is set: nothing will ever happen again")
            self.loop.at += max(0.0, timeout)
            if self.loop.at > self.loop.limit:
                # Not by a timer: one more in the loop's heap changes the order of those that are due
                # together
                self.loop.limit = math.inf  # the scene's own clean-up may still run
                raise SceneError(f"the scene has not ended after {SCENE_LIMIT_S} s")
        return found


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer, with a reproducible order of tasks.

    anyio keeps tasks and cancel scopes in sets and cancels them in the sets' order, which is by
    address unless their hashes are counted. Without the counted hashes, the order in which a
    controller's parts end (what is still sent, which random number is drawn next) differs from run
    to run of one seed.
    """

    def __init__(self) -> None:
        self.at = START
        self.limit = START + SCENE_LIMIT_S
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)
        _Task.count = _CancelScope.count = itertools.count()
        self.set_task_factory(lambda loop, coro, **kw: _Task(coro, loop=loop, **kw))

    def time(self) -> float:
        """The virtual time, in seconds."""
        return self.at


class _Task(asyncio.Task[Any]):
    """A task whose hash is its number in the order of creation."""

    count = itertools.count()

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.number = next(self.count)
        super().__init__(*args, **kwargs)

    def __hash__(self) -> int:
        return self.number


class _CancelScope(anyio_backend.CancelScope):
    """A cancel scope whose hash is its number in the order of creation."""

    count = itertools.count()
    number: int

    def __new__(cls, *args: Any, **kwargs: Any) -> _CancelScope:
        scope = object.__new__(cls)
        scope.number = next(cls.count)
        return scope

    def __hash__(self) -> int:
        return self.number


anyio_backend.CancelScope = _CancelScope  # type: ignore[misc]
