"""Faults of the bench, with their offsets in a schedule; faults drawn for one site.

Draws are made in a fixed order: a seed must give the same day in every release.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from scripts.custom_days.site_files import Site, job_class, machine_count, zone_names

# How a cut connection looks to its ends
CUT_MODES = ("hold", "reset")
CONTROLLER_CUT_MODES = ("refuse", "hold", "reset")
# A fault that lies behind a whole scenario
SCENARIO_BACKGROUND_S = 120.0


@dataclass(frozen=True)
class Fault:
    """A fault as the bench injects it: its kind, and the kind's own parameters."""

    kind: str
    parameters: dict[str, Any]

    @property
    def duration_s(self) -> float:
        """How long it lasts; 0 for a fault of a moment."""
        return float(self.parameters.get("for_s", 0.0))

    def to_toml(self, at_s: float) -> dict[str, Any]:
        """The fault at a time of the day, as a day of a site file lists it."""
        return {"at_s": at_s, "kind": self.kind, **self.parameters}


def fault(kind: str, **parameters: Any) -> Fault:
    """A fault with its parameters."""
    return Fault(kind, parameters)


@dataclass(frozen=True)
class ScheduledFault:
    """A fault, and the seconds from the begin of its schedule."""

    offset_s: float
    fault: Fault

    @property
    def end_s(self) -> float:
        """When it is over, in seconds from the begin of the schedule."""
        return self.offset_s + self.fault.duration_s


FaultSchedule = list[ScheduledFault]


def after(offset_s: float, injected: Fault) -> ScheduledFault:
    """A fault so many seconds after the begin of its schedule."""
    return ScheduledFault(offset_s, injected)


def duration_s(schedule: FaultSchedule) -> float:
    """How long a schedule lasts, until its last fault is over."""
    return max(scheduled.end_s for scheduled in schedule)


class FaultSampler:
    """Faults for one site, with parameters drawn at random."""

    def __init__(self, site: Site, rng: Random, zones: Sequence[str] = ()) -> None:
        """`zones`: those to draw from, all by default; one listed twice is drawn twice as often."""
        self.rng = rng
        self.controller_count: int = site["nodes"]["count"]
        self.lease_s: float = site["workers"]["lease_s"]
        self.cancel_s: float = site["workers"]["cancel_s"]
        self.machine_count = machine_count(site)
        self.zones = zones or zone_names(site)

    def some_machines(self) -> dict[str, Any]:
        """Which machines a fault meets: a share, a number, or those of a zone."""
        return self.rng.choice(
            [
                {"share": 0.15},
                {"count": max(1, self.machine_count // 10)},
                {"zone": self.rng.choice(self.zones)},
            ]
        )

    def message_share(self) -> float:
        """The share of transactions or of heartbeats that a fault meets."""
        return self.rng.choice([0.1, 0.3, 0.6])

    def late_writes(self, seconds: float = 30.0, at_once: bool = False) -> Fault:
        """Transactions without an answer, applied 2 to 12 s later, or at once."""
        more = {"at_once": True} if at_once else {}
        return fault("late_writes", share=self.message_share(), for_s=seconds, **more)

    def late_heartbeats(self, seconds: float = 30.0, for_next_leader: bool = False) -> Fault:
        """Copies of heartbeats, from 2 s to over a lease later, or kept for the next leader."""
        more = {"for_next": True} if for_next_leader else {}
        return fault("late_reports", share=self.message_share(), for_s=seconds, **more)

    def machines_not_receiving(self) -> Fault:
        """Machines whose heartbeats arrive and that receive nothing."""
        seconds = self.rng.choice([0.7, 1.5, 3.0]) * self.lease_s
        return fault("machine_deaf", for_s=seconds, **self.some_machines())

    def machines_not_sending(self) -> Fault:
        """Machines that reach no controller, while direct commands reach them."""
        seconds = self.rng.choice([0.7, 1.5, 3.0]) * self.lease_s
        return fault("machine_mute", for_s=seconds, **self.some_machines())

    def machine_hang(self) -> Fault:
        """Machines that hang, for less than a lease or longer."""
        count = max(1, self.machine_count // 12)
        return fault(
            "machine_hang", count=count, for_s=self.rng.choice([0.5, 0.9, 2.0]) * self.lease_s
        )

    def controller_crash(self, count: int = 0) -> Fault:
        """One, two or all controllers end, or as many as given."""
        crashed = count or self.rng.choice([1, 1, 2, self.controller_count])
        return fault("node_crash", count=crashed, busiest=self.rng.random() < 0.7)

    def controller_freeze(self) -> Fault:
        """A controller's process is stopped for a while."""
        busiest = self.rng.random() < 0.8
        return fault(
            "node_freeze", count=1, busiest=busiest, for_s=self.rng.choice([3.0, 12.0, 22.0])
        )

    def controller_cut(self, seconds: float, *modes: str, **lost: bool) -> Fault:
        """One controller loses the given connections (`from_state`, `from_peers`, ...)."""
        mode = self.rng.choice(modes or CONTROLLER_CUT_MODES)
        busiest = self.rng.random() < 0.8
        return fault("node_cut", count=1, busiest=busiest, mode=mode, for_s=seconds, **lost)

    def isolated_leader(self, seconds: float = 0.0) -> Fault:
        """A controller without store and peers, that its agents and users reach."""
        lasts = seconds or self.rng.choice([8.0, 20.0, 40.0])
        return self.controller_cut(lasts, *CUT_MODES, from_state=True, from_peers=True)

    def store_outage(self, seconds: float = 0.0) -> Fault:
        """The key-value store refuses everybody."""
        return fault("state_outage", for_s=seconds or self.rng.choice([5.0, 15.0, 30.0]))

    def cancellations(self, hang: bool = False) -> Fault:
        """Users cancel running jobs; with `hang`, some of their machines hang."""
        more = {"hang_s": self.rng.choice([0.5, 0.9, 2.0]) * self.lease_s} if hang else {}
        return fault("cancel_now", count=self.rng.choice([6, 12, 24]), **more)

    def cancellations_at_exit(self, seconds: float = 40.0) -> Fault:
        """Users cancel jobs at the moment of their end."""
        return fault("cancel_at_end", share=self.rng.choice([0.3, 0.8]), for_s=seconds)

    def concurrent_reads(self, seconds: float = 40.0) -> Fault:
        """Users ask all controllers about a job within milliseconds."""
        return fault("close_looks", for_s=seconds)

    def invalid_requests(self, seconds: float = 60.0) -> Fault:
        """Repeated, late and impossible requests."""
        return fault("odd_requests", for_s=seconds)

    def zone_cut(self, seconds: float, *modes: str) -> Fault:
        """A zone is cut off, with its agents and controllers."""
        zone = self.rng.choice(self.zones)
        return fault("zone_cut", zone=zone, for_s=seconds, mode=self.rng.choice(modes or CUT_MODES))

    def machine_loss(self) -> Fault:
        """Machines are gone without notice."""
        return fault("machine_die", count=max(1, self.machine_count // 15))

    def rolling_restart(self, interval_s: float = 0.0) -> Fault:
        """One controller after the other ends."""
        return fault("node_roll", every_s=interval_s or self.rng.choice([2.0, 10.0]))


class JobFaultSampler(FaultSampler):
    """A sampler for sites with array jobs and services, with faults of their arrivals too."""

    def __init__(self, site: Site, rng: Random) -> None:
        super().__init__(site, rng)
        self.array_class: str = job_class(site, "array")["name"]
        self.service_class: str = job_class(site, "service")["name"]

    def arrival_burst(self, class_name: str) -> Fault:
        """Three times the arrivals of a class."""
        return fault("job_burst", **{"class": class_name}, factor=3.0, for_s=40.0)

    def slow_controllers(self) -> Fault:
        """The two busiest controllers need three times as long for everything."""
        return fault("node_slow", count=2, busiest=True, factor=3.0, for_s=40.0)
