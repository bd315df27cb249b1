"""The plain form of a machine's totals: adds up everything that is on it, each time anew."""

from __future__ import annotations

from ploverhall.protocol.agents import EXITED, AttemptId
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.machines import Machine, PreemptionClass, occupies
from ploverhall.scheduling.resources import ResourceVector, add_scaled


def free_capacity(inventory: Inventory, machine: Machine) -> ResourceVector:
    """Return what listed tasks, permits and reservations leave free on a machine of known type."""
    capacity = inventory.machine_types[machine.type].resources
    free = capacity
    for attempt_id, permit in machine.permits.items():
        if occupies(permit, machine.tasks.get(attempt_id)):
            free = add_scaled(free, permit.resources, -1)
    for attempt_id, task in machine.tasks.items():
        if attempt_id not in machine.permits and task.state != EXITED:
            known = inventory.usage.resources_of_job(attempt_id.job_id)
            free = add_scaled(free, known or capacity, -1)
    for reservation in machine.reservations.values():
        free = add_scaled(free, reservation.resources, -1)
    return free


def capacity_for_services(
    inventory: Inventory, machine: Machine, free: ResourceVector
) -> ResourceVector:
    """Return `free` plus the resources of work that yields to services."""
    for attempt_id, permit in machine.permits.items():
        traits = inventory.job_traits.get(attempt_id.job_id)
        task = machine.tasks.get(attempt_id)
        if (
            traits is not None
            and traits.yields_to_services
            and not permit.gone
            and not permit.refused
            and (task is None or task.state != EXITED)
        ):
            free = add_scaled(free, permit.resources)
    return free


def preemptible_tasks(inventory: Inventory, machine: Machine) -> dict[AttemptId, PreemptionClass]:
    """Return the preemptible tasks on a machine with their preemption classes."""
    preemptible: dict[AttemptId, PreemptionClass] = {}
    for attempt_id, permit in machine.permits.items():
        traits = inventory.job_traits.get(attempt_id.job_id)
        if traits is None or traits.priority == 0 or traits.kind == "service":
            continue
        task = machine.tasks.get(attempt_id)
        if (
            task is not None
            and task.state in ("running", "fetching")
            and not permit.gone
            and not permit.refused
            and permit.stop_grace_s is None
            and not permit.evict_requested
        ):
            preemptible[attempt_id] = (
                (0, *traits.preemption_class[1:]) if permit.overdue else traits.preemption_class
            )
    return preemptible


def images_to_fetch(machine: Machine) -> tuple[set[str], set[str]]:
    """Return the images of a machine's permits that are not gone, and of its reservations."""
    return (
        {permit.image for permit in machine.permits.values() if not permit.gone},
        {reservation.image for reservation in machine.reservations.values()},
    )


def tasks_of_job(machine: Machine, job_id: str) -> int:
    """Return how many tasks of a job are permitted or reserved on a machine."""
    permitted = sum(
        attempt_id.job_id == job_id and not permit.gone
        for attempt_id, permit in machine.permits.items()
    )
    reserved = sum(reservation.job_id == job_id for reservation in machine.reservations.values())
    return permitted + reserved
