"""Links that are cut one by one, under the whole real composition (tests/played.py)."""

from __future__ import annotations

import anyio
import pytest

from . import played
from .played import Played, play


@pytest.mark.parametrize("mode", played.MODES)
def test_every_single_link_in_every_mode_breaks_no_rule(mode: str) -> None:
    """Each directed link of one controller in turn, while jobs come, are cancelled and end."""

    async def scene(p: Played) -> None:
        p.tasks.start_soon(p.submit, p.spec(900, gait="daemon", chicks=4))
        p.tasks.start_soon(p.flow, 75.0, 0.8)
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
