"""The command line: serve, check-config, status."""

from __future__ import annotations

import argparse
import sys

from ploverhall import __version__, settings


def main(argv: list[str] | None = None) -> int:
    """Run one command; the exit code says how it went."""
    p = argparse.ArgumentParser(prog="ploverhall", description=__doc__)
    p.add_argument("--version", action="version", version=__version__)
    sub = p.add_subparsers(dest="command", required=True)
    for name, text in (("serve", "run a controller"), ("check-config", "check settings and say what is wrong")):
        c = sub.add_parser(name, help=text)
        c.add_argument("--options", help="operators' own settings (JSON)")
        c.add_argument("--config", required=True, help="the platform's settings (TOML)")
    c = sub.add_parser("status", help="the whole fleet, whoever is asked: what is wrong, what waits, what died, and why")
    c.add_argument("address", help="HOST:PORT of a running controller")
    c.add_argument("--job", help="only this job, with its tasks")
    c.add_argument("--team", help="only this team's jobs")
    c.add_argument("--machine", help="only this machine, and the jobs with tasks on it")
    c.add_argument("--json", action="store_true", help="as JSON")
    args = p.parse_args(argv)
    if args.command == "status":
        from ploverhall.status import show

        return show(args.address, args.json, args.job, args.team, args.machine)
    try:
        s = settings.load(args.config, args.options)
    except settings.SettingsError as e:
        print(f"ploverhall: {e}", file=sys.stderr)
        return 2
    if args.command == "check-config":
        print(f"ok: {s.name} in {s.zone}, {len(s.nodes)} controllers, {len(s.teams)} teams")
        return 0
    from importlib.util import find_spec

    import anyio

    from ploverhall.control.node import Node

    async def serve() -> None:
        await Node(s).run()

    # anyio's own faster loop, where there is one: a third of the processor time of a request (docs/measurements.md)
    anyio.run(serve, backend_options={"use_uvloop": find_spec("uvloop") is not None})
    return 0
