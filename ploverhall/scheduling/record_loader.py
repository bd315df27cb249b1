"""Loads the allocation records and progress values that the key-value store holds for a team.

Called by the controller's write loop when a source starts, and whenever the outcome of a write is
unknown or its conditions failed. No I/O.
"""

from __future__ import annotations

import base64
from collections.abc import Iterator
from typing import Any

from ploverhall.protocol.agents import AttemptId
from ploverhall.scheduling.allocations import AllocationStore
from ploverhall.scheduling.job_state import TASKS_PER_PROGRESS_VALUE, JobState
from ploverhall.scheduling.record_chunks import Allocation, RecordChunk
from ploverhall.storage.schema import progress_prefix

MAX_RECORDS_PER_STEP = 2_000  # allocations that are installed in one step


class RecordLoader:
    """Updates the jobs and allocations of a source to match the key-value store."""

    def __init__(self, store: AllocationStore) -> None:
        self.store = store

    def install_allocations(
        self, team: str, stored_values: dict[str, tuple[Any, int]], now: float
    ) -> None:
        """Replace a team's chunks by those read from the store, given as key -> (value, version).

        Called whenever the outcome of a write is unknown or its conditions failed. Allocations that
        are not stored are removed.
        """
        for _ in self.install_in_steps(team, stored_values, now):
            pass

    def install_in_steps(
        self, team: str, stored_values: dict[str, tuple[Any, int]], now: float
    ) -> Iterator[None]:
        """Install a team's chunks as `install_allocations` does; yield after every few thousand.

        Called when a source starts, which decides nothing before all chunks are installed.
        """
        installed_count = 0  # since the last step
        stored_attempts: set[AttemptId] = set()
        old_chunks = self.store.chunks[team]
        for chunk in old_chunks.values():
            self.store.dirty_chunks.pop(chunk, None)
        self.store.chunks[team] = {}
        self.store.chunks_with_room[team] = {}
        for key, (value, version) in stored_values.items():
            chunk = RecordChunk(team, int(key.rsplit("/", 1)[1]), version)
            self.store.chunks[team][chunk.index] = chunk
            for job_id, (resources, records) in value.items():
                for record in records:
                    job_state = self._job_of_record(job_id, team, resources, now)
                    allocation = self._install_record(job_state, chunk, record)
                    stored_attempts.add(allocation.attempt_id)
                    if allocation.finished:
                        self.store.dirty_chunks.setdefault(chunk, False)
            self.store.update_room(chunk)
            installed_count += len(chunk.allocations)
            if installed_count >= MAX_RECORDS_PER_STEP:
                installed_count = 0
                yield
        self._remove_unstored(old_chunks, stored_attempts)

    def _job_of_record(
        self, job_id: str, team: str, resources: list[float], now: float
    ) -> JobState:
        """Return the state of a stored job; an unknown job is assumed to have ended."""
        job_state = self.store.jobs.get(job_id)
        if job_state is None:
            job_state = self.store.jobs[job_id] = JobState(
                job_id,
                team,
                (resources[0], resources[1], resources[2]),
                waiting_since=now,
                arrived_at=now,
            )
        return job_state

    def _install_record(
        self, job_state: JobState, chunk: RecordChunk, record: list[Any]
    ) -> Allocation:
        """Return the allocation of a stored record: the existing one, or a new one."""
        task, attempt, machine, shard, zone, epoch, reservation_id = record
        existing = job_state.allocations.get(task)
        if existing is not None and existing.attempt == attempt:
            chunk.add(existing, job_state.resources)
            self.store.mark_committed(job_state, existing)
            return existing
        if existing is not None:
            self.store.remove(job_state, existing)
            self.store.jobs[job_state.id] = job_state
        allocation = Allocation(
            job_state.id,
            task,
            attempt,
            machine,
            shard,
            zone,
            epoch,
            reservation_id,
            chunk,
            committed=True,
        )
        if job_state.job is None:
            allocation.stop_grace_s = 0.0
        self.store.insert(job_state, allocation)
        self.store.update_permit(allocation)
        return allocation

    def _remove_unstored(
        self, old_chunks: dict[int, RecordChunk], stored_attempts: set[AttemptId]
    ) -> None:
        """Remove the allocations that are not stored, and requeue their tasks.

        Either their write was never committed, or their removal was.
        """
        for chunk in old_chunks.values():
            for allocation in list(chunk.allocations.values()):
                job_state = self.store.jobs.get(allocation.job_id)
                if (
                    job_state is not None
                    and job_state.allocations.get(allocation.task) is allocation
                    and allocation.attempt_id not in stored_attempts
                ):
                    self.store.remove(job_state, allocation)
                    job_state.requeue(allocation.task)

    def install_progress(self, team: str, stored_values: dict[str, tuple[Any, int]]) -> None:
        """Load the progress values of a team's arrays, given as key -> (value, version).

        The team's live jobs must have been added before; values of other jobs are queued for
        deletion.
        """
        for key, (value, _) in stored_values.items():
            job_id, _, index = key[len(progress_prefix(team)) :].rpartition("/")
            job_state = self.store.jobs.get(job_id)
            if job_state is None or job_state.job is None:
                self.store.obsolete_keys.append(key)
                continue
            self._install_progress_value(job_state, int(index), base64.b64decode(value))
            job_state.dirty_progress.clear()
            if job_state.job.kind == "array" and job_state.done_count == job_state.task_count:
                self.store.mark_complete(job_state)

    def _install_progress_value(
        self, job_state: JobState, value_index: int, done_bits: bytes
    ) -> None:
        first_task = value_index * TASKS_PER_PROGRESS_VALUE
        job_state.stored_progress.add(value_index)
        for byte_index, byte in enumerate(done_bits):
            for bit in range(8):
                task = first_task + byte_index * 8 + bit
                if byte & (1 << bit) and task < job_state.task_count:
                    job_state.mark_done(task)
