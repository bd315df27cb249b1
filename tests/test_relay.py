"""Partitioned links: peers relay the requests that a controller can't send itself; work goes on.

Every scene checks the rules from the agents' side (`play` fails where one is broken).
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import anyio
import pytest

from ploverhall.controller.agent_commands import AgentCommands
from ploverhall.controller.relay import Relay

from .scenarios import start_background_load
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.simulated_network import HOLD, MODES, RESET, SILENT


@pytest.mark.parametrize("mode", [SILENT, HOLD, RESET, "503"])
def test_controller_cut_from_the_state_service_works_through_a_relay(mode: str) -> None:
    async def scene(cluster: SimulatedCluster) -> None:
        at = await start_background_load(cluster)
        if mode == "503":
            cluster.refused.add("c0")
        else:
            cluster.net.cut("c0", "state", mode, 25.0)
        await anyio.sleep(25.0)
        cluster.refused.clear()
        await anyio.sleep(20.0)
        assert cluster.claims() == 0 and cluster.fleet.killed_by_lease == 0
        assert cluster.longest_pause(at, at + 30.0) < 2.5 and cluster.slowest_accepted() < 2.5
        assert cluster.nodes["c0"].store_service.health.healthy, (
            "the controller uses its own link again"
        )
        assert (
            cluster.nodes["c1"].relay.pending.relayed_count
            + cluster.nodes["c2"].relay.pending.relayed_count
            > 20
        )

    play(scene)


@pytest.mark.parametrize("mode", [SILENT, HOLD, RESET])
def test_agents_cut_from_their_controller_are_relayed_and_fail_back(mode: str) -> None:
    async def scene(cluster: SimulatedCluster) -> None:
        at = await start_background_load(cluster)
        cluster.cut_workers("c0", mode, 25.0)
        await anyio.sleep(20.0)
        assert cluster.nodes["c0"].agent_commands.failback.relayed_agents, "no agent was relayed"
        await anyio.sleep(25.0)
        assert (
            cluster.claims() == 0
            and cluster.fleet.killed_by_lease == 0
            and cluster.longest_pause(at, at + 30.0) < 4.0
        )
        assert not cluster.nodes["c0"].agent_commands.failback.relayed_agents and not cluster.nodes[
            "c0"
        ].agent_commands.unreachable_shards(cluster.now), "all agents have failed back"

    play(scene)


@pytest.mark.parametrize(
    ("mode", "tries"), [(SILENT, True), (RESET, True), (SILENT, False), (RESET, False)]
)
def test_preferred_controller_its_agents_cannot_reach_gets_no_shard_back(
    mode: str, tries: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A controller without a shard can't tell that agents don't reach it: 769 tasks were killed.

    If it gets the shard nevertheless, its agents are relayed.
    """
    if not tries:

        async def reachable_without_check(self: AgentCommands, member: str, owner: Any) -> bool:
            return True

        monkeypatch.setattr(AgentCommands, "reachable_from", reachable_without_check)

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster, 90.0)
        await cluster.crash("c0", 7.0)
        cluster.cut_workers("c0", mode, 35.0)
        assert cluster.claims() == 1
        await anyio.sleep(30.0)
        assert (cluster.claims() == 1) == tries, (
            "c0 must get its shard back only once its agents can reach it"
        )
        await anyio.sleep(30.0)
        assert cluster.claims() == 2 and cluster.fleet.killed_by_lease == 0

    play(scene)


def test_requests_are_relayed_over_two_peers_where_no_single_one_has_both_links() -> None:
    """c0 reaches neither the store nor c2; c1 reaches c0 and c2, but not the store."""

    async def scene(cluster: SimulatedCluster) -> None:
        at = await start_background_load(cluster)
        for a, b in (("c0", "state"), ("c1", "state"), ("c0", "c2")):
            cluster.net.cut(a, b, HOLD, 25.0)
        await anyio.sleep(45.0)
        assert (
            cluster.claims() == 0
            and cluster.fleet.killed_by_lease == 0
            and cluster.longest_pause(at, at + 30.0) < 4.0
        )

    play(scene)


def test_heartbeats_are_relayed_over_two_peers() -> None:
    """The agents of c0 reach only c2, and c2 can't reach c0: c1 relays between them."""

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster)
        cluster.cut_workers("c0", SILENT, 30.0)
        cluster.cut_workers("c1", RESET, 30.0)
        cluster.net.cut("c0", "c2", SILENT, 30.0)
        await anyio.sleep(55.0)
        assert cluster.claims() == 0 and cluster.fleet.killed_by_lease == 0

    play(scene)


@pytest.mark.parametrize("seed", range(3))
def test_relay_that_crashes_or_is_partitioned_expires_no_lease(seed: int) -> None:
    """No task loses its lease while a third controller can relay.

    The relay crashes or is cut from the store at random times; c0 is cut from the store and from
    its agents.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        rng = Random(seed)
        await start_background_load(cluster, 80.0)
        cluster.net.cut("c0", "state", HOLD, 45.0)
        cluster.cut_workers("c0", rng.choice([SILENT, HOLD, RESET]), 45.0)
        for _ in range(3):
            await anyio.sleep(8.0 + 4.0 * rng.random())
            relay = rng.choice(["c1", "c2"])
            if rng.random() < 0.5:
                cluster.tasks.start_soon(cluster.crash, relay, 1.0)
            else:
                cluster.net.cut(relay, "state", rng.choice([HOLD, RESET]), 6.0)
        await anyio.sleep(40.0)
        assert cluster.fleet.killed_by_lease == 0
        assert all(a.accepted is not None for a in cluster.asked.values())

    play(scene, seed)


def test_relay_stalled_for_longer_than_a_lease_breaks_no_rule() -> None:
    """All links of the relay hold their messages back, and deliver them at once in the end.

    These are the requests, answers, heartbeats and transactions of 16 s.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster, 80.0)
        cluster.net.cut("c0", "state", HOLD, 40.0)
        cluster.cut_workers("c0", HOLD, 40.0)
        await anyio.sleep(10.0)
        for other in ("c0", "c2", "state", "cloud", "user", *cluster.fleet.workers):
            cluster.net.cut("c1", other, HOLD, 16.0)
        await anyio.sleep(70.0)
        assert all(a.accepted is not None for a in cluster.asked.values())

    play(scene)


@pytest.mark.parametrize("seed", range(3))
def test_three_controllers_with_different_partitions_keep_their_shards(seed: int) -> None:
    """c0 is cut from the state service, c1 from its agents, and c2 from c0.

    The cuts end at different times.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        rng = Random(seed)
        await start_background_load(cluster, 60.0)
        cluster.net.cut("c0", "state", rng.choice([HOLD, RESET]), 20.0 + 10 * rng.random())
        cluster.cut_workers("c1", rng.choice([HOLD, SILENT, RESET]), 20.0 + 10 * rng.random())
        cluster.net.cut("c2", "c0", rng.choice([HOLD, RESET, SILENT]), 20.0 + 10 * rng.random())
        await anyio.sleep(60.0)
        assert cluster.fleet.killed_by_lease == 0 and cluster.claims() == 0

    play(scene, seed)


def test_partition_that_ends_while_a_relayed_answer_is_delayed_loses_no_job() -> None:
    """Answers of c1 to c0 stay in the network until long after c0 has its own link again."""

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster, 60.0)
        cluster.net.cut("c0", "state", HOLD, 15.0)
        cluster.cut_workers("c0", HOLD, 15.0)
        await anyio.sleep(8.0)
        cluster.net.cut("c1", "c0", HOLD, 20.0, both=False)
        await anyio.sleep(60.0)
        assert all(a.accepted is not None for a in cluster.asked.values())

    play(scene)


@pytest.mark.parametrize("older", [("c1", "c2"), ("c0",), ("c1",)])
def test_shard_moves_where_an_older_release_cannot_relay(
    older: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A controller of an older release offers no relay and is asked for none.

    A shard that can't be relayed moves, as it did before relays existed.
    """
    real = Relay.collect

    def collect(self: Relay, node: str, now: float) -> list[Any]:
        return [] if self.context.settings.name in older else real(self, node, now)

    monkeypatch.setattr(Relay, "collect", collect)

    async def scene(cluster: SimulatedCluster) -> None:
        for name in older:
            cluster.nodes[name].relay.deliver = lambda node, message: None  # type: ignore[method-assign]
            node = cluster.nodes[name].context
            node.settings = replace(
                node.settings, options=replace(node.settings.options, carry=False)
            )
        await start_background_load(cluster, 70.0)
        cluster.net.cut("c0", "state", HOLD, 20.0)
        await anyio.sleep(35.0)
        assert (cluster.claims() == 0) == (older == ("c1",)), cluster.claims()
        cluster.cut_workers("c0", HOLD, 20.0)
        await anyio.sleep(45.0)
        assert all(a.accepted is not None for a in cluster.asked.values())

    play(scene)


@pytest.mark.parametrize("seed", range(5))
def test_two_or_three_overlapping_partitions_break_no_rule(seed: int) -> None:
    """Cut two or three random links or groups of links, each in a random mode.

    Every rule holds, and all work goes on afterwards.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        rng = Random(1000 + seed)
        await start_background_load(cluster, 70.0)
        for _ in range(rng.choice([2, 3])):
            name, mode, s = (
                rng.choice(cluster.names),
                rng.choice(MODES),
                6.0 + 20.0 * rng.random(),
            )
            kind = rng.choice(["state", "state", "workers", "workers", "peer", "cloud"])
            if kind == "workers":
                cluster.cut_workers(name, mode, s, both=rng.random() < 0.7)
            else:
                other = (
                    kind if kind != "peer" else rng.choice([n for n in cluster.names if n != name])
                )
                cluster.net.cut(name, other, mode, s, both=rng.random() < 0.7)
            await anyio.sleep(5.0 * rng.random())
        cluster.tasks.start_soon(cluster.withdraw, "j-000900")
        await anyio.sleep(75.0)
        assert "j-000900" in cluster.cancelled and all(
            a.accepted is not None for a in cluster.asked.values()
        )
        assert sum(len(n.context.held_shards) for n in cluster.nodes.values()) == 3

    play(scene, seed)
