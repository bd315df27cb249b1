"""The users' words: a submitted job checked field by field, and its compact record form."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

ID = re.compile(r"j-[0-9]{1,18}\Z")
KINDS = {"array": "array", "group": "gang", "daemon": "service"}
RANKS = {"production": 0, "urgent": 1, "normal": 2, "best_effort": 3}
QUEUED, RUNNING, DONE, WITHDRAWN = "queued", "running", "done", "withdrawn"
MAX_TASKS = 100_000


class Malformed(Exception):
    """A submission that is not in the published form."""


@dataclass(slots=True)
class Job:
    """A job as its user described it, in standard words."""

    id: str
    klass: str
    team: str
    kind: str
    rank: int
    n: int
    cpus: float
    gpus: float
    mem: float
    image: str
    image_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None
    at: float  # wall clock when accepted

    @property
    def vec(self) -> tuple[float, float, float]:
        """What each task takes."""
        return (self.cpus, self.gpus, self.mem)

    @property
    def zone_cap(self) -> int:
        """How many tasks may be in one zone."""
        return (self.n + 1) // 2 if self.spread else self.n

    def record(self) -> list[Any]:
        """The compact form kept in the state service and sent between controllers."""
        return [
            self.id,
            self.klass,
            self.team,
            self.kind,
            self.rank,
            self.n,
            self.cpus,
            self.gpus,
            self.mem,
            self.image,
            self.image_gb,
            list(self.types) if self.types is not None else None,
            self.zone,
            int(self.one_zone),
            int(self.spread),
            int(self.spot),
            self.estimate_s,
            self.checkpoint_s,
            self.save_s,
            self.deadline_s,
            self.at,
        ]


def from_record(r: list[Any]) -> Job:
    """The inverse of Job.record; later fields are ignored."""
    return Job(
        r[0],
        r[1],
        r[2],
        r[3],
        r[4],
        r[5],
        r[6],
        r[7],
        r[8],
        r[9],
        r[10],
        tuple(r[11]) if r[11] is not None else None,
        r[12],
        bool(r[13]),
        bool(r[14]),
        bool(r[15]),
        r[16],
        r[17],
        r[18],
        r[19],
        r[20],
    )


def _amount(d: dict[str, Any], key: str, over: bool = False) -> float:
    v = d.get(key)
    if (
        isinstance(v, bool)
        or not isinstance(v, (int, float))
        or not 0 <= v < 1e12
        or (over and v <= 0)
    ):
        raise Malformed(f"{key}: must be an amount")
    return float(v)


def _text(d: dict[str, Any], key: str) -> str:
    v = d.get(key)
    if not isinstance(v, str) or not v or len(v) > 500:
        raise Malformed(f"{key}: must be a name")
    return v


def _flag(d: dict[str, Any], key: str) -> bool:
    v = d.get(key)
    if not isinstance(v, bool):
        raise Malformed(f"{key}: must be true or false")
    return v


def parse(d: Any, at: float) -> Job:
    """Check a submission; Malformed names the field."""
    if not isinstance(d, dict):
        raise Malformed("not an object")
    jid = d.get("id")
    if not isinstance(jid, str) or not ID.match(jid):
        raise Malformed("id: must be like j-000412")
    kind, rank, n = d.get("gait"), d.get("rank"), d.get("chicks")
    if not isinstance(kind, str) or kind not in KINDS:
        raise Malformed("gait: must be array, group or daemon")
    if not isinstance(rank, str) or rank not in RANKS:
        raise Malformed("rank: unknown")
    if isinstance(n, bool) or not isinstance(n, int) or not 1 <= n <= MAX_TASKS:
        raise Malformed("chicks: must be 1 to 100000")
    types = d.get("breeds")
    if types is not None and not (
        isinstance(types, list) and all(isinstance(t, str) and len(t) <= 500 for t in types)
    ):
        raise Malformed("breeds: must be null or a list of names")
    zone = d.get("marsh")
    if zone is not None and (not isinstance(zone, str) or len(zone) > 500):
        raise Malformed("marsh: must be null or a name")
    deadline = _amount(d, "duskS") if d.get("duskS") is not None else None
    return Job(
        id=jid,
        klass=_text(d, "flock"),
        team=_text(d, "keeper"),
        kind=KINDS[kind],
        rank=RANKS[rank],
        n=n,
        cpus=_amount(d, "cores"),
        gpus=_amount(d, "gpus"),
        mem=_amount(d, "ramGb"),
        image=_text(d, "plumage"),
        image_gb=_amount(d, "pullGb"),
        types=tuple(sorted(set(types))) if types is not None else None,
        zone=zone,
        one_zone=_flag(d, "together"),
        spread=_flag(d, "scatter"),
        spot=_flag(d, "driftwood"),
        estimate_s=_amount(d, "flightS"),
        checkpoint_s=_amount(d, "nestS"),
        save_s=_amount(d, "tuckS"),
        deadline_s=deadline,
        at=round(at, 3),
    )


def view(jid: str, stance: str, done: int = 0, running: int = 0) -> dict[str, Any]:
    """What users are answered."""
    return {"id": jid, "stance": stance, "done": done, "running": running}
