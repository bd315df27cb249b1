"""Amounts of cpus, gpus and memory, and the arithmetic of free capacity.

All scheduling code and the autoscaler use this module in their innermost loops, so vectors are
plain tuples and the functions are written out by component. With a NamedTuple, created in
`add_scaled` and by jobs and machine types, a permit took 12% more instructions
(`scripts.benchmark_hot_paths`, part `permit`, 500 machines). Elsewhere, unpack a vector into
`cpus, gpus, memory_gb`.
"""

from __future__ import annotations

ResourceVector = tuple[float, float, float]  # cpus, gpus, memory_gb
EPSILON = 1e-6  # tolerance for rounding errors in sums of amounts
UNBOUNDED = 1 << 30  # a count that stands for "no limit"
NO_RESOURCES: ResourceVector = (0.0, 0.0, 0.0)


def fits(need: ResourceVector, free: ResourceVector) -> bool:
    """Return whether a task that needs `need` fits into the free capacity."""
    return (
        need[0] <= free[0] + EPSILON
        and need[1] <= free[1] + EPSILON
        and need[2] <= free[2] + EPSILON
    )


def max_count(need: float, free: float) -> int:
    """Return how many times `need` fits into the free amount of the same resource.

    Returns UNBOUNDED if `need` is zero or negligible: `free / need` could be infinite.
    """
    return UNBOUNDED if need <= 0 or need * UNBOUNDED <= free else max(0, int(free / need))


def add_scaled(a: ResourceVector, b: ResourceVector, factor: float = 1.0) -> ResourceVector:
    """Return the vector a + factor * b."""
    return (a[0] + factor * b[0], a[1] + factor * b[1], a[2] + factor * b[2])
