"""Who holds which role, and the boards that roles here and elsewhere tell one another with."""

from __future__ import annotations

from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.peer_liveness import SHARD_CLAIM_MAX_AGE_S, PeerLiveness
from ploverhall.coordination import state_channel
from ploverhall.coordination.state_channel import Message
from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.permitting import JobSource

# A worker that is sent to a holder that it can't reach waits for 4 s there, and 1 s more
SETTLED_AFTER_S = 4.5


class Routing:
    """Where boards go, and what is done with those that come."""

    def __init__(self, context: ControllerContext, peer_liveness: PeerLiveness) -> None:
        self.context = context
        self.peer_liveness = peer_liveness
        # By role, as of the last event that may have changed it
        self.holders: dict[int, str | None] = {}
        # Per shard: its epoch in the store, and since when it is known here
        self.epochs: dict[int, tuple[int, float]] = {}
        self.version = 0  # rises with every change of `holders`

    def update_routes(self) -> None:
        """Who holds what may have changed.

        Asked anew for every board, every link and every step of the engine, it was called 330,000 times in 240 s of a calm day.
        """
        now = self.context.clock()
        for shard in range(len(self.context.shard_map.controllers)):
            epoch = self.context.store_cache.holder(shard)[1]
            if self.epochs.get(shard, (-1, 0.0))[0] != epoch:
                self.epochs[shard] = (epoch, now)
        holders = {
            role: self.holder(role)
            for role in (
                *range(len(self.context.shard_map.controllers)),
                state_channel.AUTOSCALER_ENDPOINT,
            )
        }
        if holders != self.holders:
            self.holders = holders
            self.version += 1

    def settled(self, shard: int, now: float) -> bool:
        """Whether a shard's holder has had it for so long that its workers should have found it."""
        return now - self.epochs.get(shard, (0, now))[1] > SETTLED_AFTER_S

    def holder(self, endpoint: int) -> str | None:
        """The node that holds a role, as far as is known here."""
        if endpoint == state_channel.AUTOSCALER_ENDPOINT:
            return self.context.store_cache.autoscaler()[0]
        if endpoint in self.context.held_shards:
            return self.context.settings.name
        node, epoch = self.context.store_cache.holder(endpoint)
        for name, (heard, news) in self.peer_liveness.peer_status.items():
            if (
                news.epochs.get(endpoint, 0) > epoch
                and self.context.clock() - heard < SHARD_CLAIM_MAX_AGE_S
            ):
                node, epoch = name, news.epochs[endpoint]
        return node

    def collect(self, controller: str, generation: int) -> list[Message]:
        """The boards that go to a node now."""
        return self.context.outbound.collect(controller, generation, self.holders.get, self.version)

    def accept(self, message: Message) -> bool:
        """A board's message has come; False when it says nothing new."""
        if not self.context.inbound.accept(message):
            return False
        self.dispatch(message)
        return True

    def dispatch(self, message: Message) -> None:
        """Give a board's news to the role it is meant for, if it is held here."""
        kind, source, epoch, destination, full, changes = message[:6]
        shared = self.context
        now = shared.clock()
        if source >= 0 and epoch < shared.store_cache.holder(source)[1]:
            return  # from a holder that has been deposed
        if destination == state_channel.AUTOSCALER_ENDPOINT:
            if shared.autoscaler is not None:
                if kind == "d":
                    shared.autoscaler.on_source_update(source, full, changes)
                else:
                    shared.autoscaler.on_owner_update(source, full, changes, now)
            return
        held = shared.held_shards.get(destination)
        if held is None:
            return
        if kind == "s":
            held.owner.on_source_update(source, full, changes, now)
        elif kind == "o" and held.source is not None:
            held.source.on_owner_update(source, epoch, full, changes, now)
            held.write_wake.set()
        elif kind == "r":
            state = (
                shared.inbound.channels[kind, source, destination][1]
                if (kind, source, destination) in shared.inbound.channels
                else changes
            )
            held.owner.set_draining(state.get("drain") or [])
            if (
                "empty" in state
            ):  # a renter that has just begun does not know yet which machines were being emptied
                held.owner.set_cordoned(state["empty"])
            held.owner.on_machines_deleted(state.get("gone") or [])

    def task_counts(self, job: Job) -> tuple[int, int]:
        """A live job's tasks done and running, as far as they are known here: from its source, or from what that one tells."""
        shard = self.context.shard_map.team_shard.get(job.team, -1)
        held = self.context.held_shards.get(shard)
        if held is not None and held.source is not None:
            return held.source.task_counts(job.id)
        for dst in (
            self.context.held_shards
        ):  # what was said to a shard that is not held here any more is as old as that
            counts = self.context.inbound.channels.get(("c", shard, dst))
            if counts is not None and job.id in counts[1]:
                done, running = counts[1][job.id]
                return done, running
        return 0, 0

    def replay(self, endpoint: int, kinds: tuple[str, ...]) -> None:
        """Hand a role all that it has been told so far."""
        for (kind, src, dst), (epoch, state) in list(self.context.inbound.channels.items()):
            if dst == endpoint and kind in kinds:
                self.dispatch([kind, src, epoch, dst, True, dict(state)])

    def update_owners(self, held: HeldShard, source: JobSource, now: float) -> None:
        """What owners must hear goes on their boards.

        A new source's boards are filled in the same breath in which they are made: an owner that got an empty one
        first took every permit as taken back, forgot which runs it had sent, and refused the permits when they came
        again as if it had never started them (kazi-bodi-grown rough: ran_twice).
        """
        parts, outbox = len(self.context.shard_map.controllers), self.context.outbound
        news = source.take_owner_updates(parts, now)
        for part in range(parts):
            # a board that is empty still has to be sent once, so that the owner knows this source is heard
            outbox.channel("s", held.shard, part, held.epoch)
        for (part, key), value in news.items():
            outbox.channel("s", held.shard, part, held.epoch).put(key, value)
