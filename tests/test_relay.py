"""What one controller can't reach is reached through another: the hard cases, each caused.

The rules are judged from the workers' side in every scene (`play` fails where one is broken). Where a guard of ours is what
keeps a rule, the same scene is played without it and has to break.
"""

from __future__ import annotations

import contextlib
from dataclasses import replace
from random import Random
from typing import Any

import anyio
import orjson
import pytest

from ploverhall import settings
from ploverhall.controller.agent_commands import AgentCommands
from ploverhall.controller.heartbeat_requests import HeartbeatRequests
from ploverhall.controller.relay import Relay, ResponseWaiter
from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.errors import RelayRefusedError, UnreachableError
from ploverhall.protocol import relay_messages
from ploverhall.transport.http_server import Reply

from .removed_guards import fresh_read_without_reading
from .scenarios import start_background_load
from .simulation import cluster
from .simulation.cluster import HOLD, RESET, SILENT, SimulatedCluster, play
from .simulation.fakes import unguarded


@pytest.mark.parametrize("mode", [SILENT, HOLD, RESET, "503"])
def test_without_the_state_service_work_goes_on_through_another(mode: str) -> None:
    async def scene(p: SimulatedCluster) -> None:
        at = await start_background_load(p)
        if mode == "503":
            p.refused.add("c0")
        else:
            p.net.cut("c0", "state", mode, 25.0)
        await anyio.sleep(25.0)
        p.refused.clear()
        await anyio.sleep(20.0)
        assert p.claims() == 0 and p.fleet.killed_by_lease == 0
        assert p.longest_pause(at, at + 30.0) < 2.5 and p.slowest_accepted() < 2.5
        assert p.nodes["c0"].store_service.health.healthy, "the own link is trusted again"
        assert (
            p.nodes["c1"].relay.pending.relayed_count + p.nodes["c2"].relay.pending.relayed_count
            > 20
        )

    play(scene)


@pytest.mark.parametrize("mode", [SILENT, HOLD, RESET])
def test_without_the_workers_they_are_answered_through_another_and_come_home(mode: str) -> None:
    async def scene(p: SimulatedCluster) -> None:
        at = await start_background_load(p)
        p.cut_workers("c0", mode, 25.0)
        await anyio.sleep(20.0)
        assert p.nodes["c0"].agent_commands.failback.relayed_agents, "nobody came the other way"
        await anyio.sleep(25.0)
        assert (
            p.claims() == 0
            and p.fleet.killed_by_lease == 0
            and p.longest_pause(at, at + 30.0) < 4.0
        )
        assert not p.nodes["c0"].agent_commands.failback.relayed_agents and not p.nodes[
            "c0"
        ].agent_commands.unreachable_shards(p.now), "all are home again"

    play(scene)


@pytest.mark.parametrize(
    ("mode", "tries"), [(SILENT, True), (RESET, True), (SILENT, False), (RESET, False)]
)
def test_a_home_whose_workers_do_not_reach_it_gets_no_part_back(
    mode: str, tries: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It can't tell by itself while it holds nothing: 769 tasks were killed. And if it gets the part all the same, it is carried."""
    if not tries:

        async def believes(self: AgentCommands, member: str, owner: Any) -> bool:
            return True

        monkeypatch.setattr(AgentCommands, "reachable_from", believes)

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 90.0)
        await p.crash("c0", 7.0)
        p.cut_workers("c0", mode, 35.0)
        assert p.claims() == 1
        await anyio.sleep(30.0)
        assert (p.claims() == 1) == tries, "it got its part back while no worker reached it"
        await anyio.sleep(30.0)
        assert p.claims() == 2 and p.fleet.killed_by_lease == 0

    play(scene)


def test_over_two_members_where_no_single_one_has_both_links() -> None:
    """c0 reaches neither the state service nor c2; c1 reaches both of them, but not the state service."""

    async def scene(p: SimulatedCluster) -> None:
        at = await start_background_load(p)
        for a, b in (("c0", "state"), ("c1", "state"), ("c0", "c2")):
            p.net.cut(a, b, HOLD, 25.0)
        await anyio.sleep(45.0)
        assert (
            p.claims() == 0
            and p.fleet.killed_by_lease == 0
            and p.longest_pause(at, at + 30.0) < 4.0
        )

    play(scene)


def test_reports_over_two_members() -> None:
    """c0's workers reach only c2, and c2 can't speak with c0: c1 stands in between."""

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p)
        p.cut_workers("c0", SILENT, 30.0)
        p.cut_workers("c1", RESET, 30.0)
        p.net.cut("c0", "c2", SILENT, 30.0)
        await anyio.sleep(55.0)
        assert p.claims() == 0 and p.fleet.killed_by_lease == 0

    play(scene)


@pytest.mark.parametrize("seed", range(3))
def test_the_carrier_crashes_or_is_cut_itself(seed: int) -> None:
    """At moments drawn, for both kinds of cut: while a third can carry, nothing is killed by its lease."""

    async def scene(p: SimulatedCluster) -> None:
        rng = Random(seed)
        await start_background_load(p, 80.0)
        p.net.cut("c0", "state", HOLD, 45.0)
        p.cut_workers("c0", rng.choice([SILENT, HOLD, RESET]), 45.0)
        for _ in range(3):
            await anyio.sleep(8.0 + 4.0 * rng.random())
            carrier = rng.choice(["c1", "c2"])
            if rng.random() < 0.5:
                p.tasks.start_soon(p.crash, carrier, 1.0)
            else:
                p.net.cut(carrier, "state", rng.choice([HOLD, RESET]), 6.0)
        await anyio.sleep(40.0)
        assert p.fleet.killed_by_lease == 0
        assert all(a.accepted is not None for a in p.asked.values())

    play(scene, seed)


def test_what_is_carried_twice_happens_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every question is put twice: the second transaction fails its guards, the second answer is to no open question."""
    real = Relay.serve

    async def twice(self: Relay, by: str, q: relay_messages.RelayRequest) -> None:
        async with anyio.create_task_group() as tg:
            tg.start_soon(real, self, by, q)
            if self.pending.begin_work(by, q.kind):
                tg.start_soon(real, self, by, q)

    monkeypatch.setattr(Relay, "serve", twice)

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 40.0)
        p.net.cut("c0", "state", HOLD, 20.0)
        p.cut_workers("c0", HOLD, 20.0)
        await anyio.sleep(60.0)
        assert p.fleet.killed_by_lease == 0
        assert not [k for k in p.state.store.permits() if k.split("/")[1] not in p.services()], (
            "permits left over"
        )

    play(scene)


def test_a_carrier_that_stands_still_for_longer_than_a_lease() -> None:
    """All its links are held, and deliver minutes' worth at once when it goes on: questions, answers, reports, transactions."""

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 80.0)
        p.net.cut("c0", "state", HOLD, 40.0)
        p.cut_workers("c0", HOLD, 40.0)
        await anyio.sleep(10.0)
        for other in ("c0", "c2", "state", "cloud", "user", *p.fleet.workers):
            p.net.cut("c1", other, HOLD, 16.0)
        await anyio.sleep(70.0)
        assert all(a.accepted is not None for a in p.asked.values())

    play(scene)


@pytest.mark.parametrize("guarded", [True, False])
def test_an_answer_that_was_carried_counts_as_an_answer(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An owner that counted only what came by itself would hold its workers for dead while they live on through another.

    The argument: whichever way an answer takes, the worker's lease counts from when it *sent* the report, which was before the
    owner had it; so silence is counted from the owner's receipt of any report, and a carried answer renews nothing for longer.
    """
    if not guarded:
        real = HeartbeatRequests._answer_held

        def deaf(self: HeartbeatRequests, held: Any, r: Any, **kw: Any) -> tuple[Reply, Any]:
            m = held.owner.machines.get(r.machine)
            before = (m.last_heartbeat_at, m.last_answer_at) if m is not None else None
            reply, now = real(self, held, r, **kw)
            if (
                before is not None
                and now is not None
                and self.agent_commands.failback.relayed_agents.get(r.machine) is not None
            ):
                now.last_heartbeat_at, now.last_answer_at = before
            return reply, now

        monkeypatch.setattr(HeartbeatRequests, "_answer_held", deaf)

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 40.0)
        p.cut_workers("c0", SILENT, 35.0)
        await anyio.sleep(60.0)

    if guarded:
        play(scene)
    else:
        with pytest.raises(AssertionError, match="ran_twice"):
            play(scene)


@pytest.mark.parametrize("guarded", [True, False])
def test_a_carried_write_that_lands_after_another_has_claimed(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """c1 takes a write of c0's and gives no answer; c0's part is taken, its new holder starts replicas, and then the write lands."""
    if not guarded:
        monkeypatch.setattr(*unguarded("p/shard/", "c/"))
    late: list[relay_messages.RelayRequest] = []

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 6.0)
        carried = p.nodes["c1"].store_service.serve_relayed

        async def swallows(by: str, q: relay_messages.RelayRequest) -> tuple[int, bytes]:
            if not late and q.target == "/multi" and b'"c/team-0/' in q.body:
                late.append(q)
                raise UnreachableError("held back")
            return await carried(by, q)

        p.nodes["c1"].relay.handlers[relay_messages.STORE] = swallows
        p.net.cut("c0", "state", SILENT, 30.0)
        p.net.cut("c0", "c2", SILENT, 30.0)
        await anyio.sleep(2.0)
        p.tasks.start_soon(p.submit, p.spec(903, gait="daemon", chicks=1), "c1")
        while not late:
            await anyio.sleep(0.01)
        p.net.cut("c0", "c1", SILENT, 28.0)
        while not p.claims():
            await anyio.sleep(0.1)
        await p.submit(p.spec(906, gait="daemon", chicks=4), "c2")
        await anyio.sleep(5.0)
        status, _ = await p.nodes["c1"].store_service.client.call(
            "POST", "/multi", orjson.loads(late[0].body)
        )
        assert status == (409 if guarded else 200)
        holder = next(n for n in p.names if 0 in p.nodes[n].context.held_shards and n != "c0")
        await p.crash(holder, 8.0)  # whoever takes over reads what the late write has left
        await anyio.sleep(40.0)

    if guarded:
        play(scene, teams=3)
    else:
        with pytest.raises(AssertionError, match="ran_twice"):
            play(scene, teams=3)


def test_a_carried_renewal_that_comes_late_keeps_no_shard_for_two() -> None:
    """Renewals of c0 are held back on c1's link: its lease ends or lives, and each shard has one holder by the store."""

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 60.0)
        p.net.cut("c0", "state", SILENT, 40.0)
        for _ in range(5):
            await anyio.sleep(3.0)
            p.net.cut("c1", "state", HOLD, 3.5)
            p.net.cut("c2", "state", HOLD, 3.0)
        await anyio.sleep(60.0)
        for shard in range(3):
            assert sum(1 for n in p.nodes.values() if shard in n.context.held_shards) == 1

    play(scene)


@pytest.mark.parametrize("guarded", [True, False])
def test_a_carried_read_is_no_older_than_the_question(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A job that was accepted elsewhere a moment ago is known at a controller that reads through another: no 404."""
    if not guarded:
        monkeypatch.setattr(StoreWatch, "fresh_read", fresh_read_without_reading)
    lost: list[int] = []

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 5.0)
        p.net.cut("c0", "state", RESET, 30.0)
        await anyio.sleep(3.0)
        for n in range(500, 540):
            await p.submit(p.spec(n, gait="array"), "c1")
            status, _ = await p.users["c0"].call("GET", f"/api/jobs/j-{n:06d}", None, 5.0)
            lost.extend([n] if status == 404 else [])

    play(scene)
    assert bool(lost) != guarded


def test_an_answer_to_an_earlier_life_is_no_answer() -> None:
    """A controller that starts anew counts its questions from the beginning; what comes late was for another."""

    async def scene(p: SimulatedCluster) -> None:
        await anyio.sleep(2.0)
        c0 = p.nodes["c0"].relay
        number = c0.pending.open_request("c1", p.now + 5.0)
        assert number is not None
        c0.response_waiters[number] = ResponseWaiter()
        mine = relay_messages.RelayResponse(c0.pending.incarnation, number, 200, False, b"{}")
        for wrong, by in (
            (mine._replace(incarnation="before"), "c1"),
            (mine, "c2"),
            (mine._replace(number=number + 1), "c1"),
        ):
            c0.deliver(by, relay_messages.encode(relay_messages.RESPONSE, 1, wrong))
        assert not c0.response_waiters[number].responses
        c0.deliver("c1", relay_messages.encode(relay_messages.RESPONSE, 1, mine))
        c0.deliver("c1", relay_messages.encode(relay_messages.RESPONSE, 1, mine))
        assert c0.response_waiters[number].responses == [mine]

    play(scene)


def test_who_is_behind_with_its_own_work_carries_nothing() -> None:
    async def scene(p: SimulatedCluster) -> None:
        await anyio.sleep(2.0)
        c0, c1 = p.nodes["c0"].relay, p.nodes["c1"].relay

        async def read() -> int:
            return (
                await c0.send(
                    "c1", relay_messages.STORE, timeout=1.0, method="GET", target="/kv/p/renter"
                )
            )[0]

        assert await read() == 200
        c1.scheduling_lag = lambda: 0.7
        with pytest.raises(RelayRefusedError):
            await read()

    play(scene)


def test_the_carriers_own_requests_come_first() -> None:
    """Who asks for more than its share through another is refused at once, and the other's own work is not late."""

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 40.0)
        p.net.cut("c0", "state", RESET, 30.0)
        p.net.cut("c0", "c2", RESET, 30.0)
        await anyio.sleep(3.0)
        c0 = p.nodes["c0"].relay
        got: list[int] = []

        async def read() -> None:
            with contextlib.suppress(Exception):
                got.append(
                    (
                        await c0.send(
                            "c1",
                            relay_messages.STORE,
                            timeout=1.0,
                            method="GET",
                            target="/kv/p/renter",
                        )
                    )[0]
                )

        async with anyio.create_task_group() as tg:
            for _ in range(250):
                tg.start_soon(read)
        assert 0 < len(got) < 250 and p.nodes["c1"].relay.pending.refused_count > 0
        begun = p.now
        await p.submit(p.spec(800, gait="array"), "c1")
        assert p.now - begun < 0.2 and p.nodes["c1"].context.store.requests.available() > 0

    play(scene)


@pytest.mark.parametrize("guarded", [True, False])
def test_a_cancellation_while_one_reaches_only_its_workers_and_one_peer(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It reads through that peer, so it hears of it, and its user is told at once; nobody's word is taken for its reading."""
    if not guarded:  # no carrying, and no waiting for its word
        monkeypatch.setattr(CancellationBarrier, "may_acknowledge", lambda self, version, now: True)
    options = settings.Options(carry=guarded, cut_off_s=120.0)

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 2.0)
        p.net.cut("c0", "state", SILENT, 90.0)
        p.net.cut("c0", "c2", SILENT, 90.0)
        if not guarded:
            p.net.cut("c0", "c1", SILENT, 90.0)
            for w in p.fleet.workers:
                for other in ("c1", "c2"):
                    p.net.cut(w, other, SILENT, 90.0)
        await anyio.sleep(3.0)
        begun = p.now
        for n in (900, 901, 902):
            p.tasks.start_soon(p.withdraw, f"j-{n:06d}")
        await anyio.sleep(80.0)
        if guarded:
            assert len(p.cancelled) == 3 and max(p.cancelled.values()) - begun < 3.0

    if guarded:
        play(scene, options=options)
    else:
        with pytest.raises(AssertionError, match="ran_cancelled"):
            play(scene, options=options)


@pytest.mark.parametrize("seed", range(3))
def test_each_of_three_is_cut_from_something_else(seed: int) -> None:
    """And two that each reach one half: c0 has no state service, c1 no workers, c2 no c0; and the cuts end apart from each other."""

    async def scene(p: SimulatedCluster) -> None:
        rng = Random(seed)
        await start_background_load(p, 60.0)
        p.net.cut("c0", "state", rng.choice([HOLD, RESET]), 20.0 + 10 * rng.random())
        p.cut_workers("c1", rng.choice([HOLD, SILENT, RESET]), 20.0 + 10 * rng.random())
        p.net.cut("c2", "c0", rng.choice([HOLD, RESET, SILENT]), 20.0 + 10 * rng.random())
        await anyio.sleep(60.0)
        assert p.fleet.killed_by_lease == 0 and p.claims() == 0

    play(scene, seed)


def test_a_cut_ends_while_a_carried_answer_is_held_back() -> None:
    """c1's answers to c0 lie in the network until long after c0 has its own link again."""

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 60.0)
        p.net.cut("c0", "state", HOLD, 15.0)
        p.cut_workers("c0", HOLD, 15.0)
        await anyio.sleep(8.0)
        p.net.cut("c1", "c0", HOLD, 20.0, both=False)
        await anyio.sleep(60.0)
        assert all(a.accepted is not None for a in p.asked.values())

    play(scene)


@pytest.mark.parametrize("older", [("c1", "c2"), ("c0",), ("c1",)])
def test_an_older_release_that_can_not_carry(
    older: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    """It says nothing of it and is asked nothing; what can't be carried moves, as it did before."""
    real = Relay.collect

    def collect(self: Relay, node: str, now: float) -> list[Any]:
        return [] if self.context.settings.name in older else real(self, node, now)

    monkeypatch.setattr(Relay, "collect", collect)

    async def scene(p: SimulatedCluster) -> None:
        for name in older:
            p.nodes[name].relay.deliver = lambda node, message: None  # type: ignore[method-assign]
            node = p.nodes[name].context
            node.settings = replace(
                node.settings, options=replace(node.settings.options, carry=False)
            )
        await start_background_load(p, 70.0)
        p.net.cut("c0", "state", HOLD, 20.0)
        await anyio.sleep(35.0)
        assert (p.claims() == 0) == (older == ("c1",)), p.claims()
        p.cut_workers("c0", HOLD, 20.0)
        await anyio.sleep(45.0)
        assert all(a.accepted is not None for a in p.asked.values())

    play(scene)


@pytest.mark.parametrize("seed", range(5))
def test_pairs_and_triples_of_cuts(seed: int) -> None:
    """Any two or three links or bundles of links, in any mode, overlapping: every rule holds, and all work goes on afterwards."""

    async def scene(p: SimulatedCluster) -> None:
        rng = Random(1000 + seed)
        await start_background_load(p, 70.0)
        for _ in range(rng.choice([2, 3])):
            name, mode, s = (
                rng.choice(p.names),
                rng.choice(cluster.MODES),
                6.0 + 20.0 * rng.random(),
            )
            kind = rng.choice(["state", "state", "workers", "workers", "peer", "cloud"])
            if kind == "workers":
                p.cut_workers(name, mode, s, both=rng.random() < 0.7)
            else:
                other = kind if kind != "peer" else rng.choice([n for n in p.names if n != name])
                p.net.cut(name, other, mode, s, both=rng.random() < 0.7)
            await anyio.sleep(5.0 * rng.random())
        p.tasks.start_soon(p.withdraw, "j-000900")
        await anyio.sleep(75.0)
        assert "j-000900" in p.cancelled and all(a.accepted is not None for a in p.asked.values())
        assert sum(len(n.context.held_shards) for n in p.nodes.values()) == 3

    play(scene, seed)
