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
    out: dict[str, Any] = {"node": node.settings.name, "shards": {}, "teams": {}, "jobs": [], "machines": []}
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


def show(address: str, job: str | None, as_json: bool) -> int:
    """Ask a running controller and print."""
    import json
    import urllib.error
    import urllib.request

    try:
        with urllib.request.urlopen(f"http://{address}/status", timeout=5) as f:
            data = json.load(f)
    except (OSError, ValueError) as e:
        print(f"ploverhall: {address}: {e}", file=sys.stderr)
        return 1
    jobs = [j for j in data["jobs"] if job is None or j["id"] == job]
    if as_json:
        print(json.dumps({**data, "jobs": jobs}, indent=1))
        return 0
    print(f"{data['node']} holds shards {', '.join(data['shards']) or 'none'}")
    for name, t in sorted(data["teams"].items()):
        print(f"team {name}: {t['cpus']:g} cpus, {t['gpus']:g} gpus; guaranteed {t['guarantee']}, at most {t['limit']}")
    for j in jobs:
        print(f"job {j['id']} ({j['kind']}, {j['team']}): {j['waiting']} waiting, {j['done']} done; {j['why']}")
        for task, machine, state, why in j["tasks"] if job else ():
            print(f"  {j['id']}/{task} on {machine}: {state} {why}")
    for m in data["machines"]:
        kind = f"{m['type']}, {m['zone']}{', spot' if m['spot'] else ''}"
        print(f"machine {m['name']} ({kind}): {m['state']}, {m['tasks']} tasks, free {m['free']}")
    return 0
