"""When a shard goes back to its home: late enough, and ever later for a home that comes and goes.

Six partial cuts moved a third of the fleet 17 to 19 times: whoever lost a link lost its part, got it back 6 s later, and lost
it again. Every move stops what places and permits in that part for a moment.
"""

from __future__ import annotations

from dataclasses import dataclass, field

REMEMBER_S = 180.0
LONGEST_S = 90.0


@dataclass
class Moves:
    """What each shard has been through lately."""

    handback_s: float
    lost: dict[int, list[float]] = field(default_factory=dict)  # per shard: when its home lost it
    well: dict[int, float] = field(default_factory=dict)  # since when its home has been well

    def left(self, shard: int, now: float) -> None:
        """A shard has gone from its home to another."""
        times = [t for t in self.lost.get(shard, []) if now - t < REMEMBER_S]
        self.lost[shard] = [*times, now]

    def pause(self, shard: int, now: float) -> float:
        """Seconds for which the home must have been well: the first time as set, twice as long for every further loss."""
        times = sum(1 for t in self.lost.get(shard, ()) if now - t < REMEMBER_S)
        return max(self.handback_s, min(LONGEST_S, self.handback_s * 2.0 ** max(0, times - 1)))

    def home_is(self, shard: int, well: bool, now: float) -> bool:
        """How the home of a shard held here is; True when it should get it back."""
        if not well:
            self.well.pop(shard, None)
            return False
        return now - self.well.setdefault(shard, now) > self.pause(shard, now)
