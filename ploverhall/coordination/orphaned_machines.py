"""Workers that can't reach the controller that holds their part, though it keeps its lease.

A controller may lose its workers, or everything but the state service: its lease stays alive, nobody
takes its shard over, and its workers' leases run out while they are sent back to it (seen on kazi-bodi,
hunt-13e3-7). Or a survivor beyond a cut takes a crashed controller's shard in the moment before that one is
back, and can't reach a single worker of it (kazi-bodi-grown rough, 204 s: 179 tasks killed by their lease).
Whoever the workers come to instead may take the shard: the write is guarded, the epoch fences.
"""

from __future__ import annotations

from dataclasses import dataclass, field

RECENT_SIGHTING_S = 4.0  # a worker's own timeout
RETURNED_AFTER_S = 2.0  # sent to the holder, and here again after at least this
FORGET_SIGHTING_S = 12.0  # a worker that tries two silent controllers in between is back after 10 s


@dataclass(slots=True)
class OrphanedMachines:
    """Which machines of other controllers' parts came here, and since when they keep coming."""

    sightings: dict[int, dict[str, tuple[float, float, bool]]] = field(default_factory=dict)

    def record(self, shard: int, machine: str, served_by_holder: bool, now: float) -> None:
        """A machine reports here instead; `served`: the holder has answered it before."""
        machines = self.sightings.setdefault(shard, {})
        first, last, _ = machines.get(machine, (now, now, served_by_holder))
        machines[machine] = (
            first if now - last < FORGET_SIGHTING_S else now,
            now,
            served_by_holder,
        )

    def returned(self, shard: int, machine: str, now: float) -> bool:
        """Whether a machine has been here a moment ago: it was sent to the holder, and is back."""
        return (
            machine in (machines := self.sightings.get(shard, {}))
            and now - machines[machine][1] < FORGET_SIGHTING_S
        )

    def should_acquire(
        self,
        shard: int,
        holder_heard: bool,
        now: float,
        is_preferred: bool = False,
        holder_without_heartbeats: bool = False,
    ) -> bool:
        """Two machines, so that one odd worker moves nothing; longer proof while the holder can be heard.

        A holder that says itself that none of its workers reports any more (`quiet`) needs no longer proof: sent back
        to it, each hung there for 4 s, and the leases of 85 tasks ran out (kazi-bodi-ops operations, workers cut off).

        Machines that the holder has never served may just be on their way to it, as after every takeover and
        every boot: these count only at the part's own home, and only while the holder is silent. (Counting them
        once they came a second time made two controllers take one shard from each other fifty times a second.)
        """
        machines = self.sightings.get(shard)
        if not machines:
            return False
        recent = [
            (last - first, served)
            for first, last, served in machines.values()
            if now - last < RECENT_SIGHTING_S
        ]
        if not recent and all(now - last > FORGET_SIGHTING_S for _, last, _ in machines.values()):
            del self.sightings[shard]
        # come here again, not merely seen here some time ago: a controller that was back within a second lost its part to two workers
        # that had met its closed port once and were long served by it again
        returned_machines = sum(1 for over, served in recent if served and over >= RETURNED_AFTER_S)
        if holder_without_heartbeats and sum(1 for _, served in recent if served) >= 2:
            return True
        return returned_machines >= 2 or (
            not holder_heard and sum(1 for _, served in recent if served or is_preferred) >= 2
        )
