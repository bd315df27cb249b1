"""What the parts of one controller have in common: settings, surroundings, the copy of the store, what is held here.

Data, and no decisions. A part is given this and whatever else it uses; only `control.node` knows all parts.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from ploverhall.autoscaling.autoscaler import Renter
from ploverhall.coordination.shard_map import Layout
from ploverhall.coordination.state_channel import Inbox, Outbox
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.key_value_store import Store
from ploverhall.runtime import Seams
from ploverhall.scheduling.objectives import Aims
from ploverhall.scheduling.permitting import Source
from ploverhall.scheduling.shard_owner import Owner
from ploverhall.settings import Settings
from ploverhall.storage.store_cache import Replica
from ploverhall.transport.http import Client

SHARE = 0.92  # of the state service's limits that the controllers use together


@dataclass
class Held:
    """A shard held here: the owner of its part, and the source of its teams once the cells are read."""

    shard: int
    epoch: int
    owner: Owner
    source: Source | None = None
    wake: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    image_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    lost: bool = False


class Shared:
    """One process's state that more than one part reads."""

    def __init__(self, settings: Settings, seams: Seams) -> None:
        s = self.settings = settings
        self.seams, self.clock, self.wall, self.rng = seams, seams.clock, seams.wall, seams.rng
        self.layout = Layout(s.nodes, [t.name for t in s.teams])
        self.teams = {t.name: t for t in s.teams}
        self.aims = Aims(s.objectives)
        self.me = self.layout.index[s.name]
        share = SHARE / len(s.nodes)
        self.store = Store(
            self.client(*s.state, keep=12),
            s.state_rps * share,
            s.state_write_rps * share,
            seams.clock,
        )
        self.replica = Replica()
        self.outbox, self.inbox = Outbox(), Inbox()
        self.held: dict[int, Held] = {}
        self.renter: Renter | None = None
        self.types: dict[str, MachineType] | None = None
        self.cancelled_rev = (
            0  # the newest revision at which a job was cancelled, as far as is known here
        )
        self.wake = anyio.Event()  # of the engine
        self.started = self.clock()
        self.stood_at, self.stood_s = (
            -1e9,
            0.0,
        )  # when this process last stood still, and for how long

    def client(self, host: str, port: int, keep: int = 8) -> Client:
        """Calls to one address."""
        return Client(host, port, keep, self.seams.net, self.seams.clock)

    def poke(self) -> None:
        """There is something to decide."""
        self.wake.set()

    def job_vec(self, jid: str) -> tuple[float, float, float] | None:
        """What a task of a live job takes."""
        known = self.replica.live.get(jid)
        return known[0].vec if known else None
