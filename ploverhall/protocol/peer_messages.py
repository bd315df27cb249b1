"""Defines the messages between controllers: their kinds, and the values on state channels.

Every value is a NamedTuple, which is an array on the wire and names each position in the code. A
received value is read with `Type(*value)`, which also accepts a value that never left the process.
Each job, candidate, permit, offer and attempt has a key of its own, so that a change sends only the
changed value and not everything about a job.

There are three roles: a source owns the jobs of a shard, an owner owns the machines of a shard, and
one controller runs the autoscaler. `coordination.state_channel` carries the values;
`controller.routing` and `controller.peer_links` pass them to the roles.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from ploverhall.errors import InvalidPeerMessageError
from ploverhall.protocol import jobs
from ploverhall.protocol.agents import AttemptId

# Kinds of state channels: the first element of a message. relay_messages has further kinds
SOURCE_TO_OWNER = "s"  # JobUpdate, CandidateUpdate and PermitUpdate by key
OWNER_TO_SOURCE = "o"  # OfferUpdate and AttemptUpdate by key
OWNER_TO_AUTOSCALER = "m"  # MachineUpdate by machine
SOURCE_TO_AUTOSCALER = "d"  # DemandUpdate by job
AUTOSCALER_TO_OWNER = "r"  # lists of machines by DRAIN_KEY, CORDON_KEY and DELETED_KEY
SOURCE_TASK_COUNTS = "c"  # (done, running) by job, sent to every controller that answers users

# Kinds of messages that do not belong to a role
PEER_STATUS = "n"  # a PeerStatus
CANCELLATION_GOSSIP = "k"  # a CancellationGossip
STATUS_REPORT = "v"  # the sender's part of the status report, sent regularly
STATUS_QUERY = "q"  # asks for the receiver's part of the status report, with a selection
STATUS_ANSWER = "a"  # answers the STATUS_QUERY of the same number
STATUS_KINDS = (STATUS_REPORT, STATUS_QUERY, STATUS_ANSWER)

# Keys that exist once on a channel
# OWNER_TO_AUTOSCALER, beside the keys of the machines: the machines that have permits but whose
# state only the cloud can tell
UNOBSERVED_MACHINES_KEY = "?"
DRAIN_KEY = "drain"  # AUTOSCALER_TO_OWNER: machines to drain
CORDON_KEY = "empty"  # AUTOSCALER_TO_OWNER: machines under maintenance orders
DELETED_KEY = "gone"  # AUTOSCALER_TO_OWNER: machines that were deleted

# First letter of a key on a state channel, which determines the type of its value
JOB = "j"  # JobUpdate
CANDIDATE = "w"  # CandidateUpdate
PERMIT = "p"  # PermitUpdate
OFFER = "o"  # OfferUpdate
ATTEMPT = "t"  # AttemptUpdate

NOTICE_EVICTION_REQUESTED = 3  # value of AttemptUpdate.notice

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
    """Source to owner: a job.

    A record of None means that the job is over and only attempts of its tasks remain.
    """

    record: list[Any] | None
    resources: list[float]
    within_guarantee: int  # 1: the job is within its team's guaranteed quota
    # 1: the job fails on every machine, so no machine is suspected for its failures, and the job
    # may not preempt other tasks
    failing_everywhere: int = 0


class CandidateUpdate(NamedTuple):
    """Source to owner: the number of a job's waiting tasks, and where they may run."""

    waiting_tasks: int
    queue_order: list[float]  # sort key in every queue
    zone_limits: dict[str, int] | None  # how many more tasks each zone may take; None: no limit
    avoided_machines: list[str]  # machines that the job has failed on


class PermitUpdate(NamedTuple):
    """Source to owner: a permit that has been stored, and whether its attempt is to stop."""

    machine: str
    epoch: int  # epoch of the owner that made the reservation
    reservation_id: int
    # Time to save a checkpoint before the attempt is stopped; None: the attempt is not to stop
    stop_grace_s: float | None


class OfferUpdate(NamedTuple):
    """Owner to source: capacity is reserved for a candidate."""

    job: str
    machine: str
    zone: str
    cost: float
    victim_count: int  # number of tasks to be preempted for the candidate


class AttemptUpdate(NamedTuple):
    """Owner to source: the state of a permitted attempt."""

    state: str
    reason: str
    checkpoint_saved: int
    # 1: its machine will be terminated, 2: the attempt is preempted, 3: eviction is requested for
    # maintenance, which the source grants within the team's disruption budget
    notice: int
    machine_suspect: int = 0  # 1: other jobs have recently failed on this machine, too


class MachineUpdate(NamedTuple):
    """Owner to autoscaler: the state of one machine."""

    type: str
    zone: str
    spot: int
    free: list[float]
    idle: int
    draining: int  # 1: until it is deleted, 2: while a maintenance order holds
    # 1: the machine has received a termination notice, is partitioned, or has not accepted a
    # fencing token yet
    notice: int
    faulty: int  # 1: the machine is to be replaced
    on_demand_work: int  # 1: the machine runs tasks that may not run on a spot machine
    # Free capacity for services, including the capacity that preemptible tasks use
    free_for_services: list[float]


class DemandUpdate(NamedTuple):
    """Source to autoscaler: the waiting tasks of one job."""

    record: list[Any]
    waiting_tasks: int
    zone_limits: dict[str, int] | None
    queue_order: list[float]


class PeerStatus(NamedTuple):
    """Controller to controller: the sender's link to the key-value store, and its shards."""

    store_age_s: float  # time since the last answer of the key-value store
    epochs: dict[int, int]  # epoch by held shard
    without_heartbeats_s: dict[int, float]  # by held shard: time since any agent's last heartbeat
    write_rate: float = 0.0  # recent writes to the key-value store, in changed keys per second


class Cancellation(NamedTuple):
    """A job that its user has cancelled, and the store's revision of the cancellation."""

    revision: int
    job_id: str


class CancellationEcho(NamedTuple):
    """Identifies the newest gossip message that the sender has received from the receiver."""

    incarnation: str
    sent_at: float  # by the receiver's monotonic clock


class CancellationGossip(NamedTuple):
    """Controller to controller: the cancellations that the sender knows.

    Created and received by `coordination.cancellation_barrier`.
    """

    # The sender knows all cancellations up to this revision; once it has the message, the receiver
    # knows them, too
    known_revision: int
    incarnation: str  # of the sender's process; empty if its release sends only the revision
    sent_at: float  # by the sender's monotonic clock
    uptime_s: float  # of the sender's process
    has_read_store: bool  # whether the sender's process has read the store
    echo: tuple[str, float] | None  # a CancellationEcho; None: no message received yet
    cancellations: list[Cancellation]  # those that the receiver may not know, sorted by revision


def encode_gossip(gossip: CancellationGossip) -> dict[str, object]:
    """Return the gossip message in its wire form.

    Older releases read only the known revision.
    """
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
    """Validate and convert a gossip message.

    All fields but the known revision may be missing, because older releases do not send them.

    Raises:
        InvalidPeerMessageError: A field is not valid; the error names the field.
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
    """Return the time at which the message was sent and the sender's uptime, both in seconds."""
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
    """Return the attempt that the key of a PermitUpdate or AttemptUpdate names.

    Raises:
        ValueError: The key has another form.
    """
    job_id, task, attempt = key[1:].rsplit("/", 2)
    return AttemptId(job_id, int(task), int(attempt))
