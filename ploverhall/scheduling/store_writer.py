"""What a source writes: the next transaction, and what follows when it lands, is refused, or may have done either.

Permits go out only after the write that lists them has landed; where changes run short the most important go first.
"""

from __future__ import annotations

import base64
from collections.abc import Iterable
from typing import Any

from ploverhall.protocol.jobs import DONE
from ploverhall.scheduling.allocations import (
    PROGRESS_TASKS,
    TXN_BYTES,
    Chunk,
    ChunkWrite,
    Entry,
    JobState,
    Ledger,
    Txn,
    put_entry,
)
from ploverhall.storage.store_cache import JOB, SHARD, cell_prefix, end_record, progress_prefix


class Writes(Ledger):
    """Plans the writes of one shard's teams."""

    def plan(self, most: int | None = None) -> Txn | None:
        """The next write: permits first, then ends, then exits; as many as one transaction takes, or `most` changes.

        Where more waits than that, the most important jobs' changes go first: permits of replicas stood behind those of
        a guest's many tiny tasks. Every fourth such write takes what has waited longest, so that the rest goes on, too.
        """
        txn = Txn({f"{SHARD}{self.shard}": self.epoch}, {}, [])
        if self.fences:
            return self._fence(txn)
        self.most_ops = self.txn_ops if most is None else max(2, min(self.txn_ops, most))
        work: list[Chunk | JobState] = [c for c, permits in self.dirty_chunks.items() if permits]
        work += self.ending.values()
        work += [c for c, permits in self.dirty_chunks.items() if not permits]
        if len(work) > self.most_ops:
            self.crowded += 1
            if self.crowded % 4:
                work.sort(key=self._urgency)
        for item in work:
            if not (
                self._plan_chunk(txn, item)
                if isinstance(item, Chunk)
                else self._plan_end(txn, item)
            ):
                break
        while self.garbage and txn.ops < self.most_ops and txn.ops > 0 and txn.size < TXN_BYTES:
            key = self.garbage.pop()
            if key not in txn.puts:
                txn.deletes.append(
                    key
                )  # of no use to anybody: if this write fails, the next source finds it
                txn.size += len(key) + 40
        return txn if txn.ops else None

    def _urgency(self, item: Chunk | JobState) -> tuple[float, ...]:
        """Whose change is the more important one; of one job first its permits, then its end, then its exits."""
        if isinstance(item, JobState):
            return (*self.order(item)[:3], 1.0) if item.job is not None else (9.0,)
        permits = self.dirty_chunks[item]
        jobs = [
            js
            for jid in item.jobs
            if (js := self.jobs[jid]).job is not None and (not permits or js.unlanded)
        ]
        return (*min((self.order(js)[:3] for js in jobs), default=(9.0,)), 0.0 if permits else 2.0)

    def _plan_end(self, txn: Txn, js: JobState) -> bool:
        """Add a job's end to a write; False when there was no room for it."""
        if js.blocked or js.job is None or JOB + js.id in txn.guards:
            return True
        if (
            txn.ops + 1 > self.most_ops
            or len(txn.guards) + 1 > self._max_guards
            or txn.size > TXN_BYTES
        ):
            return False
        txn.guards[JOB + js.id] = js.version
        txn.puts[JOB + js.id] = end_record(DONE, js.n)
        txn.ends.append(js)
        txn.size += 150
        return True

    def unknown(self, txn: Txn) -> None:
        """A write's outcome is not known: it may land at any later time, until its chunks have been written anew.

        Reading the cell again is not enough. A permit that has not landed may be given anew in another chunk; if the
        late write lands after that, one task has two permits (kazi-bodi-grown rough, state service slow: ran_twice).
        """
        self.fences.update((w.chunk.team, w.chunk.index) for w in txn.chunks)

    def _fence(self, txn: Txn) -> Txn:
        """Write chunks again as they were read, alone and before all else: the late write fails their guards."""
        for team, index in sorted(self.fences):
            chunk = self.chunks[team].setdefault(index, Chunk(team, index))
            if txn.ops >= self.txn_ops or (txn.ops and txn.size + chunk.size + 300 > TXN_BYTES):
                break
            value: dict[str, Any] = {}
            for _, e in sorted(chunk.entries.items()):
                if e.landed:
                    put_entry(value, self.jobs[e.job], e)
            txn.guards[chunk.key] = chunk.version
            txn.puts[chunk.key] = value
            txn.chunks.append(ChunkWrite(chunk))
            txn.size += chunk.size + 2 * len(chunk.key) + 100
        return txn

    @property
    def _max_guards(self) -> int:
        return 4 * self.txn_ops

    def _plan_chunk(self, txn: Txn, chunk: Chunk) -> bool:
        """Add one chunk's value to a write, with what it depends on; False when there was no room for it."""
        if (
            txn.ops + 1 > self.most_ops
            or len(txn.guards) + 2 > self._max_guards
            or txn.size + chunk.size + 300 > TXN_BYTES
        ):
            return False
        value: dict[str, Any] = {}
        write = ChunkWrite(chunk)
        spare = self.most_ops - txn.ops - 1
        for (jid, task), e in sorted(chunk.entries.items()):
            self.visits += 1
            js = self.jobs[jid]
            if e.over and e.landed:
                part = task // PROGRESS_TASKS
                if js.job is not None and not js.complete and part in js.dirty_progress:
                    key = f"{progress_prefix(chunk.team)}{jid}/{part}"
                    if key not in txn.puts:
                        if spare <= 0 or txn.size + chunk.size > TXN_BYTES:
                            put_entry(value, js, e)
                            continue
                        spare -= 1
                        lo = part * PROGRESS_TASKS // 8
                        txn.puts[key] = base64.b64encode(
                            bytes(js.done[lo : lo + PROGRESS_TASKS // 8])
                        ).decode()
                        txn.progress.append((js, part))
                        txn.size += len(txn.puts[key]) + len(key) + 40
                write.removes.append(e)
                continue
            if not e.landed:
                key = JOB + jid
                if js.job is None or js.blocked or key in txn.puts:
                    write.removes.append(e)  # never written: it just goes
                    continue
                if key not in txn.guards:
                    if len(txn.guards) + 2 > self._max_guards:
                        continue
                    txn.guards[key] = js.version
                    txn.size += len(key) + 40
                write.adds.append(e)
            put_entry(value, js, e)
        txn.guards[chunk.key] = chunk.version
        if value or chunk.version:
            txn.puts[chunk.key] = value
        txn.chunks.append(write)
        txn.size += chunk.size + 2 * len(chunk.key) + 100
        return True

    def landed(self, txn: Txn, revision: int, now: float) -> None:
        """The write is in: permits go out, exits may be forgotten by the workers."""
        for js, part in txn.progress:
            js.dirty_progress.discard(part)
            js.stored_progress.add(part)
        for write in txn.chunks:
            chunk = write.chunk
            self.fences.discard((chunk.team, chunk.index))
            if chunk.key in txn.puts:
                chunk.version = revision
            for e in write.adds:
                known = self.jobs.get(e.job)
                if known is not None:
                    self._land(known, e)
                self.note(
                    "permit",
                    job=e.job,
                    task=e.task,
                    attempt=e.attempt,
                    machine=e.machine,
                    part=e.part,
                )
            self._clear(write.removes)
            self._redo(chunk)
        for js in txn.ends:
            self.note("done", job=js.id)
            self.on_job(None, js.id, 0, now)

    def _clear(self, entries: Iterable[Entry]) -> None:
        for e in entries:
            js = self.jobs.get(e.job)
            if js is not None and js.entries.get(e.task) is e:
                self._remove(js, e)
                if not js.is_done(e.task):
                    js.put_back(e.task)

    def _redo(self, chunk: Chunk) -> None:
        """What became over or was added while the write was on its way still has to be written."""
        self.dirty_chunks.pop(chunk, None)
        for e in chunk.entries.values():
            self.visits += 1
            if e.over or not e.landed:
                self.dirty_chunks[chunk] = self.dirty_chunks.get(chunk, False) or not e.landed
        if not chunk.entries and not chunk.version:
            self.chunks[chunk.team].pop(chunk.index, None)

    def refused(self, txn: Txn, failed: list[str]) -> list[str]:
        """A guard did not hold. Returns the teams whose cells must be read again."""
        for key in failed:
            if key.startswith(JOB):
                js = self.jobs.get(key[len(JOB) :])
                if js is not None:
                    js.blocked = True
                    self.changed.add(js.id)
                    for e in [e for e in js.entries.values() if not e.landed]:
                        self._remove(js, e)
                        js.put_back(e.task)
        return [t for t in self.teams if any(k.startswith(cell_prefix(t)) for k in failed)]

    def teams_of(self, txn: Txn) -> list[str]:
        """The teams whose cells a write touches."""
        return sorted({w.chunk.team for w in txn.chunks})
