"""Which shards this node holds: its lease, claims, takeovers and hand-backs."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.connectivity.failback_backoff import Moves
from ploverhall.connectivity.relay_routes import Ways
from ploverhall.controller.agent_commands import Workers
from ploverhall.controller.context import Held, Shared
from ploverhall.controller.peer_liveness import Hearing
from ploverhall.controller.shard_roles import Roles
from ploverhall.controller.store_watch import Following
from ploverhall.coordination.cancellation_barrier import CAN, Cancellations
from ploverhall.coordination.isolation import Alone
from ploverhall.coordination.orphaned_machines import Stranded
from ploverhall.coordination.restart_recovery import Rights
from ploverhall.maintenance import orders
from ploverhall.protocol.jobs import DONE
from ploverhall.protocol.key_value_store import Refused, Unknown
from ploverhall.storage.store_cache import NODE, SHARD, Ended

READ_S = 2.5  # the copy is proven current at least this often
ALONE_S = 1.0  # its lease may end so late
TAKE_AGAIN_S = (
    10.0  # a shard that is taken from a live holder and lost again is left alone for this long
)


class Membership:
    """Which shards this node holds: its lease, claims, takeovers and hand-backs."""

    def __init__(
        self,
        shared: Shared,
        hearing: Hearing,
        following: Following,
        roles: Roles,
        cancellations: Cancellations,
        ways: Ways,
        workers: Workers,
        all_up: Callable[[], bool],
    ) -> None:
        self.shared, self.hearing, self.following, self.roles, self.ways = (
            shared,
            hearing,
            following,
            roles,
            ways,
        )
        self.cancellations, self.workers = cancellations, workers
        s = shared.settings
        self.rights = Rights(s.cancel_s, s.lease_s, s.skew_s, s.options.cut_off_s)
        names = shared.layout.nodes
        before = [names[(shared.me - i) % len(names)] for i in range(1, len(names))]
        self.alone = Alone(before, s.report_s, s.lease_s)
        self.all_up = all_up  # whether there is a connection to every peer
        self.shard_wake = anyio.Event()
        self.orphans: dict[int, float] = {}
        self.home_alive: dict[int, int] = {}  # per shard: the version of its home's key
        self.home_had: set[int] = set()  # shards that their homes held when last looked at
        self.moves = Moves(shared.settings.options.handback_s)
        self.stranded = Stranded()
        self.taken_at: dict[int, float] = {}  # shards taken from a live holder
        self.epochs: dict[int, int] = {}  # per shard: the newest epoch that this process has held
        self.lease: int | None = None
        self.granted = 0.0  # when this node's key was known to be in the store
        self.renewed = 0.0  # when the newest request began that showed it to be alive
        self.shown = 0  # the revision that this node's key says it has read up to

    def notice(self, now: float) -> None:
        """Which members' keys are there, and what they say."""
        for name in self.cancellations.members:
            value, left = self.shared.replica.member(name)
            if not isinstance(value, dict):
                self.cancellations.gone(name, now, left)
                continue
            can, seen = value.get("can"), value.get("seen")
            self.cancellations.present(
                name, isinstance(can, list) and CAN in can, seen if isinstance(seen, int) else 0
            )

    def may_tell(self, end: Ended) -> bool:
        """Whether a user may be told how a job ended: of a cancellation, only once all know of it (coordination.cancellations)."""
        if end.how == DONE:
            return True
        return self.shared.replica.rev >= end.version and self.cancellations.may_tell(
            end.version, self.shared.clock()
        )

    def may_archive(self, end: Ended) -> bool:
        """Whether nobody can need to be told of a job's end any more who has not read the store since."""
        return end.how == DONE or self.cancellations.may_forget(end.version, self.shared.clock())

    def isolated(self, now: float) -> bool:
        """Whether others may have told a user of a cancellation that this node can't know of.

        Then it stops answering workers early enough for their leases to run out within the time a cancellation has.
        """
        self._contact()
        return self.cancellations.isolated(now)

    def _contact(self) -> None:
        """Its own contact with the store: it has read everything, its key was in what it read, and its lease was alive.

        What others have told while the key was not there is older than the key, so it has been read, too.
        """
        if NODE + self.shared.settings.name in self.shared.replica.keys:
            self.cancellations.contacted(min(self.following.read_at, self.renewed))

    def look_around(self, now: float) -> None:
        """Whether there is anybody besides this controller's workers: neither store nor peers for longer than its lease lives."""
        last = max(self.renewed, self.following.read_at, self.shared.started)
        alone = now - last > self.shared.settings.options.shard_lease_s + ALONE_S
        self.alone.look(
            alone and not any(self.hearing.heard(p.name, now) for p in self.shared.settings.peers),
            now,
        )

    def right(self, now: float) -> int:
        """What tokens that leave now say of who may answer their workers later (coordination.afterlife)."""
        self._contact()
        return self.rights.given(
            now - self.cancellations.contact(now), self.cancellations.fence, self.shared.wall()
        )

    async def lease_loop(self) -> None:
        """Keep a lease and the key that shows this node is up."""
        ttl = self.shared.settings.options.shard_lease_s
        while True:
            try:
                begun = self.shared.clock()
                if self.lease is None:
                    lease = await self.shared.store.grant(ttl)
                    if await self._show(lease):
                        self.lease, self.granted, self.renewed = lease, self.shared.clock(), begun
                        log.info("lease", lease=lease)
                        self.shard_wake.set()
                elif not await self.shared.store.renew(lease := self.lease):
                    log.error("lease lost", lease=lease)
                    self.lease = None
                    for shard in list(self.shared.held):
                        self.roles.lose(shard, "lease")
                    self.shared.renter = None
                    continue
                else:
                    self.renewed = begun
                    if begun - self.following.read_at > READ_S:
                        self.following.ask()  # a watch that holds shows for seconds nothing of whether there is contact
                    if (
                        self.following.read_at > self.granted
                        and NODE + self.shared.settings.name not in self.shared.replica.keys
                    ):
                        # the lease lives, but the key is gone (a put of an earlier life came late, and went with that life's
                        # lease): others count this one as ended, and for how long it may still answer workers
                        if await self._show(lease):
                            self.granted = self.shared.clock()
                    elif self.shared.cancelled_rev > self.shown and not self.all_up():
                        await self._show(lease)  # who can't be told directly reads it there
                await anyio.sleep(ttl / 4)
            except (Refused, Unknown):
                await anyio.sleep(0.25)

    async def _show(self, lease: int) -> bool:
        """Write this node's key: its zone, what it can, and how far it has read.

        Tethered to that lease: without one it would outlive the process, and be taken for it for ever.
        """
        key, seen = (
            NODE + self.shared.settings.name,
            max(self.shared.replica.rev, self.cancellations.informed),
        )
        value = {"zone": self.shared.settings.zone, "can": [CAN, orders.CAN], "seen": seen}
        _, failed = await self.shared.store.txn(
            {}, {key: value}, [], lease, frozenset({key}), urgent=True
        )
        if not failed:
            self.shown = seen
        return not failed

    async def shard_loop(self) -> None:
        """Hold the shards that this node should hold."""
        while True:
            self.shard_wake = anyio.Event()
            self.look_around(self.shared.clock())
            if self.shared.replica.ready and self.lease is not None:
                now = self.shared.clock()
                for shard in range(len(self.shared.layout.nodes)):
                    await self.check(shard, now)
            with anyio.move_on_after(0.2):
                await self.shard_wake.wait()

    async def check(self, shard: int, now: float) -> None:
        """One shard: claim it, keep it, hand it back, or leave it."""
        name = self.shared.settings.name
        holder, version = self.shared.replica.holder(shard)
        held = self.shared.held.get(shard)
        if held is not None and held.owner.spent:
            self.roles.lose(
                shard, "its tokens are used up"
            )  # claimed again at once, with the next epoch's
            held = None
        if held is not None and version != held.epoch and self.shared.replica.rev >= held.epoch:
            # another holds it, or its key went with a lease that ended while this controller stood still
            self.roles.lose(shard, "taken over" if version else "its key is gone")
            held = None
        home = self.shared.layout.nodes[shard]
        _, home_version = self.shared.replica.keys.get(NODE + home, (None, 0))
        # -1: not even its absence has been seen yet
        same = self.home_alive.get(shard, -1) == home_version
        self.home_alive[shard] = home_version
        if holder == home:
            self.home_had.add(shard)
        elif shard in self.home_had:
            self.home_had.discard(shard)
            self.moves.left(shard, now)
        if held is not None:
            # all links of the home have to be good for long enough, or it loses the shard again at once
            well = (
                same
                and home_version > 0
                and self.hearing.heard(home, now)
                and self.ways.well(home, now)
            )
            if (
                shard != self.shared.me
                and self.moves.home_is(shard, well, now)
                and now - self.taken_at.get(shard, -1e9) > 30.0
            ):
                # not while its workers don't reach it: it would lose the part, and they their leases, once more
                if await self.workers.reached_by(home, held.owner):
                    await self._hand_back(held)
                else:
                    self.moves.home_is(shard, False, now)
            return
        if holder == name:
            value, _ = self.shared.replica.keys[f"{SHARD}{shard}"]
            if value.get("lease") == self.lease and version > self.epochs.get(shard, 0):
                # its own claim, whose answer did not come: nobody has held that epoch yet. Claimed again, it was lost again where
                # answers are lost: 15 claims instead of 5 for three ends, and workers waited for up to 13 s
                self._hold(shard, version)
            else:
                await self._claim(
                    shard, version
                )  # of an earlier life, or one that this process has let go
        elif holder is None:
            since = self.orphans.setdefault(shard, now)
            alive = [
                n for n in self.shared.layout.nodes if self.shared.replica.alive(n) and n != home
            ] or [name]
            delay = self.shared.layout.claim_delay(name, shard, alive, len(self.shared.held))
            if shard != self.shared.me and home_version:
                delay += 3.0  # its home is up and will claim it
            if shard != self.shared.me and self.workers.all_cut(now):
                delay += 2.0  # whoever its workers can reach comes first
            if now - since >= delay:
                await self._claim(shard, 0)
            return
        elif now - self.taken_at.get(shard, -1e9) > TAKE_AGAIN_S and self.stranded.should_take(
            shard,
            self.hearing.heard(holder, now),
            now,
            shard == self.shared.me,
            self.hearing.quiet(holder, shard, now),
        ):
            log.info("workers can't reach their controller", shard=shard, holder=holder)
            self.taken_at[shard] = now
            await self._claim(shard, version)
        self.orphans.pop(shard, None)

    async def _claim(self, shard: int, version: int) -> None:
        key = f"{SHARD}{shard}"
        value = {"node": self.shared.settings.name, "lease": self.lease}
        try:
            epoch, failed = await self.shared.store.txn(
                {key: version}, {key: value}, [], self.lease, frozenset({key}), urgent=True
            )
        except (Refused, Unknown):
            return
        if failed == ["no such lease"]:
            self.lease = None
        if failed:
            return
        self.shared.replica.put_own(key, value, epoch)
        self._hold(shard, epoch)

    def _hold(self, shard: int, epoch: int) -> None:
        """A claim of this process has landed. Of one epoch there is one owner ever: its tokens and runs are not to be given out twice."""
        self.orphans.pop(shard, None)
        self.epochs[shard] = epoch
        self.roles.take(shard, epoch)

    async def _hand_back(self, held: Held) -> None:
        key = f"{SHARD}{held.shard}"
        self.roles.lose(held.shard, "handed back")
        try:
            await self.shared.store.txn({key: held.epoch}, {}, [key], urgent=True)
        except (Refused, Unknown):
            pass  # if it has not landed, the next round finds this node as the holder and claims again
