"""Commands sent directly to agents, and which agents reach this controller by themselves.

`AgentCommands` owns the connections to agents. Shard owners' commands go out by `send`;
`heartbeat_requests` notes direct heartbeats here; peers relay commands in by `serve_relayed`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import orjson

from ploverhall.connectivity.heartbeat_failback import HeartbeatFailback
from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.relay import Relay
from ploverhall.errors import InvalidHeartbeatError, RelayRefusedError, UnreachableError
from ploverhall.protocol import agents, relay_messages
from ploverhall.protocol.relay_messages import RelayRequest
from ploverhall.runtime import NEVER
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.transport.client_pool import ClientPool

COMMAND_TIMEOUT_S = 1.5  # how long an agent has to answer
RELAY_EXTRA_S = 0.3  # what a relay through a peer may take besides
# After a failover the agents need so long to come here: they wait 4 s for the former holder, and
# 1 s before they go on
FIRST_HEARTBEAT_GRACE_S = 6.0
PROBE_CHECK_INTERVAL_S = 0.25
REACHABILITY_SAMPLE = 5  # agents that a peer is asked to try
MAX_PORT = 65_535
REPORTING_STATUSES = (200, 409)  # of a command, whose answers hold a heartbeat


class AgentCommands:
    """Sends commands to agents, and knows which of them reach this controller directly."""

    def __init__(
        self,
        context: ControllerContext,
        relay: Relay,
        start_probe: Callable[[str, str], None],
        room: Callable[[], int],
    ) -> None:
        """`start_probe`: starts `probe` as a task of its own; `room`: connections still allowed."""
        self.context = context
        self.relay = relay
        self.start_probe = start_probe
        self.clients = ClientPool(lambda host, port: context.client(host, port, keep=1), room)
        self.failback = HeartbeatFailback()
        # Per shard: when an agent's heartbeat last came directly (steady clock, seconds)
        self.direct_heartbeat_at: dict[int, float] = {}

    # -- which agents reach this controller ----------------------------------------------------

    def heartbeat_received(self, shard: int, machine: str, now: float) -> None:
        """Note a heartbeat that came directly."""
        self.direct_heartbeat_at[shard] = now
        self.failback.heartbeat_direct(machine, now)

    def unreachable_shards(self, now: float) -> dict[int, int]:
        """Shards held here whose agents all fail to reach this controller, and their epochs."""
        max_silence_s = 1.3 * self.context.settings.heartbeat_interval_s + 0.3
        return {
            held.shard: held.epoch
            for held in self.context.held_shards.values()
            if held.owner.machines and now - self._last_direct_contact(held) > max_silence_s
        }

    def _last_direct_contact(self, held: HeldShard) -> float:
        """When a shard's agents last reported directly; for a new owner, when they should have."""
        received_at = self.direct_heartbeat_at.get(held.shard, NEVER)
        started_at = held.owner.started
        grace_s = FIRST_HEARTBEAT_GRACE_S if received_at < started_at else 0.0
        return max(received_at, started_at + grace_s)

    def all_shards_unreachable(self, now: float) -> bool:
        """Whether shards with machines are held here, and no agent reaches this controller."""
        with_machines = [
            held.shard for held in self.context.held_shards.values() if held.owner.machines
        ]
        return bool(with_machines) and self.unreachable_shards(now).keys() >= set(with_machines)

    # -- commands ------------------------------------------------------------------------------

    async def _request(
        self, address: str, method: str, path: str, body: Any = None
    ) -> tuple[int, object]:
        """Send one request to an agent over the own link; return the HTTP status and the JSON.

        `address` is what the agent says of itself and may be anything: an impossible one raises
        `UnreachableError`, as an agent without a response does.
        """
        host, _, port = address.rpartition(":")
        if not host or not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
            raise UnreachableError("not an address")
        try:
            return await self.clients.call(host, int(port), method, path, body, COMMAND_TIMEOUT_S)
        except ValueError as error:  # the host is no name that can be resolved
            raise UnreachableError(f"{address!r}: {error}") from error

    async def send(self, owner: ShardOwner, machine: Machine, body: dict[str, object]) -> None:
        """Send one `/do`, and hand the answer, or that there was none, to the shard's owner.

        An agent that does not reach this controller gets it through the peer it reports to. Either
        way it may be executed later than its timeout; the owner's next fencing token makes the
        agent drop it then.
        """
        heartbeat = None
        try:
            status, answer = await self._send_command(machine, body)
            if status in REPORTING_STATUSES:
                heartbeat = agents.heartbeat_from_json(answer)
        except (
            UnreachableError,
            RelayRefusedError,
            InvalidHeartbeatError,
            orjson.JSONDecodeError,
        ):
            pass  # the owner sees that there was no answer
        owner.on_direct_answer(machine, heartbeat, self.context.clock())
        self.context.wake_scheduling()

    async def _send_command(self, machine: Machine, body: dict[str, object]) -> tuple[int, object]:
        """Send one `/do` directly or through a peer; return the HTTP status and the JSON."""
        now = self.context.clock()
        via = self.failback.relay_for(
            machine.name, now, 2 * self.context.settings.heartbeat_interval_s + 1.0
        )
        routes = self.relay.routes
        if via is None or not routes.can_relay_now(via, relay_messages.AGENT_COMMAND, now):
            return await self._request(machine.address, "POST", "/do", body)
        status, raw = await self._relay_command(
            via, "POST", f"{machine.address} /do", orjson.dumps(body)
        )
        return status, orjson.loads(raw)

    async def _relay_command(
        self, via: str, method: str, target: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Relay one request to an agent; `target`: its address and the path. Raises as `send`."""
        return await self.relay.send(
            via,
            relay_messages.AGENT_COMMAND,
            timeout=COMMAND_TIMEOUT_S + RELAY_EXTRA_S,
            method=method,
            target=target,
            body=body,
            hops=1,
        )

    async def serve_relayed(self, peer: str, request: RelayRequest) -> tuple[int, bytes]:
        """Send a peer's command to an agent that reports here; return the HTTP status and the body.

        Raises `RelayRefusedError` if it was certainly not sent, `UnreachableError` otherwise.
        """
        address, _, path = request.target.rpartition(" ")
        try:
            body = orjson.loads(request.body) if request.body else None
            status, answer = await self._request(address, request.method, path, body)
        except orjson.JSONDecodeError as error:
            raise RelayRefusedError("not JSON") from error
        return status, orjson.dumps(answer)

    # -- reachability --------------------------------------------------------------------------

    async def reachable_from(self, peer: str, owner: ShardOwner) -> bool:
        """Whether a peer reaches the agents of a shard held here: it tries a few by its own links.

        Without this a shard fails back to a controller that its agents cannot reach, and their
        leases run out: a controller that holds no shard cannot tell by itself. A peer whose release
        cannot be asked counts as reaching them.
        """
        now = self.context.clock()
        routes = self.relay.routes
        if not routes.can_relay_now(peer, relay_messages.AGENT_COMMAND, now):
            return not routes.supports_relay(peer, relay_messages.AGENT_COMMAND)
        max_age_s = 2 * self.context.settings.heartbeat_interval_s
        reporting = [
            machine
            for machine in owner.machines.values()
            if now - machine.last_heartbeat_at < max_age_s
        ]
        sample = self.context.random.sample(reporting, min(REACHABILITY_SAMPLE, len(reporting)))
        reached: list[bool] = []

        async def try_machine(machine: Machine) -> None:
            try:
                status, _ = await self._relay_command(peer, "GET", f"{machine.address} /show")
                reached.append(status == 200)
            except (UnreachableError, RelayRefusedError):
                reached.append(False)

        async with anyio.create_task_group() as task_group:
            for machine in sample:
                task_group.start_soon(try_machine, machine)
        return 2 * sum(reached) >= len(sample)

    async def probe_loop(self) -> None:
        """Probe the links to agents that report through a peer; never returns."""
        while True:
            await anyio.sleep(PROBE_CHECK_INTERVAL_S)
            await self.clients.trim()
            for name in self.failback.due_probes(self.context.clock()):
                owner = self._owner_of(name)
                if owner is None:
                    self.failback.probe_finished(name, False, self.context.clock())
                else:
                    self.start_probe(name, owner.machines[name].address)

    def _owner_of(self, name: str) -> ShardOwner | None:
        """The owner, held here, of a machine's shard."""
        for held in self.context.held_shards.values():
            if name in held.owner.machines:
                return held.owner
        return None

    async def probe(self, name: str, address: str) -> None:
        """Ask one agent for its state over the own link, only to learn whether it answers."""
        try:
            status, _ = await self._request(address, "GET", "/show")
        except UnreachableError:
            status = 0
        self.failback.probe_finished(name, status == 200, self.context.clock())
