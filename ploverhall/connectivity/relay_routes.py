"""What each member says that it reaches, and so: through whom something can be reached that this one can't reach itself.

A way is worth trying only while the one it leads through says that its own link is good, has said so just now, and has
not just failed. Over two members where no single one has both links: the first then asks the second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

FRESH_S = 1.6  # members speak twice a second; what is older may be over
BLAME_S = 1.0  # a way that has just failed is left alone for so long, and twice as long each time
MOST_BLAME_S = 8.0
SERVICES = frozenset(("state", "cloud"))


@dataclass(slots=True)
class Said:
    """One member's newest word on its links."""

    at: float = -1e9  # when it was heard
    life: str = ""  # changes when its process starts anew
    can: frozenset[str] = frozenset()  # what it carries; nothing if it is of a release that doesn't
    good: frozenset[str] = frozenset()  # which outside services it reaches by itself
    through: dict[str, str] = field(
        default_factory=dict
    )  # others: through whom it reaches them now
    hears: frozenset[str] = frozenset()  # members that it hears
    cut: dict[int, int] = field(
        default_factory=dict
    )  # shards held whose workers don't reach it, and their epochs
    blamed: float = -1e9  # until when it is left alone
    blame_s: float = BLAME_S


class Ways:
    """What the other members say, and the ways that follow from it."""

    def __init__(self, others: list[str]) -> None:
        self.said = {name: Said() for name in sorted(others)}
        self.last: dict[
            str, str
        ] = {}  # per service: the member that was asked last; kept while it serves

    def heard(self, name: str, word: dict[str, Any], now: float) -> None:
        """A member has spoken. What is not in the known form counts as not said."""
        said = self.said.get(name)
        if said is None:
            return
        through, cut = word.get("through"), word.get("cut")
        said.at, said.life = now, str(word.get("life"))[:40]
        said.can, said.good, said.hears = (
            _names(word.get("can")),
            _names(word.get("good")),
            _names(word.get("hears")),
        )
        said.through = (
            {k: v for k, v in through.items() if isinstance(k, str) and isinstance(v, str)}
            if isinstance(through, dict)
            else {}
        )
        said.cut = (
            {k: v for k, v in cut.items() if isinstance(k, int) and isinstance(v, int)}
            if isinstance(cut, dict)
            else {}
        )

    def fresh(self, name: str, now: float) -> bool:
        """Whether a member has spoken just now."""
        return name in self.said and now - self.said[name].at < FRESH_S

    def carries(self, name: str, what: str, now: float) -> bool:
        """Whether a member can be asked to carry something of that kind."""
        return (
            self.fresh(name, now) and what in self.said[name].can and now >= self.said[name].blamed
        )

    def can(self, name: str, what: str) -> bool:
        """Whether a member has ever said, in its present life, that it carries that kind."""
        return name in self.said and what in self.said[name].can

    def to_service(
        self,
        service: str,
        what: str,
        now: float,
        avoid: frozenset[str] = frozenset(),
        hops: int = 2,
    ) -> str | None:
        """Through whom an outside service is reached: one that reaches it by itself, else (two hops) one that hears such a one."""
        near = [
            n
            for n in self.said
            if n not in avoid and self.carries(n, what, now) and service in self.said[n].good
        ]
        if not near and hops > 1:
            near = [
                n
                for n in self.said
                if n not in avoid
                and self.carries(n, what, now)
                and self._second(n, service, what, avoid)
            ]
        if not near:
            return None
        if self.last.get(service) not in near:
            self.last[service] = near[0]
        return self.last[service]

    def _second(self, name: str, service: str, what: str, avoid: frozenset[str]) -> bool:
        """Whether a member hears another that reaches the service, by what both say."""
        return any(
            n not in avoid
            and n != name
            and n in self.said[name].hears
            and what in said.can
            and service in said.good
            for n, said in self.said.items()
        )

    def to_member(
        self, name: str, what: str, now: float, avoid: frozenset[str] = frozenset(), hops: int = 2
    ) -> str | None:
        """Whom to hand something for a member: itself if it is heard, else one that hears it."""
        if self.carries(name, what, now):
            return name
        if hops > 1:
            for n, said in self.said.items():
                if (
                    n != name
                    and n not in avoid
                    and self.carries(n, what, now)
                    and name in said.hears
                ):
                    return n
        return None

    def cut_off(self, name: str, shard: int) -> bool:
        """Whether a member says that no worker of a shard it holds reaches it."""
        return name in self.said and shard in self.said[name].cut

    def well(self, name: str, now: float) -> bool:
        """Whether a member says that it reaches all outside services by itself. One of a release that says nothing counts as well."""
        said = self.said.get(name)
        return said is None or said.at < 0 or (self.fresh(name, now) and said.good >= SERVICES)

    def worked(self, name: str) -> None:
        """A way has served."""
        said = self.said[name]
        said.blame_s, said.blamed = BLAME_S, -1e9

    def failed(self, name: str, now: float) -> None:
        """A way has not served: the next one, or none, for a while."""
        said = self.said[name]
        if now >= said.blamed:
            said.blamed, said.blame_s = now + said.blame_s, min(MOST_BLAME_S, 2 * said.blame_s)


def _names(value: Any) -> frozenset[str]:
    return (
        frozenset(v for v in value if isinstance(v, str))
        if isinstance(value, (list, tuple))
        else frozenset()
    )
