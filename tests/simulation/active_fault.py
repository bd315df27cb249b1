"""The kinds of faults that a schedule may have, by the names that the command line and the seeds know."""

from __future__ import annotations

from .agent_faults import AgentFaults
from .controller_faults import ControllerFaults
from .store_faults import StoreFaults

CANCELS = "cancels"  # users cancel: beside every fault
# The order matters to what is drawn
KINDS = (
    "refuse",
    "outage",
    "slow",
    "late_writes",
    "late_reports",
    "deaf",
    "held_up",
    "crash",
    "roll",
    "pause",
    "alone",
    "no_workers",
    "peers",
    "gap",
    "zone",
    "for_next",
    "lost_answers",
    "cloud",
    "mute",
    "hang",
    "cancel_and_hang",
    "cancel_at_end",
    "close_looks",
    "odd_requests",
    "held_command",
    "new_machines",
)
MACHINE_KINDS = ("mute", "hang", "cancel_and_hang", "held_command", "for_next", "new_machines")


class ActiveFault(StoreFaults, AgentFaults, ControllerFaults):
    """A fault of any kind."""

    async def begin(self, kind: str) -> None:
        """Begin a fault of a kind; returns when it is over."""
        faults = {
            CANCELS: self.cancels,
            "refuse": self.refuse_one,
            "outage": self.outage,
            "slow": self.slow_store,
            "late_writes": self.late_writes,
            "late_reports": self.late_heartbeats,
            "deaf": self.not_receiving,
            "held_up": self.held_connections,
            "crash": self.crash,
            "roll": self.roll,
            "pause": self.stall,
            "alone": self.isolate,
            "no_workers": self.no_machines,
            "peers": self.refuse_peers,
            "gap": self.refused_then_outage,
            "zone": self.partition_zone,
            "for_next": self.heartbeats_for_next_leader,
            "lost_answers": self.lost_answers,
            "cloud": self.disturbed_cloud,
            "mute": self.not_connecting,
            "hang": self.hang,
            "cancel_and_hang": self.cancel_and_hang,
            "cancel_at_end": self.cancel_at_end,
            "close_looks": self.close_looks,
            "odd_requests": self.odd_requests,
            "held_command": self.held_commands,
            "new_machines": self.new_machines,
        }
        await faults[kind]()
