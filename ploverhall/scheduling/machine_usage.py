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
        before = usage.attempts.pop(attempt_id, None)
        after = self._read_attempt(machine, attempt_id)
        if after is not None:
            usage.attempts[attempt_id] = after
        if before == after:
            return
        if before is not None:
            _count_attempt(usage, attempt_id, before, -1)
        if after is not None:
            _count_attempt(usage, attempt_id, after, 1)
            if after.preemption_class is not None and (
                before is None or before.preemption_class != after.preemption_class
            ):
                usage.gained_preemptible = True

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


def _count_attempt(
    usage: MachineUsage, attempt_id: AttemptId, contribution: AttemptUsage, sign: int
) -> None:
    """Add an attempt's contribution to the totals, or subtract it if `sign` is -1."""
    if contribution.resources is not None:
        usage.used = add_scaled(usage.used, contribution.resources, sign)
    if contribution.yielded is not None:
        usage.yielded = add_scaled(usage.yielded, contribution.yielded, sign)
    if contribution.may_be_listed:
        usage.listed_count += sign
    if contribution.is_unknown:
        _set_value(usage.unknown_attempts, attempt_id, None, sign)
    if contribution.image is not None:
        _count(usage.permits_by_image, contribution.image, sign)
        _count(usage.permits_by_job, attempt_id.job_id, sign)
    if contribution.preemption_class is not None:
        _count(usage.preemptible_by_class, contribution.preemption_class, sign)
        _set_value(usage.preemptible, attempt_id, contribution.preemption_class, sign)


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


def _set_value(values: dict[AttemptId, Key], attempt_id: AttemptId, value: Key, sign: int) -> None:
    """Set an attempt's value, or remove it if `sign` is -1."""
    if sign > 0:
        values[attempt_id] = value
    else:
        values.pop(attempt_id, None)
