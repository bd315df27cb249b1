"""Fences run commands that were carried out, so that a late copy of one starts no task again.

An agent executes a copy of a direct command as long as its token and incarnation still match. While
the agent knows the attempt, the copy has no effect; after a reap it would start the task again. An
attempt whose run was sent directly is therefore reaped under a higher token than that of the run. A
task with a result exits with that result if it is started again, so it needs the higher token only
once its job is cancelled. `command_builder` and the shard owner call this module. No I/O.
"""

from __future__ import annotations

from ploverhall.protocol.agents import AttemptId, TaskStatus
from ploverhall.protocol.jobs import DONE
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.shard_state import ShardState


class RunFence:
    """Decides when an exited attempt can be reaped, and raises tokens for it."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        # By unfinished job: machines where its results were reaped; some have higher tokens by now
        self.machines_with_reaped_results: dict[str, dict[str, Machine]] = {}

    def may_reap(self, attempt_id: AttemptId, task: TaskStatus, machine: Machine) -> bool:
        """Return whether no copy of its run can start an exited attempt after a reap sent now.

        Raises the machine's token if it has to. It is false if this epoch has no higher token.
        """
        if attempt_id not in machine.unfenced_runs:
            return True
        is_result = task.reason == DONE and not machine.command_pending
        if not is_result or self.state.job_cancelled_in_store(attempt_id.job_id):
            return self.state.raise_token(machine)
        machine.unfenced_runs.discard(attempt_id)
        if not self.state.job_ended_in_store(attempt_id.job_id):
            self._record_reaped_result(attempt_id.job_id, machine)
        return True

    def _record_reaped_result(self, job_id: str, machine: Machine) -> None:
        """Record that a copy would start a task of this job until the machine's token is raised."""
        machine.jobs_with_reaped_results.add(job_id)
        machines = self.machines_with_reaped_results.setdefault(job_id, {})
        machines[machine.name] = machine

    def job_ended(self, job_id: str) -> None:
        """Raise the tokens of machines on which a copy could start a task of a cancelled job."""
        machines = self.machines_with_reaped_results.pop(job_id, {})
        is_cancelled = self.state.job_cancelled_in_store(job_id)
        for machine in machines.values():
            if is_cancelled and job_id in machine.jobs_with_reaped_results:
                self.state.raise_token(machine)
            machine.jobs_with_reaped_results.discard(job_id)
