"""What a controller takes from its surroundings besides its settings: clocks, randomness, the network."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from ploverhall.transport.network import TCP_NETWORK, Network


@dataclass(slots=True, frozen=True)
class Runtime:
    """The real ones by default; the tests put a virtual clock and a network of their own here."""

    clock: Callable[[], float] = time.monotonic  # seconds, steady, from any beginning
    wall_clock: Callable[[], float] = time.time  # seconds, time of day
    random: Random = field(default_factory=Random)
    network: Network = TCP_NETWORK
