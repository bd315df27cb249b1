"""The kinds of faults in a schedule.

Their names are those of the command line, and the draws of each seed depend on them.
"""

from __future__ import annotations

from .agent_faults import AgentFaults
from .controller_faults import ControllerFaults
from .store_faults import StoreFaults

CANCELS = "cancels"  # users cancel jobs; drawn in addition to every other fault
# Commands that were answered arrive again; in every drawn schedule, from its beginning to its end
COPIED_COMMANDS = "copied_commands"
# The order determines what each seed draws
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
        """Begin a fault of the given kind; returns when it is over."""
        faults = {
            CANCELS: self.cancels,
            "refuse": self.refuse_controller,
            "outage": self.outage,
            "slow": self.slow_store,
            "late_writes": self.late_writes,
            "late_reports": self.late_heartbeats,
            "deaf": self.block_deliveries,
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
            "mute": self.block_connections,
            "hang": self.hang,
            "cancel_and_hang": self.cancel_and_hang,
            "cancel_at_end": self.cancel_at_end,
            "close_looks": self.poll_changed_jobs,
            "odd_requests": self.invalid_requests,
            "held_command": self.held_commands,
            "new_machines": self.new_machines,
            COPIED_COMMANDS: self.copied_commands,
        }
        await faults[kind]()
