"""Claims and releases the autoscaler role, which one controller of the fleet holds.

The role is a key in the key-value store, attached to the controller's lease. A controller that
claims it creates the autoscaler. `autoscaling_loop` checks the role before every step.
"""

from __future__ import annotations

from collections.abc import Callable

from ploverhall import log
from ploverhall.autoscaling.autoscaler import Autoscaler
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.routing import Routing
from ploverhall.coordination import state_channel
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.protocol import peer_messages
from ploverhall.storage.schema import AUTOSCALER_KEY, autoscaler_record

# A role without a holder is claimed after CLAIM_DELAY_S, plus CLAIM_DELAY_STEP_S for each
# controller that comes earlier in the claim order
CLAIM_DELAY_S = 0.1
CLAIM_DELAY_STEP_S = 0.5
# Kinds of state channels on which the autoscaler receives
AUTOSCALER_CHANNEL_KINDS = (peer_messages.SOURCE_TO_AUTOSCALER, peer_messages.OWNER_TO_AUTOSCALER)


class AutoscalerRole:
    """Tracks whether this controller holds the autoscaler role, and claims it when due."""

    def __init__(
        self,
        context: ControllerContext,
        routing: Routing,
        current_lease: Callable[[], int | None],
    ) -> None:
        """Start without the role.

        `current_lease`: returns the id of this controller's lease, or None if it has none.
        """
        self.context = context
        self.routing = routing
        self.current_lease = current_lease
        # When the role was first seen without a holder (context's clock, in seconds); 0: it has one
        self.unheld_since = 0.0

    def keep_if_current(self) -> bool:
        """Give up the role if the store shows a later claim; return whether it is still held."""
        _, version = self.context.store_cache.autoscaler()
        if self.context.autoscaler is not None and version > self.context.autoscaler.epoch:
            self.context.autoscaler = None
        return self.context.autoscaler is not None

    async def claim_if_due(self, now: float) -> bool:
        """Claim the role if a claim is due; return whether it was acquired.

        Must be called only while this controller doesn't hold the role.
        """
        self.context.outbound.drop(
            (peer_messages.AUTOSCALER_TO_OWNER,), state_channel.AUTOSCALER_ENDPOINT
        )
        holder, version = self.context.store_cache.autoscaler()
        return self._claim_due(holder, version, now) and await self._claim(version, now)

    def _claim_due(self, holder: str | None, version: int, now: float) -> bool:
        """Return whether to claim the role now; the delay staggers the controllers' claims."""
        if holder is None:
            self.unheld_since = self.unheld_since or now
            controller_count = len(self.context.shard_map.controllers)
            position = (self.context.controller_index + version) % controller_count
            return now - self.unheld_since >= CLAIM_DELAY_S + CLAIM_DELAY_STEP_S * position
        if holder != self.context.settings.name:
            self.unheld_since = 0.0
            return False
        return True  # the holder is an earlier process of this controller

    async def _claim(self, version: int, now: float) -> bool:
        """Try to claim the role by compare-and-swap of its key; return whether it was acquired.

        `version` is the version that the key must still have.
        """
        value = autoscaler_record(self.context.settings.name)
        try:
            epoch, failed = await self.context.store.compare_and_swap(
                {AUTOSCALER_KEY: version},
                {AUTOSCALER_KEY: value},
                [],
                self.current_lease(),
                frozenset({AUTOSCALER_KEY}),
                urgent=True,
            )
        except (RequestRefusedError, OutcomeUnknownError):
            return False
        if failed:
            return False
        self.context.store_cache.apply_own_write(AUTOSCALER_KEY, value, epoch)
        self.context.autoscaler = self._new_autoscaler(epoch, now)
        self.unheld_since = 0.0
        log.info("autoscaler acquired", epoch=epoch)
        self.routing.update_routes()
        self.routing.replay(state_channel.AUTOSCALER_ENDPOINT, AUTOSCALER_CHANNEL_KINDS)
        self.context.wake_scheduling()
        return True

    def _new_autoscaler(self, epoch: int, now: float) -> Autoscaler:
        """Return a new autoscaler with the stored machine types and the live jobs."""
        settings = self.context.settings
        autoscaler = Autoscaler(
            epoch,
            settings.options.idle_return_s,
            settings.options.spare,
            settings.list_lag_s,
            settings.lease_s,
            now,
        )
        autoscaler.machine_types = self.context.machine_types or {}
        autoscaler.objectives = self.context.objectives
        for job, _ in self.context.store_cache.live_jobs.values():
            age_s = max(0.0, self.context.wall_clock() - job.submitted_at)
            autoscaler.on_job(job, now - age_s)
        return autoscaler
