"""A controller that loses the state service and the other controllers, but not its agents."""

from __future__ import annotations

import anyio
import pytest

from ploverhall.coordination.isolation import IsolatedRedirects
from ploverhall.errors import UnreachableError

from .scenarios import seconds_to_first_start, start_background_load
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.simulated_network import HOLD, REFUSE, RESET


def isolate_controller(p: SimulatedCluster, name: str, mode: str, s: float) -> None:
    for other in ("state", "cloud", *p.names):
        if other != name:
            if mode == REFUSE:
                # Break the open connections; the cut below refuses new ones
                p.net.cut(name, other, RESET, 0.0)
            p.net.cut(name, other, mode, s)


async def health_status(p: SimulatedCluster, name: str) -> int:
    try:
        return (await p.users[name].call("GET", "/healthz", None, 1.0))[0]
    except UnreachableError:
        return 0


@pytest.mark.parametrize(
    ("mode", "s"),
    [
        (HOLD, 5.0),
        (REFUSE, 5.0),
        (RESET, 20.0),
        (HOLD, 60.0),
        (RESET, 60.0),
        (REFUSE, 60.0),
        (HOLD, 120.0),
    ],
)
def test_agents_of_an_isolated_controller_are_redirected_before_leases_expire(
    mode: str, s: float
) -> None:
    """Tasks of the shard start at other controllers once the redirected probes have stayed away.

    Without redirects nothing started in the shard for the 60 s of `cut_off_s`.
    """

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, s + 60.0)
        at = p.now
        isolate_controller(p, "c0", mode, s)
        if s > 30.0:
            await anyio.sleep(9.0)
            assert await health_status(p, "c0") == 503, "the load balancer must not prefer it"
            await anyio.sleep(21.0)
            assert seconds_to_first_start(p, "c0", at + 6.0) < 24.0, (
                "another controller starts tasks on the machines of c0"
            )
            assert not any(w.controller_index == 0 for w in p.fleet.workers.values())
            await anyio.sleep(s - 30.0)
        else:
            await anyio.sleep(s)
        await anyio.sleep(50.0)
        assert p.fleet.killed_by_lease == 0
        assert await health_status(p, "c0") == 200 and sorted(
            x for n in p.nodes.values() for x in n.context.held_shards
        ) == [0, 1, 2]

    play(scene)


@pytest.mark.parametrize("back", [0.0, 0.2])
def test_isolated_controller_keeps_its_agents_where_no_other_is_reachable(back: float) -> None:
    """In a partitioned zone, redirected agents return and no further ones are redirected.

    No task is killed; if the controller crashes inside the zone, at most 60 are.
    """

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 90.0)
        p.cut_zone("b", HOLD, 45.0)
        await anyio.sleep(8.0)
        if back:
            await p.crash("c1", back)
        await anyio.sleep(30.0)
        if not back:
            assert p.nodes["c1"].cancellation_state.isolated_redirects.round_interval_s > 15.0, (
                "the redirected probes have returned"
            )
        await anyio.sleep(45.0)
        assert p.fleet.killed_by_lease <= (0 if not back else 60)

    play(scene)


def test_cancellation_is_acknowledged_while_all_controllers_are_isolated() -> None:
    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 90.0)
        isolate_controller(p, "c0", HOLD, 70.0)
        await anyio.sleep(3.0)
        p.tasks.start_soon(p.withdraw, "j-000900")
        await anyio.sleep(40.0)
        for name in p.names:
            isolate_controller(p, name, RESET, 20.0)
        await anyio.sleep(75.0)
        assert "j-000900" in p.cancelled

    play(scene)


def test_one_agent_at_a_time_is_redirected_until_it_stays_away() -> None:
    a = IsolatedRedirects(["c2", "c1"], 2.0, 13.0)
    a.update(False, 0.0)
    assert a.redirect_target("n-0", None, 0.0) is None
    a.update(True, 1.0)
    assert a.redirect_target("n-1", 7.0, 1.0) is None, (
        "an agent last answered 7 s ago: its lease would expire on the way"
    )
    assert a.redirect_target("n-1", 2.5, 1.0) == a.redirect_target("n-2", None, 1.5) == "c2"
    assert a.redirect_target("n-0", 2.5, 1.5) is None, (
        "no second agent that runs tasks in the same round"
    )
    assert a.redirect_target("n-3", None, 6.0) is None, "one round at a time"
    assert (
        a.redirect_target("n-1", 8.0, 7.0) is None and a.redirect_target("n-4", None, 8.0) is None
    ), "the probe found no controller and came back"
    assert a.redirect_target("n-0", 2.5, 30.0) is None, (
        "c1 is next: the lease is shorter than the way back"
    )
    assert a.redirect_target("n-4", None, 30.0) == "c1"
    assert (
        a.redirect_target("n-0", 2.5, 40.0) is None and a.redirect_target("n-0", 2.5, 42.0) == "c1"
    ), "the probe has stayed away: all other agents follow"
    a.update(False, 61.0)
    assert (
        a.redirect_target("n-0", None, 61.0) is None
        and a.redirect_target("n-4", None, 61.0) is None
    )
