"""Decides which shards this controller holds: claims, failover and failback.

A claim is a key attached to the controller's lease (`controller_lease`), so it is deleted when the
lease expires. `controller` runs `shard_loop`; `heartbeat_requests` records the agents that can't
reach the holder of their shard.
"""

from __future__ import annotations

import contextlib

import anyio

from ploverhall import log
from ploverhall.connectivity.failback_backoff import FailbackBackoff
from ploverhall.connectivity.relay_routes import RelayRoutes
from ploverhall.controller.agent_commands import AgentCommands
from ploverhall.controller.cancellation_state import CancellationState
from ploverhall.controller.context import NEVER, ControllerContext, HeldShard
from ploverhall.controller.controller_lease import ControllerLease
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.shard_roles import ShardRoles
from ploverhall.coordination.orphaned_machines import OrphanedMachines
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.protocol.key_value_store import NO_SUCH_LEASE
from ploverhall.storage.schema import claimed_with_lease, controller_key, shard_key, shard_record

SHARD_CHECK_INTERVAL_S = 0.2
# Minimum time between two acquisitions of the same shard from a live holder
REACQUIRE_DELAY_S = 10.0
# Minimum time for which a shard acquired from a live holder is kept before failback
MIN_HOLD_AFTER_ACQUIRE_S = 30.0
# Added to the claim delay while the preferred controller is up: it will claim the shard itself
PREFERRED_ALIVE_DELAY_S = 3.0
# Added to the claim delay while agents can't reach this controller
UNREACHABLE_DELAY_S = 2.0
# Version of a preferred controller's key before the first check (0 means that the key is absent)
VERSION_UNKNOWN = -1


class ShardClaims:
    """Claims shards, and releases them on failover and failback."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        shard_roles: ShardRoles,
        controller_lease: ControllerLease,
        cancellation_state: CancellationState,
        relay_routes: RelayRoutes,
        agent_commands: AgentCommands,
    ) -> None:
        self.context = context
        self.peer_liveness = peer_liveness
        self.shard_roles = shard_roles
        self.controller_lease = controller_lease
        self.cancellation_state = cancellation_state
        self.relay_routes = relay_routes
        self.agent_commands = agent_commands
        self.failback_backoff = FailbackBackoff(context.settings.options.handback_s)
        self.orphaned_machines = OrphanedMachines()
        self.wake = anyio.Event()
        # The dicts are keyed by shard; times are seconds of the context's clock
        self.unheld_since: dict[int, float] = {}  # when the shard was first seen without a holder
        self.preferred_key_versions: dict[
            int, int
        ] = {}  # version of the preferred controller's key
        self.held_by_preferred: set[int] = set()  # shards, as of the last check
        self.acquired_from_live_at: dict[int, float] = {}  # last acquisition from a live holder
        self.epochs: dict[int, int] = {}  # the newest epoch that this process has held

    async def shard_loop(self) -> None:
        """Reconcile every shard once per interval or wake-up; never returns."""
        while True:
            self.wake = anyio.Event()
            self.cancellation_state.update_isolation(self.context.clock())
            if self.context.store_cache.ready and self.controller_lease.lease_id is not None:
                now = self.context.clock()
                for shard in range(len(self.context.shard_map.controllers)):
                    await self.reconcile_shard(shard, now)
            with anyio.move_on_after(SHARD_CHECK_INTERVAL_S):
                await self.wake.wait()

    async def reconcile_shard(self, shard: int, now: float) -> None:
        """Claim, keep, fail back or release one shard according to the store cache."""
        holder, version = self.context.store_cache.holder(shard)
        self._release_if_superseded(shard, version)
        preferred_stable = self._track_preferred_controller(shard, holder, now)
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
        """Release a held shard if its fencing tokens are exhausted or the store shows it as lost.

        `version` is the version of the shard's key in the store cache, 0 if there is no key.
        """
        held = self.context.held_shards.get(shard)
        if held is None:
            return
        if held.owner.token_space_exhausted:
            # The shard is claimed again at once; the next epoch has its own token space
            self.shard_roles.release(shard, "fencing tokens exhausted")
        elif version != held.epoch and self.context.store_cache.revision >= held.epoch:
            # Another controller holds the shard, or its key was deleted because this controller's
            # lease expired during an event-loop stall
            self.shard_roles.release(
                shard, "held by another controller" if version else "shard key deleted"
            )

    def _track_preferred_controller(self, shard: int, holder: str | None, now: float) -> bool:
        """Record whether the preferred controller holds the shard, and when it loses it.

        Returns whether the version of the preferred controller's key is the same as at the
        previous check; false at the first check.
        """
        version = self._preferred_key_version(shard)
        unchanged = self.preferred_key_versions.get(shard, VERSION_UNKNOWN) == version
        self.preferred_key_versions[shard] = version
        if holder == self.context.shard_map.controllers[shard]:
            self.held_by_preferred.add(shard)
        elif shard in self.held_by_preferred:
            self.held_by_preferred.discard(shard)
            self.failback_backoff.record_loss(shard, now)
        return unchanged

    def _preferred_key_version(self, shard: int) -> int:
        """Return the version of the preferred controller's key; 0 while that controller is down."""
        key = controller_key(self.context.shard_map.controllers[shard])
        return self.context.store_cache.entries.get(key, (None, 0))[1]

    async def _fail_back_if_due(self, held: HeldShard, preferred_stable: bool, now: float) -> None:
        """Fail a held shard back once its preferred controller has been healthy for long enough.

        The preferred controller must reach every service, and the shard's agents must be able to
        reach it. Otherwise it would lose the shard again at once, and the agents would lose their
        leases.
        """
        shard = held.shard
        preferred = self.context.shard_map.controllers[shard]
        preferred_healthy = (
            preferred_stable
            and self.preferred_key_versions[shard] > 0
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
        """Acquire a shard that the store lists as held by this controller but that it doesn't hold.

        `version` is the version of the shard's key.
        """
        value, _ = self.context.store_cache.entries[shard_key(shard)]
        own_lease = claimed_with_lease(value, self.controller_lease.lease_id)
        if own_lease and version > self.epochs.get(shard, 0):
            # This process made the claim but lost the store's answer, so nobody has held this epoch
            # yet. A second claim could lose its answer too, and agents would wait longer
            self._on_claimed(shard, version)
        else:
            # The claim is that of an earlier process, or this process has released the shard
            await self._claim(shard, version)

    async def _claim_if_due(self, shard: int, now: float) -> None:
        """Claim a shard that has had no holder for at least this controller's claim delay."""
        since = self.unheld_since.setdefault(shard, now)
        if now - since >= self._claim_delay(shard, now):
            await self._claim(shard, 0)

    def _claim_delay(self, shard: int, now: float) -> float:
        """Return the seconds a shard must be without a holder before this controller claims it."""
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
        if self.preferred_key_versions[shard]:
            delay_s += PREFERRED_ALIVE_DELAY_S
        if self.agent_commands.all_shards_unreachable(now):
            delay_s += UNREACHABLE_DELAY_S
        return delay_s

    def _should_acquire_from(self, holder: str, shard: int, now: float) -> bool:
        """Return whether to acquire a shard because its agents can't reach the holder."""
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
        """Try to claim a shard by compare-and-swap of its key.

        `version` is the version that the key must still have, 0 if there must be no key. A failed
        claim is not reported: a later round tries again.
        """
        key = shard_key(shard)
        value = shard_record(self.context.settings.name, self.controller_lease.lease_id)
        try:
            epoch, failed = await self.context.store.compare_and_swap(
                {key: version},
                {key: value},
                [],
                self.controller_lease.lease_id,
                frozenset({key}),
                urgent=True,
            )
        except (RequestRefusedError, OutcomeUnknownError):
            return
        if failed == [NO_SUCH_LEASE]:
            self.controller_lease.lease_id = None
        if failed:
            return
        self.context.store_cache.apply_own_write(key, value, epoch)
        self._on_claimed(shard, epoch)

    def _on_claimed(self, shard: int, epoch: int) -> None:
        """Acquire a shard whose claim was committed.

        Only one owner may ever be created for an epoch: its fencing tokens and run numbers must
        not be issued twice.
        """
        self.unheld_since.pop(shard, None)
        self.epochs[shard] = epoch
        self.shard_roles.acquire(shard, epoch)

    async def _fail_back(self, held: HeldShard) -> None:
        """Release a shard and delete its key so that the preferred controller can claim it."""
        key = shard_key(held.shard)
        self.shard_roles.release(held.shard, "failback to preferred controller")
        # If the delete fails, the next round claims the shard again
        with contextlib.suppress(RequestRefusedError, OutcomeUnknownError):
            await self.context.store.compare_and_swap({key: held.epoch}, {}, [key], urgent=True)
