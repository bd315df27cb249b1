"""The workers' words: reports in, commands out."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import Annotated, Any

import msgspec

# task states as they are called inside
STATES = {
    "pulling": "fetching",
    "waiting": "waiting",
    "running": "running",
    "flushing": "saving",
    "ended": "exited",
}
EXITED = "exited"
TASK_NAMES = 65_536  # names kept as parsed: 16 tasks on each of 4,000 machines
Key = tuple[str, int, int]  # job, task, attempt


class Malformed(Exception):
    """A report that is not in the published form."""


@dataclass(slots=True)
class Task:
    """One task as a machine reports it."""

    state: str
    why: str
    saved: bool


class Listed(msgspec.Struct, gc=False):
    """One task as it stands in a report; names as published."""

    chick: str
    hatch: Annotated[int, msgspec.Meta(ge=0)]
    stance: str = ""
    cause: str | None = None
    kept: bool | None = None


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=500)]
Count = Annotated[int, msgspec.Meta(ge=0)]


class _Body(msgspec.Struct, gc=False):
    """A report's body; fields that are not known are ignored."""

    perch: Name
    endpoint: Name
    breed: Name
    marsh: Name
    tide: Count
    peep: Count
    crest: Count
    driftwood: bool | None = None
    warningS: float | None = None  # noqa: N815  (as published)
    chicks: list[Listed] | None = None


@dataclass(slots=True)
class Report:
    """One worker's report, from its own mouth or as the body of a /do answer.

    Most reports list what the one before listed: `listed` is compared with that one, and only what differs is taken apart.
    """

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    session: int
    seq: int
    token: int
    notice_s: float | None
    listed: list[Listed]

    def tasks(self) -> dict[Key, Task]:
        """The listed tasks by key."""
        out: dict[Key, Task] = {}
        for c in self.listed:
            job, index = split_task(c.chick)
            out[job, index, c.hatch] = Task(
                STATES.get(c.stance, "running"), c.cause or "", bool(c.kept)
            )
        return out


@lru_cache(maxsize=TASK_NAMES)
def split_task(name: str) -> tuple[str, int]:
    """`j-000412/3` -> ("j-000412", 3)."""
    job, _, index = name.rpartition("/")
    if not job or not index.isascii() or not index.isdigit() or len(index) > 9:
        raise Malformed("chick")
    return job, int(index)


_decoder = msgspec.json.Decoder(_Body)


def _checked(b: _Body) -> Report:
    listed = b.chicks or []
    for c in listed:
        split_task(c.chick)
        if c.hatch >= 1 << 64:
            raise Malformed("hatch")
    if b.tide >= 1 << 64 or b.peep >= 1 << 64 or b.crest >= 1 << 64:
        raise Malformed("a count of 2^64 or more")
    return Report(
        b.perch,
        b.endpoint,
        b.breed,
        b.marsh,
        bool(b.driftwood),
        b.tide,
        b.peep,
        b.crest,
        b.warningS,
        listed,
    )


def decode(body: bytes) -> Report:
    """Check a report as it came. Raises Malformed, naming the field."""
    try:
        return _checked(_decoder.decode(body))
    except msgspec.MsgspecError as e:
        raise Malformed(str(e)) from e
    except UnicodeDecodeError as e:
        raise Malformed("not UTF-8") from e


def parse(d: Any) -> Report:
    """Check a report that is JSON already."""
    try:
        return _checked(msgspec.convert(d, _Body))
    except msgspec.MsgspecError as e:
        raise Malformed(str(e)) from e


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
