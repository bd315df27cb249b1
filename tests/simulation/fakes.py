"""Stand-ins that speak the published protocol over whatever network they are given: state service, cloud, workers.

On loopback sockets in real time (test_loopback), and in virtual time over links that can be cut (cluster).
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import anyio
import orjson

from ploverhall.errors import UnreachableError
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.key_value_store import KeyValueStore
from ploverhall.transport.http_client import Client
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply, Server
from ploverhall.transport.network import TCP_NETWORK, Network

from . import decision_model


class FakeStoreAndCloud:
    """The state service."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.store = decision_model.ModelStore()
        self.leases: dict[int, tuple[float, float]] = {}
        self.tied: dict[str, int] = {}
        self.down = False
        self.down_until = 0.0

    def up_again(self) -> None:
        """An outage is over: each lease gets its full time again."""
        if self.down:
            self.down = False
            self.leases = {x: (ttl, self.clock() + ttl) for x, (ttl, _) in self.leases.items()}

    def expire(self) -> None:
        now = self.clock()
        for lease in [x for x, (_, end) in self.leases.items() if end < now]:
            del self.leases[lease]
            gone = [k for k, x in self.tied.items() if x == lease]
            if gone:
                self.store.txn({}, {}, gone)
            for k in gone:
                del self.tied[k]

    async def handle(self, q: Request) -> Reply:
        if self.down:
            return Reply(503, {"error": "trouble"})
        self.expire()
        s = self.store
        if q.path == "/multi":
            body = orjson.loads(q.body)
            puts = {o["put"]: o["v"] for o in body.get("apply", ()) if "put" in o}
            deletes = [o["delete"] for o in body.get("apply", ()) if "delete" in o]
            for o in body.get("apply", ()):
                if o.get("tether") is not None and o["tether"] not in self.leases:
                    return Reply(400, {"error": "no such lease"})
            rev, failed = s.txn({g["path"]: g["feather"] for g in body["guards"]}, puts, deletes)
            if failed:
                return Reply(409, {"failed": failed, "moult": s.rev})
            for o in body.get("apply", ()):
                if "put" in o:
                    self.tied.pop(o["put"], None)
                    if o.get("tether") is not None:
                        self.tied[o["put"]] = o["tether"]
            return Reply(200, {"moult": rev})
        if q.path == "/kv":
            found = s.read(q.query["starts"])
            items = [
                {"path": k, "v": v, "feather": r}
                for k, (v, r) in found.items()
                if k > q.query.get("from", "")
            ]
            return Reply(
                200, {"items": items[:2], "hasNext": len(items) > 2, "moult": s.rev}
            )  # small pages on purpose
        if q.path.startswith("/kv/") and q.path[4:] in s.kv:
            value, rev = s.kv[q.path[4:]]
            return Reply(200, {"path": q.path[4:], "v": value, "feather": rev})
        if q.path == "/watch":
            since, until = int(q.query["from"]), self.clock() + int(q.query.get("holdMs", 0)) / 1000
            while True:
                news = [
                    e for e in s.log if e.version > since and e.key.startswith(q.query["starts"])
                ]
                if news or self.clock() >= until:
                    break
                await anyio.sleep(0.01)
                while self.down:  # an open watch stays open, and no lease ends
                    await anyio.sleep(0.1)
                self.expire()
            return Reply(
                200,
                {
                    "moult": s.rev,
                    "news": [
                        {"put": e.key, "v": e.value, "feather": e.version}
                        if e.value is not None
                        else {"delete": e.key, "feather": e.version}
                        for e in news
                    ],
                },
            )
        if q.path == "/grants":
            ttl = orjson.loads(q.body)["lifeMs"] / 1000
            lease = len(self.leases) + 1 + s.rev * 100
            self.leases[lease] = (ttl, self.clock() + ttl)
            return Reply(200, {"tether": lease})
        if q.path.startswith("/grants/"):
            lease = int(q.path.split("/")[2])
            if lease not in self.leases:
                return Reply(404, {})
            self.leases[lease] = (self.leases[lease][0], self.clock() + self.leases[lease][0])
            return Reply(200, {})
        return Reply(404, {"moult": s.rev})


class FakeAgents:
    """The cloud, with workers that boot at once and report to the controllers as the protocol has it."""

    def __init__(
        self,
        controllers: dict[str, tuple[str, int]],
        ports: int,
        clock: Callable[[], float] = time.monotonic,
        net: Callable[[str], Network] = lambda host: TCP_NETWORK,
        host: str | None = "127.0.0.1",
        every: float = 0.1,
        zones: tuple[str, ...] = ("a",),
        rng: Random | None = None,
    ) -> None:
        self.controllers = controllers
        self.next_port = ports
        self.clock, self.net, self.host, self.every, self.zones = clock, net, host, every, zones
        self.rng = rng or Random(1)
        self.nodes = list(controllers)
        self.specs: dict[str, Job] = {}
        self.results: set[tuple[str, int]] = set()
        self.machines: dict[
            str, tuple[decision_model.ModelAgent, dict[str, Any], anyio.CancelScope]
        ] = {}
        self.pleas: dict[str, list[str]] = {}
        self.starts = 0
        self.started_at: list[float] = []
        self.started_on: list[tuple[float, str]] = []  # and on which machine
        self.first_starts: set[tuple[str, int]] = set()
        self.first_at: dict[tuple[str, int], float] = {}  # when each task first was on a machine
        self.begun: Counter[tuple[str, int]] = Counter()  # how often each task was started
        # By how much some tasks run longer than others of their job
        self.longer: dict[tuple[str, int], float] = {}
        self.killed_by_lease = 0
        self.broken: list[str] = []
        self.tasks: Any = None
        self.most = 10_000  # machines that are to be had
        # Told of every report that leaves
        self.sent: Callable[[decision_model.ModelAgent, str, dict[str, Any]], None] | None = None
        # Every start: when, which attempt of which task, on which machine
        self.starts_of: list[tuple[float, Any, str]] = []
        # the cloud's own troubles; its draws are its own
        # Seconds from a rental to its worker's first report, drawn between these
        self.boots = (
            0.0,
            0.0,
        )
        # Its list describes a moment up to twice that ago, also an earlier one than the list
        # before it
        self.list_lag_s = 0.0
        # The share of rentals and deletions that are executed, and not answered
        self.lost_answers = 0.0
        self.late_requests = 0.0  # the share that are not answered and executed 2 to 12 s later
        self.cloud_rng = Random(17)
        # What a list without a lag would have shown, from then on
        self.was: list[tuple[float, dict[str, dict[str, Any]]]] = []
        self.listed_once: set[str] = set()
        # Until when commands to a machine (True: their answers) are held up
        self.held_do: dict[str, tuple[float, bool]] = {}
        self.hours: dict[str, float] = {}  # when a machine was asked for

    @property
    def now(self) -> float:
        return self.clock()

    @property
    def workers(self) -> dict[str, decision_model.ModelAgent]:
        return {n: w for n, (w, _, _) in self.machines.items()}

    def started(self, w: decision_model.ModelAgent, key: Any) -> None:
        self.started_at.append(self.now)
        self.started_on.append((self.now, w.name))
        self.first_starts.add(key[:2])
        self.begun[key[:2]] += 1
        self.first_at.setdefault(key[:2], self.now)
        self.starts_of.append((self.now, key, w.name))
        try:
            decision_model.DecisionModel.started(self, w, key)  # type: ignore[arg-type]
        except decision_model.RuleBrokenError as e:
            self.broken.append(str(e))

    async def handle(self, q: Request) -> Reply:
        if q.path == "/flavors":
            return Reply(
                200,
                {
                    "breeds": [
                        {
                            "name": "t",
                            "cores": 16,
                            "gpus": 4,
                            "ramGb": 128,
                            "localGb": 60,
                            "pullGbPerS": 1.0,
                            "price": 10.0,
                            "lowPrice": 3.0,
                            "startupS": 1,
                            "marshes": list(self.zones),
                        }
                    ]
                },
            )
        if q.path == "/hosts" and q.method == "GET":
            items = (
                [m for _, m, _ in self.machines.values()] if not self.list_lag_s else self.lagging()
            )
            return Reply(
                200,
                {
                    "perches": [m for m in items if m["id"] > q.query.get("from", "")],
                    "hasNext": False,
                },
            )
        body = orjson.loads(q.body)
        if (
            fate := self.cloud_rng.random() if self.lost_answers + self.late_requests else 1.0
        ) < self.lost_answers + self.late_requests:
            if fate >= self.lost_answers:
                self.tasks.start_soon(self._act_late, q.path, body)
            else:
                self._act(q.path, body)
            await anyio.sleep(20.0)  # whoever asked has given up by then
        return self._act(q.path, body)

    def _act(self, path: str, body: dict[str, Any]) -> Reply:
        if path == "/hosts":
            if body["plea"] not in self.pleas:
                if len(self.machines) + body["count"] > self.most:
                    return Reply(503, {"error": "no capacity"})
                self.pleas[body["plea"]] = [self.boot(body) for _ in range(body["count"])]
            return Reply(200, {"perches": self.pleas[body["plea"]]})
        for name in body["perches"]:
            if name in self.machines:
                self.machines.pop(name)[2].cancel()
        self._note()
        return Reply(200, {})

    async def _act_late(self, path: str, body: dict[str, Any]) -> None:
        await anyio.sleep(2.0 + 10.0 * self.cloud_rng.random())
        self._act(path, body)

    def _note(self) -> None:
        """What the cloud has from now on."""
        if self.list_lag_s:
            self.was = [
                *self.was[-400:],
                (self.now, {n: m for n, (_, m, _) in self.machines.items()}),
            ]

    def lagging(self) -> list[dict[str, Any]]:
        """A list as it was some time ago; a machine that has been listed stays so until it is gone."""
        self._note()
        as_of = self.now - 2.0 * self.list_lag_s * self.cloud_rng.random()
        then = next((held for at, held in reversed(self.was) if at <= as_of), self.was[0][1])
        there = {
            **{n: m for n, (_, m, _) in self.machines.items() if n in self.listed_once},
            **then,
        }
        self.listed_once |= there.keys()
        return [{**m, "heldS": max(0.0, as_of - self.hours[n])} for n, m in sorted(there.items())]

    def boot(self, body: dict[str, Any]) -> str:
        name, port = f"n-{len(self.pleas):03d}{self.next_port}", self.next_port
        self.next_port += 1
        w = decision_model.ModelAgent(self, name, body["marsh"], body["driftwood"])  # type: ignore[arg-type]
        at = f"{self.host or name}:{port}"
        listed = {
            "id": name,
            "endpoint": at,
            "breed": "t",
            "marsh": body["marsh"],
            "driftwood": body["driftwood"],
            "stance": "running",
            "heldS": 1.0,
        }
        scope = anyio.CancelScope()
        self.machines[name] = (w, listed, scope)
        self.hours[name] = self.now
        self._note()
        self.tasks.start_soon(self.live, w, port, at, scope)
        return name

    async def _boots(self, w: decision_model.ModelAgent, listed: dict[str, Any]) -> None:
        if self.boots[1] > 0.0:
            listed["stance"] = "booting"
            await anyio.sleep(self.cloud_rng.uniform(*self.boots))
            listed["stance"] = "running"
            w.answered_sent = self.now  # its lease counts from when it began

    async def awake(self, w: decision_model.ModelAgent) -> bool:
        """Waits until a machine that hangs goes on; whether it hung."""
        hung = self.now < w.hung_until
        while self.now < w.hung_until:
            await anyio.sleep(
                min(0.1, w.hung_until - self.now)
            )  # troubles may end sooner than they were to
        return hung

    def tick(self, w: decision_model.ModelAgent) -> None:
        session, tasks = w.session, len(w.tasks)
        if self.now < w.hung_until:
            return  # nothing is executed; what its lease has ended is killed first when it goes on
        w.tick()
        if w.session != session:
            self.killed_by_lease += tasks

    async def live(
        self, w: decision_model.ModelAgent, port: int, at: str, scope: anyio.CancelScope
    ) -> None:
        net = self.net(self.host or w.name)

        async def do(q: Request) -> Reply:
            await self.awake(w)
            if q.path == "/show":
                w.tick()
                return Reply(200, {**w.report(), "endpoint": at})
            until, answers = self.held_do.get(w.name, (0.0, False))
            if not answers:
                await anyio.sleep(max(0.0, until - self.now))
            before = w.token
            body = orjson.loads(q.body)
            report = w.on_do(body)
            if answers:
                await anyio.sleep(max(0.0, until - self.now))
            return Reply(
                200 if body["crest"] >= before and body["tide"] == w.session else 409,
                {**report, "endpoint": at},
            )

        with scope:
            await self._boots(w, self.machines[w.name][1])
            async with anyio.create_task_group() as tg:
                tg.start_soon(
                    Server(do, 10, network=net, clock=self.clock).run, self.host or w.name, port
                )
                names = list(self.controllers)
                clients = [
                    Client(*self.controllers[n], keep=1, network=net, clock=self.clock)
                    for n in names
                ]
                tg.start_soon(self._ticks, w)
                # When a higher token was last told of by itself: no more than once in half a
                # lease
                told = -1e9
                while True:
                    if await self.awake(w):
                        self.tick(w)
                    token = w.token
                    body, sent, session = {**w.report(), "endpoint": at}, self.now, w.session
                    if self.sent is not None:
                        self.sent(w, names[w.home], body)
                    listed = [dict(t) for t in w.tasks.values()]
                    try:
                        status, answer = await clients[w.home].call("POST", "/v1/report", body, 4.0)
                    except UnreachableError:
                        status, answer = 0, None
                    if await self.awake(w) and self.now - sent > 4.0:
                        status, answer = 0, None  # it has hung over an answer
                    if status == 200 and isinstance(answer, dict):
                        w.on_answer(answer, sent, session)
                    elif (
                        status == 421
                        and isinstance(answer, dict)
                        and answer.get("homing") in names
                        and answer["homing"] != names[w.home]
                    ):
                        w.home = names.index(answer["homing"])
                        await anyio.sleep(0.5 * self.rng.random() * min(1.0, self.every))
                        continue
                    else:
                        w.home = (w.home + 1) % len(clients)
                        await anyio.sleep(min(1.0, 5 * self.every))
                        continue
                    due = self.now + self.every * (0.75 + 0.5 * self.rng.random())
                    soon = self.now + min(0.5, self.every)
                    while self.now < due:
                        if (
                            self.now >= soon
                            and w.token > token
                            and self.now - told > decision_model.LEASE / 2
                        ):
                            told = self.now
                            break
                        if self.now >= soon and [dict(t) for t in w.tasks.values()] != listed:
                            break
                        await anyio.sleep(min(0.1, self.every))

    async def _ticks(self, w: decision_model.ModelAgent) -> None:
        while True:
            await anyio.sleep(min(0.1, self.every))
            self.tick(w)
            if w is next(iter(self.workers.values()), None):
                decision_model.DecisionModel.gangs(self)  # type: ignore[arg-type]


def unguarded(*prefixes: str) -> tuple[type, str, Any]:
    """For monkeypatch.setattr: controllers' writes without their guards on keys that begin so."""
    real = KeyValueStore.compare_and_swap

    async def txn(self: KeyValueStore, guards: dict[str, int], *a: Any, **kw: Any) -> Any:
        return await real(
            self, {k: v for k, v in guards.items() if not k.startswith(prefixes)}, *a, **kw
        )

    return KeyValueStore, "compare_and_swap", txn
