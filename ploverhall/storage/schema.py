"""Keys and record forms in the key-value store.

Everything under `WATCHED_PREFIX` is followed by watch and cached by every controller
(`store_cache.StoreCache`). Allocations, progress, grants and images lie outside it: only the holder
of a shard reads those of its teams and machines. Descriptions of jobs and machine types are decoded
in `protocol.jobs` and `protocol.cloud`, maintenance orders in `maintenance.orders`.
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
ARCHIVE_MARKER_KEY = "p/archived"  # present once there is anything under ARCHIVE_PREFIX
ARCHIVE_PREFIX = "e/"  # jobs that ended long ago: not watched, read when a user asks for one

# Fields of stored records
FIELD_OUTCOME = "s"
FIELD_TASKS_DONE = "n"
FIELD_HOLDER = "node"
FIELD_LEASE = "lease"
FIELD_ZONE = "zone"
FIELD_FEATURES = "can"
FIELD_REVISION_READ = "seen"
FIELD_MACHINE_TYPE_COUNT = "n"

MAX_KEY_PART_LENGTH = 120
KEPT_KEY_PART_LENGTH = 100  # of a longer part; its length and a checksum stand for the rest


def job_key(job_id: str) -> str:
    """Return the key of a job's description, later of its end."""
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
    """Return the key of the eviction grants that a team's source has given."""
    return f"u/{_escape_key_part(team)}"


def image_prefix(shard: int) -> str:
    """Return the prefix of a shard's image index, whose values can be decoded one by one."""
    return f"i/{shard}/"


def _escape_key_part(name: str) -> str:
    """Return a name as part of a key, injectively: keys hold no spaces, and 200 bytes at most."""
    escaped = "".join(
        char if char.isalnum() and char.isascii() or char in "-_." else f"%{ord(char):x},"
        for char in name
    )
    if len(escaped) <= MAX_KEY_PART_LENGTH:
        return escaped
    checksum = sum(position * ord(char) for position, char in enumerate(escaped, start=1))
    return f"{escaped[:KEPT_KEY_PART_LENGTH]}~{len(escaped)}~{checksum:x}"


class EndedJob(NamedTuple):
    """How a job ended (`jobs.DONE` or `jobs.CANCELLED`), its completed tasks, its key's version."""

    outcome: str
    tasks_done: int
    version: int


def end_record(outcome: str, tasks_done: int) -> dict[str, object]:
    """Return the stored form of a job's end.

    It replaces the job's description under the same key: one write, and no moment without either.
    """
    return {FIELD_OUTCOME: outcome, FIELD_TASKS_DONE: tasks_done}


def ended_from_record(value: dict[str, Any], version: int) -> EndedJob:
    """Decode what `end_record` encoded; the version is that of the key.

    Raises TypeError or ValueError when the number of completed tasks is not a number.
    """
    return EndedJob(
        jobs.DONE if value.get(FIELD_OUTCOME) == jobs.DONE else jobs.CANCELLED,
        int(value.get(FIELD_TASKS_DONE) or 0),
        version,
    )


class Holder(NamedTuple):
    """Who holds a shard or the autoscaler role (None: nobody), and the epoch: the key's version."""

    controller: str | None
    epoch: int


def holder_from_record(value: dict[str, Any] | None, version: int) -> Holder:
    """Decode the value of a shard's or the autoscaler's key; None stands for no such key.

    Raises KeyError when the record names no holder.
    """
    if not value:
        return Holder(None, 0)
    return Holder(value[FIELD_HOLDER], version)


def autoscaler_record(controller: str) -> dict[str, object]:
    """Return the value of the autoscaler's key when this controller holds the role."""
    return {FIELD_HOLDER: controller}


def shard_record(controller: str, lease_id: int | None) -> dict[str, object]:
    """Return the value of a shard's key when a controller claims it with its lease."""
    return {FIELD_HOLDER: controller, FIELD_LEASE: lease_id}


def claimed_with_lease(value: dict[str, object], lease_id: int | None) -> bool:
    """Return whether a shard's record, made by `shard_record`, names this lease."""
    return value.get(FIELD_LEASE) == lease_id


class ControllerRecord(NamedTuple):
    """What a controller's membership key says of it."""

    zone: str
    features: list[str]  # what its release can do that an older one can't
    revision_read: int  # up to this revision it has read the store


def controller_record(record: ControllerRecord) -> dict[str, object]:
    """Return the stored form of a controller's membership key."""
    return {
        FIELD_ZONE: record.zone,
        FIELD_FEATURES: record.features,
        FIELD_REVISION_READ: record.revision_read,
    }


def controller_from_record(value: Any) -> ControllerRecord | None:
    """Decode a membership key; None if there is none, or its value is of another form.

    Fields that are missing or malformed, as in other releases, are empty and 0.
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
    """Return the record that states how many machine types are stored."""
    return {FIELD_MACHINE_TYPE_COUNT: count}


def machine_type_count(value: dict[str, Any]) -> int:
    """Decode how many machine types are stored under `MACHINE_TYPE_PREFIX` once all are written.

    Raises KeyError when the record states no count.
    """
    count: int = value[FIELD_MACHINE_TYPE_COUNT]
    return count
