"""Records of a shard's machines, their permits and reservations, and the traits of their jobs.

The classes hold data that the shard owner and its components change; `inventory` indexes it.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from ploverhall.protocol.agents import EXITED, AttemptId, ListedTask, TaskStatus
from ploverhall.scheduling.resources import NO_RESOURCES, ResourceVector

MachinePool = tuple[str, str, bool]  # type, zone, spot
# The properties that decide which work may preempt a task: priority, whether it is within its
# team's guarantee, team, kind, and whether its job has claimed that guarantee
PreemptionClass = tuple[int, bool, str, str, bool]
# A task is given time to save a checkpoint before a preemption only if its checkpoints are further
# apart than this many times the time to save one, plus CHECKPOINT_MARGIN_S
MIN_CHECKPOINT_INTERVAL_PER_SAVE = 2.0
CHECKPOINT_MARGIN_S = 15.0
SAVE_MARGIN_S = 1.0


@dataclass(slots=True)
class Permit:
    """Desired state of a task attempt on its machine, as written by its source."""

    attempt_id: AttemptId
    source_shard: int
    machine: str
    epoch: int  # of the owner that offered the capacity
    reservation_id: int
    resources: ResourceVector
    image: str
    image_gb: float
    stop_grace_s: float | None = None  # None: it should run; else the grace period of its stop
    run_token: int = 0  # fencing token of the last run command sent; 0: none was
    run_incarnation: int = 0  # the agent's incarnation at that time
    run_sent_directly: bool = False  # a run has been sent as a direct command
    kill_sent_grace_s: float | None = None  # grace period of the last kill sent
    refused: bool = False
    gone: bool = False  # it is not on its machine and can't start there later
    gone_reason: str = ""  # text for people
    victims: tuple[AttemptId, ...] = ()  # attempts that are stopped for it
    running_since: float | None = None  # when it was first seen running
    # It was placed while its job was overdue: higher priorities don't preempt it again
    overdue: bool = False
    # A task of a gang whose capacity is needed: its source stops the whole gang in an orderly way
    evict_requested: bool = False


@dataclass(slots=True)
class Reservation:
    """Capacity held for a candidate until its permit, its cancellation or its expiry."""

    id: int
    source_shard: int
    job_id: str
    machine: str
    zone: str
    expires_at: float
    resources: ResourceVector
    image: str
    cost: float  # in seconds, see `scoring` and `preemption`
    victims: tuple[AttemptId, ...] = ()
    overdue: bool = False  # its job was overdue: queued above its priority after a long wait


@dataclass(slots=True)
class JobTraits:
    """Properties of a job that decide whether and how its tasks may be preempted."""

    priority: int  # 0 is the most important
    within_guarantee: bool  # the job is within its team's guarantee
    team: str
    kind: str
    checkpoint_s: float  # seconds between checkpoints; 0: it saves none
    save_s: float  # seconds to save a checkpoint
    spot_allowed: bool  # may run on spot machines
    failing_everywhere: bool = False  # its tasks fail on every machine
    # It has preempted work by its team's guarantee, or taken over such a claim
    claimed_guarantee: bool = False

    @property
    def preemption_grace_s(self) -> float:
        """Return the seconds for saving a checkpoint at a preemption; 0 if not worth the wait.

        Without this limit replicas would wait for tasks that have saved only a moment ago.
        """
        worth_saving_s = MIN_CHECKPOINT_INTERVAL_PER_SAVE * self.save_s + CHECKPOINT_MARGIN_S
        return self.save_s + SAVE_MARGIN_S if self.checkpoint_s > worth_saving_s else 0.0

    @property
    def preemption_class(self) -> PreemptionClass:
        """Return the properties that decide which work may preempt its tasks."""
        return (
            self.priority,
            self.within_guarantee,
            self.team,
            self.kind,
            self.within_guarantee and self.claimed_guarantee,
        )

    @property
    def yields_to_services(self) -> bool:
        """Return whether its capacity counts as available to services."""
        return self.priority > 0 and self.spot_allowed and self.kind == "array"


class AttemptUsage(NamedTuple):
    """What one attempt contributes to the totals of its machine."""

    resources: ResourceVector | None  # None: it uses no capacity
    yielded: ResourceVector | None  # counts as available to services; None: it does not yield
    preemption_class: PreemptionClass | None  # None: it is not preemptible
    image: str | None  # of a permit that is not gone
    is_unknown: bool  # listed without a permit, and its job is unknown
    may_be_listed: bool  # by the machine, now or later


@dataclass(slots=True)
class MachineUsage:
    """Totals of what is on one machine, as of their last update (`machine_usage`)."""

    attempts: dict[AttemptId, AttemptUsage] = field(default_factory=dict)
    used: ResourceVector = NO_RESOURCES  # by permits and listed tasks
    yielded: ResourceVector = NO_RESOURCES  # the part of `used` that yields to services
    reserved: ResourceVector = NO_RESOURCES
    # Listed attempts of unknown jobs: each may use the whole machine
    unknown_attempts: dict[AttemptId, None] = field(default_factory=dict)
    preemptible: dict[AttemptId, PreemptionClass] = field(default_factory=dict)
    # Numbers of preemptible attempts, of permits that are not gone, and of reservations; never 0
    preemptible_by_class: Counter[PreemptionClass] = field(default_factory=Counter)
    permits_by_image: Counter[str] = field(default_factory=Counter)
    permits_by_job: Counter[str] = field(default_factory=Counter)
    reservations_by_image: Counter[str] = field(default_factory=Counter)
    reservations_by_job: Counter[str] = field(default_factory=Counter)
    listed_count: int = 0  # attempts that the machine lists or may list later
    # It has gained a preemptible attempt since the preemption index last read it
    gained_preemptible: bool = False
    # Attempts to be read again
    changed_attempts: dict[AttemptId, None] = field(default_factory=dict)
    must_rebuild: bool = True  # all attempts and reservations are to be read again
    changes_since_rebuild: int = 0


@dataclass(slots=True, eq=False)
class Machine:
    """One machine: its agent's last heartbeat, the messages sent to it, and its capacity."""

    name: str
    address: str
    type: str
    zone: str
    spot: bool
    token: int  # the fencing token of commands to it
    incarnation: int = 0
    sequence: int = 0
    seen_token: int = 0  # fencing token of its last heartbeat
    accepted_token: bool = False  # its heartbeats have shown a token of this owner
    termination_notice_s: float | None = None
    tasks: dict[AttemptId, TaskStatus] = field(default_factory=dict)
    listed_tasks: list[ListedTask] | None = None  # the list from which `tasks` was built
    last_heartbeat_at: float = 0.0
    last_answer_at: float = 0.0
    lease_expired: bool = False  # unresponsive for longer than its lease
    images: dict[str, float] = field(default_factory=dict)  # image -> GB, least recently used first
    draining: bool = False  # being emptied for the autoscaler
    cordoned: bool = False  # being emptied for maintenance: it gets no new work meanwhile
    quarantined_until: float = 0.0
    quarantined_since: float = 0.0
    replacement_due: bool = False  # in quarantine for long enough to be replaced
    # Job id -> time of its last failure here; without jobs that fail everywhere
    failures_by_job: dict[str, float] = field(default_factory=dict)
    # Attempts whose run was sent directly under the current token (`run_fence`), and unfinished jobs
    # of which such attempts were reaped with a result
    unfenced_runs: set[AttemptId] = field(default_factory=set)
    jobs_with_reaped_results: set[str] = field(default_factory=set)
    command_pending: bool = False  # a direct request is unanswered
    next_command_at: float = 0.0
    unanswered_commands: int = 0  # consecutive direct requests without an answer
    # Incarnation and sequence of the newest heartbeat; answers to direct requests may be newer
    newest_heartbeat: tuple[int, int] = (0, 0)
    stale_heartbeat: bool = False  # the last message was not newer than the messages before it
    # Attempts whose run command is in the answer to its newest heartbeat
    runs_in_answer: set[AttemptId] = field(default_factory=set)
    # The token that it has to show before it counts as receiving messages again; 0: it does receive
    awaited_token: int = 0
    awaited_since: float = 0.0
    not_receiving: bool = False  # awaited for too long: one-way partitioned
    receiving_again_at: float = -1e9  # end of its last one-way partition
    flap_backoff_s: float = 0.0  # wait before it is used again; grows if it flaps
    permits: dict[AttemptId, Permit] = field(default_factory=dict)
    reservations: dict[int, Reservation] = field(default_factory=dict)
    free: ResourceVector = NO_RESOURCES  # at the last refresh
    free_for_services: ResourceVector = NO_RESOURCES
    # How many more tasks its heartbeats can list
    free_task_slots: int = 0
    index_bucket: list[Machine] | None = None  # its bucket in the index; None: not indexed
    index_position: int = 0
    usage: MachineUsage = field(default_factory=MachineUsage)
    # Classes of its preemptible tasks at the last refresh
    preemptible_classes: frozenset[PreemptionClass] = frozenset()
    # `PreemptionIndex.generation` when it last gained a preemptible task or free capacity
    preemptible_since: int = 0

    def set_token(self, token: int) -> None:
        """Set the fencing token of the commands to this machine; a higher one fences all runs."""
        if token != self.token:
            self.token = token
            self.forget_fenced_runs()

    def forget_fenced_runs(self) -> None:
        """Note that the agent will reject copies of all runs sent so far."""
        self.unfenced_runs.clear()
        self.jobs_with_reaped_results.clear()

    @property
    def pool(self) -> MachinePool:
        """Return its type, zone and whether it is a spot machine."""
        return (self.type, self.zone, self.spot)


def occupies(permit: Permit, task: TaskStatus | None) -> bool:
    """Return whether a permit uses capacity; `task` is its entry in the machine's list, if any."""
    return not permit.gone and not (task.state == EXITED if task is not None else permit.refused)
