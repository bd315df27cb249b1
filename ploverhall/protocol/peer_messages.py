"""What controllers tell one another: typed values on keyed boards (see coordination.boards).

Every value is a NamedTuple: on the wire an array, here a name for every place. What arrives is read
with `Type(*value)`, so a value that never left the process reads the same. One key stands for one
job, candidate, permit, offer or start: a change sends what changed, not all that a job has.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from ploverhall.errors import InvalidPeerMessageError
from ploverhall.protocol import jobs
from ploverhall.protocol.agents import AttemptId

NOTICE_EVICTION_REQUESTED = 3
JOB = "j"
CANDIDATE = "w"
PERMIT = "p"
OFFER = "o"
ATTEMPT = "t"


class JobUpdate(NamedTuple):
    """Source to owner: what a job is. Without a record it is over, and only its tasks remain."""

    record: list[Any] | None
    resources: list[float]
    within_guarantee: int  # of its team's guarantee
    # It fails wherever it starts: no machine is to blame for it, and it may stop nothing
    failing_everywhere: int = 0


class CandidateUpdate(NamedTuple):
    """Source to owner: how many of a job's tasks wait, identical ones as one entry."""

    waiting_tasks: int
    queue_order: list[float]  # place in every queue
    zone_limits: dict[str, int] | None  # how many more each zone may take
    avoided_machines: list[str]  # machines it failed on


class PermitUpdate(NamedTuple):
    """Source to owner: a start that has been written, and how it should stop (None: it should run)."""

    machine: str
    epoch: int  # of the owner that offered the room
    reservation_id: int
    stop_grace_s: float | None


class OfferUpdate(NamedTuple):
    """Owner to source: room is held for a candidate."""

    job: str
    machine: str
    zone: str
    cost: float
    victim_count: int


class AttemptUpdate(NamedTuple):
    """Owner to source: what became of a permit."""

    state: str
    reason: str
    checkpoint_saved: int
    # 1: its machine goes, 2: its room is needed, 3: its machine is to be emptied, when its team
    # can do without
    notice: int
    machine_suspect: int = 0  # other jobs have failed on this machine lately, too


class MachineUpdate(NamedTuple):
    """Owner to renter: one machine."""

    type: str
    zone: str
    spot: int
    free: list[float]
    idle: int
    draining: int  # 1: for good, 2: while an order holds
    notice: int
    faulty: int
    on_demand_work: int  # runs work that can't be on a cheap machine
    # What services could have: the room of work that may be stopped counts as free
    free_for_services: list[float]


class DemandUpdate(NamedTuple):
    """Source to renter: a job's waiting tasks, each once."""

    record: list[Any]
    waiting_tasks: int
    zone_limits: dict[str, int] | None
    queue_order: list[float]


class PeerStatus(NamedTuple):
    """Controller to controller: how it stands with the state service and its workers."""

    store_age_s: float  # of the state service's last answer
    epochs: dict[int, int]  # of the shards held
    without_heartbeats_s: dict[int, float]  # seconds since any worker of a shard held has reported
    write_rate: float = 0.0  # changes a second made lately


class Cancellation(NamedTuple):
    """A job that its user has cancelled, and the revision of the store at which that was written."""

    revision: int
    job_id: str


class CancellationGossip(NamedTuple):
    """Controller to controller: what it knows of cancellations, and that it has heard the other (coordination.cancellations)."""

    # It knows all cancellations up to this revision, and after this word so does whoever gets it
    known_revision: int
    incarnation: str  # of the sender's process; none in a release that says only what it knows
    sent_at: float  # the sender's steady clock
    uptime_s: float  # seconds for which that life has run
    has_read_store: bool  # it has read the store in this life
    echo: tuple[str, float] | None  # life and clock of the receiver's newest word
    cancellations: list[Cancellation]  # what the receiver may not know, by revision


MAX_CANCELLATIONS = 1000  # named in one word


def encode_gossip(gossip: CancellationGossip) -> dict[str, Any]:
    """As it is sent. A release before this one reads `seen`, and passes over the rest."""
    return {
        "seen": gossip.known_revision,
        "life": gossip.incarnation,
        "at": gossip.sent_at,
        "up": gossip.uptime_s,
        "read": gossip.has_read_store,
        "echo": gossip.echo,
        "cancelled": gossip.cancellations,
    }


def decode_gossip(value: Any) -> CancellationGossip:
    """Check a word. Raises Malformed, naming the field."""
    if not isinstance(value, dict):
        raise InvalidPeerMessageError(problem="not a table")
    known, life, echo, cancelled = (
        value.get("seen"),
        value.get("life", ""),
        value.get("echo"),
        value.get("cancelled", []),
    )
    at, up, read = value.get("at", 0.0), value.get("up", 0.0), value.get("read", False)
    if type(known) is not int or not 0 <= known < 1 << 64:
        raise InvalidPeerMessageError("seen")
    if not isinstance(life, str) or len(life) > 64:
        raise InvalidPeerMessageError("life")
    if not _is_finite_number(at) or not _is_finite_number(up) or up < 0:
        raise InvalidPeerMessageError("at")
    if type(read) is not bool:
        raise InvalidPeerMessageError("read")
    if echo is not None and not (
        isinstance(echo, (list, tuple))
        and len(echo) == 2
        and isinstance(echo[0], str)
        and _is_finite_number(echo[1])
    ):
        raise InvalidPeerMessageError("echo")
    if not isinstance(cancelled, (list, tuple)) or len(cancelled) > MAX_CANCELLATIONS:
        raise InvalidPeerMessageError("cancelled")
    named = []
    for one in cancelled:
        if not (
            isinstance(one, (list, tuple))
            and len(one) == 2
            and type(one[0]) is int
            and 0 < one[0] < 1 << 64
            and isinstance(one[1], str)
            and jobs.JOB_ID_PATTERN.match(one[1])
        ):
            raise InvalidPeerMessageError("cancelled")
        named.append(Cancellation(one[0], one[1]))
    return CancellationGossip(
        known,
        life,
        float(at),
        float(up),
        read,
        (echo[0], float(echo[1])) if echo is not None else None,
        named,
    )


def _is_finite_number(value: Any) -> bool:
    return type(value) in (int, float) and math.isfinite(value)


def job_key(job_id: str) -> str:
    """Key of a JobNews."""
    return JOB + job_id


def candidate_key(job_id: str) -> str:
    """Key of a Candidate."""
    return CANDIDATE + job_id


def permit_key(attempt_id: AttemptId) -> str:
    """Key of a PermitNews."""
    return f"{PERMIT}{attempt_id[0]}/{attempt_id[1]}/{attempt_id[2]}"


def attempt_key(attempt_id: AttemptId) -> str:
    """Key of a StartNews."""
    return f"{ATTEMPT}{attempt_id[0]}/{attempt_id[1]}/{attempt_id[2]}"


def offer_key(reservation_id: int) -> str:
    """Key of an OfferNews."""
    return f"{OFFER}{reservation_id}"


def attempt_id_of_key(key: str) -> AttemptId:
    """The start that a permit's or start's key names."""
    job, task, attempt = key[1:].rsplit("/", 2)
    return job, int(task), int(attempt)
