"""One controller's cached view of the watched keys: jobs, holders, members and machine types.

`controller.store_watch` fills it from listings and watch responses and says whether it is current;
every other part of a controller reads it. It does no I/O.
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
    """The watched keys as of `revision`; each change is applied once, whichever watch brings it."""

    revision: int = 0
    ready: bool = False  # whether a whole listing has been loaded and may be followed by watch
    live_jobs: dict[str, tuple[jobs.Job, int]] = field(default_factory=dict)  # with key versions
    ended_jobs: dict[str, EndedJob] = field(default_factory=dict)  # the oldest first
    # All other watched keys: value and version
    entries: dict[str, tuple[Any, int]] = field(default_factory=dict)
    # Jobs with a change that the controller has not looked at; the reader empties it
    changed_jobs: list[str] = field(default_factory=list)
    # Accepted jobs whose record this release can't decode
    unreadable_jobs: set[str] = field(default_factory=set)
    # Membership keys that are gone, with the revision of their deletion
    departed_controllers: dict[str, int] = field(default_factory=dict)
    # Of the last listing: a key that was deleted before it and written again was not noticed
    loaded_revision: int = 0

    def load(self, listing: dict[str, tuple[Any, int]], revision: int) -> None:
        """Replace the content by a listing (key to value and version); changes newer than it stay.

        `revision` is that of the listing's first page.
        """
        for key, version in self._known_versions().items():
            if key not in listing and version <= revision:
                self._apply_change(key, None, revision)
        for key, (value, version) in listing.items():
            self._apply_change(key, value, version)
        self.revision = self.loaded_revision = revision
        self.departed_controllers.clear()

    def _known_versions(self) -> dict[str, int]:
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
        """Apply a watch response, complete up to `revision`; return whether anything was new."""
        changed = False
        for event in events:
            # Two watches run at once and may bring the same change: without this check an old
            # put would bring back what a later delete has removed
            if event.version > self.revision:
                self._apply_change(event.key, event.value, event.version)
                changed = True
        self.revision = max(self.revision, revision)
        return changed

    def apply_own_write(self, key: str, value: Any, revision: int) -> None:
        """Apply a write of this controller that landed, unless the watch is past it already."""
        if revision > self.revision:
            self._apply_change(key, value, revision)

    def _apply_change(self, key: str, value: Any, version: int) -> None:
        if key.startswith(schema.JOB_PREFIX):
            job_id = key[len(schema.JOB_PREFIX) :]
            self.unreadable_jobs.discard(job_id)
            if self._apply_job_change(job_id, value, version):
                self.changed_jobs.append(job_id)
        else:
            self._apply_entry_change(key, value, version)

    def _apply_job_change(self, job_id: str, value: Any, version: int) -> bool:
        """Return whether the job is now known differently."""
        if value is None:  # archived after its end
            self.ended_jobs.pop(job_id, None)
            return self.live_jobs.pop(job_id, None) is not None
        if isinstance(value, dict):
            self.ended_jobs[job_id] = schema.ended_from_record(value, version)
            self.live_jobs.pop(job_id, None)
            return True
        if job_id in self.ended_jobs:
            # The end was this controller's own write; the watch now brings what came before it
            return False
        if job_id in self.live_jobs and self.live_jobs[job_id][1] == version:
            return False
        try:
            self.live_jobs[job_id] = (jobs.from_record(value), version)
        except (TypeError, ValueError, IndexError, KeyError):
            # An error raised here would keep all other jobs from being followed. The job stays
            # known, and is not run by this controller
            self.live_jobs.pop(job_id, None)
            self.unreadable_jobs.add(job_id)
        return True

    def _apply_entry_change(self, key: str, value: Any, version: int) -> None:
        if self.entries.get(key, NO_ENTRY)[1] > version:
            return
        if value is not None:
            self.entries[key] = (value, version)
            return
        self.entries.pop(key, None)
        if key.startswith(schema.CONTROLLER_PREFIX):
            self.departed_controllers[key] = version

    def holder(self, shard: int) -> Holder:
        """Return who holds a shard, and its epoch; (None, 0) when nobody does."""
        return schema.holder_from_record(*self.entries.get(schema.shard_key(shard), NO_ENTRY))

    def autoscaler(self) -> Holder:
        """Return who runs the autoscaler, and its epoch; (None, 0) when nobody does."""
        return schema.holder_from_record(*self.entries.get(schema.AUTOSCALER_KEY, NO_ENTRY))

    def machine_types(self) -> dict[str, MachineType] | None:
        """Return the machine types by name; None until all of them are stored."""
        marker = self.entries.get(schema.MACHINE_TYPE_COUNT_KEY)
        if marker is None:
            return None
        found = [
            cloud.type_from_record(value)
            for key, (value, _) in self.entries.items()
            if key.startswith(schema.MACHINE_TYPE_PREFIX)
        ]
        if len(found) < schema.machine_type_count(marker[0]):
            return None
        return {machine_type.name: machine_type for machine_type in found}

    def controller_entry(self, controller: str) -> tuple[Any, int]:
        """Return the value of a controller's membership key, and 0.

        When there is no such key: None, and the revision since which it has certainly been absent.
        """
        key = schema.controller_key(controller)
        value, _ = self.entries.get(key, NO_ENTRY)
        if value is not None:
            return value, 0
        return None, self.departed_controllers.get(key, self.loaded_revision)

    def holds_lease(self, controller: str) -> bool:
        """Return whether a controller's membership key exists, which its lease keeps alive."""
        return schema.controller_key(controller) in self.entries
