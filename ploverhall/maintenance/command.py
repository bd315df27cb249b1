"""Implement the commands `ploverhall drain` and `ploverhall maintenance`.

The commands send their requests to a running controller; any controller will do. `ploverhall.cli`
calls `drain` and `maintenance` with the parsed arguments and exits with the code that they return.
"""

from __future__ import annotations

import argparse
import json
import secrets
import sys
import urllib.error
import urllib.request
from typing import Any

MAX_ATTEMPTS = 5
TIMEOUT_S = 5
NO_RESPONSE = 0  # stands for a missing HTTP status


def request(address: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Send a request to a controller (HOST:PORT); return the HTTP status and the decoded JSON.

    The request is repeated while the controller cannot decide (503) or does not answer. That is
    safe: an order with the same id is stored once, even if answers to earlier requests were lost.
    Status 0 means that no response came at all.
    """
    data = _encode_body(method, body)
    status = NO_RESPONSE
    answer = None
    for _ in range(MAX_ATTEMPTS):
        try:
            with urllib.request.urlopen(
                urllib.request.Request(f"http://{address}{path}", data, method=method),
                timeout=TIMEOUT_S,
            ) as response:
                return response.status, json.load(response)
        except urllib.error.HTTPError as error:
            status, answer = error.code, _decode_error(error)
            if status != 503:
                break
        except (OSError, ValueError) as error:
            status, answer = NO_RESPONSE, {"error": str(error)}
    return status, answer


def _encode_body(method: str, body: Any) -> bytes | None:
    """Return the JSON body of a request; a POST without one gets an empty body, others None."""
    if body is not None:
        return json.dumps(body).encode()
    return b"" if method == "POST" else None


def _decode_error(error: urllib.error.HTTPError) -> Any:
    """Return the decoded JSON of an error response; None if its body is not JSON."""
    try:
        return json.load(error)
    except ValueError:
        return None


def _print_refusal(status: int, answer: Any) -> int:
    """Print why a request failed, and return the exit code."""
    reason = answer.get("error") if isinstance(answer, dict) else None
    print(f"ploverhall: {reason or f'status {status}'}", file=sys.stderr)
    return 1


def _print_state(order: dict[str, Any]) -> int:
    """Print the state of an order that was created or changed, and return the exit code."""
    print(f"order {order['id']} is {order['state']}")
    return 0


def drain(args: argparse.Namespace) -> int:
    """Create an order, or print its preview with `--dry-run`; return the exit code."""
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
        status, answer = request(args.address, "POST", "/upkeep/try", order)
        return _print_preview(answer) if status == 200 else _print_refusal(status, answer)
    status, answer = request(args.address, "POST", "/upkeep", order)
    return _print_state(answer) if status in (200, 201) else _print_refusal(status, answer)


def _print_preview(preview: dict[str, Any]) -> int:
    """Print what an order would drain, and return the exit code."""
    print(f"{preview['machines']} machines, in at least {preview['rounds_at_least']} rounds")
    for team, kinds in sorted(preview["teams"].items()):
        tasks = ", ".join(f"{count} tasks of {kind}s" for kind, count in sorted(kinds.items()))
        print(f"  {team}: {tasks}")
    if preview["not_asked"]:
        print(f"  not asked, so not counted: what {', '.join(preview['not_asked'])} hold")
    return 0


def maintenance(args: argparse.Namespace) -> int:
    """List, show or change orders, and return the exit code."""
    if args.verb in ("list", "show"):
        return _show_orders(args)
    if not args.id:
        return _print_refusal(
            NO_RESPONSE, {"error": f"maintenance {args.verb}: the id of an order is required"}
        )
    status, answer = request(args.address, "POST", f"/upkeep/{args.id}/{args.verb}")
    return _print_state(answer) if status == 200 else _print_refusal(status, answer)


def _show_orders(args: argparse.Namespace) -> int:
    """Print all orders or the one that was named, and return the exit code."""
    status, answer = request(args.address, "GET", "/upkeep")
    if status != 200:
        return _print_refusal(status, answer)
    selected = [
        order for order in answer["orders"] if args.verb == "list" or order["id"] == args.id
    ]
    if args.verb == "show" and not selected:
        return _print_refusal(404, {"error": f"no such order: {args.id!r}"})
    print("\n".join(format_orders(selected, answer["stops_that_wait"])))
    return 0


def format_orders(orders: list[dict[str, Any]], denial_counts: dict[str, int]) -> list[str]:
    """Return text lines that describe orders, and the number of waiting evictions by reason."""
    lines = []
    for order in orders:
        lines += _order_lines(order)
    lines += [
        f"stops that wait: {count}, {reason}" for reason, count in sorted(denial_counts.items())
    ]
    return lines or ["no orders"]


def _order_lines(order: dict[str, Any]) -> list[str]:
    """Return text lines that describe one order and its progress."""
    note = f" ({order['note']})" if order["note"] else ""
    lines = [
        f"{order['id']}: {order['state']}, {', '.join(_criteria(order))},"
        f" {order['at_once']} at once{note}"
    ]
    if "left" in order:
        draining = ", ".join(order["being_emptied"]) or "none"
        lines.append(f"  {order['left']} machines left; being emptied: {draining}")
    if order.get("waits"):
        lines.append(f"  waits: {order['waits']}")
    return lines


def _criteria(order: dict[str, Any]) -> list[str]:
    """Return descriptions of the criteria by which an order selects machines."""
    criteria = [f"{key} {order[key]}" for key in ("zone", "type", "part") if order[key] is not None]
    if order["spot"] is not None:
        criteria.append("spot" if order["spot"] else "ordinary")
    if order["machines"]:
        criteria.append(f"{len(order['machines'])} named machines")
    return criteria
