"""Handles the jobs, candidates and permits that sources send to the owner of one shard.

The shard owner passes in the changes that arrive on a source's state channel. Candidates are passed
on to `Placement`, permits to `PermitTable`. No I/O.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ploverhall.protocol import peer_messages
from ploverhall.protocol.jobs import Job, from_record
from ploverhall.protocol.peer_messages import CandidateUpdate, JobUpdate, PermitUpdate
from ploverhall.scheduling.machine_health import MachineQuarantine
from ploverhall.scheduling.machines import JobTraits
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.placement import Placement
from ploverhall.scheduling.shard_state import ShardState
from ploverhall.scheduling.step_queue import StepQueue

NO_SOURCE = -1  # source of an operation that a controller makes itself
# Kinds of operations besides the published ones
FORGET_JOB = "forget job"
STOP = "stop"  # stops the attempt in `value`
SYNCED = "synced"  # all that a full sync contains has been applied
# The kinds in which sources publish changes; those of later releases are ignored
PUBLISHED_KINDS = (peer_messages.JOB, peer_messages.PERMIT, peer_messages.CANDIDATE)
# Permits claim their reservations before a lower candidate count would release them
APPLICATION_ORDER = (*PUBLISHED_KINDS, FORGET_JOB, SYNCED)


class Operation(NamedTuple):
    """A change to be applied to the shard."""

    kind: str
    source_shard: int
    key: str  # on the state channel
    value: Any


class SourceRequests:
    """Applies the changes on the sources' state channels to the shard."""

    def __init__(
        self,
        state: ShardState,
        permit_table: PermitTable,
        placement: Placement,
        quarantine: MachineQuarantine,
    ) -> None:
        self.state = state
        self.permit_table = permit_table
        self.placement = placement
        self.quarantine = quarantine
        self.known_keys: dict[int, set[str]] = {}  # by source shard: keys on its state channel
        self.pending = StepQueue(self._apply)

    def update(self, source_shard: int, full: bool, changes: dict[str, Any], now: float) -> None:
        """Apply changes of a source's jobs, candidates and permits; a None value deletes the key.

        If `full`, `changes` holds the complete state, and all other known keys are deleted. Of a
        large update only the first part is applied at once, and later updates wait their turn.
        """
        known = self.known_keys.setdefault(source_shard, set())
        if full:
            changes = {**dict.fromkeys(sorted(known - changes.keys())), **changes}
        known.update(key for key, value in changes.items() if value is not None)
        known.difference_update(key for key, value in changes.items() if value is None)
        by_kind: dict[str, list[Operation]] = {kind: [] for kind in APPLICATION_ORDER}
        for key, value in changes.items():
            kind = FORGET_JOB if key[0] == peer_messages.JOB and value is None else key[0]
            if key[0] in PUBLISHED_KINDS:
                by_kind[kind].append(Operation(kind, source_shard, key, value))
        if full:
            by_kind[SYNCED].append(Operation(SYNCED, source_shard, "", None))
        operations = [operation for of_kind in by_kind.values() for operation in of_kind]
        self.pending.add(operations, now)
        self.state.needs_step = True

    def _apply(self, operation: Operation, now: float) -> None:
        kind, source_shard, key, value = operation
        if kind == peer_messages.JOB:
            self._update_job(key[1:], JobUpdate(*value), now)
        elif kind == FORGET_JOB:
            self._forget_job(key[1:])
        elif kind == peer_messages.PERMIT:
            update = PermitUpdate(*value) if value is not None else None
            attempt_id = peer_messages.attempt_id_of_key(key)
            self.permit_table.update(attempt_id, source_shard, update, now)
        elif kind == peer_messages.CANDIDATE:
            self._update_candidates(
                key[1:], source_shard, CandidateUpdate(*value) if value is not None else None
            )
        elif kind == STOP:
            self.permit_table.stop(value)
        elif kind == SYNCED:
            # Only now are all permits of the source known
            self.state.synced_sources.add(source_shard)

    def _update_candidates(
        self, job_id: str, source_shard: int, update: CandidateUpdate | None
    ) -> None:
        job = self.state.jobs.get(job_id)
        if update is None or job is None:
            self.placement.cancel(job_id)
            return
        traits = self.state.inventory.job_traits[job_id]
        self.placement.request(source_shard, job, update, traits.within_guarantee)

    def _update_job(self, job_id: str, update: JobUpdate, now: float) -> None:
        resources = update.resources
        self.state.resources_by_job[job_id] = (resources[0], resources[1], resources[2])
        if update.record is None:
            self.state.jobs.pop(job_id, None)
            self.end_job(job_id, now)
            return
        if job_id not in self.state.jobs:
            self.state.jobs[job_id] = from_record(update.record)
        old = self.state.inventory.job_traits.get(job_id)
        traits = _job_traits(self.state.jobs[job_id], update, old)
        self.state.inventory.job_traits[job_id] = traits
        if old is None or old.preemption_class != traits.preemption_class:
            self.permit_table.job_traits_changed(job_id)
        if update.failing_everywhere and not (old is not None and old.failing_everywhere):
            self.quarantine.clear_machines(job_id)

    def _forget_job(self, job_id: str) -> None:
        self.state.jobs.pop(job_id, None)
        self.state.resources_by_job.pop(job_id, None)
        self.state.inventory.job_traits.pop(job_id, None)
        self.permit_table.job_traits_changed(job_id)
        self.placement.cancel(job_id)

    def end_job(self, job_id: str, now: float) -> None:
        """Stop a job that has ended in the key-value store, even if its source is unreachable.

        Of many attempts only the first ones are stopped at once.
        """
        self.placement.cancel(job_id)
        attempts = self.permit_table.permits_by_job.get(job_id, ())
        stops = [Operation(STOP, NO_SOURCE, "", attempt_id) for attempt_id in attempts]
        self.pending.add(stops, now)
        self.state.needs_step = True


def _job_traits(job: Job, update: JobUpdate, old: JobTraits | None) -> JobTraits:
    """Return the traits of a job after an update; `claimed_guarantee` is kept once it is set."""
    return JobTraits(
        job.priority,
        bool(update.within_guarantee),
        job.team,
        job.kind,
        job.checkpoint_s,
        job.save_s,
        job.spot,
        bool(update.failing_everywhere),
        old is not None and old.claimed_guarantee,
    )
