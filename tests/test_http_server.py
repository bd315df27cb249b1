"""Test the HTTP server with slow, half-open and too many clients, and an unresponsive server."""

from __future__ import annotations

import anyio
import pytest

from ploverhall.errors import UnreachableError
from ploverhall.transport.http_client import Client
from ploverhall.transport.http_parser import Request
from ploverhall.transport.http_server import Reply, Server

from .test_loopback import free_ports


async def ok(q: Request) -> Reply:
    return Reply(200, {"path": q.path})


def test_slow_and_half_open_clients_are_closed_and_others_served() -> None:
    async def check() -> None:
        (port,) = free_ports(1)
        async with anyio.create_task_group() as tg:
            tg.start_soon(
                Server(ok, max_connections=10, idle_s=0.5, slow_s=0.3).run, "127.0.0.1", port
            )
            await anyio.sleep(0.1)
            half = await anyio.connect_tcp("127.0.0.1", port)
            slow = await anyio.connect_tcp("127.0.0.1", port)
            await slow.send(b"GET /x HT")
            client = Client("127.0.0.1", port)
            assert (await client.call("GET", "/a"))[1] == {"path": "/a"}
            for stream in (half, slow):
                with (
                    anyio.fail_after(3),
                    pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)),
                ):
                    while True:
                        await stream.receive()
                await stream.aclose()
            # on a new connection, because the idle time of the first one ends at this moment
            assert (await Client("127.0.0.1", port).call("GET", "/b"))[1] == {"path": "/b"}
            tg.cancel_scope.cancel()

    anyio.run(check)


def test_connection_over_the_limit_is_told_when_to_retry() -> None:
    async def check() -> None:
        (port,) = free_ports(1)
        async with anyio.create_task_group() as tg:
            tg.start_soon(Server(ok, max_connections=2).run, "127.0.0.1", port)
            await anyio.sleep(0.1)
            held = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(2)]
            await anyio.sleep(0.1)
            third = await anyio.connect_tcp("127.0.0.1", port)
            with anyio.fail_after(3):
                answer = await third.receive()
            assert b" 503 " in answer and b"retry-after" in answer
            for stream in (*held, third):
                await stream.aclose()
            await anyio.sleep(0.1)
            assert (await Client("127.0.0.1", port).call("GET", "/"))[0] == 200, (
                "not served once there was capacity again"
            )
            tg.cancel_scope.cancel()

    anyio.run(check)


def test_server_without_answer_is_unreachable_in_time() -> None:
    async def never(q: Request) -> Reply:
        await anyio.sleep(60)
        return Reply(200)

    async def check() -> None:
        (port,) = free_ports(1)
        async with anyio.create_task_group() as tg:
            tg.start_soon(Server(never, max_connections=2).run, "127.0.0.1", port)
            await anyio.sleep(0.1)
            with pytest.raises(UnreachableError):
                await Client("127.0.0.1", port).call("GET", "/", timeout=0.3)
            tg.cancel_scope.cancel()

    anyio.run(check)
