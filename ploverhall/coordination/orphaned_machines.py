"""Machines that can't reach the controller that holds their shard, though it keeps its lease.

A controller may lose its machines, or everything but the key-value store: its lease stays alive,
nobody acquires its shard, and the leases of its agents expire while they are redirected to it.
Whichever controller the agents come to instead may acquire the shard: the write is a
compare-and-swap, and the new epoch fences the old holder. `controller.heartbeat_requests` records
sightings and asks. No I/O; times are seconds of the process's steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

RECENT_SIGHTING_S = 4.0  # an agent's own timeout
RETURNED_AFTER_S = 2.0  # redirected to the holder, and here again after at least this
# An agent that tries two unresponsive controllers in between is back after 10 s
FORGET_SIGHTING_S = 12.0
REQUIRED_MACHINES = 2  # so that one faulty agent moves no shard


class Sighting(NamedTuple):
    """Since when and until when a machine has kept coming, and whether its holder has served it."""

    first_at: float
    last_at: float
    served_by_holder: bool


@dataclass(slots=True)
class OrphanedMachines:
    """Which machines of other controllers' shards came here, and since when they keep coming."""

    sightings: dict[int, dict[str, Sighting]] = field(default_factory=dict)

    def record(self, shard: int, machine: str, served_by_holder: bool, now: float) -> None:
        """Record a machine's heartbeat here, and whether the holder has answered it before."""
        machines = self.sightings.setdefault(shard, {})
        known = machines.get(machine)
        continues = known is not None and now - known.last_at < FORGET_SIGHTING_S
        first_at = known.first_at if known is not None and continues else now
        machines[machine] = Sighting(first_at, now, served_by_holder)

    def returned(self, shard: int, machine: str, now: float) -> bool:
        """Return whether a machine was here lately, so was redirected and is back."""
        known = self.sightings.get(shard, {}).get(machine)
        return known is not None and now - known.last_at < FORGET_SIGHTING_S

    def should_acquire(
        self,
        shard: int,
        holder_heard: bool,
        now: float,
        is_preferred: bool = False,
        holder_without_heartbeats: bool = False,
    ) -> bool:
        """Return whether to acquire a shard from its holder.

        `holder_heard`: the holder's messages arrive here; `is_preferred`: this controller is the
        shard's preferred one; `holder_without_heartbeats`: the holder says that none of its agents
        sends heartbeats any more. Then machines need not return first: redirected to it, each would
        wait for 4 s while its lease runs out.

        Machines that the holder has never served may just be on their way to it, as after every
        boot and takeover. They count only at the preferred controller, and only while the holder is
        not heard: counted elsewhere, they make two controllers acquire a shard from each other in
        turn.
        """
        machines = self.sightings.get(shard)
        if not machines:
            return False
        recent = [
            sighting for sighting in machines.values() if now - sighting.last_at < RECENT_SIGHTING_S
        ]
        if not recent and all(
            now - sighting.last_at > FORGET_SIGHTING_S for sighting in machines.values()
        ):
            del self.sightings[shard]
        served = [sighting for sighting in recent if sighting.served_by_holder]
        if holder_without_heartbeats and len(served) >= REQUIRED_MACHINES:
            return True
        # Returned, not merely seen lately: a controller that restarts within a second would lose
        # its shard to machines that met its closed port once and are served by it again
        returned = [
            sighting
            for sighting in served
            if sighting.last_at - sighting.first_at >= RETURNED_AFTER_S
        ]
        if len(returned) >= REQUIRED_MACHINES:
            return True
        counted = recent if is_preferred else served
        return not holder_heard and len(counted) >= REQUIRED_MACHINES
