"""Candidate requests of one shard, and the free capacity reserved for them.

A source requests candidates (`ReservationTable.update_request`); the placement pass reserves free
capacity on a machine for each one that fits (`reserve`). A reservation ends when its task is
permitted, when its candidate is cancelled or when its hold time is over (`release`, `expire`).
Every change is put into `source_updates` for the sources. `placement`, `preemption` and the shard
owner call this module. No I/O.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass

from ploverhall.protocol import peer_messages
from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import CandidateUpdate
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.machines import Machine, Reservation

QueueOrder = tuple[float, ...]  # lower is placed first
QueueEntry = tuple[QueueOrder, str]  # order, job id
SourceUpdates = dict[tuple[int, str], list[object] | peer_messages.OfferUpdate | None]


@dataclass(slots=True, eq=False)
class CandidateRequest:
    """A source's request for candidates: one for each waiting task of a job."""

    source_shard: int
    job: Job
    count: int
    zone_limits: dict[str, int] | None
    queue_order: QueueOrder
    avoided_machines: frozenset[str]
    within_guarantee: bool

    @property
    def overdue(self) -> bool:
        """Return whether its source queues it above its priority after a long wait."""
        return len(self.queue_order) > 2 and self.queue_order[2] < self.job.priority

    def has_same_demand(self, other: CandidateRequest) -> bool:
        """Return whether placing the other request would give the same result as placing this."""
        return (
            self.count == other.count
            and self.zone_limits == other.zone_limits
            and self.queue_order == other.queue_order
            and self.avoided_machines == other.avoided_machines
        )


class CandidateQueue:
    """Jobs with candidates that have no reservation yet, the most important first."""

    def __init__(self) -> None:
        self.entries: list[QueueEntry] = []
        self.new_jobs: set[str] = set()  # not yet looked at by a placement pass

    def insert(self, job_id: str, order: QueueOrder) -> None:
        """Mark a job as new, and queue it unless this entry is in the queue already."""
        self.new_jobs.add(job_id)
        entry = (order, job_id)
        position = bisect_left(self.entries, entry)
        if position >= len(self.entries) or self.entries[position] != entry:
            self.entries.insert(position, entry)

    def remove(self, job_id: str, order: QueueOrder) -> None:
        """Remove a job from the queue, if it is there."""
        self.new_jobs.discard(job_id)
        entry = (order, job_id)
        position = bisect_left(self.entries, entry)
        if position < len(self.entries) and self.entries[position] == entry:
            del self.entries[position]


class ReservationTable:
    """The requests and reservations of one shard, by job."""

    def __init__(self, inventory: Inventory, hold_s: float) -> None:
        self.inventory = inventory
        self.hold_s = hold_s
        self.requests: dict[str, CandidateRequest] = {}
        self.by_job: dict[str, dict[int, Reservation]] = {}  # job id -> reservation id
        self.queue = CandidateQueue()
        # Reservations that have preemption victims, by reservation id
        self.preempting: dict[int, Reservation] = {}
        # Pending updates for the sources: (source shard, key) -> value
        self.source_updates: SourceUpdates = {}
        self._expiry_queue: deque[Reservation] = deque()  # in the order in which hold times end
        self._next_id = 1

    # -- candidate requests ------------------------------------------------------------------

    def update_request(
        self, source_shard: int, job: Job, update: CandidateUpdate, within_guarantee: bool
    ) -> None:
        """Replace a source's request for a job, and release reservations beyond its count."""
        old = self.requests.get(job.id)
        request = CandidateRequest(
            source_shard,
            job,
            update.waiting_tasks,
            update.zone_limits,
            tuple(update.queue_order),
            frozenset(update.avoided_machines),
            within_guarantee,
        )
        if old is not None and old.queue_order != request.queue_order:
            self.queue.remove(job.id, old.queue_order)
        self.requests[job.id] = request
        self._release_surplus(job.id)
        if old is None or not request.has_same_demand(old):
            self.enqueue_if_missing(job.id)

    def cancel_request(self, job_id: str) -> None:
        """Remove the request for a job, and release all its reservations."""
        request = self.requests.pop(job_id, None)
        if request is not None:
            self.queue.remove(job_id, request.queue_order)
        self._release_surplus(job_id)

    def enqueue_if_missing(self, job_id: str) -> None:
        """Queue a job again if it has fewer reservations than candidates."""
        request = self.requests.get(job_id)
        if request is not None and self.missing(request) > 0:
            self.queue.insert(job_id, request.queue_order)

    def missing(self, request: CandidateRequest) -> int:
        """Return how many candidates lack a reservation; negative if there are too many."""
        return request.count - len(self.by_job.get(request.job.id, ()))

    def remaining_zone_limits(self, request: CandidateRequest) -> dict[str, int] | None:
        """Return how many more candidates each zone may take, as a new dict; None: no limits."""
        if request.zone_limits is None:
            return None
        remaining = dict(request.zone_limits)
        for reservation in self.by_job.get(request.job.id, {}).values():
            remaining[reservation.zone] = remaining.get(reservation.zone, 0) - 1
        return remaining

    # -- reservations ------------------------------------------------------------------------

    def reserve(
        self,
        request: CandidateRequest,
        machine: Machine,
        cost: float,
        now: float,
        victims: tuple[AttemptId, ...] = (),
    ) -> Reservation:
        """Reserve capacity for one candidate for `hold_s` seconds, and offer it to the source.

        `cost` is in seconds; sources compare offers by it. `victims` are the task attempts that
        have to be stopped before the task can start. Returns the new reservation.
        """
        reservation = Reservation(
            self._next_id,
            request.source_shard,
            request.job.id,
            machine.name,
            machine.zone,
            now + self.hold_s,
            request.job.resources,
            request.job.image,
            cost,
            victims,
            request.overdue,
        )
        self._next_id += 1
        machine.reservations[reservation.id] = reservation
        self.inventory.usage.add_reservation(machine, reservation)
        self.by_job.setdefault(reservation.job_id, {})[reservation.id] = reservation
        self._expiry_queue.append(reservation)
        if victims:
            self.preempting[reservation.id] = reservation
        self._offer(reservation)
        self.inventory.refresh(machine, now)
        self.inventory.mark_for_refresh(machine)  # so that the autoscaler gets an update
        return reservation

    def _offer(self, reservation: Reservation) -> None:
        """Queue the offer of a new reservation for its source."""
        key = (reservation.source_shard, peer_messages.offer_key(reservation.id))
        self.source_updates[key] = peer_messages.OfferUpdate(
            reservation.job_id,
            reservation.machine,
            reservation.zone,
            round(reservation.cost, 2),
            len(reservation.victims),
        )

    def release(self, reservation: Reservation, requeue: bool = True) -> None:
        """Release a reservation; with `requeue`, queue its job again if candidates are missing.

        Does nothing for a reservation that has been released already.
        """
        job_reservations = self.by_job.get(reservation.job_id)
        if job_reservations is None or job_reservations.pop(reservation.id, None) is None:
            return
        if not job_reservations:
            del self.by_job[reservation.job_id]
        self.preempting.pop(reservation.id, None)
        key = (reservation.source_shard, peer_messages.offer_key(reservation.id))
        self.source_updates[key] = None
        machine = self.inventory.machines.get(reservation.machine)
        if machine is not None:
            if machine.reservations.pop(reservation.id, None) is not None:
                self.inventory.usage.remove_reservation(machine, reservation)
            self.inventory.mark_for_refresh(machine)
        if requeue:
            self.enqueue_if_missing(reservation.job_id)

    def _release_surplus(self, job_id: str) -> None:
        """Release the reservations of a job beyond its count, the most expensive ones first."""
        job_reservations = self.by_job.get(job_id)
        if not job_reservations:
            return
        request = self.requests.get(job_id)
        surplus = len(job_reservations) - (request.count if request else 0)
        if surplus > 0:
            most_expensive_first = sorted(
                job_reservations.values(),
                key=lambda reservation: (-reservation.cost, -reservation.id),
            )
            for reservation in most_expensive_first[:surplus]:
                self.release(reservation, requeue=False)

    def expire(self, now: float) -> None:
        """Release every reservation whose hold time is over."""
        while self._expiry_queue:
            oldest = self._expiry_queue[0]
            if oldest.expires_at > now and oldest.id in self.by_job.get(oldest.job_id, ()):
                break
            self.release(self._expiry_queue.popleft())

    def release_machine(self, machine: Machine) -> None:
        """Release every reservation on a machine that has become unusable."""
        for reservation in list(machine.reservations.values()):
            self.release(reservation)
