"""Find the jobs that a controller still holds in memory."""

from __future__ import annotations

import re
from collections import deque

JOB_ID = re.compile(r"j-\d{1,18}")


def job_ids_in_memory(root: object) -> dict[str, set[str]]:
    """Return the ids of all jobs that a controller holds in memory, by attribute name."""
    found: dict[str, set[str]] = {}
    seen: set[int] = set()
    todo: list[tuple[object, str]] = [(root, "")]
    while todo:
        value, name = todo.pop()
        if isinstance(value, str):
            if (match := JOB_ID.match(value)) is not None:
                found.setdefault(name, set()).add(match[0])
        elif id(value) not in seen:
            seen.add(id(value))
            if isinstance(value, dict):
                todo += [(item, name) for pair in value.items() for item in pair]
            elif isinstance(value, (list, tuple, set, frozenset, deque)):
                todo += [(item, name) for item in value]
            elif type(value).__module__.startswith("ploverhall"):
                slots = [
                    slot
                    for base in type(value).__mro__
                    for slot in (base.__dict__.get("__slots__") or ())
                ]
                keys = [*getattr(value, "__dict__", ()), *slots]
                todo += [
                    (getattr(value, key), name if key == "id" else key)
                    for key in keys
                    if hasattr(value, key)
                ]
    return found
