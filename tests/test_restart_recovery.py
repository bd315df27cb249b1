"""A controller restarts where it can't read the store: what its new incarnation may do.

Every scene checks the rules from the agents' side. Where a guard keeps a rule, the same scene also
runs without the guard and has to break the rule.
"""

from __future__ import annotations

from random import Random

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ploverhall import settings
from ploverhall.coordination import fencing_tokens, restart_recovery
from ploverhall.coordination.cancellation_barrier import CLOCK_DRIFT
from ploverhall.coordination.restart_recovery import GRANT_FROM_ANSWER, NO_GRANT, RenewalGrants

from .scenarios import assert_scene_breaks, start_background_load
from .simulation import parameters
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.simulated_network import HOLD, SILENT


@pytest.fixture(autouse=True)
def lease_and_cancel_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Use a lease that is longer than an agent's attempt at two unresponsive controllers.

    Such an agent returns after 11 s and a heartbeat interval.
    """
    monkeypatch.setattr(parameters, "LEASE_S", 16.0)
    monkeypatch.setattr(parameters, "CANCEL_S", 46.0)


@pytest.mark.parametrize(
    ("after", "answers"), [(0.1, True), (0.3, True), (1.0, True), (0.3, False)]
)
def test_only_controller_of_a_partitioned_zone_restarts_without_expired_leases(
    after: float, answers: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not answers:
        monkeypatch.setattr(RenewalGrants, "answer_heartbeat", lambda *a: None)

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 80.0)
        p.cut_zone("b", HOLD, 32.0)
        await anyio.sleep(12.0)
        await p.crash("c1", after)
        await anyio.sleep(45.0)
        assert (p.fleet.killed_by_lease == 0) == answers

    play(scene)


@pytest.mark.parametrize("seed", range(2))
def test_repeated_restarts_in_a_partition_extend_no_obligation(seed: int) -> None:
    """Five incarnations without a read answer agents for no longer in total than one does."""

    async def scene(p: SimulatedCluster) -> None:
        rng = Random(seed)
        await start_background_load(p, 80.0)
        p.cut_zone("b", HOLD, 27.0)
        await anyio.sleep(8.0)
        for _ in range(5):
            await p.crash("c1", rng.choice([0.1, 0.3]))
            await anyio.sleep(2.0 * rng.random())
        await anyio.sleep(50.0)
        assert p.fleet.killed_by_lease <= 6, (
            "only a redirected probe that was away at the first crash may lose its tasks"
        )

    play(scene, seed)


@pytest.mark.parametrize("which", [["c1"], ["c0", "c2"], ["c0", "c1", "c2"]])
def test_controllers_that_restart_in_an_outage_lose_no_lease(which: list[str]) -> None:
    """The store is down for 15 s, and the controllers that crash restart after 0.2 s, twice."""

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 60.0)
        p.state.down = True
        for _ in range(2):
            await anyio.sleep(4.0)
            for name in which:
                p.tasks.start_soon(p.crash, name, 0.2)
        await anyio.sleep(7.0)
        p.state.end_outage()
        await anyio.sleep(30.0)
        assert p.fleet.killed_by_lease == 0 and all(
            a.accepted is not None for a in p.asked.values()
        )

    play(scene)


@pytest.mark.parametrize("guard", ["", "left", "marked"])
def test_jobs_cancelled_during_restart_recovery_end_in_time(
    guard: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Cancellations are acknowledged outside the partition; tasks inside it end in time.

    This holds however long the partition lasts.
    """
    if guard == "left":
        monkeypatch.setattr(RenewalGrants, "remaining_s", lambda self, grant, wall: 100.0)
    if guard == "marked":  # the token's grant is never updated, so each heartbeat counts anew
        monkeypatch.setattr(
            restart_recovery.fencing_tokens, "with_renewal_grant", lambda token, grant: token
        )

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 10.0)
        p.cut_zone("b", SILENT, 140.0)
        await anyio.sleep(1.0)
        await p.crash("c1", 0.3)
        for n in (900, 901, 902):
            p.tasks.start_soon(p.withdraw, f"j-{n:06d}")
        await anyio.sleep(120.0)
        assert len(p.cancelled) == 3

    if guard:
        assert_scene_breaks(scene, "ran_cancelled")
    else:
        play(scene)


@pytest.mark.parametrize("guarded", [True, False])
def test_cancellation_read_but_not_executed_before_a_restart_ends_in_time(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An agent is unreachable while a cancellation of its job is acknowledged.

    Then its controller restarts in a partition, without a read.
    """
    if not guarded:
        monkeypatch.setattr(RenewalGrants, "informed_renewal_s", property(lambda self: 60.0))

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 10.0)
        for w in p.fleet.workers.values():
            if w.zone == "b":
                for c in p.names:
                    p.net.cut(w.name, c, SILENT, 3.5)
        await anyio.sleep(0.3)
        for n in (900, 901, 902):
            p.tasks.start_soon(p.withdraw, f"j-{n:06d}")
        await anyio.sleep(2.2)
        assert len(p.cancelled) == 3, (
            "acknowledged, since all controllers have read the cancellations"
        )
        for other in ("state", "c0", "c2"):
            p.net.cut("c1", other, SILENT, 140.0)
        p.tasks.start_soon(p.crash, "c1", 0.2)
        await anyio.sleep(1.1)
        p.cut_zone("b", SILENT, 140.0)
        await anyio.sleep(100.0)

    options = settings.Options(cut_off_s=120.0)
    if guarded:
        play(scene, options=options)
    else:
        assert_scene_breaks(
            scene, "ran_cancelled", options=options, asks=False
        )  # whether the scene breaks depends on which heartbeat arrives first


@pytest.mark.parametrize("guarded", [True, False])
def test_tokens_of_another_controller_are_not_answered(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Agents of c0 reach only c1, which has just started and can't read the store.

    c0 counts their silence and takes their tasks for ended, so c1 must not renew their leases.
    """
    if not guarded:
        monkeypatch.setattr(restart_recovery.fencing_tokens, "holder_of", lambda token: 1)
        monkeypatch.setattr(RenewalGrants, "remaining_s", lambda self, grant, wall: 100.0)

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 10.0)
        p.net.cut("c1", "state", SILENT, 60.0)
        for other in ("c0", "c2"):
            p.net.cut("c1", other, SILENT, 60.0)
        await p.crash("c1", 0.2)
        for w in p.workers_of("c0"):
            for other in ("c0", "c2"):
                p.net.cut(w, other, SILENT, 60.0)
        await anyio.sleep(70.0)

    if guarded:
        play(scene)
    else:
        assert_scene_breaks(scene, "ran_twice")


@pytest.mark.parametrize("seed", range(3))
def test_failover_outside_a_partition_whose_token_reached_some_agents_breaks_no_rule(
    seed: int,
) -> None:
    """The shard of c1 is acquired by another controller while some of its agents are unreachable.

    Then the zone is partitioned, and c1 is back.
    """

    async def scene(p: SimulatedCluster) -> None:
        rng = Random(seed)
        await start_background_load(p, 70.0)
        zone_agents = [w.name for w in p.fleet.workers.values() if w.zone == "b"]
        for w in rng.sample(zone_agents, len(zone_agents) // 2):
            for other in ("c0", "c2"):
                p.net.cut(w, other, SILENT, 60.0)
        p.tasks.start_soon(p.crash, "c1", 5.0 + 3.0 * rng.random())
        await anyio.sleep(4.5 + 2.0 * rng.random())
        p.cut_zone("b", HOLD, 25.0)
        p.tasks.start_soon(p.withdraw, "j-000900")
        await anyio.sleep(70.0)
        assert all(a.accepted is not None for a in p.asked.values())

    play(scene, seed)


@given(
    st.floats(0, 1e5),
    st.floats(0, 100),
    st.floats(1, 100),
    st.floats(0, 13.0),
    st.floats(0, 150),
    st.sampled_from([(38.0, 13.0), (35.0, 10.0)]),
)
def test_renewal_grant_never_outlasts_its_obligation(
    wall: float, age: float, fence: float, later: float, on: float, times: tuple[float, float]
) -> None:
    """Check that a renewal grant never outlasts the obligation that it encodes.

    An agent reports up to a lease after its last answer from an informed controller. A second
    incarnation reads the grant from its token, and a third one does so `on` seconds later.
    """
    cancel, lease = times
    grants = RenewalGrants(cancel, lease, 0.1)
    grant, later = grants.encode(age, fence, wall), min(later, lease * CLOCK_DRIFT)
    end = wall + max(0.0, min(fence - age, grants.informed_renewal_s))
    remaining = grants.remaining_s(grant, wall + later)
    assert remaining <= 0 or wall + later + remaining <= end + 1e-6
    if remaining > 0 and grant != NO_GRANT:
        passed_on = (
            grant
            if grant != GRANT_FROM_ANSWER
            else 1
            + int((wall + later + remaining) // restart_recovery.GRANT_STEP_S)
            % restart_recovery.GRANT_STEPS
        )
        remaining_again = grants.remaining_s(passed_on, wall + later + on)
        assert remaining_again <= 0 or wall + later + on + remaining_again <= end + 1e-6


@given(
    st.integers(1, 1 << 40),
    st.integers(0, 40),
    st.lists(st.one_of(st.none(), st.integers(0, 255)), max_size=400),
)
def test_fencing_tokens_increase_and_identify_epoch_and_holder(
    epoch: int, holder: int, changes: list[int | None]
) -> None:
    token = fencing_tokens.initial_token(epoch, holder)
    assert token < 1 << 64
    for grant in changes:
        up = (
            fencing_tokens.next_token(token)
            if grant is None
            else fencing_tokens.with_renewal_grant(token, grant)
        )
        if up is None:
            assert (
                token & ~fencing_tokens.RENEWAL_GRANT_MASK
            ) >> fencing_tokens.RENEWAL_GRANT_BITS & 127 == 127
            continue
        assert up > token if grant is None else up >= token
        token = up
        assert fencing_tokens.epoch_of(token) == epoch and fencing_tokens.holder_of(token) == (
            holder if holder < 31 else None
        )
        assert grant is None or holder >= 31 or fencing_tokens.renewal_grant_of(token) == grant
