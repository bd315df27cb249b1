"""What the renter keeps, rents and returns; its room by kinds against a plain list of machines."""

from __future__ import annotations

from random import Random
from typing import Any

from ploverhall.coordination.fleet import add, fits
from ploverhall.coordination.renter import Bins, Renter
from ploverhall.protocol.cloud import MachineType
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peers import DemandNews, MachineNews

from .test_source import a_job

TYPE = MachineType("t", 16.0, 4.0, 128.0, 60.0, 1.0, 10.0, 3.0, 20.0, ("a", "b"))
KIND = ("t", "a", False)


def a_service(jid: str, n: int, **kw: Any) -> Job:
    return a_job(jid, kind="service", n=n, types=None, **kw)


def renter(spare: float = 1.4) -> Renter:
    r = Renter(7, 45.0, spare, 3.0, 10.0, 0.0)
    r.types = {"t": TYPE}
    r.lists = 1
    return r


def view(used: float = 0.0, empty: int = 1) -> MachineNews:
    room = [16.0 - used, 4.0 - used, 128.0 - used]
    return MachineNews("t", "a", 0, room, empty, 0, 0, 0, int(not empty), room)


def test_alike_rooms_counted_as_one_take_what_a_list_of_machines_takes() -> None:
    rng = Random(5)
    for _ in range(200):
        rooms = [(float(rng.randrange(1, 9)), float(rng.randrange(5)), 64.0) for _ in range(rng.randrange(1, 12))]
        bins, plain = Bins(), sorted(rooms)
        for room in rooms:
            bins.add(KIND, room)
        for _ in range(3):
            vec, n = (1.0, float(rng.randrange(3)), 8.0), rng.randrange(1, 30)
            most = 0
            for i in range(len(plain)):
                while most < n and fits(vec, plain[i]):
                    plain[i] = add(plain[i], vec, -1)
                    most += 1
            assert bins.put(vec, n, KIND) == most
            left = sum(max(0.0, r[0]) * c for r, c in bins.rooms[KIND].items())
            assert abs(left - sum(r[0] for r in plain)) < 1e-6, "the same room is left"
            plain = sorted(r for rs, c in bins.rooms[KIND].items() for r in [rs] * c)
            if not plain:
                break


def test_what_is_idle_and_not_needed_goes_the_newest_first() -> None:
    r = renter()
    r.on_owner(0, True, {f"n-{i}": view() for i in range(4)}, 0.0)
    for i in range(4):
        r.machines[f"n-{i}"].since = float(i)
    r.on_source(0, True, {"j-000001": DemandNews(a_service("j-000001", 5).record(), 5, None, [0.0])})
    r.plan(100.0, 100.0)
    assert r.drains(0) == ["n-2", "n-3"], "five replicas need two machines of four"


def test_hundreds_are_asked_for_at_once_in_requests_of_fifty() -> None:
    r = renter()
    r.on_source(0, True, {"j-000001": DemandNews(a_service("j-000001", 480).record(), 480, {"a": 480, "b": 0}, [0.0])})
    plan = r.plan(10.0, 10.0)
    assert sorted(x.count for x in plan.rent) == [20, 50, 50]
