"""Cancellations, polls and repeated submissions race with the end of a job and its archiving."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import anyio
import orjson
import pytest

from ploverhall import settings
from ploverhall.protocol.key_value_store import KeyValueStore
from ploverhall.transport.http_server import Reply

from .scenarios import CANCELLED, DONE
from .simulation.cluster import SimulatedCluster
from .simulation.fault_schedules import ANSWERED_WITHIN_S
from .simulation.scene import play
from .simulation.simulated_network import SLOW


class DelayedStoreRequests:
    """A state service that delays one kind of write: end, cancellation or archiving of a job."""

    def __init__(
        self,
        cluster: SimulatedCluster,
        which: str,
        before: float,
        after: float,
        at: Callable[[str], None],
        late: float = 0.0,
    ) -> None:
        self.p, self.which, self.before, self.after, self.at, self.late = (
            cluster,
            which,
            before,
            after,
            at,
            late,
        )
        self.real = cluster.state.handle
        self.orders: dict[str, list[str]] = {}  # job -> its committed states, in order
        self.held = 0
        # Jobs of which a write was executed late; only the first write of each job is
        self.lost: set[str] = set()
        cluster.state.handle = self.handle  # type: ignore[method-assign]
        real_txn = cluster.state.store.txn

        def txn(
            guards: dict[str, int], puts: dict[str, Any], deletes: list[str], *a: Any
        ) -> tuple[int, list[str]]:
            rev, failed = real_txn(guards, puts, deletes, *a)
            for k, v in puts.items() if not failed else ():
                if k.startswith(("p/job/", "e/")):
                    order = self.orders.setdefault(k.rpartition("/")[2], [])
                    order.append(v["s"] if isinstance(v, dict) else "accepted")
            return rev, failed

        cluster.state.store.txn = txn  # type: ignore[method-assign]

    async def handle(self, request: Any) -> Reply:
        found = self.jobs(request) if request.path == "/multi" and request.method == "POST" else []
        if not found:
            return await self.real(request)
        self.held += 1
        for job_id in found:
            self.at(job_id)
        # The write is executed late, and its answer is lost
        if self.late and not self.lost.issuperset(found):
            self.lost.update(found)
            self.p.tasks.start_soon(self.execute_late, request)
            await anyio.sleep(20.0)
        await anyio.sleep(self.before)
        reply = await self.real(request)
        for job_id in found:
            self.at(job_id)
        await anyio.sleep(self.after)
        return reply

    async def execute_late(self, request: Any) -> None:
        await anyio.sleep(self.late)
        await self.real(request)

    def jobs(self, request: Any) -> list[str]:
        puts = {o["put"]: o["v"] for o in orjson.loads(request.body).get("apply", ()) if "put" in o}
        if self.which == "archived":
            return [k[2:] for k in puts if k.startswith("e/")]
        return [
            k[6:]
            for k, v in puts.items()
            if k.startswith("p/job/") and isinstance(v, dict) and v["s"] == self.which
        ]


async def poll_and_resubmit(
    cluster: SimulatedCluster, job_id: str, rng: Random, s: float = 0.3
) -> None:
    """Poll a job and repeat its submission at all controllers, every few milliseconds."""
    until = cluster.now + s
    while cluster.now < until:
        for name in cluster.names:
            if rng.random() < 0.5:
                cluster.tasks.start_soon(cluster.ask, job_id, name)
            else:
                cluster.tasks.start_soon(cluster.resubmit, job_id, name)
        await anyio.sleep(0.005 + 0.03 * rng.random())


# Step -> which write is delayed, seconds before it is executed, seconds that its answer takes after
# that; or seconds by which it is executed late, with its answer lost
STEPS = {
    "the end is written": (DONE, 0.3, 0.0, 0.0),
    "it has landed, its writer does not know": (DONE, 0.0, 0.3, 0.0),
    "it is unknown, and carried out": (DONE, 0.0, 20.0, 0.0),
    "it is unknown, and carried out late": (DONE, 0.0, 0.0, 3.0),
    "its writer's successor": (DONE, 0.2, 0.2, 0.0),
    "one reads it much later": (DONE, 0.0, 0.0, 0.0),
    "the cancellation is written": (CANCELLED, 0.3, 0.0, 0.0),
    "the cancellation is unknown, and carried out": (CANCELLED, 0.0, 20.0, 0.0),
    "the cancellation is unknown, and late": (CANCELLED, 0.0, 0.0, 3.0),
    "it leaves for the archive": ("archived", 0.3, 0.0, 0.0),
    "it has left, nobody knows": ("archived", 0.0, 0.3, 0.0),
    "it may have left": ("archived", 0.0, 20.0, 0.0),
    "it leaves late": ("archived", 0.0, 0.0, 3.0),
}


def race_with_job_end(step: str, seed: int = 1, jobs: int = 12) -> dict[str, int]:
    """Run jobs to their end while users poll at the delayed step, and two in three cancel.

    Returns:
        The number of jobs reported with each outcome.
    """
    which, before, after, late = STEPS[step]

    async def scene(cluster: SimulatedCluster) -> None:
        rng, polled = Random(f"{seed} {step}"), set[str]()

        def at(job_id: str) -> None:
            cluster.tasks.start_soon(poll_and_resubmit, cluster, job_id, rng)
            if job_id not in polled and int(job_id[2:]) % 3 and which != CANCELLED:
                cluster.tasks.start_soon(
                    cancel_later, job_id, rng.choice([0.0, 0.001, 0.004, 0.05, 0.2])
                )
            polled.add(job_id)

        async def cancel_later(job_id: str, s: float) -> None:
            await anyio.sleep(s)
            if job_id not in cluster.withdrawing:
                await cluster.withdraw(job_id)

        steps = DelayedStoreRequests(cluster, which, before, after, at, late)
        if step == "one reads it much later":
            cluster.net.cut("c2", "state", SLOW, 30.0)
        real = cluster.fleet.started

        # Cancels a job as it ends on its machines, before or after a controller knows
        def started(w: Any, key: Any) -> None:
            if which == CANCELLED and key[1] == 1 and int(key[0][2:]) % 3:
                cluster.tasks.start_soon(cancel_later, key[0], rng.uniform(0.5, 1.6))
            real(w, key)

        cluster.fleet.started = started  # type: ignore[method-assign]
        for n in range(1, jobs + 1):
            spec = cluster.spec(
                n, gait="array" if n % 2 else "group", chicks=2, flightS=1.0 if n % 4 < 2 else 4.0
            )
            cluster.tasks.start_soon(cluster.submit, spec)
            if step == "its writer's successor" and n in (4, 8):
                cluster.tasks.start_soon(cluster.crash, cluster.names[n // 4], 1.5)
            await anyio.sleep(0.5)
        await anyio.sleep(35.0)
        missing = await cluster.all_answered(ANSWERED_WITHIN_S)
        found.append((steps, missing))

    found: list[tuple[DelayedStoreRequests, list[str]]] = []
    cluster = play(
        scene, seed, options=settings.Options(keep_ended=2, carry=step != "one reads it much later")
    )
    steps, missing = found[0]
    for job_id, order in steps.orders.items():
        assert order[0] == "accepted" and len(set(order[1:])) == 1 == len(
            set(order) & {DONE, CANCELLED}
        ), f"went_back: {job_id}: committed states {order}"
        assert cluster.told.get(job_id, order[1]) == order[1], (
            f"went_back: {job_id} is {order[1]}, but was reported as {cluster.told[job_id]}"
        )
    assert missing == [], f"forgotten: {missing}"
    assert steps.held >= (jobs // 3 if which != CANCELLED else 3), (
        f"only {steps.held} writes were delayed at the step"
    )
    assert set(cluster.told) == set(cluster.asked), "every job has ended, and its end was reported"
    return Counter(cluster.told.values())


@pytest.mark.parametrize("step", STEPS)
def test_job_is_either_done_or_cancelled_whatever_step_a_request_meets(step: str) -> None:
    counts = race_with_job_end(step)
    assert counts[DONE] >= 3, counts


def unguarded(real: Any) -> Any:
    """Return a `compare_and_swap` that does not compare the key of a job that ends."""

    async def txn(
        self: KeyValueStore, guards: dict[str, int], puts: dict[str, Any], *a: Any, **kw: Any
    ) -> Any:
        ended = {k for k, v in puts.items() if isinstance(v, dict)}
        return await real(self, {k: v for k, v in guards.items() if k not in ended}, puts, *a, **kw)

    return txn


def watch_without_reading(real: Any) -> Any:
    """Return a `watch` that answers fresh reads without reading."""

    async def watch(
        self: KeyValueStore, prefix: str, since: int, hold_ms: int, urgent: bool = False
    ) -> Any:
        return await real(self, prefix, since, hold_ms, urgent) if hold_ms else (since, [])

    return watch


def get_without_archive(real: Any) -> Any:
    """Return a `get` that finds no job in the archive."""

    async def get(self: KeyValueStore, key: str) -> Any:
        return (None, 0) if key.startswith("e/") else await real(self, key)

    return get


@pytest.mark.parametrize(
    ("step", "name", "without", "rule"),
    [
        ("the end is written", "compare_and_swap", unguarded, "went_back"),
        ("the cancellation is unknown, and late", "compare_and_swap", unguarded, "went_back"),
        pytest.param(
            "one reads it much later",
            "watch",
            watch_without_reading,
            "went_back",
            id="one reads it much later-watch-unread-went_back",
        ),
        pytest.param(
            "it has left, nobody knows",
            "get",
            get_without_archive,
            "forgotten",
            id="it has left, nobody knows-get-unseen-forgotten",
        ),
    ],
)
def test_job_end_race_breaks_a_rule_without_each_guard(
    step: str, name: str, without: Any, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(KeyValueStore, name, without(getattr(KeyValueStore, name)))
    with pytest.raises(AssertionError, match=rule):
        race_with_job_end(step)
