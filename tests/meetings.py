"""Troubles that meet: two or three at once, drawn from a seed, over three whole controllers (tests/played.py).

Every rule is judged from outside all along; at the end every accepted job must be answered by every controller within `KNOWN_S`.

    python -m tests.meetings --seeds 200 [--first 1000] [--only gap] [--jobs 7]

plays hundreds and names the seeds that broke something.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from random import Random

import anyio

from . import world
from .played import DEAF, HOLD, REFUSE, RESET, SILENT, SLOW, Played, play

KNOWN_S = 75.0
LEASE, CANCEL = 16.0, 46.0  # the deployments' own; a worker that tries two silent controllers is back after 11 s


class Troubles:
    """One played day's troubles, each begun at once and over by itself."""

    def __init__(self, p: Played, rng: Random) -> None:
        self.p, self.rng = p, rng

    def some(self, n: int = 1) -> list[str]:
        return self.rng.sample(self.p.names, n)

    def leader(self) -> str:
        """A controller, more likely one with much to lose: a holder of a part with tasks."""
        held = [n for n in self.p.names if n not in self.p.down and self.p.nodes[n].shared.held]
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
        await anyio.sleep(self.seconds(8.0, 25.0))
        self.p.fleet.sent = None

    async def deaf(self) -> None:
        machines = self.rng.sample(sorted(self.p.workers), 4)
        self.p.deafen(machines, self.seconds(0.4 * LEASE, LEASE, 2.0 * LEASE))

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
                self.p.tasks.start_soon(self.p.crash, name, self.rng.choice([0.1, 0.3, 1.0, 3.0, 6.0]))
            await anyio.sleep(self.seconds(1.0, 7.0))

    async def roll(self) -> None:
        every = self.rng.choice([0.5, 2.0, 10.0])
        for name in self.p.names:
            await self.p.crash(name, self.rng.choice([0.1, 1.0, 6.0]))
            await anyio.sleep(every)

    async def pause(self) -> None:
        """A controller stands still: nothing leaves it, and what comes lies there."""
        name, s = self.leader(), self.seconds(3.0, 12.0, 22.0)
        for other in ("state", "cloud", "user", *self.p.names, *self.p.workers):
            if other != name:
                self.p.net.cut(name, other, HOLD, s)

    async def alone(self) -> None:
        """Cut from the state service and from the other controllers; its workers and users reach it."""
        name, s, mode = self.leader(), self.seconds(6.0, 14.0, 40.0, 80.0), self.rng.choice([HOLD, RESET, SILENT])
        for other in ("state", *self.p.names):
            if other != name:
                self.p.net.cut(name, other, mode, s)

    async def no_workers(self) -> None:
        self.p.cut_workers(self.leader(), self.rng.choice([HOLD, RESET, SILENT, DEAF]), self.seconds(8.0, 25.0), self.rng.random() < 0.7)

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
        self.cancel_some(rng.uniform(0.0, 3.0))
        at = p.now
        wait = rng.choice([1.5, 3.0, 6.0, 12.0])
        early = rng.random() < 0.5  # at the moment at which its key has gone, before anybody takes its part
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

    # -- the machines' side

    async def mute(self) -> None:
        """Machines can open no connection to any controller; commands reach them."""
        self.p.mute(self.rng.sample(sorted(self.p.workers), 4), self.seconds(0.4 * LEASE, LEASE, 2.5 * LEASE))

    async def hang(self) -> None:
        """Jobs are called off, and their machines hang at the same moment, within their lease or beyond."""
        running = sorted({k[0] for w in self.p.workers.values() for k in w.on_machine()} - self.p.withdrawing)
        jobs = set(self.rng.sample(running, min(3, len(running))))
        theirs = sorted(w.name for w in self.p.workers.values() if any(k[0] in jobs for k in w.tasks))[:8]
        self.p.hang(theirs, self.seconds(0.4 * LEASE, 0.9 * LEASE, 1.6 * LEASE))
        for jid in sorted(jobs):
            self.p.tasks.start_soon(self.p.withdraw, jid)

    async def held_command(self) -> None:
        """Only commands, or only their answers, are held up."""
        until, answers = self.p.now + self.seconds(3.0, 8.0, 20.0), self.rng.random() < 0.5
        self.p.fleet.held_do.update(dict.fromkeys(self.rng.sample(sorted(self.p.workers), 4), (until, answers)))

    async def old_for_next(self) -> None:
        """Old reports reach every controller whenever a new leader begins."""
        self.p.keep_for_next(self.rng.choice([0.5, 1.0]))
        await anyio.sleep(self.seconds(30.0, 60.0))
        self.p.fleet.sent = None

    async def new_machines(self) -> None:
        """Machines are up at once; lists lag, rentals are not answered, or late; more is rented."""
        f = self.p.fleet
        f.boots, f.list_lag_s, f.lost_answers, f.late_requests = (0.2, 2.0), self.p.list_lag_s, 0.15, 0.15
        for n in range(6):
            first = 800 + 10 * sum(1 for j in self.p.asked if j < "j-000900" and j >= "j-000800") + n
            self.p.tasks.start_soon(self.p.submit, self.p.spec(first, gait="array", chicks=6, flightS=10.0))
            await anyio.sleep(1.0)
        await anyio.sleep(self.seconds(8.0, 20.0))
        f.lost_answers = f.late_requests = 0.0

    def cancel_some(self, after: float) -> None:
        """Users cancel some of what runs."""

        async def later() -> None:
            await anyio.sleep(after)
            running = sorted({k[0] for w in self.p.workers.values() for k in w.on_machine()} - self.p.withdrawing)
            for jid in self.rng.sample(running, min(3, len(running))):
                self.p.tasks.start_soon(self.p.withdraw, jid)

        self.p.tasks.start_soon(later)


KINDS = ("refuse", "outage", "slow", "late_writes", "late_reports", "deaf", "held_up", "crash", "roll", "pause", "alone", "no_workers",
         "peers", "gap")  # fmt: skip


MACHINES = ("mute", "hang", "held_command", "old_for_next", "new_machines")


def meet(seed: int, kinds: tuple[str, ...] = KINDS, times: int = 2) -> Played:
    """Two meetings of two or three troubles, while jobs come, end and are cancelled; every rule is judged."""
    rng = Random(f"meeting {seed}")

    async def scene(p: Played) -> None:
        troubles = Troubles(p, rng)
        for i in range(3):
            p.tasks.start_soon(p.submit, p.spec(900 + i, gait="daemon", chicks=4))
        long = {"flightS": 400.0, "pullGb": 0.1}  # arrays and gangs that run on through a change of leader
        for i in range(8):
            p.tasks.start_soon(p.submit, p.spec(910 + i, gait="array", chicks=2, **long))
        p.tasks.start_soon(p.submit, p.spec(920, gait="group", **long))
        p.tasks.start_soon(p.flow, 190.0, 1.3)  # users give up after 60 s: some must come when it is over
        await anyio.sleep(12.0)
        for _ in range(times):
            for kind in rng.sample(kinds, min(len(kinds), rng.choice([2, 2, 3]))):
                p.tasks.start_soon(getattr(troubles, kind))
                troubles.cancel_some(rng.uniform(0.5, 6.0))
                await anyio.sleep(rng.choice([0.0, 0.3, 2.0, 6.0]))
            await anyio.sleep(rng.choice([12.0, 35.0, CANCEL + 35.0]))
        p.calm()
        for jid, spec in p.specs.items():
            if spec.estimate_s > 100.0 and jid not in p.withdrawing:
                p.tasks.start_soon(p.withdraw, jid)
        missing = await p.all_answered(KNOWN_S)
        assert not missing, f"forgotten: {missing[:3]}"
        left = await p.left_waiting()
        assert not left, f"left waiting: {sorted(left)[:3]}"
        await anyio.sleep(max(CANCEL + 3.0, 200.0 + 35.0 - (p.now - p.settled_at)))

    before = world.LEASE, world.CANCEL
    world.LEASE, world.CANCEL = LEASE, CANCEL
    try:
        return play(scene, seed)
    finally:
        world.LEASE, world.CANCEL = before


def _verdict(task: tuple[int, tuple[str, ...]]) -> tuple[int, str]:
    try:
        meet(*task)
    except Exception as e:
        while isinstance(e, BaseExceptionGroup):
            e = e.exceptions[0]  # type: ignore[assignment]
        return task[0], f"{type(e).__name__}: {str(e)[:300]}"
    return task[0], ""


def main() -> int:
    """Play many and name those that broke something."""
    p = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("--seeds", type=int, default=100)
    p.add_argument("--first", type=int, default=1000)
    p.add_argument("--only", action="append", choices=KINDS + MACHINES, help="draw from these troubles; may be given several times")
    p.add_argument("--jobs", type=int, default=7)
    args = p.parse_args()
    tasks = [(s, tuple(args.only or KINDS)) for s in range(args.first, args.first + args.seeds)]
    with ProcessPoolExecutor(args.jobs) as pool:
        broken = [(s, what) for s, what in pool.map(_verdict, tasks) if what]
    for s, what in broken:
        print(f"seed {s}: {what}")
    print(f"{len(tasks)} days, {len(broken)} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
