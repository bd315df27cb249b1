"""Faults that are injected into the decision model."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, Any

from . import parameters
from .model_controller import ModelController

if TYPE_CHECKING:
    from .decision_model import DecisionModel


class FaultKind(IntEnum):
    """The kinds of faults."""

    CRASH = 0  # of one controller
    CRASHES = 1  # of several at once
    LINK_PARTITION = 2  # between any two controllers or machines
    MACHINE_HANG = 3
    STALLS = 4  # of several controllers' event loops
    WATCH_HANG = 5  # one controller's watch of the store delivers nothing
    NO_MACHINES = 6  # one controller is partitioned from all machines
    ZONE_PARTITION = 7
    MACHINES_NOT_RECEIVING = 8
    REFUSED_THEN_OUTAGE = 9  # the store refuses one controller, and then everybody


DEFAULT_KINDS = tuple(range(FaultKind.MACHINES_NOT_RECEIVING))


class FaultInjector:
    """Draws faults and injects them into the model."""

    def __init__(self, model: DecisionModel) -> None:
        self.model = model
        self._begin = {
            FaultKind.CRASH: self._crash_one,
            FaultKind.CRASHES: self._crash_several,
            FaultKind.LINK_PARTITION: self._partition_link,
            FaultKind.MACHINE_HANG: self._hang_machine,
            FaultKind.STALLS: self._stall_controllers,
            FaultKind.WATCH_HANG: self._hang_watch,
            FaultKind.NO_MACHINES: self._partition_from_machines,
            FaultKind.ZONE_PARTITION: self._partition_zone,
            FaultKind.MACHINES_NOT_RECEIVING: self._stop_receiving,
            FaultKind.REFUSED_THEN_OUTAGE: self._refuse_then_outage,
        }

    def inject(self) -> None:
        """Begin a fault now, and schedule the next one in 2 to 8 s."""
        model = self.model
        model.schedule(2.0 + 6.0 * model.rng.random(), self.inject)
        if model.fault_intensity > 0 and model.kinds:
            self._begin[FaultKind(model.rng.choice(model.kinds))]()

    def _any_controller(self) -> ModelController:
        return self.model.rng.choice(self.model.nodes)

    def _crash_one(self) -> None:
        self.model.crash(self._any_controller(), self.model.rng.choice([0.5, 3.0, 15.0]))

    def _crash_several(self) -> None:
        for controller in self.model.nodes:
            if self.model.rng.random() < 0.5:
                self.model.crash(controller, 3.0)

    def _partition_link(self) -> None:
        model = self.model
        pair: list[Any] = model.rng.sample([*model.nodes, *model.workers.values()], 2)
        model.partition(pair[0].name, pair[1].name, model.rng.choice([2.0, 8.0, 20.0]))

    def _hang_machine(self) -> None:
        model = self.model
        agent = model.rng.choice(list(model.workers.values()))
        agent.hung_until = model.now + model.rng.choice([3.0, 8.0, 25.0])

    def _stall_controllers(self) -> None:
        model = self.model
        for controller in model.nodes:
            if model.rng.random() < 0.4:
                stall_s = model.rng.choice([1.0, 3.0, 8.0, 14.0, 30.0])
                controller.stalled_until = model.now + stall_s
            elif model.rng.random() < 0.5:
                controller.watch_hangs_until = model.now + 20.0

    def _hang_watch(self) -> None:
        hang_s = self.model.rng.choice([2.0, 8.0, 20.0])
        self._any_controller().watch_hangs_until = self.model.now + hang_s

    def _partition_from_machines(self) -> None:
        controller = self._any_controller()
        for machine in self.model.workers:
            self.model.partition(controller.name, machine, 6.0)

    def _partition_zone(self) -> None:
        controller = self._any_controller()
        self.model.partition_zone(controller, self.model.rng.choice([8.0, 20.0, 45.0, 80.0]))

    def _stop_receiving(self) -> None:
        model = self.model
        for agent in model.rng.sample(list(model.workers.values()), 3):
            agent.not_receiving_until = model.now + model.rng.choice([3.0, 8.0, 12.0, 40.0])

    def _refuse_then_outage(self) -> None:
        """Let the store refuse one controller, and then all of them.

        After an outage every lease has its full time to live again.
        """
        model = self.model
        controller = self._any_controller()
        refused_s = model.rng.choice([0.5, 3.0, 7.0])
        outage_s = model.rng.choice([15.0, parameters.CANCEL_S + 12.0])
        if model.now < model.down_until:
            return
        controller.refused_until = model.now + refused_s + model.rng.choice([0.0, 10.0])
        model.schedule(refused_s, self._begin_outage, outage_s)

    def _begin_outage(self, outage_s: float) -> None:
        self.model.down_until = self.model.now + outage_s
