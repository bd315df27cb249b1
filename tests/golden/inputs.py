"""Fixed inputs: bad requests, greetings, stored values (older forms too), settings files."""

from __future__ import annotations

from typing import Any

import orjson

from ploverhall.protocol import jobs
from tests.simulation.sample_submission import SUBMISSION

HEARTBEAT: dict[str, Any] = {
    "perch": "n-x",
    "endpoint": "x:1",
    "breed": "t",
    "marsh": "a",
    "driftwood": False,
    "tide": 1,
    "peep": 2,
    "crest": 0,
    "warningS": None,
    "chicks": [{"chick": "j-000412/3", "hatch": 2, "stance": "running"}],
}
ORDER: dict[str, Any] = {
    "id": "u-bad",
    "machines": ["n-1"],
    "zone": None,
    "type": None,
    "spot": None,
    "part": None,
    "at_once": 1,
    "note": "x",
}
# For every field at least one of these is a wrong value
WRONG_VALUES: tuple[Any, ...] = (
    [],
    {},
    -1,
    True,
    "",
    "\x00\u2028",
    1e300,
)


def _post(path: str, body: bytes, method: str = "POST") -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        + body
    )


def _variants(path: str, good: dict[str, Any]) -> dict[str, bytes]:
    """Return requests with each field missing, and with each field set to each wrong value."""
    out = {}
    for key in good:
        out[f"{path} without {key}"] = _post(
            path, orjson.dumps({k: v for k, v in good.items() if k != key})
        )
        for value in WRONG_VALUES:
            out[f"{path} {key}={value!r}"] = _post(path, orjson.dumps({**good, key: value}))
    for name, body in (
        ("empty", b""),
        ("no JSON", b"{"),
        ("a list", b"[]"),
        ("not UTF-8", b'{"id":"\xff"}'),
    ):
        out[f"{path} {name}"] = _post(path, body)
    return out


def bad_requests() -> dict[str, bytes]:
    """Return refused or unusual requests by name; each is sent on a connection of its own."""
    one = HEARTBEAT["chicks"][0]
    listed = [
        {**one, "chick": "x"},
        {**one, "chick": "j-000412/x"},
        {**one, "hatch": -1},
        {**one, "hatch": "1"},
        {"chick": "j-1/1"},
    ]
    jobs_path, report_path = "/api/jobs", "/v1/report"
    # The unknown team and the zero `at_once` are invalid by themselves, so that the variants are
    # refused. Only the order without `at_once` is accepted, with the default of 4.
    out = {
        **_variants(jobs_path, {**SUBMISSION, "keeper": "nobody"}),
        **_variants(report_path, HEARTBEAT),
        **_variants("/upkeep", {**ORDER, "at_once": 0}),
        **{
            f"{report_path} listed {t}": _post(
                report_path, orjson.dumps({**HEARTBEAT, "chicks": [t]})
            )
            for t in listed
        },
        "team's limit": _post(
            jobs_path, orjson.dumps({**SUBMISSION, "gait": "group", "chicks": 40})
        ),
        "fits no machine": _post(jobs_path, orjson.dumps({**SUBMISSION, "gpus": 5.0})),
        "gang over zones": _post(
            jobs_path,
            orjson.dumps({**SUBMISSION, "gait": "group", "together": True, "scatter": True}),
        ),
        "too long": _post(
            jobs_path,
            orjson.dumps({**SUBMISSION, "breeds": ["t", *(f"{i:0>400}" for i in range(12))]}),
        ),
        "unknown fields": _post(
            jobs_path, orjson.dumps({**SUBMISSION, "keeper": "nobody", "new": [1]})
        ),
    }
    for method, path in (
        ("GET", "/api/jobs"),
        ("GET", "/api/jobs/"),
        ("GET", "/api/jobs/j-999999"),
        ("GET", "/api/jobs/x"),
        ("GET", "/api/jobs/j-1%2F2"),
        ("POST", "/api/jobs/j-999999/withdraw"),
        ("POST", "/api/jobs/x/withdraw"),
        ("GET", "/api/jobs/j-1/withdraw"),
        ("DELETE", "/api/jobs/j-1"),
        ("GET", "/v1/report"),
        ("GET", "/"),
        ("GET", "/nothing"),
        ("POST", "/status"),
        ("DELETE", "/upkeep"),
        ("POST", "/upkeep/u-none/stop"),
        ("POST", "/upkeep/u-none/erase"),
        ("POST", "/upkeep/u-none"),
        ("POST", "/upkeep/a/b/c"),
        ("HEAD", "/healthz"),
        ("HEAD", "/nothing"),
    ):
        out[f"{method} {path}"] = _post(path, b"", method)
    line = b"GET /healthz HTTP/1.1\r\n"
    post = b"POST /api/jobs HTTP/1.1\r\nhost: a\r\n"
    out |= {
        "no host": line + b"\r\n",
        "two hosts": line + b"host: a\r\nhost: b\r\n\r\n",
        "no HTTP": b"\x16\x03\x01\x02\r\n\r\n",
        "two lengths": line + b"host: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        "bad length": line + b"host: a\r\ncontent-length: -1\r\n\r\n",
        "HTTP/1.0": b"GET /healthz HTTP/1.0\r\n\r\n",
        "many headers": line + b"host: a\r\n" + b"a: b\r\n" * 5000,
        "close": line + b"host: a\r\nconnection: close\r\n\r\n",
        "too large": post + b"content-length: 99999999\r\n\r\n",
        "expect": post + b"expect: 100-continue\r\ncontent-length: 2\r\n\r\n",
        "chunked": post + b"transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    }
    return out


GREETINGS: dict[str, Any] = {
    "of this release": {"v": 1, "from": "c9", "acks": "some"},
    "of one that waits for each answer": {"v": 1, "from": "c9"},
    "with more": {"v": 1, "from": "c9", "acks": "none", "new": 1},
    "another version": {"v": 2, "from": "c9"},
    "nobody": {"v": 1},
    "not a name": {"v": 1, "from": 9},
    "not a table": [1],
}

# -- stored values ------------------------------------------------------------------------------


def _job_record(job: str, kind: str, n: int, more: tuple[Any, ...] = ()) -> list[Any]:
    return [
        job,
        "c",
        "team-0",
        kind,
        2,
        n,
        1.0,
        1.0,
        1.0,
        "i",
        0.1,
        None,
        None,
        0,
        0,
        1,
        1.0,
        0.0,
        0.0,
        None,
        1.7e9,
        *more,
    ]


def job_of_record(record: list[Any]) -> jobs.Job:
    """Return the job of a stored record, for the simulated machines."""
    return jobs.from_record(record)


STORED: dict[str, Any] = {
    "p/job/j-000001": _job_record("j-000001", "array", 9),  # the tasks 0, 2 and 8 are done
    "d/team-0/j-000001/0": "BQE=",
    "p/job/j-000002": _job_record("j-000002", "service", 2, ("of a later release", 1)),
    "p/job/j-000003": ["j-000003", "c"],  # unreadable: never run, never deleted
    "p/job/j-000004": _job_record("j-000004", "gang", 2),
    "p/job/j-000005": {"s": "done", "n": 7},
    "p/job/j-000006": {"s": "withdrawn", "n": 3},
    "p/job/j-000007": {"s": "done"},  # without the field `n`
    "p/job/j-000008": {"s": "withdrawn", "n": None, "later": True},
    "p/job/j-000011": {"s": "done", "n": 1},
    "p/job/j-000012": {"s": "done", "n": 2},
    "p/job/j-000013": {"s": "done", "n": 3},
    "p/archived": 1,
    "e/j-000009": {"s": "done", "n": 5},
    "e/j-000010": {"s": "withdrawn", "n": 0},
    "p/node/c0": {"zone": "a"},  # written by a release without feature names
    "p/shard/0": {"node": "c1", "lease": 9},
    "p/renter": {"node": "c2", "lease": 9},
    "p/types": {"n": 1},
    "p/type/t": ["t", 16.0, 4.0, 128.0, 60.0, 1.0, 10.0, 3.0, 1.0, ["a", "b"], "later"],
    "p/upkeep/u-least": {"zone": "nowhere"},  # the missing fields get defaults
    "p/upkeep/u-all": {
        "machines": ["n-1"],
        "zone": "b",
        "type": "t",
        "spot": True,
        "part": 1,
        "at_once": 7,
        "state": "paused",
        "at": 1.7e9,
        "note": "n",
        "later": 1,
    },
    "p/upkeep/u-bad": {"zone": 5},
    "c/team-0/0": {
        "j-000001": [[1.0, 1.0, 1.0], [[1, 4, "n-gone", 0, "a", 3, 17]]],
        "j-000777": [[1.0, 1.0, 1.0], [[0, 5, "n-gone", 1, "b", 3, 18]]],
    },
    "c/team-0/1": {},
    "u/team-0": [["j-000001", 1, 4]],
    "d/team-0/j-000777/0": "AQ==",
    "i/0/0": [[["i", 0.1], ["k", 2]], {"n-gone": [1, 0]}],
}
QUERIED_JOBS = tuple(f"j-{n:06d}" for n in (*range(1, 14), 777, 999))
RUNNABLE_JOBS = ("j-000001", "j-000002", "j-000004")
KEPT_PREFIXES = ("e/", "p/upkeep/", "p/archived", "p/types", "p/type/", "d/")

# -- settings -----------------------------------------------------------------------------------

SETTINGS = """
host_name = "h0"
site = "s0"
bind = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
new = "ignored"
[[siblings]]
host_name = "h1"
site = "s1"
addr = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
count = 2
zones = ["s1", "s0"]
skew_ms = 100.0
[[deployment.teams]]
name = "t-1"
cpus = 1.0
cpus_max = 2.0
gpus = 3.0
gpus_max = 4.0
[[deployment.objectives]]
kind = "wait"
class = "c"
within_s = 5.0
share = 0.85
[deployment.workers]
report_s = 2.5
lease_s = 16.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 46.0
[deployment.state]
rps = 250.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 48
[deployment.cloud]
rps = 4.0
list_lag_s = 3.0
[deployment.limits]
core_share = 1.0
mem_mb = 266.0
max_sockets = 1800
"""
OPTIONS: dict[str, Any] = {
    "hold_s": 6.0,
    "sample": 7,
    "write_every_s": 0.5,
    "shard_lease_s": 8.0,
    "idle_return_s": 90.0,
    "spare": 1.0,
    "handback_s": 11.0,
    "cut_off_s": 12.0,
    "carry": False,
    "direct": False,
    "keep_ended": 13,
    "budget": {
        "default": {
            "down": 1,
            "share": 0.5,
            "floor": 2,
            "team_down": 3,
            "gangs_per_min": 4,
            "lost_s_per_min": 5.0,
            "finish_s": 6.0,
            "quiet": [["22:30", "06:00"]],
        },
        "teams": {"t": {"down": 7}},
        "classes": {"c": {"down": 8}},
        "jobs": {"j-000001": {"down": 9}},
    },
}
