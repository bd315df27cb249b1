"""Which machines of a shard may not be trusted with new work, though they send heartbeats.

`FailureAttribution` quarantines machines on which several jobs fail. `ReceptionMonitor` watches for
one-way partitions: machines that send heartbeats but do not receive what they are told. Called by
the shard owner with each heartbeat and each sweep; no I/O.
"""

from __future__ import annotations

from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.shard_state import ShardState

FAILURE_WINDOW_S = 300.0  # how long a failure on a machine counts against it
FAILED_JOBS_TO_QUARANTINE = 2  # different jobs that have to fail on a machine
QUARANTINE_S = 600.0  # how long such a machine is not trusted
# Before it is given back: a job that fails everywhere is found out sooner
REPLACEMENT_DELAY_S = 20.0
# A machine that stops receiving again so soon is left alone, twice as long each time
FLAP_WINDOW_S = 60.0
INITIAL_FLAP_BACKOFF_S = 5.0
MAX_FLAP_BACKOFF_S = 120.0
# How long a machine may take to show an awaited token: heartbeat intervals, and seconds besides
CONFIRMATION_INTERVALS = 2.5
CONFIRMATION_MARGIN_S = 2.0


class FailureAttribution:
    """Tells failures of machines from failures of jobs, and quarantines machines."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.suspected_machines: dict[str, Machine] = {}  # in quarantine, by name

    def record_failure(self, machine: Machine, job_id: str, now: float) -> None:
        """A task has failed on a machine; quarantine the machine if it is the second job.

        One job that fails may be at fault itself. A job that its source knows to fail everywhere
        counts against no machine: else two such jobs take good machines away one by one. Until that
        is settled the machine takes nothing new, but it is not given back.
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
        """A job fails everywhere: the machines that it failed on are not to blame for it."""
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
        """End quarantines that are over, and have machines replaced that stay in quarantine."""
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
        """The machine is not known any more."""
        self.suspected_machines.pop(machine.name, None)


class ReceptionMonitor:
    """Watches whether machines receive what they are told, by the fencing tokens they show."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        # Machines that may not receive, or that have begun to again a short time ago
        self.unconfirmed_machines: dict[str, Machine] = {}

    def await_token(self, machine: Machine, now: float) -> None:
        """Something sent to a machine has not reached it: it has to show a higher token.

        Until then nothing new goes there. Its heartbeats may arrive all the time: without this it
        looks alive and empty, and each lease that runs out there is followed by new starts.
        """
        if not machine.awaited_token and self.state.raise_token(machine):
            machine.awaited_token = machine.token
            machine.awaited_since = now
            self.unconfirmed_machines[machine.name] = machine
            self.state.mark_changed(machine)

    def token_confirmed(self, machine: Machine, now: float) -> None:
        """A machine has shown the awaited token: it receives again.

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
        """End backoffs that are over, and give machines up that show no token for too long."""
        patience_s = (
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
                and now - machine.awaited_since > patience_s
                and machine.last_heartbeat_at > machine.awaited_since
            ):
                machine.not_receiving = True
                self.state.mark_changed(machine)
                self._evict_unstarted_gang_tasks(machine)

    def _evict_unstarted_gang_tasks(self, machine: Machine) -> None:
        """Ask the sources for gang tasks back that can't start here: the others wait in vain."""
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
        """The machine is not known any more."""
        self.unconfirmed_machines.pop(machine.name, None)
