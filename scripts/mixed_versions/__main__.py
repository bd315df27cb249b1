"""Run two versions of the controller side by side to check that upgrade and downgrade are safe.

    python -m scripts.mixed_versions --base REVISION

Three real controller processes run on loopback, beside fakes of the state service, the cloud and
the agents. The cluster starts with the old version (REVISION, extracted from git) on all three.
With each mix of versions every controller is killed and restarted; then the next one is brought
to the new version. At the end one is brought back to the old version. Jobs are submitted and
cancelled throughout.

Checked: no task runs twice or on a wrong machine, no team is over its limit, and no cancelled job
runs `cancel_s` after its user was told; every accepted job is answered by every controller, and
no final state changes; jobs that were not cancelled end; after each step every controller
receives heartbeats from every other; no controller logs an error or an invalid response, and none
exits by itself. The exit code is 1 and the reasons are printed if one of these checks fails, or
if the run takes longer than three minutes.

Both versions need the libraries in target/deps, or in the running interpreter.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path
from unittest import mock

import anyio

from ploverhall.protocol import jobs
from scripts.git_revisions import ROOT
from scripts.mixed_versions.controllers import (
    CANCEL_S,
    NEW,
    OLD,
    Controllers,
    extract_with_libraries,
)
from scripts.mixed_versions.rolling_upgrade import RollingUpgrade
from tests import test_loopback
from tests.simulation import parameters

PORTS = 8
PRINTED_VIOLATIONS = 20


def run_upgrade(base: str, seed: int, folder: Path) -> tuple[RollingUpgrade, list[str]]:
    """Run the upgrade from a revision, with its files in a folder; return it and its violations."""
    old = folder / OLD
    old.mkdir()
    extract_with_libraries(base, old)
    controllers = Controllers({OLD: old, NEW: ROOT}, folder, test_loopback.free_ports(PORTS))
    upgrade = RollingUpgrade(controllers, seed)
    with mock.patch.object(parameters, "CANCEL_S", CANCEL_S):
        return upgrade, anyio.run(upgrade.run)


def print_summary(upgrade: RollingUpgrade, violations: list[str]) -> None:
    """Print the first violations, and totals of jobs, tasks and restarts."""
    for line in violations[:PRINTED_VIOLATIONS]:
        print(f"wrong: {line}")
    states = [submitted.final_state for submitted in upgrade.users.jobs.values()]
    print(
        f"{len(states)} jobs: {states.count(jobs.DONE)} done, "
        f"{states.count(jobs.CANCELLED)} cancelled; "
        f"{upgrade.fleet.starts} tasks started, "
        f"{upgrade.fleet.killed_by_lease} killed by a lease; "
        f"{upgrade.restarts} restarts; {len(violations)} wrong"
    )


def main() -> int:
    """Run the upgrade; return 1 if there are violations."""
    parser = argparse.ArgumentParser(
        prog="python -m scripts.mixed_versions",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--base", required=True, metavar="REVISION", help="the old version")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="mixed-") as folder:
        upgrade, violations = run_upgrade(args.base, args.seed, Path(folder))
    print_summary(upgrade, violations)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
