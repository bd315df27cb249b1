"""Machines kept free of other work for an overdue gang.

Capacity becomes free one task at a time, and the next small task would use it at once: a gang that
needs whole machines would never find an empty one (tests/test_largest_jobs.py). Machines are kept
for one gang at a time, and only while it is overdue. The placement pass and preemption call this
module.
"""

from __future__ import annotations

from collections import Counter

from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.reservations import CandidateRequest, ReservationTable
from ploverhall.scheduling.resources import EPSILON, max_count


class KeptMachines:
    """Map of the kept machines to the job for which each is kept."""

    def __init__(self, inventory: Inventory, reservations: ReservationTable) -> None:
        self.inventory = inventory
        self.reservations = reservations
        self.job_by_machine: dict[str, str] = {}

    def avoided_machines(self, request: CandidateRequest) -> frozenset[str]:
        """Return the machines that a request may not use.

        These are the ones that it names itself and the ones kept for other jobs.
        """
        if not self.job_by_machine:
            return request.avoided_machines
        return request.avoided_machines.union(
            name for name, job_id in self.job_by_machine.items() if job_id != request.job.id
        )

    def update(self, now: float) -> None:
        """Keep machines for the first overdue gang in the queue, and release all others."""
        request = self._first_overdue_gang()
        kept = self._choose(request, now) if request is not None else {}
        for name in self.job_by_machine.keys() - kept.keys():
            if (machine := self.inventory.machines.get(name)) is not None:
                self.inventory.machines_with_gains[name] = machine  # available to others again
        self.job_by_machine = kept

    def _first_overdue_gang(self) -> CandidateRequest | None:
        """Return the request of the first overdue gang in the queue that lacks reservations."""
        for _, job_id in self.reservations.queue.entries:
            request = self.reservations.requests.get(job_id)
            if (
                request is not None
                and request.job.kind == "gang"
                and request.overdue
                and self.reservations.missing(request) > 0
            ):
                return request
        return None

    def _choose(self, request: CandidateRequest, now: float) -> dict[str, str]:
        """Return machine name -> job id, for as many machines as the gang's missing tasks need."""
        kept: dict[str, str] = {}
        missing = self.reservations.missing(request)
        for machine in sorted(self._usable_machines(request, now), key=self._preference):
            if missing <= 0:
                break
            count = self._tasks_on_empty_machine(request, machine)
            if count > 0:
                kept[machine.name] = request.job.id
                missing -= count
        return kept

    def _usable_machines(self, request: CandidateRequest, now: float) -> list[Machine]:
        """Return the usable machines for a gang.

        For a single-zone gang these are the machines of the zone that has the most of them.
        """
        zone_limits = self.reservations.remaining_zone_limits(request)
        pools = {
            pool
            for pool in self.inventory.allowed_pools(request.job)
            if zone_limits is None or zone_limits.get(pool[1], 0) > 0
        }
        machines = [
            machine
            for machine in self.inventory.machines.values()
            if machine.pool in pools
            and not self.inventory.unusable(machine, now)
            and machine.name not in request.avoided_machines
        ]
        if not request.job.single_zone or not machines:
            return machines
        count_by_zone = Counter(machine.zone for machine in machines)
        largest = max(count_by_zone, key=lambda zone: (count_by_zone[zone], zone))
        return [machine for machine in machines if machine.zone == largest]

    def _preference(self, machine: Machine) -> tuple[bool, list[float], str]:
        """Return a sort key: machines already kept come first, then those with the most free."""
        return (
            machine.name not in self.job_by_machine,
            [-amount for amount in machine.free],
            machine.name,
        )

    def _tasks_on_empty_machine(self, request: CandidateRequest, machine: Machine) -> int:
        """Return how many tasks of the gang an empty machine of this type could run."""
        capacity = self.inventory.machine_types[machine.type].resources
        return min(
            (
                max_count(need, available + EPSILON * need)
                for need, available in zip(request.job.resources, capacity, strict=True)
                if need > 0
            ),
            default=0,
        )
