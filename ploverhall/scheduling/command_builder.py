"""Commands for the agents of one shard: the tasks that each has to run, kill and reap.

The shard owner requests the commands of a machine when it answers a heartbeat, and the direct
commands with each step. Each run is recorded with the fencing token under which it is sent, so that
`permit_table` can tell later whether it may still arrive. No I/O.
"""

from __future__ import annotations

from typing import Any

from ploverhall.coordination import fencing_tokens
from ploverhall.protocol import agents
from ploverhall.protocol.agents import EXITED, TaskStatus
from ploverhall.scheduling.machines import Machine, Permit
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.run_fence import RunFence
from ploverhall.scheduling.shard_state import ShardState

Command = dict[str, Any]


class CommandBuilder:
    """Builds commands from the permits of a machine and the tasks that it lists."""

    def __init__(self, state: ShardState, permit_table: PermitTable, run_fence: RunFence) -> None:
        self.state = state
        self.permit_table = permit_table
        self.run_fence = run_fence

    def commands_for(self, machine: Machine, direct: bool = False) -> list[Command]:
        """Return the commands for an agent, and record its runs as sent under the machine's token.

        The token may be raised here, so the message that carries the commands is built afterwards.

        `direct` commands are sent outside the answers to heartbeats. Each run is sent directly only
        once; a kill is sent directly again if its grace period changes or no answer arrived.
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
                    continue  # sent to an earlier incarnation; its source decides what to do
                if not direct or not permit.run_sent_directly:
                    runs.append(permit)
            elif (
                permit.run_token
                and not permit.gone
                and permit.stop_grace_s is not None
                and machine.token <= permit.run_token
            ):
                # A run may still be in flight: only a task list under a higher token rules that out
                self.state.raise_token(machine)
        if not direct and not machine.tasks.keys() <= machine.permits.keys():
            commands += self._unpermitted_task_commands(machine)
        for permit in self._listable_runs(machine, runs):
            commands.append(self._run_command(permit, machine, direct))
        return commands

    def _listable_runs(self, machine: Machine, runs: list[Permit]) -> list[Permit]:
        """Return the runs after which the machine's heartbeats can still list all of its tasks.

        The others wait until tasks that have exited are reaped. Reservations keep below the limit;
        work that replaces preempted tasks, and permits of an earlier owner, may not.
        """
        max_tasks = self.state.inventory.max_listed_tasks
        if len(machine.tasks) + len(machine.permits) <= max_tasks:
            return runs
        unlisted_count = sum(
            1
            for permit in machine.permits.values()
            if permit.run_token and not permit.gone and permit.attempt_id not in machine.tasks
        )
        new_run_count = max(0, max_tasks - len(machine.tasks) - unlisted_count)
        sent_before = [permit for permit in runs if permit.run_token]
        new_runs = [permit for permit in runs if not permit.run_token]
        return sent_before + new_runs[:new_run_count]

    def direct_commands(self, now: float) -> list[tuple[Machine, Command]]:
        """Return (machine, request body) for each direct request to send.

        No machine gets a request while an earlier one is unanswered.
        """
        requests = []
        for machine in list(self.state.machines_needing_commands.values()):
            if machine.command_pending or now < machine.next_command_at:
                continue  # it stays in the map and is checked again in the next step
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
        """Put the current renewal grant into the machine's token."""
        token = fencing_tokens.with_renewal_grant(machine.token, self.state.renewal_grant)
        if token is not None:
            machine.set_token(token)
        else:
            # The machine keeps its earlier grant, which ends sooner
            self.state.token_space_exhausted = True

    def _may_run(self, permit: Permit, machine: Machine) -> bool:
        """Return whether an attempt that its machine does not list may be started there."""
        return (
            not permit.gone
            and not permit.refused
            and permit.stop_grace_s is None
            and permit.epoch == self.state.epoch
            and permit.attempt_id not in machine.tasks
            and machine.accepted_token
            # The clock of `lease_monitor` covers only an incarnation that has sent a heartbeat
            and machine.newest_heartbeat[0] == machine.incarnation
            and not self.permit_table.waits_for_victims(permit, machine)
        )

    def _unpermitted_task_commands(self, machine: Machine) -> list[Command]:
        """Return kill and reap commands for the tasks that a machine lists without a permit."""
        commands: list[Command] = []
        all_synced = len(self.state.synced_sources) >= self.state.source_count
        for attempt_id, task in machine.tasks.items():
            if attempt_id in machine.permits:
                continue
            if task.state != EXITED:
                # Until all sources are synced, a task may have a permit that is not known here.
                # Tasks of ended jobs are killed all the same: otherwise cancelled work would run on
                # while a new owner is partitioned from its source.
                if all_synced or self.state.job_ended_in_store(attempt_id.job_id):
                    commands.append(agents.kill_command(attempt_id, 0.0))
            elif all_synced and self.run_fence.may_reap(attempt_id, task, machine):
                commands.append(agents.reap_command(attempt_id))
        return commands

    def _run_command(self, permit: Permit, machine: Machine, direct: bool) -> Command:
        """Return the run command of a permit, and record it as sent."""
        permit.run_token = machine.token
        permit.run_incarnation = machine.incarnation
        if direct:
            permit.run_sent_directly = True
            machine.unfenced_runs.add(permit.attempt_id)
        else:
            machine.runs_in_answer.add(permit.attempt_id)
        self.state.log_debug(
            "run sent",
            job=permit.attempt_id.job_id,
            task=permit.attempt_id.task,
            attempt=permit.attempt_id.attempt,
            machine=machine.name,
            incarnation=machine.incarnation,
            token=machine.token,
            direct=int(direct),
        )
        return agents.run_command(permit.attempt_id)


def _must_kill(permit: Permit, task: TaskStatus, direct: bool) -> bool:
    """Return whether a kill has to be sent, or sent again, for a listed task that should stop."""
    if task.state == EXITED or (task.state == "saving" and permit.stop_grace_s != 0.0):
        return False
    return not direct or permit.kill_sent_grace_s != permit.stop_grace_s
