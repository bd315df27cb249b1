"""The source of one shard's teams: says which ready candidate starts, within limit, zone and spread.

Every outstanding permit stands in the team's cell in the state service before an owner hears of it,
and leaves the cell only when that start is proven gone. No I/O: transactions come out as values and
their outcomes are passed in. Work follows what has changed: a job with news, a chunk that is dirty,
a team whose use moved; never all jobs or all entries.
"""

from __future__ import annotations

import heapq
from typing import Any

from ploverhall.protocol import peer_messages
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import (
    NOTICE_EMPTY,
    Candidate,
    DemandNews,
    JobNews,
    OfferNews,
    StartNews,
)
from ploverhall.scheduling.allocations import (
    BEGIN_S,
    WORKED_S,
    Chunk,
    Death,
    Entry,
    JobState,
    Offer,
    entry_bytes,
    header_bytes,
)
from ploverhall.scheduling.eviction_grants import Grants
from ploverhall.scheduling.inventory import EPS, MANY, NOTHING, add, fits, times

ATTEMPT_BITS = 28
PATIENCE_S = (
    0.06  # how long a worse answer waits for a better one: a few round trips between controllers
)
TEAM_EVERY_S = 0.2  # how often a team's waiting jobs are held against its limit anew
AVOID_S = 120.0  # how long a machine is avoided by a job that failed there
TRY_S, TRY_MOST_S = (
    5.0,
    90.0,
)  # first and longest pause between two tries of a job that fails everywhere
REST_S, REST_MOST_S = 1.0, 60.0  # the same for one task that fails while its job works
WAY_EVERY_S = 0.5  # how often replicas that wait for their team's limit are held against its arrays
REVISIT_S = 1.0  # how often every job with offers is decided anew, whatever has been seen to change


class Source(Grants):
    """Decides for the jobs of one shard's teams."""

    # -- what owners tell --------------------------------------------------------------------

    def on_owner(
        self, part: int, epoch: int, full: bool, changes: dict[str, Any], now: float
    ) -> None:
        """An owner's board: offers, and what became of permits."""
        if full:
            for k in [
                k for k in self.offer_job if k[0] == part and peer_messages.offer_key(k[1]) not in changes
            ]:
                self._drop_offer(k)
        for key, value in changes.items():
            if key[0] == peer_messages.OFFER:
                self._offer(
                    part, epoch, int(key[1:]), OfferNews(*value) if value is not None else None
                )
            elif key[0] == peer_messages.START and value is not None:
                job, task, attempt = peer_messages.split_key(key)
                js = self.jobs.get(job)
                e = js.entries.get(task) if js is not None else None
                if (
                    js is not None
                    and e is not None
                    and e.attempt == attempt
                    and e.part == part
                    and e.landed
                    and epoch >= e.epoch
                ):
                    self._status(js, e, StartNews(*value), now)

    def _offer(self, part: int, epoch: int, ticket: int, news: OfferNews | None) -> None:
        self._drop_offer((part, ticket))
        js = self.jobs.get(news.job) if news is not None else None
        if (
            news is not None
            and js is not None
            and js.job is not None
            and (part, epoch, ticket) not in js.tickets
        ):
            js.offers[part, ticket] = Offer(
                part, epoch, ticket, news.machine, news.zone, news.cost, news.victims
            )
            self.offer_job[part, ticket] = js.id
            self.hot.add(js.id)

    def _status(self, js: JobState, e: Entry, news: StartNews, now: float) -> None:
        state, why = news.state, news.why
        if e.over or (state == e.state and why == e.why and news.notice == e.notice):
            return
        self.note(
            "task",
            job=e.job,
            task=e.task,
            attempt=e.attempt,
            machine=e.machine,
            state=state,
            why=why or "-",
        )
        js.running -= e.running
        if NOTICE_EMPTY in (news.notice, e.notice):
            self.ask(e, news.notice == NOTICE_EMPTY, now)
        e.state, e.why, e.notice = state, why, news.notice
        e.over = state in ("exited", "gone")
        js.running += e.running
        if state == "running" and e.ran_at is None:
            e.ran_at = now
            if not js.began and (js.job is None or js.job.kind != "gang" or js.running == js.n):
                js.began = True
                self.changed.add(js.id)
            if js.job is not None and js.running == js.n and js.job.kind != "array" and not js.ran:
                js.ran = True
                known = self.usual.get(js.job.klass)
                waited = now - js.came
                self.usual[js.job.klass] = waited if known is None else 0.8 * known + 0.2 * waited
            if js.broken:
                heapq.heappush(self.retries, (now + WORKED_S + 0.1, js.id))
        self.counted.add(js.id)
        if not e.over:
            if news.notice in (1, 2) and js.job is not None:
                self._leave(js, e, news.notice)
            return
        js.since = now
        self.dirty_chunks.setdefault(e.chunk, False)
        if js.job is None:
            return
        if why != "done":
            self.deaths.append(Death(now, e.job, e.task, e.machine, why or state))
        if state == "exited" and why == "done" and js.job.kind != "service":
            if js.job.kind == "gang":
                self._complete(js)  # a gang completes together
            else:
                js.mark(e.task)
                if e.ran_at is not None:
                    ran = now - e.ran_at
                    js.took_s = ran if js.took_s is None else 0.9 * js.took_s + 0.1 * ran
                if js.broken:
                    self._blame(js, False, now)
                if js.done_count == js.n:
                    self._complete(js)
            self.reorder.add(js.team)
            return
        if state == "exited" and why in ("error", "unknown", "no_room", "in_use"):
            self._failed(js, e, why, bool(news.suspect), now)
        if js.job.kind == "gang":
            # the attempt is broken: the rest leaves, saving where that still helps, and it begins anew
            for other in js.entries.values():
                if not other.over and other.stop is None:
                    self._stop(other, 0.0)

    def _leave(self, js: JobState, e: Entry, notice: int) -> None:
        """Its machine goes away or its room is needed: save what can be saved, a gang's tasks all together."""
        job = js.job
        assert job is not None
        grace = (
            job.save_s + 1.0
            if job.checkpoint_s > (0.0 if notice == 1 else 2.0 * job.save_s + 15.0)
            else 0.0
        )
        if job.kind == "gang":
            for other in js.entries.values():
                if not other.over and other.stop is None:
                    self._stop(other, grace)
        elif e.stop is None and (notice == 2 or grace > 0 or job.kind == "service"):
            self._stop(e, grace)

    def _failed(self, js: JobState, e: Entry, why: str, suspect: bool, now: float) -> None:
        """A start failed: by the machine's fault, or by the job's own if it fails on machines that nothing else speaks against.

        One failing task rests while the others go on; only a job that works nowhere is held back as a whole.
        """
        js.failures += 1
        js.last_failure = f"{why} on {e.machine}"
        self.note("failed", job=e.job, task=e.task, machine=e.machine, why=why, times=js.failures)
        rest = 1.0 if why == "unknown" else 0.3
        if why == "error":
            js.failed_on = {m: t for m, t in js.failed_on.items() if now - t < AVOID_S}
            known = e.machine in js.failed_on
            if not suspect:
                js.failed_on[e.machine] = now
            times = js.task_failures[e.task] = js.task_failures.get(e.task, 0) + 1
            rest = 0.0 if times < 2 else min(REST_MOST_S, REST_S * 2.0 ** min(times - 2, 10))
            if js.broken:
                self._hold_back(js, now)
            elif len(js.failed_on) >= 2 and not known and not js.works(now):
                self._blame(js, True, now)
        if rest > 0 and js.job is not None and js.job.kind == "gang":
            js.not_before = max(js.not_before, now + rest)
        elif rest > 0:
            js.resting[e.task] = now + rest
        if rest > 0 or js.not_before > now:
            heapq.heappush(self.retries, (max(now + rest, js.not_before), js.id))
        self.changed.add(js.id)

    def _blame(self, js: JobState, broken: bool, now: float) -> None:
        """The job itself is taken for broken, or has shown that it works."""
        if js.broken == broken or js.job is None:
            return
        js.broken = broken
        self.report(
            "job fails everywhere" if broken else "job works again",
            job=js.id,
            team=js.team,
            machines=",".join(sorted(js.failed_on)),
            failures=js.failures,
        )
        self.changed.add(js.id)
        self.hot.add(js.id)
        self.reorder.add(js.team)
        if broken:
            js.tries = 0
            self._hold_back(js, now)
            for other in js.entries.values():
                if (
                    not other.over
                    and other.stop is None
                    and other.state in ("permitted", "fetching")
                ):
                    self._stop(other, 0.0)
        else:
            js.not_before = 0.0
            js.failed_on.clear()
            js.task_failures.clear()
            for task in js.resting:
                js.resting[task] = now
            js.rested(now)

    def _hold_back(self, js: JobState, now: float) -> None:
        """It is tried now and then, ever more seldom: one task, or one whole gang."""
        if now >= js.not_before:
            js.not_before = now + min(TRY_MOST_S, TRY_S * 2.0 ** min(js.tries, 10))
            js.tries += 1
            heapq.heappush(self.retries, (js.not_before, js.id))

    # -- deciding ----------------------------------------------------------------------------

    def headroom(self, js: JobState) -> int:
        """How many more tasks of this job the team's limit allows."""
        team, used = self.teams[js.team], self.used[js.team]
        if js.job is not None and js.job.kind != "service":
            used = add(used, self.reserved.get(js.team, NOTHING))
        n = MANY
        for most, have, need in (
            (team.cpus_max, used[0], js.vec[0]),
            (team.gpus_max, used[1], js.vec[1]),
        ):
            if most > 0:
                n = min(n, times(need, most - have + EPS))
        return n

    def zone_room(self, js: JobState) -> dict[str, int] | None:
        """How many more tasks each zone may take; None: no bound."""
        job = js.job
        if job is None or not (job.spread or job.one_zone or job.zone):
            return None
        out = {}
        for z in self.zones:
            n = job.zone_cap - js.zones.get(z, 0) if job.spread else job.n
            if (job.one_zone and js.zones and z not in js.zones) or (job.zone and z != job.zone):
                n = 0
            out[z] = max(0, n)
        return out

    def _order(self) -> None:
        """Which jobs fit the team's guarantee together with the earlier unfinished ones."""
        for name in sorted(self.reorder):
            team = self.teams[name]
            total = (0.0, 0.0, 0.0)
            now_within: set[str] = set()
            for _, jid in self.by_age[name] if team.cpus > 0 or team.gpus > 0 else ():
                js = self.jobs[jid]
                self.visits += 1
                if js.broken:
                    continue  # it keeps nobody's guarantee
                total = add(total, js.vec, js.n - js.done_count)
                if (team.cpus > 0 and total[0] > team.cpus + EPS) or (
                    team.gpus > 0 and total[1] > team.gpus + EPS
                ):
                    break  # and so are all later ones
                now_within.add(jid)
            for jid in sorted(now_within ^ self.within[name]):
                if (known := self.jobs.get(jid)) is not None:
                    known.within = jid in now_within
                    self.changed.add(jid)
            self.within[name] = now_within
        self.reorder.clear()

    def wanted(self, js: JobState, now: float) -> int:
        """How many candidates to keep in every part."""
        if js.job is None or js.blocked or js.complete or now < js.not_before:
            return 0
        n = min(js.waiting() - sum(1 for t in js.resting if t not in js.entries), self.headroom(js))
        if js.overdue and not js.began and js.job.kind == "array":
            n = min(n, 1)  # the first one, before others; the rest in its turn
        if js.broken and js.job.kind != "gang":
            n = min(n, 0 if js.entries else 1)
        if js.job.kind == "gang" and (js.entries or n < js.n):
            return 0  # all or nothing, and not while an old attempt's task is somewhere
        return max(0, n)

    def _make_way(self, now: float) -> None:
        """Within a team's limit its replicas come before its arrays: these are stopped for them, the least lost work first.

        A replica waited for 124 s because an array of its own team, which had come a moment earlier, held what was left
        of the limit (ardgael-loans-ops, inc-4b3c). What is made free is kept for it.
        """
        for name, team in self.teams.items():
            before = self.reserved.pop(name, NOTHING)
            if team.cpus_max <= 0 and team.gpus_max <= 0:
                continue
            need = NOTHING
            for js in self.waits[name].values():
                if (
                    js.job is not None
                    and js.job.kind == "service"
                    and not js.broken
                    and not js.blocked
                    and js.not_before <= now
                ):
                    need = add(need, js.vec, js.waiting())
            if need == NOTHING:
                if before != NOTHING:
                    self.moved.add(name)
                continue
            used, limit = (
                add(self.used[name], need),
                (team.cpus_max or 1e18, team.gpus_max or 1e18, 1e18),
            )
            if all(u <= most + EPS for u, most in zip(used, limit, strict=True)):
                continue
            self.reserved[name] = need
            going = NOTHING
            arrays = [
                js
                for js in self.jobs.values()
                if js.team == name and js.entries and js.job is not None and js.job.kind == "array"
            ]
            ways: list[tuple[float, int, Entry, JobState]] = []
            for js in arrays:
                assert js.job is not None
                for e in js.entries.values():
                    self.visits += 1
                    if e.over or not e.landed:
                        continue
                    if e.stop is not None:
                        going = add(going, js.vec)
                    elif js.job.rank > 0:
                        ways.append(
                            (now - e.ran_at if e.ran_at is not None else 0.0, e.task, e, js)
                        )
            for _, _, e, js in sorted(ways, key=lambda w: w[:2]):
                short = add(used, going, -1)
                if all(u <= most + EPS for u, most in zip(short, limit, strict=True)):
                    break
                assert js.job is not None
                saves = js.job.checkpoint_s > 2.0 * js.job.save_s + 15.0
                self._stop(e, js.job.save_s + 1.0 if saves else 0.0)
                going = add(going, js.vec)

    def _revisit(self, now: float) -> None:
        """What time brings: jobs that may be tried again, and teams whose use has moved."""
        while self.retries and self.retries[0][0] <= now:
            _, jid = heapq.heappop(self.retries)
            if (js := self.jobs.get(jid)) is None:
                continue
            self.changed.add(jid)
            self.hot.add(jid)
            js.rested(now)
            if not js.began and js.job is not None and now >= js.begin_by:
                self._late_to_begin(js, now)
            if js.broken and js.works(now):
                self._blame(js, False, now)
        if now >= self.next_way:
            self.next_way = now + WAY_EVERY_S
            self._make_way(now)
        if self.moved and now >= self.next_team:
            self.next_team = now + TEAM_EVERY_S
            for team in self.moved:
                self.changed.update(self.waits[team])
                self.hot.update(jid for jid, js in self.waits[team].items() if js.offers)
            self.moved.clear()
        if now >= self.next_revisit:
            self.next_revisit = now + REVISIT_S
            self.hot.update(self.offer_job.values())

    def _late_to_begin(self, js: JobState, now: float) -> None:
        """Nothing of a job has run for long: by turns it comes before others for a while, and then not.

        By turns, since one that never finds room would keep what it holds from everybody else for ever.
        """
        js.begin_by = now + BEGIN_S
        js.overdue = not js.overdue and not js.entries and not js.done_count and not js.broken
        heapq.heappush(self.retries, (js.begin_by, js.id))
        if js.overdue and js.job is not None:
            self.report(
                "has not begun for long",
                job=js.id,
                team=js.team,
                kind=js.job.kind,
                tasks=js.n,
                waits=round(now - js.came),
            )

    def decide(self, now: float) -> None:
        """Permit ready candidates, in memory; they go out when the write has landed."""
        self._revisit(now)
        if self.reorder:
            self._order()
        self.impatient = False
        if not self.hot:
            return
        hot, self.hot = self.hot, set()
        ready = [
            js
            for jid in sorted(hot)
            if (js := self.jobs.get(jid)) is not None and js.offers and js.job is not None
        ]
        for js in sorted(ready, key=self.order):
            self._decide(js, now)

    def _decide(self, js: JobState, now: float) -> None:
        job = js.job
        assert job is not None
        self.visits += 1
        n = self.wanted(js, now)
        if n <= 0:
            return
        zones = self.zone_room(js)
        # an owner's cost counts what is lost by stopping others; work that could be anywhere takes plain room first all the same
        offers = sorted(
            (o for o in js.offers.values() if o.machine not in js.failed_on),
            key=lambda o: (o.victims if job.spot else 0, o.cost, o.victims, o.ticket),
        )
        if now - js.since < PATIENCE_S:
            # room by preemption, or without the image, is a worse answer: let the other owners speak first,
            # or the owner next door wins every race (the paper's optional scoring, cut to a blink)
            waited = [o for o in offers if not o.victims and o.cost <= 1.0]
            if len(waited) < len(offers):
                self.impatient = True
                self.hot.add(js.id)
            offers = waited
        if job.kind == "gang":
            offers = self._gang(
                job, [o for o in offers if zones is None or zones.get(o.zone, 0) > 0]
            )
        chosen: list[Offer] = []
        for o in offers:
            if len(chosen) >= n:
                break
            if zones is not None:
                if zones.get(o.zone, 0) <= 0:
                    continue
                zones[o.zone] -= 1
                if job.one_zone:
                    zones = {z: (v if z == o.zone else 0) for z, v in zones.items()}
            chosen.append(o)
        if not chosen or (job.kind == "gang" and len(chosen) < js.n):
            return  # never a part of a gang
        self._permit(js, chosen)

    def _permit(self, js: JobState, chosen: list[Offer]) -> None:
        attempt = self._attempt()
        new: list[Entry] = []
        nowhere = Chunk(js.team, -1)
        for o in chosen:
            task = js.take()
            if task is None:
                break
            new.append(
                Entry(js.id, task, attempt, o.machine, o.part, o.zone, o.epoch, o.ticket, nowhere)
            )
            self._drop_offer((o.part, o.ticket))
        sizes = [entry_bytes(e) for e in new]
        header = header_bytes(js.id, js.vec)
        total = header + sum(sizes)
        # a gang's permits stand in one chunk where one can hold them, so that they land together
        whole = (
            self._chunk_for(js.team, total)
            if js.job is not None and js.job.kind == "gang" and total + 2 <= self.chunk_bytes
            else None
        )
        for e, size in zip(new, sizes, strict=True):
            e.chunk = whole or self._chunk_for(js.team, header + size)
            self._insert(js, e)
            self.dirty_chunks[e.chunk] = True

    def _attempt(self) -> int:
        self.attempts += 1
        return (self.epoch << ATTEMPT_BITS) + self.attempts

    def _gang(self, job: Job, offers: list[Offer]) -> list[Offer]:
        """A whole gang or nothing: from one part if one has it all, else from pieces of several."""
        best: list[Offer] = []
        groups: dict[Any, list[Offer]] = {}
        for o in offers:
            groups.setdefault((o.part, o.zone), []).append(o)
        for o in offers:
            groups.setdefault(o.zone, []).append(o)
        if not job.one_zone:
            groups["all"] = offers
        for group in groups.values():
            picked: list[Offer] = []
            count: dict[str, int] = {}
            for o in group:
                if count.get(o.zone, 0) < job.zone_cap and len(picked) < job.n:
                    picked.append(o)
                    count[o.zone] = count.get(o.zone, 0) + 1
            if len(picked) == job.n and (
                not best or max(o.cost for o in picked) < max(o.cost for o in best)
            ):
                best = picked
        return best

    # -- what owners and the renter are told ---------------------------------------------------

    def take_news(self, parts: int, now: float) -> dict[tuple[int, str], Any]:
        """What has changed for the owners since the last time: (part, key) -> value."""
        out: dict[tuple[int, str], Any] = dict(self.permit_news)
        self.permit_news.clear()
        for jid in sorted(self.changed):
            self.visits += 1
            js = self.jobs.get(jid)
            if js is None:
                for part in range(parts):
                    out[part, peer_messages.job_key(jid)] = out[part, peer_messages.candidate_key(jid)] = None
                for waits in self.waits.values():
                    waits.pop(jid, None)
                continue
            if js.waiting() > 0:
                self.waits[js.team][jid] = js
            else:
                self.waits[js.team].pop(jid, None)
            news = JobNews(
                js.job.record() if js.job is not None else None,
                list(js.vec),
                int(js.within),
                int(js.broken),
            )
            n = self.wanted(js, now)
            zones = self.zone_room(js) if n or js.unlanded else None
            for part in range(parts):
                # a permit that is being written still needs the room that is held for it: wanting less at once
                # made owners cancel that room, and refuse the permit a moment later (kazi-bodi steady)
                want = n + js.unlanded.get(part, 0)
                out[part, peer_messages.job_key(jid)] = news
                out[part, peer_messages.candidate_key(jid)] = (
                    Candidate(want, list(self.order(js)), zones, sorted(js.failed_on))
                    if want and js.job is not None
                    else None
                )
        self.changed.clear()
        return out

    def take_counts(self) -> dict[str, list[int] | None]:
        """What users are shown of jobs, as far as it has changed."""
        counted, self.counted = self.counted, set()
        return {
            jid: [js.done_count, js.running]
            if (js := self.jobs.get(jid)) is not None and js.job
            else None
            for jid in sorted(counted)
        }

    def _at_once(self, js: JobState, n: int, wall: float) -> int:
        """How many more tasks of an array have to find room now for it to be done when its class expects it.

        A slot serves one task after the other. Renting for every task at once gave each machine one task of 25 s to run and 60 s to
        be paid for; renting for none until the job was late had 9 in 10 of them late (shannon-loanworks, untouched).
        """
        job = js.job
        assert job is not None
        if job.kind != "array" or (within := self.aims.of(job).finish_s) is None:
            return n
        kinds = [t for t in self.types.values() if fits(job.vec, t.vec)]
        ready = min(
            (1.5 * t.boot_s + 2.0 * job.image_gb / max(t.fetch_gb_s, 0.01) for t in kinds),
            default=60.0,
        )
        takes = 1.2 * max(1.0, job.estimate_s if js.took_s is None else js.took_s)
        turns = int((job.at + within - wall - ready) / takes)
        busy = sum(1 for e in js.entries.values() if not e.over)
        return n if turns <= 1 else max(0, min(n, -(-(n + busy) // turns) - busy))

    def demand(self, now: float, wall: float) -> dict[str, DemandNews]:
        """Waiting tasks, each once, for the renter; 0 where enough room is at work already."""
        out: dict[str, DemandNews] = {}
        left = {
            t: (
                team.cpus_max - self.used[t][0] if team.cpus_max > 0 else 1e18,
                team.gpus_max - self.used[t][1] if team.gpus_max > 0 else 1e18,
            )
            for t, team in self.teams.items()
        }
        for js in sorted(
            (j for w in self.waits.values() for j in w.values() if j.job is not None),
            key=self.order,
        ):
            n = 0 if js.broken or js.not_before > now + 5 else js.waiting()
            cpus, gpus = left[js.team]
            n = min(
                n,
                times(js.vec[0], max(0.0, cpus) + EPS * js.vec[0]),
                times(js.vec[1], max(0.0, gpus) + EPS * js.vec[1]),
            )
            if js.job is not None and js.job.kind == "gang" and n < js.n:
                n = 0
            if n > 0 and js.job is not None:
                left[js.team] = (cpus - n * js.vec[0], gpus - n * js.vec[1])
                out[js.id] = DemandNews(
                    js.job.record(),
                    self._at_once(js, n, wall),
                    self.zone_room(js),
                    list(self.order(js)),
                )
        return out

    def progress(self, jid: str) -> tuple[int, int]:
        """(done, running) for display."""
        js = self.jobs.get(jid)
        return (js.done_count, js.running) if js is not None else (0, 0)
