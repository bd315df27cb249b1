"""What controllers tell one another: the kinds of messages, and the values on state channels.

Every value is a NamedTuple: on the wire an array, here a name for every position. What arrives is
read with `Type(*value)`, so a value that never left the process reads the same. One key stands for
one job, candidate, permit, offer or attempt: a change sends what changed, not all that a job has.

Roles: a source owns a shard's jobs, an owner owns a shard's machines, and one controller runs the
autoscaler. `coordination.state_channel` carries the values, `controller.routing` and
`controller.peer_links` hand them to the roles.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from ploverhall.errors import InvalidPeerMessageError
from ploverhall.protocol import jobs
from ploverhall.protocol.agents import AttemptId

# Kinds of state channels: the first element of a message. See also relay_messages
SOURCE_TO_OWNER = "s"  # JobUpdate, CandidateUpdate and PermitUpdate by key
OWNER_TO_SOURCE = "o"  # OfferUpdate and AttemptUpdate by key
OWNER_TO_AUTOSCALER = "m"  # MachineUpdate by machine
SOURCE_TO_AUTOSCALER = "d"  # DemandUpdate by job
AUTOSCALER_TO_OWNER = "r"  # lists of machines by the keys below
SOURCE_TASK_COUNTS = "c"  # (done, running) by job, for every controller that answers users

# Kinds of messages between controllers that belong to no role
PEER_STATUS = "n"  # a PeerStatus
CANCELLATION_GOSSIP = "k"  # a CancellationGossip
STATUS_REPORT = "v"  # the sender's part of the status report, sent regularly
STATUS_QUERY = "q"  # a question for the receiver's status, with the selection
STATUS_ANSWER = "a"  # the answer to a STATUS_QUERY of the same number
STATUS_KINDS = (STATUS_REPORT, STATUS_QUERY, STATUS_ANSWER)

# Keys of channels with one value of a kind
UNPROVABLE_MACHINES_KEY = "?"  # OWNER_TO_AUTOSCALER, beside the machines
DRAIN_KEY = "drain"  # AUTOSCALER_TO_OWNER: machines to drain
CORDON_KEY = "empty"  # AUTOSCALER_TO_OWNER: machines under maintenance orders
DELETED_KEY = "gone"  # AUTOSCALER_TO_OWNER: machines that were deleted

# First letter of a key on a state channel: which type its value has
JOB = "j"  # JobUpdate
CANDIDATE = "w"  # CandidateUpdate
PERMIT = "p"  # PermitUpdate
OFFER = "o"  # OfferUpdate
ATTEMPT = "t"  # AttemptUpdate

NOTICE_EVICTION_REQUESTED = 3  # of AttemptUpdate.notice

MAX_CANCELLATIONS = 1000  # in one gossip message
MAX_INCARNATION_LENGTH = 64
REVISION_LIMIT = 1 << 64

# Field names of a CancellationGossip
KNOWN_REVISION_FIELD = "seen"
INCARNATION_FIELD = "life"
SENT_AT_FIELD = "at"
UPTIME_FIELD = "up"
HAS_READ_STORE_FIELD = "read"
ECHO_FIELD = "echo"
CANCELLATIONS_FIELD = "cancelled"


class JobUpdate(NamedTuple):
    """Source to owner: a job. Without a record it is over, and only its tasks remain."""

    record: list[Any] | None
    resources: list[float]
    within_guarantee: int  # 1: within its team's guaranteed quota
    # 1: it fails on every machine, so no machine is suspected for it, and it may preempt nothing
    failing_everywhere: int = 0


class CandidateUpdate(NamedTuple):
    """Source to owner: how many of a job's tasks wait."""

    waiting_tasks: int
    queue_order: list[float]  # sort key in every queue
    zone_limits: dict[str, int] | None  # how many more each zone may take
    avoided_machines: list[str]  # machines it failed on


class PermitUpdate(NamedTuple):
    """Source to owner: a permitted attempt that has been stored, and whether it is to stop."""

    machine: str
    epoch: int  # of the owner that made the reservation
    reservation_id: int
    stop_grace_s: float | None  # to save a checkpoint; None: it is not to stop


class OfferUpdate(NamedTuple):
    """Owner to source: capacity is reserved for a candidate."""

    job: str
    machine: str
    zone: str
    cost: float
    victim_count: int  # tasks to be preempted for it


class AttemptUpdate(NamedTuple):
    """Owner to source: the state of a permitted attempt."""

    state: str
    reason: str
    checkpoint_saved: int
    # 1: its machine terminates, 2: it is preempted, 3: eviction requested (maintenance), which the
    # source grants within the team's disruption budget
    notice: int
    machine_suspect: int = 0  # 1: other jobs have failed on this machine lately, too


class MachineUpdate(NamedTuple):
    """Owner to autoscaler: one machine."""

    type: str
    zone: str
    spot: int
    free: list[float]
    idle: int
    draining: int  # 1: until it is deleted, 2: while a maintenance order holds
    # 1: a termination notice has come, it is partitioned, or it has accepted no fencing token yet
    notice: int
    faulty: int  # 1: it is to be replaced
    on_demand_work: int  # 1: runs tasks that may not be on a spot machine
    # Free capacity as services see it: that of preemptible tasks included
    free_for_services: list[float]


class DemandUpdate(NamedTuple):
    """Source to autoscaler: a job's waiting tasks."""

    record: list[Any]
    waiting_tasks: int
    zone_limits: dict[str, int] | None
    queue_order: list[float]


class PeerStatus(NamedTuple):
    """Controller to controller: its link to the key-value store, and the shards that it holds."""

    store_age_s: float  # since the key-value store's last answer
    epochs: dict[int, int]  # by shard held
    without_heartbeats_s: dict[int, float]  # by shard held: since the last heartbeat of any agent
    write_rate: float = 0.0  # recent writes to the key-value store, changes a second


class Cancellation(NamedTuple):
    """A job that its user has cancelled, and the store's revision of that write."""

    revision: int
    job_id: str


class CancellationEcho(NamedTuple):
    """The newest gossip message that its sender has from the receiver."""

    incarnation: str
    sent_at: float  # by the receiver's monotonic clock


class CancellationGossip(NamedTuple):
    """Controller to controller: which cancellations it knows.

    Made and received by `coordination.cancellation_barrier`.
    """

    # The sender knows all cancellations up to this revision, and so does the receiver from then on
    known_revision: int
    incarnation: str  # of the sender's process; empty in a release that sends only the revision
    sent_at: float  # by the sender's monotonic clock
    uptime_s: float  # of the sender's process
    has_read_store: bool  # whether the sender's process has read the store
    echo: tuple[str, float] | None  # a CancellationEcho, None before the first message
    cancellations: list[Cancellation]  # those that the receiver may not know, by revision


def encode_gossip(gossip: CancellationGossip) -> dict[str, object]:
    """Return the gossip as it is sent. Older releases read only the known revision."""
    return {
        KNOWN_REVISION_FIELD: gossip.known_revision,
        INCARNATION_FIELD: gossip.incarnation,
        SENT_AT_FIELD: gossip.sent_at,
        UPTIME_FIELD: gossip.uptime_s,
        HAS_READ_STORE_FIELD: gossip.has_read_store,
        ECHO_FIELD: gossip.echo,
        CANCELLATIONS_FIELD: gossip.cancellations,
    }


def decode_gossip(value: Any) -> CancellationGossip:
    """Check a gossip message. Raises InvalidPeerMessageError, which names the field.

    All fields but the known revision may be missing: older releases do not send them.
    """
    if not isinstance(value, dict):
        raise InvalidPeerMessageError(problem="not a table")
    known_revision = _known_revision(value)
    incarnation = _incarnation(value)
    sent_at, uptime_s = _times(value)
    return CancellationGossip(
        known_revision,
        incarnation,
        sent_at,
        uptime_s,
        _has_read_store(value),
        _echo(value),
        _cancellations(value),
    )


def _known_revision(fields: dict[str, Any]) -> int:
    revision = fields.get(KNOWN_REVISION_FIELD)
    if type(revision) is not int or not 0 <= revision < REVISION_LIMIT:
        raise InvalidPeerMessageError(KNOWN_REVISION_FIELD)
    return revision


def _incarnation(fields: dict[str, Any]) -> str:
    incarnation = fields.get(INCARNATION_FIELD, "")
    if not isinstance(incarnation, str) or len(incarnation) > MAX_INCARNATION_LENGTH:
        raise InvalidPeerMessageError(INCARNATION_FIELD)
    return incarnation


def _times(fields: dict[str, Any]) -> tuple[float, float]:
    """Return when the message was sent, and the sender's uptime."""
    sent_at, uptime_s = fields.get(SENT_AT_FIELD, 0.0), fields.get(UPTIME_FIELD, 0.0)
    if not _is_finite_number(sent_at) or not _is_finite_number(uptime_s) or uptime_s < 0:
        raise InvalidPeerMessageError(SENT_AT_FIELD)
    return float(sent_at), float(uptime_s)


def _has_read_store(fields: dict[str, Any]) -> bool:
    has_read_store = fields.get(HAS_READ_STORE_FIELD, False)
    if type(has_read_store) is not bool:
        raise InvalidPeerMessageError(HAS_READ_STORE_FIELD)
    return has_read_store


def _echo(fields: dict[str, Any]) -> CancellationEcho | None:
    echo = fields.get(ECHO_FIELD)
    if echo is None:
        return None
    if not _is_pair(echo) or not isinstance(echo[0], str) or not _is_finite_number(echo[1]):
        raise InvalidPeerMessageError(ECHO_FIELD)
    return CancellationEcho(echo[0], float(echo[1]))


def _cancellations(fields: dict[str, Any]) -> list[Cancellation]:
    listed = fields.get(CANCELLATIONS_FIELD, [])
    if not isinstance(listed, (list, tuple)) or len(listed) > MAX_CANCELLATIONS:
        raise InvalidPeerMessageError(CANCELLATIONS_FIELD)
    return [_cancellation(item) for item in listed]


def _cancellation(item: Any) -> Cancellation:
    if not _is_pair(item):
        raise InvalidPeerMessageError(CANCELLATIONS_FIELD)
    revision, job_id = item
    if type(revision) is not int or not 0 < revision < REVISION_LIMIT:
        raise InvalidPeerMessageError(CANCELLATIONS_FIELD)
    if not isinstance(job_id, str) or not jobs.JOB_ID_PATTERN.match(job_id):
        raise InvalidPeerMessageError(CANCELLATIONS_FIELD)
    return Cancellation(revision, job_id)


def _is_pair(value: Any) -> bool:
    return isinstance(value, (list, tuple)) and len(value) == 2


def _is_finite_number(value: Any) -> bool:
    return type(value) in (int, float) and math.isfinite(value)


def job_key(job_id: str) -> str:
    """Return the key of a JobUpdate."""
    return JOB + job_id


def candidate_key(job_id: str) -> str:
    """Return the key of a CandidateUpdate."""
    return CANDIDATE + job_id


def permit_key(attempt_id: AttemptId) -> str:
    """Return the key of a PermitUpdate."""
    return f"{PERMIT}{attempt_id.job_id}/{attempt_id.task}/{attempt_id.attempt}"


def attempt_key(attempt_id: AttemptId) -> str:
    """Return the key of an AttemptUpdate."""
    return f"{ATTEMPT}{attempt_id.job_id}/{attempt_id.task}/{attempt_id.attempt}"


def offer_key(reservation_id: int) -> str:
    """Return the key of an OfferUpdate."""
    return f"{OFFER}{reservation_id}"


def attempt_id_of_key(key: str) -> AttemptId:
    """Return the attempt in a PermitUpdate's or AttemptUpdate's key, else raise ValueError."""
    job_id, task, attempt = key[1:].rsplit("/", 2)
    return AttemptId(job_id, int(task), int(attempt))
