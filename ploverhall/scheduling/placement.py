"""The placement pass: reserves free capacity for the candidates of one shard, best fit first.

The cost of a pass depends on what has changed: new candidates are matched with a sample of the
machines with free capacity, waiting ones only with machines that have gained capacity since. Gangs
are placed all or nothing. The shard owner runs the passes; `source_requests` updates the candidate
requests (`request`, `cancel`).
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from random import Random

from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import CandidateUpdate
from ploverhall.scheduling.free_capacity import (
    MAX_PREEMPTION_SEARCHES,
    QUEUE_ENTRY_WORK,
    FreeCapacity,
    PlacementPass,
)
from ploverhall.scheduling.gang_placement import GangPlacement
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.kept_machines import KeptMachines
from ploverhall.scheduling.preemption import PreemptionPlanner
from ploverhall.scheduling.reservations import CandidateRequest, QueueEntry, ReservationTable

# Between passes in which waiting candidates search again for work to preempt
PREEMPTION_INTERVAL_S = 0.25
# Between passes that treat every waiting candidate as new, even without a recorded change
REVISIT_INTERVAL_S = 2.0
MAX_REVISITS_PER_PASS = 2_000


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
        # Where the previous pass ended because its work was exhausted; None: it did not
        self.resume_at: QueueEntry | None = None
        self.jobs_to_revisit: deque[str] = deque()
        self.is_unfinished = False  # the previous pass has left work over for the next one
        # Searches that a pass in which waiting candidates may preempt has left to the next one
        self.searches_left_over = 0

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

        New candidates may go to any machine, waiting ones to machines that have gained capacity. A
        pass is bounded in its work; if it ends early, the next one goes on behind its last job.
        """
        inventory, queue = self.inventory, self.reservations.queue
        preempt = self.searches_left_over > 0 or now >= self.next_preemption_at
        nothing_changed = not (queue.new_jobs or inventory.machines_with_gains or preempt)
        self.is_unfinished = False
        if (nothing_changed or not queue.entries) and not self.jobs_to_revisit:
            inventory.machines_with_gains.clear()
            return
        searches_left = self.searches_left_over or MAX_PREEMPTION_SEARCHES
        if now >= self.next_preemption_at:
            self.next_preemption_at = now + PREEMPTION_INTERVAL_S
            searches_left = MAX_PREEMPTION_SEARCHES
        if now >= self.next_revisit_at:
            self.next_revisit_at = now + REVISIT_INTERVAL_S
            self._begin_revisit(now)
        self._revisit_jobs()
        current = PlacementPass(now, preempt, inventory.machines_with_gains, searches_left)
        inventory.machines_with_gains = {}
        self._visit_queue(current)
        self.searches_left_over = (
            max(0, current.searches_left) if current.preempt and current.work_exhausted else 0
        )
        self.is_unfinished = current.work_exhausted or bool(self.jobs_to_revisit)
        if current.work_exhausted:
            inventory.machines_with_gains = {**current.gained, **inventory.machines_with_gains}
        elif not current.gang_waits:
            self.gangs.partial_gang = None

    def _visit_queue(self, current: PlacementPass) -> None:
        """Place the jobs in the queue, in order, until the work of the pass is exhausted.

        If the previous pass ended early, half of the work is left for the jobs that it did not
        reach: otherwise many large jobs at the head of the queue would starve the others.
        """
        entries = self.reservations.queue.entries
        resume_at, self.resume_at = self.resume_at, None
        reserved_work = current.work_left // 2 if resume_at is not None else 0
        current.work_left -= reserved_work
        waiting, position = self._visit_entries(entries, 0, current)
        current.work_left += reserved_work
        if resume_at is not None and position < len(entries):
            resume_position = max(position, bisect_left(entries, resume_at))
            if position < resume_position:
                current.gang_waits = True  # the jobs between were not looked at
            waiting += entries[position:resume_position]
            waiting_after, position = self._visit_entries(entries, resume_position, current)
            waiting += waiting_after
        self.resume_at = self._resume_position(entries, position, resume_at, current)
        if position < len(entries):
            # The rest was not looked at: the partial gang may still be in it
            current.gang_waits = True
        self.reservations.queue.entries = waiting + entries[position:]

    def _resume_position(
        self,
        entries: list[QueueEntry],
        position: int,
        resumed_at: QueueEntry | None,
        current: PlacementPass,
    ) -> QueueEntry | None:
        """Return where the next pass goes on; None if this one has not ended early.

        A job that was interrupted goes on once in a row, so that it does not hold up the others.
        """
        if current.interrupted and entries[position - 1] != resumed_at:
            return entries[position - 1]
        if current.work_exhausted and position < len(entries):
            return entries[position]
        return None

    def _visit_entries(
        self, entries: list[QueueEntry], start: int, current: PlacementPass
    ) -> tuple[list[QueueEntry], int]:
        """Place the jobs from position `start` on, and return those of them that still wait.

        Also returns the position of the first entry that was not visited.
        """
        waiting: list[QueueEntry] = []
        current.interrupted = False
        for position in range(start, len(entries)):
            if current.work_exhausted or self._is_finished(current):
                return waiting, position
            current.work_left -= QUEUE_ENTRY_WORK
            _, job_id = entries[position]
            if self._place_job(job_id, current):
                waiting.append(entries[position])
        return waiting, len(entries)

    def _begin_revisit(self, now: float) -> None:
        """Queue every waiting job as new again, and choose the machines to keep for a gang.

        Most of the jobs are queued by later passes if there are many.
        """
        self.preemption.forget_all_searches()
        self.jobs_to_revisit = deque(self.reservations.requests)
        self._revisit_jobs()
        self.kept_machines.update(now)

    def _revisit_jobs(self) -> None:
        """Queue the next jobs to be revisited, up to the bound for a pass."""
        for _ in range(min(len(self.jobs_to_revisit), MAX_REVISITS_PER_PASS)):
            self.reservations.enqueue_if_missing(self.jobs_to_revisit.popleft())

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
        if not current.interrupted:
            new_jobs.discard(job_id)  # otherwise it is placed further by a later pass
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
            if current.work_exhausted:
                current.interrupted = True
                return missing
            current.searches_left -= 1
            missing -= self.free_capacity.preempt(request, missing, current)
        return missing
