"""Which shards this node holds: its lease, claims, takeovers and hand-backs."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.connectivity.failback_backoff import FailbackBackoff
from ploverhall.connectivity.relay_routes import RelayRoutes
from ploverhall.controller.agent_commands import AgentCommands
from ploverhall.controller.context import ControllerContext, HeldShard
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
from ploverhall.storage.store_cache import CONTROLLER_PREFIX, SHARD_PREFIX, EndedJob

CONTACT_READ_INTERVAL_S = 2.5  # the copy is proven current at least this often
ISOLATION_MARGIN_S = 1.0  # its lease may end so late
# A shard that is taken from a live holder and lost again is left alone for this long
REACQUIRE_DELAY_S = 10.0


class ShardLeases:
    """Which shards this node holds: its lease, claims, takeovers and hand-backs."""

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
        self.context = context
        self.peer_liveness = peer_liveness
        self.store_watch = store_watch
        self.shard_roles = shard_roles
        self.relay_routes = relay_routes
        self.cancellation_barrier = cancellation_barrier
        self.agent_commands = agent_commands
        settings = context.settings
        self.renewal_grants = RenewalGrants(
            settings.cancel_s, settings.lease_s, settings.clock_skew_s, settings.options.cut_off_s
        )
        names = context.shard_map.controllers
        before = [names[(context.controller_index - i) % len(names)] for i in range(1, len(names))]
        self.isolated_redirects = IsolatedRedirects(
            before, settings.heartbeat_interval_s, settings.lease_s
        )
        # Whether there is a connection to every peer
        self.all_peers_connected = all_peers_connected
        self.wake = anyio.Event()
        self.unheld_since: dict[int, float] = {}
        self.preferred_versions: dict[int, int] = {}  # per shard: the version of its home's key
        self.held_by_preferred: set[int] = set()  # shards that their homes held when last looked at
        self.failback_backoff = FailbackBackoff(context.settings.options.handback_s)
        self.orphaned_machines = OrphanedMachines()
        self.acquired_from_live_at: dict[int, float] = {}  # shards taken from a live holder
        self.epochs: dict[int, int] = {}  # per shard: the newest epoch that this process has held
        self.lease_id: int | None = None
        self.key_written_at = 0.0  # when this node's key was known to be in the store
        self.renewed_at = 0.0  # when the newest request began that showed it to be alive
        self.published_revision = 0  # the revision that this node's key says it has read up to

    def update_peers(self, now: float) -> None:
        """Which members' keys are there, and what they say."""
        for name in self.cancellation_barrier.peers:
            value, left = self.context.store_cache.controller_entry(name)
            if not isinstance(value, dict):
                self.cancellation_barrier.peer_absent(name, now, left)
                continue
            can, seen = value.get("can"), value.get("seen")
            self.cancellation_barrier.peer_present(
                name,
                isinstance(can, list) and FEATURE_CANCELLATION_ACK in can,
                seen if isinstance(seen, int) else 0,
            )

    def may_acknowledge(self, end: EndedJob) -> bool:
        """Whether a user may be told how a job ended: of a cancellation, only once all know of it (coordination.cancellations)."""
        if end.outcome == DONE:
            return True
        return (
            self.context.store_cache.revision >= end.version
            and self.cancellation_barrier.may_acknowledge(end.version, self.context.clock())
        )

    def may_archive(self, end: EndedJob) -> bool:
        """Whether nobody can need to be told of a job's end any more who has not read the store since."""
        return end.outcome == DONE or self.cancellation_barrier.may_forget(
            end.version, self.context.clock()
        )

    def isolated(self, now: float) -> bool:
        """Whether others may have told a user of a cancellation that this node can't know of.

        Then it stops answering workers early enough for their leases to run out within the time a cancellation has.
        """
        self._record_store_contact()
        return self.cancellation_barrier.isolated(now)

    def _record_store_contact(self) -> None:
        """Its own contact with the store: it has read everything, its key was in what it read, and its lease was alive.

        What others have told while the key was not there is older than the key, so it has been read, too.
        """
        if CONTROLLER_PREFIX + self.context.settings.name in self.context.store_cache.entries:
            self.cancellation_barrier.store_contacted(
                min(self.store_watch.read_at, self.renewed_at)
            )

    def update_isolation(self, now: float) -> None:
        """Whether there is anybody besides this controller's workers: neither store nor peers for longer than its lease lives."""
        last = max(self.renewed_at, self.store_watch.read_at, self.context.started_at)
        isolated = now - last > self.context.settings.options.shard_lease_s + ISOLATION_MARGIN_S
        self.isolated_redirects.update(
            isolated
            and not any(
                self.peer_liveness.is_alive(peer.name, now) for peer in self.context.settings.peers
            ),
            now,
        )

    def renewal_grant(self, now: float) -> int:
        """What tokens that leave now say of who may answer their workers later (coordination.afterlife)."""
        self._record_store_contact()
        return self.renewal_grants.encode(
            now - self.cancellation_barrier.last_contact(now),
            self.cancellation_barrier.max_contact_age_s,
            self.context.wall_clock(),
        )

    async def lease_loop(self) -> None:
        """Keep a lease and the key that shows this node is up."""
        ttl = self.context.settings.options.shard_lease_s
        while True:
            try:
                begun = self.context.clock()
                if self.lease_id is None:
                    lease = await self.context.store.grant_lease(ttl)
                    if await self._publish_key(lease):
                        self.lease_id, self.key_written_at, self.renewed_at = (
                            lease,
                            self.context.clock(),
                            begun,
                        )
                        log.info("lease granted", lease=lease)
                        self.wake.set()
                elif not await self.context.store.renew_lease(lease := self.lease_id):
                    log.error("lease lost", lease=lease)
                    self.lease_id = None
                    for shard in list(self.context.held_shards):
                        self.shard_roles.release(shard, "lease")
                    self.context.autoscaler = None
                    continue
                else:
                    self.renewed_at = begun
                    if begun - self.store_watch.read_at > CONTACT_READ_INTERVAL_S:
                        self.store_watch.request_read()  # a watch that holds shows for seconds nothing of whether there is contact
                    if (
                        self.store_watch.read_at > self.key_written_at
                        and CONTROLLER_PREFIX + self.context.settings.name
                        not in self.context.store_cache.entries
                    ):
                        # the lease lives, but the key is gone (a put of an earlier life came late, and went with that life's
                        # lease): others count this one as ended, and for how long it may still answer workers
                        if await self._publish_key(lease):
                            self.key_written_at = self.context.clock()
                    elif (
                        self.context.cancelled_revision > self.published_revision
                        and not self.all_peers_connected()
                    ):
                        await self._publish_key(lease)  # who can't be told directly reads it there
                await anyio.sleep(ttl / 4)
            except (RequestRefusedError, OutcomeUnknownError):
                await anyio.sleep(0.25)

    async def _publish_key(self, lease: int) -> bool:
        """Write this node's key: its zone, what it can, and how far it has read.

        Tethered to that lease: without one it would outlive the process, and be taken for it for ever.
        """
        key, revision = (
            CONTROLLER_PREFIX + self.context.settings.name,
            max(self.context.store_cache.revision, self.cancellation_barrier.informed_revision),
        )
        value = {
            "zone": self.context.settings.zone,
            "can": [FEATURE_CANCELLATION_ACK, orders.FEATURE_MAINTENANCE],
            "seen": revision,
        }
        _, failed = await self.context.store.compare_and_swap(
            {}, {key: value}, [], lease, frozenset({key}), urgent=True
        )
        if not failed:
            self.published_revision = revision
        return not failed

    async def shard_loop(self) -> None:
        """Hold the shards that this node should hold."""
        while True:
            self.wake = anyio.Event()
            self.update_isolation(self.context.clock())
            if self.context.store_cache.ready and self.lease_id is not None:
                now = self.context.clock()
                for shard in range(len(self.context.shard_map.controllers)):
                    await self.reconcile_shard(shard, now)
            with anyio.move_on_after(0.2):
                await self.wake.wait()

    async def reconcile_shard(self, shard: int, now: float) -> None:
        """One shard: claim it, keep it, hand it back, or leave it."""
        name = self.context.settings.name
        holder, version = self.context.store_cache.holder(shard)
        held = self.context.held_shards.get(shard)
        if held is not None and held.owner.token_space_exhausted:
            self.shard_roles.release(
                shard, "its tokens are used up"
            )  # claimed again at once, with the next epoch's
            held = None
        if (
            held is not None
            and version != held.epoch
            and self.context.store_cache.revision >= held.epoch
        ):
            # another holds it, or its key went with a lease that ended while this controller stood still
            self.shard_roles.release(shard, "taken over" if version else "its key is gone")
            held = None
        preferred = self.context.shard_map.controllers[shard]
        _, preferred_version = self.context.store_cache.entries.get(
            CONTROLLER_PREFIX + preferred, (None, 0)
        )
        # -1: not even its absence has been seen yet
        same = self.preferred_versions.get(shard, -1) == preferred_version
        self.preferred_versions[shard] = preferred_version
        if holder == preferred:
            self.held_by_preferred.add(shard)
        elif shard in self.held_by_preferred:
            self.held_by_preferred.discard(shard)
            self.failback_backoff.record_loss(shard, now)
        if held is not None:
            # all links of the home have to be good for long enough, or it loses the shard again at once
            preferred_healthy = (
                same
                and preferred_version > 0
                and self.peer_liveness.is_alive(preferred, now)
                and self.relay_routes.all_services_reachable(preferred, now)
            )
            if (
                shard != self.context.controller_index
                and self.failback_backoff.should_fail_back(shard, preferred_healthy, now)
                and now - self.acquired_from_live_at.get(shard, -1e9) > 30.0
            ):
                # not while its workers don't reach it: it would lose the part, and they their leases, once more
                if await self.agent_commands.reachable_from(preferred, held.owner):
                    await self._fail_back(held)
                else:
                    self.failback_backoff.should_fail_back(shard, False, now)
            return
        if holder == name:
            value, _ = self.context.store_cache.entries[f"{SHARD_PREFIX}{shard}"]
            if value.get("lease") == self.lease_id and version > self.epochs.get(shard, 0):
                # its own claim, whose answer did not come: nobody has held that epoch yet. Claimed again, it was lost again where
                # answers are lost: 15 claims instead of 5 for three ends, and workers waited for up to 13 s
                self._on_claimed(shard, version)
            else:
                await self._claim(
                    shard, version
                )  # of an earlier life, or one that this process has let go
        elif holder is None:
            since = self.unheld_since.setdefault(shard, now)
            alive = [
                controller_name
                for controller_name in self.context.shard_map.controllers
                if self.context.store_cache.holds_lease(controller_name)
                and controller_name != preferred
            ] or [name]
            delay = self.context.shard_map.claim_delay(
                name, shard, alive, len(self.context.held_shards)
            )
            if shard != self.context.controller_index and preferred_version:
                delay += 3.0  # its home is up and will claim it
            if (
                shard != self.context.controller_index
                and self.agent_commands.all_shards_unreachable(now)
            ):
                delay += 2.0  # whoever its workers can reach comes first
            if now - since >= delay:
                await self._claim(shard, 0)
            return
        elif now - self.acquired_from_live_at.get(
            shard, -1e9
        ) > REACQUIRE_DELAY_S and self.orphaned_machines.should_acquire(
            shard,
            self.peer_liveness.is_alive(holder, now),
            now,
            shard == self.context.controller_index,
            self.peer_liveness.holder_without_heartbeats(holder, shard, now),
        ):
            log.info("shard holder unreachable by agents", shard=shard, holder=holder)
            self.acquired_from_live_at[shard] = now
            await self._claim(shard, version)
        self.unheld_since.pop(shard, None)

    async def _claim(self, shard: int, version: int) -> None:
        key = f"{SHARD_PREFIX}{shard}"
        value = {"node": self.context.settings.name, "lease": self.lease_id}
        try:
            epoch, failed = await self.context.store.compare_and_swap(
                {key: version}, {key: value}, [], self.lease_id, frozenset({key}), urgent=True
            )
        except (RequestRefusedError, OutcomeUnknownError):
            return
        if failed == ["no such lease"]:
            self.lease_id = None
        if failed:
            return
        self.context.store_cache.apply_own_write(key, value, epoch)
        self._on_claimed(shard, epoch)

    def _on_claimed(self, shard: int, epoch: int) -> None:
        """A claim of this process has landed. Of one epoch there is one owner ever: its tokens and runs are not to be given out twice."""
        self.unheld_since.pop(shard, None)
        self.epochs[shard] = epoch
        self.shard_roles.acquire(shard, epoch)

    async def _fail_back(self, held: HeldShard) -> None:
        key = f"{SHARD_PREFIX}{held.shard}"
        self.shard_roles.release(held.shard, "handed back")
        try:
            await self.context.store.compare_and_swap({key: held.epoch}, {}, [key], urgent=True)
        except (RequestRefusedError, OutcomeUnknownError):
            pass  # if it has not landed, the next round finds this node as the holder and claims again
