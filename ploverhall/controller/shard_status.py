"""What one controller knows of the shards it holds, bounded in size: its part of the answer to `ploverhall status`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from ploverhall.controller.context import Held, Shared
from ploverhall.controller.peer_liveness import Hearing
from ploverhall.maintenance import orders
from ploverhall.scheduling.allocations import JobState
from ploverhall.scheduling.inventory import Machine
from ploverhall.scheduling.permitting import Source
from ploverhall.status import LATELY_S, MOST, MOST_TASKS


class View:
    """Looks at everything held here."""

    def __init__(
        self,
        shared: Shared,
        hearing: Hearing,
        short: Callable[[], dict[str, float]],
        reach: Callable[[], dict[str, Any]],
    ) -> None:
        self.shared, self.hearing = shared, hearing
        self.short = short  # what this controller is short of
        self.reach = reach  # which links it lacks, and through whom it does without

    def of(self, chosen: dict[str, str] | None = None) -> dict[str, Any]:
        """What this controller sees; with a job, team or machine chosen, all that it knows of that."""
        shared, s = self.shared, self.shared.settings
        now = shared.clock()
        out: dict[str, Any] = {
            "node": s.name,
            "zone": s.zone,
            "shards": {str(h.shard): h.epoch for h in shared.held.values()},
            "ready": shared.replica.ready,
            "state_age_s": round(now - max(shared.started, shared.store.last_ok), 1),
            "short": self.short(),
            "reach": self.reach(),
            "unheard": [p.name for p in s.peers if not self.hearing.heard(p.name, now)],
            "stood_still": [round(now - shared.stood_at, 1), round(shared.stood_s, 1)]
            if now - shared.stood_at < LATELY_S
            else None,
            "quiet_s": {str(k): round(v, 1) for k, v in self.hearing.quiet_for(now).items()},
            "renter": shared.renter is not None,
            "late": shared.renter.late(now)[:MOST] if shared.renter is not None else [],
            "orders": shared.renter.progress() if shared.renter is not None else {},
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
        jobs: list[tuple[Any, str, Source, JobState, str]] = []
        for h in shared.held.values():
            if h.source is not None:
                _teams(out, h.source)
                for why in h.source.refusals.values():
                    out["asked"][why] = out["asked"].get(why, 0) + 1
                for js in h.source.jobs.values():
                    if chosen and not _chosen(js, chosen):
                        continue
                    why = _why(h.source, js, now)
                    if why and js.job is not None:
                        row = out["queue"].setdefault(why.partition(":")[0], [0, 0])
                        row[0] += 1
                        row[1] += js.waiting()
                    if chosen or why or js.broken:
                        jobs.append(
                            (
                                (not js.broken, *h.source.order(js)) if js.job else (True, 9.0),
                                js.id,
                                h.source,
                                js,
                                why,
                            )
                        )
                for d in h.source.deaths:
                    if (
                        not chosen
                        or chosen.get("job") == d.job
                        or chosen.get("machine") == d.machine
                    ):
                        out["died"].append([round(now - d.at, 1), d.job, d.task, d.machine, d.why])
                for e in h.source.ends:
                    if not chosen or chosen.get("job") == e.job or chosen.get("team") == e.team:
                        out["ended"].append([round(now - e.at, 1), *e[1:]])
            if chosen and "would" in chosen:
                _would(out["would"], h, chosen["would"])
            for m in h.owner.machines.values():
                state = _state(m, now, h.owner.fleet.silent_s)
                out["machines"][state] = out["machines"].get(state, 0) + 1
                if (
                    (chosen.get("machine") == m.name)
                    if chosen
                    else state not in ("up", "draining", "leaving")
                ):
                    out["trouble_machines"].append(
                        {
                            "name": m.name,
                            "type": m.type,
                            "zone": m.zone,
                            "spot": m.spot,
                            "tasks": len(m.tasks),
                            "state": state,
                            "silent_s": round(now - m.last_report, 1),
                            "failed": sorted(m.faults),
                            "unheard_s": round(now - m.doubted_at, 1) if m.deaf else 0.0,
                            "free": [round(x, 2) for x in h.owner.fleet.room(m)],
                        }
                    )
        jobs.sort(key=lambda x: x[:2])
        out["left_out"] = max(0, len(jobs) - MOST)
        out["jobs"] = [_job(source, js, why, now, chosen) for _, _, source, js, why in jobs[:MOST]]
        for key in ("died", "ended"):
            out[key].sort()
        for key in ("trouble_machines", "died", "ended"):
            out["left_out"] += max(0, len(out[key]) - MOST)
            out[key] = out[key][:MOST]
        return out


def _state(m: Machine, now: float, silent_s: float) -> str:
    """How a machine stands, the worst first."""
    if m.deaf and not m.expired:
        return "unreachable"
    if m.expired or now - m.last_report > silent_s:
        return "silent"
    if m.notice_s is not None:
        return "leaving"
    return "not trusted" if m.faulty_until > now else "draining" if m.draining else "up"


def _would(out: dict[str, Any], held: Held, text: str) -> None:
    """What an order would be about in a shard: machines, and by team the tasks on them by kind."""
    try:
        order = orders.parse("u-0", orjson.loads(text))
    except (orders.Malformed, orjson.JSONDecodeError):
        return
    for m in held.owner.machines.values():
        if order.matches(m.name, m.place, held.shard):
            out["machines"] = out.get("machines", 0) + 1
            for key, p in m.permits.items():
                info = held.owner.fleet.info.get(key[0])
                if info is not None and not p.gone and not p.refused:
                    kinds = out.setdefault("teams", {}).setdefault(info.team, {})
                    kinds[info.kind] = kinds.get(info.kind, 0) + 1


def _chosen(js: JobState, chosen: dict[str, str]) -> bool:
    machine = chosen.get("machine")
    return (
        chosen.get("job", js.id) == js.id
        and chosen.get("team", js.team) == js.team
        and (not machine or any(e.machine == machine for e in js.entries.values()))
    )


def _teams(out: dict[str, Any], source: Source) -> None:
    for name, team in source.teams.items():
        used = source.used[name]
        out["teams"][name] = {
            "cpus": round(used[0], 2),
            "gpus": round(used[1], 2),
            "guarantee": [team.cpus, team.gpus],
            "limit": [team.cpus_max, team.gpus_max],
        }


def _job(
    source: Source, js: JobState, why: str, now: float, chosen: dict[str, str] | None
) -> dict[str, Any]:
    states: dict[str, int] = {}
    for e in js.entries.values():
        states[e.state] = states.get(e.state, 0) + 1
    klass = js.job.klass if js.job else ""
    waits = round(now - js.since, 1) if js.job is not None and js.waiting() else 0.0
    usual = source.usual.get(klass)
    return {
        "id": js.id,
        "team": js.team,
        "class": klass,
        "kind": js.job.kind if js.job else "over",
        "tasks": js.n,
        "waiting": js.waiting(),
        "done": js.done_count,
        "states": states,
        "why": why,
        "waits_s": waits,
        "usual_s": round(usual, 1) if usual is not None else None,
        "broken": js.broken,
        "failures": js.failures,
        "last_failure": js.last_failure,
        "ready": len(js.offers),
        "places": [[e.task, e.machine, e.state, e.why] for e in js.entries.values()][
            : MOST_TASKS if chosen else 0
        ],
    }


def _why(source: Source, js: JobState, now: float) -> str:
    """For what a job waits; nothing if it doesn't."""
    if js.job is None:
        return "over: its last tasks are stopping"
    if js.broken:
        return f"it fails everywhere: tried again in {max(0.0, js.not_before - now):.0f} s"
    if js.waiting() == 0:
        # a gang that has all its places but does not run waits for images, or for a task that is lost
        if js.job.kind == "gang" and any(e.state == "waiting" for e in js.entries.values()):
            late = sorted(
                e.machine for e in js.entries.values() if e.state in ("permitted", "fetching")
            )
            return "its other tasks are not up yet: " + ", ".join(late[:5]) if late else ""
        return ""
    if js.not_before > now or len(js.resting) >= js.waiting():
        return f"it has just failed: tried again soon ({js.last_failure})"
    if js.job.kind == "gang" and js.entries:
        return "tasks of its last attempt are still somewhere: " + ", ".join(
            sorted({e.machine for e in js.entries.values()})[:5]
        )
    if source.headroom(js) < (js.n if js.job.kind == "gang" else 1):
        return "its team is at its limit"
    if js.offers:
        return f"part of its room is ready: {len(js.offers)} of {js.waiting()}"
    return "no machine has room"
