"""A transaction planned by `StoreWriter`, and the state changes to apply once it is committed.

`StoreWriter` fills it in, the controller's write loop sends it to the key-value store, and
`StoreWriter` gets it back with the outcome.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ploverhall.protocol.agents import AttemptId
from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.record_chunks import Allocation, RecordChunk

MAX_TRANSACTION_BYTES = 56_000  # below the 64 KiB that a transaction may have
EMPTY_TRANSACTION_BYTES = 400  # assumed size without any changes


@dataclass(slots=True)
class ChunkWrite:
    """The permits that one transaction adds to a chunk and removes from it."""

    chunk: RecordChunk
    added: list[Allocation] = field(default_factory=list)
    removed: list[Allocation] = field(default_factory=list)


@dataclass(slots=True)
class PendingWrite:
    """A transaction: its conditions, its changes, and the state to update once it is committed."""

    compare: dict[str, int]  # key -> version that the key must still have
    puts: dict[str, Any]
    deletes: list[str]
    chunks: list[ChunkWrite] = field(default_factory=list)
    # (job, index of its progress value)
    progress_values: list[tuple[JobState, int]] = field(default_factory=list)
    ended_jobs: list[JobState] = field(default_factory=list)
    # Team -> its granted evictions in this transaction
    eviction_grants: dict[str, list[AttemptId]] = field(default_factory=dict)
    size_bytes: int = EMPTY_TRANSACTION_BYTES

    @property
    def operation_count(self) -> int:
        """Return the number of puts and deletes."""
        return len(self.puts) + len(self.deletes)

    @property
    def added(self) -> list[Allocation]:
        """Return the permits that take effect once this transaction is committed."""
        return [allocation for write in self.chunks for allocation in write.added]
