"""A simple model in virtual time of the store, agents and network that the protocol describes.

It runs the real decision code (ShardOwner, JobSource, state channels, StoreCache) under seeded
losses, delays, crashes, partitions and late messages. It checks the rules at every step, only
against what runs on the machines.
"""

from __future__ import annotations

from random import Random
from typing import Any

from ploverhall.coordination.shard_map import ShardMap
from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.jobs import Job
from ploverhall.settings import Team
from ploverhall.storage.schema import JOB_PREFIX, SHARD_PREFIX, end_record

from . import task_rules
from .event_queue import EventQueue
from .model_agent import ModelAgent
from .model_controller import ModelController
from .model_faults import DEFAULT_KINDS, FaultInjector
from .model_messages import ModelMessages
from .model_store import ModelStore
from .task_rules import RuleBrokenError

TEAM_COUNT = 4
TEAM_MAX_GPUS = 10
CONTROLLER_ZONES = "aba"
MACHINE_ZONES = "ab"
TICK_S = 0.05
FIRST_FAULT_AT_S = 3.0
RETRY_S = 1.0
# Time without a holder after which any controller, not only the preferred one, claims a shard
ORPHANED_SHARD_S = 3.0
LEASE_LOSS_SHARE = 0.003  # probability per step that a shard's holder is superseded


class DecisionModel(EventQueue):
    """Controllers, store, agents, users and faults, with a check of the rules at every step."""

    def __init__(
        self,
        seed: int,
        machines: int = 9,
        value_bytes: int = 4096,
        txn_ops: int = 8,
        fault_intensity: float = 1.0,
        kinds: tuple[int, ...] = DEFAULT_KINDS,
        cut_off: float = 60.0,
        copies: float = 0.0,
        command_copies: float = 0.0,
    ) -> None:
        super().__init__()
        self.cut_off = cut_off  # the barrier's setting, for controllers that are cut off
        self.copies = copies  # share of heartbeats delivered again, up to three leases later
        # Share of direct commands that are delivered again, up to 60 s after they were answered
        self.command_copies = command_copies
        self.command_copy_rng = Random(seed + 2_000_000)
        # `fault_intensity` 0: no faults, else it scales message delays; `kinds` of faults to draw
        self.fault_intensity, self.kinds = fault_intensity, kinds
        self.down_until = 0.0  # until then the store refuses all requests
        # Additional running time of some tasks, in seconds
        self.extra_s: dict[tuple[str, int], float] = {}
        self.rng = Random(seed)
        # Separate, so that gossip does not change other draws
        self.gossip_rng = Random(seed + 1_000_000)
        self.store = ModelStore()
        self.value_bytes, self.txn_ops = value_bytes, txn_ops
        self.teams = {
            name: Team(name, 0, 0, 4, TEAM_MAX_GPUS)
            for name in (f"team-{i}" for i in range(TEAM_COUNT))
        }
        names = [(f"c{i}", zone) for i, zone in enumerate(CONTROLLER_ZONES)]
        self.layout = ShardMap(names, list(self.teams))
        self.specs: dict[str, Job] = {}
        self.results: set[tuple[str, int]] = set()
        self.cancelled: dict[str, float] = {}  # when users were told of each cancellation
        self.cuts: dict[tuple[str, str], float] = {}  # end of each partition, by both names
        self.messages = ModelMessages(self)
        self.faults = FaultInjector(self)
        self.nodes: list[ModelController] = []
        for i, zone in enumerate(CONTROLLER_ZONES):
            self.nodes.append(ModelController(self, i, zone))
        self.orphaned_since: dict[int, float] = {}  # when each shard lost its holder
        self.workers = {
            name: ModelAgent(self, name, MACHINE_ZONES[i % 2], i % 4 == 3)
            for i, name in enumerate(f"n-{i}" for i in range(machines))
        }
        self.starts = 0
        for agent in self.workers.values():
            self.schedule(self.rng.random(), self.messages.send_heartbeat, agent)
        self.schedule(0.0, self.tick)
        self.schedule(FIRST_FAULT_AT_S, self.faults.inject)

    # -- network and faults --------------------------------------------------------------------

    def delay(self, rng: Random | None = None) -> float:
        """Draw a message's delay in seconds: mostly short, up to about 0.5 s at intensity 1."""
        return 0.002 + ((rng or self.rng).random() ** 6) * 0.5 * self.fault_intensity

    def deferred(self, controller: ModelController, call: Any, *args: Any) -> bool:
        """Postpone a call if the controller's event loop is stalled, and return whether it is.

        Postponed calls are made in random order, within 0.06 s after the stall.
        """
        if not controller.stalled:
            return False
        after = controller.stalled_until - self.now + 0.06 * self.rng.random()
        self.schedule(after, call, *args)
        return True

    def cut(self, a: Any, b: Any) -> bool:
        """Return whether two controllers, or a controller and a machine, are partitioned."""
        controllers = isinstance(a, ModelController) and isinstance(b, ModelController)
        if controllers and (a.partitioned or b.partitioned):
            return True
        return self.cuts.get(_link(a.name, b.name), 0.0) > self.now

    def partition(self, a: str, b: str, s: float) -> None:
        """Partition two hosts, given by name, from each other for s seconds from now."""
        self.cuts[_link(a, b)] = self.now + s

    def partition_zone(self, controller: ModelController, s: float) -> None:
        """Partition a controller and its zone's machines from everything else for s seconds.

        Does nothing while another controller is partitioned so.
        """
        if any(other.partitioned for other in self.nodes):
            return
        controller.partitioned_until = self.now + s
        for agent in self.workers.values():
            for other in self.nodes:
                if (other is controller) != (agent.zone == controller.zone):
                    self.partition(other.name, agent.name, s)

    def crash(self, controller: ModelController, down_s: float) -> None:
        """Stop a controller's process; it starts again with empty memory after `down_s`."""
        controller.starts += 1
        controller.held.clear()
        controller.up_at = self.now + down_s

        def start_again(starts: int) -> None:
            if controller.starts == starts:
                controller.boot()

        self.schedule(down_s, start_again, controller.starts)

    # -- steps ---------------------------------------------------------------------------------

    def tick(self) -> None:
        """Run one step of every agent and controller, and check the rules."""
        self.schedule(TICK_S, self.tick)
        for agent in self.workers.values():
            if self.now >= agent.hung_until:
                agent.tick()
        task_rules.advance_gangs(self)
        for controller in self.nodes:
            if controller.up and not controller.stalled:
                self._step(controller)
            if not self._cannot_renew_lease(controller):
                controller.lease_not_renewed_since = None
            elif controller.lease_not_renewed_since is None:
                controller.lease_not_renewed_since = self.now
        task_rules.check_machines(self)

    def _step(self, controller: ModelController) -> None:
        if controller.reaches_store and self._watch_delivers(controller):
            if controller.replica.ready:
                controller.read_store_changes()
            else:
                controller.load_store()
        controller.handle_store_changes()
        if controller.reaches_store and controller.replica.ready:
            self._claim_shards(controller)
        controller.step()

    def _watch_delivers(self, controller: ModelController) -> bool:
        drawn = self.rng.random() < 0.7
        return (drawn and self.now >= controller.watch_hangs_until) or self.fault_intensity <= 0

    def _claim_shards(self, controller: ModelController) -> None:
        """Claim this controller's own shards, and those whose holder does not renew its lease."""
        for shard in range(len(self.nodes)):
            value, version = self.store.kv.get(f"{SHARD_PREFIX}{shard}", (None, 0))
            holder = value["node"] if value else None
            if holder == controller.name and (
                shard not in controller.held or controller.held[shard].epoch != version
            ):
                self._claim(controller, shard, version)
            elif holder is None or self._cannot_renew_lease(self.nodes[int(holder[1])]):
                since = self.orphaned_since.setdefault(shard, self.now)
                if shard == controller.index or self.now - since > ORPHANED_SHARD_S:
                    self._claim(controller, shard, version)
            elif shard == controller.index and self.rng.random() < LEASE_LOSS_SHARE:
                # as if the holder's lease had expired: it is superseded without noticing
                self._claim(controller, shard, version)

    @staticmethod
    def _cannot_renew_lease(controller: ModelController) -> bool:
        return not controller.up or controller.stalled or not controller.reaches_store

    def _claim(self, controller: ModelController, shard: int, version: int) -> None:
        key = f"{SHARD_PREFIX}{shard}"
        epoch, failed = self.store.txn({key: version}, {key: {"node": controller.name}}, [])
        if not failed:
            self.orphaned_since.pop(shard, None)
            controller.acquire(shard, epoch)

    # -- users ---------------------------------------------------------------------------------

    def submit(self, job: Job) -> None:
        """Submit a job; during an outage, retry every `RETRY_S`."""
        if self.now < self.down_until:
            self.schedule(RETRY_S, self.submit, job)
            return
        self.specs[job.id] = job
        self.store.txn({JOB_PREFIX + job.id: 0}, {JOB_PREFIX + job.id: job.record()}, [])

    def live(self) -> list[str]:
        """Return the keys of jobs that have not ended."""
        return [
            key
            for key, (value, _) in self.store.kv.items()
            if key.startswith(JOB_PREFIX) and isinstance(value, list)
        ]

    def withdraw(self, job_id: str) -> None:
        """Ask a reachable controller to cancel a job; retry until one acknowledges it."""
        key = JOB_PREFIX + job_id
        value, version = self.store.kv.get(key, (None, 0))
        if isinstance(value, list) and self.now < self.down_until:
            self.schedule(RETRY_S, self.withdraw, job_id)
            return
        if isinstance(value, list):
            version, _ = self.store.txn({key: version}, {key: end_record("withdrawn", 0)}, [])
        elif value is None or value["s"] != "withdrawn":
            return
        reachable = [
            controller
            for controller in self.nodes
            if controller.up and not controller.partitioned and not controller.stalled
        ]
        controller = self.rng.choice(reachable) if reachable else None
        if controller is not None and self._acknowledges(controller, version):
            self.cancelled.setdefault(job_id, self.now)
        else:
            self.schedule(RETRY_S, self.withdraw, job_id)

    def _acknowledges(self, controller: ModelController, version: int) -> bool:
        """Return whether a controller acknowledges a cancellation.

        It answers from its cache of the store, also during an outage.
        """
        return (
            controller.replica.ready
            and controller.replica.revision >= version
            and controller.barrier.may_acknowledge(version, self.now)
        )

    # -- rules ---------------------------------------------------------------------------------

    def check_done(self, job_id: str) -> None:
        """Check that every task of a job recorded as done is done.

        Raises:
            RuleBrokenError: a task is not done.
        """
        task_count = self.specs[job_id].task_count
        if any((job_id, i) not in self.results for i in range(task_count)):
            raise RuleBrokenError(f"not_done: {job_id} at {self.now}")

    def started(self, agent: ModelAgent, attempt: AttemptId) -> None:
        """Count the start of a task, and check that it may run there."""
        self.starts += 1
        task_rules.check_start(self, agent, attempt)


def _link(a: str, b: str) -> tuple[str, str]:
    return min(a, b), max(a, b)


def draw_job(rng: Random, job_id: str, at: float) -> Job:
    """Draw a job of random kind and size, submitted at time `at`."""
    kind = rng.choice(["array", "array", "gang", "service"])
    task_count = rng.choice([1, 2, 5, 9]) if kind == "array" else rng.choice([1, 2, 3])
    single_zone = kind == "gang" and rng.random() < 0.5
    return Job(
        id=job_id,
        job_class=kind,
        team=f"team-{rng.randrange(TEAM_COUNT)}",
        kind=kind,
        priority=rng.randrange(4),
        task_count=task_count,
        cpus=2.0,
        gpus=rng.choice([1.0, 2.0]),
        memory_gb=8.0,
        image=f"i{rng.randrange(3)}",
        image_gb=2.0,
        machine_types=None,
        zone=None,
        single_zone=single_zone,
        spread_zones=kind == "service" and rng.random() < 0.5,
        spot=kind == "array",
        estimate_s=rng.choice([2.0, 8.0, 20.0]),
        checkpoint_s=0.0,
        save_s=0.0,
        deadline_s=None,
        submitted_at=at,
    )
