"""Logs why attempts count as gone, with the evidence of each verdict.

`scheduling_loop` calls `GoneVerdictLog.write` with each step of a shard owner. The lines are bounded
per second; what they leave out is counted in the next line.
"""

from __future__ import annotations

from ploverhall import log
from ploverhall.scheduling.gone_verdicts import GoneEvidence, GoneVerdict
from ploverhall.scheduling.shard_owner import ShardOwner

MAX_LINES_PER_S = 20
# Verdicts that say nothing about a machine: a run that was never sent, or a deleted machine
ROUTINE_EVIDENCE = (GoneEvidence.RUN_NOT_SENT, GoneEvidence.MACHINE_DELETED)


class GoneVerdictLog:
    """Writes the verdicts of this controller's shard owners to the log."""

    def __init__(self) -> None:
        self._second = 0.0  # the second that `_line_count` refers to, by the steady clock
        self._line_count = 0
        self._left_out = 0

    def write(self, owner: ShardOwner, now: float) -> None:
        """Log the verdicts since the last call; `now` is in seconds of the steady clock."""
        for verdict in owner.gone_verdicts.take():
            if not verdict.is_supported:
                write = log.error if self._has_line(now) else log.debug
                write("unsupported gone verdict", **_fields(verdict, owner, now))
            elif verdict.evidence in ROUTINE_EVIDENCE or not self._has_line(now):
                log.debug("attempt gone", **_fields(verdict, owner, now))
            else:
                left_out = {"left_out": self._left_out} if self._left_out else {}
                self._left_out = 0
                log.info("attempt gone", **_fields(verdict, owner, now), **left_out)

    def _has_line(self, now: float) -> bool:
        """Return whether this second has a line left, and count the line or that it is left out."""
        if now - self._second >= 1.0:
            self._second, self._line_count = now, 0
        if self._line_count >= MAX_LINES_PER_S:
            self._left_out += 1
            return False
        self._line_count += 1
        return True


def _fields(verdict: GoneVerdict, owner: ShardOwner, now: float) -> dict[str, object]:
    attempt_id = verdict.attempt_id
    return {
        "job": attempt_id.job_id,
        "task": attempt_id.task,
        "attempt": attempt_id.attempt,
        "machine": verdict.machine,
        "evidence": verdict.evidence.value,
        "run_incarnation": verdict.run_incarnation,
        "incarnation": verdict.incarnation,
        "run_token": verdict.run_token,
        "token": verdict.token,
        "contact_ago_s": round(now - verdict.evidence_at, 2),
        "epoch": owner.epoch,
        "epoch_confirmed_ago_s": round(now - owner.epoch_confirmed_at, 2),
    }
