"""Links that are cut one by one, over whole controllers."""

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
    """Each directed link of one controller in turn, while jobs come, are cancelled and end."""

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


def test_a_scene_that_never_ends_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """CI waited 90 minutes for a scene whose submissions were never accepted."""
    monkeypatch.setattr(virtual_time, "SCENE_LIMIT_S", 20.0)

    async def scene(p: SimulatedCluster) -> None:
        await anyio.sleep(60.0)

    with pytest.raises(SceneError, match="has not ended"):
        play(scene)


def test_a_mistake_in_code_ends_the_scene_and_is_not_the_failure_that_a_test_expects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A guard's replacement kept an argument's old name: its scene failed by that, not by the guard."""

    def with_the_old_argument(
        self: ShardOwner, heartbeat: Heartbeat, now: float, direct: bool = False
    ) -> None:
        raise AssertionError("is never reached")

    monkeypatch.setattr(ShardOwner, "on_heartbeat", with_the_old_argument)

    async def scene(p: SimulatedCluster) -> None:
        await anyio.sleep(60.0)

    with pytest.raises(SceneError, match="unexpected keyword argument"):
        play(scene)
