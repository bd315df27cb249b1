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
from ploverhall.protocol.agents import Key
from ploverhall.protocol.jobs import RANKS, Job
from ploverhall.protocol.peer_messages import Candidate
from ploverhall.scheduling.inventory import (
    EPS,
    Class,
    Fleet,
    Info,
    Machine,
    Permit,
    Place,
    Ticket,
    Vec,
    add,
    fits,
    occupies,
    times,
)

PREEMPT_EVERY_S = (
    0.25  # how often a waiting candidate is matched anew against work that may be stopped
)
PREEMPT_AT_ONCE = 24  # candidates matched in one go
LEAST_RANK = max(RANKS.values())
APART_S = 3.0  # seconds of fetching that keeping a replica apart from its like is worth: at 30, replicas fetched beside idle copies
CACHE_S = 0.15  # seconds that each image a machine holds is worth to others
STOP_S = 1.0  # what stopping others takes, until their room is free
LOSS_WORTH = 0.2  # seconds of waiting that a second of lost work is worth
STOP_SAMPLE, STOP_EACH = (
    64,
    4,
)  # machines asked what could be stopped on them: at least so many, and so many a task
WARM_S = 2.0  # a start that is slower than this is worth the question whether a machine that holds the image is better
WARM_TRIES = 24  # machines asked that question
REVISIT_S = (
    2.0  # how often every waiting candidate is looked at anew, whatever has been seen to change
)
Failed = list[tuple[Vec, tuple[str, ...] | None, str | None, bool]]


@dataclass(slots=True, eq=False)
class Want:
    """What a source wants placed: a candidate for each waiting task of a job."""

    src: int
    job: Job
    n: int
    zones: dict[str, int] | None
    order: tuple[float, ...]
    avoid: frozenset[str]
    within: bool

    @property
    def late(self) -> bool:
        """Whether its source puts it before its rank, since it has waited for so long."""
        return len(self.order) > 2 and self.order[2] < self.job.rank


class Placement:
    """Holds room for candidates and tells the sources."""

    def __init__(self, fleet: Fleet, hold_s: float, sample: int, rng: Random) -> None:
        self.fleet, self.hold_s, self.sample, self.rng = fleet, hold_s, sample, rng
        self.wants: dict[str, Want] = {}
        self.tickets: dict[str, dict[int, Ticket]] = {}
        self.waiting: list[
            tuple[tuple[float, ...], str]
        ] = []  # candidates without room, most important first
        self.new: set[str] = set()  # those not yet looked at
        self.expiry: deque[Ticket] = deque()  # in the order in which the hold time ends
        self.preempting: dict[int, Ticket] = {}
        self.victims: set[Key] = (
            set()
        )  # what permits being carried out stop already; the owner keeps it
        self.asked: dict[
            str, tuple[int, int, str | None]
        ] = {}  # who found too few ways: the fleet's counter, how many, in which zone
        self.dry: dict[
            tuple[object, ...], tuple[int, int]
        ] = {}  # alike gangs: the counter, and the ways there were in all
        self.ways = (
            0  # machines asked what could be stopped on them: what the tests of growth count
        )
        self.kept: dict[
            str, str
        ] = {}  # machines that are left to empty for a gang that has not begun for long
        self.partial: str | None = (
            None  # the one gang that may hold room for less than all of its tasks
        )
        self.next_ticket = 1
        self.next_preempt = 0.0
        self.next_revisit = 0.0
        self.news: dict[tuple[int, str], list[object] | peer_messages.OfferNews | None] = {}

    # -- what is wanted ----------------------------------------------------------------------

    def want(self, src: int, job: Job, c: Candidate, within: bool) -> None:
        """A source's candidates for a job are these from now on."""
        old = self.wants.get(job.id)
        w = Want(src, job, c.n, c.zones, tuple(c.order), frozenset(c.avoid), within)
        if old is not None and old.order != w.order:
            self._leave_queue(job.id, old.order)
        self.wants[job.id] = w
        self.asked.pop(job.id, None)
        self._trim(job.id)
        if old is None or (w.n, w.zones, w.order, w.avoid) != (
            old.n,
            old.zones,
            old.order,
            old.avoid,
        ):
            self._queue(job.id)

    def cancel(self, jid: str) -> None:
        """No candidates of this job any more."""
        w = self.wants.pop(jid, None)
        self.asked.pop(jid, None)
        if w is not None:
            self._leave_queue(jid, w.order)
        self._trim(jid)

    def _queue(self, jid: str) -> None:
        """Look for room for what a job still misses."""
        w = self.wants.get(jid)
        if w is not None and len(self.tickets.get(jid, ())) < w.n:
            self.new.add(jid)
            self._wait(jid, w)

    def _wait(self, jid: str, w: Want) -> None:
        at = (w.order, jid)
        i = bisect_left(self.waiting, at)
        if i >= len(self.waiting) or self.waiting[i] != at:
            insort(self.waiting, at)

    def _leave_queue(self, jid: str, order: tuple[float, ...]) -> None:
        self.new.discard(jid)
        i = bisect_left(self.waiting, (order, jid))
        if i < len(self.waiting) and self.waiting[i] == (order, jid):
            del self.waiting[i]

    # -- held room ---------------------------------------------------------------------------

    def hold(
        self, w: Want, m: Machine, cost: float, now: float, victims: tuple[Key, ...] = ()
    ) -> Ticket:
        """Keep room for one candidate until the hold time is over, and say so."""
        t = Ticket(
            self.next_ticket,
            w.src,
            w.job.id,
            m.name,
            m.zone,
            now + self.hold_s,
            w.job.vec,
            w.job.image,
            cost,
            victims,
            w.late,
        )
        self.next_ticket += 1
        m.tickets[t.id] = t
        self.tickets.setdefault(t.job, {})[t.id] = t
        self.expiry.append(t)
        if victims:
            self.preempting[t.id] = t
        self.news[t.src, peer_messages.offer_key(t.id)] = peer_messages.OfferNews(
            t.job, t.machine, t.zone, round(t.cost, 2), len(victims)
        )
        self.fleet.look(m, now)
        self.fleet.touch(m)  # for the renter
        return t

    def free(self, t: Ticket, again: bool = True) -> None:
        """Give held room back; what is still wanted is looked for anew."""
        held = self.tickets.get(t.job)
        if held is None or held.pop(t.id, None) is None:
            return
        if not held:
            del self.tickets[t.job]
        self.preempting.pop(t.id, None)
        self.news[t.src, peer_messages.offer_key(t.id)] = None
        m = self.fleet.machines.get(t.machine)
        if m is not None:
            m.tickets.pop(t.id, None)
            self.fleet.touch(m)
        if again:
            self._queue(t.job)

    def _trim(self, jid: str) -> None:
        """Cancelled candidates give their room back."""
        held = self.tickets.get(jid)
        if not held:
            return
        want = self.wants.get(jid)
        n = want.n if want else 0
        if len(held) > n:
            for t in sorted(held.values(), key=lambda t: (-t.cost, -t.id))[: len(held) - n]:
                self.free(t, again=False)

    def expire(self, now: float) -> None:
        """The hold time of unpermitted room is over."""
        while self.expiry and (
            self.expiry[0].until <= now
            or self.expiry[0].id not in self.tickets.get(self.expiry[0].job, ())
        ):
            self.free(self.expiry.popleft())

    def release(self, m: Machine) -> None:
        """A machine that can't be used holds nothing."""
        for t in list(m.tickets.values()):
            self.free(t)

    # -- placing -----------------------------------------------------------------------------

    def place(self, now: float) -> None:
        """One pass: new candidates anywhere, waiting ones on machines that have gained room."""
        fleet = self.fleet
        preempt = now >= self.next_preempt
        if not (self.new or fleet.gained or preempt) or not self.waiting:
            fleet.gained.clear()
            return
        if preempt:
            self.next_preempt = now + PREEMPT_EVERY_S
        if now >= self.next_revisit:
            self.next_revisit = now + REVISIT_S
            self.asked.clear()
            self.dry.clear()
            for jid in self.wants:
                self._queue(jid)
            self._keep(now)
        gained, fleet.gained = fleet.gained, {}
        failed: Failed = []
        tries = PREEMPT_AT_ONCE
        partial_seen = False
        still: list[tuple[tuple[float, ...], str]] = []
        for i, (order, jid) in enumerate(self.waiting):
            if not self.new and not gained and not (preempt and tries):
                still += self.waiting[i:]
                partial_seen = (
                    True  # not all were seen: whoever holds pieces may still be among the rest
                )
                break
            w = self.wants.get(jid)
            if w is None:
                continue
            new = jid in self.new
            missing = w.n - len(self.tickets.get(jid, ()))
            if missing > 0 and w.job.kind == "gang":
                if new or gained or (preempt and tries):
                    before = missing
                    missing = self._place_gang(
                        jid,
                        w,
                        missing,
                        not partial_seen,
                        failed,
                        now,
                        (new or preempt) and tries > 0,
                    )
                    tries -= bool((new or preempt) and before)
                partial_seen = partial_seen or missing > 0
                if missing <= 0 and self.partial == jid:
                    self.partial = None
            elif missing > 0:
                if new:
                    missing = self._place(jid, w, missing, None, failed, now)
                elif gained:
                    missing = self._place(jid, w, missing, gained, failed, now)
                if missing > 0 and tries and (new or preempt) and self._could_stop(w):
                    tries -= 1
                    missing -= self._preempt(jid, w, missing, now)
            self.new.discard(jid)
            if missing > 0:
                still.append((order, jid))
        self.waiting = still
        if not partial_seen:
            self.partial = None

    def _keep(self, now: float) -> None:
        """Whole machines for the first gang whose source puts it before its rank: nothing else goes there until it has begun.

        Room is free one task at a time, and the next small task has it at once; a gang of whole machines never found one empty
        (tests/test_largest.py). For one gang at a time, and no longer than its turn.
        """
        first: Want | None = None
        for _, jid in self.waiting:
            w = self.wants.get(jid)
            if (
                w is not None
                and w.job.kind == "gang"
                and w.late
                and len(self.tickets.get(jid, ())) < w.n
            ):
                first = w
                break
        kept = self._kept_for(first, now) if first is not None else {}
        for name in self.kept.keys() - kept.keys():
            if (m := self.fleet.machines.get(name)) is not None:
                self.fleet.gained[name] = m  # others may have it again
        self.kept = kept

    def _kept_for(self, w: Want, now: float) -> dict[str, str]:
        job, fleet, zones = w.job, self.fleet, self._by_zone(w.job.id, w)
        places = {p for p in fleet.places(job) if zones is None or zones.get(p[1], 0) > 0}
        mine = [
            m
            for m in fleet.machines.values()
            if m.place in places and not fleet.unusable(m, now) and m.name not in w.avoid
        ]
        if job.one_zone and mine:
            count = Counter(m.zone for m in mine)
            zone = max(count, key=lambda z: (count[z], z))
            mine = [m for m in mine if m.zone == zone]
        out: dict[str, str] = {}
        left = w.n - len(self.tickets.get(job.id, ()))
        for m in sorted(
            mine, key=lambda m: (m.name not in self.kept, [-x for x in m.free], m.name)
        ):
            if left <= 0:
                break
            each = min(
                (
                    times(x, c + EPS * x)
                    for x, c in zip(job.vec, fleet.types[m.type].vec, strict=True)
                    if x > 0
                ),
                default=0,
            )
            if each > 0:
                out[m.name] = job.id
                left -= each
        return out

    def _avoided(self, w: Want) -> frozenset[str]:
        """Machines that it failed on, and those that are kept for somebody else."""
        return (
            w.avoid.union(m for m, j in self.kept.items() if j != w.job.id)
            if self.kept
            else w.avoid
        )

    def _by_zone(self, jid: str, w: Want) -> dict[str, int] | None:
        """How many more candidates each zone may take."""
        if w.zones is None:
            return None
        left = dict(w.zones)
        for t in self.tickets.get(jid, {}).values():
            left[t.zone] = left.get(t.zone, 0) - 1
        return left

    def _place(
        self,
        jid: str,
        w: Want,
        missing: int,
        only: dict[str, Machine] | None,
        failed: Failed,
        now: float,
        zone: str | None = None,
    ) -> int:
        """Hold room for up to `missing` candidates; what is left over."""
        job = w.job
        shape = (job.vec, job.types, job.zone, job.spot)
        if (
            only is None
            and zone is None
            and w.zones is None
            and not w.avoid
            and any(s[1:] == shape[1:] and fits(s[0], shape[0]) for s in failed)
        ):
            return missing  # something no larger has just found no room
        zones, avoid = self._by_zone(jid, w), self._avoided(w)
        all_places = [p for p in self.fleet.places(job) if zone is None or p[1] == zone]
        while missing > 0:
            places = [p for p in all_places if zones is None or zones.get(p[1], 0) > 0]
            if only is not None:
                for name in [n for n, m in only.items() if m.bucket is None]:
                    del only[name]
                found = [
                    m
                    for m in only.values()
                    if m.place in places and fits(job.vec, m.free) and m.name not in avoid
                ]
                found = (
                    found
                    if len(found) <= 2 * self.sample
                    else self.rng.sample(found, 2 * self.sample)
                )
            else:
                found = self.fleet.find(job, places, avoid, self.sample, self.rng)
            found = [m for m in found if not self.fleet.unusable(m, now)]
            if not found:
                if only is None and zone is None and zones is None and not avoid:
                    failed.append(shape)
                break
            cost, _, _, m = min((*self.score(job, m), m.name, m) for m in found)
            victims: tuple[Key, ...] = ()
            if (
                job.image not in m.images
                and cost > WARM_S
                and only is None
                and (job.kind != "gang" or w.n == 1)
            ):
                way = self._warm_way(w, places, now)
                if way is not None and way[0] < cost:
                    cost, m, victims = way
            self.hold(w, m, cost, now, victims)
            if only is not None and self.fleet.units(m.free, self.fleet.types[m.type]) == 0:
                only.pop(m.name, None)
            if zones is not None:
                zones[m.zone] -= 1
            missing -= 1
        return missing

    def _place_gang(
        self,
        jid: str,
        w: Want,
        missing: int,
        first: bool,
        failed: Failed,
        now: float,
        may_stop: bool,
    ) -> int:
        """All or nothing, but for the most important gang that waits: that one may hold pieces.

        Gangs that held pieces of one another's room never ran (the grown ardgael-loans: sixteen whole machines in one zone);
        the first in the queue keeps what it finds, so that it does not starve, and the others take what it leaves.
        """
        fleet = self.fleet
        if first and self.partial != jid:
            pieces = self.tickets.get(self.partial or "", {})
            last = self.wants.get(self.partial or "")
            if last is not None and len(pieces) < last.n:
                # else they are being permitted together with another part's, and nobody else's to take
                # (they were given away, the permits refused, and the queue changed under the walk: KeyError)
                for t in list(pieces.values()):
                    self.free(t, again=False)  # it waits already
            self.partial = jid
        places = fleet.places(w.job)
        zones = self._by_zone(jid, w)
        if zones is not None:
            places = [p for p in places if zones.get(p[1], 0) > 0]
        if not places:
            return missing
        zone: str | None = None
        held = self.tickets.get(jid, {})
        stoppable = may_stop and self._could_stop(w)
        if w.job.one_zone:
            if held:
                zone = next(iter(held.values())).zone
            else:
                bounds = {
                    z: fleet.at_most(w.job.vec, [p for p in places if p[1] == z])
                    for z in {p[1] for p in places}
                }
                ways: Counter[str] = Counter()
                if stoppable and max(bounds.values()) < missing:
                    # where work could be stopped for it counts, too: with no room free anywhere the last zone by name was asked each time,
                    # and nowhere else was anything stopped (shannon-loanworks rough, seed 53: gangs waited for up to 33 s)
                    ways = Counter(m.zone for m in fleet.stop_order.values() if m.place in places)
                zone = max(
                    bounds,
                    key=lambda z: (
                        min(bounds[z] + ways[z], missing),
                        min(bounds[z], missing),
                        ways[z],
                        z,
                    ),
                )
        bound = fleet.at_most(w.job.vec, [p for p in places if zone is None or p[1] == zone])
        if bound < missing and not first and not stoppable:
            return missing
        mine = set(held)
        if bound > 0:
            missing = self._place(jid, w, missing, None, failed, now, zone)
        if missing > 0 and stoppable:
            missing -= self._preempt(jid, w, missing, now, zone)
        if missing > 0 and not first:
            for t in [t for t in self.tickets.get(jid, {}).values() if t.id not in mine]:
                self.free(t, again=False)
                if (m := fleet.machines.get(t.machine)) is not None:
                    fleet.look(m, now)
                    fleet.gained.pop(
                        t.machine, None
                    )  # nothing was gained: trying again at once would find the same
        return missing

    def score(self, job: Job, m: Machine) -> tuple[float, float]:
        """Best fit: seconds until it could run, then the room left over; replicas of one job keep apart."""
        kind = self.fleet.types[m.type]
        fetch = 0.0
        if job.image not in m.images:
            coming = {p.image for p in m.permits.values() if not p.gone and p.image not in m.images}
            held = {t.image for t in m.tickets.values() if t.image not in m.images}
            fetch = job.image_gb / max(kind.fetch_gb_s, 0.01)
            if job.image in coming:
                fetch *= 0.5
            elif job.image in held:
                fetch *= 0.8
            else:
                fetch *= 1 + len(
                    coming | held
                )  # images fetched at the same time share the machine's rate
                fetch += CACHE_S * len(
                    m.images
                )  # what has to be fetched anyway goes where it spoils no well-stocked machine
        room = m.free
        same = 0
        if job.kind == "service":
            # services stay long: pack them by what other services leave, so that whole machines fall empty
            room = m.firm
            same = sum(1 for k, p in m.permits.items() if k[0] == job.id and not p.gone)
            same += sum(1 for t in m.tickets.values() if t.job == job.id)
        left = add(room, job.vec, -1)
        share = sum(x / c for x, c in zip(left, kind.vec, strict=True) if c > 0)
        if job.spot and not m.spot:
            fetch += 20.0  # leave ordinary machines to work that needs them
        if job.kind == "service":
            return fetch + APART_S * same + 4.0 * share, share
        return fetch, share

    # -- preemption --------------------------------------------------------------------------

    def _could_stop(self, w: Want) -> bool:
        """Whether there is any work here that this candidate may stop."""
        mine = self.fleet.info.get(w.job.id)
        if (w.job.rank >= LEAST_RANK and not w.within) or (mine is not None and mine.broken):
            return False
        return any(self.may_stop(w, c) for c in self.fleet.stoppable)

    def may_stop(self, w: Want, c: Class) -> bool:
        """The published rules of preemption, without their circle: what has called in its team's guarantee keeps the room.

        By rank an urgent array beyond its team's guarantee may stop another team's lower work within its own, which may stop it in turn
        for the guarantee: where there was more work than room, both were started and stopped every 0.25 s, up to 90 times a task.
        What is of the highest rank is never stopped itself, and so stands in no circle.
        """
        rank, within, team, kind, called = c
        if rank > w.job.rank:
            return not called or w.within or w.job.rank == 0
        # to give a team its guarantee: only where little is lost, not a whole gang
        return w.within and not within and team != w.job.team and kind == "array"

    def _loss(self, p: Permit, info: Info, now: float) -> float:
        """Seconds of work lost if it is stopped."""
        ran = now - p.ran_at if p.ran_at is not None else 0.0
        return min(ran, info.grace or 0.5 * info.checkpoint_s) if info.checkpoint_s > 0 else ran

    def _preempt(self, jid: str, w: Want, missing: int, now: float, zone: str | None = None) -> int:
        """Room ready only by stopping less important work: the least lost work first, and only where it is enough.

        A sample of the machines with such work, and all of them only while it is not enough. Who found none is asked again
        only for machines that have gained something since: these walks took a fifth of a calm day's processor time, and
        grew with the square of the fleet.
        """
        fleet = self.fleet
        classes = {c for c in fleet.stoppable if self.may_stop(w, c)}
        gang = w.job.kind == "gang"
        since, last, there = self.asked.get(jid, (0, 0, None))
        if not classes or (
            since >= fleet.stop_count and (not gang or (last < missing and there == zone))
        ):
            return 0
        job = w.job
        alike = (
            (job.vec, job.types, job.zone, job.spot, zone, frozenset(classes))
            if gang and w.zones is None and not w.avoid
            else None
        )
        if (
            alike is not None
            and (dry := self.dry.get(alike)) is not None
            and dry[0] == fleet.stop_count
            and dry[1] < missing
        ):
            return 0  # a gang like it has just found fewer ways than this one needs
        zones = self._by_zone(jid, w)
        places: set[Place] = set(p for p in fleet.places(job) if zone is None or p[1] == zone)
        pool: list[Machine] = []
        for m in reversed(fleet.stop_order.values()):
            if not gang and m.stop_at <= since:
                break
            if m.place in places and not m.stop_classes.isdisjoint(classes):
                pool.append(m)
        taken, avoid = self._stopped(), self._avoided(w)
        ways: list[tuple[float, str, Machine, tuple[Key, ...]]] = []
        start = self.rng.randrange(len(pool)) if pool else 0
        pool = pool[start:] + pool[:start]
        # those that hold the image first, however many they are: a sample of all missed them, and 3 in 100 replicas came late for it
        # (ardgael-loans-fleet restart, four seeds side by side)
        warm = self.fleet.holders.get(job.image, {})
        near = [m for m in pool if m.name in warm]
        enough = len(near) + max(STOP_SAMPLE, STOP_EACH * missing)
        for i, m in enumerate([*near, *(m for m in pool if m.name not in warm)] if near else pool):
            if m.name in avoid or fleet.unusable(m, now):
                continue
            if (way := self._way(m, w, taken, now)) is not None:
                ways.append((way[0], m.name, m, way[1]))
                if i >= enough and len(ways) >= 2 * missing:
                    break
        heapq.heapify(ways)
        found = 0
        while ways and found < missing:
            loss, _, m, victims = heapq.heappop(ways)
            if zones is not None:
                if zones.get(m.zone, 0) <= 0:
                    continue
                zones[m.zone] -= 1
            taken.update(victims)
            self.hold(w, m, loss, now, victims)
            found += 1
            if (way := self._way(m, w, taken, now)) is not None:
                heapq.heappush(ways, (way[0], m.name, m, way[1]))
        if found < missing:
            self.asked[jid] = (fleet.stop_count, found, zone)
            if alike is not None:
                self.dry[alike] = (fleet.stop_count, found)
        return found

    def _stopped(self) -> set[Key]:
        """What leaves for others already."""
        return {v for t in self.preempting.values() for v in t.victims} | self.victims

    def _warm_way(
        self, w: Want, places: list[Place], now: float
    ) -> tuple[float, Machine, tuple[Key, ...]] | None:
        """Room on a machine that holds the image, by stopping work that has hardly begun.

        Free room is mostly on machines that have just come and hold nothing; where there was room at all, nine of
        ten starts fetched for longer than their users wait (both grown deployments, steady).
        """
        holders = self.fleet.holders.get(w.job.image)
        if not holders or not self._could_stop(w):
            return None
        some = list(holders.values())
        if len(some) > WARM_TRIES:
            some = self.rng.sample(some, WARM_TRIES)
        taken, avoid = self._stopped(), self._avoided(w)
        ways = [
            (way[0], m.name, m, way[1])
            for m in some
            if m.permits
            and m.place in places
            and m.name not in avoid
            and not self.fleet.unusable(m, now)
            and (way := self._way(m, w, taken, now)) is not None
        ]
        if not ways:
            return None
        cost, _, m, victims = min(ways, key=lambda x: x[:2])
        return cost, m, victims

    def _way(
        self, m: Machine, w: Want, taken: set[Key], now: float
    ) -> tuple[float, tuple[Key, ...]] | None:
        """The cheapest way to make room on one machine: what it costs, and what it stops."""
        options = []
        self.ways += 1
        room = m.free
        for key, p in m.permits.items():
            info = self.fleet.info.get(key[0])
            if key in taken:
                if occupies(p, m.tasks.get(key)):
                    room = add(room, p.vec)  # it goes for a start whose room is counted already
                continue
            if (
                info is None
                or p.gone
                or p.refused
                or p.stop is not None
                or p.evict
                or (c := m.stops.get(key)) is None
            ):
                continue
            if self.may_stop(w, c):
                options.append(
                    (self._loss(p, info, now) + (1000.0 if info.kind == "gang" else 0.0), key, p)
                )
        chosen: list[Key] = []
        loss = 0.0
        for cost, key, p in sorted(options, key=lambda x: x[:2]):
            if fits(w.job.vec, room):
                break
            room = add(room, p.vec)
            chosen.append(key)
            loss += cost
        if not chosen or not fits(w.job.vec, room):
            return None
        return STOP_S + LOSS_WORTH * loss + self.score(w.job, m)[0], tuple(chosen)
