"""Index of the preemptible tasks on the machines of one shard.

`Inventory` updates it with each refresh of a machine; the preemption planner reads it.
"""

from __future__ import annotations

from collections import Counter

from ploverhall.protocol.agents import AttemptId
from ploverhall.scheduling.machines import JobTraits, Machine, PreemptionClass


class PreemptionIndex:
    """Usable machines by the preemption classes of the tasks on them."""

    def __init__(self, job_traits: dict[str, JobTraits]) -> None:
        self.job_traits = job_traits
        # Number of usable machines with preemptible tasks of each class; never 0
        self.classes: Counter[PreemptionClass] = Counter()
        # The same machines by name, in the order of their last gain, latest last
        self.candidates: dict[str, Machine] = {}
        self.generation = 0  # increases with every such gain

    def preemptible_tasks(self, machine: Machine) -> dict[AttemptId, PreemptionClass]:
        """Return the preemptible tasks on a machine with their preemption classes."""
        preemptible: dict[AttemptId, PreemptionClass] = {}
        for attempt_id, permit in machine.permits.items():
            traits = self.job_traits.get(attempt_id.job_id)
            if traits is None or traits.priority == 0 or traits.kind == "service":
                continue  # replicas are never preempted: their users would notice at once
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
                # A task placed while its job was overdue counts as one of the highest priority
                preemptible[attempt_id] = (
                    (0, *traits.preemption_class[1:]) if permit.overdue else traits.preemption_class
                )
        return preemptible

    def update(
        self, machine: Machine, preemptible: dict[AttemptId, PreemptionClass], has_gained: bool
    ) -> None:
        """Update the index for one machine.

        A machine that has gained free capacity or a preemptible task gets a new generation: after a
        search that found too few plans, only such machines are searched again.
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
