"""Which shard a team and a machine belong to, and which node should hold which shard."""

from __future__ import annotations

from zlib import crc32


class ShardMap:
    """The fixed division: one shard a node, in name order; teams by share, machines by hash in their zone."""

    def __init__(self, controllers: list[tuple[str, str]], teams: list[str]) -> None:
        self.controllers = [name for name, _ in controllers]
        self.controller_zones = [zone for _, zone in controllers]
        self.controller_indices = {name: i for i, name in enumerate(self.controllers)}
        self.team_shard = {team: i % len(controllers) for i, team in enumerate(sorted(teams))}
        self.shards_by_zone: dict[str, list[int]] = {}
        for i, zone in enumerate(self.controller_zones):
            self.shards_by_zone.setdefault(zone, []).append(i)

    def shard_of_machine(self, zone: str, machine: str) -> int:
        """A machine's part; it never changes, whoever holds the part."""
        parts = self.shards_by_zone.get(zone) or list(range(len(self.controllers)))
        return parts[crc32(machine.encode()) % len(parts)]

    def teams_of(self, shard: int) -> list[str]:
        """The teams whose jobs have their source in a shard."""
        return [team for team, s in self.team_shard.items() if s == shard]

    def claim_delay(self, controller: str, shard: int, alive: list[str], load: int) -> float:
        """How long a node waits before it takes an orphan: same zone first, the least loaded first."""
        controller_index = self.controller_indices[controller]
        if controller_index == shard:
            return 0.0
        same_zone = [
            name
            for name in alive
            if self.controller_zones[self.controller_indices[name]] == self.controller_zones[shard]
        ]
        order = sorted(
            alive,
            key=lambda name: (
                name not in same_zone,
                (self.controller_indices[name] - shard) % len(self.controllers),
            ),
        )
        position = order.index(controller) if controller in order else len(order)
        return 0.15 + 0.7 * position + 0.3 * max(0, load - 1)
