"""Reads the platform's settings file (TOML) and the operators' options (JSON with a schema).

The command line calls `load`; tests call `parse`. The names of fields and options are published.
All times are in seconds unless a field's name in the file says otherwise.
"""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ploverhall.errors import SettingsError

# Maximum difference between the wall clocks of controllers, if the platform does not set it
DEFAULT_CLOCK_SKEW_S = 0.25
MAX_PORT = 65_535


@dataclass(slots=True, frozen=True)
class PeerAddress:
    """Another controller, with the address at which it listens for its peers."""

    name: str
    zone: str
    host: str
    port: int


@dataclass(slots=True, frozen=True)
class Team:
    """The guaranteed quota and the limit of a team; 0 means that none is set."""

    name: str
    guaranteed_cpus: float
    max_cpus: float
    guaranteed_gpus: float
    max_gpus: float


@dataclass(slots=True, frozen=True)
class Options:
    """The operators' own options, explained in docs/operations.md; all have defaults."""

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
    """The complete configuration of a controller."""

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
        """Return all controllers as (name, zone), sorted by name.

        The position in the list is the controller's index.
        """
        return sorted([(self.name, self.zone)] + [(peer.name, peer.zone) for peer in self.peers])


class _Table:
    """Reads the fields of a TOML table.

    Every method raises `SettingsError`, which names the field, if the value is not valid.
    """

    def __init__(self, data: Any, where: str) -> None:
        if not isinstance(data, dict):
            raise SettingsError(f"{where or 'settings'}: must be a table")
        self.data = data
        self.where = where

    def _name(self, key: str) -> str:
        return f"{self.where}.{key}" if self.where else key

    def text(self, key: str) -> str:
        """Return the value of a field that must be a non-empty string."""
        value = self.data.get(key)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"{self._name(key)}: must be a non-empty string")
        return value

    def number(self, key: str, minimum: float = 0.0, exclusive: bool = False) -> float:
        """Return the value of a field that must be a finite number of at least `minimum`.

        With `exclusive`, the number must be greater than `minimum`.
        """
        value = self.data.get(key)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise SettingsError(f"{self._name(key)}: must be a number")
        if not math.isfinite(value) or value < minimum or (exclusive and value == minimum):
            raise SettingsError(f"{self._name(key)}: out of range")
        return float(value)

    def address(self, key: str) -> tuple[str, int]:
        """Return host and port of a field that must be HOST:PORT."""
        host, _, port = self.text(key).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise SettingsError(f"{self._name(key)}: must be HOST:PORT")
        return host, int(port)

    def table(self, key: str) -> _Table:
        """Return the table in a field of this table."""
        return _Table(self.data.get(key), self._name(key))

    def tables(self, key: str) -> list[_Table]:
        """Return the list of tables in a field; an empty list if the field is missing."""
        value = self.data.get(key, [])
        if not isinstance(value, list):
            raise SettingsError(f"{self._name(key)}: must be a list of tables")
        return [_Table(item, f"{self._name(key)}[{index}]") for index, item in enumerate(value)]


def parse(data: Any, options: Options | None = None) -> Settings:
    """Validate and convert the platform's settings, given as parsed TOML.

    Unknown fields are ignored.

    Raises:
        SettingsError: A field is not valid; the error names the field.
    """
    top = _Table(data, "")
    deployment, external = top.table("deployment"), top.table("external")
    agents, store = deployment.table("workers"), deployment.table("state")
    cloud, limits = deployment.table("cloud"), deployment.table("limits")
    zones = _parse_zones(deployment)
    peers = _parse_peers(top)
    teams = _parse_teams(deployment)
    settings = Settings(
        name=top.text("host_name"),
        zone=top.text("site"),
        bind=top.address("bind"),
        peer_listen=top.address("peer_listen"),
        peers=peers,
        cloud=external.address("cloud"),
        store=external.address("state"),
        zones=zones,
        teams=teams,
        objectives=tuple(table.data for table in deployment.tables("objectives")),
        heartbeat_interval_s=agents.number("report_s", exclusive=True),
        lease_s=agents.number("lease_s", exclusive=True),
        gang_wait_s=agents.number("gang_wait_s"),
        gang_peer_s=agents.number("gang_peer_s"),
        cancel_s=agents.number("cancel_s", exclusive=True),
        clock_skew_s=_parse_clock_skew_s(deployment),
        store_rps=store.number("rps", exclusive=True),
        store_write_rps=store.number("write_rps", exclusive=True),
        max_value_bytes=int(store.number("value_kb", exclusive=True) * 1024),
        max_transaction_ops=int(store.number("txn_ops", 4)),
        cloud_rps=cloud.number("rps", exclusive=True),
        list_lag_s=cloud.number("list_lag_s"),
        core_share=limits.number("core_share", exclusive=True),
        memory_mb=limits.number("mem_mb", exclusive=True),
        max_sockets=int(limits.number("max_sockets", 16)),
        options=options or Options(),
    )
    _check_unique_names(settings)
    return settings


def _parse_zones(deployment: _Table) -> tuple[str, ...]:
    zones = deployment.data.get("zones")
    if not isinstance(zones, list) or not zones or not all(isinstance(z, str) for z in zones):
        raise SettingsError("deployment.zones: must be a list of names")
    return tuple(sorted(set(zones)))


def _parse_peers(top: _Table) -> tuple[PeerAddress, ...]:
    return tuple(
        PeerAddress(table.text("host_name"), table.text("site"), *table.address("addr"))
        for table in top.tables("siblings")
    )


def _parse_teams(deployment: _Table) -> tuple[Team, ...]:
    """Return all teams, sorted by name."""
    teams = [
        Team(
            table.text("name"),
            table.number("cpus"),
            table.number("cpus_max"),
            table.number("gpus"),
            table.number("gpus_max"),
        )
        for table in deployment.tables("teams")
    ]
    if len({team.name for team in teams}) != len(teams):
        raise SettingsError(
            f"deployment.teams: every name must be unique: {[team.name for team in teams]!r}"
        )
    return tuple(sorted(teams, key=lambda team: team.name))


def _parse_clock_skew_s(deployment: _Table) -> float:
    if "skew_ms" not in deployment.data:
        return DEFAULT_CLOCK_SKEW_S
    return deployment.number("skew_ms") / 1000


def _check_unique_names(settings: Settings) -> None:
    """Raise `SettingsError` if two controllers have the same name."""
    names = [name for name, _ in settings.controllers]
    if len(set(names)) != len(names):
        raise SettingsError(
            f"siblings: every host_name must be unique and differ from this controller's: {names!r}"
        )


def load(path: str | Path, options: str | Path | None = None) -> Settings:
    """Read and validate the settings file and, if given, the options file.

    Raises:
        SettingsError: A file cannot be read or is not valid; the error names the file or field.
    """
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return parse(data, load_options(options) if options else None)


def load_options(path: str | Path) -> Options:
    """Read the operators' options.

    Raises:
        SettingsError: The file cannot be read or does not match the schema.
    """
    import fastjsonschema  # imported here, because most starts have no options file
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
