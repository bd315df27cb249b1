"""Maintains this controller's lease in the key-value store, and its membership key.

The controller's claims (shards, the autoscaler role) are attached to its one lease and are given up
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

CONTACT_READ_INTERVAL_S = 2.5  # the store cache is refreshed at least this often
LEASE_RENEWALS_PER_TTL = 4
LEASE_RETRY_INTERVAL_S = 0.25


class ControllerLease:
    """This controller's lease and its membership key in the key-value store."""

    def __init__(
        self,
        context: ControllerContext,
        store_watch: StoreWatch,
        shard_roles: ShardRoles,
        cancellation_barrier: CancellationBarrier,
        all_peers_connected: Callable[[], bool],
        on_granted: Callable[[], None],
    ) -> None:
        """Start without a lease.

        `all_peers_connected`: returns whether this controller is connected to every other one;
        `on_granted`: called after a new lease is granted.
        """
        self.context = context
        self.store_watch = store_watch
        self.shard_roles = shard_roles
        self.cancellation_barrier = cancellation_barrier
        self.all_peers_connected = all_peers_connected
        self.on_granted = on_granted
        self.key = controller_key(context.settings.name)
        self.lease_id: int | None = None
        # Times are seconds of the context's clock
        self.key_written_at = 0.0  # when the last successful write of the key was answered
        self.renewed_at = 0.0  # start of the newest request that showed the lease to be alive
        self.published_revision = 0  # the revision that the key states as read

    @property
    def key_in_cache(self) -> bool:
        """Return whether the store cache contains this controller's key."""
        return self.key in self.context.store_cache.entries

    async def lease_loop(self) -> None:
        """Maintain the lease and the key that shows other controllers that this one is up."""
        ttl = self.context.settings.options.shard_lease_s
        while True:
            try:
                if await self._maintain_lease(ttl):
                    await anyio.sleep(ttl / LEASE_RENEWALS_PER_TTL)
            except (RequestRefusedError, OutcomeUnknownError):
                await anyio.sleep(LEASE_RETRY_INTERVAL_S)

    async def _maintain_lease(self, ttl: float) -> bool:
        """Obtain a lease or renew it; return false if it was lost and must be replaced at once.

        Raises:
            RequestRefusedError: The store did not execute a request.
            OutcomeUnknownError: The outcome of a request is unknown.
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
        await self._republish_key_if_needed(lease, started_at)
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
        """Give up every role that was attached to the lease."""
        log.error("lease lost", lease=lease)
        self.lease_id = None
        for shard in list(self.context.held_shards):
            self.shard_roles.release(shard, "lease lost")
        self.context.autoscaler = None

    async def _republish_key_if_needed(self, lease: int, now: float) -> None:
        """Write this controller's key again if it is missing or peers need a newer revision."""
        if now - self.store_watch.read_at > CONTACT_READ_INTERVAL_S:
            # A watch without events doesn't show whether the store can be reached
            self.store_watch.request_read()
        if self._own_key_missing():
            # A key written by an earlier process is deleted with that process's lease. Without the
            # key, peers treat this controller as ended, and only wait out the time for which it
            # may still answer agents
            if await self._publish_key(lease):
                self.key_written_at = self.context.clock()
        elif (
            self.context.cancelled_revision > self.published_revision
            and not self.all_peers_connected()
        ):
            # Peers without a connection read from the key which revision this controller has read
            await self._publish_key(lease)

    def _own_key_missing(self) -> bool:
        """Return whether a read that began after the key was written didn't find the key."""
        return self.store_watch.read_at > self.key_written_at and not self.key_in_cache

    async def _publish_key(self, lease: int) -> bool:
        """Write this controller's key (zone, features, revision read); return whether it succeeded.

        The key is always attached to the lease. Otherwise it would outlive the process, and peers
        would treat this controller as alive forever.

        Raises:
            RequestRefusedError: The store did not execute the request.
            OutcomeUnknownError: The outcome of the request is unknown.
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
