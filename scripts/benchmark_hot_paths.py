"""Processor time of a heartbeat, a permit and a user's question, at several sizes of fleet.

    python -m scripts.benchmark_hot_paths --base REVISION [--sizes 500,5000]

Each figure is processor time in microseconds, the least of several rounds. With `--base` an
earlier revision is taken out of git and measured in turn with this tree, each by its own copy of
this script (`scripts/cost.py` in revisions that have no `scripts/benchmark_hot_paths.py`) and in
processes of its own; what the revision needs must be installed. Parts:

- request: an agent's POST and its answer through the HTTP server, over loopback, 200 connections
  in turn
- report: a heartbeat that says nothing new: the checks, the owner's work, the encoded answer; no
  HTTP
- permit: a task from waiting to its exit, source and owner together, no I/O; the fleet is two
  thirds full of work that a part of the waiting tasks may preempt
- crowd: the same on a full fleet, behind jobs that wait and find no room
- poll, resubmission: a user asks for a job that waits, or submits it again, over loopback, with
  so many ended jobs known: a whole controller, its reads of the key-value store included, less
  what it does when nobody asks. Store, cloud and user are stand-ins in a process of their own
"""

from __future__ import annotations

import argparse
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from importlib.util import find_spec
from pathlib import Path
from random import Random
from typing import Any

import anyio
import anyio.to_thread
import orjson

from ploverhall import settings
from ploverhall.controller.controller import Controller
from ploverhall.errors import UnreachableError
from ploverhall.protocol import agents
from ploverhall.protocol.agents import AttemptId
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job
from ploverhall.runtime import Runtime
from ploverhall.scheduling.machines import Permit
from ploverhall.scheduling.permitting import JobSource
from ploverhall.scheduling.shard_owner import TOKEN_BITS, ShardOwner
from ploverhall.settings import Team
from ploverhall.storage.schema import JOB_PREFIX, end_record
from ploverhall.transport.http_client import Client
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply, Server

ROOT = Path(__file__).resolve().parent.parent
MODULE = "scripts.benchmark_hot_paths"
MODULE_BEFORE_RENAME = "scripts.cost"
ROUNDS = 3
EPOCH = 3
REQUESTS = 4000
CONNECTIONS = 200


def request_cost(_: int) -> float:
    """One POST and its answer, microseconds of the server's processor time."""
    body = json.dumps(body_of("n-1", 1, 1, 4)).encode()
    data = (
        b"POST /v1/report HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n"
        b"content-length: %d\r\n\r\n" % len(body) + body
    )
    out = 0.0
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        port = s.getsockname()[1]

    async def handler(request: Request) -> Reply:
        return Reply(200, {"crest": 41, "calls": []})

    async def play() -> None:
        nonlocal out
        async with anyio.create_task_group() as tg:
            tg.start_soon(Server(handler, cap=1000).run, "127.0.0.1", port)
            await anyio.sleep(0.2)
            begun = time.process_time()
            if (pid := os.fork()) == 0:
                ends = [socket.create_connection(("127.0.0.1", port)) for _ in range(CONNECTIONS)]
                for i in range(REQUESTS):
                    ends[i % CONNECTIONS].sendall(data)
                    ends[i % CONNECTIONS].recv(65536)
                os._exit(0)
            while os.waitpid(pid, os.WNOHANG) == (0, 0):
                await anyio.sleep(0.02)
            out = (time.process_time() - begun) / REQUESTS * 1e6
            tg.cancel_scope.cancel()

    anyio.run(play, backend_options={"use_uvloop": find_spec("uvloop") is not None})
    return out


def body_of(machine: str, seq: int, token: int, tasks: int, base: int = 0) -> dict[str, Any]:
    """A report as a worker writes it."""
    return {
        "perch": machine,
        "endpoint": "10.1.0.1:9000",
        "breed": "t",
        "marsh": "a",
        "driftwood": False,
        "tide": 1,
        "peep": seq,
        "crest": token,
        "warningS": None,
        "chicks": [
            {"chick": f"j-{base + i:06d}/{i}", "hatch": 1, "stance": "running"}
            for i in range(tasks)
        ],
    }


def an_owner(size: int) -> ShardOwner:
    """An owner with that many idle machines which have reported to it."""
    owner = ShardOwner(0, EPOCH, 1, 10.0, 1.0, 5.0, 5, Random(1), 0.0)
    owner.machine_types = {
        "t": MachineType("t", 16.0, 4.0, 128.0, 60.0, 1.0, 10.0, 3.0, 20.0, ("a",))
    }
    for i in range(size):
        first = body_of(f"n-{i}", 1, EPOCH << TOKEN_BITS, 0)
        owner.on_heartbeat(agents.heartbeat_from_json(first), 0.0)
    owner.place_candidates(0.0)
    return owner


def report_cost(size: int) -> float:
    """One heartbeat that says nothing new."""
    owner = an_owner(size)
    for i, machine in enumerate(owner.machines.values()):
        for task in range(4):
            attempt_id = AttemptId(f"j-{i * 4 + task:06d}", task, 1)
            permit = Permit(
                attempt_id,
                0,
                machine.name,
                EPOCH,
                1,
                (4.0, 1.0, 8.0),
                "i",
                1.0,
                run_token=machine.token,
                run_incarnation=1,
            )
            owner.permits[attempt_id] = machine.permits[attempt_id] = permit
            owner.permit_table.permits_by_job.setdefault(attempt_id.job_id, {})[attempt_id] = permit
    asked, token = min(size, 1000), EPOCH << TOKEN_BITS
    spent = 0.0
    for sequence in range(2, 7):
        bodies = [
            json.dumps(body_of(f"n-{i}", sequence, token, 4, i * 4)).encode() for i in range(asked)
        ]
        begun = time.process_time()
        for body in bodies:
            reported = owner.on_heartbeat(agents.decode_heartbeat(body), float(sequence))
            assert reported is not None
            commands = owner.commands_for(reported, float(sequence))
            orjson.dumps(agents.heartbeat_answer(reported.token, commands))
        if sequence > 2:  # the first one brings the tasks
            spent += time.process_time() - begun
        owner.place_candidates(float(sequence))
    return spent / 4 / asked * 1e6


class SimulatedFleet:
    """One source, one owner, and agents that do at once what they are told; no I/O."""

    def __init__(self, size: int) -> None:
        self.now = 0.0
        self.spent_s = 0.0  # processor time of the source and the owner
        self.permit_count = 0
        self.job_count = 0
        self.owner = an_owner(size)
        teams = [Team(f"t{i}", 0.0, 0.0, float(size), 4.0 * size) for i in range(8)]
        self.source = JobSource(0, EPOCH, teams, ("a",), 4096, 48)
        # Machine -> attempt -> state, exit reason, when it ends
        self.tasks: dict[str, dict[AttemptId, list[Any]]] = {
            name: {} for name in self.owner.machines
        }
        self.sequence = dict.fromkeys(self.owner.machines, 1)
        self.duration_s: dict[str, float] = {}

    def submit(self, kind: str, priority: int, count: int, gpus: float, duration_s: float) -> None:
        """Submit a job."""
        self.job_count += 1
        job_id = f"j-{self.job_count:06d}"
        job = Job(
            job_id,
            kind,
            f"t{self.job_count % 8}",
            kind,
            priority,
            count,
            4.0 * gpus,
            gpus,
            8.0 * gpus,
            f"i{self.job_count % 5}",
            4.0,
            None,
            None,
            False,
            False,
            False,
            9.0,
            0.0,
            0.0,
            None,
            self.now,
        )
        self.duration_s[job_id] = duration_s
        self.source.on_job(job, job_id, self.job_count, self.now)

    def heartbeat(self, name: str) -> agents.Heartbeat:
        """What a machine's agent lists now."""
        self.sequence[name] += 1
        token = self.owner.machines[name].token
        listed = [
            {"chick": f"{job}/{task}", "hatch": attempt, "stance": state[0], "cause": state[1]}
            for (job, task, attempt), state in self.tasks[name].items()
        ]
        return agents.heartbeat_from_json(
            {**body_of(name, self.sequence[name], token, 0), "chicks": listed}
        )

    def execute(self, name: str, commands: list[Any]) -> None:
        """Do what an agent is told."""
        here = self.tasks[name]
        for command in commands:
            attempt_id = AttemptId(*agents.split_task(command["chick"]), command["hatch"])
            if command["call"] == "run":
                ends_at = self.now + self.duration_s[attempt_id.job_id]
                here.setdefault(attempt_id, ["running", "", ends_at])
            elif command["call"] == "reap":
                here.pop(attempt_id, None)
            elif attempt_id in here:
                here[attempt_id][:2] = ["ended", "halted"]

    def step(self) -> None:
        """A tenth of a second: tasks end, heartbeats come, source and owner decide three times."""
        self.now += 0.1
        for machine in self.owner.machines.values():
            machine.last_heartbeat_at = self.now
        for name, here in self.tasks.items():
            ended = [task for task in here.values() if task[0] == "running" and task[2] <= self.now]
            for task in ended:
                task[:2] = ["ended", "done"]
            if ended or any(task[0] == "ended" for task in here.values()):
                heartbeat = self.heartbeat(name)
                begun = time.process_time()
                self.owner.on_heartbeat(heartbeat, self.now)
                commands = self.owner.commands_for(self.owner.machines[name], self.now)
                self.spent_s += time.process_time() - begun
                self.execute(name, commands)
        for _ in range(3):
            self._decide()

    def _decide(self) -> None:
        begun = time.process_time()
        self.source.decide(self.now)
        while (write := self.source.next_write()) is not None:
            self.permit_count += len(write.added)
            self.source.on_committed(write, 1000 + int(self.now * 10), self.now)
        updates = self.source.take_owner_updates(1, self.now)
        self.owner.on_source_update(
            0, False, {key: value for (_, key), value in updates.items()}, self.now
        )
        self.owner.advance_time(self.now)
        self.owner.place_candidates(self.now)
        sent = self.owner.direct_commands(self.now)
        self.spent_s += time.process_time() - begun
        for machine, body in sent:
            self.execute(machine.name, body["calls"])
            heartbeat = self.heartbeat(machine.name)
            begun = time.process_time()
            self.owner.on_direct_answer(machine, heartbeat, self.now)
            self.spent_s += time.process_time() - begun
        begun = time.process_time()
        news = self.owner.take_source_updates()
        self.source.on_owner_update(
            0, EPOCH, False, {key: value for (_, key), value in news.items()}, self.now
        )
        self.spent_s += time.process_time() - begun


def permit_cost(size: int) -> float:
    """One permit of 120 a second, from the decision to the exit, on a fleet two thirds full."""
    fleet = SimulatedFleet(size)
    for _ in range(size // 25):
        fleet.submit("array", 3, 66, 1.0, 1e6)
    for _ in range(40):
        fleet.step()
    assert sum(map(len, fleet.tasks.values())) > size * 2.5, "the fleet is filled first"
    fleet.spent_s = 0.0
    fleet.permit_count = 0
    for i in range(60):
        fleet.submit("array", 2, 12, 1.0, 2.0)
        if i % 10 == 0:
            fleet.submit("array", 1, 2, 4.0, 3.0)  # whole machines, mostly by preemption
        fleet.step()
    return fleet.spent_s / fleet.permit_count * 1e6


def crowd_cost(size: int) -> float:
    """The same on a full fleet, while ten jobs wait that nothing could make room for."""
    fleet = SimulatedFleet(size)
    for _ in range(size // 25):
        fleet.submit("array", 0, 100, 1.0, 1e6)  # nobody may preempt it
    for _ in range(40):
        fleet.step()
    for i in range(10):
        fleet.submit("gang" if i % 2 else "array", 1, 4, 4.0, 9.0)
    fleet.spent_s = 0.0
    fleet.permit_count = 0
    names = list(fleet.tasks)
    for i in range(60):
        fleet.submit("array", 2, 6, 1.0, 2.0)
        for k in range(6):
            here = fleet.tasks[names[(i * 6 + k) % len(names)]]
            for task in list(here.values())[:1]:
                task[2] = min(task[2], fleet.now)
        fleet.step()
    return fleet.spent_s / max(1, fleet.permit_count) * 1e6


# Questions of a round; a read of the state service is shared by those that wait for it
ASKED = 6000
AT_ONCE = 40


def users_cost(size: int, verb: str) -> float:
    """One question of a user's and its answer, microseconds of the controller's processor time."""
    with socket.socket() as a, socket.socket() as b, socket.socket() as c, socket.socket() as d:
        held = (a, b, c, d)
        for s in held:
            s.bind(("127.0.0.1", 0))
        ports = [s.getsockname()[1] for s in held]
    node = Controller(
        settings.parse(
            {
                "host_name": "c0",
                "site": "a",
                "bind": f"127.0.0.1:{ports[0]}",
                "peer_listen": f"127.0.0.1:{ports[1]}",
                "siblings": [],
                "external": {"state": f"127.0.0.1:{ports[2]}", "cloud": f"127.0.0.1:{ports[3]}"},
                "deployment": {
                    "zones": ["a"],
                    "teams": [{"name": "t", "cpus": 0, "cpus_max": 0, "gpus": 8, "gpus_max": 8}],
                    "workers": {
                        "report_s": 2.0,
                        "lease_s": 13.0,
                        "gang_wait_s": 30.0,
                        "gang_peer_s": 4.0,
                        "cancel_s": 38.0,
                    },
                    "state": {"rps": 1e6, "write_rps": 1e6, "value_kb": 16.0, "txn_ops": 48},
                    "cloud": {"rps": 10.0, "list_lag_s": 3.0},
                    "limits": {"core_share": 1.0, "mem_mb": 400.0, "max_sockets": 500},
                },
            }
        ),
        Runtime(),
    )
    out = 0.0

    async def play(others: subprocess.Popen[bytes]) -> None:
        nonlocal out
        assert others.stdout is not None
        marks = []
        async with anyio.create_task_group() as tg:
            tg.start_soon(node.run)
            for _ in range(3):  # the stand-ins say when a stretch begins and ends: idle, asked
                line = await anyio.to_thread.run_sync(others.stdout.readline)
                assert line, "the stand-ins have ended"
                marks.append((time.process_time(), time.monotonic()))
            tg.cancel_scope.cancel()
        (cpu0, at0), (cpu1, at1), (cpu2, at2) = marks
        out = (cpu2 - cpu1 - (cpu1 - cpu0) / (at1 - at0) * (at2 - at1)) / ASKED * 1e6

    args = [sys.executable, "-m", MODULE, "--beside", verb, str(size), *map(str, ports)]
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    with subprocess.Popen(args, cwd=ROOT, env=env, stdout=subprocess.PIPE) as others:
        try:
            anyio.run(play, others, backend_options={"use_uvloop": True})
        finally:
            others.kill()
    return out


def beside(verb: str, size: int, ports: list[int]) -> None:
    """Store, cloud and one user, for `users_cost`; prints a line where a stretch begins or ends."""
    from tests.simulation.fakes import FakeAgents, FakeStoreAndCloud

    state = FakeStoreAndCloud()
    state.store.kv = {
        f"{JOB_PREFIX}j-{i:06d}": (end_record("withdrawn", 0), 1) for i in range(1, size + 1)
    }

    async def handle(q: Request) -> Reply:
        if q.path != "/kv":
            return await state.handle(q)
        found = [
            (k, v)
            for k, v in state.store.read(q.query["starts"]).items()
            if k > q.query.get("from", "")
        ]
        # As large pages as the service gives
        items = [{"path": k, "v": v, "feather": n} for k, (v, n) in found[:1000]]
        return Reply(200, {"items": items, "hasNext": len(found) > 1000, "moult": state.store.rev})

    spec = {
        "id": "j-999999",
        "flock": "f",
        "keeper": "t",
        "gait": "array",
        "rank": "normal",
        "chicks": 4,
        "cores": 1.0,
        "gpus": 1.0,
        "ramGb": 1.0,
        "plumage": "i",
        "pullGb": 0.1,
        "breeds": None,
        "marsh": None,
        "together": False,
        "scatter": False,
        "driftwood": False,
        "flightS": 9.0,
        "nestS": 0.0,
        "tuckS": 0.0,
        "duskS": None,
    }

    async def play() -> None:
        async with anyio.create_task_group() as tg:
            fleet = FakeAgents({}, 0)
            fleet.tasks = tg
            fleet.most = 0
            tg.start_soon(Server(handle, 100).run, "127.0.0.1", ports[2])
            tg.start_soon(Server(fleet.handle, 100).run, "127.0.0.1", ports[3])
            user = Client("127.0.0.1", ports[0], AT_ONCE)

            async def asked(method: str, path: str, body: Any) -> int:
                try:
                    return (await user.call(method, path, body, 5.0))[0]
                except UnreachableError:
                    return 0

            with anyio.fail_after(60.0):
                while await asked("POST", "/api/jobs", spec) not in (200, 201):
                    await anyio.sleep(0.2)
            await anyio.sleep(1.0)
            print("idle", flush=True)
            await anyio.sleep(2.0)
            print("asked", flush=True)

            again: list[int] = []

            async def questions() -> None:
                for _ in range(ASKED // AT_ONCE):
                    status = await (
                        asked("GET", "/api/jobs/j-999999", None)
                        if verb == "poll"
                        else asked("POST", "/api/jobs", spec)
                    )
                    if status != 200:
                        # On a busy machine a read may take longer than a question waits for it
                        again.append(status)
                        await anyio.sleep(0.1)

            async with anyio.create_task_group() as users:
                for _ in range(AT_ONCE):
                    users.start_soon(questions)
            assert len(again) < ASKED / 100, again[:3]
            print("over", flush=True)
            await anyio.sleep_forever()

    anyio.run(play)


def poll_cost(size: int) -> float:
    """A user asks for a job that waits."""
    return users_cost(size, "poll")


def resubmission_cost(size: int) -> float:
    """A user submits a job again that waits."""
    return users_cost(size, "resubmission")


PARTS: dict[str, Callable[[int], float]] = {
    "request": request_cost,
    "report": report_cost,
    "permit": permit_cost,
    "crowd": crowd_cost,
    "poll": poll_cost,
    "resubmission": resubmission_cost,
}


def module_of(tree: Path) -> str:
    """The name of this script in a tree, which may be older than its name."""
    path = tree / f"{MODULE.replace('.', '/')}.py"
    return MODULE if path.exists() else MODULE_BEFORE_RENAME


def extract(revision: str, folder: str) -> Path:
    """Take an earlier tree out of git: the package, its scripts, and the tests' stand-ins."""
    command = ["git", "archive", revision, "ploverhall", "scripts", "tests"]
    data = subprocess.run(command, cwd=ROOT, check=True, capture_output=True).stdout
    subprocess.run(["tar", "x", "-C", folder], input=data, check=True)
    return Path(folder)


def measure(tree: Path, part: str, size: int) -> float:
    """One figure of one tree, by its own copy of this script in a process of its own."""
    args = [sys.executable, "-m", module_of(tree), "--child", part, str(size)]
    env = {**os.environ, "PYTHONPATH": str(tree)}
    result = subprocess.run(args, env=env, cwd=tree, capture_output=True, text=True, check=False)
    if result.returncode:
        raise SystemExit(result.stderr)
    return float(result.stdout)


def print_table(trees: dict[str, Path], parts: list[str], sizes: list[int]) -> None:
    """Measure the trees in turn, a row for each part and size."""
    columns = "".join(f"{name:>14}" for name in trees)
    print(f"{'part':<13}{'size':>9}  {columns}   us of processor time, least of {ROUNDS}")
    for part in parts:
        for size in [0] if part == "request" else sizes:
            figures: dict[str, list[float]] = {name: [] for name in trees}
            for _ in range(ROUNDS):
                for name, tree in trees.items():
                    figures[name].append(measure(tree, part, size))
            cells = "".join(f"{min(rounds):>14.1f}" for rounds in figures.values())
            print(f"{part:<13}{size or '-':>9}  {cells}", flush=True)


def main() -> int:
    """Measure and print a table; as a child, measure one part."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--base", help="an earlier revision, measured beside this tree")
    parser.add_argument("--sizes", default="500,5000")
    parser.add_argument("--part", choices=PARTS, action="append")
    parser.add_argument("--child", nargs=2, metavar=("PART", "SIZE"), help=argparse.SUPPRESS)
    parser.add_argument("--beside", nargs="+", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.beside:
        beside(args.beside[0], int(args.beside[1]), [int(port) for port in args.beside[2:]])
        return 0
    if args.child:
        print(PARTS[args.child[0]](int(args.child[1])))
        return 0
    with tempfile.TemporaryDirectory() as folder:
        trees = {"this": ROOT}
        if args.base:
            trees = {args.base[:12]: extract(args.base, folder), "this": ROOT}
        sizes = [int(size) for size in args.sizes.split(",")]
        print_table(trees, args.part or list(PARTS), sizes)
    return 0


if __name__ == "__main__":
    sys.exit(main())
