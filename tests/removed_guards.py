"""Provide method replacements that each lack one guard.

A test that runs a scene with such a replacement must see a rule broken.
"""

from __future__ import annotations

from typing import Any

import pytest

from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.job_answers import FreshRead, JobAnswers, JobStatus
from ploverhall.protocol import jobs
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.shard_owner import ShardOwner


async def fresh_read_without_reading(self: StoreWatch) -> FreshRead:
    """Replace `StoreWatch.fresh_read`: treat the store cache as current without a read."""
    return FreshRead(self.context.clock())


def final_without_barrier(self: JobAnswers, job_id: str) -> JobStatus | None:
    """Replace `JobAnswers.final`: report a job's end without checking which controllers know of it.

    Repeated submissions were once answered in this way.
    """
    end = self.store_cache.ended_jobs.get(job_id)
    return (
        None
        if end is None
        else JobStatus(jobs.status_body(job_id, end.outcome, end.tasks_done), True)
    )


def accept_stale_heartbeats(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make shard owners accept stale heartbeats, as if each were the newest."""
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
    """Replace `PermitTable.check_gone`: an attempt that a task list omits counts as gone.

    Its run command may still arrive, because the fencing token is not raised.
    """
    m = self.machines.get(p.machine)
    if not p.gone and m is not None and p.attempt_id not in m.tasks and p.run_token:
        p.gone = True
        self.changed_attempts.add(p.attempt_id)
