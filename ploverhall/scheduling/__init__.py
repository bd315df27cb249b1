"""Scheduling decisions, without I/O.

The source of a shard holds the jobs of the shard's teams and permits their tasks. The owner of a
shard places tasks on the shard's machines and reserves resources for them.
"""
