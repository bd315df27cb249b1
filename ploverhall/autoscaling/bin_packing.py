"""Bin packing of waiting tasks into the free capacity of machines.

The autoscaler packs the waiting tasks into the running and booting machines to find out how many
more machines are needed.
"""

from __future__ import annotations

from ploverhall.protocol.agents import MAX_LISTED_TASKS
from ploverhall.scheduling.machines import MachinePool
from ploverhall.scheduling.resources import ResourceVector, add_scaled, fits

MIN_FREE_AMOUNT = 1e-3  # free capacity is dropped if no amount of it is larger than this


class FreeSlots:
    """Free capacity of machines by pool.

    Machines of equal free capacity are counted together, so that the cost of packing grows with
    the number of distinct capacities and not with the number of machines.
    """

    def __init__(self) -> None:
        # Pool -> free capacity -> number of machines with exactly that capacity
        self.slots: dict[MachinePool, dict[ResourceVector, int]] = {}

    def add(self, pool: MachinePool, free: ResourceVector, count: int = 1) -> None:
        """Add `count` machines with the free capacity `free`; a negative count removes machines."""
        capacities = self.slots.setdefault(pool, {})
        capacities[free] = capacities.get(free, 0) + count
        if not capacities[free]:
            del capacities[free]

    def pack(self, resources: ResourceVector, count: int, pool: MachinePool) -> int:
        """Place up to `count` tasks that need `resources` each, on the fullest machines first.

        Returns:
            The number of tasks that were placed.
        """
        capacities = self.slots.get(pool, {})
        left = count
        for free in sorted(capacities):
            while left > 0 and free in capacities and fits(resources, free):
                left -= self._fill(pool, free, resources, left)
            if left <= 0:
                break
        return count - left

    def _fill(
        self, pool: MachinePool, free: ResourceVector, resources: ResourceVector, count: int
    ) -> int:
        """Place tasks on machines with the capacity `free`, in which a task fits.

        Handles at once all machines of this capacity that `count` tasks can fill, and returns the
        number of tasks placed.
        """
        tasks_per_machine = 1
        max_tasks = min(count, MAX_LISTED_TASKS)
        remaining = add_scaled(free, resources, -1)
        while tasks_per_machine < max_tasks and fits(resources, remaining):
            remaining = add_scaled(remaining, resources, -1)
            tasks_per_machine += 1
        machine_count = min(self.slots[pool][free], count // tasks_per_machine) or 1
        self.add(pool, free, -machine_count)
        if any(amount > MIN_FREE_AMOUNT for amount in remaining):
            self.add(pool, remaining, machine_count)
        return machine_count * tasks_per_machine
