"""Test the job source's decisions and writes."""

from __future__ import annotations

from typing import Any

from ploverhall.protocol import peer_messages
from ploverhall.protocol.peer_messages import AttemptUpdate
from ploverhall.scheduling.pending_write import PendingWrite
from ploverhall.scheduling.permitting import JobSource
from ploverhall.settings import Team
from ploverhall.storage.schema import JOB_PREFIX, SHARD_PREFIX

from .job_sources import EPOCH, a_job, offers, source
from .simulation.model_store import ModelStore


def owner_counts(s: JobSource, shard_index: int = 0, now: float = 1.0) -> tuple[int, int]:
    """Return how many candidates and permits the owner of a shard knows of by now."""
    for (p, key), value in s.take_owner_updates(2, now).items():
        OWNER_ENTRIES[s, p, key] = value
    want = OWNER_ENTRIES.get((s, shard_index, peer_messages.candidate_key("j-000001")))
    permits = [
        v
        for (src, p, k), v in OWNER_ENTRIES.items()
        if src is s and p == shard_index and k[0] == peer_messages.PERMIT and v is not None
    ]
    return (want.waiting_tasks if want is not None else 0), len(permits)


OWNER_ENTRIES: dict[tuple[JobSource, int, str], Any] = {}


def one_permit_being_written() -> tuple[JobSource, PendingWrite]:
    s = source()
    s.on_job(a_job(task_count=1), "j-000001", 5, 0.0)
    s.on_owner_update(0, 3, True, offers(1), 1.0)
    s.decide(1.0)
    txn = s.next_write()
    assert txn is not None
    return s, txn


def test_candidates_stay_requested_while_their_permit_is_written() -> None:
    s = source()
    s.on_job(a_job(task_count=2), "j-000001", 5, 0.0)
    s.on_owner_update(0, 3, True, offers(2), 1.0)
    s.decide(1.0)
    assert owner_counts(s) == (2, 0)
    txn = s.next_write()
    assert txn is not None and txn.compare[JOB_PREFIX + "j-000001"] == 5
    s.on_committed(txn, 20, 1.1)
    assert owner_counts(s) == (0, 2)


def test_preempting_offer_is_taken_only_after_other_shards_had_time_to_offer() -> None:
    s = source()
    s.on_job(a_job(task_count=1, kind="service"), "j-000001", 5, 0.0)
    s.on_owner_update(0, 3, True, offers(1, victims=1), 0.02)
    s.decide(0.02)
    assert s.next_write() is None and s.holding_back_offers
    s.on_owner_update(1, 3, True, offers(1, shard_index=1), 0.04)
    s.decide(0.3)
    txn = s.next_write()
    assert txn is not None and [e.shard for e in txn.added] == [1], (
        "free capacity must be preferred to preemption"
    )


def test_team_limit_counts_tasks_not_proved_gone() -> None:
    s = source(limit=2.0)
    s.on_job(a_job(task_count=5), "j-000001", 5, 0.0)
    s.on_owner_update(0, 3, True, offers(5), 1.0)
    s.decide(1.0)
    txn = s.next_write()
    assert txn is not None and len(txn.added) == 2
    s.on_committed(txn, 20, 1.0)
    s.on_job(None, "j-000001", 0, 2.0)  # cancelled; its tasks may still run
    s.on_job(a_job("j-000002", task_count=2), "j-000002", 6, 2.0)
    s.on_owner_update(0, 3, False, offers(2, first=50, job="j-000002"), 2.0)
    s.decide(2.0)
    assert s.next_write() is None


def test_a_gang_is_permitted_whole_or_not_at_all() -> None:
    s = source()
    s.on_job(a_job(task_count=3, kind="gang"), "j-000001", 5, 0.0)
    s.on_owner_update(0, 3, True, offers(2), 1.0)
    s.decide(1.0)
    assert s.next_write() is None
    s.on_owner_update(1, 3, True, offers(1, shard_index=1), 1.1)
    s.decide(1.1)
    txn = s.next_write()
    assert txn is not None and len(txn.added) == 3 and len({e.attempt for e in txn.added}) == 1, (
        "one attempt must take tasks on two shards"
    )


def test_a_gang_in_one_zone_takes_no_pieces_from_two() -> None:
    s = source()
    s.on_job(a_job(task_count=3, kind="gang", single_zone=True), "j-000001", 5, 0.0)
    s.on_owner_update(0, 3, True, offers(2), 1.0)
    s.on_owner_update(1, 3, True, offers(2, shard_index=1, zone="b"), 1.0)
    s.decide(1.0)
    assert s.next_write() is None


def test_spread_takes_only_half_of_the_tasks_in_one_zone() -> None:
    s = source()
    s.on_job(a_job(task_count=5, kind="service", spread_zones=True), "j-000001", 5, 0.0)
    s.on_owner_update(0, 3, True, offers(5), 1.0)
    s.decide(1.0)
    txn = s.next_write()
    assert txn is not None and len(txn.added) == 3


def test_job_cancelled_during_the_write_is_not_started() -> None:
    s, txn = one_permit_being_written()
    assert s.writer.on_compare_failed(txn, [JOB_PREFIX + "j-000001"]) == []
    assert s.next_write() is None and owner_counts(s) == (0, 0)


def test_write_of_unknown_outcome_that_landed_late_is_read_from_the_record() -> None:
    s, txn = one_permit_being_written()
    s.record_loader.install_allocations("t", {}, 2.0)  # read again; the write has not landed yet
    assert s.jobs["j-000001"].allocations == {}
    ((key, value),) = [(k, v) for k, v in txn.puts.items()]
    s.record_loader.install_allocations(
        "t", {key: (value, 30)}, 3.0
    )  # the next write failed its compare: the first one has landed after all
    assert s.jobs["j-000001"].allocations[0].committed
    assert owner_counts(s, now=3.0) == (0, 1)


def test_a_hundred_thousand_tasks_fit_the_limits() -> None:
    s = JobSource(0, EPOCH, [Team("t", 0, 0, 0, 0)], ("a",), 4096, 8)
    s.on_job(a_job(task_count=100_000), "j-000001", 5, 0.0)
    import orjson

    now, rev, ticket, done = 1.0, 50, 1, 0
    for _ in range(6):
        s.on_owner_update(0, 3, True, offers(200, first=ticket), now)
        ticket += 200
        s.decide(now)
        while (txn := s.next_write()) is not None:
            assert len(txn.puts) + len(txn.deletes) <= 8 and len(txn.compare) <= 32
            assert all(len(orjson.dumps(v)) <= 4096 for v in txn.puts.values())
            rev += 1
            s.on_committed(txn, rev, now)
        js = s.jobs["j-000001"]
        exits = {
            peer_messages.attempt_key(e.attempt_id): AttemptUpdate("exited", "done", 0, 0)
            for e in js.allocations.values()
        }
        s.on_owner_update(0, 3, True, exits, now)
        while (txn := s.next_write()) is not None:
            assert len(txn.puts) + len(txn.deletes) <= 8
            rev += 1
            s.on_committed(txn, rev, now)
        done += 200
        assert s.jobs["j-000001"].done_count == done and not s.jobs["j-000001"].allocations


def test_write_of_unknown_outcome_is_fenced_before_its_permits_are_reissued() -> None:
    """The write may land after the record was read again; with a new permit in another chunk, one
    task would have two permits.
    """
    s, txn = one_permit_being_written()
    (key,) = txn.puts
    s.writer.on_outcome_unknown(txn)
    s.record_loader.install_allocations("t", {}, 2.0)
    s.on_owner_update(0, 3, True, offers(1, first=7), 2.0)
    s.decide(2.0)
    fence = s.next_write()
    assert (
        fence is not None
        and fence.added == []
        and fence.puts == {key: {}}
        and fence.compare[key] == 0
    ), "the fence must be written first and alone"
    s.on_committed(fence, 31, 2.1)
    again = s.next_write()
    assert (
        again is not None
        and len(again.added) == 1
        and again.compare[again.chunks[0].chunk.key] == 31
    )


def test_cost_of_a_change_does_not_depend_on_other_jobs() -> None:
    """Counts visits, not time: one task's exit among many jobs and allocations, from its write to
    the owners' updates.
    """
    visits, update_counts = [], []
    for size in (10, 400):
        s = JobSource(0, EPOCH, [Team("t", 0, 0, 0, 0)], ("a",), 4096, 8)
        for i in range(size):
            jid = f"j-{i:06d}"
            s.on_job(a_job(jid, task_count=9), jid, 5, 0.0)
            s.on_owner_update(0, 3, False, offers(9, first=10 * i, job=jid), 1.0)
        rev = 50
        now = 1.0

        def settle(s: JobSource, now: float, rev: int) -> int:
            while True:
                s.decide(now)
                while (txn := s.next_write()) is not None:
                    rev += 1
                    s.on_committed(txn, rev, now)
                if not s.is_unfinished:  # one decision issues a bounded number of permits
                    return rev

        rev = settle(s, now, rev)
        s.take_owner_updates(3, now)
        settle(s, 3.0, rev)
        s.take_owner_updates(3, 3.0)
        before = s.store.visit_count
        e = s.jobs["j-000004"].allocations[2]
        s.on_owner_update(
            0,
            3,
            False,
            {peer_messages.attempt_key(e.attempt_id): AttemptUpdate("exited", "done", 0, 0)},
            3.1,
        )
        settle(s, 3.1, rev)
        update_counts.append(len(s.take_owner_updates(3, 3.1)))
        visits.append(s.store.visit_count - before)
    assert visits[1] <= 1.5 * visits[0] and update_counts == [7, 7]


def test_short_write_budget_serves_the_highest_priority_first() -> None:
    """Permits of replicas were queued behind those of a guest's many single jobs."""
    s = JobSource(0, EPOCH, [Team("guest", 0, 0, 0, 0), Team("t", 0, 0, 4, 10)], ("a", "b"), 400, 8)
    all_offers: dict[str, Any] = {}
    for i in range(200):
        s.on_job(
            a_job(f"j-1{i:05d}", task_count=1, team="guest", priority=3, gpus=0.0),
            f"j-1{i:05d}",
            5,
            0.0,
        )
        all_offers |= offers(1, first=i + 1, job=f"j-1{i:05d}")
    s.on_owner_update(0, 3, True, all_offers, 1.0)
    s.decide(1.0)
    s.on_job(a_job("j-000001", task_count=2, kind="service", priority=0), "j-000001", 6, 1.0)
    s.on_owner_update(0, 3, False, offers(2, first=900), 1.1)
    s.decide(1.2)
    assert len(s.store.dirty_chunks) > 20
    txn = s.next_write(3)
    assert (
        txn is not None
        and txn.operation_count == 3
        and sum(e.job_id == "j-000001" for e in txn.added) == 2
    )
    s.on_committed(txn, 50, 1.3)
    writes = 0
    while (txn := s.next_write(3)) is not None and writes < 100:
        s.on_committed(txn, 51 + writes, 2.0)
        writes += 1
    assert (
        all(e.committed for js in s.jobs.values() for e in js.allocations.values()) and writes < 60
    )


def test_a_replica_does_not_wait_for_an_array_that_holds_its_teams_limit() -> None:
    """The replica waited for 124 s until the first of the array's tasks was done.

    Seen in ardgael-loans-ops, inc-4b3c.
    """
    s = source(limit=4.0)
    s.on_job(a_job("j-000002", task_count=6, priority=3), "j-000002", 5, 0.0)
    s.on_owner_update(0, 3, True, offers(4, first=10, job="j-000002"), 0.5)
    s.decide(0.5)
    txn = s.next_write()
    assert txn is not None
    s.on_committed(txn, 50, 0.6)
    s.on_job(a_job("j-000001", task_count=1, kind="service", priority=0), "j-000001", 6, 1.0)
    s.take_owner_updates(2, 1.0)
    s.decide(2.0)
    s.decide(3.0)
    array = s.jobs["j-000002"]
    stopped = [e for e in array.allocations.values() if e.stop_grace_s is not None]
    assert len(stopped) == 1, "one preempted task frees enough"
    e = stopped[0]
    s.on_owner_update(
        0,
        3,
        False,
        {peer_messages.attempt_key(e.attempt_id): AttemptUpdate("exited", "halted", 0, 0)},
        3.1,
    )
    txn = s.next_write()
    assert txn is not None
    s.on_committed(txn, 51, 3.2)
    s.on_owner_update(0, 3, False, offers(1, first=20, job="j-000002") | offers(1, first=30), 3.3)
    assert s.quotas.candidate_count(array, 3.3) == 0, (
        "the freed capacity must be kept for the replica"
    )
    s.decide(3.4)
    assert len(s.jobs["j-000001"].allocations) == 1


def test_jobs_waiting_for_long_take_turns_ahead_of_others() -> None:
    """An array takes its turn with its first task, a gang with all tasks.

    Neither ever goes before services and guarantees, and a turn ends, because the job may never
    fit.
    """
    s = source(limit=0.0)
    s.on_job(a_job("j-000001", task_count=50, priority=3), "j-000001", 5, 0.0)
    s.on_job(a_job("j-000002", task_count=8, kind="gang", priority=2), "j-000002", 5, 0.0)
    s.decide(119.0)
    s.on_job(a_job("j-000003", task_count=5, priority=1, submitted_at=119.0), "j-000003", 6, 119.0)
    s.on_job(
        a_job("j-000004", task_count=1, kind="service", priority=0, submitted_at=119.0),
        "j-000004",
        7,
        119.0,
    )

    def first() -> list[str]:
        s.take_owner_updates(1, 0.0)
        return sorted(
            (j for j, js in s.jobs.items() if js.job is not None),
            key=lambda j: s.store.queue_order(s.jobs[j]),
        )

    assert first() == ["j-000004", "j-000003", "j-000002", "j-000001"]
    s.decide(121.0)
    assert first() == ["j-000004", "j-000001", "j-000002", "j-000003"]
    assert (
        s.quotas.candidate_count(s.jobs["j-000001"], 121.0) == 1
        and s.quotas.candidate_count(s.jobs["j-000002"], 121.0) == 8
    )
    s.decide(242.0)
    assert first() == ["j-000004", "j-000003", "j-000002", "j-000001"], (
        "the turn must end whether or not the job was placed"
    )
    s.decide(363.0)
    s.on_owner_update(0, 3, True, offers(1), 363.5)
    s.decide(364.0)
    txn = s.next_write()
    assert txn is not None and [e.job_id for e in txn.added] == ["j-000001"]
    s.on_committed(txn, 20, 364.1)
    e = txn.added[0]
    s.on_owner_update(
        0,
        3,
        False,
        {peer_messages.attempt_key(e.attempt_id): AttemptUpdate("running", "", 0, 0)},
        365.0,
    )
    assert (
        first()[-1] == "j-000001" and s.quotas.candidate_count(s.jobs["j-000001"], 365.0) == 49
    ), "a started array must wait in normal order with its other tasks"


def test_late_write_fails_its_compare_even_when_its_record_was_empty_meanwhile() -> None:
    """The late write compares with an absent record. The record was fenced, used, emptied and
    deleted, so it was absent again, and the late write landed.

    Its permit was unknown to all, for a task that ran elsewhere or was done (0.6 of such writes on
    a bad day).
    """
    store = ModelStore()
    rev, _ = store.txn({}, {JOB_PREFIX + "j-000001": 1, f"{SHARD_PREFIX}0": {"node": "c0"}}, [])
    s = JobSource(0, rev, [Team("t", 0, 0, 4, 10.0)], ("a", "b"), 4096, 8)
    s.on_job(a_job(task_count=2), "j-000001", rev, 0.0)
    s.on_owner_update(0, 3, True, offers(1), 1.0)
    s.decide(1.0)
    late = s.next_write()
    assert late is not None and len(late.added) == 1
    s.writer.on_outcome_unknown(late)
    s.record_loader.install_allocations("t", store.read("c/t/"), 2.0)

    def write() -> None:
        while (txn := s.next_write()) is not None:
            rev, failed = store.txn(txn.compare, txn.puts, txn.deletes)
            assert not failed
            s.on_committed(txn, rev, 2.0)

    write()  # the fence
    s.on_owner_update(0, 3, True, offers(1, first=7), 2.0)
    s.decide(2.0)
    write()
    key = next(iter(s.jobs["j-000001"].allocations.values()))
    s.on_owner_update(
        0,
        3,
        False,
        {peer_messages.attempt_key(key.attempt_id): AttemptUpdate("exited", "done", 0, 0)},
        3.0,
    )
    write()
    assert not s.jobs["j-000001"].allocations and not any(
        v for v, _ in store.read("c/t/").values()
    ), "no permit is left"
    _, failed = store.txn(late.compare, late.puts, late.deletes)
    assert failed and all(f.startswith("c/") for f in failed), (
        "only the revision of its own chunk may prevent the write"
    )
