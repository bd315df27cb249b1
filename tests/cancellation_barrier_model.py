"""Model of three controllers with clocks, a store and links, to test the cancellation barrier."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ploverhall.coordination.cancellation_barrier import (
    CancellationBarrier,
)
from ploverhall.protocol.peer_messages import (
    decode_gossip,
    encode_gossip,
)

CANCEL_S, LEASE_S, CUT_OFF_S = 46.0, 16.0, 60.0


CONTROLLER_NAMES = ("a", "b", "c")


STEP_S, MEMBER_LEASE_S = 0.25, 4.0


@dataclass
class ControllerModel:
    """A modelled controller. Only its name, clock and pause survive a restart."""

    name: str
    drift: float
    offset: float
    barrier: CancellationBarrier
    incarnation: int = 0
    revision: int = 0
    known_cancellations: set[int] = field(default_factory=set)
    has_lease: bool = False
    renewed_at: float = -1e9
    last_read_at: float = -1e9
    own_key_seen: bool = False  # whether the last read contained its own membership key
    paused_until: float = 0.0  # until then it does nothing, and its messages stay in the inbox
    inbox: list[tuple[str, Any]] = field(default_factory=list)


class BarrierModel:
    """Three controllers that answer agents whenever the barrier permits it.

    Each cancellation is acknowledged by the first controller whose barrier permits it.
    """

    def __init__(self, rng: Random, cancel: float, lease: float, cut_off: float) -> None:
        self.rng, self.cancel, self.lease, self.cut_off = rng, cancel, lease, cut_off
        self.t = 0.0
        self.revision = 10
        # Revision, event, controller
        self.log: list[tuple[int, str, str]] = []
        self.key_expiry: dict[str, float] = {}  # controller -> end of its lease
        self.cancelled_at: dict[int, float] = {}
        self.acknowledged: dict[int, float] = {}
        # Revision of a cancellation -> when a controller without it last answered agents
        self.last_uninformed_answer_at: dict[int, float] = {}
        self.outages: list[tuple[float, float]] = []  # of the store: start, end
        self.refusals: list[tuple[str, float, float]] = []
        # Source, destination, start, end, whether messages are delayed (else dropped)
        self.links: list[tuple[str, str, float, float, bool]] = []
        self.in_flight: list[tuple[float, int, str, str, Any]] = []
        self.message_count = 0
        self.controllers = {
            name: self.start_controller(name, rng.uniform(0.0, 0.0005), rng.uniform(0.0, 1000.0), 0)
            for name in CONTROLLER_NAMES
        }

    def start_controller(
        self, name: str, drift: float, offset: float, incarnation: int
    ) -> ControllerModel:
        now = offset + self.t * (1 + drift)
        others = [other for other in CONTROLLER_NAMES if other != name]
        return ControllerModel(
            name,
            drift,
            offset,
            CancellationBarrier(
                others, self.cancel, self.lease, self.cut_off, now, f"{name}{incarnation}"
            ),
            incarnation,
        )

    def can_reach_store(self, controller: ControllerModel) -> bool:
        return not any(s <= self.t < e for s, e in self.outages) and not any(
            x == controller.name and s <= self.t < e for x, s, e in self.refusals
        )

    def append_log(self, what: str, name: str) -> None:
        self.revision += 1
        self.log.append((self.revision, what, name))

    def cancel_job(self) -> None:
        if reach := [
            controller
            for controller in self.controllers.values()
            if self.can_reach_store(controller)
        ]:
            writer = self.rng.choice(reach)
            self.append_log("cancel", writer.name)
            self.cancelled_at[self.revision] = self.t
            writer.known_cancellations.add(self.revision)
            writer.barrier.record_cancellation(f"j-{self.revision:06d}", self.revision)

    def run(
        self,
        seconds: float,
        crashes: list[tuple[float, str]],
        pauses: list[tuple[float, str, float]],
        cancels: list[float],
    ) -> None:
        while self.t < seconds:
            self.t += STEP_S
            self.begin_due_events(crashes, pauses, cancels)
            self.expire_leases()
            self.deliver_messages()
            for controller in self.controllers.values():
                if self.t >= controller.paused_until:
                    self.step(controller)
            self.check()

    def begin_due_events(
        self,
        crashes: list[tuple[float, str]],
        pauses: list[tuple[float, str, float]],
        cancels: list[float],
    ) -> None:
        while cancels and cancels[0] <= self.t:
            cancels.pop(0)
            self.cancel_job()
        while crashes and crashes[0][0] <= self.t:
            old = self.controllers[crashes.pop(0)[1]]
            self.controllers[old.name] = self.start_controller(
                old.name, old.drift, old.offset, old.incarnation + 1
            )
        while pauses and pauses[0][0] <= self.t:
            _, name, duration_s = pauses.pop(0)
            self.controllers[name].paused_until = self.t + duration_s

    def expire_leases(self) -> None:
        down = any(s <= self.t < e for s, e in self.outages)
        for name, until in list(self.key_expiry.items()):
            if down:
                # An outage of the store restarts the full duration of each lease
                self.key_expiry[name] = self.t + MEMBER_LEASE_S
            elif until < self.t:
                del self.key_expiry[name]
                self.append_log("left", name)

    def deliver_messages(self) -> None:
        while self.in_flight and self.in_flight[0][0] <= self.t:
            _, _, src, dst, encoded = heapq.heappop(self.in_flight)
            self.controllers[dst].inbox.append((src, encoded))

    def check(self) -> None:
        """Raise AssertionError if a job may run for more than `cancel` s once acknowledged."""
        for version, at in self.acknowledged.items():
            late = self.last_uninformed_answer_at.get(version, -1e9)
            if late + self.lease > at + self.cancel:
                raise AssertionError(
                    f"cancellation acknowledged at {at}, but agents of a "
                    f"controller that did not know of it were answered at {late}"
                )

    def step(self, controller: ControllerModel) -> None:
        now = controller.offset + self.t * (1 + controller.drift)
        parts: list[Callable[[ControllerModel, float], None]] = [
            self.receive_gossip,
            self.answer_agents,
            self.renew_lease_and_read,
            self.acknowledge,
        ]
        self.rng.shuffle(parts)  # these run in any order, also after a pause
        for part in parts:
            part(controller, now)
        if int(self.t / STEP_S) % 2 == 0:
            for other in controller.barrier.peers:
                self.send(
                    controller,
                    other,
                    encode_gossip(controller.barrier.gossip_for(other, controller.revision, now)),
                )

    def send(self, controller: ControllerModel, other: str, encoded: Any) -> None:
        at = self.t + 0.05 + 0.2 * self.rng.random()
        for src, dst, s, e, holds in self.links:
            if (src, dst) == (controller.name, other) and s <= self.t < e:
                if not holds:
                    return
                at = max(at, e)
        self.message_count += 1
        heapq.heappush(self.in_flight, (at, self.message_count, controller.name, other, encoded))

    def receive_gossip(self, controller: ControllerModel, now: float) -> None:
        for src, encoded in controller.inbox:
            for one in controller.barrier.receive_gossip(src, decode_gossip(encoded), now):
                controller.known_cancellations.add(one.revision)
                controller.barrier.record_cancellation(one.job_id, one.revision)
        controller.inbox.clear()

    def answer_agents(self, controller: ControllerModel, now: float) -> None:
        if not controller.revision:
            return  # a controller holds no shard before its first read
        if controller.own_key_seen:
            controller.barrier.store_contacted(min(controller.last_read_at, controller.renewed_at))
        if not controller.barrier.isolated(now):
            for version in self.cancelled_at:
                if version not in controller.known_cancellations:
                    self.last_uninformed_answer_at[version] = self.t

    def renew_lease_and_read(self, controller: ControllerModel, now: float) -> None:
        if not self.can_reach_store(controller):
            return
        if controller.has_lease and controller.name not in self.key_expiry:
            controller.has_lease = False
        if controller.has_lease:
            self.key_expiry[controller.name] = self.t + MEMBER_LEASE_S
            controller.renewed_at = now
        elif self.rng.random() < 0.5:
            if controller.name not in self.key_expiry:
                self.append_log("came", controller.name)
            self.key_expiry[controller.name] = self.t + MEMBER_LEASE_S
            controller.has_lease, controller.renewed_at = True, now
        if self.rng.random() < 0.7:
            self.read(controller, now)

    def read(self, controller: ControllerModel, now: float) -> None:
        first = not controller.revision
        for version, what, _ in self.log:
            if version > controller.revision and what == "cancel":
                controller.known_cancellations.add(version)
                controller.barrier.record_cancellation(f"j-{version:06d}", version)
        controller.revision, controller.last_read_at, controller.own_key_seen = (
            self.revision,
            now,
            controller.name in self.key_expiry,
        )
        for name in controller.barrier.peers:
            if name in self.key_expiry:
                controller.barrier.peer_present(name, True, 0)
            else:
                left = max(
                    (v for v, what, x in self.log if what == "left" and x == name), default=0
                )
                controller.barrier.peer_absent(name, now, self.revision if first else left)

    def acknowledge(self, controller: ControllerModel, now: float) -> None:
        for version in self.cancelled_at:
            if (
                version not in self.acknowledged
                and version in controller.known_cancellations
                and controller.revision >= version
                and controller.barrier.may_acknowledge(version, now)
            ):
                self.acknowledged[version] = self.t


def run_random_history(seed: int) -> BarrierModel:
    """Run a random history with three outages of the store, and return the model.

    Just before each outage the store refuses one controller.
    """
    rng = Random(seed)
    cancel, lease = rng.choice([(46.0, 16.0), (38.0, 13.0), (30.0, 25.0)])
    model = BarrierModel(rng, cancel, lease, rng.choice([20.0, 60.0, 300.0]))
    names = list(CONTROLLER_NAMES)
    cancels: list[float] = []
    crashes: list[tuple[float, str]] = []
    pauses: list[tuple[float, str, float]] = []
    at = 20.0
    for _ in range(3):
        leader = rng.choice(names)
        before, s = (
            rng.choice([0.5, 2.0, 5.0, 7.0, 12.0, 30.0]),
            rng.choice([5.0, cancel, cancel + 30.0, 110.0]),
        )
        model.refusals.append((leader, at, at + before + rng.choice([0.5, 10.0, 60.0])))
        model.outages.append((at + before, at + before + s))
        cancels += [at + rng.uniform(0.0, before + 1.0) for _ in range(3)] + [
            at + before + s + rng.uniform(0.0, 5.0)
        ]
        for src in names:
            for dst in names:
                if src != dst and rng.random() < (0.6 if leader in (src, dst) else 0.15):
                    since = at + rng.uniform(-5.0, before + s)
                    model.links.append(
                        (
                            src,
                            dst,
                            since,
                            since + rng.choice([2.0, 10.0, 40.0, 90.0]),
                            rng.random() < 0.5,
                        )
                    )
        for _ in range(rng.choice([0, 1, 3])):
            crashes.append((at + rng.uniform(0.0, before + s), rng.choice(names)))
        for _ in range(rng.choice([0, 1, 2])):
            pauses.append(
                (
                    at + rng.uniform(0.0, before + s),
                    rng.choice(names),
                    rng.choice([1.0, 8.0, 25.0, 45.0]),
                )
            )
        at += before + s + 20.0
    model.run(at + 60.0, sorted(crashes), sorted(pauses), sorted(cancels))
    return model


def run_guard_history(guard: str) -> BarrierModel:
    """Run a history that breaks without `guard`, which random histories seldom need.

    The store refuses controller c.
    """
    model = BarrierModel(Random(1), CANCEL_S, LEASE_S, CUT_OFF_S)
    both = [(x, y) for x in "ab" for y in (x + "c", "c" + x)]
    crashes: list[tuple[float, str]] = []
    # c rejoins while a can't read, reads for the last time, and leaves before a reads again
    if guard == "left":
        model.refusals = [("c", 20.0, 62.0), ("a", 60.0, 75.0), ("c", 70.0, 300.0)]
        model.links = [(y[0], y[1], 0.0, 300.0, False) for _, y in both]
        cancel = 72.0
    # The peers' gossip to c is delayed for the whole obligation period; c's gossip is lost
    elif guard == "echo":
        model.refusals = [("c", 20.0, 300.0)]
        model.links = [("c", x, 40.0, 300.0, False) for x in "ab"] + [
            (x, "c", 39.5, 95.0, True) for x in "ab"
        ]
        model.links += [(x, "c", 43.0, 300.0, False) for x in "ab"]
        cancel = 45.0
    else:  # both peers confirm contact, crash, and restart while the store is down
        model.refusals, model.outages = [("c", 20.0, 300.0)], [(60.0, 200.0)]
        model.links = [(y[0], y[1], 20.0, 62.0, False) for _, y in both]
        crashes = [(60.5, "a"), (60.5, "b")]
        cancel = 22.0
    model.run(250.0, crashes, [], [cancel])
    assert model.acknowledged, "no cancellation was acknowledged, so nothing was checked"
    return model
