"""Handles the jobs, candidates and permits that sources send to the owner of one shard.

The shard owner passes in the changes that arrive on a source's state channel. Candidates are passed
on to `Placement`, permits to `PermitTable`. No I/O.
"""

from __future__ import annotations

from typing import Any

from ploverhall.protocol import peer_messages
from ploverhall.protocol.jobs import Job, from_record
from ploverhall.protocol.peer_messages import CandidateUpdate, JobUpdate, PermitUpdate
from ploverhall.scheduling.machine_health import MachineQuarantine
from ploverhall.scheduling.machines import JobTraits
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.placement import Placement
from ploverhall.scheduling.shard_state import ShardState


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

    def update(self, source_shard: int, full: bool, changes: dict[str, Any], now: float) -> None:
        """Apply changes of a source's jobs, candidates and permits; a None value deletes the key.

        If `full`, `changes` holds the complete state, and all other known keys are deleted.
        """
        known = self.known_keys.setdefault(source_shard, set())
        if full:
            self.state.synced_sources.add(source_shard)
            changes = {**dict.fromkeys(sorted(known - changes.keys())), **changes}
        known.update(key for key, value in changes.items() if value is not None)
        known.difference_update(key for key, value in changes.items() if value is None)
        by_kind: dict[str, list[tuple[str, Any]]] = {}
        for key, value in changes.items():
            by_kind.setdefault(key[0], []).append((key, value))
        for key, value in by_kind.get(peer_messages.JOB, ()):
            if value is not None:
                self._update_job(key[1:], JobUpdate(*value))
        # Permits claim their reservations before a lower candidate count would release them
        for key, value in by_kind.get(peer_messages.PERMIT, ()):
            attempt_id = peer_messages.attempt_id_of_key(key)
            update = PermitUpdate(*value) if value is not None else None
            self.permit_table.update(attempt_id, source_shard, update, now)
        for key, value in by_kind.get(peer_messages.CANDIDATE, ()):
            self._update_candidates(
                key[1:], source_shard, CandidateUpdate(*value) if value is not None else None
            )
        for key, value in by_kind.get(peer_messages.JOB, ()):
            if value is None:
                self._forget_job(key[1:])
        self.state.needs_step = True

    def _update_candidates(
        self, job_id: str, source_shard: int, update: CandidateUpdate | None
    ) -> None:
        job = self.state.jobs.get(job_id)
        if update is None or job is None:
            self.placement.cancel(job_id)
            return
        traits = self.state.inventory.job_traits[job_id]
        self.placement.request(source_shard, job, update, traits.within_guarantee)

    def _update_job(self, job_id: str, update: JobUpdate) -> None:
        resources = update.resources
        self.state.resources_by_job[job_id] = (resources[0], resources[1], resources[2])
        if update.record is None:
            self.state.jobs.pop(job_id, None)
            self.end_job(job_id)
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

    def end_job(self, job_id: str) -> None:
        """Stop a job that has ended in the key-value store, even if its source is unreachable."""
        self.permit_table.stop_job(job_id)
        self.placement.cancel(job_id)


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
