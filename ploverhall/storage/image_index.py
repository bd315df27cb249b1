"""Encode and decode the stored index of which machine holds which container images.

Agents do not report their images. A shard's owner learns them from the tasks that it starts, and
the index passes them on to the next owner: without it, every start after a failover fetches an
image that a neighbouring machine holds. The index is only a hint for placement, so it is written
seldom, and a lost or late write costs one more fetch. `controller.image_writer` reads and writes
the index; this module does no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

WRITE_OVERHEAD_BYTES = 100  # size of a write of one key, without key and value
EMPTY_VALUE_BYTES = 8
MACHINE_OVERHEAD_BYTES = 4
IMAGE_REFERENCE_BYTES = 4
ImagesByMachine = dict[str, dict[str, float]]  # machine -> image -> GB, least recently used first
ImageRow = list[str | float]  # image, GB
# A stored value: a table of images, and for each machine the positions of its images in the table
PackedRecord = list[list[ImageRow] | dict[str, list[int]]]


class _PackedValue:
    """Builder of one stored value (a PackedRecord) that keeps track of the value's size."""

    def __init__(self) -> None:
        self.table: list[ImageRow] = []
        self.machines: dict[str, list[int]] = {}
        self.positions: dict[str, int] = {}
        self.size = EMPTY_VALUE_BYTES

    def bytes_for(self, machine: str, machine_images: dict[str, float]) -> int:
        """Return the number of bytes by which adding a machine would enlarge the value."""
        new_rows = sum(
            len(orjson.dumps([image, gigabytes])) + 1
            for image, gigabytes in machine_images.items()
            if image not in self.positions
        )
        references = IMAGE_REFERENCE_BYTES * len(machine_images)
        return len(orjson.dumps(machine)) + MACHINE_OVERHEAD_BYTES + references + new_rows

    def add(self, machine: str, machine_images: dict[str, float]) -> None:
        """Add a machine and its images to the value."""
        self.size += self.bytes_for(machine, machine_images)
        for image, gigabytes in machine_images.items():
            if image not in self.positions:
                self.positions[image] = len(self.positions)
                self.table.append([image, gigabytes])
        self.machines[machine] = [self.positions[image] for image in machine_images]

    def record(self) -> PackedRecord:
        """Return the stored form of the value."""
        return [self.table, self.machines]


def pack(images: ImagesByMachine, max_bytes: int) -> list[PackedRecord]:
    """Return the index as values of at most `max_bytes` bytes that can be decoded independently.

    A machine whose images do not fit into one value is omitted.
    """
    values: list[PackedRecord] = []
    current = _PackedValue()
    for machine, machine_images in sorted(images.items()):
        if not machine_images:
            continue
        added_bytes = current.bytes_for(machine, machine_images)
        if current.machines and current.size + added_bytes > max_bytes:
            values.append(current.record())
            current = _PackedValue()
            added_bytes = current.bytes_for(machine, machine_images)
        if current.size + added_bytes > max_bytes:
            continue
        current.add(machine, machine_images)
    if current.machines:
        values.append(current.record())
    return values


def unpack(values: list[Any]) -> ImagesByMachine:
    """Decode values that `pack` returned.

    Raises TypeError, ValueError or IndexError for malformed values.
    """
    images: ImagesByMachine = {}
    for table, machines in values:
        for machine, positions in machines.items():
            images[machine] = {
                table[position][0]: float(table[position][1]) for position in positions
            }
    return images


def batches(
    values: Mapping[str, PackedRecord], max_operations: int, max_bytes: int
) -> list[dict[str, PackedRecord]]:
    """Divide keys and values into groups that each fit into one transaction.

    Returns at least one group, which is empty if there are no values. A value that alone exceeds
    `max_bytes` gets a group of its own.
    """
    groups: list[dict[str, PackedRecord]] = [{}]
    group_bytes = 0
    for key, value in values.items():
        write_bytes = len(orjson.dumps(value)) + 2 * len(key) + WRITE_OVERHEAD_BYTES
        is_full = len(groups[-1]) >= max_operations or group_bytes + write_bytes > max_bytes
        if groups[-1] and is_full:
            groups.append({})
            group_bytes = 0
        groups[-1][key] = value
        group_bytes += write_bytes
    return groups
