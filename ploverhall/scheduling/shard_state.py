"""What the components of a shard's owner share: its epoch, its machines, and what has changed.

Base class of `ShardOwner`; the components (`source_requests`, `permit_table`, `lease_monitor`,
`machine_health`, `command_builder`) hold the same object. Nothing here decides anything but when a fencing token has to rise.
"""

from __future__ import annotations

from collections.abc import Callable

from ploverhall.coordination import fencing_tokens
from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.resources import ResourceVector


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
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.source_count = source_count
        self.lease_s = lease_s
        # Begin of the newest fresh read of the store that showed this owner's epoch in force
        self.epoch_confirmed_at = now
        # A lease has run out by this clock, and a fresh read must show who holds the shard
        self.confirmation_needed = False
        # Flags that tokens sent from now on carry (coordination.restart_recovery)
        self.renewal_grant = 0
        # A token could not be raised any more: a new epoch is wanted
        self.token_space_exhausted = False
        self.inventory = Inventory(heartbeat_interval_s)
        self.machines = self.inventory.machines
        # All machines, the one without heartbeats for longest first
        self.machines_by_heartbeat: dict[str, Machine] = {}
        self.jobs: dict[str, Job] = {}
        self.resources_by_job: dict[str, ResourceVector] = {}
        self.synced_sources: set[int] = set()
        # Attempts whose sources must hear of them
        self.changed_attempts: set[AttemptId] = set()
        # Machines that may need a command
        self.machines_needing_commands: dict[str, Machine] = {}
        # Machines the autoscaler must hear of; None: forgotten
        self.changed_for_autoscaler: dict[str, Machine | None] = {}
        self.needs_step = True
        # By this controller's own store cache
        self.job_ended_in_store: Callable[[str], bool] = lambda job_id: False

    def mark_changed(self, machine: Machine | None) -> None:
        """A machine's free capacity may have changed; None is ignored."""
        if machine is not None:
            self.inventory.mark_changed(machine)
            self.needs_step = True

    def schedule_commands(self, machine: Machine | None) -> None:
        """A machine's free capacity or commands may have changed; None is ignored."""
        if machine is not None:
            self.mark_changed(machine)
            self.machines_needing_commands[machine.name] = machine

    def raise_token(self, machine: Machine) -> bool:
        """Fence what was sent to a machine so far; False if this epoch has no token left for it."""
        token = fencing_tokens.next_token(machine.token)
        if token is None:
            self.token_space_exhausted = True
            return False
        machine.token = token
        return True
