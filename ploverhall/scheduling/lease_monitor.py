"""Expiry of the leases of machines that have sent no heartbeats for too long.

The tasks of a machine count as gone only when its lease must have expired by the machine's own
clock, and a fresh read has confirmed that no other controller owns the shard. That ends the
incarnation of the agent that sent the last heartbeat, and no later one. The shard owner calls this
module with each sweep. No I/O.
"""

from __future__ import annotations

from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.reservations import ReservationTable
from ploverhall.scheduling.shard_state import ShardState

# A lease has certainly expired by the machine's clock after the lease time multiplied by this bound
# on clock drift, plus a margin
LEASE_CLOCK_FACTOR = 1.002
LEASE_MARGIN_S = 1.0
FORGET_MACHINE_AFTER_S = 900.0  # time without heartbeats, for a machine without permits


class LeaseMonitor:
    """Tracks the leases of the machines of one shard."""

    def __init__(
        self, state: ShardState, permit_table: PermitTable, reservations: ReservationTable
    ) -> None:
        self.state = state
        self.permit_table = permit_table
        self.reservations = reservations

    def sweep(self, now: float) -> list[Machine]:
        """Expire the leases that are over, and return the machines that can be forgotten."""
        forgotten = []
        for machine in self.state.machines_by_heartbeat.values():
            if now - machine.last_heartbeat_at <= self.state.inventory.unresponsive_after_s:
                break  # all machines that follow have sent a later heartbeat
            last_contact = max(machine.last_answer_at, machine.last_heartbeat_at)
            lease_end = last_contact + self.state.lease_s * LEASE_CLOCK_FACTOR + LEASE_MARGIN_S
            if machine.accepted_token and not machine.lease_expired and now > lease_end:
                # The machine has accepted this owner's token and its lease has not been renewed
                # since, so it has killed all its tasks. This holds only if no other controller
                # could have renewed the lease: after an event-loop stall this controller's state
                # may be outdated, and a source that is not following the store at that time would
                # rely on it. A fresh read begun after the end of the lease shows who holds the
                # shard.
                if self.state.epoch_confirmed_at <= lease_end:
                    self.state.confirmation_needed = True
                    continue
                self._expire_lease(machine)
            elif self._can_forget(machine, now):
                forgotten.append(machine)
            if (
                machine.reservations or machine.index_bucket is not None
            ) and self.state.inventory.unusable(machine, now):
                self.reservations.release_machine(machine)
                self.state.mark_changed(machine)
        return forgotten

    def _can_forget(self, machine: Machine, now: float) -> bool:
        """Return whether a machine has been unresponsive for so long that it can be removed."""
        return (
            (machine.lease_expired or not machine.accepted_token)
            and now - machine.last_heartbeat_at > FORGET_MACHINE_AFTER_S
            and not machine.permits
        )

    def _expire_lease(self, machine: Machine) -> None:
        """Expire the lease of a machine: its agent has killed all tasks there."""
        machine.lease_expired = True
        machine.command_pending = False
        self.state.schedule_commands(machine)
        self.state.mark_changed(machine)
        self.permit_table.expire_machine(machine)
        machine.tasks = {}
        machine.listed_tasks = None
