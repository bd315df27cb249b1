"""The permits of one shard: admission, stops, preemption victims, and detection of gone attempts.

Sources write permits. `source_requests` passes them to `PermitTable.update`, and the shard owner
calls `check_gone` when it has new information on a machine. No I/O.
"""

from __future__ import annotations

from ploverhall.protocol import peer_messages
from ploverhall.protocol.agents import EXITED, AttemptId
from ploverhall.protocol.peer_messages import PermitUpdate
from ploverhall.scheduling.gone_verdicts import GoneEvidence, GoneVerdict
from ploverhall.scheduling.machines import JobTraits, Machine, Permit, Reservation
from ploverhall.scheduling.reservations import ReservationTable
from ploverhall.scheduling.resources import NO_RESOURCES, fits
from ploverhall.scheduling.shard_state import ShardState

# Reasons why a permitted attempt is gone: texts for people, sent to the sources
GONE_REASONS = {
    GoneEvidence.MACHINE_DELETED: "its machine is gone",
    GoneEvidence.RUN_NOT_SENT: "its room was taken",
    GoneEvidence.NEW_INCARNATION: "its worker's lease ran out",
    GoneEvidence.UNLISTED: "its worker no longer has it",
    GoneEvidence.LEASE_EXPIRED: "its worker was silent until its lease ran out",
}


class PermitTable:
    """The permits that sources have written for machines of one shard."""

    def __init__(self, state: ShardState, reservations: ReservationTable) -> None:
        self.state = state
        self.reservations = reservations
        self.inventory = state.inventory
        self.machines = state.machines
        self.changed_attempts = state.changed_attempts
        self.permits: dict[AttemptId, Permit] = {}
        self.permits_by_job: dict[str, dict[AttemptId, Permit]] = {}
        # Admitted permits whose victims may still occupy the machine
        self.waiting_for_victims: dict[AttemptId, Permit] = {}

    def update(
        self, attempt_id: AttemptId, source_shard: int, update: PermitUpdate | None, now: float
    ) -> None:
        """Apply a source's update of a permit; None means that the source has deleted it."""
        permit = self.permits.get(attempt_id)
        if update is None:
            if permit is not None:
                self._drop(permit)
            return
        if permit is None:
            permit = self._add(attempt_id, source_shard, update, now)
        if update.stop_grace_s is not None:
            permit.stop_grace_s = (
                update.stop_grace_s
                if permit.stop_grace_s is None
                else min(update.stop_grace_s, permit.stop_grace_s)
            )
        self.check_gone(permit)
        self.state.attempt_changed(self.machines.get(permit.machine), attempt_id)

    def _add(
        self, attempt_id: AttemptId, source_shard: int, update: PermitUpdate, now: float
    ) -> Permit:
        """Add a new permit, admit or refuse it, and return it."""
        job = self.state.jobs.get(attempt_id.job_id)
        permit = Permit(
            attempt_id,
            source_shard,
            update.machine,
            update.epoch,
            update.reservation_id,
            self.state.resources_by_job.get(attempt_id.job_id, NO_RESOURCES),
            job.image if job else "",
            job.image_gb if job else 0.0,
        )
        self._admit(permit, update.stop_grace_s, now)
        if self.state.job_ended_in_store(attempt_id.job_id) or job is None:
            permit.stop_grace_s = 0.0  # the job had ended before this owner received the permit
        return permit

    def _drop(self, permit: Permit) -> None:
        """Remove a permit that its source has deleted: its attempt has ended or is proven gone."""
        attempt_id = permit.attempt_id
        del self.permits[attempt_id]
        self.waiting_for_victims.pop(attempt_id, None)
        job_permits = self.permits_by_job[attempt_id.job_id]
        del job_permits[attempt_id]
        if not job_permits:
            del self.permits_by_job[attempt_id.job_id]
        on_machine = self.inventory.permits_by_machine[permit.machine]
        on_machine.pop(attempt_id, None)
        if not on_machine and permit.machine not in self.machines:
            del self.inventory.permits_by_machine[permit.machine]
        self.changed_attempts.discard(attempt_id)
        key = (permit.source_shard, peer_messages.attempt_key(attempt_id))
        self.reservations.source_updates[key] = None
        self.state.attempt_changed(self.machines.get(permit.machine), attempt_id)

    # -- admission ---------------------------------------------------------------------------

    def _admit(self, permit: Permit, stop_grace_s: float | None, now: float) -> None:
        """Admit a new permit to its reservation's capacity; without capacity, refuse it."""
        attempt_id = permit.attempt_id
        self.permits[attempt_id] = permit
        self.permits_by_job.setdefault(attempt_id.job_id, {})[attempt_id] = permit
        self.changed_attempts.add(attempt_id)
        machine = self.machines.get(permit.machine)
        reservation = self._reservation_of(permit)
        if reservation is not None:
            permit.overdue = reservation.overdue
            self.reservations.release(reservation, requeue=False)
        if permit.epoch == self.state.epoch and (
            machine is None
            or stop_grace_s is not None
            or not self._may_admit(permit, machine, reservation is not None, now)
        ):
            permit.refused = True
        self.inventory.permits_by_machine.setdefault(permit.machine, {})[attempt_id] = permit
        if machine is not None:
            machine.permits = self.inventory.permits_by_machine[permit.machine]
            if reservation is not None and not permit.refused:
                self._stop_victims(permit, reservation.victims, machine)

    def _reservation_of(self, permit: Permit) -> Reservation | None:
        """Return the reservation that a permit uses; None without one or with an earlier epoch."""
        if permit.epoch != self.state.epoch:
            return None
        job_reservations = self.reservations.by_job.get(permit.attempt_id.job_id, {})
        if (reservation := job_reservations.get(permit.reservation_id)) is not None:
            return reservation
        # The hold time may have ended while the permit was written, and the same machine may have
        # been reserved again for the same candidate
        for reservation in job_reservations.values():
            if reservation.machine == permit.machine:
                return reservation
        return None

    def _may_admit(self, permit: Permit, machine: Machine, reserved: bool, now: float) -> bool:
        """Return whether a machine may admit a permit; `reserved` capacity is not checked again."""
        if machine.lease_expired or self.inventory.unusable(machine, now):
            return False
        return reserved or (
            fits(permit.resources, self.inventory.free_capacity(machine))
            and self.inventory.free_task_slots(machine) > 0
        )

    # -- victims -----------------------------------------------------------------------------

    def _stop_victims(
        self, permit: Permit, victims: tuple[AttemptId, ...], machine: Machine
    ) -> None:
        """Stop the victims named by a reservation, now that its attempt is permitted."""
        permit.victims = victims
        if victims:
            self.waiting_for_victims[permit.attempt_id] = permit
        for attempt_id in victims:
            victim = machine.permits.get(attempt_id)
            traits = self.inventory.job_traits.get(attempt_id.job_id)
            if victim is None or victim.gone or traits is None:
                continue
            if traits.kind == "gang":
                victim.evict_requested = True
            elif victim.stop_grace_s is None:
                victim.stop_grace_s = traits.preemption_grace_s
            self.changed_attempts.add(attempt_id)
            self.inventory.mark_attempt_changed(machine, attempt_id)
            self._claim_guarantee(permit.attempt_id.job_id, traits)

    def _claim_guarantee(self, job_id: str, victim: JobTraits) -> None:
        """Record that a job preempts others by its team's guarantee, so that it keeps the capacity.

        A job also takes over the claim of a victim that has claimed its guarantee. Otherwise the
        work that the victim had preempted before could preempt this job in turn.
        """
        traits = self.inventory.job_traits.get(job_id)
        if traits is None or not traits.within_guarantee or traits.claimed_guarantee:
            return
        by_guarantee = not victim.within_guarantee and victim.priority <= traits.priority
        if by_guarantee or victim.preemption_class[-1]:
            traits.claimed_guarantee = True
            self.job_traits_changed(job_id)

    def job_traits_changed(self, job_id: str) -> None:
        """Note that the traits of a job have changed: they decide what may preempt its tasks."""
        for attempt_id, permit in self.permits_by_job.get(job_id, {}).items():
            machine = self.machines.get(permit.machine)
            if machine is not None:
                self.inventory.mark_attempt_changed(machine, attempt_id)
                self.state.needs_step = True

    def waits_for_victims(self, permit: Permit, machine: Machine | None) -> bool:
        """Return whether a victim of a permit still occupies the machine."""
        return machine is not None and any(
            attempt_id in machine.permits
            and not machine.permits[attempt_id].gone
            and not ((task := machine.tasks.get(attempt_id)) is not None and task.state == EXITED)
            for attempt_id in permit.victims
        )

    def refresh_victims(self) -> set[AttemptId]:
        """Drop permits whose victims have left; return the victims of the others as a new set."""
        for permit in list(self.waiting_for_victims.values()):
            machine = self.machines.get(permit.machine)
            if permit.gone or not self.waits_for_victims(permit, machine):
                del self.waiting_for_victims[permit.attempt_id]
        return {
            attempt_id
            for permit in self.waiting_for_victims.values()
            for attempt_id in permit.victims
        }

    # -- stops and ends ----------------------------------------------------------------------

    def stop(self, attempt_id: AttemptId) -> None:
        """Stop an attempt of a job that has ended, with a grace period of 0 seconds."""
        permit = self.permits.get(attempt_id)
        if permit is not None and permit.stop_grace_s != 0.0:
            permit.stop_grace_s = 0.0
            self.check_gone(permit)
            self.state.attempt_changed(self.machines.get(permit.machine), attempt_id)
            self.changed_attempts.add(attempt_id)

    def expire_machine(self, machine: Machine) -> None:
        """Resolve the permits of a machine whose lease has expired.

        Attempts that may have run there are gone; the others are refused.
        """
        for permit in machine.permits.values():
            if (
                permit.run_token
                or permit.epoch < self.state.epoch
                or permit.attempt_id in machine.tasks
            ):
                self._mark_gone(permit, GoneEvidence.LEASE_EXPIRED, machine)
            else:
                permit.refused = True
                self.check_gone(permit)
            self.changed_attempts.add(permit.attempt_id)

    def check_gone(self, permit: Permit) -> None:
        """Mark a permit as gone if its attempt is not on its machine and can't get there later."""
        if permit.gone:
            return
        machine = self.machines.get(permit.machine)
        evidence = self._evidence_of_gone(permit, machine)
        if evidence is not None:
            self._mark_gone(permit, evidence, machine)
            self.changed_attempts.add(permit.attempt_id)
            self.state.attempt_changed(machine, permit.attempt_id)

    def _evidence_of_gone(self, permit: Permit, machine: Machine | None) -> GoneEvidence | None:
        """Return the evidence that an attempt is gone, apart from its machine's lease."""
        if permit.machine in self.inventory.deleted_machines:
            return GoneEvidence.MACHINE_DELETED
        if permit.refused and permit.run_token == 0 and permit.epoch == self.state.epoch:
            # Only this owner could have sent the run, and it has not
            return GoneEvidence.RUN_NOT_SENT
        if (
            machine is not None
            and permit.attempt_id not in machine.tasks
            and machine.accepted_token
        ):
            return self._evidence_of_unlisted(permit, machine)
        return None

    def _evidence_of_unlisted(self, permit: Permit, machine: Machine) -> GoneEvidence | None:
        """Return the evidence that no run of an attempt that its machine omits can still arrive."""
        if permit.run_token:
            # The newest list omits the attempt under a token raised since the last run command was
            # sent, or the agent has begun a new incarnation
            if machine.incarnation > permit.run_incarnation:
                return GoneEvidence.NEW_INCARNATION
            return GoneEvidence.UNLISTED if machine.seen_token > permit.run_token else None
        if permit.epoch < self.state.epoch:
            # Runs of earlier epochs carry lower tokens than the one the machine has accepted
            return GoneEvidence.UNLISTED
        if permit.stop_grace_s is not None and permit.epoch == self.state.epoch:
            return GoneEvidence.RUN_NOT_SENT
        return None

    def _mark_gone(self, permit: Permit, evidence: GoneEvidence, machine: Machine | None) -> None:
        """Mark a permit as gone if the evidence covers its last run command.

        Otherwise the attempt stays known, and occupies its capacity, until there is evidence.
        """
        if permit.gone:
            return
        verdict = _verdict(permit, evidence, machine)
        self.state.gone_verdicts.record(verdict)
        if not verdict.is_supported:
            return
        permit.gone = True
        if evidence is not GoneEvidence.RUN_NOT_SENT or permit.refused:
            permit.gone_reason = GONE_REASONS[evidence]


def _verdict(permit: Permit, evidence: GoneEvidence, machine: Machine | None) -> GoneVerdict:
    """Return the verdict that an attempt is gone, with what its machine has shown; None: unknown."""
    incarnation, token, contact_at = 0, 0, 0.0
    if machine is not None:
        token = machine.seen_token
        contact_at = max(machine.last_answer_at, machine.last_heartbeat_at)
        # A lease is measured from heartbeats, so its expiry ends the incarnation that sent them
        is_by_clock = evidence is GoneEvidence.LEASE_EXPIRED
        incarnation = machine.newest_heartbeat[0] if is_by_clock else machine.incarnation
    return GoneVerdict(
        permit.attempt_id,
        permit.machine,
        evidence,
        permit.run_incarnation,
        permit.run_token,
        incarnation,
        token,
        contact_at,
    )
