"""Decides which shards this controller holds: claims, failover and failback.

A claim is attached to the controller's lease (`controller_lease`), so it ends with it. `controller`
runs `shard_loop`; `heartbeat_requests` records agents that can't reach a shard's holder.
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


class ShardClaims:
    """The shards that this controller claims, keeps and fails back."""

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
        # Times are of the context's clock, in seconds. The dicts are by shard
        self.unheld_since: dict[int, float] = {}
        self.preferred_versions: dict[int, int] = {}  # version of the preferred controller's key
        self.held_by_preferred: set[int] = set()  # shards, as of the last look
        self.acquired_from_live_at: dict[int, float] = {}  # when acquired from a live holder
        self.epochs: dict[int, int] = {}  # the newest epoch that this process has held

    async def shard_loop(self) -> None:
        """Claim, keep and fail back shards, one look at each per interval or wake-up."""
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
        key = controller_key(self.context.shard_map.controllers[shard])
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
        value, _ = self.context.store_cache.entries[shard_key(shard)]
        own_lease = claimed_with_lease(value, self.controller_lease.lease_id)
        if own_lease and version > self.epochs.get(shard, 0):
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
        """Hold a shard whose claim was committed.

        An epoch has one owner ever: its fencing tokens and runs must not be given out twice.
        """
        self.unheld_since.pop(shard, None)
        self.epochs[shard] = epoch
        self.shard_roles.acquire(shard, epoch)

    async def _fail_back(self, held: HeldShard) -> None:
        """Release a shard and delete its key, so that its preferred controller can claim it."""
        key = shard_key(held.shard)
        self.shard_roles.release(held.shard, "handed back")
        # If the key is still there, the next round claims the shard again
        with contextlib.suppress(RequestRefusedError, OutcomeUnknownError):
            await self.context.store.compare_and_swap({key: held.epoch}, {}, [key], urgent=True)
