"""Tests of relayed requests: stale incarnations, busy relays, a relay's own requests first."""

from __future__ import annotations

import contextlib

import anyio
import pytest

from ploverhall.controller.relay import ResponseWaiter
from ploverhall.errors import RelayRefusedError
from ploverhall.protocol import relay_messages

from .scenarios import start_background_load
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.simulated_network import RESET


def test_response_to_an_earlier_incarnation_is_ignored() -> None:
    """A restarted controller numbers its requests from the beginning.

    A late response to its earlier incarnation may carry the number of a different request.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        await anyio.sleep(2.0)
        c0 = cluster.nodes["c0"].relay
        number = c0.pending.open_request("c1", cluster.now + 5.0)
        assert number is not None
        c0.response_waiters[number] = ResponseWaiter()
        response = relay_messages.RelayResponse(c0.pending.incarnation, number, 200, False, b"{}")
        for wrong, by in (
            (response._replace(incarnation="before"), "c1"),
            (response, "c2"),
            (response._replace(number=number + 1), "c1"),
        ):
            c0.deliver(by, relay_messages.encode(relay_messages.RESPONSE, 1, wrong))
        assert not c0.response_waiters[number].responses
        c0.deliver("c1", relay_messages.encode(relay_messages.RESPONSE, 1, response))
        c0.deliver("c1", relay_messages.encode(relay_messages.RESPONSE, 1, response))
        assert c0.response_waiters[number].responses == [response]

    play(scene)


def test_relay_with_scheduling_lag_refuses_requests() -> None:
    async def scene(cluster: SimulatedCluster) -> None:
        await anyio.sleep(2.0)
        c0, c1 = cluster.nodes["c0"].relay, cluster.nodes["c1"].relay

        async def read() -> int:
            return (
                await c0.send(
                    "c1", relay_messages.STORE, timeout=1.0, method="GET", target="/kv/p/renter"
                )
            )[0]

        assert await read() == 200
        c1.scheduling_lag = lambda: 0.7
        with pytest.raises(RelayRefusedError):
            await read()

    play(scene)


def test_own_requests_of_a_relay_take_priority() -> None:
    """Requests beyond a controller's share of a relay are refused at once.

    The relay's own requests are not delayed.
    """

    async def scene(cluster: SimulatedCluster) -> None:
        await start_background_load(cluster, 40.0)
        cluster.net.cut("c0", "state", RESET, 30.0)
        cluster.net.cut("c0", "c2", RESET, 30.0)
        await anyio.sleep(3.0)
        c0 = cluster.nodes["c0"].relay
        statuses: list[int] = []

        async def read() -> None:
            with contextlib.suppress(Exception):
                statuses.append(
                    (
                        await c0.send(
                            "c1",
                            relay_messages.STORE,
                            timeout=1.0,
                            method="GET",
                            target="/kv/p/renter",
                        )
                    )[0]
                )

        async with anyio.create_task_group() as tg:
            for _ in range(250):
                tg.start_soon(read)
        assert 0 < len(statuses) < 250 and cluster.nodes["c1"].relay.pending.refused_count > 0
        begun = cluster.now
        await cluster.submit(cluster.spec(800, gait="array"), "c1")
        assert (
            cluster.now - begun < 0.2 and cluster.nodes["c1"].context.store.requests.available() > 0
        )

    play(scene)
