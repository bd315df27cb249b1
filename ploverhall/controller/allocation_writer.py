"""Writes the decisions of held shards' job sources: allocations, progress, grants, job ends.

`controller` runs one `AllocationWriter.run` per held shard. It loads the stored records of the
shard's teams, creates the `JobSource`, and then commits its decisions, one transaction at a time.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio

from ploverhall import log
from ploverhall.controller.context import ControllerContext, HeldShard
from ploverhall.controller.routing import Routing
from ploverhall.controller.store_reader import StoreReader
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError
from ploverhall.maintenance.disruption_budget import DisruptionBudgets
from ploverhall.protocol import peer_messages
from ploverhall.scheduling.pending_write import PendingWrite
from ploverhall.scheduling.permitting import JobSource
from ploverhall.settings import Team
from ploverhall.storage.schema import (
    JOB_PREFIX,
    allocation_prefix,
    grants_key,
    progress_prefix,
    shard_key,
)

# A write leaves one change of the write allowance to the next submission, unless the write has
# already waited for MAX_RESERVE_WAIT_S
SUBMISSION_RESERVE = 1.0
MAX_RESERVE_WAIT_S = 0.5
FRESH_READ_RETRY_S = 0.2
IDLE_WRITE_INTERVAL_S = 0.5  # longest wait before the source is polled for writes again
# Pause after a refused write: random, from this value up to twice as long
REFUSED_WRITE_PAUSE_S = 0.15


@dataclass
class StoredTeam:
    """The stored records of one team, as values with their versions."""

    allocations: dict[str, tuple[Any, int]]
    progress: dict[str, tuple[Any, int]]
    eviction_grants: tuple[Any, int]


class AllocationWriter:
    """Loads the state of job sources and commits their decisions."""

    def __init__(
        self,
        context: ControllerContext,
        routing: Routing,
        reader: StoreReader,
        *,
        is_current: Callable[[], Awaitable[bool]],
        on_store_changed: Callable[[], None],
        on_superseded: Callable[[int], None],
    ) -> None:
        """Create a writer that serves every held shard.

        `is_current`: refreshes the store cache; returns false if that did not succeed in time;
        `on_store_changed`: called after the cache has changed;
        `on_superseded`: called with a shard whose failed write shows that its key has changed,
        so that this controller no longer holds it.
        """
        self.context = context
        self.routing = routing
        self.reader = reader
        self.is_current = is_current
        self.on_store_changed = on_store_changed
        self.on_superseded = on_superseded
        self.budgets = DisruptionBudgets(context.settings.options.budget)

    async def run(self, held: HeldShard) -> None:
        """Load the shard's source and commit its writes until the shard is released.

        The source is published only after everything is loaded: it must not permit any task before
        it knows every allocation that may be running.
        """
        with held.write_scope:
            source = self._new_source(held)
            stored = {name: await self._load_team(name) for name in self._team_names(held)}
            while not await self.is_current():
                await anyio.sleep(FRESH_READ_RETRY_S)
            now = self.context.clock()
            self._add_live_jobs(held, source, now)
            for team_name, stored_team in stored.items():
                await self._install_allocations(source, team_name, stored_team, now)
            # Nothing is awaited from here on: jobs may have arrived or ended meanwhile
            self._add_live_jobs(held, source, now)
            for team_name, stored_team in stored.items():
                source.record_loader.install_progress(team_name, stored_team.progress)
                source.grants.install_grants(team_name, *stored_team.eviction_grants)
            self._publish_source(held, source, now)
            await self._write_loop(held, source)

    def _team_names(self, held: HeldShard) -> list[str]:
        return list(self.context.shard_map.teams_of(held.shard))

    def _new_source(self, held: HeldShard) -> JobSource:
        settings = self.context.settings
        teams: list[Team] = [self.context.teams[name] for name in self._team_names(held)]
        source = JobSource(
            held.shard,
            held.epoch,
            teams,
            settings.zones,
            settings.max_value_bytes,
            settings.max_transaction_ops,
        )
        source.store.log_debug = log.debug
        source.store.log_info = log.info
        source.grants.budgets = self.budgets
        source.store.objectives = self.context.objectives
        source.unmet_demand.machine_types = self.context.machine_types or {}
        return source

    async def _load_team(self, team_name: str) -> StoredTeam:
        return StoredTeam(
            allocations=await self.reader.list_prefix(allocation_prefix(team_name)),
            progress=await self.reader.list_prefix(progress_prefix(team_name)),
            eviction_grants=await self.reader.read_key(grants_key(team_name)),
        )

    async def _install_allocations(
        self, source: JobSource, team_name: str, stored_team: StoredTeam, now: float
    ) -> None:
        """Install a team's stored allocations; other tasks get a turn between its chunks."""
        loader = source.record_loader
        for _ in loader.install_in_steps(team_name, stored_team.allocations, now):
            await anyio.lowlevel.checkpoint()

    def _add_live_jobs(self, held: HeldShard, source: JobSource, now: float) -> None:
        """Add the live jobs of the shard's teams to the source, with their age since submission.

        Ends the jobs that were added by an earlier call and have ended since.
        """
        team_shard = self.context.shard_map.team_shard
        live_jobs = self.context.store_cache.live_jobs
        for job_id, job_state in list(source.jobs.items()):
            if job_state.job is not None and job_id not in live_jobs:
                source.on_job(None, job_id, 0, now)
        for job_id, (job, version) in live_jobs.items():
            known = source.jobs.get(job_id)
            if known is not None and known.job is not None and known.version == version:
                continue
            if team_shard.get(job.team) == held.shard:
                age_s = max(0.0, self.context.wall_clock() - job.submitted_at)
                source.on_job(job, job_id, version, now, age_s)

    def _publish_source(self, held: HeldShard, source: JobSource, now: float) -> None:
        """Install the loaded source: from now on it takes decisions and receives owner updates."""
        held.source = source
        self.routing.update_owners(held, source, now)
        self._replay_owner_updates(held)
        log.info("job queue ready", shard=held.shard, epoch=held.epoch, jobs=len(source.jobs))
        self.context.wake_scheduling()

    def _replay_owner_updates(self, held: HeldShard) -> None:
        """Replay the owners' updates: the source may have lacked the allocations that they name."""
        self.routing.replay(held.shard, (peer_messages.OWNER_TO_SOURCE,))

    async def _write_loop(self, held: HeldShard, source: JobSource) -> None:
        """Commit the source's decisions, one transaction at a time, while the shard is held."""
        while not held.released:
            available = self.context.store.writes.available()
            with self.context.step_timer.measure("write planning"):
                write = source.next_write(int(available - SUBMISSION_RESERVE))
            if write is None:
                await self._wait_for_decisions(held)
                continue
            try:
                revision, failed = await self.context.store.compare_and_swap(
                    write.compare,
                    write.puts,
                    write.deletes,
                    reserve=SUBMISSION_RESERVE,
                    max_wait_s=MAX_RESERVE_WAIT_S,
                )
            except RequestRefusedError:
                jitter = self.context.random.random()
                await anyio.sleep(REFUSED_WRITE_PAUSE_S + REFUSED_WRITE_PAUSE_S * jitter)
                continue
            except OutcomeUnknownError:
                source.writer.on_outcome_unknown(write)
                await self._reload(held, source, write, source.writer.teams_of(write))
                continue
            if not failed:
                self._on_committed(source, write, revision)
            elif not await self._on_compare_failed(held, source, write, failed):
                return
            self.on_store_changed()
            self.context.wake_scheduling()
            await anyio.sleep(self.context.settings.options.write_every_s)

    async def _wait_for_decisions(self, held: HeldShard) -> None:
        held.write_wake = anyio.Event()
        with anyio.move_on_after(IDLE_WRITE_INTERVAL_S):
            await held.write_wake.wait()

    def _on_committed(self, source: JobSource, write: PendingWrite, revision: int) -> None:
        now = self.context.clock()
        for key, value in write.puts.items():
            if key.startswith(JOB_PREFIX):
                self.context.store_cache.apply_own_write(key, value, revision)
        with self.context.step_timer.measure("write outcome"):
            source.on_committed(write, revision, now)

    async def _on_compare_failed(
        self, held: HeldShard, source: JobSource, write: PendingWrite, failed: list[str]
    ) -> bool:
        """Reload the records that the write was based on.

        Returns false, without reloading, if the shard's key has changed.
        """
        log.info("compare-and-swap failed", shard=held.shard, keys=",".join(failed))
        if shard_key(held.shard) in failed:
            self.on_superseded(held.shard)
            return False
        await self._reload(held, source, write, source.writer.on_compare_failed(write, failed))
        return True

    async def _reload(
        self, held: HeldShard, source: JobSource, write: PendingWrite, teams: list[str]
    ) -> None:
        """Reload the records of a write whose compare-and-swap failed or has an unknown outcome.

        The stored records are authoritative. If the write is executed later, its comparisons fail.
        """
        for team_name in teams:
            found = await self.reader.list_prefix(allocation_prefix(team_name))
            source.record_loader.install_allocations(team_name, found, self.context.clock())
        for team_name in write.eviction_grants:
            source.grants.install_grants(
                team_name, *await self.reader.read_key(grants_key(team_name))
            )
        self._replay_owner_updates(held)
        if write.ended_jobs:
            await self.is_current()
        self.on_store_changed()
        self.context.wake_scheduling()
