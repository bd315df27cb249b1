"""Replacements of methods, each without one guard: a test that plays them has to see a rule broken."""

from __future__ import annotations

from typing import Any

import pytest

from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.job_answers import FreshRead, JobAnswers, JobStatus
from ploverhall.protocol import jobs
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.shard_owner import ShardOwner


async def fresh_read_without_reading(self: StoreWatch) -> FreshRead:
    """Replace `StoreWatch.fresh_read`: the store cache is taken for current without a read."""
    return FreshRead(self.context.clock())


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


def copies_are_news(monkeypatch: pytest.MonkeyPatch) -> None:
    """Accept stale heartbeats: each counts as newer than any before."""
    real = ShardOwner.on_heartbeat

    def accept_stale_heartbeat(
        self: ShardOwner, r: Any, now: float, direct: bool = False, relayed: bool = False
    ) -> Any:
        if (
            (m := self.machines.get(r.machine)) is not None
            and not direct
            and (r.incarnation, r.sequence) <= m.newest_heartbeat
        ):
            m.newest_heartbeat, m.incarnation, m.sequence = (0, 0), 0, 0
        return real(self, r, now, direct, relayed)

    monkeypatch.setattr(ShardOwner, "on_heartbeat", accept_stale_heartbeat)


def check_gone_without_fencing_tokens(self: PermitTable, p: Any) -> None:
    """Replace `PermitTable.check_gone`: an attempt that a list omits is gone though its run may still arrive."""
    m = self.machines.get(p.machine)
    if not p.gone and m is not None and p.attempt_id not in m.tasks and p.run_token:
        p.gone = True
        self.changed_attempts.add(p.attempt_id)
