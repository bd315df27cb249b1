"""The messages of the decision model, each of which may be late or lost.

They are writes to the store, heartbeats, and commands to machines.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ploverhall.protocol import agents
from ploverhall.storage.schema import JOB_PREFIX, SHARD_PREFIX

from . import parameters
from .model_agent import ModelAgent
from .model_controller import ModelController
from .model_shard import ModelShard, copied

if TYPE_CHECKING:
    from .decision_model import DecisionModel

RETRY_S = 0.5  # retry interval of a controller that does not reach the store
WRITE_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 1.5
# Share of the writes that is answered, and share that is executed
ANSWERED_WRITES = 0.85
EXECUTED_WRITES = 0.95
ANSWERED_COMMANDS = 0.9
LOST_HEARTBEAT_ANSWERS = 0.03


class ModelMessages:
    """Carries messages between controllers, store and machines."""

    def __init__(self, model: DecisionModel) -> None:
        self.model = model

    # -- writes --------------------------------------------------------------------------------

    def write(self, controller: ModelController, held: ModelShard, transaction: Any) -> None:
        """Send a shard's transaction to the store; the outcome is handled later."""
        # During a partition a write is not executed and its outcome is unknown; it is not delayed
        # until the partition ends
        model = self.model
        fate = model.rng.random() if controller.reaches_store else 1.0
        starts = controller.starts

        def on_outcome(revision: int, failed: list[str], unknown: bool) -> None:
            if controller.starts != starts or controller.held.get(held.shard) is not held:
                return
            if model.deferred(controller, on_outcome, revision, failed, unknown):
                return
            if not controller.reaches_store:  # without the store it can neither write nor read
                model.schedule(RETRY_S, on_outcome, revision, failed, unknown)
                return
            self._finish_write(controller, held, transaction, revision, failed, unknown)

        def execute(answered: bool) -> None:
            revision, failed = self._execute(transaction)
            if answered:
                model.schedule(model.delay(), on_outcome, revision, failed, False)

        if fate < ANSWERED_WRITES or model.fault_intensity <= 0:
            model.schedule(model.delay(), execute, True)
            return
        if fate < EXECUTED_WRITES:  # executed late or at once, and the answer is lost
            model.schedule(model.rng.choice([0.0, 0.5, 5.0, 30.0]), execute, False)
        model.schedule(WRITE_TIMEOUT_S, on_outcome, 0, [], True)

    def _execute(self, transaction: Any) -> tuple[int, list[str]]:
        """Execute a transaction, and check that jobs recorded as done are done."""
        model = self.model
        revision, failed = model.store.txn(
            transaction.compare,
            copied(transaction.puts),
            list(transaction.deletes),
            model.txn_ops,
        )
        if not failed:
            for key in transaction.puts:
                if key.startswith(JOB_PREFIX):
                    model.check_done(key[len(JOB_PREFIX) :])
        return revision, failed

    def _finish_write(
        self,
        controller: ModelController,
        held: ModelShard,
        transaction: Any,
        revision: int,
        failed: list[str],
        unknown: bool,
    ) -> None:
        held.writing = False
        if not unknown and not failed:
            held.source.on_committed(transaction, revision, self.model.now)
            return
        if f"{SHARD_PREFIX}{held.shard}" in failed:
            controller.drop(held.shard)
            return
        if unknown:
            held.source.writer.on_outcome_unknown(transaction)
            teams = held.source.writer.teams_of(transaction)
        else:
            teams = held.source.writer.on_compare_failed(transaction, failed)
        for team in teams:
            held.read_allocations(team)
        controller.replay_owner_channels(held)

    # -- heartbeats ----------------------------------------------------------------------------

    def send_heartbeat(self, agent: ModelAgent) -> None:
        """Send a machine's heartbeat, and the next one about a second later."""
        model = self.model
        interval = parameters.HEARTBEAT_S * (0.75 + 0.5 * model.rng.random())
        model.schedule(interval, self.send_heartbeat, agent)
        if model.now < agent.hung_until:
            return
        controller = model.nodes[agent.controller_index]
        body, sent, incarnation = agent.report(), model.now, agent.incarnation
        if model.copies and model.rng.random() < model.copies:
            receiver = controller if model.rng.random() < 0.6 else model.rng.choice(model.nodes)
            after = model.rng.choice([1.0, 4.0, 9.0, 14.0, 30.0])
            model.schedule(
                after, self.deliver_heartbeat, receiver, agent, body, sent, incarnation, True
            )
        if controller.up and not model.cut(controller, agent):
            self.deliver_heartbeat(controller, agent, body, sent, incarnation, False)
            return
        self._try_next_controller(agent)
        if model.rng.random() < 0.3:  # delayed and delivered later
            after = model.rng.choice([3.0, 12.0, 25.0])
            model.schedule(
                after, self.deliver_heartbeat, controller, agent, body, sent, incarnation, True
            )

    def _try_next_controller(self, agent: ModelAgent) -> None:
        agent.controller_index = (agent.controller_index + 1) % len(self.model.nodes)

    def deliver_heartbeat(
        self,
        controller: ModelController,
        agent: ModelAgent,
        body: dict[str, Any],
        sent: float,
        incarnation: int,
        late: bool,
    ) -> None:
        """Deliver a heartbeat to a controller; if it is late, its answer is discarded."""
        model = self.model
        if not controller.up:
            return
        if model.deferred(
            controller, self.deliver_heartbeat, controller, agent, body, sent, incarnation, True
        ):
            self._try_next_controller(agent)
            return
        heartbeat = agents.heartbeat_from_json(body)
        shard = model.layout.shard_of_machine(heartbeat.zone, heartbeat.machine)
        held = controller.held.get(shard) if not controller.isolated else None
        machine = held.owner.on_heartbeat(heartbeat, model.now) if held is not None else None
        if held is None or machine is None:
            if not late:
                self._redirect(controller, agent, shard)
            return
        if machine.stale_heartbeat:
            # as in controller.heartbeat_requests: the answer has no commands and is discarded
            return
        commands = held.owner.commands_for(machine, model.now)
        # As in controller.heartbeat_requests, with the token that the commands may have raised
        answer = copied(agents.heartbeat_answer(machine.token, commands))
        machine.last_answer_at = model.now
        if model.now < agent.not_receiving_until:
            self._try_next_controller(agent)
        elif (
            not late
            and model.now >= agent.hung_until
            and not (model.fault_intensity > 0 and model.rng.random() < LOST_HEARTBEAT_ANSWERS)
        ):
            agent.on_answer(answer, sent, incarnation)

    def _redirect(self, controller: ModelController, agent: ModelAgent, shard: int) -> None:
        """Redirect an agent to the holder of its machine's shard, or to the next controller."""
        holder = controller.replica.holder(shard)[0]
        if holder and holder != controller.name:
            agent.controller_index = int(holder[1])
        else:
            self._try_next_controller(agent)

    # -- commands ------------------------------------------------------------------------------

    def send_commands(
        self, controller: ModelController, held: ModelShard, machine: Any, body: dict[str, Any]
    ) -> None:
        """Send commands directly to a machine, which answers with a heartbeat."""
        model = self.model
        agent = model.workers[machine.name]
        starts = controller.starts
        fate = model.rng.random() if model.fault_intensity > 0 else 0.0

        def on_answer(report: dict[str, Any] | None) -> None:
            if controller.starts != starts or controller.held.get(held.shard) is not held:
                return
            if not model.deferred(controller, on_answer, report):
                heartbeat = agents.heartbeat_from_json(report) if report else None
                held.owner.on_direct_answer(machine, heartbeat, model.now)

        def deliver(answered: bool) -> None:
            if model.now < agent.hung_until:
                model.schedule(agent.hung_until - model.now + 0.01, deliver, False)
                return
            report = agent.on_commands(body)
            if answered:
                model.schedule(model.delay(), on_answer, report)
                self._schedule_copy(agent, body)

        unreachable = model.now < max(agent.hung_until, agent.not_receiving_until)
        if model.cut(controller, agent) or fate > ANSWERED_COMMANDS or unreachable:
            # delayed and executed later
            model.schedule(model.rng.choice([0.2, 4.0, 15.0, 40.0]), deliver, False)
            model.schedule(COMMAND_TIMEOUT_S, on_answer, None)
        else:
            model.schedule(model.delay(), deliver, True)

    def _schedule_copy(self, agent: ModelAgent, body: dict[str, Any]) -> None:
        """Schedule the delivery of a copy of some of the commands that were answered."""
        model = self.model
        rng = model.command_copy_rng
        if not model.command_copies or rng.random() >= model.command_copies:
            return

        def deliver_copy() -> None:
            if model.now >= agent.hung_until:
                agent.on_commands(body)

        model.schedule(rng.choice([0.3, 2.0, 9.0, 30.0, 60.0]), deliver_copy)
