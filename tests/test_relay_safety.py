"""Relayed heartbeats, writes, reads and cancellations break no rule when late or duplicated.

Where a guard keeps a rule, the same scene also runs without the guard and has to break the rule.
"""

from __future__ import annotations

from typing import Any

import anyio
import orjson
import pytest

from ploverhall import settings
from ploverhall.controller.heartbeat_requests import HeartbeatRequests
from ploverhall.controller.relay import Relay
from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.errors import UnreachableError
from ploverhall.protocol import relay_messages
from ploverhall.transport.http_server import Reply

from .removed_guards import fresh_read_without_reading
from .scenarios import start_background_load
from .simulation.cluster import SimulatedCluster
from .simulation.fake_key_value_store import unguarded
from .simulation.scene import play
from .simulation.simulated_network import HOLD, RESET, SILENT


def test_request_relayed_twice_takes_effect_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every request is served twice.

    The second transaction fails its compare, and the second response matches no pending request.
    """
    real = Relay.serve

    async def serve_twice(self: Relay, by: str, request: relay_messages.RelayRequest) -> None:
        async with anyio.create_task_group() as tg:
            tg.start_soon(real, self, by, request)
            if self.pending.begin_work(by, request.kind):
                tg.start_soon(real, self, by, request)

    monkeypatch.setattr(Relay, "serve", serve_twice)

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster, 40.0)
        cluster.net.cut("c0", "state", HOLD, 20.0)
        cluster.cut_workers("c0", HOLD, 20.0)
        await anyio.sleep(60.0)
        assert cluster.fleet.killed_by_lease == 0
        assert not [
            k for k in cluster.state.store.permits() if k.split("/")[1] not in cluster.services()
        ], "permits left over"

    play(scene)


@pytest.mark.parametrize("guarded", [True, False])
def test_relayed_heartbeat_answer_counts_as_an_answer(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An owner that counted only direct answers would take relayed agents for dead.

    Whichever way an answer takes, the agent's lease counts from when it *sent* the heartbeat, which
    was before the owner received it. So the owner counts silence from its receipt of any heartbeat,
    and a relayed answer renews the lease for no longer than a direct one.
    """
    if not guarded:
        real = HeartbeatRequests._answer_held

        def answer_without_counting_relayed_contact(
            self: HeartbeatRequests, held: Any, r: Any, **kw: Any
        ) -> tuple[Reply, Any]:
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

        monkeypatch.setattr(
            HeartbeatRequests, "_answer_held", answer_without_counting_relayed_contact
        )

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster, 40.0)
        cluster.cut_workers("c0", SILENT, 35.0)
        await anyio.sleep(60.0)

    if guarded:
        play(scene)
    else:
        with pytest.raises(AssertionError, match="ran_twice"):
            play(scene)


@pytest.mark.parametrize("guarded", [True, False])
def test_relayed_write_that_lands_after_another_claim_fails(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """c1 accepts a write of c0 to relay, and does not answer.

    Another controller acquires the shard of c0 and starts replicas; then the write is executed.
    """
    if not guarded:
        monkeypatch.setattr(*unguarded("p/shard/", "c/"))
    late: list[relay_messages.RelayRequest] = []

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster, 6.0)
        real_serve_relayed = cluster.nodes["c1"].store_service.serve_relayed

        async def hold_back_first_write(
            by: str, request: relay_messages.RelayRequest
        ) -> tuple[int, bytes]:
            if not late and request.target == "/multi" and b'"c/team-0/' in request.body:
                late.append(request)
                raise UnreachableError("held back")
            return await real_serve_relayed(by, request)

        cluster.nodes["c1"].relay.handlers[relay_messages.STORE] = hold_back_first_write
        cluster.net.cut("c0", "state", SILENT, 30.0)
        cluster.net.cut("c0", "c2", SILENT, 30.0)
        await anyio.sleep(2.0)
        cluster.tasks.start_soon(cluster.submit, cluster.spec(903, gait="daemon", chicks=1), "c1")
        while not late:
            await anyio.sleep(0.01)
        cluster.net.cut("c0", "c1", SILENT, 28.0)
        while not cluster.claims():
            await anyio.sleep(0.1)
        await cluster.submit(cluster.spec(906, gait="daemon", chicks=4), "c2")
        await anyio.sleep(5.0)
        status, _ = await cluster.nodes["c1"].store_service.client.call(
            "POST", "/multi", orjson.loads(late[0].body)
        )
        assert status == (409 if guarded else 200)
        holder = next(
            n for n in cluster.names if 0 in cluster.nodes[n].context.held_shards and n != "c0"
        )
        await cluster.crash(holder, 8.0)  # the next holder reads what the late write has left
        await anyio.sleep(40.0)

    if guarded:
        play(scene, teams=3)
    else:
        with pytest.raises(AssertionError, match="ran_twice"):
            play(scene, teams=3)


def test_late_relayed_renewal_leaves_each_shard_one_holder() -> None:
    """Relayed renewals of c0 are delayed on the link of c1 to the store.

    Whether the lease of c0 expires or not, each shard has one holder.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster, 60.0)
        cluster.net.cut("c0", "state", SILENT, 40.0)
        for _ in range(5):
            await anyio.sleep(3.0)
            cluster.net.cut("c1", "state", HOLD, 3.5)
            cluster.net.cut("c2", "state", HOLD, 3.0)
        await anyio.sleep(60.0)
        for shard in range(3):
            assert sum(1 for n in cluster.nodes.values() if shard in n.context.held_shards) == 1

    play(scene)


@pytest.mark.parametrize("guarded", [True, False])
def test_relayed_read_is_not_older_than_its_request(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A controller that reads through a relay knows jobs that another has just accepted: no 404."""
    if not guarded:
        monkeypatch.setattr(StoreWatch, "fresh_read", fresh_read_without_reading)
    lost: list[int] = []

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster, 5.0)
        cluster.net.cut("c0", "state", RESET, 30.0)
        await anyio.sleep(3.0)
        for n in range(500, 540):
            await cluster.submit(cluster.spec(n, gait="array"), "c1")
            status, _ = await cluster.users["c0"].call("GET", f"/api/jobs/j-{n:06d}", None, 5.0)
            lost.extend([n] if status == 404 else [])

    play(scene)
    assert bool(lost) != guarded


@pytest.mark.parametrize("guarded", [True, False])
def test_cancellation_is_acknowledged_at_once_while_a_controller_reads_through_one_peer(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The controller reads the cancellation through that peer, so it is acknowledged at once.

    Gossip does not replace the controller's own read.
    """
    if not guarded:  # without a relay, and without waiting for the controller's gossip
        monkeypatch.setattr(CancellationBarrier, "may_acknowledge", lambda self, version, now: True)
    options = settings.Options(carry=guarded, cut_off_s=120.0)

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster, 2.0)
        cluster.net.cut("c0", "state", SILENT, 90.0)
        cluster.net.cut("c0", "c2", SILENT, 90.0)
        if not guarded:
            cluster.net.cut("c0", "c1", SILENT, 90.0)
            for w in cluster.fleet.workers:
                for other in ("c1", "c2"):
                    cluster.net.cut(w, other, SILENT, 90.0)
        await anyio.sleep(3.0)
        begun = cluster.now
        for n in (900, 901, 902):
            cluster.tasks.start_soon(cluster.withdraw, f"j-{n:06d}")
        await anyio.sleep(80.0)
        if guarded:
            assert len(cluster.cancelled) == 3 and max(cluster.cancelled.values()) - begun < 3.0

    if guarded:
        play(scene, options=options)
    else:
        with pytest.raises(AssertionError, match="ran_cancelled"):
            play(scene, options=options)
