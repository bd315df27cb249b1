"""The key-value store in memory, with versions, compare-and-swap and a log of changes."""

from __future__ import annotations

from typing import Any

from ploverhall.protocol.key_value_store import WatchEvent
from ploverhall.storage.schema import WATCHED_PREFIX

ALLOCATION_PREFIX = "c/"
MAX_COMPARES_PER_WRITE = 4


class ModelStore:
    """Keys with values and versions.

    Each executed transaction increases the revision by one.
    """

    def __init__(self) -> None:
        self.rev = 1
        self.kv: dict[str, tuple[Any, int]] = {}  # value and version by key
        self.log: list[WatchEvent] = []

    def txn(
        self, guards: dict[str, int], puts: dict[str, Any], deletes: list[str], limit: int = 48
    ) -> tuple[int, list[str]]:
        """Execute a compare-and-swap: write if each guarded key has its version (0: absent).

        Returns:
            The new revision and an empty list, or 0 and the keys whose comparison failed.

        Raises:
            AssertionError: more than `limit` operations, or more than four times as many guards.
        """
        assert (
            len(puts) + len(deletes) <= limit and len(guards) <= MAX_COMPARES_PER_WRITE * limit
        ), "transaction has too many operations or guards"
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
        """Return the changes after a revision, of the keys that controllers watch."""
        changes = []
        for event in reversed(self.log):
            if event.version <= rev:
                break
            if event.key.startswith(WATCHED_PREFIX):
                changes.append(event)
        return changes[::-1]

    def permits(self) -> dict[str, Any]:
        """Return the record chunks that list an allocation, by key."""
        return {
            key: value
            for key, (value, _) in self.kv.items()
            if key.startswith(ALLOCATION_PREFIX) and value
        }

    def read(self, prefix: str) -> dict[str, tuple[Any, int]]:
        """Return values and versions of all keys with a prefix, sorted by key."""
        return {key: kept for key, kept in sorted(self.kv.items()) if key.startswith(prefix)}
