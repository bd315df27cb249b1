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
    mem: float
    cache_gb: float
    fetch_gb_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]

    @property
    def vec(self) -> tuple[float, float, float]:
        """What tasks can take."""
        return (self.cpus, self.gpus, self.mem)

    def record(self) -> list[Any]:
        """The form kept in the state service, for starts while the cloud is down."""
        return [
            self.name,
            self.cpus,
            self.gpus,
            self.mem,
            self.cache_gb,
            self.fetch_gb_s,
            self.price,
            self.spot_price,
            self.boot_s,
            list(self.zones),
        ]


def type_from_record(r: list[Any]) -> MachineType:
    """The inverse of MachineType.record."""
    name, cpus, gpus, mem, cache, fetch, price, spot_price, boot, zones = r[:10]
    return MachineType(name, cpus, gpus, mem, cache, fetch, price, spot_price, boot, tuple(zones))


def types(body: Any) -> dict[str, MachineType]:
    """GET /flavors."""
    out = {}
    for b in body["breeds"]:
        out[b["name"]] = MachineType(
            b["name"],
            float(b["cores"]),
            float(b["gpus"]),
            float(b["ramGb"]),
            float(b.get("localGb") or 0),
            float(b.get("pullGbPerS") or 1),
            float(b.get("price") or 0),
            float(b.get("lowPrice") or 0),
            float(b.get("startupS") or 0),
            tuple(b.get("marshes") or ()),
        )
    return out


@dataclass(slots=True)
class Listed:
    """A machine as the cloud lists it."""

    name: str
    addr: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


def listed(body: Any) -> tuple[list[Listed], bool]:
    """One page of GET /hosts."""
    items = [
        Listed(
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


def rent(name: str, type_: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    """POST /hosts."""
    return {"plea": name, "breed": type_, "marsh": zone, "driftwood": spot, "count": count}
