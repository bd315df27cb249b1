"""Short random histories of a store, three caches of it and users' requests: no answer is older than one before."""

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

from .removed_guards import told_at_once
from .simulation import decision_model, model_store


class JobAnswersModel:
    """A store with revisions, three controllers' caches of it, and what users have been told so
    far.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.store = model_store.ModelStore()
        self.caches = [StoreCache() for _ in range(3)]
        self.known = [0, 0, 0]  # the revision up to which each controller knows all cancellations
        self.answers = [
            JobAnswers(r, self.teller(i), lambda job: (0, 0)) for i, r in enumerate(self.caches)
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
            end.outcome == jobs.DONE or self.caches[i].revision >= end.version <= min(self.known)
        )

    def step(self) -> None:
        rng, s, i = self.rng, self.store, self.rng.randrange(3)
        job_id = f"j-{rng.randrange(1, 9):06d}"
        copy, answers = self.caches[i], self.answers[i]
        match rng.randrange(9):
            case 0:  # a submission
                job = decision_model.draw_job(Random(1), job_id, 0.0)
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
            self.caches[i].load(found, rev)

    def answer(self, i: int, job_id: str, asked: int, since: int, told: int) -> None:
        """A read that began some time before or after the request is over, and has brought what
        there was by then or later.
        """
        begun = self.rng.randint(max(since, asked - 3), max(asked, self.store.rev))
        upto = self.rng.randint(min(begun, self.store.rev), self.store.rev)
        self.caches[i].apply(upto, [e for e in self.store.since(since) if e.version <= upto])
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


def run_job_answers_model(seeds: range) -> int:
    """Play many short histories. Returns the number of answers that users got."""
    n = 0
    for seed in seeds:
        c = JobAnswersModel(seed)
        for _ in range(120):
            c.step()
        n += len(c.told)
    return n


def test_no_answer_is_older_than_one_before() -> None:
    assert run_job_answers_model(range(600)) > 1500


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
        run_job_answers_model(range(600))
