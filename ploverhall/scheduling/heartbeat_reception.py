"""Receives the heartbeats of a shard's agents, and their answers to direct commands.

`HeartbeatReception` uses only messages that are newer than all earlier ones of their machine. It
records what they show about the machine and its tasks, and requires a token of machines that may
have missed a message. The shard owner calls this module. No I/O.
"""

from __future__ import annotations

from ploverhall.coordination import fencing_tokens
from ploverhall.protocol.agents import EXITED, AttemptId, Heartbeat, TaskStatus
from ploverhall.scheduling.machine_health import MachineQuarantine, ReceptionMonitor
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.shard_state import ShardState

# Heartbeat intervals: a heartbeat that comes after a longer gap marks its machine as changed
UNRESPONSIVE_INTERVALS = 2.0


class HeartbeatReception:
    """Applies heartbeats and answers to the machines of one shard."""

    def __init__(
        self,
        state: ShardState,
        permit_table: PermitTable,
        quarantine: MachineQuarantine,
        reception_monitor: ReceptionMonitor,
    ) -> None:
        self.state = state
        self.permit_table = permit_table
        self.quarantine = quarantine
        self.reception_monitor = reception_monitor
        self.inventory = state.inventory
        self.machines = state.machines

    def receive(
        self, heartbeat: Heartbeat, now: float, direct: bool, relayed: bool
    ) -> Machine | None:
        """Process a heartbeat or answer; see `ShardOwner.on_heartbeat`."""
        epoch = fencing_tokens.epoch_of(heartbeat.token)
        if epoch > self.state.epoch:
            self.state.superseded_by = max(self.state.superseded_by, epoch)
            return None
        machine = self.machines.get(heartbeat.machine)
        if machine is None:
            machine = self._add_machine(heartbeat, now)
            if machine.stale_heartbeat:
                return machine
        if heartbeat.token > machine.token:
            machine.set_token(heartbeat.token)
        number = (heartbeat.incarnation, heartbeat.sequence)
        if machine.lease_expired:
            self._accept_lower_number(machine, number, now)
        known_number = (machine.incarnation, machine.sequence)
        machine.stale_heartbeat = number <= (known_number if direct else machine.newest_heartbeat)
        if machine.stale_heartbeat:
            self.state.stale_message_count += 1
            return machine
        # The agent got no answer to its previous heartbeat, and this one came through another
        # controller
        answer_lost = relayed and machine.newest_heartbeat == (number[0], number[1] - 1)
        if not direct:
            self._record_arrival(machine, number, now)
        if number <= known_number:
            return machine  # its task list is older than the one already known
        if machine.awaited_token and heartbeat.token >= machine.awaited_token:
            self.reception_monitor.token_confirmed(machine, now)
        elif answer_lost or 0 < machine.incarnation < heartbeat.incarnation:
            # In the second case its lease has expired although its heartbeats arrived
            self.reception_monitor.await_token(machine, now)
        self._apply_heartbeat(machine, heartbeat, epoch, direct, now)
        return machine

    def _add_machine(self, heartbeat: Heartbeat, now: float) -> Machine:
        """Add and return a machine on its first heartbeat.

        A machine that the cloud has deleted is returned with `stale_heartbeat` set, and not added.
        """
        name = heartbeat.machine
        machine = Machine(
            name,
            heartbeat.address,
            heartbeat.type,
            heartbeat.zone,
            heartbeat.spot,
            self.state.initial_token,
            awaited_token=self.state.initial_token,
            awaited_since=now,
        )
        if name in self.inventory.deleted_machines:
            machine.stale_heartbeat = True  # sent before the deletion
            return machine
        machine.draining = name in self.state.draining_machines
        machine.cordoned = name in self.state.cordoned_machines
        machine.permits = self.inventory.permits_by_machine.setdefault(name, {})
        self.inventory.set_images(machine, self.inventory.remembered_images.pop(name, {}))
        self.machines[name] = machine
        self.reception_monitor.unconfirmed_machines[name] = machine
        self.state.schedule_commands(machine)
        return machine

    def _accept_lower_number(self, machine: Machine, number: tuple[int, int], now: float) -> None:
        """Accept a heartbeat with a lower number after an expired lease.

        The agent may have restarted. No commands are sent to the machine before it confirms that it
        receives messages.
        """
        newest = max(machine.newest_heartbeat, (machine.incarnation, machine.sequence))
        if number <= newest:
            machine.newest_heartbeat = (0, 0)
            machine.incarnation = 0
            machine.sequence = 0
            self.reception_monitor.await_token(machine, now)

    def _record_arrival(self, machine: Machine, number: tuple[int, int], now: float) -> None:
        """Record the arrival time and number of the newest heartbeat."""
        machine.newest_heartbeat = number
        self.state.last_heartbeat_at = now
        heartbeat_gap_s = now - machine.last_heartbeat_at
        machine.last_heartbeat_at = now
        self.state.machines_by_heartbeat.pop(machine.name, None)
        self.state.machines_by_heartbeat[machine.name] = machine
        if heartbeat_gap_s > UNRESPONSIVE_INTERVALS * self.inventory.heartbeat_interval_s:
            self.state.mark_changed(machine)

    def _apply_heartbeat(
        self, machine: Machine, heartbeat: Heartbeat, epoch: int, direct: bool, now: float
    ) -> None:
        """Update a machine from a heartbeat that is newer than its recorded state."""
        same_tasks = heartbeat.listed_tasks == machine.listed_tasks
        informative = not same_tasks or _changes_machine_state(machine, heartbeat)
        if heartbeat.incarnation != machine.incarnation:
            machine.forget_fenced_runs()
        if not direct:
            machine.lease_expired = False
            machine.accepted_token = machine.accepted_token or epoch == self.state.epoch
        machine.address = heartbeat.address
        machine.incarnation = heartbeat.incarnation
        machine.sequence = heartbeat.sequence
        machine.seen_token = heartbeat.token
        machine.termination_notice_s = heartbeat.termination_notice_s
        if not same_tasks:
            self._update_tasks(machine, heartbeat, now)
        elif heartbeat.termination_notice_s is not None:
            self.state.changed_attempts.add_all(
                attempt_id for attempt_id in machine.tasks if attempt_id in machine.permits
            )
        if not direct and machine.runs_in_answer:
            self._check_runs_in_answer(machine, now)
        # A heartbeat without new information can't show that an attempt is gone if no earlier one
        # did; most heartbeats are of this kind
        if informative:
            self.state.schedule_commands(machine)
            for permit in machine.permits.values():
                self.permit_table.check_gone(permit)

    def _check_runs_in_answer(self, machine: Machine, now: float) -> None:
        """Await a token if an attempt that the last answer commanded to run is not listed.

        An agent waits for one answer at a time: it sent this heartbeat after it had received the
        previous answer or had given up waiting for it.
        """
        if any(
            attempt_id not in machine.tasks
            and attempt_id in machine.permits
            and not machine.permits[attempt_id].gone
            for attempt_id in machine.runs_in_answer
        ):
            self.reception_monitor.await_token(machine, now)
        machine.runs_in_answer.clear()

    def _update_tasks(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Replace the tasks of a machine with those that its heartbeat lists."""
        tasks = heartbeat.tasks()
        for attempt_id, task in tasks.items():
            old = machine.tasks.get(attempt_id)
            if old is None or old != task:
                self.inventory.mark_attempt_changed(machine, attempt_id)
            elif heartbeat.termination_notice_s is None:
                continue
            self.state.changed_attempts.add(attempt_id)
            self._record_task_transition(machine, attempt_id, old, task, now)
        for attempt_id in machine.tasks:
            if attempt_id not in tasks:
                self.inventory.mark_attempt_changed(machine, attempt_id)
                self.state.changed_attempts.add(attempt_id)
        machine.tasks = tasks
        machine.listed_tasks = heartbeat.listed_tasks
        for attempt_id, task in tasks.items():
            if task.state not in (EXITED, "fetching"):
                permit = machine.permits.get(attempt_id)
                if permit is not None and permit.image:
                    self.inventory.record_image(machine, permit.image, permit.image_gb)

    def _record_task_transition(
        self,
        machine: Machine,
        attempt_id: AttemptId,
        old: TaskStatus | None,
        task: TaskStatus,
        now: float,
    ) -> None:
        """Record when a task is first seen running, and when it fails."""
        if task.state == "running":
            permit = machine.permits.get(attempt_id)
            if permit is not None and permit.running_since is None:
                permit.running_since = now
        elif (
            task.state == EXITED and task.reason == "error" and (old is None or old.state != EXITED)
        ):
            self.quarantine.record_failure(machine, attempt_id.job_id, now)


def _changes_machine_state(machine: Machine, heartbeat: Heartbeat) -> bool:
    """Return whether a heartbeat with an unchanged task list changes other recorded state."""
    return (
        heartbeat.incarnation != machine.incarnation
        or heartbeat.token != machine.seen_token
        or (heartbeat.termination_notice_s is None) != (machine.termination_notice_s is None)
        or machine.lease_expired
        or not machine.accepted_token
    )
