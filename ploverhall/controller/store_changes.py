"""Passes on what is new in the store cache, and cancellations that a peer has named.

Called by whatever has changed the cache: `store_watch` and the controller's own writers, and
`peer_links` for the gossip of peers.
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
    """Tells the other parts of what has changed in the store cache."""

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
        """`notify_all_peers`: called when there is something to send to every peer."""
        self.context = context
        self.routing = routing
        self.shard_roles = shard_roles
        self.cancellation_barrier = cancellation_barrier
        self.cancellation_state = cancellation_state
        self.shard_claims = shard_claims
        self.notify_all_peers = notify_all_peers
        # Jobs with unreadable records that have been logged
        self.logged_unreadable_jobs: set[str] = set()

    def on_store_changed(self) -> None:
        """Pass on what is new in the store cache."""
        now = self.context.clock()
        self.cancellation_state.update_peers(now)
        self._record_cancellations()
        self._log_unreadable_jobs()
        self.shard_roles.on_store_changed(now)
        self.routing.update_routes()
        self.shard_claims.wake.set()
        self.context.wake_scheduling()

    def on_cancellations(self, named: list[Cancellation]) -> None:
        """A peer has named cancelled jobs: they end here, too, before the store has been read."""
        store_cache = self.context.store_cache
        new = [
            cancellation
            for cancellation in named
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
        """Give new cancellations to the barrier, and tell peers that they have been read here.

        Answers to users wait until every controller has told that.
        """
        ended_jobs = self.context.store_cache.ended_jobs
        newest_revision = 0
        for job_id in self.context.store_cache.changed_jobs:
            ended = ended_jobs.get(job_id)
            if ended is None or ended.outcome != CANCELLED:
                continue
            self.cancellation_barrier.record_cancellation(job_id, ended.version)
            # logged here as well: the writer may not know that its write was committed
            log.debug("cancelled", job=job_id)
            newest_revision = max(newest_revision, ended.version)
        if newest_revision > self.context.cancelled_revision:
            self.context.cancelled_revision = newest_revision
            self.notify_all_peers()

    def _log_unreadable_jobs(self) -> None:
        """Log each job whose record can't be read, once."""
        unreadable_jobs = self.context.store_cache.unreadable_jobs
        for job_id in sorted(unreadable_jobs - self.logged_unreadable_jobs):
            self.logged_unreadable_jobs.add(job_id)
            log.error("unreadable job record", job=job_id)
