"""Define the keys and record forms of the key-value store.

Every controller watches and caches all keys under `WATCHED_PREFIX` (`store_cache.StoreCache`).
Allocations, progress, grants and images have other prefixes: only the holder of a shard reads those
of its teams and machines. `protocol.jobs` and `protocol.cloud` decode descriptions of jobs and
machine types, `maintenance.orders` decodes maintenance orders.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ploverhall.protocol import jobs

WATCHED_PREFIX = "p/"
JOB_PREFIX = "p/job/"
SHARD_PREFIX = "p/shard/"
CONTROLLER_PREFIX = "p/node/"
AUTOSCALER_KEY = "p/renter"
MACHINE_TYPE_COUNT_KEY = "p/types"
MACHINE_TYPE_PREFIX = "p/type/"
ARCHIVE_MARKER_KEY = "p/archived"  # exists once there are keys under ARCHIVE_PREFIX
ARCHIVE_PREFIX = "e/"  # jobs that ended long ago; not watched, read on request

# Field names of stored records
FIELD_OUTCOME = "s"
FIELD_TASKS_DONE = "n"
FIELD_HOLDER = "node"
FIELD_LEASE = "lease"
FIELD_ZONE = "zone"
FIELD_FEATURES = "can"
FIELD_REVISION_READ = "seen"
FIELD_MACHINE_TYPE_COUNT = "n"

MAX_KEY_PART_LENGTH = 120
TRUNCATED_KEY_PART_LENGTH = 100  # longer parts are cut to it; length and checksum are appended


def job_key(job_id: str) -> str:
    """Return the key of a job's description, which the record of its end replaces later."""
    return JOB_PREFIX + job_id


def shard_key(shard: int) -> str:
    """Return the key that names a shard's holder; its version is the shard's epoch."""
    return f"{SHARD_PREFIX}{shard}"


def controller_key(controller: str) -> str:
    """Return a controller's membership key, which exists while its lease is alive."""
    return CONTROLLER_PREFIX + controller


def allocation_prefix(team: str) -> str:
    """Return the prefix of the record chunks that list a team's allocations."""
    return f"c/{_escape_key_part(team)}/"


def progress_prefix(team: str) -> str:
    """Return the prefix of the chunks that list the finished tasks of a team's live job arrays."""
    return f"d/{_escape_key_part(team)}/"


def grants_key(team: str) -> str:
    """Return the key of the eviction grants that the source of a team's jobs has issued."""
    return f"u/{_escape_key_part(team)}"


def image_prefix(shard: int) -> str:
    """Return the prefix of a shard's image index, whose values can be decoded one by one."""
    return f"i/{shard}/"


def _escape_key_part(name: str) -> str:
    """Return a name escaped for use in a key, with a different result for every name.

    Keys hold no spaces and at most 200 bytes.
    """
    escaped = "".join(
        char if char.isalnum() and char.isascii() or char in "-_." else f"%{ord(char):x},"
        for char in name
    )
    if len(escaped) <= MAX_KEY_PART_LENGTH:
        return escaped
    checksum = sum(position * ord(char) for position, char in enumerate(escaped, start=1))
    return f"{escaped[:TRUNCATED_KEY_PART_LENGTH]}~{len(escaped)}~{checksum:x}"


class EndedJob(NamedTuple):
    """The end of a job: its outcome (`jobs.DONE` or `jobs.CANCELLED`) and its completed tasks."""

    outcome: str
    tasks_done: int
    version: int  # version of the job's key


def end_record(outcome: str, tasks_done: int) -> dict[str, object]:
    """Return the stored form of a job's end.

    It replaces the job's description under the same key: a single write, so that one of the two
    always exists.
    """
    return {FIELD_OUTCOME: outcome, FIELD_TASKS_DONE: tasks_done}


def ended_from_record(value: dict[str, Any], version: int) -> EndedJob:
    """Decode a record that `end_record` returned; `version` is the version of its key.

    Raises TypeError or ValueError if the number of completed tasks is not a number.
    """
    return EndedJob(
        jobs.DONE if value.get(FIELD_OUTCOME) == jobs.DONE else jobs.CANCELLED,
        int(value.get(FIELD_TASKS_DONE) or 0),
        version,
    )


class Holder(NamedTuple):
    """The holder of a shard or of the autoscaler role, None if there is none, and its epoch."""

    controller: str | None
    epoch: int  # version of the key


def holder_from_record(value: dict[str, Any] | None, version: int) -> Holder:
    """Decode the value of a shard's or the autoscaler's key; None means that the key is missing.

    Raises KeyError if the record names no holder.
    """
    if not value:
        return Holder(None, 0)
    return Holder(value[FIELD_HOLDER], version)


def autoscaler_record(controller: str) -> dict[str, object]:
    """Return the value of the autoscaler's key for a controller that holds the role."""
    return {FIELD_HOLDER: controller}


def shard_record(controller: str, lease_id: int | None) -> dict[str, object]:
    """Return the value of a shard's key for a controller that claims it with its lease."""
    return {FIELD_HOLDER: controller, FIELD_LEASE: lease_id}


def claimed_with_lease(value: dict[str, object], lease_id: int | None) -> bool:
    """Return whether a shard's record, made by `shard_record`, names this lease."""
    return value.get(FIELD_LEASE) == lease_id


class ControllerRecord(NamedTuple):
    """The contents of a controller's membership key."""

    zone: str
    features: list[str]  # features of its release that older releases lack
    revision_read: int  # revision up to which it has read the store


def controller_record(record: ControllerRecord) -> dict[str, object]:
    """Return the stored form of a controller's membership key."""
    return {
        FIELD_ZONE: record.zone,
        FIELD_FEATURES: record.features,
        FIELD_REVISION_READ: record.revision_read,
    }


def controller_from_record(value: Any) -> ControllerRecord | None:
    """Decode the value of a membership key; None if there is no key or its value is not an object.

    Fields that are missing or malformed, as in other releases, become empty or 0.
    """
    if not isinstance(value, dict):
        return None
    zone, features = value.get(FIELD_ZONE), value.get(FIELD_FEATURES)
    revision_read = value.get(FIELD_REVISION_READ)
    return ControllerRecord(
        zone if isinstance(zone, str) else "",
        features if isinstance(features, list) else [],
        revision_read if isinstance(revision_read, int) else 0,
    )


def machine_type_count_record(count: int) -> dict[str, int]:
    """Return the record of the number of stored machine types."""
    return {FIELD_MACHINE_TYPE_COUNT: count}


def machine_type_count(value: dict[str, Any]) -> int:
    """Return the number of keys under `MACHINE_TYPE_PREFIX` once all machine types are written.

    Raises KeyError if the record states no count.
    """
    count: int = value[FIELD_MACHINE_TYPE_COUNT]
    return count
