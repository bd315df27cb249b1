"""Synchronize keyed state from one role to another: the full state first, deltas afterwards.

A channel belongs to a role that this controller holds (a kind and a shard, at an epoch) and is
addressed to another role, whichever controller holds that. A message holds the newest values of the
keys that changed. A new holder, a new connection or a new epoch gets the full state; apart from
that, nothing is sent again and nothing is queued. Every message may arrive twice.
`controller.routing` collects outgoing messages and accepts incoming ones.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

Message = list[Any]  # sent between controllers; for a state channel, the fields of StateUpdate
ChannelKey = tuple[str, int, int]  # kind, source shard, destination shard
AUTOSCALER_ENDPOINT = -1  # stands for the autoscaler in place of a shard


class StateUpdate(NamedTuple):
    """A channel's message, with its fields in the order of the list that is sent."""

    kind: str
    source: int
    epoch: int
    destination: int
    is_full: bool  # `changes` is the full state, else only changed keys (None: removed)
    changes: dict[str, Any]
    # Number of the message in its channel. Without it, a late message of an old connection would
    # restore outdated state, and a refused permit would run
    sequence: int


def peer_message(kind: str, sender: int, value: Any, sequence: int = 0) -> Message:
    """Return a message that belongs to no channel, in the format of the channels' messages.

    `sender` is the index of the sending controller. A release that does not know the kind treats
    the message as state of an endpoint that nobody holds.
    """
    return [kind, sender, 0, 0, True, value, sequence]


@dataclass(slots=True)
class StateChannel:
    """The state that one role sends to another, and which of its keys have yet to be sent."""

    kind: str
    source: int
    destination: int
    epoch: int
    state: dict[str, Any] = field(default_factory=dict)
    changed_keys: set[str] = field(default_factory=set)
    sent_to: tuple[str, int] | None = None  # controller, and generation of the connection
    sequence: int = 0
    # The channels with changes to send; one set is shared by all channels of an OutboundChannels
    pending_channels: set[ChannelKey] = field(default_factory=set)

    def put(self, key: str, value: Any) -> None:
        """Set one key, or remove it if the value is None."""
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
        """Set some keys, and remove those whose value is None."""
        for key, value in changes.items():
            self.put(key, value)

    def replace(self, state: dict[str, Any]) -> None:
        """Replace the whole state; keys that are not in `state` are removed."""
        self.update({key: None for key in self.state if key not in state})
        self.update(state)

    def next_update(self, controller: str, generation: int) -> StateUpdate | None:
        """Return the update to send on a controller's connection now; None if nothing is new."""
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
    """All channels of the roles that this controller holds."""

    def __init__(self) -> None:
        self.channels: dict[ChannelKey, StateChannel] = {}
        self.pending: set[ChannelKey] = set()  # channels with changes to send
        # By controller: generation and routing with which its channels were last collected
        self.routes: dict[str, tuple[int, int | None]] = {}

    def channel(self, kind: str, source: int, destination: int, epoch: int) -> StateChannel:
        """Return a role's channel; create an empty one if there is none at this epoch."""
        key = (kind, source, destination)
        channel = self.channels.get(key)
        if channel is None or channel.epoch != epoch:
            channel = self.channels[key] = StateChannel(
                kind, source, destination, epoch, pending_channels=self.pending
            )
            self.pending.add(key)
        return channel

    def drop(self, kinds: tuple[str, ...], source: int) -> None:
        """Remove the channels of a role that this controller no longer holds."""
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
        """Return the messages to send to a controller now, and mark them as sent.

        `generation` numbers the connections to the controller, and `holder` returns the name of the
        controller that holds a destination. `routing` changes whenever the results of `holder` may
        have changed. All channels are checked only after such a change and on a new connection;
        otherwise only channels with changes to send are. If `routing` is None, all channels are
        always checked.
        """
        route = (generation, routing)
        route_unchanged = routing is not None and self.routes.get(controller) == route
        self.routes[controller] = route
        # Sorted, since a set's order differs between processes and runs would not be reproducible
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
    """The newest state received, also for roles that this controller does not hold yet."""

    def __init__(self) -> None:
        self.channels: dict[ChannelKey, tuple[int, dict[str, Any]]] = {}  # epoch, state
        self.sequences: dict[ChannelKey, int] = {}

    def accept(self, message: Message) -> bool:
        """Apply a channel's message; return False if it must not be applied.

        That is a message of an earlier epoch, one that is not newer than the last one applied, or a
        delta whose predecessor has not arrived. Raises ValueError if the message does not have
        seven fields.
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
