"""When a shard goes back to its home: late enough, and ever later for a home that comes and goes.

Six partial cuts moved a third of the fleet 17 to 19 times: whoever lost a link lost its part, got it back 6 s later, and lost
it again. Every move stops what places and permits in that part for a moment.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LOSS_WINDOW_S = 180.0
MAX_FAILBACK_DELAY_S = 90.0


@dataclass
class FailbackBackoff:
    """What each shard has been through lately."""

    base_delay_s: float
    losses: dict[int, list[float]] = field(default_factory=dict)  # per shard: when its home lost it
    # Since when its home has been well
    healthy_since: dict[int, float] = field(default_factory=dict)

    def record_loss(self, shard: int, now: float) -> None:
        """A shard has gone from its home to another."""
        recent_losses = [at for at in self.losses.get(shard, []) if now - at < LOSS_WINDOW_S]
        self.losses[shard] = [*recent_losses, now]

    def delay_s(self, shard: int, now: float) -> float:
        """Seconds for which the home must have been well: the first time as set, twice as long for every further loss."""
        loss_count = sum(1 for at in self.losses.get(shard, ()) if now - at < LOSS_WINDOW_S)
        return max(
            self.base_delay_s,
            min(MAX_FAILBACK_DELAY_S, self.base_delay_s * 2.0 ** max(0, loss_count - 1)),
        )

    def should_fail_back(self, shard: int, healthy: bool, now: float) -> bool:
        """How the home of a shard held here is; True when it should get it back."""
        if not healthy:
            self.healthy_since.pop(shard, None)
            return False
        return now - self.healthy_since.setdefault(shard, now) > self.delay_s(shard, now)
