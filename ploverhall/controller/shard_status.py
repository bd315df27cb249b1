"""What one controller knows of the shards it holds, bounded in size.

`ShardStatus.report` is this controller's part of the answer to `ploverhall status`: `status_report`
collects the reports of all controllers, and `ploverhall.status` shows them. The keys of a report
are part of the published JSON of `/status`, and are read by controllers of other releases.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.errors import InvalidOrderError
from ploverhall.maintenance import orders
from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.permitting import JobSource
from ploverhall.status import MAX_ROWS, MAX_TASK_ROWS, RECENT_STALL_S

UNREMARKABLE_STATES = ("up", "draining", "leaving")  # of machines, shown only if asked for
MAX_NAMED_MACHINES = 5  # in the reason that a job waits for
JOB_OVER_ORDER = (True, 9.0)  # jobs that are over are shown last
Selection = dict[str, str]  # "job", "team", "machine" or "would" (a maintenance order as JSON)


@dataclass(slots=True)
class _ShownJob:
    """A job that may become a row of the report."""

    order: tuple[Any, ...]
    source: JobSource
    job_state: JobState
    wait_reason: str


class ShardStatus:
    """Reports what this controller sees of the fleet."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        capacity_shortages: Callable[[], dict[str, float]],
        connectivity: Callable[[], dict[str, Any]],
    ) -> None:
        """`capacity_shortages`: what this controller lacks; `connectivity`: its broken links."""
        self.context = context
        self.peer_liveness = peer_liveness
        self.capacity_shortages = capacity_shortages
        self.connectivity = connectivity

    def report(self, selection: Selection | None = None) -> dict[str, Any]:
        """What this controller sees, in at most `MAX_ROWS` rows of each kind.

        With a job, team or machine selected: all that is known of that.
        """
        now = self.context.clock()
        report = self._controller_fields(now)
        report.update(self._autoscaler_fields(now))
        report.update(_empty_shard_fields())
        shown_jobs: list[_ShownJob] = []
        for held in self.context.held_shards.values():
            if held.source is not None:
                _add_source(report, shown_jobs, held.source, now, selection)
            if selection and "would" in selection:
                _add_order_preview(report["would"], held, selection["would"])
            _add_machines(report, held, now, selection)
        _add_job_rows(report, shown_jobs, now, selection)
        _truncate_rows(report)
        return report

    def _controller_fields(self, now: float) -> dict[str, Any]:
        """What the controller says of itself."""
        context = self.context
        settings = context.settings
        return {
            "node": settings.name,
            "zone": settings.zone,
            "shards": {str(held.shard): held.epoch for held in context.held_shards.values()},
            "ready": context.store_cache.ready,
            "state_age_s": round(now - max(context.started_at, context.store.last_answer_at), 1),
            "short": self.capacity_shortages(),
            "reach": self.connectivity(),
            "unheard": [
                peer.name
                for peer in settings.peers
                if not self.peer_liveness.is_alive(peer.name, now)
            ],
            "stood_still": self._recent_stall(now),
            "quiet_s": {
                str(shard): round(silence_s, 1)
                for shard, silence_s in self.peer_liveness.without_heartbeats_s(now).items()
            },
        }

    def _recent_stall(self, now: float) -> list[float] | None:
        """How long ago the event loop last stalled, and for how long (seconds), if lately."""
        stalled_ago_s = now - self.context.stalled_at
        if stalled_ago_s >= RECENT_STALL_S:
            return None
        return [round(stalled_ago_s, 1), round(self.context.stall_s, 1)]

    def _autoscaler_fields(self, now: float) -> dict[str, Any]:
        """What the autoscaler says, if it runs here."""
        autoscaler = self.context.autoscaler
        if autoscaler is None:
            return {"renter": False, "late": [], "orders": {}}
        return {
            "renter": True,
            "late": autoscaler.late_machines(now)[:MAX_ROWS],
            "orders": autoscaler.order_progress(),
        }


def _empty_shard_fields() -> dict[str, Any]:
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


# -- jobs --------------------------------------------------------------------------------------


def _add_source(
    report: dict[str, Any],
    shown_jobs: list[_ShownJob],
    source: JobSource,
    now: float,
    selection: Selection | None,
) -> None:
    """Add one shard's teams and jobs."""
    _add_teams(report, source)
    for reason in source.grants.denial_reasons.values():
        report["asked"][reason] = report["asked"].get(reason, 0) + 1
    for job_state in source.jobs.values():
        if selection and not _is_selected(job_state, selection):
            continue
        wait_reason = _wait_reason(source, job_state, now)
        if wait_reason and job_state.job is not None:
            _add_to_queue(report["queue"], job_state, wait_reason)
        if selection or wait_reason or job_state.failing_everywhere:
            order = _job_order(source, job_state)
            shown_jobs.append(_ShownJob(order, source, job_state, wait_reason))
    _add_failed_attempts(report["died"], source, now, selection)
    _add_recently_ended(report["ended"], source, now, selection)


def _add_to_queue(queue: dict[str, list[int]], job_state: JobState, wait_reason: str) -> None:
    """Count a waiting job and its tasks by what it waits for."""
    row = queue.setdefault(wait_reason.partition(":")[0], [0, 0])
    row[0] += 1
    row[1] += job_state.waiting_count()


def _job_order(source: JobSource, job_state: JobState) -> tuple[Any, ...]:
    """By what jobs are sorted: those that fail everywhere first, then as they are scheduled."""
    if job_state.job is None:
        return JOB_OVER_ORDER
    return (not job_state.failing_everywhere, *source.store.queue_order(job_state))


def _add_failed_attempts(
    rows: list[Any], source: JobSource, now: float, selection: Selection | None
) -> None:
    """Add the attempts that failed lately: age in seconds, job, task, machine, reason."""
    for failed in source.store.failed_attempts:
        if (
            not selection
            or selection.get("job") == failed.job_id
            or selection.get("machine") == failed.machine
        ):
            age_s = round(now - failed.at, 1)
            rows.append([age_s, failed.job_id, failed.task, failed.machine, failed.reason])


def _add_recently_ended(
    rows: list[Any], source: JobSource, now: float, selection: Selection | None
) -> None:
    """Add the jobs that ended lately: age in seconds, and the entry's other fields."""
    for entry in source.store.recently_ended:
        if (
            not selection
            or selection.get("job") == entry.job_id
            or selection.get("team") == entry.team
        ):
            rows.append([round(now - entry.at, 1), *entry[1:]])


def _add_job_rows(
    report: dict[str, Any],
    shown_jobs: list[_ShownJob],
    now: float,
    selection: Selection | None,
) -> None:
    """Add the rows of the most important jobs, and count those that are left out."""
    shown_jobs.sort(key=lambda shown: (shown.order, shown.job_state.id))
    report["left_out"] = max(0, len(shown_jobs) - MAX_ROWS)
    report["jobs"] = [
        _job_row(shown.source, shown.job_state, shown.wait_reason, now, selection)
        for shown in shown_jobs[:MAX_ROWS]
    ]


def _truncate_rows(report: dict[str, Any]) -> None:
    """Keep `MAX_ROWS` rows of each other kind, the newest first, and count the rest."""
    for key in ("died", "ended"):
        report[key].sort()
    for key in ("trouble_machines", "died", "ended"):
        report["left_out"] += max(0, len(report[key]) - MAX_ROWS)
        report[key] = report[key][:MAX_ROWS]


# -- machines ----------------------------------------------------------------------------------


def _add_machines(
    report: dict[str, Any], held: HeldShard, now: float, selection: Selection | None
) -> None:
    """Count one shard's machines by state; add rows of the selected ones, or of unhealthy ones."""
    inventory = held.owner.inventory
    for machine in held.owner.machines.values():
        state = _machine_state(machine, now, inventory.unresponsive_after_s)
        report["machines"][state] = report["machines"].get(state, 0) + 1
        if selection:
            shown = selection.get("machine") == machine.name
        else:
            shown = state not in UNREMARKABLE_STATES
        if shown:
            report["trouble_machines"].append(_machine_row(held, machine, state, now))


def _machine_row(held: HeldShard, machine: Machine, state: str, now: float) -> dict[str, Any]:
    """One machine as the report shows it; times in seconds."""
    unheard_s = round(now - machine.awaited_since, 1) if machine.not_receiving else 0.0
    free_capacity = held.owner.inventory.free_capacity(machine)
    return {
        "name": machine.name,
        "type": machine.type,
        "zone": machine.zone,
        "spot": machine.spot,
        "tasks": len(machine.tasks),
        "state": state,
        "silent_s": round(now - machine.last_heartbeat_at, 1),
        "failed": sorted(machine.failures_by_job),
        "unheard_s": unheard_s,
        "free": [round(amount, 2) for amount in free_capacity],
    }


def _machine_state(machine: Machine, now: float, unresponsive_after_s: float) -> str:
    """The state of a machine, the worst that applies."""
    if machine.not_receiving and not machine.lease_expired:
        return "unreachable"
    if machine.lease_expired or now - machine.last_heartbeat_at > unresponsive_after_s:
        return "silent"
    if machine.termination_notice_s is not None:
        return "leaving"
    if machine.quarantined_until > now:
        return "not trusted"
    return "draining" if machine.draining else "up"


def _add_order_preview(preview: dict[str, Any], held: HeldShard, text: str) -> None:
    """Add what a maintenance order (JSON) would drain in a shard: machines, and tasks by team.

    An order that is malformed, or of a later release, adds nothing.
    """
    try:
        order = orders.parse_order("u-0", orjson.loads(text))
    except (InvalidOrderError, orjson.JSONDecodeError):
        return
    for machine in held.owner.machines.values():
        if order.matches(machine.name, machine.pool, held.shard):
            preview["machines"] = preview.get("machines", 0) + 1
            _add_drained_tasks(preview, held, machine)


def _add_drained_tasks(preview: dict[str, Any], held: HeldShard, machine: Machine) -> None:
    """Count the tasks of one machine by team and kind of job."""
    for attempt_id, permit in machine.permits.items():
        traits = held.owner.inventory.job_traits.get(attempt_id.job_id)
        if traits is not None and not permit.gone and not permit.refused:
            kinds = preview.setdefault("teams", {}).setdefault(traits.team, {})
            kinds[traits.kind] = kinds.get(traits.kind, 0) + 1


# -- one job -----------------------------------------------------------------------------------


def _is_selected(job_state: JobState, selection: Selection) -> bool:
    """Whether a job matches all that was selected."""
    machine = selection.get("machine")
    return (
        selection.get("job", job_state.id) == job_state.id
        and selection.get("team", job_state.team) == job_state.team
        and (
            not machine
            or any(allocation.machine == machine for allocation in job_state.allocations.values())
        )
    )


def _add_teams(report: dict[str, Any], source: JobSource) -> None:
    """Add what the teams of a source use, are guaranteed and may use at most."""
    for name, team in source.store.teams.items():
        used = source.store.used[name]
        report["teams"][name] = {
            "cpus": round(used[0], 2),
            "gpus": round(used[1], 2),
            "guarantee": [team.guaranteed_cpus, team.guaranteed_gpus],
            "limit": [team.max_cpus, team.max_gpus],
        }


def _job_row(
    source: JobSource,
    job_state: JobState,
    wait_reason: str,
    now: float,
    selection: Selection | None,
) -> dict[str, Any]:
    """One job as the report shows it; its tasks only if something was selected. Seconds."""
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


def _wait_reason(source: JobSource, job_state: JobState, now: float) -> str:
    """What a job waits for; empty if it does not wait."""
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
    """What a gang with all its places waits for: images, or a task that is lost; or nothing."""
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
