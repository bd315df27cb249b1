"""Test full team limits while jobs on unreachable machines are cancelled and the leader changes.

Cancelled tasks count towards their team's limit, at their own size and also after a leader change,
until they are proved gone. Then their capacity is used again.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import anyio
import pytest

from ploverhall.scheduling.allocations import AllocationStore
from ploverhall.scheduling.record_loader import RecordLoader

from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.simulated_network import HOLD, SILENT


def release_quota_at_job_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove the guard: a job's end takes its tasks out of the count, though they may still run."""
    real = AllocationStore.on_job

    def on_job(
        self: AllocationStore, job: Any, jid: str, version: int, now: float, age: float = 0.0
    ) -> None:
        real(self, job, jid, version, now, age)
        if job is None and (js := self.jobs.get(jid)) is not None:
            for e in js.allocations.values():
                e.finished = True
                self.dirty_chunks.setdefault(e.chunk, False)

    monkeypatch.setattr(AllocationStore, "on_job", on_job)


def load_ended_jobs_without_size(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove the guard: a new source does not know the size of an ended job's tasks."""
    real = RecordLoader.install_in_steps

    def install_without_sizes(
        self: RecordLoader, team: str, found: dict[str, Any], now: float
    ) -> Iterator[None]:
        small = {
            key: (
                {
                    jid: [vec if jid in self.store.jobs else [0.0, 0.0, 0.0], es]
                    for jid, (vec, es) in value.items()
                },
                version,
            )
            for key, (value, version) in found.items()
        }
        return real(self, team, small, now)

    monkeypatch.setattr(RecordLoader, "install_in_steps", install_without_sizes)


@pytest.mark.parametrize(
    ("how", "s", "change", "without"),
    [
        ("cut", 8.0, True, None),
        ("cut", 14.0, True, None),
        ("cut", 14.0, False, None),
        ("held", 8.0, True, None),
        ("hang", 8.0, True, None),
        ("hang", 14.0, True, None),
        ("hang", 25.0, False, None),
        pytest.param(
            "cut", 14.0, False, release_quota_at_job_end, id="cut-14.0-False-over_is_gone"
        ),
        pytest.param("hang", 8.0, True, release_quota_at_job_end, id="hang-8.0-True-over_is_gone"),
        pytest.param(
            "cut", 8.0, True, load_ended_jobs_without_size, id="cut-8.0-True-over_is_small"
        ),
    ],
)
def test_cancelled_tasks_count_towards_the_team_limit_until_proved_gone(
    how: str, s: float, change: bool, without: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Cancelled tasks are on machines that are unreachable for `s` seconds.

    With cut and held, commands and answers are lost or late. With hang, the agents hang within
    their lease of 10 s or for longer. With change, the sources of both teams crash.
    """
    if without is not None:
        without(monkeypatch)
    seconds_to_reuse: list[float] = []

    async def scene(p: SimulatedCluster) -> None:
        for team in range(2):  # at the limit of 16
            await p.submit(p.spec(900 + team, gait="daemon", chicks=6))
            for n in (910, 912):
                await p.submit(
                    p.spec(
                        n + team,
                        gait="array",
                        chicks=2,
                        gpus=2.0 + n % 4 / 2,
                        flightS=400.0,
                        pullGb=0.1,
                    )
                )
        await anyio.sleep(7.0)
        for team in range(2):  # these wait for the capacity of the cancelled jobs
            for n in range(4):
                await p.submit(
                    p.spec(920 + 2 * n + team, gait="array", chicks=4, flightS=3.0, pullGb=0.1)
                )
        await anyio.sleep(2.0)
        big = {f"j-{n:06d}" for n in (910, 911, 912, 913)}
        unreachable = [
            w.name for w in p.fleet.workers.values() if any(k[0] in big for k in w.tasks)
        ]
        if how == "hang":
            p.hang(unreachable, s)
        else:
            for w in unreachable:
                for c in p.names:
                    p.net.cut(c, w, SILENT if how == "cut" else HOLD, s)
        until = p.now + s
        for jid in sorted(big):
            p.tasks.start_soon(p.withdraw, jid)
        await anyio.sleep(0.5)
        if change:
            for name in {
                next(n for n in p.names if h in p.nodes[n].context.held_shards) for h in range(2)
            }:
                p.tasks.start_soon(p.crash, name, 0.2 if s > 10.0 else 20.0)
        await anyio.sleep(until - p.now)
        with anyio.move_on_after(40.0):
            while not all(
                (j, i) in p.fleet.results
                for j, sp in p.specs.items()
                if int(j[2:]) >= 920
                for i in range(sp.task_count)
            ):
                await anyio.sleep(0.1)
        seconds_to_reuse.append(p.now - until)
        assert big <= p.cancelled.keys() and not p.starts_after_cancellation()
        await anyio.sleep(40.0)
        assert not await p.all_answered(20.0)

    if without is None:
        play(scene, machines=12, teams=2)
        assert seconds_to_reuse[0] < 12.0, "expected time for two runs of 5 s"
    else:
        with pytest.raises(AssertionError, match="quota"):
            play(scene, machines=12, teams=2)
