"""State channels: keyed state from one role to another, as a full sync and then deltas.

A channel belongs to a role held here (a kind and a shard, at an epoch) and is addressed to another
role, wherever that is held. What is sent is always the newest value of what changed. A new holder,
a new connection or a new epoch gets the full state; nothing else is sent again, nothing is queued,
and every message may arrive twice. `controller.routing` collects outgoing messages and accepts
incoming ones.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

Message = list[Any]  # as sent between controllers; of a state channel: the fields of StateUpdate
ChannelKey = tuple[str, int, int]  # kind, source shard, destination shard
AUTOSCALER_ENDPOINT = -1  # stands for the autoscaler where a shard is named


class StateUpdate(NamedTuple):
    """A channel's message; the order of the fields is that of the message's list."""

    kind: str
    source: int
    epoch: int
    destination: int
    is_full: bool  # `changes` is the full state; else what changed, with None for removed keys
    changes: dict[str, Any]
    # Counts a channel's messages: what an old connection delivers after a newer one has delivered
    # would otherwise bring back state that is over, and a refused permit would run
    sequence: int


def peer_message(kind: str, sender: int, value: Any, sequence: int = 0) -> Message:
    """Return a message between controllers that belongs to no channel, in the channels' form.

    `sender`: the controller's index. A release that does not know the kind takes it for the state
    of an endpoint that nobody holds.
    """
    return [kind, sender, 0, 0, True, value, sequence]


@dataclass(slots=True)
class StateChannel:
    """The state that one role sends to another."""

    kind: str
    source: int
    destination: int
    epoch: int
    state: dict[str, Any] = field(default_factory=dict)
    changed_keys: set[str] = field(default_factory=set)
    sent_to: tuple[str, int] | None = None  # controller, and the connection's generation
    sequence: int = 0
    # Shared by all channels of an OutboundChannels: those with something to be sent
    pending_channels: set[ChannelKey] = field(default_factory=set)

    def put(self, key: str, value: Any) -> None:
        """Set one key, or remove it (None)."""
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
        """Set or remove (None) some keys."""
        for key, value in changes.items():
            self.put(key, value)

    def replace(self, state: dict[str, Any]) -> None:
        """Set all keys; those that are not given are removed."""
        self.update({key: None for key in self.state if key not in state})
        self.update(state)

    def next_update(self, controller: str, generation: int) -> StateUpdate | None:
        """Return what has to be sent on a controller's connection now; None: nothing."""
        is_full = self.sent_to != (controller, generation)
        if not is_full and not self.changed_keys:
            return None
        self.sequence += 1
        if is_full:
            changes = dict(self.state)
        else:
            changes = {key: self.state.get(key) for key in sorted(self.changed_keys)}
        self.sent_to = (controller, generation)
        self.changed_keys.clear()
        return StateUpdate(
            self.kind,
            self.source,
            self.epoch,
            self.destination,
            is_full,
            changes,
            self.sequence,
        )


class OutboundChannels:
    """All channels of the roles held here."""

    def __init__(self) -> None:
        self.channels: dict[ChannelKey, StateChannel] = {}
        self.pending: set[ChannelKey] = set()  # channels with something to be sent
        # Per controller: the generation and the routing that all its channels were sent under
        self.routes: dict[str, tuple[int, int | None]] = {}

    def channel(self, kind: str, source: int, destination: int, epoch: int) -> StateChannel:
        """Return a role's channel; a new epoch begins an empty one."""
        key = (kind, source, destination)
        channel = self.channels.get(key)
        if channel is None or channel.epoch != epoch:
            channel = self.channels[key] = StateChannel(
                kind, source, destination, epoch, pending_channels=self.pending
            )
            self.pending.add(key)
        return channel

    def drop(self, kinds: tuple[str, ...], source: int) -> None:
        """Remove the channels of a role that is not held here any more."""
        for key in [key for key in self.channels if key[0] in kinds and key[1] == source]:
            del self.channels[key]
            self.pending.discard(key)

    def collect(
        self,
        controller: str,
        generation: int,
        holder: Callable[[int], str | None],
        routing: int | None = None,
    ) -> list[Message]:
        """Return the messages that have to go to a controller now, and count them as sent.

        `generation` numbers the connections to it, `holder` names the controller that holds a
        destination. `routing` changes whenever `holder` may answer otherwise than before: only
        then, and on a new connection, are all channels looked at, else those with something to be
        sent. None: all channels, always.
        """
        route = (generation, routing)
        route_unchanged = routing is not None and self.routes.get(controller) == route
        self.routes[controller] = route
        # Sorted, since a set's order differs from process to process: runs would not be repeatable
        keys = sorted(self.pending) if route_unchanged else list(self.channels)
        messages: list[Message] = []
        for key in keys:
            channel = self.channels[key]
            if holder(channel.destination) != controller:
                continue
            update = channel.next_update(controller, generation)
            if update is not None:
                messages.append(list(update))
                self.pending.discard(key)
        return messages


class InboundChannels:
    """The newest state received, whether or not the role it is meant for is held here yet."""

    def __init__(self) -> None:
        self.channels: dict[ChannelKey, tuple[int, dict[str, Any]]] = {}  # epoch, state
        self.sequences: dict[ChannelKey, int] = {}

    def accept(self, message: Message) -> bool:
        """Apply a channel's message; return False for one that is not to be applied.

        That is one of an earlier epoch, one that is no newer than what is known, and a delta whose
        predecessor has not come. Raises ValueError for a message with other than seven fields.
        """
        kind, source, epoch, destination, is_full, changes, sequence = message
        key = (kind, source, destination)
        known_epoch, state = self.channels.get(key, (0, {}))
        if epoch < known_epoch or (epoch > known_epoch and not is_full):
            return False
        last_sequence = self.sequences.get(key, 0) if epoch == known_epoch else 0
        if sequence <= last_sequence or (not is_full and sequence != last_sequence + 1):
            return False
        self.sequences[key] = sequence
        if is_full:
            state = {}
        for entry_key, value in changes.items():
            if value is None:
                state.pop(entry_key, None)
            else:
                state[entry_key] = value
        self.channels[key] = (epoch, state)
        return True
