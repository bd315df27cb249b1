"""What a person called at night wants to see, from one place: what is wrong first, then what waits, died and ended.

A controller's *view* is what it knows of the shards it holds, bounded in size; the views of all of them together are
the answer (see control.view and control.telling).
"""

from __future__ import annotations

import sys
from typing import Any

MAX_ROWS = 40  # rows of one kind in a view
MAX_TASK_ROWS = 100  # tasks of a job that was asked for
# A gang or service waits far longer than usual: so many times, and at least so long
SLOW_MULTIPLE = 4.0
MIN_SLOW_S = 60.0
RECENT_STALL_S = 120.0  # a controller that stood still is named for so long
SERVICES = {"state": "state service"}
# A controller that the state service has not answered for longer is in trouble
STORE_ANSWER_MAX_AGE_S = 2.5


def select(report: dict[str, Any], selection: dict[str, str]) -> dict[str, Any]:
    """What an older, whole view holds of what was asked for."""
    if not selection or not report:
        return report
    job, team, machine = selection.get("job"), selection.get("team"), selection.get("machine")
    return {
        **report,
        "jobs": [
            j
            for j in report["jobs"]
            if (not job or j["id"] == job)
            and (not team or j["team"] == team)
            and (not machine or any(t[1] == machine for t in j["tasks"]))
        ],
        "trouble_machines": [m for m in report["trouble_machines"] if m["name"] == machine],
        "died": [d for d in report["died"] if d[1] == job or d[3] == machine],
        "ended": [e for e in report["ended"] if e[1] == job or e[2] == team],
    }


def conditions(report: dict[str, Any]) -> dict[str, str]:
    """What is wrong in one controller's view, by a key that stays while it lasts. Keys with ~ only matter to who asks."""
    out: dict[str, str] = {}
    node = report["node"]
    if report["state_age_s"] > STORE_ANSWER_MAX_AGE_S:
        out["state"] = (
            f"controller {node}: the state service has not answered it for {report['state_age_s']:.0f} s"
        )
    reach = report.get("reach") or {}  # a release before this one says nothing of it
    for service, via in sorted(reach.get("through", {}).items()):
        out[f"link {service}"] = (
            f"controller {node} reaches the {SERVICES.get(service, service)} through {via} only"
        )
    if reach.get("away"):
        out["away"] = (
            f"controller {node}: {reach['away']} workers reach it through another controller only"
        )
    for peer in report["unheard"]:
        out[f"peer {peer}"] = f"controller {node} can't hear {peer}"
    if report["stood_still"]:
        ago, s = report["stood_still"]
        out["~stood"] = f"controller {node} stood still for {s:.0f} s, {ago:.0f} s ago"
    for shard, s in report["quiet_s"].items():
        if s > 10.0:
            out[f"quiet {shard}"] = (
                f"controller {node}: no worker of part {shard} has reported to it for {s:.0f} s"
            )
    if report["short"].get("processor_lag_s"):
        out["~lag"] = (
            f"controller {node} is short of processor: late by {report['short']['processor_lag_s']:g} s"
        )
    for j in report["jobs"]:
        if j["broken"]:
            out[f"broken {j['id']}"] = (
                f"job {j['id']} ({j['team']}) fails everywhere: {j['failures']} times, last {j['last_failure']}"
            )
        elif j["kind"] in ("gang", "service") and j["waits_s"] > max(
            MIN_SLOW_S, SLOW_MULTIPLE * (j["usual_s"] or 0.0)
        ):
            usual = f" (usually {j['usual_s']:.0f} s)" if j["usual_s"] is not None else ""
            out[f"slow {j['id']}"] = (
                f"{j['kind']} {j['id']} ({j['team']}) has waited {j['waits_s']:.0f} s{usual}: {j['why']}"
            )
    for place, n, s in report["late"]:
        out[f"late {place}"] = f"{n} machines of {place} do not come: rented up to {s:.0f} s ago"
    for m in report["trouble_machines"]:
        what = f"not trusted, {', '.join(m['failed'][:4])} failed there"
        if m["state"] == "silent":
            what = f"silent for {m['silent_s']:.0f} s"
        elif m["state"] == "unreachable":
            what = (
                f"reports, but hears nothing, for {m['unheard_s']:.0f} s: nothing is started there"
            )
        out[f"~machine {m['name']}"] = f"machine {m['name']} ({m['type']}, {m['zone']}): {what}"
    return out


# -- the command ------------------------------------------------------------------------------


def show(
    address: str,
    as_json: bool,
    job: str | None = None,
    team: str | None = None,
    machine: str | None = None,
) -> int:
    """Ask a running controller and print: what is wrong, what waits, what died and ended; with a filter, all of that."""
    import json
    import urllib.error
    import urllib.parse
    import urllib.request

    chosen = {
        key: value for key, value in (("job", job), ("team", team), ("machine", machine)) if value
    }
    try:
        query = "?" + urllib.parse.urlencode(chosen) if chosen else ""
        with urllib.request.urlopen(f"http://{address}/status{query}", timeout=5) as f:
            data = json.load(f)
    except (OSError, ValueError) as error:
        print(f"ploverhall: {address}: {error}", file=sys.stderr)
        return 1
    print(json.dumps(data, indent=1) if as_json else "\n".join(format_text(data, chosen)))
    return 0


def _format_age(seconds: float) -> str:
    return f"{seconds:.0f} s ago" if seconds < 120 else f"{seconds / 60:.0f} min ago"


def format_text(data: dict[str, Any], selection: dict[str, str]) -> list[str]:
    """The lines for a person: what is wrong comes first."""
    views = {name: c["view"] for name, c in data["controllers"].items() if c["view"]}
    wrong: list[str] = []
    for name, c in sorted(data["controllers"].items()):
        if c["view"] is None:
            wrong.append(
                f"controller {name} has not been heard of since {data['asked']} started: what it holds is not known"
            )
        elif c["age_s"]:
            wrong.append(
                f"controller {name} can't be asked: what it held is as of {_format_age(c['age_s'])}"
            )
    for value in views.values():
        wrong += conditions(value).values()
    held = {s for value in views.values() for s in value["shards"]}
    wrong += [
        f"part {i} of the fleet is held by nobody that can be heard"
        for i in range(len(data["controllers"]))
        if str(i) not in held
    ]
    out = [f"wrong now: {len(wrong) or 'nothing'}", *(f"  {w}" for w in wrong)]
    out += [
        f"controller {name} ({value['zone']}): holds {', '.join(sorted(value['shards'])) or 'nothing'}"
        + (", rents" if value["renter"] else "")
        + (f", carried {n} for others" if (n := (value.get("reach") or {}).get("carried")) else "")
        + "".join(f", {k} {n:g}" for k, n in sorted(value["short"].items()))
        for name, value in sorted(views.items())
    ]
    if told := data.get("told"):
        out.append(
            f"users are told: {told['id']} is {told['stance']}, {told['done']} tasks done, {told['running']} running"
        )
    if untold := data.get("untold"):
        out.append(f"users are told nothing of it now: {untold}")
    queue: dict[str, list[int]] = {}
    machines: dict[str, int] = {}
    for value in views.values():
        for why, (jobs, tasks) in value["queue"].items():
            row = queue.setdefault(why, [0, 0])
            row[0] += jobs
            row[1] += tasks
        for state, n in value["machines"].items():
            machines[state] = machines.get(state, 0) + n
    out.append(
        "machines: "
        + (", ".join(f"{count} {state}" for state, count in sorted(machines.items())) or "none")
    )
    out.append("queued: " + ("nothing" if not queue else ""))
    out += [
        f"  {jobs} jobs, {tasks} tasks: {why}"
        for why, (jobs, tasks) in sorted(queue.items(), key=lambda x: -x[1][1])
    ]
    for name, t in sorted(
        (x for value in views.values() for x in value["teams"].items()), key=lambda x: x[0]
    ):
        out.append(
            f"team {name}: {t['cpus']:g} cpus, {t['gpus']:g} gpus; guaranteed {t['guarantee']}, at most {t['limit']}"
        )
    for j in (j for value in views.values() for j in value["jobs"]):
        states = "".join(f", {n} {state}" for state, n in sorted(j["states"].items()))
        failed = (
            f"; failed {j['failures']} times, last {j['last_failure']}" if j["failures"] else ""
        )
        why = f"; {j['why']}" if j["why"] else ""
        waits = f" for {j['waits_s']:.0f} s" if j["waiting"] else ""
        counts = f"{j['waiting']} of {j['tasks']} waiting{waits}, {j['done']} done{states}"
        out.append(f"job {j['id']} ({j['kind']}, {j['team']}): {counts}{why}{failed}")
        out += [
            f"  {j['id']}/{task} on {machine}: {state} {why}".rstrip()
            for task, machine, state, why in j["places"]
        ]
    if selection:
        for m in (m for value in views.values() for m in value["trouble_machines"]):
            kind = f"{m['type']}, {m['zone']}{', spot' if m['spot'] else ''}"
            out.append(
                f"machine {m['name']} ({kind}): {m['state']}, {m['tasks']} tasks, free {m['free']}, heard {_format_age(m['silent_s'])}"
            )
    died = sorted(d for value in views.values() for d in value["died"])[:MAX_ROWS]
    out += (
        [
            "died lately:",
            *(
                f"  {_format_age(at)}: {job}/{task} on {machine}: {why}"
                for at, job, task, machine, why in died
            ),
        ]
        if died
        else []
    )
    ended = sorted(e for value in views.values() for e in value["ended"])[:MAX_ROWS]
    out += ["ended lately:"] if ended else []
    for at, job, team, how, done, tasks, failures, last in ended:
        failed = f"; failed {failures} times, last {last}" if failures else ""
        out.append(
            f"  {_format_age(at)}: {job} ({team}): {how}, {done} of {tasks} tasks done{failed}"
        )
    if left := sum(value["left_out"] for value in views.values()):
        out.append(
            f"({left} more rows left out; --job, --team and --machine show all that they match)"
        )
    return out
