"""Defines a controller's dependencies on its environment: clocks, random numbers and the network.

`run.py` and the command line use the defaults. The tests replace them with a virtual clock, a
seeded random number generator and a simulated network.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from ploverhall.transport.network import TCP_NETWORK, Network

NEVER = -1e9  # monotonic clock time long before the process started


@dataclass(slots=True, frozen=True)
class Runtime:
    """The environment of one controller; the defaults are the real clocks and network."""

    clock: Callable[[], float] = time.monotonic  # seconds from an arbitrary start, monotonic
    wall_clock: Callable[[], float] = time.time  # seconds since the Unix epoch, may be set back
    random: Random = field(default_factory=Random)
    network: Network = TCP_NETWORK
