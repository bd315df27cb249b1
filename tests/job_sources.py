"""Build jobs, job sources and offers for tests of the source's decisions, without any I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ploverhall.protocol import peer_messages
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import AttemptUpdate, OfferUpdate
from ploverhall.scheduling.permitting import JobSource
from ploverhall.settings import Team

EPOCH = 9
Outcome = Callable[[str, int, str, float], str]  # job, task, machine, now -> running, error or done


def a_job(jid: str = "j-000001", kind: str = "array", task_count: int = 3, **kw: Any) -> Job:
    base: dict[str, Any] = {
        "id": jid,
        "job_class": "c",
        "team": "t",
        "kind": kind,
        "priority": 2,
        "task_count": task_count,
        "cpus": 1.0,
        "gpus": 1.0,
        "memory_gb": 1.0,
        "image": "i",
        "image_gb": 1.0,
        "machine_types": None,
        "zone": None,
        "single_zone": False,
        "spread_zones": False,
        "spot": False,
        "estimate_s": 9.0,
        "checkpoint_s": 0.0,
        "save_s": 0.0,
        "deadline_s": None,
        "submitted_at": 0.0,
    }
    return Job(**{**base, **kw})


def source(limit: float = 10.0) -> JobSource:
    return JobSource(0, EPOCH, [Team("t", 0, 0, 4, limit)], ("a", "b"), 4096, 8)


def offers(
    n: int,
    shard_index: int = 0,
    zone: str = "a",
    first: int = 1,
    victims: int = 0,
    job: str = "j-000001",
) -> dict[str, Any]:
    return {
        peer_messages.offer_key(first + i): OfferUpdate(
            job, f"n-{shard_index}{i}", zone, 0.0, victims
        )
        for i in range(n)
    }


def play_outcomes(
    s: JobSource, seconds: int, outcome: Outcome, machines: int = 8, first: int = 0
) -> list[tuple[float, str, int, str]]:
    """Run a source against owners that always have capacity.

    Returns:
        The time, job, task and machine of each start.
    """
    starts: list[tuple[float, str, int, str]] = []
    ticket = first * 1000
    owner_entries: dict[str, Any] = {}
    for step in range(seconds * 2):
        now = first + step / 2
        for (shard_index, key), value in s.take_owner_updates(1, now).items():
            if shard_index == 0:
                owner_entries[key] = value
        changes: dict[str, Any] = {}
        for key, value in owner_entries.items():
            if key[0] == peer_messages.CANDIDATE and value is not None:
                for _ in range(value.waiting_tasks):
                    ticket += 1
                    machine = f"n-{ticket % machines}"
                    if machine not in value.avoided_machines:
                        changes[peer_messages.offer_key(ticket)] = OfferUpdate(
                            key[1:], machine, "a", 0.0, 0
                        )
        s.on_owner_update(0, 3, True, changes, now)
        s.decide(now + 0.1)
        txn = s.next_write()
        if txn is not None:
            s.on_committed(txn, 100 + first * 10_000 + step, now)
            starts += [(now, e.job_id, e.task, e.machine) for e in txn.added]
        for js in list(s.jobs.values()):
            for e in list(js.allocations.values()):
                if e.committed and not e.finished:
                    how = (
                        "stopped"
                        if e.stop_grace_s is not None
                        else outcome(e.job_id, e.task, e.machine, now)
                    )
                    state, why = ("running", "") if how == "running" else ("exited", how)
                    s.on_owner_update(
                        0,
                        3,
                        False,
                        {peer_messages.attempt_key(e.attempt_id): AttemptUpdate(state, why, 0, 0)},
                        now,
                    )
    return starts
