"""Which jobs a controller still holds in memory."""

from __future__ import annotations

import re
from collections import deque

JOB_ID = re.compile(r"j-\d{1,18}")


def job_ids_in_memory(root: object) -> dict[str, set[str]]:
    """The ids of all jobs that a controller holds in memory, by the attribute that holds them."""
    found: dict[str, set[str]] = {}
    seen: set[int] = set()
    todo: list[tuple[object, str]] = [(root, "")]
    while todo:
        x, name = todo.pop()
        if isinstance(x, str):
            if (m := JOB_ID.match(x)) is not None:
                found.setdefault(name, set()).add(m[0])
        elif id(x) not in seen:
            seen.add(id(x))
            if isinstance(x, dict):
                todo += [(y, name) for pair in x.items() for y in pair]
            elif isinstance(x, (list, tuple, set, frozenset, deque)):
                todo += [(y, name) for y in x]
            elif type(x).__module__.startswith("ploverhall"):
                slots = [s for c in type(x).__mro__ for s in (c.__dict__.get("__slots__") or ())]
                keys = [*getattr(x, "__dict__", ()), *slots]
                todo += [(getattr(x, k), name if k == "id" else k) for k in keys if hasattr(x, k)]
    return found
