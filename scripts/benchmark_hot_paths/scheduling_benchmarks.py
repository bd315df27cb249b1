"""Measure the processor time of a permit, from a waiting task to its exit, in source and owner."""

from __future__ import annotations

from scripts.benchmark_hot_paths.simulated_fleet import SimulatedFleet


def permit_cost(size: int) -> float:
    """Return the microseconds of a permit, from the decision to the exit.

    120 tasks a second are permitted on a fleet that is two thirds full.
    """
    fleet = SimulatedFleet(size)
    for _ in range(size // 25):
        fleet.submit("array", 3, 66, 1.0, 1e6)
    for _ in range(40):
        fleet.step()
    assert sum(map(len, fleet.tasks.values())) > size * 2.5, (
        "the fleet was not filled before the measurement"
    )
    fleet.reset_measurement()
    for step in range(60):
        fleet.submit("array", 2, 12, 1.0, 2.0)
        if step % 10 == 0:
            fleet.submit("array", 1, 2, 4.0, 3.0)  # whole machines, mostly by preemption
        fleet.step()
    assert fleet.permit_count > 0, "no task was permitted during the measurement"
    return fleet.microseconds_a_permit


def crowd_cost(size: int) -> float:
    """Return the microseconds of a permit on a full fleet.

    Meanwhile ten jobs wait for which no preemption can make room.
    """
    fleet = SimulatedFleet(size)
    for _ in range(size // 25):
        fleet.submit("array", 0, 100, 1.0, 1e6)  # nobody may preempt it
    for _ in range(40):
        fleet.step()
    for number in range(10):
        fleet.submit("gang" if number % 2 else "array", 1, 4, 4.0, 9.0)
    fleet.reset_measurement()
    machines = list(fleet.tasks)
    for step in range(60):
        fleet.submit("array", 2, 6, 1.0, 2.0)
        for number in range(6):
            _end_one_task(fleet, machines[(step * 6 + number) % len(machines)])
        fleet.step()
    return fleet.microseconds_a_permit


def _end_one_task(fleet: SimulatedFleet, machine: str) -> None:
    """Let the first task on a machine end in the next step."""
    for task in list(fleet.tasks[machine].values())[:1]:
        task.ends_at = min(task.ends_at, fleet.now)
