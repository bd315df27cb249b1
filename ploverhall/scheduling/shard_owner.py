"""The owner of one shard of the fleet: tracks its machines and decides what runs on them.

`ShardOwner` processes source updates, heartbeats and the passing of time, and produces commands for
agents and updates for the sources and the autoscaler. Its components handle the requests of the
sources (`source_requests`), the agents' messages (`heartbeat_reception`), the permits
(`permit_table`), the leases of the machines (`lease_monitor`) and their health (`machine_health`),
the placement of candidates (`placement`), the commands (`command_builder`) and late copies of these
(`run_fence`). It does no I/O: messages and the clock are passed in. Work is
incremental: only what has changed is processed. The controller's scheduling loop and its request
handlers call this module.
"""

from __future__ import annotations

from random import Random
from typing import Any

from ploverhall.coordination import fencing_tokens
from ploverhall.protocol import peer_messages
from ploverhall.protocol.agents import Heartbeat
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.peer_messages import (
    AttemptUpdate,
    MachineUpdate,
)
from ploverhall.scheduling import shard_updates
from ploverhall.scheduling.command_builder import CommandBuilder
from ploverhall.scheduling.heartbeat_reception import HeartbeatReception
from ploverhall.scheduling.lease_monitor import LeaseMonitor
from ploverhall.scheduling.machine_health import MachineQuarantine, ReceptionMonitor
from ploverhall.scheduling.machines import Machine, Permit
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.placement import Placement
from ploverhall.scheduling.run_fence import RunFence
from ploverhall.scheduling.shard_state import ShardState
from ploverhall.scheduling.source_requests import SourceRequests

TOKEN_BITS = fencing_tokens.TOKEN_BITS
# Wait before the next direct command to a machine that has not answered one: each unanswered
# command uses up a fencing token
COMMAND_RETRY_S = 5.0
LONG_COMMAND_RETRY_S = 60.0
# Unanswered commands in a row after which LONG_COMMAND_RETRY_S applies. The machine still receives
# its commands in the answers to its heartbeats.
UNANSWERED_BEFORE_LONG_RETRY = 8
# Attempts whose updates one step sends to the sources
MAX_ATTEMPT_UPDATES_PER_STEP = 4_000
SWEEP_INTERVAL_S = 0.25  # between checks of time-based state (leases, quarantines, backoffs)


class ShardOwner(ShardState):
    """Scheduler for the machines of one shard under one epoch; times are in seconds."""

    def __init__(
        self,
        shard: int,
        epoch: int,
        source_count: int,
        lease_s: float,
        heartbeat_interval_s: float,
        hold_s: float,
        sample: int,
        rng: Random,
        now: float,
        holder: int | None = None,
    ) -> None:
        super().__init__(shard, epoch, source_count, lease_s, heartbeat_interval_s, now, holder)
        self.started = now
        self.placement = Placement(self.inventory, hold_s, sample, rng)
        self.source_updates: dict[tuple[int, str], Any] = self.placement.reservations.source_updates
        self.permit_table = PermitTable(self, self.placement.reservations)
        self.permits = self.permit_table.permits
        self.quarantine = MachineQuarantine(self)
        self.reception = ReceptionMonitor(self)
        self.heartbeats = HeartbeatReception(
            self, self.permit_table, self.quarantine, self.reception
        )
        self.source_requests = SourceRequests(
            self, self.permit_table, self.placement, self.quarantine
        )
        self.lease_monitor = LeaseMonitor(self, self.permit_table, self.placement.reservations)
        self.run_fence = RunFence(self)
        self.command_builder = CommandBuilder(self, self.permit_table, self.run_fence)
        self.next_sweep_at = 0.0

    @property
    def machine_types(self) -> dict[str, MachineType]:
        """Return the machine types that the cloud offers, by name."""
        return self.inventory.machine_types

    @machine_types.setter
    def machine_types(self, types: dict[str, MachineType]) -> None:
        self.inventory.machine_types = types
        for machine in self.machines.values():
            self.inventory.mark_for_refresh(machine)
        self.needs_step = True

    # -- requests of sources -----------------------------------------------------------------

    def on_source_update(
        self, source_shard: int, full: bool, changes: dict[str, Any], now: float
    ) -> None:
        """Apply changes to a source's jobs, candidates and permits.

        With `full`, `changes` is the complete state of the source: other known keys are removed.
        """
        self.source_requests.update(source_shard, full, changes, now)

    def job_ended(self, job_id: str, now: float) -> None:
        """Stop a job that has ended according to the key-value store.

        This works even while the job's source is unreachable.
        """
        self.run_fence.job_ended(job_id)
        self.source_requests.end_job(job_id, now)

    # -- heartbeats --------------------------------------------------------------------------

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: float, direct: bool = False, relayed: bool = False
    ) -> Machine | None:
        """Process a heartbeat and return its machine; None if this owner has been superseded.

        `direct` marks the answer to a direct command, `relayed` a heartbeat that came through
        another controller. Only a message newer than all earlier ones is used. Any other message
        sets `Machine.stale_heartbeat`: it is no evidence that the machine is alive, and its answer
        renews no lease, because the agent has sent another heartbeat since and waits for the answer
        to that one.
        """
        return self.heartbeats.receive(heartbeat, now, direct, relayed)

    # -- time --------------------------------------------------------------------------------

    def on_event_loop_stall(self, seconds: float, now: float) -> None:
        """Exclude an event-loop stall of `seconds` from each machine's time without heartbeats."""
        for machine in self.machines.values():
            machine.last_heartbeat_at = min(now, machine.last_heartbeat_at + seconds)
            # A new process of this controller may have been started meanwhile, and may answer the
            # machine with this process's tokens. Missing heartbeats are therefore no evidence until
            # the machine has sent one here again (coordination.restart_recovery).
            machine.accepted_token = False
        self.last_heartbeat_at = (
            min(now, self.last_heartbeat_at + seconds) if self.last_heartbeat_at else 0.0
        )
        self.next_sweep_at = now + SWEEP_INTERVAL_S

    def advance_time(self, now: float) -> None:
        """Expire reservations, and leases of unresponsive machines, that are over at `now`.

        Applies the rest of large updates first.
        """
        self.source_requests.pending.run_step(now)
        self.placement.reservations.expire(now)
        if now >= self.next_sweep_at:
            self.next_sweep_at = now + SWEEP_INTERVAL_S
            self._sweep(now)

    def _sweep(self, now: float) -> None:
        """Check unresponsive, unconfirmed and quarantined machines.

        All other machines add no cost, whatever the size of the shard.
        """
        forgotten = self.lease_monitor.sweep(now)
        self.reception.sweep(now)
        self.quarantine.sweep(now)
        for machine in forgotten:
            self._forget_machine(machine)
            self.inventory.permits_by_machine.pop(machine.name, None)
            self.changed_for_autoscaler[machine.name] = None

    # -- removal of machines -----------------------------------------------------------------

    def _forget_machine(self, machine: Machine) -> None:
        """Remove a machine from the inventory and from the monitors."""
        self.inventory.remove(machine)
        self.machines_by_heartbeat.pop(machine.name, None)
        self.quarantine.forget(machine)
        self.reception.forget(machine)

    def on_machines_deleted(self, names: list[str]) -> None:
        """Remove machines whose deletion the cloud has confirmed."""
        for name in names:
            if name in self.inventory.deleted_machines:
                continue
            self.inventory.deleted_machines.add(name)
            machine = self.machines.get(name)
            if machine is not None:
                self.placement.reservations.release_machine(machine)
                self._forget_machine(machine)
            self.machines_needing_commands.pop(name, None)
            self.changed_for_autoscaler[name] = None
            for permit in self.inventory.permits_by_machine.get(name, {}).values():
                self.permit_table.check_gone(permit)
            self.needs_step = True

    def set_cordoned(self, names: list[str]) -> None:
        """Cordon exactly these machines for maintenance; sources are asked to evict their work."""
        cordoned = set(names)
        for name in sorted(cordoned ^ self.cordoned_machines):
            machine = self.machines.get(name)
            if machine is not None:
                machine.cordoned = name in cordoned
                self.changed_attempts.add_all(machine.permits)
                self.mark_changed(machine)
        self.cordoned_machines = cordoned

    def set_draining(self, names: list[str]) -> None:
        """Drain these machines for the autoscaler.

        Draining is never reverted: a scale-in whose outcome is unknown may still be executed.
        """
        draining = set(names)
        for name in sorted(draining - self.draining_machines):
            machine = self.machines.get(name)
            if machine is not None and not machine.draining:
                machine.draining = True
                self.mark_changed(machine)
        self.draining_machines = draining

    # -- placement ---------------------------------------------------------------------------

    def place_candidates(self, now: float) -> None:
        """Reserve capacity for every candidate that fits; the others stay in the queue."""
        for machine in self.inventory.refresh_changed(now):
            self.changed_for_autoscaler[machine.name] = machine
            if machine.reservations and self.inventory.unusable(machine, now):
                self.placement.reservations.release_machine(machine)
        self.inventory.refresh_changed(now)
        self.placement.preemption.victims = self.permit_table.refresh_victims()
        self.placement.place_waiting(now)
        for machine in self.inventory.changed_machines.values():
            self.changed_for_autoscaler[machine.name] = machine

    @property
    def has_unfinished_work(self) -> bool:
        """Return whether the last step has left work for the next one."""
        return (
            self.placement.is_unfinished
            or self.inventory.is_refresh_unfinished
            or bool(self.source_requests.pending)
            or len(self.changed_attempts) >= MAX_ATTEMPT_UPDATES_PER_STEP
        )

    # -- commands ----------------------------------------------------------------------------

    def commands_for(
        self, machine: Machine, now: float, direct: bool = False
    ) -> list[dict[str, Any]]:
        """Return the commands for an agent, and record its runs as sent."""
        return self.command_builder.commands_for(machine, direct)

    def direct_commands(self, now: float) -> list[tuple[Machine, dict[str, Any]]]:
        """Return (machine, request body) for each direct request to send."""
        return self.command_builder.direct_commands(now)

    def on_direct_answer(self, machine: Machine, heartbeat: Heartbeat | None, now: float) -> None:
        """Process the answer to a direct command; `heartbeat` is None if no answer arrived."""
        machine.command_pending = False
        if heartbeat is None:
            self._on_command_unanswered(machine, now)
        elif self.machines.get(machine.name) is machine:
            # A late answer must not add a removed machine again: the sweep would never check it
            machine.unanswered_commands = 0
            self.on_heartbeat(heartbeat, now, direct=True)
        if self.machines.get(machine.name) is machine:
            # Until this answer it did not count as empty for the autoscaler
            self.schedule_commands(machine)

    def _on_command_unanswered(self, machine: Machine, now: float) -> None:
        """Fence an unanswered direct command, which may still be executed, and schedule a retry."""
        if machine.awaited_token:
            self.raise_token(machine)  # a new token for each unanswered command
        else:
            self.reception.await_token(machine, now)
        for permit in machine.permits.values():
            # The kill may not have arrived either, so it has to be sent again: while no heartbeats
            # arrive, direct commands are the only way to deliver it
            permit.kill_sent_grace_s = None
        machine.unanswered_commands += 1
        machine.next_command_at = now + (
            COMMAND_RETRY_S
            if machine.unanswered_commands < UNANSWERED_BEFORE_LONG_RETRY
            else LONG_COMMAND_RETRY_S
        )
        self.needs_step = True

    # -- updates for sources and the autoscaler ----------------------------------------------

    def attempt_update(self, permit: Permit) -> AttemptUpdate:
        """Return the state of a permit's attempt, as sent to its source."""
        return shard_updates.attempt_update(permit, self.machines.get(permit.machine))

    def take_source_updates(self) -> dict[tuple[int, str], Any]:
        """Return and clear the pending updates for sources: (source shard, key) -> value.

        If very many attempts have changed, the updates of some are left for the next call.
        """
        for attempt_id in sorted(self.changed_attempts.take(MAX_ATTEMPT_UPDATES_PER_STEP)):
            if (permit := self.permits.get(attempt_id)) is not None:
                key = (permit.source_shard, peer_messages.attempt_key(attempt_id))
                self.source_updates[key] = self.attempt_update(permit)
        updates = dict(self.source_updates)
        self.source_updates.clear()
        return updates

    def machine_update(self, machine: Machine, now: float) -> MachineUpdate | None:
        """Return the update on a machine for the autoscaler; None if it is expired or removed."""
        return shard_updates.machine_update(self.inventory, machine)

    def take_machine_updates(self, now: float) -> dict[str, MachineUpdate | None]:
        """Return and clear the pending updates for the autoscaler; None for a removed machine."""
        changed = self.changed_for_autoscaler
        self.changed_for_autoscaler = {}
        return {
            name: self.machine_update(machine, now) if machine is not None else None
            for name, machine in changed.items()
        }

    def unobserved_machines(self, now: float) -> list[str]:
        """Return the names of machines whose state only the cloud can tell, sorted.

        They have permits that are not gone, but have not confirmed this owner's token and send no
        heartbeats. The list is empty for the first `lease_s` seconds of this owner.
        """
        if now - self.started < self.lease_s:
            return []
        return sorted(
            name
            for name, permits in self.inventory.permits_by_machine.items()
            if permits
            and self._is_unobserved(name, now)
            and any(not permit.gone for permit in permits.values())
        )

    def _is_unobserved(self, name: str, now: float) -> bool:
        """Return whether a machine has not shown this owner's token and sends no heartbeats."""
        machine = self.machines.get(name)
        return machine is None or (
            not machine.accepted_token and now - machine.last_heartbeat_at > self.lease_s
        )
