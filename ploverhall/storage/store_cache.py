"""Cache a controller's view of the watched keys: jobs, holders, members and machine types.

`controller.store_watch` fills the cache from listings and watch responses and knows whether it is
current; every other part of a controller reads it. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ploverhall.protocol import cloud, jobs
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.key_value_store import WatchEvent
from ploverhall.storage import schema
from ploverhall.storage.schema import EndedJob, Holder

NO_ENTRY: tuple[Any, int] = (None, 0)


@dataclass(slots=True)
class StoreCache:
    """The watched keys as of `revision`; each change is applied once, whichever watch sends it."""

    revision: int = 0
    ready: bool = False  # a whole listing has been loaded, and watches may follow it
    # Jobs and the versions of their keys, by job id
    live_jobs: dict[str, tuple[jobs.Job, int]] = field(default_factory=dict)
    ended_jobs: dict[str, EndedJob] = field(default_factory=dict)  # oldest first
    # Values and versions of all other watched keys
    entries: dict[str, tuple[Any, int]] = field(default_factory=dict)
    # Ids of jobs with changes that the controller has not processed; the reader clears the list
    changed_jobs: list[str] = field(default_factory=list)
    # Ids of accepted jobs whose record this release can't decode
    unreadable_jobs: set[str] = field(default_factory=set)
    # Deleted membership keys, with the revision of the deletion
    departed_controllers: dict[str, int] = field(default_factory=dict)
    # Revision of the last listing; deletions before it are unknown if the key was written again
    loaded_revision: int = 0

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a job has ended by a cancellation, as far as the cache knows."""
        ended = self.ended_jobs.get(job_id)
        return ended is not None and ended.outcome == jobs.CANCELLED

    def load(self, listing: dict[str, tuple[Any, int]], revision: int) -> None:
        """Replace the content by a listing (value and version by key), but keep newer changes.

        `revision` is the revision of the listing's first page.
        """
        for key, version in self._known_versions().items():
            if key not in listing and version <= revision:
                self._apply_change(key, None, revision)
        for key, (value, version) in listing.items():
            self._apply_change(key, value, version)
        self.revision = self.loaded_revision = revision
        self.departed_controllers.clear()

    def _known_versions(self) -> dict[str, int]:
        """Return the versions of all cached keys; 0 for the keys of unreadable jobs."""
        versions = {
            schema.job_key(job_id): version for job_id, (_, version) in self.live_jobs.items()
        }
        for job_id, ended in self.ended_jobs.items():
            versions[schema.job_key(job_id)] = ended.version
        for job_id in self.unreadable_jobs:
            versions[schema.job_key(job_id)] = 0
        for key, (_, version) in self.entries.items():
            versions[key] = version
        return versions

    def apply(self, revision: int, events: list[WatchEvent]) -> bool:
        """Apply a watch response, complete up to `revision`; return whether it held new changes."""
        changed = False
        for event in events:
            # Two watches run at once and may send the same change. Without this check, an old put
            # would restore a key that a later delete has removed
            if event.version > self.revision:
                self._apply_change(event.key, event.value, event.version)
                changed = True
        self.revision = max(self.revision, revision)
        return changed

    def apply_own_write(self, key: str, value: Any, revision: int) -> None:
        """Apply a successful write of this controller, unless the watch has already passed it."""
        if revision > self.revision:
            self._apply_change(key, value, revision)

    def _apply_change(self, key: str, value: Any, version: int) -> None:
        """Apply a change of any watched key; a value of None means that it was deleted."""
        if key.startswith(schema.JOB_PREFIX):
            job_id = key[len(schema.JOB_PREFIX) :]
            self.unreadable_jobs.discard(job_id)
            if self._apply_job_change(job_id, value, version):
                self.changed_jobs.append(job_id)
        else:
            self._apply_entry_change(key, value, version)

    def _apply_job_change(self, job_id: str, value: Any, version: int) -> bool:
        """Apply a change of a job's key; return whether the cached state of the job changed."""
        if value is None:  # archived after its end
            self.ended_jobs.pop(job_id, None)
            return self.live_jobs.pop(job_id, None) is not None
        if isinstance(value, dict):
            self.ended_jobs[job_id] = schema.ended_from_record(value, version)
            self.live_jobs.pop(job_id, None)
            return True
        if job_id in self.ended_jobs:
            # The end was this controller's own write; the watch now sends an older change
            return False
        if job_id in self.live_jobs and self.live_jobs[job_id][1] == version:
            return False
        try:
            self.live_jobs[job_id] = (jobs.from_record(value), version)
        except (TypeError, ValueError, IndexError, KeyError):
            # An error raised here would stop the watch of all other jobs. The job stays known, but
            # this controller does not run it
            self.live_jobs.pop(job_id, None)
            self.unreadable_jobs.add(job_id)
        return True

    def _apply_entry_change(self, key: str, value: Any, version: int) -> None:
        """Apply a change of a key that is not a job's, unless a newer one is cached."""
        if self.entries.get(key, NO_ENTRY)[1] > version:
            return
        if value is not None:
            self.entries[key] = (value, version)
            return
        self.entries.pop(key, None)
        if key.startswith(schema.CONTROLLER_PREFIX):
            self.departed_controllers[key] = version

    def holder(self, shard: int) -> Holder:
        """Return the holder of a shard and its epoch; (None, 0) if nobody holds it."""
        return schema.holder_from_record(*self.entries.get(schema.shard_key(shard), NO_ENTRY))

    def autoscaler(self) -> Holder:
        """Return the holder of the autoscaler role and its epoch; (None, 0) if nobody holds it."""
        return schema.holder_from_record(*self.entries.get(schema.AUTOSCALER_KEY, NO_ENTRY))

    def machine_types(self) -> dict[str, MachineType] | None:
        """Return the machine types by name; None until all of them are stored."""
        marker = self.entries.get(schema.MACHINE_TYPE_COUNT_KEY)
        if marker is None:
            return None
        stored_types = [
            cloud.type_from_record(value)
            for key, (value, _) in self.entries.items()
            if key.startswith(schema.MACHINE_TYPE_PREFIX)
        ]
        if len(stored_types) < schema.machine_type_count(marker[0]):
            return None
        return {machine_type.name: machine_type for machine_type in stored_types}

    def controller_entry(self, controller: str) -> tuple[Any, int]:
        """Return the value of a controller's membership key, and 0.

        If there is no such key, returns None and the revision since which it has certainly been
        absent.
        """
        key = schema.controller_key(controller)
        value, _ = self.entries.get(key, NO_ENTRY)
        if value is not None:
            return value, 0
        return None, self.departed_controllers.get(key, self.loaded_revision)

    def holds_lease(self, controller: str) -> bool:
        """Return whether a controller's membership key exists; its lease keeps the key alive."""
        return schema.controller_key(controller) in self.entries
