"""Verdicts that an attempt is gone, each with the evidence that it rests on.

An attempt that counts as gone may be started on another machine, so a verdict must be supported by
evidence about the agent's incarnation and token to which the attempt's run command was sent.
`permit_table` records each verdict; the scheduling loop logs them, and the status report counts
them. No I/O.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from ploverhall.protocol.agents import AttemptId

# Supported verdicts kept for the log between two steps; the others are only counted
MAX_PENDING_VERDICTS = 200

UNSUPPORTED = "unsupported"  # counted instead of the evidence if that does not cover the run


class GoneEvidence(StrEnum):
    """The kinds of evidence; the values are written to the log and to `/status`."""

    MACHINE_DELETED = "machine_deleted"  # confirmed by the cloud
    RUN_NOT_SENT = "run_not_sent"  # only this owner could have sent it
    LEASE_EXPIRED = "lease_expired"  # by this controller's clock
    NEW_INCARNATION = "new_incarnation"  # the agent has begun one since the run was sent
    UNLISTED = "unlisted"  # omitted by a task list under a token that fences the run


class GoneVerdict(NamedTuple):
    """A verdict that an attempt is not on its machine and can't start there later."""

    attempt_id: AttemptId
    machine: str
    evidence: GoneEvidence
    run_incarnation: int  # of the agent, when the last run command was sent; 0: none was sent
    run_token: int  # fencing token of that command; 0: none was sent
    incarnation: int  # the agent's incarnation that the evidence describes; 0: none
    token: int  # the fencing token that the agent has shown; 0: none
    evidence_at: float  # steady clock, seconds: the agent's last contact; 0: none

    @property
    def is_supported(self) -> bool:
        """Return whether the evidence covers the incarnation and token of the run command."""
        match self.evidence:
            case GoneEvidence.MACHINE_DELETED:
                return True
            case GoneEvidence.RUN_NOT_SENT:
                return self.run_token == 0
            case GoneEvidence.LEASE_EXPIRED:
                return self.run_incarnation <= self.incarnation
            case GoneEvidence.NEW_INCARNATION:
                return self.run_incarnation < self.incarnation
            case GoneEvidence.UNLISTED:
                return self.run_token < self.token


class GoneVerdicts:
    """Counts the verdicts of one shard owner, and keeps those since the last step for the log."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()  # by evidence, or `UNSUPPORTED`
        self._pending: list[GoneVerdict] = []

    def record(self, verdict: GoneVerdict) -> None:
        """Count a verdict, and keep it until the next call of `take`."""
        self.counts[verdict.evidence.value if verdict.is_supported else UNSUPPORTED] += 1
        if not verdict.is_supported or len(self._pending) < MAX_PENDING_VERDICTS:
            self._pending.append(verdict)

    def take(self) -> list[GoneVerdict]:
        """Return the verdicts since the last call: the first ones, and all unsupported ones."""
        taken, self._pending = self._pending, []
        return taken
