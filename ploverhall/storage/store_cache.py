"""This node's copy of the watched keys: live and ended jobs, who holds what, machine types.

Everything under `p/` is followed by watch. Cells and progress lie outside it: only the holder of a
team's shard reads those.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ploverhall.protocol import cloud, jobs
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.key_value_store import WatchEvent

WATCHED_PREFIX = "p/"
JOB_PREFIX = "p/job/"
SHARD_PREFIX = "p/shard/"
CONTROLLER_PREFIX = "p/node/"
AUTOSCALER_KEY = "p/renter"
MACHINE_TYPE_COUNT_KEY = "p/types"
MACHINE_TYPE_PREFIX = "p/type/"
ARCHIVE_MARKER_KEY = "p/archived"  # there is something under ARCHIVE
ARCHIVE_PREFIX = "e/"  # jobs that ended long ago: followed by nobody, read when somebody asks


def allocation_prefix(team: str) -> str:
    """Where a team's outstanding permits are kept, in chunks."""
    return f"c/{_escape_key_part(team)}/"


def progress_prefix(team: str) -> str:
    """Where the finished tasks of a team's live arrays are kept, in chunks."""
    return f"d/{_escape_key_part(team)}/"


def grants_key(team: str) -> str:
    """Where the stops by choice are kept that a team's source has granted."""
    return f"u/{_escape_key_part(team)}"


def _escape_key_part(name: str) -> str:
    """Key-safe and injective: the state service's keys hold no spaces and 200 bytes at most."""
    out = "".join(c if c.isalnum() and c.isascii() or c in "-_." else f"%{ord(c):x}," for c in name)
    return (
        out
        if len(out) <= 120
        else f"{out[:100]}~{len(out)}~{sum((i + 1) * ord(c) for i, c in enumerate(out)):x}"
    )


class EndedJob(NamedTuple):
    """How a job ended, the number of its tasks done, and the version of its key."""

    outcome: str
    tasks_done: int
    version: int


def end_record(outcome: str, tasks_done: int) -> dict[str, Any]:
    """What takes the place of a job's description when it is over: one change, and no moment without either."""
    return {"s": outcome, "n": tasks_done}


def ended_from_record(value: dict[str, Any], version: int) -> EndedJob:
    """The inverse of end_record."""
    return EndedJob(
        jobs.DONE if value.get("s") == jobs.DONE else jobs.CANCELLED,
        int(value.get("n") or 0),
        version,
    )


@dataclass(slots=True)
class StoreCache:
    """Applies events once and in order of revision, from whichever watch brings them first."""

    revision: int = 0
    ready: bool = False
    live_jobs: dict[str, tuple[jobs.Job, int]] = field(default_factory=dict)
    ended_jobs: dict[str, EndedJob] = field(default_factory=dict)  # the oldest first
    entries: dict[str, tuple[Any, int]] = field(default_factory=dict)  # everything else, small
    changed_jobs: list[str] = field(default_factory=list)
    # Accepted jobs whose record says nothing to this release
    unreadable_jobs: set[str] = field(default_factory=set)
    # Members' keys that are gone: the revision at which they went
    departed_controllers: dict[str, int] = field(default_factory=dict)
    loaded_revision: int = 0  # what went before this revision, and came again, was not seen

    def load(self, listing: dict[str, tuple[Any, int]], revision: int) -> None:
        """Start over from a listing whose first page had this revision. What is known to be newer than that stays."""
        versions = {
            JOB_PREFIX + job_id: version for job_id, (_, version) in self.live_jobs.items()
        } | {JOB_PREFIX + job_id: ended.version for job_id, ended in self.ended_jobs.items()}
        versions |= {JOB_PREFIX + job_id: 0 for job_id in self.unreadable_jobs} | {
            entry_key: version for entry_key, (_, version) in self.entries.items()
        }
        for key, version in versions.items():
            if key not in listing and version <= revision:
                self._apply_change(key, None, revision)
        for key, (value, version) in listing.items():
            self._apply_change(key, value, version)
        self.revision = self.loaded_revision = revision
        self.departed_controllers.clear()

    def apply(self, revision: int, events: list[WatchEvent]) -> bool:
        """Apply a watch's answer; True when something was new."""
        changed = False
        for event in events:
            # two watches run at once: one may bring what the other has brought already, and
            # an old put must not bring back what a later delete has removed
            if event.version > self.revision:
                self._apply_change(event.key, event.value, event.version)
                changed = True
        self.revision = max(self.revision, revision)
        return changed

    def _apply_change(self, key: str, value: Any, version: int) -> None:
        if key.startswith(JOB_PREFIX):
            job_id = key[len(JOB_PREFIX) :]
            self.unreadable_jobs.discard(job_id)
            if value is None:  # it was over and has been archived
                self.ended_jobs.pop(job_id, None)
                if self.live_jobs.pop(job_id, None) is None:
                    return
            elif isinstance(value, dict):
                self.ended_jobs[job_id] = ended_from_record(value, version)
                self.live_jobs.pop(job_id, None)
            elif job_id in self.ended_jobs:
                return  # this node's own write, known before the watch brings what came before it
            elif job_id not in self.live_jobs or self.live_jobs[job_id][1] != version:
                try:
                    self.live_jobs[job_id] = (jobs.from_record(value), version)
                except (TypeError, ValueError, IndexError, KeyError):
                    # one job's record must not keep all others from being followed: it stays known, and is not run from here
                    self.live_jobs.pop(job_id, None)
                    self.unreadable_jobs.add(job_id)
            else:
                return
            self.changed_jobs.append(job_id)
        elif self.entries.get(key, (None, 0))[1] > version:
            return  # the same
        elif value is None:
            self.entries.pop(key, None)
            if key.startswith(CONTROLLER_PREFIX):
                self.departed_controllers[key] = version
        else:
            self.entries[key] = (value, version)

    def holder(self, shard: int) -> tuple[str | None, int]:
        """Who holds a shard, and its epoch."""
        value, version = self.entries.get(f"{SHARD_PREFIX}{shard}", (None, 0))
        return (value["node"], version) if value else (None, 0)

    def autoscaler(self) -> tuple[str | None, int]:
        """Who rents."""
        value, version = self.entries.get(AUTOSCALER_KEY, (None, 0))
        return (value["node"], version) if value else (None, 0)

    def apply_own_write(self, key: str, value: Any, revision: int) -> None:
        """A write of this node landed: known at once, unless the watch has already been past it."""
        if revision > self.revision:
            self._apply_change(key, value, revision)

    def machine_types(self) -> dict[str, MachineType] | None:
        """The machine types, once all of them are written; None before."""
        marker = self.entries.get(MACHINE_TYPE_COUNT_KEY)
        if marker is None:
            return None
        found = [
            cloud.type_from_record(value)
            for key, (value, _) in self.entries.items()
            if key.startswith(MACHINE_TYPE_PREFIX)
        ]
        return (
            {machine_type.name: machine_type for machine_type in found}
            if len(found) >= marker[0]["n"]
            else None
        )

    def controller_entry(self, controller: str) -> tuple[Any, int]:
        """What a member's key says, and 0; or None, and since which revision it has surely been gone."""
        value, _ = self.entries.get(CONTROLLER_PREFIX + controller, (None, 0))
        return value, 0 if value is not None else self.departed_controllers.get(
            CONTROLLER_PREFIX + controller, self.loaded_revision
        )

    def holds_lease(self, controller: str) -> bool:
        """Whether a node holds its lease."""
        return f"{CONTROLLER_PREFIX}{controller}" in self.entries
