"""What a controller takes from its surroundings besides its settings: clocks, randomness, network.

`run.py` and the command line use the defaults; the tests put a virtual clock, seeded randomness and
a simulated network in their place.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from ploverhall.transport.network import TCP_NETWORK, Network

NEVER = -1e9  # as a steady-clock time: long before the process started


@dataclass(slots=True, frozen=True)
class Runtime:
    """The surroundings of one controller; the defaults are the real ones."""

    clock: Callable[[], float] = time.monotonic  # seconds, steady, from an arbitrary beginning
    wall_clock: Callable[[], float] = time.time  # seconds since the epoch, may be set back
    random: Random = field(default_factory=Random)
    network: Network = TCP_NETWORK
