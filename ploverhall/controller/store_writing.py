"""What a source and an owner keep in the state service: cells, ends, images."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from itertools import islice
from typing import Any
from zlib import crc32

import anyio
import anyio.abc

from ploverhall import log
from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.routing import Routing
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.maintenance.disruption_budget import DisruptionBudgets
from ploverhall.scheduling.allocations import MAX_TRANSACTION_BYTES, PendingWrite
from ploverhall.scheduling.permitting import JobSource
from ploverhall.storage import image_index
from ploverhall.storage.store_cache import (
    ARCHIVE_MARKER_KEY,
    ARCHIVE_PREFIX,
    JOB_PREFIX,
    SHARD_PREFIX,
    EndedJob,
    allocation_prefix,
    end_record,
    grants_key,
    progress_prefix,
)

IMAGE_WRITE_INTERVAL_S = 4.0
ARCHIVE_INTERVAL_S = 1.0
# A write leaves a change for the next submission, unless it has waited for so long
SUBMISSION_RESERVE = 1.0
RESERVE_PATIENCE_S = 0.5


class StoreWriting:
    """What a source and an owner keep in the state service: cells, ends, images."""

    def __init__(
        self,
        context: ControllerContext,
        routing: Routing,
        *,
        is_current: Callable[[], Awaitable[bool]],
        on_store_changed: Callable[[], None],
        may_archive: Callable[[EndedJob], bool],
        on_superseded: Callable[[int], None],
    ) -> None:
        self.context = context
        self.routing = routing
        self.is_current = is_current
        self.on_store_changed = on_store_changed
        self.may_archive = may_archive
        self.budgets = DisruptionBudgets(context.settings.options.budget)
        # A write was refused because another controller holds the shard
        self.on_superseded = on_superseded

    async def run_source(self, held: HeldShard) -> None:
        """Read the cells, then permit: the new source knows every start that may be anywhere."""
        settings = self.context.settings
        teams = [
            self.context.teams[team_name]
            for team_name in self.context.shard_map.teams_of(held.shard)
        ]
        with held.write_scope:
            source = JobSource(
                held.shard,
                held.epoch,
                teams,
                settings.zones,
                settings.max_value_bytes,
                settings.max_transaction_ops,
            )
            source.log_debug = log.debug
            source.log_info = log.info
            source.budgets = self.budgets
            source.objectives, source.machine_types = (
                self.context.objectives,
                self.context.machine_types or {},
            )
            allocations: dict[str, Any] = {}
            progress: dict[str, Any] = {}
            grants: dict[str, tuple[Any, int]] = {}
            for team in teams:
                allocations[team.name] = await self._list_prefix(allocation_prefix(team.name))
                progress[team.name] = await self._list_prefix(progress_prefix(team.name))
                grants[team.name] = await self._read_one(grants_key(team.name))
            while not await self.is_current():
                await anyio.sleep(0.2)
            now = self.context.clock()
            for job_id, (job, version) in self.context.store_cache.live_jobs.items():
                if self.context.shard_map.team_shard.get(job.team) == held.shard:
                    source.on_job(
                        job,
                        job_id,
                        version,
                        now,
                        max(0.0, self.context.wall_clock() - job.submitted_at),
                    )
            for team in teams:
                source.install_allocations(team.name, allocations[team.name], now)
                source.install_progress(team.name, progress[team.name])
                source.install_grants(team.name, *grants[team.name])
            held.source = source
            self.routing.update_owners(held, source, now)
            self.routing.replay(
                held.shard, ("o",)
            )  # it may not have known the starts that this was about
            log.info("job queue ready", shard=held.shard, epoch=held.epoch, jobs=len(source.jobs))
            self.context.wake_scheduling()
            await self._write_loop(held, source)

    async def _list_prefix(self, prefix: str) -> dict[str, tuple[Any, int]]:
        while True:
            try:
                return (await self.context.store.list_prefix(prefix))[0]
            except (RequestRefusedError, OutcomeUnknownError):
                await anyio.sleep(0.2)

    async def _read_one(self, key: str) -> tuple[Any, int]:
        while True:
            try:
                return await self.context.store.get(key)
            except (RequestRefusedError, OutcomeUnknownError):
                await anyio.sleep(0.2)

    async def run_image_index(self, held: HeldShard) -> None:
        """Learn which images the part's machines hold, and keep it for the next owner."""
        fleet, prefix = held.owner.inventory, image_index.image_prefix(held.shard)
        with held.image_scope:
            found = await self._list_prefix(prefix)
            fleet.restore_images(image_index.unpack([value for value, _ in found.values()]))
            keys = set(found)
            while not held.released:
                await anyio.sleep(IMAGE_WRITE_INTERVAL_S)
                if (
                    not fleet.images_changed
                    or self.context.store.writes.delay(self.context.store.writes.burst / 2) > 0
                ):
                    continue  # a hint can wait for a quiet moment
                fleet.images_changed = False
                values = image_index.pack(
                    {machine.name: machine.images for machine in fleet.machines.values()},
                    self.context.settings.max_value_bytes,
                )
                wanted = {f"{prefix}{i}": value for i, value in enumerate(values)}
                # one transaction may not take them all: they are hints, so it does no harm that they land apart
                for puts in image_index.batches(
                    wanted, self.context.settings.max_transaction_ops // 2, MAX_TRANSACTION_BYTES
                ):
                    old = sorted(keys - wanted.keys())[:2]
                    try:
                        _, failed = await self.context.store.compare_and_swap(
                            {f"{SHARD_PREFIX}{held.shard}": held.epoch}, puts, old
                        )
                        if not failed:
                            keys = (keys | puts.keys()) - set(old)
                    except (RequestRefusedError, OutcomeUnknownError):
                        fleet.images_changed = True
                        break

    async def archive_loop(self) -> None:
        """Jobs that ended long ago leave every controller's memory: a bound on it, after days of swarms.

        Each controller sees to a fixed share of them, when nobody else wants to write.
        """
        store = self.context.store
        replica = self.context.store_cache
        settings = self.context.settings
        while True:
            await anyio.sleep(ARCHIVE_INTERVAL_S)
            surplus = len(replica.ended_jobs) - settings.options.keep_ended
            if surplus <= 0 or not replica.ready or store.writes.delay(store.writes.burst) > 0:
                continue
            oldest = islice(replica.ended_jobs.items(), surplus)
            # what is archived may be told by whoever reads it there, and is named to nobody any more
            old = (
                (job_id, ended)
                for job_id, ended in oldest
                if crc32(job_id.encode()) % len(settings.controllers)
                == self.context.controller_index
            )
            mine = list(
                islice(
                    ((job_id, ended) for job_id, ended in old if self.may_archive(ended)),
                    max(1, settings.max_transaction_ops // 2 - 1),
                )
            )
            if not mine:
                continue
            puts: dict[str, Any] = {
                ARCHIVE_PREFIX + job_id: end_record(ended.outcome, ended.tasks_done)
                for job_id, ended in mine
            }
            if ARCHIVE_MARKER_KEY not in replica.entries:
                puts[ARCHIVE_MARKER_KEY] = 1
            try:
                # the watch takes them out of memory, together with the news that there is an archive: sooner, a poll
                # would be told that there is no such job
                await store.compare_and_swap(
                    {JOB_PREFIX + job_id: ended.version for job_id, ended in mine},
                    puts,
                    [JOB_PREFIX + job_id for job_id, _ in mine],
                )
            except (RequestRefusedError, OutcomeUnknownError):
                continue

    async def _write_loop(self, held: HeldShard, source: JobSource) -> None:
        """Write what the source has decided, one transaction at a time."""
        while not held.released:
            txn = source.next_write(int(self.context.store.writes.available() - SUBMISSION_RESERVE))
            if txn is None:
                held.write_wake = anyio.Event()
                with anyio.move_on_after(0.5):
                    await held.write_wake.wait()
                continue
            try:
                revision, failed = await self.context.store.compare_and_swap(
                    txn.compare,
                    txn.puts,
                    txn.deletes,
                    reserve=SUBMISSION_RESERVE,
                    patience=RESERVE_PATIENCE_S,
                )
            except RequestRefusedError:
                await anyio.sleep(0.15 + 0.15 * self.context.random.random())
                continue
            except OutcomeUnknownError:
                source.on_outcome_unknown(txn)
                await self._reinstall(held, source, txn, source.teams_of(txn))
                continue
            now = self.context.clock()
            if failed:
                log.info("compare-and-swap failed", shard=held.shard, keys=",".join(failed))
                if f"{SHARD_PREFIX}{held.shard}" in failed:
                    self.on_superseded(held.shard)
                    return
                again = source.on_compare_failed(txn, failed)
                await self._reinstall(held, source, txn, again)
            else:
                for key, value in txn.puts.items():
                    if key.startswith(JOB_PREFIX):
                        self.context.store_cache.apply_own_write(key, value, revision)
                source.on_committed(txn, revision, now)
            self.on_store_changed()
            self.context.wake_scheduling()
            await anyio.sleep(self.context.settings.options.write_every_s)

    async def _reinstall(
        self, held: HeldShard, source: JobSource, txn: PendingWrite, teams: list[str]
    ) -> None:
        """After a write of unknown outcome: what the cells hold is what counts; a late one fails its guards."""
        for team in teams:
            found = await self._list_prefix(allocation_prefix(team))
            source.install_allocations(team, found, self.context.clock())
        for team in txn.eviction_grants:
            source.install_grants(team, *await self._read_one(grants_key(team)))
        self.routing.replay(
            held.shard, ("o",)
        )  # it may not have known the starts that this was about
        if txn.ended_jobs:
            await self.is_current()
        self.on_store_changed()
        self.context.wake_scheduling()
