"""The store cache: own writes, older listings and watch responses in any order never take it back."""

from __future__ import annotations

from random import Random
from typing import Any

import anyio
import pytest

from ploverhall.protocol.key_value_store import WatchEvent
from ploverhall.storage.schema import JOB_PREFIX, SHARD_PREFIX, end_record
from ploverhall.storage.store_cache import StoreCache
from ploverhall.transport.http_server import Reply

from .scenarios import CANCELLED, DONE
from .simulation import decision_model, model_store
from .simulation.cluster import SimulatedCluster
from .simulation.fault_schedules import ANSWERED_WITHIN_S
from .simulation.scene import play
from .simulation.simulated_network import RESET


def test_reloaded_store_cache_claims_no_cancellation_that_it_has_not_passed_on() -> None:
    """The state service goes down between a restarted controller's listing and the watch that
    follows it, and stays down.

    c2 has missed a cancellation (it is cut from all but its agents); c1 restarts, and has listed
    it. Its gossip said that it had read up to there and named nothing: c2 took that for everything
    and said that it knew, c1 told the user, and c2's task ran on. (Guard: the cache is loaded and
    passed on in one step. Without it: ran_cancelled.)
    """

    async def scene(cluster: SimulatedCluster) -> None:
        service = next(
            n
            for n in range(900, 930)
            if cluster.nodes["c2"].context.shard_map.team_shard[f"team-{n % 4}"] == 2
        )
        await cluster.submit(cluster.spec(service, gait="daemon", chicks=3, marsh="a"))
        job_id = f"j-{service:06d}"
        while (
            sum(
                k[0] == job_id
                for w in cluster.workers_of("c2")
                for k in cluster.workers[w].on_machine()
            )
            < 1
        ):
            await anyio.sleep(0.5)
        for other in ("state", "c0", "c1"):
            cluster.net.cut("c2", other, RESET, 300.0)
        await anyio.sleep(0.5)
        cluster.tasks.start_soon(cluster.withdraw, job_id, "c0")
        await anyio.sleep(2.0)
        assert isinstance(cluster.state.store.kv[f"p/job/{job_id}"][0], dict), (
            "the cancellation has landed"
        )
        real, seen = cluster.state.handle, []

        async def handle(request: Any) -> Reply:
            reply = await real(request)
            if (
                request.path == "/kv"
                and request.query.get("starts") == "p/"
                and isinstance(reply.body, dict)
                and not reply.body["hasNext"]
            ):
                seen.append(cluster.now)
                cluster.tasks.start_soon(cluster.outage, 100.0)
            return reply

        cluster.state.handle = handle  # type: ignore[method-assign]
        await cluster.crash("c1", 0.2)
        while not seen:
            await anyio.sleep(0.01)
        cluster.state.handle = real  # type: ignore[method-assign]
        await anyio.sleep(1.0)
        for link in (("c2", "c1"), ("c1", "c2")):
            del cluster.net.cuts[link]
        for _ in range(70):
            await anyio.sleep(1.0)
            cluster.tasks.start_soon(cluster.ask, job_id, "c1")
        cluster.end_all_faults()
        await anyio.sleep(45.0)
        assert job_id in cluster.cancelled and not await cluster.all_answered(ANSWERED_WITHIN_S)

    play(scene)


class StoreCacheModel:
    """A store and one controller's cache of it, compared with what the store held at each revision."""

    def __init__(self, seed: int) -> None:
        self.rng, self.store, self.cache = Random(seed), model_store.ModelStore(), StoreCache()
        # Watches that have been answered, and what they say; not here yet
        self.pending_watches: list[tuple[int, int, list[WatchEvent]]] = []
        # The same, of a listing and the watch after it
        self.listings: list[tuple[dict[str, Any], int, int, list[WatchEvent]]] = []
        # Own writes that have landed; the answer is not here yet
        self.own_writes: list[tuple[str, Any, int]] = []
        self.ended: dict[str, str] = {}  # how jobs ended, by what this cache has shown
        self.revision_when_accepted: dict[
            str, int
        ] = {}  # jobs that were accepted here, and at which revision
        self.versions: dict[str, int] = {}

    def write(
        self, guards: dict[str, int], puts: dict[str, Any], deletes: list[str], own: bool
    ) -> None:
        rev, failed = self.store.txn(guards, puts, deletes)
        if not failed and own:
            self.own_writes += [(k, v, rev) for k, v in puts.items()]

    def watched(self, since: int) -> tuple[int, int, list[WatchEvent]]:
        return since, self.store.rev, self.store.since(since)

    def step(self) -> None:
        rng, store, cache = self.rng, self.store, self.cache
        job_id = f"j-{rng.randrange(1, 7):06d}"
        value, version = store.kv.get(JOB_PREFIX + job_id, (None, 0))
        own = rng.random() < 0.6
        match rng.randrange(9):
            case 0 if not version and "e/" + job_id not in store.kv:
                self.write(
                    {JOB_PREFIX + job_id: 0},
                    {JOB_PREFIX + job_id: decision_model.draw_job(Random(1), job_id, 0.0).record()},
                    [],
                    own,
                )
            case 1 if isinstance(value, list):
                self.write(
                    {JOB_PREFIX + job_id: version},
                    {JOB_PREFIX + job_id: end_record(rng.choice([DONE, CANCELLED]), 1)},
                    [],
                    own,
                )
            case 2 if isinstance(value, dict) and rng.random() < 0.3:
                self.write(
                    {JOB_PREFIX + job_id: version},
                    {"e/" + job_id: value, "p/archived": 1},
                    [JOB_PREFIX + job_id],
                    False,
                )
            case 3:
                key = rng.choice([f"{SHARD_PREFIX}0", f"{SHARD_PREFIX}1", "p/renter"])
                self.write({}, {key: {"node": f"c{rng.randrange(3)}"}}, [], own)
            case 4:
                self.pending_watches.append(self.watched(cache.revision))
            case 5 if len(self.listings) < 2 and rng.random() < 0.5:
                self.listings.append((store.read("p/"), store.rev, store.rev, []))
            case 6 if (
                self.listings
            ):  # it is read page by page, and watched from its first page on; others write meanwhile
                found, rev, _, _ = self.listings[-1]
                half = sorted(found)[len(found) // 2 :]
                found = {k: v for k, v in found.items() if k not in half} | {
                    k: store.kv[k] for k in half if k in store.kv
                }
                found |= {k: v for k, v in store.read("p/").items() if half and k >= half[0]}
                _, upto, events = self.watched(rev)
                self.listings[-1] = (found, rev, upto, events)
            case 7 if self.own_writes:
                cache.apply_own_write(*self.own_writes.pop(0))  # one write's answer after the other
            case 8:
                if self.listings and rng.random() < 0.4:
                    found, rev, upto, events = self.listings.pop(0)
                    cache.load(found, rev)
                    cache.apply(upto, events)
                elif self.pending_watches:  # two are asked at a time, the answers in any order
                    since, upto, events = self.pending_watches.pop(
                        rng.randrange(len(self.pending_watches))
                    )
                    if since <= cache.revision:
                        cache.apply(upto, events)
        self.check()

    def check(self) -> None:
        cache = self.cache
        at = {e.key: e.version for e in self.store.log if e.value is None}
        for job_id, how in self.ended.items():
            if job_id not in cache.ended_jobs:
                assert at.get(JOB_PREFIX + job_id), f"{job_id} was {how}, and is not over any more"
        for job_id, end in cache.ended_jobs.items():
            assert (
                self.ended.setdefault(job_id, end.outcome) == end.outcome
                and job_id not in cache.live_jobs
            ), f"{job_id} ended twice"
        for job_id, (_, version) in cache.live_jobs.items():
            self.revision_when_accepted[job_id] = version
        for job_id in self.revision_when_accepted:
            assert (
                job_id in cache.live_jobs
                or job_id in cache.ended_jobs
                or at.get(JOB_PREFIX + job_id)
            ), f"{job_id} was known, and is not"
        for key, (_, version) in cache.entries.items():
            assert version >= self.versions.get(key, 0), f"{key} went back"
            self.versions[key] = version


def run_store_cache_model(seeds: range) -> None:
    for seed in seeds:
        model = StoreCacheModel(seed)
        for _ in range(150):
            model.step()
        model.cache.apply(model.store.rev, model.store.since(model.cache.revision))
        over = {
            k[len(JOB_PREFIX) :]: v["s"]
            for k, (v, _) in model.store.kv.items()
            if k.startswith(JOB_PREFIX) and isinstance(v, dict)
        }
        assert {j: e.outcome for j, e in model.cache.ended_jobs.items()} == over, (
            "in the end it holds what the store holds"
        )
        assert {k: v for k, v in model.cache.entries.items()} == {
            k: v for k, v in model.store.read("p/").items() if not k.startswith(JOB_PREFIX)
        }
        assert {JOB_PREFIX + j for j in model.cache.live_jobs} | {JOB_PREFIX + j for j in over} == {
            k for k in model.store.kv if k.startswith(JOB_PREFIX)
        }


def test_cached_job_state_never_goes_back_in_any_order_of_updates() -> None:
    """Own writes are known before the watch brings them; a listing may be older than they are, and
    than the watch.
    """
    run_store_cache_model(range(400))


def everything_goes(self: StoreCache, found: dict[str, tuple[Any, int]], rev: int) -> None:
    """A listing is taken for complete: a key that it lacks is removed, however new it is."""
    for key in [
        *(JOB_PREFIX + j for j in (*self.live_jobs, *self.ended_jobs, *self.unreadable_jobs)),
        *self.entries,
    ]:
        if key not in found:
            self._apply_change(key, None, rev)
    real_load(self, found, rev)


def whatever_comes(self: StoreCache, rev: int, events: list[WatchEvent]) -> bool:
    for e in events:
        if e.key.startswith(JOB_PREFIX):
            self.ended_jobs.pop(e.key[len(JOB_PREFIX) :], None)
        self._apply_change(e.key, e.value, e.version)
    self.revision = max(self.revision, rev)
    return bool(events)


real_load = StoreCache.load


@pytest.mark.parametrize(
    ("name", "without"), [("load", everything_goes), ("apply", whatever_comes)]
)
def test_model_reports_a_store_cache_that_goes_back(
    name: str, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(StoreCache, name, without)
    with pytest.raises(AssertionError):
        run_store_cache_model(range(400))
