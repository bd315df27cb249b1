"""Decodes machine types and lists of machines from the cloud, and builds rental requests.

Defines the published names of the cloud's interface. Called by `controller.autoscaling_loop`. The
records of machine types are stored in the key-value store.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

# Published field names
MACHINE_TYPES_FIELD = "breeds"
MACHINES_FIELD = "perches"
MORE_PAGES_FIELD = "hasNext"
MACHINE_TYPE_FIELD = "breed"
ZONE_FIELD = "marsh"
SPOT_FIELD = "driftwood"
REQUEST_ID_FIELD = "plea"  # makes a rental idempotent
COUNT_FIELD = "count"
ERROR_FIELD = "error"
NO_CAPACITY = "no capacity"  # value of ERROR_FIELD if a pool has no machines left

MACHINE_TYPE_WIRE_NAMES = {
    "name": "name",
    "cpus": "cores",
    "gpus": "gpus",
    "memory_gb": "ramGb",
    "image_cache_gb": "localGb",
    "fetch_gb_s": "pullGbPerS",
    "price": "price",
    "spot_price": "lowPrice",
    "boot_s": "startupS",
    "zones": "marshes",
}
CLOUD_MACHINE_WIRE_NAMES = {
    "name": "id",
    "address": "endpoint",
    "type": MACHINE_TYPE_FIELD,
    "zone": ZONE_FIELD,
    "spot": SPOT_FIELD,
    "state": "stance",
    "age_s": "heldS",
}
DEFAULT_FETCH_GB_S = 1.0


@dataclass(slots=True, frozen=True)
class MachineType:
    """A machine type of the cloud, with the resources and the price of one machine."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    image_cache_gb: float
    fetch_gb_s: float  # rate at which images are fetched, GB per second
    price: float
    spot_price: float
    boot_s: float  # nominal time from the rental to the first heartbeat
    zones: tuple[str, ...]

    @property
    def resources(self) -> tuple[float, float, float]:
        """Return the CPUs, GPUs and memory in GB that tasks can use."""
        return (self.cpus, self.gpus, self.memory_gb)

    def record(self) -> list[Any]:
        """Return the form that is stored in the key-value store.

        A controller that starts while the cloud is down reads it from there.
        """
        return [
            self.name,
            self.cpus,
            self.gpus,
            self.memory_gb,
            self.image_cache_gb,
            self.fetch_gb_s,
            self.price,
            self.spot_price,
            self.boot_s,
            list(self.zones),
        ]


def type_from_record(record: list[Any]) -> MachineType:
    """Return the machine type of a record made by `MachineType.record`.

    Fields that later releases append are ignored.
    """
    name, cpus, gpus, memory, cache, fetch, price, spot_price, boot, zones = record[:10]
    return MachineType(
        name, cpus, gpus, memory, cache, fetch, price, spot_price, boot, tuple(zones)
    )


def decode_machine_types(body: Any) -> dict[str, MachineType]:
    """Return the machine types by name from the response to GET /flavors.

    Raises KeyError, TypeError or ValueError if the response has another form.
    """
    machine_types = [_decode_machine_type(fields) for fields in body[MACHINE_TYPES_FIELD]]
    return {machine_type.name: machine_type for machine_type in machine_types}


def _decode_machine_type(fields: dict[str, Any]) -> MachineType:
    wire = MACHINE_TYPE_WIRE_NAMES
    return MachineType(
        name=fields[wire["name"]],
        cpus=float(fields[wire["cpus"]]),
        gpus=float(fields[wire["gpus"]]),
        memory_gb=float(fields[wire["memory_gb"]]),
        image_cache_gb=float(fields.get(wire["image_cache_gb"]) or 0),
        fetch_gb_s=float(fields.get(wire["fetch_gb_s"]) or DEFAULT_FETCH_GB_S),
        price=float(fields.get(wire["price"]) or 0),
        spot_price=float(fields.get(wire["spot_price"]) or 0),
        boot_s=float(fields.get(wire["boot_s"]) or 0),
        zones=tuple(fields.get(wire["zones"]) or ()),
    )


@dataclass(slots=True)
class CloudMachine:
    """A machine as the cloud lists it."""

    name: str
    address: str  # empty while the machine has none
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float  # time since it was rented


def decode_machine_page(body: Any) -> tuple[list[CloudMachine], bool]:
    """Return the machines on one page of GET /hosts, and whether there are more pages.

    Raises KeyError, TypeError or ValueError if the page has another form.
    """
    machines = [_decode_machine(fields) for fields in body[MACHINES_FIELD]]
    return machines, bool(body.get(MORE_PAGES_FIELD))


def _decode_machine(fields: dict[str, Any]) -> CloudMachine:
    wire = CLOUD_MACHINE_WIRE_NAMES
    return CloudMachine(
        name=fields[wire["name"]],
        address=fields.get(wire["address"]) or "",
        type=fields[wire["type"]],
        zone=fields[wire["zone"]],
        spot=bool(fields.get(wire["spot"])),
        state=fields[wire["state"]],
        age_s=float(fields.get(wire["age_s"]) or 0),
    )


def rental_request(
    request_id: str, machine_type: str, zone: str, spot: bool, count: int
) -> dict[str, object]:
    """Return the body of POST /hosts, which is idempotent for the same `request_id`."""
    return {
        REQUEST_ID_FIELD: request_id,
        MACHINE_TYPE_FIELD: machine_type,
        ZONE_FIELD: zone,
        SPOT_FIELD: spot,
        COUNT_FIELD: count,
    }


def decode_rented_names(body: Any) -> list[str]:
    """Return the names of the rented machines from the response to POST /hosts.

    Raises KeyError or TypeError if the response has another form.
    """
    return list(body[MACHINES_FIELD])


def says_no_capacity(body: Any) -> bool:
    """Return whether a response to POST /hosts says that the pool has no machines left."""
    return isinstance(body, dict) and body.get(ERROR_FIELD) == NO_CAPACITY


def return_request(names: list[str]) -> dict[str, list[str]]:
    """Return the body of POST /hosts/return, which returns the named machines to the cloud."""
    return {MACHINES_FIELD: names}
