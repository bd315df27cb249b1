"""Keeps this controller's lease in the key-value store, and the key that says that it is up.

What a controller holds (shards, the autoscaler's role) is attached to its one lease: it is given up
when the lease is lost. `controller` runs `lease_loop`; `shard_claims` and `autoscaling_loop` claim
with `lease_id`.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ploverhall import log
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.shard_roles import ShardRoles
from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.cancellation_barrier import (
    FEATURE_CANCELLATION_ACK,
    CancellationBarrier,
)
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.maintenance import orders
from ploverhall.storage.schema import ControllerRecord, controller_key, controller_record

CONTACT_READ_INTERVAL_S = 2.5  # the store cache is read afresh at least this often
LEASE_RENEWALS_PER_TTL = 4
LEASE_RETRY_INTERVAL_S = 0.25


class ControllerLease:
    """This controller's lease, and its key in the key-value store."""

    def __init__(
        self,
        context: ControllerContext,
        store_watch: StoreWatch,
        shard_roles: ShardRoles,
        cancellation_barrier: CancellationBarrier,
        all_peers_connected: Callable[[], bool],
        on_granted: Callable[[], None],
    ) -> None:
        """Begin without a lease.

        `all_peers_connected`: whether there is a connection to every other controller;
        `on_granted`: called after a new lease was granted.
        """
        self.context = context
        self.store_watch = store_watch
        self.shard_roles = shard_roles
        self.cancellation_barrier = cancellation_barrier
        self.all_peers_connected = all_peers_connected
        self.on_granted = on_granted
        self.key = controller_key(context.settings.name)
        self.lease_id: int | None = None
        # Times are of the context's clock, in seconds
        self.key_written_at = 0.0  # when this controller's key was known to be in the store
        self.renewed_at = 0.0  # when the newest request began that showed the lease to be alive
        self.published_revision = 0  # up to which this controller's key says that it has read

    @property
    def key_in_cache(self) -> bool:
        """Whether the store cache has this controller's key."""
        return self.key in self.context.store_cache.entries

    async def lease_loop(self) -> None:
        """Keep a lease, and the key that shows other controllers that this one is up."""
        ttl = self.context.settings.options.shard_lease_s
        while True:
            try:
                if await self._maintain_lease(ttl):
                    await anyio.sleep(ttl / LEASE_RENEWALS_PER_TTL)
            except (RequestRefusedError, OutcomeUnknownError):
                await anyio.sleep(LEASE_RETRY_INTERVAL_S)

    async def _maintain_lease(self, ttl: float) -> bool:
        """Get a lease or renew it; return false if it was lost, and a new one is needed at once.

        Raises RequestRefusedError or OutcomeUnknownError if the store does not answer.
        """
        started_at = self.context.clock()
        lease = self.lease_id
        if lease is None:
            await self._obtain_lease(ttl, started_at)
            return True
        if not await self.context.store.renew_lease(lease):
            self._on_lease_lost(lease)
            return False
        self.renewed_at = started_at
        await self._keep_published(lease, started_at)
        return True

    async def _obtain_lease(self, ttl: float, started_at: float) -> None:
        lease = await self.context.store.grant_lease(ttl)
        if await self._publish_key(lease):
            self.lease_id = lease
            self.key_written_at = self.context.clock()
            self.renewed_at = started_at
            log.info("lease granted", lease=lease)
            self.on_granted()

    def _on_lease_lost(self, lease: int) -> None:
        """Give up every role that was held with the lease."""
        log.error("lease lost", lease=lease)
        self.lease_id = None
        for shard in list(self.context.held_shards):
            self.shard_roles.release(shard, "lease")
        self.context.autoscaler = None

    async def _keep_published(self, lease: int, now: float) -> None:
        """Write this controller's key again where it is missing, or where peers need to read it."""
        if now - self.store_watch.read_at > CONTACT_READ_INTERVAL_S:
            # a watch without events shows nothing of whether the store is in contact
            self.store_watch.request_read()
        if self._own_key_missing():
            # Written by an earlier process, the key can have gone with that process's lease.
            # Without it the others count this controller as ended, and so for how long it may still
            # answer agents
            if await self._publish_key(lease):
                self.key_written_at = self.context.clock()
        elif (
            self.context.cancelled_revision > self.published_revision
            and not self.all_peers_connected()
        ):
            # peers without a connection read in the key what this controller knows
            await self._publish_key(lease)

    def _own_key_missing(self) -> bool:
        """Return whether a read begun after the key was written did not find it."""
        return self.store_watch.read_at > self.key_written_at and not self.key_in_cache

    async def _publish_key(self, lease: int) -> bool:
        """Write this controller's key (zone, features, revision read); return whether it was done.

        The key is always attached to the lease: without one it would outlive the process, which
        the others would then count as alive for ever.
        """
        revision = max(
            self.context.store_cache.revision, self.cancellation_barrier.informed_revision
        )
        features = [FEATURE_CANCELLATION_ACK, orders.FEATURE_MAINTENANCE]
        record = ControllerRecord(self.context.settings.zone, features, revision)
        key = self.key
        _, failed = await self.context.store.compare_and_swap(
            {}, {key: controller_record(record)}, [], lease, frozenset({key}), urgent=True
        )
        if not failed:
            self.published_revision = revision
        return not failed
