"""Types of one controller's status report; the fields have the names of the JSON of `/status`.

`shard_status` builds a report with `job_rows` and `machine_rows`. Reports from controllers of other
releases may lack fields, so received reports are typed as plain maps. Times are in seconds.
"""

from __future__ import annotations

from typing import NotRequired, TypedDict

from ploverhall.autoscaling.machine_maintenance import OrderProgress

Selection = dict[str, str]  # "job", "team", "machine" or "would" (a maintenance order as JSON)
HistoryRow = list[float | str | int]  # age in seconds, job, and what happened

# Written as a call, because the field "class" is a keyword
JobRow = TypedDict(
    "JobRow",
    {
        "id": str,
        "team": str,
        "class": str,
        "kind": str,  # "over" for a job of which only the last tasks remain
        "tasks": int,
        "waiting": int,
        "done": int,
        "states": dict[str, int],  # number of allocations by state
        "why": str,  # what the job waits for
        "waits_s": float,
        "usual_s": float | None,
        "broken": bool,  # the job fails on every machine
        "failures": int,
        "last_failure": str,
        "ready": int,  # number of offers
        "places": list[list[object]],  # task, machine, state and reason of each allocation
    },
)


class TeamUsage(TypedDict):
    """A team's usage, guarantee and limit of CPUs and GPUs."""

    cpus: float
    gpus: float
    guarantee: list[float]
    limit: list[float]


class MachineRow(TypedDict):
    """One machine in the report."""

    name: str
    type: str
    zone: str
    spot: bool
    tasks: int
    state: str
    silent_s: float  # time since its last heartbeat
    failed: list[str]  # jobs that failed on it
    unheard_s: float  # for how long it has not received answers
    free: list[float]


class OrderPreview(TypedDict, total=False):
    """The numbers of machines, and tasks by team and kind of job, that an order would drain."""

    machines: int
    teams: dict[str, dict[str, int]]


class ConnectivityFields(TypedDict):
    """One controller's connectivity."""

    through: dict[str, str]  # by service reached through a peer: that peer
    away: int  # number of agents that reach this controller through a peer
    carried: int  # number of requests relayed for peers
    not_carried: int  # number of peers' requests that were refused


class ControllerFields(TypedDict):
    """The fields that describe the controller itself."""

    node: str
    zone: str
    shards: dict[str, int]  # shard to epoch
    ready: bool
    state_age_s: float  # time since the key-value store's last answer
    short: dict[str, float]  # amount of each shortage
    reach: ConnectivityFields
    unheard: list[str]  # peers that are not alive as far as this controller knows
    stood_still: list[float] | None  # how long ago the event loop stalled, and for how long
    quiet_s: dict[str, float]  # by shard: time since the last heartbeat of any agent
    # Only if a step was slow: how long ago the longest one ended, its length, and its name
    slow_step: NotRequired[list[float | str]]
    # Only if there were any: attempts counted as gone, by evidence, agents' messages that were not
    # newer than an earlier one, and fencing tokens that were raised
    gone_verdicts: NotRequired[dict[str, int]]
    stale_messages: NotRequired[int]
    raised_tokens: NotRequired[int]


class AutoscalerFields(TypedDict):
    """The autoscaler's fields; empty ones if the controller doesn't hold its role."""

    renter: bool
    late: list[tuple[str, int, float]]  # late boots: type and zone, count, oldest age
    orders: dict[str, OrderProgress]  # by order id


class ShardFields(TypedDict):
    """The fields that are aggregated over the shards that a controller holds."""

    would: OrderPreview
    asked: dict[str, int]  # number of denied evictions by reason
    teams: dict[str, TeamUsage]
    queue: dict[str, list[int]]  # numbers of waiting jobs and tasks by reason
    jobs: list[JobRow]
    machines: dict[str, int]  # number of machines by state
    trouble_machines: list[MachineRow]
    died: list[HistoryRow]  # age, job, task, machine, reason
    ended: list[HistoryRow]  # age, and the other fields of an `EndedJobEntry`
    left_out: int  # number of rows over the limits


class StatusFields(ControllerFields, AutoscalerFields, ShardFields):
    """One controller's status report."""


def empty_shard_fields() -> ShardFields:
    """Return the fields that are aggregated over shards, without any entry."""
    return {
        "would": {},
        "asked": {},
        "teams": {},
        "queue": {},
        "jobs": [],
        "machines": {},
        "trouble_machines": [],
        "died": [],
        "ended": [],
        "left_out": 0,
    }
