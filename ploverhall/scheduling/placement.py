"""Candidates on one part: room is held for as many as fit, the others wait for room or to be cancelled.

A pass costs what has changed: new candidates look at a sample of what has room, waiting ones only at
machines that have gained room since.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections import Counter, deque
from dataclasses import dataclass
from random import Random

from ploverhall.protocol import peer_messages
from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.jobs import PRIORITIES, Job
from ploverhall.protocol.peer_messages import CandidateUpdate
from ploverhall.scheduling.inventory import (
    EPSILON,
    Inventory,
    JobTraits,
    Machine,
    MachinePool,
    Permit,
    PreemptionClass,
    Reservation,
    ResourceVector,
    add_scaled,
    fits,
    max_count,
    occupies,
)

# How often a waiting candidate is matched anew against work that may be stopped
PREEMPTION_INTERVAL_S = 0.25
MAX_PREEMPTION_SEARCHES = 24  # candidates matched in one go
LOWEST_PRIORITY = max(PRIORITIES.values())
# Seconds of fetching that keeping a replica apart from its like is worth: at 30, replicas fetched
# beside idle copies
REPLICA_SPREAD_COST_S = 3.0
CACHED_IMAGE_COST_S = 0.15  # seconds that each image a machine holds is worth to others
PREEMPTION_DELAY_S = 1.0  # what stopping others takes, until their room is free
LOST_WORK_WEIGHT = 0.2  # seconds of waiting that a second of lost work is worth
# Machines asked what could be stopped on them: at least so many, and so many a task
PREEMPTION_SAMPLE = 64
PREEMPTION_SAMPLE_PER_TASK = 4
# A start that is slower than this is worth the question whether a machine that holds the image is
# better
WARM_SEARCH_THRESHOLD_S = 2.0
WARM_SAMPLE = 24  # machines asked that question
# How often every waiting candidate is looked at anew, whatever has been seen to change
REVISIT_INTERVAL_S = 2.0
FailedShapes = list[tuple[ResourceVector, tuple[str, ...] | None, str | None, bool]]


@dataclass(slots=True, eq=False)
class CandidateRequest:
    """What a source wants placed: a candidate for each waiting task of a job."""

    source_shard: int
    job: Job
    count: int
    zone_limits: dict[str, int] | None
    queue_order: tuple[float, ...]
    avoided_machines: frozenset[str]
    within_guarantee: bool

    @property
    def overdue(self) -> bool:
        """Whether its source puts it before its rank, since it has waited for so long."""
        return len(self.queue_order) > 2 and self.queue_order[2] < self.job.priority


class Placement:
    """Holds room for candidates and tells the sources."""

    def __init__(self, inventory: Inventory, hold_s: float, sample: int, random: Random) -> None:
        self.inventory = inventory
        self.hold_s = hold_s
        self.sample = sample
        self.random = random
        self.requests: dict[str, CandidateRequest] = {}
        self.reservations: dict[str, dict[int, Reservation]] = {}
        # Candidates without room, most important first
        self.queue: list[tuple[tuple[float, ...], str]] = []
        self.new_requests: set[str] = set()  # those not yet looked at
        self.expiry_queue: deque[Reservation] = deque()  # in the order in which the hold time ends
        self.preempting: dict[int, Reservation] = {}
        # What permits being carried out stop already; the owner keeps it
        self.victims: set[AttemptId] = set()
        # Who found too few ways: the fleet's counter, how many, in which zone
        self.exhausted_searches: dict[str, tuple[int, int, str | None]] = {}
        # Alike gangs: the counter, and the ways there were in all
        self.exhausted_gang_searches: dict[tuple[object, ...], tuple[int, int]] = {}
        # Machines asked what could be stopped on them: what the tests of growth count
        self.preemption_checks = 0
        # Machines that are left to empty for a gang that has not begun for long
        self.kept_for_job: dict[str, str] = {}
        # The one gang that may hold room for less than all of its tasks
        self.partial_gang: str | None = None
        self.next_reservation_id = 1
        self.next_preemption_at = 0.0
        self.next_revisit_at = 0.0
        self.source_updates: dict[
            tuple[int, str], list[object] | peer_messages.OfferUpdate | None
        ] = {}

    # -- what is wanted ----------------------------------------------------------------------

    def request(
        self, source_shard: int, job: Job, update: CandidateUpdate, within_guarantee: bool
    ) -> None:
        """A source's candidates for a job are these from now on."""
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
            self._remove_from_queue(job.id, old.queue_order)
        self.requests[job.id] = request
        self.exhausted_searches.pop(job.id, None)
        self._release_surplus(job.id)
        if old is None or (
            request.count,
            request.zone_limits,
            request.queue_order,
            request.avoided_machines,
        ) != (
            old.count,
            old.zone_limits,
            old.queue_order,
            old.avoided_machines,
        ):
            self._enqueue_if_missing(job.id)

    def cancel(self, job_id: str) -> None:
        """No candidates of this job any more."""
        request = self.requests.pop(job_id, None)
        self.exhausted_searches.pop(job_id, None)
        if request is not None:
            self._remove_from_queue(job_id, request.queue_order)
        self._release_surplus(job_id)

    def _enqueue_if_missing(self, job_id: str) -> None:
        """Look for room for what a job still misses."""
        request = self.requests.get(job_id)
        if request is not None and len(self.reservations.get(job_id, ())) < request.count:
            self.new_requests.add(job_id)
            self._insert_into_queue(job_id, request)

    def _insert_into_queue(self, job_id: str, request: CandidateRequest) -> None:
        at = (request.queue_order, job_id)
        i = bisect_left(self.queue, at)
        if i >= len(self.queue) or self.queue[i] != at:
            insort(self.queue, at)

    def _remove_from_queue(self, job_id: str, order: tuple[float, ...]) -> None:
        self.new_requests.discard(job_id)
        i = bisect_left(self.queue, (order, job_id))
        if i < len(self.queue) and self.queue[i] == (order, job_id):
            del self.queue[i]

    # -- held room ---------------------------------------------------------------------------

    def reserve(
        self,
        request: CandidateRequest,
        machine: Machine,
        cost: float,
        now: float,
        victims: tuple[AttemptId, ...] = (),
    ) -> Reservation:
        """Keep room for one candidate until the hold time is over, and say so."""
        reservation = Reservation(
            self.next_reservation_id,
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
        self.next_reservation_id += 1
        machine.reservations[reservation.id] = reservation
        self.reservations.setdefault(reservation.job_id, {})[reservation.id] = reservation
        self.expiry_queue.append(reservation)
        if victims:
            self.preempting[reservation.id] = reservation
        self.source_updates[reservation.source_shard, peer_messages.offer_key(reservation.id)] = (
            peer_messages.OfferUpdate(
                reservation.job_id,
                reservation.machine,
                reservation.zone,
                round(reservation.cost, 2),
                len(victims),
            )
        )
        self.inventory.refresh(machine, now)
        self.inventory.mark_changed(machine)  # for the renter
        return reservation

    def release(self, reservation: Reservation, requeue: bool = True) -> None:
        """Give held room back; what is still wanted is looked for anew."""
        held = self.reservations.get(reservation.job_id)
        if held is None or held.pop(reservation.id, None) is None:
            return
        if not held:
            del self.reservations[reservation.job_id]
        self.preempting.pop(reservation.id, None)
        self.source_updates[reservation.source_shard, peer_messages.offer_key(reservation.id)] = (
            None
        )
        machine = self.inventory.machines.get(reservation.machine)
        if machine is not None:
            machine.reservations.pop(reservation.id, None)
            self.inventory.mark_changed(machine)
        if requeue:
            self._enqueue_if_missing(reservation.job_id)

    def _release_surplus(self, job_id: str) -> None:
        """Cancelled candidates give their room back."""
        held = self.reservations.get(job_id)
        if not held:
            return
        want = self.requests.get(job_id)
        count = want.count if want else 0
        if len(held) > count:
            for reservation in sorted(
                held.values(), key=lambda reservation: (-reservation.cost, -reservation.id)
            )[: len(held) - count]:
                self.release(reservation, requeue=False)

    def expire(self, now: float) -> None:
        """The hold time of unpermitted room is over."""
        while self.expiry_queue and (
            self.expiry_queue[0].expires_at <= now
            or self.expiry_queue[0].id not in self.reservations.get(self.expiry_queue[0].job_id, ())
        ):
            self.release(self.expiry_queue.popleft())

    def release_machine(self, machine: Machine) -> None:
        """A machine that can't be used holds nothing."""
        for reservation in list(machine.reservations.values()):
            self.release(reservation)

    # -- placing -----------------------------------------------------------------------------

    def place_waiting(self, now: float) -> None:
        """One pass: new candidates anywhere, waiting ones on machines that have gained room."""
        fleet = self.inventory
        preempt = now >= self.next_preemption_at
        if not (self.new_requests or fleet.machines_with_gains or preempt) or not self.queue:
            fleet.machines_with_gains.clear()
            return
        if preempt:
            self.next_preemption_at = now + PREEMPTION_INTERVAL_S
        if now >= self.next_revisit_at:
            self.next_revisit_at = now + REVISIT_INTERVAL_S
            self.exhausted_searches.clear()
            self.exhausted_gang_searches.clear()
            for job_id in self.requests:
                self._enqueue_if_missing(job_id)
            self._keep_machines_for_gang(now)
        gained = fleet.machines_with_gains
        fleet.machines_with_gains = {}
        failed: FailedShapes = []
        tries = MAX_PREEMPTION_SEARCHES
        partial_seen = False
        still: list[tuple[tuple[float, ...], str]] = []
        for i, (order, job_id) in enumerate(self.queue):
            if not self.new_requests and not gained and not (preempt and tries):
                still += self.queue[i:]
                # Not all were seen: whoever holds pieces may still be among the rest
                partial_seen = True
                break
            request = self.requests.get(job_id)
            if request is None:
                continue
            new = job_id in self.new_requests
            missing = request.count - len(self.reservations.get(job_id, ()))
            if missing > 0 and request.job.kind == "gang":
                if new or gained or (preempt and tries):
                    before = missing
                    missing = self._place_gang(
                        job_id,
                        request,
                        missing,
                        not partial_seen,
                        failed,
                        now,
                        (new or preempt) and tries > 0,
                    )
                    tries -= bool((new or preempt) and before)
                partial_seen = partial_seen or missing > 0
                if missing <= 0 and self.partial_gang == job_id:
                    self.partial_gang = None
            elif missing > 0:
                if new:
                    missing = self._place_tasks(job_id, request, missing, None, failed, now)
                elif gained:
                    missing = self._place_tasks(job_id, request, missing, gained, failed, now)
                if missing > 0 and tries and (new or preempt) and self._could_preempt(request):
                    tries -= 1
                    missing -= self._preempt(job_id, request, missing, now)
            self.new_requests.discard(job_id)
            if missing > 0:
                still.append((order, job_id))
        self.queue = still
        if not partial_seen:
            self.partial_gang = None

    def _keep_machines_for_gang(self, now: float) -> None:
        """Whole machines for the first gang whose source puts it before its rank: nothing else goes there until it has begun.

        Room is free one task at a time, and the next small task has it at once; a gang of whole machines never found one empty
        (tests/test_largest.py). For one gang at a time, and no longer than its turn.
        """
        first: CandidateRequest | None = None
        for _, job_id in self.queue:
            request = self.requests.get(job_id)
            if (
                request is not None
                and request.job.kind == "gang"
                and request.overdue
                and len(self.reservations.get(job_id, ())) < request.count
            ):
                first = request
                break
        kept = self._machines_to_keep(first, now) if first is not None else {}
        for name in self.kept_for_job.keys() - kept.keys():
            if (machine := self.inventory.machines.get(name)) is not None:
                self.inventory.machines_with_gains[name] = machine  # others may have it again
        self.kept_for_job = kept

    def _machines_to_keep(self, request: CandidateRequest, now: float) -> dict[str, str]:
        job, fleet, zones = (
            request.job,
            self.inventory,
            self._remaining_zone_limits(request.job.id, request),
        )
        places = {
            pool for pool in fleet.allowed_pools(job) if zones is None or zones.get(pool[1], 0) > 0
        }
        mine = [
            machine
            for machine in fleet.machines.values()
            if machine.pool in places
            and not fleet.unusable(machine, now)
            and machine.name not in request.avoided_machines
        ]
        if job.single_zone and mine:
            count = Counter(machine.zone for machine in mine)
            zone = max(count, key=lambda zone_name: (count[zone_name], zone_name))
            mine = [machine for machine in mine if machine.zone == zone]
        out: dict[str, str] = {}
        left = request.count - len(self.reservations.get(job.id, ()))
        for machine in sorted(
            mine,
            key=lambda machine: (
                machine.name not in self.kept_for_job,
                [-x for x in machine.free],
                machine.name,
            ),
        ):
            if left <= 0:
                break
            each = min(
                (
                    max_count(x, c + EPSILON * x)
                    for x, c in zip(
                        job.resources, fleet.machine_types[machine.type].resources, strict=True
                    )
                    if x > 0
                ),
                default=0,
            )
            if each > 0:
                out[machine.name] = job.id
                left -= each
        return out

    def _avoided_machines(self, request: CandidateRequest) -> frozenset[str]:
        """Machines that it failed on, and those that are kept for somebody else."""
        return (
            request.avoided_machines.union(
                m for m, job_id in self.kept_for_job.items() if job_id != request.job.id
            )
            if self.kept_for_job
            else request.avoided_machines
        )

    def _remaining_zone_limits(
        self, job_id: str, request: CandidateRequest
    ) -> dict[str, int] | None:
        """How many more candidates each zone may take."""
        if request.zone_limits is None:
            return None
        left = dict(request.zone_limits)
        for reservation in self.reservations.get(job_id, {}).values():
            left[reservation.zone] = left.get(reservation.zone, 0) - 1
        return left

    def _place_tasks(
        self,
        job_id: str,
        request: CandidateRequest,
        missing: int,
        only: dict[str, Machine] | None,
        failed: FailedShapes,
        now: float,
        zone: str | None = None,
    ) -> int:
        """Hold room for up to `missing` candidates; what is left over."""
        job = request.job
        shape = (job.resources, job.machine_types, job.zone, job.spot)
        if (
            only is None
            and zone is None
            and request.zone_limits is None
            and not request.avoided_machines
            and any(s[1:] == shape[1:] and fits(s[0], shape[0]) for s in failed)
        ):
            return missing  # something no larger has just found no room
        zones, avoid = self._remaining_zone_limits(job_id, request), self._avoided_machines(request)
        all_places = [
            pool for pool in self.inventory.allowed_pools(job) if zone is None or pool[1] == zone
        ]
        while missing > 0:
            places = [pool for pool in all_places if zones is None or zones.get(pool[1], 0) > 0]
            if only is not None:
                for name in [
                    controller_name
                    for controller_name, machine in only.items()
                    if machine.index_bucket is None
                ]:
                    del only[name]
                found = [
                    machine
                    for machine in only.values()
                    if machine.pool in places
                    and fits(job.resources, machine.free)
                    and machine.name not in avoid
                ]
                found = (
                    found
                    if len(found) <= 2 * self.sample
                    else self.random.sample(found, 2 * self.sample)
                )
            else:
                found = self.inventory.find_machines(job, places, avoid, self.sample, self.random)
            found = [machine for machine in found if not self.inventory.unusable(machine, now)]
            if not found:
                if only is None and zone is None and zones is None and not avoid:
                    failed.append(shape)
                break
            cost, _, _, machine = min(
                (*self.score(job, machine), machine.name, machine) for machine in found
            )
            victims: tuple[AttemptId, ...] = ()
            if (
                job.image not in machine.images
                and cost > WARM_SEARCH_THRESHOLD_S
                and only is None
                and (job.kind != "gang" or request.count == 1)
            ):
                way = self._find_warm_preemption(request, places, now)
                if way is not None and way[0] < cost:
                    cost, machine, victims = way
            self.reserve(request, machine, cost, now, victims)
            if (
                only is not None
                and self.inventory.whole_units(
                    machine.free, self.inventory.machine_types[machine.type]
                )
                == 0
            ):
                only.pop(machine.name, None)
            if zones is not None:
                zones[machine.zone] -= 1
            missing -= 1
        return missing

    def _place_gang(
        self,
        job_id: str,
        request: CandidateRequest,
        missing: int,
        first: bool,
        failed: FailedShapes,
        now: float,
        may_preempt: bool,
    ) -> int:
        """All or nothing, but for the most important gang that waits: that one may hold pieces.

        Gangs that held pieces of one another's room never ran (the grown ardgael-loans: sixteen whole machines in one zone);
        the first in the queue keeps what it finds, so that it does not starve, and the others take what it leaves.
        """
        fleet = self.inventory
        if first and self.partial_gang != job_id:
            pieces = self.reservations.get(self.partial_gang or "", {})
            last = self.requests.get(self.partial_gang or "")
            if last is not None and len(pieces) < last.count:
                # else they are being permitted together with another part's, and nobody else's to take
                # (they were given away, the permits refused, and the queue changed under the walk: KeyError)
                for reservation in list(pieces.values()):
                    self.release(reservation, requeue=False)  # it waits already
            self.partial_gang = job_id
        places = fleet.allowed_pools(request.job)
        zones = self._remaining_zone_limits(job_id, request)
        if zones is not None:
            places = [pool for pool in places if zones.get(pool[1], 0) > 0]
        if not places:
            return missing
        zone: str | None = None
        held = self.reservations.get(job_id, {})
        stoppable = may_preempt and self._could_preempt(request)
        if request.job.single_zone:
            if held:
                zone = next(iter(held.values())).zone
            else:
                bounds = {
                    zone_name: fleet.max_tasks(
                        request.job.resources, [pool for pool in places if pool[1] == zone_name]
                    )
                    for zone_name in {pool[1] for pool in places}
                }
                ways: Counter[str] = Counter()
                if stoppable and max(bounds.values()) < missing:
                    # where work could be stopped for it counts, too: with no room free anywhere the last zone by name was asked each time,
                    # and nowhere else was anything stopped (shannon-loanworks rough, seed 53: gangs waited for up to 33 s)
                    ways = Counter(
                        machine.zone
                        for machine in fleet.preemption_candidates.values()
                        if machine.pool in places
                    )
                zone = max(
                    bounds,
                    key=lambda zone_name: (
                        min(bounds[zone_name] + ways[zone_name], missing),
                        min(bounds[zone_name], missing),
                        ways[zone_name],
                        zone_name,
                    ),
                )
        bound = fleet.max_tasks(
            request.job.resources, [pool for pool in places if zone is None or pool[1] == zone]
        )
        if bound < missing and not first and not stoppable:
            return missing
        mine = set(held)
        if bound > 0:
            missing = self._place_tasks(job_id, request, missing, None, failed, now, zone)
        if missing > 0 and stoppable:
            missing -= self._preempt(job_id, request, missing, now, zone)
        if missing > 0 and not first:
            for reservation in [
                reservation
                for reservation in self.reservations.get(job_id, {}).values()
                if reservation.id not in mine
            ]:
                self.release(reservation, requeue=False)
                if (machine := fleet.machines.get(reservation.machine)) is not None:
                    fleet.refresh(machine, now)
                    fleet.machines_with_gains.pop(
                        reservation.machine, None
                    )  # nothing was gained: trying again at once would find the same
        return missing

    def score(self, job: Job, machine: Machine) -> tuple[float, float]:
        """Best fit: seconds until it could run, then the room left over; replicas of one job keep apart."""
        kind = self.inventory.machine_types[machine.type]
        fetch = 0.0
        if job.image not in machine.images:
            coming = {
                permit.image
                for permit in machine.permits.values()
                if not permit.gone and permit.image not in machine.images
            }
            held = {
                reservation.image
                for reservation in machine.reservations.values()
                if reservation.image not in machine.images
            }
            fetch = job.image_gb / max(kind.fetch_gb_s, 0.01)
            if job.image in coming:
                fetch *= 0.5
            elif job.image in held:
                fetch *= 0.8
            else:
                fetch *= 1 + len(
                    coming | held
                )  # images fetched at the same time share the machine's rate
                fetch += CACHED_IMAGE_COST_S * len(
                    machine.images
                )  # what has to be fetched anyway goes where it spoils no well-stocked machine
        room = machine.free
        same = 0
        if job.kind == "service":
            # services stay long: pack them by what other services leave, so that whole machines fall empty
            room = machine.free_for_services
            same = sum(
                1
                for attempt_id, permit in machine.permits.items()
                if attempt_id[0] == job.id and not permit.gone
            )
            same += sum(
                1 for reservation in machine.reservations.values() if reservation.job_id == job.id
            )
        left = add_scaled(room, job.resources, -1)
        share = sum(x / c for x, c in zip(left, kind.resources, strict=True) if c > 0)
        if job.spot and not machine.spot:
            fetch += 20.0  # leave ordinary machines to work that needs them
        if job.kind == "service":
            return fetch + REPLICA_SPREAD_COST_S * same + 4.0 * share, share
        return fetch, share

    # -- preemption --------------------------------------------------------------------------

    def _could_preempt(self, request: CandidateRequest) -> bool:
        """Whether there is any work here that this candidate may stop."""
        mine = self.inventory.job_traits.get(request.job.id)
        if (request.job.priority >= LOWEST_PRIORITY and not request.within_guarantee) or (
            mine is not None and mine.failing_everywhere
        ):
            return False
        return any(
            self.may_preempt(request, preemption_class)
            for preemption_class in self.inventory.preemptible_classes
        )

    def may_preempt(self, request: CandidateRequest, preemption_class: PreemptionClass) -> bool:
        """The published rules of preemption, without their circle: what has called in its team's guarantee keeps the room.

        By rank an urgent array beyond its team's guarantee may stop another team's lower work within its own, which may stop it in turn
        for the guarantee: where there was more work than room, both were started and stopped every 0.25 s, up to 90 times a task.
        What is of the highest rank is never stopped itself, and so stands in no circle.
        """
        rank, within, team, kind, called = preemption_class
        if rank > request.job.priority:
            return not called or request.within_guarantee or request.job.priority == 0
        # to give a team its guarantee: only where little is lost, not a whole gang
        return (
            request.within_guarantee and not within and team != request.job.team and kind == "array"
        )

    def _lost_work(self, permit: Permit, info: JobTraits, now: float) -> float:
        """Seconds of work lost if it is stopped."""
        ran = now - permit.running_since if permit.running_since is not None else 0.0
        return (
            min(ran, info.preemption_grace_s or 0.5 * info.checkpoint_s)
            if info.checkpoint_s > 0
            else ran
        )

    def _preempt(
        self,
        job_id: str,
        request: CandidateRequest,
        missing: int,
        now: float,
        zone: str | None = None,
    ) -> int:
        """Room ready only by stopping less important work: the least lost work first, and only where it is enough.

        A sample of the machines with such work, and all of them only while it is not enough. Who found none is asked again
        only for machines that have gained something since: these walks took a fifth of a calm day's processor time, and
        grew with the square of the fleet.
        """
        fleet = self.inventory
        classes = {
            preemption_class
            for preemption_class in fleet.preemptible_classes
            if self.may_preempt(request, preemption_class)
        }
        gang = request.job.kind == "gang"
        since, last, there = self.exhausted_searches.get(job_id, (0, 0, None))
        if not classes or (
            since >= fleet.preemption_generation
            and (not gang or (last < missing and there == zone))
        ):
            return 0
        job = request.job
        alike = (
            (job.resources, job.machine_types, job.zone, job.spot, zone, frozenset(classes))
            if gang and request.zone_limits is None and not request.avoided_machines
            else None
        )
        if (
            alike is not None
            and (dry := self.exhausted_gang_searches.get(alike)) is not None
            and dry[0] == fleet.preemption_generation
            and dry[1] < missing
        ):
            return 0  # a gang like it has just found fewer ways than this one needs
        zones = self._remaining_zone_limits(job_id, request)
        places: set[MachinePool] = set(
            other_pool
            for other_pool in fleet.allowed_pools(job)
            if zone is None or other_pool[1] == zone
        )
        pool: list[Machine] = []
        for machine in reversed(fleet.preemption_candidates.values()):
            if not gang and machine.preemptible_since <= since:
                break
            if machine.pool in places and not machine.preemptible_classes.isdisjoint(classes):
                pool.append(machine)
        taken, avoid = self._victims_in_progress(), self._avoided_machines(request)
        ways: list[tuple[float, str, Machine, tuple[AttemptId, ...]]] = []
        start = self.random.randrange(len(pool)) if pool else 0
        pool = pool[start:] + pool[:start]
        # those that hold the image first, however many they are: a sample of all missed them, and 3 in 100 replicas came late for it
        # (ardgael-loans-fleet restart, four seeds side by side)
        warm = self.inventory.image_holders.get(job.image, {})
        near = [machine for machine in pool if machine.name in warm]
        enough = len(near) + max(PREEMPTION_SAMPLE, PREEMPTION_SAMPLE_PER_TASK * missing)
        for i, machine in enumerate(
            [*near, *(machine for machine in pool if machine.name not in warm)] if near else pool
        ):
            if machine.name in avoid or fleet.unusable(machine, now):
                continue
            if (way := self._plan_preemption(machine, request, taken, now)) is not None:
                ways.append((way[0], machine.name, machine, way[1]))
                if i >= enough and len(ways) >= 2 * missing:
                    break
        heapq.heapify(ways)
        found = 0
        while ways and found < missing:
            loss, _, machine, victims = heapq.heappop(ways)
            if zones is not None:
                if zones.get(machine.zone, 0) <= 0:
                    continue
                zones[machine.zone] -= 1
            taken.update(victims)
            self.reserve(request, machine, loss, now, victims)
            found += 1
            if (way := self._plan_preemption(machine, request, taken, now)) is not None:
                heapq.heappush(ways, (way[0], machine.name, machine, way[1]))
        if found < missing:
            self.exhausted_searches[job_id] = (fleet.preemption_generation, found, zone)
            if alike is not None:
                self.exhausted_gang_searches[alike] = (fleet.preemption_generation, found)
        return found

    def _victims_in_progress(self) -> set[AttemptId]:
        """What leaves for others already."""
        return {
            attempt_id
            for reservation in self.preempting.values()
            for attempt_id in reservation.victims
        } | self.victims

    def _find_warm_preemption(
        self, request: CandidateRequest, places: list[MachinePool], now: float
    ) -> tuple[float, Machine, tuple[AttemptId, ...]] | None:
        """Room on a machine that holds the image, by stopping work that has hardly begun.

        Free room is mostly on machines that have just come and hold nothing; where there was room at all, nine of
        ten starts fetched for longer than their users wait (both grown deployments, steady).
        """
        holders = self.inventory.image_holders.get(request.job.image)
        if not holders or not self._could_preempt(request):
            return None
        some = list(holders.values())
        if len(some) > WARM_SAMPLE:
            some = self.random.sample(some, WARM_SAMPLE)
        taken, avoid = self._victims_in_progress(), self._avoided_machines(request)
        ways = [
            (way[0], machine.name, machine, way[1])
            for machine in some
            if machine.permits
            and machine.pool in places
            and machine.name not in avoid
            and not self.inventory.unusable(machine, now)
            and (way := self._plan_preemption(machine, request, taken, now)) is not None
        ]
        if not ways:
            return None
        cost, _, machine, victims = min(ways, key=lambda x: x[:2])
        return cost, machine, victims

    def _plan_preemption(
        self, machine: Machine, request: CandidateRequest, taken: set[AttemptId], now: float
    ) -> tuple[float, tuple[AttemptId, ...]] | None:
        """The cheapest way to make room on one machine: what it costs, and what it stops."""
        options = []
        self.preemption_checks += 1
        room = machine.free
        for key, permit in machine.permits.items():
            info = self.inventory.job_traits.get(key[0])
            if key in taken:
                if occupies(permit, machine.tasks.get(key)):
                    # It goes for a start whose room is counted already
                    room = add_scaled(room, permit.resources)
                continue
            if (
                info is None
                or permit.gone
                or permit.refused
                or permit.stop_grace_s is not None
                or permit.evict_requested
                or (preemption_class := machine.preemptible.get(key)) is None
            ):
                continue
            if self.may_preempt(request, preemption_class):
                options.append(
                    (
                        self._lost_work(permit, info, now)
                        + (1000.0 if info.kind == "gang" else 0.0),
                        key,
                        permit,
                    )
                )
        chosen: list[AttemptId] = []
        loss = 0.0
        for cost, key, permit in sorted(options, key=lambda x: x[:2]):
            if fits(request.job.resources, room):
                break
            room = add_scaled(room, permit.resources)
            chosen.append(key)
            loss += cost
        if not chosen or not fits(request.job.resources, room):
            return None
        return PREEMPTION_DELAY_S + LOST_WORK_WEIGHT * loss + self.score(request.job, machine)[
            0
        ], tuple(chosen)
