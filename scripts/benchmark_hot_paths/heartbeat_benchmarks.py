"""Measure the processor time of a heartbeat, in the HTTP server and in the shard's owner."""

from __future__ import annotations

import json
import os
import socket
import time
from importlib.util import find_spec

import anyio
import orjson

from ploverhall.protocol import agents
from ploverhall.protocol.agents import AttemptId
from ploverhall.scheduling.machines import Permit
from ploverhall.scheduling.shard_owner import TOKEN_BITS, ShardOwner
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply, Server
from scripts.benchmark_hot_paths.messages import EPOCH, heartbeat_body, owner_with_idle_machines

REQUESTS = 4000
CONNECTIONS = 200
TASKS_A_MACHINE = 4
HEARTBEATS_A_ROUND = 1000
MEASURED_ROUNDS = 4
LARGEST_ANSWER = 65536


def request_cost(_: int) -> float:
    """Return the server's processor time for one POST and its answer, in microseconds."""
    body = json.dumps(heartbeat_body("n-1", 1, 1, TASKS_A_MACHINE)).encode()
    data = (
        b"POST /v1/report HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n"
        b"content-length: %d\r\n\r\n" % len(body) + body
    )
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port: int = listener.getsockname()[1]
    options = {"use_uvloop": find_spec("uvloop") is not None}
    spent_s = anyio.run(_serve_requests, port, data, backend_options=options)
    return spent_s / REQUESTS * 1e6


async def _serve_requests(port: int, data: bytes) -> float:
    """Answer all requests of another process.

    Returns:
        The processor time of the server in seconds.
    """

    async def handler(request: Request) -> Reply:
        return Reply(200, {"crest": 41, "calls": []})

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(Server(handler, max_connections=1000).run, "127.0.0.1", port)
        await anyio.sleep(0.2)
        begun = time.process_time()
        if (pid := os.fork()) == 0:
            _send_requests(port, data)
            os._exit(0)
        while os.waitpid(pid, os.WNOHANG) == (0, 0):
            await anyio.sleep(0.02)
        spent_s = time.process_time() - begun
        tasks.cancel_scope.cancel()
    return spent_s


def _send_requests(port: int, data: bytes) -> None:
    """Send the requests one after the other, using all connections in turn."""
    connections = [socket.create_connection(("127.0.0.1", port)) for _ in range(CONNECTIONS)]
    for index in range(REQUESTS):
        connection = connections[index % CONNECTIONS]
        connection.sendall(data)
        connection.recv(LARGEST_ANSWER)


def report_cost(size: int) -> float:
    """Return the processor time of one heartbeat without changes, in microseconds."""
    owner = owner_with_idle_machines(size)
    _permit_tasks(owner)
    senders = min(size, HEARTBEATS_A_ROUND)
    _heartbeat_round(owner, senders, 2)  # the first heartbeat reports the tasks as new
    rounds = range(3, 3 + MEASURED_ROUNDS)
    spent_s = sum(_heartbeat_round(owner, senders, sequence) for sequence in rounds)
    return spent_s / MEASURED_ROUNDS / senders * 1e6


def _permit_tasks(owner: ShardOwner) -> None:
    """Permit tasks on each machine, each task of a separate job."""
    for index, machine in enumerate(owner.machines.values()):
        for task in range(TASKS_A_MACHINE):
            attempt_id = AttemptId(f"j-{index * TASKS_A_MACHINE + task:06d}", task, 1)
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


def _heartbeat_round(owner: ShardOwner, senders: int, sequence: int) -> float:
    """Process one heartbeat of each sender.

    Returns:
        The processor time in seconds until all answers are encoded.
    """
    token = EPOCH << TOKEN_BITS
    bodies = []
    for index in range(senders):
        first_job = index * TASKS_A_MACHINE
        body = heartbeat_body(f"n-{index}", sequence, token, TASKS_A_MACHINE, first_job)
        bodies.append(json.dumps(body).encode())
    begun = time.process_time()
    for encoded in bodies:
        machine = owner.on_heartbeat(agents.decode_heartbeat(encoded), float(sequence))
        assert machine is not None
        commands = owner.commands_for(machine, float(sequence))
        orjson.dumps(agents.heartbeat_answer(machine.token, commands))
    spent_s = time.process_time() - begun
    owner.place_candidates(float(sequence))
    return spent_s
