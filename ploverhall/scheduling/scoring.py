"""Best fit: the cost of starting a task on a machine that has free capacity for it.

The placement pass calls it for each machine found, and preemption for each plan. The functions only
read the inventory.
"""

from __future__ import annotations

from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.machines import Machine
from ploverhall.scheduling.resources import add_scaled

# Seconds of fetching that are accepted to keep replicas of one job on different machines. At 30,
# replicas fetched their image although machines that hold it were idle.
REPLICA_SPREAD_COST_S = 3.0
CACHED_IMAGE_COST_S = 0.15  # seconds; value to other jobs of each image that a machine holds
SPOT_MISMATCH_COST_S = 20.0  # for work that may run on spot machines, on an ordinary machine
SERVICE_PACKING_COST_S = 4.0  # times the free share left beside a service's replica
MIN_FETCH_RATE_GB_S = 0.01
FETCH_IN_PROGRESS_FACTOR = 0.5  # the image is already being fetched for another task
FETCH_RESERVED_FACTOR = 0.8  # the image will be fetched for another reservation


# How well a task fits a machine; the lowest score is the best. It consists of the seconds until the
# task could run (plus other costs expressed in seconds), and the sum over the resources of the
# share of the machine left free. A plain tuple, since one is made for every machine that a search
# finds.
MachineScore = tuple[float, float]


def score_machine(inventory: Inventory, job: Job, machine: Machine) -> MachineScore:
    """Return the score of a task of this job on this machine."""
    machine_type = inventory.machine_types[machine.type]
    cost_s = 0.0
    if job.image not in machine.images:
        cost_s = _fetch_cost_s(job, machine, machine_type.fetch_gb_s)
    is_service = job.kind == "service"
    # Services run for long: pack them by the capacity that other services leave, so that whole
    # machines become empty
    free = machine.free_for_services if is_service else machine.free
    left = add_scaled(free, job.resources, -1)
    free_share = sum(
        amount / capacity
        for amount, capacity in zip(left, machine_type.resources, strict=True)
        if capacity > 0
    )
    if job.spot and not machine.spot:
        cost_s += SPOT_MISMATCH_COST_S  # keep ordinary machines for work that needs them
    if is_service:
        spread_cost_s = REPLICA_SPREAD_COST_S * _replicas_on(job, machine)
        cost_s = cost_s + spread_cost_s + SERVICE_PACKING_COST_S * free_share
    return cost_s, free_share


def _fetch_cost_s(job: Job, machine: Machine, rate_gb_s: float) -> float:
    """Return the cost in seconds of fetching the job's image to a machine without it."""
    fetch_s = job.image_gb / max(rate_gb_s, MIN_FETCH_RATE_GB_S)
    permitted, reserved = machine.usage.permits_by_image, machine.usage.reservations_by_image
    if job.image in permitted:
        return fetch_s * FETCH_IN_PROGRESS_FACTOR
    if job.image in reserved:
        return fetch_s * FETCH_RESERVED_FACTOR
    # Images fetched at the same time share the machine's fetch rate
    fetch_s *= 1 + len((permitted.keys() | reserved.keys()) - machine.images.keys())
    # An image that has to be fetched anyway should not evict others from a well-filled image cache
    return fetch_s + CACHED_IMAGE_COST_S * len(machine.images)


def _replicas_on(job: Job, machine: Machine) -> int:
    """Return how many replicas of a service are permitted or reserved on a machine."""
    usage = machine.usage
    return usage.permits_by_job[job.id] + usage.reservations_by_job[job.id]
