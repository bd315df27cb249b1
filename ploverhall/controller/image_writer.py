"""Saves in the key-value store which container images each machine of a held shard has cached.

The next owner of the shard restores this image index, so that it can place tasks on machines that
have their images. `controller` runs one `ImageWriter.run` per held shard. The records are hints:
losing or delaying them does no harm.
"""

from __future__ import annotations

import anyio

from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.store_reader import StoreReader
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.scheduling.pending_write import MAX_TRANSACTION_BYTES
from ploverhall.storage import image_index
from ploverhall.storage.image_index import PackedRecord
from ploverhall.storage.schema import image_prefix, shard_key

IMAGE_WRITE_INTERVAL_S = 4.0
MAX_DELETES_PER_WRITE = 2  # stale image records deleted with one batch


class ImageWriter:
    """Restores and saves the image indexes of held shards."""

    def __init__(self, context: ControllerContext, reader: StoreReader) -> None:
        self.context = context
        self.reader = reader

    async def run(self, held: HeldShard) -> None:
        """Restore the shard's image index, then save its changes until the shard is released."""
        with held.image_scope:
            stored_keys = await self._restore(held)
            while not held.released:
                await anyio.sleep(IMAGE_WRITE_INTERVAL_S)
                if self._write_due(held):
                    stored_keys = await self._save(held, stored_keys)

    async def _restore(self, held: HeldShard) -> set[str]:
        """Load the image index that the previous owner saved; return the keys of its records."""
        found = await self.reader.list_prefix(image_prefix(held.shard))
        values = [value for value, _ in found.values()]
        held.owner.inventory.restore_images(image_index.unpack(values))
        return set(found)

    def _write_due(self, held: HeldShard) -> bool:
        """Return whether images have changed and at least half of the write allowance is unused."""
        writes = self.context.store.writes
        return held.owner.inventory.images_changed and writes.delay(writes.burst / 2) <= 0

    async def _save(self, held: HeldShard, stored_keys: set[str]) -> set[str]:
        """Write the whole index; return the keys of the records that exist afterwards.

        The records may not fit into one transaction. As they are hints, they may be committed in
        several.
        """
        inventory = held.owner.inventory
        settings = self.context.settings
        inventory.images_changed = False
        records = self._records(held)
        for puts in image_index.batches(
            records, settings.max_transaction_ops // 2, MAX_TRANSACTION_BYTES
        ):
            stale_keys = sorted(stored_keys - records.keys())[:MAX_DELETES_PER_WRITE]
            try:
                _, failed = await self.context.store.compare_and_swap(
                    {shard_key(held.shard): held.epoch}, puts, stale_keys
                )
            except (RequestRefusedError, OutcomeUnknownError):
                inventory.images_changed = True
                break
            if not failed:
                stored_keys = (stored_keys | puts.keys()) - set(stale_keys)
        return stored_keys

    def _records(self, held: HeldShard) -> dict[str, PackedRecord]:
        """Return the shard's image index as store records, by key."""
        machines = held.owner.inventory.machines.values()
        values = image_index.pack(
            {machine.name: machine.images for machine in machines},
            self.context.settings.max_value_bytes,
        )
        prefix = image_prefix(held.shard)
        return {f"{prefix}{index}": value for index, value in enumerate(values)}
