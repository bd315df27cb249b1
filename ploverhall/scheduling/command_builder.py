"""Commands for the agents of one shard: what each has to run, kill and reap.

The shard owner asks for the commands of a machine when it answers a heartbeat, and for those worth
sending directly with each step. A run is marked with the fencing token it leaves under, so that
`permit_table` can tell later whether it may still arrive. No I/O.
"""

from __future__ import annotations

from typing import Any

from ploverhall.coordination import fencing_tokens
from ploverhall.protocol import agents
from ploverhall.protocol.agents import EXITED, AttemptId, TaskStatus
from ploverhall.scheduling.machines import Machine, Permit
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.shard_state import ShardState

Command = dict[str, Any]


class CommandBuilder:
    """Derives commands from the permits of a machine and the tasks that it lists."""

    def __init__(self, state: ShardState, permit_table: PermitTable) -> None:
        self.state = state
        self.permit_table = permit_table

    def commands_for(self, machine: Machine, direct: bool = False) -> list[Command]:
        """What an agent has to do; marks runs as sent under the machine's token.

        `direct` commands are sent apart from the answers to heartbeats, each only once.
        """
        self._grant_renewal(machine)
        commands: list[Command] = []
        runs: list[Permit] = []
        for permit in machine.permits.values():
            task = machine.tasks.get(permit.attempt_id)
            if task is not None:
                if permit.stop_grace_s is not None and _must_kill(permit, task, direct):
                    commands.append(agents.kill_command(permit.attempt_id, permit.stop_grace_s))
                    permit.kill_sent_grace_s = permit.stop_grace_s
            elif self._may_run(permit, machine):
                if permit.run_token and machine.incarnation > permit.run_incarnation:
                    continue  # it ran in an incarnation that is over; the source decides
                if not direct or not permit.run_sent_directly:
                    runs.append(permit)
            elif (
                permit.run_token
                and not permit.gone
                and permit.stop_grace_s is not None
                and machine.token <= permit.run_token
            ):
                # A run may be on its way: only a list under a higher token shows that it is not
                self.state.raise_token(machine)
        if not direct and not machine.tasks.keys() <= machine.permits.keys():
            commands += self._unpermitted_task_commands(machine)
        for permit in runs:
            commands.append(self._run_command(permit, machine, direct))
        return commands

    def direct_commands(self, now: float) -> list[tuple[Machine, Command]]:
        """Machines with the request body to send to each; one unanswered request a machine."""
        requests = []
        for machine in list(self.state.machines_needing_commands.values()):
            if machine.command_pending or now < machine.next_command_at:
                continue  # looked at again when that is over
            del self.state.machines_needing_commands[machine.name]
            if machine.lease_expired or not machine.accepted_token or not machine.permits:
                continue
            commands = self.commands_for(machine, direct=True)
            if commands:
                machine.command_pending = True
                body = agents.direct_request(machine.token, machine.incarnation, commands)
                requests.append((machine, body))
        return requests

    def _grant_renewal(self, machine: Machine) -> None:
        """Put the renewal grant of this moment into the machine's token."""
        token = fencing_tokens.with_renewal_grant(machine.token, self.state.renewal_grant)
        if token is not None:
            machine.token = token
        else:
            # The machine keeps an earlier grant, which ends sooner
            self.state.token_space_exhausted = True

    def _may_run(self, permit: Permit, machine: Machine) -> bool:
        """Whether an attempt that its machine does not list may be started there."""
        return (
            not permit.gone
            and not permit.refused
            and permit.stop_grace_s is None
            and permit.epoch == self.state.epoch
            and permit.attempt_id not in machine.tasks
            and machine.accepted_token
            and not self.permit_table.waits_for_victims(permit, machine)
        )

    def _unpermitted_task_commands(self, machine: Machine) -> list[Command]:
        """Kills and reaps for the tasks that a machine lists without a permit."""
        commands: list[Command] = []
        all_synced = len(self.state.synced_sources) >= self.state.source_count
        for attempt_id, task in machine.tasks.items():
            if attempt_id in machine.permits:
                continue
            if task.state != EXITED:
                # Without its source's permits a task may be permitted all the same. Only if its job
                # is over it needs no source to be stopped: else cancelled work runs on while a new
                # owner is cut off from the source
                if all_synced or self.state.job_ended_in_store(attempt_id.job_id):
                    commands.append(agents.kill_command(attempt_id, 0.0))
            elif all_synced and self._may_reap(attempt_id, machine):
                commands.append(agents.reap_command(attempt_id))
        return commands

    def _may_reap(self, attempt_id: AttemptId, machine: Machine) -> bool:
        """Whether no run of an attempt can arrive after its reap, and start it again."""
        if attempt_id not in machine.inflight_runs:
            return True
        if not self.state.raise_token(machine):
            return False
        machine.inflight_runs.clear()
        return True

    def _run_command(self, permit: Permit, machine: Machine, direct: bool) -> Command:
        """The run command of a permit, noted as sent."""
        permit.run_token = machine.token
        permit.run_incarnation = machine.incarnation
        if direct:
            permit.run_sent_directly = True
            machine.inflight_runs.add(permit.attempt_id)
        else:
            machine.runs_in_answer.add(permit.attempt_id)
        return agents.run_command(permit.attempt_id)


def _must_kill(permit: Permit, task: TaskStatus, direct: bool) -> bool:
    """Whether a listed task that should stop has to be told so (again)."""
    if task.state == EXITED or (task.state == "saving" and permit.stop_grace_s != 0.0):
        return False
    return not direct or permit.kill_sent_grace_s != permit.stop_grace_s
