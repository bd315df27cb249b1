"""The command line: serve, check-config, status, drain, maintenance."""

from __future__ import annotations

import argparse
import sys

from ploverhall import __version__, settings
from ploverhall.errors import SettingsError


def main(argv: list[str] | None = None) -> int:
    """Run one command; the exit code says how it went."""
    parser = argparse.ArgumentParser(prog="ploverhall", description=__doc__)
    parser.add_argument("--version", action="version", version=__version__)
    sub = parser.add_subparsers(dest="command", required=True)
    for name, text in (
        ("serve", "run a controller"),
        ("check-config", "check settings and say what is wrong"),
    ):
        c = sub.add_parser(name, help=text)
        c.add_argument("--options", help="operators' own settings (JSON)")
        c.add_argument("--config", required=True, help="the platform's settings (TOML)")
    c = sub.add_parser(
        "status",
        help="the whole fleet, whoever is asked: what is wrong, what waits, what died, and why",
    )
    c.add_argument("address", help="HOST:PORT of a running controller")
    c.add_argument("--job", help="only this job, with its tasks")
    c.add_argument("--team", help="only this team's jobs")
    c.add_argument("--machine", help="only this machine, and the jobs with tasks on it")
    c.add_argument("--json", action="store_true", help="as JSON")
    c = sub.add_parser(
        "drain",
        help="take machines out of service: empty them within the teams' budgets, and give them back",
    )
    c.add_argument("address", help="HOST:PORT of a running controller")
    c.add_argument("--machine", action="append", help="this machine; may be repeated")
    c.add_argument(
        "--zone", help="all machines of a zone; nothing is rented there while the order holds"
    )
    c.add_argument("--type", help="all machines of a type")
    c.add_argument("--kind", choices=("spot", "ordinary"), help="only cheap or only ordinary ones")
    c.add_argument("--part", type=int, help="all machines of a controller's part")
    c.add_argument(
        "--at-once", type=int, default=4, help="machines being emptied at the same time (4)"
    )
    c.add_argument("--note", help="why, for those who look")
    c.add_argument(
        "--id", help="name of the order, u-...; the same one is placed once (drawn if not given)"
    )
    c.add_argument("--dry-run", action="store_true", help="only say what it would be about")
    c = sub.add_parser(
        "maintenance",
        aliases=["upkeep"],
        help="maintenance orders: list, show, pause, resume, stop",
    )
    c.add_argument("verb", choices=("list", "show", "pause", "resume", "stop"))
    c.add_argument("address", help="HOST:PORT of a running controller")
    c.add_argument("id", nargs="?", help="of an order")
    args = parser.parse_args(argv)
    if args.command in ("drain", "maintenance", "upkeep"):
        from ploverhall.maintenance import command

        return command.drain(args) if args.command == "drain" else command.maintenance(args)
    if args.command == "status":
        from ploverhall.status import show

        return show(args.address, args.json, args.job, args.team, args.machine)
    try:
        config = settings.load(args.config, args.options)
    except SettingsError as error:
        print(f"ploverhall: {error}", file=sys.stderr)
        return 2
    if args.command == "check-config":
        print(
            f"ok: {config.name} in {config.zone}, {len(config.controllers)} controllers, {len(config.teams)} teams"
        )
        return 0
    from importlib.util import find_spec

    import anyio

    from ploverhall.controller.controller import Controller

    async def serve() -> None:
        await Controller(config).run()

    # anyio's own faster loop, where there is one: a third of the processor time of a request (docs/measurements.md)
    anyio.run(serve, backend_options={"use_uvloop": find_spec("uvloop") is not None})
    return 0
