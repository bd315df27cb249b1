"""Take machines out of service by operators' orders, within the teams' disruption budgets.

The owner of a machine's shard requests evictions, the source of the team's jobs grants them, and
the autoscaler chooses the machines and deletes them once they are empty. Orders and budgets are
values, and the caller passes in times; only `command`, the operators' command line, does any I/O.
See docs/maintenance.md.
"""
