"""Decisions without I/O: who holds which shard, who may run what, where, and on which machines."""
