"""ploverhall: a cluster scheduler of equal controllers, each owning one shard of the fleet."""

__version__ = "0.1.0"
