"""Days with three fault scenarios each, on a site changed to one of six shapes.

Every day takes the next three of `SCENARIOS`, in an order drawn from the seed. All scenarios are
used before any is repeated, so each kind of fault occurs on every fourth day at least. Sometimes
one more fault is added to a scenario. The shapes are: many one-task jobs, teams at their limits,
jobs bound to a zone, machines that boot at once, small jobs, or a slow key-value store.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from scripts.custom_days.day import RESTART_DELAYS_S, Day, day_table
from scripts.custom_days.faults import FaultSchedule, JobFaultSampler, after, duration_s
from scripts.custom_days.scenarios import ADDITIONAL_FAULTS, SCENARIOS, Scenario
from scripts.custom_days.site_files import Site, job_class, load_site_without_days

SCENARIOS_A_DAY = 3
ADDITIONAL_FAULT_SHARE = 0.4
ADDITIONAL_FAULT_WITHIN_S = 8.0
LONGEST_SCENARIO_S = 80.0
# The rest of the day is left for waiting jobs and for the users' status requests
LAST_FAULT_SHARE = 0.8
FIRST_DAY_SEED = 3000
# Shares of requests or heartbeats that are slow or late, and the factor of the slowdown
SLOW_STORE = {"state_slow": 0.1, "state_slow_times": 60.0, "list_lag": 0.9, "report": 0.2}


@dataclass(frozen=True)
class DayFaults:
    """The faults of a day, sorted by time, and the names of its scenarios."""

    faults: list[dict[str, Any]]
    scenario_names: list[str]


@dataclass(frozen=True)
class DayShape:
    """The description of a changed site, and the keys of its day other than the faults."""

    description: str
    day_keys: dict[str, Any] = field(default_factory=dict)


def scenario_order(seed: int, index: int) -> list[Scenario]:
    """Return the scenarios of a day.

    They are the next three in a sequence of rounds, each of which has every scenario once.
    """
    scenarios = []
    first = SCENARIOS_A_DAY * index
    for number in range(first, first + SCENARIOS_A_DAY):
        round_number, place = divmod(number, len(SCENARIOS))
        order = Random(f"round {seed} {round_number}").sample(SCENARIOS, len(SCENARIOS))
        scenarios.append(order[place])
    return scenarios


def schedule_faults(site: Site, seed: int, index: int, rng: Random) -> DayFaults:
    """Return all faults of day number `index`, sorted by time."""
    sampler = JobFaultSampler(site, rng)
    warmup_s = site["warmup_s"]
    begin_s = warmup_s * rng.uniform(0.7, 1.0)
    last_s = LAST_FAULT_SHARE * site["duration_s"]
    faults: list[dict[str, Any]] = []
    names = []
    for scenario in scenario_order(seed, index):
        schedule = _sample_scenario(scenario, sampler)
        names.append(scenario.__name__)
        for scheduled in schedule:
            if begin_s + scheduled.offset_s < last_s:
                faults.append(scheduled.fault.to_toml(round(begin_s + scheduled.offset_s, 1)))
        begin_s += min(LONGEST_SCENARIO_S, duration_s(schedule)) + rng.uniform(8.0, 20.0)
        if begin_s >= last_s:
            # No time is left, so the next scenario overlaps an earlier one
            begin_s = warmup_s + (last_s - warmup_s) * rng.uniform(0.0, 0.8)
    return DayFaults(sorted(faults, key=lambda listed: listed["at_s"]), names)


def _sample_scenario(scenario: Scenario, sampler: JobFaultSampler) -> FaultSchedule:
    """Draw the faults of a scenario, sometimes with one additional fault."""
    schedule = scenario(sampler)
    rng = sampler.rng
    if rng.random() < ADDITIONAL_FAULT_SHARE:
        offset_s = ADDITIONAL_FAULT_WITHIN_S * rng.random()
        schedule.append(after(offset_s, rng.choice(ADDITIONAL_FAULTS)(sampler)))
    return schedule


def run_times_beyond(cancel_s: float) -> dict[str, float]:
    """Return run times of jobs that outlast `cancel_s`, the time limit of a cancellation."""
    return {"median": 2.4 * cancel_s, "p95": 3.0 * cancel_s, "max": 3.4 * cancel_s}


def cancelled_jobs(site: Site, share: float) -> dict[str, Any]:
    """Return a day's entry for the array class: long jobs, of which a share is cancelled."""
    return {
        "name": job_class(site, "array")["name"],
        "cancelled": share,
        "run_s": run_times_beyond(site["workers"]["cancel_s"]),
    }


def apply_shape(site: Site, index: int, rng: Random) -> DayShape:
    """Change the site to the shape of day number `index`."""
    array = job_class(site, "array")
    long_jobs = {"jobs": [cancelled_jobs(site, rng.choice([0.3, 0.6]))]}
    match index % 6:
        case 0:
            array.update(
                tasks={"sizes": [1], "weights": [1.0]},
                initial=0,
                arrivals={"rate": 4.0},
                cancelled=0.25,
            )
            array["run_s"] = {"median": 20.0, "p95": 50.0, "max": 70.0}
            return DayShape("one-task jobs, four a second")
        case 1:
            for team in site["teams"]:
                team.update(gpus=0.5 * team["gpus"], gpus_max=0.5 * team["gpus_max"])
            return DayShape("teams at half their limits", long_jobs)
        case 2:
            array.update(pinned=1.0, pinned_zones={rng.choice(site["capacity"])["zone"]: 1.0})
            return DayShape("arrays bound to a zone", long_jobs)
        case 3:
            for machine_type in site["machine_types"]:
                machine_type["boot_s"] = 1.5
            return DayShape("machines up within two seconds", long_jobs)
        case 4:
            array.update(tasks={"sizes": [2, 3], "weights": [1.0, 1.0]})
            array["arrivals"]["rate"] *= 4.0
            return DayShape("two and three tasks", long_jobs)
        case _:
            return DayShape("a slow state service", {**long_jobs, "vary": SLOW_STORE})


def scenario_day(site_file: Path, seed: int, index: int) -> Day:
    """Return day number `index` of a seed: three scenarios, on a site of one shape."""
    rng = Random(f"further {seed} {index}")
    site = load_site_without_days(site_file)
    delay_s = rng.choice(RESTART_DELAYS_S)
    shape = apply_shape(site, index, rng)
    site["nodes"]["restart_delay_s"] = delay_s
    scheduled = schedule_faults(site, seed, index, rng)
    name = f"further-{seed}-{index}"
    seed_of_day = FIRST_DAY_SEED + index
    site["day"] = [day_table(name, seed_of_day, faults=scheduled.faults, **shape.day_keys)]
    scenarios = ", ".join(scheduled.scenario_names)
    return Day(name, f"{shape.description}, back in {delay_s:g} s: {scenarios}", site)
