"""Passes changes of the store cache, and cancellations from gossip, on to the other parts.

Every part that changes the cache calls this module: `store_watch`, the controller's own writers,
and `peer_links` when it receives gossip.
"""

from __future__ import annotations

from collections.abc import Callable

from ploverhall import log
from ploverhall.controller.cancellation_state import CancellationState
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.routing import Routing
from ploverhall.controller.shard_claims import ShardClaims
from ploverhall.controller.shard_roles import ShardRoles
from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.protocol.jobs import CANCELLED
from ploverhall.protocol.peer_messages import Cancellation
from ploverhall.storage.schema import end_record, job_key


class StoreChanges:
    """Notifies the other parts of changes of the store cache."""

    def __init__(
        self,
        context: ControllerContext,
        routing: Routing,
        shard_roles: ShardRoles,
        cancellation_barrier: CancellationBarrier,
        cancellation_state: CancellationState,
        shard_claims: ShardClaims,
        notify_all_peers: Callable[[], None],
    ) -> None:
        """Connect the parts that are notified.

        `notify_all_peers`: called when there is something to send to every peer.
        """
        self.context = context
        self.routing = routing
        self.shard_roles = shard_roles
        self.cancellation_barrier = cancellation_barrier
        self.cancellation_state = cancellation_state
        self.shard_claims = shard_claims
        self.notify_all_peers = notify_all_peers
        # Jobs whose unreadable records have been logged
        self.logged_unreadable_jobs: set[str] = set()

    def on_store_changed(self) -> None:
        """Pass the changes of the store cache on to the other parts."""
        with self.context.step_timer.measure("store changes"):
            now = self.context.clock()
            self.cancellation_state.update_peers(now)
            self._record_cancellations()
            self._log_unreadable_jobs()
            self.shard_roles.on_store_changed(now)
            self.routing.update_routes()
        self.shard_claims.wake.set()
        self.context.wake_scheduling()

    def on_cancellations(self, cancellations: list[Cancellation]) -> None:
        """End jobs that a peer's gossip names as cancelled, before the store has been read.

        Cancellations that the cache already contains are ignored.
        """
        store_cache = self.context.store_cache
        new = [
            cancellation
            for cancellation in cancellations
            if cancellation.revision > store_cache.revision
            and cancellation.job_id not in store_cache.ended_jobs
        ]
        for cancellation in new:
            store_cache.apply_own_write(
                job_key(cancellation.job_id), end_record(CANCELLED, 0), cancellation.revision
            )
        if new:
            log.info("cancellations learned from peer", jobs=len(new), revision=new[-1].revision)
            self.on_store_changed()

    def _record_cancellations(self) -> None:
        """Record new cancellations in the barrier, and notify peers that they have been read.

        Answers to users wait until every controller has confirmed this.
        """
        ended_jobs = self.context.store_cache.ended_jobs
        newest_revision = 0
        for job_id in self.context.store_cache.changed_jobs:
            ended = ended_jobs.get(job_id)
            if ended is None or ended.outcome != CANCELLED:
                continue
            self.cancellation_barrier.record_cancellation(job_id, ended.version)
            # Logged here too, because the writer may not know that its write was committed
            log.debug("cancelled", job=job_id)
            newest_revision = max(newest_revision, ended.version)
        if newest_revision > self.context.cancelled_revision:
            self.context.cancelled_revision = newest_revision
            self.notify_all_peers()

    def _log_unreadable_jobs(self) -> None:
        """Log each job whose record can't be read, once per process."""
        unreadable_jobs = self.context.store_cache.unreadable_jobs
        for job_id in sorted(unreadable_jobs - self.logged_unreadable_jobs):
            self.logged_unreadable_jobs.add(job_id)
            log.error("unreadable job record", job=job_id)
