"""Define maintenance orders: their fields, the machines that they match, and their stored form.

This module owns the field names of the stored form, which operators also send and see.
`controller.maintenance_requests` parses operators' orders; the autoscaler reads stored ones.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from ploverhall.errors import InvalidOrderError

ORDER_PREFIX = "p/upkeep/"  # prefix of the keys of orders in the key-value store
FEATURE_MAINTENANCE = "upkeep"  # announced by controllers that request and grant evictions
MAX_ACTIVE_ORDERS = 32  # limit on orders that are not finished
MAX_MACHINES_PER_ORDER = 100
MAX_CONCURRENT_LIMIT = 1000  # highest `max_concurrent` of an order
DEFAULT_MAX_CONCURRENT = 4
MAX_TEXT_LENGTH = 200
MAX_MACHINE_NAME_LENGTH = 100
RETENTION_S = 3600.0  # time for which a finished order is kept

# Stored names of the states
RUNNING = "running"
PAUSED = "paused"
STOPPED = "stopped"
DONE = "done"
STATES = (RUNNING, PAUSED, STOPPED, DONE)
STATE_BY_VERB = {"pause": PAUSED, "resume": RUNNING, "stop": STOPPED}
ORDER_ID_PATTERN = re.compile(r"u-[0-9a-z-]{1,40}\Z")

# Stored names of the fields
ID_FIELD = "id"
MACHINES_FIELD = "machines"
ZONE_FIELD = "zone"
MACHINE_TYPE_FIELD = "type"
SPOT_FIELD = "spot"
SHARD_FIELD = "part"
MAX_CONCURRENT_FIELD = "at_once"
STATE_FIELD = "state"
CREATED_AT_FIELD = "at"
NOTE_FIELD = "note"


@dataclass(frozen=True, slots=True)
class MaintenanceOrder:
    """An order to evict the tasks of machines and to delete the machines.

    It applies to the machines that match all of `machines`, `zone`, `machine_type`, `spot` and
    `shard`; a field that is None matches any machine.
    """

    id: str
    machines: frozenset[str] | None = None
    zone: str | None = None
    machine_type: str | None = None
    spot: bool | None = None
    shard: int | None = None
    max_concurrent: int = DEFAULT_MAX_CONCURRENT  # machines that are being drained at the same time
    state: str = RUNNING
    created_at: float = 0.0  # wall clock
    note: str = ""
    version: int = 0  # version of the order's key in the key-value store

    def matches(self, name: str, pool: tuple[str, str, bool], shard: int) -> bool:
        """Return whether the order applies to a machine.

        `pool` is the machine's type, its zone and whether it is a spot machine.
        """
        return (
            (self.machines is None or name in self.machines)
            and self.machine_type in (None, pool[0])
            and self.zone in (None, pool[1])
            and self.spot in (None, pool[2])
            and self.shard in (None, shard)
        )

    def blocks_rental(self, pool: tuple[str, str, bool]) -> bool:
        """Return whether no machine of a pool may be rented while the order is running.

        `pool` is the machine type, the zone and whether its machines are spot machines.
        """
        return (
            self.state == RUNNING
            and self.machines is None
            and self.shard is None
            and self.matches("", pool, -1)
        )

    @property
    def finished(self) -> bool:
        """Return whether the order is stopped or done."""
        return self.state in (STOPPED, DONE)

    def record(self) -> dict[str, Any]:
        """Return the form of the order that is stored and shown to operators."""
        return {
            MACHINES_FIELD: sorted(self.machines) if self.machines is not None else None,
            ZONE_FIELD: self.zone,
            MACHINE_TYPE_FIELD: self.machine_type,
            SPOT_FIELD: self.spot,
            SHARD_FIELD: self.shard,
            MAX_CONCURRENT_FIELD: self.max_concurrent,
            STATE_FIELD: self.state,
            CREATED_AT_FIELD: round(self.created_at, 1),
            NOTE_FIELD: self.note or None,
        }


def parse_order(order_id: Any, fields: Any, version: int = 0) -> MaintenanceOrder:
    """Parse and check an order in the form that operators send and that is stored.

    `version` is the version of the order's key in the key-value store. Raises InvalidOrderError if
    the order is invalid; the error names the field, if a single one is wrong.
    """
    if not isinstance(order_id, str) or not ORDER_ID_PATTERN.match(order_id):
        raise InvalidOrderError(ID_FIELD, "must be like u-7f3a")
    if not isinstance(fields, dict):
        raise InvalidOrderError(problem="not an object")
    order = MaintenanceOrder(
        order_id,
        machines=_machines(fields),
        spot=_spot(fields),
        shard=_shard(fields),
        max_concurrent=_max_concurrent(fields),
        state=_state(fields),
        created_at=_created_at(fields),
        zone=_text(fields, ZONE_FIELD),
        machine_type=_text(fields, MACHINE_TYPE_FIELD),
        note=_text(fields, NOTE_FIELD) or "",
        version=version,
    )
    if _matches_all(order):
        raise InvalidOrderError(
            problem="it would empty every machine: name a machine, zone, type, kind or part"
        )
    return order


def _matches_all(order: MaintenanceOrder) -> bool:
    """Return whether an order has no condition, so that it would match every machine."""
    conditions = (order.machines, order.zone, order.machine_type, order.spot, order.shard)
    return all(condition is None for condition in conditions)


def _machines(fields: dict[str, Any]) -> frozenset[str] | None:
    """Return the names of the machines, None if the field is missing."""
    names = fields.get(MACHINES_FIELD)
    if names is None:
        return None
    is_bounded_list = isinstance(names, list) and 0 < len(names) <= MAX_MACHINES_PER_ORDER
    if not is_bounded_list or not all(_is_machine_name(name) for name in names):
        raise InvalidOrderError(
            MACHINES_FIELD, f"must be a list of 1 to {MAX_MACHINES_PER_ORDER} names"
        )
    return frozenset(names)


def _is_machine_name(value: Any) -> bool:
    """Return whether a value is a string of a length that a machine name may have."""
    return isinstance(value, str) and 0 < len(value) <= MAX_MACHINE_NAME_LENGTH


def _spot(fields: dict[str, Any]) -> bool | None:
    """Return whether only spot or only other machines are meant, None if the field is missing."""
    spot = fields.get(SPOT_FIELD)
    if spot is not None and not isinstance(spot, bool):
        raise InvalidOrderError(SPOT_FIELD, "must be true or false")
    return spot


def _shard(fields: dict[str, Any]) -> int | None:
    """Return the shard index, None if the field is missing."""
    shard = fields.get(SHARD_FIELD)
    if shard is None:
        return None
    if isinstance(shard, bool) or not isinstance(shard, int) or shard < 0:
        raise InvalidOrderError(SHARD_FIELD, "must be a number")
    return shard


def _max_concurrent(fields: dict[str, Any]) -> int:
    """Return the limit on machines being drained, the default if the field is missing."""
    count = fields.get(MAX_CONCURRENT_FIELD, DEFAULT_MAX_CONCURRENT)
    is_integer = isinstance(count, int) and not isinstance(count, bool)
    if not is_integer or not 1 <= count <= MAX_CONCURRENT_LIMIT:
        raise InvalidOrderError(MAX_CONCURRENT_FIELD, f"must be 1 to {MAX_CONCURRENT_LIMIT}")
    return int(count)


def _state(fields: dict[str, Any]) -> str:
    """Return the state, `RUNNING` if the field is missing."""
    state = fields.get(STATE_FIELD, RUNNING)
    if state not in STATES:
        raise InvalidOrderError(STATE_FIELD, "unknown")
    return str(state)


def _created_at(fields: dict[str, Any]) -> float:
    """Return the creation time (wall clock), 0 if the field is missing."""
    created_at = fields.get(CREATED_AT_FIELD, 0.0)
    if isinstance(created_at, bool) or not isinstance(created_at, (int, float)):
        raise InvalidOrderError(CREATED_AT_FIELD, "must be a time")
    return float(created_at)


def _text(fields: dict[str, Any], field: str) -> str | None:
    """Return a printable text of bounded length, None if the field is missing."""
    value = fields.get(field)
    if value is None:
        return None
    is_bounded_text = isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH
    if not is_bounded_text or not value.isprintable():
        raise InvalidOrderError(field, "must be a name")
    return str(value)


def orders_in(entries: dict[str, tuple[Any, int]]) -> list[MaintenanceOrder]:
    """Return the orders among a store's entries (value and version by key), oldest first.

    Entries that can't be parsed as an order are skipped.
    """
    orders = []
    for key, (value, version) in entries.items():
        if key.startswith(ORDER_PREFIX):
            try:
                orders.append(parse_order(key.removeprefix(ORDER_PREFIX), value, version))
            except InvalidOrderError:
                continue
    return sorted(orders, key=lambda order: (order.created_at, order.id))
