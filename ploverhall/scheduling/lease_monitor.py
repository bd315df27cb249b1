"""Expiry of the leases of machines that have sent no heartbeats for too long.

Only when a machine's lease must have run out by its own clock, and this owner's shard is known to
be nobody else's, do its tasks count as gone. Called by the shard owner with each sweep; no I/O.
"""

from __future__ import annotations

from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.reservations import ReservationTable
from ploverhall.scheduling.shard_state import ShardState

# A lease of the machine's clock is over for sure: clocks differ by this factor, and a margin
LEASE_CLOCK_FACTOR = 1.002
LEASE_MARGIN_S = 1.0
FORGET_MACHINE_AFTER_S = 900.0  # without heartbeats and permits


class LeaseMonitor:
    """Follows the leases of the machines of one shard."""

    def __init__(
        self, state: ShardState, permit_table: PermitTable, reservations: ReservationTable
    ) -> None:
        self.state = state
        self.permit_table = permit_table
        self.reservations = reservations

    def sweep(self, now: float) -> list[Machine]:
        """Expire the leases that are over; the machines that can be forgotten."""
        forgotten = []
        for machine in self.state.machines_by_heartbeat.values():
            if now - machine.last_heartbeat_at <= self.state.inventory.unresponsive_after_s:
                break  # and all that follow have sent a heartbeat later
            last_contact = max(machine.last_answer_at, machine.last_heartbeat_at)
            lease_end = last_contact + self.state.lease_s * LEASE_CLOCK_FACTOR + LEASE_MARGIN_S
            if machine.accepted_token and not machine.lease_expired and now > lease_end:
                # It took this owner's token, and its lease has not been renewed since: it has
                # killed everything. But only if nobody else could renew it: a controller wakes from
                # an event-loop stall with old beliefs, and a source that doesn't follow the store
                # just then would believe it. A fresh read begun later shows who holds the shard.
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
        return (
            (machine.lease_expired or not machine.accepted_token)
            and now - machine.last_heartbeat_at > FORGET_MACHINE_AFTER_S
            and not machine.permits
        )

    def _expire_lease(self, machine: Machine) -> None:
        """Nothing runs on a machine any more: its lease has run out."""
        machine.lease_expired = True
        machine.command_pending = False
        self.state.schedule_commands(machine)
        self.permit_table.expire_machine(machine)
        machine.tasks = {}
        machine.listed_tasks = None
