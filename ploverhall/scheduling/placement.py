"""The placement pass: reserves free capacity for the candidates of one shard, best fit first.

The cost of a pass depends on what has changed: new candidates are matched with a sample of the
machines with free capacity, waiting ones only with machines that have gained capacity since. Gangs
are placed all or nothing. The shard owner runs the passes; `source_requests` updates the candidate
requests (`request`, `cancel`).
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

# Between passes in which waiting candidates search again for work to preempt
PREEMPTION_INTERVAL_S = 0.25
# Between passes that treat every waiting candidate as new, even without a recorded change
REVISIT_INTERVAL_S = 2.0


class Placement:
    """Runs the placement passes of one shard."""

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
        """Remove the request for a job, and release its reservations."""
        self.preemption.forget_search(job_id)
        self.reservations.cancel_request(job_id)

    # -- the pass ----------------------------------------------------------------------------

    def place_waiting(self, now: float) -> None:
        """Run one pass over the queue.

        New candidates may go to any machine, waiting ones to machines that have gained capacity.
        """
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
                # The rest was not looked at: the partial gang may still be in it
                current.gang_waits = True
                break
            if self._place_job(entry[1], current):
                waiting.append(entry)
        queue.entries = waiting
        if not current.gang_waits:
            self.gangs.partial_gang = None

    def _revisit_all(self, now: float) -> None:
        """Queue every waiting job as new, and choose the machines to keep for an overdue gang."""
        self.preemption.forget_all_searches()
        for job_id in self.reservations.requests:
            self.reservations.enqueue_if_missing(job_id)
        self.kept_machines.update(now)

    def _is_finished(self, current: PlacementPass) -> bool:
        """Return whether the rest of the queue has nothing left to try in this pass."""
        return not (
            self.reservations.queue.new_jobs
            or current.gained
            or (current.preempt and current.searches_left)
        )

    def _place_job(self, job_id: str, current: PlacementPass) -> bool:
        """Place the missing candidates of a job, and return whether it still waits."""
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
        """Place independent tasks, and return how many are still missing."""
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
