"""The owner of one part of the fleet: starts what is permitted, proves what is gone, tells what became of it.

No I/O: reports, boards and the clock are passed in; commands and boards come out. Machines and their
room are `fleet`'s, candidates and held room `placement`'s. Everything here follows what has changed.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from ploverhall.coordination import fencing_tokens
from ploverhall.protocol import agents, peer_messages
from ploverhall.protocol.agents import EXITED, AttemptId, Heartbeat
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job, from_record
from ploverhall.protocol.peer_messages import (
    NOTICE_EVICTION_REQUESTED,
    AttemptUpdate,
    CandidateUpdate,
    JobUpdate,
    MachineUpdate,
    PermitUpdate,
)
from ploverhall.scheduling.inventory import (
    Inventory,
    JobTraits,
    Machine,
    Permit,
    ResourceVector,
    fits,
)
from ploverhall.scheduling.placement import Placement

TOKEN_BITS = fencing_tokens.TOKEN_BITS
FAILURE_WINDOW_S = 300.0  # how long a failure on a machine counts against it
QUARANTINE_S = 600.0  # how long a machine on which two jobs have failed is not trusted
# Before it is given back: a job that fails everywhere is found out sooner
REPLACEMENT_DELAY_S = 20.0
# A worker that has not answered a command is sent none for so long: each costs a token
COMMAND_RETRY_S = 5.0
LONG_COMMAND_RETRY_S = 60.0
UNANSWERED_BEFORE_LONG_RETRY = 8  # after so many it is long: its reports bring it what it has to do
FLAP_WINDOW_S = 60.0  # a machine that stops hearing again so soon rests, twice as long each time
INITIAL_FLAP_BACKOFF_S = 5.0
MAX_FLAP_BACKOFF_S = 120.0
SWEEP_INTERVAL_S = 0.25  # how often time itself is looked at for every machine


class ShardOwner:
    """Decides for the machines of one part."""

    def __init__(
        self,
        shard: int,
        epoch: int,
        source_count: int,
        lease_s: float,
        heartbeat_interval_s: float,
        hold_s: float,
        sample: int,
        rng: Random,
        now: float,
        holder: int | None = None,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.source_count = source_count
        self.lease_s = lease_s
        # What every worker is given to begin with
        self.initial_token = fencing_tokens.initial_token(epoch, holder)
        # What tokens that leave now say of who may answer later (coordination.afterlife)
        self.renewal_grant = 0
        # A token could not be raised any more: a new epoch is wanted
        self.token_space_exhausted = False
        self.started = now
        self.inventory = Inventory(heartbeat_interval_s)
        self.machines = self.inventory.machines
        self.placement = Placement(self.inventory, hold_s, sample, rng)
        self.jobs: dict[str, Job] = {}
        self.resources_by_job: dict[str, ResourceVector] = {}
        self.permits: dict[AttemptId, Permit] = {}
        self.permits_by_job: dict[str, dict[AttemptId, Permit]] = {}
        self.known_keys: dict[int, set[str]] = {}  # by source: the keys on its board
        # Permits that wait for others to leave
        self.waiting_for_victims: dict[AttemptId, Permit] = {}
        self.synced_sources: set[int] = set()
        self.draining_machines: set[str] = set()
        self.cordoned_machines: set[str] = set()  # machines that an order wants empty
        self.changed_attempts: set[AttemptId] = set()  # starts whose sources must hear of them
        self.source_updates: dict[tuple[int, str], Any] = self.placement.reservations.source_updates
        self.machines_needing_commands: dict[str, Machine] = {}  # machines that may need a command
        # All machines, the one that has been silent for longest first
        self.machines_by_heartbeat: dict[str, Machine] = {}
        self.suspected_machines: dict[str, Machine] = {}  # machines on which two jobs have failed
        # Machines that may not hear what they are told
        self.unconfirmed_machines: dict[str, Machine] = {}
        # Machines the renter must hear of
        self.changed_for_autoscaler: dict[str, Machine | None] = {}
        self.needs_step = True
        self.superseded_by = 0
        self.next_sweep_at = 0.0
        self.last_heartbeat_at = 0.0  # when any worker last reported
        # Begin of the newest read of the store that showed this owner's epoch in force
        self.epoch_confirmed_at = now
        # A lease has run out by this clock, and a read must show who holds the part
        self.confirmation_needed = False
        # By this node's own copy of the store
        self.job_ended_in_store: Callable[[str], bool] = lambda job_id: False

    @property
    def machine_types(self) -> dict[str, MachineType]:
        """What the cloud sells."""
        return self.inventory.machine_types

    @machine_types.setter
    def machine_types(self, types: dict[str, MachineType]) -> None:
        self.inventory.machine_types = types
        for machine in self.machines.values():
            self.inventory.mark_changed(machine)
        self.needs_step = True

    def _mark_changed(self, machine: Machine | None) -> None:
        if machine is not None:
            self.inventory.mark_changed(machine)
            self.needs_step = True

    # -- what sources want -------------------------------------------------------------------

    def on_source_update(
        self, source_shard: int, full: bool, changes: dict[str, Any], now: float
    ) -> None:
        """A source's board: jobs, candidates, and the permits here with how they should stop."""
        known = self.known_keys.setdefault(source_shard, set())
        if full:
            self.synced_sources.add(source_shard)
            changes = {**dict.fromkeys(sorted(known - changes.keys())), **changes}
        known.update(entry_key for entry_key, item in changes.items() if item is not None)
        known.difference_update(entry_key for entry_key, item in changes.items() if item is None)
        by_kind: dict[str, list[tuple[str, Any]]] = {}
        for key, value in changes.items():
            by_kind.setdefault(key[0], []).append((key, value))
        for key, value in by_kind.get(peer_messages.JOB, ()):
            if value is not None:
                self._update_job(key[1:], JobUpdate(*value))
        # a permit takes the room held for it before fewer candidates wanted give that room away
        for key, value in by_kind.get(peer_messages.PERMIT, ()):
            self._update_permit(
                peer_messages.attempt_id_of_key(key),
                source_shard,
                PermitUpdate(*value) if value is not None else None,
                now,
            )
        for key, value in by_kind.get(peer_messages.CANDIDATE, ()):
            job = self.jobs.get(key[1:])
            if value is None or job is None:
                self.placement.cancel(key[1:])
            else:
                self.placement.request(
                    source_shard,
                    job,
                    CandidateUpdate(*value),
                    self.inventory.job_traits[key[1:]].within_guarantee,
                )
        for key, value in by_kind.get(peer_messages.JOB, ()):
            if value is None:
                self._forget_job(key[1:])
        self.needs_step = True

    def _update_job(self, job_id: str, update: JobUpdate) -> None:
        resources = update.resources
        self.resources_by_job[job_id] = (resources[0], resources[1], resources[2])
        if update.record is None:
            self.jobs.pop(job_id, None)
            self.job_ended(job_id)
            return
        if job_id not in self.jobs:
            self.jobs[job_id] = from_record(update.record)
        job = self.jobs[job_id]
        before = self.inventory.job_traits.get(job_id)
        self.inventory.job_traits[job_id] = JobTraits(
            job.priority,
            bool(update.within_guarantee),
            job.team,
            job.kind,
            job.checkpoint_s,
            job.save_s,
            job.spot,
            bool(update.failing_everywhere),
            before is not None and before.claimed_guarantee,
        )
        if (
            before is None
            or before.preemption_class != self.inventory.job_traits[job_id].preemption_class
        ):
            for permit in self.permits_by_job.get(job_id, {}).values():
                self._mark_changed(
                    self.machines.get(permit.machine)
                )  # who may stop its tasks has changed
        if update.failing_everywhere and not (before is not None and before.failing_everywhere):
            self._clear_machines(job_id)

    def _forget_job(self, job_id: str) -> None:
        self.jobs.pop(job_id, None)
        self.resources_by_job.pop(job_id, None)
        self.inventory.job_traits.pop(job_id, None)
        self.placement.cancel(job_id)

    def _update_permit(
        self, attempt_id: AttemptId, source_shard: int, update: PermitUpdate | None, now: float
    ) -> None:
        permit = self.permits.get(attempt_id)
        if update is None:
            if permit is not None:
                self._drop_permit(permit)
            return
        if permit is None:
            job = self.jobs.get(attempt_id[0])
            permit = Permit(
                attempt_id,
                source_shard,
                update.machine,
                update.epoch,
                update.reservation_id,
                self.resources_by_job.get(attempt_id[0], (0.0, 0.0, 0.0)),
                job.image if job else "",
                job.image_gb if job else 0.0,
            )
            self._admit_permit(permit, update.stop_grace_s, now)
            if self.job_ended_in_store(attempt_id[0]) or job is None:
                permit.stop_grace_s = 0.0  # it was over before this owner heard of the permit
        if update.stop_grace_s is not None:
            permit.stop_grace_s = (
                update.stop_grace_s
                if permit.stop_grace_s is None
                else min(update.stop_grace_s, permit.stop_grace_s)
            )
        self._check_gone(permit)
        self._schedule_commands(self.machines.get(permit.machine))

    def _schedule_commands(self, machine: Machine | None) -> None:
        """A machine's room or commands may have changed."""
        if machine is not None:
            self._mark_changed(machine)
            self.machines_needing_commands[machine.name] = machine

    def _drop_permit(self, permit: Permit) -> None:
        """The entry has left the source's cell: the start is over or was proven gone."""
        del self.permits[permit.attempt_id]
        self.waiting_for_victims.pop(permit.attempt_id, None)
        mine = self.permits_by_job[permit.attempt_id[0]]
        del mine[permit.attempt_id]
        if not mine:
            del self.permits_by_job[permit.attempt_id[0]]
        there = self.inventory.permits_by_machine[permit.machine]
        there.pop(permit.attempt_id, None)
        if not there and permit.machine not in self.machines:
            del self.inventory.permits_by_machine[permit.machine]
        self.changed_attempts.discard(permit.attempt_id)
        self.source_updates[permit.source_shard, peer_messages.attempt_key(permit.attempt_id)] = (
            None
        )
        self._schedule_commands(self.machines.get(permit.machine))

    def _admit_permit(self, permit: Permit, stop_grace_s: float | None, now: float) -> None:
        """Take a permit that is new here. Held room becomes its room; without room it is refused (un-reserve)."""
        self.permits[permit.attempt_id] = permit
        self.permits_by_job.setdefault(permit.attempt_id[0], {})[permit.attempt_id] = permit
        self.changed_attempts.add(permit.attempt_id)
        machine = self.machines.get(permit.machine)
        held = (
            self.placement.reservations.by_job.get(permit.attempt_id[0], {})
            if permit.epoch == self.epoch
            else {}
        )
        # the hold time may have ended while the permit was written; the room may be held again, for the same candidate
        ticket = held.get(permit.reservation_id) or next(
            (reservation for reservation in held.values() if reservation.machine == permit.machine),
            None,
        )
        if ticket is not None:
            permit.overdue = ticket.overdue
            self.placement.reservations.release(ticket, requeue=False)
        if permit.epoch == self.epoch and (
            machine is None
            or machine.lease_expired
            or self.inventory.unusable(machine, now)
            or stop_grace_s is not None
            or not (
                ticket is not None or fits(permit.resources, self.inventory.free_capacity(machine))
            )
        ):
            permit.refused = True
        self.inventory.permits_by_machine.setdefault(permit.machine, {})[permit.attempt_id] = permit
        if machine is not None:
            machine.permits = self.inventory.permits_by_machine[permit.machine]
            if ticket is not None and not permit.refused:
                self._stop_victims(permit, ticket.victims, machine)

    def _stop_victims(
        self, permit: Permit, victims: tuple[AttemptId, ...], machine: Machine
    ) -> None:
        """Room was ready only by preemption: stop what is in the way, now that the start is permitted."""
        permit.victims = victims
        if victims:
            self.waiting_for_victims[permit.attempt_id] = permit
        for key in victims:
            other_permit = machine.permits.get(key)
            info = self.inventory.job_traits.get(key[0])
            if other_permit is None or other_permit.gone or info is None:
                continue
            if info.kind == "gang":
                other_permit.evict_requested = True
            elif other_permit.stop_grace_s is None:
                other_permit.stop_grace_s = info.preemption_grace_s
            self.changed_attempts.add(key)
            mine = self.inventory.job_traits.get(permit.attempt_id[0])
            by_guarantee = (
                not info.within_guarantee and mine is not None and info.priority <= mine.priority
            )
            if (
                mine is not None
                and mine.within_guarantee
                and not mine.claimed_guarantee
                and (by_guarantee or info.preemption_class[-1])
            ):
                # As what it takes the room of had it: else whom that one stopped would stop this
                # one
                mine.claimed_guarantee = True
                for q in self.permits_by_job[permit.attempt_id[0]].values():
                    self._mark_changed(self.machines.get(q.machine))

    def job_ended(self, job_id: str) -> None:
        """The state service says the job is over: stop what is here even if the source can't be heard."""
        for permit in self.permits_by_job.get(job_id, {}).values():
            if permit.stop_grace_s != 0.0:
                permit.stop_grace_s = 0.0
                self._check_gone(permit)
                self._schedule_commands(self.machines.get(permit.machine))
                self.changed_attempts.add(permit.attempt_id)
        self.placement.cancel(job_id)

    # -- what workers report -----------------------------------------------------------------

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: float, direct: bool = False, relayed: bool = False
    ) -> Machine | None:
        """Take in a report. None: its token is above this owner's, so this owner has been deposed.

        Only a message newer than all before it says anything. Any other is marked (`Machine.copy`): it doesn't even show that the
        machine lives, and its answer renews no lease, for the worker has sent another report since and waits for that one's.
        """
        if fencing_tokens.epoch_of(heartbeat.token) > self.epoch:
            self.superseded_by = max(self.superseded_by, fencing_tokens.epoch_of(heartbeat.token))
            return None
        machine = self.machines.get(heartbeat.machine)
        if machine is None:
            machine = Machine(
                heartbeat.machine,
                heartbeat.address,
                heartbeat.type,
                heartbeat.zone,
                heartbeat.spot,
                self.initial_token,
                awaited_token=self.initial_token,
                awaited_since=now,
            )
            if heartbeat.machine in self.inventory.proven_gone:
                machine.stale_heartbeat = True  # sent before it went; it is not remembered
                return machine
            machine.draining, machine.cordoned = (
                heartbeat.machine in self.draining_machines,
                heartbeat.machine in self.cordoned_machines,
            )
            machine.permits = self.inventory.permits_by_machine.setdefault(heartbeat.machine, {})
            self.inventory.set_images(
                machine, self.inventory.remembered_images.pop(heartbeat.machine, {})
            )
            self.machines[heartbeat.machine] = self.unconfirmed_machines[heartbeat.machine] = (
                machine
            )
            self._schedule_commands(machine)
        machine.token = max(machine.token, heartbeat.token)
        # after a lease without news even a lower number counts (a worker that began anew), but nothing goes there before it shows
        # that it hears
        if machine.lease_expired and (heartbeat.incarnation, heartbeat.sequence) <= max(
            machine.newest_heartbeat, (machine.incarnation, machine.sequence)
        ):
            machine.newest_heartbeat = (0, 0)
            machine.incarnation = 0
            machine.sequence = 0
            self._await_token(machine, now)
        machine.stale_heartbeat = (heartbeat.incarnation, heartbeat.sequence) <= (
            machine.newest_heartbeat if not direct else (machine.incarnation, machine.sequence)
        )
        if machine.stale_heartbeat:
            return machine
        # This one's answer to the last report has not come: it went on
        answer_lost = relayed and machine.newest_heartbeat == (
            heartbeat.incarnation,
            heartbeat.sequence - 1,
        )
        if not direct:
            machine.newest_heartbeat = (heartbeat.incarnation, heartbeat.sequence)
            self.last_heartbeat_at = now
            was_unresponsive = (
                now - machine.last_heartbeat_at > 2.0 * self.inventory.heartbeat_interval_s
            )
            machine.last_heartbeat_at = now
            self.machines_by_heartbeat.pop(machine.name, None)
            self.machines_by_heartbeat[machine.name] = machine
            if was_unresponsive:
                self._mark_changed(machine)
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence):
            return machine  # an old message: its list is older than what is known
        accepted_token = (
            machine.accepted_token or fencing_tokens.epoch_of(heartbeat.token) == self.epoch
        )
        if machine.awaited_token and heartbeat.token >= machine.awaited_token:
            self._token_confirmed(machine, now)
        elif answer_lost or 0 < machine.incarnation < heartbeat.incarnation:
            self._await_token(machine, now)  # or its lease ran out, though it was heard
        same_tasks = heartbeat.listed_tasks == machine.listed_tasks
        informative = (
            not same_tasks
            or heartbeat.incarnation != machine.incarnation
            or heartbeat.token != machine.seen_token
            or (heartbeat.termination_notice_s is None) != (machine.termination_notice_s is None)
            or machine.lease_expired
            or not machine.accepted_token
        )
        if not direct:
            machine.lease_expired = False
        machine.address = heartbeat.address
        (
            machine.incarnation,
            machine.sequence,
            machine.seen_token,
            machine.termination_notice_s,
            machine.accepted_token,
        ) = (
            heartbeat.incarnation,
            heartbeat.sequence,
            heartbeat.token,
            heartbeat.termination_notice_s,
            accepted_token,
        )
        if not same_tasks:
            self._update_tasks(machine, heartbeat, now)
        elif heartbeat.termination_notice_s is not None:
            self.changed_attempts.update(
                attempt_id for attempt_id in machine.tasks if attempt_id in machine.permits
            )
        if not direct and machine.runs_in_answer:
            # it waits for one answer at a time: this report was sent when it had that one, or had given it up
            if any(
                attempt_id not in machine.tasks
                and attempt_id in machine.permits
                and not machine.permits[attempt_id].gone
                for attempt_id in machine.runs_in_answer
            ):
                self._await_token(machine, now)
            machine.runs_in_answer.clear()
        if (
            informative
        ):  # most reports say nothing new: no proof can follow from them that did not follow before
            self._schedule_commands(machine)
            for permit in machine.permits.values():
                self._check_gone(permit)
        return machine

    def _await_token(self, machine: Machine, now: float) -> None:
        """What a machine was told has not reached it: nothing new goes there until it shows a token that was raised after that.

        Its reports may arrive all the time. It looked alive and empty, and each lease that ran out there was followed by new starts
        (played world: 9 in a minute on one machine).
        """
        if not machine.awaited_token and self._raise_token(machine):
            machine.awaited_token = machine.token
            machine.awaited_since = now
            self.unconfirmed_machines[machine.name] = machine
            self._mark_changed(machine)

    def _token_confirmed(self, machine: Machine, now: float) -> None:
        """It has taken a token that was raised since the doubt began."""
        # It leaves `unheard` with the next sweep that finds its rest over
        machine.awaited_token = 0
        if machine.not_receiving:
            machine.not_receiving = False
            machine.flap_backoff_s = (
                min(MAX_FLAP_BACKOFF_S, max(INITIAL_FLAP_BACKOFF_S, 2.0 * machine.flap_backoff_s))
                if now - machine.receiving_again_at < machine.flap_backoff_s + FLAP_WINDOW_S
                else 0.0
            )
            machine.receiving_again_at = now
        self._mark_changed(machine)

    def _update_tasks(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        tasks = heartbeat.tasks()
        for key, task in tasks.items():
            old = machine.tasks.get(key)
            if old is None or old != task or heartbeat.termination_notice_s is not None:
                self.changed_attempts.add(key)
                if (
                    task.state == "running"
                    and key in machine.permits
                    and machine.permits[key].running_since is None
                ):
                    machine.permits[key].running_since = now
                if (
                    task.state == EXITED
                    and task.reason == "error"
                    and (old is None or old.state != EXITED)
                ):
                    self._record_failure(machine, key[0], now)
        self.changed_attempts.update(key for key in machine.tasks if key not in tasks)
        machine.tasks = tasks
        machine.listed_tasks = heartbeat.listed_tasks
        for key, task in tasks.items():
            if (
                task.state not in (EXITED, "fetching")
                and (held := machine.permits.get(key)) is not None
                and held.image
            ):
                self.inventory.record_image(machine, held.image, held.image_gb)

    def _record_failure(self, machine: Machine, job_id: str, now: float) -> None:
        """A job that fails here may be at fault itself; two different jobs failing point at the machine.

        A job that its source knows to fail everywhere speaks against no machine: two such jobs took good machines away
        one by one. Until that is settled the machine takes nothing new, but it is not given back.
        """
        info = self.inventory.job_traits.get(job_id)
        machine.failures_by_job = {
            other_id: at
            for other_id, at in machine.failures_by_job.items()
            if now - at < FAILURE_WINDOW_S
        }
        if info is not None and not info.failing_everywhere:
            machine.failures_by_job[job_id] = now
        if len(machine.failures_by_job) >= 2 and not machine.quarantined_until:
            machine.quarantined_since = now
        if len(machine.failures_by_job) >= 2:
            machine.quarantined_until = now + QUARANTINE_S
            self.suspected_machines[machine.name] = machine

    def _clear_machines(self, job_id: str) -> None:
        """A job fails everywhere: the machines that it failed on are not to blame for it."""
        for machine in self.machines.values():
            if (
                machine.failures_by_job.pop(job_id, None) is not None
                and len(machine.failures_by_job) < 2
                and machine.quarantined_until
                and not machine.replacement_due
            ):
                machine.quarantined_until = machine.quarantined_since = 0.0
                self._mark_changed(machine)

    def _check_gone(self, permit: Permit) -> None:
        """The proofs that a start is not on its machine and can't get there any more."""
        if permit.gone:
            return
        machine = self.machines.get(permit.machine)
        if permit.machine in self.inventory.proven_gone:
            permit.gone = True
            permit.gone_reason = "its machine is gone"
        elif permit.refused and permit.run_token == 0 and permit.epoch == self.epoch:
            # This owner offered the room and has never sent the run
            permit.gone = True
            permit.gone_reason = "its room was taken"
        elif (
            machine is not None
            and permit.attempt_id not in machine.tasks
            and machine.accepted_token
        ):
            if permit.run_token:
                # the newest list omits it under a token raised since the last run left, or the session rose
                permit.gone = (
                    machine.seen_token > permit.run_token
                    or machine.incarnation > permit.run_incarnation
                )
                permit.gone_reason = (
                    "its worker's lease ran out"
                    if machine.incarnation > permit.run_incarnation
                    else "its worker no longer has it"
                )
            elif permit.epoch < self.epoch:
                # Earlier runs bear tokens below the one the worker has taken
                permit.gone = True
                permit.gone_reason = "its worker no longer has it"
            elif permit.stop_grace_s is not None and permit.epoch == self.epoch:
                permit.gone = True  # never sent
        if permit.gone:
            self.changed_attempts.add(permit.attempt_id)
            self._schedule_commands(machine)

    def on_event_loop_stall(self, seconds: float, now: float) -> None:
        """This process has stood still: what came meanwhile is still to be read, so nobody was silent for that time."""
        for machine in self.machines.values():
            machine.last_heartbeat_at = min(now, machine.last_heartbeat_at + seconds)
            # a new life of this controller may have been started meanwhile, and may answer it with this one's tokens: its silence
            # proves nothing until it has reported here again (coordination.afterlife)
            machine.accepted_token = False
        self.last_heartbeat_at = (
            min(now, self.last_heartbeat_at + seconds) if self.last_heartbeat_at else 0.0
        )
        self.next_sweep_at = now + SWEEP_INTERVAL_S

    def advance_time(self, now: float) -> None:
        """Time passes: held room is freed, silent machines lose their lease."""
        self.placement.reservations.expire(now)
        if now >= self.next_sweep_at:
            self.next_sweep_at = now + SWEEP_INTERVAL_S
            self._sweep(now)

    def _sweep(self, now: float) -> None:
        """Silent machines and doubtful ones; all others cost nothing here, however many they are."""
        forgotten = []
        for machine in self.machines_by_heartbeat.values():
            if now - machine.last_heartbeat_at <= self.inventory.unresponsive_after_s:
                break  # and all that follow have reported later
            ends = (
                max(machine.last_answer_at, machine.last_heartbeat_at) + self.lease_s * 1.002 + 1.0
            )
            if machine.accepted_token and not machine.lease_expired and now > ends:
                # it took this owner's token, and its lease has not been renewed since: it has killed everything.
                # But only if nobody else could renew it: a controller that stood still wakes with old beliefs, and a
                # source that doesn't follow the store just then would believe it. A read begun later shows who holds the part.
                if self.epoch_confirmed_at <= ends:
                    self.confirmation_needed = True
                    continue
                machine.lease_expired = True
                machine.command_pending = False
                self._schedule_commands(machine)
                for permit in machine.permits.values():
                    if (
                        permit.run_token
                        or permit.epoch < self.epoch
                        or permit.attempt_id in machine.tasks
                    ):
                        permit.gone, permit.gone_reason = (
                            True,
                            permit.gone_reason or "its worker was silent until its lease ran out",
                        )
                    else:
                        permit.refused = True
                        self._check_gone(permit)
                    self.changed_attempts.add(permit.attempt_id)
                machine.tasks = {}
                machine.listed_tasks = None
            elif (
                (machine.lease_expired or not machine.accepted_token)
                and now - machine.last_heartbeat_at > 900
                and not machine.permits
            ):
                forgotten.append(machine)
            if (
                machine.reservations or machine.index_bucket is not None
            ) and self.inventory.unusable(machine, now):
                self.placement.reservations.release_machine(machine)
                self._mark_changed(machine)
        for machine in list(self.unconfirmed_machines.values()):
            if not machine.awaited_token:
                if now >= machine.receiving_again_at + machine.flap_backoff_s:
                    del self.unconfirmed_machines[machine.name]
                    self._mark_changed(machine)
                continue
            if (
                not machine.not_receiving
                and now - machine.awaited_since > 2.5 * self.inventory.heartbeat_interval_s + 2.0
                and machine.last_heartbeat_at > machine.awaited_since
            ):
                machine.not_receiving = True
                self._mark_changed(machine)
                for permit in machine.permits.values():
                    info = self.inventory.job_traits.get(permit.attempt_id[0])
                    if (
                        info is not None
                        and info.kind == "gang"
                        and permit.attempt_id not in machine.tasks
                        and not permit.gone
                        and permit.stop_grace_s is None
                    ):
                        permit.evict_requested = True  # the others wait for it in vain
                        self.changed_attempts.add(permit.attempt_id)
        for machine in list(self.suspected_machines.values()):
            if not machine.quarantined_until or machine.quarantined_until <= now:
                machine.quarantined_until = machine.quarantined_since = 0.0
                machine.replacement_due = False
                del self.suspected_machines[machine.name]
                self._mark_changed(machine)
            elif (
                not machine.replacement_due
                and now - machine.quarantined_since > REPLACEMENT_DELAY_S
            ):
                machine.replacement_due = True
                self.changed_for_autoscaler[machine.name] = machine
        for machine in forgotten:
            self._forget_machine(machine)
            self.inventory.permits_by_machine.pop(machine.name, None)
            self.changed_for_autoscaler[machine.name] = None

    def _forget_machine(self, machine: Machine) -> None:
        """The machine is not known any more."""
        self.inventory.remove(machine)
        self.machines_by_heartbeat.pop(machine.name, None)
        self.suspected_machines.pop(machine.name, None)
        self.unconfirmed_machines.pop(machine.name, None)

    def on_machines_deleted(self, names: list[str]) -> None:
        """The cloud confirmed that these machines are gone."""
        for name in names:
            if name in self.inventory.proven_gone:
                continue
            self.inventory.proven_gone.add(name)
            machine = self.machines.get(name)
            if machine is not None:
                self.placement.reservations.release_machine(machine)
                self._forget_machine(machine)
            self.machines_needing_commands.pop(name, None)
            self.changed_for_autoscaler[name] = None
            for permit in self.inventory.permits_by_machine.get(name, {}).values():
                self._check_gone(permit)
            self.needs_step = True

    # -- placing -----------------------------------------------------------------------------

    def place_candidates(self, now: float) -> None:
        """Hold room for every candidate that fits; the others wait here until room appears or they are cancelled."""
        for machine in self.inventory.refresh_changed(now):
            self.changed_for_autoscaler[machine.name] = machine
            if machine.reservations and self.inventory.unusable(machine, now):
                self.placement.reservations.release_machine(machine)
        self.inventory.refresh_changed(now)
        if self.waiting_for_victims:
            for permit in [
                permit
                for permit in self.waiting_for_victims.values()
                if permit.gone
                or not self._waits_for_victims(permit, self.machines.get(permit.machine))
            ]:
                del self.waiting_for_victims[permit.attempt_id]
        self.placement.preemption.victims = {
            attempt_id
            for permit in self.waiting_for_victims.values()
            for attempt_id in permit.victims
        }
        self.placement.place_waiting(now)
        for machine in self.inventory.changed_machines.values():
            self.changed_for_autoscaler[machine.name] = machine

    # -- commands ----------------------------------------------------------------------------

    def _waits_for_victims(self, permit: Permit, machine: Machine | None) -> bool:
        """Whether work that leaves for it is still there."""
        return machine is not None and any(
            attempt_id in machine.permits
            and not machine.permits[attempt_id].gone
            and not ((task := machine.tasks.get(attempt_id)) is not None and task.state == EXITED)
            for attempt_id in permit.victims
        )

    def _raise_token(self, machine: Machine) -> bool:
        """Fence what was sent to a machine so far; False when this epoch has no token left for it."""
        token = fencing_tokens.next_token(machine.token)
        if token is None:
            self.token_space_exhausted = True
            return False
        machine.token = token
        return True

    def _may_run(self, permit: Permit, machine: Machine) -> bool:
        return (
            not permit.gone
            and not permit.refused
            and permit.stop_grace_s is None
            and permit.epoch == self.epoch
            and permit.attempt_id not in machine.tasks
            and machine.accepted_token
            and not self._waits_for_victims(permit, machine)
        )

    def commands_for(
        self, machine: Machine, now: float, direct: bool = False
    ) -> list[dict[str, Any]]:
        """What the worker has to do for the wanted state; marks runs as sent under the machine's token."""
        out: list[dict[str, Any]] = []
        runs: list[Permit] = []
        if (
            token := fencing_tokens.with_renewal_grant(machine.token, self.renewal_grant)
        ) is not None:
            machine.token = token
        else:
            # The worker keeps an earlier right, which ends sooner
            self.token_space_exhausted = True
        for permit in machine.permits.values():
            task = machine.tasks.get(permit.attempt_id)
            if task is not None:
                if (
                    permit.stop_grace_s is not None
                    and task.state != EXITED
                    and (task.state != "saving" or permit.stop_grace_s == 0.0)
                ):
                    if not direct or permit.kill_sent_grace_s != permit.stop_grace_s:
                        out.append(agents.kill_command(permit.attempt_id, permit.stop_grace_s))
                        permit.kill_sent_grace_s = permit.stop_grace_s
            elif self._may_run(permit, machine):
                if permit.run_token and machine.incarnation > permit.run_incarnation:
                    continue  # it ran in a session that is over; the source decides what follows
                if not direct or not permit.run_sent_directly:
                    runs.append(permit)
            elif (
                permit.run_token
                and not permit.gone
                and permit.attempt_id not in machine.tasks
                and permit.stop_grace_s is not None
                and machine.token <= permit.run_token
            ):
                # a run may be on its way: only a list under a higher token proves that it is not there
                self._raise_token(machine)
        if not direct:
            for key, task in machine.tasks.items():
                if key in machine.permits:
                    continue
                if len(self.synced_sources) < self.source_count:
                    # its source has not been heard yet; but a job that is over needs no source to be stopped:
                    # seen when an owner that had just taken over was cut from the source of a cancelled job
                    if task.state != EXITED and self.job_ended_in_store(key[0]):
                        out.append(agents.kill_command(key, 0.0))
                    continue
                if task.state != EXITED:
                    out.append(agents.kill_command(key, 0.0))  # nobody has permitted it
                else:
                    if key in machine.inflight_runs:
                        if not self._raise_token(
                            machine
                        ):  # a run of it may still arrive; after reap it would start again
                            continue
                        machine.inflight_runs.clear()
                    out.append(agents.reap_command(key))
        for permit in runs:
            out.append(agents.run_command(permit.attempt_id))
            permit.run_token = machine.token
            permit.run_incarnation = machine.incarnation
            if direct:
                permit.run_sent_directly = True
                machine.inflight_runs.add(permit.attempt_id)
            else:
                machine.runs_in_answer.add(permit.attempt_id)
        return out

    def direct_commands(self, now: float) -> list[tuple[Machine, dict[str, Any]]]:
        """Commands worth sending straight to a worker, one unanswered request a machine."""
        out = []
        for machine in list(self.machines_needing_commands.values()):
            if machine.command_pending or now < machine.next_command_at:
                continue  # looked at again when that is over
            del self.machines_needing_commands[machine.name]
            if machine.lease_expired or not machine.accepted_token or not machine.permits:
                continue
            calls = self.commands_for(machine, now, direct=True)
            if calls:
                machine.command_pending = True
                out.append(
                    (machine, agents.direct_request(machine.token, machine.incarnation, calls))
                )
        return out

    def on_direct_answer(self, machine: Machine, heartbeat: Heartbeat | None, now: float) -> None:
        """The answer to a /do, or None: it may still be executed, so the token is raised to fence it."""
        machine.command_pending = False
        machine.inflight_runs.clear()
        if heartbeat is None:
            if machine.awaited_token:
                self._raise_token(machine)  # fenced each time
            else:
                self._await_token(machine, now)
            for permit in machine.permits.values():
                # Nor need a stop have arrived: where its reports don't come either, nothing else
                # would bring it
                permit.kill_sent_grace_s = None
            machine.unanswered_commands += 1
            machine.next_command_at = now + (
                COMMAND_RETRY_S
                if machine.unanswered_commands < UNANSWERED_BEFORE_LONG_RETRY
                else LONG_COMMAND_RETRY_S
            )
            self.needs_step = True
        elif (
            self.machines.get(machine.name) is machine
        ):  # a late answer brings no machine back that is gone: the sweep would never see it
            machine.unanswered_commands = 0
            self.on_heartbeat(heartbeat, now, direct=True)
        if self.machines.get(machine.name) is machine:
            self._schedule_commands(machine)  # its room is empty for the renter only now

    # -- what sources and the renter are told ------------------------------------------------

    def attempt_update(self, permit: Permit) -> AttemptUpdate:
        """What became of a permit."""
        machine = self.machines.get(permit.machine)
        task = machine.tasks.get(permit.attempt_id) if machine is not None else None
        if task is not None and not permit.gone:
            asked = NOTICE_EVICTION_REQUESTED if machine is not None and machine.cordoned else 0
            notice = (
                1
                if machine is not None and machine.termination_notice_s is not None
                else 2
                if permit.evict_requested
                else asked
            )
            suspect = (
                machine is not None
                and task.reason == "error"
                and any(job_id != permit.attempt_id[0] for job_id in machine.failures_by_job)
            )
            return AttemptUpdate(
                task.state, task.reason, int(task.checkpoint_saved), notice, int(suspect)
            )
        return (
            AttemptUpdate("gone", permit.gone_reason, 0, 0)
            if permit.gone
            else AttemptUpdate("permitted", "", 0, 2 if permit.evict_requested else 0)
        )

    def take_source_updates(self) -> dict[tuple[int, str], Any]:
        """What has changed for the sources since the last time: (source, key) -> value."""
        for key in sorted(self.changed_attempts):
            if (permit := self.permits.get(key)) is not None:
                self.source_updates[permit.source_shard, peer_messages.attempt_key(key)] = (
                    self.attempt_update(permit)
                )
        self.changed_attempts.clear()
        out = dict(self.source_updates)
        self.source_updates.clear()
        return out

    def unprovable_machines(self, now: float) -> list[str]:
        """Machines that permits name and that this owner can't prove anything about: the cloud may."""
        if now - self.started < self.lease_s:
            return []
        out = []
        for name, permits in self.inventory.permits_by_machine.items():
            if permits:
                machine = self.machines.get(name)
                if (
                    machine is None
                    or (
                        not machine.accepted_token
                        and now - machine.last_heartbeat_at > self.lease_s
                    )
                ) and any(not permit.gone for permit in permits.values()):
                    out.append(name)
        return sorted(out)

    def machine_update(self, machine: Machine, now: float) -> MachineUpdate | None:
        """What the renter needs to know of a machine."""
        if machine.lease_expired or self.machines.get(machine.name) is not machine:
            return None
        empty = (
            not machine.tasks
            and not machine.reservations
            and all(permit.gone for permit in machine.permits.values())
            and not machine.command_pending
        )
        firm = any(
            i is not None and not i.spot_allowed
            for i in (
                self.inventory.job_traits.get(attempt_id[0]) for attempt_id in machine.permits
            )
        )
        room = self.inventory.free_capacity(machine)
        return MachineUpdate(
            machine.type,
            machine.zone,
            int(machine.spot),
            [round(x, 3) for x in room],
            int(empty),
            1 if machine.draining else 2 if machine.cordoned else 0,
            int(
                machine.termination_notice_s is not None
                or machine.not_receiving
                or not machine.accepted_token
            ),
            int(machine.replacement_due),
            int(firm),
            [round(x, 3) for x in self.inventory.capacity_for_services(machine, room)],
        )

    def take_machine_updates(self, now: float) -> dict[str, MachineUpdate | None]:
        """The machines something happened to since the last time."""
        seen = self.changed_for_autoscaler
        self.changed_for_autoscaler = {}
        return {
            name: self.machine_update(machine, now) if machine is not None else None
            for name, machine in seen.items()
        }

    def set_cordoned(self, names: list[str]) -> None:
        """An order wants these machines empty: nothing new goes there, and the sources are asked to let go of what is there."""
        new = set(names)
        for name in sorted(new ^ self.cordoned_machines):
            machine = self.machines.get(name)
            if machine is not None:
                machine.cordoned = name in new
                self.changed_attempts.update(machine.permits)
                self._mark_changed(machine)
        self.cordoned_machines = new

    def set_draining(self, names: list[str]) -> None:
        """The renter wants these machines empty."""
        new = set(names)
        for name in sorted(new - self.draining_machines):
            machine = self.machines.get(name)
            # a return whose outcome is unknown may still be executed: draining is never taken back
            if machine is not None and not machine.draining:
                machine.draining = True
                self._mark_changed(machine)
        self.draining_machines = new
