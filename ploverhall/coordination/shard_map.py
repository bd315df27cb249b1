"""Which shard a team and a machine belong to, and which node should hold which shard."""

from __future__ import annotations

from zlib import crc32


class Layout:
    """The fixed division: one shard a node, in name order; teams by share, machines by hash in their zone."""

    def __init__(self, nodes: list[tuple[str, str]], teams: list[str]) -> None:
        self.nodes = [n for n, _ in nodes]
        self.zone_of = [z for _, z in nodes]
        self.index = {n: i for i, n in enumerate(self.nodes)}
        self.team_shard = {t: i % len(nodes) for i, t in enumerate(sorted(teams))}
        self.parts: dict[str, list[int]] = {}
        for i, z in enumerate(self.zone_of):
            self.parts.setdefault(z, []).append(i)

    def part(self, zone: str, machine: str) -> int:
        """A machine's part; it never changes, whoever holds the part."""
        parts = self.parts.get(zone) or list(range(len(self.nodes)))
        return parts[crc32(machine.encode()) % len(parts)]

    def teams(self, shard: int) -> list[str]:
        """The teams whose jobs have their source in a shard."""
        return [t for t, s in self.team_shard.items() if s == shard]

    def claim_delay(self, node: str, shard: int, alive: list[str], load: int) -> float:
        """How long a node waits before it takes an orphan: same zone first, the least loaded first."""
        me = self.index[node]
        if me == shard:
            return 0.0
        near = [n for n in alive if self.zone_of[self.index[n]] == self.zone_of[shard]]
        order = sorted(
            alive, key=lambda n: (n not in near, (self.index[n] - shard) % len(self.nodes))
        )
        place = order.index(node) if node in order else len(order)
        return 0.15 + 0.7 * place + 0.3 * max(0, load - 1)
