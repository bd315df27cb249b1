"""Random histories of a store, three caches and user requests: no answer goes back."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

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

from .removed_guards import final_without_barrier
from .simulation import decision_model, model_store


class JobAnswersModel:
    """A store with revisions, the caches of three controllers, and the answers given so far."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.store = model_store.ModelStore()
        self.caches = [StoreCache() for _ in range(3)]
        self.known = [0, 0, 0]  # the revision up to which each controller knows all cancellations
        self.answers = [
            JobAnswers(r, self.may_report_end(i), lambda job: (0, 0))
            for i, r in enumerate(self.caches)
        ]
        self.reported: dict[str, int] = {}  # 1: accepted, 2: ended
        self.outcome: dict[str, str] = {}  # job -> the outcome that was reported
        # Controller -> its listing in progress: keys still to read, entries, revision
        self.listing: dict[int, tuple[list[str], dict[str, Any], int]] = {}
        # Requests: controller, job, revision at arrival, cache revision, state reported by then
        self.open: list[tuple[int, str, int, int, int]] = []

    def may_report_end(self, i: int) -> Any:
        """Return the rule by which controller `i` may report an end.

        A cancellation may be acknowledged by a controller that has read it, once all know of it.
        """
        return lambda end: (
            end.outcome == jobs.DONE or self.caches[i].revision >= end.version <= min(self.known)
        )

    def step(self) -> None:
        rng, s, i = self.rng, self.store, self.rng.randrange(3)
        job_id = f"j-{rng.randrange(1, 9):06d}"
        cache, answers = self.caches[i], self.answers[i]
        match rng.randrange(9):
            case 0:  # a submission
                job = decision_model.draw_job(Random(1), job_id, 0.0)
                rev, failed = s.txn(
                    {JOB_PREFIX + job_id: 0, ARCHIVE_PREFIX + job_id: 0},
                    {JOB_PREFIX + job_id: job.record()},
                    [],
                )
                if not failed and rng.random() < 0.7:  # else its answer is lost
                    cache.apply_own_write(JOB_PREFIX + job_id, job.record(), rev)
                    self.check_answer(
                        job_id, answers.accepted(job_id), self.reported.get(job_id, 0)
                    )
            case 1 | 2:  # an end, guarded by this cache's or the store's version of the job
                version = (
                    answers.live_version(job_id)
                    if rng.random() < 0.5
                    else s.kv.get(JOB_PREFIX + job_id, (None, 0))[1]
                )
                if version and isinstance(s.kv.get(JOB_PREFIX + job_id, (None, 0))[0], list):
                    outcome = rng.choice([jobs.DONE, jobs.CANCELLED])
                    rev, failed = s.txn(
                        {JOB_PREFIX + job_id: version},
                        {JOB_PREFIX + job_id: end_record(outcome, 1)},
                        [],
                    )
                    if not failed and rng.random() < 0.7:
                        cache.apply_own_write(JOB_PREFIX + job_id, end_record(outcome, 1), rev)
            case 3:  # a job whose end all controllers know moves to the archive
                value, version = s.kv.get(JOB_PREFIX + job_id, (None, 0))
                if isinstance(value, dict) and version <= min(self.known):
                    s.txn(
                        {JOB_PREFIX + job_id: version},
                        {ARCHIVE_PREFIX + job_id: value, ARCHIVE_MARKER_KEY: 1},
                        [JOB_PREFIX + job_id],
                    )
            case 4:  # the answer of a watch, possibly a late one
                since = cache.revision if rng.random() < 0.7 else rng.randrange(cache.revision + 1)
                upto = rng.randint(max(since, cache.revision), max(s.rev, cache.revision))
                cache.apply(
                    upto,
                    [
                        WatchEvent(e.key, e.value, e.version)
                        for e in s.since(since)
                        if e.version <= upto
                    ],
                )
            case 5:  # a page of a listing; after the last one the cache is reloaded
                self.page(i, 2)
            case 6:  # a controller learns of all cancellations up to some revision
                self.known[i] = max(self.known[i], rng.randint(0, cache.revision))
            case 7:  # a request arrives
                # No fresh read begins while the cache is reloaded
                if i not in self.listing:
                    self.open.append(
                        (i, job_id, s.rev, cache.revision, self.reported.get(job_id, 0))
                    )
            case _:
                if self.open:
                    self.answer(*self.open.pop(rng.randrange(len(self.open))))

    def page(self, i: int, n: int) -> None:
        """Read the next `n` keys of a listing.

        After the last page the cache is loaded, at the revision of the first page.
        """
        s = self.store
        keys, found, rev = self.listing.pop(
            i, (sorted(k for k in s.kv if k.startswith("p/")), {}, s.rev)
        )
        found.update({k: s.kv[k] for k in keys[:n] if k in s.kv})
        if keys[n:]:
            self.listing[i] = (keys[n:], found, rev)
        else:
            self.caches[i].load(found, rev)

    def answer(self, i: int, job_id: str, asked: int, since: int, reported: int) -> None:
        """Complete a read that began some time before or after the request, and answer the request.

        The read has brought the state of the store at its start or later.
        """
        begun = self.rng.randint(max(since, asked - 3), max(asked, self.store.rev))
        upto = self.rng.randint(min(begun, self.store.rev), self.store.rev)
        self.caches[i].apply(upto, [e for e in self.store.since(since) if e.version <= upto])
        if i in self.listing and self.rng.random() < 0.5:
            # The listing began after the read started and before the revision that it returned
            self.page(i, 100)
        answer = self.answers[i].verified(
            job_id, asked, FreshRead(begun) if self.rng.random() < 0.9 else None
        )
        if not isinstance(answer, (JobStatus, Unavailable, UnknownJob)):
            answer = self.answers[i].archived(
                job_id, *self.store.kv.get(ARCHIVE_PREFIX + job_id, (None, 0))
            )
        self.check_answer(job_id, answer, reported)

    def check_answer(self, job_id: str, answer: Any, reported: int) -> None:
        """Check an answer: it is true, and no older than the state reported before the request."""
        if isinstance(answer, Unavailable):
            return
        now = 0 if isinstance(answer, UnknownJob) else 2 if answer.final else 1
        assert now >= reported, (
            f"{job_id}: answer {answer} is older than the reported state {reported}"
        )
        self.reported[job_id] = max(self.reported.get(job_id, 0), now)
        if now == 2:
            outcome = answer.body["stance"]
            assert self.outcome.setdefault(job_id, outcome) == outcome, (
                f"{job_id}: reported as {self.outcome[job_id]}, now as {outcome}"
            )
            version = next(
                e.version
                for e in self.store.log
                if e.key == JOB_PREFIX + job_id and isinstance(e.value, dict)
            )
            assert outcome == jobs.DONE or version <= min(self.known), (
                f"{job_id}: cancellation acknowledged before all controllers know of it"
            )


def run_job_answers_model(seeds: range) -> int:
    """Run one short history per seed, and return the number of jobs with an answer."""
    n = 0
    for seed in seeds:
        model = JobAnswersModel(seed)
        for _ in range(120):
            model.step()
        n += len(model.reported)
    return n


def test_no_answer_is_older_than_one_before() -> None:
    assert run_job_answers_model(range(600)) > 1500


def verified_without_fresh_read(
    self: JobAnswers, job_id: str, asked: float, proof: FreshRead | None
) -> Any:
    return real_verified(self, job_id, asked, FreshRead(asked))


def verified_without_archive(
    self: JobAnswers, job_id: str, asked: float, proof: FreshRead | None
) -> Any:
    answer = real_verified(self, job_id, asked, proof)
    return answer if isinstance(answer, (JobStatus, Unavailable)) else UnknownJob()


real_verified = JobAnswers.verified


@pytest.mark.parametrize(
    ("name", "without"),
    [
        pytest.param("verified", verified_without_fresh_read, id="verified-unproved"),
        pytest.param("final", final_without_barrier, id="final-told_at_once"),
        pytest.param("verified", verified_without_archive, id="verified-straight_to_no"),
    ],
)
def test_model_reports_an_older_answer_without_each_guard(
    name: str, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The guards: the fresh read and its age, the cancellation barrier, the archive lookup."""
    monkeypatch.setattr(JobAnswers, name, without)
    with pytest.raises(AssertionError):
        run_job_answers_model(range(600))
