"""Detect machines that can't reach the holder of their shard although the holder keeps its lease.

A controller may lose contact with its machines, or with everything but the key-value store. Then
its lease stays alive, no other controller acquires its shard, and its agents' leases expire while
they are redirected to it. Any other controller that receives the agents' heartbeats may acquire the
shard: the write is a compare-and-swap, and the new epoch fences the old holder.
`controller.heartbeat_requests` records the heartbeats and asks whether to acquire the shard. No
I/O; times are seconds of the process's steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

RECENT_HEARTBEAT_S = 4.0  # the time for which an agent waits for an answer
# A machine whose heartbeats here span at least this time was redirected to the holder and returned
MIN_RETURN_S = 2.0
# An agent that tries two unresponsive controllers in between comes back after 10 s
MAX_HEARTBEAT_GAP_S = 12.0
REQUIRED_MACHINES = 2  # so that a single faulty agent cannot move a shard


class HeartbeatSeries(NamedTuple):
    """A series of heartbeats that a machine of another controller's shard has sent here."""

    first_at: float
    last_at: float
    served_by_holder: bool  # the shard's holder has answered the machine before


@dataclass(slots=True)
class OrphanedMachines:
    """The heartbeats that machines of other controllers' shards have sent to this controller."""

    heartbeat_series: dict[int, dict[str, HeartbeatSeries]] = field(default_factory=dict)

    def record(self, shard: int, machine: str, served_by_holder: bool, now: float) -> None:
        """Record a machine's heartbeat and whether the shard's holder has answered the machine."""
        machines = self.heartbeat_series.setdefault(shard, {})
        known = machines.get(machine)
        continues = known is not None and now - known.last_at < MAX_HEARTBEAT_GAP_S
        first_at = known.first_at if known is not None and continues else now
        machines[machine] = HeartbeatSeries(first_at, now, served_by_holder)

    def returned(self, shard: int, machine: str, now: float) -> bool:
        """Return whether a machine sent a heartbeat here lately, so was redirected and is back."""
        known = self.heartbeat_series.get(shard, {}).get(machine)
        return known is not None and now - known.last_at < MAX_HEARTBEAT_GAP_S

    def should_acquire(
        self,
        shard: int,
        holder_alive: bool,
        now: float,
        is_preferred: bool = False,
        holder_without_heartbeats: bool = False,
    ) -> bool:
        """Return whether to acquire a shard from its holder.

        `holder_alive`: whether the holder's messages arrive here. `is_preferred`: whether this
        controller is the shard's preferred one. `holder_without_heartbeats`: whether the holder
        reports that none of its agents sends heartbeats any more. If so, machines need not return
        first, since each one redirected to the holder would wait for 4 s while its lease runs out.

        Machines that the holder has never served may simply not have reached it yet, as after every
        boot and takeover. They count only at the preferred controller, and only while the holder's
        messages do not arrive there. If they counted elsewhere, two controllers would acquire the
        shard from each other in turn.
        """
        machines = self.heartbeat_series.get(shard)
        if not machines:
            return False
        recent = [
            series for series in machines.values() if now - series.last_at < RECENT_HEARTBEAT_S
        ]
        if not recent and all(
            now - series.last_at > MAX_HEARTBEAT_GAP_S for series in machines.values()
        ):
            del self.heartbeat_series[shard]
        served = [series for series in recent if series.served_by_holder]
        if holder_without_heartbeats and len(served) >= REQUIRED_MACHINES:
            return True
        # A recent heartbeat is not enough: a controller that restarts within a second would lose
        # its shard to machines that found its port closed once and are served by it again
        returned = [series for series in served if series.last_at - series.first_at >= MIN_RETURN_S]
        if len(returned) >= REQUIRED_MACHINES:
            return True
        counted = recent if is_preferred else served
        return not holder_alive and len(counted) >= REQUIRED_MACHINES
