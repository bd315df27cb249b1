"""Index of the tasks that could be stopped for others, over the machines of one shard.

`Inventory` keeps it up to date with each refresh of a machine; the preemption planner reads it.
"""

from __future__ import annotations

from collections import Counter

from ploverhall.protocol.agents import AttemptId
from ploverhall.scheduling.machines import JobTraits, Machine, PreemptionClass


class PreemptionIndex:
    """Usable machines by the classes of the tasks that could be stopped on them."""

    def __init__(self, job_traits: dict[str, JobTraits]) -> None:
        self.job_traits = job_traits
        # Usable machines with tasks of that class that could be stopped; none is no key
        self.classes: Counter[PreemptionClass] = Counter()
        # These machines, the one that gained something last at the end
        self.candidates: dict[str, Machine] = {}
        self.generation = 0  # rises with every such gain

    def preemptible_tasks(self, machine: Machine) -> dict[AttemptId, PreemptionClass]:
        """The tasks on a machine that somebody might stop, with their preemption classes."""
        preemptible: dict[AttemptId, PreemptionClass] = {}
        for attempt_id, permit in machine.permits.items():
            traits = self.job_traits.get(attempt_id.job_id)
            if traits is None or traits.priority == 0 or traits.kind == "service":
                continue  # a replica is never stopped for others: its user feels it at once
            task = machine.tasks.get(attempt_id)
            if (
                task is not None
                and task.state in ("running", "fetching")
                and not (
                    permit.gone
                    or permit.refused
                    or permit.stop_grace_s is not None
                    or permit.evict_requested
                )
            ):
                # In its job's turn, after a long wait, it counts as most important
                preemptible[attempt_id] = (
                    (0, *traits.preemption_class[1:]) if permit.overdue else traits.preemption_class
                )
        return preemptible

    def update(
        self, machine: Machine, preemptible: dict[AttemptId, PreemptionClass], has_gained: bool
    ) -> None:
        """Keep the index of what could be stopped.

        A machine that has gained something gets a new generation: who found no preemption plan
        searches only such machines again.
        """
        if preemptible != machine.preemptible:
            has_gained = has_gained or any(
                machine.preemptible.get(attempt_id) != preemption_class
                for attempt_id, preemption_class in preemptible.items()
            )
            self._count_classes(machine, frozenset(preemptible.values()))
            machine.preemptible = preemptible
        if not preemptible:
            self.candidates.pop(machine.name, None)
        elif has_gained or machine.name not in self.candidates:
            self.generation += 1
            machine.preemptible_since = self.generation
            self.candidates.pop(machine.name, None)
            self.candidates[machine.name] = machine

    def _count_classes(self, machine: Machine, classes: frozenset[PreemptionClass]) -> None:
        """Replace the classes of a machine in the count over all machines."""
        for preemption_class in machine.preemptible_classes - classes:
            self.classes[preemption_class] -= 1
            if not self.classes[preemption_class]:
                del self.classes[preemption_class]
        self.classes.update(classes - machine.preemptible_classes)
        machine.preemptible_classes = classes
