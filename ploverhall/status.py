"""Formats the status of the whole fleet for operators.

A controller's *report* describes the shards that it holds and is bounded in size
(`controller.shard_status`); `controller.status_report` collects the reports of all controllers.
This module derives the current problems from a report (`conditions`, which are also logged), and
formats the text that the command `ploverhall status` prints: problems come first, then queued,
failed and ended work.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping
from typing import Any

MAX_ROWS = 40  # rows of one kind in a report
MAX_TASK_ROWS = 100  # tasks shown of a selected job
# A gang or service that has waited longer than this multiple of its class's usual wait, and longer
# than the minimum, waits too long
SLOW_WAIT_MULTIPLE = 4.0
MIN_SLOW_WAIT_S = 60.0
RECENT_STALL_S = 120.0  # how long a stall of a controller's event loop is shown
MAX_AGENT_SILENCE_S = 10.0  # time without a heartbeat from any agent of a shard
# It is a condition if the key-value store has not answered a controller for longer than this
STORE_ANSWER_MAX_AGE_S = 2.5
# Names to show for services; services that are not listed are shown under their published names
SERVICE_NAMES = {"state": "key-value store"}
MAX_NAMED_JOBS = 4  # names shown of jobs that failed on a quarantined machine
AGE_IN_MINUTES_FROM_S = 120  # ages from this one on are shown in minutes


def select(report: Mapping[str, Any], selection: dict[str, str]) -> Mapping[str, Any]:
    """Return the part of an older, complete report that matches a selection.

    `selection` may hold a job, a team and a machine; the report is unchanged if it is empty.
    """
    if not selection or not report:
        return report
    job, team, machine = selection.get("job"), selection.get("team"), selection.get("machine")
    return {
        **report,
        "jobs": [row for row in report["jobs"] if _job_row_matches(row, job, team, machine)],
        "trouble_machines": [row for row in report["trouble_machines"] if row["name"] == machine],
        "died": [row for row in report["died"] if row[1] == job or row[3] == machine],
        "ended": [row for row in report["ended"] if row[1] == job or row[2] == team],
    }


def _job_row_matches(
    row: dict[str, Any], job: str | None, team: str | None, machine: str | None
) -> bool:
    """Return whether a job's row matches the selected job, team and machine."""
    return (
        (not job or row["id"] == job)
        and (not team or row["team"] == team)
        and (not machine or any(place[1] == machine for place in row["tasks"]))
    )


# -- conditions --------------------------------------------------------------------------------


def conditions(report: Mapping[str, Any]) -> dict[str, str]:
    """Return the problems in one controller's report, as texts by key.

    The key of a condition stays the same while the condition lasts. Conditions whose key begins
    with `~` are short-lived; they are shown, but not logged.
    """
    found: dict[str, str] = {}
    _add_controller_conditions(found, report)
    for row in report["jobs"]:
        _add_job_condition(found, row)
    for place, count, age_s in report["late"]:
        found[f"late {place}"] = (
            f"{count} machines of {place} do not boot: requested up to {age_s:.0f} s ago"
        )
    for row in report["trouble_machines"]:
        _add_machine_condition(found, row)
    return found


def _add_controller_conditions(found: dict[str, str], report: Mapping[str, Any]) -> None:
    """Add the problems of a controller itself and of its links."""
    controller = report["node"]
    state_age_s = report["state_age_s"]
    if state_age_s > STORE_ANSWER_MAX_AGE_S:
        found["state"] = (
            f"controller {controller}: the key-value store has not answered it for"
            f" {state_age_s:.0f} s"
        )
    _add_link_conditions(found, report)
    if report["stood_still"]:
        ago_s, stall_s = report["stood_still"]
        found["~stood"] = (
            f"controller {controller}: its event loop stalled for {stall_s:.0f} s,"
            f" {ago_s:.0f} s ago"
        )
    if slow_step := report.get("slow_step"):
        ago_s, step_s, step = slow_step
        found["~slow"] = (
            f"controller {controller}: one step of its event loop, {step}, took {step_s:.2f} s,"
            f" {ago_s:.0f} s ago"
        )
    for shard, silence_s in report["quiet_s"].items():
        if silence_s > MAX_AGENT_SILENCE_S:
            found[f"quiet {shard}"] = (
                f"controller {controller}: no agent of shard {shard} has sent it a heartbeat for"
                f" {silence_s:.0f} s"
            )
    if lag_s := report["short"].get("processor_lag_s"):
        found["~lag"] = f"controller {controller} is short of processor: late by {lag_s:g} s"


def _add_link_conditions(found: dict[str, str], report: Mapping[str, Any]) -> None:
    """Add the services and peers that a controller cannot reach, or only through a peer."""
    controller = report["node"]
    connectivity = report.get("reach") or {}  # older releases do not report it
    for service, via in sorted(connectivity.get("through", {}).items()):
        found[f"link {service}"] = (
            f"controller {controller} reaches the {SERVICE_NAMES.get(service, service)}"
            f" through {via} only"
        )
    if connectivity.get("away"):
        found["away"] = (
            f"controller {controller}: {connectivity['away']} agents reach it through another"
            " controller only"
        )
    for peer in report["unheard"]:
        found[f"peer {peer}"] = f"controller {controller} can't hear {peer}"


def _add_job_condition(found: dict[str, str], row: dict[str, Any]) -> None:
    """Add a condition for a job that fails on all machines, or waits far longer than usual.

    The usual wait is the one of the job's class.
    """
    if row["broken"]:
        found[f"broken {row['id']}"] = (
            f"job {row['id']} ({row['team']}) fails on all machines, {row['failures']} times,"
            f" last {row['last_failure']}"
        )
    elif row["kind"] in ("gang", "service") and _waits_too_long(row):
        usual = f" (usually {row['usual_s']:.0f} s)" if row["usual_s"] is not None else ""
        found[f"slow {row['id']}"] = (
            f"{row['kind']} {row['id']} ({row['team']}) has waited {row['waits_s']:.0f} s{usual}:"
            f" {row['why']}"
        )


def _waits_too_long(row: dict[str, Any]) -> bool:
    max_wait_s = max(MIN_SLOW_WAIT_S, SLOW_WAIT_MULTIPLE * (row["usual_s"] or 0.0))
    return bool(row["waits_s"] > max_wait_s)


def _add_machine_condition(found: dict[str, str], row: dict[str, Any]) -> None:
    """Add the reason why no task is started on a machine."""
    problem = f"quarantined, {', '.join(row['failed'][:MAX_NAMED_JOBS])} failed there"
    if row["state"] == "silent":
        problem = f"no heartbeat for {row['silent_s']:.0f} s"
    elif row["state"] == "unreachable":
        problem = (
            f"sends heartbeats, but receives nothing, for {row['unheard_s']:.0f} s:"
            " nothing starts there"
        )
    found[f"~machine {row['name']}"] = (
        f"machine {row['name']} ({row['type']}, {row['zone']}): {problem}"
    )


# -- the command -------------------------------------------------------------------------------


def show(
    address: str,
    as_json: bool,
    job: str | None = None,
    team: str | None = None,
    machine: str | None = None,
) -> int:
    """Ask a running controller (HOST:PORT) for the fleet's status and print it.

    Returns:
        The exit code: 0, or 1 if the controller did not answer.
    """
    import json
    import urllib.error
    import urllib.parse
    import urllib.request

    filters = (("job", job), ("team", team), ("machine", machine))
    selection = {key: value for key, value in filters if value}
    query = "?" + urllib.parse.urlencode(selection) if selection else ""
    try:
        with urllib.request.urlopen(f"http://{address}/status{query}", timeout=5) as response:
            data = json.load(response)
    except (OSError, ValueError) as error:
        print(f"ploverhall: {address}: {error}", file=sys.stderr)
        return 1
    print(json.dumps(data, indent=1) if as_json else "\n".join(format_text(data, selection)))
    return 0


def format_text(data: dict[str, Any], selection: dict[str, str]) -> list[str]:
    """Return the lines to print for the JSON of `/status`, problems first."""
    answers = data["controllers"]
    reports = {name: answer["view"] for name, answer in answers.items() if answer["view"]}
    report_list = list(reports.values())
    problems = _problem_lines(data, reports)
    lines = [f"wrong now: {len(problems) or 'nothing'}", *(f"  {text}" for text in problems)]
    lines += [_controller_line(name, report) for name, report in sorted(reports.items())]
    lines += _user_answer_lines(data)
    lines.append(_machines_line(report_list))
    lines += _queue_lines(report_list)
    lines += _team_lines(report_list)
    for row in _rows(report_list, "jobs"):
        lines += _job_lines(row)
    if selection:
        lines += [_machine_line(row) for row in _rows(report_list, "trouble_machines")]
    lines += _died_lines(report_list)
    lines += _ended_lines(report_list)
    if left_out := sum(report["left_out"] for report in report_list):
        lines.append(
            f"({left_out} more rows left out; --job, --team and --machine show all that they match)"
        )
    return lines


def _rows(report_list: list[dict[str, Any]], key: str) -> Iterable[Any]:
    """Return the rows of one kind in all reports."""
    return (row for report in report_list for row in report[key])


def _format_age(seconds: float) -> str:
    if seconds < AGE_IN_MINUTES_FROM_S:
        return f"{seconds:.0f} s ago"
    return f"{seconds / 60:.0f} min ago"


def _problem_lines(data: dict[str, Any], reports: dict[str, dict[str, Any]]) -> list[str]:
    """Return a line for each current problem.

    Problems are controllers without a current report, conditions, and shards that no reachable
    controller holds.
    """
    lines: list[str] = []
    for name, answer in sorted(data["controllers"].items()):
        if answer["view"] is None:
            lines.append(
                f"controller {name} has sent nothing since {data['asked']} started:"
                " what it holds is not known"
            )
        elif answer["age_s"]:
            age = _format_age(answer["age_s"])
            lines.append(f"controller {name} can't be asked: what it held is as of {age}")
    for report in reports.values():
        lines += conditions(report).values()
    held = {shard for report in reports.values() for shard in report["shards"]}
    lines += [
        f"shard {shard} is held by no controller that can be reached"
        for shard in range(len(data["controllers"]))
        if str(shard) not in held
    ]
    return lines


def _controller_line(name: str, report: dict[str, Any]) -> str:
    """Return the line of one controller: its shards, its roles, and what it is short of."""
    shards = ", ".join(sorted(report["shards"])) or "nothing"
    line = f"controller {name} ({report['zone']}): holds {shards}"
    if report["renter"]:
        line += ", runs the autoscaler"
    if relayed_count := (report.get("reach") or {}).get("carried"):
        line += f", relayed {relayed_count} for others"
    for key, amount in sorted(report["short"].items()):
        line += f", {key} {amount:g}"
    return line


def _user_answer_lines(data: dict[str, Any]) -> list[str]:
    """Return lines with the current answer to users about a selected job, or why there is none."""
    lines = []
    if told := data.get("told"):
        lines.append(
            f"users are told: {told['id']} is {told['stance']}, {told['done']} tasks done,"
            f" {told['running']} running"
        )
    if untold := data.get("untold"):
        lines.append(f"users are told nothing of it now: {untold}")
    return lines


def _machines_line(report_list: list[dict[str, Any]]) -> str:
    """Return the line with the number of machines by state."""
    counts: dict[str, int] = {}
    for report in report_list:
        for state, count in report["machines"].items():
            counts[state] = counts.get(state, 0) + count
    by_state = ", ".join(f"{count} {state}" for state, count in sorted(counts.items()))
    return f"machines: {by_state or 'none'}"


def _queue_lines(report_list: list[dict[str, Any]]) -> list[str]:
    """Return the lines with queued jobs and tasks by wait reason, most tasks first."""
    queue: dict[str, list[int]] = {}
    for report in report_list:
        for reason, (jobs, tasks) in report["queue"].items():
            row = queue.setdefault(reason, [0, 0])
            row[0] += jobs
            row[1] += tasks
    by_task_count = sorted(queue.items(), key=lambda item: -item[1][1])
    return [
        "queued: " + ("nothing" if not queue else ""),
        *(f"  {jobs} jobs, {tasks} tasks: {reason}" for reason, (jobs, tasks) in by_task_count),
    ]


def _team_lines(report_list: list[dict[str, Any]]) -> list[str]:
    """Return the lines with the usage, the guaranteed quota and the limit of each team."""
    teams = (item for report in report_list for item in report["teams"].items())
    return [
        f"team {name}: {team['cpus']:g} cpus, {team['gpus']:g} gpus;"
        f" guaranteed {team['guarantee']}, at most {team['limit']}"
        for name, team in sorted(teams, key=lambda item: item[0])
    ]


def _job_lines(row: dict[str, Any]) -> list[str]:
    """Return the line of one job and the lines of its shown tasks."""
    states = "".join(f", {count} {state}" for state, count in sorted(row["states"].items()))
    waits = f" for {row['waits_s']:.0f} s" if row["waiting"] else ""
    counts = f"{row['waiting']} of {row['tasks']} waiting{waits}, {row['done']} done{states}"
    reason = f"; {row['why']}" if row["why"] else ""
    failed = _failed_suffix(row["failures"], row["last_failure"])
    return [
        f"job {row['id']} ({row['kind']}, {row['team']}): {counts}{reason}{failed}",
        *(
            f"  {row['id']}/{task} on {machine}: {state} {why}".rstrip()
            for task, machine, state, why in row["places"]
        ),
    ]


def _failed_suffix(failure_count: int, last_failure: str) -> str:
    """Return text that says how often a job has failed; empty if it has not failed."""
    return f"; failed {failure_count} times, last {last_failure}" if failure_count else ""


def _machine_line(row: dict[str, Any]) -> str:
    """Return the line of one selected machine."""
    kind = f"{row['type']}, {row['zone']}{', spot' if row['spot'] else ''}"
    return (
        f"machine {row['name']} ({kind}): {row['state']}, {row['tasks']} tasks,"
        f" free {row['free']}, heard {_format_age(row['silent_s'])}"
    )


def _died_lines(report_list: list[dict[str, Any]]) -> list[str]:
    """Return the lines with the attempts that failed recently, newest first."""
    rows = sorted(_rows(report_list, "died"))[:MAX_ROWS]
    if not rows:
        return []
    return [
        "died lately:",
        *(
            f"  {_format_age(age_s)}: {job}/{task} on {machine}: {reason}"
            for age_s, job, task, machine, reason in rows
        ),
    ]


def _ended_lines(report_list: list[dict[str, Any]]) -> list[str]:
    """Return the lines with the jobs that ended recently, newest first."""
    rows = sorted(_rows(report_list, "ended"))[:MAX_ROWS]
    lines = ["ended lately:"] if rows else []
    for age_s, job, team, outcome, done, tasks, failure_count, last_failure in rows:
        failed = _failed_suffix(failure_count, last_failure)
        lines.append(
            f"  {_format_age(age_s)}: {job} ({team}): {outcome},"
            f" {done} of {tasks} tasks done{failed}"
        )
    return lines
