"""What workers report: answered by the owner of their part, or put through to it."""

from __future__ import annotations

from typing import Any

import orjson

from ploverhall import log
from ploverhall.connectivity.relay_routes import RelayRoutes
from ploverhall.controller.agent_commands import AgentCommands
from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.relay import Relay
from ploverhall.controller.routing import Routing
from ploverhall.controller.shard_leases import ShardLeases
from ploverhall.coordination import fencing_tokens
from ploverhall.errors import InvalidHeartbeatError, RelayRefusedError, UnreachableError
from ploverhall.protocol import agents
from ploverhall.protocol.agents import Heartbeat
from ploverhall.protocol.relay_messages import HEARTBEAT, RelayRequest
from ploverhall.scheduling.machines import Machine
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply

RECOVERY_LOG_INTERVAL_S = 10.0  # answering for an earlier life is worth a word when it begins
RELAY_TIMEOUT_S = 2.4  # a worker waits for 4 s, and has to hear within them that there is no answer


class HeartbeatRequests:
    """What workers report."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        routing: Routing,
        shard_leases: ShardLeases,
        relay_routes: RelayRoutes,
        relay: Relay,
        agent_commands: AgentCommands,
    ) -> None:
        self.context = context
        self.peer_liveness = peer_liveness
        self.routing = routing
        self.shard_leases = shard_leases
        self.relay_routes = relay_routes
        self.relay = relay
        self.agent_commands = agent_commands
        # When a worker of this controller's earlier life was last answered
        self.recovered_answer_at = -1e9

    async def receive(self, request: Request) -> Reply:
        """A worker's report."""
        try:
            heartbeat = agents.decode_heartbeat(request.body)
        except InvalidHeartbeatError as error:
            return Reply(400, {"error": str(error)})
        shard = self.context.shard_map.shard_of_machine(heartbeat.zone, heartbeat.machine)
        held = self.context.held_shards.get(shard)
        if held is None:
            return await self._answer_not_held(request.body, heartbeat, shard)
        reply, machine = self._answer_held(held, heartbeat)
        if machine is not None:
            self.agent_commands.heartbeat_received(shard, heartbeat.machine, self.context.clock())

            def sent() -> None:
                machine.last_answer_at = self.context.clock()

            reply.sent = sent
        return reply

    def _answer_held(
        self, held: HeldShard, heartbeat: Heartbeat, relayed: bool = False
    ) -> tuple[Reply, Machine | None]:
        """What the owner of a worker's part answers; and the machine, if the worker is there to be answered by this one."""
        now, own_name = self.context.clock(), self.context.settings.name
        if self.shard_leases.isolated(now):
            return Reply(421, {}), None
        if (other := self._isolation_redirect(heartbeat, held, now)) is not None:
            return Reply(421, agents.redirect(other)), None
        machine = held.owner.on_heartbeat(heartbeat, now, relayed=relayed)
        if machine is None:
            log.info("deposed", shard=held.shard, epoch=held.epoch, by=held.owner.superseded_by)
            controller = self.context.store_cache.holder(held.shard)[0]
            return Reply(421, agents.redirect(controller if controller != own_name else None)), None
        if machine.stale_heartbeat:
            return Reply(
                200, agents.heartbeat_answer(machine.token, [])
            ), None  # nobody waits for it
        held.owner.renewal_grant = self.shard_leases.renewal_grant(now)
        commands = held.owner.commands_for(machine, now)
        # what a worker's lease counts from is when it sent the report, which was before now, whichever way the answer takes
        machine.last_answer_at = now
        if held.owner.needs_step or held.owner.changed_attempts:
            self.context.wake_scheduling()
        return Reply(200, agents.heartbeat_answer(machine.token, commands)), machine

    async def _answer_not_held(self, body: bytes, heartbeat: Heartbeat, shard: int) -> Reply:
        """A worker of a part that another controller holds: it is sent there, or, if it comes from there, answered through here."""
        own_name, now = self.context.settings.name, self.context.clock()
        controller = self.routing.holder(shard)
        if (
            controller in (None, own_name)
            and (answer := self._recovered_answer(heartbeat, shard, now)) is not None
        ):
            other = self._isolation_redirect(heartbeat, None, now)
            return Reply(200, answer) if other is None else Reply(421, agents.redirect(other))
        holder, epoch = self.context.store_cache.holder(shard)
        # It has left that holder: its answers did not come
        served = fencing_tokens.epoch_of(heartbeat.token) == epoch
        # or it has been sent there, by this controller or another, and could not reach it
        overdue = 0 < fencing_tokens.epoch_of(heartbeat.token) < epoch and self.routing.settled(
            shard, now
        )
        returned = overdue or self.shard_leases.orphaned_machines.returned(
            shard, heartbeat.machine, now
        )
        if (
            controller is not None
            and controller != own_name
            and (
                served or returned or self.relay_routes.reports_unreachable_shard(controller, shard)
            )
        ):
            reply = await self._relay(body, heartbeat, shard, controller)
            if reply is not None:
                return reply
            now = self.context.clock()
        if (
            holder is not None
            and holder != own_name
            and fencing_tokens.epoch_of(heartbeat.token) <= epoch
        ):
            self.shard_leases.orphaned_machines.record(shard, heartbeat.machine, served, now)
            self.shard_leases.wake.set()
            if self.peer_liveness.holder_without_heartbeats(holder, shard, now):
                return Reply(
                    421, {}
                )  # sent back there it would hang; somebody takes the shard in a moment
        return Reply(421, agents.redirect(controller if controller != own_name else None))

    def _isolation_redirect(
        self, heartbeat: Heartbeat, held: HeldShard | None, now: float
    ) -> str | None:
        """To whom a worker is sent by a controller that has nobody but its workers (coordination.alone)."""
        if self.shard_leases.isolated_redirects.isolated_since is None:
            return None
        known = held.owner.machines.get(heartbeat.machine) if held is not None else None
        answered = known.last_answer_at if known is not None else 0.0
        return self.shard_leases.isolated_redirects.redirect_target(
            heartbeat.machine, now - answered if heartbeat.listed_tasks else None, now
        )

    def _recovered_answer(
        self, heartbeat: Heartbeat, shard: int, now: float
    ) -> dict[str, Any] | None:
        """What a worker is answered whose part this controller held in an earlier life, before it holds it again; None: nothing."""
        replica = self.context.store_cache
        # what another controller has named as cancelled is over before the store has been read, too
        ended_jobs = {
            key[0]
            for key in heartbeat.tasks()
            if (key[0] in replica.ended_jobs or (replica.ready and key[0] not in replica.live_jobs))
        }
        answer = self.shard_leases.renewal_grants.answer_heartbeat(
            heartbeat,
            self.context.controller_index,
            replica.holder(shard)[1],
            ended_jobs,
            self.context.wall_clock(),
        )
        if answer is not None and now - self.recovered_answer_at > RECOVERY_LOG_INTERVAL_S:
            log.info(
                "answers for its earlier life",
                shard=shard,
                epoch=fencing_tokens.epoch_of(heartbeat.token),
            )
        self.recovered_answer_at = now if answer is not None else self.recovered_answer_at
        return answer

    async def _relay(
        self,
        body: bytes,
        heartbeat: Heartbeat,
        shard: int,
        controller: str,
        avoided_relays: frozenset[str] = frozenset(),
        hops: int = 2,
    ) -> Reply | None:
        """Put a report through to the holder of its part, and answer what that one answers; None where there is no way."""
        via = (
            self.relay_routes.route_to_peer(
                controller, HEARTBEAT, self.context.clock(), avoided_relays, hops
            )
            if self.context.settings.options.carry
            else None
        )
        if via is None:
            return None
        try:
            status, raw = await self.relay.send(
                via,
                HEARTBEAT,
                timeout=RELAY_TIMEOUT_S * hops / 2,
                destination=controller,
                body=body,
                hops=hops,
            )
            answer = orjson.loads(raw)
        except (RelayRefusedError, UnreachableError, orjson.JSONDecodeError):
            return None
        if status not in (200, 421) or not isinstance(answer, dict):
            return None
        if (
            status == 200
            and fencing_tokens.epoch_of(answer.get("crest", 0))
            < self.context.store_cache.holder(shard)[1]
        ):
            return None  # from a holder that has been deposed meanwhile: the worker would drop it, and stay while its lease runs out
        return Reply(status, answer)

    async def serve_relayed(self, peer: str, request: RelayRequest) -> tuple[int, bytes]:
        """A member has a report of a worker that can't reach this controller, or one that only this one can pass on."""
        try:
            heartbeat = agents.decode_heartbeat(request.body)
        except InvalidHeartbeatError as error:
            raise RelayRefusedError(str(error)) from error
        shard = self.context.shard_map.shard_of_machine(heartbeat.zone, heartbeat.machine)
        held = self.context.held_shards.get(shard)
        if held is None:
            if request.hops < 2 or request.destination in ("", self.context.settings.name):
                raise RelayRefusedError("not held here")
            reply = await self._relay(
                request.body,
                heartbeat,
                shard,
                request.destination,
                frozenset((peer,)),
                request.hops - 1,
            )
            if reply is None:
                raise RelayRefusedError("no way from here either")
            return reply.status, orjson.dumps(reply.body)
        reply, machine = self._answer_held(held, heartbeat, relayed=True)
        if machine is not None and self.agent_commands.failback.heartbeat_relayed(
            heartbeat.machine, peer, self.context.clock()
        ):
            # it has been listened to; but what it is to do it will be told by itself
            return 421, orjson.dumps(agents.redirect(self.context.settings.name))
        return reply.status, orjson.dumps(reply.body)
