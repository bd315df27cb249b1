"""Keeps the rented machines as known from the shard owners, the cloud's list and its responses.

`FleetState` holds all state of the autoscaler and applies the updates about machines. The classes
that make the decisions derive from it: `BootTracking`, `DemandForecast`, `ScaleOut`, `ScaleIn` and
`MaintenancePlanning`; `Autoscaler` combines them. No I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from ploverhall.maintenance.orders import MaintenanceOrder
from ploverhall.protocol.cloud import CloudMachine, MachineType
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import UNOBSERVED_MACHINES_KEY, MachineUpdate
from ploverhall.scheduling.machines import MachinePool
from ploverhall.scheduling.objectives import Objectives

MAX_DELETED_REPORTED = 300  # latest deleted machines that every shard owner is told about
# Deleted machines that are kept: a lagging list may still contain a whole deleted fleet
MAX_DELETED_KEPT = 10_000
MAX_BOOT_HISTORY = 64  # boots kept for each type and zone
# Backoff after the cloud has refused machines of a pool
INITIAL_REFUSAL_PAUSE_S = 5.0
REFUSAL_PAUSE_FACTOR = 1.6
MAX_REFUSAL_PAUSE_S = 60.0
# States in the cloud's list
CLOUD_BOOTING = "booting"
CLOUD_RUNNING = "running"
CLOUD_FAILED = "failed"
# Values of `MachineUpdate.draining`
DRAINING_UNTIL_DELETED = 1
DRAINING_BY_ORDER = 2


@dataclass(slots=True)
class RentedMachine:
    """A rented machine as the autoscaler knows it."""

    name: str
    pool: MachinePool
    rented_at: float
    cloud_state: str = ""  # from the cloud's list, empty before the machine was listed
    age_s: float = 0.0  # from the cloud's list
    # Latest update from the shard owner; None while the machine's agent sends no heartbeats
    update: MachineUpdate | None = None
    updated_at: float = 0.0  # when `update` last changed; 0: its agent has not sent a heartbeat yet
    shard: int = -1  # -1: no shard owner has reported the machine yet
    idle_since: float | None = None
    returning: bool = False
    draining: bool = False
    order_id: str | None = None  # the maintenance order that drains it


@dataclass(slots=True)
class Demand:
    """The waiting tasks of one job."""

    job: Job
    count: int
    zone_limits: dict[str, int] | None
    queue_order: tuple[float, ...]


@dataclass(slots=True)
class RentalRequest:
    """A request to rent up to `count` machines of one pool."""

    pool: MachinePool
    count: int


@dataclass(slots=True)
class ScalingPlan:
    """The machines to rent, and the names of the machines to return to the cloud."""

    scale_out: list[RentalRequest] = field(default_factory=list)
    scale_in: list[str] = field(default_factory=list)


class FleetState:
    """All state of the autoscaler.

    `idle_s` is the time a machine may be idle before it is drained, `headroom` the number of
    standard deviations of expected demand to keep capacity free for, `list_lag_s` the lag of the
    cloud's list, and `lease_s` the duration of a shard lease. All times are in seconds.
    """

    def __init__(
        self,
        epoch: int,
        idle_s: float,
        headroom: float,
        list_lag_s: float,
        lease_s: float,
        now: float,
    ) -> None:
        self.epoch = epoch
        self.idle_s = idle_s
        self.headroom = headroom
        self.list_lag_s = list_lag_s
        self.lease_s = lease_s
        self.started = now
        self.now = 0.0
        self.wall_time = 0.0

        # Set by the controller
        self.machine_types: dict[str, MachineType] = {}
        self.objectives = Objectives()
        self.orders: list[MaintenanceOrder] = []

        # Machines
        self.machines: dict[str, RentedMachine] = {}
        self.machines_per_pool: dict[MachinePool, int] = {}
        self.missing_since: dict[str, float] = {}
        # By shard: the machines that have permits but whose state only the cloud can tell
        self.unobserved_by_shard: dict[int, tuple[str, ...]] = {}
        self.deleted: dict[str, float] = {}  # name -> when, oldest first
        self.list_count = 0  # complete lists of the cloud's machines that were applied
        self.request_count = 0
        # Pool -> (time until which it is not requested, duration of that backoff in seconds)
        self.refused_pools: dict[MachinePool, tuple[float, float]] = {}

        # Demand: waiting tasks by (source shard, job id), and recently accepted jobs by job id as
        # (accepted at, job)
        self.demand: dict[tuple[int, str], Demand] = {}
        self.arrivals: dict[str, tuple[float, Job]] = {}

        # Boots by (type, zone), as (rented at, up at), oldest first
        self.boot_history: dict[tuple[str, str], deque[tuple[float, float]]] = {}
        # By (type, zone): number of booting machines that are not overdue
        self.booting_on_time: dict[tuple[str, str], int] = {}
        # By (type, zone): number of machines that should be up by now, not counting those that are
        # late although enough machines rented later are up
        self.overdue: dict[tuple[str, str], int] = {}

        # Maintenance
        self.order_wait_reasons: dict[str, str] = {}
        self.orders_evaluated = False  # at least once, with the cloud's list known

    def next_request_id(self) -> str:
        """Return a new unique id for a request to the cloud."""
        self.request_count += 1
        return f"r-{self.epoch}-{self.request_count}"

    # -- inputs ------------------------------------------------------------------------------

    def on_owner_update(self, shard: int, full: bool, changes: dict[str, Any], now: float) -> None:
        """Apply a shard owner's update of its machines by name and of its unobserved machines.

        A value of None means that the machine's agent no longer sends heartbeats. With `full`,
        `changes` holds all machines of the shard that send heartbeats. Unobserved machines are
        those that have permits but whose state only the cloud can tell.
        """
        unobserved = changes.get(UNOBSERVED_MACHINES_KEY) or ()
        if full or UNOBSERVED_MACHINES_KEY in changes:
            self.unobserved_by_shard[shard] = tuple(unobserved)
        for name in unobserved:
            if name not in self.deleted:
                self.missing_since.setdefault(name, now)
        if full:
            for machine in self.machines.values():
                if (
                    machine.shard == shard
                    and machine.update is not None
                    and machine.name not in changes
                ):
                    self._on_agent_lost(machine, now)
        for name, value in changes.items():
            if name == UNOBSERVED_MACHINES_KEY:
                continue
            if value is not None:
                self._update_machine(shard, name, MachineUpdate(*value), now)
            elif (known := self.machines.get(name)) is not None and known.shard == shard:
                self._on_agent_lost(known, now)

    def _update_machine(self, shard: int, name: str, update: MachineUpdate, now: float) -> None:
        machine = self.machines.get(name)
        if machine is None:
            if name in self.deleted:
                return
            pool = (update.type, update.zone, bool(update.spot))
            machine = self._add_machine(RentedMachine(name, pool, now))
        if machine.update is None and not machine.updated_at:
            boots = self.boot_history.setdefault(machine.pool[:2], deque(maxlen=MAX_BOOT_HISTORY))
            boots.append((machine.rented_at, now))
        machine.update = update
        machine.shard = shard
        machine.updated_at = now
        if not update.idle:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now

    def _on_agent_lost(self, machine: RentedMachine, now: float) -> None:
        """Record that a machine's agent no longer sends heartbeats."""
        if machine.update is not None:
            machine.update = None
            machine.updated_at = now
            machine.idle_since = None

    def _add_machine(self, machine: RentedMachine) -> RentedMachine:
        self.machines[machine.name] = machine
        self.machines_per_pool[machine.pool] = self.machines_per_pool.get(machine.pool, 0) + 1
        return machine

    def on_rented(self, names: list[str], pool: MachinePool, requested: int, now: float) -> None:
        """Record the machines that the cloud has rented out in response to one request.

        Fewer machines than requested count as a refusal.
        """
        for name in names:
            if name not in self.machines:
                self._add_machine(RentedMachine(name, pool, now))
        if len(names) < requested:
            self.on_refused(pool, now)
        else:
            self.refused_pools.pop(pool, None)

    def on_refused(self, pool: MachinePool, now: float) -> None:
        """Back off from a pool that the cloud has no machines of, for longer each time."""
        _, last_pause_s = self.refused_pools.get(pool, (0.0, INITIAL_REFUSAL_PAUSE_S))
        pause_s = min(MAX_REFUSAL_PAUSE_S, last_pause_s * REFUSAL_PAUSE_FACTOR)
        self.refused_pools[pool] = (now + pause_s, pause_s)

    def on_cloud_list(self, items: list[CloudMachine], requested_at: float, now: float) -> None:
        """Apply a complete list of the cloud's machines.

        The list may describe the fleet as it was up to twice the list's lag before the request. A
        machine missing from the list counts as deleted only if it was last known to exist longer
        before the request than that.
        """
        self.list_count += 1
        listed_names = set()
        for listed in items:
            listed_names.add(listed.name)
            if listed.name not in self.deleted:
                self._update_listed(listed, now)
        max_list_age_s = 2.0 * self.list_lag_s + 1.0
        for name, machine in list(self.machines.items()):
            if name in listed_names or machine.update is not None:
                continue
            # The machine existed at this time and is missing from a list that is certainly later
            last_known_at = max(machine.rented_at, machine.updated_at)
            if requested_at - last_known_at > max_list_age_s:
                self.on_deleted([name], now)
        for name, since in list(self.missing_since.items()):
            if name not in listed_names and requested_at - since > max_list_age_s:
                self.on_deleted([name], now)

    def _update_listed(self, listed: CloudMachine, now: float) -> None:
        machine = self.machines.get(listed.name)
        if machine is None:
            pool = (listed.type, listed.zone, listed.spot)
            machine = self._add_machine(RentedMachine(listed.name, pool, now - listed.age_s))
        machine.cloud_state = listed.state
        machine.age_s = listed.age_s

    def on_deleted(self, names: list[str], now: float) -> None:
        """Remove machines that are proven to be gone, and remember their names."""
        for name in names:
            machine = self.machines.pop(name, None)
            if machine is not None:
                self.machines_per_pool[machine.pool] -= 1
            self.missing_since.pop(name, None)
            self.deleted.pop(name, None)  # re-inserted below, so that the latest comes last
            self.deleted[name] = now
        while len(self.deleted) > MAX_DELETED_KEPT:
            del self.deleted[next(iter(self.deleted))]

    # -- queries -----------------------------------------------------------------------------

    def deleted_for(self, shard: int) -> list[str]:
        """Return the deleted machines to report to a shard's owner, sorted by name.

        These are the latest deleted machines and all deleted ones among the shard's unobserved
        machines. Without the latter, a machine deleted before the latest `MAX_DELETED_REPORTED`
        would never be reported, and would count against its team's limit forever.
        """
        latest = list(self.deleted)[-MAX_DELETED_REPORTED:]
        unobserved = self.unobserved_by_shard.get(shard, ())
        return sorted({*latest, *(name for name in unobserved if name in self.deleted)})

    def draining_machines(self, shard: int) -> list[str]:
        """Return the machines of a shard that should take no new tasks, sorted by name."""
        return sorted(
            machine.name
            for machine in self.machines.values()
            if machine.shard == shard and (machine.draining or machine.returning)
        )

    def _price(self, pool: MachinePool) -> float:
        """Return the price of a machine of a pool; 0 for a type that the cloud no longer offers."""
        machine_type = self.machine_types.get(pool[0])
        return (
            0.0
            if machine_type is None
            else machine_type.spot_price
            if pool[2]
            else machine_type.price
        )

    def _backing_off(self, pool: MachinePool, now: float) -> bool:
        """Return whether the backoff after the cloud's last refusal of this pool still lasts."""
        return self.refused_pools.get(pool, (0.0, 0.0))[0] > now
