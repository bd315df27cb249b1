"""The owner of one part of the fleet: starts what is permitted, proves what is gone, tells what became of it.

No I/O: reports, boards and the clock are passed in; commands and boards come out. Machines and their
room are `fleet`'s, candidates and held room `placement`'s. Everything here follows what has changed.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from ploverhall.coordination import fencing_tokens
from ploverhall.protocol import agents, peer_messages
from ploverhall.protocol.agents import EXITED, Key, Report
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job, from_record
from ploverhall.protocol.peer_messages import (
    NOTICE_EMPTY,
    Candidate,
    JobNews,
    MachineNews,
    PermitNews,
    StartNews,
)
from ploverhall.scheduling.inventory import Fleet, Info, Machine, Permit, Vec, fits
from ploverhall.scheduling.placement import Placement

TOKEN_BITS = fencing_tokens.TOKEN_BITS
FAULTS_S = 300.0  # how long a failure on a machine counts against it
FAULTY_S = 600.0  # how long a machine on which two jobs have failed is not trusted
DOUBT_S = 20.0  # before it is given back: a job that fails everywhere is found out sooner
SILENT_S, LONG_SILENT_S = (
    5.0,
    60.0,
)  # a worker that has not answered a command is sent none for so long: each costs a token
UNANSWERED = 8  # after so many it is long: its reports bring it what it has to do
FLAPS_S = 60.0  # a machine that stops hearing again so soon rests, twice as long each time
REST_S, MOST_REST_S = 5.0, 120.0
SWEEP_S = 0.25  # how often time itself is looked at for every machine


class Owner:
    """Decides for the machines of one part."""

    def __init__(
        self,
        part: int,
        epoch: int,
        sources: int,
        lease_s: float,
        report_s: float,
        hold_s: float,
        sample: int,
        rng: Random,
        now: float,
        holder: int | None = None,
    ) -> None:
        self.part, self.epoch, self.sources = part, epoch, sources
        self.lease_s = lease_s
        self.first = fencing_tokens.first(epoch, holder)  # what every worker is given to begin with
        self.right = (
            0  # what tokens that leave now say of who may answer later (coordination.afterlife)
        )
        self.spent = False  # a token could not be raised any more: a new epoch is wanted
        self.started = now
        self.fleet = Fleet(report_s)
        self.machines = self.fleet.machines
        self.placement = Placement(self.fleet, hold_s, sample, rng)
        self.jobs: dict[str, Job] = {}
        self.vecs: dict[str, Vec] = {}
        self.permits: dict[Key, Permit] = {}
        self.by_job: dict[str, dict[Key, Permit]] = {}
        self.known: dict[int, set[str]] = {}  # by source: the keys on its board
        self.preempting: dict[Key, Permit] = {}  # permits that wait for others to leave
        self.synced: set[int] = set()
        self.drain: set[str] = set()
        self.empty: set[str] = set()  # machines that an order wants empty
        self.changed: set[Key] = set()  # starts whose sources must hear of them
        self.news: dict[tuple[int, str], Any] = self.placement.news
        self.work: dict[str, Machine] = {}  # machines that may need a command
        self.heard: dict[
            str, Machine
        ] = {}  # all machines, the one that has been silent for longest first
        self.doubted: dict[str, Machine] = {}  # machines on which two jobs have failed
        self.unheard: dict[str, Machine] = {}  # machines that may not hear what they are told
        self.seen: dict[str, Machine | None] = {}  # machines the renter must hear of
        self.dirty = True
        self.deposed_by = 0
        self.next_sweep = 0.0
        self.reported = 0.0  # when any worker last reported
        self.proved = (
            now  # begin of the newest read of the store that showed this owner's epoch in force
        )
        self.unproved = (
            False  # a lease has run out by this clock, and a read must show who holds the part
        )
        self.job_over: Callable[[str], bool] = lambda jid: (
            False
        )  # by this node's own copy of the store

    @property
    def types(self) -> dict[str, MachineType]:
        """What the cloud sells."""
        return self.fleet.types

    @types.setter
    def types(self, types: dict[str, MachineType]) -> None:
        self.fleet.types = types
        for m in self.machines.values():
            self.fleet.touch(m)
        self.dirty = True

    def _touch(self, m: Machine | None) -> None:
        if m is not None:
            self.fleet.touch(m)
            self.dirty = True

    # -- what sources want -------------------------------------------------------------------

    def on_source(self, src: int, full: bool, changes: dict[str, Any], now: float) -> None:
        """A source's board: jobs, candidates, and the permits here with how they should stop."""
        known = self.known.setdefault(src, set())
        if full:
            self.synced.add(src)
            changes = {**dict.fromkeys(sorted(known - changes.keys())), **changes}
        known.update(k for k, v in changes.items() if v is not None)
        known.difference_update(k for k, v in changes.items() if v is None)
        by_kind: dict[str, list[tuple[str, Any]]] = {}
        for key, value in changes.items():
            by_kind.setdefault(key[0], []).append((key, value))
        for key, value in by_kind.get(peer_messages.JOB, ()):
            if value is not None:
                self._job(key[1:], JobNews(*value))
        # a permit takes the room held for it before fewer candidates wanted give that room away
        for key, value in by_kind.get(peer_messages.PERMIT, ()):
            self._permit(
                peer_messages.split_key(key), src, PermitNews(*value) if value is not None else None, now
            )
        for key, value in by_kind.get(peer_messages.CANDIDATE, ()):
            job = self.jobs.get(key[1:])
            if value is None or job is None:
                self.placement.cancel(key[1:])
            else:
                self.placement.want(src, job, Candidate(*value), self.fleet.info[key[1:]].within)
        for key, value in by_kind.get(peer_messages.JOB, ()):
            if value is None:
                self._forget(key[1:])
        self.dirty = True

    def _job(self, jid: str, news: JobNews) -> None:
        vec = news.vec
        self.vecs[jid] = (vec[0], vec[1], vec[2])
        if news.record is None:
            self.jobs.pop(jid, None)
            self.job_ended(jid)
            return
        if jid not in self.jobs:
            self.jobs[jid] = from_record(news.record)
        job = self.jobs[jid]
        before = self.fleet.info.get(jid)
        self.fleet.info[jid] = Info(
            job.rank,
            bool(news.within),
            job.team,
            job.kind,
            job.checkpoint_s,
            job.save_s,
            job.spot,
            bool(news.broken),
            before is not None and before.called,
        )
        if before is None or before.stop_class != self.fleet.info[jid].stop_class:
            for p in self.by_job.get(jid, {}).values():
                self._touch(self.machines.get(p.machine))  # who may stop its tasks has changed
        if news.broken and not (before is not None and before.broken):
            self._acquit(jid)

    def _forget(self, jid: str) -> None:
        self.jobs.pop(jid, None)
        self.vecs.pop(jid, None)
        self.fleet.info.pop(jid, None)
        self.placement.cancel(jid)

    def _permit(self, key: Key, src: int, news: PermitNews | None, now: float) -> None:
        p = self.permits.get(key)
        if news is None:
            if p is not None:
                self._drop(p)
            return
        if p is None:
            job = self.jobs.get(key[0])
            p = Permit(
                key,
                src,
                news.machine,
                news.epoch,
                news.ticket,
                self.vecs.get(key[0], (0.0, 0.0, 0.0)),
                job.image if job else "",
                job.image_gb if job else 0.0,
            )
            self._admit(p, news.stop, now)
            if self.job_over(key[0]) or job is None:
                p.stop = 0.0  # it was over before this owner heard of the permit
        if news.stop is not None:
            p.stop = news.stop if p.stop is None else min(news.stop, p.stop)
        self._check(p)
        self._act(self.machines.get(p.machine))

    def _act(self, m: Machine | None) -> None:
        """A machine's room or commands may have changed."""
        if m is not None:
            self._touch(m)
            self.work[m.name] = m

    def _drop(self, p: Permit) -> None:
        """The entry has left the source's cell: the start is over or was proven gone."""
        del self.permits[p.key]
        self.preempting.pop(p.key, None)
        mine = self.by_job[p.key[0]]
        del mine[p.key]
        if not mine:
            del self.by_job[p.key[0]]
        there = self.fleet.permits[p.machine]
        there.pop(p.key, None)
        if not there and p.machine not in self.machines:
            del self.fleet.permits[p.machine]
        self.changed.discard(p.key)
        self.news[p.src, peer_messages.start_key(p.key)] = None
        self._act(self.machines.get(p.machine))

    def _admit(self, p: Permit, stop: float | None, now: float) -> None:
        """Take a permit that is new here. Held room becomes its room; without room it is refused (un-reserve)."""
        self.permits[p.key] = p
        self.by_job.setdefault(p.key[0], {})[p.key] = p
        self.changed.add(p.key)
        m = self.machines.get(p.machine)
        held = self.placement.tickets.get(p.key[0], {}) if p.epoch == self.epoch else {}
        # the hold time may have ended while the permit was written; the room may be held again, for the same candidate
        ticket = held.get(p.ticket) or next(
            (t for t in held.values() if t.machine == p.machine), None
        )
        if ticket is not None:
            p.late = ticket.late
            self.placement.free(ticket, again=False)
        if p.epoch == self.epoch and (
            m is None
            or m.expired
            or self.fleet.unusable(m, now)
            or stop is not None
            or not (ticket is not None or fits(p.vec, self.fleet.room(m)))
        ):
            p.refused = True
        self.fleet.permits.setdefault(p.machine, {})[p.key] = p
        if m is not None:
            m.permits = self.fleet.permits[p.machine]
            if ticket is not None and not p.refused:
                self._evict(p, ticket.victims, m)

    def _evict(self, p: Permit, victims: tuple[Key, ...], m: Machine) -> None:
        """Room was ready only by preemption: stop what is in the way, now that the start is permitted."""
        p.victims = victims
        if victims:
            self.preempting[p.key] = p
        for key in victims:
            v = m.permits.get(key)
            info = self.fleet.info.get(key[0])
            if v is None or v.gone or info is None:
                continue
            if info.kind == "gang":
                v.evict = True
            elif v.stop is None:
                v.stop = info.grace
            self.changed.add(key)
            mine = self.fleet.info.get(p.key[0])
            by_guarantee = not info.within and mine is not None and info.rank <= mine.rank
            if (
                mine is not None
                and mine.within
                and not mine.called
                and (by_guarantee or info.stop_class[-1])
            ):
                mine.called = True  # as what it takes the room of had it: else whom that one stopped would stop this one
                for q in self.by_job[p.key[0]].values():
                    self._touch(self.machines.get(q.machine))

    def job_ended(self, jid: str) -> None:
        """The state service says the job is over: stop what is here even if the source can't be heard."""
        for p in self.by_job.get(jid, {}).values():
            if p.stop != 0.0:
                p.stop = 0.0
                self._check(p)
                self._act(self.machines.get(p.machine))
                self.changed.add(p.key)
        self.placement.cancel(jid)

    # -- what workers report -----------------------------------------------------------------

    def on_report(
        self, r: Report, now: float, direct: bool = False, carried: bool = False
    ) -> Machine | None:
        """Take in a report. None: its token is above this owner's, so this owner has been deposed.

        Only a message newer than all before it says anything. Any other is marked (`Machine.copy`): it doesn't even show that the
        machine lives, and its answer renews no lease, for the worker has sent another report since and waits for that one's.
        """
        if fencing_tokens.epoch_of(r.token) > self.epoch:
            self.deposed_by = max(self.deposed_by, fencing_tokens.epoch_of(r.token))
            return None
        m = self.machines.get(r.machine)
        if m is None:
            m = Machine(
                r.machine,
                r.addr,
                r.type,
                r.zone,
                r.spot,
                self.first,
                doubt=self.first,
                doubted_at=now,
            )
            if r.machine in self.fleet.proven_gone:
                m.copy = True  # sent before it went; it is not remembered
                return m
            m.draining, m.cordoned = r.machine in self.drain, r.machine in self.empty
            m.permits = self.fleet.permits.setdefault(r.machine, {})
            self.fleet.stock(m, self.fleet.remembered.pop(r.machine, {}))
            self.machines[r.machine] = self.unheard[r.machine] = m
            self._act(m)
        m.token = max(m.token, r.token)
        # after a lease without news even a lower number counts (a worker that began anew), but nothing goes there before it shows
        # that it hears
        if m.expired and (r.session, r.seq) <= max(m.reported, (m.session, m.seq)):
            m.reported, m.session, m.seq = (0, 0), 0, 0
            self._doubt(m, now)
        m.copy = (r.session, r.seq) <= (m.reported if not direct else (m.session, m.seq))
        if m.copy:
            return m
        left = carried and m.reported == (
            r.session,
            r.seq - 1,
        )  # this one's answer to the last report has not come: it went on
        if not direct:
            m.reported = (r.session, r.seq)
            self.reported = now
            stale = now - m.last_report > 2.0 * self.fleet.report_s
            m.last_report = now
            self.heard.pop(m.name, None)
            self.heard[m.name] = m
            if stale:
                self._touch(m)
        if (r.session, r.seq) <= (m.session, m.seq):
            return m  # an old message: its list is older than what is known
        took = m.took or fencing_tokens.epoch_of(r.token) == self.epoch
        if m.doubt and r.token >= m.doubt:
            self._hears(m, now)
        elif left or 0 < m.session < r.session:
            self._doubt(m, now)  # or its lease ran out, though it was heard
        same = r.listed == m.listed
        news = (
            not same
            or r.session != m.session
            or r.token != m.seen_token
            or (r.notice_s is None) != (m.notice_s is None)
            or m.expired
            or not m.took
        )
        if not direct:
            m.expired = False
        m.addr = r.addr
        m.session, m.seq, m.seen_token, m.notice_s, m.took = (
            r.session,
            r.seq,
            r.token,
            r.notice_s,
            took,
        )
        if not same:
            self._tasks(m, r, now)
        elif r.notice_s is not None:
            self.changed.update(k for k in m.tasks if k in m.permits)
        if not direct and m.sent:
            # it waits for one answer at a time: this report was sent when it had that one, or had given it up
            if any(k not in m.tasks and k in m.permits and not m.permits[k].gone for k in m.sent):
                self._doubt(m, now)
            m.sent.clear()
        if (
            news
        ):  # most reports say nothing new: no proof can follow from them that did not follow before
            self._act(m)
            for p in m.permits.values():
                self._check(p)
        return m

    def _doubt(self, m: Machine, now: float) -> None:
        """What a machine was told has not reached it: nothing new goes there until it shows a token that was raised after that.

        Its reports may arrive all the time. It looked alive and empty, and each lease that ran out there was followed by new starts
        (played world: 9 in a minute on one machine).
        """
        if not m.doubt and self._raise(m):
            m.doubt, m.doubted_at = m.token, now
            self.unheard[m.name] = m
            self._touch(m)

    def _hears(self, m: Machine, now: float) -> None:
        """It has taken a token that was raised since the doubt began."""
        m.doubt = 0  # it leaves `unheard` with the next sweep that finds its rest over
        if m.deaf:
            m.deaf = False
            m.rest_s = (
                min(MOST_REST_S, max(REST_S, 2.0 * m.rest_s))
                if now - m.heard_again < m.rest_s + FLAPS_S
                else 0.0
            )
            m.heard_again = now
        self._touch(m)

    def _tasks(self, m: Machine, r: Report, now: float) -> None:
        tasks = r.tasks()
        for key, t in tasks.items():
            old = m.tasks.get(key)
            if old is None or old != t or r.notice_s is not None:
                self.changed.add(key)
                if t.state == "running" and key in m.permits and m.permits[key].ran_at is None:
                    m.permits[key].ran_at = now
                if t.state == EXITED and t.why == "error" and (old is None or old.state != EXITED):
                    self._fault(m, key[0], now)
        self.changed.update(key for key in m.tasks if key not in tasks)
        m.tasks, m.listed = tasks, r.listed
        for key, t in tasks.items():
            if (
                t.state not in (EXITED, "fetching")
                and (held := m.permits.get(key)) is not None
                and held.image
            ):
                self.fleet.has_image(m, held.image, held.image_gb)

    def _fault(self, m: Machine, jid: str, now: float) -> None:
        """A job that fails here may be at fault itself; two different jobs failing point at the machine.

        A job that its source knows to fail everywhere speaks against no machine: two such jobs took good machines away
        one by one. Until that is settled the machine takes nothing new, but it is not given back.
        """
        info = self.fleet.info.get(jid)
        m.faults = {j: t for j, t in m.faults.items() if now - t < FAULTS_S}
        if info is not None and not info.broken:
            m.faults[jid] = now
        if len(m.faults) >= 2 and not m.faulty_until:
            m.faulty_since = now
        if len(m.faults) >= 2:
            m.faulty_until = now + FAULTY_S
            self.doubted[m.name] = m

    def _acquit(self, jid: str) -> None:
        """A job fails everywhere: the machines that it failed on are not to blame for it."""
        for m in self.machines.values():
            if (
                m.faults.pop(jid, None) is not None
                and len(m.faults) < 2
                and m.faulty_until
                and not m.condemned
            ):
                m.faulty_until = m.faulty_since = 0.0
                self._touch(m)

    def _check(self, p: Permit) -> None:
        """The proofs that a start is not on its machine and can't get there any more."""
        if p.gone:
            return
        m = self.machines.get(p.machine)
        if p.machine in self.fleet.proven_gone:
            p.gone, p.why = True, "its machine is gone"
        elif p.refused and p.run_token == 0 and p.epoch == self.epoch:
            p.gone, p.why = (
                True,
                "its room was taken",
            )  # this owner offered the room and has never sent the run
        elif m is not None and p.key not in m.tasks and m.took:
            if p.run_token:
                # the newest list omits it under a token raised since the last run left, or the session rose
                p.gone = m.seen_token > p.run_token or m.session > p.run_session
                p.why = (
                    "its worker's lease ran out"
                    if m.session > p.run_session
                    else "its worker no longer has it"
                )
            elif p.epoch < self.epoch:
                p.gone, p.why = (
                    True,
                    "its worker no longer has it",
                )  # earlier runs bear tokens below the one the worker has taken
            elif p.stop is not None and p.epoch == self.epoch:
                p.gone = True  # never sent
        if p.gone:
            self.changed.add(p.key)
            self._act(m)

    def stood_still(self, s: float, now: float) -> None:
        """This process has stood still: what came meanwhile is still to be read, so nobody was silent for that time."""
        for m in self.machines.values():
            m.last_report = min(now, m.last_report + s)
            # a new life of this controller may have been started meanwhile, and may answer it with this one's tokens: its silence
            # proves nothing until it has reported here again (coordination.afterlife)
            m.took = False
        self.reported = min(now, self.reported + s) if self.reported else 0.0
        self.next_sweep = now + SWEEP_S

    def tick(self, now: float) -> None:
        """Time passes: held room is freed, silent machines lose their lease."""
        self.placement.expire(now)
        if now >= self.next_sweep:
            self.next_sweep = now + SWEEP_S
            self._sweep(now)

    def _sweep(self, now: float) -> None:
        """Silent machines and doubtful ones; all others cost nothing here, however many they are."""
        forgotten = []
        for m in self.heard.values():
            if now - m.last_report <= self.fleet.silent_s:
                break  # and all that follow have reported later
            ends = max(m.last_answer, m.last_report) + self.lease_s * 1.002 + 1.0
            if m.took and not m.expired and now > ends:
                # it took this owner's token, and its lease has not been renewed since: it has killed everything.
                # But only if nobody else could renew it: a controller that stood still wakes with old beliefs, and a
                # source that doesn't follow the store just then would believe it. A read begun later shows who holds the part.
                if self.proved <= ends:
                    self.unproved = True
                    continue
                m.expired = True
                m.busy = False
                self._act(m)
                for p in m.permits.values():
                    if p.run_token or p.epoch < self.epoch or p.key in m.tasks:
                        p.gone, p.why = (
                            True,
                            p.why or "its worker was silent until its lease ran out",
                        )
                    else:
                        p.refused = True
                        self._check(p)
                    self.changed.add(p.key)
                m.tasks, m.listed = {}, None
            elif (m.expired or not m.took) and now - m.last_report > 900 and not m.permits:
                forgotten.append(m)
            if (m.tickets or m.bucket is not None) and self.fleet.unusable(m, now):
                self.placement.release(m)
                self._touch(m)
        for m in list(self.unheard.values()):
            if not m.doubt:
                if now >= m.heard_again + m.rest_s:
                    del self.unheard[m.name]
                    self._touch(m)
                continue
            if (
                not m.deaf
                and now - m.doubted_at > 2.5 * self.fleet.report_s + 2.0
                and m.last_report > m.doubted_at
            ):
                m.deaf = True
                self._touch(m)
                for p in m.permits.values():
                    info = self.fleet.info.get(p.key[0])
                    if (
                        info is not None
                        and info.kind == "gang"
                        and p.key not in m.tasks
                        and not p.gone
                        and p.stop is None
                    ):
                        p.evict = True  # the others wait for it in vain
                        self.changed.add(p.key)
        for m in list(self.doubted.values()):
            if not m.faulty_until or m.faulty_until <= now:
                m.faulty_until = m.faulty_since = 0.0
                m.condemned = False
                del self.doubted[m.name]
                self._touch(m)
            elif not m.condemned and now - m.faulty_since > DOUBT_S:
                m.condemned = True
                self.seen[m.name] = m
        for m in forgotten:
            self._lose(m)
            self.fleet.permits.pop(m.name, None)
            self.seen[m.name] = None

    def _lose(self, m: Machine) -> None:
        """The machine is not known any more."""
        self.fleet.remove(m)
        self.heard.pop(m.name, None)
        self.doubted.pop(m.name, None)
        self.unheard.pop(m.name, None)

    def machine_gone(self, names: list[str]) -> None:
        """The cloud confirmed that these machines are gone."""
        for name in names:
            if name in self.fleet.proven_gone:
                continue
            self.fleet.proven_gone.add(name)
            m = self.machines.get(name)
            if m is not None:
                self.placement.release(m)
                self._lose(m)
            self.work.pop(name, None)
            self.seen[name] = None
            for p in self.fleet.permits.get(name, {}).values():
                self._check(p)
            self.dirty = True

    # -- placing -----------------------------------------------------------------------------

    def place(self, now: float) -> None:
        """Hold room for every candidate that fits; the others wait here until room appears or they are cancelled."""
        for m in self.fleet.settle(now):
            self.seen[m.name] = m
            if m.tickets and self.fleet.unusable(m, now):
                self.placement.release(m)
        self.fleet.settle(now)
        if self.preempting:
            for p in [
                p
                for p in self.preempting.values()
                if p.gone or not self._blocked(p, self.machines.get(p.machine))
            ]:
                del self.preempting[p.key]
        self.placement.victims = {v for p in self.preempting.values() for v in p.victims}
        self.placement.place(now)
        for m in self.fleet.touched.values():
            self.seen[m.name] = m

    # -- commands ----------------------------------------------------------------------------

    def _blocked(self, p: Permit, m: Machine | None) -> bool:
        """Whether work that leaves for it is still there."""
        return m is not None and any(
            v in m.permits
            and not m.permits[v].gone
            and not ((t := m.tasks.get(v)) is not None and t.state == EXITED)
            for v in p.victims
        )

    def _raise(self, m: Machine) -> bool:
        """Fence what was sent to a machine so far; False when this epoch has no token left for it."""
        token = fencing_tokens.raised(m.token)
        if token is None:
            self.spent = True
            return False
        m.token = token
        return True

    def _runnable(self, p: Permit, m: Machine) -> bool:
        return (
            not p.gone
            and not p.refused
            and p.stop is None
            and p.epoch == self.epoch
            and p.key not in m.tasks
            and m.took
            and not self._blocked(p, m)
        )

    def commands(self, m: Machine, now: float, direct: bool = False) -> list[dict[str, Any]]:
        """What the worker has to do for the wanted state; marks runs as sent under the machine's token."""
        out: list[dict[str, Any]] = []
        runs: list[Permit] = []
        if (token := fencing_tokens.marked(m.token, self.right)) is not None:
            m.token = token
        else:
            self.spent = True  # the worker keeps an earlier right, which ends sooner
        for p in m.permits.values():
            t = m.tasks.get(p.key)
            if t is not None:
                if (
                    p.stop is not None
                    and t.state != EXITED
                    and (t.state != "saving" or p.stop == 0.0)
                ):
                    if not direct or p.killed != p.stop:
                        out.append(agents.kill(p.key, p.stop))
                        p.killed = p.stop
            elif self._runnable(p, m):
                if p.run_token and m.session > p.run_session:
                    continue  # it ran in a session that is over; the source decides what follows
                if not direct or not p.direct:
                    runs.append(p)
            elif (
                p.run_token
                and not p.gone
                and p.key not in m.tasks
                and p.stop is not None
                and m.token <= p.run_token
            ):
                # a run may be on its way: only a list under a higher token proves that it is not there
                self._raise(m)
        if not direct:
            for key, t in m.tasks.items():
                if key in m.permits:
                    continue
                if len(self.synced) < self.sources:
                    # its source has not been heard yet; but a job that is over needs no source to be stopped:
                    # seen when an owner that had just taken over was cut from the source of a cancelled job
                    if t.state != EXITED and self.job_over(key[0]):
                        out.append(agents.kill(key, 0.0))
                    continue
                if t.state != EXITED:
                    out.append(agents.kill(key, 0.0))  # nobody has permitted it
                else:
                    if key in m.inflight:
                        if not self._raise(
                            m
                        ):  # a run of it may still arrive; after reap it would start again
                            continue
                        m.inflight.clear()
                    out.append(agents.reap(key))
        for p in runs:
            out.append(agents.run(p.key))
            p.run_token, p.run_session = m.token, m.session
            if direct:
                p.direct = True
                m.inflight.add(p.key)
            else:
                m.sent.add(p.key)
        return out

    def direct_work(self, now: float) -> list[tuple[Machine, dict[str, Any]]]:
        """Commands worth sending straight to a worker, one unanswered request a machine."""
        out = []
        for m in list(self.work.values()):
            if m.busy or now < m.direct_after:
                continue  # looked at again when that is over
            del self.work[m.name]
            if m.expired or not m.took or not m.permits:
                continue
            calls = self.commands(m, now, direct=True)
            if calls:
                m.busy = True
                out.append((m, agents.direct(m.token, m.session, calls)))
        return out

    def direct_done(self, m: Machine, r: Report | None, now: float) -> None:
        """The answer to a /do, or None: it may still be executed, so the token is raised to fence it."""
        m.busy = False
        m.inflight.clear()
        if r is None:
            if m.doubt:
                self._raise(m)  # fenced each time
            else:
                self._doubt(m, now)
            for p in m.permits.values():
                p.killed = None  # nor need a stop have arrived: where its reports don't come either, nothing else would bring it
            m.unanswered += 1
            m.direct_after = now + (SILENT_S if m.unanswered < UNANSWERED else LONG_SILENT_S)
            self.dirty = True
        elif (
            self.machines.get(m.name) is m
        ):  # a late answer brings no machine back that is gone: the sweep would never see it
            m.unanswered = 0
            self.on_report(r, now, direct=True)
        if self.machines.get(m.name) is m:
            self._act(m)  # its room is empty for the renter only now

    # -- what sources and the renter are told ------------------------------------------------

    def start_news(self, p: Permit) -> StartNews:
        """What became of a permit."""
        m = self.machines.get(p.machine)
        task = m.tasks.get(p.key) if m is not None else None
        if task is not None and not p.gone:
            asked = NOTICE_EMPTY if m is not None and m.cordoned else 0
            notice = 1 if m is not None and m.notice_s is not None else 2 if p.evict else asked
            suspect = m is not None and task.why == "error" and any(j != p.key[0] for j in m.faults)
            return StartNews(task.state, task.why, int(task.saved), notice, int(suspect))
        return (
            StartNews("gone", p.why, 0, 0)
            if p.gone
            else StartNews("permitted", "", 0, 2 if p.evict else 0)
        )

    def take_news(self) -> dict[tuple[int, str], Any]:
        """What has changed for the sources since the last time: (source, key) -> value."""
        for key in sorted(self.changed):
            if (p := self.permits.get(key)) is not None:
                self.news[p.src, peer_messages.start_key(key)] = self.start_news(p)
        self.changed.clear()
        out = dict(self.news)
        self.news.clear()
        return out

    def suspects(self, now: float) -> list[str]:
        """Machines that permits name and that this owner can't prove anything about: the cloud may."""
        if now - self.started < self.lease_s:
            return []
        out = []
        for name, permits in self.fleet.permits.items():
            if permits:
                m = self.machines.get(name)
                if (m is None or (not m.took and now - m.last_report > self.lease_s)) and any(
                    not p.gone for p in permits.values()
                ):
                    out.append(name)
        return sorted(out)

    def machine_news(self, m: Machine, now: float) -> MachineNews | None:
        """What the renter needs to know of a machine."""
        if m.expired or self.machines.get(m.name) is not m:
            return None
        empty = (
            not m.tasks and not m.tickets and all(p.gone for p in m.permits.values()) and not m.busy
        )
        firm = any(
            i is not None and not i.spot for i in (self.fleet.info.get(k[0]) for k in m.permits)
        )
        room = self.fleet.room(m)
        return MachineNews(
            m.type,
            m.zone,
            int(m.spot),
            [round(x, 3) for x in room],
            int(empty),
            1 if m.draining else 2 if m.cordoned else 0,
            int(m.notice_s is not None or m.deaf or not m.took),
            int(m.condemned),
            int(firm),
            [round(x, 3) for x in self.fleet.firm_room(m, room)],
        )

    def take_machine_news(self, now: float) -> dict[str, MachineNews | None]:
        """The machines something happened to since the last time."""
        seen, self.seen = self.seen, {}
        return {
            name: self.machine_news(m, now) if m is not None else None for name, m in seen.items()
        }

    def set_empty(self, names: list[str]) -> None:
        """An order wants these machines empty: nothing new goes there, and the sources are asked to let go of what is there."""
        new = set(names)
        for name in sorted(new ^ self.empty):
            m = self.machines.get(name)
            if m is not None:
                m.cordoned = name in new
                self.changed.update(m.permits)
                self._touch(m)
        self.empty = new

    def set_drain(self, names: list[str]) -> None:
        """The renter wants these machines empty."""
        new = set(names)
        for name in sorted(new - self.drain):
            m = self.machines.get(name)
            # a return whose outcome is unknown may still be executed: draining is never taken back
            if m is not None and not m.draining:
                m.draining = True
                self._touch(m)
        self.drain = new
