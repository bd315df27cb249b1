"""The cloud's words."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class MachineType:
    """What the cloud sells under one name."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    image_cache_gb: float
    fetch_gb_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]

    @property
    def resources(self) -> tuple[float, float, float]:
        """What tasks can take."""
        return (self.cpus, self.gpus, self.memory_gb)

    def record(self) -> list[Any]:
        """The form kept in the state service, for starts while the cloud is down."""
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
    """The inverse of MachineType.record."""
    name, cpus, gpus, mem, cache, fetch, price, spot_price, boot, zones = record[:10]
    return MachineType(name, cpus, gpus, mem, cache, fetch, price, spot_price, boot, tuple(zones))


def decode_machine_types(body: Any) -> dict[str, MachineType]:
    """GET /flavors."""
    out = {}
    for flavor in body["breeds"]:
        out[flavor["name"]] = MachineType(
            flavor["name"],
            float(flavor["cores"]),
            float(flavor["gpus"]),
            float(flavor["ramGb"]),
            float(flavor.get("localGb") or 0),
            float(flavor.get("pullGbPerS") or 1),
            float(flavor.get("price") or 0),
            float(flavor.get("lowPrice") or 0),
            float(flavor.get("startupS") or 0),
            tuple(flavor.get("marshes") or ()),
        )
    return out


@dataclass(slots=True)
class CloudMachine:
    """A machine as the cloud lists it."""

    name: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


def decode_machine_page(body: Any) -> tuple[list[CloudMachine], bool]:
    """One page of GET /hosts."""
    items = [
        CloudMachine(
            p["id"],
            p.get("endpoint") or "",
            p["breed"],
            p["marsh"],
            bool(p.get("driftwood")),
            p["stance"],
            float(p.get("heldS") or 0),
        )
        for p in body["perches"]
    ]
    return items, bool(body.get("hasNext"))


def rental_request(
    request_id: str, machine_type: str, zone: str, spot: bool, count: int
) -> dict[str, Any]:
    """POST /hosts."""
    return {
        "plea": request_id,
        "breed": machine_type,
        "marsh": zone,
        "driftwood": spot,
        "count": count,
    }
