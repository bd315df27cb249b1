"""What a shard's owner knows of its machines, their permits and reservations, and the jobs there.

Plain data, changed by the shard owner and its components; the index over it is `inventory`'s.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ploverhall.protocol.agents import EXITED, AttemptId, ListedTask, TaskStatus
from ploverhall.scheduling.resources import NO_RESOURCES, ResourceVector

MachinePool = tuple[str, str, bool]  # type, zone, spot
# What decides who may stop a task: priority, within its team's guarantee, team, kind, and whether
# its job has claimed that guarantee
PreemptionClass = tuple[int, bool, str, str, bool]
# Saving a checkpoint before a preemption is worth it only if checkpoints are this far apart
CHECKPOINT_PER_SAVE = 2.0
CHECKPOINT_MARGIN_S = 15.0
SAVE_MARGIN_S = 1.0


@dataclass(slots=True)
class Permit:
    """A start that a source has written: the wanted state of a task attempt on its machine."""

    attempt_id: AttemptId
    source_shard: int
    machine: str
    epoch: int  # of the owner that offered the capacity
    reservation_id: int
    resources: ResourceVector
    image: str
    image_gb: float
    stop_grace_s: float | None = None  # None: should run; else the grace it is stopped with
    run_token: int = 0  # fencing token of the last run command that left, 0: none has
    run_incarnation: int = 0  # of the agent at that time
    run_sent_directly: bool = False  # a run has been tried with a direct command
    kill_sent_grace_s: float | None = None  # grace of the last kill sent directly
    refused: bool = False
    gone: bool = False  # it is not on its machine and can't get there any more
    gone_reason: str = ""  # for people
    victims: tuple[AttemptId, ...] = ()  # what is stopped for it
    running_since: float | None = None  # when it was first seen running
    # It began in its job's turn, after a long wait: higher priorities don't stop it again
    overdue: bool = False
    # A gang's task whose capacity is needed: its source stops the whole gang in order
    evict_requested: bool = False


@dataclass(slots=True)
class Reservation:
    """Capacity held for a candidate until it is permitted, cancelled or the hold time is over."""

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
    overdue: bool = False  # its job has waited for long, and has its turn


@dataclass(slots=True)
class JobTraits:
    """What is known of a job with tasks here: what stopping one of them would mean."""

    priority: int  # 0 is the most important
    within_guarantee: bool  # of its team's guarantee
    team: str
    kind: str
    checkpoint_s: float  # seconds between checkpoints; 0: it makes none
    save_s: float  # seconds that saving one takes
    spot_allowed: bool  # could be on a spot machine
    failing_everywhere: bool = False  # fails wherever it starts
    # It has had work of another team stopped for its team's guarantee
    claimed_guarantee: bool = False

    @property
    def preemption_grace_s(self) -> float:
        """Time to save a checkpoint when stopped for others; 0 unless it keeps more than it costs.

        Without this limit replicas wait for tasks that have saved only a moment ago.
        """
        worth_saving_s = CHECKPOINT_PER_SAVE * self.save_s + CHECKPOINT_MARGIN_S
        return self.save_s + SAVE_MARGIN_S if self.checkpoint_s > worth_saving_s else 0.0

    @property
    def preemption_class(self) -> PreemptionClass:
        """What decides who may stop its tasks."""
        return (
            self.priority,
            self.within_guarantee,
            self.team,
            self.kind,
            self.within_guarantee and self.claimed_guarantee,
        )

    @property
    def yields_to_services(self) -> bool:
        """Whether its capacity counts as free for services."""
        return self.priority > 0 and self.spot_allowed and self.kind == "array"


@dataclass(slots=True, eq=False)
class Machine:
    """One machine: its agent's last heartbeat, what it has been answered, and its capacity."""

    name: str
    address: str
    type: str
    zone: str
    spot: bool
    token: int  # the fencing token that commands to it bear
    incarnation: int = 0
    sequence: int = 0
    seen_token: int = 0  # of its last heartbeat
    accepted_token: bool = False  # its heartbeats have shown a token of this owner
    termination_notice_s: float | None = None
    tasks: dict[AttemptId, TaskStatus] = field(default_factory=dict)
    listed_tasks: list[ListedTask] | None = None  # the list that `tasks` was made of
    last_heartbeat_at: float = 0.0
    last_answer_at: float = 0.0
    lease_expired: bool = False  # unresponsive for longer than its lease
    images: dict[str, float] = field(default_factory=dict)  # image -> GB, least recent first
    draining: bool = False  # the autoscaler wants it empty
    cordoned: bool = False  # a maintenance order wants it empty: nothing new goes there meanwhile
    quarantined_until: float = 0.0
    quarantined_since: float = 0.0
    replacement_due: bool = False  # in quarantine for long enough to be given back
    # Job -> when it failed here; without jobs that fail everywhere
    failures_by_job: dict[str, float] = field(default_factory=dict)
    # Attempts whose run is in an unanswered direct command
    inflight_runs: set[AttemptId] = field(default_factory=set)
    command_pending: bool = False  # a direct command is unanswered
    next_command_at: float = 0.0
    unanswered_commands: int = 0  # direct commands in a row that it has not answered
    # Incarnation and sequence of the newest heartbeat, which answers to commands may have overtaken
    newest_heartbeat: tuple[int, int] = (0, 0)
    stale_heartbeat: bool = False  # the last message was no newer than that
    # Attempts whose run is in the answer to its newest heartbeat
    runs_in_answer: set[AttemptId] = field(default_factory=set)
    # The token that it has to show before it counts as receiving again; 0: it does receive
    awaited_token: int = 0
    awaited_since: float = 0.0
    not_receiving: bool = False  # it has not shown it for so long that it is one-way partitioned
    receiving_again_at: float = -1e9  # when that was last over
    flap_backoff_s: float = 0.0  # one that receives now and then is used again ever later
    permits: dict[AttemptId, Permit] = field(default_factory=dict)
    reservations: dict[int, Reservation] = field(default_factory=dict)
    free: ResourceVector = NO_RESOURCES  # as of the last refresh
    free_for_services: ResourceVector = NO_RESOURCES
    index_bucket: list[Machine] | None = None  # where it stands in the index
    index_position: int = 0
    # Its tasks that somebody might stop, as of the last refresh
    preemptible: dict[AttemptId, PreemptionClass] = field(default_factory=dict)
    preemptible_classes: frozenset[PreemptionClass] = frozenset()
    # `PreemptionIndex.generation` when it last gained such a task or free capacity
    preemptible_since: int = 0

    @property
    def pool(self) -> MachinePool:
        """What it is and where."""
        return (self.type, self.zone, self.spot)


def occupies(permit: Permit, task: TaskStatus | None) -> bool:
    """Whether a permit takes capacity of its machine, given what the machine lists of it."""
    return not permit.gone and not (task.state == EXITED if task is not None else permit.refused)
