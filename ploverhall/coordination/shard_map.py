"""Assign teams and machines to shards, one shard for each controller.

The assignment is fixed: every controller computes the same map from the settings.
`controller.context` holds it; routing and leases use it.
"""

from __future__ import annotations

from zlib import crc32

# Delays before a controller claims a shard that nobody holds, so that claims do not collide
FIRST_CLAIM_DELAY_S = 0.15
CLAIM_DELAY_PER_POSITION_S = 0.7
CLAIM_DELAY_PER_HELD_SHARD_S = 0.3  # for each shard that it holds beyond the first


class ShardMap:
    """Map of teams and machines to shards; shard indices follow the order of the controllers.

    Teams, sorted by name, are assigned round-robin; machines by hash among the shards of their
    zone.
    """

    def __init__(self, controllers: list[tuple[str, str]], teams: list[str]) -> None:
        self.controllers = [name for name, _ in controllers]
        self.controller_zones = [zone for _, zone in controllers]
        self.controller_indices = {name: index for index, name in enumerate(self.controllers)}
        self.team_shard = {
            team: index % len(controllers) for index, team in enumerate(sorted(teams))
        }
        self.shards_by_zone: dict[str, list[int]] = {}
        for shard, zone in enumerate(self.controller_zones):
            self.shards_by_zone.setdefault(zone, []).append(shard)

    def shard_of_machine(self, zone: str, machine: str) -> int:
        """Return a machine's shard, which stays the same whichever controller holds the shard."""
        shards = self.shards_by_zone.get(zone) or list(range(len(self.controllers)))
        return shards[crc32(machine.encode()) % len(shards)]

    def teams_of(self, shard: int) -> list[str]:
        """Return the teams whose jobs have a shard's holder as their source."""
        return [team for team, team_shard in self.team_shard.items() if team_shard == shard]

    def claim_delay(self, controller: str, shard: int, alive: list[str], load: int) -> float:
        """Return the seconds that a controller waits before it claims a shard that nobody holds.

        The preferred controller does not wait. Of the other controllers, those in the shard's zone
        and those that hold fewer shards wait for less. `alive` lists the live controllers, and
        `load` is the number of shards that the controller holds.
        """
        if self.controller_indices[controller] == shard:
            return 0.0
        order = sorted(
            alive,
            key=lambda name: (
                self.controller_zones[self.controller_indices[name]]
                != self.controller_zones[shard],
                (self.controller_indices[name] - shard) % len(self.controllers),
            ),
        )
        position = order.index(controller) if controller in order else len(order)
        return (
            FIRST_CLAIM_DELAY_S
            + CLAIM_DELAY_PER_POSITION_S * position
            + CLAIM_DELAY_PER_HELD_SHARD_S * max(0, load - 1)
        )
