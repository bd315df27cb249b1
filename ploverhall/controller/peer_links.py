"""The links to the other controllers: what goes out on each, and what is done with what comes in."""

from __future__ import annotations

from collections.abc import Callable

from ploverhall import log
from ploverhall.controller.context import Shared
from ploverhall.controller.peer_liveness import Hearing
from ploverhall.controller.relay import Carrying
from ploverhall.controller.routing import Routing
from ploverhall.controller.shard_roles import Roles
from ploverhall.controller.status_report import Telling
from ploverhall.coordination.cancellation_barrier import Cancellations
from ploverhall.coordination.state_channel import Message
from ploverhall.protocol import relay_messages
from ploverhall.protocol.peer_messages import Cancelled, Malformed, NodeNews, pack_word, word
from ploverhall.transport.peer_stream import Link, Listener

NEWS_EVERY_S = 0.5
REFUSED_EVERY_S = 60.0


class Links:
    """One link to each peer, and the listener for theirs."""

    def __init__(
        self,
        shared: Shared,
        hearing: Hearing,
        routing: Routing,
        roles: Roles,
        telling: Telling,
        cancellations: Cancellations,
        carrying: Carrying,
        cancelled: Callable[[list[Cancelled]], None],
    ) -> None:
        self.shared, self.hearing, self.routing, self.roles, self.telling = (
            shared,
            hearing,
            routing,
            roles,
            telling,
        )
        self.cancellations, self.carrying = cancellations, carrying
        self.cancelled = cancelled  # acts on what a peer says has been cancelled
        s, seams = shared.settings, shared.seams
        self.links = {
            p.name: Link(s.name, p.name, p.host, p.port, self.collect, seams.net, seams.clock)
            for p in s.peers
        }
        self.listener = Listener(self.deliver, seams.net, seams.clock)
        self.news_at: dict[str, float] = {}
        self.known_sent: dict[str, int] = {}  # per peer: the watermark that it was told
        self.refused_at: dict[
            str, float
        ] = {}  # per peer: when a word of its that is in no form was last named in the log
        self.numbers = 0

    def up(self) -> list[str]:
        """The peers to which there is a connection."""
        return [name for name, link in self.links.items() if link.up]

    def poke(self, *names: str | None) -> None:
        """There is something for these peers."""
        for name in names:
            if name is not None and name in self.links:
                self.links[name].poke()

    def collect(self, node: str, generation: int) -> list[Message]:
        """What goes to a peer now."""
        out = self.routing.collect(node, generation)
        shared, now = self.shared, self.shared.clock()
        told = now - self.news_at.get(node, -1e9) > NEWS_EVERY_S
        if told:
            self.news_at[node] = now
            out.append(["n", shared.me, 0, 0, True, self.hearing.own(now), 0])
        if told or self.known_sent.get(node, 0) < min(
            shared.cancelled_rev, max(shared.replica.rev, self.cancellations.informed)
        ):
            # a message of its own, in the form of a board: a release that does not know it takes it for one of nobody's
            said = self.cancellations.word(node, shared.replica.rev, now)
            self.known_sent[node] = said.known
            self.numbers += 1
            out.append(["k", shared.me, 0, 0, True, pack_word(said), self.numbers])
        return out + self.telling.collect(node, now) + self.carrying.collect(node, now)

    def deliver(self, node: str, batch: list[Message]) -> None:
        """A peer's messages."""
        news = False
        for message in batch:
            if message[0] == "n":
                said = NodeNews(*message[5])
                self.hearing.take(node, said)
                self.roles.deposed(said.epochs, node)
                self.routing.route()
            elif message[0] == "k":
                self._word(node, message[5])
            elif message[0] in (relay_messages.WORD, relay_messages.QUESTION, relay_messages.ANSWER):
                self.carrying.deliver(node, message)
            elif message[0] in ("v", "q", "a"):
                self.telling.deliver(node, message)
            elif self.routing.take(message):
                news = True
        if news:
            self.shared.poke()

    def _word(self, node: str, value: object) -> None:
        """What a peer knows of cancellations; one that is in no form changes nothing."""
        now = self.shared.clock()
        try:
            said = word(value)
        except Malformed as e:
            if now - self.refused_at.get(node, -1e9) > REFUSED_EVERY_S:
                self.refused_at[node] = now
                log.error("word of a controller refused", by=node, field=e)
            return
        if named := self.cancellations.take(node, said, now):
            self.cancelled(named)
