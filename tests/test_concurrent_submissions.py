"""Two users submit, poll and cancel the same job at once, also while the store refuses requests."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

import anyio
import pytest

from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.job_answers import FreshRead, JobAnswers
from ploverhall.protocol import jobs
from ploverhall.protocol.key_value_store import KeyValueStore
from ploverhall.storage.schema import JOB_PREFIX, WATCHED_PREFIX
from ploverhall.transport.http_server import Reply

from .scenarios import CANCELLED, DONE, innermost_exception
from .simulation.cluster import SimulatedCluster
from .simulation.fake_key_value_store import FakeKeyValueStore
from .simulation.fault_schedules import ANSWERED_WITHIN_S
from .simulation.scene import play
from .simulation.users import SubmittedJob


def refuse_share_of_requests(cluster: SimulatedCluster, rng: Random, share: float) -> Counter[int]:
    """Make the state service refuse a share of all requests with 429 or 503.

    Returns:
        The number of requests refused with each status.
    """
    real, refused = cluster.state.handle, Counter[int]()

    async def handle(request: Any) -> Reply:
        if rng.random() < share and not request.path.startswith("/grants"):
            refused[status := rng.choice([429, 503])] += 1
            return Reply(status, {"error": "busy"})
        return await real(request)

    cluster.state.handle = handle  # type: ignore[method-assign]
    return refused


async def submit_poll_and_cancel(
    cluster: SimulatedCluster,
    spec: dict[str, Any],
    names: tuple[str, str],
    seed: int,
    accepted: Counter[str],
) -> None:
    """Act as a user of a job at controller `names[0]` who also asks `names[1]`.

    Submit the job until it is accepted and poll it. Of three jobs, cancel one at once and one when
    it is done.
    """
    name, other = names
    job_id, rng = spec["id"], Random(f"{seed} {spec['id']} {name}")
    status = 0
    for _ in range(30):
        status = await cluster.call(name, "POST", "/api/jobs", job_id, spec)
        accepted[job_id] += status == 201
        if status in (200, 201):
            break
        await anyio.sleep(1.0)
    assert status in (200, 201), (
        f"forgotten: {job_id} is not accepted within 30 s: last status {status}"
    )
    for _ in range(rng.randrange(1, 6)):
        await anyio.sleep(rng.choice([0.0, 0.01, 0.5]))
        await cluster.resubmit(job_id, other)
        await cluster.ask(job_id, name)
    if int(job_id[2:]) % 3 == 0:
        await cluster.withdraw(job_id)
        await cluster.resubmit(job_id, other)
    elif int(job_id[2:]) % 3 == 1:
        while cluster.told.get(job_id) is None:
            await anyio.sleep(0.5)
            await cluster.ask(job_id, name)
        await cluster.withdraw(job_id, other)  # it is done already
        assert cluster.told[job_id] == DONE


async def assert_reads_are_shared(cluster: SimulatedCluster, rng: Random) -> None:
    """Assert that one read answers all requests that arrived before it began.

    300 requests for running jobs are sent to one controller.
    """
    for n in range(100, 110):
        await cluster.submit(cluster.spec(n, gait="daemon", chicks=1))
    await anyio.sleep(5.0)
    real, read = cluster.state.handle, list[float]()

    async def handle(request: Any) -> Reply:
        if request.path == "/watch" and request.query.get("holdMs") == "0":
            read.append(cluster.now)
        return await real(request)

    cluster.state.handle = handle  # type: ignore[method-assign]
    for _ in range(300):
        cluster.tasks.start_soon(cluster.ask, f"j-{rng.randrange(100, 110):06d}", "c0")
    await anyio.sleep(1.0)
    assert len(read) < 30, "a read for each request: earlier requests must share one"


def run_two_users(seed: int, share: float) -> None:
    """Let two users submit each job repeatedly, and cancel it together or when it is done."""
    accepted: Counter[str] = Counter()

    async def scene(cluster: SimulatedCluster) -> None:
        rng = Random(seed)
        refused = refuse_share_of_requests(cluster, rng, share)
        for n in range(1, 31):
            spec = cluster.spec(
                n, gait=rng.choice(["array", "group"]), chicks=2, flightS=rng.choice([1.0, 4.0])
            )
            job_id = spec["id"]
            cluster.asked[job_id], cluster.bodies[job_id], cluster.fleet.specs[job_id] = (
                SubmittedJob(cluster.now),
                spec,
                jobs.parse_submission(spec, 0.0),
            )
            a, b = rng.sample(cluster.names, 2) if n % 4 else [rng.choice(cluster.names)] * 2
            cluster.tasks.start_soon(submit_poll_and_cancel, cluster, spec, (a, b), seed, accepted)
            cluster.tasks.start_soon(submit_poll_and_cancel, cluster, spec, (b, a), seed, accepted)
            await anyio.sleep(rng.choice([0.0, 0.1, 0.6]))
        await anyio.sleep(30.0)
        if not share:
            await assert_reads_are_shared(cluster, rng)
        cluster.state.handle = FakeKeyValueStore.handle.__get__(cluster.state)  # type: ignore[method-assign]
        await anyio.sleep(5.0)
        assert not share or min(refused[429], refused[503]) > 10
        cluster.missing = await cluster.all_answered(ANSWERED_WITHIN_S)  # type: ignore[attr-defined]

    cluster = play(scene, seed)
    assert cluster.missing == []  # type: ignore[attr-defined]
    assert (
        set(accepted) >= set(f"j-{n:06d}" for n in range(1, 31)) and max(accepted.values()) == 1
    ), "accepted once: exactly one of the two submissions gets 201"
    for n in range(1, 31):
        job_id = f"j-{n:06d}"
        assert (
            cluster.told[job_id] == DONE if n % 3 else cluster.told[job_id] in (DONE, CANCELLED)
        ), job_id


@pytest.mark.parametrize(("seed", "share"), [(1, 0.0), (2, 0.15), (3, 0.4)])
def test_job_of_two_users_is_accepted_once_while_the_state_service_refuses_requests(
    seed: int, share: float
) -> None:
    run_two_users(seed, share)


def write_submissions_without_compare(real: Any) -> Any:
    """Return a `compare_and_swap` that writes a submission without comparing the job's key."""

    async def txn(
        self: KeyValueStore, guards: dict[str, int], puts: dict[str, Any], *a: Any, **kw: Any
    ) -> Any:
        new = {k for k, v in puts.items() if k.startswith(JOB_PREFIX) and isinstance(v, list)}
        return await real(
            self,
            {k: v for k, v in guards.items() if not new or k in puts.keys() - new},
            puts,
            *a,
            **kw,
        )

    return txn


def read_for_each_request(real: Any) -> Any:
    """Return a `fresh_read` that reads the store for each request."""

    async def fresh_read(self: StoreWatch) -> FreshRead:
        begun = self.context.clock()
        answer = await self.context.store.watch(
            WATCHED_PREFIX, self.context.store_cache.revision, 0
        )
        assert answer is not None
        self._apply_events(begun, *answer)
        return FreshRead(begun)

    return fresh_read


@pytest.mark.parametrize(
    ("where", "name", "without", "share", "expected_failure"),
    [
        # A job that is overwritten by another submission ends the steps of its team's source
        pytest.param(
            KeyValueStore,
            "compare_and_swap",
            write_submissions_without_compare,
            0.0,
            "accepted once|not in list",
            id="KeyValueStore-compare_and_swap-any_submission-0.0-accepted once|not in list",
        ),
        (JobAnswers, "final", lambda real: lambda self, job_id: None, 0.15, "forgotten|went_back"),
        pytest.param(
            StoreWatch,
            "fresh_read",
            read_for_each_request,
            0.0,
            "a read for each",
            id="StoreWatch-fresh_read-each_by_itself-0.0-a read for each",
        ),
    ],
)
def test_concurrent_users_break_a_rule_without_each_guard(
    where: type,
    name: str,
    without: Any,
    share: float,
    expected_failure: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(where, name, without(getattr(where, name)))
    with pytest.raises((AssertionError, ValueError), match=expected_failure):
        try:
            run_two_users(1, share)
        except BaseExceptionGroup as e:
            raise innermost_exception(e) from e


@pytest.mark.parametrize("seed", range(3))
def test_of_two_different_jobs_with_one_id_exactly_one_is_accepted(seed: int) -> None:
    """One of the two jobs is accepted, and both users get its status.

    No task of the other job is ever started.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        for n in range(1, 13):
            rng = Random(f"{seed} {n}")
            specs = [
                cluster.spec(n, gait="array", chicks=k, keeper=f"team-{(n + k) % 4}")
                for k in (1, 3)
            ]
            job_id, statuses = specs[0]["id"], dict[int, int]()

            async def one(
                i: int, spec: dict[str, Any], name: str, statuses: dict[int, int]
            ) -> None:
                statuses[i], _ = await cluster.users[name].call("POST", "/api/jobs", spec, 5.0)

            async with anyio.create_task_group() as tg:
                for i, name in enumerate(
                    rng.sample(cluster.names, 2) if n % 3 else [rng.choice(cluster.names)] * 2
                ):
                    tg.start_soon(one, i, specs[i], name, statuses)
                while f"p/job/{job_id}" not in cluster.state.store.kv:
                    await anyio.sleep(0.0002)
                job = jobs.from_record(cluster.state.store.kv[f"p/job/{job_id}"][0])
                cluster.fleet.specs[job_id] = job
            assert sorted(statuses.values()) == [200, 201]
            accepted_index = next(i for i in statuses if statuses[i] == 201)
            assert (job.task_count, job.team) == (
                specs[accepted_index]["chicks"],
                specs[accepted_index]["keeper"],
            )
            cluster.asked[job_id], cluster.bodies[job_id] = (
                SubmittedJob(cluster.now, accepted=cluster.now),
                specs[accepted_index],
            )
        await anyio.sleep(25.0)
        assert not await cluster.all_answered(ANSWERED_WITHIN_S) and set(cluster.told.values()) == {
            DONE
        }
        assert {
            k[0]: 0 for k in cluster.fleet.start_counts if k[1] >= cluster.specs[k[0]].task_count
        } == {}

    play(scene, seed)
