"""Running totals of what the tasks, permits and reservations of one machine use.

A machine may have thousands of small tasks, and its totals are needed after every reservation.
`UsageTracker` therefore updates them by attempt: a change costs the same whatever else is on the
machine. `inventory` owns the tracker. Whoever changes a permit or a listed task notes it there; a
machine that is marked as changed without naming an attempt is added up anew.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from ploverhall.protocol.agents import EXITED, AttemptId, TaskStatus
from ploverhall.scheduling.machines import (
    AttemptUsage,
    JobTraits,
    Machine,
    MachineUsage,
    Permit,
    PreemptionClass,
    Reservation,
    occupies,
)
from ploverhall.scheduling.resources import NO_RESOURCES, ResourceVector, add_scaled

# Totals are added up anew after as many changes as there are attempts, but not before this many, so
# that rounding errors of the sums cannot grow
MIN_CHANGES_BEFORE_REBUILD = 256

# Of an attempt that is not on the machine
NO_USAGE = AttemptUsage(None, None, None, None, False, False)

Key = TypeVar("Key")


class UsageTracker:
    """Keeps the totals of the machines of one shard up to date."""

    def __init__(self, job_traits: dict[str, JobTraits]) -> None:
        self.job_traits = job_traits
        # Returns the resources of one task of a job; None if the job is unknown
        self.resources_of_job: Callable[[str], ResourceVector | None] = lambda job_id: None
        # Number of attempts and reservations read; tests of how the cost scales read it
        self.visit_count = 0

    def add_reservation(self, machine: Machine, reservation: Reservation) -> None:
        """Add a new reservation on a machine to its totals."""
        self.visit_count += 1
        _count_reservation(machine.usage, reservation, 1)

    def remove_reservation(self, machine: Machine, reservation: Reservation) -> None:
        """Subtract a reservation that a machine no longer has from its totals."""
        self.visit_count += 1
        _count_reservation(machine.usage, reservation, -1)
        if not machine.reservations:
            machine.usage.reserved = NO_RESOURCES

    def update(self, machine: Machine) -> MachineUsage:
        """Apply all noted changes to the totals of a machine, and return the totals."""
        usage = machine.usage
        if usage.must_rebuild or usage.changes_since_rebuild > max(
            MIN_CHANGES_BEFORE_REBUILD, len(usage.attempts)
        ):
            return self._rebuild(machine)
        if usage.changed_attempts or usage.unknown_attempts:
            # The job of an unknown attempt may have become known
            changed = usage.changed_attempts | usage.unknown_attempts
            usage.changed_attempts.clear()
            for attempt_id in changed:
                self._update_attempt(machine, attempt_id)
        return usage

    def _rebuild(self, machine: Machine) -> MachineUsage:
        """Add up everything on a machine anew, and return the totals."""
        earlier = machine.usage
        usage = machine.usage = MachineUsage(must_rebuild=False)
        for attempt_id in machine.permits:
            self._update_attempt(machine, attempt_id)
        for attempt_id in machine.tasks:
            if attempt_id not in machine.permits:
                self._update_attempt(machine, attempt_id)
        for reservation in machine.reservations.values():
            self.add_reservation(machine, reservation)
        usage.changes_since_rebuild = 0
        usage.gained_preemptible = earlier.gained_preemptible or any(
            earlier.preemptible.get(attempt_id) != preemption_class
            for attempt_id, preemption_class in usage.preemptible.items()
        )
        return usage

    def _update_attempt(self, machine: Machine, attempt_id: AttemptId) -> None:
        """Replace the contribution of one attempt to the totals."""
        self.visit_count += 1
        usage = machine.usage
        usage.changes_since_rebuild += 1
        before = usage.attempts.get(attempt_id, NO_USAGE)
        after = self._read_attempt(machine, attempt_id)
        if after is None:
            usage.attempts.pop(attempt_id, None)
            after = NO_USAGE
        else:
            usage.attempts[attempt_id] = after
        if before != after:
            _replace_contribution(usage, attempt_id, before, after)

    def _read_attempt(self, machine: Machine, attempt_id: AttemptId) -> AttemptUsage | None:
        """Return what an attempt contributes now; None if it is neither permitted nor listed."""
        permit = machine.permits.get(attempt_id)
        task = machine.tasks.get(attempt_id)
        if permit is not None:
            return self._read_permit(permit, task)
        if task is None:
            return None
        if task.state == EXITED:
            return AttemptUsage(None, None, None, None, False, True)
        resources = self.resources_of_job(attempt_id.job_id)
        return AttemptUsage(resources, None, None, None, resources is None, True)

    def _read_permit(self, permit: Permit, task: TaskStatus | None) -> AttemptUsage:
        """Return what a permit contributes; `task` is its entry in the machine's list, if any."""
        traits = self.job_traits.get(permit.attempt_id.job_id)
        yields = (
            traits is not None
            and traits.yields_to_services
            and not permit.gone
            and not permit.refused
            and (task is None or task.state != EXITED)
        )
        return AttemptUsage(
            permit.resources if occupies(permit, task) else None,
            permit.resources if yields else None,
            _preemption_class(permit, task, traits),
            None if permit.gone else permit.image,
            False,
            not permit.gone or task is not None,
        )


def pending_visits(machine: Machine) -> int:
    """Return the number of attempts and reservations that the next update of a machine reads."""
    usage = machine.usage
    if usage.must_rebuild:
        return len(machine.permits) + len(machine.tasks) + len(machine.reservations)
    return len(usage.changed_attempts) + len(usage.unknown_attempts)


def _preemption_class(
    permit: Permit, task: TaskStatus | None, traits: JobTraits | None
) -> PreemptionClass | None:
    """Return the preemption class of a permitted attempt; None if it may not be preempted."""
    if traits is None or traits.priority == 0 or traits.kind == "service":
        return None  # replicas are never preempted: their users would notice at once
    if task is None or task.state not in ("running", "fetching"):
        return None
    if permit.gone or permit.refused or permit.stop_grace_s is not None or permit.evict_requested:
        return None
    # A task placed while its job was overdue counts as one of the highest priority
    return (0, *traits.preemption_class[1:]) if permit.overdue else traits.preemption_class


def _replace_contribution(
    usage: MachineUsage, attempt_id: AttemptId, before: AttemptUsage, after: AttemptUsage
) -> None:
    """Replace an attempt's contribution to the totals; most changes concern one part of it."""
    if before.resources != after.resources:
        usage.used = _with_replaced(usage.used, before.resources, after.resources)
    if before.yielded != after.yielded:
        usage.yielded = _with_replaced(usage.yielded, before.yielded, after.yielded)
    if before.image != after.image:
        _count_permit(usage, attempt_id, before.image, -1)
        _count_permit(usage, attempt_id, after.image, 1)
    if before.preemption_class != after.preemption_class:
        _replace_preemption_class(usage, attempt_id, before, after)
    usage.listed_count += after.may_be_listed - before.may_be_listed
    if after.is_unknown:
        usage.unknown_attempts[attempt_id] = None
    elif before.is_unknown:
        del usage.unknown_attempts[attempt_id]


def _with_replaced(
    total: ResourceVector, before: ResourceVector | None, after: ResourceVector | None
) -> ResourceVector:
    """Return a total in which one amount is replaced by another."""
    if before is not None:
        total = add_scaled(total, before, -1)
    return add_scaled(total, after) if after is not None else total


def _count_permit(usage: MachineUsage, attempt_id: AttemptId, image: str | None, sign: int) -> None:
    """Count a permit by its image and job; it is not counted without an image."""
    if image is not None:
        _count(usage.permits_by_image, image, sign)
        _count(usage.permits_by_job, attempt_id.job_id, sign)


def _replace_preemption_class(
    usage: MachineUsage, attempt_id: AttemptId, before: AttemptUsage, after: AttemptUsage
) -> None:
    """Replace the preemption class of an attempt, which is None while it is not preemptible."""
    if before.preemption_class is not None:
        _count(usage.preemptible_by_class, before.preemption_class, -1)
    if after.preemption_class is None:
        del usage.preemptible[attempt_id]
        return
    _count(usage.preemptible_by_class, after.preemption_class, 1)
    usage.preemptible[attempt_id] = after.preemption_class
    usage.gained_preemptible = True


def _count_reservation(usage: MachineUsage, reservation: Reservation, sign: int) -> None:
    """Add a reservation to the totals, or subtract it if `sign` is -1."""
    usage.reserved = add_scaled(usage.reserved, reservation.resources, sign)
    _count(usage.reservations_by_image, reservation.image, sign)
    _count(usage.reservations_by_job, reservation.job_id, sign)


def _count(counter: Counter[Key], key: Key, sign: int) -> None:
    """Change a count by one, and remove it once it is zero."""
    counter[key] += sign
    if not counter[key]:
        del counter[key]
