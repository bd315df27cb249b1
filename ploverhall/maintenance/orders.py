"""Orders to take machines out of service: what they say, which machines they are about, and their form in the state service."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

ORDER = "p/upkeep/"  # followed by every controller
CAN = "upkeep"  # a member's word: it knows orders, and asks and grants within budgets
MOST = 32  # orders that are not over
MOST_NAMES = 100  # machines in one order
KEPT_S = 3600.0  # an order that is over can be looked at for so long
RUNNING, PAUSED, STOPPED, DONE = "running", "paused", "stopped", "done"
VERBS = {"pause": PAUSED, "resume": RUNNING, "stop": STOPPED}
ID = re.compile(r"u-[0-9a-z-]{1,40}\Z")


class Malformed(Exception):
    """An order that is not in the form; the message names the field."""


@dataclass(frozen=True, slots=True)
class Order:
    """Empty these machines and give them back. Everything that is set must match; None: any."""

    id: str
    machines: frozenset[str] | None = None
    zone: str | None = None
    type: str | None = None
    spot: bool | None = None
    part: int | None = None
    at_once: int = 4  # machines being emptied at the same time
    state: str = RUNNING
    at: float = 0.0  # wall clock
    note: str = ""
    version: int = 0

    def matches(self, name: str, kind: tuple[str, str, bool], part: int) -> bool:
        """Whether a machine of that type, zone and kind is meant."""
        return (
            (self.machines is None or name in self.machines)
            and self.type in (None, kind[0])
            and self.zone in (None, kind[1])
            and self.spot in (None, kind[2])
            and self.part in (None, part)
        )

    def closes(self, kind: tuple[str, str, bool]) -> bool:
        """Whether nothing of that kind is to be rented meanwhile."""
        return (
            self.state == RUNNING
            and self.machines is None
            and self.part is None
            and self.matches("", kind, -1)
        )

    @property
    def over(self) -> bool:
        """Whether it is stopped or done."""
        return self.state in (STOPPED, DONE)

    def record(self) -> dict[str, Any]:
        """The form kept in the state service and shown to people."""
        return {
            "machines": sorted(self.machines) if self.machines is not None else None,
            "zone": self.zone,
            "type": self.type,
            "spot": self.spot,
            "part": self.part,
            "at_once": self.at_once,
            "state": self.state,
            "at": round(self.at, 1),
            "note": self.note or None,
        }


def _text(d: dict[str, Any], key: str) -> str | None:
    v = d.get(key)
    if v is not None and (not isinstance(v, str) or not 0 < len(v) <= 200 or not v.isprintable()):
        raise Malformed(f"{key}: must be a name")
    return v


def parse(jid: Any, d: Any, version: int = 0) -> Order:
    """Check an order as a person sends it, or as it is kept. Raises Malformed."""
    if not isinstance(jid, str) or not ID.match(jid):
        raise Malformed("id: must be like u-7f3a")
    if not isinstance(d, dict):
        raise Malformed("not an object")
    names, spot, part, most, state = (
        d.get("machines"),
        d.get("spot"),
        d.get("part"),
        d.get("at_once", 4),
        d.get("state", RUNNING),
    )
    if names is not None and not (
        isinstance(names, list)
        and 0 < len(names) <= MOST_NAMES
        and all(isinstance(n, str) and 0 < len(n) <= 100 for n in names)
    ):
        raise Malformed(f"machines: must be a list of 1 to {MOST_NAMES} names")
    if spot is not None and not isinstance(spot, bool):
        raise Malformed("spot: must be true or false")
    if part is not None and (isinstance(part, bool) or not isinstance(part, int) or part < 0):
        raise Malformed("part: must be a number")
    if isinstance(most, bool) or not isinstance(most, int) or not 1 <= most <= 1000:
        raise Malformed("at_once: must be 1 to 1000")
    if state not in (RUNNING, PAUSED, STOPPED, DONE):
        raise Malformed("state: unknown")
    at = d.get("at", 0.0)
    if isinstance(at, bool) or not isinstance(at, (int, float)):
        raise Malformed("at: must be a time")
    out = Order(
        jid,
        frozenset(names) if names is not None else None,
        _text(d, "zone"),
        _text(d, "type"),
        spot,
        part,
        most,
        state,
        float(at),
        _text(d, "note") or "",
        version,
    )
    if names is None and out.zone is None and out.type is None and spot is None and part is None:
        raise Malformed("it would empty every machine: name a machine, zone, type, kind or part")
    return out


def all_of(keys: dict[str, tuple[Any, int]]) -> list[Order]:
    """The orders among a copy's keys, the oldest first; what is not in the form is passed over."""
    out = []
    for key, (value, version) in keys.items():
        if key.startswith(ORDER):
            try:
                out.append(parse(key[len(ORDER) :], value, version))
            except Malformed:
                continue
    return sorted(out, key=lambda o: (o.at, o.id))
