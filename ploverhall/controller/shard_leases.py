"""Decides which shards this controller holds: its lease, claims, failover and failback.

Owns the controller's lease and its key in the key-value store, and this process's view of the other
controllers' keys. `controller` runs `lease_loop` and `shard_loop`; `heartbeat_requests` and
`job_requests` ask whether this controller may still answer agents and acknowledge cancellations.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ploverhall import log
from ploverhall.connectivity.failback_backoff import FailbackBackoff
from ploverhall.connectivity.relay_routes import RelayRoutes
from ploverhall.controller.agent_commands import AgentCommands
from ploverhall.controller.context import NEVER, ControllerContext, HeldShard
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.shard_roles import ShardRoles
from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.cancellation_barrier import (
    FEATURE_CANCELLATION_ACK,
    CancellationBarrier,
)
from ploverhall.coordination.isolation import IsolatedRedirects
from ploverhall.coordination.orphaned_machines import OrphanedMachines
from ploverhall.coordination.restart_recovery import RenewalGrants
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.maintenance import orders
from ploverhall.protocol.jobs import DONE
from ploverhall.storage.schema import CONTROLLER_PREFIX, SHARD_PREFIX, EndedJob

CONTACT_READ_INTERVAL_S = 2.5  # the store cache is read afresh at least this often
ISOLATION_MARGIN_S = 1.0  # the store may end a lease this much later than its time to live
LEASE_RENEWALS_PER_TTL = 4
LEASE_RETRY_INTERVAL_S = 0.25
SHARD_CHECK_INTERVAL_S = 0.2
# A shard acquired from a live holder and lost again is not acquired like that again for this long
REACQUIRE_DELAY_S = 10.0
# A shard acquired from a live holder stays here at least this long
MIN_HOLD_AFTER_ACQUIRE_S = 30.0
# Added to the delay of a claim: the preferred controller is up and will claim the shard itself
PREFERRED_ALIVE_DELAY_S = 3.0
# Added to the delay of a claim while agents don't reach this controller
UNREACHABLE_DELAY_S = 2.0
# Version of a preferred controller's key before the first look, when not even its absence is known
VERSION_NOT_SEEN = -1
NO_SUCH_LEASE = "no such lease"  # the failed comparison that the store names for a lost lease


class ShardLeases:
    """This controller's lease, and the shards it claims, keeps and fails back."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        store_watch: StoreWatch,
        shard_roles: ShardRoles,
        cancellation_barrier: CancellationBarrier,
        relay_routes: RelayRoutes,
        agent_commands: AgentCommands,
        all_peers_connected: Callable[[], bool],
    ) -> None:
        """`all_peers_connected`: whether there is a connection to every other controller."""
        self.context = context
        self.peer_liveness = peer_liveness
        self.store_watch = store_watch
        self.shard_roles = shard_roles
        self.relay_routes = relay_routes
        self.cancellation_barrier = cancellation_barrier
        self.agent_commands = agent_commands
        self.all_peers_connected = all_peers_connected
        settings = context.settings
        self.renewal_grants = RenewalGrants(
            settings.cancel_s, settings.lease_s, settings.clock_skew_s, settings.options.cut_off_s
        )
        self.isolated_redirects = IsolatedRedirects(
            self._preceding_controllers(), settings.heartbeat_interval_s, settings.lease_s
        )
        self.failback_backoff = FailbackBackoff(settings.options.handback_s)
        self.orphaned_machines = OrphanedMachines()
        self.wake = anyio.Event()
        # Times are of the context's clock, in seconds. The dicts are by shard
        self.unheld_since: dict[int, float] = {}
        self.preferred_versions: dict[int, int] = {}  # version of the preferred controller's key
        self.held_by_preferred: set[int] = set()  # shards, as of the last look
        self.acquired_from_live_at: dict[int, float] = {}  # when acquired from a live holder
        self.epochs: dict[int, int] = {}  # the newest epoch that this process has held
        self.lease_id: int | None = None
        self.key_written_at = 0.0  # when this controller's key was known to be in the store
        self.renewed_at = 0.0  # when the newest request began that showed the lease to be alive
        self.published_revision = 0  # up to which this controller's key says that it has read

    def _preceding_controllers(self) -> list[str]:
        """Return the other controllers in descending order of index, from this one's on."""
        names = self.context.shard_map.controllers
        own_index = self.context.controller_index
        return [names[(own_index - offset) % len(names)] for offset in range(1, len(names))]

    @property
    def _own_key(self) -> str:
        return CONTROLLER_PREFIX + self.context.settings.name

    # Cancellations: what other controllers have read, and what may be acknowledged

    def update_peers(self, now: float) -> None:
        """Tell the cancellation barrier which controllers' keys exist and what they say."""
        for name in self.cancellation_barrier.peers:
            value, removed_at_revision = self.context.store_cache.controller_entry(name)
            if not isinstance(value, dict):
                self.cancellation_barrier.peer_absent(name, now, removed_at_revision)
                continue
            features, revision = value.get("can"), value.get("seen")
            self.cancellation_barrier.peer_present(
                name,
                isinstance(features, list) and FEATURE_CANCELLATION_ACK in features,
                revision if isinstance(revision, int) else 0,
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
        if self._own_key in self.context.store_cache.entries:
            self.cancellation_barrier.store_contacted(
                min(self.store_watch.read_at, self.renewed_at)
            )

    def update_isolation(self, now: float) -> None:
        """Check whether all peers are lost, and the store for longer than a lease lives."""
        settings = self.context.settings
        last_contact = max(self.renewed_at, self.store_watch.read_at, self.context.started_at)
        lease_over = now - last_contact > settings.options.shard_lease_s + ISOLATION_MARGIN_S
        self.isolated_redirects.update(
            lease_over
            and not any(self.peer_liveness.is_alive(peer.name, now) for peer in settings.peers),
            now,
        )

    # The lease

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
            self.wake.set()

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
        return (
            self.store_watch.read_at > self.key_written_at
            and self._own_key not in self.context.store_cache.entries
        )

    async def _publish_key(self, lease: int) -> bool:
        """Write this controller's key (zone, features, revision read); return whether it was done.

        The key is always attached to the lease: without one it would outlive the process, which
        the others would then count as alive for ever.
        """
        revision = max(
            self.context.store_cache.revision, self.cancellation_barrier.informed_revision
        )
        value = {
            "zone": self.context.settings.zone,
            "can": [FEATURE_CANCELLATION_ACK, orders.FEATURE_MAINTENANCE],
            "seen": revision,
        }
        key = self._own_key
        _, failed = await self.context.store.compare_and_swap(
            {}, {key: value}, [], lease, frozenset({key}), urgent=True
        )
        if not failed:
            self.published_revision = revision
        return not failed

    # The shards

    async def shard_loop(self) -> None:
        """Claim, keep and fail back shards, one look at each per interval or wake-up."""
        while True:
            self.wake = anyio.Event()
            self.update_isolation(self.context.clock())
            if self.context.store_cache.ready and self.lease_id is not None:
                now = self.context.clock()
                for shard in range(len(self.context.shard_map.controllers)):
                    await self.reconcile_shard(shard, now)
            with anyio.move_on_after(SHARD_CHECK_INTERVAL_S):
                await self.wake.wait()

    async def reconcile_shard(self, shard: int, now: float) -> None:
        """Bring one shard to where it belongs: claim it, keep it, fail it back, or leave it."""
        holder, version = self.context.store_cache.holder(shard)
        self._release_if_superseded(shard, version)
        preferred_stable = self._observe_preferred(shard, holder, now)
        held = self.context.held_shards.get(shard)
        if held is not None:
            await self._fail_back_if_due(held, preferred_stable, now)
            return
        if holder is None:
            await self._claim_if_due(shard, now)
            return
        if holder == self.context.settings.name:
            await self._recover_own_claim(shard, version)
        elif self._should_acquire_from(holder, shard, now):
            log.info("shard holder unreachable by agents", shard=shard, holder=holder)
            self.acquired_from_live_at[shard] = now
            await self._claim(shard, version)
        self.unheld_since.pop(shard, None)

    def _release_if_superseded(self, shard: int, version: int) -> None:
        """Release a shard held here whose tokens are used up, or that the store shows as lost."""
        held = self.context.held_shards.get(shard)
        if held is None:
            return
        if held.owner.token_space_exhausted:
            # claimed again at once, with the token space of the next epoch
            self.shard_roles.release(shard, "its tokens are used up")
        elif version != held.epoch and self.context.store_cache.revision >= held.epoch:
            # another controller holds it, or its key went with a lease that ended in a stall
            self.shard_roles.release(shard, "taken over" if version else "its key is gone")

    def _observe_preferred(self, shard: int, holder: str | None, now: float) -> bool:
        """Note how a shard's preferred controller fares; return whether its key is unchanged."""
        version = self._preferred_version(shard)
        unchanged = self.preferred_versions.get(shard, VERSION_NOT_SEEN) == version
        self.preferred_versions[shard] = version
        if holder == self.context.shard_map.controllers[shard]:
            self.held_by_preferred.add(shard)
        elif shard in self.held_by_preferred:
            self.held_by_preferred.discard(shard)
            self.failback_backoff.record_loss(shard, now)
        return unchanged

    def _preferred_version(self, shard: int) -> int:
        """Return the version of the key of a shard's preferred controller; 0 while it is down."""
        key = CONTROLLER_PREFIX + self.context.shard_map.controllers[shard]
        return self.context.store_cache.entries.get(key, (None, 0))[1]

    async def _fail_back_if_due(self, held: HeldShard, preferred_stable: bool, now: float) -> None:
        """Release a shard to its preferred controller once that one is healthy for long enough.

        All its links have to be good, and agents have to reach it: it would lose the shard again
        at once, and with it the agents would lose their leases.
        """
        shard = held.shard
        preferred = self.context.shard_map.controllers[shard]
        preferred_healthy = (
            preferred_stable
            and self.preferred_versions[shard] > 0
            and self.peer_liveness.is_alive(preferred, now)
            and self.relay_routes.all_services_reachable(preferred, now)
        )
        if shard == self.context.controller_index:
            return
        if not self.failback_backoff.should_fail_back(shard, preferred_healthy, now):
            return
        if now - self.acquired_from_live_at.get(shard, NEVER) <= MIN_HOLD_AFTER_ACQUIRE_S:
            return
        if await self.agent_commands.reachable_from(preferred, held.owner):
            await self._fail_back(held)
        else:
            self.failback_backoff.should_fail_back(shard, False, now)

    async def _recover_own_claim(self, shard: int, version: int) -> None:
        """Handle a shard that the store lists as this controller's, though it isn't held here."""
        value, _ = self.context.store_cache.entries[f"{SHARD_PREFIX}{shard}"]
        if value.get("lease") == self.lease_id and version > self.epochs.get(shard, 0):
            # This process's own claim, whose answer was lost: nobody has held that epoch yet.
            # Claimed again, it could lose the answer again, and agents would wait for longer
            self._on_claimed(shard, version)
        else:
            # claimed by an earlier process, or released by this one
            await self._claim(shard, version)

    async def _claim_if_due(self, shard: int, now: float) -> None:
        """Claim a shard without a holder after this controller's delay in the order of claims."""
        since = self.unheld_since.setdefault(shard, now)
        if now - since >= self._claim_delay(shard, now):
            await self._claim(shard, 0)

    def _claim_delay(self, shard: int, now: float) -> float:
        """Return for how many seconds a shard must have been without holder to be claimed here."""
        name = self.context.settings.name
        preferred = self.context.shard_map.controllers[shard]
        alive = [
            controller
            for controller in self.context.shard_map.controllers
            if self.context.store_cache.holds_lease(controller) and controller != preferred
        ] or [name]
        delay_s = self.context.shard_map.claim_delay(
            name, shard, alive, len(self.context.held_shards)
        )
        if shard == self.context.controller_index:
            return delay_s
        if self.preferred_versions[shard]:
            delay_s += PREFERRED_ALIVE_DELAY_S
        if self.agent_commands.all_shards_unreachable(now):
            delay_s += UNREACHABLE_DELAY_S
        return delay_s

    def _should_acquire_from(self, holder: str, shard: int, now: float) -> bool:
        """Return whether to acquire a shard whose holder its agents can't reach."""
        if now - self.acquired_from_live_at.get(shard, NEVER) <= REACQUIRE_DELAY_S:
            return False
        return self.orphaned_machines.should_acquire(
            shard,
            self.peer_liveness.is_alive(holder, now),
            now,
            shard == self.context.controller_index,
            self.peer_liveness.holder_without_heartbeats(holder, shard, now),
        )

    async def _claim(self, shard: int, version: int) -> None:
        """Try to become holder of a shard whose key has this version; 0 where there is no key."""
        key = f"{SHARD_PREFIX}{shard}"
        value = {"node": self.context.settings.name, "lease": self.lease_id}
        try:
            epoch, failed = await self.context.store.compare_and_swap(
                {key: version}, {key: value}, [], self.lease_id, frozenset({key}), urgent=True
            )
        except (RequestRefusedError, OutcomeUnknownError):
            return
        if failed == [NO_SUCH_LEASE]:
            self.lease_id = None
        if failed:
            return
        self.context.store_cache.apply_own_write(key, value, epoch)
        self._on_claimed(shard, epoch)

    def _on_claimed(self, shard: int, epoch: int) -> None:
        """Hold a shard whose claim was committed.

        An epoch has one owner ever: its fencing tokens and runs must not be given out twice.
        """
        self.unheld_since.pop(shard, None)
        self.epochs[shard] = epoch
        self.shard_roles.acquire(shard, epoch)

    async def _fail_back(self, held: HeldShard) -> None:
        """Release a shard and delete its key, so that its preferred controller can claim it."""
        key = f"{SHARD_PREFIX}{held.shard}"
        self.shard_roles.release(held.shard, "handed back")
        try:
            await self.context.store.compare_and_swap({key: held.epoch}, {}, [key], urgent=True)
        except (RequestRefusedError, OutcomeUnknownError):
            pass  # if the key is still there, the next round claims the shard again
