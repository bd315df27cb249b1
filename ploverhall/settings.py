"""The platform's settings file (TOML) and the operators' own options (JSON with a schema)."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ploverhall.errors import SettingsError

DEFAULT_CLOCK_SKEW_S = 0.25  # how far the time of day may be off where the platform does not say


@dataclass(slots=True, frozen=True)
class PeerAddress:
    """Another controller."""

    name: str
    zone: str
    host: str
    port: int


@dataclass(slots=True, frozen=True)
class Team:
    """What a team is guaranteed and what it may use at most (0: none set)."""

    name: str
    guaranteed_cpus: float
    max_cpus: float
    guaranteed_gpus: float
    max_gpus: float


@dataclass(slots=True, frozen=True)
class Options:
    """Operators' own settings; the defaults serve without a file."""

    hold_s: float = 5.0
    sample: int = 5
    write_every_s: float = 0.03
    shard_lease_s: float = 4.0
    idle_return_s: float = 45.0
    spare: float = 1.4
    handback_s: float = 6.0
    direct: bool = True
    keep_ended: int = 20_000
    cut_off_s: float = 60.0
    carry: bool = True
    budget: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything a controller is told when it starts."""

    name: str
    zone: str
    bind: tuple[str, int]
    peer_listen: tuple[str, int]
    peers: tuple[PeerAddress, ...]
    cloud: tuple[str, int]
    store: tuple[str, int]
    zones: tuple[str, ...]
    teams: tuple[Team, ...]
    objectives: tuple[dict[str, Any], ...]
    heartbeat_interval_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float
    clock_skew_s: float
    store_rps: float
    store_write_rps: float
    max_value_bytes: int
    max_transaction_ops: int
    cloud_rps: float
    list_lag_s: float
    core_share: float
    memory_mb: float
    max_sockets: int
    options: Options = field(default_factory=Options)

    @property
    def controllers(self) -> list[tuple[str, str]]:
        """All controllers as (name, zone) in name order: a node's place is its dense index."""
        return sorted([(self.name, self.zone)] + [(peer.name, peer.zone) for peer in self.peers])


class _Table:
    """Reads fields of a TOML table, naming the field in every complaint."""

    def __init__(self, data: Any, where: str) -> None:
        if not isinstance(data, dict):
            raise SettingsError(f"{where or 'settings'}: must be a table")
        self.data = data
        self.where = where

    def _name(self, key: str) -> str:
        return f"{self.where}.{key}" if self.where else key

    def text(self, key: str) -> str:
        value = self.data.get(key)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"{self._name(key)}: must be a non-empty string")
        return value

    def number(self, key: str, least: float = 0.0, over: bool = False) -> float:
        value = self.data.get(key)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise SettingsError(f"{self._name(key)}: must be a number")
        if (
            value != value
            or value in (float("inf"), float("-inf"))
            or value < least
            or (over and value == least)
        ):
            raise SettingsError(f"{self._name(key)}: out of range")
        return float(value)

    def address(self, key: str) -> tuple[str, int]:
        host, _, port = self.text(key).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise SettingsError(f"{self._name(key)}: must be HOST:PORT")
        return host, int(port)

    def table(self, key: str) -> _Table:
        return _Table(self.data.get(key), self._name(key))

    def tables(self, key: str) -> list[_Table]:
        value = self.data.get(key, [])
        if not isinstance(value, list):
            raise SettingsError(f"{self._name(key)}: must be a list of tables")
        return [_Table(t, f"{self._name(key)}[{i}]") for i, t in enumerate(value)]


def parse(data: Any, options: Options | None = None) -> Settings:
    """Check the platform's settings and give them typed; unknown fields are ignored."""
    top = _Table(data, "")
    dep, ext = top.table("deployment"), top.table("external")
    workers, state = dep.table("workers"), dep.table("state")
    cloud, limits = dep.table("cloud"), dep.table("limits")
    zones = dep.data.get("zones")
    if not isinstance(zones, list) or not zones or not all(isinstance(z, str) for z in zones):
        raise SettingsError("deployment.zones: must be a list of names")
    peers = tuple(
        PeerAddress(table.text("host_name"), table.text("site"), *table.address("addr"))
        for table in top.tables("siblings")
    )
    teams = tuple(
        sorted(
            (
                Team(
                    table.text("name"),
                    table.number("cpus"),
                    table.number("cpus_max"),
                    table.number("gpus"),
                    table.number("gpus_max"),
                )
                for table in dep.tables("teams")
            ),
            key=lambda team: team.name,
        )
    )
    if len({team.name for team in teams}) != len(teams):
        raise SettingsError("deployment.teams: a name appears twice")
    settings = Settings(
        name=top.text("host_name"),
        zone=top.text("site"),
        bind=top.address("bind"),
        peer_listen=top.address("peer_listen"),
        peers=peers,
        cloud=ext.address("cloud"),
        store=ext.address("state"),
        zones=tuple(sorted(set(zones))),
        teams=teams,
        objectives=tuple(table.data for table in dep.tables("objectives")),
        heartbeat_interval_s=workers.number("report_s", over=True),
        lease_s=workers.number("lease_s", over=True),
        gang_wait_s=workers.number("gang_wait_s"),
        gang_peer_s=workers.number("gang_peer_s"),
        cancel_s=workers.number("cancel_s", over=True),
        clock_skew_s=dep.number("skew_ms") / 1000
        if "skew_ms" in dep.data
        else DEFAULT_CLOCK_SKEW_S,
        store_rps=state.number("rps", over=True),
        store_write_rps=state.number("write_rps", over=True),
        max_value_bytes=int(state.number("value_kb", over=True) * 1024),
        max_transaction_ops=int(state.number("txn_ops", 4)),
        cloud_rps=cloud.number("rps", over=True),
        list_lag_s=cloud.number("list_lag_s"),
        core_share=limits.number("core_share", over=True),
        memory_mb=limits.number("mem_mb", over=True),
        max_sockets=int(limits.number("max_sockets", 16)),
        options=options or Options(),
    )
    names = [name for name, _ in settings.controllers]
    if len(set(names)) != len(names):
        raise SettingsError("siblings: a host_name appears twice")
    return settings


def load(path: str | Path, options: str | Path | None = None) -> Settings:
    """Read and check both files."""
    try:
        with open(path, "rb") as f:
            data = tomllib.load(f)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return parse(data, load_options(options) if options else None)


def load_options(path: str | Path) -> Options:
    """Read the operators' options, checked against the published schema."""
    import fastjsonschema  # only here: most starts have no options file
    import orjson

    schema = orjson.loads((Path(__file__).parent / "options.schema.json").read_bytes())
    try:
        data = orjson.loads(Path(path).read_bytes())
        fastjsonschema.compile(schema)(data)
    except (OSError, orjson.JSONDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    except fastjsonschema.JsonSchemaException as error:
        raise SettingsError(f"{path}: {error}") from error
    return Options(**data)
