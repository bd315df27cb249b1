"""Times of the simulated deployments and the type of their machines.

Tests replace them with `monkeypatch.setattr(parameters, ...)`, so use them as
`parameters.LEASE_S`; a name imported with `from` would keep the old value.
"""

from __future__ import annotations

from ploverhall.protocol.cloud import MachineType

LEASE_S = 10.0  # an agent kills its tasks after this long without an answer
HEARTBEAT_S = 1.0
GANG_WAIT_S = 30.0  # a gang's task ends after waiting this long for the others
GANG_PEER_S = 4.0  # a gang's task ends this long after another one is lost
CANCEL_S = 35.0  # from the acknowledgement of a cancellation until no task of the job runs
MACHINE_TYPE = MachineType("t", 16.0, 4.0, 128.0, 60.0, 1.0, 10.0, 3.0, 20.0, ("a", "b"))

# The times of the project's own deployments. An agent that tries two unresponsive controllers
# reaches the third after 11 s
DEPLOYED_LEASE_S = 16.0
DEPLOYED_CANCEL_S = 46.0
