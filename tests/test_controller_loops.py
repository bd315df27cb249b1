"""Test decisions of the controller's loops that need no network."""

from __future__ import annotations

import time
from typing import Any

import anyio
import pytest

from ploverhall import settings
from ploverhall.controller.context import HeldShard
from ploverhall.controller.controller import Controller
from ploverhall.protocol import peer_messages
from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.peer_messages import PeerStatus
from ploverhall.protocol.rate_limiter import RateLimiter
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.permitting import JobSource
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.storage.schema import CONTROLLER_PREFIX, SHARD_PREFIX, EndedJob, allocation_prefix

from .test_loopback import config


def new_controller() -> Controller:
    data = config([1, 2, 3, 4])
    data["siblings"] = [{"host_name": "c1", "site": "a", "addr": "127.0.0.1:5"}]
    return Controller(settings.parse(data))


def test_shard_is_kept_while_its_preferred_controller_was_never_seen() -> None:
    """A preferred controller that was down since this process started must not stop the shard loop
    (kazi-bodi, hunt-13e3-7).
    """

    async def scenario() -> None:
        node = new_controller()
        s = node.settings
        owner = ShardOwner(
            1, 7, 2, s.lease_s, s.heartbeat_interval_s, 5.0, 5, node.context.random, 0.0
        )
        node.context.held_shards[1] = HeldShard(1, 7, owner)
        node.context.store_cache.entries[f"{SHARD_PREFIX}1"] = ({"node": "c0"}, 7)
        await node.shard_claims.reconcile_shard(1, 10.0)
        assert 1 in node.context.held_shards
        node.context.store_cache.entries[CONTROLLER_PREFIX + "c1"] = ({}, 9)
        await node.shard_claims.reconcile_shard(1, 11.0)
        node.peer_liveness.peer_status["c1"] = (12.0, PeerStatus(0.0, {}, {}))
        await node.shard_claims.reconcile_shard(1, 12.0)
        assert 1 in node.context.held_shards, (
            "released before its preferred controller was up for long enough"
        )

    anyio.run(scenario)


def test_isolated_controller_stops_answering_agents_in_time() -> None:
    """Others may have cancelled tasks that run here.

    The leases of their agents must end within the time allowed for a cancellation.
    """

    async def scenario() -> None:
        node = new_controller()
        lease, state, follow = node.controller_lease, node.cancellation_state, node.store_watch
        st = node.settings
        follow.read_at = lease.renewed_at = 100.0
        assert state.isolated(100.0), "its key was not in what it read, so others count it as gone"
        node.context.store_cache.entries[CONTROLLER_PREFIX + "c0"] = ({}, 1)
        assert not state.isolated(105.0)
        early = 100.0 + st.cancel_s - st.lease_s
        assert state.isolated(early), (
            "the other one may acknowledge at once: it runs an earlier release, or is not known yet"
        )
        state.cancellation_barrier.peer_present("c1", True, 0)
        assert not state.isolated(early) and state.isolated(100.0 + st.options.cut_off_s)
        del node.context.store_cache.entries[CONTROLLER_PREFIX + "c0"]
        follow.read_at = lease.renewed_at = 101.0
        assert state.isolated(100.0 + st.options.cut_off_s), (
            "its key is gone, so its reads no longer count as contact"
        )
        node.peer_liveness.peer_status["c1"] = (119.5, PeerStatus(60.0, {}, {}))
        assert state.isolated(165.0), (
            "a reachable peer proves nothing: it may acknowledge earlier cancellations in an outage"
        )
        life, node.context.clock = state.cancellation_barrier.incarnation, lambda: 119.5
        gossip = {
            "seen": 1,
            "life": "x",
            "at": 1.0,
            "up": 99.0,
            "read": True,
            "echo": [life, 119.0],
        }
        node.peer_links.deliver("c1", [["k", 1, 0, 0, True, gossip, 1]])
        assert state.isolated(119.0 + st.options.cut_off_s), (
            "the peer has echoed, so contact counts from the echoed time"
        )
        assert not state.isolated(119.0 + st.options.cut_off_s - 0.1)

    anyio.run(scenario)


def test_newer_holder_supersedes_the_current_one() -> None:
    async def scenario() -> None:
        node = new_controller()
        s = node.settings
        node.context.held_shards[0] = HeldShard(
            0,
            7,
            ShardOwner(
                0, 7, 2, s.lease_s, s.heartbeat_interval_s, 5.0, 5, node.context.random, 0.0
            ),
        )
        node.peer_links.deliver("c1", [["n", 1, 0, 0, True, [0.0, {0: 6}, {}], 0]])
        assert 0 in node.context.held_shards
        node.peer_links.deliver("c1", [["n", 1, 0, 0, True, [0.0, {0: 8}, {}], 0]])
        assert 0 not in node.context.held_shards

    anyio.run(scenario)


def test_first_sync_of_a_new_source_holds_every_permit() -> None:
    """An owner that receives an empty sync drops its permits and forgets the runs it has sent.

    This broke `ran_twice` (kazi-bodi-grown rough).
    """
    sent: list[Any] = []

    async def scenario() -> None:
        node = new_controller()
        s = node.settings
        held = node.context.held_shards[0] = HeldShard(
            0,
            7,
            ShardOwner(
                0, 7, 2, s.lease_s, s.heartbeat_interval_s, 5.0, 5, node.context.random, 0.0
            ),
        )
        team = node.context.shard_map.teams_of(0)[0]

        async def read(prefix: str) -> dict[str, Any]:
            entry = [3, 11, "n-1", 1, "a", 5, 2]
            return (
                {f"{prefix}0": ({"j-000001": [[1.0, 1.0, 1.0], [entry]]}, 4)}
                if prefix == allocation_prefix(team)
                else {}
            )

        async def read_one(key: str) -> tuple[Any, int]:
            return None, 0

        async def current() -> bool:
            return True

        async def first_write(held: HeldShard, source: JobSource) -> None:
            sent.extend(
                node.context.outbound.collect("c1", 1, lambda shard: "c1")
            )  # the link may send before the first decision

        writer = node.allocation_writer
        writer.reader.read_key = read_one  # type: ignore[method-assign]
        (
            writer.reader.list_prefix,
            writer.is_current,
            writer._write_loop,
        ) = read, current, first_write  # type: ignore[method-assign]
        await writer.run(held)

    anyio.run(scenario)
    (to_part_1,) = [m for m in sent if m[0] == "s" and m[3] == 1]
    assert to_part_1[4] and peer_messages.permit_key(AttemptId("j-000001", 3, 11)) in to_part_1[5]


def test_write_budget_unused_by_other_controllers_is_lent() -> None:
    """Many short jobs of one team waited for one controller's share of the write budget, while the
    shares of the others were unused.
    """
    node = new_controller()
    own = node.settings.store_write_rps * 0.92 / 2
    now = time.monotonic()
    node.peer_liveness.update_write_share(now)
    assert node.context.store.writes.rate == own, "an unreachable controller may be writing"
    node.peer_liveness.peer_status["c1"] = (now, PeerStatus(0.0, {}, {}, 0.0))
    node.peer_liveness.update_write_share(now)
    assert own < node.context.store.writes.rate < 2 * own
    node.peer_liveness.peer_status["c1"] = (now, PeerStatus(0.0, {}, {}, own + 5.0))
    node.peer_liveness.update_write_share(now)
    assert node.context.store.writes.rate == own


def test_small_writes_do_not_starve_a_large_one_and_patient_writers_yield() -> None:
    """Every submission took the next free operation; the writer of permits, which needs at least
    two, never got them.
    """

    async def scenario() -> None:
        limiter = RateLimiter(20.0)
        limiter.tokens = 0.0
        order: list[str] = []

        async def take(name: str, n: float, reserve: float = 0.0, max_wait_s: float = 60.0) -> None:
            await limiter.acquire(n, reserve=reserve, max_wait_s=max_wait_s)
            order.append(name)

        async with anyio.create_task_group() as tg:
            for i in range(4):
                tg.start_soon(take, "patient", 1, 10.0)
                tg.start_soon(take, f"small {i}", 1)
            await anyio.sleep(0.01)
            tg.start_soon(take, "writer", 4, 1.0, 0.0)
            for _ in range(6):
                await anyio.sleep(0.03)
                tg.start_soon(take, "later", 1)
        assert order.index("writer") == 4 and order[-4:] == ["patient"] * 4

    anyio.run(scenario)


def test_a_controllers_key_is_never_written_without_its_lease() -> None:
    """A claim may find the lease gone while a renewal is under way.

    A key written without a lease would outlive the process for ever.
    """

    async def scenario() -> None:
        node = new_controller()
        member, written = node.controller_lease, []
        member.lease_id, node.context.cancelled_revision = 7, 5

        async def renew(lease: int) -> bool:
            member.lease_id = None
            return True

        async def txn(
            guards: Any, puts: Any, deletes: Any, lease: Any = None, leased: Any = (), **kw: Any
        ) -> tuple[int, list[str]]:
            written.append((lease, set(puts) == set(leased)))
            return 0, ["no such lease"]

        async def grant(ttl: float) -> int:
            await anyio.sleep(60.0)
            return 8

        (
            node.context.store.renew_lease,
            node.context.store.compare_and_swap,
            node.context.store.grant_lease,
        ) = renew, txn, grant  # type: ignore[method-assign]
        with anyio.move_on_after(0.05):
            await member.lease_loop()
        assert written == [(7, True)]

    anyio.run(scenario)


def test_finished_job_is_reported_without_waiting_for_peers() -> None:
    """Only a cancellation has to wait for peers.

    Cancelling a job that had ended took a second while a controller was down.
    """

    async def scenario() -> None:
        node = new_controller()
        node.context.store_cache.ended_jobs["j-000001"] = EndedJob("done", 3, 9)
        node.context.store_cache.ended_jobs["j-000002"] = EndedJob("withdrawn", 0, 9)
        with anyio.fail_after(0.5):
            assert (await node.job_requests.cancel("j-000001")).status == 200
        assert (await node.job_requests.poll("j-000002")).status == 503, (
            "no peer has read of the cancellation yet"
        )

    anyio.run(scenario)


@pytest.mark.parametrize(
    "addr", ["x", "x:", ":1", "x:99999", "x:²", "a" * 80 + ":80", "é b:80", "127.0.0.1:1"]
)
def test_invalid_agent_address_does_not_end_the_process(addr: str) -> None:
    """The agent sends the address: `int` of it raised in the process's own task group, and ended
    the process.
    """

    async def scenario() -> None:
        node = new_controller()
        s = node.settings
        owner = ShardOwner(
            0, 7, 2, s.lease_s, s.heartbeat_interval_s, 5.0, 5, node.context.random, 0.0
        )
        m = Machine("n-1", addr, "t", "a", False, 7 << 20)
        owner.machines["n-1"], m.command_pending = m, True
        with anyio.fail_after(5.0):
            await node.agent_commands.send(owner, m, {})
        assert not m.command_pending

    anyio.run(scenario)


def test_deleted_member_key_is_rewritten_and_the_short_contact_age_holds_until_a_read() -> None:
    """Others count a controller without a key as ended, which also limits how long it may continue.

    It must not continue for longer than that.
    """

    async def scenario() -> None:
        node = new_controller()
        member, shown = node.controller_lease, []
        member.lease_id, member.key_written_at, node.store_watch.read_at = 7, 100.0, 101.0
        node.context.store_cache.ready = True

        async def renew(lease: int) -> bool:
            return True

        async def show(lease: int) -> bool:
            shown.append(lease)
            return True

        node.context.store.renew_lease, member._publish_key = renew, show  # type: ignore[method-assign]
        with anyio.move_on_after(0.05):
            await member.lease_loop()
        assert shown == [7] and member.key_written_at > node.store_watch.read_at
        node.context.store_cache.entries[CONTROLLER_PREFIX + "c0"] = ({}, 9)
        with anyio.move_on_after(0.05):
            await member.lease_loop()
        assert shown == [7]

    anyio.run(scenario)
