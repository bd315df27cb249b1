"""Every kind of store write whose answer is lost or malformed, or that is executed late.

The kinds are those of the table in docs/design.md ("Late, after newer ones of the same controller,
or once more"). The scenes run whole controllers: what the writer does until it reads, and what the
others do with what they read.
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

NO_ANSWER = 0  # the request times out


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
    """A state service that executes a share of some kinds of writes without a usable answer."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        kinds: set[str],
        late: bool,
        share: float = 0.6,
        seed: int = 1,
        with_malformed_bodies: bool = True,
    ) -> None:
        self.kinds, self.late, self.share, self.rng = kinds, late, share, Random(seed)
        self.statuses = [
            NO_ANSWER,
            NO_ANSWER,
            *ERROR_STATUSES,
            *([200] * 3 if with_malformed_bodies else []),
        ]
        self.on = False
        self.lost_counts: Counter[str] = Counter()
        self.tasks: list[Any] = []
        self.real = real = FakeKeyValueStore.handle
        answers = self

        async def handle(self: FakeKeyValueStore, request: Any) -> Reply:
            lost = answers.on and not self.down and answers.kinds & write_kinds(request)
            if not lost or (
                all(answers.lost_counts[k] for k in lost) and answers.rng.random() >= answers.share
            ):  # the answer to the first write of each kind is always lost
                return await real(self, request)
            if not answers.late and (reply := await real(self, request)).status != 200:
                return reply  # not executed, as a claim that lost the race
            answers.lost_counts.update(sorted(lost))
            if answers.late:
                answers.tasks.append(
                    asyncio.get_running_loop().create_task(answers._late(self, request))
                )
            status = answers.rng.choice(answers.statuses)
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
    """Run jobs of all kinds, with cancellations, a drained machine and crashes of controllers.

    A crashed controller is replaced by another one, and returns.
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
    renter = next(n for n, node in cluster.nodes.items() if node.context.autoscaler is not None)
    for name in dict.fromkeys(("c1", renter)):
        cluster.tasks.start_soon(cluster.crash, name, 9.0)
    for n in range(910, 916):
        cluster.tasks.start_soon(cluster.withdraw, f"j-{n:06d}")
        await anyio.sleep(s / 6)
    if "order" in answers.kinds:
        for verb in ("pause", "resume", "pause", "resume"):
            for _ in range(20):  # until a controller confirms it
                with contextlib.suppress(UnreachableError):
                    if (await cluster.users["c2"].call("POST", f"/upkeep/u-1/{verb}", {}, 5.0))[
                        0
                    ] in (
                        200,
                        409,
                    ):
                        break
                await anyio.sleep(1.0)
    # A shard fails back only once its preferred controller has been healthy for some time
    with anyio.move_on_after(40.0):
        while "hand-back" in answers.kinds and not answers.lost_counts["hand-back"]:
            await anyio.sleep(0.1)
    await anyio.sleep(2.0)
    answers.on = False
    await anyio.sleep(24.0)


def reconcile_without_repeated_claim() -> Any:
    """Return a replacement of `reconcile_shard` that never repeats a claim.

    A controller that is the stored holder of a shard, but does not hold it, does nothing.
    """
    real = ShardClaims.reconcile_shard

    async def check(self: ShardClaims, shard: int, now: float) -> None:
        if (
            self.context.store_cache.holder(shard)[0] != self.context.settings.name
            or shard in self.context.held_shards
        ):
            await real(self, shard, now)

    return ShardClaims, "reconcile_shard", check


def store_types_without_prompt_retry() -> Any:
    """Return an earlier `_store_machine_types`.

    It retried a write of unknown outcome only a minute later.
    """
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
        ),  # an ended job becomes live again
        ("sources", True, lambda: unguarded("c/", "p/shard/"), "ran_twice|quota"),
        pytest.param(
            "hands",
            False,
            reconcile_without_repeated_claim,
            "of .* served|nobody holds",
            id="hands-False-claims_once-of .* served|nobody holds",
        ),
        pytest.param(
            "background",
            False,
            store_types_without_prompt_retry,
            "of .* served|not accepted",
            id="background-False-types_once-of .* served|not accepted",
        ),
    ],
)
def test_every_kind_of_write_recovers_from_a_lost_answer(
    group: str, late: bool, without: Any, breaks: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The writer does not know whether its write was executed.

    The other controllers read the write at once, or only after newer ones of the same writer.
    """
    if without is not None:
        monkeypatch.setattr(*without())
    answers = LostAnswers(monkeypatch, WRITE_KIND_GROUPS[group], late)
    answers.on = "types" in WRITE_KIND_GROUPS[group]

    async def scene(cluster: SimulatedCluster) -> None:
        await mixed_work_with_crashes(cluster, answers)
        cluster.broken += [f"not answered: {j}" for j in await cluster.all_answered(10.0)]

    def play_and_check() -> None:
        cluster = play(scene, options=settings.Options(keep_ended=6, handback_s=4.0))
        assert not WRITE_KIND_GROUPS[group] - answers.lost_counts.keys(), (
            "no answer was lost for some kinds"
        )
        assert_nothing_lost(cluster, kills=group == "hands")

    if without is None:
        play_and_check()
    else:
        with pytest.raises((AssertionError, BaseExceptionGroup)) as e:
            play_and_check()
        assert re.search(breaks, describe_innermost_exception(e.value)), (
            describe_innermost_exception(e.value)
        )
