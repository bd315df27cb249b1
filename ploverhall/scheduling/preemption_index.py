"""Index of the preemptible tasks on the machines of one shard.

`Inventory` updates it with each refresh of a machine; the preemption planner reads it.
"""

from __future__ import annotations

from collections import Counter

from ploverhall.scheduling.machines import Machine, PreemptionClass


class PreemptionIndex:
    """Usable machines by the preemption classes of the tasks on them."""

    def __init__(self) -> None:
        # Number of usable machines with preemptible tasks of each class; never 0
        self.classes: Counter[PreemptionClass] = Counter()
        # The same machines by name, in the order of their last gain, latest last
        self.candidates: dict[str, Machine] = {}
        self.generation = 0  # increases with every such gain

    def update(self, machine: Machine, has_gained: bool) -> None:
        """Update the index for one usable machine.

        A machine that has gained free capacity or a preemptible task gets a new generation: after a
        search that found too few plans, only such machines are searched again.
        """
        usage = machine.usage
        has_gained = has_gained or usage.gained_preemptible
        usage.gained_preemptible = False
        if usage.preemptible_by_class.keys() != machine.preemptible_classes:
            self._count_classes(machine, frozenset(usage.preemptible_by_class))
        if not usage.preemptible:
            self.candidates.pop(machine.name, None)
        elif has_gained or machine.name not in self.candidates:
            self.generation += 1
            machine.preemptible_since = self.generation
            self.candidates.pop(machine.name, None)
            self.candidates[machine.name] = machine

    def remove(self, machine: Machine) -> None:
        """Remove a machine that may get no new work."""
        self._count_classes(machine, frozenset())
        self.candidates.pop(machine.name, None)

    def _count_classes(self, machine: Machine, classes: frozenset[PreemptionClass]) -> None:
        """Replace the classes of a machine in the count over all machines."""
        for preemption_class in machine.preemptible_classes - classes:
            self.classes[preemption_class] -= 1
            if not self.classes[preemption_class]:
                del self.classes[preemption_class]
        self.classes.update(classes - machine.preemptible_classes)
        machine.preemptible_classes = classes
