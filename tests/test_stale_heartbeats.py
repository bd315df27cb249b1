"""Tests of heartbeats that arrive a second time, from seconds to well over a lease later."""

from __future__ import annotations

from random import Random
from typing import Any

import anyio
import pytest

from ploverhall.protocol import agents, peer_messages
from ploverhall.protocol.peer_messages import JobUpdate, PermitUpdate
from ploverhall.scheduling.permit_table import PermitTable
from ploverhall.scheduling.shard_owner import ShardOwner

from .decision_model_runs import any_seed_breaks, run_with_faults
from .job_sources import a_job
from .removed_guards import accept_stale_heartbeats, check_gone_without_fencing_tokens
from .scenarios import start_background_load
from .simulation import model_agent, parameters
from .simulation.cluster import SimulatedCluster
from .simulation.scene import play
from .simulation.task_rules import RuleBrokenError


@pytest.mark.parametrize("most", [5.0, 40.0])
def test_stale_heartbeats_move_no_shard_and_keep_no_machine_alive(most: float) -> None:
    """Stale copies reach the same controller and others, also across a crash and a failover."""

    async def scene(p: SimulatedCluster) -> None:
        p.duplicate_heartbeats(Random(4), 0.4, 1.0, most)
        await start_background_load(p, 90.0)
        await anyio.sleep(30.0)
        assert p.claims() == 0 and p.fleet.killed_by_lease == 0
        away = sum(len(n.agent_commands.failback.relayed_agents) for n in p.nodes.values())
        assert away == 0, (
            "copies do not count as heartbeats of agents that can't reach their controller"
        )
        await p.crash("c0", 8.0)
        await anyio.sleep(60.0)
        assert p.copies > 200 and all(a.accepted is not None for a in p.asked.values())
        assert not [k for k in p.state.store.permits() if k.startswith("c/team-3")], (
            "the permits of ended tasks are removed"
        )

    play(scene)


def test_gone_machine_stays_gone_wherever_its_stale_heartbeats_arrive() -> None:
    """Copies of its heartbeats make a lost machine neither alive nor usable.

    Its tasks start elsewhere as soon as they would without the copies, and nothing is placed on it.
    """

    async def scene(p: SimulatedCluster) -> None:
        await start_background_load(p, 90.0)
        dead = next(w for w in p.workers_of("c0") if p.fleet.workers[w].tasks)
        p.duplicate_heartbeats(Random(5), 1.0, 8.0, 45.0, [dead])
        await anyio.sleep(10.0)
        p.fleet.machines.pop(dead).scope.cancel()  # the machine is lost without notice
        at = p.now
        await anyio.sleep(14.0)
        owners = [h.owner for n in p.nodes.values() for h in n.context.held_shards.values()]
        assert not [
            pm
            for o in owners
            for pm in o.inventory.permits_by_machine.get(dead, {}).values()
            if not pm.gone
        ], "a machine that is silent for a lease keeps no permit"
        await p.crash("c0", 6.0)  # the next holder never received a heartbeat of it
        while p.now - at < 60.0:
            await anyio.sleep(0.5)
            for n in p.nodes.values():
                for h in n.context.held_shards.values():
                    m = h.owner.machines.get(dead)
                    assert m is None or h.owner.inventory.unusable(m, p.now)
                if n.context.autoscaler is not None and dead in n.context.autoscaler.machines:
                    v = n.context.autoscaler.machines[dead].update
                    assert v is None or v.notice, (
                        "a stale copy must not count the machine as capacity"
                    )

    play(scene)


@pytest.mark.parametrize("seed", range(300, 306))
def test_stale_heartbeats_and_non_receiving_agents_break_no_rule_in_the_decision_model(
    seed: int,
) -> None:
    """Every rule holds with crashes, pauses, partitions and failovers, and all jobs finish."""
    w = run_with_faults(seed, kinds=(0, 2, 3, 4, 8, 8), copies=0.3)
    assert not w.live() and not w.store.permits()


@pytest.mark.parametrize("guard", ["a copy counts as news", "a copy proves silence over"])
def test_decision_model_reports_a_missing_heartbeat_guard(
    guard: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    if guard == "a copy counts as news":
        accept_stale_heartbeats(monkeypatch)
    else:
        real = ShardOwner.on_heartbeat

        def stale_heartbeat_proves_silence(
            self: ShardOwner, r: Any, now: float, direct: bool = False, relayed: bool = False
        ) -> Any:
            m = self.machines.get(r.machine)
            if m is not None and not direct and (r.incarnation, r.sequence) <= m.newest_heartbeat:
                # Treat the answer to the copy as the first one to this machine
                m.accepted_token, m.last_heartbeat_at, m.last_answer_at = (
                    True,
                    now - 2 * parameters.LEASE_S,
                    0.0,
                )
                self.epoch_confirmed_at = now
            return real(self, r, now, direct, relayed)

        monkeypatch.setattr(ShardOwner, "on_heartbeat", stale_heartbeat_proves_silence)
    assert any_seed_breaks(range(300, 325), kinds=(0, 2, 3, 4, 8), copies=0.5)


# -- messages in any order: two successive owners of one shard, two machines, three tasks ---------

STEPS = {
    "report": 10,
    "late": 1,
    "copy": 4,
    "do": 5,
    "do late": 3,
    "permit": 6,
    "stop": 4,
    "claim": 1,
    "lease": 1,
}


class ShardModel:
    """Successive owners of one shard and two agents that execute every command that arrives.

    Messages arrive in any order, or twice.
    """

    def __init__(self) -> None:
        self.now, self.rng, self.nodes = 0.0, Random(1), [0]
        self.specs = {
            f"j-{i:06d}": a_job(
                f"j-{i:06d}", task_count=1, gpus=1.0, machine_types=("t",), estimate_s=1e9
            )
            for i in range(3)
        }
        self.results: set[Any] = set()
        self.extra_s: dict[tuple[str, int], float] = {}
        self.workers = [model_agent.ModelAgent(self, f"n-{i}", "a", False) for i in range(2)]  # type: ignore[arg-type]
        # Heartbeats sent, the oldest first: agent, body, time
        self.sent: list[tuple[model_agent.ModelAgent, dict[str, Any], float]] = []
        # Commands in flight: agent, body
        self.commands: list[tuple[model_agent.ModelAgent, dict[str, Any]]] = []
        self.epoch = 0
        # Permits written by the source: job -> attempt, machine
        self.entries: dict[str, tuple[int, int]] = {}
        self.attempt = 0
        self.claim()

    def started(self, w: model_agent.ModelAgent, key: agents.AttemptId) -> None:
        for other in self.workers:
            if other is not w and any(k[:2] == key[:2] for k in other.on_machine()):
                raise RuleBrokenError(f"ran_twice: {key}")

    def claim(self) -> None:
        self.epoch += 1
        self.owner = ShardOwner(
            0,
            self.epoch,
            1,
            parameters.LEASE_S,
            parameters.HEARTBEAT_S,
            5.0,
            5,
            self.rng,
            self.now,
        )
        self.owner.machine_types = {"t": parameters.MACHINE_TYPE}
        self.owner.epoch_confirmed_at = 1e9  # every check with the store confirms the holder
        changes: dict[str, Any] = {
            peer_messages.job_key(j): JobUpdate(s.record(), list(s.resources), 0)
            for j, s in self.specs.items()
        }
        for j, (attempt, m) in self.entries.items():
            changes[peer_messages.permit_key(agents.AttemptId(j, 0, attempt))] = PermitUpdate(
                f"n-{m}", self.epoch - 1, 1, None
            )
        self.owner.on_source_update(0, True, changes, self.now)

    def receive(
        self, w: model_agent.ModelAgent, body: dict[str, Any], sent: float, answered: bool
    ) -> None:
        m = self.owner.on_heartbeat(agents.heartbeat_from_json(body), self.now)
        if m is None or m.stale_heartbeat:
            return
        commands = self.owner.commands_for(m, self.now)
        answer = agents.heartbeat_answer(m.token, commands)
        m.last_answer_at = self.now
        if answered:
            w.on_answer(answer, sent, body["tide"])

    def step(self, what: str, i: int, n: int) -> None:
        w = self.workers[i]
        for x in self.workers:
            x.tick()
        if what in ("report", "late"):
            body = w.report()
            self.sent.append((w, body, self.now))
            if what == "report":
                self.receive(w, body, self.now, n % 3 > 0)
        elif what == "copy" and self.sent:
            x, body, at = self.sent[n % len(self.sent)]
            self.receive(x, body, at, False)
        elif what == "do":
            self.owner.machines_needing_commands = dict(self.owner.machines)
            for m, body in self.owner.direct_commands(self.now):
                x = self.workers[int(m.name[2:])]
                if n % 2:
                    self.commands.append((x, body))  # a copy may arrive after the answer
                    self.owner.on_direct_answer(
                        m, agents.heartbeat_from_json(x.on_commands(body)), self.now
                    )
                else:
                    self.commands.append((x, body))
                    self.owner.on_direct_answer(m, None, self.now)
        elif what == "do late" and self.commands:
            x, body = self.commands[n % len(self.commands)]
            x.on_commands(body)
        elif what == "permit":
            job = f"j-{n % 3:06d}"
            name = f"n-{i}"
            m = self.owner.machines.get(name)
            if (
                job not in self.entries
                and m is not None
                and not self.owner.inventory.unusable(m, self.now)
            ):
                self.attempt += 1
                self.entries[job] = (self.attempt, i)
                key = peer_messages.permit_key(agents.AttemptId(job, 0, self.attempt))
                self.owner.on_source_update(
                    0, False, {key: PermitUpdate(name, self.epoch, 1, None)}, self.now
                )
        elif what == "stop":
            job = f"j-{n % 3:06d}"
            if job in self.entries:
                attempt, m_i = self.entries[job]
                key = peer_messages.permit_key(agents.AttemptId(job, 0, attempt))
                self.owner.on_source_update(
                    0, False, {key: PermitUpdate(f"n-{m_i}", self.epoch, 1, 0.0)}, self.now
                )
        elif what == "claim" and n % 4 == 0:
            self.claim()
        elif what == "lease" and n % 2:
            self.now += parameters.LEASE_S + 2.0
        self.now += 0.1 + n / 40
        self.owner.advance_time(self.now)
        for (_, key), update in self.owner.take_source_updates().items():
            if (
                key[0] == peer_messages.ATTEMPT
                and update is not None
                and update[0] in ("gone", "exited")
            ):
                job, _, attempt = peer_messages.attempt_id_of_key(key)
                if self.entries.get(job, (0, 0))[0] == attempt:
                    # Proven gone, or exited and recorded: the job may start elsewhere
                    del self.entries[job]
                    self.owner.on_source_update(
                        0,
                        False,
                        {peer_messages.permit_key(agents.AttemptId(job, 0, attempt)): None},
                        self.now,
                    )


def _run_random_order(seed: int, steps: int = 400) -> None:
    w, rng = ShardModel(), Random(seed)
    for _ in range(steps):
        w.step(
            rng.choices(list(STEPS), list(STEPS.values()))[0], rng.randrange(2), rng.randrange(40)
        )


@pytest.mark.parametrize("seed", range(0, 600, 150))
def test_any_order_of_heartbeats_commands_and_failovers_breaks_no_rule(seed: int) -> None:
    for n in range(seed, seed + 150):
        _run_random_order(n)


@pytest.mark.parametrize("guard", ["copies are new", "what a list omits is gone"])
def test_any_order_detects_a_missing_guard(guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if guard == "copies are new":
        accept_stale_heartbeats(monkeypatch)
    else:
        monkeypatch.setattr(PermitTable, "check_gone", check_gone_without_fencing_tokens)
    with pytest.raises(RuleBrokenError, match="ran_twice"):
        for seed in range(400):
            _run_random_order(seed)
