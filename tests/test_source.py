"""The source's decisions and writes."""

from __future__ import annotations

from typing import Any

from ploverhall.protocol import peer_messages
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import OfferNews, StartNews
from ploverhall.scheduling.allocations import Txn
from ploverhall.scheduling.permitting import Source
from ploverhall.settings import Team
from ploverhall.storage.store_cache import JOB, SHARD

from .world import Store

EPOCH = 9


def a_job(jid: str = "j-000001", kind: str = "array", n: int = 3, **kw: Any) -> Job:
    base: dict[str, Any] = {
        "id": jid,
        "klass": "c",
        "team": "t",
        "kind": kind,
        "rank": 2,
        "n": n,
        "cpus": 1.0,
        "gpus": 1.0,
        "mem": 1.0,
        "image": "i",
        "image_gb": 1.0,
        "types": None,
        "zone": None,
        "one_zone": False,
        "spread": False,
        "spot": False,
        "estimate_s": 9.0,
        "checkpoint_s": 0.0,
        "save_s": 0.0,
        "deadline_s": None,
        "at": 0.0,
    }
    return Job(**{**base, **kw})


def source(limit: float = 10.0) -> Source:
    return Source(0, EPOCH, [Team("t", 0, 0, 4, limit)], ("a", "b"), 4096, 8)


def offers(
    n: int, part: int = 0, zone: str = "a", first: int = 1, victims: int = 0, job: str = "j-000001"
) -> dict[str, Any]:
    return {
        peer_messages.offer_key(first + i): OfferNews(job, f"n-{part}{i}", zone, 0.0, victims)
        for i in range(n)
    }


def told(s: Source, part: int = 0, now: float = 1.0) -> tuple[int, int]:
    """What the owner of a part knows by now: candidates wanted, and permits."""
    for (p, key), value in s.take_news(2, now).items():
        BOARD[s, p, key] = value
    want = BOARD.get((s, part, peer_messages.candidate_key("j-000001")))
    permits = [
        v
        for (src, p, k), v in BOARD.items()
        if src is s and p == part and k[0] == peer_messages.PERMIT and v is not None
    ]
    return (want.n if want is not None else 0), len(permits)


BOARD: dict[tuple[Source, int, str], Any] = {}


def one_permit_being_written() -> tuple[Source, Txn]:
    s = source()
    s.on_job(a_job(n=1), "j-000001", 5, 0.0)
    s.on_owner(0, 3, True, offers(1), 1.0)
    s.decide(1.0)
    txn = s.plan()
    assert txn is not None
    return s, txn


def test_room_stays_wanted_while_its_permit_is_being_written() -> None:
    s = source()
    s.on_job(a_job(n=2), "j-000001", 5, 0.0)
    s.on_owner(0, 3, True, offers(2), 1.0)
    s.decide(1.0)
    assert told(s) == (2, 0)
    txn = s.plan()
    assert txn is not None and txn.guards[JOB + "j-000001"] == 5
    s.landed(txn, 20, 1.1)
    assert told(s) == (0, 2)


def test_preempting_room_is_taken_only_when_others_had_time_to_speak() -> None:
    s = source()
    s.on_job(a_job(n=1, kind="service"), "j-000001", 5, 0.0)
    s.on_owner(0, 3, True, offers(1, victims=1), 0.02)
    s.decide(0.02)
    assert s.plan() is None and s.impatient
    s.on_owner(1, 3, True, offers(1, part=1), 0.04)
    s.decide(0.3)
    txn = s.plan()
    assert txn is not None and [e.part for e in txn.adds] == [1], "plain room is the better answer"


def test_the_limit_counts_what_is_not_proven_gone() -> None:
    s = source(limit=2.0)
    s.on_job(a_job(n=5), "j-000001", 5, 0.0)
    s.on_owner(0, 3, True, offers(5), 1.0)
    s.decide(1.0)
    txn = s.plan()
    assert txn is not None and len(txn.adds) == 2
    s.landed(txn, 20, 1.0)
    s.on_job(None, "j-000001", 0, 2.0)  # withdrawn: its tasks are still out there
    s.on_job(a_job("j-000002", n=2), "j-000002", 6, 2.0)
    s.on_owner(0, 3, False, offers(2, first=50, job="j-000002"), 2.0)
    s.decide(2.0)
    assert s.plan() is None


def test_a_gang_is_permitted_whole_or_not_at_all() -> None:
    s = source()
    s.on_job(a_job(n=3, kind="gang"), "j-000001", 5, 0.0)
    s.on_owner(0, 3, True, offers(2), 1.0)
    s.decide(1.0)
    assert s.plan() is None
    s.on_owner(1, 3, True, offers(1, part=1), 1.1)
    s.decide(1.1)
    txn = s.plan()
    assert txn is not None and len(txn.adds) == 3 and len({e.attempt for e in txn.adds}) == 1, (
        "pieces of two parts, one attempt"
    )


def test_a_gang_in_one_zone_takes_no_pieces_from_two() -> None:
    s = source()
    s.on_job(a_job(n=3, kind="gang", one_zone=True), "j-000001", 5, 0.0)
    s.on_owner(0, 3, True, offers(2), 1.0)
    s.on_owner(1, 3, True, offers(2, part=1, zone="b"), 1.0)
    s.decide(1.0)
    assert s.plan() is None


def test_spread_leaves_half_of_the_zones_room() -> None:
    s = source()
    s.on_job(a_job(n=5, kind="service", spread=True), "j-000001", 5, 0.0)
    s.on_owner(0, 3, True, offers(5), 1.0)
    s.decide(1.0)
    txn = s.plan()
    assert txn is not None and len(txn.adds) == 3


def test_a_job_withdrawn_under_the_write_is_not_started() -> None:
    s, txn = one_permit_being_written()
    assert s.refused(txn, [JOB + "j-000001"]) == []
    assert s.plan() is None and told(s) == (0, 0)


def test_a_write_of_unknown_outcome_that_landed_late_is_taken_from_the_cell() -> None:
    s, txn = one_permit_being_written()
    s.install_cell("t", {}, 2.0)  # read again: not there yet
    assert s.jobs["j-000001"].entries == {}
    ((key, value),) = [(k, v) for k, v in txn.puts.items()]
    s.install_cell(
        "t", {key: (value, 30)}, 3.0
    )  # the next write failed its guard: it has landed after all
    assert s.jobs["j-000001"].entries[0].landed
    assert told(s, now=3.0) == (0, 1)


def test_a_hundred_thousand_tasks_fit_the_limits() -> None:
    s = Source(0, EPOCH, [Team("t", 0, 0, 0, 0)], ("a",), 4096, 8)
    s.on_job(a_job(n=100_000), "j-000001", 5, 0.0)
    import orjson

    now, rev, ticket, done = 1.0, 50, 1, 0
    for _ in range(6):
        s.on_owner(0, 3, True, offers(200, first=ticket), now)
        ticket += 200
        s.decide(now)
        while (txn := s.plan()) is not None:
            assert len(txn.puts) + len(txn.deletes) <= 8 and len(txn.guards) <= 32
            assert all(len(orjson.dumps(v)) <= 4096 for v in txn.puts.values())
            rev += 1
            s.landed(txn, rev, now)
        js = s.jobs["j-000001"]
        exits = {
            peer_messages.start_key((e.job, e.task, e.attempt)): StartNews("exited", "done", 0, 0)
            for e in js.entries.values()
        }
        s.on_owner(0, 3, True, exits, now)
        while (txn := s.plan()) is not None:
            assert len(txn.puts) + len(txn.deletes) <= 8
            rev += 1
            s.landed(txn, rev, now)
        done += 200
        assert s.jobs["j-000001"].done_count == done and not s.jobs["j-000001"].entries


def test_a_write_of_unknown_outcome_is_fenced_before_its_permits_are_given_anew() -> None:
    """It may land after the cell was read again; given anew in another chunk, one task would have two permits."""
    s, txn = one_permit_being_written()
    (key,) = txn.puts
    s.unknown(txn)
    s.install_cell("t", {}, 2.0)
    s.on_owner(0, 3, True, offers(1, first=7), 2.0)
    s.decide(2.0)
    fence = s.plan()
    assert (
        fence is not None
        and fence.adds == []
        and fence.puts == {key: {}}
        and fence.guards[key] == 0
    ), "alone, and first"
    s.landed(fence, 31, 2.1)
    again = s.plan()
    assert (
        again is not None and len(again.adds) == 1 and again.guards[again.chunks[0].chunk.key] == 31
    )


def test_a_change_costs_the_same_whatever_else_there_is() -> None:
    """Counted, not timed: one task's exit among many jobs and entries, through its write to what owners are told."""
    visits, told_keys = [], []
    for size in (10, 400):
        s = Source(0, EPOCH, [Team("t", 0, 0, 0, 0)], ("a",), 4096, 8)
        for i in range(size):
            jid = f"j-{i:06d}"
            s.on_job(a_job(jid, n=9), jid, 5, 0.0)
            s.on_owner(0, 3, False, offers(9, first=10 * i, job=jid), 1.0)
        rev = 50
        now = 1.0

        def settle(s: Source, now: float, rev: int) -> int:
            s.decide(now)
            while (txn := s.plan()) is not None:
                rev += 1
                s.landed(txn, rev, now)
            return rev

        rev = settle(s, now, rev)
        s.take_news(3, now)
        settle(s, 3.0, rev)
        s.take_news(3, 3.0)
        before = s.visits
        e = s.jobs["j-000004"].entries[2]
        s.on_owner(
            0,
            3,
            False,
            {peer_messages.start_key((e.job, e.task, e.attempt)): StartNews("exited", "done", 0, 0)},
            3.1,
        )
        settle(s, 3.1, rev)
        told_keys.append(len(s.take_news(3, 3.1)))
        visits.append(s.visits - before)
    assert visits[1] <= 1.5 * visits[0] and told_keys == [7, 7]


def test_where_changes_run_short_the_most_important_go_first_and_the_rest_goes_on() -> None:
    """Permits of replicas stood behind those of a guest's many single jobs."""
    s = Source(0, EPOCH, [Team("guest", 0, 0, 0, 0), Team("t", 0, 0, 4, 10)], ("a", "b"), 400, 8)
    board: dict[str, Any] = {}
    for i in range(200):
        s.on_job(a_job(f"j-1{i:05d}", n=1, team="guest", rank=3, gpus=0.0), f"j-1{i:05d}", 5, 0.0)
        board |= offers(1, first=i + 1, job=f"j-1{i:05d}")
    s.on_owner(0, 3, True, board, 1.0)
    s.decide(1.0)
    s.on_job(a_job("j-000001", n=2, kind="service", rank=0), "j-000001", 6, 1.0)
    s.on_owner(0, 3, False, offers(2, first=900), 1.1)
    s.decide(1.2)
    assert len(s.dirty_chunks) > 20
    txn = s.plan(3)
    assert txn is not None and txn.ops == 3 and sum(e.job == "j-000001" for e in txn.adds) == 2
    s.landed(txn, 50, 1.3)
    writes = 0
    while (txn := s.plan(3)) is not None and writes < 100:
        s.landed(txn, 51 + writes, 2.0)
        writes += 1
    assert all(e.landed for js in s.jobs.values() for e in js.entries.values()) and writes < 60


def test_a_replica_does_not_wait_for_an_array_that_holds_its_teams_limit() -> None:
    """It waited for 124 s until the first of the array's tasks was done (ardgael-loans-ops, inc-4b3c)."""
    s = source(limit=4.0)
    s.on_job(a_job("j-000002", n=6, rank=3), "j-000002", 5, 0.0)
    s.on_owner(0, 3, True, offers(4, first=10, job="j-000002"), 0.5)
    s.decide(0.5)
    txn = s.plan()
    assert txn is not None
    s.landed(txn, 50, 0.6)
    s.on_job(a_job("j-000001", n=1, kind="service", rank=0), "j-000001", 6, 1.0)
    s.take_news(2, 1.0)
    s.decide(2.0)
    s.decide(3.0)
    array = s.jobs["j-000002"]
    stopped = [e for e in array.entries.values() if e.stop is not None]
    assert len(stopped) == 1, "one place is enough"
    e = stopped[0]
    s.on_owner(
        0,
        3,
        False,
        {peer_messages.start_key((e.job, e.task, e.attempt)): StartNews("exited", "halted", 0, 0)},
        3.1,
    )
    txn = s.plan()
    assert txn is not None
    s.landed(txn, 51, 3.2)
    s.on_owner(0, 3, False, offers(1, first=20, job="j-000002") | offers(1, first=30), 3.3)
    assert s.wanted(array, 3.3) == 0, "what was made free is kept for the replica"
    s.decide(3.4)
    assert len(s.jobs["j-000001"].entries) == 1


def test_what_has_not_begun_for_long_comes_before_others_by_turns() -> None:
    """An array with its first task, a gang whole; never before services and guarantees, and not for ever: it may never find room."""
    s = source(limit=0.0)
    s.on_job(a_job("j-000001", n=50, rank=3), "j-000001", 5, 0.0)
    s.on_job(a_job("j-000002", n=8, kind="gang", rank=2), "j-000002", 5, 0.0)
    s.decide(119.0)
    s.on_job(a_job("j-000003", n=5, rank=1, at=119.0), "j-000003", 6, 119.0)
    s.on_job(a_job("j-000004", n=1, kind="service", rank=0, at=119.0), "j-000004", 7, 119.0)

    def first() -> list[str]:
        s.take_news(1, 0.0)
        return sorted(
            (j for j, js in s.jobs.items() if js.job is not None), key=lambda j: s.order(s.jobs[j])
        )

    assert first() == ["j-000004", "j-000003", "j-000002", "j-000001"]
    s.decide(121.0)
    assert first() == ["j-000004", "j-000001", "j-000002", "j-000003"]
    assert s.wanted(s.jobs["j-000001"], 121.0) == 1 and s.wanted(s.jobs["j-000002"], 121.0) == 8
    s.decide(242.0)
    assert first() == ["j-000004", "j-000003", "j-000002", "j-000001"], (
        "others' turn, whether or not it has found room"
    )
    s.decide(363.0)
    s.on_owner(0, 3, True, offers(1), 363.5)
    s.decide(364.0)
    txn = s.plan()
    assert txn is not None and [e.job for e in txn.adds] == ["j-000001"]
    s.landed(txn, 20, 364.1)
    e = txn.adds[0]
    s.on_owner(
        0,
        3,
        False,
        {peer_messages.start_key((e.job, e.task, e.attempt)): StartNews("running", "", 0, 0)},
        365.0,
    )
    assert first()[-1] == "j-000001" and s.wanted(s.jobs["j-000001"], 365.0) == 49, (
        "it has begun: the rest in its turn"
    )


def test_a_write_that_is_late_fails_its_guards_even_when_its_cell_has_been_empty_meanwhile() -> (
    None
):
    """It found no cell, and says so. The cell was fenced, used, emptied, and deleted: there was none again, and the late write landed.

    Its permit was one that nobody knew of, for a task that ran elsewhere or was done (share of such writes on a bad day: 0.6).
    """
    store = Store()
    rev, _ = store.txn({}, {JOB + "j-000001": 1, f"{SHARD}0": {"node": "c0"}}, [])
    s = Source(0, rev, [Team("t", 0, 0, 4, 10.0)], ("a", "b"), 4096, 8)
    s.on_job(a_job(n=2), "j-000001", rev, 0.0)
    s.on_owner(0, 3, True, offers(1), 1.0)
    s.decide(1.0)
    late = s.plan()
    assert late is not None and len(late.adds) == 1
    s.unknown(late)
    s.install_cell("t", store.read("c/t/"), 2.0)

    def write() -> None:
        while (txn := s.plan()) is not None:
            rev, failed = store.txn(txn.guards, txn.puts, txn.deletes)
            assert not failed
            s.landed(txn, rev, 2.0)

    write()  # the fence
    s.on_owner(0, 3, True, offers(1, first=7), 2.0)
    s.decide(2.0)
    write()
    key = next(iter(s.jobs["j-000001"].entries.values()))
    s.on_owner(
        0,
        3,
        False,
        {peer_messages.start_key((key.job, key.task, key.attempt)): StartNews("exited", "done", 0, 0)},
        3.0,
    )
    write()
    assert not s.jobs["j-000001"].entries and not any(v for v, _ in store.read("c/t/").values()), (
        "no permit is left"
    )
    _, failed = store.txn(late.guards, late.puts, late.deletes)
    assert failed and all(f.startswith("c/") for f in failed), (
        "nothing but its own cell's version stands against it"
    )
