"""The links to workers: commands sent straight to them, and those that reach this controller through another only."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import orjson

from ploverhall.connectivity.heartbeat_failback import HeartbeatFailback
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.relay import Relay
from ploverhall.errors import InvalidHeartbeatError, RelayRefusedError, UnreachableError
from ploverhall.protocol import agents, relay_messages
from ploverhall.protocol.relay_messages import RelayRequest
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.transport.client_pool import ClientPool

COMMAND_TIMEOUT_S = 1.5  # how long a worker has to answer
RELAY_EXTRA_S = 0.3  # and a member that asks it
# So long after a takeover its workers may still be on their way: 4 s at the old one, 1 s until
# they go on
FIRST_HEARTBEAT_GRACE_S = 6.0
PROBE_CHECK_INTERVAL_S = 0.25
REACHABILITY_SAMPLE = 5  # workers that a member is asked to try


class AgentCommands:
    """Kept connections to the workers that were sent something, and what is known of who reaches this controller."""

    def __init__(
        self,
        context: ControllerContext,
        relay: Relay,
        start_probe: Callable[[str, str], None],
        room: Callable[[], int],
    ) -> None:
        self.context = context
        self.relay = relay
        self.start_probe = start_probe  # a probe, as a task of its own
        self.clients = ClientPool(lambda host, port: context.client(host, port, keep=1), room)
        self.failback = HeartbeatFailback()
        # Per shard: the newest report that came by itself
        self.direct_heartbeat_at: dict[int, float] = {}

    def heartbeat_received(self, shard: int, machine: str, now: float) -> None:
        """A report has come here by itself."""
        self.direct_heartbeat_at[shard] = now
        self.failback.heartbeat_direct(machine, now)

    def unreachable_shards(self, now: float) -> dict[int, int]:
        """Shards held here that no worker reaches, and their epochs."""
        silent = 1.3 * self.context.settings.heartbeat_interval_s + 0.3
        out = {}
        for held in self.context.held_shards.values():
            received_at = self.direct_heartbeat_at.get(held.shard, -1e9)
            if (
                held.owner.machines
                and now
                - max(
                    received_at,
                    held.owner.started
                    + (FIRST_HEARTBEAT_GRACE_S if received_at < held.owner.started else 0.0),
                )
                > silent
            ):
                out[held.shard] = held.epoch
        return out

    async def _request(
        self, address: str, method: str, path: str, body: Any = None
    ) -> tuple[int, object]:
        """One request to a worker by the own link."""
        host, _, port = address.rpartition(":")
        if not host or not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
            raise UnreachableError(
                "not an address"
            )  # a worker says where it is: whatever it says must end nothing here
        try:
            return await self.clients.call(host, int(port), method, path, body, COMMAND_TIMEOUT_S)
        except ValueError as error:  # no name of a host either
            raise UnreachableError(f"{address!r}: {error}") from error

    async def send(self, owner: ShardOwner, machine: Machine, body: dict[str, Any]) -> None:
        """Send one /do and hand its answer, or that there was none, to the owner.

        Through the member that the worker reports to, where it is away. Either way it may be executed later than that, and the
        owner's next token fences it.
        """
        report, now = None, self.context.clock()
        via = self.failback.relay_for(
            machine.name, now, 2 * self.context.settings.heartbeat_interval_s + 1.0
        )
        try:
            if via is not None and self.relay.routes.can_relay_now(
                via, relay_messages.AGENT_COMMAND, now
            ):
                status, raw = await self.relay.send(
                    via,
                    relay_messages.AGENT_COMMAND,
                    timeout=COMMAND_TIMEOUT_S + RELAY_EXTRA_S,
                    method="POST",
                    target=f"{machine.address} /do",
                    body=orjson.dumps(body),
                    hops=1,
                )
                answer = orjson.loads(raw)
            else:
                status, answer = await self._request(machine.address, "POST", "/do", body)
            if status in (200, 409):
                report = agents.heartbeat_from_json(answer)
        except (
            UnreachableError,
            RelayRefusedError,
            InvalidHeartbeatError,
            orjson.JSONDecodeError,
        ):
            pass
        owner.on_direct_answer(machine, report, self.context.clock())
        self.context.wake_scheduling()

    async def serve_relayed(self, peer: str, request: RelayRequest) -> tuple[int, bytes]:
        """A member has a command for a worker that reports here."""
        addr, _, path = request.target.rpartition(" ")
        try:
            status, out = await self._request(
                addr, request.method, path, orjson.loads(request.body) if request.body else None
            )
        except orjson.JSONDecodeError as error:
            raise RelayRefusedError("not JSON") from error
        return status, orjson.dumps(out)

    async def reachable_from(self, peer: str, owner: ShardOwner) -> bool:
        """Whether a member reaches the workers of a shard held here: it asks a few of them something by its own links.

        A controller that holds nothing can't tell by itself that no worker reaches it. One that had lost its workers while its
        part was away got the part back, and 769 tasks were killed by their leases (kazi-bodi-fleet, a drawn day of cuts). One of a
        release that can't be asked counts as reaching them.
        """
        now = self.context.clock()
        if not self.relay.routes.can_relay_now(peer, relay_messages.AGENT_COMMAND, now):
            return not self.relay.routes.supports_relay(peer, relay_messages.AGENT_COMMAND)
        some = [
            machine
            for machine in owner.machines.values()
            if now - machine.last_heartbeat_at < 2 * self.context.settings.heartbeat_interval_s
        ]
        some = self.context.random.sample(some, min(REACHABILITY_SAMPLE, len(some)))
        reached: list[bool] = []

        async def ask(machine: Machine) -> None:
            try:
                status, _ = await self.relay.send(
                    peer,
                    relay_messages.AGENT_COMMAND,
                    timeout=COMMAND_TIMEOUT_S + RELAY_EXTRA_S,
                    method="GET",
                    target=f"{machine.address} /show",
                    hops=1,
                )
                reached.append(status == 200)
            except (UnreachableError, RelayRefusedError):
                reached.append(False)

        async with anyio.create_task_group() as task_group:
            for machine in some:
                task_group.start_soon(ask, machine)
        return 2 * sum(reached) >= len(some)

    def all_shards_unreachable(self, now: float) -> bool:
        """Whether no worker of any shard held here reaches this controller by itself."""
        with_machines = [
            held.shard for held in self.context.held_shards.values() if held.owner.machines
        ]
        return bool(with_machines) and self.unreachable_shards(now).keys() >= set(with_machines)

    async def probe_loop(self) -> None:
        """Try the links to workers that are away."""
        while True:
            await anyio.sleep(PROBE_CHECK_INTERVAL_S)
            await self.clients.trim()
            for name in self.failback.due_probes(self.context.clock()):
                owner = next(
                    (
                        held.owner
                        for held in self.context.held_shards.values()
                        if name in held.owner.machines
                    ),
                    None,
                )
                if owner is None:
                    self.failback.probe_finished(name, False, self.context.clock())
                else:
                    self.start_probe(name, owner.machines[name].address)

    async def probe(self, name: str, address: str) -> None:
        """Ask one worker by the own link; its report is not used, the next one says more."""
        try:
            status, _ = await self._request(address, "GET", "/show")
        except UnreachableError:
            status = 0
        self.failback.probe_finished(name, status == 200, self.context.clock())
