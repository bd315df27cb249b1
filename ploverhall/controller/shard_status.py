"""What one controller knows of the shards it holds, bounded in size: its part of the answer to `ploverhall status`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.errors import InvalidOrderError
from ploverhall.maintenance import orders
from ploverhall.scheduling.allocations import JobState
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.permitting import JobSource
from ploverhall.status import MAX_ROWS, MAX_TASK_ROWS, RECENT_STALL_S


class ShardStatus:
    """Looks at everything held here."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        capacity_shortages: Callable[[], dict[str, float]],
        connectivity: Callable[[], dict[str, Any]],
    ) -> None:
        self.context = context
        self.peer_liveness = peer_liveness
        self.capacity_shortages = capacity_shortages  # what this controller is short of
        self.connectivity = connectivity  # which links it lacks, and through whom it does without

    def report(self, selection: dict[str, str] | None = None) -> dict[str, Any]:
        """What this controller sees; with a job, team or machine chosen, all that it knows of that."""
        shared = self.context
        settings = self.context.settings
        now = shared.clock()
        out: dict[str, Any] = {
            "node": settings.name,
            "zone": settings.zone,
            "shards": {str(held.shard): held.epoch for held in shared.held_shards.values()},
            "ready": shared.store_cache.ready,
            "state_age_s": round(now - max(shared.started_at, shared.store.last_answer_at), 1),
            "short": self.capacity_shortages(),
            "reach": self.connectivity(),
            "unheard": [
                peer.name
                for peer in settings.peers
                if not self.peer_liveness.is_alive(peer.name, now)
            ],
            "stood_still": [round(now - shared.stalled_at, 1), round(shared.stall_s, 1)]
            if now - shared.stalled_at < RECENT_STALL_S
            else None,
            "quiet_s": {
                str(k): round(value, 1)
                for k, value in self.peer_liveness.without_heartbeats_s(now).items()
            },
            "renter": shared.autoscaler is not None,
            "late": shared.autoscaler.late_machines(now)[:MAX_ROWS]
            if shared.autoscaler is not None
            else [],
            "orders": shared.autoscaler.order_progress() if shared.autoscaler is not None else {},
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
        jobs: list[tuple[Any, str, JobSource, JobState, str]] = []
        for held in shared.held_shards.values():
            if held.source is not None:
                _add_teams(out, held.source)
                for why in held.source.denial_reasons.values():
                    out["asked"][why] = out["asked"].get(why, 0) + 1
                for job_state in held.source.jobs.values():
                    if selection and not _is_selected(job_state, selection):
                        continue
                    why = _wait_reason(held.source, job_state, now)
                    if why and job_state.job is not None:
                        row = out["queue"].setdefault(why.partition(":")[0], [0, 0])
                        row[0] += 1
                        row[1] += job_state.waiting_count()
                    if selection or why or job_state.failing_everywhere:
                        jobs.append(
                            (
                                (
                                    not job_state.failing_everywhere,
                                    *held.source.queue_order(job_state),
                                )
                                if job_state.job
                                else (True, 9.0),
                                job_state.id,
                                held.source,
                                job_state,
                                why,
                            )
                        )
                for failed in held.source.failed_attempts:
                    if (
                        not selection
                        or selection.get("job") == failed.job_id
                        or selection.get("machine") == failed.machine
                    ):
                        out["died"].append(
                            [
                                round(now - failed.at, 1),
                                failed.job_id,
                                failed.task,
                                failed.machine,
                                failed.reason,
                            ]
                        )
                for entry in held.source.recently_ended:
                    if (
                        not selection
                        or selection.get("job") == entry.job_id
                        or selection.get("team") == entry.team
                    ):
                        out["ended"].append([round(now - entry.at, 1), *entry[1:]])
            if selection and "would" in selection:
                _add_order_preview(out["would"], held, selection["would"])
            for machine in held.owner.machines.values():
                state = _machine_state(machine, now, held.owner.inventory.unresponsive_after_s)
                out["machines"][state] = out["machines"].get(state, 0) + 1
                if (
                    (selection.get("machine") == machine.name)
                    if selection
                    else state not in ("up", "draining", "leaving")
                ):
                    out["trouble_machines"].append(
                        {
                            "name": machine.name,
                            "type": machine.type,
                            "zone": machine.zone,
                            "spot": machine.spot,
                            "tasks": len(machine.tasks),
                            "state": state,
                            "silent_s": round(now - machine.last_heartbeat_at, 1),
                            "failed": sorted(machine.failures_by_job),
                            "unheard_s": round(now - machine.awaited_since, 1)
                            if machine.not_receiving
                            else 0.0,
                            "free": [
                                round(x, 2) for x in held.owner.inventory.free_capacity(machine)
                            ],
                        }
                    )
        jobs.sort(key=lambda x: x[:2])
        out["left_out"] = max(0, len(jobs) - MAX_ROWS)
        out["jobs"] = [
            _job_row(source, job_state, why, now, selection)
            for _, _, source, job_state, why in jobs[:MAX_ROWS]
        ]
        for key in ("died", "ended"):
            out[key].sort()
        for key in ("trouble_machines", "died", "ended"):
            out["left_out"] += max(0, len(out[key]) - MAX_ROWS)
            out[key] = out[key][:MAX_ROWS]
        return out


def _machine_state(machine: Machine, now: float, silent_s: float) -> str:
    """How a machine stands, the worst first."""
    if machine.not_receiving and not machine.lease_expired:
        return "unreachable"
    if machine.lease_expired or now - machine.last_heartbeat_at > silent_s:
        return "silent"
    if machine.termination_notice_s is not None:
        return "leaving"
    return (
        "not trusted"
        if machine.quarantined_until > now
        else "draining"
        if machine.draining
        else "up"
    )


def _add_order_preview(preview: dict[str, Any], held: HeldShard, text: str) -> None:
    """What an order would be about in a shard: machines, and by team the tasks on them by kind."""
    try:
        order = orders.parse_order("u-0", orjson.loads(text))
    except (InvalidOrderError, orjson.JSONDecodeError):
        return
    for machine in held.owner.machines.values():
        if order.matches(machine.name, machine.pool, held.shard):
            preview["machines"] = preview.get("machines", 0) + 1
            for key, permit in machine.permits.items():
                info = held.owner.inventory.job_traits.get(key[0])
                if info is not None and not permit.gone and not permit.refused:
                    kinds = preview.setdefault("teams", {}).setdefault(info.team, {})
                    kinds[info.kind] = kinds.get(info.kind, 0) + 1


def _is_selected(job_state: JobState, selection: dict[str, str]) -> bool:
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
    for name, team in source.teams.items():
        used = source.used[name]
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
    selection: dict[str, str] | None,
) -> dict[str, Any]:
    states: dict[str, int] = {}
    for allocation in job_state.allocations.values():
        states[allocation.state] = states.get(allocation.state, 0) + 1
    klass = job_state.job.job_class if job_state.job else ""
    waits = (
        round(now - job_state.waiting_since, 1)
        if job_state.job is not None and job_state.waiting_count()
        else 0.0
    )
    usual = source.typical_wait_s.get(klass)
    return {
        "id": job_state.id,
        "team": job_state.team,
        "class": klass,
        "kind": job_state.job.kind if job_state.job else "over",
        "tasks": job_state.task_count,
        "waiting": job_state.waiting_count(),
        "done": job_state.done_count,
        "states": states,
        "why": wait_reason,
        "waits_s": waits,
        "usual_s": round(usual, 1) if usual is not None else None,
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
    """For what a job waits; nothing if it doesn't."""
    if job_state.job is None:
        return "over: its last tasks are stopping"
    if job_state.failing_everywhere:
        return f"it fails everywhere: tried again in {max(0.0, job_state.retry_at - now):.0f} s"
    if job_state.waiting_count() == 0:
        # a gang that has all its places but does not run waits for images, or for a task that is lost
        if job_state.job.kind == "gang" and any(
            allocation.state == "waiting" for allocation in job_state.allocations.values()
        ):
            late = sorted(
                allocation.machine
                for allocation in job_state.allocations.values()
                if allocation.state in ("permitted", "fetching")
            )
            return "its other tasks are not up yet: " + ", ".join(late[:5]) if late else ""
        return ""
    if job_state.retry_at > now or len(job_state.task_retry_at) >= job_state.waiting_count():
        return f"it has just failed: tried again soon ({job_state.last_failure})"
    if job_state.job.kind == "gang" and job_state.allocations:
        return "tasks of its last attempt are still somewhere: " + ", ".join(
            sorted({allocation.machine for allocation in job_state.allocations.values()})[:5]
        )
    if source.quota_headroom(job_state) < (
        job_state.task_count if job_state.job.kind == "gang" else 1
    ):
        return "its team is at its limit"
    if job_state.offers:
        return f"part of its room is ready: {len(job_state.offers)} of {job_state.waiting_count()}"
    return "no machine has room"
