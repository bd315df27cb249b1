"""The links to workers: commands sent straight to them, and those that reach this controller through another only."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import orjson

from ploverhall.connectivity.heartbeat_failback import Homing
from ploverhall.controller.context import Shared
from ploverhall.controller.relay import Carrying, NotCarried
from ploverhall.protocol import agents, relay_messages
from ploverhall.protocol.relay_messages import Question
from ploverhall.scheduling.inventory import Machine
from ploverhall.scheduling.shard_owner import Owner
from ploverhall.transport.client_pool import ClientPool
from ploverhall.transport.http import Unreachable

DIRECT_S = 1.5  # how long a worker has to answer
MORE_S = 0.3  # and a member that asks it
COME_S = 6.0  # so long after a takeover its workers may still be on their way: 4 s at the old one, 1 s until they go on
PROBE_EVERY_S = 0.25
SOME = 5  # workers that a member is asked to try


class Workers:
    """Kept connections to the workers that were sent something, and what is known of who reaches this controller."""

    def __init__(
        self,
        shared: Shared,
        carrying: Carrying,
        start: Callable[[str, str], None],
        room: Callable[[], int],
    ) -> None:
        self.shared, self.carrying = shared, carrying
        self.start = start  # a probe, as a task of its own
        self.clients = ClientPool(lambda host, port: shared.client(host, port, keep=1), room)
        self.homing = Homing()
        self.direct_at: dict[int, float] = {}  # per shard: the newest report that came by itself

    def reported(self, shard: int, machine: str, now: float) -> None:
        """A report has come here by itself."""
        self.direct_at[shard] = now
        self.homing.direct(machine, now)

    def cut(self, now: float) -> dict[int, int]:
        """Shards held here that no worker reaches, and their epochs."""
        silent = 1.3 * self.shared.settings.report_s + 0.3
        out = {}
        for h in self.shared.held.values():
            at = self.direct_at.get(h.shard, -1e9)
            if (
                h.owner.machines
                and now - max(at, h.owner.started + (COME_S if at < h.owner.started else 0.0))
                > silent
            ):
                out[h.shard] = h.epoch
        return out

    async def _ask(self, addr: str, method: str, path: str, body: Any = None) -> tuple[int, object]:
        """One request to a worker by the own link."""
        host, _, port = addr.rpartition(":")
        if not host or not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
            raise Unreachable(
                "not an address"
            )  # a worker says where it is: whatever it says must end nothing here
        try:
            return await self.clients.call(host, int(port), method, path, body, DIRECT_S)
        except ValueError as e:  # no name of a host either
            raise Unreachable(f"{addr!r}: {e}") from e

    async def send(self, owner: Owner, m: Machine, body: dict[str, Any]) -> None:
        """Send one /do and hand its answer, or that there was none, to the owner.

        Through the member that the worker reports to, where it is away. Either way it may be executed later than that, and the
        owner's next token fences it.
        """
        report, now = None, self.shared.clock()
        via = self.homing.via(m.name, now, 2 * self.shared.settings.report_s + 1.0)
        try:
            if via is not None and self.carrying.ways.carries(via, relay_messages.DO, now):
                status, raw = await self.carrying.ask(
                    via,
                    relay_messages.DO,
                    timeout=DIRECT_S + MORE_S,
                    method="POST",
                    target=f"{m.addr} /do",
                    body=orjson.dumps(body),
                    hops=1,
                )
                answer = orjson.loads(raw)
            else:
                status, answer = await self._ask(m.addr, "POST", "/do", body)
            if status in (200, 409):
                report = agents.parse(answer)
        except (Unreachable, NotCarried, agents.Malformed, orjson.JSONDecodeError):
            pass
        owner.direct_done(m, report, self.shared.clock())
        self.shared.poke()

    async def carried(self, by: str, q: Question) -> tuple[int, bytes]:
        """A member has a command for a worker that reports here."""
        addr, _, path = q.target.rpartition(" ")
        try:
            status, out = await self._ask(
                addr, q.method, path, orjson.loads(q.body) if q.body else None
            )
        except orjson.JSONDecodeError as e:
            raise NotCarried("not JSON") from e
        return status, orjson.dumps(out)

    async def reached_by(self, member: str, owner: Owner) -> bool:
        """Whether a member reaches the workers of a shard held here: it asks a few of them something by its own links.

        A controller that holds nothing can't tell by itself that no worker reaches it. One that had lost its workers while its
        part was away got the part back, and 769 tasks were killed by their leases (kazi-bodi-fleet, a drawn day of cuts). One of a
        release that can't be asked counts as reaching them.
        """
        now = self.shared.clock()
        if not self.carrying.ways.carries(member, relay_messages.DO, now):
            return not self.carrying.ways.can(member, relay_messages.DO)
        some = [
            m
            for m in owner.machines.values()
            if now - m.last_report < 2 * self.shared.settings.report_s
        ]
        some = self.shared.rng.sample(some, min(SOME, len(some)))
        reached: list[bool] = []

        async def ask(m: Machine) -> None:
            try:
                status, _ = await self.carrying.ask(
                    member,
                    relay_messages.DO,
                    timeout=DIRECT_S + MORE_S,
                    method="GET",
                    target=f"{m.addr} /show",
                    hops=1,
                )
                reached.append(status == 200)
            except (Unreachable, NotCarried):
                reached.append(False)

        async with anyio.create_task_group() as tg:
            for m in some:
                tg.start_soon(ask, m)
        return 2 * sum(reached) >= len(some)

    def all_cut(self, now: float) -> bool:
        """Whether no worker of any shard held here reaches this controller by itself."""
        with_machines = [h.shard for h in self.shared.held.values() if h.owner.machines]
        return bool(with_machines) and self.cut(now).keys() >= set(with_machines)

    async def probe_loop(self) -> None:
        """Try the links to workers that are away."""
        while True:
            await anyio.sleep(PROBE_EVERY_S)
            await self.clients.trim()
            for name in self.homing.to_probe(self.shared.clock()):
                owner = next(
                    (h.owner for h in self.shared.held.values() if name in h.owner.machines), None
                )
                if owner is None:
                    self.homing.probed(name, False, self.shared.clock())
                else:
                    self.start(name, owner.machines[name].addr)

    async def probe(self, name: str, addr: str) -> None:
        """Ask one worker by the own link; its report is not used, the next one says more."""
        try:
            status, _ = await self._ask(addr, "GET", "/show")
        except Unreachable:
            status = 0
        self.homing.probed(name, status == 200, self.shared.clock())
