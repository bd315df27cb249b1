"""Workers that can't reach the controller that holds their part, though it keeps its lease.

A controller may lose its workers, or everything but the state service: its lease stays alive, nobody
takes its shard over, and its workers' leases run out while they are sent back to it (seen on kazi-bodi,
hunt-13e3-7). Or a survivor beyond a cut takes a crashed controller's shard in the moment before that one is
back, and can't reach a single worker of it (kazi-bodi-grown rough, 204 s: 179 tasks killed by their lease).
Whoever the workers come to instead may take the shard: the write is guarded, the epoch fences.
"""

from __future__ import annotations

from dataclasses import dataclass, field

RECENT_S = 4.0  # a worker's own timeout
BACK_S = 2.0  # sent to the holder, and here again after at least this
FORGET_S = 12.0  # a worker that tries two silent controllers in between is back after 10 s


@dataclass(slots=True)
class Stranded:
    """Which machines of other controllers' parts came here, and since when they keep coming."""

    seen: dict[int, dict[str, tuple[float, float, bool]]] = field(default_factory=dict)

    def note(self, part: int, machine: str, served: bool, now: float) -> None:
        """A machine reports here instead; `served`: the holder has answered it before."""
        at = self.seen.setdefault(part, {})
        first, last, _ = at.get(machine, (now, now, served))
        at[machine] = (first if now - last < FORGET_S else now, now, served)

    def back(self, part: int, machine: str, now: float) -> bool:
        """Whether a machine has been here a moment ago: it was sent to the holder, and is back."""
        return machine in (at := self.seen.get(part, {})) and now - at[machine][1] < FORGET_S

    def should_take(
        self, part: int, holder_heard: bool, now: float, home: bool = False, quiet: bool = False
    ) -> bool:
        """Two machines, so that one odd worker moves nothing; longer proof while the holder can be heard.

        A holder that says itself that none of its workers reports any more (`quiet`) needs no longer proof: sent back
        to it, each hung there for 4 s, and the leases of 85 tasks ran out (kazi-bodi-ops operations, workers cut off).

        Machines that the holder has never served may just be on their way to it, as after every takeover and
        every boot: these count only at the part's own home, and only while the holder is silent. (Counting them
        once they came a second time made two controllers take one shard from each other fifty times a second.)
        """
        at = self.seen.get(part)
        if not at:
            return False
        recent = [
            (last - first, served) for first, last, served in at.values() if now - last < RECENT_S
        ]
        if not recent and all(now - last > FORGET_S for _, last, _ in at.values()):
            del self.seen[part]
        # come here again, not merely seen here some time ago: a controller that was back within a second lost its part to two workers
        # that had met its closed port once and were long served by it again
        back = sum(1 for over, served in recent if served and over >= BACK_S)
        if quiet and sum(1 for _, served in recent if served) >= 2:
            return True
        return back >= 2 or (
            not holder_heard and sum(1 for _, served in recent if served or home) >= 2
        )
