"""Answers to users: never older than earlier ones, and a cancellation only once it may be
acknowledged.
"""

from __future__ import annotations

import ast
from pathlib import Path
from random import Random
from typing import Any

import anyio
import pytest

from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.job_answers import (
    FreshRead,
    JobAnswers,
    JobStatus,
    Unavailable,
    UnknownJob,
)
from ploverhall.protocol import jobs
from ploverhall.protocol.key_value_store import WatchEvent
from ploverhall.storage.schema import (
    ARCHIVE_MARKER_KEY,
    ARCHIVE_PREFIX,
    JOB_PREFIX,
    end_record,
)
from ploverhall.storage.store_cache import StoreCache

from .removed_guards import fresh_read_without_reading
from .simulation import decision_model
from .simulation.cluster import HOLD, RESET, SimulatedCluster, play
from .simulation.fault_schedules import CANCEL, KNOWN_S, LEASE


@pytest.fixture
def platform_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """The deployments' own lease and time for a cancellation."""
    monkeypatch.setattr(decision_model, "LEASE", LEASE)
    monkeypatch.setattr(decision_model, "CANCEL", CANCEL)


def told_at_once(self: JobAnswers, job_id: str) -> JobStatus | None:
    """Replace `final`, as repeated submissions were answered: an end is reported whoever knows of
    it.
    """
    end = self.store_cache.ended_jobs.get(job_id)
    return (
        None
        if end is None
        else JobStatus(jobs.status_body(job_id, end.outcome, end.tasks_done), True)
    )


@pytest.mark.parametrize("guarded", [True, False])
@pytest.mark.parametrize("mode", [HOLD, RESET])
def test_repeated_submission_acknowledges_no_cancellation_early(
    mode: str, guarded: bool, platform_times: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A zone is partitioned for 110 s with its controller, and jobs are cancelled outside while
    their submissions are repeated.

    Answered from the store cache, which learnt of the cancellation while the request waited for its
    read, the user was told within milliseconds, and tasks in the zone ran on for 73 s
    (`ran_cancelled`).
    """
    if not guarded:
        monkeypatch.setattr(JobAnswers, "final", told_at_once)

    async def scene(cluster: SimulatedCluster) -> None:
        wanted = [cluster.spec(n, gait="daemon", chicks=3) for n in range(1, 7)]
        for spec in wanted:
            await cluster.submit(spec)
        await anyio.sleep(8.0)
        cluster.cut_zone("b", mode, 110.0)
        await anyio.sleep(1.0)
        for i, spec in enumerate(wanted):
            cluster.tasks.start_soon(cluster.withdraw, spec["id"], ("c0", "c2")[i % 2])
        at = cluster.now
        while cluster.now - at < 1.2:
            for spec in wanted:
                for name in ("c0", "c2"):
                    cluster.tasks.start_soon(cluster.resubmit, spec["id"], name)
            await anyio.sleep(0.01)
        early = [j for j in cluster.cancelled if cluster.now - cluster.cancelled[j] < 2.0]
        await anyio.sleep(109.0)
        assert not early or not guarded
        assert len(cluster.cancelled) == len(wanted), "told, once the zone must have stopped"
        assert not await cluster.all_answered(KNOWN_S)

    if guarded:
        play(scene)
    else:
        with pytest.raises(AssertionError, match="ran_cancelled"):
            play(scene)


@pytest.mark.parametrize("seed", range(4))
def test_frequent_status_requests_get_no_older_answer(seed: int) -> None:
    """All controllers are asked, and submissions repeated, within 50 ms of each acceptance, end and
    cancellation; some jobs are cancelled at once.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        rng = Random(seed)
        cluster.tasks.start_soon(cluster.close_looks, 60.0)
        cluster.tasks.start_soon(cluster.flow, 45.0, 0.8)
        for i in range(6):
            cluster.tasks.start_soon(cluster.submit, cluster.spec(900 + i, gait="daemon"))
        await anyio.sleep(10.0)
        if seed % 2:
            cluster.tasks.start_soon(
                cluster.crash, rng.choice(cluster.names), rng.choice([0.3, 3.0])
            )
        for i in range(6):
            cluster.tasks.start_soon(cluster.withdraw, f"j-{900 + i:06d}")
            await anyio.sleep(2.0)
        await anyio.sleep(45.0)
        assert not await cluster.all_answered(KNOWN_S)
        assert len(cluster.told) > 30

    play(scene, seed)


@pytest.mark.parametrize("without", ["proof", "archive"])
def test_frequent_status_requests_detect_an_older_answer_without_a_guard(
    without: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without the fresh read, or without a look into the archive, an accepted job is not known."""
    if without == "proof":
        monkeypatch.setattr(StoreWatch, "fresh_read", fresh_read_without_reading)
    else:
        monkeypatch.setattr(
            JobAnswers, "archived", lambda self, job_id, value, version: UnknownJob()
        )

    async def scene(cluster: SimulatedCluster) -> None:
        for n in cluster.nodes.values():
            object.__setattr__(n.settings.options, "keep_ended", 3)
        cluster.tasks.start_soon(cluster.close_looks, 40.0)
        for i in range(20):
            await cluster.submit(cluster.spec(1 + i, gait="array", chicks=1, flightS=1.0))
        await anyio.sleep(25.0)
        await cluster.all_answered(20.0)

    with pytest.raises(AssertionError, match="forgotten"):
        play(scene)


# -- the decisions alone, beside a plain model ------------------------------------------------


class Copies:
    """A store with revisions, three controllers' caches of it, and what users have been told so
    far.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.store = decision_model.ModelStore()
        self.copies = [StoreCache() for _ in range(3)]
        self.known = [0, 0, 0]  # the revision up to which each controller knows all cancellations
        self.answers = [
            JobAnswers(r, self.teller(i), lambda job: (0, 0)) for i, r in enumerate(self.copies)
        ]
        self.told: dict[str, int] = {}  # 1: accepted, 2: over
        self.how: dict[str, str] = {}
        # A listing that is being read: pages come one by one
        self.listing: dict[int, tuple[list[str], dict[str, Any], int]] = {}
        # Questions: by whom, of what, when, the copy's revision, what had been told
        self.open: list[tuple[int, str, int, int, int]] = []

    def teller(self, i: int) -> Any:
        """A cancellation may be acknowledged by a controller that has read it, once all know of it."""
        return lambda end: (
            end.outcome == jobs.DONE or self.copies[i].revision >= end.version <= min(self.known)
        )

    def step(self) -> None:
        rng, s, i = self.rng, self.store, self.rng.randrange(3)
        job_id = f"j-{rng.randrange(1, 9):06d}"
        copy, answers = self.copies[i], self.answers[i]
        match rng.randrange(9):
            case 0:  # a submission
                job = decision_model.job(Random(1), job_id, 0.0)
                rev, failed = s.txn(
                    {JOB_PREFIX + job_id: 0, ARCHIVE_PREFIX + job_id: 0},
                    {JOB_PREFIX + job_id: job.record()},
                    [],
                )
                if not failed and rng.random() < 0.7:  # else its answer is lost
                    copy.apply_own_write(JOB_PREFIX + job_id, job.record(), rev)
                    self.heard(job_id, answers.accepted(job_id), self.told.get(job_id, 0))
            case 1 | 2:  # an end: done by whoever runs it, or a cancellation by this copy's word
                version = (
                    answers.live_version(job_id)
                    if rng.random() < 0.5
                    else s.kv.get(JOB_PREFIX + job_id, (None, 0))[1]
                )
                if version and isinstance(s.kv.get(JOB_PREFIX + job_id, (None, 0))[0], list):
                    how = rng.choice([jobs.DONE, jobs.CANCELLED])
                    rev, failed = s.txn(
                        {JOB_PREFIX + job_id: version},
                        {JOB_PREFIX + job_id: end_record(how, 1)},
                        [],
                    )
                    if not failed and rng.random() < 0.7:
                        copy.apply_own_write(JOB_PREFIX + job_id, end_record(how, 1), rev)
            case 3:  # the archive takes a job whose end everybody may forget
                value, version = s.kv.get(JOB_PREFIX + job_id, (None, 0))
                if isinstance(value, dict) and version <= min(self.known):
                    s.txn(
                        {JOB_PREFIX + job_id: version},
                        {ARCHIVE_PREFIX + job_id: value, ARCHIVE_MARKER_KEY: 1},
                        [JOB_PREFIX + job_id],
                    )
            case 4:  # a watch's answer, perhaps of a while ago
                since = copy.revision if rng.random() < 0.7 else rng.randrange(copy.revision + 1)
                upto = rng.randint(max(since, copy.revision), max(s.rev, copy.revision))
                copy.apply(
                    upto,
                    [
                        WatchEvent(e.key, e.value, e.version)
                        for e in s.since(since)
                        if e.version <= upto
                    ],
                )
            case 5:  # a page of a listing; with the last one the copy begins anew
                self.page(i, 2)
            case 6:  # another controller learns of all cancellations up to some revision
                self.known[i] = max(self.known[i], rng.randint(0, copy.revision))
            case 7:  # a question is put
                if (
                    i not in self.listing
                ):  # no read that proves anything begins while the copy is read anew
                    self.open.append((i, job_id, s.rev, copy.revision, self.told.get(job_id, 0)))
            case _:
                if self.open:
                    self.answer(*self.open.pop(rng.randrange(len(self.open))))

    def page(self, i: int, n: int) -> None:
        """The next keys of a listing; the cache is loaded with the last ones, at the revision of
        the first.
        """
        s = self.store
        keys, found, rev = self.listing.pop(
            i, (sorted(k for k in s.kv if k.startswith("p/")), {}, s.rev)
        )
        found.update({k: s.kv[k] for k in keys[:n] if k in s.kv})
        if keys[n:]:
            self.listing[i] = (keys[n:], found, rev)
        else:
            self.copies[i].load(found, rev)

    def answer(self, i: int, job_id: str, asked: int, since: int, told: int) -> None:
        """A read that began some time before or after the request is over, and has brought what
        there was by then or later.
        """
        begun = self.rng.randint(max(since, asked - 3), max(asked, self.store.rev))
        upto = self.rng.randint(min(begun, self.store.rev), self.store.rev)
        self.copies[i].apply(upto, [e for e in self.store.since(since) if e.version <= upto])
        if i in self.listing and self.rng.random() < 0.5:
            self.page(
                i, 100
            )  # a listing that began after that read, and before what it has brought
        answer = self.answers[i].verified(
            job_id, asked, FreshRead(begun) if self.rng.random() < 0.9 else None
        )
        if not isinstance(answer, (JobStatus, Unavailable, UnknownJob)):
            answer = self.answers[i].archived(
                job_id, *self.store.kv.get(ARCHIVE_PREFIX + job_id, (None, 0))
            )
        self.heard(job_id, answer, told)

    def heard(self, job_id: str, answer: Any, told: int) -> None:
        """A user gets an answer: it is true, and no older than what had been told when the request
        was sent.
        """
        if isinstance(answer, Unavailable):
            return
        now = 0 if isinstance(answer, UnknownJob) else 2 if answer.final else 1
        assert now >= told, f"{job_id}: {answer} after {told}"
        self.told[job_id] = max(self.told.get(job_id, 0), now)
        if now == 2:
            how = answer.body["stance"]
            assert self.how.setdefault(job_id, how) == how, (
                f"{job_id} was {self.how[job_id]} and is {how}"
            )
            version = next(
                e.version
                for e in self.store.log
                if e.key == JOB_PREFIX + job_id and isinstance(e.value, dict)
            )
            assert how == jobs.DONE or version <= min(self.known), f"{job_id}: told before all know"


def run_copies(seeds: range) -> int:
    """Play many short histories. Returns the number of answers that users got."""
    n = 0
    for seed in seeds:
        c = Copies(seed)
        for _ in range(120):
            c.step()
        n += len(c.told)
    return n


def test_no_answer_is_older_than_one_before() -> None:
    assert run_copies(range(600)) > 1500


def unproved(self: JobAnswers, job_id: str, asked: float, proof: FreshRead | None) -> Any:
    return real_proved(self, job_id, asked, FreshRead(asked))


def straight_to_no(self: JobAnswers, job_id: str, asked: float, proof: FreshRead | None) -> Any:
    answer = real_proved(self, job_id, asked, proof)
    return answer if isinstance(answer, (JobStatus, Unavailable)) else UnknownJob()


real_proved = JobAnswers.verified


@pytest.mark.parametrize(
    ("name", "without"),
    [("verified", unproved), ("final", told_at_once), ("verified", straight_to_no)],
)
def test_model_reports_an_older_answer_without_each_guard(
    name: str, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The fresh read and its age, the acknowledgement of cancellations, the archive."""
    monkeypatch.setattr(JobAnswers, name, without)
    with pytest.raises(AssertionError):
        run_copies(range(600))


def test_only_job_answers_determines_the_reported_job_state() -> None:
    """Handlers of users' requests go through coordination.job_answers: they neither look at the
    store cache nor build a status.
    """
    for name in ("job_requests", "http_routes"):
        tree = ast.parse(
            (Path(__file__).parent.parent / "ploverhall/controller" / f"{name}.py").read_text()
        )
        used = {n.attr for n in ast.walk(tree) if isinstance(n, ast.Attribute)} | {
            n.id for n in ast.walk(tree) if isinstance(n, ast.Name)
        }
        assert not used & {
            "live_jobs",
            "ended_jobs",
            "unreadable_jobs",
            "status_body",
            "RUNNING",
            "DONE",
            "QUEUED",
            "EndedJob",
        }, name
        said = [
            n
            for n in ast.walk(tree)
            if isinstance(n, ast.Call)
            and ast.unparse(n.func) in ("Reply", "jobs.status_body", "status_body")
        ]
        for call in said:
            assert ast.unparse(call.func) == "Reply"
            if ast.unparse(call.args[0]) in ("200", "201") and name == "job_requests":
                assert ast.unparse(call.args[1]).endswith(".body"), ast.unparse(call)


def test_former_shard_holder_shows_current_job_counts() -> None:
    """It kept the last counts that it had received as the holder, and showed them for as long as
    the job lived.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        n = next(
            n
            for n in range(900, 930)
            if cluster.nodes["c0"].context.shard_map.team_shard[f"team-{n % 4}"] == 0
        )
        job_id = f"j-{n:06d}"
        cluster.fleet.longer.update({(job_id, 0): 50.0, (job_id, 1): 80.0})
        await cluster.submit(cluster.spec(n, gait="array", chicks=2, flightS=1.0))
        await anyio.sleep(6.0)
        await cluster.crash("c0", 7.0)
        while (job_id, 0) not in cluster.fleet.results or cluster.nodes[
            "c0"
        ].context.held_shards.keys() != {0}:
            await anyio.sleep(0.5)
        await anyio.sleep(3.0)
        shown = [
            (await cluster.users[name].call("GET", f"/api/jobs/{job_id}", None, 2.0))[1]
            for name in cluster.names
        ]
        assert shown == [{"id": job_id, "stance": "running", "done": 1, "running": 1}] * 3
        await anyio.sleep(40.0)

    play(scene)
