"""The renter: one role for the whole fleet, held by lease. Rents for what waits, returns what is idle.

No I/O: the sources' demand, the owners' machines and the cloud's list are passed in; actions come out.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from ploverhall.maintenance.orders import RUNNING, MaintenanceOrder
from ploverhall.protocol.cloud import CloudMachine, MachineType
from ploverhall.protocol.jobs import Job, from_record
from ploverhall.protocol.peer_messages import DemandUpdate, MachineUpdate
from ploverhall.scheduling.machines import MachinePool as Kind
from ploverhall.scheduling.objectives import Objectives
from ploverhall.scheduling.resources import ResourceVector, add_scaled, fits

# Times the nominal boot time: what the cloud's machines usually need at most
TYPICAL_BOOT_MULTIPLE = 1.6
BOOT_HISTORY_S = 300.0  # boots seen within this time count
# A machine that is up and whose worker nobody hears is given back after this and two leases
UNRESPONSIVE_S = 60.0
# Where most of its zone is not heard, after this: nothing runs there any more
ZONE_UNRESPONSIVE_S = 300.0
MIN_ZONE_SAMPLE = 4  # so many machines of a zone say something about the zone
MAX_DELETED_REPORTED = 300  # machines that went last: owners are told without asking
# Machines known to be gone: a list that lags may still name every one of a whole fleet
GONE_KEPT = 10_000
ARRIVAL_SLOT_S = 15.0  # arrivals are counted in slots of this length


@dataclass(slots=True)
class RentedMachine:
    """A machine as far as the renter knows."""

    name: str
    pool: Kind
    rented_at: float
    cloud_state: str = ""  # the cloud's state for it
    age_s: float = 0.0
    update: MachineUpdate | None = None  # an owner's, while a worker reports
    updated_at: float = 0.0
    shard: int = -1
    idle_since: float | None = None
    returning: bool = False
    draining: bool = False
    order_id: str | None = None  # the order that it is being emptied by


@dataclass(slots=True)
class Demand:
    """A job's tasks that wait."""

    job: Job
    count: int
    zone_limits: dict[str, int] | None
    queue_order: tuple[float, ...]


class FreeSlots:
    """Room by kind of machine, alike rooms counted as one: what is put in costs by how many rooms differ."""

    def __init__(self) -> None:
        self.slots: dict[Kind, dict[ResourceVector, int]] = {}

    def add(self, pool: Kind, free: ResourceVector, count: int = 1) -> None:
        """n more rooms of this size."""
        rooms = self.slots.setdefault(pool, {})
        rooms[free] = rooms.get(free, 0) + count
        if not rooms[free]:
            del rooms[free]

    def pack(self, resources: ResourceVector, count: int, pool: Kind) -> int:
        """Put up to n alike tasks into rooms of one kind, the smallest first; how many went in."""
        rooms = self.slots.get(pool)
        left = count
        while left > 0 and rooms:
            room = min((r for r in rooms if fits(resources, r)), default=None)
            if room is None:
                break
            # as many rooms at once as are alike and each takes all it can
            each = 1
            rest = add_scaled(room, resources, -1)
            while each < left and fits(resources, rest):
                rest = add_scaled(rest, resources, -1)
                each += 1
            times = min(rooms[room], left // each) or 1
            self.add(pool, room, -times)
            if any(x > 1e-3 for x in rest):
                self.add(pool, rest, times)
            left -= times * each
        return count - left


@dataclass(slots=True)
class RentalRequest:
    """Rent up to count machines."""

    pool: Kind
    count: int


@dataclass(slots=True)
class ScalingPlan:
    """What the renter does now."""

    scale_out: list[RentalRequest] = field(default_factory=list)
    scale_in: list[str] = field(default_factory=list)


class Autoscaler:
    """Decides what to rent and what to return."""

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
        self.machine_types: dict[str, MachineType] = {}
        self.objectives = Objectives()
        self.machines: dict[str, RentedMachine] = {}
        self.demand: dict[tuple[int, str], Demand] = {}
        self.machines_per_pool: dict[Kind, int] = {}  # machines by kind
        self.missing_since: dict[str, float] = {}
        # By part: the machines that its owner can't prove anything about just now
        self.unprovable_by_shard: dict[int, tuple[str, ...]] = {}
        self.refused_pools: dict[Kind, tuple[float, float]] = {}  # until, length of the last pause
        self.deleted: dict[str, float] = {}
        self.list_count = 0  # complete lists taken since this renter began
        self.request_count = 0
        # Jobs of the last minutes, for the spare room
        self.arrivals: dict[str, tuple[float, Job]] = {}
        self.wall_time = self.now = 0.0
        self.orders: list[MaintenanceOrder] = []  # to empty machines, as the store has them
        self.order_wait_reasons: dict[str, str] = {}
        self.orders_evaluated = False  # it has looked at the orders, with the cloud's list at hand
        # By type and zone: rented and up, newest last
        self.boot_history: dict[tuple[str, str], deque[tuple[float, float]]] = {}
        # Machines that boot and are not overdue yet
        self.booting_on_time: dict[tuple[str, str], int] = {}
        # Machines that should be up, where none rented after them has come
        self.overdue: dict[tuple[str, str], int] = {}

    def next_request_id(self) -> str:
        """A request name, used once."""
        self.request_count += 1
        return f"r-{self.epoch}-{self.request_count}"

    # -- inputs ------------------------------------------------------------------------------

    def on_source_update(self, source_shard: int, full: bool, changes: dict[str, Any]) -> None:
        """A source's waiting tasks."""
        if full:
            for key in [k for k in self.demand if k[0] == source_shard and k[1] not in changes]:
                del self.demand[key]
        for job_id, value in changes.items():
            if value is None:
                self.demand.pop((source_shard, job_id), None)
            else:
                news = DemandUpdate(*value)
                old = self.demand.get((source_shard, job_id))
                job = old.job if old is not None else from_record(news.record)
                self.demand[source_shard, job_id] = Demand(
                    job, news.waiting_tasks, news.zone_limits, tuple(news.queue_order)
                )

    def on_owner_update(self, shard: int, full: bool, changes: dict[str, Any], now: float) -> None:
        """An owner's machines, and those it can't prove anything about ("?")."""
        if full or "?" in changes:
            self.unprovable_by_shard[shard] = tuple(changes.get("?") or ())
        for name in changes.get("?") or ():
            if name not in self.deleted:
                self.missing_since.setdefault(name, now)
        if full:
            for machine in [
                machine
                for machine in self.machines.values()
                if machine.shard == shard
                and machine.update is not None
                and machine.name not in changes
            ]:
                self._agent_lost(machine, now)
        for name, value in changes.items():
            if name == "?":
                continue
            known = self.machines.get(name)
            if value is None:
                if known is not None and known.shard == shard:
                    self._agent_lost(known, now)
                continue
            view = MachineUpdate(*value)
            if known is None:
                if name in self.deleted:
                    continue
                known = self._add_machine(
                    RentedMachine(name, (view.type, view.zone, bool(view.spot)), now)
                )
            if known.update is None and not known.updated_at:
                seen = self.boot_history.setdefault(known.pool[:2], deque(maxlen=64))
                seen.append((known.rented_at, now))
            known.update = view
            known.shard = shard
            known.updated_at = now
            if not view.idle:
                known.idle_since = None
            elif known.idle_since is None:
                known.idle_since = now

    def _agent_lost(self, machine: RentedMachine, now: float) -> None:
        """No worker reports from it any more."""
        if machine.update is not None:
            machine.update = None
            machine.updated_at = now
            machine.idle_since = None

    def _add_machine(self, machine: RentedMachine) -> RentedMachine:
        self.machines[machine.name] = machine
        self.machines_per_pool[machine.pool] = self.machines_per_pool.get(machine.pool, 0) + 1
        return machine

    def on_job(self, job: Job, now: float) -> None:
        """A job was accepted: what comes often needs room that is ready."""
        self.arrivals[job.id] = (now, job)
        while len(self.arrivals) > 500:
            del self.arrivals[next(iter(self.arrivals))]

    def on_rented(self, names: list[str], pool: Kind, requested: int, now: float) -> None:
        """The cloud's answer to a request."""
        for name in names:
            if name not in self.machines:
                self._add_machine(RentedMachine(name, pool, now))
        if len(names) < requested:
            self.on_refused(pool, now)
        else:
            self.refused_pools.pop(pool, None)

    def on_refused(self, pool: Kind, now: float) -> None:
        """No capacity: remembered for a while, longer each time, and forgotten again."""
        pause = min(60.0, self.refused_pools.get(pool, (0.0, 5.0))[1] * 1.6)
        self.refused_pools[pool] = (now + pause, pause)

    def on_cloud_list(self, items: list[CloudMachine], requested_at: float, now: float) -> None:
        """One complete list of the cloud; it may describe the fleet as it was up to twice the lag ago."""
        self.list_count += 1
        seen = set()
        for listed in items:
            seen.add(listed.name)
            if listed.name in self.deleted:
                continue
            machine = self.machines.get(listed.name)
            if machine is None:
                machine = self._add_machine(
                    RentedMachine(
                        listed.name, (listed.type, listed.zone, listed.spot), now - listed.age_s
                    )
                )
            machine.cloud_state = listed.state
            machine.age_s = listed.age_s
        old = 2.0 * self.list_lag_s + 1.0
        for name, machine in list(self.machines.items()):
            # it existed, and a list that is surely younger does not have it: it was taken or deleted
            if (
                name not in seen
                and requested_at
                - max(
                    machine.rented_at,
                    machine.updated_at if machine.update is None else requested_at,
                )
                > old
                and machine.update is None
            ):
                self.on_deleted([name], now)
        for name, since in list(self.missing_since.items()):
            if name not in seen and requested_at - since > old:
                self.on_deleted([name], now)

    def on_deleted(self, names: list[str], now: float) -> None:
        """These machines are gone for certain."""
        for name in names:
            machine = self.machines.pop(name, None)
            if machine is not None:
                self.machines_per_pool[machine.pool] -= 1
            self.missing_since.pop(name, None)
            self.deleted.pop(name, None)  # the newest stand last
            self.deleted[name] = now
        while len(self.deleted) > GONE_KEPT:
            del self.deleted[next(iter(self.deleted))]

    # -- decisions ---------------------------------------------------------------------------

    def plan(self, now: float, wall_time: float) -> ScalingPlan:
        """The difference between what is wanted and what is."""
        out = ScalingPlan()
        self.wall_time = wall_time
        self.now = now
        self._plan_scale_in(now, out)
        if self.list_count and self.machine_types:
            self._plan_scale_out(now, out)
            self._advance_maintenance(out)
        return out

    # -- orders to empty machines ------------------------------------------------------------

    def _advance_maintenance(self, plan: ScalingPlan) -> None:
        """Pick the machines that are emptied next: only where what they carry has room elsewhere, else rent that room first."""
        running = {
            maintenance_order.id: maintenance_order
            for maintenance_order in self.orders
            if maintenance_order.state == RUNNING
        }
        for machine in self.machines.values():
            if (
                machine.order_id is not None
                and machine.order_id not in running
                and not machine.returning
            ):
                machine.order_id = None  # paused or stopped: what has not gone back stays
        going = [machine for machine in self.machines.values() if machine.order_id is not None]
        waits: dict[str, str] = {}
        for order in running.values():
            mine = sum(1 for machine in going if machine.order_id == order.id)
            left = [
                machine
                for machine in self.machines.values()
                if machine.order_id is None
                and not machine.returning
                and not machine.draining
                and machine.update is not None
                and order.matches(machine.name, machine.pool, machine.shard)
            ]
            # what another renter has begun with first, then what is empty or nearly so
            left.sort(key=self._eviction_order)
            for machine in left:
                if mine >= order.max_concurrent:
                    waits[order.id] = (
                        f"{mine} machines are being emptied, as many as it allows at once"
                    )
                    break
                missing, unrented = self._missing_machines(machine, [*going, machine])
                if missing > 0:
                    # work that is stopped before there is room for it waits for a machine's boot
                    kind = self._replacement_pool(machine.pool)
                    if kind is not None and unrented > 0:
                        plan.scale_out.append(
                            RentalRequest(kind, min(unrented, order.max_concurrent))
                        )
                    waits[order.id] = f"what runs on {machine.name} has no room elsewhere" + (
                        ", machines are rented" if kind else ""
                    )
                    break
                machine.order_id = order.id
                going.append(machine)
                mine += 1
        self.order_wait_reasons = waits
        self.orders_evaluated = True

    def _eviction_order(self, machine: RentedMachine) -> tuple[bool, bool, float, str]:
        update = machine.update
        return (
            update is not None and update.draining != 2,
            update is not None and not update.idle,
            self._used_share(machine),
            machine.name,
        )

    def _used_share(self, machine: RentedMachine) -> float:
        sold = self.machine_types.get(machine.pool[0])
        if sold is None or machine.update is None:
            return 0.0
        return max(
            (
                1.0 - free / all_of
                for free, all_of in zip(machine.update.free, sold.resources, strict=True)
                if all_of > 0
            ),
            default=0.0,
        )

    def _missing_machines(
        self, machine: RentedMachine, evacuating: list[RentedMachine]
    ) -> tuple[int, int]:
        """How many machines are missing for what runs on those that are being emptied, and how many of these don't boot yet.

        This one with them; whole machines' worth of room is compared, of the same type.
        """
        need = sum(
            self._used_share(known_machine)
            for known_machine in evacuating
            if known_machine.pool[0] == machine.pool[0]
        )
        names = {known_machine.name for known_machine in evacuating}
        up = coming = 0.0
        for other in self.machines.values():
            if (
                other.pool[0] != machine.pool[0]
                or other.name in names
                or other.draining
                or other.returning
                or self._under_order(other)
            ):
                continue
            if other.update is not None and not (
                other.update.draining or other.update.notice or other.update.faulty
            ):
                up += 1.0 - self._used_share(other)
            elif self._is_booting(other):
                coming += 1.0
        missing = max(0, math.ceil(need - up - 1e-6))
        return missing, max(0, math.ceil(need - up - coming - 1e-6))

    def _under_order(self, machine: RentedMachine) -> bool:
        """Whether some order wants it empty, now or later."""
        return any(
            order.state == RUNNING and order.matches(machine.name, machine.pool, machine.shard)
            for order in self.orders
        )

    def _replacement_pool(self, pool: Kind) -> Kind | None:
        """Where to rent room for what is moved: the same kind first, nowhere that an order closes or the cloud refuses."""
        sold = self.machine_types.get(pool[0])
        if sold is None:
            return None
        kinds = [
            (pool[0], zone, s)
            for s in (pool[2], False)
            for zone in (pool[1], *sold.zones)
            if zone in sold.zones
        ]
        return next(
            (
                k
                for k in kinds
                if not self._blocked_by_order(k) and not self._backing_off(k, self.now)
            ),
            None,
        )

    def _blocked_by_order(self, pool: Kind) -> bool:
        return any(order.blocks_rental(pool) for order in self.orders)

    def machines_under_maintenance(self, shard: int) -> list[str]:
        """Machines of a part that are being emptied by order."""
        return sorted(
            machine.name
            for machine in self.machines.values()
            if machine.shard == shard and machine.order_id is not None
        )

    def order_progress(self) -> dict[str, dict[str, Any]]:
        """For people: how far each order is."""
        out = {}
        for order in self.orders:
            mine = [
                machine
                for machine in self.machines.values()
                if order.matches(machine.name, machine.pool, machine.shard)
            ]
            out[order.id] = {
                "left": len(mine),
                "being_emptied": sorted(
                    machine.name for machine in mine if machine.order_id == order.id
                )[:20],
                "waits": self.order_wait_reasons.get(order.id, ""),
            }
        return out

    def finished_orders(self, now: float) -> list[MaintenanceOrder]:
        """Orders that name machines none of which is there any more. One that names a place holds until it is stopped."""
        if not self.list_count or now - self.started < 2.0 * self.list_lag_s + 5.0:
            return []  # not all that is there has been seen yet
        return [
            order
            for order in self.orders
            if order.state == RUNNING
            and order.machines is not None
            and not any(name in self.machines for name in order.machines)
        ]

    def _unresponsive_zones(self) -> set[str]:
        """Zones most of whose running machines nobody hears of: it is the way there that is broken, not the machines.

        A renter that had begun in the cut gave a whole zone back after 60 s, 230 machines with all that ran on them, five seconds before
        the cut was over (ardgael-loans-fleet, a zone cut off for 70 s: 0.57 of the replicas up in the worst 30 s). Machines that have
        died are listed as failed soon, and are given back for that.
        """
        heard: dict[str, list[int]] = {}
        for machine in self.machines.values():
            if machine.cloud_state == "running" and not machine.returning:
                n = heard.setdefault(machine.pool[1], [0, 0])
                n[0] += 1
                n[1] += machine.update is not None
        return {
            zone
            for zone, (count, known) in heard.items()
            if count >= MIN_ZONE_SAMPLE and 2 * known < count
        }

    def _plan_scale_in(self, now: float, plan: ScalingPlan) -> None:
        unheard = self._unresponsive_zones()
        for machine in self.machines.values():
            sold = self.machine_types.get(machine.pool[0])
            boot = sold.boot_s if sold else 60.0
            silent = now - max(machine.rented_at, machine.updated_at)
            if machine.returning or machine.cloud_state == "failed":
                plan.scale_in.append(machine.name)
            elif (
                machine.update is None
                and machine.cloud_state == "booting"
                and machine.age_s > self._boot_timeout_s(machine, boot, now)
            ):
                plan.scale_in.append(
                    machine.name
                )  # it never comes up, and is charged until it is deleted
            elif (
                machine.update is None
                and machine.cloud_state == "running"
                and silent > UNRESPONSIVE_S + 2 * self.lease_s
                and now - self.started > UNRESPONSIVE_S
            ):
                if (
                    machine.pool[1] not in unheard
                    or min(silent, now - self.started) > ZONE_UNRESPONSIVE_S
                ):
                    plan.scale_in.append(machine.name)  # up, charged, and no worker reports
            elif (
                machine.update is not None
                and machine.update.idle
                and (
                    machine.update.draining == 1
                    or (machine.update.draining == 2 and machine.order_id is not None)
                )
            ):
                plan.scale_in.append(machine.name)  # drained
            elif machine.update is not None and machine.update.faulty:
                machine.draining = True  # faulty: used up, then replaced
        needed = any(self._urgent(demand.job) for demand in self.demand.values())
        out_of_use = [
            machine
            for machine in self.machines.values()
            if machine.update is not None
            and not machine.draining
            and not machine.returning
            and now - machine.rented_at > 60.0
            and (
                (machine.idle_since is not None and now - machine.idle_since > self.idle_s)
                or (not machine.pool[2] and not machine.update.on_demand_work and not needed)
            )
        ]
        ordinary: dict[Kind, list[RentedMachine]] = {}
        for machine in sorted(
            out_of_use,
            key=lambda machine: (
                machine.idle_since is None,
                -self._price(machine.pool),
                -machine.rented_at,
                machine.name,
            ),
        ):
            # the newest go first: the others have had more time to gather images
            if machine.pool[2]:
                machine.draining = True
            else:
                ordinary.setdefault(machine.pool, []).append(machine)
        if ordinary:
            # an ordinary machine that only runs work that could be on cheap ones is let go when that ends,
            # unless what is likely to come soon would miss it
            spare = self._surplus_machines(
                now, {machine.name for machines in ordinary.values() for machine in machines}
            )
            for kind, machines in ordinary.items():
                for machine in machines[: spare.get(kind, 0)]:
                    machine.draining = True

    def _price(self, pool: Kind) -> float:
        machine_type = self.machine_types.get(pool[0])
        return (
            0.0
            if machine_type is None
            else machine_type.spot_price
            if pool[2]
            else machine_type.price
        )

    def _share(self, resources: ResourceVector, machine_type: MachineType) -> float:
        return max(
            (x / c for x, c in zip(resources, machine_type.resources, strict=True) if c > 0),
            default=0.0,
        )

    def _starts_before_boot(self, job: Job) -> bool:
        """Whether it is expected to start sooner than a machine boots."""
        start = self.objectives.of(job).start_s
        return start is not None and start < min(
            (machine_type.boot_s for machine_type in self.machine_types.values()), default=0.0
        )

    def _forecast(self, now: float) -> list[tuple[Job, int]]:
        """Tasks to keep room for: of each class that can't wait for a cheap machine, what usually comes while one boots."""
        since = max(self.started, now - 300.0)
        span = max(60.0, now - since)
        biggest: dict[str, Job] = {}
        slots: dict[str, dict[int, int]] = {}
        for received_at, job in self.arrivals.values():
            if received_at >= since and (not job.spot or self._starts_before_boot(job)):
                if job.job_class not in biggest or job.resources > biggest[job.job_class].resources:
                    biggest[job.job_class] = job
                slot = slots.setdefault(job.job_class, {})
                slot[int(received_at / ARRIVAL_SLOT_S)] = slot.get(
                    int(received_at / ARRIVAL_SLOT_S), 0
                ) + min(job.task_count, 50)
        out = []
        for klass, job in biggest.items():
            # the busiest moment is left out: a lump (everyone submits when the service starts) is no rate,
            # and taking it for one rented a fleet's worth of idle machines (kazi-bodi, first minute)
            count = sum(slots[klass].values()) - max(slots[klass].values())
            boots = [
                min(
                    self._boot_time_s((machine_type.name, zone), now) for zone in machine_type.zones
                )
                for machine_type in self.machine_types.values()
                if machine_type.zones and fits(job.resources, machine_type.resources)
            ]
            boot = min(boots, default=0.0)
            mean = count / span * (boot + 20.0)
            out.append((job, max(1, math.ceil(mean + self.headroom * math.sqrt(mean)))))
        return sorted(out, key=lambda x: -max(x[0].resources))

    def _free_slots(self, now: float, excluded: set[str]) -> tuple[FreeSlots, FreeSlots]:
        """Free and coming room; and the same with the room of work that may be stopped."""
        bins, firm = FreeSlots(), FreeSlots()
        coming = self._booting_to_count_on(now)
        for machine in self.machines.values():
            machine_type = self.machine_types.get(machine.pool[0])
            if (
                machine_type is None
                or machine.draining
                or machine.returning
                or machine.order_id is not None
                or machine.name in excluded
            ):
                continue
            if (update := machine.update) is not None:
                if not (update.draining or update.notice or update.faulty):
                    bins.add(machine.pool, (update.free[0], update.free[1], update.free[2]))
                    firm.add(
                        machine.pool,
                        (
                            update.free_for_services[0],
                            update.free_for_services[1],
                            update.free_for_services[2],
                        ),
                    )
            elif coming.get(machine.name):
                bins.add(machine.pool, machine_type.resources)
                firm.add(machine.pool, machine_type.resources)  # the same room, whoever takes it
        return bins, firm

    def _demand_by_priority(self) -> list[Demand]:
        """What waits, most important first."""
        return sorted(self.demand.values(), key=lambda demand: demand.queue_order)

    def _surplus_machines(self, now: float, candidates: set[str]) -> dict[Kind, int]:
        """How many of these machines are in nobody's way, by kind: what waits and what is likely to come has room without them."""
        _, firm = self._free_slots(now, candidates)
        have: dict[Kind, int] = {}
        for name in sorted(
            candidates
        ):  # in one order in every process: it decides which kind is asked first
            place = self.machines[name].pool
            have[place] = have.get(place, 0) + 1
        wanted = [
            (demand.job, demand.count, demand.zone_limits)
            for demand in self._demand_by_priority()
            if not demand.job.spot
        ] + [(job, count, None) for job, count in self._forecast(now)]
        for job, count, zones in wanted:
            left = self._pack_into(job, count, zones, firm, spot=job.spot)[0]
            for kind in have:
                if left > 0 and have[kind] > 0 and self._is_allowed(job, kind):
                    # the machines in question take what finds no room elsewhere: so many of them stay
                    while left > 0 and have[kind] > 0:
                        have[kind] -= 1
                        firm.add(kind, self.machine_types[kind[0]].resources)
                        left = self._pack_into(job, left, zones, firm, spot=job.spot)[0]
        return have

    def _urgent(self, job: Job) -> bool:
        """Whether work that may use cheap machines can't wait for one: its deadline, or what its class expects, would be missed."""
        if job.deadline_s is None:
            # of an array that has time no more is asked for than has to run now, so that can't wait either
            return (
                self._starts_before_boot(job)
                or self.objectives.of(job).finish_s is not None
                or self.wall_time - job.submitted_at > 120.0
            )
        return self.wall_time + 1.3 * job.estimate_s + 60.0 > job.submitted_at + job.deadline_s

    def _boot_time_s(self, place: tuple[str, str], now: float) -> float:
        """How long a machine of this type takes to come up there: the nominal time, longer where that was seen lately."""
        sold = self.machine_types.get(place[0])
        nominal = sold.boot_s if sold else 60.0
        lately = sorted(
            up - since
            for since, up in list(self.boot_history.get(place, ()))[-8:]
            if now - up < BOOT_HISTORY_S
        )
        return (
            nominal * min(6.0, max(1.0, lately[len(lately) // 2] / max(nominal, 1.0)))
            if lately
            else nominal
        )

    def _overtaken(self, machine: RentedMachine) -> bool:
        """Machines rented after this one have come: it is this one that is late, not all of them."""
        return (
            sum(
                1
                for since, _ in self.boot_history.get(machine.pool[:2], ())
                if since >= machine.rented_at - 1.0
            )
            >= 2
        )

    def _boot_timeout_s(self, machine: RentedMachine, nominal: float, now: float) -> float:
        """At this age a machine that still boots is given back.

        Where nothing comes any more it is the cloud that is late, and what is given back now might have come in the next
        moment; what replaces it would come no sooner.
        """
        return (
            3.5 * self._boot_time_s(machine.pool[:2], now) + 20.0
            if self._overtaken(machine)
            else 6.0 * nominal + 60.0
        )

    def _is_booting(self, machine: RentedMachine) -> bool:
        return (
            machine.update is None
            and not machine.returning
            and machine.cloud_state != "failed"
            and machine.updated_at == 0.0
        )

    def _boots_late(self, place: tuple[str, str], now: float) -> bool:
        """Whether machines there come late or not at all just now."""
        sold = self.machine_types.get(place[0])
        return self.overdue.get(place, 0) > 0 or (
            sold is not None and self._boot_time_s(place, now) > 2.0 * sold.boot_s
        )

    def late_machines(self, now: float) -> list[tuple[str, int, float]]:
        """For people: where machines should be up and are not, how many, and the age of the oldest."""
        out: dict[str, tuple[int, float]] = {}
        for machine in self.machines.values():
            if (
                self._is_booting(machine)
                and now - machine.rented_at > 2.0 * self._boot_time_s(machine.pool[:2], now) + 5.0
            ):
                count, age = out.get(f"{machine.pool[0]} in {machine.pool[1]}", (0, 0.0))
                out[f"{machine.pool[0]} in {machine.pool[1]}"] = (
                    count + 1,
                    max(age, now - machine.rented_at),
                )
        return [(place, count, round(age, 1)) for place, (count, age) in sorted(out.items())]

    def _booting_to_count_on(self, now: float) -> dict[str, bool]:
        """Which booting machines to count on.

        A late one is not counted where others have overtaken it, or where another zone's machines come in time. Where all
        are late, every second one is counted as missing, so that what is rented twice stays bounded.
        """
        self.booting_on_time = {}
        self.overdue = {}
        late: list[tuple[RentedMachine, float]] = []
        out: dict[str, bool] = {}
        for machine in self.machines.values():
            if not self._is_booting(machine):
                continue
            place = machine.pool[:2]
            boot = self._boot_time_s(place, now)
            age = now - machine.rented_at
            if age <= TYPICAL_BOOT_MULTIPLE * boot + 5.0:
                out[machine.name] = True
                self.booting_on_time[place] = self.booting_on_time.get(place, 0) + 1
            elif self._overtaken(machine):
                out[machine.name] = age <= 2.0 * boot + 5.0
            else:
                self.overdue[place] = self.overdue.get(place, 0) + 1
                late.append((machine, age / boot))
        missing = 0.0
        for machine, times in late:
            elsewhere = any(
                p[0] == machine.pool[0]
                and p != machine.pool[:2]
                and not self._boots_late(p, now)
                and seen
                and now - seen[-1][1] < BOOT_HISTORY_S
                for p, seen in self.boot_history.items()
            )
            missing += 1.0 if elsewhere or times > 8.0 else 0.5
            out[machine.name] = missing < 1.0
            if missing >= 1.0:
                missing -= 1.0
        return out

    def _plan_scale_out(self, now: float, plan: ScalingPlan) -> None:
        bins, firm = self._free_slots(now, set())
        new: dict[Kind, int] = {}
        work = [
            (
                demand.job,
                demand.count,
                dict(demand.zone_limits) if demand.zone_limits is not None else None,
            )
            for demand in self._demand_by_priority()
        ]
        for job, total, zones in work + [(job, total, None) for job, total in self._forecast(now)]:
            # what should start at once may stop less important work, as services may
            mine, other = (
                (bins, firm) if job.spot and not self._starts_before_boot(job) else (firm, bins)
            )
            for kind, count in self._pack_or_rent(job, total, zones, mine, new, now).items():
                other.add(kind, self.machine_types[kind[0]].resources, count)
        plan.scale_out = [
            RentalRequest(kind, min(50, total - i))
            for kind, total in new.items()
            for i in range(0, total, 50)
        ]

    def _backing_off(self, pool: Kind, now: float) -> bool:
        return self.refused_pools.get(pool, (0.0, 0.0))[0] > now

    def _pack_into(
        self,
        job: Job,
        count: int,
        zone_limits: dict[str, int] | None,
        slots: FreeSlots,
        spot: bool = True,
    ) -> tuple[int, dict[str, int] | None]:
        """Put up to n tasks into bins; what is left over, and how much each zone may still take."""
        kinds = sorted(
            (pool for pool in slots.slots if self._is_allowed(job, pool) and (spot or not pool[2])),
            key=lambda pool: (not pool[2], pool),
        )
        for kind in kinds:
            most = count if zone_limits is None else min(count, zone_limits.get(kind[1], 0))
            got = slots.pack(job.resources, most, kind) if most > 0 else 0
            count -= got
            if zone_limits is not None and got:
                zone_limits = {
                    zone: c - got if zone == kind[1] else 0 if job.single_zone else c
                    for zone, c in zone_limits.items()
                }
            if count <= 0:
                break
        return count, zone_limits

    def _pack_or_rent(
        self,
        job: Job,
        count: int,
        zone_limits: dict[str, int] | None,
        slots: FreeSlots,
        new_machines: dict[Kind, int],
        now: float,
    ) -> dict[Kind, int]:
        """Put waiting tasks into free and coming room first, then into machines to be rented: these, by kind."""
        count, zone_limits = self._pack_into(job, min(count, 2000), zone_limits, slots)
        rented: dict[Kind, int] = {}
        while count > 0:
            kind = self._choose_pool(job, zone_limits, new_machines, now)
            if kind is None:
                break
            slots.add(kind, self.machine_types[kind[0]].resources)
            got = slots.pack(
                job.resources,
                count if zone_limits is None else min(count, zone_limits.get(kind[1], 0)),
                kind,
            )
            if not got:
                break
            new_machines[kind] = new_machines.get(kind, 0) + 1
            rented[kind] = rented.get(kind, 0) + 1
            count -= got
            if zone_limits is not None:
                zone_limits = {
                    zone: c - got if zone == kind[1] else 0 if job.single_zone else c
                    for zone, c in zone_limits.items()
                }
        return rented

    def _is_allowed(self, job: Job, pool: Kind) -> bool:
        return (
            (job.machine_types is None or pool[0] in job.machine_types)
            and (job.zone is None or job.zone == pool[1])
            and (job.spot or not pool[2])
        )

    def _choose_pool(
        self,
        job: Job,
        zone_limits: dict[str, int] | None,
        new_machines: dict[Kind, int],
        now: float,
    ) -> Kind | None:
        options = []
        kinds = (True, False) if job.spot and self._urgent(job) else (job.spot,)
        for machine_type in self.machine_types.values():
            if (
                job.machine_types is not None and machine_type.name not in job.machine_types
            ) or not fits(job.resources, machine_type.resources):
                continue
            per = self._share(job.resources, machine_type)
            for zone in machine_type.zones:
                if (job.zone is not None and zone != job.zone) or (
                    zone_limits is not None and zone_limits.get(zone, 0) <= 0
                ):
                    continue
                for spot in kinds:
                    if self._backing_off(
                        (machine_type.name, zone, spot), now
                    ) or self._blocked_by_order((machine_type.name, zone, spot)):
                        continue
                    late = self._boots_late((machine_type.name, zone), now)
                    missing = self.overdue.get((machine_type.name, zone), 0)
                    fresh = self.booting_on_time.get((machine_type.name, zone), 0) + sum(
                        new_machines.get((machine_type.name, zone, s), 0) for s in (True, False)
                    )
                    if missing and fresh > 2 * missing + 10:
                        continue  # more of what does not come is no help
                    price = (machine_type.spot_price if spot else machine_type.price) * per
                    load = self.machines_per_pool.get(
                        (machine_type.name, zone, spot), 0
                    ) + new_machines.get((machine_type.name, zone, spot), 0)
                    options.append((price, late, load, (machine_type.name, zone, spot)))
        return min(options)[3] if options else None

    def deleted_for(self, shard: int) -> list[str]:
        """What a part's owner is told to be gone: what went last, and all of what it asks about.

        They were the last by name: the newest machines, also when they had gone long before. So where more than these had gone, an
        owner that had never heard an old machine asked for ever, and what it had run counted for its team's limit for ever.
        """
        return sorted(
            {
                *list(self.deleted)[-MAX_DELETED_REPORTED:],
                *(name for name in self.unprovable_by_shard.get(shard, ()) if name in self.deleted),
            }
        )

    def draining_machines(self, shard: int) -> list[str]:
        """Machines of a part that should be empty."""
        return sorted(
            machine.name
            for machine in self.machines.values()
            if machine.shard == shard and (machine.draining or machine.returning)
        )
