"""A controller of the decision model: the real decision code with simulated I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ploverhall.coordination.cancellation_barrier import CancellationBarrier
from ploverhall.coordination.state_channel import InboundChannels, OutboundChannels
from ploverhall.protocol import peer_messages
from ploverhall.protocol.jobs import CANCELLED
from ploverhall.storage.schema import JOB_PREFIX, WATCHED_PREFIX, end_record
from ploverhall.storage.store_cache import StoreCache

from . import parameters
from .model_shard import OWNER_CHANNEL, SOURCE_CHANNEL, ModelShard, copied

if TYPE_CHECKING:
    from .decision_model import DecisionModel

CONTROLLER_LEASE_S = 4.0
GOSSIP_INTERVAL_S = 0.5
STALL_S = 1.0  # a longer time between two steps counts as an event-loop stall
ROUNDS_PER_STEP = 3  # a controller handles its messages to itself in the same step
# A connection's number is its generation times this plus the receiver's `starts`
CONNECTION_NUMBERS = 1000
FRAME_ORDER_STEP_S = 0.0001  # minimum time between the arrivals of two frames


class ModelController:
    """One controller with its cache of the store; it can crash, stall and be partitioned."""

    stalled_until = 0.0  # it reads, does and sends nothing while its clock runs on
    watch_hangs_until = 0.0  # its watch of the store delivers nothing
    partitioned_until = 0.0  # only it and its zone's machines reach each other
    refused_until = 0.0  # the store refuses this controller
    lease_not_renewed_since: float | None = None  # None while its lease is renewed
    starts = 0  # number of restarts; messages to an earlier process are dropped

    def __init__(self, model: DecisionModel, index: int, zone: str) -> None:
        self.model, self.index, self.zone, self.name = model, index, zone, f"c{index}"
        self.boot()

    # -- life ----------------------------------------------------------------------------------

    def boot(self) -> None:
        """Start with empty memory."""
        now = self.model.now
        self.up_at = 0.0
        others = [f"c{i}" for i in range(3) if i != self.index]
        self.barrier = CancellationBarrier(
            others,
            parameters.CANCEL_S,
            parameters.LEASE_S,
            self.model.cut_off,
            now,
            f"{self.name} {self.starts}",
        )
        self.stepped_at = now
        self.replica = StoreCache()
        if self.reaches_store:
            self.load_store()
        self.inbox, self.outbox = InboundChannels(), OutboundChannels()
        self.held: dict[int, ModelShard] = {}
        self.generation: dict[str, int] = {}  # of the connection to each other controller
        self.last_arrival: dict[tuple[str, int, int], float] = {}  # by connection
        self.gossip_due: dict[str, float] = {}

    def load_store(self) -> None:
        """Read the store for the first time."""
        self.replica.load(self.model.store.read(WATCHED_PREFIX), self.model.store.rev)
        self.replica.ready = True
        self.barrier.store_contacted(self.model.now)
        for job_id, end in self.replica.ended_jobs.items():
            if end.outcome == CANCELLED:
                self.barrier.record_cancellation(job_id, end.version)
        self.replica.changed_jobs.clear()

    def read_store_changes(self) -> None:
        """Apply the changes of the store since the last read."""
        self.replica.apply(self.model.store.rev, self.model.store.since(self.replica.revision))
        self.barrier.store_contacted(self.model.now)

    @property
    def reaches_store(self) -> bool:
        """Return whether the store answers this controller."""
        store_down_until = max(self.model.down_until, self.refused_until)
        return not self.partitioned and self.model.now >= store_down_until

    @property
    def up(self) -> bool:
        """Return whether the controller's process is running."""
        return self.model.now >= self.up_at

    @property
    def stalled(self) -> bool:
        """Return whether the controller's event loop is stalled."""
        return self.model.now < self.stalled_until

    @property
    def partitioned(self) -> bool:
        """Return whether the controller is partitioned from all but its zone's machines."""
        return self.model.now < self.partitioned_until

    @property
    def isolated(self) -> bool:
        """Return whether it has been without the store and its peers for too long to act."""
        return self.barrier.isolated(self.model.now)

    # -- gossip --------------------------------------------------------------------------------

    def observe_peers(self) -> None:
        """Tell the barrier which peers' keys are in the store.

        A lease expires 4 s after its last renewal, and no lease expires during an outage.
        """
        for peer in self.model.nodes:
            if peer is self or not self.reaches_store:
                continue
            if (
                peer.lease_not_renewed_since is not None
                and self.model.now - max(peer.lease_not_renewed_since, self.model.down_until)
                > CONTROLLER_LEASE_S
            ):
                self.barrier.peer_absent(peer.name, self.model.now)
            else:
                self.barrier.peer_present(peer.name, True, 0)

    def send_gossip(self) -> None:
        """Send gossip to the peers, twice a second."""
        now = self.model.now
        for peer in self.model.nodes:
            if (
                peer is self
                or self.model.cut(self, peer)
                or now < self.gossip_due.get(peer.name, 0.0)
            ):
                continue
            self.gossip_due[peer.name] = now + GOSSIP_INTERVAL_S
            revision = self.replica.revision if self.replica.ready else 0
            gossip = peer_messages.encode_gossip(self.barrier.gossip_for(peer.name, revision, now))
            delay = self.model.delay(self.model.gossip_rng)
            self.model.schedule(delay, peer.receive_gossip, self.name, gossip, peer.starts)

    def receive_gossip(self, sender: str, gossip: dict[str, Any], starts: int) -> None:
        """Handle a peer's gossip and apply the cancellations in it."""
        if starts != self.starts or not self.up:
            return
        if self.model.deferred(self, self.receive_gossip, sender, gossip, starts):
            return
        decoded = peer_messages.decode_gossip(gossip)
        for cancellation in self.barrier.receive_gossip(sender, decoded, self.model.now):
            if (
                cancellation.revision > self.replica.revision
                and cancellation.job_id not in self.replica.ended_jobs
            ):
                self.replica.apply_own_write(
                    JOB_PREFIX + cancellation.job_id,
                    end_record(CANCELLED, 0),
                    cancellation.revision,
                )
        self.handle_store_changes()

    # -- shards and their channels -------------------------------------------------------------

    def holder(self, role: int) -> str | None:
        """Return the controller that holds a shard, as far as this controller knows."""
        return self.name if role in self.held else self.replica.holder(role)[0]

    def handle_store_changes(self) -> None:
        """Pass job changes to the held shards, and drop shards that were claimed by others."""
        changed, self.replica.changed_jobs = self.replica.changed_jobs, []
        for job_id in changed:
            self._handle_job_change(job_id)
        for held in list(self.held.values()):
            if self.replica.holder(held.shard)[1] > held.epoch:
                self.drop(held.shard)

    def _handle_job_change(self, job_id: str) -> None:
        now = self.model.now
        live = self.replica.live_jobs.get(job_id)
        end = self.replica.ended_jobs.get(job_id)
        if end is not None and end.outcome == CANCELLED:
            self.barrier.record_cancellation(job_id, end.version)
        for held in self.held.values():
            if live is not None:
                job, version = live
                if self.model.layout.team_shard[job.team] == held.shard:
                    held.source.on_job(job, job_id, version, now)
            else:
                held.owner.job_ended(job_id, now)
                if job_id in held.source.jobs and held.source.jobs[job_id].job is not None:
                    held.source.on_job(None, job_id, 0, now)

    def acquire(self, shard: int, epoch: int) -> None:
        """Start serving a claimed shard, with the messages already received for it."""
        self.held[shard] = ModelShard(self, shard, epoch)
        for (kind, source, target), (sent_epoch, state) in list(self.inbox.channels.items()):
            if target == shard:
                self.dispatch([kind, source, sent_epoch, target, True, dict(state)])

    def drop(self, shard: int) -> None:
        """Stop serving a shard."""
        del self.held[shard]
        self.outbox.drop((SOURCE_CHANNEL, OWNER_CHANNEL), shard)

    def replay_owner_channels(self, held: ModelShard) -> None:
        """Replay to a shard's source the state that the owners have sent it."""
        for (kind, source, target), (epoch, state) in list(self.inbox.channels.items()):
            if target == held.shard and kind == OWNER_CHANNEL:
                self.dispatch([kind, source, epoch, target, True, dict(state)])

    def dispatch(self, message: list[Any]) -> None:
        """Pass a message to its target shard, if this controller holds that shard."""
        kind, source, epoch, target, full, changes = message[:6]
        held = self.held.get(target)
        if held is None or epoch < self.replica.holder(source)[1]:
            return
        if kind == SOURCE_CHANNEL:
            held.owner.on_source_update(source, full, changes, self.model.now)
        else:
            held.source.on_owner_update(source, epoch, full, changes, self.model.now)

    def receive(self, batch: list[Any], starts: int) -> None:
        """Handle a frame, a batch of messages, from a peer."""
        if starts != self.starts or not self.up:
            return
        if self.model.deferred(self, self.receive, batch, starts):
            return
        for message in batch:
            if self.inbox.accept(message):
                self.dispatch(message)

    # -- a step of the event loop --------------------------------------------------------------

    def step(self) -> None:
        """Run the decisions, handle messages to itself, and send messages to the peers."""
        now = self.model.now
        if now - self.stepped_at > STALL_S:
            for held in self.held.values():
                held.owner.on_event_loop_stall(now - self.stepped_at, now)
        self.stepped_at = now
        self.observe_peers()
        self.send_gossip()
        for _ in range(ROUNDS_PER_STEP):
            for held in list(self.held.values()):
                self._step_shard(held, now)
            for message in self.outbox.collect(self.name, 0, self.holder):
                if self.inbox.accept(message):
                    self.dispatch(message)
        for peer in self.model.nodes:
            if peer is not self:
                self._send_to(peer)

    def _send_to(self, peer: ModelController) -> None:
        """Send a peer the messages of the outbound channels.

        Frames arrive in order on one connection, and in any order on different connections.
        """
        model, generation = self.model, self.generation.get(peer.name, 0)
        if model.cut(self, peer) or (model.fault_intensity > 0 and model.rng.random() < 0.01):
            self.generation[peer.name] = generation + 1  # the next frame uses a new connection
            return
        number = generation * CONNECTION_NUMBERS + peer.starts
        batch = self.outbox.collect(peer.name, number, self.holder)
        if not batch:
            return
        connection = (peer.name, generation, peer.starts)
        not_before = self.last_arrival.get(connection, 0.0) + FRAME_ORDER_STEP_S
        arrival = max(not_before, model.now + model.delay())
        self.last_arrival[connection] = arrival
        model.schedule(arrival - model.now, peer.receive, copied(batch), peer.starts)

    def _step_shard(self, held: ModelShard, now: float) -> None:
        self._step_owner(held, now)
        self._step_source(held, now)

    def _step_owner(self, held: ModelShard, now: float) -> None:
        owner, model = held.owner, self.model
        owner.advance_time(now)
        if owner.confirmation_needed:
            owner.confirmation_needed = False
            model.schedule(model.delay(), self.confirm_epochs, self.starts, now)
        owner.place_candidates(now)
        for machine, body in owner.direct_commands(now):
            model.messages.send_commands(self, held, machine, copied(body))
        for (source, key), value in owner.take_source_updates().items():
            channel = self.outbox.channel(OWNER_CHANNEL, held.shard, source, held.epoch)
            channel.put(key, copied(value))

    def _step_source(self, held: ModelShard, now: float) -> None:
        source, model = held.source, self.model
        source.decide(now)
        updates = source.take_owner_updates(len(model.nodes), now)
        for (owner, key), value in updates.items():
            channel = self.outbox.channel(SOURCE_CHANNEL, held.shard, owner, held.epoch)
            channel.put(key, copied(value))
        if not held.writing and (transaction := source.next_write()) is not None:
            held.writing = True
            model.messages.write(self, held, transaction)

    def confirm_epochs(self, starts: int, begun: float) -> None:
        """Confirm the epochs of the held shards by a linearizable read that began at `begun`."""
        if not self.reaches_store or starts != self.starts:
            return
        if self.model.deferred(self, self.confirm_epochs, starts, begun):
            return
        self.read_store_changes()
        self.handle_store_changes()
        for held in self.held.values():
            held.owner.epoch_confirmed_at = max(held.owner.epoch_confirmed_at, begun)
