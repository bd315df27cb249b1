"""Send commands to agents, and track which agents reach this controller directly.

`AgentCommands` owns the connections to agents. `send` sends the shard owners' commands;
`heartbeat_requests` records direct heartbeats here; `serve_relayed` handles commands that peers
relay.
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

COMMAND_TIMEOUT_S = 1.5  # within which an agent has to answer
RELAY_EXTRA_S = 0.3  # additional time for a relay through a peer
# After a failover the agents need up to this to arrive here: they wait 4 s for an answer of the
# former holder, and 1 s before they try the next controller
FIRST_HEARTBEAT_GRACE_S = 6.0
PROBE_CHECK_INTERVAL_S = 0.25
REACHABILITY_SAMPLE = 5  # agents that a peer is asked to call
MAX_PORT = 65_535
REPORTING_STATUSES = (200, 409)  # statuses of a command whose answers hold a heartbeat


class AgentCommands:
    """Sends commands to agents, and tracks which of them reach this controller directly."""

    def __init__(
        self,
        context: ControllerContext,
        relay: Relay,
        start_probe: Callable[[str, str], None],
        capacity: Callable[[], int],
    ) -> None:
        """Create a sender without connections.

        Args:
            context: This controller's shared state.
            relay: Sends requests through peers.
            start_probe: Starts `probe` as a separate task.
            capacity: Returns how many connections to agents may be kept open.
        """
        self.context = context
        self.relay = relay
        self.start_probe = start_probe
        self.clients = ClientPool(
            lambda host, port: context.client(host, port, max_idle=1), capacity
        )
        self.failback = HeartbeatFailback()
        # By shard: when an agent's heartbeat last arrived directly (steady clock, seconds)
        self.direct_heartbeat_at: dict[int, float] = {}

    # -- direct heartbeats ---------------------------------------------------------------------

    def heartbeat_received(self, shard: int, machine: str, now: float) -> None:
        """Record a heartbeat that arrived directly."""
        self.direct_heartbeat_at[shard] = now
        self.failback.heartbeat_direct(machine, now)

    def unreachable_shards(self, now: float) -> dict[int, int]:
        """Return the shards held here that no agent reaches directly, and their epochs."""
        max_silence_s = 1.3 * self.context.settings.heartbeat_interval_s + 0.3
        return {
            held.shard: held.epoch
            for held in self.context.held_shards.values()
            if held.owner.machines and now - self._last_direct_contact(held) > max_silence_s
        }

    def _last_direct_contact(self, held: HeldShard) -> float:
        """Return when a shard's agents last sent a direct heartbeat (steady clock, seconds).

        For a new owner that is the time by which the first heartbeat is expected.
        """
        received_at = self.direct_heartbeat_at.get(held.shard, NEVER)
        started_at = held.owner.started
        grace_s = FIRST_HEARTBEAT_GRACE_S if received_at < started_at else 0.0
        return max(received_at, started_at + grace_s)

    def all_shards_unreachable(self, now: float) -> bool:
        """Return whether this controller holds shards with machines but no agent reaches it."""
        with_machines = [
            held.shard for held in self.context.held_shards.values() if held.owner.machines
        ]
        return bool(with_machines) and self.unreachable_shards(now).keys() >= set(with_machines)

    # -- commands ------------------------------------------------------------------------------

    async def _request(
        self, address: str, method: str, path: str, body: Any = None
    ) -> tuple[int, object]:
        """Send one request to an agent directly; return the HTTP status and the decoded JSON.

        `address` comes from the agent and is untrusted. Raises `UnreachableError` if it is not a
        valid address or the agent does not respond.
        """
        host, _, port = address.rpartition(":")
        if not host or not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
            raise UnreachableError(
                f"agent address {address!r:.200} is not HOST:PORT with a port of 1 to {MAX_PORT}"
            )
        try:
            return await self.clients.call(host, int(port), method, path, body, COMMAND_TIMEOUT_S)
        except ValueError as error:  # the host name cannot be resolved
            raise UnreachableError(
                f"agent address {address!r:.200} cannot be resolved: {error!r:.200}"
            ) from error

    async def send(self, owner: ShardOwner, machine: Machine, body: dict[str, object]) -> None:
        """Send one `/do` command, and tell the shard's owner the answer or its absence.

        If the agent does not reach this controller, the command goes through the peer that relays
        its heartbeats. Either way the command may arrive after its timeout; the agent then drops it
        once it has the owner's next fencing token.
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
            pass  # the owner is told that there was no answer
        owner.on_direct_answer(machine, heartbeat, self.context.clock())
        self.context.wake_scheduling()

    async def _send_command(self, machine: Machine, body: dict[str, object]) -> tuple[int, object]:
        """Send one `/do` command, directly or through a peer; return HTTP status and JSON."""
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
        """Relay one request to an agent; `target` is its address, a space and the path.

        Raises the errors of `Relay.send`.
        """
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
        """Send a peer's command to an agent directly; return the HTTP status and the body.

        Raises `RelayRefusedError` if the command is not JSON and was not sent, and
        `UnreachableError` if the agent did not respond.
        """
        address, _, path = request.target.rpartition(" ")
        try:
            body = orjson.loads(request.body) if request.body else None
            status, answer = await self._request(address, request.method, path, body)
        except orjson.JSONDecodeError as error:
            raise RelayRefusedError(f"the command that peer {peer} relays is not JSON") from error
        return status, orjson.dumps(answer)

    # -- reachability --------------------------------------------------------------------------

    async def reachable_from(self, peer: str, owner: ShardOwner) -> bool:
        """Return whether a peer reaches a shard's agents directly; the peer calls a few of them.

        Without this check a shard fails back to a controller that its agents cannot reach, and
        their leases expire: a controller that holds no shard does not know whether agents reach it.
        A peer whose release does not support the check counts as reaching them.
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
        """Probe agents whose heartbeats a peer relays; never returns."""
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
        """Return the owner of a machine's shard; None if that shard is not held here."""
        for held in self.context.held_shards.values():
            if name in held.owner.machines:
                return held.owner
        return None

    async def probe(self, name: str, address: str) -> None:
        """Request one agent's state directly to test whether it responds."""
        try:
            status, _ = await self._request(address, "GET", "/show")
        except UnreachableError:
            status = 0
        self.failback.probe_finished(name, status == 200, self.context.clock())
