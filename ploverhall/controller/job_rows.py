"""Builds the rows of jobs and teams in one controller's status report.

`shard_status` calls `add_source` for every job source of this controller, and then `add_job_rows`.
The reason that a job waits for (`wait_reason_of`) is text for operators.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ploverhall.controller.status_fields import (
    HistoryRow,
    JobRow,
    Selection,
    ShardFields,
)
from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.permitting import JobSource
from ploverhall.status import MAX_ROWS, MAX_TASK_ROWS

MAX_NAMED_MACHINES = 5  # machines named in a wait reason
ENDED_JOB_ORDER = (True, 9.0)  # sort key of ended jobs: they are shown last


@dataclass(slots=True)
class JobRowCandidate:
    """A job that may become a row of the report; `order` is its sort key."""

    order: tuple[Any, ...]
    source: JobSource
    job_state: JobState
    wait_reason: str


def add_source(
    report: ShardFields,
    row_candidates: list[JobRowCandidate],
    source: JobSource,
    now: float,
    selection: Selection | None,
) -> None:
    """Add one shard's teams, eviction denials and jobs to the report.

    Jobs that qualify for a row are appended to `row_candidates`; `add_job_rows` adds the rows.
    """
    _add_teams(report, source)
    for reason in source.grants.denial_reasons.values():
        report["asked"][reason] = report["asked"].get(reason, 0) + 1
    for job_state in source.jobs.values():
        if selection and not _is_selected(job_state, selection):
            continue
        wait_reason = wait_reason_of(source, job_state, now)
        if wait_reason and job_state.job is not None:
            _add_to_queue(report["queue"], job_state, wait_reason)
        if selection or wait_reason or job_state.failing_everywhere:
            order = _job_order(source, job_state)
            row_candidates.append(JobRowCandidate(order, source, job_state, wait_reason))
    _add_failed_attempts(report["died"], source, now, selection)
    _add_recently_ended(report["ended"], source, now, selection)


def _add_to_queue(queue: dict[str, list[int]], job_state: JobState, wait_reason: str) -> None:
    """Count a waiting job and its tasks under its wait reason, without the details after ":"."""
    row = queue.setdefault(wait_reason.partition(":")[0], [0, 0])
    row[0] += 1
    row[1] += job_state.waiting_count()


def _job_order(source: JobSource, job_state: JobState) -> tuple[Any, ...]:
    """Return a job's sort key: jobs that fail everywhere first, then in scheduling order."""
    if job_state.job is None:
        return ENDED_JOB_ORDER
    return (not job_state.failing_everywhere, *source.store.queue_order(job_state))


def _add_failed_attempts(
    rows: list[HistoryRow], source: JobSource, now: float, selection: Selection | None
) -> None:
    """Add the recent failed attempts: age in seconds, job, task, machine and reason."""
    for failed in source.store.failed_attempts:
        if (
            not selection
            or selection.get("job") == failed.job_id
            or selection.get("machine") == failed.machine
        ):
            age_s = round(now - failed.at, 1)
            rows.append([age_s, failed.job_id, failed.task, failed.machine, failed.reason])


def _add_recently_ended(
    rows: list[HistoryRow], source: JobSource, now: float, selection: Selection | None
) -> None:
    """Add the recently ended jobs: age in seconds, and the other fields of the entry."""
    for entry in source.store.recently_ended:
        if (
            not selection
            or selection.get("job") == entry.job_id
            or selection.get("team") == entry.team
        ):
            rows.append([round(now - entry.at, 1), *entry[1:]])


def add_job_rows(
    report: ShardFields,
    row_candidates: list[JobRowCandidate],
    now: float,
    selection: Selection | None,
) -> None:
    """Add the rows of the first `MAX_ROWS` jobs by sort key, and count those left out."""
    row_candidates.sort(key=lambda shown: (shown.order, shown.job_state.id))
    report["left_out"] = max(0, len(row_candidates) - MAX_ROWS)
    report["jobs"] = [
        _job_row(shown.source, shown.job_state, shown.wait_reason, now, selection)
        for shown in row_candidates[:MAX_ROWS]
    ]


def _add_teams(report: ShardFields, source: JobSource) -> None:
    """Add the usage, guarantee and limit of each team of a source."""
    for name, team in source.store.teams.items():
        used = source.store.used[name]
        report["teams"][name] = {
            "cpus": round(used[0], 2),
            "gpus": round(used[1], 2),
            "guarantee": [team.guaranteed_cpus, team.guaranteed_gpus],
            "limit": [team.max_cpus, team.max_gpus],
        }


def _is_selected(job_state: JobState, selection: Selection) -> bool:
    """Return whether a job matches every field of the selection."""
    machine = selection.get("machine")
    return (
        selection.get("job", job_state.id) == job_state.id
        and selection.get("team", job_state.team) == job_state.team
        and (
            not machine
            or any(allocation.machine == machine for allocation in job_state.allocations.values())
        )
    )


def _job_row(
    source: JobSource,
    job_state: JobState,
    wait_reason: str,
    now: float,
    selection: Selection | None,
) -> JobRow:
    """Return the row of one job; it has the job's tasks only if there is a selection.

    Times are in seconds.
    """
    states: dict[str, int] = {}
    for allocation in job_state.allocations.values():
        states[allocation.state] = states.get(allocation.state, 0) + 1
    job_class = job_state.job.job_class if job_state.job else ""
    waited_s = (
        round(now - job_state.waiting_since, 1)
        if job_state.job is not None and job_state.waiting_count()
        else 0.0
    )
    typical_wait_s = source.store.typical_wait_s.get(job_class)
    return {
        "id": job_state.id,
        "team": job_state.team,
        "class": job_class,
        "kind": job_state.job.kind if job_state.job else "over",
        "tasks": job_state.task_count,
        "waiting": job_state.waiting_count(),
        "done": job_state.done_count,
        "states": states,
        "why": wait_reason,
        "waits_s": waited_s,
        "usual_s": round(typical_wait_s, 1) if typical_wait_s is not None else None,
        "broken": job_state.failing_everywhere,
        "failures": job_state.failure_count,
        "last_failure": job_state.last_failure,
        "ready": len(job_state.offers),
        "places": [
            [allocation.task, allocation.machine, allocation.state, allocation.reason]
            for allocation in job_state.allocations.values()
        ][: MAX_TASK_ROWS if selection else 0],
    }


def wait_reason_of(source: JobSource, job_state: JobState, now: float) -> str:
    """Return what a job waits for; an empty string if it doesn't wait."""
    if job_state.job is None:
        return "over: its last tasks are stopping"
    if job_state.failing_everywhere:
        return f"it fails everywhere: tried again in {max(0.0, job_state.retry_at - now):.0f} s"
    is_gang = job_state.job.kind == "gang"
    if job_state.waiting_count() == 0:
        return _incomplete_gang_reason(job_state) if is_gang else ""
    if job_state.retry_at > now or len(job_state.task_retry_at) >= job_state.waiting_count():
        return f"it has just failed: tried again soon ({job_state.last_failure})"
    if is_gang and job_state.allocations:
        machines = sorted({allocation.machine for allocation in job_state.allocations.values()})
        return "tasks of its last attempt are still somewhere: " + ", ".join(
            machines[:MAX_NAMED_MACHINES]
        )
    if source.quotas.quota_headroom(job_state) < (job_state.task_count if is_gang else 1):
        return "its team is at its limit"
    if job_state.offers:
        return f"part of its room is ready: {len(job_state.offers)} of {job_state.waiting_count()}"
    return "no machine has room"


def _incomplete_gang_reason(job_state: JobState) -> str:
    """Return what a fully placed gang waits for; an empty string if it doesn't wait.

    Such a gang waits for tasks that are not up yet: they fetch images, or are lost.
    """
    allocations = job_state.allocations.values()
    if not any(allocation.state == "waiting" for allocation in allocations):
        return ""
    late_machines = sorted(
        allocation.machine
        for allocation in allocations
        if allocation.state in ("permitted", "fetching")
    )
    if not late_machines:
        return ""
    return "its other tasks are not up yet: " + ", ".join(late_machines[:MAX_NAMED_MACHINES])
