"""Faults of the bench with their offsets in a schedule, and random faults for a site.

Random values are drawn in a fixed order: a seed must give the same day in every release.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from scripts.custom_days.site_files import Site, job_class, machine_count, zone_names

# How a cut connection behaves at both of its ends
CUT_MODES = ("hold", "reset")
CONTROLLER_CUT_MODES = ("refuse", "hold", "reset")
# Duration of a fault that lasts for a whole scenario
SCENARIO_BACKGROUND_S = 120.0


@dataclass(frozen=True)
class Fault:
    """A fault that the bench injects: its kind and the parameters of that kind."""

    kind: str
    parameters: dict[str, Any]

    @property
    def duration_s(self) -> float:
        """Return how long the fault lasts; 0 for an instantaneous fault."""
        return float(self.parameters.get("for_s", 0.0))

    def to_toml(self, at_s: float) -> dict[str, Any]:
        """Return the fault, starting at a time of the day, as a day of a site file lists it."""
        return {"at_s": at_s, "kind": self.kind, **self.parameters}


def fault(kind: str, **parameters: Any) -> Fault:
    """Create a fault of a kind with the given parameters."""
    return Fault(kind, parameters)


@dataclass(frozen=True)
class ScheduledFault:
    """A fault and its offset in seconds from the start of its schedule."""

    offset_s: float
    fault: Fault

    @property
    def end_s(self) -> float:
        """Return when the fault ends, in seconds from the start of the schedule."""
        return self.offset_s + self.fault.duration_s


FaultSchedule = list[ScheduledFault]


def after(offset_s: float, injected: Fault) -> ScheduledFault:
    """Schedule a fault to begin this many seconds after the start of its schedule."""
    return ScheduledFault(offset_s, injected)


def duration_s(schedule: FaultSchedule) -> float:
    """Return the duration of a schedule, up to the end of its last fault."""
    return max(scheduled.end_s for scheduled in schedule)


class FaultSampler:
    """Draws faults for one site with random parameters."""

    def __init__(self, site: Site, rng: Random, zones: Sequence[str] = ()) -> None:
        """Create a sampler.

        `zones` are the zones to draw from, by default all zones of the site; a zone that is listed
        twice is drawn twice as often.
        """
        self.rng = rng
        self.controller_count: int = site["nodes"]["count"]
        self.lease_s: float = site["workers"]["lease_s"]
        self.cancel_s: float = site["workers"]["cancel_s"]
        self.machine_count = machine_count(site)
        self.zones = zones or zone_names(site)

    def some_machines(self) -> dict[str, Any]:
        """Choose the machines that a fault affects: a share, a number, or those of a zone."""
        return self.rng.choice(
            [
                {"share": 0.15},
                {"count": max(1, self.machine_count // 10)},
                {"zone": self.rng.choice(self.zones)},
            ]
        )

    def message_share(self) -> float:
        """Draw the share of transactions or of heartbeats that a fault affects."""
        return self.rng.choice([0.1, 0.3, 0.6])

    def late_writes(self, seconds: float = 30.0, at_once: bool = False) -> Fault:
        """Delay transactions without answering them.

        They are applied 2 to 12 s later, or with `at_once` immediately.
        """
        more = {"at_once": True} if at_once else {}
        return fault("late_writes", share=self.message_share(), for_s=seconds, **more)

    def late_heartbeats(self, seconds: float = 30.0, for_next_leader: bool = False) -> Fault:
        """Deliver copies of heartbeats late.

        They arrive from 2 s to more than a lease later, or with `for_next_leader` are held back for
        the next leader.
        """
        more = {"for_next": True} if for_next_leader else {}
        return fault("late_reports", share=self.message_share(), for_s=seconds, **more)

    def machines_not_receiving(self) -> Fault:
        """Let machines send heartbeats that arrive, but receive nothing."""
        seconds = self.rng.choice([0.7, 1.5, 3.0]) * self.lease_s
        return fault("machine_deaf", for_s=seconds, **self.some_machines())

    def machines_not_sending(self) -> Fault:
        """Stop machines from reaching any controller; direct commands still reach them."""
        seconds = self.rng.choice([0.7, 1.5, 3.0]) * self.lease_s
        return fault("machine_mute", for_s=seconds, **self.some_machines())

    def machine_hang(self) -> Fault:
        """Let machines hang, for less than a lease or longer."""
        count = max(1, self.machine_count // 12)
        return fault(
            "machine_hang", count=count, for_s=self.rng.choice([0.5, 0.9, 2.0]) * self.lease_s
        )

    def controller_crash(self, count: int = 0) -> Fault:
        """Crash one, two or all controllers, or `count` of them if it is given."""
        crashed = count or self.rng.choice([1, 1, 2, self.controller_count])
        return fault("node_crash", count=crashed, busiest=self.rng.random() < 0.7)

    def controller_freeze(self) -> Fault:
        """Suspend a controller's process for a while."""
        busiest = self.rng.random() < 0.8
        return fault(
            "node_freeze", count=1, busiest=busiest, for_s=self.rng.choice([3.0, 12.0, 22.0])
        )

    def controller_cut(self, seconds: float, *modes: str, **lost: bool) -> Fault:
        """Cut the given connections of one controller (`from_state`, `from_peers`, ...)."""
        mode = self.rng.choice(modes or CONTROLLER_CUT_MODES)
        busiest = self.rng.random() < 0.8
        return fault("node_cut", count=1, busiest=busiest, mode=mode, for_s=seconds, **lost)

    def isolated_leader(self, seconds: float = 0.0) -> Fault:
        """Cut a controller from store and peers; its agents and users still reach it."""
        lasts = seconds or self.rng.choice([8.0, 20.0, 40.0])
        return self.controller_cut(lasts, *CUT_MODES, from_state=True, from_peers=True)

    def store_outage(self, seconds: float = 0.0) -> Fault:
        """Let the key-value store refuse all requests."""
        return fault("state_outage", for_s=seconds or self.rng.choice([5.0, 15.0, 30.0]))

    def cancellations(self, hang: bool = False) -> Fault:
        """Let users cancel running jobs; with `hang`, some of their machines hang."""
        more = {"hang_s": self.rng.choice([0.5, 0.9, 2.0]) * self.lease_s} if hang else {}
        return fault("cancel_now", count=self.rng.choice([6, 12, 24]), **more)

    def cancellations_at_exit(self, seconds: float = 40.0) -> Fault:
        """Let users cancel jobs at the moment when they end."""
        return fault("cancel_at_end", share=self.rng.choice([0.3, 0.8]), for_s=seconds)

    def concurrent_reads(self, seconds: float = 40.0) -> Fault:
        """Let users ask all controllers about the same job within milliseconds."""
        return fault("close_looks", for_s=seconds)

    def invalid_requests(self, seconds: float = 60.0) -> Fault:
        """Send repeated, late and impossible requests."""
        return fault("odd_requests", for_s=seconds)

    def zone_cut(self, seconds: float, *modes: str) -> Fault:
        """Cut off a zone with its agents and controllers."""
        zone = self.rng.choice(self.zones)
        return fault("zone_cut", zone=zone, for_s=seconds, mode=self.rng.choice(modes or CUT_MODES))

    def machine_loss(self) -> Fault:
        """Remove machines without notice."""
        return fault("machine_die", count=max(1, self.machine_count // 15))

    def rolling_restart(self, interval_s: float = 0.0) -> Fault:
        """Restart the controllers one after the other."""
        return fault("node_roll", every_s=interval_s or self.rng.choice([2.0, 10.0]))


class JobFaultSampler(FaultSampler):
    """A sampler for sites with array jobs and services that also draws arrival faults."""

    def __init__(self, site: Site, rng: Random) -> None:
        super().__init__(site, rng)
        self.array_class: str = job_class(site, "array")["name"]
        self.service_class: str = job_class(site, "service")["name"]

    def arrival_burst(self, class_name: str) -> Fault:
        """Triple the arrivals of a class."""
        return fault("job_burst", **{"class": class_name}, factor=3.0, for_s=40.0)

    def slow_controllers(self) -> Fault:
        """Slow down the two busiest controllers by a factor of three."""
        return fault("node_slow", count=2, busiest=True, factor=3.0, for_s=40.0)
