"""Builds the updates that a shard owner sends: attempts to sources, machines to the autoscaler.

The functions have no side effects. The shard owner calls them for each change.
"""

from __future__ import annotations

from ploverhall.protocol.peer_messages import (
    NOTICE_EVICTION_REQUESTED,
    AttemptUpdate,
    MachineUpdate,
)
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.machines import Machine, Permit
from ploverhall.scheduling.resources import NO_RESOURCES

# Wire values, see protocol.peer_messages
NO_NOTICE = 0
NOTICE_TERMINATION = 1
NOTICE_PREEMPTED = 2
NOT_DRAINED = 0
DRAINED_BY_AUTOSCALER = 1
DRAINED_BY_ORDER = 2


def attempt_update(permit: Permit, machine: Machine | None) -> AttemptUpdate:
    """Return the state of a permit's attempt for its source; `machine` is None if unknown."""
    if permit.gone:
        return AttemptUpdate("gone", permit.gone_reason, 0, NO_NOTICE)
    task = machine.tasks.get(permit.attempt_id) if machine is not None else None
    if task is None or machine is None:
        notice = NOTICE_PREEMPTED if permit.evict_requested else NO_NOTICE
        return AttemptUpdate("permitted", "", 0, notice)
    suspect = task.reason == "error" and any(
        job_id != permit.attempt_id.job_id for job_id in machine.failures_by_job
    )
    return AttemptUpdate(
        task.state,
        task.reason,
        int(task.checkpoint_saved),
        _notice(permit, machine),
        int(suspect),
    )


def _notice(permit: Permit, machine: Machine) -> int:
    """Return the notice for an attempt: why it should leave its machine, or NO_NOTICE."""
    if machine.termination_notice_s is not None:
        return NOTICE_TERMINATION
    if permit.evict_requested:
        return NOTICE_PREEMPTED
    return NOTICE_EVICTION_REQUESTED if machine.cordoned else NO_NOTICE


def machine_update(inventory: Inventory, machine: Machine) -> MachineUpdate | None:
    """Return the update on a machine for the autoscaler; None if it is expired or removed."""
    if machine.lease_expired or inventory.machines.get(machine.name) is not machine:
        return None
    free = inventory.free_capacity(machine)
    if inventory.free_task_slots(machine) <= 0:
        free = NO_RESOURCES  # it gets no more tasks, whatever capacity they leave free
    return MachineUpdate(
        machine.type,
        machine.zone,
        int(machine.spot),
        [round(amount, 3) for amount in free],
        int(_is_empty(machine)),
        _drain_state(machine),
        int(
            machine.termination_notice_s is not None
            or machine.not_receiving
            or not machine.accepted_token
        ),
        int(machine.replacement_due),
        int(_has_ordinary_work(inventory, machine)),
        [round(amount, 3) for amount in inventory.capacity_for_services(machine, free)],
    )


def _is_empty(machine: Machine) -> bool:
    """Return whether nothing runs on a machine and nothing can still start there."""
    return (
        not machine.tasks
        and not machine.reservations
        and all(permit.gone for permit in machine.permits.values())
        and not machine.command_pending
    )


def _drain_state(machine: Machine) -> int:
    """Return the wire value of who drains a machine, if anybody does."""
    if machine.draining:
        return DRAINED_BY_AUTOSCALER
    return DRAINED_BY_ORDER if machine.cordoned else NOT_DRAINED


def _has_ordinary_work(inventory: Inventory, machine: Machine) -> bool:
    """Return whether a machine has work that may not run on spot machines."""
    for attempt_id in machine.permits:
        traits = inventory.job_traits.get(attempt_id.job_id)
        if traits is not None and not traits.spot_allowed:
            return True
    return False
