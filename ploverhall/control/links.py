"""The links to the other controllers: what goes out on each, and what is done with what comes in."""

from __future__ import annotations

from ploverhall.control.carrying import Carrying
from ploverhall.control.hearing import Hearing
from ploverhall.control.roles import Roles
from ploverhall.control.routing import Routing
from ploverhall.control.shared import Shared
from ploverhall.control.telling import Telling
from ploverhall.coordination.boards import Message
from ploverhall.coordination.told import Told
from ploverhall.protocol import carry
from ploverhall.protocol.peers import NodeNews
from ploverhall.transport.peer import Link, Listener

NEWS_EVERY_S = 0.5


class Links:
    """One link to each peer, and the listener for theirs."""

    def __init__(self, shared: Shared, hearing: Hearing, routing: Routing, roles: Roles, telling: Telling, told: Told,
                 carrying: Carrying) -> None:
        self.shared, self.hearing, self.routing, self.roles, self.telling, self.told = shared, hearing, routing, roles, telling, told
        self.carrying = carrying
        s, seams = shared.settings, shared.seams
        self.links = {p.name: Link(s.name, p.name, p.host, p.port, self.collect, seams.net, seams.clock) for p in s.peers}
        self.listener = Listener(self.deliver, seams.net, seams.clock)
        self.news_at: dict[str, float] = {}
        self.seen_sent: dict[str, int] = {}  # per peer: the revision it was told this node has read up to
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
        if shared.replica.ready and (told or self.seen_sent.get(node, 0) < min(shared.cancelled_rev, shared.replica.rev)):
            # a message of its own, in the form of a board: a release that does not know it takes it for one of nobody's
            self.seen_sent[node] = shared.replica.rev
            self.numbers += 1
            out.append(["k", shared.me, 0, 0, True, {"seen": shared.replica.rev}, self.numbers])
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
                if isinstance(seen := message[5].get("seen"), int):
                    self.told.read(node, seen)
            elif message[0] in (carry.WORD, carry.QUESTION, carry.ANSWER):
                self.carrying.deliver(node, message)
            elif message[0] in ("v", "q", "a"):
                self.telling.deliver(node, message)
            elif self.routing.take(message):
                news = True
        if news:
            self.shared.poke()
