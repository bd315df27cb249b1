"""Detection of machines that send heartbeats but should get no new work.

`MachineQuarantine` quarantines machines on which several jobs fail. `ReceptionMonitor` detects
one-way partitions: machines that send heartbeats but do not receive what is sent to them. The shard
owner calls this module with each heartbeat and each sweep. No I/O.
"""

from __future__ import annotations

from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.shard_state import ShardState

FAILURE_WINDOW_S = 300.0  # time for which a failure counts against a machine
FAILED_JOBS_TO_QUARANTINE = 2  # number of different jobs that fail on the machine
QUARANTINE_S = 600.0  # time without new work, from the last such failure
# Time in quarantine before a machine is replaced: a job that fails everywhere is detected sooner
REPLACEMENT_DELAY_S = 20.0
# A machine that stops receiving again within this window after its last backoff is flapping: it
# gets no new work for another backoff, twice as long each time
FLAP_WINDOW_S = 60.0
INITIAL_FLAP_BACKOFF_S = 5.0
MAX_FLAP_BACKOFF_S = 120.0
# Time for a machine to show an awaited token: heartbeat intervals, plus a margin
CONFIRMATION_INTERVALS = 2.5
CONFIRMATION_MARGIN_S = 2.0


class MachineQuarantine:
    """Quarantines machines on which tasks of several different jobs have failed."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.suspected_machines: dict[str, Machine] = {}  # in quarantine, by name

    def record_failure(self, machine: Machine, job_id: str, now: float) -> None:
        """Record a task failure; quarantine the machine if two different jobs have failed there.

        A single failing job may be at fault itself. A job that its source has found to fail
        everywhere counts against no machine: otherwise two such jobs would remove good machines one
        by one. Until the source has found that out, the machine gets no new work, but it is not yet
        replaced.
        """
        traits = self.state.inventory.job_traits.get(job_id)
        machine.failures_by_job = {
            other_id: failed_at
            for other_id, failed_at in machine.failures_by_job.items()
            if now - failed_at < FAILURE_WINDOW_S
        }
        if traits is not None and not traits.failing_everywhere:
            machine.failures_by_job[job_id] = now
        if len(machine.failures_by_job) < FAILED_JOBS_TO_QUARANTINE:
            return
        if not machine.quarantined_until:
            machine.quarantined_since = now
        machine.quarantined_until = now + QUARANTINE_S
        self.suspected_machines[machine.name] = machine

    def clear_machines(self, job_id: str) -> None:
        """Remove the failures of a job that fails everywhere from all machines.

        This ends quarantines that depended on them, except on machines due for replacement.
        """
        for machine in self.state.machines.values():
            if (
                machine.failures_by_job.pop(job_id, None) is not None
                and len(machine.failures_by_job) < FAILED_JOBS_TO_QUARANTINE
                and machine.quarantined_until
                and not machine.replacement_due
            ):
                machine.quarantined_until = machine.quarantined_since = 0.0
                self.state.mark_changed(machine)

    def sweep(self, now: float) -> None:
        """End quarantines that are over, and mark machines that stay in one for replacement."""
        for machine in list(self.suspected_machines.values()):
            if not machine.quarantined_until or machine.quarantined_until <= now:
                machine.quarantined_until = machine.quarantined_since = 0.0
                machine.replacement_due = False
                del self.suspected_machines[machine.name]
                self.state.mark_changed(machine)
            elif (
                not machine.replacement_due
                and now - machine.quarantined_since > REPLACEMENT_DELAY_S
            ):
                machine.replacement_due = True
                self.state.changed_for_autoscaler[machine.name] = machine

    def forget(self, machine: Machine) -> None:
        """Stop tracking a machine that was removed."""
        self.suspected_machines.pop(machine.name, None)


class ReceptionMonitor:
    """Detects by their fencing tokens whether machines receive what is sent to them."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        # Machines that may not receive messages, or that only recently began to receive them again
        self.unconfirmed_machines: dict[str, Machine] = {}

    def await_token(self, machine: Machine, now: float) -> None:
        """Require a machine that has missed a message to show a higher token.

        Until then it gets no new work. Its heartbeats may keep arriving: without this check it
        would look alive and empty, and would get new tasks each time a lease expires there.
        """
        if not machine.awaited_token and self.state.raise_token(machine):
            machine.awaited_token = machine.token
            machine.awaited_since = now
            self.unconfirmed_machines[machine.name] = machine
            self.state.mark_changed(machine)

    def token_confirmed(self, machine: Machine, now: float) -> None:
        """Note that a machine has shown the awaited token, so it receives messages again.

        It leaves `unconfirmed_machines` with the first sweep after its backoff.
        """
        machine.awaited_token = 0
        if machine.not_receiving:
            machine.not_receiving = False
            is_flapping = now - machine.receiving_again_at < machine.flap_backoff_s + FLAP_WINDOW_S
            machine.flap_backoff_s = (
                min(MAX_FLAP_BACKOFF_S, max(INITIAL_FLAP_BACKOFF_S, 2.0 * machine.flap_backoff_s))
                if is_flapping
                else 0.0
            )
            machine.receiving_again_at = now
        self.state.mark_changed(machine)

    def sweep(self, now: float) -> None:
        """End backoffs that are over, and mark machines that fail to show a token in time."""
        confirmation_timeout_s = (
            CONFIRMATION_INTERVALS * self.state.inventory.heartbeat_interval_s
            + CONFIRMATION_MARGIN_S
        )
        for machine in list(self.unconfirmed_machines.values()):
            if not machine.awaited_token:
                if now >= machine.receiving_again_at + machine.flap_backoff_s:
                    del self.unconfirmed_machines[machine.name]
                    self.state.mark_changed(machine)
            elif (
                not machine.not_receiving
                and now - machine.awaited_since > confirmation_timeout_s
                and machine.last_heartbeat_at > machine.awaited_since
            ):
                machine.not_receiving = True
                self.state.mark_changed(machine)
                self._evict_unstarted_gang_tasks(machine)

    def _evict_unstarted_gang_tasks(self, machine: Machine) -> None:
        """Ask the sources to evict gang tasks that can't start here and keep their gang waiting."""
        for permit in machine.permits.values():
            traits = self.state.inventory.job_traits.get(permit.attempt_id.job_id)
            if (
                traits is not None
                and traits.kind == "gang"
                and permit.attempt_id not in machine.tasks
                and not permit.gone
                and permit.stop_grace_s is None
            ):
                permit.evict_requested = True
                self.state.changed_attempts.add(permit.attempt_id)

    def forget(self, machine: Machine) -> None:
        """Stop tracking a machine that was removed."""
        self.unconfirmed_machines.pop(machine.name, None)
