"""State shared by the components of a shard owner: its epoch, its machines and pending changes.

`ShardState` is the base class of `ShardOwner`. The components (`source_requests`, `permit_table`,
`lease_monitor`, `machine_health`, `command_builder`) hold the same object. The only logic here
beyond bookkeeping is the raising of fencing tokens.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import islice

from ploverhall.coordination import fencing_tokens
from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.gone_verdicts import GoneVerdicts
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.resources import ResourceVector


class AttemptSet:
    """A set of attempts that keeps the order in which they were added."""

    def __init__(self) -> None:
        self._attempts: dict[AttemptId, None] = {}

    def __len__(self) -> int:
        """Return the number of attempts."""
        return len(self._attempts)

    def __contains__(self, attempt_id: AttemptId) -> bool:
        """Return whether an attempt is in the set."""
        return attempt_id in self._attempts

    def add(self, attempt_id: AttemptId) -> None:
        """Add an attempt."""
        self._attempts[attempt_id] = None

    def add_all(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Add several attempts."""
        self._attempts.update(dict.fromkeys(attempt_ids))

    def discard(self, attempt_id: AttemptId) -> None:
        """Remove an attempt, if it is there."""
        self._attempts.pop(attempt_id, None)

    def take(self, max_count: int) -> list[AttemptId]:
        """Remove and return the first attempts, at most `max_count`."""
        taken = list(islice(self._attempts, max_count))
        for attempt_id in taken:
            del self._attempts[attempt_id]
        return taken


class ShardState:
    """The state of one shard under one epoch; durations and times in seconds."""

    def __init__(
        self,
        shard: int,
        epoch: int,
        source_count: int,
        lease_s: float,
        heartbeat_interval_s: float,
        now: float,
        holder: int | None = None,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.source_count = source_count
        self.lease_s = lease_s
        # The fencing token that every machine starts with
        self.initial_token = fencing_tokens.initial_token(epoch, holder)
        self.superseded_by = 0  # the newest later epoch that an agent has shown
        self.last_heartbeat_at = 0.0  # newest heartbeat of any machine
        self.draining_machines: set[str] = set()
        self.cordoned_machines: set[str] = set()  # for maintenance orders
        # Start of the newest fresh read of the store that showed this epoch in force
        self.epoch_confirmed_at = now
        # Set when a lease has expired by this clock: a fresh read of the store has to show who
        # holds the shard before the tasks of that machine count as gone
        self.confirmation_needed = False
        # Encoded renewal grant of the tokens sent from now on (coordination.restart_recovery)
        self.renewal_grant = 0
        # A token could not be raised within this epoch: a new epoch is needed
        self.token_space_exhausted = False
        self.inventory = Inventory(heartbeat_interval_s)
        self.machines = self.inventory.machines
        # All machines, by the time of their last heartbeat, oldest first
        self.machines_by_heartbeat: dict[str, Machine] = {}
        self.jobs: dict[str, Job] = {}
        self.resources_by_job: dict[str, ResourceVector] = {}
        self.synced_sources: set[int] = set()
        # Attempts with a pending update for their sources
        self.changed_attempts = AttemptSet()
        self.gone_verdicts = GoneVerdicts()
        # Messages of agents that were not newer than an earlier one, and so changed nothing
        self.stale_message_count = 0
        self.raised_token_count = 0
        # Machines that may need a direct command
        self.machines_needing_commands: dict[str, Machine] = {}
        # Machines with a pending update for the autoscaler; None: the machine has been removed
        self.changed_for_autoscaler: dict[str, Machine | None] = {}
        self.needs_step = True
        # Logs a decision; set by the controller
        self.log_debug: Callable[..., None] = lambda *args, **fields: None
        # Whether a job has ended, according to the store cache of this controller
        self.job_ended_in_store: Callable[[str], bool] = lambda job_id: False
        # Whether it has ended by a cancellation
        self.job_cancelled_in_store: Callable[[str], bool] = lambda job_id: False

    def mark_changed(self, machine: Machine | None) -> None:
        """Note that anything on a machine may have changed; None is ignored."""
        if machine is not None:
            self.inventory.mark_changed(machine)
            self.needs_step = True

    def attempt_changed(self, machine: Machine | None, attempt_id: AttemptId) -> None:
        """Note that a permit or a listed task has changed, and so may its machine's commands.

        Does nothing if the machine is None.
        """
        if machine is not None:
            self.inventory.mark_attempt_changed(machine, attempt_id)
            self.schedule_commands(machine)

    def schedule_commands(self, machine: Machine | None) -> None:
        """Note that a machine's usability or commands may have changed; None is ignored."""
        if machine is not None:
            self.inventory.mark_for_refresh(machine)
            self.machines_needing_commands[machine.name] = machine
            self.needs_step = True

    def raise_token(self, machine: Machine) -> bool:
        """Raise a machine's fencing token, so that commands sent under earlier tokens are rejected.

        Returns False if this epoch has no higher token for the machine.
        """
        token = fencing_tokens.next_token(machine.token)
        if token is None:
            self.token_space_exhausted = True
            return False
        machine.set_token(token)
        self.raised_token_count += 1
        return True
