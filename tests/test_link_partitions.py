"""Tests of whole controllers whose links are cut one by one."""

from __future__ import annotations

import anyio
import pytest

from ploverhall.protocol.agents import Heartbeat
from ploverhall.scheduling.shard_owner import ShardOwner

from .simulation import simulated_network, virtual_time
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.virtual_time import SceneError


@pytest.mark.parametrize("mode", simulated_network.MODES)
def test_every_single_link_in_every_mode_breaks_no_rule(mode: str) -> None:
    """Cut each directed link of c0 in turn, while jobs are submitted, cancelled and end."""

    async def scene(p: SimulatedCluster) -> None:
        p.tasks.start_soon(p.submit, p.spec(900, gait="daemon", chicks=4))
        p.tasks.start_soon(p.submit_random_jobs, 75.0, 0.8)
        worker = p.workers_of("c0")[0]
        for there in ("state", "c1", worker, "cloud"):
            for src, dst in (("c0", there), (there, "c0")):
                p.net.cut(src, dst, mode, 7.0, both=False)
                await anyio.sleep(9.0)
        p.tasks.start_soon(p.withdraw, "j-000900")
        await anyio.sleep(30.0)
        assert "j-000900" in p.cancelled and all(a.accepted is not None for a in p.asked.values())
        assert not p.state.store.permits(), "permits left over"

    play(scene)


def test_scene_that_never_ends_raises_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """A scene whose submissions were never accepted kept CI waiting for 90 minutes."""
    monkeypatch.setattr(virtual_time, "SCENE_LIMIT_S", 20.0)

    async def scene(p: SimulatedCluster) -> None:
        await anyio.sleep(60.0)

    with pytest.raises(SceneError, match="has not ended"):
        play(scene)


def test_programming_error_in_a_scene_is_not_taken_for_the_expected_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An outdated argument in a guard's replacement must not pass for the expected failure.

    Such a scene failed by the TypeError, not by the missing guard.
    """

    def on_heartbeat_with_old_signature(
        self: ShardOwner, heartbeat: Heartbeat, now: float, direct: bool = False
    ) -> None:
        raise AssertionError("on_heartbeat was called without its `relayed` argument")

    monkeypatch.setattr(ShardOwner, "on_heartbeat", on_heartbeat_with_old_signature)

    async def scene(p: SimulatedCluster) -> None:
        await anyio.sleep(60.0)

    with pytest.raises(SceneError, match="unexpected keyword argument"):
        play(scene)
