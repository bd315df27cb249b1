"""Orders to take machines out of service: what they say, which machines they are about, and their form in the state service."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from ploverhall.errors import InvalidOrderError

ORDER_PREFIX = "p/upkeep/"  # followed by every controller
# A member's word: it knows orders, and asks and grants within budgets
FEATURE_MAINTENANCE = "upkeep"
MAX_ACTIVE_ORDERS = 32  # orders that are not over
MAX_MACHINES_PER_ORDER = 100  # machines in one order
RETENTION_S = 3600.0  # an order that is over can be looked at for so long
RUNNING = "running"
PAUSED = "paused"
STOPPED = "stopped"
DONE = "done"
STATE_BY_VERB = {"pause": PAUSED, "resume": RUNNING, "stop": STOPPED}
ORDER_ID_PATTERN = re.compile(r"u-[0-9a-z-]{1,40}\Z")


@dataclass(frozen=True, slots=True)
class MaintenanceOrder:
    """Empty these machines and give them back. Everything that is set must match; None: any."""

    id: str
    machines: frozenset[str] | None = None
    zone: str | None = None
    machine_type: str | None = None
    spot: bool | None = None
    shard: int | None = None
    max_concurrent: int = 4  # machines being emptied at the same time
    state: str = RUNNING
    created_at: float = 0.0  # wall clock
    note: str = ""
    version: int = 0

    def matches(self, name: str, pool: tuple[str, str, bool], shard: int) -> bool:
        """Whether a machine of that type, zone and kind is meant."""
        return (
            (self.machines is None or name in self.machines)
            and self.machine_type in (None, pool[0])
            and self.zone in (None, pool[1])
            and self.spot in (None, pool[2])
            and self.shard in (None, shard)
        )

    def blocks_rental(self, pool: tuple[str, str, bool]) -> bool:
        """Whether nothing of that kind is to be rented meanwhile."""
        return (
            self.state == RUNNING
            and self.machines is None
            and self.shard is None
            and self.matches("", pool, -1)
        )

    @property
    def finished(self) -> bool:
        """Whether it is stopped or done."""
        return self.state in (STOPPED, DONE)

    def record(self) -> dict[str, Any]:
        """The form kept in the state service and shown to people."""
        return {
            "machines": sorted(self.machines) if self.machines is not None else None,
            "zone": self.zone,
            "type": self.machine_type,
            "spot": self.spot,
            "part": self.shard,
            "at_once": self.max_concurrent,
            "state": self.state,
            "at": round(self.created_at, 1),
            "note": self.note or None,
        }


def _text(fields: dict[str, Any], key: str) -> str | None:
    value = fields.get(key)
    if value is not None and (
        not isinstance(value, str) or not 0 < len(value) <= 200 or not value.isprintable()
    ):
        raise InvalidOrderError(key, "must be a name")
    return value


def parse_order(order_id: Any, fields: Any, version: int = 0) -> MaintenanceOrder:
    """Check an order as a person sends it, or as it is kept. Raises Malformed."""
    if not isinstance(order_id, str) or not ORDER_ID_PATTERN.match(order_id):
        raise InvalidOrderError("id", "must be like u-7f3a")
    if not isinstance(fields, dict):
        raise InvalidOrderError(problem="not an object")
    names, spot, shard, max_concurrent, state = (
        fields.get("machines"),
        fields.get("spot"),
        fields.get("part"),
        fields.get("at_once", 4),
        fields.get("state", RUNNING),
    )
    if names is not None and not (
        isinstance(names, list)
        and 0 < len(names) <= MAX_MACHINES_PER_ORDER
        and all(isinstance(n, str) and 0 < len(n) <= 100 for n in names)
    ):
        raise InvalidOrderError(
            "machines", f"must be a list of 1 to {MAX_MACHINES_PER_ORDER} names"
        )
    if spot is not None and not isinstance(spot, bool):
        raise InvalidOrderError("spot", "must be true or false")
    if shard is not None and (isinstance(shard, bool) or not isinstance(shard, int) or shard < 0):
        raise InvalidOrderError("part", "must be a number")
    if (
        isinstance(max_concurrent, bool)
        or not isinstance(max_concurrent, int)
        or not 1 <= max_concurrent <= 1000
    ):
        raise InvalidOrderError("at_once", "must be 1 to 1000")
    if state not in (RUNNING, PAUSED, STOPPED, DONE):
        raise InvalidOrderError("state", "unknown")
    at = fields.get("at", 0.0)
    if isinstance(at, bool) or not isinstance(at, (int, float)):
        raise InvalidOrderError("at", "must be a time")
    order = MaintenanceOrder(
        order_id,
        frozenset(names) if names is not None else None,
        _text(fields, "zone"),
        _text(fields, "type"),
        spot,
        shard,
        max_concurrent,
        state,
        float(at),
        _text(fields, "note") or "",
        version,
    )
    if (
        names is None
        and order.zone is None
        and order.machine_type is None
        and spot is None
        and shard is None
    ):
        raise InvalidOrderError(
            problem="it would empty every machine: name a machine, zone, type, kind or part"
        )
    return order


def orders_in(entries: dict[str, tuple[Any, int]]) -> list[MaintenanceOrder]:
    """The orders among a copy's keys, the oldest first; what is not in the form is passed over."""
    out = []
    for key, (value, version) in entries.items():
        if key.startswith(ORDER_PREFIX):
            try:
                out.append(parse_order(key[len(ORDER_PREFIX) :], value, version))
            except InvalidOrderError:
                continue
    return sorted(out, key=lambda order: (order.created_at, order.id))
