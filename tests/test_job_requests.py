"""The users' side: swarms of one-task jobs, ends that meet cancellations, odd requests, two users at once.

Every scene is judged by `Played`, too: no rule broken, half of everyone served.
"""

from __future__ import annotations

import re
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import Any

import anyio
import orjson
import pytest

from ploverhall import settings
from ploverhall.controller import job_requests
from ploverhall.controller.archiver import Archiver
from ploverhall.controller.job_requests import JobRequests
from ploverhall.controller.store_watch import StoreWatch
from ploverhall.coordination.job_answers import FreshRead, JobAnswers
from ploverhall.protocol import jobs
from ploverhall.protocol.key_value_store import KeyValueStore, WatchEvent
from ploverhall.scheduling.allocations import AllocationStore
from ploverhall.storage.schema import JOB_PREFIX, SHARD_PREFIX, WATCHED_PREFIX, end_record
from ploverhall.storage.store_cache import StoreCache
from ploverhall.transport.http_server import Reply

from .scenarios import innermost_exception
from .simulation import decision_model
from .simulation.cluster import RESET, SLOW, Network, SimulatedCluster, SubmittedJob, play
from .simulation.fakes import FakeStoreAndCloud
from .simulation.fault_schedules import KNOWN_S

JOB_ID = re.compile(r"j-\d{1,18}")

# -- one-task jobs four a second for minutes, a quarter of them cancelled ---------------------------------------------------------

KEPT = 20  # jobs that are over and stay in memory
# Remember a bounded number
BY_DESIGN = {
    "recently_ended": 200,
    "arrivals": 500,
    "own_report": 200,
    "peer_reports": 200,
    "channels": 60,
    "failed_attempts": 200,
}
# (channels: what was last said to a shard that was held here for a while and let go)


def held_ids(root: object) -> dict[str, set[str]]:
    """All jobs' ids that a controller holds in memory, by the name of the attribute that holds them."""
    found: dict[str, set[str]] = {}
    seen: set[int] = set()
    todo: list[tuple[object, str]] = [(root, "")]
    while todo:
        x, name = todo.pop()
        if isinstance(x, str):
            if (m := JOB_ID.match(x)) is not None:
                found.setdefault(name, set()).add(m[0])
        elif id(x) not in seen:
            seen.add(id(x))
            if isinstance(x, dict):
                todo += [(y, name) for pair in x.items() for y in pair]
            elif isinstance(x, (list, tuple, set, frozenset, deque)):
                todo += [(y, name) for y in x]
            elif type(x).__module__.startswith("ploverhall"):
                slots = [s for c in type(x).__mro__ for s in (c.__dict__.get("__slots__") or ())]
                keys = [*getattr(x, "__dict__", ()), *slots]
                todo += [(getattr(x, k), name if k == "id" else k) for k in keys if hasattr(x, k)]
    return found


def swarm(
    seed: int, s: float, crash: bool, seen: dict[str, Any]
) -> Callable[[SimulatedCluster], Any]:
    """For `s` seconds; some are cancelled at once, some while they are placed, some as they end. A leader ends in the middle."""

    async def one(p: SimulatedCluster, rng: Random, n: int) -> None:
        spec = p.spec(n, gait="array", chicks=1, flightS=rng.choice([1.0, 3.0]))
        after = rng.choice([0.0, 0.02, 0.3, 2.5, 4.0])
        cancelled = rng.random() < 0.25
        await p.submit(spec)
        if cancelled and p.asked[spec["id"]].accepted is not None:
            await anyio.sleep(after)
            await p.withdraw(spec["id"])

    async def scene(p: SimulatedCluster) -> None:
        rng, begun = Random(seed), p.now
        real = p.fleet.started

        def started(w: Any, key: Any) -> None:
            if key[0] in p.cancelled:
                seen.setdefault("started after the telling", []).append(key)
            real(w, key)

        p.fleet.started = started  # type: ignore[method-assign]
        for n in range(1, int(4 * s) + 1):
            p.tasks.start_soon(one, p, rng, n)
            if crash and n == int(2 * s):
                p.tasks.start_soon(p.crash, rng.choice(p.names), 6.0)
            await anyio.sleep(0.25)
        await anyio.sleep(30.0)
        assert not await p.all_answered(KNOWN_S)
        store = p.state.store
        seen["changes"] = Counter(e.key.split("/")[0] for e in store.log)
        seen["bytes"] = carried[0]
        archived = {k[2:] for k in store.kv if k.startswith("e/")}
        await anyio.sleep(
            max(0.0, 130.0 - (p.now - begun - s))
        )  # when the newest one could have had to begin at last
        over = {
            name: Counter({k: len(ids & archived) for k, ids in held_ids(node).items()})
            for name, node in p.nodes.items()
        }
        seen["over"] = {
            k: max(c[k] for c in over.values()) for c in over.values() for k in c if c[k]
        }
        seen["ended"] = max(len(node.context.store_cache.ended_jobs) for node in p.nodes.values())

    carried = [0]
    real_carry = Network.carry

    def carry(self: Network, stream: Any, data: bytes | None) -> None:
        carried[0] += len(data or b"")
        real_carry(self, stream, data)

    seen["carry"] = carry
    return scene


def swarmed(seed: int, s: float, crash: bool, monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    """Play it, and hold what every swarm must come to."""
    seen: dict[str, Any] = {}
    scene = swarm(seed, s, crash, seen)
    monkeypatch.setattr(Network, "carry", seen.pop("carry"))
    p = play(scene, seed, options=settings.Options(keep_ended=KEPT))
    assert all(a.accepted is not None for a in p.asked.values()), "every one is accepted"
    rest = [j for j in p.specs if j not in p.cancelled]
    assert all(p.served(j) for j in rest) and len(rest) >= 0.7 * len(p.specs), (
        "all that nobody cancelled is done"
    )
    assert len(p.cancelled) > 0.05 * len(p.specs)
    assert not p.state.store.permits() and not any(w.tasks for w in p.workers.values()), (
        "nothing is left of any"
    )
    assert "started after the telling" not in seen
    assert seen["ended"] <= KEPT, "jobs that are over leave the memory"
    assert {k: n for k, n in seen["over"].items() if n > BY_DESIGN.get(k, 0)} == {}, (
        "nothing else remembers them"
    )
    changes = sum(seen["changes"].values()) / len(p.specs)
    assert changes <= 7.5, (
        "submission, end, archive (two), and shares of a chunk: for one job, and its key anew"
    )
    assert seen["bytes"] / len(p.specs) <= 16_000.0, (
        "on all links together, the quiet time and its questions included"
    )
    return seen


@pytest.mark.parametrize(("seed", "s", "crash"), [(1, 30.0, False), (2, 120.0, True)])
def test_one_task_jobs_four_a_second_a_quarter_cancelled(
    seed: int, s: float, crash: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    swarmed(seed, s, crash, monkeypatch)


def never_archived(monkeypatch: pytest.MonkeyPatch) -> None:
    async def idle(self: Archiver) -> None:
        await anyio.sleep_forever()

    monkeypatch.setattr(Archiver, "loop", idle)


def remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    """A source that keeps what it knew of a job that is over."""
    real = AllocationStore.on_job

    def on_job(self: AllocationStore, job: Any, jid: str, *a: Any, **kw: Any) -> None:
        self.__dict__.setdefault("kept", set()).add(jid)
        real(self, job, jid, *a, **kw)

    monkeypatch.setattr(AllocationStore, "on_job", on_job)


@pytest.mark.parametrize(
    ("without", "says"),
    [(never_archived, "leave the memory"), (remembered, "nothing else remembers")],
)
def test_a_swarm_finds_what_stays_in_memory(
    without: Callable[[pytest.MonkeyPatch], None], says: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    without(monkeypatch)
    with pytest.raises(AssertionError, match=says):
        swarmed(3, 20.0, False, monkeypatch)


# -- odd requests ------------------------------------------------------------------------------------------------------------------

ODD = "j-000777"
TINY = 5e-324  # the smallest amount there is: room divided by it is infinite
REFUSED = [
    # 400: "malformed: not JSON, not an object, or a field is missing or invalid"
    *(
        (400, {k: ...})
        for k in (
            "id",
            "flock",
            "keeper",
            "gait",
            "rank",
            "chicks",
            "cores",
            "gpus",
            "ramGb",
            "plumage",
            "pullGb",
            "together",
            "scatter",
            "driftwood",
            "flightS",
            "nestS",
            "tuckS",
        )
    ),
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
    # the same: a gang's tasks beyond the half that one zone may hold (of an array, they run later; of a service, half the replicas run)
    *(
        (422, {"gait": "group", "chicks": n, "scatter": True, **more})
        for n in (2, 3, 9)
        for more in (
            {"marsh": "a"},
            {"together": True},
            {"marsh": "b", "breeds": ["t"], "together": True},
        )
    ),
    # 422: "the job needs more than the team's limit (array: one task; gang and service: all tasks)" (16 GPUs)
    (422, {"gait": "group", "chicks": 17}),
    (422, {"gait": "daemon", "chicks": 100_000}),
    (422, {"gait": "group", "chicks": 5, "gpus": 4.0}),
]
RAW = [
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


def odd_spec(p: SimulatedCluster, changes: dict[str, Any]) -> dict[str, Any]:
    spec = {**p.spec(777, gait="array", chicks=2), **changes}
    return {k: v for k, v in spec.items() if v is not ...}


def test_odd_requests_are_refused_clearly_and_nothing_of_them_is_kept(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """By which line of the protocol is said in REFUSED. Each is answered the same by every controller, with a reason, at once."""
    said: list[str] = []

    async def scene(p: SimulatedCluster) -> None:
        await p.submit(p.spec(1, gait="array", chicks=1))
        await anyio.sleep(12.0)
        keys = {k for k in p.state.store.kv if k.startswith(("p/job/", "e/"))}
        capsys.readouterr()
        for i, (status, changes) in enumerate(REFUSED):
            spec, name = odd_spec(p, changes), p.names[i % 3]
            got, answer = await p.users[name].call("POST", "/api/jobs", spec, 5.0)
            assert got == status and isinstance(answer, dict) and answer["error"], (
                changes,
                got,
                answer,
            )
            assert len(str(answer)) < 200, "bounded, whatever was sent"
            assert status == 400 or p.never(spec) is not None, (
                "the plain judge has it from the protocol, too"
            )
        for body in RAW:
            got, answer = await raw(p, "c0", "POST", "/api/jobs", body)
            assert got == 400 and isinstance(answer, dict) and answer["error"], (
                body[:20],
                got,
                answer,
            )
        for path in (ODD, "j-000777/x", "", "j-1%20", "J-1", "j-" + 19 * "1", "../healthz"):
            for name in p.names:
                assert (await p.users[name].call("GET", f"/api/jobs/{path}", None, 2.0))[
                    0
                ] == 404, path
                assert (await p.users[name].call("POST", f"/api/jobs/{path}/withdraw", {}, 2.0))[
                    0
                ] == 404, path
        await anyio.sleep(1.0)
        assert {k for k in p.state.store.kv if k.startswith(("p/job/", "e/"))} == keys, (
            "nothing is kept in the store"
        )
        for node in p.nodes.values():
            assert not [n for n, ids in held_ids(node).items() if ODD in ids], "nor in memory"
        said.extend(capsys.readouterr().err.splitlines())

    play(scene)
    refused = [x for x in said if x.startswith("info submission rejected status=4")]
    assert len(refused) == len(REFUSED) + len(RAW) and max(map(len, refused)) < 200, (
        "one bounded line each"
    )
    assert not [
        x for x in said if x not in refused and ("forged" in x or ODD in x or x.startswith("error"))
    ], "and no other"
    assert not [x for x in refused if "forged" in x or "team-" in x or "xxx" in x], (
        "with nothing that was sent but an id"
    )


@pytest.mark.parametrize("odd", [{"scatter": True, "marsh": "a"}, {"cores": 17.0}, {"nestS": ...}])
def test_the_judge_notices_what_is_accepted_though_it_cant_run(
    odd: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(JobRequests, "rejection_reason", lambda self, job: None)
    monkeypatch.setattr(
        job_requests.jobs, "parse_submission", lambda d, at: real_parse({"nestS": 0.0, **d}, at)
    )

    async def scene(p: SimulatedCluster) -> None:
        await p.try_odd(odd_spec(p, {"gait": "group", **odd}), "c0")

    with pytest.raises(AssertionError, match="accepted though"):
        play(scene)


def test_the_judge_notices_largest_jobs_that_are_not_served_or_begin_late() -> None:
    """Thirty small gangs are served; of the four largest three can't be (their team's limit is used up), or begin after 240 s."""
    for hours, says in ((False, "largest of group: 1 of 4 served"), (True, "began at")):

        async def scene(p: SimulatedCluster, hours: bool = hours) -> None:
            await p.submit(p.spec(900, gait="daemon", chicks=12, keeper="team-3", flock="service"))
            await anyio.sleep(5.0)
            for n in range(30):
                p.tasks.start_soon(
                    p.submit, p.spec(n, gait="group", flightS=1.0, keeper=f"team-{n % 4}")
                )
            for n in range(4):
                p.tasks.start_soon(
                    p.submit,
                    p.spec(
                        800 + n,
                        gait="group",
                        chicks=6,
                        flightS=1.0,
                        keeper="team-3" if n else "team-0",
                    ),
                )
            await anyio.sleep(250.0 if hours else 50.0)
            if hours:
                await p.withdraw("j-000900")
                await anyio.sleep(50.0)

        with pytest.raises(AssertionError, match=says):
            play(scene)


real_parse = jobs.parse_submission


async def raw(
    p: SimulatedCluster, name: str, method: str, path: str, body: bytes
) -> tuple[int, Any]:
    """A request whose body is no JSON."""
    stream = await p.net.connect("user", name, 80)
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


STRANGE = [
    *(
        {k: TINY}
        for k in ("cores", "gpus", "ramGb", "pullGb", "flightS", "nestS", "tuckS", "duskS")
    ),
    {"cores": TINY, "gpus": TINY, "ramGb": TINY},
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
def test_strange_jobs_that_are_well_formed_keep_nobody_else_from_running(gait: str) -> None:
    """A task that takes next to nothing ended every step of its team's source: room divided by it is infinite."""

    async def scene(p: SimulatedCluster) -> None:
        for i, changes in enumerate(STRANGE):
            base = p.spec(
                100 + i,
                gait=gait,
                chicks=1 if gait == "daemon" else 2,
                flock="strange",
                keeper=f"team-{i % 3}",
            )
            p.tasks.start_soon(p.submit, {**base, **changes})
        await anyio.sleep(5.0)
        for n in range(1, 13):
            p.tasks.start_soon(p.submit, p.spec(n, gait="array", chicks=1, keeper=f"team-{n % 4}"))
        await anyio.sleep(20.0)
        assert all(a.accepted is not None for a in p.asked.values()) and all(
            p.served(f"j-{n:06d}") for n in range(1, 13)
        )
        for i in range(len(STRANGE)):
            p.tasks.start_soon(p.withdraw, f"j-{100 + i:06d}")
        await anyio.sleep(12.0)
        assert not p.state.store.permits()

    play(scene)


# -- a cancellation, a question or a repeated submission meets the end of the last task ---------------------------------------------

DONE, OFF = "done", "withdrawn"


class Steps:
    """The state service, held at the steps of a job's end, of its cancellation, or of its move to the archive."""

    def __init__(
        self,
        p: SimulatedCluster,
        which: str,
        before: float,
        after: float,
        at: Callable[[str], None],
        late: float = 0.0,
    ) -> None:
        self.p, self.which, self.before, self.after, self.at, self.late = (
            p,
            which,
            before,
            after,
            at,
            late,
        )
        self.real = p.state.handle
        self.orders: dict[str, list[str]] = {}  # what has landed for each job, in order
        self.held = 0
        # Jobs of which a write has been late: of each only the first one
        self.lost: set[str] = set()
        p.state.handle = self.handle  # type: ignore[method-assign]
        real_txn = p.state.store.txn

        def txn(
            guards: dict[str, int], puts: dict[str, Any], deletes: list[str], *a: Any
        ) -> tuple[int, list[str]]:
            rev, failed = real_txn(guards, puts, deletes, *a)
            for k, v in puts.items() if not failed else ():
                if k.startswith(("p/job/", "e/")):
                    order = self.orders.setdefault(k.rpartition("/")[2], [])
                    order.append(v["s"] if isinstance(v, dict) else "accepted")
            return rev, failed

        p.state.store.txn = txn  # type: ignore[method-assign]

    async def handle(self, q: Any) -> Reply:
        found = self.jobs(q) if q.path == "/multi" and q.method == "POST" else []
        if not found:
            return await self.real(q)
        self.held += 1
        for jid in found:
            self.at(jid)
        if self.late and not self.lost.issuperset(
            found
        ):  # it is carried out late, and there is no answer
            self.lost.update(found)
            self.p.tasks.start_soon(self.carry_out, q)
            await anyio.sleep(20.0)
        await anyio.sleep(self.before)
        reply = await self.real(q)
        for jid in found:
            self.at(jid)
        await anyio.sleep(self.after)
        return reply

    async def carry_out(self, q: Any) -> None:
        await anyio.sleep(self.late)
        await self.real(q)

    def jobs(self, q: Any) -> list[str]:
        puts = {o["put"]: o["v"] for o in orjson.loads(q.body).get("apply", ()) if "put" in o}
        if self.which == "archived":
            return [k[2:] for k in puts if k.startswith("e/")]
        return [
            k[6:]
            for k, v in puts.items()
            if k.startswith("p/job/") and isinstance(v, dict) and v["s"] == self.which
        ]


async def close(p: SimulatedCluster, jid: str, rng: Random, s: float = 0.3) -> None:
    """Questions and repeated submissions at all controllers, every few milliseconds."""
    until = p.now + s
    while p.now < until:
        for name in p.names:
            if rng.random() < 0.5:
                p.tasks.start_soon(p.ask, jid, name)
            else:
                p.tasks.start_soon(p.resubmit, jid, name)
        await anyio.sleep(0.005 + 0.03 * rng.random())


# which write is held, for how long before it is carried out, and how long its answer takes after; or how late, without any answer
STEPS = {
    "the end is written": (DONE, 0.3, 0.0, 0.0),
    "it has landed, its writer does not know": (DONE, 0.0, 0.3, 0.0),
    "it is unknown, and carried out": (DONE, 0.0, 20.0, 0.0),
    "it is unknown, and carried out late": (DONE, 0.0, 0.0, 3.0),
    "its writer's successor": (DONE, 0.2, 0.2, 0.0),
    "one reads it much later": (DONE, 0.0, 0.0, 0.0),
    "the cancellation is written": (OFF, 0.3, 0.0, 0.0),
    "the cancellation is unknown, and carried out": (OFF, 0.0, 20.0, 0.0),
    "the cancellation is unknown, and late": (OFF, 0.0, 0.0, 3.0),
    "it leaves for the archive": ("archived", 0.3, 0.0, 0.0),
    "it has left, nobody knows": ("archived", 0.0, 0.3, 0.0),
    "it may have left": ("archived", 0.0, 20.0, 0.0),
    "it leaves late": ("archived", 0.0, 0.0, 3.0),
}


def meet_the_end(step: str, seed: int = 1, jobs: int = 12) -> dict[str, int]:
    """Jobs end; at each step of some one's end its user looks closely, and of two in three cancels. How many were told what."""
    which, before, after, late = STEPS[step]

    async def scene(p: SimulatedCluster) -> None:
        rng, met = Random(f"{seed} {step}"), set[str]()

        def at(jid: str) -> None:
            p.tasks.start_soon(close, p, jid, rng)
            if jid not in met and int(jid[2:]) % 3 and which != OFF:
                p.tasks.start_soon(later, jid, rng.choice([0.0, 0.001, 0.004, 0.05, 0.2]))
            met.add(jid)

        async def later(jid: str, s: float) -> None:
            await anyio.sleep(s)
            if jid not in p.withdrawing:
                await p.withdraw(jid)

        steps = Steps(p, which, before, after, at, late)
        if step == "one reads it much later":
            p.net.cut("c2", "state", SLOW, 30.0)
        real = p.fleet.started

        def started(
            w: Any, key: Any
        ) -> None:  # cancelled as it ends on its machines, before or after anybody knows
            if which == OFF and key[1] == 1 and int(key[0][2:]) % 3:
                p.tasks.start_soon(later, key[0], rng.uniform(0.5, 1.6))
            real(w, key)

        p.fleet.started = started  # type: ignore[method-assign]
        for n in range(1, jobs + 1):
            spec = p.spec(
                n, gait="array" if n % 2 else "group", chicks=2, flightS=1.0 if n % 4 < 2 else 4.0
            )
            p.tasks.start_soon(p.submit, spec)
            if step == "its writer's successor" and n in (4, 8):
                p.tasks.start_soon(p.crash, p.names[n // 4], 1.5)
            await anyio.sleep(0.5)
        await anyio.sleep(35.0)
        missing = await p.all_answered(KNOWN_S)
        found.append((steps, missing))

    found: list[tuple[Steps, list[str]]] = []
    p = play(
        scene, seed, options=settings.Options(keep_ended=2, carry=step != "one reads it much later")
    )
    steps, missing = found[0]
    for jid, order in steps.orders.items():
        assert order[0] == "accepted" and len(set(order[1:])) == 1 == len(
            set(order) & {DONE, OFF}
        ), f"went_back: {jid}: {order}"
        assert p.told.get(jid, order[1]) == order[1], (
            f"went_back: {jid} is {order[1]}, its user was told {p.told[jid]}"
        )
    assert missing == [], f"forgotten: {missing}"
    assert steps.held >= (jobs // 3 if which != OFF else 3), (
        f"the step was met {steps.held} times only"
    )
    assert set(p.told) == set(p.asked), "every one is over, and its user knows"
    return Counter(p.told.values())


@pytest.mark.parametrize("step", STEPS)
def test_done_and_withdrawn_exclude_each_other_at_each_step(step: str) -> None:
    counts = meet_the_end(step)
    assert counts[DONE] >= 3, counts


def unguarded(real: Any) -> Any:
    """Writes of ends and cancellations land whatever the job's key holds by then."""

    async def txn(
        self: KeyValueStore, guards: dict[str, int], puts: dict[str, Any], *a: Any, **kw: Any
    ) -> Any:
        over = {k for k, v in puts.items() if isinstance(v, dict)}
        return await real(self, {k: v for k, v in guards.items() if k not in over}, puts, *a, **kw)

    return txn


def unread(real: Any) -> Any:
    """What is taken for a proof that the copy is current reads nothing."""

    async def watch(
        self: KeyValueStore, prefix: str, since: int, hold_ms: int, urgent: bool = False
    ) -> Any:
        return await real(self, prefix, since, hold_ms, urgent) if hold_ms else (since, [])

    return watch


def unseen(real: Any) -> Any:
    """Nobody looks into the archive."""

    async def get(self: KeyValueStore, key: str) -> Any:
        return (None, 0) if key.startswith("e/") else await real(self, key)

    return get


@pytest.mark.parametrize(
    ("step", "name", "without", "rule"),
    [
        ("the end is written", "compare_and_swap", unguarded, "went_back"),
        ("the cancellation is unknown, and late", "compare_and_swap", unguarded, "went_back"),
        ("one reads it much later", "watch", unread, "went_back"),
        ("it has left, nobody knows", "get", unseen, "forgotten"),
    ],
)
def test_the_steps_find_what_a_guard_is_there_for(
    step: str, name: str, without: Any, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(KeyValueStore, name, without(getattr(KeyValueStore, name)))
    with pytest.raises(AssertionError, match=rule):
        meet_the_end(step)


# -- the copy: own writes, listings that are older, watches' answers in any order ---------------------------------------------------


def test_a_copy_that_is_read_anew_claims_no_cancellation_that_it_has_not_handed_on() -> None:
    """The state service goes away between a new life's listing and the watch that follows it, and stays away.

    c2 has missed a cancellation (it is cut from all but its workers); c1 begins anew, and has listed it. Its words said that it knew up
    to there and named nothing: c2 took that for everything and said that it knew, c1 told the user, and c2's task went on. (Guard: the
    copy is taken and handed on in one step. Without it: ran_cancelled.)
    """

    async def scene(p: SimulatedCluster) -> None:
        service = next(
            n
            for n in range(900, 930)
            if p.nodes["c2"].context.shard_map.team_shard[f"team-{n % 4}"] == 2
        )
        await p.submit(p.spec(service, gait="daemon", chicks=3, marsh="a"))
        jid = f"j-{service:06d}"
        while sum(k[0] == jid for w in p.workers_of("c2") for k in p.workers[w].on_machine()) < 1:
            await anyio.sleep(0.5)
        for other in ("state", "c0", "c1"):
            p.net.cut("c2", other, RESET, 300.0)
        await anyio.sleep(0.5)
        p.tasks.start_soon(p.withdraw, jid, "c0")
        await anyio.sleep(2.0)
        assert isinstance(p.state.store.kv[f"p/job/{jid}"][0], dict), "the cancellation has landed"
        real, seen = p.state.handle, []

        async def handle(q: Any) -> Reply:
            reply = await real(q)
            if (
                q.path == "/kv"
                and q.query.get("starts") == "p/"
                and isinstance(reply.body, dict)
                and not reply.body["hasNext"]
            ):
                seen.append(p.now)
                p.tasks.start_soon(p.outage, 100.0)
            return reply

        p.state.handle = handle  # type: ignore[method-assign]
        await p.crash("c1", 0.2)
        while not seen:
            await anyio.sleep(0.01)
        p.state.handle = real  # type: ignore[method-assign]
        await anyio.sleep(1.0)
        for link in (("c2", "c1"), ("c1", "c2")):
            del p.net.cuts[link]
        for _ in range(70):
            await anyio.sleep(1.0)
            p.tasks.start_soon(p.ask, jid, "c1")
        p.calm()
        await anyio.sleep(45.0)
        assert jid in p.cancelled and not await p.all_answered(KNOWN_S)

    play(scene)


class Copy:
    """A store, and one controller's copy of it; what the plain model knows is what the store held at each revision."""

    def __init__(self, seed: int) -> None:
        self.rng, self.store, self.copy = Random(seed), decision_model.ModelStore(), StoreCache()
        # Watches that have been answered, and what they say; not here yet
        self.reads: list[tuple[int, int, list[WatchEvent]]] = []
        # The same, of a listing and the watch after it
        self.listings: list[tuple[dict[str, Any], int, int, list[WatchEvent]]] = []
        # Own writes that have landed; the answer is not here yet
        self.owns: list[tuple[str, Any, int]] = []
        self.ends: dict[str, str] = {}  # how jobs ended, by what this copy has shown
        self.own: dict[str, int] = {}  # jobs that were accepted here, and at which revision
        self.versions: dict[str, int] = {}

    def write(
        self, guards: dict[str, int], puts: dict[str, Any], deletes: list[str], own: bool
    ) -> None:
        rev, failed = self.store.txn(guards, puts, deletes)
        if not failed and own:
            self.owns += [(k, v, rev) for k, v in puts.items()]

    def watched(self, since: int) -> tuple[int, int, list[WatchEvent]]:
        return since, self.store.rev, self.store.since(since)

    def step(self) -> None:
        rng, s, c = self.rng, self.store, self.copy
        jid = f"j-{rng.randrange(1, 7):06d}"
        value, version = s.kv.get(JOB_PREFIX + jid, (None, 0))
        own = rng.random() < 0.6
        match rng.randrange(9):
            case 0 if not version and "e/" + jid not in s.kv:
                self.write(
                    {JOB_PREFIX + jid: 0},
                    {JOB_PREFIX + jid: decision_model.job(Random(1), jid, 0.0).record()},
                    [],
                    own,
                )
            case 1 if isinstance(value, list):
                self.write(
                    {JOB_PREFIX + jid: version},
                    {JOB_PREFIX + jid: end_record(rng.choice([DONE, OFF]), 1)},
                    [],
                    own,
                )
            case 2 if isinstance(value, dict) and rng.random() < 0.3:
                self.write(
                    {JOB_PREFIX + jid: version},
                    {"e/" + jid: value, "p/archived": 1},
                    [JOB_PREFIX + jid],
                    False,
                )
            case 3:
                key = rng.choice([f"{SHARD_PREFIX}0", f"{SHARD_PREFIX}1", "p/renter"])
                self.write({}, {key: {"node": f"c{rng.randrange(3)}"}}, [], own)
            case 4:
                self.reads.append(self.watched(c.revision))
            case 5 if len(self.listings) < 2 and rng.random() < 0.5:
                self.listings.append((s.read("p/"), s.rev, s.rev, []))
            case 6 if (
                self.listings
            ):  # it is read page by page, and watched from its first page on; others write meanwhile
                found, rev, _, _ = self.listings[-1]
                half = sorted(found)[len(found) // 2 :]
                found = {k: v for k, v in found.items() if k not in half} | {
                    k: s.kv[k] for k in half if k in s.kv
                }
                found |= {k: v for k, v in s.read("p/").items() if half and k >= half[0]}
                _, upto, events = self.watched(rev)
                self.listings[-1] = (found, rev, upto, events)
            case 7 if self.owns:
                c.apply_own_write(*self.owns.pop(0))  # one write's answer after the other
            case 8:
                if self.listings and rng.random() < 0.4:
                    found, rev, upto, events = self.listings.pop(0)
                    c.load(found, rev)
                    c.apply(upto, events)
                elif self.reads:  # two are asked at a time, the answers in any order
                    since, upto, events = self.reads.pop(rng.randrange(len(self.reads)))
                    if since <= c.revision:
                        c.apply(upto, events)
        self.judge()

    def judge(self) -> None:
        c = self.copy
        at = {e.key: e.version for e in self.store.log if e.value is None}
        for jid, how in self.ends.items():
            if jid not in c.ended_jobs:
                assert at.get(JOB_PREFIX + jid), f"{jid} was {how}, and is not over any more"
        for jid, end in c.ended_jobs.items():
            assert (
                self.ends.setdefault(jid, end.outcome) == end.outcome and jid not in c.live_jobs
            ), f"{jid} ended twice"
        for jid, (_, version) in c.live_jobs.items():
            self.own[jid] = version
        for jid in self.own:
            assert jid in c.live_jobs or jid in c.ended_jobs or at.get(JOB_PREFIX + jid), (
                f"{jid} was known, and is not"
            )
        for key, (_, version) in c.entries.items():
            assert version >= self.versions.get(key, 0), f"{key} went back"
            self.versions[key] = version


def run_copy(seeds: range) -> None:
    for seed in seeds:
        c = Copy(seed)
        for _ in range(150):
            c.step()
        c.copy.apply(c.store.rev, c.store.since(c.copy.revision))
        over = {
            k[len(JOB_PREFIX) :]: v["s"]
            for k, (v, _) in c.store.kv.items()
            if k.startswith(JOB_PREFIX) and isinstance(v, dict)
        }
        assert {j: e.outcome for j, e in c.copy.ended_jobs.items()} == over, (
            "in the end it holds what the store holds"
        )
        assert {k: v for k, v in c.copy.entries.items()} == {
            k: v for k, v in c.store.read("p/").items() if not k.startswith(JOB_PREFIX)
        }
        assert {JOB_PREFIX + j for j in c.copy.live_jobs} | {JOB_PREFIX + j for j in over} == {
            k for k in c.store.kv if k.startswith(JOB_PREFIX)
        }


def test_what_the_copy_knows_of_a_job_never_goes_back_in_any_order() -> None:
    """Own writes are known before the watch brings them; a listing may be older than they are, and than the watch."""
    run_copy(range(400))


def everything_goes(self: StoreCache, found: dict[str, tuple[Any, int]], rev: int) -> None:
    """A listing as the whole truth: what it does not hold goes, however new it is."""
    for key in [
        *(JOB_PREFIX + j for j in (*self.live_jobs, *self.ended_jobs, *self.unreadable_jobs)),
        *self.entries,
    ]:
        if key not in found:
            self._apply_change(key, None, rev)
    real_load(self, found, rev)


def whatever_comes(self: StoreCache, rev: int, events: list[WatchEvent]) -> bool:
    for e in events:
        if e.key.startswith(JOB_PREFIX):
            self.ended_jobs.pop(e.key[len(JOB_PREFIX) :], None)
        self._apply_change(e.key, e.value, e.version)
    self.revision = max(self.revision, rev)
    return bool(events)


real_load = StoreCache.load


@pytest.mark.parametrize(
    ("name", "without"), [("load", everything_goes), ("apply", whatever_comes)]
)
def test_the_model_finds_a_copy_that_goes_back(
    name: str, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(StoreCache, name, without)
    with pytest.raises(AssertionError):
        run_copy(range(400))


# -- two users at once; the state service refuses some requests on the way; a read shared by many -----------------------------------


def refusing(p: SimulatedCluster, rng: Random, share: float) -> Counter[int]:
    """So large a share of all requests is refused by the state service, by its limits or without a reason; how many of each."""
    real, refused = p.state.handle, Counter[int]()

    async def handle(q: Any) -> Reply:
        if rng.random() < share and not q.path.startswith("/grants"):
            refused[status := rng.choice([429, 503])] += 1
            return Reply(status, {"error": "busy"})
        return await real(q)

    p.state.handle = handle  # type: ignore[method-assign]
    return refused


def two_users(seed: int, share: float) -> None:
    """Each job is submitted by two at once, again and again while it is not over, cancelled by two at once or when it is done."""
    accepted: Counter[str] = Counter()
    read: list[float] = []

    async def user(p: SimulatedCluster, spec: dict[str, Any], name: str, other: str) -> None:
        jid, rng = spec["id"], Random(f"{seed} {spec['id']} {name}")
        status = 0
        for _ in range(30):
            status = await p.call(name, "POST", "/api/jobs", jid, spec)
            accepted[jid] += status == 201
            if status in (200, 201):
                break
            await anyio.sleep(1.0)
        assert status in (200, 201), f"forgotten: {jid} is not accepted in 30 s: {status}"
        for _ in range(rng.randrange(1, 6)):
            await anyio.sleep(rng.choice([0.0, 0.01, 0.5]))
            await p.resubmit(jid, other)
            await p.ask(jid, name)
        if int(jid[2:]) % 3 == 0:
            await p.withdraw(jid)
            await p.resubmit(jid, other)
        elif int(jid[2:]) % 3 == 1:
            while p.told.get(jid) is None:
                await anyio.sleep(0.5)
                await p.ask(jid, name)
            await p.withdraw(jid, other)  # it is done already
            assert p.told[jid] == DONE

    async def scene(p: SimulatedCluster) -> None:
        rng = Random(seed)
        refused = refusing(p, rng, share)
        for n in range(1, 31):
            spec = p.spec(
                n, gait=rng.choice(["array", "group"]), chicks=2, flightS=rng.choice([1.0, 4.0])
            )
            jid = spec["id"]
            p.asked[jid], p.bodies[jid], p.fleet.specs[jid] = (
                SubmittedJob(p.now),
                spec,
                jobs.parse_submission(spec, 0.0),
            )
            a, b = rng.sample(p.names, 2) if n % 4 else [rng.choice(p.names)] * 2
            p.tasks.start_soon(user, p, spec, a, b)
            p.tasks.start_soon(user, p, spec, b, a)
            await anyio.sleep(rng.choice([0.0, 0.1, 0.6]))
        await anyio.sleep(30.0)
        if not share:
            await burst(p, rng)
        p.state.handle = FakeStoreAndCloud.handle.__get__(p.state)  # type: ignore[method-assign]
        await anyio.sleep(5.0)
        assert not share or min(refused[429], refused[503]) > 10
        p.missing = await p.all_answered(KNOWN_S)  # type: ignore[attr-defined]

    async def burst(p: SimulatedCluster, rng: Random) -> None:
        """Hundreds ask one controller at once, of jobs that run: one read answers those that came before it began."""
        for n in range(100, 110):
            await p.submit(p.spec(n, gait="daemon", chicks=1))
        await anyio.sleep(5.0)
        real = p.state.handle

        async def handle(q: Any) -> Reply:
            if q.path == "/watch" and q.query.get("holdMs") == "0":
                read.append(p.now)
            return await real(q)

        p.state.handle = handle  # type: ignore[method-assign]
        for _ in range(300):
            p.tasks.start_soon(p.ask, f"j-{rng.randrange(100, 110):06d}", "c0")
        await anyio.sleep(1.0)
        assert len(read) < 30, "a read for each would be too many"

    p = play(scene, seed)
    assert p.missing == []  # type: ignore[attr-defined]
    assert (
        set(accepted) >= set(f"j-{n:06d}" for n in range(1, 31)) and max(accepted.values()) == 1
    ), "accepted once, by one of the two"
    for n in range(1, 31):
        jid = f"j-{n:06d}"
        assert p.told[jid] == DONE if n % 3 else p.told[jid] in (DONE, OFF), jid


@pytest.mark.parametrize(("seed", "share"), [(1, 0.0), (2, 0.15), (3, 0.4)])
def test_two_users_at_once_and_a_state_service_that_refuses_some(seed: int, share: float) -> None:
    two_users(seed, share)


def any_submission(real: Any) -> Any:
    """A submission lands whatever is known of its job."""

    async def txn(
        self: KeyValueStore, guards: dict[str, int], puts: dict[str, Any], *a: Any, **kw: Any
    ) -> Any:
        new = {k for k, v in puts.items() if k.startswith(JOB_PREFIX) and isinstance(v, list)}
        return await real(
            self,
            {k: v for k, v in guards.items() if not new or k in puts.keys() - new},
            puts,
            *a,
            **kw,
        )

    return txn


def each_by_itself(real: Any) -> Any:
    async def proof(self: StoreWatch) -> FreshRead:
        begun = self.context.clock()
        answer = await self.context.store.watch(
            WATCHED_PREFIX, self.context.store_cache.revision, 0
        )
        assert answer is not None
        self._apply_events(begun, *answer)
        return FreshRead(begun)

    return proof


@pytest.mark.parametrize(
    ("where", "name", "without", "share", "says"),
    [
        # a job that is submitted once more, as another one, ends the steps of its team's source
        (KeyValueStore, "compare_and_swap", any_submission, 0.0, "accepted once|not in list"),
        (JobAnswers, "final", lambda real: lambda self, jid: None, 0.15, "forgotten|went_back"),
        (StoreWatch, "fresh_read", each_by_itself, 0.0, "a read for each"),
    ],
)
def test_two_users_find_what_a_guard_is_there_for(
    where: type, name: str, without: Any, share: float, says: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(where, name, without(getattr(where, name)))
    with pytest.raises((AssertionError, ValueError), match=says):
        try:
            two_users(1, share)
        except BaseExceptionGroup as e:
            raise innermost_exception(e) from e


@pytest.mark.parametrize("seed", range(3))
def test_two_users_with_one_id_and_two_jobs(seed: int) -> None:
    """One job is accepted, whole, and both are told of it; nothing of the other one is ever started."""

    async def scene(p: SimulatedCluster) -> None:
        for n in range(1, 13):
            rng = Random(f"{seed} {n}")
            specs = [
                p.spec(n, gait="array", chicks=k, keeper=f"team-{(n + k) % 4}") for k in (1, 3)
            ]
            jid, got = specs[0]["id"], dict[int, int]()

            async def one(i: int, spec: dict[str, Any], name: str, got: dict[int, int]) -> None:
                got[i], _ = await p.users[name].call("POST", "/api/jobs", spec, 5.0)

            async with anyio.create_task_group() as tg:
                for i, name in enumerate(
                    rng.sample(p.names, 2) if n % 3 else [rng.choice(p.names)] * 2
                ):
                    tg.start_soon(one, i, specs[i], name, got)
                while f"p/job/{jid}" not in p.state.store.kv:
                    await anyio.sleep(0.0002)
                job = jobs.from_record(p.state.store.kv[f"p/job/{jid}"][0])
                p.fleet.specs[jid] = job
            assert sorted(got.values()) == [200, 201]
            won = next(i for i in got if got[i] == 201)
            assert (job.task_count, job.team) == (specs[won]["chicks"], specs[won]["keeper"])
            p.asked[jid], p.bodies[jid] = SubmittedJob(p.now, accepted=p.now), specs[won]
        await anyio.sleep(25.0)
        assert not await p.all_answered(KNOWN_S) and set(p.told.values()) == {DONE}
        assert {k[0]: 0 for k in p.fleet.begun if k[1] >= p.specs[k[0]].task_count} == {}

    play(scene, seed)


def test_a_controller_that_held_a_shard_for_a_while_shows_its_jobs_as_they_are() -> None:
    """It kept what it had last been told there, and showed the numbers of then for as long as the job lived."""

    async def scene(p: SimulatedCluster) -> None:
        n = next(
            n
            for n in range(900, 930)
            if p.nodes["c0"].context.shard_map.team_shard[f"team-{n % 4}"] == 0
        )
        jid = f"j-{n:06d}"
        p.fleet.longer.update({(jid, 0): 50.0, (jid, 1): 80.0})
        await p.submit(p.spec(n, gait="array", chicks=2, flightS=1.0))
        await anyio.sleep(6.0)
        await p.crash("c0", 7.0)
        while (jid, 0) not in p.fleet.results or p.nodes["c0"].context.held_shards.keys() != {0}:
            await anyio.sleep(0.5)
        await anyio.sleep(3.0)
        shown = [
            (await p.users[name].call("GET", f"/api/jobs/{jid}", None, 2.0))[1] for name in p.names
        ]
        assert shown == [{"id": jid, "stance": "running", "done": 1, "running": 1}] * 3
        await anyio.sleep(40.0)

    play(scene)
