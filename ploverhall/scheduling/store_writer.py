"""What a source writes: the next transaction, and what follows when it lands, is refused, or may have done either.

Permits go out only after the write that lists them has landed; where changes run short the most important go first.
"""

from __future__ import annotations

import base64
from collections.abc import Iterable
from typing import Any

from ploverhall.protocol.jobs import DONE
from ploverhall.scheduling.allocations import (
    MAX_TRANSACTION_BYTES,
    TASKS_PER_PROGRESS_VALUE,
    Allocation,
    AllocationStore,
    ChunkWrite,
    JobState,
    PendingWrite,
    RecordChunk,
    append_allocation,
)
from ploverhall.storage.store_cache import (
    JOB_PREFIX,
    SHARD_PREFIX,
    allocation_prefix,
    end_record,
    progress_prefix,
)


class StoreWriter(AllocationStore):
    """Plans the writes of one shard's teams."""

    def next_write(self, max_operations: int | None = None) -> PendingWrite | None:
        """The next write: permits first, then ends, then exits; as many as one transaction takes, or `most` changes.

        Where more waits than that, the most important jobs' changes go first: permits of replicas stood behind those of
        a guest's many tiny tasks. Every fourth such write takes what has waited longest, so that the rest goes on, too.
        """
        txn = PendingWrite({f"{SHARD_PREFIX}{self.shard}": self.epoch}, {}, [])
        if self.chunks_to_fence:
            return self._fencing_write(txn)
        self.write_operation_limit = (
            self.max_transaction_ops
            if max_operations is None
            else max(2, min(self.max_transaction_ops, max_operations))
        )
        work: list[RecordChunk | JobState] = [
            chunk for chunk, permits in self.dirty_chunks.items() if permits
        ]
        work += self.jobs_to_end.values()
        work += [chunk for chunk, permits in self.dirty_chunks.items() if not permits]
        if len(work) > self.write_operation_limit:
            self.crowded_writes += 1
            if self.crowded_writes % 4:
                work.sort(key=self._urgency)
        for item in work:
            if not (
                self._add_chunk(txn, item)
                if isinstance(item, RecordChunk)
                else self._add_job_end(txn, item)
            ):
                break
        while (
            self.obsolete_keys
            and txn.operation_count < self.write_operation_limit
            and txn.operation_count > 0
            and txn.size_bytes < MAX_TRANSACTION_BYTES
        ):
            key = self.obsolete_keys.pop()
            if key not in txn.puts:
                txn.deletes.append(
                    key
                )  # of no use to anybody: if this write fails, the next source finds it
                txn.size_bytes += len(key) + 40
        return txn if txn.operation_count else None

    def _urgency(self, item: RecordChunk | JobState) -> tuple[float, ...]:
        """Whose change is the more important one; of one job first its permits, then its end, then its exits."""
        if isinstance(item, JobState):
            return (*self.queue_order(item)[:3], 1.0) if item.job is not None else (9.0,)
        permits = self.dirty_chunks[item]
        jobs = [
            job_state
            for job_id in item.allocations_per_job
            if (job_state := self.jobs[job_id]).job is not None
            and (not permits or job_state.uncommitted_per_shard)
        ]
        return (
            *min((self.queue_order(job_state)[:3] for job_state in jobs), default=(9.0,)),
            0.0 if permits else 2.0,
        )

    def _add_job_end(self, txn: PendingWrite, job_state: JobState) -> bool:
        """Add a job's end to a write; False when there was no room for it."""
        if job_state.blocked or job_state.job is None or JOB_PREFIX + job_state.id in txn.compare:
            return True
        if (
            txn.operation_count + 1 > self.write_operation_limit
            or len(txn.compare) + 1 > self._max_comparisons
            or txn.size_bytes > MAX_TRANSACTION_BYTES
        ):
            return False
        txn.compare[JOB_PREFIX + job_state.id] = job_state.version
        txn.puts[JOB_PREFIX + job_state.id] = end_record(DONE, job_state.task_count)
        txn.ended_jobs.append(job_state)
        txn.size_bytes += 150
        return True

    def on_outcome_unknown(self, txn: PendingWrite) -> None:
        """A write's outcome is not known: it may land at any later time, until its chunks have been written anew.

        Reading the cell again is not enough. A permit that has not landed may be given anew in another chunk; if the
        late write lands after that, one task has two permits (kazi-bodi-grown rough, state service slow: ran_twice).
        """
        self.chunks_to_fence.update((write.chunk.team, write.chunk.index) for write in txn.chunks)

    def _fencing_write(self, txn: PendingWrite) -> PendingWrite:
        """Write chunks again as they were read, alone and before all else: the late write fails their guards."""
        for team, index in sorted(self.chunks_to_fence):
            chunk = self.chunks[team].setdefault(index, RecordChunk(team, index))
            if txn.operation_count >= self.max_transaction_ops or (
                txn.operation_count
                and txn.size_bytes + chunk.size_bytes + 300 > MAX_TRANSACTION_BYTES
            ):
                break
            value: dict[str, Any] = {}
            for _, allocation in sorted(chunk.allocations.items()):
                if allocation.committed:
                    append_allocation(value, self.jobs[allocation.job_id], allocation)
            txn.compare[chunk.key] = chunk.version
            txn.puts[chunk.key] = value
            txn.chunks.append(ChunkWrite(chunk))
            txn.size_bytes += chunk.size_bytes + 2 * len(chunk.key) + 100
        return txn

    @property
    def _max_comparisons(self) -> int:
        return 4 * self.max_transaction_ops

    def _add_chunk(self, txn: PendingWrite, chunk: RecordChunk) -> bool:
        """Add one chunk's value to a write, with what it depends on; False when there was no room for it."""
        if (
            txn.operation_count + 1 > self.write_operation_limit
            or len(txn.compare) + 2 > self._max_comparisons
            or txn.size_bytes + chunk.size_bytes + 300 > MAX_TRANSACTION_BYTES
        ):
            return False
        value: dict[str, Any] = {}
        write = ChunkWrite(chunk)
        spare = self.write_operation_limit - txn.operation_count - 1
        for (job_id, task), allocation in sorted(chunk.allocations.items()):
            self.visit_count += 1
            job_state = self.jobs[job_id]
            if allocation.finished and allocation.committed:
                part = task // TASKS_PER_PROGRESS_VALUE
                if (
                    job_state.job is not None
                    and not job_state.complete
                    and part in job_state.dirty_progress
                ):
                    key = f"{progress_prefix(chunk.team)}{job_id}/{part}"
                    if key not in txn.puts:
                        if spare <= 0 or txn.size_bytes + chunk.size_bytes > MAX_TRANSACTION_BYTES:
                            append_allocation(value, job_state, allocation)
                            continue
                        spare -= 1
                        first_byte = part * TASKS_PER_PROGRESS_VALUE // 8
                        txn.puts[key] = base64.b64encode(
                            bytes(
                                job_state.done_bits[
                                    first_byte : first_byte + TASKS_PER_PROGRESS_VALUE // 8
                                ]
                            )
                        ).decode()
                        txn.progress_parts.append((job_state, part))
                        txn.size_bytes += len(txn.puts[key]) + len(key) + 40
                write.removed.append(allocation)
                continue
            if not allocation.committed:
                key = JOB_PREFIX + job_id
                if job_state.job is None or job_state.blocked or key in txn.puts:
                    write.removed.append(allocation)  # never written: it just goes
                    continue
                if key not in txn.compare:
                    if len(txn.compare) + 2 > self._max_comparisons:
                        continue
                    txn.compare[key] = job_state.version
                    txn.size_bytes += len(key) + 40
                write.added.append(allocation)
            append_allocation(value, job_state, allocation)
        txn.compare[chunk.key] = chunk.version
        if value or chunk.version:
            txn.puts[chunk.key] = value
        txn.chunks.append(write)
        txn.size_bytes += chunk.size_bytes + 2 * len(chunk.key) + 100
        return True

    def on_committed(self, txn: PendingWrite, revision: int, now: float) -> None:
        """The write is in: permits go out, exits may be forgotten by the workers."""
        for job_state, part in txn.progress_parts:
            job_state.dirty_progress.discard(part)
            job_state.stored_progress.add(part)
        for write in txn.chunks:
            chunk = write.chunk
            self.chunks_to_fence.discard((chunk.team, chunk.index))
            if chunk.key in txn.puts:
                chunk.version = revision
            for allocation in write.added:
                known = self.jobs.get(allocation.job_id)
                if known is not None:
                    self._mark_committed(known, allocation)
                self.log_debug(
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
            self.log_debug("done", job=job_state.id)
            self.on_job(None, job_state.id, 0, now)

    def _remove_allocations(self, entries: Iterable[Allocation]) -> None:
        for allocation in entries:
            job_state = self.jobs.get(allocation.job_id)
            if job_state is not None and job_state.allocations.get(allocation.task) is allocation:
                self._remove(job_state, allocation)
                if not job_state.is_done(allocation.task):
                    job_state.requeue(allocation.task)

    def _mark_still_dirty(self, chunk: RecordChunk) -> None:
        """What became over or was added while the write was on its way still has to be written."""
        self.dirty_chunks.pop(chunk, None)
        for allocation in chunk.allocations.values():
            self.visit_count += 1
            if allocation.finished or not allocation.committed:
                self.dirty_chunks[chunk] = (
                    self.dirty_chunks.get(chunk, False) or not allocation.committed
                )
        if not chunk.allocations and not chunk.version:
            self.chunks[chunk.team].pop(chunk.index, None)

    def on_compare_failed(self, txn: PendingWrite, failed: list[str]) -> list[str]:
        """A guard did not hold. Returns the teams whose cells must be read again."""
        for key in failed:
            if key.startswith(JOB_PREFIX):
                job_state = self.jobs.get(key[len(JOB_PREFIX) :])
                if job_state is not None:
                    job_state.blocked = True
                    self.changed_jobs.add(job_state.id)
                    for allocation in [
                        allocation
                        for allocation in job_state.allocations.values()
                        if not allocation.committed
                    ]:
                        self._remove(job_state, allocation)
                        job_state.requeue(allocation.task)
        return [
            team
            for team in self.teams
            if any(entry_key.startswith(allocation_prefix(team)) for entry_key in failed)
        ]

    def teams_of(self, txn: PendingWrite) -> list[str]:
        """The teams whose cells a write touches."""
        return sorted({write.chunk.team for write in txn.chunks})
