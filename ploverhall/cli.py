"""The command line: serve, check-config, status, drain, maintenance."""

from __future__ import annotations

import argparse
import sys
from typing import TypeAlias

from ploverhall import __version__, settings
from ploverhall.errors import SettingsError
from ploverhall.settings import Settings

CONTROLLER_ADDRESS_HELP = "HOST:PORT of a running controller"
MAINTENANCE = "maintenance"
MAINTENANCE_ALIAS = "upkeep"  # former name of the command
EXIT_USAGE = 2
Subparsers: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code.

    `argv` defaults to the arguments of the process.
    """
    args = _parser().parse_args(argv)
    if args.command in ("drain", MAINTENANCE, MAINTENANCE_ALIAS):
        from ploverhall.maintenance import command

        return command.drain(args) if args.command == "drain" else command.maintenance(args)
    if args.command == "status":
        from ploverhall.status import show

        return show(args.address, args.json, args.job, args.team, args.machine)
    try:
        config = settings.load(args.config, args.options)
    except SettingsError as error:
        print(f"ploverhall: {error}", file=sys.stderr)
        return EXIT_USAGE
    if args.command == "check-config":
        _print_summary(config)
    else:
        _serve(config)
    return 0


def _print_summary(config: Settings) -> None:
    print(
        f"ok: {config.name} in {config.zone}, {len(config.controllers)} controllers,"
        f" {len(config.teams)} teams"
    )


def _serve(config: Settings) -> None:
    """Run a controller until the process is terminated."""
    from importlib.util import find_spec

    import anyio

    from ploverhall.controller.controller import Controller

    async def serve() -> None:
        await Controller(config).run()

    # uvloop is used if it is installed: it saves a third of a request's CPU time
    # (docs/measurements.md)
    anyio.run(serve, backend_options={"use_uvloop": find_spec("uvloop") is not None})


# -- arguments ---------------------------------------------------------------------------------


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="ploverhall", description=__doc__)
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True)
    _add_config_command(commands, "serve", "run a controller")
    _add_config_command(commands, "check-config", "check settings and say what is wrong")
    _add_status_command(commands)
    _add_drain_command(commands)
    _add_maintenance_command(commands)
    return parser


def _add_config_command(commands: Subparsers, name: str, help_text: str) -> None:
    """Add a command that reads the settings files."""
    command = commands.add_parser(name, help=help_text)
    command.add_argument("--options", help="operators' own settings (JSON)")
    command.add_argument("--config", required=True, help="the platform's settings (TOML)")


def _add_status_command(commands: Subparsers) -> None:
    command = commands.add_parser(
        "status",
        help="the whole fleet, whoever is asked: what is wrong, what waits, what died, and why",
    )
    command.add_argument("address", help=CONTROLLER_ADDRESS_HELP)
    command.add_argument("--job", help="only this job, with its tasks")
    command.add_argument("--team", help="only this team's jobs")
    command.add_argument("--machine", help="only this machine, and the jobs with tasks on it")
    command.add_argument("--json", action="store_true", help="as JSON")


def _add_drain_command(commands: Subparsers) -> None:
    command = commands.add_parser(
        "drain",
        help="take machines out of service: empty them within the teams' budgets,"
        " and give them back",
    )
    command.add_argument("address", help=CONTROLLER_ADDRESS_HELP)
    command.add_argument("--machine", action="append", help="this machine; may be repeated")
    command.add_argument(
        "--zone", help="all machines of a zone; nothing is rented there while the order holds"
    )
    command.add_argument("--type", help="all machines of a type")
    command.add_argument(
        "--kind", choices=("spot", "ordinary"), help="only cheap or only ordinary ones"
    )
    command.add_argument("--part", type=int, help="all machines of a controller's part")
    command.add_argument(
        "--at-once", type=int, default=4, help="machines being emptied at the same time (4)"
    )
    command.add_argument("--note", help="why, for those who look")
    command.add_argument(
        "--id", help="name of the order, u-...; the same one is placed once (drawn if not given)"
    )
    command.add_argument("--dry-run", action="store_true", help="only say what it would be about")


def _add_maintenance_command(commands: Subparsers) -> None:
    command = commands.add_parser(
        MAINTENANCE,
        aliases=[MAINTENANCE_ALIAS],
        help="maintenance orders: list, show, pause, resume, stop",
    )
    command.add_argument("verb", choices=("list", "show", "pause", "resume", "stop"))
    command.add_argument("address", help=CONTROLLER_ADDRESS_HELP)
    command.add_argument("id", nargs="?", help="of an order")
