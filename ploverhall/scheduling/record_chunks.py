"""Outstanding permits, and the chunks in which they are stored in the key-value store.

A team's allocation record is split into chunks. Each chunk is one value, and stays below the
key-value store's limit for a value. This module defines `Allocation`, `RecordChunk` and the stored
form of both; `AllocationStore` keeps the chunks up to date and `StoreWriter` writes them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import orjson

from ploverhall.protocol.agents import AttemptId
from ploverhall.scheduling.resources import ResourceVector
from ploverhall.storage.schema import allocation_prefix


@dataclass(slots=True, eq=False)
class Allocation:
    """An outstanding permit: a task attempt that may run on a machine."""

    job_id: str
    task: int
    attempt: int
    machine: str
    shard: int
    zone: str
    epoch: int  # of the shard owner whose offer was accepted
    reservation_id: int
    chunk: RecordChunk
    committed: bool = False  # the permit has been written to the key-value store
    state: str = "permitted"
    reason: str = ""
    # 1: its machine is being terminated, 2: it is preempted, 3: its eviction is requested, as its
    # machine is drained
    notice: int = 0
    stop_grace_s: float | None = None  # seconds to save before the stop; None: it is not to stop
    running_since: float | None = None  # when it was first reported as running
    # It has exited or is proven gone, and is to be removed from the allocation record
    finished: bool = False

    def record(self) -> list[Any]:
        """Return the stored form of this allocation."""
        return [
            self.task,
            self.attempt,
            self.machine,
            self.shard,
            self.zone,
            self.epoch,
            self.reservation_id,
        ]

    @property
    def attempt_id(self) -> AttemptId:
        """Return the id of the permitted attempt."""
        return AttemptId(self.job_id, self.task, self.attempt)

    @property
    def running(self) -> bool:
        """Return whether users are shown this attempt as running."""
        return not self.finished and self.state in ("running", "saving")


@dataclass(slots=True, eq=False)
class RecordChunk:
    """One value of a team's allocation record, with its encoded size in bytes.

    The key is never deleted; an empty value is written instead. A deletion would reset the key's
    version to 0, so a delayed or repeated write conditional on a missing key would be committed
    and add a permit that no controller knows of.
    """

    team: str
    index: int
    version: int = 0
    allocations: dict[tuple[str, int], Allocation] = field(default_factory=dict)
    allocations_per_job: dict[str, int] = field(default_factory=dict)
    size_bytes: int = 2

    @property
    def key(self) -> str:
        """Return the key of this chunk in the key-value store."""
        return f"{allocation_prefix(self.team)}{self.index}"

    def add(self, allocation: Allocation, resources: ResourceVector) -> None:
        """Add an allocation; each task of its job needs `resources`."""
        self.allocations[allocation.job_id, allocation.task] = allocation
        if allocation.job_id not in self.allocations_per_job:
            self.size_bytes += header_bytes(allocation.job_id, resources)
        self.allocations_per_job[allocation.job_id] = (
            self.allocations_per_job.get(allocation.job_id, 0) + 1
        )
        self.size_bytes += allocation_bytes(allocation)
        allocation.chunk = self

    def remove(self, allocation: Allocation, resources: ResourceVector) -> None:
        """Remove an allocation; do nothing if another attempt of the task has replaced it."""
        if self.allocations.get((allocation.job_id, allocation.task)) is not allocation:
            return
        del self.allocations[allocation.job_id, allocation.task]
        self.size_bytes -= allocation_bytes(allocation)
        self.allocations_per_job[allocation.job_id] -= 1
        if not self.allocations_per_job[allocation.job_id]:
            del self.allocations_per_job[allocation.job_id]
            self.size_bytes -= header_bytes(allocation.job_id, resources)


def allocation_bytes(allocation: Allocation) -> int:
    """Return the encoded size, in bytes, of an allocation within a chunk's value."""
    return len(orjson.dumps(allocation.record())) + 1


def header_bytes(job_id: str, resources: ResourceVector) -> int:
    """Return the encoded size, in bytes, that a job adds to a chunk besides its allocations."""
    return len(orjson.dumps({job_id: [list(resources), []]}))


def append_allocation(
    value: dict[str, Any], resources: ResourceVector, allocation: Allocation
) -> None:
    """Add an allocation to a chunk's value, under its job; `resources` are those of one task."""
    job_value = value.setdefault(allocation.job_id, [list(resources), []])
    job_value[1].append(allocation.record())
