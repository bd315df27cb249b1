"""Tests that invalid submissions are rejected with a reason, and extreme ones harm no other job."""

from __future__ import annotations

from typing import Any

import anyio
import orjson
import pytest

from ploverhall.controller import job_requests
from ploverhall.controller.job_requests import JobRequests
from ploverhall.protocol import jobs

from .memory_inspection import job_ids_in_memory
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.submission_rules import REQUIRED_FIELDS

INVALID_JOB_ID = "j-000777"


SMALLEST_AMOUNT = 5e-324  # the smallest positive float: capacity divided by it is infinite


REJECTED_SUBMISSIONS = [
    # 400: "malformed: not JSON, not an object, or a field is missing or invalid"
    *((400, {k: ...}) for k in sorted(REQUIRED_FIELDS)),
    *(
        (400, {k: v})
        for k in ("cores", "gpus", "ramGb", "pullGb", "flightS", "nestS", "tuckS", "duskS")
        for v in (-1.0, 1e12, "4.0", True, [4.0], {})
    ),
    *((400, {"chicks": v}) for v in (0, -3, 100_001, 2**64 - 1, 2.0, "2", None, True, [])),
    *(
        (400, {"id": v})
        for v in (
            "j-",
            "j-1\n",
            "j-1/2",
            "J-1",
            "j-٣",
            "j-1 job=j-2",
            "j-" + 19 * "1",
            "../p/shard/0",
            7,
            None,
            [],
        )
    ),
    *(
        (400, {k: v})
        for k in ("gait", "rank")
        for v in ("", "daemons", "Urgent", 2, None, [], {"a": 1})
    ),
    *((400, {k: v}) for k in ("flock", "keeper", "plumage") for v in ("", 7, None, [], 501 * "x")),
    *(
        (400, {k: v})
        for k in ("together", "scatter", "driftwood")
        for v in (0, 1, "true", None, [])
    ),
    *((400, {"breeds": v}) for v in ("t", [7], [None], {"t": 1}, ["x" * 501], 0)),
    *((400, {"marsh": v}) for v in (7, ["a"], True, 501 * "x")),
    # 422: "unknown team"
    (422, {"keeper": "nobody"}),
    (422, {"keeper": "team-0 team=team-1"}),
    (422, {"keeper": "team-0\nerror forged job=j-000001"}),
    # 422: "a task fits no allowed machine type" (t: 16 cores, 4 GPUs, 128 GB, in zones a and b)
    (422, {"cores": 17.0}),
    (422, {"gpus": 4.5}),
    (422, {"ramGb": 129.0}),
    (422, {"cores": 1e11}),
    (422, {"breeds": []}),
    (422, {"breeds": ["g8"]}),
    (422, {"marsh": "z"}),
    (422, {"marsh": ""}),
    (422, {"breeds": ["t"], "marsh": "c"}),
    # The same reason: a gang's tasks beyond the half that one zone may hold (those of an array run
    # later; of a service, half the replicas run)
    *(
        (422, {"gait": "group", "chicks": n, "scatter": True, **more})
        for n in (2, 3, 9)
        for more in (
            {"marsh": "a"},
            {"together": True},
            {"marsh": "b", "breeds": ["t"], "together": True},
        )
    ),
    # 422: "the job needs more than the team's limit (array: one task; gang and service: all tasks)"
    # (16 GPUs)
    (422, {"gait": "group", "chicks": 17}),
    (422, {"gait": "daemon", "chicks": 100_000}),
    (422, {"gait": "group", "chicks": 5, "gpus": 4.0}),
]


MALFORMED_BODIES = [
    b"",
    b"{",
    b"null",
    b"[]",
    b'"j-000777"',
    b"7",
    b"{}",
    b"[" * 5000,
    b"\xff\xfe",
    b'{"id":"j-000777"}',
    b'{"cores":NaN}',
    b'{"cores":Infinity}',
    b'{"chicks":1180591620717411303424}',
    b'{"id":"\\ud800"}',
]


def submission_with(cluster: SimulatedCluster, changes: dict[str, Any]) -> dict[str, Any]:
    spec = {**cluster.spec(777, gait="array", chicks=2), **changes}
    return {k: v for k, v in spec.items() if v is not ...}


def test_invalid_submissions_are_rejected_with_a_reason_and_nothing_is_kept(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Every controller answers each at once with the status of the protocol and a reason.

    The comments in REJECTED_SUBMISSIONS name the line of the protocol.
    """
    log_lines: list[str] = []

    async def scene(cluster: SimulatedCluster) -> None:
        await cluster.submit(cluster.spec(1, gait="array", chicks=1))
        await anyio.sleep(12.0)
        keys = {k for k in cluster.state.store.kv if k.startswith(("p/job/", "e/"))}
        capsys.readouterr()
        for i, (status, changes) in enumerate(REJECTED_SUBMISSIONS):
            spec, name = submission_with(cluster, changes), cluster.names[i % 3]
            code, answer = await cluster.users[name].call("POST", "/api/jobs", spec, 5.0)
            assert code == status and isinstance(answer, dict) and answer["error"], (
                changes,
                code,
                answer,
            )
            assert len(str(answer)) < 200, "the length of the answer is bounded, whatever was sent"
            assert status == 400 or cluster.rejection_reason(spec) is not None, (
                "the simulation's own rules of the protocol reject the submission, too"
            )
        for body in MALFORMED_BODIES:
            code, answer = await send_raw_body(cluster, "c0", "POST", "/api/jobs", body)
            assert code == 400 and isinstance(answer, dict) and answer["error"], (
                body[:20],
                code,
                answer,
            )
        for path in (
            INVALID_JOB_ID,
            "j-000777/x",
            "",
            "j-1%20",
            "J-1",
            "j-" + 19 * "1",
            "../healthz",
        ):
            for name in cluster.names:
                assert (await cluster.users[name].call("GET", f"/api/jobs/{path}", None, 2.0))[
                    0
                ] == 404, path
                assert (
                    await cluster.users[name].call("POST", f"/api/jobs/{path}/withdraw", {}, 2.0)
                )[0] == 404, path
        await anyio.sleep(1.0)
        assert {k for k in cluster.state.store.kv if k.startswith(("p/job/", "e/"))} == keys, (
            "a rejected submission leaves no key in the store"
        )
        for node in cluster.nodes.values():
            assert not [n for n, ids in job_ids_in_memory(node).items() if INVALID_JOB_ID in ids], (
                "a rejected submission leaves no job in memory"
            )
        log_lines.extend(capsys.readouterr().err.splitlines())

    play(scene)
    rejections = [x for x in log_lines if x.startswith("info submission rejected status=4")]
    assert (
        len(rejections) == len(REJECTED_SUBMISSIONS) + len(MALFORMED_BODIES)
        and max(map(len, rejections)) < 200
    ), "each rejection logs one line of bounded length"
    assert not [
        x
        for x in log_lines
        if x not in rejections and ("forged" in x or INVALID_JOB_ID in x or x.startswith("error"))
    ], "a rejection logs no other line"
    assert not [x for x in rejections if "forged" in x or "team-" in x or "xxx" in x], (
        "the line contains no submitted value but the job id"
    )


@pytest.mark.parametrize("odd", [{"scatter": True, "marsh": "a"}, {"cores": 17.0}, {"nestS": ...}])
def test_simulation_reports_an_accepted_job_that_cannot_run(
    odd: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(JobRequests, "rejection_reason", lambda self, job: None)
    monkeypatch.setattr(
        job_requests.jobs, "parse_submission", lambda d, at: real_parse({"nestS": 0.0, **d}, at)
    )

    async def scene(cluster: SimulatedCluster) -> None:
        await cluster.submit_invalid(submission_with(cluster, {"gait": "group", **odd}), "c0")

    with pytest.raises(AssertionError, match="accepted though"):
        play(scene)


real_parse = jobs.parse_submission


async def send_raw_body(
    cluster: SimulatedCluster, name: str, method: str, path: str, body: bytes
) -> tuple[int, Any]:
    """Send a request whose body need not be JSON. Returns the status and the decoded answer."""
    stream = await cluster.net.connect("user", name, 80)
    await stream.send(
        f"{method} {path} HTTP/1.1\r\nhost: {name}\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        + body
    )
    data = b""
    with anyio.fail_after(5.0):
        while not data.endswith(b"}"):
            data += await stream.receive()
    await stream.aclose()
    return int(data.split()[1]), orjson.loads(data.partition(b"\r\n\r\n")[2])


EXTREME_SUBMISSIONS = [
    *(
        {k: SMALLEST_AMOUNT}
        for k in ("cores", "gpus", "ramGb", "pullGb", "flightS", "nestS", "tuckS", "duskS")
    ),
    {"cores": SMALLEST_AMOUNT, "gpus": SMALLEST_AMOUNT, "ramGb": SMALLEST_AMOUNT},
    {"cores": 1e-300, "gpus": 0.0},
    {"cores": 0.0, "gpus": 0.0, "ramGb": 0.0},
    *({k: 9e11} for k in ("flightS", "pullGb", "nestS", "tuckS", "duskS")),
    {"flightS": 0.0, "duskS": 0.0},
    {"flock": "f\nteam=x"},
    {"plumage": "\x00 \U0001f95a" * 100},
    {"breeds": ["t"] * 300},
    {"cores": 16.0, "gpus": 4.0, "ramGb": 128.0},
    {"future": {"x": [1]}},
]


@pytest.mark.parametrize("gait", ["array", "group", "daemon"])
def test_extreme_but_valid_jobs_do_not_block_other_jobs(gait: str) -> None:
    """A task that needs almost nothing made every step of its team's source fail.

    Capacity divided by such an amount is infinite.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        for i, changes in enumerate(EXTREME_SUBMISSIONS):
            base = cluster.spec(
                100 + i,
                gait=gait,
                chicks=1 if gait == "daemon" else 2,
                flock="strange",
                keeper=f"team-{i % 3}",
            )
            cluster.tasks.start_soon(cluster.submit, {**base, **changes})
        await anyio.sleep(5.0)
        for n in range(1, 13):
            cluster.tasks.start_soon(
                cluster.submit, cluster.spec(n, gait="array", chicks=1, keeper=f"team-{n % 4}")
            )
        await anyio.sleep(20.0)
        assert all(a.accepted is not None for a in cluster.asked.values()) and all(
            cluster.served(f"j-{n:06d}") for n in range(1, 13)
        )
        for i in range(len(EXTREME_SUBMISSIONS)):
            cluster.tasks.start_soon(cluster.withdraw, f"j-{100 + i:06d}")
        await anyio.sleep(12.0)
        assert not cluster.state.store.permits()

    play(scene)
