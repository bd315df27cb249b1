"""Which machine holds which images, kept in the state service: workers do not report it.

An owner learns it from what it starts, and a new owner would begin with nothing: after a crash of all
controllers every start fetched what stood next door (the grown ardgael-loans, rough). It is only a
hint for placing, so it is written seldom, and a lost or late write costs no more than a fetch.
"""

from __future__ import annotations

from typing import Any

import orjson

ENTRY_BYTES = 100  # what a change of one key takes besides its value
ImagesByMachine = dict[str, dict[str, float]]  # machine -> image -> GB, least recent first


def image_prefix(shard: int) -> str:
    """Where a part's images are kept, in values that each stand alone."""
    return f"i/{shard}/"


def pack(images: ImagesByMachine, max_bytes: int) -> list[Any]:
    """Values of at most `limit` bytes: names of images once a value, machines by places in that list."""
    values: list[Any] = []
    names: dict[str, int] = {}
    value: list[Any] = [[], {}]
    size = 8
    for machine, machine_images in sorted(images.items()):
        if not machine_images:
            continue
        entry = len(orjson.dumps(machine)) + 4 + 4 * len(machine_images)
        table = sum(
            len(orjson.dumps([i, gb])) + 1 for i, gb in machine_images.items() if i not in names
        )
        if value[1] and size + entry + table > max_bytes:
            values.append(value)
            names = {}
            value = [[], {}]
            size = 8
            table = sum(len(orjson.dumps([i, gb])) + 1 for i, gb in machine_images.items())
        if size + entry + table > max_bytes:
            continue
        for image, gb in machine_images.items():
            if image not in names:
                names[image] = len(names)
                value[0].append([image, gb])
        value[1][machine] = [names[i] for i in machine_images]
        size += entry + table
    if value[1]:
        values.append(value)
    return values


def batches(values: dict[str, Any], most_ops: int, most_bytes: int) -> list[dict[str, Any]]:
    """Keys and values in groups that each fit into one transaction."""
    out: list[dict[str, Any]] = [{}]
    size = 0
    for key, value in values.items():
        entry = len(orjson.dumps(value)) + 2 * len(key) + ENTRY_BYTES
        if out[-1] and (len(out[-1]) >= most_ops or size + entry > most_bytes):
            out.append({})
            size = 0
        out[-1][key] = value
        size += entry
    return out


def unpack(values: list[Any]) -> ImagesByMachine:
    """The inverse of pack."""
    images: ImagesByMachine = {}
    for table, machines in values:
        for machine, places in machines.items():
            images[machine] = {table[i][0]: float(table[i][1]) for i in places}
    return images
