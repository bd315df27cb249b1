"""Commands sent straight to workers, besides the answers to their reports."""

from __future__ import annotations

from typing import Any

from ploverhall.control.shared import Shared
from ploverhall.coordination.fleet import Machine
from ploverhall.coordination.owner import Owner
from ploverhall.protocol import workers
from ploverhall.transport.http import Client, Unreachable

DIRECT_S = 1.5  # how long a worker has to answer


class Direct:
    """One kept connection to each worker that was ever sent something."""

    def __init__(self, shared: Shared) -> None:
        self.shared = shared
        self.clients: dict[str, Client] = {}

    async def send(self, owner: Owner, m: Machine, body: dict[str, Any]) -> None:
        """Send one /do and hand its answer, or that there was none, to the owner."""
        client = self.clients.get(m.addr)
        if client is None:
            host, _, port = m.addr.rpartition(":")
            client = self.clients[m.addr] = self.shared.client(host, int(port), keep=1)
        report = None
        try:
            status, answer = await client.call("POST", "/do", body, timeout=DIRECT_S)
            if status in (200, 409):
                report = workers.parse(answer)
        except (Unreachable, workers.Malformed):
            pass
        owner.direct_done(m, report, self.shared.clock())
        self.shared.poke()
