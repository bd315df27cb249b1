"""The protocol's rules on which submissions must not be accepted."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ploverhall.settings import Team

from . import parameters

# Fields without which a submission must be refused
REQUIRED_FIELDS = frozenset(
    (
        "id",
        "flock",
        "keeper",
        "gait",
        "rank",
        "chicks",
        "cores",
        "gpus",
        "ramGb",
        "plumage",
        "pullGb",
        "together",
        "scatter",
        "driftwood",
        "flightS",
        "nestS",
        "tuckS",
    )
)


def rejection_reason(body: dict[str, Any], teams: Mapping[str, Team]) -> str | None:
    """Return why a submission must be refused with status 400 or 422 under the protocol.

    Returns None if it may be accepted.
    """
    missing = sorted(REQUIRED_FIELDS - body.keys())
    if missing:
        return f"lacks {missing[0]}"
    team, machine_type = teams.get(body["keeper"]), parameters.MACHINE_TYPE
    zones = {zone for zone in machine_type.zones if body.get("marsh") in (None, zone)}
    if team is None:
        return "unknown team"
    requested = (body["cores"], body["gpus"], body["ramGb"])
    too_large = any(
        wanted > there for wanted, there in zip(requested, machine_type.resources, strict=True)
    )
    if too_large or not zones:
        return "fits no machine"
    if body.get("breeds") is not None and machine_type.name not in body["breeds"]:
        return "fits no allowed type"
    at_once = 1 if body["gait"] == "array" else body["chicks"]
    if body["gpus"] * at_once > team.max_gpus:
        return "more than the team's limit"
    spread = body["gait"] == "group" and body["scatter"] and body["chicks"] > 1
    if spread and (body["together"] or len(zones) < 2):
        return "gang that fits in no set of zones"
    return None
