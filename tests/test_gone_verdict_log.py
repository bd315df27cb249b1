"""Test that the lines on gone attempts are bounded, and that names cannot forge one."""

from __future__ import annotations

import pytest

from ploverhall.controller.gone_verdict_log import MAX_LINES_PER_S, GoneVerdictLog
from ploverhall.protocol.agents import AttemptId
from ploverhall.scheduling.gone_verdicts import (
    MAX_PENDING_VERDICTS,
    UNSUPPORTED,
    GoneEvidence,
    GoneVerdict,
)

from .shard_owners import owner


def verdict(
    number: int, evidence: GoneEvidence = GoneEvidence.LEASE_EXPIRED, machine: str = "n-1"
) -> GoneVerdict:
    return GoneVerdict(AttemptId("j-000001", number, 1), machine, evidence, 1, 5, 1, 5, 0.0)


def test_gone_verdict_lines_are_bounded_per_second_and_the_rest_is_counted(
    capsys: pytest.CaptureFixture[str],
) -> None:
    shard_owner, verdict_log = owner(), GoneVerdictLog()
    for number in range(3 * MAX_PENDING_VERDICTS):
        shard_owner.gone_verdicts.record(verdict(number))
    verdict_log.write(shard_owner, 10.0)
    assert capsys.readouterr().err.count("info attempt gone ") == MAX_LINES_PER_S
    shard_owner.gone_verdicts.record(verdict(0))
    verdict_log.write(shard_owner, 11.0)
    left_out = MAX_PENDING_VERDICTS - MAX_LINES_PER_S
    assert capsys.readouterr().err.endswith(f" left_out={left_out}\n")
    assert shard_owner.gone_verdicts.counts == {"lease_expired": 3 * MAX_PENDING_VERDICTS + 1}


def test_lines_on_unsupported_verdicts_are_bounded_too(capsys: pytest.CaptureFixture[str]) -> None:
    shard_owner, verdict_log = owner(), GoneVerdictLog()
    for number in range(MAX_PENDING_VERDICTS):
        shard_owner.gone_verdicts.record(verdict(number, GoneEvidence.NEW_INCARNATION))
    verdict_log.write(shard_owner, 10.0)
    assert capsys.readouterr().err.count("\n") == MAX_LINES_PER_S


def test_unsupported_verdict_is_kept_behind_many_supported_ones() -> None:
    shard_owner = owner()
    for number in range(2 * MAX_PENDING_VERDICTS):
        shard_owner.gone_verdicts.record(verdict(number))
    shard_owner.gone_verdicts.record(verdict(0, GoneEvidence.NEW_INCARNATION))
    taken = shard_owner.gone_verdicts.take()
    assert len(taken) == MAX_PENDING_VERDICTS + 1 and not taken[-1].is_supported


def test_machine_name_cannot_forge_a_line_on_a_gone_attempt(
    capsys: pytest.CaptureFixture[str],
) -> None:
    shard_owner, verdict_log = owner(), GoneVerdictLog()
    shard_owner.gone_verdicts.record(verdict(0, machine="n-1\ninfo attempt gone job=j-2"))
    verdict_log.write(shard_owner, 10.0)
    (line,) = capsys.readouterr().err.splitlines()
    assert "machine=n-1\\ninfo" in line


def test_unsupported_verdict_is_logged_as_an_error_and_counted_apart(
    capsys: pytest.CaptureFixture[str],
) -> None:
    shard_owner, verdict_log = owner(), GoneVerdictLog()
    shard_owner.gone_verdicts.record(verdict(0, GoneEvidence.NEW_INCARNATION))
    verdict_log.write(shard_owner, 10.0)
    assert capsys.readouterr().err.startswith("error unsupported gone verdict job=j-000001 task=0 ")
    assert shard_owner.gone_verdicts.counts == {UNSUPPORTED: 1}
