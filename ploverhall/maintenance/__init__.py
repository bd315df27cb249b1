"""Taking machines out of service by order, within a disruption budget for each team.

Orders and budgets are values, and times are passed in; only `command`, the operators' command line,
does any I/O. The machines' owner requests evictions, the source of the team's jobs grants them, and
the autoscaler chooses the machines and deletes them once they are empty. See docs/maintenance.md.
"""
