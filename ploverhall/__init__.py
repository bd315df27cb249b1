"""ploverhall: a cluster scheduler of equal controllers, each owning one part of the fleet."""

__version__ = "0.1.0"
