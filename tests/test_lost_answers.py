"""Transactions whose answer is lost: carried out at once, or late and after newer ones; and answers of the state service in no list.

Every kind of write in the table of docs/design.md ("Late, after newer ones of the same controller, or once more") is played over whole
controllers: what its writer does until it reads, and what all others do with what they read. The rules are judged all along.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

import anyio
import orjson
import pytest

from ploverhall import settings
from ploverhall.controller.autoscaling_loop import AutoscalingLoop
from ploverhall.controller.shard_leases import ShardLeases
from ploverhall.errors import OutcomeUnknownError, RequestRefusedError, UnreachableError
from ploverhall.protocol.key_value_store import KeyValueStore, WatchEvent
from ploverhall.transport.http_server import Reply

from .scenarios import assert_scene_breaks, describe_innermost_exception, start_background_load
from .simulation.cluster import SimulatedCluster, play
from .simulation.fakes import FakeStoreAndCloud, unguarded

SILENT = 0  # no answer at all
NO_FORM: tuple[Any, ...] = (
    None,
    [],
    "ok",
    {},
    {"moult": None},
    {"moult": "7"},
    {"moult": -1},
    {"moult": True},
)
STATUSES = (500, 502, 504, 404, 301)


def kinds_of(q: Any) -> set[str]:
    """Which rows of the design's table a request is about."""
    if q.path != "/multi":
        return set()
    out: set[str] = set()
    for op in orjson.loads(q.body).get("apply", ()):
        key, value = op.get("put") or op["delete"], op.get("v")
        if key.startswith("p/job/") and "put" in op:
            out.add(
                "submission"
                if not isinstance(value, dict)
                else "end"
                if value["s"] == "done"
                else "cancellation"
            )
        elif key.startswith("p/shard/"):
            out.add("claim" if "put" in op else "hand-back")
        else:
            for prefix, kind in (
                ("c/", "permits"),
                ("d/", "progress"),
                ("p/node/", "member"),
                ("p/renter", "renter"),
                ("p/type", "types"),
                ("u/", "grants"),
                ("p/upkeep/", "order"),
                ("i/", "images"),
                ("e/", "archive"),
            ):
                if key.startswith(prefix):
                    out.add(kind)
    return out


class Answers:
    """The state service, with a share of the transactions of some kinds carried out, and their answers lost or of no use."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        kinds: set[str],
        late: bool,
        share: float = 0.6,
        seed: int = 1,
        with_no_form: bool = True,
    ) -> None:
        self.kinds, self.late, self.share, self.rng = kinds, late, share, Random(seed)
        self.odd = [SILENT, SILENT, *STATUSES, *([200] * 3 if with_no_form else [])]
        self.on = False
        self.met: Counter[str] = Counter()
        self.tasks: list[Any] = []
        self.real = real = FakeStoreAndCloud.handle
        answers = self

        async def handle(self: FakeStoreAndCloud, q: Any) -> Reply:
            lost = answers.on and not self.down and answers.kinds & kinds_of(q)
            if not lost or (
                all(answers.met[k] for k in lost) and answers.rng.random() >= answers.share
            ):  # the first of each surely
                return await real(self, q)
            if not answers.late and (reply := await real(self, q)).status != 200:
                return reply  # nothing was carried out: a claim that came second, say
            answers.met.update(sorted(lost))
            if answers.late:
                answers.tasks.append(asyncio.get_running_loop().create_task(answers._late(self, q)))
            status = answers.rng.choice(answers.odd)
            if status == SILENT:
                await anyio.sleep(20.0)
            return Reply(
                status, {"error": "gateway"} if status != 200 else answers.rng.choice(NO_FORM)
            )

        monkeypatch.setattr(FakeStoreAndCloud, "handle", handle)

    async def _late(self, state: FakeStoreAndCloud, q: Any) -> None:
        await anyio.sleep(1.0 + 9.0 * self.rng.random())
        await self.real(state, q)


GROUPS: dict[str, set[str]] = {
    "users": {"submission", "cancellation"},
    "sources": {"permits", "progress", "end"},
    "hands": {"claim", "hand-back", "member", "renter"},
    "operators": {"order", "grants"},
    "background": {"types", "images", "archive"},
}


async def looks(p: SimulatedCluster) -> None:
    """Users ask at all controllers, and submit again, soon after one another, about what is new and what is old."""
    while True:
        await anyio.sleep(1.0)
        accepted = [j for j, a in p.asked.items() if a.accepted is not None]
        if not accepted:
            continue
        for jid in dict.fromkeys(
            [*accepted[-2:], *sorted(p.withdrawing)[-1:], p.asker.choice(accepted)]
        ):  # one seed, one course
            for name in p.names:
                p.tasks.start_soon(p.ask, jid, name)
            p.tasks.start_soon(p.resubmit, jid, p.asker.choice(p.names))


async def order(p: SimulatedCluster, jid: str, **what: Any) -> None:
    """An operator has machines emptied, and repeats that until it is known to be placed."""
    while True:
        for name in ("c2", "c0", "c1"):
            with contextlib.suppress(UnreachableError):
                if (await p.users[name].call("POST", "/upkeep", {"id": jid, **what}, 5.0))[0] in (
                    200,
                    201,
                ):
                    return
        await anyio.sleep(1.0)


async def everything(p: SimulatedCluster, answers: Answers, s: float = 20.0) -> None:
    """Jobs of all kinds come, end and are cancelled; an order empties a machine; a controller ends, is replaced, and is back."""
    await start_background_load(p, 55.0)
    for n in range(910, 916):
        p.tasks.start_soon(p.submit, p.spec(n, gait="array", chicks=2, flightS=500.0))
    p.tasks.start_soon(p.submit, p.spec(916, gait="array", chicks=9, flightS=4.0))
    await anyio.sleep(4.0)
    answers.on = True
    p.tasks.start_soon(looks, p)
    p.tasks.start_soon(partial(order, p, "u-1", machines=p.workers_of("c0")[:1]))
    rents = next(n for n, node in p.nodes.items() if node.context.autoscaler is not None)
    for name in dict.fromkeys(("c1", rents)):
        p.tasks.start_soon(p.crash, name, 9.0)
    for n in range(910, 916):
        p.tasks.start_soon(p.withdraw, f"j-{n:06d}")
        await anyio.sleep(s / 6)
    if "order" in answers.kinds:
        for verb in ("pause", "resume", "pause", "resume"):
            for _ in range(20):  # until told so
                with contextlib.suppress(UnreachableError):
                    if (await p.users["c2"].call("POST", f"/upkeep/u-1/{verb}", {}, 5.0))[0] in (
                        200,
                        409,
                    ):
                        break
                await anyio.sleep(1.0)
    with anyio.move_on_after(
        40.0
    ):  # a part goes home only when its home has been well for some time
        while "hand-back" in answers.kinds and not answers.met["hand-back"]:
            await anyio.sleep(0.1)
    await anyio.sleep(2.0)
    answers.on = False
    await anyio.sleep(24.0)


def whole(p: SimulatedCluster, kills: bool) -> None:
    """Nothing is lost by it. Only where claims are lost while two of three controllers are down may a part be without one for a lease."""
    assert sorted(s for n in p.nodes.values() for s in n.context.held_shards) == [0, 1, 2], (
        "nobody holds a part, or two do"
    )
    assert all(f"p/node/{n}" in p.state.store.kv for n in p.names)
    assert all(a.accepted is not None for a in p.asked.values()), "not accepted"
    order = p.state.store.kv.get("p/upkeep/u-1")
    assert order is None or order[0]["state"] != "paused", (
        "u-1 is paused, though its operator was told that it goes on"
    )
    assert len(p.cancelled) + sum(p.told.get(j) == "done" for j in p.withdrawing) >= len(
        p.withdrawing
    )
    over = {j for j in p.asked if p.told.get(j) in ("done", "withdrawn")}
    left = [k for k, (v, _) in p.state.store.kv.items() if k.startswith("c/") and over & set(v)]
    assert not left, f"entries of jobs that are over: {left}"
    assert kills or p.fleet.killed_by_lease == 0


def claims_once() -> Any:
    """Without: who finds itself as the holder, and does not hold it, leaves it at that."""
    real = ShardLeases.reconcile_shard

    async def check(self: ShardLeases, shard: int, now: float) -> None:
        if (
            self.context.store_cache.holder(shard)[0] != self.context.settings.name
            or shard in self.context.held_shards
        ):
            await real(self, shard, now)

    return ShardLeases, "reconcile_shard", check


def types_once() -> Any:
    """As it was: what was not known to have landed was written again a minute later."""
    real = AutoscalingLoop._store_machine_types

    async def store(self: AutoscalingLoop, types: Any) -> bool:
        await real(self, types)
        return True

    return AutoscalingLoop, "_store_machine_types", store


@pytest.mark.parametrize(
    ("group", "late", "without", "breaks"),
    [
        *((group, late, None, "") for group in GROUPS for late in (False, True)),
        (
            "users",
            False,
            lambda: unguarded("p/job/", "e/"),
            "went_back|forgotten|list.remove",
        ),  # a job that is over comes to life
        ("sources", True, lambda: unguarded("c/", "p/shard/"), "ran_twice|quota"),
        ("hands", False, claims_once, "of .* served|nobody holds"),
        ("background", False, types_once, "of .* served|not accepted"),
    ],
)
def test_every_kind_of_write(
    group: str, late: bool, without: Any, breaks: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The writer doesn't know whether it landed; the others read it at once, or only after newer ones of the same writer."""
    if without is not None:
        monkeypatch.setattr(*without())
    answers = Answers(monkeypatch, GROUPS[group], late)
    answers.on = "types" in GROUPS[group]

    async def scene(p: SimulatedCluster) -> None:
        await everything(p, answers)
        p.broken += [f"not answered: {j}" for j in await p.all_answered(10.0)]

    def played() -> None:
        p = play(scene, options=settings.Options(keep_ended=6, handback_s=4.0))
        assert not GROUPS[group] - answers.met.keys(), "not met"
        whole(p, kills=group == "hands")

    if without is None:
        played()
    else:
        with pytest.raises((AssertionError, BaseExceptionGroup)) as e:
            played()
        assert re.search(breaks, describe_innermost_exception(e.value)), (
            describe_innermost_exception(e.value)
        )


# -- answers of no list, one by one ---------------------------------------------------------------------------------------------------


class Says:
    """A caller that always answers the same."""

    def __init__(self, status: int, body: Any) -> None:
        self.answer = status, body

    async def call(
        self, method: str, target: str, body: object = None, timeout: float = 3.0, hold: float = 0.0
    ) -> tuple[int, object]:
        return self.answer


CALLS: dict[str, Callable[[KeyValueStore], Awaitable[Any]]] = {
    "get": lambda s: s.get("e/j-000001"),
    "read": lambda s: s.list_prefix("c/"),
    "txn": lambda s: s.compare_and_swap({"a": 1}, {"a": 2}, []),
    "watch": lambda s: s.watch("p/", 3, 0),
    "grant": lambda s: s.grant_lease(4.0),
    "renew": lambda s: s.renew_lease(7),
}
# What the protocol lists, and what it says
MEANT: dict[str, dict[int, tuple[Any, Any]]] = {
    "get": {
        200: ({"path": "e/j-000001", "v": {"s": "done"}, "feather": 3}, ({"s": "done"}, 3)),
        404: ({"moult": 4}, (None, 0)),
    },
    "read": {
        200: (
            {"items": [{"path": "c/x", "v": {}, "feather": 3}], "hasNext": False, "moult": 4},
            ({"c/x": ({}, 3)}, 4),
        )
    },
    "txn": {
        200: ({"moult": 4}, (4, [])),
        409: ({"failed": ["a"], "moult": 4}, (0, ["a"])),
        400: ({"error": "no such lease"}, (0, ["no such lease"])),
    },
    "watch": {
        200: (
            {"moult": 4, "news": [{"delete": "p/x", "feather": 4}]},
            (4, [WatchEvent("p/x", None, 4)]),
        ),
        410: ({}, None),
    },
    "grant": {200: ({"tether": 7}, 7)},
    "renew": {200: ({}, True), 404: ({}, False)},
}


def says(call: str, status: int, body: Any) -> Any:
    """What a call makes of an answer: a value, or the name of what it raises."""
    try:
        return anyio.run(CALLS[call], KeyValueStore(Says(status, body), 100.0, 100.0))
    except (RequestRefusedError, OutcomeUnknownError) as e:
        return type(e).__name__


@pytest.mark.parametrize("call", CALLS)
def test_only_what_the_protocol_lists_is_believed(call: str) -> None:
    """Before: a 502 was "not executed" for a write, "no such key" for a read of one key, and "ended" for a lease."""
    listed = MEANT[call]
    for status, (body, meant) in listed.items():
        assert says(call, status, body) == meant
    for status in (429, 503):
        assert says(call, status, {"error": "trouble"}) == "RequestRefusedError"
    for status in {201, 204, 301, 400, 403, 404, 408, 409, 410, 500, 502, 504} - listed.keys():
        assert says(call, status, {"error": "bad gateway"}) == "OutcomeUnknownError", status
    assert says(call, 400, {"error": "malformed"}) == "OutcomeUnknownError"


@pytest.mark.parametrize(
    ("call", "bodies"),
    [
        ("get", [{"v": 1}, {"v": 1, "feather": "3"}, {"feather": 3}]),
        (
            "read",
            [
                {"items": None, "moult": 1},
                {"items": [{}], "moult": 1},
                {"items": [], "hasNext": True, "moult": 1},
                {"items": []},
                {"items": [{"path": 5, "v": 1, "feather": 1}], "moult": 1},
            ],
        ),
        (
            "txn",
            [{}, {"moult": None}, {"moult": "7"}, {"moult": -1}, {"moult": True}, {"moult": 7.0}],
        ),
        (
            "watch",
            [
                {"moult": 4},
                {"moult": 4, "news": [{}]},
                {"moult": 4, "news": [{"put": "p/x", "feather": 4}]},
                {"moult": 4, "news": {"a": 1}},
            ],
        ),
        ("grant", [{}, {"tether": None}, {"tether": "7"}]),
    ],
)
def test_a_200_in_no_published_form_is_an_unknown_outcome(call: str, bodies: list[Any]) -> None:
    """Before: a missing field raised KeyError inside the writer, and ended the process."""
    for body in [None, [], "ok", 7, [1], *bodies]:
        assert says(call, 200, body) == "OutcomeUnknownError", body
    assert (
        says("txn", 409, {})
        == says("txn", 409, {"failed": [3]})
        == says("txn", 409, None)
        == "OutcomeUnknownError"
    )


def test_odd_answers_cost_one_line_now_and_then(capfd: pytest.CaptureFixture[str]) -> None:
    now = [100.0]
    store = KeyValueStore(Says(200, "x" * 100_000), 1e6, 1e6, lambda: now[0])

    async def often() -> None:
        for _ in range(300):
            now[0] += 0.1
            with pytest.raises(OutcomeUnknownError):
                await store.get("k")

    anyio.run(often)
    lines = [line for line in capfd.readouterr().err.splitlines() if "invalid response" in line]
    assert (
        len(lines) == 3 and all(len(line) < 400 for line in lines) and store.last_answer_at == 0.0
    )


# -- reads, renewals and watches with such answers ------------------------------------------------------------------------------------


def no_lease_on_500() -> Any:
    """As it was."""

    async def renew(self: KeyValueStore, lease: int) -> bool:
        status, _ = await self._call(
            "POST", f"/grants/{lease}/extend", {}, timeout=1.0, urgent=True
        )
        return status == 200

    return KeyValueStore, "renew_lease", renew


def no_key_on_500() -> Any:
    """As it was."""

    async def get(self: KeyValueStore, key: str) -> tuple[Any, int]:
        status, out = await self._call("GET", f"/kv/{key}")
        return (out["v"], out["feather"]) if status == 200 else (None, 0)

    return KeyValueStore, "get", get


@pytest.mark.parametrize(
    ("path", "without", "seen"),
    [
        ("/grants", None, ""),
        ("/kv", None, ""),
        ("/watch", None, ""),
        ("/grants", no_lease_on_500, "a part was lost"),
        ("/kv", no_key_on_500, "forgotten"),
    ],
)
def test_reads_and_renewals_that_fail_in_no_listed_way(
    path: str, without: Any, seen: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A gateway in trouble: nothing is concluded from it, nobody lets go of a part, and no job is unknown."""
    if without is not None:
        monkeypatch.setattr(*without())
    real, on, rng, met = FakeStoreAndCloud.handle, [False], Random(3), [0]

    async def handle(self: FakeStoreAndCloud, q: Any) -> Reply:
        if on[0] and q.path.startswith(path) and rng.random() < 0.4:
            met[0] += 1
            status = rng.choice((500, 502, 504, 200))
            return Reply(
                status,
                {"error": "gateway"}
                if status != 200
                else rng.choice([None, [], "ok", {"items": [3]}, {"news": 4}]),
            )
        return await real(self, q)

    monkeypatch.setattr(FakeStoreAndCloud, "handle", handle)

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 40.0)
        await anyio.sleep(10.0)
        on[0], claims = True, p.claims()
        p.tasks.start_soon(looks, p)
        await anyio.sleep(20.0)
        on[0] = False
        assert met[0] > 5
        if path == "/grants" and p.claims() != claims:
            p.broken.append("a part was lost")
        await anyio.sleep(12.0)
        assert not await p.all_answered(10.0)
        whole(p, kills=False)

    if without is None:
        play(scene, options=settings.Options(keep_ended=4))
    else:
        assert_scene_breaks(scene, seen, options=settings.Options(keep_ended=4))


@pytest.mark.parametrize("verbs", [("pause", "pause", "resume"), ("pause", "resume")])
@pytest.mark.parametrize("guarded", [True, False])
def test_a_late_pause_does_not_stop_an_order_that_goes_on(
    guarded: bool, verbs: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    """An operator pauses an order, once more since the answer was lost (or not), and resumes it; then the first pause is carried out.

    Resumed without a second pause, it ran already for all that was known: nothing was written, and nothing stood against the late pause.
    """
    if not guarded:
        monkeypatch.setattr(*unguarded("p/upkeep/"))
    real, kept = FakeStoreAndCloud.handle, list[Any]()

    async def handle(self: FakeStoreAndCloud, q: Any) -> Reply:
        if not kept and b"paused" in q.body and "order" in kinds_of(q):
            kept.append(q)
            return Reply(504, {"error": "gateway"})
        return await real(self, q)

    monkeypatch.setattr(FakeStoreAndCloud, "handle", handle)

    async def scene(p: SimulatedCluster) -> None:
        async def change(verb: str) -> int:
            return (await p.users["c2"].call("POST", f"/upkeep/u-1/{verb}", {}, 5.0))[0]

        await order(p, "u-1", zone="a", at_once=1)  # not over for long
        assert [await change(verb) for verb in verbs] == [503, *[200] * (len(verbs) - 1)]
        late = await real(p.state, kept[0])
        assert (late.status == 409) is guarded
        assert (p.state.store.kv["p/upkeep/u-1"][0]["state"] != "paused") is guarded

    play(scene)


# -- written by a life that has ended, carried out when the next one, or another controller's epoch, has begun -------------------------

LANDS = {
    "permits": {409},
    "progress": {409},
    "end": {409},
    "images": {409},
    "grants": {409},
    "submission": {409},
    "cancellation": {409},
    "archive": {409},
    "claim": {409, 400},
    "renter": {409, 400},
    "member": {200, 400},
    "order": {200, 409},
}


@pytest.mark.parametrize(
    ("after", "without"),
    [(0.1, None), (7.0, None), (0.1, lambda: unguarded("p/shard/", "c/", "d/"))],
)
def test_carried_out_when_its_writer_has_ended_and_is_back(
    after: float, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One write of each kind is held back on its way; its writer ends, and is back at once or after another has had its part.

    With `after` 0.1 the lease that a claim or a member's key is tethered to still lives, and nobody else has claimed.
    """
    if without is not None:
        monkeypatch.setattr(*without())
    wanted: list[str] = []
    kept: list[tuple[str, Any]] = []
    real = SimulatedCluster._state_for

    def state_for(self: SimulatedCluster, name: str) -> Any:
        inner = real(self, name)

        async def handle(q: Any) -> Reply:
            if wanted and wanted[0] in kinds_of(q) and name not in self.down:
                wanted.clear()
                kept.append((name, q))
                await anyio.sleep(30.0)
            return await inner(q)

        return handle

    monkeypatch.setattr(SimulatedCluster, "_state_for", state_for)
    landed: dict[str, int] = {}

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 200.0)
        p.tasks.start_soon(looks, p)
        for i, kind in enumerate(sorted(LANDS)):
            wanted[:], kept[:] = [kind], []
            if kind == "cancellation":
                p.tasks.start_soon(p.withdraw, "j-000900")
            if kind == "images":
                p.tasks.start_soon(p.submit, p.spec(990, gait="array", chicks=3, plumage="another"))
            if kind in ("order", "grants"):
                busiest = max(
                    sorted(p.workers),
                    key=lambda w: sum(
                        t[0] in ("j-000901", "j-000902") for t in p.workers[w].on_machine()
                    ),
                )
                p.tasks.start_soon(partial(order, p, f"u-{i}", machines=[busiest]))
            if kind in ("member", "claim", "renter"):
                rents = next(
                    (
                        n
                        for n, node in p.nodes.items()
                        if n not in p.down and node.context.autoscaler is not None
                    ),
                    "c0",
                )
                p.tasks.start_soon(p.crash, rents, 6.0)
            with anyio.move_on_after(25.0):
                while not kept:
                    await anyio.sleep(0.02)
            if not kept:
                continue
            name, q = kept[0]
            await p.crash(name, after)
            await anyio.sleep(2.6)
            landed[kind] = (await p.state.handle(q)).status
            await anyio.sleep(2.5)
        await anyio.sleep(25.0)
        p.broken += [f"not answered: {j}" for j in await p.all_answered(10.0)]
        p.broken += [
            f"{kind}: {status}" for kind, status in landed.items() if status not in LANDS[kind]
        ]

    def played() -> None:
        whole(play(scene, options=settings.Options(keep_ended=6, handback_s=4.0)), kills=True)
        assert landed.keys() == LANDS.keys(), f"not met: {LANDS.keys() - landed.keys()}"

    if without is None:
        played()
    else:
        with pytest.raises(AssertionError, match=": 200"):
            played()
