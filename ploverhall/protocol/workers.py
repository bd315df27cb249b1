"""The workers' words: reports in, commands out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

# task states as they are called inside
STATES = {"pulling": "fetching", "waiting": "waiting", "running": "running", "flushing": "saving", "ended": "exited"}
EXITED = "exited"
Key = tuple[str, int, int]  # job, task, attempt


class Malformed(Exception):
    """A report that is not in the published form."""


@dataclass(slots=True)
class Task:
    """One task as a machine reports it."""

    state: str
    why: str
    saved: bool


@dataclass(slots=True)
class Report:
    """One worker's report, from its own mouth or as the body of a /do answer."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    session: int
    seq: int
    token: int
    notice_s: float | None
    tasks: dict[Key, Task]


def _count(d: dict[str, Any], key: str) -> int:
    v = d.get(key)
    if isinstance(v, bool) or not isinstance(v, int) or not 0 <= v < 1 << 64:
        raise Malformed(key)
    return v


def _text(d: dict[str, Any], key: str) -> str:
    v = d.get(key)
    if not isinstance(v, str) or not v:
        raise Malformed(key)
    return v


def split_task(name: Any) -> tuple[str, int]:
    """`j-000412/3` -> ("j-000412", 3)."""
    if not isinstance(name, str):
        raise Malformed("chick")
    job, _, index = name.rpartition("/")
    if not job or not index.isdigit():
        raise Malformed("chick")
    return job, int(index)


def parse(d: Any) -> Report:
    """Check a report."""
    if not isinstance(d, dict):
        raise Malformed("not an object")
    tasks: dict[Key, Task] = {}
    for c in d.get("chicks") or []:
        if not isinstance(c, dict):
            raise Malformed("chicks")
        job, index = split_task(c.get("chick"))
        state = STATES.get(c.get("stance", ""), "running")
        tasks[job, index, _count(c, "hatch")] = Task(state, str(c.get("cause") or ""), bool(c.get("kept")))
    notice = d.get("warningS")
    return Report(
        _text(d, "perch"), _text(d, "endpoint"), _text(d, "breed"), _text(d, "marsh"), bool(d.get("driftwood")),
        _count(d, "tide"), _count(d, "peep"), _count(d, "crest"),
        float(notice) if isinstance(notice, (int, float)) else None, tasks,
    )  # fmt: skip


def run(key: Key) -> dict[str, Any]:
    """Start a task."""
    return {"call": "run", "chick": f"{key[0]}/{key[1]}", "hatch": key[2]}


def kill(key: Key, grace: float) -> dict[str, Any]:
    """Stop a task, giving it time to save."""
    return {"call": "kill", "chick": f"{key[0]}/{key[1]}", "hatch": key[2], "settleS": grace}


def reap(key: Key) -> dict[str, Any]:
    """Forget an exited task."""
    return {"call": "reap", "chick": f"{key[0]}/{key[1]}", "hatch": key[2]}


def answer(token: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """The answer to a report."""
    return {"crest": token, "calls": commands}


def direct(token: int, session: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """The body of /do."""
    return {"crest": token, "tide": session, "calls": commands}


def homing(node: str | None) -> dict[str, Any]:
    """The body of a 421."""
    return {"homing": node} if node else {}
