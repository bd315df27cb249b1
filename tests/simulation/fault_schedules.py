"""Troubles that meet: two or three at once, drawn from a seed, over three whole controllers.

Every rule is judged from outside all along; at the end every accepted job must be answered by every controller within `KNOWN_S`.

    python -m tests.simulation.fault_schedules --seeds 200 [--first 1000] [--only gap] [--jobs 7]
    python -m tests.simulation.fault_schedules --of 2 [--first 1000]
    python -m tests.simulation.fault_schedules --shrink 1017 [--only gap]

plays hundreds and names the seeds that broke something; plays every pair (`--of 3`: every triple) of kinds once; finds the fewest
troubles of a seed's day that still break the same rule.
"""

from __future__ import annotations

import argparse
import contextlib
import itertools
import sys
from collections.abc import Awaitable, Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from random import Random

import anyio

from ploverhall.errors import UnreachableError

from . import parameters
from .cluster import SimulatedCluster
from .scene import play
from .simulated_network import DEAF, HOLD, REFUSE, RESET, SILENT, SLOW

KNOWN_S = 75.0
# The deployments' own; a worker that tries two silent controllers is back after 11 s
LEASE, CANCEL = (
    16.0,
    46.0,
)


@dataclass(frozen=True)
class Fault:
    """One trouble of a day: when it begins (seconds from the begin of the first), what it is, and the seed of all it draws."""

    at: float
    kind: str
    seed: str


class ActiveFault:
    """A trouble begun at once and over by itself, or when it is cancelled and `Played.calm` is called.

    Its draws are its own, so that a day without it has the same others.
    """

    def __init__(self, p: SimulatedCluster, rng: Random) -> None:
        self.p, self.rng = p, rng

    def some(self, n: int = 1) -> list[str]:
        return self.rng.sample(self.p.names, n)

    def leader(self) -> str:
        """A controller, more likely one with much to lose: a holder of a part with tasks."""
        held = [
            n for n in self.p.names if n not in self.p.down and self.p.nodes[n].context.held_shards
        ]
        return self.rng.choice(held or self.p.names)

    def seconds(self, *of: float) -> float:
        return self.rng.choice(of) * self.rng.uniform(0.8, 1.2)

    async def refuse(self) -> None:
        """The state service refuses one controller alone."""
        name = self.leader()
        self.p.refused.add(name)
        await anyio.sleep(self.seconds(3.0, 8.0, 20.0))
        self.p.refused.discard(name)

    async def outage(self) -> None:
        await self.p.outage(self.seconds(3.0, 12.0, CANCEL + 12.0))

    async def slow(self) -> None:
        """The state service answers everybody slowly."""
        for name in self.p.names:
            self.p.net.cut(name, "state", SLOW, self.seconds(10.0, 25.0))

    async def late_writes(self) -> None:
        self.p.late_writes = self.rng.choice([0.1, 0.3, 0.6])
        await anyio.sleep(self.seconds(8.0, 25.0))
        self.p.late_writes = 0.0

    async def lost_answers(self) -> None:
        """Transactions are carried out at once, and only their answers are lost."""
        self.p.lost_answers = self.rng.choice([0.1, 0.3, 0.6])
        await anyio.sleep(self.seconds(8.0, 25.0))
        self.p.lost_answers = 0.0

    async def late_reports(self) -> None:
        self.p.copy_reports(self.rng, self.rng.choice([0.1, 0.4]), 2.0, 2.2 * LEASE)
        await self.sent_for(self.seconds(8.0, 25.0))

    async def for_next(self) -> None:
        """Old reports are kept for the next leader, and reach every controller as it begins and when it has acted."""
        self.p.keep_for_next(self.rng.choice([0.3, 1.0]), self.rng.choice([1, 3]))
        await self.sent_for(self.seconds(15.0, 40.0))

    async def sent_for(self, s: float) -> None:
        """What is done with reports that leave ends after so long, unless another trouble does something else with them by then."""
        mine = self.p.fleet.sent
        await anyio.sleep(s)
        if self.p.fleet.sent is mine:
            self.p.fleet.sent = None

    async def cloud(self) -> None:
        """Rentals and deletions are late or not answered, lists lag, and new machines are up within two seconds."""
        f = self.p.fleet
        f.lost_answers, f.late_requests, f.list_lag_s, f.boots = (
            0.2,
            0.2,
            self.p.list_lag_s,
            (0.2, 2.0),
        )
        try:
            await anyio.sleep(self.seconds(15.0, 40.0))
        finally:
            f.lost_answers = f.late_requests = 0.0

    async def deaf(self) -> None:
        machines = self.rng.sample(sorted(self.p.workers), 4)
        self.p.deafen(machines, self.seconds(0.4 * LEASE, LEASE, 2.0 * LEASE))

    async def mute(self) -> None:
        """Some machines, or a zone's, can open no connection to any controller."""
        zone = [w.name for w in self.p.workers.values() if w.zone == "b"]
        machines = zone if self.rng.random() < 0.3 else self.rng.sample(sorted(self.p.workers), 4)
        self.p.mute(machines, self.seconds(0.7 * LEASE, 1.5 * LEASE, 3.0 * LEASE))

    async def hang(self) -> None:
        """Some machines hang, within their lease or beyond it."""
        self.p.hang(
            self.rng.sample(sorted(self.p.workers), 4),
            self.seconds(0.5 * LEASE, 0.9 * LEASE, 2.0 * LEASE),
        )

    async def cancel_and_hang(self) -> None:
        """Many jobs are called off within a fifth of a second, and some of their machines hang at once."""
        on = {
            w.name: {k[0] for k in w.on_machine()} - self.p.withdrawing
            for w in self.p.workers.values()
        }
        some = self.rng.sample(
            sorted(n for n, found in on.items() if found), min(4, sum(map(bool, on.values())))
        )
        for jid in sorted({j for n in some for j in on[n]}):
            self.p.tasks.start_soon(self.p.withdraw, jid)
        await anyio.sleep(0.2 * self.rng.random())
        self.p.hang(
            [n for n in some if n in self.p.workers],
            self.seconds(0.5 * LEASE, 0.9 * LEASE, 2.0 * LEASE),
        )

    async def cancel_at_end(self) -> None:
        """Jobs are called off in the 20 ms around the end of their last task."""
        until, seen = self.p.now + self.seconds(15.0, 40.0), set[str]()
        while self.p.now < until:
            await anyio.sleep(0.02)
            ends = [
                k
                for w in self.p.workers.values()
                for k, t in w.tasks.items()
                if t.state == "running" and 0.0 <= t.until - self.p.now < 0.05
            ]
            for jid, task, _ in ends:
                others = all(
                    (jid, i) in self.p.fleet.results
                    for i in range(self.p.specs[jid].task_count)
                    if i != task
                )
                if (
                    jid not in seen
                    and (others or self.p.specs[jid].kind == "gang")
                    and jid in self.p.asked
                ):
                    seen.add(jid)
                    if self.rng.random() < 0.6:
                        self.p.tasks.start_soon(
                            self.later, 0.07 * self.rng.random(), self.p.withdraw, jid
                        )

    async def later(self, s: float, call: Callable[[str], Awaitable[None]], jid: str) -> None:
        """A user does something in so many seconds, trouble or not."""
        await anyio.sleep(s)
        await call(jid)

    async def close_looks(self) -> None:
        await self.p.close_looks(self.seconds(15.0, 40.0))

    async def odd_requests(self) -> None:
        """Repeated submissions of what is unfinished, cancellations of what is done, jobs that fit no machine or lack a field."""
        until, p, rng = self.p.now + self.seconds(15.0, 40.0), self.p, self.rng
        while p.now < until:
            await anyio.sleep(0.5 * rng.random())
            if known := sorted(j for j, a in p.asked.items() if a.accepted is not None):
                p.tasks.start_soon(p.resubmit, rng.choice(known), rng.choice(p.names))
            if done := sorted(j for j, t in p.told.items() if t == "done"):
                p.tasks.start_soon(p.withdraw, rng.choice(done))
            how = rng.choice([{"gpus": 64.0}, {"keeper": "nobody"}, {"cores": None}])
            wrong = {**p.spec(990_000 + rng.randrange(100), gait="array"), **how}
            with contextlib.suppress(UnreachableError):
                status, _ = await p.users[rng.choice(p.names)].call("POST", "/api/jobs", wrong, 5.0)
                if status in (200, 201):
                    p.broken.append(f"accepted though it can't run: {wrong}")

    async def held_up(self) -> None:
        """Commands and answers to some machines are held up, and then delivered."""
        s = self.seconds(3.0, 8.0, 0.9 * LEASE, 2.0 * LEASE)
        for w in self.rng.sample(sorted(self.p.workers), 4):
            for name in self.p.names:
                self.p.net.cut(name, w, HOLD, s, both=self.rng.random() < 0.5)

    async def crash(self) -> None:
        """One, two or all end, and are back within 0.1 to 6 s; now and then again at once."""
        names, again = self.some(self.rng.choice([1, 1, 2, 3])), self.rng.random() < 0.3
        for _ in range(2 if again else 1):
            for name in names:
                self.p.tasks.start_soon(
                    self.p.crash, name, self.rng.choice([0.1, 0.3, 1.0, 3.0, 6.0])
                )
            await anyio.sleep(self.seconds(1.0, 7.0))

    async def end(self, name: str, s: float) -> None:
        """End a controller; it is back even when the trouble is cancelled before that."""
        self.p.tasks.start_soon(self.p.crash, name, s)
        await anyio.sleep(s)

    async def roll(self) -> None:
        every = self.rng.choice([0.5, 2.0, 10.0])
        for name in self.p.names:
            await self.end(name, self.rng.choice([0.1, 1.0, 6.0]))
            await anyio.sleep(every)

    async def pause(self) -> None:
        """A controller stands still: nothing leaves it, and what comes lies there."""
        name, s = self.leader(), self.seconds(3.0, 12.0, 22.0)
        for other in ("state", "cloud", "user", *self.p.names, *self.p.workers):
            if other != name:
                self.p.net.cut(name, other, HOLD, s)

    async def alone(self) -> None:
        """Cut from the state service and from the other controllers; its workers and users reach it."""
        name, s, mode = (
            self.leader(),
            self.seconds(6.0, 14.0, 40.0, 80.0),
            self.rng.choice([HOLD, RESET, SILENT]),
        )
        for other in ("state", *self.p.names):
            if other != name:
                self.p.net.cut(name, other, mode, s)

    async def zone(self) -> None:
        """A zone is cut off with its workers and its controller, for longer than a lease; now and then that one ends meanwhile."""
        s = self.seconds(1.5 * LEASE, 4.0 * LEASE, 8.0 * LEASE)
        self.p.cut_zone("b", self.rng.choice([HOLD, RESET, SILENT]), s)
        if self.rng.random() < 0.4:
            await anyio.sleep(self.seconds(4.0, 12.0))
            await self.end(self.p.names[self.p.zones.index("b")], self.rng.choice([0.3, 3.0]))

    async def no_workers(self) -> None:
        self.p.cut_workers(
            self.leader(),
            self.rng.choice([HOLD, RESET, SILENT, DEAF]),
            self.seconds(8.0, 25.0),
            self.rng.random() < 0.7,
        )

    async def peers(self) -> None:
        """Links between controllers are refused."""
        a, b = self.some(2)
        self.p.net.cut(a, b, REFUSE, self.seconds(8.0, 25.0))

    async def gap(self) -> None:
        """One is refused, or cut off, until its key is gone or nearly so; then the state service is down for all."""
        name, s = self.leader(), CANCEL + self.rng.choice([12.0, 30.0])
        p, rng = self.p, self.rng
        cut = rng.random() < 0.7
        p.refused.add(name)
        if cut:
            mode = rng.choice([HOLD, RESET, SILENT])
            for other in p.names:
                if other != name:
                    p.net.cut(name, other, mode, rng.choice([5.0, 9.0, 30.0, 70.0]))
        p.tasks.start_soon(self.cancels, rng.uniform(0.0, 3.0))
        at = p.now
        wait = rng.choice([1.5, 3.0, 6.0, 12.0])
        # At the moment at which its key has gone, before anybody takes its part
        early = rng.random() < 0.5
        while p.now - at < wait or (early and p.now - at < 8.0):
            if early and f"p/node/{name}" not in p.state.store.kv:
                break
            await anyio.sleep(0.05)
        p.tasks.start_soon(p.outage, s)
        if rng.random() < 0.4:
            await anyio.sleep(s * rng.random())
            await self.crash()
        await anyio.sleep(1.0)
        p.refused.discard(name)

    async def held_command(self) -> None:
        """Only commands, or only their answers, are held up."""
        until, answers = self.p.now + self.seconds(3.0, 8.0, 20.0), self.rng.random() < 0.5
        self.p.fleet.held_do.update(
            dict.fromkeys(self.rng.sample(sorted(self.p.workers), 4), (until, answers))
        )

    async def new_machines(self) -> None:
        """Machines are up at once; lists lag, rentals are not answered, or late; more is rented."""
        f = self.p.fleet
        f.boots, f.list_lag_s, f.lost_answers, f.late_requests = (
            (0.2, 2.0),
            self.p.list_lag_s,
            0.15,
            0.15,
        )
        try:
            for n in range(6):
                first = (
                    800
                    + 10 * sum(1 for j in self.p.asked if j < "j-000900" and j >= "j-000800")
                    + n
                )
                self.p.tasks.start_soon(
                    self.p.submit, self.p.spec(first, gait="array", chicks=6, flightS=10.0)
                )
                await anyio.sleep(1.0)
            await anyio.sleep(self.seconds(8.0, 20.0))
        finally:
            f.lost_answers = f.late_requests = 0.0

    async def cancels(self, after: float = 0.0) -> None:
        """Users cancel some of what runs."""
        await anyio.sleep(after)
        running = sorted(
            {k[0] for w in self.p.workers.values() for k in w.on_machine()} - self.p.withdrawing
        )
        for jid in self.rng.sample(running, min(3, len(running))):
            self.p.tasks.start_soon(self.p.withdraw, jid)


KINDS = (
    "refuse",
    "outage",
    "slow",
    "late_writes",
    "late_reports",
    "deaf",
    "held_up",
    "crash",
    "roll",
    "pause",
    "alone",
    "no_workers",
    "peers",
    "gap",
    "zone",
    "for_next",
    "lost_answers",
    "cloud",
    "mute",
    "hang",
    "cancel_and_hang",
    "cancel_at_end",
    "close_looks",
    "odd_requests",
    "held_command",
    "new_machines",
)
MACHINES = ("mute", "hang", "cancel_and_hang", "held_command", "for_next", "new_machines")
Day = tuple[list[Fault], float]  # the troubles by their times, and when all of them are ended


def draw(seed: int, kinds: Sequence[str] = KINDS, times: int = 2) -> Day:
    """Meetings of two or three troubles, each with cancellations soon after it begins."""
    rng, at, out = Random(f"meeting {seed}"), 0.0, list[Fault]()
    for _ in range(times):
        for kind in rng.sample(list(kinds), min(len(kinds), rng.choice([2, 2, 3]))):
            out.append(Fault(at, kind, f"{seed} {len(out)}"))
            out.append(Fault(at + rng.uniform(0.5, 6.0), "cancels", f"{seed} {len(out)}"))
            at += rng.choice([0.0, 0.3, 2.0, 6.0])
        at += rng.choice([12.0, 35.0, CANCEL + 35.0])
    return sorted(out, key=lambda t: t.at), at


async def begin(p: SimulatedCluster, day: Day) -> None:
    """Play a day's troubles; all of them are over then, those too that were still to do something."""
    troubles, until = day
    at = p.now
    async with anyio.create_task_group() as tg:
        for t in troubles:
            await anyio.sleep(max(0.0, at + t.at - p.now))
            tg.start_soon(getattr(ActiveFault(p, Random(t.seed)), t.kind))
        await anyio.sleep(max(0.0, at + until - p.now))
        tg.cancel_scope.cancel()
    p.calm()
    # what has ended is back within seconds, what hangs in a lease or two
    while p.down or any(w.hung_until > p.now for w in p.workers.values()):
        await anyio.sleep(0.1)


def meet(
    seed: int, kinds: Sequence[str] = KINDS, times: int = 2, day: Day | None = None
) -> SimulatedCluster:
    """A day's meetings, while jobs come, end and are cancelled; every rule is judged."""
    played_day = day or draw(seed, kinds, times)

    async def scene(p: SimulatedCluster) -> None:
        for i in range(3):
            p.tasks.start_soon(p.submit, p.spec(900 + i, gait="daemon", chicks=4))
        # Arrays and gangs that run on through a change of leader
        long = {
            "flightS": 400.0,
            "pullGb": 0.1,
        }
        for i in range(8):
            p.tasks.start_soon(p.submit, p.spec(910 + i, gait="array", chicks=2, **long))
        p.tasks.start_soon(p.submit, p.spec(920, gait="group", **long))
        p.tasks.start_soon(
            p.flow, 190.0, 1.3
        )  # users give up after 60 s: some must come when it is over
        await anyio.sleep(12.0)
        await begin(p, played_day)
        for jid, spec in p.specs.items():
            if spec.estimate_s > 100.0 and jid not in p.withdrawing:
                p.tasks.start_soon(p.withdraw, jid)
        missing = await p.all_answered(KNOWN_S)
        assert not missing, f"forgotten: {missing[:3]}"
        left = await p.left_waiting()
        assert not left, f"left waiting: {sorted(left)[:3]}"
        await anyio.sleep(max(CANCEL + 3.0, 200.0 + 35.0 - (p.now - p.settled_at)))

    before = parameters.LEASE_S, parameters.CANCEL_S
    parameters.LEASE_S, parameters.CANCEL_S = LEASE, CANCEL
    try:
        return play(scene, seed)
    finally:
        parameters.LEASE_S, parameters.CANCEL_S = before


def verdict(task: tuple[int, Sequence[str], Day | None]) -> tuple[int, str]:
    """A seed and what its day broke, if anything."""
    seed, kinds, day = task
    try:
        meet(seed, kinds, day=day)
    except Exception as e:
        while isinstance(e, BaseExceptionGroup):
            e = e.exceptions[0]  # type: ignore[assignment]
        return seed, f"{type(e).__name__}: {str(e)[:300]}"
    return seed, ""


def rule(what: str) -> str:
    """Which rule a verdict speaks of."""
    names = (
        "ran_twice",
        "quota",
        "wrong_place",
        "ran_cancelled",
        "forgotten",
        "invented",
        "not_done",
        "went_back",
        "left waiting",
        "can't run",
        "served",
    )
    return next((n for n in names if n in what), what[:40])


def shrink(day: Day, broken: Callable[[list[Day]], list[str]], wanted: str) -> Day:
    """The day without whatever it breaks the same rule without. `broken` plays days and says what each broke.

    A part of the troubles is left out in each try, halves first and then ever smaller parts; in the end none can be spared alone.
    """
    troubles, until = day
    size = max(1, len(troubles) // 2)
    while True:
        tries: list[Day] = [
            (troubles[:i] + troubles[i + size :], until) for i in range(0, len(troubles), size)
        ]
        found = next(
            (
                d
                for d, what in zip(tries, broken(tries), strict=True)
                if what and rule(what) == wanted
            ),
            None,
        )
        if found is not None and found[0] != troubles:
            troubles = found[0]
            size = min(size, max(1, len(troubles) // 2))
        elif size == 1:
            return troubles, until
        else:
            size //= 2


def combined(
    kinds: Sequence[str], of: int, first: int
) -> list[tuple[int, Sequence[str], Day | None]]:
    """Every combination of so many kinds once, on a day of one meeting each."""
    out: list[tuple[int, Sequence[str], Day | None]] = []
    for i, some in enumerate(itertools.combinations(kinds, of)):
        seed = first + i
        rng, at, day = Random(f"combined {seed}"), 0.0, list[Fault]()
        for kind in rng.sample(some, of):
            day += [
                Fault(at, kind, f"{seed} {kind}"),
                Fault(at + rng.uniform(0.5, 6.0), "cancels", f"{seed} {kind} cancels"),
            ]
            at += rng.choice([0.0, 0.3, 2.0, 6.0])
        out.append((seed, some, (sorted(day, key=lambda t: t.at), at + CANCEL + 35.0)))
    return out


def main() -> int:
    """Play many and name those that broke something, or shrink one."""
    p = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    p.add_argument("--seeds", type=int, default=100)
    p.add_argument("--first", type=int, default=1000)
    p.add_argument(
        "--of",
        type=int,
        choices=(2, 3),
        help="every pair or triple of kinds, instead of drawn days",
    )
    p.add_argument(
        "--shrink",
        type=int,
        help="the fewest troubles of this seed's day that still break its rule",
    )
    p.add_argument(
        "--only",
        action="append",
        choices=KINDS,
        help="draw from these troubles; may be given several times",
    )
    p.add_argument("--jobs", type=int, default=7)
    args = p.parse_args()
    kinds = tuple(args.only or KINDS)
    with ProcessPoolExecutor(args.jobs) as pool:
        if args.shrink is not None:
            day = draw(args.shrink, kinds)
            _, what = verdict((args.shrink, kinds, day))
            print(f"seed {args.shrink}: {what or 'broke nothing'}")
            if what:

                def broken(days: list[Day]) -> list[str]:
                    return [
                        w for _, w in pool.map(verdict, [(args.shrink, kinds, d) for d in days])
                    ]

                for t in shrink(day, broken, rule(what))[0]:
                    print(f"  {t.at:6.1f} s  {t.kind:<14} (draws: {t.seed!r})")
            return 1 if what else 0
        tasks = [(s, kinds, None) for s in range(args.first, args.first + args.seeds)]
        tasks = combined(kinds, args.of, args.first) if args.of else tasks  # type: ignore[assignment]
        lines = [
            (s, some, what)
            for (s, some, _), (_, what) in zip(tasks, pool.map(verdict, tasks), strict=True)
            if what
        ]
    for s, some, what in lines:
        print(f"seed {s}{' ' + ' '.join(some) if args.of else ''}: {what}")
    print(f"{len(tasks)} days, {len(lines)} broken")
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
