"""Keyed state from one role to another: what is sent is always the newest value of what changed.

A board belongs to a role here (`kind` and shard, at an epoch) and is meant for another role, wherever
that is held. A new holder, a new connection or a new epoch gets the whole board; nothing else is
resent, nothing is queued, and every message may come twice. Messages of a board are numbered: what an
old connection delivers late, after a newer one has spoken, must not bring back what is over (the plain
world saw a refused permit come back as new, and run, after its source had counted it as gone).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

# a message: [kind, from shard, epoch, to shard, full, changes, number]
Message = list[Any]
RENTER = -1  # stands for the renter where a shard is named


@dataclass(slots=True)
class Board:
    """What one role tells another."""

    kind: str
    src: int
    dst: int
    epoch: int
    state: dict[str, Any] = field(default_factory=dict)
    dirty: set[str] = field(default_factory=set)
    sent: tuple[str, int] | None = None
    number: int = 0
    fresh: set[tuple[str, int, int]] = field(
        default_factory=set
    )  # shared by all boards of an outbox: those with something new

    def put(self, key: str, value: Any) -> None:
        """Set or remove (None) one key."""
        if self.state.get(key) == value:
            return
        if not self.dirty:
            self.fresh.add((self.kind, self.src, self.dst))
        if value is None:
            self.state.pop(key, None)
        else:
            self.state[key] = value
        self.dirty.add(key)

    def update(self, changes: dict[str, Any]) -> None:
        """Set some keys."""
        for key, value in changes.items():
            self.put(key, value)

    def replace(self, state: dict[str, Any]) -> None:
        """Set all keys."""
        self.update({k: None for k in self.state if k not in state})
        self.update(state)


class Outbox:
    """All boards of the roles held here."""

    def __init__(self) -> None:
        self.boards: dict[tuple[str, int, int], Board] = {}
        self.fresh: set[tuple[str, int, int]] = (
            set()
        )  # boards with something that has not been sent
        self.routes: dict[
            str, tuple[int, int | None]
        ] = {}  # per node: the generation and the routing that all its boards were sent under

    def board(self, kind: str, src: int, dst: int, epoch: int) -> Board:
        """The board of a role; a new epoch starts it anew."""
        key = (kind, src, dst)
        b = self.boards.get(key)
        if b is None or b.epoch != epoch:
            b = self.boards[key] = Board(kind, src, dst, epoch, fresh=self.fresh)
            self.fresh.add(key)
        return b

    def drop(self, kinds: tuple[str, ...], src: int) -> None:
        """A role is not held here any more."""
        for key in [k for k in self.boards if k[0] in kinds and k[1] == src]:
            del self.boards[key]
            self.fresh.discard(key)

    def collect(
        self,
        node: str,
        generation: int,
        holder: Callable[[int], str | None],
        routing: int | None = None,
    ) -> list[Message]:
        """What has to go to a node now.

        `routing` changes whenever `holder` may answer otherwise than before: only then, and on a new connection, is
        every board looked at; else only those with something new. None: every board, always.
        """
        out: list[Message] = []
        same = routing is not None and self.routes.get(node) == (generation, routing)
        self.routes[node] = (generation, routing)
        # sorted: a set's order differs from process to process, and with it who hears what first, and every draw after that
        for key in sorted(self.fresh) if same else list(self.boards):
            b = self.boards[key]
            if holder(b.dst) != node:
                continue
            full = b.sent != (node, generation)
            if full or b.dirty:
                b.number += 1
                changes = dict(b.state) if full else {k: b.state.get(k) for k in sorted(b.dirty)}
                out.append([b.kind, b.src, b.epoch, b.dst, full, changes, b.number])
                b.sent = (node, generation)
                b.dirty.clear()
                self.fresh.discard(key)
        return out


class Inbox:
    """The newest boards received, kept whether or not the role they are meant for is held here yet."""

    def __init__(self) -> None:
        self.boards: dict[tuple[str, int, int], tuple[int, dict[str, Any]]] = {}
        self.numbers: dict[tuple[str, int, int], int] = {}

    def take(self, message: Message) -> bool:
        """False for a message of an epoch that is over, or older than what is known."""
        kind, src, epoch, dst, full, changes, number = message
        key = (kind, src, dst)
        old_epoch, state = self.boards.get(key, (0, {}))
        if epoch < old_epoch or (epoch > old_epoch and not full):
            return False
        last = self.numbers.get(key, 0) if epoch == old_epoch else 0
        if number <= last or (not full and number != last + 1):
            return False
        self.numbers[key] = number
        if full:
            state = {}
        for k, v in changes.items():
            if v is None:
                state.pop(k, None)
            else:
                state[k] = v
        self.boards[key] = (epoch, state)
        return True
