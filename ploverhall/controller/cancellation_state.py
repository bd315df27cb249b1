"""Applies the cancellation, isolation and restart rules to this controller's state.

`store_changes` calls `update_peers` when the store cache has changed. `job_requests` asks whether
the end of a job may be acknowledged, `archiver` whether it may be archived. `heartbeat_requests`
and `scheduling_loop` ask whether agents may still be answered, and for the renewal grant. The rules
are in `coordination.cancellation_barrier`, `coordination.isolation` and
`coordination.restart_recovery`.
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

ISOLATION_MARGIN_S = 1.0  # the store may expire a lease this much after its time to live


class CancellationState:
    """Decides, from the contact with store and peers, what requires knowing every cancellation."""

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
        """Return the other controllers, beginning with the one before this and going backwards.

        The order is cyclic: the last controller comes after the first.
        """
        names = self.context.shard_map.controllers
        own_index = self.context.controller_index
        return [names[(own_index - offset) % len(names)] for offset in range(1, len(names))]

    # Cancellations: what peers have read, and what may be acknowledged or archived

    def update_peers(self, now: float) -> None:
        """Pass the cached membership keys of all peers to the cancellation barrier."""
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

        A cancellation may be acknowledged only once every controller knows of it
        (`coordination.cancellation_barrier`).
        """
        if end.outcome == DONE:
            return True
        return (
            self.context.store_cache.revision >= end.version
            and self.cancellation_barrier.may_acknowledge(end.version, self.context.clock())
        )

    def may_archive(self, end: EndedJob) -> bool:
        """Return whether no controller still needs to be informed of a job's end."""
        return end.outcome == DONE or self.cancellation_barrier.may_forget(
            end.version, self.context.clock()
        )

    def renewal_grant(self, now: float) -> int:
        """Return the encoded renewal grant for fencing tokens sent now.

        It states how long a restarted controller may renew agents' leases;
        `coordination.restart_recovery` describes the encoding.
        """
        self._record_store_contact()
        return self.renewal_grants.encode(
            now - self.cancellation_barrier.last_contact(now),
            self.cancellation_barrier.max_contact_age_s,
            self.context.wall_clock(),
        )

    # Isolation: how long this controller may continue without store and peers

    def isolated(self, now: float) -> bool:
        """Return whether a cancellation may have been acknowledged without this controller knowing.

        While this is true, the controller answers no agent, so that the agents' leases expire
        within the time limit of a cancellation.
        """
        self._record_store_contact()
        return self.cancellation_barrier.isolated(now)

    def _record_store_contact(self) -> None:
        """Record contact with the store if the cache contains this controller's key.

        The contact is dated to the older of the newest read and the newest lease renewal: at that
        time everything had been read and the lease was alive. Cancellations that peers acknowledged
        while the key was missing are older than the key, so they have been read, too.
        """
        if self.controller_lease.key_in_cache:
            self.cancellation_barrier.store_contacted(
                min(self.store_watch.read_at, self.controller_lease.renewed_at)
            )

    def update_isolation(self, now: float) -> None:
        """Update the isolation state.

        This controller is isolated if no peer is alive and its last contact with the store is
        older than the time to live of a lease plus `ISOLATION_MARGIN_S`.
        """
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
