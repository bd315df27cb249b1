"""What a source and an owner keep in the state service: cells, ends, images."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from itertools import islice
from typing import Any
from zlib import crc32

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.controller.context import Held, Shared
from ploverhall.controller.routing import Routing
from ploverhall.maintenance.disruption_budget import Rules
from ploverhall.protocol.key_value_store import Refused, Unknown
from ploverhall.scheduling.allocations import TXN_BYTES, Txn
from ploverhall.scheduling.permitting import Source
from ploverhall.storage import image_index
from ploverhall.storage.store_cache import (
    ARCHIVE,
    ARCHIVED,
    JOB,
    SHARD,
    Ended,
    cell_prefix,
    end_record,
    grants_key,
    progress_prefix,
)

IMAGES_EVERY_S = 4.0
ARCHIVE_EVERY_S = 1.0
KEPT, PATIENCE_S = (
    1.0,
    0.5,
)  # a write leaves a change for the next submission, unless it has waited for so long


class Writing:
    """What a source and an owner keep in the state service: cells, ends, images."""

    def __init__(
        self,
        shared: Shared,
        routing: Routing,
        *,
        current: Callable[[], Awaitable[bool]],
        news: Callable[[], None],
        may_archive: Callable[[Ended], bool],
        deposed: Callable[[int], None],
    ) -> None:
        self.shared, self.routing = shared, routing
        self.current, self.news, self.may_archive = current, news, may_archive
        self.rules = Rules(shared.settings.options.budget)
        self.deposed = deposed  # a write was refused because another controller holds the shard

    async def source(self, held: Held) -> None:
        """Read the cells, then permit: the new source knows every start that may be anywhere."""
        s = self.shared.settings
        teams = [self.shared.teams[t] for t in self.shared.layout.teams(held.shard)]
        with held.scope:
            source = Source(held.shard, held.epoch, teams, s.zones, s.value_bytes, s.txn_ops)
            source.note, source.report, source.rules = log.debug, log.info, self.rules
            source.aims, source.types = self.shared.aims, self.shared.types or {}
            cells: dict[str, Any] = {}
            progress: dict[str, Any] = {}
            grants: dict[str, tuple[Any, int]] = {}
            for t in teams:
                cells[t.name] = await self._read(cell_prefix(t.name))
                progress[t.name] = await self._read(progress_prefix(t.name))
                grants[t.name] = await self._read_one(grants_key(t.name))
            while not await self.current():
                await anyio.sleep(0.2)
            now = self.shared.clock()
            for jid, (job, version) in self.shared.replica.live.items():
                if self.shared.layout.team_shard.get(job.team) == held.shard:
                    source.on_job(job, jid, version, now, max(0.0, self.shared.wall() - job.at))
            for t in teams:
                source.install_cell(t.name, cells[t.name], now)
                source.install_progress(t.name, progress[t.name])
                source.install_grants(t.name, *grants[t.name])
            held.source = source
            self.routing.tell_owners(held, source, now)
            self.routing.replay(
                held.shard, ("o",)
            )  # it may not have known the starts that this was about
            log.info("source ready", shard=held.shard, epoch=held.epoch, jobs=len(source.jobs))
            self.shared.poke()
            await self._writer(held, source)

    async def _read(self, prefix: str) -> dict[str, tuple[Any, int]]:
        while True:
            try:
                return (await self.shared.store.read(prefix))[0]
            except (Refused, Unknown):
                await anyio.sleep(0.2)

    async def _read_one(self, key: str) -> tuple[Any, int]:
        while True:
            try:
                return await self.shared.store.get(key)
            except (Refused, Unknown):
                await anyio.sleep(0.2)

    async def images(self, held: Held) -> None:
        """Learn which images the part's machines hold, and keep it for the next owner."""
        fleet, prefix = held.owner.fleet, image_index.prefix(held.shard)
        with held.image_scope:
            found = await self._read(prefix)
            fleet.remember(image_index.unpack([v for v, _ in found.values()]))
            keys = set(found)
            while not held.lost:
                await anyio.sleep(IMAGES_EVERY_S)
                if (
                    not fleet.images_changed
                    or self.shared.store.writes.wait(self.shared.store.writes.burst / 2) > 0
                ):
                    continue  # a hint can wait for a quiet moment
                fleet.images_changed = False
                values = image_index.pack(
                    {m.name: m.images for m in fleet.machines.values()},
                    self.shared.settings.value_bytes,
                )
                wanted = {f"{prefix}{i}": v for i, v in enumerate(values)}
                # one transaction may not take them all: they are hints, so it does no harm that they land apart
                for puts in image_index.batches(wanted, self.shared.settings.txn_ops // 2, TXN_BYTES):
                    old = sorted(keys - wanted.keys())[:2]
                    try:
                        _, failed = await self.shared.store.txn(
                            {f"{SHARD}{held.shard}": held.epoch}, puts, old
                        )
                        if not failed:
                            keys = (keys | puts.keys()) - set(old)
                    except (Refused, Unknown):
                        fleet.images_changed = True
                        break

    async def archive_loop(self) -> None:
        """Jobs that ended long ago leave every controller's memory: a bound on it, after days of swarms.

        Each controller sees to a fixed share of them, when nobody else wants to write.
        """
        store, replica, s = self.shared.store, self.shared.replica, self.shared.settings
        while True:
            await anyio.sleep(ARCHIVE_EVERY_S)
            surplus = len(replica.ended) - s.options.keep_ended
            if surplus <= 0 or not replica.ready or store.writes.wait(store.writes.burst) > 0:
                continue
            oldest = islice(replica.ended.items(), surplus)
            # what is archived may be told by whoever reads it there, and is named to nobody any more
            old = ((j, e) for j, e in oldest if crc32(j.encode()) % len(s.nodes) == self.shared.me)
            mine = list(
                islice(((j, e) for j, e in old if self.may_archive(e)), max(1, s.txn_ops // 2 - 1))
            )
            if not mine:
                continue
            puts: dict[str, Any] = {ARCHIVE + j: end_record(e.how, e.done) for j, e in mine}
            if ARCHIVED not in replica.keys:
                puts[ARCHIVED] = 1
            try:
                # the watch takes them out of memory, together with the news that there is an archive: sooner, a poll
                # would be told that there is no such job
                await store.txn(
                    {JOB + j: e.version for j, e in mine}, puts, [JOB + j for j, _ in mine]
                )
            except (Refused, Unknown):
                continue

    async def _writer(self, held: Held, source: Source) -> None:
        """Write what the source has decided, one transaction at a time."""
        while not held.lost:
            txn = source.plan(int(self.shared.store.writes.free() - KEPT))
            if txn is None:
                held.wake = anyio.Event()
                with anyio.move_on_after(0.5):
                    await held.wake.wait()
                continue
            try:
                revision, failed = await self.shared.store.txn(
                    txn.guards, txn.puts, txn.deletes, reserve=KEPT, patience=PATIENCE_S
                )
            except Refused:
                await anyio.sleep(0.15 + 0.15 * self.shared.rng.random())
                continue
            except Unknown:
                source.unknown(txn)
                await self._reread(held, source, txn, source.teams_of(txn))
                continue
            now = self.shared.clock()
            if failed:
                log.info("write refused", shard=held.shard, failed=",".join(failed))
                if f"{SHARD}{held.shard}" in failed:
                    self.deposed(held.shard)
                    return
                again = source.refused(txn, failed)
                await self._reread(held, source, txn, again)
            else:
                for key, value in txn.puts.items():
                    if key.startswith(JOB):
                        self.shared.replica.put_own(key, value, revision)
                source.landed(txn, revision, now)
            self.news()
            self.shared.poke()
            await anyio.sleep(self.shared.settings.options.write_every_s)

    async def _reread(self, held: Held, source: Source, txn: Txn, teams: list[str]) -> None:
        """After a write of unknown outcome: what the cells hold is what counts; a late one fails its guards."""
        for team in teams:
            found = await self._read(cell_prefix(team))
            source.install_cell(team, found, self.shared.clock())
        for team in txn.grants:
            source.install_grants(team, *await self._read_one(grants_key(team)))
        self.routing.replay(
            held.shard, ("o",)
        )  # it may not have known the starts that this was about
        if txn.ends:
            await self.current()
        self.news()
        self.shared.poke()
