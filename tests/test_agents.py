"""The machines' side where two troubles meet: new ones, old reports, mute, deaf and hanging ones.

Rules are judged from outside all along; a scene that is played without the guard it is there for has to break.
"""

from __future__ import annotations

import contextlib
from typing import Any

import anyio
import pytest

from ploverhall.autoscaling.autoscaler import Autoscaler
from ploverhall.controller.shard_leases import ShardLeases
from ploverhall.controller.shard_roles import ShardRoles
from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.protocol.agents import Heartbeat
from ploverhall.scheduling.command_builder import CommandBuilder
from ploverhall.scheduling.job_state import JobState
from ploverhall.scheduling.machines import Permit
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.permitting import ATTEMPT_BITS, JobSource
from ploverhall.scheduling.preemption import PreemptionPlanner
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.scheduling.shard_state import ShardState

from .removed_guards import (
    check_gone_without_fencing_tokens,
    copies_are_news,
    fresh_read_without_reading,
)
from .simulation import decision_model
from .simulation.cluster import HOLD, RESET, SILENT, SLOW, SimulatedCluster, play
from .simulation.fault_schedules import MACHINES, meet


def broken_by(p: SimulatedCluster) -> list[str]:
    return p.broken + p.fleet.broken


def taken_for_gone(p: SimulatedCluster) -> set[str]:
    """Machines that live and that somebody believes to be gone for certain."""
    alive = p.fleet.workers.keys()
    return {
        m
        for n in p.nodes.values()
        for h in n.context.held_shards.values()
        for m in h.owner.inventory.proven_gone & alive
    }


def test_the_judge_names_what_is_left_waiting_and_nothing_else(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Not what its team's limit holds back, nor what fits in a zone without room only, nor a gang that there is not room for."""
    real = JobSource.candidate_count
    monkeypatch.setattr(
        JobSource,
        "candidate_count",
        lambda self, js, now: 0 if js.id == "j-000901" else real(self, js, now),
    )

    async def scene(p: SimulatedCluster) -> None:
        p.fleet.most = len(p.fleet.machines)
        await p.submit(p.spec(900, gait="daemon", chicks=12, marsh="a"))  # zone a is full
        await anyio.sleep(4.0)
        await p.submit(p.spec(901, gait="array", chicks=1))
        await p.submit(p.spec(902, gait="daemon", chicks=1, marsh="a"))
        await p.submit(
            p.spec(904, gait="daemon", chicks=8, marsh="b")
        )  # with 900 beyond the limit of 16
        await p.submit(p.spec(903, gait="group", chicks=9, together=True, flightS=100.0))
        await anyio.sleep(4.0)
        assert await p.left_waiting(20.0) == {"j-000901"}
        for jid in p.specs:
            p.tasks.start_soon(p.withdraw, jid)
        await anyio.sleep(3.0)

    play(scene, machines=6)


# -- new machines ----------------------------------------------------------------------------------


def no_margin(monkeypatch: pytest.MonkeyPatch) -> None:
    """What a list doesn't have is gone, however old the list may be."""
    real = Autoscaler.on_cloud_list

    def on_list(self: Autoscaler, items: Any, asked_at: float, now: float) -> None:
        lag, self.list_lag_s = self.list_lag_s, -1e9
        real(self, items, asked_at, now)
        self.list_lag_s = lag

    monkeypatch.setattr(Autoscaler, "on_cloud_list", on_list)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("without", [None, no_margin])
def test_machines_up_at_once_that_no_list_has_while_writes_lag_and_the_leader_ends(
    seed: int, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Rentals are executed and not answered, or late; lists lag. Nothing that lives is taken for gone; all is used or returned."""
    if without is not None:
        without(monkeypatch)
    monkeypatch.setattr(SimulatedCluster, "list_lag_s", 3.0)
    gone: set[str] = set()

    async def scene(p: SimulatedCluster) -> None:
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
                holder = max(
                    p.nodes,
                    key=lambda n: sum(
                        len(h.owner.permits) for h in p.nodes[n].context.held_shards.values()
                    ),
                )
                p.tasks.start_soon(p.crash, holder, 5.0)
            for _ in range(15):
                await anyio.sleep(0.2)
                gone.update(taken_for_gone(p))
        p.late_writes = f.lost_answers = f.late_requests = 0.0
        await anyio.sleep(25.0)
        gone.update(taken_for_gone(p))
        assert len(f.pleas) > 1, "nothing was rented"
        assert not await p.left_waiting()
        renter = next(
            n.context.autoscaler for n in p.nodes.values() if n.context.autoscaler is not None
        )
        assert f.machines.keys() <= renter.machines.keys(), "each is used, or on its way back"

    if without is None:
        play(scene, seed, machines=3)
        assert not gone, f"living machines taken for gone: {sorted(gone)}"
    else:
        with contextlib.suppress(AssertionError, BaseExceptionGroup):
            play(scene, seed, machines=3)
        assert gone, "the scene must be able to fail"


def told_by_name(self: Autoscaler, part: int) -> list[str]:
    """As it was: the last by name."""
    return sorted(self.deleted)[-300:]


@pytest.mark.parametrize("mended", [True, False])
def test_an_old_machine_that_the_new_leader_never_heard_is_told_to_be_gone_however_many_have_gone(
    mended: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its tasks start again elsewhere. Where the last 300 by name were told, it counted for its team's limit for ever."""
    if not mended:
        monkeypatch.setattr(Autoscaler, "deleted_for", told_by_name, raising=False)
    back: list[bool] = []

    async def scene(p: SimulatedCluster) -> None:
        for n in range(900, 904):
            await p.submit(p.spec(n, gait="daemon", chicks=8))
        await anyio.sleep(5.0)
        renting = next(name for name, n in p.nodes.items() if n.context.autoscaler is not None)
        renter = p.nodes[renting].context.autoscaler
        assert renter is not None
        renter.deleted.update(
            {f"n-9{i:05d}": p.now for i in range(400)}
        )  # a long day's machines, newer by name
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
    real = PermitTable.check_gone

    def check(self: PermitTable, p: Permit) -> None:
        m = self.machines.get(p.machine)
        took = m.accepted_token if m is not None else False
        if m is not None:
            m.accepted_token = True
        real(self, p)
        if m is not None:
            m.accepted_token = took

    monkeypatch.setattr(PermitTable, "check_gone", check)


def silence_of_a_stranger(monkeypatch: pytest.MonkeyPatch) -> None:
    """A lease of silence counts though the machine has not taken this owner's token: another may be answering it."""
    real = ShardOwner.on_heartbeat

    def on_report(self: ShardOwner, r: Heartbeat, *a: Any, **kw: Any) -> Any:
        m = real(self, r, *a, **kw)
        if m is not None:
            m.accepted_token = True
        return m

    monkeypatch.setattr(ShardOwner, "on_heartbeat", on_report)


@pytest.mark.parametrize(
    ("where", "without"),
    [
        ("unreached", None),
        ("unreached", believes_a_stranger),
        ("zone", None),
        ("zone", silence_of_a_stranger),
        ("heard", None),
        ("heard", copies_are_news),
        ("session", None),
        ("session", copies_are_news),
    ],
)
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

    async def scene(p: SimulatedCluster) -> None:
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
                assert all(p.fleet.workers[w].session > 1 for w in mine) and any(
                    p.fleet.workers[w].tasks for w in mine
                )
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
        assert where not in ("heard", "session") or lost == [0], (
            "a copy has kept a machine from being answered"
        )
    else:
        with pytest.raises(AssertionError, match="ran_twice"):
            play(scene, machines=9)


# -- machines that can open no connection, while commands reach them -------------------------------


def an_answer_to_a_command_is_a_report(monkeypatch: pytest.MonkeyPatch) -> None:
    """What answers a command is taken for one whose lease has just been renewed."""
    real = ShardOwner.on_heartbeat

    def on_report(
        self: ShardOwner, r: Heartbeat, now: float, direct: bool = False, relayed: bool = False
    ) -> Any:
        return real(self, r, now, False, relayed)

    monkeypatch.setattr(ShardOwner, "on_heartbeat", on_report)


@pytest.mark.parametrize(
    ("s", "change", "without"),
    [
        (6.0, False, None),
        (25.0, False, None),
        (25.0, True, None),
        (25.0, False, an_answer_to_a_command_is_a_report),
    ],
)
def test_machines_that_reach_nobody_while_commands_reach_them(
    s: float, change: bool, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Cancelled tasks there end by command; an answered command renews no lease, so nothing new goes there until they report."""
    if without is not None:
        without(monkeypatch)
    given: list[Any] = []

    async def scene(p: SimulatedCluster) -> None:
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
        assert not [
            k for w in p.fleet.workers.values() for k in w.on_machine() if k[0] in p.cancelled
        ]
        if change:
            p.tasks.start_soon(p.crash, "c0", 20.0)
        await anyio.sleep(at + s - p.now)
        given.extend(x for x in p.fleet.started_on if x[1] in some and x[0] > at + 5.0)
        await anyio.sleep(15.0)
        assert not p.starts_after_told()
        assert any(x[1] in some and x[0] > at + s for x in p.fleet.started_on), (
            "they are used again"
        )
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
    monkeypatch.setattr(decision_model, "LEASE", 16.0)
    monkeypatch.setattr(decision_model, "CANCEL", 46.0)
    took: list[float] = []

    async def scene(p: SimulatedCluster) -> None:
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


# -- machines that hang, hear nothing, or hear late ------------------------------------------------


def no_run_is_fenced(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the newest list omits is gone, though its run may still arrive: its token is not raised."""
    monkeypatch.setattr(PermitTable, "check_gone", check_gone_without_fencing_tokens)
    monkeypatch.setattr(ShardState, "raise_token", lambda self, m: True)


def nothing_is_stopped(monkeypatch: pytest.MonkeyPatch) -> None:
    """No stop is sent: what hung within its lease goes on, and the judge has to see it."""
    real = CommandBuilder.commands_for

    def commands(self: CommandBuilder, *a: Any, **kw: Any) -> Any:
        return [c for c in real(self, *a, **kw) if c["call"] != "kill"]

    monkeypatch.setattr(CommandBuilder, "commands_for", commands)


@pytest.mark.parametrize(
    ("how", "s", "without", "rule"),
    [
        ("hang", 7.0, None, ""),
        ("hang", 9.3, None, ""),
        ("hang", 16.0, None, ""),
        ("hold", 9.3, None, ""),
        ("deaf", 9.3, None, ""),
        ("command", 6.0, None, ""),
        ("answer", 6.0, None, ""),
        ("command", 6.0, no_run_is_fenced, "started late"),
        ("hang", 7.0, nothing_is_stopped, "ran_cancelled"),
    ],
)
def test_jobs_cancelled_just_when_their_machines_hang_or_hear_late(
    how: str, s: float, without: Any, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Some run there, some have just been sent; a lease is 10 s. command, answer: only those are held up, reports come and go.

    Gone in time from the telling, also where the machine goes on with what it had; no attempt runs beside another.
    """
    if without is not None:
        without(monkeypatch)

    async def scene(p: SimulatedCluster) -> None:
        for n in range(900, 904):
            await p.submit(p.spec(n, gait="daemon", chicks=4))
        await anyio.sleep(6.0)  # all have the image
        for wave in range(2):
            running = [f"j-{900 + 2 * wave + i:06d}" for i in range(2)]
            some = sorted(
                w.name for w in p.fleet.workers.values() if any(k[0] in running for k in w.tasks)
            )[:8]
            if how == "hang":
                p.hang(some, s)
            elif how in ("command", "answer"):
                p.fleet.held_do.update(dict.fromkeys(some, (p.now + s, how == "answer")))
            elif how == "deaf":
                p.deafen(some, s)
            else:
                for w in some:
                    for c in p.names:
                        p.net.cut(c, w, HOLD, s)
            at, sent = p.now, range(910 + 10 * wave, 918 + 10 * wave)
            for n in sent:  # they are sent to these machines, too
                p.tasks.start_soon(
                    p.submit, p.spec(n, gait="daemon" if n % 2 else "array", chicks=2, flightS=8.0)
                )
            for jid in running:
                p.tasks.start_soon(p.withdraw, jid)
            await anyio.sleep(0.6)
            for n in list(sent)[::3]:
                p.tasks.start_soon(p.withdraw, f"j-{n:06d}")
            await anyio.sleep(at + s + 4.0 - p.now)
            if without is None:
                assert not [
                    k
                    for w in p.fleet.workers.values()
                    for k in w.on_machine()
                    if k[0] in p.cancelled
                ]
        late.extend(
            x for x in p.starts_after_told() if x[1] > 0.5
        )  # what was on its way in that moment may still start
        await anyio.sleep(45.0 if without is not None else 8.0)
        assert len(p.cancelled) == 10 and not await p.left_waiting(30.0)

    late: list[Any] = []
    try:
        play(scene, machines=12)
        found = ""
    except AssertionError as e:
        found = str(e)
    found += f"started late: {late}" if late else ""
    assert rule in found if rule else not found, found


# -- jobs bound to a zone lose machines, more work than room, slow links ---------------------------


def only_its_own_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new source counts for a job's zones only what it has started itself."""
    real = JobSource.zone_limits

    def zone_room(self: JobSource, js: JobState) -> Any:
        before = js.allocations_per_zone
        mine = [e.zone for e in js.allocations.values() if e.attempt >> ATTEMPT_BITS == self.epoch]
        js.allocations_per_zone = {z: mine.count(z) for z in mine}
        found = real(self, js)
        js.allocations_per_zone = before
        return found

    monkeypatch.setattr(JobSource, "zone_limits", zone_room)


def by_the_letter(monkeypatch: pytest.MonkeyPatch) -> None:
    """Who may stop whom is a circle: by rank what is within a guarantee, by guarantee what has the higher rank."""
    real = PreemptionPlanner.may_preempt
    monkeypatch.setattr(
        PreemptionPlanner, "may_preempt", lambda self, w, c: real(self, w, (*c[:4], False))
    )


@pytest.mark.parametrize(
    ("seed", "room", "without", "rule"),
    [
        (2, False, None, ""),
        (3, False, None, ""),
        (3, True, None, ""),
        (2, False, by_the_letter, "to and fro"),
    ],
)
def test_jobs_bound_to_one_zone_lose_machines_while_there_is_more_work_than_room_over_slow_links(
    seed: int, room: bool, without: Any, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Gangs and arrays, bound together or to a named zone; machines are taken, cut off and hang, the leader changes.

    No task begins outside its zone; all of it ends; what has room does not wait; nothing is stopped for others again and again.
    """
    if without is not None:
        without(monkeypatch)
    stopped: list[int] = []

    async def scene(p: SimulatedCluster) -> None:
        if not room:
            p.fleet.most = len(p.fleet.machines)  # and what is taken is not to be had again
        n = 900
        bound: list[tuple[str, dict[str, Any]]] = [
            ("array", {"together": True}),
            ("array", {"marsh": "a"}),
        ]
        for gait, kw in [*bound, ("group", {"together": True}), ("group", {"marsh": "b"})]:
            for rank, chicks in (("normal", 4), ("best_effort", 3)):
                flight = 25.0 if rank == "normal" else 6.0
                await p.submit(p.spec(n, gait=gait, chicks=chicks, rank=rank, flightS=flight, **kw))
                n += 1
        await anyio.sleep(5.0)
        for a in p.names:
            for b in (*p.names, *p.workers):
                if a != b:
                    p.net.cut(a, b, SLOW, 25.0)
        for i in range(6):
            p.tasks.start_soon(
                p.submit,
                p.spec(
                    n + i, gait="array", chicks=6, rank=("urgent", "normal")[i % 2], flightS=5.0
                ),
            )
        for i in range(2):
            p.tasks.start_soon(
                p.submit,
                p.spec(
                    n + 6 + i, gait="group", chicks=4, rank="urgent", together=True, flightS=5.0
                ),
            )
        await anyio.sleep(3.0)
        busy = [
            w.name
            for w in p.fleet.workers.values()
            if any(900 <= int(k[0][2:]) < n for k in w.tasks)
        ]
        taken = next(
            w.name for w in p.fleet.workers.values() if any(k[0] == "j-000900" for k in w.tasks)
        )
        busy.remove(taken)
        p.fleet.machines.pop(taken)[2].cancel()
        for w in busy[:2]:
            for c in p.names:
                p.net.cut(c, w, SILENT, 14.0)
        p.hang(busy[2:3], 7.0)
        shard = p.nodes["c0"].context.shard_map.team_shard["team-0"]
        p.tasks.start_soon(
            p.crash, next(n for n in p.names if shard in p.nodes[n].context.held_shards), 12.0
        )
        await anyio.sleep(25.0)
        with anyio.move_on_after(100.0):
            while not all(p.served(j) for j in p.specs):
                await anyio.sleep(0.5)
        stopped.append(max(p.fleet.begun.values()))
        assert all(p.served(j) for j in p.specs), "all of it ends"

    try:
        play(scene, seed, machines=8)
        found = "" if stopped[0] <= 6 else f"to and fro: a task was started {stopped[0]} times"
    except AssertionError as e:
        found = str(e)
    assert rule in found if rule else not found, found


@pytest.mark.parametrize(
    ("how", "without"), [("taken", None), ("cut", None), ("taken", only_its_own_starts)]
)
def test_an_array_that_keeps_together_loses_a_machine_as_its_source_ends_and_only_another_zone_has_room(
    how: str, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What is not proved gone holds its zone, under the new source as well."""
    if without is not None:
        without(monkeypatch)
    zones: set[str] = set()

    async def scene(p: SimulatedCluster) -> None:
        p.fleet.most = len(p.fleet.machines)
        await p.submit(p.spec(900, gait="array", chicks=6, flightS=30.0, together=True))
        await anyio.sleep(4.0)
        mine = {w.name: w.zone for w in p.fleet.workers.values() if w.tasks}
        zone = next(iter(mine.values()))
        for w in p.fleet.workers.values():  # the rest of its zone is taken
            if w.zone == zone:
                n = sum(1 for x in p.asked) + 900
                await p.submit(
                    p.spec(n, gait="daemon", chicks=int(4 - w.used()), marsh=zone)
                    if w.used() < 4
                    else p.spec(n, gait="array")
                )
        await anyio.sleep(4.0)
        shard = p.nodes["c0"].context.shard_map.team_shard["team-0"]
        p.tasks.start_soon(
            p.crash, next(n for n in p.names if shard in p.nodes[n].context.held_shards), 12.0
        )
        lost = min(mine)
        if how == "taken":
            p.fleet.machines.pop(lost)[2].cancel()
        else:
            for c in p.names:
                p.net.cut(c, lost, SILENT, 14.0)
        await anyio.sleep(20.0)
        zones.update(
            w.zone for w in p.fleet.workers.values() for k in w.on_machine() if k[0] == "j-000900"
        )
        with anyio.fail_after(90.0):
            while not p.served("j-000900"):
                await anyio.sleep(0.5)

    try:
        play(scene, machines=6)
        found = ""
    except AssertionError as e:
        found = str(e)
    assert "wrong_place" in found if without is not None else not found and len(zones) == 1, found


# -- a zone cut off with its controller, a leader that only workers and users reach ---------------


def told_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Users are told of a cancellation as soon as it is written."""
    monkeypatch.setattr(CancellationBarrier, "may_acknowledge", lambda self, version, now: True)


def answers_from_an_old_copy(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whoever can't read the state service takes his copy for current."""
    monkeypatch.setattr(StoreWatch, "fresh_read", fresh_read_without_reading)


@pytest.mark.parametrize(
    ("how", "mode", "without", "rule"),
    [
        ("zone", HOLD, None, ""),
        ("zone", RESET, None, ""),
        ("leader", HOLD, None, ""),
        ("leader", RESET, None, ""),
        ("zone", RESET, told_at_once, "ran_cancelled"),
        ("leader", RESET, answers_from_an_old_copy, "forgotten"),
    ],
)
def test_work_goes_on_with_a_controller_that_is_cut_off_while_jobs_are_cancelled_through_the_others(
    how: str, mode: str, without: Any, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """For six leases (10 s; `cancel_s` 35 s), with close looks: nothing older is told, what is cancelled is gone in time.

    In the zone nothing loses its lease; nothing starts after the telling; afterwards nothing is left waiting.
    """
    if without is not None:
        without(monkeypatch)

    async def scene(p: SimulatedCluster) -> None:
        for n in range(900, 908):
            await p.submit(p.spec(n, gait="daemon", chicks=2, marsh=("a", "b", None)[n % 3]))
        p.tasks.start_soon(p.flow, 90.0, 3.0)
        await anyio.sleep(6.0)
        p.tasks.start_soon(p.close_looks, 90.0)
        if how == "zone":
            p.cut_zone("b", mode, 60.0)
        else:
            for other in ("state", "c1", "c2"):
                p.net.cut("c0", other, mode, 60.0)
        for n in range(900, 904):
            p.tasks.start_soon(p.withdraw, f"j-{n:06d}", ("c1" if how == "leader" else "c0"))
        await anyio.sleep(12.0)
        if how == "zone":
            assert any(w.zone == "b" and w.on_machine() for w in p.fleet.workers.values())
        await anyio.sleep(70.0)
        assert (
            p.cancelled.keys() >= {f"j-{n:06d}" for n in range(900, 904)}
            and not p.starts_after_told()
        )
        assert p.fleet.killed_by_lease == 0
        assert not await p.left_waiting(60.0)
        assert not await p.all_answered(30.0)

    found = ""
    try:
        play(scene, machines=9)
    except AssertionError as e:
        found = str(e)
    assert rule in found if rule else not found, found


@pytest.mark.parametrize("seed", [5002])
def test_machines_of_all_kinds_of_trouble_in_drawn_days(seed: int) -> None:
    """Nothing is left waiting at the end of any drawn day.

    More by `python -m tests.simulation.fault_schedules --only mute --only hang ...`.
    """
    meet(seed, (*MACHINES, "crash", "alone", "late_writes"))


# -- lost without a rule broken: what keeps workers from being answered ----------------------------


class Never(dict[int, int]):
    """No claim of unknown outcome is held: each is made again."""

    def get(self, key: int, default: Any = None) -> Any:
        return 1 << 62


class Forgets(dict[int, int]):
    """Which epochs this process has held already is forgotten."""

    def get(self, key: int, default: Any = None) -> Any:
        return 0


@pytest.mark.parametrize(
    ("lost", "late", "without", "fault"),
    [
        (0.5, 0.0, None, ""),
        (0.0, 0.6, None, ""),
        (0.5, 0.0, Never, "claimed again"),
        (0.0, 0.6, Forgets, "held twice"),
    ],
)
def test_a_claim_whose_answer_is_lost_is_held_at_once_and_no_epoch_is_held_twice(
    lost: float, late: float, without: Any, fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All three controllers end one after another, with answers of the state service lost, or with writes carried out late."""
    real, real_take = ShardLeases.__init__, ShardRoles.acquire
    taken: list[tuple[str, int, int]] = []

    def init(self: ShardLeases, *a: Any, **kw: Any) -> None:
        real(self, *a, **kw)
        if without is not None:
            self.epochs = without()

    def take(self: ShardRoles, shard: int, epoch: int) -> None:
        taken.append((self.context.settings.name, shard, epoch))
        real_take(self, shard, epoch)

    monkeypatch.setattr(ShardLeases, "__init__", init)
    monkeypatch.setattr(ShardRoles, "acquire", take)
    claims: list[int] = []

    async def scene(p: SimulatedCluster) -> None:
        for n in range(900, 904):
            await p.submit(p.spec(n, gait="daemon", chicks=4))
        await anyio.sleep(4.0)
        p.lost_answers, p.late_writes = lost, late
        for i, name in enumerate(p.names):
            p.tasks.start_soon(p.crash, name, 0.3 if i else 8.0)
            await anyio.sleep(10.0)
        await anyio.sleep(20.0)
        p.lost_answers = p.late_writes = 0.0
        claims.append(p.claims())
        await anyio.sleep(45.0)

    found = ""
    for seed in (3, 4):
        taken.clear()
        claims.clear()
        with contextlib.suppress(AssertionError):
            if without is not None:
                play(scene, seed, machines=9)
        if without is None:
            play(scene, seed, machines=9)
        found += "claimed again " * (lost > 0 and claims[0] > 6) + "held twice " * (
            len(set(taken)) < len(taken)
        )
    assert fault in found if fault else not found, found
