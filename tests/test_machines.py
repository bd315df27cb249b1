"""The machines' side where two troubles meet: new ones, old reports, mute, deaf and hanging ones (tests/played.py).

Rules are judged from outside all along; a scene that is played without the guard it is there for has to break.
"""

from __future__ import annotations

import contextlib
from typing import Any

import anyio
import pytest

from ploverhall.coordination.fleet import Permit
from ploverhall.coordination.owner import Owner
from ploverhall.coordination.renter import Renter
from ploverhall.protocol.workers import Report

from . import world
from .played import RESET, SILENT, Played, play
from .test_copies import copies_are_news


def broken_by(p: Played) -> list[str]:
    return p.broken + p.fleet.broken


def taken_for_gone(p: Played) -> set[str]:
    """Machines that live and that somebody believes to be gone for certain."""
    alive = p.fleet.workers.keys()
    return {m for n in p.nodes.values() for h in n.shared.held.values() for m in h.owner.fleet.proven_gone & alive}


# -- new machines ----------------------------------------------------------------------------------


def no_margin(monkeypatch: pytest.MonkeyPatch) -> None:
    """What a list doesn't have is gone, however old the list may be."""
    real = Renter.on_list

    def on_list(self: Renter, items: Any, asked_at: float, now: float) -> None:
        lag, self.lag_s = self.lag_s, -1e9
        real(self, items, asked_at, now)
        self.lag_s = lag

    monkeypatch.setattr(Renter, "on_list", on_list)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("without", [None, no_margin])
def test_machines_up_at_once_that_no_list_has_while_writes_lag_and_the_leader_ends(
    seed: int, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Rentals are executed and not answered, or late; lists lag. Nothing that lives is taken for gone; all is used or returned."""
    if without is not None:
        without(monkeypatch)
    monkeypatch.setattr(Played, "list_lag_s", 3.0)
    gone: set[str] = set()

    async def scene(p: Played) -> None:
        f = p.fleet
        f.boots, f.list_lag_s, f.lost_answers, f.late_requests = (0.2, 2.0), 3.0, 0.1, 0.1
        p.late_writes = 0.2
        for wave in range(6):
            before = len(f.machines)
            for n in range(4):
                spec = p.spec(4 * wave + n, gait="array", chicks=4, flightS=12.0, pullGb=0.1)
                p.tasks.start_soon(p.submit, spec)
            with anyio.move_on_after(8.0):
                while len(f.machines) <= before:
                    await anyio.sleep(0.05)
            await anyio.sleep(1.5)
            if wave in (2, 4):  # new machines have had their first starts
                holder = max(p.nodes, key=lambda n: sum(len(h.owner.permits) for h in p.nodes[n].shared.held.values()))
                p.tasks.start_soon(p.crash, holder, 5.0)
            for _ in range(15):
                await anyio.sleep(0.2)
                gone.update(taken_for_gone(p))
        p.late_writes = f.lost_answers = f.late_requests = 0.0
        await anyio.sleep(25.0)
        gone.update(taken_for_gone(p))
        assert len(f.pleas) > 1, "nothing was rented"
        assert not await p.left_waiting()
        renter = next(n.shared.renter for n in p.nodes.values() if n.shared.renter is not None)
        assert f.machines.keys() <= renter.machines.keys(), "each is used, or on its way back"

    if without is None:
        play(scene, seed, machines=3)
        assert not gone, f"living machines taken for gone: {sorted(gone)}"
    else:
        with contextlib.suppress(AssertionError, BaseExceptionGroup):
            play(scene, seed, machines=3)
        assert gone, "the scene must be able to fail"


def told_by_name(self: Renter, part: int) -> list[str]:
    """As it was: the last by name."""
    return sorted(self.gone)[-300:]


@pytest.mark.parametrize("mended", [True, False])
def test_an_old_machine_that_the_new_leader_never_heard_is_told_to_be_gone_however_many_have_gone(
    mended: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its tasks start again elsewhere. Where the last 300 by name were told, it counted for its team's limit for ever."""
    if not mended:
        monkeypatch.setattr(Renter, "gone_for", told_by_name, raising=False)
    back: list[bool] = []

    async def scene(p: Played) -> None:
        for n in range(900, 904):
            await p.submit(p.spec(n, gait="daemon", chicks=8))
        await anyio.sleep(5.0)
        renting = next(name for name, n in p.nodes.items() if n.shared.renter is not None)
        renter = p.nodes[renting].shared.renter
        assert renter is not None
        renter.gone.update({f"n-9{i:05d}": p.now for i in range(400)})  # a long day's machines, newer by name
        leader = next(c for c in p.names if c != renting)
        dead = next(w for w in p.workers_of(leader) if p.fleet.workers[w].tasks)
        lost = {k[:2] for k in p.fleet.workers[dead].tasks}
        p.tasks.start_soon(p.crash, leader, 60.0)
        p.fleet.machines.pop(dead)[2].cancel()
        with anyio.move_on_after(55.0):
            while lost - {k[:2] for w in p.fleet.workers.values() for k in w.on_machine()}:
                await anyio.sleep(0.2)
        back.append(not lost - {k[:2] for w in p.fleet.workers.values() for k in w.on_machine()})

    play(scene, machines=14)
    assert back == [mended]


# -- old reports as a new leader begins ------------------------------------------------------------


def believes_a_stranger(monkeypatch: pytest.MonkeyPatch) -> None:
    """What a list omits is gone though the machine has not taken this owner's token."""
    real = Owner._check

    def check(self: Owner, p: Permit) -> None:
        m = self.machines.get(p.machine)
        took = m.took if m is not None else False
        if m is not None:
            m.took = True
        real(self, p)
        if m is not None:
            m.took = took

    monkeypatch.setattr(Owner, "_check", check)


def silence_of_a_stranger(monkeypatch: pytest.MonkeyPatch) -> None:
    """A lease of silence counts though the machine has not taken this owner's token: another may be answering it."""
    real = Owner.on_report

    def on_report(self: Owner, r: Report, *a: Any, **kw: Any) -> Any:
        m = real(self, r, *a, **kw)
        if m is not None:
            m.took = True
        return m

    monkeypatch.setattr(Owner, "on_report", on_report)


@pytest.mark.parametrize(("where", "without"), [
    ("unreached", None), ("unreached", believes_a_stranger),
    ("zone", None), ("zone", silence_of_a_stranger),
    ("heard", None), ("heard", copies_are_news),
    ("session", None), ("session", copies_are_news),
])  # fmt: skip
def test_old_reports_at_every_controller_in_the_moment_in_which_a_new_leader_begins(
    where: str, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of before its starts, and of its newest list; to all, from the claim on until it has acted, before anything fresh or after.

    unreached: its machines can reach nobody for as long as they keep their tasks. zone: they go on with their old leader, cut off
    together. heard: they come at once. session: the copies are of an earlier session, other attempts run there by now. Copies alone
    cost no task its lease.
    """
    if without is not None:
        without(monkeypatch)
    lost: list[int] = []

    async def scene(p: Played) -> None:
        p.keep_for_next()
        await anyio.sleep(4.0)
        for n in range(900, 904):
            await p.submit(p.spec(n, gait="daemon", chicks=6))
        await anyio.sleep(6.0)
        if where == "zone":
            p.cut_zone("b", RESET, 45.0)
            await anyio.sleep(45.0)
        else:
            mine = p.workers_of("c0")
            if where == "session":
                for w in mine:
                    for c in p.names:
                        p.net.cut(w, c, SILENT, 13.0)
                await anyio.sleep(20.0)
                for n in range(904, 906):
                    await p.submit(p.spec(n, gait="daemon", chicks=6))
                await anyio.sleep(6.0)
                assert all(p.fleet.workers[w].session > 1 for w in mine) and any(p.fleet.workers[w].tasks for w in mine)
            before = p.fleet.killed_by_lease
            p.tasks.start_soon(p.crash, "c0", 25.0)
            for w in mine if where == "unreached" else ():
                for c in p.names:
                    p.net.cut(w, c, SILENT, 9.0)
            await anyio.sleep(30.0)
            lost.append(p.fleet.killed_by_lease - before)
        await anyio.sleep(25.0)
        assert p.claims() > 0 and p.copies > 200
        assert not await p.left_waiting(30.0)

    if without is None:
        play(scene, machines=9)
        assert where not in ("heard", "session") or lost == [0], "a copy has kept a machine from being answered"
    else:
        with pytest.raises(AssertionError, match="ran_twice"):
            play(scene, machines=9)


# -- machines that can open no connection, while commands reach them -------------------------------


def an_answer_to_a_command_is_a_report(monkeypatch: pytest.MonkeyPatch) -> None:
    """What answers a command is taken for one whose lease has just been renewed."""
    real = Owner.on_report

    def on_report(self: Owner, r: Report, now: float, direct: bool = False, carried: bool = False) -> Any:
        return real(self, r, now, False, carried)

    monkeypatch.setattr(Owner, "on_report", on_report)


@pytest.mark.parametrize(("s", "change", "without"), [
    (6.0, False, None), (25.0, False, None), (25.0, True, None), (25.0, False, an_answer_to_a_command_is_a_report),
])  # fmt: skip
def test_machines_that_reach_nobody_while_commands_reach_them(
    s: float, change: bool, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Cancelled tasks there end by command; an answered command renews no lease, so nothing new goes there until they report."""
    if without is not None:
        without(monkeypatch)
    given: list[Any] = []

    async def scene(p: Played) -> None:
        for n in range(900, 904):
            await p.submit(p.spec(n, gait="daemon", chicks=6))
        p.tasks.start_soon(p.flow, 60.0, 0.7)
        await anyio.sleep(7.0)
        some = [w for c in p.names for w in p.workers_of(c)[:2]]
        p.mute(some, s)
        at = p.now
        for n in (900, 901):
            await p.withdraw(f"j-{n:06d}")
        await anyio.sleep(1.0)
        assert not [k for w in p.fleet.workers.values() for k in w.on_machine() if k[0] in p.cancelled]
        if change:
            p.tasks.start_soon(p.crash, "c0", 20.0)
        await anyio.sleep(at + s - p.now)
        given.extend(x for x in p.fleet.started_on if x[1] in some and x[0] > at + 5.0)
        await anyio.sleep(15.0)
        assert not p.starts_after_told()
        assert any(x[1] in some and x[0] > at + s for x in p.fleet.started_on), "they are used again"
        assert not await p.left_waiting(30.0)

    if without is None:
        play(scene, machines=12)
    else:
        with contextlib.suppress(AssertionError):
            play(scene, machines=12)
    assert bool(given) == (without is not None), "starts on machines that report to nobody"


@pytest.mark.parametrize("mute", [True, False])
def test_a_stop_that_was_lost_is_sent_again(mute: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """By command, where that reaches the machine again: it need not wait for a report, or for its lease."""
    monkeypatch.setattr(world, "LEASE", 16.0)
    monkeypatch.setattr(world, "CANCEL", 46.0)
    took: list[float] = []

    async def scene(p: Played) -> None:
        await p.submit(p.spec(900, gait="daemon", chicks=8))
        await anyio.sleep(6.0)
        some = {w.name for w in p.fleet.workers.values() if w.tasks}
        if mute:
            p.mute(some, 30.0)
        for w in some:
            for c in p.names:
                p.net.cut(c, w, SILENT, 2.5, both=False)
        at = p.now
        p.tasks.start_soon(p.withdraw, "j-000900")
        while any(w.on_machine() for w in p.fleet.workers.values()):
            await anyio.sleep(0.1)
        took.append(p.now - at)
        await anyio.sleep(30.0)
        assert not p.state.store.permits(), "and is proved gone"

    play(scene, machines=6)
    assert took[0] < 9.0, took
