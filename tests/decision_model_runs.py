"""Run the decision model with seeded faults, then without faults until everything finishes."""

from __future__ import annotations

from random import Random
from typing import Any

from .simulation.decision_model import DecisionModel, draw_job
from .simulation.task_rules import RuleBrokenError


def run_with_faults(
    seed: int, fault_s: float = 90.0, recovery_s: float = 150.0, **kw: Any
) -> DecisionModel:
    """Run the model for `fault_s` seconds with random faults, then for `recovery_s` without."""
    w = DecisionModel(seed, **kw)
    rng = Random(seed + 1)
    for i in range(16):
        w.schedule(
            rng.random() * fault_s * 0.7, lambda i=i: w.submit(draw_job(rng, f"j-{i:06d}", w.now))
        )
        if rng.random() < 0.3:
            w.schedule(fault_s * (0.3 + 0.6 * rng.random()), w.withdraw, f"j-{i:06d}")
    w.run(fault_s)
    w.fault_intensity = 0.0
    for node in w.nodes:
        if not node.up:
            w.crash(node, 0.1)
    for worker in w.workers.values():
        worker.hung_until = min(worker.hung_until, w.now + 1.0)
    w.cuts.clear()
    w.down_until = min(w.down_until, w.now)
    for node in w.nodes:
        node.stalled_until, node.partitioned_until, node.refused_until = (
            min(node.stalled_until, w.now),
            min(node.partitioned_until, w.now),
            0.0,
        )
    w.schedule(
        60.0, lambda: [w.withdraw(s.id) for s in w.specs.values() if s.kind == "service"]
    )  # some jobs are accepted only after an outage
    w.run(fault_s + recovery_s)
    return w


def any_seed_breaks(seeds: range = range(25), **kw: Any) -> bool:
    """Return whether a run with any of the seeds breaks a rule."""
    for seed in seeds:
        try:
            run_with_faults(seed, recovery_s=40.0, **kw)
        except RuleBrokenError:
            return True
    return False
