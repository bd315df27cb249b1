"""What a person called at night wants to see, from one place."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ploverhall.control.node import Node


def status(node: Node) -> dict[str, Any]:
    """Everything the shards held here know."""
    now = time.monotonic()
    out: dict[str, Any] = {
        "node": node.settings.name, "shards": {}, "short": node.short(), "teams": {}, "jobs": [], "machines": [],
    }  # fmt: skip
    for h in node.held.values():
        out["shards"][str(h.shard)] = h.epoch
        if h.source is not None:
            for name, team in h.source.teams.items():
                used = h.source.used[name]
                out["teams"][name] = {
                    "cpus": used[0], "gpus": used[1], "guarantee": [team.cpus, team.gpus], "limit": [team.cpus_max, team.gpus_max],
                }  # fmt: skip
            for js in h.source.jobs.values():
                out["jobs"].append({
                    "id": js.id, "team": js.team, "kind": js.job.kind if js.job else "over", "waiting": js.waiting(),
                    "done": js.done_count, "why": _why(h.source, js, now), "last_failure": js.last_failure,
                    "failures": js.failures,
                    "tasks": [[e.task, e.machine, e.state, e.why] for e in js.entries.values()][:50],
                })  # fmt: skip
        for m in h.owner.machines.values():
            out["machines"].append({
                "name": m.name, "type": m.type, "zone": m.zone, "spot": m.spot, "tasks": len(m.tasks),
                "state": "silent" if m.expired else "leaving" if m.notice_s is not None else "not trusted" if m.faulty_until > now
                else "draining" if m.draining else "up",
                "free": [round(x, 2) for x in h.owner.fleet.room(m)],
            })  # fmt: skip
    return out


def _why(source: Any, js: Any, now: float) -> str:
    if js.job is None:
        return "over; its last tasks are stopping"
    if js.waiting() == 0:
        return ""
    if js.not_before > now:
        return f"failed {js.failures} times ({js.last_failure}); tried again in {js.not_before - now:.0f} s"
    if js.job.kind == "gang" and js.entries:
        return "tasks of its last attempt are still on: " + ", ".join(sorted({e.machine for e in js.entries.values()}))
    if source.headroom(js) < (js.n if js.job.kind == "gang" else 1):
        return "the team is at its limit"
    if js.offers:
        return f"{len(js.offers)} places ready" + (f" of {js.n}" if js.job.kind == "gang" else "")
    return "no machine has room"


def show(address: str, as_json: bool, job: str | None = None, team: str | None = None, machine: str | None = None) -> int:
    """Ask a running controller and print: summaries first, then what waits; with a filter, all that it matches."""
    import json
    import urllib.error
    import urllib.request

    try:
        with urllib.request.urlopen(f"http://{address}/status", timeout=5) as f:
            data = json.load(f)
    except (OSError, ValueError) as e:
        print(f"ploverhall: {address}: {e}", file=sys.stderr)
        return 1
    chosen = job is not None or team is not None or machine is not None
    jobs = [
        j for j in data["jobs"]
        if (job is None or j["id"] == job) and (team is None or j["team"] == team)
        and (machine is None or any(t[1] == machine for t in j["tasks"]))
    ]  # fmt: skip
    machines = [m for m in data["machines"] if machine is None or m["name"] == machine]
    if as_json:
        print(json.dumps({**data, "jobs": jobs, "machines": machines}, indent=1))
        return 0
    print("\n".join(text(data, jobs, machines, chosen, job is not None or machine is not None, machine is not None)))
    return 0


def text(data: Any, jobs: Any, machines: Any, chosen: bool, tasks: bool, one_machine: bool) -> list[str]:
    """The lines for a person."""
    out = [f"{data['node']} holds shards {', '.join(data['shards']) or 'none'}"]
    short = ", ".join(f"{k} {v:g}" for k, v in data["short"].items())
    out.append(f"short of: {short or 'nothing'}")
    waiting = [j for j in jobs if j["waiting"]]
    out.append(f"jobs: {len(jobs)}, of these {len(waiting)} with {sum(j['waiting'] for j in waiting)} tasks that wait")
    states: dict[str, int] = {}
    for m in machines:
        states[m["state"]] = states.get(m["state"], 0) + 1
    out.append(f"machines: {len(machines)}" + "".join(f", {n} {state}" for state, n in sorted(states.items())))
    for name, t in sorted(data["teams"].items()):
        out.append(f"team {name}: {t['cpus']:g} cpus, {t['gpus']:g} gpus; guaranteed {t['guarantee']}, at most {t['limit']}")
    for j in jobs if chosen else waiting:
        failed = f"; failed {j['failures']} times, last {j['last_failure']}" if j["failures"] else ""
        out.append(f"job {j['id']} ({j['kind']}, {j['team']}): {j['waiting']} waiting, {j['done']} done; {j['why']}{failed}")
        for task, machine, state, why in j["tasks"] if tasks else ():
            out.append(f"  {j['id']}/{task} on {machine}: {state} {why}")
    for m in machines:
        if one_machine or (not chosen and m["state"] != "up"):
            kind = f"{m['type']}, {m['zone']}{', spot' if m['spot'] else ''}"
            out.append(f"machine {m['name']} ({kind}): {m['state']}, {m['tasks']} tasks, free {m['free']}")
    return out
