"""Days of the operators' further meetings, three a day (`scripts.custom_days --further`).

Every day takes the next three meetings of `MEETINGS` (in an order drawn from the seed, all of
them before any comes again), so that each further trouble stands on every fourth day at least. A
meeting is troubles with the seconds from its begin; now and then one more trouble is drawn on top
of it. A day has one shape besides: swarms of one-task jobs, teams at their limits, jobs bound to
a zone, machines that are up at once, small jobs, or a state service that is slow.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

Fault = dict[str, Any]
Meeting = list[tuple[float, Fault]]
WIDE_S = 120.0  # how long a trouble lasts that lies behind a whole meeting


class Draw:
    """One site's troubles, drawn."""

    def __init__(self, site: dict[str, Any], rng: Random) -> None:
        self.rng = rng
        self.nodes, self.lease, self.cancel = (
            site["nodes"]["count"],
            site["workers"]["lease_s"],
            site["workers"]["cancel_s"],
        )
        self.machines = sum(c["count"] for c in site["capacity"])
        self.zones = sorted({c["zone"] for c in site["capacity"]})
        self.array = next(j for j in site["jobs"] if j["kind"] == "array")["name"]
        self.service = next(j for j in site["jobs"] if j["kind"] == "service")["name"]

    def some(self) -> Fault:
        """Some of the machines."""
        return self.rng.choice(
            [
                {"share": 0.15},
                {"count": max(1, self.machines // 10)},
                {"zone": self.rng.choice(self.zones)},
            ]
        )

    def share(self) -> float:
        """Of transactions or of reports."""
        return self.rng.choice([0.1, 0.3, 0.6])

    def late_writes(self, s: float = 30.0, at_once: bool = False) -> Fault:
        """Transactions without an answer, carried out 2 to 12 s later, or at once."""
        return {
            "kind": "late_writes",
            "share": self.share(),
            "for_s": s,
            **({"at_once": True} if at_once else {}),
        }

    def late_reports(self, s: float = 30.0, for_next: bool = False) -> Fault:
        """Copies of reports, from 2 s to well over a lease later, or kept for the next leader."""
        return {
            "kind": "late_reports",
            "share": self.share(),
            "for_s": s,
            **({"for_next": True} if for_next else {}),
        }

    def deaf(self) -> Fault:
        """Machines that are heard and hear nothing."""
        return {
            "kind": "machine_deaf",
            "for_s": self.rng.choice([0.7, 1.5, 3.0]) * self.lease,
            **self.some(),
        }

    def mute(self) -> Fault:
        """Machines that reach no controller, while direct commands reach them."""
        return {
            "kind": "machine_mute",
            "for_s": self.rng.choice([0.7, 1.5, 3.0]) * self.lease,
            **self.some(),
        }

    def hang(self) -> Fault:
        """Machines that stand still, within their lease or beyond it."""
        return {
            "kind": "machine_hang",
            "count": max(1, self.machines // 12),
            "for_s": self.rng.choice([0.5, 0.9, 2.0]) * self.lease,
        }

    def crash(self, count: int = 0) -> Fault:
        """One, two or all controllers end."""
        return {
            "kind": "node_crash",
            "count": count or self.rng.choice([1, 1, 2, self.nodes]),
            "busiest": self.rng.random() < 0.7,
        }

    def freeze(self) -> Fault:
        """A controller stands still."""
        return {
            "kind": "node_freeze",
            "count": 1,
            "busiest": self.rng.random() < 0.8,
            "for_s": self.rng.choice([3.0, 12.0, 22.0]),
        }

    def cut(self, s: float, *modes: str, **what: bool) -> Fault:
        """One controller loses something."""
        mode = self.rng.choice(modes or ("refuse", "hold", "reset"))
        return {
            "kind": "node_cut",
            "count": 1,
            "busiest": self.rng.random() < 0.8,
            "mode": mode,
            "for_s": s,
            **what,
        }

    def alone(self, s: float = 0.0) -> Fault:
        """Without the state service and the others; its workers and users reach it."""
        return self.cut(
            s or self.rng.choice([8.0, 20.0, 40.0]),
            "hold",
            "reset",
            from_state=True,
            from_peers=True,
        )

    def outage(self, s: float = 0.0) -> Fault:
        """The state service refuses everybody."""
        return {"kind": "state_outage", "for_s": s or self.rng.choice([5.0, 15.0, 30.0])}

    def cancels(self, hang: bool = False) -> Fault:
        """Users call off what runs; with `hang`, some of its machines hang."""
        more = {"hang_s": self.rng.choice([0.5, 0.9, 2.0]) * self.lease} if hang else {}
        return {"kind": "cancel_now", "count": self.rng.choice([6, 12, 24]), **more}

    def at_end(self, s: float = 40.0) -> Fault:
        """Users call off jobs at the moment of their end."""
        return {"kind": "cancel_at_end", "share": self.rng.choice([0.3, 0.8]), "for_s": s}

    def looks(self, s: float = 40.0) -> Fault:
        """Users ask at all nodes within milliseconds."""
        return {"kind": "close_looks", "for_s": s}

    def odd(self, s: float = 60.0) -> Fault:
        """Repeated, late and impossible requests."""
        return {"kind": "odd_requests", "for_s": s}

    def zone(self, s: float, *modes: str) -> Fault:
        """A zone is cut off, with its workers and controllers."""
        return {
            "kind": "zone_cut",
            "zone": self.rng.choice(self.zones),
            "for_s": s,
            "mode": self.rng.choice(modes or ("hold", "reset")),
        }

    def die(self) -> Fault:
        """Machines are gone without a word."""
        return {"kind": "machine_die", "count": max(1, self.machines // 15)}

    def burst(self, name: str) -> Fault:
        """Three times the arrivals of a class."""
        return {"kind": "job_burst", "class": name, "factor": 3.0, "for_s": 40.0}

    def roll(self, every: float = 0.0) -> Fault:
        """One controller after the other ends."""
        return {"kind": "node_roll", "every_s": every or self.rng.choice([2.0, 10.0])}


def zone_cut_longer_than_a_lease(d: Draw) -> Meeting:
    """A zone with a controller is cut off for longer than a lease, and jobs are cancelled."""
    return [(0.0, d.zone(d.rng.choice([1.5, 3.0]) * d.lease)), (3.0, d.cancels()), (4.0, d.looks())]


def new_machines_while_writes_lag(d: Draw) -> Meeting:
    """Machines are rented and up, writes lag, and the leader ends."""
    return [(0.0, d.die()), (1.0, d.burst(d.array)), (2.0, d.late_writes(25.0)), (8.0, d.crash(1))]


def limits_while_machines_hang(d: Draw) -> Meeting:
    """More work than room; cancelled jobs' machines hang or are cut off, and the leader changes."""
    return [
        (0.0, d.burst(d.array)),
        (10.0, d.cancels(hang=True)),
        (10.0, d.deaf()),
        (11.0, d.crash(1)),
    ]


def all_away(d: Draw) -> Meeting:
    """All controllers are away for longer than a lease."""
    away = [(3.0 + i * 1.5, d.crash(d.nodes)) for i in range(int(1.3 * d.lease / 1.5))]
    return [(0.0, d.looks(60.0)), (2.0, d.cancels()), *away]


def ten_changes(d: Draw) -> Meeting:
    """The leader changes ten times in two minutes, one outage among them; late heartbeats."""
    ends = [(12.0 * i, d.crash(1)) for i in range(10)]
    return [
        (0.0, d.odd()),
        *ends,
        (40.0, d.outage(15.0)),
        (0.0, d.late_reports(WIDE_S, for_next=True)),
    ]


def mute_while_the_leader_ends(d: Draw) -> Meeting:
    """Machines that only direct commands reach, and a new leader."""
    return [(0.0, d.mute()), (2.0, d.cancels()), (4.0, d.crash(1)), (4.0, d.looks())]


def mute_and_the_answer_lost(d: Draw) -> Meeting:
    """The same while answers of the state service are lost and a controller stands still."""
    return [
        (0.0, d.mute()),
        (1.0, d.late_writes(at_once=True)),
        (3.0, d.freeze()),
        (8.0, d.alone(8.0)),
    ]


def alone_and_cancelled_through_the_new_one(d: Draw) -> Meeting:
    """A leader that only its workers and users reach; jobs are cancelled through the next."""
    return [(0.0, d.alone(40.0)), (1.0, d.cancels()), (9.0, d.cancels()), (0.5, d.looks(50.0))]


def refused_alone_then_everybody(d: Draw) -> Meeting:
    """Cancelled at the moment of the refusal; a second later an outage longer than `cancel_s`."""
    out = d.outage(d.cancel + d.rng.choice([4.0, 12.0]))
    return [
        (0.0, d.cut(d.rng.choice([2.0, 12.0]), from_state=True)),
        (0.0, d.cancels()),
        (1.0, out),
        (0.0, d.looks(60.0)),
    ]


def old_report_as_a_leader_begins(d: Draw) -> Meeting:
    """Old reports are kept for the next leader, twice."""
    return [
        (0.0, d.late_reports(for_next=True)),
        (3.0, d.cancels()),
        (5.0, d.crash()),
        (20.0, d.crash()),
    ]


def all_end_one_returns(d: Draw) -> Meeting:
    """All end, one returns and ends again, and then one after the other."""
    return [
        (0.0, d.late_reports()),
        (2.0, d.crash(d.nodes)),
        (3.0, d.cut(8.0, from_state=True)),
        (4.0, d.crash(1)),
        (8.0, d.roll()),
    ]


def old_reports_of_earlier_sessions(d: Draw) -> Meeting:
    """Copies arrive after sessions have ended."""
    return [(0.0, d.late_reports(60.0)), (2.0, d.deaf()), (5.0, d.hang()), (25.0, d.crash(1))]


def more_work_than_room(d: Draw) -> Meeting:
    """More than the fleet holds, urgent and not, over slow controllers."""
    slow = {"kind": "node_slow", "count": 2, "busiest": True, "factor": 3.0, "for_s": 40.0}
    return [
        (0.0, d.burst(d.array)),
        (1.0, d.burst(d.service)),
        (5.0, slow),
        (15.0, d.cancels(hang=True)),
    ]


def slow_then_refused(d: Draw) -> Meeting:
    """Writes lag, one is refused alone, then everybody, while users cancel and ask."""
    return [
        (0.0, d.late_writes(20.0)),
        (3.0, d.cut(12.0, from_state=True)),
        (6.0, d.cancels()),
        (12.0, d.outage(d.cancel + 6.0)),
        (0.0, d.looks(70.0)),
    ]


def ends_and_cancellations(d: Draw) -> Meeting:
    """Cancellations, questions and repeated submissions at the end of jobs, no other fault."""
    return [(0.0, d.at_end(60.0)), (0.0, d.looks(60.0)), (10.0, d.odd(50.0))]


def bound_to_a_zone(d: Draw) -> Meeting:
    """A zone loses machines twice and is cut off in between."""
    return [
        (0.0, d.die()),
        (2.0, d.zone(d.rng.choice([0.6, 1.5]) * d.lease)),
        (4.0, d.die()),
        (10.0, d.cancels()),
    ]


def leader_ends_while_machines_are_deaf(d: Draw) -> Meeting:
    """Machines don't hear the new leader's answer."""
    return [
        (0.0, d.deaf()),
        (3.0, d.crash(1)),
        (4.0, d.deaf()),
        (4.0, d.late_reports()),
        (6.0, d.cancels()),
    ]


def report_held_back_until_a_leader_acted(d: Draw) -> Meeting:
    """Reports are held back on their way, and kept for the next leader."""
    return [
        (0.0, d.cut(12.0, "hold", from_workers=True)),
        (2.0, d.late_reports(for_next=True)),
        (4.0, d.mute()),
        (6.0, d.crash(1)),
    ]


def ends_far_apart(d: Draw) -> Meeting:
    """Controllers end one after the other while tasks end, and writes lag."""
    return [
        (0.0, d.roll(10.0)),
        (5.0, d.late_writes(30.0)),
        (8.0, d.at_end(60.0)),
        (25.0, d.alone(14.0)),
    ]


def answer_lost(d: Draw) -> Meeting:
    """Only the answers of transactions are lost, while users cancel and ask."""
    return [
        (0.0, d.late_writes(45.0, at_once=True)),
        (5.0, d.cancels()),
        (8.0, d.looks()),
        (20.0, d.crash(1)),
    ]


def answer_lost_at_a_change(d: Draw) -> Meeting:
    """The same while the part of a controller changes hands."""
    return [
        (0.0, d.late_writes(40.0, at_once=True)),
        (3.0, d.alone(14.0)),
        (6.0, d.cancels()),
        (6.0, d.late_reports(for_next=True)),
    ]


def carried_out_late(d: Draw) -> Meeting:
    """Transactions are carried out after newer ones, over an end and an outage."""
    return [
        (0.0, d.late_writes(40.0)),
        (0.0, d.late_reports()),
        (4.0, d.crash()),
        (6.0, d.outage(5.0)),
        (14.0, d.cancels()),
    ]


def held_up_commands(d: Draw) -> Meeting:
    """Commands and answers are held up for seconds, and machines hang."""
    return [
        (0.0, d.cut(10.0, "hold", from_workers=True)),
        (1.0, d.hang()),
        (2.0, d.cancels(hang=True)),
    ]


def questions_within_milliseconds(d: Draw) -> Meeting:
    """Users ask everywhere around acceptance, end and cancellation; one controller is refused."""
    return [
        (0.0, d.late_writes(at_once=True)),
        (0.0, d.looks(60.0)),
        (2.0, d.cancels()),
        (5.0, d.at_end()),
        (12.0, d.cut(8.0, from_state=True)),
        (13.0, d.cancels()),
    ]


def limit_when_the_leader_changes(d: Draw) -> Meeting:
    """Machines can't be asked, the leader changes and a cancellation falls into it."""
    return [
        (0.0, d.burst(d.array)),
        (12.0, d.mute()),
        (13.0, d.crash(1)),
        (14.0, d.cancels(hang=True)),
        (14.0, d.odd()),
    ]


def cancelled_while_hands_change(d: Draw) -> Meeting:
    """Cancelled in the seconds in which one controller's work changes hands."""
    every = d.rng.choice([2.0, 10.0])
    return [
        (0.0, d.roll(every)),
        *((0.7 * every + every * i, d.cancels()) for i in range(3)),
        (0.0, d.looks(30.0)),
    ]


MEETINGS: tuple[Callable[[Draw], Meeting], ...] = (
    zone_cut_longer_than_a_lease,
    new_machines_while_writes_lag,
    limits_while_machines_hang,
    all_away,
    ten_changes,
    mute_while_the_leader_ends,
    mute_and_the_answer_lost,
    alone_and_cancelled_through_the_new_one,
    refused_alone_then_everybody,
    old_report_as_a_leader_begins,
    all_end_one_returns,
    old_reports_of_earlier_sessions,
    more_work_than_room,
    slow_then_refused,
    ends_and_cancellations,
    bound_to_a_zone,
    leader_ends_while_machines_are_deaf,
    report_held_back_until_a_leader_acted,
    ends_far_apart,
    answer_lost,
    answer_lost_at_a_change,
    carried_out_late,
    held_up_commands,
    questions_within_milliseconds,
    limit_when_the_leader_changes,
    cancelled_while_hands_change,
)
ON_TOP = (
    Draw.late_writes,
    Draw.late_reports,
    Draw.deaf,
    Draw.mute,
    Draw.hang,
    Draw.crash,
    Draw.freeze,
    Draw.alone,
    Draw.cancels,
    Draw.at_end,
    Draw.looks,
    Draw.odd,
)


def order(seed: int, i: int) -> list[Callable[[Draw], Meeting]]:
    """The three meetings of day I: the next three of rounds that have each meeting once."""
    out = []
    for k in range(3 * i, 3 * i + 3):
        round_, place = divmod(k, len(MEETINGS))
        out.append(Random(f"round {seed} {round_}").sample(MEETINGS, len(MEETINGS))[place])
    return out


def faults(site: dict[str, Any], seed: int, i: int, rng: Random) -> tuple[list[Fault], list[str]]:
    """All troubles of day number I by their times, and the names of its meetings."""
    d, at, out = Draw(site, rng), site["warmup_s"] * rng.uniform(0.7, 1.0), []
    # What is left of the day is for those that are waiting, and for the questions
    last = 0.8 * site["duration_s"]
    names = []
    for meeting in order(seed, i):
        here = meeting(d)
        if rng.random() < 0.4:
            here.append((8.0 * rng.random(), rng.choice(ON_TOP)(d)))
        names.append(meeting.__name__)
        out += [{"at_s": round(at + after, 1), **f} for after, f in here if at + after < last]
        at += min(80.0, max(after + f.get("for_s", 0.0) for after, f in here)) + rng.uniform(
            8.0, 20.0
        )
        if at >= last:
            # On top of an earlier one
            at = site["warmup_s"] + (last - site["warmup_s"]) * rng.uniform(0.0, 0.8)
    return sorted(out, key=lambda f: f["at_s"]), names


def shaped(site: dict[str, Any], i: int, rng: Random) -> tuple[str, dict[str, Any]]:
    """Change the site to the shape of day I; returns what the day says besides its faults."""
    array, cancel = (
        next(j for j in site["jobs"] if j["kind"] == "array"),
        site["workers"]["cancel_s"],
    )
    long = {"median": 2.4 * cancel, "p95": 3.0 * cancel, "max": 3.4 * cancel}
    jobs: dict[str, Any] = {
        "name": array["name"],
        "cancelled": rng.choice([0.3, 0.6]),
        "run_s": long,
    }
    day: dict[str, Any] = {"jobs": [jobs]}
    match i % 6:
        case 0:
            swarm = {"sizes": [1], "weights": [1.0]}
            array.update(tasks=swarm, initial=0, arrivals={"rate": 4.0}, cancelled=0.25)
            array["run_s"] = {"median": 20.0, "p95": 50.0, "max": 70.0}
            return "one-task jobs, four a second", {}
        case 1:
            for team in site["teams"]:
                team.update(gpus=0.5 * team["gpus"], gpus_max=0.5 * team["gpus_max"])
            return "teams at half their limits", day
        case 2:
            array.update(pinned=1.0, pinned_zones={rng.choice(site["capacity"])["zone"]: 1.0})
            return "arrays bound to a zone", day
        case 3:
            for t in site["machine_types"]:
                t["boot_s"] = 1.5
            return "machines up within two seconds", day
        case 4:
            array.update(tasks={"sizes": [2, 3], "weights": [1.0, 1.0]})
            array["arrivals"]["rate"] *= 4.0
            return "two and three tasks", day
        case _:
            return "a slow state service", {
                **day,
                "vary": {
                    "state_slow": 0.1,
                    "state_slow_times": 60.0,
                    "list_lag": 0.9,
                    "report": 0.2,
                },
            }
