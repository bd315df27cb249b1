"""Bin packing of waiting tasks into the free capacity of machines.

The autoscaler packs what waits into the machines that it has or that boot, to learn how many more
are needed.
"""

from __future__ import annotations

from ploverhall.scheduling.machines import MachinePool
from ploverhall.scheduling.resources import ResourceVector, add_scaled, fits

MIN_FREE_AMOUNT = 1e-3  # what is less is not kept as free capacity


class FreeSlots:
    """Free capacity of machines by pool; machines of equal capacity are counted together.

    So the work of packing grows with the number of distinct capacities, not of machines.
    """

    def __init__(self) -> None:
        # Pool -> free capacity -> machines with just that much
        self.slots: dict[MachinePool, dict[ResourceVector, int]] = {}

    def add(self, pool: MachinePool, free: ResourceVector, count: int = 1) -> None:
        """Add `count` machines with this free capacity; a negative count removes them."""
        capacities = self.slots.setdefault(pool, {})
        capacities[free] = capacities.get(free, 0) + count
        if not capacities[free]:
            del capacities[free]

    def pack(self, resources: ResourceVector, count: int, pool: MachinePool) -> int:
        """Place up to `count` tasks of these resources each, on the fullest machines first.

        Returns how many were placed.
        """
        capacities = self.slots.get(pool)
        left = count
        while left > 0 and capacities:
            free = min((free for free in capacities if fits(resources, free)), default=None)
            if free is None:
                break
            tasks_per_machine = 1
            remaining = add_scaled(free, resources, -1)
            while tasks_per_machine < left and fits(resources, remaining):
                remaining = add_scaled(remaining, resources, -1)
                tasks_per_machine += 1
            # As many machines of this capacity at once as take all that they can
            machine_count = min(capacities[free], left // tasks_per_machine) or 1
            self.add(pool, free, -machine_count)
            if any(amount > MIN_FREE_AMOUNT for amount in remaining):
                self.add(pool, remaining, machine_count)
            left -= machine_count * tasks_per_machine
        return count - left
