"""Holds the autoscaler's role, which exists once for the whole fleet, by the controller's lease.

Claims the role in the key-value store where nobody holds it, and makes the autoscaler then.
`autoscaling_loop` asks it before every step.
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

CLAIM_DELAY_S = 0.1  # a role without holder is claimed after this, and a step per controller
CLAIM_DELAY_STEP_S = 0.5
# Kinds of state channels that the autoscaler receives
AUTOSCALER_CHANNEL_KINDS = (peer_messages.SOURCE_TO_AUTOSCALER, peer_messages.OWNER_TO_AUTOSCALER)


class AutoscalerRole:
    """The autoscaler's role: whether this controller holds it, and when to claim it."""

    def __init__(
        self,
        context: ControllerContext,
        routing: Routing,
        current_lease: Callable[[], int | None],
    ) -> None:
        """`current_lease`: id of this controller's lease, None while it has none."""
        self.context = context
        self.routing = routing
        self.current_lease = current_lease
        self.unheld_since = 0.0

    def keep(self) -> bool:
        """Give the role up if the store shows a later holder; return whether it is held here."""
        _, version = self.context.store_cache.autoscaler()
        if self.context.autoscaler is not None and version > self.context.autoscaler.epoch:
            self.context.autoscaler = None
        return self.context.autoscaler is not None

    async def claim_if_due(self, now: float) -> bool:
        """Claim the role, which is not held here, if it is due; return whether it was acquired."""
        self.context.outbound.drop(
            (peer_messages.AUTOSCALER_TO_OWNER,), state_channel.AUTOSCALER_ENDPOINT
        )
        holder, version = self.context.store_cache.autoscaler()
        return self._claim_due(holder, version, now) and await self._claim(version, now)

    def _claim_due(self, holder: str | None, version: int, now: float) -> bool:
        """Return whether to claim the role now; the delay spreads the controllers' claims."""
        if holder is None:
            self.unheld_since = self.unheld_since or now
            controller_count = len(self.context.shard_map.controllers)
            position = (self.context.controller_index + version) % controller_count
            return now - self.unheld_since >= CLAIM_DELAY_S + CLAIM_DELAY_STEP_S * position
        if holder != self.context.settings.name:
            self.unheld_since = 0.0
            return False
        return True  # claimed by an earlier process

    async def _claim(self, version: int, now: float) -> bool:
        """Try to acquire the role whose key has this version; return whether it was acquired."""
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
        """Return an autoscaler that knows the machine types and the live jobs."""
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
