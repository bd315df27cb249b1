"""Builds the rows of machines in one controller's status report, and order previews.

`shard_status` calls `add_machines` for every held shard, and `add_order_preview` if a maintenance
order is to be previewed.
"""

from __future__ import annotations

import orjson

from ploverhall.controller.context import HeldShard
from ploverhall.controller.status_fields import (
    MachineRow,
    OrderPreview,
    Selection,
    ShardFields,
)
from ploverhall.errors import InvalidOrderError
from ploverhall.maintenance import orders
from ploverhall.scheduling.machines import Machine

STATES_SHOWN_ON_REQUEST = (
    "up",
    "draining",
    "leaving",
)  # machine states that are shown only on request
PREVIEW_ID = "u-0"  # placeholder: the id of an order doesn't affect what it would drain


def add_machines(
    report: ShardFields, held: HeldShard, now: float, selection: Selection | None
) -> None:
    """Count one shard's machines by state, and add rows of some.

    With a selection, only the selected machine gets a row; without one, every machine in a state
    other than `STATES_SHOWN_ON_REQUEST` does.
    """
    inventory = held.owner.inventory
    for machine in held.owner.machines.values():
        state = _machine_state(machine, now, inventory.unresponsive_after_s)
        report["machines"][state] = report["machines"].get(state, 0) + 1
        if selection:
            shown = selection.get("machine") == machine.name
        else:
            shown = state not in STATES_SHOWN_ON_REQUEST
        if shown:
            report["trouble_machines"].append(_machine_row(held, machine, state, now))


def _machine_row(held: HeldShard, machine: Machine, state: str, now: float) -> MachineRow:
    """Return the row of one machine; times are in seconds."""
    unheard_s = round(now - machine.awaited_since, 1) if machine.not_receiving else 0.0
    free_capacity = held.owner.inventory.free_capacity(machine)
    return {
        "name": machine.name,
        "type": machine.type,
        "zone": machine.zone,
        "spot": machine.spot,
        "tasks": len(machine.tasks),
        "state": state,
        "silent_s": round(now - machine.last_heartbeat_at, 1),
        "failed": sorted(machine.failures_by_job),
        "unheard_s": unheard_s,
        "free": [round(amount, 2) for amount in free_capacity],
    }


def _machine_state(machine: Machine, now: float, unresponsive_after_s: float) -> str:
    """Return the state of a machine, the most serious one that applies."""
    if machine.not_receiving and not machine.lease_expired:
        return "unreachable"
    if machine.lease_expired or now - machine.last_heartbeat_at > unresponsive_after_s:
        return "silent"
    if machine.termination_notice_s is not None:
        return "leaving"
    if machine.quarantined_until > now:
        return "not trusted"
    return "draining" if machine.draining else "up"


def add_order_preview(preview: OrderPreview, held: HeldShard, text: str) -> None:
    """Add the machines and tasks of a shard that a maintenance order would drain.

    `text` is the order as JSON. An order that is malformed, or of a later release, adds nothing.
    """
    try:
        order = orders.parse_order(PREVIEW_ID, orjson.loads(text))
    except (InvalidOrderError, orjson.JSONDecodeError):
        return
    for machine in held.owner.machines.values():
        if order.matches(machine.name, machine.pool, held.shard):
            preview["machines"] = preview.get("machines", 0) + 1
            _add_drained_tasks(preview, held, machine)


def _add_drained_tasks(preview: OrderPreview, held: HeldShard, machine: Machine) -> None:
    """Add the tasks of one machine to the preview's counts by team and kind of job."""
    for attempt_id, permit in machine.permits.items():
        traits = held.owner.inventory.job_traits.get(attempt_id.job_id)
        if traits is not None and not permit.gone and not permit.refused:
            kinds = preview.setdefault("teams", {}).setdefault(traits.team, {})
            kinds[traits.kind] = kinds.get(traits.kind, 0) + 1
