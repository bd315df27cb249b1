"""A deterministic event loop in virtual time, which never waits."""

from __future__ import annotations

import asyncio
import itertools
import math
import selectors
from typing import Any

from anyio._backends import _asyncio as anyio_backend

START = 1000.0  # initial value of the clock; not 0, so that code that takes 0 for "never" fails
SCENE_LIMIT_S = 1_800.0  # of virtual time; a scene that runs longer fails


class SceneError(Exception):
    """An error that kept a scene from running to its end.

    It is not an AssertionError, so no test mistakes it for the failure that it expects.
    """


class _Selector(selectors.DefaultSelector):
    """Advances the loop's clock to the next timer where a real selector would wait for it."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> Any:
        found = super().select(0)
        if not found:
            if timeout is None:
                raise RuntimeError("deadlock: no timer is set and no event is pending")
            self.loop.at += max(0.0, timeout)
            if self.loop.at > self.loop.limit:
                # Checked here and not by a timer: another timer in the loop's heap would change the
                # order of timers that are due together
                self.loop.limit = math.inf  # lets the scene's clean-up still run
                raise SceneError(f"the scene has not ended after {SCENE_LIMIT_S} s")
        return found


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer, with a reproducible order of tasks.

    anyio keeps tasks and cancel scopes in sets and cancels them in the sets' order. By default that
    order depends on memory addresses, so a controller's parts would end in a different order in
    each run of one seed, which changes what is still sent and which random number is drawn next.
    Here the hashes are sequence numbers, which makes the order reproducible.
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
        """Return the virtual time in seconds."""
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
