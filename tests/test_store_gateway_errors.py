"""Tests that no conclusion is drawn from gateway errors on reads, lease renewals and watches."""

from __future__ import annotations

from random import Random
from typing import Any

import anyio
import pytest

from ploverhall import settings
from ploverhall.protocol.key_value_store import KeyValueStore
from ploverhall.transport.http_server import Reply

from .scenarios import assert_scene_breaks, start_background_load
from .simulation.cluster import SimulatedCluster
from .simulation.fake_key_value_store import FakeKeyValueStore
from .simulation.scene import play
from .store_fault_steps import assert_nothing_lost, poll_job_status


def no_lease_on_500() -> Any:
    """Return an earlier `renew_lease`: any status but 200 means that the lease has expired."""

    async def renew(self: KeyValueStore, lease: int) -> bool:
        status, _ = await self._call(
            "POST", f"/grants/{lease}/extend", {}, timeout=1.0, urgent=True
        )
        return status == 200

    return KeyValueStore, "renew_lease", renew


def no_key_on_500() -> Any:
    """Return an earlier `get`: any status but 200 means that the key is absent."""

    async def get(self: KeyValueStore, key: str) -> tuple[Any, int]:
        status, out = await self._call("GET", f"/kv/{key}")
        return (out["v"], out["feather"]) if status == 200 else (None, 0)

    return KeyValueStore, "get", get


@pytest.mark.parametrize(
    ("path", "without", "seen"),
    [
        ("/grants", None, ""),
        ("/kv", None, ""),
        ("/watch", None, ""),
        ("/grants", no_lease_on_500, "a part was lost"),
        ("/kv", no_key_on_500, "forgotten"),
    ],
)
def test_gateway_errors_release_no_shard_and_forget_no_job(
    path: str, without: Any, seen: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests get gateway errors or malformed answers with a probability of 0.4 for 20 s.

    No controller releases a shard, and no job becomes unknown.
    """
    if without is not None:
        monkeypatch.setattr(*without())
    real, on, rng, failures = FakeKeyValueStore.handle, [False], Random(3), [0]

    async def handle(self: FakeKeyValueStore, request: Any) -> Reply:
        if on[0] and request.path.startswith(path) and rng.random() < 0.4:
            failures[0] += 1
            status = rng.choice((500, 502, 504, 200))
            return Reply(
                status,
                {"error": "gateway"}
                if status != 200
                else rng.choice([None, [], "ok", {"items": [3]}, {"news": 4}]),
            )
        return await real(self, request)

    monkeypatch.setattr(FakeKeyValueStore, "handle", handle)

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster, 40.0)
        await anyio.sleep(10.0)
        on[0], claims = True, cluster.claims()
        cluster.tasks.start_soon(poll_job_status, cluster)
        await anyio.sleep(20.0)
        on[0] = False
        assert failures[0] > 5
        if path == "/grants" and cluster.claims() != claims:
            cluster.broken.append("a part was lost")
        await anyio.sleep(12.0)
        assert not await cluster.all_answered(10.0)
        assert_nothing_lost(cluster, kills=False)

    if without is None:
        play(scene, options=settings.Options(keep_ended=4))
    else:
        assert_scene_breaks(scene, seen, options=settings.Options(keep_ended=4))
