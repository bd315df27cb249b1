"""Decides which controller may act for a shard, and what it may do and answer. No I/O."""
