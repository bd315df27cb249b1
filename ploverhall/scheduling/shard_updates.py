"""What a shard's owner tells the sources of an attempt, and the autoscaler of a machine.

Pure functions, called by the shard owner for what has changed.
"""

from __future__ import annotations

from ploverhall.protocol.peer_messages import (
    NOTICE_EVICTION_REQUESTED,
    AttemptUpdate,
    MachineUpdate,
)
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.machines import Machine, Permit

# Values of the wire, see protocol.peer_messages
NO_NOTICE = 0
NOTICE_TERMINATION = 1
NOTICE_PREEMPTED = 2
NOT_DRAINED = 0
DRAINED_BY_AUTOSCALER = 1
DRAINED_BY_ORDER = 2


def attempt_update(permit: Permit, machine: Machine | None) -> AttemptUpdate:
    """What became of a permit, for its source; `machine` is None if it is not known."""
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
    """Why an attempt should leave its machine, if it should."""
    if machine.termination_notice_s is not None:
        return NOTICE_TERMINATION
    if permit.evict_requested:
        return NOTICE_PREEMPTED
    return NOTICE_EVICTION_REQUESTED if machine.cordoned else NO_NOTICE


def machine_update(inventory: Inventory, machine: Machine) -> MachineUpdate | None:
    """What the autoscaler needs to know of a machine; None if it does not count any more."""
    if machine.lease_expired or inventory.machines.get(machine.name) is not machine:
        return None
    free = inventory.free_capacity(machine)
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
    """Whether nothing runs on a machine, and nothing can be on its way there."""
    return (
        not machine.tasks
        and not machine.reservations
        and all(permit.gone for permit in machine.permits.values())
        and not machine.command_pending
    )


def _drain_state(machine: Machine) -> int:
    if machine.draining:
        return DRAINED_BY_AUTOSCALER
    return DRAINED_BY_ORDER if machine.cordoned else NOT_DRAINED


def _has_ordinary_work(inventory: Inventory, machine: Machine) -> bool:
    """Whether there is work on a machine that may not run on spot machines."""
    for attempt_id in machine.permits:
        traits = inventory.job_traits.get(attempt_id.job_id)
        if traits is not None and not traits.spot_allowed:
            return True
    return False
