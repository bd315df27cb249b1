"""The machines of one shard, and an index of those with free capacity.

Finding capacity must not require a scan of the fleet: machines are indexed in buckets by pool
(type, zone, spot), whole units free and core level, and only machines marked as changed are
refreshed. The shard owner, which marks the changes, placement and preemption call this module.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from ploverhall.protocol.agents import MAX_LISTED_TASKS, AttemptId
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.machine_usage import UsageTracker, pending_visits
from ploverhall.scheduling.machines import (
    JobTraits,
    Machine,
    MachinePool,
    MachineUsage,
    Permit,
)
from ploverhall.scheduling.preemption_index import PreemptionIndex
from ploverhall.scheduling.resources import (
    EPSILON,
    NO_RESOURCES,
    ResourceVector,
    add_scaled,
    fits,
    max_count,
)

CapacityLevel = tuple[int, int]  # whole units free, and core level of the free cores
# A machine gets no new work after so many heartbeat intervals without a heartbeat, plus a margin
UNRESPONSIVE_INTERVALS = 2.0
UNRESPONSIVE_MARGIN_S = 1.5
CORE_FRACTION = 4  # the unit of core levels is a quarter of a core
# Once one machine was found in a bucket, the search there ends after this many tries for each
# machine wanted
TRIES_PER_MACHINE = 4
# Machines and changed attempts that one call of `refresh_changed` reads
MAX_REFRESH_WORK = 5_000


class Inventory:
    """Machines by name, by free capacity, by cached image and by preemptible work."""

    def __init__(
        self, heartbeat_interval_s: float, max_listed_tasks: int = MAX_LISTED_TASKS
    ) -> None:
        self.max_listed_tasks = max_listed_tasks
        self.heartbeat_interval_s = heartbeat_interval_s
        self.unresponsive_after_s = (
            UNRESPONSIVE_INTERVALS * heartbeat_interval_s + UNRESPONSIVE_MARGIN_S
        )
        self.machine_types: dict[str, MachineType] = {}
        self.machines: dict[str, Machine] = {}
        # By machine name, also for machines that are not known yet
        self.permits_by_machine: dict[str, dict[AttemptId, Permit]] = {}
        self.deleted_machines: set[str] = set()  # names of machines that the cloud has deleted
        self.job_traits: dict[str, JobTraits] = {}
        self.preemption_index = PreemptionIndex()
        self.usage = UsageTracker(self.job_traits)
        self.capacity_index: dict[MachinePool, dict[CapacityLevel, list[Machine]]] = {}
        # Indexed machines that hold an image and have at least one whole unit free
        self.warm_machines: dict[tuple[MachinePool, str], dict[str, Machine]] = {}
        self.image_holders: dict[str, dict[str, Machine]] = {}  # image -> all machines that hold it
        self.changed_machines: dict[str, Machine] = {}
        # Machines with more free capacity than at their last refresh
        self.machines_with_gains: dict[str, Machine] = {}
        # Images recorded by an earlier owner, for machines not known yet
        self.remembered_images: dict[str, dict[str, float]] = {}
        self.images_changed = False
        self.is_refresh_unfinished = False  # changed machines were left for the next step
        # Numbers of refreshes and of checks for a fit; tests of how the cost scales read them
        self.refresh_count = self.fit_checks = 0

    # -- free capacity -----------------------------------------------------------------------

    def mark_changed(self, machine: Machine | None) -> None:
        """Mark anything on a machine as changed; None is ignored.

        The machine is refreshed before the next placement decision.
        """
        if machine is not None:
            machine.usage.must_rebuild = True
            self.mark_for_refresh(machine)

    def mark_attempt_changed(self, machine: Machine, attempt_id: AttemptId) -> None:
        """Mark a permit or a listed task of a machine as changed, and the machine for a refresh."""
        machine.usage.changed_attempts[attempt_id] = None
        self.mark_for_refresh(machine)

    def mark_for_refresh(self, machine: Machine) -> None:
        """Mark a machine to be refreshed whose tasks and permits have not changed."""
        self.changed_machines[machine.name] = machine

    def free_capacity(self, machine: Machine) -> ResourceVector:
        """Return what listed tasks, permits and reservations leave free.

        A machine of an unknown type has no capacity.
        """
        return self._free_capacity(machine, self.usage.update(machine))

    def _free_capacity(self, machine: Machine, usage: MachineUsage) -> ResourceVector:
        machine_type = self.machine_types.get(machine.type)
        if machine_type is None:
            return NO_RESOURCES
        free = add_scaled(machine_type.resources, usage.used, -1)
        if usage.unknown_attempts:
            free = add_scaled(free, machine_type.resources, -len(usage.unknown_attempts))
        return add_scaled(free, usage.reserved, -1)

    def capacity_for_services(self, machine: Machine, free: ResourceVector) -> ResourceVector:
        """Return the capacity available to services.

        This is `free` plus the resources of work that yields to services.
        """
        return add_scaled(free, self.usage.update(machine).yielded)

    def free_task_slots(self, machine: Machine) -> int:
        """Return how many more tasks a machine may get before its heartbeats become too large.

        A task that has exited counts until it is reaped. Negative if there are too many already.
        """
        return self._free_task_slots(machine, self.usage.update(machine))

    def _free_task_slots(self, machine: Machine, usage: MachineUsage) -> int:
        return self.max_listed_tasks - usage.listed_count - len(machine.reservations)

    def unusable(self, machine: Machine, now: float) -> bool:
        """Return whether a machine may get no new work."""
        return (
            machine.lease_expired
            or machine.draining
            or machine.cordoned
            or machine.termination_notice_s is not None
            or not machine.accepted_token
            or machine.quarantined_until > now
            or now - machine.last_heartbeat_at > self.unresponsive_after_s
            or machine.name in self.deleted_machines
            or machine.awaited_token > 0
            or now < machine.receiving_again_at + machine.flap_backoff_s
        )

    # -- the index ---------------------------------------------------------------------------

    def whole_units(self, resources: ResourceVector, machine_type: MachineType) -> int:
        """Return the whole units in an amount: gpus if the machine type has any, else cores."""
        cpus, gpus, _ = resources
        return max(0, int((gpus if machine_type.gpus > 0 else cpus) + EPSILON))

    def core_level(self, resources: ResourceVector) -> int:
        """Return the binary order of magnitude of an amount of cores, in quarters of a core.

        It is part of the index because otherwise a search for work that needs no gpus would scan
        the machines without free cores.
        """
        cpus, _, _ = resources
        return int(max(0.0, cpus) * CORE_FRACTION + EPSILON).bit_length()

    def refresh(self, machine: Machine, now: float) -> None:
        """Recompute the free capacity of one machine and update the index."""
        self.refresh_count += 1
        free_before, was_indexed = machine.free, machine.index_bucket is not None
        usage = self.usage.update(machine)
        machine.free = self._free_capacity(machine, usage)
        machine.free_task_slots = self._free_task_slots(machine, usage)
        machine.free_for_services = add_scaled(machine.free, usage.yielded)
        machine_type = self.machine_types.get(machine.type)
        if (
            machine_type is None
            or self.machines.get(machine.name) is not machine
            or self.unusable(machine, now)
        ):
            self._unindex(machine)
            self.preemption_index.remove(machine)
            return
        has_task_slot = machine.free_task_slots > 0
        if has_task_slot:
            self._index(machine, machine_type)
        else:
            self._unindex(machine)  # it stays in the preemption index, and its pool stays known
            self.capacity_index.setdefault(machine.pool, {})
        has_gained = has_task_slot and (
            not was_indexed
            or any(
                after > before + EPSILON
                for after, before in zip(machine.free, free_before, strict=True)
            )
        )
        if has_gained:
            self.machines_with_gains[machine.name] = machine
        self.preemption_index.update(machine, has_gained)

    def _index(self, machine: Machine, machine_type: MachineType) -> None:
        """Put a usable machine into the index bucket of its free capacity."""
        units = self.whole_units(machine.free, machine_type)
        bucket = self.capacity_index.setdefault(machine.pool, {}).setdefault(
            (units, self.core_level(machine.free)), []
        )
        if machine.index_bucket is bucket:
            return
        self._unindex(machine)
        machine.index_bucket, machine.index_position = bucket, len(bucket)
        bucket.append(machine)
        if units > 0:
            for image in machine.images:
                self.warm_machines.setdefault((machine.pool, image), {})[machine.name] = machine

    def _unindex(self, machine: Machine) -> None:
        """Remove a machine from the index of free capacity, if it is there."""
        if machine.index_bucket is None:
            return
        last = machine.index_bucket.pop()
        if last is not machine:
            machine.index_bucket[machine.index_position] = last
            last.index_position = machine.index_position
        machine.index_bucket = None
        for image in machine.images:
            self._remove_warm(machine, image)

    def _remove_warm(self, machine: Machine, image: str) -> None:
        """Remove a machine from `warm_machines` for one image."""
        key = (machine.pool, image)
        if (holders := self.warm_machines.get(key)) is not None:
            holders.pop(machine.name, None)
            if not holders:
                del self.warm_machines[key]

    def _remove_holder(self, machine: Machine, image: str) -> None:
        """Remove a machine from `image_holders` for one image."""
        if (holders := self.image_holders.get(image)) is not None:
            holders.pop(machine.name, None)
            if not holders:
                del self.image_holders[image]

    def refresh_changed(self, now: float) -> list[Machine]:
        """Refresh the machines that were marked as changed, and return those that were refreshed.

        If too many attempts have changed for one step, the rest of the machines stays marked. They
        leave the indexes meanwhile, since their free capacity is not known.
        """
        changed, self.changed_machines = list(self.changed_machines.values()), {}
        self.is_refresh_unfinished = False
        work = 0
        for position, machine in enumerate(changed):
            if work >= MAX_REFRESH_WORK:
                self._postpone(changed[position:])
                return changed[:position]
            work += 1 + pending_visits(machine)
            self.refresh(machine, now)
        return changed

    def _postpone(self, machines: list[Machine]) -> None:
        """Leave changed machines to the next call of `refresh_changed`."""
        for machine in machines:
            self._unindex(machine)
            self.preemption_index.remove(machine)
        self.changed_machines = {machine.name: machine for machine in machines}
        self.is_refresh_unfinished = True

    def remove(self, machine: Machine) -> None:
        """Remove a machine from the inventory and all its indexes."""
        self._unindex(machine)
        self.preemption_index.remove(machine)
        for image in machine.images:
            self._remove_holder(machine, image)
        self.machines.pop(machine.name, None)
        self.changed_machines.pop(machine.name, None)
        self.machines_with_gains.pop(machine.name, None)

    # -- images ------------------------------------------------------------------------------

    def record_image(self, machine: Machine, image: str, gb: float) -> None:
        """Record that a machine holds an image, as the most recently used one."""
        is_new = image not in machine.images
        self.images_changed = self.images_changed or is_new
        machine.images.pop(image, None)
        machine.images[image] = gb
        self.image_holders.setdefault(image, {})[machine.name] = machine
        machine_type = self.machine_types.get(machine.type)
        if (
            is_new
            and machine.index_bucket is not None
            and machine_type is not None
            and self.whole_units(machine.free, machine_type) > 0
        ):
            self.warm_machines.setdefault((machine.pool, image), {})[machine.name] = machine
        self._evict_images(machine, machine_type.image_cache_gb if machine_type else 0.0)

    def _evict_images(self, machine: Machine, cache_gb: float) -> None:
        """Forget a machine's least recently used images, down to the size of its image cache."""
        while machine.images and sum(machine.images.values()) > cache_gb:
            least_recent = next(iter(machine.images))
            del machine.images[least_recent]
            self._remove_warm(machine, least_recent)
            self._remove_holder(machine, least_recent)

    def restore_images(self, images: dict[str, dict[str, float]]) -> None:
        """Restore the images recorded by an earlier owner, by machine name.

        They count as used less recently than the images seen since.
        """
        for name, known in images.items():
            machine = self.machines.get(name)
            if machine is None:
                self.remembered_images[name] = known
                continue
            self._unindex(machine)
            older = {image: gb for image, gb in known.items() if image not in machine.images}
            self.set_images(machine, {**older, **machine.images})
            self.mark_for_refresh(machine)

    def set_images(self, machine: Machine, images: dict[str, float]) -> None:
        """Replace the images of a machine that is not in the index."""
        machine.images = images
        for image in images:
            self.image_holders.setdefault(image, {})[machine.name] = machine

    # -- finding capacity --------------------------------------------------------------------

    def allowed_pools(self, job: Job) -> list[MachinePool]:
        """Return the pools where a job may run, by the type, zone and spot that machines report."""
        return [
            (machine_type, zone, spot)
            for machine_type, zone, spot in self.capacity_index
            if (job.machine_types is None or machine_type in job.machine_types)
            and (job.zone is None or job.zone == zone)
            and (job.spot or not spot)
        ]

    def max_tasks(self, resources: ResourceVector, pools: Iterable[MachinePool]) -> int:
        """Return an upper bound on how many such tasks fit in these pools.

        It is computed from the buckets of the index, without looking at single machines.
        """
        count = 0
        cpus, _, _ = resources
        needed_level = self.core_level(resources)
        for pool in pools:
            type_name, _, _ = pool
            needed_units = self.whole_units(resources, self.machine_types[type_name])
            for (units, level), bucket in self.capacity_index[pool].items():
                if units >= needed_units and level >= needed_level:
                    by_units = units // needed_units if needed_units else self.max_listed_tasks
                    most_cores = 2.0**level / CORE_FRACTION + EPSILON * cpus
                    count += len(bucket) * min(by_units, max_count(cpus, most_cores))
        return count

    def find_machines(
        self, job: Job, pools: list[MachinePool], avoided: frozenset[str], sample: int, rng: Random
    ) -> list[Machine]:
        """Return a sample of the machines with free capacity for a task, except the avoided ones.

        Machines that hold the image come first, then the others by pool, those with the least free
        capacity first.
        """
        found: list[Machine] = []
        seen = set(avoided)
        resources = job.resources
        for pool in pools:
            if (warm := self.warm_machines.get((pool, job.image))) is not None:
                self._sample_bucket(list(warm.values()), resources, sample, rng, seen, found)
        needed_level = self.core_level(resources)
        for pool in pools:
            type_name, _, _ = pool
            needed_units = self.whole_units(resources, self.machine_types[type_name])
            buckets = self.capacity_index[pool]
            count_before = len(found)
            for units, level in sorted(buckets):
                bucket = buckets[units, level]
                if units >= needed_units and level >= needed_level and bucket:
                    self._sample_bucket(bucket, resources, sample, rng, seen, found)
                    if len(found) - count_before >= 2 * sample:
                        break
        return found

    def _sample_bucket(
        self,
        bucket: list[Machine],
        resources: ResourceVector,
        sample: int,
        rng: Random,
        seen: set[str],
        found: list[Machine],
    ) -> None:
        """Add up to `sample` machines that fit and are not in `seen`, starting at a random one.

        The whole bucket is tried only if no machine is found earlier.
        """
        start = rng.randrange(len(bucket))
        count = 0
        for offset in range(len(bucket)):
            machine = bucket[(start + offset) % len(bucket)]
            self.fit_checks += 1
            if machine.name not in seen and fits(resources, machine.free):
                seen.add(machine.name)
                found.append(machine)
                count += 1
            if count >= sample or (count and offset >= TRIES_PER_MACHINE * sample):
                return
