"""One transaction that a `StoreWriter` has planned, and what it changes once it lands.

The planner fills it in, the controller's write loop sends it, and the planner gets it back with the
outcome.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ploverhall.protocol.agents import AttemptId
from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.record_chunks import Allocation, RecordChunk

MAX_TRANSACTION_BYTES = 56_000  # of the 64 KiB that a transaction may take
EMPTY_TRANSACTION_BYTES = 400


@dataclass(slots=True)
class ChunkWrite:
    """What one transaction changes in one chunk."""

    chunk: RecordChunk
    added: list[Allocation] = field(default_factory=list)
    removed: list[Allocation] = field(default_factory=list)


@dataclass(slots=True)
class PendingWrite:
    """A transaction: its compare conditions, its changes, and what they mean once it lands."""

    compare: dict[str, int]  # key -> version that it must still have
    puts: dict[str, Any]
    deletes: list[str]
    chunks: list[ChunkWrite] = field(default_factory=list)
    progress_parts: list[tuple[JobState, int]] = field(default_factory=list)
    ended_jobs: list[JobState] = field(default_factory=list)
    # Team -> the granted evictions that it writes
    eviction_grants: dict[str, list[AttemptId]] = field(default_factory=dict)
    size_bytes: int = EMPTY_TRANSACTION_BYTES

    @property
    def operation_count(self) -> int:
        """Number of puts and deletes."""
        return len(self.puts) + len(self.deletes)

    @property
    def added(self) -> list[Allocation]:
        """The permits that are in force once this transaction lands."""
        return [allocation for write in self.chunks for allocation in write.added]
