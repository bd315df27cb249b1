"""The measured operations, keyed by the names used for the option `--part`."""

from __future__ import annotations

from collections.abc import Callable

from scripts.benchmark_hot_paths.heartbeat_benchmarks import report_cost, request_cost
from scripts.benchmark_hot_paths.scheduling_benchmarks import crowd_cost, permit_cost
from scripts.benchmark_hot_paths.user_benchmarks import poll_cost, resubmission_cost

REQUEST = "request"  # the only one whose cost does not depend on the size of the fleet
# Each takes the size of the fleet and returns microseconds of processor time
OPERATIONS: dict[str, Callable[[int], float]] = {
    REQUEST: request_cost,
    "report": report_cost,
    "permit": permit_cost,
    "crowd": crowd_cost,
    "poll": poll_cost,
    "resubmission": resubmission_cost,
}
