"""What this controller may say and do about cancellations, by its contact with store and peers.

`store_changes` calls `update_peers` for what the store shows of them. `job_requests` and `archiver`
ask what may be told or forgotten, `heartbeat_requests` and `scheduling_loop` whether agents may
still be answered, and with which grant for a restart. The rules are in
`coordination.cancellation_barrier`, `coordination.isolation` and `coordination.restart_recovery`.
"""

from __future__ import annotations

from ploverhall.controller.context import ControllerContext
from ploverhall.controller.controller_lease import ControllerLease
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.cancellation_barrier import (
    FEATURE_CANCELLATION_ACK,
    CancellationBarrier,
)
from ploverhall.coordination.isolation import IsolatedRedirects
from ploverhall.coordination.restart_recovery import RenewalGrants
from ploverhall.protocol.jobs import DONE
from ploverhall.storage.schema import EndedJob, controller_from_record

ISOLATION_MARGIN_S = 1.0  # the store may end a lease this much later than its time to live


class CancellationState:
    """Answers, by contact with store and peers, what depends on knowing every cancellation."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        store_watch: StoreWatch,
        controller_lease: ControllerLease,
        cancellation_barrier: CancellationBarrier,
    ) -> None:
        self.context = context
        self.peer_liveness = peer_liveness
        self.store_watch = store_watch
        self.controller_lease = controller_lease
        self.cancellation_barrier = cancellation_barrier
        settings = context.settings
        self.renewal_grants = RenewalGrants(
            settings.cancel_s, settings.lease_s, settings.clock_skew_s, settings.options.cut_off_s
        )
        self.isolated_redirects = IsolatedRedirects(
            self._preceding_controllers(), settings.heartbeat_interval_s, settings.lease_s
        )

    def _preceding_controllers(self) -> list[str]:
        """Return the other controllers in descending order of index, from this one's on."""
        names = self.context.shard_map.controllers
        own_index = self.context.controller_index
        return [names[(own_index - offset) % len(names)] for offset in range(1, len(names))]

    # Cancellations: what other controllers have read, and what may be acknowledged

    def update_peers(self, now: float) -> None:
        """Tell the cancellation barrier which controllers' keys exist and what they say."""
        for name in self.cancellation_barrier.peers:
            value, removed_at_revision = self.context.store_cache.controller_entry(name)
            record = controller_from_record(value)
            if record is None:
                self.cancellation_barrier.peer_absent(name, now, removed_at_revision)
                continue
            self.cancellation_barrier.peer_present(
                name,
                FEATURE_CANCELLATION_ACK in record.features,
                record.revision_read,
            )

    def may_acknowledge(self, end: EndedJob) -> bool:
        """Return whether a user may be told how a job ended.

        A cancellation only once every controller knows of it (`coordination.cancellation_barrier`).
        """
        if end.outcome == DONE:
            return True
        return (
            self.context.store_cache.revision >= end.version
            and self.cancellation_barrier.may_acknowledge(end.version, self.context.clock())
        )

    def may_archive(self, end: EndedJob) -> bool:
        """Return whether no controller can still need to be told of a job's end."""
        return end.outcome == DONE or self.cancellation_barrier.may_forget(
            end.version, self.context.clock()
        )

    def renewal_grant(self, now: float) -> int:
        """Return what fencing tokens sent now say of who may renew agents' leases after a restart.

        `coordination.restart_recovery` describes the encoding.
        """
        self._record_store_contact()
        return self.renewal_grants.encode(
            now - self.cancellation_barrier.last_contact(now),
            self.cancellation_barrier.max_contact_age_s,
            self.context.wall_clock(),
        )

    # Isolation: how long this controller may go on without store and peers

    def isolated(self, now: float) -> bool:
        """Return whether a cancellation may have been acknowledged that can't be known here.

        While it is so this controller answers no agent, so that their leases run out within the
        time that a cancellation may take.
        """
        self._record_store_contact()
        return self.cancellation_barrier.isolated(now)

    def _record_store_contact(self) -> None:
        """Record contact with the store: all was read, this controller's key in it, lease alive.

        Cancellations that others acknowledged while the key was missing are older than the key,
        so they have been read, too.
        """
        if self.controller_lease.key_in_cache:
            self.cancellation_barrier.store_contacted(
                min(self.store_watch.read_at, self.controller_lease.renewed_at)
            )

    def update_isolation(self, now: float) -> None:
        """Check whether all peers are lost, and the store for longer than a lease lives."""
        settings = self.context.settings
        last_contact = max(
            self.controller_lease.renewed_at, self.store_watch.read_at, self.context.started_at
        )
        lease_over = now - last_contact > settings.options.shard_lease_s + ISOLATION_MARGIN_S
        self.isolated_redirects.update(
            lease_over
            and not any(self.peer_liveness.is_alive(peer.name, now) for peer in settings.peers),
            now,
        )
