"""Who holds which role, and the boards that roles here and elsewhere tell one another with."""

from __future__ import annotations

from ploverhall.controller.context import Held, Shared
from ploverhall.controller.peer_liveness import BELIEVED_S, Hearing
from ploverhall.coordination import state_channel
from ploverhall.coordination.state_channel import Message
from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.permitting import Source

FOUND_S = (
    4.5  # a worker that is sent to a holder that it can't reach waits for 4 s there, and 1 s more
)


class Routing:
    """Where boards go, and what is done with those that come."""

    def __init__(self, shared: Shared, hearing: Hearing) -> None:
        self.shared, self.hearing = shared, hearing
        self.holders: dict[
            int, str | None
        ] = {}  # by role, as of the last event that may have changed it
        self.epochs: dict[
            int, tuple[int, float]
        ] = {}  # per shard: its epoch in the store, and since when it is known here
        self.version = 0  # rises with every change of `holders`

    def route(self) -> None:
        """Who holds what may have changed.

        Asked anew for every board, every link and every step of the engine, it was called 330,000 times in 240 s of a calm day.
        """
        now = self.shared.clock()
        for shard in range(len(self.shared.layout.nodes)):
            epoch = self.shared.replica.holder(shard)[1]
            if self.epochs.get(shard, (-1, 0.0))[0] != epoch:
                self.epochs[shard] = (epoch, now)
        holders = {
            role: self.holder(role)
            for role in (*range(len(self.shared.layout.nodes)), state_channel.RENTER)
        }
        if holders != self.holders:
            self.holders = holders
            self.version += 1

    def settled(self, shard: int, now: float) -> bool:
        """Whether a shard's holder has had it for so long that its workers should have found it."""
        return now - self.epochs.get(shard, (0, now))[1] > FOUND_S

    def holder(self, role: int) -> str | None:
        """The node that holds a role, as far as is known here."""
        if role == state_channel.RENTER:
            return self.shared.replica.renter()[0]
        if role in self.shared.held:
            return self.shared.settings.name
        node, epoch = self.shared.replica.holder(role)
        for name, (heard, news) in self.hearing.peer_news.items():
            if news.epochs.get(role, 0) > epoch and self.shared.clock() - heard < BELIEVED_S:
                node, epoch = name, news.epochs[role]
        return node

    def collect(self, node: str, generation: int) -> list[Message]:
        """The boards that go to a node now."""
        return self.shared.outbox.collect(node, generation, self.holders.get, self.version)

    def take(self, message: Message) -> bool:
        """A board's message has come; False when it says nothing new."""
        if not self.shared.inbox.take(message):
            return False
        self.dispatch(message)
        return True

    def dispatch(self, message: Message) -> None:
        """Give a board's news to the role it is meant for, if it is held here."""
        kind, src, epoch, dst, full, changes = message[:6]
        shared = self.shared
        now = shared.clock()
        if src >= 0 and epoch < shared.replica.holder(src)[1]:
            return  # from a holder that has been deposed
        if dst == state_channel.RENTER:
            if shared.renter is not None:
                if kind == "d":
                    shared.renter.on_source(src, full, changes)
                else:
                    shared.renter.on_owner(src, full, changes, now)
            return
        held = shared.held.get(dst)
        if held is None:
            return
        if kind == "s":
            held.owner.on_source(src, full, changes, now)
        elif kind == "o" and held.source is not None:
            held.source.on_owner(src, epoch, full, changes, now)
            held.wake.set()
        elif kind == "r":
            state = (
                shared.inbox.boards[kind, src, dst][1]
                if (kind, src, dst) in shared.inbox.boards
                else changes
            )
            held.owner.set_drain(state.get("drain") or [])
            if (
                "empty" in state
            ):  # a renter that has just begun does not know yet which machines were being emptied
                held.owner.set_empty(state["empty"])
            held.owner.machine_gone(state.get("gone") or [])

    def progress(self, job: Job) -> tuple[int, int]:
        """A live job's tasks done and running, as far as they are known here: from its source, or from what that one tells."""
        shard = self.shared.layout.team_shard.get(job.team, -1)
        held = self.shared.held.get(shard)
        if held is not None and held.source is not None:
            return held.source.progress(job.id)
        for dst in (
            self.shared.held
        ):  # what was said to a shard that is not held here any more is as old as that
            counts = self.shared.inbox.boards.get(("c", shard, dst))
            if counts is not None and job.id in counts[1]:
                done, running = counts[1][job.id]
                return done, running
        return 0, 0

    def replay(self, role: int, kinds: tuple[str, ...]) -> None:
        """Hand a role all that it has been told so far."""
        for (kind, src, dst), (epoch, state) in list(self.shared.inbox.boards.items()):
            if dst == role and kind in kinds:
                self.dispatch([kind, src, epoch, dst, True, dict(state)])

    def tell_owners(self, held: Held, source: Source, now: float) -> None:
        """What owners must hear goes on their boards.

        A new source's boards are filled in the same breath in which they are made: an owner that got an empty one
        first took every permit as taken back, forgot which runs it had sent, and refused the permits when they came
        again as if it had never started them (kazi-bodi-grown rough: ran_twice).
        """
        parts, outbox = len(self.shared.layout.nodes), self.shared.outbox
        news = source.take_news(parts, now)
        for part in range(parts):
            # a board that is empty still has to be sent once, so that the owner knows this source is heard
            outbox.board("s", held.shard, part, held.epoch)
        for (part, key), value in news.items():
            outbox.board("s", held.shard, part, held.epoch).put(key, value)
