"""This node's copy of the watched keys: live and ended jobs, who holds what, machine types.

Everything under `p/` is followed by watch. Cells and progress lie outside it: only the holder of a
team's shard reads those.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ploverhall.protocol import cloud, jobs
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.key_value_store import Event

PREFIX = "p/"
JOB, SHARD, NODE = "p/job/", "p/shard/", "p/node/"
RENTER, TYPES, TYPE = "p/renter", "p/types", "p/type/"
ARCHIVED = "p/archived"  # there is something under ARCHIVE
ARCHIVE = "e/"  # jobs that ended long ago: followed by nobody, read when somebody asks


def cell_prefix(team: str) -> str:
    """Where a team's outstanding permits are kept, in chunks."""
    return f"c/{_plain(team)}/"


def progress_prefix(team: str) -> str:
    """Where the finished tasks of a team's live arrays are kept, in chunks."""
    return f"d/{_plain(team)}/"


def grants_key(team: str) -> str:
    """Where the stops by choice are kept that a team's source has granted."""
    return f"u/{_plain(team)}"


def _plain(name: str) -> str:
    """Key-safe and injective: the state service's keys hold no spaces and 200 bytes at most."""
    out = "".join(c if c.isalnum() and c.isascii() or c in "-_." else f"%{ord(c):x}," for c in name)
    return (
        out
        if len(out) <= 120
        else f"{out[:100]}~{len(out)}~{sum((i + 1) * ord(c) for i, c in enumerate(out)):x}"
    )


class Ended(NamedTuple):
    """How a job ended, the number of its tasks done, and the version of its key."""

    how: str
    done: int
    version: int


def end_record(how: str, done: int) -> dict[str, Any]:
    """What takes the place of a job's description when it is over: one change, and no moment without either."""
    return {"s": how, "n": done}


def ended(value: dict[str, Any], version: int) -> Ended:
    """The inverse of end_record."""
    return Ended(
        jobs.DONE if value.get("s") == jobs.DONE else jobs.WITHDRAWN,
        int(value.get("n") or 0),
        version,
    )


@dataclass(slots=True)
class Replica:
    """Applies events once and in order of revision, from whichever watch brings them first."""

    rev: int = 0
    ready: bool = False
    live: dict[str, tuple[jobs.Job, int]] = field(default_factory=dict)
    ended: dict[str, Ended] = field(default_factory=dict)  # the oldest first
    keys: dict[str, tuple[Any, int]] = field(default_factory=dict)  # everything else, small
    changed_jobs: list[str] = field(default_factory=list)
    unreadable: set[str] = field(
        default_factory=set
    )  # accepted jobs whose record says nothing to this release
    left: dict[str, int] = field(
        default_factory=dict
    )  # members' keys that are gone: the revision at which they went
    loaded: int = 0  # what went before this revision, and came again, was not seen

    def load(self, found: dict[str, tuple[Any, int]], rev: int) -> None:
        """Start over from a listing whose first page had this revision. What is known to be newer than that stays."""
        versions = {JOB + j: version for j, (_, version) in self.live.items()} | {
            JOB + j: e.version for j, e in self.ended.items()
        }
        versions |= {JOB + j: 0 for j in self.unreadable} | {
            k: version for k, (_, version) in self.keys.items()
        }
        for key, version in versions.items():
            if key not in found and version <= rev:
                self._apply(key, None, rev)
        for key, (value, version) in found.items():
            self._apply(key, value, version)
        self.rev = self.loaded = rev
        self.left.clear()

    def apply(self, rev: int, events: list[Event]) -> bool:
        """Apply a watch's answer; True when something was new."""
        news = False
        for e in events:
            # two watches run at once: one may bring what the other has brought already, and
            # an old put must not bring back what a later delete has removed
            if e.version > self.rev:
                self._apply(e.key, e.value, e.version)
                news = True
        self.rev = max(self.rev, rev)
        return news

    def _apply(self, key: str, value: Any, version: int) -> None:
        if key.startswith(JOB):
            jid = key[len(JOB) :]
            self.unreadable.discard(jid)
            if value is None:  # it was over and has been archived
                self.ended.pop(jid, None)
                if self.live.pop(jid, None) is None:
                    return
            elif isinstance(value, dict):
                self.ended[jid] = ended(value, version)
                self.live.pop(jid, None)
            elif jid in self.ended:
                return  # this node's own write, known before the watch brings what came before it
            elif jid not in self.live or self.live[jid][1] != version:
                try:
                    self.live[jid] = (jobs.from_record(value), version)
                except (TypeError, ValueError, IndexError, KeyError):
                    # one job's record must not keep all others from being followed: it stays known, and is not run from here
                    self.live.pop(jid, None)
                    self.unreadable.add(jid)
            else:
                return
            self.changed_jobs.append(jid)
        elif self.keys.get(key, (None, 0))[1] > version:
            return  # the same
        elif value is None:
            self.keys.pop(key, None)
            if key.startswith(NODE):
                self.left[key] = version
        else:
            self.keys[key] = (value, version)

    def holder(self, shard: int) -> tuple[str | None, int]:
        """Who holds a shard, and its epoch."""
        value, version = self.keys.get(f"{SHARD}{shard}", (None, 0))
        return (value["node"], version) if value else (None, 0)

    def renter(self) -> tuple[str | None, int]:
        """Who rents."""
        value, version = self.keys.get(RENTER, (None, 0))
        return (value["node"], version) if value else (None, 0)

    def put_own(self, key: str, value: Any, rev: int) -> None:
        """A write of this node landed: known at once, unless the watch has already been past it."""
        if rev > self.rev:
            self._apply(key, value, rev)

    def types(self) -> dict[str, MachineType] | None:
        """The machine types, once all of them are written; None before."""
        marker = self.keys.get(TYPES)
        if marker is None:
            return None
        found = [cloud.type_from_record(v) for k, (v, _) in self.keys.items() if k.startswith(TYPE)]
        return {t.name: t for t in found} if len(found) >= marker[0]["n"] else None

    def member(self, node: str) -> tuple[Any, int]:
        """What a member's key says, and 0; or None, and since which revision it has surely been gone."""
        value, _ = self.keys.get(NODE + node, (None, 0))
        return value, 0 if value is not None else self.left.get(NODE + node, self.loaded)

    def alive(self, node: str) -> bool:
        """Whether a node holds its lease."""
        return f"{NODE}{node}" in self.keys
