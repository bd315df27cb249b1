"""Answer agents' heartbeats by the owner of their shard, redirect them, or relay them to it.

`HeartbeatRequests` answers heartbeats sent by `POST`. `http_routes` calls `receive` for a
direct request of an agent, and `relay` calls `serve_relayed` for one that a peer relays.
"""

from __future__ import annotations

from typing import Any

import orjson

from ploverhall import log
from ploverhall.connectivity.relay_routes import RelayRoutes
from ploverhall.controller.agent_commands import AgentCommands
from ploverhall.controller.cancellation_state import CancellationState
from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.heartbeat_relay import HeartbeatRelay
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.routing import Routing
from ploverhall.controller.shard_claims import ShardClaims
from ploverhall.coordination import fencing_tokens
from ploverhall.errors import InvalidHeartbeatError, RelayRefusedError
from ploverhall.protocol import agents
from ploverhall.protocol.agents import Heartbeat
from ploverhall.protocol.relay_messages import RelayRequest
from ploverhall.runtime import NEVER
from ploverhall.scheduling.machines import Machine
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply

# Restart recovery is logged when it begins, not for every heartbeat: it begins with an answer after
# a pause of at least this length
RECOVERY_LOG_INTERVAL_S = 10.0


class HeartbeatRequests:
    """Answers agents' heartbeats."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        routing: Routing,
        cancellation_state: CancellationState,
        shard_claims: ShardClaims,
        relay_routes: RelayRoutes,
        heartbeat_relay: HeartbeatRelay,
        agent_commands: AgentCommands,
    ) -> None:
        self.context = context
        self.peer_liveness = peer_liveness
        self.routing = routing
        self.cancellation_state = cancellation_state
        self.shard_claims = shard_claims
        self.relay_routes = relay_routes
        self.heartbeat_relay = heartbeat_relay
        self.agent_commands = agent_commands
        # When restart recovery last answered an agent (steady clock, seconds)
        self.recovered_answer_at = NEVER

    async def receive(self, request: Request) -> Reply:
        """Answer a direct heartbeat: 200, 421 to redirect the agent, or 400 if it is malformed."""
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
            self._record_direct_heartbeat(shard, machine, reply, heartbeat)
        return reply

    def _record_direct_heartbeat(
        self, shard: int, machine: Machine, reply: Reply, heartbeat: Heartbeat
    ) -> None:
        """Record that the agent reaches this controller, and when its answer has been sent."""
        self.agent_commands.heartbeat_received(shard, heartbeat.machine, self.context.clock())

        def record_sent() -> None:
            machine.last_answer_at = self.context.clock()

        reply.on_sent = record_sent

    # -- shards held here ----------------------------------------------------------------------

    def _answer_held(
        self, held: HeldShard, heartbeat: Heartbeat, relayed: bool = False
    ) -> tuple[Reply, Machine | None]:
        """Return the reply of the shard's owner, and the machine if the reply renews its lease."""
        now = self.context.clock()
        if self.cancellation_state.isolated(now):
            return Reply(421, {}), None
        if (other := self._isolation_redirect(heartbeat, held, now)) is not None:
            return Reply(421, agents.redirect(other)), None
        machine = held.owner.on_heartbeat(heartbeat, now, relayed=relayed)
        if machine is None:
            return self._superseded_reply(held), None
        if machine.stale_heartbeat:
            # A duplicate or late copy of a heartbeat: the agent no longer waits for its answer
            return Reply(200, agents.heartbeat_answer(machine.token, [])), None
        held.owner.renewal_grant = self.cancellation_state.renewal_grant(now)
        commands = held.owner.commands_for(machine, now)
        # The agent's lease counts from when it sent the heartbeat. That was before now, whether the
        # answer goes directly or through a peer
        machine.last_answer_at = now
        if held.owner.needs_step or held.owner.changed_attempts:
            self.context.wake_scheduling()
        return Reply(200, agents.heartbeat_answer(machine.token, commands)), machine

    def _superseded_reply(self, held: HeldShard) -> Reply:
        """Redirect an agent whose token has a later epoch to the holder known from the store."""
        log.info(
            "superseded",
            shard=held.shard,
            epoch=held.epoch,
            by_epoch=held.owner.superseded_by,
        )
        return self._redirect_reply(self.context.store_cache.holder(held.shard)[0])

    def _redirect_reply(self, controller: str | None) -> Reply:
        """Return a redirect to a controller, naming none if that is unknown or this one."""
        own_name = self.context.settings.name
        return Reply(421, agents.redirect(controller if controller != own_name else None))

    def _isolation_redirect(
        self, heartbeat: Heartbeat, held: HeldShard | None, now: float
    ) -> str | None:
        """Return where an isolated controller redirects this agent; None to answer it here.

        See `coordination.isolation`.
        """
        redirects = self.cancellation_state.isolated_redirects
        if redirects.isolated_since is None:
            return None
        known = held.owner.machines.get(heartbeat.machine) if held is not None else None
        answered_at = known.last_answer_at if known is not None else 0.0
        return redirects.redirect_target(
            heartbeat.machine, now - answered_at if heartbeat.listed_tasks else None, now
        )

    # -- shards held by peers ------------------------------------------------------------------

    async def _answer_not_held(self, body: bytes, heartbeat: Heartbeat, shard: int) -> Reply:
        """Redirect an agent to its shard's holder, or relay the heartbeat if it can't reach it."""
        own_name = self.context.settings.name
        now = self.context.clock()
        controller = self.routing.holder(shard)
        if controller in (None, own_name):
            reply = self._recovery_reply(heartbeat, shard, now)
            if reply is not None:
                return reply
        holder, epoch = self.context.store_cache.holder(shard)
        token_epoch = fencing_tokens.epoch_of(heartbeat.token)
        # A token of the holder's epoch: the holder has served the agent, which left it because no
        # answers came
        served_by_holder = token_epoch == epoch
        cannot_reach_holder = served_by_holder or self._failed_to_reach_holder(
            heartbeat, shard, epoch, now
        )
        if (
            controller is not None
            and controller != own_name
            and (
                cannot_reach_holder
                or self.relay_routes.reports_unreachable_shard(controller, shard)
            )
        ):
            relayed = await self.heartbeat_relay.relay(body, heartbeat, shard, controller)
            if relayed is not None:
                return relayed
            now = self.context.clock()
        if holder is not None and holder != own_name and token_epoch <= epoch:
            self.shard_claims.orphaned_machines.record(
                shard, heartbeat.machine, served_by_holder, now
            )
            self.shard_claims.wake.set()
            if self.peer_liveness.holder_without_heartbeats(holder, shard, now):
                # Redirected to that holder, the agent would wait for an answer in vain. The shard
                # is about to be acquired
                return Reply(421, {})
        return self._redirect_reply(controller)

    def _failed_to_reach_holder(
        self, heartbeat: Heartbeat, shard: int, epoch: int, now: float
    ) -> bool:
        """Return whether the agent was redirected to this epoch's holder and did not reach it."""
        older_token = 0 < fencing_tokens.epoch_of(heartbeat.token) < epoch
        if older_token and self.routing.has_stable_holder(shard, now):
            return True
        return self.shard_claims.orphaned_machines.returned(shard, heartbeat.machine, now)

    # -- restart recovery ----------------------------------------------------------------------

    def _recovery_reply(self, heartbeat: Heartbeat, shard: int, now: float) -> Reply | None:
        """Return the reply to an agent served here before a restart; None for any other agent.

        See `coordination.restart_recovery`.
        """
        answer = self._recovered_answer(heartbeat, shard, now)
        if answer is None:
            return None
        other = self._isolation_redirect(heartbeat, None, now)
        return Reply(200, answer) if other is None else Reply(421, agents.redirect(other))

    def _recovered_answer(
        self, heartbeat: Heartbeat, shard: int, now: float
    ) -> dict[str, Any] | None:
        """Return the body of a recovery answer while the shard is not held; None if none is due."""
        answer = self.cancellation_state.renewal_grants.answer_heartbeat(
            heartbeat,
            self.context.controller_index,
            self.context.store_cache.holder(shard)[1],
            self._ended_jobs(heartbeat),
            self.context.wall_clock(),
        )
        if answer is None:
            return None
        if now - self.recovered_answer_at > RECOVERY_LOG_INTERVAL_S:
            log.info(
                "restart recovery answering",
                shard=shard,
                epoch=fencing_tokens.epoch_of(heartbeat.token),
            )
        self.recovered_answer_at = now
        return answer

    def _ended_jobs(self, heartbeat: Heartbeat) -> set[str]:
        """Return the ids of jobs of the listed tasks that are known to have ended.

        A job that a peer reported as cancelled has ended even before the store has been read. A
        job missing from the store cache has ended only if the cache is ready.
        """
        store_cache = self.context.store_cache
        job_ids = {attempt_id.job_id for attempt_id in heartbeat.tasks()}
        return {
            job_id
            for job_id in job_ids
            if job_id in store_cache.ended_jobs
            or (store_cache.ready and job_id not in store_cache.live_jobs)
        }

    # -- heartbeats relayed by peers -----------------------------------------------------------

    async def serve_relayed(self, peer: str, request: RelayRequest) -> tuple[int, bytes]:
        """Answer a heartbeat that a peer relays; return the HTTP status and the body for the agent.

        Raises `RelayRefusedError` if the heartbeat is malformed, or if its shard is not held here
        and the heartbeat cannot be relayed further.
        """
        try:
            heartbeat = agents.decode_heartbeat(request.body)
        except InvalidHeartbeatError as error:
            raise RelayRefusedError(str(error)) from error
        shard = self.context.shard_map.shard_of_machine(heartbeat.zone, heartbeat.machine)
        held = self.context.held_shards.get(shard)
        if held is None:
            reply = await self.heartbeat_relay.relay_further(peer, request, heartbeat, shard)
            return reply.status, orjson.dumps(reply.body)
        reply, machine = self._answer_held(held, heartbeat, relayed=True)
        if machine is not None and self.agent_commands.failback.heartbeat_relayed(
            heartbeat.machine, peer, self.context.clock()
        ):
            # The heartbeat has been applied. The agent gets its commands once it reports here
            # directly
            return 421, orjson.dumps(agents.redirect(self.context.settings.name))
        return reply.status, orjson.dumps(reply.body)
