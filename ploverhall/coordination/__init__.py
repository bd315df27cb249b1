"""Decide which controller may act for a shard, and what it may do and answer; no I/O."""
