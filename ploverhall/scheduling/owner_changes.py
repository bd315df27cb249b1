"""Handles the offers and attempt states that shard owners send to a source.

`JobSource` passes in the changes that arrive on the owners' state channels. A large update, such as
the full sync after a takeover, is handled over several steps. No I/O.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ploverhall.protocol import peer_messages
from ploverhall.protocol.peer_messages import AttemptUpdate, OfferUpdate
from ploverhall.scheduling.allocations import AllocationStore
from ploverhall.scheduling.attempt_updates import AttemptUpdates
from ploverhall.scheduling.job_state import Offer
from ploverhall.scheduling.step_queue import StepQueue


class OwnerChange(NamedTuple):
    """A change on the state channel of a shard owner."""

    shard: int
    epoch: int
    key: str
    value: Any


class OwnerChanges:
    """Applies the changes of shard owners to the jobs of one source."""

    def __init__(self, store: AllocationStore, attempt_updates: AttemptUpdates) -> None:
        self.store = store
        self.attempt_updates = attempt_updates
        self.pending = StepQueue(self._apply)

    def update(
        self, shard: int, epoch: int, full: bool, changes: dict[str, Any], now: float
    ) -> None:
        """Apply changes of an owner's offers and attempts; a None value deletes the key.

        If `full`, offers that are not in `changes` are dropped. Of a large update only the first
        part is applied at once, and later updates wait their turn.
        """
        to_apply: list[OwnerChange] = []
        if full:
            to_apply.extend(
                OwnerChange(shard, epoch, peer_messages.offer_key(offer_id[1]), None)
                for offer_id in self.store.job_by_offer
                if offer_id[0] == shard and peer_messages.offer_key(offer_id[1]) not in changes
            )
        to_apply.extend(OwnerChange(shard, epoch, key, value) for key, value in changes.items())
        self.pending.add(to_apply, now)

    def _apply(self, change: OwnerChange, now: float) -> None:
        if change.key[0] == peer_messages.OFFER:
            self._update_offer(change)
        elif change.key[0] == peer_messages.ATTEMPT and change.value is not None:
            self._update_attempt(change, now)

    def _update_attempt(self, change: OwnerChange, now: float) -> None:
        """Apply the state of an attempt that still has an allocation with its owner."""
        attempt_id = peer_messages.attempt_id_of_key(change.key)
        job_state = self.store.jobs.get(attempt_id.job_id)
        allocation = job_state.allocations.get(attempt_id.task) if job_state is not None else None
        if (
            job_state is not None
            and allocation is not None
            and allocation.attempt == attempt_id.attempt
            and allocation.shard == change.shard
            and allocation.committed
            and change.epoch >= allocation.epoch
        ):
            update = AttemptUpdate(*change.value)
            self.attempt_updates.update(job_state, allocation, update, now)

    def _update_offer(self, change: OwnerChange) -> None:
        """Replace an offer, or drop it if its value is None."""
        shard, epoch = change.shard, change.epoch
        reservation_id = int(change.key[1:])
        self.store.drop_offer((shard, reservation_id))
        if change.value is None:
            return
        update = OfferUpdate(*change.value)
        job_state = self.store.jobs.get(update.job)
        if (
            job_state is None
            or job_state.job is None
            or (shard, epoch, reservation_id) in job_state.used_reservations
        ):
            return
        job_state.offers[shard, reservation_id] = Offer(
            shard,
            epoch,
            reservation_id,
            update.machine,
            update.zone,
            update.cost,
            update.victim_count,
        )
        self.store.job_by_offer[shard, reservation_id] = job_state.id
        self.store.jobs_to_decide.add(job_state.id)
