"""A cluster scheduler of equal controllers, each of which owns one shard of the fleet."""

__version__ = "0.1.0"
