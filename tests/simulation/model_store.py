"""The key-value store in memory, with versions, compare-and-swap and a log of changes."""

from __future__ import annotations

from typing import Any

from ploverhall.protocol.key_value_store import WatchEvent
from ploverhall.storage.schema import WATCHED_PREFIX

ALLOCATION_PREFIX = "c/"
MAX_COMPARES_PER_WRITE = 4


class ModelStore:
    """Keys with values and versions.

    The revision rises by one with each transaction that is carried out.
    """

    def __init__(self) -> None:
        self.rev = 1
        self.kv: dict[str, tuple[Any, int]] = {}  # value and version by key
        self.log: list[WatchEvent] = []

    def txn(
        self, guards: dict[str, int], puts: dict[str, Any], deletes: list[str], limit: int = 48
    ) -> tuple[int, list[str]]:
        """Compare-and-swap: write all if each guarded key has its version (0: is absent).

        Returns the new revision and no keys; or 0 and the keys whose comparison failed. Raises
        AssertionError over `limit` operations.
        """
        assert (
            len(puts) + len(deletes) <= limit and len(guards) <= MAX_COMPARES_PER_WRITE * limit
        ), "over the limits of a transaction"
        failed = [
            key for key, version in guards.items() if self.kv.get(key, (None, 0))[1] != version
        ]
        if failed:
            return 0, failed
        self.rev += 1
        for key, value in puts.items():
            self.kv[key] = (value, self.rev)
            self.log.append(WatchEvent(key, value, self.rev))
        for key in deletes:
            if self.kv.pop(key, None) is not None:
                self.log.append(WatchEvent(key, None, self.rev))
        return self.rev, []

    def since(self, rev: int) -> list[WatchEvent]:
        """What was changed after a revision, as the controllers watch it."""
        changes = []
        for event in reversed(self.log):
            if event.version <= rev:
                break
            if event.key.startswith(WATCHED_PREFIX):
                changes.append(event)
        return changes[::-1]

    def permits(self) -> dict[str, Any]:
        """The record chunks that list an allocation, by key."""
        return {
            key: value
            for key, (value, _) in self.kv.items()
            if key.startswith(ALLOCATION_PREFIX) and value
        }

    def read(self, prefix: str) -> dict[str, tuple[Any, int]]:
        """Values and versions of all keys that begin so, in the order of the keys."""
        return {key: kept for key, kept in sorted(self.kv.items()) if key.startswith(prefix)}
