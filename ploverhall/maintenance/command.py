"""`ploverhall drain` and `ploverhall maintenance`: asks a running controller, whichever."""

from __future__ import annotations

import argparse
import json
import secrets
import sys
import urllib.error
import urllib.request
from typing import Any

MAX_ATTEMPTS = 5


def request(address: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """One request, asked again while the controller can't decide: an order is placed once, whatever became of the answer."""
    data = json.dumps(body).encode() if body is not None else b"" if method == "POST" else None
    status = 0
    out = None
    for _ in range(MAX_ATTEMPTS):
        try:
            with urllib.request.urlopen(
                urllib.request.Request(f"http://{address}{path}", data, method=method), timeout=5
            ) as f:
                return f.status, json.load(f)
        except urllib.error.HTTPError as error:
            try:
                status, out = error.code, json.load(error)
            except ValueError:
                status = error.code
                out = None
            if status != 503:
                break
        except (OSError, ValueError) as error:
            status, out = 0, {"error": str(error)}
    return status, out


def _refused(status: int, out: Any) -> int:
    why = out.get("error") if isinstance(out, dict) else None
    print(f"ploverhall: {why or f'status {status}'}", file=sys.stderr)
    return 1


def drain(args: argparse.Namespace) -> int:
    """Place an order, or say what it would be about."""
    order = {
        "id": args.id or f"u-{secrets.token_hex(4)}",
        "machines": args.machine,
        "zone": args.zone,
        "type": args.type,
        "spot": None if args.kind is None else args.kind == "spot",
        "part": args.part,
        "at_once": args.at_once,
        "note": args.note,
    }
    if args.dry_run:
        status, out = request(args.address, "POST", "/upkeep/try", order)
        if status != 200:
            return _refused(status, out)
        print(f"{out['machines']} machines, in at least {out['rounds_at_least']} rounds")
        for team, kinds in sorted(out["teams"].items()):
            print(
                f"  {team}: "
                + ", ".join(f"{n} tasks of {kind}s" for kind, n in sorted(kinds.items()))
            )
        if out["not_asked"]:
            print(f"  not asked, so not counted: what {', '.join(out['not_asked'])} hold")
        return 0
    status, out = request(args.address, "POST", "/upkeep", order)
    if status not in (200, 201):
        return _refused(status, out)
    print(f"order {out['id']} is {out['state']}")
    return 0


def maintenance(args: argparse.Namespace) -> int:
    """List, show or change orders."""
    if args.verb in ("list", "show"):
        status, out = request(args.address, "GET", "/upkeep")
        if status != 200:
            return _refused(status, out)
        found = [o for o in out["orders"] if args.verb == "list" or o["id"] == args.id]
        if args.verb == "show" and not found:
            return _refused(404, {"error": "no such order"})
        print("\n".join(format_lines(found, out["stops_that_wait"])))
        return 0
    if not args.id:
        return _refused(0, {"error": "which order?"})
    status, out = request(args.address, "POST", f"/upkeep/{args.id}/{args.verb}")
    if status != 200:
        return _refused(status, out)
    print(f"order {out['id']} is {out['state']}")
    return 0


def format_lines(found: list[dict[str, Any]], asked: dict[str, int]) -> list[str]:
    """Orders for a person."""
    out = []
    for o in found:
        about = [
            f"{key} {value}"
            for key, value in (("zone", o["zone"]), ("type", o["type"]), ("part", o["part"]))
            if value is not None
        ]
        about += ["spot" if o["spot"] else "ordinary"] if o["spot"] is not None else []
        about += [f"{len(o['machines'])} named machines"] if o["machines"] else []
        note = f" ({o['note']})" if o["note"] else ""
        out.append(f"{o['id']}: {o['state']}, {', '.join(about)}, {o['at_once']} at once{note}")
        if "left" in o:
            out.append(
                f"  {o['left']} machines left; being emptied: {', '.join(o['being_emptied']) or 'none'}"
            )
        if o.get("waits"):
            out.append(f"  waits: {o['waits']}")
    out += [f"stops that wait: {count}, {why}" for why, count in sorted(asked.items())]
    return out or ["no orders"]
