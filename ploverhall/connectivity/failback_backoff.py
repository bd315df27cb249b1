"""Decide when a shard fails back to its preferred controller, with backoff after recent losses.

Without the backoff, a controller with a flapping link loses its shard and gets it back over and
over, and every move interrupts scheduling in that shard. Used by `controller.shard_claims`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LOSS_WINDOW_S = 180.0  # older losses no longer count
MAX_FAILBACK_DELAY_S = 90.0


@dataclass
class FailbackBackoff:
    """Recent losses of shards by their preferred controllers."""

    base_delay_s: float
    losses: dict[int, list[float]] = field(default_factory=dict)  # times of losses by shard
    # By shard: the time since which its preferred controller has been healthy
    healthy_since: dict[int, float] = field(default_factory=dict)

    def record_loss(self, shard: int, now: float) -> None:
        """Record that a shard has moved from its preferred controller to another."""
        recent_losses = [at for at in self.losses.get(shard, []) if now - at < LOSS_WINDOW_S]
        self.losses[shard] = [*recent_losses, now]

    def delay_s(self, shard: int, now: float) -> float:
        """Return the seconds for which the preferred controller must be healthy before failback.

        The delay is `base_delay_s` after at most one recent loss and doubles with every further
        loss, up to `MAX_FAILBACK_DELAY_S` (or `base_delay_s`, if that is longer).
        """
        loss_count = sum(1 for at in self.losses.get(shard, ()) if now - at < LOSS_WINDOW_S)
        delay_s = self.base_delay_s * 2.0 ** max(0, loss_count - 1)
        return max(self.base_delay_s, min(MAX_FAILBACK_DELAY_S, delay_s))

    def should_fail_back(self, shard: int, healthy: bool, now: float) -> bool:
        """Record the health of the preferred controller; return whether to hand the shard back."""
        if not healthy:
            self.healthy_since.pop(shard, None)
            return False
        return now - self.healthy_since.setdefault(shard, now) > self.delay_s(shard, now)
