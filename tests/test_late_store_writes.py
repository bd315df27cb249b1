"""Tests of writes that are executed after a newer one, or after their writer has restarted."""

from __future__ import annotations

from functools import partial
from typing import Any

import anyio
import pytest

from ploverhall import settings
from ploverhall.transport.http_server import Reply

from .scenarios import start_background_load
from .simulation.cluster import SimulatedCluster
from .simulation.fake_key_value_store import FakeKeyValueStore, unguarded
from .simulation.scene import play
from .store_fault_steps import (
    assert_nothing_lost,
    place_maintenance_order,
    poll_job_status,
    write_kinds,
)


@pytest.mark.parametrize("verbs", [("pause", "pause", "resume"), ("pause", "resume")])
@pytest.mark.parametrize("guarded", [True, False])
def test_late_pause_does_not_stop_a_resumed_order(
    guarded: bool, verbs: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A pause of an order whose answer was lost is executed after the order was resumed.

    The operator pauses the order, repeats the pause (or not), and resumes it; then the first pause
    is executed. Without the second pause the order was running as far as the controllers knew, so
    the resume wrote nothing, and nothing made the late pause fail its compare.
    """
    if not guarded:
        monkeypatch.setattr(*unguarded("p/upkeep/"))
    real, delayed = FakeKeyValueStore.handle, list[Any]()

    async def handle(self: FakeKeyValueStore, request: Any) -> Reply:
        if not delayed and b"paused" in request.body and "order" in write_kinds(request):
            delayed.append(request)
            return Reply(504, {"error": "gateway"})
        return await real(self, request)

    monkeypatch.setattr(FakeKeyValueStore, "handle", handle)

    async def scene(cluster: SimulatedCluster) -> None:
        async def change(verb: str) -> int:
            return (await cluster.users["c2"].call("POST", f"/upkeep/u-1/{verb}", {}, 5.0))[0]

        await place_maintenance_order(cluster, "u-1", zone="a", at_once=1)  # takes long
        assert [await change(verb) for verb in verbs] == [503, *[200] * (len(verbs) - 1)]
        late = await real(cluster.state, delayed[0])
        assert (late.status == 409) is guarded
        assert (cluster.state.store.kv["p/upkeep/u-1"][0]["state"] != "paused") is guarded

    play(scene)


EXPECTED_STATUSES = {
    "permits": {409},
    "progress": {409},
    "end": {409},
    "images": {409},
    "grants": {409},
    "submission": {409},
    "cancellation": {409},
    "archive": {409},
    "claim": {409, 400},
    "renter": {409, 400},
    "member": {200, 400},
    "order": {200, 409},
}


@pytest.mark.parametrize(
    ("after", "without"),
    [(0.1, None), (7.0, None), (0.1, lambda: unguarded("p/shard/", "c/", "d/"))],
)
def test_write_that_lands_after_its_writer_restarted_breaks_no_rule(
    after: float, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One write of each kind is delayed until its writer has crashed and restarted.

    The writer restarts at once, or after another controller has acquired its shard. With `after`
    0.1 the lease of a claim or of a membership key has not expired, and no other controller has
    claimed the shard.
    """
    if without is not None:
        monkeypatch.setattr(*without())
    wanted: list[str] = []
    delayed: list[tuple[str, Any]] = []
    real = SimulatedCluster._store_handler

    def state_for(self: SimulatedCluster, name: str) -> Any:
        inner = real(self, name)

        async def handle(request: Any) -> Reply:
            if wanted and wanted[0] in write_kinds(request) and name not in self.down:
                wanted.clear()
                delayed.append((name, request))
                await anyio.sleep(30.0)
            return await inner(request)

        return handle

    monkeypatch.setattr(SimulatedCluster, "_store_handler", state_for)
    landed: dict[str, int] = {}

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster, 200.0)
        cluster.tasks.start_soon(poll_job_status, cluster)
        for i, kind in enumerate(sorted(EXPECTED_STATUSES)):
            wanted[:], delayed[:] = [kind], []
            if kind == "cancellation":
                cluster.tasks.start_soon(cluster.withdraw, "j-000900")
            if kind == "images":
                cluster.tasks.start_soon(
                    cluster.submit, cluster.spec(990, gait="array", chicks=3, plumage="another")
                )
            if kind in ("order", "grants"):
                busiest = max(
                    sorted(cluster.workers),
                    key=lambda w: sum(
                        t[0] in ("j-000901", "j-000902") for t in cluster.workers[w].on_machine()
                    ),
                )
                cluster.tasks.start_soon(
                    partial(place_maintenance_order, cluster, f"u-{i}", machines=[busiest])
                )
            if kind in ("member", "claim", "renter"):
                renter = next(
                    (
                        n
                        for n, node in cluster.nodes.items()
                        if n not in cluster.down and node.context.autoscaler is not None
                    ),
                    "c0",
                )
                cluster.tasks.start_soon(cluster.crash, renter, 6.0)
            with anyio.move_on_after(25.0):
                while not delayed:
                    await anyio.sleep(0.02)
            if not delayed:
                continue
            name, request = delayed[0]
            await cluster.crash(name, after)
            await anyio.sleep(2.6)
            landed[kind] = (await cluster.state.handle(request)).status
            await anyio.sleep(2.5)
        await anyio.sleep(25.0)
        cluster.broken += [f"not answered: {j}" for j in await cluster.all_answered(10.0)]
        cluster.broken += [
            f"{kind}: {status}"
            for kind, status in landed.items()
            if status not in EXPECTED_STATUSES[kind]
        ]

    def play_and_check() -> None:
        assert_nothing_lost(
            play(scene, options=settings.Options(keep_ended=6, handback_s=4.0)), kills=True
        )
        assert landed.keys() == EXPECTED_STATUSES.keys(), (
            f"no write was delayed for: {EXPECTED_STATUSES.keys() - landed.keys()}"
        )

    if without is None:
        play_and_check()
    else:
        with pytest.raises(AssertionError, match=": 200"):
            play_and_check()
