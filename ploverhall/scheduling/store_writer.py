"""Plans the transactions of one shard's teams, and applies their outcomes.

A permit is sent only after the transaction that contains it has been committed. If not all pending
changes fit a transaction, those of the most important jobs go first. The controller's write loop
sends what `next_write` returns and calls `on_committed`, `on_compare_failed` or
`on_outcome_unknown` with the outcome. No I/O.
"""

from __future__ import annotations

import base64
from collections.abc import Iterable
from typing import Any

from ploverhall.protocol.jobs import DONE
from ploverhall.scheduling.allocations import AllocationStore
from ploverhall.scheduling.job_state import TASKS_PER_PROGRESS_VALUE, JobState
from ploverhall.scheduling.pending_write import MAX_TRANSACTION_BYTES, ChunkWrite, PendingWrite
from ploverhall.scheduling.record_chunks import Allocation, RecordChunk, append_allocation
from ploverhall.storage.schema import (
    JOB_PREFIX,
    SHARD_PREFIX,
    allocation_prefix,
    end_record,
    progress_prefix,
)

# Assumed sizes in a transaction besides keys and values; the first is an upper bound for a chunk
MAX_CHUNK_OVERHEAD_BYTES = 300
CHUNK_OVERHEAD_BYTES = 100
KEY_OVERHEAD_BYTES = 40
JOB_END_BYTES = 150
MIN_OPERATIONS = 2  # lowest limit for the changes of a transaction
COMPARISONS_PER_OPERATION = 4  # limit for conditions, as a multiple of the limit for changes
# When not all changes fit, one in this many transactions takes the changes in order of arrival
FAIR_WRITE_INTERVAL = 4
LAST_IN_QUEUE = (9.0,)  # sorts after every `queue_order`
BYTES_PER_PROGRESS_VALUE = TASKS_PER_PROGRESS_VALUE // 8


class StoreWriter:
    """Plans the transactions of one shard's teams.

    `epoch` is the shard's epoch under this source; `max_transaction_ops` is the key-value store's
    limit for the changes of a transaction.
    """

    def __init__(
        self, store: AllocationStore, shard: int, epoch: int, max_transaction_ops: int
    ) -> None:
        self.store = store
        self.shard = shard
        self.epoch = epoch
        self.max_transaction_ops = max_transaction_ops
        # Chunks that a write of unknown outcome may still change
        self.chunks_to_fence: set[tuple[str, int]] = set()
        self.write_operation_limit = max_transaction_ops  # for the transaction being planned
        self.truncated_write_count = 0  # transactions that could not hold all changes

    def next_write(self, max_operations: int | None = None) -> PendingWrite | None:
        """Return the next transaction, of at most `max_operations` changes, or None.

        None means that there is nothing to write. Permits go first, then ends of jobs, then exits.
        If not all changes fit, those of the most important jobs go first; every fourth such
        transaction takes the oldest changes instead, so that the other jobs are not starved.
        """
        txn = self.empty_write()
        if self.chunks_to_fence:
            return self._fencing_write(txn)
        self.write_operation_limit = (
            self.max_transaction_ops
            if max_operations is None
            else max(MIN_OPERATIONS, min(self.max_transaction_ops, max_operations))
        )
        for item in self._pending_changes():
            if not (
                self._add_chunk(txn, item)
                if isinstance(item, RecordChunk)
                else self._add_job_end(txn, item)
            ):
                break
        self._add_deletions(txn)
        return txn if txn.operation_count else None

    def empty_write(self) -> PendingWrite:
        """Return a transaction that fails if the shard's epoch is no longer that of this source."""
        return PendingWrite({f"{SHARD_PREFIX}{self.shard}": self.epoch}, {}, [])

    def _pending_changes(self) -> list[RecordChunk | JobState]:
        """Return the chunks and the ends of jobs to be written, in the order of writing."""
        changes: list[RecordChunk | JobState] = [
            chunk for chunk, has_permits in self.store.dirty_chunks.items() if has_permits
        ]
        changes += self.store.jobs_to_end.values()
        changes += [
            chunk for chunk, has_permits in self.store.dirty_chunks.items() if not has_permits
        ]
        if len(changes) > self.write_operation_limit:
            self.truncated_write_count += 1
            if self.truncated_write_count % FAIR_WRITE_INTERVAL:
                changes.sort(key=self._write_order)
        return changes

    def _write_order(self, item: RecordChunk | JobState) -> tuple[float, ...]:
        """Return a change's sort key: by its most important job, then permits, ends, exits."""
        if isinstance(item, JobState):
            return (
                (*self.store.queue_order(item)[:3], 1.0) if item.job is not None else LAST_IN_QUEUE
            )
        has_permits = self.store.dirty_chunks[item]
        jobs = [
            job_state
            for job_id in item.allocations_per_job
            if (job_state := self.store.jobs[job_id]).job is not None
            and (not has_permits or job_state.uncommitted_per_shard)
        ]
        return (
            *min(
                (self.store.queue_order(job_state)[:3] for job_state in jobs), default=LAST_IN_QUEUE
            ),
            0.0 if has_permits else 2.0,
        )

    def _add_deletions(self, txn: PendingWrite) -> None:
        """Fill up a transaction that has other changes with deletions of obsolete keys.

        The deletions are not retried: if the transaction fails, the next source finds the keys.
        """
        while (
            self.store.obsolete_keys
            and txn.operation_count < self.write_operation_limit
            and txn.operation_count > 0
            and txn.size_bytes < MAX_TRANSACTION_BYTES
        ):
            key = self.store.obsolete_keys.pop()
            if key not in txn.puts:
                txn.deletes.append(key)
                txn.size_bytes += len(key) + KEY_OVERHEAD_BYTES

    def _add_job_end(self, txn: PendingWrite, job_state: JobState) -> bool:
        """Add the end of a complete job; return False if it does not fit.

        Returns True without adding it if the job's key has changed, or if the transaction already
        has a condition on that key.
        """
        key = JOB_PREFIX + job_state.id
        if job_state.blocked or job_state.job is None or key in txn.compare:
            return True
        if (
            txn.operation_count + 1 > self.write_operation_limit
            or len(txn.compare) + 1 > self.max_comparisons
            or txn.size_bytes > MAX_TRANSACTION_BYTES
        ):
            return False
        txn.compare[key] = job_state.version
        txn.puts[key] = end_record(DONE, job_state.task_count)
        txn.ended_jobs.append(job_state)
        txn.size_bytes += JOB_END_BYTES
        return True

    @property
    def max_comparisons(self) -> int:
        """Return the maximum number of conditions in a transaction."""
        return COMPARISONS_PER_OPERATION * self.max_transaction_ops

    def _add_chunk(self, txn: PendingWrite, chunk: RecordChunk) -> bool:
        """Add a chunk's value and its conditions; return False if they do not fit."""
        if (
            txn.operation_count + 1 > self.write_operation_limit
            or len(txn.compare) + 2 > self.max_comparisons
            or txn.size_bytes + chunk.size_bytes + MAX_CHUNK_OVERHEAD_BYTES > MAX_TRANSACTION_BYTES
        ):
            return False
        value: dict[str, Any] = {}
        write = ChunkWrite(chunk)
        for (job_id, task), allocation in sorted(chunk.allocations.items()):
            self.store.visit_count += 1
            job_state = self.store.jobs[job_id]
            if not allocation.committed:
                job_key = JOB_PREFIX + job_id
                if job_state.job is None or job_state.blocked or job_key in txn.puts:
                    write.removed.append(allocation)  # the permit was never written
                    continue
                if not self._add_job_condition(txn, job_key, job_state):
                    continue
                write.added.append(allocation)
            elif allocation.finished and self._add_progress(txn, chunk, job_state, task):
                write.removed.append(allocation)
                continue
            append_allocation(value, job_state.resources, allocation)
        txn.compare[chunk.key] = chunk.version
        if value or chunk.version:
            txn.puts[chunk.key] = value
        txn.chunks.append(write)
        txn.size_bytes += chunk.size_bytes + 2 * len(chunk.key) + CHUNK_OVERHEAD_BYTES
        return True

    def _add_job_condition(self, txn: PendingWrite, key: str, job_state: JobState) -> bool:
        """Add the condition that a job is unchanged; return False if it does not fit."""
        if key not in txn.compare:
            if len(txn.compare) + 2 > self.max_comparisons:
                return False
            txn.compare[key] = job_state.version
            txn.size_bytes += len(key) + KEY_OVERHEAD_BYTES
        return True

    def _add_progress(
        self, txn: PendingWrite, chunk: RecordChunk, job_state: JobState, task: int
    ) -> bool:
        """Add the progress value that holds a finished task's result, if it has changed.

        Returns False if it does not fit; the task's allocation must then stay in its chunk.
        """
        value_index = task // TASKS_PER_PROGRESS_VALUE
        if (
            job_state.job is None
            or job_state.complete
            or value_index not in job_state.dirty_progress
        ):
            return True
        key = f"{progress_prefix(chunk.team)}{job_state.id}/{value_index}"
        if key in txn.puts:
            return True
        if (
            txn.operation_count + 1 >= self.write_operation_limit
            or txn.size_bytes + chunk.size_bytes > MAX_TRANSACTION_BYTES
        ):
            return False
        first_byte = value_index * BYTES_PER_PROGRESS_VALUE
        done_bits = job_state.done_bits[first_byte : first_byte + BYTES_PER_PROGRESS_VALUE]
        txn.puts[key] = base64.b64encode(bytes(done_bits)).decode()
        txn.progress_values.append((job_state, value_index))
        txn.size_bytes += len(txn.puts[key]) + len(key) + KEY_OVERHEAD_BYTES
        return True

    # -- fencing -----------------------------------------------------------------------------

    def on_outcome_unknown(self, txn: PendingWrite) -> None:
        """Fence a transaction that may be committed later: queue its chunks to be written again.

        Reading the record again is not enough. The task of an uncommitted permit may be permitted
        again in another chunk; if the delayed write is committed after that, the task has two
        permits.
        """
        self.chunks_to_fence.update((write.chunk.team, write.chunk.index) for write in txn.chunks)

    def _fencing_write(self, txn: PendingWrite) -> PendingWrite:
        """Write chunks again as they were read, so that the delayed write's conditions fail.

        The transaction contains nothing else and precedes all other changes.
        """
        for team, index in sorted(self.chunks_to_fence):
            chunk = self.store.chunk_at(team, index)
            if txn.operation_count >= self.max_transaction_ops or (
                txn.operation_count
                and txn.size_bytes + chunk.size_bytes + MAX_CHUNK_OVERHEAD_BYTES
                > MAX_TRANSACTION_BYTES
            ):
                break
            value: dict[str, Any] = {}
            for _, allocation in sorted(chunk.allocations.items()):
                if allocation.committed:
                    resources = self.store.jobs[allocation.job_id].resources
                    append_allocation(value, resources, allocation)
            txn.compare[chunk.key] = chunk.version
            txn.puts[chunk.key] = value
            txn.chunks.append(ChunkWrite(chunk))
            txn.size_bytes += chunk.size_bytes + 2 * len(chunk.key) + CHUNK_OVERHEAD_BYTES
        return txn

    # -- outcomes ----------------------------------------------------------------------------

    def on_committed(self, txn: PendingWrite, revision: int, now: float) -> None:
        """Handle a committed transaction: send its permits, and remove its finished attempts."""
        for job_state, value_index in txn.progress_values:
            job_state.dirty_progress.discard(value_index)
            job_state.stored_progress.add(value_index)
        for write in txn.chunks:
            chunk = write.chunk
            self.chunks_to_fence.discard((chunk.team, chunk.index))
            if chunk.key in txn.puts:
                chunk.version = revision
            for allocation in write.added:
                permitted_job = self.store.jobs.get(allocation.job_id)
                if permitted_job is not None:
                    self.store.mark_committed(permitted_job, allocation)
                self.store.log_debug(
                    "permit",
                    job=allocation.job_id,
                    task=allocation.task,
                    attempt=allocation.attempt,
                    machine=allocation.machine,
                    shard=allocation.shard,
                )
            self._remove_allocations(write.removed)
            self._mark_still_dirty(chunk)
        for job_state in txn.ended_jobs:
            self.store.log_debug("done", job=job_state.id)
            self.store.on_job(None, job_state.id, 0, now)

    def _remove_allocations(self, allocations: Iterable[Allocation]) -> None:
        for allocation in allocations:
            job_state = self.store.jobs.get(allocation.job_id)
            if job_state is not None and job_state.allocations.get(allocation.task) is allocation:
                self.store.remove(job_state, allocation)
                if not job_state.is_done(allocation.task):
                    job_state.requeue(allocation.task)

    def _mark_still_dirty(self, chunk: RecordChunk) -> None:
        """Keep a written chunk dirty if it has changed during the write."""
        self.store.dirty_chunks.pop(chunk, None)
        for allocation in chunk.allocations.values():
            self.store.visit_count += 1
            if allocation.finished or not allocation.committed:
                self.store.dirty_chunks[chunk] = (
                    self.store.dirty_chunks.get(chunk, False) or not allocation.committed
                )
        if not chunk.allocations and not chunk.version:
            self.store.drop_chunk(chunk)

    def on_compare_failed(self, txn: PendingWrite, failed: list[str]) -> list[str]:
        """Handle failed conditions on keys; return the teams whose records must be read again."""
        for key in failed:
            if key.startswith(JOB_PREFIX):
                job_state = self.store.jobs.get(key[len(JOB_PREFIX) :])
                if job_state is not None:
                    job_state.blocked = True
                    self.store.changed_jobs.add(job_state.id)
                    self._remove_uncommitted(job_state)
        return [
            team
            for team in self.store.teams
            if any(key.startswith(allocation_prefix(team)) for key in failed)
        ]

    def _remove_uncommitted(self, job_state: JobState) -> None:
        uncommitted = [
            allocation for allocation in job_state.allocations.values() if not allocation.committed
        ]
        for allocation in uncommitted:
            self.store.remove(job_state, allocation)
            job_state.requeue(allocation.task)

    def teams_of(self, txn: PendingWrite) -> list[str]:
        """Return the teams whose allocation records a transaction changes."""
        return sorted({write.chunk.team for write in txn.chunks})
