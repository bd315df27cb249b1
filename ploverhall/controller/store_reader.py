"""Reads of the key-value store that have to succeed: they are repeated until there is an answer.

`allocation_writer` and `image_writer` load a newly acquired shard's records through it.
"""

from __future__ import annotations

from typing import Any

import anyio

from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.protocol.key_value_store import KeyValueStore

READ_RETRY_INTERVAL_S = 0.2


class StoreReader:
    """Repeats a read until the store answers; the caller bounds it with a cancel scope."""

    def __init__(self, store: KeyValueStore) -> None:
        self.store = store

    async def list_prefix(self, prefix: str) -> dict[str, tuple[Any, int]]:
        """Return value and version of every key that begins with `prefix`."""
        while True:
            try:
                return (await self.store.list_prefix(prefix))[0]
            except (RequestRefusedError, OutcomeUnknownError):
                await anyio.sleep(READ_RETRY_INTERVAL_S)

    async def read_key(self, key: str) -> tuple[Any, int]:
        """Return value and version of one key: `(None, 0)` where there is none."""
        while True:
            try:
                return await self.store.get(key)
            except (RequestRefusedError, OutcomeUnknownError):
                await anyio.sleep(READ_RETRY_INTERVAL_S)
