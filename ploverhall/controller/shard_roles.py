"""Starts and ends the roles of held shards, and passes store changes on to them.

`shard_claims` acquires and releases shards through `ShardRoles`. `controller_lease` releases all of
them when the lease is lost. `store_changes` reports store changes, `controller` event-loop stalls,
and `peer_links` the epochs that other controllers hold.
"""

from __future__ import annotations

from collections.abc import Callable

from ploverhall import log
from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.routing import Routing
from ploverhall.controller.step_timer import MeasuredStep
from ploverhall.protocol import peer_messages
from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.storage.schema import MACHINE_TYPE_COUNT_KEY

# Kinds of state channels (coordination.state_channel) on which a shard's owner and source send
SHARD_CHANNEL_KINDS = (
    peer_messages.SOURCE_TO_OWNER,
    peer_messages.OWNER_TO_SOURCE,
    peer_messages.SOURCE_TO_AUTOSCALER,
    peer_messages.OWNER_TO_AUTOSCALER,
    peer_messages.SOURCE_TASK_COUNTS,
)
# Kinds of state channels on which a shard's owner receives
OWNER_CHANNEL_KINDS = (peer_messages.SOURCE_TO_OWNER, peer_messages.AUTOSCALER_TO_OWNER)


class ShardRoles:
    """Manages the owners and sources of the shards that this controller holds."""

    def __init__(
        self, context: ControllerContext, routing: Routing, start_tasks: Callable[[HeldShard], None]
    ) -> None:
        """Start without any shard.

        `start_tasks`: starts the tasks that load and write the records of an acquired shard.
        """
        self.context = context
        self.routing = routing
        self.start_tasks = start_tasks

    def acquire(self, shard: int, epoch: int) -> None:
        """Start the roles of a newly claimed shard.

        Its owner serves agents at once; its source serves teams once their records are loaded.
        """
        held = HeldShard(shard, epoch, self._new_owner(shard, epoch))
        self.context.held_shards[shard] = held
        log.info("shard acquired", shard=shard, epoch=epoch, token=held.owner.initial_token)
        self.routing.update_routes()
        self.routing.replay(shard, OWNER_CHANNEL_KINDS)
        self.start_tasks(held)
        self.context.wake_scheduling()

    def _new_owner(self, shard: int, epoch: int) -> ShardOwner:
        context = self.context
        settings = context.settings
        owner = ShardOwner(
            shard,
            epoch,
            len(context.shard_map.controllers),
            settings.lease_s,
            settings.heartbeat_interval_s,
            settings.options.hold_s,
            settings.options.sample,
            context.random,
            context.clock(),
            context.controller_index,
        )
        owner.machine_types = context.machine_types or {}
        owner.inventory.usage.resources_of_job = context.resources_of_job
        owner.log_debug = log.debug
        owner.job_ended_in_store = context.store_cache.ended_jobs.__contains__
        owner.job_cancelled_in_store = context.store_cache.is_cancelled
        return owner

    def release(self, shard: int, reason: str) -> None:
        """End the roles of a shard and log `reason`; do nothing if the shard isn't held."""
        held = self.context.held_shards.pop(shard, None)
        if held is None:
            return
        held.released = True
        held.write_scope.cancel()
        held.image_scope.cancel()
        self.context.outbound.drop(SHARD_CHANNEL_KINDS, shard)
        self.routing.update_routes()
        log.info("shard released", shard=shard, epoch=held.epoch, reason=reason)

    def release_superseded(self, epochs: dict[int, int], peer: str) -> None:
        """Release the shards that a peer holds with a newer epoch.

        The store would show the same, but this controller may be unable to reach it.
        """
        for shard, epoch in epochs.items():
            held = self.context.held_shards.get(shard)
            if held is not None and epoch > held.epoch:
                self.release(shard, f"held by {peer} with a newer epoch")

    def confirm_epochs(self, read_started_at: float) -> None:
        """Confirm the epochs of held shards that a fresh read of the store still shows.

        `read_started_at` is the time at which that read began, in seconds of the context's clock.
        """
        for held in self.context.held_shards.values():
            if self.context.store_cache.holder(held.shard)[1] == held.epoch:
                held.owner.epoch_confirmed_at = max(held.owner.epoch_confirmed_at, read_started_at)
                log.debug(
                    "epoch confirmed",
                    shard=held.shard,
                    epoch=held.epoch,
                    read_ago_s=round(self.context.clock() - read_started_at, 3),
                )

    def on_event_loop_stall(
        self, seconds: float, now: float, longest_step: MeasuredStep | None = None
    ) -> None:
        """Record an event-loop stall of `seconds` and notify the owners.

        `longest_step` is the longest step that was measured meanwhile: if it is much shorter than
        the stall, the process got no processor time.

        State from before the stall is stale, and messages that arrived during it are unread.
        """
        log.warn(
            "event loop stalled",
            seconds=round(seconds, 1),
            shards=",".join(map(str, self.context.held_shards)) or "-",
            step=longest_step.name if longest_step is not None else "-",
            step_s=round(longest_step.seconds, 1) if longest_step is not None else 0.0,
        )
        self.context.stalled_at = now
        self.context.stall_s = seconds
        for held in self.context.held_shards.values():
            held.owner.on_event_loop_stall(seconds, now)

    def on_store_changed(self, now: float) -> None:
        """Pass machine types, new jobs and ended jobs from the store cache to the roles."""
        store_cache = self.context.store_cache
        self._update_machine_types()
        changed_jobs = store_cache.changed_jobs
        store_cache.changed_jobs = []
        for job_id in changed_jobs:
            known = store_cache.live_jobs.get(job_id)
            if known is not None:
                job, version = known
                self._on_live_job(job_id, job, version, now)
            else:
                self._on_ended_job(job_id, now)

    def _update_machine_types(self) -> None:
        """Pass the machine types to the roles if the store has a changed and complete set."""
        context = self.context
        if (
            context.machine_types is not None
            and MACHINE_TYPE_COUNT_KEY not in context.store_cache.entries
        ):
            return
        machine_types = context.store_cache.machine_types()
        if machine_types is None or machine_types == context.machine_types:
            return
        context.machine_types = machine_types
        for held in context.held_shards.values():
            held.owner.machine_types = machine_types
            if held.source is not None:
                held.source.unmet_demand.machine_types = machine_types

    def _on_live_job(self, job_id: str, job: Job, version: int, now: float) -> None:
        """Report a new or changed job to the autoscaler and to the source of the job's team."""
        context = self.context
        if context.autoscaler is not None and job_id not in context.autoscaler.arrivals:
            context.autoscaler.on_job(job, now)
        held = context.held_shards.get(context.shard_map.team_shard.get(job.team, -1))
        if held is not None and held.source is not None:
            held.source.on_job(job, job_id, version, now)
            held.write_wake.set()

    def _on_ended_job(self, job_id: str, now: float) -> None:
        """Report an ended job to every owner, and to each source that has the job."""
        for held in self.context.held_shards.values():
            held.owner.job_ended(job_id, now)
            source = held.source
            if source is None or job_id not in source.jobs:
                continue
            if source.jobs[job_id].job is not None:
                source.on_job(None, job_id, 0, now)
                held.write_wake.set()
