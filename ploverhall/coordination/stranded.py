"""Workers that can't reach the controller that holds their part, though it keeps its lease.

A controller may lose its workers, or everything but the state service: its lease stays alive, nobody
takes its shard over, and its workers' leases run out while they are sent back to it (seen on kazi-bodi,
hunt-13e3-7). Whoever they come to instead may take the shard: the write is guarded, the epoch fences.
"""

from __future__ import annotations

from dataclasses import dataclass, field

RECENT_S = 4.0  # a worker's own timeout
BACK_S = 2.0  # sent to the holder, and here again after at least this
FORGET_S = 9.0


@dataclass(slots=True)
class Stranded:
    """Which machines of other controllers' parts came here, and since when they keep coming."""

    seen: dict[int, dict[str, tuple[float, float]]] = field(default_factory=dict)

    def note(self, part: int, machine: str, now: float) -> None:
        """A machine that the holder has served reports here instead."""
        at = self.seen.setdefault(part, {})
        first, last = at.get(machine, (now, now))
        at[machine] = (first if now - last < FORGET_S else now, now)

    def should_take(self, part: int, holder_heard: bool, now: float) -> bool:
        """Two machines, so that one odd worker moves nothing; longer proof while the holder can be heard."""
        at = self.seen.get(part)
        if not at:
            return False
        recent = [first for first, last in at.values() if now - last < RECENT_S]
        if not recent and all(now - last > FORGET_S for _, last in at.values()):
            del self.seen[part]
        back = [first for first in recent if now - first >= BACK_S]
        return len(back) >= 2 or (not holder_heard and len(recent) >= 2)
