"""What workers report: answered by the owner of their part, or put through to it."""

from __future__ import annotations

from typing import Any

import orjson

from ploverhall import log
from ploverhall.connectivity.relay_routes import Ways
from ploverhall.controller.agent_commands import Workers
from ploverhall.controller.context import Held, Shared
from ploverhall.controller.peer_liveness import Hearing
from ploverhall.controller.relay import Carrying, NotCarried
from ploverhall.controller.routing import Routing
from ploverhall.controller.shard_leases import Membership
from ploverhall.coordination import fencing_tokens
from ploverhall.protocol import agents
from ploverhall.protocol.agents import Report
from ploverhall.protocol.relay_messages import REPORT, Question
from ploverhall.scheduling.inventory import Machine
from ploverhall.transport.http import Reply, Unreachable
from ploverhall.transport.http_parser import Request

AFTER_S = 10.0  # answering for an earlier life is worth a word when it begins
CARRY_S = 2.4  # a worker waits for 4 s, and has to hear within them that there is no answer


class Reports:
    """What workers report."""

    def __init__(
        self,
        shared: Shared,
        hearing: Hearing,
        routing: Routing,
        membership: Membership,
        ways: Ways,
        carrying: Carrying,
        links: Workers,
    ) -> None:
        self.shared, self.hearing, self.routing, self.membership = (
            shared,
            hearing,
            routing,
            membership,
        )
        self.ways, self.carrying, self.workers = ways, carrying, links
        self.after_at = -1e9  # when a worker of this controller's earlier life was last answered

    async def report(self, q: Request) -> Reply:
        """A worker's report."""
        try:
            r = agents.decode(q.body)
        except agents.Malformed as e:
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
            return Reply(421, agents.homing(other)), None
        m = held.owner.on_report(r, now, carried=carried)
        if m is None:
            log.info("deposed", shard=held.shard, epoch=held.epoch, by=held.owner.deposed_by)
            node = self.shared.replica.holder(held.shard)[0]
            return Reply(421, agents.homing(node if node != me else None)), None
        if m.copy:
            return Reply(200, agents.answer(m.token, [])), None  # nobody waits for it
        held.owner.right = self.membership.right(now)
        calls = held.owner.commands(m, now)
        # what a worker's lease counts from is when it sent the report, which was before now, whichever way the answer takes
        m.last_answer = now
        if held.owner.dirty or held.owner.changed:
            self.shared.poke()
        return Reply(200, agents.answer(m.token, calls)), m

    async def _elsewhere(self, body: bytes, r: Report, part: int) -> Reply:
        """A worker of a part that another controller holds: it is sent there, or, if it comes from there, answered through here."""
        me, now = self.shared.settings.name, self.shared.clock()
        node = self.routing.holder(part)
        if node in (None, me) and (answer := self._afterlife(r, part, now)) is not None:
            other = self._sent_on(r, None, now)
            return Reply(200, answer) if other is None else Reply(421, agents.homing(other))
        holder, epoch = self.shared.replica.holder(part)
        served = (
            fencing_tokens.epoch_of(r.token) == epoch
        )  # it has left that holder: its answers did not come
        # or it has been sent there, by this controller or another, and could not reach it
        late = 0 < fencing_tokens.epoch_of(r.token) < epoch and self.routing.settled(part, now)
        back = late or self.membership.stranded.back(part, r.machine, now)
        if node is not None and node != me and (served or back or self.ways.cut_off(node, part)):
            reply = await self._through(body, r, part, node)
            if reply is not None:
                return reply
            now = self.shared.clock()
        if holder is not None and holder != me and fencing_tokens.epoch_of(r.token) <= epoch:
            self.membership.stranded.note(part, r.machine, served, now)
            self.membership.shard_wake.set()
            if self.hearing.quiet(holder, part, now):
                return Reply(
                    421, {}
                )  # sent back there it would hang; somebody takes the shard in a moment
        return Reply(421, agents.homing(node if node != me else None))

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
        over = {
            key[0]
            for key in r.tasks()
            if (key[0] in replica.ended or (replica.ready and key[0] not in replica.live))
        }
        answer = self.membership.rights.answer(
            r, self.shared.me, replica.holder(part)[1], over, self.shared.wall()
        )
        if answer is not None and now - self.after_at > AFTER_S:
            log.info("answers for its earlier life", shard=part, epoch=fencing_tokens.epoch_of(r.token))
        self.after_at = now if answer is not None else self.after_at
        return answer

    async def _through(
        self,
        body: bytes,
        r: Report,
        part: int,
        node: str,
        avoid: frozenset[str] = frozenset(),
        hops: int = 2,
    ) -> Reply | None:
        """Put a report through to the holder of its part, and answer what that one answers; None where there is no way."""
        via = (
            self.ways.to_member(node, REPORT, self.shared.clock(), avoid, hops)
            if self.shared.settings.options.carry
            else None
        )
        if via is None:
            return None
        try:
            status, raw = await self.carrying.ask(
                via, REPORT, timeout=CARRY_S * hops / 2, to=node, body=body, hops=hops
            )
            answer = orjson.loads(raw)
        except (NotCarried, Unreachable, orjson.JSONDecodeError):
            return None
        if status not in (200, 421) or not isinstance(answer, dict):
            return None
        if (
            status == 200
            and fencing_tokens.epoch_of(answer.get("crest", 0)) < self.shared.replica.holder(part)[1]
        ):
            return None  # from a holder that has been deposed meanwhile: the worker would drop it, and stay while its lease runs out
        return Reply(status, answer)

    async def carried(self, by: str, q: Question) -> tuple[int, bytes]:
        """A member has a report of a worker that can't reach this controller, or one that only this one can pass on."""
        try:
            r = agents.decode(q.body)
        except agents.Malformed as e:
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
            return 421, orjson.dumps(agents.homing(self.shared.settings.name))
        return reply.status, orjson.dumps(reply.body)
