"""What the parts of one controller have in common: settings, surroundings, the copy of the store, what is held here.

Data, and no decisions. A part is given this and whatever else it uses; only `control.node` knows all parts.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from ploverhall.autoscaling.autoscaler import Autoscaler
from ploverhall.coordination.shard_map import ShardMap
from ploverhall.coordination.state_channel import InboundChannels, OutboundChannels
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.key_value_store import KeyValueStore
from ploverhall.runtime import Runtime
from ploverhall.scheduling.objectives import Objectives
from ploverhall.scheduling.permitting import JobSource
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.settings import Settings
from ploverhall.storage.store_cache import StoreCache
from ploverhall.transport.http_client import Client

STORE_LIMIT_SHARE = 0.92  # of the state service's limits that the controllers use together


@dataclass
class HeldShard:
    """A shard held here: the owner of its part, and the source of its teams once the cells are read."""

    shard: int
    epoch: int
    owner: ShardOwner
    source: JobSource | None = None
    write_wake: anyio.Event = field(default_factory=anyio.Event)
    write_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    image_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    released: bool = False


class ControllerContext:
    """One process's state that more than one part reads."""

    def __init__(self, settings: Settings, runtime: Runtime) -> None:
        config = self.settings = settings
        self.runtime = runtime
        self.clock = runtime.clock
        self.wall_clock = runtime.wall_clock
        self.random = runtime.random
        self.shard_map = ShardMap(config.controllers, [team.name for team in config.teams])
        self.teams = {team.name: team for team in config.teams}
        self.objectives = Objectives(config.objectives)
        self.controller_index = self.shard_map.controller_indices[config.name]
        share = STORE_LIMIT_SHARE / len(config.controllers)
        self.store = KeyValueStore(
            self.client(*config.store, keep=12),
            config.store_rps * share,
            config.store_write_rps * share,
            runtime.clock,
        )
        self.store_cache = StoreCache()
        self.outbound, self.inbound = OutboundChannels(), InboundChannels()
        self.held_shards: dict[int, HeldShard] = {}
        self.autoscaler: Autoscaler | None = None
        self.machine_types: dict[str, MachineType] | None = None
        # The newest revision at which a job was cancelled, as far as is known here
        self.cancelled_revision = 0
        self.scheduling_wake = anyio.Event()  # of the engine
        self.started_at = self.clock()
        # When this process last stood still, and for how long
        self.stalled_at = -1000000000.0
        self.stall_s = 0.0

    def client(self, host: str, port: int, keep: int = 8) -> Client:
        """Calls to one address."""
        return Client(host, port, keep, self.runtime.network, self.runtime.clock)

    def wake_scheduling(self) -> None:
        """There is something to decide."""
        self.scheduling_wake.set()

    def resources_of_job(self, job_id: str) -> tuple[float, float, float] | None:
        """What a task of a live job takes."""
        known = self.store_cache.live_jobs.get(job_id)
        return known[0].resources if known else None
