"""What controllers tell one another: typed values on keyed boards (see coordination.boards).

Every value is a NamedTuple: on the wire an array, here a name for every place. What arrives is read
with `Type(*value)`, so a value that never left the process reads the same. One key stands for one
job, candidate, permit, offer or start: a change sends what changed, not all that a job has.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from ploverhall.protocol import jobs
from ploverhall.protocol.agents import Key

NOTICE_EMPTY = 3
JOB, CANDIDATE, PERMIT, OFFER, START = "j", "w", "p", "o", "t"


class JobNews(NamedTuple):
    """Source to owner: what a job is. Without a record it is over, and only its tasks remain."""

    record: list[Any] | None
    vec: list[float]
    within: int  # of its team's guarantee
    broken: int = (
        0  # it fails wherever it starts: no machine is to blame for it, and it may stop nothing
    )


class Candidate(NamedTuple):
    """Source to owner: how many of a job's tasks wait, identical ones as one entry."""

    n: int
    order: list[float]  # place in every queue
    zones: dict[str, int] | None  # how many more each zone may take
    avoid: list[str]  # machines it failed on


class PermitNews(NamedTuple):
    """Source to owner: a start that has been written, and how it should stop (None: it should run)."""

    machine: str
    epoch: int  # of the owner that offered the room
    ticket: int
    stop: float | None


class OfferNews(NamedTuple):
    """Owner to source: room is held for a candidate."""

    job: str
    machine: str
    zone: str
    cost: float
    victims: int


class StartNews(NamedTuple):
    """Owner to source: what became of a permit."""

    state: str
    why: str
    saved: int
    notice: int  # 1: its machine goes, 2: its room is needed, 3: its machine is to be emptied, when its team can do without
    suspect: int = 0  # other jobs have failed on this machine lately, too


class MachineNews(NamedTuple):
    """Owner to renter: one machine."""

    type: str
    zone: str
    spot: int
    room: list[float]
    empty: int
    draining: int  # 1: for good, 2: while an order holds
    notice: int
    faulty: int
    firm: int  # runs work that can't be on a cheap machine
    firm_room: list[
        float
    ]  # what services could have: the room of work that may be stopped counts as free


class DemandNews(NamedTuple):
    """Source to renter: a job's waiting tasks, each once."""

    record: list[Any]
    n: int
    zones: dict[str, int] | None
    order: list[float]


class NodeNews(NamedTuple):
    """Controller to controller: how it stands with the state service and its workers."""

    age: float  # of the state service's last answer
    epochs: dict[int, int]  # of the shards held
    quiet: dict[int, float]  # seconds since any worker of a shard held has reported
    writes: float = 0.0  # changes a second made lately


class Cancelled(NamedTuple):
    """A job that its user has cancelled, and the revision of the store at which that was written."""

    version: int
    job: str


class Word(NamedTuple):
    """Controller to controller: what it knows of cancellations, and that it has heard the other (coordination.cancellations)."""

    known: int  # it knows all cancellations up to this revision, and after this word so does whoever gets it
    life: str  # of the sender's process; none in a release that says only what it knows
    at: float  # the sender's steady clock
    up: float  # seconds for which that life has run
    read: bool  # it has read the store in this life
    echo: tuple[str, float] | None  # life and clock of the receiver's newest word
    cancelled: list[Cancelled]  # what the receiver may not know, by revision


class Malformed(ValueError):
    """A message that is not in its form."""


MOST_CANCELLED = 1000  # named in one word


def pack_word(w: Word) -> dict[str, Any]:
    """As it is sent. A release before this one reads `seen`, and passes over the rest."""
    return {
        "seen": w.known,
        "life": w.life,
        "at": w.at,
        "up": w.up,
        "read": w.read,
        "echo": w.echo,
        "cancelled": w.cancelled,
    }


def word(value: Any) -> Word:
    """Check a word. Raises Malformed, naming the field."""
    if not isinstance(value, dict):
        raise Malformed("not a table")
    known, life, echo, cancelled = (
        value.get("seen"),
        value.get("life", ""),
        value.get("echo"),
        value.get("cancelled", []),
    )
    at, up, read = value.get("at", 0.0), value.get("up", 0.0), value.get("read", False)
    if type(known) is not int or not 0 <= known < 1 << 64:
        raise Malformed("seen")
    if not isinstance(life, str) or len(life) > 64:
        raise Malformed("life")
    if not _time(at) or not _time(up) or up < 0:
        raise Malformed("at")
    if type(read) is not bool:
        raise Malformed("read")
    if echo is not None and not (
        isinstance(echo, (list, tuple))
        and len(echo) == 2
        and isinstance(echo[0], str)
        and _time(echo[1])
    ):
        raise Malformed("echo")
    if not isinstance(cancelled, (list, tuple)) or len(cancelled) > MOST_CANCELLED:
        raise Malformed("cancelled")
    named = []
    for one in cancelled:
        if not (
            isinstance(one, (list, tuple))
            and len(one) == 2
            and type(one[0]) is int
            and 0 < one[0] < 1 << 64
            and isinstance(one[1], str)
            and jobs.ID.match(one[1])
        ):
            raise Malformed("cancelled")
        named.append(Cancelled(one[0], one[1]))
    return Word(
        known,
        life,
        float(at),
        float(up),
        read,
        (echo[0], float(echo[1])) if echo is not None else None,
        named,
    )


def _time(value: Any) -> bool:
    return type(value) in (int, float) and math.isfinite(value)


def job_key(job: str) -> str:
    """Key of a JobNews."""
    return JOB + job


def candidate_key(job: str) -> str:
    """Key of a Candidate."""
    return CANDIDATE + job


def permit_key(key: Key) -> str:
    """Key of a PermitNews."""
    return f"{PERMIT}{key[0]}/{key[1]}/{key[2]}"


def start_key(key: Key) -> str:
    """Key of a StartNews."""
    return f"{START}{key[0]}/{key[1]}/{key[2]}"


def offer_key(ticket: int) -> str:
    """Key of an OfferNews."""
    return f"{OFFER}{ticket}"


def split_key(key: str) -> Key:
    """The start that a permit's or start's key names."""
    job, task, attempt = key[1:].rsplit("/", 2)
    return job, int(task), int(attempt)
