"""Reads the key-value store, and retries each read until the store answers.

`allocation_writer` and `image_writer` use it to load the records of a newly acquired shard.
"""

from __future__ import annotations

from typing import Any

import anyio

from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.protocol.key_value_store import KeyValueStore

READ_RETRY_INTERVAL_S = 0.2


class StoreReader:
    """Retries reads until the store answers; the caller limits them with a cancel scope."""

    def __init__(self, store: KeyValueStore) -> None:
        self.store = store

    async def list_prefix(self, prefix: str) -> dict[str, tuple[Any, int]]:
        """Return the value and version of every key that begins with `prefix`, by key."""
        while True:
            try:
                return (await self.store.list_prefix(prefix))[0]
            except (RequestRefusedError, OutcomeUnknownError):
                await anyio.sleep(READ_RETRY_INTERVAL_S)

    async def read_key(self, key: str) -> tuple[Any, int]:
        """Return the value and version of one key; `(None, 0)` if the key doesn't exist."""
        while True:
            try:
                return await self.store.get(key)
            except (RequestRefusedError, OutcomeUnknownError):
                await anyio.sleep(READ_RETRY_INTERVAL_S)
