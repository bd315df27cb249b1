"""State that several parts of one controller share: settings, runtime, store cache, held shards.

This module holds data and takes no decisions. `controller` creates the one `ControllerContext` of
the process and passes it to each part, together with the other parts that it uses.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from ploverhall.autoscaling.autoscaler import Autoscaler
from ploverhall.controller.step_timer import StepTimer
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

STORE_LIMIT_SHARE = 0.92  # share of the key-value store's limits that all controllers use together
STORE_CONNECTIONS = 12  # idle connections to the store that are kept open
NEVER = -1e9  # a time before the start of any process


@dataclass
class HeldShard:
    """A shard that this controller holds.

    `source` is the job source of the shard's teams; None until their records are loaded.
    """

    shard: int
    epoch: int
    owner: ShardOwner
    source: JobSource | None = None
    write_wake: anyio.Event = field(
        default_factory=anyio.Event
    )  # set when the source may have writes
    write_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    image_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    released: bool = False

    @property
    def has_unfinished_work(self) -> bool:
        """Return whether the shard's last step has left work over, because a step is bounded."""
        return self.owner.has_unfinished_work or (
            self.source is not None and self.source.is_unfinished
        )


class ControllerContext:
    """The state of one controller process that several of its parts use."""

    def __init__(self, settings: Settings, runtime: Runtime) -> None:
        """Create the state of a process that holds no role yet."""
        self.settings = settings
        self.runtime = runtime
        self.clock = runtime.clock  # monotonic, in seconds
        self.wall_clock = runtime.wall_clock  # Unix time in seconds
        self.random = runtime.random
        self.shard_map = ShardMap(settings.controllers, [team.name for team in settings.teams])
        self.teams = {team.name: team for team in settings.teams}
        self.objectives = Objectives(settings.objectives)
        self.controller_index = self.shard_map.controller_indices[settings.name]
        limit_share = STORE_LIMIT_SHARE / len(settings.controllers)
        self.store = KeyValueStore(
            self.client(*settings.store, max_idle=STORE_CONNECTIONS),
            settings.store_rps * limit_share,
            settings.store_write_rps * limit_share,
            runtime.clock,
        )
        self.store_cache = StoreCache()
        self.outbound = OutboundChannels()
        self.inbound = InboundChannels()
        self.held_shards: dict[int, HeldShard] = {}
        self.autoscaler: Autoscaler | None = None  # set while the role is held
        self.machine_types: dict[str, MachineType] | None = None  # as stored; None: not read yet
        # The newest revision at which a job was cancelled, as far as this controller knows
        self.cancelled_revision = 0
        self.scheduling_wake = anyio.Event()
        self.step_timer = StepTimer(self.clock)
        self.started_at = self.clock()
        # End of the newest event-loop stall (seconds of `clock`), and its length in seconds
        self.stalled_at = NEVER
        self.stall_s = 0.0

    def client(self, host: str, port: int, max_idle: int = 8) -> Client:
        """Return an HTTP client for one address that keeps up to `max_idle` idle connections open."""
        return Client(host, port, max_idle, self.runtime.network, self.runtime.clock)

    def wake_scheduling(self) -> None:
        """Wake the scheduling loop, because there is something to decide."""
        self.scheduling_wake.set()

    def resources_of_job(self, job_id: str) -> tuple[float, float, float] | None:
        """Return CPUs, GPUs and memory of one task of a live job; None if the job isn't live."""
        known = self.store_cache.live_jobs.get(job_id)
        return known[0].resources if known else None
