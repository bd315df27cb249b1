"""The shards held here: taken, lost, and told what has changed in the store."""

from __future__ import annotations

from collections.abc import Callable

from ploverhall import log
from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.routing import Routing
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.storage.store_cache import MACHINE_TYPE_COUNT_KEY


class ShardRoles:
    """Owners and sources, from the claim to the loss."""

    def __init__(
        self, context: ControllerContext, routing: Routing, start_tasks: Callable[[HeldShard], None]
    ) -> None:
        self.context = context
        self.routing = routing
        # Starts what reads and writes for a shard that has just been taken
        self.start_tasks = start_tasks

    def acquire(self, shard: int, epoch: int) -> None:
        """A shard is held from now on: serve its workers at once, its teams when their cells are read."""
        shared = self.context
        settings = self.context.settings
        owner = ShardOwner(
            shard,
            epoch,
            len(shared.shard_map.controllers),
            settings.lease_s,
            settings.heartbeat_interval_s,
            settings.options.hold_s,
            settings.options.sample,
            shared.random,
            shared.clock(),
            shared.controller_index,
        )
        owner.machine_types = shared.machine_types or {}
        owner.inventory.resources_of_job = shared.resources_of_job
        owner.job_ended_in_store = shared.store_cache.ended_jobs.__contains__
        held = shared.held_shards[shard] = HeldShard(shard, epoch, owner)
        log.info("shard acquired", shard=shard, epoch=epoch)
        self.routing.update_routes()
        self.routing.replay(shard, ("s", "r"))
        self.start_tasks(held)
        shared.wake_scheduling()

    def release(self, shard: int, reason: str) -> None:
        """A shard is not held any more."""
        held = self.context.held_shards.pop(shard, None)
        if held is not None:
            held.released = True
            held.write_scope.cancel()
            held.image_scope.cancel()
            self.context.outbound.drop(("s", "o", "d", "m", "c"), shard)
            self.routing.update_routes()
            log.info("shard released", shard=shard, epoch=held.epoch, reason=reason)

    def release_superseded(self, epochs: dict[int, int], peer: str) -> None:
        """Another controller says what it holds: the state service may not be reached from here."""
        for shard, epoch in epochs.items():
            held = self.context.held_shards.get(shard)
            if held is not None and epoch > held.epoch:
                self.release(shard, f"{peer} holds it")

    def confirm_epochs(self, read_started_at: float) -> None:
        """A read of the store begun then has shown who holds what."""
        for held in self.context.held_shards.values():
            if self.context.store_cache.holder(held.shard)[1] == held.epoch:
                held.owner.epoch_confirmed_at = max(held.owner.epoch_confirmed_at, read_started_at)

    def on_event_loop_stall(self, seconds: float, now: float) -> None:
        """A step came far later than it was due: what was believed before is old, and what came meanwhile is unread."""
        log.warn(
            "event loop stalled",
            seconds=round(seconds, 1),
            shards=",".join(map(str, self.context.held_shards)) or "-",
        )
        self.context.stalled_at = now
        self.context.stall_s = seconds
        for held in self.context.held_shards.values():
            held.owner.on_event_loop_stall(seconds, now)

    def on_store_changed(self, now: float) -> None:
        """The copy of the store has changed: types, jobs that came, jobs that are over."""
        shared = self.context
        store_cache = self.context.store_cache
        if shared.machine_types is None or MACHINE_TYPE_COUNT_KEY in store_cache.entries:
            types = store_cache.machine_types()
            if types is not None and types != shared.machine_types:
                shared.machine_types = types
                for held_shard in shared.held_shards.values():
                    held_shard.owner.machine_types = types
                    if held_shard.source is not None:
                        held_shard.source.machine_types = types
        changed = store_cache.changed_jobs
        store_cache.changed_jobs = []
        for job_id in changed:
            known = store_cache.live_jobs.get(job_id)
            if known is not None:
                if shared.autoscaler is not None and job_id not in shared.autoscaler.arrivals:
                    shared.autoscaler.on_job(known[0], now)
                held = shared.held_shards.get(shared.shard_map.team_shard.get(known[0].team, -1))
                if held is not None and held.source is not None:
                    held.source.on_job(known[0], job_id, known[1], now)
                    held.write_wake.set()
            else:
                for held in shared.held_shards.values():
                    held.owner.job_ended(job_id)
                    if (
                        held.source is not None
                        and job_id in held.source.jobs
                        and held.source.jobs[job_id].job is not None
                    ):
                        held.source.on_job(None, job_id, 0, now)
                        held.write_wake.set()
