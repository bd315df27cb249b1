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
AUTOSCALER_ENDPOINT = -1  # stands for the renter where a shard is named


@dataclass(slots=True)
class StateChannel:
    """What one role tells another."""

    kind: str
    source: int
    destination: int
    epoch: int
    state: dict[str, Any] = field(default_factory=dict)
    changed_keys: set[str] = field(default_factory=set)
    sent_to: tuple[str, int] | None = None
    sequence: int = 0
    # Shared by all boards of an outbox: those with something new
    pending_channels: set[tuple[str, int, int]] = field(default_factory=set)

    def put(self, key: str, value: Any) -> None:
        """Set or remove (None) one key."""
        if self.state.get(key) == value:
            return
        if not self.changed_keys:
            self.pending_channels.add((self.kind, self.source, self.destination))
        if value is None:
            self.state.pop(key, None)
        else:
            self.state[key] = value
        self.changed_keys.add(key)

    def update(self, changes: dict[str, Any]) -> None:
        """Set some keys."""
        for key, value in changes.items():
            self.put(key, value)

    def replace(self, state: dict[str, Any]) -> None:
        """Set all keys."""
        self.update({key: None for key in self.state if key not in state})
        self.update(state)


class OutboundChannels:
    """All boards of the roles held here."""

    def __init__(self) -> None:
        self.channels: dict[tuple[str, int, int], StateChannel] = {}
        # Boards with something that has not been sent
        self.pending: set[tuple[str, int, int]] = set()
        # Per node: the generation and the routing that all its boards were sent under
        self.routes: dict[str, tuple[int, int | None]] = {}

    def channel(self, kind: str, source: int, destination: int, epoch: int) -> StateChannel:
        """The board of a role; a new epoch starts it anew."""
        key = (kind, source, destination)
        channel = self.channels.get(key)
        if channel is None or channel.epoch != epoch:
            channel = self.channels[key] = StateChannel(
                kind, source, destination, epoch, pending_channels=self.pending
            )
            self.pending.add(key)
        return channel

    def drop(self, kinds: tuple[str, ...], source: int) -> None:
        """A role is not held here any more."""
        for key in [k for k in self.channels if k[0] in kinds and k[1] == source]:
            del self.channels[key]
            self.pending.discard(key)

    def collect(
        self,
        controller: str,
        generation: int,
        holder: Callable[[int], str | None],
        routing: int | None = None,
    ) -> list[Message]:
        """What has to go to a node now.

        `routing` changes whenever `holder` may answer otherwise than before: only then, and on a new connection, is
        every board looked at; else only those with something new. None: every board, always.
        """
        out: list[Message] = []
        same = routing is not None and self.routes.get(controller) == (generation, routing)
        self.routes[controller] = (generation, routing)
        # sorted: a set's order differs from process to process, and with it who hears what first, and every draw after that
        for key in sorted(self.pending) if same else list(self.channels):
            channel = self.channels[key]
            if holder(channel.destination) != controller:
                continue
            full = channel.sent_to != (controller, generation)
            if full or channel.changed_keys:
                channel.sequence += 1
                changes = (
                    dict(channel.state)
                    if full
                    else {
                        entry_key: channel.state.get(entry_key)
                        for entry_key in sorted(channel.changed_keys)
                    }
                )
                out.append(
                    [
                        channel.kind,
                        channel.source,
                        channel.epoch,
                        channel.destination,
                        full,
                        changes,
                        channel.sequence,
                    ]
                )
                channel.sent_to = (controller, generation)
                channel.changed_keys.clear()
                self.pending.discard(key)
        return out


class InboundChannels:
    """The newest boards received, kept whether or not the role they are meant for is held here yet."""

    def __init__(self) -> None:
        self.channels: dict[tuple[str, int, int], tuple[int, dict[str, Any]]] = {}
        self.sequences: dict[tuple[str, int, int], int] = {}

    def accept(self, message: Message) -> bool:
        """False for a message of an epoch that is over, or older than what is known."""
        kind, source, epoch, destination, full, changes, sequence = message
        key = (kind, source, destination)
        old_epoch, state = self.channels.get(key, (0, {}))
        if epoch < old_epoch or (epoch > old_epoch and not full):
            return False
        last_sequence = self.sequences.get(key, 0) if epoch == old_epoch else 0
        if sequence <= last_sequence or (not full and sequence != last_sequence + 1):
            return False
        self.sequences[key] = sequence
        if full:
            state = {}
        for k, value in changes.items():
            if value is None:
                state.pop(k, None)
            else:
                state[k] = value
        self.channels[key] = (epoch, state)
        return True
