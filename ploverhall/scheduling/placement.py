"""The placement pass: reserves free capacity for the candidates of one shard, best fit first.

A pass costs what has changed: new candidates look at a sample of the machines with free capacity,
waiting ones only at machines that have gained some since. Gangs are placed all or nothing. Called
by the shard owner, which also hands in the candidate requests (`request`, `cancel`).
"""

from __future__ import annotations

from random import Random

from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import CandidateUpdate
from ploverhall.scheduling.free_capacity import FreeCapacity, PlacementPass
from ploverhall.scheduling.gang_placement import GangPlacement
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.kept_machines import KeptMachines
from ploverhall.scheduling.preemption import PreemptionPlanner
from ploverhall.scheduling.reservations import CandidateRequest, ReservationTable

# How often a waiting candidate is matched anew against work that may be stopped
PREEMPTION_INTERVAL_S = 0.25
# How often every waiting candidate is looked at anew, whatever has been seen to change
REVISIT_INTERVAL_S = 2.0


class Placement:
    """Reserves free capacity for the candidates of one shard."""

    def __init__(self, inventory: Inventory, hold_s: float, sample: int, random: Random) -> None:
        self.inventory = inventory
        self.reservations = ReservationTable(inventory, hold_s)
        self.kept_machines = KeptMachines(inventory, self.reservations)
        self.preemption = PreemptionPlanner(
            inventory, self.reservations, self.kept_machines, random
        )
        self.free_capacity = FreeCapacity(
            inventory, self.reservations, self.kept_machines, self.preemption, sample, random
        )
        self.gangs = GangPlacement(
            inventory, self.reservations, self.preemption, self.free_capacity
        )
        self.next_preemption_at = 0.0
        self.next_revisit_at = 0.0

    def request(
        self, source_shard: int, job: Job, update: CandidateUpdate, within_guarantee: bool
    ) -> None:
        """Replace a source's request for candidates of a job."""
        self.preemption.forget_search(job.id)
        self.reservations.update_request(source_shard, job, update, within_guarantee)

    def cancel(self, job_id: str) -> None:
        """Forget the request for a job, and give back what is reserved for it."""
        self.preemption.forget_search(job_id)
        self.reservations.cancel_request(job_id)

    # -- the pass ----------------------------------------------------------------------------

    def place_waiting(self, now: float) -> None:
        """One pass: new candidates anywhere, waiting ones on machines that have gained capacity."""
        inventory, queue = self.inventory, self.reservations.queue
        preempt = now >= self.next_preemption_at
        nothing_changed = not (queue.new_jobs or inventory.machines_with_gains or preempt)
        if nothing_changed or not queue.entries:
            inventory.machines_with_gains.clear()
            return
        if preempt:
            self.next_preemption_at = now + PREEMPTION_INTERVAL_S
        if now >= self.next_revisit_at:
            self.next_revisit_at = now + REVISIT_INTERVAL_S
            self._revisit_all(now)
        current = PlacementPass(now, preempt, inventory.machines_with_gains)
        inventory.machines_with_gains = {}
        waiting = []
        for position, entry in enumerate(queue.entries):
            if self._is_finished(current):
                waiting += queue.entries[position:]
                # Not all were seen: the partial gang may still be among the rest
                current.gang_waits = True
                break
            if self._place_job(entry[1], current):
                waiting.append(entry)
        queue.entries = waiting
        if not current.gang_waits:
            self.gangs.partial_gang = None

    def _revisit_all(self, now: float) -> None:
        """Treat every waiting job as new, and choose the machines to keep for an overdue gang."""
        self.preemption.forget_all_searches()
        for job_id in self.reservations.requests:
            self.reservations.enqueue_if_missing(job_id)
        self.kept_machines.update(now)

    def _is_finished(self, current: PlacementPass) -> bool:
        """Whether there is nothing left to try for the rest of the queue."""
        return not (
            self.reservations.queue.new_jobs
            or current.gained
            or (current.preempt and current.searches_left)
        )

    def _place_job(self, job_id: str, current: PlacementPass) -> bool:
        """Place what a job misses; whether it goes on waiting."""
        request = self.reservations.requests.get(job_id)
        if request is None:
            return False
        new_jobs = self.reservations.queue.new_jobs
        is_new = job_id in new_jobs
        missing = self.reservations.missing(request)
        if missing > 0:
            if request.job.kind == "gang":
                missing = self.gangs.place(request, missing, is_new, current)
            else:
                missing = self._place_tasks(request, missing, is_new, current)
        new_jobs.discard(job_id)
        return missing > 0

    # -- tasks -------------------------------------------------------------------------------

    def _place_tasks(
        self, request: CandidateRequest, missing: int, is_new: bool, current: PlacementPass
    ) -> int:
        """Place tasks that don't depend on one another; how many are still missing."""
        if is_new:
            missing = self.free_capacity.reserve(request, missing, current, None)
        elif current.gained:
            missing = self.free_capacity.reserve(request, missing, current, current.gained)
        if (
            missing > 0
            and current.searches_left
            and (is_new or current.preempt)
            and self.preemption.could_preempt(request)
        ):
            current.searches_left -= 1
            missing -= self.preemption.reserve(request, missing, current.now)
        return missing
