"""A shard that a controller of the decision model holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ploverhall.scheduling.permitting import JobSource
from ploverhall.scheduling.shard_owner import ShardOwner
from ploverhall.storage.schema import allocation_prefix, progress_prefix

from . import parameters

if TYPE_CHECKING:
    from .model_controller import ModelController

SOURCE_CHANNEL, OWNER_CHANNEL = "s", "o"


def copied(value: Any) -> Any:
    """Return a deep copy of a JSON-encodable value; tuples become lists."""
    if isinstance(value, dict):
        return {key: copied(item) for key, item in value.items()}
    return [copied(item) for item in value] if isinstance(value, (list, tuple)) else value


class ModelShard:
    """A shard that a controller holds: its source of jobs and its owner of machines."""

    def __init__(self, controller: ModelController, shard: int, epoch: int) -> None:
        model = controller.model
        self.controller, self.shard, self.epoch = controller, shard, epoch
        self.writing = False  # whether a write is in progress
        self.owner = ShardOwner(
            shard,
            epoch,
            len(model.nodes),
            parameters.LEASE_S,
            parameters.HEARTBEAT_S,
            5.0,
            5,
            model.rng,
            model.now,
        )
        self.owner.machine_types = {"t": parameters.MACHINE_TYPE}
        self.owner.inventory.usage.resources_of_job = lambda job_id: (
            controller.replica.live_jobs[job_id][0].resources
            if job_id in controller.replica.live_jobs
            else None
        )
        self.owner.job_ended_in_store = controller.replica.ended_jobs.__contains__
        self.owner.job_cancelled_in_store = controller.replica.is_cancelled
        teams = [model.teams[team] for team in model.layout.teams_of(shard)]
        # the allocations are read after the claim, when no earlier holder can write them any more
        self.source = JobSource(shard, epoch, teams, ("a", "b"), model.value_bytes, model.txn_ops)
        self._read_jobs()
        for team in teams:
            self.read_allocations(team.name)
            self.source.record_loader.install_progress(
                team.name, model.store.read(progress_prefix(team.name))
            )
        for source in range(len(model.nodes)):
            controller.outbox.channel(SOURCE_CHANNEL, shard, source, epoch)

    def _read_jobs(self) -> None:
        model, cache = self.controller.model, self.controller.replica
        cache.apply(model.store.rev, model.store.since(cache.revision))
        for job_id, (job, version) in cache.live_jobs.items():
            if model.layout.team_shard[job.team] == self.shard:
                self.source.on_job(job, job_id, version, model.now)

    def read_allocations(self, team: str) -> None:
        """Read a team's allocations from the store."""
        model = self.controller.model
        self.source.record_loader.install_allocations(
            team, model.store.read(allocation_prefix(team)), model.now
        )
