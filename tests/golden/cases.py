"""Call the package's encoders, decoders and command line directly, on fixed inputs.

This is the only module of the golden tests that uses names inside the package, so a rename in the
package is applied here. Every result is made of plain values; records are shown without the names
of their fields.
"""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import tomllib
import urllib.request
from collections.abc import Callable, Iterator
from dataclasses import astuple
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
import cbor2

import ploverhall
from ploverhall import settings
from ploverhall.cli import main
from ploverhall.connectivity.relay_routes import RelayRoutes
from ploverhall.coordination import fencing_tokens
from ploverhall.coordination.shard_map import ShardMap
from ploverhall.coordination.state_channel import InboundChannels, OutboundChannels
from ploverhall.errors import (
    InvalidHeartbeatError,
    InvalidJobError,
    InvalidOrderError,
    InvalidPeerMessageError,
    InvalidRelayMessageError,
    OutcomeUnknownError,
    RequestRefusedError,
    SettingsError,
)
from ploverhall.maintenance import orders
from ploverhall.maintenance.disruption_budget import DisruptionBudgets
from ploverhall.protocol import agents, cloud, jobs, peer_messages, relay_messages
from ploverhall.protocol.key_value_store import KeyValueStore
from ploverhall.storage import image_index, schema

from . import inputs

REFUSALS = (
    InvalidRelayMessageError,
    InvalidPeerMessageError,
    InvalidHeartbeatError,
    InvalidOrderError,
    InvalidJobError,
    SettingsError,
)


def outcome(decode: Callable[..., Any], *args: Any) -> Any:
    """Return what a decoder returns for a value, or the text of its refusal."""
    try:
        return decode(*args)
    except REFUSALS as e:
        return f"refused: {e}"


# -- published interfaces -----------------------------------------------------------------------


def heartbeats() -> list[Any]:
    """Return decoded heartbeats, each as the whole record with its tasks."""

    def decode(body: bytes) -> Any:
        report = agents.decode_heartbeat(body)
        listed = [[list(key), list(astuple(task))] for key, task in report.tasks().items()]
        return [
            report.machine,
            report.address,
            report.type,
            report.zone,
            report.spot,
            report.incarnation,
            report.sequence,
            report.token,
            report.termination_notice_s,
            listed,
        ]

    listed = [
        {"chick": f"j-000001/{i}", "hatch": i, "stance": stance, "cause": cause, "kept": kept}
        for i, (stance, cause, kept) in enumerate(
            (
                ("pulling", None, None),
                ("waiting", None, None),
                ("running", "", False),
                ("flushing", None, True),
                ("ended", "done", True),
                ("ended", "error", False),
                ("of a later release", None, None),
            )
        )
    ]
    least = {
        k: v for k, v in inputs.HEARTBEAT.items() if k not in ("driftwood", "warningS", "chicks")
    }
    changed: list[dict[str, Any]] = [
        {"chicks": listed},
        {"warningS": 30},
        {"driftwood": True, "new": 1},
        {"tide": 1 << 64},
        {"chicks": None},
    ]
    bodies = [least, *({**inputs.HEARTBEAT, **change} for change in changed)]
    return [{"body": body, "read": outcome(decode, json.dumps(body).encode())} for body in bodies]


def commands() -> list[Any]:
    """Return commands to machines as they are encoded."""
    key = agents.AttemptId("j-000412", 3, 2)
    calls = [agents.run_command(key), agents.kill_command(key, 1.5), agents.reap_command(key)]
    return [
        agents.heartbeat_answer(5, calls),
        agents.direct_request(5, 1, calls),
        agents.redirect("c1"),
        agents.redirect(None),
    ]


def cloud_answers() -> list[Any]:
    """Decode answers of the cloud, with and without their optional fields."""
    least = {"name": "t", "cores": 1, "gpus": 0, "ramGb": 2}
    whole = {
        **least,
        "localGb": 3,
        "pullGbPerS": 4,
        "price": 5,
        "lowPrice": 6,
        "startupS": 7,
        "marshes": ["a"],
        "new": 1,
    }
    machine = {"id": "n-1", "breed": "t", "marsh": "a", "stance": "booting"}
    pages = [
        {"perches": [machine]},
        {
            "perches": [{**machine, "endpoint": "x:1", "driftwood": True, "heldS": 2}],
            "hasNext": True,
        },
    ]
    listed = [cloud.decode_machine_page(page) for page in pages]
    return [
        [cloud.decode_machine_types({"breeds": [one]})["t"].record() for one in (least, whole)],
        [[[list(astuple(m)) for m in machines], more] for machines, more in listed],
        cloud.rental_request("r-1", "t", "a", True, 3),
    ]


def store_answers() -> dict[str, Any]:
    """Return each request to the state service, and the result that each answer gives."""
    answers: dict[str, tuple[int, Any]] = {
        "found": (200, {"path": "a", "v": [1], "feather": 4}),
        "none": (404, {"moult": 9}),
        "refused": (503, {"error": "trouble"}),
        "too many": (429, {}),
        "gateway": (502, None),
        "failed": (409, {"failed": ["a"], "moult": 9}),
        "done": (200, {"moult": 9}),
        "no lease": (400, {"error": "no such lease"}),
        "too old": (410, {}),
        "lease": (200, {"tether": 7}),
        "extended": (200, {}),
        "news": (
            200,
            {
                "moult": 9,
                "news": [{"put": "a", "v": 1, "feather": 8}, {"delete": "b", "feather": 9}],
            },
        ),
        "page": (
            200,
            {"items": [{"path": "a", "v": 1, "feather": 8}], "hasNext": False, "moult": 9},
        ),
        "odd": (200, []),
    }
    calls: dict[str, Callable[[KeyValueStore], Any]] = {
        "get": lambda s: s.get("a b/ü"),
        "read": lambda s: s.list_prefix("c/"),
        "watch": lambda s: s.watch("p/", 5, 1000),
        "txn": lambda s: s.compare_and_swap({"a": 1}, {"b": 2, "c": 3}, ["d"], 7, frozenset("c")),
        "grant": lambda s: s.grant_lease(4.0),
        "renew": lambda s: s.renew_lease(7),
    }
    return {
        name: {a: _call_store(call, answer) for a, answer in answers.items()}
        for name, call in calls.items()
    }


def _call_store(call: Callable[[KeyValueStore], Any], answer: tuple[int, Any]) -> Any:
    sent: list[Any] = []

    class Service:
        async def call(
            self,
            method: str,
            target: str,
            body: object = None,
            timeout: float = 3.0,
            hold: float = 0.0,
        ) -> Any:
            sent.append([method, target, body])
            return answer

    async def ask() -> Any:
        try:
            return await call(KeyValueStore(Service(), 1000.0, 1000.0))
        except RequestRefusedError:
            return "surely not executed"
        except OutcomeUnknownError:
            return "outcome unknown"

    return {"sent": sent, "read": plain(anyio.run(ask))}


def plain(value: Any) -> Any:
    """Convert tuples, sets, records and bytes to values that JSON can hold."""
    if hasattr(value, "__dataclass_fields__"):
        return plain(list(astuple(value)))
    if isinstance(value, dict):
        return {str(k): plain(v) for k, v in value.items()}
    if isinstance(value, (list, tuple)):
        return [plain(v) for v in value]
    if isinstance(value, (set, frozenset)):
        return sorted(plain(v) for v in value)
    return f"hex:{value.hex()}" if isinstance(value, bytes) else value


# -- the link between controllers ---------------------------------------------------------------


def cancellation_gossip() -> list[Any]:
    """Decode cancellation messages and encode the result again.

    The older form and invalid fields are included.
    """
    whole = {
        "seen": 9,
        "life": "x",
        "at": 1.5,
        "up": 2.0,
        "read": True,
        "echo": ["y", 3.0],
        "cancelled": [[7, "j-000001"]],
    }
    odd: list[Any] = [{"seen": 5}, {"seen": 5, "new": 1}, [], {}]
    odd += [{**whole, key: "wrong" if key != "life" else 5} for key in whole]
    odd += [
        {**whole, "cancelled": [[0, "j-000001"]]},
        {**whole, "cancelled": [[1, "x"]]},
        {**whole, "up": -1},
        {**whole, "echo": [1, 2]},
    ]
    return [
        {
            "value": v,
            "read": outcome(
                lambda v: peer_messages.encode_gossip(peer_messages.decode_gossip(v)), v
            ),
        }
        for v in (whole, *odd)
    ]


def relay_cases() -> list[Any]:
    """Decode relayed requests and answers, and encode them again byte for byte."""
    ask = {
        "life": "x",
        "number": 3,
        "what": "state",
        "until": 1.7e9,
        "hops": 2,
        "to": "",
        "method": "GET",
        "target": "/kv/a",
        "hold": 0,
        "body": b"{}",
    }
    response = {"life": "x", "number": 3, "status": 200, "refused": False, "body": b"[1]"}
    out: list[Any] = []
    for kind, read, good in (
        (relay_messages.REQUEST, relay_messages.decode_request, ask),
        (relay_messages.RESPONSE, relay_messages.decode_response, response),
    ):
        wrong = [{k: v for k, v in good.items() if k != key} for key in good]
        for value in (good, {**good, "new": 1}, *wrong, []):
            out.append(
                outcome(
                    lambda v, read=read, kind=kind: cbor2.dumps(
                        relay_messages.encode(kind, 1, read(v))
                    ).hex(),
                    value,
                )
            )
    targets = (
        ("cloud", "/hosts"),
        ("cloud", "/kv"),
        ("do", "x:1 /do"),
        ("do", "x:1 /no"),
        ("report", ""),
        ("nothing", ""),
    )
    out += [
        [
            what,
            target,
            plain(outcome(relay_messages.decode_request, {**ask, "what": what, "target": target})),
        ]
        for what, target in targets
    ]
    return out


def channel_values() -> dict[str, Any]:
    """Return keys and values of state channels, as plain values and as bytes.

    The values of older releases lack the last fields.
    """
    key = agents.AttemptId("j-000412", 3, 2)
    values: list[Any] = [
        peer_messages.JobUpdate(None, [1.0], 1),
        peer_messages.JobUpdate([1], [1.0], 1, 1),
        peer_messages.CandidateUpdate(1, [0.5], {"a": 1}, ["n-1"]),
        peer_messages.PermitUpdate("n-1", 2, 3, None),
        peer_messages.OfferUpdate("j-1", "n-1", "a", 0.5, 2),
        peer_messages.AttemptUpdate("gone", "why", 1, 2),
        peer_messages.AttemptUpdate("gone", "why", 1, 2, 3),
        peer_messages.MachineUpdate("t", "a", 0, [1.0], 1, 0, 0, 0, 1, [1.0]),
        peer_messages.DemandUpdate([1], 2, None, [0.5]),
        peer_messages.PeerStatus(0.5, {0: 5}, {0: 1.5}),
        peer_messages.PeerStatus(0.5, {0: 5}, {}, 2.0),
    ]
    keys = [
        peer_messages.job_key("j-1"),
        peer_messages.candidate_key("j-1"),
        peer_messages.permit_key(key),
        peer_messages.attempt_key(key),
        peer_messages.offer_key(7),
    ]
    return {
        "keys": keys,
        "split": plain(peer_messages.attempt_id_of_key(peer_messages.permit_key(key))),
        "values": plain(values),
        "bytes": [cbor2.dumps(v).hex() for v in values],
    }


def channel_messages() -> dict[str, Any]:
    """Return the messages that a state channel sends, and which of them a receiver accepts."""
    outbound = OutboundChannels()
    sent_channel = outbound.channel("s", 0, 1, 5)
    sent = []
    for changes in ({"ja": [1]}, {"jb": [2], "ja": None}, {"jd": [4]}):
        sent_channel.update(changes)
        sent += outbound.collect("c1", 1, lambda role: "c1")
    sent += outbound.collect("c1", 2, lambda role: "c1")  # a new connection: all of it
    outbound.channel("s", 0, 1, 6).put("jc", [3])
    sent += outbound.collect("c1", 2, lambda role: "c1")
    inbound = InboundChannels()
    order = (1, 0, 0, 1, 3, 2, 4, 3)
    return {
        "sent": [cbor2.dumps(m).hex() for m in sent],
        "taken": [inbound.accept(sent[i]) for i in order],
        "state": plain(list(inbound.channels.values())),
    }


def link_reports() -> list[Any]:
    """Return what controllers' reports on their links are decoded to."""
    whole: dict[str, Any] = {
        "life": "x",
        "can": ["state", "do"],
        "good": ["state", "cloud"],
        "hears": ["c2"],
        "through": {"cloud": "c2"},
        "cut": {1: 5},
    }
    out = []
    for report in (
        whole,
        {},
        *({k: v for k, v in whole.items() if k != key} for key in whole),
        dict.fromkeys(whole, 5),
    ):
        routes = RelayRoutes(["c1", "c2"])
        routes.update("c1", report, 1.0)
        out.append(
            [
                routes.can_relay_now("c1", "state", 1.5),
                routes.supports_relay("c1", "do"),
                routes.reports_unreachable_shard("c1", 1),
                routes.all_services_reachable("c1", 1.5),
                routes.route_to_service("state", "state", 1.5),
                routes.route_to_peer("c2", "do", 1.5),
                plain(routes.peers["c1"]),
            ]
        )
    return out


def shard_map() -> dict[str, Any]:
    """Return the shards of teams and machines.

    All releases that run side by side must agree on them.
    """
    layout = ShardMap([("c0", "a"), ("c1", "b"), ("c2", "a")], ["t3", "t1", "t2", "t0"])
    return {
        "teams": layout.team_shard,
        "machines": {
            f"n-{i:06d}": [layout.shard_of_machine(z, f"n-{i:06d}") for z in "abx"]
            for i in range(8)
        },
    }


# -- the state service --------------------------------------------------------------------------


def stored_forms() -> dict[str, Any]:
    """Encode and decode stored keys, fencing tokens and records."""
    team = "Team é/1 " + "x" * 120
    held = {"n-1": {"i": 0.5, "k": 2.0}, "n-2": {"k": 2.0}, "n-3": {}}
    packed = [image_index.pack(held, limit) for limit in (4096, 40)]
    record = inputs.STORED["p/type/t"]
    job = jobs.parse_submission(
        {**inputs.SUBMISSION, "breeds": ["t", "s"], "duskS": 5, "marsh": "a"}, 1.7e9
    )
    ends = [inputs.STORED[f"p/job/j-{n:06d}"] for n in (5, 6, 7, 8)]
    listed = {k: (v, 1) for k, v in inputs.STORED.items()}
    return {
        "keys": [
            f(t)
            for f in (
                schema.allocation_prefix,
                schema.progress_prefix,
                schema.grants_key,
            )
            for t in ("t", "a b", team)
        ]
        + [schema.image_prefix(3)],
        "tokens": [
            _token(epoch, holder)
            for epoch, holder in ((5, 0), (5, 30), (5, 31), (5, None), (1 << 43, 2))
        ],
        "images": plain([packed, [image_index.unpack(p) for p in packed]]),
        "types": plain([cloud.type_from_record(record), cloud.type_from_record(record).record()]),
        "jobs": plain([job.record(), jobs.from_record([*job.record(), "later"]), job]),
        "ends": plain(
            [
                [list(schema.ended_from_record(e, 4)) for e in ends],
                schema.end_record("done", 3),
            ]
        ),
        "orders": plain([[o, o.record()] for o in orders.orders_in(listed)]),
    }


def _token(epoch: int, holder: int | None) -> list[Any]:
    token = fencing_tokens.initial_token(epoch, holder)
    changed = [
        fencing_tokens.next_token(token),
        fencing_tokens.with_renewal_grant(token, 7),
        fencing_tokens.with_renewal_grant(token + 9, 3),
    ]
    return [
        token,
        fencing_tokens.epoch_of(token),
        fencing_tokens.holder_of(token),
        fencing_tokens.renewal_grant_of(token + 9),
        *changed,
    ]


# -- settings, options, command line ------------------------------------------------------------


def platform_settings() -> dict[str, Any]:
    """Return the parsed settings, and the error for each missing or wrong field."""
    good = tomllib.loads(inputs.SETTINGS)

    def read(data: Any) -> Any:
        parsed = settings.parse(data)
        return plain([parsed, parsed.controllers])

    wrong: dict[str, Any] = {}
    wrong_values: tuple[Any, ...] = (None, "x", [], -1)
    for path in _paths(good):
        name = ".".join(map(str, path))
        for value in wrong_values:
            result = outcome(read, _changed(good, path, value))
            wrong[f"{name} {value!r}"] = result if isinstance(result, str) else "taken"
    return {"read": read(good), "wrong": wrong}


def _paths(data: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    found = (
        data.items()
        if isinstance(data, dict)
        else enumerate(data)
        if isinstance(data, list)
        else ()
    )
    for key, value in found:
        yield (*path, key)
        yield from _paths(value, (*path, key))


def _changed(data: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Return a copy with one field set, or removed if the value is None."""
    out = json.loads(json.dumps(data))
    at = out
    for key in path[:-1]:
        at = at[key]
    if value is None:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    return out


def operator_options() -> dict[str, Any]:
    """Return the schema, the values that are read for each option, and the resulting budgets.

    The errors for wrong options are included.
    """
    budgets = DisruptionBudgets(inputs.OPTIONS["budget"])
    named = (("x", "x", "x"), ("t", "x", "x"), ("t", "c", "x"), ("t", "c", "j-000001"))
    with tempfile.TemporaryDirectory() as home:
        file = Path(home) / "options.json"

        def read(data: Any) -> Any:
            file.write_text(json.dumps(data))
            return plain(settings.load_options(file))

        wrong = {
            key: str(outcome(read, {key: "wrong"})).replace(str(file), "FILE")
            for key in ("hold_s", "carry", "budget", "unknown")
        }
        whole = read(inputs.OPTIONS)
    schema = json.loads((Path(ploverhall.__file__).parent / "options.schema.json").read_text())
    return {
        "schema": schema,
        "defaults": plain(settings.Options()),
        "read": whole,
        "wrong": wrong,
        "budgets": plain(
            [DisruptionBudgets().default, *(budgets.for_job(*names) for names in named)]
        ),
    }


HELP = (
    (),
    ("serve",),
    ("check-config",),
    ("status",),
    ("drain",),
    ("maintenance",),
    ("upkeep",),
)
DRAIN = (
    "drain",
    "h:1",
    "--machine",
    "n-1",
    "--machine",
    "n-2",
    "--zone",
    "a",
    "--type",
    "t",
    "--kind",
    "spot",
    "--part",
    "2",
    "--at-once",
    "3",
    "--note",
    "why",
    "--id",
    "u-1",
)
COMMANDS = (
    ("status", "h:1", "--json"),
    ("status", "h:1", "--json", "--job", "j-1", "--team", "a b", "--machine", "n-1"),
    DRAIN,
    (*DRAIN, "--dry-run"),
    ("upkeep", "list", "h:1"),
    ("upkeep", "show", "h:1", "u-1"),
    ("upkeep", "pause", "h:1", "u-1"),
    ("upkeep", "resume", "h:1", "u-1"),
    ("upkeep", "stop", "h:1", "u-1"),
    ("upkeep", "stop", "h:1"),
    ("--version",),
)
ORDER: dict[str, Any] = {
    "id": "u-1",
    "machines": None,
    "zone": "a",
    "type": None,
    "spot": None,
    "part": None,
    "at_once": 4,
    "state": "running",
    "at": 1.7e9,
    "note": None,
    "left": 1,
    "being_emptied": [],
    "waits": "",
}
SERVER_ANSWER: dict[str, Any] = {
    **ORDER,
    "orders": [ORDER],
    "stops_that_wait": {},
    "machines": 1,
    "rounds_at_least": 1,
    "teams": {},
    "not_asked": [],
    "asked": "c0",
    "controllers": {},
    "told": None,
    "untold": None,
}


def command_line() -> dict[str, Any]:
    """Run the command line.

    Returns:
        The help texts, and for each command the requests that it sends, its exit code, and what it
        prints as JSON.
    """
    with tempfile.TemporaryDirectory() as home:
        file = Path(home) / "settings.toml"
        file.write_text(inputs.SETTINGS)
        checked = _command(("check-config", "--config", str(file)))
    return {
        "help": {" ".join(c) or "(none)": _command((*c, "--help")) for c in HELP},
        "check-config": checked,
        "commands": {" ".join(c): _command(c) for c in COMMANDS},
    }


def _command(argv: tuple[str, ...]) -> dict[str, Any]:
    sent: list[Any] = []

    def fake_urlopen(request: Any, timeout: float = 0.0, **more: Any) -> Any:
        sent_request = (
            request
            if isinstance(request, urllib.request.Request)
            else urllib.request.Request(request)
        )
        sent.append(
            [
                sent_request.get_method(),
                sent_request.full_url,
                sent_request.data.decode() if isinstance(sent_request.data, bytes) else None,
            ]
        )
        reply = io.BytesIO(json.dumps(SERVER_ANSWER).encode())
        reply.status = 200  # type: ignore[attr-defined]
        return reply

    printed, stderr = io.StringIO(), io.StringIO()
    with (
        mock.patch.object(urllib.request, "urlopen", fake_urlopen),
        mock.patch.dict("os.environ", {"COLUMNS": "100"}),
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(stderr),
    ):
        try:
            code: Any = main(list(argv))
        except SystemExit as e:
            code = e.code
    shown = (
        {"printed": printed.getvalue()}
        if {"--help", "--json", "--version", "check-config"} & set(argv)
        else {}
    )
    return {"exit": code, "sent": sent, **shown}
