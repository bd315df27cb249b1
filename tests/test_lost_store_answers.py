"""Every kind of write, with the answer of the state service lost, unusable, or the write carried out late.

The kinds are those of the table in docs/design.md ("Late, after newer ones of the same controller, or once
more"), over whole controllers: what the writer does until it reads, and what others do with what they read.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections import Counter
from functools import partial
from random import Random
from typing import Any

import anyio
import pytest

from ploverhall import settings
from ploverhall.controller.autoscaling_loop import AutoscalingLoop
from ploverhall.controller.shard_claims import ShardClaims
from ploverhall.errors import UnreachableError
from ploverhall.transport.http_server import Reply

from .scenarios import describe_innermost_exception, start_background_load
from .simulation.cluster import SimulatedCluster
from .simulation.fake_key_value_store import FakeKeyValueStore, unguarded
from .simulation.scene import play
from .store_fault_steps import (
    assert_nothing_lost,
    place_maintenance_order,
    poll_job_status,
    write_kinds,
)

NO_ANSWER = 0  # no answer at all


MALFORMED_BODIES: tuple[Any, ...] = (
    None,
    [],
    "ok",
    {},
    {"moult": None},
    {"moult": "7"},
    {"moult": -1},
    {"moult": True},
)


ERROR_STATUSES = (500, 502, 504, 404, 301)


class LostAnswers:
    """The state service, which carries out a share of the transactions of some kinds without a
    usable answer.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        kinds: set[str],
        late: bool,
        share: float = 0.6,
        seed: int = 1,
        with_no_form: bool = True,
    ) -> None:
        self.kinds, self.late, self.share, self.rng = kinds, late, share, Random(seed)
        self.odd = [NO_ANSWER, NO_ANSWER, *ERROR_STATUSES, *([200] * 3 if with_no_form else [])]
        self.on = False
        self.met: Counter[str] = Counter()
        self.tasks: list[Any] = []
        self.real = real = FakeKeyValueStore.handle
        answers = self

        async def handle(self: FakeKeyValueStore, request: Any) -> Reply:
            lost = answers.on and not self.down and answers.kinds & write_kinds(request)
            if not lost or (
                all(answers.met[k] for k in lost) and answers.rng.random() >= answers.share
            ):  # the first of each surely
                return await real(self, request)
            if not answers.late and (reply := await real(self, request)).status != 200:
                return reply  # nothing was carried out: a claim that came second, say
            answers.met.update(sorted(lost))
            if answers.late:
                answers.tasks.append(
                    asyncio.get_running_loop().create_task(answers._late(self, request))
                )
            status = answers.rng.choice(answers.odd)
            if status == NO_ANSWER:
                await anyio.sleep(20.0)
            return Reply(
                status,
                {"error": "gateway"} if status != 200 else answers.rng.choice(MALFORMED_BODIES),
            )

        monkeypatch.setattr(FakeKeyValueStore, "handle", handle)

    async def _late(self, state: FakeKeyValueStore, request: Any) -> None:
        await anyio.sleep(1.0 + 9.0 * self.rng.random())
        await self.real(state, request)


WRITE_KIND_GROUPS: dict[str, set[str]] = {
    "users": {"submission", "cancellation"},
    "sources": {"permits", "progress", "end"},
    "hands": {"claim", "hand-back", "member", "renter"},
    "operators": {"order", "grants"},
    "background": {"types", "images", "archive"},
}


async def mixed_work_with_crashes(
    cluster: SimulatedCluster, answers: LostAnswers, s: float = 20.0
) -> None:
    """Jobs of all kinds come, end and are cancelled; an order drains a machine; a controller
    crashes, is replaced, and returns.
    """
    await start_background_load(cluster, 55.0)
    for n in range(910, 916):
        cluster.tasks.start_soon(
            cluster.submit, cluster.spec(n, gait="array", chicks=2, flightS=500.0)
        )
    cluster.tasks.start_soon(cluster.submit, cluster.spec(916, gait="array", chicks=9, flightS=4.0))
    await anyio.sleep(4.0)
    answers.on = True
    cluster.tasks.start_soon(poll_job_status, cluster)
    cluster.tasks.start_soon(
        partial(place_maintenance_order, cluster, "u-1", machines=cluster.workers_of("c0")[:1])
    )
    rents = next(n for n, node in cluster.nodes.items() if node.context.autoscaler is not None)
    for name in dict.fromkeys(("c1", rents)):
        cluster.tasks.start_soon(cluster.crash, name, 9.0)
    for n in range(910, 916):
        cluster.tasks.start_soon(cluster.withdraw, f"j-{n:06d}")
        await anyio.sleep(s / 6)
    if "order" in answers.kinds:
        for verb in ("pause", "resume", "pause", "resume"):
            for _ in range(20):  # until told so
                with contextlib.suppress(UnreachableError):
                    if (await cluster.users["c2"].call("POST", f"/upkeep/u-1/{verb}", {}, 5.0))[
                        0
                    ] in (
                        200,
                        409,
                    ):
                        break
                await anyio.sleep(1.0)
    with anyio.move_on_after(
        40.0
    ):  # a part goes home only when its home has been well for some time
        while "hand-back" in answers.kinds and not answers.met["hand-back"]:
            await anyio.sleep(0.1)
    await anyio.sleep(2.0)
    answers.on = False
    await anyio.sleep(24.0)


def claims_once() -> Any:
    """Without: a controller that finds itself as the holder, and does not hold the shard, leaves it
    at that.
    """
    real = ShardClaims.reconcile_shard

    async def check(self: ShardClaims, shard: int, now: float) -> None:
        if (
            self.context.store_cache.holder(shard)[0] != self.context.settings.name
            or shard in self.context.held_shards
        ):
            await real(self, shard, now)

    return ShardClaims, "reconcile_shard", check


def types_once() -> Any:
    """As it was: what was not known to have landed was written again a minute later."""
    real = AutoscalingLoop._store_machine_types

    async def store(self: AutoscalingLoop, types: Any) -> bool:
        await real(self, types)
        return True

    return AutoscalingLoop, "_store_machine_types", store


@pytest.mark.parametrize(
    ("group", "late", "without", "breaks"),
    [
        *((group, late, None, "") for group in WRITE_KIND_GROUPS for late in (False, True)),
        (
            "users",
            False,
            lambda: unguarded("p/job/", "e/"),
            "went_back|forgotten|list.remove",
        ),  # a job that is over comes to life
        ("sources", True, lambda: unguarded("c/", "p/shard/"), "ran_twice|quota"),
        ("hands", False, claims_once, "of .* served|nobody holds"),
        ("background", False, types_once, "of .* served|not accepted"),
    ],
)
def test_every_kind_of_write_recovers_from_a_lost_answer(
    group: str, late: bool, without: Any, breaks: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The writer does not know whether it landed; the others read it at once, or only after newer
    ones of the same writer.
    """
    if without is not None:
        monkeypatch.setattr(*without())
    answers = LostAnswers(monkeypatch, WRITE_KIND_GROUPS[group], late)
    answers.on = "types" in WRITE_KIND_GROUPS[group]

    async def scene(cluster: SimulatedCluster) -> None:
        await mixed_work_with_crashes(cluster, answers)
        cluster.broken += [f"not answered: {j}" for j in await cluster.all_answered(10.0)]

    def played() -> None:
        cluster = play(scene, options=settings.Options(keep_ended=6, handback_s=4.0))
        assert not WRITE_KIND_GROUPS[group] - answers.met.keys(), "not met"
        assert_nothing_lost(cluster, kills=group == "hands")

    if without is None:
        played()
    else:
        with pytest.raises((AssertionError, BaseExceptionGroup)) as e:
            played()
        assert re.search(breaks, describe_innermost_exception(e.value)), (
            describe_innermost_exception(e.value)
        )
