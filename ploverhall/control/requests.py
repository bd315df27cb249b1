"""What users, workers and the load balancer ask."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import orjson

from ploverhall import log
from ploverhall.bookkeeping.replica import (
    ARCHIVE,
    ARCHIVED,
    JOB,
    Ended,
    end_record,
    ended,
)  # fmt: skip
from ploverhall.control.carrying import Carrying, NotCarried
from ploverhall.control.following import Following
from ploverhall.control.hearing import Hearing
from ploverhall.control.membership import Membership
from ploverhall.control.routing import Routing
from ploverhall.control.shared import Held, Shared
from ploverhall.control.telling import Telling
from ploverhall.control.upkeep import Upkeep
from ploverhall.control.workers import Workers
from ploverhall.coordination import tokens
from ploverhall.coordination.fleet import Machine, fits
from ploverhall.log import where
from ploverhall.protocol import jobs, workers
from ploverhall.protocol.carry import REPORT, Question
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.state import Refused, Unknown
from ploverhall.protocol.workers import Report
from ploverhall.reach.ways import Ways
from ploverhall.transport.http import Reply, Unreachable
from ploverhall.transport.wire import Request

AFTER_S = 10.0  # answering for an earlier life is worth a word when it begins
STATE_S = 2.5  # the state service's last answer, by whichever way, is no older
CARRY_S = 2.4  # a worker waits for 4 s, and has to hear within them that there is no answer
AGAIN_S = 1.5  # a change whose outcome is not known so soon is written again: its user waits for 5 s
SETTLE_S = 1.0  # how long a cancellation's answer waits for the other controllers' word before its user is sent away
PUT_OFF_S, MOST_PUT_OFF = 20.0, 1000  # a question is sent away for so long at most
WAIT_S, GUEST_WAIT_S = 1.5, 0.5  # a submission that would wait for longer is refused at once, and told when to come back


class Requests:
    """What users, workers and the load balancer ask."""

    def __init__(self, shared: Shared, hearing: Hearing, routing: Routing, following: Following, membership: Membership, telling: Telling,
                 news: Callable[[], None], ways: Ways, carrying: Carrying, links: Workers, upkeep: Upkeep) -> None:
        self.shared, self.hearing, self.routing, self.telling = shared, hearing, routing, telling
        self.ways, self.carrying, self.workers, self.upkeep = ways, carrying, links, upkeep
        self.following, self.membership, self.news = following, membership, news
        self.after_at = -1e9  # when a worker of this controller's earlier life was last answered
        self.put_off: dict[str, float] = {}  # old or unknown jobs that were not looked up, and since when
        self.storing = 0  # submissions that wait to be written

    async def handle(self, q: Request) -> Reply:
        """Route one request."""
        try:
            if q.path == "/v1/report":
                return await self.report(q) if q.method == "POST" else Reply(405, {"error": "method"})
            if q.path == "/healthz":
                return Reply(200, {"ok": True}) if self.healthy() else Reply(503, {"ok": False})
            if q.path == "/api/jobs":
                return await self.submit(q) if q.method == "POST" else Reply(405, {"error": "method"})
            if q.path.startswith("/api/jobs/"):
                jid, _, verb = q.path[len("/api/jobs/") :].partition("/")
                if q.method == "GET" and not verb:
                    return await self.poll(jid)
                if q.method == "POST" and verb == "withdraw":
                    return await self.withdraw(jid)
            if q.path == "/status" and q.method == "GET":
                chosen = {k: v for k, v in q.query.items() if k in ("job", "team", "machine") and v}
                told = self.state_of(chosen["job"]) if "job" in chosen else None
                return Reply(200, {**await self.telling.answer(chosen), "told": told})
            if q.path == "/upkeep" or q.path.startswith("/upkeep/"):
                return await self.upkeep.handle(q)
            return Reply(404, {"error": "no such path"})
        except Exception as e:
            log.error("request failed", path=q.path, error=repr(e), at=where(e))
            return Reply(503, {"error": "internal"}, 1.0)

    def healthy(self) -> bool:
        """Ready, not the only one that the state service refuses, and not alone with its workers."""
        now = self.shared.clock()
        if not self.shared.replica.ready or self.shared.types is None or self.membership.alone.since is not None:
            return False
        return now - self.shared.store.last_ok < STATE_S or not self.hearing.others_reach_state(now)

    async def report(self, q: Request) -> Reply:
        """A worker's report."""
        try:
            r = workers.decode(q.body)
        except workers.Malformed as e:
            return Reply(400, {"error": str(e)})
        part = self.shared.layout.part(r.zone, r.machine)
        held = self.shared.held.get(part)
        if held is None:
            return await self._elsewhere(q.body, r, part)
        reply, m = self._answer(held, r)
        if m is not None:
            self.workers.reported(part, r.machine, self.shared.clock())

            def sent() -> None:
                m.last_answer = self.shared.clock()

            reply.sent = sent
        return reply

    def _answer(self, held: Held, r: Report, carried: bool = False) -> tuple[Reply, Machine | None]:
        """What the owner of a worker's part answers; and the machine, if the worker is there to be answered by this one."""
        now, me = self.shared.clock(), self.shared.settings.name
        if self.membership.isolated(now):
            return Reply(421, {}), None
        if (other := self._sent_on(r, held, now)) is not None:
            return Reply(421, workers.homing(other)), None
        m = held.owner.on_report(r, now, carried=carried)
        if m is None:
            log.info("deposed", shard=held.shard, epoch=held.epoch, by=held.owner.deposed_by)
            node = self.shared.replica.holder(held.shard)[0]
            return Reply(421, workers.homing(node if node != me else None)), None
        if m.copy:
            return Reply(200, workers.answer(m.token, [])), None  # nobody waits for it
        held.owner.right = self.membership.right(now)
        calls = held.owner.commands(m, now)
        # what a worker's lease counts from is when it sent the report, which was before now, whichever way the answer takes
        m.last_answer = now
        if held.owner.dirty or held.owner.changed:
            self.shared.poke()
        return Reply(200, workers.answer(m.token, calls)), m

    async def _elsewhere(self, body: bytes, r: Report, part: int) -> Reply:
        """A worker of a part that another controller holds: it is sent there, or, if it comes from there, answered through here."""
        me, now = self.shared.settings.name, self.shared.clock()
        node = self.routing.holder(part)
        if node in (None, me) and (answer := self._afterlife(r, part, now)) is not None:
            other = self._sent_on(r, None, now)
            return Reply(200, answer) if other is None else Reply(421, workers.homing(other))
        holder, epoch = self.shared.replica.holder(part)
        served = tokens.epoch_of(r.token) == epoch  # it has left that holder: its answers did not come
        # or it has been sent there, by this controller or another, and could not reach it
        late = 0 < tokens.epoch_of(r.token) < epoch and self.routing.settled(part, now)
        back = late or self.membership.stranded.back(part, r.machine, now)
        if node is not None and node != me and (served or back or self.ways.cut_off(node, part)):
            reply = await self._through(body, r, part, node)
            if reply is not None:
                return reply
            now = self.shared.clock()
        if holder is not None and holder != me and tokens.epoch_of(r.token) <= epoch:
            self.membership.stranded.note(part, r.machine, served, now)
            self.membership.shard_wake.set()
            if self.hearing.quiet(holder, part, now):
                return Reply(421, {})  # sent back there it would hang; somebody takes the shard in a moment
        return Reply(421, workers.homing(node if node != me else None))

    def _sent_on(self, r: Report, held: Held | None, now: float) -> str | None:
        """To whom a worker is sent by a controller that has nobody but its workers (coordination.alone)."""
        if self.membership.alone.since is None:
            return None
        known = held.owner.machines.get(r.machine) if held is not None else None
        answered = known.last_answer if known is not None else 0.0
        return self.membership.alone.sends_to(r.machine, now - answered if r.listed else None, now)

    def _afterlife(self, r: Report, part: int, now: float) -> dict[str, Any] | None:
        """What a worker is answered whose part this controller held in an earlier life, before it holds it again; None: nothing."""
        replica = self.shared.replica
        # what another controller has named as cancelled is over before the store has been read, too
        over = {key[0] for key in r.tasks() if (key[0] in replica.ended or (replica.ready and key[0] not in replica.live))}
        answer = self.membership.rights.answer(r, self.shared.me, replica.holder(part)[1], over, self.shared.wall())
        if answer is not None and now - self.after_at > AFTER_S:
            log.info("answers for its earlier life", shard=part, epoch=tokens.epoch_of(r.token))
        self.after_at = now if answer is not None else self.after_at
        return answer

    async def _through(self, body: bytes, r: Report, part: int, node: str, avoid: frozenset[str] = frozenset(),
                       hops: int = 2) -> Reply | None:
        """Put a report through to the holder of its part, and answer what that one answers; None where there is no way."""
        via = self.ways.to_member(node, REPORT, self.shared.clock(), avoid, hops) if self.shared.settings.options.carry else None
        if via is None:
            return None
        try:
            status, raw = await self.carrying.ask(via, REPORT, timeout=CARRY_S * hops / 2, to=node, body=body, hops=hops)
            answer = orjson.loads(raw)
        except (NotCarried, Unreachable, orjson.JSONDecodeError):
            return None
        if status not in (200, 421) or not isinstance(answer, dict):
            return None
        if status == 200 and tokens.epoch_of(answer.get("crest", 0)) < self.shared.replica.holder(part)[1]:
            return None  # from a holder that has been deposed meanwhile: the worker would drop it, and stay while its lease runs out
        return Reply(status, answer)

    async def carried(self, by: str, q: Question) -> tuple[int, bytes]:
        """A member has a report of a worker that can't reach this controller, or one that only this one can pass on."""
        try:
            r = workers.decode(q.body)
        except workers.Malformed as e:
            raise NotCarried(str(e)) from e
        part = self.shared.layout.part(r.zone, r.machine)
        held = self.shared.held.get(part)
        if held is None:
            if q.hops < 2 or q.to in ("", self.shared.settings.name):
                raise NotCarried("not held here")
            reply = await self._through(q.body, r, part, q.to, frozenset((by,)), q.hops - 1)
            if reply is None:
                raise NotCarried("no way from here either")
            return reply.status, orjson.dumps(reply.body)
        reply, m = self._answer(held, r, carried=True)
        if m is not None and self.workers.homing.carried(r.machine, by, self.shared.clock()):
            # it has been listened to; but what it is to do it will be told by itself
            return 421, orjson.dumps(workers.homing(self.shared.settings.name))
        return reply.status, orjson.dumps(reply.body)

    def state_of(self, jid: str) -> dict[str, Any] | None:
        """What users are told of a job, from the copy."""
        if (end := self.shared.replica.ended.get(jid)) is not None:
            return jobs.view(jid, end.how, end.done)
        known = self.shared.replica.live.get(jid)
        if known is None:
            return jobs.view(jid, jobs.QUEUED, 0, 0) if jid in self.shared.replica.unreadable else None
        shard = self.shared.layout.team_shard.get(known[0].team, -1)
        held = self.shared.held.get(shard)
        done, running = 0, 0
        if held is not None and held.source is not None:
            done, running = held.source.progress(jid)
        else:
            for dst in range(len(self.shared.layout.nodes)):
                counts = self.shared.inbox.boards.get(("c", shard, dst))
                if counts is not None and jid in counts[1]:
                    done, running = counts[1][jid]
                    break
        return jobs.view(jid, jobs.RUNNING if running else jobs.QUEUED, done, running)

    def why_never(self, job: Job) -> str | None:
        """Why a job can never run; None if it can."""
        team = self.shared.teams.get(job.team)
        if team is None:
            return "unknown team"
        types = self.shared.types or {}
        if not any(
            fits(job.vec, t.vec) and (job.types is None or t.name in job.types) and (job.zone is None or job.zone in t.zones)
            for t in types.values()
        ):
            return "no machine type fits a task"
        n = 1 if job.kind == "array" else job.n
        if (team.cpus_max > 0 and n * job.cpus > team.cpus_max + 1e-6) or (team.gpus_max > 0 and n * job.gpus > team.gpus_max + 1e-6):
            return "more than the team's limit"
        return None

    async def submit(self, q: Request) -> Reply:
        """POST /api/jobs."""
        try:
            job = jobs.parse(orjson.loads(q.body), self.shared.wall())
        except (orjson.JSONDecodeError, jobs.Malformed) as e:
            return Reply(400, {"error": str(e)})
        if (end := self.shared.replica.ended.get(job.id)) is not None:
            return self.final(job.id, end)
        if not self.shared.replica.ready or self.shared.types is None:
            return Reply(503, {"error": "not ready"}, 1.0)
        if job.id in self.shared.replica.live or job.id in self.shared.replica.unreadable:
            return Reply(200, self.state_of(job.id)) if await self.following.current() else Reply(503, {"error": "state unknown"}, 1.0)
        if (why := self.why_never(job)) is not None:
            # what was accepted once stays accepted, whatever the cloud sells by now
            known = await self.known(job.id)
            if known is None:
                return Reply(422, {"error": why})
            return Reply(200, known) if isinstance(known, dict) else known
        record = job.record()
        if len(orjson.dumps(record)) > self.shared.settings.value_bytes - 64:
            return Reply(400, {"error": "description too long to be kept"})
        writes, team = self.shared.store.writes, self.shared.teams[job.team]
        guest = team.cpus <= 0 and team.gpus <= 0
        wait = writes.wait(1) + self.storing / writes.rate
        if wait > (GUEST_WAIT_S if guest else WAIT_S):
            return Reply(429, {"error": "busy"}, wait + 1)
        self.storing += 1
        try:
            rev, failed = await self._write({JOB + job.id: 0, ARCHIVE + job.id: 0}, JOB + job.id, record)
        except (Refused, Unknown):
            return Reply(503, {"error": "not stored"}, 1.0)
        finally:
            self.storing -= 1
        if failed:
            known = await self.known(job.id)
            return Reply(200, known) if isinstance(known, dict) else known or Reply(503, {"error": "state unknown"}, 1.0)
        log.info("accepted", job=job.id, team=job.team, kind=job.kind, tasks=job.n, klass=job.klass)
        self.shared.replica.put_own(JOB + job.id, record, rev)
        self.news()
        return Reply(201, {"id": job.id, "stance": jobs.QUEUED})

    async def _write(self, guards: dict[str, int], key: str, record: Any) -> tuple[int, list[str]]:
        """One guarded change. Of unknown outcome it is written again, once: if it landed after all, its guard fails now.

        A link that is cut takes the request that finds it out with it; its user would come again after a second at the soonest.
        """
        begun = self.shared.clock()
        try:
            return await self.shared.store.txn(guards, {key: record}, [])
        except Unknown:
            if self.shared.clock() - begun > AGAIN_S:
                raise
            return await self.shared.store.txn(guards, {key: record}, [])

    async def poll(self, jid: str) -> Reply:
        """GET /api/jobs/{id}."""
        if not jobs.ID.match(jid):
            return Reply(404, {"error": "no such job"})  # nobody can have submitted it; and it goes into no request of ours
        known = await self.known(jid)
        return Reply(200, known) if isinstance(known, dict) else known or Reply(404, {"error": "no such job"})

    def final(self, jid: str, end: Ended) -> Reply:
        """How a job ended; a cancellation only once every controller that could still run its tasks knows of it."""
        if not self.membership.may_tell(end):
            self.following.ask()
            return Reply(503, {"error": "not known to all controllers yet"}, 1.0)
        return Reply(200, jobs.view(jid, end.how, end.done))

    async def settled(self, jid: str, end: Ended) -> Reply:
        """The same, waiting a moment for the other controllers' word."""
        with anyio.move_on_after(SETTLE_S):
            while not self.membership.may_tell(end):
                self.following.ask()
                await anyio.sleep(0.03)
        return self.final(jid, end)

    async def known(self, jid: str) -> dict[str, Any] | Reply | None:
        """What is known of a job for certain; a refusal where it can't be known now, None where there is no such job."""
        if jid not in self.shared.replica.ended and not await self.following.current():
            return Reply(503, {"error": "state unknown"}, 1.0)
        if (end := self.shared.replica.ended.get(jid)) is not None:
            return self.final(jid, end)
        state = self.state_of(jid)
        if state is not None or ARCHIVED not in self.shared.replica.keys:
            return state
        if self.shared.store.requests.wait(self.shared.store.requests.rate / 2) > 0:
            # who asks for old or unknown jobs does not delay a lease or a permit; but nobody is sent away for ever
            now = self.shared.clock()
            if now - self.put_off.setdefault(jid, now) < PUT_OFF_S:
                while len(self.put_off) > MOST_PUT_OFF:
                    del self.put_off[next(iter(self.put_off))]
                return Reply(503, {"error": "busy"}, 1.0)
        self.put_off.pop(jid, None)
        try:
            value, version = await self.shared.store.get(ARCHIVE + jid)
        except (Refused, Unknown):
            return Reply(503, {"error": "state unknown"}, 1.0)
        if value is None:
            return None
        end = ended(value, version)
        return jobs.view(jid, end.how, end.done)

    async def withdraw(self, jid: str) -> Reply:
        """POST /api/jobs/{id}/withdraw."""
        if not jobs.ID.match(jid):
            return Reply(404, {"error": "no such job"})
        for _ in range(3):
            if (end := self.shared.replica.ended.get(jid)) is not None:
                return await self.settled(jid, end)
            known = self.shared.replica.live.get(jid)
            if known is not None:
                record = end_record(jobs.WITHDRAWN, 0)
                try:
                    rev, failed = await self._write({JOB + jid: known[1]}, JOB + jid, record)
                except (Refused, Unknown):
                    return Reply(503, {"error": "not stored"}, 1.0)
                if not failed:
                    log.info("withdrawn", job=jid)
                    self.shared.replica.put_own(JOB + jid, record, rev)
                    self.news()
                    return await self.settled(jid, ended(record, rev))
            state = await self.known(jid)
            if state is None:
                return Reply(404, {"error": "no such job"})
            if isinstance(state, Reply):
                return state
            if state["stance"] in (jobs.DONE, jobs.WITHDRAWN):
                return Reply(200, state)
        return Reply(503, {"error": "state unknown"}, 1.0)
