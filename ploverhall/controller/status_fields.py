"""The fields of one controller's status report, as they are named in the JSON of `/status`.

`shard_status` makes a report of `job_rows` and `machine_rows`. Reports of other releases may lack
fields, so those that were received are plain maps. Times are in seconds.
"""

from __future__ import annotations

from typing import TypedDict

from ploverhall.autoscaling.machine_maintenance import OrderProgress

Selection = dict[str, str]  # "job", "team", "machine" or "would" (a maintenance order as JSON)
HistoryRow = list[float | str | int]  # age in seconds, job, and what happened

# Not a class: "class" is a keyword
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
        "why": str,  # what it waits for
        "waits_s": float,
        "usual_s": float | None,
        "broken": bool,  # it fails on every machine
        "failures": int,
        "last_failure": str,
        "ready": int,  # number of offers
        "places": list[list[object]],  # task, machine, state and reason of each allocation
    },
)


class TeamUsage(TypedDict):
    """What a team uses, is guaranteed and may use at most."""

    cpus: float
    gpus: float
    guarantee: list[float]
    limit: list[float]


class MachineRow(TypedDict):
    """One machine."""

    name: str
    type: str
    zone: str
    spot: bool
    tasks: int
    state: str
    silent_s: float  # since its last heartbeat
    failed: list[str]  # jobs that failed on it
    unheard_s: float  # since when it has not received answers
    free: list[float]


class OrderPreview(TypedDict, total=False):
    """What a maintenance order would drain: machines, and tasks by team and kind of job."""

    machines: int
    teams: dict[str, dict[str, int]]


class ConnectivityFields(TypedDict):
    """One controller's links."""

    through: dict[str, str]  # service that is reached through a peer, to that peer
    away: int  # agents that reach it through a peer
    carried: int  # requests relayed for peers
    not_carried: int  # requests of peers that were refused


class ControllerFields(TypedDict):
    """What a controller says of itself."""

    node: str
    zone: str
    shards: dict[str, int]  # shard to epoch
    ready: bool
    state_age_s: float  # since the key-value store's last answer
    short: dict[str, float]  # what it lacks
    reach: ConnectivityFields
    unheard: list[str]  # peers that are not heard
    stood_still: list[float] | None  # how long ago the event loop stalled, and for how long
    quiet_s: dict[str, float]  # by shard: since the last heartbeat of any agent


class AutoscalerFields(TypedDict):
    """What the autoscaler says, if it runs here."""

    renter: bool
    late: list[tuple[str, int, float]]  # where machines boot late, how many, age of the oldest
    orders: dict[str, OrderProgress]  # by order id


class ShardFields(TypedDict):
    """What is summed up over the shards that a controller holds."""

    would: OrderPreview
    asked: dict[str, int]  # why evictions wait
    teams: dict[str, TeamUsage]
    queue: dict[str, list[int]]  # waiting jobs and tasks by what they wait for
    jobs: list[JobRow]
    machines: dict[str, int]  # number of machines by state
    trouble_machines: list[MachineRow]
    died: list[HistoryRow]  # age, job, task, machine, reason
    ended: list[HistoryRow]  # age, and the other fields of an `EndedJobEntry`
    left_out: int  # rows over the limits


class StatusFields(ControllerFields, AutoscalerFields, ShardFields):
    """One controller's report."""


def empty_shard_fields() -> ShardFields:
    """The fields that are summed up over the shards held here."""
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
