"""The cloud and the workers on its machines, and the record of what runs where."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .wire import LOOPBACK, MAX_LINE, Answer, Client, HttpServer, PortSource, Request

TICK_S = 0.05
ANSWER_TIMEOUT_S = 4.0
MIN_REPORT_GAP_S = 0.5
RETRY_S = 1.0
SICK_RUN_S = 0.5
MAX_COUNT = 50
MAX_RETURNS = 100
MAX_LISTED = 500
OFF_MACHINE = ("pulling", "ended")


@dataclass
class Breed:
    """A machine type."""

    name: str = "g8"
    cores: float = 16.0
    gpus: float = 2.0
    ram_gb: float = 128.0
    boot_s: float = 1.0
    marshes: tuple[str, ...] = ("a",)

    def row(self) -> dict[str, Any]:
        """Return the type as the cloud lists it."""
        return {
            "name": self.name,
            "cores": self.cores,
            "gpus": self.gpus,
            "ramGb": self.ram_gb,
            "localGb": 100.0,
            "pullGbPerS": 10.0,
            "price": 4.0,
            "lowPrice": 1.5,
            "startupS": self.boot_s,
            "marshes": list(self.marshes),
        }


@dataclass
class Task:
    """One attempt of a task on a machine."""

    chick: str
    hatch: int
    stance: str = "pulling"
    cause: str = ""
    ready_at: float = 0.0
    until: float = 0.0
    fails: bool = False  # it was started on a sick machine

    def row(self) -> dict[str, Any]:
        """Return the task as it is reported."""
        row = {"chick": self.chick, "hatch": self.hatch, "stance": self.stance}
        return {**row, "cause": self.cause} if self.stance == "ended" else row

    def end(self, cause: str) -> None:
        """End the task."""
        self.stance, self.cause = "ended", cause


@dataclass
class Timing:
    """The times of the workers, as in `deployment.workers` of the settings."""

    report_s: float = 1.0
    lease_s: float = 10.0


class Worker:
    """The worker of one machine, which follows "Workers -> controller nodes"."""

    def __init__(self, fleet: Fleet, name: str, marsh: str, driftwood: bool, port: int) -> None:
        self.fleet = fleet
        self.name = name
        self.marsh = marsh
        self.driftwood = driftwood
        self.port = port
        self.tide, self.peep, self.crest = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.lease_from = time.monotonic()
        self.node = fleet.rng.choice(list(fleet.nodes))
        self.changed = False
        self.crest_told_at = float("-inf")
        self.sent_at = 0.0
        self.images: set[str] = set()
        self.dead = False
        self.server = HttpServer(port, self.commands)
        self.clients = {node: Client(port) for node, port in fleet.nodes.items()}

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.peep += 1
        return {
            "perch": self.name,
            "endpoint": f"{LOOPBACK}:{self.port}",
            "breed": self.fleet.breed.name,
            "marsh": self.marsh,
            "driftwood": self.driftwood,
            "tide": self.tide,
            "peep": self.peep,
            "crest": self.crest,
            "warningS": None,
            "chicks": [task.row() for task in self.tasks.values()],
        }

    # -- the worker's own work ---------------------------------------------------------------

    def tick(self) -> None:
        """Advance the tasks; without a lease, kill and forget them."""
        now = time.monotonic()
        if now - self.lease_from > self.fleet.timing.lease_s:
            self.fleet.record(
                f"lease of {self.name} ran out: {len(self.tasks)} tasks killed, session {self.tide}"
            )
            running = [task for task in self.tasks.values() if task.stance == "running"]
            self.fleet.lost_tasks += len(running)
            self.fleet.lost_replicas += sum(
                self.fleet.jobs[task.chick.rpartition("/")[0]]["gait"] == "daemon"
                for task in running
            )
            self.fleet.leases_lost += 1
            self.tasks.clear()
            self.tide += 1
            self.lease_from = now
            self.changed = True
        for task in self.tasks.values():
            if task.stance == "pulling" and now >= task.ready_at:
                task.stance = "running"
                self.changed = True
                self.fleet.on_start(self, task)
                if self.name in self.fleet.sick:
                    task.until, task.fails = now + SICK_RUN_S, True
            elif task.stance == "running" and task.fails and now >= task.until:
                task.end("error")
                self.changed = True
                self.fleet.record(f"{task.chick} fails on {self.name}")
            elif task.stance == "running" and now >= task.until:
                task.end("done")
                self.changed = True
                self.fleet.results.add(task.chick)

    def used(self) -> tuple[float, float, float]:
        """Return what the tasks that have not ended use."""
        jobs = [
            self.fleet.jobs[task.chick.rpartition("/")[0]]
            for task in self.tasks.values()
            if task.stance != "ended"
        ]
        return (
            sum(job["cores"] for job in jobs),
            sum(job["gpus"] for job in jobs),
            sum(job["ramGb"] for job in jobs),
        )

    def execute(self, calls: list[dict[str, Any]]) -> None:
        """Execute commands in order."""
        for call in calls:
            key = (call["chick"], call["hatch"])
            known = self.tasks.get(key)
            if call["call"] == "run" and known is None:
                self.run(Task(*key))
            elif call["call"] == "kill" and known is not None and known.stance != "ended":
                known.end("halted")
                self.changed = True
            elif call["call"] == "reap" and known is not None and known.stance == "ended":
                del self.tasks[key]
                self.changed = True

    def run(self, task: Task) -> None:
        """Begin an attempt, or refuse it."""
        job = self.fleet.jobs.get(task.chick.rpartition("/")[0])
        others = [other for other in self.tasks.values() if other.chick == task.chick]
        if job is None:
            task.end("unknown")
        elif any(other.stance != "ended" for other in others):
            task.end("in_use")
        elif not self._fits(job):
            task.end("no_room")
        else:
            fetch_s = 0.05 if job["plumage"] in self.images else 0.3
            self.images.add(job["plumage"])
            task.ready_at = time.monotonic() + fetch_s
            task.until = task.ready_at + self.fleet.run_s(job)
            if task.chick in self.fleet.results:
                task.until = task.ready_at
        self.tasks[task.chick, task.hatch] = task
        self.changed = True

    def _fits(self, job: dict[str, Any]) -> bool:
        breed = self.fleet.breed
        needed = (job["cores"], job["gpus"], job["ramGb"])
        total = (breed.cores, breed.gpus, breed.ram_gb)
        used = self.used()
        return all(u + n <= t + 1e-6 for u, n, t in zip(used, needed, total, strict=True))

    # -- talking to the controllers ----------------------------------------------------------

    async def commands(self, request: Request) -> Answer:
        """Answer POST /do and GET /show."""
        if self.dead:
            return Answer(0)
        if request.path == "/show":
            return Answer(200, self.report())
        body = request.body
        if "crest" not in body or "tide" not in body:
            return Answer(400, {"error": "crest or tide missing"})
        self.tick()
        if body["crest"] < self.crest or body["tide"] != self.tide:
            return Answer(409, self.report())
        self._raise_crest(body["crest"])
        self.execute(body["calls"])
        return Answer(200, self.report())

    def _raise_crest(self, crest: int) -> None:
        """Take a token; a higher one is a change, at most once in half of a lease."""
        now = time.monotonic()
        if crest > self.crest and now - self.crest_told_at > self.fleet.timing.lease_s / 2:
            self.crest_told_at = now
            self.changed = True
        self.crest = max(self.crest, crest)

    async def report_loop(self) -> None:
        """Report until the machine is gone."""
        interval_s = self.fleet.timing.report_s
        while not self.dead:
            self.tick()
            self.changed = False
            self.sent_at = sent_at = time.monotonic()
            tide = self.tide
            answer = await self._send(self.report())
            self.tick()
            if self.dead:
                return
            if answer.status == 200 and answer.body.get("crest", -1) >= self.crest:
                if tide == self.tide and time.monotonic() - sent_at <= ANSWER_TIMEOUT_S:
                    self.lease_from = sent_at
                    self._raise_crest(answer.body["crest"])
                    self.execute(answer.body["calls"])
            elif answer.status != 200:
                await self._next_node(answer)
                continue
            wait_s = interval_s * self.fleet.rng.uniform(0.75, 1.25)
            while not self.dead and time.monotonic() < sent_at + wait_s:
                if self.changed and time.monotonic() > sent_at + MIN_REPORT_GAP_S:
                    break
                await asyncio.sleep(TICK_S)

    async def _send(self, report: dict[str, Any]) -> Answer:
        """Send one report; a message beyond the limits of the pages counts as no answer."""
        size = len(json.dumps(report, separators=(",", ":")))
        self.fleet.largest_report = max(self.fleet.largest_report, size)
        answer = await self.clients[self.node].call("POST", "/v1/report", report, ANSWER_TIMEOUT_S)
        self.fleet.largest_answer = max(self.fleet.largest_answer, answer.size)
        self.fleet.report_statuses[answer.status] = (
            self.fleet.report_statuses.get(answer.status, 0) + 1
        )
        if answer.size > MAX_LINE:
            self.fleet.record(
                f"{self.node} answered {self.name} with a line of {answer.size} bytes"
            )
            self.fleet.long_lines += 1
        return answer

    async def _next_node(self, answer: Answer) -> None:
        names = list(self.fleet.nodes)
        homing = answer.body.get("homing") if answer.status == 421 and answer.body else None
        if homing in names and homing != self.node:
            self.clients[self.node].close()
            self.node = homing
            await asyncio.sleep(self.fleet.rng.uniform(0.0, 0.5))
            return
        await asyncio.sleep(RETRY_S)
        self.node = names[(names.index(self.node) + 1) % len(names)]

    async def tick_loop(self) -> None:
        """Advance the tasks until the machine is gone."""
        while not self.dead:
            self.tick()
            await asyncio.sleep(TICK_S)


@dataclass
class Machine:
    """A machine in the cloud's records."""

    name: str
    marsh: str
    driftwood: bool
    port: int
    rented_at: float
    stance: str = "booting"
    worker: Worker | None = None


@dataclass
class Fleet:
    """The cloud with its machines; `jobs` holds what the users have submitted, by id."""

    nodes: dict[str, int]
    breed: Breed
    timing: Timing
    ports: PortSource
    record: Callable[[str], None]
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    list_lag_s: float = 3.0
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)
    results: set[str] = field(default_factory=set)
    machines: dict[str, Machine] = field(default_factory=dict)
    pleas: dict[str, list[str]] = field(default_factory=dict)
    capacity: int = 20
    sick: set[str] = field(default_factory=set)  # machines that fail every task that they start
    history: list[tuple[float, list[dict[str, Any]]]] = field(default_factory=list)
    loops: set[asyncio.Task[None]] = field(default_factory=set)
    starts: dict[str, list[tuple[float, str, int]]] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    leases_lost: int = 0
    lost_tasks: int = 0  # running tasks that were killed because a lease ran out
    lost_replicas: int = 0  # those of them that were replicas of services
    largest_report: int = 0
    largest_answer: int = 0
    long_lines: int = 0
    report_statuses: dict[int, int] = field(default_factory=dict)

    def run_s(self, job: dict[str, Any]) -> float:
        """Return how long a task of a job runs."""
        if job["gait"] == "daemon":
            return 1e9
        return float(job["flightS"])

    # -- rules -------------------------------------------------------------------------------

    def on_start(self, worker: Worker, task: Task) -> None:
        """Record that a task starts on a machine, and check that it may."""
        now = time.monotonic()
        self.starts.setdefault(task.chick, []).append((now, worker.name, task.hatch))
        for other in self.workers():
            # A machine that hangs beyond its lease kills its tasks before it goes on
            if other is not worker and now - other.lease_from <= self.timing.lease_s + 0.2:
                for known in other.tasks.values():
                    if known.chick == task.chick and known.stance not in OFF_MACHINE:
                        self.broken.append(
                            f"ran_twice: {task.chick} starts on {worker.name} "
                            f"while it is on {other.name}"
                        )
        job = self.jobs[task.chick.rpartition("/")[0]]
        wrong_zone = job.get("marsh") not in (None, worker.marsh)
        if wrong_zone or (worker.driftwood and not job["driftwood"]):
            self.broken.append(f"wrong_place: {task.chick} starts on {worker.name}")

    def workers(self) -> list[Worker]:
        """Return the workers of all machines that are up."""
        return [m.worker for m in self.machines.values() if m.worker is not None]

    def running(self, job_id: str) -> int:
        """Return how many tasks of a job run."""
        return sum(
            task.stance == "running" and task.chick.rpartition("/")[0] == job_id
            for worker in self.workers()
            for task in worker.tasks.values()
        )

    # -- the cloud's interface ---------------------------------------------------------------

    def handler(self, name: str) -> Any:
        """Return the handler of the requests of controller `name`."""

        async def handle(request: Request) -> Answer:
            await asyncio.sleep(0.05)
            if request.path == "/flavors":
                return Answer(200, {"breeds": [self.breed.row()]})
            if request.path == "/hosts" and request.method == "GET":
                return self._listed(request)
            if request.path == "/hosts":
                return await self._rent(name, request.body)
            return await self._return(name, request.body["perches"])

        return handle

    def _snapshot(self) -> list[dict[str, Any]]:
        now = time.monotonic()
        return [
            {
                "id": m.name,
                "endpoint": f"{LOOPBACK}:{m.port}",
                "breed": self.breed.name,
                "marsh": m.marsh,
                "driftwood": m.driftwood,
                "stance": m.stance,
                "heldS": round(now - m.rented_at, 3),
            }
            for m in sorted(self.machines.values(), key=lambda m: m.name)
        ]

    async def keep_history(self) -> None:
        """Keep what the lagging list shows."""
        while True:
            self.history.append((time.monotonic(), self._snapshot()))
            del self.history[:-400]
            await asyncio.sleep(0.1)

    def _listed(self, request: Request) -> Answer:
        as_of = time.monotonic() - self.list_lag_s
        rows = next((rows for at, rows in reversed(self.history) if at <= as_of), [])
        after, limit = request.query.get("from", ""), int(request.query.get("limit", MAX_LISTED))
        rows = [row for row in rows if row["id"] > after]
        return Answer(200, {"perches": rows[:limit], "hasNext": len(rows) > limit})

    async def _rent(self, name: str, body: dict[str, Any]) -> Answer:
        if body["plea"] not in self.pleas:
            free = self.capacity - len(self.machines)
            if free <= 0:
                return Answer(503, {"error": "no capacity"})
            count = min(body["count"], MAX_COUNT, free)
            names = [await self.boot(body["marsh"], body["driftwood"]) for _ in range(count)]
            self.pleas[body["plea"]] = names
            self.record(f"{name} rented {names} by {body['plea']}")
        return Answer(200, {"perches": self.pleas[body["plea"]]})

    async def _return(self, node: str, names: list[str]) -> Answer:
        for name in names[:MAX_RETURNS]:
            machine = self.machines.pop(name, None)
            if machine is None:
                continue
            busy = []
            if machine.worker is not None:
                busy = [t.chick for t in machine.worker.tasks.values() if t.stance != "ended"]
                machine.worker.dead = True
                await machine.worker.server.stop()
            self.record(f"{node} returned {name}, on it: {busy or 'nothing'}")
        return Answer(200, {})

    async def boot(self, marsh: str, driftwood: bool, boot_s: float | None = None) -> str:
        """Rent one machine; return its name."""
        name = f"n-{len(self.pleas) + len(self.machines) + 1:06d}{self.rng.randrange(1000):03d}"
        machine = Machine(name, marsh, driftwood, self.ports.take(), time.monotonic())
        self.machines[name] = machine
        if boot_s is None:
            boot_s = self.breed.boot_s
        self.start_loop(self._come_up(machine, boot_s))
        return name

    async def _come_up(self, machine: Machine, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        if machine.name not in self.machines:
            return
        machine.stance = "running"
        worker = Worker(self, machine.name, machine.marsh, machine.driftwood, machine.port)
        machine.worker = worker
        await worker.server.start()
        self.start_loop(worker.report_loop())
        self.start_loop(worker.tick_loop())

    def start_loop(self, coroutine: Any) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.create_task(coroutine)
        self.loops.add(task)
        task.add_done_callback(self.loops.discard)
