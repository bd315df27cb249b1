"""Amounts of cpus, gpus and memory, and the arithmetic of free capacity.

Used by all of scheduling and by the autoscaler, in their innermost loops: vectors are plain tuples
and the functions are written out by component. As a NamedTuple, made in `add_scaled` and by jobs
and machine types, a permit took 12% more instructions (`scripts.benchmark_hot_paths`, part
`permit`, 500 machines). Elsewhere, unpack a vector into `cpus, gpus, memory_gb`.
"""

from __future__ import annotations

ResourceVector = tuple[float, float, float]  # cpus, gpus, memory_gb
EPSILON = 1e-6  # what sums of amounts may be off by
UNBOUNDED = 1 << 30  # a count that stands for as often as anybody asks
NO_RESOURCES: ResourceVector = (0.0, 0.0, 0.0)


def fits(need: ResourceVector, free: ResourceVector) -> bool:
    """Whether a task goes into that free capacity."""
    return (
        need[0] <= free[0] + EPSILON
        and need[1] <= free[1] + EPSILON
        and need[2] <= free[2] + EPSILON
    )


def max_count(need: float, free: float) -> int:
    """How often an amount goes into a free amount of the same resource.

    UNBOUNDED if it takes nothing, or next to nothing: free / need may be infinite.
    """
    return UNBOUNDED if need <= 0 or need * UNBOUNDED <= free else max(0, int(free / need))


def add_scaled(a: ResourceVector, b: ResourceVector, factor: float = 1.0) -> ResourceVector:
    """The vector a + factor * b."""
    return (a[0] + factor * b[0], a[1] + factor * b[1], a[2] + factor * b[2])
