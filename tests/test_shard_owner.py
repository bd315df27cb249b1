"""Test the shard owner's proofs and fencing tokens, one at a time."""

from __future__ import annotations

from random import Random
from typing import Any

from ploverhall.protocol import agents, peer_messages
from ploverhall.protocol.peer_messages import CandidateUpdate, JobUpdate, OfferUpdate, PermitUpdate
from ploverhall.scheduling.shard_owner import TOKEN_BITS, ShardOwner

from .shard_owners import EPOCH, owner, report
from .simulation.parameters import MACHINE_TYPE

KEY = agents.AttemptId("j-000001", 0, 5)
RECORD = [
    "j-000001",
    "c",
    "team-0",
    "array",
    2,
    1,
    2.0,
    1.0,
    8.0,
    "i",
    1.0,
    None,
    None,
    0,
    0,
    0,
    10.0,
    0.0,
    0.0,
    None,
    0.0,
]


def listed(state: str, why: str = "") -> list[dict[str, Any]]:
    return [{"chick": "j-000001/0", "hatch": 5, "stance": state, "cause": why}]


JOB_ENTRY = {peer_messages.job_key(KEY.job_id): JobUpdate(RECORD, [2.0, 1.0, 8.0], 1)}


def permit(stop: float | None = None, epoch: int = EPOCH, ticket: int = 0) -> dict[str, Any]:
    return {**JOB_ENTRY, peer_messages.permit_key(KEY): PermitUpdate("n-1", epoch, ticket, stop)}


def candidate(n: int = 1) -> dict[str, Any]:
    return {
        **JOB_ENTRY,
        peer_messages.candidate_key(KEY.job_id): CandidateUpdate(n, [1.0, 0.0, 2.0, 0.0], None, []),
    }


def state(o: ShardOwner) -> str:
    return o.attempt_update(o.permits[KEY]).state


def started(direct: bool) -> tuple[ShardOwner, Any]:
    """Return an owner that has sent a run and received no answer, and its machine."""
    o = owner()
    base = EPOCH << TOKEN_BITS
    m = o.on_heartbeat(report(1, base), 0.0)
    assert m is not None
    o.on_source_update(0, True, permit(), 0.0)
    calls = o.commands_for(m, 0.0, direct=direct)
    assert [c["call"] for c in calls] == ["run"]
    return o, m


def test_late_run_is_fenced_before_its_start_counts_as_gone() -> None:
    """A command may be delayed for minutes: an empty list under the same token proves nothing."""
    o, m = started(direct=True)
    m.command_pending = True
    base = EPOCH << TOKEN_BITS
    o.on_source_update(0, False, permit(stop=0.0), 1.0)
    o.on_heartbeat(report(2, base), 1.0)
    assert state(o) == "permitted", "the run may still be on its way under this token"
    o.commands_for(m, 1.0)
    assert m.token > base
    o.on_heartbeat(report(3, m.token), 2.0)
    assert state(o) == "gone", "the agent has accepted a higher token, so it will drop the late run"


def test_unanswered_direct_command_raises_the_token() -> None:
    o, m = started(direct=True)
    before = m.token
    o.on_direct_answer(m, None, 1.5)
    assert m.token > before


def test_stale_heartbeat_proves_nothing_about_the_present() -> None:
    o, m = started(direct=False)
    base = EPOCH << TOKEN_BITS
    o.on_heartbeat(report(5, base, listed("running")), 1.0)
    o.on_heartbeat(report(4, base), 1.5)
    assert state(o) == "running"


def test_new_incarnation_proves_the_previous_one_gone() -> None:
    o, m = started(direct=False)
    o.on_heartbeat(report(9, EPOCH << TOKEN_BITS, session=2), 30.0)
    assert state(o) == "gone"


def test_silence_proves_nothing_for_an_agent_that_never_accepted_the_token() -> None:
    """Another owner may be answering the agent, so its lease may be fresh."""
    o = owner()
    o.on_heartbeat(report(1, 3 << TOKEN_BITS, listed("running")), 0.0)
    o.on_source_update(0, True, permit(epoch=3), 0.0)
    o.advance_time(500.0)
    assert state(o) == "running"
    assert o.unobserved_machines(500.0) == ["n-1"], "the cloud must be asked about the machine"
    o.on_machines_deleted(["n-1"])
    assert state(o) == "gone"


def test_silence_proves_tasks_gone_once_the_token_was_accepted() -> None:
    o, m = started(direct=False)
    o.on_heartbeat(report(2, m.token, listed("running")), 1.0)
    m.last_answer_at = 1.0
    o.advance_time(11.9)
    assert state(o) == "running"
    o.epoch_confirmed_at = 12.1
    o.advance_time(12.2)
    assert state(o) == "gone"


def test_stalled_controller_proves_nothing_by_its_clock() -> None:
    """Another controller may have answered its agents meanwhile.

    Only a read that began after the end of their lease proves that none could.
    """
    o, m = started(direct=False)
    o.on_heartbeat(report(2, m.token, listed("running")), 1.0)
    m.last_answer_at = 1.0
    o.advance_time(40.0)
    assert state(o) == "running" and o.confirmation_needed
    o.epoch_confirmed_at = 40.1
    o.advance_time(41.0)
    assert state(o) == "gone"


def test_unread_heartbeats_are_not_silence() -> None:
    """After a stall of 30 s, machines whose heartbeats are still unread must stay in use."""
    o, m = started(direct=False)
    o.epoch_confirmed_at = 40.0
    o.on_event_loop_stall(30.0, 32.0)
    o.advance_time(33.0)
    assert state(o) != "gone" and not m.lease_expired


def test_a_permit_of_an_earlier_owner_is_not_started_again() -> None:
    o = owner()
    m = o.on_heartbeat(report(1, EPOCH << TOKEN_BITS), 0.0)
    assert m is not None
    o.on_source_update(0, True, permit(epoch=EPOCH - 1), 0.0)
    assert o.commands_for(m, 0.0) == []
    o.on_heartbeat(report(2, EPOCH << TOKEN_BITS), 1.0)
    assert state(o) == "gone"


def test_higher_token_supersedes_the_owner() -> None:
    assert owner().on_heartbeat(report(1, (EPOCH + 1) << TOKEN_BITS), 0.0) is None


def test_exit_is_kept_until_it_is_recorded() -> None:
    """After a reap, the same run command would start the task again."""
    o, m = started(direct=False)
    o.on_heartbeat(report(2, m.token, listed("ended", "done")), 1.0)
    assert o.commands_for(m, 1.0) == []
    o.on_source_update(0, False, {peer_messages.permit_key(KEY): None}, 2.0)
    assert [c["call"] for c in o.commands_for(m, 2.0)] == ["reap"]


def test_reap_fences_a_run_that_is_still_under_way() -> None:
    o, m = started(direct=True)
    m.command_pending = True
    before = m.token
    o.on_heartbeat(report(2, m.token, listed("ended", "done")), 1.0)
    o.on_source_update(0, False, {peer_messages.permit_key(KEY): None}, 2.0)
    assert [c["call"] for c in o.commands_for(m, 2.0)] == ["reap"]
    assert m.token > before


def reaped(why: str) -> tuple[ShardOwner, Any, int]:
    """Return an owner that has reaped an attempt whose run was answered, its machine, its token."""
    o, m = started(direct=True)
    token = m.token
    o.on_direct_answer(m, report(2, token, listed("running")), 0.1)
    o.on_heartbeat(report(3, token, listed("ended", why)), 1.0)
    o.on_source_update(0, False, {peer_messages.permit_key(KEY): None}, 2.0)
    assert [c["call"] for c in o.commands_for(m, 2.0)] == ["reap"]
    return o, m, token


def test_reap_of_an_attempt_without_a_result_fences_copies_of_its_answered_run() -> None:
    _, m, token = reaped("halted")
    assert m.token > token


def test_reaped_results_of_a_live_job_cost_no_token_until_the_job_is_cancelled() -> None:
    for outcome in ("done", "withdrawn"):
        o, m, token = reaped("done")
        assert m.token == token, "the agent ends a copy of this run with the kept result"
        o.job_ended_in_store = {KEY.job_id}.__contains__
        o.job_cancelled_in_store = lambda job_id, outcome=outcome: outcome == "withdrawn"
        o.job_ended(KEY.job_id, 3.0)
        assert (m.token > token) == (outcome == "withdrawn")
        assert not o.run_fence.machines_with_reaped_results


def test_exited_attempt_stays_listed_when_no_token_is_left_to_fence_its_run() -> None:
    o, m = started(direct=True)
    o.on_direct_answer(m, report(2, m.token, listed("running")), 0.1)
    while o.raise_token(m):
        pass
    m.unfenced_runs.add(KEY)
    o.on_heartbeat(report(3, m.token, listed("ended", "halted")), 1.0)
    o.on_source_update(0, False, {peer_messages.permit_key(KEY): None}, 2.0)
    assert o.commands_for(m, 2.0) == [] and o.token_space_exhausted


def test_message_that_is_not_newer_changes_nothing_and_is_counted() -> None:
    o, m = started(direct=True)
    base = m.token
    o.on_heartbeat(report(5, base, listed("running"), session=2), 1.0)
    for stale in (report(9, base), report(5, base, session=2), report(4, base, session=2)):
        o.on_heartbeat(stale, 1.5)
        o.on_direct_answer(m, stale, 1.5)
    assert state(o) == "running" and m.incarnation == 2 and m.sequence == 5
    assert o.stale_message_count == 6 and m.last_heartbeat_at == 1.0


def test_refused_command_is_not_sent_again_without_new_evidence() -> None:
    o, m = started(direct=False)
    o.on_heartbeat(report(5, m.token, listed("running"), session=2), 1.0)
    o.on_source_update(0, False, permit(stop=0.0), 1.1)
    request_count = 0
    for step in range(20):
        now = 1.2 + step
        for _, body in o.direct_commands(now):
            request_count += 1
            assert body["tide"] == 2
            o.on_direct_answer(m, report(3, m.token), now)  # 409: not newer than what is known
    assert request_count <= 1


def with_expired_lease(seq: int, session: int) -> tuple[ShardOwner, Any]:
    """Return an owner whose machine ran its attempt until its lease expired, and the machine."""
    o, m = started(direct=False)
    o.on_heartbeat(report(seq, m.token, listed("running"), session=session), 1.0)
    m.last_answer_at = 1.0
    o.epoch_confirmed_at = 12.1
    o.advance_time(12.2)
    return o, m


def test_late_heartbeat_after_an_expired_lease_starts_and_ends_nothing() -> None:
    o, m = with_expired_lease(2, session=2)
    o.on_heartbeat(report(9, EPOCH << TOKEN_BITS, listed("running")), 13.0)  # from incarnation 1
    assert state(o) == "gone" and o.inventory.unusable(m, 13.0)
    o.on_heartbeat(report(3, EPOCH << TOKEN_BITS, session=3), 14.0)
    assert m.incarnation == 3 and o.inventory.unusable(m, 14.0), "it has not shown the new token"
    o.on_heartbeat(report(4, m.token, session=3), 15.0)
    assert not o.inventory.unusable(m, 15.0)


def test_late_heartbeat_from_before_an_agent_began_anew_ends_no_attempt() -> None:
    o, m = with_expired_lease(9, session=3)
    o.on_source_update(0, False, {peer_messages.permit_key(KEY): None}, 12.3)
    o.on_heartbeat(report(1, 0), 20.0)  # the agent began anew, with its first incarnation
    o.on_heartbeat(report(2, m.token), 21.0)
    o.on_source_update(0, False, permit(), 21.1)
    assert [c["call"] for c in o.commands_for(m, 21.2)] == ["run"]
    o.on_heartbeat(report(3, m.token, listed("running")), 22.0)
    o.on_heartbeat(report(8, EPOCH << TOKEN_BITS, session=3), 23.0)
    assert state(o) == "running"


def test_reservation_expires_and_a_late_permit_takes_free_capacity_or_is_refused() -> None:
    o = owner()
    m = o.on_heartbeat(report(1, EPOCH << TOKEN_BITS), 0.0)
    assert m is not None
    o.on_source_update(0, True, candidate(), 0.0)
    o.place_candidates(0.0)
    (ticket,) = m.reservations
    assert o.take_source_updates() == {
        (0, peer_messages.offer_key(ticket)): OfferUpdate(KEY.job_id, "n-1", "a", 1.0, 0)
    }
    assert o.inventory.free_capacity(m)[1] == MACHINE_TYPE.gpus - 1
    m.last_heartbeat_at = 5.0
    o.advance_time(5.1)
    assert o.inventory.free_capacity(m)[1] == MACHINE_TYPE.gpus
    assert o.take_source_updates() == {(0, peer_messages.offer_key(ticket)): None}
    m.draining = True
    o.on_source_update(0, False, permit(ticket=ticket), 5.2)
    assert state(o) == "gone"


def test_permit_takes_the_capacity_of_its_renewed_reservation() -> None:
    """A write that took longer than the hold time was refused because of a reservation for the very
    same candidate.
    """
    o = owner()
    m = o.on_heartbeat(report(1, EPOCH << TOKEN_BITS), 0.0)
    assert m is not None
    o.on_source_update(0, True, candidate(4), 0.0)
    o.place_candidates(0.0)
    old = min(m.reservations)
    m.last_heartbeat_at = 5.0
    o.advance_time(5.1)
    o.place_candidates(5.1)
    assert len(m.reservations) == 4 and old not in m.reservations
    o.on_source_update(
        0,
        False,
        {**candidate(3), peer_messages.permit_key(KEY): PermitUpdate("n-1", EPOCH, old, None)},
        5.2,
    )
    assert state(o) == "permitted" and len(m.reservations) == 3


def test_late_answer_does_not_revive_a_gone_machine() -> None:
    """The machine came back without heartbeats and last in their order, where the sweep of expired
    machines ends before it.
    """
    o = owner()
    m = o.on_heartbeat(report(1, EPOCH << TOKEN_BITS), 0.0)
    assert m is not None
    o.on_machines_deleted(["n-1"])
    o.on_direct_answer(m, report(2, EPOCH << TOKEN_BITS), 1.0)
    assert not o.machines and not o.machines_by_heartbeat


def test_silence_after_a_stall_proves_nothing_until_the_agent_reports_again() -> None:
    """A new incarnation of the controller may have started during the stall, and may answer the
    agent with this one's tokens (coordination.restart_recovery).
    """
    for reported_again in (False, True):
        o, m = started(direct=False)
        o.on_heartbeat(report(2, m.token, listed("running")), 1.0)
        o.on_event_loop_stall(9.0, 10.0)
        if reported_again:
            o.on_heartbeat(report(3, m.token, listed("running")), 10.5)
        o.epoch_confirmed_at = 99.0
        o.advance_time(50.0)
        assert (state(o) == "gone") == reported_again


def test_answer_to_a_command_after_a_stall_proves_nothing_about_missing_heartbeats() -> None:
    o, m = started(direct=False)
    o.on_heartbeat(report(2, m.token, listed("running")), 1.0)
    m.command_pending = True
    o.on_event_loop_stall(9.0, 10.0)
    o.on_direct_answer(m, report(3, m.token, listed("running")), 10.5)
    o.epoch_confirmed_at = 99.0
    o.advance_time(50.0)
    assert state(o) == "running", "another process may answer its heartbeats with these tokens"


def test_exhausted_token_space_proves_nothing_by_a_token_that_was_not_raised() -> None:
    """Each command that an agent does not answer uses up a token, although it takes the answers to
    its heartbeats. When the tokens of an epoch are exhausted, a new epoch is requested.
    """
    o = ShardOwner(0, EPOCH, 1, 10.0, 1.0, 5.0, 5, Random(1), 0.0, 2)
    o.machine_types = {"t": MACHINE_TYPE}
    m = o.on_heartbeat(report(1, o.initial_token), 0.0)
    assert m is not None
    now, last = 0.0, 0
    while not o.token_space_exhausted:
        assert m.token >= last
        now, last = now + 60.0, m.token
        o.on_direct_answer(m, None, now)
    assert now > 60 * 100 and m.token >> TOKEN_BITS == EPOCH
    o.on_heartbeat(report(2, m.token), now)
    o.on_source_update(0, True, permit(), now)
    assert o.commands_for(m, now, direct=True)
    o.on_source_update(0, False, permit(stop=0.0), now)
    o.commands_for(m, now)
    o.on_heartbeat(report(3, m.token), now)
    assert state(o) == "permitted", "the run may still arrive under this very token"
